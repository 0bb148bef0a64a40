#include <string.h>

#include <http_parser.h>

#include "gate_priv.h"

#define HTTP_SUCCESS_CLASS 2
#define HTTP_SERVER_ERROR 500

/*
 * Sends a request to a server of a plain service.
 */
void
gate_plain_start(struct gate_request *request)
{
	struct gate *gate = request->gate;
	int64_t now = gate_now(gate);
	const struct pool_server *except =
	    request->sends > 0 ? request->tried[request->sends - 1] : NULL;
	GPtrArray *servers;
	struct pool_server *server;

	if (!gate_takes_new(request, request->route->timeout_usec)) {
		gate_refuse_stopping(request);
		return;
	}
	servers = pool_service(gate->config.pool, request->service->name);
	server = pool_pick_plain(servers, gate->config.place, except, now,
	    g_rand_int(gate->rand) & 0xffff);
	if (server == NULL && except != NULL)
		server = pool_pick_plain(servers, gate->config.place, NULL, now,
		    g_rand_int(gate->rand) & 0xffff);
	g_ptr_array_free(servers, TRUE);
	if (server != NULL && gate_send(request, server))
		return;
	if (request->may_have_run) {
		gate_fail(request, HTTP_STATUS_BAD_GATEWAY,
		    "no other server after a failure");
		return;
	}
	gate_refuse(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    admit_retry_after(ADMIT_RETRY_MIN_USEC, request->deadline - now,
		g_rand_double(gate->rand)),
	    "no server of the service can be used");
}

/*
 * The head of an answer has arrived; the answer is kept until it is whole.
 */
void
gate_plain_head(struct gate_request *request)
{
	lstr_buf_clear(&request->answer);
}

/*
 * Keeps bytes of an answer.
 */
void
gate_plain_body(struct gate_request *request, struct lstr bytes)
{
	if (request->answer.len + bytes.len > GATE_ANSWER_MAX_BYTES ||
	    lstr_buf_append(&request->answer, bytes) != STATUS_OK)
		gate_failed(request, false, "answer is too large");
}

/*
 * Handles a whole answer: passes it on, or tries another server where the
 * request may run again.
 */
void
gate_plain_complete(struct gate_request *request)
{
	struct gate_attempt *attempt = &request->attempt;
	const struct adapter_answer *answer = &attempt->answer;
	bool success = answer->status / 100 == HTTP_SUCCESS_CLASS;
	int64_t now = gate_now(request->gate);

	pool_note_good(attempt->server, now);
	if (answer->not_run) {
		if (answer->status == HTTP_STATUS_MISDIRECTED_REQUEST &&
		    pool_avoid(attempt->server, now))
			slog_event(EV_SERVER_AVOIDED, "{s:s, s:s}", "server",
			    attempt->server->info.id, "evidence",
			    "address belongs to another server");
		gate_failed(request, true, "server did not run the request");
		return;
	}
	pool_note_answer(attempt->server, answer->status < HTTP_SERVER_ERROR);
	if (success &&
	    (!answer->stamped || answer->encoded || answer->id.len == 0)) {
		gate_failed(request, false, "answer is not the server's own");
		return;
	}
	if (!success && !answer->stamped) {
		gate_failed(request, false, "answer without a stamp");
		return;
	}
	if (answer->status >= HTTP_SERVER_ERROR &&
	    request->route->kind == FLEET_IDEMPOTENT && request->sends == 1 &&
	    request->route->attempts_max > 1 &&
	    retry_budget_is_available(
		&gate_service(request->gate, request->service->name)->budget)) {
		gate_failed(request, false, "server failed the request");
		return;
	}
	request->gate->counts.done++;
	request->first_event_at = now;
	gate_pass_on(request, "answered");
}

/*
 * Tries another server for a request that may run again, once the first one
 * has used up the time in which an answer is of full use.
 */
void
gate_plain_tick(struct gate_request *request, int64_t now)
{
	struct gate_attempt *attempt = &request->attempt;

	if (request->route->kind != FLEET_IDEMPOTENT || attempt->stalled ||
	    request->route->objective_usec == 0 ||
	    now - attempt->sent_at < request->route->objective_usec)
		return;
	attempt->stalled = true;
	if (request->sends >= request->route->attempts_max)
		return;
	pool_note_answer(attempt->server, false);
	gate_failed(request, false, "no answer within the latency objective");
}
