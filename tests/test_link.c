#include "harness.h"

#include <poll.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "link.h"
#include "peer.h"

/*
 * A listener and a peer on one event loop, and the events they have received.
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
	/* Socket of a client that sends nothing. */
	int silent_fd;
};

static void
server_up(struct link *link, void *arg)
{
	struct fixture *f = arg;

	f->accepted = link;
}

static void
server_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct fixture *f = arg;

	(void)link;
	f->last_stream = frame->cancel->stream;
}

static void
server_down(struct link *link, enum status status, void *arg)
{
	struct fixture *f = arg;

	(void)status;
	if (f->accepted == link)
		f->accepted = NULL;
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
fixture_start(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ch__hello__init(&f->hello);
	f->hello.node = "n1";
	f->hello.protocol = LINK_PROTOCOL;
	f->context.loop = f->loop;
	f->context.hello = &f->hello;
	f->context.silence_limit_usec = 300 * LOOP_USEC_PER_MSEC;
	f->context.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	ck_assert_int_eq(link_listen(&f->context, "127.0.0.1:0", &server_ops, f,
			     &f->listener),
	    STATUS_OK);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
	    link_listener_port(f->listener));
	ck_assert_int_eq(
	    peer_create(&f->context, f->address, &peer_callbacks, f, &f->peer),
	    STATUS_OK);
}

/*
 * Connects to a port and sends nothing.
 */
static int
connect_silent(uint16_t port)
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
 * Discards the received bytes and returns whether the other end closed the
 * connection.
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
	struct fixture *f = arg;

	return f->accepted != NULL && peer_is_up(f->peer);
}

static bool
stream_seen(void *arg)
{
	return ((struct fixture *)arg)->last_stream == 5;
}

static bool
up_twice(void *arg)
{
	struct fixture *f = arg;

	return f->ups >= 2 && f->downs >= 1 && both_up(f);
}

static bool
failed_once(void *arg)
{
	return ((struct fixture *)arg)->failures >= 1;
}

/* Guards against losing messages between two processes. */
START_TEST(message_is_delivered)
{
	struct fixture f;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Cancel cancel = CH__CANCEL__INIT;

	fixture_start(&f);
	ck_assert(harness_wait(f.loop, both_up, &f));
	cancel.stream = 5;
	frame.kind_case = CH__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	ck_assert_int_eq(peer_send(f.peer, &frame), STATUS_OK);
	ck_assert(harness_wait(f.loop, stream_seen, &f));
}
END_TEST

/* Guards against a lost connection that is not re-established. */
START_TEST(lost_connection_is_replaced)
{
	struct fixture f;

	fixture_start(&f);
	ck_assert(harness_wait(f.loop, both_up, &f));
	link_close(f.accepted, STATUS_CLOSED);
	ck_assert(harness_wait(f.loop, up_twice, &f));
}
END_TEST

/*
 * Guards against keeping a silent connection open forever. The silence limit is
 * far below the ping interval here, so every connection appears silent.
 */
START_TEST(silent_connection_is_replaced)
{
	struct fixture f;

	fixture_start(&f);
	ck_assert(harness_wait(f.loop, up_twice, &f));
}
END_TEST

/* Guards against not detecting a dead peer. */
START_TEST(failed_attempt_is_reported)
{
	struct fixture f;

	fixture_start(&f);
	ck_assert(harness_wait(f.loop, both_up, &f));
	link_listener_destroy(f.listener);
	link_close(f.accepted, STATUS_CLOSED);
	ck_assert(harness_wait(f.loop, failed_once, &f));
}
END_TEST

static bool
connection_waits(void *arg)
{
	struct fixture *f = arg;
	struct pollfd descriptor = {f->silent_fd, POLLIN, 0};

	return poll(&descriptor, 1, 0) == 1;
}

/*
 * Guards against an accepted link that comes up after its listener has been
 * destroyed and calls an owner that is being destroyed.
 */
START_TEST(link_does_not_come_up_after_its_listener)
{
	struct fixture f;

	fixture_start(&f);
	f.silent_fd = connect_silent(link_listener_port(f.listener));
	/* The listener has accepted once its preface has arrived. */
	ck_assert(harness_wait(f.loop, connection_waits, &f));
	peer_destroy(f.peer);
	link_listener_destroy(f.listener);
	f.accepted = NULL;
	f.ups = 0;
	for (int i = 0; i < 20; i++)
		loop_run_once(f.loop, loop_now(f.loop) + LOOP_USEC_PER_MSEC);
	ck_assert_ptr_null(f.accepted);
	ck_assert(is_closed(f.silent_fd));
	close(f.silent_fd);
}
END_TEST

HARNESS_MAIN("link", link_does_not_come_up_after_its_listener,
    message_is_delivered, lost_connection_is_replaced,
    silent_connection_is_replaced, failed_attempt_is_reported)
