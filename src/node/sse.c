#include <string.h>

#include "sse.h"

/*
 * Appends bytes of a stream. Returns STATUS_FULL if an event would exceed
 * SSE_EVENT_MAX_BYTES.
 */
enum status
sse_feed(struct sse *sse, struct lstr bytes)
{
	if (sse->pending.len + bytes.len > SSE_EVENT_MAX_BYTES)
		return status_set(STATUS_FULL, "event is too large");
	return lstr_buf_append(&sse->pending, bytes);
}

/*
 * Parses the identifier of an event from its "id:" line, if it has one, and
 * whether it consists of comments.
 */
static void
parse_event(struct sse_event *event)
{
	const char *at = event->bytes.data;
	const char *end = at + event->bytes.len;

	event->is_comment = true;
	while (at < end) {
		const char *line_end = memchr(at, '\n', (size_t)(end - at));
		size_t len =
		    line_end ? (size_t)(line_end - at) : (size_t)(end - at);
		int64_t id;

		if (len > 0 && at[len - 1] == '\r')
			len--;
		event->is_comment =
		    event->is_comment && (len == 0 || at[0] == ':');
		if (len > 3 && memcmp(at, "id:", 3) == 0) {
			struct lstr value = lstr_make(at + 3, len - 3);

			if (value.len > 0 && value.data[0] == ' ')
				value =
				    lstr_make(value.data + 1, value.len - 1);
			if (lstr_to_int64(value, &id) == STATUS_OK && id >= 0) {
				event->has_id = true;
				event->id = (uint64_t)id;
			}
		}
		if (line_end == NULL)
			return;
		at = line_end + 1;
	}
}

/*
 * Returns the length of the next complete event; 0: there is none.
 */
static size_t
find_event(struct sse *sse)
{
	const char *data = sse->pending.data;
	size_t i;

	for (i = sse->scan_offset; i < sse->pending.len; i++) {
		size_t next = i + 1;

		if (data[i] != '\n')
			continue;
		if (next < sse->pending.len && data[next] == '\r')
			next++;
		if (next >= sse->pending.len)
			break;
		if (data[next] != '\n')
			continue;
		sse->scan_offset = i;
		return next + 1;
	}
	sse->scan_offset = i;
	return 0;
}

/*
 * Returns whether sse_next() would return an event.
 */
bool
sse_has_event(struct sse *sse)
{
	return find_event(sse) > 0;
}

/*
 * Removes the next complete event from the stream and returns it. Returns false
 * if there is none. The bytes of the event are valid until the next call.
 */
bool
sse_next(struct sse *sse, struct sse_event *event)
{
	size_t len = find_event(sse);

	if (len == 0)
		return false;
	*event = (struct sse_event){.bytes = lstr_make(sse->pending.data, len)};
	parse_event(event);
	sse->scan_offset = 0;
	lstr_buf_consume(&sse->pending, len);
	return true;
}

/*
 * Discards a partial event.
 */
void
sse_reset(struct sse *sse)
{
	lstr_buf_clear(&sse->pending);
	sse->scan_offset = 0;
}

/*
 * Frees the buffer of the splitter.
 */
void
sse_free(struct sse *sse)
{
	lstr_buf_free(&sse->pending);
}
