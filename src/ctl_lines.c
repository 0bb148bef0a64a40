#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_lines.h"

/* Stands for standard input. */
#define STDIN_NAME "-"
#define MSEC_PER_SEC 1000

/*
 * Frees a line; used by the array that holds it.
 */
static void
line_free(void *data)
{
	struct ctl_line *line = data;

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
 * Keeps a line if it is wanted. A collector may put text of its own before the
 * JSON.
 */
static void
take_line(GPtrArray *lines, const char *text, ctl_line_fn wanted, void *arg)
{
	const char *start = strchr(text, '{');
	json_t *json = start != NULL
	    ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL)
	    : NULL;
	struct ctl_line *line;

	if (json == NULL || !wanted(json, arg)) {
		json_decref(json);
		return;
	}
	line = g_new0(struct ctl_line, 1);
	line->json = json;
	line->at = line_time(json);
	g_ptr_array_add(lines, line);
}

/*
 * Orders lines by time, those of one moment by their place in the order of
 * service.
 */
static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const struct ctl_line *x = *(const struct ctl_line *const *)a;
	const struct ctl_line *y = *(const struct ctl_line *const *)b;
	json_int_t m = json_integer_value(json_object_get(x->json, "order"));
	json_int_t n = json_integer_value(json_object_get(y->json, "order"));

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return m < n ? -1 : m > n;
}

/*
 * Reads the wanted lines of a file of node logs in the order of their time.
 * The array is freed by the caller, also after a failure, which is printed.
 */
enum ctl_exit
ctl_lines_read(const char *path, ctl_line_fn wanted, void *arg, GPtrArray **out)
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
		take_line(*out, text, wanted, arg);
	free(text);
	if (file != stdin)
		fclose(file);
	g_ptr_array_sort(*out, compare_lines);
	return CTL_EXIT_OK;
}

/*
 * Returns a text field of a line; NULL: it has none.
 */
const char *
ctl_line_text(const struct ctl_line *line, const char *name)
{
	return json_string_value(json_object_get(line->json, name));
}

/*
 * Returns a whole number of a line; 0: it has none.
 */
int64_t
ctl_line_number(const struct ctl_line *line, const char *name)
{
	return json_integer_value(json_object_get(line->json, name));
}
