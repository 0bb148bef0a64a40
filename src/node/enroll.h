#ifndef CH_ENROLL_H
#define CH_ENROLL_H

#include "kv.h"

/*
 * A key of this process in the store that lives as long as the process renews
 * its lease: the node's own entry, and the planner's mark.
 */

/* Pause after a failed call. */
#define ENROLL_PAUSE_USEC (400 * LOOP_USEC_PER_MSEC)
#define ENROLL_CALL_USEC (800 * LOOP_USEC_PER_MSEC)

struct enroll;

struct enroll_ops {
	/* The key is ours; the version that the write made. */
	void (*held)(uint64_t version, void *arg);
	/* Another process holds the key, or the lease has ended. */
	void (*lost)(const char *why, void *arg);
};

struct enroll_config {
	const char *key;
	/* Copied. */
	struct lstr value;
	int64_t ttl_usec;
	/*
	 * The node's own entry: created at once, over an earlier one, and again
	 * whenever it is lost. Else the key is an office: it is tried only
	 * after enroll_try(), and only where nobody holds it.
	 */
	bool own;
};

enum status enroll_create(struct loop *, struct kv *,
    const struct enroll_config *, const struct enroll_ops *, void *,
    struct enroll **);
void enroll_destroy(struct enroll *);
/* Tries to take an office. */
void enroll_try(struct enroll *);
/* The store shows that the key is ours, although no answer said so. */
void enroll_adopt(struct enroll *, uint64_t version);
/* Until when the lease certainly lasts; 0: it is not held. */
int64_t enroll_held_until(const struct enroll *);
/* Removes the key, without waiting for the answer; an own entry for good. */
void enroll_leave(struct enroll *);

#endif
