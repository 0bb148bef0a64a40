#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "lease_key.h"
#include "slog.h"

/* Renewals per time to live of the lease, so that one may be lost. */
#define RENEWALS_PER_TTL 3

struct lease_key {
	struct loop *loop;
	struct kv *kv;
	char *key;
	struct lstr_buf value;
	int64_t ttl;
	bool rewrite_when_lost;
	int64_t spread;
	const struct lease_key_ops *ops;
	void *arg;
	struct loop_timer *timer;
	/* When the next call is to be made. */
	int64_t next_call_at;
	char *lease;
	/* Newest era that the store has stated; 0: none. */
	uint64_t era;
	/* Era in which the lease was granted. */
	uint64_t lease_era;
	/* Version that the key must have when it is written; 0: it must not
	 * exist. */
	uint64_t expected_version;
	/* Position of the last write. */
	struct store_position position;
	int64_t sent_at;
	int64_t granted_at;
	int64_t held_until;
	bool written;
	bool call_pending;
	/* No further calls are to be made. */
	bool idle;
};

static void make_next_call(struct lease_key *lease_key);

/*
 * Schedules the next call.
 */
static void
schedule_call(struct lease_key *lease_key, int64_t at)
{
	lease_key->next_call_at = at;
	loop_timer_set(lease_key->timer, at);
}

/*
 * Makes the next call after a pause.
 */
static void
on_timer(void *arg)
{
	make_next_call(arg);
}

/*
 * Creates a lease key. With rewrite_when_lost, it is written at once; otherwise
 * nothing is done until lease_key_acquire().
 */
enum status
lease_key_create(struct loop *loop, struct kv *kv,
    const struct lease_key_config *config, const struct lease_key_ops *ops,
    void *arg, struct lease_key **out)
{
	struct lease_key *lease_key = g_new0(struct lease_key, 1);
	enum status status;

	lease_key->loop = loop;
	lease_key->kv = kv;
	lease_key->key = g_strdup(config->key);
	lstr_buf_append(&lease_key->value, config->value);
	lease_key->ttl = config->ttl_usec;
	lease_key->rewrite_when_lost = config->rewrite_when_lost;
	lease_key->spread = LEASE_KEY_RETRY_USEC;
	lease_key->ops = ops;
	lease_key->arg = arg;
	status =
	    loop_timer_create(loop, on_timer, lease_key, &lease_key->timer);
	if (status != STATUS_OK) {
		lease_key_destroy(lease_key);
		return status;
	}
	lease_key->idle = !lease_key->rewrite_when_lost;
	if (lease_key->rewrite_when_lost)
		schedule_call(lease_key, 0);
	*out = lease_key;
	return STATUS_OK;
}

/*
 * Frees the state; the lease then expires. The store client must have been
 * destroyed, or no call may be in progress.
 */
void
lease_key_destroy(struct lease_key *lease_key)
{
	if (lease_key == NULL)
		return;
	loop_timer_destroy(lease_key->timer);
	g_free(lease_key->key);
	g_free(lease_key->lease);
	lstr_buf_free(&lease_key->value);
	g_free(lease_key);
}

/*
 * Sets the time over which lost keys are written again.
 */
void
lease_key_set_spread(struct lease_key *lease_key, int64_t spread_usec)
{
	lease_key->spread = MAX(spread_usec, LEASE_KEY_RETRY_USEC);
}

/*
 * Schedules a write after a failed one or after a loss. The other nodes may
 * have lost their keys at the same moment, so that the delay is random.
 */
static void
schedule_write(struct lease_key *lease_key)
{
	int64_t delay = LEASE_KEY_RETRY_USEC;

	if (lease_key->rewrite_when_lost)
		delay = LEASE_KEY_RETRY_USEC / 4 +
		    g_random_int_range(0, (gint32)lease_key->spread);
	schedule_call(lease_key, loop_now(lease_key->loop) + delay);
}

/*
 * Drops the lease and reports the loss; with rewrite_when_lost, the key is
 * written again after a pause.
 */
static void
drop_lease(struct lease_key *lease_key, const char *reason)
{
	g_clear_pointer(&lease_key->lease, g_free);
	lease_key->written = false;
	lease_key->held_until = 0;
	if (!lease_key->rewrite_when_lost) {
		lease_key->expected_version = 0;
		lease_key->idle = true;
	}
	if (!lease_key->idle)
		schedule_write(lease_key);
	lease_key->ops->lost(reason, lease_key->arg);
}

/*
 * Handles an era that the store stated. The store may have lost a lease of an
 * earlier era and granted its identifier again: a renewal would keep the lease
 * of another client alive, while the key of this one vanishes unnoticed.
 */
