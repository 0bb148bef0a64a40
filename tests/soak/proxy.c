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
struct half {
	struct pair *pair;
	int fd;
	struct loop_watch *watch;
	/* Bytes for the other side, and when they may go. */
	struct lstr_buf held;
	int64_t due_at;
	bool ended;
};

struct pair {
	struct proxy *proxy;
	/* 0: the side that connected, 1: the target. */
	struct half halves[2];
	struct loop_timer *timer;
};

struct proxy {
	struct loop *loop;
	int fd;
	struct loop_watch *watch;
	uint16_t target;
	enum proxy_mode mode;
	GPtrArray *pairs;
};

/*
 * Closes both sides of a connection; with a reset if wanted.
 */
static void
pair_close(struct pair *pair, bool reset)
{
	const struct linger linger = {1, 0};

	for (int i = 0; i < 2; i++) {
		struct half *half = &pair->halves[i];

		loop_watch_destroy(half->watch);
		if (reset)
			setsockopt(half->fd, SOL_SOCKET, SO_LINGER, &linger,
			    sizeof(linger));
		close(half->fd);
		lstr_buf_free(&half->held);
	}
	loop_timer_destroy(pair->timer);
	g_ptr_array_remove_fast(pair->proxy->pairs, pair);
	g_free(pair);
}

/*
 * Tells whether bytes from a side are passed on now.
 */
static bool
passes(const struct half *half)
{
	const struct proxy *proxy = half->pair->proxy;

	if (proxy->mode == PROXY_SILENT)
		return false;
	if (proxy->mode == PROXY_ONE_WAY && half == &half->pair->halves[1])
		return false;
	return loop_now(proxy->loop) >= half->due_at;
}

/*
 * Passes on what may go. Returns false when the connection is over.
 */
static bool
relay(struct half *half)
{
	struct half *other = half == &half->pair->halves[0]
	    ? &half->pair->halves[1]
	    : &half->pair->halves[0];

	if (!passes(half))
		return true;
	while (half->held.len > 0) {
		ssize_t n = send(other->fd, half->held.data, half->held.len,
		    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return true;
		if (n <= 0)
			return false;
		lstr_buf_consume(&half->held, (size_t)n);
	}
	return !half->ended;
}

/*
 * Bytes have arrived at a side.
 */
static void
on_half(void *arg, unsigned int events)
{
	struct half *half = arg;
	const struct proxy *proxy = half->pair->proxy;
	char bytes[READ_BYTES];
	ssize_t n = recv(half->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	(void)events;
	if (n > 0) {
		if (half->held.len == 0)
			half->due_at = loop_now(proxy->loop) +
			    (proxy->mode == PROXY_DELAY ? PROXY_DELAY_USEC : 0);
		lstr_buf_append(&half->held, lstr_make(bytes, (size_t)n));
	} else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
		half->ended = true;
		loop_watch_set(half->watch, 0);
	}
	if (!relay(half))
		pair_close(half->pair, n < 0);
}

/*
 * Looks again at what is held, several times a second.
 */
static void
on_timer(void *arg)
{
	struct pair *pair = arg;

	loop_timer_set(
	    pair->timer, loop_now(pair->proxy->loop) + 10 * LOOP_USEC_PER_MSEC);
	for (int i = 0; i < 2; i++) {
		if (!relay(&pair->halves[i])) {
			pair_close(pair, false);
			return;
		}
	}
}

/*
 * Accepts a connection and opens its other side.
 */
static void
on_accept(void *arg, unsigned int events)
{
	struct proxy *proxy = arg;
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(proxy->target),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = accept4(proxy->fd, NULL, NULL, SOCK_CLOEXEC);
	int other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct pair *pair;

	(void)events;
	if (fd < 0 ||
	    connect(other, (struct sockaddr *)&address, sizeof(address)) != 0) {
		/* The target is down: so is the connection. */
		if (fd >= 0)
			close(fd);
		close(other);
		return;
	}
	pair = g_new0(struct pair, 1);
	pair->proxy = proxy;
	pair->halves[0] = (struct half){.pair = pair, .fd = fd};
	pair->halves[1] = (struct half){.pair = pair, .fd = other};
	for (int i = 0; i < 2; i++)
		loop_watch_create(proxy->loop, pair->halves[i].fd, LOOP_READ,
		    on_half, &pair->halves[i], &pair->halves[i].watch);
	loop_timer_create(proxy->loop, on_timer, pair, &pair->timer);
	g_ptr_array_add(proxy->pairs, pair);
	on_timer(pair);
}

/*
 * Creates a proxy on a port that the kernel chooses.
 */
struct proxy *
proxy_new(struct loop *loop, uint16_t target)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	proxy->loop = loop;
	proxy->target = target;
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
 * Resets all connections that are open.
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
 * Changes what happens to the bytes.
 */
void
proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	proxy->mode = mode;
}
