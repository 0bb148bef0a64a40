#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "syncd_priv.h"

/* Maximum number of claim requests of local routers awaiting an answer. */
#define FORWARDS_MAX 65536
/* Maximum number of outcome reports waiting for a connection to the owner. */
#define OUTCOMES_MAX 4096
#define IDLE_CONNECTION_USEC (60 * LOOP_USEC_PER_SEC)
/* Value of reply_to for requests from this node's own routers. */
#define REPLY_TO_SELF 0

/*
 * A claim request of a local router, whether its bucket is owned here or by
 * another node.
 */
struct forward {
	uint64_t id;
	/* Session of the router and its sequence number for the request. */
	uint64_t session;
	uint64_t sequence;
	struct claim_request request;
	uint32_t bucket;
	/* Node that it was sent to; NULL if it still has to be sent. */
	char *sent_to;
};

struct pending_outcome {
	struct claim_report report;
	uint32_t bucket;
};

/* A call to the key-value service made for the claim module. */
struct claim_io {
	struct syncd *syncd;
	uint64_t ticket;
	uint32_t bucket;
};

static struct metric forwards_refused = {
    "chestnuthoist_claim_forwards_refused_total", "",
    "Claim requests refused because too many wait.", METRIC_COUNTER, 0, NULL};
static struct metric outcomes_dropped = {
    "chestnuthoist_claim_outcomes_dropped_total", "",
    "Claim outcomes dropped because too many wait.", METRIC_COUNTER, 0, NULL};

static void run_actions(struct syncd *);

/*
 * Handles the result of reading a slot.
 */
static void
on_slot_read(const struct kv_result *result, void *arg)
{
	struct claim_io *io = arg;
	struct syncd *s = io->syncd;

	syncd_kv_result(s, result->status);
	claim_slot_read(s->claim, io->ticket, result->status, result->version,
	    result->value, syncd_now(s));
	g_free(io);
	run_actions(s);
}

/*
 * Handles the result of a compare-and-swap of a slot.
 */
static void
on_slot_swapped(const struct kv_result *result, void *arg)
{
	struct claim_io *io = arg;
	struct syncd *s = io->syncd;

	syncd_kv_result(s, result->status);
	claim_slot_swapped(s->claim, io->ticket, result->status,
	    result->version, syncd_now(s));
	g_free(io);
	run_actions(s);
}

/*
 * Handles one page of the slots of a bucket's ring, and requests the next one.
 */
static void
on_ring(const struct kv_result *result, void *arg)
{
	struct claim_io *io = arg;
	struct syncd *s = io->syncd;
	char prefix[SYNCD_KEY_MAX_BYTES];
	int64_t slot;

	g_snprintf(prefix, sizeof(prefix), "claim/%u/", io->bucket);
	syncd_kv_result(s, result->status);
	for (size_t i = 0; i < result->count; i++) {
		struct lstr name = result->items[i].key;

		name.data += strlen(prefix);
		name.len -= strlen(prefix);
		if (lstr_to_int64(name, &slot) == STATUS_OK && slot >= 0 &&
		    slot <= UINT32_MAX)
			claim_ring_item(s->claim, io->ticket, (uint32_t)slot,
			    result->items[i].version, result->items[i].value);
	}
	if (result->status == STATUS_OK && result->more && result->count > 0) {
		s->kv->vtable->list(s->kv, lstr_from(prefix),
		    result->items[result->count - 1].key,
		    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_ring, io);
		return;
	}
	claim_ring_done(s->claim, io->ticket, result->status, syncd_now(s));
	g_free(io);
	run_actions(s);
}

/*
 * Starts the key-value call for an action of the claim module.
 */
static void
start_io(struct syncd *s, const struct claim_action *action)
{
	struct claim_io *io = g_new0(struct claim_io, 1);
	int64_t deadline = syncd_now(s) + SYNCD_KV_TIMEOUT_USEC;
	char key[SYNCD_KEY_MAX_BYTES];

	io->syncd = s;
	io->ticket = action->ticket;
	io->bucket = action->bucket;
	if (action->kind == CLAIM_READ_RING) {
		g_snprintf(key, sizeof(key), "claim/%u/", action->bucket);
		s->kv->vtable->list(s->kv, lstr_from(key), lstr_from(""),
		    deadline, on_ring, io);
		return;
	}
	g_snprintf(
	    key, sizeof(key), "claim/%u/%u", action->bucket, action->slot);
	if (action->kind == CLAIM_READ_SLOT)
		s->kv->vtable->get(
		    s->kv, lstr_from(key), deadline, on_slot_read, io);
	else
		s->kv->vtable->put(s->kv, lstr_from(key),
		    lstr_make(action->value, action->value_len),
		    action->version, lstr_from(""), deadline, on_slot_swapped,
		    io);
}

