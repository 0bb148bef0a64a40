#ifndef CH_MEMBERSHIP_H
#define CH_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "view.h"

#define MEMBERSHIP_LEASE_MAX_BYTES 128
/* A suspicion expires unless it is renewed within this time. */
#define MEMBERSHIP_SUSPICION_USEC ((int64_t)10 * 1000000)
/*
 * Grace period after an outage of the key-value service, during which an
 * expired lease does not remove a member unless it is suspected.
 */
#define MEMBERSHIP_GRACE_USEC ((int64_t)30 * 1000000)
/* Delay before retrying a failed call to the key-value service. */
#define MEMBERSHIP_RETRY_USEC ((int64_t)1000000)

/*
 * The next key-value call for this node's membership entry; see
 * membership_next_call().
 */
enum membership_call {
	MEMBERSHIP_NONE,
	MEMBERSHIP_GRANT,
	MEMBERSHIP_RENEW,
	MEMBERSHIP_PUT
};

/*
 * Cluster membership as seen by one syncd. The module performs no I/O: the
 * caller passes in events and the current time, and asks it which calls and
 * messages are due. It combines the entries of the key-value service, read
 * directly or received from a watcher of the same data centre, with suspicions,
 * which any syncd may raise and which expire on their own.
 */
struct membership;

struct membership *membership_create(const struct view_member *, int64_t);
void membership_destroy(struct membership *);

/* This node's membership entry. */
void membership_set_self(
    struct membership *, const struct view_member *, int64_t);
const struct view_member *membership_self(const struct membership *);
enum membership_call membership_next_call(struct membership *, int64_t);
const char *membership_lease(const struct membership *);
uint64_t membership_entry_version(const struct membership *);
void membership_grant_done(
    struct membership *, enum status, struct lstr, int64_t);
void membership_renew_done(struct membership *, enum status, int64_t);
void membership_put_done(struct membership *, enum status, uint64_t, int64_t);

/* Events from the key-value service. */
void membership_list_begin(struct membership *);
void membership_entry_read(
    struct membership *, const struct view_member *, int64_t);
void membership_entry_deleted(struct membership *, struct lstr, int64_t);
void membership_list_end(struct membership *, int64_t);
void membership_service_down(struct membership *);
void membership_service_up(struct membership *, int64_t);

/* Events from other syncds. */
void membership_node_alive(struct membership *, struct lstr, int64_t);
void membership_probe_failed(struct membership *, struct lstr, int64_t);
void membership_apply_message(struct membership *, const Ch__View *, int64_t);
void membership_tick(struct membership *, int64_t);

/* The resulting view and the pending messages. */
const struct view *membership_view(const struct membership *);
uint64_t membership_view_version(const struct membership *);
bool membership_service_is_up(const struct membership *);
Ch__View *membership_take_changes(struct membership *);
Ch__View *membership_take_base_changes(struct membership *);
Ch__View *membership_take_suspicions(struct membership *);
Ch__View *membership_base_message(const struct membership *);
json_t *membership_dump(const struct membership *);

/* The value stored under a member's key. */
char *membership_entry_encode(const struct view_member *);
enum status membership_entry_decode(
    struct lstr, json_t **, struct view_member *);

#endif
