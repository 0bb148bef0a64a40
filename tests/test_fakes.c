#include "child.h"

#include <jansson.h>

#include "engine.h"
#include "fakes/fake_token.h"
#include "fetch.h"
#include "plain.h"

#define STAGES 3
#define TOKENS 6
#define TOKENS_RECEIVED_MAX 32
#define TEXT_MAX 64
#define SILENCE_USEC (200 * LOOP_USEC_PER_MSEC)

static const char *const names[STAGES] = {"a", "b", "c"};

/* A token received from the engine. */
struct received {
	char request[TEXT_MAX];
	char text[TEXT_MAX];
	uint32_t position;
	size_t steps;
	bool in_order;
	bool last;
};

/* Test fixture: the fakes, the adapters, and the results of calls. */
struct fixture {
	struct loop *loop;
	struct fetch *fetch;
	struct engine *engine;
	struct plain *plain;
	struct child engines;
	struct child service;
	char engine_address[TEXT_MAX];
	char plain_address[TEXT_MAX];
	struct received received[TOKENS_RECEIVED_MAX];
	int count;
	bool ended;
	struct engine_end end;
	struct plain_result result;
	json_t *response;
};

static void
on_token(struct engine_call *call, const struct engine_token *token, void *arg)
{
	struct fixture *f = arg;
	struct received *s = &f->received[f->count++];

	(void)call;
	ck_assert_int_lt(f->count, TOKENS_RECEIVED_MAX);
	snprintf(s->request, TEXT_MAX, "%.*s", LSTR_ARG(token->request));
	snprintf(s->text, TEXT_MAX, "%.*s", LSTR_ARG(token->text));
	s->position = token->position;
	s->steps = token->step_count;
	s->last = token->last;
	s->in_order = token->step_count == STAGES;
	for (size_t i = 0; s->in_order && i < STAGES; i++)
		s->in_order =
		    lstr_equal_c(token->steps[i].instance, names[i]) &&
		    token->steps[i].position == token->position;
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
on_plain(const struct plain_result *result, void *arg)
{
	struct fixture *f = arg;

	f->ended = true;
	f->result = *result;
}

static void
on_done(struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct fixture *f = arg;

	(void)call;
	ck_assert_int_eq(result->http_status, 200);
	f->response = json_loadb(result->body.data, result->body.len, 0, NULL);
	f->ended = true;
}

static bool
has_ended(void *arg)
{
	return ((struct fixture *)arg)->ended;
}

/*
 * Starts the fakes and the adapters.
 */
static void
fixture_start(struct fixture *f)
{
	static const char *const engine_args[] = {
	    "--instances=a:0:3:1000,b:4:7:1000,c:8:11:1000", NULL};
	static const char *const plain_args[] = {"--check-fencing=true", NULL};

	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
	engine_http_create(f->loop, f->fetch, &f->engine);
	plain_http_create(f->loop, f->fetch, &f->plain);
	child_start(&f->engines, f->loop, "fakes/fake_engine", engine_args);
	child_start(&f->service, f->loop, "fakes/fake_plain", plain_args);
	child_address(
	    &f->engines, "http=", f->engine_address, sizeof(f->engine_address));
	child_address(
	    &f->service, "http=", f->plain_address, sizeof(f->plain_address));
}

static void
fixture_stop(struct fixture *f)
{
	child_kill(&f->engines);
	child_kill(&f->service);
	json_decref(f->response);
}

/*
 * Sends a request to a fake and returns the response, owned by the fixture.
 */
static json_t *
call(struct fixture *f, const char *method, const char *address,
    const char *path, const char *body)
{
	static const struct fetch_ops ops = {NULL, on_done};
	char url[2 * TEXT_MAX];
	struct fetch_request request = {
	    .method = method, .url = url, .body = lstr_from(body)};

	json_decref(f->response);
	f->response = NULL;
	f->ended = false;
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	ck_assert_int_eq(
	    fetch_start(f->fetch, &request, &ops, f, NULL), STATUS_OK);
	ck_assert(harness_wait(f->loop, has_ended, f));
	return f->response;
}

/*
 * Sets the fault of an instance.
 */
static void
set_fault(struct fixture *f, const char *instance, const char *mode, int after)
{
	char body[2 * TEXT_MAX];

	snprintf(body, sizeof(body),
	    "{\"instance\":\"%s\",\"mode\":\"%s\",\"after\":%d}", instance,
	    mode, after);
	call(f, "POST", f->engine_address, "/v1/fault", body);
}

/*
 * Runs one attempt over the three stages and waits for its end.
 */
static void
generate(struct fixture *f, const char *id, uint32_t start)
{
	struct engine_stage stages[STAGES];
	struct engine_attempt attempt = {.request = lstr_from(id),
	    .attempt = 1,
	    .stages = stages,
	    .stage_count = STAGES,
	    .prompt = lstr_from("prompt"),
	    .start = start,
	    .max_tokens = TOKENS,
	    .deadline = loop_now(f->loop) + 20 * LOOP_USEC_PER_SEC};
	struct engine_call *engine_call;

	for (uint32_t i = 0; i < STAGES; i++) {
		stages[i].instance = lstr_from(names[i]);
		stages[i].address = lstr_from(f->engine_address);
		stages[i].first = 4 * i;
		stages[i].last = 4 * i + 3;
	}
	f->count = 0;
	f->ended = false;
	if (strcmp(id, "silent") == 0)
		attempt.deadline = loop_now(f->loop) + SILENCE_USEC;
	ck_assert_int_eq(f->engine->vtable->start(
			     f->engine, &attempt, &listener, f, &engine_call),
	    STATUS_OK);
	ck_assert(harness_wait(f->loop, has_ended, f));
}

/*
 * Calls the plain service and waits for the result.
 */
static void
call_plain(struct fixture *f, const char *key, uint64_t fence)
{
	struct plain_request request = {.address = lstr_from(f->plain_address),
	    .request = lstr_from("r"),
	    .operation = lstr_from("swap"),
	    .body = lstr_from("x"),
	    .key = lstr_from(key),
	    .fence = fence,
	    .once = true};
	struct plain_call *plain_call;

	f->ended = false;
	ck_assert_int_eq(f->plain->vtable->start(
			     f->plain, &request, on_plain, f, &plain_call),
	    STATUS_OK);
	ck_assert(harness_wait(f->loop, has_ended, f));
}

/*
 * Returns a counter of an instance.
 */
static int
stat_of(struct fixture *f, int instance, const char *name)
{
	json_t *list = json_object_get(
	    call(f, "GET", f->engine_address, "/v1/stats", ""), "instances");

	return (int)json_integer_value(
	    json_object_get(json_array_get(list, (size_t)instance), name));
}

/* Guards against a fake engine that violates the protocol it implements. */
START_TEST(engine_runs_each_stage_in_order)
{
	struct fixture f;

	fixture_start(&f);
	generate(&f, "r1", 0);
	ck_assert_int_eq(f.end.status, STATUS_OK);
	ck_assert_int_eq(f.count, TOKENS);
	for (uint32_t i = 0; i < TOKENS; i++) {
		char expected[FAKE_TOKEN_MAX];

		fake_token_text(expected, lstr_from("prompt"), i);
		ck_assert_str_eq(f.received[i].text, expected);
		ck_assert_uint_eq(f.received[i].position, i);
		ck_assert(f.received[i].in_order);
		ck_assert_int_eq(f.received[i].last, i == TOKENS - 1);
	}
	for (int i = 0; i < STAGES; i++) {
		ck_assert_int_eq(stat_of(&f, i, "executions"), TOKENS);
		ck_assert_int_eq(stat_of(&f, i, "repeated"), 0);
	}
	fixture_stop(&f);
}
END_TEST

/* Guards against resumed responses that differ from complete ones. */
START_TEST(engine_resumes_with_the_same_sequence)
{
	char expected[FAKE_TOKEN_MAX];
	struct fixture f;

	fixture_start(&f);
	generate(&f, "r1", 4);
	ck_assert_int_eq(f.count, 2);
	fake_token_text(expected, lstr_from("prompt"), 4);
	ck_assert_str_eq(f.received[0].text, expected);
	ck_assert(f.received[1].last);
	fixture_stop(&f);
}
END_TEST

/* Guards against statistics that miss repeated executions. */
START_TEST(engine_counts_repeated_executions)
{
	struct fixture f;

	fixture_start(&f);
	generate(&f, "r1", 0);
	generate(&f, "r1", 0);
	ck_assert_int_eq(stat_of(&f, 2, "repeated"), TOKENS);
	fixture_stop(&f);
}
END_TEST

/* Guards against faults that have no effect on streams. */
START_TEST(engine_faults_end_streams)
{
	struct fixture f;

	fixture_start(&f);
	set_fault(&f, "b", "die", 2);
	generate(&f, "die", 0);
	ck_assert_int_ne(f.end.status, STATUS_OK);
	ck_assert(f.end.maybe_run);
	ck_assert_int_eq(f.count, 2);
	set_fault(&f, "b", "none", 0);
	set_fault(&f, "a", "truncate", 3);
	generate(&f, "truncate", 0);
	ck_assert_int_eq(f.end.status, STATUS_CLOSED);
	ck_assert_int_eq(f.count, 2);
	set_fault(&f, "a", "leaving", 0);
	generate(&f, "leaving", 0);
	ck_assert(f.end.leaving && !f.end.maybe_run);
	ck_assert_int_eq(stat_of(&f, 0, "refused_leaving"), 1);
	set_fault(&f, "a", "none", 0);
	set_fault(&f, "c", "silent", 0);
	generate(&f, "silent", 0);
	ck_assert_int_eq(f.end.status, STATUS_TIMEOUT);
	ck_assert_int_eq(f.count, 0);
	fixture_stop(&f);
}
END_TEST

/* Guards against faults that do not corrupt tokens. */
START_TEST(engine_faults_change_tokens)
{
	struct fixture f;

	fixture_start(&f);
	set_fault(&f, "a", "crossed", 0);
	generate(&f, "crossed", 0);
	ck_assert_str_ne(f.received[0].request, "crossed");
	set_fault(&f, "a", "double", 0);
	generate(&f, "double", 0);
	ck_assert_int_eq(f.count, 2 * TOKENS);
	ck_assert_uint_eq(f.received[1].position, 0);
	set_fault(&f, "a", "none", 0);
	set_fault(&f, "b", "wrong-trail", 0);
	generate(&f, "wrong-trail", 0);
	ck_assert_uint_eq(f.received[0].steps, STAGES - 1);
	ck_assert_uint_eq(f.received[1].steps, STAGES + 1);
	fixture_stop(&f);
}
END_TEST

/* Guards against a ledger that does not count executions. */
START_TEST(plain_ledger_counts_executions)
{
	struct fixture f;
	json_t *ledger;

	fixture_start(&f);
	call_plain(&f, "1-a", 5);
	ck_assert_uint_eq(f.result.http_status, 200);
	call_plain(&f, "1-a", 5);
	/* A call with an older fencing token is rejected and does not run. */
	call_plain(&f, "1-a", 4);
	ck_assert_uint_eq(f.result.http_status, 409);
	/* Fencing tokens of another key come from another log. */
	call_plain(&f, "1-b", 4);
	ck_assert_uint_eq(f.result.http_status, 200);
	call(&f, "POST", f.plain_address, "/v1/fault", "{\"mode\":\"lose\"}");
	call_plain(&f, "1-c", 6);
	ck_assert_int_ne(f.result.status, STATUS_OK);
	ck_assert(f.result.maybe_run);
	call(
	    &f, "POST", f.plain_address, "/v1/fault", "{\"mode\":\"leaving\"}");
	call_plain(&f, "1-d", 6);
	ck_assert(f.result.leaving && !f.result.maybe_run);
	call(&f, "POST", f.plain_address, "/v1/fault", "{\"mode\":\"die\"}");
	call_plain(&f, "1-e", 6);
	ck_assert(f.result.maybe_run);
	ledger = call(&f, "GET", f.plain_address, "/v1/ledger", "");
	ck_assert_int_eq(
	    json_integer_value(json_object_get(ledger, "executions")), 4);
	ledger = json_object_get(ledger, "keys");
	ck_assert_int_eq(json_integer_value(json_object_get(ledger, "1-a")), 2);
	ck_assert_int_eq(json_integer_value(json_object_get(ledger, "1-c")), 1);
	ck_assert_int_eq(json_integer_value(json_object_get(ledger, "1-b")), 1);
	ck_assert_ptr_null(json_object_get(ledger, "1-e"));
	fixture_stop(&f);
}
END_TEST

HARNESS_MAIN("fakes", engine_runs_each_stage_in_order,
    engine_resumes_with_the_same_sequence, engine_counts_repeated_executions,
    engine_faults_end_streams, engine_faults_change_tokens,
    plain_ledger_counts_executions)
