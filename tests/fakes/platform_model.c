#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "fake_platform.h"

#define ENGINES 5
#define PLAINS 2
#define LAYERS 8
#define EVENTS 12
/* Start of the engines, milliseconds of the wall clock. */
#define BORN_MSEC 1700000000000
#define PACE_USEC (5 * LOOP_USEC_PER_MSEC)
#define IDLE_USEC (60 * LOOP_USEC_PER_SEC)
#define HEAD_MAX_BYTES 65536
/* The engine that turns dark; another one holds the same layers. */
#define FAULTY_ENGINE 1

struct item {
	char *value;
	uint64_t revision;
	int64_t lease;
};

/* A watch that waits. */
struct waiter {
	struct h1_conn *conn;
	struct fake_platform *platform;
	struct loop_timer *timer;
	uint64_t after;
	char *prefix;
};

struct server {
	struct fake_platform *platform;
	struct h1_listener *listener;
	char id[16];
	char address[32];
	bool engine;
	unsigned int from;
	unsigned int to;
	unsigned int orders;
	bool draining;
	int64_t born;
};

/* A request at an engine, or one at a plain server that is being read. */
struct work {
	struct server *server;
	struct h1_conn *conn;
	struct loop_timer *timer;
	struct lstr_buf body;
	char id[64];
	unsigned int next;
	bool streaming;
	/* Its path uses the engine that misbehaves. */
	bool faulty;
};

struct change {
	uint64_t revision;
	char *key;
	bool deleted;
};

struct fake_platform {
	struct loop *loop;
	struct h1 *h1;
	struct h1_limits limits;
	struct h1_listener *store;
	GHashTable *items;
	GArray *changes;
	GPtrArray *waiters;
	GPtrArray *works;
	struct server servers[ENGINES + PLAINS];
	GHashTable *runs;
	uint64_t revision;
	int64_t next_lease;
	int64_t pace;
	enum fake_fault engine_fault;
	unsigned int fault_event;
	enum fake_fault plain_fault;
	bool silent;
	unsigned int streams;
	unsigned int bad_paths;
	unsigned int keys_seen;
	unsigned int reroutes;
	bool refuses_reroutes;
	bool deaf;
	unsigned int deaf_orders;
	unsigned int deaf_questions;
};

/*
 * Frees an item.
 */
static void
item_free(void *data)
{
	struct item *item = data;

	g_free(item->value);
	g_free(item);
}

/*
 * Writes an answer with a JSON body, and takes the body.
 */
