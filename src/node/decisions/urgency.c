#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "urgency.h"

#define PRIORITIES (URGENCY_PRIORITY_MAX + 1)

/*
 * Adds a priority to a mask.
 */
void
urgency_add(uint32_t *mask, uint32_t priority)
{
	*mask |= 1u << MIN(priority, (uint32_t)URGENCY_PRIORITY_MAX);
}

/*
 * Returns whether a request with these priorities may occur. primary is the
 * priority that comes first: that of the organisation, or of the route if there
 * is none.
 */
static bool
occurs(const struct urgency_priorities *priorities, uint32_t primary,
    uint32_t route)
{
	return (priorities->routes >> route & 1) != 0 &&
	    ((priorities->organisations >> primary & 1) != 0 ||
		primary == route);
}

/*
 * Computes the classes for the priorities of a configuration. If there are more
 * combinations than classes, neighbouring ones share a class.
 */
void
urgency_init(
    struct urgency *urgency, const struct urgency_priorities *priorities)
{
	uint8_t ranks[PRIORITIES][PRIORITIES] = {{0}};
	uint32_t count = 0;

	memset(urgency, 0, sizeof(*urgency));
	for (uint32_t primary = 0; primary < PRIORITIES; primary++) {
		for (uint32_t route = 0; route < PRIORITIES; route++) {
			ranks[primary][route] = (uint8_t)count;
			count += occurs(priorities, primary, route);
		}
	}
	for (uint32_t primary = 0; primary < PRIORITIES; primary++) {
		for (uint32_t route = 0; route < PRIORITIES; route++) {
			uint32_t rank = ranks[primary][route];

			if (priorities->organisations == 0)
				rank = route;
			else if (count > URGENCY_CLASSES)
				rank = rank * URGENCY_CLASSES / count;
			rank = MIN(rank, URGENCY_CLASSES - 1u);
			urgency->classes[primary][route] = (uint8_t)rank;
			if (primary == route)
				urgency->classes[PRIORITIES][route] =
				    (uint8_t)rank;
		}
	}
}

/*
 * Returns the class of a request. organisation is the priority of its
 * organisation or URGENCY_NONE.
 */
uint32_t
urgency_class(const struct urgency *urgency, int organisation, uint32_t route)
{
	uint32_t row = organisation < 0
	    ? PRIORITIES
	    : MIN((uint32_t)organisation, (uint32_t)URGENCY_PRIORITY_MAX);

	return urgency
	    ->classes[row][MIN(route, (uint32_t)URGENCY_PRIORITY_MAX)];
}
