#ifndef CH_INTAKE_H
#define CH_INTAKE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Which callers' connections give way when the memory for callers or the number
 * of connections is used up. Load: many clients that hold connections, heads or
 * bodies without completing a request, or do not read their answers, and
 * ordinary callers among them. Ordinary callers complete their requests soon
 * and hold little, so the connections that have waited longest give way; for
 * memory, the time is weighted by the bytes held. Requests that are complete
 * are not offered: they may have been sent to a server.
 */

/* Connections chosen at once, so that a table is searched once for several. */
#define INTAKE_BATCH_MAX 32
/* A connection with unread output gives way only if its peer has accepted none
 * for this long. */
#define INTAKE_UNREAD_USEC 1000000
/* For memory, a connection that holds no more than this gives way only after
 * this time: it is that of an ordinary caller, whose request needs a few round
 * trips, and releases little. */
#define INTAKE_SMALL_BYTES ((size_t)64 * 1024)
#define INTAKE_YOUNG_USEC 250000

enum intake_kind {
	/* No request has begun since the connection was accepted or the last
	 * response was sent. */
	INTAKE_IDLE,
	INTAKE_HEAD,
	INTAKE_BODY,
	/* The last response was sent; the peer has not closed yet. */
	INTAKE_LINGERING,
	/* The last response has not been read completely. */
	INTAKE_UNREAD
};

enum intake_need {
	INTAKE_CONNECTIONS,
	INTAKE_MEMORY
};

struct intake_candidate {
	enum intake_kind kind;
	/* Memory that is released if it gives way. */
	size_t bytes;
	/* When the state named by kind began, and when bytes were last received
	 * or, for unread output, accepted. */
	int64_t since;
	int64_t progress_at;
	/* Identifies the connection to the caller. */
	void *ref;
};

struct intake_choice {
	double score;
	void *ref;
};

/* A search. The choices are sorted, the first gives way first. */
struct intake {
	enum intake_need need;
	int64_t now;
	size_t max;
	size_t count;
	struct intake_choice choices[INTAKE_BATCH_MAX];
};

void intake_init(
    struct intake *, enum intake_need, int64_t now, size_t connections);
void intake_offer(struct intake *, const struct intake_candidate *);

#endif
