#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "router_priv.h"

/* The adaptive limit may grow to this many times its start. */
#define LIMIT_GROWTH_MAX 16
/* Weight of one finished request in the time per cost. */
#define TIME_SMOOTHING 0.05
/* Time per cost of a plain service before the first answer. */
#define PLAIN_USEC_DEFAULT 1000

/*
 * Frees a replica.
 */
void
replica_free(void *data)
{
	struct replica *replica = data;

	loop_timer_destroy(replica->expiry_timer);
	sched_destroy(replica->sched);
	g_free(replica->key);
	g_free(replica->name);
	g_free(replica->service);
	g_free(replica);
}

/*
 * Ends the queued requests that can no longer end before their deadline.
 */
static void
on_expiry_timer(void *arg)
{
	struct replica *replica = arg;
	void *data;

	while (
	    sched_expire(replica->sched, router_now(replica->router), &data)) {
		struct job *job = data;

		job->queued = NULL;
		job_end_simple(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "deadline-passed",
		    "the last time to start the request before its deadline "
		    "passed while it was queued");
	}
	if (sched_count(replica->sched) > 0)
		loop_timer_set(
		    replica->expiry_timer, sched_next_expiry(replica->sched));
}

/*
 * Returns the time per cost that the configuration lets expect.
 */
static double
first_estimate(const struct replica *replica)
{
	struct router *router = replica->router;
	struct route route;

	if (!replica->pipeline ||
	    route_choose(router->routes, replica->index, router_now(router),
		NULL, &route) != STATUS_OK)
		return PLAIN_USEC_DEFAULT;
	return route.token_usec > 0 ? (double)route.token_usec
				    : PLAIN_USEC_DEFAULT;
}

/*
 * Creates the queue of a replica of the present configuration.
 */
static struct replica *
create(struct router *router, uint32_t index, char *key)
{
	const struct inv_replica *r = &router->inv->replicas[index];
	struct replica *replica = g_new0(struct replica, 1);
	uint32_t start = router->config.replica_concurrency;

	replica->router = router;
	replica->key = key;
	replica->name = g_strdup(r->name);
	replica->service = g_strdup(router->inv->services[r->service].name);
	replica->index = index;
	replica->pipeline =
	    router->inv->services[r->service].kind == INV_PIPELINE;
	if (sched_create(router->config.queue_max, &replica->sched) !=
		STATUS_OK ||
	    loop_timer_create(router->config.loop, on_expiry_timer, replica,
		&replica->expiry_timer) != STATUS_OK) {
		replica_free(replica);
		return NULL;
	}
	limit_adaptive_init(&replica->limit, start, start * LIMIT_GROWTH_MAX);
	replica->usec_per_cost = first_estimate(replica);
	g_hash_table_insert(router->replicas, replica->key, replica);
	return replica;
}

/*
 * Returns the queue of a replica of the present configuration; it is created
 * when the first request for it arrives. Returns NULL when memory runs out.
 */
struct replica *
replica_for(struct router *router, uint32_t index)
{
	const struct inv_replica *r = &router->inv->replicas[index];
	char *key = g_strdup_printf(
	    "%s/%s", router->inv->services[r->service].name, r->name);
	struct replica *replica = g_hash_table_lookup(router->replicas, key);

	if (replica == NULL)
		return create(router, index, key);
	g_free(key);
	return replica;
}

/*
 * Ends the queued requests of a replica that can no longer be served here.
 */
static void
end_queued(struct replica *replica, const char *code, const char *message)
{
	Ch__RecordReason reason;
	void *data;

	while (sched_take(replica->sched, &data, &reason)) {
		struct job *job = data;

		job->queued = NULL;
		job_end_simple(job,
		    job->once ? CH__OUTCOME__OUTCOME_NOT_RUN
			      : CH__OUTCOME__OUTCOME_MOVED,
		    code, message);
	}
}

/*
 * Hands over the queue of a replica because the router is leaving.
 */
void
replica_drain(struct replica *replica)
{
	end_queued(replica, "leaving", "the router is leaving");
}

/*
 * Points the queues to the replicas of a new configuration. The queue of a
 * replica that is gone is handed over; it is freed when nothing runs.
 */
