#include "harness.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1.h"

/* More than a socket buffers. */
#define LONG_RESPONSE_BYTES ((size_t)7 * 1024 * 1024)

/* A client connection whose peer is a plain socket driven by the test. */
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
	struct fixture *f = arg;

	(void)conn;
	lstr_buf_append(&f->body, bytes);
}

static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct fixture *f = arg;

	if (f->skip_first) {
		f->skip_first = false;
		lstr_buf_clear(&f->body);
		h1_skip_response(conn);
		return;
	}
	f->complete++;
}

static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct fixture *f = arg;

	(void)conn;
	(void)status;
	f->ended++;
	/* The connection must not be used any more. */
	f->conn = NULL;
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
 * Connects the client to the peer and prepares it to receive a response.
 */
static void
fixture_start(struct fixture *f)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);

	memset(f, 0, sizeof(*f));
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
	    bind(f->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(f->listener, 1), 0);
	getsockname(f->listener, (struct sockaddr *)&address, &len);
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(h1_create(f->loop, &f->h1), STATUS_OK);
	ck_assert_int_eq(
	    h1_connect(f->h1, &address,
		loop_now(f->loop) + HARNESS_DEADLINE_USEC, &ops, f, &f->conn),
	    STATUS_OK);
	ck_assert(harness_wait(f->loop, is_connected, f));
	f->peer = accept(f->listener, NULL, NULL);
	ck_assert_int_ge(f->peer, 0);
	h1_expect_response(f->conn, false);
}

/*
 * Sends bytes from the peer.
 */
static void
peer_send(struct fixture *f, const char *text)
{
	ck_assert_int_eq(send(f->peer, text, strlen(text), MSG_NOSIGNAL),
	    (ssize_t)strlen(text));
}

/*
 * Closes the peer's socket with a TCP reset.
 */
