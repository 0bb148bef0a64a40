#include "harness.h"

#include <string.h>

#include "record_chain.h"

#define NODE "node-1"
#define BOOT 7
#define PEER "node-9"
#define SEGMENTS 4
#define SEGMENT_ENTRIES 5
#define START_USEC ((int64_t)1800000000 * LOOP_USEC_PER_SEC)
#define RECORD_MAX_SEGMENTS 16

/* The stored segments of one record, in the order they are verified. */
struct stored {
	struct lstr_buf content[RECORD_MAX_SEGMENTS];
	size_t count;
};

/*
 * Appends an entry that is unique for each n. Returns its sequence number.
 */
static uint64_t
append(struct rec *rec, unsigned int n)
{
	char request[16];
	struct rec_event event = {.organisation = lstr_from("murillo"),
	    .arrival = START_USEC + n * 1000,
	    .start = START_USEC + n * 1000 + 300,
	    .priority = 2,
	    .revision = 11,
	    .reason = CH__RECORD_REASON__RECORD_REASON_SHARE,
	    .replica = lstr_from("heredia-03"),
	    .attempt = 1};
	uint64_t sequence = 0;

	snprintf(request, sizeof(request), "request-%07u", n);
	event.request = lstr_from(request);
	ck_assert_int_eq(rec_append(rec, &event, &sequence), STATUS_OK);
	return sequence;
}

/*
 * Adds the content of a store message to a stored record.
 */
static void
add_content(struct stored *s, const Ch__RecordStore *store)
{
	ck_assert_uint_lt(s->count, RECORD_MAX_SEGMENTS);
	lstr_buf_append(&s->content[s->count++],
	    lstr_make(store->content.data, store->content.len));
}

/*
 * Stores all closed segments of a record, as a syncd would.
 */
static void
store_all(struct rec *rec, struct stored *s)
{
	Ch__RecordStore *store;

	while (rec_next_store(rec, &store) == STATUS_OK) {
		add_content(s, store);
		rec_handle_stored(rec, store->segment);
		ch__record_store__free_unpacked(store, NULL);
	}
}

/*
 * Creates a record of SEGMENTS closed segments of SEGMENT_ENTRIES entries.
 */
static struct rec *
make_record(struct stored *s)
{
	struct rec *rec;

	memset(s, 0, sizeof(*s));
	ck_assert_int_eq(rec_create(NODE, BOOT, &rec), STATUS_OK);
	for (unsigned int i = 0; i < SEGMENTS * SEGMENT_ENTRIES; i++) {
		append(rec, i);
		if (i % SEGMENT_ENTRIES == SEGMENT_ENTRIES - 1)
			ck_assert_int_eq(
			    rec_close_segment(rec, START_USEC), STATUS_OK);
	}
	store_all(rec, s);
	ck_assert_uint_eq(s->count, SEGMENTS);
	return rec;
}

/*
 * Frees a stored record.
 */
static void
stored_free(struct stored *s)
{
	for (size_t i = 0; i < RECORD_MAX_SEGMENTS; i++)
		lstr_buf_free(&s->content[i]);
}

/*
 * Accepts only PEER as signer, with the key passed in arg.
 */
static bool
is_peer_key(struct lstr signer, const uint8_t *key, void *arg)
{
	return lstr_equal_c(signer, PEER) &&
	    memcmp(key, arg, REC_PUBLIC_KEY_BYTES) == 0;
}

/*
 * Verifies a stored record. peer_key is the key of PEER, or NULL to accept no
 * recovered segments.
 */
static enum status
verify(const struct stored *s, const uint8_t *key, const uint8_t *peer_key,
    struct rec_verify_report *report)
{
	struct lstr views[RECORD_MAX_SEGMENTS];

	for (size_t i = 0; i < s->count; i++)
		views[i] = lstr_buf_view(&s->content[i]);
	return rec_verify_recovered(views, s->count, key,
	    peer_key ? is_peer_key : NULL, NULL, (void *)peer_key, report);
}

/*
 * Asserts that verification reports a problem in the given segment, and that
 * its description contains the given text.
 */
