#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "h1_priv.h"

#define LISTEN_BACKLOG 512
/* Connections accepted per round of the loop, so that established connections
 * are served in between. */
#define ACCEPT_BATCH 32
/* Idle connections are kept this much longer than their peers are told, for
 * requests that are on their way when the limit passes. */
#define IDLE_MARGIN_USEC (1 * LOOP_USEC_PER_SEC)
/* Requests whose timeout is reported in one check. */
#define TIMEOUT_BATCH 64

/*
 * Stops accepting for a while if a resource is used up: the socket would be
 * ready all the time.
 */
static void
pause_accepting(struct h1_listener *listener, int error)
{
	if (error != EMFILE && error != ENFILE && error != ENOBUFS &&
	    error != ENOMEM)
		return;
	listener->paused = true;
	loop_watch_set(listener->watch, 0);
}

/*
 * Accepts pending connections, up to a number.
 */
static void
accept_pending(struct h1_listener *listener, int max)
{
	for (int i = 0; i < max; i++) {
		struct h1_conn *conn;
		int fd = accept4(
		    listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			pause_accepting(listener, errno);
			return;
		}
		if (!h1_listener_make_room(listener)) {
			listener->h1->counts.connections_refused++;
			close(fd);
			continue;
		}
		conn =
		    h1_conn_create(listener->h1, fd, LOOP_READ, HTTP_REQUEST);
		if (conn == NULL)
			return;
		conn->listener = listener;
		h1_note_progress(conn);
		conn->ops = listener->ops;
		conn->arg = listener->arg;
		conn->next = listener->conns;
		if (listener->conns != NULL)
			listener->conns->prev = conn;
		listener->conns = conn;
		listener->count++;
		listener->h1->counts.accepted++;
		h1_account(conn);
		if (!h1_admit(conn, 0) && !h1_may_answer(conn)) {
			listener->h1->counts.connections_refused++;
			h1_close_for(conn, H1_CLOSE_DROPPED);
			continue;
		}
		if (conn->ops->accepted != NULL)
			conn->ops->accepted(conn, conn->arg);
	}
}

/*
 * Accepts pending connections.
 */
static void
on_accept(void *arg, unsigned int events)
{
	(void)events;
	accept_pending(arg, ACCEPT_BATCH);
}

/*
 * Listens on an address; port 0 lets the kernel choose one. limits must
 * outlive the listener. Fails with STATUS_NO_MEMORY, STATUS_INVALID if the
 * address or socket is unusable, or STATUS_IO if bind or listen fails.
 */
enum status
h1_listen(struct h1 *h1, const char *ip, uint16_t port,
    const struct h1_limits *limits, const struct h1_ops *ops, void *arg,
    struct h1_listener **out)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	struct h1_listener *listener = calloc(1, sizeof(*listener));
	enum status status;
	int on = 1;

	if (listener == NULL)
		return status_set(STATUS_NO_MEMORY, "listener");
	listener->h1 = h1;
	listener->limits = limits;
	listener->ops = ops;
	listener->arg = arg;
	listener->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (listener->fd < 0 ||
	    inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
		status = status_set(STATUS_INVALID, "address %s", ip);
		goto fail;
	}
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener->fd, (struct sockaddr *)&address, sizeof(address)) !=
		0 ||
	    listen(listener->fd, LISTEN_BACKLOG) != 0) {
		status = status_set(STATUS_IO, "listen on %s:%u: %s", ip,
		    (unsigned int)port, strerror(errno));
		goto fail;
	}
	status = loop_watch_create(h1->loop, listener->fd, LOOP_READ, on_accept,
	    listener, &listener->watch);
	if (status != STATUS_OK)
		goto fail;
	listener->next = h1->listeners;
	h1->listeners = listener;
	*out = listener;
	return STATUS_OK;
fail:
	if (listener->fd >= 0)
		close(listener->fd);
	free(listener);
	return status;
}

/*
 * Returns the port that a listener is bound to, 0 on failure.
 */
