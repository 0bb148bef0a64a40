#include "harness.h"

#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "ctl.h"
#include "httpd.h"
#include "sample.h"

#define BODY_MAX_BYTES (1024 * 1024)
#define ANSWERS_MAX 4

static const struct sample_size size = {2, 4, 2, 3};

/* What the stand-in for a syncd answers to one POST. */
struct answer {
	unsigned int status;
	const char *body;
};

/*
 * A stand-in for a syncd and the command in one loop.
 */
struct world {
	struct loop *loop;
	struct httpd *httpd;
	char address[32];
	char inventory[64];
	char rules[64];
	struct answer answers[ANSWERS_MAX];
	int posts;
	char changes[ANSWERS_MAX][64];
	json_int_t base;
};

static void
on_request(struct httpd_request *request, void *arg)
{
	struct world *w = arg;
	struct lstr body = httpd_body(request);
	const struct answer *answer = &w->answers[w->posts % ANSWERS_MAX];
	json_t *json;

	if (lstr_equal_c(httpd_method(request), "GET")) {
		httpd_respond(request, 200, "application/json",
		    lstr_from("{\"revision\":41}"));
		return;
	}
	json = json_loadb(body.data, body.len, 0, NULL);
	ck_assert_ptr_nonnull(json);
	snprintf(w->changes[w->posts % ANSWERS_MAX], sizeof(w->changes[0]),
	    "%s", json_string_value(json_object_get(json, "change")));
	w->base = json_integer_value(json_object_get(json, "base"));
	json_decref(json);
	w->posts++;
	/* Status 0: the request is never answered. */
	if (answer->status != 0)
		httpd_respond(request, answer->status, "application/json",
		    lstr_from(answer->body));
}

static const struct httpd_ops server_ops = {on_request, NULL};

/*
 * Starts the stand-in and writes the documents.
 */
static void
world_start(struct world *w)
{
	json_t *inventory = sample_inventory(&size);
	json_t *rules = sample_rules(&size);

	memset(w, 0, sizeof(*w));
	ck_assert_int_ge(sodium_init(), 0);
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(httpd_create(w->loop, "127.0.0.1:0", BODY_MAX_BYTES,
			     &server_ops, w, &w->httpd),
	    STATUS_OK);
	snprintf(w->address, sizeof(w->address), "127.0.0.1:%u",
	    httpd_port(w->httpd));
	snprintf(w->inventory, sizeof(w->inventory), "/tmp/ch-ctl-%d-i.json",
	    (int)getpid());
	snprintf(
	    w->rules, sizeof(w->rules), "/tmp/ch-ctl-%d-r.json", (int)getpid());
	ck_assert_int_eq(json_dump_file(inventory, w->inventory, 0), 0);
	ck_assert_int_eq(json_dump_file(rules, w->rules, 0), 0);
	json_decref(inventory);
	json_decref(rules);
}

/*
 * Runs one command line with at most two words.
 */
static enum ctl_exit
run(struct world *w, const char *base, int64_t timeout_usec, char *word)
{
	static const struct ctl_command *const commands[] = {
	    &ctl_apply_command, &ctl_show_command, &ctl_status_command, NULL};
	const struct ctl_options options = {.syncd = w->address,
	    .inventory = w->inventory,
	    .rules = w->rules,
	    .base = base,
	    .timeout_usec = timeout_usec};
	char *words[] = {word, NULL};
	enum ctl_exit result;
	struct ctl *ctl = NULL;

	ck_assert_int_eq(ctl_create(w->loop, &options, &ctl), STATUS_OK);
	result = ctl_run(ctl, commands, 1, words);
	ctl_destroy(ctl);
	unlink(w->inventory);
	unlink(w->rules);
	return result;
}

/* Guards against a change based on a revision that was not asked for. */
START_TEST(current_is_read_from_the_syncd)
{
	struct world w;

	world_start(&w);
	w.answers[0] = (struct answer){200, "{\"revision\":42}"};
	ck_assert_int_eq(
	    run(&w, "current", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_OK);
	ck_assert_int_eq(w.base, 41);
}
END_TEST

/* Guards against a second operator's change that is overwritten. */
START_TEST(conflict_has_its_own_exit_code)
{
	struct world w;

	world_start(&w);
	w.answers[0] = (struct answer){409, "{\"revision\":43}"};
	ck_assert_int_eq(
	    run(&w, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_CONFLICT);
	ck_assert_int_eq(w.posts, 1);
}
END_TEST

/* Guards against a change that is applied twice after a lost answer. */
START_TEST(repeat_has_the_same_change_id)
{
	struct world w;

	world_start(&w);
	w.answers[0] = (struct answer){503, "{\"message\":\"timeout\"}"};
	w.answers[1] = (struct answer){200, "{\"revision\":42}"};
	ck_assert_int_eq(
	    run(&w, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_OK);
	ck_assert_int_eq(w.posts, 2);
	ck_assert_str_eq(w.changes[0], w.changes[1]);
	ck_assert_uint_eq(strlen(w.changes[0]), 32);
}
END_TEST

/* Guards against "nothing was changed" when that is not certain. */
START_TEST(unanswered_change_is_unknown)
{
	struct world w;

	world_start(&w);
	ck_assert_int_eq(
	    run(&w, "41", 200 * LOOP_USEC_PER_MSEC, "apply"), CTL_EXIT_UNKNOWN);
	world_start(&w);
	w.answers[0] = (struct answer){503, "{}"};
	w.answers[1] = (struct answer){409, "{\"revision\":42}"};
	ck_assert_int_eq(
	    run(&w, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_UNKNOWN);
}
END_TEST

/* Guards against "unknown" when it is certain that nothing was changed. */
START_TEST(refused_change_is_not_unknown)
{
	struct world w;

	world_start(&w);
	for (int i = 0; i < ANSWERS_MAX; i++)
		w.answers[i] =
		    (struct answer){503, "{\"outcome\":\"not-run\"}"};
	ck_assert_int_eq(run(&w, "41", 200 * LOOP_USEC_PER_MSEC, "apply"),
	    CTL_EXIT_UNAVAILABLE);
	world_start(&w);
	httpd_destroy(w.httpd);
	ck_assert_int_eq(run(&w, "41", 200 * LOOP_USEC_PER_MSEC, "apply"),
	    CTL_EXIT_UNAVAILABLE);
}
END_TEST

/* Guards against faulty documents that are sent to the cluster. */
START_TEST(faulty_documents_are_not_sent)
{
	struct world w;
	FILE *file;

	world_start(&w);
	file = fopen(w.rules, "w");
	fputs("{\"organisations\":[]}", file);
	fclose(file);
	ck_assert_int_eq(
	    run(&w, "41", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_INVALID);
	ck_assert_int_eq(w.posts, 0);
}
END_TEST

/* Guards against a wrong command line that does something. */
START_TEST(wrong_usage_is_refused)
{
	struct world w;

	world_start(&w);
	ck_assert_int_eq(
	    run(&w, "41", HARNESS_DEADLINE_USEC, "aply"), CTL_EXIT_USAGE);
	world_start(&w);
	ck_assert_int_eq(
	    run(&w, "x", HARNESS_DEADLINE_USEC, "apply"), CTL_EXIT_USAGE);
	ck_assert_int_eq(w.posts, 0);
}
END_TEST

HARNESS_MAIN("ctl", current_is_read_from_the_syncd,
    conflict_has_its_own_exit_code, repeat_has_the_same_change_id,
    unanswered_change_is_unknown, refused_change_is_not_unknown,
    faulty_documents_are_not_sent, wrong_usage_is_refused)