void
lease_key_note_era(struct lease_key *lease_key, uint64_t era)
{
	if (era <= lease_key->era)
		return;
	lease_key->era = era;
	if (lease_key->ops->era_changed != NULL)
		lease_key->ops->era_changed(era, lease_key->arg);
	if (lease_key->lease == NULL)
		return;
	slog_event(EV_LEASE_SUPERSEDED, "{s:s, s:I, s:I, s:b}", "key",
	    lease_key->key, "lease_era", (json_int_t)lease_key->lease_era,
	    "era", (json_int_t)era, "held", lease_key->held_until != 0);
	drop_lease(lease_key, "the store came back from an older copy");
}

/*
 * Gives up the lease after a restore of a store that states no era, which
 * lease_key_note_era() does otherwise.
 */
void
lease_key_note_restore(struct lease_key *lease_key)
{
	if (lease_key->era != 0 || lease_key->lease == NULL)
		return;
	slog_event(EV_LEASE_SUPERSEDED, "{s:s, s:I, s:I, s:b}", "key",
	    lease_key->key, "lease_era", (json_int_t)0, "era", (json_int_t)0,
	    "held", lease_key->held_until != 0);
	drop_lease(lease_key, "the store came back from an older copy");
}

/*
 * Notes the era of a response. Returns false if the response belongs to an
 * earlier era than the newest one.
 */
static bool
note_response(struct lease_key *lease_key, const struct kv_result *result)
{
	lease_key->call_pending = false;
	lease_key_note_era(lease_key, result->era);
	return result->era == 0 || result->era == lease_key->era;
}

/*
 * Continues after a call whose result no longer matters: the lease was given
 * up, or the key released, while the call was in progress.
 */
static void
skip_response(struct lease_key *lease_key)
{
	schedule_call(
	    lease_key, MAX(lease_key->next_call_at, loop_now(lease_key->loop)));
}

/*
 * Handles the response to the request for a lease.
 */
static void
on_lease_granted(const struct kv_result *result, void *arg)
{
	struct lease_key *lease_key = arg;
	bool current = note_response(lease_key, result);

	if (lease_key->idle)
		return;
	if (result->status != STATUS_OK || !current) {
		schedule_write(lease_key);
		return;
	}
	lease_key->lease = g_strndup(result->lease.data, result->lease.len);
	lease_key->lease_era = lease_key->era;
	lease_key->granted_at = lease_key->sent_at;
	make_next_call(lease_key);
}

/*
 * Handles the holder of a lock that could not be written. This process itself
 * may be the holder: by an earlier transmission of the write, or by a write
 * that a restored store still has.
 */
static void
on_holder_read(const struct kv_result *result, void *arg)
{
	struct lease_key *lease_key = arg;
	bool current = note_response(lease_key, result);

	if (lease_key->idle || lease_key->lease == NULL) {
		skip_response(lease_key);
	} else if (result->status == STATUS_OK && current) {
		if (!lstr_equal(
			result->value, lstr_buf_view(&lease_key->value))) {
			drop_lease(lease_key, "held by another process");
			return;
		}
		lease_key->expected_version = result->version;
		make_next_call(lease_key);
	} else if (result->status == STATUS_NOT_FOUND && current) {
		lease_key->expected_version = 0;
		make_next_call(lease_key);
	} else {
		schedule_write(lease_key);
	}
}

/*
 * Reads the holder of a lock.
 */
static void
read_holder(struct lease_key *lease_key)
{
	lease_key->call_pending = true;
	lease_key->kv->vtable->get(lease_key->kv, lstr_from(lease_key->key),
	    loop_now(lease_key->loop) + LEASE_KEY_CALL_USEC, on_holder_read,
	    lease_key);
}

/*
 * Handles the response to the write of the key.
 */
static void
on_key_written(const struct kv_result *result, void *arg)
{
	struct lease_key *lease_key = arg;
	bool current = note_response(lease_key, result);

	if (lease_key->idle || lease_key->lease == NULL) {
		if (current && lease_key->rewrite_when_lost &&
		    (result->status == STATUS_OK ||
			result->status == STATUS_CONFLICT))
			lease_key->expected_version = result->version;
		skip_response(lease_key);
		return;
	}
	switch (result->status) {
	case STATUS_OK:
		lease_key->written = true;
		lease_key->position = (struct store_position){
		    lease_key->lease_era, result->version};
		lease_key->expected_version = result->version;
		lease_key->held_until = lease_key->granted_at + lease_key->ttl;
		schedule_call(lease_key,
		    lease_key->granted_at + lease_key->ttl / RENEWALS_PER_TTL);
		lease_key->ops->held(lease_key->position, lease_key->arg);
		return;
	case STATUS_CONFLICT:
		if (lease_key->rewrite_when_lost) {
			lease_key->expected_version = result->version;
			make_next_call(lease_key);
			return;
		}
		read_holder(lease_key);
		return;
	case STATUS_NOT_FOUND:
		drop_lease(lease_key, "lease ended");
		return;
	default:
		schedule_write(lease_key);
	}
}

