#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <glib.h>

#include "link.h"
#include "log.h"
#include "metric.h"
#include "settings.h"

#define READ_CHUNK_BYTES ((size_t)65536)
#define LISTEN_BACKLOG 512
/* Connections accepted at once, before closed ones are freed. */
#define ACCEPT_BATCH 16
/* Limit of the first message of an accepted link. A Hello has three names and
 * is smaller; a stranger can make the link keep no more. */
#define HELLO_MAX_BYTES 4096
#define LINKS_MAX 8192
#define CHECK_INTERVAL_USEC (250 * LOOP_USEC_PER_MSEC)
#define ADDRESS_TEXT_MAX 64

struct link {
	const struct link_context *context;
	const struct link_ops *ops;
	void *arg;
	void *data;
	int fd;
	struct loop_watch *watch;
	struct loop_timer *timer;
	struct frame_codec *codec;
	struct lstr_buf in;
	struct lstr_buf out;
	Ch__Hello *peer;
	char address[ADDRESS_TEXT_MAX];
	int64_t last_read_at;
	int64_t next_ping_at;
	uint64_t ping_sequence;
	bool connecting;
	bool hello_sent;
	bool closing;
	enum status close_status;
	/* The listener that accepted the link, until the Hello arrives. */
	struct link_listener *listener;
	GList pending_node;
	/* An accepted link that is not up by then is closed. */
	int64_t up_deadline;
};

struct link_listener {
	const struct link_context *context;
	const struct link_ops *ops;
	void *arg;
	int fd;
	uint16_t port;
	struct loop_watch *watch;
	/* Accepted links whose up callback has not been called yet, the oldest
	 * first. */
	GQueue pending;
};

static struct metric frames_sent = {"chestnuthoist_link_frames_total",
    "direction=\"out\"", "Messages between chestnuthoist processes.",
    METRIC_COUNTER, 0, NULL};
static struct metric frames_received = {"chestnuthoist_link_frames_total",
    "direction=\"in\"", "Messages between chestnuthoist processes.",
    METRIC_COUNTER, 0, NULL};
static struct metric bytes_sent = {"chestnuthoist_link_bytes_total",
    "direction=\"out\"", "Bytes between chestnuthoist processes.",
    METRIC_COUNTER, 0, NULL};
static struct metric bytes_received = {"chestnuthoist_link_bytes_total",
    "direction=\"in\"", "Bytes between chestnuthoist processes.",
    METRIC_COUNTER, 0, NULL};
static struct metric links_open = {"chestnuthoist_links", "",
    "Open connections to chestnuthoist processes.", METRIC_GAUGE, 0, NULL};
static struct metric links_silent = {"chestnuthoist_links_silent_total", "",
    "Connections closed because no bytes arrived.", METRIC_COUNTER, 0, NULL};

static void on_check(void *);
static void on_io(void *, unsigned int);

/*
 * Registers the metrics of all links of the process.
 */
void
link_register_metrics(void)
{
	metric_register(&frames_sent);
	metric_register(&frames_received);
	metric_register(&bytes_sent);
	metric_register(&bytes_received);
	metric_register(&links_open);
	metric_register(&links_silent);
}

/*
 * Removes an accepted link from the pending links of its listener.
 */
static void
remove_from_pending(struct link *link)
{
	if (link->listener != NULL)
		g_queue_unlink(&link->listener->pending, &link->pending_node);
	link->listener = NULL;
}

/*
 * Frees a link. Its owner must have been notified, or never have received it.
 */
static void
link_free(struct link *link)
{
	remove_from_pending(link);
	loop_watch_destroy(link->watch);
	loop_timer_destroy(link->timer);
	if (link->fd >= 0) {
		close(link->fd);
		links_open.value--;
	}
	frame_codec_destroy(link->codec);
	lstr_buf_free(&link->in);
	lstr_buf_free(&link->out);
	if (link->peer != NULL)
		ch__hello__free_unpacked(link->peer, NULL);
	free(link);
}

/*
 * Makes a socket non-blocking and close-on-exec, and disables Nagle's
 * algorithm.
 */
