#include "harness.h"

#include <string.h>

#include "cluster.h"
#include "log.h"
#include "record.h"
#include "sample.h"

#define NODES 3
#define CONFIG_SPREAD_LIMIT_USEC (6 * LOOP_USEC_PER_SEC)
/*
 * G5: an instance gets no new work later than 5 s after the first source
 * reports it as leaving.
 */
#define LEAVING_LIMIT_USEC (5 * LOOP_USEC_PER_SEC)
#define CLAIM_TIMEOUT_USEC (10 * LOOP_USEC_PER_SEC)

static const struct sample_size size = {2, 6, 2, 5};

/* A fake router of a node, connected to its syncd. */
struct router {
	struct cluster *cluster;
	struct link_context context;
	Ch__Hello hello;
	char node[16];
	struct peer *peer;
	uint64_t sequence;
	bool replied;
	Ch__ClaimResult result;
	uint64_t acked;
	uint32_t stored;
	size_t members;
	uint64_t revision;
	bool leaving;
};

static void
on_up(struct peer *peer, void *arg)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Subscribe message = CH__SUBSCRIBE__INIT;

	(void)arg;
	message.role = CH__ROLE__ROLE_ROUTER;
	frame.kind_case = CH__FRAME__KIND_SUBSCRIBE;
	frame.subscribe = &message;
	peer_send(peer, &frame);
}

static void
on_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	struct router *r = arg;

	(void)peer;
	if (frame->kind_case == CH__FRAME__KIND_CLAIM_REPLY &&
	    frame->claim_reply->sequence == r->sequence) {
		r->replied = true;
		r->result = frame->claim_reply->result;
	} else if (frame->kind_case == CH__FRAME__KIND_RECORD_ACK) {
		r->acked = frame->record_ack->sequence;
	} else if (frame->kind_case == CH__FRAME__KIND_RECORD_STORED) {
		r->stored = frame->record_stored->segment;
	} else if (frame->kind_case == CH__FRAME__KIND_VIEW) {
		r->members = frame->view->n_members;
	} else if (frame->kind_case == CH__FRAME__KIND_CONFIG_UPDATE) {
		r->revision = frame->config_update->revision;
	} else if (frame->kind_case == CH__FRAME__KIND_INSTANCES) {
		r->leaving = frame->instances->n_items > 0;
	}
}

static void
on_down(struct peer *peer, enum status status, void *arg)
{
	(void)peer;
	(void)status;
	(void)arg;
}

static const struct peer_ops router_ops = {on_up, on_frame, on_down, NULL};

static bool
router_is_up(void *arg)
{
	return peer_is_up(((struct router *)arg)->peer);
}

static void
router_start(struct router *r, struct cluster *c, int node)
{
	memset(r, 0, sizeof(*r));
	r->cluster = c;
	snprintf(r->node, sizeof(r->node), "n%d", node);
	ch__hello__init(&r->hello);
	r->hello.node = r->node;
	r->hello.role = CH__ROLE__ROLE_ROUTER;
	r->hello.protocol = LINK_PROTOCOL;
	r->hello.boot = 7;
	r->context.loop = c->loop;
	r->context.hello = &r->hello;
	r->context.silence_limit_usec = LINK_SILENCE_LIMIT_USEC;
	r->context.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	ck_assert_int_eq(
	    frame_key_from_hex(CLUSTER_KEY, r->context.key), STATUS_OK);
	ck_assert_int_eq(
	    peer_create(&r->context, c->frames[node], &router_ops, r, &r->peer),
	    STATUS_OK);
	ck_assert(harness_wait(c->loop, router_is_up, r));
}

static bool
is_replied(void *arg)
{
	return ((struct router *)arg)->replied;
}

/*
 * Requests a claim and returns the result.
 */
