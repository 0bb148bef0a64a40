#ifndef CH_STREAM_H
#define CH_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "chestnuthoist.pb-c.h"

#include "caller_request.h"

#define STREAM_REQUEST_ID_BYTES 32
/* Maximum submissions of one request, including the first. */
#define STREAM_SUBMISSIONS_MAX 8
/*
 * Attempt numbers that a router may still use after its link was lost. Later
 * submissions start above them, so that no attempt number is used twice.
 */
#define STREAM_ATTEMPTS_RESERVED 1000
/* Time for the answer of the router, sent by the deadline, to arrive. */
#define STREAM_DEADLINE_GRACE_USEC ((int64_t)500 * 1000)
/*
 * Time to wait for a reachable router. Ownership of a replica moves about 4 s
 * after its router dies.
 */
#define STREAM_ROUTER_WAIT_USEC ((int64_t)6 * 1000 * 1000)
#define STREAM_TOKEN_MAX_BYTES ((size_t)4096)

enum stream_state {
	/* No router has been chosen. */
	STREAM_WAITING,
	/* A router has been chosen; its link is not established yet. */
	STREAM_CONNECTING,
	/* The Submit message was sent on an established link. */
	STREAM_SENT,
	STREAM_ENDED
};

enum stream_action {
	STREAM_NO_ACTION,
	/* Deliver the token to the caller. */
	STREAM_DELIVER,
	/* Choose another replica, not before retry_at. */
	STREAM_RETRY,
	/* As STREAM_RETRY, and send Cancel to the current router. */
	STREAM_CANCEL_AND_RETRY,
	/* The request has ended; its result is in struct stream_outcome. */
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

/* The request of a caller and the part of its response that was delivered. */
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
	/* Delivered tokens as GBytes, in order. */
	GPtrArray *delivered;
	uint32_t delivered_at_submit;
};

enum status stream_create(const struct caller_request *,
    const char id[STREAM_REQUEST_ID_BYTES + 1], int64_t, struct stream **);
void stream_destroy(struct stream *);
void stream_router_chosen(struct stream *);
void stream_submitted(struct stream *);
void stream_fill_submit(const struct stream *, uint64_t, const char *,
    Ch__Submit *, ProtobufCBinaryData *);
enum stream_action stream_on_token(struct stream *, const Ch__Token *, int64_t,
    GRand *, struct stream_outcome *);
enum stream_action stream_on_done(struct stream *, const Ch__Done *, int64_t,
    GRand *, struct stream_outcome *);
enum stream_action stream_on_link_lost(
    struct stream *, int64_t, GRand *, struct stream_outcome *);
enum stream_action stream_check_timeouts(
    struct stream *, int64_t, struct stream_outcome *);

#endif
