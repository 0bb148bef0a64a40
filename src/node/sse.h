#ifndef CH_SSE_H
#define CH_SSE_H

#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/* Largest event; a server that sends more is faulty. */
#define SSE_EVENT_MAX_BYTES ((size_t)1024 * 1024)

/* Splits a stream of text/event-stream into whole events. */
struct sse {
	struct lstr_buf pending;
	/* How much of pending has been searched for the end of an event. */
	size_t searched;
};

struct sse_event {
	/* With the empty line that ends it; borrowed. */
	struct lstr bytes;
	bool has_id;
	uint64_t id;
};

enum status sse_feed(struct sse *, struct lstr);
bool sse_next(struct sse *, struct sse_event *);
void sse_reset(struct sse *);
void sse_free(struct sse *);

#endif
