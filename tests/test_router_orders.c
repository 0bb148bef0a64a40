#include "router_fixture.h"

#define DEADLINE_USEC (20 * LOOP_USEC_PER_SEC)

/*
 * Formats a key that was issued a number of seconds ago.
 */
static const char *
make_key(struct fixture *f, int64_t seconds_ago, char out[64])
{
	snprintf(out, 64, "%lld-k_1",
	    (long long)(loop_now(f->loop) / LOOP_USEC_PER_SEC - seconds_ago));
	return out;
}

/*
 * Checks the outcome and the code of a stream that has ended.
 */
static void
check_result(
    struct fixture *f, uint64_t stream, Ch__Outcome outcome, const char *code)
{
	const struct stream *s = fixture_stream(f, stream);

	ck_assert(s->done);
	ck_assert_int_eq(s->outcome, outcome);
	ck_assert_str_eq(s->code, code);
}

/* Guards against an order that is sent before its claim was granted. */
START_TEST(order_waits_for_its_claim)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	ck_assert_int_eq(f.claim_requests, 1);
	ck_assert_uint_eq(f.plain_count, 0);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	ck_assert(f.plain_calls[0]->once);
	ck_assert_uint_eq(f.plain_calls[0]->fence, 5);
	fixture_end_plain_call(f.plain_calls[0], STATUS_OK, true, "done");
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	check_result(&f, 1, CH__OUTCOME__OUTCOME_RUN, "");
	ck_assert_str_eq(fixture_stream(&f, 1)->body, "done");
	ck_assert_int_eq(f.outcomes, 1);
	ck_assert_int_eq(f.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_RAN);
	ck_assert_uint_eq(f.outcome_status, 200);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against an order that is sent although its claim was not granted: the
 * claim service is unavailable or silent, or the grant is for another token.
 */
START_TEST(unavailable_claim_sends_nothing)
{
	static const enum claim_mode modes[] = {
	    CLAIM_UNAVAILABLE, CLAIM_SILENT, CLAIM_WRONG_TOKEN};

	for (size_t i = 0; i < 3; i++) {
		struct fixture f;
		char key[64];

		fixture_start_configured(&f, 4);
		f.claims = modes[i];
		fixture_submit_call(
		    &f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
		FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
		check_result(
		    &f, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "claims-unavailable");
		ck_assert_uint_eq(f.plain_count, 0);
		ck_assert_int_eq(
		    f.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
		fixture_destroy(&f);
	}
}
END_TEST

/*
 * Guards against a late grant that starts an order which was already refused.
 */
START_TEST(late_grant_sends_nothing)
{
	struct fixture f;
	char key[64];
	GBytes *bytes;

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	bytes = g_queue_pop_head(f.syncd_replies);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	check_result(&f, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "claims-unavailable");
	g_queue_push_tail(f.syncd_replies, bytes);
	FIXTURE_WAIT_FOR(&f, g_queue_is_empty(f.syncd_replies));
	ck_assert_uint_eq(f.plain_count, 0);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a second run of an order, and against a duplicate that does
 * not get the kept answer.
 */
START_TEST(duplicate_gets_the_kept_answer)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	fixture_submit_call(&f, 2, key, "buy", DEADLINE_USEC);
	ck_assert(!fixture_stream(&f, 2)->done);
	fixture_submit_call(&f, 3, key, "sell", DEADLINE_USEC);
	check_result(&f, 3, CH__OUTCOME__OUTCOME_NOT_RUN, "key-reused");
	fixture_end_plain_call(f.plain_calls[0], STATUS_OK, true, "done");
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 2)->done);
	fixture_submit_call(&f, 4, key, "buy", DEADLINE_USEC);
	for (uint64_t i = 1; i <= 4; i++) {
		if (i == 3)
			continue;
		check_result(&f, i, CH__OUTCOME__OUTCOME_RUN, "");
		ck_assert_str_eq(fixture_stream(&f, i)->body, "done");
		ck_assert_uint_eq(fixture_stream(&f, i)->status, 200);
	}
	ck_assert_uint_eq(f.plain_count, 1);
	ck_assert_int_eq(f.claim_requests, 1);
	ck_assert_int_eq(f.outcomes, 1);
	fixture_destroy(&f);
}
END_TEST

