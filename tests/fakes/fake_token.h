#ifndef CH_FAKE_TOKEN_H
#define CH_FAKE_TOKEN_H

#include <stdint.h>
#include <stdio.h>

#include <xxhash.h>

#include "lstr.h"

#define FAKE_TOKEN_MAX 32

/*
 * Writes the text of the token at a position of the response to a prompt:
 * "t<position>-<8 hexadecimal digits>". Tests use it to verify responses.
 */
static inline void
fake_token_text(char out[FAKE_TOKEN_MAX], struct lstr prompt, uint32_t position)
{
	uint64_t hash = XXH3_64bits_withSeed(prompt.data, prompt.len, position);

	snprintf(out, FAKE_TOKEN_MAX, "t%u-%08x", position, (uint32_t)hash);
}

#endif
