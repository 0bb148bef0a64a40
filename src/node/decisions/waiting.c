#include <glib.h>

#include "waiting.h"

/* Number of ranks in the order of a class; see rank(). */
#define RANKS 3
/* Part of the requests that counts as large, and the relative step in which the
 * limit between them and the others follows their sizes. */
#define LARGE_PART 0.1
#define LARGE_STEP 0.1
#define HISTORY_KEEP (1 - 1.0 / WAITING_HISTORY)

/*
 * Records that a request started for the first time, or that it left the queue
 * without having started.
 */
void
waiting_note_left(struct waiting_history *history, uint32_t priority,
    int64_t need, bool started)
{
	struct waiting_class *class =
	    &history->classes[MIN(priority, WAITING_CLASSES - 1u)];
	bool large = (double)need > class->large_need;

	if (class->requests <= 0)
		class->large_need = (double)need;
	class->requests = class->requests * HISTORY_KEEP + 1;
	class->started = class->started * HISTORY_KEEP + started;
	class->large_requests = class->large_requests * HISTORY_KEEP + large;
	class->large_started =
	    class->large_started * HISTORY_KEEP + (large && started);
	/* In balance if one request in ten is larger. */
	class->large_need *= large ? 1 + LARGE_STEP * (1 - LARGE_PART)
				   : 1 - LARGE_STEP * LARGE_PART;
}

/*
 * Returns the need above which a request of a class precedes the others of its
 * organisation, or INT64_MAX while the largest ones are served often enough.
 */
static int64_t
preferred_need(const struct waiting_history *history, uint32_t priority)
{
	const struct waiting_class *class =
	    &history->classes[MIN(priority, WAITING_CLASSES - 1u)];

	if (class->large_started * class->requests >=
	    WAITING_LARGE_RATIO * class->started * class->large_requests)
		return INT64_MAX;
	return (int64_t) class->large_need;
}

/*
 * Begins a round of searches.
 */
void
waiting_round_begin(struct waiting_round *round,
    const struct waiting_history *history, int64_t now)
{
	round->history = history;
	round->now = now;
	round->miss_count = 0;
}

/*
 * Returns whether a search for an entry cannot have a result: one that needed
 * no more memory, and had to leave no more of it free, had none.
 */
static bool
is_hopeless(
    const struct waiting_round *round, const struct waiting_entry *entry)
{
	for (size_t i = 0; i < round->miss_count; i++) {
		if (entry->need >= round->misses[i].need &&
		    entry->reserved_share >= round->misses[i].reserved_share)
			return true;
	}
	return false;
}

/*
 * Returns whether the part of its waiting time has passed in which an entry may
 * be overtaken.
 */
static bool
is_overdue(const struct waiting_entry *entry, int64_t now)
{
	double wait = (double)(entry->deadline - entry->queued_at);

	return (double)now >=
	    (double)entry->queued_at + WAITING_OVERTAKE_SHARE * wait;
}

/*
 * Returns whether an entry precedes the others of its class: its turn has come
 * before, and it must not be overtaken any longer.
 */
static bool
has_precedence(const struct waiting_entry *entry, int64_t now)
{
	return entry->overtaken && is_overdue(entry, now);
}

/*
 * Returns the index after the last entry of the class that begins at an index.
 */
static size_t
class_end(const struct waiting_entry *entries, size_t count, size_t begin)
{
	size_t end = begin;

	while (end < count && entries[end].priority == entries[begin].priority)
		end++;
	return end;
}

/*
 * Returns the entry of a class whose turn it is: the first one, or a large one
 * of the same organisation that is to precede it.
 */
static size_t
find_first(const struct waiting_round *round,
    const struct waiting_entry *entries, size_t begin, size_t end)
{
	int64_t need = preferred_need(round->history, entries[begin].priority);

	for (size_t i = begin;
	     i < end && entries[i].organisation == entries[begin].organisation;
	     i++) {
		if (entries[i].need > need)
			return i;
	}
	return begin;
}

