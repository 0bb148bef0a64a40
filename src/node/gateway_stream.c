#include <string.h>

#include <http_parser.h>

#include "gateway_priv.h"

#define HTTP_OK 200
#define SERVERS_MAX 4096
/* Expected output length if neither the request nor the engine states one. */
#define OUTPUT_DEFAULT_TOKENS 200
/* Weight of the caller's output estimate against the usual length: such
 * estimates are accurate near the middle and far off at the extremes. */
#define OUTPUT_HINT_WEIGHT 0.7
/* A stream counts as stalled after this many expected event intervals, but
 * not before a minimum time: an engine pass may include a long prompt. */
#define STALL_FACTOR 8
#define STALL_FIRST_MIN_USEC (700 * LOOP_USEC_PER_MSEC)
/* An event interval longer than this multiple of the expected one indicates
 * a slow server. */
#define SLOW_INTERVAL_RATIO 2.0
/* Averaging window of the rate at which requests are started. */
#define RATE_WINDOW_USEC (1 * LOOP_USEC_PER_SEC)
/* Expected wait per queued request until the first request has been
 * started. */
#define WAIT_PER_REQUEST_DEFAULT_USEC (20 * LOOP_USEC_PER_MSEC)

/*
 * Estimates the output length of a request in tokens.
 */
uint32_t
gateway_estimate_output(const struct gateway_request *request)
{
	const struct fleet_engine *engine = request->service->engine;
	double usual = engine->usual_output_tokens > 0
	    ? engine->usual_output_tokens
	    : OUTPUT_DEFAULT_TOKENS;
	double estimate = usual;
	uint32_t max = request->info.output_tokens_max;

	if (request->info.output_tokens_hint > 0)
		estimate =
		    OUTPUT_HINT_WEIGHT * request->info.output_tokens_hint +
		    (1 - OUTPUT_HINT_WEIGHT) * usual;
	if (max > 0 && estimate > max)
		estimate = max;
	return (uint32_t)estimate;
}

/*
 * Updates the rate of started tokens, which is used to estimate queue waits.
 */
static void
record_start(struct gateway_service *service, int64_t tokens, int64_t now)
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
 * Replenishes and returns the number of bytes that this node's paths may still
 * send between data centres: a token bucket filled at the node's share of the
 * link rate.
 */
double *
gateway_link_budget(const struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	struct gateway_service *service =
	    gateway_service(gateway, request->service->name);
	const struct fleet_engine *engine = request->service->engine;
	int64_t now = gateway_now(gateway);
	double rate = engine->link_bytes_per_usec * GATEWAY_LINK_SHARE /
	    gossip_live_count(gateway->config.gossip);
	double max = rate * (double)GATEWAY_LINK_BURST_USEC;

	service->link_budget_bytes +=
	    rate * (double)(now - service->link_updated_at);
	service->link_budget_bytes = MIN(service->link_budget_bytes, max);
	service->link_updated_at = now;
	return &service->link_budget_bytes;
}

/*
 * Finds a path within one data centre or, if there is none and this node's
 * link budget is not used up, one that crosses data centres.
 */
static enum status
find_path(struct gateway_request *request, const struct path_server *rows,
    size_t count, struct path *path)
{
	struct gateway *gateway = request->gateway;
	const struct fleet_engine *engine = request->service->engine;
	struct path_demand demand = {
	    .prompt_tokens = request->info.prompt_tokens,
	    .output_tokens = gateway_estimate_output(request),
	    .zone = gateway->config.place};
	double *link_budget = gateway_link_budget(request);
	enum status status;

	if (demand.prompt_tokens == 0)
		demand.prompt_tokens = engine->usual_prompt_tokens;
	/* A request that was sent before keeps its precedence. */
	if (request->attempts.count == 0)
		demand.reserved_share = headroom_reserved_share(
		    gateway_headroom(gateway, request->service, rows, count),
		    request->priority);
	gateway->counts.searches_with_headroom += demand.reserved_share > 0;
	request->attempt.tokens =
	    (int64_t)demand.prompt_tokens + demand.output_tokens;
	status = path_find(engine, rows, count, &demand, path);
	if (status == STATUS_OK || *link_budget <= 0)
		return status;
	demand.may_cross = true;
	status = path_find(engine, rows, count, &demand, path);
	if (status == STATUS_OK)
		*link_budget -= (double)path->crossings *
		    (double)request->attempt.tokens *
		    (double)engine->activation_bytes;
	return status;
}

/*
 * Fills the table for a search of another path for a request, without the
 * servers that it suspects if avoid_suspects is set. Returns the number
 * of rows.
 */
