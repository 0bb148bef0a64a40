#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "claim_log.h"

struct slot {
	uint64_t version;
	uint64_t sequence;
	/* Latest expiry of the entries of the batch. */
	int64_t expiry;
	/* Identities in the batch; NULL until a batch is applied. */
	GArray *identities;
	/* The batch as it was read; only used while loading. */
	Ch__ClaimBatch *batch;
};

struct claim_log {
	struct slot *slots;
	uint32_t slot_count;
	uint64_t head;
	int64_t horizon;
	/* Maps identity to struct claim_record. */
	GHashTable *known;
};

/*
 * Returns a hash of an identity. Identities are digests, so their first bytes
 * can be used as they are.
 */
guint
claim_identity_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

/*
 * Returns whether two identities are equal.
 */
gboolean
claim_identity_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, CLAIM_ID_BYTES) == 0;
}

/*
 * Creates an empty log over a ring of slots.
 */
struct claim_log *
claim_log_create(uint32_t slots)
{
	struct claim_log *log = g_new0(struct claim_log, 1);

	assert(slots > 1);
	log->slots = g_new0(struct slot, slots);
	log->slot_count = slots;
	log->known = g_hash_table_new_full(
	    claim_identity_hash, claim_identity_equal, NULL, g_free);
	return log;
}

/*
 * Frees a log; NULL is allowed.
 */
void
claim_log_destroy(struct claim_log *log)
{
	if (log == NULL)
		return;
	for (uint32_t i = 0; i < log->slot_count; i++) {
		if (log->slots[i].identities != NULL)
			g_array_free(log->slots[i].identities, TRUE);
		if (log->slots[i].batch != NULL)
			ch__claim_batch__free_unpacked(
			    log->slots[i].batch, NULL);
	}
	g_hash_table_destroy(log->known);
	g_free(log->slots);
	g_free(log);
}

/*
 * Unpacks the value of a slot and validates it. The caller frees the batch.
 * Returns STATUS_INVALID when the batch or one of its entries is malformed.
 */
enum status
claim_log_unpack(struct lstr value, Ch__ClaimBatch **out)
{
	Ch__ClaimBatch *batch = ch__claim_batch__unpack(
	    NULL, value.len, (const uint8_t *)value.data);

	if (batch == NULL)
		return status_set(STATUS_INVALID, "claim batch is malformed");
	for (size_t i = 0; i < batch->n_entries; i++) {
		const Ch__ClaimEntry *entry = batch->entries[i];

		if (entry->identity.len == CLAIM_ID_BYTES &&
		    entry->token.len == CLAIM_ID_BYTES)
			continue;
		ch__claim_batch__free_unpacked(batch, NULL);
		return status_set(STATUS_INVALID, "claim entry is malformed");
	}
	*out = batch;
	return STATUS_OK;
}

/*
 * Stores the value of one slot while loading. It is ignored when it belongs to
 * another slot or is older than the value already present. Returns
 * STATUS_INVALID for an index out of range or a malformed value.
 */
enum status
claim_log_load_slot(
    struct claim_log *log, uint32_t index, uint64_t version, struct lstr value)
{
	struct slot *slot;
	Ch__ClaimBatch *batch = NULL;
	enum status status;

	if (index >= log->slot_count)
		return status_set(STATUS_INVALID, "slot %u", index);
	slot = &log->slots[index];
	status = claim_log_unpack(value, &batch);
	if (status != STATUS_OK || batch == NULL)
		return status;
	if (batch->sequence % log->slot_count != index ||
	    (slot->batch != NULL && slot->batch->sequence > batch->sequence)) {
		ch__claim_batch__free_unpacked(batch, NULL);
		return STATUS_OK;
	}
	if (slot->batch != NULL)
		ch__claim_batch__free_unpacked(slot->batch, NULL);
	slot->batch = batch;
	slot->version = version;
	if (batch->sequence > log->head)
		log->head = batch->sequence;
	return STATUS_OK;
}

/*
 * Finds a slot whose batch is missing or outdated, which happens because the
 * slots are read at different times. Returns false when the sequence numbers
 * are contiguous.
 */
bool
claim_log_find_gap(const struct claim_log *log, uint32_t *out)
{
	uint64_t first =
	    log->head > log->slot_count ? log->head - log->slot_count + 1 : 1;

	for (uint64_t n = first; n <= log->head; n++) {
		const struct slot *slot = &log->slots[n % log->slot_count];

		if (slot->batch != NULL && slot->batch->sequence == n)
			continue;
		*out = (uint32_t)(n % log->slot_count);
		return true;
	}
	return false;
}

/*
 * Applies the loaded batches in order of their sequence numbers.
 */
void
claim_log_replay(struct claim_log *log)
{
	uint64_t head = log->head;
	uint64_t first =
	    head > log->slot_count ? head - log->slot_count + 1 : 1;

	log->head = first - 1;
	for (uint64_t n = first; n <= head; n++) {
		struct slot *slot = &log->slots[n % log->slot_count];
		Ch__ClaimBatch *batch = slot->batch;

		assert(batch != NULL);
		slot->batch = NULL;
		claim_log_apply(log, batch, slot->version);
		ch__claim_batch__free_unpacked(batch, NULL);
	}
}

