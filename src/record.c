#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "metric.h"
#include "record_chain.h"

#define WAITING_MIN 16

/* A closed segment that waits to be stored, or the marker replacing it. */
struct waiting_segment {
	uint32_t number;
	bool marker;
	uint64_t first_sequence;
	uint64_t last_sequence;
	uint8_t start[REC_DIGEST_BYTES];
	uint8_t end[REC_DIGEST_BYTES];
	char *content;
	size_t len;
};

struct rec {
	char *node;
	uint64_t boot;
	struct rec_signer signer;
	/* The open segment. */
	uint32_t segment;
	struct rec_chain open;
	int64_t close_at;
	uint64_t last_sequence;
	/* Next entry to copy to the peer: segment and index within it. */
	uint32_t copy_segment;
	size_t copy_index;
	/* Entries up to this one survive the loss of this process. */
	uint64_t replicated_sequence;
	/*
	 * Closed segments in order of number; waiting[store_next] is sent next.
	 */
	struct waiting_segment *waiting;
	size_t waiting_count;
	size_t waiting_size;
	size_t waiting_bytes;
	size_t store_next;
};

static struct metric segments_dropped = {
    "chestnuthoist_record_segments_dropped_total", "",
    "Record segments replaced by a gap marker because the store was full",
    METRIC_COUNTER, 0, NULL};
static struct metric markers_dropped = {
    "chestnuthoist_record_markers_dropped_total", "",
    "Gap markers dropped because the store held nothing else", METRIC_COUNTER,
    0, NULL};
static struct metric entries_unreplicated = {
    "chestnuthoist_record_entries_unreplicated_total", "",
    "Record entries released without an acknowledged copy", METRIC_COUNTER, 0,
    NULL};

/*
 * Registers the metrics of the record of this process.
 */
void
rec_register_metrics(void)
{
	metric_register(&segments_dropped);
	metric_register(&markers_dropped);
	metric_register(&entries_unreplicated);
}

/*
 * Creates an empty record for one boot of a node and generates its key pair.
 */
enum status
rec_create(const char *node, uint64_t boot, struct rec **out)
{
	struct rec *rec = calloc(1, sizeof(*rec));
	uint8_t first[REC_DIGEST_BYTES];
	enum status status;

	if (rec == NULL)
		return status_set(STATUS_NO_MEMORY, "record");
	status = rec_signer_create(&rec->signer);
	rec->node = strdup(node);
	if (status == STATUS_OK && rec->node == NULL)
		status = status_set(STATUS_NO_MEMORY, "record");
	if (status != STATUS_OK) {
		rec_destroy(rec);
		return status;
	}
	rec->boot = boot;
	rec->segment = 1;
	rec->copy_segment = 1;
	rec_digest_first(node, boot, first);
	rec_chain_init(&rec->open, first);
	*out = rec;
	return STATUS_OK;
}

/*
 * Frees a record and erases its key. NULL is allowed.
 */
void
rec_destroy(struct rec *rec)
{
	if (rec == NULL)
		return;
	for (size_t i = 0; i < rec->waiting_count; i++)
		free(rec->waiting[i].content);
	free(rec->waiting);
	rec_chain_free(&rec->open);
	sodium_memzero(&rec->signer, sizeof(rec->signer));
	free(rec->node);
	free(rec);
}

/*
 * Returns the public key (REC_PUBLIC_KEY_BYTES), valid as long as the record.
 */
const uint8_t *
rec_public_key(const struct rec *rec)
{
	return rec->signer.public_key;
}

/*
 * Numbers an entry and appends it to the open segment, which is closed first
 * if the entry would make it larger than REC_SEGMENT_MAX_BYTES.
 */
static enum status
append_entry(struct rec *rec, Ch__RecordEntry *entry, int64_t now)
{
	enum status status = STATUS_OK;
	size_t len;

	entry->sequence = rec->last_sequence + 1;
	len = ch__record_entry__get_packed_size(entry);
	if (rec->open.bytes.len + len > REC_SEGMENT_MAX_BYTES)
		status = rec_close_segment(rec, now);
	if (status == STATUS_OK)
		status = rec_chain_add(&rec->open, entry);
	if (status != STATUS_OK)
		return status;
	rec->last_sequence = entry->sequence;
	if (rec->open.count == 1)
		rec->close_at = now + REC_SEGMENT_MAX_USEC;
	return STATUS_OK;
}

/*
 * Appends the entry of one served request and stores its sequence number in
 * *sequence. Returns STATUS_INVALID if a text is longer than
 * REC_TEXT_MAX_BYTES, or STATUS_NO_MEMORY; on error nothing is appended.
 */