static void
answer_json(struct h1_conn *conn, unsigned int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct lstr_buf out = {0};

	json_decref(body);
	lstr_buf_printf(&out,
	    "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, strlen(text), text);
	h1_write(conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
	free(text);
	h1_next(conn);
}

/*
 * Builds the JSON of an item.
 */
static json_t *
item_json(const char *key, const struct item *item)
{
	char *text =
	    g_base64_encode((const guchar *)item->value, strlen(item->value));
	json_t *json = json_pack("{s:s, s:s, s:I, s:I}", "key", key, "value",
	    text, "revision", (json_int_t)item->revision, "lease",
	    (json_int_t)item->lease);

	g_free(text);
	return json;
}

/*
 * Collects the changes of a prefix after a revision.
 */
static json_t *
changes_after(
    struct fake_platform *platform, const char *prefix, uint64_t after)
{
	json_t *events = json_array();

	for (guint i = 0; i < platform->changes->len; i++) {
		const struct change *change =
		    &g_array_index(platform->changes, struct change, i);
		const struct item *item =
		    g_hash_table_lookup(platform->items, change->key);

		if (change->revision <= after ||
		    !g_str_has_prefix(change->key, prefix))
			continue;
		if (change->deleted)
			json_array_append_new(events,
			    json_pack("{s:s, s:I, s:b}", "key", change->key,
				"revision", (json_int_t)change->revision,
				"deleted", 1));
		else if (item != NULL && item->revision == change->revision)
			json_array_append_new(
			    events, item_json(change->key, item));
	}
	return events;
}

/*
 * Ends a watch that waits with what has changed.
 */
static void
waiter_end(struct waiter *waiter)
{
	struct fake_platform *platform = waiter->platform;

	g_ptr_array_remove(platform->waiters, waiter);
	h1_set_data(waiter->conn, NULL);
	answer_json(waiter->conn, 200,
	    json_pack("{s:o, s:I}", "events",
		changes_after(platform, waiter->prefix, waiter->after), "at",
		(json_int_t)platform->revision));
	loop_timer_destroy(waiter->timer);
	g_free(waiter->prefix);
	g_free(waiter);
}

/*
 * The time of a watch is over.
 */
static void
on_waiter_timer(void *arg)
{
	waiter_end(arg);
}

/*
 * Ends a watch of a list.
 */
static void
end_each(gpointer waiter, gpointer data)
{
	(void)data;
	waiter_end(waiter);
}

/*
 * Notes a change and wakes the watches.
 */
static void
note_change(struct fake_platform *platform, const char *key, bool deleted)
{
	struct change change = {platform->revision, g_strdup(key), deleted};
	GPtrArray *waiting = platform->waiters;

	g_array_append_val(platform->changes, change);
	platform->waiters = g_ptr_array_new();
	g_ptr_array_foreach(waiting, end_each, NULL);
	g_ptr_array_free(waiting, TRUE);
}

/*
 * Writes a key.
 */
static void
store_put(struct fake_platform *platform, const char *key, const char *value,
    int64_t lease)
{
	struct item *item = g_new0(struct item, 1);

	item->value = g_strdup(value);
	item->revision = ++platform->revision;
	item->lease = lease;
	g_hash_table_replace(platform->items, g_strdup(key), item);
	note_change(platform, key, false);
}

/*
 * Copies a parameter of the query.
 */
static char *
query(struct lstr target, const char *name)
{
	char *text = g_strndup(target.data, target.len);
	char *mark = g_strdup_printf("%s=", name);
	char *at = strchr(text, '?');
	char *value = NULL;

	while (at != NULL && value == NULL) {
		at++;
		if (g_str_has_prefix(at, mark))
			value = g_uri_unescape_segment(
			    at + strlen(mark), at + strcspn(at, "&"), NULL);
		at = strchr(at, '&');
	}
	g_free(mark);
	g_free(text);
	return value ? value : g_strdup("");
}

/*
 * Answers a transaction of one key.
 */
static void
store_txn(struct fake_platform *platform, struct h1_conn *conn, json_t *body)
{
	const json_t *condition =
	    json_array_get(json_object_get(body, "precondition"), 0);
	const char *key = json_string_value(json_object_get(condition, "key"));
	const json_t *write = json_array_get(json_object_get(body, "write"), 0);
	const struct item *item = g_hash_table_lookup(platform->items, key);
	uint64_t wanted = (uint64_t)json_integer_value(
	    json_object_get(condition, "revision"));

	if (wanted != (item != NULL ? item->revision : 0)) {
		json_t *items = json_array();

		if (item != NULL)
			json_array_append_new(items, item_json(key, item));
		answer_json(conn, 412, json_pack("{s:o}", "items", items));
		return;
	}
	if (write != NULL) {
		gsize len;
		guchar *value = g_base64_decode(
		    json_string_value(json_object_get(write, "value")), &len);
		char *text = g_strndup((char *)value, len);

		store_put(platform, key, text,
		    json_integer_value(json_object_get(write, "lease")));
		g_free(value);
		g_free(text);
	} else {
		platform->revision++;
		g_hash_table_remove(platform->items, key);
		note_change(platform, key, true);
	}
	answer_json(conn, 200,
	    json_pack("{s:I}", "revision", (json_int_t)platform->revision));
}

/*
 * Answers a list.
 */
static void
store_range(struct fake_platform *platform, struct h1_conn *conn)
{
	char *prefix = query(h1_target(conn), "prefix");
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer key;
	gpointer item;

	g_hash_table_iter_init(&iter, platform->items);
	while (g_hash_table_iter_next(&iter, &key, &item)) {
		if (g_str_has_prefix(key, prefix))
			json_array_append_new(items, item_json(key, item));
	}
	g_free(prefix);
	answer_json(conn, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0, "at",
		(json_int_t)platform->revision));
}

/*
 * Answers a watch, or lets it wait.
 */
static void
store_watch(struct fake_platform *platform, struct h1_conn *conn)
{
	struct waiter *waiter = g_new0(struct waiter, 1);
	char *after = query(h1_target(conn), "after");
	char *wait = query(h1_target(conn), "waitMs");
	bool ready;

	waiter->conn = conn;
	waiter->platform = platform;
	waiter->prefix = query(h1_target(conn), "prefix");
	waiter->after = strtoull(after, NULL, 10);
	g_ptr_array_add(platform->waiters, waiter);
	h1_set_data(conn, waiter);
	loop_timer_create(
	    platform->loop, on_waiter_timer, waiter, &waiter->timer);
	ready = platform->revision > waiter->after;
	loop_timer_set(waiter->timer,
	    ready ? 0
		  : loop_now(platform->loop) +
		    strtoll(wait, NULL, 10) * LOOP_USEC_PER_MSEC);
	g_free(after);
	g_free(wait);
}

/*
 * Keeps the body of a call of the store.
 */
static void
on_store_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct lstr_buf *body = h1_data(conn);

	(void)arg;
	if (body == NULL) {
		body = g_new0(struct lstr_buf, 1);
		h1_set_data(conn, body);
	}
	lstr_buf_append(body, bytes);
}

