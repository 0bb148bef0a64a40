#include "fake_common.h"

#include <glib.h>

#define KEYS_MAX 1000000
#define ENTRIES_MAX 1000000

enum fault_mode {
	FAULT_NONE,
	FAULT_DELAY,
	FAULT_LOSE,
	FAULT_DIE,
	FAULT_LEAVING,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
    "none", "delay", "lose", "die", "leaving"};

struct server {
	struct loop *loop;
	bool check_fencing;
	int64_t service_usec;
	enum fault_mode fault;
	int64_t fault_after;
	int64_t fault_delay_usec;
	int64_t fault_calls;
	/* Highest fencing token seen for each key. */
	GHashTable *highest_fences;
	int64_t executions;
	int64_t stale_refused;
	int64_t refused_leaving;
	/* Number of executions for each key and for each request. */
	GHashTable *keys;
	GHashTable *requests;
	/* Bodies appended by "swap", in order. */
	GPtrArray *entries;
};

/* A call that is being processed. */
struct call {
	struct server *server;
	struct httpd_request *request;
	struct loop_timer *timer;
	json_t *body;
};

/*
 * Returns whether a fault is active.
 */
static bool
fault_is_active(const struct server *server, enum fault_mode mode)
{
	return server->fault == mode &&
	    server->fault_calls >= server->fault_after;
}

/*
 * Counts one execution under a name.
 */
static void
count_execution(GHashTable *table, const char *name)
{
	gintptr n = (gintptr)g_hash_table_lookup(table, name);

	if (n == 0 && g_hash_table_size(table) >= KEYS_MAX)
		return;
	g_hash_table_insert(table, g_strdup(name), (gpointer)(n + 1));
}

/*
 * Frees a call.
 */
static void
call_free(struct call *call)
{
	loop_timer_destroy(call->timer);
	json_decref(call->body);
	free(call);
}

/*
 * Returns a string field of a body, or "" when it is absent.
 */
static const char *
body_text(const json_t *body, const char *name)
{
	const char *text = json_string_value(json_object_get(body, name));

	return text ? text : "";
}

/*
 * Returns whether a call is outdated because one with a higher fencing token
 * was seen for its key. A fencing token orders the uses of one claim; tokens of
 * different keys come from different logs and have no order.
 */
static bool
is_stale(struct server *server, const json_t *body)
{
	const char *key = body_text(body, "key");
	uintptr_t fence =
	    (uintptr_t)json_integer_value(json_object_get(body, "fence"));
	uintptr_t highest;

	if (!server->check_fencing || key[0] == '\0')
		return false;
	highest = (uintptr_t)g_hash_table_lookup(server->highest_fences, key);
	if (fence < highest) {
		server->stale_refused++;
		return true;
	}
	if (highest != 0 ||
	    g_hash_table_size(server->highest_fences) < KEYS_MAX)
		g_hash_table_insert(
		    server->highest_fences, g_strdup(key), (gpointer)fence);
	return false;
}

/*
 * Executes an operation. "swap" appends the body and responds with the number
 * of entries; "lookup" responds with that number and the last entry.
 */
static json_t *
execute(struct server *server, const json_t *body)
{
	const char *key = body_text(body, "key");
	guint entries;

	server->executions++;
	count_execution(server->requests, body_text(body, "request"));
	if (key[0] != '\0')
		count_execution(server->keys, key);
	if (strcmp(body_text(body, "operation"), "swap") == 0 &&
	    server->entries->len < ENTRIES_MAX)
		g_ptr_array_add(
		    server->entries, g_strdup(body_text(body, "body")));
	entries = server->entries->len;
	return json_pack("{s:s,s:I,s:s}", "operation",
	    body_text(body, "operation"), "entries", (json_int_t)entries,
	    "last", entries ? (char *)server->entries->pdata[entries - 1] : "");
}

/*
 * Executes a call after its service time and responds, unless a fault drops the
 * response.
 */
static void
on_service_end(void *arg)
{
	struct call *call = arg;
	struct server *server = call->server;
	struct httpd_request *request = call->request;
	json_t *response = execute(server, call->body);

	httpd_set_data(request, NULL);
	call_free(call);
	if (fault_is_active(server, FAULT_LOSE) ||
	    fault_is_active(server, FAULT_DIE)) {
		json_decref(response);
		httpd_abort(request);
		return;
	}
	fake_respond(request, 200, response);
}

/*
 * Validates a call and schedules its execution.
 */
