/*
 * Runs the decision modules, which do no I/O, at the system size given in
 * docs/CAPACITY.md. Prints bytes and processor time per operation, and the
 * share of replicas that change their owner. The seed is fixed, so the counts
 * are reproducible; the times depend on the machine.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "claim.h"
#include "frame.h"
#include "rendezvous.h"
#include "record.h"
#include "sched.h"
#include "view.h"

#define SEED 1
#define NODES 570
#define REGIONS 8
#define PLACES 18
#define REPLICAS 4200
#define ORGANISATIONS 24000
#define QUEUE_MAX 100000
#define CLAIMS 48000
#define CLAIMS_PER_SECOND 48
#define CLAIM_WINDOW_USEC ((int64_t)120 * 1000000)
#define RECORD_COPIES 50000
#define CLAIM_SLOTS 512
#define CLAIM_INTERVAL_USEC ((int64_t)400 * 1000)
#define START_USEC ((int64_t)1796362391 * 1000000)
#define NSEC_PER_SEC 1e9
#define USEC_PER_SEC 1e6
#define NAME_MAX_BYTES 64

/*
 * Returns the processor time of this process in seconds.
 */
static double
cpu_seconds(void)
{
	return (double)clock() / CLOCKS_PER_SEC;
}

/*
 * Returns the bytes that malloc() has handed out, including blocks allocated
 * with mmap().
 */
static size_t
allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/*
 * Adds node i to a view.
 */
static void
add_node(struct view *view, unsigned int i)
{
	char node[NAME_MAX_BYTES];
	char place[NAME_MAX_BYTES];
	char region[NAME_MAX_BYTES];
	struct view_member member = {.node = node,
	    .place = place,
	    .region = region,
	    .boot = i + 1,
	    .state = VIEW_LIVE,
	    .entry_address = "10.20.30.40:8080",
	    .router_address = "10.20.30.40:7001",
	    .syncd_address = "10.20.30.40:7002",
	    .entry_ready = true,
	    .router_ready = true};
	bool changed;

	snprintf(node, sizeof(node), "node-%04u", i);
	snprintf(place, sizeof(place), "place-%02u", i % PLACES);
	snprintf(region, sizeof(region), "region-%u", i % PLACES % REGIONS);
	view_put(view, &member, &changed);
}

/*
 * Finds the owner of each replica and stores its node name in owners.
 */
static void
find_owners(const struct view *view, char owners[][NAME_MAX_BYTES])
{
	for (unsigned int i = 0; i < REPLICAS; i++) {
		char replica[NAME_MAX_BYTES];
		char region[NAME_MAX_BYTES];
		const struct view_member *owner;

		snprintf(replica, sizeof(replica), "replica-%04u", i);
		snprintf(region, sizeof(region), "region-%u", i % REGIONS);
		owner = rendezvous_replica_owner(
		    view, lstr_from(region), lstr_from(replica));
		snprintf(owners[i], NAME_MAX_BYTES, "%s", owner->node);
	}
}

/*
 * Prints the share of replicas that change their owner when some nodes leave,
 * and the minimum: the share that the leaving nodes owned.
 */
static void
measure_ownership_changes(struct view *view, unsigned int leaving)
{
	static char before[REPLICAS][NAME_MAX_BYTES];
	static char after[REPLICAS][NAME_MAX_BYTES];
	unsigned int moved = 0;
	unsigned int lost = 0;

	find_owners(view, before);
	for (unsigned int i = 0; i < leaving; i++) {
		char node[NAME_MAX_BYTES];

		/* All nodes are in one place, as when a data centre fails. */
		snprintf(node, sizeof(node), "node-%04u", i * PLACES);
		for (unsigned int r = 0; r < REPLICAS; r++)
			lost += strcmp(before[r], node) == 0;
		view_remove(view, lstr_from(node));
	}
	find_owners(view, after);
	for (unsigned int r = 0; r < REPLICAS; r++)
		moved += strcmp(before[r], after[r]) != 0;
	printf("ownership leaving_nodes=%u moved=%.3f%% least=%.3f%%\n",
	    leaving, 100.0 * moved / REPLICAS, 100.0 * lost / REPLICAS);
	for (unsigned int i = 0; i < leaving; i++)
		add_node(view, i * PLACES);
}

