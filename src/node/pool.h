#ifndef CH_POOL_H
#define CH_POOL_H

#include <glib.h>

#include "adapter.h"
#include "findings.h"
#include "path.h"
#include "spread.h"

/*
 * The backend servers as seen by this node: their entries in the platform's
 * list, their health and speed as observed by requests, and their use by this
 * node and its peers.
 */

/* A server that failed gets no requests for this long. The time doubles with
 * each consecutive failure up to the maximum; after it, the server must answer
 * a probe before it gets requests again. */
#define POOL_AVOID_USEC (600 * LOOP_USEC_PER_MSEC)
#define POOL_AVOID_MAX_USEC (2400 * LOOP_USEC_PER_MSEC)
/* A server without capacity gets no new requests for this long: about the time
 * in which one of its requests ends, and longer than the report interval of
 * peers. */
#define POOL_FULL_USEC (400 * LOOP_USEC_PER_MSEC)
/* A refusal by a server counts as lack of capacity if at least this fraction of
 * its memory is reserved, and as a fault otherwise. */
#define POOL_FULL_SHARE 0.6
/* Standard deviations added to memory use that is extrapolated from a sample of
 * the nodes; with this margin, one estimate in six is too low. */
#define POOL_MARGIN_DEVIATIONS 1.0
/* An entry that expired while the store was unreachable is kept for this long
 * after the store returns, so that a live server can register again. */
#define POOL_EXPIRY_GRACE_USEC (2 * LOOP_USEC_PER_SEC)
/* A peer's report is valid for this long; one is sent every GOSSIP_SEND_USEC.
 */
#define POOL_PEER_USE_USEC (1000 * LOOP_USEC_PER_MSEC)
/* Failures of this age no longer explain a lack of capacity. */
#define POOL_FAILURE_MEMORY_USEC (6 * LOOP_USEC_PER_SEC)
/* A peer's report that a server fails is ignored if this node saw the server
 * work within this time: it may be the peer that is disconnected. */
#define POOL_OWN_EVIDENCE_USEC FINDINGS_OWN_USEC
/* After a node has seen which layers a server holds, it confirms them to its
 * peers for this long. */
#define POOL_CONFIRM_USEC (3 * LOOP_USEC_PER_SEC)
/* Long gaps between the events of a path make all its servers look slow. A
 * server that appears this many times slower than its kind is asked for a
 * report. */
#define POOL_SUSPECT_SLOWNESS 2.5
/* Time for which a reported slowness takes precedence over measured gaps. */
#define POOL_REPORT_VALID_USEC (2 * LOOP_USEC_PER_SEC)
/* Longest time for which a server may refuse calls: longer than any by which
 * servers pace their callers. A longer one is a fault of the server, which must
 * not exclude it until it starts again. */
#define POOL_REFUSES_MAX_USEC (3600 * LOOP_USEC_PER_SEC)
/* A server that has sent this many answers that are not valid, and no success
 * between them, is at fault. */
#define POOL_BROKEN_ANSWERS 3
/* Weight of the newest sample in exponential moving averages. */
#define POOL_SAMPLE_WEIGHT 0.1

/* Why a server is avoided. */
enum pool_evidence {
	/* It does not answer in time. It may be sound and go on, so its next
	 * answer ends the exclusion. */
	POOL_SILENT,
	/* Work that runs through it makes no progress, although it may answer;
	 * progress ends the exclusion. */
	POOL_STALLED,
	/* It refused work that runs on elsewhere; nothing shows that its
	 * process has failed. */
	POOL_REFUSING,
	/* It or another server has shown that it cannot serve. */
	POOL_FAULTY
};

/* A sign that a server works. */
enum pool_sign {
	/* An answer of its own. */
	POOL_ANSWER,
	/* An event that came through it. */
	POOL_PROGRESS
};

/* Use of a server by requests: memory in token-layers, running requests, and
 * those of them for which it is the first stage. */
struct pool_use {
	int64_t memory;
	uint32_t active;
	uint32_t first_active;
};

struct pool_server {
	struct fleet_server info;
	uint32_t hash;
	/* The servers of its kind in its data centre. */
	struct spread_group *group;
	/* The entry is stale because a process that started later has the same
	 * address. Updated with every entry of either server. */
	bool superseded;
	/* The server is draining, leaving or was removed, and may end from this
	 * time on; 0: none of them. */
	int64_t stops_at;
	/* Its process stated that it is leaving and takes nothing new, whatever
	 * its entry says. */
	bool leaving;
	/* Its process refused a call and wants no other one before this time.
	 */
	int64_t refuses_until;
	/* The entry has expired, and the server is removed at this time; 0: it
	 * has not. */
	int64_t entry_expires_at;
	/* The server gets no requests before this time after a failure. */
	int64_t avoid_until;
	/* The gravest reason of the exclusion. */
	enum pool_evidence evidence;
	/* A process that started later has its identifier or address. */
	bool replaced;
	/* A connection to it has ended with a request in hand, or was refused,
	 * since it last worked. */
	bool connection_lost;
	/* Answers that were not valid since the last success. */
	uint32_t broken_answers;
	/* Time of the first failure since it last worked; 0: none. */
	int64_t failing_since;
	/* When this node found definite evidence of it; 0: none. */
	int64_t found_at;
	/* Until then this node confirms the layers to its peers. */
	int64_t confirm_until;
	/* A peer reported that the server fails; when the first of these
	 * reports came that followed each other, and the hash of its peer. */
	int64_t peer_avoid_until;
	/* The peer's evidence is definite; see findings.h. */
	bool peer_definite;
	int64_t peer_failing_since;
	uint32_t peer_failing_hash;
	/* Two peers report that the server fails. */
	bool peers_agree;
	/* It had no capacity for a request of this node, or of a peer. */
	int64_t full_until;
	int64_t peer_full_until;
	/* Time of the last refusal for lack of capacity; 0: never. */
	int64_t full_at;
	/* Consecutive failures. */
	uint32_t failures;
	/* Moving averages: fraction of requests that failed, and ratio of its
	 * times to those expected of its kind. */
	double error_rate;
	double slowness;
	int64_t slowness_at;
	/* Time at which the server itself last reported its slowness; 0:
	 * never. */
	int64_t reported_at;
	/* Time of the last response, or of the last progress of a stream
	 * through it. */
	int64_t worked_at;
	/* Time of the last progress of a stream through it; 0: never. */
	int64_t progressed_at;
	struct pool_use own;
	struct pool_use peers;
	/* Variance of the number of the peers' requests if that is extrapolated
	 * from the reports of only some of them, and the margin that is added
	 * to their memory for it. */
	double peers_variance;
	int64_t peers_margin;
	/* The part of the peers' use that is reported, not extrapolated, and
	 * its requests times the times of the reports. */
	struct pool_use reported;
	double reported_aged;
	/* State of spread_draw(). */
	uint32_t draws;
	/* Idle connections: struct h1_conn. */
	GQueue idle;
	uint32_t connections;
	/* Time of the last probe, and whether its response is pending. */
	int64_t probed_at;
	bool probing;
};

