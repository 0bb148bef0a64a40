#include "router_priv.h"

/*
 * Maximum number of requests and of instances listed in a dump. The totals
 * count all.
 */
#define DUMP_MAX 1000

/*
 * Returns the name of a request state.
 */
static const char *
state_name(enum job_state state)
{
	switch (state) {
	case JOB_CLAIMING:
		return "claiming";
	case JOB_WAITING:
		return "waiting";
	case JOB_QUEUED:
		return "queued";
	case JOB_RUNNING:
		return "running";
	case JOB_PROBING:
		return "probing";
	case JOB_BACKOFF:
		return "backoff";
	case JOB_HELD:
		return "held";
	}
	return "";
}

/*
 * Returns the replicas and their queues as a JSON array.
 */
static json_t *
dump_replicas(const struct router *router)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct replica *r = value;
		json_t *classes = json_array();

		for (uint32_t i = 0; i < SCHED_CLASSES; i++)
			json_array_append_new(classes,
			    json_integer(
				(json_int_t)sched_class_count(r->sched, i)));
		json_array_append_new(list,
		    json_pack("{s:s,s:b,s:I,s:I,s:I,s:I,s:f,s:f,s:o}", "name",
			r->key, "present", r->index != INV_NONE, "requests",
			(json_int_t)r->jobs, "running", (json_int_t)r->running,
			"queued", (json_int_t)sched_count(r->sched), "limit",
			(json_int_t)replica_concurrency_limit(r), "token_usec",
			r->limit.token_usec, "usec_per_cost", r->usec_per_cost,
			"queued_by_class", classes));
	}
	return list;
}

/*
 * Returns at most DUMP_MAX requests as a JSON array.
 */
static json_t *
dump_jobs(const struct router *router)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->jobs);
	while (json_array_size(list) < DUMP_MAX &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;
		char *id = g_strndup((char *)job->submit->request_id.data,
		    job->submit->request_id.len);

		json_array_append_new(list,
		    json_pack("{s:s*,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:I}",
			"request", id, "organisation",
			job->submit->organisation, "replica",
			job->submit->replica, "state", state_name(job->state),
			"once", job->once, "attempt", (json_int_t)job->attempt,
			"delivered", (json_int_t)job->delivered->len, "sent",
			(json_int_t)job->tokens_sent, "deadline",
			(json_int_t)job->submit->deadline));
		g_free(id);
	}
	return list;
}

/*
 * Returns, as a JSON array, at most DUMP_MAX instances that are loaded or not
 * in their normal state.
 */
static json_t *
dump_instances(const struct router *router)
{
	json_t *list = json_array();
	int64_t now = router_now(router);
	uint32_t count = route_slot_count(router->routes);

	for (uint32_t i = 0; i < count && json_array_size(list) < DUMP_MAX;
	     i++) {
		struct route_slot_info info;

		route_slot_info(router->routes, i, now, &info);
		if (info.name == NULL ||
		    (info.load == 0 && !info.leaving && !info.avoided &&
			!info.penalised && info.share >= 1))
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:b,s:b,s:b,s:b,s:I,s:I,s:f}", "name",
			info.name, "present", info.present, "leaving",
			info.leaving, "avoided", info.avoided, "penalised",
			info.penalised, "running", (json_int_t)info.running,
			"load", (json_int_t)info.load, "share", info.share));
	}
	return list;
}

/*
 * Returns the state of the router as a JSON object. The caller owns the
 * reference.
 */
json_t *
router_dump(const struct router *router)
{
	return json_pack("{s:b,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o,s:o}",
	    "ready", router_is_ready(router), "draining", router->draining,
	    "revision",
	    (json_int_t)(router->inv != NULL ? router->inv->revision : 0),
	    "requests", (json_int_t)g_hash_table_size(router->jobs), "claims",
	    (json_int_t)g_hash_table_size(router->claims), "orders_kept",
	    (json_int_t)router->ended_orders->length, "outcomes_waiting",
	    (json_int_t)router->pending_outcomes->length,
	    "record_waiting_bytes", (json_int_t)rec_waiting_bytes(router->rec),
	    "record_uncopied", (json_int_t)rec_unsent_count(router->rec),
	    "replicas", dump_replicas(router), "instances",
	    dump_instances(router), "jobs", dump_jobs(router));
}
