#include "harness.h"

#include <string.h>

#include "cluster.h"
#include "ctl.h"
#include "log.h"
#include "record.h"

#define NODES 3
#define BOOT 7
#define PATH "/v1/records?node=n0"

/* A stand-in for the router of node n0, connected to its syncd. */
struct router {
	struct cluster cluster;
	struct link_context context;
	Ch__Hello hello;
	struct peer *peer;
	struct rec *rec;
	uint64_t acked;
	uint32_t stored;
};

static void
on_up(struct peer *peer, void *arg)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RoleState message = CH__ROLE_STATE__INIT;
	struct router *r = arg;

	message.role = CH__ROLE__ROLE_ROUTER;
	message.address = (char *)"127.0.0.1:9";
	message.ready = true;
	message.boot = BOOT;
	message.record_key.data = (uint8_t *)rec_public_key(r->rec);
	message.record_key.len = REC_PUBLIC_KEY_BYTES;
	frame.kind_case = CH__FRAME__KIND_ROLE_STATE;
	frame.role_state = &message;
	ck_assert_int_eq(peer_send(peer, &frame), STATUS_OK);
}

static void
on_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	struct router *r = arg;

	(void)peer;
	if (frame->kind_case == CH__FRAME__KIND_RECORD_ACK)
		r->acked = frame->record_ack->sequence;
	else if (frame->kind_case == CH__FRAME__KIND_RECORD_STORED)
		r->stored = frame->record_stored->segment;
}

static void
on_down(struct peer *peer, enum status status, void *arg)
{
	(void)peer;
	(void)status;
	(void)arg;
}

static bool
is_up(void *arg)
{
	return peer_is_up(((struct router *)arg)->peer);
}

/*
 * Connects the stand-in to its syncd.
 */
static void
router_connect(struct router *r)
{
	static const struct peer_ops ops = {on_up, on_frame, on_down, NULL};

	ck_assert_int_eq(
	    peer_create(&r->context, r->cluster.frames[0], &ops, r, &r->peer),
	    STATUS_OK);
	ck_assert(harness_wait(r->cluster.loop, is_up, r));
}

/*
 * Starts the cluster and the stand-in with an empty record.
 */
static void
router_start(struct router *r)
{
	memset(r, 0, sizeof(*r));
	cluster_start(&r->cluster, NODES);
	cluster_wait_members(&r->cluster, NODES);
	ch__hello__init(&r->hello);
	r->hello.node = (char *)"n0";
	r->hello.role = CH__ROLE__ROLE_ROUTER;
	r->hello.protocol = LINK_PROTOCOL;
	r->hello.boot = BOOT;
	r->context.loop = r->cluster.loop;
	r->context.hello = &r->hello;
	r->context.silence_limit_usec = LINK_SILENCE_LIMIT_USEC;
	r->context.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	ck_assert_int_eq(
	    frame_key_from_hex(CLUSTER_KEY, r->context.key), STATUS_OK);
	ck_assert_int_eq(rec_create("n0", BOOT, &r->rec), STATUS_OK);
	router_connect(r);
}

/*
 * Ends the stand-in and the cluster.
 */
static void
router_stop(struct router *r)
{
	if (r->peer != NULL)
		peer_destroy(r->peer);
	rec_destroy(r->rec);
	cluster_stop(&r->cluster);
}

/*
 * Appends an entry to the record.
 */
static uint64_t
append(struct router *r)
{
	struct rec_event event = {.organisation = lstr_from("o"),
	    .request = lstr_from("r"),
	    .replica = lstr_from("x"),
	    .reason = CH__RECORD_REASON__RECORD_REASON_ARRIVAL};
	uint64_t sequence = 0;

	ck_assert_int_eq(rec_append(r->rec, &event, &sequence), STATUS_OK);
	return sequence;
}

/*
 * Appends an entry and waits until the peer holds it.
 */
static void
append_copied(struct router *r)
{
	Ch__Frame frame = CH__FRAME__INIT;
	uint64_t sequence = append(r);
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
	rec_acknowledged(r->rec, sequence);
}