static size_t
fill_table(const struct gateway_request *request, GPtrArray *servers,
    bool avoid_suspects, struct path_server *rows)
{
	size_t count = pool_path_table(servers, request->service->engine,
	    gateway_now(request->gateway), rows, SERVERS_MAX);
	guint row;

	for (uint32_t i = 0; avoid_suspects && i < request->suspect_count;
	     i++) {
		if (g_ptr_array_find(servers, request->suspects[i], &row) &&
		    row < count)
			rows[row].usable = false;
	}
	return count;
}

/*
 * Chooses a path and sends the request along it. Returns STATUS_FULL,
 * STATUS_NOT_FOUND or STATUS_UNAVAILABLE if that is not possible, or
 * STATUS_DENIED if the node exits before the request would end.
 */
static enum status
start_on_path(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	const struct fleet_engine *engine = request->service->engine;
	struct gateway_attempt *attempt = &request->attempt;
	GPtrArray *servers =
	    pool_service_servers(gateway->config.pool, request->service->name);
	struct path_server *rows =
	    g_new0(struct path_server, MAX(servers->len, 1u));
	struct path path = {.count = 0};
	enum status status;
	size_t count = fill_table(request, servers, true, rows);

	status = find_path(request, rows, count, &path);
	if (status != STATUS_OK && request->suspect_count > 0) {
		count = fill_table(request, servers, false, rows);
		status = find_path(request, rows, count, &path);
	}
	if (status == STATUS_OK &&
	    !gateway_can_start(request,
		path.first_usec +
		    path.event_usec * gateway_estimate_output(request) /
			MAX(engine->stride, 1u)))
		status = STATUS_DENIED;
	if (status == STATUS_OK) {
		attempt->event_usec = path.event_usec;
		attempt->first_usec = path.first_usec;
		request->first_usec = path.first_usec;
		attempt->stage_count = path.count;
		for (uint32_t i = 0; i < path.count; i++)
			attempt->stages[i] = (struct gateway_stage){
			    g_ptr_array_index(servers, path.stages[i].server),
			    path.stages[i].layer_from, path.stages[i].layer_to};
		if (!gateway_send(request, attempt->stages[0].server))
			status = STATUS_UNAVAILABLE;
	}
	g_free(rows);
	g_ptr_array_free(servers, TRUE);
	return status;
}

/*
 * Formats a path for the log: "server=from-to" for each stage, separated by
 * commas.
 */
void
gateway_format_path(
    const struct gateway_stage *stages, uint32_t count, struct lstr_buf *out)
{
	for (uint32_t i = 0; i < count; i++)
		lstr_buf_printf(out, "%s%s=%u-%u", i > 0 ? "," : "",
		    stages[i].server->info.id, stages[i].layer_from,
		    stages[i].layer_to);
}

/*
 * Logs the start of a request with its sequence number and the reason why it
 * was started.
 */
static void
log_started(struct gateway_request *request, const char *reason)
{
	const struct gateway_attempt *attempt = &request->attempt;
	struct lstr_buf path = {0};

	request->start_sequence = ++request->gateway->start_sequence;
	gateway_format_path(attempt->stages, attempt->stage_count, &path);
	slog_event(EV_REQUEST_STARTED,
	    "{s:s, s:I, s:s, s:s, s:i, s:I, s:s%, s:I, s:I, s:I, s:i, s:I, "
	    "s:I}",
	    "id", request->id, "order", (json_int_t)request->start_sequence,
	    "organisation",
	    request->organisation ? request->organisation->name : "", "reason",
	    reason, "priority", (int)request->priority, "waited_ms",
	    (json_int_t)((gateway_now(request->gateway) - request->arrived_at) /
		LOOP_USEC_PER_MSEC),
	    "path", path.data, path.len, "tokens", (json_int_t)attempt->tokens,
	    "expected_first_ms",
	    (json_int_t)(attempt->first_usec / LOOP_USEC_PER_MSEC),
	    "expected_gap_ms",
	    (json_int_t)(attempt->event_usec / LOOP_USEC_PER_MSEC),
	    "own_first_active", (int)attempt->server->own.first_active,
	    "config_version", (json_int_t)request->config->version,
	    "proof_age_ms",
	    (json_int_t)((gateway_now(request->gateway) -
			     gateway_config_proved_at(request->gateway)) /
		LOOP_USEC_PER_MSEC));
	lstr_buf_free(&path);
}

/*
 * Estimates how long a new request would wait in the queue, in microseconds.
 */
