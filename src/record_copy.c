#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "metric.h"
#include "record_chain.h"

/* The entries of one segment that this node has received copies of. */
struct copied_segment {
	uint32_t number;
	struct rec_chain chain;
	/* Numbers of entries already sent for recovery, and already stored. */
	size_t recovery_sent;
	size_t stored;
	struct copied_segment *next;
};

/* The copies received from one boot of a router, oldest segment first. */
struct source {
	char *node;
	uint64_t boot;
	struct copied_segment *segments;
	/* The router itself has stored all segments up to this number. */
	uint32_t stored;
};

struct rec_copies {
	char *node;
	struct rec_signer signer;
	struct source sources[REC_COPIES_MAX_SOURCES];
	size_t source_count;
	size_t bytes;
};

/*
 * Creates an empty set of copies for the node that holds them, and generates
 * the key pair that signs recovered segments.
 */
enum status
rec_copies_create(const char *node, struct rec_copies **out)
{
	struct rec_copies *copies = calloc(1, sizeof(*copies));
	enum status status;

	if (copies == NULL)
		return status_set(STATUS_NO_MEMORY, "record copies");
	status = rec_signer_create(&copies->signer);
	copies->node = strdup(node);
	if (status == STATUS_OK && copies->node == NULL)
		status = status_set(STATUS_NO_MEMORY, "record copies");
	if (status != STATUS_OK) {
		rec_copies_destroy(copies);
		return status;
	}
	*out = copies;
	return STATUS_OK;
}

/*
 * Returns the memory use of a copied segment in bytes.
 */
static size_t
segment_bytes(const struct copied_segment *segment)
{
	return sizeof(*segment) + segment->chain.bytes.len +
	    segment->chain.count * sizeof(struct rec_chain_item);
}

/*
 * Removes and frees the oldest segment of a source.
 */
static void
drop_oldest_segment(struct rec_copies *copies, struct source *source)
{
	struct copied_segment *segment = source->segments;

	copies->bytes -= segment_bytes(segment);
	source->segments = segment->next;
	rec_chain_free(&segment->chain);
	free(segment);
}

/*
 * Frees all copies and erases the key. NULL is allowed.
 */
void
rec_copies_destroy(struct rec_copies *copies)
{
	if (copies == NULL)
		return;
	for (size_t i = 0; i < copies->source_count; i++) {
		while (copies->sources[i].segments != NULL)
			drop_oldest_segment(copies, &copies->sources[i]);
		free(copies->sources[i].node);
	}
	sodium_memzero(&copies->signer, sizeof(copies->signer));
	free(copies->node);
	free(copies);
}

/*
 * Returns the public key (REC_PUBLIC_KEY_BYTES) that verifies recovered
 * segments, valid as long as the copies.
 */
const uint8_t *
rec_copies_public_key(const struct rec_copies *copies)
{
	return copies->signer.public_key;
}

/*
 * Returns the memory use of all copies in bytes.
 */
size_t
rec_copies_bytes(const struct rec_copies *copies)
{
	return copies->bytes;
}

/*
 * Returns the source for a node and boot, or NULL if there is none.
 */
static struct source *
find_source(struct rec_copies *copies, struct lstr node, uint64_t boot)
{
	for (size_t i = 0; i < copies->source_count; i++)
		if (copies->sources[i].boot == boot &&
		    lstr_equal_c(node, copies->sources[i].node))
			return &copies->sources[i];
	return NULL;
}

/*
 * Returns whether all entries held for a source are stored as recovered
 * segments. They are still kept, because the router may be alive and continue a
 * segment.
 */
static bool
is_recovered(const struct source *source)
{
	for (const struct copied_segment *s = source->segments; s; s = s->next)
		if (s->stored < s->chain.count)
			return false;
	return true;
}

/*
 * Frees the copies of all fully recovered sources.
 */
static void
drop_recovered(struct rec_copies *copies)
{
	for (size_t i = 0; i < copies->source_count; i++)
		if (is_recovered(&copies->sources[i]))
			while (copies->sources[i].segments != NULL)
				drop_oldest_segment(
				    copies, &copies->sources[i]);
}

/*
 * Returns a slot for a new source: an unused one, or that of a source whose
 * copies are no longer needed. Returns NULL if the table is full.
 */
static struct source *
allocate_source(struct rec_copies *copies)
{
	if (copies->source_count < REC_COPIES_MAX_SOURCES)
		return &copies->sources[copies->source_count++];
	drop_recovered(copies);
	for (size_t i = 0; i < copies->source_count; i++)
		if (copies->sources[i].segments == NULL)
			return &copies->sources[i];
	return NULL;
}

/*
 * Finds the source that a message comes from, adding it if it is new.
 */
static enum status
find_or_add_source(struct rec_copies *copies, const Ch__RecordAppend *append,
    struct source **out)
{
	struct source *source =
	    find_source(copies, lstr_from(append->node), append->boot);
	char *node;

