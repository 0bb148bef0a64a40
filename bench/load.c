#include <signal.h>
#include <string.h>

#include "../tests/fakes/fake_token.h"
#include "fetch.h"
#include "load_mix.h"
#include "load_report.h"
#include "load_settings.h"
#include "ndjson.h"

#define PROMPT_MAX 64
#define ADDRESS_MAX 64
#define KEY_MAX 96
#define KEY_HEADER "Idempotency-Key: "
#define CODE_MAX 64
#define ADDRESSES_MAX 16
#define TICK_USEC (2 * LOOP_USEC_PER_MSEC)
#define RETRY_WAIT_USEC (100 * LOOP_USEC_PER_MSEC)
#define RETRY_WAIT_MAX_USEC (2 * LOOP_USEC_PER_SEC)
/* The entry responds at most one second after the deadline. */
#define ANSWER_GRACE_USEC (2 * LOOP_USEC_PER_SEC)
#define ADDRESS_CALL_USEC (2 * LOOP_USEC_PER_SEC)

struct load {
	struct loop *loop;
	struct fetch *fetch;
	struct loop_timer *tick;
	GRand *random;
	const struct setting *settings;
	char **bootstrap;
	struct load_mix mix;
	char addresses[ADDRESSES_MAX][ADDRESS_MAX];
	size_t address_count;
	int64_t valid_until;
	int64_t next_address_call_at;
	bool address_call_pending;
	guint bootstrap_index;
	int64_t remaining[LOAD_KINDS];
	int64_t number;
	int64_t token_lines;
	/* File that receives the result of each request, or NULL. */
	FILE *results;
	/* Unfinished requests (struct call). */
	GPtrArray *calls;
	int64_t stop_at;
	struct load_report report;
};

/* One request with all its tries (the first try and its retries). */
struct call {
	struct load *load;
	enum load_kind kind;
	char prompt[PROMPT_MAX];
	char key[KEY_MAX];
	struct load_organisation *organisation;
	bool delayed;
	struct fetch_call *fetch_call;
	int64_t tries;
	/* Outcome and code of each finished try, in order. */
	json_t *history;
	int64_t retry_at;
	/* Index of the address of the last try, plus 1; 0 before any try. */
	guint last_address_plus_one;
	/* The members below hold the state of the current try. */
	struct lstr_buf input;
	int64_t deadline;
	int64_t started_at;
	int64_t last_token_at;
	uint32_t position;
	bool wrong;
	char outcome[CODE_MAX];
	char code[CODE_MAX];
	int64_t response_retry_at;
};

static void start_try(struct call *);

/*
 * Returns the value of an integer or boolean setting.
 */
static int64_t
setting_number(const struct load *load, const char *name)
{
	return settings_get(load->settings, name)->number;
}

/*
 * Returns the value of a text setting, or NULL if it is not set.
 */
static const char *
setting_text(const struct load *load, const char *name)
{
	return settings_get(load->settings, name)->text;
}

/*
 * Checks one token line of a pipeline response and records its latency.
 */
static void
check_token(struct call *call, const json_t *line, int64_t now)
{
	struct load_report *report = &call->load->report;
	const char *token = json_string_value(json_object_get(line, "token"));
	char expected[FAKE_TOKEN_MAX];
	int64_t since =
	    call->last_token_at ? call->last_token_at : call->started_at;
	int64_t elapsed = now - since;

	fake_token_text(expected, lstr_from(call->prompt), call->position);
	if (token == NULL || strcmp(token, expected) != 0 ||
	    json_integer_value(json_object_get(line, "position")) !=
		call->position)
		call->wrong = true;
	if (call->last_token_at == 0)
		g_array_append_val(report->first_token, elapsed);
	else
		g_array_append_val(report->gap, elapsed);
	call->delayed = call->delayed || elapsed > LOAD_DELAYED_USEC;
	load_mix_count_token(&call->load->mix, call->organisation, now);
	call->last_token_at = now;
	call->position++;
	report->tokens++;
}

