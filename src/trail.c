#include <assert.h>

#include "trail.h"

/*
 * Returns the name of a verdict as a static string, for logs and metrics.
 */
const char *
trail_verdict_name(enum trail_verdict verdict)
{
	static const char *const names[TRAIL_VERDICT_COUNT] = {"ok",
	    "other-request", "old-attempt", "wrong-position", "gap", "overlap",
	    "repeat", "wrong-instance", "wrong-step"};

	assert(verdict < TRAIL_VERDICT_COUNT);
	return names[verdict];
}

/*
 * Returns whether an earlier step of the trail has the same instance and
 * layers as step i.
 */
static bool
is_repeated(const struct engine_token *token, size_t i)
{
	const struct engine_trail_step *step = &token->steps[i];

	for (size_t k = 0; k < i; k++) {
		if (lstr_equal(token->steps[k].instance, step->instance) &&
		    token->steps[k].first == step->first &&
		    token->steps[k].last == step->last)
			return true;
	}
	return false;
}

/*
 * Checks step i of the trail against stage i of the route. The layers are
 * checked before the instance, so that a missing stage is reported as a gap.
 */
static enum trail_verdict
check_step(const struct trail_expected *expected,
    const struct engine_token *token, size_t i)
{
	const struct engine_trail_step *step = &token->steps[i];
	const struct engine_stage *stage = &expected->stages[i];

	if (is_repeated(token, i))
		return TRAIL_REPEAT;
	if (step->first > stage->first)
		return TRAIL_GAP;
	if (step->first < stage->first)
		return TRAIL_OVERLAP;
	if (step->last < stage->last)
		return TRAIL_GAP;
	if (step->last > stage->last)
		return TRAIL_OVERLAP;
	if (!lstr_equal(step->instance, stage->instance))
		return TRAIL_WRONG_INSTANCE;
	if (step->attempt != expected->attempt ||
	    step->position != expected->position)
		return TRAIL_WRONG_STEP;
	return TRAIL_OK;
}

/*
 * Checks whether a token may be delivered as the next one of its response. Its
 * request and attempt must be the current ones, its position the next one, and
 * its trail must match the route exactly. Stores the index of the stage in
 * stage_index when the verdict is about one of the expected stages, and the
 * number of stages otherwise.
 */
enum trail_verdict
trail_check(const struct trail_expected *expected,
    const struct engine_token *token, size_t *stage_index)
{
	*stage_index = expected->stage_count;
	if (!lstr_equal(token->request, expected->request))
		return TRAIL_OTHER_REQUEST;
	if (token->attempt != expected->attempt)
		return TRAIL_OLD_ATTEMPT;
	if (token->position != expected->position)
		return TRAIL_WRONG_POSITION;
	for (size_t i = 0; i < expected->stage_count; i++) {
		enum trail_verdict verdict = TRAIL_GAP;

		if (i < token->step_count)
			verdict = check_step(expected, token, i);
		if (verdict != TRAIL_OK) {
			*stage_index = i;
			return verdict;
		}
	}
	if (token->step_count > expected->stage_count)
		return is_repeated(token, expected->stage_count)
		    ? TRAIL_REPEAT
		    : TRAIL_OVERLAP;
	return TRAIL_OK;
}
