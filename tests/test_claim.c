#include "harness.h"

#include <string.h>

#include "claim.h"

#define SLOTS 4
#define NOW ((int64_t)1000000000)
#define SEC ((int64_t)1000000)
#define INTERVAL (SEC / 10)

struct fixture {
	struct claim *claim;
	struct claim_action action;
	/* Ticket of the last action that is not a reply. */
	uint64_t ticket;
	int64_t now;
};

static void
fixture_init(struct fixture *f, uint64_t owner)
{
	struct claim_settings settings = {.buckets = 1,
	    .slots = SLOTS,
	    .interval_usec = INTERVAL,
	    .owner_id = owner};

	memset(f, 0, sizeof(*f));
	f->claim = claim_create(&settings);
	f->now = NOW;
}

static void
fixture_free(struct fixture *f)
{
	claim_action_clear(&f->action);
	claim_destroy(f->claim);
}

static void
submit_request(struct fixture *f, char identity, char token, int64_t expiry,
    int64_t deadline)
{
	struct claim_request request = {.sequence = (uint64_t)token,
	    .expiry = expiry,
	    .deadline = deadline};

	memset(request.identity, identity, CLAIM_ID_BYTES);
	memset(request.token, token, CLAIM_ID_BYTES);
	claim_submit(f->claim, 0, &request, f->now);
}

static void
report(struct fixture *f, char identity, char token, Ch__ClaimState state)
{
	struct claim_report out = {
	    .state = state, .status = 200, .expiry = NOW + 120 * SEC};

	memset(out.identity, identity, CLAIM_ID_BYTES);
	memset(out.token, token, CLAIM_ID_BYTES);
	claim_report(f->claim, 0, &out, f->now);
}

/*
 * Removes the next action, which must be of the given kind.
 */
static void
expect(struct fixture *f, enum claim_action_kind kind)
{
	claim_action_clear(&f->action);
	ck_assert(claim_next_action(f->claim, &f->action));
	ck_assert_int_eq(f->action.kind, kind);
	if (kind != CLAIM_REPLY)
		f->ticket = f->action.ticket;
}

static void
expect_reply(struct fixture *f, char token, Ch__ClaimResult result)
{
	expect(f, CLAIM_REPLY);
	ck_assert_uint_eq(f->action.reply.sequence, (uint64_t)token);
	ck_assert_int_eq(f->action.reply.result, result);
}

static void
expect_nothing(struct fixture *f)
{
	struct claim_action action;

	ck_assert(!claim_next_action(f->claim, &action));
}

/*
 * Completes CLAIM_READ_RING with an empty ring.
 */
static void
complete_empty_ring_read(struct fixture *f)
{
	expect(f, CLAIM_READ_RING);
	claim_ring_done(f->claim, f->ticket, STATUS_OK, f->now);
}

/*
 * Completes the last CLAIM_SWAP_SLOT with a result.
 */
static void
complete_swap(struct fixture *f, enum status status, uint64_t version)
{
	claim_slot_swapped(f->claim, f->ticket, status, version, f->now);
}

#define GRANTED CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED
#define DUPLICATE CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE
#define EXPIRED CH__CLAIM_RESULT__CLAIM_RESULT_EXPIRED
#define UNAVAILABLE CH__CLAIM_RESULT__CLAIM_RESULT_UNAVAILABLE
#define NOT_RUN CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN
#define RAN CH__CLAIM_STATE__CLAIM_STATE_RAN
#define EXPIRY (NOW + 120 * SEC)
#define DEADLINE (NOW + 10 * SEC)

/* Guards against granting a claim before it is stored. */
START_TEST(grant_waits_for_the_write)
{
	struct fixture f;

	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(f.action.version, 0);
	ck_assert_uint_eq(f.action.slot, 1);
	expect_nothing(&f);
	complete_swap(&f, STATUS_OK, 7);
	expect_reply(&f, '1', GRANTED);
	ck_assert_uint_eq(f.action.reply.fence, 1);
	submit_request(&f, 'a', '2', EXPIRY, DEADLINE);
	expect_reply(&f, '2', DUPLICATE);
	/* A repeated request with the same token gets the same claim. */
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	expect_reply(&f, '1', GRANTED);
	fixture_free(&f);
}
END_TEST

/* Guards against a separate write for each claim. */
START_TEST(claims_share_a_commit)
{
	struct fixture f;

	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	submit_request(&f, 'b', '2', EXPIRY, DEADLINE);
	submit_request(&f, 'c', '3', EXPIRY, DEADLINE);
	complete_swap(&f, STATUS_OK, 7);
	expect_reply(&f, '1', GRANTED);
	expect_nothing(&f);
	ck_assert_int_eq(claim_next_at(f.claim), NOW + SEC / 20);
	f.now = NOW + INTERVAL;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 8);
	expect_reply(&f, '2', GRANTED);
	expect_reply(&f, '3', GRANTED);
	fixture_free(&f);
}
END_TEST

