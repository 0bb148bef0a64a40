#include "gate_priv.h"

/* An engine answers the question for its report within milliseconds. */
#define PROBE_USEC (250 * LOOP_USEC_PER_MSEC)
/* Reports are some 100 ms old; a newer one tells nothing new before. */
#define PROBE_PAUSE_USEC (400 * LOOP_USEC_PER_MSEC)

/* A question for the report of a server that is under way. */
struct probe {
	struct gate *gate;
	char *server;
};

/*
 * Avoids a server for a time and logs the evidence.
 */
void
gate_avoid(struct gate *gate, struct pool_server *server, const char *evidence)
{
	int64_t now = gate_now(gate);

	if (pool_avoid(server, now))
		slog_event(EV_SERVER_AVOIDED, "{s:s, s:s, s:I}", "server",
		    server->info.id, "evidence", evidence, "for_ms",
		    (json_int_t)((server->avoid_until - now) /
			LOOP_USEC_PER_MSEC));
}

/*
 * Tells whether a request's path uses a server.
 */
static bool
uses(const struct gate_request *request, const struct pool_server *server)
{
	for (uint32_t i = 0; i < request->attempt.stage_count; i++) {
		if (request->attempt.stages[i].server == server)
			return true;
	}
	return false;
}

/*
 * Moves the streams that use a failed server and make no progress to other
 * paths.
 */
static void
move_streams(struct gate *gate, const struct pool_server *server)
{
	int64_t now = gate_now(gate);

	for (guint i = 0; i < gate->requests->len; i++) {
		struct gate_request *request =
		    g_ptr_array_index(gate->requests, i);
		int64_t pause = MAX(
		    3 * request->attempt.event_usec, GATE_STALL_MIN_USEC / 2);

		if (request->state != GATE_SENT || !uses(request, server) ||
		    now - request->attempt.progress_at < pause ||
		    request->attempt.reroute != NULL)
			continue;
		if (gate_reroute(request, "a server of the path has failed"))
			continue;
		gate->counts.resumed++;
		gate_failed(request, false, "a server of the path has failed");
	}
}

/*
 * Takes the report of the first server of a stalled path: it names the
 * servers whose work stalls. One that does not answer has failed itself.
 */
static void
on_probe(const struct ask_result *result, void *arg)
{
	struct probe *probe = arg;
	struct gate *gate = probe->gate;
	struct pool_server *server =
	    pool_find(gate->config.pool, probe->server);
	struct adapter_report report;

	if (server != NULL)
		server->probing = false;
	if (result->status != STATUS_OK ||
	    gate->config.adapter->decode_report(result->body, &report) !=
		STATUS_OK) {
		if (server != NULL) {
			gate_avoid(gate, server, "no report");
			move_streams(gate, server);
		}
	} else {
		if (server != NULL) {
			pool_note_good(server, gate_now(gate));
			pool_report_pace(
			    server, report.slowness, gate_now(gate));
		}
		for (guint i = 0; i < report.stalled->len; i++) {
			struct pool_server *stalled = pool_find_address(
			    gate->config.pool,
			    lstr_from(g_ptr_array_index(report.stalled, i)));

			if (stalled == NULL)
				continue;
			gate_avoid(gate, stalled, "stalls the work of another");
			move_streams(gate, stalled);
		}
		g_ptr_array_free(report.stalled, TRUE);
	}
	g_free(probe->server);
	g_free(probe);
}

/*
 * Asks the first server of a path for its report, unless that was done a
 * moment ago.
 */
void
gate_probe(struct gate *gate, struct pool_server *server, int64_t now)
{
	struct probe *probe;
	struct lstr_buf text = {0};

	if (server->probing || now - server->probed_at < PROBE_PAUSE_USEC)
		return;
	server->probed_at = now;
	probe = g_new0(struct probe, 1);
	probe->gate = gate;
	probe->server = g_strdup(server->info.id);
	gate->config.adapter->word_report(server->info.address_text, &text);
	server->probing =
	    ask_start(gate->config.h1, gate->config.loop, &server->info.address,
		lstr_buf_view(&text), now + PROBE_USEC, on_probe, probe);
	lstr_buf_free(&text);
	if (!server->probing) {
		g_free(probe->server);
		g_free(probe);
	}
}

/*
 * Asks servers that failed and were left alone for a time whether they work.
 * Plain services have no report: the next request shows it.
 */
void
gate_check_probation(struct gate *gate, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (gate->fleet == NULL)
		return;
	g_hash_table_iter_init(&iter, gate->config.pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;
		const struct fleet_service *service;

		if (!pool_is_on_probation(server, now))
			continue;
		service =
		    fleet_config_service(gate->fleet, server->info.service);
		if (service != NULL && service->engine != NULL)
			gate_probe(gate, server, now);
		else
			server->failing_since = 0;
	}
}