	if (source == NULL) {
		node = strdup(append->node);
		if (node == NULL)
			return status_set(STATUS_NO_MEMORY, "record copies");
		source = allocate_source(copies);
		if (source == NULL) {
			free(node);
			return status_set(STATUS_FULL,
			    "copies of %d routers are held",
			    REC_COPIES_MAX_SOURCES);
		}
		free(source->node);
		memset(source, 0, sizeof(*source));
		source->node = node;
		source->boot = append->boot;
	}
	*out = source;
	return STATUS_OK;
}

/*
 * Appends an empty segment to a source. It must continue the last segment held,
 * unless segments between the two are already stored.
 */
static enum status
add_segment(struct rec_copies *copies, struct source *source,
    struct copied_segment *last, const Ch__RecordAppend *append,
    struct copied_segment **out)
{
	struct copied_segment *segment;

	if (last != NULL && append->segment < last->number)
		return status_set(STATUS_CONFLICT,
		    "copy of segment %u after segment %u", append->segment,
		    last->number);
	if (last != NULL && append->segment == last->number + 1 &&
	    memcmp(rec_chain_digest(&last->chain, last->chain.count),
		append->previous_digest.data, REC_DIGEST_BYTES) != 0)
		return status_set(STATUS_CONFLICT,
		    "copy of segment %u does not continue segment %u",
		    append->segment, last->number);
	segment = calloc(1, sizeof(*segment));
	if (segment == NULL)
		return status_set(STATUS_NO_MEMORY, "record copies");
	segment->number = append->segment;
	rec_chain_init(&segment->chain, append->previous_digest.data);
	copies->bytes += segment_bytes(segment);
	if (last == NULL)
		source->segments = segment;
	else
		last->next = segment;
	*out = segment;
	return STATUS_OK;
}

/*
 * Finds the segment that a message belongs to, adding it if it is new.
 */
static enum status
find_or_add_segment(struct rec_copies *copies, struct source *source,
    const Ch__RecordAppend *append, struct copied_segment **out)
{
	struct copied_segment *last = NULL;

	for (struct copied_segment *s = source->segments; s; s = s->next) {
		if (s->number == append->segment) {
			*out = s;
			return STATUS_OK;
		}
		last = s;
	}
	return add_segment(copies, source, last, append, out);
}

/*
 * Finds the number of entries after which the chain has the given digest. A
 * router that reconnects sends a segment from its start, so the position may be
 * before the end of the chain.
 */
static enum status
find_position(const struct rec_chain *chain, const uint8_t *digest, size_t *at)
{
	for (size_t i = 0; i <= chain->count; i++) {
		if (memcmp(rec_chain_digest(chain, i), digest,
			REC_DIGEST_BYTES) == 0) {
			*at = i;
			return STATUS_OK;
		}
	}
	return status_set(STATUS_CONFLICT, "the copy leaves out entries");
}

/*
 * Processes one entry for a position of the chain. An entry at the end is
 * appended; at an earlier position it must equal the entry held there.
 */
static enum status
check_or_add_entry(struct rec_copies *copies, struct copied_segment *segment,
    size_t at, const Ch__RecordEntry *entry)
{
	struct rec_chain *chain = &segment->chain;
	uint8_t digest[REC_DIGEST_BYTES];
	size_t before = segment_bytes(segment);
	enum status status;

	if (at < chain->count) {
		status =
		    rec_digest_next(rec_chain_digest(chain, at), entry, digest);
		if (status == STATUS_OK &&
		    memcmp(digest, chain->items[at].digest, sizeof(digest)) !=
			0)
			status = status_set(STATUS_CONFLICT,
			    "the copy of an entry differs from the first");
		return status;
	}
	if (chain->bytes.len + ch__record_entry__get_packed_size(entry) >
	    REC_SEGMENT_MAX_BYTES)
		return status_set(STATUS_FULL, "the copied segment is full");
	status = rec_chain_add(chain, entry);
	copies->bytes += segment_bytes(segment) - before;
	return status;
}

/*
 * Checks that the fields of a copy message are well-formed.
 */
static enum status
check_append(const Ch__RecordAppend *append)
{
	if (append->previous_digest.len != REC_DIGEST_BYTES ||
	    append->n_entries == 0 || append->segment == 0)
		return status_set(STATUS_INVALID, "record copy is malformed");
	return STATUS_OK;
}

/*
 * Adds the entries of a message to their segment. Entries of segments that the
 * router has already stored are ignored.
 */
static enum status
add_entries(struct rec_copies *copies, struct source *source,
    const Ch__RecordAppend *append)
{
	struct copied_segment *segment = NULL;
	size_t at = 0;
	enum status status;

	if (append->segment <= source->stored)
		return STATUS_OK;
	status = find_or_add_segment(copies, source, append, &segment);
	if (status != STATUS_OK)
		return status;
	assert(segment != NULL);
	status =
	    find_position(&segment->chain, append->previous_digest.data, &at);
	for (size_t i = 0; i < append->n_entries && status == STATUS_OK; i++)
		status = check_or_add_entry(
		    copies, segment, at + i, append->entries[i]);
	return status;
}

