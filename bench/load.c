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
/* The entry answers by the deadline and a second. */
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
	bool address_call_open;
	guint bootstrap_at;
	int64_t todo[LOAD_KINDS];
	int64_t number;
	int64_t token_lines;
	/* Where the result of each request goes, or NULL. */
	FILE *results;
	/* struct call that are not over. */
	GPtrArray *calls;
	int64_t stop_at;
	struct load_report report;
};

/* One request with all its tries. */
struct call {
	struct load *load;
	enum load_kind kind;
	char prompt[PROMPT_MAX];
	char key[KEY_MAX];
	struct load_organisation *organisation;
	bool delayed;
	struct fetch_call *fetch_call;
	int64_t tries;
	/* Outcome and code of each try that is over, in order. */
	json_t *history;
	int64_t retry_at;
	/* Index of the address of the last try plus 1; 0: none. */
	guint address_at;
	/* Of the present try. */
	struct lstr_buf input;
	int64_t deadline;
	int64_t started_at;
	int64_t last_token_at;
	uint32_t position;
	bool wrong;
	char outcome[CODE_MAX];
	char code[CODE_MAX];
	int64_t answer_retry_at;
};

static void start_try(struct call *);

/*
 * Returns a number setting.
 */
static int64_t
number_of(const struct load *load, const char *name)
{
	return settings_get(load->settings, name)->number;
}

/*
 * Returns a text setting.
 */
static const char *
text_of(const struct load *load, const char *name)
{
	return settings_get(load->settings, name)->text;
}

/*
 * Checks one line of a response of a pipeline.
 */
static void
check_token(struct call *call, const json_t *line, int64_t now)
{
	struct load_report *report = &call->load->report;
	const char *token = json_string_value(json_object_get(line, "token"));
	char expected[FAKE_TOKEN_MAX];
	int64_t since =
	    call->last_token_at ? call->last_token_at : call->started_at;
	int64_t wait = now - since;

	fake_token_text(expected, lstr_from(call->prompt), call->position);
	if (token == NULL || strcmp(token, expected) != 0 ||
	    json_integer_value(json_object_get(line, "position")) !=
		call->position)
		call->wrong = true;
	if (call->last_token_at == 0)
		g_array_append_val(report->first_token, wait);
	else
		g_array_append_val(report->gap, wait);
	call->delayed = call->delayed || wait > LOAD_DELAYED_USEC;
	load_mix_token(&call->load->mix, call->organisation, now);
	call->last_token_at = now;
	call->position++;
	report->tokens++;
}

/*
 * Takes the line that holds the outcome.
 */
static void
take_outcome(struct call *call, const json_t *line)
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
	call->answer_retry_at =
	    json_integer_value(json_object_get(line, "retry_at")) *
	    LOOP_USEC_PER_MSEC;
	if (strcmp(outcome, "run") != 0)
		return;
	if (call->kind == LOAD_ORDER)
		call->wrong |= !load_order_is_answered(
		    line, text_of(call->load, "order-operation"));
	else if (json_integer_value(json_object_get(line, "tokens")) !=
		call->position ||
	    call->position != number_of(call->load, "max-tokens"))
		call->wrong = true;
}

/*
 * Tells whether the next token is to be hidden from the check, which has to
 * find that it is missing.
 */
static bool
is_spoiled(struct load *load)
{
	int64_t every = number_of(load, "spoil");

	return every != 0 && ++load->token_lines % every == 0;
}

/*
 * Takes one line of an answer. Lines after the outcome are wrong.
 */
static void
take_line(struct call *call, struct lstr text, int64_t now)
{
	json_t *line = json_loadb(text.data, text.len, 0, NULL);

	if (line == NULL || call->outcome[0] != '\0')
		call->wrong = true;
	else if (json_object_get(line, "outcome") != NULL)
		take_outcome(call, line);
	else if (!is_spoiled(call->load))
		check_token(call, line, now);
	json_decref(line);
}

/*
 * Takes bytes of an answer.
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
		take_line(call, line, now);
	lstr_buf_consume(&call->input, offset);
}

/*
 * Writes the result of a request to the file, if there is one.
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
finish(struct call *call)
{
	struct load_report *report = &call->load->report;
	struct load_counts *counts = &report->counts[call->kind];

	if (call->wrong)
		counts->wrong++;
	load_mix_end(&call->load->mix, call->organisation, call->delayed,
	    strcmp(call->outcome, "run") == 0, call->position);
	if (strcmp(call->outcome, "run") == 0)
		counts->run++;
	else if (strcmp(call->outcome, "not-run") == 0)
		counts->not_run++;
	else if (strcmp(call->outcome, "unknown") == 0)
		counts->unknown++;
	else
		counts->incomplete++;
	load_report_code(report,
	    call->outcome[0] ? call->outcome : "incomplete", call->code);
	write_result(call);
	g_ptr_array_remove_fast(call->load->calls, call);
	json_decref(call->history);
	lstr_buf_free(&call->input);
	free(call);
}

/*
 * Tells whether a request may be sent again: lookups always, orders with the
 * same key; not after a whole or a wrong answer, and not after a refusal that
 * blames the request.
 */
