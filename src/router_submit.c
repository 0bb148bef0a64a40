#include <string.h>

#include "router_priv.h"

/* Time until a retry that a temporary refusal suggests to the entry. */
#define REFUSAL_RETRY_USEC (1 * LOOP_USEC_PER_SEC)

/*
 * Refuses a submission for which no job was created.
 */
static void
refuse(struct router_entry *entry, const Ch__Submit *submit,
    Ch__Outcome outcome, const char *code, const char *message,
    int64_t retry_at)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Done done = CH__DONE__INIT;

	done.stream = submit->stream;
	done.outcome = outcome;
	done.code = (char *)code;
	done.message = (char *)message;
	done.retry_at = retry_at;
	done.tokens = (uint32_t)submit->n_delivered;
	done.attempt = submit->attempt > 0 ? submit->attempt - 1 : 0;
	frame.kind_case = CH__FRAME__KIND_DONE;
	frame.done = &done;
	router_count_event(outcome == CH__OUTCOME__OUTCOME_MOVED
		? ROUTER_OUTCOME_MOVED
		: ROUTER_OUTCOME_NOT_RUN);
	entry->vtable->send(entry, &frame);
}

/*
 * Refuses a submission that the router cannot accept in its present state.
 * Returns false when it can.
 */
static bool
refuse_if_unavailable(
    struct router *router, struct router_entry *entry, const Ch__Submit *submit)
{
	const Ch__Outcome not_run = CH__OUTCOME__OUTCOME_NOT_RUN;
	int64_t now = router_now(router);
	size_t memory_max = router->config.jobs_max_bytes;

	if (router->inv == NULL) {
		refuse(entry, submit, not_run, "not-ready",
		    "the router has no configuration yet",
		    now + REFUSAL_RETRY_USEC);
		return true;
	}
	if (router->draining) {
		refuse(entry, submit, CH__OUTCOME__OUTCOME_MOVED, "leaving",
		    "the router is leaving", now);
		return true;
	}
	if (g_hash_table_size(router->jobs) >= ROUTER_JOBS_MAX ||
	    (memory_max > 0 &&
		router->jobs_bytes + job_submit_bytes(submit) > memory_max)) {
		refuse(entry, submit, not_run, "router-full",
		    "the router holds as many requests as it may",
		    now + REFUSAL_RETRY_USEC);
		return true;
	}
	if (g_hash_table_contains(entry->jobs, &submit->stream)) {
		refuse(entry, submit, not_run, "stream-in-use",
		    "the stream number is in use", 0);
		return true;
	}
	return false;
}

/*
 * Looks up the organisation and the replica of a submission. Returns the error
 * code of the refusal, or NULL.
 */
static const char *
find_organisation_and_replica(struct router *router, const Ch__Submit *submit,
    struct inv_organisation *organisation, uint32_t *replica)
{
	if (submit->request_id.len == 0 ||
	    submit->request_id.len > REC_TEXT_MAX_BYTES ||
	    strlen(submit->organisation) > INV_NAME_MAX_BYTES)
		return "request-invalid";
	if (inv_lookup_organisation(router->inv,
		lstr_from(submit->organisation), organisation) != STATUS_OK)
		return "organisation-unknown";
	if (inv_find_service(router->inv, lstr_from(submit->service)) ==
	    INV_NONE)
		return "service-unknown";
	*replica = inv_find_replica(router->inv, lstr_from(submit->service),
	    lstr_from(submit->replica));
	return *replica == INV_NONE ? "replica-unknown" : NULL;
}

/*
 * Fills in the properties of a request that come from the configuration. A
 * request is an order if either the entry or the configured rules say that it
 * must not be repeated.
 */
static void
fill_job(struct job *job, const struct inv_organisation *organisation,
    struct replica *replica)
{
	struct router *router = job->router;
	uint32_t service = router->inv->replicas[replica->index].service;
	uint32_t remaining_tokens = job->submit->max_tokens;

	remaining_tokens = remaining_tokens > job->delivered->len
	    ? remaining_tokens - job->delivered->len
	    : 1;
	job->replica = replica;
	replica->jobs++;
	job->pipeline = replica->pipeline;
	job->priority = organisation->priority;
	job->weight = organisation->weight;
	job->cost = job->pipeline ? remaining_tokens : 1;
	job->once = !job->submit->idempotent ||
	    !inv_is_idempotent(
		router->inv, service, lstr_from(job->submit->operation));
	if (job->submit->deadline == 0)
		job->submit->deadline =
		    router_now(router) + router->inv->defaults.deadline_usec;
	if (job->submit->arrival == 0)
		job->submit->arrival = router_now(router);
}

