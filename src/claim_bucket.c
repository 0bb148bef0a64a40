#include <assert.h>
#include <string.h>

#include <glib.h>

#include "claim_bucket.h"

/* How often the deadlines of waiting requests are checked. */
#define DEADLINE_CHECK_USEC ((int64_t)50000)

/*
 * Queues an action and returns it for the caller to fill in. Every action but
 * a reply gets a new ticket, and the bucket waits for its result.
 */
static struct claim_action *
add_action(struct claim_bucket *bucket, enum claim_action_kind kind)
{
	struct claim_action *action = g_new0(struct claim_action, 1);

	action->kind = kind;
	action->bucket = bucket->index;
	if (kind != CLAIM_REPLY) {
		assert(bucket->ticket == 0);
		bucket->ticket = ++bucket->claim->last_ticket;
		action->ticket = bucket->ticket;
	}
	g_queue_push_tail(&bucket->claim->actions, action);
	return action;
}

/*
 * Queues the reply to a request. known is the record of its identity in the
 * log, or NULL.
 */
void
claim_bucket_reply(struct claim_bucket *bucket,
    const struct claim_request *request, Ch__ClaimResult result,
    const struct claim_record *known)
{
	struct claim_reply *out = &add_action(bucket, CLAIM_REPLY)->reply;
	struct claim_counts *counts = &bucket->claim->counts;

	out->reply_to = request->reply_to;
	out->sequence = request->sequence;
	memcpy(out->identity, request->identity, CLAIM_ID_BYTES);
	memcpy(out->token, request->token, CLAIM_ID_BYTES);
	out->result = result;
	if (known != NULL) {
		out->state = known->state;
		out->status = known->status;
		out->fence = known->fence;
	}
	counts->granted += result == CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED;
	counts->duplicates +=
	    result == CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE;
	counts->expired += result == CH__CLAIM_RESULT__CLAIM_RESULT_EXPIRED;
	counts->unavailable +=
	    result == CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE;
}

/*
 * Replies to all waiting requests with CLAIM_RESULT_UNAVAILABLE.
 */
void
claim_bucket_refuse_waiting(struct claim_bucket *bucket)
{
	struct claim_waiting_request *waiting;

	while ((waiting = g_queue_pop_head(&bucket->requests)) != NULL) {
		claim_bucket_reply(bucket, &waiting->request,
		    CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE, NULL);
		g_free(waiting);
	}
}

/*
 * Replies to the requests of the batch in flight whose deadline is not after
 * latest_deadline with CLAIM_RESULT_UNAVAILABLE. The batch may still be
 * written; the routers then report these claims as NOT_RUN.
 */
void
claim_bucket_refuse_in_flight(
    struct claim_bucket *bucket, int64_t latest_deadline)
{
	for (GList *l = bucket->inflight.requests.head; l != NULL;
	     l = l->next) {
		struct claim_waiting_request *waiting = l->data;

		if (waiting->replied ||
		    waiting->request.deadline > latest_deadline)
			continue;
		waiting->replied = true;
		claim_bucket_reply(bucket, &waiting->request,
		    CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE, NULL);
	}
}

/*
 * Replies to the requests whose deadline has passed with
 * CLAIM_RESULT_UNAVAILABLE.
 */
static void
refuse_past_deadline(struct claim_bucket *bucket, int64_t now)
{
	GList *l = bucket->requests.head;

	while (l != NULL) {
		struct claim_waiting_request *waiting = l->data;
		GList *next = l->next;

		if (waiting->request.deadline <= now) {
			claim_bucket_reply(bucket, &waiting->request,
			    CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE, NULL);
			g_queue_delete_link(&bucket->requests, l);
			g_free(waiting);
		}
		l = next;
	}
	claim_bucket_refuse_in_flight(bucket, now);
}

/*
 * Returns the result of a request as far as the log determines it, and
 * CLAIM_RESULT_UNSPECIFIED when a new claim must be written.
 */
