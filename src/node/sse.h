#ifndef CH_SSE_H
#define CH_SSE_H

#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/* Largest event in bytes; a server that sends more is faulty. */
#define SSE_EVENT_MAX_BYTES ((size_t)1024 * 1024)

/* Splits a text/event-stream into complete events. */
struct sse {
	struct lstr_buf pending;
	/* Bytes of pending already scanned for the end of an event. */
	size_t scan_offset;
};

struct sse_event {
	/* Includes the empty line that ends the event; a view into the
	 * splitter's buffer. */
	struct lstr bytes;
	bool has_id;
	uint64_t id;
	/* All its lines are comments, or empty. */
	bool is_comment;
};

enum status sse_feed(struct sse *, struct lstr);
bool sse_has_event(struct sse *);
bool sse_next(struct sse *, struct sse_event *);
void sse_reset(struct sse *);
void sse_free(struct sse *);

#endif
