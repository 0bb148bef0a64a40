#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <glib.h>
#include <microhttpd.h>

#include "httpd.h"
#include "intake.h"
#include "log.h"
#include "metric.h"
#include "settings.h"

#define CONNECTIONS_MAX 8192
#define CONNECTION_MEMORY_BYTES ((size_t)16 * 1024)
#define IDLE_TIMEOUT_SECONDS 75
#define STREAM_BLOCK_BYTES 4096
#define STREAM_QUEUE_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define STATUS_PAYLOAD_TOO_LARGE 413
#define STATUS_UNAVAILABLE_HTTP 503
#define RETRY_AFTER_SECONDS 1
/* What a connection holds without a request: the daemon's state and pool. */
#define CONNECTION_BYTES (CONNECTION_MEMORY_BYTES + 2048)
/* A handler copies the body. */
#define BODY_COPIES 2
#define BODY_MIN_BYTES ((size_t)4096)
/* A new connection is closed for lack of memory if the account exceeds its
 * limit by this share, so that most requests are refused with an answer. */
#define ACCOUNT_EXCESS_SHARE 8
#define REPORT_INTERVAL_USEC (1 * LOOP_USEC_PER_SEC)
#define REFUSAL_MAX_BYTES 512

static struct metric connections_dropped = {
    "chestnuthoist_http_connections_dropped_total", "",
    "Connections closed for lack of memory or connections.", METRIC_COUNTER, 0,
    NULL};
static struct metric requests_refused = {
    "chestnuthoist_http_requests_refused_total", "",
    "Requests with unfinished bodies refused for lack of memory or "
    "connections.",
    METRIC_COUNTER, 0, NULL};

struct httpd {
	struct loop *loop;
	const struct httpd_ops *ops;
	void *arg;
	struct MHD_Daemon *daemon;
	struct loop_watch *watch;
	struct loop_timer *timer;
	size_t body_max;
	unsigned int open_requests;
	bool running;
	bool close_after_responses;
	/* List of open requests, which httpd_destroy() aborts. */
	struct httpd_request *first;
	/* Memory that connections hold; NULL: it is not limited. */
	struct account *account;
	/* struct httpd_connection that have not been dropped. */
	GQueue connections;
	unsigned int connections_max;
	int64_t next_report_at;
};

/* A client's connection. Once dropped, it is no longer in the list and no
 * longer counted, and the daemon closes it in its next run. */
struct httpd_connection {
	struct httpd *httpd;
	struct MHD_Connection *connection;
	GList link;
	/* The request in progress, or NULL. */
	struct httpd_request *request;
	/* Share of the account. */
	size_t held;
	/* When the connection was accepted or the last request ended. */
	int64_t idle_since;
	bool dropped;
};

struct httpd_request {
	struct httpd *httpd;
	struct httpd_request *next;
	struct httpd_request *previous;
	struct MHD_Connection *connection;
	struct httpd_connection *client;
	const char *method;
	const char *path;
	struct lstr_buf body;
	/* When the request began or its response was passed to the daemon, and
	 * when bytes of the body were last received or bytes of a streamed
	 * response last accepted. */
	int64_t since;
	int64_t progress_at;
	/* Size of a complete response, and what the handler holds. */
	size_t response_bytes;
	size_t handler_bytes;
	void *data;
	struct MHD_Response *response;
	unsigned int status;
	bool delivered;
	/* The response was passed to the daemon. */
	bool answered;
	bool body_too_large;
	/* There was no memory for the body; the rest of it is discarded. */
	bool refused;
	bool in_handler;
	bool suspended;
	bool streaming;
	bool ended;
	bool aborted;
	struct lstr_buf queue;
};

static void run_daemon(struct httpd *);

/*
 * Makes the daemon run in the next iteration of the loop.
 */
static void
schedule_run(struct httpd *httpd)
{
	loop_timer_set(httpd->timer, 0);
}

/*
 * Resumes a request after its response has changed.
 */
