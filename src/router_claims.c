#include <string.h>

#include <sodium.h>

#include "router_priv.h"

/* An order is refused when its claim is not granted within this time. */
#define CLAIM_TIMEOUT_USEC (2 * LOOP_USEC_PER_SEC)
/* Tolerated lead of the clocks of callers. */
#define CLOCK_SKEW_MAX_USEC (5 * LOOP_USEC_PER_SEC)
#define KEY_SUFFIX_MAX_BYTES 64
/* Limits of the answers that are kept for duplicates. */
#define ENDED_ORDERS_MAX 16384
#define ENDED_ORDER_BYTES_MAX ((size_t)32 * 1024 * 1024)
/* Claim outcomes that are queued for the syncd. */
#define PENDING_OUTCOMES_MAX 4096

/* The result of validating a key; code is NULL if the key is valid. */
struct key_check {
	Ch__Outcome outcome;
	const char *code;
	const char *message;
};

/*
 * Parses the issue time, in microseconds, of a key of the form
 * "<unix seconds>-<1 to 64 of [A-Za-z0-9_-]>". Returns false when the key is
 * malformed.
 */
static bool
parse_key(const char *key, int64_t *issued)
{
	const char *dash = strchr(key, '-');
	int64_t seconds;
	size_t len;

	if (dash == NULL || key[0] == '-' ||
	    lstr_to_int64(lstr_make(key, (size_t)(dash - key)), &seconds) !=
		STATUS_OK ||
	    seconds < 0 || seconds > INT64_MAX / LOOP_USEC_PER_SEC / 2)
		return false;
	len = strlen(dash + 1);
	if (len < 1 || len > KEY_SUFFIX_MAX_BYTES ||
	    strspn(dash + 1,
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789_-") != len)
		return false;
	*issued = seconds * LOOP_USEC_PER_SEC;
	return true;
}

/*
 * Validates the key of an order and stores its expiry time, in microseconds. A
 * key is valid for the claim window of its service.
 */
static struct key_check
validate_key(const struct job *job, int64_t now, int64_t *expires_at)
{
	const struct inv *inv = job->router->inv;
	uint32_t service = inv->replicas[job->replica->index].service;
	int64_t window = inv_claim_window(&inv->services[service]);
	const char *key = job->submit->idempotency_key;
	struct key_check check = {CH__OUTCOME__OUTCOME_NOT_RUN, NULL, NULL};
	int64_t issued;

	if (key[0] == '\0') {
		check.code = "key-missing";
		check.message = "this operation needs an Idempotency-Key";
		return check;
	}
	if (!parse_key(key, &issued)) {
		check.code = "key-malformed";
		check.message = "the key is not <unix seconds>-<1 to 64 of "
				"A-Z a-z 0-9 _ ->";
		return check;
	}
	*expires_at = issued + window;
	if (issued > now + CLOCK_SKEW_MAX_USEC) {
		check.code = "key-from-the-future";
		check.message = "the key was issued in the future";
	} else if (now >= *expires_at) {
		check.outcome = CH__OUTCOME__OUTCOME_UNKNOWN;
		check.code = "key-expired";
		check.message =
		    "the key has expired; an earlier use may have run";
	}
	return check;
}

/*
 * Adds a length-prefixed field to a hash. The prefix prevents different lists
 * of fields from giving the same hash input.
 */
static void
hash_field(crypto_generichash_state *state, const void *data, size_t len)
{
	uint8_t prefix[8];

	for (int i = 0; i < 8; i++)
		prefix[i] = (uint8_t)((uint64_t)len >> (8 * (7 - i)));
	crypto_generichash_update(state, prefix, sizeof(prefix));
	crypto_generichash_update(state, data, len);
}

/*
 * Computes the identity of an order from organisation, service and key, and the
 * digest of its operation and body.
 */
static void
compute_identity(const Ch__Submit *submit, struct order *order)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, ROUTER_IDENTITY_BYTES);
	hash_field(&state, submit->organisation, strlen(submit->organisation));
	hash_field(&state, submit->service, strlen(submit->service));
	hash_field(
	    &state, submit->idempotency_key, strlen(submit->idempotency_key));
	crypto_generichash_final(
	    &state, order->identity, ROUTER_IDENTITY_BYTES);
	crypto_generichash_init(&state, NULL, 0, ROUTER_IDENTITY_BYTES);
	hash_field(&state, submit->operation, strlen(submit->operation));
	hash_field(&state, submit->body.data, submit->body.len);
	crypto_generichash_final(&state, order->digest, ROUTER_IDENTITY_BYTES);
}

/*
 * Frees an order.
 */