/*
 * Parses the line that holds the outcome, and checks the response against the
 * request.
 */
static void
parse_outcome(struct call *call, const json_t *line)
{
	const char *outcome =
	    json_string_value(json_object_get(line, "outcome"));
	const char *code = json_string_value(json_object_get(line, "code"));

	if (call->outcome[0] != '\0' || outcome == NULL) {
		call->wrong = true;
		return;
	}
	snprintf(call->outcome, CODE_MAX, "%s", outcome);
	snprintf(call->code, CODE_MAX, "%s", code ? code : "");
	call->response_retry_at =
	    json_integer_value(json_object_get(line, "retry_at")) *
	    LOOP_USEC_PER_MSEC;
	if (strcmp(outcome, "run") != 0)
		return;
	if (call->kind == LOAD_ORDER)
		call->wrong |= !load_order_is_answered(
		    line, setting_text(call->load, "order-operation"));
	else if (json_integer_value(json_object_get(line, "tokens")) !=
		call->position ||
	    call->position != setting_number(call->load, "max-tokens"))
		call->wrong = true;
}

/*
 * Returns whether to hide the next token from the check (setting "spoil"). The
 * check must then detect the missing token.
 */
static bool
should_hide_token(struct load *load)
{
	int64_t every = setting_number(load, "spoil");

	return every != 0 && ++load->token_lines % every == 0;
}

/*
 * Handles one line of a response. A line after the outcome is an error.
 */
static void
handle_line(struct call *call, struct lstr text, int64_t now)
{
	json_t *line = json_loadb(text.data, text.len, 0, NULL);

	if (line == NULL || call->outcome[0] != '\0')
		call->wrong = true;
	else if (json_object_get(line, "outcome") != NULL)
		parse_outcome(call, line);
	else if (!should_hide_token(call->load))
		check_token(call, line, now);
	json_decref(line);
}

/*
 * Handles received bytes of a response.
 */
static void
on_data(struct fetch_call *fetch_call, struct lstr bytes, void *arg)
{
	struct call *call = arg;
	int64_t now = loop_now(call->load->loop);
	struct lstr line;
	size_t offset = 0;

	(void)fetch_call;
	if (ndjson_append(&call->input, bytes) != STATUS_OK)
		call->wrong = true;
	while (ndjson_next(&call->input, &offset, &line))
		handle_line(call, line, now);
	lstr_buf_consume(&call->input, offset);
}

/*
 * Writes the result of a request to the results file, if one is open.
 */
static void
write_result(const struct call *call)
{
	load_result_write(call->load->results,
	    call->kind == LOAD_ORDER ? call->key + strlen(KEY_HEADER)
				     : call->prompt,
	    call->kind, call->wrong, call->history);
}

/*
 * Counts the final outcome of a request and frees it.
 */
static void
finish_call(struct call *call)
{
	struct load_report *report = &call->load->report;
	struct load_counts *counts = &report->counts[call->kind];

	if (call->wrong)
		counts->wrong++;
	load_mix_count_request(&call->load->mix, call->organisation,
	    call->delayed, strcmp(call->outcome, "run") == 0, call->position);
	if (strcmp(call->outcome, "run") == 0)
		counts->run++;
	else if (strcmp(call->outcome, "not-run") == 0)
		counts->not_run++;
	else if (strcmp(call->outcome, "unknown") == 0)
		counts->unknown++;
	else
		counts->incomplete++;
	load_report_count_outcome(report,
	    call->outcome[0] ? call->outcome : "incomplete", call->code);
	write_result(call);
	g_ptr_array_remove_fast(call->load->calls, call);
	json_decref(call->history);
	lstr_buf_free(&call->input);
	free(call);
}

/*
 * Returns whether a request may be retried. Lookups and orders may be retried,
 * orders with the same idempotency key. There is no retry after a complete or
 * wrong response, nor after a 4xx status, which means that the request itself
 * was rejected.
 */
