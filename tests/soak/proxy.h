#ifndef CH_SOAK_PROXY_H
#define CH_SOAK_PROXY_H

#include <netinet/in.h>

#include "loop.h"

/* Treatment of the bytes of all connections through a proxy. */
enum proxy_mode {
	PROXY_PASS,
	/* Bytes are forwarded with a delay of PROXY_DELAY_USEC. */
	PROXY_DELAY,
	/* Nothing is forwarded; connections stay open. */
	PROXY_SILENT,
	/* Bytes are forwarded to the target, but not back. */
	PROXY_ONE_WAY
};

#define PROXY_DELAY_USEC (150 * LOOP_USEC_PER_MSEC)

/* Forwards TCP connections to a loopback address and injects faults. */
struct proxy;

struct proxy *proxy_new(struct loop *, const struct sockaddr_in *target);
void proxy_free(struct proxy *);
uint16_t proxy_port(const struct proxy *);
void proxy_set_mode(struct proxy *, enum proxy_mode);
/* Closes all open connections with a TCP reset. */
void proxy_reset(struct proxy *);

#endif
