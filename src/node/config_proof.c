#include "config_proof.h"

/*
 * Records that the copy of the store has received a configuration.
 * copy_proved_at is the proof of the copy without it.
 */
void
config_proof_receive(
    struct config_proof *proof, uint64_t revision, int64_t copy_proved_at)
{
	if (proof->received == proof->decided)
		proof->proved_at = copy_proved_at;
	proof->received = revision;
}

/*
 * Records that a received configuration is in force, or was refused so that the
 * former one stays in force.
 */
void
config_proof_decide(struct config_proof *proof, uint64_t revision)
{
	proof->decided = revision;
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
	return proof->received == proof->decided ? copy_proved_at
						 : proof->proved_at;
#endif
}
