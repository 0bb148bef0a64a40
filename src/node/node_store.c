#include <string.h>

#include "node_priv.h"
#include "slog.h"

/*
 * What a node does with the keys of the store: the configuration, the entries
 * of backend servers and nodes, and the keys of the planner and the quarantine.
 */

/*
 * Returns the latest time at which the configuration in force is proved to have
 * been the newest; 0: never.
 */
int64_t
node_config_proved_at(const struct node *node)
{
	return node->store_cache == NULL
	    ? 0
	    : config_proof_at(&node->config_proof,
		  store_cache_proved_at(node->store_cache));
}

/*
 * Returns the era of the store in which the configuration in force has been
 * proved; 0: none. While the configuration is older than one that the store has
 * lost, it has no proof of the copy's age.
 */
uint64_t
node_proved_era(const struct node *node)
{
	return node_config_proved_at(node) ==
		store_cache_proved_at(node->store_cache)
	    ? store_cache_proved_era(node->store_cache)
	    : 0;
}

/*
 * Decodes a configuration that was received from the store and applies it,
 * unless it is older than the one in force.
 */
static void
apply_config(struct node *node, struct lstr value,
    struct store_position position, int64_t received_at)
{
	struct fleet_config *config = NULL;
	int64_t now = loop_now(node->loop);

	config_proof_decide(&node->config_proof, CONFIG_DECISION_CURRENT);
	if (node->adapter->decode_config(value, &config) != STATUS_OK) {
		slog_event(EV_CONFIG_REFUSED, "{s:s, s:I, s:I}", "reason",
		    status_message(), "revision", (json_int_t)position.revision,
		    "version_in_force",
		    node->fleet ? (json_int_t)node->fleet->version : 0);
		return;
	}
	if (node->fleet != NULL && config->version < node->fleet->version) {
		config_proof_decide(&node->config_proof, CONFIG_DECISION_OLDER);
		slog_event(EV_CONFIG_REFUSED, "{s:s, s:I, s:I}", "reason",
		    "older than the one in force", "version",
		    (json_int_t)config->version, "version_in_force",
		    (json_int_t)node->fleet->version);
		fleet_config_unref(config);
		return;
	}
	slog_event(EV_CONFIG_APPLIED, "{s:I, s:I, s:i, s:i, s:I, s:I, s:I}",
	    "version", (json_int_t)config->version, "revision",
	    (json_int_t)position.revision, "hosts",
	    (int)g_hash_table_size(config->routes), "keys",
	    (int)g_hash_table_size(config->keys), "bytes",
	    (json_int_t)value.len, "deferred_ms",
	    (json_int_t)((now - received_at) / LOOP_USEC_PER_MSEC),
	    "proof_age_ms",
	    (json_int_t)((now - node_config_proved_at(node)) /
		LOOP_USEC_PER_MSEC));
	node->fleet = config;
	gateway_set_config(node->gateway, config);
}

/*
 * Applies the pending configuration.
 */
static void
apply_pending_config(struct node *node)
{
	struct lstr_buf value = node->pending_config;

	memset(&node->pending_config, 0, sizeof(node->pending_config));
	apply_config(node, lstr_buf_view(&value), node->pending_position,
	    node->pending_received_at);
	lstr_buf_free(&value);
}

/*
 * Applies the pending configuration, one round of the loop after it arrived.
 */
void
node_on_config_timer(void *arg)
{
	struct node *node = arg;

	if (node->config_deferred) {
		apply_pending_config(node);
		return;
	}
	node->config_deferred = true;
	loop_timer_set(node->config_timer, loop_now(node->loop));
}

/*
 * Applies a pending configuration before one that may be older takes its place:
 * the store has confirmed it, even if it has lost it since.
 */
static void
settle_pending_config(struct node *node)
{
	if (!loop_timer_is_set(node->config_timer))
		return;
	loop_timer_clear(node->config_timer);
	apply_pending_config(node);
}

/*
 * Schedules a configuration to be decoded in the next round of the loop: on a
 * slow instance, reading it from the store and decoding it in the same round
 * would delay streams for too long. The first one is applied immediately.
 */
