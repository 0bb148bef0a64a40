#include "harness.h"

#include "config_sim.h"

#define SEEDS 60
#define TROUBLE_USEC (20 * LOOP_USEC_PER_SEC)
/* Longer than the trouble that is left when no more is injected. */
#define CALM_USEC (15 * LOOP_USEC_PER_SEC)
/* Oldest proof of a node while the store answers: two waits of a watch for the
 * peers, or the time after which a node without one queries the store. */
#define CALM_PROOF_USEC (2500 * LOOP_USEC_PER_MSEC)

/* Guards against requests that are checked against a configuration which is
 * older than the proof that it is current. */
START_TEST(configuration_in_force_is_never_older_than_its_proof)
{
	static struct sim sim;
	unsigned int handed_over = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_init(&sim, seed);
		sim_run(&sim, TROUBLE_USEC);
		ck_assert_msg(sim.violations == 0,
		    "seed %u: %u states with a proof of a newer configuration",
		    seed, sim.violations);
		handed_over += sim.handed_over;
		sim_destroy(&sim);
	}
	ck_assert_uint_gt(handed_over, SEEDS);
}
END_TEST

/* Guards against proofs that do not come back after trouble has ended. */
START_TEST(proofs_are_renewed_after_trouble)
{
	static struct sim sim;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_init(&sim, seed);
		sim_run(&sim, TROUBLE_USEC / 4);
		sim.calm = true;
		sim_run(&sim, CALM_USEC);
		for (int i = 0; i < SIM_NODES; i++) {
			const struct sim_node *node = &sim.nodes[i];
			int64_t proved_at = config_proof_at(
			    &node->proof, store_cache_proved_at(node->copy));

			ck_assert_msg(sim.now - proved_at <= CALM_PROOF_USEC,
			    "seed %u, node %d: proof is %lld us old", seed, i,
			    (long long)(sim.now - proved_at));
			ck_assert_uint_ge(node->in_force,
			    sim_config_at(&sim, sim.now - CALM_PROOF_USEC));
		}
		sim_destroy(&sim);
	}
}
END_TEST

HARNESS_MAIN("config_proof",
    configuration_in_force_is_never_older_than_its_proof,
    proofs_are_renewed_after_trouble)
