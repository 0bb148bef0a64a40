#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "router_priv.h"

/* Attempts of one submission; afterwards the rest goes to another replica. */
#define ATTEMPTS_MAX 4

/*
 * Copies a submission.
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
 * Creates the state of a request and enters it in the tables of the router
 * and of its entry. Returns NULL when memory runs out.
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
	job->id = ++router->next_job;
	job->entry = entry;
	job->state = JOB_QUEUED;
	job->delivered = g_array_new(FALSE, FALSE, sizeof(struct lstr));
	for (size_t i = 0; i < submit->n_delivered; i++)
		job_add_token(job,
		    lstr_make(
			submit->delivered[i].data, submit->delivered[i].len));
	job->sent = job->delivered->len;
	job->attempt = submit->attempt > 0 ? submit->attempt - 1 : 0;
	g_hash_table_insert(router->jobs, &job->id, job);
	g_hash_table_insert(entry->jobs, &job->submit->stream, job);
	return job;
}

/*
 * Returns the request with a number, or NULL when it has ended.
 */
struct job *
job_find(const struct router *router, uint64_t id)
{
	return g_hash_table_lookup(router->jobs, &id);
}

/*
 * Cuts a request off its entry; nothing more is sent to it.
 */
void
job_leave(struct job *job)
{
	if (job->entry == NULL)
		return;
	g_hash_table_remove(job->entry->jobs, &job->submit->stream);
	job->entry = NULL;
}

/*
 * Frees a request that has been stopped.
 */
void
job_free(struct job *job)
{
	struct router *router = job->router;

	claims_forget(job);
	job_leave(job);
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
 * Adds a copy of a token to those of the response.
 */
void
job_add_token(struct job *job, struct lstr text)
{
	struct lstr copy = {g_malloc(text.len + 1), text.len};

	if (text.len > 0)
		memcpy((char *)copy.data, text.data, text.len);
	g_array_append_val(job->delivered, copy);
}

/*
 * Sends the tokens that the entry does not have yet, unless the copy of the
 * record entry is still awaited.
 */
void
job_send_tokens(struct job *job)
{
	while (!job->held && job->sent < job->delivered->len) {
		struct lstr text =
		    g_array_index(job->delivered, struct lstr, job->sent);
		Ch__Frame frame = CH__FRAME__INIT;
		Ch__Token token = CH__TOKEN__INIT;

		token.stream = job->submit->stream;
		token.position = job->sent;
		token.text.data = (uint8_t *)text.data;
		token.text.len = text.len;
		frame.kind_case = CH__FRAME__KIND_TOKEN;
		frame.token = &token;
		if (job->entry != NULL)
			job->entry->vtable->send(job->entry, &frame);
		job->sent++;
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
		router_count(ROUTER_RUN);
		break;
	case CH__OUTCOME__OUTCOME_NOT_RUN:
		router_count(ROUTER_NOT_RUN);
		break;
	case CH__OUTCOME__OUTCOME_MOVED:
		router_count(ROUTER_MOVED);
		break;
	default:
		router_count(ROUTER_UNKNOWN);
		break;
	}
}

/*
 * Sends the end of a request to its entry and to the requests that wait for
 * it, and frees it. For moved requests the tokens that the entry does not
 * have are dropped: another replica makes them again.
 */
static void
deliver_end(struct job *job, const struct job_end *end)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Done done = CH__DONE__INIT;

	job->held = false;
	if (end->outcome != CH__OUTCOME__OUTCOME_MOVED)
		job_send_tokens(job);
	done.stream = job->submit->stream;
	done.outcome = end->outcome;
	done.code = (char *)end->code;
	done.message = (char *)end->message;
	done.retry_at = end->retry_at;
	done.tokens = job->sent;
	done.status = end->status;
	done.body.data = (uint8_t *)end->body.data;
	done.body.len = end->body.len;
	done.attempt = job->attempt;
	frame.kind_case = CH__FRAME__KIND_DONE;
	frame.done = &done;
	count_outcome(end->outcome);
	if (job->entry != NULL)
		job->entry->vtable->send(job->entry, &frame);
	claims_answer(job, end);
	job_free(job);
}

/*
 * Ends what a request does: its calls, its place in the queue, its slot on
 * the replica.
 */
void
job_stop(struct job *job)
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
	if (job->on_route)
		route_ended(router->routes, &job->route);
	job->on_route = false;
	replica_job_ended(job);
}

/*
 * Ends a request. A complete answer waits for the copy of its record entry;
 * every other end is sent at once.
 */
void
job_finish(struct job *job, const struct job_end *end)
{
	struct replica *replica = job->replica;

	job_stop(job);
	claims_settle(job, end);
	if (job->held && end->outcome == CH__OUTCOME__OUTCOME_RUN) {
		job->state = JOB_HELD;
		job->held_outcome = end->outcome;
		job->held_status = end->status;
		lstr_buf_append(&job->held_body, end->body);
	} else {
		deliver_end(job, end);
	}
	if (replica != NULL)
		replica_dispatch(replica);
}

/*
 * Ends a request without a body or a retry time.
 */
void
job_end_simple(
    struct job *job, Ch__Outcome outcome, const char *code, const char *message)
{
	struct job_end end = {.outcome = outcome,
	    .code = code,
	    .message = message,
	    .body = lstr_from("")};

	job_finish(job, &end);
}

/*
 * Goes on after the record entry of a request was copied, or is not awaited
 * any longer.
 */
