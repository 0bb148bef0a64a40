#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "gateway_priv.h"
#include "notice.h"

/* Space for what is added to the head of a request that is passed on. */
#define FORWARD_HEAD_EXTRA_BYTES ((size_t)4096)

/* An idle keep-alive connection to a server. */
struct idle_conn {
	struct h1_conn *conn;
	struct pool_server *server;
	struct gateway *gateway;
	int64_t expires_at;
};

/*
 * Closes an idle connection and removes it from its server's list.
 */
static void
idle_drop(struct idle_conn *idle)
{
	g_queue_remove(&idle->server->idle, idle);
	idle->gateway->idle_count--;
	h1_close(idle->conn);
	free(idle);
}

/*
 * Drops an idle connection that closed or received unexpected bytes.
 */
static void
on_idle_ended(struct h1_conn *conn, enum status status, void *arg)
{
	(void)conn;
	(void)status;
	idle_drop(arg);
}

/*
 * Closes an idle connection that receives a message. Not expected: h1 ends an
 * idle connection that receives bytes.
 */
static void
on_idle_message(struct h1_conn *conn, void *arg)
{
	(void)arg;
	h1_close(conn);
}

/*
 * Closes an idle connection that receives a body; see on_idle_message().
 */
static void
on_idle_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	(void)bytes;
	on_idle_message(conn, arg);
}

static const struct h1_ops idle_conn_ops = {
    NULL, NULL, on_idle_message, on_idle_body, on_idle_message, on_idle_ended};

/*
 * Keeps the connection of an attempt for the next request to its server.
 */
static void
idle_keep(struct gateway *gateway, struct gateway_attempt *attempt)
{
	int64_t keep =
	    attempt->response.keep_alive_usec > GATEWAY_IDLE_MARGIN_USEC
	    ? attempt->response.keep_alive_usec - GATEWAY_IDLE_MARGIN_USEC
	    : GATEWAY_IDLE_DEFAULT_USEC;
	struct idle_conn *idle = NULL;

	if (gateway->idle_count + gateway->kept_count <
	    gateway->config.idle_max)
		idle = calloc(1, sizeof(*idle));
	if (idle == NULL) {
		h1_close(attempt->conn);
		return;
	}
	gateway->idle_count++;
	idle->gateway = gateway;
	idle->conn = attempt->conn;
	idle->server = attempt->server;
	idle->expires_at = gateway_now(gateway) + keep;
	h1_set_owner(attempt->conn, &idle_conn_ops, idle);
	g_queue_push_tail(&attempt->server->idle, idle);
}

/*
 * Returns the most recently used idle connection, or NULL if there is none.
 * Closes expired ones, which the server is about to close, and those with
 * unread bytes, which belong to no request.
 */
static struct h1_conn *
idle_take(struct gateway *gateway, struct pool_server *server)
{
	int64_t now = gateway_now(gateway);
	struct idle_conn *idle;
	struct h1_conn *conn;

	while ((idle = g_queue_peek_head(&server->idle)) != NULL &&
	    idle->expires_at <= now)
		idle_drop(idle);
	while ((idle = g_queue_peek_tail(&server->idle)) != NULL) {
		if (h1_has_input(idle->conn)) {
			idle_drop(idle);
			continue;
		}
		g_queue_pop_tail(&server->idle);
		gateway->idle_count--;
		conn = idle->conn;
		free(idle);
		return conn;
	}
	return NULL;
}

/*
 * Closes the idle connections of a server that has been removed.
 */
void
gateway_close_idle_connections(
    struct gateway *gateway, struct pool_server *server)
{
	struct idle_conn *idle;

	(void)gateway;
	while ((idle = g_queue_peek_head(&server->idle)) != NULL)
		idle_drop(idle);
}

/*
 * Makes room for the connection of an attempt that is kept, which takes the
 * place of an idle one if all are in use. Returns false if there is none.
 */
