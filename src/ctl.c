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
#define RESPONSE_MAX_BYTES ((size_t)128 * 1024 * 1024)
/*
 * A syncd checks, stores and activates a change within this time; after it the
 * call is repeated.
 */
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
	/* Response to the call in progress. */
	struct ctl_response *response;
	bool call_done;
};

/* A configuration change: the inventory and rules to be applied. */
struct config_change {
	json_t *inventory;
	json_t *rules;
	int64_t base;
	char change_id[CHANGE_ID_SIZE];
	/* An attempt without a conclusive response may have been applied. */
	bool maybe_applied;
};

/*
 * Prints an error message to standard error.
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
 * Creates an invocation; its timeout starts now. The loop and the strings of
 * the options must outlive it.
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
 * Frees an invocation.
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
 * Returns the flags of the invocation.
 */
const struct ctl_options *
ctl_options(const struct ctl *ctl)
{
	return &ctl->options;
}

/*
 * Stores the response to the call in progress.
 */
static void
on_done(struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct ctl *ctl = arg;
	struct ctl_response *response = ctl->response;

	(void)call;
	response->status = result->status;
	response->maybe_sent = result->maybe_sent;
	response->http_status = result->http_status;
	if (result->status == STATUS_OK)
		response->json =
		    json_loadb(result->body.data, result->body.len, 0, NULL);
	ctl->call_done = true;
}

/*
 * Calls the syncd and waits for the response. Its status is STATUS_OK if a
 * response arrived, whatever its HTTP status; its json is NULL if the body is
 * not JSON.
 */
void
ctl_call(struct ctl *ctl, const char *method, const char *path,
    struct lstr body, struct ctl_response *response)
{
	static const struct fetch_ops ops = {NULL, on_done};
	char url[URL_MAX];
	struct fetch_request request = {.method = method,
	    .url = url,
	    .body = body,
	    .once = true,
	    .response_max_bytes = RESPONSE_MAX_BYTES};

	memset(response, 0, sizeof(*response));
	snprintf(url, sizeof(url), "http://%s%s", ctl->options.syncd, path);
	request.deadline =
	    MIN(ctl->deadline, loop_now(ctl->loop) + CALL_TIMEOUT_USEC);
	ctl->response = response;
	ctl->call_done = false;
	response->status = fetch_start(ctl->fetch, &request, &ops, ctl, NULL);
	if (response->status != STATUS_OK)
		return;
	while (!ctl->call_done)
		loop_run_once(ctl->loop, request.deadline);
}

/*
 * Returns a string field of a response, or fallback if it has none.
 */
static const char *
response_text(const struct ctl_response *response, const char *field,
    const char *fallback)
{
	const char *text =
	    json_string_value(json_object_get(response->json, field));

	return text ? text : fallback;
}

/*
 * Returns the revision in a response, or -1 if it has none.
 */
static int64_t
response_revision(const struct ctl_response *response)
{
	const json_t *json = json_object_get(response->json, "revision");

	return json_is_integer(json) ? json_integer_value(json) : -1;
}

/*
 * Fetches JSON from the syncd. On CTL_EXIT_OK the caller releases the value;
 * otherwise the error has been printed.
 */
enum ctl_exit
ctl_get(struct ctl *ctl, const char *path, json_t **out)
{
	struct ctl_response response;

	ctl_call(ctl, "GET", path, lstr_from(""), &response);
	if (response.status != STATUS_OK) {
		ctl_error("GET %s from %s: %s", path, ctl->options.syncd,
		    status_message());
		return CTL_EXIT_UNAVAILABLE;
	}
	if (response.http_status == HTTP_OK && response.json != NULL) {
		*out = response.json;
		return CTL_EXIT_OK;
	}
	ctl_error("GET %s from %s: status %ld: %s", path, ctl->options.syncd,
	    response.http_status,
	    response_text(&response, "message", "no message"));
	json_decref(response.json);
	return response.http_status == HTTP_NOT_FOUND ? CTL_EXIT_FAILED
						      : CTL_EXIT_UNAVAILABLE;
}

/*
 * Fetches a path of the syncd and prints the JSON.
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
 * Prints the current configuration.
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
 * Reads the JSON file that a flag names.
 */
