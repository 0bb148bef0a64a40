#include <string.h>

#include <sodium.h>

#include "router_priv.h"

/* An order without a granted claim is refused after this time. */
#define CLAIM_LIMIT_USEC (2 * LOOP_USEC_PER_SEC)
/* A key is valid for this long unless the service says otherwise. */
/* Clocks of callers may be ahead by this much. */
#define CLOCK_AHEAD_USEC (5 * LOOP_USEC_PER_SEC)
#define SUFFIX_MAX_BYTES 64
/* Answers that are kept for duplicates. */
#define ENDED_ORDERS_MAX 16384
#define ORDER_BYTES_MAX ((size_t)32 * 1024 * 1024)
/* Outcomes that wait for the syncd. */
#define OUTCOMES_MAX 4096

/* Why a key is refused; code is NULL when it is not. */
struct key_verdict {
	Ch__Outcome outcome;
	const char *code;
	const char *message;
};

/*
 * Reads the issue time out of a key of the form
 * "<unix seconds>-<1 to 64 of [A-Za-z0-9_-]>", in microseconds.
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
	if (len < 1 || len > SUFFIX_MAX_BYTES ||
	    strspn(dash + 1,
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789_-") != len)
		return false;
	*issued = seconds * LOOP_USEC_PER_SEC;
	return true;
}

/*
 * Judges the key of an order and stores when it expires.
 */
static struct key_verdict
judge_key(const struct job *job, int64_t now, int64_t *expires_at)
{
	const struct inv *inv = job->router->inv;
	uint32_t service = inv->replicas[job->replica->index].service;
	int64_t window = inv_claim_window(&inv->services[service]);
	const char *key = job->submit->idempotency_key;
	struct key_verdict verdict = {CH__OUTCOME__OUTCOME_NOT_RUN, NULL, NULL};
	int64_t issued;

	if (key[0] == '\0') {
		verdict.code = "key-missing";
		verdict.message = "this operation needs an Idempotency-Key";
		return verdict;
	}
	if (!parse_key(key, &issued)) {
		verdict.code = "key-malformed";
		verdict.message = "the key is not <unix seconds>-<1 to 64 of "
				  "A-Z a-z 0-9 _ ->";
		return verdict;
	}
	*expires_at = issued + window;
	if (issued > now + CLOCK_AHEAD_USEC) {
		verdict.code = "key-from-the-future";
		verdict.message = "the key was issued in the future";
	} else if (now >= *expires_at) {
		verdict.outcome = CH__OUTCOME__OUTCOME_UNKNOWN;
		verdict.code = "key-expired";
		verdict.message =
		    "the key has expired; an earlier use may have run";
	}
	return verdict;
}

/*
 * Adds a length and the bytes to a hash, so that no two lists of texts give
 * the same input.
 */
static void
hash_text(crypto_generichash_state *state, const void *data, size_t len)
{
	uint8_t prefix[8];

	for (int i = 0; i < 8; i++)
		prefix[i] = (uint8_t)((uint64_t)len >> (8 * (7 - i)));
	crypto_generichash_update(state, prefix, sizeof(prefix));
	crypto_generichash_update(state, data, len);
}

/*
 * Computes the identity of an order from organisation, service and key, and
 * the digest of what it does.
 */
static void
identify(const Ch__Submit *submit, struct order *order)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, ROUTER_IDENTITY_BYTES);
	hash_text(&state, submit->organisation, strlen(submit->organisation));
	hash_text(&state, submit->service, strlen(submit->service));
	hash_text(
	    &state, submit->idempotency_key, strlen(submit->idempotency_key));
	crypto_generichash_final(
	    &state, order->identity, ROUTER_IDENTITY_BYTES);
	crypto_generichash_init(&state, NULL, 0, ROUTER_IDENTITY_BYTES);
	hash_text(&state, submit->operation, strlen(submit->operation));
	hash_text(&state, submit->body.data, submit->body.len);
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
 * Removes an ended order from the tables.
 */
static void
drop_ended(struct router *router, struct order *order)
{
	g_queue_remove(router->ended_orders, order);
	router->order_bytes -= order->body.len;
	g_hash_table_remove(router->orders, order->identity);
}

/*
 * Removes the answers whose keys have expired, and the oldest ones while too
 * many are kept. A duplicate of those is answered from the claim log.
 */
static void
trim_ended(struct router *router, int64_t now)
{
	struct order *order;

	while ((order = g_queue_peek_head(router->ended_orders)) != NULL) {
		if (order->expires_at > now) {
			if (router->ended_orders->length <= ENDED_ORDERS_MAX &&
			    router->order_bytes <= ORDER_BYTES_MAX)
				return;
			router_count(ROUTER_ANSWERS_EVICTED);
		}
		drop_ended(router, order);
	}
}

/*
 * Sends the claim request of an order; false when the syncd is not connected.
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
 * Gives an order its claim token, which no other order of any router has, and
 * requests the claim.
 */
