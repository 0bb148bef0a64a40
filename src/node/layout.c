#include <stdlib.h>
#include <string.h>

#include "layout.h"
#include "path.h"

/* Used where a configuration states no usual sizes. */
#define USUAL_TOKENS_DEFAULT 1000
/* Strength of a layer that nobody holds, in tokens: far below any other. */
#define STRENGTH_MIN 1.0
/* Ranges whose gains differ by less are taken as equal: the first one, with
 * the fewest layers, is used. */
#define GAIN_TIE 1e-9

/* What the servers of a group hold together. */
struct cover {
	const struct fleet_engine *engine;
	uint32_t holders[FLEET_LAYERS_MAX];
	/* Of each layer, see strength_of(). */
	double strength[FLEET_LAYERS_MAX];
	/* No server of the group held any layer. */
	bool first_placement;
};

/*
 * Returns how many layers a kind holds beside memory for a number of requests
 * of the usual size.
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
 * Returns how many layers the servers of a group hold together beside memory
 * for a number of requests.
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
 * Returns the largest number of requests for which a group has memory beside
 * the wanted number of copies.
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
 * Orders servers by speed, then by identifier, so that every planner fills
 * them in the same order.
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
 * Returns what a server gives each of the layers that it holds: memory for
 * requests, in tokens, over the time that a step takes there.
 */
static double
strength_of(const struct fleet_engine *engine,
    const struct fleet_kind_info *kind, uint32_t layers)
{
	if (layers == 0)
		return 0;
	return (double)path_server_memory(engine, kind, layers) / layers /
	    kind->step_factor;
}

/*
 * Adds a server's range to the cover of each layer, or takes it out.
 */
static void
cover(struct cover *cover, const struct layout_server *server, int by)
{
	double strength = strength_of(
	    cover->engine, server->kind, server->layer_to - server->layer_from);

	for (uint32_t i = server->layer_from; i < server->layer_to; i++) {
		cover->holders[i] += (uint32_t)by;
		cover->strength[i] += by * strength;
	}
}

/*
 * Returns how much a group gains when a layer of a given strength gets more:
 * the weakest layers bound what all paths together carry.
 */
static double
gain(double strength, double more)
{
	strength = MAX(strength, STRENGTH_MIN);
	return 1 / strength - 1 / (strength + more);
}

/*
 * Gives a server the range of layers from which its group gains most: layers
 * that nobody holds, then those with little memory or on slow servers only.
 */
static void
assign_weakest(
    struct cover *state, struct layout_server *server, uint32_t capacity)
{
	const struct fleet_engine *engine = state->engine;
	double best = 0;

	for (uint32_t layers = 1; layers <= capacity; layers++) {
		double more = strength_of(engine, server->kind, layers);
		double sum = 0;

		for (uint32_t to = 1; to <= engine->layers; to++) {
			sum += gain(state->strength[to - 1], more);
			if (to < layers)
				continue;
			if (sum > best * (1 + GAIN_TIE)) {
				best = sum;
				server->layer_from = to - layers;
				server->layer_to = to;
			}
			sum -= gain(state->strength[to - layers], more);
		}
	}
}

/*
 * Gives a server the first layers that the fewest servers hold: as many as it
 * has room for, up to the end of their run. Ranges then match, so that most
 * servers beyond the first copy can be spared when a gap is to be closed.
 */
static void
assign_next(
    struct cover *state, struct layout_server *server, uint32_t capacity)
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
 * Gives a server layers: in the first placement run by run, later where they
 * are needed most.
 */
static void
assign(struct cover *state, struct layout_server *server, uint32_t capacity)
{
	if (state->first_placement)
		assign_next(state, server, capacity);
	else
		assign_weakest(state, server, capacity);
	server->order = true;
	cover(state, server, 1);
}

/*
 * Gives empty servers of the slowest kind of a group the first layers, if too
 * few hold them. A first server may run few layers, so its speed matters least;
 * a faster one is of more use elsewhere.
 */
static size_t
assign_heads(const struct fleet_engine *engine, struct layout_server **order,
    size_t count, uint32_t requests, struct cover *state)
{
	size_t orders = 0;

	for (size_t i = count; i-- > 0 && state->holders[0] < LAYOUT_HEADS;) {
		struct layout_server *server = order[i];
		uint32_t capacity =
		    layout_capacity(engine, server->kind, requests);

		if (!server->orderable || capacity == 0 ||
		    server->layer_from != server->layer_to ||
		    server->kind->step_factor !=
			order[count - 1]->kind->step_factor)
			continue;
		server->layer_from = 0;
		server->layer_to = capacity;
		server->order = true;
		cover(state, server, 1);
		orders++;
	}
	return orders;
}

/*
 * Returns how many servers hold the layer that the fewest hold.
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
 * Returns how many hold the layer of a server's range that the fewest hold.
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
 * Tells whether a server can give up its layers: others hold all of them.
 */
static bool
is_redundant(const struct layout_server *server, const uint32_t *holders)
{
	return server->orderable && !server->order &&
	    server->layer_from != server->layer_to &&
	    least_in_range(server, holders) > 1;
}

/*
 * Finds the server that can best give up its layers; NULL: there is none.
 */
static struct layout_server *
find_redundant(
    struct layout_server **order, size_t count, const uint32_t *holders)
{
	struct layout_server *best = NULL;

	for (size_t i = 0; i < count; i++) {
		if (is_redundant(order[i], holders) &&
		    (best == NULL ||
			least_in_range(order[i], holders) >
			    least_in_range(best, holders)))
			best = order[i];
	}
	return best;
}

