#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "ctl.h"
#include "fetch.h"
#include "inventory.h"
#include "part.h"

#define URL_MAX 512
#define ANSWER_MAX_BYTES ((size_t)128 * 1024 * 1024)
/* A syncd checks, writes and swaps within this; then the call is repeated. */
#define CALL_TIMEOUT_USEC (10 * LOOP_USEC_PER_SEC)
#define RETRY_INTERVAL_USEC (500 * LOOP_USEC_PER_MSEC)
#define CHANGE_ID_BYTES 16
#define CHANGE_ID_SIZE (2 * CHANGE_ID_BYTES + 1)
#define BASE_CURRENT "current"

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_TOO_LARGE 413

struct ctl {
	struct loop *loop;
	struct fetch *fetch;
	struct ctl_options options;
	int64_t deadline;
	/* The call in progress. */
	struct ctl_answer *answer;
	bool done;
};

/* An inventory and rules that are to be applied. */
struct application {
	json_t *inventory;
	json_t *rules;
	int64_t base;
	char change_id[CHANGE_ID_SIZE];
	/* An earlier attempt may have taken effect. */
	bool maybe_applied;
};

/*
 * Prints an error on standard error.
 */
void
ctl_error(const char *format, ...)
{
	va_list args;

	fprintf(stderr, "chestnuthoistctl: ");
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fprintf(stderr, "\n");
}

/*
 * Creates a run whose timeout starts now. The loop and the texts of the
 * options must outlive it.
 */
enum status
ctl_create(
    struct loop *loop, const struct ctl_options *options, struct ctl **out)
{
	struct ctl *ctl = g_new0(struct ctl, 1);
	enum status status = fetch_create(loop, &ctl->fetch);

	if (status != STATUS_OK) {
		g_free(ctl);
		return status;
	}
	ctl->loop = loop;
	ctl->options = *options;
	ctl->deadline = loop_now(loop) + options->timeout_usec;
	*out = ctl;
	return STATUS_OK;
}

/*
 * Frees a run.
 */
void
ctl_destroy(struct ctl *ctl)
{
	if (ctl == NULL)
		return;
	fetch_destroy(ctl->fetch);
	g_free(ctl);
}

/*
 * Returns the flags of the run.
 */
const struct ctl_options *
ctl_options(const struct ctl *ctl)
{
	return &ctl->options;
}

/*
 * Keeps the answer to the call in progress.
 */
static void
on_done(struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct ctl *ctl = arg;
	struct ctl_answer *answer = ctl->answer;

	(void)call;
	answer->status = result->status;
	answer->maybe_sent = result->maybe_sent;
	answer->http_status = result->http_status;
	if (result->status == STATUS_OK)
		answer->json =
		    json_loadb(result->body.data, result->body.len, 0, NULL);
	ctl->done = true;
}

/*
 * Calls the syncd and waits for the answer. The status of the answer is
 * STATUS_OK when one of any HTTP status arrived; its json is NULL when the
 * body is no JSON.
 */
void
ctl_call(struct ctl *ctl, const char *method, const char *path,
    struct lstr body, struct ctl_answer *answer)
{
	static const struct fetch_ops ops = {NULL, on_done};
	char url[URL_MAX];
	struct fetch_request request = {.method = method,
	    .url = url,
	    .body = body,
	    .once = true,
	    .answer_max_bytes = ANSWER_MAX_BYTES};

	memset(answer, 0, sizeof(*answer));
	snprintf(url, sizeof(url), "http://%s%s", ctl->options.syncd, path);
	request.deadline =
	    MIN(ctl->deadline, loop_now(ctl->loop) + CALL_TIMEOUT_USEC);
	ctl->answer = answer;
	ctl->done = false;
	answer->status = fetch_start(ctl->fetch, &request, &ops, ctl, NULL);
	if (answer->status != STATUS_OK)
		return;
	while (!ctl->done)
		loop_run_once(ctl->loop, request.deadline);
}

/*
 * Returns a text of an answer, or a substitute.
 */
static const char *
answer_text(
    const struct ctl_answer *answer, const char *field, const char *substitute)
{
	const char *text =
	    json_string_value(json_object_get(answer->json, field));

	return text ? text : substitute;
}

/*
 * Returns the revision that an answer names; -1 when it names none.
 */
static int64_t
answer_revision(const struct ctl_answer *answer)
{
	const json_t *json = json_object_get(answer->json, "revision");

	return json_is_integer(json) ? json_integer_value(json) : -1;
}

/*
 * Reads from the syncd. On CTL_EXIT_OK the caller releases the value; any
 * other result was printed.
 */
