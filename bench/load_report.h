#ifndef CH_LOAD_REPORT_H
#define CH_LOAD_REPORT_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "load_mix.h"
#include "loop.h"

/* Kinds of requests. */
enum load_kind {
	LOAD_LOOKUP,
	LOAD_ORDER,
	LOAD_KINDS
};

/* Number of requests of one kind by how they ended. */
struct load_counts {
	int64_t sent;
	int64_t run;
	int64_t not_run;
	int64_t unknown;
	/* Requests for which no line with an outcome arrived. */
	int64_t incomplete;
	/* Requests whose response differs from the expected one. */
	int64_t wrong;
	int64_t retries;
	int64_t unfinished;
};

struct load_report {
	struct load_counts counts[LOAD_KINDS];
	/* Number of requests by final "outcome/code". */
	GHashTable *codes;
	/* Durations in microseconds. */
	GArray *first_token;
	GArray *gap;
	GArray *order;
	int64_t tokens;
	int64_t started_at;
	int64_t ended_at;
};

/*
 * Initialises an empty report.
 */
static inline void
load_report_init(struct load_report *report)
{
	report->codes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	report->first_token = g_array_new(FALSE, FALSE, sizeof(int64_t));
	report->gap = g_array_new(FALSE, FALSE, sizeof(int64_t));
	report->order = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

/*
 * Frees the members of a report, but not the report itself.
 */
static inline void
load_report_free(struct load_report *report)
{
	g_hash_table_destroy(report->codes);
	g_array_free(report->first_token, TRUE);
	g_array_free(report->gap, TRUE);
	g_array_free(report->order, TRUE);
}

/*
 * Counts a final outcome under "outcome/code".
 */
static inline void
load_report_count_outcome(
    struct load_report *report, const char *outcome, const char *code)
{
	char *key = g_strdup_printf("%s/%s", outcome, code);
	gintptr n = (gintptr)g_hash_table_lookup(report->codes, key);

	g_hash_table_insert(report->codes, key, (gpointer)(n + 1));
}

/*
 * Compares two durations (int64_t) for sorting.
 */
static inline int
load_compare_durations(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns a percentile, in milliseconds, of a sorted array of durations in
 * microseconds; 0 if the array is empty.
 */
static inline double
load_percentile(const GArray *values, int percent)
{
	guint index;

	if (values->len == 0)
		return 0;
	index = (guint)((uint64_t)values->len * (unsigned int)percent / 100);
	if (index >= values->len)
		index = values->len - 1;
	return (double)g_array_index(values, int64_t, index) /
	    (double)LOOP_USEC_PER_MSEC;
}

/*
 * Sorts the durations and returns their percentiles, in milliseconds, as a JSON
 * object.
 */
static inline json_t *
load_durations_json(GArray *values)
{
	g_array_sort(values, load_compare_durations);
	return json_pack("{s:I,s:f,s:f,s:f,s:f}", "count",
	    (json_int_t)values->len, "p50_ms", load_percentile(values, 50),
	    "p95_ms", load_percentile(values, 95), "p99_ms",
	    load_percentile(values, 99), "max_ms",
	    load_percentile(values, 100));
}

/*
 * Returns whether the response to an order has status 200 and names the
 * expected operation.
 */
static inline bool
load_order_is_answered(const json_t *line, const char *expected)
{
	const char *body = json_string_value(json_object_get(line, "body"));
	json_t *answer = json_loads(body ? body : "", 0, NULL);
	const char *operation =
	    json_string_value(json_object_get(answer, "operation"));
	bool answered =
	    json_integer_value(json_object_get(line, "status")) == 200 &&
	    operation != NULL && strcmp(operation, expected) == 0;

	json_decref(answer);
	return answered;
}

/*
 * Appends the result of a try to the history; a try without an outcome is
 * "incomplete".
 */
static inline void
load_history_add(json_t *history, const char *outcome, const char *code)
{
	json_array_append_new(history,
	    json_pack("{s:s,s:s}", "outcome",
		outcome[0] ? outcome : "incomplete", "code", code));
}

/*
 * Opens the results file; *file is set to NULL if path is NULL. Prints an
 * error and returns false if the file cannot be opened.
 */
static inline bool
load_results_open(const char *path, FILE **file)
{
	*file = path ? fopen(path, "we") : NULL;
	if (*file != NULL)
		setvbuf(*file, NULL, _IOLBF, 0);
	else if (path != NULL)
		perror(path);
	return path == NULL || *file != NULL;
}

/*
 * Writes one JSON line about a finished request: its key, its kind, whether a
 * response was wrong, when it ended (Unix time in ms), and the outcome of each
 * try. Does nothing if file is NULL.
 */
static inline void
load_result_write(FILE *file, const char *key, enum load_kind kind, bool wrong,
    json_t *history)
{
	json_t *json;
	char *text;

	if (file == NULL)
		return;
	json = json_pack("{s:s,s:I,s:s,s:b,s:O}", "key", key, "ended_ms",
	    (json_int_t)(g_get_real_time() / LOOP_USEC_PER_MSEC), "kind",
	    kind == LOAD_ORDER ? "order" : "lookup", "wrong", (int)wrong,
	    "tries", history);
	text = json_dumps(json, JSON_COMPACT);
	fprintf(file, "%s\n", text);
	free(text);
	json_decref(json);
}

/*
 * Returns the counts of one kind of request as a JSON object.
 */
static inline json_t *
load_counts_json(const struct load_counts *c)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "sent",
	    (json_int_t)c->sent, "run", (json_int_t)c->run, "not_run",
	    (json_int_t)c->not_run, "unknown", (json_int_t)c->unknown,
	    "incomplete", (json_int_t)c->incomplete, "wrong",
	    (json_int_t)c->wrong, "retries", (json_int_t)c->retries,
	    "unfinished", (json_int_t)c->unfinished);
}

