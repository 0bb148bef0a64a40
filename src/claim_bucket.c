#include <assert.h>
#include <string.h>

#include <glib.h>

#include "claim_bucket.h"

/* How often the deadlines of waiting requests are checked. */
#define DEADLINE_CHECK_USEC ((int64_t)50000)

/*
 * Queues an action and returns it for the caller to fill.
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
 * Answers a request; known is what the log says about its identity or NULL.
 */
void
claim_bucket_reply(struct claim_bucket *bucket,
    const struct claim_request *request, Ch__ClaimResult result,
    const struct claim_known *known)
{
	struct claim_reply *out = &add_action(bucket, CLAIM_REPLY)->reply;
	struct claim_counts *counts = &bucket->claim->counts;

	out->route = request->route;
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
 * Refuses all requests that wait for a batch.
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
 * Answers the requests of the batch in flight as unavailable. Their claims
 * may still enter the log, where their routers report them as NOT_RUN.
 */
void
claim_bucket_refuse_in_flight(
    struct claim_bucket *bucket, int64_t deadline_before)
{
	for (GList *l = bucket->flight.requests.head; l != NULL; l = l->next) {
		struct claim_waiting_request *waiting = l->data;

		if (waiting->answered ||
		    waiting->request.deadline > deadline_before)
			continue;
		waiting->answered = true;
		claim_bucket_reply(bucket, &waiting->request,
		    CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE, NULL);
	}
}

/*
 * Answers the requests whose deadline has passed.
 */
static void
refuse_late(struct claim_bucket *bucket, int64_t now)
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
 * Decides a request against the log. Returns CLAIM_RESULT_UNSPECIFIED when
 * it needs a claim.
 */
static Ch__ClaimResult
decide(const struct claim_bucket *bucket, const struct claim_request *request,
    const struct claim_known *known, int64_t now)
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
		/* A token that was reported must not be used again. */
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
 * Tells whether one of the reports gives up the claim that the log knows.
 */
static bool
is_given_up(const GQueue *reports, const struct claim_known *known)
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
 * Tells whether a request waits for a report that frees its identity, rather
 * than being told that the first use is in progress.
 */
static bool
waits_for_report(
    const struct claim_bucket *bucket, const struct claim_known *known)
{
	return known != NULL &&
	    known->state == CH__CLAIM_STATE__CLAIM_STATE_CLAIMED &&
	    (is_given_up(&bucket->reports, known) ||
		is_given_up(&bucket->flight.reports, known));
}

/*
 * Answers the requests that the log already decides. Returns whether one is
 * left that needs a claim.
 */
static bool
answer_decided(struct claim_bucket *bucket, int64_t now)
{
	GList *l = bucket->requests.head;

	while (l != NULL) {
		struct claim_waiting_request *waiting = l->data;
		const struct claim_known *known =
		    claim_log_find(bucket->log, waiting->request.identity);
		Ch__ClaimResult result =
		    decide(bucket, &waiting->request, known, now);
		GList *next = l->next;

		if (result == CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE &&
		    waits_for_report(bucket, known)) {
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
 * Tells whether a report would change the log.
 */
static bool
report_matters(
    const struct claim_bucket *bucket, const struct claim_report *report)
{
	const struct claim_known *known =
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
 * Drops the reports that would change nothing.
 */
static void
drop_idle_reports(struct claim_bucket *bucket)
{
	GList *l = bucket->reports.head;

	while (l != NULL) {
		struct claim_waiting_report *waiting = l->data;
		GList *next = l->next;

		if (!report_matters(bucket, &waiting->report)) {
			g_queue_delete_link(&bucket->reports, l);
			g_free(waiting);
		}
		l = next;
	}
}

/*
 * Returns the interval between commits. When more than half of the ring is in
 * use, commits are spread so that the ring lasts for the claim window, and
 * wider still when it is nearly full.
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
 * nothing waits for one.
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
		    bucket->commit_at, oldest->since + CLAIM_OUTCOME_WAIT_USEC);
	if (at == INT64_MAX)
		return at;
	return MAX(at,
	    claim_log_slot_expiry(
		bucket->log, claim_log_next_slot(bucket->log)));
}

/*
 * Writes the batch in flight again, over the same version and with the same
 * contents, so that at most one of the attempts takes effect.
 */
void
claim_bucket_swap(struct claim_bucket *bucket)
{
	struct claim_action *action = add_action(bucket, CLAIM_SWAP_SLOT);
	const struct claim_flight *flight = &bucket->flight;

	bucket->state = CLAIM_BUCKET_COMMITTING;
	action->slot = flight->slot;
	action->version = flight->version;
	action->value = g_memdup2(flight->packed, flight->packed_len);
	action->value_len = flight->packed_len;
}

/*
 * Makes a batch of what waits and writes it.
 */
static void
commit(struct claim_bucket *bucket, int64_t now)
{
	struct claim *claim = bucket->claim;
	uint64_t id[2] = {claim->settings.owner_id, ++claim->last_batch};

	claim_flight_build(&bucket->flight, bucket->log, id, &bucket->reports,
	    &bucket->requests);
	bucket->commit_at = now + commit_interval(bucket, now);
	claim->counts.commits++;
	claim_bucket_swap(bucket);
}

/*
 * Ends a batch that is certainly not in the log: its reports and unanswered
 * requests wait for the next one.
 */
void
claim_bucket_flight_return(struct claim_bucket *bucket)
{
	struct claim_flight *flight = &bucket->flight;
	struct claim_waiting_request *request;
	struct claim_waiting_report *report;

	while ((request = g_queue_pop_tail(&flight->requests)) != NULL) {
		if (request->answered)
			g_free(request);
		else
			g_queue_push_head(&bucket->requests, request);
	}
	while ((report = g_queue_pop_tail(&flight->reports)) != NULL)
		g_queue_push_head(&bucket->reports, report);
	claim_flight_clear(flight);
}

/*
 * Ends a batch that is in the log: grants its claims.
 */
void
claim_bucket_flight_written(
    struct claim_bucket *bucket, uint64_t version, int64_t now)
{
	struct claim_flight *flight = &bucket->flight;
	struct claim_waiting_request *request;
	struct claim_waiting_report *report;

	claim_log_apply(bucket->log, flight->batch, version);
	while ((request = g_queue_pop_head(&flight->requests)) != NULL) {
		const struct claim_request *r = &request->request;

		if (!request->answered)
			claim_bucket_reply(bucket, r,
			    r->deadline > now
				? CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED
				: CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE,
			    claim_log_find(bucket->log, r->identity));
		g_free(request);
	}
	while ((report = g_queue_pop_head(&flight->reports)) != NULL)
		g_free(report);
	claim_flight_clear(flight);
	bucket->state = CLAIM_BUCKET_READY;
}

/*
 * Forgets the log, to read it again.
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
 * Goes on loading: reads the ring, then the slots that do not fit.
 */
static void
step_loading(struct claim_bucket *bucket)
{
	uint32_t slot;

	if (bucket->requests.length == 0 && bucket->reports.length == 0)
		return;
	if (!bucket->ring_read) {
		add_action(bucket, CLAIM_READ_RING);
	} else if (claim_log_gap(bucket->log, &slot)) {
		add_action(bucket, CLAIM_READ_SLOT)->slot = slot;
	} else {
		claim_log_replay(bucket->log);
		bucket->state = CLAIM_BUCKET_READY;
	}
}

/*
 * Does what is due in a bucket.
 */
void
claim_bucket_step(struct claim_bucket *bucket, int64_t now)
{
	bool claims = bucket->requests.length > 0;

	refuse_late(bucket, now);
	bucket->check_at = now + DEADLINE_CHECK_USEC;
	if (bucket->state != CLAIM_BUCKET_LOADING)
		claims = answer_decided(bucket, now);
	if (bucket->ticket != 0 || now < bucket->retry_at)
		return;
	if (bucket->state == CLAIM_BUCKET_LOADING) {
		step_loading(bucket);
		if (bucket->state != CLAIM_BUCKET_READY)
			return;
		claims = answer_decided(bucket, now);
	}
	switch (bucket->state) {
	case CLAIM_BUCKET_READY:
		drop_idle_reports(bucket);
		if (claim_bucket_commit_due_at(bucket, claims) <= now)
			commit(bucket, now);
		break;
	case CLAIM_BUCKET_COMMITTING:
		claim_bucket_swap(bucket);
		break;
	case CLAIM_BUCKET_DECIDING:
		add_action(bucket, CLAIM_READ_SLOT)->slot = bucket->flight.slot;
		break;
	default:
		break;
	}
}

/*
 * Decides the batch in flight from the value that its slot holds.
 */
void
claim_bucket_decide_flight(struct claim_bucket *bucket, uint64_t version,
    struct lstr value, int64_t now)
{
	struct claim_flight *flight = &bucket->flight;
	Ch__ClaimBatch *batch = NULL;

	if (version == flight->version) {
		claim_bucket_swap(bucket);
		return;
	}
	if (claim_log_unpack(value, &batch) != STATUS_OK ||
	    batch->sequence != flight->batch->sequence) {
		/* The others went round the ring since the last answer. */
		claim_bucket_flight_return(bucket);
		claim_bucket_reload(bucket);
	} else if (batch->batch_id.len == flight->batch->batch_id.len &&
	    memcmp(batch->batch_id.data, flight->batch->batch_id.data,
		batch->batch_id.len) == 0) {
		claim_bucket_flight_written(bucket, version, now);
	} else {
		bucket->claim->counts.conflicts++;
		claim_bucket_flight_return(bucket);
		claim_log_apply(bucket->log, batch, version);
		bucket->state = CLAIM_BUCKET_READY;
	}
	if (batch != NULL)
		ch__claim_batch__free_unpacked(batch, NULL);
}
