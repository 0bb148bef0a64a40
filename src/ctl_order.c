#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ctl_lines.h"

/*
 * Checks the service order that is recorded in the nodes' logs. Each process of
 * a node numbers the requests that it starts, beginning with 1.
 */

/* Positions in the service order found in the log lines of one process. */
struct process_stats {
	const char *node;
	int64_t first;
	int64_t last;
	int64_t missing;
	int64_t out_of_order;
};

/*
 * Returns true if a line is the start of a process or of a request.
 */
static bool
is_start_event(const json_t *json, void *arg)
{
	const char *name = json_string_value(json_object_get(json, "name"));

	(void)arg;
	return name != NULL &&
	    (strcmp(name, "request-started") == 0 ||
		strcmp(name, "node-started") == 0);
}

/*
 * Prints the statistics of one process, unless it started no request.
 */
static void
print_stats(const struct process_stats *process_stats)
{
	if (process_stats->last == 0)
		return;
	printf("%s: places %" PRId64 " to %" PRId64 ", %" PRId64
	       " without a line, %" PRId64 " not in order\n",
	    process_stats->node, process_stats->first, process_stats->last,
	    process_stats->missing, process_stats->out_of_order);
}

/*
 * Adds the next line of a node to the statistics. A line without a position is
 * the start of a new process.
 */
static void
count_line(struct process_stats *process_stats, const struct ctl_line *line)
{
	int64_t position = ctl_line_number(line, "order");

	if (position == 0) {
		print_stats(process_stats);
		process_stats->first = process_stats->last =
		    process_stats->missing = 0;
		return;
	}
	if (process_stats->last == 0)
		process_stats->first = position;
	else if (position > process_stats->last)
		process_stats->missing += position - process_stats->last - 1;
	else
		process_stats->out_of_order++;
	if (position > process_stats->last)
		process_stats->last = position;
}

/*
 * Checks that the positions of each process are consecutive. Missing lines,
 * which the collector may have lost, are only counted; positions that repeat or
 * go backwards are an error.
 */
static enum ctl_exit
run_verify(struct ctl *ctl, char **arguments)
{
	GHashTable *stats_by_node =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GPtrArray *lines = NULL;
	enum ctl_exit result =
	    ctl_lines_read(arguments[0], is_start_event, NULL, &lines);
	GHashTableIter iter;
	gpointer value;

	(void)ctl;
	for (guint i = 0; i < lines->len; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);
		const char *node = ctl_line_text(line, "node");
		struct process_stats *process_stats;

		if (node == NULL)
			continue;
		process_stats = g_hash_table_lookup(stats_by_node, node);
		if (process_stats == NULL) {
			process_stats = g_new0(struct process_stats, 1);
			process_stats->node = node;
			g_hash_table_insert(
			    stats_by_node, (char *)node, process_stats);
		}
		count_line(process_stats, line);
	}
	g_hash_table_iter_init(&iter, stats_by_node);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct process_stats *process_stats = value;

		print_stats(process_stats);
		if (result == CTL_EXIT_OK && process_stats->out_of_order > 0)
			result = CTL_EXIT_RECORD;
	}
	if (result == CTL_EXIT_OK && g_hash_table_size(stats_by_node) == 0) {
		ctl_error("the log contains no started request");
		result = CTL_EXIT_UNKNOWN;
	}
	g_hash_table_destroy(stats_by_node);
	g_ptr_array_free(lines, TRUE);
	return result;
}

/*
 * Returns the first start line of a request. Prints an error and returns NULL
 * if there is none.
 */
static const struct ctl_line *
find_start(const GPtrArray *lines, const char *id)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);

		if (g_strcmp0(ctl_line_text(line, "id"), id) == 0)
			return line;
	}
	ctl_error("the log contains no start of request %s", id);
	return NULL;
}

/*
 * Prints the position of a request in the service order and the reason for it.
 */
static void
print_start(const struct ctl_line *line)
{
	printf("%s: place %" PRId64 " of %s, organisation \"%s\", priority "
	       "class %" PRId64 ", waited %" PRId64 " ms, reason \"%s\"\n",
	    ctl_line_text(line, "id"), ctl_line_number(line, "order"),
	    ctl_line_text(line, "node"), ctl_line_text(line, "organisation"),
	    ctl_line_number(line, "priority"),
	    ctl_line_number(line, "waited_ms"), ctl_line_text(line, "reason"));
}

/*
 * Prints which of two requests was started first, and the reasons.
 */
static enum ctl_exit
run_compare(struct ctl *ctl, char **arguments)
{
	GPtrArray *lines = NULL;
	enum ctl_exit result =
	    ctl_lines_read(arguments[2], is_start_event, NULL, &lines);
	const struct ctl_line *a = NULL;
	const struct ctl_line *b = NULL;

	(void)ctl;
	if (result == CTL_EXIT_OK) {
		a = find_start(lines, arguments[0]);
		b = find_start(lines, arguments[1]);
		result =
		    a != NULL && b != NULL ? CTL_EXIT_OK : CTL_EXIT_UNKNOWN;
	}
	if (result == CTL_EXIT_OK) {
		bool same_node = g_strcmp0(ctl_line_text(a, "node"),
				     ctl_line_text(b, "node")) == 0;
		bool a_is_first = a->time_msec != b->time_msec
		    ? a->time_msec < b->time_msec
		    : ctl_line_number(a, "order") < ctl_line_number(b, "order");

		print_start(a_is_first ? a : b);
		print_start(a_is_first ? b : a);
		if (!same_node)
			printf("Two nodes, which serve independently; "
			       "compared by their clocks.\n");
	}
	g_ptr_array_free(lines, TRUE);
	return result;
}

const struct ctl_command ctl_order_verify_command = {
    "order verify", 1, true, run_verify};
const struct ctl_command ctl_order_compare_command = {
    "order compare", 3, true, run_compare};
