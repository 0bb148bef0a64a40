#include <errno.h>

#include "node_fixture.h"

#define EVENTS 12
#define CALLS_MAX 120
#define SEND_USEC (100 * LOOP_USEC_PER_MSEC)
/* Streams take about 3 s, many times as long as the node expects. */
#define EVENT_USEC (250 * LOOP_USEC_PER_MSEC)

/* A long answer, of which a caller reads SLOW_READ_BYTES each 10 ms. */
#define LONG_ANSWER_BYTES ((size_t)6 * 1024 * 1024)
#define SLOW_READ_BYTES ((size_t)24 * 1024)

/* Longer than the grace period of 8 s. */
#define SUSPENDED_USEC (9 * LOOP_USEC_PER_SEC)

/* A caller's request that is sent while the node stops. */
struct late_call {
	struct node_call call;
	char id[16];
	int64_t sent_at;
};

static struct late_call calls[CALLS_MAX];
static unsigned int call_count;

/*
 * Returns whether the node has ended, and reaps it.
 */
static bool
node_has_ended(void *arg)
{
	struct node_fixture *w = arg;
	int status;

	if (w->pid == 0)
		return true;
	if (waitpid(w->pid, &status, WNOHANG) != w->pid)
		return false;
	ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	w->pid = 0;
	return true;
}

/*
 * Sends a request that is kept in calls.
 */
static void
send_late(struct node_fixture *w, const char *method, const char *path,
    const char *more)
{
	struct late_call *late = &calls[call_count];

	ck_assert_uint_lt(call_count, CALLS_MAX);
	snprintf(late->id, sizeof(late->id), "late-%u", call_count++);
	late->sent_at = loop_now(w->loop);
	node_call_send(w, &late->call, w->front,
	    node_request(method, path, late->id, NODE_KEY, 20000, more));
}

/*
 * Sends the next of a series of streams; every other one may run only once.
 */
static void
send_stream(struct node_fixture *w)
{
	send_late(w, "POST",
	    call_count % 2 == 0 ? "/write/draft" : "/once/draft",
	    "Model: m\r\nToken-Usage: 40,80\r\nPrefix-Hash: ab:40\r\n"
	    "Content-Length: 2\r\n\r\nhi");
}

/*
 * Sends the next of a series of requests to the plain service; every other one
 * may run only once.
 */
static void
send_plain(struct node_fixture *w)
{
	if (call_count % 2 == 0)
		send_late(w, "GET", "/look/1", "");
	else
		send_late(w, "POST", "/order/1", "Content-Length: 0\r\n");
}

/*
 * Sends SIGTERM to the node and requests until it has ended; returns when it
 * ended.
 */
static int64_t
stop_under_load(struct node_fixture *w, void (*send)(struct node_fixture *))
{
	int64_t started_at = loop_now(w->loop);
	int64_t next_at = started_at;
	int64_t ended_at;

	call_count = 0;
	kill(w->pid, SIGTERM);
	while (!node_has_ended(w)) {
		ck_assert_int_lt(
		    loop_now(w->loop) - started_at, HARNESS_DEADLINE_USEC);
		if (loop_now(w->loop) >= next_at) {
			next_at += SEND_USEC;
			send(w);
		}
		loop_run_once(
		    w->loop, loop_now(w->loop) + 5 * LOOP_USEC_PER_MSEC);
	}
	ended_at = loop_now(w->loop);
	for (unsigned int i = 0; i < call_count; i++)
		node_call_wait(w, &calls[i].call);
	return ended_at;
}

/*
 * Checks that a request which the node has read was answered completely.
 */
static void
check_answered(const struct node_fixture *w, const struct late_call *late)
{
	unsigned int runs = fake_platform_run_count(w->platform, late->id);

	if (late->call.status == 0) {
		ck_assert_msg(
		    runs == 0, "%s ran and was not answered", late->id);
		return;
	}
	ck_assert_msg(late->call.complete, "%s was cut off", late->id);
	if (late->call.status == 503)
		ck_assert_uint_eq(runs, 0);
}

/*
 * Checks that the caller of a refused request is not to return before the node
 * has ended.
 */
