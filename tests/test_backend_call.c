#include "harness.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend_call.h"

#define SERVERS 50
/* Bytes that the sockets of a connection may buffer. */
#define SOCKETS_MAX_BYTES ((size_t)8 * 1024 * 1024)

static const char request[] = "GET /report HTTP/1.1\r\nHost: x\r\n\r\n";

struct fixture {
	struct loop *loop;
	struct h1 *h1;
	struct sockaddr_in address;
	int listener;
	int peers[SERVERS];
	size_t sent[SERVERS];
	unsigned int accepted;
	unsigned int finished;
	enum status status;
	size_t body_bytes;
};

/*
 * Reads nothing: the notice of a server is not used here.
 */
static void
parse_response(const struct h1_conn *conn, struct adapter_response *response)
{
	(void)conn;
	memset(response, 0, sizeof(*response));
}

static const struct adapter adapter = {.parse_response = parse_response};

/*
 * Records the result of a call.
 */
static void
on_finished(const struct backend_call_result *result, void *arg)
{
	struct fixture *f = arg;

	f->finished++;
	f->status = result->status;
	f->body_bytes = result->body.len;
}

/*
 * Opens a listening socket.
 */
static void
fixture_start(struct fixture *f)
{
	socklen_t len = sizeof(f->address);

	memset(f, 0, sizeof(*f));
	f->address.sin_family = AF_INET;
	f->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	ck_assert_int_eq(bind(f->listener, (struct sockaddr *)&f->address,
			     sizeof(f->address)),
	    0);
	ck_assert_int_eq(listen(f->listener, SERVERS), 0);
	getsockname(f->listener, (struct sockaddr *)&f->address, &len);
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(h1_create(f->loop, &f->h1), STATUS_OK);
}

/*
 * Makes a number of calls whose deadline is far away.
 */
static void
start_calls(struct fixture *f, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++)
		ck_assert(backend_call_start(f->h1, f->loop, &adapter,
		    &f->address, lstr_from(request),
		    loop_now(f->loop) + 2 * HARNESS_DEADLINE_USEC, on_finished,
		    f));
}

/*
 * Accepts connections and sends the head of a response on each.
 */
static void
accept_calls(struct fixture *f, const char *head)
{
	int fd;

	while ((fd = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		ck_assert_uint_lt(f->accepted, SERVERS);
		f->peers[f->accepted++] = fd;
		send(fd, head, strlen(head), MSG_NOSIGNAL);
	}
}

/*
 * Sends the same bytes on all connections until all calls have finished.
 */
static void
send_until_finished(
    struct fixture *f, const char *head, struct lstr bytes, unsigned int calls)
{
	int64_t deadline = loop_now(f->loop) + HARNESS_DEADLINE_USEC;

	while (f->finished < calls) {
		ck_assert_int_lt(loop_now(f->loop), deadline);
		accept_calls(f, head);
		for (unsigned int i = 0; i < f->accepted; i++) {
			ssize_t n = send(
			    f->peers[i], bytes.data, bytes.len, MSG_NOSIGNAL);

			f->sent[i] += n > 0 ? (size_t)n : 0;
		}
		loop_run_once(f->loop, loop_now(f->loop) + LOOP_USEC_PER_MSEC);
	}
}

/*
 * Closes all sockets.
 */
static void
fixture_stop(struct fixture *f)
{
	for (unsigned int i = 0; i < f->accepted; i++)
		close(f->peers[i]);
	close(f->listener);
	h1_destroy(f->h1);
	loop_destroy(f->loop);
}

/* Guards against reading the answer to a report query or an order for as long
 * as a faulty server sends bytes, here 50 servers at once. */
START_TEST(calls_end_when_their_answer_has_no_end)
{
	static char chunk[16 * 1024];
	static const char *const heads[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
	    "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX-More: "};

	memset(chunk, 'x', sizeof(chunk));
	for (size_t i = 0; i < sizeof(heads) / sizeof(*heads); i++) {
		struct fixture f;

		fixture_start(&f);
		start_calls(&f, SERVERS);
		send_until_finished(
		    &f, heads[i], lstr_make(chunk, sizeof(chunk)), SERVERS);
		ck_assert_int_ne(f.status, STATUS_OK);
		for (unsigned int n = 0; n < f.accepted; n++)
			ck_assert_uint_le(f.sent[n], SOCKETS_MAX_BYTES);
		fixture_stop(&f);
	}
}
END_TEST

/* Guards against an answer that is refused although it is not too large. */
START_TEST(long_answer_is_complete)
{
	static char body[200 * 1024];
	struct fixture f;

	memset(body, 'x', sizeof(body));
	fixture_start(&f);
	start_calls(&f, 1);
	send_until_finished(&f,
	    "HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n",
	    lstr_make(body, sizeof(body)), 1);
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_uint_eq(f.body_bytes, sizeof(body));
	fixture_stop(&f);
}
END_TEST

HARNESS_MAIN("backend_call", calls_end_when_their_answer_has_no_end,
    long_answer_is_complete)