/* Guards against treating a lost result as success or as failure. */
START_TEST(lost_answer_is_read_back)
{
	struct fixture f;
	uint8_t *value;
	size_t len;

	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_AMBIGUOUS, 0);
	expect(&f, CLAIM_READ_SLOT);
	expect_nothing(&f);
	/*
	 * Not stored: the same batch is written again over the same version.
	 */
	claim_slot_read(f.claim, f.action.ticket, STATUS_NOT_FOUND, 0,
	    lstr_from(""), f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(f.action.version, 0);
	value = f.action.value;
	len = f.action.value_len;
	f.action.value = NULL;
	complete_swap(&f, STATUS_CONFLICT, 9);
	expect(&f, CLAIM_READ_SLOT);
	claim_slot_read(f.claim, f.action.ticket, STATUS_OK, 9,
	    lstr_make(value, len), f.now);
	expect_reply(&f, '1', GRANTED);
	free(value);
	fixture_free(&f);
}
END_TEST

/* Guards against ignoring claims in a batch of another owner. */
START_TEST(conflict_applies_the_other_batch)
{
	struct fixture other;
	struct fixture f;

	fixture_init(&other, 2);
	submit_request(&other, 'a', '9', EXPIRY, DEADLINE);
	complete_empty_ring_read(&other);
	expect(&other, CLAIM_SWAP_SLOT);
	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	submit_request(&f, 'b', '2', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_CONFLICT, 5);
	expect(&f, CLAIM_READ_SLOT);
	claim_slot_read(f.claim, f.action.ticket, STATUS_OK, 5,
	    lstr_make(other.action.value, other.action.value_len), f.now);
	expect_reply(&f, '1', DUPLICATE);
	f.now += INTERVAL;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(f.action.slot, 2);
	complete_swap(&f, STATUS_OK, 6);
	expect_reply(&f, '2', GRANTED);
	ck_assert_uint_eq(f.action.reply.fence, 2);
	fixture_free(&other);
	fixture_free(&f);
}
END_TEST

/* Guards against blocking a key whose claim was never used. */
START_TEST(not_run_releases_the_key)
{
	struct fixture f;

	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 7);
	expect_reply(&f, '1', GRANTED);
	report(&f, 'a', '1', NOT_RUN);
	expect_nothing(&f);
	f.now += CLAIM_REPORT_WAIT_USEC;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 8);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	expect_reply(&f, '1', UNAVAILABLE);
	f.now += SEC;
	submit_request(&f, 'a', '2', EXPIRY, DEADLINE);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 9);
	expect_reply(&f, '2', GRANTED);
	report(&f, 'a', '2', RAN);
	f.now += CLAIM_REPORT_WAIT_USEC;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 10);
	submit_request(&f, 'a', '3', EXPIRY, DEADLINE);
	expect_reply(&f, '3', DUPLICATE);
	ck_assert_int_eq(f.action.reply.state, RAN);
	ck_assert_uint_eq(f.action.reply.status, 200);
	fixture_free(&f);
}
END_TEST

/*
 * Guards against refusing a request as a duplicate although the first use of
 * its key was already reported as NOT_RUN. While the report waits for a batch,
 * the request must wait too.
 */
START_TEST(request_waits_for_pending_report)
{
	struct fixture f;

	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', NOW + 120 * SEC, NOW + 2 * SEC);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 1);
	expect_reply(&f, '1', GRANTED);
	report(&f, 'a', '1', NOT_RUN);
	submit_request(&f, 'a', '2', NOW + 120 * SEC, NOW + 2 * SEC);
	expect_nothing(&f);
	f.now += INTERVAL;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	submit_request(&f, 'a', '3', NOW + 120 * SEC, NOW + 2 * SEC);
	expect_nothing(&f);
	complete_swap(&f, STATUS_OK, 2);
	f.now += INTERVAL;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 3);
	expect_reply(&f, '2', GRANTED);
	expect_reply(&f, '3', DUPLICATE);
	expect_nothing(&f);
	fixture_free(&f);
}
END_TEST

/* Guards against granting a claim to a token that its router abandoned. */
START_TEST(not_run_before_the_claim_is_recorded)
{
	struct fixture f;

	fixture_init(&f, 1);
	report(&f, 'a', '1', NOT_RUN);
	complete_empty_ring_read(&f);
	f.now += CLAIM_REPORT_WAIT_USEC;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_OK, 7);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	expect_reply(&f, '1', UNAVAILABLE);
	fixture_free(&f);
}
END_TEST

/*
 * Guards against overwriting unexpired claims, and against granting a claim
 * that was overwritten.
 */
