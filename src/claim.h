#ifndef CH_CLAIM_H
#define CH_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "chestnuthoist.pb-c.h"

#include "lstr.h"

#define CLAIM_ID_BYTES 16
/* An outcome waits this long for a batch before it gets one of its own. */
#define CLAIM_OUTCOME_WAIT_USEC ((int64_t)2000000)
/*
 * Claims that expire later are refused: each keeps its slot occupied until
 * its expiry.
 */
#define CLAIM_EXPIRY_MAX_USEC ((int64_t)3600 * 1000000)
#define CLAIM_PENDING_MAX 4096
#define CLAIM_OUTCOMES_MAX 4096
/* About 60 bytes an entry: 120 KB, well below the service's 1 MB. */
#define CLAIM_BATCH_MAX 2048

struct claim_settings {
	uint32_t buckets;
	uint32_t slots;
	int64_t interval_usec;
	/* Unique among all owners that ever write; part of each batch id. */
	uint64_t owner_id;
};

/* A request for a claim. route and sequence come back in the reply. */
struct claim_request {
	uint64_t route;
	uint64_t sequence;
	uint8_t identity[CLAIM_ID_BYTES];
	uint8_t token[CLAIM_ID_BYTES];
	int64_t expiry;
	int64_t deadline;
};

struct claim_report {
	uint8_t identity[CLAIM_ID_BYTES];
	uint8_t token[CLAIM_ID_BYTES];
	Ch__ClaimState state;
	uint32_t status;
	int64_t expiry;
};

enum claim_action_kind {
	/* List all slots of the bucket; answer with claim_ring_*(). */
	CLAIM_READ_RING,
	/* Answer with claim_slot_read(). */
	CLAIM_READ_SLOT,
	/* Compare-and-swap over version; answer with claim_slot_swapped(). */
	CLAIM_SWAP_SLOT,
	CLAIM_REPLY
};

struct claim_reply {
	uint64_t route;
	uint64_t sequence;
	uint8_t identity[CLAIM_ID_BYTES];
	uint8_t token[CLAIM_ID_BYTES];
	Ch__ClaimResult result;
	Ch__ClaimState state;
	uint32_t status;
	uint64_t fence;
};

struct claim_action {
	enum claim_action_kind kind;
	uint32_t bucket;
	uint32_t slot;
	/* Names the answer that belongs to this action. */
	uint64_t ticket;
	uint64_t version;
	/* CLAIM_SWAP_SLOT: owned by the action, see claim_action_clear(). */
	uint8_t *value;
	size_t value_len;
	struct claim_reply reply;
};

struct claim_counts {
	uint64_t granted;
	uint64_t duplicates;
	uint64_t expired;
	uint64_t unavailable;
	uint64_t commits;
	uint64_t conflicts;
	uint64_t readbacks;
	uint64_t reloads;
	uint64_t outcomes_dropped;
};

/*
 * The buckets of claims that this process owns. Pure: events and the time
 * come in, actions go out. An answer whose ticket is no longer current is
 * ignored. All times are microseconds since the epoch.
 */
struct claim;

struct claim *claim_create(const struct claim_settings *);
void claim_destroy(struct claim *);
uint32_t claim_bucket_of(const uint8_t[CLAIM_ID_BYTES], uint32_t);

void claim_ask(struct claim *, uint32_t, const struct claim_request *, int64_t);
void claim_report(
    struct claim *, uint32_t, const struct claim_report *, int64_t);
void claim_ring_item(struct claim *, uint64_t, uint32_t, uint64_t, struct lstr);
void claim_ring_done(struct claim *, uint64_t, enum status, int64_t);
void claim_slot_read(
    struct claim *, uint64_t, enum status, uint64_t, struct lstr, int64_t);
void claim_slot_swapped(
    struct claim *, uint64_t, enum status, uint64_t, int64_t);
void claim_tick(struct claim *, int64_t);
int64_t claim_next_at(const struct claim *);

bool claim_next_action(struct claim *, struct claim_action *);
void claim_action_clear(struct claim_action *);
bool claim_is_idle(const struct claim *, uint32_t);
void claim_drop(struct claim *, uint32_t);
const struct claim_counts *claim_counts(const struct claim *);
json_t *claim_dump(const struct claim *);

#endif
