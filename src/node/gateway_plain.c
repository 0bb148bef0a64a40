#include <string.h>

#include <http_parser.h>

#include "gateway_priv.h"

#define HTTP_SUCCESS_CLASS 2
#define HTTP_SERVER_ERROR 500

/*
 * Sends a request to a server of a plain service, preferring one other than
 * that of the previous attempt.
 */
void
gateway_plain_start(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	int64_t now = gateway_now(gateway);
	const struct pool_server *except = attempts_last(&request->attempts);
	GPtrArray *servers;
	struct pool_server *server;

	if (!gateway_can_start(request, 0)) {
		if (!gateway_put_back(request, "node is stopping"))
			gateway_refuse_draining(request);
		return;
	}
	servers =
	    pool_service_servers(gateway->config.pool, request->service->name);
	server = pool_pick_plain(servers, gateway->config.place, except, now,
	    g_rand_int(gateway->rand) & 0xffff);
	if (server == NULL && except != NULL)
		server = pool_pick_plain(servers, gateway->config.place, NULL,
		    now, g_rand_int(gateway->rand) & 0xffff);
	g_ptr_array_free(servers, TRUE);
	if ((server != NULL && gateway_send(request, server)) ||
	    gateway_put_back(request, "no other server after a failure"))
		return;
	if (request->may_have_run) {
		gateway_fail_request(request, HTTP_STATUS_BAD_GATEWAY,
		    "no other server after a failure");
		return;
	}
	gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    gateway_plain_retry_usec(request),
	    "no server of the service can be used");
}

/*
 * Returns the time in microseconds after which the caller of a request that did
 * not run is to retry: soon, but not before a server wants requests.
 */
int64_t
gateway_plain_retry_usec(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	int64_t wanted = gateway_wanted_usec(request);
	double jitter = g_rand_double(gateway->rand);
	int64_t delay = admit_retry_after(ADMIT_RETRY_MIN_USEC,
	    request->deadline - gateway_now(gateway), jitter);

	return wanted == 0
	    ? delay
	    : MAX(delay, admit_retry_when_wanted(wanted, jitter));
}

/*
 * Returns whether a server of a plain service other than that of the present
 * attempt can be used.
 */
bool
gateway_plain_has_server(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	GPtrArray *servers =
	    pool_service_servers(gateway->config.pool, request->service->name);
	bool found =
	    pool_pick_plain(servers, gateway->config.place,
		request->attempt.server, gateway_now(gateway), 0) != NULL;

	g_ptr_array_free(servers, TRUE);
	return found;
}

/*
 * Prepares to buffer a response whose head has been received.
 */
void
gateway_plain_head(struct gateway_request *request)
{
	gateway_clear_response(request);
}

/*
 * Appends to the buffered response.
 */
void
gateway_plain_body(struct gateway_request *request, struct lstr bytes)
{
	gateway_buffer_response(request, bytes);
}

/*
 * Handles a complete response: forwards it, or retries at another server if
 * the request may run again.
 */
void
gateway_plain_complete(struct gateway_request *request)
{
	struct gateway_attempt *attempt = &request->attempt;
	const struct adapter_response *response = &attempt->response;
	bool success = response->status / 100 == HTTP_SUCCESS_CLASS;
	int64_t now = gateway_now(request->gateway);

	if (response->status != HTTP_STATUS_MISDIRECTED_REQUEST)
		pool_note_working(attempt->server, POOL_ANSWER, now);
	if (response->not_run) {
		if (response->status == HTTP_STATUS_MISDIRECTED_REQUEST &&
		    pool_avoid(attempt->server, POOL_FAULTY, now))
			slog_event(EV_SERVER_AVOIDED, "{s:s, s:s}", "server",
			    attempt->server->info.id, "evidence",
			    "address belongs to another server");
		gateway_attempt_failed(
		    request, true, "server did not run the request");
		return;
	}
	pool_note_result(attempt->server, response->status < HTTP_SERVER_ERROR);
	if (success &&
	    (!response->stamped || response->encoded ||
		response->id.len == 0)) {
		gateway_attempt_failed(
		    request, false, "answer is not the server's own");
		return;
	}
	if (!success && !response->stamped) {
		gateway_attempt_failed(
		    request, false, "answer without a stamp");
		return;
	}
	if (gateway_promises_not_run(response->status)) {
		gateway_attempt_failed(request, false,
		    "refusal that does not state it did not run");
		return;
	}
	if (response->status >= HTTP_SERVER_ERROR &&
	    request->route->kind == FLEET_IDEMPOTENT &&
	    request->attempts.count == 1 && request->route->attempts_max > 1 &&
	    retry_share_is_available(
		&gateway_service(request->gateway, request->service->name)
		     ->retries,
		false, now)) {
		gateway_attempt_failed(
		    request, false, "server failed the request");
		return;
	}
	request->first_event_at = now;
	if (gateway_send_response(request, "answered"))
		request->gateway->counts.done++;
}

/*
 * Retries an idempotent request at another server when the first has not
 * responded within the route's latency objective.
 */
void
gateway_plain_tick(struct gateway_request *request, int64_t now)
{
	struct gateway_attempt *attempt = &request->attempt;
	struct pool_server *server = attempt->server;

	if (request->route->kind != FLEET_IDEMPOTENT ||
	    request->attempts.count >= request->route->attempts_max ||
	    request->route->objective_usec == 0 ||
	    now - attempt->sent_at < request->route->objective_usec)
		return;
	if (gateway_attempt_give_up(
		request, "no answer within the latency objective"))
		pool_note_result(server, false);
}