void
replica_bind_all(struct router *router)
{
	GList *keys = g_hash_table_get_keys(router->replicas);

	for (GList *k = keys; k != NULL; k = k->next) {
		struct replica *replica =
		    g_hash_table_lookup(router->replicas, k->data);

		replica->index = inv_find_replica(router->inv,
		    lstr_from(replica->service), lstr_from(replica->name));
		if (replica->index == INV_NONE)
			end_queued(replica, "replica-removed",
			    "the replica was removed from the inventory");
		if (replica->index == INV_NONE && replica->jobs == 0)
			g_hash_table_remove(router->replicas, k->data);
		else
			replica_dispatch(replica);
	}
	g_list_free(keys);
}

/*
 * Puts a request into the queue of its replica, until the last time at which
 * it can start and is expected to end before its deadline. Started later, it
 * would use the replica for tokens that end as "unknown": a tenth of all at
 * twice the capacity. Returns STATUS_FULL when the queue is full.
 */
enum status
replica_queue(struct job *job)
{
	struct replica *replica = job->replica;
	struct sched_request request = {lstr_from(job->submit->organisation),
	    job->priority, job->weight, job->cost, job->submit->arrival,
	    job->submit->deadline - replica_run_usec(replica, job->cost), job};
	enum status status = sched_push(replica->sched, &request, &job->queued);

	if (status != STATUS_OK)
		return status;
	job->state = JOB_QUEUED;
	loop_timer_set(
	    replica->expiry_timer, sched_next_expiry(replica->sched));
	return STATUS_OK;
}

/*
 * Returns how many requests the replica may run at the same time.
 */
uint32_t
replica_limit(const struct replica *replica)
{
	return limit_adaptive_value(&replica->limit);
}

/*
 * Starts one request that was taken from the queue.
 */
static void
start(struct job *job)
{
	struct replica *replica = job->replica;
	int64_t now = router_now(job->router);

	job->queued = NULL;
	job->state = JOB_RUNNING;
	job->started_at = now;
	replica->running++;
	router_observe_wait(now - job->submit->arrival);
	if (job->pipeline)
		pipeline_start(job);
	else
		plain_begin(job);
}

/*
 * Starts queued requests while the replica has room. Requests that end at
 * once call this again; the outermost call goes on then.
 */
void
replica_dispatch(struct replica *replica)
{
	void *data;

	if (replica->dispatching)
		return;
	replica->dispatching = true;
	while (replica->running < replica_limit(replica) &&
	    replica->index != INV_NONE) {
		Ch__RecordReason reason;

		if (sched_count(replica->sched) > 0 &&
		    sched_next_expiry(replica->sched) <=
			router_now(replica->router)) {
			on_expiry_timer(replica);
			continue;
		}
		if (!sched_take(replica->sched, &data, &reason))
			break;
		((struct job *)data)->reason = reason;
		start(data);
	}
	replica->dispatching = false;
}

/*
 * Takes a request off its replica, whether it was queued or running, and
 * notes how long it ran if its answer was complete.
 */
void
replica_job_ended(struct job *job)
{
	struct replica *replica = job->replica;
	int64_t now = router_now(job->router);

	if (job->queued != NULL)
		sched_cancel(replica->sched, job->queued);
	job->queued = NULL;
	if (job->counted)
		limit_leave(
		    job->router->limits, lstr_from(job->submit->organisation));
	job->counted = false;
	if (replica == NULL)
		return;
	if (job->started_at > 0)
		replica->running--;
	if (job->started_at > 0 && job->last_seen) {
		double sample =
		    (double)(now - job->started_at) / (double)job->cost;

		replica->usec_per_cost +=
		    TIME_SMOOTHING * (sample - replica->usec_per_cost);
	}
	job->started_at = 0;
	replica->used_at = now;
	replica->jobs--;
	job->replica = NULL;
}

/*
 * Returns the expected time from start to finish of a request.
 */
int64_t
replica_run_usec(const struct replica *replica, int64_t cost)
{
	return (int64_t)(replica->usec_per_cost * (double)cost);
}

/*
 * Returns the time in which the replica works off one unit of cost.
 */
int64_t
replica_usec_per_cost(const struct replica *replica)
{
	return (
	    int64_t)(replica->usec_per_cost / (double)replica_limit(replica));
}
