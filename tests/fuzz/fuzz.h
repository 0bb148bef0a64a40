#ifndef CH_FUZZ_H
#define CH_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* libFuzzer calls it by this name, for each input; it returns 0. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
