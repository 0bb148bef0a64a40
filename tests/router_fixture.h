#ifndef CH_TEST_ROUTER_FIXTURE_H
#define CH_TEST_ROUTER_FIXTURE_H

#include "router_fakes.h"

static inline void
fixture_on_drained(void *arg)
{
	((struct fixture *)arg)->drained = true;
}

/*
 * Parses the test inventory: a pipeline "m" with two instances for each half of
 * the layers, and a plain service "ledger".
 */
static inline struct inv *
fixture_inv(void)
{
	static const char inventory[] =
	    "{\"places\":[{\"name\":\"p\",\"region\":\"g\"}],\"links\":[],"
	    "\"services\":[{\"name\":\"m\",\"kind\":\"pipeline\","
	    "\"layers\":8},{\"name\":\"ledger\",\"kind\":\"plain\"}],"
	    "\"accelerators\":[{\"kind\":\"fast\",\"layer_us\":500}],"
	    "\"instances\":["
	    "{\"name\":\"a1\",\"place\":\"p\",\"service\":\"m\","
	    "\"replica\":\"r\",\"address\":\"127.0.0.1:1001\","
	    "\"accelerator\":\"fast\",\"count\":1,\"first\":0,\"last\":3},"
	    "{\"name\":\"a2\",\"place\":\"p\",\"service\":\"m\","
	    "\"replica\":\"r\",\"address\":\"127.0.0.1:1002\","
	    "\"accelerator\":\"fast\",\"count\":1,\"first\":0,\"last\":3},"
	    "{\"name\":\"b1\",\"place\":\"p\",\"service\":\"m\","
	    "\"replica\":\"r\",\"address\":\"127.0.0.1:1003\","
	    "\"accelerator\":\"fast\",\"count\":1,\"first\":4,\"last\":7},"
	    "{\"name\":\"b2\",\"place\":\"p\",\"service\":\"m\","
	    "\"replica\":\"r\",\"address\":\"127.0.0.1:1004\","
	    "\"accelerator\":\"fast\",\"count\":1,\"first\":4,\"last\":7},"
	    "{\"name\":\"l1\",\"place\":\"p\",\"service\":\"ledger\","
	    "\"replica\":\"l\",\"address\":\"127.0.0.1:1005\"},"
	    "{\"name\":\"l2\",\"place\":\"p\",\"service\":\"ledger\","
	    "\"replica\":\"l\",\"address\":\"127.0.0.1:1006\"}]}";
	static const char rules[] =
	    "{\"organisations\":[{\"name\":\"o1\",\"priority\":1,"
	    "\"weight\":10,\"max_concurrent\":8}],"
	    "\"requests\":[{\"service\":\"ledger\",\"operation\":\"swap\","
	    "\"idempotent\":false}],"
	    "\"defaults\":{\"priority\":3,\"weight\":10,"
	    "\"max_concurrent\":10,\"deadline_ms\":20000}}";
	json_t *i = NULL;
	json_t *r = NULL;
	struct inv *inv = NULL;

	ck_assert_int_eq(
	    inv_load_json(lstr_from(inventory), "inventory", &i), STATUS_OK);
	ck_assert_int_eq(
	    inv_load_json(lstr_from(rules), "rules", &r), STATUS_OK);
	ck_assert_msg(
	    inv_parse(i, r, &inv) == STATUS_OK, "%s", status_message());
	json_decref(i);
	json_decref(r);
	inv->revision = 1;
	return inv;
}

#define FIXTURE_JOBS_MAX_BYTES ((size_t)1000 * 1000)
#define TOKEN_TIMEOUT_USEC (100 * LOOP_USEC_PER_MSEC)

/*
 * Starts a router without a configuration.
 */