enum status
rec_append(struct rec *rec, const struct rec_event *event, uint64_t *sequence)
{
	Ch__RecordEntry entry = CH__RECORD_ENTRY__INIT;
	char organisation[REC_TEXT_MAX_BYTES + 1] = "";
	char replica[REC_TEXT_MAX_BYTES + 1] = "";
	enum status status;

	if (event->organisation.len > REC_TEXT_MAX_BYTES ||
	    event->replica.len > REC_TEXT_MAX_BYTES ||
	    event->request.len > REC_TEXT_MAX_BYTES)
		return status_set(STATUS_INVALID, "record text is too long");
	memcpy(organisation, event->organisation.data, event->organisation.len);
	memcpy(replica, event->replica.data, event->replica.len);
	entry.organisation = organisation;
	entry.replica = replica;
	entry.request_id.data = (uint8_t *)event->request.data;
	entry.request_id.len = event->request.len;
	entry.arrival = event->arrival;
	entry.start = event->start;
	entry.priority = event->priority;
	entry.revision = event->revision;
	entry.reason = event->reason;
	entry.attempt = event->attempt;
	status = append_entry(rec, &entry, event->start);
	if (status == STATUS_OK)
		*sequence = entry.sequence;
	return status;
}

/*
 * Appends a gap marker, which states how many entries were released without
 * an acknowledged copy. now is in microseconds since the epoch.
 */
enum status
rec_append_gap_marker(struct rec *rec, uint32_t missing, int64_t now)
{
	Ch__RecordEntry entry = CH__RECORD_ENTRY__INIT;

	assert(missing > 0);
	entry.start = now;
	entry.reason = CH__RECORD_REASON__RECORD_REASON_GAP;
	entry.missing = missing;
	entries_unreplicated.value += missing;
	return append_entry(rec, &entry, now);
}

/*
 * Appends the closing entry of an orderly shutdown: a gap marker for zero
 * entries. A record without it may be missing entries at the end. The caller
 * closes the segment. now is in microseconds since the epoch.
 */
enum status
rec_append_closing_entry(struct rec *rec, int64_t now)
{
	Ch__RecordEntry entry = CH__RECORD_ENTRY__INIT;

	entry.start = now;
	entry.reason = CH__RECORD_REASON__RECORD_REASON_GAP;
	return append_entry(rec, &entry, now);
}

/*
 * Returns the index of the first waiting segment whose number is at least the
 * given one, or waiting_count if there is none.
 */
static size_t
find_waiting(const struct rec *rec, uint32_t number)
{
	size_t i = 0;

	while (i < rec->waiting_count && rec->waiting[i].number < number)
		i++;
	return i;
}

/*
 * Counts the entries, in the open segment and in the waiting closed ones, that
 * have not been put into a copy message yet.
 */
size_t
rec_unsent_count(const struct rec *rec)
{
	size_t count = rec->open.count;

	if (rec->copy_segment == rec->segment)
		return count - rec->copy_index;
	for (size_t i = find_waiting(rec, rec->copy_segment);
	     i < rec->waiting_count && rec->copy_segment < rec->segment; i++)
		if (!rec->waiting[i].marker)
			count += rec->waiting[i].last_sequence -
			    rec->waiting[i].first_sequence + 1;
	return count;
}

/*
 * Builds the copy message of a waiting closed segment. It carries the whole
 * segment; the peer skips the entries that it already has.
 */
static enum status
copy_waiting_segment(
    struct rec *rec, const struct waiting_segment *w, Ch__RecordAppend **out)
{
	Ch__RecordBody *body;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	enum status status =
	    rec_segment_decode(lstr_make(w->content, w->len), &body, key);

	if (status != STATUS_OK)
		return status;
	status = rec_copy_message(rec->node, rec->boot, w->number, w->start,
	    body->entries, body->n_entries, out);
	if (status == STATUS_OK) {
		body->entries = NULL;
		body->n_entries = 0;
		rec->copy_segment = w->number + 1;
		rec->copy_index = 0;
	}
	ch__record_body__free_unpacked(body, NULL);
	return status;
}

/*
 * Builds a copy message with the entries of the open segment that were not
 * sent yet.
 */
static enum status
copy_open_segment(struct rec *rec, Ch__RecordAppend **out)
{
	Ch__RecordEntry **entries;
	size_t count;
	enum status status;

	if (rec->copy_segment < rec->segment) {
		rec->copy_segment = rec->segment;
		rec->copy_index = 0;
	}
	if (rec->copy_index == rec->open.count)
		return status_set(STATUS_NOT_FOUND, "nothing to copy");
	status =
	    rec_chain_entries(&rec->open, rec->copy_index, &entries, &count);
	if (status != STATUS_OK)
		return status;
	status = rec_copy_message(rec->node, rec->boot, rec->segment,
	    rec_chain_digest(&rec->open, rec->copy_index), entries, count, out);
	if (status != STATUS_OK)
		rec_entries_free(entries, count);
	else
		rec->copy_index = rec->open.count;
	return status;
}

