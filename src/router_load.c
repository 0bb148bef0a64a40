#include <string.h>

#include "router_priv.h"

/*
 * An instance is considered failed when it does not report its load within this
 * time.
 */
#define PROBE_TIMEOUT_USEC (200 * LOOP_USEC_PER_MSEC)
#define LOAD_QUERY_TIMEOUT_USEC (1 * LOOP_USEC_PER_SEC)
/* Replicas without requests for this long are not queried. */
#define REPLICA_IDLE_USEC (60 * LOOP_USEC_PER_SEC)
#define LOAD_QUERIES_MAX 4096

/*
 * A load query to one instance. job is the request that probes its stages, 0
 * for periodic queries.
 */
struct load_query {
	struct router *router;
	uint64_t job;
	char *instance;
};

/*
 * Frees a load query.
 */
static void
load_query_free(struct load_query *query)
{
	g_hash_table_remove(query->router->load_queries, query);
	g_free(query->instance);
	g_free(query);
}

/*
 * Frees the load queries that are still unanswered.
 */
void
load_queries_free(struct router *router)
{
	GList *list = g_hash_table_get_keys(router->load_queries);

	for (GList *l = list; l != NULL; l = l->next)
		load_query_free(l->data);
	g_list_free(list);
	g_hash_table_destroy(router->load_queries);
}

/*
 * Handles the result of probing one stage. A running attempt fails as soon as
 * one of its stages fails the probe. An attempt that has already failed is
 * retried when all stages have answered; if none of them failed the probe,
 * all are penalised. The next attempt starts from the timer, outside the
 * callbacks of the HTTP client.
 */
static void
on_probe_result(struct job *job, uint32_t slot, bool failed)
{
	struct router *router = job->router;
	int64_t until = router_now(router) + ROUTER_AVOID_USEC;

	if (job->probes_pending == 0)
		return;
	job->probes_pending--;
	if (failed) {
		job->dead_stage_found = true;
		if (slot != ROUTE_NONE)
			route_avoid(router->routes, slot, until);
	}
	if (job->state == JOB_RUNNING && failed) {
		pipeline_on_dead_stage(job);
		return;
	}
	if (job->probes_pending > 0 || job->state != JOB_PROBING)
		return;
	for (uint32_t i = 0; !job->dead_stage_found && i < job->route.count;
	     i++) {
		uint32_t suspect = job->route.stages[i].slot;

		route_penalise(router->routes, suspect, until);
	}
	job_retry(job, false);
}

/*
 * Handles the answer of an instance to a load query.
 */
static void
on_load_answer(const struct engine_load *load, void *arg)
{
	struct load_query *query = arg;
	struct router *router = query->router;
	struct job *job = query->job != 0 ? job_find(router, query->job) : NULL;
	uint32_t slot =
	    route_find_slot(router->routes, lstr_from(query->instance));
	int64_t now = router_now(router);
	struct route_slot_info info;

	if (slot != ROUTE_NONE && load->status == STATUS_OK) {
		route_slot_info(router->routes, slot, now, &info);
		route_report_load(
		    router->routes, slot, load->running, load->queued, now);
		if (info.engine_leaving != load->leaving) {
			route_set_leaving(router->routes, slot,
			    ROUTE_SOURCE_ENGINE, load->leaving, now);
			router_report_leaving(router, slot, load->leaving);
		}
	}
	load_query_free(query);
	if (job != NULL)
		on_probe_result(job, slot, load->status != STATUS_OK);
}

/*
 * Sends a load query to one instance; limit is its timeout in microseconds.
 * Returns false when the query could not be sent.
 */
static bool
send_load_query(
    struct router *router, uint32_t slot, uint64_t job, int64_t limit)
{
	struct engine *engine = router->config.engine;
	struct load_query *query;
	struct route_slot_info info;
	int64_t now = router_now(router);

	if (g_hash_table_size(router->load_queries) >= LOAD_QUERIES_MAX)
		return false;
	route_slot_info(router->routes, slot, now, &info);
	query = g_new0(struct load_query, 1);
	query->router = router;
	query->job = job;
	query->instance = g_strdup(info.name);
	g_hash_table_add(router->load_queries, query);
	if (engine->vtable->query_load(engine, lstr_from(info.name),
		lstr_from(info.address), now + limit, on_load_answer,
		query) != STATUS_OK) {
		load_query_free(query);
		return false;
	}
	return true;
}

/*
 * Sends a load query to every stage of a silent or failed attempt to find out
 * whether it is alive. The number of queries is stored in the request.
 */
void
load_probe_stages(struct job *job)
{
	job->probes_pending = 0;
	for (uint32_t i = 0; i < job->route.count; i++)
		job->probes_pending += send_load_query(job->router,
		    job->route.stages[i].slot, job->id, PROBE_TIMEOUT_USEC);
}

/*
 * Sends a load query to the engines of all pipeline replicas in use.
 */
void
load_query_all(struct router *router)
{
	int64_t now = router_now(router);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct replica *replica = value;
		const struct inv_replica *r;

		if (!replica->pipeline || replica->index == INV_NONE ||
		    (replica->jobs == 0 &&
			replica->last_used_at + REPLICA_IDLE_USEC < now))
			continue;
		r = &router->inv->replicas[replica->index];
		for (uint32_t i = 0; i < r->instance_count; i++)
			send_load_query(router,
			    route_slot_of_instance(
				router->routes, r->instances[i]),
			    0, LOAD_QUERY_TIMEOUT_USEC);
	}
}
