#include <stdlib.h>

#include <glib.h>

#include "h1_priv.h"
#include "intake.h"

/* Memory of a connection besides its buffers: the structure, its timer and its
 * watch, whose APR pool takes one block of 8 KB. */
#define CONN_BYTES (sizeof(struct h1_conn) + 8192 + 512)
/* Connections beyond the limit of the account are accepted up to this fraction
 * of it, so that their requests are refused with an answer. */
#define ANSWER_ROOM_SHARE 8
/* Unsent output up to the size below may use this fraction of it in addition,
 * which input never does: the refusals and stream events of whole requests. */
#define OUTPUT_ROOM_SHARE 16
#define OUTPUT_ROOM_BYTES ((size_t)32 * 1024)
/* When memory is short, this fraction of the account is released in addition,
 * so that the next allocation need not search again. */
#define EXTRA_ROOM_SHARE 64

/*
 * Limits and counts the memory of all connections; NULL: no limit. The account
 * must outlive the connections.
 */
void
h1_set_account(struct h1 *h1, struct account *account)
{
	h1->account = account;
}

/*
 * Limits the connections of a listener. refuse answers a request whose body is
 * incomplete and closes its connection; NULL: it is closed without an answer.
 */
void
h1_listener_set_max(struct h1_listener *listener, size_t max,
    void (*refuse)(struct h1_conn *, void *arg))
{
	listener->max = max;
	listener->refuse = refuse;
}

/*
 * States how many bytes the owner of a connection holds for it. They are
 * counted by the owner, and considered when connections give way.
 */
void
h1_set_owner_bytes(struct h1_conn *conn, size_t bytes)
{
	conn->owner_bytes = bytes;
}

/*
 * Updates the account after a change of the buffers of a connection. The output
 * to a server is part of the request, whose owner counts it.
 */
void
h1_account(struct h1_conn *conn)
{
	account_set(conn->h1->account, &conn->held,
	    CONN_BYTES + conn->head_text.size + conn->pending_input.size +
		conn->header_capacity * sizeof(*conn->headers) +
		(conn->listener != NULL ? conn->out.size : 0));
}

/*
 * Frees the buffers for the input of a connection.
 */
static void
free_input(struct h1_conn *conn)
{
	lstr_buf_free(&conn->head_text);
	lstr_buf_free(&conn->pending_input);
	free(conn->headers);
	conn->headers = NULL;
	conn->header_count = 0;
	conn->header_capacity = 0;
	conn->target = (struct span){0, 0};
	h1_account(conn);
}

/*
 * Frees all buffers of a connection that is closed.
 */
void
h1_free_buffers(struct h1_conn *conn)
{
	free_input(conn);
	lstr_buf_free(&conn->out);
	account_set(conn->h1->account, &conn->held, 0);
}

/*
 * Offers a connection to a search unless a request on it is complete and not
 * yet answered.
 */
static void
offer(struct intake *intake, struct h1_conn *conn)
{
	struct intake_candidate candidate = {
	    .bytes = conn->held + conn->owner_bytes,
	    .since = conn->idle_since,
	    .progress_at = conn->idle_since,
	    .ref = conn};

	if (conn->busy && !conn->lingering)
		return;
	if (conn->out.len > 0)
		candidate.kind = INTAKE_UNREAD;
	else if (conn->lingering)
		candidate.kind = INTAKE_LINGERING;
	else if (conn->head_started_at == 0)
		candidate.kind = INTAKE_IDLE;
	else
		candidate.kind = conn->head_done ? INTAKE_BODY : INTAKE_HEAD;
	if (candidate.kind == INTAKE_BODY || candidate.kind == INTAKE_HEAD)
		candidate.since = conn->head_started_at;
	intake_offer(intake, &candidate);
}

/*
 * Closes a connection that gives way and frees its memory. A request with an
 * incomplete body is refused by the owner instead; its connection lingers, so
 * that the answer arrives. An idle connection on which a request has arrived
 * stays: it is read in the next round of the loop.
 */
static void
drop(struct h1_conn *conn)
{
	if (conn->is_closed ||
	    (!conn->lingering && conn->head_started_at == 0 &&
		conn->out.len == 0 && h1_has_unread_bytes(conn)))
		return;
	if (!conn->lingering && conn->head_started_at != 0 && conn->head_done &&
	    conn->listener->refuse != NULL) {
		conn->listener->refuse(conn, conn->listener->arg);
		free_input(conn);
		return;
	}
	conn->h1->counts.connections_dropped++;
	conn->close_reason = H1_CLOSE_DROPPED;
	if (conn->out.len > 0)
		h1_reset(conn);
	else
		h1_close(conn);
	h1_free_buffers(conn);
}

/*
 * Lets connections of a listener give way to a new one. Returns whether there
 * is room for it.
 */
