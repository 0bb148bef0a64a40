#include "router_world.h"

/*
 * Returns the last call of the fake engine.
 */
static struct engine_call *
last_call(struct world *w)
{
	ck_assert_uint_gt(w->call_count, 0);
	return w->calls[w->call_count - 1];
}

/* Guards against work that a router takes before it knows the rules. */
START_TEST(router_without_configuration_refuses)
{
	struct world w;
	struct stream *s;

	world_start(&w, 4, TOKEN_TIMEOUT_USEC);
	world_submit(&w, 1);
	s = world_stream(&w, 1);
	ck_assert(s->done);
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(s->code, "not-ready");
	ck_assert_int_gt(s->retry_at, loop_now(w.loop));
	ck_assert_uint_eq(w.call_count, 0);
	world_end(&w);
}
END_TEST

/* Guards against lost, doubled or early tokens and a missing end. */
START_TEST(tokens_reach_the_entry)
{
	struct world w;
	struct stream *s;

	world_ready(&w, 4);
	world_submit(&w, 1);
	s = world_stream(&w, 1);
	world_token(last_call(&w), 0, "a", false);
	/* Held until the copy of the record is acknowledged. */
	ck_assert_str_eq(s->tokens, "");
	WORLD_WAIT(&w, strcmp(s->tokens, "a") == 0);
	world_token(last_call(&w), 1, "b", false);
	ck_assert_str_eq(s->tokens, "ab");
	world_token(last_call(&w), 2, "c", true);
	ck_assert(!s->done);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	ck_assert(s->done);
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_RUN);
	ck_assert_str_eq(s->tokens, "abc");
	ck_assert_uint_eq(s->count, 3);
	ck_assert_uint_eq(s->attempt, 1);
	ck_assert_uint_eq(router_job_count(w.router), 0);
	world_end(&w);
}
END_TEST

/*
 * Guards against an answer that is held for good when no copy of the record
 * can be made.
 */
START_TEST(answer_is_released_without_copy)
{
	struct world w;
	struct stream *s;
	int64_t begun;

	world_ready(&w, 4);
	w.ack_records = false;
	begun = loop_now(w.loop);
	world_submit(&w, 1);
	s = world_stream(&w, 1);
	world_token(last_call(&w), 0, "a", true);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	ck_assert(!s->done);
	WORLD_WAIT(&w, s->done);
	ck_assert_str_eq(s->tokens, "a");
	ck_assert_int_ge(loop_now(w.loop) - begun, 250 * LOOP_USEC_PER_MSEC);
	world_end(&w);
}
END_TEST

/*
 * Guards against a token of an old attempt that is delivered after a retry,
 * through the old call or crossed into the new one.
 */
START_TEST(old_token_is_dropped_after_retry)
{
	struct world w;
	struct stream *s;
	struct engine_call *old;

	world_ready(&w, 4);
	world_submit(&w, 1);
	s = world_stream(&w, 1);
	old = last_call(&w);
	world_token(old, 0, "a", false);
	WORLD_WAIT(&w, strcmp(s->tokens, "a") == 0);
	WORLD_WAIT(&w, w.call_count == 2);
	ck_assert(old->cancelled);
	ck_assert_uint_eq(last_call(&w)->attempt, 2);
	ck_assert_uint_eq(last_call(&w)->start, 1);
	ck_assert_uint_eq(last_call(&w)->delivered, 1);
	world_token_of(old, 1, 1, "old", false);
	ck_assert_str_eq(s->tokens, "a");
	world_token_of(last_call(&w), 1, 1, "crossed", false);
	ck_assert_str_eq(s->tokens, "a");
	/* The wrong token failed the attempt; the next one goes on. */
	WORLD_WAIT(&w, w.call_count == 3);
	world_token(last_call(&w), 1, "b", true);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	ck_assert(s->done);
	ck_assert_str_eq(s->tokens, "ab");
	ck_assert_uint_eq(s->attempt, 3);
	world_end(&w);
}
END_TEST

/* Guards against the token of one request in the response to another. */
START_TEST(crossed_token_is_not_delivered)
{
	struct world w;

	world_ready(&w, 4);
	world_submit(&w, 1);
	world_submit(&w, 2);
	g_strlcpy(w.calls[0]->request, "r2", sizeof(w.calls[0]->request));
	world_token_of(w.calls[0], 0, 1, "crossed", true);
	ck_assert(w.calls[0]->cancelled);
	WORLD_WAIT(&w, w.call_count == 3);
	ck_assert_str_eq(world_stream(&w, 1)->tokens, "");
	ck_assert_str_eq(last_call(&w)->request, "r1");
	world_token(last_call(&w), 0, "x", true);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	world_token(w.calls[1], 0, "y", true);
	world_call_end(w.calls[1], STATUS_OK, true, false);
	WORLD_WAIT(&w, world_stream(&w, 1)->done && world_stream(&w, 2)->done);
	ck_assert_str_eq(world_stream(&w, 1)->tokens, "x");
	ck_assert_str_eq(world_stream(&w, 2)->tokens, "y");
	world_end(&w);
}
END_TEST

