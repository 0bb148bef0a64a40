#include "harness.h"

#include <glib.h>

#include "admit.h"
#include "drain.h"

#define SEEDS 200
#define REQUESTS 200
#define GRACE_USEC (8 * LOOP_USEC_PER_SEC)
#define NODES 3

/* A request as its caller and its servers see it. */
struct arrival {
	int64_t at;
	int64_t actual_usec;
	struct drain_request request;
};

/*
 * Draws a request that arrives after SIGTERM. The actual duration is right at
 * the median of the expected one, and may be many times longer.
 */
static struct arrival
draw_arrival(GRand *rand, int64_t started_at, int64_t grace_usec)
{
	struct arrival arrival = {.at = started_at +
		(int64_t)(g_rand_double(rand) * (double)grace_usec)};
	double factor = g_rand_double_range(rand, 0.2, 1.8);

	if (g_rand_double(rand) < 0.1)
		factor *= 10;
	arrival.request.expected_usec = g_rand_int_range(rand, 10000, 5000000);
	arrival.actual_usec =
	    (int64_t)(factor * (double)arrival.request.expected_usec);
	arrival.request.timeout_at =
	    arrival.at + g_rand_int_range(rand, 200000, 20000000);
	return arrival;
}

/* Guards against late requests that are cut off at the end of the grace period
 * because they take longer than expected. */
START_TEST(late_requests_end_before_the_process)
{
	unsigned int accepted = 0;
	unsigned int served = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t started_at = g_rand_int_range(rand, 1, 1000000);
		int64_t grace = g_rand_int_range(rand, 200000, 30000000);
		struct drain drain = {0};

		drain_start(&drain, started_at, grace);
		ck_assert_int_lt(drain.accept_until, drain.answer_by);
		ck_assert_int_lt(drain.answer_by, drain.exit_by);
		ck_assert_int_lt(drain.exit_by, started_at + grace);
		for (int i = 0; i < REQUESTS; i++) {
			struct arrival arrival =
			    draw_arrival(rand, started_at, grace);
			const struct drain_request *request = &arrival.request;

			if (!drain_accepts(&drain, request, arrival.at))
				continue;
			accepted++;
			served +=
			    arrival.at + arrival.actual_usec <= drain.answer_by;
			if (arrival.at < drain.accept_until)
				ck_assert(
				    request->timeout_at <= drain.answer_by ||
				    arrival.at + request->expected_usec <=
					drain.answer_by);
			else
				ck_assert_int_le(
				    MIN(arrival.at + arrival.actual_usec,
					request->timeout_at),
				    drain.answer_by);
		}
		g_rand_free(rand);
	}
	/* Most of the accepted requests are served. */
	ck_assert_uint_gt(accepted, SEEDS * REQUESTS / 10);
	ck_assert_uint_gt(served, accepted * 6 / 10);
}
END_TEST

/* Guards against refusing everything from SIGTERM on, when callers do not know
 * yet that the node is stopping, and against accepting what cannot end. */
START_TEST(early_requests_are_accepted_if_they_are_expected_to_end)
{
	struct drain drain = {0};
	struct drain_request request = {3000000, 1 + 20000000, false};

	ck_assert(!drain_is_active(&drain));
	ck_assert(drain_accepts(&drain, &request, 1));
	drain_start(&drain, 1, GRACE_USEC);
	ck_assert(drain_is_active(&drain));
	ck_assert(drain_accepts(&drain, &request, drain.accept_until - 1));
	ck_assert(!drain_accepts(&drain, &request, drain.accept_until));
	request.expected_usec = 9000000;
	ck_assert(!drain_accepts(&drain, &request, 1));
	request = (struct drain_request){9000000, drain.answer_by, false};
	ck_assert(drain_accepts(&drain, &request, drain.answer_by - 1));
	request.timeout_at++;
	ck_assert(!drain_accepts(&drain, &request, drain.answer_by - 1));
}
END_TEST

/* Guards against sending a request once more late in the grace period because
 * it was accepted before: if its server has refused it, it has not run. */
