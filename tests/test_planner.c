#include <string.h>

#include "harness.h"
#include "loopback.h"
#include "planner.h"

#define IDENTITY "node-1#7"
#define HTTP_ACCEPTED 202
#define HTTP_FENCED 412

/* A planner with a store whose responses the test supplies, and one server,
 * which answers each order with the given status. */
struct fixture {
	struct kv kv;
	enum kv_kind kind;
	kv_done_fn fn;
	void *arg;
	unsigned int removals;
	/* Stated in all responses of the store. */
	uint64_t era;

	struct loop *loop;
	struct h1 *h1;
	struct h1_limits limits;
	struct h1_listener *listener;
	uint16_t port;
	/* Request that the server has not answered yet. */
	struct h1_conn *request;
	unsigned int http_status;
	bool hold_responses;

	struct pool *pool;
	struct quarantine *quarantine;
	struct gossip *gossip;
	struct fleet_config *config;
	struct planner *planner;
	int64_t born;
};

/* Fencing token of the last order, and the number of orders. */
static uint64_t order_token;
static unsigned int orders;

static void
record_call(struct kv *kv, enum kv_kind kind, kv_done_fn fn, void *arg)
{
	struct fixture *w = (struct fixture *)kv;

	w->kind = kind;
	w->fn = fn;
	w->arg = arg;
}

static void
store_get(
    struct kv *kv, struct lstr key, int64_t deadline, kv_done_fn fn, void *arg)
{
	(void)key;
	(void)deadline;
	record_call(kv, KV_GET, fn, arg);
}

static void
store_put(struct kv *kv, struct lstr key, struct lstr value, uint64_t version,
    struct lstr lease, int64_t deadline, kv_done_fn fn, void *arg)
{
	(void)key;
	(void)value;
	(void)version;
	(void)lease;
	(void)deadline;
	record_call(kv, KV_PUT, fn, arg);
}

static void
store_remove(struct kv *kv, struct lstr key, uint64_t version, int64_t deadline,
    kv_done_fn fn, void *arg)
{
	(void)key;
	(void)version;
	(void)deadline;
	(void)fn;
	(void)arg;
	((struct fixture *)kv)->removals++;
}

static void
store_grant(
    struct kv *kv, int64_t ttl, int64_t deadline, kv_done_fn fn, void *arg)
{
	(void)ttl;
	(void)deadline;
	record_call(kv, KV_LEASE_GRANT, fn, arg);
}

static void
store_renew(struct kv *kv, struct lstr lease, int64_t deadline, kv_done_fn fn,
    void *arg)
{
	(void)lease;
	(void)deadline;
	record_call(kv, KV_LEASE_RENEW, fn, arg);
}

static const struct kv_vtable store_vtable = {.get = store_get,
    .put = store_put,
    .remove = store_remove,
    .lease_grant = store_grant,
    .lease_renew = store_renew};

static enum status
encode_order(const char *host, const char *server_id,
    const struct adapter_order *order, struct lstr_buf *out)
{
	(void)server_id;
	order_token = order->fencing_token;
	orders++;
	return lstr_buf_printf(out,
	    "POST / HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", host);
}

static enum adapter_order_outcome
order_outcome(unsigned int http_status)
{
	return http_status == HTTP_FENCED ? ADAPTER_ORDER_FENCED
					  : ADAPTER_ORDER_ACCEPTED;
}

static enum status
encode_report_request(const char *host, struct lstr_buf *out)
{
	return lstr_buf_printf(out, "GET / HTTP/1.1\r\nHost: %s\r\n\r\n", host);
}

/*
 * The server's reports cannot be read.
 */
static enum status
decode_report(struct lstr body, struct adapter_report *out)
{
	(void)body;
	(void)out;
	return STATUS_INVALID;
}

/*
 * Reads the head of a response, which states nothing about the server.
 */
static void
parse_response(const struct h1_conn *conn, struct adapter_response *out)
{
	memset(out, 0, sizeof(*out));
	out->status = h1_status(conn);
}

static const struct adapter adapter = {.parse_response = parse_response,
    .encode_order = encode_order,
    .order_outcome = order_outcome,
    .encode_report_request = encode_report_request,
    .decode_report = decode_report};

/*
 * Answers the order that the server has received.
 */
static void
answer_order(struct fixture *w)
{
	struct lstr_buf text = {0};

	lstr_buf_printf(&text,
	    "HTTP/1.1 %u Status\r\nContent-Length: 0\r\n\r\n", w->http_status);
	h1_write(w->request, lstr_buf_view(&text));
	lstr_buf_free(&text);
	h1_close_gracefully(w->request);
	w->request = NULL;
}

