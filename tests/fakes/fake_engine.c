#include "engine_model.h"
#include "fake_token.h"

static void begin_service(struct work *);
static void finish_step(struct work *);

/*
 * Hands free slots of an instance to the work that waits.
 */
static void
serve_waiting(struct instance *instance)
{
	while (instance->running < instance->server->batch &&
	    !g_queue_is_empty(instance->waiting))
		begin_service(g_queue_pop_head(instance->waiting));
}

/*
 * Gives back the slot of a work.
 */
static void
end_service(struct work *work)
{
	if (!work->in_service)
		return;
	work->in_service = false;
	work->instance->running--;
}

/*
 * Frees a work; its request must be over or aborted.
 */
static void
work_free(struct work *work)
{
	struct instance *instance = work->instance;

	g_queue_remove(instance->waiting, work);
	g_hash_table_remove(instance->works, work);
	end_service(work);
	loop_timer_destroy(work->timer);
	fetch_cancel(work->fetch_call);
	json_decref(work->body);
	json_decref(work->trail);
	free(work);
	serve_waiting(instance);
}

/*
 * Ends a work with an aborted connection.
 */
static void
work_abort(struct work *work)
{
	struct httpd_request *request = work->request;

	httpd_set_data(request, NULL);
	work_free(work);
	httpd_abort(request);
}

/*
 * Takes a slot for one step and sets its service time.
 */
static void
begin_service(struct work *work)
{
	struct instance *instance = work->instance;
	int64_t usec = instance->token_usec;

	if (fault_is(instance, FAULT_LATE))
		usec += instance->fault_delay_usec;
	work->in_service = true;
	instance->running++;
	loop_timer_set(work->timer, loop_now(instance->server->loop) + usec);
}

/*
 * Queues a work for its next step.
 */
static void
queue_step(struct work *work)
{
	g_queue_push_tail(work->instance->waiting, work);
	serve_waiting(work->instance);
}

/*
 * Queues a step of another engine when it has crossed the link.
 */
static void
receive_step(struct work *work)
{
	struct instance *instance = work->instance;

	if (instance->link_usec == 0) {
		queue_step(work);
		return;
	}
	work->travelling = true;
	loop_timer_set(work->timer,
	    loop_now(instance->server->loop) + instance->link_usec);
}

/*
 * Counts one execution and finds repeated ones.
 */
static void
count_execution(struct work *work)
{
	struct instance *instance = work->instance;
	char key[KEY_MAX];
	int len = snprintf(key, sizeof(key), "%s/%u/%u", work->request_id,
	    work->attempt, work->position);
	gpointer hash = (gpointer)(uintptr_t)XXH3_64bits(key, (size_t)len);

	instance->stats.executions++;
	instance->fault_executions++;
	if (g_hash_table_size(instance->seen) < SEEN_MAX &&
	    !g_hash_table_add(instance->seen, hash))
		instance->stats.repeated++;
}

/*
 * Adds the step of this instance to the trail. With the fault wrong-trail,
 * even positions skip it and odd ones repeat it.
 */
static void
add_step(struct work *work)
{
	struct instance *instance = work->instance;
	int copies = 1;

	if (fault_is(instance, FAULT_WRONG_TRAIL))
		copies = work->position % 2 == 0 ? 0 : 2;
	for (int i = 0; i < copies; i++)
		json_array_append_new(work->trail,
		    json_pack("{s:s,s:I,s:I,s:I,s:I}", "instance",
			instance->name, "first", (json_int_t)instance->first,
			"last", (json_int_t)instance->last, "attempt",
			(json_int_t)work->attempt, "position",
			(json_int_t)work->position));
}

/*
 * Aborts everything that is open on an instance.
 */
static void
kill_instance(struct instance *instance)
{
	GList *works = g_hash_table_get_keys(instance->works);

	for (GList *item = works; item != NULL; item = item->next)
		work_abort(item->data);
	g_list_free(works);
}

/*
 * Ends the way of a step over the link, or its service.
 */
static void
on_service_end(void *arg)
{
	struct work *work = arg;
	struct instance *instance = work->instance;

	if (work->travelling) {
		work->travelling = false;
		queue_step(work);
		return;
	}
	end_service(work);
	if (fault_is(instance, FAULT_DIE)) {
		kill_instance(instance);
		return;
	}
	if (!fault_is(instance, FAULT_SILENT)) {
		count_execution(work);
		add_step(work);
		finish_step(work);
	}
	serve_waiting(instance);
}

/*
 * Writes one line of a generation.
 */
