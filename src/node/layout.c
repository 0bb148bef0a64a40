#include <stdlib.h>
#include <string.h>

#include "layout.h"
#include "path.h"

/* Used if the configuration states no usual token counts. */
#define USUAL_TOKENS_DEFAULT 1000
/* Throughput assumed for a layer that no server holds; far below that of any
 * layer that is held. */
#define THROUGHPUT_MIN 1.0
/* Ranges whose relative gains differ by less than this count as equal; the
 * first one, which has the fewest layers, is used. */
#define GAIN_TOLERANCE 1e-9

/* Which layers the servers of a group hold together. */
struct coverage {
	const struct fleet_engine *engine;
	/* Number of servers that hold each layer. */
	uint32_t holders[FLEET_LAYERS_MAX];
	/* Sum of layer_throughput() over the holders of each layer. */
	double throughput[FLEET_LAYERS_MAX];
	/* No server of the group held any layer before planning. */
	bool initial_placement;
};

/*
 * Returns how many layers fit on an accelerator of a kind when memory for a
 * number of requests of the usual size is reserved.
 */
uint32_t
layout_capacity(const struct fleet_engine *engine,
    const struct fleet_kind_info *kind, uint32_t requests)
{
	int64_t tokens =
	    engine->usual_prompt_tokens + engine->usual_output_tokens;
	double layer_bytes;
	int64_t layers;

	if (tokens == 0)
		tokens = USUAL_TOKENS_DEFAULT;
	layer_bytes = (double)engine->layer_bytes +
	    (double)(tokens * requests) * (double)engine->token_bytes /
		(double)engine->layers;
	layers = (int64_t)((double)kind->memory_bytes / layer_bytes);
	if (layers > engine->layers)
		layers = engine->layers;
	return layers > 0 ? (uint32_t)layers : 0;
}

/*
 * Returns the sum of layout_capacity() over the servers of a group.
 */
static uint64_t
group_capacity(const struct fleet_engine *engine,
    struct layout_server *const *servers, size_t count, uint32_t requests)
{
	uint64_t layers = 0;

	for (size_t i = 0; i < count; i++)
		layers += layout_capacity(engine, servers[i]->kind, requests);
	return layers;
}

/*
 * Returns the largest number of requests for which a group can reserve memory
 * and still hold LAYOUT_COPIES of the model; at least LAYOUT_REQUESTS_MIN.
 */
static uint32_t
choose_requests(const struct fleet_engine *engine,
    struct layout_server *const *servers, size_t count)
{
	uint32_t requests = LAYOUT_REQUESTS;

	while (requests > LAYOUT_REQUESTS_MIN &&
	    (double)group_capacity(engine, servers, count, requests) <
		LAYOUT_COPIES * engine->layers)
		requests--;
	return requests;
}

/*
 * Compares servers by speed, fastest first, then by identifier, so that every
 * planner fills them in the same order.
 */
static int
compare_servers(const void *a, const void *b)
{
	const struct layout_server *x = *(struct layout_server *const *)a;
	const struct layout_server *y = *(struct layout_server *const *)b;

	if (x->kind->step_factor != y->kind->step_factor)
		return x->kind->step_factor < y->kind->step_factor ? -1 : 1;
	return strcmp(x->id, y->id);
}

/*
 * Returns the relative throughput that a server contributes to each of the
 * layers that it holds: memory for requests, in tokens, divided by its step
 * time factor.
 */
static double
layer_throughput(const struct fleet_engine *engine,
    const struct fleet_kind_info *kind, uint32_t layers)
{
	if (layers == 0)
		return 0;
	return (double)path_server_memory(engine, kind, layers) / layers /
	    kind->step_factor;
}

/*
 * Adds a server's range to the coverage (by 1) or removes it (by -1).
 */
static void
update_coverage(
    struct coverage *coverage, const struct layout_server *server, int by)
{
	double throughput = layer_throughput(coverage->engine, server->kind,
	    server->layer_to - server->layer_from);