static void
on_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct fixture *w = arg;

	w->request = conn;
	if (!w->hold_responses)
		answer_order(w);
}

static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct fixture *w = arg;

	(void)status;
	if (w->request == conn)
		w->request = NULL;
}

static const struct h1_ops server_ops = {
    NULL, NULL, on_head, NULL, on_complete, on_ended};

static void
get_proof(struct gossip_proof *proof, void *arg)
{
	(void)arg;
	memset(proof, 0, sizeof(*proof));
}

static const struct gossip_ops gossip_ops = {get_proof, NULL, NULL, NULL};

/*
 * Adds the server, as if it had started again without layers: the planner then
 * orders it to hold all.
 */
static void
restart_server(struct fixture *w)
{
	char ip[INET_ADDRSTRLEN];
	struct fleet_server info = {.id = g_strdup("s1"),
	    .service = g_strdup("model"),
	    .address = loopback_own(w->port),
	    .zone = g_strdup("z1"),
	    .kind = g_strdup("k1"),
	    .state = FLEET_READY,
	    .slots = 4,
	    .born = ++w->born};
	bool is_new;

	loopback_format_own_address(ip);
	info.address_text = g_strdup_printf("%s:%u", ip, w->port);
	pool_remove(w->pool, "s1", loop_now(w->loop));
	pool_put(w->pool, &info, loop_now(w->loop), &is_new);
}

/*
 * Creates a configuration with one service that has a model.
 */
static struct fleet_config *
config_with_model(void)
{
	struct fleet_config *config = fleet_config_new();
	struct fleet_service *service = fleet_service_new();
	struct fleet_engine *engine = fleet_engine_new();
	struct fleet_kind_info kind = {.name = g_strdup("k1"),
	    .memory_bytes = 1000000,
	    .step_factor = 1,
	    .prefill_factor = 1};

	engine->layers = 4;
	engine->layer_bytes = 1;
	engine->token_bytes = 4;
	engine->batch_max = 8;
	engine->stride = 1;
	engine->step_usec = 1;
	engine->prefill_chunk_tokens = 1;
	engine->load_usec = 1;
	engine->loads_at_once = 1;
	engine->usual_prompt_tokens = 1;
	engine->usual_output_tokens = 1;
	g_array_append_val(engine->kinds, kind);
	service->name = g_strdup("model");
	service->engine = engine;
	g_hash_table_insert(config->services, service->name, service);
	return config;
}

static void
start(struct fixture *w, uint64_t era)
{
	char ip[INET_ADDRSTRLEN];
	struct gossip_config gossip = {.name = "node-1",
	    .ip = ip,
	    .port = loopback_next_port(),
	    .front = "127.0.0.1:1",
	    .place = "z1",
	    .boot = 7,
	    .ops = &gossip_ops};
	struct planner_config planner = {
	    .adapter = &adapter, .identity = IDENTITY};

	memset(w, 0, sizeof(*w));
	w->kv.vtable = &store_vtable;
	w->era = era;
	w->http_status = HTTP_ACCEPTED;
	w->limits = (struct h1_limits){
	    4096, 30 * LOOP_USEC_PER_SEC, 30 * LOOP_USEC_PER_SEC};
	w->port = loopback_next_port();
	loopback_format_own_address(ip);
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(h1_create(w->loop, &w->h1), STATUS_OK);
	ck_assert_int_eq(h1_listen(w->h1, ip, w->port, &w->limits, &server_ops,
			     w, &w->listener),
	    STATUS_OK);
	w->pool = pool_new();
	w->quarantine = quarantine_new(NULL, NULL);
	gossip.quarantine = w->quarantine;
	ck_assert_int_eq(
	    gossip_create(w->loop, &gossip, w->pool, &w->gossip), STATUS_OK);
	w->config = config_with_model();
	planner.loop = w->loop;
	planner.kv = &w->kv;
	planner.h1 = w->h1;
	planner.gossip = w->gossip;
	planner.pool = w->pool;
	ck_assert_int_eq(planner_create(&planner, &w->planner), STATUS_OK);
	restart_server(w);
}

static void
stop(struct fixture *w)
{
	planner_destroy(w->planner);
	gossip_destroy(w->gossip);
	quarantine_free(w->quarantine);
	pool_free(w->pool);
	fleet_config_unref(w->config);
	h1_listener_destroy(w->listener);
	h1_destroy(w->h1);
	loop_destroy(w->loop);
}

/*
 * Responds to the call of the store that is in progress, if it is of a kind.
 */
