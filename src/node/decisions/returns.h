#ifndef CH_RETURNS_H
#define CH_RETURNS_H

#include <stdint.h>

/*
 * Times at which refused callers return. Load: for seconds, more work arrives
 * than the servers have memory for; callers that are refused return once, and
 * whoever returns within the same burst is refused for good, or takes the place
 * of a caller that could still be answered in time.
 *
 * While the expected use of a class and the more urgent ones exceeds the
 * memory, no room is left over for callers of that class, so they return as
 * late as they are willing to, spread over the rest of that time. The load of
 * the more urgent classes is smaller, so they return first.
 */

/* Load from which a class finds no room until its demand falls. */
#define RETURNS_OVERLOAD 1.0
/* Callers of the least overloaded class return from this part of the longest
 * time on, and those of heavily overloaded ones from that much later. */
#define RETURNS_FIRST_SHARE 0.5
#define RETURNS_LATER_SHARE 0.25
/* Part of the longest time over which callers that are refused together are
 * spread. */
#define RETURNS_SPREAD_SHARE 0.25

int64_t returns_after_overload(double load, int64_t latest_usec, double jitter);

#endif
