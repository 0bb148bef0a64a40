#ifndef CH_TEST_ROUTER_FAKES_H
#define CH_TEST_ROUTER_FAKES_H

#include <string.h>

#include <glib.h>

#include "harness.h"

#include "router.h"

#define CALLS_MAX 32
#define LOADS_MAX 64
#define FIXTURE_BOOT 77

/* A call of the fake engine. */
struct engine_call {
	bool cancelled;
	bool ended;
	uint32_t attempt;
	uint32_t start;
	size_t delivered;
	char request[32];
	char names[4][16];
	struct engine_trail_step steps[4];
	size_t count;
	const struct engine_listener *listener;
	void *arg;
};

/* A call of the fake plain service. */
struct plain_call {
	bool cancelled;
	bool once;
	uint64_t fence;
	char address[32];
	plain_done_fn fn;
	void *arg;
};

/* A load query that is not answered yet. */
struct fake_load {
	char instance[16];
	engine_load_fn fn;
	void *arg;
};

/* How the fake syncd replies to claim requests. */
enum claim_mode {
	CLAIM_GRANT,
	CLAIM_SILENT,
	CLAIM_UNAVAILABLE,
	CLAIM_DUP_RAN,
	CLAIM_DUP_CLAIMED,
	CLAIM_WRONG_TOKEN
};

/* Messages that the fake entry has received for one stream. */
struct stream {
	char tokens[128];
	uint32_t next_position;
	bool done;
	Ch__Outcome outcome;
	char code[40];
	char body[64];
	int64_t retry_at;
	uint32_t status;
	uint32_t count;
	uint32_t attempt;
};

#define STREAMS_MAX 64

struct fixture_entry {
	struct router_entry base;
	struct stream streams[STREAMS_MAX];
};

/* The test fixture: a router that is connected to fakes. */
struct fixture {
	struct engine engine;
	struct plain plain;
	struct router_syncd syncd;
	struct fixture_entry entry;
	struct loop *loop;
	struct inv *inv;
	struct router *router;
	struct engine_call *calls[CALLS_MAX];
	size_t call_count;
	struct plain_call *plain_calls[CALLS_MAX];
	size_t plain_count;
	struct fake_load loads[LOADS_MAX];
	size_t load_count;
	/* Name of an instance that does not answer load queries. */
	const char *dead_instance;
	bool syncd_up;
	bool ack_records;
	bool store_records;
	enum claim_mode claims;
	GQueue *syncd_replies;
	int claim_requests;
	/* Tokens of the claim requests, in the order of arrival. */
	uint8_t claim_tokens[CALLS_MAX][16];
	int outcomes;
	Ch__ClaimState outcome_state;
	uint32_t outcome_status;
	bool role_ready;
	bool role_leaving;
	char leaving_instance[32];
	int stored;
	bool drained;
};

static inline enum status
fake_engine_start(struct engine *engine, const struct engine_attempt *a,
    const struct engine_listener *listener, void *arg, struct engine_call **out)
{
	struct fixture *f = (struct fixture *)engine;
	struct engine_call *call = g_new0(struct engine_call, 1);

	ck_assert_uint_lt(f->call_count, CALLS_MAX);
	f->calls[f->call_count++] = call;
	call->attempt = a->attempt;
	call->start = a->start;
	call->delivered = a->delivered_count;
	g_strlcpy(call->request, a->request.data, a->request.len + 1);
	call->count = a->stage_count;
	for (size_t i = 0; i < a->stage_count; i++) {
		g_strlcpy(call->names[i], a->stages[i].instance.data,
		    a->stages[i].instance.len + 1);
		call->steps[i].instance = lstr_from(call->names[i]);
		call->steps[i].first = a->stages[i].first;
		call->steps[i].last = a->stages[i].last;
	}
	call->listener = listener;
	call->arg = arg;
	*out = call;
	return STATUS_OK;
}

static inline void
fake_engine_cancel(struct engine *engine, struct engine_call *call)
{
	(void)engine;
	ck_assert(!call->cancelled && !call->ended);
	call->cancelled = true;
}