/*
 * Returns the number of requests for which servers that take over layers held
 * nowhere keep memory: fewer where the redundant servers cannot hold them all
 * otherwise.
 */
static uint32_t
gap_requests(const struct fleet_engine *engine, struct layout_server **order,
    size_t count, uint32_t requests, const uint32_t *holders)
{
	uint32_t left[FLEET_LAYERS_MAX];
	uint64_t capacity = 0;
	uint32_t missing = 0;

	memcpy(left, holders, sizeof(left));
	for (uint32_t i = 0; i < engine->layers; i++)
		missing += holders[i] == 0;
	for (size_t i = 0; i < count; i++) {
		/* Of several that hold the same layers the last one stays. */
		if (!is_redundant(order[i], left))
			continue;
		for (uint32_t k = order[i]->layer_from; k < order[i]->layer_to;
		     k++)
			left[k]--;
		capacity += layout_capacity(engine, order[i]->kind, requests);
	}
	return capacity >= missing ? requests : LAYOUT_REQUESTS_MIN;
}

/*
 * Extends a server into a gap beside its range, as far as it has memory for
 * the least number of requests. Returns false when it cannot be extended.
 */
static bool
extend(struct cover *state, struct layout_server *server)
{
	uint32_t most =
	    layout_capacity(state->engine, server->kind, LAYOUT_REQUESTS_MIN);
	uint32_t from = server->layer_from;
	uint32_t to = server->layer_to;

	if (!server->orderable || from == to)
		return false;
	while (to - from < most && to < state->engine->layers &&
	    state->holders[to] == 0)
		to++;
	while (to - from < most && from > 0 && state->holders[from - 1] == 0)
		from--;
	if (from == server->layer_from && to == server->layer_to)
		return false;
	cover(state, server, -1);
	server->layer_from = from;
	server->layer_to = to;
	server->order = true;
	cover(state, server, 1);
	return true;
}

/*
 * Extends servers beside gaps that no redundant server is left for.
 */
static size_t
extend_into_gaps(
    struct layout_server **order, size_t count, struct cover *state)
{
	size_t orders = 0;

	for (size_t i = 0;
	     i < count && least_held(state->engine, state->holders) == 0; i++) {
		bool ordered = order[i]->order;

		if (extend(state, order[i]))
			orders += !ordered;
	}
	return orders;
}

/*
 * Moves redundant servers to layers that nobody holds.
 */
static size_t
close_gaps(const struct fleet_engine *engine, struct layout_server **order,
    size_t count, uint32_t requests, struct cover *state)
{
	const uint32_t *holders = state->holders;
	size_t orders = 0;

	while (least_held(engine, holders) == 0) {
		struct layout_server *server =
		    find_redundant(order, count, holders);
		uint32_t capacity;

		if (server == NULL)
			break;
		capacity = layout_capacity(engine, server->kind,
		    gap_requests(engine, order, count, requests, holders));
		if (capacity == 0)
			break;
		cover(state, server, -1);
		assign(state, server, capacity);
		orders++;
	}
	return orders;
}

/*
 * Plans the orders for one group of servers, which is in order of speed.
 */
static size_t
plan_group(const struct fleet_engine *engine, struct layout_server **order,
    size_t count)
{
	struct cover state = {.engine = engine};
	uint32_t requests = choose_requests(engine, order, count);
	size_t orders = 0;
	bool headed = false;
	bool held = false;

	for (size_t i = 0; i < count; i++) {
		cover(&state, order[i], 1);
		held = held || order[i]->layer_to > order[i]->layer_from;
	}
	state.first_placement = !held;
	for (size_t i = 0; i < count; i++) {
		uint32_t capacity =
		    layout_capacity(engine, order[i]->kind, requests);

		/* The first copy is on the fastest; then come first layers. */
		if (!headed && least_held(engine, state.holders) > 0) {
			headed = true;
			orders += assign_heads(
			    engine, order, count, requests, &state);
		}
		if (!order[i]->orderable || capacity == 0 ||
		    order[i]->layer_from != order[i]->layer_to)
			continue;
		assign(&state, order[i], capacity);
		orders++;
	}
	orders += close_gaps(engine, order, count, requests, &state);
	return orders + extend_into_gaps(order, count, &state);
}

/*
 * Moves the servers of one data centre to the front. Returns how many.
 */
static size_t
gather(struct layout_server **servers, size_t count, const char *place)
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
 * Plans orders for servers of one engine and marks them in the table. Returns
 * how many there are. Each data centre that can hold the model is a group;
 * the others form one together.
 */
size_t
layout_plan(const struct fleet_engine *engine, struct layout_server *servers,
    size_t count)
{
	struct layout_server **order = g_new0(struct layout_server *, count);
	struct layout_server **rest = g_new0(struct layout_server *, count);
	size_t left = count;
	size_t rest_count = 0;
	size_t orders = 0;

	for (size_t i = 0; i < count; i++) {
		servers[i].order = false;
		order[i] = &servers[i];
	}
	qsort(order, count, sizeof(struct layout_server *), compare_servers);
	while (left > 0) {
		struct layout_server **group = order + (count - left);
		size_t size = gather(group, left, group[0]->place);

		left -= size;
		if (group_capacity(engine, group, size, LAYOUT_REQUESTS_MIN) >=
		    engine->layers) {
			orders += plan_group(engine, group, size);
			continue;
		}
		memcpy(rest + rest_count, group,
		    size * sizeof(struct layout_server *));
		rest_count += size;
	}
	qsort(
	    rest, rest_count, sizeof(struct layout_server *), compare_servers);
	orders += plan_group(engine, rest, rest_count);
	g_free(order);
	g_free(rest);
	return orders;
}