static void
configure_socket(int fd)
{
	int on = 1;

	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	fcntl(fd, F_SETFD, FD_CLOEXEC);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/*
 * Creates a link on a connected or connecting socket and takes ownership of the
 * socket, which is closed on failure.
 */
static enum status
link_create(const struct link_context *context, int fd, bool client,
    const struct link_ops *ops, void *arg, struct link **out)
{
	struct link *link = calloc(1, sizeof(*link));
	enum status status;

	if (link == NULL) {
		close(fd);
		return status_set(STATUS_NO_MEMORY, "link");
	}
	link->context = context;
	link->ops = ops;
	link->arg = arg;
	link->fd = fd;
	links_open.value++;
	link->connecting = client;
	link->last_read_at = loop_now(context->loop);
	configure_socket(fd);
	status = frame_codec_create(context->key, client, &link->codec);
	if (status == STATUS_OK)
		status = frame_write_preface(link->codec, &link->out);
	if (status == STATUS_OK)
		status = loop_watch_create(context->loop, fd,
		    LOOP_READ | LOOP_WRITE, on_io, link, &link->watch);
	if (status == STATUS_OK)
		status = loop_timer_create(
		    context->loop, on_check, link, &link->timer);
	if (status != STATUS_OK) {
		link_free(link);
		return status;
	}
	loop_timer_set(link->timer, link->last_read_at + CHECK_INTERVAL_USEC);
	*out = link;
	return STATUS_OK;
}

/*
 * Closes a link. I/O stops immediately; the owner's down callback and the
 * release of the memory follow in the next iteration of the loop. Further calls
 * have no effect.
 */
void
link_close(struct link *link, enum status status)
{
	if (link->closing)
		return;
	link->closing = true;
	link->close_status = status;
	loop_watch_set(link->watch, 0);
	loop_timer_set(link->timer, 0);
}

/*
 * Writes as much of the output queue as the socket accepts.
 */
static void
flush(struct link *link)
{
	while (link->out.len > 0) {
		ssize_t n =
		    send(link->fd, link->out.data, link->out.len, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0) {
			status_set(STATUS_IO, "send: %s", strerror(errno));
			link_close(link, STATUS_IO);
			return;
		}
		bytes_sent.value += n;
		lstr_buf_consume(&link->out, (size_t)n);
	}
	loop_watch_set(
	    link->watch, LOOP_READ | (link->out.len > 0 ? LOOP_WRITE : 0));
}

/*
 * Encrypts and queues one message, then tries to write it.
 */
static enum status
queue_frame(struct link *link, const Ch__Frame *frame)
{
	enum status status;

	if (link->out.len > link->context->queue_max_bytes) {
		log_event(EV_LINK_FULL, "peer=%s queued=%zu",
		    link->peer ? link->peer->node : link->address,
		    link->out.len);
		link_close(link, STATUS_FULL);
		return status_set(STATUS_FULL, "output queue is full");
	}
	status = frame_write(link->codec, frame, &link->out);
	if (status != STATUS_OK)
		return status;
	frames_sent.value++;
	if (!link->connecting)
		flush(link);
	return STATUS_OK;
}

/*
 * Queues a message. The caller keeps ownership of the frame. Returns
 * STATUS_CLOSED if the link is not up, and STATUS_FULL if the message is too
 * large or the peer reads too slowly; in the latter case the link is closed.
 */
enum status
link_send(struct link *link, const Ch__Frame *frame)
{
	if (link->closing || link->peer == NULL)
		return status_set(STATUS_CLOSED, "link is not up");
	return queue_frame(link, frame);
}

/*
 * Sends this process's Hello. The codec must be ready.
 */
static void
send_hello(struct link *link)
{
	Ch__Frame frame = CH__FRAME__INIT;

	frame.kind_case = CH__FRAME__KIND_HELLO;
	frame.hello = (Ch__Hello *)link->context->hello;
	link->hello_sent = true;
	if (queue_frame(link, &frame) != STATUS_OK)
		link_close(link, STATUS_IO);
}

/*
 * Handles the first message, which must be a Hello with the same protocol
 * version.
 */
static void
handle_hello(struct link *link, Ch__Frame *frame)
{
	if (frame->kind_case != CH__FRAME__KIND_HELLO ||
	    frame->hello->protocol != LINK_PROTOCOL) {
		log_event(EV_LINK_REFUSED,
		    "address=%s reason=\"wrong first message\"", link->address);
		link_close(link, STATUS_DENIED);
		return;
	}
	link->peer = frame->hello;
	frame->kind_case = CH__FRAME__KIND__NOT_SET;
	frame->hello = NULL;
	if (link->peer->compress && link->context->hello->compress &&
	    frame_enable_compression(link->codec) != STATUS_OK) {
		link_close(link, STATUS_NO_MEMORY);
		return;
	}
	remove_from_pending(link);
	frame_set_max(link->codec, SIZE_MAX);
	log_event(EV_LINK_UP, "peer=%s role=%d address=%s", link->peer->node,
	    (int)link->peer->role, link->address);
	link->ops->up(link, link->arg);
}

/*
 * Handles one message of an established link.
 */
static void
handle_frame(struct link *link, const Ch__Frame *frame)
{
	Ch__Frame reply = CH__FRAME__INIT;
	Ch__Pong pong = CH__PONG__INIT;

	switch (frame->kind_case) {
	case CH__FRAME__KIND_PING:
		pong.sequence = frame->ping->sequence;
		reply.kind_case = CH__FRAME__KIND_PONG;
		reply.pong = &pong;
		queue_frame(link, &reply);
		break;
	case CH__FRAME__KIND_PONG:
	case CH__FRAME__KIND_HELLO:
	case CH__FRAME__KIND__NOT_SET:
		break;
	default:
		link->ops->frame(link, frame, link->arg);
		break;
	}
}

/*
 * Processes all complete messages in the input buffer.
 */
static void
process_input(struct link *link)
{
	while (!link->closing) {
		Ch__Frame *frame = NULL;
		enum status status =
		    frame_read(link->codec, &link->in, &frame, &link->out);

		if (status != STATUS_OK) {
			log_event(EV_LINK_REFUSED, "address=%s reason=\"%s\"",
			    link->address, status_message());
			link_close(link, status);
			return;
		}
		if (frame_is_ready(link->codec) && !link->hello_sent)
			send_hello(link);
		if (frame == NULL)
			break;
		frames_received.value++;
		if (link->peer == NULL)
			handle_hello(link, frame);
		else
			handle_frame(link, frame);
		ch__frame__free_unpacked(frame, NULL);
	}
	if (!link->closing)
		flush(link);
}

/*
 * Reads once from the socket; the pollset reports it again if more is left.
 */
static void
read_input(struct link *link)
{
	static char chunk[READ_CHUNK_BYTES];
	ssize_t n = recv(link->fd, chunk, sizeof(chunk), 0);

	if (n < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (n <= 0) {
		status_set(STATUS_CLOSED, "%s",
		    n == 0 ? "closed by the peer" : strerror(errno));
		link_close(link, STATUS_CLOSED);
		return;
	}
	bytes_received.value += n;
	link->last_read_at = loop_now(link->context->loop);
	if (lstr_buf_append(&link->in, lstr_make(chunk, (size_t)n)) !=
	    STATUS_OK) {
		link_close(link, STATUS_NO_MEMORY);
		return;
	}
	process_input(link);
}

/*
 * Completes a connection attempt and returns whether it succeeded.
 */
static bool
finish_connect(struct link *link)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		status_set(STATUS_UNAVAILABLE, "connect %s: %s", link->address,
		    strerror(error));
		link_close(link, STATUS_UNAVAILABLE);
		return false;
	}
	link->connecting = false;
	link->last_read_at = loop_now(link->context->loop);
	return true;
}

