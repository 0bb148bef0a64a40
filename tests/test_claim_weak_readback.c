/*
 * The claim module with one protection taken out: a lost answer is taken for
 * success. The simulation must notice.
 */
#define CLAIM_TEST_SKIP_READBACK

#include "harness.h"

/* NOLINTBEGIN(bugprone-suspicious-include): built again with the switch. */
#include "../src/claim.c"
#include "../src/claim_bucket.c"
#include "../src/claim_flight.c"
#include "../src/claim_log.c"
/* NOLINTEND(bugprone-suspicious-include) */

#include "claim_sim.h"

#define SEEDS 60
#define STEPS 6000
#define SLOTS 8

/*
 * Guards against a simulation that would not find the fault: with the
 * protection out, identities must be held twice.
 */
START_TEST(fault_is_found)
{
	static struct sim sim;
	int found = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_init(&sim, seed, SLOTS);
		sim_run(&sim, STEPS);
		sim_end(&sim);
		found += sim.double_grants;
	}
	printf("identities held twice: %d\n", found);
	ck_assert_int_gt(found, 0);
}
END_TEST

HARNESS_MAIN("claim_weak_readback", fault_is_found)
