#include <math.h>

#include <glib.h>

#include "spread.h"

/* Number of values of the random numbers. */
#define DRAW_VALUES 4294967296.0

/*
 * Returns for how many nodes of a data centre the report of one stands, if some
 * of the live ones are heard.
 */
double
spread_scale(uint32_t heard, uint32_t live)
{
	return MAX((double)live / heard, 1);
}

/*
 * Clears the sums of a group.
 */
void
spread_group_clear(struct spread_group *group)
{
	*group = (struct spread_group){.hold_usec = group->hold_usec};
}

/*
 * Computes what follows from the sums of a group. By Little's law the other
 * nodes start as many requests as they run, divided by the time for which one
 * runs. A server with little use gets no fewer than the others.
 */
void
spread_group_finish(struct spread_group *group, double strength)
{
	group->reported_at =
	    group->reported > 0 ? (int64_t)(group->aged / group->reported) : 0;
	group->rate =
	    strength * group->active / group->servers / group->hold_usec;
	group->deviation = strength * SPREAD_MARGIN_DEVIATIONS *
	    sqrt(group->variance) / group->servers;
}

/*
 * Returns the use of a server by nodes that are not heard: an even part of
 * that of its group. sampled is what the reports of the others would make of
 * it; the strength is the weight of the even part.
 */
struct spread_use
spread_unheard(const struct spread_group *group,
    const struct spread_use *sampled, double strength)
{
	double weight = MIN(strength, 1);
	double even = weight / group->servers;
	double rest = 1 - weight;

	return (struct spread_use){
	    even * group->unheard.memory + rest * sampled->memory,
	    even * group->unheard.active + rest * sampled->active,
	    even * group->unheard.first_active + rest * sampled->first_active};
}

/*
 * Returns the standard deviation of the number of requests of nodes that are
 * not heard at a server: that of their distribution within the group, and the
 * server's part of that of their sum.
 */
double
spread_deviation(const struct spread_group *group, double unheard)
{
	return sqrt(MAX(unheard, 0)) + group->deviation;
}

/*
 * Returns how many of the reported requests of a plain service still run.
 */
double
spread_still_running(uint32_t reported, int64_t age_usec)
{
	return reported * exp(-(double)age_usec / SPREAD_PLAIN_USEC);
}

/*
 * Returns a random number of requests around the expected one. state is any
 * number but 0 and is advanced (xorshift).
 */
double
spread_draw(uint32_t *state, double expected)
{
	*state ^= *state << 13;
	*state ^= *state >> 17;
	*state ^= *state << 5;
	return expected *
	    (SPREAD_DRAW_MIN +
		(SPREAD_DRAW_MAX - SPREAD_DRAW_MIN) * *state / DRAW_VALUES);
}