static void
request_claim(struct job *job, int64_t now)
{
	struct router *router = job->router;
	int64_t limit = now + CLAIM_LIMIT_USEC;

	job->claim_sequence = ++router->claim_counter;
	memcpy(job->claim_token, router->claim_boot, 8);
	for (int i = 0; i < 8; i++)
		job->claim_token[8 + i] =
		    (uint8_t)(job->claim_sequence >> (8 * (7 - i)));
	g_hash_table_insert(router->claims, &job->claim_sequence, job);
	job->state = JOB_CLAIMING;
	router_count(ROUTER_CLAIMS);
	send_claim(job);
	loop_timer_set(job->timer,
	    limit < job->submit->deadline ? limit : job->submit->deadline);
}

/*
 * Sends the kept answer of an ended order.
 */
static void
replay(struct job *job, const struct order *order)
{
	struct job_end end = {.outcome = order->outcome,
	    .code = order->code,
	    .message = order->message,
	    .status = order->status,
	    .body = lstr_buf_view(&order->body)};

	job_finish(job, &end);
}

/*
 * Handles an order whose key is in use on this router: another order, one
 * that is running, or one that has ended. Returns false when the key is new.
 */
static bool
begin_duplicate(struct job *job, const struct order *wanted)
{
	struct order *order =
	    g_hash_table_lookup(job->router->orders, wanted->identity);

	if (order == NULL)
		return false;
	router_count(ROUTER_DUPLICATES);
	if (memcmp(order->digest, wanted->digest, ROUTER_IDENTITY_BYTES) != 0) {
		job_end_simple(job, CH__OUTCOME__OUTCOME_NOT_RUN, "key-reused",
		    "the key belongs to another order");
	} else if (order->job == NULL) {
		replay(job, order);
	} else {
		g_ptr_array_add(order->waiters, job);
		job->waits_for = order;
		job->state = JOB_WAITING;
		loop_timer_set(job->timer, job->submit->deadline);
	}
	return true;
}

/*
 * Begins an admitted order: checks its key, answers duplicates, and requests
 * the claim. Returns true when the claim was requested; otherwise the request
 * has ended or waits for another one.
 */
bool
claims_begin(struct job *job, int64_t now)
{
	struct router *router = job->router;
	struct order wanted = {0};
	struct key_verdict verdict = judge_key(job, now, &wanted.expires_at);
	struct order *order;

	if (verdict.code != NULL) {
		job_end_simple(
		    job, verdict.outcome, verdict.code, verdict.message);
		return false;
	}
	trim_ended(router, now);
	identify(job->submit, &wanted);
	if (begin_duplicate(job, &wanted))
		return false;
	order = g_memdup2(&wanted, sizeof(wanted));
	order->waiters = g_ptr_array_new();
	order->job = job;
	job->order = order;
	g_hash_table_insert(router->orders, order->identity, order);
	request_claim(job, now);
	return true;
}

/*
 * Refuses an order for which no claim was granted in time. Its claim token is
 * never used, so nothing of it can run.
 */
static void
end_unavailable(struct job *job)
{
	router_count(ROUTER_CLAIMS_UNAVAILABLE);
	job_end_simple(job, CH__OUTCOME__OUTCOME_NOT_RUN, "claims-unavailable",
	    "the order could not be registered; it was not sent");
}

/*
 * Handles the end of the time for a claim.
 */
void
claims_on_timeout(struct job *job)
{
	end_unavailable(job);
}

/*
 * Queues an order whose claim was granted.
 */
static void
granted(struct job *job, const Ch__ClaimReply *reply)
{
	struct replica *replica = job->replica;

	loop_timer_clear(job->timer);
	job->claim_granted = true;
	job->fence = reply->fence;
	/* The claim protects the order only until it expires. */
	if (job->submit->deadline > job->order->expires_at)
		job->submit->deadline = job->order->expires_at;
	if (replica_queue(job) != STATUS_OK) {
		job_end_simple(job, CH__OUTCOME__OUTCOME_NOT_RUN, "queue-full",
		    "the queue of the replica is full");
		return;
	}
	replica_dispatch(replica);
}

/*
 * Answers an order whose key was claimed before. The claim belongs to another
 * token, so no outcome is reported for this one.
 */
static void
duplicate(struct job *job, const Ch__ClaimReply *reply)
{
	router_count(ROUTER_DUPLICATES);
	job->claim_requested = false;
	job->order->in_doubt = reply->state != CH__CLAIM_STATE__CLAIM_STATE_RAN;
	if (!job->order->in_doubt)
		job_end_simple(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "duplicate-ran",
		    "an order with this key ran; its answer is no longer "
		    "held");
	else
		job_end_simple(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "duplicate-in-progress",
		    "an order with this key was sent and has no known "
		    "outcome; ask again with the same key");
}