void
order_free(void *data)
{
	struct order *order = data;

	g_ptr_array_free(order->waiters, TRUE);
	lstr_buf_free(&order->body);
	g_free(order->code);
	g_free(order->message);
	g_free(order);
}

/*
 * Removes an ended order from the tables and frees it.
 */
static void
remove_ended_order(struct router *router, struct order *order)
{
	g_queue_remove(router->ended_orders, order);
	router->ended_order_bytes -= order->body.len;
	g_hash_table_remove(router->orders, order->identity);
}

/*
 * Removes the ended orders whose keys have expired, and the oldest ones when
 * there are too many. A later duplicate of an evicted order is answered from
 * the claim log.
 */
static void
evict_ended_orders(struct router *router, int64_t now)
{
	struct order *order;

	while ((order = g_queue_peek_head(router->ended_orders)) != NULL) {
		if (order->expires_at > now) {
			if (router->ended_orders->length <= ENDED_ORDERS_MAX &&
			    router->ended_order_bytes <= ENDED_ORDER_BYTES_MAX)
				return;
			router_count_event(ROUTER_ANSWERS_EVICTED);
		}
		remove_ended_order(router, order);
	}
}

/*
 * Sends the claim request of an order. Returns false when the syncd is not
 * connected.
 */
static bool
send_claim(struct job *job)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ClaimRequest request = CH__CLAIM_REQUEST__INIT;

	request.sequence = job->claim_sequence;
	request.identity.data = job->order->identity;
	request.identity.len = ROUTER_IDENTITY_BYTES;
	request.token.data = job->claim_token;
	request.token.len = ROUTER_TOKEN_BYTES;
	request.expiry = job->order->expires_at;
	request.deadline = job->submit->deadline;
	request.origin = (char *)job->router->config.node;
	frame.kind_case = CH__FRAME__KIND_CLAIM_REQUEST;
	frame.claim_request = &request;
	if (router_send_syncd(job->router, &frame) != STATUS_OK)
		return false;
	job->claim_requested = true;
	return true;
}

/*
 * Assigns an order a claim token, unique over the orders of all routers, and
 * requests the claim.
 */
static void
request_claim(struct job *job, int64_t now)
{
	struct router *router = job->router;
	int64_t limit = now + CLAIM_TIMEOUT_USEC;

	job->claim_sequence = ++router->last_claim_sequence;
	memcpy(job->claim_token, router->claim_token_prefix, 8);
	for (int i = 0; i < 8; i++)
		job->claim_token[8 + i] =
		    (uint8_t)(job->claim_sequence >> (8 * (7 - i)));
	g_hash_table_insert(router->claims, &job->claim_sequence, job);
	job->state = JOB_CLAIMING;
	router_count_event(ROUTER_CLAIMS);
	send_claim(job);
	loop_timer_set(job->timer,
	    limit < job->submit->deadline ? limit : job->submit->deadline);
}

/*
 * Ends a duplicate with the kept answer of its order.
 */
static void
send_kept_answer(struct job *job, const struct order *order)
{
	struct job_result result = {.outcome = order->outcome,
	    .code = order->code,
	    .message = order->message,
	    .status = order->status,
	    .body = lstr_buf_view(&order->body)};

	job_finish(job, &result);
}

/*
 * Handles an order whose key is in use on this router: it is refused if the key
 * belongs to a different order, waits if that order is still running, and gets
 * the kept answer if it has ended. Returns false when the key is new.
 */
static bool
handle_local_duplicate(struct job *job, const struct order *candidate)
{
	struct order *order =
	    g_hash_table_lookup(job->router->orders, candidate->identity);

	if (order == NULL)
		return false;
	router_count_event(ROUTER_DUPLICATES);
	if (memcmp(order->digest, candidate->digest, ROUTER_IDENTITY_BYTES) !=
	    0) {
		job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN, "key-reused",
		    "the key belongs to another order");
	} else if (order->job == NULL) {
		send_kept_answer(job, order);
	} else {
		g_ptr_array_add(order->waiters, job);
		job->duplicate_of = order;
		job->state = JOB_WAITING;
		loop_timer_set(job->timer, job->submit->deadline);
	}
	return true;
}

/*
 * Begins an admitted order: validates its key, handles duplicates and requests
 * the claim. Returns true when the claim was requested; otherwise the request
 * has ended or waits for another one.
 */