static void
write_line(struct work *work, bool last)
{
	const char *prompt =
	    json_string_value(json_object_get(work->body, "prompt"));
	bool crossed = fault_is(work->instance, FAULT_CROSSED);
	char token[FAKE_TOKEN_MAX];
	json_t *line;
	char *text;

	fake_token_text(token, lstr_from(prompt), work->position);
	line = json_pack("{s:s,s:I,s:I,s:s,s:O,s:b}", "request",
	    crossed ? "another-request" : work->request_id, "attempt",
	    (json_int_t)work->attempt, "position", (json_int_t)work->position,
	    "token", token, "trail", work->trail, "last", last);
	text = json_dumps(line, JSON_COMPACT);
	httpd_stream_write(work->request, lstr_from(text));
	if (fault_is(work->instance, FAULT_DOUBLE)) {
		httpd_stream_write(work->request, lstr_from("\n"));
		httpd_stream_write(work->request, lstr_from(text));
	}
	httpd_stream_write(work->request, lstr_from("\n"));
	free(text);
	json_decref(line);
}

/*
 * Emits the token at the present position, then goes on or ends.
 */
static void
emit_token(struct work *work)
{
	bool last = work->position + 1 >= work->end;

	if (fault_is(work->instance, FAULT_TRUNCATE)) {
		httpd_stream_end(work->request);
		return;
	}
	write_line(work, last);
	work->instance->stats.tokens++;
	if (last) {
		httpd_stream_end(work->request);
		return;
	}
	work->position++;
	work->next_stage = 1;
	json_array_clear(work->trail);
	queue_step(work);
}

/*
 * Takes the answer of another stage.
 */
static void
on_stage_done(
    struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct work *work = arg;
	json_t *body = NULL;
	json_t *trail;

	(void)call;
	work->fetch_call = NULL;
	if (result->status == STATUS_OK && result->http_status == 200)
		body = json_loadb(result->body.data, result->body.len, 0, NULL);
	trail = json_object_get(body, "trail");
	if (!json_is_array(trail)) {
		json_decref(body);
		work_abort(work);
		return;
	}
	json_decref(work->trail);
	work->trail = json_incref(trail);
	json_decref(body);
	work->next_stage++;
	finish_step(work);
}

/*
 * Sends a token to the next stage of the route.
 */
static void
call_stage(struct work *work, const json_t *stage)
{
	static const struct fetch_ops ops = {NULL, on_stage_done};
	struct server *server = work->instance->server;
	const char *address =
	    json_string_value(json_object_get(stage, "address"));
	const char *name =
	    json_string_value(json_object_get(stage, "instance"));
	json_t *body = json_pack("{s:s,s:I,s:I,s:O}", "request",
	    work->request_id, "attempt", (json_int_t)work->attempt, "position",
	    (json_int_t)work->position, "trail", work->trail);
	char *text = json_dumps(body, JSON_COMPACT);
	char url[URL_MAX];
	struct fetch_request request = {.method = "POST",
	    .url = url,
	    .body = lstr_from(text),
	    .answer_max_bytes = STAGE_ANSWER_MAX_BYTES};

	snprintf(url, sizeof(url), "http://%s/i/%s/v1/stage",
	    address ? address : "", name ? name : "");
	if (fetch_start(server->fetch, &request, &ops, work,
		&work->fetch_call) != STATUS_OK) {
		work->fetch_call = NULL;
		httpd_stream_end(work->request);
	}
	free(text);
	json_decref(body);
}

/*
 * Goes on after a step: a step for another engine is answered; a generation
 * calls the next stage or emits its token.
 */
static void
finish_step(struct work *work)
{
	json_t *route = json_object_get(work->body, "route");

	if (!work->generation) {
		fake_respond(work->request, 200,
		    json_pack("{s:O}", "trail", work->trail));
	} else if (work->next_stage < json_array_size(route)) {
		call_stage(work, json_array_get(route, work->next_stage));
	} else {
		emit_token(work);
	}
}

/*
 * Notes new work on an instance that is leaving.
 */
static void
note_attempt(struct work *work)
{
	struct instance *instance = work->instance;
	char key[KEY_MAX];
	int len = snprintf(
	    key, sizeof(key), "%s/%u", work->request_id, work->attempt);
	gpointer hash = (gpointer)(uintptr_t)XXH3_64bits(key, (size_t)len);

	if (g_hash_table_size(instance->attempts) >= SEEN_MAX ||
	    !g_hash_table_add(instance->attempts, hash))
		return;
	if (fault_is(instance, FAULT_LEAVING)) {
		instance->stats.started_after_leaving++;
		instance->stats.last_new_work_at =
		    loop_now(instance->server->loop);
	}
}

/*
 * Begins a generation or a step that was posted to an instance.
 */
static void
begin_work(
    struct instance *instance, struct httpd_request *request, bool generation)
{
	struct work *work = calloc(1, sizeof(*work));
	json_t *body = fake_body(request);

