#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "enroll.h"

/* Renewals per time to live of the lease, so that one may be lost. */
#define RENEWALS_PER_TTL 3

struct enroll {
	struct loop *loop;
	struct kv *kv;
	char *key;
	struct lstr_buf value;
	int64_t ttl;
	bool own;
	const struct enroll_ops *ops;
	void *arg;
	struct loop_timer *timer;
	char *lease;
	/* Version that the key must have when it is written; 0: it must not
	 * exist. */
	uint64_t expected_version;
	/* Version that the last write created. */
	uint64_t version;
	int64_t sent_at;
	int64_t granted_at;
	int64_t held_until;
	bool written;
	bool call_pending;
	/* No further calls are to be made. */
	bool idle;
};

static void make_next_call(struct enroll *enroll);

/*
 * Makes the next call after a pause.
 */
static void
on_timer(void *arg)
{
	make_next_call(arg);
}

/*
 * Prepares the key; an own entry is written as soon as the store responds.
 */
enum status
enroll_create(struct loop *loop, struct kv *kv,
    const struct enroll_config *config, const struct enroll_ops *ops, void *arg,
    struct enroll **out)
{
	struct enroll *enroll = g_new0(struct enroll, 1);
	enum status status;

	enroll->loop = loop;
	enroll->kv = kv;
	enroll->key = g_strdup(config->key);
	lstr_buf_append(&enroll->value, config->value);
	enroll->ttl = config->ttl_usec;
	enroll->own = config->own;
	enroll->ops = ops;
	enroll->arg = arg;
	status = loop_timer_create(loop, on_timer, enroll, &enroll->timer);
	if (status != STATUS_OK) {
		enroll_destroy(enroll);
		return status;
	}
	enroll->idle = !enroll->own;
	if (enroll->own)
		loop_timer_set(enroll->timer, 0);
	*out = enroll;
	return STATUS_OK;
}

/*
 * Frees the state; the lease then expires. The store client must have been
 * destroyed, or no call may be in progress.
 */
void
enroll_destroy(struct enroll *enroll)
{
	if (enroll == NULL)
		return;
	loop_timer_destroy(enroll->timer);
	g_free(enroll->key);
	g_free(enroll->lease);
	lstr_buf_free(&enroll->value);
	g_free(enroll);
}

/*
 * Drops the lease and reports the loss; an own entry is written again after a
 * pause.
 */
static void
drop_lease(struct enroll *enroll, const char *why)
{
	g_clear_pointer(&enroll->lease, g_free);
	enroll->written = false;
	enroll->held_until = 0;
	enroll->idle = enroll->idle || !enroll->own;
	if (!enroll->idle)
		loop_timer_set(
		    enroll->timer, loop_now(enroll->loop) + ENROLL_PAUSE_USEC);
	enroll->ops->lost(why, enroll->arg);
}

/*
 * Handles the response to the request for a lease.
 */
static void
on_lease_granted(const struct kv_result *result, void *arg)
{
	struct enroll *enroll = arg;

	enroll->call_pending = false;
	if (enroll->idle)
		return;
	if (result->status != STATUS_OK) {
		loop_timer_set(
		    enroll->timer, loop_now(enroll->loop) + ENROLL_PAUSE_USEC);
		return;
	}
	enroll->lease = g_strndup(result->lease.data, result->lease.len);
	enroll->granted_at = enroll->sent_at;
	make_next_call(enroll);
}

/*
 * Handles the response to the write of the key.
 */
static void
on_key_written(const struct kv_result *result, void *arg)
{
	struct enroll *enroll = arg;

	enroll->call_pending = false;
	if (enroll->idle || enroll->written) {
		/* Released, or adopted from the store's list, meanwhile. */
		loop_timer_set(enroll->timer, loop_now(enroll->loop));
		return;
	}
	switch (result->status) {
	case STATUS_OK:
		enroll->written = true;
		enroll->version = result->version;
		enroll->expected_version = enroll->own ? result->version : 0;
		enroll->held_until = enroll->granted_at + enroll->ttl;
		loop_timer_set(enroll->timer,
		    enroll->granted_at + enroll->ttl / RENEWALS_PER_TTL);
		enroll->ops->held(result->version, enroll->arg);
		return;
	case STATUS_CONFLICT:
		if (enroll->own) {
			enroll->expected_version = result->version;
			make_next_call(enroll);
			return;
		}
		drop_lease(enroll, "held by another process");
		return;
	case STATUS_NOT_FOUND:
		drop_lease(enroll, "lease ended");
		return;
	default:
		loop_timer_set(
		    enroll->timer, loop_now(enroll->loop) + ENROLL_PAUSE_USEC);
	}
}

