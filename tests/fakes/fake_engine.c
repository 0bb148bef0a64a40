#include "engine_model.h"
#include "fake_token.h"

static void start_step(struct job *);
static void continue_job(struct job *);

/*
 * Starts waiting steps while the instance has free batch slots.
 */
static void
start_waiting_steps(struct instance *instance)
{
	while (instance->running < instance->server->batch &&
	    !g_queue_is_empty(instance->waiting))
		start_step(g_queue_pop_head(instance->waiting));
}

/*
 * Releases the batch slot of a job.
 */
static void
release_slot(struct job *job)
{
	if (!job->holds_slot)
		return;
	job->holds_slot = false;
	job->instance->running--;
}

/*
 * Frees a job. Its request must be finished or aborted.
 */
static void
job_free(struct job *job)
{
	struct instance *instance = job->instance;

	g_queue_remove(instance->waiting, job);
	g_hash_table_remove(instance->jobs, job);
	release_slot(job);
	loop_timer_destroy(job->timer);
	fetch_cancel(job->fetch_call);
	json_decref(job->body);
	json_decref(job->trail);
	free(job);
	start_waiting_steps(instance);
}

/*
 * Aborts the connection of a job and frees the job.
 */
static void
job_abort(struct job *job)
{
	struct httpd_request *request = job->request;

	httpd_set_data(request, NULL);
	job_free(job);
	httpd_abort(request);
}

/*
 * Occupies a batch slot for one step and starts the timer for its duration.
 */
static void
start_step(struct job *job)
{
	struct instance *instance = job->instance;
	int64_t usec = instance->token_usec;

	if (fault_is_active(instance, FAULT_LATE))
		usec += instance->fault_delay_usec;
	job->holds_slot = true;
	instance->running++;
	loop_timer_set(job->timer, loop_now(instance->server->loop) + usec);
}

/*
 * Queues the next step of a job.
 */
static void
queue_step(struct job *job)
{
	g_queue_push_tail(job->instance->waiting, job);
	start_waiting_steps(job->instance);
}

/*
 * Queues a step requested by another instance after the latency of the link.
 */
static void
receive_step(struct job *job)
{
	struct instance *instance = job->instance;

	if (instance->link_usec == 0) {
		queue_step(job);
		return;
	}
	job->crossing_link = true;
	loop_timer_set(
	    job->timer, loop_now(instance->server->loop) + instance->link_usec);
}

/*
 * Counts an execution and detects repeated ones.
 */
static void
count_execution(struct job *job)
{
	struct instance *instance = job->instance;
	char key[HASH_KEY_MAX];
	int len = snprintf(key, sizeof(key), "%s/%u/%u", job->request_id,
	    job->attempt, job->position);
	gpointer hash = (gpointer)(uintptr_t)XXH3_64bits(key, (size_t)len);

	instance->stats.executions++;
	instance->fault_executions++;
	if (g_hash_table_size(instance->executions_seen) < RECORDED_MAX &&
	    !g_hash_table_add(instance->executions_seen, hash))
		instance->stats.repeated++;
}

/*
 * Appends the step of this instance to the trail. With the fault wrong-trail,
 * the step is omitted at even positions and duplicated at odd ones.
 */
static void
append_trail_step(struct job *job)
{
	struct instance *instance = job->instance;
	int copies = 1;

	if (fault_is_active(instance, FAULT_WRONG_TRAIL))
		copies = job->position % 2 == 0 ? 0 : 2;
	for (int i = 0; i < copies; i++)
		json_array_append_new(job->trail,
		    json_pack("{s:s,s:I,s:I,s:I,s:I}", "instance",
			instance->name, "first", (json_int_t)instance->first,
			"last", (json_int_t)instance->last, "attempt",
			(json_int_t)job->attempt, "position",
			(json_int_t)job->position));
}

/*
 * Aborts all unfinished jobs of an instance.
 */
static void
abort_all_jobs(struct instance *instance)
{
	GList *jobs = g_hash_table_get_keys(instance->jobs);

	for (GList *item = jobs; item != NULL; item = item->next)
		job_abort(item->data);
	g_list_free(jobs);
}

/*
 * Handles the timer of a job: its step has crossed the link or its execution is
 * complete.
 */
