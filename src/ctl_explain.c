#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_lines.h"

/* Changes of what a node believes are told from this long before a request. */
#define CONTEXT_MSEC 5000

/*
 * Tells whether an event changes what a node believes of its surroundings.
 */
static bool
is_context(const json_t *json)
{
	static const char *const names[] = {"store-lost", "store-regained",
	    "config-applied", "config-refused", "server-avoided",
	    "server-removed", "server-full", "planner-elected",
	    "planner-resigned", "node-draining", "node-started", "order-sent",
	    NULL};
	const char *name = json_string_value(json_object_get(json, "name"));

	return name != NULL && g_strv_contains(names, name);
}

/*
 * Tells whether a line is of the request.
 */
static bool
is_own(const json_t *json, const char *id)
{
	const char *of = json_string_value(json_object_get(json, "id"));

	return of != NULL && strcmp(of, id) == 0;
}

/*
 * Tells whether a line is of the request or may explain it.
 */
static bool
is_wanted(const json_t *json, void *arg)
{
	return is_own(json, arg) || is_context(json);
}

/*
 * Prints a line: the milliseconds since the first one of the request, the
 * node, the event and its fields.
 */
static void
print_line(const struct ctl_line *line, int64_t since)
{
	static const char *const shown[] = {
	    "time", "node", "severity", "event", "name", "id", NULL};
	const char *name;
	json_t *value;

	printf("%+8" G_GINT64_FORMAT " ms  %-18s %s", line->at - since,
	    json_string_value(json_object_get(line->json, "node")),
	    json_string_value(json_object_get(line->json, "name")));
	json_object_foreach(line->json, name, value)
	{
		char *text;

		if (g_strv_contains(shown, name))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", name, text);
		free(text);
	}
	putchar('\n');
}

/*
 * Finds when the lines of the request begin and end, and its node.
 */
static const char *
find_span(const GPtrArray *lines, const char *id, int64_t *from, int64_t *to)
{
	const char *node = NULL;

	for (guint i = 0; i < lines->len; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);

		if (!is_own(line->json, id))
			continue;
		if (node == NULL) {
			node = json_string_value(
			    json_object_get(line->json, "node"));
			*from = line->at;
		}
		*to = line->at;
	}
	return node;
}

/*
 * Tells the story of a request from the logs of the nodes: its own lines, and
 * what its node learned shortly before and meanwhile.
 */
static enum ctl_exit
run_explain(struct ctl *ctl, char **arguments)
{
	GPtrArray *lines = NULL;
	enum ctl_exit result =
	    ctl_lines_read(arguments[1], is_wanted, arguments[0], &lines);
	int64_t from = 0;
	int64_t to = 0;
	const char *node;

	(void)ctl;
	node = find_span(lines, arguments[0], &from, &to);
	if (result == CTL_EXIT_OK && node == NULL) {
		ctl_error("no line of request %s", arguments[0]);
		result = CTL_EXIT_UNKNOWN;
	}
	for (guint i = 0; i < lines->len && result == CTL_EXIT_OK; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);
		const char *of =
		    json_string_value(json_object_get(line->json, "node"));

		if (is_own(line->json, arguments[0]) ||
		    (g_strcmp0(of, node) == 0 &&
			line->at >= from - CONTEXT_MSEC && line->at <= to))
			print_line(line, from);
	}
	g_ptr_array_free(lines, TRUE);
	return result;
}

const struct ctl_command ctl_explain_command = {
    "explain", 2, true, run_explain};
