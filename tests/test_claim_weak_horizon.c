/*
 * Builds the claim module without the check against the horizon, so that
 * claims that expire no later than the horizon are granted. The simulation
 * must detect this fault.
 */
#define CLAIM_TEST_IGNORE_HORIZON

#include "harness.h"

/* NOLINTBEGIN(bugprone-suspicious-include): built again with the switch. */
#include "../src/claim.c"
#include "../src/claim_bucket.c"
#include "../src/claim_inflight.c"
#include "../src/claim_log.c"
/* NOLINTEND(bugprone-suspicious-include) */

#include "claim_sim.h"

#define SEEDS 60
#define STEPS 6000
#define SLOTS 4

/*
 * Guards against a simulation that does not detect the fault: some identity
 * must be held by two tokens.
 */
START_TEST(fault_is_detected)
{
	static struct sim sim;
	int found = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_init(&sim, seed, SLOTS);
		sim_run(&sim, STEPS);
		sim_destroy(&sim);
		found += sim.double_grants;
	}
	printf("identities held twice: %d\n", found);
	ck_assert_int_gt(found, 0);
}
END_TEST

HARNESS_MAIN("claim_weak_horizon", fault_is_detected)
