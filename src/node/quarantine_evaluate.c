#include "quarantine_priv.h"

/*
 * Collects the times in which confirmed parts explain why servers ended. A node
 * that has started confirms them later than the others.
 */
static void
collect_explained(struct quarantine *quarantine)
{
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(quarantine->explained, 0);
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quarantine_entry *entry = value;
		struct quarantine_span span = {
		    entry->row.crashes[0].at - QUARANTINE_SAME_MOMENT_USEC,
		    MIN(entry->confirmed_at,
			quarantine_row_proved_at(&entry->row) +
			    QUARANTINE_SETTLE_USEC +
			    QUARANTINE_CONFIRM_DELAY_USEC) +
			QUARANTINE_EXPLAINED_USEC};

		if (entry->state == QUARANTINE_CONFIRMED)
			g_array_append_val(quarantine->explained, span);
	}
}

/*
 * Sets the state of a part and reports the change.
 */
void
quarantine_set_state(struct quarantine *quarantine,
    struct quarantine_entry *entry, enum quarantine_state state,
    const char *reason)
{
	enum quarantine_state before = entry->state;

	if (before == state)
		return;
	entry->state = state;
	quarantine->confirmations += state == QUARANTINE_CONFIRMED;
	if (before == QUARANTINE_CONFIRMED || state == QUARANTINE_CONFIRMED) {
		quarantine->changes++;
		collect_explained(quarantine);
	}
	if (quarantine->ops != NULL)
		quarantine->ops->changed(
		    &entry->row, state, reason, quarantine->arg);
}

/*
 * Returns whether the evidence against a part is sufficient, and records since
 * when.
 */
static bool
is_proved(const struct quarantine *quarantine, struct quarantine_entry *entry,
    int64_t now)
{
	if (!quarantine_row_is_proved(&entry->row, quarantine->explained))
		entry->proved_since = 0;
	else if (entry->proved_since == 0)
		entry->proved_since = now;
	return entry->proved_since != 0;
}

/*
 * Returns whether a part that is deeper in its prompts was in hand at the same
 * crashes, and may be confirmed when there are more.
 */
static bool
has_deeper_cause(
    struct quarantine *quarantine, const struct quarantine_entry *proved)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quarantine_entry *entry = value;

		if (entry->row.depth > proved->row.depth &&
		    entry->state != QUARANTINE_CONFIRMED &&
		    quarantine_row_includes(&entry->row, &proved->row))
			return true;
	}
	return false;
}

/*
 * Returns the unconfirmed part with sufficient evidence that is deepest in its
 * prompts, or NULL. Requests with a part that ends servers also share the parts
 * before it with sound ones.
 */
static struct quarantine_entry *
find_deepest_proved(struct quarantine *quarantine, int64_t now)
{
	struct quarantine_entry *deepest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quarantine_entry *entry = value;

		if (entry->state != QUARANTINE_CONFIRMED &&
		    entry->row.crash_count >= QUARANTINE_CONFIRM_CRASHES &&
		    is_proved(quarantine, entry, now) &&
		    !has_deeper_cause(quarantine, entry) &&
		    (deepest == NULL || entry->row.depth > deepest->row.depth ||
			(entry->row.depth == deepest->row.depth &&
			    entry->row.part < deepest->row.part)))
			deepest = entry;
	}
	return deepest;
}

/*
 * Returns whether peers have had the time to report that a part with sufficient
 * evidence has come through.
 */
static bool
has_settled(const struct quarantine_entry *entry, int64_t now)
{
	return now - entry->row.crashes[0].at >= QUARANTINE_SETTLE_USEC &&
	    now - entry->proved_since >= QUARANTINE_CONFIRM_DELAY_USEC;
}

/*
 * Updates the states of all parts after evidence has changed or time has
 * passed. A confirmed part is released only when it comes through, its evidence
 * is dropped or servers are found not to have ended.
 */
void
quarantine_evaluate(struct quarantine *quarantine, int64_t now)
{
	struct quarantine_entry *proved;
	GHashTableIter iter;
	gpointer value;

	while ((proved = find_deepest_proved(quarantine, now)) != NULL &&
	    has_settled(proved, now)) {
		proved->confirmed_at = now;
		quarantine_set_state(quarantine, proved, QUARANTINE_CONFIRMED,
		    "does not come through");
	}
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quarantine_entry *entry = value;
		uint32_t crashes;

		if (entry->state == QUARANTINE_CLEAR &&
		    entry->row.crash_count < QUARANTINE_SUSPECT_CRASHES)
			continue;
		crashes = entry->state == QUARANTINE_CONFIRMED
		    ? quarantine_row_moments(&entry->row)
		    : quarantine_row_unexplained(
			  &entry->row, quarantine->explained);
		if (entry->state == QUARANTINE_CONFIRMED &&
		    crashes >= QUARANTINE_CONFIRM_CRASHES)
			continue;
		if (entry->state != QUARANTINE_CONFIRMED &&
		    crashes >= QUARANTINE_SUSPECT_CRASHES)
			quarantine_set_state(quarantine, entry,
			    QUARANTINE_SUSPECTED, "servers have ended");
		else
			quarantine_set_state(quarantine, entry,
			    QUARANTINE_CLEAR, "another cause was found");
	}
}
