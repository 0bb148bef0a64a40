#include "harness.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1.h"

/* A client connection to a socket that the test drives by hand. */
struct fixture {
	struct loop *loop;
	struct h1 *h1;
	struct h1_conn *conn;
	int listener;
	int peer;
	unsigned int connected;
	unsigned int heads;
	unsigned int complete;
	unsigned int ended;
	struct lstr_buf body;
	bool skip_first;
};

static void
on_connected(struct h1_conn *conn, void *arg)
{
	(void)conn;
	((struct fixture *)arg)->connected++;
}

static void
on_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	((struct fixture *)arg)->heads++;
}

static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct fixture *w = arg;

	(void)conn;
	lstr_buf_append(&w->body, bytes);
}

static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct fixture *w = arg;

	if (w->skip_first) {
		w->skip_first = false;
		lstr_buf_clear(&w->body);
		h1_skip(conn);
		return;
	}
	w->complete++;
}

static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct fixture *w = arg;

	(void)conn;
	(void)status;
	w->ended++;
	/* The connection is gone. */
	w->conn = NULL;
}

static const struct h1_ops ops = {
    NULL, on_connected, on_head, on_body, on_complete, on_ended};

static bool
is_connected(void *arg)
{
	return ((struct fixture *)arg)->connected > 0;
}

static bool
has_ended(void *arg)
{
	return ((struct fixture *)arg)->ended > 0;
}

static bool
is_complete(void *arg)
{
	return ((struct fixture *)arg)->complete > 0;
}

/*
 * Opens both ends and awaits an answer.
 */
static void
start(struct fixture *w)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);

	memset(w, 0, sizeof(*w));
	w->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
	    bind(w->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(w->listener, 1), 0);
	getsockname(w->listener, (struct sockaddr *)&address, &len);
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(h1_create(w->loop, &w->h1), STATUS_OK);
	ck_assert_int_eq(
	    h1_connect(w->h1, &address,
		loop_now(w->loop) + HARNESS_DEADLINE_USEC, &ops, w, &w->conn),
	    STATUS_OK);
	ck_assert(harness_wait(w->loop, is_connected, w));
	w->peer = accept(w->listener, NULL, NULL);
	ck_assert_int_ge(w->peer, 0);
	h1_expect_answer(w->conn, false);
}

/*
 * Sends bytes from the peer.
 */
static void
answer(struct fixture *w, const char *text)
{
	ck_assert_int_eq(send(w->peer, text, strlen(text), MSG_NOSIGNAL),
	    (ssize_t)strlen(text));
}

/*
 * Closes the peer's end with a reset.
 */
static void
reset_peer(struct fixture *w)
{
	const struct linger linger = {1, 0};

	setsockopt(w->peer, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(w->peer);
}

static void
stop(struct fixture *w)
{
	h1_close(w->conn);
	h1_destroy(w->h1);
	loop_destroy(w->loop);
	close(w->listener);
	lstr_buf_free(&w->body);
}

/*
 * Guards against a callback from within h1_write(): the writer would go on
 * with a request that has ended.
 */
START_TEST(failed_write_is_told_later)
{
	struct fixture w;

	start(&w);
	reset_peer(&w);
	for (int i = 0; i < 3; i++)
		h1_write(w.conn, lstr_from("GET / HTTP/1.1\r\n\r\n"));
	ck_assert_uint_eq(w.ended, 0);
	ck_assert(harness_wait(w.loop, has_ended, &w));
	ck_assert_uint_eq(w.ended, 1);
	stop(&w);
}
END_TEST

/* Guards against an answer without a length that counts although it was reset.
 */
START_TEST(reset_ends_no_answer)
{
	struct fixture w;

	start(&w);
	answer(&w, "HTTP/1.1 200 OK\r\n\r\npart");
	loop_run_once(w.loop, loop_now(w.loop) + 20 * LOOP_USEC_PER_MSEC);
	reset_peer(&w);
	ck_assert(harness_wait(w.loop, has_ended, &w));
	ck_assert_uint_eq(w.complete, 0);
	stop(&w);
}
END_TEST

/* Guards the end of an answer without a length. */
START_TEST(close_ends_an_answer_without_length)
{
	struct fixture w;

	start(&w);
	answer(&w, "HTTP/1.1 200 OK\r\n\r\nwhole");
	close(w.peer);
	ck_assert(harness_wait(w.loop, is_complete, &w));
	ck_assert(lstr_equal_c(lstr_buf_view(&w.body), "whole"));
	ck_assert(!w.conn || !h1_clean(w.conn));
	stop(&w);
}
END_TEST

/* Guards against interim answers and bytes behind an answer. */
START_TEST(only_the_answer_counts)
{
	struct fixture w;

	start(&w);
	answer(&w,
	    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
	    "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
	ck_assert(harness_wait(w.loop, is_complete, &w));
	ck_assert_uint_eq(w.heads, 1);
	ck_assert(lstr_equal_c(lstr_buf_view(&w.body), "ok"));
	ck_assert(!h1_clean(w.conn));
	stop(&w);
}
END_TEST

/* Guards the answer behind one that belongs to another request. */
START_TEST(skipped_answer_is_followed_by_the_next)
{
	struct fixture w;

	start(&w);
	w.skip_first = true;
	answer(&w,
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
	ck_assert(harness_wait(w.loop, is_complete, &w));
	ck_assert(lstr_equal_c(lstr_buf_view(&w.body), "own"));
	ck_assert(h1_clean(w.conn));
	stop(&w);
}
END_TEST

/* Guards lists such as that of Connection. */
START_TEST(tokens_are_found_in_lists)
{
	ck_assert(h1_token_listed(
	    lstr_from("close, X-One ,x-two"), lstr_from("x-one")));
	ck_assert(h1_token_listed(lstr_from("a,X-Two"), lstr_from("x-two")));
	ck_assert(!h1_token_listed(lstr_from("x-one-two"), lstr_from("x-one")));
	ck_assert(!h1_token_listed(lstr_from(""), lstr_from("x")));
}
END_TEST

HARNESS_MAIN("h1", failed_write_is_told_later, reset_ends_no_answer,
    close_ends_an_answer_without_length, only_the_answer_counts,
    skipped_answer_is_followed_by_the_next, tokens_are_found_in_lists)
