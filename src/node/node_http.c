#include <stdlib.h>

#include <http_parser.h>

#include "metric.h"
#include "node_priv.h"
#include "slog.h"

/* Time for which callers keep an address answer: short, so that they leave a
 * dead node soon; an answer costs little. */
#define VALIDITY_USEC (1 * LOOP_USEC_PER_SEC)

/*
 * Tells whether the node can serve callers.
 */
static bool
is_ready(const struct node *node)
{
	return node->draining_since == 0 && node->fleet != NULL &&
	    mirror_is_synced(node->mirror);
}

/*
 * Writes a short answer and reads the next request.
 */
static void
answer(struct h1_conn *conn, unsigned int status, const char *type,
    struct lstr body)
{
	struct lstr_buf text = {0};
	bool keep = h1_keep_alive(conn) && h1_fault(conn) == H1_FAULT_NONE;

	lstr_buf_printf(&text,
	    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "%s\r\n",
	    status, http_status_str((enum http_status)status), type, body.len,
	    keep ? "" : "Connection: close\r\n");
	lstr_buf_append(&text, body);
	h1_write(conn, lstr_buf_view(&text));
	lstr_buf_free(&text);
	if (keep)
		h1_next(conn);
	else
		h1_finish(conn);
}

/*
 * Answers a caller that asks which addresses to use.
 */
static void
answer_lookup(struct node *node, struct h1_conn *conn)
{
	struct adapter_lookup lookup = {NULL, NULL};
	struct adapter_addresses from = {
	    .validity_usec = MIN(VALIDITY_USEC,
		(int64_t)(node->settings.address_validity_max_s *
		    (double)LOOP_USEC_PER_SEC))};
	char *text;

	if (!node->adapter->is_lookup(h1_target(conn), &lookup)) {
		answer(conn, HTTP_STATUS_NOT_FOUND, "text/plain",
		    lstr_from("unknown path\n"));
		return;
	}
	from.addresses = g_ptr_array_new();
	mesh_addresses(node->mesh, lookup.place, from.addresses);
	text = node->adapter->word_addresses(&from);
	answer(conn, HTTP_STATUS_OK, "application/json", lstr_from(text));
	free(text);
	g_ptr_array_free(from.addresses, TRUE);
	g_free(lookup.place);
	g_free(lookup.region);
}

/*
 * Answers a check whether the node is ready.
 */
static void
answer_ready(struct node *node, struct h1_conn *conn)
{
	if (!node->adapter->is_ready_check(h1_target(conn)))
		answer(conn, HTTP_STATUS_NOT_FOUND, "text/plain",
		    lstr_from("unknown path\n"));
	else if (is_ready(node))
		answer(
		    conn, HTTP_STATUS_OK, "text/plain", lstr_from("ready\n"));
	else
		answer(conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
		    lstr_from("not ready\n"));
}

/*
 * Writes the metrics from the tables themselves.
 */
static void
answer_metrics(struct node *node, struct h1_conn *conn)
{
	const struct gate_counts *gate = gate_counts(node->gate);
	const struct h1_counts *h1 = h1_counts(node->h1);
	const struct planner_counts *plan = planner_counts(node->planner);
	struct lstr_buf text = {0};
	const struct {
		const char *name;
		int64_t value;
	} rows[] = {
	    {"requests_taken_total", (int64_t)gate->taken},
	    {"requests_done_total", (int64_t)gate->done},
	    {"requests_refused_total", (int64_t)gate->refused},
	    {"requests_failed_total", (int64_t)gate->failed},
	    {"requests_cancelled_total", (int64_t)gate->cancelled},
	    {"requests_queued_total", (int64_t)gate->queued},
	    {"requests_retried_total", (int64_t)gate->retried},
	    {"requests_without_proof_total", (int64_t)gate->no_proof},
	    {"streams_rerouted_total", (int64_t)gate->rerouted},
	    {"streams_moved_total", (int64_t)gate->resumed},
	    {"stream_events_total", (int64_t)gate->events},
	    {"stray_answers_total", (int64_t)gate->stray_answers},
	    {"requests_active", (int64_t)gate_active(node->gate)},
	    {"requests_waiting", (int64_t)gate_waiting(node->gate)},
	    {"connections_accepted_total", (int64_t)h1->accepted},
	    {"connections_opened_total", (int64_t)h1->connected},
	    {"connection_failures_total", (int64_t)h1->connect_failures},
	    {"orders_total", (int64_t)plan->orders},
	    {"orders_fenced_total", (int64_t)plan->fenced},
	    {"log_lines_dropped_total", slog_dropped()},
	    {"config_version", node->fleet ? node->fleet->version : 0},
	    {"store_proof_age_ms",
		(loop_now(node->loop) - mirror_proved_at(node->mirror)) /
		    LOOP_USEC_PER_MSEC},
	    {"servers", (int64_t)g_hash_table_size(node->pool->by_id)},
	    {"nodes_live", (int64_t)mesh_live_count(node->mesh)},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		lstr_buf_printf(&text,
		    "chestnuthoist_%s %" G_GINT64_FORMAT "\n", rows[i].name,
		    rows[i].value);
	metric_write(&text);
	answer(conn, HTTP_STATUS_OK, "text/plain", lstr_buf_view(&text));
	lstr_buf_free(&text);
}

/*
 * Requests of the node's own services have no body that matters.
 */
static void
on_service_head(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * See on_service_head().
 */
static void
on_service_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	(void)conn;
	(void)bytes;
	(void)arg;
}

/*
 * Nothing is kept for a connection of the node's own services.
 */
static void
on_service_ended(struct h1_conn *conn, enum status status, void *arg)
{
	(void)conn;
	(void)status;
	(void)arg;
}

/*
 * Answers a request for addresses.
 */
static void
on_lookup(struct h1_conn *conn, void *arg)
{
	answer_lookup(arg, conn);
}

/*
 * Answers a readiness check.
 */
static void
on_ready(struct h1_conn *conn, void *arg)
{
	answer_ready(arg, conn);
}

/*
 * Answers a request for metrics.
 */
static void
on_metrics(struct h1_conn *conn, void *arg)
{
	answer_metrics(arg, conn);
}

const struct h1_ops node_lookup_ops = {
    NULL, NULL, on_service_head, on_service_body, on_lookup, on_service_ended};
const struct h1_ops node_ready_ops = {
    NULL, NULL, on_service_head, on_service_body, on_ready, on_service_ended};
const struct h1_ops node_metrics_ops = {
    NULL, NULL, on_service_head, on_service_body, on_metrics, on_service_ended};
