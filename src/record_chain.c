#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <zstd.h>

#include "record_chain.h"

#define ITEMS_MIN 64
/*
 * Level 19 needs 32.5 instead of 34.8 bytes per entry (see bench/record_size),
 * which is not worth its CPU time in an event loop.
 */
#define ZSTD_LEVEL 3

/*
 * Computes the initial digest of the chain of a node and boot: BLAKE2b-256 over
 * the boot id (8 bytes, little endian) and the node name.
 */
void
rec_digest_first(const char *node, uint64_t boot, uint8_t *digest)
{
	crypto_generichash_state state;
	uint8_t bytes[sizeof(boot)];

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)(boot >> (8 * i));
	crypto_generichash_init(&state, NULL, 0, REC_DIGEST_BYTES);
	crypto_generichash_update(&state, bytes, sizeof(bytes));
	crypto_generichash_update(&state, (const uint8_t *)node, strlen(node));
	crypto_generichash_final(&state, digest, REC_DIGEST_BYTES);
}

/*
 * Computes BLAKE2b-256 over the previous digest and a packed entry. The
 * previous digest has a fixed length, so the two cannot be confused.
 */
static void
digest_packed(const uint8_t *previous, struct lstr packed, uint8_t *digest)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, REC_DIGEST_BYTES);
	crypto_generichash_update(&state, previous, REC_DIGEST_BYTES);
	crypto_generichash_update(
	    &state, (const uint8_t *)packed.data, packed.len);
	crypto_generichash_final(&state, digest, REC_DIGEST_BYTES);
}

/*
 * Computes the chain digest after an entry. This relies on the encoding of
 * protobuf-c being deterministic: fields in order of number, shortest varints,
 * default values omitted. Returns STATUS_NO_MEMORY if memory runs out.
 */
enum status
rec_digest_next(
    const uint8_t *previous, const Ch__RecordEntry *entry, uint8_t *digest)
{
	size_t len = ch__record_entry__get_packed_size(entry);
	uint8_t *packed = malloc(len + 1);

	if (packed == NULL)
		return status_set(STATUS_NO_MEMORY, "record entry");
	ch__record_entry__pack(entry, packed);
	digest_packed(previous, lstr_make(packed, len), digest);
	free(packed);
	return STATUS_OK;
}

/*
 * Empties a chain, keeping its memory, and sets the digest it continues from.
 */
void
rec_chain_init(struct rec_chain *chain, const uint8_t *start)
{
	uint8_t copy[REC_DIGEST_BYTES];

	memcpy(copy, start, sizeof(copy));
	memcpy(chain->start, copy, sizeof(copy));
	lstr_buf_clear(&chain->bytes);
	chain->count = 0;
}

/*
 * Frees the memory of a chain, which may then be initialised again.
 */
void
rec_chain_free(struct rec_chain *chain)
{
	lstr_buf_free(&chain->bytes);
	free(chain->items);
	memset(chain, 0, sizeof(*chain));
}

/*
 * Returns the digest after the first count entries, valid until the chain
 * changes.
 */
const uint8_t *
rec_chain_digest(const struct rec_chain *chain, size_t count)
{
	assert(count <= chain->count);
	return count == 0 ? chain->start : chain->items[count - 1].digest;
}

/*
 * Grows the array of items to hold at least one more.
 */
static enum status
chain_reserve(struct rec_chain *chain)
{
	size_t size = chain->size ? 2 * chain->size : ITEMS_MIN;
	struct rec_chain_item *items;

	if (chain->count < chain->size)
		return STATUS_OK;
	items = realloc(chain->items, size * sizeof(*items));
	if (items == NULL)
		return status_set(STATUS_NO_MEMORY, "record entries");
	chain->items = items;
	chain->size = size;
	return STATUS_OK;
}

/*
 * Appends a copy of an entry. On STATUS_NO_MEMORY the chain is unchanged.
 */
enum status
rec_chain_add(struct rec_chain *chain, const Ch__RecordEntry *entry)
{
	size_t len = ch__record_entry__get_packed_size(entry);
	uint8_t *packed = malloc(len + 1);
	struct rec_chain_item *item;
	enum status status = STATUS_OK;

	if (packed == NULL)
		return status_set(STATUS_NO_MEMORY, "record entry");
	ch__record_entry__pack(entry, packed);
	status = chain_reserve(chain);
	if (status == STATUS_OK)
		status = lstr_buf_append(&chain->bytes, lstr_make(packed, len));
	if (status == STATUS_OK) {
		item = &chain->items[chain->count];
		item->offset = chain->bytes.len - len;
		item->len = len;
		item->sequence = entry->sequence;
		digest_packed(rec_chain_digest(chain, chain->count),
		    lstr_make(packed, len), item->digest);
		chain->count++;
	}
	free(packed);
	return status;
}

/*
 * Unpacks the entries starting at index from. The caller frees them with
 * rec_entries_free() or as part of a message. Returns STATUS_NO_MEMORY if
 * memory runs out.
 */
