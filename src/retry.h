#ifndef CH_RETRY_H
#define CH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Part of the requests of a service that may be retries: one in ten. */
#define RETRY_REQUESTS_PER_RETRY 10
/* Units of the account of one retry. */
#define RETRY_UNITS 100
/* Retries that a service may save up. */
#define RETRY_SAVED_MAX 200
/* Retries that are allowed whatever the number of requests was. */
#define RETRY_MINIMUM 10
#define RETRY_MINIMUM_REFILL_USEC ((int64_t)1000000)
/* Part of a shared budget that is kept for requests under way: one that has not
 * begun can be refused, and its caller comes back without a charge. */
#define RETRY_RESERVE_SHARE 0.5
/* Full jitter below a limit that doubles from the base to the largest. */
#define RETRY_BACKOFF_BASE_USEC ((int64_t)10000)
#define RETRY_BACKOFF_MAX_USEC ((int64_t)1000000)

/* The retry budget of one service. */
struct retry_budget {
	/* In units of 1 / RETRY_UNITS of a retry. */
	int64_t saved;
	int64_t saved_max;
	/* What each request earns. */
	int64_t earned;
	/* Part of saved that only requests under way may use. */
	int64_t reserve;
	int64_t minimum;
	int64_t minimum_max;
	int64_t refilled_at;
	uint64_t granted;
	uint64_t refused;
};

enum retry_verdict {
	RETRY_OK = 0,
	/* It may have run, and must not run twice. */
	RETRY_MAY_HAVE_RUN,
	/* No time is left before the deadline. */
	RETRY_TOO_LATE,
	/* The budget of the service is used up. */
	RETRY_NO_BUDGET
};

/* What is known of a failed try. failures counts this one. */
struct retry_case {
	bool idempotent;
	bool nothing_ran;
	uint32_t failures;
	int64_t deadline;
	/* Its caller has part of the answer, or it may have run: without a
	 * retry the work is lost. */
	bool under_way;
};

void retry_budget_init(struct retry_budget *, int64_t now);
void retry_budget_init_share(
    struct retry_budget *, int64_t burst, double ratio);
void retry_request(struct retry_budget *);
enum retry_verdict retry_decide(struct retry_budget *,
    const struct retry_case *, int64_t now, GRand *, int64_t *at);
bool retry_is_available(const struct retry_budget *);
const char *retry_verdict_name(enum retry_verdict);

#endif
