#include <string.h>

#include "gateway_priv.h"

/*
 * Replaces servers after the first one of a path while its stream runs. The
 * first server keeps the request and the remaining servers keep their memory
 * of it, so the request is not sent again and no retry is consumed.
 */

/* Timeout of a reroute order; a live engine responds within milliseconds. */
#define REROUTE_TIMEOUT_USEC (250 * LOOP_USEC_PER_MSEC)
/* Reroute failures per attempt after which the stream is resumed with a new
 * attempt instead. */
#define REROUTE_FAILURES_MAX 2
/* Delay before another reroute of a stream with a draining server. */
#define REROUTE_RETRY_USEC (500 * LOOP_USEC_PER_MSEC)

struct gateway_reroute {
	struct gateway *gateway;
	/* NULL once the attempt has ended. */
	struct gateway_request *request;
	const char *reason;
	/* The server to which the order was sent. */
	struct pool_server *server;
	struct gateway_stage stages[FLEET_STAGES_MAX];
	uint32_t stage_count;
	int64_t event_usec;
	/* The current path has failed; if it cannot be rerouted, the
	 * attempt fails. */
	bool urgent;
};

/*
 * Detaches the pending reroute from an attempt, so that its result no longer
 * affects the request.
 */
void
gateway_reroute_detach(struct gateway_attempt *attempt)
{
	if (attempt->reroute != NULL)
		attempt->reroute->request = NULL;
	attempt->reroute = NULL;
}

/*
 * Logs the outcome of a reroute order.
 */
static void
log_reroute(const struct gateway_reroute *reroute, const char *outcome)
{
	const struct gateway_request *request = reroute->request;
	const struct gateway_attempt *attempt = &request->attempt;
	struct lstr_buf from = {0};
	struct lstr_buf to = {0};

	gateway_format_path(attempt->stages, attempt->stage_count, &from);
	gateway_format_path(reroute->stages, reroute->stage_count, &to);
	slog_event(EV_REQUEST_REROUTED, "{s:s, s:s, s:s, s:I, s:I, s:s%, s:s%}",
	    "id", request->id, "reason", reroute->reason, "outcome", outcome,
	    "last_event", (json_int_t)request->last_event, "pause_ms",
	    (json_int_t)((gateway_now(reroute->gateway) -
			     attempt->last_progress_at) /
		LOOP_USEC_PER_MSEC),
	    "from", from.data, from.len, "to", to.data, to.len);
	lstr_buf_free(&from);
	lstr_buf_free(&to);
}

/*
 * Replaces the path of the attempt by the new one.
 */
static void
apply_path(struct gateway_reroute *reroute)
{
	struct gateway_attempt *attempt = &reroute->request->attempt;

	gateway_add_load(attempt, -1);
	memcpy(attempt->stages, reroute->stages, sizeof(attempt->stages));
	attempt->stage_count = reroute->stage_count;
	attempt->event_usec = reroute->event_usec;
	attempt->last_progress_at = gateway_now(reroute->gateway);
	if (attempt->partial_since != 0)
		attempt->partial_since = attempt->last_progress_at;
	attempt->reroute_failures = 0;
	gateway_add_load(attempt, 1);
	reroute->gateway->counts.rerouted++;
}

/*
 * Excludes the server that the engine names as lacking capacity or no longer
 * holding its layers.
 */
static void
avoid_refusing_server(struct gateway *gateway, struct lstr body)
{
	char *address = gateway->config.adapter->decode_refusing_server(body);
	struct pool_server *server = address == NULL
	    ? NULL
	    : pool_find_address(gateway->config.pool, lstr_from(address));

	if (server != NULL)
		gateway_avoid_server(gateway, server, POOL_REFUSING,
		    "cannot take over a stream");
	g_free(address);
}

/*
 * Handles a failed reroute. If the current path has failed, tries another path
 * and otherwise gives up the attempt, so that the stream is resumed with a new
 * one.
 */
static void
handle_failed_reroute(
    struct gateway_request *request, const char *reason, bool urgent)
{
	struct gateway_attempt *attempt = &request->attempt;

	attempt->reroute_failures++;
	attempt->reroute_not_before =
	    gateway_now(request->gateway) + REROUTE_RETRY_USEC;
	if (!urgent)
		return;
	attempt->reroute_not_before = 0;
	if (!gateway_reroute(request, reason))
		gateway_attempt_give_up(request, reason);
}

/*
 * Handles the response to a reroute order. If the response is lost, the order
 * may still have been carried out, so no further order is sent to this
 * attempt.
 */
