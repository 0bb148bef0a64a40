#ifndef CH_LIMIT_H
#define CH_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "lstr.h"

/* Size of the message of a refusal, including the terminator. */
#define LIMIT_MESSAGE_MAX 160

/* The number of admitted requests of each organisation in this router. */
struct limit_table;

enum status limit_table_create(struct limit_table **);
void limit_table_destroy(struct limit_table *);
uint32_t limit_count(const struct limit_table *, struct lstr);
enum status limit_acquire(struct limit_table *, struct lstr);
void limit_release(struct limit_table *, struct lstr);

/*
 * The inputs to an admission decision. wait_usec is the expected time in the
 * queue, run_usec the expected time from start to finish, and
 * completion_interval_usec the expected time between two requests that finish
 * on the replica.
 */
struct limit_request {
	struct lstr organisation;
	uint32_t max_concurrent;
	size_t queued;
	size_t queue_max;
	int64_t wait_usec;
	int64_t run_usec;
	int64_t completion_interval_usec;
	int64_t deadline;
};

/*
 * An admission decision. A refusal has a code and a message. retry_at is the
 * earliest time at which the same request can be expected to be admitted, or 0
 * when it never can be.
 */
struct limit_decision {
	bool admitted;
	const char *code;
	char message[LIMIT_MESSAGE_MAX];
	int64_t retry_at;
};

void limit_decide(const struct limit_table *, const struct limit_request *,
    int64_t now, struct limit_decision *);

/*
 * The adaptive concurrency limit of one replica. It is adjusted by comparing
 * the time per token with its value without load.
 */
struct limit_adaptive {
	double limit;
	double min;
	double max;
	/* Time per token without load, microseconds; 0 while unknown. */
	double base_usec;
	/* Smoothed time per token, microseconds. */
	double token_usec;
	/* Earliest time of the next adjustment. */
	int64_t next_adjust_at;
	/* Most requests that ran at once since the last adjustment. */
	uint32_t peak_running;
};

void limit_adaptive_init(struct limit_adaptive *, uint32_t start, uint32_t max);
void limit_adaptive_observe(
    struct limit_adaptive *, int64_t token_usec, uint32_t running, int64_t now);
uint32_t limit_adaptive_value(const struct limit_adaptive *);

#endif
