#include "harness.h"

#include <glib.h>

#include "admit.h"

#define SEED 99
#define OBJECTIVE_USEC ((int64_t)500000)
#define PATIENCE_USEC ((int64_t)20000000)
#define WORK_USEC ((int64_t)60000)

/*
 * Replays a load of twice the capacity against a queue that serves one request
 * each 10 ms. Returns how many first events meet the objective.
 */
static unsigned int
replay_overload(unsigned int arrivals, unsigned int *held_in_vain)
{
	const int64_t service = 10000;
	int64_t free_at = 0;
	unsigned int on_time = 0;
	GRand *rand = g_rand_new_with_seed(SEED);

	*held_in_vain = 0;
	for (unsigned int i = 0; i < arrivals; i++) {
		int64_t now = (int64_t)i * service / 2;
		int64_t wait = MAX(free_at - now, 0);
		struct admit_case request = {.expected_wait_usec = wait,
		    .work_usec = WORK_USEC,
		    .objective_usec = OBJECTIVE_USEC,
		    .leave_usec = admit_leave_after(OBJECTIVE_USEC, 250000),
		    .patience_usec = PATIENCE_USEC,
		    .spread = g_rand_double(rand)};
		struct admit_verdict verdict = admit_decide(&request);

		if (verdict.choice == ADMIT_REFUSE)
			continue;
		*held_in_vain += wait > verdict.wait_usec;
		free_at = now + wait + service;
		on_time += wait + WORK_USEC <= OBJECTIVE_USEC;
	}
	g_rand_free(rand);
	return on_time;
}

/* Guards against a queue in which all are late when load is too high. */
START_TEST(overload_leaves_those_served_on_time)
{
	unsigned int held_in_vain;

	/* Half of the arrivals is the capacity. */
	ck_assert_uint_ge(replay_overload(4000, &held_in_vain), 1990);
	ck_assert_uint_eq(held_in_vain, 0);
}
END_TEST

/* Guards what a refused caller is told: soon enough, and spread. */
START_TEST(refused_callers_return_spread_and_in_time)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	int64_t least = INT64_MAX;
	int64_t most = 0;

	for (int i = 0; i < 1000; i++) {
		int64_t at = admit_retry_after(
		    2000000, PATIENCE_USEC, g_rand_double(rand));

		ck_assert_int_ge(at, ADMIT_RETRY_MIN_USEC);
		ck_assert_int_le(at, PATIENCE_USEC / 3);
		least = MIN(least, at);
		most = MAX(most, at);
	}
	ck_assert_int_ge(most - least, 1000000);
	/* One that has little time left is not sent away beyond it. */
	ck_assert_int_le(admit_retry_after(2000000, 900000, 1), 300000);
	g_rand_free(rand);
}
END_TEST

/* Guards against a wait that ends after the caller has left. */
START_TEST(nobody_waits_beyond_the_callers_stay)
{
	struct admit_case request = {.expected_wait_usec = 1500000,
	    .work_usec = 600000,
	    .objective_usec = OBJECTIVE_USEC,
	    .leave_usec = 2000000,
	    .patience_usec = PATIENCE_USEC,
	    .under_way = true};

	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_REFUSE);
	request.expected_wait_usec = 1000000;
	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_WAIT);
	request.under_way = false;
	ck_assert_int_eq(admit_decide(&request).choice, ADMIT_REFUSE);
}
END_TEST

/* Guards each row of what follows a failed attempt. */
START_TEST(failure_leads_to_what_is_true)
{
	struct admit_failure failure = {.attempts_left = true,
	    .place_left = true,
	    .time_left_usec = 1000000,
	    .work_usec = 1000};

	/* An order that may have run is neither repeated nor refused. */
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_UNKNOWN);
	failure.not_run = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_AGAIN);
	failure.attempts_left = false;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_NOT_RUN);
	failure.earlier_may_have_run = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_UNKNOWN);
	failure.answer_begun = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_BREAK_OFF);
	failure.attempts_left = true;
	failure.repeatable = true;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_AGAIN);
	failure.time_left_usec = 500;
	ck_assert_int_eq(admit_after_failure(&failure), ADMIT_BREAK_OFF);
}
END_TEST

/* Guards against work that a stopping node could only cut. */
START_TEST(stopping_node_takes_what_ends_in_time)
{
	ck_assert(admit_while_stopping(0, 7000000, 9000000));
	ck_assert(admit_while_stopping(4000000, 3000000, 100000));
	ck_assert(!admit_while_stopping(4000000, 3000000, 2500000));
	ck_assert(!admit_while_stopping(7000000, 100000, 80000));
}
END_TEST

/* Replays a server that leaves under load: its short streams end on it, and
 * only the long ones move, so that the others are not all moved at once. */
START_TEST(only_long_streams_leave_a_server_that_leaves)
{
	const int64_t left = 2000000;
	unsigned int moved = 0;

	for (int64_t rest = 100000; rest <= 4000000; rest += 100000)
		moved += admit_outlasts(rest, left);
	ck_assert_uint_gt(moved, 20);
	ck_assert_uint_lt(moved, 30);
	ck_assert(!admit_outlasts(1000000, left));
	ck_assert(admit_outlasts(1300000, left));
	/* A server whose time is up ends any moment. */
	ck_assert(admit_outlasts(0, 0));
	ck_assert(admit_outlasts(100000, -1));
}
END_TEST

HARNESS_MAIN("admit", overload_leaves_those_served_on_time,
    refused_callers_return_spread_and_in_time,
    nobody_waits_beyond_the_callers_stay, failure_leads_to_what_is_true,
    stopping_node_takes_what_ends_in_time,
    only_long_streams_leave_a_server_that_leaves)
