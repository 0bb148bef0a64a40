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
add_request(struct play *play, const struct load *load, GRand *rand,
    int64_t now)
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

START_TEST(probe)
{
	const struct load blocked[] = {{200, 0.01, 15000, false},{250, 0.01, 15000, false},{280, 0.005, 20000, false},{250, 0.01, 10000, false}, {300,0.01,10000,false}};
	const struct load loads[] = {{250, .1, 3000, 0},{300, .1, 3000, 0}, {450,.1,3000,0},{800,.1,3000,0},{400, .1, 900,0},{800,.1,900,0},{150,.1,6000,0},{400,.1,6000,0},{250,0,0,0},{350,0,0,0},{600,0,0,0}};
	const struct load div[] = {{250, .2, 3000, 1},{350, .1, 3000, 1},{300,.3,3000,1}};
	struct play *pl;
	for (int i = 0; i < 5; i++) {
		for (int p = 0; p < 3; p++) {
			pl = play_load(&blocked[i], p, 1);
			printf("  short %.3f long %.3f", served_share(pl, 0, 300), served_share(pl, 301, INT64_MAX));
			g_free(pl);
		}
		printf("\n");
	}
	for (int i = 0; i < 11; i++) {
		printf("%.0f %.2f %ld:", loads[i].rate, loads[i].long_share, (long)loads[i].long_tokens);
		for (int p = 0; p < 3; p++) {
			pl = play_load(&loads[i], p, 1);
			printf("  class %.3f ratio %.3f", served_share(pl, 0, INT64_MAX), largest_tenth_ratio(pl));
			g_free(pl);
		}
		printf("\n");
	}
	for (int i = 0; i < 3; i++) {
		for (int p = 0; p < 3; p++) {
			pl = play_load(&div[i], p, 1);
			printf("  div short %.3f long %.3f", served_share(pl, 0, 300), served_share(pl, 301, INT64_MAX));
			g_free(pl);
		}
		printf("\n");
	}
}
END_TEST
HARNESS_MAIN("waiting", probe)
