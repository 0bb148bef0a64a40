#include <math.h>

#include <glib.h>

#include "demand.h"

/*
 * Returns the class of a priority; those beyond the last one share it.
 */
static struct demand_class *
class_of(struct demand *demand, uint32_t priority)
{
	return &demand->own.classes[MIN(priority, DEMAND_CLASSES - 1u)];
}

/*
 * Lets the arrival rates decay to the present time, in microseconds.
 */
void
demand_decay(struct demand *demand, int64_t now)
{
	int64_t age = now - demand->updated_at;
	double keep;

	if (age <= 0)
		return;
	keep = exp(-(double)age / (double)DEMAND_WINDOW_USEC);
	for (size_t i = 0; i < DEMAND_CLASSES; i++)
		demand->own.classes[i].tokens_per_sec *= keep;
	demand->updated_at = now;
}

/*
 * Records the arrival of a request that needs memory for that many tokens.
 */
void
demand_add_arrival(
    struct demand *demand, uint32_t priority, int64_t tokens, int64_t now)
{
	demand_decay(demand, now);
	class_of(demand, priority)->tokens_per_sec += (double)tokens *
	    (double)G_USEC_PER_SEC / (double)DEMAND_WINDOW_USEC;
}

/*
 * Records that a request was sent to servers, or, with a negative number of
 * tokens, that it no longer is at them.
 */
void
demand_add_use(struct demand *demand, uint32_t priority, int64_t tokens)
{
	class_of(demand, priority)->tokens_in_use += (double)tokens;
}

/*
 * Records the tokens of the requests of a class that wait for room.
 */
void
demand_set_waiting(struct demand *demand, uint32_t priority, int64_t tokens)
{
	class_of(demand, priority)->tokens_waiting = (double)tokens;
}

/*
 * Records for how long a request that has ended held its memory, in
 * microseconds.
 */
void
demand_add_hold(struct demand *demand, int64_t held_usec)
{
	double held = (double)MAX(held_usec, (int64_t)0);

	demand->hold_usec = demand->hold_usec <= 0 ? held
						   : demand->hold_usec +
		DEMAND_HOLD_WEIGHT * (held - demand->hold_usec);
}

/*
 * Returns the average time for which requests hold their memory, in
 * microseconds.
 */
double
demand_hold_usec(const struct demand *demand)
{
	return demand->hold_usec > 0 ? demand->hold_usec
				     : (double)DEMAND_HOLD_DEFAULT_USEC;
}

/*
 * Adds the demand at one node, multiplied by scale, to a total.
 */
void
demand_sum(
    struct demand_total *total, const struct demand_total *node, double scale)
{
	for (size_t i = 0; i < DEMAND_CLASSES; i++) {
		total->classes[i].tokens_per_sec +=
		    node->classes[i].tokens_per_sec * scale;
		total->classes[i].tokens_in_use +=
		    node->classes[i].tokens_in_use * scale;
		total->classes[i].tokens_waiting +=
		    node->classes[i].tokens_waiting * scale;
	}
}
