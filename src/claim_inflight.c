#include <assert.h>
#include <string.h>

#include "claim_inflight.h"

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
 * Returns whether an identity has a claim in the log that was not released
 * with NOT_RUN. A request for such an identity waits for a report and must not
 * be added to a batch.
 */
static bool
is_claimed(const struct claim_log *log, const uint8_t *identity)
{
	const struct claim_record *known =
	    log ? claim_log_find(log, identity) : NULL;

	return known != NULL &&
	    known->state != CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN;
}

/*
 * Moves items from a queue to the batch. A batch contains each identity at
 * most once; further items for the same identity wait until the batch is
 * complete. When a log is given, items whose identity is claimed in it are
 * skipped.
 */
static void
move_to_batch(GQueue *from, GQueue *to, size_t identity_offset,
    GHashTable *seen, const struct claim_log *log)
{
	GList *l = from->head;

	while (l != NULL && g_hash_table_size(seen) < CLAIM_BATCH_MAX) {
		GList *next = l->next;
		uint8_t *identity = (uint8_t *)l->data + identity_offset;

		if (!is_claimed(log, identity) &&
		    g_hash_table_add(seen, identity)) {
			g_queue_unlink(from, l);
			g_queue_push_tail_link(to, l);
		}
		l = next;
	}
}

/*
 * Fills in the entries of the batch from its reports and requests.
 */
static void
fill_entries(struct claim_inflight *inflight)
{
	Ch__ClaimBatch *batch = inflight->batch;

	batch->entries = g_new(Ch__ClaimEntry *,
	    inflight->reports.length + inflight->requests.length);
	for (GList *l = inflight->reports.head; l != NULL; l = l->next) {
		const struct claim_report *report =
		    &((struct claim_waiting_report *)l->data)->report;

		add_entry(batch, report->identity, report->token,
		    report->expiry, report->state, report->status);
	}
	for (GList *l = inflight->requests.head; l != NULL; l = l->next) {
		const struct claim_request *request =
		    &((struct claim_waiting_request *)l->data)->request;

		add_entry(batch, request->identity, request->token,
		    request->expiry, CH__CLAIM_STATE__CLAIM_STATE_CLAIMED, 0);
	}
}

/*
 * Builds the batch that follows the head of the log from the waiting reports
 * and requests, up to CLAIM_BATCH_MAX entries, and serializes it. id is the
 * owner and the batch number.
 */
void
claim_inflight_build(struct claim_inflight *inflight,
    const struct claim_log *log, const uint64_t id[2], GQueue *reports,
    GQueue *requests)
{
	GHashTable *seen =
	    g_hash_table_new(claim_identity_hash, claim_identity_equal);
	Ch__ClaimBatch *batch = g_new(Ch__ClaimBatch, 1);

	ch__claim_batch__init(batch);
	inflight->slot = claim_log_next_slot(log);
	inflight->version = claim_log_slot_version(log, inflight->slot);
	inflight->batch = batch;
	inflight->ambiguous = false;
	batch->sequence = claim_log_head(log) + 1;
	batch->batch_id.data = g_memdup2(id, 2 * sizeof(*id));
	batch->batch_id.len = 2 * sizeof(*id);
	batch->horizon = MAX(
	    claim_log_horizon(log), claim_log_slot_expiry(log, inflight->slot));
	move_to_batch(reports, &inflight->reports,
	    offsetof(struct claim_waiting_report, report.identity), seen, NULL);
	move_to_batch(requests, &inflight->requests,
	    offsetof(struct claim_waiting_request, request.identity), seen,
	    log);
	fill_entries(inflight);
	inflight->packed_len = ch__claim_batch__get_packed_size(batch);
	inflight->packed = g_malloc(inflight->packed_len);
	ch__claim_batch__pack(batch, inflight->packed);
	g_hash_table_destroy(seen);
}

/*
 * Frees the batch in flight. Its queues of requests and reports must be empty.
 */
void
claim_inflight_clear(struct claim_inflight *inflight)
{
	assert(inflight->requests.length == 0 && inflight->reports.length == 0);
	if (inflight->batch != NULL)
		ch__claim_batch__free_unpacked(inflight->batch, NULL);
	g_free(inflight->packed);
	inflight->batch = NULL;
	inflight->packed = NULL;
}
