#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "record_chain.h"

/* Maximum length of a node name; see PROC_SETTINGS. */
#define NODE_MAX_BYTES 63
/*
 * Maximum number of stored versions of one segment. A segment is open for 30 s,
 * and a router is presumed dead at most once every few seconds.
 */
#define COPIES_MAX 32

/* The state of a verification. */
struct verifier {
	const uint8_t *public_key;
	rec_key_fn is_known_key;
	rec_entry_fn entry;
	void *arg;
	struct rec_verify_report *report;
	/* Node and boot of the first segment; empty until it is read. */
	char node[NODE_MAX_BYTES + 1];
	uint64_t boot;
	/* Key of the first segment, used if the caller gave none. */
	uint8_t first_key[REC_PUBLIC_KEY_BYTES];
	/* Segment, entry and digest at the end of the verified chain. */
	uint32_t segment;
	uint64_t sequence;
	uint8_t digest[REC_DIGEST_BYTES];
};

/*
 * A segment as decoded by rec_segment_decode(). body is NULL unless status is
 * OK.
 */
struct decoded_segment {
	Ch__RecordBody *body;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	enum status status;
};

/* The stored segments that have the same number. */
struct group {
	struct decoded_segment items[COPIES_MAX];
	size_t count;
};

/*
 * Records the problem that ends the verification and returns STATUS_INVALID.
 */