	if (work == NULL || body == NULL ||
	    loop_timer_create(instance->server->loop, on_service_end, work,
		&work->timer) != STATUS_OK) {
		json_decref(body);
		free(work);
		fake_refuse(request, 400, "malformed");
		return;
	}
	work->instance = instance;
	work->request = request;
	work->body = body;
	work->generation = generation;
	work->next_stage = 1;
	work->request_id = json_string_value(json_object_get(body, "request"));
	work->attempt = (uint32_t)body_int(body, "attempt", 0);
	work->position =
	    (uint32_t)body_int(body, generation ? "start" : "position", 0);
	work->end = (uint32_t)body_int(body, "max_tokens", 0);
	work->trail = generation ? json_array()
				 : json_incref(json_object_get(body, "trail"));
	g_hash_table_add(instance->works, work);
	httpd_set_data(request, work);
	if (work->request_id == NULL || work->trail == NULL) {
		work_abort(work);
		return;
	}
	note_attempt(work);
	if (generation) {
		instance->stats.generations++;
		httpd_stream_begin(request, 200, "application/x-ndjson");
	}
	if (generation && work->position >= work->end)
		httpd_stream_end(request);
	else if (generation)
		queue_step(work);
	else
		receive_step(work);
}

/*
 * Serves a generate request, or refuses it while leaving.
 */
static void
on_generate(struct instance *instance, struct httpd_request *request)
{
	if (fault_is(instance, FAULT_LEAVING)) {
		instance->stats.refused_leaving++;
		instance->stats.last_new_work_at =
		    loop_now(instance->server->loop);
		fake_refuse(request, 503, "leaving");
		return;
	}
	begin_work(instance, request, true);
}

/*
 * Ends the generations and steps of an attempt on an instance.
 */
static void
on_cancel(struct instance *instance, struct httpd_request *request)
{
	json_t *body = fake_body(request);
	const char *id = json_string_value(json_object_get(body, "request"));
	int64_t attempt = body_int(body, "attempt", -1);
	GList *works = g_hash_table_get_keys(instance->works);

	instance->stats.cancels++;
	for (GList *item = works; id != NULL && item != NULL;
	     item = item->next) {
		struct work *work = item->data;

		if (work->attempt == attempt &&
		    strcmp(work->request_id, id) == 0)
			work_abort(work);
	}
	g_list_free(works);
	json_decref(body);
	fake_respond(request, 200, json_object());
}

/*
 * Answers a load query.
 */
static void
on_load(struct instance *instance, struct httpd_request *request)
{
	fake_respond(request, 200,
	    json_pack("{s:I,s:I,s:b}", "running", (json_int_t)instance->running,
		"queued", (json_int_t)g_queue_get_length(instance->waiting),
		"leaving", (int)fault_is(instance, FAULT_LEAVING)));
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
		fake_refuse(request, 400, "no such instance or mode");
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
	if (fault_is(instance, FAULT_DIE))
		kill_instance(instance);
	fake_respond(request, 200, json_object());
}

/*
 * Serves an operation of one instance.
 */
static void
serve_instance(struct instance *instance, struct lstr operation,
    struct httpd_request *request)
{
	if (fault_is(instance, FAULT_DIE))
		httpd_abort(request);
	else if (fault_is(instance, FAULT_SILENT))
		return;
	else if (lstr_equal_c(operation, "generate"))
		on_generate(instance, request);
	else if (lstr_equal_c(operation, "stage"))
		begin_work(instance, request, false);
	else if (lstr_equal_c(operation, "cancel"))
		on_cancel(instance, request);
	else if (lstr_equal_c(operation, "load"))
		on_load(instance, request);
	else
		fake_refuse(request, 404, "no such operation");
}

/*
 * Finds the instance and the operation in a path "/i/<instance>/v1/<op>".
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
		fake_refuse(request, 404, "no such page");
		return;
	}
	instance = find_instance(
	    server, lstr_make(path.data + 3, (size_t)(slash - path.data) - 3));
	if (instance == NULL)
		fake_refuse(request, 404, "no such instance");
	else
		serve_instance(
		    instance, lstr_from(slash + strlen(infix)), request);
}

/*
 * Ends the work of a request that is over.
 */
static void
on_closed(struct httpd_request *request, void *arg)
{
	struct work *work = httpd_get_data(request);

	(void)arg;
	if (work != NULL)
		work_free(work);
}

/*
 * Runs the stand-in for model engines.
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
		"Steps that an instance serves at once", false, NULL, 0},
	    {0}};
	struct server server = {.instances = g_ptr_array_new()};
	char **list;

	if (!fake_settings(
		settings, "Stand-in for model engines.", &argc, &argv))
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
