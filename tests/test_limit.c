#include "harness.h"

#include <string.h>

#include <glib.h>

#include "limit.h"

#define SEED 7004
#define MSEC ((int64_t)1000)
#define NOW ((int64_t)1000000000)
#define TOKEN_USEC 20000.0

/*
 * Returns an input for which the request is admitted.
 */
static struct limit_request
admissible_request(void)
{
	struct limit_request request = {lstr_from("a"), 4, 0, 16, 0, 100 * MSEC,
	    50 * MSEC, NOW + 1000 * MSEC};

	return request;
}

/*
 * Makes one decision and checks its code.
 */
static struct limit_decision
decide(const struct limit_table *table, const struct limit_request *request,
    const char *code)
{
	struct limit_decision decision;

	limit_decide(table, request, NOW, &decision);
	ck_assert_str_eq(decision.code, code);
	ck_assert_int_eq(decision.admitted, code[0] == '\0');
	ck_assert_int_eq(decision.message[0] == '\0', decision.admitted);
	return decision;
}

/*
 * Guards against refusals with a missing code or a wrong retry time, and
 * against admitting requests above a limit.
 */
START_TEST(each_limit_has_its_code)
{
	struct limit_table *table = NULL;
	struct limit_request request = admissible_request();

	ck_assert_int_eq(limit_table_create(&table), STATUS_OK);
	decide(table, &request, "");
	request.queued = 16;
	request.completion_interval_usec = 400 * MSEC;
	ck_assert_int_eq(
	    decide(table, &request, "queue-full").retry_at, NOW + 400 * MSEC);
	request = admissible_request();
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(
		    limit_acquire(table, lstr_from("a")), STATUS_OK);
	ck_assert_int_eq(decide(table, &request, "organisation-limit").retry_at,
	    NOW + 100 * MSEC);
	request.organisation = lstr_from("b");
	decide(table, &request, "");
	limit_release(table, lstr_from("a"));
	request.organisation = lstr_from("a");
	decide(table, &request, "");
	request.deadline = NOW;
	ck_assert_int_eq(
	    decide(table, &request, "deadline-passed").retry_at, 0);
	limit_table_destroy(table);
}
END_TEST

/*
 * Guards against admitting a request that cannot finish before its deadline,
 * and against giving a retry time to a request that can never be admitted.
 */
START_TEST(late_finish_is_refused)
{
	struct limit_table *table = NULL;
	struct limit_request request = admissible_request();

	ck_assert_int_eq(limit_table_create(&table), STATUS_OK);
	request.wait_usec = 900 * MSEC;
	decide(table, &request, "");
	request.wait_usec = 1400 * MSEC;
	ck_assert_int_eq(decide(table, &request, "deadline-too-short").retry_at,
	    NOW + 500 * MSEC);
	request.wait_usec = 0;
	request.run_usec = 1001 * MSEC;
	ck_assert_int_eq(
	    decide(table, &request, "deadline-too-short").retry_at, 0);
	limit_table_destroy(table);
}
END_TEST

/*
 * Guards against wrong counts after random calls to limit_acquire() and
 * limit_release().
 */
START_TEST(counts_are_exact)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct limit_table *table = NULL;
	uint32_t counts[8] = {0};

	ck_assert_int_eq(limit_table_create(&table), STATUS_OK);
	for (int i = 0; i < 20000; i++) {
		int k = g_rand_int_range(rand, 0, 8);
		char name[8];

		snprintf(name, sizeof(name), "o%d", k);
		if (counts[k] > 0 && g_rand_boolean(rand)) {
			limit_release(table, lstr_from(name));
			counts[k]--;
		} else {
			limit_acquire(table, lstr_from(name));
			counts[k]++;
		}
		ck_assert_uint_eq(
		    limit_count(table, lstr_from(name)), counts[k]);
	}
	limit_table_destroy(table);
	g_rand_free(rand);
}
END_TEST

/*
 * Runs the adaptive limit on a simulated replica until it settles, and returns
 * it. The time per token is constant up to the capacity and proportional to
 * the load above it.
 */
static uint32_t
run_until_stable(
    struct limit_adaptive *a, GRand *rand, double capacity, int64_t *now)
{
	for (int i = 0; i < 40000; i++) {
		uint32_t running = limit_adaptive_value(a);
		double load = running > capacity ? running / capacity : 1;
		double jitter = 0.8 + 0.4 * g_rand_double(rand);

		*now += 10 * MSEC;
		limit_adaptive_observe(
		    a, (int64_t)(TOKEN_USEC * load * jitter), running, *now);
	}
	return limit_adaptive_value(a);
}

/*
 * Guards against a limit that grows without bound on a saturated replica,
 * leaves it underused, or does not follow a change of its capacity.
 */
START_TEST(adaptive_limit_follows_capacity)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct limit_adaptive a;
	int64_t now = NOW;
	uint32_t value;

	limit_adaptive_init(&a, 8, 1024);
	value = run_until_stable(&a, rand, 40, &now);
	ck_assert_msg(value >= 36 && value <= 100, "capacity 40: %u", value);
	value = run_until_stable(&a, rand, 10, &now);
	ck_assert_msg(value >= 9 && value <= 30, "capacity 10: %u", value);
	value = run_until_stable(&a, rand, 60, &now);
	ck_assert_msg(value >= 54 && value <= 150, "capacity 60: %u", value);
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against a limit that stays at the minimum forever after the hardware
 * became slower.
 */
START_TEST(limit_recovers_on_slower_hardware)
{
	struct limit_adaptive a;
	int64_t now = NOW;

	limit_adaptive_init(&a, 8, 16);
	for (int i = 0; i < 10000; i++) {
		now += 10 * MSEC;
		limit_adaptive_observe(
		    &a, 10000, limit_adaptive_value(&a), now);
	}
	ck_assert_uint_eq(limit_adaptive_value(&a), 16);
	for (int i = 0; i < 40000; i++) {
		now += 10 * MSEC;
		limit_adaptive_observe(
		    &a, 40000, limit_adaptive_value(&a), now);
	}
	ck_assert_uint_eq(limit_adaptive_value(&a), 16);
}
END_TEST

/* Guards against a limit that needs many seconds to grow for a burst. */
START_TEST(limit_grows_fast_without_load)
{
	struct limit_adaptive a;
	int64_t now = NOW;

	limit_adaptive_init(&a, 16, 256);
	while (limit_adaptive_value(&a) < 128) {
		now += 10 * MSEC;
		limit_adaptive_observe(
		    &a, 20000, limit_adaptive_value(&a), now);
		ck_assert_int_lt(now - NOW, 5000 * MSEC);
	}
}
END_TEST

/* Guards against a limit that grows while it is not used. */
START_TEST(unused_limit_does_not_grow)
{
	struct limit_adaptive a;

	limit_adaptive_init(&a, 8, 1024);
	for (int i = 0; i < 1000; i++)
		limit_adaptive_observe(&a, 20000, 2, NOW + i * 100 * MSEC);
	ck_assert_uint_eq(limit_adaptive_value(&a), 8);
	limit_adaptive_init(&a, 8, 4);
	ck_assert_uint_eq(limit_adaptive_value(&a), 4);
}
END_TEST

HARNESS_MAIN("limit", each_limit_has_its_code, late_finish_is_refused,
    counts_are_exact, adaptive_limit_follows_capacity,
    limit_recovers_on_slower_hardware, limit_grows_fast_without_load,
    unused_limit_does_not_grow)
