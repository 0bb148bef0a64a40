#include <stdio.h>

#include "quarantine.h"

struct entry {
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
	/* struct entry by part. */
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

/*
 * Creates a table of the times at which parts came through.
 */
static GHashTable *
sound_table_new(void)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
}

/*
 * Creates an empty table. ops may be NULL.
 */
struct quarantine *
quarantine_new(const struct quarantine_ops *ops, void *arg)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->ops = ops;
	quarantine->arg = arg;
	quarantine->parts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	quarantine->sound = sound_table_new();
	quarantine->sound_before = sound_table_new();
	quarantine->explained =
	    g_array_new(FALSE, FALSE, sizeof(struct quarantine_span));
	return quarantine;
}

/*
 * Frees a table; NULL is allowed.
 */
void
quarantine_free(struct quarantine *quarantine)
{
	if (quarantine == NULL)
		return;
	g_hash_table_destroy(quarantine->parts);
	g_hash_table_destroy(quarantine->sound);
	g_hash_table_destroy(quarantine->sound_before);
	g_array_free(quarantine->explained, TRUE);
	g_free(quarantine);
}

/*
 * Returns the evidence against a part, or NULL if there is none.
 */
static struct entry *
find(const struct quarantine *quarantine, uint64_t part)
{
	return g_hash_table_lookup(quarantine->parts, &part);
}

/*
 * Returns when a part last came through at this node; 0: not known.
 */
static int64_t
find_sound(const struct quarantine *quarantine, uint64_t part)
{
	const int64_t *at = g_hash_table_lookup(quarantine->sound, &part);

	if (at == NULL)
		at = g_hash_table_lookup(quarantine->sound_before, &part);
	return at == NULL ? 0 : *at;
}

/*
 * Remembers that a part came through.
 */
static void
remember_sound(struct quarantine *quarantine, uint64_t part, int64_t now)
{
	int64_t *at = g_hash_table_lookup(quarantine->sound, &part);
	uint64_t *key;

	if (at != NULL) {
		*at = now;
		return;
	}
	if (g_hash_table_size(quarantine->sound) >= QUARANTINE_SOUND_MAX / 2) {
		g_hash_table_destroy(quarantine->sound_before);
		quarantine->sound_before = quarantine->sound;
		quarantine->sound = sound_table_new();
	}
	key = g_new(uint64_t, 1);
	*key = part;
	at = g_new(int64_t, 1);
	*at = now;
	g_hash_table_insert(quarantine->sound, key, at);
}

/*
 * Collects the times in which confirmed parts explain why servers ended.
 */
static void
collect_explained(struct quarantine *quarantine)
{
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(quarantine->explained, 0);
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *entry = value;
		struct quarantine_span span = {
		    entry->row.crashes[0].at - QUARANTINE_SAME_MOMENT_USEC,
		    entry->confirmed_at + QUARANTINE_EXPLAINED_USEC};

		if (entry->state == QUARANTINE_CONFIRMED)
			g_array_append_val(quarantine->explained, span);
	}
}

/*
 * Sets the state of a part and reports the change.
 */
static void
set_state(struct quarantine *quarantine, struct entry *entry,
    enum quarantine_state state, const char *reason)
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
is_proved(const struct quarantine *quarantine, struct entry *entry, int64_t now)
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
has_deeper_cause(struct quarantine *quarantine, const struct entry *proved)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *entry = value;

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
static struct entry *
find_deepest_proved(struct quarantine *quarantine, int64_t now)
{
	struct entry *deepest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

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
has_settled(const struct entry *entry, int64_t now)
{
	return now - entry->row.crashes[0].at >= QUARANTINE_SETTLE_USEC &&
	    now - entry->proved_since >= QUARANTINE_CONFIRM_DELAY_USEC;
}

/*
 * Updates the states of all parts after evidence has changed or time has
 * passed. A confirmed part is released only when it comes through, its evidence
 * is dropped or servers are found not to have ended.
 */
static void
evaluate(struct quarantine *quarantine, int64_t now)
{
	struct entry *proved;
	GHashTableIter iter;
	gpointer value;

	while ((proved = find_deepest_proved(quarantine, now)) != NULL &&
	    has_settled(proved, now)) {
		proved->confirmed_at = now;
		set_state(quarantine, proved, QUARANTINE_CONFIRMED,
		    "does not come through");
	}
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;
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
			set_state(quarantine, entry, QUARANTINE_SUSPECTED,
			    "servers have ended");
		else
			set_state(quarantine, entry, QUARANTINE_CLEAR,
			    "another cause was found");
	}
}

