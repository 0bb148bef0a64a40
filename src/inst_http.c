#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "inst.h"

#define URL_MAX_BYTES 128
#define ANSWER_MAX_BYTES ((size_t)8 * 1024 * 1024)

/* The list as HTTP with JSON; see docs/design.md. */
struct inst_http {
	struct inst_list list;
	struct fetch *fetch;
	struct fetch_call *call;
	char url[URL_MAX_BYTES];
	inst_done_fn fn;
	void *arg;
};

/*
 * Reads one row. Returns STATUS_INVALID for a row without a name or with an
 * unknown state.
 */
static enum status
read_item(const json_t *row, struct inst_item *item)
{
	const char *name = json_string_value(json_object_get(row, "name"));
	const char *state = json_string_value(json_object_get(row, "state"));

	if (name == NULL || state == NULL)
		return status_set(
		    STATUS_INVALID, "row without a name or a state");
	if (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0)
		return status_set(
		    STATUS_INVALID, "%s: unknown state '%s'", name, state);
	item->name = lstr_from(name);
	item->leaving = strcmp(state, "leaving") == 0;
	return STATUS_OK;
}

/*
 * Reads all rows into an array that the caller frees with free().
 */
static enum status
read_items(const json_t *rows, struct inst_item **items, size_t *count)
{
	size_t n = json_array_size(rows);
	enum status status = STATUS_OK;

	if (!json_is_array(rows) || n > INST_MAX)
		return status_set(
		    STATUS_INVALID, "no array 'instances' within its limit");
	*items = calloc(n + 1, sizeof(**items));
	if (*items == NULL)
		return status_set(STATUS_NO_MEMORY, "%zu instances", n);
	for (size_t i = 0; i < n && status == STATUS_OK; i++)
		status = read_item(json_array_get(rows, i), &(*items)[i]);
	*count = n;
	return status;
}

/*
 * Hands the answer to the caller.
 */
static void
on_done(struct fetch_call *call, const struct fetch_result *fetched, void *arg)
{
	struct inst_http *http = arg;
	struct inst_result result = {.status = fetched->status};
	struct inst_item *items = NULL;
	json_t *root = NULL;

	(void)call;
	http->call = NULL;
	if (result.status == STATUS_OK && fetched->http_status != 200)
		result.status = status_set(STATUS_UNAVAILABLE,
		    "instance list: HTTP status %ld", fetched->http_status);
	if (result.status == STATUS_OK) {
		root = json_loadb(fetched->body.data, fetched->body.len,
		    JSON_REJECT_DUPLICATES, NULL);
		result.status = read_items(
		    json_object_get(root, "instances"), &items, &result.count);
	}
	if (result.status == STATUS_OK)
		result.items = items;
	else
		result.count = 0;
	http->fn(&result, http->arg);
	free(items);
	json_decref(root);
}

static const struct fetch_ops callbacks = {NULL, on_done};

/*
 * Reads the list once.
 */
static enum status
query(struct inst_list *list, int64_t deadline, inst_done_fn fn, void *arg)
{
	struct inst_http *http = (struct inst_http *)list;
	struct fetch_request request = {.method = "GET",
	    .url = http->url,
	    .deadline = deadline,
	    .answer_max_bytes = ANSWER_MAX_BYTES};

	assert(http->call == NULL);
	http->fn = fn;
	http->arg = arg;
	return fetch_start(
	    http->fetch, &request, &callbacks, http, &http->call);
}

/*
 * Ends an open query without its function and frees the list.
 */
static void
destroy(struct inst_list *list)
{
	struct inst_http *http = (struct inst_http *)list;

	fetch_cancel(http->call);
	free(http);
}

static const struct inst_list_vtable vtable = {query, destroy};

/*
 * Creates a reader of the list at "ip:port". The fetch client must outlive
 * it.
 */
enum status
inst_http_create(
    struct fetch *fetch, const char *address, struct inst_list **out)
{
	struct inst_http *http = calloc(1, sizeof(*http));

	if (http == NULL)
		return status_set(STATUS_NO_MEMORY, "instance list");
	http->list.vtable = &vtable;
	http->fetch = fetch;
	snprintf(
	    http->url, sizeof(http->url), "http://%s/v1/instances", address);
	*out = &http->list;
	return STATUS_OK;
}
