#ifndef CH_METRIC_H
#define CH_METRIC_H

#include <stdint.h>

#include "lstr.h"

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE
};

/*
 * A metric is a static variable of the module that counts. labels is empty or
 * of the form "reason=\"full\"". Metrics of one name are registered one after
 * the other.
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

/* Counts durations in buckets that double from 1 ms. */
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
