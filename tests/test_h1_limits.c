#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "h1.h"

#define CLIENTS 40
#define CONNECTIONS_MAX 10
#define ACCOUNT_BYTES ((size_t)400 * 1000)
#define HEAD_BYTES ((size_t)50 * 1000)
/* A refusal or an event. */
#define SMALL_BYTES ((size_t)2 * 1024)
/* More than a socket buffers. */
#define LONG_RESPONSE_BYTES ((size_t)7 * 1024 * 1024)
/* Time for which a connection is kept beyond its idle limit. */
#define MARGIN_USEC (1 * LOOP_USEC_PER_SEC)
#define IDLE_USEC (600 * LOOP_USEC_PER_MSEC)
/* Longer than the margin, and whole seconds, as they are stated. */
#define STATED_USEC (2 * LOOP_USEC_PER_SEC)

/* A listener with limits, whose clients are plain sockets. */
struct fixture {
	struct loop *loop;
	struct h1 *h1;
	struct h1_listener *listener;
	struct h1_limits limits;
	struct account account;
	int sockets[CLIENTS];
	unsigned int count;
	unsigned int refused;
	unsigned int complete;
	enum h1_fault fault;
	/* Connection of the last request that is kept. */
	struct h1_conn *conn;
};

/*
 * Ignores the head; the request is handled when it is complete.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * Ignores the body.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	(void)conn;
	(void)bytes;
	(void)arg;
}

/*
 * Records why a request could not be read, and closes its connection.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct fixture *f = arg;

	f->complete++;
	f->fault = h1_fault(conn);
	h1_close_gracefully(conn);
}

/*
 * Does nothing: the clients have no state.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	(void)conn;
	(void)status;
	(void)arg;
}

static const struct h1_ops ops = {
    NULL, NULL, on_head, on_body, on_complete, on_ended};

/*
 * Closes the connection of an unfinished request that gives way.
 */
static void
refuse(struct h1_conn *conn, void *arg)
{
	((struct fixture *)arg)->refused++;
	h1_write(
	    conn, lstr_from("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"));
	h1_close_gracefully(conn);
}

/*
 * Starts a listener with an account and a limit of connections; 0: none.
 */
static void
fixture_start(struct fixture *f, size_t max)
{
	memset(f, 0, sizeof(*f));
	f->limits = (struct h1_limits){
	    2 * HEAD_BYTES, HARNESS_DEADLINE_USEC, IDLE_USEC};
	account_init(&f->account, ACCOUNT_BYTES);
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(h1_create(f->loop, &f->h1), STATUS_OK);
	h1_set_account(f->h1, &f->account);
	ck_assert_int_eq(
	    h1_listen(f->h1, "127.0.0.1", 0, &f->limits, &ops, f, &f->listener),
	    STATUS_OK);
	h1_listener_set_max(f->listener, max, refuse);
}

/*
 * Closes all connections and checks that the account is empty.
 */
static void
fixture_stop(struct fixture *f)
{
	for (unsigned int i = 0; i < f->count; i++)
		close(f->sockets[i]);
	h1_listener_destroy(f->listener);
	h1_destroy(f->h1);
	ck_assert_uint_eq(f->account.held, 0);
	loop_destroy(f->loop);
}

/*
 * Runs the loop for a time.
 */
static void
run_for(struct fixture *f, int64_t usec)
{
	int64_t until = loop_now(f->loop) + usec;

	do {
		loop_run_once(f->loop, until);
	} while (loop_now(f->loop) < until);
}

/*
 * Connects a client, which the listener does not accept yet.
 */
static int
connect_client(struct fixture *f)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(h1_listener_port(f->listener)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	f->sockets[f->count++] = fd;
	return fd;
}

/*
 * Connects a client, which sends a text, and lets the listener read it.
 */
static int
add_client(struct fixture *f, const char *text)
{
	int fd = connect_client(f);

	ck_assert_int_eq(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
	run_for(f, 10 * LOOP_USEC_PER_MSEC);
	return fd;
}

/*
 * Returns whether a client's connection is open.
 */
static bool
is_open(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) < 0 &&
	    errno == EAGAIN;
}

