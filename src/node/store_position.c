#include "store_position.h"

/*
 * Compares two positions: first by era, then by revision. Returns a negative
 * number, 0 or a positive number if the first one is before, the same as or
 * after the second one.
 */
int
store_position_compare(struct store_position a, struct store_position b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return a.revision < b.revision ? -1 : a.revision > b.revision;
}

/*
 * Returns true if two positions are the same.
 */
bool
store_position_equal(struct store_position a, struct store_position b)
{
	return store_position_compare(a, b) == 0;
}

/*
 * Returns the later one of two positions.
 */
struct store_position
store_position_max(struct store_position a, struct store_position b)
{
	return store_position_compare(a, b) >= 0 ? a : b;
}