static enum ctl_exit
load_file(const char *flag, const char *path, json_t **out)
{
	GError *error = NULL;
	gchar *text = NULL;
	gsize len = 0;
	enum status status;

	if (path == NULL) {
		ctl_error("apply requires --%s FILE", flag);
		return CTL_EXIT_USAGE;
	}
	if (!g_file_get_contents(path, &text, &len, &error)) {
		ctl_error("--%s: %s", flag, error->message);
		g_error_free(error);
		return CTL_EXIT_FAILED;
	}
	status = inv_load_json(lstr_make(text, len), flag, out);
	g_free(text);
	if (status == STATUS_OK)
		return CTL_EXIT_OK;
	ctl_error("%s: %s", path, status_message());
	return CTL_EXIT_INVALID;
}

/*
 * Reads the inventory and the rules and validates them as the syncd does.
 */
static enum ctl_exit
load_documents(const struct ctl_options *options, struct config_change *change)
{
	struct part_set *parts = NULL;
	struct inv *inv = NULL;
	enum ctl_exit result =
	    load_file("inventory", options->inventory, &change->inventory);

	if (result == CTL_EXIT_OK)
		result = load_file("rules", options->rules, &change->rules);
	if (result != CTL_EXIT_OK)
		return result;
	if (inv_parse(change->inventory, change->rules, &inv) != STATUS_OK ||
	    part_split(change->inventory, change->rules, &parts) != STATUS_OK) {
		ctl_error("%s", status_message());
		result = CTL_EXIT_INVALID;
	}
	inv_destroy(inv);
	part_set_destroy(parts);
	return result;
}

/*
 * Determines the revision on which the change is based.
 */
static enum ctl_exit
find_base(struct ctl *ctl, struct config_change *change)
{
	const char *base = ctl->options.base;
	struct ctl_response response = {0};
	enum ctl_exit result;

	if (base == NULL) {
		ctl_error("apply requires --base REVISION or --base %s",
		    BASE_CURRENT);
		return CTL_EXIT_USAGE;
	}
	if (strcmp(base, BASE_CURRENT) != 0) {
		if (lstr_to_int64(lstr_from(base), &change->base) ==
			STATUS_OK &&
		    change->base >= 0)
			return CTL_EXIT_OK;
		ctl_error("--base: '%s' is neither a revision nor '%s'", base,
		    BASE_CURRENT);
		return CTL_EXIT_USAGE;
	}
	result = ctl_get(ctl, "/v1/status", &response.json);
	if (result != CTL_EXIT_OK)
		return result;
	change->base = response_revision(&response);
	json_decref(response.json);
	if (change->base >= 0)
		return CTL_EXIT_OK;
	ctl_error(
	    "the response of %s contains no revision", ctl->options.syncd);
	return CTL_EXIT_FAILED;
}

/*
 * Reports a conflict. If an earlier attempt got no conclusive response, the
 * conflict may be due to this change itself, followed by another change.
 */
static enum ctl_exit
report_conflict(
    const struct config_change *change, const struct ctl_response *response)
{
	long long revision = response_revision(response);

	if (change->maybe_applied) {
		ctl_error(
		    "unknown whether change %s was applied: an attempt "
		    "got no conclusive response, and the current revision is "
		    "%lld",
		    change->change_id, revision);
		return CTL_EXIT_UNKNOWN;
	}
	ctl_error("conflict: the current revision is %lld, not %lld; nothing "
		  "was changed",
	    revision, (long long)change->base);
	printf("%lld\n", revision);
	return CTL_EXIT_CONFLICT;
}

/*
 * Evaluates the response to one attempt. Returns true if it is final, with the
 * exit code in result.
 */
static bool
evaluate_response(struct config_change *change,
    const struct ctl_response *response, enum ctl_exit *result)
{
	long http = response->status == STATUS_OK ? response->http_status : 0;

	if (http == HTTP_OK && response_revision(response) > 0) {
		printf("%lld\n", (long long)response_revision(response));
		*result = CTL_EXIT_OK;
		return true;
	}
	if (http == HTTP_CONFLICT) {
		*result = report_conflict(change, response);
		return true;
	}
	if (http == HTTP_BAD_REQUEST || http == HTTP_TOO_LARGE) {
		ctl_error("refused: %s",
		    response_text(response, "message", "no message"));
		*result = CTL_EXIT_INVALID;
		return true;
	}
	if (http != 0 &&
	    strcmp(response_text(response, "outcome", ""), "not-run") != 0)
		change->maybe_applied = true;
	if (http == 0 && response->maybe_sent)
		change->maybe_applied = true;
	return false;
}