static void
on_call(struct server *server, struct httpd_request *request)
{
	struct call *call;
	json_t *body;
	int64_t delay_usec = server->service_usec;

	server->fault_calls++;
	if (fault_is_active(server, FAULT_LEAVING)) {
		server->refused_leaving++;
		fake_respond_error(request, 503, "leaving");
		return;
	}
	body = fake_body(request);
	if (body == NULL || is_stale(server, body)) {
		fake_respond_error(request, body ? 409 : 400,
		    body ? "stale-fence" : "malformed");
		json_decref(body);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (call == NULL ||
	    loop_timer_create(server->loop, on_service_end, call,
		&call->timer) != STATUS_OK) {
		free(call);
		json_decref(body);
		httpd_abort(request);
		return;
	}
	call->server = server;
	call->request = request;
	call->body = body;
	httpd_set_data(request, call);
	if (fault_is_active(server, FAULT_DELAY))
		delay_usec += server->fault_delay_usec;
	loop_timer_set(call->timer, loop_now(server->loop) + delay_usec);
}

/*
 * Returns a table of counts as a JSON object.
 */
static json_t *
counts_json(GHashTable *table)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(
		    object, key, json_integer((json_int_t)(gintptr)value));
	return object;
}

/*
 * Responds with the ledger: the counts of executed and rejected calls.
 */
static void
on_ledger(struct server *server, struct httpd_request *request)
{
	fake_respond(request, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:o,s:o}", "executions",
		(json_int_t)server->executions, "entries",
		(json_int_t)server->entries->len, "stale_refused",
		(json_int_t)server->stale_refused, "refused_leaving",
		(json_int_t)server->refused_leaving, "keys",
		counts_json(server->keys), "requests",
		counts_json(server->requests)));
}

/*
 * Sets the fault mode.
 */
static void
on_fault(struct server *server, struct httpd_request *request)
{
	json_t *body = fake_body(request);
	const char *mode = body_text(body, "mode");
	int fault = 0;

	while (fault < FAULT_COUNT && strcmp(fault_names[fault], mode) != 0)
		fault++;
	if (fault == FAULT_COUNT) {
		json_decref(body);
		fake_respond_error(request, 400, "no such mode");
		return;
	}
	server->fault = (enum fault_mode)fault;
	server->fault_after =
	    json_integer_value(json_object_get(body, "after"));
	server->fault_delay_usec =
	    json_integer_value(json_object_get(body, "delay_ms")) *
	    LOOP_USEC_PER_MSEC;
	server->fault_calls = 0;
	json_decref(body);
	fake_respond(request, 200, json_object());
}

/*
 * Dispatches a request by its path.
 */
static void
on_request(struct httpd_request *request, void *arg)
{
	struct server *server = arg;
	struct lstr path = httpd_path(request);

	if (lstr_equal_c(path, "/v1/ledger"))
		on_ledger(server, request);
	else if (lstr_equal_c(path, "/v1/fault"))
		on_fault(server, request);
	else if (!lstr_equal_c(path, "/v1/call"))
		fake_respond_error(request, 404, "no such page");
	else if (fault_is_active(server, FAULT_DIE))
		httpd_abort(request);
	else
		on_call(server, request);
}

/*
 * Handles a caller that disconnected. Its call has been received, so it is
 * executed; only the response is dropped.
 */
static void
on_closed(struct httpd_request *request, void *arg)
{
	struct call *call = httpd_get_data(request);

	(void)arg;
	if (call == NULL)
		return;
	json_decref(execute(call->server, call->body));
	call_free(call);
}

/*
 * Runs the fake plain service.
 */
int
main(int argc, char **argv)
{
	static const struct httpd_ops ops = {on_request, on_closed};
	struct setting *settings = (struct setting[]){FAKE_SETTINGS,
	    {"check-fencing", SETTING_BOOL, "false", 0, 0,
		"Reject calls with an old fencing token", false, NULL, 0},
	    {"service-us", SETTING_INT, "1000", 0, 10000000,
		"Service time of a call in microseconds", false, NULL, 0},
	    {0}};
	struct server server = {.entries = g_ptr_array_new()};

	if (!fake_settings(settings, "Fake plain service.", &argc, &argv))
		return EXIT_FAILURE;
	server.check_fencing =
	    settings_get(settings, "check-fencing")->number != 0;
	server.service_usec = settings_get(settings, "service-us")->number;
	server.keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server.requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server.highest_fences =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (loop_create(&server.loop) != STATUS_OK)
		return EXIT_FAILURE;
	return fake_serve(server.loop, settings, &ops, &server);
}