/*
 * Nothing is needed of a head before its body.
 */
static void
on_any_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * Answers a call of the store.
 */
static void
on_store_call(struct h1_conn *conn, void *arg)
{
	struct fake_platform *platform = arg;
	struct lstr_buf *held = h1_data(conn);
	struct lstr target = h1_target(conn);
	json_t *body = NULL;

	h1_set_data(conn, NULL);
	if (held != NULL) {
		body = json_loadb(held->data, held->len, 0, NULL);
		lstr_buf_free(held);
		g_free(held);
	}
	if (platform->silent) {
		json_decref(body);
		return;
	}
	if (lstr_starts_with(target, "/kv-range"))
		store_range(platform, conn);
	else if (lstr_starts_with(target, "/kv-watch"))
		store_watch(platform, conn);
	else if (lstr_starts_with(target, "/kv-txn"))
		store_txn(platform, conn, body);
	else if (lstr_starts_with(target, "/kv-lease"))
		answer_json(conn, 200,
		    json_pack("{s:I, s:O}", "lease",
			(json_int_t)++platform->next_lease, "ttlMs",
			json_object_get(body, "ttlMs")));
	else
		answer_json(conn, 200, json_pack("{s:i}", "ttlMs", 1000));
	json_decref(body);
}

/*
 * The node closed a connection to the store.
 */
static void
on_store_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct fake_platform *platform = arg;
	struct waiter *waiter = h1_data(conn);

	(void)status;
	if (waiter == NULL || !g_ptr_array_remove(platform->waiters, waiter))
		return;
	loop_timer_destroy(waiter->timer);
	g_free(waiter->prefix);
	g_free(waiter);
}

/*
 * Writes the entry of a server into the store.
 */
