#ifndef CH_NOTICE_H
#define CH_NOTICE_H

#include "pool.h"

/*
 * What backend servers state about themselves in the header of any response,
 * which their entries in the store may not show yet.
 */
void notice_apply(struct pool *, struct pool_server *,
    const struct adapter_notice *, int64_t now);

#endif