bool
gateway_make_room_for_kept(struct gateway *gateway)
{
	size_t max = gateway->config.idle_max;
	GHashTableIter iter;
	gpointer server;

	if (gateway->kept_count >= max)
		return false;
	g_hash_table_iter_init(&iter, gateway->config.pool->by_id);
	while (gateway->idle_count + gateway->kept_count >= max &&
	    g_hash_table_iter_next(&iter, NULL, &server)) {
		GQueue *idle = &((struct pool_server *)server)->idle;

		if (!g_queue_is_empty(idle))
			idle_drop(g_queue_peek_head(idle));
	}
	return gateway->idle_count + gateway->kept_count < max;
}

/*
 * Applies what a server states about itself in a response. The connections to a
 * server that is leaving are not used again.
 */
void
gateway_note_response(struct gateway *gateway, struct pool_server *server,
    const struct adapter_notice *notice)
{
	bool was_leaving;

	server = pool_find_process(gateway->config.pool, server);
	was_leaving = server->leaving;
	notice_apply(
	    gateway->config.pool, server, notice, gateway_now(gateway));
	if (server->leaving && !was_leaving) {
		gateway_close_idle_connections(gateway, server);
		gossip_report_soon(gateway->config.gossip);
	}
}

/*
 * Returns the time in microseconds until the servers of a request's service
 * want requests again; 0: if none can be used, the reason is another one.
 */
int64_t
gateway_wanted_usec(const struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	int64_t now = gateway_now(gateway);
	GPtrArray *servers =
	    pool_service_servers(gateway->config.pool, request->service->name);
	int64_t wanted_at =
	    pool_wanted_at(servers, request->service->engine, now);

	g_ptr_array_free(servers, TRUE);
	return wanted_at == 0 ? 0 : wanted_at - now;
}

/*
 * Adds (sign 1) or removes (sign -1) the load of an attempt at its servers.
 */
void
gateway_add_load(const struct gateway_attempt *attempt, int sign)
{
	struct pool_server *server = attempt->server;

	if (attempt->stage_count == 0) {
		server->own.active += (uint32_t)sign;
		return;
	}
	server->own.first_active += (uint32_t)sign;
	for (uint32_t i = 0; i < attempt->stage_count; i++) {
		const struct gateway_stage *stage = &attempt->stages[i];

		stage->server->own.active += (uint32_t)sign;
		stage->server->own.memory += sign * attempt->tokens *
		    (stage->layer_to - stage->layer_from);
	}
}

/*
 * Ends an attempt: releases its load and keeps or closes its connection.
 * Closing makes the server stop working on the request.
 */
void
gateway_attempt_end(struct gateway_request *request, bool reusable)
{
	struct gateway_attempt *attempt = &request->attempt;
	struct sse sse = attempt->sse;

	gateway_reroute_detach(attempt);
	if (attempt->server != NULL) {
		gateway_add_load(attempt, -1);
		gateway_note_use(request, -1);
		if (attempt->conn != NULL && reusable &&
		    h1_is_reusable(attempt->conn) &&
		    attempt->server->avoid_until != INT64_MAX &&
		    !attempt->server->leaving)
			idle_keep(request->gateway, attempt);
		else
			h1_close(attempt->conn);
	}
	sse_reset(&sse);
	memset(attempt, 0, sizeof(*attempt));
	attempt->sse = sse;
}

/*
 * Marks the connection of an attempt as established.
 */
static void
on_connected(struct h1_conn *conn, void *arg)
{
	struct gateway_request *request = arg;

	(void)conn;
	request->attempt.connecting = false;
}

/*
 * Handles a response head. A response with another identifier is a late one to
 * an earlier request and is discarded. One without an identifier on a reused
 * connection may be an earlier one once more, so it shows nothing about this
 * request.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	struct gateway_request *request = arg;
	struct gateway_attempt *attempt = &request->attempt;

	request->gateway->config.adapter->parse_response(
	    conn, &attempt->response);
	gateway_note_response(
	    request->gateway, attempt->server, &attempt->response.notice);
	if (attempt->response.id.len > 0 &&
	    !lstr_equal_c(attempt->response.id, request->id)) {
		attempt->skipping = true;
		request->gateway->counts.stray_answers++;
		return;
	}
	if (attempt->response.id.len == 0 && attempt->reused) {
		request->gateway->counts.stray_answers++;
		gateway_attempt_failed(request, false,
		    "answer without an identifier on a reused connection");
		return;
	}
	attempt->response_received = true;
	attempt->last_progress_at = gateway_now(request->gateway);
	if (request->service->engine != NULL)
		gateway_stream_head(request);
	else
		gateway_plain_head(request);
}

/*
 * Counts bytes of a response body. Returns true if it is larger than a response
 * of its kind can be.
 */