/*
 * Returns the place of an entry in the order of its class: those that may no
 * longer be overtaken, the one whose turn it is, the rest.
 */
static int
rank(const struct waiting_round *round, const struct waiting_entry *entries,
    size_t index, size_t first)
{
	if (has_precedence(&entries[index], round->now))
		return 0;
	return index == first ? 1 : 2;
}

/*
 * Looks for the next entry to search a path for in one class and stores it, or
 * WAITING_NONE. Returns whether the round may look at less urgent classes.
 */
static bool
next_in_class(const struct waiting_round *round,
    const struct waiting_entry *entries, size_t begin, size_t end,
    size_t *found)
{
	size_t count = end - begin;
	size_t first = find_first(round, entries, begin, end);
	bool last = round->miss_count + 1 == WAITING_MISSES_MAX;

	*found = WAITING_NONE;
	for (size_t k = 0; k < RANKS * count; k++) {
		size_t i = begin + k % count;
		const struct waiting_entry *entry = &entries[i];

		if (rank(round, entries, i, first) != (int)(k / count))
			continue;
		if (!is_hopeless(round, entry) &&
		    (*found == WAITING_NONE ||
			entry->need < entries[*found].need))
			*found = i;
		if (is_overdue(entry, round->now) ||
		    (*found != WAITING_NONE && !last))
			return false;
	}
	return *found == WAITING_NONE;
}

/*
 * Returns the entry for which to search a path next, or WAITING_NONE when the
 * round has ended. The last search that a round may make without result is for
 * the smallest entry of the most urgent class that may still have one, so that
 * an entry of it which fits is found.
 */
size_t
waiting_next(const struct waiting_round *round,
    const struct waiting_entry *entries, size_t count)
{
	size_t found = WAITING_NONE;
	size_t end;

	if (round->miss_count >= WAITING_MISSES_MAX)
		return WAITING_NONE;
	for (size_t begin = 0; begin < count; begin = end) {
		end = class_end(entries, count, begin);
		if (!next_in_class(round, entries, begin, end, &found))
			break;
	}
	return found;
}

/*
 * Records that a search for an entry had no result.
 */
void
waiting_note_miss(
    struct waiting_round *round, const struct waiting_entry *entry)
{
	if (round->miss_count >= WAITING_MISSES_MAX)
		return;
	round->misses[round->miss_count].need = entry->need;
	round->misses[round->miss_count].reserved_share = entry->reserved_share;
	round->miss_count++;
}

/*
 * Marks the entries whose turn had come in their class when another one started
 * before them. Only these may later precede others of their class: the turn of
 * the rest has not come, and an organisation with many large requests gains no
 * precedence for all of them. Returns whether the started entry has overtaken
 * any.
 */
bool
waiting_note_start(const struct waiting_round *round,
    struct waiting_entry *entries, size_t count, size_t started)
{
	bool any = false;
	size_t end;

	for (size_t begin = 0; begin <= started; begin = end) {
		size_t first;

		end = class_end(entries, count, begin);
		first = find_first(round, entries, begin, end);
		if (first == started ||
		    (started < end &&
			has_precedence(&entries[started], round->now)))
			break;
		entries[first].overtaken = true;
		any = true;
	}
	return any;
}

/*
 * Returns the entry of a full queue that a new request of a class replaces: of
 * the entries that were never sent to a server, the one of the least urgent
 * class with the latest deadline. WAITING_NONE: no entry is less urgent.
 */
size_t
waiting_find_displaced(
    const struct waiting_entry *entries, size_t count, uint32_t priority)
{
	size_t found = WAITING_NONE;

	for (size_t i = 0; i < count; i++) {
		const struct waiting_entry *entry = &entries[i];

		if (entry->sent || entry->priority <= priority)
			continue;
		if (found == WAITING_NONE ||
		    entry->priority > entries[found].priority ||
		    (entry->priority == entries[found].priority &&
			entry->deadline >= entries[found].deadline))
			found = i;
	}
	return found;
}