static enum status problem(struct verifier *v, uint32_t segment,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

static enum status
problem(struct verifier *v, uint32_t segment, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(v->report->problem, sizeof(v->report->problem), format, args);
	va_end(args);
	v->report->problem_segment = segment;
	return status_set(STATUS_INVALID, "%s", v->report->problem);
}

/*
 * Checks that the key of a segment may sign it.
 */
static enum status
check_key(struct verifier *v, const Ch__RecordBody *body, const uint8_t *key)
{
	if (body->recovered) {
		if (v->is_known_key == NULL ||
		    !v->is_known_key(lstr_from(body->signer), key, v->arg))
			return problem(v, body->segment,
			    "segment %u is recovered and signed with a key "
			    "that is not known for %s",
			    body->segment, body->signer);
		return STATUS_OK;
	}
	if (v->public_key == NULL) {
		memcpy(v->first_key, key, REC_PUBLIC_KEY_BYTES);
		v->public_key = v->first_key;
	}
	if (memcmp(v->public_key, key, REC_PUBLIC_KEY_BYTES) != 0)
		return problem(v, body->segment,
		    "segment %u is signed with another key", body->segment);
	return STATUS_OK;
}

/*
 * Checks that a segment belongs to the record being verified, which the first
 * segment determines.
 */
static enum status
check_origin(struct verifier *v, const Ch__RecordBody *body)
{
	if (v->node[0] == '\0') {
		snprintf(v->node, sizeof(v->node), "%s", body->node);
		v->boot = body->boot;
		rec_digest_first(v->node, v->boot, v->digest);
	}
	if (strcmp(v->node, body->node) != 0 || v->boot != body->boot)
		return problem(v, body->segment,
		    "segment %u is of another node or boot", body->segment);
	if (body->previous_digest.len != REC_DIGEST_BYTES ||
	    body->last_digest.len != REC_DIGEST_BYTES || body->n_entries == 0)
		return problem(
		    v, body->segment, "segment %u is malformed", body->segment);
	return STATUS_OK;
}

/*
 * Checks that a segment is the next one and continues the previous one.
 */
static enum status
check_continuity(struct verifier *v, const Ch__RecordBody *body)
{
	uint32_t expected = v->segment + 1;

	if (body->segment > expected)
		return problem(v, expected,
		    "segment %u is missing: segment %u follows segment %u",
		    expected, body->segment, v->segment);
	if (body->segment < expected)
		return problem(v, body->segment,
		    "segment %u appears again or out of order after segment %u",
		    body->segment, v->segment);
	if (memcmp(body->previous_digest.data, v->digest, REC_DIGEST_BYTES) !=
	    0)
		return problem(v, body->segment,
		    "segment %u does not continue segment %u", body->segment,
		    v->segment);
	return STATUS_OK;
}

/*
 * Computes the chain digest over the entries of a segment. Returns
 * STATUS_NO_MEMORY if memory runs out.
 */
static enum status
digest_entries(
    const Ch__RecordBody *body, const uint8_t *start, uint8_t *digest)
{
	enum status status = STATUS_OK;

	memcpy(digest, start, REC_DIGEST_BYTES);
	for (size_t i = 0; i < body->n_entries && status == STATUS_OK; i++)
		status = rec_digest_next(digest, body->entries[i], digest);
	return status;
}

/*
 * Returns whether a segment is a marker that replaces one dropped because the
 * store was full: its only entry is a gap marker, and its last digest is that
 * of the dropped entries. Only the router itself may sign a marker.
 */
static bool
is_marker(const Ch__RecordBody *body)
{
	return body->n_entries == 1 && !body->recovered &&
	    body->entries[0]->reason == CH__RECORD_REASON__RECORD_REASON_GAP &&
	    body->entries[0]->missing > 0;
}

/*
 * Checks the sequence numbers of the entries of a segment.
 */
static enum status
check_sequence(struct verifier *v, const Ch__RecordBody *body)
{
	for (size_t i = 0; i < body->n_entries; i++) {
		uint64_t expected = v->sequence + 1 + i;

		if (body->entries[i]->sequence != expected)
			return problem(v, body->segment,
			    "segment %u has entry %llu where entry %llu "
			    "belongs",
			    body->segment,
			    (unsigned long long)body->entries[i]->sequence,
			    (unsigned long long)expected);
	}
	return STATUS_OK;
}

/*
 * Counts the entries of a segment and passes them to the caller's callback.
 */
static void
count_entries(struct verifier *v, const Ch__RecordBody *body)
{
	for (size_t i = 0; i < body->n_entries; i++) {
		const Ch__RecordEntry *entry = body->entries[i];

		v->report->closed = false;
		if (entry->reason == CH__RECORD_REASON__RECORD_REASON_GAP) {
			v->report->unreplicated += entry->missing;
			v->report->closed = entry->missing == 0;
		}
		if (v->entry != NULL)
			v->entry(entry, v->arg);
	}
	v->report->entries += body->n_entries;
	v->sequence += body->n_entries;
}

/*
 * Counts the entries that a marker replaces and passes the marker to the
 * caller's callback.
 */
static void
count_marker(struct verifier *v, const Ch__RecordBody *body)
{
	v->report->missing += body->entries[0]->missing;
	v->report->closed = false;
	v->sequence += body->entries[0]->missing;
	if (v->entry != NULL)
		v->entry(body->entries[0], v->arg);
}

/*
 * Checks the entries of a segment against its digests and advances the chain
 * to the end of the segment.
 */
static enum status
check_entries(struct verifier *v, const Ch__RecordBody *body)
{
	uint8_t digest[REC_DIGEST_BYTES];
	enum status status = digest_entries(body, v->digest, digest);
	bool same = status == STATUS_OK &&
	    memcmp(digest, body->last_digest.data, sizeof(digest)) == 0;

	if (status != STATUS_OK)
		return status;
	if (!same && !is_marker(body))
		return problem(v, body->segment,
		    "the entries of segment %u do not match its digest",
		    body->segment);
	status = check_sequence(v, body);
	if (status != STATUS_OK)
		return status;
	memcpy(v->digest, body->last_digest.data, REC_DIGEST_BYTES);
	if (same)
		count_entries(v, body);
	else
		count_marker(v, body);
	v->segment = body->segment;
	v->report->segments++;
	v->report->recovered += body->recovered ? 1 : 0;
	return STATUS_OK;
}

/*
 * Checks the recovered copy of a segment that the router stored as well, which
 * happens if a peer suspected a live router. The entries of the copy must be a
 * prefix of the segment, unless a marker has replaced the segment.
 */
static enum status
check_copy(struct verifier *v, const struct decoded_segment *copy,
    const Ch__RecordBody *body)
{
	uint8_t digest[REC_DIGEST_BYTES];
	enum status status = check_key(v, copy->body, copy->key);
	bool same;

	if (status == STATUS_OK)
		status = check_origin(v, copy->body);
	if (status == STATUS_OK)
		status = digest_entries(copy->body, v->digest, digest);
	if (status != STATUS_OK)
		return status;
	same =
	    memcmp(digest, copy->body->last_digest.data, sizeof(digest)) == 0;
	if (same && !is_marker(body)) {
		Ch__RecordBody prefix = *body;

		same = copy->body->n_entries <= body->n_entries;
		prefix.n_entries = copy->body->n_entries;
		if (same)
			status = digest_entries(&prefix, v->digest, digest);
		same = same && status == STATUS_OK &&
		    memcmp(digest, copy->body->last_digest.data,
			sizeof(digest)) == 0;
	}
	if (status != STATUS_OK)
		return status;
	if (!same)
		return problem(v, body->segment,
		    "the recovered copy of segment %u differs from it",
		    body->segment);
	v->report->recovered++;
	return STATUS_OK;
}

/*
 * Decodes a segment; a failure is stored as the status of the result.
 */
static void
decode_segment(struct lstr content, struct decoded_segment *out)
{
	out->body = NULL;
	out->status = rec_segment_decode(content, &out->body, out->key);
	if (out->status == STATUS_OK && out->body->entries == NULL)
		out->body->n_entries = 0;
}

/*
 * Reports a segment that could not be decoded. Its number cannot be trusted,
 * so the report names the previous segment.
 */
static enum status
report_unreadable(struct verifier *v, enum status status)
{
	if (status == STATUS_NO_MEMORY)
		return status;
	return problem(v, v->segment + 1,
	    "the segment after segment %u was changed: %s", v->segment,
	    status == STATUS_DENIED ? "its signature does not match"
				    : "it cannot be read");
}

/*
 * Returns the segment of a group that the router stored itself, or NULL.
 */
static const struct decoded_segment *
router_segment(const struct group *group)
{
	for (size_t i = 0; i < group->count; i++)
		if (group->items[i].body != NULL &&
		    !group->items[i].body->recovered)
			return &group->items[i];
	return NULL;
}

/*
 * Returns whether a segment belongs to a group. A group consists of the segment
 * that the router stored, if any, and of the copies of the same number that
 * peers recovered.
 */
static bool
belongs_to_group(const struct group *group, const struct decoded_segment *next)
{
	const struct decoded_segment *first = &group->items[0];

	return group->count < COPIES_MAX && first->body != NULL &&
	    next->body != NULL && first->body->segment == next->body->segment &&
	    (next->body->recovered || router_segment(group) == NULL);
}

/*
 * Chooses the segment of a group to verify in full: the router's own if there
 * is one, otherwise the copy with the most entries.
 */
static const struct decoded_segment *
choose_segment(const struct group *group)
{
	const struct decoded_segment *best = router_segment(group);

	if (best != NULL)
		return best;
	best = &group->items[0];
	for (size_t i = 1; i < group->count; i++)
		if (group->items[i].body->n_entries > best->body->n_entries)
			best = &group->items[i];
	return best;
}

/*
 * Checks the segments of a group: one of them in full, and that each of the
 * others is a prefix of it.
 */
static enum status
check_group(struct verifier *v, const struct group *group)
{
	const struct decoded_segment *chosen = choose_segment(group);
	enum status status;

	if (chosen->status != STATUS_OK)
		return report_unreadable(v, chosen->status);
	status = check_key(v, chosen->body, chosen->key);
	if (status == STATUS_OK)
		status = check_origin(v, chosen->body);
	if (status == STATUS_OK)
		status = check_continuity(v, chosen->body);
	for (size_t i = 0; i < group->count && status == STATUS_OK; i++)
		if (&group->items[i] != chosen)
			status = check_copy(v, &group->items[i], chosen->body);
	if (status == STATUS_OK)
		status = check_entries(v, chosen->body);
	return status;
}

/*
 * Frees the segments of a group.
 */
static void
group_clear(struct group *group)
{
	for (size_t i = 0; i < group->count; i++)
		ch__record_body__free_unpacked(group->items[i].body, NULL);
	group->count = 0;
}

/*
 * Checks all segments in order, one group at a time.
 */
static enum status
check_all(struct verifier *v, const struct lstr *segments, size_t count)
{
	struct group group = {.count = 0};
	enum status status = STATUS_OK;

	for (size_t i = 0; i < count && status == STATUS_OK; i++) {
		struct decoded_segment next;

		decode_segment(segments[i], &next);
		if (group.count > 0 && !belongs_to_group(&group, &next)) {
			status = check_group(v, &group);
			group_clear(&group);
		}
		group.items[group.count++] = next;
	}
	if (group.count > 0 && status == STATUS_OK)
		status = check_group(v, &group);
	group_clear(&group);
	return status;
}

/*
 * Verifies the stored segments of one node and boot, ordered by number, and
 * fills in the report. public_key is the key of the router; if it is NULL,
 * the key of the first segment is used, which proves only that the segments
 * belong together. is_known_key decides which keys may sign recovered segments;
 * NULL accepts none. entry, if not NULL, is called for each valid entry.
 * Returns STATUS_INVALID at the first problem, which the report describes.
 */
enum status
rec_verify_recovered(const struct lstr *segments, size_t count,
    const uint8_t *public_key, rec_key_fn is_known_key, rec_entry_fn entry,
    void *arg, struct rec_verify_report *report)
{
	struct verifier v = {0};
	enum status status;

	memset(report, 0, sizeof(*report));
	v.public_key = public_key;
	v.is_known_key = is_known_key;
	v.entry = entry;
	v.arg = arg;
	v.report = report;
	status = check_all(&v, segments, count);
	report->last_sequence = v.sequence;
	memcpy(report->last_digest, v.digest, REC_DIGEST_BYTES);
	return status;
}

/*
 * Like rec_verify_recovered(), but does not accept recovered segments.
 */
enum status
rec_verify(const struct lstr *segments, size_t count, const uint8_t *public_key,
    rec_entry_fn entry, void *arg, struct rec_verify_report *report)
{
	return rec_verify_recovered(
	    segments, count, public_key, NULL, entry, arg, report);
}
