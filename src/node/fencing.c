#include <glib.h>

#include "fencing.h"

/*
 * Returns whether a position can be expressed as a token. Otherwise, also if
 * the store states no era, tokens follow the revision and those seen.
 */
static bool
is_expressible(struct store_position position)
{
	const int era_bits = FENCING_TOKEN_BITS - FENCING_REVISION_BITS;

	return position.era != 0 && position.era >> era_bits == 0 &&
	    position.revision >> FENCING_REVISION_BITS == 0;
}

/*
 * Returns the token for a position; 0 if it does not fit.
 */
static uint64_t
position_token(struct store_position position)
{
	if (!is_expressible(position))
		return position.revision >> FENCING_TOKEN_BITS == 0
		    ? position.revision
		    : 0;
	return position.era << FENCING_REVISION_BITS | position.revision;
}

/*
 * Returns the token for a planner key that this node has written at a position:
 * the same one as before if the key is the same, otherwise one above all that
 * this node has used or seen.
 */
uint64_t
fencing_take(struct fencing *fencing, struct store_position position)
{
	if (fencing->token != 0 &&
	    store_position_compare(position, fencing->position) == 0)
		return fencing->token;
	fencing->highest = MAX(position_token(position), fencing->highest + 1);
	fencing->token = fencing->highest;
	fencing->position = position;
	return fencing->token;
}

/*
 * Notes a planner key of another node. If the era is not part of the token, a
 * revision that is not
 * above the highest token may have been given out again by a restored store;
 * its holder then uses at least the next token.
 */
void
fencing_note(struct fencing *fencing, struct store_position position)
{
	uint64_t token = position_token(position);

	if (store_position_compare(position, fencing->seen) == 0)
		return;
	fencing->seen = position;
	if (token > fencing->highest)
		fencing->highest = token;
	else if (!is_expressible(position))
		fencing->highest++;
}