	for (uint32_t i = server->layer_from; i < server->layer_to; i++) {
		coverage->holders[i] += (uint32_t)by;
		coverage->throughput[i] += by * throughput;
	}
}

/*
 * Returns the benefit of adding throughput to a layer. The reciprocal favours
 * the layers with the least throughput, since they limit that of all paths.
 */
static double
gain(double throughput, double added)
{
	throughput = MAX(throughput, THROUGHPUT_MIN);
	return 1 / throughput - 1 / (throughput + added);
}

/*
 * Assigns a server the range of layers with the largest total gain: layers
 * that no server holds first, then those with little memory or only on slow
 * servers.
 */
static void
assign_max_gain(
    struct coverage *state, struct layout_server *server, uint32_t capacity)
{
	const struct fleet_engine *engine = state->engine;
	double best = 0;

	for (uint32_t layers = 1; layers <= capacity; layers++) {
		double added = layer_throughput(engine, server->kind, layers);
		double sum = 0;

		for (uint32_t to = 1; to <= engine->layers; to++) {
			sum += gain(state->throughput[to - 1], added);
			if (to < layers)
				continue;
			if (sum > best * (1 + GAIN_TOLERANCE)) {
				best = sum;
				server->layer_from = to - layers;
				server->layer_to = to;
			}
			sum -= gain(state->throughput[to - layers], added);
		}
	}
}

/*
 * Assigns a server the first run of layers that the fewest servers hold, up to
 * its capacity or the end of the run. Ranges of different servers then match,
 * so that most servers beyond the first copy are redundant and available when
 * a gap has to be closed.
 */
static void
assign_least_held(
    struct coverage *state, struct layout_server *server, uint32_t capacity)
{
	const uint32_t *holders = state->holders;
	uint32_t layers = state->engine->layers;
	uint32_t from = 0;
	uint32_t to;

	for (uint32_t i = 1; i < layers; i++) {
		if (holders[i] < holders[from])
			from = i;
	}
	for (to = from; to < layers && holders[to] == holders[from] &&
	     to - from < capacity;
	     to++)
		;
	server->layer_from = from;
	server->layer_to = to;
}

/*
 * Assigns layers to a server: run by run in the initial placement, and where
 * the gain is largest later.
 */
static void
assign(struct coverage *state, struct layout_server *server, uint32_t capacity)
{
	if (state->initial_placement)
		assign_least_held(state, server, capacity);
	else
		assign_max_gain(state, server, capacity);
	server->order = true;
	update_coverage(state, server, 1);
}

/*
 * Assigns the first layers to empty servers of the slowest kind of a group
 * until LAYOUT_FIRST_SERVERS servers hold them. A first-stage server may run
 * few layers, so its speed matters least; faster servers are more useful
 * elsewhere. Returns the number of orders.
 */
static size_t
assign_first_layers(const struct fleet_engine *engine,
    struct layout_server **sorted, size_t count, uint32_t requests,
    struct coverage *state)
{
	size_t orders = 0;

	for (size_t i = count;
	     i-- > 0 && state->holders[0] < LAYOUT_FIRST_SERVERS;) {
		struct layout_server *server = sorted[i];
		uint32_t capacity =
		    layout_capacity(engine, server->kind, requests);

		if (!server->orderable || capacity == 0 ||
		    server->layer_from != server->layer_to ||
		    server->kind->step_factor !=
			sorted[count - 1]->kind->step_factor)
			continue;
		server->layer_from = 0;
		server->layer_to = capacity;
		server->order = true;
		update_coverage(state, server, 1);
		orders++;
	}
	return orders;
}

/*
 * Returns the smallest number of holders of any layer.
 */
static uint32_t
least_held(const struct fleet_engine *engine, const uint32_t *holders)
{
	uint32_t least = UINT32_MAX;

	for (uint32_t i = 0; i < engine->layers; i++)
		least = holders[i] < least ? holders[i] : least;
	return least;
}

/*
 * Returns the smallest number of holders of any layer in a server's range.
 */
