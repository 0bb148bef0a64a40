#include <string.h>

#include "log.h"
#include "router_priv.h"

/*
 * A route may take this many times its expected time per token before the
 * attempt counts as silent, if that is longer than the configured timeout.
 */
#define SILENCE_RATIO 4
#define NO_STAGE SIZE_MAX
/*
 * After this silence the stages are probed. A dead stage then fails the attempt
 * well before the token timeout, which has to be long enough for slow stages.
 */
#define PROBE_SILENCE_USEC (200 * LOOP_USEC_PER_MSEC)
/*
 * The router looks for a better route after SLOW_TOKENS consecutive tokens that
 * each took more than SLOW_RATIO times their expected time and longer than the
 * target of 46 ms. The other route must be expected to be at least
 * REROUTE_SPEEDUP_MIN times as fast.
 */
#define SLOW_TOKENS 5
#define SLOW_RATIO 4
#define SLOW_MIN_USEC (46 * LOOP_USEC_PER_MSEC)
#define REROUTE_SPEEDUP_MIN 2

static void on_token(struct engine_call *, const struct engine_token *, void *);
static void on_end(struct engine_call *, const struct engine_end *, void *);

static const struct engine_listener listener = {on_token, on_end};

/*
 * Fills in the stages of the route of a request. The strings belong to the
 * route table and stay valid while the attempt runs.
 */
static void
fill_stages(const struct job *job, struct engine_stage *stages)
{
	for (uint32_t i = 0; i < job->route.count; i++) {
		const struct route_stage *stage = &job->route.stages[i];
		struct route_slot_info info;

		route_slot_info(job->router->routes, stage->slot, 0, &info);
		stages[i].instance = lstr_from(info.name);
		stages[i].address = lstr_from(info.address);
		stages[i].first = stage->first;
		stages[i].last = stage->last;
	}
}

/*
 * Sets the times at which a silent attempt is probed and at which it fails. The
 * timer is set only if it is not running; its handler checks these times when
 * it fires.
 */
static void
set_token_timeout(struct job *job, int64_t now)
{
	int64_t wait = job->router->config.token_timeout_usec;
	int64_t expected = SILENCE_RATIO * job->route.token_usec;

	if (job->last_token_at == 0)
		expected += job->route.queue_usec;
	job->token_deadline = now + (wait > expected ? wait : expected);
	if (job->token_deadline > job->submit->deadline)
		job->token_deadline = job->submit->deadline;
	job->probe_at = now +
	    (PROBE_SILENCE_USEC > expected ? PROBE_SILENCE_USEC : expected);
	if (job->probe_at > job->token_deadline)
		job->probe_at = job->token_deadline;
	job->silence_probed = false;
	if (!loop_timer_is_set(job->timer))
		loop_timer_set(job->timer, job->probe_at);
}

/*
 * Sends an attempt to its first stage. Returns false when it could not be sent.
 */
static bool
send_attempt(struct job *job)
{
	struct engine *engine = job->router->config.engine;
	struct engine_stage stages[ROUTE_STAGES_MAX];
	const Ch__Submit *submit = job->submit;
	struct engine_attempt attempt = {
	    .request =
		lstr_make(submit->request_id.data, submit->request_id.len),
	    .attempt = job->attempt,
	    .stages = stages,
	    .stage_count = job->route.count,
	    .prompt = lstr_make(submit->body.data, submit->body.len),
	    .delivered = (const struct lstr *)job->delivered->data,
	    .delivered_count = job->delivered->len,
	    .start = job->delivered->len,
	    .max_tokens = submit->max_tokens,
	    .priority = job->priority,
	    .deadline = submit->deadline,
	    .fence = job->fence};

	fill_stages(job, stages);
	return engine->vtable->start(
		   engine, &attempt, &listener, job, &job->call) == STATUS_OK;
}

/*
 * Starts the next attempt of a request. When no route exists, the rest of the
 * request moves to another replica; an order, of which nothing was sent, is
 * refused.
 */
void
pipeline_start(struct job *job)
{
	struct router *router = job->router;
	int64_t now = router_now(router);
	Ch__RecordReason reason = job->failures > 0
	    ? CH__RECORD_REASON__RECORD_REASON_RESUMED
	    : job->reason;

	if (!job_choose_route(
		job, "no-chain", "no chain of instances covers all layers"))
		return;
	job->state = JOB_RUNNING;
	job->attempt++;
	job->last_token_at = 0;
	job->dead_stage_found = false;
	job->slow_tokens = 0;
	job->probes_pending = 0;
	job->dispatched = true;
	router_count_event(ROUTER_ATTEMPTS);
	if (!send_attempt(job)) {
		job->dispatched = false;
		job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "request-invalid", status_message());
		return;
	}
	route_attempt_started(router->routes, &job->route);
	job->route_in_use = true;
	record_dispatch(job, reason);
	loop_timer_clear(job->timer);
	set_token_timeout(job, now);
}

