#ifndef CH_MIRROR_H
#define CH_MIRROR_H

#include "kv.h"

/*
 * Keeps a copy of all keys of the store with a prefix by one list and one
 * standing watch after another.
 *
 * It also says how recent the copy is proved to be. An answer of the store
 * proves the state at some moment after its call was sent, so the proof is
 * dated by the sending. A watch that is silent proves nothing; therefore
 * watches wait only MIRROR_WATCH_USEC.
 */

/* The proof of a watch is dated by its sending and lasts until the next one is
 * answered, so it grows to twice this age. That is well within the time in
 * which a revoked key must be dead, also when one answer is lost and a watch
 * that does not wait follows; each call is paid. */
#define MIRROR_WATCH_USEC (1400 * LOOP_USEC_PER_MSEC)
/* Watches are no shorter than this, whatever the limit on a proof's age. */
#define MIRROR_WATCH_MIN_USEC (200 * LOOP_USEC_PER_MSEC)
/* Left in the age of a proof for the way to the store and back. */
#define MIRROR_PROOF_SLACK_USEC (250 * LOOP_USEC_PER_MSEC)
/* The same where other nodes rely on the proofs: theirs are older. */
#define MIRROR_WATCH_SHARED_USEC (600 * LOOP_USEC_PER_MSEC)
/* Pause after an answer with changes, so that one call brings those that
 * follow: many servers change at the same time. */
#define MIRROR_COALESCE_USEC (200 * LOOP_USEC_PER_MSEC)
/* After an answer that took long to apply, the copy rests for this many times
 * as long, up to a part of the time in which a configuration must be in force.
 */
#define MIRROR_REST_FACTOR 8
#define MIRROR_REST_MAX_USEC (700 * LOOP_USEC_PER_MSEC)
/* An answer that is later than its watch by this much is taken as lost. */
#define MIRROR_ANSWER_USEC (600 * LOOP_USEC_PER_MSEC)
#define MIRROR_LIST_USEC (1500 * LOOP_USEC_PER_MSEC)
/* Pause after a failed call, doubled up to the largest. */
#define MIRROR_PAUSE_USEC (100 * LOOP_USEC_PER_MSEC)
#define MIRROR_PAUSE_MAX_USEC (800 * LOOP_USEC_PER_MSEC)
/* Without an answer for longer than this the store counts as away. */
#define MIRROR_AWAY_USEC (2500 * LOOP_USEC_PER_MSEC)

struct mirror;

struct mirror_ops {
	void (*changed)(
	    struct lstr key, struct lstr value, uint64_t version, void *arg);
	void (*removed)(struct lstr key, void *arg);
	/* All keys have been read once. */
	void (*synced)(void *arg);
};

/* A copy without a watch of its own fetches what its peers know of no more
 * often than this. */
#define MIRROR_FETCH_USEC (500 * LOOP_USEC_PER_MSEC)
/* Without a standing watch of its own, a copy relies on its peers' proofs
 * until they are this old, and then asks the store itself. All peers that it
 * hears may be cut off from the store: a new configuration is in force within
 * this time all the same. */
#define MIRROR_RELY_USEC (1700 * LOOP_USEC_PER_MSEC)

/* Who keeps a watch at the store. */
enum mirror_watch {
	/* This copy, for itself. */
	MIRROR_WATCH_OWN,
	/* This copy, for its peers as well. */
	MIRROR_WATCH_SHARED,
	/* Peers, on whose proofs this copy relies. */
	MIRROR_WATCH_PEERS
};

enum status mirror_create(struct loop *, struct kv *, const char *prefix,
    const struct mirror_ops *, void *, struct mirror **);
void mirror_destroy(struct mirror *);
/* Chooses who watches; at first the copy does for itself. */
void mirror_set_watch(struct mirror *, enum mirror_watch);
/* Shortens watches so that a proof is never older than this while the store
 * answers; 0: no such limit. */
void mirror_set_proof_max(struct mirror *, int64_t usec);
/* A peer proves that the newest change stored before a time is the one of that
 * revision. */
void mirror_vouch(struct mirror *, uint64_t revision, int64_t proved_at);
/* A peer has a newer configuration: what is missing is fetched at once. */
void mirror_hurry(struct mirror *);
void mirror_tick(struct mirror *);
/* When the copy was certainly current; 0: never. */
int64_t mirror_proved_at(const struct mirror *);
/* When the last time without the store ended; 0: there was none. */
int64_t mirror_returned_at(const struct mirror *);
/* Revision of the newest change that is known. The store's own revision moves
 * on also without changes, with each report of a server. */
uint64_t mirror_newest(const struct mirror *);
bool mirror_is_synced(const struct mirror *);
bool mirror_is_away(const struct mirror *);

#endif
