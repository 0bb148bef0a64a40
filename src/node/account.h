#ifndef CH_ACCOUNT_H
#define CH_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Account of the memory that callers make the process hold: connections,
 * requests, bodies and responses. It counts allocated bytes, not contents.
 */
struct account {
	size_t held;
	/* Highest value of held. */
	size_t peak;
	/* Limit for connections with little memory (INTAKE_SMALL_BYTES), and
	 * the lower one for all others, so that ordinary requests are served
	 * while large ones fill their part. */
	size_t limit;
	size_t large_limit;
};

void account_init(struct account *, size_t limit);
void account_set(struct account *, size_t *share, size_t bytes);
size_t account_missing(const struct account *, size_t holding, size_t more);

#endif
