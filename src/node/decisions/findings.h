#ifndef CH_FINDINGS_H
#define CH_FINDINGS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a node believes another one that a server has failed. Load: some
 * servers end at once in a fleet of dozens of nodes. If each node finds out for
 * itself, each loses a request for each server, the repeats use up the common
 * retry budget, and streams wait for their own time limit.
 *
 * A finding is definite if the server's process refused a connection or another
 * server named it as the cause of a refusal. A node believes a definite finding
 * unless it has seen the server work since. A node that is cut off finds only
 * silence, which is believed by nodes without recent evidence of their own.
 */

/* An answer may be under way for this long when its server ends. */
#define FINDINGS_DELAY_USEC ((int64_t)100000)
/* Own evidence of this age refutes a finding that is not definite. */
#define FINDINGS_OWN_USEC ((int64_t)500000)
/* A stream through a failed server is moved after this many expected intervals
 * without progress, and not before a minimum time: other prompts delay events
 * too. */
#define FINDINGS_PAUSE_FACTOR 2
#define FINDINGS_PAUSE_MIN_USEC ((int64_t)120000)

struct finding {
	bool definite;
	/* When the peer found it, on this node's clock. */
	int64_t found_at;
};

bool findings_believe(const struct finding *, int64_t worked_at, int64_t now);
int64_t findings_pause_usec(int64_t expected_usec);

#endif
