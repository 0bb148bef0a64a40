#include "gateway_priv.h"
#include "returns.h"

/*
 * Demand of this node's requests for the engines, and the room that is kept for
 * the more urgent ones; the decisions are those of demand.h and headroom.h.
 */

/* The expected use of all nodes is computed again after this time; reports
 * arrive five times a second. */
#define HEADROOM_USEC (100 * LOOP_USEC_PER_MSEC)
/* A caller that has less than this part of its route's time limit left was
 * refused before and has waited. One that returns at once has more, and is
 * treated like a new one, as are new callers whose limit is a little shorter
 * than that of the route. */
#define RETURNED_TIME_SHARE 0.8

G_STATIC_ASSERT((unsigned int)DEMAND_CLASSES == SCHED_CLASSES);

/*
 * Updates the demand at this node to the present time.
 */
static void
update_demand(struct gateway_service *service, int64_t now)
{
	demand_decay(&service->demand, now);
	for (uint32_t i = 0; i < SCHED_CLASSES; i++)
		demand_set_waiting(
		    &service->demand, i, sched_class_cost(service->queue, i));
}

/*
 * Records the arrival of a generation.
 */
void
gateway_note_arrival(const struct gateway_request *request)
{
	const struct fleet_engine *engine = request->service->engine;
	struct gateway_service *service =
	    gateway_service(request->gateway, request->service->name);
	uint32_t prompt = request->info.prompt_tokens
	    ? request->info.prompt_tokens
	    : engine->usual_prompt_tokens;

	demand_add_arrival(&service->demand, request->priority,
	    (int64_t)prompt + gateway_estimate_output(request),
	    gateway_now(request->gateway));
}

/*
 * Records that the attempt of a generation starts (sign 1) or ends (sign -1).
 */
void
gateway_note_use(const struct gateway_request *request, int sign)
{
	const struct gateway_attempt *attempt = &request->attempt;
	struct gateway_service *service;

	if (attempt->stage_count == 0)
		return;
	service = gateway_service(request->gateway, request->service->name);
	demand_add_use(
	    &service->demand, request->priority, sign * attempt->tokens);
	if (sign < 0)
		demand_add_hold(&service->demand,
		    gateway_now(request->gateway) - attempt->sent_at);
}

/*
 * Returns whether a request was refused before and its caller has waited before
 * it returned.
 */
bool
gateway_has_returned(const struct gateway_request *request)
{
	return request->route->timeout_usec > 0 &&
	    (double)(request->deadline - request->arrived_at) <
	    RETURNED_TIME_SHARE * (double)request->route->timeout_usec;
}

/*
 * Returns the expected and present use of a service's engines by the requests
 * of all nodes. rows is the present table of its servers.
 */
const struct headroom *
gateway_headroom(struct gateway *gateway, const struct fleet_service *service,
    const struct path_server *rows, size_t count)
{
	struct gateway_service *state = gateway_service(gateway, service->name);
	int64_t now = gateway_now(gateway);
	struct demand_total total;

	if (state->headroom_at != 0 && now - state->headroom_at < HEADROOM_USEC)
		return &state->headroom;
	state->headroom_at = now;
	update_demand(state, now);
	total = state->demand.own;
	gossip_add_demand(gateway->config.gossip,
	    pool_hash(lstr_from(service->name)), &total);
	headroom_update(&state->headroom, &total,
	    demand_hold_usec(&state->demand),
	    headroom_capacity(service->engine, rows, count));
	return &state->headroom;
}

/*
 * Fills in the demand at this node for its report. Returns the number of rows.
 */
size_t
gateway_get_demand(
    struct gateway *gateway, struct gossip_demand *rows, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, gateway->services);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gateway_service *service = value;

		/* Plain services have none. */
		if (service->demand.updated_at == 0)
			continue;
		update_demand(service, gateway_now(gateway));
		rows[count].service = pool_hash(lstr_from(service->name));
		rows[count++].total = service->demand.own;
	}
	return count;
}
