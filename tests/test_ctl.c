#include "harness.h"

#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "ctl.h"
#include "httpd.h"
#include "sample.h"

#define BODY_MAX_BYTES (1024 * 1024)
#define RESPONSES_MAX 4

static const struct sample_size size = {2, 4, 2, 3};

/* The fake syncd's response to one POST. */
struct response {
	unsigned int status;
	const char *body;
};

/*
 * A fake syncd, and the command's files, in one event loop.
 */
struct fixture {
	struct loop *loop;
	struct httpd *httpd;
	char address[32];
	char inventory[64];
	char rules[64];
	struct response responses[RESPONSES_MAX];
	int posts;
	char change_ids[RESPONSES_MAX][64];
	json_int_t base;
};

static void
on_request(struct httpd_request *request, void *arg)
{
	struct fixture *f = arg;
	struct lstr body = httpd_body(request);
	const struct response *response =
	    &f->responses[f->posts % RESPONSES_MAX];
	json_t *json;

	if (lstr_equal_c(httpd_method(request), "GET")) {
		httpd_respond(request, 200, "application/json",
		    lstr_from("{\"revision\":41}"));
		return;
	}
	json = json_loadb(body.data, body.len, 0, NULL);
	ck_assert_ptr_nonnull(json);
	snprintf(f->change_ids[f->posts % RESPONSES_MAX],
	    sizeof(f->change_ids[0]), "%s",
	    json_string_value(json_object_get(json, "change")));
	f->base = json_integer_value(json_object_get(json, "base"));
	json_decref(json);
	f->posts++;
	/* Status 0: the request gets no response. */
	if (response->status != 0)
		httpd_respond(request, response->status, "application/json",
		    lstr_from(response->body));
}

static const struct httpd_ops server_ops = {on_request, NULL};

/*
 * Starts the fake syncd and writes the inventory and rules files.
 */
static void
fixture_start(struct fixture *f)
{
	json_t *inventory = sample_inventory(&size);
	json_t *rules = sample_rules(&size);

	memset(f, 0, sizeof(*f));
	ck_assert_int_ge(sodium_init(), 0);
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(httpd_create(f->loop, "127.0.0.1:0", BODY_MAX_BYTES,
			     &server_ops, f, &f->httpd),
	    STATUS_OK);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
	    httpd_port(f->httpd));
	snprintf(f->inventory, sizeof(f->inventory), "/tmp/ch-ctl-%d-i.json",
	    (int)getpid());
	snprintf(
	    f->rules, sizeof(f->rules), "/tmp/ch-ctl-%d-r.json", (int)getpid());
	ck_assert_int_eq(json_dump_file(inventory, f->inventory, 0), 0);
	ck_assert_int_eq(json_dump_file(rules, f->rules, 0), 0);
	json_decref(inventory);
	json_decref(rules);
}

/*
 * Runs a command of one word.
 */
static enum ctl_exit
run(struct fixture *f, const char *base, int64_t timeout_usec, char *word)
{
	static const struct ctl_command *const commands[] = {
	    &ctl_apply_command, &ctl_show_command, &ctl_status_command, NULL};
	const struct ctl_options options = {.syncd = f->address,
	    .inventory = f->inventory,
	    .rules = f->rules,
	    .base = base,
	    .timeout_usec = timeout_usec};
	char *words[] = {word, NULL};
	enum ctl_exit result;
	struct ctl *ctl = NULL;

	ck_assert_int_eq(ctl_create(f->loop, &options, &ctl), STATUS_OK);
	result = ctl_run(ctl, commands, 1, words);
	ctl_destroy(ctl);
	unlink(f->inventory);
	unlink(f->rules);
	return result;
}

/* Guards against a change based on a revision other than the requested one. */
START_TEST(current_is_read_from_the_syncd)
{
	struct fixture f;

	fixture_start(&f);
	f.responses[0] = (struct response){200, "{\"revision\":42}"};
	ck_assert_int_eq(
	    run(&f, "current", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_OK);
	ck_assert_int_eq(f.base, 41);
}
END_TEST

/* Guards against overwriting another operator's change. */
START_TEST(conflict_has_its_own_exit_code)
{
	struct fixture f;

	fixture_start(&f);
	f.responses[0] = (struct response){409, "{\"revision\":43}"};
	ck_assert_int_eq(
	    run(&f, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_CONFLICT);
	ck_assert_int_eq(f.posts, 1);
}
END_TEST

/* Guards against a change that is applied twice after a lost response. */
START_TEST(retry_has_the_same_change_id)
{
	struct fixture f;

	fixture_start(&f);
	f.responses[0] = (struct response){503, "{\"message\":\"timeout\"}"};
	f.responses[1] = (struct response){200, "{\"revision\":42}"};
	ck_assert_int_eq(
	    run(&f, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_OK);
	ck_assert_int_eq(f.posts, 2);
	ck_assert_str_eq(f.change_ids[0], f.change_ids[1]);
	ck_assert_uint_eq(strlen(f.change_ids[0]), 32);
}
END_TEST

/* Guards against "nothing was changed" when that is not certain. */
START_TEST(unanswered_change_is_unknown)
{
	struct fixture f;

	fixture_start(&f);
	ck_assert_int_eq(
	    run(&f, "41", 200 * LOOP_USEC_PER_MSEC, "apply"), CTL_EXIT_UNKNOWN);
	fixture_start(&f);
	f.responses[0] = (struct response){503, "{}"};
	f.responses[1] = (struct response){409, "{\"revision\":42}"};
	ck_assert_int_eq(
	    run(&f, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_UNKNOWN);
}
END_TEST

/*
 * Guards against CTL_EXIT_UNKNOWN when it is certain that nothing was changed.
 */
START_TEST(refused_change_is_not_unknown)
{
	struct fixture f;

	fixture_start(&f);
	for (int i = 0; i < RESPONSES_MAX; i++)
		f.responses[i] =
		    (struct response){503, "{\"outcome\":\"not-run\"}"};
	ck_assert_int_eq(run(&f, "41", 200 * LOOP_USEC_PER_MSEC, "apply"),
	    CTL_EXIT_UNAVAILABLE);
	fixture_start(&f);
	httpd_destroy(f.httpd);
	ck_assert_int_eq(run(&f, "41", 200 * LOOP_USEC_PER_MSEC, "apply"),
	    CTL_EXIT_UNAVAILABLE);
}
END_TEST

/* Guards against sending invalid documents to the cluster. */
START_TEST(invalid_documents_are_not_sent)
{
	struct fixture f;
	FILE *file;

	fixture_start(&f);
	file = fopen(f.rules, "w");
	fputs("{\"organisations\":[]}", file);
	fclose(file);
	ck_assert_int_eq(
	    run(&f, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_INVALID);
	ck_assert_int_eq(f.posts, 0);
}
END_TEST

/* Guards against a change sent because of an invalid command line. */
START_TEST(invalid_usage_is_refused)
{
	struct fixture f;

	fixture_start(&f);
	ck_assert_int_eq(
	    run(&f, "41", HARNESS_DEADLINE_USEC, "aply"), CTL_EXIT_USAGE);
	fixture_start(&f);
	ck_assert_int_eq(
	    run(&f, "x", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_USAGE);
	ck_assert_int_eq(f.posts, 0);
}
END_TEST

HARNESS_MAIN("ctl", current_is_read_from_the_syncd,
    conflict_has_its_own_exit_code, retry_has_the_same_change_id,
    unanswered_change_is_unknown, refused_change_is_not_unknown,
    invalid_documents_are_not_sent, invalid_usage_is_refused)
