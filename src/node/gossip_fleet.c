#include <string.h>

#include "gossip_priv.h"

/* If a data centre has fewer addresses than this, its callers get those of all
 * data centres. */
#define PLACE_ADDRESSES_MIN 2

/*
 * Returns true if a peer is considered live: it sent a report recently, or its
 * entry is too new for one. In a fleet in which not all nodes hear each other,
 * a peer that sends no reports here is live as long as it has an entry.
 */
bool
gossip_peer_is_live(
    const struct gossip *gossip, const struct peer *peer, int64_t now)
{
	int64_t since = MAX(peer->heard_at, peer->listed_at);

	if (gossip_shares_watches(gossip) &&
	    (peer->heard_at == 0 || now - since >= GOSSIP_UNHEARD_USEC))
		return !peer->unlisted;
	return now - since < GOSSIP_SILENT_USEC;
}

/*
 * Returns the number of live nodes, including this one.
 */
uint32_t
gossip_live_count(const struct gossip *gossip)
{
	int64_t now = loop_now(gossip->loop);
	uint32_t count = 1;
	GHashTableIter iter;
	gpointer peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		count += gossip_peer_is_live(gossip, peer, now);
	return count;
}

/*
 * Returns the number of other live nodes that accept connections.
 */
uint32_t
gossip_serving_count(const struct gossip *gossip)
{
	int64_t now = loop_now(gossip->loop);
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		count +=
		    !peer->leaving && gossip_peer_is_live(gossip, peer, now);
	}
	return count;
}

/*
 * Returns which of the other live nodes serve, and when those that are stopping
 * began to.
 */
struct drain_peers
gossip_drain_peers(const struct gossip *gossip)
{
	struct drain_peers peers = {.serving = gossip_serving_count(gossip)};
	int64_t now = loop_now(gossip->loop);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		int64_t since = peer->leaving_since;

		if (!peer->leaving || !gossip_peer_is_live(gossip, peer, now))
			continue;
		if (peers.first_stopping_at == 0 ||
		    since < peers.first_stopping_at)
			peers.first_stopping_at = since;
		peers.last_stopping_at = MAX(peers.last_stopping_at, since);
	}
	return peers;
}

/*
 * Returns the position of this node among the live nodes, sorted by name.
 */
uint32_t
gossip_rank(const struct gossip *gossip)
{
	int64_t now = loop_now(gossip->loop);
	uint32_t rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		rank += gossip_peer_is_live(gossip, peer, now) &&
		    strcmp(peer->name, gossip->config.name) < 0;
	}
	return rank;
}

/*
 * Returns true if the fleet is so large that only some nodes watch the store
 * and the others rely on them.
 */
bool
gossip_shares_watches(const struct gossip *gossip)
{
	return g_hash_table_size(gossip->peers) > NEIGHBOURS_MAX;
}

/*
 * Returns true if other nodes rely on the watch of this node.
 */
bool
gossip_is_watcher(const struct gossip *gossip)
{
	return gossip_shares_watches(gossip) &&
	    gossip->watcher_rank < GOSSIP_WATCHERS;
}

/*
 * Orders peers by their turn to watch the store.
 */
static gint
compare_watch_order(gconstpointer a, gconstpointer b)
{
	const struct peer *x = *(struct peer *const *)a;
	const struct peer *y = *(struct peer *const *)b;

	if (x->watch_order != y->watch_order)
		return x->watch_order < y->watch_order ? -1 : 1;
	return strcmp(x->name, y->name);
}

/*
 * Selects the nodes of this data centre that watch the store: the first live
 * ones in an order by hash, so that only one changes when a node comes or goes.
 */
void
gossip_select_watchers(struct gossip *gossip, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	guint max = GOSSIP_WATCHERS;

	g_ptr_array_set_size(gossip->watchers, 0);
	gossip->watcher_rank = 0;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (strcmp(peer->place, gossip->config.place) != 0 ||
		    peer->leaving || !gossip_peer_is_live(gossip, peer, now))
			continue;
		gossip->watcher_rank += peer->watch_order < gossip->watch_order;
		g_ptr_array_add(gossip->watchers, value);
	}
	g_ptr_array_sort(gossip->watchers, compare_watch_order);
	gossip->watcher_rank = gossip->leaving
	    ? GOSSIP_WATCHERS
	    : MIN(gossip->watcher_rank, GOSSIP_WATCHERS);
	if (gossip->watcher_rank < GOSSIP_WATCHERS)
		max--;
	g_ptr_array_set_size(
	    gossip->watchers, (gint)MIN(gossip->watchers->len, max));
}

/*
 * Adds the addresses of nodes that accept connections, in one data centre or,
 * if place is NULL, in all. Suspended nodes are included only if requested.
 */
static void
add_addresses(const struct gossip *gossip, const char *place, bool suspended,
    GPtrArray *out)
{
	int64_t now = loop_now(gossip->loop);
	GHashTableIter iter;
	gpointer value;

	if (!gossip->leaving && (suspended || !gossip->suspended) &&
	    (place == NULL || strcmp(place, gossip->config.place) == 0))
		g_ptr_array_add(out, (char *)gossip->config.front);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (out->len >= GOSSIP_ADDRESSES_MAX)
			return;
		if (!peer->leaving && (suspended || !peer->suspended) &&
		    gossip_peer_is_live(gossip, peer, now) &&
		    (place == NULL || strcmp(place, peer->place) == 0))
			g_ptr_array_add(out, peer->front);
	}
}

/*
 * Returns the address of the node, this one or a live peer, that was the last
 * to begin to stop: it accepts requests for longest.
 */
static char *
last_stopping_address(const struct gossip *gossip)
{
	char *address = (char *)gossip->config.front;
	int64_t now = loop_now(gossip->loop);
	int64_t last = gossip->leaving_since;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (!peer->leaving || peer->leaving_since <= last ||
		    !gossip_peer_is_live(gossip, peer, now))
			continue;
		last = peer->leaving_since;
		address = peer->front;
	}
	return address;
}

/*
 * Collects node addresses for a caller: those of its data centre if enough
 * nodes are live there, since traffic between data centres is expensive;
 * otherwise all. Suspended nodes, which cannot check API keys because the store
 * is unreachable, are included only if there are no others. If all nodes are
 * stopping, callers get the one that accepts requests for longest; it refuses
 * later ones with the time at which a node is back.
 */
void
gossip_addresses(const struct gossip *gossip, const char *place, GPtrArray *out)
{
	if (place != NULL)
		add_addresses(gossip, place, false, out);
	if (out->len >= PLACE_ADDRESSES_MIN)
		return;
	g_ptr_array_set_size(out, 0);
	add_addresses(gossip, NULL, false, out);
	if (out->len == 0)
		add_addresses(gossip, NULL, true, out);
	if (out->len == 0)
		g_ptr_array_add(out, last_stopping_address(gossip));
}
