#include <assert.h>
#include <string.h>

#include <glib.h>

#include "claim_bucket.h"

/*
 * Finds the bucket that waits for the result with this ticket and clears the
 * ticket. Returns NULL when the ticket is outdated.
 */
static struct claim_bucket *
consume_ticket(struct claim *claim, uint64_t ticket)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claim->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct claim_bucket *bucket = value;

		if (bucket->ticket != ticket)
			continue;
		bucket->ticket = 0;
		return bucket;
	}
	return NULL;
}

/*
 * Handles one slot from the result of CLAIM_READ_RING.
 */
void
claim_ring_item(struct claim *claim, uint64_t ticket, uint32_t slot,
    uint64_t version, struct lstr value)
{
	struct claim_bucket *bucket = consume_ticket(claim, ticket);

	if (bucket == NULL)
		return;
	bucket->ticket = ticket;
	if (slot < claim->settings.slots)
		claim_log_load_slot(bucket->log, slot, version, value);
}

/*
 * Handles the end of CLAIM_READ_RING. On failure, waiting requests are refused
 * at once and the ring is read again after CLAIM_RETRY_USEC.
 */
void
claim_ring_done(
    struct claim *claim, uint64_t ticket, enum status status, int64_t now)
{
	struct claim_bucket *bucket = consume_ticket(claim, ticket);

	if (bucket == NULL)
		return;
	bucket->ring_read = status == STATUS_OK;
	if (!bucket->ring_read) {
		bucket->retry_at = now + CLAIM_RETRY_USEC;
		claim_bucket_refuse_waiting(bucket);
	}
	claim_bucket_step(bucket, now);
}

/*
 * Handles a slot that was read again while loading. If that does not close
 * the gap, the next read is delayed by CLAIM_RETRY_USEC.
 */
static void
handle_loading_slot(struct claim_bucket *bucket, enum status status,
    uint64_t version, struct lstr value, int64_t now)
{
	uint32_t before = 0;
	uint32_t after = 0;

	claim_log_find_gap(bucket->log, &before);
	if (status == STATUS_OK)
		claim_log_load_slot(bucket->log, before, version, value);
	if (claim_log_find_gap(bucket->log, &after) && after == before)
		bucket->retry_at = now + CLAIM_RETRY_USEC;
	if (status == STATUS_UNAVAILABLE)
		claim_bucket_refuse_waiting(bucket);
}

/*
 * Handles the result of CLAIM_READ_SLOT, which is STATUS_NOT_FOUND for an
 * empty slot.
 */
void
claim_slot_read(struct claim *claim, uint64_t ticket, enum status status,
    uint64_t version, struct lstr value, int64_t now)
{
	struct claim_bucket *bucket = consume_ticket(claim, ticket);

	if (bucket == NULL)
		return;
	if (status == STATUS_NOT_FOUND)
		version = 0;
	if (bucket->state == CLAIM_BUCKET_LOADING) {
		handle_loading_slot(bucket, status, version, value, now);
	} else if (status == STATUS_OK || status == STATUS_NOT_FOUND) {
		claim->counts.readbacks++;
		claim_bucket_resolve_batch(bucket, version, value, now);
	} else {
		bucket->retry_at = now + CLAIM_RETRY_USEC;
		claim_bucket_refuse_waiting(bucket);
		claim_bucket_refuse_in_flight(bucket, INT64_MAX);
	}
	claim_bucket_step(bucket, now);
}

/*
 * Handles the result of CLAIM_SWAP_SLOT. After a conflict or an ambiguous
 * result the slot is read back, because an earlier attempt to write the same
 * batch may have succeeded.
 */
