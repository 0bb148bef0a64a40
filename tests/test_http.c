#include "harness.h"

#include <string.h>

#include "fetch.h"
#include "httpd.h"

#define BODY_MAX_BYTES 1024

/*
 * A server and a client in one loop, and what they have seen.
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
	struct fixture *w = arg;

	if (lstr_equal_c(httpd_path(request), "/echo")) {
		httpd_respond(request, 200, "text/plain", httpd_body(request));
		return;
	}
	w->held = request;
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
	struct fixture *w = arg;

	(void)call;
	w->done = true;
	w->status = result->status;
	w->http_status = result->http_status;
	w->maybe_sent = result->maybe_sent;
	lstr_buf_append(&w->body, result->body);
}

static const struct fetch_ops client_ops = {NULL, on_done};

/*
 * Starts the server and the client.
 */
static void
fixture_start(struct fixture *w)
{
	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(httpd_create(w->loop, "127.0.0.1:0", BODY_MAX_BYTES,
			     &server_ops, w, &w->httpd),
	    STATUS_OK);
	ck_assert_int_eq(fetch_create(w->loop, &w->fetch), STATUS_OK);
}

/*
 * Posts a body to a path of the server.
 */
static void
post(struct fixture *w, const char *path, struct lstr body, int64_t deadline)
{
	struct fetch_request request = {
	    .method = "POST", .body = body, .deadline = deadline};

	snprintf(w->url, sizeof(w->url), "http://127.0.0.1:%u%s",
	    httpd_port(w->httpd), path);
	request.url = w->url;
	ck_assert_int_eq(
	    fetch_start(w->fetch, &request, &client_ops, w, NULL), STATUS_OK);
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

/* Guards against bodies that change on the way. */
START_TEST(echo_returns_the_body)
{
	struct fixture w;

	fixture_start(&w);
	post(&w, "/echo", lstr_from("hello"), 0);
	ck_assert(harness_wait(w.loop, is_done, &w));
	ck_assert_int_eq(w.status, STATUS_OK);
	ck_assert(lstr_equal_c(lstr_buf_view(&w.body), "hello"));
}
END_TEST

/* Guards against answers that are only possible inside the handler. */
START_TEST(later_stream_arrives_whole)
{
	struct fixture w;

	fixture_start(&w);
	post(&w, "/hold", lstr_from("x"), 0);
	ck_assert(harness_wait(w.loop, is_held, &w));
	httpd_stream_begin(w.held, 200, "text/plain");
	httpd_stream_write(w.held, lstr_from("one "));
	loop_run_once(w.loop, loop_now(w.loop));
	httpd_stream_write(w.held, lstr_from("two"));
	httpd_stream_end(w.held);
	ck_assert(harness_wait(w.loop, is_done, &w));
	ck_assert(lstr_equal_c(lstr_buf_view(&w.body), "one two"));
	ck_assert_int_eq(w.closed, 1);
}
END_TEST

/* Guards against memory use driven by a large body. */
START_TEST(large_body_is_refused)
{
	static char large[2 * BODY_MAX_BYTES];
	struct fixture w;

	memset(large, 'x', sizeof(large));
	fixture_start(&w);
	post(&w, "/echo", lstr_make(large, sizeof(large)), 0);
	ck_assert(harness_wait(w.loop, is_done, &w));
	ck_assert_int_eq(w.http_status, 413);
}
END_TEST

/* Guards against a call that outlives its deadline. */
START_TEST(deadline_ends_the_call)
{
	struct fixture w;

	fixture_start(&w);
	post(&w, "/hold", lstr_from("x"),
	    loop_now(w.loop) + 50 * LOOP_USEC_PER_MSEC);
	ck_assert(harness_wait(w.loop, is_done, &w));
	ck_assert_int_eq(w.status, STATUS_TIMEOUT);
	ck_assert(w.maybe_sent);
}
END_TEST

/* Guards against "unknown" where it is certain that nothing was sent. */
START_TEST(refused_connection_was_not_sent)
{
	struct fixture w;

	fixture_start(&w);
	snprintf(
	    w.url, sizeof(w.url), "http://127.0.0.1:%u/", httpd_port(w.httpd));
	httpd_destroy(w.httpd);
	{
		struct fetch_request request = {.method = "POST",
		    .url = w.url,
		    .body = lstr_from("x"),
		    .once = true};

		fetch_start(w.fetch, &request, &client_ops, &w, NULL);
	}
	ck_assert(harness_wait(w.loop, is_done, &w));
	ck_assert_int_eq(w.status, STATUS_UNAVAILABLE);
	ck_assert(!w.maybe_sent);
}
END_TEST

static bool
caller_is_gone(void *arg)
{
	return httpd_caller_gone(((struct fixture *)arg)->held);
}

/* Guards against a cut answer that looks whole. */
START_TEST(aborted_answer_is_an_error)
{
	struct fixture w;

	fixture_start(&w);
	post(&w, "/hold", lstr_from("x"), 0);
	ck_assert(harness_wait(w.loop, is_held, &w));
	httpd_stream_begin(w.held, 200, "text/plain");
	httpd_stream_write(w.held, lstr_from("half"));
	loop_run_once(w.loop, loop_now(w.loop));
	httpd_abort(w.held);
	ck_assert(harness_wait(w.loop, is_done, &w));
	ck_assert_int_ne(w.status, STATUS_OK);
	ck_assert_int_eq(w.closed, 1);
}
END_TEST

/* Guards against work for a caller that left before the answer began. */
START_TEST(gone_caller_is_noticed)
{
	struct fixture w;

	fixture_start(&w);
	post(&w, "/hold", lstr_from("x"),
	    loop_now(w.loop) + 50 * LOOP_USEC_PER_MSEC);
	ck_assert(harness_wait(w.loop, is_held, &w));
	ck_assert(!caller_is_gone(&w));
	ck_assert(harness_wait(w.loop, caller_is_gone, &w));
}
END_TEST

/* Guards against an abort of the process that stops with a request open. */
START_TEST(server_stops_with_a_request_open)
{
	struct fixture w;

	fixture_start(&w);
	post(&w, "/hold", lstr_from("x"), 0);
	ck_assert(harness_wait(w.loop, is_held, &w));
	loop_run_once(w.loop, loop_now(w.loop));
	httpd_destroy(w.httpd);
	ck_assert_int_eq(w.closed, 1);
}
END_TEST

HARNESS_MAIN("http", aborted_answer_is_an_error, gone_caller_is_noticed,
    server_stops_with_a_request_open, echo_returns_the_body,
    later_stream_arrives_whole, large_body_is_refused, deadline_ends_the_call,
    refused_connection_was_not_sent)
