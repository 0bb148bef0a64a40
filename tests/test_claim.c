#include "harness.h"

#include <string.h>

#include "claim.h"

#define SLOTS 4
#define NOW ((int64_t)1000000000)
#define SEC ((int64_t)1000000)
#define INTERVAL (SEC / 10)

struct world {
	struct claim *claim;
	struct claim_action action;
	/* Of the last action that is not a reply. */
	uint64_t ticket;
	int64_t now;
};

static void
world_start(struct world *w, uint64_t owner)
{
	struct claim_settings settings = {.buckets = 1,
	    .slots = SLOTS,
	    .interval_usec = INTERVAL,
	    .owner_id = owner};

	memset(w, 0, sizeof(*w));
	w->claim = claim_create(&settings);
	w->now = NOW;
}

static void
world_stop(struct world *w)
{
	claim_action_clear(&w->action);
	claim_destroy(w->claim);
}

static void
ask(struct world *w, char identity, char token, int64_t expiry,
    int64_t deadline)
{
	struct claim_request request = {.sequence = (uint64_t)token,
	    .expiry = expiry,
	    .deadline = deadline};

	memset(request.identity, identity, CLAIM_ID_BYTES);
	memset(request.token, token, CLAIM_ID_BYTES);
	claim_ask(w->claim, 0, &request, w->now);
}

static void
report(struct world *w, char identity, char token, Ch__ClaimState state)
{
	struct claim_report out = {
	    .state = state, .status = 200, .expiry = NOW + 120 * SEC};

	memset(out.identity, identity, CLAIM_ID_BYTES);
	memset(out.token, token, CLAIM_ID_BYTES);
	claim_report(w->claim, 0, &out, w->now);
}

/*
 * Takes the next action, which must be of the given kind.
 */
static void
expect(struct world *w, enum claim_action_kind kind)
{
	claim_action_clear(&w->action);
	ck_assert(claim_next_action(w->claim, &w->action));
	ck_assert_int_eq(w->action.kind, kind);
	if (kind != CLAIM_REPLY)
		w->ticket = w->action.ticket;
}

static void
expect_reply(struct world *w, char token, Ch__ClaimResult result)
{
	expect(w, CLAIM_REPLY);
	ck_assert_uint_eq(w->action.reply.sequence, (uint64_t)token);
	ck_assert_int_eq(w->action.reply.result, result);
}

static void
expect_nothing(struct world *w)
{
	struct claim_action action;

	ck_assert(!claim_next_action(w->claim, &action));
}

/*
 * Answers that the ring is empty.
 */
static void
load_empty(struct world *w)
{
	expect(w, CLAIM_READ_RING);
	claim_ring_done(w->claim, w->ticket, STATUS_OK, w->now);
}

/*
 * Answers the swap that was taken last.
 */
static void
swapped(struct world *w, enum status status, uint64_t version)
{
	claim_slot_swapped(w->claim, w->ticket, status, version, w->now);
}

#define GRANTED CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED
#define DUPLICATE CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE
#define EXPIRED CH__CLAIM_RESULT__CLAIM_RESULT_EXPIRED
#define UNAVAILABLE CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE
#define NOT_RUN CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN
#define RAN CH__CLAIM_STATE__CLAIM_STATE_RAN
#define EXPIRY (NOW + 120 * SEC)
#define DEADLINE (NOW + 10 * SEC)

/* Guards against a grant before the claim is stored. */
START_TEST(grant_follows_the_write)
{
	struct world w;

	world_start(&w, 1);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(w.action.version, 0);
	ck_assert_uint_eq(w.action.slot, 1);
	expect_nothing(&w);
	swapped(&w, STATUS_OK, 7);
	expect_reply(&w, '1', GRANTED);
	ck_assert_uint_eq(w.action.reply.fence, 1);
	ask(&w, 'a', '2', EXPIRY, DEADLINE);
	expect_reply(&w, '2', DUPLICATE);
	/* The same token again is the same claim. */
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	expect_reply(&w, '1', GRANTED);
	world_stop(&w);
}
END_TEST

/* Guards against one write for each claim. */
START_TEST(claims_share_a_commit)
{
	struct world w;

	world_start(&w, 1);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	ask(&w, 'b', '2', EXPIRY, DEADLINE);
	ask(&w, 'c', '3', EXPIRY, DEADLINE);
	swapped(&w, STATUS_OK, 7);
	expect_reply(&w, '1', GRANTED);
	expect_nothing(&w);
	ck_assert_int_eq(claim_next_at(w.claim), NOW + SEC / 20);
	w.now = NOW + INTERVAL;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 8);
	expect_reply(&w, '2', GRANTED);
	expect_reply(&w, '3', GRANTED);
	world_stop(&w);
}
END_TEST

