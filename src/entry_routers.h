#ifndef CH_ENTRY_ROUTERS_H
#define CH_ENTRY_ROUTERS_H

#include <stdbool.h>

#include <jansson.h>

#include "peer.h"

/* The connections of an entry to routers, one per router address. */
struct entry_routers;
struct entry_router;

/*
 * up: a link is established. frame: a message has arrived. lost: the link was
 * closed or could not be established; messages sent on it may have arrived.
 */
struct entry_routers_ops {
	void (*up)(struct entry_router *, void *);
	void (*frame)(struct entry_router *, const Ch__Frame *, void *);
	void (*lost)(struct entry_router *, void *);
};

enum status entry_routers_create(const struct link_context *,
    const struct entry_routers_ops *, void *, struct entry_routers **);
void entry_routers_destroy(struct entry_routers *);
enum status entry_routers_acquire(
    struct entry_routers *, const char *, struct entry_router **);
void entry_routers_release(struct entry_router *);
bool entry_router_is_up(const struct entry_router *);
enum status entry_router_send(struct entry_router *, const Ch__Frame *);
bool entry_routers_is_avoided(
    const struct entry_routers *, const char *, int64_t now);
bool entry_routers_expire(struct entry_routers *, int64_t now);
json_t *entry_routers_dump(const struct entry_routers *);

#endif
