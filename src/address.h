#ifndef CH_ADDRESS_H
#define CH_ADDRESS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "lstr.h"
#include "view.h"

/* Maximum number of entry addresses in one response. */
#define ADDR_MAX 4

size_t addr_choose(const struct view_member *const *, size_t, struct lstr place,
    struct lstr region, GRand *, const struct view_member *[ADDR_MAX]);

#endif