/*
 * Adds the entries of a copy message. On STATUS_OK, *ack is filled in and
 * borrows the node name of the message. Returns STATUS_CONFLICT if the entries
 * do not continue those held, in which case the router must restart copying,
 * and STATUS_FULL if a limit is reached; the entries must then not be
 * acknowledged.
 */
enum status
rec_copies_append(struct rec_copies *copies, const Ch__RecordAppend *append,
    Ch__RecordAck *ack)
{
	struct source *source = NULL;
	enum status status = check_append(append);

	if (copies->bytes >= REC_COPIES_MAX_BYTES)
		drop_recovered(copies);
	if (status == STATUS_OK && copies->bytes >= REC_COPIES_MAX_BYTES)
		status = status_set(STATUS_FULL, "record copies are full");
	if (status != STATUS_OK)
		return status;
	status = find_or_add_source(copies, append, &source);
	if (status != STATUS_OK)
		return status;
	assert(source != NULL);
	status = add_entries(copies, source, append);
	if (status != STATUS_OK)
		return status;
	ch__record_ack__init(ack);
	ack->node = append->node;
	ack->boot = append->boot;
	ack->sequence = append->entries[append->n_entries - 1]->sequence;
	return STATUS_OK;
}

/*
 * Frees the copies of all segments up to and including the given one. The
 * caller must know that the key-value service holds all of them.
 */
void
rec_copies_handle_stored(struct rec_copies *copies, struct lstr node,
    uint64_t boot, uint32_t segment)
{
	struct source *source = find_source(copies, node, boot);

	if (source == NULL)
		return;
	while (source->segments != NULL && source->segments->number <= segment)
		drop_oldest_segment(copies, source);
	if (segment > source->stored)
		source->stored = segment;
}

/*
 * Encodes a copied segment, marked as recovered and signed by this node.
 */
static enum status
encode_recovered_segment(const struct rec_copies *copies,
    const struct source *source, const struct copied_segment *segment,
    struct lstr_buf *content)
{
	const struct rec_chain *chain = &segment->chain;
	Ch__RecordBody body = CH__RECORD_BODY__INIT;
	enum status status;

	status = rec_chain_entries(chain, 0, &body.entries, &body.n_entries);
	if (status != STATUS_OK)
		return status;
	body.node = source->node;
	body.boot = source->boot;
	body.segment = segment->number;
	body.previous_digest.data = (uint8_t *)rec_chain_digest(chain, 0);
	body.previous_digest.len = REC_DIGEST_BYTES;
	body.last_digest.data =
	    (uint8_t *)rec_chain_digest(chain, chain->count);
	body.last_digest.len = REC_DIGEST_BYTES;
	body.recovered = true;
	body.signer = copies->node;
	status = rec_segment_encode(&body, &copies->signer, content);
	rec_entries_free(body.entries, body.n_entries);
	return status;
}

/*
 * Builds the message that stores the next segment of a failed router. The
 * caller frees it with ch__record_store__free_unpacked(). A segment that grew
 * after it was returned is returned again as a whole. Returns STATUS_NOT_FOUND
 * if no segment is left to recover.
 */
enum status
rec_copies_next_recovery(struct rec_copies *copies, struct lstr node,
    uint64_t boot, Ch__RecordStore **out)
{
	struct source *source = find_source(copies, node, boot);
	struct copied_segment *s = source ? source->segments : NULL;
	struct lstr_buf content = {0};
	enum status status;

	while (s != NULL && s->recovery_sent == s->chain.count)
		s = s->next;
	if (s == NULL)
		return status_set(STATUS_NOT_FOUND, "no copy to recover");
	status = encode_recovered_segment(copies, source, s, &content);
	if (status == STATUS_OK)
		status = rec_store_message(source->node, boot, s->number,
		    s->chain.items[s->chain.count - 1].sequence,
		    lstr_buf_view(&content), out);
	if (status == STATUS_OK)
		s->recovery_sent = s->chain.count;
	lstr_buf_free(&content);
	return status;
}

/*
 * Restarts the recovery of a router at its oldest segment that is not stored.
 * Used if an earlier store attempt was lost.
 */
void
rec_copies_restart_recovery(
    struct rec_copies *copies, struct lstr node, uint64_t boot)
{
	struct source *source = find_source(copies, node, boot);

	if (source == NULL)
		return;
	for (struct copied_segment *s = source->segments; s; s = s->next)
		s->recovery_sent = 0;
}

/*
 * Marks the entries of a recovered segment as stored, up to a sequence number.
 * They are kept until the router stores the segment itself or memory is needed:
 * a router that was only disconnected continues the same segment, and its later
 * entries can only be appended after the earlier ones.
 */
void
rec_copies_handle_recovered(struct rec_copies *copies, struct lstr node,
    uint64_t boot, uint32_t segment, uint64_t last_sequence)
{
	struct source *source = find_source(copies, node, boot);
	struct copied_segment *s = source ? source->segments : NULL;

	while (s != NULL && s->number != segment)
		s = s->next;
	if (s == NULL)
		return;
	while (s->stored < s->chain.count &&
	    s->chain.items[s->stored].sequence <= last_sequence)
		s->stored++;
}
