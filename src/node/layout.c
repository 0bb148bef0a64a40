#include <stdlib.h>
#include <string.h>

#include "layout.h"

/* Used where a configuration states no usual sizes. */
#define USUAL_TOKENS_DEFAULT 1000

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
 * Adds a server's range to the number of holders of each layer.
 */
static void
cover(uint32_t *holders, const struct layout_server *server, int by)
{
	for (uint32_t i = server->layer_from; i < server->layer_to; i++)
		holders[i] += (uint32_t)by;
}

/*
 * Gives a server the first layers that the fewest servers hold: as many as it
 * has room for, up to the end of their run.
 */
static void
assign(const struct fleet_engine *engine, struct layout_server *server,
    uint32_t capacity, uint32_t *holders)
{
	uint32_t least = UINT32_MAX;
	uint32_t from = 0;
	uint32_t to;

	for (uint32_t i = 0; i < engine->layers; i++) {
		if (holders[i] < least) {
			least = holders[i];
			from = i;
		}
	}
	for (to = from; to < engine->layers && holders[to] == least &&
	     to - from < capacity;
	     to++)
		;
	server->layer_from = from;
	server->layer_to = to;
	server->order = true;
	cover(holders, server, 1);
}

/*
 * Gives the slowest empty servers of a group the first layers, if too few hold
 * them. A first server may run few layers, so its speed matters least.
 */
static size_t
assign_heads(const struct fleet_engine *engine, struct layout_server **order,
    size_t count, uint32_t requests, uint32_t *holders)
{
	size_t orders = 0;

	for (size_t i = count; i-- > 0 && holders[0] < LAYOUT_HEADS;) {
		struct layout_server *server = order[i];
		uint32_t capacity =
		    layout_capacity(engine, server->kind, requests);

		if (!server->orderable || capacity == 0 ||
		    server->layer_from != server->layer_to)
			continue;
		server->layer_from = 0;
		server->layer_to = capacity;
		server->order = true;
		cover(holders, server, 1);
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
	uint64_t capacity = 0;
	uint32_t missing = 0;

	for (uint32_t i = 0; i < engine->layers; i++)
		missing += holders[i] == 0;
	for (size_t i = 0; i < count; i++) {
		if (is_redundant(order[i], holders))
			capacity +=
			    layout_capacity(engine, order[i]->kind, requests);
	}
	return capacity >= missing ? requests : LAYOUT_REQUESTS_MIN;
}

/*
 * Moves redundant servers to layers that nobody holds.
 */
static size_t
close_gaps(const struct fleet_engine *engine, struct layout_server **order,
    size_t count, uint32_t requests, uint32_t *holders)
{
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
		cover(holders, server, -1);
		assign(engine, server, capacity, holders);
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
	uint32_t holders[FLEET_LAYERS_MAX] = {0};
	uint32_t requests = choose_requests(engine, order, count);
	size_t orders = 0;
	bool headed = false;

	for (size_t i = 0; i < count; i++)
		cover(holders, order[i], 1);
	for (size_t i = 0; i < count; i++) {
		uint32_t capacity =
		    layout_capacity(engine, order[i]->kind, requests);

		/* The first copy is on the fastest; then come first layers. */
		if (!headed && least_held(engine, holders) > 0) {
			headed = true;
			orders += assign_heads(
			    engine, order, count, requests, holders);
		}
		if (!order[i]->orderable || capacity == 0 ||
		    order[i]->layer_from != order[i]->layer_to)
			continue;
		assign(engine, order[i], capacity, holders);
		orders++;
	}
	return orders + close_gaps(engine, order, count, requests, holders);
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
