#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <sodium.h>

#include "kv.h"
#include "metric.h"

#define URL_PREFIX_MAX_BYTES 128
/* A page of 1 MB in base64 with its keys and JSON syntax. */
#define RESPONSE_MAX_BYTES ((size_t)4 * 1024 * 1024)
/* A watch returns each version of a value, a list only the last one. Room for
 * one value of the largest size in base64. */
#define WATCH_RESPONSE_MAX_BYTES ((size_t)2 * 1024 * 1024)
/* A list or watch does not end while its response arrives. Ended and made
 * again, it would load the link of the service for nothing, and a response that
 * takes longer than the time limit would never be complete. */
#define PROGRESS_USEC (600 * LOOP_USEC_PER_MSEC)
#define PROGRESS_MAX_USEC (10 * LOOP_USEC_PER_SEC)
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_GONE 410
#define HTTP_UNAVAILABLE 503

struct kv_http {
	struct kv base;
	struct loop *loop;
	struct fetch *fetch;
	const struct kv_protocol *protocol;
	char url[URL_PREFIX_MAX_BYTES];
	/* Set of struct call. */
	GHashTable *calls;
	/* Highest era that a response stated. */
	uint64_t era;
};

struct call {
	struct kv_http *kv;
	enum kv_kind kind;
	struct fetch_call *fetch_call;
	/* Reports the failure of a call that could not be started. */
	struct loop_timer *timer;
	kv_done_fn fn;
	void *arg;
	/* Memory referenced by the result. */
	json_t *response;
	GPtrArray *buffers;
	GArray *items;
};

static struct metric calls_by_kind[KV_KIND_COUNT] = {
    [KV_GET] = {"chestnuthoist_kv_calls_total", "kind=\"get\"",
	"Calls of the key-value service; a watch counts when it is issued.",
	METRIC_COUNTER, 0, NULL},
    [KV_PUT] = {"chestnuthoist_kv_calls_total", "kind=\"put\"",
	"Calls of the key-value service.", METRIC_COUNTER, 0, NULL},
    [KV_DELETE] = {"chestnuthoist_kv_calls_total", "kind=\"delete\"",
	"Calls of the key-value service.", METRIC_COUNTER, 0, NULL},
    [KV_LIST] = {"chestnuthoist_kv_calls_total", "kind=\"list\"",
	"Calls of the key-value service.", METRIC_COUNTER, 0, NULL},
    [KV_LEASE_GRANT] = {"chestnuthoist_kv_calls_total", "kind=\"lease-grant\"",
	"Calls of the key-value service.", METRIC_COUNTER, 0, NULL},
    [KV_LEASE_RENEW] = {"chestnuthoist_kv_calls_total", "kind=\"lease-renew\"",
	"Calls of the key-value service.", METRIC_COUNTER, 0, NULL},
    [KV_WATCH] = {"chestnuthoist_kv_calls_total", "kind=\"watch\"",
	"Calls of the key-value service.", METRIC_COUNTER, 0, NULL},
};
static struct metric calls_unavailable = {"chestnuthoist_kv_failures_total",
    "result=\"unavailable\"", "Calls that were certainly not done.",
    METRIC_COUNTER, 0, NULL};
static struct metric calls_ambiguous = {"chestnuthoist_kv_failures_total",
    "result=\"ambiguous\"", "Writes that may have taken effect.",
    METRIC_COUNTER, 0, NULL};

/*
 * Returns whether a call of this kind changes the state of the service.
 */
bool
kv_is_write(enum kv_kind kind)
{
	return kind == KV_PUT || kind == KV_DELETE || kind == KV_LEASE_GRANT ||
	    kind == KV_LEASE_RENEW;
}

/*
 * Frees a finished call.
 */
static void
call_free(void *data)
{
	struct call *call = data;

	loop_timer_destroy(call->timer);
	json_decref(call->response);
	g_ptr_array_free(call->buffers, TRUE);
	g_array_free(call->items, TRUE);
	g_free(call);
}

/*
 * Counts a failed result, invokes the callback of a call and frees the call.
 */