static int64_t
expected_wait(struct gateway_service *service,
    const struct gateway_request *request, int64_t now)
{
	int64_t age = now - service->started_at;
	double rate = service->started_tokens_per_sec;
	int64_t cost = sched_expected_wait(service->queue,
	    lstr_from(request->organisation ? request->organisation->name : ""),
	    request->priority, 1, 1);

	if (service->started_at == 0)
		return (int64_t)sched_count(service->queue) *
		    WAIT_PER_REQUEST_DEFAULT_USEC;
	if (age > RATE_WINDOW_USEC)
		rate = rate * (double)RATE_WINDOW_USEC / (double)age;
	if (rate < 1)
		rate = 1;
	return (int64_t)((double)cost / rate * (double)LOOP_USEC_PER_SEC);
}

/*
 * Refuses a request that has not run, or fails one that may have run.
 */
static void
refuse_or_fail(
    struct gateway_request *request, int64_t retry_usec, const char *reason)
{
	if (gateway_put_back(request, reason))
		return;
	if (request->response_started)
		gateway_abort_response(request, reason);
	else if (request->may_have_run)
		gateway_fail_request(request, HTTP_STATUS_BAD_GATEWAY, reason);
	else
		gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    retry_usec, reason);
}

/*
 * Refuses a request that may not finish before the process exits, unless it can
 * go on where it was given up.
 */
static void
refuse_draining(struct gateway_request *request)
{
	if (!gateway_put_back(request, "node is stopping"))
		gateway_refuse_draining(request);
}

/*
 * Describes a request without a path for admission control.
 */
static struct admit_request
describe_load(struct gateway_request *request, int64_t now)
{
	struct gateway *gateway = request->gateway;
	int64_t since = request->last_event_at ? request->last_event_at
					       : request->arrived_at;
	int64_t failed_at = pool_last_failure_at(gateway->config.pool,
	    request->service->name, gateway->config.place, now);

	return (struct admit_request){
	    .expected_wait_usec = expected_wait(
		gateway_service(gateway, request->service->name), request, now),
	    .work_usec = request->first_usec,
	    .objective_usec =
		request->arrived_at + request->route->objective_usec - now,
	    .abandon_usec = since +
		admit_abandon_after(
		    request->route->objective_usec, request->route->gap_usec) -
		now,
	    .caller_timeout_usec = request->timeout_at - now,
	    .wanted_usec = gateway_wanted_usec(request),
	    .may_have_run = request->may_have_run || request->response_started,
	    .already_started = request->attempts.count > 0,
	    .has_returned = gateway_has_returned(request),
	    .load = headroom_load(
		&gateway_service(gateway, request->service->name)->headroom,
		request->priority),
	    .failed_since_usec = failed_at ? now - failed_at : -1,
	    .jitter = g_rand_double(gateway->rand)};
}

/*
 * Returns whether a path without servers that may have stalled a request has
 * room for it now; may_cross: also one that crosses data centres.
 */
static bool
has_path(const struct gateway_request *request, bool may_cross)
{
	struct gateway *gateway = request->gateway;
	const struct fleet_engine *engine = request->service->engine;
	GPtrArray *servers =
	    pool_service_servers(gateway->config.pool, request->service->name);
	struct path_server *rows =
	    g_new0(struct path_server, MAX(servers->len, 1u));
	size_t count = fill_table(request, servers, true, rows);
	struct path_demand demand = {
	    .prompt_tokens = request->info.prompt_tokens,
	    .output_tokens = gateway_estimate_output(request),
	    .zone = gateway->config.place,
	    .may_cross = may_cross};
	struct path path = {.count = 0};
	enum status status = path_find(engine, rows, count, &demand, &path);

	g_free(rows);
	g_ptr_array_free(servers, TRUE);
	return status == STATUS_OK;
}

/*
 * Returns whether a path has room to resume a stream now.
 */
bool
gateway_stream_has_path(struct gateway_request *request)
{
	return has_path(request, false) ||
	    (*gateway_link_budget(request) > 0 && has_path(request, true));
}

/*
 * Returns the time in microseconds after which the caller of a request that did
 * not run is to retry: soon if a path has room, since the failed server is
 * avoided by now, or else when capacity is expected.
 */
int64_t
gateway_stream_retry_usec(struct gateway_request *request)
{
	struct admit_request load =
	    describe_load(request, gateway_now(request->gateway));

	return has_path(request, false)
	    ? admit_retry_after(
		  ADMIT_RETRY_MIN_USEC, load.caller_timeout_usec, load.jitter)
	    : admit_retry_without_capacity(&load);
}

/*
 * Returns the memory that a request needs, in tokens.
 */
static int64_t
needed_tokens(const struct gateway_request *request)
{
	uint32_t prompt = request->info.prompt_tokens;

	if (prompt == 0)
		prompt = request->service->engine->usual_prompt_tokens;
	return (int64_t)prompt + gateway_estimate_output(request);
}

/*
 * Records that a request starts, or that it leaves the queue without having
 * started, for the order of waiting.h. Only the first start counts.
 */
