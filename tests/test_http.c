#include "harness.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "answers.h"
#include "fetch.h"
#include "httpd.h"

#define BODY_MAX_BYTES 1024
/* Limits of a server with little memory: one large body fits besides the
 * connections. */
#define LARGE_BODY_BYTES ((size_t)60000)
#define SECOND_BODY_BYTES ((size_t)20000)
#define LARGE_BODY_MAX_BYTES ((size_t)64 * 1024)
#define ACCOUNT_BYTES ((size_t)200 * 1024)
#define ACCOUNT_CONNECTIONS 100
/* Bytes that a server may send before its connection is closed: what the
 * client reads and what sockets buffer. */
#define SENT_MAX_BYTES ((size_t)8 * 1024 * 1024)

/*
 * A server and a client on one event loop, and the results they have received.
 */
struct fixture {
	struct loop *loop;
	struct httpd *httpd;
	struct fetch *fetch;
	char url[128];
	struct httpd_request *held;
	bool done;
	bool maybe_sent;
	enum status status;
	long http_status;
	struct lstr_buf body;
	int closed;
};

static void
on_request(struct httpd_request *request, void *arg)
{
	struct fixture *f = arg;

	if (lstr_equal_c(httpd_path(request), "/echo")) {
		httpd_respond(request, 200, "text/plain", httpd_body(request));
		return;
	}
	f->held = request;
}

static void
on_closed(struct httpd_request *request, void *arg)
{
	(void)request;
	((struct fixture *)arg)->closed++;
}

static const struct httpd_ops server_ops = {on_request, on_closed};

static void
on_done(struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct fixture *f = arg;

	(void)call;
	f->done = true;
	f->status = result->status;
	f->http_status = result->http_status;
	f->maybe_sent = result->maybe_sent;
	lstr_buf_append(&f->body, result->body);
}

static const struct fetch_ops client_ops = {NULL, on_done};

/*
 * Starts the server and the client.
 */
static void
fixture_start(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(httpd_create(f->loop, "127.0.0.1:0", BODY_MAX_BYTES,
			     &server_ops, f, &f->httpd),
	    STATUS_OK);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
}

/*
 * Sends a request to a path of the server.
 */
static void
post_request(struct fixture *f, const char *path, struct fetch_request *request)
{
	snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%u%s",
	    httpd_port(f->httpd), path);
	request->url = f->url;
	ck_assert_int_eq(
	    fetch_start(f->fetch, request, &client_ops, f, NULL), STATUS_OK);
}

/*
 * Posts a body to a path of the server.
 */
static void
post(struct fixture *f, const char *path, struct lstr body, int64_t deadline)
{
	struct fetch_request request = {
	    .method = "POST", .body = body, .deadline = deadline};

	post_request(f, path, &request);
}

static bool
is_done(void *arg)
{
	return ((struct fixture *)arg)->done;
}

static bool
is_held(void *arg)
{
	return ((struct fixture *)arg)->held != NULL;
}

/* Guards against bodies that are altered in transit. */
START_TEST(echo_returns_the_body)
{
	struct fixture f;

	fixture_start(&f);
	post(&f, "/echo", lstr_from("hello"), 0);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert(lstr_equal_c(lstr_buf_view(&f.body), "hello"));
}
END_TEST

/* Guards against responses that only work from inside the handler. */
START_TEST(deferred_stream_arrives_complete)
{
	struct fixture f;

	fixture_start(&f);
	post(&f, "/hold", lstr_from("x"), 0);
	ck_assert(harness_wait(f.loop, is_held, &f));
	httpd_stream_begin(f.held, 200, "text/plain");
	httpd_stream_write(f.held, lstr_from("one "));
	loop_run_once(f.loop, loop_now(f.loop));
	httpd_stream_write(f.held, lstr_from("two"));
	httpd_stream_end(f.held);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert(lstr_equal_c(lstr_buf_view(&f.body), "one two"));
	ck_assert_int_eq(f.closed, 1);
}
END_TEST

/* Guards against unbounded memory use by a large request body. */
START_TEST(large_body_is_refused)
{
	static char large[2 * BODY_MAX_BYTES];
	struct fixture f;

	memset(large, 'x', sizeof(large));
	fixture_start(&f);
	post(&f, "/echo", lstr_make(large, sizeof(large)), 0);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.http_status, 413);
}
END_TEST

