#include <sys/socket.h>

#include "h1_priv.h"

/*
 * What is discarded with a connection of a listener that is closed, for the log
 * and the metrics.
 */

/*
 * Sets the callback that is told what each closed connection of a listener
 * discards. It must not use the connection except for h1_data().
 */
void
h1_listener_set_observer(struct h1_listener *listener,
    void (*closed)(struct h1_conn *, const struct h1_closing *, void *arg))
{
	listener->closed = closed;
}

/*
 * Returns why a connection was closed.
 */
enum h1_close_reason
h1_close_reason(const struct h1_conn *conn)
{
	return conn->close_reason;
}

/*
 * Returns the name of a reason for the log.
 */
const char *
h1_close_reason_name(enum h1_close_reason reason)
{
	static const char *const names[H1_CLOSE_REASONS] = {
	    [H1_CLOSE_OWNER] = "closed by its owner",
	    [H1_CLOSE_PEER] = "closed by the caller",
	    [H1_CLOSE_IDLE] = "idle limit",
	    [H1_CLOSE_STOPPED] = "listener stopped",
	    [H1_CLOSE_DROPPED] = "gave way to others",
	    [H1_CLOSE_NOT_WRITTEN] = "cannot be written",
	    [H1_CLOSE_NOT_READ] = "cannot be read",
	    [H1_CLOSE_LINGERED] = "caller did not read"};

	return names[reason];
}

/*
 * Returns whether bytes wait to be read: in the socket, or received behind a
 * request that has been answered.
 */
bool
h1_has_unread_bytes(const struct h1_conn *conn)
{
	char byte;

	return conn->pending_due ||
	    recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/*
 * Reports to the observer what a connection that is about to be closed
 * discards. After the peer has closed, what it sent is not looked for.
 */
void
h1_note_closing(struct h1_conn *conn)
{
	struct h1_closing closing = {.reason = conn->close_reason,
	    .busy = conn->busy && !conn->lingering,
	    .pending = conn->pending_input.len,
	    .unsent = conn->out.len,
	    .idle_since = conn->idle_since};

	if (conn->listener == NULL)
		return;
	/* What follows a refused request is discarded on purpose. */
	closing.unread = closing.reason != H1_CLOSE_PEER && !conn->lingering &&
	    h1_has_unread_bytes(conn);
	if (closing.unread)
		conn->h1->counts.closed_unread++;
	if (conn->listener->closed != NULL)
		conn->listener->closed(conn, &closing, conn->listener->arg);
}
