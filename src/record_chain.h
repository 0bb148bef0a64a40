#ifndef CH_RECORD_CHAIN_H
#define CH_RECORD_CHAIN_H

#include <sodium.h>

#include "record.h"

/*
 * Internals shared by the writer, the copies and the verification of the
 * record. For no other module, except tests that build damaged records.
 */

/* Maximum size of a packed body that verification decompresses. */
#define REC_BODY_MAX_BYTES ((size_t)128 * 1024)

/* One packed entry and the chain digest after it. */
struct rec_chain_item {
	size_t offset;
	size_t len;
	uint64_t sequence;
	uint8_t digest[REC_DIGEST_BYTES];
};

/*
 * The entries of one segment and their digests. Zero-initialise, then call
 * rec_chain_init().
 */
struct rec_chain {
	uint8_t start[REC_DIGEST_BYTES];
	struct lstr_buf bytes;
	struct rec_chain_item *items;
	size_t count;
	size_t size;
};

/* The Ed25519 key pair that signs segments. */
struct rec_signer {
	uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
	uint8_t secret_key[crypto_sign_SECRETKEYBYTES];
};

void rec_digest_first(const char *node, uint64_t boot, uint8_t *digest);
enum status rec_digest_next(
    const uint8_t *previous, const Ch__RecordEntry *, uint8_t *digest);

void rec_chain_init(struct rec_chain *, const uint8_t *start);
void rec_chain_free(struct rec_chain *);
const uint8_t *rec_chain_digest(const struct rec_chain *, size_t count);
enum status rec_chain_add(struct rec_chain *, const Ch__RecordEntry *);
enum status rec_chain_entries(const struct rec_chain *, size_t from,
    Ch__RecordEntry ***entries, size_t *count);
void rec_entries_free(Ch__RecordEntry **, size_t count);

enum status rec_signer_create(struct rec_signer *);
enum status rec_segment_encode(const Ch__RecordBody *,
    const struct rec_signer *, struct lstr_buf *content);
enum status rec_segment_decode(
    struct lstr content, Ch__RecordBody **, uint8_t *key);
enum status rec_copy_message(const char *node, uint64_t boot, uint32_t segment,
    const uint8_t *previous, Ch__RecordEntry **entries, size_t count,
    Ch__RecordAppend **);
enum status rec_store_message(const char *node, uint64_t boot, uint32_t segment,
    uint64_t last_sequence, struct lstr content, Ch__RecordStore **);

#endif
