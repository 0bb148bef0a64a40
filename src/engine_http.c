#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include "engine_json.h"
#include "metric.h"
#include "ndjson.h"

#define URL_MAX 512
/* Maximum number of open cancellations and load queries. */
#define CONTROL_CALLS_MAX 4096
#define CANCEL_TIMEOUT_USEC (2 * LOOP_USEC_PER_SEC)
#define CONTROL_RESPONSE_MAX_BYTES ((size_t)16 * 1024)
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503

struct engine_http {
	struct engine base;
	struct loop *loop;
	struct fetch *fetch;
	/* Set of the struct control_call that have not ended. */
	GHashTable *control_calls;
};

/* The address of one stage, copied for its cancellation. */
struct cancel_target {
	char *instance;
	char *address;
};

struct engine_call {
	struct engine_http *engine;
	const struct engine_listener *listener;
	void *arg;
	struct fetch_call *fetch_call;
	struct loop_timer *timer;
	struct lstr_buf input;
	struct lstr_buf error_body;
	char *request;
	uint32_t attempt;
	struct cancel_target *stages;
	size_t stage_count;
	enum status failure;
	bool last_token_seen;
	bool in_listener;
	bool cancelled;
};

/* A cancellation or a load query. */
struct control_call {
	struct engine_http *engine;
	struct fetch_call *fetch_call;
	engine_load_fn fn;
	void *arg;
};

static struct metric cancels_dropped = {
    "chestnuthoist_engine_cancels_dropped_total", "",
    "Cancellations not sent because too many calls were open.", METRIC_COUNTER,
    0, NULL};
static struct metric lines_malformed = {
    "chestnuthoist_engine_malformed_lines_total", "",
    "Lines from engines that break the protocol.", METRIC_COUNTER, 0, NULL};

/*
 * Formats the URL of an operation of an instance.
 */
static void
format_url(char out[URL_MAX], struct lstr address, struct lstr instance,
    const char *operation)
{
	snprintf(out, URL_MAX, "http://%.*s/i/%.*s/v1/%s", LSTR_ARG(address),
	    LSTR_ARG(instance), operation);
}

/*
 * Frees a call.
 */
static void
call_free(struct engine_call *call)
{
	if (call->fetch_call != NULL)
		fetch_cancel(call->fetch_call);
	loop_timer_destroy(call->timer);
	lstr_buf_free(&call->input);
	lstr_buf_free(&call->error_body);
	for (size_t i = 0; i < call->stage_count; i++) {
		free(call->stages[i].instance);
		free(call->stages[i].address);
	}
	free(call->stages);
	free(call->request);
	free(call);
}

/*
 * Notifies the listener of the end of a call, and frees the call.
 */
static void
end_call(struct engine_call *call, const struct engine_end *end)
{
	call->listener->end(call, end, call->arg);
	call_free(call);
}

/*
 * Parses one line of a response and passes its token to the listener. Returns
 * STATUS_INVALID when the line violates the protocol.
 */
static enum status
process_line(struct engine_call *call, struct lstr line)
{
	struct engine_trail_step steps[ENGINE_JSON_STAGES_MAX];
	struct engine_token token = {.steps = steps};
	json_t *object = json_loadb(line.data, line.len, 0, NULL);
	const json_t *last = json_object_get(object, "last");
	int count = engine_json_parse_trail(object, steps);
	bool valid = count >= 0 && json_is_boolean(last) &&
	    engine_json_get_string(object, "request", &token.request) &&
	    engine_json_get_u32(object, "attempt", &token.attempt) &&
	    engine_json_get_u32(object, "position", &token.position) &&
	    engine_json_get_string(object, "token", &token.text);

	if (valid) {
		token.step_count = (size_t)count;
		token.last = json_is_true(last);
		call->last_token_seen = call->last_token_seen || token.last;
		call->in_listener = true;
		call->listener->token(call, &token, call->arg);
		call->in_listener = false;
	} else {
		lines_malformed.value++;
	}
	json_decref(object);
	return valid ? STATUS_OK : status_set(STATUS_INVALID, "malformed line");
}

/*
 * Processes the complete lines of the input buffer, until one is malformed or
 * the listener cancels the call.
 */
