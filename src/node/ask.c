#include <stdlib.h>

#include "ask.h"

/* Largest answer that is taken. */
#define ANSWER_MAX_BYTES ((size_t)256 * 1024)

struct ask {
	struct loop *loop;
	struct h1_conn *conn;
	struct loop_timer *timer;
	struct lstr_buf body;
	ask_fn fn;
	void *arg;
};

/*
 * Ends a call, tells its owner and frees it.
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
 * The head needs no look before the body is there.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * Collects the body.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct ask *ask = arg;

	(void)conn;
	if (ask->body.len + bytes.len <= ANSWER_MAX_BYTES)
		lstr_buf_append(&ask->body, bytes);
}

/*
 * The answer is whole.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	(void)conn;
	finish(arg, STATUS_OK);
}

/*
 * The connection ended without a whole answer.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	(void)conn;
	finish(arg, status);
}

/*
 * The deadline has passed.
 */
static void
on_timer(void *arg)
{
	finish(arg, STATUS_TIMEOUT);
}

static const struct h1_ops ops = {
    NULL, NULL, on_head, on_body, on_complete, on_ended};

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
