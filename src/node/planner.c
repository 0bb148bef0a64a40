#include <stdlib.h>
#include <string.h>

#include "planner.h"
#include "slog.h"

#define PLAN_INTERVAL_USEC (100 * LOOP_USEC_PER_MSEC)
/* Share of the lease in which orders are given: an order that is sent must
 * arrive before another planner can be elected. */
#define LEASE_MARGIN_USEC (500 * LOOP_USEC_PER_MSEC)

/* An order to one server, kept until its effect shows. */
struct order {
	struct planner *planner;
	char *server;
	int64_t born;
	uint32_t layer_from;
	uint32_t layer_to;
	int64_t sequence;
	/* Until then the server counts as holding what it was ordered. */
	int64_t until;
	/* When the server is asked whether it holds the layers, unless the list
	 * shows them before; 0: not at all. */
	int64_t confirm_at;
	/* A call is under way. */
	bool calling;
};

struct planner {
	struct planner_config config;
	struct enroll *enroll;
	/* By server: struct order. */
	GHashTable *orders;
	uint64_t fencing_token;
	int64_t vacant_since;
	int64_t planned_at;
	int64_t first_server_at;
	struct planner_counts counts;
	bool vacant;
	bool leaving;
};

/*
 * Frees an order; used by the table that holds it.
 */
static void
order_free(void *data)
{
	struct order *order = data;

	g_free(order->server);
	g_free(order);
}

/*
 * Frees the planner. Its calls must have ended.
 */
void
planner_destroy(struct planner *planner)
{
	if (planner == NULL)
		return;
	enroll_destroy(planner->enroll);
	g_hash_table_destroy(planner->orders);
	g_free(planner);
}

/*
 * Tells whether this node may give orders now.
 */
bool
planner_is_leader(const struct planner *planner)
{
	return planner->fencing_token != 0 &&
	    loop_now(planner->config.loop) + LEASE_MARGIN_USEC <
	    enroll_held_until(planner->enroll);
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
 * The key is held: its version is the fencing token.
 */
static void
on_held(uint64_t version, void *arg)
{
	struct planner *planner = arg;

	planner->fencing_token = version;
	slog_event(
	    EV_PLANNER_ELECTED, "{s:I}", "fencing_token", (json_int_t)version);
}

/*
 * The key is not held any more.
 */
static void
on_lost(const char *why, void *arg)
{
	struct planner *planner = arg;

	if (planner->fencing_token != 0)
		slog_event(EV_PLANNER_RESIGNED, "{s:s, s:I}", "reason", why,
		    "fencing_token", (json_int_t)planner->fencing_token);
	planner->fencing_token = 0;
	/* Whoever holds it shows in the store soon; no need to try before. */
	planner->vacant_since =
	    loop_now(planner->config.loop) + PLANNER_TTL_USEC / 2;
}

static const struct enroll_ops enroll_ops = {on_held, on_lost};

/*
 * Creates a planner that stands for election once planner_mark() or time
 * shows that there is none. The texts are borrowed.
 */
enum status
planner_create(const struct planner_config *config, struct planner **out)
{
	struct planner *planner = g_new0(struct planner, 1);

	struct enroll_config office = {.key = PLANNER_KEY,
	    .value = lstr_from(config->identity),
	    .ttl_usec = PLANNER_TTL_USEC,
	    .own = false};
	enum status status;

	planner->config = *config;
	planner->vacant = true;
	planner->vacant_since = loop_now(config->loop);
	planner->orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, order_free);
	status = enroll_create(config->loop, config->kv, &office, &enroll_ops,
	    planner, &planner->enroll);
	if (status != STATUS_OK) {
		planner_destroy(planner);
		return status;
	}
	*out = planner;
	return STATUS_OK;
}

/*
 * Takes what the store says of the planner's key.
 */
void
planner_mark(struct planner *planner, struct lstr holder, uint64_t version)
{
	planner->vacant = holder.len == 0;
	planner->vacant_since = loop_now(planner->config.loop);
	if (lstr_equal_c(holder, planner->config.identity) && !planner->leaving)
		enroll_adopt(planner->enroll, version);
}

