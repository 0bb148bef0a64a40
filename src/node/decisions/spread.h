#ifndef CH_SPREAD_H
#define CH_SPREAD_H

#include <stdint.h>

/*
 * Choices from stale information. Load: dozens of nodes send to the same
 * servers, and each knows the use by the others from reports that are up to
 * 0.2 s old, or from those of a sample of them. All minimise the same cost over
 * the same numbers, so many choose the same server until the next reports, and
 * it refuses what exceeds its memory.
 *
 * Each choice adds to each server a random part of what the other nodes are
 * expected to have started there since their reports. The noise is as large as
 * the uncertainty: there is none with one node or fresh information, and little
 * compared to the difference between a slow and a fast server. What nodes that
 * are not heard use is not attributed to the very servers that the sample uses,
 * but evenly to those of the same kind.
 */

/* Strength of the whole effect; 0: none, 1: as derived. */
#ifndef SPREAD_STRENGTH
#define SPREAD_STRENGTH 1.0
#endif
/* Limits of the addition that is drawn for a server, relative to the expected
 * one. The expected one alone leaves more than half of the swings, since all
 * nodes agree again; from 0 on, more requests run on slower servers. */
#define SPREAD_DRAW_MIN 0.5
#define SPREAD_DRAW_MAX 2.5
/* Standard deviations of the use of a group that are added to each server's
 * part of it. Counts of requests understate the deviation: one request occupies
 * several servers of a group, and a node keeps to the servers that it finds
 * idle. */
#define SPREAD_MARGIN_DEVIATIONS 8.0
/* Time constant at which what is reported of a plain service ends and is
 * replaced. Its requests take a tenth to three tenths of a second; with 200 ms
 * more than twice as many sends were refused as with 50 ms. */
#define SPREAD_PLAIN_USEC 50e3

/* Use of servers in token-layers, requests, and requests that start there. */
struct spread_use {
	double memory;
	double active;
	double first_active;
};

/* Sums over the servers of one kind that a service has in a data centre. */
struct spread_group {
	uint32_t servers;
	/* Requests of the other nodes. */
	double active;
	/* Those that are reported, times the times of their reports. */
	double reported;
	double aged;
	/* What the nodes that are not heard are expected to use, and the
	 * variance of its number of requests. */
	struct spread_use unheard;
	double variance;
	/* Duration of a request, in microseconds. */
	double hold_usec;
	/* What follows from the sums: mean time of the reports, 0: there are
	 * none; requests that the other nodes are expected to start at each
	 * server, per microsecond; each server's part of the deviation of the
	 * requests of nodes that are not heard. */
	int64_t reported_at;
	double rate;
	double deviation;
};

double spread_scale(uint32_t heard, uint32_t live);
void spread_group_clear(struct spread_group *);
void spread_group_finish(struct spread_group *, double strength);
struct spread_use spread_unheard(const struct spread_group *,
    const struct spread_use *sampled, double strength);
double spread_deviation(const struct spread_group *, double unheard);
double spread_still_running(uint32_t reported, int64_t age_usec);
double spread_draw(uint32_t *state, double expected);

#endif
