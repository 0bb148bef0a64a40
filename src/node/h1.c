#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "h1_priv.h"

#define READ_BYTES ((size_t)32 * 1024)
/* The same while memory is short: what follows a message is kept until that is
 * answered, and many callers may send requests ahead. */
#define READ_SHORT_BYTES ((size_t)4 * 1024)
/* A larger output buffer is freed once it is empty. */
#define OUTPUT_KEPT_BYTES ((size_t)16 * 1024)
/* Input buffered while a response is in progress; the rest stays in the socket
 * buffer. */
#define PENDING_INPUT_MAX_BYTES ((size_t)64 * 1024)
#define HEADERS_MAX 128
#define HEAD_GROW_BYTES ((size_t)256)
/* A connection fails if sent bytes stay unacknowledged for this long. */
#define USER_TIMEOUT_MS 3000
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* Largest response head; a server that sends more is faulty. */
#define RESPONSE_HEAD_MAX_BYTES ((size_t)64 * 1024)
/* Most interim responses (1xx) before a response. */
#define INTERIM_MAX 16

static const http_parser_settings parser_settings;

/*
 * Frees closed connections. Runs from a timer, so that none is freed within
 * its own callback.
 */
static void
on_reap(void *arg)
{
	struct h1 *h1 = arg;

	while (h1->closed != NULL) {
		struct h1_conn *conn = h1->closed;

		h1->closed = conn->next;
		h1_free_buffers(conn);
		free(conn);
	}
}

/*
 * Creates the state that connections share. It must outlive all connections.
 */
enum status
h1_create(struct loop *loop, struct h1 **out)
{
	struct h1 *h1 = calloc(1, sizeof(*h1));
	enum status status;

	if (h1 == NULL)
		return status_set(STATUS_NO_MEMORY, "HTTP connections");
	h1->loop = loop;
	status = loop_timer_create(loop, on_reap, h1, &h1->reaper);
	if (status != STATUS_OK) {
		free(h1);
		return status;
	}
	*out = h1;
	return STATUS_OK;
}

/*
 * Frees the shared state. All connections must have been closed.
 */
void
h1_destroy(struct h1 *h1)
{
	if (h1 == NULL)
		return;
	on_reap(h1);
	loop_timer_destroy(h1->reaper);
	free(h1);
}

/*
 * Returns the counters over all connections.
 */
const struct h1_counts *
h1_counts(const struct h1 *h1)
{
	return &h1->counts;
}

/*
 * Closes a connection immediately. Unsent output is discarded and no callback
 * follows.
 */
void
h1_close(struct h1_conn *conn)
{
	struct h1 *h1;

	if (conn == NULL || conn->is_closed)
		return;
	h1 = conn->h1;
	h1_note_closing(conn);
	conn->is_closed = true;
	loop_watch_destroy(conn->watch);
	conn->watch = NULL;
	loop_timer_destroy(conn->timer);
	conn->timer = NULL;
	close(conn->fd);
	if (conn->listener != NULL) {
		if (conn->prev != NULL)
			conn->prev->next = conn->next;
		else
			conn->listener->conns = conn->next;
		if (conn->next != NULL)
			conn->next->prev = conn->prev;
		conn->listener->count--;
	}
	conn->next = h1->closed;
	h1->closed = conn;
	loop_timer_set(h1->reaper, 0);
}

/*
 * Closes a connection immediately and records why.
 */
void
h1_close_for(struct h1_conn *conn, enum h1_close_reason reason)
{
	conn->close_reason = reason;
	h1_close(conn);
}

/*
 * Closes a connection with a reset, so that the peer does not take the end of
 * the connection for that of a message without a length.
 */
void
h1_reset(struct h1_conn *conn)
{
	const struct linger linger = {.l_onoff = 1};

	if (conn == NULL || conn->is_closed)
		return;
	setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	h1_close(conn);
}

/*
 * Closes a connection that failed or that the peer closed, and notifies its
 * owner unless it called h1_close_gracefully().
 */
