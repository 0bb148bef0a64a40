#include "stall.h"

/*
 * Returns the index of the only server of a path that no stream has progressed
 * through since the given time, or STALL_UNKNOWN. progressed_at holds the time
 * of the last progress through each server.
 */
uint32_t
stall_find_culprit(const int64_t *progressed_at, uint32_t count, int64_t since)
{
	uint32_t culprit = STALL_UNKNOWN;

	for (uint32_t i = 0; i < count; i++) {
		if (progressed_at[i] >= since)
			continue;
		if (culprit != STALL_UNKNOWN)
			return STALL_UNKNOWN;
		culprit = i;
	}
	return culprit;
}
