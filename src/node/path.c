#include <assert.h>
#include <string.h>

#include "path_priv.h"

/* A first server may run as few layers as this; the rest of its layers can
 * run on faster servers. */
#define HEAD_LAYERS_MIN 1

/*
 * Numbers the data centres of the servers and counts the first servers that
 * run passes in each. Servers of further data centres share the last number.
 */
static void
number_zones(struct path_search *search)
{
	for (size_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];
		uint32_t zone = 0;

		if (server->zone == NULL)
			continue;
		while (zone < search->zone_count &&
		    strcmp(search->zones[zone], server->zone) != 0)
			zone++;
		if (zone == search->zone_count && zone < PATH_ZONES_MAX - 1)
			search->zones[search->zone_count++] = server->zone;
		search->zone_of[i] = MIN(zone, PATH_ZONES_MAX - 1);
		search->heads[search->zone_of[i]] +=
		    server->first_active > 0 && server->usable;
	}
}

/*
 * Tells whether the search may use a server.
 */
static bool
is_usable(const struct path_search *search, uint32_t index)
{
	const struct path_server *server = &search->servers[index];

	return server->usable && server->zone != NULL &&
	    (search->taken == NULL || !search->taken[index]) &&
	    server->layer_to > server->layer_from &&
	    server->layer_to <= search->engine->layers &&
	    (search->within == PATH_ZONES_MAX ||
		search->zone_of[index] == search->within);
}

/*
 * Adds a boundary unless it is there or lies outside of the search; boundaries
 * stay in order.
 */
static void
add_boundary(struct path_search *search, uint32_t layer)
{
	uint32_t i = search->boundary_count;

	if (layer < search->layer_from || layer > search->layer_to)
		return;
	while (i > 0 && search->boundaries[i - 1] > layer)
		i--;
	if (i > 0 && search->boundaries[i - 1] == layer)
		return;
	memmove(&search->boundaries[i + 1], &search->boundaries[i],
	    (search->boundary_count - i) * sizeof(search->boundaries[0]));
	search->boundaries[i] = layer;
	search->boundary_count++;
}

/*
 * Collects the layers at which a path may change servers.
 */
static void
collect_boundaries(struct path_search *search)
{
	add_boundary(search, search->layer_from);
	if (search->before == NULL)
		add_boundary(search, HEAD_LAYERS_MIN);
	add_boundary(search, search->layer_to);
	for (uint32_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];

		if (!is_usable(search, i))
			continue;
		add_boundary(search, server->layer_from);
		add_boundary(search, server->layer_to);
	}
}

/*
 * Extends the path that ends at a boundary by one server.
 */
static void
extend(struct path_search *search, uint32_t at, uint32_t index)
{
	const struct path_server *server = &search->servers[index];
	const struct path_server *previous = search->before;
	const struct fleet_engine *engine = search->engine;
	uint32_t start = search->boundaries[at];
	int64_t tokens = (int64_t)search->demand->prompt_tokens +
	    search->demand->output_tokens;
	double step = path_step_usec(search, index, (double)tokens);
	double fixed = PATH_STAGE_USEC;

	if (at > 0)
		previous = &search->servers[search->reach[at].server];
	if (previous != NULL) {
		fixed +=
		    path_crossing_usec(search, previous->zone, server->zone);
	} else {
		if (server->first_active >= server->first_max)
			return;
		fixed +=
		    search->head_usec * server->slowness * server->first_active;
		if (strcmp(server->zone, search->demand->zone) != 0)
			fixed += PATH_AWAY_USEC;
	}
	for (uint32_t to = at + 1; to < search->boundary_count &&
	     search->boundaries[to] <= server->layer_to;
	     to++) {
		uint32_t layers = search->boundaries[to] - start;
		double crowded = path_crowding(server, tokens, layers);
		double cost;

		if (crowded < 0)
			break;
		cost = search->reach[at].cost + fixed +
		    step * crowded * layers / engine->layers;
		if (cost < search->reach[to].cost)
			search->reach[to] =
			    (struct path_reach){cost, index, at};
	}
}

/*
 * Joins the uses of a server that appears twice: it holds what lies between
 * as well, and a path may name a server only once.
 */
static void
join_repeated(struct path *path)
{
	for (uint32_t i = 0; i < path->count; i++) {
		for (uint32_t k = path->count - 1; k > i; k--) {
			if (path->stages[k].server != path->stages[i].server)
				continue;
			path->stages[i].layer_to = path->stages[k].layer_to;
			memmove(&path->stages[i + 1], &path->stages[k + 1],
			    (path->count - k - 1) * sizeof(path->stages[0]));
			path->count -= k - i;
			break;
		}
	}
}

/*
 * Reads the path off the search.
 */
static enum status
collect_path(const struct path_search *search, struct path *path)
{
	uint32_t at = search->boundary_count - 1;
	uint32_t count = 0;

	for (uint32_t i = at; i > 0; i = search->reach[i].previous)
		count++;
	if (count > FLEET_STAGES_MAX)
		return status_set(STATUS_FULL, "no path of %d stages or fewer",
		    FLEET_STAGES_MAX);
	path->count = count;
	while (at > 0) {
		const struct path_reach *reach = &search->reach[at];

		path->stages[--count] = (struct path_stage){reach->server,
		    search->boundaries[reach->previous],
		    search->boundaries[at]};
		at = reach->previous;
	}
	join_repeated(path);
	return STATUS_OK;
}

