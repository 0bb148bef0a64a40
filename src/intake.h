#ifndef CH_INTAKE_H
#define CH_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "inventory.h"
#include "lstr.h"

#define INTAKE_NAME_MAX_BYTES 63
#define INTAKE_PROMPT_MAX_BYTES ((size_t)256 * 1024)
#define INTAKE_TOKENS_MAX 8192
#define INTAKE_MESSAGE_MAX 256
/* How far a deadline and the issue time of a key may lie in the future. */
#define INTAKE_DEADLINE_MAX_USEC ((int64_t)3600 * 1000000)
#define INTAKE_KEY_AHEAD_MAX_SEC 60

/*
 * A validated request. Its strings point into json and into the key that was
 * passed in.
 */
struct intake {
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
	char message[INTAKE_MESSAGE_MAX];
};

enum status intake_parse(struct lstr, const char *, const struct inv *, int64_t,
    struct intake *, struct refusal *);
void intake_clear(struct intake *);

#endif