/*
 * Handles readiness of the socket.
 */
static void
on_io(void *arg, unsigned int events)
{
	struct link *link = arg;

	if (link->connecting && !finish_connect(link))
		return;
	if (events & LOOP_WRITE)
		flush(link);
	if (!link->closing && (events & LOOP_READ))
		read_input(link);
}

/*
 * Notifies the owner that a link is down and frees the link.
 */
static void
finish_close(struct link *link)
{
	if (link->peer != NULL)
		log_event(EV_LINK_DOWN, "peer=%s role=%d reason=%s",
		    link->peer->node, (int)link->peer->role,
		    status_name(link->close_status));
	link->ops->down(link, link->close_status, link->arg);
	link_free(link);
}

/*
 * Sends a ping if one is due and nothing was received recently.
 */
static void
send_ping(struct link *link, int64_t now)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Ping ping = CH__PING__INIT;

	if (link->peer == NULL || now < link->next_ping_at)
		return;
	link->next_ping_at = now + LINK_PING_INTERVAL_USEC;
	if (now - link->last_read_at < LINK_PING_INTERVAL_USEC / 2)
		return;
	ping.sequence = ++link->ping_sequence;
	frame.kind_case = CH__FRAME__KIND_PING;
	frame.ping = &ping;
	queue_frame(link, &frame);
}