/*
 * Decides by the limits and the expected waiting time whether a request may
 * enter the queue.
 */
static void
decide_admission(struct job *job, const struct inv_organisation *organisation,
    struct limit_decision *out)
{
	struct router *router = job->router;
	struct replica *replica = job->replica;
	int64_t usec_per_unit = replica_usec_per_cost_at_limit(replica);
	struct limit_request request = {
	    .organisation = lstr_from(job->submit->organisation),
	    .max_concurrent = organisation->max_concurrent,
	    .queued = sched_count(replica->sched),
	    .queue_max = router->config.queue_max,
	    .run_usec = replica_expected_run_usec(replica, job->cost),
	    .completion_interval_usec = usec_per_unit * job->cost,
	    .deadline = job->submit->deadline};

	if (replica->running >= replica_concurrency_limit(replica))
		request.wait_usec =
		    sched_expected_wait(replica->sched, request.organisation,
			job->priority, job->weight, usec_per_unit) +
		    request.completion_interval_usec;
	limit_decide(router->limits, &request, router_now(router), out);
}

/*
 * Ends a request that was not admitted.
 */
static void
finish_refused(struct job *job, const struct limit_decision *decision)
{
	struct job_result result = {.outcome = CH__OUTCOME__OUTCOME_NOT_RUN,
	    .code = decision->code,
	    .message = decision->message,
	    .retry_at = decision->retry_at,
	    .body = lstr_from("")};

	job_finish(job, &result);
}

/*
 * Credits the retry budget of a service for one request.
 */
static void
count_for_retry_budget(struct router *router, const char *service)
{
	struct retry_budget *budget =
	    g_hash_table_lookup(router->budgets, service);

	if (budget == NULL) {
		budget = g_new0(struct retry_budget, 1);
		retry_budget_init(budget, router_now(router));
		g_hash_table_insert(router->budgets, g_strdup(service), budget);
	}
	retry_budget_add_request(budget);
}

/*
 * Admits or refuses a request whose job was created.
 */
static void
admit(struct job *job, const struct inv_organisation *organisation)
{
	struct router *router = job->router;
	struct replica *replica = job->replica;
	struct limit_decision decision;

	decide_admission(job, organisation, &decision);
	if (!decision.admitted) {
		finish_refused(job, &decision);
		return;
	}
	job->limit_acquired =
	    limit_acquire(router->limits,
		lstr_from(job->submit->organisation)) == STATUS_OK;
	if (job->once) {
		/* Continues in router_claims.c when the claim is granted. */
		claims_begin(job, router_now(router));
		return;
	}
	if (replica_enqueue(job) != STATUS_OK) {
		job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN, "queue-full",
		    "the queue of the replica is full");
		return;
	}
	replica_dispatch(replica);
}

/*
 * Handles a submission from an entry: refuses it, or creates its job and admits
 * it. Replica ownership is not checked: the router that receives a submission
 * serves it.
 */
void
router_submit(
    struct router *router, struct router_entry *entry, const Ch__Submit *submit)
{
	struct inv_organisation organisation;
	struct replica *replica;
	const char *code;
	struct job *job;
	uint32_t index = INV_NONE;

	router_count_event(ROUTER_SUBMITS);
	if (refuse_if_unavailable(router, entry, submit))
		return;
	code = find_organisation_and_replica(
	    router, submit, &organisation, &index);
	if (code != NULL) {
		refuse(entry, submit, CH__OUTCOME__OUTCOME_NOT_RUN, code,
		    "a name is too long, or the configuration in force does "
		    "not have it",
		    0);
		return;
	}
	replica = replica_get_or_create(router, index);
	job = replica != NULL ? job_create(router, entry, submit) : NULL;
	if (job == NULL) {
		refuse(entry, submit, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "out-of-memory", "no memory for the request",
		    router_now(router) + REFUSAL_RETRY_USEC);
		return;
	}
	count_for_retry_budget(router, submit->service);
	fill_job(job, &organisation, replica);
	admit(job, &organisation);
}