static void
schedule_config(
    struct node *node, struct lstr value, struct store_position position)
{
	if (node->store_cache != NULL &&
	    store_cache_is_restoring(node->store_cache))
		settle_pending_config(node);
	config_proof_receive(&node->config_proof, position,
	    node->store_cache ? store_cache_proved_at(node->store_cache) : 0);
	if (node->fleet == NULL) {
		apply_config(node, value, position, loop_now(node->loop));
		return;
	}
	lstr_buf_clear(&node->pending_config);
	if (lstr_buf_append(&node->pending_config, value) != STATUS_OK) {
		apply_config(node, value, position, loop_now(node->loop));
		return;
	}
	node->pending_position = position;
	node->pending_received_at = loop_now(node->loop);
	node->config_deferred = false;
	loop_timer_set(node->config_timer, loop_now(node->loop));
}

/*
 * Handles that the store has no configuration: the one in force stays.
 */
static void
remove_config(struct node *node)
{
	settle_pending_config(node);
	config_proof_remove(
	    &node->config_proof, store_cache_proved_at(node->store_cache));
}

/*
 * Removes a backend server from the pool and the gateway; no effect if it is
 * unknown.
 */
static void
drop_server(struct node *node, const char *id, const char *reason)
{
	struct pool_server *server = pool_find(node->pool, id);

	if (server == NULL)
		return;
	slog_event(
	    EV_SERVER_REMOVED, "{s:s, s:s}", "server", id, "reason", reason);
	gateway_close_idle_connections(node->gateway, server);
	pool_remove(node->pool, id, loop_now(node->loop));
}

/*
 * Returns true if an entry is of the past: the store has come back from an
 * older copy, and this node has already seen a later process of the server, or
 * this one drain or leave. The entry takes effect only once it is written
 * again.
 */
static bool
is_past_entry(const struct node *node, const struct fleet_server *info)
{
	const struct pool_server *server = pool_find(node->pool, info->id);

	if (node->store_cache == NULL ||
	    !store_cache_lists_old_copy(node->store_cache))
		return false;
	if (server != NULL && info->born < server->info.born)
		return true;
	return info->state == FLEET_READY &&
	    departures_contain(node->departures, info->id, info->born);
}

/*
 * Adds or updates a backend server from its entry in the store. A server with
 * an unreadable entry is removed.
 */
static void
update_server(struct node *node, struct lstr id, struct lstr value)
{
	struct fleet_server info;
	struct pool_server *server;
	bool is_new;

	if (node->adapter->decode_server(id, value, &info) != STATUS_OK) {
		char *name = g_strndup(id.data, id.len);

		slog_event(EV_ENTRY_UNREADABLE, "{s:s}", "server", name);
		drop_server(node, name, "its entry cannot be read");
		g_free(name);
		return;
	}
	if (is_past_entry(node, &info)) {
		fleet_server_clear(&info);
		return;
	}
	if (info.state == FLEET_READY)
		departures_forget(node->departures, info.id);
	else
		departures_note(
		    node->departures, info.id, info.born, loop_now(node->loop));
	server = pool_find(node->pool, info.id);
	if (server != NULL && server->info.born != info.born) {
		pool_note_replaced(server, info.born);
		drop_server(node, info.id, "it started again");
	}
	server = pool_put(node->pool, &info, loop_now(node->loop), &is_new);
	slog_event(EV_SERVER_ADDED, "{s:s, s:b, s:s, s:s, s:s, s:s, s:i, s:i}",
	    "server", server->info.id, "new", is_new, "service",
	    server->info.service, "kind",
	    server->info.kind ? server->info.kind : "", "place",
	    server->info.zone, "state",
	    server->info.state == FLEET_READY ? "ready" : "draining", "from",
	    (int)server->info.layer_from, "to", (int)server->info.layer_to);
}

/*
 * Returns the part of a key after a prefix.
 */
static struct lstr
key_suffix(struct lstr key, const char *prefix)
{
	size_t len = strlen(prefix);

	return lstr_make(key.data + len, key.len - len);
}

/*
 * Reports an era that the store stated to the modules that write there.
 */
static void
note_store_era(struct node *node, uint64_t era)
{
	lease_key_note_era(node->entry, era);
	planner_note_era(node->planner, era);
	quarantine_store_note_era(node->quarantine_store, era);
}

/*
 * Reports a restore of a store that states no era to the modules that hold
 * leases there.
 */
void
node_check_restores(struct node *node)
{
	uint64_t restores = store_cache_restore_count(node->store_cache);

	if (restores == node->restores)
		return;
	node->restores = restores;
	lease_key_note_restore(node->entry);
	planner_note_restore(node->planner);
}

