#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>
#include <jansson.h>

#include "fake_platform.h"
#include "h1_priv.h"

#define ENGINE_COUNT FAKE_ENGINE_COUNT
/* How much later than its server an entry of another writer claims to have
 * started. */
#define ODD_ENTRY_LATER_MSEC 1000
#define PLAIN_COUNT FAKE_PLAIN_COUNT
#define LAYER_COUNT FAKE_LAYER_COUNT
#define EVENT_COUNT 12
/* Start time of the engines, milliseconds since the epoch. */
#define START_TIME_MSEC 1700000000000
#define EVENT_INTERVAL_USEC (5 * LOOP_USEC_PER_MSEC)
#define IDLE_TIMEOUT_USEC (60 * LOOP_USEC_PER_SEC)
#define HEAD_MAX_BYTES 262144
#define CALLER_HEAD_MAX_BYTES 4096
#define CALLER_BODY_MAX_BYTES 10000
#define CALLER_IDLE_MSEC 5000
#define ENGINE_DOWN_USEC (2 * LOOP_USEC_PER_SEC)
#define ENDLESS_BYTES 16384
/* The operator and the servers write to a restored store with this pause. */
#define REWRITE_USEC (400 * LOOP_USEC_PER_MSEC)
/* Index of the engine that misbehaves; another one holds the same layers. */
#define FAULTY_ENGINE 1

struct item {
	char *value;
	uint64_t revision;
	int64_t lease;
};

struct lease {
	struct fake_platform *platform;
	struct loop_timer *timer;
	int64_t id;
	int64_t ttl;
	/* It never ends. */
	bool held_by_other;
};

/* A copy of the store, to which it can be restored. */
struct copy {
	GHashTable *items;
	/* Time to live (int64_t) by identifier of a lease. */
	GHashTable *lease_ttls;
	uint64_t revision;
	int64_t next_lease;
};

/* A pending watch request at the store. */
struct watcher {
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
	/* When it last gave up each layer; 0: it never did. */
	int64_t given_up_at[LAYER_COUNT];
	unsigned int orders;
	/* Highest fencing token of an order. */
	json_int_t fencing_token;
	bool draining;
	int64_t born;
	/* The engine is silent until then. */
	int64_t paused_until;
	/* All its answers say that it is leaving. */
	bool leaving;
	/* Retry-After of its refusals; NULL: it serves. */
	const char *retry_after;
	/* It refuses new requests, and states that they did not run. */
	bool refuses;
	/* Address that its refusals name as the one at fault; NULL: its own. */
	const char *named;
	/* Calls to it, and paths that have it behind the first server. */
	unsigned int received;
	/* For an engine that has ended and comes back. */
	uint16_t port;
	struct loop_timer *back_timer;
};

/* A request in progress at an engine or at a plain server. */
struct server_call {
	struct server *server;
	struct h1_conn *conn;
	struct loop_timer *timer;
	struct lstr_buf body;
	char id[64];
	int64_t received_at;
	unsigned int next;
	bool streaming;
	/* The path of the stream uses the engine that misbehaves. */
	bool faulty;
	/* The response has neither a length nor chunks. */
	bool unframed;
	bool deadly;
	/* The engine has fallen silent because of this stream. */
	bool paused;
	/* Bits of the engines of the path. */
	unsigned int engines;
	/* Bytes of the next event that have been written. */
	size_t written;
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
	/* struct lease by identifier. */
	GHashTable *leases;
	struct copy copy;
	/* Configurations since the copy, and how many of them the store has. */
	GPtrArray *configurations;
	guint configurations_stored;
	struct loop_timer *rewrite_timer;
	unsigned int era;
	bool hides_era;
	GString *added_routes;
	/* Limits of callers' requests in later configurations. */
	size_t caller_head_max;
	size_t caller_body_max;
	int caller_idle_msec;
	GArray *changes;
	GPtrArray *watchers;
	GPtrArray *server_calls;
	struct server servers[ENGINE_COUNT + PLAIN_COUNT];
	GHashTable *runs;
	/* Set of connections to servers that have carried a request. */
	GHashTable *used_conns;
	uint64_t revision;
	int64_t next_lease;
	int64_t event_interval_usec;
	enum fake_fault engine_fault;
	unsigned int fault_event;
	enum fake_fault plain_fault;
	char *plain_body;
	/* Kind of the responses without end, and the bytes sent in them. */
	enum fake_fault endless;
	size_t endless_bytes;
	bool store_silent;
	/* Answer to the calls of some kinds; see enum fake_calls. */
	unsigned int raw_calls;
	struct lstr raw_answer;
	bool raw_keep;
	/* NULL: all servers. */
	const struct server *raw_server;
	unsigned int raw_count;
	unsigned int streams;
	unsigned int incomplete_paths;
	/* Paths with layers that their servers no longer held, and the longest
	 * time since a server had given up such a layer. */
	unsigned int outdated_paths;
	int64_t outdated_max_usec;
	unsigned int authorizations;
	unsigned int reroutes;
	bool refuses_reroutes;
	bool pauses_within_events;
	bool drops_calls;
	unsigned int dropped_orders;
	unsigned int dropped_queries;
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
 * Sends a response with further header lines and a JSON body. Consumes the
 * reference to the body.
 */
static void
respond_with_headers(struct h1_conn *conn, unsigned int status,
    const char *headers, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct lstr_buf out = {0};

	json_decref(body);
	lstr_buf_printf(&out,
	    "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
	    "%sContent-Length: %zu\r\n\r\n%s",
	    status, headers, strlen(text), text);
	h1_write(conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
	free(text);
	h1_read_next_request(conn);
}

/*
 * Sends a response of the store, with its era unless that is hidden. Consumes
 * the reference to the body.
 */
static void
respond_store(const struct fake_platform *platform, struct h1_conn *conn,
    unsigned int status, json_t *body)
{
	char header[64];

	snprintf(header, sizeof(header), "Store-Era: %u\r\n", platform->era);
	respond_with_headers(
	    conn, status, platform->hides_era ? "" : header, body);
}

/*
 * Returns the header lines that a server adds to all its answers.
 */
static const char *
server_headers(const struct server *server)
{
	return server->leaving ? "Server-Leaving: 1\r\n" : "";
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
 * Returns the changes to keys with a prefix after a revision, as JSON.
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
 * Frees a watch that is not in the list of the pending ones.
 */
static void
watcher_free(struct watcher *watcher)
{
	loop_timer_destroy(watcher->timer);
	g_free(watcher->prefix);
	g_free(watcher);
}

/*
 * Drops all pending watches without a response. Their connections are closed or
 * stay open.
 */
static void
drop_watchers(struct fake_platform *platform, bool close_connections)
{
	GPtrArray *pending = platform->watchers;

	platform->watchers = g_ptr_array_new();
	for (guint i = 0; i < pending->len; i++) {
		struct watcher *watcher = g_ptr_array_index(pending, i);

		h1_set_data(watcher->conn, NULL);
		if (close_connections)
			h1_close(watcher->conn);
		watcher_free(watcher);
	}
	g_ptr_array_free(pending, TRUE);
}

/*
 * Responds to a pending watch with the changes so far and frees it.
 */
static void
watcher_finish(struct watcher *watcher)
{
	struct fake_platform *platform = watcher->platform;

	g_ptr_array_remove(platform->watchers, watcher);
	h1_set_data(watcher->conn, NULL);
	respond_store(platform, watcher->conn, 200,
	    json_pack("{s:o, s:I}", "events",
		changes_after(platform, watcher->prefix, watcher->after), "at",
		(json_int_t)platform->revision));
	watcher_free(watcher);
}

/*
 * Handles the timeout of a watch.
 */
static void
on_watcher_timer(void *arg)
{
	watcher_finish(arg);
}

/*
 * Completes one watch of a list.
 */
static void
finish_each_watcher(gpointer watcher, gpointer data)
{
	(void)data;
	watcher_finish(watcher);
}

/*
 * Records a change and completes all pending watches.
 */
static void
record_change(struct fake_platform *platform, const char *key, bool deleted)
{
	struct change change = {platform->revision, g_strdup(key), deleted};
	GPtrArray *pending = platform->watchers;

	g_array_append_val(platform->changes, change);
	platform->watchers = g_ptr_array_new();
	g_ptr_array_foreach(pending, finish_each_watcher, NULL);
	g_ptr_array_free(pending, TRUE);
}

/*
 * Writes a key with a new revision.
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
	record_change(platform, key, false);
}

/*
 * Removes a key.
 */
static void
store_remove(struct fake_platform *platform, const char *key)
{
	platform->revision++;
	g_hash_table_remove(platform->items, key);
	record_change(platform, key, true);
}

/*
 * Frees a lease; value destructor of the table of leases.
 */
static void
lease_free(void *data)
{
	struct lease *lease = data;

	loop_timer_destroy(lease->timer);
	g_free(lease);
}

/*
 * Ends a lease that was not renewed and removes its keys. Leases pause while
 * the store does not respond.
 */
static void
on_lease_due(void *arg)
{
	struct lease *lease = arg;
	struct fake_platform *platform = lease->platform;
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer item;

	if (platform->store_silent || lease->held_by_other) {
		loop_timer_set(
		    lease->timer, loop_now(platform->loop) + lease->ttl);
		return;
	}
	g_hash_table_iter_init(&iter, platform->items);
	while (g_hash_table_iter_next(&iter, &key, &item)) {
		if (((struct item *)item)->lease == lease->id)
			g_ptr_array_add(keys, g_strdup(key));
	}
	g_hash_table_remove(platform->leases, &lease->id);
	for (guint i = 0; i < keys->len; i++)
		store_remove(platform, g_ptr_array_index(keys, i));
	g_ptr_array_free(keys, TRUE);
}

/*
 * Adds a lease that runs from now.
 */
static struct lease *
lease_add(struct fake_platform *platform, int64_t id, int64_t ttl)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->platform = platform;
	lease->id = id;
	lease->ttl = ttl;
	ck_assert_int_eq(loop_timer_create(platform->loop, on_lease_due, lease,
			     &lease->timer),
	    STATUS_OK);
	loop_timer_set(lease->timer, loop_now(platform->loop) + ttl);
	g_hash_table_replace(platform->leases, &lease->id, lease);
	return lease;
}

/*
 * Returns a copy of a query parameter, unescaped; empty if it is missing.
 */
static char *
query_parameter(struct lstr target, const char *name)
{
	char *text = g_strndup(target.data, target.len);
	char *name_prefix = g_strdup_printf("%s=", name);
	char *at = strchr(text, '?');
	char *value = NULL;

	while (at != NULL && value == NULL) {
		at++;
		if (g_str_has_prefix(at, name_prefix))
			value = g_uri_unescape_segment(at + strlen(name_prefix),
			    at + strcspn(at, "&"), NULL);
		at = strchr(at, '&');
	}
	g_free(name_prefix);
	g_free(text);
	return value ? value : g_strdup("");
}

/*
 * Responds to a compare-and-set transaction on one key.
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
	int64_t lease = json_integer_value(json_object_get(write, "lease"));

	if (lease != 0 && !g_hash_table_contains(platform->leases, &lease)) {
		respond_store(platform, conn, 404, json_object());
		return;
	}
	if (wanted != (item != NULL ? item->revision : 0)) {
		json_t *items = json_array();

		if (item != NULL)
			json_array_append_new(items, item_json(key, item));
		respond_store(
		    platform, conn, 412, json_pack("{s:o}", "items", items));
		return;
	}
	if (write != NULL) {
		gsize len;
		guchar *value = g_base64_decode(
		    json_string_value(json_object_get(write, "value")), &len);
		char *text = g_strndup((char *)value, len);

		store_put(platform, key, text, lease);
		g_free(value);
		g_free(text);
	} else {
		store_remove(platform, key);
	}
	respond_store(platform, conn, 200,
	    json_pack("{s:I}", "revision", (json_int_t)platform->revision));
}

/*
 * Responds to a list request with all keys that have the prefix.
 */
static void
store_range(struct fake_platform *platform, struct h1_conn *conn)
{
	char *prefix = query_parameter(h1_target(conn), "prefix");
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
	respond_store(platform, conn, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0, "at",
		(json_int_t)platform->revision));
}

/*
 * Registers a watch. It completes in the next round if there are changes,
 * otherwise at the next change or at its timeout. It is refused if the store
 * has lost the revision from which it continues.
 */
static void
store_watch(struct fake_platform *platform, struct h1_conn *conn)
{
	struct watcher *watcher = g_new0(struct watcher, 1);
	char *after = query_parameter(h1_target(conn), "after");
	char *wait = query_parameter(h1_target(conn), "waitMs");
	bool ready;

	watcher->conn = conn;
	watcher->platform = platform;
	watcher->prefix = query_parameter(h1_target(conn), "prefix");
	watcher->after = strtoull(after, NULL, 10);
	if (watcher->after > platform->revision) {
		watcher_free(watcher);
		respond_store(platform, conn, 410, json_object());
		g_free(after);
		g_free(wait);
		return;
	}
	g_ptr_array_add(platform->watchers, watcher);
	h1_set_data(conn, watcher);
	loop_timer_create(
	    platform->loop, on_watcher_timer, watcher, &watcher->timer);
	ready = platform->revision > watcher->after;
	loop_timer_set(watcher->timer,
	    ready ? 0
		  : loop_now(platform->loop) +
		    strtoll(wait, NULL, 10) * LOOP_USEC_PER_MSEC);
	g_free(after);
	g_free(wait);
}

/*
 * Grants a lease.
 */
static void
store_grant(
    struct fake_platform *platform, struct h1_conn *conn, const json_t *body)
{
	json_int_t ttl = json_integer_value(json_object_get(body, "ttlMs"));

