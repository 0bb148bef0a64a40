#ifndef CH_CLAIM_LOG_H
#define CH_CLAIM_LOG_H

#include <glib.h>

#include "claim.h"

/* The state of one identity according to the log. */
struct claim_record {
	uint8_t identity[CLAIM_ID_BYTES];
	uint8_t token[CLAIM_ID_BYTES];
	int64_t expiry;
	Ch__ClaimState state;
	uint32_t status;
	/* Sequence number of the batch that granted the claim. */
	uint64_t fence;
	/* Sequence number of the last batch that changed this record. */
	uint64_t sequence;
};

/*
 * The local copy of the log of one bucket, a ring of slots in the key-value
 * service. Sequence numbers start at 1; batch n is stored in slot n modulo the
 * number of slots.
 */
struct claim_log;

guint claim_identity_hash(gconstpointer);
gboolean claim_identity_equal(gconstpointer, gconstpointer);

struct claim_log *claim_log_create(uint32_t);
void claim_log_destroy(struct claim_log *);

/*
 * To load a log, pass every slot to claim_log_load_slot(), read again each
 * slot that claim_log_find_gap() returns, then call claim_log_replay().
 */
enum status claim_log_load_slot(
    struct claim_log *, uint32_t, uint64_t, struct lstr);
bool claim_log_find_gap(const struct claim_log *, uint32_t *);
void claim_log_replay(struct claim_log *);

uint64_t claim_log_head(const struct claim_log *);
int64_t claim_log_horizon(const struct claim_log *);
uint32_t claim_log_next_slot(const struct claim_log *);
uint64_t claim_log_slot_version(const struct claim_log *, uint32_t);
int64_t claim_log_slot_expiry(const struct claim_log *, uint32_t);
uint32_t claim_log_slots_in_use(const struct claim_log *, int64_t);
uint32_t claim_log_record_count(const struct claim_log *);
const struct claim_record *claim_log_find(
    const struct claim_log *, const uint8_t[CLAIM_ID_BYTES]);
enum status claim_log_unpack(struct lstr, Ch__ClaimBatch **);
void claim_log_apply(struct claim_log *, const Ch__ClaimBatch *, uint64_t);

#endif
