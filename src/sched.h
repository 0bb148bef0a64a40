#ifndef CH_SCHED_H
#define CH_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnuthoist.pb-c.h"

#include "lstr.h"

/* Priority classes; class 0 is served first. */
#define SCHED_CLASSES 8
/* Largest cost of one entry; larger costs are counted as this. */
#define SCHED_COST_MAX 1000000

/*
 * One request to queue. cost is in any unit that is the same for all entries
 * (the router uses tokens). data is not used by the queue.
 */
struct sched_request {
	struct lstr organisation;
	uint32_t priority;
	uint32_t weight;
	int64_t cost;
	int64_t arrival;
	int64_t deadline;
	void *data;
};

/* A queued request; valid until it is taken, cancelled or expired. */
struct sched_entry;

/* The queue of one replica. */
struct sched;

enum status sched_create(size_t max, struct sched **);
void sched_destroy(struct sched *);
size_t sched_count(const struct sched *);
size_t sched_class_count(const struct sched *, uint32_t priority);
enum status sched_push(
    struct sched *, const struct sched_request *, struct sched_entry **);
bool sched_peek(const struct sched *, void **data);
bool sched_take(struct sched *, void **data, Ch__RecordReason *);
void sched_cancel(struct sched *, struct sched_entry *);
bool sched_expire(struct sched *, int64_t now, void **data);
int64_t sched_next_expiry(const struct sched *);
int64_t sched_expected_wait(const struct sched *, struct lstr organisation,
    uint32_t priority, uint32_t weight, int64_t usec_per_cost);

#endif