/* Guards against a listener that exceeds its limit of connections, or closes
 * the newest one, so that clients which stay shut out all others. */
START_TEST(oldest_connections_give_way_at_the_limit)
{
	struct fixture f;
	int last = -1;

	fixture_start(&f, CONNECTIONS_MAX);
	for (unsigned int i = 0; i < CLIENTS; i++) {
		last = add_client(&f, i % 2 == 0 ? "" : "GET / HT");
		ck_assert_uint_le(
		    h1_listener_count(f.listener), CONNECTIONS_MAX);
	}
	ck_assert(is_open(last));
	ck_assert(!is_open(f.sockets[0]));
	ck_assert_uint_eq(
	    h1_counts(f.h1)->connections_dropped, CLIENTS - CONNECTIONS_MAX);
	fixture_stop(&f);
}
END_TEST

/* Guards against an unfinished request that is closed without an answer. */
START_TEST(unfinished_bodies_are_refused_before_they_are_closed)
{
	struct fixture f;
	char status[13] = "";

	fixture_start(&f, 1);
	add_client(&f, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
	add_client(&f, "");
	ck_assert_uint_eq(f.refused, 1);
	ck_assert_int_eq(recv(f.sockets[0], status, sizeof(status) - 1, 0),
	    (ssize_t)sizeof(status) - 1);
	ck_assert_str_eq(status, "HTTP/1.1 503");
	ck_assert(is_open(f.sockets[1]));
	fixture_stop(&f);
}
END_TEST

/* Guards against complete requests that give way, and against a new connection
 * that is accepted although nothing can. */
START_TEST(complete_requests_do_not_give_way)
{
	static const struct h1_ops waiting_ops = {
	    NULL, NULL, on_head, on_body, on_head, on_ended};
	struct fixture f;

	fixture_start(&f, 0);
	h1_listener_destroy(f.listener);
	ck_assert_int_eq(h1_listen(f.h1, "127.0.0.1", 0, &f.limits,
			     &waiting_ops, &f, &f.listener),
	    STATUS_OK);
	h1_listener_set_max(f.listener, 1, refuse);
	add_client(&f, "GET / HTTP/1.1\r\n\r\n");
	add_client(&f, "");
	ck_assert(is_open(f.sockets[0]));
	ck_assert(!is_open(f.sockets[1]));
	ck_assert_uint_eq(h1_counts(f.h1)->connections_refused, 1);
	fixture_stop(&f);
}
END_TEST

/* Guards against heads that exceed the account. */
START_TEST(heads_stay_within_the_account)
{
	struct fixture f;
	char *bytes = g_strnfill(HEAD_BYTES, 'h');
	char *text = g_strconcat("GET / HTTP/1.1\r\nX-Long: ", bytes, NULL);

	fixture_start(&f, 0);
	for (unsigned int i = 0; i < CLIENTS; i++) {
		add_client(&f, text);
		ck_assert_uint_le(f.account.held, ACCOUNT_BYTES);
	}
	ck_assert_uint_gt(h1_counts(f.h1)->connections_dropped, 0);
	ck_assert(is_open(f.sockets[CLIENTS - 1]));
	g_free(text);
	g_free(bytes);
	fixture_stop(&f);
}
END_TEST

/* Guards against stalled bodies that are never closed, and against closing one
 * that makes progress for longer than the idle limit. */
START_TEST(stalled_bodies_are_reported_and_slow_ones_are_not)
{
	struct fixture f;
	int fd;

	fixture_start(&f, 0);
	fd = add_client(&f, "POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\nx");
	for (int i = 0; i < 8; i++) {
		run_for(&f, IDLE_USEC / 4);
		ck_assert_int_eq(send(fd, "x", 1, MSG_NOSIGNAL), 1);
		run_for(&f, 10 * LOOP_USEC_PER_MSEC);
		h1_listener_check_timeouts(f.listener);
	}
	ck_assert_uint_eq(f.complete, 0);
	run_for(&f, IDLE_USEC);
	h1_listener_check_timeouts(f.listener);
	ck_assert_uint_eq(f.complete, 1);
	ck_assert_int_eq(f.fault, H1_FAULT_BODY_TIMEOUT);
	fixture_stop(&f);
}
END_TEST

/*
 * Sends a whole request, which the listener does not read yet.
 */
static void
send_request(int fd)
{
	static const char text[] = "GET / HTTP/1.1\r\n\r\n";

	ck_assert_int_eq(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Guards against a request that has arrived while the loop was late, and is
 * discarded because its connection has exceeded the idle limit. */
START_TEST(idle_limit_does_not_discard_an_unread_request)
{
	struct fixture f;

	fixture_start(&f, 0);
	f.limits.idle_timeout_usec = 1;
	send_request(add_client(&f, ""));
	h1_listener_check_timeouts(f.listener);
	run_for(&f, 10 * LOOP_USEC_PER_MSEC);
	ck_assert_uint_eq(f.complete, 1);
	ck_assert_uint_eq(h1_counts(f.h1)->closed_unread, 0);
	fixture_stop(&f);
}
END_TEST

/* Guards against the same when the listener stops; also against the loss of
 * connections that wait to be accepted. */
START_TEST(stopped_listener_reads_requests_that_have_arrived)
{
	struct fixture f;

	fixture_start(&f, 0);
	send_request(add_client(&f, ""));
	send_request(connect_client(&f));
	h1_listener_stop(f.listener);
	ck_assert(h1_listener_has_input(f.listener));
	run_for(&f, 10 * LOOP_USEC_PER_MSEC);
	ck_assert_uint_eq(f.complete, 2);
	ck_assert(!h1_listener_has_input(f.listener));
	fixture_stop(&f);
}
END_TEST

/* Guards against shorter timeouts that close connections at once whose clients
 * became idle, or began a request, under the longer ones. */
START_TEST(shorter_timeouts_spare_connections_that_wait_already)
{
	struct fixture f;

	fixture_start(&f, 0);
	add_client(&f, "");
	add_client(&f, "GET / HT");
	f.limits.head_timeout_usec = 1;
	h1_listener_check_timeouts(f.listener);
	ck_assert_uint_eq(f.complete, 0);
	f.limits.idle_timeout_usec = 1;
	h1_listener_check_timeouts(f.listener);
	ck_assert(is_open(f.sockets[0]));
	add_client(&f, "");
	run_for(&f, MARGIN_USEC);
	h1_listener_check_timeouts(f.listener);
	ck_assert(is_open(f.sockets[0]));
	ck_assert(!is_open(f.sockets[2]));
	run_for(&f, IDLE_USEC);
	h1_listener_check_timeouts(f.listener);
	ck_assert(!is_open(f.sockets[0]));
	fixture_stop(&f);
}
END_TEST

/* Guards against a connection that is closed just when its client, which knows
 * the idle limit, may use it for the last time; also against a longer limit
 * that does not apply to connections which are idle already. */
START_TEST(idle_connection_is_kept_longer_than_stated)
{
	struct fixture f;

	fixture_start(&f, 0);
	add_client(&f, "");
	run_for(&f, IDLE_USEC);
	h1_listener_check_timeouts(f.listener);
	ck_assert(is_open(f.sockets[0]));
	f.limits.idle_timeout_usec = 2 * IDLE_USEC;
	run_for(&f, MARGIN_USEC);
	h1_listener_check_timeouts(f.listener);
	ck_assert(is_open(f.sockets[0]));
	run_for(&f, IDLE_USEC);
	h1_listener_check_timeouts(f.listener);
	ck_assert(!is_open(f.sockets[0]));
	fixture_stop(&f);
}
END_TEST

/*
 * States how long the connection is kept in a response that goes on.
 */
static void
begin_response(struct h1_conn *conn, void *arg)
{
	struct lstr_buf text = {0};

	lstr_buf_printf(&text, "HTTP/1.1 200 X\r\nContent-Length: 1\r\n");
	h1_encode_keep_alive(h1_keep_usec(conn), &text);
	lstr_buf_printf(&text, "\r\n");
	h1_write(conn, lstr_buf_view(&text));
	lstr_buf_free(&text);
	*(struct h1_conn **)arg = conn;
}

/* Guards against a connection that is closed before the time that its response
 * stated, since the idle limit became shorter while the response went on. */
START_TEST(shorter_limit_during_a_response_does_not_shorten_what_it_stated)
{
	static const struct h1_ops begin_ops = {
	    NULL, NULL, on_head, on_body, begin_response, on_ended};
	struct h1_conn *conn = NULL;
	struct h1_listener *listener;
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct fixture f;
	char bytes[256];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	fixture_start(&f, 0);
	f.limits.idle_timeout_usec = STATED_USEC;
	ck_assert_int_eq(h1_listen(f.h1, "127.0.0.1", 0, &f.limits, &begin_ops,
			     &conn, &listener),
	    STATUS_OK);
	address.sin_port = htons(h1_listener_port(listener));
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	send_request(fd);
	while (conn == NULL)
		run_for(&f, LOOP_USEC_PER_MSEC);
	f.limits.idle_timeout_usec = 1;
	h1_write(conn, lstr_from("x"));
	h1_read_next_request(conn);
	ck_assert_int_gt(recv(fd, bytes, sizeof(bytes), 0), 0);
	run_for(&f, STATED_USEC);
	h1_listener_check_timeouts(listener);
	ck_assert(is_open(fd));
	run_for(&f, MARGIN_USEC);
	h1_listener_check_timeouts(listener);
	ck_assert(!is_open(fd));
	close(fd);
	h1_listener_destroy(listener);
	fixture_stop(&f);
}
END_TEST

static enum h1_close_reason ended_reason;

/*
 * Records why a connection ended.
 */
static void
record_reason(struct h1_conn *conn, enum status status, void *arg)
{
	(void)status;
	ended_reason = h1_close_reason(conn);
	*(struct h1_conn **)arg = NULL;
}

/* Guards against a peer that has left and is reported as one whose connection
 * cannot be written, so that its request counts as unanswered. */
START_TEST(write_to_a_peer_that_has_left_is_reported_as_its_close)
{
	static const struct h1_ops begin_ops = {
	    NULL, NULL, on_head, on_body, begin_response, record_reason};
	const struct linger linger = {.l_onoff = 1};
	struct h1_conn *conn = NULL;
	struct h1_listener *listener;
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct fixture f;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	fixture_start(&f, 0);
	ck_assert_int_eq(h1_listen(f.h1, "127.0.0.1", 0, &f.limits, &begin_ops,
			     &conn, &listener),
	    STATUS_OK);
	address.sin_port = htons(h1_listener_port(listener));
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	send_request(fd);
	while (conn == NULL)
		run_for(&f, LOOP_USEC_PER_MSEC);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
	h1_write(conn, lstr_from("x"));
	while (conn != NULL)
		run_for(&f, LOOP_USEC_PER_MSEC);
	ck_assert_int_eq(ended_reason, H1_CLOSE_PEER);
	h1_listener_destroy(listener);
	fixture_stop(&f);
}
END_TEST

/* Guards against an empty line after a body that begins the time limit of the
 * next head, so that the connection is refused while it is idle; also against
 * empty lines that keep a connection without a request. */
START_TEST(empty_lines_between_requests_do_not_begin_a_head)
{
	struct fixture f;
	int fd;

	fixture_start(&f, 0);
	f.limits.head_timeout_usec = 1;
	fd = add_client(&f, "\r\n");
	h1_listener_check_timeouts(f.listener);
	ck_assert_uint_eq(f.complete, 0);
	ck_assert(is_open(fd));
	run_for(&f, IDLE_USEC);
	ck_assert_int_eq(send(fd, "\r\n", 2, MSG_NOSIGNAL), 2);
	run_for(&f, MARGIN_USEC);
	h1_listener_check_timeouts(f.listener);
	ck_assert(!is_open(fd));
	fixture_stop(&f);
}
END_TEST

/* Guards against a connection that gives way to a new one although a request on
 * it has arrived. */
START_TEST(connection_with_an_unread_request_does_not_give_way)
{
	struct fixture f;
	int fd;

	fixture_start(&f, 1);
	fd = add_client(&f, "");
	connect_client(&f);
	send_request(fd);
	run_for(&f, 10 * LOOP_USEC_PER_MSEC);
	ck_assert_uint_eq(f.complete, 1);
	fixture_stop(&f);
}
END_TEST

/*
 * Sends a response that exceeds the socket buffers.
 */
static void
send_long_response(struct h1_conn *conn, void *arg)
{
	static char bytes[LONG_RESPONSE_BYTES];

	(void)arg;
	ck_assert_int_eq(
	    h1_write(conn, lstr_make(bytes, sizeof(bytes))), STATUS_OK);
	h1_read_next_request(conn);
}

/*
 * Reads what has arrived, up to 64 KB. Returns the number of bytes.
 */
static size_t
read_some(int fd)
{
	static char bytes[64 * 1024];
	ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	return n > 0 ? (size_t)n : 0;
}

/* Guards against the idle limit for a connection whose peer reads a response
 * steadily, but too slowly for the socket to accept more within the limit. */
START_TEST(idle_limit_spares_a_response_that_is_read_slowly)
{
	static const struct h1_ops responding_ops = {
	    NULL, NULL, on_head, on_body, send_long_response, on_ended};
	struct fixture f;
	size_t received = 0;
	int64_t until;
	int fd;

	fixture_start(&f, 0);
	h1_set_account(f.h1, NULL);
	h1_listener_destroy(f.listener);
	ck_assert_int_eq(h1_listen(f.h1, "127.0.0.1", 0, &f.limits,
			     &responding_ops, &f, &f.listener),
	    STATUS_OK);
	fd = add_client(&f, "GET / HTTP/1.1\r\n\r\n");
	until = loop_now(f.loop) + 3 * (IDLE_USEC + MARGIN_USEC) / 2;
	while (loop_now(f.loop) < until) {
		received += read_some(fd);
		run_for(&f, MARGIN_USEC / 10);
		h1_listener_check_timeouts(f.listener);
	}
	until = loop_now(f.loop) + HARNESS_DEADLINE_USEC;
	while (received < LONG_RESPONSE_BYTES &&
	    h1_listener_count(f.listener) > 0) {
		ck_assert_int_lt(loop_now(f.loop), until);
		received += read_some(fd);
		run_for(&f, 0);
	}
	ck_assert_uint_eq(h1_listener_count(f.listener), 1);
	ck_assert_uint_eq(received, LONG_RESPONSE_BYTES);
	fixture_stop(&f);
}
END_TEST

/*
 * Keeps the connection of a complete request, whose response follows later.
 */
static void
keep_conn(struct h1_conn *conn, void *arg)
{
	struct fixture *f = arg;

	f->complete++;
	f->conn = conn;
}

/*
 * Accepts whole requests with long heads, which do not give way, until the
 * account refuses one. Returns the connection of the first request, whose
 * client does not read.
 */
static struct h1_conn *
fill_account(struct fixture *f)
{
	static const struct h1_ops keeping_ops = {
	    NULL, NULL, on_head, on_body, keep_conn, on_ended};
	char *bytes = g_strnfill(HEAD_BYTES, 'h');
	char *text =
	    g_strconcat("GET / HTTP/1.1\r\nX-Long: ", bytes, "\r\n\r\n", NULL);
	struct h1_conn *first;

	h1_listener_destroy(f->listener);
	ck_assert_int_eq(h1_listen(f->h1, "127.0.0.1", 0, &f->limits,
			     &keeping_ops, f, &f->listener),
	    STATUS_OK);
	add_client(f, "GET / HTTP/1.1\r\n\r\n");
	first = f->conn;
	while (f->account.held + HEAD_BYTES < ACCOUNT_BYTES)
		add_client(f, text);
	while (h1_admit(first, SMALL_BYTES))
		add_client(f, "GET / HTTP/1.1\r\n\r\n");
	g_free(text);
	g_free(bytes);
	return first;
}

/* Guards against a stream whose next event is refused, and which is cut off
 * thereby, because callers' input fills the account; also against output that
 * exceeds the room for it. */
START_TEST(events_are_queued_although_the_account_is_full)
{
	static char bytes[SMALL_BYTES];
	struct fixture f;
	struct h1_conn *conn;
	unsigned int queued = 0;

	fixture_start(&f, 0);
	conn = fill_account(&f);
	while (h1_write(conn, lstr_make(bytes, sizeof(bytes))) == STATUS_OK)
		queued += h1_unsent_bytes(conn) > 0;
	ck_assert_uint_gt(queued, 4);
	ck_assert_uint_gt(f.account.held, ACCOUNT_BYTES);
	ck_assert_uint_le(f.account.held,
	    ACCOUNT_BYTES + ACCOUNT_BYTES / 8 + ACCOUNT_BYTES / 16);
	fixture_stop(&f);
}
END_TEST

/* Guards against an answer, whose memory is counted already, for which more is
 * needed because a little of an earlier one is unsent. */
START_TEST(answer_takes_the_place_of_a_shorter_output)
{
	static char bytes[SMALL_BYTES];
	struct fixture f;
	struct lstr_buf answer = {0};
	struct h1_conn *conn;

	fixture_start(&f, 0);
	conn = fill_account(&f);
	while (h1_unsent_bytes(conn) == 0)
		ck_assert_int_eq(
		    h1_write(conn, lstr_make(bytes, sizeof(bytes))), STATUS_OK);
	while (answer.len < 3 * HEAD_BYTES)
		lstr_buf_append(&answer, lstr_make(bytes, sizeof(bytes)));
	ck_assert_int_eq(h1_write_buf(conn, &answer), STATUS_OK);
	ck_assert_uint_gt(h1_unsent_bytes(conn), 3 * HEAD_BYTES);
	fixture_stop(&f);
}
END_TEST

/*
 * Answers a request and reads the next one.
 */
static void
on_answered(struct h1_conn *conn, void *arg)
{
	((struct fixture *)arg)->complete++;
	h1_write(
	    conn, lstr_from("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"));
	h1_read_next_request(conn);
}

/* Guards against requests sent ahead that are handled within the end of the one
 * before, which nests without limit, and against their loss when the client
 * shuts down its sending half or the listener stops. */
START_TEST(requests_sent_ahead_are_handled_in_turn)
{
	static const struct h1_ops answering_ops = {
	    NULL, NULL, on_head, on_body, on_answered, on_ended};
	struct fixture f;
	unsigned int before = 0;
	int fd;

	fixture_start(&f, 0);
	h1_listener_destroy(f.listener);
	ck_assert_int_eq(h1_listen(f.h1, "127.0.0.1", 0, &f.limits,
			     &answering_ops, &f, &f.listener),
	    STATUS_OK);
	fd = connect_client(&f);
	for (unsigned int i = 0; i < CLIENTS; i++)
		send_request(fd);
	shutdown(fd, SHUT_WR);
	while (f.complete < CLIENTS) {
		loop_run_once(f.loop, loop_now(f.loop) + HARNESS_DEADLINE_USEC);
		/* One that was read and one that was pending. */
		ck_assert_uint_le(f.complete, before + 2);
		before = f.complete;
		if (f.complete > 0 && f.complete < CLIENTS) {
			ck_assert(h1_listener_has_input(f.listener));
			h1_listener_stop(f.listener);
		}
	}
	ck_assert_uint_eq(h1_counts(f.h1)->closed_unread, 0);
	fixture_stop(&f);
}
END_TEST

HARNESS_MAIN("h1_limits", oldest_connections_give_way_at_the_limit,
    unfinished_bodies_are_refused_before_they_are_closed,
    complete_requests_do_not_give_way, heads_stay_within_the_account,
    stalled_bodies_are_reported_and_slow_ones_are_not,
    idle_limit_does_not_discard_an_unread_request,
    stopped_listener_reads_requests_that_have_arrived,
    shorter_timeouts_spare_connections_that_wait_already,
    idle_connection_is_kept_longer_than_stated,
    shorter_limit_during_a_response_does_not_shorten_what_it_stated,
    write_to_a_peer_that_has_left_is_reported_as_its_close,
    empty_lines_between_requests_do_not_begin_a_head,
    connection_with_an_unread_request_does_not_give_way,
    idle_limit_spares_a_response_that_is_read_slowly,
    events_are_queued_although_the_account_is_full,
    answer_takes_the_place_of_a_shorter_output,
    requests_sent_ahead_are_handled_in_turn)