/*
 * Takes the reply to a claim. Replies to orders that have ended, or for other
 * tokens, have no effect.
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
		granted(job, reply);
		break;
	case CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE:
		duplicate(job, reply);
		break;
	case CH__CLAIM_RESULT__CLAIM_RESULT_EXPIRED:
		job->claim_requested = false;
		job_end_simple(job, CH__OUTCOME__OUTCOME_UNKNOWN, "key-expired",
		    "the key has expired; an earlier use may have run");
		break;
	default:
		end_unavailable(job);
		break;
	}
}

/*
 * Sends the outcomes that wait for the syncd, oldest first.
 */
static void
flush_outcomes(struct router *router)
{
	GBytes *bytes;

	while ((bytes = g_queue_peek_head(router->outcomes)) != NULL) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(bytes, &len);
		Ch__Frame *frame = ch__frame__unpack(NULL, len, data);
		enum status status = router_send_syncd(router, frame);

		ch__frame__free_unpacked(frame, NULL);
		if (status != STATUS_OK)
			return;
		g_bytes_unref(g_queue_pop_head(router->outcomes));
	}
}

/*
 * Sends the pending claims and outcomes after the syncd was reached (again).
 */
void
claims_on_up(struct router *router)
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
 * Reports the outcome of a claim, now or when the syncd is reached.
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
	if (router->outcomes->length >= OUTCOMES_MAX) {
		/* The key then stays claimed, which is safe. */
		router_count(ROUTER_OUTCOMES_DROPPED);
		return;
	}
	len = ch__frame__get_packed_size(&frame);
	bytes = g_malloc(len);
	ch__frame__pack(&frame, bytes);
	g_queue_push_tail(router->outcomes, g_bytes_new_take(bytes, len));
	flush_outcomes(router);
}

/*
 * Reports what became of the claim of an order that ends: it ran, or it was
 * certainly not run and never will be. Without either the key stays claimed.
 */
void
claims_settle(struct job *job, const struct job_end *end)
{
	if (job->order == NULL)
		return;
	g_hash_table_remove(job->router->claims, &job->claim_sequence);
	if (!job->claim_requested)
		return;
	if (end->outcome == CH__OUTCOME__OUTCOME_RUN)
		report_outcome(
		    job, CH__CLAIM_STATE__CLAIM_STATE_RAN, end->status);
	else if (end->outcome == CH__OUTCOME__OUTCOME_NOT_RUN)
		report_outcome(job, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN, 0);
}

/*
 * Keeps the answer of an order for duplicates until its key expires.
 */
static void
keep(struct router *router, struct order *order, const struct job_end *end)
{
	order->outcome = end->outcome;
	order->code = g_strdup(end->code);
	order->message = g_strdup(end->message);
	order->status = end->status;
	lstr_buf_append(&order->body, end->body);
	router->order_bytes += order->body.len;
	g_queue_push_tail(router->ended_orders, order);
}

/*
 * Gives the end of an order to the requests that wait for it, and keeps it
 * for later ones. An order that did not run is forgotten, so that its key can
 * be used again, and so is one that another token holds in doubt. The tokens of
 * a pipeline are not kept: a duplicate learns only that it ran.
 */
void
claims_answer(struct job *job, const struct job_end *end)
{
	struct router *router = job->router;
	struct order *order = job->order;
	struct job_end ran = {.outcome = CH__OUTCOME__OUTCOME_UNKNOWN,
	    .code = "duplicate-ran",
	    .message = "an order with this key ran; its answer is not held",
	    .body = lstr_from("")};
	GPtrArray *waiters;
	const struct job_end *answer = end;

	if (order == NULL)
		return;
	job->order = NULL;
	order->job = NULL;
	if (job->pipeline && end->outcome == CH__OUTCOME__OUTCOME_RUN)
		answer = &ran;
	waiters = order->waiters;
	order->waiters = g_ptr_array_new();
	if (end->outcome == CH__OUTCOME__OUTCOME_NOT_RUN ||
	    end->outcome == CH__OUTCOME__OUTCOME_MOVED || order->in_doubt)
		g_hash_table_remove(router->orders, order->identity);
	else
		keep(router, order, answer);
	for (guint i = 0; i < waiters->len; i++)
		((struct job *)g_ptr_array_index(waiters, i))->waits_for = NULL;
	for (guint i = 0; i < waiters->len; i++)
		job_finish(g_ptr_array_index(waiters, i), answer);
	g_ptr_array_free(waiters, TRUE);
	trim_ended(router, router_now(router));
}

/*
 * Takes a request that is freed out of the tables of this file.
 */
void
claims_forget(struct job *job)
{
	if (job->claim_sequence != 0)
		g_hash_table_remove(job->router->claims, &job->claim_sequence);
	if (job->waits_for != NULL)
		g_ptr_array_remove(job->waits_for->waiters, job);
	job->waits_for = NULL;
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
	g_queue_free_full(router->outcomes, (GDestroyNotify)g_bytes_unref);
}
