#ifndef CH_LAYOUT_H
#define CH_LAYOUT_H

#include "fleet.h"

/*
 * Decides which layers each server is to hold. It answers two loads: the first
 * placement on empty servers, and servers that come, go or restart empty while
 * requests run. A server that holds layers keeps them unless some layer is
 * held nowhere, since a load costs seconds.
 */

/* Requests of the usual size that each copy of the model is to have memory
 * for; fewer are planned when the servers are too few for LAYOUT_COPIES. */
#define LAYOUT_REQUESTS_PER_COPY 120
#define LAYOUT_REQUESTS_PER_COPY_MIN 30
/* Copies of the model: one may lose a server while others carry its load. */
#define LAYOUT_COPIES 3

struct layout_server {
	const char *id;
	const struct fleet_kind_info *kind;
	/* What it holds or has been ordered to hold; equal when empty. */
	uint32_t layer_from;
	uint32_t layer_to;
	/* It can take an order now. */
	bool orderable;
	/* Output: it is to be ordered to hold layer_from to layer_to. */
	bool order;
};

size_t layout_plan(const struct fleet_engine *, struct layout_server *, size_t);
uint32_t layout_capacity(const struct fleet_engine *,
    const struct fleet_kind_info *, uint32_t requests);

#endif
