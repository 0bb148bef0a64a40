#ifndef CH_ENROLL_H
#define CH_ENROLL_H

#include "kv.h"

/*
 * A key in the store that this process holds with a lease, which it renews
 * periodically: the node's own entry, and the key that elects the planner.
 */

/* Pause after a failed call. */
#define ENROLL_PAUSE_USEC (400 * LOOP_USEC_PER_MSEC)
/* Time limit of a call to the store. */
#define ENROLL_CALL_USEC (800 * LOOP_USEC_PER_MSEC)

struct enroll;

struct enroll_ops {
	/* This process holds the key, with the version of its write. */
	void (*held)(uint64_t version, void *arg);
	/* Another process holds the key, or the lease has expired. */
	void (*lost)(const char *why, void *arg);
};

struct enroll_config {
	const char *key;
	/* Value of the key; copied. */
	struct lstr value;
	/* Time to live of the lease. */
	int64_t ttl_usec;
	/*
	 * True for the node's own entry: the key is written at once, replaces
	 * an earlier one, and is written again whenever it is lost. False for a
	 * lock: the key is written only after enroll_try(), and only if no
	 * process holds it.
	 */
	bool own;
};

enum status enroll_create(struct loop *, struct kv *,
    const struct enroll_config *, const struct enroll_ops *, void *,
    struct enroll **);
void enroll_destroy(struct enroll *);
/* Tries to acquire a lock. */
void enroll_try(struct enroll *);
/* The store shows that this process holds the key, although the response to its
 * write was lost. */
void enroll_adopt(struct enroll *, uint64_t version);
/* Time until which the lease is certain to be valid; 0: it is not held. */
int64_t enroll_held_until(const struct enroll *);
/* Removes the key without waiting for the response, and does not write an own
 * entry again. */
void enroll_leave(struct enroll *);

#endif