/*
 * Returns the report as a JSON object, without the load mix.
 */
static inline json_t *
load_report_json(struct load_report *report)
{
	double seconds = (double)(report->ended_at - report->started_at) /
	    (double)LOOP_USEC_PER_SEC;
	json_t *codes = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, report->codes);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(
		    codes, key, json_integer((json_int_t)(gintptr)value));
	return json_pack("{s:f,s:I,s:f,s:o,s:o,s:o,s:o,s:o,s:o}", "seconds",
	    seconds, "tokens", (json_int_t)report->tokens, "tokens_per_second",
	    seconds > 0 ? (double)report->tokens / seconds : 0.0, "lookups",
	    load_counts_json(&report->counts[LOAD_LOOKUP]), "orders",
	    load_counts_json(&report->counts[LOAD_ORDER]), "codes", codes,
	    "first_token", load_durations_json(report->first_token),
	    "token_gap", load_durations_json(report->gap), "order_latency",
	    load_durations_json(report->order));
}

/*
 * Prints a JSON object of the report as one line of text.
 */
static inline void
load_print_line(const char *name, json_t *object)
{
	const char *key;
	json_t *value;

	printf("%-16s", name);
	json_object_foreach(object, key, value)
	{
		if (json_is_real(value))
			printf(" %s=%.2f", key, json_real_value(value));
		else
			printf(" %s=%lld", key,
			    (long long)json_integer_value(value));
	}
	printf("\n");
}

/*
 * Prints the report, with the counts of the load mix, as text or JSON.
 */
static inline void
load_report_print(
    struct load_report *report, const struct load_mix *mix, bool as_json)
{
	json_t *json = load_report_json(report);
	char *text;
	const char *key;
	json_t *value;

	load_mix_json(mix, json);
	if (as_json) {
		text = json_dumps(json, JSON_COMPACT);
		printf("%s\n", text);
		free(text);
	} else {
		json_object_foreach(json, key, value)
		{
			if (json_is_array(value) ||
			    strcmp(key, "organisations") == 0)
				continue;
			if (json_is_object(value))
				load_print_line(key, value);
			else if (json_is_real(value))
				printf("%-16s %.2f\n", key,
				    json_real_value(value));
			else
				printf("%-16s %lld\n", key,
				    (long long)json_integer_value(value));
		}
	}
	json_decref(json);
}

#endif
