#ifndef CH_MESH_H
#define CH_MESH_H

#include "pool.h"

/*
 * The nodes of the system and what they tell each other. Each node has an
 * entry in the store, and sends the others a datagram several times a second:
 * what it uses of each backend server, which servers fail for it, and whether
 * it takes connections. A lost datagram is made good by the next one.
 */

/* Shorter than the lag of the engines' own reports. */
#define MESH_SEND_USEC (200 * LOOP_USEC_PER_MSEC)
/* A peer that is not heard for this long is not named to callers. */
#define MESH_SILENT_USEC (1000 * LOOP_USEC_PER_MSEC)
/* Peers that one node sends to; in a larger fleet each node picks that many
 * neighbours in the order of names, so that traffic does not grow with it. */
#define MESH_FANOUT 24
/* Nodes of other data centres get each such report: traffic between data
 * centres is dear, and most paths stay within one. */
#define MESH_AWAY_EVERY 3
/* In a fleet in which not all nodes hear each other, each such node in the
 * order of names keeps a watch at the store and the others rely on its proofs.
 * Each node hears about five of them. In a smaller fleet each node watches for
 * itself: two or three watchers may be cut off together. */
#define MESH_WATCH_EVERY 5
/* The prefix of nodes' entries in the store. */
#define MESH_PREFIX "chestnuthoist/node/"
/* Addresses in one answer to callers. */
#define MESH_ADDRESSES_MAX 64

struct mesh;

/* What a node knows of the store, for its peers. */
struct mesh_proof {
	uint64_t store_revision;
	uint64_t config_revision;
	/* When both were certainly current; 0: never. */
	int64_t proved_at;
};

struct mesh_ops {
	/* Fills in this node's own proof. */
	void (*get_proof)(struct mesh_proof *, void *arg);
	/* A peer proves what it has; the time is on this node's clock. */
	void (*vouched)(const struct mesh_proof *, void *arg);
};

struct mesh_config {
	const char *name;
	const char *ip;
	uint16_t port;
	/* "ip:port" for callers. */
	const char *front;
	const char *place;
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
/* Whether callers are to be sent to this node; it is told to the peers. */
void mesh_set_serving(struct mesh *, bool);
void mesh_tick(struct mesh *);
/* Nodes that live, this one included. */
uint32_t mesh_live_count(const struct mesh *);
/* Other nodes that live and take connections. */
uint32_t mesh_serving_count(const struct mesh *);
/* Whether nodes rely on each other's watches, and whether on this one's. */
bool mesh_shares_watches(const struct mesh *);
bool mesh_is_watcher(const struct mesh *);
/* Position of this node among the live ones by name. */
uint32_t mesh_rank(const struct mesh *);
void mesh_addresses(const struct mesh *, const char *place, GPtrArray *out);

#endif
