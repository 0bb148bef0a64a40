#ifndef CH_LOCAL_H
#define CH_LOCAL_H

#include "inventory.h"
#include "peer.h"
#include "view.h"

/*
 * The connection of an entry or a router to the syncd of its node. It holds the
 * current configuration, the membership view and the states of the instances.
 * While the syncd is unreachable, the last known state remains in force.
 */
struct local;

/*
 * config: a configuration with a higher revision is in force; the previous one
 * is freed after the callback. view: the membership view changed. instances:
 * the set of leaving instances changed. frame: any other message was received.
 * up: the link was established or re-established; pending requests must be sent
 * again. down: the link was lost.
 */
struct local_ops {
	void (*config)(const struct inv *, void *);
	void (*view)(const struct view *, void *);
	void (*instances)(void *);
	void (*frame)(const Ch__Frame *, void *);
	void (*up)(void *);
	void (*down)(void *);
};

enum status local_create(const struct link_context *, const char *,
    const struct local_ops *, void *, struct local **);
void local_destroy(struct local *);
bool local_is_up(const struct local *);
enum status local_send(struct local *, const Ch__Frame *);
const struct inv *local_inventory(const struct local *);
const struct view *local_view(const struct local *);
bool local_instance_leaving(const struct local *, struct lstr);
json_t *local_dump(const struct local *);

#endif
