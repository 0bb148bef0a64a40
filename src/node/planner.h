#ifndef CH_PLANNER_H
#define CH_PLANNER_H

#include "backend_call.h"
#include "layout.h"
#include "lease_key.h"
#include "gossip.h"
#include "store_cache.h"

/*
 * The planner orders servers to hold layers. One node at a time is the planner;
 * it is elected by holding a leased key in the store. The position of that key
 * determines its fencing token. It sends orders only while its lease is certain
 * to be valid.
 */

#define PLANNER_KEY "chestnuthoist/planner"
/* Time to live of the planner's lease. If the planner fails, another one is
 * elected after about this time. */
#define PLANNER_TTL_USEC (3 * LOOP_USEC_PER_SEC)
/* Interval by which election attempts are staggered by node rank, so that
 * usually only one node calls the store. */
#define PLANNER_ELECTION_STAGGER_USEC (150 * LOOP_USEC_PER_MSEC)
/* Servers register within this time of each other. The initial placement waits
 * for the last one, so that the model is divided among all of them. */
#define PLANNER_SETTLE_USEC (900 * LOOP_USEC_PER_MSEC)
/* Longest time that the initial placement waits for servers to register. */
#define PLANNER_SETTLE_MAX_USEC (3500 * LOOP_USEC_PER_MSEC)
/* The layers of a server that has been failing for longer than this, and thus
 * is not merely slow to respond, are placed on other servers. */
#define PLANNER_FAILING_USEC (700 * LOOP_USEC_PER_MSEC)
/* Time limit of a call to a server. */
#define PLANNER_CALL_USEC (1 * LOOP_USEC_PER_SEC)
/* The platform's list of servers shows new layers within this time after they
 * were loaded. */
#define PLANNER_LIST_LAG_USEC (1200 * LOOP_USEC_PER_MSEC)
/* A server that is still loading is queried again after this time. */
#define PLANNER_REQUERY_USEC (400 * LOOP_USEC_PER_MSEC)
/* An order without visible effect for this long after its load time counts as
 * lost; the list of servers lags by about a second. */
#define PLANNER_EFFECT_USEC (4 * LOOP_USEC_PER_SEC)
/* A planner that has its lock again after a restore of the store sends no
 * orders for this long: the servers write their entries again within about two
 * seconds, and until then the list is as old as the copy. */
#define PLANNER_RESYNC_USEC (2 * LOOP_USEC_PER_SEC)

struct planner;

struct planner_config {
	struct loop *loop;
	struct kv *kv;
	struct h1 *h1;
	const struct adapter *adapter;
	struct gossip *gossip;
	struct pool *pool;
	/* Distinguishes this process from others and from earlier processes of
	 * the same node. */
	const char *identity;
};

struct planner_counts {
	/* Orders sent, refused by servers, refused because of a newer fencing
	 * token, and not answered. */
	uint64_t orders;
	uint64_t refused;
	uint64_t fenced;
	uint64_t lost;
};

enum status planner_create(const struct planner_config *, struct planner **);
void planner_destroy(struct planner *);
/* Reports the holder of the planner key in the store and the position of the
 * key; empty: none. */
void planner_note_holder(
    struct planner *, struct lstr holder, struct store_position);
/* Reports an era that the store stated. */
void planner_note_era(struct planner *, uint64_t era);
void planner_note_restore(struct planner *);
void planner_tick(struct planner *, const struct fleet_config *);
void planner_resign(struct planner *);
bool planner_is_leader(const struct planner *);
const struct planner_counts *planner_counts(const struct planner *);

#endif