/*
 * Sends a claim reply to a session, if it is still open.
 */
static void
send_reply(struct syncd *s, uint64_t session_id, uint64_t sequence,
    const struct claim_reply *reply)
{
	struct syncd_session *session =
	    g_hash_table_lookup(s->sessions, &session_id);
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ClaimReply message = CH__CLAIM_REPLY__INIT;

	if (session == NULL)
		return;
	message.sequence = sequence;
	message.identity.data = (uint8_t *)reply->identity;
	message.identity.len = CLAIM_ID_BYTES;
	message.token.data = (uint8_t *)reply->token;
	message.token.len = CLAIM_ID_BYTES;
	message.result = reply->result;
	message.state = reply->state;
	message.status = reply->status;
	message.fence = reply->fence;
	frame.kind_case = CH__FRAME__KIND_CLAIM_REPLY;
	frame.claim_reply = &message;
	link_send(session->link, &frame);
}

/*
 * Answers a forwarded request and removes it.
 */
static void
finish_forward(
    struct syncd *s, struct forward *forward, const struct claim_reply *reply)
{
	send_reply(s, forward->session, forward->sequence, reply);
	g_hash_table_remove(s->forwards, &forward->id);
}

/*
 * Executes the pending actions of the claim module and sets its timer.
 */
static void
run_actions(struct syncd *s)
{
	struct claim_action action;
	int64_t at;

	while (claim_next_action(s->claim, &action)) {
		const struct claim_reply *reply = &action.reply;
		struct forward *forward;

		if (action.kind != CLAIM_REPLY) {
			start_io(s, &action);
		} else if (reply->reply_to != REPLY_TO_SELF) {
			send_reply(s, reply->reply_to, reply->sequence, reply);
		} else {
			forward =
			    g_hash_table_lookup(s->forwards, &reply->sequence);
			if (forward != NULL)
				finish_forward(s, forward, reply);
		}
		claim_action_clear(&action);
	}
	at = claim_next_at(s->claim);
	if (at == INT64_MAX)
		loop_timer_clear(s->claim_timer);
	else
		loop_timer_set(s->claim_timer, at);
}

/*
 * Returns the node that owns a bucket, or NULL. Hashing all members is too slow
 * to do for each request, so the owners are cached per version of the view.
 */
static const char *
bucket_owner(struct syncd *s, uint32_t bucket)
{
	const struct view *view = membership_view(s->membership);

	if (s->bucket_owners == NULL)
		s->bucket_owners = g_new0(char *, s->settings.claim_buckets);
	else if (s->bucket_owners_version ==
	    membership_view_version(s->membership))
		return s->bucket_owners[bucket];
	s->bucket_owners_version = membership_view_version(s->membership);
	for (uint32_t i = 0; i < s->settings.claim_buckets; i++) {
		const struct view_member *owner =
		    rendezvous_bucket_owner(view, i);

		g_free(s->bucket_owners[i]);
		s->bucket_owners[i] = owner ? g_strdup(owner->node) : NULL;
	}
	return s->bucket_owners[bucket];
}

/*
 * Sends a request to the owner of its bucket. Without a connection to the owner
 * the request stays pending.
 */
static void
route_forward(struct syncd *s, struct forward *forward)
{
	const char *owner = bucket_owner(s, forward->bucket);
	struct claim_request request = forward->request;
	struct syncd_outgoing *out;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ClaimRequest message = CH__CLAIM_REQUEST__INIT;

	if (owner == NULL)
		return;
	if (strcmp(owner, s->proc->hello.node) == 0) {
		forward->sent_to = g_strdup(owner);
		request.reply_to = REPLY_TO_SELF;
		request.sequence = forward->id;
		claim_submit(s->claim, forward->bucket, &request, syncd_now(s));
		return;
	}
	out = syncd_connect(s, owner, syncd_now(s) + IDLE_CONNECTION_USEC);
	if (out == NULL || !peer_is_up(out->peer))
		return;
	message.sequence = forward->id;
	message.identity.data = forward->request.identity;
	message.identity.len = CLAIM_ID_BYTES;
	message.token.data = forward->request.token;
	message.token.len = CLAIM_ID_BYTES;
	message.expiry = forward->request.expiry;
	message.deadline = forward->request.deadline;
	message.origin = s->proc->hello.node;
	frame.kind_case = CH__FRAME__KIND_CLAIM_REQUEST;
	frame.claim_request = &message;
	if (peer_send(out->peer, &frame) == STATUS_OK)
		forward->sent_to = g_strdup(owner);
}

/*
 * Frees a forwarded request.
 */
static void
forward_free(gpointer data)
{
	struct forward *forward = data;

	g_free(forward->sent_to);
	g_free(forward);
}

