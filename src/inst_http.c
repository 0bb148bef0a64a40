#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "inst.h"
#include "metric.h"

#define URL_MAX_BYTES 128
#define HTTP_OK 200

struct inst_http {
	struct inst base;
	struct loop *loop;
	struct fetch *fetch;
	struct fetch_call *call;
	/* Reports a poll that could not start. */
	struct loop_timer *timer;
	inst_done_fn fn;
	void *arg;
	char url[URL_MAX_BYTES];
};

static struct metric polls = {"chestnuthoist_instance_list_polls_total", "",
    "Polls of the platform's instance list.", METRIC_COUNTER, 0, NULL};
static struct metric failures = {"chestnuthoist_instance_list_failures_total",
    "", "Polls without a usable answer.", METRIC_COUNTER, 0, NULL};

/*
 * Gives a poll its result.
 */
static void
report(struct inst_http *http, const struct inst_result *result)
{
	http->call = NULL;
	if (result->status != STATUS_OK)
		failures.value++;
	http->fn(result, http->arg);
}

/*
 * Reads the items of an answer into an array that points into the JSON.
 * Returns false when the answer is not of the protocol.
 */
static bool
read_items(const json_t *answer, GArray *items)
{
	const json_t *list = json_object_get(answer, "instances");
	size_t index;
	json_t *entry;

	if (!json_is_array(list) || json_array_size(list) > INST_ITEMS_MAX)
		return false;
	json_array_foreach(list, index, entry)
	{
		const json_t *name = json_object_get(entry, "name");
		const char *state =
		    json_string_value(json_object_get(entry, "state"));
		struct inst_item item;

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
 * Takes the answer of the list.
 */
static void
on_done(struct fetch_call *call, const struct fetch_result *from, void *arg)
{
	struct inst_http *http = arg;
	struct inst_result result = {.status = STATUS_UNAVAILABLE};
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct inst_item));
	json_t *answer = NULL;

	(void)call;
	if (from->status == STATUS_OK && from->http_status == HTTP_OK)
		answer = json_loadb(from->body.data, from->body.len,
		    JSON_REJECT_DUPLICATES, NULL);
	if (answer != NULL && read_items(answer, items)) {
		result.status = STATUS_OK;
		result.items = (const struct inst_item *)items->data;
		result.count = items->len;
	}
	report(http, &result);
	json_decref(answer);
	g_array_free(items, TRUE);
}

static const struct fetch_ops fetch_callbacks = {NULL, on_done};

/*
 * Reports a poll that could not start.
 */
static void
on_not_started(void *arg)
{
	struct inst_result result = {.status = STATUS_UNAVAILABLE};

	report(arg, &result);
}

/*
 * Reads the list once.
 */
static void
http_poll(struct inst *inst, int64_t deadline, inst_done_fn fn, void *arg)
{
	struct inst_http *http = (struct inst_http *)inst;
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
 * Cancels a poll and frees the client.
 */
static void
http_destroy(struct inst *inst)
{
	struct inst_http *http = (struct inst_http *)inst;

	fetch_cancel(http->call);
	loop_timer_destroy(http->timer);
	g_free(http);
}

static const struct inst_vtable http_vtable = {http_poll, http_destroy};

/*
 * Creates a client of the list at "ip:port". It is destroyed through its
 * table, before the fetch client.
 */
enum status
inst_http_create(struct loop *loop, struct fetch *fetch, const char *address,
    struct inst **out)
{
	struct inst_http *http = g_new0(struct inst_http, 1);
	enum status status =
	    loop_timer_create(loop, on_not_started, http, &http->timer);

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
