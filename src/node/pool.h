#ifndef CH_POOL_H
#define CH_POOL_H

#include <glib.h>

#include "adapter.h"
#include "path.h"

/*
 * The backend servers as this node sees them: what the platform lists, what
 * live requests showed, and what this node and its peers use of them.
 */

/* A server that failed gets nothing for this long, doubled for each failure
 * in a row up to the largest; afterwards it must answer a question first. */
#define POOL_AVOID_USEC (600 * LOOP_USEC_PER_MSEC)
#define POOL_AVOID_MAX_USEC (2400 * LOOP_USEC_PER_MSEC)
/* A server that has no room gets nothing new for this long: about the time in
 * which one of its requests ends, and longer than peers take to report. */
#define POOL_FULL_USEC (400 * LOOP_USEC_PER_MSEC)
/* A refusal of a server whose memory is promised to this share is taken for
 * want of room, and else for a fault. */
#define POOL_CROWDED_SHARE 0.6
/* Standard deviations by which the use that was worked out from a sample of
 * the nodes is raised: one estimate in six is too low then. */
#define POOL_MARGIN_DEVIATIONS 1.0
/* An entry that lapsed while the store was away stays this long after the
 * return, in which a live server registers again. */
#define POOL_LAPSE_USEC (2 * LOOP_USEC_PER_SEC)
/* Peers' reports are used for this long; they come every MESH_SEND_USEC. */
#define POOL_PEER_USE_USEC (1000 * LOOP_USEC_PER_MSEC)
/* A peer's word that a server fails is not taken within this time of own
 * evidence that it works: the peer may be the one that is cut off. */
#define POOL_TRUST_OWN_USEC (500 * LOOP_USEC_PER_MSEC)
/* A node vouches this long for layers that it saw a server hold. */
#define POOL_VOUCH_USEC (3 * LOOP_USEC_PER_SEC)
/* Pauses of a path put all its servers under suspicion; one that seems this
 * much slower than its kind is asked, and its word counts for a time. */
#define POOL_SUSPECT_SLOWNESS 2.5
#define POOL_REPORT_USEC (2 * LOOP_USEC_PER_SEC)
/* Weight of the newest sample in moving averages. */
#define POOL_SAMPLE_WEIGHT 0.1

/* What requests of one node use of a server. */
struct pool_use {
	int64_t memory;
	uint32_t active;
	uint32_t first_active;
};

struct pool_server {
	struct fleet_server info;
	uint32_t hash;
	/* Another process that started later has the address, so the entry is a
	 * stale one. Settled anew with each report of either. */
	bool superseded;
	/* It is leaving and may end from this time on; 0: it is not. */
	int64_t leaves_at;
	/* The entry is gone; the server may be used until lapse_at. */
	int64_t lapse_at;
	int64_t avoid_until;
	/* When it began to fail; 0: it works as far as is known. */
	int64_t failing_since;
	/* Until then this node vouches to its peers for the layers. */
	int64_t vouch_until;
	/* Told by a peer. */
	int64_t peer_avoid_until;
	/* It had no room, for this node and for a peer. */
	int64_t full_until;
	int64_t peer_full_until;
	/* When it last refused a request for want of room; 0: never. */
	int64_t full_at;
	uint32_t failures;
	/* Share of requests that failed, and of answer time over its kind. */
	double error_rate;
	double slowness;
	int64_t slowness_at;
	/* When the server itself said how slow it is; 0: never. */
	int64_t reported_at;
	/* When it last answered or a stream through it made progress. */
	int64_t good_at;
	struct pool_use own;
	struct pool_use peers;
	/* By how much the peers' memory may be more, where only some of them
	 * are heard. */
	int64_t peers_margin;
	/* Connections that wait for a request: struct h1_conn. */
	GQueue idle;
	uint32_t connections;
	/* When its last report was asked for, and whether it is awaited. */
	int64_t probed_at;
	bool probing;
};

struct pool {
	/* By identifier. */
	GHashTable *by_id;
	GHashTable *by_hash;
	GHashTable *by_address;
	/* struct pool_server that are gone but still used by requests. */
	GPtrArray *gone;
	/* Counts changes, for the logs. */
	uint64_t version;
	int64_t last_added_at;
	/* A server that leaves serves this much longer. */
	int64_t leave_usec;
};

struct pool *pool_new(void);
void pool_free(struct pool *);
struct pool_server *pool_put(
    struct pool *, struct fleet_server *, int64_t now, bool *is_new);
void pool_remove(struct pool *, const char *id, int64_t now);
void pool_lapse(struct pool *, const char *id, int64_t until);
struct pool_server *pool_find(const struct pool *, const char *id);
struct pool_server *pool_find_hash(const struct pool *, uint32_t);
struct pool_server *pool_find_address(const struct pool *, struct lstr);
uint32_t pool_hash(struct lstr);

void pool_peer_avoids(struct pool_server *, int64_t until, int64_t now);
void pool_confirm_layers(
    struct pool *, struct pool_server *, uint32_t from, uint32_t to);
void pool_note_good(struct pool_server *, int64_t now);
bool pool_is_on_probation(const struct pool_server *, int64_t now);
bool pool_usable(const struct pool_server *, int64_t now);
bool pool_avoid(struct pool_server *, int64_t now);
bool pool_is_crowded(const struct pool_server *, const struct fleet_engine *);
bool pool_note_full(struct pool_server *, int64_t now);
int64_t pool_sampling_margin(const struct pool_use *, double scale);
void pool_note_answer(struct pool_server *, bool good);
void pool_note_pace(struct pool_server *, double ratio, int64_t now);
void pool_report_pace(struct pool_server *, double slowness, int64_t now);
bool pool_wants_pace(const struct pool_server *, int64_t now);
double pool_slowness(const struct pool_server *, int64_t now);

GPtrArray *pool_service(const struct pool *, const char *service);
size_t pool_path_table(GPtrArray *servers, const struct fleet_engine *,
    int64_t now, struct path_server *out, size_t max);
struct pool_server *pool_pick_plain(GPtrArray *servers, const char *zone,
    const struct pool_server *except, int64_t now, uint32_t random);

#endif
