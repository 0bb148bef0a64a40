#include <stdio.h>
#include <stdlib.h>

#include "limit.h"

/* Shortest time that a refused caller is told to wait, microseconds. */
#define RETRY_MIN_USEC ((int64_t)100000)

/* Weight of one new token time in the smoothed one. */
#define SMOOTHING 0.05
/* The limit is changed at most this often, microseconds. */
#define ADJUST_INTERVAL_USEC ((int64_t)200000)
/*
 * Token times above this many times the value without load shrink the limit.
 * Batching engines trade up to twice the token time for throughput; beyond
 * that more concurrency only makes each request slower.
 */
#define CONGESTED_RATIO 2.0
/*
 * Between the two ratios the limit shrinks only when tokens also come slower
 * than the target of 46 ms between tokens.
 */
#define BUSY_RATIO 1.25
#define TARGET_USEC 46000.0
#define DECREASE_FACTOR 0.9
/*
 * Below the busy ratio the limit grows by this part of itself, so that a burst
 * does not wait many seconds for it; above, by one.
 */
#define INCREASE_PART 0.125
/*
 * The value without load follows slower tokens only while at most this many
 * requests run. If it rose under load, a saturated replica would raise its own
 * limit without end; when the hardware became slower, the limit falls until
 * this rule applies.
 */
#define LIGHT_RUNNING 2
#define BASE_SMOOTHING 0.05

struct limit_table {
	GHashTable *counts;
};

/*
 * Creates an empty table.
 */
enum status
limit_table_create(struct limit_table **out)
{
	struct limit_table *table = calloc(1, sizeof(*table));

	if (table == NULL)
		return status_set(STATUS_NO_MEMORY, "limits");
	table->counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
	*out = table;
	return STATUS_OK;
}

/*
 * Frees a table.
 */
void
limit_table_destroy(struct limit_table *table)
{
	if (table == NULL)
		return;
	g_hash_table_destroy(table->counts);
	free(table);
}

/*
 * Returns how many requests of an organisation are in the router.
 */
uint32_t
limit_count(const struct limit_table *table, struct lstr organisation)
{
	char *name = lstr_dup_c(organisation);
	uint32_t count;

	if (name == NULL)
		return 0;
	count = GPOINTER_TO_UINT(g_hash_table_lookup(table->counts, name));
	free(name);
	return count;
}

/*
 * Counts a request that was admitted. The table holds only organisations that
 * have requests, so the bound on requests bounds it.
 */
enum status
limit_enter(struct limit_table *table, struct lstr organisation)
{
	char *name = lstr_dup_c(organisation);
	uint32_t count = limit_count(table, organisation);

	if (name == NULL)
		return status_set(STATUS_NO_MEMORY, "limits");
	g_hash_table_insert(table->counts, name, GUINT_TO_POINTER(count + 1));
	return STATUS_OK;
}

/*
 * Counts the end of a request that was admitted.
 */
void
limit_leave(struct limit_table *table, struct lstr organisation)
{
	char *name = lstr_dup_c(organisation);
	uint32_t count = limit_count(table, organisation);

	if (name == NULL)
		return;
	if (count <= 1) {
		g_hash_table_remove(table->counts, name);
		free(name);
	} else {
		g_hash_table_insert(
		    table->counts, name, GUINT_TO_POINTER(count - 1));
	}
}

/*
 * Fills a refusal. The wait is raised to RETRY_MIN_USEC, which keeps refused
 * callers from coming back at once.
 */
static void
refuse(struct limit_decision *out, const char *code, int64_t now, int64_t wait)
{
	out->admitted = false;
	out->code = code;
	out->retry_at = now + (wait > RETRY_MIN_USEC ? wait : RETRY_MIN_USEC);
}

/*
 * Refuses a request that cannot finish in time. When it could not even on an
 * idle replica, no retry with the same time limit can help.
 */