static void
finish_call(struct call *call, struct kv_result *result)
{
	if (result->status == STATUS_UNAVAILABLE)
		calls_unavailable.value++;
	if (result->status == STATUS_AMBIGUOUS)
		calls_ambiguous.value++;
	g_hash_table_steal(call->kv->calls, call);
	call->fn(result, call->arg);
	call_free(call);
}

/*
 * Maps the transport result and the HTTP status to a status.
 */
static enum status
map_status(const struct call *call, const struct fetch_result *result)
{
	if (result->status == STATUS_FULL && call->kind == KV_WATCH)
		return STATUS_EXPIRED;
	if (result->status != STATUS_OK)
		return kv_is_write(call->kind) && result->maybe_sent
		    ? STATUS_AMBIGUOUS
		    : STATUS_UNAVAILABLE;
	if (result->http_status == HTTP_OK)
		return STATUS_OK;
	return call->kv->protocol->status(call->kind, result->http_status);
}

/*
 * Maps an HTTP status of the default protocol to a status.
 */
static enum status
default_status(enum kv_kind kind, long http_status)
{
	switch (http_status) {
	case HTTP_NOT_FOUND:
		return STATUS_NOT_FOUND;
	case HTTP_CONFLICT:
		return STATUS_CONFLICT;
	case HTTP_GONE:
		return STATUS_EXPIRED;
	case HTTP_UNAVAILABLE:
		/* The protocol guarantees that nothing was done. */
		return STATUS_UNAVAILABLE;
	default:
		return kv_is_write(kind) ? STATUS_AMBIGUOUS
					 : STATUS_UNAVAILABLE;
	}
}

/*
 * Decodes a base64 value into memory that is freed with the call. Returns false
 * if it is not valid base64.
 */
static bool
decode_value(struct call *call, const json_t *text, struct lstr *out)
{
	size_t max = json_string_length(text);
	unsigned char *data;
	size_t len = 0;

	if (!json_is_string(text))
		return false;
	data = g_malloc(max + 1);
	g_ptr_array_add(call->buffers, data);
	if (sodium_base642bin(data, max, json_string_value(text), max, NULL,
		&len, NULL, sodium_base64_VARIANT_ORIGINAL) != 0)
		return false;
	*out = lstr_make(data, len);
	return true;
}

/*
 * Parses the items of a list or the events of a watch. Returns false if there
 * is no list of them. Items without a key are ignored.
 */
static bool
parse_items(struct call *call, const json_t *array, struct kv_result *out)
{
	const struct kv_protocol *protocol = call->kv->protocol;
	size_t index;
	json_t *entry;

	if (!json_is_array(array))
		return false;
	json_array_foreach(array, index, entry)
	{
		const json_t *key = json_object_get(entry, "key");
		const json_t *value = json_object_get(entry, "value");
		struct kv_item item = {.deleted = json_is_null(value)};

		if (protocol->deleted != NULL)
			item.deleted = json_is_true(
			    json_object_get(entry, protocol->deleted));

		if (!json_is_string(key))
			continue;
		item.key =
		    lstr_make(json_string_value(key), json_string_length(key));
		item.version = (uint64_t)json_integer_value(
		    json_object_get(entry, protocol->version));
		/* An unreadable value is empty, so that one bad item does not
		 * hide the others. */
		if (!item.deleted && !decode_value(call, value, &item.value))
			item.value = lstr_make("", 0);
		g_array_append_val(call->items, item);
	}
	out->items = (const struct kv_item *)call->items->data;
	out->count = call->items->len;
	return true;
}

/*
 * Parses the body of a response. Returns false if it is malformed.
 */
