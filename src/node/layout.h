#ifndef CH_LAYOUT_H
#define CH_LAYOUT_H

#include "fleet.h"

/*
 * Decides which model layers each server is to hold. It covers the initial
 * placement on empty servers, and servers that join, leave or restart empty
 * while requests run. A server that holds layers keeps them unless some layer
 * is held nowhere, since loading layers takes seconds.
 *
 * Wherever possible, the servers of one data centre hold the whole model among
 * them: prompt processing sends megabytes from stage to stage, and the link
 * between data centres serialises these transfers.
 */

/* Number of requests of the usual size for which the servers of a group reserve
 * memory in addition to the layers. It is lowered, down to LAYOUT_REQUESTS_MIN,
 * when the group could not hold LAYOUT_COPIES otherwise. */
#define LAYOUT_REQUESTS 130
#define LAYOUT_REQUESTS_MIN 30
/* Copies of the model in one group: the part beyond the first copy is spare
 * capacity for servers that fail. */
#define LAYOUT_COPIES 1.3
/* Servers in each data centre that hold the first layers. Each generation
 * starts at one of them, which runs one pass at a time: with too few of them
 * prompts queue, with too many the batches of a pass become small. */
#define LAYOUT_FIRST_SERVERS 2

struct layout_server {
	const char *id;
	/* Data centre. */
	const char *place;
	const struct fleet_kind_info *kind;
	/* Range of layers that the server holds or has been ordered to hold,
	 * layer_to exclusive; both are equal when it is empty. */
	uint32_t layer_from;
	uint32_t layer_to;
	/* The server can accept an order now. */
	bool orderable;
	/* Output: the server is to be ordered to hold this range. */
	bool order;
};

size_t layout_plan(const struct fleet_engine *, struct layout_server *, size_t);
uint32_t layout_capacity(const struct fleet_engine *,
    const struct fleet_kind_info *, uint32_t requests);

#endif
