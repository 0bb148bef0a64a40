#include "harness.h"

#include <string.h>

#include "sse.h"

#define STREAM_TEXT                                                            \
	"id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid:3\n\n"
#define EVENT_COUNT 4

/* Guards against events that are lost or split when the stream arrives in
 * chunks; tries every chunk size. */
START_TEST(events_are_complete_for_any_chunk_size)
{
	const size_t len = strlen(STREAM_TEXT);

	for (size_t chunk_size = 1; chunk_size <= len; chunk_size++) {
		struct sse sse = {0};
		struct sse_event event;
		struct lstr_buf joined = {0};
		uint64_t ids[EVENT_COUNT] = {0};
		unsigned int count = 0;

		for (size_t at = 0; at < len; at += chunk_size) {
			size_t n =
			    at + chunk_size > len ? len - at : chunk_size;

			ck_assert_int_eq(
			    sse_feed(&sse, lstr_make(STREAM_TEXT + at, n)),
			    STATUS_OK);
			while (sse_next(&sse, &event)) {
				ck_assert_uint_lt(count, EVENT_COUNT);
				ids[count++] = event.has_id ? event.id : 0;
				lstr_buf_append(&joined, event.bytes);
			}
		}
		ck_assert_uint_eq(count, EVENT_COUNT);
		ck_assert_uint_eq(ids[0], 1);
		ck_assert_uint_eq(ids[1], 0);
		ck_assert_uint_eq(ids[2], 2);
		ck_assert_uint_eq(ids[3], 3);
		ck_assert(lstr_equal_c(lstr_buf_view(&joined), STREAM_TEXT));
		ck_assert_uint_eq(sse.pending.len, 0);
		lstr_buf_free(&joined);
		sse_free(&sse);
	}
}
END_TEST

/* Guards against a partial event being returned, and against its bytes being
 * left over after sse_reset(). */
START_TEST(partial_event_is_not_returned)
{
	struct sse sse = {0};
	struct sse_event event;

	sse_feed(&sse, lstr_from("id: 1\ndata: x\n"));
	ck_assert(!sse_next(&sse, &event));
	ck_assert_uint_gt(sse.pending.len, 0);
	sse_reset(&sse);
	sse_feed(&sse, lstr_from("id: 2\n\n"));
	ck_assert(sse_next(&sse, &event));
	ck_assert_uint_eq(event.id, 2);
	sse_free(&sse);
}
END_TEST

/* Guards against unlimited memory use by an event that does not end. */
START_TEST(oversized_event_is_rejected)
{
	struct sse sse = {0};
	static char bytes[SSE_EVENT_MAX_BYTES / 4];
	enum status status = STATUS_OK;

	memset(bytes, 'x', sizeof(bytes));
	for (int i = 0; i < 5 && status == STATUS_OK; i++)
		status = sse_feed(&sse, lstr_make(bytes, sizeof(bytes)));
	ck_assert_int_eq(status, STATUS_FULL);
	sse_free(&sse);
}
END_TEST

/* Guards against an event that is taken from a stream, or announced before it
 * is complete, when it is only looked for. */
START_TEST(event_is_announced_when_it_is_complete)
{
	static const char text[] = "id: 7\ndata: a\n\nid: 8\n";
	const size_t complete = strlen("id: 7\ndata: a\n\n");
	struct sse sse = {0};
	struct sse_event event;

	for (size_t i = 0; i < strlen(text); i++) {
		ck_assert_int_eq(
		    sse_feed(&sse, lstr_make(text + i, 1)), STATUS_OK);
		ck_assert_int_eq(sse_has_event(&sse), i + 1 >= complete);
	}
	ck_assert(sse_next(&sse, &event));
	ck_assert_uint_eq(event.id, 7);
	ck_assert(!sse_has_event(&sse));
	ck_assert(!sse_next(&sse, &event));
	sse_free(&sse);
}
END_TEST

HARNESS_MAIN("sse", events_are_complete_for_any_chunk_size,
    event_is_announced_when_it_is_complete, partial_event_is_not_returned,
    oversized_event_is_rejected)