static void
publish(struct server *server)
{
	json_t *layers = server->to > server->from
	    ? json_pack("{s:i, s:i, s:i}", "source", (int)server->from,
		  "target", (int)server->to, "version", 1)
	    : json_null();
	json_t *entry = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i}",
	    "service", server->engine ? "writer" : "ledger", "address",
	    server->address, "zone", "here", "version", "v1", "slots", 8,
	    "state", server->draining ? "draining" : "ready", "coldRemainingMs",
	    0, "sequence", 1);
	char *key = g_strdup_printf("servers/%s", server->id);
	char *text;

	json_object_set_new(entry, "born", json_integer(server->born));
	if (server->engine) {
		json_object_set_new(entry, "kind", json_string("card"));
		json_object_set_new(entry, "layers", layers);
	} else {
		json_decref(layers);
	}
	text = json_dumps(entry, JSON_COMPACT);
	store_put(server->platform, key, text, 0);
	free(text);
	g_free(key);
	json_decref(entry);
}

/*
 * Ends the work on a request.
 */
static void
work_free(struct work *work)
{
	struct fake_platform *platform = work->server->platform;

	if (work->streaming)
		platform->streams--;
	g_ptr_array_remove(platform->works, work);
	loop_timer_destroy(work->timer);
	lstr_buf_free(&work->body);
	g_free(work);
}

/*
 * Counts a run of a request.
 */
static void
count_run(struct fake_platform *platform, const char *id)
{
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(platform->runs, id));

	g_hash_table_replace(
	    platform->runs, g_strdup(id), GUINT_TO_POINTER(runs + 1));
}

/*
 * Writes the next event of a stream.
 */
static void
on_event_due(void *arg)
{
	struct work *work = arg;
	struct fake_platform *platform = work->server->platform;
	char event[64];
	char chunk[128];
	bool fault = platform->engine_fault != FAKE_NONE &&
	    work->next >= platform->fault_event;

	if (fault && work->faulty && platform->engine_fault == FAKE_DARK)
		return;
	snprintf(event, sizeof(event), "id: %u\ndata: %u\n\n", work->next,
	    work->next);
	snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(event), event);
	if (fault && platform->engine_fault == FAKE_TORN) {
		struct h1_conn *conn = work->conn;

		platform->engine_fault = FAKE_NONE;
		h1_write(conn, lstr_make(chunk, strlen(chunk) / 2));
		h1_set_data(conn, NULL);
		work_free(work);
		h1_close(conn);
		return;
	}
	h1_write(work->conn, lstr_from(chunk));
	if (work->next++ < EVENTS) {
		loop_timer_set(
		    work->timer, loop_now(platform->loop) + platform->pace);
		return;
	}
	h1_write(work->conn, lstr_from("0\r\n\r\n"));
	h1_set_data(work->conn, NULL);
	h1_next(work->conn);
	work_free(work);
}

/*
 * Tells whether a path names servers that hold its layers, once and in order.
 */
static bool
path_is_whole(struct fake_platform *platform, struct lstr path)
{
	char *text = g_strndup(path.data, path.len);
	char **parts = g_strsplit(text, ",", -1);
	unsigned int at = 0;
	bool whole = true;

	for (char **part = parts; *part != NULL; part++) {
		char address[32];
		unsigned int from;
		unsigned int to;
		bool held = false;

		if (sscanf(*part, "%31[^=]=%u-%u", address, &from, &to) != 3 ||
		    from != at) {
			whole = false;
			break;
		}
		for (int i = 0; i < ENGINES; i++) {
			const struct server *server = &platform->servers[i];

			held = held ||
			    (strcmp(server->address, address) == 0 &&
				server->from <= from && server->to >= to);
		}
		whole = whole && held;
		at = to;
	}
	g_strfreev(parts);
	g_free(text);
	return whole && at == LAYERS;
}

/*
 * Tells whether a path uses the engine that misbehaves.
 */
static bool
path_is_faulty(const struct fake_platform *platform, struct lstr path)
{
	const char *address = platform->servers[FAULTY_ENGINE].address;

	return memmem(path.data, path.len, address, strlen(address)) != NULL;
}

/*
 * Begins a stream.
 */
