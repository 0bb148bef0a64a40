#ifndef CH_TEST_RECORD_ROUTER_H
#define CH_TEST_RECORD_ROUTER_H

#include <string.h>

#include "cluster.h"
#include "ctl.h"
#include "record.h"

#define ROUTER_NODES 3
#define ROUTER_BOOT 7
#define RECORDS_PATH "/v1/records?node=n0"

/* A fake router of node n0, connected to the syncd of that node. */
struct router {
	struct cluster cluster;
	struct link_context context;
	Ch__Hello hello;
	struct peer *peer;
	struct rec *rec;
	uint64_t acked;
	uint32_t stored;
};

static inline void
on_up(struct peer *peer, void *arg)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RoleState message = CH__ROLE_STATE__INIT;
	struct router *r = arg;

	message.role = CH__ROLE__ROLE_ROUTER;
	message.address = (char *)"127.0.0.1:9";
	message.ready = true;
	message.boot = ROUTER_BOOT;
	message.record_key.data = (uint8_t *)rec_public_key(r->rec);
	message.record_key.len = REC_PUBLIC_KEY_BYTES;
	frame.kind_case = CH__FRAME__KIND_ROLE_STATE;
	frame.role_state = &message;
	ck_assert_int_eq(peer_send(peer, &frame), STATUS_OK);
}

static inline void
on_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	struct router *r = arg;

	(void)peer;
	if (frame->kind_case == CH__FRAME__KIND_RECORD_ACK)
		r->acked = frame->record_ack->sequence;
	else if (frame->kind_case == CH__FRAME__KIND_RECORD_STORED)
		r->stored = frame->record_stored->segment;
}

static inline void
on_down(struct peer *peer, enum status status, void *arg)
{
	(void)peer;
	(void)status;
	(void)arg;
}

static inline bool
is_up(void *arg)
{
	return peer_is_up(((struct router *)arg)->peer);
}

/*
 * Connects the fake router to its syncd.
 */
static inline void
router_connect(struct router *r)
{
	static const struct peer_ops ops = {on_up, on_frame, on_down, NULL};

	ck_assert_int_eq(
	    peer_create(&r->context, r->cluster.frames[0], &ops, r, &r->peer),
	    STATUS_OK);
	ck_assert(harness_wait(r->cluster.loop, is_up, r));
}

/*
 * Starts the cluster and the fake router with an empty record.
 */
static inline void
router_start(struct router *r)
{
	memset(r, 0, sizeof(*r));
	cluster_start(&r->cluster, ROUTER_NODES);
	cluster_wait_members(&r->cluster, ROUTER_NODES);
	ch__hello__init(&r->hello);
	r->hello.node = (char *)"n0";
	r->hello.role = CH__ROLE__ROLE_ROUTER;
	r->hello.protocol = LINK_PROTOCOL;
	r->hello.boot = ROUTER_BOOT;
	r->context.loop = r->cluster.loop;
	r->context.hello = &r->hello;
	r->context.silence_limit_usec = LINK_SILENCE_LIMIT_USEC;
	r->context.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	ck_assert_int_eq(
	    frame_key_from_hex(CLUSTER_KEY, r->context.key), STATUS_OK);
	ck_assert_int_eq(rec_create("n0", ROUTER_BOOT, &r->rec), STATUS_OK);
	router_connect(r);
}

/*
 * Stops the fake router and the cluster.
 */
static inline void
router_stop(struct router *r)
{
	if (r->peer != NULL)
		peer_destroy(r->peer);
	rec_destroy(r->rec);
	cluster_stop(&r->cluster);
}

/*
 * Appends an entry for a request and returns its sequence number.
 */
static inline uint64_t
append(struct router *r, const char *request)
{
	struct rec_event event = {.organisation = lstr_from("o"),
	    .request = lstr_from(request),
	    .replica = lstr_from("x"),
	    .reason = CH__RECORD_REASON__RECORD_REASON_ARRIVAL};
	uint64_t sequence = 0;

	ck_assert_int_eq(rec_append(r->rec, &event, &sequence), STATUS_OK);
	return sequence;
}

/*
 * Appends an entry for a request and waits until the peer holds it.
 */
static inline void
append_copied(struct router *r, const char *request)
{
	Ch__Frame frame = CH__FRAME__INIT;
	uint64_t sequence = append(r, request);
	int64_t deadline = loop_now(r->cluster.loop) + HARNESS_DEADLINE_USEC;

	ck_assert_int_eq(
	    rec_next_copy(r->rec, &frame.record_append), STATUS_OK);
	frame.kind_case = CH__FRAME__KIND_RECORD_APPEND;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
	ch__record_append__free_unpacked(frame.record_append, NULL);
	while (r->acked != sequence) {
		loop_run_once(r->cluster.loop,
		    loop_now(r->cluster.loop) + LOOP_USEC_PER_MSEC);
		ck_assert_int_lt(loop_now(r->cluster.loop), deadline);
	}
	rec_handle_ack(r->rec, sequence);
}

/*
 * Closes the open segment and returns the message that stores it.
 */
static inline Ch__RecordStore *
close_segment(struct router *r)
{
	Ch__RecordStore *store = NULL;

	ck_assert_int_eq(
	    rec_close_segment(r->rec, loop_now(r->cluster.loop)), STATUS_OK);
	ck_assert_int_eq(rec_next_store(r->rec, &store), STATUS_OK);
	return store;
}

static inline bool
is_stored(void *arg)
{
	return ((struct router *)arg)->stored > 0;
}

/*
 * Sends a segment, frees it and waits until it is stored.
 */
static inline void
store_segment(struct router *r, Ch__RecordStore *store)
{
	Ch__Frame frame = CH__FRAME__INIT;

	frame.kind_case = CH__FRAME__KIND_RECORD_STORE;
	frame.record_store = store;
	r->stored = 0;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
	ch__record_store__free_unpacked(store, NULL);
	ck_assert(harness_wait(r->cluster.loop, is_stored, r));
	rec_handle_stored(r->rec, r->stored);
}

/*
 * Closes the connection of the fake router, which its syncd treats as a crash
 * of the router, and waits until the record has the given number of segments.
 */
static inline void
crash(struct router *r, size_t segments)
{
	struct cluster *c = &r->cluster;
	int64_t deadline = loop_now(c->loop) + HARNESS_DEADLINE_USEC;
	const json_t *record = NULL;

	peer_destroy(r->peer);
	r->peer = NULL;
	while (
	    json_array_size(json_object_get(record, "segments")) != segments) {
		ck_assert_int_lt(loop_now(c->loop), deadline);
		ck_assert_int_eq(
		    cluster_call(c, "GET", c->operators[1], RECORDS_PATH, NULL),
		    200);
		record =
		    json_array_get(json_object_get(c->response, "records"), 0);
	}
}

/*
 * Runs a command, given as a NULL-terminated argument list, for the record of
 * node n0 against the syncd of node n1.
 */
static inline enum ctl_exit
run_ctl(struct router *r, char **args)
{
	static const struct ctl_command *const commands[] = {
	    &ctl_record_verify_command, &ctl_record_explain_command, NULL};
	const struct ctl_options options = {.syncd = r->cluster.operators[1],
	    .node = "n0",
	    .timeout_usec = HARNESS_DEADLINE_USEC};
	struct ctl *ctl = NULL;
	enum ctl_exit result;
	int count = 0;

	while (args[count] != NULL)
		count++;
	ck_assert_int_eq(
	    ctl_create(r->cluster.loop, &options, &ctl), STATUS_OK);
	result = ctl_run(ctl, commands, count, args);
	ctl_destroy(ctl);
	return result;
}

#endif