static bool
may_retry(const struct call *call, long http_status)
{
	int64_t max_retries = setting_number(call->load, "retries");

	if (call->wrong || strcmp(call->outcome, "run") == 0)
		return false;
	if (http_status >= 400 && http_status < 500)
		return false;
	/* Without a response the caller does not know the outcome. */
	if (call->outcome[0] == '\0')
		max_retries += setting_number(call->load, "lost-retries");
	return call->tries <= max_retries &&
	    loop_now(call->load->loop) < call->load->stop_at;
}

/*
 * Handles the end of a try: schedules a retry or finishes the request.
 */
static void
on_done(
    struct fetch_call *fetch_call, const struct fetch_result *result, void *arg)
{
	struct call *call = arg;
	int64_t now = loop_now(call->load->loop);
	int64_t elapsed = now - call->started_at;

	(void)fetch_call;
	call->fetch_call = NULL;
	if (result->status == STATUS_OK && call->input.len > 0)
		handle_line(call, lstr_buf_view(&call->input), now);
	if (result->status != STATUS_OK) {
		call->outcome[0] = '\0';
		snprintf(
		    call->code, CODE_MAX, "%s", status_name(result->status));
	}
	if (call->kind == LOAD_ORDER && strcmp(call->outcome, "run") == 0)
		g_array_append_val(call->load->report.order, elapsed);
	load_history_add(call->history, call->outcome, call->code);
	if (!may_retry(call, result->http_status)) {
		finish_call(call);
		return;
	}
	call->load->report.counts[call->kind].retries++;
	call->retry_at = CLAMP(call->response_retry_at, now + RETRY_WAIT_USEC,
	    now + RETRY_WAIT_MAX_USEC);
}

/*
 * Returns the JSON body of a request; the caller frees it with free().
 */
