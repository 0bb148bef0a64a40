#include <stdlib.h>
#include <string.h>

#include "fencing.h"
#include "notice.h"
#include "planner.h"
#include "slog.h"

#define PLAN_INTERVAL_USEC (100 * LOOP_USEC_PER_MSEC)
/* No orders are sent during this time before the lease ends, so that an order
 * arrives before another planner can be elected. */
#define LEASE_MARGIN_USEC (500 * LOOP_USEC_PER_MSEC)

/* The last order to one server. */
struct order {
	struct planner *planner;
	char *server;
	int64_t born;
	uint32_t layer_from;
	uint32_t layer_to;
	int64_t sequence;
	uint64_t fencing_token;
	/* Until then the server counts as holding the layers of the order. */
	int64_t assumed_until;
	/* When to query the server for its layers if the list does not show
	 * them by then; 0: never. */
	int64_t query_at;
	/* A call is in progress. */
	bool call_pending;
};

struct planner {
	struct planner_config config;
	struct lease_key *lease_key;
	/* struct order by server identifier. */
	GHashTable *orders;
	struct fencing fencing;
	/* 0: this node is not the planner. */
	uint64_t fencing_token;
	/* Newest era that the store has stated; 0: none. */
	uint64_t era;
	/* No orders are sent before this time, as the planner of an earlier era
	 * may still send some. */
	int64_t quiet_until;
	int64_t vacant_since;
	int64_t planned_at;
	int64_t first_server_at;
	struct planner_counts counts;
	bool vacant;
	/* This node was the planner when the store was restored. */
	bool reacquire;
	/* planner_resign() was called. */
	bool resigned;
};

/*
 * Frees an order; value destructor of the order table.
 */
static void
order_free(void *data)
{
	struct order *order = data;

	g_free(order->server);
	g_free(order);
}

/*
 * Frees the planner. None of its calls may be in progress.
 */
void
planner_destroy(struct planner *planner)
{
	if (planner == NULL)
		return;
	lease_key_destroy(planner->lease_key);
	g_hash_table_destroy(planner->orders);
	g_free(planner);
}

/*
 * Returns true if this node is the planner and may send orders now.
 */
bool
planner_is_leader(const struct planner *planner)
{
	int64_t now = loop_now(planner->config.loop);

	return planner->fencing_token != 0 && now >= planner->quiet_until &&
	    now + LEASE_MARGIN_USEC < lease_key_held_until(planner->lease_key);
}

/*
 * Returns the planner's counters.
 */
const struct planner_counts *
planner_counts(const struct planner *planner)
{
	return &planner->counts;
}

/*
 * Records that this node holds the planner key, whose position determines the
 * fencing token.
 */
static void
on_held(struct store_position position, void *arg)
{
	struct planner *planner = arg;

	planner->fencing_token = fencing_take(&planner->fencing, position);
	slog_event(EV_PLANNER_ELECTED, "{s:I, s:I, s:I}", "fencing_token",
	    (json_int_t)planner->fencing_token, "era", (json_int_t)position.era,
	    "revision", (json_int_t)position.revision);
}

/*
 * Records that this node no longer holds the planner key.
 */
static void
on_lost(const char *reason, void *arg)
{
	struct planner *planner = arg;

	if (planner->fencing_token != 0)
		slog_event(EV_PLANNER_RESIGNED, "{s:s, s:I}", "reason", reason,
		    "fencing_token", (json_int_t)planner->fencing_token);
	planner->fencing_token = 0;
	/* Do not try again at once: the store soon shows the new holder. */
	planner->vacant_since =
	    loop_now(planner->config.loop) + PLANNER_TTL_USEC / 2;
}

/*
 * Handles a restore of the store, which may have lost the planner key. Its
 * holder sends orders until it learns of the restore or its lease ends, at most
 * the time to live of the lease from now. It acquires the key again at once;
 * another node waits for that long. The first era that is learned is no sign of
 * a restore.
 */
static void
on_era_changed(uint64_t era, void *arg)
{
	struct planner *planner = arg;
	int64_t now = loop_now(planner->config.loop);
	bool was_holder = planner->fencing_token != 0 &&
	    now < lease_key_held_until(planner->lease_key);

	planner->reacquire = was_holder && !planner->resigned;
	if (was_holder)
		planner->quiet_until = now + PLANNER_RESYNC_USEC;
	else if (planner->era != 0)
		planner->quiet_until = now + PLANNER_TTL_USEC;
	planner->era = era;
}

static const struct lease_key_ops lease_key_ops = {
    on_held, on_lost, on_era_changed};

/*
 * Creates a planner, which tries to be elected while the planner key has no
 * holder. The
 * strings of the configuration are borrowed.
 */