static uint32_t
least_in_range(const struct layout_server *server, const uint32_t *holders)
{
	uint32_t least = UINT32_MAX;

	for (uint32_t i = server->layer_from; i < server->layer_to; i++)
		least = holders[i] < least ? holders[i] : least;
	return least;
}

/*
 * Returns true if a server can release its layers because other servers hold
 * all of them.
 */
static bool
is_redundant(const struct layout_server *server, const uint32_t *holders)
{
	return server->orderable && !server->order &&
	    server->layer_from != server->layer_to &&
	    least_in_range(server, holders) > 1;
}

/*
 * Returns the redundant server whose layers have the most other holders, or
 * NULL if there is none.
 */
static struct layout_server *
find_redundant(
    struct layout_server **sorted, size_t count, const uint32_t *holders)
{
	struct layout_server *best = NULL;

	for (size_t i = 0; i < count; i++) {
		if (is_redundant(sorted[i], holders) &&
		    (best == NULL ||
			least_in_range(sorted[i], holders) >
			    least_in_range(best, holders)))
			best = sorted[i];
	}
	return best;
}

/*
 * Returns the number of requests for which servers that take over missing
 * layers reserve memory. It is lowered to LAYOUT_REQUESTS_MIN if the redundant
 * servers could not hold all missing layers otherwise.
 */
static uint32_t
gap_requests(const struct fleet_engine *engine, struct layout_server **sorted,
    size_t count, uint32_t requests, const uint32_t *holders)
{
	uint32_t remaining[FLEET_LAYERS_MAX];
	uint64_t capacity = 0;
	uint32_t unheld = 0;

	memcpy(remaining, holders, sizeof(remaining));
	for (uint32_t i = 0; i < engine->layers; i++)
		unheld += holders[i] == 0;
	for (size_t i = 0; i < count; i++) {
		/* One of several holders of the same layers must remain. */
		if (!is_redundant(sorted[i], remaining))
			continue;
		for (uint32_t k = sorted[i]->layer_from;
		     k < sorted[i]->layer_to; k++)
			remaining[k]--;
		capacity += layout_capacity(engine, sorted[i]->kind, requests);
	}
	return capacity >= unheld ? requests : LAYOUT_REQUESTS_MIN;
}

/*
 * Extends a server's range into adjacent missing layers, as far as memory for
 * LAYOUT_REQUESTS_MIN requests remains. Returns false if it cannot be extended.
 */
static bool
extend_range(struct coverage *state, struct layout_server *server)
{
	uint32_t layers_max =
	    layout_capacity(state->engine, server->kind, LAYOUT_REQUESTS_MIN);
	uint32_t from = server->layer_from;
	uint32_t to = server->layer_to;

	if (!server->orderable || from == to)
		return false;
	while (to - from < layers_max && to < state->engine->layers &&
	    state->holders[to] == 0)
		to++;
	while (
	    to - from < layers_max && from > 0 && state->holders[from - 1] == 0)
		from--;
	if (from == server->layer_from && to == server->layer_to)
		return false;
	update_coverage(state, server, -1);
	server->layer_from = from;
	server->layer_to = to;
	server->order = true;
	update_coverage(state, server, 1);
	return true;
}

/*
 * Extends servers next to gaps that no redundant server could close. Returns
 * the number of additional orders.
 */
static size_t
extend_into_gaps(
    struct layout_server **sorted, size_t count, struct coverage *state)
{
	size_t orders = 0;

	for (size_t i = 0;
	     i < count && least_held(state->engine, state->holders) == 0; i++) {
		bool ordered = sorted[i]->order;

		if (extend_range(state, sorted[i]))
			orders += !ordered;
	}
	return orders;
}

/*
 * Moves redundant servers to layers that no server holds. Returns the number of
 * orders.
 */
