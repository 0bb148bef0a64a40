#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "fetch.h"
#include "http_check.h"
#include "log.h"
#include "metric.h"

#define IDLE_CONNECTIONS_MAX 512L
#define CONNECT_TIMEOUT_MS 2000L
/* Limit of the heads of a call, interim responses included. */
#define HEADS_MAX_BYTES ((size_t)64 * 1024)
#define RESPONSE_MAX_DEFAULT_BYTES ((size_t)8 * 1024 * 1024)

struct fetch {
	struct loop *loop;
	CURLM *multi;
	struct loop_timer *timer;
	/* Open connections by their addresses. */
	GHashTable *sockets;
};

struct fetch_call {
	struct fetch *fetch;
	CURL *easy;
	const struct fetch_ops *ops;
	void *arg;
	struct curl_slist *headers;
	struct lstr_buf request_body;
	struct lstr_buf response_body;
	size_t body_max_bytes;
	struct loop_timer *timer;
	int64_t deadline;
	int64_t progress_usec;
	int64_t progress_deadline;
	/* Bytes received since the deadline was last moved. */
	size_t progress_bytes;
	/* Decides whether the response is valid; libcurl accepts more. */
	struct http_check check;
	/* The empty line after the head of the final response has arrived. */
	bool head_done;
	size_t head_bytes;
	/* The socket opened last. */
	curl_socket_t fd;
	/* The reused connection had unread bytes, so nothing was sent on it. */
	bool stale;
	bool timed_out;
	bool too_large;
	bool in_data_callback;
	bool cancelled;
};

static struct metric answers_refused = {
    "chestnuthoist_http_answers_refused_total", "",
    "Answers to calls that were refused because they are not valid HTTP.",
    METRIC_COUNTER, 0, NULL};

/* The watch of one of libcurl's sockets. */
struct socket_watch {
	struct fetch *fetch;
	curl_socket_t fd;
	struct loop_watch *watch;
};

/*
 * Frees a call that has been removed from libcurl.
 */
static void
call_free(struct fetch_call *call)
{
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	lstr_buf_free(&call->request_body);
	lstr_buf_free(&call->response_body);
	loop_timer_destroy(call->timer);
	free(call);
}

/*
 * Returns whether a call failed because its response is not valid HTTP. libcurl
 * reads a line before it passes it on, and takes a folded one without another
 * before it for a wrong argument of its own.
 */
static bool
is_broken(const struct fetch_call *call, CURLcode code)
{
	return call->check.fault != HTTP_CHECK_VALID ||
	    code == CURLE_WEIRD_SERVER_REPLY ||
	    code == CURLE_UNSUPPORTED_PROTOCOL ||
	    code == CURLE_BAD_CONTENT_ENCODING ||
	    code == CURLE_BAD_FUNCTION_ARGUMENT;
}

/*
 * Maps a libcurl result to a status. libcurl reports success for a response
 * that ends within its head.
 */
static enum status
map_result(const struct fetch_call *call, CURLcode code)
{
	if (call->too_large)
		return status_set(STATUS_FULL, "answer is too large");
	if (call->timed_out || code == CURLE_OPERATION_TIMEDOUT)
		return status_set(STATUS_TIMEOUT, "deadline passed");
	if (is_broken(call, code))
		return status_set(STATUS_INVALID, "answer is not valid: %s",
		    call->check.fault != HTTP_CHECK_VALID
			? http_check_fault_text(call->check.fault)
			: curl_easy_strerror(code));
	if (code == CURLE_OK && !http_check_is_complete(&call->check) &&
	    !http_check_ends_with_connection(&call->check))
		return status_set(STATUS_IO, "answer is not complete");
	if (code == CURLE_OK)
		return STATUS_OK;
	if (code == CURLE_COULDNT_CONNECT)
		return status_set(STATUS_UNAVAILABLE, "cannot connect");
	return status_set(STATUS_IO, "%s", curl_easy_strerror(code));
}

/*
 * Counts and logs a response that is not valid.
 */
static void
note_broken(const struct fetch_call *call)
{
	const char *url = NULL;

	answers_refused.value++;
	curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
	log_event(EV_HTTP_ANSWER_REFUSED, "url=%s reason=\"%s\"",
	    url != NULL ? url : "", status_message());
}

/*
 * Ends a call: removes it from libcurl, calls done unless it was cancelled, and
 * frees it.
 */
