#include <assert.h>
#include <string.h>

#include "retry.h"

/*
 * Gives a service its minimum and nothing saved.
 */
void
retry_budget_init(struct retry_budget *budget, int64_t now)
{
	memset(budget, 0, sizeof(*budget));
	budget->saved_max = (int64_t)RETRY_SAVED_MAX * RETRY_UNITS;
	budget->earned = RETRY_UNITS / RETRY_REQUESTS_PER_RETRY;
	budget->minimum = RETRY_MINIMUM;
	budget->minimum_max = RETRY_MINIMUM;
	budget->refilled_at = now;
}

/*
 * Gives a service a share of a budget that nodes divide among themselves: a
 * number of retries at once, and more only as requests earn them, each the
 * given part of a retry.
 */
void
retry_budget_init_share(
    struct retry_budget *budget, int64_t burst, double ratio)
{
	memset(budget, 0, sizeof(*budget));
	budget->saved_max = burst * RETRY_UNITS;
	budget->saved = budget->saved_max;
	budget->reserve =
	    (int64_t)(RETRY_RESERVE_SHARE * (double)budget->saved_max);
	budget->earned = (int64_t)(ratio * RETRY_UNITS);
}

/*
 * Counts a request that is not a retry.
 */
void
retry_request(struct retry_budget *budget)
{
	budget->saved = MIN(budget->saved + budget->earned, budget->saved_max);
}

/*
 * Gives back one retry of the minimum each RETRY_MINIMUM_REFILL_USEC.
 */
static void
refill(struct retry_budget *budget, int64_t now)
{
	int64_t count = (now - budget->refilled_at) / RETRY_MINIMUM_REFILL_USEC;

	if (count <= 0)
		return;
	budget->refilled_at += count * RETRY_MINIMUM_REFILL_USEC;
	budget->minimum += count;
	if (budget->minimum > budget->minimum_max)
		budget->minimum = budget->minimum_max;
}

/*
 * Takes one retry from what was saved, else from the minimum. What is reserved
 * is left to requests under way.
 */
static bool
spend(struct retry_budget *budget, bool under_way, int64_t now)
{
	int64_t kept = under_way ? 0 : budget->reserve;

	refill(budget, now);
	if (budget->saved - kept >= RETRY_UNITS) {
		budget->saved -= RETRY_UNITS;
	} else if (budget->minimum > 0) {
		budget->minimum--;
	} else {
		budget->refused++;
		return false;
	}
	budget->granted++;
	return true;
}

/*
 * Draws a wait below base * 2^(failures - 1), capped.
 */
static int64_t
draw_backoff(uint32_t failures, GRand *rand)
{
	int64_t limit = RETRY_BACKOFF_BASE_USEC;

	for (uint32_t i = 1; i < failures && limit < RETRY_BACKOFF_MAX_USEC;
	     i++)
		limit *= 2;
	if (limit > RETRY_BACKOFF_MAX_USEC)
		limit = RETRY_BACKOFF_MAX_USEC;
	return (int64_t)(g_rand_double(rand) * (double)limit);
}

/*
 * Decides whether a failed try may be repeated and stores when. The budget is
 * charged only for RETRY_OK.
 */
enum retry_verdict
retry_decide(struct retry_budget *budget, const struct retry_case *failed,
    int64_t now, GRand *rand, int64_t *at)
{
	int64_t when;

	if (!failed->idempotent && !failed->nothing_ran)
		return RETRY_MAY_HAVE_RUN;
	when = now + draw_backoff(failed->failures, rand);
	if (when >= failed->deadline)
		return RETRY_TOO_LATE;
	if (!spend(budget, failed->under_way, now))
		return RETRY_NO_BUDGET;
	*at = when;
	return RETRY_OK;
}

/*
 * Tells whether a retry of a request that is not under way would be granted
 * now, without charging it.
 */
bool
retry_is_available(const struct retry_budget *budget)
{
	return budget->saved - budget->reserve >= RETRY_UNITS ||
	    budget->minimum > 0;
}

/*
 * Returns the name of a verdict as a static string, for codes and logs.
 */
const char *
retry_verdict_name(enum retry_verdict verdict)
{
	switch (verdict) {
	case RETRY_OK:
		return "retry";
	case RETRY_MAY_HAVE_RUN:
		return "may-have-run";
	case RETRY_TOO_LATE:
		return "deadline-passed";
	case RETRY_NO_BUDGET:
		return "retry-budget";
	}
	assert(!"unknown verdict");
	return "";
}
