#ifndef CH_RENDEZVOUS_H
#define CH_RENDEZVOUS_H

#include "view.h"

#define RENDEZVOUS_WATCHERS_PER_PLACE 2
#define RENDEZVOUS_HEARTBEAT_PEERS 3

/*
 * Assigns work to members by rendezvous hashing over the membership view. The
 * returned members belong to the view; NULL means that no member is eligible.
 */
uint64_t rendezvous_score(struct lstr, struct lstr);
const struct view_member *rendezvous_replica_owner(
    const struct view *, struct lstr region, struct lstr replica);
const struct view_member *rendezvous_bucket_owner(
    const struct view *, uint32_t);
bool rendezvous_is_watcher(const struct view *, struct lstr);
size_t rendezvous_heartbeat_peers(const struct view *, struct lstr,
    const struct view_member *[RENDEZVOUS_HEARTBEAT_PEERS]);
const struct view_member *rendezvous_record_peer(
    const struct view *, struct lstr node, struct lstr place);

#endif
