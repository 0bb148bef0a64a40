#include <glib.h>

#include "findings.h"

/*
 * Returns whether a node that last saw a server work at worked_at believes the
 * finding of a peer that the server has failed.
 */
bool
findings_believe(const struct finding *finding, int64_t worked_at, int64_t now)
{
	if (finding->definite)
		return worked_at <= finding->found_at + FINDINGS_DELAY_USEC;
	return now - worked_at > FINDINGS_OWN_USEC;
}

/*
 * Returns how long, in microseconds, a stream through a failed server may show
 * no progress before it is moved; expected_usec is the time in which its next
 * event was expected.
 */
int64_t
findings_pause_usec(int64_t expected_usec)
{
	return MAX(
	    FINDINGS_PAUSE_FACTOR * expected_usec, FINDINGS_PAUSE_MIN_USEC);
}
