#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "plain.h"

#define URL_MAX 512
#define RESPONSE_MAX_BYTES ((size_t)512 * 1024)
#define HTTP_UNAVAILABLE 503

struct plain_http {
	struct plain base;
	struct fetch *fetch;
};

struct plain_call {
	struct fetch_call *fetch_call;
	plain_done_fn fn;
	void *arg;
};

/*
 * Returns the JSON body of a call, which the caller frees with free(). Returns
 * NULL when a string is not UTF-8 or memory runs out.
 */
static char *
encode_request(const struct plain_request *r)
{
	json_t *object = json_pack("{s:o,s:o,s:o,s:o,s:I}", "request",
	    json_stringn(r->request.data, r->request.len), "operation",
	    json_stringn(r->operation.data, r->operation.len), "body",
	    json_stringn(r->body.data, r->body.len), "key",
	    json_stringn(r->key.data, r->key.len), "fence",
	    (json_int_t)r->fence);
	char *text;

	if (object == NULL)
		return NULL;
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

/*
 * Returns whether an error response says that the service is leaving.
 */
static bool
is_leaving_error(struct lstr body)
{
	json_t *object = json_loadb(body.data, body.len, 0, NULL);
	const char *error = json_string_value(json_object_get(object, "error"));
	bool leaving = error != NULL && strcmp(error, "leaving") == 0;

	json_decref(object);
	return leaving;
}

/*
 * Classifies the end of a call and passes the result to its owner.
 */
static void
on_done(
    struct fetch_call *fetch_call, const struct fetch_result *result, void *arg)
{
	struct plain_call *call = arg;
	struct plain_result out = {.status = result->status,
	    .maybe_run = true,
	    .http_status = (uint32_t)result->http_status,
	    .body = result->body};

	(void)fetch_call;
	if (result->status != STATUS_OK && !result->maybe_sent) {
		out.status = STATUS_UNAVAILABLE;
		out.maybe_run = false;
	} else if (result->status == STATUS_OK &&
	    result->http_status == HTTP_UNAVAILABLE &&
	    is_leaving_error(result->body)) {
		out.status = STATUS_UNAVAILABLE;
		out.maybe_run = false;
		out.leaving = true;
	}
	call->fn(&out, call->arg);
	free(call);
}

/*
 * Implements start of struct plain_vtable. On failure nothing was sent.
 */
static enum status
http_start(struct plain *base, const struct plain_request *r, plain_done_fn fn,
    void *arg, struct plain_call **out)
{
	static const struct fetch_ops ops = {NULL, on_done};
	struct plain_http *plain = (struct plain_http *)base;
	struct plain_call *call = calloc(1, sizeof(*call));
	char *body = encode_request(r);
	char url[URL_MAX];
	struct fetch_request request = {.method = "POST",
	    .url = url,
	    .body = lstr_from(body),
	    .deadline = r->deadline,
	    .once = r->once,
	    .response_max_bytes = RESPONSE_MAX_BYTES};
	enum status status;

	snprintf(url, sizeof(url), "http://%.*s/v1/call", LSTR_ARG(r->address));
	if (call == NULL || body == NULL) {
		status = status_set(STATUS_INVALID, "the body is not UTF-8");
	} else {
		call->fn = fn;
		call->arg = arg;
		status = fetch_start(
		    plain->fetch, &request, &ops, call, &call->fetch_call);
	}
	free(body);
	if (status != STATUS_OK) {
		free(call);
		return status;
	}
	*out = call;
	return STATUS_OK;
}

/*
 * Implements cancel of struct plain_vtable.
 */
static void
http_cancel(struct plain *base, struct plain_call *call)
{
	(void)base;
	fetch_cancel(call->fetch_call);
	free(call);
}

/*
 * Implements destroy of struct plain_vtable; all calls must have ended.
 */
static void
http_destroy(struct plain *base)
{
	free(base);
}

/*
 * Creates the HTTP client of the plain service protocol. fetch must outlive it;
 * the caller destroys it through its vtable.
 */
enum status
plain_http_create(struct loop *loop, struct fetch *fetch, struct plain **out)
{
	static const struct plain_vtable vtable = {
	    http_start, http_cancel, http_destroy};
	struct plain_http *plain = calloc(1, sizeof(*plain));

	(void)loop;
	if (plain == NULL)
		return status_set(STATUS_NO_MEMORY, "plain adapter");
	plain->base.vtable = &vtable;
	plain->fetch = fetch;
	*out = &plain->base;
	return STATUS_OK;
}