static void
refuse_late(const struct limit_case *c, int64_t now, struct limit_decision *out)
{
	int64_t allowed = c->deadline - now;

	refuse(out, "deadline-too-short", now,
	    c->wait_usec + c->run_usec - allowed);
	if (c->run_usec > allowed)
		out->retry_at = 0;
	snprintf(out->message, sizeof(out->message),
	    "expected to take %lld ms, %lld ms are left",
	    (long long)((c->wait_usec + c->run_usec) / 1000),
	    (long long)(allowed / 1000));
}

/*
 * Decides whether a request is admitted to the queue of a replica: the
 * deadline has not passed, the organisation is below its limit, the queue has
 * room, and the expected finish is before the deadline. Only the message of a
 * refusal is written.
 */
void
limit_decide(const struct limit_table *table, const struct limit_case *c,
    int64_t now, struct limit_decision *out)
{
	uint32_t count = limit_count(table, c->organisation);

	out->admitted = true;
	out->code = "";
	out->message[0] = '\0';
	out->retry_at = 0;
	if (c->deadline <= now) {
		out->admitted = false;
		out->code = "deadline-passed";
		snprintf(out->message, sizeof(out->message),
		    "the deadline has passed");
	} else if (count >= c->max_concurrent) {
		refuse(out, "organisation-limit", now, c->turn_usec);
		snprintf(out->message, sizeof(out->message),
		    "%u requests of the organisation are open, %u are allowed",
		    count, c->max_concurrent);
	} else if (c->queued >= c->queue_max) {
		refuse(out, "queue-full", now, c->turn_usec);
		snprintf(out->message, sizeof(out->message),
		    "%zu requests wait for the replica, %zu are allowed",
		    c->queued, c->queue_max);
	} else if (c->wait_usec + c->run_usec > c->deadline - now) {
		refuse_late(c, now, out);
	}
}

/*
 * Sets the limit of a replica that has not been observed yet.
 */
void
limit_adaptive_init(struct limit_adaptive *a, uint32_t start, uint32_t max)
{
	a->min = 1;
	a->max = max > 1 ? max : 1;
	a->limit = start < a->max ? start : a->max;
	if (a->limit < a->min)
		a->limit = a->min;
	a->base_usec = 0;
	a->token_usec = 0;
	a->adjust_at = 0;
	a->peak = 0;
}

/*
 * Tells whether tokens come too slowly for the present concurrency.
 */
static bool
is_congested(const struct limit_adaptive *a)
{
	if (a->token_usec > a->base_usec * CONGESTED_RATIO)
		return true;
	return a->token_usec > a->base_usec * BUSY_RATIO &&
	    a->token_usec > TARGET_USEC;
}

/*
 * Takes the time of one token that was made while running requests shared the
 * replica. At most once each ADJUST_INTERVAL_USEC the limit shrinks by a
 * tenth (congested) or grows (not congested, and the limit was used).
 */
void
limit_adaptive_observe(
    struct limit_adaptive *a, int64_t token_usec, uint32_t running, int64_t now)
{
	double sample = (double)(token_usec > 1 ? token_usec : 1);

	a->token_usec = a->token_usec == 0
	    ? sample
	    : a->token_usec + SMOOTHING * (sample - a->token_usec);
	if (a->base_usec == 0 || a->token_usec < a->base_usec)
		a->base_usec = a->token_usec;
	if (running > a->peak)
		a->peak = running;
	if (now < a->adjust_at)
		return;
	if (is_congested(a))
		a->limit *= DECREASE_FACTOR;
	else if (a->peak + 1 > a->limit)
		a->limit += a->token_usec <= a->base_usec * BUSY_RATIO
		    ? 1 + a->limit * INCREASE_PART
		    : 1;
	a->limit = CLAMP(a->limit, a->min, a->max);
	if (a->peak <= LIGHT_RUNNING)
		a->base_usec += BASE_SMOOTHING * (a->token_usec - a->base_usec);
	a->peak = 0;
	a->adjust_at = now + ADJUST_INTERVAL_USEC;
}

/*
 * Returns how many requests may run at the same time, at least 1.
 */
uint32_t
limit_adaptive_value(const struct limit_adaptive *a)
{
	return (uint32_t)a->limit;
}
