#include <string.h>

#include "router_priv.h"

/* An instance that does not say its load within this time has failed. */
#define PROBE_LIMIT_USEC (200 * LOOP_USEC_PER_MSEC)
#define QUERY_LIMIT_USEC (1 * LOOP_USEC_PER_SEC)
/* Replicas that had no request for this long are not asked. */
#define UNUSED_USEC (60 * LOOP_USEC_PER_SEC)
#define QUERIES_MAX 4096

/* A question to one instance; job is 0 for the regular ones. */
struct load_query {
	struct router *router;
	uint64_t job;
	char *instance;
};

/*
 * Frees a question.
 */
static void
query_free(struct load_query *query)
{
	g_hash_table_remove(query->router->queries, query);
	g_free(query->instance);
	g_free(query);
}

/*
 * Frees the questions that were never answered.
 */
void
load_queries_free(struct router *router)
{
	GList *list = g_hash_table_get_keys(router->queries);

	for (GList *l = list; l != NULL; l = l->next)
		query_free(l->data);
	g_list_free(list);
	g_hash_table_destroy(router->queries);
}

/*
 * Takes what one stage said. A silent attempt fails when one of its stages
 * does. A failed one goes on when all stages have answered; when none is known
 * to be at fault, all are suspected. The next attempt starts from the timer,
 * outside the callbacks of the HTTP client.
 */
static void
probe_answered(struct job *job, uint32_t slot, bool failed)
{
	struct router *router = job->router;
	int64_t until = router_now(router) + ROUTER_AVOID_USEC;

	if (job->probes == 0)
		return;
	job->probes--;
	if (failed) {
		job->faulty_stage_found = true;
		if (slot != ROUTE_NONE)
			route_avoid(router->routes, slot, until);
	}
	if (job->state == JOB_RUNNING && failed) {
		pipeline_on_dead_stage(job);
		return;
	}
	if (job->probes > 0 || job->state != JOB_PROBING)
		return;
	for (uint32_t i = 0; !job->faulty_stage_found && i < job->route.count;
	     i++) {
		uint32_t suspect = job->route.stages[i].slot;

		route_penalise(router->routes, suspect, until);
	}
	job_retry(job, false);
}

/*
 * Takes the answer of an instance.
 */
static void
on_load(const struct engine_load *load, void *arg)
{
	struct load_query *query = arg;
	struct router *router = query->router;
	struct job *job = query->job != 0 ? job_find(router, query->job) : NULL;
	uint32_t slot = route_find(router->routes, lstr_from(query->instance));
	int64_t now = router_now(router);
	struct route_slot_info info;

	if (slot != ROUTE_NONE && load->status == STATUS_OK) {
		route_slot_info(router->routes, slot, now, &info);
		route_load(
		    router->routes, slot, load->running, load->queued, now);
		if (info.engine_leaving != load->leaving) {
			route_leaving(router->routes, slot, ROUTE_SOURCE_ENGINE,
			    load->leaving, now);
			router_report_leaving(router, slot, load->leaving);
		}
	}
	query_free(query);
	if (job != NULL)
		probe_answered(job, slot, load->status != STATUS_OK);
}

/*
 * Asks one instance for its load. Returns false when the question could not
 * be sent.
 */
static bool
ask(struct router *router, uint32_t slot, uint64_t job, int64_t limit)
{
	struct engine *engine = router->config.engine;
	struct load_query *query;
	struct route_slot_info info;
	int64_t now = router_now(router);

	if (g_hash_table_size(router->queries) >= QUERIES_MAX)
		return false;
	route_slot_info(router->routes, slot, now, &info);
	query = g_new0(struct load_query, 1);
	query->router = router;
	query->job = job;
	query->instance = g_strdup(info.name);
	g_hash_table_add(router->queries, query);
	if (engine->vtable->query_load(engine, lstr_from(info.name),
		lstr_from(info.address), now + limit, on_load,
		query) != STATUS_OK) {
		query_free(query);
		return false;
	}
	return true;
}

/*
 * Asks all stages of the failed attempt of a request whether they live. The
 * number of questions is stored in the request.
 */
void
load_probe(struct job *job)
{
	job->probes = 0;
	for (uint32_t i = 0; i < job->route.count; i++)
		job->probes += ask(job->router, job->route.stages[i].slot,
		    job->id, PROBE_LIMIT_USEC);
}

/*
 * Asks the engines of the replicas in use for their load.
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
			replica->used_at + UNUSED_USEC < now))
			continue;
		r = &router->inv->replicas[replica->index];
		for (uint32_t i = 0; i < r->instance_count; i++)
			ask(router,
			    route_slot_of(router->routes, r->instances[i]), 0,
			    QUERY_LIMIT_USEC);
	}
}
