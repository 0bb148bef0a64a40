#ifndef CH_PEER_H
#define CH_PEER_H

#include "link.h"

/*
 * A persistent connection to another process, which is re-established with
 * backoff until it is destroyed.
 */
struct peer;

/*
 * up: a link was established or re-established. frame: a message was received.
 * down: an established link was lost or timed out. failed: a connection attempt
 * failed; the argument counts the failed attempts since the last up.
 */
struct peer_ops {
	void (*up)(struct peer *, void *);
	void (*frame)(struct peer *, const Ch__Frame *, void *);
	void (*down)(struct peer *, enum status, void *);
	void (*failed)(struct peer *, unsigned int, void *);
};

enum status peer_create(const struct link_context *, const char *,
    const struct peer_ops *, void *, struct peer **);
void peer_destroy(struct peer *);
bool peer_is_up(const struct peer *);
enum status peer_send(struct peer *, const Ch__Frame *);
const Ch__Hello *peer_hello(const struct peer *);
const char *peer_address(const struct peer *);
void peer_reconnect(struct peer *);

#endif