enum status
planner_create(const struct planner_config *config, struct planner **out)
{
	struct planner *planner = g_new0(struct planner, 1);

	struct lease_key_config lock = {.key = PLANNER_KEY,
	    .value = lstr_from(config->identity),
	    .ttl_usec = PLANNER_TTL_USEC,
	    .rewrite_when_lost = false};
	enum status status;

	planner->config = *config;
	planner->vacant = true;
	planner->vacant_since = loop_now(config->loop);
	planner->orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, order_free);
	status = lease_key_create(config->loop, config->kv, &lock,
	    &lease_key_ops, planner, &planner->lease_key);
	if (status != STATUS_OK) {
		planner_destroy(planner);
		return status;
	}
	*out = planner;
	return STATUS_OK;
}

/*
 * Resigns as planner because another node has been elected.
 */
static void
resign(struct planner *planner, const char *reason)
{
	on_lost(reason, planner);
	lease_key_release(planner->lease_key);
}

/*
 * Handles the state of the planner key in the store.
 */
void
planner_note_holder(
    struct planner *planner, struct lstr holder, struct store_position position)
{
	lease_key_note_era(planner->lease_key, position.era);
	if (position.era != 0 && position.era < planner->era) {
		fencing_note(&planner->fencing, position);
		return;
	}
	planner->vacant = holder.len == 0;
	planner->vacant_since = loop_now(planner->config.loop);
	if (!lstr_equal_c(holder, planner->config.identity)) {
		if (holder.len > 0)
			fencing_note(&planner->fencing, position);
		if (holder.len > 0 && planner->fencing_token != 0 &&
		    store_position_compare(
			position, planner->fencing.position) > 0)
			resign(planner, "the store shows another planner");
	} else if (!planner->resigned) {
		lease_key_note_own(planner->lease_key, position);
	}
}

/*
 * Handles an era that the store stated.
 */
void
planner_note_era(struct planner *planner, uint64_t era)
{
	lease_key_note_era(planner->lease_key, era);
}

/*
 * Gives up the planner key after a restore of a store that states no era.
 */
void
planner_note_restore(struct planner *planner)
{
	lease_key_note_restore(planner->lease_key);
}

/*
 * Tries to become the planner if there is none and it is this node's turn.
 */
static void
try_election(struct planner *planner)
{
	int64_t now = loop_now(planner->config.loop);
	int64_t delay = (1 + (int64_t)gossip_rank(planner->config.gossip)) *
	    PLANNER_ELECTION_STAGGER_USEC;

	if (planner->reacquire && !planner->resigned) {
		planner->reacquire = !lease_key_acquire(planner->lease_key);
		return;
	}
	if (planner->vacant && !planner->resigned &&
	    planner->fencing_token == 0 && now >= planner->quiet_until &&
	    now - planner->vacant_since >= delay)
		lease_key_acquire(planner->lease_key);
}

/*
 * Returns the server of an order, or NULL if it is gone or was restarted.
 */
static struct pool_server *
order_server(const struct order *order)
{
	struct pool_server *server =
	    pool_find(order->planner->config.pool, order->server);

	if (server == NULL || server->info.born != order->born)
		return NULL;
	return server;
}

/*
 * Records that a server holds the layers of its order, and confirms them to the
 * peers for a time.
 */
static void
confirm_order(struct order *order, int64_t now)
{
	struct pool_server *server = order_server(order);

	order->query_at = 0;
	if (server == NULL)
		return;
	pool_confirm_layers(order->planner->config.pool, server,
	    order->layer_from, order->layer_to);
	server->confirm_until = now + POOL_CONFIRM_USEC;
}

/*
 * Handles an engine's report, which was requested after an order that was
 * refused, not answered or not yet visible in the list.
 */
static void
on_report(const struct backend_call_result *result, void *arg)
{
	struct order *order = arg;
	struct adapter_report report;
	struct pool_server *server = order_server(order);
	int64_t now = loop_now(order->planner->config.loop);

	order->call_pending = false;
	if (server != NULL)
		notice_apply(
		    order->planner->config.pool, server, &result->notice, now);
	if (server != NULL && result->notice.retry_after_usec > 0) {
		order->query_at = server->refuses_until;
		return;
	}
	if (result->status != STATUS_OK ||
	    order->planner->config.adapter->decode_report(
		result->body, &report) != STATUS_OK) {
		order->assumed_until = 0;
		/* The report was not answered either. */
		if (server != NULL && result->status == STATUS_DENIED)
			pool_note_connection_lost(server);
		if (server != NULL)
			pool_avoid(server,
			    result->status == STATUS_TIMEOUT ? POOL_SILENT
							     : POOL_FAULTY,
			    now);
		return;
	}
	g_ptr_array_free(report.stalled, TRUE);
	order->sequence = report.order_sequence;
	if (report.busy) {
		order->query_at = now + PLANNER_REQUERY_USEC;
	} else if (report.layer_from == order->layer_from &&
	    report.layer_to == order->layer_to) {
		confirm_order(order, now);
	} else {
		/* The order was lost, or refused as out of sequence. */
		order->assumed_until = 0;
	}
}

