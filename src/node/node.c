#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <http_parser.h>

#include "admit.h"
#include "gateway.h"
#include "metric.h"
#include "node_priv.h"
#include "planner.h"
#include "settings.h"
#include "slog.h"

/* Short compared with the pauses allowed between events of a stream. */
#define TICK_USEC (20 * LOOP_USEC_PER_MSEC)
/* Periodic work that is later than this is logged. */
#define LATE_USEC (250 * LOOP_USEC_PER_MSEC)
#define SWEEP_USEC (250 * LOOP_USEC_PER_MSEC)
/* Time to live of the node's entry in the store. Its neighbours detect a crash
 * by silence; in a large fleet the other nodes give its address to callers
 * until the entry expires. */
#define ENTRY_TTL_USEC (4 * LOOP_USEC_PER_SEC)
/* Nodes that lose their entries at the same moment write them again over this
 * time per node. Each makes up to three write calls, and all nodes together
 * may make 400 a second. */
#define ENTRY_SPREAD_USEC (10 * LOOP_USEC_PER_MSEC)
/* The proof that the configuration is current must be younger than revoke_ms by
 * this margin: watches may receive nothing for a second while the store
 * discards its history. With a short revoke_ms the margin is at most
 * PROOF_MARGIN_SHARE of it. */
#define PROOF_MARGIN_USEC (1250 * LOOP_USEC_PER_MSEC)
#define PROOF_MARGIN_SHARE 0.4

/*
 * Stops a draining node once its responses are delivered, or when the grace
 * period ends. It stops accepting connections once callers have had time to
 * learn the addresses of other nodes; if no other node serves, it accepts them
 * until it exits, in order to refuse them.
 */
static void
check_drained(struct node *node)
{
	int64_t now = loop_now(node->loop);
	bool accepts = now < node->drain.accept_until;

	if (!accepts && !node->front_stopped &&
	    gossip_serving_count(node->gossip) > 0) {
		node->front_stopped = true;
		h1_listener_stop(node->front);
	}
	if (now >= node->drain.answer_by)
		gateway_answer_rest(node->gateway);
	if ((!accepts && gateway_count_active(node->gateway) == 0 &&
		!h1_listener_has_output(node->front) &&
		!h1_listener_has_input(node->front)) ||
	    now >= node->drain.exit_by)
		loop_stop(node->loop);
}

/*
 * Selects whether this node watches the store for itself, for its peers as
 * well, or relies on the watches of peers.
 */
static void
select_watch_mode(struct node *node)
{
	enum store_cache_watch watch = STORE_CACHE_WATCH_OWN;

	if (gossip_is_watcher(node->gossip))
		watch = STORE_CACHE_WATCH_SHARED;
	else if (gossip_shares_watches(node->gossip))
		watch = STORE_CACHE_WATCH_PEERS;
	store_cache_set_watch(node->store_cache, watch);
}

/*
 * Returns the largest age, in microseconds, of the proof that the configuration
 * is current at which API keys are still accepted; 0: no limit.
 */
static int64_t
max_proof_age(const struct node *node)
{
	int64_t revoke = node->settings.revoke_ms * LOOP_USEC_PER_MSEC;
	int64_t margin = MIN(
	    PROOF_MARGIN_USEC, (int64_t)(PROOF_MARGIN_SHARE * (double)revoke));

	return revoke - margin;
}

/*
 * Returns the largest age of that proof at which unknown routes and keys are
 * refused; 0: no limit.
 */
static int64_t
max_unknown_proof_age(const struct node *node)
{
	return node->settings.config_apply_ms * LOOP_USEC_PER_MSEC;
}

/*
 * Returns the age that the proof must not exceed while the store responds; 0:
 * no limit.
 */
static int64_t
max_usual_proof_age(const struct node *node)
{
	int64_t keys = max_proof_age(node);
	int64_t unknown = max_unknown_proof_age(node);

	if (keys == 0 || unknown == 0)
		return MAX(keys, unknown);
	return MIN(keys, unknown);
}

/*
 * Returns whether the proof of the configuration is recent enough to accept API
 * keys. Otherwise the address of this node is not given to callers, and they
 * use other nodes.
 */
static bool
can_verify_keys(const struct node *node)
{
	int64_t max = max_proof_age(node);

	return max == 0 ||
	    loop_now(node->loop) - node_config_proved_at(node) <= max;
}

/*
 * Runs the periodic work of all modules.
 */