struct pool {
	/* struct pool_server by identifier, by hash and by address. */
	GHashTable *by_id;
	GHashTable *by_hash;
	GHashTable *by_address;
	/* struct pool_server that were removed; requests may still use them. */
	GPtrArray *removed;
	/* Number of changes to the listed servers and their layers. */
	uint64_t version;
	/* When the last new server was added. */
	int64_t last_added_at;
	/* When the last server failed or vanished that has been removed since,
	 * by data centre (int64_t). */
	GHashTable *removed_failures;
	/* struct spread_group by service, data centre and kind; emptied groups
	 * are removed. */
	GHashTable *groups;
	/* Strength of the effect of spread.h, and the start of its random
	 * numbers, which differs by node. */
	double spread_strength;
	uint32_t spread_seed;
	/* Time for which a draining server still serves. */
	int64_t drain_usec;
};

struct pool *pool_new(void);
void pool_free(struct pool *);
void pool_register_metrics(void);
struct pool_server *pool_put(
    struct pool *, struct fleet_server *, int64_t now, bool *is_new);
void pool_remove(struct pool *, const char *id, int64_t now);
void pool_expire_at(struct pool *, const char *id, int64_t until);
struct pool_server *pool_find(const struct pool *, const char *id);
struct pool_server *pool_find_hash(const struct pool *, uint32_t);
struct pool_server *pool_find_address(const struct pool *, struct lstr);
struct pool_server *pool_find_process(
    const struct pool *, struct pool_server *);
uint32_t pool_hash(struct lstr);

void pool_note_peer_finding(struct pool_server *, uint32_t peer,
    const struct finding *, int64_t until, int64_t now);
int64_t pool_found_at(const struct pool_server *);
bool pool_has_ended(const struct pool_server *, int64_t now);
void pool_note_peer_avoids(
    struct pool_server *, uint32_t peer, int64_t until, int64_t now);
int64_t pool_failing_since(const struct pool_server *, int64_t now);
int64_t pool_last_failure_at(
    const struct pool *, const char *service, const char *place, int64_t now);
void pool_confirm_layers(
    struct pool *, struct pool_server *, uint32_t from, uint32_t to);
bool pool_note_leaving(struct pool *, struct pool_server *, int64_t now);
bool pool_note_refuses(
    struct pool_server *, int64_t retry_after_usec, int64_t now);
bool pool_refuses(const struct pool_server *, int64_t now);
int64_t pool_wanted_at(
    GPtrArray *servers, const struct fleet_engine *, int64_t now);
void pool_note_working(struct pool_server *, enum pool_sign, int64_t now);
bool pool_is_on_probation(const struct pool_server *, int64_t now);
bool pool_usable(const struct pool_server *, int64_t now);
bool pool_avoid(struct pool_server *, enum pool_evidence, int64_t now);
void pool_note_replaced(struct pool_server *, int64_t born);
void pool_note_connection_lost(struct pool_server *);
bool pool_note_broken_answer(struct pool_server *);
bool pool_is_nearly_full(
    const struct pool_server *, const struct fleet_engine *);
bool pool_note_full(struct pool_server *, int64_t now);
int64_t pool_sampling_margin(const struct pool_use *, double variance);
void pool_clear_peers_use(struct pool *);
void pool_add_peers_use(
    struct pool_server *, const struct pool_use *, double scale);
void pool_date_peers_use(
    struct pool_server *, const struct pool_use *, int64_t reported_at);
void pool_finish_peers_use(struct pool *);
void pool_note_result(struct pool_server *, bool success);
void pool_note_slowness(struct pool_server *, double ratio, int64_t now);
void pool_note_reported_slowness(
    struct pool_server *, double slowness, int64_t now);
bool pool_needs_slowness_report(const struct pool_server *, int64_t now);
double pool_slowness(const struct pool_server *, int64_t now);

GPtrArray *pool_service_servers(const struct pool *, const char *service);
size_t pool_path_table(GPtrArray *servers, const struct fleet_engine *,
    int64_t now, struct path_server *out, size_t max);
struct pool_server *pool_pick_plain(GPtrArray *servers, const char *zone,
    const struct pool_server *except, int64_t now, uint32_t random);

#endif
