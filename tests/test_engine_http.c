#include "harness.h"

#include <string.h>

#include <jansson.h>

#include "engine.h"
#include "httpd.h"
#include "ndjson.h"
#include "plain.h"

#define BODY_MAX_BYTES 65536
#define TEXT_MAX 256
#define SILENT_CALL_DEADLINE_USEC (100 * LOOP_USEC_PER_MSEC)

static const char good_line[] =
    "{\"request\":\"r1\",\"attempt\":2,\"position\":5,\"token\":\"tok\","
    "\"trail\":[{\"instance\":\"a\",\"first\":0,\"last\":3,\"attempt\":2,"
    "\"position\":5,\"extra\":1}],\"last\":true,\"unknown\":{}}\n";

/*
 * A server that sends a scripted response, the clients under test, and the
 * results that they reported.
 */
struct fixture {
	struct loop *loop;
	struct httpd *httpd;
	struct fetch *fetch;
	struct engine *engine;
	struct plain *plain;
	char address[TEXT_MAX];
	/*
	 * The scripted status and body; with no_response the server does not
	 * respond.
	 */
	unsigned int response_status;
	const char *response;
	bool no_response;
	bool abort_after;
	/* Requests received by the server. */
	char path[TEXT_MAX];
	struct lstr_buf body;
	int requests;
	int cancels;
	/* Results reported by the clients. */
	struct engine_call *call;
	bool cancel_on_token;
	int tokens;
	struct engine_token token;
	char token_text[TEXT_MAX];
	char step_instance[TEXT_MAX];
	struct engine_trail_step step;
	bool ended;
	struct engine_end end;
	struct engine_load load;
	struct plain_result result;
	char result_body[TEXT_MAX];
};

static void
on_request(struct httpd_request *request, void *arg)
{
	struct fixture *f = arg;
	struct lstr path = httpd_path(request);

	f->requests++;
	snprintf(f->path, sizeof(f->path), "%.*s", LSTR_ARG(path));
	lstr_buf_clear(&f->body);
	lstr_buf_append(&f->body, httpd_body(request));
	if (strstr(f->path, "/cancel") != NULL) {
		f->cancels++;
		httpd_respond(request, 200, "application/json", lstr_from(""));
		return;
	}
	if (f->no_response)
		return;
	if (f->response_status != 200) {
		httpd_respond(request, f->response_status, "application/json",
		    lstr_from(f->response));
		return;
	}
	httpd_stream_begin(request, 200, "application/x-ndjson");
	httpd_stream_write(request, lstr_from(f->response));
	if (f->abort_after)
		httpd_abort(request);
	else
		httpd_stream_end(request);
}

static const struct httpd_ops server_ops = {on_request, NULL};

static void
on_token(struct engine_call *call, const struct engine_token *token, void *arg)
{
	struct fixture *f = arg;

	f->tokens++;
	f->token = *token;
	snprintf(f->token_text, sizeof(f->token_text), "%.*s",
	    LSTR_ARG(token->text));
	if (token->step_count > 0) {
		f->step = token->steps[0];
		snprintf(f->step_instance, sizeof(f->step_instance), "%.*s",
		    LSTR_ARG(token->steps[0].instance));
	}
	if (f->cancel_on_token)
		f->engine->vtable->cancel(f->engine, call);
}

static void
on_end(struct engine_call *call, const struct engine_end *end, void *arg)
{
	struct fixture *f = arg;

	(void)call;
	f->ended = true;
	f->end = *end;
}

static const struct engine_listener listener = {on_token, on_end};

static void
on_load(const struct engine_load *load, void *arg)
{
	struct fixture *f = arg;

	f->load = *load;
	f->ended = true;
}

static void
on_plain_done(const struct plain_result *result, void *arg)
{
	struct fixture *f = arg;

	f->result = *result;
	snprintf(f->result_body, sizeof(f->result_body), "%.*s",
	    LSTR_ARG(result->body));
	f->ended = true;
}

static bool
has_ended(void *arg)
{
	return ((struct fixture *)arg)->ended;
}

static bool
has_cancelled_both_stages(void *arg)
{
	return ((struct fixture *)arg)->cancels >= 2;
}

static bool
has_request(void *arg)
{
	return ((struct fixture *)arg)->requests > 0;
}

/*
 * Starts the server and creates the clients.
 */