static void
check_retry_time(const struct late_call *late, int64_t ended_at)
{
	double retry_after = strtod(late->call.retry_after, NULL);

	if (late->call.status == 503)
		ck_assert_int_ge(late->sent_at +
			(int64_t)(retry_after * (double)LOOP_USEC_PER_SEC),
		    ended_at);
}

/*
 * Checks all requests and frees their bodies. Returns how many were served.
 */
static unsigned int
check_calls(const struct node_fixture *w, int64_t ended_at)
{
	unsigned int served = 0;

	for (unsigned int i = 0; i < call_count; i++)
		check_answered(w, &calls[i]);
	for (unsigned int i = 0; i < call_count; i++) {
		check_retry_time(&calls[i], ended_at);
		served += calls[i].call.status == 200;
		lstr_buf_free(&calls[i].call.body);
	}
	return served;
}

/* Guards against streams that a stopping node takes late in its grace period
 * and cuts off when it exits (review/1). */
START_TEST(late_streams_are_complete_or_refused)
{
	struct node_fixture w;
	int64_t ended_at;

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, EVENT_USEC);
	ended_at = stop_under_load(&w, send_stream);
	ck_assert_uint_ge(check_calls(&w, ended_at), 10);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against requests, among them ones that may run only once, that are
 * taken late in the grace period and get no answer because their server is
 * silent. */