uint16_t
h1_listener_port(const struct h1_listener *listener)
{
	struct sockaddr_in address = {0};
	socklen_t len = sizeof(address);

	if (getsockname(listener->fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin_port);
}

/*
 * Returns the number of open connections that the listener accepted.
 */
size_t
h1_listener_count(const struct h1_listener *listener)
{
	return listener->count;
}

/*
 * Closes the socket of a listener.
 */
static void
close_socket(struct h1_listener *listener)
{
	loop_watch_destroy(listener->watch);
	listener->watch = NULL;
	if (listener->fd >= 0)
		close(listener->fd);
	listener->fd = -1;
}

/*
 * Closes the listener and its connections without callbacks.
 */
void
h1_listener_destroy(struct h1_listener *listener)
{
	if (listener == NULL)
		return;
	while (listener->conns != NULL)
		h1_close_for(listener->conns, H1_CLOSE_STOPPED);
	close_socket(listener);
	for (struct h1_listener **at = &listener->h1->listeners; *at != NULL;
	     at = &(*at)->next) {
		if (*at == listener) {
			*at = listener->next;
			break;
		}
	}
	free(listener);
}

/*
 * Stops accepting connections and closes idle ones; requests that have arrived
 * or are in progress are still served, and responses are delivered.
 */
void
h1_listener_stop(struct h1_listener *listener)
{
	struct h1_conn *next;

	if (listener->fd >= 0)
		accept_pending(listener, LISTEN_BACKLOG);
	close_socket(listener);
	for (struct h1_conn *conn = listener->conns; conn != NULL;
	     conn = next) {
		next = conn->next;
		if (conn->busy || conn->lingering ||
		    conn->head_started_at != 0 || h1_has_unread_bytes(conn))
			continue;
		if (conn->out.len > 0)
			h1_close_gracefully(conn);
		else
			h1_close_for(conn, H1_CLOSE_STOPPED);
	}
}

/*
 * Returns whether a connection of a listener has output that has not been
 * sent.
 */
bool
h1_listener_has_output(const struct h1_listener *listener)
{
	for (const struct h1_conn *conn = listener->conns; conn != NULL;
	     conn = conn->next) {
		if (conn->out.len > 0 && !conn->write_failed)
			return true;
	}
	return false;
}

/*
 * Returns the time in microseconds for which a connection of a listener may be
 * idle after the response that states it, also if the limit becomes shorter
 * before that ends.
 */
int64_t
h1_keep_usec(struct h1_conn *conn)
{
	conn->stated_usec =
	    MAX(conn->listener->limits->idle_timeout_usec, (int64_t)1);
	return conn->stated_usec;
}

/*
 * Encodes the header field that tells a peer how long its connection is kept
 * after a response, in whole seconds; 0: it is closed. Without it, peers may
 * use a connection just when it is closed.
 */
enum status
h1_encode_keep_alive(int64_t keep_usec, struct lstr_buf *out)
{
	if (keep_usec <= 0)
		return lstr_buf_printf(out, "Connection: close\r\n");
	if (keep_usec < LOOP_USEC_PER_SEC)
		return STATUS_OK;
	return lstr_buf_printf(out, "Keep-Alive: timeout=%" PRId64 "\r\n",
	    keep_usec / LOOP_USEC_PER_SEC);
}

/*
 * Returns whether input waits in the socket of a connection of a listener.
 */
bool
h1_listener_has_input(const struct h1_listener *listener)
{
	for (const struct h1_conn *conn = listener->conns; conn != NULL;
	     conn = conn->next) {
		if (!conn->lingering && h1_has_unread_bytes(conn))
			return true;
	}
	return false;
}

/*
 * Returns which timeout the request that a connection receives has exceeded.
 * Input that has arrived and is not read yet counts as progress: the loop may
 * be late.
 */
static enum h1_fault
find_timeout(const struct h1_conn *conn, int64_t now)
{
	int64_t expires_at =
	    conn->head_done ? conn->idle_until : conn->head_until;

	if (conn->busy || conn->lingering || conn->head_started_at == 0 ||
	    now < expires_at || h1_has_unread_bytes(conn))
		return H1_FAULT_NONE;
	return conn->head_done ? H1_FAULT_BODY_TIMEOUT : H1_FAULT_HEAD_TIMEOUT;
}

/*
 * Reports the first request that exceeds a timeout. Returns false if there is
 * none.
 */
static bool
report_timeout(struct h1_listener *listener, int64_t now)
{
	for (struct h1_conn *conn = listener->conns; conn != NULL;
	     conn = conn->next) {
		enum h1_fault fault = find_timeout(conn, now);

		if (fault == H1_FAULT_NONE)
			continue;
		conn->fault = fault;
		h1_protocol_error(conn);
		return true;
	}
	return false;
}

/*
 * Closes connections that exceed the idle timeout by a margin and reports
 * requests whose head exceeds the head timeout, or whose body makes no progress
 * within the idle timeout. The owner calls it several times a second.
 */
void
h1_listener_check_timeouts(struct h1_listener *listener)
{
	int64_t now = loop_now(listener->h1->loop);
	struct h1_conn *next;

	if (listener->paused && listener->watch != NULL) {
		listener->paused = false;
		loop_watch_set(listener->watch, LOOP_READ);
	}
	for (struct h1_conn *conn = listener->conns; conn != NULL;
	     conn = next) {
		next = conn->next;
		/* A longer limit applies at once. */
		conn->idle_until = MAX(conn->idle_until,
		    conn->idle_since + listener->limits->idle_timeout_usec);
		if (now >= conn->idle_until + IDLE_MARGIN_USEC)
			h1_check_progress(conn);
		if (!conn->busy && !conn->lingering &&
		    conn->head_started_at == 0 &&
		    now >= conn->idle_until + IDLE_MARGIN_USEC &&
		    !h1_has_unread_bytes(conn))
			h1_close_for(conn, H1_CLOSE_IDLE);
	}
	/* The owner may close any connection, so the search starts anew after
	 * each report. */
	for (int i = 0; i < TIMEOUT_BATCH; i++) {
		if (!report_timeout(listener, now))
			return;
	}
}