/*
 * Requests the report of an engine, later if it wants no calls now, and not at
 * all if it is leaving: its layers are ordered elsewhere.
 */
static void
request_report(struct order *order, const struct pool_server *server)
{
	struct planner *planner = order->planner;
	struct lstr_buf text = {0};

	if (server->leaving)
		return;
	if (pool_refuses(server, loop_now(planner->config.loop))) {
		order->query_at = server->refuses_until;
		return;
	}
	planner->config.adapter->encode_report_request(
	    server->info.address_text, &text);
	order->call_pending = backend_call_start(planner->config.h1,
	    planner->config.loop, planner->config.adapter,
	    &server->info.address, lstr_buf_view(&text),
	    loop_now(planner->config.loop) + PLANNER_CALL_USEC, on_report,
	    order);
	lstr_buf_free(&text);
}

/*
 * Handles the response to an order.
 */
static void
on_order_response(const struct backend_call_result *result, void *arg)
{
	struct order *order = arg;
	struct planner *planner = order->planner;
	struct pool_server *server = order_server(order);
	int64_t now = loop_now(planner->config.loop);
	enum adapter_order_outcome outcome =
	    planner->config.adapter->order_outcome(result->http_status);

	order->call_pending = false;
	slog_event(EV_ORDER_ANSWERED, "{s:s, s:s, s:i, s:i, s:i}", "server",
	    order->server, "status", status_name(result->status), "http_status",
	    (int)result->http_status, "from", (int)order->layer_from, "to",
	    (int)order->layer_to);
	if (server == NULL) {
		order->assumed_until = 0;
		return;
	}
	notice_apply(planner->config.pool, server, &result->notice, now);
	if (result->status != STATUS_OK) {
		/* The load may have started, or may start seconds later. */
		planner->counts.lost++;
		request_report(order, server);
		return;
	}
	switch (outcome) {
	case ADAPTER_ORDER_ACCEPTED:
		order->sequence++;
		return;
	case ADAPTER_ORDER_STALE:
		planner->counts.refused++;
		request_report(order, server);
		return;
	case ADAPTER_ORDER_FENCED:
		planner->counts.fenced++;
		order->assumed_until = 0;
		/* An order from before the last election says nothing about the
		 * present token. */
		if (order->fencing_token == planner->fencing_token)
			resign(planner, "a server saw a higher fencing token");
		return;
	case ADAPTER_ORDER_REFUSED:
		planner->counts.refused++;
		order->assumed_until = 0;
		if (result->notice.retry_after_usec == 0)
			pool_avoid(server, POOL_FAULTY, now);
		return;
	}
}

/*
 * Sends an order to a server and records it.
 */
static void
send_order(struct planner *planner, const struct fleet_engine *engine,
    const struct pool_server *server, const struct layout_server *row)
{
	struct order *order =
	    g_hash_table_lookup(planner->orders, server->info.id);
	int64_t now = loop_now(planner->config.loop);
	struct adapter_order wanted = {.layer_from = row->layer_from,
	    .layer_to = row->layer_to,
	    .fencing_token = planner->fencing_token};
	struct lstr_buf text = {0};
	int64_t load;

	if (order == NULL) {
		order = g_new0(struct order, 1);
		order->planner = planner;
		order->server = g_strdup(server->info.id);
		g_hash_table_insert(planner->orders, order->server, order);
	}
	if (order->born != server->info.born) {
		order->born = server->info.born;
		order->sequence = 0;
	}
	order->layer_from = row->layer_from;
	order->layer_to = row->layer_to;
	/* All servers may load at once and slow each other down. */
	load = engine->load_usec * (row->layer_to - row->layer_from) /
	    engine->layers;
	order->assumed_until = now + PLANNER_EFFECT_USEC + load;
	order->query_at = now + load + PLANNER_LIST_LAG_USEC;
	wanted.order_sequence = order->sequence;
	order->fencing_token = wanted.fencing_token;
	planner->config.adapter->encode_order(
	    server->info.address_text, server->info.id, &wanted, &text);
	order->call_pending = backend_call_start(planner->config.h1,
	    planner->config.loop, planner->config.adapter,
	    &server->info.address, lstr_buf_view(&text),
	    now + PLANNER_CALL_USEC, on_order_response, order);
	lstr_buf_free(&text);
	planner->counts.orders++;
	slog_event(EV_ORDER_SENT, "{s:s, s:s, s:i, s:i, s:I, s:I, s:b}",
	    "server", server->info.id, "kind",
	    server->info.kind ? server->info.kind : "", "from",
	    (int)row->layer_from, "to", (int)row->layer_to, "sequence",
	    (json_int_t)wanted.order_sequence, "fencing_token",
	    (json_int_t)wanted.fencing_token, "sent", order->call_pending);
}

