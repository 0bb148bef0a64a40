#ifndef CH_OWNER_H
#define CH_OWNER_H

#include "view.h"

#define OWNER_WATCHERS_PER_PLACE 2
#define OWNER_HEARTBEAT_PEERS 3

/*
 * Assigns work to members by rendezvous hashing over the membership view. The
 * returned members belong to the view; NULL means that no member is eligible.
 */
uint64_t owner_score(struct lstr, struct lstr);
const struct view_member *owner_of_replica(
    const struct view *, struct lstr region, struct lstr replica);
const struct view_member *owner_of_bucket(const struct view *, uint32_t);
bool owner_is_watcher(const struct view *, struct lstr);
size_t owner_heartbeat_peers(const struct view *, struct lstr,
    const struct view_member *[OWNER_HEARTBEAT_PEERS]);
const struct view_member *owner_record_peer(
    const struct view *, struct lstr node, struct lstr place);

#endif
