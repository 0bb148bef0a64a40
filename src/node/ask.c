#include <stdlib.h>

#include "ask.h"

/* Limit of the response body; chunks that would exceed it are discarded. */
#define RESPONSE_MAX_BYTES ((size_t)256 * 1024)

struct ask {
	struct loop *loop;
	struct h1_conn *conn;
	struct loop_timer *timer;
	struct lstr_buf body;
	ask_fn fn;
	void *arg;
};

/*
 * Closes the connection, passes the result to the callback and frees the call.
 */
static void
finish(struct ask *ask, enum status status)
{
	struct ask_result result = {.status = status,
	    .http_status = h1_status(ask->conn),
	    .body = lstr_buf_view(&ask->body)};

	h1_close(ask->conn);
	loop_timer_destroy(ask->timer);
	ask->fn(&result, ask->arg);
	lstr_buf_free(&ask->body);
	free(ask);
}

/*
 * Ignores the response head; finish() reads the status code.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * Appends a chunk of the response body; a chunk that would exceed the size
 * limit is discarded.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct ask *ask = arg;

	(void)conn;
	if (ask->body.len + bytes.len <= RESPONSE_MAX_BYTES)
		lstr_buf_append(&ask->body, bytes);
}

/*
 * Ends the call after a complete response.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	(void)conn;
	finish(arg, STATUS_OK);
}

/*
 * Ends the call with the connection's status when the connection closed before
 * the response was complete.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	(void)conn;
	finish(arg, status);
}

/*
 * Ends the call with STATUS_TIMEOUT at its deadline.
 */
static void
on_timer(void *arg)
{
	finish(arg, STATUS_TIMEOUT);
}

static const struct h1_ops ops = {
    NULL, NULL, on_head, on_body, on_complete, on_ended};

/*
 * Connects to a server, sends a serialized request and starts the timer for
 * its deadline. Returns false, without calling fn, if nothing was sent.
 */
bool
ask_start(struct h1 *h1, struct loop *loop, const struct sockaddr_in *address,
    struct lstr request, int64_t deadline, ask_fn fn, void *arg)
{
	struct ask *ask = calloc(1, sizeof(*ask));

	if (ask == NULL)
		return false;
	ask->loop = loop;
	ask->fn = fn;
	ask->arg = arg;
	if (loop_timer_create(loop, on_timer, ask, &ask->timer) != STATUS_OK) {
		free(ask);
		return false;
	}
	if (h1_connect(h1, address, deadline, &ops, ask, &ask->conn) !=
	    STATUS_OK) {
		loop_timer_destroy(ask->timer);
		free(ask);
		return false;
	}
	loop_timer_set(ask->timer, deadline);
	h1_expect_answer(ask->conn, false);
	h1_write(ask->conn, request);
	return true;
}
