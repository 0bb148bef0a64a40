#include "gateway_priv.h"

/* Timeout of a report query; a live engine responds within milliseconds. */
#define PROBE_TIMEOUT_USEC (250 * LOOP_USEC_PER_MSEC)
/* Shortest interval between probes of a server: reports are some 100 ms
 * old, so an earlier probe returns nothing new. */
#define PROBE_INTERVAL_USEC (400 * LOOP_USEC_PER_MSEC)

/* A pending report query to a server. */
struct probe {
	struct gateway *gateway;
	char *server;
	int64_t born;
};

/*
 * Returns the server of a probe, or NULL if it is gone or was restarted.
 */
static struct pool_server *
probe_server(const struct probe *probe)
{
	struct pool_server *server =
	    pool_find(probe->gateway->config.pool, probe->server);

	return server != NULL && server->info.born == probe->born ? server
								  : NULL;
}

/*
 * Excludes a server from new requests for a while and logs the evidence.
 */
void
gateway_avoid_server(struct gateway *gateway, struct pool_server *server,
    enum pool_evidence evidence, const char *reason)
{
	int64_t now = gateway_now(gateway);

	if (!pool_avoid(server, evidence, now))
		return;
	gossip_report_soon(gateway->config.gossip);
	slog_event(EV_SERVER_AVOIDED, "{s:s, s:s, s:I}", "server",
	    server->info.id, "evidence", reason, "for_ms",
	    (json_int_t)((server->avoid_until - now) / LOOP_USEC_PER_MSEC));
}

/*
 * Returns true if the path of a request includes a server.
 */
static bool
path_includes(
    const struct gateway_request *request, const struct pool_server *server)
{
	for (uint32_t i = 0; i < request->attempt.stage_count; i++) {
		if (request->attempt.stages[i].server == server)
			return true;
	}
	return false;
}

/*
 * Moves streams that run through a failed server and make no progress to other
 * paths.
 */
static void
reroute_streams(struct gateway *gateway, const struct pool_server *server)
{
	int64_t now = gateway_now(gateway);

	for (guint i = 0; i < gateway->requests->len; i++) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);
		int64_t pause = MAX(3 * request->attempt.event_usec,
		    GATEWAY_STALL_MIN_USEC / 2);

		if (request->state != GATEWAY_SENT ||
		    !path_includes(request, server) ||
		    now - request->attempt.last_progress_at < pause ||
		    request->attempt.reroute != NULL)
			continue;
		if (gateway_reroute(request, "a server of the path has failed"))
			continue;
		if (gateway_attempt_give_up(
			request, "a server of the path has failed"))
			gateway->counts.resumed++;
	}
}

/*
 * Handles the report of a probed server: the report lists the servers whose
 * work stalls. A server that sends no report is treated as failed.
 */
static void
on_probe(const struct backend_call_result *result, void *arg)
{
	struct probe *probe = arg;
	struct gateway *gateway = probe->gateway;
	struct pool_server *server = probe_server(probe);
	struct adapter_report report;

	if (server != NULL) {
		server->probing = false;
		gateway_note_response(gateway, server, &result->notice);
	}
	if (result->notice.retry_after_usec > 0) {
		/* It answers, but without a report. */
	} else if (result->status != STATUS_OK ||
	    gateway->config.adapter->decode_report(result->body, &report) !=
		STATUS_OK) {
		if (server != NULL) {
			if (result->status == STATUS_DENIED)
				pool_note_connection_lost(server);
			gateway_avoid_server(gateway, server,
			    result->status == STATUS_TIMEOUT ? POOL_SILENT
							     : POOL_FAULTY,
			    "no report");
			reroute_streams(gateway, server);
		}
	} else {
		if (server != NULL && server->info.born != 0 &&
		    report.born > server->info.born) {
			pool_note_replaced(server, report.born);
			gateway_avoid_server(gateway, server, POOL_FAULTY,
			    "another process answers");
			reroute_streams(gateway, server);
		} else if (server != NULL) {
			pool_note_working(
			    server, POOL_ANSWER, gateway_now(gateway));
			pool_note_reported_slowness(
			    server, report.slowness, gateway_now(gateway));
		}
		for (guint i = 0; i < report.stalled->len; i++) {
			struct pool_server *stalled = pool_find_address(
			    gateway->config.pool,
			    lstr_from(g_ptr_array_index(report.stalled, i)));

			if (stalled == NULL)
				continue;
			gateway_avoid_server(gateway, stalled, POOL_STALLED,
			    "stalls the work of another");
			reroute_streams(gateway, stalled);
		}
		g_ptr_array_free(report.stalled, TRUE);
	}
	g_free(probe->server);
	g_free(probe);
}

/*
 * Queries a server for its report, unless a query is pending or was sent
 * recently, or the server wants no calls. A server that is leaving is queried
 * only while it has a request of this node, which may stall there.
 */
void
gateway_probe(struct gateway *gateway, struct pool_server *server, int64_t now)
{
	struct probe *probe;
	struct lstr_buf text = {0};

	if (server->probing || pool_refuses(server, now) ||
	    now - server->probed_at < PROBE_INTERVAL_USEC ||
	    (server->leaving && server->own.active == 0))
		return;
	server->probed_at = now;
	probe = g_new0(struct probe, 1);
	probe->gateway = gateway;
	probe->server = g_strdup(server->info.id);
	probe->born = server->info.born;
	gateway->config.adapter->encode_report_request(
	    server->info.address_text, &text);
	server->probing = backend_call_start(gateway->config.h1,
	    gateway->config.loop, gateway->config.adapter,
	    &server->info.address, lstr_buf_view(&text),
	    now + PROBE_TIMEOUT_USEC, on_probe, probe);
	lstr_buf_free(&text);
	if (!server->probing) {
		g_free(probe->server);
		g_free(probe);
	}
}

/*
 * Probes failed servers whose exclusion has expired. Servers of plain services
 * have no report; they are readmitted, and the next request shows whether they
 * work.
 */
void
gateway_check_probation(struct gateway *gateway, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (gateway->fleet == NULL)
		return;
	g_hash_table_iter_init(&iter, gateway->config.pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;
		const struct fleet_service *service;

		if (!pool_is_on_probation(server, now))
			continue;
		service = fleet_config_find_service(
		    gateway->fleet, server->info.service);
		if (service != NULL && service->engine != NULL)
			gateway_probe(gateway, server, now);
		else
			server->failing_since = 0;
	}
}