static void
expect_problem(const struct stored *s, const uint8_t *key, uint32_t segment,
    const char *text)
{
	struct rec_verify_report report;

	ck_assert_int_eq(verify(s, key, NULL, &report), STATUS_INVALID);
	ck_assert_msg(strstr(report.problem, text) != NULL,
	    "expected \"%s\", found \"%s\"", text, report.problem);
	ck_assert_uint_eq(report.problem_segment, segment);
}

/*
 * Swaps the content of two segments.
 */
static void
swap_content(struct stored *s, size_t a, size_t b)
{
	struct lstr_buf copy = s->content[a];

	s->content[a] = s->content[b];
	s->content[b] = copy;
}

/*
 * Decodes a segment, so that a test can change its body.
 */
static Ch__RecordBody *
decode_body(const struct stored *s, size_t index)
{
	Ch__RecordBody *body;
	uint8_t key[REC_PUBLIC_KEY_BYTES];

	ck_assert_int_eq(
	    rec_segment_decode(lstr_buf_view(&s->content[index]), &body, key),
	    STATUS_OK);
	return body;
}

/*
 * Replaces a segment with a body signed with the given key, and frees the body.
 */
static void
replace_segment(struct stored *s, size_t index, Ch__RecordBody *body,
    const struct rec_signer *signer)
{
	lstr_buf_clear(&s->content[index]);
	ck_assert_int_eq(
	    rec_segment_encode(body, signer, &s->content[index]), STATUS_OK);
	ch__record_body__free_unpacked(body, NULL);
}

/*
 * Signs all segments of a record with a new key, used as the router's key, so
 * that a test can sign modified segments and the digest chain is what detects
 * them.
 */
static void
resign_all(struct stored *s, struct rec_signer *signer)
{
	ck_assert_int_eq(rec_signer_create(signer), STATUS_OK);
	for (size_t i = 0; i < s->count; i++)
		replace_segment(s, i, decode_body(s, i), signer);
}

/*
 * Copies all entries that were not copied yet. Returns the status of the last
 * append.
 */
static enum status
copy_all(struct rec *rec, struct rec_copies *copies)
{
	Ch__RecordAppend *message;
	Ch__RecordAck ack;
	enum status status = STATUS_OK;

	while (rec_next_copy(rec, &message) == STATUS_OK) {
		status = rec_copies_append(copies, message, &ack);
		if (status == STATUS_OK)
			rec_handle_ack(rec, ack.sequence);
		ch__record_append__free_unpacked(message, NULL);
	}
	return status;
}

/*
 * Stores the segments that a peer recovers.
 */
static void
recover_all(struct rec_copies *copies, struct stored *s)
{
	Ch__RecordStore *store;

	while (rec_copies_next_recovery(
		   copies, lstr_from(NODE), BOOT, &store) == STATUS_OK) {
		add_content(s, store);
		ch__record_store__free_unpacked(store, NULL);
	}
}

/* Entry callback that checks that sequence numbers are consecutive. */
static void
count_entry(const Ch__RecordEntry *entry, void *arg)
{
	uint64_t *next = arg;

	ck_assert_uint_eq(entry->sequence, ++*next);
}

/* Guards against an unmodified record that fails verification. */
START_TEST(unmodified_record_verifies)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_verify_report report;
	struct lstr views[SEGMENTS];
	uint64_t last = 0;

	for (size_t i = 0; i < s.count; i++)
		views[i] = lstr_buf_view(&s.content[i]);
	ck_assert_int_eq(rec_verify(views, s.count, rec_public_key(rec),
			     count_entry, &last, &report),
	    STATUS_OK);
	ck_assert_str_eq(report.problem, "");
	ck_assert_uint_eq(report.segments, SEGMENTS);
	ck_assert_uint_eq(report.entries, SEGMENTS * SEGMENT_ENTRIES);
	ck_assert_uint_eq(last, report.entries);
	ck_assert_uint_eq(report.missing, 0);
	ck_assert(!report.closed);
	ck_assert_int_eq(verify(&s, NULL, NULL, &report), STATUS_OK);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/*
 * Flips one bit and asserts that verification reports the right segment.
 */
