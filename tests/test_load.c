#include "child.h"

#include <fcntl.h>

#include <jansson.h>

#include "fakes/fake_token.h"
#include "httpd.h"
#include "loop.h"

#define BODY_MAX_BYTES 65536
#define OUTPUT_MAX_BYTES 8192
#define KEY_MAX 128
#define VALIDITY_MSEC 10000

/* How the fake entry responds. */
enum mode {
	MODE_GOOD,
	MODE_WRONG_TOKEN,
	MODE_SWAPPED,
	MODE_SHORT,
	MODE_TRUNCATED,
	MODE_REFUSE_FIRST,
	MODE_UNKNOWN_FIRST
};

/* A fake entry, and the load tool. */
struct fixture {
	struct loop *loop;
	struct httpd *httpd;
	enum mode mode;
	int requests;
	char keys[2][KEY_MAX];
	pid_t pid;
	int exit_code;
	bool ended;
	char output[OUTPUT_MAX_BYTES];
	json_t *report;
};

/*
 * Streams the tokens of a lookup with the fault of the mode.
 */
static void
respond_to_lookup(
    struct fixture *f, struct httpd_request *request, json_t *body)
{
	struct lstr prompt =
	    lstr_from(json_string_value(json_object_get(body, "prompt")));
	uint32_t count =
	    (uint32_t)json_integer_value(json_object_get(body, "max_tokens"));

	if (f->mode == MODE_SHORT)
		count--;
	httpd_stream_begin(request, 200, "application/x-ndjson");
	for (uint32_t i = 0; i < count; i++) {
		char token[FAKE_TOKEN_MAX];
		char line[128];

		fake_token_text(token, prompt, i);
		if (f->mode == MODE_WRONG_TOKEN && i == 1)
			token[0] = 'x';
		snprintf(line, sizeof(line),
		    "{\"position\":%u,\"token\":\"%s\"}\n",
		    f->mode == MODE_SWAPPED ? i ^ 1U : i, token);
		httpd_stream_write(request, lstr_from(line));
	}
	if (f->mode != MODE_TRUNCATED) {
		char line[64];

		snprintf(line, sizeof(line),
		    "{\"outcome\":\"run\",\"tokens\":%u}\n", count);
		httpd_stream_write(request, lstr_from(line));
	}
	httpd_stream_end(request);
}

/*
 * Responds to a request of the load tool.
 */
static void
on_request(struct httpd_request *request, void *arg)
{
	static const char run[] =
	    "{\"outcome\":\"run\",\"status\":200,"
	    "\"body\":\"{\\\"operation\\\":\\\"swap\\\"}\"}";
	struct fixture *f = arg;
	struct lstr text = httpd_body(request);
	int64_t valid_until =
	    loop_now(f->loop) / LOOP_USEC_PER_MSEC + VALIDITY_MSEC;
	const char *key = httpd_header(request, "Idempotency-Key");
	char response[256];
	json_t *body;

	if (lstr_equal_c(httpd_path(request), "/v1/addresses")) {
		snprintf(response, sizeof(response),
		    "{\"addresses\":[{\"address\":\"127.0.0.1:%u\"}],"
		    "\"valid_until\":%lld}",
		    httpd_port(f->httpd), (long long)valid_until);
		httpd_respond(
		    request, 200, "application/json", lstr_from(response));
		return;
	}
	f->requests++;
	if (key != NULL && f->requests <= 2)
		snprintf(f->keys[f->requests - 1], KEY_MAX, "%s", key);
	if (f->requests == 1 &&
	    (f->mode == MODE_REFUSE_FIRST || f->mode == MODE_UNKNOWN_FIRST)) {
		bool refuse = f->mode == MODE_REFUSE_FIRST;

		httpd_respond(request, refuse ? 503 : 502, "application/json",
		    lstr_from(refuse ? "{\"outcome\":\"not-run\","
				       "\"code\":\"queue-full\"}"
				     : "{\"outcome\":\"unknown\","
				       "\"code\":\"router-lost\"}"));
		return;
	}
	body = json_loadb(text.data, text.len, 0, NULL);
	if (key != NULL)
		httpd_respond(request, 200, "application/json", lstr_from(run));
	else
		respond_to_lookup(f, request, body);
	json_decref(body);
}

/*
 * Starts the load tool with its output in a file.
 */