enum status
rec_chain_entries(const struct rec_chain *chain, size_t from,
    Ch__RecordEntry ***out, size_t *count)
{
	Ch__RecordEntry **entries;
	size_t n = 0;

	assert(from <= chain->count);
	entries = calloc(chain->count - from + 1, sizeof(void *));
	if (entries == NULL)
		return status_set(STATUS_NO_MEMORY, "record entries");
	for (size_t i = from; i < chain->count; i++) {
		const struct rec_chain_item *item = &chain->items[i];

		entries[n] = ch__record_entry__unpack(NULL, item->len,
		    (const uint8_t *)chain->bytes.data + item->offset);
		if (entries[n] == NULL) {
			rec_entries_free(entries, n);
			return status_set(STATUS_NO_MEMORY, "record entry");
		}
		n++;
	}
	*out = entries;
	*count = n;
	return STATUS_OK;
}

/*
 * Frees an array of unpacked entries. NULL is allowed.
 */
void
rec_entries_free(Ch__RecordEntry **entries, size_t count)
{
	for (size_t i = 0; i < count; i++)
		ch__record_entry__free_unpacked(entries[i], NULL);
	free(entries);
}

/*
 * Generates a key pair from the system's random source; a seeded generator
 * would make the key predictable. Returns STATUS_IO if libsodium cannot be
 * initialised.
 */
enum status
rec_signer_create(struct rec_signer *signer)
{
	if (sodium_init() < 0)
		return status_set(STATUS_IO, "libsodium cannot start");
	crypto_sign_keypair(signer->public_key, signer->secret_key);
	return STATUS_OK;
}

/*
 * Compresses a packed body into the segment. The caller frees segment->body.
 */
static enum status
compress_body(struct lstr packed, Ch__RecordSegment *segment)
{
	size_t bound = ZSTD_compressBound(packed.len);
	size_t len;

	segment->body.data = malloc(bound);
	if (segment->body.data == NULL)
		return status_set(STATUS_NO_MEMORY, "record segment");
	len = ZSTD_compress(
	    segment->body.data, bound, packed.data, packed.len, ZSTD_LEVEL);
	if (ZSTD_isError(len))
		return status_set(
		    STATUS_NO_MEMORY, "zstd: %s", ZSTD_getErrorName(len));
	segment->body.len = len;
	return STATUS_OK;
}

/*
 * Compresses and signs a packed body and appends the packed segment to
 * content.
 */
static enum status
encode_packed_body(struct lstr packed, const struct rec_signer *signer,
    struct lstr_buf *content)
{
	Ch__RecordSegment segment = CH__RECORD_SEGMENT__INIT;
	uint8_t signature[REC_SIGNATURE_BYTES];
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	enum status status = compress_body(packed, &segment);
	uint8_t *bytes;
	size_t len;

	memcpy(key, signer->public_key, sizeof(key));
	if (status == STATUS_OK)
		crypto_sign_detached(signature, NULL, segment.body.data,
		    segment.body.len, signer->secret_key);
	segment.public_key.data = key;
	segment.public_key.len = sizeof(key);
	segment.signature.data = signature;
	segment.signature.len = sizeof(signature);
	len = ch__record_segment__get_packed_size(&segment);
	bytes = status == STATUS_OK ? malloc(len) : NULL;
	if (status == STATUS_OK && bytes == NULL)
		status = status_set(STATUS_NO_MEMORY, "record segment");
	if (status == STATUS_OK) {
		ch__record_segment__pack(&segment, bytes);
		status = lstr_buf_append(content, lstr_make(bytes, len));
	}
	free(bytes);
	free(segment.body.data);
	return status;
}

/*
 * Packs, compresses and signs a body and appends the packed RecordSegment to
 * content. The signature covers the compressed bytes: zstd ignores some input
 * bits, so a signature over the packed body would not detect changes to them.
 * Returns STATUS_NO_MEMORY if memory runs out.
 */
enum status
rec_segment_encode(const Ch__RecordBody *body, const struct rec_signer *signer,
    struct lstr_buf *content)
{
	size_t len = ch__record_body__get_packed_size(body);
	uint8_t *packed = malloc(len + 1);
	enum status status;

	if (packed == NULL)
		return status_set(STATUS_NO_MEMORY, "record body");
	ch__record_body__pack(body, packed);
	status = encode_packed_body(lstr_make(packed, len), signer, content);
	free(packed);
	return status;
}

/*
 * Checks that a segment is encoded exactly as rec_segment_encode() encodes it.
 * The signature does not cover other encodings of the same fields, nor fields
 * unknown to the schema.
 */
static enum status
check_canonical_encoding(const Ch__RecordSegment *segment, struct lstr content)
{
	uint8_t *packed;
	bool same;

	if (segment->base.n_unknown_fields > 0 ||
	    ch__record_segment__get_packed_size(segment) != content.len)
		return status_set(STATUS_INVALID, "segment has other bytes");
	packed = malloc(content.len + 1);
	if (packed == NULL)
		return status_set(STATUS_NO_MEMORY, "record segment");
	ch__record_segment__pack(segment, packed);
	same = memcmp(packed, content.data, content.len) == 0;
	free(packed);
	if (!same)
		return status_set(STATUS_INVALID, "segment has other bytes");
	return STATUS_OK;
}

