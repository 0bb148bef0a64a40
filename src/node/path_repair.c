#include <assert.h>
#include <string.h>

#include "path_priv.h"

/*
 * Returns true if a stage can be kept: its server is usable and still holds the
 * layers.
 */
static bool
can_keep(const struct path_search *search, const struct path_stage *stage)
{
	const struct path_server *server = &search->servers[stage->server];

	return server->usable && server->layer_from <= stage->layer_from &&
	    server->layer_to >= stage->layer_to;
}

/*
 * Appends a stage. Returns false if the path already has the most stages.
 */
static bool
append_stage(struct path *path, const struct path_stage *stage)
{
	if (path->count == FLEET_STAGES_MAX)
		return false;
	path->stages[path->count++] = *stage;
	return true;
}

/*
 * Searches servers for a run of layers, first in the data centre of the
 * preceding server, then in all data centres if the path may cross.
 */
static enum status
find_run(struct path_search *search, uint32_t predecessor, struct path *run)
{
	double cost;
	enum status status;

	search->predecessor = &search->servers[predecessor];
	status = path_search_within(
	    search, search->zone_of[predecessor], run, &cost);
	if (status != STATUS_OK && search->demand->may_cross)
		status = path_search_within(search, PATH_ZONES_MAX, run, &cost);
	return status;
}

/*
 * Replaces the consecutive unusable stages that start at an index, and advances
 * the index to the next stage that can be kept.
 */
static enum status
replace_run(struct path_search *search, const struct path *old, uint32_t *at,
    bool *in_use, struct path *repaired)
{
	struct path run = {.count = 0};
	enum status status;

	search->layer_from = old->stages[*at].layer_from;
	while (*at < old->count && !can_keep(search, &old->stages[*at]))
		search->layer_to = old->stages[(*at)++].layer_to;
	status = find_run(
	    search, repaired->stages[repaired->count - 1].server, &run);
	if (status != STATUS_OK)
		return status;
	for (uint32_t i = 0; i < run.count; i++) {
		if (!append_stage(repaired, &run.stages[i]))
			return STATUS_FULL;
		in_use[run.stages[i].server] = true;
	}
	return STATUS_OK;
}

/*
 * Builds the repaired path.
 */
static enum status
repair(struct path_search *search, const struct path *old, bool *in_use,
    struct path *repaired)
{
	repaired->count = 0;
	for (uint32_t i = 0; i < old->count;) {
		const struct path_stage *stage = &old->stages[i];
		enum status status;

		if (can_keep(search, stage)) {
			if (!append_stage(repaired, stage))
				return STATUS_FULL;
			i++;
			continue;
		}
		if (i == 0)
			return STATUS_NOT_FOUND;
		status = replace_run(search, old, &i, in_use, repaired);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

/*
 * Replaces the servers of a path that are no longer usable by others that run
 * the same layers. The other stages are kept, because their servers hold the
 * state of the request. STATUS_NOT_FOUND: the first server, which owns the
 * request and cannot be replaced, is unusable, or no other server holds some
 * layer. STATUS_FULL: no other server has capacity.
 */
enum status
path_repair(const struct fleet_engine *engine,
    const struct path_server *servers, size_t count,
    const struct path_demand *demand, const struct path *old,
    struct path *repaired)
{
	struct path_search search;
	bool *in_use = g_new0(bool, count + 1);
	enum status status;

	path_search_begin(&search, engine, servers, count, demand);
	for (uint32_t i = 0; i < old->count; i++)
		in_use[old->stages[i].server] = true;
	search.in_use = in_use;
	status = repair(&search, old, in_use, repaired);
	if (status == STATUS_OK) {
		assert(path_is_complete(engine, repaired, servers, count));
		path_estimate(&search, repaired);
	} else {
		status_set(status,
		    "no servers to replace the unusable part of the path");
	}
	path_search_end(&search);
	g_free(in_use);
	return status;
}