/*
 * Measures the memory and message size of a view, and replica ownership.
 */
static void
measure_view(void)
{
	static char owners[REPLICAS][NAME_MAX_BYTES];
	struct view *view = NULL;
	Ch__View *message = NULL;
	size_t memory = allocated_bytes();
	double start;

	view_create(&view);
	for (unsigned int i = 0; i < NODES; i++)
		add_node(view, i);
	memory = allocated_bytes() - memory;
	view_to_message(view, 1, &message);
	printf("view members=%d memory_bytes=%zu whole_message_bytes=%zu "
	       "bytes_each=%zu\n",
	    NODES, memory, ch__view__get_packed_size(message),
	    ch__view__get_packed_size(message) / NODES);
	ch__view__free_unpacked(message, NULL);
	start = cpu_seconds();
	find_owners(view, owners);
	printf("ownership replicas=%d usec_each=%.2f\n", REPLICAS,
	    (cpu_seconds() - start) * USEC_PER_SEC / REPLICAS);
	measure_ownership_changes(view, 1);
	measure_ownership_changes(view, NODES / PLACES);
	view_destroy(view);
}

/* One slot of the key-value service. */
struct slot {
	uint64_t version;
	uint8_t *value;
	size_t len;
};

/* Totals of a run over one bucket of claims; sizes in bytes. */
struct claim_totals {
	uint64_t granted;
	uint64_t swaps;
	uint64_t bytes;
	uint64_t longest;
};

/*
 * Executes the pending actions of the claim module on the slots, without
 * delay.
 */
static void
execute_claim_actions(struct claim *claim, struct slot *slots, int64_t now,
    struct claim_totals *totals)
{
	struct claim_action action;

	while (claim_next_action(claim, &action)) {
		struct slot *slot = &slots[action.slot];

		if (action.kind == CLAIM_READ_RING) {
			claim_ring_done(claim, action.ticket, STATUS_OK, now);
		} else if (action.kind == CLAIM_SWAP_SLOT) {
			free(slot->value);
			slot->value = action.value;
			slot->len = action.value_len;
			action.value = NULL;
			totals->swaps++;
			totals->bytes += slot->len;
			if (slot->len > totals->longest)
				totals->longest = slot->len;
			claim_slot_swapped(claim, action.ticket, STATUS_OK,
			    ++slot->version, now);
		} else if (action.kind == CLAIM_REPLY) {
			totals->granted += action.reply.result ==
			    CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED;
		}
		claim_action_clear(&action);
	}
}

/*
 * Submits claim n and reports the outcome of the claim submitted one second
 * earlier.
 */
static void
submit_claim_and_outcome(struct claim *claim, uint64_t n, int64_t now)
{
	struct claim_request request = {.reply_to = 1,
	    .sequence = n,
	    .expiry = now + CLAIM_WINDOW_USEC,
	    .deadline = now + 2 * (int64_t)USEC_PER_SEC};
	struct claim_report report = {.state = CH__CLAIM_STATE__CLAIM_STATE_RAN,
	    .status = 200,
	    .expiry = now + CLAIM_WINDOW_USEC - (int64_t)USEC_PER_SEC};
	uint64_t reported_claim = n - CLAIMS_PER_SECOND;

	memcpy(request.identity, &n, sizeof(n));
	memcpy(request.token, &n, sizeof(n));
	claim_submit(claim, 0, &request, now);
	if (n < CLAIMS_PER_SECOND)
		return;
	memcpy(report.identity, &reported_claim, sizeof(reported_claim));
	memcpy(report.token, &reported_claim, sizeof(reported_claim));
	claim_report(claim, 0, &report, now);
}

/*
 * Returns the total size in bytes of the messages that two syncds exchange for
 * one claim: request, reply and outcome.
 */
