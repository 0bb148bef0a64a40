#ifndef CH_STORE_CACHE_H
#define CH_STORE_CACHE_H

#include "kv.h"
#include "store_position.h"

/*
 * Keeps a local copy of all keys of the store with a prefix: it lists them once
 * and then follows changes with consecutive long-poll watches.
 *
 * It also tracks how recent the copy is proved to be. A response of the store
 * proves the state at some moment after its call was sent, so the proof has the
 * time at which the call was sent. A pending watch proves nothing; therefore
 * watches wait for at most STORE_CACHE_WATCH_USEC.
 *
 * The store may come back from an older copy of its data. Its era then rises,
 * and all keys are listed again; see struct store_position. A store that tells
 * no era is known to have done so if its revision has gone back, and may have
 * done so if it has no history since the known revision. What such a
 * store wrote over a lost revision before this node called it again cannot be
 * told apart.
 */

/* Longest wait of a watch. The proof of a watch has the time at which it was
 * sent and is used until the next watch is answered, so its age grows to twice
 * this value. That is well within the time in which a revoked key must stop
 * working, even if one response is lost and a watch without waiting follows.
 * Shorter watches would cost more, since each call to the store is paid for. */
#define STORE_CACHE_WATCH_USEC (1400 * LOOP_USEC_PER_MSEC)
/* Shortest wait of a watch, whatever the limit on the age of proofs. */
#define STORE_CACHE_WATCH_MIN_USEC (200 * LOOP_USEC_PER_MSEC)
/* Allowance in the age of a proof for the round trip to the store. */
#define STORE_CACHE_PROOF_SLACK_USEC (250 * LOOP_USEC_PER_MSEC)
/* Longest wait of a watch if other nodes rely on its proofs, which are older
 * when they arrive there. */
#define STORE_CACHE_WATCH_SHARED_USEC (600 * LOOP_USEC_PER_MSEC)
/* Pause after a watch that the store answered early, so that the next one
 * returns several of the changes that follow: many servers change at the same
 * time. */
#define STORE_CACHE_COALESCE_USEC (200 * LOOP_USEC_PER_MSEC)
/* Shortest interval between watches for peers. Several nodes of a data centre
 * watch, so the peers learn of a change sooner. */
#define STORE_CACHE_SHARED_INTERVAL_USEC (400 * LOOP_USEC_PER_MSEC)
/* After a response, no call is made for this many times the time that it took
 * to apply, up to a maximum that is a part of the time in which a configuration
 * must become active. */
#define STORE_CACHE_THROTTLE_FACTOR 8
#define STORE_CACHE_THROTTLE_MAX_USEC (700 * LOOP_USEC_PER_MSEC)
/* A response that is overdue by this much after the end of its watch counts as
 * lost. */
#define STORE_CACHE_RESPONSE_USEC (600 * LOOP_USEC_PER_MSEC)
/* Time limit of a list call. */
#define STORE_CACHE_LIST_USEC (1500 * LOOP_USEC_PER_MSEC)
/* Pause after a failed call, doubled with each failure up to the maximum. */
#define STORE_CACHE_BACKOFF_USEC (100 * LOOP_USEC_PER_MSEC)
#define STORE_CACHE_BACKOFF_MAX_USEC (800 * LOOP_USEC_PER_MSEC)
/* After the store has come back from an older copy, the operator writes its
 * lost configurations again within this time. Until then a proof would be of a
 * configuration that may have been replaced already, by one that this node has
 * never seen. */
#define STORE_CACHE_REWRITE_USEC (1 * LOOP_USEC_PER_SEC)
/* A datagram of a peer does not arrive later than this. */
#define STORE_CACHE_DATAGRAM_USEC (5 * LOOP_USEC_PER_SEC)
/* Without a response for longer than this, the store counts as unreachable. */
#define STORE_CACHE_STORE_LOST_USEC (2500 * LOOP_USEC_PER_MSEC)

struct store_cache;

