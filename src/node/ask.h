#ifndef CH_ASK_H
#define CH_ASK_H

#include "adapter.h"

/* Short calls of the node itself to backend servers, one connection each. */

struct ask_result {
	/* STATUS_OK when a whole answer arrived. */
	enum status status;
	unsigned int http_status;
	struct lstr body;
};

typedef void (*ask_fn)(const struct ask_result *, void *arg);

/*
 * Sends the bytes of a request to a server and calls fn once, never before
 * this returns. Returns false when nothing was sent.
 */
bool ask_start(struct h1 *, struct loop *, const struct sockaddr_in *,
    struct lstr request, int64_t deadline, ask_fn, void *arg);

#endif