/* Guards against a call that does not end at its deadline. */
START_TEST(deadline_ends_the_call)
{
	struct fixture f;

	fixture_start(&f);
	post(&f, "/hold", lstr_from("x"),
	    loop_now(f.loop) + 50 * LOOP_USEC_PER_MSEC);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.status, STATUS_TIMEOUT);
	ck_assert(f.maybe_sent);
}
END_TEST

/*
 * Sends parts of a response, each of which takes a part of the time limit.
 */
static void
send_slowly(struct fixture *f, size_t bytes, int parts, int64_t part_usec)
{
	static char part[2 * FETCH_PROGRESS_BYTES];

	memset(part, 'x', sizeof(part));
	ck_assert_uint_le(bytes, sizeof(part));
	ck_assert(harness_wait(f->loop, is_held, f));
	httpd_stream_begin(f->held, 200, "text/plain");
	for (int i = 0; i < parts && !f->done; i++) {
		int64_t end = loop_now(f->loop) + part_usec;

		httpd_stream_write(f->held, lstr_make(part, bytes));
		while (loop_now(f->loop) < end)
			loop_run_once(f->loop, end);
	}
}

/*
 * Guards against large responses that are requested again and again and never
 * complete, since each call ends while its response arrives.
 */
START_TEST(call_does_not_end_while_its_response_arrives)
{
	struct fixture f;
	struct fetch_request request = {
	    .method = "POST", .progress_usec = HARNESS_DEADLINE_USEC};

	fixture_start(&f);
	request.deadline = loop_now(f.loop) + 100 * LOOP_USEC_PER_MSEC;
	request.progress_deadline =
	    loop_now(f.loop) + 2 * HARNESS_DEADLINE_USEC;
	post_request(&f, "/hold", &request);
	send_slowly(&f, 2 * FETCH_PROGRESS_BYTES, 10, 30 * LOOP_USEC_PER_MSEC);
	ck_assert(!f.done);
	httpd_stream_end(f.held);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_uint_eq(f.body.len, 20 * FETCH_PROGRESS_BYTES);
}
END_TEST

/* Guards against calls that a few bytes now and then keep alive. */
START_TEST(trickling_response_ends_at_the_deadline)
{
	struct fixture f;
	struct fetch_request request = {
	    .method = "POST", .progress_usec = HARNESS_DEADLINE_USEC};

	fixture_start(&f);
	request.deadline = loop_now(f.loop) + 100 * LOOP_USEC_PER_MSEC;
	request.progress_deadline =
	    loop_now(f.loop) + 2 * HARNESS_DEADLINE_USEC;
	post_request(&f, "/hold", &request);
	send_slowly(&f, 10, 10, 30 * LOOP_USEC_PER_MSEC);
	ck_assert(f.done);
	ck_assert_int_eq(f.status, STATUS_TIMEOUT);
}
END_TEST

/* Guards against reporting a request as maybe sent when it was not. */
START_TEST(refused_connection_was_not_sent)
{
	struct fixture f;

	fixture_start(&f);
	snprintf(
	    f.url, sizeof(f.url), "http://127.0.0.1:%u/", httpd_port(f.httpd));
	httpd_destroy(f.httpd);
	{
		struct fetch_request request = {.method = "POST",
		    .url = f.url,
		    .body = lstr_from("x"),
		    .once = true};

		fetch_start(f.fetch, &request, &client_ops, &f, NULL);
	}
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.status, STATUS_UNAVAILABLE);
	ck_assert(!f.maybe_sent);
}
END_TEST

static bool
client_is_gone(void *arg)
{
	return httpd_client_disconnected(((struct fixture *)arg)->held);
}

/* Guards against a truncated response that appears complete. */
START_TEST(aborted_response_is_an_error)
{
	struct fixture f;

	fixture_start(&f);
	post(&f, "/hold", lstr_from("x"), 0);
	ck_assert(harness_wait(f.loop, is_held, &f));
	httpd_stream_begin(f.held, 200, "text/plain");
	httpd_stream_write(f.held, lstr_from("half"));
	loop_run_once(f.loop, loop_now(f.loop));
	httpd_abort(f.held);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_ne(f.status, STATUS_OK);
	ck_assert_int_eq(f.closed, 1);
}
END_TEST

