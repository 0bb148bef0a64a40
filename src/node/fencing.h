#ifndef CH_FENCING_H
#define CH_FENCING_H

#include "store_position.h"

/*
 * Fencing tokens of the planner. Servers refuse orders with a lower token than
 * one that they have seen. Tokens rise with the position at which the planner
 * key was written, also after a restore of the store, which gives out revisions
 * again; older programs use the revision alone.
 */

/* Tokens are JSON integers, which are exact below 2^53. */
#define FENCING_TOKEN_BITS 53
/* Bits of a token for the revision; the others hold the era. */
#define FENCING_REVISION_BITS 40

struct fencing {
	/* Highest token that this node has used or seen. */
	uint64_t highest;
	/* Token and position of the last write of the key by this node. */
	uint64_t token;
	struct store_position position;
	/* Position of the last key of another node. */
	struct store_position seen;
};

uint64_t fencing_take(struct fencing *, struct store_position);
void fencing_note(struct fencing *, struct store_position);

#endif
