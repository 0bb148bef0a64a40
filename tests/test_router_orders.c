#include "router_world.h"

#define LIMIT (20 * LOOP_USEC_PER_SEC)

/*
 * Writes a key that was issued some seconds ago.
 */
static const char *
key_of(struct world *w, int64_t seconds_ago, char out[64])
{
	snprintf(out, 64, "%lld-k_1",
	    (long long)(loop_now(w->loop) / LOOP_USEC_PER_SEC - seconds_ago));
	return out;
}

/*
 * Checks how a stream has ended.
 */
static void
check_end(
    struct world *w, uint64_t stream, Ch__Outcome outcome, const char *code)
{
	const struct stream *s = world_stream(w, stream);

	ck_assert(s->done);
	ck_assert_int_eq(s->outcome, outcome);
	ck_assert_str_eq(s->code, code);
}

/* Guards against an order that is sent without its claim. */
START_TEST(order_waits_for_its_claim)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	ck_assert_int_eq(w.claim_requests, 1);
	ck_assert_uint_eq(w.plain_count, 0);
	WORLD_WAIT(&w, w.plain_count == 1);
	ck_assert(w.plain_calls[0]->once);
	ck_assert_uint_eq(w.plain_calls[0]->fence, 5);
	world_plain_end(w.plain_calls[0], STATUS_OK, true, "done");
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_RUN, "");
	ck_assert_str_eq(world_stream(&w, 1)->body, "done");
	ck_assert_int_eq(w.outcomes, 1);
	ck_assert_int_eq(w.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_RAN);
	ck_assert_uint_eq(w.outcome_status, 200);
	world_end(&w);
}
END_TEST

/*
 * Guards against an order that is sent although no claim was granted: the
 * service is unavailable, silent, or the grant is for another token.
 */
START_TEST(unavailable_claim_sends_nothing)
{
	static const enum claim_mode modes[] = {
	    CLAIM_UNAVAILABLE, CLAIM_SILENT, CLAIM_WRONG_TOKEN};

	for (size_t i = 0; i < 3; i++) {
		struct world w;
		char key[64];

		world_ready(&w, 4);
		w.claims = modes[i];
		world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
		WORLD_WAIT(&w, world_stream(&w, 1)->done);
		check_end(
		    &w, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "claims-unavailable");
		ck_assert_uint_eq(w.plain_count, 0);
		ck_assert_int_eq(
		    w.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
		world_end(&w);
	}
}
END_TEST

/* Guards against a late grant that makes an abandoned order run. */
START_TEST(late_grant_sends_nothing)
{
	struct world w;
	char key[64];
	GBytes *bytes;

	world_ready(&w, 4);
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	bytes = g_queue_pop_head(w.replies);
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "claims-unavailable");
	g_queue_push_tail(w.replies, bytes);
	WORLD_WAIT(&w, g_queue_is_empty(w.replies));
	ck_assert_uint_eq(w.plain_count, 0);
	world_end(&w);
}
END_TEST

/* Guards against a second run, and against a duplicate without its answer. */
START_TEST(duplicate_gets_the_kept_answer)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	WORLD_WAIT(&w, w.plain_count == 1);
	world_call(&w, 2, key, "buy", LIMIT);
	ck_assert(!world_stream(&w, 2)->done);
	world_call(&w, 3, key, "sell", LIMIT);
	check_end(&w, 3, CH__OUTCOME__OUTCOME_NOT_RUN, "key-reused");
	world_plain_end(w.plain_calls[0], STATUS_OK, true, "done");
	WORLD_WAIT(&w, world_stream(&w, 2)->done);
	world_call(&w, 4, key, "buy", LIMIT);
	for (uint64_t i = 1; i <= 4; i++) {
		if (i == 3)
			continue;
		check_end(&w, i, CH__OUTCOME__OUTCOME_RUN, "");
		ck_assert_str_eq(world_stream(&w, i)->body, "done");
		ck_assert_uint_eq(world_stream(&w, i)->status, 200);
	}
	ck_assert_uint_eq(w.plain_count, 1);
	ck_assert_int_eq(w.claim_requests, 1);
	ck_assert_int_eq(w.outcomes, 1);
	world_end(&w);
}
END_TEST