void
claim_slot_swapped(struct claim *claim, uint64_t ticket, enum status status,
    uint64_t version, int64_t now)
{
	struct claim_bucket *bucket = consume_ticket(claim, ticket);

	if (bucket == NULL)
		return;
	if (status == STATUS_OK) {
		claim_bucket_complete_batch(bucket, version, now);
	} else if (status == STATUS_CONFLICT) {
		bucket->state = CLAIM_BUCKET_DECIDING;
	} else if (status == STATUS_AMBIGUOUS) {
#ifdef CLAIM_TEST_SKIP_READBACK
		claim_bucket_complete_batch(bucket, version, now);
#else
		bucket->inflight.ambiguous = true;
		bucket->state = CLAIM_BUCKET_DECIDING;
#endif
	} else if (bucket->inflight.ambiguous) {
		bucket->state = CLAIM_BUCKET_DECIDING;
		bucket->retry_at = now + CLAIM_RETRY_USEC;
	} else {
		claim_bucket_requeue_batch(bucket);
		claim_bucket_refuse_waiting(bucket);
		bucket->state = CLAIM_BUCKET_READY;
		bucket->retry_at = now + CLAIM_RETRY_USEC;
	}
	claim_bucket_step(bucket, now);
}

/*
 * Returns the bucket with the given index and creates it when necessary.
 */
static struct claim_bucket *
find_or_create_bucket(struct claim *claim, uint32_t index)
{
	struct claim_bucket *bucket =
	    g_hash_table_lookup(claim->buckets, GUINT_TO_POINTER(index));

	assert(index < claim->settings.buckets);
	if (bucket != NULL)
		return bucket;
	bucket = g_new0(struct claim_bucket, 1);
	bucket->claim = claim;
	bucket->index = index;
	bucket->log = claim_log_create(claim->settings.slots);
	g_hash_table_insert(claim->buckets, GUINT_TO_POINTER(index), bucket);
	return bucket;
}

/*
 * Submits a request for a claim. The reply follows as a CLAIM_REPLY action,
 * immediately or later. The result is CLAIM_RESULT_UNAVAILABLE when
 * CLAIM_REQUESTS_MAX requests already wait in the bucket.
 */
void
claim_submit(struct claim *claim, uint32_t index,
    const struct claim_request *request, int64_t now)
{
	struct claim_bucket *bucket = find_or_create_bucket(claim, index);
	struct claim_waiting_request *waiting;

	if (bucket->requests.length >= CLAIM_REQUESTS_MAX) {
		claim_bucket_reply(bucket, request,
		    CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE, NULL);
		return;
	}
	waiting = g_new0(struct claim_waiting_request, 1);
	waiting->request = *request;
	g_queue_push_tail(&bucket->requests, waiting);
	claim_bucket_step(bucket, now);
}

/*
 * Queues the report of a claim's outcome. When CLAIM_REPORTS_MAX reports
 * already wait, the oldest is dropped and its key stays claimed until it
 * expires.
 */
void
claim_report(struct claim *claim, uint32_t index,
    const struct claim_report *report, int64_t now)
{
	struct claim_bucket *bucket = find_or_create_bucket(claim, index);
	struct claim_waiting_report *waiting;

	if (bucket->reports.length >= CLAIM_REPORTS_MAX) {
		g_free(g_queue_pop_head(&bucket->reports));
		claim->counts.outcomes_dropped++;
	}
	waiting = g_new0(struct claim_waiting_report, 1);
	waiting->report = *report;
	waiting->report.expiry =
	    MIN(report->expiry, now + CLAIM_EXPIRY_MAX_USEC);
	waiting->since = now;
	g_queue_push_tail(&bucket->reports, waiting);
	claim_bucket_step(bucket, now);
}

/*
 * Performs the work that is due in all buckets.
 */
void
claim_tick(struct claim *claim, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claim->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		claim_bucket_step(value, now);
}

/*
 * Returns when a bucket needs the next claim_tick().
 */
static int64_t
bucket_next_at(const struct claim_bucket *bucket)
{
	bool waiting =
	    bucket->requests.length > 0 || bucket->inflight.requests.length > 0;
	int64_t at = waiting ? bucket->check_at : INT64_MAX;

	if (bucket->ticket != 0)
		return at;
	if (bucket->state == CLAIM_BUCKET_READY)
		return MIN(at,
		    MAX(bucket->retry_at,
			claim_bucket_commit_due_at(
			    bucket, bucket->requests.length > 0)));
	if (bucket->state == CLAIM_BUCKET_LOADING &&
	    bucket->requests.length == 0 && bucket->reports.length == 0)
		return at;
	return MIN(at, bucket->retry_at);
}

/*
 * Returns when claim_tick() is due; INT64_MAX when nothing waits.
 */