/*
 * Closes the open segment and takes it out of the record.
 */
static Ch__RecordStore *
close_segment(struct router *r)
{
	Ch__RecordStore *store = NULL;

	ck_assert_int_eq(
	    rec_close_segment(r->rec, loop_now(r->cluster.loop)), STATUS_OK);
	ck_assert_int_eq(rec_next_store(r->rec, &store), STATUS_OK);
	return store;
}

static bool
is_stored(void *arg)
{
	return ((struct router *)arg)->stored > 0;
}

/*
 * Sends a segment, which is freed, and waits until it is stored.
 */
static void
store_segment(struct router *r, Ch__RecordStore *store)
{
	Ch__Frame frame = CH__FRAME__INIT;

	frame.kind_case = CH__FRAME__KIND_RECORD_STORE;
	frame.record_store = store;
	r->stored = 0;
	ck_assert_int_eq(peer_send(r->peer, &frame), STATUS_OK);
	ch__record_store__free_unpacked(store, NULL);
	ck_assert(harness_wait(r->cluster.loop, is_stored, r));
	rec_stored(r->rec, r->stored);
}

/*
 * Ends the connection of the stand-in, which its syncd takes for the end of
 * the router, and waits until the record has that many segments.
 */
static void
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
		    cluster_call(c, "GET", c->operators[1], PATH, NULL), 200);
		record =
		    json_array_get(json_object_get(c->answer, "records"), 0);
	}
}

/*
 * Runs "record verify --node n0" against the syncd of node n1.
 */
static enum ctl_exit
verify(struct router *r)
{
	static const struct ctl_command *const commands[] = {
	    &ctl_record_verify_command, NULL};
	const struct ctl_options options = {.syncd = r->cluster.operators[1],
	    .node = "n0",
	    .timeout_usec = HARNESS_DEADLINE_USEC};
	char record[] = "record";
	char word[] = "verify";
	char *words[] = {record, word, NULL};
	struct ctl *ctl = NULL;
	enum ctl_exit result;

	ck_assert_int_eq(
	    ctl_create(r->cluster.loop, &options, &ctl), STATUS_OK);
	result = ctl_run(ctl, commands, 2, words);
	ctl_destroy(ctl);
	return result;
}

/* Guards against a record that cannot be verified after a crash, because
 * nothing tells the key of the peer that stored the tail. */
START_TEST(recovered_tail_is_verified)
{
	struct router r;

	router_start(&r);
	append_copied(&r);
	store_segment(&r, close_segment(&r));
	ck_assert_int_eq(verify(&r), CTL_EXIT_OK);
	append_copied(&r);
	crash(&r, 2);
	ck_assert_int_eq(verify(&r), CTL_EXIT_OK);
	router_stop(&r);
}
END_TEST

/* Guards against a record that does not verify because a peer stored the
 * beginning of a segment that its router stored later. */
START_TEST(own_and_recovered_segment_are_verified)
{
	struct router r;

	router_start(&r);
	append_copied(&r);
	crash(&r, 1);
	router_connect(&r);
	append(&r);
	store_segment(&r, close_segment(&r));
	crash(&r, 2);
	ck_assert_int_eq(verify(&r), CTL_EXIT_OK);
	router_stop(&r);
}
END_TEST

/* Guards against a missing segment before a recovered one that is reported as
 * a record that holds. */
START_TEST(gap_is_reported)
{
	struct router r;

	router_start(&r);
	append(&r);
	/* Neither copied nor stored. */
	ch__record_store__free_unpacked(close_segment(&r), NULL);
	rec_stored(r.rec, 1);
	append_copied(&r);
	crash(&r, 1);
	ck_assert_int_eq(verify(&r), CTL_EXIT_RECORD);
	router_stop(&r);
}
END_TEST

HARNESS_MAIN("ctl_record", recovered_tail_is_verified,
    own_and_recovered_segment_are_verified, gap_is_reported)
