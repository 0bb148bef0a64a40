/*
 * Stand-in for the platform's key-value service: the protocol of
 * docs/design.md section 5, with faults on request.
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
/* A lost answer frees its connection after this time, long after clients. */
#define HOLD_USEC (180 * LOOP_USEC_PER_SEC)
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

/* A request that is answered later. */
struct waiting {
	struct httpd_request *request;
	enum call_kind kind;
	/* Watches and lost answers end, slow calls begin at this time. */
	int64_t at;
	bool lost;
	bool slow;
	uint64_t after;
};

struct server {
	struct loop *loop;
	struct httpd *httpd;
	struct loop_timer *timer;
	struct store store;
	GPtrArray *waiting;
	enum fault_mode mode;
	int64_t delay_usec;
	unsigned int rate_percent;
	GRand *rand;
	int64_t counts[CALL_KIND_COUNT];
	int64_t refused;
	int64_t lost;
	bool scanning;
};

static struct setting settings[] = {FAKE_SETTINGS, {0}};

/*
 * Answers with a JSON value, which it takes.
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
 * Sets the HTTP status and returns the body.
 */
static json_t *
success(unsigned int *status, unsigned int code, json_t *body)
{
	*status = code;
	return body;
}

static json_t *
failure(unsigned int *status, unsigned int code, const char *message)
{
	*status = code;
	return json_pack("{s:s}", "error", message);
}

/*
 * Performs a conditional write and answers.
 */
static json_t *
handle_put(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *answer;
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
		answer = failure(status, 400, "no value");
	} else if (strlen(value) / 4 * 3 > VALUE_MAX_BYTES) {
		answer = failure(status, 413, "value above 1 MB");
	} else if (lease &&
	    !g_hash_table_contains(server->store.leases, lease)) {
		answer = failure(status, 404, "no such lease");
	} else if (stored != (uint64_t)expected) {
		answer = success(status, 409,
		    json_pack("{s:I}", "version", (json_int_t)stored));
	} else {
		stored = store_put(&server->store, key, value, lease);
		answer = success(status, 200,
		    json_pack("{s:I}", "version", (json_int_t)stored));
	}
	json_decref(body);
	return answer;
}

static json_t *
handle_get(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *answer;
	const char *key = httpd_path(request).data + strlen("/v1/kv/");
	struct store_entry *entry = g_tree_lookup(server->store.entries, key);

	if (entry == NULL)
		answer = failure(status, 404, "no such key");
	else
		answer = success(status, 200,
		    json_pack("{s:I, s:s}", "version",
			(json_int_t)entry->version, "value", entry->value));
	return answer;
}

static json_t *
handle_delete(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *answer;
	const char *key = httpd_path(request).data + strlen("/v1/kv/");
	const char *version = httpd_query(request, "version");
	struct store_entry *entry = g_tree_lookup(server->store.entries, key);

	if (entry == NULL) {
		answer = failure(status, 404, "no such key");
	} else if (version == NULL ||
	    g_ascii_strtoull(version, NULL, 10) != entry->version) {
		answer = success(status, 409,
		    json_pack("{s:I}", "version", (json_int_t)entry->version));
	} else {
		store_delete(&server->store, key);
		answer = success(status, 200,
		    json_pack("{s:I}", "version",
			(json_int_t)server->store.revision));
	}
	return answer;
}

static json_t *
handle_list(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	bool more = false;
	json_t *items =
	    store_list(&server->store, httpd_query(request, "prefix"),
		httpd_query(request, "after"), &more);

	return success(status, 200,
	    json_pack("{s:I, s:o, s:b}", "revision",
		(json_int_t)server->store.revision, "items", items, "more",
		more));
}

static json_t *
handle_lease_grant(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *answer;
	struct lstr text = httpd_body(request);
	json_t *body = json_loadb(text.data, text.len, 0, NULL);
	json_int_t ttl = json_integer_value(json_object_get(body, "ttl_ms"));
	const char *id;

	json_decref(body);
	if (ttl <= 0) {
		return failure(status, 400, "no ttl_ms");
	}
	id = store_grant(
	    &server->store, ttl * LOOP_USEC_PER_MSEC, loop_now(server->loop));
	answer = success(status, 200, json_pack("{s:s}", "lease", id));
	return answer;
}

static json_t *
handle_lease_renew(
    struct server *server, struct httpd_request *request, unsigned int *status)
{
	json_t *answer;
	const char *id = httpd_path(request).data + strlen("/v1/lease/");
	struct store_lease *lease =
	    g_hash_table_lookup(server->store.leases, id);

	if (lease == NULL) {
		return failure(status, 404, "no such lease");
	}
	lease->expires_at = loop_now(server->loop) + lease->ttl_usec;
	answer = success(status, 200, json_pack("{s:s}", "lease", id));
	return answer;
}

/*
 * Answers a watch when there are changes or it has waited long enough;
 * returns false to wait on.
 */
static bool
answer_watch(struct server *server, struct httpd_request *request,
    uint64_t after, bool over)
{
	json_t *events;

	if (after < server->store.forgotten || after > server->store.revision) {
		respond_error(request, 410, "revision is too old");
		return true;
	}
	events = store_changes_after(
	    &server->store, httpd_query(request, "prefix"), after);
	if (json_array_size(events) == 0 && !over) {
		json_decref(events);
		return false;
	}
	respond(request, 200,
	    json_pack("{s:I, s:o}", "revision",
		(json_int_t)server->store.revision, "events", events));
	return true;
}