/* Guards against running an order again after another router ran it. */
START_TEST(claimed_key_is_not_run_again)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	f.claims = CLAIM_DUP_RAN;
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	check_result(&f, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "duplicate-ran");
	fixture_destroy(&f);
	fixture_start_configured(&f, 4);
	f.claims = CLAIM_DUP_CLAIMED;
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	check_result(
	    &f, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "duplicate-in-progress");
	ck_assert_uint_eq(f.plain_count, 0);
	/* The claim belongs to another token. */
	ck_assert_int_eq(f.outcomes, 0);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a key that stays unusable on this router after its claim was
 * abandoned: NOT_RUN may be written up to 2 s after the order was refused.
 */
START_TEST(key_in_doubt_is_claimed_again)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	f.claims = CLAIM_DUP_CLAIMED;
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	check_result(
	    &f, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "duplicate-in-progress");
	f.claims = CLAIM_GRANT;
	fixture_submit_call(&f, 2, key, "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	fixture_end_plain_call(f.plain_calls[0], STATUS_OK, true, "done");
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 2)->done);
	check_result(&f, 2, CH__OUTCOME__OUTCOME_RUN, "");
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against the outcome "not run" for an order that may have run, and
 * against sending it a second time.
 */
START_TEST(lost_answer_is_unknown)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	fixture_end_plain_call(f.plain_calls[0], STATUS_CLOSED, true, "");
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	check_result(&f, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "no-answer");
	ck_assert_int_eq(f.outcomes, 0);
	fixture_submit_call(&f, 2, key, "buy", DEADLINE_USEC);
	check_result(&f, 2, CH__OUTCOME__OUTCOME_UNKNOWN, "no-answer");
	ck_assert_uint_eq(f.plain_count, 1);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a key that stays in use after its order certainly did not run,
 * and against sending that order again unasked.
 */
