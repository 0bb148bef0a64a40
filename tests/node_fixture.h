#ifndef CH_TEST_NODE_FIXTURE_H
#define CH_TEST_NODE_FIXTURE_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <glib.h>

#include "child.h"
#include "fakes/fake_platform.h"
#include "h1.h"
#include "loopback.h"

#define NODE_KEY "k-first"
#define NODE_REVOKE_MS 3000
#define NODE_CONFIG_APPLY_MS 1200

/* A node that runs as a child process, and the fake platform in this
 * process. */
struct node_fixture {
	struct loop *loop;
	struct h1 *h1;
	struct fake_platform *platform;
	char settings_path[128];
	char log_path[128];
	pid_t pid;
	/* Address of the node, and its ports. */
	char ip[INET_ADDRSTRLEN];
	uint16_t front;
	uint16_t ready;
	uint16_t lookup;
	uint16_t metrics;
	uint16_t gossip;
};

/* A caller's request and the response to it. */
struct node_call {
	struct h1_conn *conn;
	unsigned int status;
	struct lstr_buf body;
	char retry_after[32];
	bool complete;
	bool ended;
};

/*
 * Records the status and Retry-After of a response head.
 */
static inline void
node_call_head(struct h1_conn *conn, void *arg)
{
	struct node_call *call = arg;
	struct lstr value;

	call->status = h1_status(conn);
	if (h1_find_header(conn, "Retry-After", &value))
		snprintf(call->retry_after, sizeof(call->retry_after), "%.*s",
		    LSTR_ARG(value));
}

/*
 * Appends a chunk of the response body.
 */
static inline void
node_call_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct node_call *call = arg;

	(void)conn;
	lstr_buf_append(&call->body, bytes);
}

/*
 * Marks a call as complete and closes its connection.
 */
static inline void
node_call_complete(struct h1_conn *conn, void *arg)
{
	struct node_call *call = arg;

	call->complete = true;
	call->ended = true;
	h1_close(conn);
}

/*
 * Marks a call as ended when its connection closes.
 */
static inline void
node_call_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct node_call *call = arg;

	(void)conn;
	(void)status;
	call->ended = true;
}

static const struct h1_ops node_call_ops = {NULL, NULL, node_call_head,
    node_call_body, node_call_complete, node_call_ended};

/*
 * Connects to an address and sends a serialized request.
 */
static inline void
node_call_send_to(struct node_fixture *w, struct node_call *call,
    const struct sockaddr_in *address, const char *text)
{
	memset(call, 0, sizeof(*call));
	ck_assert_int_eq(h1_connect(w->h1, address,
			     loop_now(w->loop) + HARNESS_DEADLINE_USEC,
			     &node_call_ops, call, &call->conn),
	    STATUS_OK);
	h1_expect_response(call->conn, false);
	h1_write(call->conn, lstr_from(text));
}

/*
 * Connects to a port of the node and sends a serialized request.
 */
static inline void
node_call_send(struct node_fixture *w, struct node_call *call, uint16_t port,
    const char *text)
{
	struct sockaddr_in address = loopback_own(port);

	node_call_send_to(w, call, &address, text);
}

/*
 * Returns whether a call has ended.
 */
static inline bool
node_call_has_ended(void *arg)
{
	return ((struct node_call *)arg)->ended;
}

/*
 * Waits until a call has ended, and terminates its body with a NUL.
 */
static inline void
node_call_wait(struct node_fixture *w, struct node_call *call)
{
	ck_assert(harness_wait(w->loop, node_call_has_ended, call));
	lstr_buf_append(&call->body, lstr_make("", 1));
}

/*
 * Formats a caller's request. Returns a static buffer; more holds further
 * header lines, each with its line end, and may include a body after the empty
 * line.
 */
static inline const char *
node_request(const char *method, const char *path, const char *id,
    const char *key, int caller_timeout_ms, const char *more)
{
	static char text[2048];

	snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: models.example\r\nAttempt-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n",
	    method, path, id, caller_timeout_ms, key, more);
	return text;
}

/*
 * Starts a generation whose response is a few events; prompt lists the parts of
 * its prompt.
 */
static inline void
node_start_prompt(struct node_fixture *w, struct node_call *call,
    const char *id, const char *prompt)
{
	char more[1024];

	snprintf(more, sizeof(more),
	    "Model: m\r\nToken-Usage: 40,80\r\nPrefix-Hash: %s\r\n"
	    "Content-Length: 2\r\n\r\nhi",
	    prompt);
	node_call_send(w, call, w->front,
	    node_request("POST", "/write/draft", id, NODE_KEY, 20000, more));
}

/*
 * Starts a generation whose response is a few events.
 */
static inline void
node_start_stream(
    struct node_fixture *w, struct node_call *call, const char *id)
{
	node_start_prompt(w, call, id, "ab:40");
}

/*
 * Sends a request to a plain service and waits for the response.
 */
static inline void
node_call_plain(struct node_fixture *w, struct node_call *call,
    const char *method, const char *path, const char *id, const char *key)
{
	node_call_send(
	    w, call, w->front, node_request(method, path, id, key, 2000, ""));
	node_call_wait(w, call);
}

/*
 * Sends a request, after whose answer the node closes the connection, and
 * returns all that is received, terminated by a NUL.
 */
