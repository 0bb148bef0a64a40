#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "address.h"
#include "entry_priv.h"
#include "log.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_METHOD_NOT_ALLOWED 405
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define RETRY_AFTER_USEC (1 * LOOP_USEC_PER_SEC)
#define MESSAGE_MAX 512
/* Memory of a delivered token besides its text. */
#define TOKEN_OVERHEAD_BYTES 96

static const char type_json[] = "application/json";
static const char type_lines[] = "application/x-ndjson";
static const char retry_with_same_key[] =
    "; ask again with the same Idempotency-Key, never with a new one";

#define REFUSAL(code)                                                          \
	{                                                                      \
		"chestnuthoist_entry_refusals_total", "code=\"" code "\"",     \
		    "Requests refused by the entry itself.", METRIC_COUNTER,   \
		    0, NULL                                                    \
	}

static struct metric refusals[] = {REFUSAL("malformed"),
    REFUSAL("duplicate-key"), REFUSAL("unknown-field"), REFUSAL("wrong-type"),
    REFUSAL("too-long"), REFUSAL("empty"), REFUSAL("out-of-range"),
    REFUSAL("missing-field"), REFUSAL("unknown-service"),
    REFUSAL("unknown-organisation"), REFUSAL("deadline-passed"),
    REFUSAL("key-missing"), REFUSAL("key-malformed"), REFUSAL("entry-full"),
    REFUSAL("no-configuration"), REFUSAL("no-memory"), REFUSAL("no-entries"),
    REFUSAL("not-found"), REFUSAL("method")};

#define OUTCOME(name)                                                          \
	{                                                                      \
		"chestnuthoist_entry_outcomes_total", "outcome=\"" name "\"",  \
		    "Accepted requests by outcome.", METRIC_COUNTER, 0, NULL   \
	}

static struct metric outcome_run = OUTCOME("run");
static struct metric outcome_not_run = OUTCOME("not-run");
static struct metric outcome_unknown = OUTCOME("unknown");
static struct metric callers_disconnected = {
    "chestnuthoist_entry_callers_gone_total", "",
    "Requests whose caller left before the answer was whole.", METRIC_COUNTER,
    0, NULL};
static struct metric callers_slow = {"chestnuthoist_entry_callers_slow_total",
    "", "Responses cut because the caller read too slowly.", METRIC_COUNTER, 0,
    NULL};
static struct metric requests_open = {"chestnuthoist_entry_requests", "",
    "Open requests.", METRIC_GAUGE, 0, NULL};
static struct metric tokens_delivered = {"chestnuthoist_entry_tokens_total", "",
    "Tokens written to callers.", METRIC_COUNTER, 0, NULL};
static struct metric_histogram first_token = {
    "chestnuthoist_entry_first_token_seconds",
    "Time from arrival to the first token.", {0}, 0, 0, NULL};
static struct metric_histogram token_gap = {
    "chestnuthoist_entry_token_gap_seconds", "Time between two tokens.", {0}, 0,
    0, NULL};

/*
 * Registers the metrics of the HTTP interface.
 */
void
entry_http_register_metrics(void)
{
	for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++)
		metric_register(&refusals[i]);
	metric_register(&outcome_run);
	metric_register(&outcome_not_run);
	metric_register(&outcome_unknown);
	metric_register(&callers_disconnected);
	metric_register(&callers_slow);
	metric_register(&requests_open);
	metric_register(&tokens_delivered);
	metric_register_histogram(&first_token);
	metric_register_histogram(&token_gap);
}

/*
 * Sends a JSON response and releases the reference to body.
 */
static void
respond(struct httpd_request *http, unsigned int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	httpd_respond(http, status, type_json, lstr_from(text));
	free(text);
	json_decref(body);
}

/*
 * Creates the response body for a refused request. retry_at is in microseconds.
 */
static json_t *
refusal_json(const char *code, const char *message, int64_t retry_at)
{
	return json_pack("{s:s,s:s,s:s,s:I}", "outcome", "not-run", "code",
	    code, "message", message, "retry_at",
	    (json_int_t)(retry_at / LOOP_USEC_PER_MSEC));
}

/*
 * Refuses a request that has no entry_request yet, and counts it by code.
 */
static void
refuse(struct httpd_request *http, unsigned int status, const char *code,
    const char *message, int64_t retry_at)
{
	char label[64];

	snprintf(label, sizeof(label), "code=\"%s\"", code);
	for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		if (strcmp(refusals[i].labels, label) == 0)
			refusals[i].value++;
	}
	respond(http, status, refusal_json(code, message, retry_at));
}

/*
 * Writes one line of a streamed response, starting the response if needed. When
 * the caller reads too slowly its connection is aborted, so that it cannot
 * mistake a truncated response for a complete one.
 */
