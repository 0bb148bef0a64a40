#ifndef CH_RECORD_H
#define CH_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnuthoist.pb-c.h"

#include "lstr.h"

#define REC_DIGEST_BYTES 32
#define REC_PUBLIC_KEY_BYTES 32
#define REC_SIGNATURE_BYTES 64

/* A segment is closed after this time or size, whichever comes first. */
#define REC_SEGMENT_MAX_USEC ((int64_t)30 * 1000 * 1000)
#define REC_SEGMENT_MAX_BYTES ((size_t)64 * 1024)
/*
 * Limit on the closed segments that wait to be stored. Above it, the oldest
 * segments are replaced by gap markers.
 */
#define REC_WAITING_MAX_BYTES ((size_t)64 * 1024 * 1024)
/*
 * Limit on the copies that a syncd holds for all routers together. Above it,
 * further copies are not acknowledged, so the router counts their entries as
 * unreplicated.
 */
#define REC_COPIES_MAX_BYTES ((size_t)64 * 1024 * 1024)
/* Most (node, boot) pairs whose copies a syncd holds. */
#define REC_COPIES_MAX_SOURCES 64
/* Maximum length of an organisation, request id or replica name. */
#define REC_TEXT_MAX_BYTES 255

/*
 * One served request and the reason for its place in the service order; see
 * docs/design.md. Times are in microseconds since the epoch.
 */
struct rec_event {
	struct lstr organisation;
	struct lstr request;
	int64_t arrival;
	int64_t start;
	uint32_t priority;
	uint64_t revision;
	Ch__RecordReason reason;
	struct lstr replica;
	uint32_t attempt;
};

/* The log of the order in which one router served its requests. */
struct rec;

void rec_register_metrics(void);
enum status rec_create(const char *node, uint64_t boot, struct rec **);
void rec_destroy(struct rec *);
const uint8_t *rec_public_key(const struct rec *);

/* Appending entries and copying them to the peer. */
enum status rec_append(struct rec *, const struct rec_event *, uint64_t *);
enum status rec_append_gap_marker(struct rec *, uint32_t missing, int64_t now);
enum status rec_append_closing_entry(struct rec *, int64_t now);
size_t rec_unsent_count(const struct rec *);
enum status rec_next_copy(struct rec *, Ch__RecordAppend **);
void rec_restart_copy(struct rec *);
void rec_handle_ack(struct rec *, uint64_t sequence);
bool rec_is_replicated(const struct rec *, uint64_t sequence);

/* Segments. */
bool rec_segment_due(const struct rec *, int64_t now);
enum status rec_close_segment(struct rec *, int64_t now);
enum status rec_next_store(struct rec *, Ch__RecordStore **);
void rec_restart_store(struct rec *);
void rec_handle_stored(struct rec *, uint32_t segment);
size_t rec_waiting_bytes(const struct rec *);

/* The copies that a syncd holds for routers of other nodes. */
struct rec_copies;

enum status rec_copies_create(const char *node, struct rec_copies **);
void rec_copies_destroy(struct rec_copies *);
const uint8_t *rec_copies_public_key(const struct rec_copies *);
size_t rec_copies_bytes(const struct rec_copies *);
enum status rec_copies_append(
    struct rec_copies *, const Ch__RecordAppend *, Ch__RecordAck *);
void rec_copies_handle_recovered(struct rec_copies *, struct lstr node,
    uint64_t boot, uint32_t segment, uint64_t last_sequence);
void rec_copies_handle_stored(
    struct rec_copies *, struct lstr node, uint64_t boot, uint32_t segment);
enum status rec_copies_next_recovery(
    struct rec_copies *, struct lstr node, uint64_t boot, Ch__RecordStore **);
void rec_copies_restart_recovery(
    struct rec_copies *, struct lstr node, uint64_t boot);

/*
 * Verification of the stored segments of one node and boot, ordered by segment
 * number. A recovered segment may come before or after the segment of the same
 * number that the router stored itself.
 */
struct rec_verify_report {
	uint32_t segments;
	uint64_t entries;
	/* Entries of segments that were replaced by gap markers. */
	uint64_t missing;
	/* Entries that gap markers report as released without a copy. */
	uint64_t unreplicated;
	uint32_t recovered;
	/*
	 * True if the router wrote the closing entry. Otherwise entries may
	 * be missing at the end, lost in a crash or cut off.
	 */
	bool closed;
	uint64_t last_sequence;
	uint8_t last_digest[REC_DIGEST_BYTES];
	/* Number of the segment that the problem refers to. */
	uint32_t problem_segment;
	/* Description of the first problem; empty if the record is valid. */
	char problem[256];
};

typedef void (*rec_entry_fn)(const Ch__RecordEntry *, void *);
/* Returns whether the key is known to belong to the signing node. */
typedef bool (*rec_key_fn)(
    struct lstr signer, const uint8_t *public_key, void *);

enum status rec_verify(const struct lstr *segments, size_t count,
    const uint8_t *public_key, rec_entry_fn, void *,
    struct rec_verify_report *);
enum status rec_verify_recovered(const struct lstr *segments, size_t count,
    const uint8_t *public_key, rec_key_fn, rec_entry_fn, void *,
    struct rec_verify_report *);

#endif