static bool
may_retry(const struct call *call, long http_status)
{
	int64_t most = number_of(call->load, "retries");

	if (call->wrong || strcmp(call->outcome, "run") == 0)
		return false;
	if (http_status >= 400 && http_status < 500)
		return false;
	/* Without an answer the caller does not know the outcome. */
	if (call->outcome[0] == '\0')
		most += number_of(call->load, "lost-retries");
	return call->tries <= most &&
	    loop_now(call->load->loop) < call->load->stop_at;
}

/*
 * Judges the end of a try.
 */
static void
on_done(
    struct fetch_call *fetch_call, const struct fetch_result *result, void *arg)
{
	struct call *call = arg;
	int64_t now = loop_now(call->load->loop);
	int64_t wait = now - call->started_at;

	(void)fetch_call;
	call->fetch_call = NULL;
	if (result->status == STATUS_OK && call->input.len > 0)
		take_line(call, lstr_buf_view(&call->input), now);
	if (result->status != STATUS_OK) {
		call->outcome[0] = '\0';
		snprintf(
		    call->code, CODE_MAX, "%s", status_name(result->status));
	}
	if (call->kind == LOAD_ORDER && strcmp(call->outcome, "run") == 0)
		g_array_append_val(call->load->report.order, wait);
	load_history_add(call->history, call->outcome, call->code);
	if (!may_retry(call, result->http_status)) {
		finish(call);
		return;
	}
	call->load->report.counts[call->kind].retries++;
	call->retry_at = CLAMP(call->answer_retry_at, now + RETRY_WAIT_USEC,
	    now + RETRY_WAIT_MAX_USEC);
}

/*
 * Makes the body of a request; the caller frees it with free().
 */
