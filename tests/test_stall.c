#include "harness.h"
#include "stall.h"

/* Guards against a first server that is held to be at fault for another one of
 * its paths: one that other streams progress through is not. */
START_TEST(only_server_without_progress_is_the_culprit)
{
	const int64_t progressed_at[] = {1000, 400, 1200};

	ck_assert_uint_eq(stall_find_culprit(progressed_at, 3, 500), 1);
}
END_TEST

/* Guards against sound servers that are avoided because nothing tells them from
 * the faulty one. */
START_TEST(servers_that_nothing_tells_apart_are_not_blamed)
{
	const int64_t none[] = {400, 1000, 0};
	const int64_t all[] = {1000, 1000};

	ck_assert_uint_eq(stall_find_culprit(none, 3, 500), STALL_UNKNOWN);
	ck_assert_uint_eq(stall_find_culprit(all, 2, 500), STALL_UNKNOWN);
}
END_TEST

START_TEST(single_server_is_the_culprit)
{
	const int64_t progressed_at[] = {499};

	ck_assert_uint_eq(stall_find_culprit(progressed_at, 1, 500), 0);
}
END_TEST

HARNESS_MAIN("stall", only_server_without_progress_is_the_culprit,
    servers_that_nothing_tells_apart_are_not_blamed,
    single_server_is_the_culprit)