static void
expect_flip_found(struct stored *s, const uint8_t *key, size_t segment,
    size_t byte, unsigned int bit)
{
	struct rec_verify_report report;
	enum status status;

	s->content[segment].data[byte] ^= (char)(1u << bit);
	status = verify(s, key, NULL, &report);
	s->content[segment].data[byte] ^= (char)(1u << bit);
	ck_assert_msg(status == STATUS_INVALID,
	    "bit %u of byte %zu of segment %zu", bit, byte, segment + 1);
	ck_assert_uint_eq(report.problem_segment, segment + 1);
}

/*
 * Guards against an undetected change of any single stored bit, including the
 * bits that zstd ignores.
 */
START_TEST(changed_bit_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_verify_report report;

	ck_assert_int_eq(
	    verify(&s, rec_public_key(rec), NULL, &report), STATUS_OK);
	for (size_t segment = 0; segment < s.count; segment++)
		for (size_t i = 0; i < s.content[segment].len; i++)
			for (unsigned int bit = 0; bit < 8; bit++)
				expect_flip_found(
				    &s, rec_public_key(rec), segment, i, bit);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against undetected extra bytes in a segment, which protobuf skips. */
START_TEST(added_bytes_are_found)
{
	/* Field 15 with varint 0, which the schema does not define. */
	static const char unknown_field[] = {0x78, 0x00};
	struct stored s;
	struct rec *rec = make_record(&s);
	struct lstr_buf again = {0};

	lstr_buf_append(&again, lstr_buf_view(&s.content[2]));
	lstr_buf_append(
	    &s.content[2], lstr_make(unknown_field, sizeof(unknown_field)));
	expect_problem(&s, rec_public_key(rec), 3, "cannot be read");
	/* All fields repeated: protobuf uses the last occurrence of a field. */
	s.content[2].len -= sizeof(unknown_field);
	lstr_buf_append(&s.content[2], lstr_buf_view(&again));
	expect_problem(&s, rec_public_key(rec), 3, "cannot be read");
	lstr_buf_free(&again);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against an undetected missing entry in a segment signed again. */
START_TEST(dropped_entry_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	Ch__RecordBody *body = decode_body(&s, 1);
	struct rec_signer router;

	resign_all(&s, &router);
	ch__record_entry__free_unpacked(body->entries[2], NULL);
	memmove(&body->entries[2], &body->entries[3],
	    (SEGMENT_ENTRIES - 3) * sizeof(void *));
	body->n_entries--;
	replace_segment(&s, 1, body, &router);
	expect_problem(&s, router.public_key, 2, "do not match its digest");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against undetected reordering of entries within a segment. */
START_TEST(swapped_entries_are_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	Ch__RecordBody *body = decode_body(&s, 2);
	struct rec_signer router;
	Ch__RecordEntry *first = body->entries[0];

	resign_all(&s, &router);
	body->entries[0] = body->entries[1];
	body->entries[1] = first;
	replace_segment(&s, 2, body, &router);
	expect_problem(&s, router.public_key, 3, "do not match its digest");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against an undetected change of an entry under the same digests. */
START_TEST(changed_entry_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	Ch__RecordBody *body = decode_body(&s, 0);
	struct rec_signer router;

	resign_all(&s, &router);
	body->entries[3]->priority = 0;
	replace_segment(&s, 0, body, &router);
	expect_problem(&s, router.public_key, 1, "do not match its digest");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/*
 * Guards against an undetected segment that was rewritten with valid digests.
 * The next segment still continues the original one.
 */
START_TEST(rewritten_segment_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	Ch__RecordBody *body = decode_body(&s, 1);
	struct rec_signer router;
	uint8_t *digest = body->last_digest.data;

	resign_all(&s, &router);
	body->entries[0]->priority = 0;
	memcpy(digest, body->previous_digest.data, REC_DIGEST_BYTES);
	for (size_t i = 0; i < body->n_entries; i++)
		rec_digest_next(digest, body->entries[i], digest);
	replace_segment(&s, 1, body, &router);
	expect_problem(&s, router.public_key, 3, "does not continue segment 2");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/*
 * Guards against undetected gaps in the sequence numbers of correctly chained
 * entries, as a faulty router would write them.
 */
START_TEST(skipped_sequence_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	Ch__RecordBody *body = decode_body(&s, 3);
	struct rec_signer router;
	uint8_t *digest = body->last_digest.data;

	resign_all(&s, &router);
	body->entries[4]->sequence++;
	memcpy(digest, body->previous_digest.data, REC_DIGEST_BYTES);
	for (size_t i = 0; i < body->n_entries; i++)
		rec_digest_next(digest, body->entries[i], digest);
	replace_segment(&s, 3, body, &router);
	expect_problem(
	    &s, router.public_key, 4, "entry 21 where entry 20 belongs");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against an undetected missing segment, first or in the middle. */
START_TEST(dropped_segment_is_found)
{
	for (size_t drop = 0; drop < SEGMENTS - 1; drop++) {
		struct stored s;
		struct rec *rec = make_record(&s);

		for (size_t i = drop; i < SEGMENTS - 1; i++)
			swap_content(&s, i, i + 1);
		s.count--;
		expect_problem(
		    &s, rec_public_key(rec), (uint32_t)drop + 1, "is missing");
		rec_destroy(rec);
		stored_free(&s);
	}
}
END_TEST

/* Guards against reporting a record as closed after its end was cut off. */
START_TEST(truncated_record_is_not_closed)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_verify_report report;

	ck_assert_int_eq(rec_append_closing_entry(rec, START_USEC), STATUS_OK);
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_OK);
	store_all(rec, &s);
	ck_assert_int_eq(
	    verify(&s, rec_public_key(rec), NULL, &report), STATUS_OK);
	ck_assert(report.closed);
	s.count--;
	ck_assert_int_eq(
	    verify(&s, rec_public_key(rec), NULL, &report), STATUS_OK);
	ck_assert(!report.closed);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against undetected reordering of segments. */
START_TEST(swapped_segments_are_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);

	swap_content(&s, 1, 2);
	expect_problem(&s, rec_public_key(rec), 2, "segment 2 is missing");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against accepting a segment signed without the router's key. */
START_TEST(forged_segment_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_signer forger;

	ck_assert_int_eq(rec_signer_create(&forger), STATUS_OK);
	replace_segment(&s, 2, decode_body(&s, 2), &forger);
	expect_problem(
	    &s, rec_public_key(rec), 3, "segment 3 is signed with another key");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/*
 * Guards against accepting a forged segment that contains the router's public
 * key, and a record in which every segment is forged.
 */
START_TEST(forged_public_key_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_signer forger;

	ck_assert_int_eq(rec_signer_create(&forger), STATUS_OK);
	memcpy(forger.public_key, rec_public_key(rec), REC_PUBLIC_KEY_BYTES);
	replace_segment(&s, 2, decode_body(&s, 2), &forger);
	expect_problem(&s, rec_public_key(rec), 3, "signature does not match");
	rec_destroy(rec);
	stored_free(&s);
	rec = make_record(&s);
	resign_all(&s, &forger);
	expect_problem(
	    &s, rec_public_key(rec), 1, "segment 1 is signed with another key");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against accepting a segment twice, in a row or later. */
START_TEST(replayed_segment_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);

	lstr_buf_append(&s.content[4], lstr_buf_view(&s.content[3]));
	s.count = 5;
	expect_problem(&s, rec_public_key(rec), 4, "appears again");
	lstr_buf_clear(&s.content[4]);
	lstr_buf_append(&s.content[4], lstr_buf_view(&s.content[0]));
	expect_problem(&s, rec_public_key(rec), 1, "appears again");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against accepting a segment of another boot. */
START_TEST(segment_of_other_boot_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_signer router;
	Ch__RecordBody *body;

	resign_all(&s, &router);
	body = decode_body(&s, 2);
	body->boot = BOOT + 1;
	replace_segment(&s, 2, body, &router);
	expect_problem(&s, router.public_key, 3, "another node or boot");
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against losing copied entries when the router crashes. */
START_TEST(router_crash_loses_no_copied_entry)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_copies *copies;
	struct rec_verify_report report;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	uint64_t last = 0;

	memcpy(key, rec_public_key(rec), sizeof(key));
	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	/* One closed segment that is not stored, and one open segment. */
	for (unsigned int i = 0; i < 3; i++)
		append(rec, 100 + i);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_OK);
	for (unsigned int i = 0; i < 2; i++) {
		last = append(rec, 200 + i);
		ck_assert(!rec_is_replicated(rec, last));
		ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
		ck_assert(rec_is_replicated(rec, last));
	}
	ck_assert_uint_eq(rec_unsent_count(rec), 0);
	rec_destroy(rec);
	recover_all(copies, &s);
	ck_assert_uint_eq(s.count, SEGMENTS + 2);
	ck_assert_int_eq(
	    verify(&s, key, rec_copies_public_key(copies), &report), STATUS_OK);
	ck_assert_uint_eq(report.last_sequence, last);
	ck_assert_uint_eq(report.recovered, 2);
	ck_assert(!report.closed);
	rec_copies_destroy(copies);
	stored_free(&s);
}
END_TEST

/*
 * Guards against counting entries as copied that no peer has acknowledged. A
 * crash loses these entries and no others.
 */
START_TEST(router_crash_loses_only_uncopied_entries)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_copies *copies;
	struct rec_verify_report report;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	uint64_t copied;
	uint64_t lost;

	memcpy(key, rec_public_key(rec), sizeof(key));
	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	copied = append(rec, 100);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	lost = append(rec, 101);
	ck_assert(rec_is_replicated(rec, copied));
	ck_assert(!rec_is_replicated(rec, lost));
	rec_destroy(rec);
	recover_all(copies, &s);
	ck_assert_int_eq(
	    verify(&s, key, rec_copies_public_key(copies), &report), STATUS_OK);
	ck_assert_uint_eq(report.last_sequence, copied);
	ck_assert(!report.closed);
	rec_copies_destroy(copies);
	stored_free(&s);
}
END_TEST

/*
 * Guards against losing entries when the peer crashes. A new peer must receive
 * every entry that is not stored.
 */
START_TEST(peer_crash_loses_no_entry)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_copies *copies;
	struct rec_verify_report report;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	uint64_t last = 0;

	memcpy(key, rec_public_key(rec), sizeof(key));
	ck_assert_int_eq(rec_copies_create("node-8", &copies), STATUS_OK);
	append(rec, 100);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_OK);
	append(rec, 101);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	rec_copies_destroy(copies);
	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	last = append(rec, 102);
	rec_restart_copy(rec);
	ck_assert_uint_eq(rec_unsent_count(rec), 3);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	ck_assert(rec_is_replicated(rec, last));
	rec_destroy(rec);
	recover_all(copies, &s);
	ck_assert_int_eq(
	    verify(&s, key, rec_copies_public_key(copies), &report), STATUS_OK);
	ck_assert_uint_eq(report.last_sequence, last);
	rec_copies_destroy(copies);
	stored_free(&s);
}
END_TEST

/*
 * Guards against a reconnection to the same peer that truncates or duplicates
 * the copies held there.
 */
START_TEST(reconnection_keeps_the_copy)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_copies *copies;
	Ch__RecordAppend *message;
	Ch__RecordAck ack;
	size_t bytes;

	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	for (unsigned int i = 0; i < 4; i++) {
		append(rec, 100 + i);
		ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	}
	bytes = rec_copies_bytes(copies);
	rec_restart_copy(rec);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	ck_assert_uint_eq(rec_copies_bytes(copies), bytes);
	/* A message that omits an entry, then one that changes an entry. */
	append(rec, 104);
	ck_assert_int_eq(rec_next_copy(rec, &message), STATUS_OK);
	ch__record_append__free_unpacked(message, NULL);
	append(rec, 105);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_CONFLICT);
	rec_restart_copy(rec);
	ck_assert_int_eq(rec_next_copy(rec, &message), STATUS_OK);
	message->entries[1]->priority = 0;
	ck_assert_int_eq(
	    rec_copies_append(copies, message, &ack), STATUS_CONFLICT);
	ch__record_append__free_unpacked(message, NULL);
	rec_copies_destroy(copies);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/*
 * Guards against failed verification after a live router was suspected: both
 * its own segment and a recovered copy of it are stored.
 */
START_TEST(recovered_copy_of_stored_segment_verifies)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_copies *copies;
	struct rec_verify_report report;
	const uint8_t *key = rec_public_key(rec);
	const uint8_t *peer_key;

	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	peer_key = rec_copies_public_key(copies);
	append(rec, 100);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	recover_all(copies, &s);
	append(rec, 101);
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_OK);
	append(rec, 102);
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_OK);
	store_all(rec, &s);
	ck_assert_int_eq(verify(&s, key, peer_key, &report), STATUS_OK);
	ck_assert_uint_eq(report.segments, SEGMENTS + 2);
	ck_assert_uint_eq(report.entries, SEGMENTS * SEGMENT_ENTRIES + 3);
	ck_assert_uint_eq(report.recovered, 1);
	swap_content(&s, SEGMENTS, SEGMENTS + 1);
	ck_assert_int_eq(verify(&s, key, peer_key, &report), STATUS_OK);
	ck_assert_uint_eq(report.segments, SEGMENTS + 2);
	rec_copies_destroy(copies);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/*
 * Guards against accepting a recovered segment that is signed with an unknown
 * key or that differs from the segment that the router stored.
 */
START_TEST(wrong_recovered_copy_is_found)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_copies *copies;
	struct rec_verify_report report;
	struct rec_signer peer;
	Ch__RecordBody *body;

	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	append(rec, 100);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	recover_all(copies, &s);
	expect_problem(&s, rec_public_key(rec), 5, "not known for " PEER);
	ck_assert_int_eq(
	    verify(&s, rec_public_key(rec), rec_public_key(rec), &report),
	    STATUS_INVALID);
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_OK);
	store_all(rec, &s);
	ck_assert_int_eq(rec_signer_create(&peer), STATUS_OK);
	body = decode_body(&s, 4);
	ck_assert(body->recovered);
	body->entries[0]->priority = 0;
	rec_digest_next(body->previous_digest.data, body->entries[0],
	    body->last_digest.data);
	replace_segment(&s, 4, body, &peer);
	ck_assert_int_eq(
	    verify(&s, rec_public_key(rec), peer.public_key, &report),
	    STATUS_INVALID);
	ck_assert_ptr_nonnull(strstr(report.problem, "recovered copy"));
	rec_copies_destroy(copies);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against keeping copies after their segment has been stored. */