static inline void
fixture_start(
    struct fixture *f, uint32_t concurrency, int64_t token_timeout_usec)
{
	struct router_config config = {.engine = &f->engine,
	    .plain = &f->plain,
	    .syncd = &f->syncd,
	    .node = "n1",
	    .place = "p",
	    .boot = FIXTURE_BOOT,
	    .address = "127.0.0.1:1",
	    .seed = 7006,
	    .replica_concurrency = concurrency,
	    .queue_max = 4,
	    .jobs_max_bytes = FIXTURE_JOBS_MAX_BYTES,
	    .token_timeout_usec = token_timeout_usec,
	    .load_interval_usec = 3600 * LOOP_USEC_PER_SEC,
	    .on_drained = fixture_on_drained,
	    .arg = f};

	memset(f, 0, sizeof(*f));
	f->engine.vtable = &fake_engine;
	f->plain.vtable = &fake_plain;
	f->syncd.vtable = &fake_syncd;
	f->entry.base.vtable = &fake_entry;
	f->syncd_up = true;
	f->ack_records = true;
	f->store_records = true;
	f->syncd_replies = g_queue_new();
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	config.loop = f->loop;
	ck_assert_int_eq(router_create(&config, &f->router), STATUS_OK);
	router_entry_open(f->router, &f->entry.base);
}

/*
 * Starts a router with the test configuration and a given token timeout in
 * microseconds.
 */
static inline void
fixture_start_configured_with(
    struct fixture *f, uint32_t concurrency, int64_t token_timeout_usec)
{
	fixture_start(f, concurrency, token_timeout_usec);
	f->inv = fixture_inv();
	router_on_config(f->router, f->inv);
	ck_assert(f->role_ready);
}

/*
 * Starts a router with the test configuration.
 */
static inline void
fixture_start_configured(struct fixture *f, uint32_t concurrency)
{
	fixture_start_configured_with(f, concurrency, TOKEN_TIMEOUT_USEC);
}

/*
 * Frees everything.
 */
static inline void
fixture_destroy(struct fixture *f)
{
	router_destroy(f->router);
	g_hash_table_destroy(f->entry.base.jobs);
	inv_destroy(f->inv);
	for (size_t i = 0; i < f->call_count; i++)
		g_free(f->calls[i]);
	for (size_t i = 0; i < f->plain_count; i++)
		g_free(f->plain_calls[i]);
	g_queue_free_full(f->syncd_replies, (GDestroyNotify)g_bytes_unref);
	loop_destroy(f->loop);
}

/*
 * Delivers the queued messages and load answers of the fakes and runs the event
 * loop once.
 */
static inline void
fixture_run_once(struct fixture *f)
{
	GBytes *bytes;

	while ((bytes = g_queue_pop_head(f->syncd_replies)) != NULL) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(bytes, &len);
		Ch__Frame *frame = ch__frame__unpack(NULL, len, data);

		router_on_syncd_frame(f->router, frame);
		ch__frame__free_unpacked(frame, NULL);
		g_bytes_unref(bytes);
	}
	while (f->load_count > 0) {
		struct fake_load load = f->loads[--f->load_count];
		struct engine_load answer = {0};

		if (f->dead_instance != NULL &&
		    strcmp(load.instance, f->dead_instance) == 0)
			answer.status = STATUS_UNAVAILABLE;
		load.fn(&answer, load.arg);
	}
	loop_run_once(f->loop, loop_now(f->loop) + LOOP_USEC_PER_MSEC);
}

/* Runs the event loop until a condition holds; fails after the deadline. */
#define FIXTURE_WAIT_FOR(f, condition)                                         \
	do {                                                                   \
		int64_t limit = loop_now((f)->loop) + HARNESS_DEADLINE_USEC;   \
		while (!(condition)) {                                         \
			ck_assert_msg(loop_now((f)->loop) < limit,             \
			    "never: %s", #condition);                          \
			fixture_run_once(f);                                   \
		}                                                              \
	} while (0)

/*
 * Submits a request to the pipeline with a number of tokens and a deadline
 * limit_usec from now.
 */
static inline void
fixture_submit_with(
    struct fixture *f, uint64_t stream, uint32_t max_tokens, int64_t limit_usec)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Submit submit = CH__SUBMIT__INIT;
	char id[16];

	snprintf(id, sizeof(id), "r%u", (unsigned int)stream);
	submit.stream = stream;
	submit.request_id.data = (uint8_t *)id;
	submit.request_id.len = strlen(id);
	submit.organisation = "o1";
	submit.service = "m";
	submit.operation = "write";
	submit.replica = "r";
	submit.max_tokens = max_tokens;
	submit.idempotent = true;
	submit.attempt = 1;
	submit.deadline = loop_now(f->loop) + limit_usec;
	frame.kind_case = CH__FRAME__KIND_SUBMIT;
	frame.submit = &submit;
	router_on_entry_frame(f->router, &f->entry.base, &frame);
}