	lease_add(platform, ++platform->next_lease, ttl * LOOP_USEC_PER_MSEC);
	respond_store(platform, conn, 200,
	    json_pack("{s:I, s:I}", "lease", (json_int_t)platform->next_lease,
		"ttlMs", ttl));
}

/*
 * Renews a lease, whoever renews it.
 */
static void
store_keep(struct fake_platform *platform, struct h1_conn *conn)
{
	struct lstr target = h1_target(conn);
	char *text = g_strndup(target.data, target.len);
	int64_t id = strtoll(text + strlen("/kv-keep/"), NULL, 10);
	const struct lease *lease = g_hash_table_lookup(platform->leases, &id);

	g_free(text);
	if (lease == NULL) {
		respond_store(platform, conn, 404, json_object());
		return;
	}
	loop_timer_set(lease->timer, loop_now(platform->loop) + lease->ttl);
	respond_store(platform, conn, 200,
	    json_pack("{s:I}", "ttlMs",
		(json_int_t)(lease->ttl / LOOP_USEC_PER_MSEC)));
}

/*
 * Collects the body of a request to the store.
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
 * Ignores the head; the request is handled when it is complete.
 */
static void
on_any_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * Sends the answer that is set for some calls.
 */
static void
send_raw_answer(
    struct fake_platform *platform, struct h1_conn *conn, const char *id)
{
	static const char mark[] = "@ID";
	struct lstr rest = platform->raw_answer;
	struct lstr_buf out = {0};
	const char *at;

	platform->raw_count++;
	while ((at = memmem(rest.data, rest.len, mark, sizeof(mark) - 1)) !=
	    NULL) {
		size_t len = (size_t)(at - rest.data);

		lstr_buf_append(&out, lstr_make(rest.data, len));
		lstr_buf_append(&out, lstr_from(id));
		rest = lstr_make(
		    at + sizeof(mark) - 1, rest.len - len - (sizeof(mark) - 1));
	}
	lstr_buf_append(&out, rest);
	h1_write(conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
	if (platform->raw_keep)
		h1_read_next_request(conn);
	else
		h1_close_gracefully(conn);
}

/*
 * Handles a complete request to the store.
 */
static void
on_store_call(struct h1_conn *conn, void *arg)
{
	struct fake_platform *platform = arg;
	struct lstr_buf *body_buf = h1_data(conn);
	struct lstr target = h1_target(conn);
	json_t *body = NULL;

	h1_set_data(conn, NULL);
	if (body_buf != NULL) {
		body = json_loadb(body_buf->data, body_buf->len, 0, NULL);
		lstr_buf_free(body_buf);
		g_free(body_buf);
	}
	if (platform->store_silent) {
		json_decref(body);
		return;
	}
	if (platform->raw_calls & FAKE_CALLS_STORE)
		send_raw_answer(platform, conn, "");
	else if (lstr_starts_with(target, "/kv-range"))
		store_range(platform, conn);
	else if (lstr_starts_with(target, "/kv-watch"))
		store_watch(platform, conn);
	else if (lstr_starts_with(target, "/kv-txn"))
		store_txn(platform, conn, body);
	else if (lstr_starts_with(target, "/kv-lease"))
		store_grant(platform, conn, body);
	else
		store_keep(platform, conn);
	json_decref(body);
}

/*
 * Frees the watch of a connection that the node closed.
 */
static void
on_store_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct fake_platform *platform = arg;
	struct watcher *watcher = h1_data(conn);

	(void)status;
	if (watcher != NULL && g_ptr_array_remove(platform->watchers, watcher))
		watcher_free(watcher);
}

/*
 * Returns the entry of a server as JSON text; freed by the caller with free().
 */
static char *
server_entry(const struct server *server)
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
	char *text;

	json_object_set_new(entry, "born", json_integer(server->born));
	if (server->engine) {
		json_object_set_new(entry, "kind", json_string("card"));
		json_object_set_new(entry, "layers", layers);
	} else {
		json_decref(layers);
	}
	text = json_dumps(entry, JSON_COMPACT);
	json_decref(entry);
	return text;
}

/*
 * Writes the entry of a server to the store; if it differs from the stored one
 * or always.
 */