/*
 * Stands for election when there is no planner and it is this node's turn.
 */
static void
stand(struct planner *planner)
{
	int64_t now = loop_now(planner->config.loop);
	int64_t turn =
	    (1 + (int64_t)mesh_rank(planner->config.mesh)) * PLANNER_STAND_USEC;

	if (planner->vacant && !planner->leaving &&
	    planner->fencing_token == 0 && now - planner->vacant_since >= turn)
		enroll_try(planner->enroll);
}

/*
 * Finds the server of an order if it is still the same process.
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
 * Notes that a server holds what it was ordered to, and vouches for it.
 */
static void
confirm(struct order *order, int64_t now)
{
	struct pool_server *server = order_server(order);

	order->confirm_at = 0;
	if (server == NULL)
		return;
	pool_confirm_layers(order->planner->config.pool, server,
	    order->layer_from, order->layer_to);
	server->vouch_until = now + POOL_VOUCH_USEC;
}

/*
 * Takes an engine's state after an order that was refused or not answered.
 */
static void
on_report(const struct ask_result *result, void *arg)
{
	struct order *order = arg;
	struct adapter_report report;
	struct pool_server *server = order_server(order);
	int64_t now = loop_now(order->planner->config.loop);

	order->calling = false;
	if (result->status != STATUS_OK ||
	    order->planner->config.adapter->decode_report(
		result->body, &report) != STATUS_OK) {
		order->until = 0;
		/* Neither the order nor the question was answered. */
		if (server != NULL)
			pool_avoid(server, now);
		return;
	}
	g_ptr_array_free(report.stalled, TRUE);
	order->sequence = report.order_sequence;
	if (report.busy) {
		order->confirm_at = now + PLANNER_CONFIRM_USEC;
	} else if (report.layer_from == order->layer_from &&
	    report.layer_to == order->layer_to) {
		confirm(order, now);
	} else {
		/* The order did not arrive, or the state was another one. */
		order->until = 0;
	}
}

/*
 * Asks an engine for its state.
 */
static void
ask_report(struct order *order, const struct pool_server *server)
{
	struct planner *planner = order->planner;
	struct lstr_buf text = {0};

	planner->config.adapter->word_report(server->info.address_text, &text);
	order->calling = ask_start(planner->config.h1, planner->config.loop,
	    &server->info.address, lstr_buf_view(&text),
	    loop_now(planner->config.loop) + PLANNER_ORDER_USEC, on_report,
	    order);
	lstr_buf_free(&text);
}

/*
 * Gives up the office after a server saw a newer planner.
 */
static void
resign(struct planner *planner, const char *why)
{
	on_lost(why, planner);
	enroll_leave(planner->enroll);
}

/*
 * Takes the answer to an order.
 */
static void
on_ordered(const struct ask_result *result, void *arg)
{
	struct order *order = arg;
	struct planner *planner = order->planner;
	struct pool_server *server = order_server(order);
	enum adapter_order_outcome outcome =
	    planner->config.adapter->order_outcome(result->http_status);

	order->calling = false;
	slog_event(EV_ORDER_ANSWERED, "{s:s, s:s, s:i, s:i, s:i}", "server",
	    order->server, "status", status_name(result->status), "http_status",
	    (int)result->http_status, "from", (int)order->layer_from, "to",
	    (int)order->layer_to);
	if (server == NULL) {
		order->until = 0;
		return;
	}
	if (result->status != STATUS_OK) {
		/* It may have begun, or begin seconds later. */
		planner->counts.lost++;
		ask_report(order, server);
		return;
	}
	switch (outcome) {
	case ADAPTER_ORDER_TAKEN:
		order->sequence++;
		return;
	case ADAPTER_ORDER_STALE:
		planner->counts.refused++;
		ask_report(order, server);
		return;
	case ADAPTER_ORDER_FENCED:
		planner->counts.fenced++;
		order->until = 0;
		resign(planner, "a server saw a higher fencing token");
		return;
	case ADAPTER_ORDER_REFUSED:
		planner->counts.refused++;
		order->until = 0;
		pool_avoid(server, loop_now(planner->config.loop));
		return;
	}
}

