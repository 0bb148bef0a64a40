/*
 * Fake of the platform's key-value service: implements the protocol of
 * docs/design.md section 5, with fault injection.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <sodium.h>

#include "httpd.h"
#include "log.h"
#include "proc.h"
#include "settings.h"

#include "fake_common.h"
#include "kv_store.h"

#define VALUE_MAX_BYTES ((size_t)1024 * 1024)
#define BODY_MAX_BYTES ((size_t)2 * 1024 * 1024)
#define WATCH_MAX_MS 60000
/*
 * A request whose response is lost keeps its connection this long, well beyond
 * the timeouts of clients.
 */
#define LOST_HOLD_USEC (180 * LOOP_USEC_PER_SEC)
#define TICK_USEC (20 * LOOP_USEC_PER_MSEC)
#define PERCENT 100
#define DEFAULT_LOSS_PERCENT 30

enum call_kind {
	CALL_GET,
	CALL_PUT,
	CALL_DELETE,
	CALL_LIST,
	CALL_LEASE_GRANT,
	CALL_LEASE_RENEW,
	CALL_WATCH,
	CALL_KIND_COUNT
};

enum fault_mode {
	FAULT_NONE,
	FAULT_OUTAGE,
	FAULT_SLOW,
	FAULT_LOSE_ANSWERS,
	FAULT_PARTIAL_LOSE,
	FAULT_MODE_COUNT
};

static const char *const kind_names[CALL_KIND_COUNT] = {
    "get", "put", "delete", "list", "lease-grant", "lease-renew", "watch"};
static const char *const mode_names[FAULT_MODE_COUNT] = {
    "none", "outage", "slow", "lose-answers", "partial-lose"};

/*
 * A request that gets its response later: a watch, or one subject to a fault.
 */
struct pending {
	struct httpd_request *request;
	enum call_kind kind;
	/* Time when a watch or a lost request ends or a slow one starts. */
	int64_t due_at;
	bool lost;
	bool slow;
	uint64_t after;
};

struct server {
	struct loop *loop;
	struct httpd *httpd;
	struct loop_timer *timer;
	struct store store;
	GPtrArray *pending;
	enum fault_mode mode;
	int64_t delay_usec;
	unsigned int rate_percent;
	GRand *rand;
	int64_t counts[CALL_KIND_COUNT];
	int64_t refused;
	int64_t lost;
	bool checking_pending;
};

static struct setting settings[] = {FAKE_SETTINGS, {0}};

/*
 * Sends a JSON response and releases the reference to its body.
 */
static void
respond(struct httpd_request *request, unsigned int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	httpd_respond(request, status, "application/json", lstr_from(text));
	free(text);
	json_decref(json);
}

static void
respond_error(
    struct httpd_request *request, unsigned int status, const char *message)
{
	respond(request, status, json_pack("{s:s}", "error", message));
}

/*
 * Sets the HTTP status and returns the response body.
 */
static json_t *
set_response(unsigned int *status, unsigned int code, json_t *body)
{
	*status = code;
	return body;
}

static json_t *
set_error_response(unsigned int *status, unsigned int code, const char *message)
{
	*status = code;
	return json_pack("{s:s}", "error", message);
}

/*
 * Performs a conditional write and returns the response.
 */
static json_t *
handle_put(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *response;
	const char *key = httpd_path(request).data + strlen("/v1/kv/");
	struct lstr text = httpd_body(request);
	json_t *body = json_loadb(text.data, text.len, 0, NULL);
	const char *value = json_string_value(json_object_get(body, "value"));
	const char *lease = json_string_value(json_object_get(body, "lease"));
	json_int_t expected =
	    json_integer_value(json_object_get(body, "version"));
	struct store_entry *entry = g_tree_lookup(server->store.entries, key);
	uint64_t stored = entry ? entry->version : 0;

	if (value == NULL) {
		response = set_error_response(status, 400, "no value");
	} else if (strlen(value) / 4 * 3 > VALUE_MAX_BYTES) {
		response = set_error_response(status, 413, "value above 1 MB");
	} else if (lease &&
	    !g_hash_table_contains(server->store.leases, lease)) {
		response = set_error_response(status, 404, "no such lease");
	} else if (stored != (uint64_t)expected) {
		response = set_response(status, 409,
		    json_pack("{s:I}", "version", (json_int_t)stored));
	} else {
		stored = store_put(&server->store, key, value, lease);
		response = set_response(status, 200,
		    json_pack("{s:I}", "version", (json_int_t)stored));
	}
	json_decref(body);
	return response;
}

