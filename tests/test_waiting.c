#include "harness.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "sched.h"
#include "waiting.h"

#define STEP_USEC ((int64_t)10000)
#define STEPS_PER_SEC 100
/* A request holds its memory for about two seconds, and may wait for the
 * objective of 500 ms less the margin of admission control. */
#define HOLD_STEPS 200
#define WAIT_USEC ((int64_t)440000)
#define SERVERS 8
#define SERVER_TOKENS 30000
#define SHORT_TOKENS 300
#define ORGANISATIONS 3
#define SECONDS 40
#define QUEUE_MAX 256
#define REQUESTS_MAX 40000
#define SEEDS 3

static const char organisations[ORGANISATIONS];

enum policy {
	/* The head that finds no path ends the round. */
	HEAD_FIRST,
	/* Whatever fits overtakes, without a bound. */
	UNBOUNDED,
	BOUNDED
};

struct load {
	/* Requests in a second. */
	double rate;
	/* Share of long requests; 0: the sizes have an exponential
	 * distribution. */
	double long_share;
	int64_t long_tokens;
	/* All long requests are those of the first organisation, and all
	 * others those of the second. */
	bool divided;
};

struct request {
	int64_t need;
	int64_t queued_at;
	uint32_t organisation;
	struct sched_entry *entry;
	bool overtaken;
	bool started;
};

struct play {
	enum policy policy;
	/* The servers, and the memory that each gives back in a later step. */
	int64_t used[SERVERS];
	int64_t ends[SERVERS][SECONDS * STEPS_PER_SEC + HOLD_STEPS + 1];
	struct request requests[REQUESTS_MAX];
	size_t count;
	struct sched *sched;
	struct waiting_history history;
};

/*
 * Takes memory at the server that has most free, as the costs of paths do.
 * Returns false if none has enough.
 */
static bool
take_memory(struct play *play, int64_t need, int step)
{
	int best = 0;

	for (int i = 1; i < SERVERS; i++) {
		if (play->used[i] < play->used[best])
			best = i;
	}
	if (play->used[best] + need > SERVER_TOKENS)
		return false;
	play->used[best] += need;
	play->ends[best][step + HOLD_STEPS] += need;
	return true;
}

/*
 * Describes the queue.
 */
static size_t
list(const struct play *play, struct request **requests,
    struct waiting_entry *entries)
{
	void *data[QUEUE_MAX];
	size_t count = sched_list(play->sched, data, QUEUE_MAX);

	for (size_t i = 0; i < count; i++) {
		struct request *request = data[i];

		requests[i] = request;
		entries[i] = (struct waiting_entry){.need = request->need,
		    .organisation = &organisations[request->organisation],
		    .queued_at = request->queued_at,
		    .deadline = request->queued_at + WAIT_USEC,
		    .overtaken = request->overtaken};
	}
	return count;
}

/*
 * Runs one round of searches.
 */
static void
run_round(struct play *play, int step)
{
	const struct waiting_history none = {0};
	struct request *requests[QUEUE_MAX];
	struct waiting_entry entries[QUEUE_MAX];
	struct waiting_round round;
	size_t count = list(play, requests, entries);
	size_t next;

	/* At a time before all others no entry is overdue. */
	waiting_round_begin(&round,
	    play->policy == BOUNDED ? &play->history : &none,
	    play->policy == UNBOUNDED ? -1 : step * STEP_USEC);
	while ((next = waiting_next(&round, entries, count)) != WAITING_NONE) {
		if (!take_memory(play, entries[next].need, step)) {
			waiting_note_miss(&round, &entries[next]);
			if (play->policy == HEAD_FIRST)
				break;
			continue;
		}
		waiting_note_start(&round, entries, count, next);
		for (size_t i = 0; i < count; i++)
			requests[i]->overtaken = entries[i].overtaken;
		sched_take(play->sched, requests[next]->entry);
		requests[next]->started = true;
		waiting_note_left(&play->history, 0, entries[next].need, true);
		count = list(play, requests, entries);
	}
}