static void
respond(struct fixture *w, enum kv_kind kind, enum status status,
    uint64_t version, const char *holder)
{
	struct kv_result result = {.status = status,
	    .era = w->era,
	    .version = version,
	    .value = lstr_from(holder),
	    .lease = lstr_from("lease")};
	kv_done_fn fn = w->fn;

	ck_assert_ptr_nonnull(fn);
	ck_assert_int_eq(w->kind, kind);
	w->fn = NULL;
	fn(&result, w->arg);
}

/*
 * Runs one round, in which the lease is renewed if it is due.
 */
static void
run_round(struct fixture *w)
{
	planner_tick(w->planner, w->config);
	loop_run_once(w->loop, loop_now(w->loop) + LOOP_USEC_PER_MSEC);
	if (w->fn != NULL && w->kind == KV_LEASE_RENEW)
		respond(w, KV_LEASE_RENEW, STATUS_OK, 0, NULL);
}

static void
run_for(struct fixture *w, int64_t usec)
{
	int64_t end = loop_now(w->loop) + usec;

	while (loop_now(w->loop) < end)
		run_round(w);
}

/*
 * Runs until the planner calls the store other than for a renewal.
 */
static void
wait_for_call(struct fixture *w)
{
	int64_t end = loop_now(w->loop) + HARNESS_DEADLINE_USEC;

	while (w->fn == NULL && loop_now(w->loop) < end)
		run_round(w);
	ck_assert_ptr_nonnull(w->fn);
}

/*
 * Lets the planner be elected with a version of its key.
 */
static void
elect(struct fixture *w, uint64_t version)
{
	wait_for_call(w);
	respond(w, KV_LEASE_GRANT, STATUS_OK, 0, NULL);
	respond(w, KV_PUT, STATUS_OK, version, NULL);
}

/*
 * Runs until a further order is sent and returns its fencing token.
 */
static uint64_t
next_token(struct fixture *w)
{
	int64_t end = loop_now(w->loop) + HARNESS_DEADLINE_USEC;
	unsigned int before = orders;

	restart_server(w);
	while (orders == before && loop_now(w->loop) < end)
		run_round(w);
	ck_assert_uint_gt(orders, before);
	return order_token;
}

/* Guards against orders that all servers refuse after a restore of the store:
 * the new planner's token was lower than one that they had seen. */
START_TEST(fencing_tokens_rise_across_eras)
{
	struct fixture w;
	uint64_t first;
	uint64_t second;

	start(&w, 1);
	elect(&w, 900);
	first = next_token(&w);
	run_for(&w, LOOP_USEC_PER_SEC / 4);
	w.era = 2;
	elect(&w, 20);
	second = next_token(&w);
	ck_assert_uint_gt(second, first);
	ck_assert_uint_lt(second, (uint64_t)1 << 53);
	stop(&w);
}
END_TEST

/* Guards against a planner that orders again with a token that a server has
 * refused, and against one below it from a store without eras. */
START_TEST(refused_token_is_not_used_again)
{
	struct fixture w;
	uint64_t first;

	start(&w, 0);
	elect(&w, 900);
	w.http_status = HTTP_FENCED;
	first = next_token(&w);
	run_for(&w, LOOP_USEC_PER_SEC / 4);
	ck_assert(!planner_is_leader(w.planner));
	ck_assert_uint_eq(w.removals, 1);
	elect(&w, 20);
	ck_assert_uint_gt(next_token(&w), first);
	stop(&w);
}
END_TEST

/* Guards against a token that another planner may have used in a lost history
 * of a store without eras. */
START_TEST(token_is_higher_than_those_seen)
{
	struct fixture w;

	start(&w, 0);
	planner_note_holder(
	    w.planner, lstr_from("node-2#3"), (struct store_position){0, 900});
	planner_note_holder(
	    w.planner, lstr_make("", 0), (struct store_position){0, 0});
	elect(&w, 20);
	ck_assert_uint_gt(next_token(&w), 900);
	stop(&w);
}
END_TEST

/* Guards against two planners after a restore of the store: the earlier one may
 * still send orders by its memory when another one is elected. */
START_TEST(other_node_waits_for_the_earlier_planner)
{
	struct fixture w;
	int64_t learned_at;

	start(&w, 2);
	planner_note_holder(
	    w.planner, lstr_from("node-2#3"), (struct store_position){1, 900});
	planner_note_era(w.planner, 2);
	learned_at = loop_now(w.loop);
	planner_note_holder(
	    w.planner, lstr_make("", 0), (struct store_position){0, 0});
	elect(&w, 20);
	while (!planner_is_leader(w.planner))
		run_round(&w);
	ck_assert_int_ge(loop_now(w.loop) - learned_at, PLANNER_TTL_USEC);
	ck_assert_uint_eq(orders, 0);
	stop(&w);
}
END_TEST

