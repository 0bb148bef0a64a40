#include <string.h>

#include <http_parser.h>

#include "gate_priv.h"

#define HTTP_OK 200
#define SERVERS_MAX 4096
/* Output that is expected where a request and the engine state none. */
#define OUTPUT_DEFAULT_TOKENS 200
/* Callers' estimates are right in the middle and far off at the ends, so an
 * estimate is drawn towards the usual length by this weight. */
#define HINT_WEIGHT 0.7
/* A stream counts as stalled after this many expected pauses, and never
 * before the least time: a pass may hold a long prompt. */
#define STALL_FACTOR 8
#define STALL_FIRST_MIN_USEC (700 * LOOP_USEC_PER_MSEC)
/* Pauses longer than this multiple of the expected one show a slow server. */
#define SLOW_RATIO 2.0
/* Weight of the past second in the rate at which requests are started. */
#define RATE_WINDOW_USEC (1 * LOOP_USEC_PER_SEC)
/* While nothing has been started yet, a queued request is taken to wait this
 * long for each one before it. */
#define WAIT_UNKNOWN_USEC (20 * LOOP_USEC_PER_MSEC)
/* Layers that nobody holds are loaded again in about this time. */
#define GAP_RETRY_USEC (1500 * LOOP_USEC_PER_MSEC)

/*
 * Estimates the length of the answer in tokens.
 */
uint32_t
gate_output_estimate(const struct gate_request *request)
{
	const struct fleet_engine *engine = request->service->engine;
	double usual = engine->usual_output_tokens > 0
	    ? engine->usual_output_tokens
	    : OUTPUT_DEFAULT_TOKENS;
	double estimate = usual;
	uint32_t max = request->info.output_tokens_max;

	if (request->info.output_tokens_hint > 0)
		estimate = HINT_WEIGHT * request->info.output_tokens_hint +
		    (1 - HINT_WEIGHT) * usual;
	if (max > 0 && estimate > max)
		estimate = max;
	return (uint32_t)estimate;
}

/*
 * Notes that a request was started, for the expected waits of others.
 */
static void
note_started(struct gate_service *service, int64_t tokens, int64_t now)
{
	int64_t age = now - service->started_at;
	double keep = age >= RATE_WINDOW_USEC
	    ? 0
	    : 1 - (double)age / (double)RATE_WINDOW_USEC;

	service->started_tokens_per_sec =
	    service->started_tokens_per_sec * keep + (double)tokens;
	service->started_at = now;
}

/*
 * Returns the bytes that this node's paths may still send between data
 * centres: its share of the links, as long as it was not used.
 */
double *
gate_link_account(const struct gate_request *request)
{
	struct gate *gate = request->gate;
	struct gate_service *service =
	    gate_service(gate, request->service->name);
	const struct fleet_engine *engine = request->service->engine;
	int64_t now = gate_now(gate);
	double rate = engine->link_bytes_per_usec * GATE_LINK_SHARE /
	    mesh_live_count(gate->config.mesh);
	double max = rate * (double)GATE_LINK_BURST_USEC;

	service->link_bytes += rate * (double)(now - service->link_at);
	service->link_bytes = MIN(service->link_bytes, max);
	service->link_at = now;
	return &service->link_bytes;
}

/*
 * Finds a path within one data centre; if there is none, one that crosses
 * between them, while this node's share of the link lasts.
 */
static enum status
find_path(struct gate_request *request, const struct path_server *rows,
    size_t count, struct path *path)
{
	struct gate *gate = request->gate;
	const struct fleet_engine *engine = request->service->engine;
	struct path_demand demand = {request->info.prompt_tokens,
	    gate_output_estimate(request), gate->config.place, false};
	double *left = gate_link_account(request);
	enum status status;

	if (demand.prompt_tokens == 0)
		demand.prompt_tokens = engine->usual_prompt_tokens;
	request->attempt.tokens =
	    (int64_t)demand.prompt_tokens + demand.output_tokens;
	status = path_find(engine, rows, count, &demand, path);
	if (status == STATUS_OK || *left <= 0)
		return status;
	demand.may_cross = true;
	status = path_find(engine, rows, count, &demand, path);
	if (status == STATUS_OK)
		*left -= (double)path->crossings *
		    (double)request->attempt.tokens *
		    (double)engine->activation_bytes;
	return status;
}