/*
 * Puts a request aside until a time.
 */
static struct waiting *
defer(struct server *server, struct httpd_request *request, int64_t at)
{
	struct waiting *waiting = g_new0(struct waiting, 1);

	waiting->request = request;
	waiting->at = at;
	httpd_set_data(request, waiting);
	g_ptr_array_add(server->waiting, waiting);
	return waiting;
}

static void
handle_watch(struct server *server, struct httpd_request *request)
{
	const char *after = httpd_query(request, "after");
	const char *wait = httpd_query(request, "wait_ms");
	uint64_t revision = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	int64_t wait_ms = wait ? g_ascii_strtoll(wait, NULL, 10) : 0;
	struct waiting *waiting;

	wait_ms = CLAMP(wait_ms, 0, WATCH_MAX_MS);
	if (answer_watch(server, request, revision, wait_ms == 0))
		return;
	waiting = defer(server, request,
	    loop_now(server->loop) + wait_ms * LOOP_USEC_PER_MSEC);
	waiting->kind = CALL_WATCH;
	waiting->after = revision;
}

/*
 * Performs a call other than a watch and returns its answer.
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
 * Performs a call and answers it.
 */
static void
answer_call(
    struct server *server, struct httpd_request *request, enum call_kind kind)
{
	unsigned int status = 0;
	json_t *answer;

	if (kind == CALL_WATCH) {
		handle_watch(server, request);
		return;
	}
	answer = perform(server, request, kind, &status);
	respond(request, status, answer);
}

/*
 * Decides whether the answer of a write is lost, and whether the write is
 * performed nevertheless.
 */
static bool
lose_answer(
    struct server *server, struct httpd_request *request, enum call_kind kind)
{
	unsigned int status = 0;
	bool done = true;

	if (kind == CALL_GET || kind == CALL_LIST || kind == CALL_WATCH)
		return false;
	if (server->mode != FAULT_LOSE_ANSWERS &&
	    server->mode != FAULT_PARTIAL_LOSE)
		return false;
	if (g_rand_int_range(server->rand, 0, PERCENT) >=
	    (gint)server->rate_percent)
		return false;
	if (server->mode == FAULT_PARTIAL_LOSE)
		done = g_rand_boolean(server->rand);
	if (done)
		json_decref(perform(server, request, kind, &status));
	server->lost++;
	defer(server, request, loop_now(server->loop) + HOLD_USEC)->lost = true;
	return true;
}

/*
 * Finds what a request asks for; false when there is no such call.
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
 * Ends what has waited long enough or sees an outage; true when it is over.
 */
static bool
check_waiting(struct server *server, struct waiting *waiting, int64_t now)
{
	struct httpd_request *request = waiting->request;

	if (request == NULL)
		return true;
	if (waiting->lost) {
		if (now < waiting->at)
			return false;
		respond_error(request, 500, "answer lost");
		return true;
	}
	if (waiting->slow) {
		if (now < waiting->at)
			return false;
		answer_call(server, request, waiting->kind);
		return true;
	}
	if (server->mode == FAULT_OUTAGE) {
		respond_error(request, 503, "outage");
		return true;
	}
	return answer_watch(
	    server, request, waiting->after, now >= waiting->at);
}

static void
wake_watches(struct server *server)
{
	int64_t now = loop_now(server->loop);
	guint count = server->waiting->len;

	if (server->scanning)
		return;
	server->scanning = true;
	/* New entries are appended while slow calls are performed. */
	for (guint i = 0; i < count;) {
		struct waiting *waiting = server->waiting->pdata[i];

		if (check_waiting(server, waiting, now)) {
			g_ptr_array_remove_index(server->waiting, i);
			g_free(waiting);
			count--;
		} else {
			i++;
		}
	}
	server->scanning = false;
}

/*
 * Changes the fault mode.
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
	wake_watches(server);
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
		struct waiting *waiting = defer(server, request,
		    loop_now(server->loop) + server->delay_usec);

		waiting->kind = kind;
		waiting->slow = true;
	} else if (!lose_answer(server, request, kind)) {
		answer_call(server, request, kind);
	}
	wake_watches(server);
}

static void
on_closed(struct httpd_request *request, void *arg)
{
	struct server *server = arg;

	for (guint i = 0; i < server->waiting->len; i++) {
		struct waiting *waiting = server->waiting->pdata[i];

		if (waiting->request == request)
			waiting->request = NULL;
	}
}

static void
on_tick(void *arg)
{
	struct server *server = arg;

	store_expire(&server->store, loop_now(server->loop));
	wake_watches(server);
	loop_timer_set(server->timer, loop_now(server->loop) + TICK_USEC);
}

int
main(int argc, char **argv)
{
	static const struct httpd_ops ops = {on_request, on_closed};
	static struct server server;
	const struct setting *port_file;
	int code = proc_settings_or_exit_code(settings, "fake_kv",
	    "Stand-in for the key-value service", &argc, &argv);

	if (code >= 0)
		return code;
	store_init(&server.store);
	server.waiting = g_ptr_array_new();
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
