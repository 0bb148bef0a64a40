#ifndef CH_FAKE_ENGINE_MODEL_H
#define CH_FAKE_ENGINE_MODEL_H

#include <glib.h>

#include "fake_common.h"
#include "fetch.h"

#define INSTANCES_MAX 4096
#define HASH_KEY_MAX 256
#define URL_MAX 512
/* Executions and attempts recorded per instance; later ones are not checked. */
#define RECORDED_MAX 4000000
#define STAGE_RESPONSE_MAX_BYTES ((size_t)64 * 1024)

enum fault_mode {
	FAULT_NONE,
	FAULT_DIE,
	FAULT_SILENT,
	FAULT_LATE,
	FAULT_DOUBLE,
	FAULT_CROSSED,
	FAULT_TRUNCATE,
	FAULT_WRONG_TRAIL,
	FAULT_LEAVING,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {"none", "die", "silent",
    "late", "double", "crossed", "truncate", "wrong-trail", "leaving"};

/* Counters of one instance. */
struct stats {
	int64_t generations;
	int64_t tokens;
	int64_t executions;
	int64_t repeated;
	int64_t cancels;
	int64_t refused_leaving;
	int64_t started_after_leaving;
	/* Time when the last new job was refused or started while leaving. */
	int64_t last_new_job_at;
};

struct server;

struct instance {
	struct server *server;
	char *name;
	uint32_t first;
	uint32_t last;
	int64_t token_usec;
	/* Time that a step takes to cross the link to this instance. */
	int64_t link_usec;
	enum fault_mode fault;
	int64_t fault_after;
	int64_t fault_delay_usec;
	int64_t fault_executions;
	int64_t leaving_at;
	uint32_t running;
	GQueue *waiting;
	/* Set of hashes of request, attempt and position. */
	GHashTable *executions_seen;
	/* Set of hashes of request and attempt. */
	GHashTable *attempts_seen;
	/* Set of unfinished struct job. */
	GHashTable *jobs;
	struct stats stats;
};

struct server {
	struct loop *loop;
	struct fetch *fetch;
	GPtrArray *instances;
	uint32_t batch;
};

/*
 * A request to an instance: a generation, or one step of a generation that
 * another instance runs.
 */
struct job {
	struct instance *instance;
	struct httpd_request *request;
	struct loop_timer *timer;
	struct fetch_call *fetch_call;
	json_t *body;
	json_t *trail;
	const char *request_id;
	uint32_t attempt;
	uint32_t position;
	bool is_generation;
	bool holds_slot;
	/* The step is still crossing the link to the instance. */
	bool crossing_link;
	/* Only for generations. */
	uint32_t end;
	size_t next_stage;
	uint32_t emitted;
};

/*
 * Returns whether a fault of an instance is active.
 */
static inline bool
fault_is_active(const struct instance *instance, enum fault_mode mode)
{
	return instance->fault == mode &&
	    instance->fault_executions >= instance->fault_after;
}

/*
 * Finds an instance by name.
 */
static inline struct instance *
find_instance(const struct server *server, struct lstr name)
{
	for (guint i = 0; i < server->instances->len; i++) {
		struct instance *instance = server->instances->pdata[i];

		if (lstr_equal_c(name, instance->name))
			return instance;
	}
	return NULL;
}

/*
 * Returns an integer field of a body, or the default when it is absent.
 */
static inline int64_t
body_int(const json_t *body, const char *name, int64_t default_value)
{
	const json_t *value = json_object_get(body, name);

	return json_is_integer(value) ? json_integer_value(value)
				      : default_value;
}

/*
 * Returns the statistics of an instance as JSON.
 */
static inline json_t *
stats_json(const struct instance *instance)
{
	const struct stats *s = &instance->stats;
	int64_t after_ms = -1;

	if (s->last_new_job_at != 0)
		after_ms = (s->last_new_job_at - instance->leaving_at) /
		    LOOP_USEC_PER_MSEC;
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
	    "instance", instance->name, "generations",
	    (json_int_t)s->generations, "tokens", (json_int_t)s->tokens,
	    "executions", (json_int_t)s->executions, "repeated",
	    (json_int_t)s->repeated, "cancels", (json_int_t)s->cancels,
	    "refused_leaving", (json_int_t)s->refused_leaving,
	    "started_after_leaving", (json_int_t)s->started_after_leaving,
	    "last_new_work_after_leaving_ms", (json_int_t)after_ms, "open",
	    (json_int_t)g_hash_table_size(instance->jobs));
}

/*
 * Responds with the statistics of all instances.
 */
static inline void
on_stats(struct server *server, struct httpd_request *request)
{
	json_t *list = json_array();

	for (guint i = 0; i < server->instances->len; i++)
		json_array_append_new(
		    list, stats_json(server->instances->pdata[i]));
	fake_respond(request, 200, json_pack("{s:o}", "instances", list));
}

/*
 * Parses and adds an instance: "name:first:last:token_us" or, with the latency
 * of the link to it, "name:first:last:token_us:link_us". Returns false if the
 * text is malformed or there are too many instances.
 */
static inline bool
add_instance(struct server *server, const char *text)
{
	struct instance *instance = calloc(1, sizeof(*instance));
	char **fields = g_strsplit(text, ":", 0);
	int64_t numbers[4] = {-1, -1, -1, 0};
	int count = (int)g_strv_length(fields);
	bool valid = instance != NULL && (count == 4 || count == 5) &&
	    server->instances->len < INSTANCES_MAX;

	for (int i = 0; valid && i < count - 1; i++)
		valid = lstr_to_int64(lstr_from(fields[i + 1]), &numbers[i]) ==
			STATUS_OK &&
		    numbers[i] >= 0;
	if (valid) {
		instance->server = server;
		instance->name = g_strdup(fields[0]);
		instance->first = (uint32_t)numbers[0];
		instance->last = (uint32_t)numbers[1];
		instance->token_usec = numbers[2];
		instance->link_usec = numbers[3];
		instance->waiting = g_queue_new();
		instance->executions_seen = g_hash_table_new(NULL, NULL);
		instance->attempts_seen = g_hash_table_new(NULL, NULL);
		instance->jobs = g_hash_table_new(NULL, NULL);
		g_ptr_array_add(server->instances, instance);
	} else {
		free(instance);
	}
	g_strfreev(fields);
	return valid;
}

#endif