/* Guards against taking a lost answer for success or for failure. */
START_TEST(lost_answer_is_read_back)
{
	struct world w;
	uint8_t *value;
	size_t len;

	world_start(&w, 1);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_AMBIGUOUS, 0);
	expect(&w, CLAIM_READ_SLOT);
	expect_nothing(&w);
	/* Not there yet: the same batch is written over the same version. */
	claim_slot_read(w.claim, w.action.ticket, STATUS_NOT_FOUND, 0,
	    lstr_from(""), w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(w.action.version, 0);
	value = w.action.value;
	len = w.action.value_len;
	w.action.value = NULL;
	swapped(&w, STATUS_CONFLICT, 9);
	expect(&w, CLAIM_READ_SLOT);
	claim_slot_read(w.claim, w.action.ticket, STATUS_OK, 9,
	    lstr_make(value, len), w.now);
	expect_reply(&w, '1', GRANTED);
	free(value);
	world_stop(&w);
}
END_TEST

/* Guards against a grant over another owner's batch. */
START_TEST(conflict_absorbs_the_other_batch)
{
	struct world other;
	struct world w;

	world_start(&other, 2);
	ask(&other, 'a', '9', EXPIRY, DEADLINE);
	load_empty(&other);
	expect(&other, CLAIM_SWAP_SLOT);
	world_start(&w, 1);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	ask(&w, 'b', '2', EXPIRY, DEADLINE);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_CONFLICT, 5);
	expect(&w, CLAIM_READ_SLOT);
	claim_slot_read(w.claim, w.action.ticket, STATUS_OK, 5,
	    lstr_make(other.action.value, other.action.value_len), w.now);
	expect_reply(&w, '1', DUPLICATE);
	w.now += INTERVAL;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(w.action.slot, 2);
	swapped(&w, STATUS_OK, 6);
	expect_reply(&w, '2', GRANTED);
	ck_assert_uint_eq(w.action.reply.fence, 2);
	world_stop(&other);
	world_stop(&w);
}
END_TEST

/* Guards against losing a key whose claim was never used. */
START_TEST(not_run_frees_the_key)
{
	struct world w;

	world_start(&w, 1);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 7);
	expect_reply(&w, '1', GRANTED);
	report(&w, 'a', '1', NOT_RUN);
	expect_nothing(&w);
	w.now += CLAIM_OUTCOME_WAIT_USEC;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 8);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	expect_reply(&w, '1', UNAVAILABLE);
	w.now += SEC;
	ask(&w, 'a', '2', EXPIRY, DEADLINE);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 9);
	expect_reply(&w, '2', GRANTED);
	report(&w, 'a', '2', RAN);
	w.now += CLAIM_OUTCOME_WAIT_USEC;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 10);
	ask(&w, 'a', '3', EXPIRY, DEADLINE);
	expect_reply(&w, '3', DUPLICATE);
	ck_assert_int_eq(w.action.reply.state, RAN);
	ck_assert_uint_eq(w.action.reply.status, 200);
	world_stop(&w);
}
END_TEST

/*
 * Guards against a caller that is told "in progress" although the first use of
 * its key was given up: the report waits for a batch, and the request with it.
 */
START_TEST(request_behind_a_report_waits_for_it)
{
	struct world w;

	world_start(&w, 1);
	ask(&w, 'a', '1', NOW + 120 * SEC, NOW + 2 * SEC);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 1);
	expect_reply(&w, '1', GRANTED);
	report(&w, 'a', '1', NOT_RUN);
	ask(&w, 'a', '2', NOW + 120 * SEC, NOW + 2 * SEC);
	expect_nothing(&w);
	w.now += INTERVAL;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	ask(&w, 'a', '3', NOW + 120 * SEC, NOW + 2 * SEC);
	expect_nothing(&w);
	swapped(&w, STATUS_OK, 2);
	w.now += INTERVAL;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 3);
	expect_reply(&w, '2', GRANTED);
	expect_reply(&w, '3', DUPLICATE);
	expect_nothing(&w);
	world_stop(&w);
}
END_TEST

/* Guards against a grant to a token that its router has given up. */
START_TEST(not_run_before_the_claim_is_kept)
{
	struct world w;

	world_start(&w, 1);
	report(&w, 'a', '1', NOT_RUN);
	load_empty(&w);
	w.now += CLAIM_OUTCOME_WAIT_USEC;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_OK, 7);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	expect_reply(&w, '1', UNAVAILABLE);
	world_stop(&w);
}
END_TEST

/* Guards against overwriting claims that still hold, and against forgetting
 * those that were overwritten. */