/*
 * Handles the response to a renewal.
 */
static void
on_lease_renewed(const struct kv_result *result, void *arg)
{
	struct lease_key *lease_key = arg;
	int64_t now = loop_now(lease_key->loop);

	note_response(lease_key, result);
	if (lease_key->idle || lease_key->lease == NULL) {
		skip_response(lease_key);
		return;
	}
	if (result->status == STATUS_OK) {
		bool regained = lease_key->held_until == 0;

		lease_key->held_until = lease_key->sent_at + lease_key->ttl;
		schedule_call(lease_key,
		    lease_key->sent_at + lease_key->ttl / RENEWALS_PER_TTL);
		/* The lease never expired, so the key still exists. */
		if (regained)
			lease_key->ops->held(
			    lease_key->position, lease_key->arg);
	} else if (result->status == STATUS_NOT_FOUND) {
		lease_key->expected_version = 0;
		drop_lease(lease_key, "lease ended");
	} else {
		if (lease_key->held_until != 0 &&
		    now >= lease_key->held_until) {
			lease_key->held_until = 0;
			lease_key->ops->lost(
			    "lease not renewed", lease_key->arg);
		}
		schedule_call(lease_key, now + LEASE_KEY_RETRY_USEC);
	}
}

/*
 * Makes the next call: requests a lease, writes the key, or renews the lease.
 */
static void
make_next_call(struct lease_key *lease_key)
{
	int64_t now = loop_now(lease_key->loop);
	int64_t deadline = now + LEASE_KEY_CALL_USEC;
	struct kv *kv = lease_key->kv;

	if (lease_key->call_pending || lease_key->idle)
		return;
	lease_key->call_pending = true;
	lease_key->sent_at = now;
	if (lease_key->lease == NULL)
		kv->vtable->lease_grant(
		    kv, lease_key->ttl, deadline, on_lease_granted, lease_key);
	else if (!lease_key->written)
		kv->vtable->put(kv, lstr_from(lease_key->key),
		    lstr_buf_view(&lease_key->value),
		    lease_key->expected_version, lstr_from(lease_key->lease),
		    deadline, on_key_written, lease_key);
	else
		kv->vtable->lease_renew(kv, lstr_from(lease_key->lease),
		    deadline, on_lease_renewed, lease_key);
}

/*
 * Returns the time until which the lease is certain to be valid; 0: it is not
 * held.
 */
int64_t
lease_key_held_until(const struct lease_key *lease_key)
{
	return lease_key->held_until;
}

/*
 * Ignores the response to the removal: if it failed, the lease expires.
 */
static void
on_removed(const struct kv_result *result, void *arg)
{
	(void)result;
	(void)arg;
}

/*
 * Tries to acquire a lock; the held or lost callback reports the outcome.
 * Returns false if a call is still in progress.
 */
bool
lease_key_acquire(struct lease_key *lease_key)
{
	if (!lease_key->idle)
		return true;
	if (lease_key->call_pending)
		return false;
	lease_key->idle = false;
	make_next_call(lease_key);
	return true;
}

/*
 * Writes the key again over a version with the value of this process that it
 * does not hold: the response to that write was lost, or the version comes from
 * the copy of a restored store. It may have an earlier lease, so that it does
 * not count as held as it is.
 */
void
lease_key_note_own(struct lease_key *lease_key, struct store_position position)
{
	lease_key_note_era(lease_key, position.era);
	if (lease_key->written || position.era != lease_key->era ||
	    store_position_compare(position, lease_key->position) <= 0)
		return;
	lease_key->idle = false;
	lease_key->expected_version = position.revision;
	if (!lease_key->call_pending)
		schedule_call(lease_key, 0);
}

/*
 * Removes the key without waiting for the response.
 */
void
lease_key_release(struct lease_key *lease_key)
{
	if (lease_key->idle)
		return;
	lease_key->idle = true;
	loop_timer_clear(lease_key->timer);
	if (lease_key->written)
		lease_key->kv->vtable->remove(lease_key->kv,
		    lstr_from(lease_key->key), lease_key->position.revision,
		    loop_now(lease_key->loop) + LEASE_KEY_CALL_USEC, on_removed,
		    lease_key);
	lease_key->written = false;
	lease_key->expected_version = 0;
	lease_key->held_until = 0;
	g_clear_pointer(&lease_key->lease, g_free);
}
