#include <glib.h>

#include "admit.h"

/* Times to come back lie between these multiples of the expected wait. */
#define SPREAD_MIN 0.8
#define SPREAD_MAX 1.6

/*
 * Returns when a refused caller is to come back: about when room is expected,
 * and early enough that it still does. The times of several callers differ.
 */
int64_t
admit_retry_after(int64_t expected_usec, int64_t patience_usec, double spread)
{
	int64_t latest = (int64_t)((double)patience_usec * ADMIT_RETRY_SHARE);
	int64_t at = MAX(expected_usec, ADMIT_RETRY_MIN_USEC);

	at = (int64_t)((double)at *
	    (SPREAD_MIN + (SPREAD_MAX - SPREAD_MIN) * spread));
	return MIN(at, latest);
}

/*
 * Returns how long callers wait for the next event of a stream.
 */
int64_t
admit_leave_after(int64_t objective_usec, int64_t gap_usec)
{
	int64_t leave = MAX(ADMIT_LEAVE_OBJECTIVES * objective_usec,
	    ADMIT_LEAVE_GAPS * gap_usec);

	return MAX(leave, ADMIT_LEAVE_USEC);
}

/*
 * Decides whether a request waits for room.
 */
struct admit_verdict
admit_decide(const struct admit_case *request)
{
	struct admit_verdict verdict = {ADMIT_REFUSE, 0, 0};
	int64_t needed = request->work_usec + ADMIT_MARGIN_USEC;
	int64_t alive = request->leave_usec - needed;
	int64_t longest = request->objective_usec - needed;

	if (request->under_way)
		longest = alive;
	else if (longest < ADMIT_LATE_WAIT_USEC)
		longest = ADMIT_LATE_WAIT_USEC;
	longest = MIN(longest, MIN(alive, request->patience_usec - needed));
	if (longest > 0 && request->expected_wait_usec <= longest) {
		verdict.choice = ADMIT_WAIT;
		verdict.wait_usec = longest;
		return verdict;
	}
	verdict.retry_usec = admit_retry_after(
	    MAX(2 * request->expected_wait_usec, ADMIT_RETRY_OVERLOAD_USEC),
	    request->patience_usec, request->spread);
	return verdict;
}

/*
 * Decides whether work does not end before a server that is leaving does.
 */
bool
admit_outlasts(int64_t work_usec, int64_t server_left_usec)
{
	return (double)work_usec * ADMIT_STOPPING_FACTOR >=
	    (double)server_left_usec;
}

/*
 * Decides whether a node that stops takes one more request: since the order to
 * stop, until its end, and for the expected work.
 */
bool
admit_while_stopping(int64_t since_usec, int64_t left_usec, int64_t work_usec)
{
	return since_usec <= ADMIT_STOPPING_USEC ||
	    !admit_outlasts(work_usec, left_usec);
}

/*
 * Decides what follows a failed attempt.
 */
enum admit_next
admit_after_failure(const struct admit_failure *failure)
{
	bool again = failure->attempts_left && failure->place_left &&
	    failure->time_left_usec > failure->work_usec;
	bool clean = failure->not_run && !failure->earlier_may_have_run;

	if (again && (failure->repeatable || clean))
		return ADMIT_AGAIN;
	if (failure->answer_begun)
		return ADMIT_BREAK_OFF;
	return clean ? ADMIT_NOT_RUN : ADMIT_UNKNOWN;
}