START_TEST(stored_copies_are_freed)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_copies *copies;
	Ch__RecordStore *store;

	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	append(rec, 100);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	ck_assert_uint_gt(rec_copies_bytes(copies), 0);
	rec_copies_handle_stored(copies, lstr_from(NODE), BOOT, SEGMENTS + 1);
	ck_assert_uint_eq(rec_copies_bytes(copies), 0);
	/* A late copy of the stored segment is acknowledged but not kept. */
	append(rec, 101);
	ck_assert_int_eq(copy_all(rec, copies), STATUS_OK);
	ck_assert_uint_eq(rec_copies_bytes(copies), 0);
	ck_assert_int_eq(
	    rec_copies_next_recovery(copies, lstr_from(NODE), BOOT, &store),
	    STATUS_NOT_FOUND);
	rec_copies_destroy(copies);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against gap markers that verification does not count. */
START_TEST(unreplicated_entries_are_counted)
{
	struct stored s;
	struct rec *rec = make_record(&s);
	struct rec_verify_report report;

	ck_assert_int_eq(rec_append_gap_marker(rec, 6, START_USEC), STATUS_OK);
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_OK);
	store_all(rec, &s);
	ck_assert_int_eq(
	    verify(&s, rec_public_key(rec), NULL, &report), STATUS_OK);
	ck_assert_uint_eq(report.unreplicated, 6);
	ck_assert_uint_eq(report.missing, 0);
	rec_destroy(rec);
	stored_free(&s);
}
END_TEST

