#include <stdio.h>
#include <stdlib.h>

#include "limit.h"

/* Minimum wait before a retry that a refused caller is given. */
#define RETRY_MIN_USEC ((int64_t)100000)

/* Weight of a new sample in the smoothed time per token. */
#define TOKEN_SMOOTHING 0.05
/* Minimum interval between changes of the limit. */
#define ADJUST_INTERVAL_USEC ((int64_t)200000)
/*
 * The limit shrinks when the time per token exceeds its value without load by
 * this factor. Batching engines trade up to twice the time per token for
 * throughput; beyond that, more concurrency only makes each request slower.
 */
#define CONGESTED_RATIO 2.0
/*
 * Between the two ratios the limit shrinks only when the time per token also
 * exceeds the target of 46 ms.
 */
#define BUSY_RATIO 1.25
#define TARGET_TOKEN_USEC 46000.0
#define DECREASE_FACTOR 0.9
/*
 * Up to the busy ratio the limit grows by one plus this fraction of itself, so
 * that a burst does not wait many seconds for it; above, it grows by one.
 */
#define INCREASE_FRACTION 0.125
/*
 * The value without load is raised towards slower samples only while at most
 * this many requests run. If it also rose under load, a saturated replica
 * would raise its own limit without bound. If the hardware becomes slower, the
 * limit falls until so few requests run that the value is corrected.
 */
#define LOW_LOAD_RUNNING 2
#define BASE_SMOOTHING 0.05

struct limit_table {
	/* Maps organisation to its number of requests. */
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
 * Frees a table; NULL is allowed.
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
 * Returns how many admitted requests of an organisation are in the router.
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
 * Counts a request that was admitted. The table only contains organisations
 * with requests, so the limit on requests also limits its size. Returns
 * STATUS_NO_MEMORY when an allocation fails.
 */
enum status
limit_acquire(struct limit_table *table, struct lstr organisation)
{
	char *name = lstr_dup_c(organisation);
	uint32_t count = limit_count(table, organisation);

	if (name == NULL)
		return status_set(STATUS_NO_MEMORY, "limits");
	g_hash_table_insert(table->counts, name, GUINT_TO_POINTER(count + 1));
	return STATUS_OK;
}

/*
 * Removes a finished request from the count of its organisation.
 */
void
limit_release(struct limit_table *table, struct lstr organisation)
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
 * Fills in a refusal. The wait is at least RETRY_MIN_USEC, so that refused
 * callers do not retry immediately.
 */
static void
refuse(struct limit_decision *out, const char *code, int64_t now, int64_t wait)
{
	out->admitted = false;
	out->code = code;
	out->retry_at = now + (wait > RETRY_MIN_USEC ? wait : RETRY_MIN_USEC);
}

/*
 * Refuses a request that cannot finish before its deadline. When it could not
 * do so on an idle replica either, retry_at is 0 because a retry with the same
 * time limit would fail as well.
 */
static void
refuse_deadline(const struct limit_request *request, int64_t now,
    struct limit_decision *out)
{
	int64_t remaining = request->deadline - now;

	refuse(out, "deadline-too-short", now,
	    request->wait_usec + request->run_usec - remaining);
	if (request->run_usec > remaining)
		out->retry_at = 0;
	snprintf(out->message, sizeof(out->message),
	    "expected to take %lld ms, %lld ms are left",
	    (long long)((request->wait_usec + request->run_usec) / 1000),
	    (long long)(remaining / 1000));
}

/*
 * Decides whether a request is admitted to the queue of a replica. The
 * deadline must not have passed, the organisation must be below its limit, the
 * queue must have room, and the request must be expected to finish before the
 * deadline. The message is empty for an admitted request.
 */
void
limit_decide(const struct limit_table *table,
    const struct limit_request *request, int64_t now,
    struct limit_decision *out)
{
	uint32_t count = limit_count(table, request->organisation);

