#ifndef CH_BACKEND_CALL_H
#define CH_BACKEND_CALL_H

#include "adapter.h"

/* HTTP requests that the node itself sends to backend servers, such as
 * orders and report queries. Each uses a connection of its own. */

struct backend_call_result {
	/* STATUS_OK if a complete response was received, STATUS_FULL if it was
	 * too large. */
	enum status status;
	unsigned int http_status;
	struct lstr body;
	/* What the server states about itself; nothing if it did not respond.
	 */
	struct adapter_notice notice;
};

typedef void (*backend_call_fn)(const struct backend_call_result *, void *arg);

/*
 * Sends a serialized request to a server. Calls fn exactly once, after this
 * function has returned. Returns false, without calling fn, if nothing was
 * sent.
 */
bool backend_call_start(struct h1 *, struct loop *, const struct adapter *,
    const struct sockaddr_in *, struct lstr request, int64_t deadline,
    backend_call_fn, void *arg);

#endif