static size_t
claim_message_bytes(void)
{
	uint8_t bytes[CLAIM_ID_BYTES] = {0};
	ProtobufCBinaryData data = {sizeof(bytes), bytes};
	Ch__ClaimRequest request = CH__CLAIM_REQUEST__INIT;
	Ch__ClaimReply reply = CH__CLAIM_REPLY__INIT;
	Ch__ClaimOutcome outcome = CH__CLAIM_OUTCOME__INIT;

	request.sequence = reply.sequence = 1000000;
	request.identity = reply.identity = outcome.identity = data;
	request.token = reply.token = outcome.token = data;
	request.expiry = request.deadline = outcome.expiry = START_USEC;
	request.origin = "node-0001";
	reply.result = CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED;
	reply.fence = 100000;
	outcome.state = CH__CLAIM_STATE__CLAIM_STATE_RAN;
	outcome.status = 200;
	return ch__claim_request__get_packed_size(&request) +
	    ch__claim_reply__get_packed_size(&reply) +
	    ch__claim_outcome__get_packed_size(&outcome);
}

/*
 * Measures one bucket of claims at CLAIMS_PER_SECOND, the rate of one owner.
 */
static void
measure_claims(void)
{
	struct claim_settings settings = {.buckets = 1,
	    .slots = CLAIM_SLOTS,
	    .interval_usec = CLAIM_INTERVAL_USEC,
	    .owner_id = 1};
	struct claim *claim = claim_create(&settings);
	struct slot *slots = calloc(CLAIM_SLOTS, sizeof(*slots));
	struct claim_totals totals = {0};
	size_t memory = allocated_bytes();
	int64_t now = START_USEC;
	double start = cpu_seconds();

	for (uint64_t n = 0; n < CLAIMS; n++) {
		now += (int64_t)USEC_PER_SEC / CLAIMS_PER_SECOND;
		submit_claim_and_outcome(claim, n, now);
		claim_tick(claim, now);
		execute_claim_actions(claim, slots, now, &totals);
	}
	printf("claims rate=%d/s granted=%.1f%% commits_per_s=%.2f "
	       "batch_bytes_per_claim=%.1f longest_batch=%zu "
	       "usec_per_claim=%.2f\n",
	    CLAIMS_PER_SECOND, 100.0 * (double)totals.granted / CLAIMS,
	    (double)totals.swaps * CLAIMS_PER_SECOND / CLAIMS,
	    (double)totals.bytes / CLAIMS, (size_t)totals.longest,
	    (cpu_seconds() - start) * USEC_PER_SEC / CLAIMS);
	printf("claims message_bytes_per_claim=%zu memory_bytes=%zu\n",
	    claim_message_bytes(), allocated_bytes() - memory);
	for (int i = 0; i < CLAIM_SLOTS; i++)
		free(slots[i].value);
	free(slots);
	claim_destroy(claim);
}

/*
 * Measures the request queue of a replica with many organisations.
 */
static void
measure_queue(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sched *sched = NULL;
	size_t memory = allocated_bytes();
	Ch__RecordReason reason;
	double start;
	double push_end;
	void *data;

	sched_create(QUEUE_MAX, &sched);
	start = cpu_seconds();
	for (int i = 0; i < QUEUE_MAX; i++) {
		char name[NAME_MAX_BYTES];
		struct sched_entry *entry;
		struct sched_request request = {
		    .priority = (uint32_t)g_rand_int_range(rand, 0, 8),
		    .weight = (uint32_t)g_rand_int_range(rand, 1, 1000),
		    .cost = g_rand_int_range(rand, 1, 1000),
		    .arrival = START_USEC + i,
		    .deadline = START_USEC + i + 1000000};

		snprintf(name, sizeof(name), "organisation-%05d",
		    g_rand_int_range(rand, 0, ORGANISATIONS));
		request.organisation = lstr_from(name);
		sched_push(sched, &request, &entry);
	}
	push_end = cpu_seconds();
	memory = allocated_bytes() - memory;
	while (sched_pop(sched, &data, &reason))
		;
	printf("queue entries=%d organisations=%d push_usec=%.2f "
	       "take_usec=%.2f bytes_per_entry=%.0f\n",
	    QUEUE_MAX, ORGANISATIONS,
	    (push_end - start) * USEC_PER_SEC / QUEUE_MAX,
	    (cpu_seconds() - push_end) * USEC_PER_SEC / QUEUE_MAX,
	    (double)memory / QUEUE_MAX);
	sched_destroy(sched);
	g_rand_free(rand);
}

/*
 * Returns a codec that has completed the handshake with *peer and can write.
 */
