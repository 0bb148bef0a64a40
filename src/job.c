#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "router_priv.h"

/*
 * Maximum attempts of one submission; afterwards the rest of the request moves
 * to another replica.
 */
#define ATTEMPTS_MAX 4
/* A submission is copied to the job, to the text of the call and into the
 * buffer of the connection. */
#define SUBMIT_COPIES 3
/* Memory of a delivered token besides its text. */
#define TOKEN_OVERHEAD_BYTES 32

/*
 * Returns a copy of a submission, or NULL when memory runs out.
 */
static Ch__Submit *
copy_submit(const Ch__Submit *submit)
{
	size_t len = ch__submit__get_packed_size(submit);
	uint8_t *bytes = g_malloc(len + 1);
	Ch__Submit *copy;

	ch__submit__pack(submit, bytes);
	copy = ch__submit__unpack(NULL, len, bytes);
	g_free(bytes);
	return copy;
}

/*
 * Returns the memory that a job needs for its submission.
 */
size_t
job_submit_bytes(const Ch__Submit *submit)
{
	return sizeof(struct job) +
	    SUBMIT_COPIES * ch__submit__get_packed_size(submit);
}

/*
 * Counts memory of a job, which is released with it.
 */
static void
count_bytes(struct job *job, size_t bytes)
{
	job->bytes += bytes;
	job->router->jobs_bytes += bytes;
}

/*
 * Creates the job of a submission and adds it to the tables of the router and
 * of its entry. Returns NULL when memory runs out.
 */
struct job *
job_create(
    struct router *router, struct router_entry *entry, const Ch__Submit *submit)
{
	struct job *job = g_new0(struct job, 1);

	job->submit = copy_submit(submit);
	if (job->submit == NULL ||
	    loop_timer_create(router->config.loop, job_on_timer, job,
		&job->timer) != STATUS_OK) {
		if (job->submit != NULL)
			ch__submit__free_unpacked(job->submit, NULL);
		g_free(job);
		return NULL;
	}
	job->router = router;
	count_bytes(job, job_submit_bytes(submit));
	job->id = ++router->next_job_id;
	job->entry = entry;
	job->state = JOB_QUEUED;
	job->delivered = g_array_new(FALSE, FALSE, sizeof(struct lstr));
	for (size_t i = 0; i < submit->n_delivered; i++)
		job_add_token(job,
		    lstr_make(
			submit->delivered[i].data, submit->delivered[i].len));
	job->tokens_sent = job->delivered->len;
	job->attempt = submit->attempt > 0 ? submit->attempt - 1 : 0;
	g_hash_table_insert(router->jobs, &job->id, job);
	g_hash_table_insert(entry->jobs, &job->submit->stream, job);
	return job;
}

/*
 * Returns the request with an id, or NULL when it has ended.
 */
struct job *
job_find(const struct router *router, uint64_t id)
{
	return g_hash_table_lookup(router->jobs, &id);
}

/*
 * Detaches a request from its entry, which receives no further messages for it.
 */
void
job_detach_entry(struct job *job)
{
	if (job->entry == NULL)
		return;
	g_hash_table_remove(job->entry->jobs, &job->submit->stream);
	job->entry = NULL;
}

/*
 * Frees a request whose work was stopped.
 */
void
job_free(struct job *job)
{
	struct router *router = job->router;

	claims_remove_job(job);
	job_detach_entry(job);
	router->jobs_bytes -= job->bytes;
	g_hash_table_remove(router->jobs, &job->id);
	for (guint i = 0; i < job->delivered->len; i++)
		g_free(
		    (char *)g_array_index(job->delivered, struct lstr, i).data);
	g_array_free(job->delivered, TRUE);
	lstr_buf_free(&job->held_body);
	loop_timer_destroy(job->timer);
	ch__submit__free_unpacked(job->submit, NULL);
	g_free(job);
	router_check_drained(router);
}

/*
 * Appends a copy of a token to the response.
 */
void
job_add_token(struct job *job, struct lstr text)
{
	struct lstr copy = {g_malloc(text.len + 1), text.len};

	if (text.len > 0)
		memcpy((char *)copy.data, text.data, text.len);
	g_array_append_val(job->delivered, copy);
	count_bytes(job, text.len + TOKEN_OVERHEAD_BYTES);
}

/*
 * Sends the tokens that the entry has not received, unless the answer is held
 * for the replication of its record entry.
 */
void
job_send_tokens(struct job *job)
{
	while (!job->held && job->tokens_sent < job->delivered->len) {
		struct lstr text = g_array_index(
		    job->delivered, struct lstr, job->tokens_sent);
		Ch__Frame frame = CH__FRAME__INIT;
		Ch__Token token = CH__TOKEN__INIT;

		token.stream = job->submit->stream;
		token.position = job->tokens_sent;
		token.text.data = (uint8_t *)text.data;
		token.text.len = text.len;
		frame.kind_case = CH__FRAME__KIND_TOKEN;
		frame.token = &token;
		if (job->entry != NULL)
			job->entry->vtable->send(job->entry, &frame);
		job->tokens_sent++;
	}
}

