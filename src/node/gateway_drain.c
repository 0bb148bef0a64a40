#include <http_parser.h>

#include "gateway_priv.h"

/*
 * Requests of a node that is stopping; the decisions are those of drain.h.
 */

/*
 * Returns whether a request with the given expected duration may still be sent
 * to a server; false only while the node is stopping, for requests that have
 * not run. The duration is kept for the retry time of a refusal.
 */
bool
gateway_can_start(struct gateway_request *request, int64_t expected_usec)
{
	const struct gateway *gateway = request->gateway;
	const struct drain_request late = {expected_usec, request->timeout_at,
	    request->may_have_run || request->response_started};

	request->expected_usec = expected_usec;
	return drain_accepts(
	    gateway->config.drain, &late, gateway_now(gateway));
}

/*
 * Refuses a request that may not finish before the process exits.
 */
void
gateway_refuse_draining(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;

	gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    admit_retry_after(ADMIT_RETRY_MIN_USEC,
		MAX(request->deadline - gateway_now(gateway), 0),
		g_rand_double(gateway->rand)),
	    "node is stopping");
}

/*
 * Ends the requests of a stopping node that have no response yet: refuses those
 * that have not run, among them those that have not been read completely, and
 * fails the others.
 */
void
gateway_answer_rest(struct gateway *gateway)
{
	for (guint i = 0; i < gateway->requests->len; i++) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);

		if (request->state == GATEWAY_ENDED ||
		    request->response_started)
			continue;
		if (request->state == GATEWAY_SENT || request->may_have_run)
			gateway_fail_request(request, HTTP_STATUS_BAD_GATEWAY,
			    "node is stopping");
		else
			gateway_refuse_draining(request);
	}
}

/*
 * Returns the time in microseconds after which the caller of a refused request
 * is to retry: after retry_usec, but while this node is stopping not before a
 * node accepts the request. 0: the caller is not told.
 */
int64_t
gateway_retry_while_draining(
    const struct gateway_request *request, int64_t retry_usec)
{
	const struct gateway *gateway = request->gateway;
	const struct drain_request late = {
	    request->expected_usec, request->timeout_at, false};
	struct drain_peers peers;

	if (retry_usec == 0 || !drain_is_active(gateway->config.drain))
		return retry_usec;
	peers = gossip_drain_peers(gateway->config.gossip);
	return drain_retry_usec(gateway->config.drain, &peers, &late,
	    gateway_now(gateway), retry_usec, g_rand_double(gateway->rand));
}
