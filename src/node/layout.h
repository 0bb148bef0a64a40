#ifndef CH_LAYOUT_H
#define CH_LAYOUT_H

#include "fleet.h"

/*
 * Decides which layers each server is to hold. It answers two loads: the first
 * placement on empty servers, and servers that come, go or restart empty while
 * requests run. A server that holds layers keeps them unless some layer is
 * held nowhere, since a load costs seconds.
 *
 * Servers of one data centre hold the whole model among them wherever they
 * can: reading a prompt sends megabytes from stage to stage, and the link
 * between data centres carries them one after another.
 */

/* Requests of the usual size that the servers of a group are to have memory
 * for beside the layers; fewer when they cannot hold LAYOUT_COPIES. */
#define LAYOUT_REQUESTS 130
#define LAYOUT_REQUESTS_MIN 30
/* Copies of the model in one group: the part beyond the first one takes over
 * for a server that fails. */
#define LAYOUT_COPIES 1.3
/* Servers in each data centre that hold the first layers. A generation enters
 * at one of them, which runs one pass at a time: too few make prompts queue,
 * too many make passes small. */
#define LAYOUT_HEADS 2

struct layout_server {
	const char *id;
	const char *place;
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