static bool
parse_response(struct call *call, struct lstr body, struct kv_result *out)
{
	json_t *response =
	    json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES, NULL);
	const struct kv_protocol *protocol = call->kv->protocol;
	const json_t *lease;

	call->response = response;
	if (!json_is_object(response))
		return false;
	out->version = (uint64_t)json_integer_value(
	    json_object_get(response, protocol->version));
	if (out->status == STATUS_CONFLICT)
		out->version = protocol->conflict_version(response);
	out->revision = (uint64_t)json_integer_value(
	    json_object_get(response, protocol->revision));
	out->more = json_is_true(json_object_get(response, protocol->more));
	if (out->status != STATUS_OK)
		return true;
	switch (call->kind) {
	case KV_GET:
		return decode_value(
		    call, json_object_get(response, "value"), &out->value);
	case KV_LIST:
		return parse_items(
		    call, json_object_get(response, "items"), out);
	case KV_WATCH:
		return parse_items(
		    call, json_object_get(response, "events"), out);
	case KV_LEASE_GRANT:
		lease = json_object_get(response, "lease");
		if (json_is_integer(lease)) {
			char *text = g_strdup_printf(
			    "%" JSON_INTEGER_FORMAT, json_integer_value(lease));

			g_ptr_array_add(call->buffers, text);
			out->lease = lstr_from(text);
			return true;
		}
		out->lease = lstr_from(json_string_value(lease));
		return json_is_string(lease);
	default:
		return true;
	}
}

/*
 * Returns the era that a response states; 0: none. A response that states none
 * although an earlier one did is taken to be of the highest era stated.
 */
static uint64_t
response_era(const struct call *call, const struct fetch_call *fetch_call)
{
	const char *name = call->kv->protocol->era_header;
	int64_t era = 0;

	if (name == NULL || fetch_http_status(fetch_call) == 0)
		return 0;
	if (lstr_to_int64(fetch_header(fetch_call, name), &era) != STATUS_OK ||
	    era <= 0)
		return call->kv->era;
	call->kv->era = MAX(call->kv->era, (uint64_t)era);
	return (uint64_t)era;
}

/*
 * Converts the outcome of an HTTP call to a result.
 */
static void
on_done(struct fetch_call *fetch_call,
    const struct fetch_result *transport_result, void *arg)
{
	struct call *call = arg;
	struct kv_result result = {
	    .status = map_status(call, transport_result)};

	call->fetch_call = NULL;
	if ((result.status == STATUS_OK || result.status == STATUS_CONFLICT) &&
	    !parse_response(call, transport_result->body, &result)) {
		memset(&result, 0, sizeof(result));
		result.status = kv_is_write(call->kind) ? STATUS_AMBIGUOUS
							: STATUS_UNAVAILABLE;
	}
	result.received_bytes = transport_result->body.len;
	result.era = response_era(call, fetch_call);
	finish_call(call, &result);
}

static const struct fetch_ops fetch_callbacks = {NULL, on_done};

/*
 * Reports the failure of a call that could not be started.
 */
static void
on_start_failed(void *arg)
{
	struct kv_result result = {.status = STATUS_UNAVAILABLE};

	finish_call(arg, &result);
}

/*
 * Builds the HTTP request of a call and starts it.
 */
static void
start_call(struct kv *kv, enum kv_kind kind, const struct kv_args *args,
    int64_t deadline, kv_done_fn fn, void *arg)
{
	struct kv_http *http = (struct kv_http *)kv;
	struct call *call = g_new0(struct call, 1);
	struct kv_http_request http_request = {0};
	struct fetch_request request = {
	    .deadline = deadline, .response_max_bytes = RESPONSE_MAX_BYTES};
	char *text;
	char *url;

	assert(deadline != 0);
	if (kind == KV_WATCH)
		request.response_max_bytes = WATCH_RESPONSE_MAX_BYTES;
	if (kind == KV_WATCH || kind == KV_LIST) {
		request.progress_usec = PROGRESS_USEC;
		request.progress_deadline = deadline + PROGRESS_MAX_USEC;
	}
	http->protocol->build_request(kind, args, &http_request);
	text = http_request.body ? json_dumps(http_request.body, JSON_COMPACT)
				 : NULL;
	url = g_strconcat(http->url, http_request.path, NULL);
	request.method = http_request.method;
	request.url = url;
	request.body = lstr_from(text);
	call->kv = http;
	call->kind = kind;
	call->fn = fn;
	call->arg = arg;
	call->buffers = g_ptr_array_new_with_free_func(g_free);
	call->items = g_array_new(FALSE, TRUE, sizeof(struct kv_item));
	g_hash_table_add(http->calls, call);
	calls_by_kind[kind].value++;
	if (fetch_start(http->fetch, &request, &fetch_callbacks, call,
		&call->fetch_call) != STATUS_OK &&
	    loop_timer_create(
		http->loop, on_start_failed, call, &call->timer) == STATUS_OK)
		loop_timer_set(call->timer, 0);
	json_decref(http_request.body);
	free(text);
	g_free(url);
	g_free(http_request.path);
}

