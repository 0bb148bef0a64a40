#ifndef CH_URGENCY_H
#define CH_URGENCY_H

#include <stdint.h>

/*
 * Priority class of a request from the priority of its organisation and that of
 * its route. Load: a shortage in which most organisations have the same
 * priority, so that it alone says nothing about which requests are urgent. The
 * priority of the organisation comes first; among requests of equal
 * organisations, that of the route decides. Without priorities of organisations
 * the class is the priority of the route.
 */

/* Number of classes; class 0 is the most urgent. */
#define URGENCY_CLASSES 8
/* Priorities above this one count as this one. */
#define URGENCY_PRIORITY_MAX 9
/* The organisation has no priority of its own. */
#define URGENCY_NONE (-1)

struct urgency {
	/* Class by priority of the organisation, the last row for those without
	 * one, and by priority of the route. */
	uint8_t classes[URGENCY_PRIORITY_MAX + 2][URGENCY_PRIORITY_MAX + 1];
};

/* The priorities that occur in a configuration, as bit masks. */
struct urgency_priorities {
	uint32_t organisations;
	uint32_t routes;
};

void urgency_add(uint32_t *mask, uint32_t priority);
void urgency_init(struct urgency *, const struct urgency_priorities *);
uint32_t urgency_class(
    const struct urgency *, int organisation, uint32_t route);

#endif