static void
write_server_entry(const struct server *server, bool always)
{
	struct fake_platform *platform = server->platform;
	char *text = server_entry(server);
	char *key = g_strdup_printf("servers/%s", server->id);
	const struct item *item = g_hash_table_lookup(platform->items, key);

	if (always || item == NULL || strcmp(item->value, text) != 0)
		store_put(platform, key, text, 0);
	g_free(key);
	free(text);
}

/*
 * Writes the entry of a server to the store.
 */
static void
publish_server(const struct server *server)
{
	write_server_entry(server, true);
}

/*
 * Frees a request and updates the number of running streams.
 */
static void
server_call_free(struct server_call *server_call)
{
	struct fake_platform *platform = server_call->server->platform;

	if (server_call->streaming)
		platform->streams--;
	g_ptr_array_remove(platform->server_calls, server_call);
	loop_timer_destroy(server_call->timer);
	lstr_buf_free(&server_call->body);
	g_free(server_call);
}

/*
 * Counts one execution of a request.
 */
static void
count_run(struct fake_platform *platform, const char *id)
{
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(platform->runs, id));

	g_hash_table_replace(
	    platform->runs, g_strdup(id), GUINT_TO_POINTER(runs + 1));
}

/*
 * Ends a request and closes its connection, by a reset or in order.
 */
static void
close_server_call(struct server_call *server_call, bool reset)
{
	const struct linger linger = {1, 0};
	struct h1_conn *conn = server_call->conn;

	h1_set_data(conn, NULL);
	server_call_free(server_call);
	if (reset)
		setsockopt(
		    conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	h1_close(conn);
}

static const struct h1_ops server_ops;

/*
 * Lets an engine that has ended accept connections again, as a new process.
 */
static void
on_engine_back(void *arg)
{
	struct server *server = arg;
	struct fake_platform *platform = server->platform;

	ck_assert_int_eq(
	    h1_listen(platform->h1, "127.0.0.1", server->port,
		&platform->limits, &server_ops, server, &server->listener),
	    STATUS_OK);
	server->orders = 0;
	server->fencing_token = 0;
	server->born++;
	publish_server(server);
}

/*
 * Ends an engine, which cuts all its requests. It is back after a while, with
 * its layers.
 */
static void
end_engine(struct server *server)
{
	struct fake_platform *platform = server->platform;

	for (guint i = platform->server_calls->len; i > 0; i--) {
		struct server_call *server_call =
		    g_ptr_array_index(platform->server_calls, i - 1);

		if (server_call->server == server)
			close_server_call(server_call, false);
	}
	server->port = h1_listener_port(server->listener);
	h1_listener_destroy(server->listener);
	server->listener = NULL;
	if (server->back_timer == NULL)
		loop_timer_create(platform->loop, on_engine_back, server,
		    &server->back_timer);
	loop_timer_set(
	    server->back_timer, loop_now(platform->loop) + ENGINE_DOWN_USEC);
}

/*
 * Ends an unframed response at its next event if that is faulty. Returns true
 * if it has ended.
 */
static bool
end_unframed(struct server_call *server_call, const char *event)
{
	struct fake_platform *platform = server_call->server->platform;
	enum fake_fault fault = platform->engine_fault;

	if (server_call->next < platform->fault_event ||
	    (fault != FAKE_UNFRAMED_CUT && fault != FAKE_UNFRAMED_RESET))
		return false;
	platform->engine_fault = FAKE_UNFRAMED;
	if (fault == FAKE_UNFRAMED_CUT)
		h1_write(
		    server_call->conn, lstr_make(event, strlen(event) / 2));
	close_server_call(server_call, fault == FAKE_UNFRAMED_RESET);
	return true;
}

/*
 * Returns until when some engine of a stream's path is silent.
 */
static int64_t
stream_paused_until(const struct server_call *server_call)
{
	const struct fake_platform *platform = server_call->server->platform;
	int64_t until = server_call->server->paused_until;

	for (int i = 0; i < ENGINE_COUNT; i++) {
		if (server_call->engines & (1u << i))
			until = MAX(until, platform->servers[i].paused_until);
	}
	return until;
}

/*
 * Writes bytes of an event as a chunk.
 */
static void
write_chunk(struct server_call *server_call, const char *bytes, size_t len)
{
	struct lstr_buf chunk = {0};

	lstr_buf_printf(&chunk, "%zx\r\n%.*s\r\n", len, (int)len, bytes);
	h1_write(server_call->conn, lstr_buf_view(&chunk));
	lstr_buf_free(&chunk);
}

/*
 * Delays the next event of a stream while an engine of its path is silent.
 * Returns whether it is delayed.
 */
static bool
pause_stream(struct server_call *server_call, const char *event)
{
	struct fake_platform *platform = server_call->server->platform;
	int64_t until = stream_paused_until(server_call);

	if (loop_now(platform->loop) >= until)
		return false;
	if (platform->pauses_within_events && !server_call->unframed &&
	    server_call->written == 0) {
		server_call->written = strlen(event) / 2;
		write_chunk(server_call, event, server_call->written);
	}
	loop_timer_set(server_call->timer, until);
	return true;
}

/*
 * Writes the next event of a stream.
 */
static void
on_event_due(void *arg)
{
	struct server_call *server_call = arg;
	struct fake_platform *platform = server_call->server->platform;
	char event[64];
	char chunk[128];
	bool fault = platform->engine_fault != FAKE_NONE &&
	    server_call->next >= platform->fault_event;

	if (server_call->deadly) {
		end_engine(server_call->server);
		return;
	}
	if (platform->engine_fault == FAKE_PAUSING && !server_call->paused &&
	    server_call->next > platform->fault_event) {
		server_call->paused = true;
		server_call->server->paused_until =
		    loop_now(platform->loop) + FAKE_PAUSE_USEC;
	}
	snprintf(event, sizeof(event), "id: %u\ndata: %u\n\n",
	    server_call->next, server_call->next);
	if (pause_stream(server_call, event))
		return;
	if (fault && server_call->faulty &&
	    platform->engine_fault == FAKE_UNRESPONSIVE)
		return;
	if (fault && server_call->faulty &&
	    platform->engine_fault == FAKE_TRICKLE) {
		h1_write(server_call->conn, lstr_from("1\r\nx\r\n"));
		loop_timer_set(server_call->timer,
		    loop_now(platform->loop) + platform->event_interval_usec);
		return;
	}
	snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(event), event);
	if (fault &&
	    (platform->engine_fault == FAKE_TRUNCATED ||
		(platform->engine_fault >= FAKE_CONTINUED_BY_ERROR &&
		    platform->engine_fault <= FAKE_CONTINUED_BY_NOTES))) {
		struct h1_conn *conn = server_call->conn;

		if (platform->engine_fault == FAKE_TRUNCATED)
			platform->engine_fault = FAKE_NONE;
		h1_write(conn, lstr_make(chunk, strlen(chunk) / 2));
		h1_set_data(conn, NULL);
		server_call_free(server_call);
		h1_close(conn);
		return;
	}
	if (server_call->unframed && end_unframed(server_call, event))
		return;
	if (server_call->written > 0)
		write_chunk(server_call, event + server_call->written,
		    strlen(event) - server_call->written);
	else
		h1_write(server_call->conn,
		    lstr_from(server_call->unframed ? event : chunk));
	server_call->written = 0;
	if (server_call->next++ < EVENT_COUNT) {
		loop_timer_set(server_call->timer,
		    loop_now(platform->loop) + platform->event_interval_usec);
		return;
	}
	if (server_call->unframed) {
		close_server_call(server_call, false);
		return;
	}
	h1_write(server_call->conn, lstr_from("0\r\n\r\n"));
	h1_set_data(server_call->conn, NULL);
	h1_read_next_request(server_call->conn);
	server_call_free(server_call);
}

/*
 * Returns the engine at an address; NULL: there is none.
 */
static const struct server *
find_engine(const struct fake_platform *platform, const char *address)
{
	for (int i = 0; i < ENGINE_COUNT; i++) {
		if (strcmp(platform->servers[i].address, address) == 0)
			return &platform->servers[i];
	}
	return NULL;
}

/*
 * Checks that a server holds layers or has held them. Returns false if it never
 * held one of them. *given_up_at is the earliest time at which it gave up one
 * that it does not hold; INT64_MAX: it holds all.
 */
static bool
check_layers(const struct server *server, unsigned int from, unsigned int to,
    int64_t *given_up_at)
{
	*given_up_at = INT64_MAX;
	for (unsigned int layer = from; layer < to; layer++) {
		if (layer >= LAYER_COUNT)
			return false;
		if (layer >= server->from && layer < server->to)
			continue;
		if (server->given_up_at[layer] == 0)
			return false;
		*given_up_at = MIN(*given_up_at, server->given_up_at[layer]);
	}
	return true;
}

/*
 * Checks that a path covers all layers once and in order, with servers that
 * hold them, and counts it if it does not. A node may not know yet that a
 * server has given up layers. Returns the first such server, because of which
 * the path is refused; NULL: it runs.
 */
