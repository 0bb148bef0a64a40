#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "log.h"
#include "syncd_priv.h"

#define TYPE_JSON "application/json"
#define BODY_MAX_BYTES INV_TEXT_MAX_BYTES
/*
 * How long a status request waits for heartbeats from members that are not
 * heartbeat peers.
 */
#define STATUS_WAIT_USEC (2 * LOOP_USEC_PER_SEC)
/* Age above which a member's revision is requested again. */
#define STATUS_FRESH_USEC (3 * LOOP_USEC_PER_SEC)
#define STATUS_REQUESTS_MAX 64
#define RECORD_REQUESTS_MAX 8
/* Maximum size of a response with records; a larger one is refused. */
#define RECORDS_MAX_BYTES ((size_t)64 * 1024 * 1024)
/* Below the boot: public keys of peers that recovered segments. */
#define SIGNER_PREFIX "signer/"

struct status_request {
	struct httpd_request *request;
	int64_t heartbeat_since;
	int64_t deadline;
};

/* A request for the records of a node, pending while its keys are listed. */
struct record_request {
	struct syncd *syncd;
	struct httpd_request *request;
	char *node;
	char *prefix;
	json_t *records;
	json_t *signers;
	size_t bytes;
};

/*
 * Responds with a JSON body; takes over the reference to json.
 */
void
syncd_http_respond(
    struct httpd_request *request, unsigned int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	httpd_respond(request, text ? status : 500, TYPE_JSON,
	    lstr_from(text ? text : "{}"));
	free(text);
	json_decref(json);
}

/*
 * Responds with an error code and a message.
 */
void
syncd_http_refuse(struct httpd_request *request, unsigned int status,
    const char *code, const char *message)
{
	syncd_http_respond(request, status,
	    json_pack("{s:s, s:s}", "code", code, "message", message));
}

/*
 * Handles GET /v1/config.
 */
static void
handle_config(struct syncd *s, struct httpd_request *request)
{
	json_t *inventory = NULL;
	json_t *rules = NULL;

	if (conf_documents(s->conf, &inventory, &rules) != STATUS_OK) {
		syncd_http_refuse(request, 404, "no-configuration",
		    "no configuration is in force");
		return;
	}
	syncd_http_respond(request, 200,
	    json_pack("{s:I, s:s, s:o, s:o}", "revision",
		(json_int_t)conf_revision(s->conf), "change",
		conf_change_id(s->conf), "inventory", inventory, "rules",
		rules));
}

/*
 * Returns whether a member's heartbeat was received at or after a time. Always
 * true for this node.
 */
static bool
has_recent_heartbeat(const struct syncd *s, const char *node, int64_t since)
{
	const struct syncd_last_heartbeat *last_heartbeat =
	    g_hash_table_lookup(s->last_heartbeats, node);

	return strcmp(node, s->proc->hello.node) == 0 ||
	    (last_heartbeat != NULL && last_heartbeat->at >= since);
}

/*
 * Builds the status row of a member.
 */
static json_t *
status_row(const struct syncd *s, const struct view_member *m)
{
	static const char *const states[] = {
	    "", "live", "leaving", "suspected"};
	const struct syncd_last_heartbeat *last_heartbeat =
	    g_hash_table_lookup(s->last_heartbeats, m->node);
	json_t *row = json_pack("{s:s, s:s, s:s, s:s, s:b, s:b}", "node",
	    m->node, "place", m->place, "region", m->region, "state",
	    states[m->state], "entry_ready", m->entry_ready, "router_ready",
	    m->router_ready);

	if (strcmp(m->node, s->proc->hello.node) == 0)
		json_object_set_new(row, "revision",
		    json_integer((json_int_t)conf_revision(s->conf)));
	else if (last_heartbeat != NULL)
		json_object_set_new(row, "revision",
		    json_integer((json_int_t)last_heartbeat->revision));
	else
		json_object_set_new(row, "revision", json_null());
	return row;
}

/*
 * Responds to a status request with the state of all members.
 */
static void
respond_status(struct syncd *s, struct httpd_request *request)
{
	const struct view *view = membership_view(s->membership);
	json_t *members = json_array();

	for (size_t i = 0; i < view_count(view); i++)
		json_array_append_new(members, status_row(s, view_at(view, i)));
	syncd_http_respond(request, 200,
	    json_pack("{s:s, s:I, s:b, s:o}", "node", s->proc->hello.node,
		"revision", (json_int_t)conf_revision(s->conf), "kv_reachable",
		membership_service_is_up(s->membership), "members", members));
}

/*
 * Handles GET /v1/status: connects to the members without a recent heartbeat,
 * and responds when all have sent one or after STATUS_WAIT_USEC.
 */