/*
 * Percent-encodes a string for a URL, except for the characters in allowed,
 * which may be NULL. The caller frees the result with g_free().
 */
char *
kv_uri_escape(struct lstr s, const char *allowed)
{
	char *text = g_strndup(s.len > 0 ? s.data : "", s.len);
	char *escaped = g_uri_escape_string(text, allowed, FALSE);

	g_free(text);
	return escaped;
}

/*
 * Builds the body of a put request in the default protocol.
 */
static json_t *
default_put_body(const struct kv_args *args)
{
	json_t *body = json_pack("{s:s, s:I}", "value", args->value_base64,
	    "version", (json_int_t)args->version);

	if (args->lease.len > 0)
		json_object_set_new(body, "lease",
		    json_stringn(args->lease.data, args->lease.len));
	return body;
}

/*
 * Builds a request in the default protocol, which is described in
 * docs/design.md.
 */
static void
default_build_request(
    enum kv_kind kind, const struct kv_args *args, struct kv_http_request *out)
{
	char *key = kv_uri_escape(args->key, "/");
	char *prefix = kv_uri_escape(args->key, NULL);
	char *after = kv_uri_escape(args->after_key, NULL);
	char *lease = kv_uri_escape(args->lease, NULL);

	out->method = "GET";
	switch (kind) {
	case KV_GET:
		out->path = g_strconcat("/v1/kv/", key, NULL);
		break;
	case KV_PUT:
		out->method = "PUT";
		out->path = g_strconcat("/v1/kv/", key, NULL);
		out->body = default_put_body(args);
		break;
	case KV_DELETE:
		out->method = "DELETE";
		out->path = g_strdup_printf(
		    "/v1/kv/%s?version=%" G_GUINT64_FORMAT, key, args->version);
		break;
	case KV_LIST:
		out->path = g_strdup_printf(
		    "/v1/list?prefix=%s&after=%s", prefix, after);
		break;
	case KV_LEASE_GRANT:
		out->method = "POST";
		out->path = g_strdup("/v1/lease");
		out->body =
		    json_pack("{s:I}", "ttl_ms", (json_int_t)args->ttl_msec);
		break;
	case KV_LEASE_RENEW:
		out->method = "POST";
		out->path = g_strconcat("/v1/lease/", lease, NULL);
		break;
	case KV_WATCH:
		out->path = g_strdup_printf(
		    "/v1/watch?prefix=%s&after=%" G_GUINT64_FORMAT
		    "&wait_ms=%" G_GINT64_FORMAT,
		    prefix, args->after, args->wait_msec);
		break;
	case KV_KIND_COUNT:
		break;
	}
	g_free(key);
	g_free(prefix);
	g_free(after);
	g_free(lease);
}

/*
 * Reads the stored version from a conflict response of the default protocol.
 */
static uint64_t
default_conflict_version(const json_t *response)
{
	return (uint64_t)json_integer_value(
	    json_object_get(response, "version"));
}

static const struct kv_protocol default_protocol = {default_build_request,
    default_status, default_conflict_version, "version", "revision", "more",
    NULL, NULL};

/*
 * Reads one key.
 */
static void
http_get(
    struct kv *kv, struct lstr key, int64_t deadline, kv_done_fn fn, void *arg)
{
	struct kv_args args = {.key = key};

	start_call(kv, KV_GET, &args, deadline, fn, arg);
}

/*
 * Writes one key if its stored version is the given one.
 */
static void
http_put(struct kv *kv, struct lstr key, struct lstr value, uint64_t version,
    struct lstr lease, int64_t deadline, kv_done_fn fn, void *arg)
{
	size_t size = sodium_base64_ENCODED_LEN(
	    value.len, sodium_base64_VARIANT_ORIGINAL);
	char *text = g_malloc(size);
	struct kv_args args = {.key = key,
	    .value_base64 = text,
	    .version = version,
	    .lease = lease};