START_TEST(late_requests_to_a_silent_server_are_answered)
{
	struct node_fixture w;
	int64_t ended_at;

	node_fixture_start(&w);
	fake_platform_set_plain_fault(w.platform, FAKE_UNRESPONSIVE);
	ended_at = stop_under_load(&w, send_plain);
	check_calls(&w, ended_at);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Sends a request to the plain service on a new blocking connection with a
 * small receive buffer, and returns the socket.
 */
static int
send_from_slow_caller(const struct node_fixture *w)
{
	struct sockaddr_in address = loopback_own(w->front);
	const char *text =
	    node_request("GET", "/look/1", "slow", NODE_KEY, 20000, "");
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int size = 64 * 1024;

	ck_assert_int_ge(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(
	    send(fd, text, strlen(text), 0), (ssize_t)strlen(text));
	return fd;
}

/*
 * Reads from a socket slowly until its connection ends, and returns the number
 * of bytes.
 */
static size_t
read_slowly(struct node_fixture *w, int fd)
{
	static char bytes[SLOW_READ_BYTES];
	int64_t deadline = loop_now(w->loop) + HARNESS_DEADLINE_USEC;
	size_t received = 0;
	bool open = true;

	while (open) {
		int64_t until = loop_now(w->loop) + 10 * LOOP_USEC_PER_MSEC;
		ssize_t n;

		ck_assert_int_lt(until, deadline);
		n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		open = n > 0 || (n < 0 && errno == EAGAIN);
		received += n > 0 ? (size_t)n : 0;
		while (loop_now(w->loop) < until)
			loop_run_once(w->loop, until);
	}
	return received;
}

/* Guards against a node that exits, or closes the connection, while a caller
 * still reads its answer. */
START_TEST(long_answers_are_delivered_to_slow_callers)
{
	struct node_fixture w;
	int slow;
	int stuck;

	node_fixture_start(&w);
	fake_platform_set_plain_length(w.platform, LONG_ANSWER_BYTES);
	kill(w.pid, SIGTERM);
	slow = send_from_slow_caller(&w);
	stuck = send_from_slow_caller(&w);
	ck_assert_uint_gt(read_slowly(&w, slow), LONG_ANSWER_BYTES);
	/* A caller that does not read at all does not keep the node. */
	ck_assert(harness_wait(w.loop, node_has_ended, &w));
	close(slow);
	close(stuck);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against connections that are closed without an answer at the end of
 * the grace period: of requests at silent servers, and of unfinished ones. */
START_TEST(open_requests_are_answered_before_the_node_exits)
{
	struct node_fixture w;
	struct node_call sent;
	struct node_call unfinished;

	node_fixture_start(&w);
	fake_platform_pause_engines(
	    w.platform, loop_now(w.loop) + HARNESS_DEADLINE_USEC);
	node_call_send(&w, &sent, w.front,
	    node_request("POST", "/once/draft", "sent", NODE_KEY, 20000,
		"Model: m\r\nToken-Usage: 40,80\r\nPrefix-Hash: ab:40\r\n"
		"Content-Length: 2\r\n\r\nhi"));
	node_call_send(&w, &unfinished, w.front,
	    node_request("POST", "/order/1", "unfinished", NODE_KEY, 20000,
		"Content-Length: 10\r\n\r\nhalf"));
	kill(w.pid, SIGTERM);
	node_call_wait(&w, &sent);
	node_call_wait(&w, &unfinished);
	ck_assert_uint_eq(sent.status, 502);
	ck_assert(sent.complete);
	ck_assert_uint_eq(unfinished.status, 503);
	ck_assert(unfinished.complete);
	ck_assert(strtod(unfinished.retry_after, NULL) > 0);
	ck_assert(harness_wait(w.loop, node_has_ended, &w));
	lstr_buf_free(&sent.body);
	lstr_buf_free(&unfinished.body);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Sets the grace period in the settings file of the node.
 */
static void
set_grace(const struct node_fixture *w, int seconds)
{
	char *text = NULL;
	char *end;
	FILE *file;

	ck_assert(g_file_get_contents(w->settings_path, &text, NULL, NULL));
	end = strstr(text, "\"grace_s\":8");
	ck_assert_ptr_nonnull(end);
	file = fopen(w->settings_path, "w");
	ck_assert_ptr_nonnull(file);
	fprintf(file, "%.*s\"grace_s\":%d%s", (int)(end - text), text, seconds,
	    end + strlen("\"grace_s\":8"));
	fclose(file);
	g_free(text);
}

/* Guards against signals in the grace period that end requests which were
 * accepted before: a reload with a shorter period, and further SIGTERMs. */
START_TEST(signals_in_the_grace_period_do_not_shorten_it)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, EVENT_USEC);
	node_start_stream(&w, &call, "long");
	kill(w.pid, SIGTERM);
	set_grace(&w, 1);
	kill(w.pid, SIGHUP);
	kill(w.pid, SIGTERM);
	node_call_wait(&w, &call);
	ck_assert_uint_eq(call.status, 200);
	ck_assert(call.complete);
	ck_assert(harness_wait(w.loop, node_has_ended, &w));
	lstr_buf_free(&call.body);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Waits until the node says that it is not ready: it has received SIGTERM.
 */
static void
wait_until_not_ready(struct node_fixture *w)
{
	struct node_call ready;

	do {
		node_call_send(w, &ready, w->ready,
		    "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
		node_call_wait(w, &ready);
		lstr_buf_free(&ready.body);
	} while (ready.status != 503);
}

/* Guards against a node that was suspended in its grace period and goes on
 * after the end of it with requests that it has not read before. */
START_TEST(node_suspended_past_its_grace_period_starts_nothing)
{
	struct node_fixture w;
	int64_t suspended_at;

	node_fixture_start(&w);
	call_count = 0;
	kill(w.pid, SIGTERM);
	wait_until_not_ready(&w);
	kill(w.pid, SIGSTOP);
	suspended_at = loop_now(w.loop);
	while (loop_now(w.loop) < suspended_at + SUSPENDED_USEC) {
		if (call_count < 10) {
			send_stream(&w);
			send_plain(&w);
		}
		loop_run_once(
		    w.loop, loop_now(w.loop) + 5 * LOOP_USEC_PER_MSEC);
	}
	kill(w.pid, SIGCONT);
	ck_assert(harness_wait(w.loop, node_has_ended, &w));
	for (unsigned int i = 0; i < call_count; i++) {
		node_call_wait(&w, &calls[i].call);
		check_answered(&w, &calls[i]);
		ck_assert_uint_eq(
		    fake_platform_run_count(w.platform, calls[i].id), 0);
		lstr_buf_free(&calls[i].call.body);
	}
	node_fixture_stop(&w);
}
END_TEST

HARNESS_MAIN("node_stopping", late_streams_are_complete_or_refused,
    late_requests_to_a_silent_server_are_answered,
    long_answers_are_delivered_to_slow_callers,
    open_requests_are_answered_before_the_node_exits,
    signals_in_the_grace_period_do_not_shorten_it,
    node_suspended_past_its_grace_period_starts_nothing)