/*
 * Drops the entry with the weakest evidence: the fewest crashes, then the
 * oldest change.
 */
static void
evict_weakest(struct quarantine *quarantine)
{
	struct entry *weakest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		if (weakest == NULL ||
		    entry->row.crash_count < weakest->row.crash_count ||
		    (entry->row.crash_count == weakest->row.crash_count &&
			entry->changed_at < weakest->changed_at))
			weakest = entry;
	}
	if (weakest == NULL)
		return;
	set_state(quarantine, weakest, QUARANTINE_CLEAR, "evicted");
	g_hash_table_remove(quarantine->parts, &weakest->row.part);
}

/*
 * Returns the entry of a part, creating it if needed.
 */
static struct entry *
obtain(
    struct quarantine *quarantine, uint64_t part, uint32_t depth, int64_t now)
{
	struct entry *entry = find(quarantine, part);

	if (entry == NULL) {
		if (g_hash_table_size(quarantine->parts) >=
		    QUARANTINE_PARTS_MAX)
			evict_weakest(quarantine);
		entry = g_new0(struct entry, 1);
		entry->row.part = part;
		entry->row.sound_at = find_sound(quarantine, part);
		entry->changed_at = now;
		g_hash_table_insert(quarantine->parts, &entry->row.part, entry);
	}
	entry->row.depth = MAX(entry->row.depth, depth);
	return entry;
}

/*
 * Records that a part came through at some time: servers that ended before had
 * another reason.
 */
static void
clear_until(
    struct quarantine *quarantine, struct entry *entry, int64_t sound_at)
{
	entry->row.sound_at = sound_at;
	entry->row.trials = 0;
	entry->trial_until = 0;
	entry->proved_since = 0;
	quarantine_row_drop(&entry->row, sound_at);
	if (entry->state == QUARANTINE_CONFIRMED ||
	    entry->row.crash_count < QUARANTINE_SUSPECT_CRASHES)
		set_state(
		    quarantine, entry, QUARANTINE_CLEAR, "has come through");
}

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
 * Records that a request with these parts has come through. Returns true if
 * that clears evidence, which peers are to hear soon.
 */
bool
quarantine_note_sound(struct quarantine *quarantine, const uint64_t *parts,
    size_t count, int64_t now)
{
	bool cleared = false;

	for (size_t i = 0; i < count; i++) {
		struct entry *entry = find(quarantine, parts[i]);

		remember_sound(quarantine, parts[i], now);
		if (entry == NULL)
			continue;
		if (entry->row.crash_count > 0) {
			entry->changed_at = now;
			entry->reported_at = 0;
			cleared = true;
		}
		clear_until(quarantine, entry, now);
	}
	return cleared;
}

/*
 * Returns the first of the parts that is confirmed, or NULL.
 */
const uint64_t *
quarantine_find_cause(
    const struct quarantine *quarantine, const uint64_t *parts, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const struct entry *entry = find(quarantine, parts[i]);

		if (entry != NULL && entry->state == QUARANTINE_CONFIRMED)
			return &parts[i];
	}
	return NULL;
}

/*
 * Records that a server seems to have ended before a request with these parts,
 * in the order of its prompt, came through. If one of them is confirmed, it is
 * the cause, and the others are not suspected.
 */
void
quarantine_note_crash(struct quarantine *quarantine, const uint64_t *parts,
    size_t count, uint32_t server, uint32_t request, int64_t now)
{
	const struct quarantine_crash crash = {server, request, now, false};
	bool explained =
	    quarantine_find_cause(quarantine, parts, count) != NULL;

	quarantine->last_crash_at = now;
	for (size_t i = 0; i < count; i++) {
		struct entry *entry = find(quarantine, parts[i]);

		if (explained &&
		    (entry == NULL || entry->state != QUARANTINE_CONFIRMED))
			continue;
		entry = obtain(quarantine, parts[i], (uint32_t)i, now);
		entry->trial_until = 0;
		if (!quarantine_row_add(&entry->row, &crash))
			continue;
		entry->changed_at = now;
		entry->reported_at = 0;
	}
	evaluate(quarantine, now);
}

