#ifndef CH_MESH_H
#define CH_MESH_H

#include "pool.h"

/*
 * The nodes of the system and the reports that they exchange. Each node has an
 * entry in the store and sends a datagram to the other nodes several times a
 * second: its use of each backend server, which servers fail for it, and
 * whether it accepts connections. Reports contain the full state, so a lost
 * datagram is superseded by the next one.
 */

/* Interval of reports; shorter than the lag of the engines' own reports. */
#define MESH_SEND_USEC (200 * LOOP_USEC_PER_MSEC)
/* A peer without a report for this long is considered dead, and its address is
 * not given to callers. */
#define MESH_SILENT_USEC (1000 * LOOP_USEC_PER_MSEC)
/* Most peers that one node sends reports to. In a larger fleet each node picks
 * this many neighbours in name order, so that traffic per node stays bounded.
 */
#define MESH_FANOUT 24
/* Nodes of other data centres get only one in this many reports, because
 * traffic between data centres is expensive and most paths stay within one. */
#define MESH_REMOTE_EVERY 3
/* In a fleet with more than MESH_FANOUT peers, one in this many nodes in name
 * order watches the store and the others rely on its proofs; each node hears
 * from about five such watchers. In a smaller fleet every node watches for
 * itself, because its two or three watchers could be disconnected together. */
#define MESH_WATCHER_EVERY 5
/* Key prefix of the entries of nodes in the store. */
#define MESH_PREFIX "chestnuthoist/node/"
/* Most addresses in one lookup response to callers. */
#define MESH_ADDRESSES_MAX 64

struct mesh;

/* What a node reports to its peers about its copy of the store. */
struct mesh_proof {
	uint64_t store_revision;
	uint64_t config_revision;
	/* Latest time at which both are proved to have been current; 0:
	 * never. */
	int64_t proved_at;
};

struct mesh_ops {
	/* Returns this node's own proof. */
	void (*get_proof)(struct mesh_proof *, void *arg);
	/* A peer sent its proof; its time is converted to this node's clock. */
	void (*proof_received)(const struct mesh_proof *, void *arg);
};

struct mesh_config {
	const char *name;
	const char *ip;
	uint16_t port;
	/* Address for callers, "ip:port". */
	const char *front;
	/* Data centre. */
	const char *place;
	/* Identifies the process; larger after each restart. */
	uint64_t boot;
	const struct mesh_ops *ops;
	void *arg;
};

enum status mesh_create(
    struct loop *, const struct mesh_config *, struct pool *, struct mesh **);
void mesh_destroy(struct mesh *);
struct lstr mesh_entry(const struct mesh *);
void mesh_put(struct mesh *, struct lstr name, struct lstr value);
void mesh_remove(struct mesh *, struct lstr name);
void mesh_leave(struct mesh *);
/* Sets whether callers are directed to this node, and reports it to peers. */
void mesh_set_serving(struct mesh *, bool);
void mesh_tick(struct mesh *);
/* Number of live nodes, including this one. */
uint32_t mesh_live_count(const struct mesh *);
/* Number of other live nodes that accept connections. */
uint32_t mesh_serving_count(const struct mesh *);
/* Whether nodes rely on the watches of others, and whether others rely on that
 * of this node. */
bool mesh_shares_watches(const struct mesh *);
bool mesh_is_watcher(const struct mesh *);
/* Position of this node among the live nodes, sorted by name. */
uint32_t mesh_rank(const struct mesh *);
void mesh_addresses(const struct mesh *, const char *place, GPtrArray *out);

#endif