START_TEST(slots_are_reused_only_after_expiry)
{
	struct fixture f;

	fixture_init(&f, 1);
	submit_request(&f, 'a', 'a', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	for (int i = 0; i < SLOTS; i++) {
		char c = (char)('a' + i);

		if (c != 'a') {
			submit_request(&f, c, c, EXPIRY, f.now + SEC);
			claim_tick(f.claim, f.now);
		}
		expect(&f, CLAIM_SWAP_SLOT);
		complete_swap(&f, STATUS_OK, (uint64_t)c);
		expect_reply(&f, c, GRANTED);
		f.now += 60 * SEC / SLOTS * 2;
	}
	/* All slots contain unexpired claims until EXPIRY. */
	f.now = EXPIRY - SEC;
	submit_request(&f, 'x', 'x', EXPIRY + SEC, EXPIRY + SEC);
	expect_nothing(&f);
	f.now = EXPIRY;
	claim_tick(f.claim, f.now);
	expect(&f, CLAIM_SWAP_SLOT);
	ck_assert_uint_eq(f.action.slot, 1);
	ck_assert_uint_eq(f.action.version, 'a');
	complete_swap(&f, STATUS_OK, 200);
	expect_reply(&f, 'x', GRANTED);
	/* An owner with a slow clock also refuses an overwritten claim. */
	f.now = NOW;
	submit_request(&f, 'a', 'y', EXPIRY, DEADLINE);
	expect_reply(&f, 'y', EXPIRED);
	fixture_free(&f);
}
END_TEST

/* Guards against granting a claim after the deadline of the request. */
START_TEST(late_request_is_not_granted)
{
	struct fixture f;

	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', EXPIRY, NOW + SEC);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	f.now = NOW + SEC;
	claim_tick(f.claim, f.now);
	expect_reply(&f, '1', UNAVAILABLE);
	complete_swap(&f, STATUS_OK, 7);
	expect_nothing(&f);
	/* The claim stays in the log until the router reports it. */
	submit_request(&f, 'a', '2', EXPIRY, DEADLINE);
	expect_reply(&f, '2', DUPLICATE);
	fixture_free(&f);
}
END_TEST

/* Guards against requests that hang while the key-value service is down. */
START_TEST(outage_refuses_at_once)
{
	struct fixture f;

	fixture_init(&f, 1);
	submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	expect(&f, CLAIM_READ_RING);
	claim_ring_done(f.claim, f.action.ticket, STATUS_UNAVAILABLE, f.now);
	expect_reply(&f, '1', UNAVAILABLE);
	f.now += SEC;
	submit_request(&f, 'a', '2', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	expect(&f, CLAIM_SWAP_SLOT);
	complete_swap(&f, STATUS_UNAVAILABLE, 0);
	expect_reply(&f, '2', UNAVAILABLE);
	fixture_free(&f);
}
END_TEST

/* Guards against a queue that grows without bound. */
START_TEST(full_queue_refuses)
{
	struct fixture f;

	fixture_init(&f, 1);
	for (int i = 0; i <= CLAIM_REQUESTS_MAX; i++)
		submit_request(&f, 'a', '1', EXPIRY, DEADLINE);
	expect(&f, CLAIM_READ_RING);
	expect_reply(&f, '1', UNAVAILABLE);
	expect_nothing(&f);
	fixture_free(&f);
}
END_TEST

/* Guards against a gap in a log whose slots were read at different times. */
START_TEST(gap_in_the_ring_is_read_again)
{
	struct fixture f;
	struct fixture reader;
	struct claim_action stored[3];

	fixture_init(&f, 1);
	submit_request(&f, 'a', 'a', EXPIRY, DEADLINE);
	complete_empty_ring_read(&f);
	for (int i = 0; i < 3; i++) {
		char c = (char)('a' + i);

		if (i > 0)
			submit_request(&f, c, c, EXPIRY, f.now + SEC);
		expect(&f, CLAIM_SWAP_SLOT);
		stored[i] = f.action;
		complete_swap(&f, STATUS_OK, (uint64_t)i + 1);
		f.action.value = NULL;
		expect_reply(&f, c, GRANTED);
		f.now += 100 * SEC / SLOTS;
	}
	fixture_init(&reader, 2);
	submit_request(&reader, 'b', 'z', EXPIRY, DEADLINE);
	expect(&reader, CLAIM_READ_RING);
	for (int i = 0; i < 3; i += 2)
		claim_ring_item(reader.claim, reader.action.ticket,
		    stored[i].slot, (uint64_t)i + 1,
		    lstr_make(stored[i].value, stored[i].value_len));
	claim_ring_done(
	    reader.claim, reader.action.ticket, STATUS_OK, reader.now);
	expect(&reader, CLAIM_READ_SLOT);
	ck_assert_uint_eq(reader.action.slot, 2);
	claim_slot_read(reader.claim, reader.action.ticket, STATUS_OK, 2,
	    lstr_make(stored[1].value, stored[1].value_len), reader.now);
	expect_reply(&reader, 'z', DUPLICATE);
	for (int i = 0; i < 3; i++)
		claim_action_clear(&stored[i]);
	fixture_free(&f);
	fixture_free(&reader);
}
END_TEST

HARNESS_MAIN("claim", request_waits_for_pending_report,
    grant_waits_for_the_write, claims_share_a_commit, lost_answer_is_read_back,
    conflict_applies_the_other_batch, not_run_releases_the_key,
    not_run_before_the_claim_is_recorded, slots_are_reused_only_after_expiry,
    late_request_is_not_granted, outage_refuses_at_once, full_queue_refuses,
    gap_in_the_ring_is_read_again)
