#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#include "backend_call.h"
#include "slog.h"

/* "IP:PORT" */
#define ADDRESS_MAX_BYTES (INET_ADDRSTRLEN + 6)
/* Limit of the response body; a server that sends more is faulty. */
#define RESPONSE_MAX_BYTES ((size_t)256 * 1024)

struct backend_call {
	struct loop *loop;
	struct sockaddr_in address;
	const struct adapter *adapter;
	struct h1_conn *conn;
	struct loop_timer *timer;
	struct lstr_buf body;
	struct adapter_notice notice;
	backend_call_fn fn;
	void *arg;
};

/*
 * Closes the connection, passes the result to the callback and frees the call.
 */
static void
finish(struct backend_call *backend_call, enum status status)
{
	struct backend_call_result result = {.status = status,
	    .http_status =
		status == STATUS_OK ? h1_status(backend_call->conn) : 0,
	    .body = lstr_buf_view(&backend_call->body),
	    .notice = backend_call->notice};

	h1_close(backend_call->conn);
	loop_timer_destroy(backend_call->timer);
	backend_call->fn(&result, backend_call->arg);
	lstr_buf_free(&backend_call->body);
	free(backend_call);
}

/*
 * Keeps what the server states about itself; finish() reads the status code.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	struct backend_call *backend_call = arg;
	struct adapter_response response;

	backend_call->adapter->parse_response(conn, &response);
	backend_call->notice = response.notice;
}

/*
 * Appends a chunk of the response body. Ends the call if the body is too large:
 * a faulty server sends bytes until its connection is closed.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct backend_call *backend_call = arg;

	(void)conn;
	if (backend_call->body.len + bytes.len > RESPONSE_MAX_BYTES ||
	    lstr_buf_append(&backend_call->body, bytes) != STATUS_OK)
		finish(backend_call,
		    status_set(STATUS_FULL, "answer without end"));
}

/*
 * Ends the call after a complete response.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	(void)conn;
	finish(arg, STATUS_OK);
}

/*
 * Ends the call with the connection's status when the connection closed before
 * the response was complete.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct backend_call *backend_call = arg;
	char address[ADDRESS_MAX_BYTES];
	char ip[INET_ADDRSTRLEN] = "";

	(void)conn;
	if (status == STATUS_INVALID) {
		inet_ntop(
		    AF_INET, &backend_call->address.sin_addr, ip, sizeof(ip));
		snprintf(address, sizeof(address), "%s:%u", ip,
		    ntohs(backend_call->address.sin_port));
		slog_event(EV_ANSWER_REFUSED, "{s:s, s:s, s:s}", "id", "",
		    "server", address, "reason", status_message());
	}
	finish(backend_call, status);
}

/*
 * Ends the call with STATUS_TIMEOUT at its deadline.
 */
static void
on_timer(void *arg)
{
	finish(arg, STATUS_TIMEOUT);
}

static const struct h1_ops ops = {
    NULL, NULL, on_head, on_body, on_complete, on_ended};

/*
 * Connects to a server, sends a serialized request and starts the timer for
 * its deadline. Returns false, without calling fn, if nothing was sent.
 */
bool
backend_call_start(struct h1 *h1, struct loop *loop,
    const struct adapter *adapter, const struct sockaddr_in *address,
    struct lstr request, int64_t deadline, backend_call_fn fn, void *arg)
{
	struct backend_call *backend_call = calloc(1, sizeof(*backend_call));

	if (backend_call == NULL)
		return false;
	backend_call->loop = loop;
	backend_call->adapter = adapter;
	backend_call->address = *address;
	backend_call->fn = fn;
	backend_call->arg = arg;
	if (loop_timer_create(loop, on_timer, backend_call,
		&backend_call->timer) != STATUS_OK) {
		free(backend_call);
		return false;
	}
	if (h1_connect(h1, address, deadline, &ops, backend_call,
		&backend_call->conn) != STATUS_OK) {
		loop_timer_destroy(backend_call->timer);
		free(backend_call);
		return false;
	}
	loop_timer_set(backend_call->timer, deadline);
	h1_expect_response(backend_call->conn, false);
	h1_write(backend_call->conn, request);
	return true;
}
