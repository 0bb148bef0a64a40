#include <string.h>

#include "log.h"
#include "router_priv.h"

/*
 * Excludes the instance of a failed call from routes: as leaving if it reported
 * that, otherwise for ROUTER_AVOID_USEC.
 */
static void
mark_instance_failed(struct job *job, const struct plain_result *result)
{
	struct router *router = job->router;
	uint32_t slot = job->route.stages[0].slot;
	int64_t now = router_now(router);

	if (result->leaving) {
		route_set_leaving(
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
on_call_done(const struct plain_result *result, void *arg)
{
	struct job *job = arg;
	struct job_result answer = {.outcome = CH__OUTCOME__OUTCOME_RUN,
	    .code = "",
	    .message = "",
	    .status = result->http_status,
	    .body = result->body};

	job->plain_call = NULL;
	if (result->status == STATUS_OK) {
		job->answer_complete = true;
		job_finish(job, &answer);
		return;
	}
	mark_instance_failed(job, result);
	if (job->route_in_use)
		route_attempt_ended(job->router->routes, &job->route);
	job->route_in_use = false;
	job_retry(job, !result->maybe_run);
}

/*
 * Returns the deadline of a call. A call that may be repeated gets half of the
 * remaining time, which leaves time for a second instance if the first does not
 * answer.
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
	return plain->vtable->start(plain, &request, on_call_done, job,
		   &job->plain_call) == STATUS_OK;
}

/*
 * Starts the call of a request to a plain service. For an order this happens at
 * most once, after its claim was granted and before the deadline and the claim
 * expire.
 */
void
plain_start(struct job *job)
{
	struct router *router = job->router;
	int64_t now = router_now(router);

	if (!job_choose_route(
		job, "no-instance", "no instance of the replica is usable"))
		return;
	job->state = JOB_RUNNING;
	job->attempt++;
	job->dispatched = true;
	router_count_event(ROUTER_ATTEMPTS);
	if (!send_call(job, now)) {
		job->dispatched = false;
		job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "request-invalid", status_message());
		return;
	}
	route_attempt_started(router->routes, &job->route);
	job->route_in_use = true;
	record_dispatch(job,
	    job->failures > 0 ? CH__RECORD_REASON__RECORD_REASON_RESUMED
			      : job->reason);
}