/*
 * Chooses a path and sends the request along it. Otherwise returns why not:
 * STATUS_FULL, STATUS_NOT_FOUND, STATUS_UNAVAILABLE, or STATUS_DENIED when the
 * node stops before the request would end.
 */
static enum status
try_path(struct gate_request *request)
{
	struct gate *gate = request->gate;
	const struct fleet_engine *engine = request->service->engine;
	struct gate_attempt *attempt = &request->attempt;
	GPtrArray *servers =
	    pool_service(gate->config.pool, request->service->name);
	struct path_server *rows =
	    g_new0(struct path_server, MAX(servers->len, 1u));
	struct path path = {.count = 0};
	enum status status;
	size_t count =
	    pool_path_table(servers, engine, gate_now(gate), rows, SERVERS_MAX);

	status = find_path(request, rows, count, &path);
	if (status == STATUS_OK &&
	    !gate_takes_new(request,
		path.first_usec +
		    path.event_usec * gate_output_estimate(request) /
			MAX(engine->stride, 1u)))
		status = STATUS_DENIED;
	if (status == STATUS_OK) {
		attempt->event_usec = path.event_usec;
		attempt->first_usec = path.first_usec;
		request->first_usec = path.first_usec;
		attempt->stage_count = path.count;
		for (uint32_t i = 0; i < path.count; i++)
			attempt->stages[i] = (struct gate_stage){
			    g_ptr_array_index(servers, path.stages[i].server),
			    path.stages[i].layer_from, path.stages[i].layer_to};
		if (!gate_send(request, attempt->stages[0].server))
			status = STATUS_UNAVAILABLE;
	}
	g_free(rows);
	g_ptr_array_free(servers, TRUE);
	return status;
}

/*
 * Writes a path as "server=from-to" for each stage, for the log.
 */
void
gate_path_text(
    const struct gate_stage *stages, uint32_t count, struct lstr_buf *out)
{
	for (uint32_t i = 0; i < count; i++)
		lstr_buf_printf(out, "%s%s=%u-%u", i > 0 ? "," : "",
		    stages[i].server->info.id, stages[i].layer_from,
		    stages[i].layer_to);
}

/*
 * Logs the start of a request: its place in the order of service and what
 * decided it.
 */
static void
log_started(struct gate_request *request, const char *reason)
{
	const struct gate_attempt *attempt = &request->attempt;
	struct lstr_buf path = {0};

	request->order = ++request->gate->order;
	gate_path_text(attempt->stages, attempt->stage_count, &path);
	slog_event(EV_REQUEST_STARTED,
	    "{s:s, s:I, s:s, s:s, s:i, s:I, s:s%, s:I, s:I, s:I, s:i}", "id",
	    request->id, "order", (json_int_t)request->order, "organisation",
	    request->organisation ? request->organisation->name : "", "reason",
	    reason, "priority", (int)request->priority, "waited_ms",
	    (json_int_t)((gate_now(request->gate) - request->arrived_at) /
		LOOP_USEC_PER_MSEC),
	    "path", path.data, path.len, "tokens", (json_int_t)attempt->tokens,
	    "expected_first_ms",
	    (json_int_t)(attempt->first_usec / LOOP_USEC_PER_MSEC),
	    "expected_gap_ms",
	    (json_int_t)(attempt->event_usec / LOOP_USEC_PER_MSEC),
	    "own_first_active", (int)attempt->server->own.first_active);
	lstr_buf_free(&path);
}

/*
 * Expects how long a new request would wait behind those queued.
 */
static int64_t
expected_wait(struct gate_service *service, const struct gate_request *request,
    int64_t now)
{
	int64_t age = now - service->started_at;
	double rate = service->started_tokens_per_sec;
	int64_t cost = sched_expected_wait(service->queue,
	    lstr_from(request->organisation ? request->organisation->name : ""),
	    request->priority, 1, 1);

	if (service->started_at == 0)
		return (int64_t)sched_count(service->queue) * WAIT_UNKNOWN_USEC;
	if (age > RATE_WINDOW_USEC)
		rate = rate * (double)RATE_WINDOW_USEC / (double)age;
	if (rate < 1)
		rate = 1;
	return (int64_t)((double)cost / rate * (double)LOOP_USEC_PER_SEC);
}

/*
 * Refuses a request that has not run, or fails one that may have.
 */