static void
handle_status(struct syncd *s, struct httpd_request *request)
{
	const struct view *view = membership_view(s->membership);
	int64_t now = syncd_now(s);
	struct status_request *pending;

	if (s->status_requests->len >= STATUS_REQUESTS_MAX) {
		syncd_http_refuse(
		    request, 503, "busy", "too many requests wait");
		return;
	}
	for (size_t i = 0; i < view_count(view); i++) {
		const char *node = view_at(view, i)->node;

		if (!has_recent_heartbeat(s, node, now - STATUS_FRESH_USEC))
			syncd_connect(s, node, now + 2 * STATUS_WAIT_USEC);
	}
	pending = g_new0(struct status_request, 1);
	pending->request = request;
	pending->heartbeat_since = now - STATUS_FRESH_USEC;
	pending->deadline = now + STATUS_WAIT_USEC;
	g_ptr_array_add(s->status_requests, pending);
}

/*
 * Responds to the status requests whose deadline has passed or for which all
 * members, except suspected ones, have sent a heartbeat.
 */
void
syncd_http_tick(struct syncd *s)
{
	const struct view *view = membership_view(s->membership);
	int64_t now = syncd_now(s);

	for (guint i = s->status_requests->len; i > 0; i--) {
		struct status_request *pending =
		    s->status_requests->pdata[i - 1];
		bool all = true;

		for (size_t k = 0; k < view_count(view); k++)
			all = all &&
			    (view_at(view, k)->state == VIEW_SUSPECTED ||
				has_recent_heartbeat(s, view_at(view, k)->node,
				    pending->heartbeat_since));
		if (pending->request != NULL && !all && now < pending->deadline)
			continue;
		if (pending->request != NULL)
			respond_status(s, pending->request);
		g_ptr_array_remove_index(s->status_requests, i - 1);
		g_free(pending);
	}
}

/*
 * Frees a request.
 */
static void
record_request_free(struct record_request *r)
{
	json_decref(r->records);
	json_decref(r->signers);
	g_free(r->node);
	g_free(r->prefix);
	g_free(r);
}

/*
 * Removes a request from the pending ones and frees it.
 */
static void
record_request_end(struct record_request *r)
{
	g_ptr_array_remove(r->syncd->record_requests, r);
	record_request_free(r);
}

/*
 * Returns the record of a boot, which is added if it does not exist.
 */
static json_t *
record_of_boot(struct record_request *r, const char *boot)
{
	size_t index;
	json_t *record;

	json_array_foreach(r->records, index, record)
	{
		if (strcmp(json_string_value(json_object_get(record, "boot")),
			boot) == 0)
			return record;
	}
	record = json_pack(
	    "{s:s, s:s, s:[]}", "boot", boot, "public_key", "", "segments");
	json_array_append_new(r->records, record);
	return record;
}

/*
 * Adds the public key of a peer that recovered segments, named "<node>/<hex
 * key>". A peer that recovered segments of several boots is added once.
 */
static void
add_signer(struct record_request *r, char *name)
{
	char *slash = strchr(name, '/');
	size_t index;
	json_t *signer;
	json_t *added;

	if (slash == NULL)
		return;
	*slash = '\0';
	added = json_pack("{s:s, s:s}", "node", name, "public_key", slash + 1);
	json_array_foreach(r->signers, index, signer)
	{
		if (json_equal(signer, added)) {
			json_decref(added);
			return;
		}
	}
	json_array_append_new(r->signers, added);
	r->bytes += strlen(name) + strlen(slash + 1);
}

/*
 * Adds one item of a record, whose key is "<boot>/key",
 * "<boot>/signer/<node>/<hex key>" or "<boot>/<segment>".
 */
static void
add_record_item(struct record_request *r, const struct kv_item *item)
{
	size_t skip = strlen(r->prefix);
	char *name = g_strndup(item->key.data + skip, item->key.len - skip);
	char *slash = strchr(name, '/');
	char *text;
	json_t *record;
	size_t size;

	if (slash == NULL) {
		g_free(name);
		return;
	}
	*slash = '\0';
	if (g_str_has_prefix(slash + 1, SIGNER_PREFIX)) {
		add_signer(r, slash + 1 + strlen(SIGNER_PREFIX));
		g_free(name);
		return;
	}
	record = record_of_boot(r, name);
	if (strcmp(slash + 1, "key") == 0) {
		size = 2 * item->value.len + 1;
		text = g_malloc(size);
		sodium_bin2hex(text, size,
		    (const unsigned char *)item->value.data, item->value.len);
		json_object_set_new(record, "public_key", json_string(text));
	} else {
		size = sodium_base64_ENCODED_LEN(
		    item->value.len, sodium_base64_VARIANT_ORIGINAL);
		text = g_malloc(size);
		sodium_bin2base64(text, size,
		    (const unsigned char *)item->value.data, item->value.len,
		    sodium_base64_VARIANT_ORIGINAL);
		json_array_append_new(
		    json_object_get(record, "segments"), json_string(text));
		r->bytes += size;
	}
	g_free(text);
	g_free(name);
}

/*
 * Handles one page of the keys of a record.
 */