/*
 * Runs every CHECK_INTERVAL_USEC: completes a close, closes a link that is
 * silent or does not come up, and sends pings.
 */
static void
on_check(void *arg)
{
	struct link *link = arg;
	int64_t now = loop_now(link->context->loop);

	if (link->closing) {
		finish_close(link);
		return;
	}
	if (now - link->last_read_at > link->context->silence_limit_usec ||
	    (link->listener != NULL && now > link->up_deadline)) {
		links_silent.value++;
		log_event(EV_LINK_SILENT, "peer=%s",
		    link->peer ? link->peer->node : link->address);
		link_close(link, STATUS_TIMEOUT);
		return;
	}
	send_ping(link, now);
	if (!link->closing)
		loop_timer_set(link->timer, now + CHECK_INTERVAL_USEC);
}

/*
 * Parses "ip:port" into a socket address.
 */
static enum status
parse_address(const char *text, struct sockaddr_storage *out, socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
	char *host = NULL;
	uint16_t port = 0;
	enum status status = settings_split_address(text, &host, &port);

	if (status != STATUS_OK)
		return status;
	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		*len = sizeof(*v4);
	} else {
		inet_pton(AF_INET6, host, &v6->sin6_addr);
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		*len = sizeof(*v6);
	}
	free(host);
	return STATUS_OK;
}

/*
 * Starts connecting to "ip:port". On success up is called, on failure down. The
 * context must outlive the link; the address is copied.
 */
enum status
link_connect(const struct link_context *context, const char *address,
    const struct link_ops *ops, void *arg, struct link **out)
{
	struct sockaddr_storage addr;
	socklen_t len;
	enum status status = parse_address(address, &addr, &len);
	int fd;

	if (status != STATUS_OK)
		return status;
	fd = socket(addr.ss_family, SOCK_STREAM, 0);
	if (fd < 0)
		return status_set(STATUS_IO, "socket: %s", strerror(errno));
	configure_socket(fd);
	if (connect(fd, (struct sockaddr *)&addr, len) != 0 &&
	    errno != EINPROGRESS) {
		status = status_set(STATUS_UNAVAILABLE, "connect %s: %s",
		    address, strerror(errno));
		close(fd);
		return status;
	}
	status = link_create(context, fd, true, ops, arg, out);
	if (status == STATUS_OK)
		snprintf((*out)->address, ADDRESS_TEXT_MAX, "%s", address);
	return status;
}

/*
 * Closes the oldest links that are not up while there are more than allowed.
 * Connections of strangers are among them; a peer whose link is closed connects
 * again.
 */
static void
limit_pending(struct link_listener *listener)
{
	unsigned int max = listener->context->pending_max;

	if (max == 0)
		max = LINK_PENDING_MAX;
	while (listener->pending.length > max) {
		struct link *oldest = listener->pending.head->data;

		remove_from_pending(oldest);
		link_detach(oldest);
		link_close(oldest, STATUS_FULL);
	}
}

/*
 * Accepts waiting connections; the pollset reports again if more wait.
 */
static void
on_accept(void *arg, unsigned int events)
{
	struct link_listener *listener = arg;

	(void)events;
	for (int i = 0; i < ACCEPT_BATCH; i++) {
		struct link *link = NULL;
		int fd = accept(listener->fd, NULL, NULL);

		if (fd < 0)
			return;
		if (links_open.value >= LINKS_MAX) {
			log_event(EV_LINK_REFUSED,
			    "address=accepted reason=\"%d links are open\"",
			    LINKS_MAX);
			close(fd);
			continue;
		}
		if (link_create(listener->context, fd, false, listener->ops,
			listener->arg, &link) != STATUS_OK)
			continue;
		assert(link != NULL);
		snprintf(link->address, ADDRESS_TEXT_MAX, "accepted");
		link->listener = listener;
		link->up_deadline =
		    link->last_read_at + listener->context->silence_limit_usec;
		link->pending_node.data = link;
		frame_set_max(link->codec, HELLO_MAX_BYTES);
		g_queue_push_tail_link(&listener->pending, &link->pending_node);
		limit_pending(listener);
	}
}