static void
give_up(struct gate_request *request, int64_t retry_usec, const char *reason)
{
	if (request->answer_begun)
		gate_break_off(request, reason);
	else if (request->may_have_run)
		gate_fail(request, HTTP_STATUS_BAD_GATEWAY, reason);
	else
		gate_refuse(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    retry_usec, reason);
}

/*
 * Queues a request for which no path has room, or refuses it.
 */
static void
queue_or_refuse(struct gate_request *request, enum status why)
{
	struct gate *gate = request->gate;
	struct gate_service *service =
	    gate_service(gate, request->service->name);
	int64_t now = gate_now(gate);
	int64_t since = request->last_event_at ? request->last_event_at
					       : request->arrived_at;
	struct admit_case load = {
	    .expected_wait_usec = expected_wait(service, request, now),
	    .work_usec = request->first_usec,
	    .objective_usec =
		request->arrived_at + request->route->objective_usec - now,
	    .leave_usec = since +
		admit_leave_after(
		    request->route->objective_usec, request->route->gap_usec) -
		now,
	    .patience_usec = request->timeout_at - now,
	    .under_way = request->sends > 0,
	    .spread = g_rand_double(gate->rand)};
	struct admit_verdict verdict = admit_decide(&load);
	struct sched_request entry = {
	    .organisation = lstr_from(
		request->organisation ? request->organisation->name : ""),
	    .priority = request->priority,
	    .weight = 1,
	    .cost = (int64_t)request->info.prompt_tokens +
		gate_output_estimate(request),
	    .arrival = request->arrived_at,
	    .data = request};

	if (why == STATUS_NOT_FOUND && verdict.choice == ADMIT_REFUSE)
		verdict.retry_usec = admit_retry_after(
		    GAP_RETRY_USEC, load.patience_usec, load.spread);
	entry.deadline = now + verdict.wait_usec;
	if (verdict.choice == ADMIT_REFUSE ||
	    sched_push(service->queue, &entry, &request->queued) != STATUS_OK) {
		give_up(request, verdict.retry_usec,
		    why == STATUS_NOT_FOUND
			? "some layers are held by no server"
			: "no path has room");
		return;
	}
	request->state = GATE_WAITING;
	request->queued_at = now;
	gate->counts.queued++;
	slog_event(EV_REQUEST_QUEUED, "{s:s, s:s, s:I, s:i}", "id", request->id,
	    "reason", status_name(why), "expected_wait_ms",
	    (json_int_t)(load.expected_wait_usec / LOOP_USEC_PER_MSEC),
	    "waiting", (int)sched_count(service->queue));
}

/*
 * Starts a generation, or goes on with one whose attempt failed: at once if a
 * path has room and nobody waits before it.
 */
void
gate_stream_start(struct gate_request *request)
{
	struct gate *gate = request->gate;
	struct gate_service *service =
	    gate_service(gate, request->service->name);
	bool first = request->sends == 0;
	enum status status = STATUS_FULL;

	/* One that is under way goes before those that have not begun. */
	if (!first || sched_count(service->queue) == 0)
		status = try_path(request);
	if (status == STATUS_DENIED) {
		gate_refuse_stopping(request);
		return;
	}
	if (status != STATUS_OK) {
		queue_or_refuse(request, status);
		return;
	}
	note_started(service, request->attempt.tokens, gate_now(gate));
	log_started(request, first ? "room at arrival" : "after a failure");
}

/*
 * Starts waiting requests of a service as long as paths have room for the one
 * that is next.
 */
static void
pump_service(struct gate *gate, struct gate_service *service)
{
	void *data;
	Ch__RecordReason reason;

	while (sched_peek(service->queue, &data)) {
		struct gate_request *request = data;
		enum status status = try_path(request);

		if (status == STATUS_DENIED) {
			gate_refuse_stopping(request);
			continue;
		}
		if (status != STATUS_OK)
			return;
		sched_pop(service->queue, &data, &reason);
		request->queued = NULL;
		note_started(service, request->attempt.tokens, gate_now(gate));
		log_started(request, "first in its class and share");
	}
}

/*
 * Starts the waiting requests for which there is room.
 */
