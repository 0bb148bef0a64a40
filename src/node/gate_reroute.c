#include <string.h>

#include "gate_priv.h"

/*
 * Replaces servers in the middle of a path while its stream runs. The first
 * server keeps the request, and the others keep their memory of it, so nothing
 * is sent again and no retry is spent.
 */

/* A live engine answers an order within milliseconds. */
#define REROUTE_USEC (250 * LOOP_USEC_PER_MSEC)
/* Orders for one attempt that may fail; the stream is then resumed from its
 * first server on. */
#define REROUTE_FAILURES_MAX 2
/* Pause before a stream whose server is about to leave is tried again. */
#define REROUTE_PAUSE_USEC (500 * LOOP_USEC_PER_MSEC)

struct gate_reroute {
	struct gate *gate;
	/* NULL once the attempt is over. */
	struct gate_request *request;
	const char *reason;
	struct gate_stage stages[FLEET_STAGES_MAX];
	uint32_t stage_count;
	int64_t event_usec;
	/* The present path has failed: without a new one the stream is lost. */
	bool urgent;
};

/*
 * Forgets the order of an attempt that is over.
 */
void
gate_reroute_forget(struct gate_attempt *attempt)
{
	if (attempt->reroute != NULL)
		attempt->reroute->request = NULL;
	attempt->reroute = NULL;
}

/*
 * Logs the outcome of an order.
 */
static void
log_reroute(const struct gate_reroute *reroute, const char *outcome)
{
	const struct gate_request *request = reroute->request;
	const struct gate_attempt *attempt = &request->attempt;
	struct lstr_buf from = {0};
	struct lstr_buf to = {0};

	gate_path_text(attempt->stages, attempt->stage_count, &from);
	gate_path_text(reroute->stages, reroute->stage_count, &to);
	slog_event(EV_REQUEST_REROUTED, "{s:s, s:s, s:s, s:I, s:I, s:s%, s:s%}",
	    "id", request->id, "reason", reroute->reason, "outcome", outcome,
	    "last_event", (json_int_t)request->last_event, "pause_ms",
	    (json_int_t)((gate_now(reroute->gate) - attempt->progress_at) /
		LOOP_USEC_PER_MSEC),
	    "from", from.data, from.len, "to", to.data, to.len);
	lstr_buf_free(&from);
	lstr_buf_free(&to);
}

/*
 * Puts the new path in the place of the old one.
 */
static void
take_path(struct gate_reroute *reroute)
{
	struct gate_attempt *attempt = &reroute->request->attempt;

	gate_charge(attempt, -1);
	memcpy(attempt->stages, reroute->stages, sizeof(attempt->stages));
	attempt->stage_count = reroute->stage_count;
	attempt->event_usec = reroute->event_usec;
	attempt->progress_at = gate_now(reroute->gate);
	attempt->reroute_failures = 0;
	gate_charge(attempt, 1);
	reroute->gate->counts.rerouted++;
}

/*
 * Avoids the server that an engine names as the one that has no room, or that
 * no longer holds its part.
 */
static void
avoid_refusing(struct gate *gate, struct lstr body)
{
	char *address = gate->config.adapter->decode_refusing(body);
	struct pool_server *server = address == NULL
	    ? NULL
	    : pool_find_address(gate->config.pool, lstr_from(address));

	if (server != NULL)
		gate_avoid(gate, server, "cannot take over a stream");
	g_free(address);
}

/*
 * Handles an order that was not carried out: another path is tried, and at
 * last the stream is resumed from its first server on.
 */
static void
give_up(struct gate_request *request, const char *reason, bool urgent)
{
	struct gate_attempt *attempt = &request->attempt;

	attempt->reroute_failures++;
	attempt->reroute_after = gate_now(request->gate) + REROUTE_PAUSE_USEC;
	if (!urgent)
		return;
	attempt->reroute_after = 0;
	if (!gate_reroute(request, reason))
		gate_failed(request, false, reason);
}

/*
 * Takes the answer to an order. One that is lost may have been carried out;
 * the stream then shows progress, and else it is resumed elsewhere.
 */