/*
 * Ends the current attempt without ending the request.
 */
static void
end_attempt(struct job *job)
{
	struct engine *engine = job->router->config.engine;

	loop_timer_clear(job->timer);
	if (job->call != NULL)
		engine->vtable->cancel(engine, job->call);
	job->call = NULL;
	if (job->route_in_use)
		route_attempt_ended(job->router->routes, &job->route);
	job->route_in_use = false;
}

/*
 * Logs why the current attempt failed.
 */
static void
log_failure(const struct job *job, const char *reason)
{
	log_event(EV_ATTEMPT_FAILED,
	    "request=%.*s attempt=%u delivered=%u reason=%s",
	    (int)job->submit->request_id.len, job->submit->request_id.data,
	    job->attempt, job->delivered->len, reason);
}

/*
 * Fails the current attempt. A stage that is known to be faulty is avoided; if
 * none is known, the stages are probed.
 */
static void
fail_attempt(
    struct job *job, size_t stage, bool nothing_ran, const char *reason)
{
	struct router *router = job->router;

	log_failure(job, reason);
	job->maybe_ran = job->maybe_ran || !nothing_ran;
	if (stage != NO_STAGE)
		route_avoid(router->routes, job->route.stages[stage].slot,
		    router_now(router) + ROUTER_AVOID_USEC);
	if (stage == NO_STAGE && !job->once) {
		load_probe_stages(job);
		end_attempt(job);
		if (job->probes_pending > 0) {
			job->state = JOB_PROBING;
			return;
		}
	}
	end_attempt(job);
	job_retry(job, nothing_ran);
}

/*
 * Fails a silent attempt after one of its stages failed the probe. The caller
 * has already excluded that instance from routes.
 */
void
pipeline_on_dead_stage(struct job *job)
{
	if (!job->silence_probed || job->once || job->answer_complete)
		return;
	log_failure(job, "dead-stage");
	end_attempt(job);
	job_retry(job, false);
}

/*
 * Handles the timer of a running attempt: the deadline of the request, the
 * probe of a silent route or the token timeout.
 */
void
pipeline_on_timer(struct job *job)
{
	int64_t now = router_now(job->router);

	if (!job->pipeline)
		return;
	if (job->answer_complete) {
		/*
		 * All tokens have arrived; only the end of the stream is
		 * missing.
		 */
		job_finish_with(job, CH__OUTCOME__OUTCOME_RUN, "", "");
	} else if (now >= job->submit->deadline) {
		job_finish_with(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "deadline-passed",
		    "the deadline passed before the last token");
	} else if (now >= job->token_deadline) {
		fail_attempt(job, NO_STAGE, false, "silence");
	} else if (now >= job->probe_at && !job->silence_probed) {
		job->silence_probed = true;
		load_probe_stages(job);
		loop_timer_set(job->timer, job->token_deadline);
	} else {
		loop_timer_set(job->timer,
		    job->silence_probed ? job->token_deadline : job->probe_at);
	}
}

/*
 * Validates the request, attempt, position and trail of a token. Stores the
 * index of the wrong step, which is also the index of its stage.
 */
static enum trail_verdict
validate_token(const struct job *job, const struct engine_token *token,
    size_t *stage_index)
{
	struct engine_stage stages[ROUTE_STAGES_MAX];
	struct trail_expected expected = {
	    .request = lstr_make(
		job->submit->request_id.data, job->submit->request_id.len),
	    .attempt = job->attempt,
	    .position = job->delivered->len,
	    .stages = stages,
	    .stage_count = job->route.count};

	fill_stages(job, stages);
	return trail_check(&expected, token, stage_index);
}

/*
 * Records the time since the previous token for the concurrency limit of the
 * replica and for the routes. Returns that time in microseconds, 0 for the
 * first token.
 */
static int64_t
observe_token_gap(struct job *job, int64_t now)
{
	int64_t gap = job->last_token_at > 0 ? now - job->last_token_at : 0;

	job->last_token_at = now;
	if (gap == 0)
		return 0;
	limit_adaptive_observe(
	    &job->replica->limit, gap, job->replica->running, now);
	route_observe_gap(job->router->routes, &job->route, gap, now);
	if (gap > SLOW_RATIO * job->route.token_usec && gap > SLOW_MIN_USEC)
		job->slow_tokens++;
	else
		job->slow_tokens = 0;
	return gap;
}

/*
 * Returns whether two routes use the same instances.
 */
static bool
same_route(const struct route *a, const struct route *b)
{
	if (a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++) {
		if (a->stages[i].slot != b->stages[i].slot)
			return false;
	}
	return true;
}

