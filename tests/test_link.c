#include "harness.h"

#include <poll.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "link.h"
#include "peer.h"

/*
 * A listener and a peer in one loop, and what they have seen.
 */
struct fixture {
	struct loop *loop;
	struct link_context context;
	Ch__Hello hello;
	struct link_listener *listener;
	struct link *accepted;
	struct peer *peer;
	char address[32];
	int ups;
	int downs;
	int failures;
	uint64_t last_stream;
	/* Socket of a caller that sends nothing. */
	int raw;
};

static void
server_up(struct link *link, void *arg)
{
	struct fixture *w = arg;

	w->accepted = link;
}

static void
server_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct fixture *w = arg;

	(void)link;
	w->last_stream = frame->cancel->stream;
}

static void
server_down(struct link *link, enum status status, void *arg)
{
	struct fixture *w = arg;

	(void)status;
	if (w->accepted == link)
		w->accepted = NULL;
}

static const struct link_ops server_ops = {
    server_up, server_frame, server_down};

static void
peer_up(struct peer *peer, void *arg)
{
	(void)peer;
	((struct fixture *)arg)->ups++;
}

static void
peer_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	(void)peer;
	(void)frame;
	(void)arg;
}

static void
peer_down(struct peer *peer, enum status status, void *arg)
{
	(void)peer;
	(void)status;
	((struct fixture *)arg)->downs++;
}

static void
peer_failed(struct peer *peer, unsigned int attempts, void *arg)
{
	(void)peer;
	(void)attempts;
	((struct fixture *)arg)->failures++;
}

static const struct peer_ops peer_callbacks = {
    peer_up, peer_frame, peer_down, peer_failed};

/*
 * Starts the listener and the peer.
 */
static void
fixture_start(struct fixture *w)
{
	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ch__hello__init(&w->hello);
	w->hello.node = "n1";
	w->hello.protocol = LINK_PROTOCOL;
	w->context.loop = w->loop;
	w->context.hello = &w->hello;
	w->context.silence_limit_usec = 300 * LOOP_USEC_PER_MSEC;
	w->context.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	ck_assert_int_eq(link_listen(&w->context, "127.0.0.1:0", &server_ops, w,
			     &w->listener),
	    STATUS_OK);
	snprintf(w->address, sizeof(w->address), "127.0.0.1:%u",
	    link_listener_port(w->listener));
	ck_assert_int_eq(
	    peer_create(&w->context, w->address, &peer_callbacks, w, &w->peer),
	    STATUS_OK);
}

/*
 * Connects to a port and sends nothing.
 */
static int
connect_raw(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/*
 * Reads what is left and tells whether the other end closed the connection.
 */
static bool
is_closed(int fd)
{
	char bytes[256];
	ssize_t n;

	do
		n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	while (n > 0);
	return n == 0;
}

static bool
both_up(void *arg)
{
	struct fixture *w = arg;

	return w->accepted != NULL && peer_is_up(w->peer);
}

static bool
stream_seen(void *arg)
{
	return ((struct fixture *)arg)->last_stream == 5;
}

static bool
up_twice(void *arg)
{
	struct fixture *w = arg;

	return w->ups >= 2 && w->downs >= 1 && both_up(w);
}

static bool
failed_once(void *arg)
{
	return ((struct fixture *)arg)->failures >= 1;
}

/* Guards against messages that get lost between two processes. */
START_TEST(message_goes_through)
{
	struct fixture w;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Cancel cancel = CH__CANCEL__INIT;

	fixture_start(&w);
	ck_assert(harness_wait(w.loop, both_up, &w));
	cancel.stream = 5;
	frame.kind_case = CH__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	ck_assert_int_eq(peer_send(w.peer, &frame), STATUS_OK);
	ck_assert(harness_wait(w.loop, stream_seen, &w));
}
END_TEST

/* Guards against a connection that stays lost. */
START_TEST(lost_connection_is_replaced)
{
	struct fixture w;

	fixture_start(&w);
	ck_assert(harness_wait(w.loop, both_up, &w));
	link_close(w.accepted, STATUS_CLOSED);
	ck_assert(harness_wait(w.loop, up_twice, &w));
}
END_TEST

/*
 * Guards against a silent connection that is kept for good. With a silence
 * limit far below the ping interval every connection looks silent.
 */
START_TEST(silent_connection_is_replaced)
{
	struct fixture w;

	fixture_start(&w);
	ck_assert(harness_wait(w.loop, up_twice, &w));
}
END_TEST

/* Guards against a dead peer that is not noticed. */
START_TEST(failed_attempt_is_reported)
{
	struct fixture w;

	fixture_start(&w);
	ck_assert(harness_wait(w.loop, both_up, &w));
	link_listener_destroy(w.listener);
	link_close(w.accepted, STATUS_CLOSED);
	ck_assert(harness_wait(w.loop, failed_once, &w));
}
END_TEST

static bool
connection_waits(void *arg)
{
	struct fixture *w = arg;
	struct pollfd descriptor = {w->raw, POLLIN, 0};

	return poll(&descriptor, 1, 0) == 1;
}

/*
 * Guards against an accepted link that comes up after its listener is gone
 * and calls an owner that is being destroyed.
 */
START_TEST(link_does_not_come_up_after_its_listener)
{
	struct fixture w;

	fixture_start(&w);
	w.raw = connect_raw(link_listener_port(w.listener));
	/* The preface of the listener's end shows that it has accepted. */
	ck_assert(harness_wait(w.loop, connection_waits, &w));
	peer_destroy(w.peer);
	link_listener_destroy(w.listener);
	w.accepted = NULL;
	w.ups = 0;
	for (int i = 0; i < 20; i++)
		loop_run_once(w.loop, loop_now(w.loop) + LOOP_USEC_PER_MSEC);
	ck_assert_ptr_null(w.accepted);
	ck_assert(is_closed(w.raw));
	close(w.raw);
}
END_TEST

HARNESS_MAIN("link", link_does_not_come_up_after_its_listener,
    message_goes_through, lost_connection_is_replaced,
    silent_connection_is_replaced, failed_attempt_is_reported)