/* Guards against work for a client that left before the response began. */
START_TEST(disconnected_client_is_detected)
{
	struct fixture f;

	fixture_start(&f);
	post(&f, "/hold", lstr_from("x"),
	    loop_now(f.loop) + 50 * LOOP_USEC_PER_MSEC);
	ck_assert(harness_wait(f.loop, is_held, &f));
	ck_assert(!client_is_gone(&f));
	ck_assert(harness_wait(f.loop, client_is_gone, &f));
}
END_TEST

/* Guards against a crash when the server stops with an open request. */
START_TEST(server_stops_with_a_request_open)
{
	struct fixture f;

	fixture_start(&f);
	post(&f, "/hold", lstr_from("x"), 0);
	ck_assert(harness_wait(f.loop, is_held, &f));
	loop_run_once(f.loop, loop_now(f.loop));
	httpd_destroy(f.httpd);
	ck_assert_int_eq(f.closed, 1);
}
END_TEST

/* A server that sends the first bytes of a response and closes. */
struct raw_server {
	struct fixture fixture;
	int listener;
	/* The open connection; -1: none. */
	int peer;
};

/*
 * Starts the client and a listening socket.
 */
static void
raw_start(struct raw_server *raw)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	struct fixture *f = &raw->fixture;

	memset(raw, 0, sizeof(*raw));
	raw->peer = -1;
	raw->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	ck_assert_int_eq(
	    bind(raw->listener, (struct sockaddr *)&address, sizeof(address)),
	    0);
	ck_assert_int_eq(listen(raw->listener, 4), 0);
	getsockname(raw->listener, (struct sockaddr *)&address, &len);
	snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%u/",
	    (unsigned int)ntohs(address.sin_port));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
}

/*
 * Accepts a connection unless one is open, and returns whether the request has
 * been read.
 */
static bool
raw_has_request(void *arg)
{
	struct raw_server *raw = arg;
	char bytes[1024];

	if (raw->peer < 0)
		raw->peer = accept4(raw->listener, NULL, NULL, SOCK_NONBLOCK);
	return raw->peer >= 0 && recv(raw->peer, bytes, sizeof(bytes), 0) > 0;
}

/*
 * Sends a response, and closes the connection unless it is kept.
 */
static void
raw_respond(struct raw_server *raw, struct lstr response, bool keep)
{
	ck_assert_int_eq(
	    send(raw->peer, response.data, response.len, MSG_NOSIGNAL),
	    (ssize_t)response.len);
	if (keep)
		return;
	close(raw->peer);
	raw->peer = -1;
}

/*
 * Starts a call to the server.
 */
static void
raw_start_call(struct raw_server *raw)
{
	struct fixture *f = &raw->fixture;
	struct fetch_request request = {.method = "GET",
	    .url = f->url,
	    .deadline = loop_now(f->loop) + HARNESS_DEADLINE_USEC};

	f->done = false;
	ck_assert_int_eq(
	    fetch_start(f->fetch, &request, &client_ops, f, NULL), STATUS_OK);
}

/*
 * Makes a call that is answered with some bytes and returns its status. libcurl
 * repeats a call whose reused connection is closed within the first line.
 */
static enum status
raw_call(struct raw_server *raw, struct lstr response, bool keep)
{
	struct fixture *f = &raw->fixture;

	raw_start_call(raw);
	while (!f->done) {
		if (raw_has_request(raw))
			raw_respond(raw, response, keep);
		loop_run_once(f->loop, loop_now(f->loop) + LOOP_USEC_PER_MSEC);
	}
	return f->status;
}

/*
 * Frees the client and closes the sockets.
 */
static void
raw_stop(struct raw_server *raw)
{
	fetch_destroy(raw->fixture.fetch);
	loop_destroy(raw->fixture.loop);
	lstr_buf_free(&raw->fixture.body);
	if (raw->peer >= 0)
		close(raw->peer);
	close(raw->listener);
}

/* Guards against taking a response for complete whose server closed in the
 * middle of its head, body or trailer; libcurl alone reports success. */