/*
 * Submits a request to the pipeline.
 */
static inline void
fixture_submit(struct fixture *f, uint64_t stream)
{
	fixture_submit_with(f, stream, 8, 20 * LOOP_USEC_PER_SEC);
}

/*
 * Submits a call to the plain service; key is NULL for lookups.
 */
static inline void
fixture_submit_call(struct fixture *f, uint64_t stream, const char *key,
    const char *body, int64_t limit_usec)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Submit submit = CH__SUBMIT__INIT;
	char id[16];

	snprintf(id, sizeof(id), "r%u", (unsigned int)stream);
	submit.stream = stream;
	submit.request_id.data = (uint8_t *)id;
	submit.request_id.len = strlen(id);
	submit.organisation = "o1";
	submit.service = "ledger";
	submit.operation = key != NULL ? "swap" : "look";
	submit.replica = "l";
	submit.idempotent = key == NULL;
	submit.idempotency_key = (char *)(key != NULL ? key : "");
	submit.body.data = (uint8_t *)body;
	submit.body.len = strlen(body);
	submit.attempt = 1;
	submit.deadline = loop_now(f->loop) + limit_usec;
	frame.kind_case = CH__FRAME__KIND_SUBMIT;
	frame.submit = &submit;
	router_on_entry_frame(f->router, &f->entry.base, &frame);
}

/*
 * Cancels a stream.
 */
static inline void
fixture_cancel(struct fixture *f, uint64_t stream)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Cancel cancel = CH__CANCEL__INIT;

	cancel.stream = stream;
	frame.kind_case = CH__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	router_on_entry_frame(f->router, &f->entry.base, &frame);
}

/*
 * Makes the fake engine send a token with any position and attempt number.
 */
static inline void
fixture_send_token_of_attempt(struct engine_call *call, uint32_t position,
    uint32_t attempt, const char *text, bool last)
{
	struct engine_token token = {.request = lstr_from(call->request),
	    .attempt = attempt,
	    .position = position,
	    .text = lstr_from(text),
	    .steps = call->steps,
	    .step_count = call->count,
	    .last = last};

	for (size_t i = 0; i < call->count; i++) {
		call->steps[i].attempt = attempt;
		call->steps[i].position = position;
	}
	call->listener->token(call, &token, call->arg);
}

/*
 * Makes the fake engine send a correct token.
 */
static inline void
fixture_send_token(
    struct engine_call *call, uint32_t position, const char *text, bool last)
{
	ck_assert(!call->cancelled && !call->ended);
	fixture_send_token_of_attempt(
	    call, position, call->attempt, text, last);
}

/*
 * Makes the fake engine end a call.
 */
static inline void
fixture_end_call(
    struct engine_call *call, enum status status, bool maybe_run, bool leaving)
{
	struct engine_end end = {status, maybe_run, leaving};

	ck_assert(!call->cancelled && !call->ended);
	call->ended = true;
	call->listener->end(call, &end, call->arg);
}

/*
 * Makes the fake plain service end a call.
 */
static inline void
fixture_end_plain_call(struct plain_call *call, enum status status,
    bool maybe_run, const char *body)
{
	struct plain_result result = {.status = status,
	    .maybe_run = maybe_run,
	    .http_status = 200,
	    .body = lstr_from(body)};

	ck_assert(!call->cancelled);
	call->fn(&result, call->arg);
}

/*
 * Returns the messages that the fake entry has received for a stream.
 */
static inline struct stream *
fixture_stream(struct fixture *f, uint64_t stream)
{
	return &f->entry.streams[stream];
}

#endif
