#include "harness.h"

#include <glib.h>

#include "admit.h"

#define SEED 99
#define OBJECTIVE_USEC ((int64_t)500000)
#define CALLER_TIMEOUT_USEC ((int64_t)20000000)
#define WORK_USEC ((int64_t)60000)

/*
 * Simulates a load of twice the capacity on a queue that serves one request
 * every 10 ms. Returns how many first events meet the latency objective, and
 * counts the requests that were queued for longer than admission allowed.
 */
static unsigned int
simulate_overload(unsigned int arrivals, unsigned int *overlong_waits)
{
	const int64_t service = 10000;
	int64_t free_at = 0;
	unsigned int on_time = 0;
	GRand *rand = g_rand_new_with_seed(SEED);

	*overlong_waits = 0;
	for (unsigned int i = 0; i < arrivals; i++) {
		int64_t now = (int64_t)i * service / 2;
		int64_t wait = MAX(free_at - now, 0);
		struct admit_request request = {.expected_wait_usec = wait,
		    .work_usec = WORK_USEC,
		    .objective_usec = OBJECTIVE_USEC,
		    .abandon_usec = admit_abandon_after(OBJECTIVE_USEC, 250000),
		    .caller_timeout_usec = CALLER_TIMEOUT_USEC,
		    .failed_since_usec = -1,
		    .jitter = g_rand_double(rand)};
		struct admit_decision decision = admit_decide(&request);

		if (decision.choice == ADMIT_REFUSE)
			continue;
		*overlong_waits += wait > decision.wait_usec;
		free_at = now + wait + service;
		on_time += wait + WORK_USEC <= OBJECTIVE_USEC;
	}
	g_rand_free(rand);
	return on_time;
}

/* Guards against a queue that makes all requests late under overload. */
START_TEST(overload_keeps_served_requests_on_time)
{
	unsigned int overlong_waits;

	/* The capacity is half of the arrivals. */
	ck_assert_uint_ge(simulate_overload(4000, &overlong_waits), 1990);
	ck_assert_uint_eq(overlong_waits, 0);
}
END_TEST

/*
 * Replays a crash of several servers whose layers are held again after
 * ADMIT_RECOVERY_USEC, while requests without a path arrive. Guards against
 * callers that are told to return before that: a caller returns once, and is
 * then refused for good. They must not return together either.
 */
START_TEST(callers_return_when_crashed_servers_are_replaced)
{
	enum {
		SLOTS = 100,
		ARRIVALS = 400
	};
	const int64_t slot = 100000;
	const int64_t outage = 3000000;
	GRand *rand = g_rand_new_with_seed(SEED);
	unsigned int returns[SLOTS] = {0};
	unsigned int early = 0;

	for (unsigned int i = 0; i < ARRIVALS; i++) {
		int64_t now = outage * i / ARRIVALS;
		struct admit_request request = {.expected_wait_usec = 2000000,
		    .work_usec = WORK_USEC,
		    .objective_usec = OBJECTIVE_USEC,
		    .abandon_usec = admit_abandon_after(OBJECTIVE_USEC, 250000),
		    .caller_timeout_usec = CALLER_TIMEOUT_USEC,
		    .failed_since_usec = now,
		    .jitter = g_rand_double(rand)};
		struct admit_decision decision = admit_decide(&request);
		int64_t at = now + decision.retry_usec;

		ck_assert_int_eq(decision.choice, ADMIT_REFUSE);
		ck_assert_int_le(decision.retry_usec, CALLER_TIMEOUT_USEC / 3);
		early += at < ADMIT_RECOVERY_USEC;
		returns[MIN(at / slot, SLOTS - 1)]++;
	}
	ck_assert_uint_eq(early, 0);
	for (int i = 0; i < SLOTS; i++)
		ck_assert_uint_le(returns[i], ARRIVALS / 5);
	g_rand_free(rand);
}
END_TEST

/*
 * Replays the second after all nodes were killed: callers of cut streams come
 * back at once, and a node has read the store a second after its start. Guards
 * against refusals that are final, and against holding a caller with little
 * time, or one at a node that cannot read the store.
 */
START_TEST(requests_are_held_while_a_node_starts)
{
	const int64_t started_at = 1000000;
	const int64_t read_at = started_at + 1100000;

	for (int64_t at = started_at; at < read_at; at += 10000) {
		ck_assert_int_gt(
		    admit_hold_until(at, started_at, CALLER_TIMEOUT_USEC),
		    read_at);
		ck_assert_int_le(
		    admit_hold_until(at, started_at, 1500000), at + 500000);
	}
	ck_assert_int_le(admit_hold_until(started_at + ADMIT_START_HOLD_USEC,
			     started_at, CALLER_TIMEOUT_USEC),
	    started_at + ADMIT_START_HOLD_USEC);
}
END_TEST

/* Guards against long retry times in a burst without failures, whose running
 * requests end within a second or two, and long after a failure. */
START_TEST(callers_return_soon_without_failures)
{
	struct admit_request request = {.expected_wait_usec = 600000,
	    .work_usec = WORK_USEC,
	    .objective_usec = OBJECTIVE_USEC,
	    .abandon_usec = 2000000,
	    .caller_timeout_usec = CALLER_TIMEOUT_USEC,
	    .failed_since_usec = -1,
	    .jitter = 1};

	ck_assert_int_le(admit_decide(&request).retry_usec, 2500000);
	request.failed_since_usec = ADMIT_RECOVERY_USEC;
	ck_assert_int_le(admit_decide(&request).retry_usec, 2500000);
	request.caller_timeout_usec = 900000;
	request.failed_since_usec = 0;
	ck_assert_int_le(admit_decide(&request).retry_usec, 300000);
}
END_TEST