/* Guards against two planners: this one learns of the restore only from the
 * responses to its own election. */
START_TEST(node_elected_in_a_new_era_waits)
{
	struct fixture w;
	int64_t learned_at;

	start(&w, 1);
	planner_note_era(w.planner, 1);
	wait_for_call(&w);
	w.era = 2;
	learned_at = loop_now(w.loop);
	elect(&w, 20);
	ck_assert(!planner_is_leader(w.planner));
	while (!planner_is_leader(w.planner))
		run_round(&w);
	ck_assert_int_ge(loop_now(w.loop) - learned_at, PLANNER_TTL_USEC);
	stop(&w);
}
END_TEST

/* Guards against a fleet without a planner while the lock of a restored store
 * is left to expire, and against orders by a list of servers that is as old as
 * the copy. */
START_TEST(planner_takes_its_lock_again_after_a_restore)
{
	struct fixture w;
	int64_t learned_at;

	start(&w, 1);
	elect(&w, 900);
	next_token(&w);
	w.era = 2;
	learned_at = loop_now(w.loop);
	planner_note_era(w.planner, 2);
	ck_assert(!planner_is_leader(w.planner));
	wait_for_call(&w);
	respond(&w, KV_LEASE_GRANT, STATUS_OK, 0, NULL);
	respond(&w, KV_PUT, STATUS_CONFLICT, 10, NULL);
	respond(&w, KV_GET, STATUS_OK, 10, IDENTITY);
	respond(&w, KV_PUT, STATUS_OK, 20, NULL);
	ck_assert_int_lt(loop_now(w.loop) - learned_at, LOOP_USEC_PER_SEC / 2);
	next_token(&w);
	ck_assert_int_ge(loop_now(w.loop) - learned_at, PLANNER_RESYNC_USEC);
	ck_assert_int_lt(loop_now(w.loop) - learned_at, PLANNER_TTL_USEC);
	stop(&w);
}
END_TEST

/* Guards against a planner that goes on while the store shows another one. */
START_TEST(planner_resigns_when_another_one_is_shown)
{
	struct fixture w;

	start(&w, 1);
	elect(&w, 900);
	planner_note_holder(
	    w.planner, lstr_from("node-2#3"), (struct store_position){1, 890});
	ck_assert(planner_is_leader(w.planner));
	planner_note_holder(
	    w.planner, lstr_from("node-2#3"), (struct store_position){1, 910});
	ck_assert(!planner_is_leader(w.planner));
	stop(&w);
}
END_TEST

/* Guards against a node that is not elected, as a peer's late message still
 * shows the holder of an earlier era. */
START_TEST(holder_of_an_earlier_era_is_ignored)
{
	struct fixture w;

	start(&w, 2);
	planner_note_era(w.planner, 2);
	planner_note_holder(
	    w.planner, lstr_from("node-2#3"), (struct store_position){1, 900});
	run_for(&w, LOOP_USEC_PER_SEC / 2);
	ck_assert_ptr_nonnull(w.fn);
	elect(&w, 20);
	ck_assert(planner_is_leader(w.planner));
	stop(&w);
}
END_TEST

/* Guards against a planner that resigns because a server refuses, late, an
 * order from before its last election. */
START_TEST(refusal_of_an_earlier_token_is_no_reason_to_resign)
{
	struct fixture w;

	start(&w, 1);
	elect(&w, 900);
	w.hold_responses = true;
	w.http_status = HTTP_FENCED;
	next_token(&w);
	while (w.request == NULL)
		run_round(&w);
	w.era = 2;
	planner_note_era(w.planner, 2);
	elect(&w, 20);
	answer_order(&w);
	run_for(&w, PLANNER_RESYNC_USEC + LOOP_USEC_PER_SEC / 10);
	ck_assert_uint_eq(planner_counts(w.planner)->fenced, 1);
	ck_assert_uint_eq(w.removals, 0);
	ck_assert(planner_is_leader(w.planner));
	stop(&w);
}
END_TEST

HARNESS_MAIN("planner", fencing_tokens_rise_across_eras,
    refused_token_is_not_used_again, token_is_higher_than_those_seen,
    other_node_waits_for_the_earlier_planner, node_elected_in_a_new_era_waits,
    planner_takes_its_lock_again_after_a_restore,
    planner_resigns_when_another_one_is_shown,
    refusal_of_an_earlier_token_is_no_reason_to_resign,
    holder_of_an_earlier_era_is_ignored)