static const struct server *
check_path(
    struct fake_platform *platform, struct lstr path, int64_t received_at)
{
	const struct server *at_fault = NULL;
	char *text = g_strndup(path.data, path.len);
	char **parts = g_strsplit(text, ",", -1);
	unsigned int at = 0;
	int64_t earliest = INT64_MAX;
	bool last = false;

	for (char **part = parts; *part != NULL; part++) {
		const struct server *server;
		char address[32];
		unsigned int from;
		unsigned int to;
		int64_t given_up_at;

		if (sscanf(*part, "%31[^=]=%u-%u", address, &from, &to) != 3 ||
		    from != at || to <= from ||
		    (server = find_engine(platform, address)) == NULL ||
		    !check_layers(server, from, to, &given_up_at))
			break;
		if (given_up_at != INT64_MAX && at_fault == NULL)
			at_fault = server;
		earliest = MIN(earliest, given_up_at);
		at = to;
		last = *(part + 1) == NULL;
	}
	if (!last || at != LAYER_COUNT) {
		platform->incomplete_paths++;
		at_fault = NULL;
		printf("incomplete path: %s\n", text);
	} else if (at_fault != NULL) {
		platform->outdated_paths++;
		platform->outdated_max_usec =
		    MAX(platform->outdated_max_usec, received_at - earliest);
	}
	g_strfreev(parts);
	g_free(text);
	return at_fault;
}

/*
 * Gives a server the layers from one, inclusive, to another, exclusive.
 */
static void
set_layers(struct server *server, unsigned int from, unsigned int to)
{
	for (unsigned int layer = server->from; layer < server->to; layer++) {
		if (layer < LAYER_COUNT && (layer < from || layer >= to))
			server->given_up_at[layer] =
			    loop_now(server->platform->loop);
	}
	server->from = from;
	server->to = to;
}

/*
 * Returns whether a path uses the engine that misbehaves.
 */
static bool
path_is_faulty(const struct fake_platform *platform, struct lstr path)
{
	const char *address = platform->servers[FAULTY_ENGINE].address;

	return memmem(path.data, path.len, address, strlen(address)) != NULL;
}

/*
 * Returns the bits of the engines of a path.
 */
static unsigned int
path_engines(const struct fake_platform *platform, struct lstr path)
{
	unsigned int engines = 0;

	for (int i = 0; i < ENGINE_COUNT; i++) {
		char *stage =
		    g_strdup_printf("%s=", platform->servers[i].address);

		if (memmem(path.data, path.len, stage, strlen(stage)) != NULL)
			engines |= 1u << i;
		g_free(stage);
	}
	return engines;
}

/*
 * Counts a path at the servers behind its first one.
 */
static void
count_path(struct fake_platform *platform, struct lstr path)
{
	const char *comma = memchr(path.data, ',', path.len);
	size_t len = comma == NULL ? 0 : path.len - (size_t)(comma - path.data);

	for (int i = 0; comma != NULL && i < ENGINE_COUNT; i++) {
		struct server *server = &platform->servers[i];
		char *stage = g_strdup_printf(",%s=", server->address);

		if (memmem(comma, len, stage, strlen(stage)) != NULL)
			server->received++;
		g_free(stage);
	}
}

/*
 * Writes an earlier refusal once more, if that fault is set.
 */
static void
repeat_refusal(struct server_call *server_call)
{
	enum fake_fault fault = server_call->server->platform->engine_fault;

	if (fault == FAKE_REPEATED_REFUSAL ||
	    fault == FAKE_REPEATED_STRAY_REFUSAL)
		h1_write(server_call->conn,
		    lstr_from(fault == FAKE_REPEATED_REFUSAL
			    ? "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
			      "Content-Length: 0\r\n\r\n"
			    : "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
			      "Attempt-Id: earlier\r\n"
			      "Content-Length: 0\r\n\r\n"));
}

/*
 * Sends a refusal that does not state that the request did not run.
 */
