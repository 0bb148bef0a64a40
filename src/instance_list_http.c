#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "instance_list.h"
#include "metric.h"

#define URL_MAX_BYTES 128
#define HTTP_OK 200

struct instance_list_http {
	struct instance_list base;
	struct loop *loop;
	struct fetch *fetch;
	struct fetch_call *call;
	/* Reports the failure of a poll that could not be started. */
	struct loop_timer *timer;
	instance_list_done_fn fn;
	void *arg;
	char url[URL_MAX_BYTES];
};

static struct metric polls = {"chestnuthoist_instance_list_polls_total", "",
    "Polls of the platform's instance list.", METRIC_COUNTER, 0, NULL};
static struct metric failures = {"chestnuthoist_instance_list_failures_total",
    "", "Polls without a usable answer.", METRIC_COUNTER, 0, NULL};

/*
 * Ends a poll: invokes its callback with the result and counts failures.
 */
static void
finish_poll(
    struct instance_list_http *http, const struct instance_list_result *result)
{
	http->call = NULL;
	if (result->status != STATUS_OK)
		failures.value++;
	http->fn(result, http->arg);
}

/*
 * Parses the items of a response into an array that borrows strings from the
 * JSON. Returns false if the response is malformed.
 */
static bool
parse_items(const json_t *response, GArray *items)
{
	const json_t *list = json_object_get(response, "instances");
	size_t index;
	json_t *entry;

	if (!json_is_array(list) ||
	    json_array_size(list) > INSTANCE_LIST_ITEMS_MAX)
		return false;
	json_array_foreach(list, index, entry)
	{
		const json_t *name = json_object_get(entry, "name");
		const char *state =
		    json_string_value(json_object_get(entry, "state"));
		struct instance_list_item item;

		if (!json_is_string(name) || state == NULL)
			return false;
		item.name = lstr_make(
		    json_string_value(name), json_string_length(name));
		item.leaving = strcmp(state, "leaving") == 0;
		g_array_append_val(items, item);
	}
	return true;
}

/*
 * Processes the response of the list service.
 */
static void
on_done(struct fetch_call *call, const struct fetch_result *transport_result,
    void *arg)
{
	struct instance_list_http *http = arg;
	struct instance_list_result result = {.status = STATUS_UNAVAILABLE};
	GArray *items =
	    g_array_new(FALSE, FALSE, sizeof(struct instance_list_item));
	json_t *response = NULL;

	(void)call;
	if (transport_result->status == STATUS_OK &&
	    transport_result->http_status == HTTP_OK)
		response = json_loadb(transport_result->body.data,
		    transport_result->body.len, JSON_REJECT_DUPLICATES, NULL);
	if (response != NULL && parse_items(response, items)) {
		result.status = STATUS_OK;
		result.items = (const struct instance_list_item *)items->data;
		result.count = items->len;
	}
	finish_poll(http, &result);
	json_decref(response);
	g_array_free(items, TRUE);
}

static const struct fetch_ops fetch_callbacks = {NULL, on_done};

/*
 * Reports the failure of a poll that could not be started.
 */
static void
on_start_failed(void *arg)
{
	struct instance_list_result result = {.status = STATUS_UNAVAILABLE};

	finish_poll(arg, &result);
}

/*
 * Starts a poll, unless one is in progress.
 */
static void
http_poll(struct instance_list *instance_list, int64_t deadline,
    instance_list_done_fn fn, void *arg)
{
	struct instance_list_http *http =
	    (struct instance_list_http *)instance_list;
	struct fetch_request request = {
	    .method = "GET", .url = http->url, .deadline = deadline};

	if (http->call != NULL || loop_timer_is_set(http->timer))
		return;
	http->fn = fn;
	http->arg = arg;
	polls.value++;
	if (fetch_start(http->fetch, &request, &fetch_callbacks, http,
		&http->call) != STATUS_OK)
		loop_timer_set(http->timer, 0);
}

/*
 * Cancels a poll in progress and frees the client.
 */
static void
http_destroy(struct instance_list *instance_list)
{
	struct instance_list_http *http =
	    (struct instance_list_http *)instance_list;

	fetch_cancel(http->call);
	loop_timer_destroy(http->timer);
	g_free(http);
}

static const struct instance_list_vtable http_vtable = {
    http_poll, http_destroy};

/*
 * Creates a client of the list service at "ip:port". It is destroyed through
 * its vtable, before the fetch client.
 */
enum status
instance_list_http_create(struct loop *loop, struct fetch *fetch,
    const char *address, struct instance_list **out)
{
	struct instance_list_http *http = g_new0(struct instance_list_http, 1);
	enum status status =
	    loop_timer_create(loop, on_start_failed, http, &http->timer);

	if (status != STATUS_OK) {
		g_free(http);
		return status;
	}
	http->base.vtable = &http_vtable;
	http->loop = loop;
	http->fetch = fetch;
	g_snprintf(
	    http->url, sizeof(http->url), "http://%s/v1/instances", address);
	metric_register(&polls);
	metric_register(&failures);
	*out = &http->base;
	return STATUS_OK;
}
