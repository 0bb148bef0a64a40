#ifndef CH_CONF_PRIV_H
#define CH_CONF_PRIV_H

#include <glib.h>

#include "conf.h"

/* The names of the parts that differ between two revisions. */
struct change {
	uint64_t from;
	uint64_t to;
	GPtrArray *names;
};

/* A transfer that is arriving. */
struct staging {
	uint64_t revision;
	uint64_t since;
	uint32_t frames;
	uint32_t arrived_count;
	bool *arrived;
	char *change_id;
	uint8_t set_digest[PART_SET_DIGEST_BYTES];
	struct part_set *changed;
	GPtrArray *removed;
	size_t bytes;
};

struct conf_counters {
	uint64_t applied;
	uint64_t stale;
	uint64_t pulls;
	uint64_t invalid;
	uint64_t ignored;
};

struct conf {
	uint64_t revision;
	char *change_id;
	struct part_set *parts;
	struct inv *inv;
	/* Kept until conf_drop_previous(), because others may point to it. */
	struct inv *previous;
	struct staging *staging;
	/* A change did not lead to the announced parts. */
	bool whole_needed;
	/* struct change, oldest first, each from where the one before ends. */
	GArray *history;
	struct conf_counters counters;
};

#endif
