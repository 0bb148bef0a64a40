#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "lstr.h"
#include "proxy.h"

#define READ_BYTES 16384

struct pair;

/* One direction of a connection. */
struct side {
	struct pair *pair;
	int fd;
	struct loop_watch *watch;
	/* Bytes to forward to the other side, and the earliest time for it. */
	struct lstr_buf pending;
	int64_t forward_at;
	/* The peer closed this side, or reading failed. */
	bool ended;
};

/* A proxied connection. */
struct pair {
	struct proxy *proxy;
	/* 0: the side that connected, 1: the target. */
	struct side sides[2];
	struct loop_timer *timer;
};

struct proxy {
	struct loop *loop;
	int fd;
	struct loop_watch *watch;
	struct sockaddr_in target;
	enum proxy_mode mode;
	GPtrArray *pairs;
};

/*
 * Closes both sides of a connection, with a TCP reset if requested.
 */
static void
pair_close(struct pair *pair, bool reset)
{
	const struct linger linger = {1, 0};

	for (int i = 0; i < 2; i++) {
		struct side *side = &pair->sides[i];

		loop_watch_destroy(side->watch);
		if (reset)
			setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &linger,
			    sizeof(linger));
		close(side->fd);
		lstr_buf_free(&side->pending);
	}
	loop_timer_destroy(pair->timer);
	g_ptr_array_remove_fast(pair->proxy->pairs, pair);
	g_free(pair);
}

/*
 * Returns true if bytes from a side may be forwarded now.
 */
static bool
can_forward(const struct side *side)
{
	const struct proxy *proxy = side->pair->proxy;

	if (proxy->mode == PROXY_SILENT)
		return false;
	if (proxy->mode == PROXY_ONE_WAY && side == &side->pair->sides[1])
		return false;
	return loop_now(proxy->loop) >= side->forward_at;
}

/*
 * Forwards the buffered bytes of a side unless the mode or delay forbids it.
 * Returns false if the connection must be closed.
 */
static bool
forward(struct side *side)
{
	struct side *other = side == &side->pair->sides[0]
	    ? &side->pair->sides[1]
	    : &side->pair->sides[0];

	if (!can_forward(side))
		return true;
	while (side->pending.len > 0) {
		ssize_t n = send(other->fd, side->pending.data,
		    side->pending.len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return true;
		if (n <= 0)
			return false;
		lstr_buf_consume(&side->pending, (size_t)n);
	}
	return !side->ended;
}

/*
 * Reads from a side and forwards the bytes.
 */
static void
on_readable(void *arg, unsigned int events)
{
	struct side *side = arg;
	const struct proxy *proxy = side->pair->proxy;
	char bytes[READ_BYTES];
	ssize_t n = recv(side->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	(void)events;
	if (n > 0) {
		if (side->pending.len == 0)
			side->forward_at = loop_now(proxy->loop) +
			    (proxy->mode == PROXY_DELAY ? PROXY_DELAY_USEC : 0);
		lstr_buf_append(&side->pending, lstr_make(bytes, (size_t)n));
	} else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
		side->ended = true;
		loop_watch_set(side->watch, 0);
	}
	if (!forward(side))
		pair_close(side->pair, n < 0);
}

/*
 * Retries forwarding every 10 ms, since the delay or mode may have ended.
 */
static void
on_timer(void *arg)
{
	struct pair *pair = arg;

	loop_timer_set(
	    pair->timer, loop_now(pair->proxy->loop) + 10 * LOOP_USEC_PER_MSEC);
	for (int i = 0; i < 2; i++) {
		if (!forward(&pair->sides[i])) {
			pair_close(pair, false);
			return;
		}
	}
}

/*
 * Accepts a connection and connects to the target.
 */
static void
on_accept(void *arg, unsigned int events)
{
	struct proxy *proxy = arg;
	int fd = accept4(proxy->fd, NULL, NULL, SOCK_CLOEXEC);
	int other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct pair *pair;

	(void)events;
	if (fd < 0 ||
	    connect(other, (struct sockaddr *)&proxy->target,
		sizeof(proxy->target)) != 0) {
		/* The target is down: close the connection. */
		if (fd >= 0)
			close(fd);
		close(other);
		return;
	}
	pair = g_new0(struct pair, 1);
	pair->proxy = proxy;
	pair->sides[0] = (struct side){.pair = pair, .fd = fd};
	pair->sides[1] = (struct side){.pair = pair, .fd = other};
	for (int i = 0; i < 2; i++)
		loop_watch_create(proxy->loop, pair->sides[i].fd, LOOP_READ,
		    on_readable, &pair->sides[i], &pair->sides[i].watch);
	loop_timer_create(proxy->loop, on_timer, pair, &pair->timer);
	g_ptr_array_add(proxy->pairs, pair);
	on_timer(pair);
}

/*
 * Creates a proxy to a loopback address; it listens on a port that the kernel
 * chooses.
 */
struct proxy *
proxy_new(struct loop *loop, const struct sockaddr_in *target)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	proxy->loop = loop;
	proxy->target = *target;
	proxy->pairs = g_ptr_array_new();
	proxy->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(
	    bind(proxy->fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(proxy->fd, 128), 0);
	loop_watch_create(
	    loop, proxy->fd, LOOP_READ, on_accept, proxy, &proxy->watch);
	return proxy;
}

/*
 * Closes all open connections with a TCP reset.
 */
void
proxy_reset(struct proxy *proxy)
{
	while (proxy->pairs->len > 0)
		pair_close(
		    g_ptr_array_index(proxy->pairs, proxy->pairs->len - 1),
		    true);
}

/*
 * Closes a proxy and its connections.
 */
void
proxy_free(struct proxy *proxy)
{
	proxy_reset(proxy);
	g_ptr_array_free(proxy->pairs, TRUE);
	loop_watch_destroy(proxy->watch);
	close(proxy->fd);
	g_free(proxy);
}

/*
 * Returns the port of a proxy.
 */
uint16_t
proxy_port(const struct proxy *proxy)
{
	struct sockaddr_in address = {0};
	socklen_t len = sizeof(address);

	getsockname(proxy->fd, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

/*
 * Sets the mode of all present and future connections.
 */
void
proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	proxy->mode = mode;
}
