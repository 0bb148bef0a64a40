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
 * Returns the largest number of requests per copy at which all servers
 * together hold the wanted number of copies.
 */
static uint32_t
choose_requests(const struct fleet_engine *engine,
    const struct layout_server *servers, size_t count)
{
	uint32_t requests = LAYOUT_REQUESTS_PER_COPY;

	for (; requests > LAYOUT_REQUESTS_PER_COPY_MIN; requests--) {
		uint64_t layers = 0;

		for (size_t i = 0; i < count; i++)
			layers += layout_capacity(
			    engine, servers[i].kind, requests);
		if (layers >= (uint64_t)engine->layers * LAYOUT_COPIES)
			break;
	}
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
 * Gives a server the first layers that the fewest servers hold. The run of
 * such layers is divided evenly among as many servers as it needs.
 */
static void
assign(const struct fleet_engine *engine, struct layout_server *server,
    uint32_t capacity, uint32_t *holders)
{
	uint32_t least = UINT32_MAX;
	uint32_t from = 0;
	uint32_t to;
	uint32_t parts;

	for (uint32_t i = 0; i < engine->layers; i++) {
		if (holders[i] < least) {
			least = holders[i];
			from = i;
		}
	}
	for (to = from; to < engine->layers && holders[to] == least; to++)
		;
	parts = (to - from + capacity - 1) / capacity;
	server->layer_from = from;
	server->layer_to = from + (to - from + parts - 1) / parts;
	server->order = true;
	cover(holders, server, 1);
}

/*
 * Finds the server that can best give up its layers: all of them are held
 * elsewhere. NULL: there is none.
 */
static struct layout_server *
find_redundant(
    struct layout_server **order, size_t count, const uint32_t *holders)
{
	struct layout_server *best = NULL;
	uint32_t best_least = 1;

	for (size_t i = 0; i < count; i++) {
		struct layout_server *server = order[i];
		uint32_t least = UINT32_MAX;

		if (!server->orderable || server->order ||
		    server->layer_from == server->layer_to)
			continue;
		for (uint32_t k = server->layer_from; k < server->layer_to; k++)
			least = holders[k] < least ? holders[k] : least;
		if (least > best_least) {
			best_least = least;
			best = server;
		}
	}
	return best;
}

/*
 * Tells whether some layer is held by nobody.
 */
static bool
has_gap(const struct fleet_engine *engine, const uint32_t *holders)
{
	for (uint32_t i = 0; i < engine->layers; i++) {
		if (holders[i] == 0)
			return true;
	}
	return false;
}

/*
 * Plans orders for servers of one engine and marks them in the table. Returns
 * how many there are.
 */
size_t
layout_plan(const struct fleet_engine *engine, struct layout_server *servers,
    size_t count)
{
	uint32_t holders[FLEET_LAYERS_MAX] = {0};
	uint32_t requests = choose_requests(engine, servers, count);
	struct layout_server **order = calloc(count + 1, sizeof(*order));
	size_t orders = 0;

	if (order == NULL)
		return 0;
	for (size_t i = 0; i < count; i++) {
		servers[i].order = false;
		order[i] = &servers[i];
		cover(holders, &servers[i], 1);
	}
	qsort(order, count, sizeof(struct layout_server *), compare_servers);
	for (size_t i = 0; i < count; i++) {
		uint32_t capacity =
		    layout_capacity(engine, order[i]->kind, requests);

		if (!order[i]->orderable || capacity == 0 ||
		    order[i]->layer_from != order[i]->layer_to)
			continue;
		assign(engine, order[i], capacity, holders);
		orders++;
	}
	while (has_gap(engine, holders)) {
		struct layout_server *server =
		    find_redundant(order, count, holders);
		uint32_t capacity;

		if (server == NULL)
			break;
		capacity = layout_capacity(engine, server->kind, requests);
		if (capacity == 0)
			break;
		cover(holders, server, -1);
		assign(engine, server, capacity, holders);
		orders++;
	}
	free(order);
	return orders;
}