int64_t
claim_next_at(const struct claim *claim)
{
	int64_t at = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claim->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		at = MIN(at, bucket_next_at(value));
	return at;
}

/*
 * Removes the next action from the queue; the caller clears it with
 * claim_action_clear(). Returns false when the queue is empty.
 */
bool
claim_next_action(struct claim *claim, struct claim_action *out)
{
	struct claim_action *action = g_queue_pop_head(&claim->actions);

	if (action == NULL)
		return false;
	*out = *action;
	g_free(action);
	return true;
}

/*
 * Frees what an action owns.
 */
void
claim_action_clear(struct claim_action *action)
{
	g_free(action->value);
	action->value = NULL;
}

/*
 * Returns whether a bucket has no pending work.
 */
bool
claim_is_idle(const struct claim *claim, uint32_t index)
{
	const struct claim_bucket *bucket =
	    g_hash_table_lookup(claim->buckets, GUINT_TO_POINTER(index));

	return bucket == NULL ||
	    (bucket->ticket == 0 && bucket->requests.length == 0 &&
		bucket->reports.length == 0 && bucket->inflight.batch == NULL);
}

/*
 * Frees a bucket with its waiting requests and reports.
 */
static void
bucket_free(gpointer data)
{
	struct claim_bucket *bucket = data;

	g_queue_clear_full(&bucket->requests, g_free);
	g_queue_clear_full(&bucket->reports, g_free);
	g_queue_clear_full(&bucket->inflight.requests, g_free);
	g_queue_clear_full(&bucket->inflight.reports, g_free);
	claim_inflight_clear(&bucket->inflight);
	claim_log_destroy(bucket->log);
	g_free(bucket);
}

/*
 * Removes a bucket from memory. Waiting requests are refused as unavailable.
 * Waiting reports are lost, and their keys stay claimed until they expire.
 */
void
claim_drop_bucket(struct claim *claim, uint32_t index)
{
	struct claim_bucket *bucket =
	    g_hash_table_lookup(claim->buckets, GUINT_TO_POINTER(index));

	if (bucket == NULL)
		return;
	claim_bucket_refuse_waiting(bucket);
	claim_bucket_refuse_in_flight(bucket, INT64_MAX);
	g_hash_table_remove(claim->buckets, GUINT_TO_POINTER(index));
}

/*
 * Creates the table of buckets. Each bucket is loaded on first use.
 */
struct claim *
claim_create(const struct claim_settings *settings)
{
	struct claim *claim = g_new0(struct claim, 1);

	claim->settings = *settings;
	claim->buckets = g_hash_table_new_full(NULL, NULL, NULL, bucket_free);
	return claim;
}

/*
 * Frees all buckets without sending replies; NULL is allowed.
 */
void
claim_destroy(struct claim *claim)
{
	struct claim_action action;

	if (claim == NULL)
		return;
	while (claim_next_action(claim, &action))
		claim_action_clear(&action);
	g_hash_table_destroy(claim->buckets);
	g_free(claim);
}

/*
 * Returns the index of the bucket that an identity belongs to.
 */
uint32_t
claim_bucket_of(const uint8_t identity[CLAIM_ID_BYTES], uint32_t buckets)
{
	uint32_t number;

	memcpy(&number, identity, sizeof(number));
	return GUINT32_FROM_LE(number) % buckets;
}

/*
 * Returns the counters.
 */
const struct claim_counts *
claim_counts(const struct claim *claim)
{
	return &claim->counts;
}

/*
 * Returns the state of all buckets in memory as a JSON array.
 */
json_t *
claim_dump(const struct claim *claim)
{
	static const char *const states[] = {
	    "loading", "ready", "committing", "deciding"};
	json_t *array = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claim->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct claim_bucket *bucket = value;

		json_array_append_new(array,
		    json_pack("{s:i, s:s, s:I, s:I, s:i, s:i, s:i}", "bucket",
			(int)bucket->index, "state", states[bucket->state],
			"head", (json_int_t)claim_log_head(bucket->log),
			"horizon", (json_int_t)claim_log_horizon(bucket->log),
			"known", (int)claim_log_record_count(bucket->log),
			"requests", (int)bucket->requests.length, "reports",
			(int)bucket->reports.length));
	}
	return array;
}
