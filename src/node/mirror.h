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
/* Pause after an answer with changes, so that one call brings those that
 * follow: many servers change at the same time. */
#define MIRROR_COALESCE_USEC (200 * LOOP_USEC_PER_MSEC)
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
	void (*changed)(struct lstr key, struct lstr value, uint64_t version,
	    void *arg);
	void (*removed)(struct lstr key, void *arg);
	/* All keys have been read once. */
	void (*synced)(void *arg);
};

enum status mirror_create(struct loop *, struct kv *, const char *prefix,
    const struct mirror_ops *, void *, struct mirror **);
void mirror_destroy(struct mirror *);
/* When the copy was certainly current; 0: never. */
int64_t mirror_proved_at(const struct mirror *);
/* When the last time without the store ended; 0: there was none. */
int64_t mirror_returned_at(const struct mirror *);
uint64_t mirror_revision(const struct mirror *);
bool mirror_is_synced(const struct mirror *);
bool mirror_is_away(const struct mirror *);

#endif