static void
process_input(struct engine_call *call)
{
	struct lstr line;
	size_t offset = 0;

	while (!call->cancelled && call->failure == STATUS_OK &&
	    ndjson_next(&call->input, &offset, &line))
		call->failure = process_line(call, line);
	lstr_buf_consume(&call->input, offset);
}

/*
 * Processes the input from a timer, because the HTTP library does not allow new
 * calls from inside its callbacks.
 */
static void
on_input_timer(void *arg)
{
	struct engine_call *call = arg;
	struct engine_end end = {.maybe_run = true};

	process_input(call);
	if (call->cancelled) {
		call_free(call);
		return;
	}
	if (call->failure != STATUS_OK) {
		end.status = call->failure;
		end_call(call, &end);
	}
}

/*
 * Handles received bytes: lines of a token stream, or the body of an error
 * response.
 */
static void
on_data(struct fetch_call *fetch_call, struct lstr bytes, void *arg)
{
	struct engine_call *call = arg;
	enum status status = STATUS_OK;

	if (fetch_http_status(fetch_call) != HTTP_OK) {
		if (call->error_body.len + bytes.len <=
		    CONTROL_RESPONSE_MAX_BYTES) {
			lstr_buf_append(&call->error_body, bytes);
			return;
		}
		call->failure =
		    status_set(STATUS_FULL, "error response is too large");
		loop_timer_set(call->timer, 0);
		return;
	}
	if (call->failure == STATUS_OK)
		status = ndjson_append(&call->input, bytes);
	if (status != STATUS_OK) {
		lines_malformed.value++;
		call->failure = status;
	}
	loop_timer_set(call->timer, 0);
}

/*
 * Returns whether an error response says that the engine is leaving.
 */
static bool
is_leaving_error(struct lstr body)
{
	json_t *object = json_loadb(body.data, body.len, 0, NULL);
	struct lstr error;
	bool leaving = engine_json_get_string(object, "error", &error) &&
	    lstr_equal_c(error, "leaving");

	json_decref(object);
	return leaving;
}

/*
 * Classifies the end of an attempt that was not cancelled and did not violate
 * the protocol. A stream is complete only if a line was marked as the last one.
 */
static void
classify_end(const struct engine_call *call, const struct fetch_result *result,
    struct engine_end *end)
{
	end->maybe_run = true;
	if (result->status != STATUS_OK) {
		end->maybe_run = result->maybe_sent;
		end->status =
		    result->maybe_sent ? result->status : STATUS_UNAVAILABLE;
	} else if (result->http_status == HTTP_UNAVAILABLE &&
	    is_leaving_error(lstr_buf_view(&call->error_body))) {
		end->leaving = true;
		end->maybe_run = false;
		end->status = STATUS_UNAVAILABLE;
	} else if (result->http_status != HTTP_OK) {
		end->status = status_set(
		    STATUS_IO, "HTTP status %ld", result->http_status);
	} else if (call->input.len > 0) {
		end->status =
		    status_set(STATUS_INVALID, "the last line is cut");
	} else if (!call->last_token_seen) {
		end->status = status_set(
		    STATUS_CLOSED, "the stream ended without its last token");
	}
}

/*
 * Ends an attempt whose HTTP call has ended.
 */
static void
on_done(
    struct fetch_call *fetch_call, const struct fetch_result *result, void *arg)
{
	struct engine_call *call = arg;
	struct engine_end end = {0};

	(void)fetch_call;
	call->fetch_call = NULL;
	loop_timer_clear(call->timer);
	process_input(call);
	if (call->cancelled) {
		call_free(call);
		return;
	}
	if (call->failure != STATUS_OK) {
		end.status = call->failure;
		end.maybe_run = true;
	} else {
		classify_end(call, result, &end);
	}
	end_call(call, &end);
}

static const struct fetch_ops generate_ops = {on_data, on_done};

/*
 * Copies the addresses that a cancellation needs. Returns false when memory
 * runs out.
 */
