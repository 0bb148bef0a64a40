#ifndef CH_MEMBER_H
#define CH_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "view.h"

#define MEMBER_LEASE_MAX_BYTES 128
/* A suspicion expires unless it is renewed within this time. */
#define MEMBER_SUSPICION_USEC ((int64_t)10 * 1000000)
/*
 * Grace period after an outage of the key-value service, during which an
 * expired lease does not remove a member unless it is suspected.
 */
#define MEMBER_GRACE_USEC ((int64_t)30 * 1000000)
/* Delay before retrying a failed call to the key-value service. */
#define MEMBER_RETRY_USEC ((int64_t)1000000)

/* The next key-value call for this node's entry; see membership_next_call(). */
enum member_call {
	MEMBER_NONE,
	MEMBER_GRANT,
	MEMBER_RENEW,
	MEMBER_PUT
};

/*
 * Cluster membership as seen by one syncd. The module performs no I/O: the
 * caller passes in events and the current time, and asks it which calls and
 * messages are due. It combines the entries of the key-value service, read
 * directly or received from a watcher of the same place, with suspicions, which
 * any syncd may raise and which expire on their own.
 */
struct member;

struct member *member_create(const struct view_member *, int64_t);
void member_destroy(struct member *);

/* This node's entry. */
void member_set_self(struct member *, const struct view_member *, int64_t);
const struct view_member *member_self(const struct member *);
enum member_call member_next_call(struct member *, int64_t);
const char *member_lease(const struct member *);
uint64_t member_version(const struct member *);
void member_granted(struct member *, enum status, struct lstr, int64_t);
void member_renewed(struct member *, enum status, int64_t);
void member_written(struct member *, enum status, uint64_t, int64_t);

/* Events from the key-value service. */
void member_list_begin(struct member *);
void member_entered(struct member *, const struct view_member *, int64_t);
void member_removed(struct member *, struct lstr, int64_t);
void member_list_end(struct member *, int64_t);
void member_service_down(struct member *);
void member_service_up(struct member *, int64_t);

/* Events from other syncds. */
void member_heard(struct member *, struct lstr, int64_t);
void member_failed(struct member *, struct lstr, int64_t);
void member_pushed(struct member *, const Ch__View *, int64_t);
void member_tick(struct member *, int64_t);

/* The resulting view and the pending messages. */
const struct view *member_view(const struct member *);
uint64_t member_view_version(const struct member *);
bool member_service_is_up(const struct member *);
Ch__View *member_take_changes(struct member *);
Ch__View *member_take_base_changes(struct member *);
Ch__View *member_take_suspicions(struct member *);
Ch__View *member_base(const struct member *);
json_t *member_dump(const struct member *);

/* The value stored under a member's key. */
char *member_to_text(const struct view_member *);
enum status member_from_text(struct lstr, json_t **, struct view_member *);

#endif