static void
start_stream(struct work *work)
{
	struct fake_platform *platform = work->server->platform;
	struct h1_conn *conn = work->conn;
	struct lstr_buf out = {0};
	struct lstr value;
	int64_t last = 0;

	if (h1_header(conn, "Last-Event-Id", &value))
		lstr_to_int64(value, &last);
	if (!h1_header(conn, "Hop-Count", &value) ||
	    !path_is_whole(platform, value))
		platform->bad_paths++;
	work->faulty = path_is_faulty(platform, value);
	count_run(platform, work->id);
	work->streaming = true;
	platform->streams++;
	work->next = (unsigned int)last + 1;
	lstr_buf_printf(&out,
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    work->id, work->server->id);
	h1_write(conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
	loop_timer_create(platform->loop, on_event_due, work, &work->timer);
	loop_timer_set(work->timer, loop_now(platform->loop) + platform->pace);
}

/*
 * Finds a stream that an engine is writing.
 */
static struct work *
find_stream(const struct server *server, const char *id)
{
	const struct fake_platform *platform = server->platform;

	for (guint i = 0; i < platform->works->len; i++) {
		struct work *work = g_ptr_array_index(platform->works, i);

		if (work->server == server && work->streaming &&
		    strcmp(work->id, id) == 0)
			return work;
	}
	return NULL;
}

/*
 * Takes an order to go on with a stream along another path.
 */
static unsigned int
take_reroute(struct server *server, const json_t *body)
{
	struct fake_platform *platform = server->platform;
	const char *path = json_string_value(json_object_get(body, "path"));
	const char *id = json_string_value(json_object_get(body, "id"));
	struct work *stream = find_stream(server, id);

	if (stream == NULL)
		return 404;
	if (platform->refuses_reroutes)
		return 409;
	if (!path_is_whole(platform, lstr_from(path)) ||
	    !g_str_has_prefix(path, server->address))
		platform->bad_paths++;
	platform->reroutes++;
	stream->faulty = path_is_faulty(platform, lstr_from(path));
	loop_timer_set(
	    stream->timer, loop_now(platform->loop) + platform->pace);
	return 200;
}

/*
 * Takes an order to hold layers; they are there at once.
 */
static void
take_order(struct work *work)
{
	struct server *server = work->server;
	json_t *body = json_loadb(work->body.data, work->body.len, 0, NULL);
	struct h1_conn *conn = work->conn;
	unsigned int status = 202;

	if (json_object_get(body, "path") != NULL) {
		status = take_reroute(server, body);
	} else if (json_integer_value(json_object_get(body, "precondition")) !=
	    (json_int_t)server->orders) {
		status = 409;
	} else {
		server->orders++;
		server->from = (unsigned int)json_integer_value(
		    json_object_get(body, "source"));
		server->to = (unsigned int)json_integer_value(
		    json_object_get(body, "target"));
	}
	json_decref(body);
	work_free(work);
	h1_set_data(conn, NULL);
	answer_json(conn, status, json_object());
	if (status == 202)
		publish(server);
}

/*
 * Answers with the state of an engine.
 */
static void
answer_report(struct work *work)
{
	struct server *server = work->server;
	struct fake_platform *platform = server->platform;
	struct h1_conn *conn = work->conn;
	json_t *stalled = json_array();
	json_t *layers = json_pack("{s:i, s:i, s:i}", "source",
	    (int)server->from, "target", (int)server->to, "version", 1);

	if (platform->engine_fault == FAKE_DARK)
		json_array_append_new(stalled,
		    json_pack("{s:s, s:s}", "id",
			platform->servers[FAULTY_ENGINE].id, "address",
			platform->servers[FAULTY_ENGINE].address));
	work_free(work);
	h1_set_data(conn, NULL);
	answer_json(conn, 200,
	    json_pack("{s:b, s:i, s:o, s:o, s:I}", "busy", 0, "sequence",
		(int)server->orders, "layers", layers, "stalledServers",
		stalled, "born", (json_int_t)server->born));
}

/*
 * Writes an answer of a plain server.
 */
static void
answer_plain(struct work *work, unsigned int status, const char *id)
{
	static const char body[] = "a whole answer";
	struct lstr_buf out = {0};
	struct fake_platform *platform = work->server->platform;
	size_t sent = sizeof(body) - 1;

	if (platform->plain_fault == FAKE_TORN)
		sent /= 2;
	lstr_buf_printf(&out,
	    "HTTP/1.1 %u X\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s\r\n"
	    "Content-Length: %zu\r\n\r\n%.*s",
	    status, id, work->server->id, sizeof(body) - 1, (int)sent, body);
	h1_write(work->conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
}

/*
 * Runs a request at a plain server.
 */
static void
run_plain(struct work *work)
{
	struct fake_platform *platform = work->server->platform;
	struct h1_conn *conn = work->conn;
	enum fake_fault fault = platform->plain_fault;

	if (fault == FAKE_SHED) {
		h1_write(conn,
		    lstr_from("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
			      "Content-Length: 0\r\n\r\n"));
		h1_set_data(conn, NULL);
		work_free(work);
		h1_next(conn);
		return;
	}
	count_run(platform, work->id);
	if (fault == FAKE_STRAY)
		answer_plain(work, 200, "of-another-request");
	if (fault != FAKE_LOST)
		answer_plain(work, fault == FAKE_ERROR ? 500 : 200, work->id);
	h1_set_data(conn, NULL);
	work_free(work);
	if (fault == FAKE_LOST || fault == FAKE_TORN)
		h1_finish(conn);
	else
		h1_next(conn);
}

/*
 * A request reaches a server.
 */
static void
on_server_head(struct h1_conn *conn, void *arg)
{
	struct server *server = arg;
	struct work *work = g_new0(struct work, 1);
	struct lstr value;

	work->server = server;
	work->conn = conn;
	if (h1_header(conn, "Attempt-Id", &value))
		snprintf(work->id, sizeof(work->id), "%.*s", LSTR_ARG(value));
	if (h1_header(conn, "Authorization", &value))
		server->platform->keys_seen++;
	g_ptr_array_add(server->platform->works, work);
	h1_set_data(conn, work);
}

/*
 * Keeps the body of a request.
 */
static void
on_server_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct work *work = h1_data(conn);

	(void)arg;
	lstr_buf_append(&work->body, bytes);
}

/*
 * Closes the connection of a call to an engine that is deaf.
 */
static void
drop_call(struct work *work)
{
	struct fake_platform *platform = work->server->platform;
	struct h1_conn *conn = work->conn;

	if (lstr_equal_c(h1_target(conn), "/order"))
		platform->deaf_orders++;
	else
		platform->deaf_questions++;
	h1_set_data(conn, NULL);
	work_free(work);
	h1_close(conn);
}

/*
 * A request is whole.
 */
static void
on_server_complete(struct h1_conn *conn, void *arg)
{
	struct server *server = arg;
	struct work *work = h1_data(conn);

	if (!server->engine)
		run_plain(work);
	else if (server->platform->deaf &&
	    server == &server->platform->servers[FAULTY_ENGINE])
		drop_call(work);
	else if (lstr_equal_c(h1_target(conn), "/order"))
		take_order(work);
	else if (lstr_equal_c(h1_target(conn), "/report"))
		answer_report(work);
	else
		start_stream(work);
}

/*
 * The node closed a connection: the work on it ends.
 */
static void
on_server_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct work *work = h1_data(conn);

	(void)status;
	(void)arg;
	if (work != NULL)
		work_free(work);
}