/*
 * Builds the message that copies the next entries to the peer; each message
 * covers one segment. The caller frees it with
 * ch__record_append__free_unpacked(). Returns STATUS_NOT_FOUND if no entries
 * are left to send.
 */
enum status
rec_next_copy(struct rec *rec, Ch__RecordAppend **out)
{
	size_t i = find_waiting(rec, rec->copy_segment);

	/* A marker has no entries that a peer could recover. */
	while (i < rec->waiting_count && rec->waiting[i].marker)
		i++;
	if (i < rec->waiting_count)
		return copy_waiting_segment(rec, &rec->waiting[i], out);
	return copy_open_segment(rec, out);
}

/*
 * Restarts copying at the oldest segment that is not stored. Used after the
 * connection or the peer has changed.
 */
void
rec_restart_copy(struct rec *rec)
{
	rec->copy_segment = 1;
	rec->copy_index = 0;
}

/*
 * Handles the peer's acknowledgement of all entries up to and including the
 * given sequence number.
 */
void
rec_handle_ack(struct rec *rec, uint64_t sequence)
{
	if (sequence > rec->replicated_sequence &&
	    sequence <= rec->last_sequence)
		rec->replicated_sequence = sequence;
}

/*
 * Returns whether the entry would survive the loss of this process, because
 * the peer or the key-value service holds it.
 */
bool
rec_is_replicated(const struct rec *rec, uint64_t sequence)
{
	return sequence <= rec->replicated_sequence;
}

/*
 * Returns whether the open segment is old or large enough to be closed. now is
 * in microseconds since the epoch.
 */
bool
rec_segment_due(const struct rec *rec, int64_t now)
{
	return rec->open.count > 0 &&
	    (now >= rec->close_at ||
		rec->open.bytes.len >= REC_SEGMENT_MAX_BYTES);
}

/*
 * Encodes and signs entries as a segment and stores its content in w.
 */
static enum status
encode_waiting_segment(const struct rec *rec, struct waiting_segment *w,
    Ch__RecordEntry **entries, size_t count)
{
	Ch__RecordBody body = CH__RECORD_BODY__INIT;
	struct lstr_buf content = {0};
	enum status status;

	body.node = rec->node;
	body.signer = rec->node;
	body.boot = rec->boot;
	body.segment = w->number;
	body.previous_digest.data = w->start;
	body.previous_digest.len = REC_DIGEST_BYTES;
	body.last_digest.data = w->end;
	body.last_digest.len = REC_DIGEST_BYTES;
	body.entries = entries;
	body.n_entries = count;
	status = rec_segment_encode(&body, &rec->signer, &content);
	if (status != STATUS_OK) {
		lstr_buf_free(&content);
		return status;
	}
	w->content = content.data;
	w->len = content.len;
	return STATUS_OK;
}

/*
 * Replaces a waiting segment with a gap marker of the same number and the same
 * digests, so that the digest chain stays valid.
 */
static enum status
replace_with_marker(struct rec *rec, struct waiting_segment *w, int64_t now)
{
	Ch__RecordEntry entry = CH__RECORD_ENTRY__INIT;
	Ch__RecordEntry *entries[] = {&entry};
	struct waiting_segment marker = *w;
	enum status status;

	entry.sequence = w->first_sequence;
	entry.start = now;
	entry.reason = CH__RECORD_REASON__RECORD_REASON_GAP;
	entry.missing = (uint32_t)(w->last_sequence - w->first_sequence + 1);
	marker.content = NULL;
	status = encode_waiting_segment(rec, &marker, entries, 1);
	if (status != STATUS_OK)
		return status;
	rec->waiting_bytes = rec->waiting_bytes - w->len + marker.len;
	free(w->content);
	w->content = marker.content;
	w->len = marker.len;
	w->marker = true;
	segments_dropped.value++;
	return STATUS_OK;
}

/*
 * Removes a waiting segment.
 */
static void
remove_waiting(struct rec *rec, size_t index)
{
	rec->waiting_bytes -= rec->waiting[index].len;
	free(rec->waiting[index].content);
	rec->waiting_count--;
	memmove(&rec->waiting[index], &rec->waiting[index + 1],
	    (rec->waiting_count - index) * sizeof(rec->waiting[0]));
	if (rec->store_next > index)
		rec->store_next--;
}

/*
 * Reduces the waiting segments to REC_WAITING_MAX_BYTES by replacing them with
 * markers, oldest first. If only markers are left, the oldest ones are removed
 * and verification will report a missing segment. The newest segment is kept.
 */
