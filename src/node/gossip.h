#ifndef CH_GOSSIP_H
#define CH_GOSSIP_H

#include "demand.h"
#include "drain.h"
#include "kv.h"
#include "pool.h"
#include "quarantine.h"
#include "store_position.h"

/*
 * The nodes of the system and the reports that they exchange. Each node has an
 * entry in the store and sends a datagram to the other nodes several times a
 * second: its use of each backend server, which servers fail for it, evidence
 * against parts of prompts, and whether it accepts connections. Reports contain
 * the full state, so a lost datagram is superseded by the next one.
 */

/* Interval of reports; shorter than the lag of the engines' own reports. */
#define GOSSIP_SEND_USEC (200 * LOOP_USEC_PER_MSEC)
/* Shortest interval of reports if there is news for which peers must not wait.
 */
#define GOSSIP_URGENT_USEC (50 * LOOP_USEC_PER_MSEC)
/* A peer without a report for this long is considered dead, and its address is
 * not given to callers. */
#define GOSSIP_SILENT_USEC (1000 * LOOP_USEC_PER_MSEC)
/* In a large fleet, a peer that has not been heard for this long but still has
 * an entry is alive and reports to other nodes: its lease is shorter. */
#define GOSSIP_UNHEARD_USEC (6000 * LOOP_USEC_PER_MSEC)
/* Nodes of other data centres get only one in this many reports, because
 * traffic between data centres is expensive and most paths stay within one. */
#define GOSSIP_REMOTE_EVERY 3
/* In a fleet with more than NEIGHBOURS_MAX peers, this many nodes of each data
 * centre watch the store, and the others rely on their proofs and on the
 * changes that they send. In a smaller fleet every node watches for itself,
 * because its two or three watchers could be disconnected together. */
#define GOSSIP_WATCHERS 3
/* Interval at which the recipients of reports and the watchers are selected,
 * if no entry changes meanwhile. */
#define GOSSIP_SELECT_USEC (500 * LOOP_USEC_PER_MSEC)
/* Largest value of a change that is sent to peers, and most bytes of changes in
 * one datagram. Larger values are configurations, which nodes fetch. */
#define GOSSIP_CHANGE_MAX_BYTES 2048
#define GOSSIP_CHANGES_MAX_BYTES 8192
/* Key prefix of the entries of nodes in the store. */
#define GOSSIP_PREFIX "chestnuthoist/node/"
/* Most services whose demand a report contains. */
#define GOSSIP_DEMANDS_MAX 8
/* Most addresses in one lookup response to callers. */
#define GOSSIP_ADDRESSES_MAX 64

struct gossip;

/* What a node reports to its peers about its copy of the store. */
struct gossip_proof {
	/* All are of the same era. */
	struct store_position newest;
	/* There was no change after the newest one up to this position. */
	struct store_position complete;
	/* Of the configuration that its copy has received; revision 0: none. */
	struct store_position config;
	/* Latest time at which they are proved to have been current; 0:
	 * never. */
	int64_t proved_at;
};

/* Demand for the engines of a service at one node. */
struct gossip_demand {
	/* pool_hash() of the service's name. */
	uint32_t service;
	struct demand_total total;
};

struct gossip_ops {
	/* Returns this node's own proof. */
	void (*get_proof)(struct gossip_proof *, void *arg);
	/* A peer sent its proof; its time is converted to this node's clock. */
	void (*proof_received)(const struct gossip_proof *, void *arg);
	/* A peer sent all changes of the store after one position up to
	 * another. */
	void (*changes_received)(struct store_position after,
	    struct store_position, const struct kv_item *, size_t count,
	    void *arg);
	/* Fills in the demand at this node and returns the number of rows; may
	 * be NULL. */
	size_t (*get_demand)(struct gossip_demand *, size_t max, void *arg);
};

struct gossip_config {
	const char *name;
	const char *ip;
	uint16_t port;
	/* Address for callers, "ip:port". */
	const char *front;
	/* Data centre. */
	const char *place;
	/* Identifies the process; larger after each restart. */
	uint64_t boot;
	struct quarantine *quarantine;
	const struct gossip_ops *ops;
	void *arg;
};

enum status gossip_create(struct loop *, const struct gossip_config *,
    struct pool *, struct gossip **);
void gossip_destroy(struct gossip *);
struct lstr gossip_entry(const struct gossip *);
void gossip_put(struct gossip *, struct lstr name, struct lstr value);
void gossip_remove(struct gossip *, struct lstr name);
void gossip_leave(struct gossip *);
/* Sets whether callers are directed to this node, and reports it to peers. */
void gossip_set_serving(struct gossip *, bool);
/* Reports to the peers soon that a server fails. */
void gossip_report_soon(struct gossip *);
/* Sends changes of the store to the nodes that rely on this one. */
void gossip_send_changes(struct gossip *, struct store_position after,
    struct store_position, const struct kv_item *, size_t count);
void gossip_tick(struct gossip *);
/* Adds the demand for a service at the other nodes. */
void gossip_add_demand(
    const struct gossip *, uint32_t service, struct demand_total *);
/* Number of live nodes, including this one. */
uint32_t gossip_live_count(const struct gossip *);
/* Number of other live nodes that accept connections. */
uint32_t gossip_serving_count(const struct gossip *);
/* Which of the other live nodes serve and which are stopping. */
struct drain_peers gossip_drain_peers(const struct gossip *);
/* Whether nodes rely on the watches of others, and whether others rely on that
 * of this node. */
bool gossip_shares_watches(const struct gossip *);
bool gossip_is_watcher(const struct gossip *);
/* Position of this node among the live nodes, sorted by name. */
uint32_t gossip_rank(const struct gossip *);
void gossip_addresses(const struct gossip *, const char *place, GPtrArray *out);

#endif