static json_t *
handle_get(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *response;
	const char *key = httpd_path(request).data + strlen("/v1/kv/");
	struct store_entry *entry = g_tree_lookup(server->store.entries, key);

	if (entry == NULL)
		response = set_error_response(status, 404, "no such key");
	else
		response = set_response(status, 200,
		    json_pack("{s:I, s:s}", "version",
			(json_int_t)entry->version, "value", entry->value));
	return response;
}

static json_t *
handle_delete(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *response;
	const char *key = httpd_path(request).data + strlen("/v1/kv/");
	const char *version = httpd_query(request, "version");
	struct store_entry *entry = g_tree_lookup(server->store.entries, key);

	if (entry == NULL) {
		response = set_error_response(status, 404, "no such key");
	} else if (version == NULL ||
	    g_ascii_strtoull(version, NULL, 10) != entry->version) {
		response = set_response(status, 409,
		    json_pack("{s:I}", "version", (json_int_t)entry->version));
	} else {
		store_delete(&server->store, key);
		response = set_response(status, 200,
		    json_pack("{s:I}", "version",
			(json_int_t)server->store.revision));
	}
	return response;
}

static json_t *
handle_list(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	bool more = false;
	json_t *items =
	    store_list(&server->store, httpd_query(request, "prefix"),
		httpd_query(request, "after"), &more);

	return set_response(status, 200,
	    json_pack("{s:I, s:o, s:b}", "revision",
		(json_int_t)server->store.revision, "items", items, "more",
		more));
}

static json_t *
handle_lease_grant(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *response;
	struct lstr text = httpd_body(request);
	json_t *body = json_loadb(text.data, text.len, 0, NULL);
	json_int_t ttl = json_integer_value(json_object_get(body, "ttl_ms"));
	const char *id;

	json_decref(body);
	if (ttl <= 0) {
		return set_error_response(status, 400, "no ttl_ms");
	}
	id = store_grant(
	    &server->store, ttl * LOOP_USEC_PER_MSEC, loop_now(server->loop));
	response = set_response(status, 200, json_pack("{s:s}", "lease", id));
	return response;
}

static json_t *
handle_lease_renew(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *response;
	const char *id = httpd_path(request).data + strlen("/v1/lease/");
	struct store_lease *lease =
	    g_hash_table_lookup(server->store.leases, id);

	if (lease == NULL) {
		return set_error_response(status, 404, "no such lease");
	}
	lease->expires_at = loop_now(server->loop) + lease->ttl_usec;
	response = set_response(status, 200, json_pack("{s:s}", "lease", id));
	return response;
}

/*
 * Responds to a watch if there are changes or its wait time has expired.
 * Returns false if it has to keep waiting.
 */
static bool
respond_to_watch(struct server *server, struct httpd_request *request,
    uint64_t after, bool expired)
{
	json_t *events;

	if (after < server->store.discarded_revision ||
	    after > server->store.revision) {
		respond_error(request, 410, "revision is too old");
		return true;
	}
	events = store_changes_after(
	    &server->store, httpd_query(request, "prefix"), after);
	if (json_array_size(events) == 0 && !expired) {
		json_decref(events);
		return false;
	}
	respond(request, 200,
	    json_pack("{s:I, s:o}", "revision",
		(json_int_t)server->store.revision, "events", events));
	return true;
}

/*
 * Holds a request back until a time.
 */
static struct pending *
defer(struct server *server, struct httpd_request *request, int64_t due_at)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->request = request;
	pending->due_at = due_at;
	httpd_set_data(request, pending);
	g_ptr_array_add(server->pending, pending);
	return pending;
}

static void
handle_watch(struct server *server, struct httpd_request *request)
{
	const char *after = httpd_query(request, "after");
	const char *wait = httpd_query(request, "wait_ms");
	uint64_t revision = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	int64_t wait_ms = wait ? g_ascii_strtoll(wait, NULL, 10) : 0;
	struct pending *pending;

	wait_ms = CLAMP(wait_ms, 0, WATCH_MAX_MS);
	if (respond_to_watch(server, request, revision, wait_ms == 0))
		return;
	pending = defer(server, request,
	    loop_now(server->loop) + wait_ms * LOOP_USEC_PER_MSEC);
	pending->kind = CALL_WATCH;
	pending->after = revision;
}

/*
 * Performs a call other than a watch and returns the response body.
 */