static void
fixture_start(struct fixture *f, unsigned int status, const char *response)
{
	memset(f, 0, sizeof(*f));
	f->response_status = status;
	f->response = response;
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(httpd_create(f->loop, "127.0.0.1:0", BODY_MAX_BYTES,
			     &server_ops, f, &f->httpd),
	    STATUS_OK);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
	ck_assert_int_eq(
	    engine_http_create(f->loop, f->fetch, &f->engine), STATUS_OK);
	ck_assert_int_eq(
	    plain_http_create(f->loop, f->fetch, &f->plain), STATUS_OK);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
	    httpd_port(f->httpd));
}

/*
 * Starts an attempt over two stages.
 */
static void
start_attempt(struct fixture *f, int64_t deadline)
{
	struct lstr address = lstr_from(f->address);
	struct lstr delivered[] = {lstr_from("d0"), lstr_from("d1")};
	struct engine_stage stages[] = {
	    {lstr_from("a"), address, 0, 3}, {lstr_from("b"), address, 4, 7}};
	struct engine_attempt attempt = {.request = lstr_from("r1"),
	    .attempt = 2,
	    .stages = stages,
	    .stage_count = 2,
	    .prompt = lstr_from("hello \"x\""),
	    .delivered = delivered,
	    .delivered_count = 2,
	    .start = 2,
	    .max_tokens = 9,
	    .priority = 1,
	    .deadline = deadline,
	    .fence = 77};

	ck_assert_int_eq(f->engine->vtable->start(
			     f->engine, &attempt, &listener, f, &f->call),
	    STATUS_OK);
}

/*
 * Starts a plain call that must not be repeated.
 */
static void
start_plain(struct fixture *f)
{
	struct plain_request request = {.address = lstr_from(f->address),
	    .request = lstr_from("r1"),
	    .operation = lstr_from("swap"),
	    .body = lstr_from("b"),
	    .key = lstr_from("1-k"),
	    .fence = 5,
	    .once = true};
	struct plain_call *call;

	ck_assert_int_eq(f->plain->vtable->start(
			     f->plain, &request, on_plain_done, f, &call),
	    STATUS_OK);
}

/*
 * Frees everything, so that sanitizers can detect what the clients left
 * allocated.
 */
static void
fixture_destroy(struct fixture *f)
{
	f->engine->vtable->destroy(f->engine);
	f->plain->vtable->destroy(f->plain);
	fetch_destroy(f->fetch);
	httpd_destroy(f->httpd);
	lstr_buf_free(&f->body);
	loop_destroy(f->loop);
}

/*
 * Runs one attempt to its end against a scripted response.
 */
static void
run_attempt(struct fixture *f, unsigned int status, const char *response)
{
	fixture_start(f, status, response);
	start_attempt(f, 0);
	ck_assert(harness_wait(f->loop, has_ended, f));
}

/*
 * Guards against fields of an attempt that are missing from the generate
 * request.
 */
START_TEST(attempt_is_sent_completely)
{
	struct fixture f;
	json_t *sent;

	run_attempt(&f, 200, good_line);
	ck_assert_str_eq(f.path, "/i/a/v1/generate");
	sent = json_loadb(f.body.data, f.body.len, 0, NULL);
	ck_assert_ptr_nonnull(sent);
	ck_assert_str_eq(
	    json_string_value(json_object_get(sent, "prompt")), "hello \"x\"");
	ck_assert_int_eq(json_integer_value(json_object_get(sent, "start")), 2);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(sent, "fence")), 77);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(sent, "delivered")), 2);
	ck_assert_str_eq(
	    json_string_value(json_object_get(
		json_array_get(json_object_get(sent, "route"), 1), "instance")),
	    "b");
	json_decref(sent);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a wrongly parsed token, and against rejecting unknown fields.
 */
START_TEST(token_is_read_completely)
{
	struct fixture f;

	run_attempt(&f, 200, good_line);
	ck_assert_int_eq(f.end.status, STATUS_OK);
	ck_assert_int_eq(f.tokens, 1);
	ck_assert_uint_eq(f.token.attempt, 2);
	ck_assert_uint_eq(f.token.position, 5);
	ck_assert(f.token.last);
	ck_assert_str_eq(f.token_text, "tok");
	ck_assert_uint_eq(f.token.step_count, 1);
	ck_assert_str_eq(f.step_instance, "a");
	ck_assert_uint_eq(f.step.last, 3);
	fixture_destroy(&f);
}
END_TEST

