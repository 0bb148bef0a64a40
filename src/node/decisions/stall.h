#ifndef CH_STALL_H
#define CH_STALL_H

#include <stdint.h>

/*
 * Which server of a path stalls it. Load: a stream shows no progress, and the
 * report of its first server names no other one. The stream alone cannot tell
 * the servers of its path apart, but other streams through them can: a server
 * that they progress through does not stall this one. A server that is avoided
 * without being at fault is missing from the paths around the faulty one.
 */

/* No server, or more than one, may be at fault. */
#define STALL_UNKNOWN UINT32_MAX

uint32_t stall_find_culprit(
    const int64_t *progressed_at, uint32_t count, int64_t since);

#endif
