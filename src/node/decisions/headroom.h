#ifndef CH_HEADROOM_H
#define CH_HEADROOM_H

#include "demand.h"
#include "path.h"

/*
 * Room of the engines that is kept for more urgent work. Load: a burst of a
 * class that may wait and a burst of a more urgent one, whose answers are
 * useless when late, reach many nodes together. Urgent requests wait at some
 * nodes, and at the others, where nothing waits, less urgent ones take the room
 * that running requests give back.
 *
 * While more urgent requests wait at any node, the room that they need is kept
 * free. Less urgent classes keep a part of their own proportion of the memory,
 * so that none starves. Without a shortage nothing waits and nothing is kept
 * free.
 */

/* Part of its proportion of the memory that a class, together with the less
 * urgent ones, keeps whatever the more urgent classes need. */
#define HEADROOM_OWN_SHARE 0.4
/* Largest share of the memory that is kept free. */
#define HEADROOM_MAX 0.25
/* Age of what a node knows of the others; more urgent work arrives meanwhile.
 */
#define HEADROOM_AGE_SEC 0.2

/* The service as a whole, in tokens for which complete paths have memory. */
struct headroom {
	double capacity;
	/* Expected and present use, and what waits, by class. */
	double expected[DEMAND_CLASSES];
	double used[DEMAND_CLASSES];
	double waiting[DEMAND_CLASSES];
};

double headroom_capacity(const struct fleet_engine *,
    const struct path_server *servers, size_t count);
void headroom_update(struct headroom *, const struct demand_total *,
    double hold_usec, double capacity);
double headroom_reserved_share(const struct headroom *, uint32_t priority);
double headroom_load(const struct headroom *, uint32_t priority);

#endif
