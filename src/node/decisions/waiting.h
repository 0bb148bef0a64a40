#ifndef CH_WAITING_H
#define CH_WAITING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Order in which one node searches paths for the queued requests of a service.
 * Load: prompts of very different length in a burst. A long prompt at the head
 * finds no path, and short ones behind it wait although the free memory is
 * enough for them; if short ones always go first, they take all memory that
 * becomes free and long ones are never served. In longer bursts the queue is
 * full of less urgent requests when urgent ones arrive.
 *
 * The order is that of the queue: class, share of the organisation, deadline.
 * An entry that finds no path is overtaken by smaller ones for a part of its
 * waiting time; after that nothing behind it starts until it does or expires.
 *
 * In a lasting shortage entries have waited for most of their time when their
 * turn comes. Short ones start at once, but for long ones the time that is left
 * is too short for enough memory to become free. While the large requests of a
 * class are served less often than the others, a large one is therefore first
 * in the turn of its organisation.
 */

/* Most searches without result in one round. With sizes in random order, the
 * smallest size so far changes about 4 times among 30 entries and 6 times among
 * 256; a search costs processor time on a tenth of a core. */
#define WAITING_MISSES_MAX 4
/* Part of its waiting time for which an entry may be overtaken. In the rest
 * memory becomes free for it; those that arrive with it or later do not expire
 * meanwhile. */
#define WAITING_OVERTAKE_SHARE 0.75
/* The largest tenth of a class is to be served at least half as often as the
 * class; below this ratio large requests come first. The margin covers the time
 * in which the averages follow. */
#define WAITING_LARGE_RATIO 0.6
/* Number of requests over which these parts are averaged. */
#define WAITING_HISTORY 256
#define WAITING_CLASSES 8
/* There is no such entry. */
#define WAITING_NONE SIZE_MAX

/* A queued request. Tables of entries are in the order of the queue. */
struct waiting_entry {
	uint32_t priority;
	/* Identifies the organisation; not dereferenced. */
	const void *organisation;
	/* Memory that it needs, in tokens. */
	int64_t need;
	/* Share of the memory that it must leave free for more urgent ones. */
	double reserved_share;
	int64_t queued_at;
	int64_t deadline;
	/* It was sent to a server before. */
	bool sent;
	/* Its turn had come when another one started before it. */
	bool overtaken;
};

/* The requests of each class that started, or left without having started,
 * averaged. */
struct waiting_class {
	double requests;
	double started;
	/* Need above which a request is one of the largest tenth. */
	double large_need;
	double large_requests;
	double large_started;
};

struct waiting_history {
	struct waiting_class classes[WAITING_CLASSES];
};

/* One round of searches, in which memory is only taken. */
struct waiting_round {
	const struct waiting_history *history;
	int64_t now;
	/* The searches without result. */
	struct {
		int64_t need;
		double reserved_share;
	} misses[WAITING_MISSES_MAX];
	size_t miss_count;
};

void waiting_note_left(
    struct waiting_history *, uint32_t priority, int64_t need, bool started);
void waiting_round_begin(
    struct waiting_round *, const struct waiting_history *, int64_t now);
size_t waiting_next(
    const struct waiting_round *, const struct waiting_entry *, size_t count);
void waiting_note_miss(struct waiting_round *, const struct waiting_entry *);
bool waiting_note_start(const struct waiting_round *, struct waiting_entry *,
    size_t count, size_t started);
size_t waiting_find_displaced(
    const struct waiting_entry *, size_t count, uint32_t priority);

#endif
