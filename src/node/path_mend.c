#include <assert.h>
#include <string.h>

#include "path_priv.h"

/*
 * Tells whether a stage can stay: its server is usable and has not been
 * ordered to give up the layers meanwhile.
 */
static bool
can_stay(const struct path_search *search, const struct path_stage *stage)
{
	const struct path_server *server = &search->servers[stage->server];

	return server->usable && server->layer_from <= stage->layer_from &&
	    server->layer_to >= stage->layer_to;
}

/*
 * Appends a stage. Returns false when the path has too many.
 */
static bool
append(struct path *path, const struct path_stage *stage)
{
	if (path->count == FLEET_STAGES_MAX)
		return false;
	path->stages[path->count++] = *stage;
	return true;
}

/*
 * Searches servers for a run of layers: first within the data centre of the
 * server before them, then, if the path may cross, in all.
 */
static enum status
find_run(struct path_search *search, uint32_t before, struct path *run)
{
	double cost;
	enum status status;

	search->before = &search->servers[before];
	status =
	    path_search_within(search, search->zone_of[before], run, &cost);
	if (status != STATUS_OK && search->demand->may_cross)
		status = path_search_within(search, PATH_ZONES_MAX, run, &cost);
	return status;
}

/*
 * Replaces the unusable stages from one index on, up to the next usable one.
 */
static enum status
replace_run(struct path_search *search, const struct path *old, uint32_t *at,
    bool *taken, struct path *mended)
{
	struct path run = {.count = 0};
	enum status status;

	search->layer_from = old->stages[*at].layer_from;
	while (*at < old->count && !can_stay(search, &old->stages[*at]))
		search->layer_to = old->stages[(*at)++].layer_to;
	status =
	    find_run(search, mended->stages[mended->count - 1].server, &run);
	if (status != STATUS_OK)
		return status;
	for (uint32_t i = 0; i < run.count; i++) {
		if (!append(mended, &run.stages[i]))
			return STATUS_FULL;
		taken[run.stages[i].server] = true;
	}
	return STATUS_OK;
}

/*
 * Builds the mended path.
 */
static enum status
mend(struct path_search *search, const struct path *old, bool *taken,
    struct path *mended)
{
	mended->count = 0;
	for (uint32_t i = 0; i < old->count;) {
		const struct path_stage *stage = &old->stages[i];
		enum status status;

		if (can_stay(search, stage)) {
			if (!append(mended, stage))
				return STATUS_FULL;
			i++;
			continue;
		}
		if (i == 0)
			return STATUS_NOT_FOUND;
		status = replace_run(search, old, &i, taken, mended);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

/*
 * Replaces the servers of a path that are not usable any more by others that
 * run the same layers; the rest of the path stays as it is, so that it keeps
 * its memory of the request. The first server has the request and cannot be
 * replaced: STATUS_NOT_FOUND, as when some layer is held by no other server.
 * STATUS_FULL: no other server has room.
 */
enum status
path_mend(const struct fleet_engine *engine, const struct path_server *servers,
    size_t count, const struct path_demand *demand, const struct path *old,
    struct path *mended)
{
	struct path_search search;
	bool *taken = g_new0(bool, count + 1);
	enum status status;

	path_search_begin(&search, engine, servers, count, demand);
	for (uint32_t i = 0; i < old->count; i++)
		taken[old->stages[i].server] = true;
	search.taken = taken;
	status = mend(&search, old, taken, mended);
	if (status == STATUS_OK) {
		assert(path_is_complete(engine, mended, servers, count));
		path_estimate(&search, mended);
	} else {
		status_set(status, "no servers for the rest of a path");
	}
	g_free(search.zone_of);
	g_free(taken);
	return status;
}
