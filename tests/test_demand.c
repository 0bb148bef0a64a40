#include "demand.h"
#include "harness.h"

#define SECOND ((int64_t)1000000)

/*
 * Guards against a rate that lags behind a burst, or outlives it: after a
 * second at a steady rate most of it is seen, and three seconds after the last
 * arrival almost nothing is left.
 */
START_TEST(rate_follows_a_burst)
{
	struct demand demand = {0};
	int64_t now = 100 * SECOND;

	for (int i = 0; i < 400; i++) {
		now += SECOND / 100;
		demand_add_arrival(&demand, 1, 10, now);
	}
	ck_assert_double_gt(demand.own.classes[1].tokens_per_sec, 950);
	ck_assert_double_lt(demand.own.classes[1].tokens_per_sec, 1050);
	ck_assert_double_eq(demand.own.classes[0].tokens_per_sec, 0);
	demand_decay(&demand, now + 3 * SECOND);
	ck_assert_double_lt(demand.own.classes[1].tokens_per_sec, 60);
}
END_TEST

/*
 * Guards against priorities beyond the table, and against a time that goes
 * back, which would raise the rates.
 */
START_TEST(priorities_and_times_out_of_range_are_harmless)
{
	struct demand demand = {0};

	demand_add_arrival(&demand, 4000, 10, 5 * SECOND);
	ck_assert_double_gt(
	    demand.own.classes[DEMAND_CLASSES - 1].tokens_per_sec, 0);
	demand_decay(&demand, 4 * SECOND);
	ck_assert_double_le(
	    demand.own.classes[DEMAND_CLASSES - 1].tokens_per_sec, 10);
}
END_TEST

/*
 * Guards against use that remains after requests have ended, and against a sum
 * over nodes that ignores for how many nodes a report stands.
 */
START_TEST(use_returns_to_zero_and_is_summed)
{
	struct demand demand = {0};
	struct demand_total total = {0};

	demand_add_use(&demand, 0, 500);
	demand_sum(&total, &demand.own, 3);
	ck_assert_double_eq(total.classes[0].tokens_in_use, 1500);
	demand_add_use(&demand, 0, -500);
	ck_assert_double_eq(demand.own.classes[0].tokens_in_use, 0);
}
END_TEST

/*
 * Guards against a holding time that one long request determines.
 */
START_TEST(holding_time_is_an_average)
{
	struct demand demand = {0};

	ck_assert_double_eq(
	    demand_hold_usec(&demand), (double)DEMAND_HOLD_DEFAULT_USEC);
	for (int i = 0; i < 200; i++)
		demand_add_hold(&demand, 2 * SECOND);
	demand_add_hold(&demand, 20 * SECOND);
	ck_assert_double_gt(demand_hold_usec(&demand), 2 * SECOND);
	ck_assert_double_lt(demand_hold_usec(&demand), 3 * SECOND);
}
END_TEST

HARNESS_MAIN("demand", rate_follows_a_burst,
    priorities_and_times_out_of_range_are_harmless,
    use_returns_to_zero_and_is_summed, holding_time_is_an_average)