enum ctl_exit
ctl_get(struct ctl *ctl, const char *path, json_t **out)
{
	struct ctl_answer answer;

	ctl_call(ctl, "GET", path, lstr_from(""), &answer);
	if (answer.status != STATUS_OK) {
		ctl_error("GET %s from %s: %s", path, ctl->options.syncd,
		    status_message());
		return CTL_EXIT_UNAVAILABLE;
	}
	if (answer.http_status == HTTP_OK && answer.json != NULL) {
		*out = answer.json;
		return CTL_EXIT_OK;
	}
	ctl_error("GET %s from %s: status %ld: %s", path, ctl->options.syncd,
	    answer.http_status, answer_text(&answer, "message", "no message"));
	json_decref(answer.json);
	return answer.http_status == HTTP_NOT_FOUND ? CTL_EXIT_FAILED
						    : CTL_EXIT_UNAVAILABLE;
}

/*
 * Prints what a path of the syncd answers.
 */
static enum ctl_exit
print_path(struct ctl *ctl, const char *path)
{
	json_t *json = NULL;
	enum ctl_exit result = ctl_get(ctl, path, &json);

	if (result != CTL_EXIT_OK)
		return result;
	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("\n");
	json_decref(json);
	return CTL_EXIT_OK;
}

/*
 * Prints the configuration in force.
 */
static enum ctl_exit
run_show(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	return print_path(ctl, "/v1/config");
}

/*
 * Prints the state of the syncd.
 */
static enum ctl_exit
run_status(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	return print_path(ctl, "/v1/status");
}

/*
 * Reads one JSON file.
 */
static enum ctl_exit
load_file(const char *flag, const char *path, json_t **out)
{
	GError *error = NULL;
	gchar *text = NULL;
	gsize len = 0;
	enum status status;

	if (path == NULL) {
		ctl_error("apply needs --%s FILE", flag);
		return CTL_EXIT_USAGE;
	}
	if (!g_file_get_contents(path, &text, &len, &error)) {
		ctl_error("--%s: %s", flag, error->message);
		g_error_free(error);
		return CTL_EXIT_FAILED;
	}
	status = inv_load(lstr_make(text, len), flag, out);
	g_free(text);
	if (status == STATUS_OK)
		return CTL_EXIT_OK;
	ctl_error("%s: %s", path, status_message());
	return CTL_EXIT_INVALID;
}

/*
 * Reads both files and checks them as the syncd would.
 */
static enum ctl_exit
load_documents(const struct ctl_options *options, struct application *app)
{
	struct part_set *parts = NULL;
	struct inv *inv = NULL;
	enum ctl_exit result =
	    load_file("inventory", options->inventory, &app->inventory);

	if (result == CTL_EXIT_OK)
		result = load_file("rules", options->rules, &app->rules);
	if (result != CTL_EXIT_OK)
		return result;
	if (inv_parse(app->inventory, app->rules, &inv) != STATUS_OK ||
	    part_split(app->inventory, app->rules, &parts) != STATUS_OK) {
		ctl_error("%s", status_message());
		result = CTL_EXIT_INVALID;
	}
	inv_destroy(inv);
	part_set_destroy(parts);
	return result;
}

/*
 * Finds the revision on which the change is based.
 */
static enum ctl_exit
find_base(struct ctl *ctl, struct application *app)
{
	const char *base = ctl->options.base;
	struct ctl_answer answer = {0};
	enum ctl_exit result;

	if (base == NULL) {
		ctl_error(
		    "apply needs --base REVISION, or --base %s", BASE_CURRENT);
		return CTL_EXIT_USAGE;
	}
	if (strcmp(base, BASE_CURRENT) != 0) {
		if (lstr_to_int64(lstr_from(base), &app->base) == STATUS_OK &&
		    app->base >= 0)
			return CTL_EXIT_OK;
		ctl_error("--base: '%s' is not allowed; a revision or '%s' is",
		    base, BASE_CURRENT);
		return CTL_EXIT_USAGE;
	}
	result = ctl_get(ctl, "/v1/status", &answer.json);
	if (result != CTL_EXIT_OK)
		return result;
	app->base = answer_revision(&answer);
	json_decref(answer.json);
	if (app->base >= 0)
		return CTL_EXIT_OK;
	ctl_error("the answer of %s names no revision", ctl->options.syncd);
	return CTL_EXIT_FAILED;
}

/*
 * Reports a conflict. After an attempt without an answer it may be the
 * change's own effect, followed by another change.
 */
static enum ctl_exit
report_conflict(const struct application *app, const struct ctl_answer *answer)
{
	long long revision = answer_revision(answer);

	if (app->maybe_applied) {
		ctl_error("unknown whether change %s was applied: an attempt "
			  "was not answered, and the present revision is %lld",
		    app->change_id, revision);
		return CTL_EXIT_UNKNOWN;
	}
	ctl_error("conflict: the present revision is %lld, not %lld; nothing "
		  "was changed",
	    revision, (long long)app->base);
	printf("%lld\n", revision);
	return CTL_EXIT_CONFLICT;
}

/*
 * Judges one attempt; true when it was the last one.
 */
static bool
judge(struct application *app, const struct ctl_answer *answer,
    enum ctl_exit *result)
{
	long http = answer->status == STATUS_OK ? answer->http_status : 0;

