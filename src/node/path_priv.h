#ifndef CH_PATH_PRIV_H
#define CH_PATH_PRIV_H

#include "path.h"

/* Most data centres that are distinguished; servers of any others are used only
 * by paths that may cross between data centres. */
#define PATH_ZONES_MAX 64
/* Cost of a boundary that cannot be reached. */
#define PATH_COST_NONE 1e300

/* The cheapest way to run the layers below a boundary. */
struct path_partial {
	double cost;
	uint32_t server;
	/* Index of the boundary at which the last stage starts. */
	uint32_t previous;
};

struct path_search {
	const struct fleet_engine *engine;
	const struct path_server *servers;
	size_t count;
	const struct path_demand *demand;
	/* The layers to run, layer_to exclusive. */
	uint32_t layer_from;
	uint32_t layer_to;
	/* The server of the preceding stage; NULL at the start of a path. */
	const struct path_server *predecessor;
	/* Servers that other stages of the path use; NULL: none. */
	const bool *in_use;
	/* The data centres, and the index of that of each server. */
	const char *zones[PATH_ZONES_MAX];
	uint32_t zone_count;
	uint32_t *zone_of;
	/* path_step_usec() of each server with the request added; 0: not yet
	 * computed. It is the same at all boundaries. */
	double *step_usec;
	/* Indices of the servers that the present search may use. */
	uint32_t *candidates;
	uint32_t candidate_count;
	/* Number of first-stage servers with running requests, by data
	 * centre. */
	uint32_t busy_first_servers[PATH_ZONES_MAX];
	/* Index of the only data centre to search; PATH_ZONES_MAX: all. */
	uint32_t only_zone;
	/* Layers at which the path may change servers, ascending. */
	uint32_t boundaries[FLEET_LAYERS_MAX + 1];
	uint32_t boundary_count;
	/* Delay that each request of a first-stage server adds to a token step
	 * of its other requests, in microseconds. */
	double prefill_delay_usec;
	struct path_partial partial[FLEET_LAYERS_MAX + 1];
};

/* The cost model. */
double path_step_usec(
    const struct path_search *, uint32_t index, double context);
double path_memory_pressure(const struct path_server *, int64_t tokens,
    uint32_t layers, double reserved_share);
double path_prefill_delay_usec(const struct path_search *);
double path_crossing_usec(
    const struct path_search *, const char *from, const char *to);
void path_estimate(const struct path_search *, struct path *);

/* The search. */
void path_search_begin(struct path_search *, const struct fleet_engine *,
    const struct path_server *, size_t count, const struct path_demand *);
void path_search_end(struct path_search *);
enum status path_search_within(
    struct path_search *, uint32_t zone, struct path *, double *cost);

#endif