static bool
copy_stages(struct engine_call *call, const struct engine_attempt *attempt)
{
	call->request = lstr_dup_c(attempt->request);
	call->stages = calloc(attempt->stage_count, sizeof(*call->stages));
	if (call->request == NULL || call->stages == NULL)
		return false;
	call->attempt = attempt->attempt;
	call->stage_count = attempt->stage_count;
	for (size_t i = 0; i < call->stage_count; i++) {
		call->stages[i].instance =
		    lstr_dup_c(attempt->stages[i].instance);
		call->stages[i].address =
		    lstr_dup_c(attempt->stages[i].address);
		if (call->stages[i].instance == NULL ||
		    call->stages[i].address == NULL)
			return false;
	}
	return true;
}

/*
 * Sends the generate request of a call over a new connection: the HTTP library
 * would repeat a request if a reused connection turned out to be closed,
 * although the first copy may have run.
 */
static enum status
send_attempt(struct engine_call *call, const struct engine_attempt *attempt)
{
	char url[URL_MAX];
	char *body = engine_json_encode_attempt(attempt);
	struct fetch_request request = {.method = "POST",
	    .url = url,
	    .body = lstr_from(body),
	    .deadline = attempt->deadline,
	    .once = true};
	enum status status;

	if (body == NULL)
		return status_set(STATUS_INVALID, "the prompt is not UTF-8");
	format_url(url, attempt->stages[0].address, attempt->stages[0].instance,
	    "generate");
	status = fetch_start(call->engine->fetch, &request, &generate_ops, call,
	    &call->fetch_call);
	free(body);
	return status;
}

/*
 * Implements start of struct engine_vtable. On failure nothing was sent.
 */
static enum status
http_start(struct engine *base, const struct engine_attempt *attempt,
    const struct engine_listener *listener, void *arg, struct engine_call **out)
{
	struct engine_http *engine = (struct engine_http *)base;
	struct engine_call *call;
	enum status status;

	if (attempt->stage_count == 0 ||
	    attempt->stage_count > ENGINE_JSON_STAGES_MAX)
		return status_set(STATUS_INVALID, "a route of %zu stages",
		    attempt->stage_count);
	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return status_set(STATUS_NO_MEMORY, "engine call");
	call->engine = engine;
	call->listener = listener;
	call->arg = arg;
	status =
	    loop_timer_create(engine->loop, on_input_timer, call, &call->timer);
	if (status == STATUS_OK && !copy_stages(call, attempt))
		status = status_set(STATUS_NO_MEMORY, "engine call");
	if (status == STATUS_OK)
		status = send_attempt(call, attempt);
	if (status != STATUS_OK) {
		call_free(call);
		return status;
	}
	*out = call;
	return STATUS_OK;
}

/*
 * Removes a control call from the set and frees it.
 */
static void
control_call_end(struct control_call *control)
{
	g_hash_table_remove(control->engine->control_calls, control);
	free(control);
}

/*
 * Starts a control call. Returns STATUS_FULL when too many are open.
 */
static enum status
control_call_start(struct engine_http *engine,
    const struct fetch_request *request, const struct fetch_ops *ops,
    engine_load_fn fn, void *arg)
{
	struct control_call *control;
	enum status status;

	if (g_hash_table_size(engine->control_calls) >= CONTROL_CALLS_MAX)
		return status_set(STATUS_FULL, "%d calls to engines are open",
		    CONTROL_CALLS_MAX);
	control = calloc(1, sizeof(*control));
	if (control == NULL)
		return status_set(STATUS_NO_MEMORY, "engine call");
	control->engine = engine;
	control->fn = fn;
	control->arg = arg;
	status = fetch_start(
	    engine->fetch, request, ops, control, &control->fetch_call);
	if (status != STATUS_OK) {
		free(control);
		return status;
	}
	g_hash_table_add(engine->control_calls, control);
	return STATUS_OK;
}

/*
 * Frees a cancellation that has ended, whatever its result.
 */
static void
on_cancel_done(
    struct fetch_call *fetch_call, const struct fetch_result *result, void *arg)
{
	(void)fetch_call;
	(void)result;
	control_call_end(arg);
}

/*
 * Sends the cancellation of an attempt to one stage.
 */
