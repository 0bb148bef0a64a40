#include "harness.h"

#include "record_router.h"

/*
 * Verifies the record of node n0.
 */
static enum ctl_exit
verify(struct router *r)
{
	char record[] = "record";
	char word[] = "verify";
	char *words[] = {record, word, NULL};

	return run_ctl(r, words);
}

/*
 * Guards against a record that cannot be verified after a crash because the key
 * of the peer that stored its last entries is not known.
 */
START_TEST(recovered_tail_is_verified)
{
	struct router r;

	router_start(&r);
	append_copied(&r, "a");
	store_segment(&r, close_segment(&r));
	ck_assert_int_eq(verify(&r), CTL_EXIT_OK);
	append_copied(&r, "a");
	crash(&r, 2);
	ck_assert_int_eq(verify(&r), CTL_EXIT_OK);
	router_stop(&r);
}
END_TEST

/*
 * Guards against a record that does not verify because a peer stored the
 * beginning of a segment that its router stored later.
 */
START_TEST(own_and_recovered_segment_are_verified)
{
	struct router r;

	router_start(&r);
	append_copied(&r, "a");
	crash(&r, 1);
	router_connect(&r);
	append(&r, "b");
	store_segment(&r, close_segment(&r));
	crash(&r, 2);
	ck_assert_int_eq(verify(&r), CTL_EXIT_OK);
	router_stop(&r);
}
END_TEST

/*
 * Guards against reporting a record as valid when a segment before a recovered
 * one is missing.
 */
START_TEST(gap_is_reported)
{
	struct router r;

	router_start(&r);
	append(&r, "b");
	/* Neither copied nor stored. */
	ch__record_store__free_unpacked(close_segment(&r), NULL);
	rec_handle_stored(r.rec, 1);
	append_copied(&r, "a");
	crash(&r, 1);
	ck_assert_int_eq(verify(&r), CTL_EXIT_RECORD);
	router_stop(&r);
}
END_TEST

HARNESS_MAIN("ctl_record", recovered_tail_is_verified,
    own_and_recovered_segment_are_verified, gap_is_reported)