void
job_release(struct job *job)
{
	struct job_end end = {.outcome = job->held_outcome,
	    .code = "",
	    .message = "",
	    .status = job->held_status,
	    .body = lstr_buf_view(&job->held_body)};

	if (!job->held)
		return;
	job->held = false;
	if (job->state == JOB_HELD)
		deliver_end(job, &end);
	else
		job_send_tokens(job);
}

/*
 * Handles the wish of an entry, or the loss of it. An order that was sent
 * runs to its end, so that its outcome is reported; anything else stops.
 */
void
job_cancel(struct job *job)
{
	struct replica *replica = job->replica;
	struct job_end end = {.outcome = CH__OUTCOME__OUTCOME_NOT_RUN,
	    .code = "cancelled",
	    .message = "the caller cancelled the request before it was sent",
	    .body = lstr_from("")};

	router_count(ROUTER_CANCELLED);
	job_leave(job);
	if (job->state == JOB_HELD || (job->once && job->sent_once))
		return;
	job_stop(job);
	claims_settle(job, &end);
	claims_answer(job, &end);
	job_free(job);
	if (replica != NULL)
		replica_dispatch(replica);
}

/*
 * Returns the retry budget of the service of a request.
 */
static struct retry_budget *
budget_for(struct job *job)
{
	return g_hash_table_lookup(job->router->budgets, job->submit->service);
}

/*
 * Ends a request that is not tried again, for a reason of retry.c.
 */
static void
give_up(struct job *job, enum retry_verdict verdict)
{
	router_count(ROUTER_RETRIES_REFUSED);
	job_end_simple(job,
	    job->maybe_ran ? CH__OUTCOME__OUTCOME_UNKNOWN
			   : CH__OUTCOME__OUTCOME_NOT_RUN,
	    retry_verdict_name(verdict),
	    job->maybe_ran ? "an attempt failed after it may have run"
			   : "no backend server took the request");
}

/*
 * Ends an order that failed. It is sent once, whatever happened to it.
 */
static void
end_order(struct job *job)
{
	if (job->maybe_ran)
		job_end_simple(job, CH__OUTCOME__OUTCOME_UNKNOWN, "no-answer",
		    "the order was sent and no complete answer came; ask "
		    "again with the same key");
	else
		job_end_simple(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "backend-unavailable",
		    "no backend server took the request");
}

/*
 * Decides what follows a failed attempt whose calls have ended: another
 * attempt after a backoff, another replica, or the end.
 */
void
job_retry(struct job *job, bool nothing_ran)
{
	struct retry_case failed = {!job->once, nothing_ran, ++job->failures,
	    job->submit->deadline, false};
	enum retry_verdict verdict;
	int64_t at = 0;

	job->maybe_ran = job->maybe_ran || !nothing_ran;
	if (job->once) {
		end_order(job);
		return;
	}
	if (job->failures >= ATTEMPTS_MAX || job->router->draining) {
		job_end_simple(job, CH__OUTCOME__OUTCOME_MOVED, "moved",
		    "the attempts on this replica failed");
		return;
	}
	verdict = retry_decide(budget_for(job), &failed,
	    router_now(job->router), job->router->rand, &at);
	if (verdict != RETRY_OK) {
		give_up(job, verdict);
		return;
	}
	router_count(ROUTER_RETRIES);
	job->state = JOB_BACKOFF;
	loop_timer_set(job->timer, at);
}

/*
 * Tells whether a running attempt may be given up for a better chain, and
 * stores when the next one starts. It is charged to the retry budget; without
 * budget the attempt goes on.
 */
bool
job_may_move(struct job *job, int64_t *at)
{
	struct retry_case failed = {
	    !job->once, false, job->failures + 1, job->submit->deadline, false};

	if (job->failures + 1 >= ATTEMPTS_MAX || job->router->draining ||
	    retry_decide(budget_for(job), &failed, router_now(job->router),
		job->router->rand, at) != RETRY_OK)
		return false;
	job->failures++;
	job->maybe_ran = true;
	router_count(ROUTER_RETRIES);
	return true;
}

/*
 * Tells whether a request may be sent now. An order may be sent once, after
 * its claim was granted, before its deadline; the deadline is not after the
 * expiry of the claim.
 */
static bool
may_send(const struct job *job)
{
	assert(!job->once || (job->claim_granted && !job->sent_once));
	return router_now(job->router) < job->submit->deadline;
}

/*
 * Chooses the route of the next attempt. Returns false after the request was
 * ended: without a route the rest is handed over to another replica with the
 * given code, and an order, of which nothing was sent, is refused; after the
 * deadline nothing is sent any more.
 */
bool
job_choose_route(struct job *job, const char *code, const char *message)
{
	struct router *router = job->router;

	if (job->replica->index == INV_NONE ||
	    route_choose(router->routes, job->replica->index,
		router_now(router), router->rand, &job->route) != STATUS_OK) {
		job_end_simple(job,
		    job->once ? CH__OUTCOME__OUTCOME_NOT_RUN
			      : CH__OUTCOME__OUTCOME_MOVED,
		    code, message);
		return false;
	}
	if (!may_send(job)) {
		job_end_simple(job,
		    job->maybe_ran ? CH__OUTCOME__OUTCOME_UNKNOWN
				   : CH__OUTCOME__OUTCOME_NOT_RUN,
		    "deadline-passed",
		    "the deadline passed before the request was sent");
		return false;
	}
	return true;
}

/*
 * Handles the timer of a request, by its state.
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
		job_end_simple(job, CH__OUTCOME__OUTCOME_UNKNOWN,
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
			plain_begin(job);
		break;
	case JOB_QUEUED:
	case JOB_HELD:
		break;
	}
}
