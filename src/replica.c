#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "router_priv.h"

/*
 * Maximum growth of the adaptive concurrency limit, as a multiple of its
 * initial value.
 */
#define LIMIT_GROWTH_MAX 16
/* Weight of one finished request in the smoothed time per unit of cost. */
#define USEC_PER_COST_SMOOTHING 0.05
/* Assumed time per unit of cost of a plain service before its first answer. */
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
 * Ends the queued requests that can no longer finish before their deadline.
 */
static void
on_expiry_timer(void *arg)
{
	struct replica *replica = arg;
	void *data;

	while (
	    sched_expire(replica->sched, router_now(replica->router), &data)) {
		struct job *job = data;

		job->queue_entry = NULL;
		job_finish_with(job, CH__OUTCOME__OUTCOME_NOT_RUN,
		    "deadline-passed",
		    "the last time to start the request before its deadline "
		    "passed while it was queued");
	}
	if (sched_count(replica->sched) > 0)
		loop_timer_set(
		    replica->expiry_timer, sched_next_expiry(replica->sched));
}

/*
 * Returns the time per unit of cost, in microseconds, that is expected from the
 * configuration.
 */
static double
initial_usec_per_cost(const struct replica *replica)
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
 * Creates the queue of a replica of the current configuration. Takes ownership
 * of key. Returns NULL when memory runs out.
 */
static struct replica *
create_replica(struct router *router, uint32_t index, char *key)
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
	replica->usec_per_cost = initial_usec_per_cost(replica);
	g_hash_table_insert(router->replicas, replica->key, replica);
	return replica;
}

/*
 * Returns the queue of a replica of the current configuration, created for the
 * first request to the replica. Returns NULL when memory runs out.
 */
struct replica *
replica_get_or_create(struct router *router, uint32_t index)
{
	const struct inv_replica *r = &router->inv->replicas[index];
	char *key = g_strdup_printf(
	    "%s/%s", router->inv->services[r->service].name, r->name);
	struct replica *replica = g_hash_table_lookup(router->replicas, key);

	if (replica == NULL)
		return create_replica(router, index, key);
	g_free(key);
	return replica;
}

/*
 * Ends the queued requests of a replica that can no longer be served here.
 * Orders are refused; other requests move to another router.
 */
static void
end_queued_jobs(struct replica *replica, const char *code, const char *message)
{
	Ch__RecordReason reason;
	void *data;

	while (sched_pop(replica->sched, &data, &reason)) {
		struct job *job = data;

		job->queue_entry = NULL;
		job_finish_with(job,
		    job->once ? CH__OUTCOME__OUTCOME_NOT_RUN
			      : CH__OUTCOME__OUTCOME_MOVED,
		    code, message);
	}
}

/*
 * Ends the queued requests of a replica because the router is leaving.
 */
void
replica_drain(struct replica *replica)
{
	end_queued_jobs(replica, "leaving", "the router is leaving");
}

/*
 * Binds the queues to the replicas of a new configuration. If a replica was
 * removed, its queued requests end and its queue is freed when nothing runs.
 */
void
replica_rebind_all(struct router *router)
{
	GList *keys = g_hash_table_get_keys(router->replicas);

	for (GList *k = keys; k != NULL; k = k->next) {
		struct replica *replica =
		    g_hash_table_lookup(router->replicas, k->data);

		replica->index = inv_find_replica(router->inv,
		    lstr_from(replica->service), lstr_from(replica->name));
		if (replica->index == INV_NONE)
			end_queued_jobs(replica, "replica-removed",
			    "the replica was removed from the inventory");
		if (replica->index == INV_NONE && replica->jobs == 0)
			g_hash_table_remove(router->replicas, k->data);
		else
			replica_dispatch(replica);
	}
	g_list_free(keys);
}

/*
 * Enqueues a request until the latest time at which it can start and is
 * expected to finish before its deadline. A request that starts later wastes
 * the replica's time on a response that ends as "unknown"; at a load of twice
 * the capacity, a tenth of all tokens were wasted in this way. Returns
 * STATUS_FULL when the queue is full.
 */
enum status
replica_enqueue(struct job *job)
{
	struct replica *replica = job->replica;
	struct sched_request request = {lstr_from(job->submit->organisation),
	    job->priority, job->weight, job->cost, job->submit->arrival,
	    job->submit->deadline -
		replica_expected_run_usec(replica, job->cost),
	    job};
	enum status status =
	    sched_push(replica->sched, &request, &job->queue_entry);

	if (status != STATUS_OK)
		return status;
	job->state = JOB_QUEUED;
	loop_timer_set(
	    replica->expiry_timer, sched_next_expiry(replica->sched));
	return STATUS_OK;
}

/*
 * Returns the number of requests that the replica may run concurrently.
 */
uint32_t
replica_concurrency_limit(const struct replica *replica)
{
	return limit_adaptive_value(&replica->limit);
}

/*
 * Starts a request that was removed from the queue.
 */
static void
start_job(struct job *job)
{
	struct replica *replica = job->replica;
	int64_t now = router_now(job->router);

	job->queue_entry = NULL;
	job->state = JOB_RUNNING;
	job->started_at = now;
	replica->running++;
	router_observe_queue_wait(now - job->submit->arrival);
	if (job->pipeline)
		pipeline_start(job);
	else
		plain_start(job);
}

/*
 * Starts queued requests while the replica is below its concurrency limit.
 * Requests that end immediately call this function recursively; the nested call
 * returns at once and the outermost call continues.
 */
void
replica_dispatch(struct replica *replica)
{
	void *data;

	if (replica->dispatching)
		return;
	replica->dispatching = true;
	while (replica->running < replica_concurrency_limit(replica) &&
	    replica->index != INV_NONE) {
		Ch__RecordReason reason;

		if (sched_count(replica->sched) > 0 &&
		    sched_next_expiry(replica->sched) <=
			router_now(replica->router)) {
			on_expiry_timer(replica);
			continue;
		}
		if (!sched_pop(replica->sched, &data, &reason))
			break;
		((struct job *)data)->reason = reason;
		start_job(data);
	}
	replica->dispatching = false;
}

/*
 * Removes a queued or running request from its replica. If its answer was
 * complete, its run time updates the time per unit of cost.
 */
void
replica_remove_job(struct job *job)
{
	struct replica *replica = job->replica;
	int64_t now = router_now(job->router);

	if (job->queue_entry != NULL)
		sched_cancel(replica->sched, job->queue_entry);
	job->queue_entry = NULL;
	if (job->limit_acquired)
		limit_release(
		    job->router->limits, lstr_from(job->submit->organisation));
	job->limit_acquired = false;
	if (replica == NULL)
		return;
	if (job->started_at > 0)
		replica->running--;
	if (job->started_at > 0 && job->answer_complete) {
		double sample =
		    (double)(now - job->started_at) / (double)job->cost;

		replica->usec_per_cost +=
		    USEC_PER_COST_SMOOTHING * (sample - replica->usec_per_cost);
	}
	job->started_at = 0;
	replica->last_used_at = now;
	replica->jobs--;
	job->replica = NULL;
}

/*
 * Returns the expected run time of a request, in microseconds.
 */
int64_t
replica_expected_run_usec(const struct replica *replica, int64_t cost)
{
	return (int64_t)(replica->usec_per_cost * (double)cost);
}

/*
 * Returns the average time per unit of cost, in microseconds, when the replica
 * runs as many requests as its limit allows.
 */
int64_t
replica_usec_per_cost_at_limit(const struct replica *replica)
{
	return (int64_t)(replica->usec_per_cost /
	    (double)replica_concurrency_limit(replica));
}