static void
note_left(const struct gateway_request *request, bool started)
{
	struct gateway_service *service =
	    gateway_service(request->gateway, request->service->name);

	waiting_note_left(&service->waiting, request->priority,
	    needed_tokens(request), started);
}

/* The queue of a service as a table, in the order of service. */
struct queue_table {
	struct gateway_request *requests[GATEWAY_QUEUE_MAX];
	struct waiting_entry entries[GATEWAY_QUEUE_MAX];
	size_t count;
};

/*
 * Describes the queue of a service for waiting.h. The reserved shares are those
 * with which find_path() searches.
 */
static void
list_queue(const struct gateway_service *service, struct queue_table *table)
{
	void *data[GATEWAY_QUEUE_MAX];

	table->count = sched_list(service->queue, data, GATEWAY_QUEUE_MAX);
	for (size_t i = 0; i < table->count; i++) {
		struct gateway_request *request = data[i];
		bool sent = request->attempts.count > 0;

		table->requests[i] = request;
		table->entries[i] =
		    (struct waiting_entry){.priority = request->priority,
			.organisation = request->organisation,
			.need = needed_tokens(request),
			.reserved_share = sent
			    ? 0
			    : headroom_reserved_share(
				  &service->headroom, request->priority),
			.queued_at = request->queued_at,
			.deadline = request->queue_deadline,
			.sent = sent,
			.overtaken = request->overtaken};
	}
}

/*
 * Removes the least urgent entry of a full queue to make room for a request of
 * a more urgent class. Returns the removed request, which was never sent and is
 * to be refused, or NULL if there is none.
 */
static struct gateway_request *
displace(struct gateway_service *service, const struct gateway_request *request)
{
	struct queue_table *table;
	struct gateway_request *displaced = NULL;
	size_t index;

	if (sched_count(service->queue) < GATEWAY_QUEUE_MAX)
		return NULL;
	table = g_new(struct queue_table, 1);
	list_queue(service, table);
	index = waiting_find_displaced(
	    table->entries, table->count, request->priority);
	if (index != WAITING_NONE) {
		displaced = table->requests[index];
		sched_cancel(service->queue, displaced->queue_entry);
		displaced->queue_entry = NULL;
	}
	g_free(table);
	return displaced;
}

/*
 * Refuses a request whose place in the queue a more urgent one has taken.
 */
static void
refuse_displaced(
    struct gateway_request *request, const struct gateway_request *by)
{
	struct gateway *gateway = request->gateway;
	int64_t now = gateway_now(gateway);
	struct admit_request load = describe_load(request, now);

	note_left(request, false);
	gateway->counts.displaced++;
	slog_event(EV_REQUEST_DISPLACED, "{s:s, s:s, s:i, s:i, s:I}", "id",
	    request->id, "by", by->id, "priority", (int)request->priority,
	    "by_priority", (int)by->priority, "waited_ms",
	    (json_int_t)((now - request->queued_at) / LOOP_USEC_PER_MSEC));
	refuse_or_fail(request, admit_retry_without_capacity(&load),
	    "a more urgent request takes its place in the full queue");
}

/*
 * Queues a request that no path can accept now, or refuses it if the wait
 * would be too long or the queue is full. In a full queue it takes the place of
 * a less urgent request that was never sent.
 */
static void
queue_or_refuse(struct gateway_request *request, enum status path_status)
{
	struct gateway *gateway = request->gateway;
	struct gateway_service *service =
	    gateway_service(gateway, request->service->name);
	int64_t now = gateway_now(gateway);
	struct admit_request load = describe_load(request, now);
	struct admit_decision decision = admit_decide(&load);
	struct gateway_request *displaced;
	struct sched_request entry = {
	    .organisation = lstr_from(
		request->organisation ? request->organisation->name : ""),
	    .priority = request->priority,
	    .weight = 1,
	    .cost = (int64_t)request->info.prompt_tokens +
		gateway_estimate_output(request),
	    .arrival = request->arrived_at,
	    .data = request};

	entry.deadline = now + decision.wait_usec;
	if (decision.choice == ADMIT_REFUSE) {
		refuse_or_fail(request, decision.retry_usec,
		    load.wanted_usec > 0 ? "servers want no requests"
			: path_status == STATUS_NOT_FOUND
			? "some layers are held by no server"
			: "no path has room");
		return;
	}
	displaced = displace(service, request);
	if (sched_push(service->queue, &entry, &request->queue_entry) ==
	    STATUS_OK) {
		request->state = GATEWAY_WAITING;
		request->queued_at = now;
		request->queue_deadline = entry.deadline;
		request->overtaken = false;
		gateway->counts.queued++;
		slog_event(EV_REQUEST_QUEUED, "{s:s, s:s, s:I, s:i}", "id",
		    request->id, "reason", status_name(path_status),
		    "expected_wait_ms",
		    (json_int_t)(load.expected_wait_usec / LOOP_USEC_PER_MSEC),
		    "waiting", (int)sched_count(service->queue));
	} else {
		gateway->counts.queue_full++;
		refuse_or_fail(request, admit_retry_without_capacity(&load),
		    "the queue is full");
	}
	/* Its connection may pass on the next request at once, which must not
	 * find the place free. */
	if (displaced != NULL)
		refuse_displaced(displaced, request);
}