static void
on_rerouted(const struct ask_result *result, void *arg)
{
	struct gate_reroute *reroute = arg;
	struct gate_request *request = reroute->request;
	struct gate *gate = reroute->gate;
	enum adapter_order_outcome outcome =
	    gate->config.adapter->order_outcome(result->http_status);
	const char *reason = reroute->reason;
	bool urgent = reroute->urgent;

	if (request == NULL) {
		g_free(reroute);
		return;
	}
	if (result->status == STATUS_OK && outcome == ADAPTER_ORDER_TAKEN) {
		log_reroute(reroute, "taken");
		take_path(reroute);
		gate_reroute_forget(&request->attempt);
		g_free(reroute);
		return;
	}
	log_reroute(reroute,
	    result->status == STATUS_OK ? "refused"
					: status_name(result->status));
	gate_reroute_forget(&request->attempt);
	g_free(reroute);
	if (result->status == STATUS_OK)
		avoid_refusing(gate, result->body);
	else
		request->attempt.reroute_failures = REROUTE_FAILURES_MAX;
	give_up(request, reason, urgent);
}

/*
 * Returns the expected rest of a stream.
 */
static int64_t
rest_usec(const struct gate_request *request)
{
	const struct fleet_engine *engine = request->service->engine;
	int64_t events =
	    gate_output_estimate(request) / MAX(engine->stride, 1u);
	int64_t left = MAX(events - (int64_t)request->events, 1);

	return left * request->attempt.event_usec;
}

/*
 * Finds the row of a server in the table; the row behind the last one, which
 * is not usable, for a server that is not listed any more.
 */
static uint32_t
row_of(const GPtrArray *servers, const struct pool_server *server)
{
	guint row = servers->len;

	g_ptr_array_find((GPtrArray *)servers, server, &row);
	return row;
}

/*
 * Counts how often the path of an attempt crosses between data centres.
 */
static uint32_t
count_crossings(const struct gate_attempt *attempt)
{
	uint32_t count = 0;

	for (uint32_t i = 1; i < attempt->stage_count; i++)
		count += strcmp(attempt->stages[i - 1].server->info.zone,
			     attempt->stages[i].server->info.zone) != 0;
	return count;
}

/*
 * Mends a path within its data centres. One that would be lost may cross to
 * others while this node's share of the link lasts: the new servers read all
 * tokens so far over it.
 */
static enum status
mend(const struct gate_request *request, const struct path_server *rows,
    size_t count, const struct path *old, bool urgent, struct path *mended)
{
	const struct gate_attempt *attempt = &request->attempt;
	const struct fleet_engine *engine = request->service->engine;
	struct path_demand demand = {request->info.prompt_tokens
		? request->info.prompt_tokens
		: engine->usual_prompt_tokens,
	    gate_output_estimate(request), request->gate->config.place, false};
	double *left = gate_link_account(request);
	enum status status =
	    path_mend(engine, rows, count, &demand, old, mended);
	uint32_t crossings = count_crossings(attempt);

	if (status == STATUS_OK || !urgent || *left <= 0)
		return status;
	demand.may_cross = true;
	status = path_mend(engine, rows, count, &demand, old, mended);
	if (status == STATUS_OK && mended->crossings > crossings)
		*left -= (double)(mended->crossings - crossings) *
		    (double)attempt->tokens * (double)engine->activation_bytes;
	return status;
}

/*
 * Finds a path that replaces the unusable servers of the present one.
 */
