#include "child.h"

#include <jansson.h>

#include "engine.h"
#include "fakes/fake_token.h"
#include "fetch.h"
#include "plain.h"

#define STAGES 3
#define TOKENS 6
#define TOKENS_SEEN_MAX 32
#define TEXT_MAX 64
#define SILENCE_USEC (200 * LOOP_USEC_PER_MSEC)

static const char *const names[STAGES] = {"a", "b", "c"};

/* What was seen of a token. */
struct seen {
	char request[TEXT_MAX];
	char text[TEXT_MAX];
	uint32_t position;
	size_t steps;
	bool in_order;
	bool last;
};

/* The stand-ins, the adapters, and what they said. */
struct world {
	struct loop *loop;
	struct fetch *fetch;
	struct engine *engine;
	struct plain *plain;
	struct child engines;
	struct child service;
	char engine_address[TEXT_MAX];
	char plain_address[TEXT_MAX];
	struct seen seen[TOKENS_SEEN_MAX];
	int count;
	bool ended;
	struct engine_end end;
	struct plain_result result;
	json_t *answer;
};

static void
on_token(struct engine_call *call, const struct engine_token *token, void *arg)
{
	struct world *w = arg;
	struct seen *s = &w->seen[w->count++];

	(void)call;
	ck_assert_int_lt(w->count, TOKENS_SEEN_MAX);
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
	struct world *w = arg;

	(void)call;
	w->ended = true;
	w->end = *end;
}

static const struct engine_listener listener = {on_token, on_end};

static void
on_plain(const struct plain_result *result, void *arg)
{
	struct world *w = arg;

	w->ended = true;
	w->result = *result;
}

static void
on_done(struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct world *w = arg;

	(void)call;
	ck_assert_int_eq(result->http_status, 200);
	w->answer = json_loadb(result->body.data, result->body.len, 0, NULL);
	w->ended = true;
}

static bool
has_ended(void *arg)
{
	return ((struct world *)arg)->ended;
}

/*
 * Starts the stand-ins and the adapters.
 */
static void
world_start(struct world *w)
{
	static const char *const engine_args[] = {
	    "--instances=a:0:3:1000,b:4:7:1000,c:8:11:1000", NULL};
	static const char *const plain_args[] = {"--check-fencing=true", NULL};

	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(w->loop, &w->fetch), STATUS_OK);
	engine_http_create(w->loop, w->fetch, &w->engine);
	plain_http_create(w->loop, w->fetch, &w->plain);
	child_start(&w->engines, w->loop, "fakes/fake_engine", engine_args);
	child_start(&w->service, w->loop, "fakes/fake_plain", plain_args);
	child_address(
	    &w->engines, "http=", w->engine_address, sizeof(w->engine_address));
	child_address(
	    &w->service, "http=", w->plain_address, sizeof(w->plain_address));
}

static void
world_stop(struct world *w)
{
	child_kill(&w->engines);
	child_kill(&w->service);
	json_decref(w->answer);
}

/*
 * Calls a page of a stand-in and keeps the answer.
 */
static json_t *
call(struct world *w, const char *method, const char *address, const char *path,
    const char *body)
{
	static const struct fetch_ops ops = {NULL, on_done};
	char url[2 * TEXT_MAX];
	struct fetch_request request = {
	    .method = method, .url = url, .body = lstr_from(body)};

	json_decref(w->answer);
	w->answer = NULL;
	w->ended = false;
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	ck_assert_int_eq(
	    fetch_start(w->fetch, &request, &ops, w, NULL), STATUS_OK);
	ck_assert(harness_wait(w->loop, has_ended, w));
	return w->answer;
}

/*
 * Sets a fault of an instance.
 */
static void
set_fault(struct world *w, const char *instance, const char *mode, int after)
{
	char body[2 * TEXT_MAX];

	snprintf(body, sizeof(body),
	    "{\"instance\":\"%s\",\"mode\":\"%s\",\"after\":%d}", instance,
	    mode, after);
	call(w, "POST", w->engine_address, "/v1/fault", body);
}

/*
 * Runs one attempt over the three stages to its end.
 */