static const struct h1_ops store_ops = {
    NULL, NULL, on_any_head, on_store_body, on_store_call, on_store_ended};
static const struct h1_ops server_ops = {NULL, NULL, on_server_head,
    on_server_body, on_server_complete, on_server_ended};

/*
 * Ends one work of a list.
 */
static void
free_each(gpointer data, gpointer unused)
{
	struct work *work = data;

	(void)unused;
	h1_set_data(work->conn, NULL);
	work_free(work);
}

struct fake_platform *
fake_platform_new(struct loop *loop, struct h1 *h1)
{
	struct fake_platform *platform = g_new0(struct fake_platform, 1);

	platform->loop = loop;
	platform->h1 = h1;
	platform->limits =
	    (struct h1_limits){HEAD_MAX_BYTES, IDLE_USEC, IDLE_USEC};
	platform->pace = PACE_USEC;
	platform->items =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
	platform->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
	platform->waiters = g_ptr_array_new();
	platform->works = g_ptr_array_new();
	platform->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform->revision = 100;
	ck_assert_int_eq(h1_listen(h1, "127.0.0.1", 0, &platform->limits,
			     &store_ops, platform, &platform->store),
	    STATUS_OK);
	for (int i = 0; i < ENGINES + PLAINS; i++) {
		struct server *server = &platform->servers[i];

		server->platform = platform;
		server->engine = i < ENGINES;
		server->born = BORN_MSEC;
		snprintf(server->id, sizeof(server->id), "i-%d", i);
		ck_assert_int_eq(
		    h1_listen(h1, "127.0.0.1", 0, &platform->limits,
			&server_ops, server, &server->listener),
		    STATUS_OK);
		snprintf(server->address, sizeof(server->address),
		    "127.0.0.1:%u", h1_listener_port(server->listener));
		publish(server);
	}
	return platform;
}

