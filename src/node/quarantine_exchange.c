#include "quarantine_priv.h"

/*
 * Returns whether a time reported by a peer is later than the known one by more
 * than the inaccuracy of such times. Without this margin, nodes would renew a
 * time for each other.
 */
static bool
is_later(int64_t reported, int64_t known)
{
	return reported != 0 &&
	    (known == 0 || reported > known + QUARANTINE_CLOCK_USEC);
}

/*
 * Orders entries for a report: several crashes before one, then those that have
 * not been reported for the longest time.
 */
static gint
compare_urgency(gconstpointer a, gconstpointer b)
{
	const struct quarantine_entry *x =
	    *(const struct quarantine_entry *const *)a;
	const struct quarantine_entry *y =
	    *(const struct quarantine_entry *const *)b;
	bool x_strong = x->row.crash_count >= QUARANTINE_SUSPECT_CRASHES;
	bool y_strong = y->row.crash_count >= QUARANTINE_SUSPECT_CRASHES;

	if (x_strong != y_strong)
		return x_strong ? -1 : 1;
	if (x->reported_at != y->reported_at)
		return x->reported_at < y->reported_at ? -1 : 1;
	return x->row.part < y->row.part ? -1 : x->row.part > y->row.part;
}

/*
 * Copies the evidence for the report with a sequence number; if there is too
 * much, all of it takes turns. Returns the number of rows.
 */
size_t
quarantine_fill(struct quarantine *quarantine, uint64_t sequence, int64_t now,
    struct quarantine_row *rows, size_t max)
{
	GPtrArray *entries;
	GHashTableIter iter;
	gpointer value;
	size_t count;

	if (g_hash_table_size(quarantine->parts) == 0)
		return 0;
	entries = g_ptr_array_new();
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quarantine_entry *entry = value;

		if (now - entry->changed_at < QUARANTINE_FRESH_USEC ||
		    (entry->row.crash_count > 0 &&
			sequence % QUARANTINE_REPEAT_EVERY == 0))
			g_ptr_array_add(entries, value);
	}
	g_ptr_array_sort(entries, compare_urgency);
	count = MIN(entries->len, max);
	for (size_t i = 0; i < count; i++) {
		struct quarantine_entry *entry = g_ptr_array_index(entries, i);

		entry->reported_at = now;
		rows[i] = entry->row;
	}
	g_ptr_array_free(entries, TRUE);
	return count;
}

/*
 * Limits the fields of a peer's row, which a malformed report may exceed: times
 * in the future count as of now.
 */
static void
limit_row(struct quarantine_row *row, int64_t now)
{
	row->crash_count =
	    MIN(row->crash_count, (uint32_t)QUARANTINE_CRASHES_MAX);
	row->trials = MIN(row->trials, (uint32_t)QUARANTINE_TRIALS_MAX);
	row->sound_at = MIN(row->sound_at, now);
	row->refused_at = MIN(row->refused_at, now);
	for (uint32_t i = 0; i < row->crash_count; i++)
		row->crashes[i].at = MIN(row->crashes[i].at, now);
}

/*
 * Adds one row of a peer's evidence. Returns true if it is new.
 */
static bool
merge_row(struct quarantine *quarantine, const struct quarantine_row *reported,
    int64_t now)
{
	struct quarantine_row row = *reported;
	struct quarantine_entry *entry = quarantine_find(quarantine, row.part);
	bool changed = false;

	limit_row(&row, now);
	if (entry == NULL &&
	    (row.crash_count == 0 ||
		MAX(quarantine_row_last_at(&row), row.refused_at) +
			QUARANTINE_EVIDENCE_USEC <=
		    now))
		return false;
	entry = quarantine_obtain(quarantine, row.part, row.depth, now);
	if (is_later(row.sound_at, entry->row.sound_at)) {
		quarantine_clear_until(quarantine, entry, row.sound_at);
		changed = true;
	}
	if (is_later(row.refused_at, entry->row.refused_at))
		entry->row.refused_at = row.refused_at;
	for (uint32_t i = 0; i < row.crash_count; i++)
		changed =
		    quarantine_row_add(&entry->row, &row.crashes[i]) || changed;
	if (row.trials > entry->row.trials && entry->row.crash_count > 0) {
		entry->row.trials = row.trials;
		quarantine->changes++;
		changed = true;
	}
	if (changed) {
		entry->changed_at = now;
		entry->reported_at = 0;
	}
	return changed;
}

/*
 * Adds the evidence in a peer's report.
 */
void
quarantine_merge(struct quarantine *quarantine,
    const struct quarantine_row *rows, size_t count, int64_t now)
{
	bool changed = false;

	for (size_t i = 0; i < count; i++)
		changed = merge_row(quarantine, &rows[i], now) || changed;
	if (changed)
		quarantine_evaluate(quarantine, now);
}

/*
 * Copies the evidence against confirmed parts. Returns the number of rows.
 */
size_t
quarantine_fill_confirmed(const struct quarantine *quarantine,
    struct quarantine_row *rows, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quarantine_entry *entry = value;

		if (entry->state == QUARANTINE_CONFIRMED && count < max)
			rows[count++] = entry->row;
	}
	return count;
}