/* Guards against a retry on the stage that has just died. */
START_TEST(dead_stage_is_avoided)
{
	struct world w;
	char dead[16];

	world_ready(&w, 4);
	world_submit(&w, 1);
	g_strlcpy(dead, last_call(&w)->names[1], sizeof(dead));
	w.dead = dead;
	world_call_end(last_call(&w), STATUS_CLOSED, true, false);
	WORLD_WAIT(&w, w.call_count == 2);
	ck_assert_str_ne(last_call(&w)->names[1], dead);
	world_token(last_call(&w), 0, "a", true);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	ck_assert_int_eq(
	    world_stream(&w, 1)->outcome, CH__OUTCOME__OUTCOME_RUN);
	world_end(&w);
}
END_TEST

/*
 * Guards against a dead stage that is found only at the end of the time-out
 * for tokens, and against a slow one that is taken for dead.
 */
START_TEST(silent_stage_is_found_early)
{
	struct world w;
	char dead[16];
	int64_t begun;

	world_ready_with(&w, 4, HARNESS_DEADLINE_USEC / 2);
	world_submit(&w, 1);
	g_strlcpy(dead, last_call(&w)->names[1], sizeof(dead));
	w.dead = dead;
	begun = loop_now(w.loop);
	WORLD_WAIT(&w, w.call_count == 2);
	ck_assert_int_lt(loop_now(w.loop) - begun, HARNESS_DEADLINE_USEC / 4);
	ck_assert_str_ne(last_call(&w)->names[1], dead);
	/* Now every stage answers, but no token comes. */
	w.dead = NULL;
	begun = loop_now(w.loop);
	WORLD_WAIT(&w, loop_now(w.loop) - begun > LOOP_USEC_PER_SEC);
	ck_assert_uint_eq(w.call_count, 2);
	world_end(&w);
}
END_TEST

/*
 * Guards against a response that stays on a chain which has become slow while
 * another one is fast.
 */
START_TEST(slow_chain_is_left)
{
	struct world w;
	uint32_t position = 0;
	int64_t sent_at;

	world_ready_with(&w, 4, HARNESS_DEADLINE_USEC);
	world_submit(&w, 1);
	while (w.call_count == 1) {
		ck_assert_uint_lt(position, 20);
		world_token(w.calls[0], position++, "a", false);
		sent_at = loop_now(w.loop);
		WORLD_WAIT(&w,
		    w.call_count == 2 ||
			loop_now(w.loop) - sent_at > 60 * LOOP_USEC_PER_MSEC);
	}
	ck_assert(w.calls[0]->cancelled);
	ck_assert(strcmp(w.calls[0]->names[0], w.calls[1]->names[0]) != 0 ||
	    strcmp(w.calls[0]->names[1], w.calls[1]->names[1]) != 0);
	ck_assert_uint_eq(w.calls[1]->start, position);
	world_token(w.calls[1], position, "b", true);
	world_call_end(w.calls[1], STATUS_OK, true, false);
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	ck_assert_uint_eq(world_stream(&w, 1)->count, position + 1);
	world_end(&w);
}
END_TEST

/*
 * Guards against one wrong token after another that leaves a replica without
 * any instance: the stage whose step is wrong is avoided, and never the last
 * chain.
 */
START_TEST(wrong_trail_blames_its_stage)
{
	struct world w;
	struct engine_call *call;
	char wrong[16];

	world_ready(&w, 4);
	world_submit(&w, 1);
	call = last_call(&w);
	g_strlcpy(wrong, call->names[1], sizeof(wrong));
	call->steps[2] = call->steps[1];
	call->count = 3;
	world_token(call, 0, "a", false);
	WORLD_WAIT(&w, w.call_count == 2);
	ck_assert_str_ne(last_call(&w)->names[1], wrong);
	for (size_t i = 3; i <= 4; i++) {
		call = last_call(&w);
		call->steps[0].first++;
		world_token(call, 0, "a", false);
		WORLD_WAIT(&w, w.call_count == i || world_stream(&w, 1)->done);
	}
	ck_assert_str_eq(world_stream(&w, 1)->tokens, "");
	ck_assert_uint_eq(w.call_count, 4);
	world_submit(&w, 2);
	ck_assert_uint_eq(w.call_count, 5);
	world_end(&w);
}
END_TEST

