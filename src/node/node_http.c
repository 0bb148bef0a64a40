#include <stdlib.h>

#include <http_parser.h>

#include "metric.h"
#include "node_priv.h"
#include "slog.h"

/* Time for which callers may cache an address response. It is short, so that
 * they soon stop using a failed node; a lookup is cheap. */
#define ADDRESS_VALIDITY_USEC (1 * LOOP_USEC_PER_SEC)

/*
 * Returns whether the node can serve callers: it is not draining, has a
 * configuration and has read all keys of the store.
 */
static bool
is_ready(const struct node *node)
{
	return !drain_is_active(&node->drain) && node->fleet != NULL &&
	    store_cache_is_synced(node->store_cache);
}

/*
 * Sends a complete response, then reads the next request or closes the
 * connection.
 */
static void
send_response(struct h1_conn *conn, unsigned int status, const char *type,
    struct lstr body)
{
	struct lstr_buf text = {0};
	bool keep_alive =
	    h1_keep_alive(conn) && h1_fault(conn) == H1_FAULT_NONE;

	lstr_buf_printf(&text,
	    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n",
	    status, http_status_str((enum http_status)status), type, body.len);
	h1_encode_keep_alive(keep_alive ? h1_keep_usec(conn) : 0, &text);
	lstr_buf_printf(&text, "\r\n");
	lstr_buf_append(&text, body);
	if (h1_write(conn, lstr_buf_view(&text)) != STATUS_OK)
		keep_alive = false;
	lstr_buf_free(&text);
	if (keep_alive)
		h1_read_next_request(conn);
	else
		h1_close_gracefully(conn);
}

/*
 * Responds to an address lookup with the node addresses to use.
 */
static void
respond_lookup(struct node *node, struct h1_conn *conn)
{
	struct adapter_lookup lookup = {NULL, NULL};
	struct adapter_addresses reply = {
	    .validity_usec = MIN(ADDRESS_VALIDITY_USEC,
		(int64_t)(node->settings.address_validity_max_s *
		    (double)LOOP_USEC_PER_SEC))};
	char *text;

	if (!node->adapter->is_lookup(h1_target(conn), &lookup)) {
		send_response(conn, HTTP_STATUS_NOT_FOUND, "text/plain",
		    lstr_from("unknown path\n"));
		return;
	}
	reply.addresses = g_ptr_array_new();
	gossip_addresses(node->gossip, lookup.place, reply.addresses);
	text = node->adapter->encode_addresses(&reply);
	send_response(
	    conn, HTTP_STATUS_OK, "application/json", lstr_from(text));
	free(text);
	g_ptr_array_free(reply.addresses, TRUE);
	g_free(lookup.place);
	g_free(lookup.region);
}

/*
 * Responds to a readiness check.
 */
static void
respond_ready(struct node *node, struct h1_conn *conn)
{
	if (!node->adapter->is_ready_check(h1_target(conn)))
		send_response(conn, HTTP_STATUS_NOT_FOUND, "text/plain",
		    lstr_from("unknown path\n"));
	else if (is_ready(node))
		send_response(
		    conn, HTTP_STATUS_OK, "text/plain", lstr_from("ready\n"));
	else
		send_response(conn, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    "text/plain", lstr_from("not ready\n"));
}

/*
 * Responds with the metrics, read from the current state of the node.
 */