static void
respond_unproved_refusal(struct server_call *server_call)
{
	struct h1_conn *conn = server_call->conn;
	struct lstr_buf out = {0};

	lstr_buf_printf(&out,
	    "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s\r\n"
	    "Content-Length: 0\r\n\r\n",
	    server_call->id, server_call->server->id);
	h1_write(conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
	h1_set_data(conn, NULL);
	server_call_free(server_call);
	h1_read_next_request(conn);
}

/*
 * Answers a request to continue a stream wrongly, if such a fault is set.
 * Returns whether it did.
 */
static bool
continue_wrongly(struct server_call *server_call, int64_t last)
{
	enum fake_fault fault = server_call->server->platform->engine_fault;
	const char *body = fault == FAKE_CONTINUED_BY_PAGE
	    ? "<html>upstream failed</html>\n\n"
	    : "data: upstream failed\n\n";
	struct h1_conn *conn = server_call->conn;
	struct lstr_buf out = {0};

	if (last == 0 || fault < FAKE_CONTINUED_BY_ERROR ||
	    fault > FAKE_CONTINUED_BY_NOTES)
		return false;
	lstr_buf_printf(&out,
	    "HTTP/1.1 %u X\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s\r\n"
	    "Content-Type: %s\r\nContent-Length: %zu\r\n\r\n%s",
	    fault == FAKE_CONTINUED_BY_ERROR ? 500 : 200, server_call->id,
	    server_call->server->id,
	    fault == FAKE_CONTINUED_BY_PAGE ? "text/html" : "text/event-stream",
	    strlen(body), body);
	h1_write(conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
	h1_set_data(conn, NULL);
	server_call_free(server_call);
	h1_read_next_request(conn);
	return true;
}

/*
 * Refuses a request whose path has layers that a server no longer holds.
 */
static void
refuse_outdated_path(
    struct server_call *server_call, const struct server *at_fault)
{
	struct h1_conn *conn = server_call->conn;
	char *headers = g_strdup_printf(
	    "Attempt-Id: %s\r\nNot-Executed: 1\r\nAt-Server: %s\r\n%s",
	    server_call->id, at_fault->address,
	    server_headers(server_call->server));

	h1_set_data(conn, NULL);
	server_call_free(server_call);
	respond_with_headers(conn, 421, headers, json_object());
	g_free(headers);
}

/*
 * Starts a stream, after the last event that the request names if it does.
 */
static void
start_stream(struct server_call *server_call)
{
	struct fake_platform *platform = server_call->server->platform;
	struct h1_conn *conn = server_call->conn;
	struct lstr_buf out = {0};
	const struct server *at_fault;
	struct lstr value;
	int64_t last = 0;

	if (h1_find_header(conn, "Last-Event-Id", &value))
		lstr_to_int64(value, &last);
	if (!h1_find_header(conn, "Hop-Count", &value))
		value = lstr_from("");
	at_fault = check_path(platform, value, server_call->received_at);
	if (at_fault != NULL) {
		refuse_outdated_path(server_call, at_fault);
		return;
	}
	server_call->faulty = path_is_faulty(platform, value);
	server_call->engines = path_engines(platform, value);
	count_path(platform, value);
	count_run(platform, server_call->id);
	if (platform->engine_fault == FAKE_UNPROVED_REFUSAL) {
		respond_unproved_refusal(server_call);
		return;
	}
	if (!g_hash_table_add(platform->used_conns, conn))
		repeat_refusal(server_call);
	if (continue_wrongly(server_call, last))
		return;
	server_call->streaming = true;
	platform->streams++;
	server_call->next = (unsigned int)last + 1;
	server_call->deadly =
	    (platform->engine_fault == FAKE_DEADLY ||
		platform->engine_fault == FAKE_DEADLY_UNFRAMED) &&
	    h1_find_header(conn, "Prefix-Hash", &value) &&
	    memmem(value.data, value.len, FAKE_DEADLY_PART ":",
		strlen(FAKE_DEADLY_PART ":")) != NULL;
	server_call->unframed =
	    platform->engine_fault == FAKE_DEADLY_UNFRAMED ||
	    (platform->engine_fault >= FAKE_UNFRAMED &&
		platform->engine_fault <= FAKE_UNFRAMED_RESET);
	lstr_buf_printf(&out,
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s\r\n"
	    "Content-Type: text/event-stream\r\n%s%s\r\n\r\n",
	    server_call->id, server_call->server->id,
	    server_headers(server_call->server),
	    server_call->unframed ? "Connection: close"
				  : "Transfer-Encoding: chunked");
	h1_write(conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
	loop_timer_create(
	    platform->loop, on_event_due, server_call, &server_call->timer);
	loop_timer_set(server_call->timer,
	    loop_now(platform->loop) + platform->event_interval_usec);
}

/*
 * Finds a running stream of an engine by its request identifier; NULL: none.
 */
static struct server_call *
find_stream(const struct server *server, const char *id)
{
	const struct fake_platform *platform = server->platform;

	for (guint i = 0; i < platform->server_calls->len; i++) {
		struct server_call *server_call =
		    g_ptr_array_index(platform->server_calls, i);

		if (server_call->server == server && server_call->streaming &&
		    strcmp(server_call->id, id) == 0)
			return server_call;
	}
	return NULL;
}

/*
 * Handles an order to continue a stream along another path. Returns the status
 * code of the response, whose body is added to "out".
 */
static unsigned int
handle_reroute(
    struct server *server, const json_t *body, int64_t received_at, json_t *out)
{
	struct fake_platform *platform = server->platform;
	const struct server *at_fault;
	const char *path = json_string_value(json_object_get(body, "path"));
	const char *id = json_string_value(json_object_get(body, "id"));
	struct server_call *stream = find_stream(server, id);

	if (stream == NULL)
		return 404;
	if (platform->refuses_reroutes)
		return 409;
	if (!g_str_has_prefix(path, server->address))
		platform->incomplete_paths++;
	at_fault = check_path(platform, lstr_from(path), received_at);
	if (at_fault != NULL) {
		json_object_set_new(
		    out, "address", json_string(at_fault->address));
		return 409;
	}
	platform->reroutes++;
	count_path(platform, lstr_from(path));
	stream->faulty = path_is_faulty(platform, lstr_from(path));
	stream->engines = path_engines(platform, lstr_from(path));
	loop_timer_set(stream->timer,
	    loop_now(platform->loop) + platform->event_interval_usec);
	return 200;
}

/*
 * Handles an order to hold layers, which are loaded immediately, or to reroute
 * a stream.
 */
static void
handle_order(struct server_call *server_call)
{
	struct server *server = server_call->server;
	json_t *body =
	    json_loadb(server_call->body.data, server_call->body.len, 0, NULL);
	struct h1_conn *conn = server_call->conn;
	json_int_t fencing_token =
	    json_integer_value(json_object_get(body, "fencingToken"));
	json_t *out = json_object();
	unsigned int status = 202;

	if (json_object_get(body, "path") != NULL) {
		status =
		    handle_reroute(server, body, server_call->received_at, out);
	} else if (fencing_token < server->fencing_token) {
		status = 412;
	} else if (json_integer_value(json_object_get(body, "precondition")) !=
	    (json_int_t)server->orders) {
		status = 409;
	} else {
		server->orders++;
		server->fencing_token = fencing_token;
		set_layers(server,
		    (unsigned int)json_integer_value(
			json_object_get(body, "source")),
		    (unsigned int)json_integer_value(
			json_object_get(body, "target")));
	}
	json_decref(body);
	server_call_free(server_call);
	h1_set_data(conn, NULL);
	respond_with_headers(conn, status, server_headers(server), out);
	if (status == 202)
		publish_server(server);
}

/*
 * Returns the bits of the silent engines behind the first one of the streams of
 * an engine.
 */
static unsigned int
stalled_engines(const struct server *server)
{
	const struct fake_platform *platform = server->platform;
	unsigned int stalled = 0;

	for (guint i = 0; i < platform->server_calls->len; i++) {
		const struct server_call *server_call =
		    g_ptr_array_index(platform->server_calls, i);

		if (server_call->server == server && server_call->streaming)
			stalled |= server_call->engines;
	}
	for (int i = 0; i < ENGINE_COUNT; i++) {
		if (&platform->servers[i] == server ||
		    platform->servers[i].paused_until <=
			loop_now(platform->loop))
			stalled &= ~(1u << i);
	}
	return stalled;
}

/*
 * Responds with the state of an engine.
 */
static void
respond_report(struct server_call *server_call)
{
	struct server *server = server_call->server;
	struct fake_platform *platform = server->platform;
	struct h1_conn *conn = server_call->conn;
	json_t *stalled = json_array();
	json_t *layers = json_pack("{s:i, s:i, s:i}", "source",
	    (int)server->from, "target", (int)server->to, "version", 1);

	if (platform->engine_fault == FAKE_UNRESPONSIVE)
		json_array_append_new(stalled,
		    json_pack("{s:s, s:s}", "id",
			platform->servers[FAULTY_ENGINE].id, "address",
			platform->servers[FAULTY_ENGINE].address));
	for (int i = 0; i < ENGINE_COUNT; i++) {
		if (stalled_engines(server) & (1u << i))
			json_array_append_new(stalled,
			    json_pack("{s:s, s:s}", "id",
				platform->servers[i].id, "address",
				platform->servers[i].address));
	}
	server_call_free(server_call);
	h1_set_data(conn, NULL);
	respond_with_headers(conn, 200, server_headers(server),
	    json_pack("{s:b, s:i, s:o, s:o, s:I}", "busy", 0, "sequence",
		(int)server->orders, "layers", layers, "stalledServers",
		stalled, "born", (json_int_t)server->born));
}

/*
 * Sends the response of a plain server, truncated for FAKE_TRUNCATED.
 */
static void
respond_plain(
    struct server_call *server_call, unsigned int status, const char *id)
{
	const char *body = server_call->server->platform->plain_body;
	struct lstr_buf out = {0};
	struct fake_platform *platform = server_call->server->platform;
	size_t sent = strlen(body);

	if (platform->plain_fault == FAKE_TRUNCATED ||
	    platform->plain_fault == FAKE_UNFRAMED_RESET)
		sent /= 2;
	lstr_buf_printf(&out,
	    "HTTP/1.1 %u X\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s\r\n%s",
	    status, id, server_call->server->id,
	    server_headers(server_call->server));
	if (platform->plain_fault < FAKE_UNFRAMED)
		lstr_buf_printf(&out, "Content-Length: %zu\r\n", strlen(body));
	lstr_buf_append(&out, lstr_from("\r\n"));
	lstr_buf_append(&out, lstr_make(body, sent));
	h1_write(server_call->conn, lstr_buf_view(&out));
	lstr_buf_free(&out);
}

/*
 * Sets the limits of callers' requests in later configurations.
 */
void
fake_platform_set_request_limits(
    struct fake_platform *platform, size_t head_max, size_t body_max)
{
	platform->caller_head_max = head_max;
	platform->caller_body_max = body_max;
}

/*
 * Sets the time for which callers' connections may be idle, in later
 * configurations.
 */
void
fake_platform_set_idle_timeout(struct fake_platform *platform, int msec)
{
	platform->caller_idle_msec = msec;
}

void
fake_platform_set_raw_answer(struct fake_platform *platform, unsigned int calls,
    struct lstr bytes, bool keep)
{
	platform->raw_calls = calls;
	platform->raw_answer = bytes;
	platform->raw_keep = keep;
	platform->raw_server = NULL;
	platform->raw_count = 0;
	if (calls & FAKE_CALLS_STORE)
		drop_watchers(platform, true);
}

void
fake_platform_set_raw_server(
    struct fake_platform *platform, unsigned int server)
{
	platform->raw_server = &platform->servers[server];
}

unsigned int
fake_platform_raw_count(const struct fake_platform *platform)
{
	return platform->raw_count;
}

/*
 * Sets the length of the plain servers' responses.
 */
void
fake_platform_set_plain_length(struct fake_platform *platform, size_t bytes)
{
	g_free(platform->plain_body);
	platform->plain_body = g_strnfill(bytes, 'x');
}

/*
 * Writes the next bytes of a response without end.
 */
static void
on_endless_due(void *arg)
{
	static char bytes[ENDLESS_BYTES];
	struct server_call *server_call = arg;
	struct fake_platform *platform = server_call->server->platform;
	struct lstr_buf text = {0};

	if (platform->endless == FAKE_ENDLESS_HEAD) {
		memset(bytes, 'x', sizeof(bytes));
		lstr_buf_printf(
		    &text, "X-More: %.*s\r\n", (int)sizeof(bytes) / 2, bytes);
	} else if (platform->endless == FAKE_ENDLESS_INTERIM) {
		for (int i = 0; i < 100; i++)
			lstr_buf_printf(&text, "HTTP/1.1 102 X\r\n\r\n");
	} else {
		memset(bytes, 'x', sizeof(bytes));
		lstr_buf_printf(&text, "%zx\r\n%.*s\r\n", sizeof(bytes),
		    (int)sizeof(bytes), bytes);
	}
	if (h1_write(server_call->conn, lstr_buf_view(&text)) == STATUS_OK)
		platform->endless_bytes += text.len;
	lstr_buf_free(&text);
	loop_timer_set(server_call->timer, loop_now(platform->loop) + 1000);
}

/*
 * Starts a response without end.
 */
static void
start_endless(struct server_call *server_call, enum fake_fault fault)
{
	struct fake_platform *platform = server_call->server->platform;
	struct lstr_buf text = {0};

	platform->endless = fault;
	if (fault == FAKE_ENDLESS_HEAD)
		lstr_buf_printf(&text, "HTTP/1.1 200 OK\r\n");
	else if (fault != FAKE_ENDLESS_INTERIM)
		lstr_buf_printf(&text,
		    "HTTP/1.1 %u X\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s"
		    "\r\n%sTransfer-Encoding: chunked\r\n\r\n",
		    fault == FAKE_ENDLESS_REFUSAL ? 503 : 200,
		    fault == FAKE_ENDLESS_STRAY ? "of-another-request"
						: server_call->id,
		    server_call->server->id,
		    fault == FAKE_ENDLESS_REFUSAL ? "Not-Executed: 1\r\n" : "");
	h1_write(server_call->conn, lstr_buf_view(&text));
	lstr_buf_free(&text);
	ck_assert_int_eq(loop_timer_create(platform->loop, on_endless_due,
			     server_call, &server_call->timer),
	    STATUS_OK);
	loop_timer_set(server_call->timer, 0);
}

/*
 * Returns the number of bytes sent in responses without end.
 */
size_t
fake_platform_endless_bytes(const struct fake_platform *platform)
{
	return platform->endless_bytes;
}

/*
 * Executes a request at a plain server, with the fault that is set.
 */
static void
run_plain(struct server_call *server_call)
{
	struct fake_platform *platform = server_call->server->platform;
	struct h1_conn *conn = server_call->conn;
	enum fake_fault fault = platform->plain_fault;

	if (fault == FAKE_REFUSED) {
		h1_write(conn,
		    lstr_from("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
			      "Content-Length: 0\r\n\r\n"));
		h1_set_data(conn, NULL);
		server_call_free(server_call);
		h1_read_next_request(conn);
		return;
	}
	if (fault >= FAKE_ENDLESS_HEAD) {
		start_endless(server_call, fault);
		return;
	}
	count_run(platform, server_call->id);
	if (fault == FAKE_UNRESPONSIVE)
		return;
	if (fault == FAKE_UNPROVED_REFUSAL) {
		respond_unproved_refusal(server_call);
		return;
	}
	if (fault == FAKE_STRAY_RESPONSE)
		respond_plain(server_call, 200, "of-another-request");
	if (fault != FAKE_NO_RESPONSE)
		respond_plain(server_call, fault == FAKE_ERROR ? 500 : 200,
		    server_call->id);
	if (fault == FAKE_UNFRAMED_RESET) {
		close_server_call(server_call, true);
		return;
	}
	h1_set_data(conn, NULL);
	server_call_free(server_call);
	if (fault == FAKE_NO_RESPONSE || fault == FAKE_TRUNCATED ||
	    fault == FAKE_UNFRAMED)
		h1_close_gracefully(conn);
	else
		h1_read_next_request(conn);
}

/*
 * Handles the head of a request to a server.
 */
static void
on_server_head(struct h1_conn *conn, void *arg)
{
	struct server *server = arg;
	struct server_call *server_call = g_new0(struct server_call, 1);
	struct lstr value;

	server_call->server = server;
	server_call->conn = conn;
	server_call->received_at = loop_now(server->platform->loop);
	if (h1_find_header(conn, "Attempt-Id", &value))
		snprintf(server_call->id, sizeof(server_call->id), "%.*s",
		    LSTR_ARG(value));
	if (h1_find_header(conn, "Authorization", &value))
		server->platform->authorizations++;
	g_ptr_array_add(server->platform->server_calls, server_call);
	h1_set_data(conn, server_call);
}

/*
 * Collects the body of a request to a server.
 */
static void
on_server_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct server_call *server_call = h1_data(conn);

	(void)arg;
	lstr_buf_append(&server_call->body, bytes);
}

/*
 * Closes the connection of a request to an engine that drops calls, and counts
 * it.
 */
static void
drop_server_call(struct server_call *server_call)
{
	struct fake_platform *platform = server_call->server->platform;
	struct h1_conn *conn = server_call->conn;

	if (lstr_equal_c(h1_target(conn), "/order"))
		platform->dropped_orders++;
	else
		platform->dropped_queries++;
	h1_set_data(conn, NULL);
	server_call_free(server_call);
	h1_close(conn);
}

/*
 * Refuses a call and states when the server wants the next one.
 */
static void
refuse_server_call(struct server_call *server_call)
{
	const struct server *server = server_call->server;
	struct h1_conn *conn = server_call->conn;
	char *headers =
	    g_strdup_printf("%s%s%sNot-Executed: 1\r\nAt-Server: %s\r\n"
			    "Retry-After: %s\r\n%s",
		server_call->id[0] ? "Attempt-Id: " : "", server_call->id,
		server_call->id[0] ? "\r\n" : "",
		server->named ? server->named : server->address,
		server->retry_after, server_headers(server));

	h1_set_data(conn, NULL);
	server_call_free(server_call);
	respond_with_headers(conn, 503, headers, json_object());
	g_free(headers);
}

/*
 * Refuses a request that names another server.
 */
static void
refuse_misdirected_call(struct server_call *server_call)
{
	struct h1_conn *conn = server_call->conn;

	h1_write(conn,
	    lstr_from("HTTP/1.1 421 X\r\nNot-Executed: 1\r\n"
		      "Content-Length: 0\r\n\r\n"));
	h1_set_data(conn, NULL);
	server_call_free(server_call);
	h1_read_next_request(conn);
}

/*
 * Refuses a request for want of capacity, and states that it did not run.
 */
static void
refuse_full(struct server_call *server_call)
{
	struct h1_conn *conn = server_call->conn;
	char *headers =
	    g_strdup_printf("Attempt-Id: %s\r\nNot-Executed: 1\r\n%s",
		server_call->id, server_headers(server_call->server));

	h1_set_data(conn, NULL);
	server_call_free(server_call);
	respond_with_headers(conn, 503, headers, json_object());
	g_free(headers);
}

/*
 * Answers a call with the answer that is set for its kind. Returns whether
 * there is one.
 */
static bool
answer_raw(struct server_call *server_call)
{
	const struct server *server = server_call->server;
	struct fake_platform *platform = server->platform;
	struct h1_conn *conn = server_call->conn;
	char id[sizeof(server_call->id)];
	struct lstr unused;
	unsigned int kind = FAKE_CALLS_REQUESTS;

	if (lstr_equal_c(h1_target(conn), "/order"))
		kind = FAKE_CALLS_ORDERS;
	else if (lstr_equal_c(h1_target(conn), "/report"))
		kind = FAKE_CALLS_REPORTS;
	else if (h1_find_header(conn, "Last-Event-Id", &unused))
		kind |= FAKE_CALLS_CONTINUATIONS;
	if (!(platform->raw_calls & kind) ||
	    (platform->raw_server != NULL && platform->raw_server != server))
		return false;
	if (kind & FAKE_CALLS_REQUESTS)
		count_run(platform, server_call->id);
	memcpy(id, server_call->id, sizeof(id));
	h1_set_data(conn, NULL);
	server_call_free(server_call);
	send_raw_answer(platform, conn, id);
	return true;
}

/*
 * Handles a complete request to a server, once the server is not silent.
 */
static void
handle_server_call(struct server_call *server_call)
{
	struct server *server = server_call->server;
	struct h1_conn *conn = server_call->conn;
	struct lstr expected;

	server->received++;
	if (h1_find_header(conn, "Expect-Instance", &expected) &&
	    !lstr_equal_c(expected, server->id))
		refuse_misdirected_call(server_call);
	else if (answer_raw(server_call))
		return;
	else if (server->retry_after != NULL)
		refuse_server_call(server_call);
	else if (server->refuses && server_call->id[0] != '\0')
		refuse_full(server_call);
	else if (!server->engine)
		run_plain(server_call);
	else if (server->platform->drops_calls &&
	    server == &server->platform->servers[FAULTY_ENGINE])
		drop_server_call(server_call);
	else if (lstr_equal_c(h1_target(conn), "/order"))
		handle_order(server_call);
	else if (lstr_equal_c(h1_target(conn), "/report"))
		respond_report(server_call);
	else if (server->platform->engine_fault >= FAKE_ENDLESS_HEAD)
		start_endless(server_call, server->platform->engine_fault);
	else
		start_stream(server_call);
}

/*
 * Handles a request to a server that was silent.
 */
static void
on_pause_ended(void *arg)
{
	struct server_call *server_call = arg;

	loop_timer_destroy(server_call->timer);
	server_call->timer = NULL;
	handle_server_call(server_call);
}

/*
 * Handles a complete request to a server.
 */
static void
on_server_complete(struct h1_conn *conn, void *arg)
{
	struct server *server = arg;
	struct server_call *server_call = h1_data(conn);
	struct loop *loop = server->platform->loop;

	if (loop_now(loop) < server->paused_until &&
	    loop_timer_create(loop, on_pause_ended, server_call,
		&server_call->timer) == STATUS_OK)
		loop_timer_set(server_call->timer, server->paused_until);
	else
		handle_server_call(server_call);
}

/*
 * Frees the request of a connection that the node closed.
 */
static void
on_server_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct server_call *server_call = h1_data(conn);
	const struct server *server = arg;

	(void)status;
	g_hash_table_remove(server->platform->used_conns, conn);
	if (server_call != NULL)
		server_call_free(server_call);
}

static const struct h1_ops store_ops = {
    NULL, NULL, on_any_head, on_store_body, on_store_call, on_store_ended};
static const struct h1_ops server_ops = {NULL, NULL, on_server_head,
    on_server_body, on_server_complete, on_server_ended};

/*
 * Frees one request of a list.
 */
static void
free_each_server_call(gpointer data, gpointer unused)
{
	struct server_call *server_call = data;

	(void)unused;
	h1_set_data(server_call->conn, NULL);
	server_call_free(server_call);
}

/*
 * Returns a copy of a table of items.
 */
static GHashTable *
copy_items(GHashTable *items)
{
	GHashTable *copy =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct item *item = g_new(struct item, 1);

		*item = *(const struct item *)value;
		item->value = g_strdup(item->value);
		g_hash_table_insert(copy, g_strdup(key), item);
	}
	return copy;
}