/* Guards against a response that ends early and is passed off as complete. */
START_TEST(stream_without_last_token_is_resumed)
{
	struct world w;

	world_ready(&w, 4);
	world_submit(&w, 1);
	world_token(last_call(&w), 0, "a", false);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	ck_assert(!world_stream(&w, 1)->done);
	WORLD_WAIT(&w, w.call_count == 2);
	ck_assert_uint_eq(last_call(&w)->start, 1);
	world_end(&w);
}
END_TEST

/*
 * Guards against a request that is lost when no chain of the replica is left:
 * the entry learns what was delivered and goes on elsewhere.
 */
START_TEST(request_moves_without_a_chain)
{
	struct world w;
	struct stream *s;

	world_ready(&w, 4);
	world_submit(&w, 1);
	s = world_stream(&w, 1);
	world_token(last_call(&w), 0, "a", false);
	WORLD_WAIT(&w, strcmp(s->tokens, "a") == 0);
	world_call_end(last_call(&w), STATUS_UNAVAILABLE, false, false);
	WORLD_WAIT(&w, w.call_count == 2);
	world_call_end(last_call(&w), STATUS_UNAVAILABLE, false, false);
	WORLD_WAIT(&w, s->done);
	ck_assert_uint_eq(w.call_count, 2);
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_MOVED);
	ck_assert_uint_eq(s->count, 1);
	ck_assert_uint_eq(s->attempt, 2);
	world_end(&w);
}
END_TEST

/*
 * Guards against new work for an engine that said it is leaving, and against
 * a syncd that does not hear of it.
 */
START_TEST(leaving_engine_is_excluded_and_reported)
{
	struct world w;
	char left[16];

	world_ready(&w, 16);
	world_submit(&w, 1);
	g_strlcpy(left, last_call(&w)->names[0], sizeof(left));
	world_call_end(last_call(&w), STATUS_UNAVAILABLE, false, true);
	ck_assert_str_eq(w.left, left);
	WORLD_WAIT(&w, w.call_count == 2);
	for (uint64_t i = 2; i < 6; i++)
		world_submit(&w, i);
	for (size_t i = 1; i < w.call_count; i++)
		ck_assert_str_ne(w.calls[i]->names[0], left);
	world_end(&w);
}
END_TEST

/* Guards against engines that work for a caller who is gone. */
START_TEST(cancelled_work_stops)
{
	struct world w;

	world_ready(&w, 1);
	world_submit(&w, 1);
	world_submit(&w, 2);
	world_submit(&w, 3);
	ck_assert_uint_eq(w.call_count, 1);
	world_cancel(&w, 2);
	world_cancel(&w, 1);
	ck_assert(w.calls[0]->cancelled);
	ck_assert_uint_eq(w.call_count, 2);
	ck_assert_str_eq(w.calls[1]->request, "r3");
	ck_assert_uint_eq(router_job_count(w.router), 1);
	router_entry_close(w.router, &w.entry.base);
	ck_assert(w.calls[1]->cancelled);
	ck_assert_uint_eq(router_job_count(w.router), 0);
	router_entry_open(w.router, &w.entry.base);
	world_end(&w);
}
END_TEST

/*
 * Guards against a replica that runs more than its limit, a queue without a
 * bound, and a refusal without a retry time.
 */