/*
 * Returns the sequence number of the last batch; 0 when there is none.
 */
uint64_t
claim_log_head(const struct claim_log *log)
{
	return log->head;
}

/*
 * Returns the latest expiry of all batches that were overwritten. A claim that
 * expires no later may have been in one of them and cannot be granted.
 */
int64_t
claim_log_horizon(const struct claim_log *log)
{
	return log->horizon;
}

/*
 * Returns the index of the slot for the next batch.
 */
uint32_t
claim_log_next_slot(const struct claim_log *log)
{
	return (uint32_t)((log->head + 1) % log->slot_count);
}

/*
 * Returns the version of a slot in the key-value service; 0 when empty.
 */
uint64_t
claim_log_slot_version(const struct claim_log *log, uint32_t index)
{
	return log->slots[index].version;
}

/*
 * Returns when a slot may be overwritten; 0 when it is empty.
 */
int64_t
claim_log_slot_expiry(const struct claim_log *log, uint32_t index)
{
	return log->slots[index].expiry;
}

/*
 * Returns the number of slots with unexpired claims.
 */
uint32_t
claim_log_slots_in_use(const struct claim_log *log, int64_t now)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < log->slot_count; i++)
		count += log->slots[i].expiry > now;
	return count;
}

/*
 * Returns the number of identities in the log.
 */
uint32_t
claim_log_record_count(const struct claim_log *log)
{
	return g_hash_table_size(log->known);
}

/*
 * Returns the record of an identity, or NULL when it is not in the log.
 */
const struct claim_record *
claim_log_find(
    const struct claim_log *log, const uint8_t identity[CLAIM_ID_BYTES])
{
	return g_hash_table_lookup(log->known, identity);
}

/*
 * Removes the records that no batch after the overwritten one has changed.
 * They cannot be granted again, because they expire no later than the horizon.
 */
static void
evict_slot_records(struct claim_log *log, struct slot *slot)
{
	if (slot->identities == NULL)
		return;
	for (guint i = 0; i < slot->identities->len; i++) {
		const uint8_t *identity =
		    (const uint8_t *)slot->identities->data +
		    (size_t)i * CLAIM_ID_BYTES;
		const struct claim_record *known =
		    g_hash_table_lookup(log->known, identity);

		if (known != NULL && known->sequence == slot->sequence)
			g_hash_table_remove(log->known, identity);
	}
	g_array_set_size(slot->identities, 0);
}

/*
 * Applies one entry. A report from a token that does not hold the claim is
 * ignored, with one exception: NOT_RUN is recorded unless another token's
 * claim is in force, so that a request with the same token that arrives later
 * is not granted.
 */
static void
apply_entry(
    struct claim_log *log, const Ch__ClaimEntry *entry, uint64_t sequence)
{
	struct claim_record *known =
	    g_hash_table_lookup(log->known, entry->identity.data);
	bool holder = known != NULL &&
	    memcmp(known->token, entry->token.data, CLAIM_ID_BYTES) == 0;

	if (entry->state == CH__CLAIM_STATE__CLAIM_STATE_RAN && !holder)
		return;
	if (entry->state == CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN &&
	    known != NULL && !holder &&
	    known->state != CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN)
		return;
	if (known == NULL) {
		known = g_new0(struct claim_record, 1);
		memcpy(known->identity, entry->identity.data, CLAIM_ID_BYTES);
		g_hash_table_insert(log->known, known->identity, known);
	}
	memcpy(known->token, entry->token.data, CLAIM_ID_BYTES);
	if (entry->state == CH__CLAIM_STATE__CLAIM_STATE_CLAIMED)
		known->fence = sequence;
	known->state = entry->state;
	known->status = entry->status;
	known->expiry = MAX(known->expiry, entry->expiry);
	known->sequence = sequence;
}

/*
 * Applies the batch that follows the head. version is the version of its slot
 * in the key-value service.
 */
void
claim_log_apply(
    struct claim_log *log, const Ch__ClaimBatch *batch, uint64_t version)
{
	struct slot *slot = &log->slots[batch->sequence % log->slot_count];

	assert(batch->sequence == log->head + 1);
	evict_slot_records(log, slot);
	if (slot->identities == NULL)
		slot->identities = g_array_new(FALSE, FALSE, CLAIM_ID_BYTES);
	slot->version = version;
	slot->sequence = batch->sequence;
	slot->expiry = 0;
	for (size_t i = 0; i < batch->n_entries; i++) {
		const Ch__ClaimEntry *entry = batch->entries[i];

		apply_entry(log, entry, batch->sequence);
		slot->expiry = MAX(slot->expiry, entry->expiry);
		g_array_append_vals(slot->identities, entry->identity.data, 1);
	}
	log->head = batch->sequence;
	log->horizon = MAX(log->horizon, batch->horizon);
}
