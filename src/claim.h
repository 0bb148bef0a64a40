#ifndef CH_CLAIM_H
#define CH_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "chestnuthoist.pb-c.h"

#include "lstr.h"

#define CLAIM_ID_BYTES 16
/*
 * Longest time that a report waits to share a batch with claims.
 * After that it is written in a batch of its own.
 */
#define CLAIM_REPORT_WAIT_USEC ((int64_t)2000000)
/*
 * Claims that expire later than this are refused, because a slot cannot be
 * overwritten before the last claim in it expires.
 */
#define CLAIM_EXPIRY_MAX_USEC ((int64_t)3600 * 1000000)
/* Requests and reports that may wait in one bucket. */
#define CLAIM_REQUESTS_MAX 4096
#define CLAIM_REPORTS_MAX 4096
/*
 * Entries in one batch. At about 60 bytes per entry a batch has at most
 * 120 KB, well below the 1 MB limit of the key-value service.
 */
#define CLAIM_BATCH_MAX 2048

struct claim_settings {
	uint32_t buckets;
	uint32_t slots;
	int64_t interval_usec;
	/* Never used by any other owner; part of each batch id. */
	uint64_t owner_id;
};

/* A request for a claim. The reply carries the same reply_to and sequence. */
struct claim_request {
	uint64_t reply_to;
	uint64_t sequence;
	uint8_t identity[CLAIM_ID_BYTES];
	uint8_t token[CLAIM_ID_BYTES];
	int64_t expiry;
	int64_t deadline;
};

/* The outcome of a claim. */
struct claim_report {
	uint8_t identity[CLAIM_ID_BYTES];
	uint8_t token[CLAIM_ID_BYTES];
	Ch__ClaimState state;
	uint32_t status;
	int64_t expiry;
};

enum claim_action_kind {
	/*
	 * List all slots of the bucket. Pass each of them to
	 * claim_ring_item(), then call claim_ring_done().
	 */
	CLAIM_READ_RING,
	/* Read one slot. Pass the result to claim_slot_read(). */
	CLAIM_READ_SLOT,
	/*
	 * Write value if the slot still has the given version. Pass the result
	 * to claim_slot_swapped().
	 */
	CLAIM_SWAP_SLOT,
	/* Send the reply to a request. */
	CLAIM_REPLY
};

struct claim_reply {
	uint64_t reply_to;
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
	/* Identifies this action when its result is passed in. */
	uint64_t ticket;
	uint64_t version;
	/* CLAIM_SWAP_SLOT only. Freed by claim_action_clear(). */
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
 * The claim buckets that this process owns. The module does no I/O and reads
 * no clock: the caller passes in events and the current time and carries out
 * the actions that claim_next_action() returns. Results with an outdated
 * ticket are ignored. All times are in microseconds since the Unix epoch.
 */
struct claim;

struct claim *claim_create(const struct claim_settings *);
void claim_destroy(struct claim *);
uint32_t claim_bucket_of(const uint8_t[CLAIM_ID_BYTES], uint32_t);

void claim_submit(
    struct claim *, uint32_t, const struct claim_request *, int64_t);
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
void claim_drop_bucket(struct claim *, uint32_t);
const struct claim_counts *claim_counts(const struct claim *);
json_t *claim_dump(const struct claim *);

#endif