/* Checks that retry times of refused callers are jittered and end well before
 * the deadline of the caller. */
START_TEST(retry_times_are_jittered_and_in_time)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	int64_t least = INT64_MAX;
	int64_t most = 0;

	for (int i = 0; i < 1000; i++) {
		int64_t at = admit_retry_after(
		    2000000, CALLER_TIMEOUT_USEC, g_rand_double(rand));

		ck_assert_int_ge(at, ADMIT_RETRY_MIN_USEC);
		ck_assert_int_le(at, CALLER_TIMEOUT_USEC / 3);
		least = MIN(least, at);
		most = MAX(most, at);
	}
	ck_assert_int_ge(most - least, 1000000);
	/* The retry time lies within the remaining time of the caller. */
	ck_assert_int_le(admit_retry_after(2000000, 900000, 1), 300000);
	g_rand_free(rand);
}
END_TEST

/* Guards against holding a request that no server wants, and against callers
 * that return before a server wants it; a stream that has begun can wait. */
START_TEST(unwanted_requests_are_refused_until_their_time)
{
	struct admit_request request = {.work_usec = 100000,
	    .objective_usec = OBJECTIVE_USEC,
	    .abandon_usec = 2000000,
	    .caller_timeout_usec = CALLER_TIMEOUT_USEC,
	    .wanted_usec = 300000,
	    .already_started = true,
	    .failed_since_usec = -1};
	struct admit_decision decision = admit_decide(&request);

	ck_assert_int_eq(decision.choice, ADMIT_REFUSE);
	ck_assert_int_ge(decision.retry_usec, 300000);
	request.may_have_run = true;
	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_WAIT);
	request.wanted_usec = 2000000;
	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_REFUSE);
	/* Not cut to the share of the remaining time that callers honour. */
	request.caller_timeout_usec = 900000;
	request.may_have_run = false;
	for (request.jitter = 0; request.jitter <= 1; request.jitter += 0.5)
		ck_assert_int_ge(admit_decide(&request).retry_usec, 2000000);
}
END_TEST

/* Guards against queueing a request beyond the time at which its caller
 * abandons it. */
START_TEST(no_wait_beyond_abandonment)
{
	struct admit_request request = {.expected_wait_usec = 1500000,
	    .work_usec = 600000,
	    .objective_usec = OBJECTIVE_USEC,
	    .abandon_usec = 2000000,
	    .caller_timeout_usec = CALLER_TIMEOUT_USEC,
	    .already_started = true};

	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_REFUSE);
	request.expected_wait_usec = 1000000;
	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_WAIT);
	request.already_started = false;
	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_REFUSE);
}
END_TEST

/* Checks each action that may follow a failed attempt. */
START_TEST(failure_action_matches_known_outcome)
{
	struct admit_failure failure = {.attempts_left = true,
	    .another_server_available = true,
	    .time_left_usec = 1000000,
	    .work_usec = 1000};

	/* A request that may have run is neither retried nor refused. */
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_UNKNOWN);
	failure.not_run = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_RETRY);
	failure.attempts_left = false;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_NOT_RUN);
	failure.earlier_may_have_run = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_UNKNOWN);
	failure.response_begun = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_ABORT);
	failure.attempts_left = true;
	failure.repeatable = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_RETRY);
	failure.time_left_usec = 500;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_ABORT);
}
END_TEST

/* Simulates a server that shuts down under load: only streams that would not
 * end in time move to other servers, so that not all of them move at once. */
START_TEST(only_long_streams_move_off_a_draining_server)
{
	const int64_t left = 2000000;
	unsigned int moved = 0;

	for (int64_t rest = 100000; rest <= 4000000; rest += 100000)
		moved += admit_outlasts(rest, left);
	ck_assert_uint_gt(moved, 20);
	ck_assert_uint_lt(moved, 30);
	ck_assert(!admit_outlasts(1000000, left));
	ck_assert(admit_outlasts(1300000, left));
	/* A server without time left may end at any moment. */
	ck_assert(admit_outlasts(0, 0));
	ck_assert(admit_outlasts(100000, -1));
}
END_TEST

/* Guards against a body that arrives slowly and uses up the time limit of its
 * route, so that the request fails at a sound server. */
START_TEST(time_limit_of_a_route_begins_with_the_whole_request)
{
	struct admit_times times = {3000000, 20000000, 800000};

	ck_assert_int_eq(admit_timeout_at(&times), 3800000);
	times.deadline = 3500000;
	ck_assert_int_eq(admit_timeout_at(&times), 3500000);
	times.route_timeout_usec = 0;
	ck_assert_int_eq(admit_timeout_at(&times), 3500000);
}
END_TEST

HARNESS_MAIN("admit", time_limit_of_a_route_begins_with_the_whole_request,
    requests_are_held_while_a_node_starts,
    callers_return_when_crashed_servers_are_replaced,
    callers_return_soon_without_failures,
    overload_keeps_served_requests_on_time,
    retry_times_are_jittered_and_in_time,
    unwanted_requests_are_refused_until_their_time, no_wait_beyond_abandonment,
    failure_action_matches_known_outcome,
    only_long_streams_move_off_a_draining_server)
