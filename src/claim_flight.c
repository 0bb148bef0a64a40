#include <assert.h>
#include <string.h>

#include "claim_flight.h"

/*
 * Adds an entry to the batch in flight.
 */
static void
add_entry(Ch__ClaimBatch *batch, const uint8_t *identity, const uint8_t *token,
    int64_t expiry, Ch__ClaimState state, uint32_t status)
{
	Ch__ClaimEntry *entry = g_new(Ch__ClaimEntry, 1);

	ch__claim_entry__init(entry);
	entry->identity.data = g_memdup2(identity, CLAIM_ID_BYTES);
	entry->identity.len = CLAIM_ID_BYTES;
	entry->token.data = g_memdup2(token, CLAIM_ID_BYTES);
	entry->token.len = CLAIM_ID_BYTES;
	entry->expiry = expiry;
	entry->state = state;
	entry->status = status;
	batch->entries[batch->n_entries++] = entry;
}

/*
 * Tells whether the log holds a claim of an identity that was not given up. A
 * request for it waits for a report and must not enter a batch.
 */
static bool
is_held(const struct claim_log *log, const uint8_t *identity)
{
	const struct claim_known *known =
	    log ? claim_log_find(log, identity) : NULL;

	return known != NULL &&
	    known->state != CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN;
}

/*
 * Moves links of a queue into the flight. An identity enters a batch once;
 * what else waits for it is decided after the batch. With a log, identities
 * that it holds stay behind.
 */
static void
take_links(GQueue *from, GQueue *to, size_t identity_offset, GHashTable *seen,
    const struct claim_log *log)
{
	GList *l = from->head;

	while (l != NULL && g_hash_table_size(seen) < CLAIM_BATCH_MAX) {
		GList *next = l->next;
		uint8_t *identity = (uint8_t *)l->data + identity_offset;

		if (!is_held(log, identity) &&
		    g_hash_table_add(seen, identity)) {
			g_queue_unlink(from, l);
			g_queue_push_tail_link(to, l);
		}
		l = next;
	}
}

/*
 * Writes the entries of the batch in flight.
 */
static void
write_entries(struct claim_flight *flight)
{
	Ch__ClaimBatch *batch = flight->batch;

	batch->entries = g_new(
	    Ch__ClaimEntry *, flight->reports.length + flight->requests.length);
	for (GList *l = flight->reports.head; l != NULL; l = l->next) {
		const struct claim_report *report =
		    &((struct claim_waiting_report *)l->data)->report;

		add_entry(batch, report->identity, report->token,
		    report->expiry, report->state, report->status);
	}
	for (GList *l = flight->requests.head; l != NULL; l = l->next) {
		const struct claim_request *request =
		    &((struct claim_waiting_request *)l->data)->request;

		add_entry(batch, request->identity, request->token,
		    request->expiry, CH__CLAIM_STATE__CLAIM_STATE_CLAIMED, 0);
	}
}

/*
 * Makes the batch that follows the head of the log, of the reports and
 * requests that wait, as many as fit.
 */
void
claim_flight_build(struct claim_flight *flight, const struct claim_log *log,
    const uint64_t id[2], GQueue *reports, GQueue *requests)
{
	GHashTable *seen =
	    g_hash_table_new(claim_identity_hash, claim_identity_equal);
	Ch__ClaimBatch *batch = g_new(Ch__ClaimBatch, 1);

	ch__claim_batch__init(batch);
	flight->slot = claim_log_next_slot(log);
	flight->version = claim_log_slot_version(log, flight->slot);
	flight->batch = batch;
	flight->ambiguous = false;
	batch->sequence = claim_log_head(log) + 1;
	batch->batch_id.data = g_memdup2(id, 2 * sizeof(*id));
	batch->batch_id.len = 2 * sizeof(*id);
	batch->horizon = MAX(
	    claim_log_horizon(log), claim_log_slot_expiry(log, flight->slot));
	take_links(reports, &flight->reports,
	    offsetof(struct claim_waiting_report, report.identity), seen, NULL);
	take_links(requests, &flight->requests,
	    offsetof(struct claim_waiting_request, request.identity), seen,
	    log);
	write_entries(flight);
	flight->packed_len = ch__claim_batch__get_packed_size(batch);
	flight->packed = g_malloc(flight->packed_len);
	ch__claim_batch__pack(batch, flight->packed);
	g_hash_table_destroy(seen);
}

/*
 * Frees the batch in flight; its requests and reports must be gone.
 */
void
claim_flight_clear(struct claim_flight *flight)
{
	assert(flight->requests.length == 0 && flight->reports.length == 0);
	if (flight->batch != NULL)
		ch__claim_batch__free_unpacked(flight->batch, NULL);
	g_free(flight->packed);
	flight->batch = NULL;
	flight->packed = NULL;
}
