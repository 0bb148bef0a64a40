#include <stdlib.h>
#include <string.h>

#include "peer.h"

#define BACKOFF_MIN_USEC (50 * LOOP_USEC_PER_MSEC)
#define BACKOFF_MAX_USEC (2 * LOOP_USEC_PER_SEC)

struct peer {
	const struct link_context *context;
	const struct peer_ops *ops;
	void *arg;
	char *address;
	struct link *link;
	struct loop_timer *timer;
	unsigned int failures;
	bool up;
};

static void on_link_up(struct link *, void *);
static void on_link_frame(struct link *, const Ch__Frame *, void *);
static void on_link_down(struct link *, enum status, void *);

static const struct link_ops link_callbacks = {
    on_link_up, on_link_frame, on_link_down};

/*
 * Returns the wait before the next attempt; it doubles up to a limit.
 */
static int64_t
backoff(const struct peer *peer)
{
	int64_t wait = BACKOFF_MIN_USEC;

	for (unsigned int i = 1; i < peer->failures && wait < BACKOFF_MAX_USEC;
	     i++)
		wait *= 2;
	return wait < BACKOFF_MAX_USEC ? wait : BACKOFF_MAX_USEC;
}

/*
 * Sets the timer for the next attempt and reports a failed one.
 */
static void
schedule_retry(struct peer *peer)
{
	peer->failures++;
	loop_timer_set(
	    peer->timer, loop_now(peer->context->loop) + backoff(peer));
	if (peer->ops->failed != NULL)
		peer->ops->failed(peer, peer->failures, peer->arg);
}

/*
 * Starts a connection attempt.
 */
static void
on_connect_timer(void *arg)
{
	struct peer *peer = arg;

	if (peer->link != NULL)
		return;
	if (link_connect(peer->context, peer->address, &link_callbacks, peer,
		&peer->link) != STATUS_OK) {
		peer->link = NULL;
		schedule_retry(peer);
	}
}

/*
 * Creates a peer and starts to connect to "ip:port". The context and ops must
 * outlive it.
 */
enum status
peer_create(const struct link_context *context, const char *address,
    const struct peer_ops *ops, void *arg, struct peer **out)
{
	struct peer *peer = calloc(1, sizeof(*peer));
	enum status status;

	if (peer == NULL)
		return status_set(STATUS_NO_MEMORY, "peer");
	peer->context = context;
	peer->ops = ops;
	peer->arg = arg;
	peer->address = strdup(address);
	status = loop_timer_create(
	    context->loop, on_connect_timer, peer, &peer->timer);
	if (peer->address == NULL || status != STATUS_OK) {
		loop_timer_destroy(peer->timer);
		free(peer->address);
		free(peer);
		return status_set(STATUS_NO_MEMORY, "peer");
	}
	loop_timer_set(peer->timer, 0);
	*out = peer;
	return STATUS_OK;
}

/*
 * Closes the connection without a further callback and frees the peer.
 */
void
peer_destroy(struct peer *peer)
{
	if (peer == NULL)
		return;
	if (peer->link != NULL) {
		link_orphan(peer->link);
		link_close(peer->link, STATUS_CLOSED);
	}
	loop_timer_destroy(peer->timer);
	free(peer->address);
	free(peer);
}

/*
 * Tells whether a link is established.
 */
bool
peer_is_up(const struct peer *peer)
{
	return peer->up;
}

/*
 * Sends a message; STATUS_CLOSED when no link is established.
 */
enum status
peer_send(struct peer *peer, const Ch__Frame *frame)
{
	if (!peer->up)
		return status_set(
		    STATUS_CLOSED, "no link to %s", peer->address);
	return link_send(peer->link, frame);
}

/*
 * Returns the Hello of the other process, or NULL while no link is up.
 */
const Ch__Hello *
peer_hello(const struct peer *peer)
{
	return peer->up ? link_peer(peer->link) : NULL;
}

/*
 * Returns the address that the peer connects to.
 */
const char *
peer_address(const struct peer *peer)
{
	return peer->address;
}

/*
 * Drops the present link, if any, and connects at once.
 */
void
peer_reconnect(struct peer *peer)
{
	if (peer->link != NULL)
		link_close(peer->link, STATUS_CLOSED);
	else
		loop_timer_set(peer->timer, 0);
}

/*
 * Passes on that a link is established.
 */
static void
on_link_up(struct link *link, void *arg)
{
	struct peer *peer = arg;

	(void)link;
	peer->up = true;
	peer->failures = 0;
	peer->ops->up(peer, peer->arg);
}

/*
 * Passes on a message.
 */
static void
on_link_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct peer *peer = arg;

	(void)link;
	peer->ops->frame(peer, frame, peer->arg);
}

/*
 * Passes on the loss of an established link and connects again at once, so
 * that a broken connection is told apart from a dead peer; after a failed
 * attempt it waits.
 */
static void
on_link_down(struct link *link, enum status status, void *arg)
{
	struct peer *peer = arg;
	bool was_up = peer->up;

	(void)link;
	peer->link = NULL;
	peer->up = false;
	if (!was_up) {
		schedule_retry(peer);
		return;
	}
	loop_timer_set(peer->timer, 0);
	peer->ops->down(peer, status, peer->arg);
}
