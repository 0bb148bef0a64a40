#ifndef CH_LINK_H
#define CH_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "frame.h"
#include "loop.h"

/* An encrypted message connection between two chestnuthoist processes. */
struct link;
struct link_listener;

/*
 * Callbacks to the owner of a link. up is called once, when the peer's Hello
 * has arrived; frame for each later message except pings and pongs; down once,
 * after which the link is freed. A callback may call link_close() on its own
 * link: down follows in a later iteration of the loop.
 */
struct link_ops {
	void (*up)(struct link *, void *);
	void (*frame)(struct link *, const Ch__Frame *, void *);
	void (*down)(struct link *, enum status, void *);
};

/* Shared by all links of a process. hello is not owned. */
struct link_context {
	struct loop *loop;
	uint8_t key[FRAME_KEY_BYTES];
	const Ch__Hello *hello;
	/*
	 * A link that receives nothing for longer is closed (STATUS_TIMEOUT).
	 */
	int64_t silence_limit_usec;
	size_t queue_max_bytes;
	/* Accepted links that are not up yet; 0: LINK_PENDING_MAX. If there are
	 * more, the oldest is closed. */
	unsigned int pending_max;
};

#define LINK_PING_INTERVAL_USEC (1 * LOOP_USEC_PER_SEC)
#define LINK_SILENCE_LIMIT_USEC (3 * LOOP_USEC_PER_SEC)
#define LINK_QUEUE_MAX_BYTES ((size_t)8 * 1024 * 1024)
#define LINK_PENDING_MAX 256
#define LINK_PROTOCOL 1

enum status link_listen(const struct link_context *, const char *,
    const struct link_ops *, void *, struct link_listener **);
uint16_t link_listener_port(const struct link_listener *);
void link_listener_destroy(struct link_listener *);

enum status link_connect(const struct link_context *, const char *,
    const struct link_ops *, void *, struct link **);
enum status link_send(struct link *, const Ch__Frame *);
void link_close(struct link *, enum status);
void link_detach(struct link *);
const Ch__Hello *link_peer(const struct link *);
void link_set_data(struct link *, void *);
void *link_get_data(const struct link *);
size_t link_queued_bytes(const struct link *);
void link_register_metrics(void);

#endif