static struct frame_codec *
create_connected_codec(struct frame_codec **peer)
{
	static const uint8_t key[FRAME_KEY_BYTES] = {1};
	struct frame_codec *codec = NULL;
	struct lstr_buf to_codec = {0};
	struct lstr_buf to_peer = {0};
	Ch__Frame *frame = NULL;

	frame_codec_create(key, true, &codec);
	frame_codec_create(key, false, peer);
	frame_write_preface(codec, &to_peer);
	frame_write_preface(*peer, &to_codec);
	frame_read(codec, &to_codec, &frame, &to_peer);
	frame_read(*peer, &to_peer, &frame, &to_codec);
	frame_read(codec, &to_codec, &frame, &to_peer);
	lstr_buf_free(&to_codec);
	lstr_buf_free(&to_peer);
	return codec;
}

/*
 * Writes a message that copies one record entry to the peer, as a router does.
 */
static void
write_record_copy(
    struct frame_codec *codec, GRand *rand, uint64_t n, struct lstr_buf *out)
{
	uint8_t request[16];
	uint8_t digest[REC_DIGEST_BYTES];
	char organisation[NAME_MAX_BYTES];
	char replica[NAME_MAX_BYTES];
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RecordAppend append = CH__RECORD_APPEND__INIT;
	Ch__RecordEntry entry = CH__RECORD_ENTRY__INIT;
	Ch__RecordEntry *entries[] = {&entry};

	for (size_t i = 0; i < sizeof(request); i++)
		request[i] = (uint8_t)g_rand_int(rand);
	for (size_t i = 0; i < sizeof(digest); i++)
		digest[i] = (uint8_t)g_rand_int(rand);
	snprintf(organisation, sizeof(organisation), "organisation-%05d",
	    g_rand_int_range(rand, 0, ORGANISATIONS));
	snprintf(replica, sizeof(replica), "replica-%04d",
	    g_rand_int_range(rand, 0, 8));
	entry.sequence = n;
	entry.organisation = organisation;
	entry.replica = replica;
	entry.request_id.data = request;
	entry.request_id.len = sizeof(request);
	entry.arrival = START_USEC + (int64_t)n * 12345;
	entry.start = entry.arrival + g_rand_int_range(rand, 100, 300000);
	entry.revision = 100000;
	entry.reason = CH__RECORD_REASON__RECORD_REASON_SHARE;
	entry.attempt = 1;
	append.node = "node-0001";
	append.boot = 0x1234567890abcdefull;
	append.segment = 5;
	append.previous_digest.data = digest;
	append.previous_digest.len = n % 800 == 0 ? sizeof(digest) : 0;
	append.entries = entries;
	append.n_entries = 1;
	frame.kind_case = CH__FRAME__KIND_RECORD_APPEND;
	frame.record_append = &append;
	frame_write(codec, &frame, out);
}

/*
 * Measures the copies of record entries on a link, with or without
 * compression.
 */
static void
measure_record_copies(bool compressed)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct frame_codec *peer = NULL;
	struct frame_codec *codec = create_connected_codec(&peer);
	struct lstr_buf out = {0};
	size_t bytes = 0;
	size_t memory = allocated_bytes();
	double start;

	if (compressed)
		frame_enable_compression(codec);
	start = cpu_seconds();
	for (uint64_t n = 0; n < RECORD_COPIES; n++) {
		write_record_copy(codec, rand, n, &out);
		bytes += out.len;
		lstr_buf_clear(&out);
	}
	printf("record copies compressed=%d bytes_each=%.1f usec_each=%.2f "
	       "memory_bytes=%zu\n",
	    compressed, (double)bytes / RECORD_COPIES,
	    (cpu_seconds() - start) * USEC_PER_SEC / RECORD_COPIES,
	    allocated_bytes() - memory);
	lstr_buf_free(&out);
	frame_codec_destroy(codec);
	frame_codec_destroy(peer);
	g_rand_free(rand);
}

/*
 * Runs all measurements and prints their results.
 */
int
main(void)
{
	printf("seed %d\n", SEED);
	measure_view();
	measure_claims();
	measure_queue();
	measure_record_copies(false);
	measure_record_copies(true);
	return EXIT_SUCCESS;
}