static bool
exceeds_limit(struct gateway_attempt *attempt, size_t len)
{
	attempt->received_bytes += len;
	return attempt->received_bytes >
	    (attempt->skipping || attempt->response.not_run
		    ? GATEWAY_DISCARDED_MAX_BYTES
		    : GATEWAY_RESPONSE_MAX_BYTES);
}

/*
 * Handles bytes of a response body.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct gateway_request *request = arg;

	(void)conn;
	if (exceeds_limit(&request->attempt, bytes.len)) {
		gateway_avoid_server(request->gateway, request->attempt.server,
		    POOL_FAULTY, "answer without end");
		gateway_attempt_failed(request, false, "answer without end");
		return;
	}
	if (request->attempt.skipping)
		return;
	if (request->service->engine != NULL) {
		gateway_stream_body(request, bytes);
		return;
	}
	request->attempt.last_progress_at = gateway_now(request->gateway);
	gateway_plain_body(request, bytes);
}

/*
 * Logs that the connection to a server ended before its answer was complete.
 */
static void
log_cut(const struct gateway_request *request)
{
	struct lstr_buf parts = {0};

	for (size_t i = 0; i < request->info.part_count; i++)
		lstr_buf_printf(&parts, "%s%" G_GINT64_MODIFIER "x",
		    i > 0 ? "," : "", request->info.parts[i]);
	slog_event(EV_REQUEST_CUT, "{s:s, s:s, s:i, s:i, s:s%}", "id",
	    request->id, "server", request->attempt.server->info.id, "events",
	    (int)request->attempt.events, "server_status",
	    (int)request->attempt.response.status, "parts",
	    parts.len > 0 ? parts.data : "", parts.len);
	lstr_buf_free(&parts);
}

/*
 * Logs a response that is not valid. A stream is sent again along a path
 * without that engine, which is avoided if it keeps sending them and such a
 * path has room. Servers of plain services are chosen by their failures.
 */
void
gateway_note_broken_answer(struct gateway_request *request,
    struct pool_server *server, const char *reason)
{
	bool repeated = pool_note_broken_answer(server);

	slog_event(EV_ANSWER_REFUSED, "{s:s, s:s, s:s, s:i}", "id", request->id,
	    "server", server->info.id, "reason", reason, "sends",
	    (int)request->attempts.count);
	if (request->service->engine == NULL)
		return;
	gateway_stream_suspect(request, server);
	if (repeated && gateway_stream_has_path(request))
		gateway_avoid_server(request->gateway, server, POOL_FAULTY,
		    "answers that are not valid");
}

/*
 * Fails an attempt whose response is not valid. Its server has not ended, so
 * this is no evidence against the parts of the prompt; but the request is not
 * repeated more often than one that may have ended its servers.
 */
static void
on_broken(struct gateway_request *request, const char *reason)
{
	struct pool_server *server = request->attempt.server;

	pool_note_result(server, false);
	gateway_note_broken_answer(request, server, reason);
	if (request->service->engine != NULL)
		request->cuts++;
	gateway_attempt_failed(request, false, "answer is not valid");
}

