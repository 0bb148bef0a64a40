#ifndef CH_ADMIT_H
#define CH_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides what happens to a generation for which no path has room, and what
 * follows a failed attempt. It answers the load in which more arrives than
 * the engines finish. If everybody waited, everybody would be late: so a
 * request waits only as long as its first event can still meet the latency
 * objective, and the others are refused at once, with a time at which room is
 * expected, spread so that they do not return together. One that is under way
 * waits as long as its caller does.
 */

/* Left for the way to the caller and for estimates that were too short. */
#define ADMIT_MARGIN_USEC ((int64_t)60000)
/* A request whose objective cannot be met any more waits this long for room
 * that comes free; it would not be refused for a moment's shortage. */
#define ADMIT_LATE_WAIT_USEC ((int64_t)150000)
/* Callers leave a stream after a pause of this length, of so many objectives
 * or of so many declared pauses, whichever is longest. */
#define ADMIT_LEAVE_USEC ((int64_t)2000000)
#define ADMIT_LEAVE_OBJECTIVES 4
#define ADMIT_LEAVE_GAPS 8
/* Bounds of the time that a refused caller is asked to wait. */
#define ADMIT_RETRY_MIN_USEC ((int64_t)250000)
/* Under overload: about the time in which the engines finish what runs. */
#define ADMIT_RETRY_OVERLOAD_USEC ((int64_t)1500000)
/* Callers honour at most a third of the time that they have left. */
#define ADMIT_RETRY_SHARE 0.3

enum admit_choice {
	ADMIT_WAIT,
	ADMIT_REFUSE
};

struct admit_case {
	/* Expected wait behind what is queued already. */
	int64_t expected_wait_usec;
	/* Expected time from the start to the first event. */
	int64_t work_usec;
	/* Time left until the first event is late, and until the caller leaves.
	 */
	int64_t objective_usec;
	int64_t leave_usec;
	/* Time that the caller has left in all. */
	int64_t patience_usec;
	/* The answer has begun, or may have. */
	bool under_way;
	/* A number from 0 to 1 that spreads returning callers. */
	double spread;
};

struct admit_verdict {
	enum admit_choice choice;
	/* ADMIT_WAIT: the longest wait. */
	int64_t wait_usec;
	/* ADMIT_REFUSE: when to come back; 0: it is no use. */
	int64_t retry_usec;
};

struct admit_verdict admit_decide(const struct admit_case *);
int64_t admit_leave_after(int64_t objective_usec, int64_t gap_usec);
int64_t admit_retry_after(
    int64_t expected_usec, int64_t patience_usec, double spread);

/* Time after the order to stop in which every request is still taken: callers
 * learn only by and by that the node stops. */
#define ADMIT_STOPPING_USEC ((int64_t)2500000)
/* Afterwards a request is taken if it ends in time even when it takes this
 * many times as long as expected. */
#define ADMIT_STOPPING_FACTOR 1.6

bool admit_while_stopping(
    int64_t since_usec, int64_t left_usec, int64_t work_usec);

/* Whether work outlasts a server that is leaving: it moves only if the expected
 * rest, with the same allowance as above, does not end in time. */
bool admit_outlasts(int64_t work_usec, int64_t server_left_usec);

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