static inline struct lstr_buf
node_exchange(struct node_fixture *w, struct lstr request)
{
	int64_t deadline = loop_now(w->loop) + HARNESS_DEADLINE_USEC;
	struct sockaddr_in address = loopback_own(w->front);
	struct lstr_buf received = {0};
	char bytes[1024];
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(send(fd, request.data, request.len, MSG_NOSIGNAL),
	    (ssize_t)request.len);
	while ((n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) != 0) {
		ck_assert_int_lt(loop_now(w->loop), deadline);
		if (n > 0)
			lstr_buf_append(&received, lstr_make(bytes, (size_t)n));
		else
			loop_run_once(
			    w->loop, loop_now(w->loop) + LOOP_USEC_PER_MSEC);
	}
	close(fd);
	lstr_buf_append(&received, lstr_make("", 1));
	return received;
}

/*
 * Assigns the node an address and ports that no other process uses.
 */
static inline void
node_assign_addresses(struct node_fixture *w)
{
	loopback_format_own_address(w->ip);
	w->front = loopback_next_port();
	w->ready = loopback_next_port();
	w->lookup = loopback_next_port();
	w->metrics = loopback_next_port();
	w->gossip = loopback_next_port();
}

/*
 * Writes the settings file of the node.
 */
static inline void
node_write_settings(struct node_fixture *w)
{
	FILE *file = fopen(w->settings_path, "w");

	ck_assert_ptr_nonnull(file);
	fprintf(file,
	    "{\"node\":\"n1\",\"place\":\"here\",\"region\":\"r\","
	    "\"ip\":\"%s\",\"front\":\"%s:%u\","
	    "\"ready\":\"%s:%u\",\"lookup\":\"%s:%u\","
	    "\"store\":\"127.0.0.1:%u\",\"mesh_port\":%u,\"revoke_ms\":%d,"
	    "\"config_apply_ms\":%d,\"grace_s\":8,\"retry_slack\":100,\"retry_"
	    "ratio\":0.2}",
	    w->ip, w->ip, w->front, w->ip, w->ready, w->ip, w->lookup,
	    fake_platform_port(w->platform), w->gossip, NODE_REVOKE_MS,
	    NODE_CONFIG_APPLY_MS);
	fclose(file);
}

/*
 * Adds memory_mb to the settings file of the node.
 */
static inline void
node_set_memory(const struct node_fixture *w, int memory_mb)
{
	char *text = NULL;
	FILE *file;

	ck_assert(g_file_get_contents(w->settings_path, &text, NULL, NULL));
	file = fopen(w->settings_path, "w");
	ck_assert_ptr_nonnull(file);
	fprintf(file, "{\"memory_mb\":%d,%s", memory_mb, text + 1);
	fclose(file);
	g_free(text);
}

/*
 * Starts the node's program with its log written to a file.
 */
static inline void
node_spawn(struct node_fixture *w)
{
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";
	char program[256];
	char metrics[32];
	posix_spawn_file_actions_t actions;
	char *argv[] = {program, "--settings", w->settings_path,
	    "--metrics-port", metrics, NULL};

	snprintf(program, sizeof(program), "%s/chestnuthoist-node", build);
	snprintf(metrics, sizeof(metrics), "%u", w->metrics);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, w->log_path,
	    O_WRONLY | O_CREAT | O_TRUNC, 0600);
	ck_assert_int_eq(
	    posix_spawn(&w->pid, program, &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
}

/*
 * Repeats a generation until one succeeds, then clears the platform's counts.
 */
static inline void
node_wait_until_serving(struct node_fixture *w)
{
	int64_t deadline = loop_now(w->loop) + HARNESS_DEADLINE_USEC;
	struct node_call call = {0};
	int attempt = 0;

	do {
		char id[32];

		ck_assert_int_lt(loop_now(w->loop), deadline);
		lstr_buf_free(&call.body);
		snprintf(id, sizeof(id), "warm-%d", attempt++);
		node_start_stream(w, &call, id);
		node_call_wait(w, &call);
		if (call.status != 200)
			loop_run_once(w->loop,
			    loop_now(w->loop) + 20 * LOOP_USEC_PER_MSEC);
	} while (call.status != 200 || !call.complete);
	lstr_buf_free(&call.body);
	fake_platform_reset_run_counts(w->platform);
}

/*
 * Starts the platform with two copies of the model and two plain servers, and
 * writes the settings of a node, which node_spawn() starts.
 */
static inline void
node_fixture_prepare(struct node_fixture *w)
{
	static unsigned int count;
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";

	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(h1_create(w->loop, &w->h1), STATUS_OK);
	w->platform = fake_platform_new(w->loop, w->h1);
	node_assign_addresses(w);
	snprintf(w->settings_path, sizeof(w->settings_path),
	    "%s/tests/node-%ld-%u.json", build, (long)getpid(), ++count);
	snprintf(w->log_path, sizeof(w->log_path), "%s/tests/node-%ld-%u.log",
	    build, (long)getpid(), count);
	fake_platform_configure(w->platform, 1, NODE_KEY);
	node_write_settings(w);
}

/*
 * Starts the platform and a node, and waits until the node serves requests.
 */
static inline void
node_fixture_start(struct node_fixture *w)
{
	node_fixture_prepare(w);
	node_spawn(w);
	node_wait_until_serving(w);
}

/*
 * Returns the node's log; freed by the caller with g_free().
 */
static inline char *
node_read_log(const struct node_fixture *w)
{
	char *text = NULL;

	ck_assert(g_file_get_contents(w->log_path, &text, NULL, NULL));
	return text;
}

/*
 * Kills the node, frees the platform and removes the files.
 */
static inline void
node_fixture_stop(struct node_fixture *w)
{
	if (w->pid > 0) {
		kill(w->pid, SIGKILL);
		waitpid(w->pid, NULL, 0);
	}
	fake_platform_free(w->platform);
	h1_destroy(w->h1);
	loop_destroy(w->loop);
	unlink(w->settings_path);
	unlink(w->log_path);
}

#endif
