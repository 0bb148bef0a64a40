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
 * Returns the delay before the next connection attempt in microseconds; it
 * doubles with each failure up to BACKOFF_MAX_USEC.
 */
static int64_t
backoff_usec(const struct peer *peer)
{
	int64_t delay = BACKOFF_MIN_USEC;

	for (unsigned int i = 1; i < peer->failures && delay < BACKOFF_MAX_USEC;
	     i++)
		delay *= 2;
	return delay < BACKOFF_MAX_USEC ? delay : BACKOFF_MAX_USEC;
}

/*
 * Schedules the next connection attempt after a failure, and reports the
 * failure.
 */
static void
schedule_retry(struct peer *peer)
{
	peer->failures++;
	loop_timer_set(
	    peer->timer, loop_now(peer->context->loop) + backoff_usec(peer));
	if (peer->ops->failed != NULL)
		peer->ops->failed(peer, peer->failures, peer->arg);
}

/*
 * Starts a connection attempt unless one is in progress or established.
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
 * Creates a peer and schedules the first connection attempt to "ip:port". The
 * context and ops must outlive it. STATUS_NO_MEMORY: the peer could not be
 * created.
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
 * Closes the connection and frees the peer; no further callbacks are made.
 */
void
peer_destroy(struct peer *peer)
{
	if (peer == NULL)
		return;
	if (peer->link != NULL) {
		link_detach(peer->link);
		link_close(peer->link, STATUS_CLOSED);
	}
	loop_timer_destroy(peer->timer);
	free(peer->address);
	free(peer);
}

/*
 * Returns whether a link is established.
 */
bool
peer_is_up(const struct peer *peer)
{
	return peer->up;
}

/*
 * Sends a message. STATUS_CLOSED: no link is established.
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
 * Returns the Hello message of the remote process, or NULL if no link is
 * established.
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
 * Closes the current link, if any, and reconnects immediately.
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
 * Handles an established link: resets the backoff and calls the up callback.
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
 * Passes a received message to the frame callback.
 */
static void
on_link_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct peer *peer = arg;

	(void)link;
	peer->ops->frame(peer, frame, peer->arg);
}

/*
 * Handles a closed link. The loss of an established link is reported and
 * followed by an immediate connection attempt, which distinguishes a broken
 * connection from a dead process. After a failed attempt, the next one waits
 * for the backoff delay.
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