/*
 * Starts a generation or resumes one whose attempt failed. It is sent at once
 * if a path has capacity; a new request is queued if others are already
 * waiting.
 */
void
gateway_stream_start(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	struct gateway_service *service =
	    gateway_service(gateway, request->service->name);
	bool first = request->attempts.count == 0;
	enum status status = STATUS_FULL;

	if (first && !gateway_quarantine_admit(request))
		return;

	if (first) {
		gateway_note_arrival(request);
		gateway->counts.returned += gateway_has_returned(request);
	}
	/* A request that was sent before precedes those not yet started. */
	if (!first || sched_count(service->queue) == 0)
		status = start_on_path(request);
	if (status == STATUS_DENIED) {
		refuse_draining(request);
		return;
	}
	if (status != STATUS_OK) {
		queue_or_refuse(request, status);
		return;
	}
	if (first)
		note_left(request, true);
	record_start(service, request->attempt.tokens, gateway_now(gateway));
	log_started(request, first ? "room at arrival" : "after a failure");
}

/*
 * Refuses the queued requests of a service that have not run, if the servers
 * without which there is no path want no requests.
 */
static void
refuse_unwanted(struct gateway *gateway, const struct gateway_service *service)
{
	int64_t now = gateway_now(gateway);

	for (guint i = 0; i < gateway->requests->len; i++) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);
		struct admit_request load;

		if (request->queue_entry == NULL ||
		    strcmp(request->service->name, service->name) != 0)
			continue;
		load = describe_load(request, now);
		if (load.wanted_usec == 0)
			return;
		if (!load.may_have_run)
			refuse_or_fail(request,
			    admit_retry_without_capacity(&load),
			    "servers want no requests");
	}
}

/*
 * Removes a request from the queue that has been sent, and records what it has
 * overtaken.
 */
static void
note_dispatched(struct gateway_service *service,
    const struct waiting_round *round, struct queue_table *table, size_t index)
{
	struct gateway_request *request = table->requests[index];
	struct gateway *gateway = request->gateway;
	bool overtakes =
	    waiting_note_start(round, table->entries, table->count, index);

	for (size_t i = 0; i < table->count; i++)
		table->requests[i]->overtaken = table->entries[i].overtaken;
	sched_take(service->queue, request->queue_entry);
	request->queue_entry = NULL;
	if (!table->entries[index].sent)
		note_left(request, true);
	record_start(service, request->attempt.tokens, gateway_now(gateway));
	if (overtakes)
		gateway->counts.overtaking++;
	log_started(request,
	    overtakes	    ? "fits, unlike entries before it"
		: index > 0 ? "passed over before, or large"
			    : "first in its class and share");
}

/*
 * Starts the queued requests of a service that fit, in the order of waiting.h,
 * until a round of searches has ended.
 */
static void
dispatch_service(struct gateway *gateway, struct gateway_service *service)
{
	enum status status = STATUS_OK;
	struct waiting_round round;
	struct queue_table table;
	bool missed = false;
	size_t index;

	gateway_stream_expire(service, gateway_now(gateway));
	if (sched_count(service->queue) == 0)
		return;
	waiting_round_begin(&round, &service->waiting, gateway_now(gateway));
	list_queue(service, &table);
	/* Without a holder of some layer, no request has a path. */
	while (status != STATUS_NOT_FOUND) {
		index = waiting_next(&round, table.entries, table.count);
		if (index == WAITING_NONE)
			break;
		status = start_on_path(table.requests[index]);
		if (status == STATUS_OK) {
			note_dispatched(service, &round, &table, index);
			list_queue(service, &table);
		} else if (status == STATUS_DENIED) {
			refuse_draining(table.requests[index]);
			list_queue(service, &table);
		} else {
			waiting_note_miss(&round, &table.entries[index]);
			missed = true;
		}
	}
	if (missed)
		refuse_unwanted(gateway, service);
}

/*
 * Starts the queued requests of all services for which paths have capacity.
 */
void
gateway_stream_dispatch(struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer service;

	if (gateway->dispatching)
		return;
	gateway->dispatching = true;
	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		dispatch_service(gateway, service);
	gateway->dispatching = false;
}

