#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_lines.h"

/* Context events are shown from this long before the request's first line. */
#define CONTEXT_BEFORE_MSEC 5000

/*
 * Returns true if a line is an event that may explain how the node treated a
 * request: a change of its store, configuration, servers, planner or state.
 */
static bool
is_context_event(const json_t *json)
{
	static const char *const names[] = {"store-lost", "store-regained",
	    "store-restored", "lease-superseded", "config-applied",
	    "config-refused", "server-avoided", "server-removed", "server-full",
	    "server-leaving", "server-refuses", "planner-elected",
	    "planner-resigned", "node-draining", "node-started", "order-sent",
	    NULL};
	const char *name = json_string_value(json_object_get(json, "name"));

	return name != NULL && g_strv_contains(names, name);
}

/*
 * Returns true if a line belongs to the request.
 */
static bool
is_of_request(const json_t *json, const char *id)
{
	const char *line_id = json_string_value(json_object_get(json, "id"));

	return line_id != NULL && strcmp(line_id, id) == 0;
}

/*
 * Returns true if a line belongs to the request or may explain it.
 */
static bool
is_relevant(const json_t *json, void *arg)
{
	return is_of_request(json, arg) || is_context_event(json);
}

/*
 * Prints a line: the time in milliseconds relative to the request's first line,
 * the node, the event and the remaining fields.
 */
static void
print_line(const struct ctl_line *line, int64_t start_msec)
{
	static const char *const prefix_fields[] = {
	    "time", "node", "severity", "event", "name", "id", NULL};
	const char *name;
	json_t *value;

	printf("%+8" G_GINT64_FORMAT " ms  %-18s %s",
	    line->time_msec - start_msec,
	    json_string_value(json_object_get(line->json, "node")),
	    json_string_value(json_object_get(line->json, "name")));
	json_object_foreach(line->json, name, value)
	{
		char *text;

		if (g_strv_contains(prefix_fields, name))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", name, text);
		free(text);
	}
	putchar('\n');
}

/*
 * Finds the times of the first and last lines of the request, and returns the
 * node of the first one; NULL if there is none.
 */
static const char *
find_span(const GPtrArray *lines, const char *id, int64_t *from, int64_t *to)
{
	const char *node = NULL;

	for (guint i = 0; i < lines->len; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);

		if (!is_of_request(line->json, id))
			continue;
		if (node == NULL) {
			node = json_string_value(
			    json_object_get(line->json, "node"));
			*from = line->time_msec;
		}
		*to = line->time_msec;
	}
	return node;
}

/*
 * Prints the history of a request from the logs of the nodes: the lines of the
 * request, and the context events of its node from CONTEXT_BEFORE_MSEC before
 * the first of them to the last.
 */
static enum ctl_exit
run_explain(struct ctl *ctl, char **arguments)
{
	GPtrArray *lines = NULL;
	enum ctl_exit result =
	    ctl_lines_read(arguments[1], is_relevant, arguments[0], &lines);
	int64_t from = 0;
	int64_t to = 0;
	const char *node;

	(void)ctl;
	node = find_span(lines, arguments[0], &from, &to);
	if (result == CTL_EXIT_OK && node == NULL) {
		ctl_error("request %s not found in the log", arguments[0]);
		result = CTL_EXIT_UNKNOWN;
	}
	for (guint i = 0; i < lines->len && result == CTL_EXIT_OK; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);
		const char *line_node =
		    json_string_value(json_object_get(line->json, "node"));

		if (is_of_request(line->json, arguments[0]) ||
		    (g_strcmp0(line_node, node) == 0 &&
			line->time_msec >= from - CONTEXT_BEFORE_MSEC &&
			line->time_msec <= to))
			print_line(line, from);
	}
	g_ptr_array_free(lines, TRUE);
	return result;
}

const struct ctl_command ctl_explain_command = {
    "explain", 2, true, run_explain};