static void
close_and_notify(
    struct h1_conn *conn, enum h1_close_reason reason, enum status status)
{
	if (conn->is_closed)
		return;
	h1_close_for(conn, reason);
	if (!conn->lingering)
		conn->ops->ended(conn, status, conn->arg);
}

/*
 * Extends the time for which a connection may be idle. Between requests, its
 * peer relies on the time that the last response stated.
 */
void
h1_note_progress(struct h1_conn *conn)
{
	int64_t usec;

	conn->idle_since = loop_now(conn->h1->loop);
	if (conn->listener == NULL)
		return;
	usec = conn->listener->limits->idle_timeout_usec;
	if (conn->head_started_at == 0)
		usec = MAX(usec, conn->stated_usec);
	conn->idle_until = conn->idle_since + usec;
}

/*
 * Extends the time of a lingering connection whose peer accepts output.
 */
static void
extend_linger(struct h1_conn *conn)
{
	int64_t now = loop_now(conn->h1->loop);

	loop_timer_set(
	    conn->timer, MIN(now + H1_LINGER_USEC, conn->linger_until));
}

/*
 * Extends the timeouts of a connection whose peer has accepted output.
 */
static void
note_sent(struct h1_conn *conn)
{
	h1_note_progress(conn);
	if (conn->lingering)
		extend_linger(conn);
}

/*
 * Returns whether the peer has acknowledged output since the last call. While
 * the socket accepts no more, this is the only sign that the peer reads: the
 * socket becomes writable only after a good part of its buffer is free.
 */
static bool
has_acknowledged(struct h1_conn *conn)
{
	int before = conn->unacknowledged;

	if (ioctl(conn->fd, SIOCOUTQ, &conn->unacknowledged) != 0)
		conn->unacknowledged = 0;
	return conn->unacknowledged < before;
}

/*
 * Notes the progress of a peer that reads more slowly than the socket needs to
 * become writable. While memory is short such connections give way all the
 * same, so this is not called then.
 */
void
h1_check_progress(struct h1_conn *conn)
{
	if (conn->out.len > 0 && !conn->connecting && has_acknowledged(conn))
		h1_note_progress(conn);
}

/*
 * Fails a connection whose output cannot be delivered. The callback is
 * deferred: the caller of h1_write() still uses the connection.
 */
static void
fail_write(struct h1_conn *conn, enum h1_close_reason reason)
{
	conn->write_failed = true;
	conn->write_failure = reason;
	loop_watch_set(conn->watch, 0);
	loop_timer_set(conn->timer, 0);
}

/*
 * Sends as much of the output as the socket accepts without blocking.
 */
static void
flush_output(struct h1_conn *conn)
{
	unsigned int wanted = LOOP_READ;

	if (conn->write_failed)
		return;
	while (h1_has_output(conn) && !conn->connecting) {
		struct lstr next =
		    conn->out.len > 0 ? lstr_buf_view(&conn->out) : conn->lent;
		ssize_t n = send(conn->fd, next.data, next.len, MSG_NOSIGNAL);

		if (n > 0) {
			if (conn->out.len > 0)
				lstr_buf_consume(&conn->out, (size_t)n);
			else
				conn->lent = lstr_make(
				    next.data + n, next.len - (size_t)n);
			note_sent(conn);
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			has_acknowledged(conn);
			break;
		}
		fail_write(conn,
		    errno == EPIPE || errno == ECONNRESET
			? H1_CLOSE_PEER
			: H1_CLOSE_NOT_WRITTEN);
		return;
	}
	if (conn->out.len == 0 && conn->out.size > OUTPUT_KEPT_BYTES) {
		lstr_buf_free(&conn->out);
		h1_account(conn);
	}
	if (h1_has_output(conn) || conn->connecting)
		wanted |= LOOP_WRITE;
	else if (conn->lingering)
		shutdown(conn->fd, SHUT_WR);
	loop_watch_set(conn->watch, wanted);
}