static Ch__ClaimResult
request_claim(struct router *r, char identity, char token)
{
	uint8_t id[16];
	uint8_t tok[16];
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ClaimRequest message = CH__CLAIM_REQUEST__INIT;
	int64_t now = loop_now(r->cluster->loop);

	memset(id, identity, sizeof(id));
	memset(tok, token, sizeof(tok));
	message.sequence = ++r->sequence;
	message.identity.data = id;
	message.identity.len = sizeof(id);
	message.token.data = tok;
	message.token.len = sizeof(tok);
	message.expiry = now + 120 * LOOP_USEC_PER_SEC;
	message.deadline = now + CLAIM_TIMEOUT_USEC;
	frame.kind_case = CH__FRAME__KIND_CLAIM_REQUEST;
	frame.claim_request = &message;
	r->replied = false;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
	ck_assert(harness_wait(r->cluster->loop, is_replied, r));
	return r->result;
}

/*
 * Posts the sample configuration with a changed instance address.
 */
static long
publish(struct cluster *c, int node, int base, const char *change,
    const char *address)
{
	json_t *inventory = sample_inventory(&size);

	sample_set_instance_address(inventory, 0, address);
	return cluster_call(c, "POST", c->operators[node], "/v1/config",
	    json_pack("{s:i, s:s, s:o, s:o}", "base", base, "change", change,
		"inventory", inventory, "rules", sample_rules(&size)));
}

/*
 * Posts the sample configuration with a changed claim window of its first
 * service.
 */
static long
publish_window(struct cluster *c, int base, const char *change, int window_msec)
{
	json_t *inventory = sample_inventory(&size);

	json_object_set_new(
	    json_array_get(json_object_get(inventory, "services"), 0),
	    "window_ms", json_integer(window_msec));
	return cluster_call(c, "POST", c->operators[0], "/v1/config",
	    json_pack("{s:i, s:s, s:o, s:o}", "base", base, "change", change,
		"inventory", inventory, "rules", sample_rules(&size)));
}

/*
 * Waits until a revision is active on all nodes and returns how long that
 * took, in microseconds.
 */
static int64_t
wait_revision(struct cluster *c, int revision)
{
	int64_t begin = loop_now(c->loop);

	for (int i = 0; i < c->count; i++) {
		do {
			ck_assert_int_lt(
			    loop_now(c->loop) - begin, HARNESS_DEADLINE_USEC);
			cluster_call(
			    c, "GET", c->operators[i], "/v1/config", NULL);
		} while (c->http_status != 200 ||
		    json_integer_value(
			json_object_get(c->response, "revision")) < revision);
	}
	return loop_now(c->loop) - begin;
}

/*
 * Guards against configurations that reach only some nodes, and against
 * overwriting a change that the operator has not seen.
 */
START_TEST(configuration_reaches_all_nodes)
{
	struct cluster c;
	int64_t elapsed_usec;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	ck_assert_int_eq(publish(&c, 0, 0, "one", "10.0.0.1:1"), 200);
	elapsed_usec = wait_revision(&c, 1);
	ck_assert_int_le(elapsed_usec, CONFIG_SPREAD_LIMIT_USEC);
	ck_assert_int_eq(publish(&c, 2, 1, "two", "10.0.0.1:2"), 200);
	elapsed_usec = wait_revision(&c, 2);
	printf("in force everywhere after %lld ms\n",
	    (long long)(elapsed_usec / LOOP_USEC_PER_MSEC));
	ck_assert_int_le(elapsed_usec, CONFIG_SPREAD_LIMIT_USEC);
	ck_assert_int_eq(publish(&c, 1, 1, "three", "10.0.0.1:3"), 409);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(c.response, "revision")), 2);
	/* A repeated change ID is recognised as the same change. */
	ck_assert_int_eq(publish(&c, 1, 1, "two", "10.0.0.1:2"), 200);
	ck_assert_int_eq(cluster_call(&c, "POST", c.operators[0], "/v1/config",
			     json_pack("{s:i, s:s, s:{}, s:{}}", "base", 2,
				 "change", "x", "inventory", "rules")),
	    400);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against reporting a change as refused when only the response was lost.
 */