/*
 * Handles a claim request. A request from a local router is forwarded to the
 * owner of its bucket. One from another syncd is decided here even if this node
 * no longer owns the bucket, which is slower but safe.
 */
void
syncd_claims_request(struct syncd *s, const struct syncd_origin *from,
    const Ch__ClaimRequest *message)
{
	struct claim_request request = {.sequence = message->sequence,
	    .expiry = message->expiry,
	    .deadline = message->deadline};
	struct claim_reply unavailable = {
	    .result = CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE};
	struct forward *forward;
	uint32_t bucket;

	if (from->session == NULL || message->identity.len != CLAIM_ID_BYTES ||
	    message->token.len != CLAIM_ID_BYTES)
		return;
	memcpy(request.identity, message->identity.data, CLAIM_ID_BYTES);
	memcpy(request.token, message->token.data, CLAIM_ID_BYTES);
	bucket = claim_bucket_of(request.identity, s->settings.claim_buckets);
	request.reply_to = from->session->id;
	if (from->session->role == CH__ROLE__ROLE_SYNCD) {
		claim_submit(s->claim, bucket, &request, syncd_now(s));
		run_actions(s);
		return;
	}
	if (g_hash_table_size(s->forwards) >= FORWARDS_MAX) {
		forwards_refused.value++;
		memcpy(unavailable.identity, request.identity, CLAIM_ID_BYTES);
		memcpy(unavailable.token, request.token, CLAIM_ID_BYTES);
		send_reply(
		    s, from->session->id, message->sequence, &unavailable);
		return;
	}
	forward = g_new0(struct forward, 1);
	forward->id = ++s->last_forward;
	forward->session = from->session->id;
	forward->sequence = message->sequence;
	forward->request = request;
	forward->bucket = bucket;
	g_hash_table_insert(s->forwards, &forward->id, forward);
	route_forward(s, forward);
	run_actions(s);
}

/*
 * Handles the owner's reply to a forwarded request. A reply with another token
 * is ignored.
 */
void
syncd_claims_reply(struct syncd *s, const Ch__ClaimReply *message)
{
	struct forward *forward =
	    g_hash_table_lookup(s->forwards, &message->sequence);
	struct claim_reply reply = {.result = message->result,
	    .state = message->state,
	    .status = message->status,
	    .fence = message->fence};

	if (forward == NULL || message->token.len != CLAIM_ID_BYTES ||
	    memcmp(message->token.data, forward->request.token,
		CLAIM_ID_BYTES) != 0)
		return;
	memcpy(reply.identity, forward->request.identity, CLAIM_ID_BYTES);
	memcpy(reply.token, forward->request.token, CLAIM_ID_BYTES);
	finish_forward(s, forward, &reply);
}

/*
 * Delivers an outcome report to the owner of its bucket. Returns false if it
 * must be retried later.
 */
static bool
route_outcome(struct syncd *s, const struct pending_outcome *outcome)
{
	const char *owner = bucket_owner(s, outcome->bucket);
	struct syncd_outgoing *out;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ClaimOutcome message = CH__CLAIM_OUTCOME__INIT;

	if (owner == NULL)
		return false;
	if (strcmp(owner, s->proc->hello.node) == 0) {
		claim_report(
		    s->claim, outcome->bucket, &outcome->report, syncd_now(s));
		return true;
	}
	out = syncd_connect(s, owner, syncd_now(s) + IDLE_CONNECTION_USEC);
	if (out == NULL || !peer_is_up(out->peer))
		return false;
	message.identity.data = (uint8_t *)outcome->report.identity;
	message.identity.len = CLAIM_ID_BYTES;
	message.token.data = (uint8_t *)outcome->report.token;
	message.token.len = CLAIM_ID_BYTES;
	message.state = outcome->report.state;
	message.status = outcome->report.status;
	message.expiry = outcome->report.expiry;
	frame.kind_case = CH__FRAME__KIND_CLAIM_OUTCOME;
	frame.claim_outcome = &message;
	return peer_send(out->peer, &frame) == STATUS_OK;
}

/*
 * Handles an outcome report, either from a local router or from another syncd
 * for a bucket of this node. When the queue is full, the oldest report is
 * dropped.
 */
