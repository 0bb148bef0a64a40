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
/* The prefix of nodes' entries in the store. */
#define MESH_PREFIX "chestnuthoist/node/"
/* Addresses in one answer to callers. */
#define MESH_ADDRESSES_MAX 64

struct mesh;

struct mesh_config {
	const char *name;
	const char *ip;
	uint16_t port;
	/* "ip:port" for callers. */
	const char *front;
	const char *place;
	uint64_t boot;
};

enum status mesh_create(struct loop *, const struct mesh_config *,
    struct pool *, struct mesh **);
void mesh_destroy(struct mesh *);
struct lstr mesh_entry(const struct mesh *);
void mesh_put(struct mesh *, struct lstr name, struct lstr value);
void mesh_remove(struct mesh *, struct lstr name);
void mesh_leave(struct mesh *);
void mesh_tick(struct mesh *);
/* Nodes that live, this one included. */
uint32_t mesh_live_count(const struct mesh *);
/* Other nodes that live and take connections. */
uint32_t mesh_serving_count(const struct mesh *);
/* Position of this node among the live ones by name. */
uint32_t mesh_rank(const struct mesh *);
void mesh_addresses(const struct mesh *, const char *place, GPtrArray *out);

#endif