START_TEST(queue_is_bounded)
{
	struct world w;

	world_ready(&w, 1);
	for (uint64_t i = 1; i <= 6; i++)
		world_submit(&w, i);
	ck_assert_uint_eq(w.call_count, 1);
	ck_assert(world_stream(&w, 6)->done);
	ck_assert_int_eq(
	    world_stream(&w, 6)->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(world_stream(&w, 6)->code, "queue-full");
	ck_assert_int_gt(world_stream(&w, 6)->retry_at, loop_now(w.loop));
	for (uint32_t i = 0; i < 5; i++) {
		ck_assert_uint_eq(w.call_count, i + 1);
		world_token(last_call(&w), 0, "a", true);
		world_call_end(last_call(&w), STATUS_OK, true, false);
	}
	WORLD_WAIT(&w, router_job_count(w.router) == 0);
	ck_assert_int_eq(
	    world_stream(&w, 5)->outcome, CH__OUTCOME__OUTCOME_RUN);
	world_end(&w);
}
END_TEST

/*
 * Guards against a queued request that is started when it cannot end before
 * its deadline: its tokens would be made for an answer that is cut off.
 */
START_TEST(late_request_is_not_started)
{
	struct world w;
	int64_t deadline;

	world_ready_with(&w, 1, HARNESS_DEADLINE_USEC);
	world_submit(&w, 1);
	/* 100 tokens of 8 layers of 500 us take 400 ms. */
	deadline = loop_now(w.loop) + 1000 * LOOP_USEC_PER_MSEC;
	world_submit_with(&w, 2, 100, 1000 * LOOP_USEC_PER_MSEC);
	ck_assert(!world_stream(&w, 2)->done);
	WORLD_WAIT(&w, loop_now(w.loop) > deadline - 350 * LOOP_USEC_PER_MSEC);
	world_token(last_call(&w), 0, "a", true);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	ck_assert_uint_eq(w.call_count, 1);
	ck_assert(world_stream(&w, 2)->done);
	ck_assert_int_eq(
	    world_stream(&w, 2)->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	world_end(&w);
}
END_TEST

/* Guards against organisations without a limit or without a rule. */
START_TEST(organisation_is_checked)
{
	struct world w;
	struct stream *s;

	world_ready(&w, 16);
	for (uint64_t i = 1; i <= 9; i++)
		world_submit(&w, i);
	s = world_stream(&w, 9);
	ck_assert(s->done);
	ck_assert_str_eq(s->code, "organisation-limit");
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_uint_eq(w.call_count, 8);
	world_end(&w);
}
END_TEST

/*
 * Guards against a shutdown that interrupts running work, keeps queued work,
 * takes new work, or loses the record.
 */
START_TEST(drain_finishes_running_work)
{
	struct world w;

	world_ready(&w, 1);
	world_submit(&w, 1);
	world_submit(&w, 2);
	world_token(last_call(&w), 0, "a", false);
	router_drain(w.router);
	ck_assert(w.role_leaving);
	ck_assert(!router_is_ready(w.router));
	ck_assert(world_stream(&w, 2)->done);
	ck_assert_int_eq(
	    world_stream(&w, 2)->outcome, CH__OUTCOME__OUTCOME_MOVED);
	world_submit(&w, 3);
	ck_assert_int_eq(
	    world_stream(&w, 3)->outcome, CH__OUTCOME__OUTCOME_MOVED);
	ck_assert(!world_stream(&w, 1)->done);
	WORLD_WAIT(&w, strcmp(world_stream(&w, 1)->tokens, "a") == 0);
	ck_assert(!w.drained);
	world_token(last_call(&w), 1, "b", true);
	world_call_end(last_call(&w), STATUS_OK, true, false);
	ck_assert_int_eq(
	    world_stream(&w, 1)->outcome, CH__OUTCOME__OUTCOME_RUN);
	WORLD_WAIT(&w, w.drained);
	ck_assert_int_ge(w.stored, 1);
	world_end(&w);
}
END_TEST

/* Guards against a look-up that is lost with one instance. */
START_TEST(failed_lookup_is_repeated_elsewhere)
{
	struct world w;

	world_ready(&w, 4);
	world_call(&w, 1, NULL, "x", 100 * LOOP_USEC_PER_MSEC);
	ck_assert_uint_eq(w.plain_count, 1);
	world_plain_end(w.plain_calls[0], STATUS_TIMEOUT, true, "");
	WORLD_WAIT(&w, w.plain_count == 2);
	ck_assert_str_ne(w.plain_calls[0]->address, w.plain_calls[1]->address);
	world_plain_end(w.plain_calls[1], STATUS_OK, true, "answer");
	WORLD_WAIT(&w, world_stream(&w, 1)->done);
	ck_assert_str_eq(world_stream(&w, 1)->body, "answer");
	ck_assert_uint_eq(world_stream(&w, 1)->status, 200);
	world_end(&w);
}
END_TEST

/* Guards against a dump that fails while requests are in every state. */
START_TEST(dump_lists_the_tables)
{
	struct world w;
	json_t *dump;

	world_ready(&w, 1);
	world_submit(&w, 1);
	world_submit(&w, 2);
	dump = router_dump(w.router);
	ck_assert_ptr_nonnull(dump);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(dump, "requests")), 2);
	ck_assert_uint_eq(json_array_size(json_object_get(dump, "jobs")), 2);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(dump, "replicas")), 1);
	json_decref(dump);
	world_end(&w);
}
END_TEST

HARNESS_MAIN("router", router_without_configuration_refuses,
    tokens_reach_the_entry, answer_is_released_without_copy,
    old_token_is_dropped_after_retry, crossed_token_is_not_delivered,
    dead_stage_is_avoided, silent_stage_is_found_early, slow_chain_is_left,
    wrong_trail_blames_its_stage, stream_without_last_token_is_resumed,
    request_moves_without_a_chain, leaving_engine_is_excluded_and_reported,
    cancelled_work_stops, queue_is_bounded, late_request_is_not_started,
    organisation_is_checked, drain_finishes_running_work,
    failed_lookup_is_repeated_elsewhere, dump_lists_the_tables)
