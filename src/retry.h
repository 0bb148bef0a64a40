#ifndef CH_RETRY_H
#define CH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Number of requests of a service that earn one retry. */
#define RETRY_REQUESTS_PER_RETRY 10
/* Budget units that one retry costs. */
#define RETRY_UNITS_PER_RETRY 100
/* Maximum number of earned retries that a service can accumulate. */
#define RETRY_BALANCE_MAX 200
/*
 * Retries that are allowed regardless of the number of requests. One of them
 * is restored per refill interval.
 */
#define RETRY_MINIMUM 10
#define RETRY_MINIMUM_REFILL_USEC ((int64_t)1000000)
/*
 * Exponential backoff with full jitter: a random delay below a limit that
 * starts at the base and doubles with each failure up to the maximum.
 */
#define RETRY_BACKOFF_BASE_USEC ((int64_t)10000)
#define RETRY_BACKOFF_MAX_USEC ((int64_t)1000000)

/* The retry budget of one service. */
struct retry_budget {
	/*
	 * Retries earned by requests, in units of 1 / RETRY_UNITS_PER_RETRY.
	 */
	int64_t balance;
	int64_t balance_max;
	/* Units that each request adds. */
	int64_t units_per_request;
	/* Retries left that need not be earned. */
	int64_t minimum;
	int64_t minimum_max;
	int64_t refilled_at;
	/* Counters of decisions. */
	uint64_t granted;
	uint64_t refused;
};

enum retry_verdict {
	RETRY_OK = 0,
	/* The request may have run and is not idempotent. */
	RETRY_MAY_HAVE_RUN,
	/* The deadline passes before the backoff ends. */
	RETRY_TOO_LATE,
	/* The retry budget of the service is exhausted. */
	RETRY_NO_BUDGET
};

/* A failed attempt. failures is the number of failures including this one. */
struct retry_attempt {
	bool idempotent;
	/* The attempt certainly did not run. */
	bool nothing_ran;
	uint32_t failures;
	int64_t deadline;
};

void retry_budget_init(struct retry_budget *, int64_t now);
void retry_budget_add_request(struct retry_budget *);
enum retry_verdict retry_decide(struct retry_budget *,
    const struct retry_attempt *, int64_t now, GRand *, int64_t *at);
const char *retry_verdict_name(enum retry_verdict);

#endif
