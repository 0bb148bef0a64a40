#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_lines.h"

/* File name that means standard input. */
#define STDIN_NAME "-"
#define MSEC_PER_SEC 1000

/*
 * Frees a line; the free function of the array of lines.
 */
static void
line_free(void *data)
{
	struct ctl_line *line = data;

	json_decref(line->json);
	g_free(line);
}

/*
 * Returns the time of a line as Unix time in milliseconds, or 0 if it has no
 * valid time.
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
 * Adds a line if it passes the filter. A log collector may have put its own
 * text before the JSON.
 */
static void
add_matching_line(
    GPtrArray *lines, const char *text, ctl_line_filter filter, void *arg)
{
	const char *start = strchr(text, '{');
	json_t *json = start != NULL
	    ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL)
	    : NULL;
	struct ctl_line *line;

	if (json == NULL || !filter(json, arg)) {
		json_decref(json);
		return;
	}
	line = g_new0(struct ctl_line, 1);
	line->json = json;
	line->time_msec = line_time(json);
	g_ptr_array_add(lines, line);
}

/*
 * Compares lines by time, and lines of the same time by their position in the
 * service order.
 */
static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const struct ctl_line *x = *(const struct ctl_line *const *)a;
	const struct ctl_line *y = *(const struct ctl_line *const *)b;
	json_int_t order_x =
	    json_integer_value(json_object_get(x->json, "order"));
	json_int_t order_y =
	    json_integer_value(json_object_get(y->json, "order"));

	if (x->time_msec != y->time_msec)
		return x->time_msec < y->time_msec ? -1 : 1;
	return order_x < order_y ? -1 : order_x > order_y;
}

/*
 * Reads the lines of a node log file that pass the filter, sorted by time. The
 * caller frees the array, also after a failure; failures are printed.
 */
enum ctl_exit
ctl_lines_read(
    const char *path, ctl_line_filter filter, void *arg, GPtrArray **out)
{
	FILE *file = strcmp(path, STDIN_NAME) == 0 ? stdin : fopen(path, "r");
	char *text = NULL;
	size_t size = 0;

	*out = g_ptr_array_new_with_free_func(line_free);
	if (file == NULL) {
		ctl_error("%s: %s", path, strerror(errno));
		return CTL_EXIT_FAILED;
	}
	while (getline(&text, &size, file) >= 0)
		add_matching_line(*out, text, filter, arg);
	free(text);
	if (file != stdin)
		fclose(file);
	g_ptr_array_sort(*out, compare_lines);
	return CTL_EXIT_OK;
}

/*
 * Returns a string field of a line, or NULL if it has none.
 */
const char *
ctl_line_text(const struct ctl_line *line, const char *name)
{
	return json_string_value(json_object_get(line->json, name));
}

/*
 * Returns an integer field of a line, or 0 if it has none.
 */
int64_t
ctl_line_number(const struct ctl_line *line, const char *name)
{
	return json_integer_value(json_object_get(line->json, name));
}
