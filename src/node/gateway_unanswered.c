#include "gateway_priv.h"

/*
 * Whole requests that end without a complete answer, and what callers'
 * connections discard when they are closed.
 */

/*
 * Returns the name of a state for the log.
 */
const char *
gateway_state_name(enum gateway_state state)
{
	switch (state) {
	case GATEWAY_READING:
		return "reading";
	case GATEWAY_WAITING:
		return "waiting";
	case GATEWAY_SENT:
		return "sent";
	case GATEWAY_ENDED:
		return "ended";
	}
	return "";
}

/*
 * Returns the time in milliseconds since the configuration in force was
 * applied.
 */
static json_int_t
config_age_ms(const struct gateway *gateway)
{
	return (json_int_t)((gateway_now(gateway) - gateway->config_at) /
	    LOOP_USEC_PER_MSEC);
}

/*
 * Records that a whole request ends without a complete answer although its
 * caller has not left. Called before the request is ended.
 */
void
gateway_note_unanswered(struct gateway_request *request, const char *reason)
{
	struct gateway *gateway = request->gateway;

	if (request->state == GATEWAY_READING ||
	    request->state == GATEWAY_ENDED)
		return;
	gateway->counts.unanswered++;
	slog_event(EV_REQUEST_UNANSWERED,
	    "{s:s, s:s, s:s, s:b, s:i, s:i, s:I, s:I}", "id", request->id,
	    "reason", reason, "state", gateway_state_name(request->state),
	    "response_begun", request->response_started, "sends",
	    (int)request->attempts.count, "events", (int)request->events,
	    "after_ms",
	    (json_int_t)((gateway_now(gateway) - request->arrived_at) /
		LOOP_USEC_PER_MSEC),
	    "config_age_ms", config_age_ms(gateway));
}

/*
 * Records that a request without a record, which may be whole, is not answered
 * because its refusal cannot be written.
 */
void
gateway_note_refusal_lost(struct gateway *gateway, struct lstr id)
{
	gateway->counts.unanswered++;
	slog_event(EV_REQUEST_UNANSWERED,
	    "{s:s%, s:s, s:s, s:b, s:i, s:i, s:I, s:I}", "id",
	    id.data != NULL ? id.data : "",
	    MIN(id.len, (size_t)ADAPTER_ID_MAX_BYTES), "reason",
	    "refusal cannot be written", "state",
	    gateway_state_name(GATEWAY_READING), "response_begun", 0, "sends",
	    0, "events", 0, "after_ms", (json_int_t)0, "config_age_ms",
	    config_age_ms(gateway));
}

/*
 * Logs what a caller's connection discards when it is closed: input that may be
 * a request, or the rest of a response. A connection that its caller closed
 * discards nothing that the caller still wants; those that give way to others
 * are reported together, see EV_CALLERS_DROPPED.
 */
void
gateway_note_closed(
    struct h1_conn *conn, const struct h1_closing *closing, void *arg)
{
	const struct gateway *gateway = arg;
	const struct gateway_request *request = h1_data(conn);

	if (closing->reason == H1_CLOSE_PEER ||
	    closing->reason == H1_CLOSE_DROPPED ||
	    (!closing->unread && closing->pending == 0 && closing->unsent == 0))
		return;
	slog_event(EV_CALLER_CLOSED, "{s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:I}",
	    "reason", h1_close_reason_name(closing->reason), "id",
	    request != NULL ? request->id : "", "busy", closing->busy, "unread",
	    closing->unread, "pending", (json_int_t)closing->pending, "unsent",
	    (json_int_t)closing->unsent, "idle_ms",
	    (json_int_t)((gateway_now(gateway) - closing->idle_since) /
		LOOP_USEC_PER_MSEC),
	    "config_age_ms", config_age_ms(gateway));
}
