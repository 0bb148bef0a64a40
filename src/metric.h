#ifndef CH_METRIC_H
#define CH_METRIC_H

#include <stdint.h>

#include "lstr.h"

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE
};

/*
 * A counter or gauge, defined as a static variable of the module that updates
 * it. labels is empty or of the form "reason=\"full\"". Metrics of the same
 * name must be registered consecutively.
 */
struct metric {
	const char *name;
	const char *labels;
	const char *help;
	enum metric_kind kind;
	int64_t value;
	struct metric *next;
};

#define METRIC_BUCKETS 16

/*
 * A histogram of durations. The upper limits of the buckets double from 1 ms;
 * the last bucket has none.
 */
struct metric_histogram {
	const char *name;
	const char *help;
	int64_t buckets[METRIC_BUCKETS];
	int64_t count;
	int64_t sum_usec;
	struct metric_histogram *next;
};

void metric_register(struct metric *);
void metric_register_histogram(struct metric_histogram *);
void metric_observe(struct metric_histogram *, int64_t);
enum status metric_write(struct lstr_buf *);

#endif
