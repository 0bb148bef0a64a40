#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "enroll.h"

/* Renewals in one time to live; one may be lost. */
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
	/* Version over which the key is written. */
	uint64_t over;
	uint64_t version;
	int64_t sent_at;
	int64_t granted_at;
	int64_t held_until;
	bool written;
	bool calling;
	/* No call is to follow. */
	bool idle;
};

static void step(struct enroll *enroll);

/*
 * Takes the next step after a pause.
 */
static void
on_timer(void *arg)
{
	step(arg);
}

/*
 * Prepares the key; an own entry is created as soon as the store answers.
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
 * Frees the state; the lease then ends by itself. The client of the store
 * must have been destroyed, or no call be under way.
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
 * Forgets the lease; an own entry is created again after a pause.
 */
static void
start_over(struct enroll *enroll, const char *why)
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
 * Takes the answer to the request for a lease.
 */
static void
on_granted(const struct kv_result *result, void *arg)
{
	struct enroll *enroll = arg;

	enroll->calling = false;
	if (enroll->idle)
		return;
	if (result->status != STATUS_OK) {
		loop_timer_set(
		    enroll->timer, loop_now(enroll->loop) + ENROLL_PAUSE_USEC);
		return;
	}
	enroll->lease = g_strndup(result->lease.data, result->lease.len);
	enroll->granted_at = enroll->sent_at;
	step(enroll);
}

/*
 * Takes the answer to the write of the key.
 */
static void
on_written(const struct kv_result *result, void *arg)
{
	struct enroll *enroll = arg;

	enroll->calling = false;
	if (enroll->idle || enroll->written) {
		/* Given up, or adopted from the store's list meanwhile. */
		loop_timer_set(enroll->timer, loop_now(enroll->loop));
		return;
	}
	switch (result->status) {
	case STATUS_OK:
		enroll->written = true;
		enroll->version = result->version;
		enroll->over = enroll->own ? result->version : 0;
		enroll->held_until = enroll->granted_at + enroll->ttl;
		loop_timer_set(enroll->timer,
		    enroll->granted_at + enroll->ttl / RENEWALS_PER_TTL);
		enroll->ops->held(result->version, enroll->arg);
		return;
	case STATUS_CONFLICT:
		if (enroll->own) {
			enroll->over = result->version;
			step(enroll);
			return;
		}
		start_over(enroll, "held by another process");
		return;
	case STATUS_NOT_FOUND:
		start_over(enroll, "lease ended");
		return;
	default:
		loop_timer_set(
		    enroll->timer, loop_now(enroll->loop) + ENROLL_PAUSE_USEC);
	}
}

/*
 * Takes the answer to a renewal.
 */
static void
on_renewed(const struct kv_result *result, void *arg)
{
	struct enroll *enroll = arg;
	int64_t now = loop_now(enroll->loop);

	enroll->calling = false;
	if (enroll->idle)
		return;
	if (result->status == STATUS_OK) {
		bool regained = enroll->held_until == 0;

		enroll->held_until = enroll->sent_at + enroll->ttl;
		loop_timer_set(enroll->timer,
		    enroll->sent_at + enroll->ttl / RENEWALS_PER_TTL);
		/* The lease never ended, so neither did the key. */
		if (regained)
			enroll->ops->held(enroll->version, enroll->arg);
	} else if (result->status == STATUS_NOT_FOUND) {
		enroll->over = 0;
		start_over(enroll, "lease ended");
	} else {
		if (enroll->held_until != 0 && now >= enroll->held_until) {
			enroll->held_until = 0;
			enroll->ops->lost("lease not renewed", enroll->arg);
		}
		loop_timer_set(enroll->timer, now + ENROLL_PAUSE_USEC);
	}
}

/*
 * Makes the call that is due: a lease, the key, or a renewal.
 */
static void
step(struct enroll *enroll)
{
	int64_t now = loop_now(enroll->loop);
	int64_t deadline = now + ENROLL_CALL_USEC;
	struct kv *kv = enroll->kv;

	if (enroll->calling || enroll->idle)
		return;
	enroll->calling = true;
	enroll->sent_at = now;
	if (enroll->lease == NULL)
		kv->vtable->lease_grant(
		    kv, enroll->ttl, deadline, on_granted, enroll);
	else if (!enroll->written)
		kv->vtable->put(kv, lstr_from(enroll->key),
		    lstr_buf_view(&enroll->value), enroll->over,
		    lstr_from(enroll->lease), deadline, on_written, enroll);
	else
		kv->vtable->lease_renew(
		    kv, lstr_from(enroll->lease), deadline, on_renewed, enroll);
}

/*
 * Returns until when the lease certainly lasts; 0: it is not held.
 */
int64_t
enroll_held_until(const struct enroll *enroll)
{
	return enroll->held_until;
}

/*
 * Ignores the answer to the removal: without it the lease ends by itself.
 */
static void
on_removed(const struct kv_result *result, void *arg)
{
	(void)result;
	(void)arg;
}

/*
 * Tries to take an office; the outcome is told by held or lost.
 */
void
enroll_try(struct enroll *enroll)
{
	if (!enroll->idle || enroll->calling)
		return;
	enroll->idle = false;
	step(enroll);
}

/*
 * Takes over a key that the store shows as ours: the answer to its write was
 * lost.
 */
void
enroll_adopt(struct enroll *enroll, uint64_t version)
{
	if (enroll->written || enroll->idle || enroll->lease == NULL)
		return;
	enroll->written = true;
	enroll->version = version;
	enroll->held_until = enroll->granted_at + enroll->ttl;
	if (!enroll->calling)
		loop_timer_set(enroll->timer, 0);
	enroll->ops->held(version, enroll->arg);
}

/*
 * Removes the key, without waiting for the answer.
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
