#include <string.h>

#include "log.h"
#include "router_priv.h"

/* A failed instance is not used for this long. */
/*
 * A chain may need this many times its expected time for a token before it
 * counts as silent, when that is more than the configured time-out.
 */
#define SILENCE_RATIO 4
#define NO_STAGE SIZE_MAX
/*
 * After this silence the stages are asked whether they live. A dead one fails
 * the attempt long before the time-out, which slow ones must be given.
 */
#define SUSPECT_USEC (200 * LOOP_USEC_PER_MSEC)
/*
 * So many tokens in a row, each this many times later than expected and above
 * the target of 46 ms, make the router look for a better chain: one that is
 * expected to be at least twice as fast.
 */
#define SLOW_TOKENS 5
#define SLOW_RATIO 4
#define SLOW_MIN_USEC (46 * LOOP_USEC_PER_MSEC)
#define BETTER_RATIO 2

static void on_token(struct engine_call *, const struct engine_token *, void *);
static void on_end(struct engine_call *, const struct engine_end *, void *);

static const struct engine_listener listener = {on_token, on_end};

/*
 * Fills the stages of the route of a request; the strings belong to the route
 * table and stay valid while the attempt runs.
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
 * Sets the time at which silence fails the attempt. The timer is only moved
 * when it is not set: it checks the time when it runs out.
 */
static void
expect_token(struct job *job, int64_t now)
{
	int64_t wait = job->router->config.token_timeout_usec;
	int64_t expected = SILENCE_RATIO * job->route.token_usec;

	if (job->last_token_at == 0)
		expected += job->route.queue_usec;
	job->silence_at = now + (wait > expected ? wait : expected);
	if (job->silence_at > job->submit->deadline)
		job->silence_at = job->submit->deadline;
	job->suspect_at =
	    now + (SUSPECT_USEC > expected ? SUSPECT_USEC : expected);
	if (job->suspect_at > job->silence_at)
		job->suspect_at = job->silence_at;
	job->suspected = false;
	if (!loop_timer_is_set(job->timer))
		loop_timer_set(job->timer, job->suspect_at);
}

/*
 * Sends an attempt to its first stage. Returns false when it was not sent.
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
 * Starts the next attempt of a request. Without a chain the rest is handed
 * over to another replica; an order, of which nothing was sent, is refused.
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
	job->faulty_stage_found = false;
	job->slow_tokens = 0;
	job->probes = 0;
	job->sent_once = true;
	router_count(ROUTER_ATTEMPTS);
	if (!send_attempt(job)) {
		job->sent_once = false;
		job_end_simple(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "request-invalid", status_message());
		return;
	}
	route_started(router->routes, &job->route);
	job->on_route = true;
	record_dispatch(job, reason);
	loop_timer_clear(job->timer);
	expect_token(job, now);
}

/*
 * Ends the present attempt, without ending the request.
 */
static void
end_attempt(struct job *job)
{
	struct engine *engine = job->router->config.engine;

	loop_timer_clear(job->timer);
	if (job->call != NULL)
		engine->vtable->cancel(engine, job->call);
	job->call = NULL;
	if (job->on_route)
		route_ended(job->router->routes, &job->route);
	job->on_route = false;
}

/*
 * Logs why the present attempt failed.
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
 * Fails the present attempt. A stage that is known to be at fault is avoided;
 * when none is known, the stages are asked whether they live.
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
		load_probe(job);
		end_attempt(job);
		if (job->probes > 0) {
			job->state = JOB_PROBING;
			return;
		}
	}
	end_attempt(job);
	job_retry(job, nothing_ran);
}

/*
 * Fails a silent attempt one of whose stages does not answer; the instance is
 * avoided already.
 */
void
pipeline_on_dead_stage(struct job *job)
{
	if (!job->suspected || job->once || job->last_seen)
		return;
	log_failure(job, "dead-stage");
	end_attempt(job);
	job_retry(job, false);
}

/*
 * Handles the timer of a running attempt: the deadline of the request, or
 * silence of the chain.
 */
void
pipeline_on_timer(struct job *job)
{
	int64_t now = router_now(job->router);

	if (!job->pipeline)
		return;
	if (job->last_seen) {
		/* Only the end of the stream is missing. */
		job_end_simple(job, CH__OUTCOME__OUTCOME_RUN, "", "");
	} else if (now >= job->submit->deadline) {
		job_end_simple(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "deadline-passed",
		    "the deadline passed before the last token");
	} else if (now >= job->silence_at) {
		fail_attempt(job, NO_STAGE, false, "silence");
	} else if (now >= job->suspect_at && !job->suspected) {
		job->suspected = true;
		load_probe(job);
		loop_timer_set(job->timer, job->silence_at);
	} else {
		loop_timer_set(job->timer,
		    job->suspected ? job->silence_at : job->suspect_at);
	}
}

/*
 * Judges a token by request, attempt, position and trail.
 */