/*
 * Tells whether each server has memory for its part of a path: the search sees
 * the uses of a server that appears twice one by one.
 */
static bool
fits(const struct path_search *search, const struct path *path)
{
	int64_t tokens = (int64_t)search->demand->prompt_tokens +
	    search->demand->output_tokens;

	for (uint32_t i = 0; i < path->count; i++) {
		const struct path_stage *stage = &path->stages[i];

		if (path_crowding(&search->servers[stage->server], tokens,
			stage->layer_to - stage->layer_from) < 0)
			return false;
	}
	return true;
}

/*
 * Extends the paths that end at a boundary by every server that may follow.
 * Returns false when no server holds the next layer.
 */
static bool
extend_all(struct path_search *search, uint32_t at)
{
	uint32_t start = search->boundaries[at];
	bool held = false;

	for (uint32_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];

		if (!is_usable(search, i) || server->layer_from > start ||
		    server->layer_to <= start)
			continue;
		held = true;
		if (search->reach[at].cost < PATH_COST_NONE)
			extend(search, at, i);
	}
	return held;
}

/*
 * Prepares a search for whole paths. The tables are borrowed; zone_of is freed
 * by the caller.
 */
void
path_search_begin(struct path_search *search, const struct fleet_engine *engine,
    const struct path_server *servers, size_t count,
    const struct path_demand *demand)
{
	memset(search, 0, sizeof(*search));
	search->engine = engine;
	search->servers = servers;
	search->count = count;
	search->demand = demand;
	search->layer_to = engine->layers;
	search->zone_of = g_new0(uint32_t, count + 1);
	number_zones(search);
	search->head_usec = path_head_usec(search);
}

/*
 * Searches within one data centre, or with PATH_ZONES_MAX in all of them.
 * Returns what path_find() does; the cost is only set for STATUS_OK.
 */
enum status
path_search_within(
    struct path_search *search, uint32_t zone, struct path *path, double *cost)
{
	uint32_t last;
	bool covered = true;

	search->within = zone;
	search->boundary_count = 0;
	collect_boundaries(search);
	last = search->boundary_count - 1;
	for (uint32_t i = 0; i <= last; i++)
		search->reach[i].cost = i == 0 ? 0 : PATH_COST_NONE;
	for (uint32_t at = 0; at < last; at++)
		covered = extend_all(search, at) && covered;
	if (!covered)
		return STATUS_NOT_FOUND;
	if (search->reach[last].cost >= PATH_COST_NONE)
		return STATUS_FULL;
	*cost = search->reach[last].cost;
	return collect_path(search, path) == STATUS_OK && fits(search, path)
	    ? STATUS_OK
	    : STATUS_FULL;
}

/*
 * Searches each data centre by itself and keeps the cheapest path.
 */
static enum status
search_each_zone(struct path_search *search, struct path *path)
{
	enum status status = STATUS_NOT_FOUND;
	double best = PATH_COST_NONE;

	for (uint32_t zone = 0; zone < search->zone_count; zone++) {
		struct path found = {.count = 0};
		double cost = PATH_COST_NONE;
		enum status outcome =
		    path_search_within(search, zone, &found, &cost);

		if (outcome == STATUS_FULL && status == STATUS_NOT_FOUND)
			status = STATUS_FULL;
		if (outcome == STATUS_OK && cost < best) {
			*path = found;
			best = cost;
			status = STATUS_OK;
		}
	}
	return status;
}

/*
 * Finds the cheapest path with memory for the request. STATUS_NOT_FOUND: some
 * layer is held by no usable server, or by none in a data centre that holds
 * the others. STATUS_FULL: all layers are held, but no path has room.
 */
enum status
path_find(const struct fleet_engine *engine, const struct path_server *servers,
    size_t count, const struct path_demand *demand, struct path *path)
{
	struct path_search search;
	enum status status;
	double cost;

	path_search_begin(&search, engine, servers, count, demand);
	status = demand->may_cross
	    ? path_search_within(&search, PATH_ZONES_MAX, path, &cost)
	    : search_each_zone(&search, path);
	if (status == STATUS_OK) {
		assert(path_is_complete(engine, path, servers, count));
		path_estimate(&search, path);
	} else {
		status_set(status, "%s",
		    status == STATUS_FULL ? "no path has room"
					  : "some layers are held nowhere");
	}
	g_free(search.zone_of);
	return status;
}

/*
 * Tells whether a path runs every layer once and in order, on servers that
 * hold them, none of which it names twice.
 */
bool
path_is_complete(const struct fleet_engine *engine, const struct path *path,
    const struct path_server *servers, size_t count)
{
	uint32_t at = 0;

	for (uint32_t i = 0; i < path->count; i++) {
		const struct path_stage *stage = &path->stages[i];

		if (stage->server >= count || stage->layer_from != at ||
		    stage->layer_to <= at ||
		    servers[stage->server].layer_from > at ||
		    servers[stage->server].layer_to < stage->layer_to)
			return false;
		for (uint32_t k = 0; k < i; k++) {
			if (path->stages[k].server == stage->server)
				return false;
		}
		at = stage->layer_to;
	}
	return at == engine->layers;
}