/* Guards against closing segments too late or at too large a size. */
START_TEST(segments_are_due_by_time_and_size)
{
	struct rec *rec;
	Ch__RecordStore *store;
	unsigned int n = 0;

	ck_assert_int_eq(rec_create(NODE, BOOT, &rec), STATUS_OK);
	ck_assert(!rec_segment_due(rec, START_USEC + REC_SEGMENT_MAX_USEC));
	ck_assert_int_eq(rec_close_segment(rec, START_USEC), STATUS_NOT_FOUND);
	append(rec, n++);
	ck_assert(!rec_segment_due(rec, START_USEC + REC_SEGMENT_MAX_USEC - 1));
	ck_assert(rec_segment_due(
	    rec, START_USEC + REC_SEGMENT_MAX_USEC + LOOP_USEC_PER_SEC));
	/* At its size limit the segment closes without a call to close it. */
	while (rec_next_store(rec, &store) != STATUS_OK && n < 10000)
		append(rec, n++);
	ck_assert_uint_lt(n, REC_SEGMENT_MAX_BYTES / 16);
	ck_assert_uint_lt(store->content.len, REC_SEGMENT_MAX_BYTES);
	ch__record_store__free_unpacked(store, NULL);
	rec_destroy(rec);
}
END_TEST

/*
 * Appends an entry whose organisation, request and replica are incompressible
 * bytes, generated from the given seed.
 */