START_TEST(response_cut_at_any_byte_is_an_error)
{
	static const char whole[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
	static const struct {
		const char *text;
		/* The connection ends the body, so only the head is cut. */
		bool unframed;
	} responses[] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-More: y\r\n\r\nhello",
		false},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello"
	     "\r\n0\r\nX-Trailer: y\r\n\r\n",
		false},
	    {"HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"
	     "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		false},
	    {"HTTP/1.1 200 OK\r\nX-More: y\r\n\r\n", true}};
	struct raw_server raw;

	raw_start(&raw);
	for (size_t i = 0; i < 2 * sizeof(responses) / sizeof(*responses);
	     i++) {
		const char *text = responses[i / 2].text;
		bool reused = i % 2 == 1;

		for (size_t len = reused; len < strlen(text); len++) {
			if (reused)
				ck_assert_int_eq(
				    raw_call(&raw, lstr_from(whole), true),
				    STATUS_OK);
			ck_assert_msg(raw_call(&raw, lstr_make(text, len),
					  false) != STATUS_OK,
			    "%zu bytes of '%s' are taken for a response, "
			    "reused %d",
			    len, text, reused);
		}
		ck_assert_int_eq(
		    raw_call(&raw, lstr_from(text), !responses[i / 2].unframed),
		    STATUS_OK);
		if (raw.peer >= 0)
			close(raw.peer);
		raw.peer = -1;
	}
	raw_stop(&raw);
}
END_TEST

/*
 * Checks that a call is not answered by any answer of a list, whether its
 * connection is closed or kept, and that nothing of the answer is left for the
 * next call.
 */
static void
check_answers_are_refused(const struct lstr *answers, size_t count)
{
	struct raw_server raw;

	raw_start(&raw);
	for (size_t i = 0; i < 2 * count; i++) {
		struct lstr answer = answers[i / 2];
		enum status status = raw_call(&raw, answer, i % 2 == 1);

		ck_assert_msg(status == STATUS_INVALID,
		    "'%.*s': %s (%s), status %ld, %zu bytes", LSTR_ARG(answer),
		    status_name(status), status_message(),
		    raw.fixture.http_status, raw.fixture.body.len);
		ck_assert_int_eq(raw.fixture.http_status, 0);
		if (raw.peer >= 0)
			close(raw.peer);
		raw.peer = -1;
		lstr_buf_clear(&raw.fixture.body);
		ck_assert_int_eq(
		    raw_call(&raw, answers_sound[0].bytes, false), STATUS_OK);
		ck_assert(lstr_equal_c(lstr_buf_view(&raw.fixture.body), "ok"));
		lstr_buf_clear(&raw.fixture.body);
	}
	raw_stop(&raw);
}

/* Guards against answers that libcurl alone takes for valid. */
START_TEST(answer_without_a_status_is_an_error)
{
	check_answers_are_refused(
	    answers_start, sizeof(answers_start) / sizeof(*answers_start));
}
END_TEST

/* The same for field lines. */
START_TEST(answer_with_malformed_fields_is_an_error)
{
	check_answers_are_refused(
	    answers_fields, sizeof(answers_fields) / sizeof(*answers_fields));
}
END_TEST

/* The same for lengths and codings. */
START_TEST(answer_with_unclear_framing_is_an_error)
{
	check_answers_are_refused(answers_framing,
	    sizeof(answers_framing) / sizeof(*answers_framing));
}
END_TEST

/* The same for chunks. */
START_TEST(answer_with_malformed_chunks_is_an_error)
{
	check_answers_are_refused(
	    answers_chunks, sizeof(answers_chunks) / sizeof(*answers_chunks));
}
END_TEST

/* Guards against refusing what a server may send, or reading it wrongly. */
START_TEST(valid_answers_are_read)
{
	struct raw_server raw;

	raw_start(&raw);
	for (size_t i = 0; i < sizeof(answers_sound) / sizeof(*answers_sound);
	     i++) {
		struct lstr answer = answers_sound[i].bytes;
		enum status status = raw_call(&raw, answer, false);

		lstr_buf_append(&raw.fixture.body, lstr_make("", 1));
		ck_assert_msg(status == STATUS_OK &&
			raw.fixture.http_status ==
			    (long)answers_sound[i].status &&
			strcmp(raw.fixture.body.data, answers_sound[i].body) ==
			    0,
		    "'%.*s': %s, status %ld, body '%s'", LSTR_ARG(answer),
		    status_name(status), raw.fixture.http_status,
		    raw.fixture.body.data);
		lstr_buf_clear(&raw.fixture.body);
	}
	raw_stop(&raw);
}
END_TEST

