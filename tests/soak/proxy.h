#ifndef CH_SOAK_PROXY_H
#define CH_SOAK_PROXY_H

#include "loop.h"

/* What happens to the bytes of all connections through a proxy. */
enum proxy_mode {
	PROXY_PASS,
	/* Each piece is passed on PROXY_DELAY_USEC later. */
	PROXY_DELAY,
	/* Nothing is passed on; connections stay open. */
	PROXY_SILENT,
	/* Nothing is passed back. */
	PROXY_ONE_WAY
};

#define PROXY_DELAY_USEC (150 * LOOP_USEC_PER_MSEC)

/* Relays connections on loopback to a port, with faults. */
struct proxy;

struct proxy *proxy_new(struct loop *, uint16_t target);
void proxy_free(struct proxy *);
uint16_t proxy_port(const struct proxy *);
void proxy_set_mode(struct proxy *, enum proxy_mode);
/* Resets all connections that are open. */
void proxy_reset(struct proxy *);

#endif
