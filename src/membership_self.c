#include <string.h>

#include "membership_priv.h"

/* Number of renewals during the lease duration. */
#define RENEWALS_PER_LEASE 3

/*
 * Returns the key-value call that is due for this node's membership entry. The
 * caller must report its result before another call becomes due.
 */
enum membership_call
membership_next_call(struct membership *m, int64_t now)
{
	enum membership_call call = MEMBERSHIP_NONE;

	if (m->call_pending || now < m->retry_at)
		return MEMBERSHIP_NONE;
	if (m->lease[0] == '\0')
		call = MEMBERSHIP_GRANT;
	else if (now >= m->renew_at)
		call = MEMBERSHIP_RENEW;
	else if (m->put_needed)
		call = MEMBERSHIP_PUT;
	m->call_pending = call != MEMBERSHIP_NONE;
	if (call == MEMBERSHIP_PUT)
		m->put_changed = false;
	return call;
}

/*
 * Returns the ID of this node's lease; empty if there is none.
 */
const char *
membership_lease(const struct membership *m)
{
	return m->lease;
}

/*
 * Returns the expected version for the next write of this node's membership
 * entry (compare-and-swap).
 */
uint64_t
membership_entry_version(const struct membership *m)
{
	return m->stored_version;
}

/*
 * Handles the result of MEMBERSHIP_GRANT. If the answer to a grant is lost,
 * that lease expires on its own.
 */
void
membership_grant_done(
    struct membership *m, enum status status, struct lstr lease, int64_t now)
{
	m->call_pending = false;
	if (status != STATUS_OK || lease.len == 0 ||
	    lease.len >= MEMBERSHIP_LEASE_MAX_BYTES) {
		m->retry_at = now + MEMBERSHIP_RETRY_USEC;
		return;
	}
	g_strlcpy(m->lease, lease.data, lease.len + 1);
	m->renew_at = now + m->lease_usec / RENEWALS_PER_LEASE;
	m->put_needed = true;
}

/*
 * Handles the result of MEMBERSHIP_RENEW. An expired lease is replaced, and the
 * entry is written again.
 */
void
membership_renew_done(struct membership *m, enum status status, int64_t now)
{
	m->call_pending = false;
	if (status == STATUS_OK) {
		m->renew_at = now + m->lease_usec / RENEWALS_PER_LEASE;
	} else if (status == STATUS_NOT_FOUND) {
		m->lease[0] = '\0';
		m->stored_version = 0;
		m->put_needed = true;
	} else {
		m->retry_at = now + MEMBERSHIP_RETRY_USEC;
	}
}

/*
 * Handles the result of MEMBERSHIP_PUT. On a conflict, the next write replaces
 * the stored entry, which is from an earlier boot or from a write whose answer
 * was lost.
 */
void
membership_put_done(
    struct membership *m, enum status status, uint64_t version, int64_t now)
{
	m->call_pending = false;
	if (status == STATUS_OK) {
		m->stored_version = version;
		m->put_needed = m->put_changed;
		membership_put_entry(m, view_at(m->self, 0));
	} else if (status == STATUS_CONFLICT) {
		m->stored_version = version;
	} else if (status == STATUS_NOT_FOUND) {
		m->lease[0] = '\0';
	} else {
		m->retry_at = now + MEMBERSHIP_RETRY_USEC;
	}
}

/*
 * Returns this node's membership entry, valid until the next
 * membership_set_self().
 */
const struct view_member *
membership_self(const struct membership *m)
{
	return view_at(m->self, 0);
}