static void
respond_metrics(struct node *node, struct h1_conn *conn)
{
	const struct gateway_counts *gateway = gateway_counts(node->gateway);
	const struct h1_counts *h1 = h1_counts(node->h1);
	const struct planner_counts *plan = planner_counts(node->planner);
	struct lstr_buf text = {0};
	const struct {
		const char *name;
		int64_t value;
	} rows[] = {
	    {"requests_taken_total", (int64_t)gateway->taken},
	    {"requests_done_total", (int64_t)gateway->done},
	    {"requests_refused_total", (int64_t)gateway->refused},
	    {"requests_failed_total", (int64_t)gateway->failed},
	    {"requests_cancelled_total", (int64_t)gateway->cancelled},
	    {"requests_queued_total", (int64_t)gateway->queued},
	    {"requests_overtaking_total", (int64_t)gateway->overtaking},
	    {"requests_displaced_total", (int64_t)gateway->displaced},
	    {"requests_queue_full_total", (int64_t)gateway->queue_full},
	    {"requests_retried_total", (int64_t)gateway->retried},
	    {"requests_without_proof_total", (int64_t)gateway->no_proof},
	    {"streams_rerouted_total", (int64_t)gateway->rerouted},
	    {"streams_moved_total", (int64_t)gateway->resumed},
	    {"stream_events_total", (int64_t)gateway->events},
	    {"stray_answers_total", (int64_t)gateway->stray_answers},
	    {"answers_refused_total", (int64_t)h1->answers_refused},
	    {"requests_returned_total", (int64_t)gateway->returned},
	    {"searches_with_headroom_total",
		(int64_t)gateway->searches_with_headroom},
	    {"streams_moved_from_ended_total",
		(int64_t)gateway->moved_from_ended},
	    {"requests_quarantined_total", (int64_t)gateway->quarantined},
	    {"parts_suspected",
		(int64_t)quarantine_count(
		    node->quarantine, QUARANTINE_SUSPECTED)},
	    {"parts_confirmed",
		(int64_t)quarantine_count(
		    node->quarantine, QUARANTINE_CONFIRMED)},
	    {"requests_active", (int64_t)gateway_count_active(node->gateway)},
	    {"requests_waiting", (int64_t)gateway_count_waiting(node->gateway)},
	    {"connections_accepted_total", (int64_t)h1->accepted},
	    {"connections_opened_total", (int64_t)h1->connected},
	    {"connection_failures_total", (int64_t)h1->connect_failures},
	    {"connections_dropped_total", (int64_t)h1->connections_dropped},
	    {"connections_refused_total", (int64_t)h1->connections_refused},
	    {"connections_closed_unread_total", (int64_t)h1->closed_unread},
	    {"requests_put_back_total", (int64_t)gateway->put_back},
	    {"requests_unanswered_total", (int64_t)gateway->unanswered},
	    {"requests_without_memory_total", (int64_t)gateway->no_memory},
	    {"caller_connections", (int64_t)h1_listener_count(node->front)},
	    {"caller_connections_max", (int64_t)node->caller_limits.front},
	    {"caller_memory_bytes", (int64_t)node->account.held},
	    {"caller_memory_peak_bytes", (int64_t)node->account.peak},
	    {"caller_memory_max_bytes", (int64_t)node->account.limit},
	    {"descriptors_max", node->caller_limits.descriptors},
	    {"orders_total", (int64_t)plan->orders},
	    {"orders_fenced_total", (int64_t)plan->fenced},
	    {"log_lines_dropped_total", slog_dropped_count()},
	    {"config_version", node->fleet ? node->fleet->version : 0},
	    {"store_proof_age_ms",
		(loop_now(node->loop) - node_config_proved_at(node)) /
		    LOOP_USEC_PER_MSEC},
	    {"store_restores_total",
		(int64_t)store_cache_restore_count(node->store_cache)},
	    {"store_settled_era",
		(int64_t)settled_era_stored(node->settled_era)},
	    {"servers", (int64_t)g_hash_table_size(node->pool->by_id)},
	    {"nodes_live", (int64_t)gossip_live_count(node->gossip)},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		lstr_buf_printf(&text,
		    "chestnuthoist_%s %" G_GINT64_FORMAT "\n", rows[i].name,
		    rows[i].value);
	metric_write(&text);
	send_response(conn, HTTP_STATUS_OK, "text/plain", lstr_buf_view(&text));
	lstr_buf_free(&text);
}

/*
 * Ignores the head of a request to the node's own services; the response is
 * sent when the request is complete.
 */
static void
on_service_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * Ignores the body of a request to the node's own services.
 */
static void
on_service_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	(void)conn;
	(void)bytes;
	(void)arg;
}

/*
 * Does nothing: connections to the node's own services have no state.
 */
static void
on_service_ended(struct h1_conn *conn, enum status status, void *arg)
{
	(void)conn;
	(void)status;
	(void)arg;
}

/*
 * Handles an address lookup.
 */
static void
on_lookup(struct h1_conn *conn, void *arg)
{
	respond_lookup(arg, conn);
}

/*
 * Handles a readiness check.
 */
static void
on_ready(struct h1_conn *conn, void *arg)
{
	respond_ready(arg, conn);
}

/*
 * Handles a request for metrics.
 */
static void
on_metrics(struct h1_conn *conn, void *arg)
{
	respond_metrics(arg, conn);
}

const struct h1_ops node_lookup_ops = {
    NULL, NULL, on_service_head, on_service_body, on_lookup, on_service_ended};
const struct h1_ops node_ready_ops = {
    NULL, NULL, on_service_head, on_service_body, on_ready, on_service_ended};
const struct h1_ops node_metrics_ops = {
    NULL, NULL, on_service_head, on_service_body, on_metrics, on_service_ended};