static json_t *
perform(struct server *server, struct httpd_request *request,
    enum call_kind kind, unsigned int *status)
{
	static json_t *(*const handlers[CALL_KIND_COUNT])(struct server *,
	    struct httpd_request *, unsigned int *) = {handle_get, handle_put,
	    handle_delete, handle_list, handle_lease_grant, handle_lease_renew};

	return handlers[kind](server, request, status);
}

/*
 * Performs a call and sends the response.
 */
static void
handle_call(
    struct server *server, struct httpd_request *request, enum call_kind kind)
{
	unsigned int status = 0;
	json_t *response;

	if (kind == CALL_WATCH) {
		handle_watch(server, request);
		return;
	}
	response = perform(server, request, kind, &status);
	respond(request, status, response);
}

/*
 * Decides whether the response to a write is lost, and whether the write is
 * performed nevertheless. Returns true if it is lost.
 */
static bool
lose_response(
    struct server *server, struct httpd_request *request, enum call_kind kind)
{
	unsigned int status = 0;
	bool performed = true;

	if (kind == CALL_GET || kind == CALL_LIST || kind == CALL_WATCH)
		return false;
	if (server->mode != FAULT_LOSE_ANSWERS &&
	    server->mode != FAULT_PARTIAL_LOSE)
		return false;
	if (g_rand_int_range(server->rand, 0, PERCENT) >=
	    (gint)server->rate_percent)
		return false;
	if (server->mode == FAULT_PARTIAL_LOSE)
		performed = g_rand_boolean(server->rand);
	if (performed)
		json_decref(perform(server, request, kind, &status));
	server->lost++;
	defer(server, request, loop_now(server->loop) + LOST_HOLD_USEC)->lost =
	    true;
	return true;
}

/*
 * Determines the kind of a call. Returns false if the request is not a known
 * call.
 */
static bool
classify(struct httpd_request *request, enum call_kind *kind)
{
	struct lstr method = httpd_method(request);
	struct lstr path = httpd_path(request);

	if (lstr_starts_with(path, "/v1/kv/") && lstr_equal_c(method, "GET"))
		*kind = CALL_GET;
	else if (lstr_starts_with(path, "/v1/kv/") &&
	    lstr_equal_c(method, "PUT"))
		*kind = CALL_PUT;
	else if (lstr_starts_with(path, "/v1/kv/") &&
	    lstr_equal_c(method, "DELETE"))
		*kind = CALL_DELETE;
	else if (lstr_equal_c(path, "/v1/list"))
		*kind = CALL_LIST;
	else if (lstr_equal_c(path, "/v1/lease"))
		*kind = CALL_LEASE_GRANT;
	else if (lstr_starts_with(path, "/v1/lease/"))
		*kind = CALL_LEASE_RENEW;
	else if (lstr_equal_c(path, "/v1/watch"))
		*kind = CALL_WATCH;
	else
		return false;
	return true;
}

/*
 * Finishes a pending request if it is due or an outage is in effect.
 * Returns true if the request is finished.
 */
static bool
check_pending(struct server *server, struct pending *pending, int64_t now)
{
	struct httpd_request *request = pending->request;

	if (request == NULL)
		return true;
	if (pending->lost) {
		if (now < pending->due_at)
			return false;
		respond_error(request, 500, "answer lost");
		return true;
	}
	if (pending->slow) {
		if (now < pending->due_at)
			return false;
		handle_call(server, request, pending->kind);
		return true;
	}
	if (server->mode == FAULT_OUTAGE) {
		respond_error(request, 503, "outage");
		return true;
	}
	return respond_to_watch(
	    server, request, pending->after, now >= pending->due_at);
}

static void
check_all_pending(struct server *server)
{
	int64_t now = loop_now(server->loop);
	guint count = server->pending->len;

	if (server->checking_pending)
		return;
	server->checking_pending = true;
	/* Slow calls may append entries; those are checked next time. */
	for (guint i = 0; i < count;) {
		struct pending *pending = server->pending->pdata[i];

		if (check_pending(server, pending, now)) {
			g_ptr_array_remove_index(server->pending, i);
			g_free(pending);
			count--;
		} else {
			i++;
		}
	}
	server->checking_pending = false;
}

/*
 * Sets the fault mode.
 */
