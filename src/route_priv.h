#ifndef CH_ROUTE_PRIV_H
#define CH_ROUTE_PRIV_H

#include "route.h"

/* The state of one instance; unused when name is NULL. */
struct slot {
	char *name;
	char *address;
	uint32_t place;
	/* First and last layer. */
	uint32_t first;
	uint32_t last;
	/* Number of accelerators. */
	uint32_t count;
	int64_t layer_usec;
	/* Part of the current configuration. */
	bool present;
	bool configured_leaving;
	bool list_leaving;
	bool engine_leaving;
	bool checks_fencing;
	int64_t joined_at;
	int64_t avoid_until;
	int64_t penalty_until;
	/* Attempts of this router that are running. */
	uint32_t running;
	/* Load from other routers, according to the last load report. */
	uint32_t other_load;
	int64_t other_load_until;
};

/* Measured latency between two instances beyond the configured one. */
struct link_excess {
	int64_t usec;
	/* Time of the last sample. */
	int64_t at;
};

struct route_table {
	GArray *slots;
	/* Maps instance name to slot index. */
	GHashTable *by_name;
	/* All slots below this index are in use. */
	uint32_t free_hint;
	/* Slot of each instance of the current configuration. */
	uint32_t *slot_of;
	uint32_t instance_count;
	/* Index in members of the first instance of each replica. */
	uint32_t *replica_start;
	uint32_t replica_count;
	/* Slots of the instances, grouped by replica. */
	uint32_t *members;
	/* Number of layers of each replica. */
	uint32_t *layers;
	/* Matrix of the one-way latencies between places, microseconds. */
	int64_t *latency;
	uint32_t place_count;
	/* Maps a pair of slots, see link_key(), to struct link_excess. */
	GHashTable *links;
	/* A configuration has been applied. */
	bool configured;
};

struct slot *route_slot(const struct route_table *, uint32_t);
double route_share(const struct slot *, int64_t now);
uint32_t route_slot_load(const struct slot *, int64_t now);
int64_t route_link_usec(
    const struct route_table *, uint32_t from, uint32_t to, int64_t now);

#endif
