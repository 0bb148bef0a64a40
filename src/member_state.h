#ifndef CH_MEMBER_STATE_H
#define CH_MEMBER_STATE_H

#include <glib.h>

#include "member.h"

/* Private to member.c and member_self.c. */
struct member {
	char *node;
	int64_t lease_usec;
	/* Entries of the key-value service, without suspicions. */
	struct view *base;
	/* base with suspicions applied. */
	struct view *shown;
	uint64_t version;
	/* Node to struct suspicion. */
	GHashTable *suspicions;
	/* Nodes whose removal is deferred until the grace period ends. */
	GHashTable *deferred;
	/* Nodes seen in the listing in progress, or NULL if there is none. */
	GHashTable *listed;
	/*
	 * Nodes whose changes have not been sent yet: changes to effective and
	 * to base, and new suspicions.
	 */
	GHashTable *changed;
	GHashTable *base_changed;
	GHashTable *to_spread;
	bool service_up;
	bool outage_seen;
	int64_t grace_until;
	/* This node's entry. */
	char lease[MEMBER_LEASE_MAX_BYTES];
	int64_t renew_at;
	int64_t retry_at;
	uint64_t stored_version;
	bool put_needed;
	bool put_changed;
	bool calling;
	struct view *self;
};

void member_base_put(struct member *, const struct view_member *);

#endif
