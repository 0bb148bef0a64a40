#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "gateway_priv.h"

/*
 * Attempts that were given up because their servers were silent. Whether
 * another server can carry the request on is only known once it does: it may
 * refuse the request, fall silent itself, or the retry budget may be used up
 * meanwhile. So an attempt that was given up keeps its connection until another
 * one makes progress. If its own server goes on first, or no other one takes
 * the request over, the request continues there.
 */

#define HTTP_SUCCESS_CLASS 2
/* A request that was put back is not given up again before this time: what kept
 * other servers from taking it over mostly lasts. */
#define PUT_BACK_USEC GATEWAY_STALL_MIN_USEC

struct gateway_kept {
	struct gateway_attempt attempt;
	struct gateway_request *request;
	/* The part of a plain response that has been received. */
	struct lstr_buf response;
	struct gateway_kept *next;
};

/*
 * Removes a kept attempt from the list of its request.
 */
static void
unlink_kept(struct gateway_kept *kept)
{
	struct gateway_kept **at = &kept->request->kept;

	while (*at != kept)
		at = &(*at)->next;
	*at = kept->next;
}

/*
 * Closes the connection of a kept attempt that is no longer in the list, and
 * frees it.
 */
static void
kept_free(struct gateway_kept *kept)
{
	struct gateway_request *request = kept->request;
	struct gateway_attempt present = request->attempt;

	request->attempt = kept->attempt;
	gateway_attempt_end(request, false);
	sse_free(&request->attempt.sse);
	request->attempt = present;
	request->gateway->kept_count--;
	lstr_buf_free(&kept->response);
	free(kept);
	gateway_account(request);
}

/*
 * Ends a kept attempt.
 */
static void
drop(struct gateway_kept *kept)
{
	unlink_kept(kept);
	kept_free(kept);
}

/*
 * Ends all kept attempts of a request.
 */
void
gateway_drop_kept(struct gateway_request *request)
{
	struct gateway_kept *kept = request->kept;

	request->kept = NULL;
	while (kept != NULL) {
		struct gateway_kept *next = kept->next;

		kept_free(kept);
		kept = next;
	}
}

/*
 * Continues a request in a kept attempt, in place of the present one.
 */
static void
put_back(struct gateway_kept *kept, const char *reason)
{
	struct gateway_request *request = kept->request;
	struct gateway *gateway = request->gateway;

	unlink_kept(kept);
	gateway_attempt_end(request, false);
	sse_free(&request->attempt.sse);
	if (request->queue_entry != NULL)
		sched_cancel(
		    gateway_service(gateway, request->service->name)->queue,
		    request->queue_entry);
	request->queue_entry = NULL;
	request->attempt = kept->attempt;
	request->attempt.give_up_not_before =
	    gateway_now(gateway) + PUT_BACK_USEC;
	h1_set_owner(request->attempt.conn, gateway_server_ops(), request);
	request->state = GATEWAY_SENT;
	lstr_buf_free(&request->response);
	request->response = kept->response;
	gateway->kept_count--;
	free(kept);
	gateway_account(request);
	gateway->counts.put_back++;
	slog_event(EV_REQUEST_PUT_BACK, "{s:s, s:s, s:s, s:I, s:i}", "id",
	    request->id, "reason", reason, "server",
	    request->attempt.server->info.id, "last_event",
	    (json_int_t)request->last_event, "sends",
	    (int)request->attempts.count);
}

/*
 * Continues a request that no other server takes over in the attempt that was
 * given up last and whose process is not known to have ended. Returns false,
 * leaving the request unchanged, if there is none.
 */
bool
gateway_put_back(struct gateway_request *request, const char *reason)
{
	struct gateway_kept *kept = request->kept;

	while (kept != NULL && kept->attempt.server->replaced)
		kept = kept->next;
	if (kept == NULL || request->caller == NULL)
		return false;
	put_back(kept, reason);
	return true;
}

