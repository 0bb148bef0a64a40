#include <glib.h>

#include "drain.h"

/*
 * Starts the shutdown of a node whose process is killed grace_usec from now.
 */
void
drain_start(struct drain *drain, int64_t now, int64_t grace_usec)
{
	int64_t killed_at = now + grace_usec;

	drain->started_at = now;
	drain->accept_until =
	    now + MIN(DRAIN_ACCEPT_USEC, grace_usec / DRAIN_ACCEPT_SHARE);
	drain->answer_by = killed_at -
	    MIN(DRAIN_ANSWER_MARGIN_USEC,
		grace_usec / DRAIN_ANSWER_MARGIN_SHARE);
	drain->exit_by = killed_at -
	    MIN(DRAIN_EXIT_MARGIN_USEC, grace_usec / DRAIN_EXIT_MARGIN_SHARE);
}

/*
 * Returns whether a request is sent to a server, or else refused.
 */
bool
drain_accepts(
    const struct drain *drain, const struct drain_request *request, int64_t now)
{
	if (!drain_is_active(drain) || request->may_have_run ||
	    request->timeout_at <= drain->answer_by)
		return true;
	return now < drain->accept_until &&
	    now + request->expected_usec <= drain->answer_by;
}

/*
 * Returns the shutdown of a node with the same grace period that began at
 * another time.
 */
static struct drain
begun_at(const struct drain *drain, int64_t started_at)
{
	int64_t shift = started_at - drain->started_at;

	return (struct drain){started_at, drain->accept_until + shift,
	    drain->answer_by + shift, drain->exit_by + shift};
}

/*
 * Returns the time in microseconds after which the caller of a refused request
 * is to retry: after retry_usec if a node will accept the request then, or else
 * after a node is expected to serve again, even if the caller's deadline is
 * near, since an earlier retry is refused as well. jitter is a random number
 * from 0 to 1.
 */
int64_t
drain_retry_usec(const struct drain *drain, const struct drain_peers *peers,
    const struct drain_request *request, int64_t now, int64_t retry_usec,
    double jitter)
{
	struct drain first = *drain;
	struct drain last = *drain;
	int64_t back_at;

	if (peers->first_stopping_at != 0) {
		first = begun_at(
		    drain, MIN(drain->started_at, peers->first_stopping_at));
		last = begun_at(
		    drain, MAX(drain->started_at, peers->last_stopping_at));
	}
	if (peers->serving > 0 ||
	    drain_accepts(&last, request, now + retry_usec))
		return retry_usec;
	back_at = first.exit_by + DRAIN_RESTART_USEC +
	    (int64_t)(DRAIN_RETURN_INTERVALS *
		(double)MAX(now - last.accept_until, 0)) +
	    (int64_t)(jitter * DRAIN_RETURN_JITTER_USEC);
	return MAX(back_at - now, retry_usec);
}
