#ifndef CH_DRAIN_H
#define CH_DRAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Shutdown of a node after SIGTERM: which requests it still accepts, and when
 * it stops listening and exits. Callers learn only gradually that a node is
 * stopping, so at first it accepts every request that it expects to complete.
 * After that, it accepts only requests whose time limit passes before it exits,
 * because an expected duration may be exceeded: each of them is answered,
 * whatever its servers do. All others are refused at once, also if no other
 * node serves, with the time at which one does.
 */

/* Longest time for which requests are accepted although their time limit is
 * later than the exit, and the largest share of the grace period for it. */
#define DRAIN_ACCEPT_USEC ((int64_t)2500000)
#define DRAIN_ACCEPT_SHARE 3
/* All requests have been answered this long before the process would be
 * killed, and it exits shortly before that. */
#define DRAIN_ANSWER_MARGIN_USEC ((int64_t)400000)
#define DRAIN_EXIT_MARGIN_USEC ((int64_t)200000)
/* In a short grace period, the margins are at most these shares of it. */
#define DRAIN_ANSWER_MARGIN_SHARE 5
#define DRAIN_EXIT_MARGIN_SHARE 10
/* Time from the exit of a node until it accepts requests again. */
#define DRAIN_RESTART_USEC ((int64_t)1000000)
/* Callers who are refused until a node is back return after that at this
 * multiple of the intervals at which they were refused, with some jitter, so
 * that they do not return together. */
#define DRAIN_RETURN_INTERVALS 0.5
#define DRAIN_RETURN_JITTER_USEC ((int64_t)500000)

/* Times of a shutdown. */
struct drain {
	/* 0: the node is not stopping. */
	int64_t started_at;
	int64_t accept_until;
	/* Requests that have not been answered by then fail. */
	int64_t answer_by;
	int64_t exit_by;
};

/* A request that is to be sent to a server. */
struct drain_request {
	/* Expected duration in microseconds; 0: not known, and short. */
	int64_t expected_usec;
	/* When the caller or the route's time limit ends it. */
	int64_t timeout_at;
	/* It may have run, so it cannot be refused. */
	bool may_have_run;
};

/* Where else callers may go. The times are those at which the live peers that
 * are stopping began to, the first and the last one; 0: no peer is stopping. */
struct drain_peers {
	/* Other nodes that are not stopping. */
	uint32_t serving;
	int64_t first_stopping_at;
	int64_t last_stopping_at;
};

/* Returns whether a node is stopping. */
static inline bool
drain_is_active(const struct drain *drain)
{
	return drain->started_at != 0;
}

void drain_start(struct drain *, int64_t now, int64_t grace_usec);
bool drain_accepts(
    const struct drain *, const struct drain_request *, int64_t now);
int64_t drain_retry_usec(const struct drain *, const struct drain_peers *,
    const struct drain_request *, int64_t now, int64_t retry_usec,
    double jitter);

#endif