static void
handle_fault(struct server *server, struct httpd_request *request)
{
	struct lstr text = httpd_body(request);
	json_t *body = json_loadb(text.data, text.len, 0, NULL);
	const char *mode = json_string_value(json_object_get(body, "mode"));
	json_t *rate = json_object_get(body, "rate_percent");
	json_t *seed = json_object_get(body, "seed");
	int found = -1;

	for (int i = 0; mode != NULL && i < FAULT_MODE_COUNT; i++) {
		if (strcmp(mode, mode_names[i]) == 0)
			found = i;
	}
	if (found < 0) {
		respond_error(request, 400, "unknown mode");
		json_decref(body);
		return;
	}
	server->mode = (enum fault_mode)found;
	server->delay_usec =
	    json_integer_value(json_object_get(body, "delay_ms")) *
	    LOOP_USEC_PER_MSEC;
	server->rate_percent =
	    found == FAULT_LOSE_ANSWERS ? PERCENT : DEFAULT_LOSS_PERCENT;
	if (json_is_integer(rate))
		server->rate_percent = (unsigned int)json_integer_value(rate);
	if (json_is_integer(seed))
		g_rand_set_seed(
		    server->rand, (guint32)json_integer_value(seed));
	json_decref(body);
	respond(request, 200, json_pack("{s:s}", "mode", mode_names[found]));
	check_all_pending(server);
}

static void
handle_stats(struct server *server, struct httpd_request *request)
{
	json_t *counts = json_object();

	for (int i = 0; i < CALL_KIND_COUNT; i++)
		json_object_set_new(
		    counts, kind_names[i], json_integer(server->counts[i]));
	respond(request, 200,
	    json_pack("{s:o, s:I, s:I, s:I, s:I, s:I}", "calls", counts,
		"refused", (json_int_t)server->refused, "lost",
		(json_int_t)server->lost, "keys",
		(json_int_t)g_tree_nnodes(server->store.entries), "leases",
		(json_int_t)g_hash_table_size(server->store.leases), "revision",
		(json_int_t)server->store.revision));
}

static void
on_request(struct httpd_request *request, void *arg)
{
	struct server *server = arg;
	struct lstr path = httpd_path(request);
	enum call_kind kind;

	if (lstr_equal_c(path, "/v1/fault")) {
		handle_fault(server, request);
		return;
	}
	if (lstr_equal_c(path, "/v1/stats")) {
		handle_stats(server, request);
		return;
	}
	if (!classify(request, &kind)) {
		respond_error(request, 404, "no such call");
		return;
	}
	server->counts[kind]++;
	if (server->mode == FAULT_OUTAGE) {
		server->refused++;
		respond_error(request, 503, "outage");
	} else if (server->mode == FAULT_SLOW) {
		struct pending *pending = defer(server, request,
		    loop_now(server->loop) + server->delay_usec);

		pending->kind = kind;
		pending->slow = true;
	} else if (!lose_response(server, request, kind)) {
		handle_call(server, request, kind);
	}
	check_all_pending(server);
}

static void
on_closed(struct httpd_request *request, void *arg)
{
	struct server *server = arg;

	for (guint i = 0; i < server->pending->len; i++) {
		struct pending *pending = server->pending->pdata[i];

		if (pending->request == request)
			pending->request = NULL;
	}
}

static void
on_tick(void *arg)
{
	struct server *server = arg;

	store_expire(&server->store, loop_now(server->loop));
	check_all_pending(server);
	loop_timer_set(server->timer, loop_now(server->loop) + TICK_USEC);
}

int
main(int argc, char **argv)
{
	static const struct httpd_ops ops = {on_request, on_closed};
	static struct server server;
	const struct setting *port_file;
	int code = proc_parse_settings(
	    settings, "fake_kv", "Fake key-value service", &argc, &argv);

	if (code >= 0)
		return code;
	store_init(&server.store);
	server.pending = g_ptr_array_new();
	server.rand = g_rand_new_with_seed(1);
	if (loop_create(&server.loop) != STATUS_OK ||
	    httpd_create(server.loop, settings_get(settings, "listen")->text,
		BODY_MAX_BYTES, &ops, &server, &server.httpd) != STATUS_OK ||
	    loop_timer_create(server.loop, on_tick, &server, &server.timer) !=
		STATUS_OK) {
		log_event(EV_START_FAILED, "%s", status_message());
		return PROC_EXIT_FAILED;
	}
	loop_timer_set(server.timer, 0);
	port_file = settings_get(settings, "port-file");
	if (fake_write_port_file(port_file->text, httpd_port(server.httpd)) !=
	    0)
		return PROC_EXIT_FAILED;
	loop_run(server.loop);
	return PROC_EXIT_OK;
}