/*
 * Returns true if the initial placement should wait for more servers to
 * register: none holds layers yet, and the last one registered recently.
 */
static bool
is_waiting_for_servers(
    struct planner *planner, const GPtrArray *servers, int64_t now)
{
	for (guint i = 0; i < servers->len; i++) {
		const struct pool_server *server =
		    g_ptr_array_index(servers, i);

		if (server->info.layer_to > server->info.layer_from)
			return false;
	}
	if (servers->len == 0)
		return true;
	if (planner->first_server_at == 0)
		planner->first_server_at = now;
	return now - planner->config.pool->last_added_at <
	    PLANNER_SETTLE_USEC &&
	    now - planner->first_server_at < PLANNER_SETTLE_MAX_USEC;
}

/*
 * Fills one row of the layout table. Returns false if the server is excluded
 * from the layout.
 */
static bool
fill_layout_row(struct planner *planner, const struct fleet_engine *engine,
    const struct pool_server *server, int64_t now, struct layout_server *row)
{
	const struct order *order =
	    g_hash_table_lookup(planner->orders, server->info.id);
	int64_t failing_since = pool_failing_since(server, now);

	memset(row, 0, sizeof(*row));
	row->id = server->info.id;
	row->place = server->info.zone;
	row->kind = fleet_engine_kind(engine, server->info.kind);
	if (row->kind == NULL || server->info.state != FLEET_READY ||
	    server->leaving || server->superseded ||
	    (failing_since != 0 && now - failing_since > PLANNER_FAILING_USEC))
		return false;
	row->layer_from = server->info.layer_from;
	row->layer_to = server->info.layer_to;
	/* A call to the server may be to its former process, whose response
	 * must not be taken for that of the present one. */
	row->orderable =
	    pool_usable(server, now) && !(order != NULL && order->call_pending);
	if (order != NULL && order->born == server->info.born &&
	    (order->call_pending || order->assumed_until > now)) {
		row->layer_from = order->layer_from;
		row->layer_to = order->layer_to;
		row->orderable = false;
	}
	return true;
}

/*
 * Queries servers whose ordered layers do not show in the list in time: the
 * list may lag, and the store may be unreachable.
 */
static void
check_orders(struct planner *planner, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, planner->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct order *order = value;
		const struct pool_server *server;

		if (order->call_pending || order->query_at == 0 ||
		    order->query_at > now)
			continue;
		server = order_server(order);
		order->query_at = 0;
		if (server != NULL &&
		    (server->info.layer_from != order->layer_from ||
			server->info.layer_to != order->layer_to))
			request_report(order, server);
	}
}

/*
 * Plans the layout of one service and sends the orders.
 */
static void
plan_service(struct planner *planner, const struct fleet_service *service)
{
	GPtrArray *servers =
	    pool_service_servers(planner->config.pool, service->name);
	struct layout_server *rows = g_new(struct layout_server, servers->len);
	const struct pool_server **row_servers =
	    g_new(const struct pool_server *, servers->len);
	int64_t now = loop_now(planner->config.loop);
	size_t count = 0;

	if (is_waiting_for_servers(planner, servers, now))
		goto out;
	for (guint i = 0; i < servers->len; i++) {
		const struct pool_server *server =
		    g_ptr_array_index(servers, i);

		if (fill_layout_row(
			planner, service->engine, server, now, &rows[count]))
			row_servers[count++] = server;
	}
	if (layout_plan(service->engine, rows, count) == 0)
		goto out;
	for (size_t i = 0; i < count; i++) {
		if (rows[i].order)
			send_order(
			    planner, service->engine, row_servers[i], &rows[i]);
	}
out:
	g_free(rows);
	g_free(row_servers);
	g_ptr_array_free(servers, TRUE);
}

/*
 * Periodic work: tries to be elected and, as the planner, plans all services.
 */
void
planner_tick(struct planner *planner, const struct fleet_config *config)
{
	int64_t now = loop_now(planner->config.loop);
	GHashTableIter iter;
	gpointer value;

	if (now - planner->planned_at < PLAN_INTERVAL_USEC)
		return;
	planner->planned_at = now;
	try_election(planner);
	if (config == NULL || !planner_is_leader(planner))
		return;
	check_orders(planner, now);
	g_hash_table_iter_init(&iter, config->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_service *service = value;

		if (service->engine != NULL)
			plan_service(planner, service);
	}
}

/*
 * Releases the planner key before the process ends, so that another node can
 * be elected at once, and never tries to be elected again.
 */
void
planner_resign(struct planner *planner)
{
	planner->resigned = true;
	lease_key_release(planner->lease_key);
	planner->fencing_token = 0;
}