/*
 * Frees the contents of a copy of the store.
 */
static void
copy_clear(struct copy *copy)
{
	if (copy->items == NULL)
		return;
	g_hash_table_destroy(copy->items);
	g_hash_table_destroy(copy->lease_ttls);
	memset(copy, 0, sizeof(*copy));
}

void
fake_platform_copy_store(struct fake_platform *platform)
{
	struct copy *copy = &platform->copy;
	GHashTableIter iter;
	gpointer value;

	copy_clear(copy);
	copy->items = copy_items(platform->items);
	copy->lease_ttls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g_hash_table_iter_init(&iter, platform->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lease *lease = value;

		g_hash_table_insert(copy->lease_ttls,
		    g_memdup2(&lease->id, sizeof(lease->id)),
		    g_memdup2(&lease->ttl, sizeof(lease->ttl)));
	}
	copy->revision = platform->revision;
	copy->next_lease = platform->next_lease;
	if (platform->configurations_stored > 0)
		g_ptr_array_remove_range(platform->configurations, 0,
		    platform->configurations_stored);
	platform->configurations_stored = 0;
}

/*
 * Writes the entries of all running servers that the store does not have as
 * they are, and the operator's next configuration after the restored ones.
 * Returns whether there are more.
 */
static bool
rewrite_next(struct fake_platform *platform)
{
	guint next = platform->configurations_stored;

	for (int i = 0; i < ENGINE_COUNT + PLAIN_COUNT; i++) {
		if (platform->servers[i].listener != NULL)
			write_server_entry(&platform->servers[i], false);
	}
	if (next < platform->configurations->len) {
		store_put(platform, "op/config",
		    g_ptr_array_index(platform->configurations, next), 0);
		platform->configurations_stored++;
	}
	return platform->configurations_stored < platform->configurations->len;
}