START_TEST(refused_connection_is_not_run)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	fixture_end_plain_call(f.plain_calls[0], STATUS_UNAVAILABLE, false, "");
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	check_result(
	    &f, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "backend-unavailable");
	ck_assert_int_eq(f.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
	ck_assert_uint_eq(f.plain_count, 1);
	fixture_submit_call(&f, 2, key, "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 2);
	ck_assert_int_eq(f.claim_requests, 2);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against orders whose keys are missing, malformed, expired or from the
 * future.
 */
START_TEST(keys_are_checked)
{
	/* The suffix is one character too long. */
	static const char long_key[] =
	    "12-01234567890123456789012345678901234567890123456789012345678901"
	    "234";
	static const char *const malformed[] = {"x", "12", "-a", "12-",
	    "12-a b", "12-a.b", "1e9-a", "99999999999999999999-a", long_key};
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, "", "buy", DEADLINE_USEC);
	check_result(&f, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "key-missing");
	for (uint64_t i = 0; i < 9; i++) {
		fixture_submit_call(
		    &f, 10 + i, malformed[i], "buy", DEADLINE_USEC);
		check_result(
		    &f, 10 + i, CH__OUTCOME__OUTCOME_NOT_RUN, "key-malformed");
	}
	fixture_submit_call(
	    &f, 2, make_key(&f, 121, key), "buy", DEADLINE_USEC);
	check_result(&f, 2, CH__OUTCOME__OUTCOME_UNKNOWN, "key-expired");
	fixture_submit_call(
	    &f, 3, make_key(&f, -30, key), "buy", DEADLINE_USEC);
	check_result(
	    &f, 3, CH__OUTCOME__OUTCOME_NOT_RUN, "key-from-the-future");
	ck_assert_int_eq(f.claim_requests, 0);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a claim request that is lost with the connection to the syncd,
 * and against a second claim token for the same order.
 */
START_TEST(claim_is_resent_with_same_token)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	f.claims = CLAIM_SILENT;
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	f.claims = CLAIM_GRANT;
	router_on_syncd_up(f.router);
	ck_assert_int_eq(f.claim_requests, 2);
	ck_assert_int_eq(memcmp(f.claim_tokens[0], f.claim_tokens[1], 16), 0);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against an order that is cancelled when its entry disconnects: it runs
 * to its end, its outcome is reported, and its answer is kept for a duplicate.
 */
START_TEST(sent_order_survives_entry_disconnect)
{
	struct fixture f;
	char key[64];

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	router_entry_close(f.router, &f.entry.base);
	router_entry_open(f.router, &f.entry.base);
	ck_assert(!f.plain_calls[0]->cancelled);
	fixture_end_plain_call(f.plain_calls[0], STATUS_OK, true, "done");
	ck_assert_int_eq(f.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_RAN);
	fixture_submit_call(&f, 2, key, "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 2)->done);
	ck_assert_str_eq(fixture_stream(&f, 2)->body, "done");
	ck_assert(!fixture_stream(&f, 1)->done);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against sending an order that was cancelled in the queue, or whose
 * deadline passed there.
 */
START_TEST(queued_order_can_end_unsent)
{
	struct fixture f;
	char key[64];
	char other[64];

	fixture_start_configured(&f, 1);
	fixture_submit_call(&f, 1, NULL, "look", DEADLINE_USEC);
	fixture_submit_call(&f, 2, make_key(&f, 1, key), "buy", DEADLINE_USEC);
	fixture_submit_call(
	    &f, 3, make_key(&f, 2, other), "buy", 200 * LOOP_USEC_PER_MSEC);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 3)->done);
	check_result(&f, 3, CH__OUTCOME__OUTCOME_NOT_RUN, "deadline-passed");
	ck_assert_int_eq(f.outcomes, 1);
	fixture_cancel(&f, 2);
	ck_assert_int_eq(f.outcomes, 2);
	ck_assert_int_eq(f.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
	fixture_end_plain_call(f.plain_calls[0], STATUS_OK, true, "seen");
	FIXTURE_WAIT_FOR(&f, router_job_count(f.router) == 0);
	ck_assert_uint_eq(f.plain_count, 1);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a shutdown that drops orders without an outcome: an order that
 * was not sent ends as not run, one whose claim was never requested moves to
 * another router, and one that was sent is finished.
 */
START_TEST(drain_ends_orders_by_state)
{
	struct fixture f;
	char keys[3][64];

	fixture_start_configured(&f, 1);
	fixture_submit_call(
	    &f, 1, make_key(&f, 1, keys[0]), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, f.plain_count == 1);
	fixture_submit_call(
	    &f, 2, make_key(&f, 2, keys[1]), "buy", DEADLINE_USEC);
	FIXTURE_WAIT_FOR(&f, g_queue_is_empty(f.syncd_replies));
	f.syncd_up = false;
	fixture_submit_call(
	    &f, 3, make_key(&f, 3, keys[2]), "buy", DEADLINE_USEC);
	router_drain(f.router);
	check_result(&f, 2, CH__OUTCOME__OUTCOME_NOT_RUN, "leaving");
	check_result(&f, 3, CH__OUTCOME__OUTCOME_MOVED, "leaving");
	ck_assert_int_eq(f.outcomes, 0);
	f.syncd_up = true;
	router_on_syncd_up(f.router);
	/* The outcome that was queued for the syncd. */
	ck_assert_int_eq(f.outcomes, 1);
	ck_assert_int_eq(f.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
	fixture_end_plain_call(f.plain_calls[0], STATUS_OK, true, "done");
	FIXTURE_WAIT_FOR(&f, f.drained);
	check_result(&f, 1, CH__OUTCOME__OUTCOME_RUN, "");
	ck_assert_uint_eq(f.plain_count, 1);
	fixture_destroy(&f);
}
END_TEST

HARNESS_MAIN("router_orders", order_waits_for_its_claim,
    unavailable_claim_sends_nothing, late_grant_sends_nothing,
    duplicate_gets_the_kept_answer, claimed_key_is_not_run_again,
    key_in_doubt_is_claimed_again, lost_answer_is_unknown,
    refused_connection_is_not_run, keys_are_checked,
    claim_is_resent_with_same_token, sent_order_survives_entry_disconnect,
    queued_order_can_end_unsent, drain_ends_orders_by_state)