static char *
make_body(const struct call *call)
{
	const struct load *load = call->load;
	bool order = call->kind == LOAD_ORDER;
	json_t *json = json_pack("{s:s,s:s,s:s,s:s,s:I}", "organisation",
	    call->organisation->name, "service",
	    text_of(load, order ? "order-service" : "lookup-service"),
	    "operation",
	    text_of(load, order ? "order-operation" : "lookup-operation"),
	    "prompt", call->prompt, "deadline",
	    (json_int_t)(call->deadline / LOOP_USEC_PER_MSEC));
	char *text;

	if (!order)
		json_object_set_new(json, "max_tokens",
		    json_integer(number_of(load, "max-tokens")));
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/*
 * Chooses one of the known addresses; for another try of the same request
 * another one than before, if there is one.
 */
static guint
choose_address(struct call *call)
{
	const struct load *load = call->load;
	guint count = (guint)load->address_count;
	guint at = (guint)g_rand_int_range(load->random, 0, (gint)count);

	if (at + 1 == call->address_at)
		at = (at + 1) % count;
	call->address_at = at + 1;
	return at;
}

/*
 * Sends a request to one of the known addresses.
 */
static void
start_try(struct call *call)
{
	static const struct fetch_ops ops = {on_data, on_done};
	struct load *load = call->load;
	guint at = choose_address(call);
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
	call->answer_retry_at = 0;
	lstr_buf_clear(&call->input);
	call->deadline = call->started_at +
	    number_of(load, "deadline-ms") * LOOP_USEC_PER_MSEC;
	body = make_body(call);
	request.body = lstr_from(body);
	request.deadline = call->deadline + ANSWER_GRACE_USEC;
	snprintf(
	    url, sizeof(url), "http://%s/v1/requests", load->addresses[at]);
	if (fetch_start(load->fetch, &request, &ops, call, &call->fetch_call) !=
	    STATUS_OK) {
		call->fetch_call = NULL;
		call->retry_at = call->started_at + RETRY_WAIT_USEC;
	}
	free(body);
}

/*
 * Makes the next request of a kind.
 */
static void
start_call(struct load *load, enum load_kind kind)
{
	struct call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return;
	load->todo[kind]--;
	load->number++;
	load->report.counts[kind].sent++;
	call->load = load;
	call->kind = kind;
	call->history = json_array();
	call->organisation = load_mix_draw(&load->mix, load->random);
	call->organisation->sent++;
	if (kind == LOAD_LOOKUP &&
	    load_mix_measures(&load->mix, loop_now(load->loop)))
		call->organisation->measured_lookups++;
	snprintf(call->prompt, PROMPT_MAX, "prompt %lld of seed %lld",
	    (long long)load->number, (long long)number_of(load, "seed"));
	if (kind == LOAD_ORDER)
		snprintf(call->key, KEY_MAX, KEY_HEADER "%lld-%08x-%lld",
		    (long long)(loop_now(load->loop) / LOOP_USEC_PER_SEC),
		    g_rand_int(load->random), (long long)load->number);
	g_ptr_array_add(load->calls, call);
	start_try(call);
}

/*
 * Takes an address answer.
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
	load->address_call_open = false;
	load->bootstrap_at++;
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
 * Asks one of the entries named in the settings, in turn, or one of the known
 * addresses, for the addresses to use.
 */
static void
ask_addresses(struct load *load, int64_t now)
{
	static const struct fetch_ops ops = {NULL, on_addresses};
	guint count = g_strv_length(load->bootstrap);
	const char *place = text_of(load, "place");
	char url[2 * ADDRESS_MAX + 64];
	struct fetch_request request = {.method = "GET",
	    .url = url,
	    .deadline = now + ADDRESS_CALL_USEC,
	    .once = true};

	if (load->address_call_open || now < load->next_address_call_at)
		return;
	load->next_address_call_at = now + RETRY_WAIT_USEC;
	snprintf(url, sizeof(url), "http://%s/v1/addresses%s%s",
	    load->bootstrap[load->bootstrap_at % count], place ? "?place=" : "",
	    place ? place : "");
	load->address_call_open =
	    fetch_start(load->fetch, &request, &ops, load, NULL) == STATUS_OK;
}

/*
 * Starts as many requests as the limits allow, with kinds in random order.
 */
static void
start_calls(struct load *load, int64_t now)
{
	int64_t allowed = load_mix_allowed(
	    &load->mix, now, number_of(load, "rate"), number_of(load, "burst"));

	while (load->calls->len < (guint)number_of(load, "concurrency") &&
	    load->number < allowed) {
		int64_t all = load->todo[LOAD_LOOKUP] + load->todo[LOAD_ORDER];

		if (all <= 0)
			return;
		start_call(load,
		    g_rand_double(load->random) * (double)all <
			    (double)load->todo[LOAD_ORDER]
			? LOAD_ORDER
			: LOAD_LOOKUP);
	}
}

/*
 * Keeps the addresses fresh, starts requests and retries, and stops at the
 * end.
 */
static void
on_tick(void *arg)
{
	struct load *load = arg;
	int64_t now = loop_now(load->loop);

	if (now >= load->valid_until) {
		ask_addresses(load, now);
	} else if (now < load->stop_at) {
		for (guint i = 0; i < load->calls->len; i++) {
			struct call *call = load->calls->pdata[i];

			if (call->retry_at != 0 && now >= call->retry_at)
				start_try(call);
		}
		start_calls(load, now);
	}
	if (now >= load->stop_at ||
	    (load->calls->len == 0 && load->todo[LOAD_LOOKUP] <= 0 &&
		load->todo[LOAD_ORDER] <= 0)) {
		loop_stop(load->loop);
		return;
	}
	loop_timer_set(load->tick, now + TICK_USEC);
}

/*
 * Runs the requests and prints the report. Returns the exit code: 1 when an
 * answer was wrong or a request did not finish.
 */
static int
run(struct load *load)
{
	struct load_counts *counts = load->report.counts;
	int64_t bad = 0;

	load->report.started_at = loop_now(load->loop);
	load_mix_start(&load->mix, load->report.started_at,
	    number_of(load, "measure-from-ms") * LOOP_USEC_PER_MSEC,
	    number_of(load, "measure-until-ms") * LOOP_USEC_PER_MSEC);
	load->stop_at = load->report.started_at +
	    number_of(load, "max-seconds") * LOOP_USEC_PER_SEC;
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
		bad += counts[i].wrong + counts[i].unfinished + load->todo[i];
	if (load->results != NULL)
		fclose(load->results);
	load_report_print(
	    &load->report, &load->mix, number_of(load, "json") != 0);
	load_report_free(&load->report);
	return bad == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/*
 * Sends load to the entries and checks every answer.
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
	load.bootstrap = g_strsplit(text_of(&load, "entry"), ",", 0);
	if (!load_mix_init(&load.mix,
		g_strsplit(text_of(&load, "organisations"), ",", 0),
		text_of(&load, "shares"))) {
		fprintf(stderr, "--shares: one number above 0 for each name\n");
		return EXIT_FAILURE;
	}
	load.todo[LOAD_LOOKUP] = number_of(&load, "lookups");
	load.todo[LOAD_ORDER] = number_of(&load, "orders");
	load.random = g_rand_new_with_seed((guint32)number_of(&load, "seed"));
	load.calls = g_ptr_array_new();
	if (!load_results_open(text_of(&load, "results"), &load.results))
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
