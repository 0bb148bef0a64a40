#ifndef CH_ADMIT_H
#define CH_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides what happens to a generation for which no path has room, and what
 * follows a failed attempt. It answers the load in which more arrives than
 * the engines finish: a queue serves requests only while it is short against
 * the time that callers have, so beyond that they are refused at once, each
 * with the time at which room is expected, spread so that they do not return
 * together.
 */

/* A request waits at most this share of the time that its caller has left. */
#define ADMIT_WAIT_SHARE 0.2
/* Longest wait: about the time that a stream runs, after which the engines
 * have been emptied once. */
#define ADMIT_WAIT_MAX_USEC ((int64_t)3000000)
/* Bounds of the time that a refused caller is asked to wait. */
#define ADMIT_RETRY_MIN_USEC ((int64_t)250000)
/* Callers honour at most a third of the time that they have left. */
#define ADMIT_RETRY_SHARE 0.3

enum admit_choice {
	ADMIT_WAIT,
	ADMIT_REFUSE
};

struct admit_case {
	/* Expected wait behind what is queued already. */
	int64_t expected_wait_usec;
	/* Time that the caller has left. */
	int64_t patience_usec;
	/* Time that the work itself takes. */
	int64_t work_usec;
	/* A number from 0 to 1 that spreads returning callers. */
	double spread;
};

struct admit_verdict {
	enum admit_choice choice;
	/* ADMIT_REFUSE: when to come back; 0: it is no use. */
	int64_t retry_usec;
};

struct admit_verdict admit_decide(const struct admit_case *);
int64_t admit_retry_after(int64_t expected_usec, int64_t patience_usec,
    double spread);

/* What a failed attempt leads to. */
enum admit_next {
	/* Send it again, to another server or path. */
	ADMIT_AGAIN,
	/* It has not run: refuse it, the caller may try again. */
	ADMIT_NOT_RUN,
	/* It may have run: fail it. */
	ADMIT_UNKNOWN,
	/* The answer has begun and cannot be finished: break it off. */
	ADMIT_BREAK_OFF
};

struct admit_failure {
	/* It may run again: idempotent, or a stream that can be resumed. */
	bool repeatable;
	/* This attempt certainly did not run. */
	bool not_run;
	/* An earlier attempt may have run. */
	bool earlier_may_have_run;
	/* The caller has part of the answer. */
	bool answer_begun;
	/* Another server may be tried by the route's limit. */
	bool attempts_left;
	/* There is another server or path with room. */
	bool place_left;
	int64_t time_left_usec;
	int64_t work_usec;
};

enum admit_next admit_after_failure(const struct admit_failure *);

#endif