/* Guards against an order that runs again after another router ran it. */
START_TEST(claimed_key_is_not_run_again)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	w.claims = CLAIM_DUP_RAN;
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "duplicate-ran");
	world_end(&w);
	world_ready(&w, 4);
	w.claims = CLAIM_DUP_CLAIMED;
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "duplicate-in-progress");
	ck_assert_uint_eq(w.plain_count, 0);
	/* The claim belongs to another token. */
	ck_assert_int_eq(w.outcomes, 0);
	world_end(&w);
}
END_TEST

/*
 * Guards against a key that stays unusable on this router after its claim has
 * been given up: NOT_RUN may be written up to 2 s after the order was refused.
 */
START_TEST(key_in_doubt_is_claimed_again)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	w.claims = CLAIM_DUP_CLAIMED;
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "duplicate-in-progress");
	w.claims = CLAIM_GRANT;
	world_call(&w, 2, key, "buy", LIMIT);
	WORLD_WAIT(&w, w.plain_count == 1);
	world_plain_end(w.plain_calls[0], STATUS_OK, true, "done");
	WORLD_WAIT(&w, world_stream(&w, 2)->done);
	check_end(&w, 2, CH__OUTCOME__OUTCOME_RUN, "");
	world_end(&w);
}
END_TEST

/*
 * Guards against "not run" for an order that may have run, and against a
 * second try of it.
 */
START_TEST(lost_answer_is_unknown)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	WORLD_WAIT(&w, w.plain_count == 1);
	world_plain_end(w.plain_calls[0], STATUS_CLOSED, true, "");
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_UNKNOWN, "no-answer");
	ck_assert_int_eq(w.outcomes, 0);
	world_call(&w, 2, key, "buy", LIMIT);
	check_end(&w, 2, CH__OUTCOME__OUTCOME_UNKNOWN, "no-answer");
	ck_assert_uint_eq(w.plain_count, 1);
	world_end(&w);
}
END_TEST

/*
 * Guards against a key that is used up by an order which certainly did not
 * run, and against a silent second try of it.
 */
START_TEST(refused_connection_is_not_run)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	WORLD_WAIT(&w, w.plain_count == 1);
	world_plain_end(w.plain_calls[0], STATUS_UNAVAILABLE, false, "");
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "backend-unavailable");
	ck_assert_int_eq(w.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
	ck_assert_uint_eq(w.plain_count, 1);
	world_call(&w, 2, key, "buy", LIMIT);
	WORLD_WAIT(&w, w.plain_count == 2);
	ck_assert_int_eq(w.claim_requests, 2);
	world_end(&w);
}
END_TEST

/* Guards against orders with keys that cannot be checked. */
START_TEST(keys_are_checked)
{
	/* One character too many. */
	static const char long_key[] =
	    "12-01234567890123456789012345678901234567890123456789012345678901"
	    "234";
	static const char *const malformed[] = {"x", "12", "-a", "12-",
	    "12-a b", "12-a.b", "1e9-a", "99999999999999999999-a", long_key};
	struct world w;
	char key[64];

	world_ready(&w, 4);
	world_call(&w, 1, "", "buy", LIMIT);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_NOT_RUN, "key-missing");
	for (uint64_t i = 0; i < 9; i++) {
		world_call(&w, 10 + i, malformed[i], "buy", LIMIT);
		check_end(
		    &w, 10 + i, CH__OUTCOME__OUTCOME_NOT_RUN, "key-malformed");
	}
	world_call(&w, 2, key_of(&w, 121, key), "buy", LIMIT);
	check_end(&w, 2, CH__OUTCOME__OUTCOME_UNKNOWN, "key-expired");
	world_call(&w, 3, key_of(&w, -30, key), "buy", LIMIT);
	check_end(&w, 3, CH__OUTCOME__OUTCOME_NOT_RUN, "key-from-the-future");
	ck_assert_int_eq(w.claim_requests, 0);
	world_end(&w);
}
END_TEST

/*
 * Guards against a claim that is lost with the link to the syncd, and against
 * a second token for the same order.
 */
START_TEST(claim_is_sent_again_with_its_token)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	w.claims = CLAIM_SILENT;
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	w.claims = CLAIM_GRANT;
	router_on_syncd_up(w.router);
	ck_assert_int_eq(w.claim_requests, 2);
	ck_assert_int_eq(memcmp(w.claim_tokens[0], w.claim_tokens[1], 16), 0);
	WORLD_WAIT(&w, w.plain_count == 1);
	world_end(&w);
}
END_TEST