START_TEST(change_with_lost_answers_is_accepted_once)
{
	struct cluster c;

	cluster_start(&c, 1);
	cluster_wait_members(&c, 1);
	cluster_fault(&c, "lose-answers");
	ck_assert_int_eq(publish(&c, 0, 0, "one", "10.0.0.1:1"), 200);
	cluster_fault(&c, "none");
	ck_assert_int_eq(publish(&c, 0, 0, "other", "10.0.0.1:1"), 409);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against refusing a change that was accepted, whose response was lost
 * and that was superseded before the operator retried it.
 */
START_TEST(superseded_change_is_recognised)
{
	struct cluster c;

	cluster_start(&c, 1);
	cluster_wait_members(&c, 1);
	ck_assert_int_eq(publish(&c, 0, 0, "one", "10.0.0.1:1"), 200);
	ck_assert_int_eq(publish(&c, 0, 1, "two", "10.0.0.2:1"), 200);
	ck_assert_int_eq(publish(&c, 0, 0, "one", "10.0.0.1:1"), 200);
	ck_assert_int_eq(publish(&c, 0, 0, "other", "10.0.0.1:1"), 409);
	ck_assert_int_eq(publish(&c, 0, 2, "three", "10.0.0.3:1"), 200);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against an idempotency key that becomes valid again because the claim
 * window of its service grew after its claim was dropped.
 */
START_TEST(claim_window_cannot_grow)
{
	struct cluster c;

	cluster_start(&c, 1);
	cluster_wait_members(&c, 1);
	ck_assert_int_eq(publish_window(&c, 0, "one", 120000), 200);
	ck_assert_int_eq(publish_window(&c, 1, "two", 120001), 400);
	ck_assert_int_eq(publish_window(&c, 1, "three", 60000), 200);
	ck_assert_int_eq(publish_window(&c, 2, "four", 120000), 400);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against two routers that claim the same request, also after the owner
 * of the bucket dies.
 */
START_TEST(claims_are_exclusive_across_nodes)
{
	static const char identities[] = "abcdefgh";
	struct cluster c;
	struct router first;
	struct router second;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	router_start(&first, &c, 0);
	router_start(&second, &c, 1);
	for (const char *i = identities; *i != '\0'; i++) {
		ck_assert_int_eq(request_claim(&first, *i, '1'),
		    CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED);
		ck_assert_int_eq(request_claim(&second, *i, '2'),
		    CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE);
	}
	child_kill(&c.syncds[2]);
	for (const char *i = identities; *i != '\0'; i++)
		ck_assert_int_eq(request_claim(&second, *i, '3'),
		    CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE);
	ck_assert_int_eq(request_claim(&second, 'z', '3'),
	    CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED);
	peer_destroy(first.peer);
	peer_destroy(second.peer);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against claims that hang or are granted while the service is down, and
 * against a cluster that does not recover.
 */
START_TEST(outage_refuses_claims_and_changes)
{
	struct cluster c;
	struct router router;
	int64_t deadline;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	ck_assert_int_eq(publish(&c, 0, 0, "one", "10.0.0.1:1"), 200);
	wait_revision(&c, 1);
	router_start(&router, &c, 0);
	cluster_fault(&c, "outage");
	ck_assert_int_eq(request_claim(&router, 'a', '1'),
	    CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE);
	ck_assert_int_eq(publish(&c, 1, 1, "two", "10.0.0.1:2"), 503);
	ck_assert_int_eq(cluster_members(&c, 1, "live"), NODES);
	cluster_fault(&c, "none");
	deadline = loop_now(c.loop) + HARNESS_DEADLINE_USEC;
	while (request_claim(&router, 'a', '2') !=
	    CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED)
		ck_assert_int_lt(loop_now(c.loop), deadline);
	ck_assert_int_eq(publish(&c, 1, 1, "two", "10.0.0.1:2"), 200);
	wait_revision(&c, 2);
	peer_destroy(router.peer);
	cluster_stop(&c);
}
END_TEST

/* Guards against a new node that cannot start while the service is down. */
START_TEST(new_node_reads_from_a_peer)
{
	struct cluster c;

	cluster_start(&c, 2);
	cluster_wait_members(&c, 2);
	ck_assert_int_eq(publish(&c, 0, 0, "one", "10.0.0.1:1"), 200);
	wait_revision(&c, 1);
	cluster_fault(&c, "outage");
	c.count = 3;
	cluster_start_syncd(&c, 2, "a");
	wait_revision(&c, 1);
	ck_assert_int_ge(cluster_members(&c, 2, "live"), 2);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against a dead node that continues to own work, and a new boot that is
 * not accepted.
 */
START_TEST(dead_node_is_suspected_and_removed)
{
	struct cluster c;
	int64_t begin;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	child_kill(&c.syncds[1]);
	begin = loop_now(c.loop);
	while (cluster_members(&c, 0, "live") != NODES - 1 ||
	    cluster_members(&c, 2, "live") != NODES - 1)
		ck_assert_int_lt(
		    loop_now(c.loop) - begin, HARNESS_DEADLINE_USEC);
	printf("no longer live after %lld ms\n",
	    (long long)((loop_now(c.loop) - begin) / LOOP_USEC_PER_MSEC));
	while (cluster_members(&c, 0, "suspected") != 0)
		ck_assert_int_lt(
		    loop_now(c.loop) - begin, HARNESS_DEADLINE_USEC);
	cluster_start_syncd(&c, 1, "a");
	cluster_wait_members(&c, NODES);
	cluster_stop(&c);
}
END_TEST

static bool
is_leaving(void *arg)
{
	return ((struct router *)arg)->leaving;
}

/*
 * Reports an instance as leaving, as a router does.
 */
static void
report_leaving(struct router *r, const char *name)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Instances message = CH__INSTANCES__INIT;
	Ch__Instance item = CH__INSTANCE__INIT;
	Ch__Instance *items[] = {&item};

	item.name = (char *)name;
	item.leaving = true;
	message.source = r->node;
	message.items = items;
	message.n_items = 1;
	frame.kind_case = CH__FRAME__KIND_INSTANCES;
	frame.instances = &message;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
}

/*
 * Guards against sending work to a leaving instance: a router's report must
 * reach the routers of all nodes within LEAVING_LIMIT_USEC.
 */
START_TEST(leaving_instances_reach_all_routers)
{
	struct cluster c;
	struct router first;
	struct router other;
	int64_t begin;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	router_start(&first, &c, 0);
	router_start(&other, &c, 2);
	begin = loop_now(c.loop);
	report_leaving(&first, "i00001-0");
	ck_assert(harness_wait(c.loop, is_leaving, &other));
	ck_assert_int_le(loop_now(c.loop) - begin, LEAVING_LIMIT_USEC);
	peer_destroy(first.peer);
	peer_destroy(other.peer);
	cluster_stop(&c);
}
END_TEST

/* Guards against a change of the instance list that only watchers learn of. */
START_TEST(list_reaches_all_routers)
{
	struct cluster c;
	struct router routers[NODES];
	int64_t begin;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	for (int i = 0; i < NODES; i++)
		router_start(&routers[i], &c, i);
	begin = loop_now(c.loop);
	ck_assert_int_eq(cluster_call(&c, "POST", c.list_address, "/v1/set",
			     json_pack("{s:s, s:s}", "name", "i00001-0",
				 "state", "leaving")),
	    200);
	for (int i = 0; i < NODES; i++) {
		ck_assert(harness_wait(c.loop, is_leaving, &routers[i]));
		ck_assert_int_le(loop_now(c.loop) - begin, LEAVING_LIMIT_USEC);
	}
	printf("leaving known to all routers after %lld ms\n",
	    (long long)((loop_now(c.loop) - begin) / LOOP_USEC_PER_MSEC));
	for (int i = 0; i < NODES; i++)
		peer_destroy(routers[i].peer);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against a stopped node that stays in the view, and a stop that never
 * ends.
 */
START_TEST(stopped_node_leaves_at_once)
{
	struct cluster c;
	int64_t deadline;
	int status = -1;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	ck_assert_int_eq(kill(c.syncds[1].pid, SIGTERM), 0);
	deadline = loop_now(c.loop) + HARNESS_DEADLINE_USEC;
	while (waitpid(c.syncds[1].pid, &status, WNOHANG) == 0) {
		loop_run_once(c.loop, loop_now(c.loop) + LOOP_USEC_PER_MSEC);
		ck_assert_int_lt(loop_now(c.loop), deadline);
	}
	c.syncds[1].pid = 0;
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), 0);
	while (cluster_members(&c, 0, "live") != NODES - 1 ||
	    cluster_members(&c, 0, "suspected") != 0)
		ck_assert_int_lt(loop_now(c.loop), deadline);
	cluster_stop(&c);
}
END_TEST

/*
 * Announces a public key of a router's record, which its syncd then stores.
 */
static void
announce_key(struct router *r)
{
	uint8_t key[REC_PUBLIC_KEY_BYTES] = {1};
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RoleState state = CH__ROLE_STATE__INIT;

	state.role = CH__ROLE__ROLE_ROUTER;
	state.address = "10.0.0.1:1";
	state.boot = r->hello.boot;
	state.record_key.data = key;
	state.record_key.len = sizeof(key);
	frame.kind_case = CH__FRAME__KIND_ROLE_STATE;
	frame.role_state = &state;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
}

/*
 * Guards against a syncd that never stops because its queued values cannot be
 * stored.
 */
START_TEST(outage_does_not_block_a_stop)
{
	struct cluster c;
	struct router r;
	int64_t deadline;
	int status = -1;

	cluster_start(&c, 1);
	cluster_wait_members(&c, 1);
	cluster_fault(&c, "outage");
	router_start(&r, &c, 0);
	announce_key(&r);
	/*
	 * Frames are handled in order, so the key is queued once this reply
	 * arrives.
	 */
	ck_assert_int_eq(request_claim(&r, 'a', '1'),
	    CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE);
	peer_destroy(r.peer);
	ck_assert_int_eq(kill(c.syncds[0].pid, SIGTERM), 0);
	deadline = loop_now(c.loop) + HARNESS_DEADLINE_USEC;
	while (waitpid(c.syncds[0].pid, &status, WNOHANG) == 0) {
		loop_run_once(c.loop, loop_now(c.loop) + LOOP_USEC_PER_MSEC);
		ck_assert_int_lt(loop_now(c.loop), deadline);
	}
	c.syncds[0].pid = 0;
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), 0);
	cluster_stop(&c);
}
END_TEST

static bool
is_acked(void *arg)
{
	return ((struct router *)arg)->acked > 0;
}

static bool
is_stored(void *arg)
{
	return ((struct router *)arg)->stored > 0;
}

/*
 * Sends the next copy of a record to the syncd.
 */
static void
send_copy(struct router *r, struct rec *rec)
{
	Ch__Frame frame = CH__FRAME__INIT;

	ck_assert_int_eq(rec_next_copy(rec, &frame.record_append), STATUS_OK);
	frame.kind_case = CH__FRAME__KIND_RECORD_APPEND;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
	ch__record_append__free_unpacked(frame.record_append, NULL);
}

/*
 * Announces a ready router with the public key of its record.
 */
static void
announce_router(struct router *r, const struct rec *rec)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RoleState message = CH__ROLE_STATE__INIT;

	message.role = CH__ROLE__ROLE_ROUTER;
	message.address = (char *)"127.0.0.1:9";
	message.ready = true;
	message.boot = r->hello.boot;
	message.record_key.data = (uint8_t *)rec_public_key(rec);
	message.record_key.len = REC_PUBLIC_KEY_BYTES;
	frame.kind_case = CH__FRAME__KIND_ROLE_STATE;
	frame.role_state = &message;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
}

