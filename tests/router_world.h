#ifndef CH_TEST_ROUTER_WORLD_H
#define CH_TEST_ROUTER_WORLD_H

#include "router_fakes.h"

static inline void
world_on_drained(void *arg)
{
	((struct world *)arg)->drained = true;
}

/*
 * Parses the inventory of the tests: a pipeline "m" with two instances for
 * each half of the layers, and a plain service "ledger".
 */
static inline struct inv *
world_inv(void)
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
	    inv_load(lstr_from(inventory), "inventory", &i), STATUS_OK);
	ck_assert_int_eq(inv_load(lstr_from(rules), "rules", &r), STATUS_OK);
	ck_assert_msg(
	    inv_parse(i, r, &inv) == STATUS_OK, "%s", status_message());
	json_decref(i);
	json_decref(r);
	inv->revision = 1;
	return inv;
}

#define TOKEN_TIMEOUT_USEC (100 * LOOP_USEC_PER_MSEC)

/*
 * Starts a router without a configuration.
 */
static inline void
world_start(struct world *w, uint32_t concurrency, int64_t token_timeout_usec)
{
	struct router_config config = {.engine = &w->engine,
	    .plain = &w->plain,
	    .syncd = &w->syncd,
	    .node = "n1",
	    .place = "p",
	    .boot = WORLD_BOOT,
	    .address = "127.0.0.1:1",
	    .seed = 7006,
	    .replica_concurrency = concurrency,
	    .queue_max = 4,
	    .token_timeout_usec = token_timeout_usec,
	    .load_interval_usec = 3600 * LOOP_USEC_PER_SEC,
	    .on_drained = world_on_drained,
	    .arg = w};

	memset(w, 0, sizeof(*w));
	w->engine.vtable = &fake_engine;
	w->plain.vtable = &fake_plain;
	w->syncd.vtable = &fake_syncd;
	w->entry.base.vtable = &fake_entry;
	w->up = true;
	w->ack_records = true;
	w->store_records = true;
	w->replies = g_queue_new();
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	config.loop = w->loop;
	ck_assert_int_eq(router_create(&config, &w->router), STATUS_OK);
	router_entry_open(w->router, &w->entry.base);
}

/*
 * Starts a router with the configuration of the tests and a given time-out
 * for tokens.
 */
static inline void
world_ready_with(
    struct world *w, uint32_t concurrency, int64_t token_timeout_usec)
{
	world_start(w, concurrency, token_timeout_usec);
	w->inv = world_inv();
	router_on_config(w->router, w->inv);
	ck_assert(w->role_ready);
}

/*
 * Starts a router with the configuration of the tests.
 */
static inline void
world_ready(struct world *w, uint32_t concurrency)
{
	world_ready_with(w, concurrency, TOKEN_TIMEOUT_USEC);
}

/*
 * Frees everything.
 */
static inline void
world_end(struct world *w)
{
	router_destroy(w->router);
	g_hash_table_destroy(w->entry.base.jobs);
	inv_destroy(w->inv);
	for (size_t i = 0; i < w->call_count; i++)
		g_free(w->calls[i]);
	for (size_t i = 0; i < w->plain_count; i++)
		g_free(w->plain_calls[i]);
	g_queue_free_full(w->replies, (GDestroyNotify)g_bytes_unref);
	loop_destroy(w->loop);
}

/*
 * Delivers what the fakes have to say.
 */
static inline void
world_step(struct world *w)
{
	GBytes *bytes;

	while ((bytes = g_queue_pop_head(w->replies)) != NULL) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(bytes, &len);
		Ch__Frame *frame = ch__frame__unpack(NULL, len, data);

		router_on_syncd_frame(w->router, frame);
		ch__frame__free_unpacked(frame, NULL);
		g_bytes_unref(bytes);
	}
	while (w->load_count > 0) {
		struct fake_load load = w->loads[--w->load_count];
		struct engine_load answer = {0};

		if (w->dead != NULL && strcmp(load.instance, w->dead) == 0)
			answer.status = STATUS_UNAVAILABLE;
		load.fn(&answer, load.arg);
	}
	loop_run_once(w->loop, loop_now(w->loop) + LOOP_USEC_PER_MSEC);
}

/* Runs the world until a condition holds; fails after the deadline. */
#define WORLD_WAIT(w, condition)                                               \
	do {                                                                   \
		int64_t limit = loop_now((w)->loop) + HARNESS_DEADLINE_USEC;   \
		while (!(condition)) {                                         \
			ck_assert_msg(loop_now((w)->loop) < limit,             \
			    "never: %s", #condition);                          \
			world_step(w);                                         \
		}                                                              \
	} while (0)

/*
 * Submits a request of the pipeline with a number of tokens and a deadline
 * after limit_usec.
 */
static inline void
world_submit_with(
    struct world *w, uint64_t stream, uint32_t max_tokens, int64_t limit_usec)
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
	submit.deadline = loop_now(w->loop) + limit_usec;
	frame.kind_case = CH__FRAME__KIND_SUBMIT;
	frame.submit = &submit;
	router_entry_frame(w->router, &w->entry.base, &frame);
}

/*
 * Submits a request of the pipeline.
 */
static inline void
world_submit(struct world *w, uint64_t stream)
{
	world_submit_with(w, stream, 8, 20 * LOOP_USEC_PER_SEC);
}

/*
 * Submits a call of the plain service; key is NULL for look-ups.
 */
static inline void
world_call(struct world *w, uint64_t stream, const char *key, const char *body,
    int64_t limit_usec)
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
	submit.deadline = loop_now(w->loop) + limit_usec;
	frame.kind_case = CH__FRAME__KIND_SUBMIT;
	frame.submit = &submit;
	router_entry_frame(w->router, &w->entry.base, &frame);
}

/*
 * Cancels a stream.
 */
static inline void
world_cancel(struct world *w, uint64_t stream)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Cancel cancel = CH__CANCEL__INIT;

	cancel.stream = stream;
	frame.kind_case = CH__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	router_entry_frame(w->router, &w->entry.base, &frame);
}

/*
 * Makes the fake engine send the token that follows a number of delivered
 * ones, with any attempt number.
 */
static inline void
world_token_of(struct engine_call *call, uint32_t position, uint32_t attempt,
    const char *text, bool last)
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
world_token(
    struct engine_call *call, uint32_t position, const char *text, bool last)
{
	ck_assert(!call->cancelled && !call->ended);
	world_token_of(call, position, call->attempt, text, last);
}

/*
 * Makes the fake engine end a call.
 */
static inline void
world_call_end(
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
world_plain_end(struct plain_call *call, enum status status, bool maybe_run,
    const char *body)
{
	struct plain_result result = {.status = status,
	    .maybe_run = maybe_run,
	    .http_status = 200,
	    .body = lstr_from(body)};

	ck_assert(!call->cancelled);
	call->fn(&result, call->arg);
}

/*
 * Returns what the entry has received for a stream.
 */
static inline struct stream *
world_stream(struct world *w, uint64_t stream)
{
	return &w->entry.streams[stream];
}

#endif
