#ifndef CH_PATH_H
#define CH_PATH_H

#include "adapter.h"
#include "fleet.h"

/*
 * Chooses the path of one generation: servers that together run every layer
 * once and in order. It answers the load in which some servers are nearly
 * full or slow while others could take the request: cost grows with what runs
 * on a server already, and a server without memory for the request is left
 * out. A dead server costs no new loads as long as other servers hold its
 * layers, since a path may use any part of what a server holds.
 */

/* Shares of a path a caller's data centre is not part of cost this much more
 * for each token: about the delay between data centres plus its traffic. */
#define PATH_AWAY_USEC 1000.0
/* Cost of one more stage for each token: a hop, and one more server whose
 * failure stops the stream. */
#define PATH_STAGE_USEC 150.0
/* The link between two data centres is used by all paths that cross it, one
 * transfer after another: crossing it costs this many times its own time. */
#define PATH_LINK_WEIGHT 30.0
/* Part of a pass of another first server of the data centre by which a token
 * step waits on the average: passes meet only at some stages. */
#define PATH_PASS_SHARE 0.25
/* Time that a generation of the usual size runs; prompts are read once in it.
 */
#define PATH_LIFE_USEC 2.2e6
/* Part of a server's memory that may be promised. Requests are charged their
 * full length from the start, which on average leaves a tenth free for answers
 * that grow beyond their estimate and for use that peers have not reported. */
#define PATH_MEMORY_SHARE 1.0

/* One server that holds layers; a row of the table that path_find() reads. */
struct path_server {
	const char *address;
	const char *zone;
	uint32_t layer_from;
	uint32_t layer_to;
	double step_factor;
	double read_factor;
	/* At least 1; more for a server that is slower than its kind. */
	double slowness;
	/* Memory for requests, and the part in use, in tokens times layers. */
	int64_t memory;
	int64_t used;
	/* Requests that run through the server, and as its first stage. */
	uint32_t active;
	uint32_t first_active;
	uint32_t first_max;
	/* False: it is to get nothing. */
	bool usable;
};

struct path_demand {
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	/* Data centre of the node that sends the request. */
	const char *zone;
	/* The path may leave a data centre. */
	bool may_cross;
};

struct path_stage {
	/* Index into the table. */
	uint32_t server;
	uint32_t layer_from;
	uint32_t layer_to;
};

struct path {
	struct path_stage stages[FLEET_STAGES_MAX];
	uint32_t count;
	/* Links between data centres that it crosses. */
	uint32_t crossings;
	/* Expected time between events and until the first one. */
	int64_t event_usec;
	int64_t first_usec;
};

enum status path_find(const struct fleet_engine *, const struct path_server *,
    size_t, const struct path_demand *, struct path *);
/* Replaces the servers of a path that are not usable any more. */
enum status path_mend(const struct fleet_engine *, const struct path_server *,
    size_t, const struct path_demand *, const struct path *old,
    struct path *mended);
bool path_is_complete(const struct fleet_engine *, const struct path *,
    const struct path_server *, size_t);
int64_t path_server_memory(
    const struct fleet_engine *, const struct fleet_kind_info *, uint32_t);

#endif
