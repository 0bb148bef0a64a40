#ifndef CH_SCHED_H
#define CH_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnuthoist.pb-c.h"

#include "lstr.h"

/* Number of priority classes; class 0 is served first. */
#define SCHED_CLASSES 8
/* Maximum cost of one entry; larger costs are reduced to it. */
#define SCHED_COST_MAX 1000000

/*
 * A request to queue. cost may have any unit, as long as it is the same for
 * all entries; the router uses tokens. arrival and deadline are times on the
 * same clock. data is an opaque pointer of the caller.
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

/* A queued request; valid until it is popped, cancelled or expired. */
struct sched_entry;

/*
 * The request queue of one replica: strict priority between classes,
 * start-time fair queuing between the organisations of a class, and earliest
 * deadline first within an organisation.
 */
struct sched;

enum status sched_create(size_t max, struct sched **);
void sched_destroy(struct sched *);
size_t sched_count(const struct sched *);
size_t sched_class_count(const struct sched *, uint32_t priority);
int64_t sched_class_cost(const struct sched *, uint32_t priority);
enum status sched_push(
    struct sched *, const struct sched_request *, struct sched_entry **);
bool sched_peek(const struct sched *, void **data);
bool sched_pop(struct sched *, void **data, Ch__RecordReason *);
size_t sched_list(const struct sched *, void **data, size_t max);
void sched_take(struct sched *, struct sched_entry *);
void sched_cancel(struct sched *, struct sched_entry *);
bool sched_expire(struct sched *, int64_t now, void **data);
int64_t sched_next_expiry(const struct sched *);
int64_t sched_expected_wait(const struct sched *, struct lstr organisation,
    uint32_t priority, uint32_t weight, int64_t usec_per_cost);

#endif
