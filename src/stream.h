#ifndef CH_STREAM_H
#define CH_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "chestnuthoist.pb-c.h"

#include "intake.h"

#define STREAM_REQUEST_ID_BYTES 32
/* Submissions of one request, the first included. */
#define STREAM_SUBMISSIONS_MAX 8
/*
 * Attempt numbers that a router whose link was lost may still use. Later
 * submissions use higher ones, so that no attempt number is used twice.
 */
#define STREAM_ATTEMPTS_RESERVED 1000
/* The router answers by the deadline; its answer needs time to arrive. */
#define STREAM_DEADLINE_GRACE_USEC ((int64_t)500 * 1000)
/* Ownership moves about 4 s after a router dies. */
#define STREAM_ROUTER_WAIT_USEC ((int64_t)6 * 1000 * 1000)
#define STREAM_TOKEN_MAX_BYTES ((size_t)4096)

enum stream_state {
	/* No router is chosen. */
	STREAM_WAITING,
	/* A router is chosen; its link is not up yet. */
	STREAM_CONNECTING,
	/* Submit was given to an established link. */
	STREAM_SENT,
	STREAM_ENDED
};

enum stream_action {
	STREAM_NONE,
	/* The token goes to the caller. */
	STREAM_DELIVER,
	/* Another replica is chosen, not before retry_at. */
	STREAM_RETRY,
	/* As STREAM_RETRY; the router that sent this is told to cancel. */
	STREAM_CANCEL_AND_RETRY,
	/* The request is over; outcome says how. */
	STREAM_END
};

struct stream_outcome {
	Ch__Outcome outcome;
	/* Borrowed from the message that ended the request, or static. */
	const char *code;
	const char *message;
	int64_t retry_at;
	uint32_t status;
	struct lstr body;
};

/* One caller's request and what was delivered of its response. */
struct stream {
	char request_id[STREAM_REQUEST_ID_BYTES + 1];
	char *organisation;
	char *service;
	char *operation;
	char *body;
	size_t body_len;
	char *key;
	uint32_t max_tokens;
	bool pipeline;
	bool idempotent;
	int64_t arrival;
	int64_t deadline;
	enum stream_state state;
	/* An earlier submission may have run in part. */
	bool maybe_ran;
	uint32_t submissions;
	uint32_t attempt;
	int64_t retry_at;
	/* GBytes of the delivered tokens, in order. */
	GPtrArray *delivered;
	uint32_t delivered_before;
};

enum status stream_create(const struct intake *,
    const char id[STREAM_REQUEST_ID_BYTES + 1], int64_t, struct stream **);
void stream_destroy(struct stream *);
void stream_chosen(struct stream *);
void stream_sent(struct stream *);
void stream_submit(const struct stream *, uint64_t, const char *, Ch__Submit *,
    ProtobufCBinaryData *);
enum stream_action stream_on_token(struct stream *, const Ch__Token *, int64_t,
    GRand *, struct stream_outcome *);
enum stream_action stream_on_done(struct stream *, const Ch__Done *, int64_t,
    GRand *, struct stream_outcome *);
enum stream_action stream_on_lost(
    struct stream *, int64_t, GRand *, struct stream_outcome *);
enum stream_action stream_on_time(
    struct stream *, int64_t, struct stream_outcome *);

#endif