static void
on_tick(void *arg)
{
	struct node *node = arg;
	int64_t now = loop_now(node->loop);

	if (node->tick_at != 0 && now - node->tick_at >= LATE_USEC)
		slog_event(EV_LOOP_LATE, "{s:I}", "late_ms",
		    (json_int_t)((now - node->tick_at) / LOOP_USEC_PER_MSEC));
	node->tick_at = now + TICK_USEC;
	loop_timer_set(node->tick, node->tick_at);
	gossip_tick(node->gossip);
	select_watch_mode(node);
	gossip_set_serving(node->gossip, can_verify_keys(node));
	store_cache_tick(node->store_cache);
	node_check_restores(node);
	gateway_tick(node->gateway);
	planner_tick(node->planner, node->fleet);
	if (now - node->last_sweep_at >= SWEEP_USEC) {
		node->last_sweep_at = now;
		node_drop_expired_servers(node);
		lease_key_set_spread(node->entry,
		    gossip_live_count(node->gossip) * ENTRY_SPREAD_USEC);
		quarantine_store_tick(
		    node->quarantine_store, planner_is_leader(node->planner));
		settled_era_tick(node->settled_era,
		    planner_is_leader(node->planner), node_proved_era(node));
		h1_listener_check_timeouts(node->front);
		h1_listener_check_timeouts(node->ready);
		h1_listener_check_timeouts(node->lookup);
		if (node->metrics != NULL)
			h1_listener_check_timeouts(node->metrics);
		node_report_callers(node);
	}
	slog_flush();
	if (drain_is_active(&node->drain))
		check_drained(node);
}

/*
 * Handles SIGTERM: starts draining, so that callers go to other nodes while the
 * requests in progress are completed.
 */
static void
on_sigterm(void *arg)
{
	struct node *node = arg;

	if (drain_is_active(&node->drain))
		return;
	drain_start(&node->drain, loop_now(node->loop),
	    (int64_t)(node->settings.grace_s * (double)LOOP_USEC_PER_SEC));
	slog_event(EV_NODE_DRAINING, "{s:i, s:i}", "active",
	    (int)gateway_count_active(node->gateway), "connections",
	    (int)h1_listener_count(node->front));
	gossip_leave(node->gossip);
	planner_resign(node->planner);
	lease_key_release(node->entry);
}

/*
 * Handles SIGHUP: reloads the settings and applies those that can change
 * without a restart.
 */
static void
on_sighup(void *arg)
{
	struct node *node = arg;
	struct node_settings settings;
	const char *field;

	if (node_settings_read(node->options.settings_path, &settings) !=
	    STATUS_OK) {
		slog_event(EV_SETTINGS_INVALID, "{s:s, s:b}", "reason",
		    status_message(), "kept", true);
		return;
	}
	field = node_settings_find_restart_field(&node->settings, &settings);
	node->settings.grace_s = settings.grace_s;
	node->settings.address_validity_max_s = settings.address_validity_max_s;
	slog_event(EV_NODE_RELOADED, "{s:f, s:f, s:s}", "grace_s",
	    settings.grace_s, "address_validity_max_s",
	    settings.address_validity_max_s, "needs_restart",
	    field ? field : "");
	node_settings_clear(&settings);
}

/*
 * Creates a listener on "ip:port".
 */
static enum status
listen_on(struct node *node, const char *address,
    const struct h1_limits *limits, const struct h1_ops *ops, void *arg,
    struct h1_listener **out)
{
	char *ip = NULL;
	uint16_t port;
	enum status status = settings_split_address(address, &ip, &port);

	if (status == STATUS_OK)
		status = h1_listen(node->h1, ip, port, limits, ops, arg, out);
	free(ip);
	return status;
}

/*
 * Creates all listeners of the node.
 */
static enum status
open_listeners(struct node *node)
{
	const struct h1_limits *limits = &node->service_limits;
	enum status status;

	node->service_limits = (struct h1_limits){
	    16384, 3 * LOOP_USEC_PER_SEC, 30 * LOOP_USEC_PER_SEC};
	status =
	    listen_on(node, node->settings.front, gateway_limits(node->gateway),
		gateway_ops(), node->gateway, &node->front);
	if (status == STATUS_OK)
		status = listen_on(node, node->settings.ready, limits,
		    &node_ready_ops, node, &node->ready);
	if (status == STATUS_OK)
		status = listen_on(node, node->settings.lookup, limits,
		    &node_lookup_ops, node, &node->lookup);
	if (status == STATUS_OK && node->options.metrics_port != 0)
		status = h1_listen(node->h1, node->settings.ip,
		    node->options.metrics_port, limits, &node_metrics_ops, node,
		    &node->metrics);
	if (status == STATUS_OK)
		node_set_listener_limits(node);
	return status;
}

/*
 * Provides, for the peers, how recent this node's copy of the store is proved
 * to be.
 */
static void
get_proof(struct gossip_proof *proof, void *arg)
{
	const struct node *node = arg;

	if (node->store_cache == NULL)
		return;
	proof->newest = store_cache_newest_position(node->store_cache);
	proof->complete = store_cache_complete_position(node->store_cache);
	/* Until all keys are listed, there are none of this era. */
	if (proof->complete.revision == 0)
		return;
	proof->config = node->config_proof.received;
	proof->proved_at = store_cache_proved_at(node->store_cache);
}