START_TEST(refused_attempt_is_repeated_only_if_it_ends_in_time)
{
	struct drain drain = {0};
	struct drain_request request = {1000000, 1 + 20000000, false};

	drain_start(&drain, 1, GRACE_USEC);
	ck_assert(drain_accepts(&drain, &request, drain.accept_until - 1));
	ck_assert(!drain_accepts(&drain, &request, drain.accept_until + 1));
	request.may_have_run = true;
	ck_assert(drain_accepts(&drain, &request, drain.accept_until + 1));
}
END_TEST

/*
 * Simulates nodes that are stopped one after the other, with a request each
 * 10 ms whose time limit is later than their exit. Returns how many refused
 * callers are told to return when no node accepts them, and how many return
 * within the busiest 100 ms.
 */
static unsigned int
count_early_returns(
    int64_t interval_usec, unsigned int *refused, guint *busiest)
{
	const int64_t slot = 100000;
	struct drain nodes[NODES] = {0};
	GRand *rand = g_rand_new_with_seed(1);
	guint returns[200] = {0};
	unsigned int early = 0;

	*refused = 0;
	*busiest = 0;
	for (int i = 0; i < NODES; i++)
		drain_start(&nodes[i], 1 + i * interval_usec, GRACE_USEC);
	for (int64_t now = nodes[NODES - 1].started_at; now < nodes[0].exit_by;
	     now += 10000) {
		const struct drain *first = &nodes[0];
		const struct drain *last = &nodes[NODES - 1];
		const struct drain *at = &nodes[g_rand_int_range(rand, 0, 3)];
		struct drain_peers peers = {0,
		    at == first ? nodes[1].started_at : first->started_at,
		    at == last ? nodes[NODES - 2].started_at
			       : last->started_at};
		struct drain_request request = {
		    g_rand_int_range(rand, 100000, 4000000), now + 20000000,
		    false};
		int64_t back;

		if (drain_accepts(at, &request, now))
			continue;
		(*refused)++;
		back = now +
		    drain_retry_usec(at, &peers, &request, now,
			ADMIT_RETRY_MIN_USEC, g_rand_double(rand));
		early += !drain_accepts(last, &request, back) &&
		    back < first->exit_by + DRAIN_RESTART_USEC;
		returns[MIN(back / slot, (int64_t)G_N_ELEMENTS(returns) - 1)]++;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(returns); i++)
		*busiest = MAX(*busiest, returns[i]);
	g_rand_free(rand);
	return early;
}

/* Guards against callers that are told to return while all nodes still refuse
 * them: their second refusal is final. They must not return together either. */
START_TEST(refused_callers_return_when_a_node_serves)
{
	for (int64_t interval = 0; interval <= 2000000; interval += 100000) {
		unsigned int refused;
		guint busiest;

		ck_assert_uint_eq(
		    count_early_returns(interval, &refused, &busiest), 0);
		ck_assert_uint_gt(refused, 100);
		ck_assert_uint_le(busiest, MAX(refused / 4, 40u));
	}
}
END_TEST

/* Guards against callers that wait although another node serves. */
START_TEST(refused_callers_return_soon_if_other_nodes_serve)
{
	struct drain drain = {0};
	struct drain_peers peers = {1, 0, 0};
	struct drain_request request = {1000000, 20000000, false};

	drain_start(&drain, 1, GRACE_USEC);
	ck_assert_int_le(drain_retry_usec(&drain, &peers, &request, 3000000,
			     ADMIT_RETRY_MIN_USEC, 1),
	    ADMIT_RETRY_MIN_USEC);
	/* A peer that began to stop later still accepts the request. */
	peers = (struct drain_peers){0, 2500000, 2500000};
	ck_assert_int_le(drain_retry_usec(&drain, &peers, &request, 3000000,
			     ADMIT_RETRY_MIN_USEC, 1),
	    ADMIT_RETRY_MIN_USEC);
	/* It does not accept a request that is expected to outlast it. */
	request.expected_usec = 8000000;
	ck_assert_int_ge(drain_retry_usec(&drain, &peers, &request, 3000000,
			     ADMIT_RETRY_MIN_USEC, 0),
	    drain.exit_by - 3000000);
}
END_TEST

HARNESS_MAIN("drain", late_requests_end_before_the_process,
    early_requests_are_accepted_if_they_are_expected_to_end,
    refused_attempt_is_repeated_only_if_it_ends_in_time,
    refused_callers_return_when_a_node_serves,
    refused_callers_return_soon_if_other_nodes_serve)