	sodium_bin2base64(text, size, (const unsigned char *)value.data,
	    value.len, sodium_base64_VARIANT_ORIGINAL);
	start_call(kv, KV_PUT, &args, deadline, fn, arg);
	g_free(text);
}

/*
 * Deletes one key if its stored version is the given one.
 */
static void
http_remove(struct kv *kv, struct lstr key, uint64_t version, int64_t deadline,
    kv_done_fn fn, void *arg)
{
	struct kv_args args = {.key = key, .version = version};

	start_call(kv, KV_DELETE, &args, deadline, fn, arg);
}

/*
 * Reads one page of the keys with a prefix.
 */
static void
http_list(struct kv *kv, struct lstr prefix, struct lstr after,
    int64_t deadline, kv_done_fn fn, void *arg)
{
	struct kv_args args = {.key = prefix, .after_key = after};

	start_call(kv, KV_LIST, &args, deadline, fn, arg);
}

/*
 * Requests a lease.
 */
static void
http_lease_grant(
    struct kv *kv, int64_t ttl_usec, int64_t deadline, kv_done_fn fn, void *arg)
{
	struct kv_args args = {.ttl_msec = ttl_usec / LOOP_USEC_PER_MSEC};

	start_call(kv, KV_LEASE_GRANT, &args, deadline, fn, arg);
}

/*
 * Renews a lease.
 */
static void
http_lease_renew(struct kv *kv, struct lstr lease, int64_t deadline,
    kv_done_fn fn, void *arg)
{
	struct kv_args args = {.lease = lease};

	start_call(kv, KV_LEASE_RENEW, &args, deadline, fn, arg);
}

/*
 * Waits for changes of the keys with a prefix.
 */
static void
http_watch(struct kv *kv, struct lstr prefix, uint64_t after,
    int64_t wait_until, int64_t deadline, kv_done_fn fn, void *arg)
{
	struct kv_http *http = (struct kv_http *)kv;
	int64_t wait = wait_until - loop_now(http->loop);
	struct kv_args args = {.key = prefix,
	    .after = after,
	    .wait_msec = wait > 0 ? wait / LOOP_USEC_PER_MSEC : 0};

	start_call(kv, KV_WATCH, &args, deadline, fn, arg);
}

/*
 * Cancels all calls and frees the client.
 */
static void
http_destroy(struct kv *kv)
{
	struct kv_http *http = (struct kv_http *)kv;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, http->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct call *call = key;

		fetch_cancel(call->fetch_call);
		call_free(call);
	}
	g_hash_table_destroy(http->calls);
	g_free(http);
}

static const struct kv_vtable http_vtable = {http_get, http_put, http_remove,
    http_list, http_lease_grant, http_lease_renew, http_watch, http_destroy};

/*
 * Creates a client of the service at "ip:port" that uses the default protocol.
 */
enum status
kv_http_create(struct loop *loop, struct fetch *fetch, const char *address,
    struct kv **out)
{
	return kv_http_create_with_protocol(
	    loop, fetch, address, &default_protocol, out);
}

/*
 * Creates a client of the service at "ip:port" that uses the given protocol. It
 * is destroyed through its vtable, before the fetch client.
 */
enum status
kv_http_create_with_protocol(struct loop *loop, struct fetch *fetch,
    const char *address, const struct kv_protocol *protocol, struct kv **out)
{
	struct kv_http *http = g_new0(struct kv_http, 1);

	http->base.vtable = &http_vtable;
	http->protocol = protocol;
	http->loop = loop;
	http->fetch = fetch;
	g_snprintf(http->url, sizeof(http->url), "http://%s", address);
	http->calls = g_hash_table_new(NULL, NULL);
	for (int i = 0; i < KV_KIND_COUNT; i++)
		metric_register(&calls_by_kind[i]);
	metric_register(&calls_unavailable);
	metric_register(&calls_ambiguous);
	*out = &http->base;
	return STATUS_OK;
}

/*
 * Returns how many calls of a kind this process has issued.
 */
int64_t
kv_http_call_count(enum kv_kind kind)
{
	return calls_by_kind[kind].value;
}
