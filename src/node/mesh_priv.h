#ifndef CH_MESH_PRIV_H
#define CH_MESH_PRIV_H

#include <netinet/in.h>

#include "mesh.h"

/* Number of own reports whose send times are kept in order to date the proofs
 * of peers; they cover more than the time for which a proof is useful. */
#define MESH_SENT_TIMES_MAX 32

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
	/* Its entry in the store has been removed. */
	bool unlisted;
	bool leaving;
	bool suspended;
	bool silent;
	/* struct peer_use of the last report. */
	GArray *uses;
};

struct mesh {
	struct loop *loop;
	struct pool *pool;
	struct mesh_config config;
	int fd;
	struct loop_watch *watch;
	/* struct peer by name. */
	GHashTable *peers;
	struct lstr_buf entry;
	uint64_t sequence;
	int64_t sent_at;
	/* Send time of a report, indexed by sequence modulo
	 * MESH_SENT_TIMES_MAX. */
	int64_t sent_times[MESH_SENT_TIMES_MAX];
	uint32_t hash;
	int64_t started_at;
	bool leaving;
	/* Callers are temporarily not directed to this node. */
	bool suspended;
	/* The sums of the use by peers must be updated. */
	bool sums_stale;
};

uint32_t mesh_peer_hash(const char *name, uint64_t boot);
/* Whether a peer is considered live; see mesh_fleet.c. */
bool mesh_peer_is_live(const struct mesh *, const struct peer *, int64_t now);
void mesh_send_report(struct mesh *, int64_t now);

#endif
