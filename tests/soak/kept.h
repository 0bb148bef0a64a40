#ifndef CH_SOAK_KEPT_H
#define CH_SOAK_KEPT_H

#include "../node_fixture.h"

/* Connections to one node that callers use again and again, until the node
 * closes them or its process is gone. */
struct kept_pool;

/* What is known of the connection of a call when the call was sent. */
struct kept_use {
	/* It had carried a response before. */
	bool reused;
	/* The time that the node had stated for it had not passed. */
	bool within_stated;
	int64_t idle_usec;
};

struct kept_pool *kept_pool_new(struct loop *, struct h1 *, GRand *);
void kept_pool_free(struct kept_pool *);
/* Returns false if all connections of the pool are in use. */
bool kept_pool_send(struct kept_pool *, struct node_call *,
    const struct sockaddr_in *, const char *text, struct kept_use *);
/* Closes the connection of a call that has not ended. */
void kept_pool_cancel(struct kept_pool *, struct node_call *);
unsigned int kept_pool_take_closed_early(struct kept_pool *);

#endif
