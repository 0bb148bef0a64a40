#ifndef CH_TEST_HARNESS_H
#define CH_TEST_HARNESS_H

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "loop.h"

/* Long enough that tests do not fail on a slow machine. */
#define HARNESS_DEADLINE_USEC (30 * LOOP_USEC_PER_SEC)
/* Time limit of a test, unless CK_DEFAULT_TIMEOUT is set; check's own of 4 s is
 * shorter than some tests. */
#define HARNESS_TEST_TIMEOUT_S 60

/*
 * Runs the loop until the condition holds. Returns false if the deadline passes
 * first.
 */
static inline bool
harness_wait(struct loop *loop, bool (*holds)(void *), void *arg)
{
	int64_t deadline = loop_now(loop) + HARNESS_DEADLINE_USEC;

	while (!holds(arg)) {
		if (loop_now(loop) > deadline)
			return false;
		loop_run_once(loop, loop_now(loop) + LOOP_USEC_PER_MSEC);
	}
	return true;
}

/*
 * Runs a suite and returns the exit code of the program. Each test is a test
 * case of its name, so that CK_RUN_CASE selects one.
 */
static inline int
harness_run(const char *name, const TTest *const *tests, size_t count)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	for (size_t i = 0; i < count; i++) {
		TCase *tcase = tcase_create(tests[i]->name);

		if (getenv("CK_DEFAULT_TIMEOUT") == NULL)
			tcase_set_timeout(tcase, HARNESS_TEST_TIMEOUT_S);
		tcase_add_test(tcase, tests[i]);
		suite_add_tcase(suite, tcase);
	}
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#define HARNESS_MAIN(name, ...)                                                \
	int main(void)                                                         \
	{                                                                      \
		const TTest *const tests[] = {__VA_ARGS__};                    \
                                                                               \
		return harness_run(                                            \
		    name, tests, sizeof(tests) / sizeof(tests[0]));            \
	}

#endif