static void
on_rerouted(const struct backend_call_result *result, void *arg)
{
	struct gateway_reroute *reroute = arg;
	struct gateway_request *request = reroute->request;
	struct gateway *gateway = reroute->gateway;
	enum adapter_order_outcome outcome =
	    gateway->config.adapter->order_outcome(result->http_status);
	const char *reason = reroute->reason;
	bool urgent = reroute->urgent;

	gateway_note_response(gateway, reroute->server, &result->notice);
	if (request == NULL) {
		g_free(reroute);
		return;
	}
	if (result->status == STATUS_OK && outcome == ADAPTER_ORDER_ACCEPTED) {
		log_reroute(reroute, "taken");
		apply_path(reroute);
		gateway_reroute_detach(&request->attempt);
		g_free(reroute);
		return;
	}
	log_reroute(reroute,
	    result->status == STATUS_OK ? "refused"
					: status_name(result->status));
	gateway_reroute_detach(&request->attempt);
	g_free(reroute);
	if (result->status == STATUS_OK)
		avoid_refusing_server(gateway, result->body);
	else
		request->attempt.reroute_failures = REROUTE_FAILURES_MAX;
	handle_failed_reroute(request, reason, urgent);
}

/*
 * Returns the expected remaining duration of a stream in microseconds.
 */
static int64_t
remaining_usec(const struct gateway_request *request)
{
	const struct fleet_engine *engine = request->service->engine;
	int64_t events =
	    gateway_estimate_output(request) / MAX(engine->stride, 1u);
	int64_t left = MAX(events - (int64_t)request->events, 1);

	return left * request->attempt.event_usec;
}

/*
 * Returns the row of a server in the path table. For a server that is no
 * longer listed it returns the row after the last one, which is marked
 * unusable.
 */
static uint32_t
find_row(const GPtrArray *servers, const struct pool_server *server)
{
	guint row = servers->len;

	g_ptr_array_find((GPtrArray *)servers, server, &row);
	return row;
}

/*
 * Returns how often the path of an attempt crosses between data centres.
 */
static uint32_t
count_crossings(const struct gateway_attempt *attempt)
{
	uint32_t count = 0;

	for (uint32_t i = 1; i < attempt->stage_count; i++)
		count += strcmp(attempt->stages[i - 1].server->info.zone,
			     attempt->stages[i].server->info.zone) != 0;
	return count;
}

/*
 * Repairs a path within its data centres. A failed path may also be moved
 * across data centres if this node's link budget is not used up, which is
 * charged because the new servers read all previous tokens over the link.
 */
static enum status
repair_path(const struct gateway_request *request,
    const struct path_server *rows, size_t count, const struct path *old,
    bool urgent, struct path *repaired)
{
	const struct gateway_attempt *attempt = &request->attempt;
	const struct fleet_engine *engine = request->service->engine;
	struct path_demand demand = {
	    .prompt_tokens = request->info.prompt_tokens
		? request->info.prompt_tokens
		: engine->usual_prompt_tokens,
	    .output_tokens = gateway_estimate_output(request),
	    .zone = request->gateway->config.place};
	double *link_budget = gateway_link_budget(request);
	enum status status =
	    path_repair(engine, rows, count, &demand, old, repaired);
	uint32_t crossings = count_crossings(attempt);

	if (status == STATUS_OK || !urgent || *link_budget <= 0)
		return status;
	demand.may_cross = true;
	status = path_repair(engine, rows, count, &demand, old, repaired);
	if (status == STATUS_OK && repaired->crossings > crossings)
		*link_budget -= (double)(repaired->crossings - crossings) *
		    (double)attempt->tokens * (double)engine->activation_bytes;
	return status;
}

/*
 * Finds a path that replaces the unusable servers of the current one.
 */
static enum status
find_path(
    const struct gateway_request *request, struct gateway_reroute *reroute)
{
	struct gateway *gateway = request->gateway;
	const struct gateway_attempt *attempt = &request->attempt;
	const struct fleet_engine *engine = request->service->engine;
	GPtrArray *servers =
	    pool_service_servers(gateway->config.pool, request->service->name);
	struct path_server *rows = g_new0(struct path_server, servers->len + 1);
	struct path old = {.count = attempt->stage_count};
	struct path repaired = {.count = 0};
	enum status status;

	pool_path_table(
	    servers, engine, gateway_now(gateway), rows, servers->len);
	for (uint32_t i = 0; i < old.count; i++)
		old.stages[i] = (struct path_stage){
		    find_row(servers, attempt->stages[i].server),
		    attempt->stages[i].layer_from, attempt->stages[i].layer_to};
	/* The first server already has the request, even if it accepts no
	 * new ones. */
	if (old.stages[0].server < servers->len &&
	    attempt->server->avoid_until <= gateway_now(gateway))
		rows[old.stages[0].server].usable = true;
	status = repair_path(
	    request, rows, servers->len + 1, &old, reroute->urgent, &repaired);
	if (status == STATUS_OK) {
		reroute->stage_count = repaired.count;
		reroute->event_usec = repaired.event_usec;
		for (uint32_t i = 0; i < repaired.count; i++)
			reroute->stages[i] = (struct gateway_stage){
			    g_ptr_array_index(
				servers, repaired.stages[i].server),
			    repaired.stages[i].layer_from,
			    repaired.stages[i].layer_to};
	}
	g_free(rows);
	g_ptr_array_free(servers, TRUE);
	return status;
}