/*
 * Counts the outcome of a request.
 */
static void
count_outcome(Ch__Outcome outcome)
{
	switch (outcome) {
	case CH__OUTCOME__OUTCOME_RUN:
		router_count_event(ROUTER_OUTCOME_RUN);
		break;
	case CH__OUTCOME__OUTCOME_NOT_RUN:
		router_count_event(ROUTER_OUTCOME_NOT_RUN);
		break;
	case CH__OUTCOME__OUTCOME_MOVED:
		router_count_event(ROUTER_OUTCOME_MOVED);
		break;
	default:
		router_count_event(ROUTER_OUTCOME_UNKNOWN);
		break;
	}
}

/*
 * Sends the result of a request to its entry and to the duplicates that wait
 * for it, and frees the request. If it moves, tokens that were not sent are
 * dropped, because another replica generates them again.
 */
static void
send_result(struct job *job, const struct job_result *result)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Done done = CH__DONE__INIT;

	job->held = false;
	if (result->outcome != CH__OUTCOME__OUTCOME_MOVED)
		job_send_tokens(job);
	done.stream = job->submit->stream;
	done.outcome = result->outcome;
	done.code = (char *)result->code;
	done.message = (char *)result->message;
	done.retry_at = result->retry_at;
	done.tokens = job->tokens_sent;
	done.status = result->status;
	done.body.data = (uint8_t *)result->body.data;
	done.body.len = result->body.len;
	done.attempt = job->attempt;
	frame.kind_case = CH__FRAME__KIND_DONE;
	frame.done = &done;
	count_outcome(result->outcome);
	if (job->entry != NULL)
		job->entry->vtable->send(job->entry, &frame);
	claims_answer_duplicates(job, result);
	job_free(job);
}

/*
 * Stops the work of a request: cancels its calls and removes it from the queue
 * or the running requests of its replica.
 */
void
job_stop_work(struct job *job)
{
	struct router *router = job->router;

	loop_timer_clear(job->timer);
	if (job->call != NULL)
		router->config.engine->vtable->cancel(
		    router->config.engine, job->call);
	if (job->plain_call != NULL)
		router->config.plain->vtable->cancel(
		    router->config.plain, job->plain_call);
	job->call = NULL;
	job->plain_call = NULL;
	if (job->route_in_use)
		route_attempt_ended(router->routes, &job->route);
	job->route_in_use = false;
	replica_remove_job(job);
}

/*
 * Ends a request. A complete answer is held until its record entry is
 * replicated; any other result is sent immediately.
 */
void
job_finish(struct job *job, const struct job_result *result)
{
	struct replica *replica = job->replica;

	job_stop_work(job);
	claims_resolve(job, result);
	if (job->held && result->outcome == CH__OUTCOME__OUTCOME_RUN) {
		job->state = JOB_HELD;
		job->held_outcome = result->outcome;
		job->held_status = result->status;
		lstr_buf_append(&job->held_body, result->body);
	} else {
		send_result(job, result);
	}
	if (replica != NULL)
		replica_dispatch(replica);
}

/*
 * Ends a request with a result that has no body and no retry time.
 */
void
job_finish_with(
    struct job *job, Ch__Outcome outcome, const char *code, const char *message)
{
	struct job_result result = {.outcome = outcome,
	    .code = code,
	    .message = message,
	    .body = lstr_from("")};

	job_finish(job, &result);
}

/*
 * Releases the answer of a request after its record entry was replicated or the
 * wait for that has timed out.
 */
void
job_release_answer(struct job *job)
{
	struct job_result result = {.outcome = job->held_outcome,
	    .code = "",
	    .message = "",
	    .status = job->held_status,
	    .body = lstr_buf_view(&job->held_body)};

	if (!job->held)
		return;
	job->held = false;
	if (job->state == JOB_HELD)
		send_result(job, &result);
	else
		job_send_tokens(job);
}

/*
 * Cancels a request because its entry asked for it or has disconnected. An
 * order that was sent runs to its end so that its outcome can be reported; any
 * other request stops.
 */
void
job_cancel(struct job *job)
{
	struct replica *replica = job->replica;
	struct job_result result = {.outcome = CH__OUTCOME__OUTCOME_NOT_RUN,
	    .code = "cancelled",
	    .message = "the caller cancelled the request before it was sent",
	    .body = lstr_from("")};

	router_count_event(ROUTER_CANCELLED);
	job_detach_entry(job);
	if (job->state == JOB_HELD || (job->once && job->dispatched))
		return;
	job_stop_work(job);
	claims_resolve(job, &result);
	claims_answer_duplicates(job, &result);
	job_free(job);
	if (replica != NULL)
		replica_dispatch(replica);
}

/*
 * Returns the retry budget of the service of a request.
 */
static struct retry_budget *
retry_budget_for(struct job *job)
{
	return g_hash_table_lookup(job->router->budgets, job->submit->service);
}