static void
finish(struct fetch_call *call, CURLcode code)
{
	struct fetch_result result;
	long request_size = 0;

	memset(&result, 0, sizeof(result));
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_size);
	result.http_status = fetch_http_status(call);
	result.status = map_result(call, code);
	result.body = lstr_buf_view(&call->response_body);
	result.maybe_sent = request_size > 0 && code != CURLE_COULDNT_CONNECT;
	if (result.status == STATUS_INVALID)
		note_broken(call);
	curl_multi_remove_handle(call->fetch->multi, call->easy);
	if (!call->cancelled)
		call->ops->done(call, &result, call->arg);
	call_free(call);
}

/*
 * Starts a call again on a new connection. Nothing of it has been sent. Returns
 * false if that is not possible.
 */
static bool
restart(struct fetch_call *call)
{
	CURLM *multi = call->fetch->multi;

	call->stale = false;
	curl_multi_remove_handle(multi, call->easy);
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	return curl_multi_add_handle(multi, call->easy) == CURLM_OK;
}

/*
 * Ends the calls that libcurl reports as done.
 */
static void
finish_all(struct fetch *fetch)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(fetch->multi, &left)) != NULL) {
		struct fetch_call *call = NULL;
		CURLcode result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		result = message->data.result;
		if (!call->stale || !restart(call))
			finish(call, result);
	}
}

/*
 * Passes readiness of a socket to libcurl.
 */
static void
on_socket_ready(void *arg, unsigned int events)
{
	struct socket_watch *watch = arg;
	struct fetch *fetch = watch->fetch;
	int running;
	int action = 0;

	if (events & LOOP_READ)
		action |= CURL_CSELECT_IN;
	if (events & LOOP_WRITE)
		action |= CURL_CSELECT_OUT;
	curl_multi_socket_action(fetch->multi, watch->fd, action, &running);
	finish_all(fetch);
}

/*
 * Called by libcurl to change the events that a socket is watched for.
 */
static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *data)
{
	struct fetch *fetch = arg;
	struct socket_watch *watch = data;
	unsigned int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			loop_watch_destroy(watch->watch);
			free(watch);
		}
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= LOOP_READ;
	if (what & CURL_POLL_OUT)
		events |= LOOP_WRITE;
	if (watch != NULL) {
		loop_watch_set(watch->watch, events);
		return 0;
	}
	watch = calloc(1, sizeof(*watch));
	if (watch == NULL)
		return -1;
	watch->fetch = fetch;
	watch->fd = fd;
	if (loop_watch_create(fetch->loop, fd, events, on_socket_ready, watch,
		&watch->watch) != STATUS_OK) {
		free(watch);
		return -1;
	}
	curl_multi_assign(fetch->multi, fd, watch);
	return 0;
}

/*
 * Called by libcurl when its next timeout changes.
 */
static int
on_curl_timeout_changed(CURLM *multi, long wait_ms, void *arg)
{
	struct fetch *fetch = arg;

	(void)multi;
	if (wait_ms < 0)
		loop_timer_clear(fetch->timer);
	else
		loop_timer_set(fetch->timer,
		    loop_now(fetch->loop) + wait_ms * LOOP_USEC_PER_MSEC);
	return 0;
}

/*
 * Tells libcurl that its timeout has expired.
 */
