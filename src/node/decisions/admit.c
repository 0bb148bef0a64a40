#include <glib.h>

#include "admit.h"
#include "returns.h"

/* The jitter multiplies the retry time by a factor between these. */
#define JITTER_MIN 0.8
#define JITTER_MAX 1.6

/*
 * Returns the time in microseconds after which a refused caller is to retry:
 * about when capacity is expected, but soon enough that the caller still
 * retries. jitter is a random number from 0 to 1 that spreads the retries of
 * different callers.
 */
int64_t
admit_retry_after(
    int64_t expected_usec, int64_t caller_timeout_usec, double jitter)
{
	int64_t delay_max =
	    (int64_t)((double)caller_timeout_usec * ADMIT_RETRY_SHARE);
	int64_t delay = MAX(expected_usec, ADMIT_RETRY_MIN_USEC);

	delay = (int64_t)((double)delay *
	    (JITTER_MIN + (JITTER_MAX - JITTER_MIN) * jitter));
	return MIN(delay, delay_max);
}

/*
 * Returns the time in microseconds after which a caller is to retry whose
 * request no server wants before: never sooner, even if the caller's deadline
 * is near, since an earlier retry is refused as well. Callers that are refused
 * together are spread over a short time.
 */
int64_t
admit_retry_when_wanted(int64_t wanted_usec, double jitter)
{
	return wanted_usec + (int64_t)(jitter * (double)ADMIT_RETRY_MIN_USEC);
}

/*
 * Returns the time in microseconds after which the caller of a request without
 * a path is to retry: when the layers of failed servers are expected to be held
 * again, spread over some time, when the overload of its class is expected to
 * have passed, or else when running requests have ended.
 */
int64_t
admit_retry_without_capacity(const struct admit_request *request)
{
	int64_t delay = admit_retry_after(
	    MAX(2 * request->expected_wait_usec, ADMIT_RETRY_OVERLOAD_USEC),
	    request->caller_timeout_usec, request->jitter);
	int64_t delay_max =
	    (int64_t)((double)request->caller_timeout_usec * ADMIT_RETRY_SHARE);
	int64_t recovery = ADMIT_RECOVERY_USEC - request->failed_since_usec;

	delay = MAX(delay,
	    returns_after_overload(request->load, delay_max, request->jitter));

	if (request->wanted_usec > 0)
		return MAX(delay,
		    admit_retry_when_wanted(
			request->wanted_usec, request->jitter));
	if (request->failed_since_usec < 0 || recovery <= 0)
		return delay;
	recovery += (int64_t)(request->jitter * ADMIT_RECOVERY_SPREAD_USEC);
	return MIN(MAX(delay, recovery), delay_max);
}

/*
 * Returns how long, in microseconds, callers wait for the next event of a
 * stream before they abandon it.
 */
int64_t
admit_abandon_after(int64_t objective_usec, int64_t gap_usec)
{
	int64_t timeout = MAX(ADMIT_ABANDON_OBJECTIVES * objective_usec,
	    ADMIT_ABANDON_GAPS * gap_usec);

	return MAX(timeout, ADMIT_ABANDON_USEC);
}

/*
 * Decides whether a request waits for capacity or is refused. While the servers
 * want no requests, one that has not run is refused at once.
 */
struct admit_decision
admit_decide(const struct admit_request *request)
{
	struct admit_decision decision = {ADMIT_REFUSE, 0, 0};
	int64_t needed = request->work_usec + ADMIT_MARGIN_USEC;
	int64_t wait_until_abandoned = request->abandon_usec - needed;
	int64_t wait_max = request->objective_usec - needed;

	if (request->already_started || request->has_returned)
		wait_max = wait_until_abandoned;
	else if (wait_max < ADMIT_LATE_WAIT_USEC)
		wait_max = ADMIT_LATE_WAIT_USEC;
	wait_max = MIN(wait_max,
	    MIN(wait_until_abandoned, request->caller_timeout_usec - needed));
	if (wait_max > 0 && request->expected_wait_usec <= wait_max &&
	    (request->wanted_usec == 0 ||
		(request->may_have_run && request->wanted_usec <= wait_max))) {
		decision.choice = ADMIT_WAIT;
		decision.wait_usec = wait_max;
		return decision;
	}
	decision.retry_usec = admit_retry_without_capacity(request);
	return decision;
}

/*
 * Returns whether a configuration is proved recently enough to decide about a
 * request.
 */
bool
admit_proof_decides(const struct admit_proof *proof)
{
	return proof->age_max_usec == 0 ||
	    proof->age_usec <= proof->age_max_usec;
}

/*
 * Returns the time at which a request fails. The time limit of a route begins
 * when the request is complete: a body that arrives slowly takes nothing from
 * the time that its server has.
 */
int64_t
admit_timeout_at(const struct admit_times *times)
{
	return times->route_timeout_usec == 0
	    ? times->deadline
	    : MIN(times->deadline,
		  times->completed_at + times->route_timeout_usec);
}

/*
 * Returns the time until which a request is held at a node that started at
 * started_at and has not read the store yet. A caller with little time is
 * refused while it can still try another node.
 */
int64_t
admit_hold_until(
    int64_t arrived_at, int64_t started_at, int64_t caller_timeout_usec)
{
	return MIN(started_at + ADMIT_START_HOLD_USEC,
	    arrived_at +
		(int64_t)((double)caller_timeout_usec * ADMIT_RETRY_SHARE));
}

/*
 * Returns true if work, with an allowance for estimates that are too low, may
 * not end before a draining server exits.
 */
bool
admit_outlasts(int64_t work_usec, int64_t server_left_usec)
{
	return (double)work_usec * ADMIT_RUNTIME_FACTOR >=
	    (double)server_left_usec;
}

/*
 * Decides what to do after a failed attempt.
 */
enum admit_failure_action
admit_after_failure(const struct admit_failure *failure)
{
	bool can_retry = failure->attempts_left &&
	    failure->another_server_available &&
	    failure->time_left_usec > failure->work_usec;
	bool never_ran = failure->not_run && !failure->earlier_may_have_run;

	if (can_retry && (failure->repeatable || never_ran))
		return ADMIT_RETRY;
	if (failure->response_begun)
		return ADMIT_ABORT;
	return never_ran ? ADMIT_NOT_RUN : ADMIT_UNKNOWN;
}
