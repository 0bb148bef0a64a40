#include <string.h>

#include "member_state.h"

/* The lease is renewed this many times in its time. */
#define RENEWALS_PER_LEASE 3

/*
 * Returns the call that is due for the own entry; its result must be given
 * before the next one is due.
 */
enum member_call
member_next_call(struct member *m, int64_t now)
{
	enum member_call call = MEMBER_NONE;

	if (m->calling || now < m->retry_at)
		return MEMBER_NONE;
	if (m->lease[0] == '\0')
		call = MEMBER_GRANT;
	else if (now >= m->renew_at)
		call = MEMBER_RENEW;
	else if (m->put_needed)
		call = MEMBER_PUT;
	m->calling = call != MEMBER_NONE;
	if (call == MEMBER_PUT)
		m->put_changed = false;
	return call;
}

/*
 * Returns the id of the own lease; empty when there is none.
 */
const char *
member_lease(const struct member *m)
{
	return m->lease;
}

/*
 * Returns the version that the own entry is written over.
 */
uint64_t
member_version(const struct member *m)
{
	return m->stored_version;
}

/*
 * Takes the result of MEMBER_GRANT. A grant whose answer was lost runs out by
 * itself.
 */
void
member_granted(
    struct member *m, enum status status, struct lstr lease, int64_t now)
{
	m->calling = false;
	if (status != STATUS_OK || lease.len == 0 ||
	    lease.len >= MEMBER_LEASE_MAX_BYTES) {
		m->retry_at = now + MEMBER_RETRY_USEC;
		return;
	}
	g_strlcpy(m->lease, lease.data, lease.len + 1);
	m->renew_at = now + m->lease_usec / RENEWALS_PER_LEASE;
	m->put_needed = true;
}

/*
 * Takes the result of MEMBER_RENEW. An expired lease is replaced, and the
 * entry written again.
 */
void
member_renewed(struct member *m, enum status status, int64_t now)
{
	m->calling = false;
	if (status == STATUS_OK) {
		m->renew_at = now + m->lease_usec / RENEWALS_PER_LEASE;
	} else if (status == STATUS_NOT_FOUND) {
		m->lease[0] = '\0';
		m->stored_version = 0;
		m->put_needed = true;
	} else {
		m->retry_at = now + MEMBER_RETRY_USEC;
	}
}

/*
 * Takes the result of MEMBER_PUT. On conflict, the entry of an earlier boot
 * or a write whose answer was lost is replaced.
 */
void
member_written(
    struct member *m, enum status status, uint64_t version, int64_t now)
{
	m->calling = false;
	if (status == STATUS_OK) {
		m->stored_version = version;
		m->put_needed = m->put_changed;
		member_base_put(m, view_at(m->self, 0));
	} else if (status == STATUS_CONFLICT) {
		m->stored_version = version;
	} else if (status == STATUS_NOT_FOUND) {
		m->lease[0] = '\0';
	} else {
		m->retry_at = now + MEMBER_RETRY_USEC;
	}
}

/*
 * Returns the own entry, valid until member_set_self().
 */
const struct view_member *
member_self(const struct member *m)
{
	return view_at(m->self, 0);
}
