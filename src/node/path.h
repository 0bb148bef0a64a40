#ifndef CH_PATH_H
#define CH_PATH_H

#include "adapter.h"
#include "fleet.h"

/*
 * Chooses the path of one generation: a sequence of servers that together run
 * every layer once and in order. The cost of a server grows with its load and
 * slowness, so requests avoid servers that are nearly full or slow; a server
 * without enough memory for the request is excluded. A path may use any part of
 * the layers that a server holds, so after a server failure no layers have to
 * be loaded as long as other servers hold them.
 */

/* Added cost per token, in microseconds, of a path whose first server is in
 * another data centre than the node that sends the request: about the delay
 * between data centres plus the traffic. */
#define PATH_REMOTE_FIRST_STAGE_USEC 1000.0
/* Cost per token of each stage: a network hop, and one more server whose
 * failure interrupts the stream. */
#define PATH_STAGE_USEC 150.0
/* All paths that cross the link between two data centres share it, and it
 * serialises their transfers. Crossing it is therefore charged this many times
 * the transfer time of the request itself. */
#define PATH_LINK_WEIGHT 30.0
/* Average delay of a token step by each other first-stage server of the data
 * centre, as a fraction of its pass: passes contend only at some stages. */
#define PATH_PASS_DELAY_SHARE 0.25
/* Duration of a generation of the usual size, which includes one prompt
 * processing phase. */
#define PATH_DURATION_USEC 2.2e6
/* Fraction of a server's memory that may be reserved. Requests are charged
 * their full length from the start, which on average leaves a tenth free for
 * outputs longer than estimated and for use that peers have not reported yet.
 */
#define PATH_MEMORY_SHARE 1.0

/* One server that holds layers; a row of the table passed to path_find(). */
struct path_server {
	const char *address;
	const char *zone;
	uint32_t layer_from;
	uint32_t layer_to;
	double step_factor;
	double prefill_factor;
	/* Ratio of its times to those of its kind; at least 1, higher is
	 * slower. */
	double slowness;
	/* Memory for requests and the part in use, in token-layers (tokens
	 * times layers). */
	int64_t memory;
	int64_t used;
	/* Requests whose path includes the server, those whose first stage it
	 * is, and the limit of the latter. */
	uint32_t active;
	uint32_t first_active;
	uint32_t first_active_max;
	/* False: the server must not get requests. */
	bool usable;
};

struct path_demand {
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	/* Data centre of the node that sends the request. */
	const char *zone;
	/* The path may cross between data centres. */
	bool may_cross;
	/* Share of each server's memory that the path must leave free. */
	double reserved_share;
};

struct path_stage {
	/* Index into the table of servers. */
	uint32_t server;
	uint32_t layer_from;
	uint32_t layer_to;
};

struct path {
	struct path_stage stages[FLEET_STAGES_MAX];
	uint32_t count;
	/* Number of crossings between data centres. */
	uint32_t crossings;
	/* Expected time between events, and until the first event. */
	int64_t event_usec;
	int64_t first_usec;
};

enum status path_find(const struct fleet_engine *, const struct path_server *,
    size_t, const struct path_demand *, struct path *);
/* Replaces the servers of a path that are no longer usable. */
enum status path_repair(const struct fleet_engine *, const struct path_server *,
    size_t, const struct path_demand *, const struct path *old,
    struct path *repaired);
bool path_is_complete(const struct fleet_engine *, const struct path *,
    const struct path_server *, size_t);
int64_t path_server_memory(
    const struct fleet_engine *, const struct fleet_kind_info *, uint32_t);

#endif
