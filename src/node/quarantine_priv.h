#ifndef CH_QUARANTINE_PRIV_H
#define CH_QUARANTINE_PRIV_H

#include "quarantine.h"

struct quarantine_entry {
	struct quarantine_row row;
	enum quarantine_state state;
	/* When the evidence last changed, and when it was last in a report. */
	int64_t changed_at;
	int64_t reported_at;
	/* Since when the evidence has been sufficient; 0: it is not. */
	int64_t proved_since;
	int64_t confirmed_at;
	/* When the outcome of this node's trial must be known; 0: none runs. */
	int64_t trial_until;
};

struct quarantine {
	const struct quarantine_ops *ops;
	void *arg;
	/* struct quarantine_entry by part. */
	GHashTable *parts;
	/* When parts last came through (int64_t, by part): those of late, and
	 * those before, which are dropped when there are too many. */
	GHashTable *sound;
	GHashTable *sound_before;
	/* struct quarantine_span of each confirmed part. */
	GArray *explained;
	int64_t next_tick_at;
	/* When this node last saw a server end. */
	int64_t last_crash_at;
	uint64_t confirmations;
	/* See quarantine_changes(). */
	uint64_t changes;
};

/* The table; see quarantine.c. */
struct quarantine_entry *quarantine_find(
    const struct quarantine *, uint64_t part);
struct quarantine_entry *quarantine_obtain(
    struct quarantine *, uint64_t part, uint32_t depth, int64_t now);
void quarantine_clear_until(
    struct quarantine *, struct quarantine_entry *, int64_t sound_at);

/* Decisions from the evidence; see quarantine_evaluate.c. */
void quarantine_set_state(struct quarantine *, struct quarantine_entry *,
    enum quarantine_state, const char *reason);
void quarantine_evaluate(struct quarantine *, int64_t now);

/* Evidence in one row; see quarantine_row.c. */

/* Time in which a confirmed part explains why servers ended. */
struct quarantine_span {
	int64_t from;
	int64_t until;
};

bool quarantine_row_add(
    struct quarantine_row *, const struct quarantine_crash *);
void quarantine_row_drop(struct quarantine_row *, int64_t until);
int64_t quarantine_row_last_at(const struct quarantine_row *);
int64_t quarantine_row_proved_at(const struct quarantine_row *);
bool quarantine_row_includes(
    const struct quarantine_row *, const struct quarantine_row *other);
uint32_t quarantine_row_moments(const struct quarantine_row *);
uint32_t quarantine_row_unexplained(
    const struct quarantine_row *, const GArray *explained);
bool quarantine_row_is_proved(
    const struct quarantine_row *, const GArray *explained);

#endif
