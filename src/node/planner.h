#ifndef CH_PLANNER_H
#define CH_PLANNER_H

#include "ask.h"
#include "enroll.h"
#include "layout.h"
#include "mesh.h"
#include "mirror.h"

/*
 * One node at a time, elected through the store, orders servers to hold
 * layers. Its fencing token is the version of the key that it holds; it gives
 * no order unless its lease certainly lasts.
 */

#define PLANNER_KEY "chestnuthoist/planner"
/* After the planner's death another one is elected in about this time. */
#define PLANNER_TTL_USEC (3 * LOOP_USEC_PER_SEC)
/* Nodes stand for election one after the other, by rank, so that mostly one
 * of them calls the store. */
#define PLANNER_STAND_USEC (150 * LOOP_USEC_PER_MSEC)
/* Servers register within this time of each other; placing waits for the last
 * so that the model is divided among all of them. */
#define PLANNER_SETTLE_USEC (900 * LOOP_USEC_PER_MSEC)
/* Placing waits no longer than this for servers to register. */
#define PLANNER_SETTLE_MAX_USEC (3500 * LOOP_USEC_PER_MSEC)
/* Layers of a server that fails for longer are placed on others: it is not
 * only late. */
#define PLANNER_FAILING_USEC (700 * LOOP_USEC_PER_MSEC)
#define PLANNER_ORDER_USEC (1 * LOOP_USEC_PER_SEC)
/* The platform's list shows new layers within this time of their load. */
#define PLANNER_LIST_USEC (1200 * LOOP_USEC_PER_MSEC)
/* A server that is still loading is asked again after this. */
#define PLANNER_CONFIRM_USEC (400 * LOOP_USEC_PER_MSEC)
/* An order that shows no effect for this long after its load time is taken as
 * lost; the list lags about a second. */
#define PLANNER_EFFECT_USEC (4 * LOOP_USEC_PER_SEC)

struct planner;

struct planner_config {
	struct loop *loop;
	struct kv *kv;
	struct h1 *h1;
	const struct adapter *adapter;
	struct mesh *mesh;
	struct pool *pool;
	/* Tells this process from others and from its earlier lives. */
	const char *identity;
};

struct planner_counts {
	uint64_t orders;
	uint64_t refused;
	uint64_t fenced;
	uint64_t lost;
};

enum status planner_create(const struct planner_config *, struct planner **);
void planner_destroy(struct planner *);
/* The store says who plans; empty: nobody. */
void planner_mark(struct planner *, struct lstr holder, uint64_t version);
void planner_tick(struct planner *, const struct fleet_config *);
void planner_leave(struct planner *);
bool planner_is_leader(const struct planner *);
const struct planner_counts *planner_counts(const struct planner *);

#endif