static void
on_timer(void *arg)
{
	struct fetch *fetch = arg;
	int running;

	curl_multi_socket_action(
	    fetch->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_all(fetch);
}

/*
 * Ends a call whose deadline has passed.
 */
static void
on_deadline(void *arg)
{
	struct fetch_call *call = arg;

	call->timed_out = true;
	finish(call, CURLE_OPERATION_TIMEDOUT);
}

/*
 * Moves the deadline of a call whose response makes progress.
 */
static void
note_progress(struct fetch_call *call, size_t len)
{
	int64_t deadline;

	call->progress_bytes += len;
	if (call->progress_usec == 0 ||
	    call->progress_bytes < FETCH_PROGRESS_BYTES)
		return;
	call->progress_bytes = 0;
	deadline = loop_now(call->fetch->loop) + call->progress_usec;
	if (deadline > call->progress_deadline)
		deadline = call->progress_deadline;
	if (deadline <= call->deadline)
		return;
	call->deadline = deadline;
	loop_timer_set(call->timer, deadline);
}

/*
 * Passes bytes of the body to the owner of the call, or collects them. Returns
 * false if the call is to end.
 */
static bool
deliver(struct fetch_call *call, struct lstr body)
{
	if (call->ops->data != NULL) {
		call->in_data_callback = true;
		call->ops->data(call, body, call->arg);
		call->in_data_callback = false;
		return !call->cancelled;
	}
	if (call->response_body.len + body.len > call->body_max_bytes ||
	    lstr_buf_append(&call->response_body, body) != STATUS_OK) {
		call->too_large = true;
		return false;
	}
	return true;
}

/*
 * Checks received bytes and delivers the body in them. Returns false if the
 * call is to end.
 */
static bool
receive(struct fetch_call *call, struct lstr bytes)
{
	struct lstr body;

	for (;;) {
		switch (http_check_next(&call->check, &bytes, &body)) {
		case HTTP_CHECK_HEAD:
			call->head_done = true;
			break;
		case HTTP_CHECK_BODY:
			if (!deliver(call, body))
				return false;
			break;
		case HTTP_CHECK_MORE:
		case HTTP_CHECK_END:
			return true;
		case HTTP_CHECK_INVALID:
			return false;
		}
	}
}

/*
 * Called by libcurl with each complete line of a head or trailer. Returning
 * fewer bytes than given makes libcurl abort the call. A trailer has been
 * checked with the body.
 */
static size_t
on_head_line(char *data, size_t size, size_t count, void *arg)
{
	struct fetch_call *call = arg;
	struct lstr line = lstr_make(data, size * count);

	call->head_bytes += line.len;
	if (call->head_bytes > HEADS_MAX_BYTES) {
		call->too_large = true;
		return 0;
	}
	return call->head_done || receive(call, line) ? line.len : 0;
}

/*
 * Called by libcurl with bytes of a response body, which still contain the
 * lines of its chunks. Returning fewer bytes than given makes libcurl abort the
 * call.
 */
static size_t
on_write(char *data, size_t size, size_t count, void *arg)
{
	struct fetch_call *call = arg;
	struct lstr bytes = lstr_make(data, size * count);

	note_progress(call, bytes.len);
	return receive(call, bytes) ? bytes.len : 0;
}

/*
 * Called by libcurl for each new socket.
 */
static int
on_socket_created(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct fetch_call *call = arg;

	(void)purpose;
	call->fd = fd;
	return CURL_SOCKOPT_OK;
}

/*
 * Returns whether an entry of fetch.sockets is that of a socket.
 */
static gboolean
is_socket(gpointer key, gpointer value, gpointer fd)
{
	(void)key;
	return value == fd;
}

/*
 * Called by libcurl to close a socket.
 */
static int
on_socket_closed(void *arg, curl_socket_t fd)
{
	struct fetch *fetch = arg;

	g_hash_table_foreach_remove(
	    fetch->sockets, is_socket, GINT_TO_POINTER(fd));
	return close(fd);
}

/*
 * Returns whether a socket has unread bytes, or was closed by the peer.
 */
static bool
has_input(curl_socket_t fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/*
 * Called by libcurl before it sends a request. A reused connection that its
 * server has closed, or that has unread bytes, which belong to no request, is
 * not used; libcurl tells its addresses only.
 */
static int
on_ready_to_send(
    void *arg, char *remote, char *local, int remote_port, int local_port)
{
	struct fetch_call *call = arg;
	GHashTable *sockets = call->fetch->sockets;
	char *key = g_strdup_printf(
	    "%s %d %s %d", remote, remote_port, local, local_port);
	long connects = 0;
	gpointer fd;

	curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
	if (connects > 0) {
		g_hash_table_replace(sockets, key, GINT_TO_POINTER(call->fd));
		return CURL_PREREQFUNC_OK;
	}
	call->stale = g_hash_table_lookup_extended(sockets, key, NULL, &fd) &&
	    has_input(GPOINTER_TO_INT(fd));
	g_free(key);
	return call->stale ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/*
 * Creates a client. It must be destroyed only after its calls have ended.
 */
enum status
fetch_create(struct loop *loop, struct fetch **out)
{
	struct fetch *fetch = calloc(1, sizeof(*fetch));

	if (fetch == NULL)
		return status_set(STATUS_NO_MEMORY, "HTTP client");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	metric_register(&answers_refused);
	fetch->loop = loop;
	fetch->sockets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fetch->multi = curl_multi_init();
	if (fetch->multi == NULL ||
	    loop_timer_create(loop, on_timer, fetch, &fetch->timer) !=
		STATUS_OK) {
		curl_multi_cleanup(fetch->multi);
		g_hash_table_destroy(fetch->sockets);
		free(fetch);
		return status_set(STATUS_NO_MEMORY, "HTTP client");
	}
	curl_multi_setopt(fetch->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(fetch->multi, CURLMOPT_SOCKETDATA, fetch);
	curl_multi_setopt(
	    fetch->multi, CURLMOPT_TIMERFUNCTION, on_curl_timeout_changed);
	curl_multi_setopt(fetch->multi, CURLMOPT_TIMERDATA, fetch);
	curl_multi_setopt(
	    fetch->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
	*out = fetch;
	return STATUS_OK;
}

/*
 * Frees a client that has no calls. NULL is allowed.
 */
void
fetch_destroy(struct fetch *fetch)
{
	if (fetch == NULL)
		return;
	curl_multi_cleanup(fetch->multi);
	loop_timer_destroy(fetch->timer);
	g_hash_table_destroy(fetch->sockets);
	free(fetch);
}

/*
 * Sets the libcurl options of a call.
 */
static void
set_options(struct fetch_call *call, const struct fetch_request *request)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_head_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_ready_to_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_closed);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call->fetch);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	/* libcurl ignores what follows the size of a chunk. */
	curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
	if (request->once) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	if (request->body.len > 0) {
		call->headers = curl_slist_append(
		    call->headers, "Content-Type: application/json");
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDS, call->request_body.data);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)call->request_body.len);
	} else if (strcmp(request->method, "GET") != 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	}
	for (const char *const *h = request->headers; h != NULL && *h != NULL;
	     h++)
		call->headers = curl_slist_append(call->headers, *h);
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

