#include "harness.h"

#include "record_router.h"

/*
 * Tells whether both entries are in the record of node n0, which holds.
 */
static bool
is_explained(struct router *r)
{
	char record[] = "record";
	char word[] = "explain";
	char a[] = "a";
	char b[] = "b";
	char *words[] = {record, word, a, b, NULL};

	return run_ctl(r, words) == CTL_EXIT_OK;
}

/* Guards against an entry that the peer acknowledges but does not hold,
 * because it has already stored the beginning of its segment. */
START_TEST(entry_after_a_recovery_is_not_lost)
{
	struct router r;
	int64_t deadline;

	router_start(&r);
	append_copied(&r, "a");
	/* The peer takes the router for dead; it was only disconnected. */
	crash(&r, 1);
	router_connect(&r);
	append_copied(&r, "b");
	peer_destroy(r.peer);
	r.peer = NULL;
	deadline = loop_now(r.cluster.loop) + HARNESS_DEADLINE_USEC;
	while (!is_explained(&r)) {
		ck_assert_int_lt(loop_now(r.cluster.loop), deadline);
		loop_run_once(r.cluster.loop,
		    loop_now(r.cluster.loop) + 100 * LOOP_USEC_PER_MSEC);
	}
	router_stop(&r);
}
END_TEST

HARNESS_MAIN("record_reconnect", entry_after_a_recovery_is_not_lost)