/*
 * Refuses or fails queued requests whose maximum wait has passed.
 */
void
gateway_stream_expire(struct gateway_service *service, int64_t now)
{
	void *data;

	while (sched_expire(service->queue, now, &data)) {
		struct gateway_request *request = data;
		struct admit_request load = describe_load(request, now);

		request->queue_entry = NULL;
		if (request->attempts.count == 0)
			note_left(request, false);
		refuse_or_fail(request, admit_retry_without_capacity(&load),
		    "no path had room in time");
	}
}

/*
 * Returns the server that an engine names as the one at fault, searching the
 * request's path first; NULL if it names no known server.
 */
static struct pool_server *
find_faulty_server(const struct gateway_request *request)
{
	const struct gateway_attempt *attempt = &request->attempt;
	struct lstr address = attempt->response.fault_address;

	if (address.len == 0)
		return NULL;
	for (uint32_t i = 0; i < attempt->stage_count; i++) {
		struct pool_server *server = attempt->stages[i].server;

		if (lstr_equal_c(address, server->info.address_text))
			return server;
	}
	return pool_find_address(request->gateway->config.pool, address);
}

/*
 * Excludes the server because of which an engine refused a request: the named
 * server, or the engine itself if it does not accept the path. A named
 * server that refused while nearly full is marked as full instead.
 */
static void
avoid_faulty_server(struct gateway_request *request)
{
	const struct adapter_response *response = &request->attempt.response;
	struct pool_server *server = find_faulty_server(request);

	/* It has stated itself when it wants requests again. */
	if (server == request->attempt.server &&
	    response->notice.retry_after_usec > 0)
		return;
	if (server != NULL && response->not_run &&
	    response->status == HTTP_STATUS_SERVICE_UNAVAILABLE &&
	    pool_is_nearly_full(server, request->service->engine) &&
	    pool_note_full(server, gateway_now(request->gateway)))
		slog_event(EV_SERVER_FULL, "{s:s, s:I, s:I, s:I, s:i}",
		    "server", server->info.id, "own_memory",
		    (json_int_t)server->own.memory, "peers_memory",
		    (json_int_t)server->peers.memory, "margin",
		    (json_int_t)server->peers_margin, "own_active",
		    (int)server->own.active);
	else if (server != NULL)
		gateway_avoid_server(request->gateway, server, POOL_FAULTY,
		    "named by an engine");
	else if (response->status == HTTP_STATUS_MISDIRECTED_REQUEST)
		gateway_avoid_server(request->gateway, request->attempt.server,
		    POOL_FAULTY, "address belongs to another server");
	else if (response->status == HTTP_STATUS_BAD_REQUEST)
		gateway_avoid_server(request->gateway, request->attempt.server,
		    POOL_FAULTY, "engine does not accept the path");
}

/*
 * Handles a response head; the first successful one is sent to the caller.
 */
void
gateway_stream_head(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	struct gateway_attempt *attempt = &request->attempt;
	struct lstr_buf text = {0};
	enum status written;
	bool close = drain_is_active(gateway->config.drain) ||
	    !h1_keep_alive(request->caller);

	if (attempt->response.status != HTTP_OK) {
		gateway_clear_response(request);
		return;
	}
	if (!attempt->response.stamped || attempt->response.encoded) {
		gateway_attempt_failed(
		    request, false, "answer is not the server's own");
		return;
	}
	if (request->response_started) {
		if (!attempt->response.event_stream)
			gateway_attempt_failed(request, false,
			    "answer does not continue the stream");
		return;
	}
	/* The head belongs to this run, so its events must come first. */
	gateway_drop_kept(request);
	request->chunked = !h1_is_http10(request->caller);
	close = close || !request->chunked;
	written = gateway->config.adapter->encode_response(attempt->conn,
	    request->chunked, close ? 0 : h1_keep_usec(request->caller), &text);
	if (written == STATUS_OK)
		written = lstr_buf_printf(&text, "\r\n");
	if (written == STATUS_OK)
		written = h1_write(request->caller, lstr_buf_view(&text));
	lstr_buf_free(&text);
	if (written == STATUS_OK) {
		request->response_started = true;
		return;
	}
	request->may_have_run = true;
	gateway_attempt_end(request, false);
	gateway_fail_request(
	    request, HTTP_STATUS_BAD_GATEWAY, "answer cannot be written");
}

/*
 * Records an event: updates the times of the request and the health and
 * slowness of all servers of the path.
 */