void
fake_platform_free(struct fake_platform *platform)
{
	GPtrArray *works = platform->works;

	platform->works = g_ptr_array_new();
	g_ptr_array_foreach(works, free_each, NULL);
	g_ptr_array_free(works, TRUE);
	for (guint i = 0; i < platform->waiters->len; i++) {
		struct waiter *waiter = g_ptr_array_index(platform->waiters, i);

		loop_timer_destroy(waiter->timer);
		g_free(waiter->prefix);
		g_free(waiter);
	}
	h1_listener_destroy(platform->store);
	for (int i = 0; i < ENGINES + PLAINS; i++)
		h1_listener_destroy(platform->servers[i].listener);
	for (guint i = 0; i < platform->changes->len; i++)
		g_free(g_array_index(platform->changes, struct change, i).key);
	g_array_free(platform->changes, TRUE);
	g_ptr_array_free(platform->waiters, TRUE);
	g_ptr_array_free(platform->works, TRUE);
	g_hash_table_destroy(platform->items);
	g_hash_table_destroy(platform->runs);
	g_free(platform);
}

uint16_t
fake_platform_port(const struct fake_platform *platform)
{
	return h1_listener_port(platform->store);
}

void
fake_platform_configure(
    struct fake_platform *platform, int version, const char *key)
{
	char *text = g_strdup_printf(
	    "{\"version\":%d,\"routes\":["
	    "{\"name\":\"write\",\"host\":\"models.example\","
	    "\"prefix\":\"/write/\",\"kind\":\"streaming\","
	    "\"timeoutMs\":20000,\"targetLatencyMs\":500,\"targetGapMs\":250,"
	    "\"priority\":1,\"service\":\"writer\",\"maxAttempts\":2,"
	    "\"resumable\":true},"
	    "{\"name\":\"order\",\"host\":\"models.example\","
	    "\"prefix\":\"/order/\",\"kind\":\"non_idempotent\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":1},"
	    "{\"name\":\"look\",\"host\":\"models.example\","
	    "\"prefix\":\"/look/\",\"kind\":\"idempotent\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":2}],"
	    "\"services\":[{\"name\":\"ledger\",\"maxConnections\":50},"
	    "{\"name\":\"writer\",\"maxConnections\":50,\"engine\":{"
	    "\"slots\":8,\"kvTokenBytes\":80000,\"stride\":4,"
	    "\"models\":[{\"name\":\"m\",\"loadS\":0.1}],\"step_ms\":1.0,"
	    "\"per_seq_ms\":0.01,\"context_per_k\":0.01,"
	    "\"read_per_s\":100000,\"pairs_per_m\":0.1,\"chunk\":512,"
	    "\"loads_at_once\":6,\"usual\":{\"prompt\":40,\"answer\":48},"
	    "\"layers\":8,\"layerMb\":100,\"activationBytes\":1000,"
	    "\"interZoneMbps\":1000,\"kinds\":[{\"name\":\"card\","
	    "\"sizeMb\":900,\"pace\":1.0,\"readFactor\":1.0}]}}],"
	    "\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":10000,"
	    "\"headerTimeoutMs\":1000,\"idleTimeoutMs\":5000},"
	    "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"%s\"],"
	    "\"priority\":1}]}",
	    version, key);

	store_put(platform, "op/config", text, 0);
	g_free(text);
}

