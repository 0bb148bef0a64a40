#include <http_parser.h>

#include "gateway_priv.h"

/* A reused connection that ends within this time of a request was already
 * closed by the server. */
#define STALE_CONNECTION_USEC (50 * LOOP_USEC_PER_MSEC)
#define REASON "a part of the prompt ends the servers that answer it"

/*
 * Decides about the parts of a request's prompt.
 */
static enum quarantine_verdict
check(const struct gateway_request *request)
{
	return quarantine_check(request->gateway->config.quarantine,
	    request->info.parts, request->info.part_count,
	    gateway_now(request->gateway));
}

/*
 * Ends a request whose prompt has a confirmed part. The status is one after
 * which callers do not send the request again.
 */
static void
refuse(struct gateway_request *request)
{
	const uint64_t *cause =
	    quarantine_find_cause(request->gateway->config.quarantine,
		request->info.parts, request->info.part_count);
	char part[QUARANTINE_PART_TEXT_SIZE];

	request->gateway->counts.quarantined++;
	quarantine_format_part(cause != NULL ? *cause : 0, part);
	slog_event(EV_REQUEST_QUARANTINED, "{s:s, s:s, s:i}", "id", request->id,
	    "part", part, "sends", (int)request->attempts.count);
	if (request->attempts.count > 0)
		gateway_fail_request(request, HTTP_STATUS_BAD_REQUEST, REASON);
	else
		gateway_refuse_request(
		    request, HTTP_STATUS_BAD_REQUEST, 0, REASON);
}

/*
 * Returns whether a request may be sent to a server for the first time.
 * Otherwise it has been refused.
 */
bool
gateway_quarantine_admit(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;

	if (check(request) != QUARANTINE_REFUSE)
		return true;
	request->trial = quarantine_try(gateway->config.quarantine,
	    request->info.parts, request->info.part_count,
	    gossip_rank(gateway->config.gossip),
	    gossip_live_count(gateway->config.gossip), gateway_now(gateway));
	if (!request->trial)
		refuse(request);
	return request->trial;
}

/*
 * Returns whether a request whose attempt failed may be sent to another server,
 * as far as the parts of its prompt are concerned. not_run: no server has begun
 * to work on it.
 */
bool
gateway_quarantine_may_repeat(struct gateway_request *request, bool not_run)
{
	enum quarantine_verdict verdict = check(request);

	if (request->events >= QUARANTINE_SOUND_EVENTS ||
	    (not_run && verdict == QUARANTINE_ONCE))
		return true;
	return verdict == QUARANTINE_PASS &&
	    request->cuts < QUARANTINE_SUSPECT_CRASHES;
}

/*
 * Returns the identity of the process of an attempt's server.
 */
static uint32_t
server_process(const struct gateway_attempt *attempt)
{
	return attempt->server->hash ^ (uint32_t)attempt->server->info.born;
}

/*
 * Records that a request has come through: its parts are sound, and the process
 * of its server runs.
 */
void
gateway_quarantine_note_sound(const struct gateway_request *request)
{
	quarantine_note_alive(request->gateway->config.quarantine,
	    server_process(&request->attempt), request->attempt.sent_at,
	    gateway_now(request->gateway));
	if (quarantine_note_sound(request->gateway->config.quarantine,
		request->info.parts, request->info.part_count,
		gateway_now(request->gateway)))
		gossip_report_soon(request->gateway->config.gossip);
}

/*
 * Records that the connection to a server ended before its answer was complete.
 * This is evidence against the parts of the prompt unless the request had come
 * through.
 */
void
gateway_quarantine_note_end(struct gateway_request *request)
{
	const struct gateway_attempt *attempt = &request->attempt;
	int64_t now = gateway_now(request->gateway);
	bool stale = attempt->reused && !attempt->response_received &&
	    now - attempt->sent_at < STALE_CONNECTION_USEC;

	if (request->service->engine == NULL || attempt->connecting || stale ||
	    attempt->events >= QUARANTINE_SOUND_EVENTS)
		return;
	request->cuts++;
	quarantine_note_crash(request->gateway->config.quarantine,
	    request->info.parts, request->info.part_count,
	    server_process(attempt), pool_hash(lstr_from(request->id)), now);
	gossip_report_soon(request->gateway->config.gossip);
}

/*
 * Returns whether a request would end the server that it waits for, as far as
 * is known: it has not come through, and is not sent to find that out.
 */
static bool
is_pending(const struct gateway_request *request)
{
	if (request->service == NULL || request->service->engine == NULL ||
	    request->trial || request->events >= QUARANTINE_SOUND_EVENTS)
		return false;
	return request->state == GATEWAY_SENT ||
	    (request->state == GATEWAY_WAITING && request->queue_entry != NULL);
}

/*
 * Ends the requests with parts that have been confirmed since they were
 * accepted, so that they do not end the servers that they wait for.
 */
void
gateway_quarantine_tick(struct gateway *gateway)
{
	struct quarantine *quarantine = gateway->config.quarantine;

	quarantine_tick(quarantine, gateway_now(gateway));
	if (gateway->confirmations == quarantine_confirmations(quarantine))
		return;
	gateway->confirmations = quarantine_confirmations(quarantine);
	for (guint i = 0; i < gateway->requests->len; i++) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);

		if (is_pending(request) && check(request) == QUARANTINE_REFUSE)
			refuse(request);
	}
}
