#include <stdio.h>

#include "quarantine_priv.h"

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
struct quarantine_entry *
quarantine_find(const struct quarantine *quarantine, uint64_t part)
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
 * Drops the entry with the weakest evidence: the fewest crashes, then the
 * oldest change.
 */
static void
evict_weakest(struct quarantine *quarantine)
{
	struct quarantine_entry *weakest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quarantine_entry *entry = value;

		if (weakest == NULL ||
		    entry->row.crash_count < weakest->row.crash_count ||
		    (entry->row.crash_count == weakest->row.crash_count &&
			entry->changed_at < weakest->changed_at))
			weakest = entry;
	}
	if (weakest == NULL)
		return;
	quarantine_set_state(quarantine, weakest, QUARANTINE_CLEAR, "evicted");
	g_hash_table_remove(quarantine->parts, &weakest->row.part);
}

/*
 * Returns the entry of a part, creating it if needed.
 */
struct quarantine_entry *
quarantine_obtain(
    struct quarantine *quarantine, uint64_t part, uint32_t depth, int64_t now)
{
	struct quarantine_entry *entry = quarantine_find(quarantine, part);

	if (entry == NULL) {
		if (g_hash_table_size(quarantine->parts) >=
		    QUARANTINE_PARTS_MAX)
			evict_weakest(quarantine);
		entry = g_new0(struct quarantine_entry, 1);
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
void
quarantine_clear_until(struct quarantine *quarantine,
    struct quarantine_entry *entry, int64_t sound_at)
{
	entry->row.sound_at = sound_at;
	entry->row.trials = 0;
	entry->trial_until = 0;
	entry->proved_since = 0;
	quarantine_row_drop(&entry->row, sound_at);
	if (entry->state == QUARANTINE_CONFIRMED ||
	    entry->row.crash_count < QUARANTINE_SUSPECT_CRASHES)
		quarantine_set_state(
		    quarantine, entry, QUARANTINE_CLEAR, "has come through");
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
		struct quarantine_entry *entry =
		    quarantine_find(quarantine, parts[i]);

		remember_sound(quarantine, parts[i], now);
		if (entry == NULL)
			continue;
		if (entry->row.crash_count > 0) {
			entry->changed_at = now;
			entry->reported_at = 0;
			cleared = true;
		}
		quarantine_clear_until(quarantine, entry, now);
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
		const struct quarantine_entry *entry =
		    quarantine_find(quarantine, parts[i]);

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
		struct quarantine_entry *entry =
		    quarantine_find(quarantine, parts[i]);

		if (explained &&
		    (entry == NULL || entry->state != QUARANTINE_CONFIRMED))
			continue;
		entry =
		    quarantine_obtain(quarantine, parts[i], (uint32_t)i, now);
		entry->trial_until = 0;
		if (!quarantine_row_add(&entry->row, &crash))
			continue;
		entry->changed_at = now;
		entry->reported_at = 0;
	}
	quarantine_evaluate(quarantine, now);
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
		struct quarantine_entry *entry = value;

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
		quarantine_evaluate(quarantine, now);
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
		struct quarantine_entry *entry =
		    quarantine_find(quarantine, parts[i]);

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
	struct quarantine_entry *tried = NULL;

	for (size_t i = 0; i < count; i++) {
		struct quarantine_entry *entry =
		    quarantine_find(quarantine, parts[i]);

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
lapses_at(const struct quarantine_entry *entry)
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
		struct quarantine_entry *entry = value;

		if (now < lapses_at(entry))
			continue;
		entry->row.crash_count = 0;
		quarantine_set_state(
		    quarantine, entry, QUARANTINE_CLEAR, "lapsed");
		g_hash_table_iter_remove(&iter);
	}
	quarantine_evaluate(quarantine, now);
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
		count +=
		    ((const struct quarantine_entry *)value)->state == state;
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
 * Writes the identifier of a part as it is in requests.
 */
void
quarantine_format_part(uint64_t part, char text[QUARANTINE_PART_TEXT_SIZE])
{
	snprintf(
	    text, QUARANTINE_PART_TEXT_SIZE, "%" G_GINT64_MODIFIER "x", part);
}
