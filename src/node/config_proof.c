#include "config_proof.h"

/*
 * Records that the copy of the store has received a configuration.
 * copy_proved_at is the proof of the copy without it.
 */
void
config_proof_receive(struct config_proof *proof, struct store_position position,
    int64_t copy_proved_at)
{
	proof->proved_at = config_proof_at(proof, copy_proved_at);
	proof->received = position;
	proof->pending = true;
}

/*
 * Records that the store has no configuration.
 */
void
config_proof_remove(struct config_proof *proof, int64_t copy_proved_at)
{
	proof->proved_at = config_proof_at(proof, copy_proved_at);
	proof->received = (struct store_position){0, 0};
	proof->pending = false;
	proof->outdated = true;
}

/*
 * Records that the configuration that was received last has been applied or
 * refused.
 */
void
config_proof_decide(struct config_proof *proof, enum config_decision decision)
{
	proof->pending = false;
	proof->outdated = decision == CONFIG_DECISION_OLDER;
}

/*
 * Returns the latest time at which the configuration in force is proved to have
 * been the newest, in microseconds; 0: never. copy_proved_at is the proof of
 * the copy of the store.
 */
int64_t
config_proof_at(const struct config_proof *proof, int64_t copy_proved_at)
{
#ifdef CONFIG_PROOF_TEST_IGNORE_PENDING
	(void)proof;
	return copy_proved_at;
#else
	return proof->pending || proof->outdated ? proof->proved_at
						 : copy_proved_at;
#endif
}