static void
append_incompressible(struct rec *rec, uint32_t seed)
{
	static uint8_t noise[3][REC_TEXT_MAX_BYTES];
	uint8_t key[randombytes_SEEDBYTES] = {0};
	struct rec_event event = {.start = START_USEC};
	uint64_t sequence;

	memcpy(key, &seed, sizeof(seed));
	randombytes_buf_deterministic(noise, sizeof(noise), key);
	for (size_t i = 0; i < sizeof(noise); i++)
		((uint8_t *)noise)[i] |= 1;
	event.organisation = lstr_make(noise[0], REC_TEXT_MAX_BYTES);
	event.request = lstr_make(noise[1], REC_TEXT_MAX_BYTES);
	event.replica = lstr_make(noise[2], REC_TEXT_MAX_BYTES);
	ck_assert_int_eq(rec_append(rec, &event, &sequence), STATUS_OK);
}

/*
 * Guards against unbounded memory use during an outage of the key-value
 * service. The oldest segments are replaced by gap markers that pass
 * verification.
 */
START_TEST(full_record_drops_oldest_segments)
{
	struct rec *rec;
	Ch__RecordStore *store;
	struct rec_verify_report report;
	struct lstr *views;
	struct lstr_buf *contents;
	size_t count = 0;
	uint32_t seed = 0;
	const size_t max = REC_WAITING_MAX_BYTES / REC_SEGMENT_MAX_BYTES * 2;

	ck_assert_int_eq(rec_create(NODE, BOOT, &rec), STATUS_OK);
	views = calloc(max, sizeof(*views));
	contents = calloc(max, sizeof(*contents));
	while (rec_waiting_bytes(rec) <
	    REC_WAITING_MAX_BYTES - 2 * REC_SEGMENT_MAX_BYTES)
		append_incompressible(rec, seed++);
	for (unsigned int i = 0; i < 500; i++) {
		append_incompressible(rec, seed++);
		ck_assert_uint_le(
		    rec_waiting_bytes(rec), REC_WAITING_MAX_BYTES);
	}
	while (rec_next_store(rec, &store) == STATUS_OK) {
		ck_assert_uint_lt(count, max);
		lstr_buf_append(&contents[count],
		    lstr_make(store->content.data, store->content.len));
		views[count] = lstr_buf_view(&contents[count]);
		count++;
		ch__record_store__free_unpacked(store, NULL);
	}
	ck_assert_int_eq(
	    rec_verify(views, count, rec_public_key(rec), NULL, NULL, &report),
	    STATUS_OK);
	ck_assert_uint_gt(report.missing, 0);
	ck_assert_uint_eq(
	    report.missing + report.entries, report.last_sequence);
	for (size_t i = 0; i < count; i++)
		lstr_buf_free(&contents[i]);
	free(contents);
	free(views);
	rec_destroy(rec);
}
END_TEST

