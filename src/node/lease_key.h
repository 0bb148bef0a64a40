#ifndef CH_LEASE_KEY_H
#define CH_LEASE_KEY_H

#include "kv.h"
#include "store_position.h"

/*
 * A key in the store that this process holds with a lease, which it renews
 * periodically: the node's own entry, and the key that elects the planner.
 */

/* Delay before a failed call is retried. */
#define LEASE_KEY_RETRY_USEC (400 * LOOP_USEC_PER_MSEC)
/* Time limit of a call to the store. */
#define LEASE_KEY_CALL_USEC (800 * LOOP_USEC_PER_MSEC)

struct lease_key;

struct lease_key_ops {
	/* This process holds the key, which it wrote at this position. */
	void (*held)(struct store_position, void *arg);
	/* Another process holds the key, or the lease has expired. */
	void (*lost)(const char *reason, void *arg);
	/* May be NULL: the store has stated a later era. Called before a lease
	 * of an earlier one is given up. */
	void (*era_changed)(uint64_t era, void *arg);
};

struct lease_key_config {
	const char *key;
	/* Value of the key; copied. */
	struct lstr value;
	/* Time to live of the lease. */
	int64_t ttl_usec;
	/*
	 * True for the node's own entry: the key is written at once, replaces
	 * an earlier one, and is written again whenever it is lost. False for a
	 * lock: the key is written only after lease_key_acquire(), and only if
	 * no process holds it.
	 */
	bool rewrite_when_lost;
};

enum status lease_key_create(struct loop *, struct kv *,
    const struct lease_key_config *, const struct lease_key_ops *, void *,
    struct lease_key **);
void lease_key_destroy(struct lease_key *);
/* Tries to acquire a lock. Returns false if a call is still in progress. */
bool lease_key_acquire(struct lease_key *);
/* The store shows the value of this process in a lock at this position. Unless
 * the lock is held, it is acquired over that version. */
void lease_key_note_own(struct lease_key *, struct store_position);
/* Reports an era that the store stated. A lease of an earlier one is given
 * up. */
void lease_key_note_era(struct lease_key *, uint64_t era);
/* Reports that a store that states no era came back from an older copy. */
void lease_key_note_restore(struct lease_key *);
/* Sets the time over which lost keys with rewrite_when_lost are written again:
 * all nodes may lose theirs at the same moment. At least
 * LEASE_KEY_RETRY_USEC. */
void lease_key_set_spread(struct lease_key *, int64_t spread_usec);
/* Time until which the lease is certain to be valid; 0: it is not held. */
int64_t lease_key_held_until(const struct lease_key *);
/* Removes the key without waiting for the response. A key with
 * rewrite_when_lost is not written again. */
void lease_key_release(struct lease_key *);

#endif