/*
 * Guards against an order that is cut off with its caller: it runs to its
 * end, its outcome is reported, and the answer is there for a second request.
 */
START_TEST(sent_order_outlives_its_entry)
{
	struct world w;
	char key[64];

	world_ready(&w, 4);
	world_call(&w, 1, key_of(&w, 1, key), "buy", LIMIT);
	WORLD_WAIT(&w, w.plain_count == 1);
	router_entry_close(w.router, &w.entry.base);
	router_entry_open(w.router, &w.entry.base);
	ck_assert(!w.plain_calls[0]->cancelled);
	world_plain_end(w.plain_calls[0], STATUS_OK, true, "done");
	ck_assert_int_eq(w.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_RAN);
	world_call(&w, 2, key, "buy", LIMIT);
	WORLD_WAIT(&w, world_stream(&w, 2)->done);
	ck_assert_str_eq(world_stream(&w, 2)->body, "done");
	ck_assert(!world_stream(&w, 1)->done);
	world_end(&w);
}
END_TEST

/*
 * Guards against an order that is cancelled in the queue and sent later, and
 * against one whose deadline passes there.
 */
START_TEST(queued_order_can_end_unsent)
{
	struct world w;
	char key[64];
	char other[64];

	world_ready(&w, 1);
	world_call(&w, 1, NULL, "look", LIMIT);
	world_call(&w, 2, key_of(&w, 1, key), "buy", LIMIT);
	world_call(
	    &w, 3, key_of(&w, 2, other), "buy", 200 * LOOP_USEC_PER_MSEC);
	WORLD_WAIT(&w, world_stream(&w, 3)->done);
	check_end(&w, 3, CH__OUTCOME__OUTCOME_NOT_RUN, "deadline-passed");
	ck_assert_int_eq(w.outcomes, 1);
	world_cancel(&w, 2);
	ck_assert_int_eq(w.outcomes, 2);
	ck_assert_int_eq(w.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
	world_plain_end(w.plain_calls[0], STATUS_OK, true, "seen");
	WORLD_WAIT(&w, router_job_count(w.router) == 0);
	ck_assert_uint_eq(w.plain_count, 1);
	world_end(&w);
}
END_TEST

/*
 * Guards against a shutdown that drops an order without a word: an order that
 * was not sent is not run, one whose claim was never requested moves, one that
 * was sent is finished.
 */
START_TEST(drain_settles_orders)
{
	struct world w;
	char keys[3][64];

	world_ready(&w, 1);
	world_call(&w, 1, key_of(&w, 1, keys[0]), "buy", LIMIT);
	WORLD_WAIT(&w, w.plain_count == 1);
	world_call(&w, 2, key_of(&w, 2, keys[1]), "buy", LIMIT);
	WORLD_WAIT(&w, g_queue_is_empty(w.replies));
	w.up = false;
	world_call(&w, 3, key_of(&w, 3, keys[2]), "buy", LIMIT);
	router_drain(w.router);
	check_end(&w, 2, CH__OUTCOME__OUTCOME_NOT_RUN, "leaving");
	check_end(&w, 3, CH__OUTCOME__OUTCOME_MOVED, "leaving");
	ck_assert_int_eq(w.outcomes, 0);
	w.up = true;
	router_on_syncd_up(w.router);
	/* The outcome that waited for the syncd. */
	ck_assert_int_eq(w.outcomes, 1);
	ck_assert_int_eq(w.outcome_state, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN);
	world_plain_end(w.plain_calls[0], STATUS_OK, true, "done");
	WORLD_WAIT(&w, w.drained);
	check_end(&w, 1, CH__OUTCOME__OUTCOME_RUN, "");
	ck_assert_uint_eq(w.plain_count, 1);
	world_end(&w);
}
END_TEST

HARNESS_MAIN("router_orders", order_waits_for_its_claim,
    unavailable_claim_sends_nothing, late_grant_sends_nothing,
    duplicate_gets_the_kept_answer, claimed_key_is_not_run_again,
    key_in_doubt_is_claimed_again, lost_answer_is_unknown,
    refused_connection_is_not_run, keys_are_checked,
    claim_is_sent_again_with_its_token, sent_order_outlives_its_entry,
    queued_order_can_end_unsent, drain_settles_orders)