static void
generate(struct world *w, const char *id, uint32_t start)
{
	struct engine_stage stages[STAGES];
	struct engine_attempt attempt = {.request = lstr_from(id),
	    .attempt = 1,
	    .stages = stages,
	    .stage_count = STAGES,
	    .prompt = lstr_from("prompt"),
	    .start = start,
	    .max_tokens = TOKENS,
	    .deadline = loop_now(w->loop) + 20 * LOOP_USEC_PER_SEC};
	struct engine_call *engine_call;

	for (uint32_t i = 0; i < STAGES; i++) {
		stages[i].instance = lstr_from(names[i]);
		stages[i].address = lstr_from(w->engine_address);
		stages[i].first = 4 * i;
		stages[i].last = 4 * i + 3;
	}
	w->count = 0;
	w->ended = false;
	if (strcmp(id, "silent") == 0)
		attempt.deadline = loop_now(w->loop) + SILENCE_USEC;
	ck_assert_int_eq(w->engine->vtable->start(
			     w->engine, &attempt, &listener, w, &engine_call),
	    STATUS_OK);
	ck_assert(harness_wait(w->loop, has_ended, w));
}

/*
 * Calls the plain service.
 */
static void
call_plain(struct world *w, const char *key, uint64_t fence)
{
	struct plain_request request = {.address = lstr_from(w->plain_address),
	    .request = lstr_from("r"),
	    .operation = lstr_from("swap"),
	    .body = lstr_from("x"),
	    .key = lstr_from(key),
	    .fence = fence,
	    .once = true};
	struct plain_call *plain_call;

	w->ended = false;
	ck_assert_int_eq(w->plain->vtable->start(
			     w->plain, &request, on_plain, w, &plain_call),
	    STATUS_OK);
	ck_assert(harness_wait(w->loop, has_ended, w));
}

/*
 * Returns a counter of an instance.
 */
static int
stat_of(struct world *w, int instance, const char *name)
{
	json_t *list = json_object_get(
	    call(w, "GET", w->engine_address, "/v1/stats", ""), "instances");

	return (int)json_integer_value(
	    json_object_get(json_array_get(list, (size_t)instance), name));
}

/* Guards against a stand-in that breaks the protocol it stands for. */
START_TEST(engine_runs_each_stage_in_order)
{
	struct world w;

	world_start(&w);
	generate(&w, "r1", 0);
	ck_assert_int_eq(w.end.status, STATUS_OK);
	ck_assert_int_eq(w.count, TOKENS);
	for (uint32_t i = 0; i < TOKENS; i++) {
		char expected[FAKE_TOKEN_MAX];

		fake_token_text(expected, lstr_from("prompt"), i);
		ck_assert_str_eq(w.seen[i].text, expected);
		ck_assert_uint_eq(w.seen[i].position, i);
		ck_assert(w.seen[i].in_order);
		ck_assert_int_eq(w.seen[i].last, i == TOKENS - 1);
	}
	for (int i = 0; i < STAGES; i++) {
		ck_assert_int_eq(stat_of(&w, i, "executions"), TOKENS);
		ck_assert_int_eq(stat_of(&w, i, "repeated"), 0);
	}
	world_stop(&w);
}
END_TEST

/* Guards against resumed responses that differ from whole ones. */
START_TEST(engine_resumes_with_the_same_sequence)
{
	char expected[FAKE_TOKEN_MAX];
	struct world w;

	world_start(&w);
	generate(&w, "r1", 4);
	ck_assert_int_eq(w.count, 2);
	fake_token_text(expected, lstr_from("prompt"), 4);
	ck_assert_str_eq(w.seen[0].text, expected);
	ck_assert(w.seen[1].last);
	world_stop(&w);
}
END_TEST

/* Guards against a ledger that does not see repeated work. */
START_TEST(engine_counts_repeated_executions)
{
	struct world w;

	world_start(&w);
	generate(&w, "r1", 0);
	generate(&w, "r1", 0);
	ck_assert_int_eq(stat_of(&w, 2, "repeated"), TOKENS);
	world_stop(&w);
}
END_TEST

