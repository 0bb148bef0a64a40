#ifndef CH_CHOOSE_H
#define CH_CHOOSE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inventory.h"

/* The inputs to the choice of a replica. */
struct choose_context {
	const struct inv *inv;
	/* Place of the entry, or INV_NONE. */
	uint32_t place;
	/* Returns the address of the router that owns a replica, or NULL. */
	const char *(*router)(uint32_t replica, void *);
	/* Returns whether an instance is leaving. */
	bool (*leaving)(struct lstr instance, void *);
	/* Returns how many requests of this entry are open on a replica. */
	uint32_t (*outstanding)(uint32_t replica, void *);
	/* Passed to the callbacks. */
	void *arg;
};

struct choose_result {
	uint32_t replica;
	/* Address of its router, as returned by the router callback. */
	const char *router;
};

bool choose_is_eligible(const struct choose_context *, uint32_t);
enum status choose_replica(const struct choose_context *, uint32_t service,
    struct lstr key, struct lstr avoid, GRand *, struct choose_result *);

#endif