/*
 * Sends what the socket accepts if no output is queued, and returns the rest.
 * An error is found again when the rest is sent.
 */
static struct lstr
send_directly(struct h1_conn *conn, struct lstr bytes)
{
	ssize_t n = -1;

	if (conn->out.len == 0 && !conn->connecting && bytes.len > 0)
		n = send(conn->fd, bytes.data, bytes.len, MSG_NOSIGNAL);
	if (n <= 0)
		return bytes;
	note_sent(conn);
	return lstr_make(bytes.data + n, bytes.len - (size_t)n);
}

/*
 * Sends what the socket accepts and queues the rest. Returns STATUS_FULL if
 * output is unsent and would become more than H1_OUTPUT_MAX_BYTES; the peer
 * does not read and the connection should be closed. A response that is written
 * at once may be larger. Returns STATUS_NO_MEMORY if the rest does not fit into
 * the memory for callers; the connection fails if a part has been sent.
 */
enum status
h1_write(struct h1_conn *conn, struct lstr bytes)
{
	enum status status;
	size_t len = bytes.len;

	if (conn->is_closed || conn->write_failed)
		return status_set(STATUS_CLOSED, "connection is closed");
	assert(conn->lent.len == 0);
	if (conn->out.len > 0 &&
	    conn->out.len + bytes.len > H1_OUTPUT_MAX_BYTES)
		return status_set(STATUS_FULL, "peer does not read");
	bytes = send_directly(conn, bytes);
	status = conn->listener == NULL ? STATUS_OK
					: h1_grow_output(conn, bytes.len);
	if (status == STATUS_OK)
		status = lstr_buf_append(&conn->out, bytes);
	h1_account(conn);
	if (status == STATUS_OK)
		flush_output(conn);
	else if (bytes.len < len || conn->listener == NULL)
		fail_write(conn, H1_CLOSE_NOT_WRITTEN);
	return status;
}

/*
 * Puts unsent output before the contents of a buffer that holds more, so that
 * the buffer can take its place. Returns false if the output stays as it is.
 */
static bool
prepend_output(struct h1_conn *conn, struct lstr_buf *buf)
{
	if (conn->out.len == 0)
		return true;
	return conn->out.len < buf->len &&
	    conn->out.len + buf->len <= H1_OUTPUT_MAX_BYTES &&
	    lstr_buf_prepend(buf, lstr_buf_view(&conn->out)) == STATUS_OK;
}

/*
 * The same for the contents of a buffer, which is emptied. Its memory is used
 * for the output unless more than that is unsent, so that large messages are
 * not copied and need no room in the memory for callers.
 */
enum status
h1_write_buf(struct h1_conn *conn, struct lstr_buf *buf)
{
	enum status status = STATUS_OK;

	if (conn->is_closed || conn->write_failed ||
	    !prepend_output(conn, buf)) {
		status = h1_write(conn, lstr_buf_view(buf));
		lstr_buf_free(buf);
		return status;
	}
	lstr_buf_free(&conn->out);
	conn->out = *buf;
	memset(buf, 0, sizeof(*buf));
	h1_account(conn);
	flush_output(conn);
	return status;
}

/*
 * Client: sends bytes after the output without a copy. They belong to the
 * caller and must not change until they are sent or the connection is closed.
 * Nothing more may be written before.
 */
enum status
h1_lend(struct h1_conn *conn, struct lstr bytes)
{
	if (conn->is_closed || conn->write_failed)
		return status_set(STATUS_CLOSED, "connection is closed");
	assert(conn->listener == NULL && conn->lent.len == 0);
	conn->lent = bytes;
	flush_output(conn);
	return STATUS_OK;
}

/*
 * Returns whether queued output has not been sent.
 */
bool
h1_has_output(const struct h1_conn *conn)
{
	return conn->out.len > 0 || conn->lent.len > 0;
}

/*
 * Returns the number of queued bytes that have not been sent.
 */
