#ifndef CH_MIRROR_H
#define CH_MIRROR_H

#include "kv.h"

/*
 * Keeps a local copy of all keys of the store with a prefix: it lists them once
 * and then follows changes with consecutive long-poll watches.
 *
 * It also tracks how recent the copy is proved to be. A response of the store
 * proves the state at some moment after its call was sent, so the proof has the
 * time at which the call was sent. A pending watch proves nothing; therefore
 * watches wait for at most MIRROR_WATCH_USEC.
 */

/* Longest wait of a watch. The proof of a watch has the time at which it was
 * sent and is used until the next watch is answered, so its age grows to twice
 * this value. That is well within the time in which a revoked key must stop
 * working, even if one response is lost and a watch without waiting follows.
 * Shorter watches would cost more, since each call to the store is paid for. */
#define MIRROR_WATCH_USEC (1400 * LOOP_USEC_PER_MSEC)
/* Shortest wait of a watch, whatever the limit on the age of proofs. */
#define MIRROR_WATCH_MIN_USEC (200 * LOOP_USEC_PER_MSEC)
/* Allowance in the age of a proof for the round trip to the store. */
#define MIRROR_PROOF_SLACK_USEC (250 * LOOP_USEC_PER_MSEC)
/* Longest wait of a watch if other nodes rely on its proofs, which are older
 * when they arrive there. */
#define MIRROR_WATCH_SHARED_USEC (600 * LOOP_USEC_PER_MSEC)
/* Pause after a response with changes, so that the next call returns several of
 * the changes that follow: many servers change at the same time. */
#define MIRROR_COALESCE_USEC (200 * LOOP_USEC_PER_MSEC)
/* After a response, no call is made for this many times the time that it took
 * to apply, up to a maximum that is a part of the time in which a configuration
 * must become active. */
#define MIRROR_THROTTLE_FACTOR 8
#define MIRROR_THROTTLE_MAX_USEC (700 * LOOP_USEC_PER_MSEC)
/* A response that is overdue by this much after the end of its watch counts as
 * lost. */
#define MIRROR_RESPONSE_USEC (600 * LOOP_USEC_PER_MSEC)
/* Time limit of a list call. */
#define MIRROR_LIST_USEC (1500 * LOOP_USEC_PER_MSEC)
/* Pause after a failed call, doubled with each failure up to the maximum. */
#define MIRROR_BACKOFF_USEC (100 * LOOP_USEC_PER_MSEC)
#define MIRROR_BACKOFF_MAX_USEC (800 * LOOP_USEC_PER_MSEC)
/* Without a response for longer than this, the store counts as unreachable. */
#define MIRROR_STORE_LOST_USEC (2500 * LOOP_USEC_PER_MSEC)

struct mirror;

struct mirror_ops {
	void (*changed)(
	    struct lstr key, struct lstr value, uint64_t version, void *arg);
	void (*removed)(struct lstr key, void *arg);
	/* All keys have been read for the first time. */
	void (*synced)(void *arg);
};

/* Shortest interval between fetches of changes known to peers by a copy without
 * its own watch. */
#define MIRROR_FETCH_USEC (500 * LOOP_USEC_PER_MSEC)
/* A copy without its own watch relies on its peers' proofs until they are this
 * old, and then queries the store itself. Thus a new configuration becomes
 * active within this time even if all peers that it hears from are disconnected
 * from the store. */
#define MIRROR_PEER_PROOF_USEC (1700 * LOOP_USEC_PER_MSEC)

/* Which nodes watch the store. */
enum mirror_watch {
	/* This node, for its own copy. */
	MIRROR_WATCH_OWN,
	/* This node, for its own copy and for its peers. */
	MIRROR_WATCH_SHARED,
	/* Only peers, on whose proofs this copy relies. */
	MIRROR_WATCH_PEERS
};

enum status mirror_create(struct loop *, struct kv *, const char *prefix,
    const struct mirror_ops *, void *, struct mirror **);
void mirror_destroy(struct mirror *);
/* Sets which nodes watch the store; initially MIRROR_WATCH_OWN. */
void mirror_set_watch(struct mirror *, enum mirror_watch);
/* Shortens watches so that a proof is never older than this while the store
 * responds; 0: the limit is left unchanged. */
void mirror_set_proof_max(struct mirror *, int64_t usec);
/* Reports a proof of a peer: at that time, the newest change in the store had
 * that revision. */
void mirror_note_peer_proof(
    struct mirror *, uint64_t revision, int64_t proved_at);
/* Fetches missing changes at once, because a peer has a newer configuration. */
void mirror_fetch_now(struct mirror *);
void mirror_tick(struct mirror *);
/* Latest time at which the copy is proved to have been current; 0: never. */
int64_t mirror_proved_at(const struct mirror *);
/* When the last outage of the store ended; 0: there was none. */
int64_t mirror_store_regained_at(const struct mirror *);
/* Revision of the newest known change. The revision of the store itself also
 * advances without such changes, with each report of a server. */
uint64_t mirror_newest_revision(const struct mirror *);
bool mirror_is_synced(const struct mirror *);
bool mirror_is_store_lost(const struct mirror *);

#endif