/*
 * Sends an order.
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
	order->until = now + PLANNER_EFFECT_USEC + load;
	order->confirm_at = now + load + PLANNER_LIST_USEC;
	wanted.order_sequence = order->sequence;
	planner->config.adapter->word_order(
	    server->info.address_text, server->info.id, &wanted, &text);
	order->calling = ask_start(planner->config.h1, planner->config.loop,
	    &server->info.address, lstr_buf_view(&text),
	    now + PLANNER_ORDER_USEC, on_ordered, order);
	lstr_buf_free(&text);
	planner->counts.orders++;
	slog_event(EV_ORDER_SENT, "{s:s, s:s, s:i, s:i, s:I, s:I, s:b}",
	    "server", server->info.id, "kind",
	    server->info.kind ? server->info.kind : "", "from",
	    (int)row->layer_from, "to", (int)row->layer_to, "sequence",
	    (json_int_t)wanted.order_sequence, "fencing_token",
	    (json_int_t)wanted.fencing_token, "sent", order->calling);
}

/*
 * Tells whether more servers are about to register: none holds layers yet and
 * the last one came a moment ago.
 */
static bool
is_settling(struct planner *planner, const GPtrArray *servers, int64_t now)
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
 * Fills one row of the table for the layout. Returns false when the server
 * takes no part in it.
 */
static bool
fill_row(struct planner *planner, const struct fleet_engine *engine,
    const struct pool_server *server, int64_t now, struct layout_server *row)
{
	const struct order *order =
	    g_hash_table_lookup(planner->orders, server->info.id);

	memset(row, 0, sizeof(*row));
	row->id = server->info.id;
	row->place = server->info.zone;
	row->kind = fleet_engine_kind(engine, server->info.kind);
	if (row->kind == NULL || server->info.state != FLEET_READY ||
	    server->superseded ||
	    (server->failing_since != 0 &&
		now - server->failing_since > PLANNER_FAILING_USEC))
		return false;
	row->layer_from = server->info.layer_from;
	row->layer_to = server->info.layer_to;
	row->orderable = pool_usable(server, now);
	if (order != NULL && order->born == server->info.born &&
	    (order->calling || order->until > now)) {
		row->layer_from = order->layer_from;
		row->layer_to = order->layer_to;
		row->orderable = false;
	}
	return true;
}

/*
 * Asks servers whether they hold what they were ordered to, where the list
 * does not show it in time: it may lag, and the store may be away.
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

		if (order->calling || order->confirm_at == 0 ||
		    order->confirm_at > now)
			continue;
		server = order_server(order);
		order->confirm_at = 0;
		if (server != NULL &&
		    (server->info.layer_from != order->layer_from ||
			server->info.layer_to != order->layer_to))
			ask_report(order, server);
	}
}

/*
 * Plans one service and sends the orders.
 */
static void
plan_service(struct planner *planner, const struct fleet_service *service)
{
	GPtrArray *servers = pool_service(planner->config.pool, service->name);
	struct layout_server *rows = g_new(struct layout_server, servers->len);
	const struct pool_server **of_row =
	    g_new(const struct pool_server *, servers->len);
	int64_t now = loop_now(planner->config.loop);
	size_t count = 0;

	if (is_settling(planner, servers, now))
		goto out;
	for (guint i = 0; i < servers->len; i++) {
		const struct pool_server *server =
		    g_ptr_array_index(servers, i);

		if (fill_row(
			planner, service->engine, server, now, &rows[count]))
			of_row[count++] = server;
	}
	if (layout_plan(service->engine, rows, count) == 0)
		goto out;
	for (size_t i = 0; i < count; i++) {
		if (rows[i].order)
			send_order(
			    planner, service->engine, of_row[i], &rows[i]);
	}
out:
	g_free(rows);
	g_free(of_row);
	g_ptr_array_free(servers, TRUE);
}

/*
 * Stands for election or plans, whichever is due.
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
	stand(planner);
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
 * Gives up the office before the process ends.
 */
void
planner_leave(struct planner *planner)
{
	planner->leaving = true;
	enroll_leave(planner->enroll);
	planner->fencing_token = 0;
}