/*
 * Handles the response to a renewal.
 */
static void
on_lease_renewed(const struct kv_result *result, void *arg)
{
	struct enroll *enroll = arg;
	int64_t now = loop_now(enroll->loop);

	enroll->call_pending = false;
	if (enroll->idle)
		return;
	if (result->status == STATUS_OK) {
		bool regained = enroll->held_until == 0;

		enroll->held_until = enroll->sent_at + enroll->ttl;
		loop_timer_set(enroll->timer,
		    enroll->sent_at + enroll->ttl / RENEWALS_PER_TTL);
		/* The lease never expired, so the key still exists. */
		if (regained)
			enroll->ops->held(enroll->version, enroll->arg);
	} else if (result->status == STATUS_NOT_FOUND) {
		enroll->expected_version = 0;
		drop_lease(enroll, "lease ended");
	} else {
		if (enroll->held_until != 0 && now >= enroll->held_until) {
			enroll->held_until = 0;
			enroll->ops->lost("lease not renewed", enroll->arg);
		}
		loop_timer_set(enroll->timer, now + ENROLL_PAUSE_USEC);
	}
}

/*
 * Makes the next call: requests a lease, writes the key, or renews the lease.
 */
static void
make_next_call(struct enroll *enroll)
{
	int64_t now = loop_now(enroll->loop);
	int64_t deadline = now + ENROLL_CALL_USEC;
	struct kv *kv = enroll->kv;

	if (enroll->call_pending || enroll->idle)
		return;
	enroll->call_pending = true;
	enroll->sent_at = now;
	if (enroll->lease == NULL)
		kv->vtable->lease_grant(
		    kv, enroll->ttl, deadline, on_lease_granted, enroll);
	else if (!enroll->written)
		kv->vtable->put(kv, lstr_from(enroll->key),
		    lstr_buf_view(&enroll->value), enroll->expected_version,
		    lstr_from(enroll->lease), deadline, on_key_written, enroll);
	else
		kv->vtable->lease_renew(kv, lstr_from(enroll->lease), deadline,
		    on_lease_renewed, enroll);
}

/*
 * Returns the time until which the lease is certain to be valid; 0: it is not
 * held.
 */
int64_t
enroll_held_until(const struct enroll *enroll)
{
	return enroll->held_until;
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
 */
void
enroll_try(struct enroll *enroll)
{
	if (!enroll->idle || enroll->call_pending)
		return;
	enroll->idle = false;
	make_next_call(enroll);
}

/*
 * Records that this process holds the key: the store shows it, although the
 * response to its write was lost.
 */
void
enroll_adopt(struct enroll *enroll, uint64_t version)
{
	if (enroll->written || enroll->idle || enroll->lease == NULL)
		return;
	enroll->written = true;
	enroll->version = version;
	enroll->held_until = enroll->granted_at + enroll->ttl;
	if (!enroll->call_pending)
		loop_timer_set(enroll->timer, 0);
	enroll->ops->held(version, enroll->arg);
}

/*
 * Removes the key without waiting for the response.
 */
void
enroll_leave(struct enroll *enroll)
{
	if (enroll->idle)
		return;
	enroll->idle = true;
	loop_timer_clear(enroll->timer);
	if (enroll->written)
		enroll->kv->vtable->remove(enroll->kv, lstr_from(enroll->key),
		    enroll->version, loop_now(enroll->loop) + ENROLL_CALL_USEC,
		    on_removed, enroll);
	enroll->written = false;
	enroll->held_until = 0;
	g_clear_pointer(&enroll->lease, g_free);
}