/*
 * Handles a peer's proof. Its time is used only if both copies have the same
 * configuration; if the peer has a newer one, it is fetched immediately.
 */
static void
on_peer_proof(const struct gossip_proof *proof, void *arg)
{
	struct node *node = arg;
	bool same_config =
	    store_position_equal(proof->config, node->config_proof.received);

	if (node->store_cache == NULL)
		return;
	store_cache_note_peer_proof(node->store_cache, proof->newest,
	    proof->complete, proof->proved_at, same_config);
	if (proof->config.era ==
		store_cache_complete_position(node->store_cache).era &&
	    store_position_compare(proof->config, node->config_proof.received) >
		0)
		store_cache_fetch_now(node->store_cache);
}

/*
 * Handles changes of the store that a peer read.
 */
static void
on_peer_changes(struct store_position after, struct store_position position,
    const struct kv_item *items, size_t count, void *arg)
{
	struct node *node = arg;

	if (node->store_cache != NULL)
		store_cache_apply_peer_changes(
		    node->store_cache, after, position, items, count);
}

/*
 * Provides, for the peers, the demand at this node.
 */
static size_t
get_demand(struct gossip_demand *rows, size_t max, void *arg)
{
	const struct node *node = arg;

	return node->gateway != NULL
	    ? gateway_get_demand(node->gateway, rows, max)
	    : 0;
}

static const struct gossip_ops gossip_ops = {
    get_proof, on_peer_proof, on_peer_changes, get_demand};

/*
 * Creates the modules that communicate with the store and with other nodes.
 */
static enum status
create_control_plane(struct node *node)
{
	struct node_settings *settings = &node->settings;
	struct gossip_config gossip = {.name = settings->node,
	    .ip = settings->ip,
	    .port = (uint16_t)settings->mesh_port,
	    .front = settings->front,
	    .place = settings->place,
	    .boot = node->boot,
	    .ops = &gossip_ops,
	    .arg = node};
	struct planner_config planner = {.loop = node->loop,
	    .h1 = node->h1,
	    .adapter = node->adapter,
	    .identity = node->identity};
	enum status status;

	node->pool = pool_new();
	node->pool->spread_strength = settings->load_spread;
	pool_register_metrics();
	node->departures = departures_new();
	node->quarantine = quarantine_new(&quarantine_log_ops, node->loop);
	gossip.quarantine = node->quarantine;
	status = loop_timer_create(
	    node->loop, node_on_config_timer, node, &node->config_timer);
	if (status != STATUS_OK)
		return status;
	node->pool->drain_usec = settings->leave_ms * LOOP_USEC_PER_MSEC;
	status = kv_http_create_with_protocol(node->loop, node->fetch,
	    settings->store, node->adapter->store, &node->kv);
	if (status == STATUS_OK)
		status = gossip_create(
		    node->loop, &gossip, node->pool, &node->gossip);
	node->quarantine_store =
	    quarantine_store_new(node->loop, node->kv, node->quarantine);
	node->settled_era = settled_era_new(node->loop, node->kv);
	planner.kv = node->kv;
	planner.gossip = node->gossip;
	planner.pool = node->pool;
	if (status == STATUS_OK)
		status = planner_create(&planner, &node->planner);
	if (status == STATUS_OK)
		status = store_cache_create(node->loop, node->kv, "",
		    &node_store_ops, node, &node->store_cache);
	if (status == STATUS_OK)
		store_cache_set_proof_max(
		    node->store_cache, max_usual_proof_age(node));
	return status;
}

/*
 * Logs that the node's entry has been written to the store.
 */
static void
on_enrolled(struct store_position position, void *arg)
{
	(void)arg;
	slog_event(EV_ENROLLED, "{s:I, s:I}", "version",
	    (json_int_t)position.revision, "era", (json_int_t)position.era);
}

/*
 * The node's entry was lost; nothing to do, it is written again automatically.
 */
static void
on_entry_lost(const char *reason, void *arg)
{
	(void)reason;
	(void)arg;
}

static const struct lease_key_ops entry_ops = {
    on_enrolled, on_entry_lost, NULL};

/*
 * Creates the gateway and registers the node's entry in the store.
 */
