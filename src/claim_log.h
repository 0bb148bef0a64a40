#ifndef CH_CLAIM_LOG_H
#define CH_CLAIM_LOG_H

#include <glib.h>

#include "claim.h"

/* What the log says about one identity. */
struct claim_known {
	uint8_t identity[CLAIM_ID_BYTES];
	uint8_t token[CLAIM_ID_BYTES];
	int64_t expiry;
	Ch__ClaimState state;
	uint32_t status;
	/* Batch that granted the claim. */
	uint64_t fence;
	/* Last batch that changed this entry. */
	uint64_t sequence;
};

/*
 * The log of one bucket, as far as it was read. Sequence numbers start at 1;
 * batch n is in slot n modulo the number of slots.
 */
struct claim_log;

guint claim_identity_hash(gconstpointer);
gboolean claim_identity_equal(gconstpointer, gconstpointer);

struct claim_log *claim_log_create(uint32_t);
void claim_log_destroy(struct claim_log *);

/* Loading: offer every slot, then those that are asked for, then replay. */
enum status claim_log_offer(
    struct claim_log *, uint32_t, uint64_t, struct lstr);
bool claim_log_gap(const struct claim_log *, uint32_t *);
void claim_log_replay(struct claim_log *);

uint64_t claim_log_head(const struct claim_log *);
int64_t claim_log_horizon(const struct claim_log *);
uint32_t claim_log_next_slot(const struct claim_log *);
uint64_t claim_log_slot_version(const struct claim_log *, uint32_t);
int64_t claim_log_slot_expiry(const struct claim_log *, uint32_t);
uint32_t claim_log_slots_in_use(const struct claim_log *, int64_t);
uint32_t claim_log_known_count(const struct claim_log *);
const struct claim_known *claim_log_find(
    const struct claim_log *, const uint8_t[CLAIM_ID_BYTES]);
enum status claim_log_unpack(struct lstr, Ch__ClaimBatch **);
void claim_log_apply(struct claim_log *, const Ch__ClaimBatch *, uint64_t);

#endif