/* Guards against malformed lines that are accepted as tokens. */
START_TEST(malformed_lines_end_the_call)
{
	static const char *const lines[] = {"nonsense\n", "{}\n", "[]\n",
	    "{\"request\":\"r\",\"attempt\":1,\"position\":0,\"token\":\"t\","
	    "\"trail\":[]}\n",
	    "{\"request\":\"r\",\"attempt\":1,\"position\":-1,\"token\":\"t\","
	    "\"trail\":[],\"last\":false}\n",
	    "{\"request\":\"r\",\"attempt\":1,\"position\":0,\"token\":\"t\","
	    "\"trail\":[{\"instance\":\"a\"}],\"last\":false}\n",
	    "{\"request\":\"r1\",\"attempt\""};

	for (size_t i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
		struct fixture f;

		run_attempt(&f, 200, lines[i]);
		ck_assert_int_eq(f.end.status, STATUS_INVALID);
		ck_assert(f.end.maybe_run);
		ck_assert_int_eq(f.tokens, 0);
		fixture_destroy(&f);
	}
}
END_TEST

/* Guards against unbounded memory use for a line that does not end. */
START_TEST(overlong_line_ends_the_call)
{
	char *line = malloc(NDJSON_LINE_MAX_BYTES + 2);
	struct fixture f;

	ck_assert_ptr_nonnull(line);
	memset(line, 'x', NDJSON_LINE_MAX_BYTES + 1);
	line[NDJSON_LINE_MAX_BYTES + 1] = '\0';
	run_attempt(&f, 200, line);
	ck_assert_int_eq(f.end.status, STATUS_INVALID);
	fixture_destroy(&f);
	free(line);
}
END_TEST