static inline enum status
fake_engine_load(struct engine *engine, struct lstr instance,
    struct lstr address, int64_t deadline, engine_load_fn fn, void *arg)
{
	struct fixture *f = (struct fixture *)engine;
	struct fake_load *load = &f->loads[f->load_count];

	(void)address;
	(void)deadline;
	ck_assert_uint_lt(f->load_count++, LOADS_MAX);
	g_strlcpy(load->instance, instance.data, instance.len + 1);
	load->fn = fn;
	load->arg = arg;
	return STATUS_OK;
}

static const struct engine_vtable fake_engine = {
    fake_engine_start, fake_engine_cancel, fake_engine_load, NULL};

static inline struct fixture *
fixture_of_plain(struct plain *plain)
{
	return (
	    struct fixture *)((char *)plain - offsetof(struct fixture, plain));
}

static inline enum status
fake_plain_start(struct plain *plain, const struct plain_request *r,
    plain_done_fn fn, void *arg, struct plain_call **out)
{
	struct fixture *f = fixture_of_plain(plain);
	struct plain_call *call = g_new0(struct plain_call, 1);

	ck_assert_uint_lt(f->plain_count, CALLS_MAX);
	f->plain_calls[f->plain_count++] = call;
	call->once = r->once;
	call->fence = r->fence;
	g_strlcpy(call->address, r->address.data, r->address.len + 1);
	call->fn = fn;
	call->arg = arg;
	*out = call;
	return STATUS_OK;
}

static inline void
fake_plain_cancel(struct plain *plain, struct plain_call *call)
{
	(void)plain;
	ck_assert(!call->cancelled);
	call->cancelled = true;
}

static const struct plain_vtable fake_plain = {
    fake_plain_start, fake_plain_cancel, NULL};

/*
 * Queues a message from the syncd for the next fixture_run_once().
 */
static inline void
fixture_reply(struct fixture *f, const Ch__Frame *frame)
{
	size_t len = ch__frame__get_packed_size(frame);
	uint8_t *bytes = g_malloc(len);

	ch__frame__pack(frame, bytes);
	g_queue_push_tail(f->syncd_replies, g_bytes_new_take(bytes, len));
}

/*
 * Replies to a claim request according to the claim mode.
 */
static inline void
reply_to_claim(struct fixture *f, const Ch__ClaimRequest *request)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ClaimReply reply = CH__CLAIM_REPLY__INIT;
	uint8_t wrong[16] = {1};

	ck_assert_int_lt(f->claim_requests, CALLS_MAX);
	ck_assert_uint_eq(request->token.len, 16);
	ck_assert_uint_eq(request->identity.len, 16);
	memcpy(f->claim_tokens[f->claim_requests++], request->token.data, 16);
	reply.sequence = request->sequence;
	reply.identity = request->identity;
	reply.token = request->token;
	reply.fence = 5;
	reply.result = CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE;
	switch (f->claims) {
	case CLAIM_SILENT:
		return;
	case CLAIM_WRONG_TOKEN:
		reply.token.data = wrong;
		reply.result = CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED;
		break;
	case CLAIM_GRANT:
		reply.result = CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED;
		break;
	case CLAIM_UNAVAILABLE:
		reply.result = CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE;
		break;
	case CLAIM_DUP_RAN:
		reply.state = CH__CLAIM_STATE__CLAIM_STATE_RAN;
		break;
	case CLAIM_DUP_CLAIMED:
		reply.state = CH__CLAIM_STATE__CLAIM_STATE_CLAIMED;
		break;
	}
	frame.kind_case = CH__FRAME__KIND_CLAIM_REPLY;
	frame.claim_reply = &reply;
	fixture_reply(f, &frame);
}

/*
 * Acknowledges replicated entries of the record.
 */
static inline void
ack_copy(struct fixture *f, const Ch__RecordAppend *append)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RecordAck ack = CH__RECORD_ACK__INIT;

	if (!f->ack_records || append->n_entries == 0)
		return;
	ack.node = append->node;
	ack.boot = append->boot;
	ack.sequence = append->entries[append->n_entries - 1]->sequence;
	frame.kind_case = CH__FRAME__KIND_RECORD_ACK;
	frame.record_ack = &ack;
	fixture_reply(f, &frame);
}

/*
 * Confirms that a segment is stored.
 */