/*
 * Writes entries of another writer: each has the address of a server and a
 * later start, and lacks a field.
 */
void
fake_platform_put_odd_entries(struct fake_platform *platform)
{
	for (unsigned int i = 0; i < ENGINE_COUNT + PLAIN_COUNT; i++) {
		struct server later = platform->servers[i];
		char *text;
		char *key = g_strdup_printf("servers/odd-%u", i);
		json_t *entry;

		later.born += ODD_ENTRY_LATER_MSEC;
		text = server_entry(&later);
		entry = json_loads(text, 0, NULL);
		free(text);
		json_object_del(entry, "coldRemainingMs");
		text = json_dumps(entry, JSON_COMPACT);
		store_put(platform, key, text, 0);
		json_decref(entry);
		g_free(key);
		free(text);
	}
}

/*
 * Writes the next of what a restored store has lost, unless the store does not
 * respond.
 */
static void
on_rewrite_due(void *arg)
{
	struct fake_platform *platform = arg;

	if (platform->store_silent || rewrite_next(platform))
		loop_timer_set(platform->rewrite_timer,
		    loop_now(platform->loop) + REWRITE_USEC);
}

void
fake_platform_rewrite(struct fake_platform *platform)
{
	if (platform->rewrite_timer == NULL ||
	    !loop_timer_is_set(platform->rewrite_timer))
		return;
	loop_timer_clear(platform->rewrite_timer);
	while (rewrite_next(platform))
		;
}

void
fake_platform_restore_store(struct fake_platform *platform)
{
	const struct copy *copy = &platform->copy;
	GHashTableIter iter;
	gpointer id;
	gpointer ttl;

	ck_assert_ptr_nonnull(copy->items);
	g_hash_table_destroy(platform->items);
	platform->items = copy_items(copy->items);
	g_hash_table_remove_all(platform->leases);
	g_hash_table_iter_init(&iter, copy->lease_ttls);
	while (g_hash_table_iter_next(&iter, &id, &ttl))
		lease_add(platform, *(int64_t *)id, *(int64_t *)ttl);
	platform->next_lease = copy->next_lease;
	platform->revision = copy->revision;
	for (guint i = platform->changes->len; i > 0; i--) {
		struct change *change =
		    &g_array_index(platform->changes, struct change, i - 1);

		if (change->revision <= platform->revision)
			break;
		g_free(change->key);
		g_array_set_size(platform->changes, i - 1);
	}
	platform->era++;
	drop_watchers(platform, true);
	platform->configurations_stored = 0;
	if (platform->rewrite_timer == NULL)
		ck_assert_int_eq(
		    loop_timer_create(platform->loop, on_rewrite_due, platform,
			&platform->rewrite_timer),
		    STATUS_OK);
	loop_timer_set(
	    platform->rewrite_timer, loop_now(platform->loop) + REWRITE_USEC);
}

void
fake_platform_hide_era(struct fake_platform *platform)
{
	platform->hides_era = true;
}

void
fake_platform_touch_servers(struct fake_platform *platform)
{
	for (int i = 0; i < ENGINE_COUNT + PLAIN_COUNT; i++) {
		if (platform->servers[i].listener != NULL)
			publish_server(&platform->servers[i]);
	}
}

void
fake_platform_grant_lease_to_other(struct fake_platform *platform)
{
	lease_add(platform, ++platform->next_lease, LOOP_USEC_PER_SEC)
	    ->held_by_other = true;
}

bool
fake_platform_has_key(const struct fake_platform *platform, const char *key)
{
	return g_hash_table_contains(platform->items, key);
}

struct fake_platform *
fake_platform_new(struct loop *loop, struct h1 *h1)
{
	struct fake_platform *platform = g_new0(struct fake_platform, 1);

	platform->loop = loop;
	platform->h1 = h1;
	platform->limits = (struct h1_limits){
	    HEAD_MAX_BYTES, IDLE_TIMEOUT_USEC, IDLE_TIMEOUT_USEC};
	platform->event_interval_usec = EVENT_INTERVAL_USEC;
	platform->plain_body = g_strdup("a whole answer");
	platform->items =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
	platform->leases = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, lease_free);
	platform->configurations = g_ptr_array_new_with_free_func(g_free);
	platform->caller_head_max = CALLER_HEAD_MAX_BYTES;
	platform->caller_body_max = CALLER_BODY_MAX_BYTES;
	platform->caller_idle_msec = CALLER_IDLE_MSEC;
	platform->added_routes = g_string_new(NULL);
	platform->era = 1;
	platform->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
	platform->watchers = g_ptr_array_new();
	platform->server_calls = g_ptr_array_new();
	platform->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform->used_conns = g_hash_table_new(NULL, NULL);
	platform->revision = 100;
	ck_assert_int_eq(h1_listen(h1, "127.0.0.1", 0, &platform->limits,
			     &store_ops, platform, &platform->store),
	    STATUS_OK);
	for (int i = 0; i < ENGINE_COUNT + PLAIN_COUNT; i++) {
		struct server *server = &platform->servers[i];

		server->platform = platform;
		server->engine = i < ENGINE_COUNT;
		server->born = START_TIME_MSEC;
		snprintf(server->id, sizeof(server->id), "i-%d", i);
		ck_assert_int_eq(
		    h1_listen(h1, "127.0.0.1", 0, &platform->limits,
			&server_ops, server, &server->listener),
		    STATUS_OK);
		snprintf(server->address, sizeof(server->address),
		    "127.0.0.1:%u", h1_listener_port(server->listener));
		publish_server(server);
	}
	return platform;
}

