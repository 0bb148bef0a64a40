#ifndef CH_GOSSIP_PRIV_H
#define CH_GOSSIP_PRIV_H

#include <netinet/in.h>

#include "gossip.h"
#include "neighbours.h"

/* Number of own reports whose send times are kept in order to date the proofs
 * of peers; they cover more than the time for which a proof is useful. */
#define GOSSIP_SENT_TIMES_MAX 32

/* Use of one server by a peer. */
struct peer_use {
	uint32_t hash;
	struct pool_use use;
};

struct peer {
	char *name;
	char *front;
	char *place;
	uint64_t boot;
	struct sockaddr_in address;
	uint64_t sequence;
	/* Time of the last report; 0: none yet. */
	int64_t heard_at;
	int64_t listed_at;
	/* When it last reported its use of the servers; 0: never. */
	int64_t uses_at;
	/* Order in which the nodes of a data centre watch the store. */
	uint32_t watch_order;
	/* It gets the reports of this node. */
	bool is_recipient;
	/* Its entry in the store has been removed. */
	bool unlisted;
	bool leaving;
	/* When it first reported that it is leaving. */
	int64_t leaving_since;
	bool suspended;
	bool silent;
	/* struct peer_use of the last report. */
	GArray *uses;
	/* Demand at the peer, from its last report. */
	struct gossip_demand demands[GOSSIP_DEMANDS_MAX];
	uint32_t demand_count;
	/* Number of nodes for which its reports stand; see sum_uses(). */
	double scale;
};

struct gossip {
	struct loop *loop;
	struct pool *pool;
	struct gossip_config config;
	int fd;
	struct loop_watch *watch;
	/* struct peer by name. */
	GHashTable *peers;
	struct lstr_buf entry;
	uint64_t sequence;
	int64_t sent_at;
	/* Send time of a report, indexed by sequence modulo
	 * GOSSIP_SENT_TIMES_MAX. */
	int64_t sent_times[GOSSIP_SENT_TIMES_MAX];
	uint32_t hash;
	int64_t started_at;
	bool leaving;
	int64_t leaving_since;
	/* Callers are temporarily not directed to this node. */
	bool suspended;
	/* The sums of the use by peers must be updated. */
	bool sums_stale;
	/* struct peer that get this node's reports, and whether they must be
	 * selected again. */
	GPtrArray *recipients;
	bool recipients_stale;
	int64_t selected_at;
	/* struct peer of this data centre that watch the store for the others,
	 * without this node. */
	GPtrArray *watchers;
	uint32_t watch_order;
	/* This node's place among the watchers; GOSSIP_WATCHERS: it is none. */
	uint32_t watcher_rank;
	/* A report is due at once. */
	bool urgent;
};

uint32_t gossip_peer_hash(const char *name, uint64_t boot);
/* Whether a peer is considered live; see gossip_fleet.c. */
bool gossip_peer_is_live(
    const struct gossip *, const struct peer *, int64_t now);
void gossip_send_report(struct gossip *, int64_t now);
void gossip_select_recipients(struct gossip *, int64_t now);
void gossip_select_watchers(struct gossip *, int64_t now);

#endif
