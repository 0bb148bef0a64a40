#include "harness.h"

#include <errno.h>

#include "node_fixture.h"

/* A response that fits neither the socket buffers nor, with another one, the
 * output that a connection may queue. */
#define LONG_ANSWER_BYTES ((size_t)15 * 1024 * 1024)
/* Two of these do not fit either; after one, a refusal does. */
#define HALF_ANSWER_BYTES ((size_t)7 * 1024 * 1024)
#define SHORT_ANSWER_BYTES 100
/* Memory of the node, bodies that fill it, and an answer that is larger than
 * what the last of them leaves. */
#define MEMORY_MB 64
#define HEAD_MAX_BYTES ((size_t)64 * 1024)
#define BODY_BYTES ((size_t)900 * 1000)
#define CALLS_MAX 64
#define LARGE_ANSWER_BYTES ((size_t)4 * 1024 * 1024)
/* Input that is read at once; a small receive buffer keeps the rest at the
 * node. */
#define READ_BYTES ((size_t)64 * 1024)

/* A caller that sends requests ahead and reads when it chooses. */
struct caller {
	struct node_fixture *w;
	int fd;
	struct lstr_buf received;
	/* Number of bytes to read, and text to read or to find in the log. */
	size_t wanted;
	const char *text;
	const struct node_call *call;
	bool ended;
};

/*
 * Connects a caller to the node.
 */
static void
caller_connect(struct caller *caller, struct node_fixture *w)
{
	struct sockaddr_in address = loopback_own(w->front);
	int size = (int)READ_BYTES;

	memset(caller, 0, sizeof(*caller));
	caller->w = w;
	caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_ge(caller->fd, 0);
	setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(
	    connect(caller->fd, (struct sockaddr *)&address, sizeof(address)),
	    0);
	ck_assert_int_eq(fcntl(caller->fd, F_SETFL, O_NONBLOCK), 0);
}

/*
 * Closes the connection of a caller.
 */
static void
caller_close(struct caller *caller)
{
	close(caller->fd);
	lstr_buf_free(&caller->received);
}

/*
 * Sends a request without a body. The node may have closed the connection.
 */
static void
caller_send(struct caller *caller, const char *path, const char *id)
{
	const char *text = node_request("GET", path, id, NODE_KEY, 20000, "");

	send(caller->fd, text, strlen(text), MSG_NOSIGNAL);
}

/*
 * Sends a request for a generation.
 */
static void
caller_send_stream(struct caller *caller, const char *id)
{
	const char *text =
	    node_request("POST", "/write/draft", id, NODE_KEY, 20000,
		"Model: m\r\nToken-Usage: 40,80\r\nPrefix-Hash: ab:40\r\n"
		"Content-Length: 2\r\n\r\nhi");

	/* The end of the head that node_request() adds is not part of it. */
	send(caller->fd, text, strlen(text) - strlen("\r\n"), MSG_NOSIGNAL);
}

/*
 * Returns whether a text occurs in what a caller has received.
 */
static bool
has_received(const struct caller *caller, const char *text)
{
	return caller->received.len > 0 &&
	    memmem(caller->received.data, caller->received.len, text,
		strlen(text)) != NULL;
}

/*
 * Reads what has arrived. Returns whether the wanted bytes or the wanted text
 * have been read, or the connection has ended.
 */
static bool
read_wanted(void *arg)
{
	static char bytes[READ_BYTES];
	struct caller *caller = arg;
	ssize_t n;

	do {
		n = recv(caller->fd, bytes, sizeof(bytes), 0);
		if (n > 0)
			lstr_buf_append(
			    &caller->received, lstr_make(bytes, (size_t)n));
	} while (n > 0 && caller->received.len < caller->wanted);
	caller->ended = n == 0 || (n < 0 && errno != EAGAIN);
	return caller->ended || caller->received.len >= caller->wanted ||
	    (caller->text != NULL && has_received(caller, caller->text));
}

/*
 * Reads until a number of bytes or a text has been received, or until the
 * connection has ended.
 */
static void
caller_read(struct caller *caller, size_t wanted, const char *text)
{
	caller->wanted = wanted;
	caller->text = text;
	ck_assert(harness_wait(caller->w->loop, read_wanted, caller));
}

/*
 * Returns whether the log of the node has a text.
 */
static bool
is_logged(void *arg)
{
	const struct caller *caller = arg;
	char *log = node_read_log(caller->w);
	bool found = strstr(log, caller->text) != NULL;

	g_free(log);
	return found;
}

/*
 * Waits until the log of the node has a text.
 */
static void
wait_for_log(struct caller *caller, const char *text)
{
	caller->text = text;
	ck_assert_msg(harness_wait(caller->w->loop, is_logged, caller),
	    "no \"%s\" in the log", text);
}

/* Guards against a connection that goes on after a refusal could not be
 * written: the caller takes the next answer for that of the refused request.
 */
