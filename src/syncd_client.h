#ifndef CH_SYNCD_CLIENT_H
#define CH_SYNCD_CLIENT_H

#include "inventory.h"
#include "peer.h"
#include "view.h"

/*
 * The connection of an entry or a router to the syncd of its node. It holds the
 * current configuration, the membership view and the states of the instances.
 * While the syncd is unreachable, the last known state remains in use.
 */
struct syncd_client;

/*
 * config: a configuration with a higher revision is active; the previous one
 * is freed after the callback. view: the membership view changed. instances:
 * the set of leaving instances changed. frame: any other message was received.
 * up: the link was established or re-established; pending requests must be sent
 * again. down: the link was lost.
 */
struct syncd_client_ops {
	void (*config)(const struct inv *, void *);
	void (*view)(const struct view *, void *);
	void (*instances)(void *);
	void (*frame)(const Ch__Frame *, void *);
	void (*up)(void *);
	void (*down)(void *);
};

enum status syncd_client_create(const struct link_context *, const char *,
    const struct syncd_client_ops *, void *, struct syncd_client **);
void syncd_client_destroy(struct syncd_client *);
bool syncd_client_is_up(const struct syncd_client *);
enum status syncd_client_send(struct syncd_client *, const Ch__Frame *);
const struct inv *syncd_client_inventory(const struct syncd_client *);
const struct view *syncd_client_view(const struct syncd_client *);
bool syncd_client_instance_leaving(const struct syncd_client *, struct lstr);
json_t *syncd_client_dump(const struct syncd_client *);

#endif
