#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "ctl.h"

/* Stands for standard input. */
#define STDIN_NAME "-"
/* Changes of what a node believes are told from this long before a request. */
#define CONTEXT_MSEC 5000
#define MSEC_PER_SEC 1000

/* One line of a log. */
struct line {
	json_t *json;
	/* Milliseconds of the wall clock of the node that wrote it. */
	int64_t at;
	bool own;
};

/*
 * Frees a line; used by the array that holds it.
 */
static void
line_free(void *data)
{
	struct line *line = data;

	json_decref(line->json);
	g_free(line);
}

/*
 * Reads the time of a line; 0 when there is none.
 */
static int64_t
line_time(const json_t *json)
{
	const char *text = json_string_value(json_object_get(json, "time"));
	GDateTime *time;
	int64_t msec;

	if (text == NULL)
		return 0;
	time = g_date_time_new_from_iso8601(text, NULL);
	if (time == NULL)
		return 0;
	msec = g_date_time_to_unix(time) * MSEC_PER_SEC +
	    g_date_time_get_microsecond(time) / MSEC_PER_SEC;
	g_date_time_unref(time);
	return msec;
}

/*
 * Tells whether an event changes what a node believes of its surroundings.
 */
static bool
is_context(const json_t *json)
{
	static const char *const names[] = {"store-lost", "store-regained",
	    "config-applied", "config-refused", "server-avoided",
	    "server-removed", "node-draining", "node-started", "order-sent",
	    NULL};
	const char *name = json_string_value(json_object_get(json, "name"));

	return name != NULL && g_strv_contains(names, name);
}

/*
 * Keeps a line if it is of the request or may explain it. A collector may put
 * text of its own before the JSON.
 */
static void
take_line(GPtrArray *lines, const char *text, const char *id)
{
	const char *start = strchr(text, '{');
	json_t *json = start != NULL
	    ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL)
	    : NULL;
	const char *of = json_string_value(json_object_get(json, "id"));
	bool own = of != NULL && strcmp(of, id) == 0;
	struct line *line;

	if (!own && !is_context(json)) {
		json_decref(json);
		return;
	}
	line = g_new0(struct line, 1);
	line->json = json;
	line->at = line_time(json);
	line->own = own;
	g_ptr_array_add(lines, line);
}

/*
 * Reads all lines of a file.
 */
static enum ctl_exit
read_lines(GPtrArray *lines, const char *path, const char *id)
{
	FILE *file = strcmp(path, STDIN_NAME) == 0 ? stdin : fopen(path, "r");
	char *text = NULL;
	size_t size = 0;

	if (file == NULL) {
		ctl_error("%s: %s", path, strerror(errno));
		return CTL_EXIT_FAILED;
	}
	while (getline(&text, &size, file) >= 0)
		take_line(lines, text, id);
	free(text);
	if (file != stdin)
		fclose(file);
	return CTL_EXIT_OK;
}

/*
 * Orders lines by time.
 */
static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(const struct line *const *)a;
	const struct line *y = *(const struct line *const *)b;

	return x->at < y->at ? -1 : x->at > y->at;
}

/*
 * Prints a line: the milliseconds since the first one of the request, the
 * node, the event and its fields.
 */
static void
print_line(const struct line *line, int64_t since)
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
find_span(const GPtrArray *lines, int64_t *from, int64_t *to)
{
	const char *node = NULL;

	for (guint i = 0; i < lines->len; i++) {
		const struct line *line = g_ptr_array_index(lines, i);

		if (!line->own)
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
	GPtrArray *lines = g_ptr_array_new_with_free_func(line_free);
	enum ctl_exit result = read_lines(lines, arguments[1], arguments[0]);
	int64_t from = 0;
	int64_t to = 0;
	const char *node;

	(void)ctl;
	g_ptr_array_sort(lines, compare_lines);
	node = find_span(lines, &from, &to);
	if (result == CTL_EXIT_OK && node == NULL) {
		ctl_error("no line of request %s", arguments[0]);
		result = CTL_EXIT_UNKNOWN;
	}
	for (guint i = 0; i < lines->len && result == CTL_EXIT_OK; i++) {
		const struct line *line = g_ptr_array_index(lines, i);
		const char *of =
		    json_string_value(json_object_get(line->json, "node"));

		if (line->own ||
		    (g_strcmp0(of, node) == 0 &&
			line->at >= from - CONTEXT_MSEC && line->at <= to))
			print_line(line, from);
	}
	g_ptr_array_free(lines, TRUE);
	return result;
}

const struct ctl_command ctl_explain_command = {
    "explain", 2, true, run_explain};