/*
 * Fails an attempt whose connection closed before the response was complete.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct gateway_request *request = arg;
	struct gateway_attempt *attempt = &request->attempt;
	bool not_sent = attempt->connecting;
	bool stale_reuse = attempt->reused && !attempt->response_received;
	int64_t now = gateway_now(request->gateway);

	(void)conn;
	if (status == STATUS_INVALID) {
		on_broken(request, status_message());
		return;
	}
	if (!not_sent || status == STATUS_DENIED)
		pool_note_connection_lost(attempt->server);
	if (not_sent &&
	    pool_avoid(attempt->server,
		status == STATUS_TIMEOUT ? POOL_SILENT : POOL_FAULTY, now))
		slog_event(EV_SERVER_AVOIDED, "{s:s, s:s, s:s}", "server",
		    attempt->server->info.id, "evidence", "connect", "status",
		    status_name(status));
	if (!not_sent && !stale_reuse) {
		pool_note_result(attempt->server, false);
		log_cut(request);
	}
	gateway_quarantine_note_end(request);
	gateway_attempt_failed(request, not_sent,
	    not_sent ? "server cannot be reached"
		     : "connection ended before the answer");
}

/*
 * Handles the end of a response.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct gateway_request *request = arg;

	if (request->attempt.skipping) {
		request->attempt.skipping = false;
		request->attempt.received_bytes = 0;
		h1_skip_response(conn);
		return;
	}
	if (request->service->engine != NULL &&
	    gateway_stream_is_broken_off(request))
		on_ended(conn, STATUS_CLOSED, arg);
	else if (request->service->engine != NULL)
		gateway_stream_complete(request);
	else
		gateway_plain_complete(request);
}

static const struct h1_ops server_ops = {
    NULL, on_connected, on_head, on_body, on_complete, on_ended};

/*
 * Returns the callbacks of a connection to a server; their argument is the
 * request.
 */
const struct h1_ops *
gateway_server_ops(void)
{
	return &server_ops;
}

/*
 * Returns whether a request may run more than once. A stream is resumed after
 * the last identifier that was passed on, so events without one cannot be
 * continued.
 */
static bool
is_repeatable(const struct gateway_request *request)
{
	if (request->events > 0 &&
	    request->last_event == request->info.last_event)
		return false;
	return request->route->kind == FLEET_IDEMPOTENT ||
	    (request->route->kind == FLEET_STREAM && request->route->resumable);
}

/*
 * Opens or reuses the connection of an attempt. Returns STATUS_FULL or
 * STATUS_NO_MEMORY if the process lacks a resource. A request that may run only
 * once always uses a new one: a reused connection may close without showing
 * whether the request has run. So does a request that is sent again, since an
 * earlier refusal of it would carry its identifier.
 */
static enum status
open_connection(struct gateway_request *request, struct pool_server *server)
{
	struct gateway *gateway = request->gateway;
	struct gateway_attempt *attempt = &request->attempt;

	if (is_repeatable(request) && request->attempts.count == 0) {
		attempt->conn = idle_take(gateway, server);
		if (attempt->conn != NULL) {
			attempt->reused = true;
			h1_set_owner(attempt->conn, &server_ops, request);
			return STATUS_OK;
		}
	}
	attempt->connecting = true;
	return h1_connect(gateway->config.h1, &server->info.address,
	    gateway_now(gateway) + GATEWAY_CONNECT_USEC, &server_ops, request,
	    &attempt->conn);
}

/*
 * Serializes the request for the attempt's server, without a large body.
 */
static enum status
format_request(const struct gateway_request *request, struct lstr_buf *out)
{
	const struct gateway_attempt *attempt = &request->attempt;
	struct adapter_stage stages[FLEET_STAGES_MAX];
	struct adapter_forward forward = {.server_id = attempt->server->info.id,
	    .organisation =
		request->organisation ? request->organisation->name : NULL,
	    .caller_timeout_usec =
		request->deadline - gateway_now(request->gateway),
	    .priority = -1,
	    .stages = stages,
	    .stage_count = attempt->stage_count,
	    .body_len = request->body.len};

	if (request->service->engine != NULL)
		forward.priority = (int)request->priority;
	if (request->last_event > request->info.last_event)
		forward.last_event = request->last_event;
	for (uint32_t i = 0; i < attempt->stage_count; i++)
		stages[i] = (struct adapter_stage){
		    attempt->stages[i].server->info.address_text,
		    attempt->stages[i].layer_from, attempt->stages[i].layer_to};
	if (request->body.len > 0 &&
	    lstr_buf_reserve(out,
		MIN(request->body.len, GATEWAY_BODY_COPY_MAX_BYTES) +
		    request->gateway->limits.head_max_bytes +
		    FORWARD_HEAD_EXTRA_BYTES) != STATUS_OK)
		return STATUS_NO_MEMORY;
	if (request->gateway->config.adapter->encode_forward(
		request->caller, &forward, out) != STATUS_OK)
		return STATUS_NO_MEMORY;
	return request->body.len > GATEWAY_BODY_COPY_MAX_BYTES
	    ? STATUS_OK
	    : lstr_buf_append(out, lstr_buf_view(&request->body));
}

