#ifndef CH_TRAIL_H
#define CH_TRAIL_H

#include "engine.h"

/*
 * The trail of a token lists the stages that the token passed through. The
 * verdict says why a token must not be delivered, or TRAIL_OK.
 */
enum trail_verdict {
	TRAIL_OK = 0,
	/* The token belongs to another request. */
	TRAIL_OTHER_REQUEST,
	/* The token comes from an attempt that is not the current one. */
	TRAIL_OLD_ATTEMPT,
	/* The token is not the next one of the response. */
	TRAIL_WRONG_POSITION,
	/* A layer was skipped. */
	TRAIL_GAP,
	/* A layer was run by two stages. */
	TRAIL_OVERLAP,
	/* A step appears twice. */
	TRAIL_REPEAT,
	/* A stage was run by an instance other than the one in the route. */
	TRAIL_WRONG_INSTANCE,
	/* A step has another attempt or position than the token. */
	TRAIL_WRONG_STEP
};

#define TRAIL_VERDICT_COUNT (TRAIL_WRONG_STEP + 1)

/* The expected properties of the next token of a response. */
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
