#ifndef CH_STORE_POSITION_H
#define CH_STORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A position in the history of the store. The store may come back from an
 * older copy of its data; its era then rises, and it gives out the revisions
 * after the copy again. Revisions of different eras cannot be compared.
 */
struct store_position {
	/* 0: the store does not tell. */
	uint64_t era;
	uint64_t revision;
};

int store_position_compare(struct store_position, struct store_position);
bool store_position_equal(struct store_position, struct store_position);
struct store_position store_position_max(
    struct store_position, struct store_position);

#endif
