#include <glib.h>

#include "returns.h"

/*
 * Returns the time in microseconds after which a caller is to return whose
 * class is overloaded; 0: the class is not. load is the expected use of the
 * class and the more urgent ones as a multiple of the memory; latest_usec is
 * the longest time that the caller honours; jitter is a random number from 0
 * to 1.
 */
int64_t
returns_after_overload(double load, int64_t latest_usec, double jitter)
{
	double excess = load - RETURNS_OVERLOAD;
	double share;

	if (excess <= 0)
		return 0;
	share = RETURNS_FIRST_SHARE + RETURNS_LATER_SHARE * MIN(excess, 1) +
	    RETURNS_SPREAD_SHARE * jitter;
	return (int64_t)((double)latest_usec * share);
}
