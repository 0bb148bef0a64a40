#include <string.h>

#include <http_parser.h>

#include "gateway_priv.h"

static struct metric_histogram first_event_times = {
    .name = "chestnuthoist_first_event_seconds",
    .help = "Time from arrival to the first event or the answer."};
static struct metric_histogram longest_gaps = {
    .name = "chestnuthoist_event_gap_seconds",
    .help = "Longest pause of each stream."};
static struct metric_histogram queue_waits = {
    .name = "chestnuthoist_queue_wait_seconds",
    .help = "Time from arrival to the first send of a request."};

/*
 * Registers the histograms of response and queue times.
 */
void
gateway_register_metrics(void)
{
	metric_register_histogram(&first_event_times);
	metric_register_histogram(&longest_gaps);
	metric_register_histogram(&queue_waits);
}

/*
 * Returns whether a status tells callers that the request did not run and never
 * will, so that it may be sent again.
 */
bool
gateway_promises_not_run(unsigned int status)
{
	return status == HTTP_STATUS_REQUEST_TIMEOUT ||
	    status == HTTP_STATUS_MISDIRECTED_REQUEST ||
	    status == HTTP_STATUS_TOO_MANY_REQUESTS ||
	    status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

/*
 * Logs the outcome of a request and updates the histograms.
 */
static void
log_outcome(const struct gateway_request *request, const char *outcome)
{
	int64_t now = gateway_now(request->gateway);

	if (request->first_event_at != 0)
		metric_observe(&first_event_times,
		    request->first_event_at - request->arrived_at);
	if (request->events > 1)
		metric_observe(&longest_gaps, request->longest_gap);
	if (request->attempts.count > 0)
		metric_observe(
		    &queue_waits, request->started_at - request->arrived_at);
	slog_event(EV_REQUEST_DONE,
	    "{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:i, s:i, s:I}", "id",
	    request->id, "route", request->route ? request->route->name : "",
	    "organisation",
	    request->organisation ? request->organisation->name : "", "outcome",
	    outcome, "total_ms",
	    (json_int_t)((now - request->arrived_at) / LOOP_USEC_PER_MSEC),
	    "first_ms",
	    request->first_event_at
		? (json_int_t)((request->first_event_at - request->arrived_at) /
		      LOOP_USEC_PER_MSEC)
		: (json_int_t)-1,
	    "longest_gap_ms",
	    (json_int_t)(request->longest_gap / LOOP_USEC_PER_MSEC), "events",
	    (int)request->events, "sends", (int)request->attempts.count,
	    "config_version",
	    request->config ? (json_int_t)request->config->version : 0);
}

/*
 * Ends a request after its response was written or its caller disconnected;
 * outcome NULL: nothing is logged.
 */
void
gateway_end_request(struct gateway_request *request, const char *outcome)
{
	struct gateway *gateway = request->gateway;
	struct h1_conn *caller = request->caller;

	if (request->state == GATEWAY_ENDED)
		return;
	gateway_attempt_end(request, false);
	gateway_drop_kept(request);
	if (request->queue_entry != NULL) {
		sched_cancel(
		    gateway_service(gateway, request->service->name)->queue,
		    request->queue_entry);
		request->queue_entry = NULL;
	}
	if (outcome != NULL)
		log_outcome(request, outcome);
	request->state = GATEWAY_ENDED;
	gateway->ended++;
	request->caller = NULL;
	lstr_buf_free(&request->body);
	lstr_buf_free(&request->response);
	gateway_account(request);
	if (caller == NULL)
		return;
	h1_set_data(caller, NULL);
	h1_set_owner_bytes(caller, 0);
	if (drain_is_active(gateway->config.drain) || !h1_keep_alive(caller) ||
	    h1_fault(caller) != H1_FAULT_NONE)
		h1_close_gracefully(caller);
	else
		h1_read_next_request(caller);
}

/*
 * Ends a request and closes its connection once the queued output has been
 * sent. Nothing further is read from it.
 */
static void
end_with_connection(struct gateway_request *request)
{
	struct h1_conn *caller = request->caller;

	h1_set_data(caller, NULL);
	h1_set_owner_bytes(caller, 0);
	request->caller = NULL;
	gateway_end_request(request, NULL);
	h1_close_gracefully(caller);
}

/*
 * Sends an error response of the node itself and ends the request.
 */
static void
respond_with_error(struct gateway_request *request, unsigned int status,
    int64_t retry_usec, const char *reason, bool close)
{
	struct lstr_buf text = {0};
	struct h1_conn *caller = request->caller;
	enum status written;

	close = close || drain_is_active(request->gateway->config.drain) ||
	    !h1_keep_alive(caller);
	written = request->gateway->config.adapter->encode_refusal(status,
	    lstr_from(request->id), retry_usec,
	    close ? 0 : h1_keep_usec(caller), reason, &text);
	if (written == STATUS_OK)
		written = h1_write(caller, lstr_buf_view(&text));
	lstr_buf_free(&text);
	if (written != STATUS_OK)
		gateway_note_unanswered(request, "refusal cannot be written");
	/* The rest of the body is not read after a refusal. If that is missing,
	 * the caller would take the next answer for it. */
	if (written != STATUS_OK ||
	    (close && request->state == GATEWAY_READING)) {
		end_with_connection(request);
		return;
	}
	gateway_end_request(request, NULL);
}

/*
 * Refuses a request that no server has run; retry_usec 0: the caller is not
 * told when to retry.
 */
void
gateway_refuse_request(struct gateway_request *request, unsigned int status,
    int64_t retry_usec, const char *reason)
{
	struct gateway *gateway = request->gateway;
	int64_t now = gateway_now(gateway);

	retry_usec = gateway_retry_while_draining(request, retry_usec);
	gateway->counts.refused++;
	slog_event(EV_REQUEST_REFUSED,
	    "{s:s, s:i, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:i, s:i, s:i, s:s}",
	    "id", request->id, "status", (int)status, "reason", reason, "route",
	    request->route ? request->route->name : "", "organisation",
	    request->organisation ? request->organisation->name : "",
	    "retry_after_ms", (json_int_t)(retry_usec / LOOP_USEC_PER_MSEC),
	    "held_ms",
	    (json_int_t)((now - request->arrived_at) / LOOP_USEC_PER_MSEC),
	    "config_version",
	    request->config ? (json_int_t)request->config->version : 0,
	    "proof_age_ms",
	    (json_int_t)((now - gateway_config_proved_at(gateway)) /
		LOOP_USEC_PER_MSEC),
	    "waiting", (int)gateway_count_waiting(gateway), "sends",
	    (int)request->attempts.count, "server_status",
	    (int)request->failure_status, "named", request->faulty_address);
	if (request->caller == NULL) {
		gateway_end_request(request, NULL);
		return;
	}
	respond_with_error(request, status, retry_usec, reason,
	    request->state == GATEWAY_READING);
}

/*
 * Refuses a request whose body is incomplete for lack of memory, and closes its
 * connection. Many clients may cause this at once, so the requests are counted
 * and reported together; see EV_CALLERS_DROPPED.
 */
void
gateway_refuse_for_memory(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;

	gateway->counts.refused++;
	gateway->counts.no_memory++;
	respond_with_error(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    gateway_retry_while_draining(request,
		admit_retry_after(ADMIT_RETRY_MIN_USEC,
		    request->deadline - gateway_now(gateway),
		    g_rand_double(gateway->rand))),
	    "no memory for the body", true);
}

/*
 * Fails a request that a server may have run.
 */
void
gateway_fail_request(
    struct gateway_request *request, unsigned int status, const char *reason)
{
	request->gateway->counts.failed++;
	slog_event(EV_REQUEST_FAILED,
	    "{s:s, s:i, s:s, s:s, s:s, s:I, s:i, s:i, s:s}", "id", request->id,
	    "status", (int)status, "reason", reason, "route",
	    request->route->name, "organisation",
	    request->organisation ? request->organisation->name : "",
	    "total_ms",
	    (json_int_t)((gateway_now(request->gateway) - request->arrived_at) /
		LOOP_USEC_PER_MSEC),
	    "sends", (int)request->attempts.count, "events",
	    (int)request->events, "server",
	    attempts_last(&request->attempts)
		? attempts_last(&request->attempts)->info.id
		: "");
	if (request->caller == NULL) {
		gateway_end_request(request, NULL);
		return;
	}
	if (request->response_started) {
		gateway_note_unanswered(request, reason);
		/* Closing before the last chunk shows the caller that the
		 * response is truncated; without chunks only a reset does. */
		if (request->chunked)
			h1_close(request->caller);
		else
			h1_reset(request->caller);
		request->caller = NULL;
		gateway_end_request(request, NULL);
		return;
	}
	respond_with_error(request, status, 0, reason, false);
}

/*
 * Sends a buffered response to the caller and ends the request. Returns false
 * if it cannot be written; the caller is told that the request may have run.
 */
bool
gateway_send_response(struct gateway_request *request, const char *outcome)
{
	struct gateway *gateway = request->gateway;
	struct h1_conn *caller = request->caller;
	bool close =
	    drain_is_active(gateway->config.drain) || !h1_keep_alive(caller);
	bool has_content = h1_has_content(request->attempt.conn);
	struct lstr_buf head = {0};
	struct lstr_buf text = request->response;
	enum status status;

	memset(&request->response, 0, sizeof(request->response));
	gateway_account(request);
	status = gateway->config.adapter->encode_response(request->attempt.conn,
	    false, close ? 0 : h1_keep_usec(caller), &head);
	if (status == STATUS_OK && has_content)
		status =
		    lstr_buf_printf(&head, "Content-Length: %zu\r\n", text.len);
	if (status == STATUS_OK)
		status = lstr_buf_printf(&head, "\r\n");
	/* No second copy of the body is needed, which memory may be short of.
	 */
	if (status == STATUS_OK)
		status = lstr_buf_prepend(&text, lstr_buf_view(&head));
	if (status == STATUS_OK)
		status = h1_write_buf(caller, &text);
	lstr_buf_free(&head);
	lstr_buf_free(&text);
	gateway_attempt_end(request, true);
	if (status == STATUS_OK) {
		gateway_end_request(request, outcome);
		return true;
	}
	request->may_have_run = true;
	gateway_fail_request(request, HTTP_STATUS_BAD_GATEWAY,
	    status == STATUS_NO_MEMORY ? "no memory for the answer"
				       : "answer cannot be written");
	return false;
}

/*
 * Aborts a response that has started and cannot be completed.
 */
void
gateway_abort_response(struct gateway_request *request, const char *reason)
{
	gateway_fail_request(request, HTTP_STATUS_BAD_GATEWAY, reason);
}

/*
 * Cancels a request whose caller has disconnected or cannot be answered, which
 * also stops its work at the server.
 */
void
gateway_cancel_request(struct gateway_request *request, const char *reason)
{
	request->gateway->counts.cancelled++;
	slog_event(EV_REQUEST_CANCELLED, "{s:s, s:s, s:s, s:I, s:i, s:i}", "id",
	    request->id, "reason", reason, "state",
	    gateway_state_name(request->state), "after_ms",
	    (json_int_t)((gateway_now(request->gateway) - request->arrived_at) /
		LOOP_USEC_PER_MSEC),
	    "sends", (int)request->attempts.count, "events",
	    (int)request->events);
	request->caller = NULL;
	gateway_end_request(request, NULL);
}

/*
 * Returns whether the body of a response may be passed on. That of a refusal,
 * and of an error after the beginning of a stream, never is.
 */
static bool
is_needed(const struct gateway_request *request)
{
	const struct adapter_response *response = &request->attempt.response;

	return !response->not_run && !request->response_started &&
	    !gateway_promises_not_run(response->status);
}

/*
 * Appends to the buffered response of a server. Fails the request and returns
 * false if there is no memory for it: another server would do the same work in
 * vain.
 */
bool
gateway_buffer_response(struct gateway_request *request, struct lstr bytes)
{
	int64_t length = h1_content_length(request->attempt.conn);
	size_t max = length > 0
	    ? MIN((size_t)length, GATEWAY_RESPONSE_MAX_BYTES)
	    : GATEWAY_RESPONSE_MAX_BYTES;

	if (!is_needed(request))
		return true;
	if (h1_grow(request->caller, &request->response, bytes.len, max) ==
		STATUS_OK &&
	    lstr_buf_append(&request->response, bytes) == STATUS_OK) {
		gateway_account(request);
		return true;
	}
	request->may_have_run = true;
	gateway_attempt_end(request, false);
	gateway_clear_response(request);
	gateway_fail_request(
	    request, HTTP_STATUS_BAD_GATEWAY, "no memory for the answer");
	return false;
}

/*
 * Discards the buffered response.
 */
void
gateway_clear_response(struct gateway_request *request)
{
	lstr_buf_free(&request->response);
	gateway_account(request);
}
