#ifndef CH_MEMBER_H
#define CH_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "view.h"

/* Largest number of members that a view may hold. */
#define MEMBER_MAX 4096
/* Time that the removal of a member is remembered. */
#define MEMBER_TOMBSTONE_USEC ((int64_t)120 * 1000000)
/*
 * After an outage of the key-value service all leases may have expired, so
 * expiry is not taken for death within this time.
 */
#define MEMBER_EXPIRY_GRACE_USEC ((int64_t)30 * 1000000)

/*
 * The membership as one syncd knows it, and the work on its own lease. A
 * member has an incarnation that only the member itself raises. Of two
 * statements the one with the higher incarnation counts; at the same
 * incarnation suspicion goes before its absence, and removal before both.
 */
struct member;

/* Work on the own entry in the key-value service; one at a time. */
enum member_work {
	MEMBER_WORK_NONE,
	MEMBER_WORK_GRANT,
	MEMBER_WORK_RENEW,
	MEMBER_WORK_WRITE
};

enum status member_create(
    const struct view_member *, int64_t lease_usec, struct member **);
void member_destroy(struct member *);
const struct view *member_view(const struct member *);
uint64_t member_version(const struct member *);

enum member_work member_next_work(struct member *, int64_t now);
void member_work_done(struct member *, enum status, struct lstr lease,
    uint64_t version, int64_t now);
struct lstr member_lease(const struct member *);
uint64_t member_own_version(const struct member *);
bool member_is_published(const struct member *);

enum status member_set_self(
    struct member *, const struct view_member *, int64_t now);
void member_stored(struct member *, const struct view_member *, int64_t now);
void member_unstored(struct member *, struct lstr, int64_t now);
void member_outage_ended(struct member *, int64_t now);
void member_heard(struct member *, struct lstr, int64_t now);
void member_unreachable(struct member *, struct lstr, int64_t now);
void member_apply(struct member *, const Ch__View *, int64_t now);
void member_tick(struct member *, int64_t now);

enum status member_take_changes(struct member *, Ch__View **);
enum status member_whole(const struct member *, Ch__View **);

enum status member_encode(const struct view_member *, struct lstr_buf *);
enum status member_decode(struct lstr, struct view_member *);
void member_decoded_free(struct view_member *);

#endif