static char *
make_body(const struct call *call)
{
	const struct load *load = call->load;
	bool order = call->kind == LOAD_ORDER;
	json_t *json = json_pack("{s:s,s:s,s:s,s:s,s:I}", "organisation",
	    call->organisation->name, "service",
	    setting_text(load, order ? "order-service" : "lookup-service"),
	    "operation",
	    setting_text(load, order ? "order-operation" : "lookup-operation"),
	    "prompt", call->prompt, "deadline",
	    (json_int_t)(call->deadline / LOOP_USEC_PER_MSEC));
	char *text;

	if (!order)
		json_object_set_new(json, "max_tokens",
		    json_integer(setting_number(load, "max-tokens")));
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/*
 * Chooses a random known address and returns its index. A retry uses a
 * different address from the previous try if more than one is known.
 */
static guint
choose_address(struct call *call)
{
	const struct load *load = call->load;
	guint count = (guint)load->address_count;
	guint address_index =
	    (guint)g_rand_int_range(load->random, 0, (gint)count);

	if (address_index + 1 == call->last_address_plus_one)
		address_index = (address_index + 1) % count;
	call->last_address_plus_one = address_index + 1;
	return address_index;
}

/*
 * Starts a try: sends the request to one of the known addresses.
 */
static void
start_try(struct call *call)
{
	static const struct fetch_ops ops = {on_data, on_done};
	struct load *load = call->load;
	guint address_index = choose_address(call);
	const char *headers[] = {call->key[0] ? call->key : NULL, NULL};
	char url[ADDRESS_MAX + 32];
	char *body;
	struct fetch_request request = {
	    .method = "POST", .url = url, .headers = headers};

	call->tries++;
	call->retry_at = 0;
	call->started_at = loop_now(load->loop);
	call->last_token_at = 0;
	call->position = 0;
	call->outcome[0] = call->code[0] = '\0';
	call->response_retry_at = 0;
	lstr_buf_clear(&call->input);
	call->deadline = call->started_at +
	    setting_number(load, "deadline-ms") * LOOP_USEC_PER_MSEC;
	body = make_body(call);
	request.body = lstr_from(body);
	request.deadline = call->deadline + ANSWER_GRACE_USEC;
	snprintf(url, sizeof(url), "http://%s/v1/requests",
	    load->addresses[address_index]);
	if (fetch_start(load->fetch, &request, &ops, call, &call->fetch_call) !=
	    STATUS_OK) {
		call->fetch_call = NULL;
		call->retry_at = call->started_at + RETRY_WAIT_USEC;
	}
	free(body);
}

/*
 * Creates the next request of a kind and starts its first try.
 */
static void
start_call(struct load *load, enum load_kind kind)
{
	struct call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return;
	load->remaining[kind]--;
	load->number++;
	load->report.counts[kind].sent++;
	call->load = load;
	call->kind = kind;
	call->history = json_array();
	call->organisation = load_mix_draw(&load->mix, load->random);
	call->organisation->sent++;
	if (kind == LOAD_LOOKUP &&
	    load_mix_is_measured(&load->mix, loop_now(load->loop)))
		call->organisation->measured_lookups++;
	snprintf(call->prompt, PROMPT_MAX, "prompt %lld of seed %lld",
	    (long long)load->number, (long long)setting_number(load, "seed"));
	if (kind == LOAD_ORDER)
		snprintf(call->key, KEY_MAX, KEY_HEADER "%lld-%08x-%lld",
		    (long long)(loop_now(load->loop) / LOOP_USEC_PER_SEC),
		    g_rand_int(load->random), (long long)load->number);
	g_ptr_array_add(load->calls, call);
	start_try(call);
}

/*
 * Handles the response of an entry to a request for addresses.
 */
static void
on_addresses(
    struct fetch_call *fetch_call, const struct fetch_result *result, void *arg)
{
	struct load *load = arg;
	json_t *json = NULL;
	json_t *list;
	size_t count = 0;
	int64_t valid_until;

	(void)fetch_call;
	load->address_call_pending = false;
	load->bootstrap_index++;
	if (result->status == STATUS_OK && result->http_status == 200)
		json = json_loadb(result->body.data, result->body.len, 0, NULL);
	list = json_object_get(json, "addresses");
	valid_until = json_integer_value(json_object_get(json, "valid_until"));
	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *address = json_string_value(
		    json_object_get(json_array_get(list, i), "address"));

		if (address != NULL && count < ADDRESSES_MAX)
			snprintf(load->addresses[count++], ADDRESS_MAX, "%s",
			    address);
	}
	if (count > 0) {
		load->address_count = count;
		load->valid_until = valid_until * LOOP_USEC_PER_MSEC;
	}
	json_decref(json);
}

/*
 * Requests the list of entry addresses from the entries named in the settings,
 * in turn. Does nothing while such a request is open or was sent recently.
 */
static void
request_addresses(struct load *load, int64_t now)
{
	static const struct fetch_ops ops = {NULL, on_addresses};
	guint count = g_strv_length(load->bootstrap);
	const char *place = setting_text(load, "place");
	char url[2 * ADDRESS_MAX + 64];
	struct fetch_request request = {.method = "GET",
	    .url = url,
	    .deadline = now + ADDRESS_CALL_USEC,
	    .once = true};

	if (load->address_call_pending || now < load->next_address_call_at)
		return;
	load->next_address_call_at = now + RETRY_WAIT_USEC;
	snprintf(url, sizeof(url), "http://%s/v1/addresses%s%s",
	    load->bootstrap[load->bootstrap_index % count],
	    place ? "?place=" : "", place ? place : "");
	load->address_call_pending =
	    fetch_start(load->fetch, &request, &ops, load, NULL) == STATUS_OK;
}

/*
 * Starts as many requests as the concurrency and rate limits allow, with kinds
 * in random order.
 */
static void
start_calls(struct load *load, int64_t now)
{
	int64_t allowed = load_mix_allowed(&load->mix, now,
	    setting_number(load, "rate"), setting_number(load, "burst"));

	while (load->calls->len < (guint)setting_number(load, "concurrency") &&
	    load->number < allowed) {
		int64_t total_remaining =
		    load->remaining[LOAD_LOOKUP] + load->remaining[LOAD_ORDER];

		if (total_remaining <= 0)
			return;
		start_call(load,
		    g_rand_double(load->random) * (double)total_remaining <
			    (double)load->remaining[LOAD_ORDER]
			? LOAD_ORDER
			: LOAD_LOOKUP);
	}
}

