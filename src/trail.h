#ifndef CH_TRAIL_H
#define CH_TRAIL_H

#include "engine.h"

/* Why a token may not be delivered; TRAIL_OK when it may. */
enum trail_verdict {
	TRAIL_OK = 0,
	/* The token belongs to another request. */
	TRAIL_OTHER_REQUEST,
	/* The token was made by an attempt that is not the current one. */
	TRAIL_OLD_ATTEMPT,
	/* The token is not the next one of the response. */
	TRAIL_WRONG_POSITION,
	/* A layer was not run. */
	TRAIL_GAP,
	/* A layer was run by two stages. */
	TRAIL_OVERLAP,
	/* A stage is named twice. */
	TRAIL_REPEAT,
	/* A stage was run by an instance that the route does not name there. */
	TRAIL_WRONG_INSTANCE,
	/* A stage ran with another attempt or position than the token. */
	TRAIL_WRONG_STEP
};

#define TRAIL_VERDICT_COUNT (TRAIL_WRONG_STEP + 1)

/* What the next token of a response must look like. */
struct trail_expected {
	struct lstr request;
	uint32_t attempt;
	uint32_t position;
	const struct engine_stage *stages;
	size_t stage_count;
};

enum trail_verdict trail_check(
    const struct trail_expected *, const struct engine_token *, size_t *);
const char *trail_verdict_name(enum trail_verdict);

#endif