/*
 * Sends a request to a server. For a path, the attempt's stages must have been
 * set. Returns false if no connection could be opened.
 */
bool
gateway_send(struct gateway_request *request, struct pool_server *server)
{
	struct gateway_attempt *attempt = &request->attempt;
	struct lstr_buf text = {0};
	enum status status;

	attempt->server = server;
	attempt->sent_at = gateway_now(request->gateway);
	attempt->last_progress_at = attempt->sent_at;
	gateway_add_load(attempt, 1);
	gateway_note_use(request, 1);
	if (format_request(request, &text) != STATUS_OK) {
		lstr_buf_free(&text);
		gateway_attempt_end(request, false);
		return false;
	}
	status = open_connection(request, server);
	if (status == STATUS_FULL || status == STATUS_NO_MEMORY) {
		/* The server is not at fault. */
		lstr_buf_free(&text);
		gateway_attempt_end(request, false);
		return false;
	}
	if (status != STATUS_OK) {
		lstr_buf_free(&text);
		slog_event(EV_SERVER_AVOIDED, "{s:s, s:s, s:s}", "server",
		    server->info.id, "evidence", "connect", "status",
		    status_message());
		pool_avoid(server, POOL_FAULTY, attempt->sent_at);
		gateway_attempt_end(request, false);
		return false;
	}
	request->state = GATEWAY_SENT;
	if (request->attempts.count == 0)
		request->started_at = attempt->sent_at;
	attempts_add(&request->attempts, server);
	h1_expect_response(
	    attempt->conn, lstr_equal_c(h1_method(request->caller), "HEAD"));
	h1_write_buf(attempt->conn, &text);
	if (request->body.len > GATEWAY_BODY_COPY_MAX_BYTES)
		h1_lend(attempt->conn, lstr_buf_view(&request->body));
	return true;
}

/*
 * Consumes one retry of this node's share of the retry budget. Returns false
 * if the budget is exhausted.
 */
bool
gateway_consume_retry(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;

	return retry_share_take(
	    &gateway_service(gateway, request->service->name)->retries,
	    request->response_started || request->may_have_run,
	    gateway_now(gateway));
}

/*
 * Saves the status and faulty address of a failed attempt for the log, since
 * the response is cleared with the attempt.
 */
static void
record_failure(struct gateway_request *request)
{
	const struct adapter_response *response = &request->attempt.response;
	size_t len =
	    MIN(response->fault_address.len, (size_t)GATEWAY_ADDRESS_MAX_BYTES);

	request->failure_status = response->status;
	if (len > 0)
		memcpy(
		    request->faulty_address, response->fault_address.data, len);
	request->faulty_address[len] = '\0';
}

/*
 * Describes the failure of an attempt, to decide what follows. not_run: its
 * server has not run the request.
 */
static struct admit_failure
describe_failure(struct gateway_request *request, bool not_run)
{
	return (struct admit_failure){.repeatable = is_repeatable(request),
	    .not_run = not_run,
	    .earlier_may_have_run = request->may_have_run,
	    .response_begun = request->response_started,
	    .attempts_left = gateway_quarantine_may_repeat(request, not_run) &&
		attempts_may_add(
		    &request->attempts, request->route->attempts_max),
	    /* A request that may have run can still wait for a server. */
	    .another_server_available = !not_run || request->may_have_run ||
		gateway_wanted_usec(request) == 0,
	    .time_left_usec =
		request->timeout_at - gateway_now(request->gateway),
	    .work_usec = request->attempt.first_usec};
}