void
syncd_claims_outcome(struct syncd *s, const struct syncd_origin *from,
    const Ch__ClaimOutcome *message)
{
	struct pending_outcome outcome = {.report = {.state = message->state,
					      .status = message->status,
					      .expiry = message->expiry}};

	if (from->session == NULL || message->identity.len != CLAIM_ID_BYTES ||
	    message->token.len != CLAIM_ID_BYTES ||
	    (message->state != CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN &&
		message->state != CH__CLAIM_STATE__CLAIM_STATE_RAN))
		return;
	memcpy(outcome.report.identity, message->identity.data, CLAIM_ID_BYTES);
	memcpy(outcome.report.token, message->token.data, CLAIM_ID_BYTES);
	outcome.bucket =
	    claim_bucket_of(outcome.report.identity, s->settings.claim_buckets);
	if (from->session->role == CH__ROLE__ROLE_SYNCD) {
		claim_report(
		    s->claim, outcome.bucket, &outcome.report, syncd_now(s));
	} else if (!route_outcome(s, &outcome)) {
		if (s->outcomes.length >= OUTCOMES_MAX) {
			g_free(g_queue_pop_head(&s->outcomes));
			outcomes_dropped.value++;
		}
		g_queue_push_tail(
		    &s->outcomes, g_memdup2(&outcome, sizeof(outcome)));
	}
	run_actions(s);
}

/*
 * Marks the requests that were sent to a node to be sent again after its
 * connection was lost. The owner recognises them by their tokens.
 */
void
syncd_claims_peer_down(struct syncd *s, const char *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct forward *forward = value;

		if (g_strcmp0(forward->sent_to, node) == 0)
			g_clear_pointer(&forward->sent_to, g_free);
	}
}

/*
 * Refuses a request whose deadline has passed; returns TRUE if it was refused.
 */
static gboolean
refuse_expired(gpointer key, gpointer value, gpointer data)
{
	struct forward *forward = value;
	struct syncd *s = data;
	struct claim_reply reply = {
	    .result = CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE};

	(void)key;
	if (forward->request.deadline > syncd_now(s))
		return FALSE;
	memcpy(reply.identity, forward->request.identity, CLAIM_ID_BYTES);
	memcpy(reply.token, forward->request.token, CLAIM_ID_BYTES);
	send_reply(s, forward->session, forward->sequence, &reply);
	return TRUE;
}

/*
 * Drops the idle buckets that this node no longer owns.
 */
static void
drop_buckets(struct syncd *s)
{
	for (uint32_t i = 0; i < s->settings.claim_buckets; i++) {
		const char *owner = bucket_owner(s, i);

		if (claim_is_idle(s->claim, i) &&
		    g_strcmp0(owner, s->proc->hello.node) != 0)
			claim_drop_bucket(s->claim, i);
	}
}

/*
 * Sends the pending requests and reports. Requests are sent again if their
 * bucket has a new owner.
 */
void
syncd_claims_tick(struct syncd *s)
{
	GHashTableIter iter;
	gpointer value;
	guint waiting = s->outcomes.length;

	g_hash_table_foreach_remove(s->forwards, refuse_expired, s);
	g_hash_table_iter_init(&iter, s->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct forward *forward = value;
		const char *owner = bucket_owner(s, forward->bucket);

		if (forward->sent_to != NULL &&
		    g_strcmp0(owner, forward->sent_to) != 0)
			g_clear_pointer(&forward->sent_to, g_free);
		if (forward->sent_to == NULL)
			route_forward(s, forward);
	}
	for (; waiting > 0; waiting--) {
		struct pending_outcome *outcome =
		    g_queue_pop_head(&s->outcomes);

		if (route_outcome(s, outcome))
			g_free(outcome);
		else
			g_queue_push_tail(&s->outcomes, outcome);
	}
	drop_buckets(s);
	run_actions(s);
}

/*
 * Runs the timed work of the claim module.
 */
static void
on_claim_timer(void *arg)
{
	struct syncd *s = arg;

	claim_tick(s->claim, syncd_now(s));
	run_actions(s);
}

/*
 * Creates the claim module, its timer and the tables of pending requests.
 */
enum status
syncd_claims_open(struct syncd *s)
{
	struct claim_settings settings = {.buckets = s->settings.claim_buckets,
	    .slots = s->settings.claim_slots,
	    .interval_usec = s->settings.claim_interval_usec,
	    .owner_id = s->proc->hello.boot};

	s->claim = claim_create(&settings);
	s->forwards = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, forward_free);
	g_queue_init(&s->outcomes);
	metric_register(&forwards_refused);
	metric_register(&outcomes_dropped);
	return loop_timer_create(s->loop, on_claim_timer, s, &s->claim_timer);
}

/*
 * Frees the claim module, its timer and the tables of pending requests.
 */
void
syncd_claims_close(struct syncd *s)
{
	claim_destroy(s->claim);
	if (s->forwards != NULL)
		g_hash_table_destroy(s->forwards);
	g_queue_clear_full(&s->outcomes, g_free);
	for (uint32_t i = 0; s->bucket_owners && i < s->settings.claim_buckets;
	     i++)
		g_free(s->bucket_owners[i]);
	g_free(s->bucket_owners);
	loop_timer_destroy(s->claim_timer);
}