/*
 * Ends an attempt on a route that has become slow, if a better route exists and
 * the retry budget allows it. The next attempt resumes the response there.
 */
static void
reroute_if_slow(struct job *job, int64_t gap, int64_t now)
{
	struct router *router = job->router;
	struct route other;
	int64_t at;

	if (job->slow_tokens < SLOW_TOKENS || job->once ||
	    job->answer_complete || job->replica->index == INV_NONE)
		return;
	job->slow_tokens = 0;
	if (route_choose(router->routes, job->replica->index, now, router->rand,
		&other) != STATUS_OK ||
	    other.cost_usec * REROUTE_SPEEDUP_MIN > gap ||
	    same_route(&other, &job->route) || !job_try_reroute(job, &at))
		return;
	log_failure(job, "slow");
	end_attempt(job);
	job->state = JOB_BACKOFF;
	loop_timer_set(job->timer, at);
}

/*
 * Returns the stage responsible for a wrong trail: the stage named by the wrong
 * step, else the stage whose step is wrong or missing, else the last stage,
 * which sent a superfluous step.
 */
static size_t
faulty_stage(
    const struct job *job, const struct engine_token *token, size_t stage_index)
{
	struct engine_stage stages[ROUTE_STAGES_MAX];

	fill_stages(job, stages);
	for (uint32_t i = 0;
	     stage_index < token->step_count && i < job->route.count; i++) {
		if (lstr_equal(
			token->steps[stage_index].instance, stages[i].instance))
			return i;
	}
	return stage_index < job->route.count ? stage_index
					      : job->route.count - 1;
}

/*
 * Fails an attempt whose token was rejected. The stage found responsible may be
 * the wrong one, so an instance without which no route is left is only
 * penalised.
 */
static void
reject_token(struct job *job, const struct engine_token *token,
    enum trail_verdict verdict, size_t stage_index)
{
	struct router *router = job->router;
	int64_t now = router_now(router);
	size_t faulty =
	    verdict >= TRAIL_GAP ? faulty_stage(job, token, stage_index) : 0;
	uint32_t slot = job->route.stages[faulty].slot;
	struct route other;

	log_failure(job, trail_verdict_name(verdict));
	route_avoid(router->routes, slot, now + ROUTER_AVOID_USEC);
	if (job->replica->index == INV_NONE ||
	    route_choose(router->routes, job->replica->index, now, NULL,
		&other) != STATUS_OK) {
		route_clear_avoid(router->routes, slot);
		route_penalise(router->routes, slot, now + ROUTER_AVOID_USEC);
	}
	end_attempt(job);
	job_retry(job, false);
}

/*
 * Handles a token. A token that must not be delivered fails the attempt.
 */
static void
on_token(struct engine_call *call, const struct engine_token *token, void *arg)
{
	struct job *job = arg;
	int64_t now = router_now(job->router);
	enum trail_verdict verdict;
	int64_t gap;
	size_t stage_index;

	if (call != job->call)
		return;
	verdict = job->answer_complete
	    ? TRAIL_WRONG_POSITION
	    : validate_token(job, token, &stage_index);
	if (verdict != TRAIL_OK) {
		router_count_rejected_token(verdict);
		log_event(EV_TOKEN_REJECTED,
		    "request=%.*s attempt=%u position=%u reason=%s",
		    (int)job->submit->request_id.len,
		    job->submit->request_id.data, job->attempt, token->position,
		    trail_verdict_name(verdict));
		if (!job->answer_complete)
			reject_token(job, token, verdict, stage_index);
		return;
	}
	gap = observe_token_gap(job, now);
	job_add_token(job, token->text);
	job_send_tokens(job);
	job->answer_complete = token->last;
	set_token_timeout(job, now);
	reroute_if_slow(job, gap, now);
}

/*
 * Handles the end of the stream of the current attempt.
 */
static void
on_end(struct engine_call *call, const struct engine_end *end, void *arg)
{
	struct job *job = arg;
	struct router *router = job->router;

	if (call != job->call)
		return;
	job->call = NULL;
	if (job->answer_complete) {
		job_finish_with(job, CH__OUTCOME__OUTCOME_RUN, "", "");
		return;
	}
	if (end->leaving) {
		route_set_leaving(router->routes, job->route.stages[0].slot,
		    ROUTE_SOURCE_ENGINE, true, router_now(router));
		router_report_leaving(router, job->route.stages[0].slot, true);
		end_attempt(job);
		job_retry(job, !end->maybe_run);
	} else if (!end->maybe_run || end->status == STATUS_INVALID) {
		fail_attempt(job, 0, !end->maybe_run, status_name(end->status));
	} else {
		fail_attempt(job, NO_STAGE, false, status_name(end->status));
	}
}
