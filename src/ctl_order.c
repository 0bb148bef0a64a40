#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ctl_lines.h"

/*
 * The order of service as the nodes' logs tell it. Each process of a node
 * numbers the requests that it starts from 1 on.
 */

/* What the lines of one process say. */
struct run {
	const char *node;
	int64_t first;
	int64_t last;
	int64_t missing;
	int64_t repeated;
};

/*
 * Tells whether a line begins a process or starts a request.
 */
static bool
is_of_order(const json_t *json, void *arg)
{
	const char *name = json_string_value(json_object_get(json, "name"));

	(void)arg;
	return name != NULL &&
	    (strcmp(name, "request-started") == 0 ||
		strcmp(name, "node-started") == 0);
}

/*
 * Prints what was found of one process.
 */
static void
print_run(const struct run *run)
{
	if (run->last == 0)
		return;
	printf("%s: places %" PRId64 " to %" PRId64 ", %" PRId64
	       " without a line, %" PRId64 " not in order\n",
	    run->node, run->first, run->last, run->missing, run->repeated);
}

/*
 * Takes the next line of a node.
 */
static void
count_line(struct run *run, const struct ctl_line *line)
{
	int64_t place = ctl_line_number(line, "order");

	if (place == 0) {
		print_run(run);
		run->first = run->last = run->missing = 0;
		return;
	}
	if (run->last == 0)
		run->first = place;
	else if (place > run->last)
		run->missing += place - run->last - 1;
	else
		run->repeated++;
	if (place > run->last)
		run->last = place;
}

/*
 * Checks that the places of each process follow one another. Lines that the
 * collector did not get are counted; places that come twice or backwards are a
 * fault.
 */
static enum ctl_exit
run_verify(struct ctl *ctl, char **arguments)
{
	GHashTable *runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GPtrArray *lines = NULL;
	enum ctl_exit result =
	    ctl_lines_read(arguments[0], is_of_order, NULL, &lines);
	GHashTableIter iter;
	gpointer value;

	(void)ctl;
	for (guint i = 0; i < lines->len; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);
		const char *node = ctl_line_text(line, "node");
		struct run *run;

		if (node == NULL)
			continue;
		run = g_hash_table_lookup(runs, node);
		if (run == NULL) {
			run = g_new0(struct run, 1);
			run->node = node;
			g_hash_table_insert(runs, (char *)node, run);
		}
		count_line(run, line);
	}
	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		print_run(run);
		if (result == CTL_EXIT_OK && run->repeated > 0)
			result = CTL_EXIT_RECORD;
	}
	if (result == CTL_EXIT_OK && g_hash_table_size(runs) == 0) {
		ctl_error("no line of a request that was started");
		result = CTL_EXIT_UNKNOWN;
	}
	g_hash_table_destroy(runs);
	g_ptr_array_free(lines, TRUE);
	return result;
}

/*
 * Finds the first start of a request.
 */
static const struct ctl_line *
find_start(const GPtrArray *lines, const char *id)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct ctl_line *line = g_ptr_array_index(lines, i);

		if (g_strcmp0(ctl_line_text(line, "id"), id) == 0)
			return line;
	}
	ctl_error("no line says that request %s was started", id);
	return NULL;
}

/*
 * Prints the start of a request and what decided it.
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
 * Says which of two requests was served first and what decided it.
 */
static enum ctl_exit
run_compare(struct ctl *ctl, char **arguments)
{
	GPtrArray *lines = NULL;
	enum ctl_exit result =
	    ctl_lines_read(arguments[2], is_of_order, NULL, &lines);
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
		bool same = g_strcmp0(ctl_line_text(a, "node"),
				ctl_line_text(b, "node")) == 0;
		bool first = a->at != b->at
		    ? a->at < b->at
		    : ctl_line_number(a, "order") < ctl_line_number(b, "order");

		print_start(first ? a : b);
		print_start(first ? b : a);
		if (!same)
			printf("Two nodes, each of which serves by itself; "
			       "compared by their clocks.\n");
	}
	g_ptr_array_free(lines, TRUE);
	return result;
}

const struct ctl_command ctl_order_verify_command = {
    "order verify", 1, true, run_verify};
const struct ctl_command ctl_order_compare_command = {
    "order compare", 3, true, run_compare};