/* Guards against unbounded memory use by the copies of many routers. */
START_TEST(full_copies_are_refused)
{
	struct rec *rec;
	struct rec_copies *copies;
	Ch__RecordAppend *message;
	Ch__RecordAck ack;
	enum status status = STATUS_OK;
	uint64_t boot = 1;

	ck_assert_int_eq(rec_create(NODE, BOOT, &rec), STATUS_OK);
	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	append(rec, 1);
	ck_assert_int_eq(rec_next_copy(rec, &message), STATUS_OK);
	for (; boot <= REC_COPIES_MAX_SOURCES; boot++) {
		message->boot = boot;
		ck_assert_int_eq(
		    rec_copies_append(copies, message, &ack), STATUS_OK);
	}
	message->boot = boot;
	ck_assert_int_eq(rec_copies_append(copies, message, &ack), STATUS_FULL);
	/* The slot of a source whose segments are stored is reused. */
	rec_copies_handle_stored(copies, lstr_from(NODE), 1, 1);
	ck_assert_int_eq(rec_copies_append(copies, message, &ack), STATUS_OK);
	ch__record_append__free_unpacked(message, NULL);
	for (uint32_t seed = 0; status == STATUS_OK; seed++) {
		append_incompressible(rec, seed);
		ck_assert_int_eq(rec_next_copy(rec, &message), STATUS_OK);
		message->boot = boot;
		status = rec_copies_append(copies, message, &ack);
		ch__record_append__free_unpacked(message, NULL);
		ck_assert_uint_le(rec_copies_bytes(copies),
		    REC_COPIES_MAX_BYTES + REC_SEGMENT_MAX_BYTES);
	}
	ck_assert_int_eq(status, STATUS_FULL);
	rec_copies_destroy(copies);
	rec_destroy(rec);
}
END_TEST