/* Guards against a truncated stream that is treated as complete. */
START_TEST(stream_without_last_is_not_ok)
{
	struct fixture f;

	run_attempt(&f, 200, "");
	ck_assert_int_eq(f.end.status, STATUS_CLOSED);
	ck_assert(f.end.maybe_run);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a broken connection that is treated as the end of the stream.
 */
START_TEST(aborted_stream_is_not_ok)
{
	struct fixture f;

	fixture_start(&f, 200, good_line);
	f.abort_after = true;
	start_attempt(&f, 0);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_ne(f.end.status, STATUS_OK);
	ck_assert(f.end.maybe_run);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against the result "may have run" for a leaving engine, which ran
 * nothing.
 */
START_TEST(leaving_engine_ran_nothing)
{
	struct fixture f;

	run_attempt(&f, 503, "{\"error\":\"leaving\"}");
	ck_assert_int_eq(f.end.status, STATUS_UNAVAILABLE);
	ck_assert(!f.end.maybe_run);
	ck_assert(f.end.leaving);
	fixture_destroy(&f);
}
END_TEST

/* Guards against reading the body of an error response for as long as a faulty
 * engine sends it. */
START_TEST(error_response_without_end_is_cut)
{
	static char body[256 * 1024];
	struct fixture f;

	memset(body, 'x', sizeof(body) - 1);
	run_attempt(&f, 503, body);
	ck_assert_int_eq(f.end.status, STATUS_FULL);
	ck_assert(f.end.maybe_run);
	fixture_destroy(&f);
}
END_TEST

/* Guards against the result "nothing ran" for errors that do not imply it. */
START_TEST(other_errors_may_have_run)
{
	static const unsigned int statuses[] = {500, 503, 404};

	for (size_t i = 0; i < 3; i++) {
		struct fixture f;

		run_attempt(&f, statuses[i], "{\"error\":\"other\"}");
		ck_assert_int_ne(f.end.status, STATUS_OK);
		ck_assert(f.end.maybe_run);
		fixture_destroy(&f);
	}
}
END_TEST

/* Guards against the result "may have run" when no byte was sent. */
START_TEST(refused_connection_ran_nothing)
{
	struct fixture f;

	fixture_start(&f, 200, "");
	httpd_destroy(f.httpd);
	f.httpd = NULL;
	start_attempt(&f, 0);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_eq(f.end.status, STATUS_UNAVAILABLE);
	ck_assert(!f.end.maybe_run);
	fixture_destroy(&f);
}
END_TEST

/* Guards against the result "nothing ran" after a timeout. */
START_TEST(timeout_may_have_run)
{
	struct fixture f;

	fixture_start(&f, 200, "");
	f.no_response = true;
	start_attempt(&f, loop_now(f.loop) + SILENT_CALL_DEADLINE_USEC);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_eq(f.end.status, STATUS_TIMEOUT);
	ck_assert(f.end.maybe_run);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against stages that continue after a cancellation from the token
 * callback.
 */
START_TEST(cancel_from_token_callback_reaches_every_stage)
{
	struct fixture f;

	fixture_start(&f, 200, good_line);
	f.cancel_on_token = true;
	start_attempt(&f, 0);
	ck_assert(harness_wait(f.loop, has_cancelled_both_stages, &f));
	ck_assert(!f.ended);
	ck_assert_int_eq(f.tokens, 1);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against stages that continue after a cancellation outside the
 * callbacks.
 */
START_TEST(cancel_of_silent_call_reaches_every_stage)
{
	struct fixture f;

	fixture_start(&f, 200, "");
	f.no_response = true;
	start_attempt(&f, 0);
	ck_assert(harness_wait(f.loop, has_request, &f));
	f.engine->vtable->cancel(f.engine, f.call);
	ck_assert(harness_wait(f.loop, has_cancelled_both_stages, &f));
	ck_assert(!f.ended);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a wrongly parsed load response, and against accepting one with
 * missing fields.
 */
START_TEST(load_is_read)
{
	struct fixture f;

	fixture_start(
	    &f, 200, "{\"running\":3,\"queued\":4,\"leaving\":true,\"x\":0}");
	f.engine->vtable->query_load(
	    f.engine, lstr_from("a"), lstr_from(f.address), 0, on_load, &f);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_eq(f.load.status, STATUS_OK);
	ck_assert_uint_eq(f.load.running, 3);
	ck_assert_uint_eq(f.load.queued, 4);
	ck_assert(f.load.leaving);
	f.ended = false;
	f.response = "{\"running\":3,\"queued\":4}";
	f.engine->vtable->query_load(
	    f.engine, lstr_from("a"), lstr_from(f.address), 0, on_load, &f);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_eq(f.load.status, STATUS_INVALID);
	fixture_destroy(&f);
}
END_TEST

/* Guards against a plain response, or fields of its request, that are lost. */
START_TEST(plain_response_arrives)
{
	struct fixture f;
	json_t *sent;

	fixture_start(&f, 200, "done");
	start_plain(&f);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_eq(f.result.status, STATUS_OK);
	ck_assert_uint_eq(f.result.http_status, 200);
	ck_assert_str_eq(f.result_body, "done");
	sent = json_loadb(f.body.data, f.body.len, 0, NULL);
	ck_assert_str_eq(
	    json_string_value(json_object_get(sent, "key")), "1-k");
	ck_assert_int_eq(json_integer_value(json_object_get(sent, "fence")), 5);
	json_decref(sent);
	fixture_destroy(&f);
}
END_TEST

/* Guards against wrong results on whether a plain call may have run. */
START_TEST(plain_failures_tell_whether_it_ran)
{
	struct fixture f;

	fixture_start(&f, 503, "{\"error\":\"leaving\"}");
	start_plain(&f);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_eq(f.result.status, STATUS_UNAVAILABLE);
	ck_assert(!f.result.maybe_run);
	ck_assert(f.result.leaving);
	f.ended = false;
	f.response_status = 200;
	f.response = "half";
	f.abort_after = true;
	start_plain(&f);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_ne(f.result.status, STATUS_OK);
	ck_assert(f.result.maybe_run);
	f.ended = false;
	httpd_destroy(f.httpd);
	f.httpd = NULL;
	start_plain(&f);
	ck_assert(harness_wait(f.loop, has_ended, &f));
	ck_assert_int_eq(f.result.status, STATUS_UNAVAILABLE);
	ck_assert(!f.result.maybe_run);
	fixture_destroy(&f);
}
END_TEST

HARNESS_MAIN("engine_http", attempt_is_sent_completely,
    token_is_read_completely, malformed_lines_end_the_call,
    overlong_line_ends_the_call, stream_without_last_is_not_ok,
    aborted_stream_is_not_ok, error_response_without_end_is_cut,
    leaving_engine_ran_nothing, other_errors_may_have_run,
    refused_connection_ran_nothing, timeout_may_have_run,
    cancel_from_token_callback_reaches_every_stage,
    cancel_of_silent_call_reaches_every_stage, load_is_read,
    plain_response_arrives, plain_failures_tell_whether_it_ran)