static void
on_job_timer(void *arg)
{
	struct job *job = arg;
	struct instance *instance = job->instance;

	if (job->crossing_link) {
		job->crossing_link = false;
		queue_step(job);
		return;
	}
	release_slot(job);
	if (fault_is_active(instance, FAULT_DIE)) {
		abort_all_jobs(instance);
		return;
	}
	if (!fault_is_active(instance, FAULT_SILENT)) {
		count_execution(job);
		append_trail_step(job);
		continue_job(job);
	}
	start_waiting_steps(instance);
}

/*
 * Writes one line of a generation response.
 */
static void
write_line(struct job *job, bool last)
{
	const char *prompt =
	    json_string_value(json_object_get(job->body, "prompt"));
	bool crossed = fault_is_active(job->instance, FAULT_CROSSED);
	char token[FAKE_TOKEN_MAX];
	json_t *line;
	char *text;

	fake_token_text(token, lstr_from(prompt), job->position);
	line = json_pack("{s:s,s:I,s:I,s:s,s:O,s:b}", "request",
	    crossed ? "another-request" : job->request_id, "attempt",
	    (json_int_t)job->attempt, "position", (json_int_t)job->position,
	    "token", token, "trail", job->trail, "last", last);
	text = json_dumps(line, JSON_COMPACT);
	httpd_stream_write(job->request, lstr_from(text));
	if (fault_is_active(job->instance, FAULT_DOUBLE)) {
		httpd_stream_write(job->request, lstr_from("\n"));
		httpd_stream_write(job->request, lstr_from(text));
	}
	httpd_stream_write(job->request, lstr_from("\n"));
	free(text);
	json_decref(line);
}

/*
 * Emits the token at the current position, then continues with the next one or
 * ends the response.
 */
static void
emit_token(struct job *job)
{
	bool last = job->position + 1 >= job->end;

	if (fault_is_active(job->instance, FAULT_TRUNCATE)) {
		httpd_stream_end(job->request);
		return;
	}
	write_line(job, last);
	job->instance->stats.tokens++;
	if (last) {
		httpd_stream_end(job->request);
		return;
	}
	job->position++;
	job->next_stage = 1;
	json_array_clear(job->trail);
	queue_step(job);
}

/*
 * Processes the response of another stage.
 */
static void
on_stage_done(
    struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct job *job = arg;
	json_t *body = NULL;
	json_t *trail;

	(void)call;
	job->fetch_call = NULL;
	if (result->status == STATUS_OK && result->http_status == 200)
		body = json_loadb(result->body.data, result->body.len, 0, NULL);
	trail = json_object_get(body, "trail");
	if (!json_is_array(trail)) {
		json_decref(body);
		job_abort(job);
		return;
	}
	json_decref(job->trail);
	job->trail = json_incref(trail);
	json_decref(body);
	job->next_stage++;
	continue_job(job);
}

/*
 * Sends the step of the current token to the next stage of the route.
 */
static void
call_stage(struct job *job, const json_t *stage)
{
	static const struct fetch_ops ops = {NULL, on_stage_done};
	struct server *server = job->instance->server;
	const char *address =
	    json_string_value(json_object_get(stage, "address"));
	const char *name =
	    json_string_value(json_object_get(stage, "instance"));
	json_t *body = json_pack("{s:s,s:I,s:I,s:O}", "request",
	    job->request_id, "attempt", (json_int_t)job->attempt, "position",
	    (json_int_t)job->position, "trail", job->trail);
	char *text = json_dumps(body, JSON_COMPACT);
	char url[URL_MAX];
	struct fetch_request request = {.method = "POST",
	    .url = url,
	    .body = lstr_from(text),
	    .response_max_bytes = STAGE_RESPONSE_MAX_BYTES};

	snprintf(url, sizeof(url), "http://%s/i/%s/v1/stage",
	    address ? address : "", name ? name : "");
	if (fetch_start(server->fetch, &request, &ops, job, &job->fetch_call) !=
	    STATUS_OK) {
		job->fetch_call = NULL;
		httpd_stream_end(job->request);
	}
	free(text);
	json_decref(body);
}

/*
 * Continues after a step: responds to a step requested by another instance; for
 * a generation, calls the next stage or emits the token.
 */
static void
continue_job(struct job *job)
{
	json_t *route = json_object_get(job->body, "route");

	if (!job->is_generation) {
		fake_respond(
		    job->request, 200, json_pack("{s:O}", "trail", job->trail));
	} else if (job->next_stage < json_array_size(route)) {
		call_stage(job, json_array_get(route, job->next_stage));
	} else {
		emit_token(job);
	}
}