/* Guards against a response that ends at another byte than its server's,
 * depending on how it arrives. */
START_TEST(valid_answers_are_read_byte_by_byte)
{
	struct raw_server raw;

	raw_start(&raw);
	for (size_t i = 0; i < sizeof(answers_sound) / sizeof(*answers_sound);
	     i++) {
		struct lstr answer = answers_sound[i].bytes;

		raw_start_call(&raw);
		ck_assert(
		    harness_wait(raw.fixture.loop, raw_has_request, &raw));
		for (size_t at = 0; at < answer.len; at++) {
			raw_respond(&raw, lstr_make(answer.data + at, 1), true);
			for (int n = 0; n < 3; n++)
				loop_run_once(raw.fixture.loop, 0);
		}
		close(raw.peer);
		raw.peer = -1;
		ck_assert(harness_wait(raw.fixture.loop, is_done, &raw));
		ck_assert_msg(raw.fixture.status == STATUS_OK &&
			lstr_equal_c(lstr_buf_view(&raw.fixture.body),
			    answers_sound[i].body),
		    "'%.*s': %s", LSTR_ARG(answer), status_message());
		lstr_buf_clear(&raw.fixture.body);
	}
	raw_stop(&raw);
}
END_TEST

/* Guards against taking bytes that follow an answer for that to the next call
 * on the connection. */
START_TEST(bytes_after_an_answer_are_not_the_next_one)
{
	static const char stray[] =
	    "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nstray";
	struct raw_server raw;
	int earlier;

	raw_start(&raw);
	ck_assert_int_eq(
	    raw_call(&raw, answers_sound[0].bytes, true), STATUS_OK);
	lstr_buf_clear(&raw.fixture.body);
	raw_respond(&raw, lstr_from(stray), true);
	earlier = raw.peer;
	raw.peer = -1;
	ck_assert_int_eq(
	    raw_call(&raw, answers_sound[0].bytes, false), STATUS_OK);
	ck_assert(lstr_equal_c(lstr_buf_view(&raw.fixture.body), "ok"));
	close(earlier);
	raw_stop(&raw);
}
END_TEST

/* Guards against reading heads, also of interim responses, for as long as a
 * faulty server sends them. */
START_TEST(head_without_end_is_cut)
{
	static const char *const starts[] = {
	    "HTTP/1.1 200 OK\r\n", "HTTP/1.1 102 Processing\r\n\r\n"};
	static const char *const lines[] = {
	    "X-More: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n",
	    "HTTP/1.1 102 Processing\r\nX-More: yyyyyyyyyyyyyyyyy\r\n\r\n"};

	for (size_t i = 0; i < sizeof(lines) / sizeof(*lines); i++) {
		struct raw_server raw;
		struct lstr_buf text = {0};
		size_t sent = 0;

		raw_start(&raw);
		for (int n = 0; n < 1000; n++)
			lstr_buf_append(&text, lstr_from(lines[i]));
		raw_start_call(&raw);
		ck_assert(
		    harness_wait(raw.fixture.loop, raw_has_request, &raw));
		send(raw.peer, starts[i], strlen(starts[i]), MSG_NOSIGNAL);
		while (!raw.fixture.done) {
			ssize_t n =
			    send(raw.peer, text.data, text.len, MSG_NOSIGNAL);

			sent += n > 0 ? (size_t)n : 0;
			ck_assert_uint_le(sent, SENT_MAX_BYTES);
			loop_run_once(raw.fixture.loop,
			    loop_now(raw.fixture.loop) + LOOP_USEC_PER_MSEC);
		}
		ck_assert_int_eq(raw.fixture.status, STATUS_FULL);
		lstr_buf_free(&text);
		raw_stop(&raw);
	}
}
END_TEST

/*
 * Replaces the server by one with little memory.
 */