START_TEST(lost_refusal_is_not_replaced_by_the_next_answer)
{
	struct node_fixture w;
	struct caller caller;

	node_fixture_start(&w);
	fake_platform_set_plain_length(w.platform, LONG_ANSWER_BYTES);
	caller_connect(&caller, &w);
	caller_send(&caller, "/look/1", "first");
	wait_for_log(&caller, "\"id\":\"first\"");
	caller_send(&caller, "/none/1", "second");
	wait_for_log(&caller, "\"id\":\"second\"");
	fake_platform_set_plain_length(w.platform, SHORT_ANSWER_BYTES);
	caller_read(&caller, LONG_ANSWER_BYTES * 2 / 3, NULL);
	caller_send(&caller, "/look/1", "third");
	caller_read(&caller, SIZE_MAX, "Attempt-Id: third");
	ck_assert(!has_received(&caller, "Attempt-Id: third") ||
	    has_received(&caller, "Attempt-Id: second"));
	wait_for_log(&caller, "refusal cannot be written");
	caller_close(&caller);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against events that are sent although the head of their response could
 * not be written. */
START_TEST(stream_without_a_head_is_not_begun)
{
	struct node_fixture w;
	struct caller caller;

	node_fixture_start(&w);
	fake_platform_set_plain_length(w.platform, LONG_ANSWER_BYTES);
	caller_connect(&caller, &w);
	caller_send(&caller, "/look/1", "first");
	wait_for_log(&caller, "\"id\":\"first\"");
	caller_send_stream(&caller, "second");
	wait_for_log(&caller, "\"name\":\"request-unanswered\"");
	wait_for_log(&caller, "\"response_begun\":false");
	caller_read(&caller, SIZE_MAX, NULL);
	ck_assert(!has_received(&caller, "\ndata:"));
	caller_close(&caller);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against a reset, which also discards an earlier answer, when an answer
 * does not fit behind it: a server has run the request, so it has failed. */
START_TEST(answer_without_room_becomes_a_failure)
{
	struct node_fixture w;
	struct caller caller;

	node_fixture_start(&w);
	fake_platform_set_plain_length(w.platform, HALF_ANSWER_BYTES);
	caller_connect(&caller, &w);
	caller_send(&caller, "/look/1", "first");
	wait_for_log(&caller, "\"id\":\"first\"");
	caller_send(&caller, "/look/1", "second");
	wait_for_log(&caller, "\"id\":\"second\"");
	caller_read(&caller, SIZE_MAX, "HTTP/1.1 502");
	ck_assert(has_received(&caller, "HTTP/1.1 502"));
	ck_assert(has_received(&caller, "Attempt-Id: second"));
	ck_assert_uint_gt(caller.received.len, HALF_ANSWER_BYTES);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "second"), 1);
	caller_close(&caller);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Returns whether a call has reached a server or has ended.
 */
static bool
has_run_or_ended(void *arg)
{
	const struct caller *caller = arg;

	return caller->call->ended ||
	    fake_platform_run_count(caller->w->platform, caller->text) > 0;
}

/*
 * Sends whole bodies to servers that do not answer until one is refused: the
 * memory for large requests is used up. Returns the number of calls.
 */
static unsigned int
fill_memory(struct node_fixture *w, struct node_call *calls)
{
	char *body = g_strnfill(BODY_BYTES, 'b');
	unsigned int count = 0;
	bool refused = false;

	fake_platform_set_plain_fault(w->platform, FAKE_UNRESPONSIVE);
	while (!refused) {
		struct caller caller = {.w = w};
		struct node_call *call = &calls[count];
		char headers[64];
		char id[32];

		ck_assert_uint_lt(count, CALLS_MAX);
		snprintf(id, sizeof(id), "fill-%u", count++);
		snprintf(headers, sizeof(headers), "Content-Length: %zu\r\n",
		    BODY_BYTES);
		node_call_send(w, call, w->front,
		    node_request(
			"POST", "/long/1", id, NODE_KEY, 20000, headers));
		h1_write(call->conn, lstr_from(body));
		caller.call = call;
		caller.text = id;
		ck_assert(harness_wait(w->loop, has_run_or_ended, &caller));
		refused = call->ended;
		ck_assert(!refused || call->status == 503);
	}
	g_free(body);
	fake_platform_set_plain_fault(w->platform, FAKE_NONE);
	return count;
}

/* Guards against an answer without room in memory that is taken for one without
 * end: the request was sent again, and the next server ran it in vain. */
START_TEST(answer_without_memory_is_not_made_twice)
{
	static struct node_call calls[CALLS_MAX];
	struct node_fixture w;
	struct node_call call;
	struct caller caller = {.w = &w};
	unsigned int count;

	node_fixture_prepare(&w);
	fake_platform_set_request_limits(
	    w.platform, HEAD_MAX_BYTES, BODY_BYTES);
	fake_platform_add_long_route(w.platform, "long");
	fake_platform_configure(w.platform, 2, NODE_KEY);
	node_set_memory(&w, MEMORY_MB);
	node_spawn(&w);
	node_wait_until_serving(&w);
	count = fill_memory(&w, calls);
	fake_platform_set_plain_length(w.platform, LARGE_ANSWER_BYTES);
	node_call_plain(&w, &call, "GET", "/look/1", "large", NODE_KEY);
	ck_assert_uint_eq(call.status, 502);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "large"), 1);
	wait_for_log(&caller, "\"reason\":\"no memory for the answer\"");
	lstr_buf_free(&call.body);
	for (unsigned int i = 0; i < count; i++) {
		if (!calls[i].ended)
			h1_close(calls[i].conn);
		lstr_buf_free(&calls[i].body);
	}
	node_fixture_stop(&w);
}
END_TEST

HARNESS_MAIN("unanswered", lost_refusal_is_not_replaced_by_the_next_answer,
    stream_without_a_head_is_not_begun, answer_without_room_becomes_a_failure,
    answer_without_memory_is_not_made_twice)