void
fake_platform_free(struct fake_platform *platform)
{
	GPtrArray *server_calls = platform->server_calls;

	platform->server_calls = g_ptr_array_new();
	g_ptr_array_foreach(server_calls, free_each_server_call, NULL);
	g_ptr_array_free(server_calls, TRUE);
	for (guint i = 0; i < platform->watchers->len; i++)
		watcher_free(g_ptr_array_index(platform->watchers, i));
	h1_listener_destroy(platform->store);
	for (int i = 0; i < ENGINE_COUNT + PLAIN_COUNT; i++) {
		if (platform->servers[i].listener != NULL)
			h1_listener_destroy(platform->servers[i].listener);
		loop_timer_destroy(platform->servers[i].back_timer);
	}
	for (guint i = 0; i < platform->changes->len; i++)
		g_free(g_array_index(platform->changes, struct change, i).key);
	g_array_free(platform->changes, TRUE);
	g_ptr_array_free(platform->watchers, TRUE);
	g_ptr_array_free(platform->server_calls, TRUE);
	g_hash_table_destroy(platform->items);
	g_hash_table_destroy(platform->leases);
	copy_clear(&platform->copy);
	g_ptr_array_free(platform->configurations, TRUE);
	loop_timer_destroy(platform->rewrite_timer);
	g_string_free(platform->added_routes, TRUE);
	g_hash_table_destroy(platform->runs);
	g_hash_table_destroy(platform->used_conns);
	g_free(platform->plain_body);
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
	    "{\"name\":\"once\",\"host\":\"models.example\","
	    "\"prefix\":\"/once/\",\"kind\":\"streaming\","
	    "\"timeoutMs\":20000,\"targetLatencyMs\":500,\"targetGapMs\":250,"
	    "\"priority\":1,\"service\":\"writer\",\"maxAttempts\":2},"
	    "{\"name\":\"order\",\"host\":\"models.example\","
	    "\"prefix\":\"/order/\",\"kind\":\"non_idempotent\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":1},"
	    "{\"name\":\"look\",\"host\":\"models.example\","
	    "\"prefix\":\"/look/\",\"kind\":\"idempotent\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":2}%s],"
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
	    "\"limits\":{\"maxHeaderBytes\":%zu,\"maxBodyBytes\":%zu,"
	    "\"headerTimeoutMs\":1000,\"idleTimeoutMs\":%d},"
	    "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"%s\"],"
	    "\"priority\":1}]}",
	    version, platform->added_routes->str, platform->caller_head_max,
	    platform->caller_body_max, platform->caller_idle_msec, key);

	fake_platform_rewrite(platform);
	store_put(platform, "op/config", text, 0);
	g_ptr_array_add(platform->configurations, text);
	platform->configurations_stored++;
}

void
fake_platform_add_route(struct fake_platform *platform, const char *name)
{
	g_string_append_printf(platform->added_routes,
	    ",{\"name\":\"%s\",\"host\":\"models.example\","
	    "\"prefix\":\"/%s/\",\"kind\":\"idempotent\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":2}",
	    name, name);
}

/*
 * Adds a non-idempotent route with a time limit of 20 s to all later
 * configurations.
 */
void
fake_platform_add_long_route(struct fake_platform *platform, const char *name)
{
	g_string_append_printf(platform->added_routes,
	    ",{\"name\":\"%s\",\"host\":\"models.example\","
	    "\"prefix\":\"/%s/\",\"kind\":\"non_idempotent\","
	    "\"timeoutMs\":20000,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":1}",
	    name, name);
}

void
fake_platform_add_repeatable_route(
    struct fake_platform *platform, const char *name)
{
	g_string_append_printf(platform->added_routes,
	    ",{\"name\":\"%s\",\"host\":\"models.example\","
	    "\"prefix\":\"/%s/\",\"kind\":\"idempotent\","
	    "\"timeoutMs\":20000,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":2}",
	    name, name);
}

void
fake_platform_add_persistent_route(
    struct fake_platform *platform, const char *name)
{
	g_string_append_printf(platform->added_routes,
	    ",{\"name\":\"%s\",\"host\":\"models.example\","
	    "\"prefix\":\"/%s/\",\"kind\":\"idempotent\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,"
	    "\"service\":\"ledger\",\"maxAttempts\":3}",
	    name, name);
}

void
fake_platform_set_store_silent(
    struct fake_platform *platform, bool store_silent)
{
	platform->store_silent = store_silent;
	if (store_silent)
		drop_watchers(platform, false);
}

void
fake_platform_set_engine_fault(
    struct fake_platform *platform, enum fake_fault fault, unsigned int event)
{
	platform->engine_fault = fault;
	platform->fault_event = event;
}

void
fake_platform_pause_engines(struct fake_platform *platform, int64_t until)
{
	for (int i = 0; i < ENGINE_COUNT; i++)
		platform->servers[i].paused_until = until;
}

void
fake_platform_pause_server(
    struct fake_platform *platform, unsigned int server, int64_t until)
{
	platform->servers[server].paused_until = until;
}

void
fake_platform_pause_within_events(struct fake_platform *platform)
{
	platform->pauses_within_events = true;
}

unsigned int
fake_platform_request_count(const struct fake_platform *platform)
{
	unsigned int count = 0;

	for (guint i = 0; i < platform->server_calls->len; i++) {
		const struct server_call *server_call =
		    g_ptr_array_index(platform->server_calls, i);

		count += server_call->id[0] != '\0';
	}
	return count;
}

void
fake_platform_refuse_requests(
    struct fake_platform *platform, unsigned int server, bool refuse)
{
	platform->servers[server].refuses = refuse;
}

void
fake_platform_set_plain_fault(
    struct fake_platform *platform, enum fake_fault fault)
{
	platform->plain_fault = fault;
}

void
fake_platform_set_event_interval(struct fake_platform *platform, int64_t usec)
{
	platform->event_interval_usec = usec;
}

unsigned int
fake_platform_run_count(const struct fake_platform *platform, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(platform->runs, id));
}

unsigned int
fake_platform_stream_count(const struct fake_platform *platform)
{
	return platform->streams;
}

unsigned int
fake_platform_incomplete_path_count(const struct fake_platform *platform)
{
	return platform->incomplete_paths;
}

unsigned int
fake_platform_outdated_path_count(const struct fake_platform *platform)
{
	return platform->outdated_paths;
}

int64_t
fake_platform_outdated_path_usec(const struct fake_platform *platform)
{
	return platform->outdated_max_usec;
}

unsigned int
fake_platform_authorization_count(const struct fake_platform *platform)
{
	return platform->authorizations;
}

void
fake_platform_reset_run_counts(struct fake_platform *platform)
{
	g_hash_table_remove_all(platform->runs);
}

unsigned int
fake_platform_reroute_count(const struct fake_platform *platform)
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
	publish_server(&platform->servers[FAULTY_ENGINE]);
}

void
fake_platform_drain_last_layers(struct fake_platform *platform)
{
	for (int i = 0; i < ENGINE_COUNT; i++) {
		struct server *server = &platform->servers[i];

		if (server->to == LAYER_COUNT) {
			server->draining = true;
			publish_server(server);
		}
	}
}

bool
fake_platform_staying_engines_hold_all_layers(
    const struct fake_platform *platform)
{
	for (unsigned int layer = 0; layer < LAYER_COUNT; layer++) {
		bool held = false;

		for (int i = 0; i < ENGINE_COUNT; i++) {
			const struct server *server = &platform->servers[i];

			held = held ||
			    (!server->draining && server->from <= layer &&
				server->to > layer);
		}
		if (!held)
			return false;
	}
	return true;
}

unsigned int
fake_platform_faulty_stream_count(const struct fake_platform *platform)
{
	unsigned int count = 0;

	for (guint i = 0; i < platform->server_calls->len; i++) {
		const struct server_call *server_call =
		    g_ptr_array_index(platform->server_calls, i);

		count += server_call->streaming && server_call->faulty;
	}
	return count;
}

void
fake_platform_restart_engine(struct fake_platform *platform)
{
	struct server *server = &platform->servers[FAULTY_ENGINE];

	set_layers(server, 0, 0);
	server->orders = 0;
	server->fencing_token = 0;
	server->born++;
	publish_server(server);
}

void
fake_platform_give_up_layers(
    struct fake_platform *platform, unsigned int server)
{
	set_layers(&platform->servers[server], 0, 0);
}

bool
fake_platform_engine_has_layers(const struct fake_platform *platform)
{
	const struct server *server = &platform->servers[FAULTY_ENGINE];

	return server->to > server->from;
}

void
fake_platform_restart_engine_dropping_calls(struct fake_platform *platform)
{
	platform->drops_calls = true;
	fake_platform_restart_engine(platform);
}

unsigned int
fake_platform_dropped_order_count(const struct fake_platform *platform)
{
	return platform->dropped_orders;
}

unsigned int
fake_platform_dropped_query_count(const struct fake_platform *platform)
{
	return platform->dropped_queries;
}

void
fake_platform_set_leaving(struct fake_platform *platform, unsigned int server)
{
	platform->servers[server].leaving = true;
}

void
fake_platform_set_retry_after(struct fake_platform *platform,
    unsigned int server, const char *retry_after)
{
	platform->servers[server].retry_after = retry_after;
}

void
fake_platform_set_named(
    struct fake_platform *platform, unsigned int server, unsigned int named)
{
	platform->servers[server].named = platform->servers[named].address;
}

unsigned int
fake_platform_received_count(
    const struct fake_platform *platform, unsigned int server)
{
	return platform->servers[server].received;
}

bool
fake_platform_holds_layer(const struct fake_platform *platform,
    unsigned int server, unsigned int layer)
{
	return platform->servers[server].from <= layer &&
	    layer < platform->servers[server].to;
}

void
fake_platform_touch_entry(
    struct fake_platform *platform, unsigned int server, bool restarted)
{
	if (restarted) {
		platform->servers[server].born++;
		platform->servers[server].leaving = false;
	}
	publish_server(&platform->servers[server]);
}