static size_t
close_gaps(const struct fleet_engine *engine, struct layout_server **sorted,
    size_t count, uint32_t requests, struct coverage *state)
{
	const uint32_t *holders = state->holders;
	size_t orders = 0;

	while (least_held(engine, holders) == 0) {
		struct layout_server *server =
		    find_redundant(sorted, count, holders);
		uint32_t capacity;

		if (server == NULL)
			break;
		capacity = layout_capacity(engine, server->kind,
		    gap_requests(engine, sorted, count, requests, holders));
		if (capacity == 0)
			break;
		update_coverage(state, server, -1);
		assign(state, server, capacity);
		orders++;
	}
	return orders;
}

/*
 * Plans the orders for one group of servers, which must be sorted by speed.
 * Returns the number of orders.
 */
static size_t
plan_group(const struct fleet_engine *engine, struct layout_server **sorted,
    size_t count)
{
	struct coverage state = {.engine = engine};
	uint32_t requests = choose_requests(engine, sorted, count);
	size_t orders = 0;
	bool first_layers_assigned = false;
	bool any_held = false;

	for (size_t i = 0; i < count; i++) {
		update_coverage(&state, sorted[i], 1);
		any_held =
		    any_held || sorted[i]->layer_to > sorted[i]->layer_from;
	}
	state.initial_placement = !any_held;
	for (size_t i = 0; i < count; i++) {
		uint32_t capacity =
		    layout_capacity(engine, sorted[i]->kind, requests);

		/* The first copy goes to the fastest servers; after that,
		 * enough servers must hold the first layers. */
		if (!first_layers_assigned &&
		    least_held(engine, state.holders) > 0) {
			first_layers_assigned = true;
			orders += assign_first_layers(
			    engine, sorted, count, requests, &state);
		}
		if (!sorted[i]->orderable || capacity == 0 ||
		    sorted[i]->layer_from != sorted[i]->layer_to)
			continue;
		assign(&state, sorted[i], capacity);
		orders++;
	}
	orders += close_gaps(engine, sorted, count, requests, &state);
	return orders + extend_into_gaps(sorted, count, &state);
}

/*
 * Moves the servers of one data centre to the front and returns their number.
 */
static size_t
move_zone_to_front(
    struct layout_server **servers, size_t count, const char *place)
{
	size_t found = 0;

	for (size_t i = 0; i < count; i++) {
		struct layout_server *server = servers[i];

		if (strcmp(server->place, place) != 0)
			continue;
		memmove(&servers[found + 1], &servers[found],
		    (i - found) * sizeof(struct layout_server *));
		servers[found++] = server;
	}
	return found;
}

/*
 * Plans orders for the servers of one engine and marks them in the table.
 * Returns the number of orders. Each data centre that can hold the model is a
 * group of its own; all others together form one group.
 */
size_t
layout_plan(const struct fleet_engine *engine, struct layout_server *servers,
    size_t count)
{
	struct layout_server **sorted = g_new0(struct layout_server *, count);
	struct layout_server **ungrouped =
	    g_new0(struct layout_server *, count);
	size_t remaining = count;
	size_t ungrouped_count = 0;
	size_t orders = 0;

	for (size_t i = 0; i < count; i++) {
		servers[i].order = false;
		sorted[i] = &servers[i];
	}
	qsort(sorted, count, sizeof(struct layout_server *), compare_servers);
	while (remaining > 0) {
		struct layout_server **group = sorted + (count - remaining);
		size_t size =
		    move_zone_to_front(group, remaining, group[0]->place);

		remaining -= size;
		if (group_capacity(engine, group, size, LAYOUT_REQUESTS_MIN) >=
		    engine->layers) {
			orders += plan_group(engine, group, size);
			continue;
		}
		memcpy(ungrouped + ungrouped_count, group,
		    size * sizeof(struct layout_server *));
		ungrouped_count += size;
	}
	qsort(ungrouped, ungrouped_count, sizeof(struct layout_server *),
	    compare_servers);
	orders += plan_group(engine, ungrouped, ungrouped_count);
	g_free(sorted);
	g_free(ungrouped);
	return orders;
}
