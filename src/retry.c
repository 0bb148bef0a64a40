#include <assert.h>
#include <string.h>

#include "retry.h"

/*
 * Initializes the budget of a service: the full minimum and no earned retries.
 */
void
retry_budget_init(struct retry_budget *budget, int64_t now)
{
	memset(budget, 0, sizeof(*budget));
	budget->balance_max =
	    (int64_t)RETRY_BALANCE_MAX * RETRY_UNITS_PER_RETRY;
	budget->units_per_request =
	    RETRY_UNITS_PER_RETRY / RETRY_REQUESTS_PER_RETRY;
	budget->minimum = RETRY_MINIMUM;
	budget->minimum_max = RETRY_MINIMUM;
	budget->refilled_at = now;
}

/*
 * Adds what a request earns to the budget. Must not be called for retries.
 */
void
retry_budget_add_request(struct retry_budget *budget)
{
	budget->balance = MIN(
	    budget->balance + budget->units_per_request, budget->balance_max);
}

/*
 * Restores one retry of the minimum per RETRY_MINIMUM_REFILL_USEC.
 */
static void
refill_minimum(struct retry_budget *budget, int64_t now)
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
 * Charges one retry to the earned retries or else to the minimum. Returns false
 * when the budget is exhausted.
 */
static bool
charge_budget(struct retry_budget *budget, int64_t now)
{
	refill_minimum(budget, now);
	if (budget->balance >= RETRY_UNITS_PER_RETRY) {
		budget->balance -= RETRY_UNITS_PER_RETRY;
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
 * Returns a random delay in microseconds below base * 2^(failures - 1),
 * limited to RETRY_BACKOFF_MAX_USEC.
 */
static int64_t
random_backoff(uint32_t failures, GRand *rand)
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
 * Decides whether a failed attempt may be retried. For RETRY_OK, stores the
 * time of the retry and charges the budget.
 */
enum retry_verdict
retry_decide(struct retry_budget *budget, const struct retry_attempt *failed,
    int64_t now, GRand *rand, int64_t *at)
{
	int64_t when;

	if (!failed->idempotent && !failed->nothing_ran)
		return RETRY_MAY_HAVE_RUN;
	when = now + random_backoff(failed->failures, rand);
	if (when >= failed->deadline)
		return RETRY_TOO_LATE;
	if (!charge_budget(budget, now))
		return RETRY_NO_BUDGET;
	*at = when;
	return RETRY_OK;
}

/*
 * Returns the name of a verdict as a static string, for response codes and
 * logs.
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
