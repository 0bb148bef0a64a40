#ifndef CH_CONF_PRIV_H
#define CH_CONF_PRIV_H

#include <glib.h>

#include "conf.h"

/* The names of the parts that differ between two consecutive revisions. */
struct delta {
	uint64_t from;
	uint64_t to;
	GPtrArray *part_names;
};

/* A transfer of which not all frames have been received yet. */
struct transfer {
	uint64_t revision;
	uint64_t since;
	uint32_t frames;
	uint32_t received_count;
	bool *received;
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
	/* Kept until conf_drop_previous(), because callers may still use it. */
	struct inv *previous;
	struct transfer *transfer;
	/* A delta did not produce the announced parts; pull all of them. */
	bool full_needed;
	/* struct delta, oldest first; each starts where the previous ends. */
	GArray *history;
	struct conf_counters counters;
};

#endif