/*
 * Returns how many stored segments node n0's record has according to a node, or
 * -1 while its public key is not stored.
 */
static int
segment_count(struct cluster *c, int node)
{
	const json_t *record;

	if (cluster_call(c, "GET", c->operators[node], "/v1/records?node=n0",
		NULL) != 200)
		return -1;
	record = json_array_get(json_object_get(c->response, "records"), 0);
	if (json_string_length(json_object_get(record, "public_key")) !=
	    2 * REC_PUBLIC_KEY_BYTES)
		return -1;
	return (int)json_array_size(json_object_get(record, "segments"));
}

/*
 * Guards against losing entries in a crash: the copy is acknowledged, the
 * segment is stored, and the remaining entries of a dead router are stored by
 * its record peer.
 */
START_TEST(record_survives_its_router)
{
	struct cluster c;
	struct router router;
	struct rec *rec = NULL;
	struct rec_event event = {.organisation = lstr_from("o"),
	    .request = lstr_from("r"),
	    .replica = lstr_from("x"),
	    .reason = CH__RECORD_REASON__RECORD_REASON_ARRIVAL};
	Ch__Frame frame = CH__FRAME__INIT;
	uint64_t sequence;
	int64_t deadline;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	router_start(&router, &c, 0);
	ck_assert_int_eq(rec_create("n0", router.hello.boot, &rec), STATUS_OK);
	announce_router(&router, rec);
	ck_assert_int_eq(rec_append(rec, &event, &sequence), STATUS_OK);
	send_copy(&router, rec);
	ck_assert(harness_wait(c.loop, is_acked, &router));
	ck_assert_uint_eq(router.acked, sequence);
	rec_handle_ack(rec, sequence);
	ck_assert_int_eq(rec_close_segment(rec, loop_now(c.loop)), STATUS_OK);
	ck_assert_int_eq(rec_next_store(rec, &frame.record_store), STATUS_OK);
	frame.kind_case = CH__FRAME__KIND_RECORD_STORE;
	ck_assert_int_eq(peer_send(router.peer, &frame), STATUS_OK);
	ch__record_store__free_unpacked(frame.record_store, NULL);
	ck_assert(harness_wait(c.loop, is_stored, &router));
	rec_handle_stored(rec, router.stored);
	ck_assert_int_eq(segment_count(&c, 1), 1);
	/* The next entry is only copied; then the router dies. */
	ck_assert_int_eq(rec_append(rec, &event, &sequence), STATUS_OK);
	router.acked = 0;
	send_copy(&router, rec);
	ck_assert(harness_wait(c.loop, is_acked, &router));
	peer_destroy(router.peer);
	deadline = loop_now(c.loop) + HARNESS_DEADLINE_USEC;
	while (segment_count(&c, 1) != 2)
		ck_assert_int_lt(loop_now(c.loop), deadline);
	rec_destroy(rec);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against copies that are lost with the connection to their record peer
 * and never acknowledged.
 */
START_TEST(copies_are_resent)
{
	struct cluster c;
	struct router router;
	struct rec *rec = NULL;
	struct rec_event event = {.organisation = lstr_from("o"),
	    .request = lstr_from("r"),
	    .replica = lstr_from("x"),
	    .reason = CH__RECORD_REASON__RECORD_REASON_ARRIVAL};
	uint64_t sequence;

	cluster_start(&c, NODES);
	cluster_wait_members(&c, NODES);
	router_start(&router, &c, 0);
	ck_assert_int_eq(rec_create("n0", router.hello.boot, &rec), STATUS_OK);
	announce_router(&router, rec);
	/* The only node of the other data centre keeps the copies. */
	child_kill(&c.syncds[2]);
	ck_assert_int_eq(rec_append(rec, &event, &sequence), STATUS_OK);
	send_copy(&router, rec);
	cluster_start_syncd(&c, 2, "b");
	ck_assert(harness_wait(c.loop, is_acked, &router));
	ck_assert_uint_eq(router.acked, sequence);
	peer_destroy(router.peer);
	rec_destroy(rec);
	cluster_stop(&c);
}
END_TEST

HARNESS_MAIN("syncd", configuration_reaches_all_nodes,
    change_with_lost_answers_is_accepted_once, superseded_change_is_recognised,
    claim_window_cannot_grow, claims_are_exclusive_across_nodes,
    outage_refuses_claims_and_changes, new_node_reads_from_a_peer,
    dead_node_is_suspected_and_removed, leaving_instances_reach_all_routers,
    list_reaches_all_routers, stopped_node_leaves_at_once,
    outage_does_not_block_a_stop, record_survives_its_router, copies_are_resent)