void
gate_stream_pump(struct gate *gate)
{
	GHashTableIter iter;
	gpointer service;

	if (gate->pumping)
		return;
	gate->pumping = true;
	g_hash_table_iter_init(&iter, gate->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		pump_service(gate, service);
	gate->pumping = false;
}

/*
 * Refuses requests that have waited too long.
 */
void
gate_stream_expire(struct gate *gate, struct gate_service *service, int64_t now)
{
	void *data;

	while (sched_expire(service->queue, now, &data)) {
		struct gate_request *request = data;

		request->queued = NULL;
		give_up(request,
		    admit_retry_after(ADMIT_RETRY_OVERLOAD_USEC,
			request->deadline - now, g_rand_double(gate->rand)),
		    "no path had room in time");
	}
}

/*
 * Finds the server that an engine names as the one at fault, on the request's
 * own path first. NULL: it names none that is known.
 */
static struct pool_server *
named_server(const struct gate_request *request)
{
	const struct gate_attempt *attempt = &request->attempt;
	struct lstr address = attempt->answer.fault_address;

	if (address.len == 0)
		return NULL;
	for (uint32_t i = 0; i < attempt->stage_count; i++) {
		struct pool_server *server = attempt->stages[i].server;

		if (lstr_equal_c(address, server->info.address_text))
			return server;
	}
	return pool_find_address(request->gate->config.pool, address);
}

/*
 * Avoids the server for which an engine refused a request: the one that it
 * names, or itself when the path as it stands is no use to it.
 */
static void
blame(struct gate_request *request)
{
	const struct adapter_answer *answer = &request->attempt.answer;
	struct pool_server *server = named_server(request);

	if (server != NULL && answer->not_run &&
	    answer->status == HTTP_STATUS_SERVICE_UNAVAILABLE &&
	    pool_is_crowded(server, request->service->engine) &&
	    pool_note_full(server, gate_now(request->gate)))
		slog_event(EV_SERVER_FULL, "{s:s, s:I, s:I, s:I, s:i}",
		    "server", server->info.id, "own_memory",
		    (json_int_t)server->own.memory, "peers_memory",
		    (json_int_t)server->peers.memory, "margin",
		    (json_int_t)server->peers_margin, "own_active",
		    (int)server->own.active);
	else if (server != NULL)
		gate_avoid(request->gate, server, "named by an engine");
	else if (answer->status == HTTP_STATUS_MISDIRECTED_REQUEST)
		gate_avoid(request->gate, request->attempt.server,
		    "address belongs to another server");
	else if (answer->status == HTTP_STATUS_BAD_REQUEST)
		gate_avoid(request->gate, request->attempt.server,
		    "engine does not accept the path");
}

/*
 * The head of an answer has arrived: that of the first attempt is passed on.
 */
void
gate_stream_head(struct gate_request *request)
{
	struct gate *gate = request->gate;
	struct gate_attempt *attempt = &request->attempt;
	struct lstr_buf text = {0};
	bool close = gate->draining || !h1_keep_alive(request->caller);

	if (attempt->answer.status != HTTP_OK) {
		lstr_buf_clear(&request->answer);
		return;
	}
	if (!attempt->answer.stamped || attempt->answer.encoded) {
		gate_failed(request, false, "answer is not the server's own");
		return;
	}
	if (request->answer_begun)
		return;
	request->answer_begun = true;
	request->chunked = !h1_is_http10(request->caller);
	gate->config.adapter->word_answer(
	    attempt->conn, request->chunked, close || !request->chunked, &text);
	lstr_buf_printf(&text, "\r\n");
	h1_write(request->caller, lstr_buf_view(&text));
	lstr_buf_free(&text);
}

/*
 * Notes an event: progress of all servers of the path, and their pace.
 */
static void
note_event(struct gate_request *request, int64_t now)
{
	struct gate_attempt *attempt = &request->attempt;
	int64_t since = request->last_event_at;
	double ratio = 1;

	request->gate->counts.events++;
	request->events++;
	if (request->first_event_at == 0)
		request->first_event_at = now;
	else
		request->longest_gap = MAX(request->longest_gap, now - since);
	if (since > attempt->sent_at && attempt->event_usec > 0 && now > since)
		ratio = (double)(now - since) / (double)attempt->event_usec;
	for (uint32_t i = 0; i < attempt->stage_count; i++) {
		struct pool_server *server = attempt->stages[i].server;

		pool_note_good(server, now);
		pool_note_pace(server, ratio > SLOW_RATIO ? ratio : 1, now);
		if (pool_wants_pace(server, now))
			gate_probe(request->gate, server, now);
	}
	attempt->stalled = false;
	request->last_event_at = now;
}

/*
 * Passes bytes of whole events on.
 */
static enum status
deliver(struct gate_request *request, struct lstr bytes)
{
	struct lstr_buf text = {0};
	enum status status;

	if (!request->chunked)
		return h1_write(request->caller, bytes);
	lstr_buf_printf(&text, "%zx\r\n", bytes.len);
	lstr_buf_append(&text, bytes);
	lstr_buf_append(&text, lstr_from("\r\n"));
	status = h1_write(request->caller, lstr_buf_view(&text));
	lstr_buf_free(&text);
	return status;
}

/*
 * Takes bytes of an answer and passes whole events on, each once and in order.
 */
void
gate_stream_body(struct gate_request *request, struct lstr bytes)
{
	struct gate_attempt *attempt = &request->attempt;
	struct lstr_buf whole = {0};
	struct sse_event event;
	const char *fault = NULL;
	int64_t now = gate_now(request->gate);

	if (attempt->answer.status != HTTP_OK) {
		if (request->answer.len + bytes.len <= GATE_ANSWER_MAX_BYTES)
			lstr_buf_append(&request->answer, bytes);
		return;
	}
	if (sse_feed(&attempt->sse, bytes) != STATUS_OK) {
		gate_failed(request, false, "event is too large");
		return;
	}
	while (fault == NULL && sse_next(&attempt->sse, &event)) {
		if (event.has_id && event.id <= request->last_event)
			continue;
		if (event.has_id && event.id != request->last_event + 1 &&
		    request->last_event > 0) {
			fault = "events are missing";
			break;
		}
		if (event.has_id)
			request->last_event = event.id;
		note_event(request, now);
		lstr_buf_append(&whole, event.bytes);
	}
	if (whole.len > 0 &&
	    deliver(request, lstr_buf_view(&whole)) == STATUS_FULL) {
		lstr_buf_free(&whole);
		gate_break_off(request, "caller does not read");
		return;
	}
	lstr_buf_free(&whole);
	if (fault != NULL)
		gate_failed(request, false, fault);
}

/*
 * An answer is complete.
 */
void
gate_stream_complete(struct gate_request *request)
{
	struct gate_attempt *attempt = &request->attempt;
	struct gate *gate = request->gate;

	if (attempt->answer.status != HTTP_OK) {
		blame(request);
		if (attempt->answer.not_run || request->answer_begun ||
		    !attempt->answer.stamped)
			gate_failed(request, attempt->answer.not_run,
			    "engine refused the request");
		else
			gate_pass_on(request, "failed by the server");
		return;
	}
	if (attempt->sse.pending.len > 0) {
		gate_failed(request, false, "answer ends within an event");
		return;
	}
	pool_note_answer(attempt->server, true);
	gate->counts.done++;
	if (request->chunked)
		h1_write(request->caller, lstr_from("0\r\n\r\n"));
	gate_attempt_end(request, true);
	if (!request->chunked) {
		struct h1_conn *caller = request->caller;

		request->caller = NULL;
		h1_set_data(caller, NULL);
		gate_end(request, "streamed");
		h1_finish(caller);
	} else {
		gate_end(request, "streamed");
	}
	gate_stream_pump(gate);
}

/*
 * Looks for streams that make no progress.
 */
void
gate_stream_tick(struct gate_request *request, int64_t now)
{
	struct gate_attempt *attempt = &request->attempt;
	int64_t pause = now - attempt->progress_at;
	int64_t limit;

	gate_reroute_leaving(request, now);
	if (attempt->reroute != NULL)
		return;
	if (attempt->server->avoid_until > now &&
	    pause > GATE_STALL_MIN_USEC / 2 && !attempt->stalled) {
		attempt->stalled = true;
		gate_failed(request, false, "first server has failed");
		return;
	}
	if (request->last_event_at > attempt->sent_at)
		limit = MAX(
		    STALL_FACTOR * attempt->event_usec, GATE_STALL_MIN_USEC);
	else
		limit = MAX(4 * attempt->first_usec, STALL_FIRST_MIN_USEC);
	if (pause >= limit)
		gate_probe(request->gate, attempt->server, now);
}