static void
write_line(struct entry_request *r, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	struct lstr_buf buf = {0};

	if (!r->response_started)
		httpd_stream_begin(r->http, HTTP_OK, type_lines);
	r->response_started = true;
	lstr_buf_printf(&buf, "%s\n", text ? text : "{}");
	if (httpd_stream_write(r->http, lstr_buf_view(&buf)) != STATUS_OK) {
		callers_slow.value++;
		httpd_abort(r->http);
	}
	lstr_buf_free(&buf);
	free(text);
	json_decref(line);
}

/*
 * Writes a token to the caller and records its latency. Without memory for it
 * the connection is aborted, so that the caller cannot mistake the response for
 * a complete one.
 */
void
entry_write_token(struct entry_request *r, const Ch__Token *token)
{
	int64_t now = loop_now(r->entry->proc->loop);

	if (r->last_token_at == 0)
		metric_observe(&first_token, now - r->stream->arrival);
	else
		metric_observe(&token_gap, now - r->last_token_at);
	r->last_token_at = now;
	r->delivered_bytes += token->text.len + TOKEN_OVERHEAD_BYTES;
	if (httpd_hold(r->http, r->delivered_bytes) != STATUS_OK) {
		httpd_abort(r->http);
		return;
	}
	tokens_delivered.value++;
	write_line(r,
	    json_pack("{s:I,s:s%}", "position", (json_int_t)token->position,
		"token", (const char *)token->text.data, token->text.len));
}

/*
 * Creates the final JSON object of a response whose outcome is unknown.
 */
static json_t *
outcome_unknown_json(
    const struct stream *stream, const struct stream_outcome *outcome)
{
	char message[MESSAGE_MAX];

	snprintf(message, sizeof(message), "%s%s", outcome->message,
	    stream->idempotent ? "; it may be asked again"
			       : retry_with_same_key);
	return json_pack("{s:s,s:s,s:s}", "outcome", "unknown", "code",
	    outcome->code, "message", message);
}

/*
 * Creates the response body for a request that a plain service has run. The
 * service's body is replaced by null unless it is valid UTF-8.
 */
static json_t *
outcome_run_json(const struct stream_outcome *outcome)
{
	json_t *body = json_stringn(outcome->body.data, outcome->body.len);

	return json_pack("{s:s,s:I,s:o}", "outcome", "run", "status",
	    (json_int_t)outcome->status, "body", body ? body : json_null());
}

/*
 * Writes the last line of a pipeline response and ends the response.
 */
static void
finish_pipeline_response(
    struct entry_request *r, const struct stream_outcome *outcome)
{
	if (outcome->outcome == CH__OUTCOME__OUTCOME_RUN)
		write_line(r,
		    json_pack("{s:s,s:I}", "outcome", "run", "tokens",
			(json_int_t)r->stream->delivered->len));
	else
		write_line(r, outcome_unknown_json(r->stream, outcome));
	httpd_stream_end(r->http);
}

/*
 * Sends the outcome of a finished request to the caller and counts it.
 */
void
entry_finish_response(
    struct entry_request *r, const struct stream_outcome *outcome)
{
	bool refused = outcome->outcome == CH__OUTCOME__OUTCOME_NOT_RUN &&
	    !r->response_started;

	if (outcome->outcome == CH__OUTCOME__OUTCOME_RUN)
		outcome_run.value++;
	else if (refused)
		outcome_not_run.value++;
	else
		outcome_unknown.value++;
	if (refused)
		respond(r->http, HTTP_UNAVAILABLE,
		    refusal_json(
			outcome->code, outcome->message, outcome->retry_at));
	else if (r->stream->pipeline)
		finish_pipeline_response(r, outcome);
	else if (outcome->outcome == CH__OUTCOME__OUTCOME_RUN)
		respond(r->http, HTTP_OK, outcome_run_json(outcome));
	else
		respond(r->http, HTTP_BAD_GATEWAY,
		    outcome_unknown_json(r->stream, outcome));
}

/*
 * Chooses the entries whose addresses a caller receives. This entry is excluded
 * once it is draining, even if the view still contains it.
 */
static size_t
choose_addresses(struct entry *entry, const char *place,
    const struct view_member *out[ADDR_MAX])
{
	const struct view *view = syncd_client_view(entry->syncd_client);
	const struct inv *inv = syncd_client_inventory(entry->syncd_client);
	size_t count = view ? view_count(view) : 0;
	const struct view_member **list =
	    g_new(const struct view_member *, count + 1);
	const char *region = entry->proc->hello.region;
	uint32_t at = inv ? inv_find_place(inv, lstr_from(place)) : INV_NONE;
	size_t used = 0;
	size_t chosen;

	if (at != INV_NONE)
		region = inv->places[at].region;
	for (size_t i = 0; i < count; i++) {
		const struct view_member *member = view_at(view, i);

		if (!entry->proc->draining ||
		    strcmp(member->node, entry->proc->hello.node) != 0)
			list[used++] = member;
	}
	chosen = addr_choose(list, used, lstr_from(place), lstr_from(region),
	    entry->random, out);
	g_free(list);
	return chosen;
}

