#ifndef CH_ROUTE_H
#define CH_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inventory.h"

/* An index that is never valid, for no slot. */
#define ROUTE_NONE UINT32_MAX
/* Maximum number of stages in a route. */
#define ROUTE_STAGES_MAX 64

/*
 * The state of each instance as known to a router, such as its load, whether
 * it is avoided and when it joined. The state is kept by instance name across
 * changes of the configuration. A slot is the index of an instance in the
 * table; it stays valid while attempts run on the instance.
 */
struct route_table;

/* One stage: an instance and the first and last layer that it runs. */
struct route_stage {
	uint32_t slot;
	uint32_t first;
	uint32_t last;
};

/* A chain of stages that runs every layer once, in order. */
struct route {
	struct route_stage stages[ROUTE_STAGES_MAX];
	uint32_t count;
	/* Cost that routes are compared by, microseconds. */
	int64_t cost_usec;
	/* Expected time per token, microseconds. */
	int64_t token_usec;
	/*
	 * Expected wait on the instances before the first token, microseconds.
	 */
	int64_t queue_usec;
};

/* Sources that report whether an instance is leaving. */
enum route_source {
	/* The list of instances. */
	ROUTE_SOURCE_LIST,
	/* The engine of the instance. */
	ROUTE_SOURCE_ENGINE
};

/* The state of one slot, for state dumps and load queries. */
struct route_slot_info {
	const char *name;
	const char *address;
	bool present;
	bool leaving;
	bool engine_leaving;
	bool checks_fencing;
	bool avoided;
	bool penalised;
	uint32_t running;
	uint32_t load;
	double share;
};

enum status route_table_create(struct route_table **);
void route_table_destroy(struct route_table *);
enum status route_configure(
    struct route_table *, const struct inv *, int64_t now);
uint32_t route_slot_count(const struct route_table *);
uint32_t route_find_slot(const struct route_table *, struct lstr);
uint32_t route_slot_of_instance(const struct route_table *, uint32_t instance);
void route_slot_info(const struct route_table *, uint32_t, int64_t now,
    struct route_slot_info *);

enum status route_choose(const struct route_table *, uint32_t replica,
    int64_t now, GRand *, struct route *);
int64_t route_expected_finish(
    const struct route *, int64_t now, uint32_t tokens);
void route_attempt_started(struct route_table *, const struct route *);
void route_attempt_ended(struct route_table *, const struct route *);
void route_observe_gap(
    struct route_table *, const struct route *, int64_t gap_usec, int64_t now);

void route_avoid(struct route_table *, uint32_t slot, int64_t until);
void route_clear_avoid(struct route_table *, uint32_t slot);
void route_penalise(struct route_table *, uint32_t slot, int64_t until);
void route_set_leaving(
    struct route_table *, uint32_t slot, enum route_source, bool, int64_t now);
void route_report_load(struct route_table *, uint32_t slot, uint32_t running,
    uint32_t queued, int64_t now);

#endif