static void
on_records(const struct kv_result *result, void *arg)
{
	struct record_request *r = arg;
	struct syncd *s = r->syncd;

	syncd_kv_result(s, result->status);
	for (size_t i = 0; i < result->count; i++)
		add_record_item(r, &result->items[i]);
	if (r->request == NULL) {
		record_request_end(r);
	} else if (result->status != STATUS_OK) {
		syncd_http_refuse(r->request, 503, "unavailable",
		    "the key-value service does not answer");
		record_request_end(r);
	} else if (r->bytes > RECORDS_MAX_BYTES) {
		syncd_http_refuse(r->request, 507, "too-large",
		    "the records are larger than one answer may be");
		record_request_end(r);
	} else if (result->more && result->count > 0) {
		s->kv->vtable->list(s->kv, lstr_from(r->prefix),
		    result->items[result->count - 1].key,
		    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_records, r);
	} else {
		syncd_http_respond(r->request, 200,
		    json_pack("{s:s, s:O, s:O}", "node", r->node, "records",
			r->records, "signers", r->signers));
		record_request_end(r);
	}
}

/*
 * Handles GET /v1/records?node=N.
 */
static void
handle_records(struct syncd *s, struct httpd_request *request)
{
	const char *node = httpd_query(request, "node");
	struct record_request *r;

	if (node == NULL || node[0] == '\0' || strchr(node, '/') != NULL) {
		syncd_http_refuse(
		    request, 400, "invalid", "the query needs node=NAME");
		return;
	}
	if (s->record_requests->len >= RECORD_REQUESTS_MAX) {
		syncd_http_refuse(
		    request, 503, "busy", "too many requests wait");
		return;
	}
	r = g_new0(struct record_request, 1);
	r->syncd = s;
	r->request = request;
	r->node = g_strdup(node);
	r->prefix = g_strdup_printf("record/%s/", node);
	r->records = json_array();
	r->signers = json_array();
	g_ptr_array_add(s->record_requests, r);
	s->kv->vtable->list(s->kv, lstr_from(r->prefix), lstr_from(""),
	    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_records, r);
}

/*
 * Dispatches a request of an operator.
 */
static void
on_request(struct httpd_request *request, void *arg)
{
	struct syncd *s = arg;
	struct lstr path = httpd_path(request);
	bool get = lstr_equal_c(httpd_method(request), "GET");

	if (lstr_equal_c(path, "/v1/config") && get)
		handle_config(s, request);
	else if (lstr_equal_c(path, "/v1/config") &&
	    lstr_equal_c(httpd_method(request), "POST"))
		syncd_publish(s, request);
	else if (lstr_equal_c(path, "/v1/status") && get)
		handle_status(s, request);
	else if (lstr_equal_c(path, "/v1/records") && get)
		handle_records(s, request);
	else
		syncd_http_refuse(request, 404, "not-found",
		    "/v1/config, /v1/status and /v1/records are served");
}

/*
 * Handles the end of an HTTP request: pending work keeps no reference to it.
 */
static void
on_closed(struct httpd_request *request, void *arg)
{
	struct syncd *s = arg;

	syncd_publish_request_closed(s, request);
	for (guint i = 0; i < s->status_requests->len; i++) {
		struct status_request *pending = s->status_requests->pdata[i];

		if (pending->request == request)
			pending->request = NULL;
	}
	for (guint i = 0; i < s->record_requests->len; i++) {
		struct record_request *r = s->record_requests->pdata[i];

		if (r->request == request)
			r->request = NULL;
	}
}

/*
 * Opens the HTTP server for operators.
 */
enum status
syncd_http_open(struct syncd *s)
{
	static const struct httpd_ops ops = {on_request, on_closed};
	enum status status;

	s->publishes = g_ptr_array_new();
	s->status_requests = g_ptr_array_new();
	s->record_requests = g_ptr_array_new();
	status = httpd_create(s->loop, s->settings.operator_address,
	    BODY_MAX_BYTES, &ops, s, &s->httpd);
	if (status == STATUS_OK)
		proc_limit_clients(s->proc, s->httpd);
	return status;
}

/*
 * Refuses the pending requests and closes the server.
 */
void
syncd_http_close(struct syncd *s)
{
	if (s->publishes == NULL)
		return;
	syncd_publish_close(s);
	for (guint i = 0; i < s->status_requests->len; i++) {
		struct status_request *pending = s->status_requests->pdata[i];

		if (pending->request != NULL)
			syncd_http_refuse(pending->request, 503, "stopping",
			    "the process is stopping");
	}
	while (s->record_requests->len > 0) {
		struct record_request *r =
		    g_ptr_array_remove_index(s->record_requests, 0);

		if (r->request != NULL)
			syncd_http_refuse(r->request, 503, "stopping",
			    "the process is stopping");
		record_request_free(r);
	}
	httpd_destroy(s->httpd);
	g_ptr_array_set_free_func(s->status_requests, g_free);
	g_ptr_array_free(s->status_requests, TRUE);
	g_ptr_array_free(s->record_requests, TRUE);
	g_ptr_array_free(s->publishes, TRUE);
}
