#ifndef CH_CALLER_REQUEST_H
#define CH_CALLER_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "inventory.h"
#include "lstr.h"

#define CALLER_REQUEST_NAME_MAX_BYTES 63
#define CALLER_REQUEST_PROMPT_MAX_BYTES ((size_t)256 * 1024)
#define CALLER_REQUEST_TOKENS_MAX 8192
#define CALLER_REQUEST_MESSAGE_MAX 256
/* How far a deadline and the issue time of a key may lie in the future. */
#define CALLER_REQUEST_DEADLINE_MAX_USEC ((int64_t)3600 * 1000000)
#define CALLER_REQUEST_KEY_AHEAD_MAX_SEC 60

/*
 * A validated request. Its strings point into json and into the key that was
 * passed in.
 */
struct caller_request {
	json_t *json;
	struct lstr organisation;
	struct lstr service;
	struct lstr operation;
	struct lstr prompt;
	struct lstr key;
	uint32_t max_tokens;
	bool has_max_tokens;
	bool pipeline;
	bool idempotent;
	int64_t deadline;
};

/* Why a request was refused. */
struct refusal {
	unsigned int http_status;
	const char *code;
	char message[CALLER_REQUEST_MESSAGE_MAX];
};

enum status caller_request_parse(struct lstr, const char *, const struct inv *,
    int64_t, struct caller_request *, struct refusal *);
void caller_request_clear(struct caller_request *);

#endif