/*
 * Records that a request that was sent at the given time has come through at a
 * server. If the server seemed to have ended before that, only a connection
 * had.
 */
void
quarantine_note_alive(struct quarantine *quarantine, uint32_t server,
    int64_t sent_at, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	if (quarantine->last_crash_at == 0 ||
	    now - quarantine->last_crash_at > QUARANTINE_ALIVE_USEC)
		return;
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		for (uint32_t i = 0; i < entry->row.crash_count; i++) {
			struct quarantine_crash *crash = &entry->row.crashes[i];

			if (crash->server != server || crash->alive ||
			    sent_at <= crash->at ||
			    now - crash->at > QUARANTINE_ALIVE_USEC)
				continue;
			crash->alive = true;
			entry->changed_at = now;
			entry->reported_at = 0;
			changed = true;
		}
	}
	if (changed)
		evaluate(quarantine, now);
}

/*
 * Decides about a request with these parts.
 */
enum quarantine_verdict
quarantine_check(struct quarantine *quarantine, const uint64_t *parts,
    size_t count, int64_t now)
{
	enum quarantine_verdict verdict = QUARANTINE_PASS;

	for (size_t i = 0; i < count; i++) {
		struct entry *entry = find(quarantine, parts[i]);

		if (entry == NULL)
			continue;
		if (entry->state == QUARANTINE_CONFIRMED) {
			entry->row.refused_at = now;
			return QUARANTINE_REFUSE;
		}
		if (entry->state == QUARANTINE_SUSPECTED)
			verdict = QUARANTINE_ONCE;
	}
	return verdict;
}

/*
 * Returns the time of the next trial of a confirmed part.
 */
static int64_t
next_trial_at(const struct quarantine_row *row)
{
	return quarantine_row_last_at(row) +
	    (QUARANTINE_TRIAL_USEC
		<< (2 * MIN(row->trials, (uint32_t)QUARANTINE_TRIALS_MAX)));
}

/*
 * Returns whether a request that quarantine_check() refuses is sent as a trial
 * of its only confirmed part, and records it. rank is the place of this node
 * among the live ones, of which one tries each part.
 */
bool
quarantine_try(struct quarantine *quarantine, const uint64_t *parts,
    size_t count, uint32_t rank, uint32_t nodes, int64_t now)
{
	struct entry *tried = NULL;

	for (size_t i = 0; i < count; i++) {
		struct entry *entry = find(quarantine, parts[i]);

		if (entry == NULL || entry->state != QUARANTINE_CONFIRMED)
			continue;
		if (tried != NULL)
			return false;
		tried = entry;
	}
	if (tried == NULL || nodes == 0 || tried->row.part % nodes != rank ||
	    tried->row.trials >= QUARANTINE_TRIALS_MAX ||
	    tried->trial_until > now || now < next_trial_at(&tried->row))
		return false;
	tried->row.trials++;
	quarantine->changes++;
	tried->trial_until = now + QUARANTINE_TRIAL_TIMEOUT_USEC;
	tried->changed_at = now;
	tried->reported_at = 0;
	return true;
}

/*
 * Returns the time at which the evidence against a part is dropped.
 */
static int64_t
lapses_at(const struct entry *entry)
{
	const struct quarantine_row *row = &entry->row;

	if (row->crash_count == 0)
		return entry->changed_at + QUARANTINE_CLEARED_USEC;
	return MAX(quarantine_row_last_at(row), row->refused_at) +
	    QUARANTINE_EVIDENCE_USEC;
}

/*
 * Drops old evidence, and confirms parts whose evidence has settled. It may be
 * called more often than that is done.
 */