static void
cancel_stage(struct engine_call *call, const struct cancel_target *stage)
{
	static const struct fetch_ops ops = {NULL, on_cancel_done};
	char url[URL_MAX];
	json_t *object = json_pack("{s:s,s:I}", "request", call->request,
	    "attempt", (json_int_t)call->attempt);
	char *body = object ? json_dumps(object, JSON_COMPACT) : NULL;
	struct fetch_request request = {.method = "POST",
	    .url = url,
	    .body = lstr_from(body),
	    .deadline = loop_now(call->engine->loop) + CANCEL_TIMEOUT_USEC,
	    .response_max_bytes = CONTROL_RESPONSE_MAX_BYTES};

	format_url(url, lstr_from(stage->address), lstr_from(stage->instance),
	    "cancel");
	if (body == NULL ||
	    control_call_start(call->engine, &request, &ops, NULL, NULL) !=
		STATUS_OK)
		cancels_dropped.value++;
	free(body);
	json_decref(object);
}

/*
 * Implements cancel of struct engine_vtable. If called from the token callback,
 * the call is freed after the callback returns.
 */
static void
http_cancel(struct engine *base, struct engine_call *call)
{
	(void)base;
	assert(!call->cancelled);
	call->cancelled = true;
	for (size_t i = 0; i < call->stage_count; i++)
		cancel_stage(call, &call->stages[i]);
	if (!call->in_listener)
		call_free(call);
}

/*
 * Parses the answer to a load query.
 */
static enum status
read_load(const struct fetch_result *result, struct engine_load *load)
{
	json_t *object;
	const json_t *leaving;
	bool valid;

	if (result->status != STATUS_OK)
		return result->status;
	if (result->http_status != HTTP_OK)
		return status_set(
		    STATUS_IO, "HTTP status %ld", result->http_status);
	object = json_loadb(result->body.data, result->body.len, 0, NULL);
	leaving = json_object_get(object, "leaving");
	valid = engine_json_get_u32(object, "running", &load->running) &&
	    engine_json_get_u32(object, "queued", &load->queued) &&
	    json_is_boolean(leaving);
	load->leaving = json_is_true(leaving);
	json_decref(object);
	return valid ? STATUS_OK : status_set(STATUS_INVALID, "malformed load");
}

/*
 * Passes the answer to a load query to its requester.
 */
static void
on_load_done(
    struct fetch_call *fetch_call, const struct fetch_result *result, void *arg)
{
	struct control_call *control = arg;
	struct engine_load load = {0};

	(void)fetch_call;
	load.status = read_load(result, &load);
	control->fn(&load, control->arg);
	control_call_end(control);
}

/*
 * Implements query_load of struct engine_vtable.
 */
static enum status
http_query_load(struct engine *base, struct lstr instance, struct lstr address,
    int64_t deadline, engine_load_fn fn, void *arg)
{
	static const struct fetch_ops ops = {NULL, on_load_done};
	char url[URL_MAX];
	struct fetch_request request = {.method = "GET",
	    .url = url,
	    .deadline = deadline,
	    .response_max_bytes = CONTROL_RESPONSE_MAX_BYTES};

	format_url(url, address, instance, "load");
	return control_call_start(
	    (struct engine_http *)base, &request, &ops, fn, arg);
}

/*
 * Implements destroy of struct engine_vtable. Control calls end without a
 * callback; attempts must have ended.
 */
static void
http_destroy(struct engine *base)
{
	struct engine_http *engine = (struct engine_http *)base;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, engine->control_calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct control_call *control = key;

		fetch_cancel(control->fetch_call);
		g_hash_table_iter_remove(&iter);
		free(control);
	}
	g_hash_table_destroy(engine->control_calls);
	free(engine);
}

/*
 * Creates the HTTP client of the engine protocol. The loop and fetch must
 * outlive it; the caller destroys it through its vtable.
 */
enum status
engine_http_create(struct loop *loop, struct fetch *fetch, struct engine **out)
{
	static const struct engine_vtable vtable = {
	    http_start, http_cancel, http_query_load, http_destroy};
	struct engine_http *engine = calloc(1, sizeof(*engine));

	if (engine == NULL)
		return status_set(STATUS_NO_MEMORY, "engine adapter");
	engine->base.vtable = &vtable;
	engine->loop = loop;
	engine->fetch = fetch;
	engine->control_calls = g_hash_table_new(NULL, NULL);
	metric_register(&cancels_dropped);
	metric_register(&lines_malformed);
	*out = &engine->base;
	return STATUS_OK;
}
