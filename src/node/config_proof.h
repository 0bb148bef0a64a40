#ifndef CH_CONFIG_PROOF_H
#define CH_CONFIG_PROOF_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Binds the proof that the copy of the store is current to the configuration
 * that is in force. A configuration is decoded some time after the copy has
 * received it; in between, a proof of the copy says nothing about the one in
 * force, which is already known to be outdated.
 */
struct config_proof {
	/* Store revision of the newest configuration that the copy has
	 * received, and of the newest that has been applied or refused. */
	uint64_t received;
	uint64_t decided;
	/* Latest proof of the copy before a configuration was received that is
	 * still pending. */
	int64_t proved_at;
};

void config_proof_receive(
    struct config_proof *, uint64_t revision, int64_t copy_proved_at);
void config_proof_decide(struct config_proof *, uint64_t revision);
int64_t config_proof_at(const struct config_proof *, int64_t copy_proved_at);

#endif