/*
 * Ends a request that retry_decide() does not allow to be retried.
 */
static void
finish_without_retry(struct job *job, enum retry_verdict verdict)
{
	router_count_event(ROUTER_RETRIES_REFUSED);
	job_finish_with(job,
	    job->maybe_ran ? CH__OUTCOME__OUTCOME_UNKNOWN
			   : CH__OUTCOME__OUTCOME_NOT_RUN,
	    retry_verdict_name(verdict),
	    job->maybe_ran ? "an attempt failed after it may have run"
			   : "no backend server took the request");
}

/*
 * Ends an order whose only attempt failed. An order is never sent twice,
 * whatever the failure was.
 */
static void
finish_failed_order(struct job *job)
{
	if (job->maybe_ran)
		job_finish_with(job, CH__OUTCOME__OUTCOME_UNKNOWN, "no-answer",
		    "the order was sent and no complete answer came; ask "
		    "again with the same key");
	else
		job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "backend-unavailable",
		    "no backend server took the request");
}

/*
 * Decides what follows a failed attempt whose calls have ended: another attempt
 * after a backoff, another replica, or the end of the request.
 */
void
job_retry(struct job *job, bool nothing_ran)
{
	struct retry_attempt failed = {
	    !job->once, nothing_ran, ++job->failures, job->submit->deadline};
	enum retry_verdict verdict;
	int64_t at = 0;

	job->maybe_ran = job->maybe_ran || !nothing_ran;
	if (job->once) {
		finish_failed_order(job);
		return;
	}
	if (job->failures >= ATTEMPTS_MAX || job->router->draining) {
		job_finish_with(job, CH__OUTCOME__OUTCOME_MOVED, "moved",
		    "the attempts on this replica failed");
		return;
	}
	verdict = retry_decide(retry_budget_for(job), &failed,
	    router_now(job->router), job->router->rand, &at);
	if (verdict != RETRY_OK) {
		finish_without_retry(job, verdict);
		return;
	}
	router_count_event(ROUTER_RETRIES);
	job->state = JOB_BACKOFF;
	loop_timer_set(job->timer, at);
}

/*
 * Tries to charge the retry budget for leaving a running attempt for a better
 * route. On success it returns true and stores when the next attempt starts;
 * without budget the running attempt continues.
 */
bool
job_try_reroute(struct job *job, int64_t *at)
{
	struct retry_attempt failed = {
	    !job->once, false, job->failures + 1, job->submit->deadline};

	if (job->failures + 1 >= ATTEMPTS_MAX || job->router->draining ||
	    retry_decide(retry_budget_for(job), &failed,
		router_now(job->router), job->router->rand, at) != RETRY_OK)
		return false;
	job->failures++;
	job->maybe_ran = true;
	router_count_event(ROUTER_RETRIES);
	return true;
}

/*
 * Returns whether a request may be sent now. An order may be sent once, after
 * its claim was granted and before its deadline, which is never later than the
 * expiry of the claim.
 */
static bool
may_send(const struct job *job)
{
	assert(!job->once || (job->claim_granted && !job->dispatched));
	return router_now(job->router) < job->submit->deadline;
}

/*
 * Chooses the route of the next attempt. Returns false after ending the
 * request: when no route exists, the rest of the request moves to another
 * replica with the given code, or an order, of which nothing was sent, is
 * refused; after the deadline nothing more is sent.
 */
bool
job_choose_route(struct job *job, const char *code, const char *message)
{
	struct router *router = job->router;

	if (job->replica->index == INV_NONE ||
	    route_choose(router->routes, job->replica->index,
		router_now(router), router->rand, &job->route) != STATUS_OK) {
		job_finish_with(job,
		    job->once ? CH__OUTCOME__OUTCOME_NOT_RUN
			      : CH__OUTCOME__OUTCOME_MOVED,
		    code, message);
		return false;
	}
	if (!may_send(job)) {
		job_finish_with(job,
		    job->maybe_ran ? CH__OUTCOME__OUTCOME_UNKNOWN
				   : CH__OUTCOME__OUTCOME_NOT_RUN,
		    "deadline-passed",
		    "the deadline passed before the request was sent");
		return false;
	}
	return true;
}

/*
 * Handles the timer of a request according to its state.
 */
void
job_on_timer(void *arg)
{
	struct job *job = arg;

	switch (job->state) {
	case JOB_CLAIMING:
		claims_on_timeout(job);
		break;
	case JOB_WAITING:
		job_finish_with(job, CH__OUTCOME__OUTCOME_UNKNOWN,
		    "duplicate-in-progress",
		    "another request with this key has not ended; ask again "
		    "with the same key");
		break;
	case JOB_RUNNING:
		pipeline_on_timer(job);
		break;
	case JOB_PROBING:
	case JOB_BACKOFF:
		if (job->pipeline)
			pipeline_start(job);
		else
			plain_start(job);
		break;
	case JOB_QUEUED:
	case JOB_HELD:
		break;
	}
}