/*
 * Waits before the next attempt. Returns false if the timeout has expired.
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
 * Sends the change until a response is final or the timeout expires. Every
 * attempt has the same change id, by which the syncd recognises a change that
 * has already been applied.
 */
static enum ctl_exit
send_change(struct ctl *ctl, struct config_change *change, struct lstr body)
{
	enum ctl_exit result = CTL_EXIT_OK;
	struct ctl_response response;
	char reason[URL_MAX];

	do {
		bool is_final;

		ctl_call(ctl, "POST", "/v1/config", body, &response);
		is_final = evaluate_response(change, &response, &result);
		snprintf(reason, sizeof(reason), "%s",
		    response.status != STATUS_OK
			? status_message()
			: response_text(&response, "message", "no message"));
		json_decref(response.json);
		if (is_final)
			return result;
	} while (wait_for_retry(ctl));
	if (change->maybe_applied) {
		ctl_error("unknown whether change %s was applied: %s",
		    change->change_id, reason);
		return CTL_EXIT_UNKNOWN;
	}
	ctl_error("nothing was changed: %s", reason);
	return CTL_EXIT_UNAVAILABLE;
}

/*
 * Builds the request with a new change id and sends it.
 */
static enum ctl_exit
post_change(struct ctl *ctl, struct config_change *change)
{
	uint8_t random[CHANGE_ID_BYTES];
	enum ctl_exit result;
	json_t *json;
	char *text;

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(
	    change->change_id, CHANGE_ID_SIZE, random, CHANGE_ID_BYTES);
	json = json_pack("{s:I,s:s,s:O,s:O}", "base", (json_int_t)change->base,
	    "change", change->change_id, "inventory", change->inventory,
	    "rules", change->rules);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (text == NULL) {
		ctl_error("out of memory");
		return CTL_EXIT_FAILED;
	}
	result = send_change(ctl, change, lstr_from(text));
	free(text);
	return result;
}

/*
 * Applies an inventory and rules and prints the new revision.
 */
static enum ctl_exit
run_apply(struct ctl *ctl, char **arguments)
{
	struct config_change change = {0};
	enum ctl_exit result = load_documents(&ctl->options, &change);

	(void)arguments;
	if (result == CTL_EXIT_OK)
		result = find_base(ctl, &change);
	if (result == CTL_EXIT_OK)
		result = post_change(ctl, &change);
	json_decref(change.inventory);
	json_decref(change.rules);
	return result;
}

const struct ctl_command ctl_apply_command = {"apply", 0, false, run_apply};
const struct ctl_command ctl_show_command = {"show", 0, false, run_show};
const struct ctl_command ctl_status_command = {"status", 0, false, run_status};

/*
 * Returns true if the words of a command line start with the words of a
 * command's name, and sets name_word_count to the number of words in it.
 */
static bool
matches_command(const char *name, int count, char **words, int *name_word_count)
{
	gchar **parts = g_strsplit(name, " ", -1);
	bool same = true;

	*name_word_count = (int)g_strv_length(parts);
	for (int i = 0; same && i < *name_word_count; i++)
		same = i < count && strcmp(parts[i], words[i]) == 0;
	g_strfreev(parts);
	return same;
}

/*
 * Runs the command given by the words of the command line. The array commands
 * is terminated by NULL.
 */
enum ctl_exit
ctl_run(struct ctl *ctl, const struct ctl_command *const *commands, int count,
    char **words)
{
	for (; *commands != NULL; commands++) {
		const struct ctl_command *command = *commands;
		int name_word_count = 0;

		if (!matches_command(
			command->name, count, words, &name_word_count))
			continue;
		if (!command->local && ctl->options.syncd == NULL) {
			ctl_error("%s requires --syncd ADDRESS", command->name);
			return CTL_EXIT_USAGE;
		}
		if (count - name_word_count == command->argument_count)
			return command->run(ctl, words + name_word_count);
		ctl_error("%s requires %d arguments, not %d", command->name,
		    command->argument_count, count - name_word_count);
		return CTL_EXIT_USAGE;
	}
	ctl_error("unknown command; --help lists the commands");
	return CTL_EXIT_USAGE;
}
