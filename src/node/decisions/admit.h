#ifndef CH_ADMIT_H
#define CH_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Admission control: decides whether a generation for which no path has
 * capacity is queued or refused, and what follows a failed attempt. Under
 * overload, queueing every request would make all of them late. A request is
 * therefore queued only while its first event can still meet the latency
 * objective; all others are refused at once with a retry time at which capacity
 * is expected, jittered so that callers do not return together. A request that
 * was already sent to a server is queued for as long as its caller waits.
 *
 * A caller returns once. In a burst, room returns as running requests end; when
 * servers have crashed, it returns only when their layers are held again, and a
 * caller that comes back before that is refused for good.
 */

/* Allowance for delivery to the caller and for estimates that are too low. */
#define ADMIT_MARGIN_USEC ((int64_t)60000)
/* A request that can no longer meet its objective still waits this long for
 * capacity, so that a momentary shortage does not cause a refusal. */
#define ADMIT_LATE_WAIT_USEC ((int64_t)150000)
/* Callers abandon a stream after a pause of this length, of this many latency
 * objectives, or of this many declared maximum gaps, whichever is longest. */
#define ADMIT_ABANDON_USEC ((int64_t)2000000)
#define ADMIT_ABANDON_OBJECTIVES 4
#define ADMIT_ABANDON_GAPS 8
/* Shortest time after which a refused caller is asked to retry. */
#define ADMIT_RETRY_MIN_USEC ((int64_t)250000)
/* Shortest retry time under overload: about the time in which the engines
 * finish the running requests. */
#define ADMIT_RETRY_OVERLOAD_USEC ((int64_t)1500000)
/* Servers that fail together are missing for about this long: their entries
 * lapse, their layers are ordered elsewhere or they start again empty, and the
 * layers are loaded. */
#define ADMIT_RECOVERY_USEC ((int64_t)4500000)
/* Callers return within this time after the expected recovery, so that those
 * refused together do not come back together. */
#define ADMIT_RECOVERY_SPREAD_USEC ((int64_t)1500000)
/* Callers honour a retry time of at most a third of their remaining time. */
#define ADMIT_RETRY_SHARE 0.3

/* When the last byte of a request arrived, when its caller stops waiting, and
 * the time limit of its route; 0: none. */
struct admit_times {
	int64_t completed_at;
	int64_t deadline;
	int64_t route_timeout_usec;
};

enum admit_choice {
	ADMIT_WAIT,
	ADMIT_REFUSE
};

/* How long ago, in microseconds, a configuration was confirmed to be current,
 * and the largest age at which it decides; 0: no limit. */
struct admit_proof {
	int64_t age_usec;
	int64_t age_max_usec;
};

struct admit_request {
	/* Expected wait for the requests that are already queued. */
	int64_t expected_wait_usec;
	/* Expected time from the start of the request to its first event. */
	int64_t work_usec;
	/* Time left until the first event misses the latency objective, and
	 * until the caller abandons the request. */
	int64_t objective_usec;
	int64_t abandon_usec;
	/* Time left until the caller's deadline. */
	int64_t caller_timeout_usec;
	/* Time until the servers without which there is no path want requests
	 * again; 0: no path is missing for this reason. */
	int64_t wanted_usec;
	/* A server may have run the request, so it cannot be refused. */
	bool may_have_run;
	/* The request was sent to a server before, so its response may have
	 * started. */
	bool already_started;
	/* The caller was refused before and has waited: its objective has
	 * passed, and another refusal is final. */
	bool has_returned;
	/* Expected use of the engines by its class and the more urgent ones as
	 * a multiple of their memory; 0: not known. */
	double load;
	/* Time since servers of this data centre failed; negative: none failed
	 * lately. */
	int64_t failed_since_usec;
	/* Random number from 0 to 1 that jitters the retry time. */
	double jitter;
};

struct admit_decision {
	enum admit_choice choice;
	/* For ADMIT_WAIT: the longest time to wait. */
	int64_t wait_usec;
	/* For ADMIT_REFUSE: time after which to retry; 0: do not retry. */
	int64_t retry_usec;
};

struct admit_decision admit_decide(const struct admit_request *);
int64_t admit_abandon_after(int64_t objective_usec, int64_t gap_usec);
int64_t admit_retry_after(
    int64_t expected_usec, int64_t caller_timeout_usec, double jitter);
int64_t admit_retry_when_wanted(int64_t wanted_usec, double jitter);
int64_t admit_retry_without_capacity(const struct admit_request *);

/* Longest time for which a node that has just started holds a request until it
 * has read the store; after all nodes were killed, this takes a second. */
#define ADMIT_START_HOLD_USEC ((int64_t)2000000)

/*
 * Load: all nodes were killed, their streams were cut, and the callers come
 * back at once, with their only retry, while the nodes read the store. A
 * refusal would be final for most of them.
 */
bool admit_proof_decides(const struct admit_proof *);
int64_t admit_timeout_at(const struct admit_times *);
int64_t admit_hold_until(
    int64_t arrived_at, int64_t started_at, int64_t caller_timeout_usec);

/* Allowance for expected times that are too short. */
#define ADMIT_RUNTIME_FACTOR 1.6

/* Whether work may outlast a draining server. A request is moved
 * only if its expected remaining time, multiplied by ADMIT_RUNTIME_FACTOR,
 * does not end before the server does. */
bool admit_outlasts(int64_t work_usec, int64_t server_left_usec);

/* What to do after a failed attempt. */
enum admit_failure_action {
	/* Send the request again, to another server or path. */
	ADMIT_RETRY,
	/* It did not run: refuse it; the caller may retry. */
	ADMIT_NOT_RUN,
	/* It may have run: report a failure with unknown outcome. */
	ADMIT_UNKNOWN,
	/* The response has started and cannot be completed: abort it. */
	ADMIT_ABORT
};

struct admit_failure {
	/* The request may run again: it is idempotent or a resumable stream. */
	bool repeatable;
	/* This attempt certainly did not run. */
	bool not_run;
	/* An earlier attempt may have run. */
	bool earlier_may_have_run;
	/* The caller has received part of the response. */
	bool response_begun;
	/* The route's limit allows another attempt. */
	bool attempts_left;
	/* Another server or path has capacity. */
	bool another_server_available;
	int64_t time_left_usec;
	int64_t work_usec;
};

enum admit_failure_action admit_after_failure(const struct admit_failure *);

#endif
