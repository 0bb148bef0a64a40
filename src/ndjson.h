#ifndef CH_NDJSON_H
#define CH_NDJSON_H

#include <stdbool.h>
#include <stddef.h>

#include "lstr.h"

#define NDJSON_LINE_MAX_BYTES ((size_t)64 * 1024)

enum status ndjson_append(struct lstr_buf *, struct lstr);
bool ndjson_next(const struct lstr_buf *, size_t *, struct lstr *);

#endif
