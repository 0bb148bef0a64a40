#include "router_fixture.h"

#define BODY_BYTES ((size_t)200 * 1000)

/*
 * Returns the most recent call of the fake engine.
 */
static struct engine_call *
last_call(struct fixture *f)
{
	ck_assert_uint_gt(f->call_count, 0);
	return f->calls[f->call_count - 1];
}

/*
 * Guards against a router that accepts requests before it has a configuration.
 */
START_TEST(router_without_configuration_refuses)
{
	struct fixture f;
	struct stream *s;

	fixture_start(&f, 4, TOKEN_TIMEOUT_USEC);
	fixture_submit(&f, 1);
	s = fixture_stream(&f, 1);
	ck_assert(s->done);
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(s->code, "not-ready");
	ck_assert_int_gt(s->retry_at, loop_now(f.loop));
	ck_assert_uint_eq(f.call_count, 0);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against tokens that are lost, duplicated or sent before the record
 * entry was replicated, and against a missing end.
 */
START_TEST(tokens_reach_the_entry)
{
	struct fixture f;
	struct stream *s;

	fixture_start_configured(&f, 4);
	fixture_submit(&f, 1);
	s = fixture_stream(&f, 1);
	fixture_send_token(last_call(&f), 0, "a", false);
	/* Held until the replication of the record entry is acknowledged. */
	ck_assert_str_eq(s->tokens, "");
	FIXTURE_WAIT_FOR(&f, strcmp(s->tokens, "a") == 0);
	fixture_send_token(last_call(&f), 1, "b", false);
	ck_assert_str_eq(s->tokens, "ab");
	fixture_send_token(last_call(&f), 2, "c", true);
	ck_assert(!s->done);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	ck_assert(s->done);
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_RUN);
	ck_assert_str_eq(s->tokens, "abc");
	ck_assert_uint_eq(s->count, 3);
	ck_assert_uint_eq(s->attempt, 1);
	ck_assert_uint_eq(router_job_count(f.router), 0);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against an answer that is held forever when its record entry cannot be
 * replicated.
 */
START_TEST(answer_is_released_without_copy)
{
	struct fixture f;
	struct stream *s;
	int64_t started_at;

	fixture_start_configured(&f, 4);
	f.ack_records = false;
	started_at = loop_now(f.loop);
	fixture_submit(&f, 1);
	s = fixture_stream(&f, 1);
	fixture_send_token(last_call(&f), 0, "a", true);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	ck_assert(!s->done);
	FIXTURE_WAIT_FOR(&f, s->done);
	ck_assert_str_eq(s->tokens, "a");
	ck_assert_int_ge(
	    loop_now(f.loop) - started_at, 250 * LOOP_USEC_PER_MSEC);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against delivering a token of an earlier attempt after a retry,
 * whether it arrives on the old call or on the new one.
 */
START_TEST(old_token_is_dropped_after_retry)
{
	struct fixture f;
	struct stream *s;
	struct engine_call *old;

	fixture_start_configured(&f, 4);
	fixture_submit(&f, 1);
	s = fixture_stream(&f, 1);
	old = last_call(&f);
	fixture_send_token(old, 0, "a", false);
	FIXTURE_WAIT_FOR(&f, strcmp(s->tokens, "a") == 0);
	FIXTURE_WAIT_FOR(&f, f.call_count == 2);
	ck_assert(old->cancelled);
	ck_assert_uint_eq(last_call(&f)->attempt, 2);
	ck_assert_uint_eq(last_call(&f)->start, 1);
	ck_assert_uint_eq(last_call(&f)->delivered, 1);
	fixture_send_token_of_attempt(old, 1, 1, "old", false);
	ck_assert_str_eq(s->tokens, "a");
	fixture_send_token_of_attempt(last_call(&f), 1, 1, "crossed", false);
	ck_assert_str_eq(s->tokens, "a");
	/* The wrong token failed the attempt; the next attempt resumes. */
	FIXTURE_WAIT_FOR(&f, f.call_count == 3);
	fixture_send_token(last_call(&f), 1, "b", true);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	ck_assert(s->done);
	ck_assert_str_eq(s->tokens, "ab");
	ck_assert_uint_eq(s->attempt, 3);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against delivering a token of one request in the response to another.
 */
START_TEST(crossed_token_is_not_delivered)
{
	struct fixture f;

	fixture_start_configured(&f, 4);
	fixture_submit(&f, 1);
	fixture_submit(&f, 2);
	g_strlcpy(f.calls[0]->request, "r2", sizeof(f.calls[0]->request));
	fixture_send_token_of_attempt(f.calls[0], 0, 1, "crossed", true);
	ck_assert(f.calls[0]->cancelled);
	FIXTURE_WAIT_FOR(&f, f.call_count == 3);
	ck_assert_str_eq(fixture_stream(&f, 1)->tokens, "");
	ck_assert_str_eq(last_call(&f)->request, "r1");
	fixture_send_token(last_call(&f), 0, "x", true);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	fixture_send_token(f.calls[1], 0, "y", true);
	fixture_end_call(f.calls[1], STATUS_OK, true, false);
	FIXTURE_WAIT_FOR(
	    &f, fixture_stream(&f, 1)->done && fixture_stream(&f, 2)->done);
	ck_assert_str_eq(fixture_stream(&f, 1)->tokens, "x");
	ck_assert_str_eq(fixture_stream(&f, 2)->tokens, "y");
	fixture_destroy(&f);
}
END_TEST

/* Guards against a retry on the stage that has just failed. */
START_TEST(dead_stage_is_avoided)
{
	struct fixture f;
	char dead_instance[16];

	fixture_start_configured(&f, 4);
	fixture_submit(&f, 1);
	g_strlcpy(
	    dead_instance, last_call(&f)->names[1], sizeof(dead_instance));
	f.dead_instance = dead_instance;
	fixture_end_call(last_call(&f), STATUS_CLOSED, true, false);
	FIXTURE_WAIT_FOR(&f, f.call_count == 2);
	ck_assert_str_ne(last_call(&f)->names[1], dead_instance);
	fixture_send_token(last_call(&f), 0, "a", true);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	ck_assert_int_eq(
	    fixture_stream(&f, 1)->outcome, CH__OUTCOME__OUTCOME_RUN);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a dead stage that is found only when the token timeout
 * expires, and against a slow stage that is treated as dead.
 */
START_TEST(dead_stage_is_found_before_token_timeout)
{
	struct fixture f;
	char dead_instance[16];
	int64_t started_at;

	fixture_start_configured_with(&f, 4, HARNESS_DEADLINE_USEC / 2);
	fixture_submit(&f, 1);
	g_strlcpy(
	    dead_instance, last_call(&f)->names[1], sizeof(dead_instance));
	f.dead_instance = dead_instance;
	started_at = loop_now(f.loop);
	FIXTURE_WAIT_FOR(&f, f.call_count == 2);
	ck_assert_int_lt(
	    loop_now(f.loop) - started_at, HARNESS_DEADLINE_USEC / 4);
	ck_assert_str_ne(last_call(&f)->names[1], dead_instance);
	/* Now every stage answers the probe, but no token arrives. */
	f.dead_instance = NULL;
	started_at = loop_now(f.loop);
	FIXTURE_WAIT_FOR(&f, loop_now(f.loop) - started_at > LOOP_USEC_PER_SEC);
	ck_assert_uint_eq(f.call_count, 2);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a response that stays on a route which has become slow
 * although a fast one exists.
 */
START_TEST(slow_route_is_abandoned)
{
	struct fixture f;
	uint32_t position = 0;
	int64_t sent_at;

	fixture_start_configured_with(&f, 4, HARNESS_DEADLINE_USEC);
	fixture_submit(&f, 1);
	while (f.call_count == 1) {
		ck_assert_uint_lt(position, 20);
		fixture_send_token(f.calls[0], position++, "a", false);
		sent_at = loop_now(f.loop);
		FIXTURE_WAIT_FOR(&f,
		    f.call_count == 2 ||
			loop_now(f.loop) - sent_at > 60 * LOOP_USEC_PER_MSEC);
	}
	ck_assert(f.calls[0]->cancelled);
	ck_assert(strcmp(f.calls[0]->names[0], f.calls[1]->names[0]) != 0 ||
	    strcmp(f.calls[0]->names[1], f.calls[1]->names[1]) != 0);
	ck_assert_uint_eq(f.calls[1]->start, position);
	fixture_send_token(f.calls[1], position, "b", true);
	fixture_end_call(f.calls[1], STATUS_OK, true, false);
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	ck_assert_uint_eq(fixture_stream(&f, 1)->count, position + 1);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against repeated wrong tokens that leave a replica without any
 * instance: only the stage whose step is wrong is excluded, and never the last
 * route.
 */
START_TEST(wrong_trail_excludes_its_stage)
{
	struct fixture f;
	struct engine_call *call;
	char wrong[16];

	fixture_start_configured(&f, 4);
	fixture_submit(&f, 1);
	call = last_call(&f);
	g_strlcpy(wrong, call->names[1], sizeof(wrong));
	call->steps[2] = call->steps[1];
	call->count = 3;
	fixture_send_token(call, 0, "a", false);
	FIXTURE_WAIT_FOR(&f, f.call_count == 2);
	ck_assert_str_ne(last_call(&f)->names[1], wrong);
	for (size_t i = 3; i <= 4; i++) {
		call = last_call(&f);
		call->steps[0].first++;
		fixture_send_token(call, 0, "a", false);
		FIXTURE_WAIT_FOR(
		    &f, f.call_count == i || fixture_stream(&f, 1)->done);
	}
	ck_assert_str_eq(fixture_stream(&f, 1)->tokens, "");
	ck_assert_uint_eq(f.call_count, 4);
	fixture_submit(&f, 2);
	ck_assert_uint_eq(f.call_count, 5);
	fixture_destroy(&f);
}
END_TEST

/* Guards against a response that ends early but is reported as complete. */
START_TEST(stream_without_last_token_is_resumed)
{
	struct fixture f;

	fixture_start_configured(&f, 4);
	fixture_submit(&f, 1);
	fixture_send_token(last_call(&f), 0, "a", false);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	ck_assert(!fixture_stream(&f, 1)->done);
	FIXTURE_WAIT_FOR(&f, f.call_count == 2);
	ck_assert_uint_eq(last_call(&f)->start, 1);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a request that is lost when the replica has no route left: the
 * entry learns how many tokens were delivered and resumes on another replica.
 */
START_TEST(request_moves_without_a_route)
{
	struct fixture f;
	struct stream *s;

	fixture_start_configured(&f, 4);
	fixture_submit(&f, 1);
	s = fixture_stream(&f, 1);
	fixture_send_token(last_call(&f), 0, "a", false);
	FIXTURE_WAIT_FOR(&f, strcmp(s->tokens, "a") == 0);
	fixture_end_call(last_call(&f), STATUS_UNAVAILABLE, false, false);
	FIXTURE_WAIT_FOR(&f, f.call_count == 2);
	fixture_end_call(last_call(&f), STATUS_UNAVAILABLE, false, false);
	FIXTURE_WAIT_FOR(&f, s->done);
	ck_assert_uint_eq(f.call_count, 2);
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_MOVED);
	ck_assert_uint_eq(s->count, 1);
	ck_assert_uint_eq(s->attempt, 2);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against new requests for an engine that reported that it is leaving,
 * and against a syncd that is not notified.
 */
START_TEST(leaving_engine_is_excluded_and_reported)
{
	struct fixture f;
	char leaving_instance[16];

	fixture_start_configured(&f, 16);
	fixture_submit(&f, 1);
	g_strlcpy(leaving_instance, last_call(&f)->names[0],
	    sizeof(leaving_instance));
	fixture_end_call(last_call(&f), STATUS_UNAVAILABLE, false, true);
	ck_assert_str_eq(f.leaving_instance, leaving_instance);
	FIXTURE_WAIT_FOR(&f, f.call_count == 2);
	for (uint64_t i = 2; i < 6; i++)
		fixture_submit(&f, i);
	for (size_t i = 1; i < f.call_count; i++)
		ck_assert_str_ne(f.calls[i]->names[0], leaving_instance);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against engines that continue work for a caller who has disconnected
 * or cancelled.
 */
START_TEST(cancelled_work_stops)
{
	struct fixture f;

	fixture_start_configured(&f, 1);
	fixture_submit(&f, 1);
	fixture_submit(&f, 2);
	fixture_submit(&f, 3);
	ck_assert_uint_eq(f.call_count, 1);
	fixture_cancel(&f, 2);
	fixture_cancel(&f, 1);
	ck_assert(f.calls[0]->cancelled);
	ck_assert_uint_eq(f.call_count, 2);
	ck_assert_str_eq(f.calls[1]->request, "r3");
	ck_assert_uint_eq(router_job_count(f.router), 1);
	router_entry_close(f.router, &f.entry.base);
	ck_assert(f.calls[1]->cancelled);
	ck_assert_uint_eq(router_job_count(f.router), 0);
	router_entry_open(f.router, &f.entry.base);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a replica that exceeds its concurrency limit, an unbounded
 * queue, and a refusal without a retry time.
 */
START_TEST(queue_is_bounded)
{
	struct fixture f;

	fixture_start_configured(&f, 1);
	for (uint64_t i = 1; i <= 6; i++)
		fixture_submit(&f, i);
	ck_assert_uint_eq(f.call_count, 1);
	ck_assert(fixture_stream(&f, 6)->done);
	ck_assert_int_eq(
	    fixture_stream(&f, 6)->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(fixture_stream(&f, 6)->code, "queue-full");
	ck_assert_int_gt(fixture_stream(&f, 6)->retry_at, loop_now(f.loop));
	for (uint32_t i = 0; i < 5; i++) {
		ck_assert_uint_eq(f.call_count, i + 1);
		fixture_send_token(last_call(&f), 0, "a", true);
		fixture_end_call(last_call(&f), STATUS_OK, true, false);
	}
	FIXTURE_WAIT_FOR(&f, router_job_count(f.router) == 0);
	ck_assert_int_eq(
	    fixture_stream(&f, 5)->outcome, CH__OUTCOME__OUTCOME_RUN);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against bodies of open requests that exceed the memory together: the
 * number of requests alone does not bound them.
 */
START_TEST(bodies_of_open_requests_are_bounded)
{
	struct fixture f;
	char *body = g_strnfill(BODY_BYTES, 'b');

	fixture_start_configured(&f, 4);
	for (uint64_t i = 1; i <= 2; i++)
		fixture_submit_call(&f, i, NULL, body, 20 * LOOP_USEC_PER_SEC);
	ck_assert(!fixture_stream(&f, 1)->done);
	ck_assert(fixture_stream(&f, 2)->done);
	ck_assert_int_eq(
	    fixture_stream(&f, 2)->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(fixture_stream(&f, 2)->code, "router-full");
	ck_assert_int_gt(fixture_stream(&f, 2)->retry_at, loop_now(f.loop));
	/* A small request is accepted meanwhile, a large one afterwards. */
	fixture_submit_call(&f, 3, NULL, "x", 20 * LOOP_USEC_PER_SEC);
	ck_assert(!fixture_stream(&f, 3)->done);
	fixture_cancel(&f, 1);
	FIXTURE_WAIT_FOR(&f, router_job_count(f.router) == 1);
	fixture_submit_call(&f, 4, NULL, body, 20 * LOOP_USEC_PER_SEC);
	ck_assert(!fixture_stream(&f, 4)->done);
	g_free(body);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against starting a queued request that cannot finish before its
 * deadline: its tokens would be generated for a response that is cut off.
 */
START_TEST(late_request_is_not_started)
{
	struct fixture f;
	int64_t deadline;

	fixture_start_configured_with(&f, 1, HARNESS_DEADLINE_USEC);
	fixture_submit(&f, 1);
	/* 100 tokens of 8 layers of 500 us take 400 ms. */
	deadline = loop_now(f.loop) + 1000 * LOOP_USEC_PER_MSEC;
	fixture_submit_with(&f, 2, 100, 1000 * LOOP_USEC_PER_MSEC);
	ck_assert(!fixture_stream(&f, 2)->done);
	FIXTURE_WAIT_FOR(
	    &f, loop_now(f.loop) > deadline - 350 * LOOP_USEC_PER_MSEC);
	fixture_send_token(last_call(&f), 0, "a", true);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	ck_assert_uint_eq(f.call_count, 1);
	ck_assert(fixture_stream(&f, 2)->done);
	ck_assert_int_eq(
	    fixture_stream(&f, 2)->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	fixture_destroy(&f);
}
END_TEST

/* Guards against an organisation that exceeds its concurrency limit. */
START_TEST(organisation_limit_is_enforced)
{
	struct fixture f;
	struct stream *s;

	fixture_start_configured(&f, 16);
	for (uint64_t i = 1; i <= 9; i++)
		fixture_submit(&f, i);
	s = fixture_stream(&f, 9);
	ck_assert(s->done);
	ck_assert_str_eq(s->code, "organisation-limit");
	ck_assert_int_eq(s->outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_uint_eq(f.call_count, 8);
	fixture_destroy(&f);
}
END_TEST

/*
 * Guards against a shutdown that interrupts running requests, keeps queued
 * ones, accepts new ones or loses the record.
 */
START_TEST(drain_finishes_running_work)
{
	struct fixture f;

	fixture_start_configured(&f, 1);
	fixture_submit(&f, 1);
	fixture_submit(&f, 2);
	fixture_send_token(last_call(&f), 0, "a", false);
	router_drain(f.router);
	ck_assert(f.role_leaving);
	ck_assert(!router_is_ready(f.router));
	ck_assert(fixture_stream(&f, 2)->done);
	ck_assert_int_eq(
	    fixture_stream(&f, 2)->outcome, CH__OUTCOME__OUTCOME_MOVED);
	fixture_submit(&f, 3);
	ck_assert_int_eq(
	    fixture_stream(&f, 3)->outcome, CH__OUTCOME__OUTCOME_MOVED);
	ck_assert(!fixture_stream(&f, 1)->done);
	FIXTURE_WAIT_FOR(&f, strcmp(fixture_stream(&f, 1)->tokens, "a") == 0);
	ck_assert(!f.drained);
	fixture_send_token(last_call(&f), 1, "b", true);
	fixture_end_call(last_call(&f), STATUS_OK, true, false);
	ck_assert_int_eq(
	    fixture_stream(&f, 1)->outcome, CH__OUTCOME__OUTCOME_RUN);
	FIXTURE_WAIT_FOR(&f, f.drained);
	ck_assert_int_ge(f.stored, 1);
	fixture_destroy(&f);
}
END_TEST

/* Guards against a lookup that is lost when one instance fails. */
START_TEST(failed_lookup_is_repeated_elsewhere)
{
	struct fixture f;

	fixture_start_configured(&f, 4);
	fixture_submit_call(&f, 1, NULL, "x", 100 * LOOP_USEC_PER_MSEC);
	ck_assert_uint_eq(f.plain_count, 1);
	fixture_end_plain_call(f.plain_calls[0], STATUS_TIMEOUT, true, "");
	FIXTURE_WAIT_FOR(&f, f.plain_count == 2);
	ck_assert_str_ne(f.plain_calls[0]->address, f.plain_calls[1]->address);
	fixture_end_plain_call(f.plain_calls[1], STATUS_OK, true, "answer");
	FIXTURE_WAIT_FOR(&f, fixture_stream(&f, 1)->done);
	ck_assert_str_eq(fixture_stream(&f, 1)->body, "answer");
	ck_assert_uint_eq(fixture_stream(&f, 1)->status, 200);
	fixture_destroy(&f);
}
END_TEST

/* Guards against a dump that fails while requests are running and queued. */
START_TEST(dump_lists_the_tables)
{
	struct fixture f;
	json_t *dump;

	fixture_start_configured(&f, 1);
	fixture_submit(&f, 1);
	fixture_submit(&f, 2);
	dump = router_dump(f.router);
	ck_assert_ptr_nonnull(dump);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(dump, "requests")), 2);
	ck_assert_uint_eq(json_array_size(json_object_get(dump, "jobs")), 2);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(dump, "replicas")), 1);
	json_decref(dump);
	fixture_destroy(&f);
}
END_TEST

HARNESS_MAIN("router", router_without_configuration_refuses,
    tokens_reach_the_entry, answer_is_released_without_copy,
    old_token_is_dropped_after_retry, crossed_token_is_not_delivered,
    dead_stage_is_avoided, dead_stage_is_found_before_token_timeout,
    slow_route_is_abandoned, wrong_trail_excludes_its_stage,
    stream_without_last_token_is_resumed, request_moves_without_a_route,
    leaving_engine_is_excluded_and_reported, cancelled_work_stops,
    queue_is_bounded, bodies_of_open_requests_are_bounded,
    late_request_is_not_started, organisation_limit_is_enforced,
    drain_finishes_running_work, failed_lookup_is_repeated_elsewhere,
    dump_lists_the_tables)