/*
 * Handles a new or changed key of the store.
 */
static void
on_changed(struct lstr key, struct lstr value, struct store_position position,
    void *arg)
{
	struct node *node = arg;
	const struct adapter *adapter = node->adapter;

	note_store_era(node, position.era);
	if (lstr_equal_c(key, adapter->config_key))
		schedule_config(node, value, position);
	else if (lstr_starts_with(key, adapter->servers_prefix))
		update_server(
		    node, key_suffix(key, adapter->servers_prefix), value);
	else if (lstr_starts_with(key, GOSSIP_PREFIX))
		gossip_put(node->gossip, key_suffix(key, GOSSIP_PREFIX), value);
	else if (lstr_equal_c(key, PLANNER_KEY))
		planner_note_holder(node->planner, value, position);
	else if (lstr_equal_c(key, QUARANTINE_STORE_KEY))
		quarantine_store_read(node->quarantine_store, value, position);
	else if (lstr_equal_c(key, SETTLED_ERA_KEY))
		store_cache_note_settled_era(node->store_cache,
		    settled_era_read(node->settled_era, value, position));
}

/*
 * Removes a backend server that has left the list.
 */
static void
drop_departed_server(struct node *node, const char *id, const char *reason)
{
	const struct pool_server *server = pool_find(node->pool, id);

	if (server != NULL)
		departures_note(node->departures, id, server->info.born,
		    loop_now(node->loop));
	drop_server(node, id, reason);
}

/*
 * Handles the removal of a server's entry. An entry may have expired while the
 * store was unavailable; for a while after the store is back, the server
 * therefore stays in use, so that a live one can register again.
 */
static void
on_server_entry_removed(struct node *node, struct lstr id)
{
	char *name = g_strndup(id.data, id.len);
	int64_t regained_at = store_cache_store_regained_at(node->store_cache);
	int64_t deadline = regained_at + POOL_EXPIRY_GRACE_USEC;

	if (regained_at != 0 && loop_now(node->loop) < deadline)
		pool_expire_at(node->pool, name, deadline);
	else
		drop_departed_server(node, name, "its entry was removed");
	g_free(name);
}

/*
 * Handles a removed key of the store.
 */
static void
on_removed(struct lstr key, void *arg)
{
	struct node *node = arg;

	if (lstr_equal_c(key, node->adapter->config_key))
		remove_config(node);
	else if (lstr_starts_with(key, node->adapter->servers_prefix))
		on_server_entry_removed(
		    node, key_suffix(key, node->adapter->servers_prefix));
	else if (lstr_starts_with(key, GOSSIP_PREFIX))
		gossip_remove(node->gossip, key_suffix(key, GOSSIP_PREFIX));
	else if (lstr_equal_c(key, PLANNER_KEY))
		planner_note_holder(node->planner, lstr_make("", 0),
		    (struct store_position){0, 0});
	else if (lstr_equal_c(key, QUARANTINE_STORE_KEY))
		quarantine_store_read(node->quarantine_store, lstr_make("", 0),
		    (struct store_position){0, 0});
	else if (lstr_equal_c(key, SETTLED_ERA_KEY))
		settled_era_read(node->settled_era, lstr_make("", 0),
		    (struct store_position){0, 0});
}

/*
 * Starts the requests that arrived while the store was read.
 */
static void
on_synced(void *arg)
{
	struct node *node = arg;

	gateway_release_held(node->gateway);
}

/*
 * Sends changes to the nodes that rely on the watch of this one.
 */
static void
on_fetched(struct store_position after, struct store_position position,
    const struct kv_item *items, size_t count, void *arg)
{
	struct node *node = arg;

	gossip_send_changes(node->gossip, after, position, items, count);
}

const struct store_cache_ops node_store_ops = {
    on_changed, on_removed, on_synced, on_fetched};

/*
 * Removes servers whose entries expired and were not registered again in time.
 */
void
node_drop_expired_servers(struct node *node)
{
	int64_t now = loop_now(node->loop);
	GPtrArray *expired = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_server *server = value;

		if (server->entry_expires_at != 0 &&
		    server->entry_expires_at <= now)
			g_ptr_array_add(expired, g_strdup(server->info.id));
	}
	for (guint i = 0; i < expired->len; i++)
		drop_departed_server(node, g_ptr_array_index(expired, i),
		    "its entry lapsed and did not come back");
	g_ptr_array_free(expired, TRUE);
}