size_t
h1_unsent_bytes(const struct h1_conn *conn)
{
	return conn->out.len + conn->lent.len;
}

/*
 * Discards the last message.
 */
static void
message_reset(struct h1_conn *conn)
{
	lstr_buf_clear(&conn->head_text);
	conn->header_count = 0;
	conn->target = (struct span){0, 0};
	conn->in_value = false;
	conn->head_done = false;
	conn->complete = false;
}

/*
 * Appends bytes to the head and extends a span over them. Returns non-zero to
 * stop the parser: the head is too large or memory is exhausted.
 */
static int
head_append(struct h1_conn *conn, struct span *span, const char *at, size_t len)
{
	size_t max = conn->listener != NULL
	    ? conn->listener->limits->head_max_bytes
	    : RESPONSE_HEAD_MAX_BYTES;

	if (conn->head_text.len + len > max) {
		conn->fault = H1_FAULT_HEAD_TOO_LARGE;
		return 1;
	}
	if (span->len == 0)
		span->offset = (uint32_t)conn->head_text.len;
	if (h1_grow(conn, &conn->head_text,
		conn->head_text.size == 0 ? MAX(len, HEAD_GROW_BYTES) : len,
		max) != STATUS_OK ||
	    lstr_buf_append(&conn->head_text, lstr_make(at, len)) !=
		STATUS_OK) {
		conn->fault = H1_FAULT_NO_MEMORY;
		return 1;
	}
	h1_account(conn);
	span->len += (uint32_t)len;
	return 0;
}

/*
 * Parser callback: start of a message, after empty lines.
 */
static int
on_begin(http_parser *parser)
{
	struct h1_conn *conn = parser->data;

	message_reset(conn);
	if (conn->listener == NULL)
		return 0;
	conn->head_started_at = loop_now(conn->h1->loop);
	conn->head_until =
	    conn->head_started_at + conn->listener->limits->head_timeout_usec;
	h1_note_progress(conn);
	return 0;
}

/*
 * Parser callback: bytes of the request target.
 */
static int
on_url(http_parser *parser, const char *at, size_t len)
{
	struct h1_conn *conn = parser->data;

	return head_append(conn, &conn->target, at, len);
}

/*
 * Parser callback: bytes of a header name. Trailers are ignored.
 */
static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct h1_conn *conn = parser->data;

	if (conn->head_done)
		return 0;
	if (conn->in_value || conn->header_count == 0) {
		if (conn->header_count == HEADERS_MAX) {
			conn->fault = H1_FAULT_HEAD_TOO_LARGE;
			return 1;
		}
		if (conn->header_count == conn->header_capacity) {
			uint32_t capacity = conn->header_capacity * 2 + 16;
			struct header *larger =
			    realloc(conn->headers, capacity * sizeof(*larger));

			if (larger == NULL) {
				conn->fault = H1_FAULT_NO_MEMORY;
				return 1;
			}
			conn->headers = larger;
			conn->header_capacity = capacity;
			h1_account(conn);
		}
		conn->headers[conn->header_count] = (struct header){0};
		conn->header_count++;
		conn->in_value = false;
	}
	return head_append(
	    conn, &conn->headers[conn->header_count - 1].name, at, len);
}

/*
 * Parser callback: bytes of a header value. Trailers are ignored.
 */
static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct h1_conn *conn = parser->data;

	if (conn->head_done)
		return 0;
	conn->in_value = true;
	return head_append(
	    conn, &conn->headers[conn->header_count - 1].value, at, len);
}

/*
 * Returns whether a response is interim (1xx) and a final one follows.
 */
static bool
is_interim(const struct h1_conn *conn)
{
	return conn->listener == NULL && conn->parser.status_code / 100 == 1;
}

/*
 * Parser callback: the head is complete. Returns 1 if no body follows, -1 to
 * stop the parser.
 */