static enum status
create_service(struct node *node)
{
	struct node_settings *settings = &node->settings;
	struct gateway_config gateway = {.loop = node->loop,
	    .h1 = node->h1,
	    .adapter = node->adapter,
	    .pool = node->pool,
	    .gossip = node->gossip,
	    .store_cache = node->store_cache,
	    .config_proof = &node->config_proof,
	    .quarantine = node->quarantine,
	    .drain = &node->drain,
	    .place = settings->place,
	    .seed = (uint32_t)node->boot ^ pool_hash(lstr_from(settings->node)),
	    .proof_max_usec = max_proof_age(node),
	    .unknown_proof_max_usec = max_unknown_proof_age(node),
	    .retry_slack = settings->retry_slack,
	    .retry_ratio = settings->retry_ratio,
	    .retry_window_usec =
		(int64_t)(settings->retry_window_s * (double)LOOP_USEC_PER_SEC),
	    .account = &node->account,
	    .requests_max = node->caller_limits.requests,
	    .idle_max = node->caller_limits.idle};
	char *key = g_strconcat(GOSSIP_PREFIX, settings->node, NULL);
	struct lease_key_config entry = {.key = key,
	    .value = gossip_entry(node->gossip),
	    .ttl_usec = ENTRY_TTL_USEC,
	    .rewrite_when_lost = true};
	enum status status = gateway_create(&gateway, &node->gateway);

	if (status == STATUS_OK)
		status = lease_key_create(node->loop, node->kv, &entry,
		    &entry_ops, node, &node->entry);
	g_free(key);
	return status;
}

/*
 * Creates a node and takes ownership of the settings, even on failure;
 * status_message() then gives the reason.
 */
enum status
node_create(const struct node_options *options, const struct adapter *adapter,
    struct node_settings *settings, struct node **out)
{
	struct node *node = g_new0(struct node, 1);
	enum status status;

	node->options = *options;
	node->settings = *settings;
	memset(settings, 0, sizeof(*settings));
	node->adapter = adapter;
	slog_init(node->settings.node);
	signal(SIGPIPE, SIG_IGN);
	status = loop_create(&node->loop);
	if (status == STATUS_OK) {
		node->boot = (uint64_t)loop_now(node->loop);
		node->identity = g_strdup_printf(
		    "%s#%" G_GUINT64_FORMAT, node->settings.node, node->boot);
		status = h1_create(node->loop, &node->h1);
	}
	if (status == STATUS_OK)
		node_init_caller_limits(node);
	if (status == STATUS_OK)
		status = fetch_create(node->loop, &node->fetch);
	if (status == STATUS_OK)
		status = create_control_plane(node);
	if (status == STATUS_OK)
		status = create_service(node);
	if (status == STATUS_OK)
		status = open_listeners(node);
	if (status == STATUS_OK)
		status =
		    loop_timer_create(node->loop, on_tick, node, &node->tick);
	if (status == STATUS_OK)
		status = loop_on_signal(node->loop, SIGTERM, on_sigterm, node);
	if (status == STATUS_OK)
		status = loop_on_signal(node->loop, SIGHUP, on_sighup, node);
	if (status != STATUS_OK) {
		node_destroy(node);
		return status;
	}
	*out = node;
	return STATUS_OK;
}

/*
 * Runs the node until it has been stopped by SIGTERM and has drained.
 */
void
node_run(struct node *node)
{
	slog_event(EV_NODE_STARTED, "{s:s, s:s, s:s, s:s, s:I, s:f, s:f, s:s}",
	    "version", CH_VERSION, "front", node->settings.front, "place",
	    node->settings.place, "store", node->settings.store, "revoke_ms",
	    (json_int_t)node->settings.revoke_ms, "grace_s",
	    node->settings.grace_s, "retry_slack", node->settings.retry_slack,
	    "identity", node->identity);
	loop_timer_set(node->tick, 0);
	loop_run(node->loop);
	slog_event(EV_NODE_STOPPED, "{s:i}", "cut",
	    (int)gateway_count_active(node->gateway));
	slog_flush();
}

/*
 * Frees a node; NULL is allowed.
 */
void
node_destroy(struct node *node)
{
	if (node == NULL)
		return;
	h1_listener_destroy(node->front);
	h1_listener_destroy(node->ready);
	h1_listener_destroy(node->lookup);
	h1_listener_destroy(node->metrics);
	loop_timer_destroy(node->tick);
	loop_timer_destroy(node->config_timer);
	lstr_buf_free(&node->pending_config);
	if (node->kv != NULL)
		node->kv->vtable->destroy(node->kv);
	gateway_destroy(node->gateway);
	planner_destroy(node->planner);
	lease_key_destroy(node->entry);
	store_cache_destroy(node->store_cache);
	gossip_destroy(node->gossip);
	quarantine_store_free(node->quarantine_store);
	settled_era_free(node->settled_era);
	quarantine_free(node->quarantine);
	pool_free(node->pool);
	departures_free(node->departures);
	fetch_destroy(node->fetch);
	h1_destroy(node->h1);
	loop_destroy(node->loop);
	node_settings_clear(&node->settings);
	g_free(node->identity);
	g_free(node);
}