/* Guards against faults that have no effect. */
START_TEST(engine_faults_end_streams)
{
	struct world w;

	world_start(&w);
	set_fault(&w, "b", "die", 2);
	generate(&w, "die", 0);
	ck_assert_int_ne(w.end.status, STATUS_OK);
	ck_assert(w.end.maybe_run);
	ck_assert_int_eq(w.count, 2);
	set_fault(&w, "b", "none", 0);
	set_fault(&w, "a", "truncate", 3);
	generate(&w, "truncate", 0);
	ck_assert_int_eq(w.end.status, STATUS_CLOSED);
	ck_assert_int_eq(w.count, 2);
	set_fault(&w, "a", "leaving", 0);
	generate(&w, "leaving", 0);
	ck_assert(w.end.leaving && !w.end.maybe_run);
	ck_assert_int_eq(stat_of(&w, 0, "refused_leaving"), 1);
	set_fault(&w, "a", "none", 0);
	set_fault(&w, "c", "silent", 0);
	generate(&w, "silent", 0);
	ck_assert_int_eq(w.end.status, STATUS_TIMEOUT);
	ck_assert_int_eq(w.count, 0);
	world_stop(&w);
}
END_TEST

/* Guards against wrong tokens that look right. */
START_TEST(engine_faults_change_tokens)
{
	struct world w;

	world_start(&w);
	set_fault(&w, "a", "crossed", 0);
	generate(&w, "crossed", 0);
	ck_assert_str_ne(w.seen[0].request, "crossed");
	set_fault(&w, "a", "double", 0);
	generate(&w, "double", 0);
	ck_assert_int_eq(w.count, 2 * TOKENS);
	ck_assert_uint_eq(w.seen[1].position, 0);
	set_fault(&w, "a", "none", 0);
	set_fault(&w, "b", "wrong-trail", 0);
	generate(&w, "wrong-trail", 0);
	ck_assert_uint_eq(w.seen[0].steps, STAGES - 1);
	ck_assert_uint_eq(w.seen[1].steps, STAGES + 1);
	world_stop(&w);
}
END_TEST

/* Guards against a ledger that does not count what ran. */
START_TEST(plain_ledger_counts_executions)
{
	struct world w;
	json_t *ledger;

	world_start(&w);
	call_plain(&w, "1-a", 5);
	ck_assert_uint_eq(w.result.http_status, 200);
	call_plain(&w, "1-a", 5);
	/* An older fencing token is refused and does not run. */
	call_plain(&w, "1-a", 4);
	ck_assert_uint_eq(w.result.http_status, 409);
	/* Tokens of another key come from another log. */
	call_plain(&w, "1-b", 4);
	ck_assert_uint_eq(w.result.http_status, 200);
	call(&w, "POST", w.plain_address, "/v1/fault", "{\"mode\":\"lose\"}");
	call_plain(&w, "1-c", 6);
	ck_assert_int_ne(w.result.status, STATUS_OK);
	ck_assert(w.result.maybe_run);
	call(
	    &w, "POST", w.plain_address, "/v1/fault", "{\"mode\":\"leaving\"}");
	call_plain(&w, "1-d", 6);
	ck_assert(w.result.leaving && !w.result.maybe_run);
	call(&w, "POST", w.plain_address, "/v1/fault", "{\"mode\":\"die\"}");
	call_plain(&w, "1-e", 6);
	ck_assert(w.result.maybe_run);
	ledger = call(&w, "GET", w.plain_address, "/v1/ledger", "");
	ck_assert_int_eq(
	    json_integer_value(json_object_get(ledger, "executions")), 4);
	ledger = json_object_get(ledger, "keys");
	ck_assert_int_eq(json_integer_value(json_object_get(ledger, "1-a")), 2);
	ck_assert_int_eq(json_integer_value(json_object_get(ledger, "1-c")), 1);
	ck_assert_int_eq(json_integer_value(json_object_get(ledger, "1-b")), 1);
	ck_assert_ptr_null(json_object_get(ledger, "1-e"));
	world_stop(&w);
}
END_TEST

HARNESS_MAIN("fakes", engine_runs_each_stage_in_order,
    engine_resumes_with_the_same_sequence, engine_counts_repeated_executions,
    engine_faults_end_streams, engine_faults_change_tokens,
    plain_ledger_counts_executions)