static void
record_event(struct gateway_request *request, int64_t now)
{
	struct gateway_attempt *attempt = &request->attempt;
	int64_t since = request->last_event_at;
	double ratio = 1;

	request->gateway->counts.events++;
	request->events++;
	/* The request is carried on here. */
	gateway_drop_kept(request);
	if (++attempt->events == QUARANTINE_SOUND_EVENTS)
		gateway_quarantine_note_sound(request);
	if (request->first_event_at == 0)
		request->first_event_at = now;
	else
		request->longest_gap = MAX(request->longest_gap, now - since);
	if (since > attempt->sent_at && attempt->event_usec > 0 && now > since)
		ratio = (double)(now - since) / (double)attempt->event_usec;
	for (uint32_t i = 0; i < attempt->stage_count; i++) {
		struct pool_server *server = attempt->stages[i].server;

		pool_note_working(server, POOL_PROGRESS, now);
		pool_note_slowness(
		    server, ratio > SLOW_INTERVAL_RATIO ? ratio : 1, now);
		if (pool_needs_slowness_report(server, now))
			gateway_probe(request->gateway, server, now);
	}
	attempt->give_up_not_before = 0;
	request->last_event_at = now;
}

/*
 * Sends complete events to the caller, as one chunk if the response is
 * chunked.
 */
static enum status
send_events(struct gateway_request *request, struct lstr bytes)
{
	struct lstr_buf text = {0};
	enum status status;

	if (!request->chunked)
		return h1_write(request->caller, bytes);
	status = lstr_buf_printf(&text, "%zx\r\n", bytes.len);
	if (status == STATUS_OK)
		status = lstr_buf_append(&text, bytes);
	if (status == STATUS_OK)
		status = lstr_buf_append(&text, lstr_from("\r\n"));
	if (status == STATUS_OK)
		status = h1_write(request->caller, lstr_buf_view(&text));
	lstr_buf_free(&text);
	return status;
}

/*
 * Returns whether an attempt continues a stream of which the caller has
 * received events.
 */
static bool
is_continuation(const struct gateway_request *request)
{
	return request->events > request->attempt.events;
}

/*
 * Parses bytes of a response and sends complete events to the caller, each
 * once and in order.
 */
void
gateway_stream_body(struct gateway_request *request, struct lstr bytes)
{
	struct gateway_attempt *attempt = &request->attempt;
	struct lstr_buf complete_events = {0};
	struct sse_event event;
	const char *fault = NULL;
	enum status status = STATUS_OK;
	int64_t now = gateway_now(request->gateway);

	if (attempt->response.status != HTTP_OK) {
		gateway_buffer_response(request, bytes);
		return;
	}
	if (sse_feed(&attempt->sse, bytes) != STATUS_OK) {
		gateway_attempt_failed(request, false, "event is too large");
		return;
	}
	gateway_account(request);
	while (status == STATUS_OK && sse_next(&attempt->sse, &event)) {
		attempt->last_progress_at = now;
		if (event.has_id && event.id <= request->last_event)
			continue;
		if (!event.has_id && is_continuation(request)) {
			if (event.is_comment)
				continue;
			fault = "event without an identifier in a continuation";
			break;
		}
		if (event.has_id && event.id != request->last_event + 1 &&
		    request->last_event > 0) {
			fault = "events are missing";
			break;
		}
		if (event.has_id)
			request->last_event = event.id;
		attempt->partial_since = 0;
		record_event(request, now);
		status = lstr_buf_append(&complete_events, event.bytes);
	}
	if (status == STATUS_OK && complete_events.len > 0)
		status = send_events(request, lstr_buf_view(&complete_events));
	lstr_buf_free(&complete_events);
	/* The end of a connection that has failed is reported by itself. */
	if (status != STATUS_OK && status != STATUS_CLOSED) {
		gateway_abort_response(request,
		    status == STATUS_FULL ? "caller does not read"
					  : "no memory for the answer");
		return;
	}
	if (attempt->sse.pending.len == 0)
		attempt->partial_since = 0;
	else if (attempt->partial_since == 0)
		attempt->partial_since = now;
	if (fault != NULL)
		gateway_attempt_failed(request, false, fault);
}

/*
 * Returns whether a response that ended with its connection was broken off:
 * within an event, or before any.
 */
bool
gateway_stream_is_broken_off(const struct gateway_request *request)
{
	const struct gateway_attempt *attempt = &request->attempt;

	return h1_ended_by_close(attempt->conn) &&
	    attempt->response.status == HTTP_OK &&
	    (attempt->sse.pending.len > 0 || attempt->events == 0);
}

/*
 * Handles a complete response: ends the request or handles the engine's error.
 */