static Ch__ClaimResult
result_from_log(const struct claim_bucket *bucket,
    const struct claim_request *request, const struct claim_record *known,
    int64_t now)
{
#ifdef CLAIM_TEST_IGNORE_HORIZON
	int64_t horizon = 0;
#else
	int64_t horizon = claim_log_horizon(bucket->log);
#endif

	(void)bucket;
	if (known != NULL &&
	    memcmp(known->token, request->token, CLAIM_ID_BYTES) == 0) {
		if (known->state == CH__CLAIM_STATE__CLAIM_STATE_CLAIMED)
			return CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED;
		/* A token cannot be used again once it was reported. */
		return known->state == CH__CLAIM_STATE__CLAIM_STATE_RAN
		    ? CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE
		    : CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE;
	}
	if (known != NULL &&
	    known->state != CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN)
		return CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE;
	if (request->expiry <= MAX(now, horizon))
		return CH__CLAIM_RESULT__CLAIM_RESULT_EXPIRED;
	if (request->expiry > now + CLAIM_EXPIRY_MAX_USEC)
		return CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE;
	return CH__CLAIM_RESULT__CLAIM_RESULT_UNSPECIFIED;
}

/*
 * Returns whether one of the reports releases the claim in the log with
 * NOT_RUN.
 */
static bool
is_released(const GQueue *reports, const struct claim_record *known)
{
	for (const GList *l = reports->head; l != NULL; l = l->next) {
		const struct claim_report *report =
		    &((const struct claim_waiting_report *)l->data)->report;

		if (report->state == CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN &&
		    claim_identity_equal(report->identity, known->identity) &&
		    memcmp(report->token, known->token, CLAIM_ID_BYTES) == 0)
			return true;
	}
	return false;
}

/*
 * Returns whether a waiting or in-flight report will release the identity. The
 * request then waits for that report instead of being refused as a duplicate.
 */
static bool
will_be_released(
    const struct claim_bucket *bucket, const struct claim_record *known)
{
	return known != NULL &&
	    known->state == CH__CLAIM_STATE__CLAIM_STATE_CLAIMED &&
	    (is_released(&bucket->reports, known) ||
		is_released(&bucket->inflight.reports, known));
}

/*
 * Replies to the requests whose result follows from the log. Returns whether
 * any request remains.
 */
static bool
reply_from_log(struct claim_bucket *bucket, int64_t now)
{
	GList *l = bucket->requests.head;

	while (l != NULL) {
		struct claim_waiting_request *waiting = l->data;
		const struct claim_record *known =
		    claim_log_find(bucket->log, waiting->request.identity);
		Ch__ClaimResult result =
		    result_from_log(bucket, &waiting->request, known, now);
		GList *next = l->next;

		if (result == CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE &&
		    will_be_released(bucket, known)) {
			l = next;
			continue;
		}
		if (result != CH__CLAIM_RESULT__CLAIM_RESULT_UNSPECIFIED) {
			claim_bucket_reply(
			    bucket, &waiting->request, result, known);
			g_queue_delete_link(&bucket->requests, l);
			g_free(waiting);
		}
		l = next;
	}
	return bucket->requests.length > 0;
}

/*
 * Returns whether a report would change the log.
 */
static bool
changes_log(
    const struct claim_bucket *bucket, const struct claim_report *report)
{
	const struct claim_record *known =
	    claim_log_find(bucket->log, report->identity);
	bool holder = known != NULL &&
	    memcmp(known->token, report->token, CLAIM_ID_BYTES) == 0;

	if (holder)
		return known->state != report->state;
	if (report->state != CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN)
		return false;
	if (known != NULL &&
	    known->state != CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN)
		return false;
	return report->expiry > claim_log_horizon(bucket->log);
}

/*
 * Drops the reports that would not change the log.
 */
static void
drop_redundant_reports(struct claim_bucket *bucket)
{
	GList *l = bucket->reports.head;

	while (l != NULL) {
		struct claim_waiting_report *waiting = l->data;
		GList *next = l->next;

		if (!changes_log(bucket, &waiting->report)) {
			g_queue_delete_link(&bucket->reports, l);
			g_free(waiting);
		}
		l = next;
	}
}