START_TEST(ring_waits_for_expiry_and_keeps_the_horizon)
{
	struct world w;

	world_start(&w, 1);
	ask(&w, 'a', 'a', EXPIRY, DEADLINE);
	load_empty(&w);
	for (int i = 0; i < SLOTS; i++) {
		char c = (char)('a' + i);

		if (c != 'a') {
			ask(&w, c, c, EXPIRY, w.now + SEC);
			claim_tick(w.claim, w.now);
		}
		expect(&w, CLAIM_SWAP_SLOT);
		swapped(&w, STATUS_OK, (uint64_t)c);
		expect_reply(&w, c, GRANTED);
		w.now += 60 * SEC / SLOTS * 2;
	}
	/* All slots hold claims until EXPIRY. */
	w.now = EXPIRY - SEC;
	ask(&w, 'x', 'x', EXPIRY + SEC, EXPIRY + SEC);
	expect_nothing(&w);
	w.now = EXPIRY;
	claim_tick(w.claim, w.now);
	expect(&w, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(w.action.slot, 1);
	ck_assert_uint_eq(w.action.version, 'a');
	swapped(&w, STATUS_OK, 200);
	expect_reply(&w, 'x', GRANTED);
	/* Even an owner whose clock is slow refuses what was overwritten. */
	w.now = NOW;
	ask(&w, 'a', 'y', EXPIRY, DEADLINE);
	expect_reply(&w, 'y', EXPIRED);
	world_stop(&w);
}
END_TEST

/* Guards against grants after the requester has given up. */
START_TEST(late_request_is_not_granted)
{
	struct world w;

	world_start(&w, 1);
	ask(&w, 'a', '1', EXPIRY, NOW + SEC);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	w.now = NOW + SEC;
	claim_tick(w.claim, w.now);
	expect_reply(&w, '1', UNAVAILABLE);
	swapped(&w, STATUS_OK, 7);
	expect_nothing(&w);
	/* The claim is in the log until the router reports it. */
	ask(&w, 'a', '2', EXPIRY, DEADLINE);
	expect_reply(&w, '2', DUPLICATE);
	world_stop(&w);
}
END_TEST

/* Guards against requests that hang while the service is down. */
START_TEST(outage_refuses_at_once)
{
	struct world w;

	world_start(&w, 1);
	ask(&w, 'a', '1', EXPIRY, DEADLINE);
	expect(&w, CLAIM_READ_RING);
	claim_ring_done(w.claim, w.action.ticket, STATUS_UNAVAILABLE, w.now);
	expect_reply(&w, '1', UNAVAILABLE);
	w.now += SEC;
	ask(&w, 'a', '2', EXPIRY, DEADLINE);
	load_empty(&w);
	expect(&w, CLAIM_SWAP_SLOT);
	swapped(&w, STATUS_UNAVAILABLE, 0);
	expect_reply(&w, '2', UNAVAILABLE);
	world_stop(&w);
}
END_TEST

/* Guards against a queue without a bound. */
START_TEST(full_queue_refuses)
{
	struct world w;

	world_start(&w, 1);
	for (int i = 0; i <= CLAIM_PENDING_MAX; i++)
		ask(&w, 'a', '1', EXPIRY, DEADLINE);
	expect(&w, CLAIM_READ_RING);
	expect_reply(&w, '1', UNAVAILABLE);
	expect_nothing(&w);
	world_stop(&w);
}
END_TEST

/* Guards against loading slots that were read at different times. */
START_TEST(gap_in_the_ring_is_read_again)
{
	struct world w;
	struct world fresh;
	struct claim_action stored[3];

	world_start(&w, 1);
	ask(&w, 'a', 'a', EXPIRY, DEADLINE);
	load_empty(&w);
	for (int i = 0; i < 3; i++) {
		char c = (char)('a' + i);

		if (i > 0)
			ask(&w, c, c, EXPIRY, w.now + SEC);
		expect(&w, CLAIM_SWAP_SLOT);
		stored[i] = w.action;
		swapped(&w, STATUS_OK, (uint64_t)i + 1);
		w.action.value = NULL;
		expect_reply(&w, c, GRANTED);
		w.now += 100 * SEC / SLOTS;
	}
	world_start(&fresh, 2);
	ask(&fresh, 'b', 'z', EXPIRY, DEADLINE);
	expect(&fresh, CLAIM_READ_RING);
	for (int i = 0; i < 3; i += 2)
		claim_ring_item(fresh.claim, fresh.action.ticket,
		    stored[i].slot, (uint64_t)i + 1,
		    lstr_make(stored[i].value, stored[i].value_len));
	claim_ring_done(fresh.claim, fresh.action.ticket, STATUS_OK, fresh.now);
	expect(&fresh, CLAIM_READ_SLOT);
	ck_assert_uint_eq(fresh.action.slot, 2);
	claim_slot_read(fresh.claim, fresh.action.ticket, STATUS_OK, 2,
	    lstr_make(stored[1].value, stored[1].value_len), fresh.now);
	expect_reply(&fresh, 'z', DUPLICATE);
	for (int i = 0; i < 3; i++)
		claim_action_clear(&stored[i]);
	world_stop(&w);
	world_stop(&fresh);
}
END_TEST

HARNESS_MAIN("claim", request_behind_a_report_waits_for_it,
    grant_follows_the_write, claims_share_a_commit, lost_answer_is_read_back,
    conflict_absorbs_the_other_batch, not_run_frees_the_key,
    not_run_before_the_claim_is_kept,
    ring_waits_for_expiry_and_keeps_the_horizon, late_request_is_not_granted,
    outage_refuses_at_once, full_queue_refuses, gap_in_the_ring_is_read_again)
