#ifndef CH_LIMIT_H
#define CH_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "lstr.h"

/* Longest code of a refusal and its message, with the terminator. */
#define LIMIT_MESSAGE_MAX 160

/* How many requests of each organisation are in this router. */
struct limit_table;

enum status limit_table_create(struct limit_table **);
void limit_table_destroy(struct limit_table *);
uint32_t limit_count(const struct limit_table *, struct lstr);
enum status limit_enter(struct limit_table *, struct lstr);
void limit_leave(struct limit_table *, struct lstr);

/*
 * What admission looks at. wait_usec is the expected time in the queue,
 * run_usec the expected time from start to finish, and turn_usec the expected
 * time between two requests that leave the replica.
 */
struct limit_case {
	struct lstr organisation;
	uint32_t max_concurrent;
	size_t queued;
	size_t queue_max;
	int64_t wait_usec;
	int64_t run_usec;
	int64_t turn_usec;
	int64_t deadline;
};

/*
 * A refusal has a code and a time. retry_at is the earliest time at which the
 * same request can be expected to be admitted, 0 when it never can.
 */
struct limit_decision {
	bool admitted;
	const char *code;
	char message[LIMIT_MESSAGE_MAX];
	int64_t retry_at;
};

void limit_decide(const struct limit_table *, const struct limit_case *,
    int64_t now, struct limit_decision *);

/*
 * The adaptive limit on what one replica runs at the same time. The time per
 * token is compared with its value without load.
 */
struct limit_adaptive {
	double limit;
	double min;
	double max;
	/* Time per token without load, microseconds; 0 while unknown. */
	double base_usec;
	/* Smoothed time per token, microseconds. */
	double token_usec;
	int64_t adjust_at;
	uint32_t peak;
};

void limit_adaptive_init(struct limit_adaptive *, uint32_t start, uint32_t max);
void limit_adaptive_observe(
    struct limit_adaptive *, int64_t token_usec, uint32_t running, int64_t now);
uint32_t limit_adaptive_value(const struct limit_adaptive *);

#endif