/*
 * Returns the interval between commits in microseconds. When more than half of
 * the slots are in use, commits are spread out so that the ring does not fill
 * up before the last batch expires; when more than 7/8 are in use, the
 * interval is at least twice as long.
 */
static int64_t
commit_interval(const struct claim_bucket *bucket, int64_t now)
{
	const struct claim_settings *settings = &bucket->claim->settings;
	uint32_t used = claim_log_slots_in_use(bucket->log, now);
	uint32_t last =
	    (uint32_t)(claim_log_head(bucket->log) % settings->slots);
	int64_t window = claim_log_slot_expiry(bucket->log, last) - now;
	int64_t interval = settings->interval_usec;

	if (used * 2 > settings->slots && window > 0)
		interval = MAX(interval, window / settings->slots);
	if (used > settings->slots - settings->slots / 8 && window > 0)
		interval = MAX(interval, 2 * window / settings->slots);
	return interval;
}

/*
 * Returns the time at which the next batch may be written, or INT64_MAX when
 * there is nothing to write. claims is true if requests wait for a claim.
 */
int64_t
claim_bucket_commit_due_at(const struct claim_bucket *bucket, bool claims)
{
	const struct claim_waiting_report *oldest =
	    g_queue_peek_head((GQueue *)&bucket->reports);
	int64_t at = INT64_MAX;

	if (claims)
		at = bucket->commit_at;
	else if (oldest != NULL)
		at = MAX(
		    bucket->commit_at, oldest->since + CLAIM_REPORT_WAIT_USEC);
	if (at == INT64_MAX)
		return at;
	return MAX(at,
	    claim_log_slot_expiry(
		bucket->log, claim_log_next_slot(bucket->log)));
}

/*
 * Writes the batch in flight. Every attempt has the same contents and expects
 * the same version of the slot, so that at most one of them takes effect.
 */
void
claim_bucket_write_batch(struct claim_bucket *bucket)
{
	struct claim_action *action = add_action(bucket, CLAIM_SWAP_SLOT);
	const struct claim_inflight *inflight = &bucket->inflight;

	bucket->state = CLAIM_BUCKET_COMMITTING;
	action->slot = inflight->slot;
	action->version = inflight->version;
	action->value = g_memdup2(inflight->packed, inflight->packed_len);
	action->value_len = inflight->packed_len;
}

/*
 * Builds a batch from the waiting reports and requests and writes it.
 */
static void
commit(struct claim_bucket *bucket, int64_t now)
{
	struct claim *claim = bucket->claim;
	uint64_t id[2] = {claim->settings.owner_id, ++claim->last_batch};

	claim_inflight_build(&bucket->inflight, bucket->log, id,
	    &bucket->reports, &bucket->requests);
	bucket->commit_at = now + commit_interval(bucket, now);
	claim->counts.commits++;
	claim_bucket_write_batch(bucket);
}

/*
 * Discards a batch that is known not to be in the log. Its reports and
 * unanswered requests return to the queues for the next batch.
 */
void
claim_bucket_requeue_batch(struct claim_bucket *bucket)
{
	struct claim_inflight *inflight = &bucket->inflight;
	struct claim_waiting_request *request;
	struct claim_waiting_report *report;

	while ((request = g_queue_pop_tail(&inflight->requests)) != NULL) {
		if (request->replied)
			g_free(request);
		else
			g_queue_push_head(&bucket->requests, request);
	}
	while ((report = g_queue_pop_tail(&inflight->reports)) != NULL)
		g_queue_push_head(&bucket->reports, report);
	claim_inflight_clear(inflight);
}

/*
 * Completes a batch that is known to be in the log: applies it and grants its
 * claims, except to requests whose deadline has passed.
 */
void
claim_bucket_complete_batch(
    struct claim_bucket *bucket, uint64_t version, int64_t now)
{
	struct claim_inflight *inflight = &bucket->inflight;
	struct claim_waiting_request *request;
	struct claim_waiting_report *report;