/*
 * Queues one request.
 */
static void
add_request(
    struct play *play, const struct load *load, GRand *rand, int64_t now)
{
	struct request *request = &play->requests[play->count];
	bool is_long = g_rand_double(rand) < load->long_share;
	char name[] = "a";
	struct sched_request entry = {.weight = 1,
	    .arrival = now,
	    .deadline = now + WAIT_USEC,
	    .data = request};

	ck_assert_uint_lt(++play->count, REQUESTS_MAX);
	request->queued_at = now;
	request->need = is_long ? load->long_tokens : SHORT_TOKENS;
	if (load->long_share <= 0)
		request->need = 1 -
		    (int64_t)(2 * SHORT_TOKENS * log(1 - g_rand_double(rand)));
	request->organisation =
	    (uint32_t)g_rand_int_range(rand, 0, ORGANISATIONS);
	if (load->divided)
		request->organisation = is_long ? 0 : 1;
	name[0] = (char)('a' + request->organisation);
	entry.organisation = lstr_from(name);
	entry.cost = request->need;
	ck_assert_int_eq(
	    sched_push(play->sched, &entry, &request->entry), STATUS_OK);
}

/*
 * Plays a load of one class at one node that has the servers for itself. The
 * caller frees the result.
 */
static struct play *
play_load(const struct load *load, enum policy policy, guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct play *play = g_new0(struct play, 1);
	void *data;

	play->policy = policy;
	ck_assert_int_eq(sched_create(QUEUE_MAX * 4, &play->sched), STATUS_OK);
	for (int step = 0; step < SECONDS * STEPS_PER_SEC; step++) {
		int64_t now = step * STEP_USEC;

		for (int i = 0; i < SERVERS; i++)
			play->used[i] -= play->ends[i][step];
		for (int i = 0; i < 20; i++) {
			if (g_rand_double(rand) <
			    load->rate / STEPS_PER_SEC / 20)
				add_request(play, load, rand, now);
		}
		while (sched_expire(play->sched, now, &data))
			waiting_note_left(&play->history, 0,
			    ((struct request *)data)->need, false);
		run_round(play, step);
		for (int i = 0; i < SERVERS; i++)
			ck_assert_int_le(play->used[i], SERVER_TOKENS);
	}
	sched_destroy(play->sched);
	g_rand_free(rand);
	return play;
}

/*
 * Returns the share of the requests with a need in a range that started.
 */
static double
served_share(const struct play *play, int64_t from, int64_t to)
{
	double asked = 0;
	double started = 0;

	for (size_t i = 0; i < play->count; i++) {
		const struct request *request = &play->requests[i];

		if (request->need < from || request->need > to)
			continue;
		asked++;
		started += request->started;
	}
	return asked > 0 ? started / asked : 0;
}

/*
 * Compares two needs.
 */
static int
compare_needs(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns how often the largest tenth of the requests started, as a multiple of
 * how often all did.
 */
static double
largest_tenth_ratio(const struct play *play)
{
	int64_t *needs = g_new(int64_t, play->count);
	int64_t from;

	for (size_t i = 0; i < play->count; i++)
		needs[i] = play->requests[i].need;
	qsort(needs, play->count, sizeof(*needs), compare_needs);
	from = needs[play->count - play->count / 10];
	g_free(needs);
	return served_share(play, from, INT64_MAX) /
	    served_share(play, 0, INT64_MAX);
}

/*
 * Guards against short requests that wait behind a long one until they expire,
 * although there is memory for them. The long ones, which need half of a
 * server, are one in a hundred. The short ones need 0.62 of the memory and all
 * of them 0.93, so no short one has to expire; 0.995 must start, which leaves
 * room for those that arrive while a long one may not be overtaken, and at most
 * a quarter may expire of those that do so behind the head.
 */
START_TEST(short_requests_overtake_a_long_one)
{
	const struct load load = {250, 0.01, SERVER_TOKENS / 2, false};

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct play *before = play_load(&load, HEAD_FIRST, seed);
		struct play *after = play_load(&load, BOUNDED, seed);
		double expired = 1 - served_share(before, 0, SHORT_TOKENS);
		double share = served_share(after, 0, SHORT_TOKENS);

		ck_assert_double_gt(expired, 0.02);
		ck_assert_msg(share >= 0.995, "%g of the short ones", share);
		ck_assert_double_le(1 - share, expired / 4);
		g_free(before);
		g_free(after);
	}
}
END_TEST