bool
claims_begin(struct job *job, int64_t now)
{
	struct router *router = job->router;
	struct order candidate = {0};
	struct key_check check = validate_key(job, now, &candidate.expires_at);
	struct order *order;

	if (check.code != NULL) {
		job_finish_with(job, check.outcome, check.code, check.message);
		return false;
	}
	evict_ended_orders(router, now);
	compute_identity(job->submit, &candidate);
	if (handle_local_duplicate(job, &candidate))
		return false;
	order = g_memdup2(&candidate, sizeof(candidate));
	order->waiters = g_ptr_array_new();
	order->job = job;
	job->order = order;
	g_hash_table_insert(router->orders, order->identity, order);
	request_claim(job, now);
	return true;
}

/*
 * Refuses an order whose claim was not granted in time. The order cannot run,
 * because its claim token is never used.
 */
static void
refuse_without_claim(struct job *job)
{
	router_count_event(ROUTER_CLAIMS_UNAVAILABLE);
	job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN, "claims-unavailable",
	    "the order could not be registered; it was not sent");
}

/*
 * Handles the timeout of a claim request.
 */
void
claims_on_timeout(struct job *job)
{
	refuse_without_claim(job);
}

/*
 * Enqueues an order whose claim was granted.
 */
static void
on_claim_granted(struct job *job, const Ch__ClaimReply *reply)
{
	struct replica *replica = job->replica;

	loop_timer_clear(job->timer);
	job->claim_granted = true;
	job->fence = reply->fence;
	/* The claim protects the order only until it expires. */
	if (job->submit->deadline > job->order->expires_at)
		job->submit->deadline = job->order->expires_at;
	if (replica_enqueue(job) != STATUS_OK) {
		job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN, "queue-full",
		    "the queue of the replica is full");
		return;
	}
	replica_dispatch(replica);
}

/*
 * Ends an order whose key was claimed before. The claim belongs to another
 * token, so this router reports no outcome for it.
 */
static void
on_claim_duplicate(struct job *job, const Ch__ClaimReply *reply)
{
	router_count_event(ROUTER_DUPLICATES);
	job->claim_requested = false;
	job->order->in_doubt = reply->state != CH__CLAIM_STATE__CLAIM_STATE_RAN;
	if (!job->order->in_doubt)
		job_finish_with(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "duplicate-ran",
		    "an order with this key ran; its answer is no longer "
		    "held");
	else
		job_finish_with(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "duplicate-in-progress",
		    "an order with this key was sent and has no known "
		    "outcome; ask again with the same key");
}

/*
 * Handles the reply to a claim request. Replies for orders that have ended or
 * for other tokens are ignored.
 */
void
claims_on_reply(struct router *router, const Ch__ClaimReply *reply)
{
	struct job *job = g_hash_table_lookup(router->claims, &reply->sequence);

	if (job == NULL || job->state != JOB_CLAIMING ||
	    !lstr_equal(lstr_make(reply->token.data, reply->token.len),
		lstr_make(job->claim_token, ROUTER_TOKEN_BYTES)) ||
	    !lstr_equal(lstr_make(reply->identity.data, reply->identity.len),
		lstr_make(job->order->identity, ROUTER_IDENTITY_BYTES)))
		return;
	switch (reply->result) {
	case CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED:
		on_claim_granted(job, reply);
		break;
	case CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE:
		on_claim_duplicate(job, reply);
		break;
	case CH__CLAIM_RESULT__CLAIM_RESULT_EXPIRED:
		job->claim_requested = false;
		job_finish_with(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "key-expired",
		    "the key has expired; an earlier use may have run");
		break;
	default:
		refuse_without_claim(job);
		break;
	}
}

/*
 * Sends the queued claim outcomes to the syncd, oldest first, until sending
 * fails.
 */
static void
flush_outcomes(struct router *router)
{
	GBytes *bytes;

	while ((bytes = g_queue_peek_head(router->pending_outcomes)) != NULL) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(bytes, &len);
		Ch__Frame *frame = ch__frame__unpack(NULL, len, data);
		enum status status = router_send_syncd(router, frame);

		ch__frame__free_unpacked(frame, NULL);
		if (status != STATUS_OK)
			return;
		g_bytes_unref(g_queue_pop_head(router->pending_outcomes));
	}
}

/*
 * Sends the pending claim requests and outcomes to a newly connected syncd.
 */
void
claims_on_syncd_up(struct router *router)
{
	GHashTableIter iter;
	gpointer value;

	flush_outcomes(router);
	g_hash_table_iter_init(&iter, router->claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (job->state == JOB_CLAIMING)
			send_claim(job);
	}
}

/*
 * Reports the outcome of a claim to the syncd; it is queued while the syncd is
 * not connected.
 */