static void
resume(struct httpd_request *request)
{
	if (request->suspended) {
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
	schedule_run(request->httpd);
}

/*
 * Suspends a request until resume().
 */
static void
suspend(struct httpd_request *request)
{
	if (request->suspended)
		return;
	request->suspended = true;
	MHD_suspend_connection(request->connection);
}

/*
 * Adds a request to the list of open ones.
 */
static void
list_add(struct httpd_request *request)
{
	struct httpd *httpd = request->httpd;

	request->next = httpd->first;
	if (httpd->first != NULL)
		httpd->first->previous = request;
	httpd->first = request;
}

/*
 * Removes a request from the list of open ones.
 */
static void
list_remove(struct httpd_request *request)
{
	if (request->previous != NULL)
		request->previous->next = request->next;
	else
		request->httpd->first = request->next;
	if (request->next != NULL)
		request->next->previous = request->previous;
}

/*
 * Returns the memory that a connection holds with its request.
 */
static size_t
count_bytes(const struct httpd_connection *client)
{
	const struct httpd_request *request = client->request;
	size_t bytes = CONNECTION_BYTES;

	if (request != NULL)
		bytes += sizeof(*request) + request->body.size * BODY_COPIES +
		    request->queue.size + request->response_bytes +
		    request->handler_bytes;
	return bytes;
}

/*
 * Updates the share of a connection in the account.
 */
static void
update_share(struct httpd_connection *client)
{
	account_set(client->httpd->account, &client->held,
	    client->dropped ? 0 : count_bytes(client));
}

/*
 * Formats the body of a refusal. The request was not run, since its body is not
 * complete.
 */
static void
format_refusal(const struct httpd *httpd, char *out, size_t size)
{
	int64_t retry_at = loop_now(httpd->loop) / LOOP_USEC_PER_MSEC +
	    RETRY_AFTER_SECONDS * (int64_t)1000;

	snprintf(out, size,
	    "{\"outcome\":\"not-run\",\"code\":\"no-memory\","
	    "\"message\":\"this server has no memory for the body now\","
	    "\"retry_at\":%lld}\n",
	    (long long)retry_at);
}

/*
 * Sends a refusal to a client whose body is unfinished. The daemon accepts a
 * response only before a body or after it, so the refusal is written to the
 * socket, where the daemon has written nothing but an interim response. If the
 * socket does not accept it, the connection is closed without an answer.
 */
static void
send_refusal(const struct httpd *httpd, int fd)
{
	char body[REFUSAL_MAX_BYTES];
	char text[2 * REFUSAL_MAX_BYTES];

	format_refusal(httpd, body, sizeof(body));
	snprintf(text, sizeof(text),
	    "HTTP/1.1 503 Service Unavailable\r\n"
	    "Content-Type: application/json\r\n"
	    "Retry-After: %d\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    RETRY_AFTER_SECONDS, strlen(body), body);
	(void)send(fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL);
}

/*
 * Returns whether the body of a request is unfinished.
 */
static bool
is_receiving(const struct httpd_request *request)
{
	return !request->delivered && request->response == NULL &&
	    !request->answered;
}

/*
 * Logs that connections give way, at most once per interval.
 */
static void
report_drops(struct httpd *httpd)
{
	int64_t now = loop_now(httpd->loop);

	if (now < httpd->next_report_at)
		return;
	httpd->next_report_at = now + REPORT_INTERVAL_USEC;
	log_event(EV_HTTP_DROPPED,
	    "port=%u connections=%u connections_max=%u memory=%zu "
	    "memory_max=%zu",
	    httpd_port(httpd), httpd->connections.length,
	    httpd->connections_max,
	    httpd->account != NULL ? httpd->account->held : 0,
	    httpd->account != NULL ? httpd->account->limit : 0);
}

/*
 * Makes a connection give way: an unfinished body is refused, and the memory of
 * the request is released. The daemon sees the end of the connection in its
 * next run and closes it.
 */
static void
drop(struct httpd_connection *client)
{
	struct httpd_request *request = client->request;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    client->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	client->dropped = true;
	g_queue_unlink(&client->httpd->connections, &client->link);
	if (request != NULL) {
		if (is_receiving(request)) {
			send_refusal(client->httpd, info->connect_fd);
			requests_refused.value++;
		}
		request->refused = true;
		request->aborted = true;
		lstr_buf_free(&request->body);
		lstr_buf_free(&request->queue);
		if (request->suspended)
			resume(request);
	}
	connections_dropped.value++;
	update_share(client);
	shutdown(info->connect_fd, SHUT_RDWR);
	report_drops(client->httpd);
	schedule_run(client->httpd);
}

/*
 * Returns whether the client has not read all of a response that has been
 * passed to the daemon.
 */
static bool
is_unread(const struct httpd_request *request)
{
	return request->answered &&
	    (!request->streaming || request->queue.len > 0);
}

/*
 * Offers a connection to a search. One whose request is complete is offered
 * only if its response is not read. The daemon does not report the progress of
 * a response that is not streamed, which counts from its start.
 */
static void
offer(struct intake *intake, struct httpd_connection *client)
{
	const struct httpd_request *request = client->request;
	struct intake_candidate candidate = {.kind = INTAKE_IDLE,
	    .bytes = client->held,
	    .since = client->idle_since,
	    .progress_at = client->idle_since,
	    .ref = client};

	if (request != NULL) {
		if (!is_receiving(request) && !is_unread(request))
			return;
		candidate.kind =
		    is_receiving(request) ? INTAKE_BODY : INTAKE_UNREAD;
		candidate.since = request->since;
		candidate.progress_at = request->progress_at;
	}
	intake_offer(intake, &candidate);
}

/*
 * Makes connections give way. Returns false if none can, or if the one that has
 * the need is itself the first to give way; it is not dropped.
 */
static bool
release(struct httpd *httpd, enum intake_need need,
    const struct httpd_connection *needs)
{
	struct intake intake;

	intake_init(
	    &intake, need, loop_now(httpd->loop), httpd->connections.length);
	for (GList *l = httpd->connections.head; l != NULL; l = l->next)
		offer(&intake, l->data);
	if (intake.count == 0 || intake.choices[0].ref == needs)
		return false;
	for (size_t i = 0; i < intake.count; i++) {
		if (intake.choices[i].ref != needs)
			drop(intake.choices[i].ref);
	}
	return true;
}

/*
 * Makes room in the account for more bytes of a connection. Returns false if
 * there is none.
 */
static bool
make_room(struct httpd_connection *client, size_t more)
{
	struct httpd *httpd = client->httpd;

	if (httpd->account == NULL)
		return true;
	while (account_missing(httpd->account, client->held, more) > 0) {
		if (!release(httpd, INTAKE_MEMORY, client))
			return false;
	}
	return true;
}

/*
 * Enlarges the body of a request for more bytes. Returns false if there is no
 * memory.
 */
static bool
reserve_body(struct httpd_request *request, size_t len)
{
	size_t needed = request->body.len + len;
	size_t size = MAX(request->body.size * 2, BODY_MIN_BYTES);

	if (needed <= request->body.size)
		return true;
	size = CLAMP(size, needed, MAX(needed, request->httpd->body_max));
	if (!make_room(
		request->client, (size - request->body.size) * BODY_COPIES) ||
	    lstr_buf_reserve(&request->body, size) != STATUS_OK)
		return false;
	update_share(request->client);
	return true;
}

/*
 * Appends bytes to the body of a request, up to the limit. Without memory for
 * them the body is released and the rest of it is discarded, so that the client
 * gets an answer at its end.
 */
static void
append_body(struct httpd_request *request, const char *data, size_t len)
{
	request->progress_at = loop_now(request->httpd->loop);
	if (request->body.len + len > request->httpd->body_max)
		request->body_too_large = true;
	if (!request->body_too_large && !request->refused &&
	    reserve_body(request, len) &&
	    lstr_buf_append(&request->body, lstr_make(data, len)) == STATUS_OK)
		return;
	if (!request->body_too_large)
		request->refused = true;
	lstr_buf_free(&request->body);
	update_share(request->client);
}

/*
 * Refuses a request without passing it to its handler.
 */
static void
refuse(struct httpd_request *request)
{
	static const char too_large[] =
	    "{\"outcome\":\"not-run\",\"code\":\"body-too-large\","
	    "\"message\":\"the body is larger than this server accepts\"}\n";
	char no_memory[REFUSAL_MAX_BYTES];

	if (request->body_too_large) {
		log_event(EV_HTTP_REFUSED, "path=%s reason=body-too-large",
		    request->path);
		httpd_respond(request, STATUS_PAYLOAD_TOO_LARGE,
		    "application/json", lstr_from(too_large));
		return;
	}
	requests_refused.value++;
	report_drops(request->httpd);
	format_refusal(request->httpd, no_memory, sizeof(no_memory));
	httpd_respond(request, STATUS_UNAVAILABLE_HTTP, "application/json",
	    lstr_from(no_memory));
	if (request->response != NULL)
		MHD_add_response_header(request->response,
		    MHD_HTTP_HEADER_RETRY_AFTER,
		    G_STRINGIFY(RETRY_AFTER_SECONDS));
}

/*
 * Passes a complete request to its handler, or refuses it if its body was too
 * large or there was no memory for it.
 */
static void
call_handler(struct httpd_request *request)
{
	if (request->body_too_large || request->refused) {
		refuse(request);
		return;
	}
	request->delivered = true;
	request->httpd->open_requests++;
	request->in_handler = true;
	request->httpd->ops->request(request, request->httpd->arg);
	request->in_handler = false;
}

/*
 * Returns the state of a client's connection, or NULL if there was no memory
 * for it.
 */
static struct httpd_connection *
find_client(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

/*
 * Begins a request on a connection. Returns NULL if there is no memory.
 */
static struct httpd_request *
request_create(struct httpd *httpd, struct MHD_Connection *connection,
    const char *method, const char *path)
{
	struct httpd_connection *client = find_client(connection);
	struct httpd_request *request = calloc(1, sizeof(*request));

	if (client == NULL || request == NULL) {
		free(request);
		return NULL;
	}
	request->httpd = httpd;
	request->connection = connection;
	request->client = client;
	request->since = loop_now(httpd->loop);
	request->progress_at = request->since;
	request->method = strdup(method);
	request->path = strdup(path);
	client->request = request;
	update_share(client);
	list_add(request);
	return request;
}

/*
 * Called by the daemon for the header, each part of the body and the end of the
 * body, and again after each resume until a response is queued.
 */
static enum MHD_Result
on_access(void *arg, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct httpd_request *request = *state;
	enum MHD_Result result;

	(void)version;
	if (request == NULL) {
		request = request_create(arg, connection, method, url);
		*state = request;
		return request != NULL && request->method != NULL &&
			request->path != NULL && !request->client->dropped
		    ? MHD_YES
		    : MHD_NO;
	}
	if (request->aborted)
		return MHD_NO;
	if (*len > 0) {
		append_body(request, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (!request->delivered && request->response == NULL)
		call_handler(request);
	if (request->aborted)
		return MHD_NO;
	if (request->response == NULL) {
		suspend(request);
		return MHD_YES;
	}
	result =
	    MHD_queue_response(connection, request->status, request->response);
	MHD_destroy_response(request->response);
	request->response = NULL;
	request->answered = true;
	request->since = loop_now(request->httpd->loop);
	request->progress_at = request->since;
	return result;
}

/*
 * Called by the daemon when a request has ended, for whatever reason.
 */
static void
on_completed(void *arg, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct httpd *httpd = arg;
	struct httpd_request *request = *state;

	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	*state = NULL;
	list_remove(request);
	if (request->delivered) {
		httpd->open_requests--;
		if (httpd->ops->closed != NULL)
			httpd->ops->closed(request, httpd->arg);
	}
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	request->client->request = NULL;
	request->client->idle_since = loop_now(httpd->loop);
	update_share(request->client);
	lstr_buf_free(&request->body);
	lstr_buf_free(&request->queue);
	free((char *)request->method);
	free((char *)request->path);
	free(request);
}

/*
 * Makes room for a new connection among the others. Returns false if there is
 * none.
 */
static bool
make_room_for_connection(struct httpd_connection *client)
{
	struct httpd *httpd = client->httpd;
	const struct account *account = httpd->account;

	if (httpd->connections.length > httpd->connections_max &&
	    !release(httpd, INTAKE_CONNECTIONS, client))
		return false;
	return make_room(client, CONNECTION_BYTES) ||
	    account->held <=
	    account->limit + account->limit / ACCOUNT_EXCESS_SHARE;
}

/*
 * Adds an accepted connection. If there is no room for it, it is dropped.
 */
static void
add_connection(
    struct httpd *httpd, struct MHD_Connection *connection, void **state)
{
	struct httpd_connection *client = calloc(1, sizeof(*client));

	*state = client;
	if (client == NULL)
		return;
	client->httpd = httpd;
	client->connection = connection;
	client->link.data = client;
	client->idle_since = loop_now(httpd->loop);
	g_queue_push_tail_link(&httpd->connections, &client->link);
	if (make_room_for_connection(client))
		update_share(client);
	else
		drop(client);
}

/*
 * Called by the daemon when a connection has been accepted or is closed.
 */
static void
on_connection(void *arg, struct MHD_Connection *connection, void **state,
    enum MHD_ConnectionNotificationCode code)
{
	struct httpd_connection *client = *state;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		add_connection(arg, connection, state);
		return;
	}
	if (client == NULL)
		return;
	*state = NULL;
	if (!client->dropped)
		g_queue_unlink(&client->httpd->connections, &client->link);
	client->dropped = true;
	update_share(client);
	free(client);
}

/*
 * Runs the daemon and sets the timer for its next timeout. A call from within
 * the daemon is deferred to the next iteration of the loop.
 */
static void
run_daemon(struct httpd *httpd)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	if (httpd->running) {
		schedule_run(httpd);
		return;
	}
	httpd->running = true;
	MHD_run(httpd->daemon);
	httpd->running = false;
	if (MHD_get_timeout(httpd->daemon, &wait_ms) == MHD_YES)
		loop_timer_set(httpd->timer,
		    loop_now(httpd->loop) +
			(int64_t)wait_ms * LOOP_USEC_PER_MSEC);
}

/*
 * Runs the daemon when its epoll descriptor is ready.
 */
static void
on_ready(void *arg, unsigned int events)
{
	(void)events;
	run_daemon(arg);
}

/*
 * Runs the daemon when its timeout has expired or a run was scheduled.
 */
static void
on_timer(void *arg)
{
	run_daemon(arg);
}

/*
 * Starts the daemon on an address.
 */
static enum status
start_daemon(struct httpd *httpd, const char *host, uint16_t port)
{
	struct sockaddr_in addr;
	const union MHD_DaemonInfo *info;

	memset(&addr, 0, sizeof(addr));
	addr.sin_family = AF_INET;
	addr.sin_port = htons(port);
	if (inet_pton(AF_INET, host, &addr.sin_addr) != 1)
		return status_set(
		    STATUS_INVALID, "HTTP address '%s' is not IPv4", host);
	httpd->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
	    httpd, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_SECONDS,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (httpd->daemon == NULL)
		return status_set(
		    STATUS_IO, "cannot listen on %s:%u", host, port);
	info = MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	return loop_watch_create(httpd->loop, info->epoll_fd, LOOP_READ,
	    on_ready, httpd, &httpd->watch);
}

/*
 * Creates a server on "ip:port"; with port 0 the kernel chooses the port.
 * Requests with a body larger than body_max bytes are rejected with status 413.
 * The ops must outlive the server.
 */
enum status
httpd_create(struct loop *loop, const char *address, size_t body_max,
    const struct httpd_ops *ops, void *arg, struct httpd **out)
{
	struct httpd *httpd;
	char *host = NULL;
	uint16_t port = 0;
	enum status status = settings_split_address(address, &host, &port);

	if (status != STATUS_OK)
		return status;
	httpd = calloc(1, sizeof(*httpd));
	if (httpd == NULL) {
		free(host);
		return status_set(STATUS_NO_MEMORY, "HTTP server");
	}
	httpd->loop = loop;
	httpd->ops = ops;
	httpd->arg = arg;
	httpd->body_max = body_max;
	httpd->connections_max = CONNECTIONS_MAX;
	status = loop_timer_create(loop, on_timer, httpd, &httpd->timer);
	if (status == STATUS_OK)
		status = start_daemon(httpd, host, port);
	free(host);
	if (status != STATUS_OK) {
		httpd_destroy(httpd);
		return status;
	}
	*out = httpd;
	return STATUS_OK;
}

/*
 * Limits the memory that connections hold by an account, which must outlive the
 * server, and their number. Called before the loop runs.
 */
void
httpd_set_limits(
    struct httpd *httpd, struct account *account, unsigned int connections_max)
{
	httpd->account = account;
	httpd->connections_max = MIN(connections_max, CONNECTIONS_MAX);
}

/*
 * Registers the metrics of all servers of the process.
 */
void
httpd_register_metrics(void)
{
	metric_register(&connections_dropped);
	metric_register(&requests_refused);
}

/*
 * Stops the server immediately and closes the requests in progress.
 */
void
httpd_destroy(struct httpd *httpd)
{
	if (httpd == NULL)
		return;
	loop_watch_destroy(httpd->watch);
	/* The daemon must not be stopped while a connection is suspended. */
	for (struct httpd_request *r = httpd->first; r != NULL; r = r->next) {
		r->aborted = true;
		if (r->suspended)
			MHD_resume_connection(r->connection);
		r->suspended = false;
	}
	if (httpd->daemon != NULL)
		MHD_stop_daemon(httpd->daemon);
	loop_timer_destroy(httpd->timer);
	free(httpd);
}

/*
 * Stops accepting connections; existing ones continue.
 */
void
httpd_stop_listening(struct httpd *httpd)
{
	int fd = MHD_quiesce_daemon(httpd->daemon);

	if (fd >= 0)
		close(fd);
}

/*
 * Closes each connection after its next response, so that clients leave a
 * server that is about to stop.
 */
void
httpd_close_after_responses(struct httpd *httpd)
{
	httpd->close_after_responses = true;
}

/*
 * Returns the port in host byte order.
 */
uint16_t
httpd_port(const struct httpd *httpd)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info->port;
}

/*
 * Returns the number of requests that were passed to the handler and have not
 * ended.
 */
unsigned int
httpd_open_requests(const struct httpd *httpd)
{
	return httpd->open_requests;
}

/*
 * Returns the method, valid as long as the request.
 */
struct lstr
httpd_method(const struct httpd_request *request)
{
	return lstr_from(request->method);
}

/*
 * Returns the path without the query, valid as long as the request.
 */
struct lstr
httpd_path(const struct httpd_request *request)
{
	return lstr_from(request->path);
}

/*
 * Returns the body, valid until httpd_respond().
 */
struct lstr
httpd_body(const struct httpd_request *request)
{
	return lstr_buf_view(&request->body);
}

/*
 * Returns a query argument, or NULL if it is missing.
 */
const char *
httpd_query(const struct httpd_request *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/*
 * Returns a header field, or NULL if it is missing.
 */
const char *
httpd_header(const struct httpd_request *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_HEADER_KIND, name);
}

/*
 * Stores a user pointer of the handler in the request.
 */
void
httpd_set_data(struct httpd_request *request, void *data)
{
	request->data = data;
}

/*
 * Returns the handler's user pointer.
 */
void *
httpd_get_data(const struct httpd_request *request)
{
	return request->data;
}

/*
 * Sets the status and the header fields of a response.
 */
static void
set_header(struct httpd_request *request, unsigned int status, const char *type)
{
	MHD_add_response_header(
	    request->response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (request->httpd->close_after_responses)
		MHD_add_response_header(
		    request->response, MHD_HTTP_HEADER_CONNECTION, "close");
	request->status = status;
}

/*
 * Returns whether there is room for a complete response, which takes the place
 * of the body. One that is small is sent also if the account exceeds its limit
 * a little: the request may have run, and its body is released.
 */
static bool
has_room_for_response(struct httpd_request *request, size_t len)
{
	const struct account *account = request->httpd->account;
	size_t released = request->body.size * BODY_COPIES;

	return len <= released || make_room(request->client, len - released) ||
	    (len <= INTAKE_SMALL_BYTES &&
		account->held <=
		    account->limit + account->limit / ACCOUNT_EXCESS_SHARE);
}

/*
 * Sends a complete response; the response is copied, and the body of the
 * request is released. If memory runs out, no response is sent, and if the
 * clients hold all of theirs, the connection is closed.
 */
void
httpd_respond(struct httpd_request *request, unsigned int status,
    const char *type, struct lstr body)
{
	assert(request->response == NULL && !request->streaming);
	if (!has_room_for_response(request, body.len)) {
		connections_dropped.value++;
		report_drops(request->httpd);
		httpd_abort(request);
		return;
	}
	request->response = MHD_create_response_from_buffer(
	    body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY);
	request->response_bytes = body.len;
	lstr_buf_free(&request->body);
	update_share(request->client);
	if (request->response == NULL)
		return;
	set_header(request, status, type);
	if (!request->in_handler)
		resume(request);
}

/*
 * Copies the next bytes of a streamed response to the daemon's buffer, or
 * suspends the request if none are queued.
 */
static ssize_t
read_stream(void *arg, uint64_t position, char *buffer, size_t max)
{
	struct httpd_request *request = arg;
	size_t len = request->queue.len < max ? request->queue.len : max;

	(void)position;
	if (request->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (len > 0) {
		memcpy(buffer, request->queue.data, len);
		lstr_buf_consume(&request->queue, len);
		request->progress_at = loop_now(request->httpd->loop);
		if (request->queue.len == 0 &&
		    request->queue.size > INTAKE_SMALL_BYTES) {
			lstr_buf_free(&request->queue);
			update_share(request->client);
		}
		return (ssize_t)len;
	}
	if (request->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	suspend(request);
	return 0;
}

/*
 * Begins a streamed response, whose length is not known in advance.
 */
void
httpd_stream_begin(
    struct httpd_request *request, unsigned int status, const char *type)
{
	assert(request->response == NULL && !request->streaming);
	request->response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, request, NULL);
	if (request->response == NULL)
		return;
	set_header(request, status, type);
	request->streaming = true;
	if (!request->in_handler)
		resume(request);
}

/*
 * Queues bytes of a streamed response. Returns STATUS_FULL, queuing nothing, if
 * the client reads too slowly or the clients hold all of their memory.
 */
enum status
httpd_stream_write(struct httpd_request *request, struct lstr bytes)
{
	size_t needed = request->queue.len + bytes.len;
	enum status status;

	if (request->aborted || needed > STREAM_QUEUE_MAX_BYTES)
		return status_set(STATUS_FULL, "the caller reads too slowly");
	if (request->queue.len == 0)
		request->progress_at = loop_now(request->httpd->loop);
	if (needed > request->queue.size &&
	    !make_room(request->client, MAX(needed, request->queue.size)))
		return status_set(STATUS_FULL, "the callers hold all memory");
	status = lstr_buf_append(&request->queue, bytes);
	update_share(request->client);
	if (status == STATUS_OK && !request->in_handler)
		resume(request);
	return status;
}

/*
 * Counts the memory that the handler holds for a request, which ends with
 * closed. Returns STATUS_FULL if the clients hold all of their memory; the
 * request must then be ended.
 */
enum status
httpd_hold(struct httpd_request *request, size_t bytes)
{
	size_t more =
	    bytes > request->handler_bytes ? bytes - request->handler_bytes : 0;

	if (request->aborted || (more > 0 && !make_room(request->client, more)))
		return status_set(STATUS_FULL, "the callers hold all memory");
	request->handler_bytes = bytes;
	update_share(request->client);
	return STATUS_OK;
}

/*
 * Ends a streamed response after the queued bytes.
 */
void
httpd_stream_end(struct httpd_request *request)
{
	request->ended = true;
	if (!request->in_handler)
		resume(request);
}

/*
 * Returns the number of queued bytes of a streamed response.
 */
size_t
httpd_stream_queued(const struct httpd_request *request)
{
	return request->queue.len;
}

/*
 * Closes the connection of a request without the rest of its response, so that
 * the client cannot mistake it for a complete one. closed is called later.
 */
void
httpd_abort(struct httpd_request *request)
{
	request->aborted = true;
	if (!request->in_handler)
		resume(request);
}

/*
 * Returns whether the client has closed its connection, which the daemon does
 * not detect while it has nothing to write.
 */
bool
httpd_client_disconnected(const struct httpd_request *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t n;

	if (info == NULL)
		return true;
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}