static void
peer_reset(struct fixture *f)
{
	const struct linger linger = {1, 0};

	setsockopt(f->peer, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(f->peer);
}

static void
fixture_stop(struct fixture *f)
{
	h1_close(f->conn);
	h1_destroy(f->h1);
	loop_destroy(f->loop);
	close(f->listener);
	lstr_buf_free(&f->body);
}

/*
 * Guards against calling ended from within h1_write(): the caller would
 * continue to use a request that has ended.
 */
START_TEST(failed_write_is_reported_later)
{
	struct fixture f;

	fixture_start(&f);
	peer_reset(&f);
	for (int i = 0; i < 3; i++)
		h1_write(f.conn, lstr_from("GET / HTTP/1.1\r\n\r\n"));
	ck_assert_uint_eq(f.ended, 0);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_uint_eq(f.ended, 1);
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against cutting off a long response whose peer reads steadily, but too
 * slowly for the socket to accept more within H1_LINGER_USEC.
 */
START_TEST(graceful_close_delivers_to_a_peer_slower_than_the_socket)
{
	static char bytes[LONG_RESPONSE_BYTES];
	static char chunk[64 * 1024];
	struct fixture f;
	size_t received = 0;
	int64_t until;
	ssize_t n = 1;

	fixture_start(&f);
	ck_assert_int_eq(
	    h1_write(f.conn, lstr_make(bytes, sizeof(bytes))), STATUS_OK);
	h1_close_gracefully(f.conn);
	until = loop_now(f.loop) + 5 * H1_LINGER_USEC / 2;
	while (loop_now(f.loop) < until) {
		int64_t next = loop_now(f.loop) + H1_LINGER_USEC / 10;

		n = recv(f.peer, chunk, sizeof(chunk), MSG_DONTWAIT);
		received += n > 0 ? (size_t)n : 0;
		while (loop_now(f.loop) < next)
			loop_run_once(f.loop, next);
	}
	until = loop_now(f.loop) + HARNESS_DEADLINE_USEC;
	while (n != 0) {
		ck_assert_int_lt(loop_now(f.loop), until);
		n = recv(f.peer, chunk, sizeof(chunk), MSG_DONTWAIT);
		received += n > 0 ? (size_t)n : 0;
		if (n < 0)
			loop_run_once(
			    f.loop, loop_now(f.loop) + LOOP_USEC_PER_MSEC);
	}
	ck_assert_uint_eq(received, sizeof(bytes));
	close(f.peer);
	/* The connection ends without a callback. */
	f.conn = NULL;
	until = loop_now(f.loop) + 2 * H1_LINGER_USEC;
	while (loop_now(f.loop) < until)
		loop_run_once(f.loop, until);
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against cutting off a long response a fixed time after it was queued
 * although its peer goes on reading.
 */
START_TEST(graceful_close_delivers_to_a_slow_peer)
{
	static char bytes[LONG_RESPONSE_BYTES];
	static char chunk[16 * 1024];
	struct fixture f;
	size_t received = 0;
	int64_t deadline;
	ssize_t n = 1;

	fixture_start(&f);
	ck_assert_int_eq(
	    h1_write(f.conn, lstr_make(bytes, sizeof(bytes))), STATUS_OK);
	h1_close_gracefully(f.conn);
	deadline = loop_now(f.loop) + HARNESS_DEADLINE_USEC;
	while (n != 0) {
		int64_t until = loop_now(f.loop) + 10 * LOOP_USEC_PER_MSEC;

		ck_assert_int_lt(until, deadline);
		n = recv(f.peer, chunk, sizeof(chunk), MSG_DONTWAIT);
		received += n > 0 ? (size_t)n : 0;
		while (loop_now(f.loop) < until)
			loop_run_once(f.loop, until);
	}
	ck_assert_uint_eq(received, sizeof(bytes));
	close(f.peer);
	/* The connection ends without a callback. */
	f.conn = NULL;
	deadline = loop_now(f.loop) + 2 * H1_LINGER_USEC;
	while (loop_now(f.loop) < deadline)
		loop_run_once(f.loop, deadline);
	fixture_stop(&f);
}
END_TEST

/* Guards against treating a response without a length as complete when the
 * connection is reset. */
START_TEST(reset_does_not_complete_response)
{
	struct fixture f;

	fixture_start(&f);
	peer_send(&f, "HTTP/1.1 200 OK\r\n\r\npart");
	loop_run_once(f.loop, loop_now(f.loop) + 20 * LOOP_USEC_PER_MSEC);
	peer_reset(&f);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_uint_eq(f.complete, 0);
	fixture_stop(&f);
}
END_TEST

/* Guards against a response without a length that is not completed when the
 * peer closes, and against reuse of its connection. */
START_TEST(close_completes_response_without_length)
{
	struct fixture f;

	fixture_start(&f);
	peer_send(&f, "HTTP/1.1 200 OK\r\n\r\nwhole");
	close(f.peer);
	ck_assert(harness_wait(f.loop, is_complete, &f));
	ck_assert(lstr_equal_c(lstr_buf_view(&f.body), "whole"));
	ck_assert(!f.conn || !h1_is_reusable(f.conn));
	fixture_stop(&f);
}
END_TEST

/* Guards against reporting an interim response, and against reuse of a
 * connection with bytes after the response. */
START_TEST(interim_response_and_extra_bytes_are_ignored)
{
	struct fixture f;

	fixture_start(&f);
	peer_send(&f,
	    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
	    "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
	ck_assert(harness_wait(f.loop, is_complete, &f));
	ck_assert_uint_eq(f.heads, 1);
	ck_assert(lstr_equal_c(lstr_buf_view(&f.body), "ok"));
	ck_assert(!h1_is_reusable(f.conn));
	fixture_stop(&f);
}
END_TEST

/* Guards against losing the response that follows a skipped one, which belongs
 * to another request. */
START_TEST(response_after_skipped_one_is_read)
{
	struct fixture f;

	fixture_start(&f);
	f.skip_first = true;
	peer_send(&f,
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
	ck_assert(harness_wait(f.loop, is_complete, &f));
	ck_assert(lstr_equal_c(lstr_buf_view(&f.body), "own"));
	ck_assert(h1_is_reusable(f.conn));
	fixture_stop(&f);
}
END_TEST

/* Guards against tokens that are missed, or matched in part, in a header list
 * such as that of Connection. */
START_TEST(tokens_are_found_in_header_lists)
{
	ck_assert(h1_list_contains_token(
	    lstr_from("close, X-One ,x-two"), lstr_from("x-one")));
	ck_assert(
	    h1_list_contains_token(lstr_from("a,X-Two"), lstr_from("x-two")));
	ck_assert(!h1_list_contains_token(
	    lstr_from("x-one-two"), lstr_from("x-one")));
	ck_assert(!h1_list_contains_token(lstr_from(""), lstr_from("x")));
}
END_TEST

/* Guards against an entry that is lost, or a list that never ends, when entries
 * are empty or have spaces around them. */
START_TEST(list_entries_are_split)
{
	static const char *const expected[] = {"a b", "", "c", ""};
	struct lstr rest = lstr_from(" a b\t,, c ,");
	struct lstr entry;

	for (size_t i = 0; i < 4; i++) {
		ck_assert(h1_list_next(&rest, &entry));
		ck_assert(lstr_equal_c(entry, expected[i]));
		ck_assert((rest.data == NULL) == (i == 3));
	}
	ck_assert(!h1_list_next(&rest, &entry));
}
END_TEST

/*
 * Sends the first bytes of a response from the peer, closes, and returns
 * whether the client takes them for a response. skip: another response comes
 * first and is skipped.
 */
static bool
cut_response_completes(const char *text, size_t len, bool skip)
{
	struct fixture f;
	bool completes;

	fixture_start(&f);
	f.skip_first = skip;
	if (skip)
		peer_send(
		    &f, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
	ck_assert_int_eq(send(f.peer, text, len, MSG_NOSIGNAL), (ssize_t)len);
	close(f.peer);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	completes = f.complete > 0;
	fixture_stop(&f);
	return completes;
}

/* Guards against taking a response for complete whose server closed in the
 * middle of its head, body or trailer. */
START_TEST(response_cut_at_any_byte_does_not_complete)
{
	static const char *const responses[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-More: y\r\n\r\nhello",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello"
	    "\r\n0\r\nX-Trailer: y\r\n\r\n",
	    "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"
	    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	    /* The connection ends the body of this one. */
	    "HTTP/1.1 200 OK\r\nX-More: y\r\n\r\n"};

	for (size_t i = 0; i < 2 * sizeof(responses) / sizeof(*responses);
	     i++) {
		const char *text = responses[i / 2];
		bool skip = i % 2 == 1;

		for (size_t len = 0; len < strlen(text); len++)
			ck_assert_msg(!cut_response_completes(text, len, skip),
			    "%zu bytes of '%s' are taken for a response", len,
			    text);
	}
	ck_assert(
	    cut_response_completes(responses[3], strlen(responses[3]), false));
}
END_TEST

/* Guards against a body without a copy that overtakes its head or is cut, and
 * against the reuse of a connection whose server answers before it has read all
 * of the body: the next request would follow inside it. */
START_TEST(lent_body_follows_its_head_and_prevents_reuse)
{
	static char bytes[LONG_RESPONSE_BYTES];
	static char chunk[64 * 1024];
	static const char head[] = "POST / HTTP/1.1\r\n\r\n";
	const size_t total = sizeof(head) - 1 + sizeof(bytes);
	struct fixture f;
	size_t received = 0;

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (char)('a' + i % 23);
	fixture_start(&f);
	h1_write(f.conn, lstr_from(head));
	h1_lend(f.conn, lstr_make(bytes, sizeof(bytes)));
	peer_send(&f, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
	ck_assert(harness_wait(f.loop, is_complete, &f));
	ck_assert_uint_gt(h1_unsent_bytes(f.conn), 0);
	ck_assert(!h1_is_reusable(f.conn));
	while (received < total) {
		ssize_t n = recv(f.peer, chunk, sizeof(chunk), MSG_DONTWAIT);

		for (ssize_t i = 0; i < n; i++, received++)
			ck_assert_int_eq(chunk[i],
			    received < sizeof(head) - 1
				? head[received]
				: bytes[received - (sizeof(head) - 1)]);
		loop_run_once(f.loop, loop_now(f.loop) + LOOP_USEC_PER_MSEC);
	}
	ck_assert_uint_eq(h1_unsent_bytes(f.conn), 0);
	ck_assert(h1_is_reusable(f.conn));
	close(f.peer);
	fixture_stop(&f);
}
END_TEST

HARNESS_MAIN("h1", response_cut_at_any_byte_does_not_complete,
    graceful_close_delivers_to_a_slow_peer,
    graceful_close_delivers_to_a_peer_slower_than_the_socket,
    failed_write_is_reported_later, reset_does_not_complete_response,
    close_completes_response_without_length,
    interim_response_and_extra_bytes_are_ignored,
    response_after_skipped_one_is_read, tokens_are_found_in_header_lists,
    list_entries_are_split, lent_body_follows_its_head_and_prevents_reuse)