/*
 * Refreshes expired addresses, starts requests and retries, and stops the loop
 * when all requests are finished or the time limit is reached.
 */
static void
on_tick(void *arg)
{
	struct load *load = arg;
	int64_t now = loop_now(load->loop);

	if (now >= load->valid_until) {
		request_addresses(load, now);
	} else if (now < load->stop_at) {
		for (guint i = 0; i < load->calls->len; i++) {
			struct call *call = load->calls->pdata[i];

			if (call->retry_at != 0 && now >= call->retry_at)
				start_try(call);
		}
		start_calls(load, now);
	}
	if (now >= load->stop_at ||
	    (load->calls->len == 0 && load->remaining[LOAD_LOOKUP] <= 0 &&
		load->remaining[LOAD_ORDER] <= 0)) {
		loop_stop(load->loop);
		return;
	}
	loop_timer_set(load->tick, now + TICK_USEC);
}

/*
 * Runs the requests and prints the report. Returns the exit code: 1 if a
 * response was wrong or a request did not finish.
 */
static int
run(struct load *load)
{
	struct load_counts *counts = load->report.counts;
	int64_t failures = 0;

	load->report.started_at = loop_now(load->loop);
	load_mix_start(&load->mix, load->report.started_at,
	    setting_number(load, "measure-from-ms") * LOOP_USEC_PER_MSEC,
	    setting_number(load, "measure-until-ms") * LOOP_USEC_PER_MSEC);
	load->stop_at = load->report.started_at +
	    setting_number(load, "max-seconds") * LOOP_USEC_PER_SEC;
	loop_timer_set(load->tick, 0);
	loop_run(load->loop);
	load->report.ended_at = loop_now(load->loop);
	for (guint i = 0; i < load->calls->len; i++) {
		struct call *call = load->calls->pdata[i];

		counts[call->kind].unfinished++;
		load_history_add(call->history, "unfinished", "");
		write_result(call);
		fetch_cancel(call->fetch_call);
	}
	for (int i = 0; i < LOAD_KINDS; i++)
		failures +=
		    counts[i].wrong + counts[i].unfinished + load->remaining[i];
	if (load->results != NULL)
		fclose(load->results);
	load_report_print(
	    &load->report, &load->mix, setting_number(load, "json") != 0);
	load_report_free(&load->report);
	return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/*
 * Sends load to the entries and checks every response.
 */
int
main(int argc, char **argv)
{
	struct load load = {.settings = load_settings};

	if (settings_parse(load_settings, "Sends load and checks every answer.",
		NULL, &argc, &argv) != STATUS_OK) {
		fprintf(stderr, "%s\n", status_message());
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	load.bootstrap = g_strsplit(setting_text(&load, "entry"), ",", 0);
	if (!load_mix_init(&load.mix,
		g_strsplit(setting_text(&load, "organisations"), ",", 0),
		setting_text(&load, "shares"))) {
		fprintf(stderr, "--shares: one number above 0 for each name\n");
		return EXIT_FAILURE;
	}
	load.remaining[LOAD_LOOKUP] = setting_number(&load, "lookups");
	load.remaining[LOAD_ORDER] = setting_number(&load, "orders");
	load.random =
	    g_rand_new_with_seed((guint32)setting_number(&load, "seed"));
	load.calls = g_ptr_array_new();
	if (!load_results_open(setting_text(&load, "results"), &load.results))
		return EXIT_FAILURE;
	load_report_init(&load.report);
	if (loop_create(&load.loop) != STATUS_OK ||
	    fetch_create(load.loop, &load.fetch) != STATUS_OK ||
	    loop_timer_create(load.loop, on_tick, &load, &load.tick) !=
		STATUS_OK) {
		fprintf(stderr, "%s\n", status_message());
		return EXIT_FAILURE;
	}
	return run(&load);
}
