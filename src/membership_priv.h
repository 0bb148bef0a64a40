#ifndef CH_MEMBERSHIP_PRIV_H
#define CH_MEMBERSHIP_PRIV_H

#include <glib.h>

#include "membership.h"

/* Private to the membership module. */
struct membership {
	char *node;
	int64_t lease_usec;
	/* Entries of the key-value service, without suspicions. */
	struct view *base;
	/* base with suspicions applied. */
	struct view *effective;
	uint64_t version;
	/* Node to struct suspicion. */
	GHashTable *suspicions;
	/* Nodes whose removal is deferred until the grace period ends. */
	GHashTable *deferred_removals;
	/* Nodes seen in the listing in progress, or NULL if there is none. */
	GHashTable *listed;
	/*
	 * Nodes whose changes have not been sent yet: to effective, to base,
	 * and new suspicions.
	 */
	GHashTable *changed;
	GHashTable *base_changed;
	GHashTable *unsent_suspicions;
	bool service_up;
	bool outage_seen;
	int64_t grace_until;
	/* This node's membership entry. */
	char lease[MEMBERSHIP_LEASE_MAX_BYTES];
	int64_t renew_at;
	int64_t retry_at;
	uint64_t stored_version;
	bool put_needed;
	bool put_changed;
	bool call_pending;
	struct view *self;
};

void membership_put_entry(struct membership *, const struct view_member *);

#endif
