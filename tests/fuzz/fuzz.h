#ifndef CH_FUZZ_H
#define CH_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* Entry point that libFuzzer calls for each input. Returns 0. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