static inline void
store_segment(struct fixture *f, const Ch__RecordStore *store)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RecordStored stored = CH__RECORD_STORED__INIT;

	if (!f->store_records)
		return;
	f->stored++;
	stored.node = store->node;
	stored.boot = store->boot;
	stored.segment = store->segment;
	stored.last_sequence = store->last_sequence;
	frame.kind_case = CH__FRAME__KIND_RECORD_STORED;
	frame.record_stored = &stored;
	fixture_reply(f, &frame);
}

static inline struct fixture *
fixture_of_syncd(struct router_syncd *syncd)
{
	return (
	    struct fixture *)((char *)syncd - offsetof(struct fixture, syncd));
}

/*
 * Returns whether a claim with this token was requested.
 */
static inline bool
was_requested(const struct fixture *f, const uint8_t *token)
{
	for (int i = 0; i < f->claim_requests; i++) {
		if (memcmp(f->claim_tokens[i], token, 16) == 0)
			return true;
	}
	return false;
}

static inline enum status
fake_syncd_send(struct router_syncd *syncd, const Ch__Frame *frame)
{
	struct fixture *f = fixture_of_syncd(syncd);

	ck_assert(f->syncd_up);
	switch (frame->kind_case) {
	case CH__FRAME__KIND_CLAIM_REQUEST:
		reply_to_claim(f, frame->claim_request);
		break;
	case CH__FRAME__KIND_CLAIM_OUTCOME:
		f->outcomes++;
		f->outcome_state = frame->claim_outcome->state;
		f->outcome_status = frame->claim_outcome->status;
		ck_assert(was_requested(f, frame->claim_outcome->token.data));
		break;
	case CH__FRAME__KIND_RECORD_APPEND:
		ack_copy(f, frame->record_append);
		break;
	case CH__FRAME__KIND_RECORD_STORE:
		store_segment(f, frame->record_store);
		break;
	case CH__FRAME__KIND_ROLE_STATE:
		f->role_ready = frame->role_state->ready;
		f->role_leaving = frame->role_state->leaving;
		ck_assert_uint_eq(frame->role_state->record_key.len, 32);
		break;
	case CH__FRAME__KIND_INSTANCES:
		ck_assert_str_eq(frame->instances->source, "n1");
		g_strlcpy(f->leaving_instance, frame->instances->items[0]->name,
		    sizeof(f->leaving_instance));
		break;
	default:
		ck_abort_msg("unexpected message to the syncd");
	}
	return STATUS_OK;
}

static inline bool
fake_syncd_is_up(struct router_syncd *syncd)
{
	return fixture_of_syncd(syncd)->syncd_up;
}

static inline bool
fake_syncd_leaving(struct router_syncd *syncd, struct lstr name)
{
	(void)syncd;
	(void)name;
	return false;
}

static const struct router_syncd_vtable fake_syncd = {
    fake_syncd_send, fake_syncd_is_up, fake_syncd_leaving};

static inline enum status
fake_entry_send(struct router_entry *base, const Ch__Frame *frame)
{
	struct fixture_entry *e = (struct fixture_entry *)base;
	struct stream *s;

	if (frame->kind_case == CH__FRAME__KIND_TOKEN) {
		const Ch__Token *token = frame->token;

		s = &e->streams[token->stream];
		ck_assert(!s->done);
		ck_assert_uint_eq(token->position, s->next_position);
		s->next_position++;
		strncat(s->tokens, (char *)token->text.data, token->text.len);
		return STATUS_OK;
	}
	ck_assert_int_eq(frame->kind_case, CH__FRAME__KIND_DONE);
	s = &e->streams[frame->done->stream];
	ck_assert(!s->done);
	s->done = true;
	s->outcome = frame->done->outcome;
	g_strlcpy(s->code, frame->done->code, sizeof(s->code));
	g_strlcpy(s->body, (char *)frame->done->body.data,
	    MIN(sizeof(s->body), frame->done->body.len + 1));
	s->retry_at = frame->done->retry_at;
	s->status = frame->done->status;
	s->count = frame->done->tokens;
	s->attempt = frame->done->attempt;
	return STATUS_OK;
}

static const struct router_entry_vtable fake_entry = {fake_entry_send};

#endif