static void
limit_memory(struct fixture *f, struct account *account)
{
	httpd_destroy(f->httpd);
	ck_assert_int_eq(httpd_create(f->loop, "127.0.0.1:0",
			     LARGE_BODY_MAX_BYTES, &server_ops, f, &f->httpd),
	    STATUS_OK);
	account_init(account, ACCOUNT_BYTES);
	httpd_set_limits(f->httpd, account, ACCOUNT_CONNECTIONS);
}

/* Guards against a body that gives way without the promise that its request was
 * not run, and against an ordinary request that is refused instead. */
START_TEST(stalled_body_gives_way_with_a_refusal)
{
	struct fixture f;
	struct account account;
	struct sockaddr_in address = {.sin_family = AF_INET};
	char answer[1024] = "";
	char head[128];
	char *body = calloc(1, LARGE_BODY_BYTES);
	size_t received = 0;
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	fixture_start(&f);
	limit_memory(&f, &account);
	address.sin_port = htons(httpd_port(f.httpd));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	snprintf(head, sizeof(head),
	    "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
	    LARGE_BODY_BYTES);
	ck_assert_int_gt(send(fd, head, strlen(head), 0), 0);
	ck_assert_int_eq(send(fd, body, LARGE_BODY_BYTES - 1, 0),
	    (ssize_t)LARGE_BODY_BYTES - 1);
	for (int i = 0; i < 100; i++)
		loop_run_once(f.loop, loop_now(f.loop) + LOOP_USEC_PER_MSEC);
	post(&f, "/echo", lstr_make(body, SECOND_BODY_BYTES), 0);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_int_eq(f.http_status, 200);
	ck_assert_uint_eq(f.body.len, SECOND_BODY_BYTES);
	while ((n = recv(fd, answer + received, sizeof(answer) - 1 - received,
		    0)) > 0)
		received += (size_t)n;
	ck_assert_ptr_eq(strstr(answer, "HTTP/1.1 503 "), answer);
	ck_assert_ptr_nonnull(strstr(answer, "\r\nRetry-After: 1\r\n"));
	ck_assert_ptr_nonnull(strstr(answer, "\"outcome\":\"not-run\""));
	ck_assert_ptr_null(f.held);
	close(fd);
	free(body);
}
END_TEST

/* Guards against a complete request that gives way, and against a body without
 * room that is passed on in part. */
START_TEST(body_without_room_is_refused_beside_a_complete_request)
{
	struct fixture f;
	struct account account;
	char *body = calloc(1, LARGE_BODY_BYTES);

	fixture_start(&f);
	limit_memory(&f, &account);
	post(&f, "/hold", lstr_make(body, LARGE_BODY_BYTES), 0);
	ck_assert(harness_wait(f.loop, is_held, &f));
	post(&f, "/echo", lstr_make(body, LARGE_BODY_BYTES), 0);
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.http_status, 503);
	lstr_buf_append(&f.body, lstr_make("", 1));
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"outcome\":\"not-run\""));
	f.done = false;
	lstr_buf_clear(&f.body);
	httpd_respond(f.held, 200, "text/plain", lstr_from("held"));
	ck_assert(harness_wait(f.loop, is_done, &f));
	ck_assert_int_eq(f.http_status, 200);
	ck_assert(lstr_equal_c(lstr_buf_view(&f.body), "held"));
	free(body);
}
END_TEST

HARNESS_MAIN("http", answer_without_a_status_is_an_error,
    answer_with_malformed_fields_is_an_error,
    answer_with_unclear_framing_is_an_error,
    answer_with_malformed_chunks_is_an_error, valid_answers_are_read,
    bytes_after_an_answer_are_not_the_next_one,
    valid_answers_are_read_byte_by_byte, stalled_body_gives_way_with_a_refusal,
    body_without_room_is_refused_beside_a_complete_request,
    head_without_end_is_cut, response_cut_at_any_byte_is_an_error,
    aborted_response_is_an_error, disconnected_client_is_detected,
    server_stops_with_a_request_open, echo_returns_the_body,
    deferred_stream_arrives_complete, large_body_is_refused,
    deadline_ends_the_call, call_does_not_end_while_its_response_arrives,
    trickling_response_ends_at_the_deadline, refused_connection_was_not_sent)