static enum status
enforce_waiting_limit(struct rec *rec, int64_t now)
{
	size_t i = 0;
	enum status status;

	while (rec->waiting_bytes > REC_WAITING_MAX_BYTES &&
	    i + 1 < rec->waiting_count) {
		if (!rec->waiting[i].marker) {
			status =
			    replace_with_marker(rec, &rec->waiting[i], now);
			if (status != STATUS_OK)
				return status;
		}
		i++;
	}
	while (rec->waiting_bytes > REC_WAITING_MAX_BYTES &&
	    rec->waiting_count > 1) {
		remove_waiting(rec, 0);
		markers_dropped.value++;
	}
	return STATUS_OK;
}

/*
 * Grows the array of waiting segments to hold at least one more.
 */
static enum status
reserve_waiting(struct rec *rec)
{
	size_t size = rec->waiting_size ? 2 * rec->waiting_size : WAITING_MIN;
	struct waiting_segment *waiting;

	if (rec->waiting_count < rec->waiting_size)
		return STATUS_OK;
	waiting = realloc(rec->waiting, size * sizeof(*waiting));
	if (waiting == NULL)
		return status_set(STATUS_NO_MEMORY, "record segments");
	rec->waiting = waiting;
	rec->waiting_size = size;
	return STATUS_OK;
}

/*
 * Encodes and signs the open segment and stores the result in w.
 */
static enum status
encode_open_segment(struct rec *rec, struct waiting_segment *w)
{
	Ch__RecordEntry **entries;
	size_t count;
	enum status status = rec_chain_entries(&rec->open, 0, &entries, &count);

	if (status != STATUS_OK)
		return status;
	w->number = rec->segment;
	w->first_sequence = entries[0]->sequence;
	w->last_sequence = entries[count - 1]->sequence;
	memcpy(w->start, rec->open.start, REC_DIGEST_BYTES);
	memcpy(w->end, rec_chain_digest(&rec->open, count), REC_DIGEST_BYTES);
	status = encode_waiting_segment(rec, w, entries, count);
	rec_entries_free(entries, count);
	return status;
}

/*
 * Closes the open segment: signs it, adds it to the segments that wait to be
 * stored and opens the next one. If the segment is empty, it stays open and
 * STATUS_NOT_FOUND is returned. now is in microseconds since the epoch.
 */
enum status
rec_close_segment(struct rec *rec, int64_t now)
{
	struct waiting_segment w = {0};
	enum status status;

	if (rec->open.count == 0)
		return status_set(STATUS_NOT_FOUND, "the segment is empty");
	status = reserve_waiting(rec);
	if (status == STATUS_OK)
		status = encode_open_segment(rec, &w);
	if (status != STATUS_OK)
		return status;
	rec->waiting[rec->waiting_count++] = w;
	rec->waiting_bytes += w.len;
	/* If all entries were sent, the segment need not be sent again. */
	if (rec->copy_segment == rec->segment &&
	    rec->copy_index == rec->open.count) {
		rec->copy_segment = rec->segment + 1;
		rec->copy_index = 0;
	}
	rec->segment++;
	rec_chain_init(&rec->open, w.end);
	return enforce_waiting_limit(rec, now);
}

/*
 * Builds the message that stores the next closed segment. The caller frees it
 * with ch__record_store__free_unpacked(); the segment is kept until
 * rec_handle_stored() is called for it. Returns STATUS_NOT_FOUND if no segment
 * is left to send.
 */
enum status
rec_next_store(struct rec *rec, Ch__RecordStore **out)
{
	const struct waiting_segment *w;
	enum status status;

	if (rec->store_next == rec->waiting_count)
		return status_set(STATUS_NOT_FOUND, "no segment to store");
	w = &rec->waiting[rec->store_next];
	status = rec_store_message(rec->node, rec->boot, w->number,
	    w->last_sequence, lstr_make(w->content, w->len), out);
	if (status == STATUS_OK)
		rec->store_next++;
	return status;
}

/*
 * Restarts storing at the oldest waiting segment. Used after the connection to
 * the local syncd has been replaced.
 */
void
rec_restart_store(struct rec *rec)
{
	rec->store_next = 0;
}

/*
 * Removes a segment that the key-value service holds. All entries before the
 * oldest one that is not stored then count as replicated.
 */
void
rec_handle_stored(struct rec *rec, uint32_t segment)
{
	size_t i = find_waiting(rec, segment);
	uint64_t next = rec->last_sequence + 1;

	if (i == rec->waiting_count || rec->waiting[i].number != segment)
		return;
	remove_waiting(rec, i);
	if (rec->waiting_count > 0)
		next = rec->waiting[0].first_sequence;
	else if (rec->open.count > 0)
		next = rec->open.items[0].sequence;
	if (next - 1 > rec->replicated_sequence)
		rec->replicated_sequence = next - 1;
}

/*
 * Returns the total size of the waiting closed segments in bytes.
 */
size_t
rec_waiting_bytes(const struct rec *rec)
{
	return rec->waiting_bytes;
}
