#include <stddef.h>
#include <string.h>

#include "metric.h"

#define USEC_PER_SEC 1e6
#define FIRST_BUCKET_USEC 1000

static struct metric *first_metric;
static struct metric **last_metric = &first_metric;
static struct metric_histogram *first_histogram;
static struct metric_histogram **last_histogram = &first_histogram;

/*
 * Adds a metric to the list that metric_write() prints. The metric must be
 * static; registering it twice has no effect.
 */
void
metric_register(struct metric *metric)
{
	if (metric->next != NULL || last_metric == &metric->next)
		return;
	*last_metric = metric;
	last_metric = &metric->next;
}

/*
 * Adds a histogram to the list that metric_write() prints. The histogram must
 * be static; registering it twice has no effect.
 */
void
metric_register_histogram(struct metric_histogram *histogram)
{
	if (histogram->next != NULL || last_histogram == &histogram->next)
		return;
	*last_histogram = histogram;
	last_histogram = &histogram->next;
}

/*
 * Adds one duration, in microseconds, to a histogram.
 */
void
metric_observe(struct metric_histogram *histogram, int64_t usec)
{
	int64_t limit = FIRST_BUCKET_USEC;
	int i = 0;

	while (i < METRIC_BUCKETS - 1 && usec > limit) {
		limit *= 2;
		i++;
	}
	histogram->buckets[i]++;
	histogram->count++;
	histogram->sum_usec += usec;
}

/*
 * Appends one histogram; its last bucket has no upper limit.
 */
static enum status
write_histogram(struct lstr_buf *out, const struct metric_histogram *h)
{
	int64_t limit = FIRST_BUCKET_USEC;
	int64_t sum = 0;

	lstr_buf_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", h->name,
	    h->help, h->name);
	for (int i = 0; i < METRIC_BUCKETS - 1; i++, limit *= 2) {
		sum += h->buckets[i];
		lstr_buf_printf(out, "%s_bucket{le=\"%g\"} %lld\n", h->name,
		    (double)limit / USEC_PER_SEC, (long long)sum);
	}
	return lstr_buf_printf(out,
	    "%s_bucket{le=\"+Inf\"} %lld\n%s_sum %g\n%s_count %lld\n", h->name,
	    (long long)h->count, h->name, (double)h->sum_usec / USEC_PER_SEC,
	    h->name, (long long)h->count);
}

/*
 * Appends all metrics in the Prometheus text exposition format. Returns
 * STATUS_NO_MEMORY if the buffer cannot grow.
 */
enum status
metric_write(struct lstr_buf *out)
{
	const char *previous = "";
	enum status status = STATUS_OK;

	for (const struct metric *m = first_metric; m != NULL; m = m->next) {
		if (strcmp(previous, m->name) != 0)
			lstr_buf_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
			    m->name, m->help, m->name,
			    m->kind == METRIC_COUNTER ? "counter" : "gauge");
		previous = m->name;
		status = lstr_buf_printf(out,
		    m->labels[0] != '\0' ? "%s{%s} %lld\n" : "%s%s %lld\n",
		    m->name, m->labels, (long long)m->value);
	}
	for (const struct metric_histogram *h = first_histogram; h != NULL;
	     h = h->next)
		status = write_histogram(out, h);
	return status;
}