/*
 * Sends the reroute order to the first server of the path.
 */
static bool
send_reroute_order(
    struct gateway_request *request, struct gateway_reroute *reroute)
{
	struct gateway *gateway = request->gateway;
	struct pool_server *server = request->attempt.server;
	struct adapter_stage stages[FLEET_STAGES_MAX];
	struct adapter_reroute order = {
	    request->id, stages, reroute->stage_count};
	struct lstr_buf text = {0};
	bool sent;

	for (uint32_t i = 0; i < reroute->stage_count; i++)
		stages[i] = (struct adapter_stage){
		    reroute->stages[i].server->info.address_text,
		    reroute->stages[i].layer_from, reroute->stages[i].layer_to};
	gateway->config.adapter->encode_reroute(
	    server->info.address_text, server->info.id, &order, &text);
	reroute->server = server;
	sent = backend_call_start(gateway->config.h1, gateway->config.loop,
	    gateway->config.adapter, &server->info.address,
	    lstr_buf_view(&text), gateway_now(gateway) + REROUTE_TIMEOUT_USEC,
	    on_rerouted, reroute);
	lstr_buf_free(&text);
	return sent;
}

/*
 * Orders the first server of a stream's path to continue along another path.
 * Returns false if no order could be sent and none is pending.
 */
static bool
reroute_stream(struct gateway_request *request, const char *reason, bool urgent)
{
	struct gateway_attempt *attempt = &request->attempt;
	struct gateway_reroute *reroute;

	if (attempt->reroute != NULL)
		return true;
	if (attempt->stage_count < 2 || attempt->connecting ||
	    pool_refuses(attempt->server, gateway_now(request->gateway)) ||
	    attempt->reroute_failures >= REROUTE_FAILURES_MAX ||
	    attempt->reroute_not_before > gateway_now(request->gateway))
		return false;
	reroute = g_new0(struct gateway_reroute, 1);
	reroute->gateway = request->gateway;
	reroute->request = request;
	reroute->reason = reason;
	reroute->urgent = urgent;
	if (find_path(request, reroute) != STATUS_OK ||
	    !send_reroute_order(request, reroute)) {
		g_free(reroute);
		return false;
	}
	attempt->reroute = reroute;
	return true;
}

/*
 * Reroutes a stream whose path has failed after its first server. Returns
 * false, leaving the stream unchanged, if no reroute can be started.
 */
bool
gateway_reroute(struct gateway_request *request, const char *reason)
{
	return reroute_stream(request, reason, true);
}

/*
 * Moves a stream whose next event is overdue if a server of its path after the
 * first one has ended, by the evidence of this node or a peer. If no other path
 * takes it over, it waits for the limits of gateway_stream_tick(): a new
 * attempt consumes a retry of the common budget. Returns whether it was moved.
 */
bool
gateway_reroute_ended(struct gateway_request *request, int64_t now)
{
	struct gateway_attempt *attempt = &request->attempt;
	int64_t expected = request->last_event_at > attempt->sent_at
	    ? attempt->event_usec
	    : attempt->first_usec;
	bool ended = false;

	if (attempt->reroute_not_before > now ||
	    now - attempt->last_progress_at < findings_pause_usec(expected))
		return false;
	for (uint32_t i = 1; i < attempt->stage_count && !ended; i++)
		ended = pool_has_ended(attempt->stages[i].server, now);
	if (!ended)
		return false;
	if (gateway_reroute(request, "a server of the path has ended")) {
		request->gateway->counts.moved_from_ended++;
		return true;
	}
	attempt->reroute_not_before = now + GATEWAY_GIVE_UP_USEC;
	return false;
}

/*
 * Reroutes a stream that would outlast a draining or removed server of its
 * path.
 */
void
gateway_reroute_draining(struct gateway_request *request, int64_t now)
{
	struct gateway_attempt *attempt = &request->attempt;

	if (attempt->reroute != NULL || attempt->reroute_not_before > now)
		return;
	for (uint32_t i = 1; i < attempt->stage_count; i++) {
		const struct pool_server *server = attempt->stages[i].server;

		if (server->stops_at == 0 ||
		    !admit_outlasts(
			remaining_usec(request), server->stops_at - now))
			continue;
		if (!reroute_stream(request, "a server is leaving", false))
			attempt->reroute_not_before = now + REROUTE_RETRY_USEC;
		return;
	}
}