static void
report_outcome(struct job *job, Ch__ClaimState state, uint32_t status)
{
	struct router *router = job->router;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ClaimOutcome outcome = CH__CLAIM_OUTCOME__INIT;
	uint8_t *bytes;
	size_t len;

	outcome.identity.data = job->order->identity;
	outcome.identity.len = ROUTER_IDENTITY_BYTES;
	outcome.token.data = job->claim_token;
	outcome.token.len = ROUTER_TOKEN_BYTES;
	outcome.state = state;
	outcome.status = status;
	outcome.expiry = job->order->expires_at;
	frame.kind_case = CH__FRAME__KIND_CLAIM_OUTCOME;
	frame.claim_outcome = &outcome;
	if (router->pending_outcomes->length >= PENDING_OUTCOMES_MAX) {
		/* The key stays claimed, which is safe. */
		router_count_event(ROUTER_CLAIM_OUTCOMES_DROPPED);
		return;
	}
	len = ch__frame__get_packed_size(&frame);
	bytes = g_malloc(len);
	ch__frame__pack(&frame, bytes);
	g_queue_push_tail(
	    router->pending_outcomes, g_bytes_new_take(bytes, len));
	flush_outcomes(router);
}

/*
 * Reports the outcome of the claim of an order that ends: it ran, or it did not
 * run and never will. When neither is certain, no outcome is reported and the
 * key stays claimed.
 */
void
claims_resolve(struct job *job, const struct job_result *result)
{
	if (job->order == NULL)
		return;
	g_hash_table_remove(job->router->claims, &job->claim_sequence);
	if (!job->claim_requested)
		return;
	if (result->outcome == CH__OUTCOME__OUTCOME_RUN)
		report_outcome(
		    job, CH__CLAIM_STATE__CLAIM_STATE_RAN, result->status);
	else if (result->outcome == CH__OUTCOME__OUTCOME_NOT_RUN)
		report_outcome(job, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN, 0);
}

/*
 * Keeps the answer of an order for duplicates until its key expires.
 */
static void
keep_answer(
    struct router *router, struct order *order, const struct job_result *result)
{
	order->outcome = result->outcome;
	order->code = g_strdup(result->code);
	order->message = g_strdup(result->message);
	order->status = result->status;
	lstr_buf_append(&order->body, result->body);
	router->ended_order_bytes += order->body.len;
	g_queue_push_tail(router->ended_orders, order);
}

/*
 * Ends the requests that wait for an order with the same result, and keeps the
 * result for later duplicates. An order that did not run is removed, so that
 * its key can be used again; so is one whose claim belongs to another token
 * and has no known outcome. The tokens of a pipeline are not kept: a duplicate
 * only learns that the order ran.
 */
void
claims_answer_duplicates(struct job *job, const struct job_result *result)
{
	struct router *router = job->router;
	struct order *order = job->order;
	struct job_result ran = {.outcome = CH__OUTCOME__OUTCOME_UNKNOWN,
	    .code = "duplicate-ran",
	    .message = "an order with this key ran; its answer is not held",
	    .body = lstr_from("")};
	GPtrArray *waiters;
	const struct job_result *answer = result;

	if (order == NULL)
		return;
	job->order = NULL;
	order->job = NULL;
	if (job->pipeline && result->outcome == CH__OUTCOME__OUTCOME_RUN)
		answer = &ran;
	waiters = order->waiters;
	order->waiters = g_ptr_array_new();
	if (result->outcome == CH__OUTCOME__OUTCOME_NOT_RUN ||
	    result->outcome == CH__OUTCOME__OUTCOME_MOVED || order->in_doubt)
		g_hash_table_remove(router->orders, order->identity);
	else
		keep_answer(router, order, answer);
	for (guint i = 0; i < waiters->len; i++)
		((struct job *)g_ptr_array_index(waiters, i))->duplicate_of =
		    NULL;
	for (guint i = 0; i < waiters->len; i++)
		job_finish(g_ptr_array_index(waiters, i), answer);
	g_ptr_array_free(waiters, TRUE);
	evict_ended_orders(router, router_now(router));
}

/*
 * Removes a request that is being freed from the tables of this file.
 */
void
claims_remove_job(struct job *job)
{
	if (job->claim_sequence != 0)
		g_hash_table_remove(job->router->claims, &job->claim_sequence);
	if (job->duplicate_of != NULL)
		g_ptr_array_remove(job->duplicate_of->waiters, job);
	job->duplicate_of = NULL;
}

/*
 * Frees the tables of this file.
 */
void
claims_free(struct router *router)
{
	g_hash_table_destroy(router->claims);
	g_queue_free(router->ended_orders);
	g_hash_table_destroy(router->orders);
	g_queue_free_full(
	    router->pending_outcomes, (GDestroyNotify)g_bytes_unref);
}