struct store_cache_ops {
	void (*changed)(struct lstr key, struct lstr value,
	    struct store_position, void *arg);
	void (*removed)(struct lstr key, void *arg);
	/* All keys have been read for the first time. */
	void (*synced)(void *arg);
	/* A watch for the peers as well returned all changes after one position
	 * up to another. */
	void (*fetched)(struct store_position after, struct store_position,
	    const struct kv_item *items, size_t count, void *arg);
};

/* Shortest interval between fetches of changes known to peers by a copy without
 * its own watch. */
#define STORE_CACHE_FETCH_USEC (800 * LOOP_USEC_PER_MSEC)
/* A copy without its own watch that learns of a change waits this long for a
 * peer to send it, before it fetches the change itself. */
#define STORE_CACHE_RELAY_USEC (400 * LOOP_USEC_PER_MSEC)
/* A copy without its own watch relies on its peers' proofs until they are this
 * old, and then queries the store itself. Thus a new configuration becomes
 * active within this time even if all peers that it hears from are disconnected
 * from the store. */
#define STORE_CACHE_PEER_PROOF_USEC (1700 * LOOP_USEC_PER_MSEC)

/* Which nodes watch the store. */
enum store_cache_watch {
	/* This node, for its own copy. */
	STORE_CACHE_WATCH_OWN,
	/* This node, for its own copy and for its peers. */
	STORE_CACHE_WATCH_SHARED,
	/* Only peers, on whose proofs this copy relies. */
	STORE_CACHE_WATCH_PEERS
};

enum status store_cache_create(struct loop *, struct kv *, const char *prefix,
    const struct store_cache_ops *, void *, struct store_cache **);
void store_cache_destroy(struct store_cache *);
/* Sets which nodes watch the store; initially STORE_CACHE_WATCH_OWN. */
void store_cache_set_watch(struct store_cache *, enum store_cache_watch);
/* Shortens watches so that a proof is never older than this while the store
 * responds; 0: the limit is left unchanged. */
void store_cache_set_proof_max(struct store_cache *, int64_t usec);
/* Reports a proof of a peer: at that time, the newest change in the store had
 * that position, and there was none after it up to the complete position. It
 * counts as a proof of this copy only if both have the same configuration. */
void store_cache_note_peer_proof(struct store_cache *,
    struct store_position newest, struct store_position complete,
    int64_t proved_at, bool same_config);
/* Applies all changes after one position up to another that a peer read. */
void store_cache_apply_peer_changes(struct store_cache *,
    struct store_position after, struct store_position, const struct kv_item *,
    size_t count);
/* Fetches missing changes at once, because a peer has a newer configuration. */
void store_cache_fetch_now(struct store_cache *);
void store_cache_tick(struct store_cache *);
/* Notes the settled era that a key of the store states. If it is lower than the
 * era of the first list, proofs count only after STORE_CACHE_REWRITE_USEC. */
void store_cache_note_settled_era(struct store_cache *, uint64_t era);
/* Era of the store in which the copy has been proved, after the time to write
 * lost configurations again; 0: not proved in it yet, or no era stated. */
uint64_t store_cache_proved_era(const struct store_cache *);
/* Latest time at which the copy is proved to have been current; 0: never. */
int64_t store_cache_proved_at(const struct store_cache *);
/* When the last outage of the store ended, or when it was seen to have come
 * back from an older copy; 0: never. */
int64_t store_cache_store_regained_at(const struct store_cache *);
/* Position of the newest known change. The position of the store itself also
 * advances without such changes, with each report of a server. */
struct store_position store_cache_newest_position(const struct store_cache *);
/* All changes up to this position of the store are known. Revision 0: it must
 * be listed. */
struct store_position store_cache_complete_position(const struct store_cache *);
/* How often the store has come back from an older copy of its data. */
uint64_t store_cache_restore_count(const struct store_cache *);
/* Whether the keys are listed again because the store has lost changes or may
 * have, so that what is reported may be older than what was known before. */
bool store_cache_is_restoring(const struct store_cache *);
/* Whether they are listed because the store is known to have come back from an
 * older copy. */
bool store_cache_lists_old_copy(const struct store_cache *);
bool store_cache_is_synced(const struct store_cache *);
bool store_cache_is_store_lost(const struct store_cache *);

#endif
