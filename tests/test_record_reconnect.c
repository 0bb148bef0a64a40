#include "harness.h"

#include "record_router.h"

/*
 * Returns whether the record of node n0 is valid and contains both entries.
 */
static bool
is_explained(struct router *r)
{
	char record[] = "record";
	char subcommand[] = "explain";
	char a[] = "a";
	char b[] = "b";
	char *args[] = {record, subcommand, a, b, NULL};

	return run_ctl(r, args) == CTL_EXIT_OK;
}

/*
 * Guards against losing an entry that the peer acknowledged but did not keep,
 * because it had already stored the first part of the segment.
 */
START_TEST(entry_after_recovery_is_not_lost)
{
	struct router r;
	int64_t deadline;

	router_start(&r);
	append_copied(&r, "a");
	/* The peer presumes the router dead, but it was only disconnected. */
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

HARNESS_MAIN("record_reconnect", entry_after_recovery_is_not_lost)