	out->admitted = true;
	out->code = "";
	out->message[0] = '\0';
	out->retry_at = 0;
	if (request->deadline <= now) {
		out->admitted = false;
		out->code = "deadline-passed";
		snprintf(out->message, sizeof(out->message),
		    "the deadline has passed");
	} else if (count >= request->max_concurrent) {
		refuse(out, "organisation-limit", now,
		    request->completion_interval_usec);
		snprintf(out->message, sizeof(out->message),
		    "%u requests of the organisation are open, %u are allowed",
		    count, request->max_concurrent);
	} else if (request->queued >= request->queue_max) {
		refuse(
		    out, "queue-full", now, request->completion_interval_usec);
		snprintf(out->message, sizeof(out->message),
		    "%zu requests wait for the replica, %zu are allowed",
		    request->queued, request->queue_max);
	} else if (request->wait_usec + request->run_usec >
	    request->deadline - now) {
		refuse_deadline(request, now, out);
	}
}

/*
 * Initializes the limit of a replica without samples. The limit stays between
 * 1 and max.
 */
void
limit_adaptive_init(
    struct limit_adaptive *adaptive, uint32_t start, uint32_t max)
{
	adaptive->min = 1;
	adaptive->max = max > 1 ? max : 1;
	adaptive->limit = start < adaptive->max ? start : adaptive->max;
	if (adaptive->limit < adaptive->min)
		adaptive->limit = adaptive->min;
	adaptive->base_usec = 0;
	adaptive->token_usec = 0;
	adaptive->next_adjust_at = 0;
	adaptive->peak_running = 0;
}

/*
 * Returns whether the time per token is too long, so that the limit must
 * shrink.
 */
static bool
is_congested(const struct limit_adaptive *adaptive)
{
	if (adaptive->token_usec > adaptive->base_usec * CONGESTED_RATIO)
		return true;
	return adaptive->token_usec > adaptive->base_usec * BUSY_RATIO &&
	    adaptive->token_usec > TARGET_TOKEN_USEC;
}

/*
 * Adds the time per token that was measured while the given number of requests
 * ran on the replica. At most once per ADJUST_INTERVAL_USEC the limit is
 * adjusted: it shrinks by a tenth under congestion, and otherwise grows if it
 * was reached.
 */
void
limit_adaptive_observe(struct limit_adaptive *adaptive, int64_t token_usec,
    uint32_t running, int64_t now)
{
	double sample = (double)(token_usec > 1 ? token_usec : 1);

	adaptive->token_usec = adaptive->token_usec == 0
	    ? sample
	    : adaptive->token_usec +
		TOKEN_SMOOTHING * (sample - adaptive->token_usec);
	if (adaptive->base_usec == 0 ||
	    adaptive->token_usec < adaptive->base_usec)
		adaptive->base_usec = adaptive->token_usec;
	if (running > adaptive->peak_running)
		adaptive->peak_running = running;
	if (now < adaptive->next_adjust_at)
		return;
	if (is_congested(adaptive))
		adaptive->limit *= DECREASE_FACTOR;
	else if (adaptive->peak_running + 1 > adaptive->limit)
		adaptive->limit +=
		    adaptive->token_usec <= adaptive->base_usec * BUSY_RATIO
		    ? 1 + adaptive->limit * INCREASE_FRACTION
		    : 1;
	adaptive->limit = CLAMP(adaptive->limit, adaptive->min, adaptive->max);
	if (adaptive->peak_running <= LOW_LOAD_RUNNING)
		adaptive->base_usec += BASE_SMOOTHING *
		    (adaptive->token_usec - adaptive->base_usec);
	adaptive->peak_running = 0;
	adaptive->next_adjust_at = now + ADJUST_INTERVAL_USEC;
}

/*
 * Returns how many requests may run at the same time; at least 1.
 */
uint32_t
limit_adaptive_value(const struct limit_adaptive *adaptive)
{
	return (uint32_t)adaptive->limit;
}