/*
 * Starts a call. done is called when it ends, never before this function
 * returns. On any status other than STATUS_OK nothing was sent and done is not
 * called.
 */
enum status
fetch_start(struct fetch *fetch, const struct fetch_request *request,
    const struct fetch_ops *ops, void *arg, struct fetch_call **out)
{
	struct fetch_call *call = calloc(1, sizeof(*call));
	enum status status;

	if (call == NULL)
		return status_set(STATUS_NO_MEMORY, "HTTP call");
	call->fetch = fetch;
	call->ops = ops;
	call->arg = arg;
	call->body_max_bytes = request->response_max_bytes
	    ? request->response_max_bytes
	    : RESPONSE_MAX_DEFAULT_BYTES;
	http_check_begin(&call->check, HTTP_CHECK_RESPONSE,
	    strcmp(request->method, "HEAD") == 0);
	call->easy = curl_easy_init();
	status = lstr_buf_append(&call->request_body, request->body);
	if (call->easy == NULL || status != STATUS_OK) {
		call_free(call);
		return status_set(STATUS_NO_MEMORY, "HTTP call");
	}
	if (request->deadline != 0) {
		status = loop_timer_create(
		    fetch->loop, on_deadline, call, &call->timer);
		if (status != STATUS_OK) {
			call_free(call);
			return status;
		}
		loop_timer_set(call->timer, request->deadline);
		call->deadline = request->deadline;
		call->progress_usec = request->progress_usec;
		call->progress_deadline = request->progress_deadline;
	}
	set_options(call, request);
	if (curl_multi_add_handle(fetch->multi, call->easy) != CURLM_OK) {
		call_free(call);
		return status_set(STATUS_IO, "HTTP call cannot start");
	}
	if (out != NULL)
		*out = call;
	return STATUS_OK;
}

/*
 * Cancels a call without calling done. If called from the data callback, the
 * call ends when the callback returns. NULL is allowed.
 */
void
fetch_cancel(struct fetch_call *call)
{
	if (call == NULL)
		return;
	if (call->in_data_callback) {
		call->cancelled = true;
		return;
	}
	curl_multi_remove_handle(call->fetch->multi, call->easy);
	call_free(call);
}

/*
 * Returns the HTTP status of the response, or 0 before its head has arrived or
 * if it is not valid.
 */
long
fetch_http_status(const struct fetch_call *call)
{
	return call->head_done && call->check.fault == HTTP_CHECK_VALID
	    ? (long)call->check.status
	    : 0;
}

/*
 * Returns the value of a header of the response; empty if there is none, or if
 * the response is not valid.
 */
struct lstr
fetch_header(const struct fetch_call *call, const char *name)
{
	struct curl_header *header = NULL;

	if (fetch_http_status(call) == 0 ||
	    curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
		CURLHE_OK)
		return lstr_make("", 0);
	return lstr_from(header->value);
}