/*
 * Handles GET /v1/addresses.
 */
static void
on_addresses(struct entry *entry, struct httpd_request *http)
{
	const struct view_member *chosen[ADDR_MAX];
	int64_t now = loop_now(entry->proc->loop);
	size_t count =
	    choose_addresses(entry, httpd_query(http, "place"), chosen);
	json_t *list;

	if (count == 0) {
		refuse(http, HTTP_UNAVAILABLE, "no-entries",
		    "no entry is known to be ready", now + RETRY_AFTER_USEC);
		return;
	}
	list = json_array();
	for (size_t i = 0; i < count; i++)
		json_array_append_new(list,
		    json_pack("{s:s,s:s}", "address", chosen[i]->entry_address,
			"place", chosen[i]->place));
	respond(http, HTTP_OK,
	    json_pack("{s:o,s:I}", "addresses", list, "valid_until",
		(json_int_t)((now + entry->config.validity_usec) /
		    LOOP_USEC_PER_MSEC)));
}

/*
 * Generates a random request id in hexadecimal digits.
 */
static void
make_request_id(char out[STREAM_REQUEST_ID_BYTES + 1])
{
	unsigned char bytes[STREAM_REQUEST_ID_BYTES / 2];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(out, STREAM_REQUEST_ID_BYTES + 1, bytes, sizeof(bytes));
}

/*
 * Creates the state of a validated request and submits it.
 */
static void
open_request(struct entry *entry, struct httpd_request *http,
    const struct caller_request *caller_request, int64_t now)
{
	struct entry_request *r = calloc(1, sizeof(*r));
	char id[STREAM_REQUEST_ID_BYTES + 1];

	make_request_id(id);
	if (r == NULL ||
	    stream_create(caller_request, id, now, &r->stream) != STATUS_OK) {
		free(r);
		refuse(http, HTTP_UNAVAILABLE, "no-memory",
		    "the entry has no memory left", now + RETRY_AFTER_USEC);
		return;
	}
	r->entry = entry;
	r->http = http;
	httpd_set_data(http, r);
	g_ptr_array_add(entry->requests, r);
	requests_open.value = entry->requests->len;
	entry_submit(r, now);
}

/*
 * Handles POST /v1/requests.
 */
static void
on_post_request(struct entry *entry, struct httpd_request *http)
{
	int64_t now = loop_now(entry->proc->loop);
	const struct inv *inv = syncd_client_inventory(entry->syncd_client);
	struct caller_request caller_request;
	struct refusal refusal;

	if (inv == NULL) {
		refuse(http, HTTP_UNAVAILABLE, "no-configuration",
		    "this entry has no configuration yet",
		    now + RETRY_AFTER_USEC);
		return;
	}
	if (entry->requests->len >= ENTRY_REQUESTS_MAX) {
		refuse(http, HTTP_UNAVAILABLE, "entry-full",
		    "this entry has too many open requests",
		    now + RETRY_AFTER_USEC);
		return;
	}
	if (caller_request_parse(httpd_body(http),
		httpd_header(http, "Idempotency-Key"), inv, now,
		&caller_request, &refusal) != STATUS_OK) {
		refuse(http, refusal.http_status, refusal.code, refusal.message,
		    0);
		return;
	}
	open_request(entry, http, &caller_request, now);
	caller_request_clear(&caller_request);
}

/*
 * Dispatches an HTTP request by path and method.
 */
static void
on_request(struct httpd_request *http, void *arg)
{
	bool addresses = lstr_equal_c(httpd_path(http), "/v1/addresses");
	bool requests = lstr_equal_c(httpd_path(http), "/v1/requests");
	const char *method = requests ? "POST" : "GET";

	if (!addresses && !requests)
		refuse(http, HTTP_NOT_FOUND, "not-found",
		    "no such page; /v1/addresses and /v1/requests are", 0);
	else if (!lstr_equal_c(httpd_method(http), method))
		refuse(http, HTTP_METHOD_NOT_ALLOWED, "method",
		    "GET /v1/addresses and POST /v1/requests are allowed", 0);
	else if (addresses)
		on_addresses(arg, http);
	else
		on_post_request(arg, http);
}

/*
 * Frees a request when its HTTP exchange is closed. If the caller disconnected
 * early, the router is told to cancel the submission.
 */
static void
on_closed(struct httpd_request *http, void *arg)
{
	struct entry_request *r = httpd_get_data(http);

	(void)arg;
	if (r == NULL)
		return;
	if (r->stream->state != STREAM_ENDED)
		callers_disconnected.value++;
	entry_submit_cancel(r);
	g_ptr_array_remove_fast(r->entry->requests, r);
	requests_open.value = r->entry->requests->len;
	stream_destroy(r->stream);
	g_free(r->replica);
	free(r);
}

const struct httpd_ops entry_http_ops = {on_request, on_closed};