static enum trail_verdict
judge(const struct job *job, const struct engine_token *token, size_t *at)
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
	return trail_check(&expected, token, at);
}

/*
 * Notes the time of a token for the limit of the replica and for the links.
 * Returns the time since the token before, 0 for the first one.
 */
static int64_t
observe(struct job *job, int64_t now)
{
	int64_t gap = job->last_token_at > 0 ? now - job->last_token_at : 0;

	job->last_token_at = now;
	if (gap == 0)
		return 0;
	limit_adaptive_observe(
	    &job->replica->limit, gap, job->replica->running, now);
	route_observe(job->router->routes, &job->route, gap, now);
	if (gap > SLOW_RATIO * job->route.token_usec && gap > SLOW_MIN_USEC)
		job->slow_tokens++;
	else
		job->slow_tokens = 0;
	return gap;
}

/*
 * Tells whether two routes use the same instances.
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
 * Gives up an attempt on a chain that has become slow, when there is a better
 * one and the retry budget allows it. The response goes on there.
 */
static void
leave_slow_chain(struct job *job, int64_t gap, int64_t now)
{
	struct router *router = job->router;
	struct route other;
	int64_t at;

	if (job->slow_tokens < SLOW_TOKENS || job->once || job->last_seen ||
	    job->replica->index == INV_NONE)
		return;
	job->slow_tokens = 0;
	if (route_choose(router->routes, job->replica->index, now, router->rand,
		&other) != STATUS_OK ||
	    other.cost_usec * BETTER_RATIO > gap ||
	    same_route(&other, &job->route) || !job_may_move(job, &at))
		return;
	log_failure(job, "slow");
	end_attempt(job);
	job->state = JOB_BACKOFF;
	loop_timer_set(job->timer, at);
}

/*
 * Returns the stage that is at fault for a wrong trail: the one that the
 * wrong step names, else the one whose step is wrong or missing, else the
 * last one, which sent a step too many.
 */
static size_t
faulty_stage(const struct job *job, const struct engine_token *token, size_t at)
{
	struct engine_stage stages[ROUTE_STAGES_MAX];

	fill_stages(job, stages);
	for (uint32_t i = 0; at < token->step_count && i < job->route.count;
	     i++) {
		if (lstr_equal(token->steps[at].instance, stages[i].instance))
			return i;
	}
	return at < job->route.count ? at : job->route.count - 1;
}

/*
 * Fails an attempt whose token may not be delivered. The stage that was found
 * may be the wrong one, so an instance without which no chain is left is only
 * suspected.
 */
static void
reject_token(struct job *job, const struct engine_token *token,
    enum trail_verdict verdict, size_t at)
{
	struct router *router = job->router;
	int64_t now = router_now(router);
	size_t faulty = verdict >= TRAIL_GAP ? faulty_stage(job, token, at) : 0;
	uint32_t slot = job->route.stages[faulty].slot;
	struct route other;

	log_failure(job, trail_verdict_name(verdict));
	route_avoid(router->routes, slot, now + ROUTER_AVOID_USEC);
	if (job->replica->index == INV_NONE ||
	    route_choose(router->routes, job->replica->index, now, NULL,
		&other) != STATUS_OK) {
		route_forgive(router->routes, slot);
		route_penalise(router->routes, slot, now + ROUTER_AVOID_USEC);
	}
	end_attempt(job);
	job_retry(job, false);
}

/*
 * Takes a token. One that may not be delivered fails the attempt.
 */
static void
on_token(struct engine_call *call, const struct engine_token *token, void *arg)
{
	struct job *job = arg;
	int64_t now = router_now(job->router);
	enum trail_verdict verdict;
	int64_t gap;
	size_t at;

	if (call != job->call)
		return;
	verdict =
	    job->last_seen ? TRAIL_WRONG_POSITION : judge(job, token, &at);
	if (verdict != TRAIL_OK) {
		router_count_trail(verdict);
		log_event(EV_TOKEN_REJECTED,
		    "request=%.*s attempt=%u position=%u reason=%s",
		    (int)job->submit->request_id.len,
		    job->submit->request_id.data, job->attempt, token->position,
		    trail_verdict_name(verdict));
		if (!job->last_seen)
			reject_token(job, token, verdict, at);
		return;
	}
	gap = observe(job, now);
	job_add_token(job, token->text);
	job_send_tokens(job);
	job->last_seen = token->last;
	expect_token(job, now);
	leave_slow_chain(job, gap, now);
}

/*
 * Handles the end of the stream of the present attempt.
 */
static void
on_end(struct engine_call *call, const struct engine_end *end, void *arg)
{
	struct job *job = arg;
	struct router *router = job->router;

	if (call != job->call)
		return;
	job->call = NULL;
	if (job->last_seen) {
		job_end_simple(job, CH__OUTCOME__OUTCOME_RUN, "", "");
		return;
	}
	if (end->leaving) {
		route_leaving(router->routes, job->route.stages[0].slot,
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
