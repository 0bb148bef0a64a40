#ifndef CH_MEMBER_STATE_H
#define CH_MEMBER_STATE_H

#include <glib.h>

#include "member.h"

/* Shared by member.c and member_self.c only. */
struct member {
	char *node;
	int64_t lease_usec;
	/* What the service says, without suspicions. */
	struct view *base;
	/* With suspicions. */
	struct view *shown;
	uint64_t version;
	/* Node to struct suspicion. */
	GHashTable *suspicions;
	/* Names of nodes whose removal waits for the end of the grace time. */
	GHashTable *deferred;
	/* Names seen by the list that is being read, or NULL. */
	GHashTable *listed;
	/* Names to be reported. */
	GHashTable *changed;
	GHashTable *base_changed;
	GHashTable *to_spread;
	bool service_up;
	bool outage_seen;
	int64_t grace_until;
	/* The own entry. */
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