void
fake_platform_set_silent(struct fake_platform *platform, bool silent)
{
	platform->silent = silent;
	while (silent && platform->waiters->len > 0) {
		struct waiter *waiter = g_ptr_array_index(platform->waiters, 0);

		/* Its connection stays open and is never answered. */
		h1_set_data(waiter->conn, NULL);
		g_ptr_array_remove(platform->waiters, waiter);
		loop_timer_destroy(waiter->timer);
		g_free(waiter->prefix);
		g_free(waiter);
	}
}

void
fake_platform_set_engine_fault(
    struct fake_platform *platform, enum fake_fault fault, unsigned int event)
{
	platform->engine_fault = fault;
	platform->fault_event = event;
}

void
fake_platform_set_plain_fault(
    struct fake_platform *platform, enum fake_fault fault)
{
	platform->plain_fault = fault;
}

void
fake_platform_set_pace(struct fake_platform *platform, int64_t usec)
{
	platform->pace = usec;
}

unsigned int
fake_platform_runs(const struct fake_platform *platform, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(platform->runs, id));
}

unsigned int
fake_platform_streams(const struct fake_platform *platform)
{
	return platform->streams;
}

unsigned int
fake_platform_bad_paths(const struct fake_platform *platform)
{
	return platform->bad_paths;
}

unsigned int
fake_platform_keys_seen(const struct fake_platform *platform)
{
	return platform->keys_seen;
}

void
fake_platform_forget(struct fake_platform *platform)
{
	g_hash_table_remove_all(platform->runs);
}

unsigned int
fake_platform_reroutes(const struct fake_platform *platform)
{
	return platform->reroutes;
}

void
fake_platform_refuse_reroutes(struct fake_platform *platform)
{
	platform->refuses_reroutes = true;
}

void
fake_platform_drain_engine(struct fake_platform *platform)
{
	platform->servers[FAULTY_ENGINE].draining = true;
	publish(&platform->servers[FAULTY_ENGINE]);
}

unsigned int
fake_platform_faulty_streams(const struct fake_platform *platform)
{
	unsigned int count = 0;

	for (guint i = 0; i < platform->works->len; i++) {
		const struct work *work = g_ptr_array_index(platform->works, i);

		count += work->streaming && work->faulty;
	}
	return count;
}

void
fake_platform_restart_engine_deaf(struct fake_platform *platform)
{
	struct server *server = &platform->servers[FAULTY_ENGINE];

	platform->deaf = true;
	server->from = 0;
	server->to = 0;
	server->orders = 0;
	server->born++;
	publish(server);
}

unsigned int
fake_platform_deaf_orders(const struct fake_platform *platform)
{
	return platform->deaf_orders;
}

unsigned int
fake_platform_deaf_questions(const struct fake_platform *platform)
{
	return platform->deaf_questions;
}