/*
 * Handles a response head. A success shows that the server goes on; a failure
 * ends the kept attempt.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	struct gateway_kept *kept = arg;
	struct gateway_request *request = kept->request;

	if (request->state == GATEWAY_ENDED ||
	    h1_status(conn) / 100 != HTTP_SUCCESS_CLASS) {
		drop(kept);
		return;
	}
	put_back(kept, "its server answers");
	gateway_server_ops()->head(conn, request);
}

/*
 * Handles bytes of a response body. A complete event, or any part of a plain
 * response, shows that the server goes on; a part of an event may be all that a
 * stalled server sends.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct gateway_kept *kept = arg;
	struct gateway_request *request = kept->request;
	struct gateway_attempt *attempt = &kept->attempt;

	if (request->state == GATEWAY_ENDED) {
		drop(kept);
		return;
	}
	if (attempt->skipping)
		return;
	if (request->service->engine == NULL) {
		put_back(kept, "its server answers");
		gateway_server_ops()->body(conn, bytes, request);
		return;
	}
	attempt->received_bytes += bytes.len;
	if (attempt->received_bytes > GATEWAY_RESPONSE_MAX_BYTES ||
	    sse_feed(&attempt->sse, bytes) != STATUS_OK) {
		drop(kept);
		return;
	}
	gateway_account(request);
	if (!sse_has_event(&attempt->sse))
		return;
	put_back(kept, "its server goes on");
	gateway_stream_body(request, lstr_make("", 0));
}

/*
 * Handles the end of a response.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct gateway_kept *kept = arg;
	struct gateway_request *request = kept->request;

	if (request->state == GATEWAY_ENDED) {
		drop(kept);
		return;
	}
	if (kept->attempt.skipping) {
		kept->attempt.skipping = false;
		kept->attempt.received_bytes = 0;
		h1_skip_response(conn);
		return;
	}
	put_back(kept, "its server goes on");
	gateway_server_ops()->complete(conn, request);
}

/*
 * Handles the end of a connection before its response was complete.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct gateway_kept *kept = arg;
	struct pool_server *server = kept->attempt.server;

	(void)conn;
	if (status == STATUS_INVALID)
		gateway_note_broken_answer(
		    kept->request, server, status_message());
	else
		pool_note_connection_lost(server);
	pool_note_result(server, false);
	drop(kept);
}

static const struct h1_ops kept_ops = {
    NULL, NULL, on_head, on_body, on_complete, on_ended};

/*
 * Returns whether the present attempt has failed at an engine, whose error is
 * being received: there is no stream that could go on.
 */
static bool
is_failed_stream(const struct gateway_request *request)
{
	const struct gateway_attempt *attempt = &request->attempt;

	return request->service->engine != NULL && attempt->response_received &&
	    attempt->response.status / 100 != HTTP_SUCCESS_CLASS;
}

/*
 * Keeps the present attempt, whose servers show no progress, and leaves the
 * request without one. Returns false if it cannot be kept: its connection is
 * not established, it has failed, or memory or connections are lacking.
 */
bool
gateway_keep_attempt(struct gateway_request *request)
{
	struct gateway_attempt *attempt = &request->attempt;
	struct gateway_kept *kept;

	if (attempt->conn == NULL || attempt->connecting ||
	    is_failed_stream(request) ||
	    !gateway_make_room_for_kept(request->gateway))
		return false;
	kept = calloc(1, sizeof(*kept));
	if (kept == NULL)
		return false;
	request->gateway->kept_count++;
	gateway_reroute_detach(attempt);
	kept->attempt = *attempt;
	kept->response = request->response;
	kept->request = request;
	kept->next = request->kept;
	request->kept = kept;
	memset(attempt, 0, sizeof(*attempt));
	memset(&request->response, 0, sizeof(request->response));
	h1_set_owner(kept->attempt.conn, &kept_ops, kept);
	gateway_account(request);
	return true;
}

/*
 * Returns the memory of the kept attempts of a request in bytes.
 */
size_t
gateway_kept_bytes(const struct gateway_request *request)
{
	size_t bytes = 0;

	for (const struct gateway_kept *kept = request->kept; kept != NULL;
	     kept = kept->next)
		bytes += sizeof(*kept) + GATEWAY_CONNECTION_BYTES +
		    kept->response.size + kept->attempt.sse.pending.size;
	return bytes;
}