/*
 * Ends a failed attempt, or keeps it if it may go on, and retries, refuses,
 * fails or aborts the request. If it can be sent to no other server, it
 * continues in an earlier attempt that is kept.
 */
static void
fail_attempt(struct gateway_request *request, bool not_run, bool may_go_on,
    const char *reason)
{
	struct gateway *gateway = request->gateway;
	struct pool_server *server = request->attempt.server;
	struct admit_failure failure;
	enum admit_failure_action next;

	if (request->state == GATEWAY_ENDED)
		return;
	/* An attempt that was kept is not the last one. */
	if (not_run && attempts_last(&request->attempts) == server)
		attempts_note_not_run(&request->attempts);
	failure = describe_failure(request, not_run);
	next = admit_after_failure(&failure);
	request->may_have_run = request->may_have_run || !not_run;
	record_failure(request);
	if (!may_go_on || !gateway_keep_attempt(request))
		gateway_attempt_end(request, not_run);
	if (next == ADMIT_RETRY && !gateway_consume_retry(request)) {
		failure.attempts_left = false;
		next = admit_after_failure(&failure);
		reason = "retry budget is used up";
	}
	if (next != ADMIT_RETRY && gateway_put_back(request, reason))
		return;
	switch (next) {
	case ADMIT_RETRY:
		gateway->counts.retried++;
		slog_event(EV_REQUEST_RETRIED,
		    "{s:s, s:s, s:s, s:b, s:I, s:i, s:i, s:i, s:s}", "id",
		    request->id, "reason", reason, "server",
		    server ? server->info.id : "", "not_run", not_run,
		    "last_event", (json_int_t)request->last_event, "sends",
		    (int)request->attempts.count, "runs",
		    (int)attempts_count_runs(&request->attempts),
		    "server_status", (int)request->failure_status, "named",
		    request->faulty_address);
		if (request->service->engine != NULL)
			gateway_stream_start(request);
		else
			gateway_plain_start(request);
		return;
	case ADMIT_NOT_RUN:
		gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    request->service->engine != NULL
			? gateway_stream_retry_usec(request)
			: gateway_plain_retry_usec(request),
		    reason);
		return;
	case ADMIT_UNKNOWN:
		gateway_fail_request(request, HTTP_STATUS_BAD_GATEWAY, reason);
		return;
	case ADMIT_ABORT:
		gateway_abort_response(request, reason);
		return;
	}
}

/*
 * Gives up an attempt whose servers show no progress, if the request can be
 * sent to other ones, and keeps it until one of those makes progress, since a
 * silent server may go on. Otherwise the attempt remains the present one, and
 * is considered again after GATEWAY_GIVE_UP_USEC. Returns whether it was given
 * up.
 */
bool
gateway_attempt_give_up(struct gateway_request *request, const char *reason)
{
	struct gateway *gateway = request->gateway;
	int64_t now = gateway_now(gateway);
	struct admit_failure failure = describe_failure(request, false);

	if (now < request->attempt.give_up_not_before)
		return false;
	request->attempt.give_up_not_before = now + GATEWAY_GIVE_UP_USEC;
	if (admit_after_failure(&failure) != ADMIT_RETRY ||
	    !retry_share_is_available(
		&gateway_service(gateway, request->service->name)->retries,
		true, now) ||
	    !(request->service->engine != NULL
		    ? gateway_stream_has_path(request)
		    : gateway_plain_has_server(request)))
		return false;
	fail_attempt(request, false, true, reason);
	return true;
}

/*
 * Handles a failed attempt: retries, refuses, fails or aborts the request.
 */
void
gateway_attempt_failed(
    struct gateway_request *request, bool not_run, const char *reason)
{
	fail_attempt(request, not_run, false, reason);
}