/*
 * Checks the signature of a segment and decompresses its body within
 * REC_BODY_MAX_BYTES, so that a forged segment cannot use up memory.
 */
static enum status
decode_body(const Ch__RecordSegment *segment, Ch__RecordBody **out)
{
	uint8_t *packed;
	size_t len;

	if (segment->public_key.len != REC_PUBLIC_KEY_BYTES ||
	    segment->signature.len != REC_SIGNATURE_BYTES)
		return status_set(STATUS_INVALID, "key or signature is cut");
	if (crypto_sign_verify_detached(segment->signature.data,
		segment->body.data, segment->body.len,
		segment->public_key.data) != 0)
		return status_set(STATUS_DENIED, "signature does not match");
	packed = malloc(REC_BODY_MAX_BYTES);
	if (packed == NULL)
		return status_set(STATUS_NO_MEMORY, "record body");
	len = ZSTD_decompress(
	    packed, REC_BODY_MAX_BYTES, segment->body.data, segment->body.len);
	if (ZSTD_isError(len)) {
		free(packed);
		return status_set(
		    STATUS_INVALID, "body cannot be decompressed");
	}
	*out = ch__record_body__unpack(NULL, len, packed);
	free(packed);
	if (*out == NULL)
		return status_set(STATUS_INVALID, "body is malformed");
	return STATUS_OK;
}

/*
 * Decodes a packed segment: checks its signature against the public key in the
 * segment, copies that key (REC_PUBLIC_KEY_BYTES) and unpacks the body, which
 * the caller frees with ch__record_body__free_unpacked(). The caller must check
 * that the key is trusted. Returns STATUS_INVALID for malformed content and
 * STATUS_DENIED for a wrong signature.
 */
enum status
rec_segment_decode(struct lstr content, Ch__RecordBody **body, uint8_t *key)
{
	Ch__RecordSegment *segment;
	enum status status;

	if (sodium_init() < 0)
		return status_set(STATUS_IO, "libsodium cannot start");
	segment = ch__record_segment__unpack(
	    NULL, content.len, (const uint8_t *)content.data);
	if (segment == NULL)
		return status_set(STATUS_INVALID, "segment is malformed");
	status = check_canonical_encoding(segment, content);
	if (status == STATUS_OK)
		status = decode_body(segment, body);
	if (status == STATUS_OK)
		memcpy(key, segment->public_key.data, REC_PUBLIC_KEY_BYTES);
	ch__record_segment__free_unpacked(segment, NULL);
	return status;
}

/*
 * Builds the message that carries a segment to the local syncd. The caller
 * frees it with ch__record_store__free_unpacked().
 */
enum status
rec_store_message(const char *node, uint64_t boot, uint32_t segment,
    uint64_t last_sequence, struct lstr content, Ch__RecordStore **out)
{
	Ch__RecordStore *store = malloc(sizeof(*store));

	if (store == NULL)
		return status_set(STATUS_NO_MEMORY, "record segment");
	ch__record_store__init(store);
	store->node = strdup(node);
	store->boot = boot;
	store->segment = segment;
	store->last_sequence = last_sequence;
	store->content.data = malloc(content.len + 1);
	if (store->node == NULL || store->content.data == NULL) {
		ch__record_store__free_unpacked(store, NULL);
		return status_set(STATUS_NO_MEMORY, "record segment");
	}
	memcpy(store->content.data, content.data, content.len);
	store->content.len = content.len;
	*out = store;
	return STATUS_OK;
}

/*
 * Builds a copy message that carries the given entries and, on success, takes
 * ownership of them. The caller frees it with
 * ch__record_append__free_unpacked().
 */
enum status
rec_copy_message(const char *node, uint64_t boot, uint32_t segment,
    const uint8_t *previous, Ch__RecordEntry **entries, size_t count,
    Ch__RecordAppend **out)
{
	Ch__RecordAppend *append = malloc(sizeof(*append));

	if (append == NULL)
		return status_set(STATUS_NO_MEMORY, "record copy");
	ch__record_append__init(append);
	append->node = strdup(node);
	append->boot = boot;
	append->segment = segment;
	append->previous_digest.data = malloc(REC_DIGEST_BYTES);
	if (append->node == NULL || append->previous_digest.data == NULL) {
		ch__record_append__free_unpacked(append, NULL);
		return status_set(STATUS_NO_MEMORY, "record copy");
	}
	memcpy(append->previous_digest.data, previous, REC_DIGEST_BYTES);
	append->previous_digest.len = REC_DIGEST_BYTES;
	append->entries = entries;
	append->n_entries = count;
	*out = append;
	return STATUS_OK;
}