static int
on_headers(http_parser *parser)
{
	struct h1_conn *conn = parser->data;

	conn->head_done = true;
	if (is_interim(conn))
		return ++conn->interim_count > INTERIM_MAX ? -1 : 0;
	conn->interim_count = 0;
	conn->ops->head(conn, conn->arg);
	if (conn->is_closed)
		return -1;
	return http_check_has_content(&conn->check) ? 0 : 1;
}

/*
 * Parser callback: bytes of the body.
 */
static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct h1_conn *conn = parser->data;

	if (is_interim(conn))
		return 0;
	conn->ops->body(conn, lstr_make(at, len), conn->arg);
	return conn->is_closed ? -1 : 0;
}

/*
 * Parser callback: the message is complete. Pauses the parser, so that the
 * bytes after the message are not parsed yet.
 */
static int
on_complete(http_parser *parser)
{
	struct h1_conn *conn = parser->data;

	if (is_interim(conn))
		return 0;
	conn->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/*
 * Returns the status of a message that could not be read, with the reason as
 * its message.
 */
static enum status
error_status(const struct h1_conn *conn)
{
	if (conn->fault == H1_FAULT_NO_MEMORY)
		return status_set(STATUS_NO_MEMORY, "no memory for a head");
	if (conn->fault == H1_FAULT_HEAD_TOO_LARGE)
		return status_set(STATUS_INVALID, "head is too large");
	return status_set(STATUS_INVALID, "%s",
	    conn->check.fault == HTTP_CHECK_VALID
		? "not valid HTTP"
		: http_check_fault_text(conn->check.fault));
}

/*
 * Handles a protocol error. Reports an unreadable request to the owner through
 * complete; a client connection, or one that is busy, is closed.
 */
void
h1_protocol_error(struct h1_conn *conn)
{
	conn->h1->counts.protocol_errors++;
	if (conn->listener == NULL)
		conn->h1->counts.answers_refused++;
	if (conn->listener == NULL || conn->busy) {
		close_and_notify(conn, H1_CLOSE_NOT_READ, error_status(conn));
		return;
	}
	if (conn->fault == H1_FAULT_NONE)
		conn->fault = H1_FAULT_MALFORMED;
	conn->busy = true;
	conn->ops->complete(conn, conn->arg);
}

/*
 * Keeps what follows a message. If the parsed bytes were pending input, they
 * are removed from it instead.
 */
static enum status
keep_rest(struct h1_conn *conn, struct lstr bytes, size_t used)
{
	enum status status = STATUS_OK;

	if (conn->pending_input.len == 0 && used == bytes.len)
		return STATUS_OK;
	if (conn->pending_input.len == 0)
		status = lstr_buf_append(&conn->pending_input,
		    lstr_make(bytes.data + used, bytes.len - used));
	else
		lstr_buf_consume(&conn->pending_input, used);
	if (conn->pending_input.len == 0)
		lstr_buf_free(&conn->pending_input);
	h1_account(conn);
	return status;
}

/*
 * Returns how many bytes belong to the message being received and are valid.
 */
static size_t
check_message(struct h1_conn *conn, struct lstr bytes)
{
	struct lstr rest = bytes;
	struct lstr body;
	enum http_check_event event;

	if (conn->listener != NULL && http_check_is_complete(&conn->check))
		http_check_begin(&conn->check, HTTP_CHECK_REQUEST, false);
	do
		event = http_check_next(&conn->check, &rest, &body);
	while (event == HTTP_CHECK_HEAD || event == HTTP_CHECK_BODY);
	return bytes.len - rest.len;
}

/*
 * Parses bytes, which are the pending input if there is any, until a message is
 * complete and keeps the rest. The parser reads only what was checked: it
 * accepts statuses outside 100 to 599 and, depending on how it was built,
 * blanks in field names and malformed chunks.
 */
static void
parse(struct h1_conn *conn, struct lstr bytes)
{
	size_t valid = check_message(conn, bytes);
	size_t used = 0;

	if (valid > 0)
		used = http_parser_execute(
		    &conn->parser, &parser_settings, bytes.data, valid);
	if (conn->is_closed || conn->lingering)
		return;
	if (keep_rest(conn, bytes, conn->complete ? used : bytes.len) !=
	    STATUS_OK) {
		close_and_notify(conn, H1_CLOSE_NOT_READ, STATUS_NO_MEMORY);
		return;
	}
	if (conn->complete != http_check_is_complete(&conn->check)) {
		h1_protocol_error(conn);
		return;
	}
	if (conn->complete) {
		http_parser_pause(&conn->parser, 0);
		conn->busy = conn->listener != NULL;
		h1_note_progress(conn);
		conn->not_reusable = conn->listener == NULL &&
		    (conn->pending_input.len > 0 ||
			http_check_may_be_followed(&conn->check));
		conn->ops->complete(conn, conn->arg);
		return;
	}
	if (conn->parser.upgrade || used != bytes.len ||
	    HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		h1_protocol_error(conn);
}

/*
 * Handles bytes received from the socket. A server buffers them while a
 * response is in progress.
 */
static void
handle_input(struct h1_conn *conn, struct lstr bytes)
{
	if (conn->lingering)
		return;
	if (conn->listener != NULL && conn->busy) {
		if (lstr_buf_append(&conn->pending_input, bytes) != STATUS_OK)
			close_and_notify(
			    conn, H1_CLOSE_NOT_READ, STATUS_NO_MEMORY);
		else
			h1_account(conn);
		return;
	}
	if (conn->listener == NULL && !conn->busy) {
		/* Response bytes without a request. */
		close_and_notify(conn, H1_CLOSE_NOT_READ,
		    status_set(STATUS_INVALID, "unexpected bytes"));
		return;
	}
	/* Empty lines between requests are no progress. */
	if (conn->listener == NULL || conn->head_started_at != 0)
		h1_note_progress(conn);
	parse(conn, bytes);
}

/*
 * Handles end of file from the peer, which completes a response without a
 * length.
 */
static void
handle_eof(struct h1_conn *conn)
{
	if (conn->listener == NULL && conn->busy && conn->head_done &&
	    !conn->complete) {
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
		if (conn->is_closed)
			return;
		if (conn->complete &&
		    http_check_ends_with_connection(&conn->check)) {
			conn->not_reusable = true;
			conn->ended_by_close = true;
			conn->ops->complete(conn, conn->arg);
			if (conn->is_closed)
				return;
		}
	}
	close_and_notify(conn, H1_CLOSE_PEER,
	    status_set(STATUS_CLOSED, "closed by the peer"));
}

/*
 * Parses the pending input as far as the end of the next message from the
 * timer, so that neither memory nor the stack grows with the number of
 * messages, and other connections are served in between.
 */
static void
parse_pending_soon(struct h1_conn *conn)
{
	if (conn->pending_input.len == 0)
		return;
	conn->pending_due = true;
	loop_timer_set(conn->timer, loop_now(conn->h1->loop));
}

/*
 * Parses the pending input as far as the end of the next message, and reads
 * from the socket again.
 */
static void
parse_pending(struct h1_conn *conn)
{
	conn->pending_due = false;
	loop_watch_set(
	    conn->watch, LOOP_READ | (h1_has_output(conn) ? LOOP_WRITE : 0));
	handle_input(conn, lstr_buf_view(&conn->pending_input));
}

/*
 * Reads from the socket. Stops watching for input while pending input is to be
 * parsed, the buffer for it is full, or memory is short: the rest stays in the
 * socket.
 */
static void
read_socket(struct h1_conn *conn)
{
	static char bytes[READ_BYTES];
	ssize_t n;

	if (conn->pending_due) {
		loop_watch_set(
		    conn->watch, h1_has_output(conn) ? LOOP_WRITE : 0);
		return;
	}
	if (conn->busy && conn->listener != NULL &&
	    (conn->pending_input.len >= PENDING_INPUT_MAX_BYTES ||
		(conn->pending_input.len > 0 && h1_is_short(conn)))) {
		loop_watch_set(
		    conn->watch, h1_has_output(conn) ? LOOP_WRITE : 0);
		return;
	}
	n = recv(conn->fd, bytes,
	    conn->listener != NULL && h1_is_short(conn) ? READ_SHORT_BYTES
							: sizeof(bytes),
	    0);
	if (n > 0)
		handle_input(conn, lstr_make(bytes, (size_t)n));
	else if (n == 0)
		handle_eof(conn);
	else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
		close_and_notify(conn, H1_CLOSE_PEER,
		    status_set(STATUS_IO, "recv: %s", strerror(errno)));
}

/*
 * Returns whether a connection that should be idle has unread bytes, or was
 * closed by the peer.
 */
bool
h1_has_input(const struct h1_conn *conn)
{
	char byte;
	ssize_t n = recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/*
 * Maps the error of a connect to a status.
 */
static enum status
connect_status(int error)
{
	switch (error) {
	case ECONNREFUSED:
		return STATUS_DENIED;
	case ETIMEDOUT:
		return STATUS_TIMEOUT;
	default:
		return STATUS_UNAVAILABLE;
	}
}

/*
 * Completes the non-blocking connect of a client connection.
 */
static void
finish_connect(struct h1_conn *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		conn->h1->counts.connect_failures++;
		close_and_notify(conn, H1_CLOSE_PEER,
		    status_set(
			connect_status(error), "connect: %s", strerror(error)));
		return;
	}
	conn->connecting = false;
	conn->h1->counts.connected++;
	loop_timer_clear(conn->timer);
	if (conn->ops->connected != NULL)
		conn->ops->connected(conn, conn->arg);
	if (!conn->is_closed)
		flush_output(conn);
}

/*
 * Handles readiness of a connection's socket.
 */
static void
on_ready(void *arg, unsigned int events)
{
	struct h1_conn *conn = arg;

	if (conn->connecting) {
		finish_connect(conn);
		return;
	}
	if (events & LOOP_WRITE)
		flush_output(conn);
	if (!conn->is_closed && !conn->write_failed && (events & LOOP_READ))
		read_socket(conn);
}

/*
 * Handles the timer of a connection: connecting timed out, a write failed
 * earlier, pending input is to be parsed, or the time to deliver the last
 * response has passed.
 */
static void
on_timer(void *arg)
{
	struct h1_conn *conn = arg;

	if (conn->connecting) {
		conn->h1->counts.connect_failures++;
		close_and_notify(conn, H1_CLOSE_PEER,
		    status_set(STATUS_TIMEOUT, "connect timed out"));
		return;
	}
	if (conn->write_failed)
		close_and_notify(conn, conn->write_failure,
		    status_set(STATUS_IO, "connection cannot be written"));
	else if (conn->pending_due && !conn->lingering)
		parse_pending(conn);
	else if (has_acknowledged(conn) &&
	    loop_now(conn->h1->loop) < conn->linger_until)
		extend_linger(conn);
	else
		h1_close_for(conn, H1_CLOSE_LINGERED);
}

/*
 * Sets the TCP options of a socket: no delay, user timeout and keepalive.
 */
static void
set_socket_options(int fd)
{
	int on = 1;
	int timeout = USER_TIMEOUT_MS;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/*
 * Creates a connection on a socket and takes ownership of the socket, even on
 * failure. Returns NULL on failure; status_message() gives the reason.
 */
struct h1_conn *
h1_conn_create(
    struct h1 *h1, int fd, unsigned int events, enum http_parser_type type)
{
	struct h1_conn *conn = calloc(1, sizeof(*conn));

	if (conn == NULL) {
		close(fd);
		status_set(STATUS_NO_MEMORY, "connection");
		return NULL;
	}
	conn->h1 = h1;
	conn->fd = fd;
	http_parser_init(&conn->parser, type);
	conn->parser.data = conn;
	http_check_begin(&conn->check,
	    type == HTTP_REQUEST ? HTTP_CHECK_REQUEST : HTTP_CHECK_RESPONSE,
	    false);
	if (loop_timer_create(h1->loop, on_timer, conn, &conn->timer) !=
		STATUS_OK ||
	    loop_watch_create(h1->loop, fd, events, on_ready, conn,
		&conn->watch) != STATUS_OK) {
		loop_timer_destroy(conn->timer);
		close(fd);
		free(conn);
		return NULL;
	}
	set_socket_options(fd);
	h1_note_progress(conn);
	h1_account(conn);
	return conn;
}

/*
 * Opens a client connection. If it is not established by the deadline, ended
 * is called with STATUS_TIMEOUT, with STATUS_DENIED if no process listens
 * there, or with STATUS_UNAVAILABLE. Output may be queued immediately.
 */
enum status
h1_connect(struct h1 *h1, const struct sockaddr_in *address, int64_t deadline,
    const struct h1_ops *ops, void *arg, struct h1_conn **out)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct h1_conn *conn;

	if (fd < 0)
		return status_set(STATUS_FULL, "socket: %s", strerror(errno));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
		0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return status_set(
		    STATUS_UNAVAILABLE, "connect: %s", strerror(errno));
	}
	conn = h1_conn_create(h1, fd, LOOP_READ | LOOP_WRITE, HTTP_RESPONSE);
	if (conn == NULL)
		return STATUS_NO_MEMORY;
	conn->connecting = true;
	conn->ops = ops;
	conn->arg = arg;
	loop_timer_set(conn->timer, deadline);
	*out = conn;
	return STATUS_OK;
}

/*
 * Transfers a connection to another owner.
 */
void
h1_set_owner(struct h1_conn *conn, const struct h1_ops *ops, void *arg)
{
	conn->ops = ops;
	conn->arg = arg;
}

/*
 * Attaches a pointer of the owner to a connection.
 */
void
h1_set_data(struct h1_conn *conn, void *data)
{
	conn->data = data;
}

/*
 * Returns the pointer set by h1_set_data().
 */
void *
h1_data(const struct h1_conn *conn)
{
	return conn->data;
}

/*
 * Server: ends the current response and reads the next request. One that has
 * arrived already is handled from the timer.
 */
void
h1_read_next_request(struct h1_conn *conn)
{
	if (conn->is_closed || conn->write_failed)
		return;
	conn->busy = false;
	conn->complete = false;
	conn->head_done = false;
	conn->head_started_at = 0;
	h1_note_progress(conn);
	loop_watch_set(
	    conn->watch, LOOP_READ | (h1_has_output(conn) ? LOOP_WRITE : 0));
	parse_pending_soon(conn);
}

/*
 * Client: prepares to receive the response to a request that was written.
 * head_only: the request was HEAD, so the response has no body.
 */
void
h1_expect_response(struct h1_conn *conn, bool head_only)
{
	message_reset(conn);
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	http_check_begin(&conn->check, HTTP_CHECK_RESPONSE, head_only);
	conn->busy = true;
}

/*
 * Client: discards the completed response, which belongs to another request,
 * and reads the next one instead. Called from the complete callback.
 */
void
h1_skip_response(struct h1_conn *conn)
{
	if (conn->is_closed)
		return;
	conn->not_reusable = false;
	h1_expect_response(conn, conn->check.head_only);
	parse_pending_soon(conn);
}

/*
 * Server: sends the remaining output and shuts down writing. The connection is
 * closed when the peer closes, or when it has acknowledged no output for
 * H1_LINGER_USEC, so that a reset does not destroy the response.
 */
void
h1_close_gracefully(struct h1_conn *conn)
{
	if (conn->is_closed || conn->lingering)
		return;
	conn->lingering = true;
	conn->pending_due = false;
	if (conn->write_failed)
		return;
	conn->linger_until = loop_now(conn->h1->loop) + H1_LINGER_MAX_USEC;
	extend_linger(conn);
	flush_output(conn);
	has_acknowledged(conn);
}
