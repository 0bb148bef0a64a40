#ifndef CH_MESH_PRIV_H
#define CH_MESH_PRIV_H

#include <netinet/in.h>

#include "mesh.h"

/* Own reports whose sending times are kept, to date peers' proofs: those of
 * more than the time for which a proof is of use. */
#define MESH_SENT_KEPT 32

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
	/* 0: never. */
	int64_t heard_at;
	int64_t listed_at;
	/* Its entry in the store is gone. */
	bool unlisted;
	bool leaving;
	bool suspended;
	bool silent;
	GArray *uses;
};

struct mesh {
	struct loop *loop;
	struct pool *pool;
	struct mesh_config config;
	int fd;
	struct loop_watch *watch;
	/* By name: struct peer. */
	GHashTable *peers;
	struct lstr_buf entry;
	uint64_t sequence;
	int64_t sent_at;
	/* When the report of a sequence was sent, by its remainder. */
	int64_t sent_times[MESH_SENT_KEPT];
	uint32_t hash;
	int64_t started_at;
	bool leaving;
	/* For the time being callers are not served here. */
	bool suspended;
	bool stale;
};

uint32_t mesh_peer_hash(const char *name, uint64_t boot);
/* Whether a peer is heard, or too new to have been heard. */
bool mesh_peer_lives(const struct mesh *, const struct peer *, int64_t now);
void mesh_send_report(struct mesh *, int64_t now);

#endif
