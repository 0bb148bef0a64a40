#include "harness.h"

#include <string.h>

#include "sse.h"

#define STREAM "id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid:3\n\n"
#define EVENTS 4

/* Guards events at every way in which their bytes may be cut. */
START_TEST(events_come_whole_however_they_are_cut)
{
	const size_t len = strlen(STREAM);

	for (size_t cut = 1; cut <= len; cut++) {
		struct sse sse = {0};
		struct sse_event event;
		struct lstr_buf joined = {0};
		uint64_t ids[EVENTS] = {0};
		unsigned int count = 0;

		for (size_t at = 0; at < len; at += cut) {
			size_t n = at + cut > len ? len - at : cut;

			ck_assert_int_eq(
			    sse_feed(&sse, lstr_make(STREAM + at, n)),
			    STATUS_OK);
			while (sse_next(&sse, &event)) {
				ck_assert_uint_lt(count, EVENTS);
				ids[count++] = event.has_id ? event.id : 0;
				lstr_buf_append(&joined, event.bytes);
			}
		}
		ck_assert_uint_eq(count, EVENTS);
		ck_assert_uint_eq(ids[0], 1);
		ck_assert_uint_eq(ids[1], 0);
		ck_assert_uint_eq(ids[2], 2);
		ck_assert_uint_eq(ids[3], 3);
		ck_assert(lstr_equal_c(lstr_buf_view(&joined), STREAM));
		ck_assert_uint_eq(sse.pending.len, 0);
		lstr_buf_free(&joined);
		sse_free(&sse);
	}
}
END_TEST

/* Guards against half an event that counts as one, and against its rest. */
START_TEST(half_an_event_stays_behind)
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

/* Guards the memory of the process against an endless event. */
START_TEST(endless_event_is_refused)
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

HARNESS_MAIN("sse", events_come_whole_however_they_are_cut,
    half_an_event_stays_behind, endless_event_is_refused)