/*
 * Records an attempt and counts it if it started on an instance that is
 * leaving.
 */
static void
record_attempt(struct job *job)
{
	struct instance *instance = job->instance;
	char key[HASH_KEY_MAX];
	int len =
	    snprintf(key, sizeof(key), "%s/%u", job->request_id, job->attempt);
	gpointer hash = (gpointer)(uintptr_t)XXH3_64bits(key, (size_t)len);

	if (g_hash_table_size(instance->attempts_seen) >= RECORDED_MAX ||
	    !g_hash_table_add(instance->attempts_seen, hash))
		return;
	if (fault_is_active(instance, FAULT_LEAVING)) {
		instance->stats.started_after_leaving++;
		instance->stats.last_new_job_at =
		    loop_now(instance->server->loop);
	}
}

/*
 * Starts a job for a generation or step posted to an instance.
 */
static void
start_job(struct instance *instance, struct httpd_request *request,
    bool is_generation)
{
	struct job *job = calloc(1, sizeof(*job));
	json_t *body = fake_body(request);

	if (job == NULL || body == NULL ||
	    loop_timer_create(instance->server->loop, on_job_timer, job,
		&job->timer) != STATUS_OK) {
		json_decref(body);
		free(job);
		fake_respond_error(request, 400, "malformed");
		return;
	}
	job->instance = instance;
	job->request = request;
	job->body = body;
	job->is_generation = is_generation;
	job->next_stage = 1;
	job->request_id = json_string_value(json_object_get(body, "request"));
	job->attempt = (uint32_t)body_int(body, "attempt", 0);
	job->position =
	    (uint32_t)body_int(body, is_generation ? "start" : "position", 0);
	job->end = (uint32_t)body_int(body, "max_tokens", 0);
	job->trail = is_generation
	    ? json_array()
	    : json_incref(json_object_get(body, "trail"));
	g_hash_table_add(instance->jobs, job);
	httpd_set_data(request, job);
	if (job->request_id == NULL || job->trail == NULL) {
		job_abort(job);
		return;
	}
	record_attempt(job);
	if (is_generation) {
		instance->stats.generations++;
		httpd_stream_begin(request, 200, "application/x-ndjson");
	}
	if (is_generation && job->position >= job->end)
		httpd_stream_end(request);
	else if (is_generation)
		queue_step(job);
	else
		receive_step(job);
}

/*
 * Handles a generate request; refuses it while leaving.
 */
static void
on_generate(struct instance *instance, struct httpd_request *request)
{
	if (fault_is_active(instance, FAULT_LEAVING)) {
		instance->stats.refused_leaving++;
		instance->stats.last_new_job_at =
		    loop_now(instance->server->loop);
		fake_respond_error(request, 503, "leaving");
		return;
	}
	start_job(instance, request, true);
}

/*
 * Aborts the jobs of an attempt on an instance.
 */
static void
on_cancel(struct instance *instance, struct httpd_request *request)
{
	json_t *body = fake_body(request);
	const char *id = json_string_value(json_object_get(body, "request"));
	int64_t attempt = body_int(body, "attempt", -1);
	GList *jobs = g_hash_table_get_keys(instance->jobs);

	instance->stats.cancels++;
	for (GList *item = jobs; id != NULL && item != NULL;
	     item = item->next) {
		struct job *job = item->data;

		if (job->attempt == attempt && strcmp(job->request_id, id) == 0)
			job_abort(job);
	}
	g_list_free(jobs);
	json_decref(body);
	fake_respond(request, 200, json_object());
}

/*
 * Responds with the load of an instance.
 */
static void
on_load(struct instance *instance, struct httpd_request *request)
{
	fake_respond(request, 200,
	    json_pack("{s:I,s:I,s:b}", "running", (json_int_t)instance->running,
		"queued", (json_int_t)g_queue_get_length(instance->waiting),
		"leaving", (int)fault_is_active(instance, FAULT_LEAVING)));
}

/*
 * Sets the fault of an instance.
 */