static void
start_load(struct fixture *f, const char *file, int lookups, int orders)
{
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";
	posix_spawn_file_actions_t actions;
	char words[8][64];
	char program[128];
	char *argv[10] = {program};

	snprintf(program, sizeof(program), "%s/bench/load", build);
	snprintf(words[0], 64, "--entry=127.0.0.1:%u", httpd_port(f->httpd));
	snprintf(words[1], 64, "--lookups=%d", lookups);
	snprintf(words[2], 64, "--orders=%d", orders);
	snprintf(words[3], 64, "--organisations=o,p");
	snprintf(words[4], 64, "--max-tokens=4");
	snprintf(words[5], 64, "--retries=2");
	snprintf(words[6], 64, "--json=true");
	for (int i = 0; i < 7; i++)
		argv[i + 1] = words[i];
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, STDOUT_FILENO, file, O_WRONLY | O_CREAT | O_TRUNC, 0600);
	ck_assert_int_eq(
	    posix_spawn(&f->pid, program, &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
}

static bool
has_ended(void *arg)
{
	struct fixture *f = arg;
	int status;

	if (waitpid(f->pid, &status, WNOHANG) != f->pid)
		return false;
	f->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	return true;
}

/*
 * Runs the load tool against the fake entry and reads its report.
 */
static void
run_load(struct fixture *f, enum mode mode, int lookups, int orders)
{
	static const struct httpd_ops ops = {on_request, NULL};
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";
	char file[160];
	FILE *output;

	memset(f, 0, sizeof(*f));
	f->mode = mode;
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(httpd_create(f->loop, "127.0.0.1:0", BODY_MAX_BYTES,
			     &ops, f, &f->httpd),
	    STATUS_OK);
	snprintf(
	    file, sizeof(file), "%s/tests/load-%ld", build, (long)getpid());
	start_load(f, file, lookups, orders);
	ck_assert(harness_wait(f->loop, has_ended, f));
	output = fopen(file, "r");
	ck_assert_ptr_nonnull(output);
	f->report = json_loadf(output, 0, NULL);
	fclose(output);
	unlink(file);
	ck_assert_ptr_nonnull(f->report);
}

/*
 * Returns a count of a kind of request from the report.
 */
static int
count(const struct fixture *f, const char *kind, const char *name)
{
	return (int)json_integer_value(
	    json_object_get(json_object_get(f->report, kind), name));
}

static void
fixture_stop(struct fixture *f)
{
	json_decref(f->report);
	httpd_destroy(f->httpd);
}

/* Guards against good responses that are counted as wrong. */
START_TEST(good_responses_are_counted_as_run)
{
	struct fixture f;

	run_load(&f, MODE_GOOD, 20, 10);
	ck_assert_int_eq(f.exit_code, 0);
	ck_assert_int_eq(count(&f, "lookups", "run"), 20);
	ck_assert_int_eq(count(&f, "orders", "run"), 10);
	ck_assert_int_eq(count(&f, "lookups", "wrong"), 0);
	ck_assert_int_eq(count(&f, "orders", "wrong"), 0);
	ck_assert_int_eq(count(&f, "first_token", "count"), 20);
	ck_assert_int_eq(count(&f, "token_gap", "count"), 60);
	ck_assert_int_eq(f.requests, 30);
	fixture_stop(&f);
}
END_TEST

/* Guards against a tool that does not detect wrong responses. */
START_TEST(wrong_responses_are_found)
{
	static const enum mode modes[] = {
	    MODE_WRONG_TOKEN, MODE_SWAPPED, MODE_SHORT};

	for (size_t i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		struct fixture f;

		run_load(&f, modes[i], 3, 0);
		ck_assert_int_ne(f.exit_code, 0);
		ck_assert_int_eq(count(&f, "lookups", "wrong"), 3);
		fixture_stop(&f);
	}
}
END_TEST

/*
 * Guards against a truncated response that is counted as complete, and against
 * endless retries.
 */
START_TEST(truncated_responses_are_incomplete)
{
	struct fixture f;

	run_load(&f, MODE_TRUNCATED, 2, 0);
	ck_assert_int_eq(count(&f, "lookups", "incomplete"), 2);
	ck_assert_int_eq(count(&f, "lookups", "run"), 0);
	ck_assert_int_eq(count(&f, "lookups", "retries"), 4);
	ck_assert_int_eq(f.requests, 6);
	fixture_stop(&f);
}
END_TEST

/* Guards against retries that are not made or not counted. */
START_TEST(refusal_is_retried)
{
	struct fixture f;

	run_load(&f, MODE_REFUSE_FIRST, 1, 0);
	ck_assert_int_eq(count(&f, "lookups", "run"), 1);
	ck_assert_int_eq(count(&f, "lookups", "retries"), 1);
	fixture_stop(&f);
}
END_TEST

/* Guards against an order that is sent again with another key. */
START_TEST(unknown_order_is_asked_again_with_its_key)
{
	struct fixture f;

	run_load(&f, MODE_UNKNOWN_FIRST, 0, 1);
	ck_assert_int_eq(count(&f, "orders", "run"), 1);
	ck_assert_int_eq(f.requests, 2);
	ck_assert_str_ne(f.keys[0], "");
	ck_assert_str_eq(f.keys[0], f.keys[1]);
	fixture_stop(&f);
}
END_TEST

HARNESS_MAIN("load", good_responses_are_counted_as_run,
    wrong_responses_are_found, truncated_responses_are_incomplete,
    refusal_is_retried, unknown_order_is_asked_again_with_its_key)
