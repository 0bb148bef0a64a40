#include <string.h>

#include "log.h"
#include "router_priv.h"

/* A failed instance is not used for this long. */

/*
 * Marks the instance of a failed call.
 */
static void
mark_failed(struct job *job, const struct plain_result *result)
{
	struct router *router = job->router;
	uint32_t slot = job->route.stages[0].slot;
	int64_t now = router_now(router);

	if (result->leaving) {
		route_leaving(
		    router->routes, slot, ROUTE_SOURCE_ENGINE, true, now);
		router_report_leaving(router, slot, true);
	} else {
		route_avoid(router->routes, slot, now + ROUTER_AVOID_USEC);
	}
	log_event(EV_ATTEMPT_FAILED,
	    "request=%.*s attempt=%u maybe_run=%d reason=%s",
	    (int)job->submit->request_id.len, job->submit->request_id.data,
	    job->attempt, result->maybe_run,
	    result->leaving ? "leaving" : status_name(result->status));
}

/*
 * Handles the end of a call.
 */
static void
on_done(const struct plain_result *result, void *arg)
{
	struct job *job = arg;
	struct job_end end = {.outcome = CH__OUTCOME__OUTCOME_RUN,
	    .code = "",
	    .message = "",
	    .status = result->http_status,
	    .body = result->body};

	job->plain_call = NULL;
	if (result->status == STATUS_OK) {
		job->last_seen = true;
		job_finish(job, &end);
		return;
	}
	mark_failed(job, result);
	if (job->on_route)
		route_ended(job->router->routes, &job->route);
	job->on_route = false;
	job_retry(job, !result->maybe_run);
}

/*
 * Returns the deadline of one call. A call that may be repeated gets half of
 * the time that is left, so that a silent instance leaves time for another.
 */
static int64_t
call_deadline(const struct job *job, int64_t now)
{
	if (job->once)
		return job->submit->deadline;
	return now + (job->submit->deadline - now) / 2;
}

/*
 * Sends the call of a request. Returns false when nothing was sent.
 */
static bool
send_call(struct job *job, int64_t now)
{
	struct plain *plain = job->router->config.plain;
	const Ch__Submit *submit = job->submit;
	struct route_slot_info info;
	struct plain_request request = {
	    .request =
		lstr_make(submit->request_id.data, submit->request_id.len),
	    .operation = lstr_from(submit->operation),
	    .body = lstr_make(submit->body.data, submit->body.len),
	    .key = lstr_from(submit->idempotency_key),
	    .fence = job->fence,
	    .deadline = call_deadline(job, now),
	    .once = job->once};

	route_slot_info(
	    job->router->routes, job->route.stages[0].slot, now, &info);
	request.address = lstr_from(info.address);
	return plain->vtable->start(plain, &request, on_done, job,
		   &job->plain_call) == STATUS_OK;
}

/*
 * Calls a plain service. An order gets here once, after its claim was granted
 * and before deadline and claim have run out.
 */
void
plain_begin(struct job *job)
{
	struct router *router = job->router;
	int64_t now = router_now(router);

	if (!job_choose_route(
		job, "no-instance", "no instance of the replica is usable"))
		return;
	job->state = JOB_RUNNING;
	job->attempt++;
	job->sent_once = true;
	router_count(ROUTER_ATTEMPTS);
	if (!send_call(job, now)) {
		job->sent_once = false;
		job_end_simple(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "request-invalid", status_message());
		return;
	}
	route_started(router->routes, &job->route);
	job->on_route = true;
	record_dispatch(job,
	    job->failures > 0 ? CH__RECORD_REASON__RECORD_REASON_RESUMED
			      : job->reason);
}