bool
h1_listener_make_room(struct h1_listener *listener)
{
	struct h1 *h1 = listener->h1;
	struct intake intake;

	if (listener->max == 0 || listener->count < listener->max)
		return true;
	intake_init(
	    &intake, INTAKE_CONNECTIONS, loop_now(h1->loop), listener->count);
	for (struct h1_conn *conn = listener->conns; conn != NULL;
	     conn = conn->next)
		offer(&intake, conn);
	h1->making_room = true;
	for (size_t i = 0; i < intake.count; i++) {
		struct h1_conn *conn = intake.choices[i].ref;

		drop(conn);
	}
	/* Refused requests linger until their answers are read. If nothing else
	 * has made room, some of them are closed. */
	for (size_t i = 0; i < intake.count && listener->count >= listener->max;
	     i++) {
		struct h1_conn *conn = intake.choices[i].ref;

		if (conn->is_closed || !conn->lingering)
			continue;
		h1_close_for(conn, H1_CLOSE_DROPPED);
		h1_free_buffers(conn);
	}
	h1->making_room = false;
	return listener->count < listener->max;
}

/*
 * Returns whether a connection, with its owner's data, may allocate more bytes.
 * If not, connections give way first; if it is itself the one to give way, the
 * result is false. The caller's own connection is never closed here.
 */
bool
h1_admit(struct h1_conn *conn, size_t more)
{
	struct h1 *h1 = conn->h1;
	const struct account *account = h1->account;
	size_t holding = conn->held + conn->owner_bytes;
	struct intake intake;
	size_t connections = 0;
	size_t missing;
	size_t target;

	if (account == NULL || h1->making_room)
		return true;
	missing = account_missing(account, holding, more);
	if (missing == 0)
		return true;
	target = account->held -
	    MIN(account->held, missing + account->limit / EXTRA_ROOM_SHARE);
	for (const struct h1_listener *listener = h1->listeners;
	     listener != NULL; listener = listener->next)
		connections += listener->count;
	intake_init(&intake, INTAKE_MEMORY, loop_now(h1->loop), connections);
	for (const struct h1_listener *listener = h1->listeners;
	     listener != NULL; listener = listener->next) {
		for (struct h1_conn *other = listener->conns; other != NULL;
		     other = other->next)
			offer(&intake, other);
	}
	h1->making_room = true;
	for (size_t i = 0; i < intake.count && account->held > target; i++) {
		if (intake.choices[i].ref == conn)
			break;
		drop(intake.choices[i].ref);
	}
	h1->making_room = false;
	return account_missing(account, holding, more) == 0;
}

/*
 * Returns whether a connection for which there is no room may stay, so that its
 * request is refused with an answer instead of being cut off.
 */
bool
h1_may_answer(const struct h1_conn *conn)
{
	const struct account *account = conn->h1->account;

	return account->held <=
	    account->limit + account->limit / ANSWER_ROOM_SHARE;
}

/*
 * Enlarges the output of a connection, as h1_grow() does. A small output is
 * admitted also if the account is full, within the room for answers.
 */
enum status
h1_grow_output(struct h1_conn *conn, size_t len)
{
	const struct account *account = conn->h1->account;
	enum status status =
	    h1_grow(conn, &conn->out, len, H1_OUTPUT_MAX_BYTES);
	size_t needed = conn->out.len + len;
	size_t size =
	    MIN(MAX(needed, conn->out.size * 2), (size_t)OUTPUT_ROOM_BYTES);

	if (status != STATUS_NO_MEMORY || account == NULL ||
	    needed > OUTPUT_ROOM_BYTES ||
	    account->held + size > account->limit +
		    account->limit / ANSWER_ROOM_SHARE +
		    account->limit / OUTPUT_ROOM_SHARE)
		return status;
	return lstr_buf_reserve(&conn->out, size);
}

/*
 * Returns whether more than half of the memory for large connections is used,
 * so that callers' input that can wait is not buffered.
 */
bool
h1_is_short(const struct h1_conn *conn)
{
	const struct account *account = conn->h1->account;

	return account != NULL && account->held > account->large_limit / 2;
}

/*
 * Enlarges a buffer of a connection or of its owner by doubling, but not beyond
 * max unless needed. Returns STATUS_NO_MEMORY if the account does not admit it.
 */
enum status
h1_grow(struct h1_conn *conn, struct lstr_buf *buf, size_t len, size_t max)
{
	size_t needed = buf->len + len;
	size_t size = MAX(needed, MIN(buf->size * 2, max));
	size_t more = size - MIN(size, buf->size);

	if (needed + (size_t)(buf->data - buf->base) <= buf->size)
		return STATUS_OK;
	if (conn->listener != NULL && !h1_admit(conn, more))
		return status_set(STATUS_NO_MEMORY, "no memory for callers");
	return lstr_buf_reserve(buf, size);
}