/*
 * Guards against long requests that are starved by short ones, or that expire
 * when their turn comes too late for memory to become free. Demand is 1.2 to
 * 4.0 times the memory. The largest tenth must start at least half as often as
 * the class: this is the requirement of docs/hard-load.md, and the simpler
 * policies miss it.
 */
START_TEST(largest_tenth_is_served_half_as_often_as_the_class)
{
	const struct load loads[] = {{250, 0.11, 3000, false},
	    {300, 0.11, 3000, false}, {450, 0.11, 3000, false},
	    {800, 0.11, 3000, false}, {800, 0.11, 900, false},
	    {400, 0.11, 6000, false}, {250, 0, 0, false}, {350, 0, 0, false},
	    {600, 0, 0, false}};
	double lowest = 1;

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (guint32 seed = 1; seed <= SEEDS; seed++) {
			struct play *play = play_load(&loads[i], BOUNDED, seed);
			double ratio = largest_tenth_ratio(play);

			ck_assert_msg(ratio >= 0.5, "load %zu seed %u: %g", i,
			    seed, ratio);
			g_free(play);
		}
		for (int policy = HEAD_FIRST; policy <= UNBOUNDED; policy++) {
			struct play *play =
			    play_load(&loads[i], (enum policy)policy, 1);

			lowest = MIN(lowest, largest_tenth_ratio(play));
			g_free(play);
		}
	}
	ck_assert_double_lt(lowest, 0.35);
}
END_TEST

/*
 * Guards against an organisation that takes the share of another one with large
 * requests: they have precedence only in its own turn. The other one, whose
 * short requests need half of the memory, is served no worse than if large ones
 * had no precedence.
 */
START_TEST(large_requests_take_no_share_of_others)
{
	const struct load load = {250, 0.2, 3000, true};

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct play *before = play_load(&load, HEAD_FIRST, seed);
		struct play *after = play_load(&load, BOUNDED, seed);

		ck_assert_double_ge(served_share(after, 0, SHORT_TOKENS),
		    served_share(before, 0, SHORT_TOKENS));
		g_free(before);
		g_free(after);
	}
}
END_TEST

/*
 * Guards against capacity that is left unused at low load, and against requests
 * that expire there: the order does not matter then.
 */
START_TEST(all_are_served_at_low_load)
{
	const struct load load = {150, 0.1, 3000, false};

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct play *play = play_load(&load, BOUNDED, seed);

		ck_assert_double_ge(served_share(play, 0, INT64_MAX), 0.999);
		g_free(play);
	}
}
END_TEST

/*
 * Guards against searches that cannot have a result, against more of them than
 * a node has processor time for, and against rounds that end although an entry
 * fits. Random queues in which at most entries up to a size fit.
 */