/* Guards against recovered copies that block those of other routers. */
START_TEST(recovered_copies_are_evicted)
{
	struct rec *rec;
	struct rec_copies *copies;
	Ch__RecordAppend *message;
	Ch__RecordAck ack;

	ck_assert_int_eq(rec_create(NODE, BOOT, &rec), STATUS_OK);
	ck_assert_int_eq(rec_copies_create(PEER, &copies), STATUS_OK);
	append(rec, 1);
	ck_assert_int_eq(rec_next_copy(rec, &message), STATUS_OK);
	for (uint64_t boot = 1; boot <= REC_COPIES_MAX_SOURCES; boot++) {
		message->boot = boot;
		ck_assert_int_eq(
		    rec_copies_append(copies, message, &ack), STATUS_OK);
	}
	message->boot = REC_COPIES_MAX_SOURCES + 1;
	ck_assert_int_eq(rec_copies_append(copies, message, &ack), STATUS_FULL);
	rec_copies_handle_recovered(copies, lstr_from(NODE), 3, 1, 0);
	ck_assert_int_eq(rec_copies_append(copies, message, &ack), STATUS_FULL);
	rec_copies_handle_recovered(
	    copies, lstr_from(NODE), 3, 1, message->entries[0]->sequence);
	ck_assert_int_eq(rec_copies_append(copies, message, &ack), STATUS_OK);
	ch__record_append__free_unpacked(message, NULL);
	rec_copies_destroy(copies);
	rec_destroy(rec);
}
END_TEST

/* Guards against overflow of the fixed-size buffers of an entry. */
START_TEST(long_texts_are_refused)
{
	static const char text[REC_TEXT_MAX_BYTES + 1];
	struct rec_event event = {
	    .organisation = lstr_make(text, sizeof(text))};
	struct rec *rec;
	uint64_t sequence;

	ck_assert_int_eq(rec_create(NODE, BOOT, &rec), STATUS_OK);
	event.request = lstr_from("");
	event.replica = lstr_from("");
	ck_assert_int_eq(rec_append(rec, &event, &sequence), STATUS_INVALID);
	ck_assert_uint_eq(rec_unsent_count(rec), 0);
	rec_destroy(rec);
}
END_TEST

HARNESS_MAIN("record", unmodified_record_verifies, changed_bit_is_found,
    added_bytes_are_found, dropped_entry_is_found, swapped_entries_are_found,
    changed_entry_is_found, rewritten_segment_is_found,
    skipped_sequence_is_found, dropped_segment_is_found,
    truncated_record_is_not_closed, swapped_segments_are_found,
    forged_segment_is_found, forged_public_key_is_found,
    replayed_segment_is_found, segment_of_other_boot_is_found,
    router_crash_loses_no_copied_entry,
    router_crash_loses_only_uncopied_entries, peer_crash_loses_no_entry,
    reconnection_keeps_the_copy, recovered_copy_of_stored_segment_verifies,
    wrong_recovered_copy_is_found, stored_copies_are_freed,
    recovered_copies_are_evicted, unreplicated_entries_are_counted,
    segments_are_due_by_time_and_size, full_record_drops_oldest_segments,
    full_copies_are_refused, long_texts_are_refused)