static void
on_fault(struct server *server, struct httpd_request *request)
{
	json_t *body = fake_body(request);
	const char *mode = json_string_value(json_object_get(body, "mode"));
	const char *name = json_string_value(json_object_get(body, "instance"));
	struct instance *instance = find_instance(server, lstr_from(name));
	int fault = 0;

	while (fault < FAULT_COUNT && mode != NULL &&
	    strcmp(fault_names[fault], mode) != 0)
		fault++;
	if (instance == NULL || mode == NULL || fault == FAULT_COUNT) {
		json_decref(body);
		fake_respond_error(request, 400, "no such instance or mode");
		return;
	}
	instance->fault = (enum fault_mode)fault;
	instance->fault_after = body_int(body, "after", 0);
	instance->fault_delay_usec =
	    body_int(body, "delay_ms", 0) * LOOP_USEC_PER_MSEC;
	instance->fault_executions = 0;
	if (instance->fault == FAULT_LEAVING)
		instance->leaving_at = loop_now(server->loop);
	json_decref(body);
	if (fault_is_active(instance, FAULT_DIE))
		abort_all_jobs(instance);
	fake_respond(request, 200, json_object());
}

/*
 * Dispatches an operation of one instance.
 */
static void
handle_operation(struct instance *instance, struct lstr operation,
    struct httpd_request *request)
{
	if (fault_is_active(instance, FAULT_DIE))
		httpd_abort(request);
	else if (fault_is_active(instance, FAULT_SILENT))
		return;
	else if (lstr_equal_c(operation, "generate"))
		on_generate(instance, request);
	else if (lstr_equal_c(operation, "stage"))
		start_job(instance, request, false);
	else if (lstr_equal_c(operation, "cancel"))
		on_cancel(instance, request);
	else if (lstr_equal_c(operation, "load"))
		on_load(instance, request);
	else
		fake_respond_error(request, 404, "no such operation");
}

/*
 * Dispatches a request; "/i/<instance>/v1/<op>" goes to an instance.
 */
static void
on_request(struct httpd_request *request, void *arg)
{
	static const char infix[] = "/v1/";
	struct server *server = arg;
	struct lstr path = httpd_path(request);
	struct instance *instance;
	const char *slash;

	if (lstr_equal_c(path, "/v1/stats")) {
		on_stats(server, request);
		return;
	}
	if (lstr_equal_c(path, "/v1/fault")) {
		on_fault(server, request);
		return;
	}
	slash = path.len > 3 ? memchr(path.data + 3, '/', path.len - 3) : NULL;
	if (!lstr_starts_with(path, "/i/") || slash == NULL ||
	    strncmp(slash, infix, strlen(infix)) != 0) {
		fake_respond_error(request, 404, "no such page");
		return;
	}
	instance = find_instance(
	    server, lstr_make(path.data + 3, (size_t)(slash - path.data) - 3));
	if (instance == NULL)
		fake_respond_error(request, 404, "no such instance");
	else
		handle_operation(
		    instance, lstr_from(slash + strlen(infix)), request);
}

/*
 * Frees the job of a request that has ended.
 */
static void
on_closed(struct httpd_request *request, void *arg)
{
	struct job *job = httpd_get_data(request);

	(void)arg;
	if (job != NULL)
		job_free(job);
}

/*
 * Runs the fake model engines.
 */
int
main(int argc, char **argv)
{
	static const struct httpd_ops ops = {on_request, on_closed};
	struct setting *settings = (struct setting[]){FAKE_SETTINGS,
	    {"instances", SETTING_TEXT, NULL, 1, 0,
		"Instances: name:first:last:token_us[:link_us],...", true, NULL,
		0},
	    {"batch", SETTING_INT, "8", 1, 4096,
		"Steps that an instance runs concurrently", false, NULL, 0},
	    {0}};
	struct server server = {.instances = g_ptr_array_new()};
	char **list;

	if (!fake_settings(settings, "Fake model engines.", &argc, &argv))
		return EXIT_FAILURE;
	server.batch = (uint32_t)settings_get(settings, "batch")->number;
	list = g_strsplit(settings_get(settings, "instances")->text, ",", 0);
	for (char **item = list; *item != NULL; item++) {
		if (!add_instance(&server, *item)) {
			fprintf(stderr, "instance '%s' is malformed\n", *item);
			return EXIT_FAILURE;
		}
	}
	g_strfreev(list);
	if (loop_create(&server.loop) != STATUS_OK ||
	    fetch_create(server.loop, &server.fetch) != STATUS_OK)
		return EXIT_FAILURE;
	return fake_serve(server.loop, settings, &ops, &server);
}
