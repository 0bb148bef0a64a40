#ifndef CH_PATH_PRIV_H
#define CH_PATH_PRIV_H

#include "path.h"

/* Data centres that are told apart; further ones are searched together only
 * where paths may cross. */
#define PATH_ZONES_MAX 64
/* Cost of what cannot be reached. */
#define PATH_COST_NONE 1e300
/* The cheapest way to run the layers below a boundary. */
struct path_reach {
	double cost;
	uint32_t server;
	/* Index of the boundary at which the last stage begins. */
	uint32_t previous;
};

struct path_search {
	const struct fleet_engine *engine;
	const struct path_server *servers;
	size_t count;
	const struct path_demand *demand;
	/* The layers to run, to exclusive. */
	uint32_t layer_from;
	uint32_t layer_to;
	/* The server that runs the layer before them; NULL: a path begins. */
	const struct path_server *before;
	/* Servers that the path uses elsewhere; NULL: none. */
	const bool *taken;
	/* The data centres, and that of each server. */
	const char *zones[PATH_ZONES_MAX];
	uint32_t zone_count;
	uint32_t *zone_of;
	/* First servers of each data centre that run passes now. */
	uint32_t heads[PATH_ZONES_MAX];
	/* Only servers of this data centre are used; PATH_ZONES_MAX: of all. */
	uint32_t within;
	uint32_t boundaries[FLEET_LAYERS_MAX + 1];
	uint32_t boundary_count;
	/* What each request of a first server adds to a token of the others. */
	double head_usec;
	struct path_reach reach[FLEET_LAYERS_MAX + 1];
};

/* The cost model. */
double path_step_usec(
    const struct path_search *, uint32_t index, double context);
double path_crowding(
    const struct path_server *, int64_t tokens, uint32_t layers);
double path_head_usec(const struct path_search *);
double path_crossing_usec(
    const struct path_search *, const char *from, const char *to);
void path_estimate(const struct path_search *, struct path *);

/* The search. */
void path_search_begin(struct path_search *, const struct fleet_engine *,
    const struct path_server *, size_t count, const struct path_demand *);
enum status path_search_within(
    struct path_search *, uint32_t zone, struct path *, double *cost);

#endif