START_TEST(rounds_make_few_searches_and_find_what_fits)
{
	const struct waiting_history history = {0};
	GRand *rand = g_rand_new_with_seed(17);

	for (int turn = 0; turn < 3000; turn++) {
		struct waiting_entry entries[QUEUE_MAX];
		struct waiting_round round;
		size_t count = (size_t)g_rand_int_range(rand, 1, QUEUE_MAX);
		int64_t fits = g_rand_int_range(rand, 0, 400);
		bool any_fits = false;
		size_t misses = 0;
		size_t next;

		for (size_t i = 0; i < count; i++) {
			uint32_t class = (uint32_t)(3 * i / count);

			entries[i] = (struct waiting_entry){.priority = class,
			    .need = g_rand_int_range(rand, 100, 10000),
			    .reserved_share = 0.1 * class,
			    .deadline = 1000};
			any_fits =
			    any_fits || (entries[i].need <= fits && class == 0);
		}
		waiting_round_begin(&round, &history, 0);
		while ((next = waiting_next(&round, entries, count)) !=
			WAITING_NONE &&
		    (entries[next].need > fits || entries[next].priority > 0)) {
			for (size_t i = 0; i < round.miss_count; i++)
				ck_assert(
				    entries[next].need < round.misses[i].need ||
				    entries[next].reserved_share <
					round.misses[i].reserved_share);
			waiting_note_miss(&round, &entries[next]);
			ck_assert_uint_le(++misses, WAITING_MISSES_MAX);
		}
		if (any_fits)
			ck_assert_uint_ne(next, WAITING_NONE);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against room that is kept for more urgent work being taken for a lack
 * of room: a more urgent entry, or one that may use the whole memory, is
 * searched for although a smaller one found no path.
 */
START_TEST(entry_with_more_room_is_searched_for)
{
	const struct waiting_history history = {0};
	const struct waiting_entry entries[] = {
	    {.priority = 1, .need = 10, .reserved_share = 0.2, .deadline = 9},
	    {.priority = 1, .need = 10, .reserved_share = 0.2, .deadline = 9},
	    {.priority = 1, .need = 50, .deadline = 9, .sent = true},
	    {.priority = 2, .need = 10, .reserved_share = 0.2, .deadline = 9},
	    {.priority = 2, .need = 9, .reserved_share = 0.2, .deadline = 9}};
	struct waiting_round round;

	waiting_round_begin(&round, &history, 0);
	ck_assert_uint_eq(waiting_next(&round, entries, 5), 0);
	waiting_note_miss(&round, &entries[0]);
	ck_assert_uint_eq(waiting_next(&round, entries, 5), 2);
	waiting_note_miss(&round, &entries[2]);
	ck_assert_uint_eq(waiting_next(&round, entries, 5), 4);
	waiting_note_miss(&round, &entries[4]);
	ck_assert_uint_eq(waiting_next(&round, entries, 5), WAITING_NONE);
}
END_TEST

/*
 * Guards against an entry that is overtaken for ever: after the bounded part of
 * its waiting time nothing smaller of its class or a less urgent one starts
 * before it, while more urgent entries still do.
 */
START_TEST(overtaking_ends_after_a_part_of_the_wait)
{
	const struct waiting_history history = {0};
	struct waiting_entry entries[] = {
	    {.priority = 0, .need = 5, .queued_at = 90, .deadline = 190},
	    {.priority = 1, .need = 50, .queued_at = 0, .deadline = 100},
	    {.priority = 1, .need = 5, .queued_at = 0, .deadline = 110},
	    {.priority = 2, .need = 5, .queued_at = 0, .deadline = 100}};
	struct waiting_round round;

	/* Only the long one and what is behind it wait. */
	waiting_round_begin(&round, &history, 74);
	waiting_note_miss(&round, &entries[1]);
	ck_assert_uint_eq(waiting_next(&round, &entries[1], 3), 1);
	ck_assert(waiting_note_start(&round, &entries[1], 3, 1));
	ck_assert(entries[1].overtaken);
	ck_assert(!entries[2].overtaken && !entries[3].overtaken);
	waiting_round_begin(&round, &history, 75);
	waiting_note_miss(&round, &entries[1]);
	ck_assert_uint_eq(waiting_next(&round, &entries[1], 3), WAITING_NONE);
	/* A more urgent one has come. */
	waiting_round_begin(&round, &history, 95);
	ck_assert_uint_eq(waiting_next(&round, entries, 4), 0);
	ck_assert(!waiting_note_start(&round, entries, 4, 0));
	/* Its organisation has lost its turn to others by what overtook it. */
	entries[2] = entries[1];
	entries[1] = entries[3];
	entries[1].priority = 1;
	ck_assert_uint_eq(waiting_next(&round, &entries[1], 3), 1);
	ck_assert(!waiting_note_start(&round, &entries[1], 3, 1));
	waiting_note_miss(&round, &entries[2]);
	ck_assert_uint_eq(waiting_next(&round, &entries[1], 3), WAITING_NONE);
}
END_TEST

/*
 * Guards against large requests whose turn comes too late in a lasting
 * shortage: while they are not served, one of the organisation whose turn it is
 * goes first, but none of another organisation. Once they are served half as
 * often as the class, the order is that of the queue.
 */
START_TEST(large_request_is_first_in_the_turn_of_its_organisation)
{
	struct waiting_history history = {0};
	struct waiting_entry entries[] = {
	    {.organisation = &organisations[0], .need = 100, .deadline = 9},
	    {.organisation = &organisations[0], .need = 1000, .deadline = 9},
	    {.organisation = &organisations[1], .need = 2000, .deadline = 9}};
	struct waiting_round round;

	waiting_round_begin(&round, &history, 0);
	ck_assert_uint_eq(waiting_next(&round, entries, 3), 0);
	for (int i = 0; i < 2000; i++)
		waiting_note_left(
		    &history, 0, i % 10 == 9 ? 1000 : 100, i % 10 != 9);
	ck_assert_uint_eq(waiting_next(&round, entries, 3), 1);
	/* The one behind which it started was not overtaken by its size. */
	ck_assert(!waiting_note_start(&round, entries, 3, 1));
	entries[1].need = 100;
	ck_assert_uint_eq(waiting_next(&round, entries, 3), 0);
	entries[1].need = 1000;
	for (int i = 0; i < 2000; i++)
		waiting_note_left(&history, 0, i % 10 == 9 ? 1000 : 100, true);
	ck_assert_uint_eq(waiting_next(&round, entries, 3), 0);
}
END_TEST

/*
 * Guards against a full queue that refuses urgent requests, and against an
 * untruthful refusal: a request that was sent may have run, so it is never
 * displaced. Random queues beside the rule as it is worded in
 * docs/hard-load.md.
 */
START_TEST(full_queue_gives_up_the_least_urgent_entry_never_sent)
{
	GRand *rand = g_rand_new_with_seed(23);

	for (int turn = 0; turn < 3000; turn++) {
		struct waiting_entry entries[QUEUE_MAX];
		size_t count = (size_t)g_rand_int_range(rand, 1, QUEUE_MAX);
		uint32_t priority = (uint32_t)g_rand_int_range(rand, 0, 5);
		size_t found;

		for (size_t i = 0; i < count; i++)
			entries[i] = (struct waiting_entry){
			    .priority = (uint32_t)g_rand_int_range(rand, 0, 4),
			    .deadline = g_rand_int_range(rand, 0, 50),
			    .sent = g_rand_int_range(rand, 0, 4) == 0};
		found = waiting_find_displaced(entries, count, priority);
		if (found != WAITING_NONE) {
			ck_assert(!entries[found].sent);
			ck_assert_uint_gt(entries[found].priority, priority);
		}
		for (size_t i = 0; i < count; i++) {
			const struct waiting_entry *other = &entries[i];

			if (other->sent || other->priority <= priority)
				continue;
			ck_assert_uint_ne(found, WAITING_NONE);
			ck_assert_uint_le(
			    other->priority, entries[found].priority);
			if (other->priority == entries[found].priority)
				ck_assert_int_le(
				    other->deadline, entries[found].deadline);
		}
	}
	g_rand_free(rand);
}
END_TEST

HARNESS_MAIN("waiting", short_requests_overtake_a_long_one,
    largest_tenth_is_served_half_as_often_as_the_class,
    large_requests_take_no_share_of_others, all_are_served_at_low_load,
    rounds_make_few_searches_and_find_what_fits,
    entry_with_more_room_is_searched_for,
    overtaking_ends_after_a_part_of_the_wait,
    large_request_is_first_in_the_turn_of_its_organisation,
    full_queue_gives_up_the_least_urgent_entry_never_sent)
