#ifndef CH_CONFIG_PROOF_H
#define CH_CONFIG_PROOF_H

#include <stdbool.h>
#include <stdint.h>

#include "store_position.h"

/*
 * Binds the proof that the copy of the store is current to the configuration
 * that is in force. A configuration is decoded some time after the copy has
 * received it; in between, a proof of the copy says nothing about the one in
 * force, which is already known to be outdated. Nor does it while the store, as
 * it has come back from an older copy, has an older configuration than the one
 * in force: it has lost confirmed versions, and the last of them, which may be
 * newer than the one in force, is not known.
 */
struct config_proof {
	/* Position in the store of the newest configuration that the copy has
	 * received; revision 0: it has none. */
	struct store_position received;
	/* It has not been applied or refused yet. */
	bool pending;
	/* The store has no configuration, or an older one than is in force. */
	bool outdated;
	/* Latest proof before the configuration in force ceased to be proved by
	 * the copy. */
	int64_t proved_at;
};

/* How a received configuration relates to the one in force before. */
enum config_decision {
	/* It is in force now, or it is invalid and the former one stays. */
	CONFIG_DECISION_CURRENT,
	/* It is older, and the former one stays in force. */
	CONFIG_DECISION_OLDER
};

void config_proof_receive(
    struct config_proof *, struct store_position, int64_t copy_proved_at);
void config_proof_remove(struct config_proof *, int64_t copy_proved_at);
void config_proof_decide(struct config_proof *, enum config_decision);
int64_t config_proof_at(const struct config_proof *, int64_t copy_proved_at);

#endif