	claim_log_apply(bucket->log, inflight->batch, version);
	while ((request = g_queue_pop_head(&inflight->requests)) != NULL) {
		const struct claim_request *r = &request->request;

		if (!request->replied)
			claim_bucket_reply(bucket, r,
			    r->deadline > now
				? CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED
				: CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE,
			    claim_log_find(bucket->log, r->identity));
		g_free(request);
	}
	while ((report = g_queue_pop_head(&inflight->reports)) != NULL)
		g_free(report);
	claim_inflight_clear(inflight);
	bucket->state = CLAIM_BUCKET_READY;
}

/*
 * Discards the local copy of the log so that it is loaded again.
 */
void
claim_bucket_reload(struct claim_bucket *bucket)
{
	bucket->claim->counts.reloads++;
	claim_log_destroy(bucket->log);
	bucket->log = claim_log_create(bucket->claim->settings.slots);
	bucket->ring_read = false;
	bucket->state = CLAIM_BUCKET_LOADING;
}

/*
 * Performs the next step of loading: reads the whole ring, then each slot
 * whose sequence number leaves a gap, then replays the log. Nothing is loaded
 * while the bucket has no requests or reports.
 */
static void
continue_loading(struct claim_bucket *bucket)
{
	uint32_t slot;

	if (bucket->requests.length == 0 && bucket->reports.length == 0)
		return;
	if (!bucket->ring_read) {
		add_action(bucket, CLAIM_READ_RING);
	} else if (claim_log_find_gap(bucket->log, &slot)) {
		add_action(bucket, CLAIM_READ_SLOT)->slot = slot;
	} else {
		claim_log_replay(bucket->log);
		bucket->state = CLAIM_BUCKET_READY;
	}
}

/*
 * Performs the work that is due in a bucket.
 */
void
claim_bucket_step(struct claim_bucket *bucket, int64_t now)
{
	bool claims = bucket->requests.length > 0;

	refuse_past_deadline(bucket, now);
	bucket->check_at = now + DEADLINE_CHECK_USEC;
	if (bucket->state != CLAIM_BUCKET_LOADING)
		claims = reply_from_log(bucket, now);
	if (bucket->ticket != 0 || now < bucket->retry_at)
		return;
	if (bucket->state == CLAIM_BUCKET_LOADING) {
		continue_loading(bucket);
		if (bucket->state != CLAIM_BUCKET_READY)
			return;
		claims = reply_from_log(bucket, now);
	}
	switch (bucket->state) {
	case CLAIM_BUCKET_READY:
		drop_redundant_reports(bucket);
		if (claim_bucket_commit_due_at(bucket, claims) <= now)
			commit(bucket, now);
		break;
	case CLAIM_BUCKET_COMMITTING:
		claim_bucket_write_batch(bucket);
		break;
	case CLAIM_BUCKET_DECIDING:
		add_action(bucket, CLAIM_READ_SLOT)->slot =
		    bucket->inflight.slot;
		break;
	default:
		break;
	}
}

/*
 * Determines from the content of its slot whether the batch in flight was
 * written, and continues accordingly. A batch of another owner with the same
 * sequence number is applied to the log.
 */
void
claim_bucket_resolve_batch(struct claim_bucket *bucket, uint64_t version,
    struct lstr value, int64_t now)
{
	struct claim_inflight *inflight = &bucket->inflight;
	Ch__ClaimBatch *batch = NULL;

	if (version == inflight->version) {
		claim_bucket_write_batch(bucket);
		return;
	}
	if (claim_log_unpack(value, &batch) != STATUS_OK ||
	    batch->sequence != inflight->batch->sequence) {
		/* Other owners have wrapped around the ring since then. */
		claim_bucket_requeue_batch(bucket);
		claim_bucket_reload(bucket);
	} else if (batch->batch_id.len == inflight->batch->batch_id.len &&
	    memcmp(batch->batch_id.data, inflight->batch->batch_id.data,
		batch->batch_id.len) == 0) {
		claim_bucket_complete_batch(bucket, version, now);
	} else {
		bucket->claim->counts.conflicts++;
		claim_bucket_requeue_batch(bucket);
		claim_log_apply(bucket->log, batch, version);
		bucket->state = CLAIM_BUCKET_READY;
	}
	if (batch != NULL)
		ch__claim_batch__free_unpacked(batch, NULL);
}
