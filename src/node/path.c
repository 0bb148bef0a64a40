#include <assert.h>
#include <string.h>

#include "path_priv.h"

/* Fewest layers that a first-stage server may run; faster servers can run the
 * other layers that it holds. */
#define FIRST_STAGE_LAYERS_MIN 1

/*
 * Assigns an index to each data centre and counts its first-stage servers that
 * have running requests. Data centres beyond the limit share the last index.
 */
static void
index_zones(struct path_search *search)
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
		search->busy_first_servers[search->zone_of[i]] +=
		    server->first_active > 0 && server->usable;
	}
}

/*
 * Returns true if the search may use a server.
 */
static bool
is_usable(const struct path_search *search, uint32_t index)
{
	const struct path_server *server = &search->servers[index];

	return server->usable && server->zone != NULL &&
	    (search->in_use == NULL || !search->in_use[index]) &&
	    server->layer_to > server->layer_from &&
	    server->layer_to <= search->engine->layers &&
	    (search->only_zone == PATH_ZONES_MAX ||
		search->zone_of[index] == search->only_zone);
}

/*
 * Adds a boundary, in ascending order, unless it exists already or lies outside
 * the layers of the search.
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
 * Collects the servers that the search may use, and the layers at which a path
 * may change servers.
 */
static void
collect_candidates(struct path_search *search)
{
	add_boundary(search, search->layer_from);
	if (search->predecessor == NULL)
		add_boundary(search, FIRST_STAGE_LAYERS_MIN);
	add_boundary(search, search->layer_to);
	search->candidate_count = 0;
	for (uint32_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];

		if (!is_usable(search, i))
			continue;
		search->candidates[search->candidate_count++] = i;
		add_boundary(search, server->layer_from);
		add_boundary(search, server->layer_to);
	}
}

/*
 * Extends the cheapest path that ends at a boundary by one server, and updates
 * the boundaries that become cheaper to reach.
 */
static void
extend_path(struct path_search *search, uint32_t at, uint32_t index)
{
	const struct path_server *server = &search->servers[index];
	const struct path_server *previous = search->predecessor;
	const struct fleet_engine *engine = search->engine;
	uint32_t start = search->boundaries[at];
	int64_t tokens = (int64_t)search->demand->prompt_tokens +
	    search->demand->output_tokens;
	double fixed = PATH_STAGE_USEC;
	double step;

	if (at > 0)
		previous = &search->servers[search->partial[at].server];
	if (previous != NULL) {
		fixed +=
		    path_crossing_usec(search, previous->zone, server->zone);
	} else {
		if (server->first_active >= server->first_active_max)
			return;
		fixed += search->prefill_delay_usec * server->slowness *
		    server->first_active;
		if (strcmp(server->zone, search->demand->zone) != 0)
			fixed += PATH_REMOTE_FIRST_STAGE_USEC;
	}
	if (search->step_usec[index] == 0)
		search->step_usec[index] =
		    path_step_usec(search, index, (double)tokens);
	step = search->step_usec[index];
	for (uint32_t to = at + 1; to < search->boundary_count &&
	     search->boundaries[to] <= server->layer_to;
	     to++) {
		uint32_t layers = search->boundaries[to] - start;
		double pressure = path_memory_pressure(
		    server, tokens, layers, search->demand->reserved_share);
		double cost;

		if (pressure < 0)
			break;
		cost = search->partial[at].cost + fixed +
		    step * pressure * layers / engine->layers;
		if (cost < search->partial[to].cost)
			search->partial[to] =
			    (struct path_partial){cost, index, at};
	}
}

/*
 * Merges the stages of a server that appears more than once, since a path may
 * name a server only once. The server also holds the layers in between.
 */
static void
merge_repeated_servers(struct path *path)
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
 * Builds the path by following the boundaries back from the last one.
 * STATUS_FULL: the path would have too many stages.
 */