	if (http == HTTP_OK && answer_revision(answer) > 0) {
		printf("%lld\n", (long long)answer_revision(answer));
		*result = CTL_EXIT_OK;
		return true;
	}
	if (http == HTTP_CONFLICT) {
		*result = report_conflict(app, answer);
		return true;
	}
	if (http == HTTP_BAD_REQUEST || http == HTTP_TOO_LARGE) {
		ctl_error("refused: %s",
		    answer_text(answer, "message", "no message"));
		*result = CTL_EXIT_INVALID;
		return true;
	}
	if (http != 0 &&
	    strcmp(answer_text(answer, "outcome", ""), "not-run") != 0)
		app->maybe_applied = true;
	if (http == 0 && answer->maybe_sent)
		app->maybe_applied = true;
	return false;
}

/*
 * Waits before the next attempt; false when the timeout is over.
 */
static bool
wait_for_retry(struct ctl *ctl)
{
	int64_t until = loop_now(ctl->loop) + RETRY_INTERVAL_USEC;

	while (
	    loop_now(ctl->loop) < until && loop_now(ctl->loop) < ctl->deadline)
		loop_run_once(ctl->loop, until);
	return loop_now(ctl->loop) < ctl->deadline;
}

/*
 * Sends the change until an answer settles it. Every attempt has the same
 * change id, by which the syncd knows a change that has taken effect.
 */
static enum ctl_exit
send_change(struct ctl *ctl, struct application *app, struct lstr body)
{
	enum ctl_exit result = CTL_EXIT_OK;
	struct ctl_answer answer;
	char reason[URL_MAX];

	do {
		bool settled;

		ctl_call(ctl, "POST", "/v1/config", body, &answer);
		settled = judge(app, &answer, &result);
		snprintf(reason, sizeof(reason), "%s",
		    answer.status != STATUS_OK
			? status_message()
			: answer_text(&answer, "message", "no message"));
		json_decref(answer.json);
		if (settled)
			return result;
	} while (wait_for_retry(ctl));
	if (app->maybe_applied) {
		ctl_error("unknown whether change %s was applied: %s",
		    app->change_id, reason);
		return CTL_EXIT_UNKNOWN;
	}
	ctl_error("nothing was changed: %s", reason);
	return CTL_EXIT_UNAVAILABLE;
}

/*
 * Builds the request and sends it.
 */
static enum ctl_exit
post_change(struct ctl *ctl, struct application *app)
{
	uint8_t random[CHANGE_ID_BYTES];
	enum ctl_exit result;
	json_t *json;
	char *text;

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(app->change_id, CHANGE_ID_SIZE, random, CHANGE_ID_BYTES);
	json = json_pack("{s:I,s:s,s:O,s:O}", "base", (json_int_t)app->base,
	    "change", app->change_id, "inventory", app->inventory, "rules",
	    app->rules);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (text == NULL) {
		ctl_error("out of memory");
		return CTL_EXIT_FAILED;
	}
	result = send_change(ctl, app, lstr_from(text));
	free(text);
	return result;
}

/*
 * Applies an inventory and rules and prints the new revision.
 */
static enum ctl_exit
run_apply(struct ctl *ctl, char **arguments)
{
	struct application app = {0};
	enum ctl_exit result = load_documents(&ctl->options, &app);

	(void)arguments;
	if (result == CTL_EXIT_OK)
		result = find_base(ctl, &app);
	if (result == CTL_EXIT_OK)
		result = post_change(ctl, &app);
	json_decref(app.inventory);
	json_decref(app.rules);
	return result;
}

const struct ctl_command ctl_apply_command = {"apply", 0, false, run_apply};
const struct ctl_command ctl_show_command = {"show", 0, false, run_show};
const struct ctl_command ctl_status_command = {"status", 0, false, run_status};

/*
 * Tells whether the words of a command line start with the words of a
 * command; *used is their number.
 */
static bool
matches(const char *name, int count, char **words, int *used)
{
	gchar **parts = g_strsplit(name, " ", -1);
	bool same = true;

	*used = (int)g_strv_length(parts);
	for (int i = 0; same && i < *used; i++)
		same = i < count && strcmp(parts[i], words[i]) == 0;
	g_strfreev(parts);
	return same;
}

/*
 * Runs the command that the words name. commands ends with NULL.
 */
enum ctl_exit
ctl_run(struct ctl *ctl, const struct ctl_command *const *commands, int count,
    char **words)
{
	for (; *commands != NULL; commands++) {
		const struct ctl_command *command = *commands;
		int used = 0;

		if (!matches(command->name, count, words, &used))
			continue;
		if (!command->local && ctl->options.syncd == NULL) {
			ctl_error("setting --syncd is missing; %s needs it",
			    command->name);
			return CTL_EXIT_USAGE;
		}
		if (count - used == command->argument_count)
			return command->run(ctl, words + used);
		ctl_error("%s takes %d arguments, not %d", command->name,
		    command->argument_count, count - used);
		return CTL_EXIT_USAGE;
	}
	ctl_error("no such command; --help lists them");
	return CTL_EXIT_USAGE;
}