void
quarantine_tick(struct quarantine *quarantine, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(quarantine->parts) == 0 ||
	    now < quarantine->next_tick_at)
		return;
	quarantine->next_tick_at = now + QUARANTINE_TICK_USEC;
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		if (now < lapses_at(entry))
			continue;
		entry->row.crash_count = 0;
		set_state(quarantine, entry, QUARANTINE_CLEAR, "lapsed");
		g_hash_table_iter_remove(&iter);
	}
	evaluate(quarantine, now);
}

/*
 * Orders entries for a report: several crashes before one, then those that have
 * not been reported for the longest time.
 */
static gint
compare_urgency(gconstpointer a, gconstpointer b)
{
	const struct entry *x = *(const struct entry *const *)a;
	const struct entry *y = *(const struct entry *const *)b;
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
		const struct entry *entry = value;

		if (now - entry->changed_at < QUARANTINE_FRESH_USEC ||
		    (entry->row.crash_count > 0 &&
			sequence % QUARANTINE_REPEAT_EVERY == 0))
			g_ptr_array_add(entries, value);
	}
	g_ptr_array_sort(entries, compare_urgency);
	count = MIN(entries->len, max);
	for (size_t i = 0; i < count; i++) {
		struct entry *entry = g_ptr_array_index(entries, i);

		entry->reported_at = now;
		rows[i] = entry->row;
	}
	g_ptr_array_free(entries, TRUE);
	return count;
}

/*
 * Adds the crashes of a peer's row to an entry. Those in the future, which a
 * malformed report would cause, count as of now. Returns true if the entry
 * changed.
 */
static bool
merge_crashes(
    struct entry *entry, const struct quarantine_row *row, int64_t now)
{
	bool changed = false;

	for (uint32_t i = 0; i < row->crash_count; i++) {
		struct quarantine_crash crash = row->crashes[i];

		crash.at = MIN(crash.at, now);
		changed = quarantine_row_add(&entry->row, &crash) || changed;
	}
	return changed;
}

/*
 * Adds one row of a peer's evidence. Returns true if it is new.
 */
static bool
merge_row(struct quarantine *quarantine, const struct quarantine_row *reported,
    int64_t now)
{
	struct quarantine_row row = *reported;
	struct entry *entry = find(quarantine, row.part);
	bool changed = false;

	row.crash_count =
	    MIN(row.crash_count, (uint32_t)QUARANTINE_CRASHES_MAX);
	if (entry == NULL &&
	    (row.crash_count == 0 ||
		MAX(quarantine_row_last_at(&row), row.refused_at) +
			QUARANTINE_EVIDENCE_USEC <=
		    now))
		return false;
	entry = obtain(quarantine, row.part, row.depth, now);
	if (is_later(row.sound_at, entry->row.sound_at)) {
		clear_until(quarantine, entry, MIN(row.sound_at, now));
		changed = true;
	}
	if (is_later(row.refused_at, entry->row.refused_at))
		entry->row.refused_at = MIN(row.refused_at, now);
	changed = merge_crashes(entry, &row, now) || changed;
	if (row.trials > entry->row.trials && entry->row.crash_count > 0) {
		entry->row.trials =
		    MIN(row.trials, (uint32_t)QUARANTINE_TRIALS_MAX);
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
		evaluate(quarantine, now);
}

/*
 * Returns the number of parts in a state.
 */
uint32_t
quarantine_count(
    const struct quarantine *quarantine, enum quarantine_state state)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const struct entry *)value)->state == state;
	return count;
}

/*
 * Returns how often a part was confirmed, so that a caller can tell whether one
 * has been since.
 */
uint64_t
quarantine_confirmations(const struct quarantine *quarantine)
{
	return quarantine->confirmations;
}

/*
 * Returns a number that changes with each part that is confirmed or released,
 * and with each trial.
 */
uint64_t
quarantine_changes(const struct quarantine *quarantine)
{
	return quarantine->changes;
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
		const struct entry *entry = value;

		if (entry->state == QUARANTINE_CONFIRMED && count < max)
			rows[count++] = entry->row;
	}
	return count;
}

/*
 * Writes the identifier of a part as it is in requests.
 */
void
quarantine_format_part(uint64_t part, char text[QUARANTINE_PART_TEXT_SIZE])
{
	snprintf(
	    text, QUARANTINE_PART_TEXT_SIZE, "%" G_GINT64_MODIFIER "x", part);
}