static enum status
build_path(const struct path_search *search, struct path *path)
{
	uint32_t at = search->boundary_count - 1;
	uint32_t count = 0;

	for (uint32_t i = at; i > 0; i = search->partial[i].previous)
		count++;
	if (count > FLEET_STAGES_MAX)
		return status_set(STATUS_FULL, "path has more than %d stages",
		    FLEET_STAGES_MAX);
	path->count = count;
	while (at > 0) {
		const struct path_partial *partial = &search->partial[at];

		path->stages[--count] = (struct path_stage){partial->server,
		    search->boundaries[partial->previous],
		    search->boundaries[at]};
		at = partial->previous;
	}
	merge_repeated_servers(path);
	return STATUS_OK;
}

/*
 * Returns true if each server has memory for its stage. The search checks the
 * stages of a server that appears more than once separately, so the merged
 * stage may not fit.
 */
static bool
has_memory(const struct path_search *search, const struct path *path)
{
	int64_t tokens = (int64_t)search->demand->prompt_tokens +
	    search->demand->output_tokens;

	for (uint32_t i = 0; i < path->count; i++) {
		const struct path_stage *stage = &path->stages[i];

		if (path_memory_pressure(&search->servers[stage->server],
			tokens, stage->layer_to - stage->layer_from,
			search->demand->reserved_share) < 0)
			return false;
	}
	return true;
}

/*
 * Extends the path that ends at a boundary by every server that holds the next
 * layer. Returns false if no usable server holds it.
 */
static bool
extend_by_all_servers(struct path_search *search, uint32_t at)
{
	uint32_t start = search->boundaries[at];
	bool held = false;

	for (uint32_t i = 0; i < search->candidate_count; i++) {
		uint32_t index = search->candidates[i];
		const struct path_server *server = &search->servers[index];

		if (server->layer_from > start || server->layer_to <= start)
			continue;
		held = true;
		if (search->partial[at].cost < PATH_COST_NONE)
			extend_path(search, at, index);
	}
	return held;
}

/*
 * Prepares a search for complete paths, which path_search_end() ends. The
 * tables are borrowed.
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
	search->step_usec = g_new0(double, count + 1);
	search->candidates = g_new(uint32_t, count + 1);
	index_zones(search);
	search->prefill_delay_usec = path_prefill_delay_usec(search);
}

/*
 * Frees the memory of a search.
 */
void
path_search_end(struct path_search *search)
{
	g_free(search->zone_of);
	g_free(search->step_usec);
	g_free(search->candidates);
}

/*
 * Searches one data centre, or all of them if zone is PATH_ZONES_MAX. Returns
 * the same statuses as path_find(); cost is meaningful only for STATUS_OK.
 */
enum status
path_search_within(
    struct path_search *search, uint32_t zone, struct path *path, double *cost)
{
	uint32_t last;
	bool all_held = true;

	search->only_zone = zone;
	search->boundary_count = 0;
	collect_candidates(search);
	last = search->boundary_count - 1;
	for (uint32_t i = 0; i <= last; i++)
		search->partial[i].cost = i == 0 ? 0 : PATH_COST_NONE;
	for (uint32_t at = 0; at < last; at++)
		all_held = extend_by_all_servers(search, at) && all_held;
	if (!all_held)
		return STATUS_NOT_FOUND;
	if (search->partial[last].cost >= PATH_COST_NONE)
		return STATUS_FULL;
	*cost = search->partial[last].cost;
	return build_path(search, path) == STATUS_OK && has_memory(search, path)
	    ? STATUS_OK
	    : STATUS_FULL;
}

/*
 * Searches each data centre separately and keeps the cheapest path.
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
 * Finds the cheapest path with memory for the request. STATUS_NOT_FOUND: no
 * usable server holds some layer or, if the path may not cross, no data centre
 * holds all layers. STATUS_FULL: all layers are held, but no path has enough
 * capacity.
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
		    status == STATUS_FULL
			? "no path has room"
			: "no usable server holds some layers");
	}
	path_search_end(&search);
	return status;
}

/*
 * Returns true if a path runs every layer once and in order, on servers that
 * hold the layers, and names no server twice.
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