static enum status
find_path(const struct gate_request *request, struct gate_reroute *reroute)
{
	struct gate *gate = request->gate;
	const struct gate_attempt *attempt = &request->attempt;
	const struct fleet_engine *engine = request->service->engine;
	GPtrArray *servers =
	    pool_service(gate->config.pool, request->service->name);
	struct path_server *rows = g_new0(struct path_server, servers->len + 1);
	struct path old = {.count = attempt->stage_count};
	struct path mended = {.count = 0};
	enum status status;

	pool_path_table(servers, engine, gate_now(gate), rows, servers->len);
	for (uint32_t i = 0; i < old.count; i++)
		old.stages[i] = (struct path_stage){
		    row_of(servers, attempt->stages[i].server),
		    attempt->stages[i].layer_from, attempt->stages[i].layer_to};
	/* The first server has the request whether or not it takes others. */
	if (old.stages[0].server < servers->len &&
	    attempt->server->avoid_until <= gate_now(gate))
		rows[old.stages[0].server].usable = true;
	status = mend(
	    request, rows, servers->len + 1, &old, reroute->urgent, &mended);
	if (status == STATUS_OK) {
		reroute->stage_count = mended.count;
		reroute->event_usec = mended.event_usec;
		for (uint32_t i = 0; i < mended.count; i++)
			reroute->stages[i] = (struct gate_stage){
			    g_ptr_array_index(servers, mended.stages[i].server),
			    mended.stages[i].layer_from,
			    mended.stages[i].layer_to};
	}
	g_free(rows);
	g_ptr_array_free(servers, TRUE);
	return status;
}

/*
 * Sends the order to the first server of the path.
 */
static bool
send_order(struct gate_request *request, struct gate_reroute *reroute)
{
	struct gate *gate = request->gate;
	const struct pool_server *server = request->attempt.server;
	struct adapter_stage stages[FLEET_STAGES_MAX];
	struct adapter_reroute order = {
	    request->id, stages, reroute->stage_count};
	struct lstr_buf text = {0};
	bool sent;

	for (uint32_t i = 0; i < reroute->stage_count; i++)
		stages[i] = (struct adapter_stage){
		    reroute->stages[i].server->info.address_text,
		    reroute->stages[i].layer_from, reroute->stages[i].layer_to};
	gate->config.adapter->word_reroute(
	    server->info.address_text, server->info.id, &order, &text);
	sent = ask_start(gate->config.h1, gate->config.loop,
	    &server->info.address, lstr_buf_view(&text),
	    gate_now(gate) + REROUTE_USEC, on_rerouted, reroute);
	lstr_buf_free(&text);
	return sent;
}

/*
 * Orders the first server of a stream's path to go on along another one.
 */
static bool
reroute_stream(struct gate_request *request, const char *reason, bool urgent)
{
	struct gate_attempt *attempt = &request->attempt;
	struct gate_reroute *reroute;

	if (attempt->reroute != NULL)
		return true;
	if (attempt->stage_count < 2 || attempt->connecting ||
	    attempt->reroute_failures >= REROUTE_FAILURES_MAX ||
	    attempt->reroute_after > gate_now(request->gate))
		return false;
	reroute = g_new0(struct gate_reroute, 1);
	reroute->gate = request->gate;
	reroute->request = request;
	reroute->reason = reason;
	reroute->urgent = urgent;
	if (find_path(request, reroute) != STATUS_OK ||
	    !send_order(request, reroute)) {
		g_free(reroute);
		return false;
	}
	attempt->reroute = reroute;
	return true;
}

/*
 * Moves a stream whose path has failed behind its first server. Returns false
 * when that cannot be tried; the stream is as it was.
 */
bool
gate_reroute(struct gate_request *request, const char *reason)
{
	return reroute_stream(request, reason, true);
}

/*
 * Moves a stream that runs through servers which are about to leave, before
 * they do.
 */
void
gate_reroute_leaving(struct gate_request *request, int64_t now)
{
	struct gate_attempt *attempt = &request->attempt;

	if (attempt->reroute != NULL || attempt->reroute_after > now)
		return;
	for (uint32_t i = 1; i < attempt->stage_count; i++) {
		const struct pool_server *server = attempt->stages[i].server;

		if (server->leaves_at == 0 ||
		    !admit_outlasts(
			rest_usec(request), server->leaves_at - now))
			continue;
		if (!reroute_stream(request, "a server is leaving", false))
			attempt->reroute_after = now + REROUTE_PAUSE_USEC;
		return;
	}
}
