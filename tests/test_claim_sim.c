#include "harness.h"

#include "claim_sim.h"

#define SEEDS 60
#define STEPS 6000
#define SLOTS 8
#define SLOTS_SMALL 4

/*
 * Guards against two tokens that hold the same identity, with lost and late
 * results, pauses, restarts, skewed clocks and a ring that wraps around. The
 * lower bounds make sure that the simulation reaches these cases.
 */
START_TEST(identity_has_one_holder)
{
	static struct sim sim;
	int grants = 0;
	int reclaims = 0;
	int duplicates = 0;
	int expired = 0;
	struct claim_counts counts = {0};

	for (uint32_t seed = 1; seed <= 2 * SEEDS; seed++) {
		/* The small ring wraps more often than the large one. */
		sim_init(&sim, seed, seed % 2 == 0 ? SLOTS : SLOTS_SMALL);
		sim_run(&sim, STEPS);
		sim_destroy(&sim);
		ck_assert_msg(sim.double_grants == 0,
		    "seed %u: %d identities were held twice", seed,
		    sim.double_grants);
		grants += sim.grants;
		reclaims += sim.reclaims;
		duplicates += sim.duplicates;
		expired += sim.expired;
		counts.commits += sim.counts.commits;
		counts.conflicts += sim.counts.conflicts;
		counts.readbacks += sim.counts.readbacks;
		counts.reloads += sim.counts.reloads;
	}
	printf("grants %d, reclaims %d, duplicates %d, expired %d, "
	       "commits %lu, conflicts %lu, readbacks %lu, reloads %lu\n",
	    grants, reclaims, duplicates, expired, counts.commits,
	    counts.conflicts, counts.readbacks, counts.reloads);
	ck_assert_int_gt(grants, 10 * SEEDS);
	ck_assert_int_gt(reclaims, SEEDS);
	ck_assert_int_gt(duplicates, 10 * SEEDS);
	ck_assert_int_gt(expired, SEEDS);
	ck_assert_uint_gt(counts.commits, 4 * SLOTS * SEEDS);
	ck_assert_uint_gt(counts.conflicts, SEEDS);
	ck_assert_uint_gt(counts.readbacks, SEEDS);
	ck_assert_uint_gt(counts.reloads, 0);
}
END_TEST

HARNESS_MAIN("claim_sim", identity_has_one_holder)