void
gateway_stream_complete(struct gateway_request *request)
{
	struct gateway_attempt *attempt = &request->attempt;
	struct gateway *gateway = request->gateway;

	if (attempt->response.status != HTTP_OK) {
		avoid_faulty_server(request);
		if (attempt->response.not_run || request->response_started ||
		    !attempt->response.stamped ||
		    gateway_promises_not_run(attempt->response.status))
			gateway_attempt_failed(request,
			    attempt->response.not_run,
			    "engine refused the request");
		else
			gateway_send_response(request, "failed by the server");
		return;
	}
	if (attempt->sse.pending.len > 0) {
		gateway_attempt_failed(
		    request, false, "answer ends within an event");
		return;
	}
	pool_note_result(attempt->server, true);
	if (attempt->events < QUARANTINE_SOUND_EVENTS &&
	    !h1_ended_by_close(attempt->conn))
		gateway_quarantine_note_sound(request);
	if (request->chunked &&
	    h1_write(request->caller, lstr_from("0\r\n\r\n")) != STATUS_OK) {
		gateway_attempt_end(request, true);
		gateway_abort_response(
		    request, "end of the answer cannot be written");
		return;
	}
	gateway->counts.done++;
	gateway_attempt_end(request, true);
	if (!request->chunked) {
		struct h1_conn *caller = request->caller;

		request->caller = NULL;
		h1_set_data(caller, NULL);
		gateway_end_request(request, "streamed");
		h1_close_gracefully(caller);
	} else {
		gateway_end_request(request, "streamed");
	}
	gateway_stream_dispatch(gateway);
}

/*
 * Remembers a server through which a request is sent again only if there is no
 * other path.
 */
void
gateway_stream_suspect(
    struct gateway_request *request, struct pool_server *server)
{
	if (request->suspect_count < GATEWAY_SUSPECTS_MAX)
		request->suspects[request->suspect_count++] = server;
}

/*
 * Remembers the servers of the path of an attempt as those that may have
 * stalled it.
 */
static void
add_suspects(struct gateway_request *request)
{
	const struct gateway_attempt *attempt = &request->attempt;

	for (uint32_t i = 0; i < attempt->stage_count; i++)
		gateway_stream_suspect(request, attempt->stages[i].server);
}

/*
 * Excludes the server that stalls a stream within an event, if the progress of
 * other streams shows which one of the path that is.
 */
static void
avoid_culprit(struct gateway_request *request, int64_t now)
{
	const struct gateway_attempt *attempt = &request->attempt;
	int64_t progressed_at[FLEET_STAGES_MAX];
	uint32_t culprit;

	for (uint32_t i = 0; i < attempt->stage_count; i++)
		progressed_at[i] = attempt->stages[i].server->progressed_at;
	culprit = stall_find_culprit(progressed_at, attempt->stage_count,
	    now - GATEWAY_PARTIAL_PROGRESS_USEC);
	if (culprit != STALL_UNKNOWN)
		gateway_avoid_server(request->gateway,
		    attempt->stages[culprit].server, POOL_STALLED,
		    "an event is not completed");
}

/*
 * Handles a stream that has stalled within an event, and whose first server
 * names no other one that stalls it. It is resumed along a path without any of
 * the servers of the present one, each of which may be at fault. Returns
 * whether the attempt was given up.
 */
static bool
handle_partial_event(struct gateway_request *request, int64_t now)
{
	uint32_t suspect_count = request->suspect_count;

	avoid_culprit(request, now);
	add_suspects(request);
	if (gateway_attempt_give_up(request, "an event is not completed"))
		return true;
	request->suspect_count = suspect_count;
	return false;
}

/*
 * Checks a stream for draining servers, a failed first server and lack of
 * progress.
 */
void
gateway_stream_tick(struct gateway_request *request, int64_t now)
{
	struct gateway_attempt *attempt = &request->attempt;
	int64_t pause = now - attempt->last_progress_at;
	int64_t limit;

	gateway_reroute_draining(request, now);
	if (attempt->reroute != NULL || gateway_reroute_ended(request, now))
		return;
	if (attempt->server->avoid_until > now &&
	    pause > GATEWAY_STALL_MIN_USEC / 2 &&
	    gateway_attempt_give_up(request, "first server has failed"))
		return;
	if (attempt->partial_since != 0 &&
	    now - attempt->partial_since >= GATEWAY_PARTIAL_EVENT_USEC &&
	    handle_partial_event(request, now))
		return;
	if (request->last_event_at > attempt->sent_at)
		limit = MAX(
		    STALL_FACTOR * attempt->event_usec, GATEWAY_STALL_MIN_USEC);
	else
		limit = MAX(4 * attempt->first_usec, STALL_FIRST_MIN_USEC);
	/* The report shall be there when GATEWAY_PARTIAL_EVENT_USEC ends. */
	if (attempt->partial_since != 0)
		limit = MIN(limit, GATEWAY_PARTIAL_EVENT_USEC / 2);
	if (pause >= limit)
		gateway_probe(request->gateway, attempt->server, now);
}