/*
 * Binds a listening socket and stores the port that the kernel assigned.
 */
static enum status
bind_listener(struct link_listener *listener, const char *address)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int on = 1;
	enum status status = parse_address(address, &addr, &len);

	if (status != STATUS_OK)
		return status;
	listener->fd = socket(addr.ss_family, SOCK_STREAM, 0);
	if (listener->fd < 0)
		return status_set(STATUS_IO, "socket: %s", strerror(errno));
	configure_socket(listener->fd);
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener->fd, (struct sockaddr *)&addr, len) != 0 ||
	    listen(listener->fd, LISTEN_BACKLOG) != 0)
		return status_set(
		    STATUS_IO, "listen on %s: %s", address, strerror(errno));
	len = sizeof(addr);
	getsockname(listener->fd, (struct sockaddr *)&addr, &len);
	listener->port = ntohs(addr.ss_family == AF_INET
		? ((struct sockaddr_in *)&addr)->sin_port
		: ((struct sockaddr_in6 *)&addr)->sin6_port);
	return STATUS_OK;
}

/*
 * Listens on "ip:port"; with port 0 the kernel chooses the port. Accepted links
 * are reported by up. The context must outlive the listener and its links.
 */
enum status
link_listen(const struct link_context *context, const char *address,
    const struct link_ops *ops, void *arg, struct link_listener **out)
{
	struct link_listener *listener = calloc(1, sizeof(*listener));
	enum status status;

	if (listener == NULL)
		return status_set(STATUS_NO_MEMORY, "listener");
	listener->context = context;
	listener->ops = ops;
	listener->arg = arg;
	listener->fd = -1;
	g_queue_init(&listener->pending);
	status = bind_listener(listener, address);
	if (status == STATUS_OK)
		status = loop_watch_create(context->loop, listener->fd,
		    LOOP_READ, on_accept, listener, &listener->watch);
	if (status != STATUS_OK) {
		link_listener_destroy(listener);
		return status;
	}
	*out = listener;
	return STATUS_OK;
}

/*
 * Returns the port in host byte order.
 */
uint16_t
link_listener_port(const struct link_listener *listener)
{
	return listener->port;
}

/*
 * Stops listening. Accepted links that are up are not affected. Those that are
 * not up yet are closed without a callback, because their owner may be gone by
 * the time they come up.
 */
void
link_listener_destroy(struct link_listener *listener)
{
	if (listener == NULL)
		return;
	while (listener->pending.length > 0) {
		struct link *link = listener->pending.head->data;

		remove_from_pending(link);
		link_detach(link);
		link_close(link, STATUS_CLOSED);
	}
	loop_watch_destroy(listener->watch);
	if (listener->fd >= 0)
		close(listener->fd);
	free(listener);
}

/*
 * Ignores that a link without an owner has come up.
 */
static void
ignore_up(struct link *link, void *arg)
{
	(void)link;
	(void)arg;
}

/*
 * Ignores a message on a link without an owner.
 */
static void
ignore_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	(void)link;
	(void)frame;
	(void)arg;
}

/*
 * Ignores that a link without an owner has gone down.
 */
static void
ignore_down(struct link *link, enum status status, void *arg)
{
	(void)link;
	(void)status;
	(void)arg;
}

/*
 * Detaches a link from its owner: no callback is called any more. The link
 * frees itself when it is closed.
 */
void
link_detach(struct link *link)
{
	static const struct link_ops ignore = {
	    ignore_up, ignore_frame, ignore_down};

	link->ops = &ignore;
	link->arg = NULL;
}

/*
 * Returns the Hello of the peer, valid as long as the link; NULL before up.
 */
const Ch__Hello *
link_peer(const struct link *link)
{
	return link->peer;
}

/*
 * Stores a user pointer of the owner in the link.
 */
void
link_set_data(struct link *link, void *data)
{
	link->data = data;
}

/*
 * Returns the owner's user pointer.
 */
void *
link_get_data(const struct link *link)
{
	return link->data;
}

/*
 * Returns the number of queued bytes not yet written to the socket.
 */
size_t
link_queued_bytes(const struct link *link)
{
	return link->out.len;
}
