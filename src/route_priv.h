#ifndef CH_ROUTE_PRIV_H
#define CH_ROUTE_PRIV_H

#include "route.h"

/* What is known about one instance. */
struct slot {
	char *name;
	char *address;
	uint32_t place;
	uint32_t first;
	uint32_t last;
	uint32_t count;
	int64_t layer_usec;
	bool present;
	bool configured_leaving;
	bool list_leaving;
	bool engine_leaving;
	bool checks_fencing;
	int64_t joined_at;
	int64_t avoid_until;
	int64_t penalty_until;
	/* Attempts of this router that run now. */
	uint32_t running;
	/* Load of others, from the last report. */
	uint32_t others;
	int64_t others_until;
};

/* The excess over the configured latency between two instances. */
struct link_excess {
	int64_t usec;
	int64_t at;
};

struct route_table {
	GArray *slots;
	GHashTable *by_name;
	/* No slot below this index is free. */
	uint32_t free_hint;
	/* Slot of each instance of the present configuration. */
	uint32_t *slot_of;
	uint32_t instance_count;
	/* Instances of each replica, as indexes into members. */
	uint32_t *replica_start;
	uint32_t replica_count;
	uint32_t *members;
	uint32_t *layers;
	/* One-way latency between places, place_count squared. */
	int64_t *latency;
	uint32_t place_count;
	GHashTable *links;
	bool bound;
};

struct slot *route_slot(const struct route_table *, uint32_t);
double route_share(const struct slot *, int64_t now);
uint32_t route_slot_load(const struct slot *, int64_t now);
int64_t route_link_usec(
    const struct route_table *, uint32_t from, uint32_t to, int64_t now);

#endif
