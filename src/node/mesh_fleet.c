#include <string.h>

#include "mesh_priv.h"

/* If a data centre has fewer addresses than this, its callers get those of all
 * data centres. */
#define PLACE_ADDRESSES_MIN 2

/*
 * Returns true if a peer is considered live: it sent a report recently, or its
 * entry is too new for one. In a fleet in which not all nodes hear each other,
 * a peer that never sent a report here is live as long as it has an entry.
 */
bool
mesh_peer_is_live(const struct mesh *mesh, const struct peer *peer, int64_t now)
{
	int64_t since = MAX(peer->heard_at, peer->listed_at);

	if (peer->heard_at == 0 && g_hash_table_size(mesh->peers) > MESH_FANOUT)
		return !peer->unlisted;
	return now - since < MESH_SILENT_USEC;
}

/*
 * Returns the number of live nodes, including this one.
 */
uint32_t
mesh_live_count(const struct mesh *mesh)
{
	int64_t now = loop_now(mesh->loop);
	uint32_t count = 1;
	GHashTableIter iter;
	gpointer peer;

	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		count += mesh_peer_is_live(mesh, peer, now);
	return count;
}

/*
 * Returns the number of other live nodes that accept connections.
 */
uint32_t
mesh_serving_count(const struct mesh *mesh)
{
	int64_t now = loop_now(mesh->loop);
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		count += !peer->leaving && mesh_peer_is_live(mesh, peer, now);
	}
	return count;
}

/*
 * Returns the position of this node among the live nodes, sorted by name.
 */
uint32_t
mesh_rank(const struct mesh *mesh)
{
	int64_t now = loop_now(mesh->loop);
	uint32_t rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		rank += mesh_peer_is_live(mesh, peer, now) &&
		    strcmp(peer->name, mesh->config.name) < 0;
	}
	return rank;
}

/*
 * Returns true if the fleet is so large that only some nodes watch the store
 * and the others rely on them.
 */
bool
mesh_shares_watches(const struct mesh *mesh)
{
	return g_hash_table_size(mesh->peers) > MESH_FANOUT;
}

/*
 * Returns true if other nodes rely on the watch of this node.
 */
bool
mesh_is_watcher(const struct mesh *mesh)
{
	return mesh_shares_watches(mesh) &&
	    mesh_rank(mesh) % MESH_WATCHER_EVERY == 0;
}

/*
 * Adds the addresses of nodes that accept connections, in one data centre or,
 * if place is NULL, in all. Suspended nodes are included only if requested.
 */
static void
add_addresses(
    const struct mesh *mesh, const char *place, bool suspended, GPtrArray *out)
{
	int64_t now = loop_now(mesh->loop);
	GHashTableIter iter;
	gpointer value;

	if (!mesh->leaving && (suspended || !mesh->suspended) &&
	    (place == NULL || strcmp(place, mesh->config.place) == 0))
		g_ptr_array_add(out, (char *)mesh->config.front);
	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (out->len >= MESH_ADDRESSES_MAX)
			return;
		if (!peer->leaving && (suspended || !peer->suspended) &&
		    mesh_peer_is_live(mesh, peer, now) &&
		    (place == NULL || strcmp(place, peer->place) == 0))
			g_ptr_array_add(out, peer->front);
	}
}

/*
 * Collects node addresses for a caller: those of its data centre if enough
 * nodes are live there, since traffic between data centres is expensive;
 * otherwise all. Suspended nodes, which cannot check API keys because the store
 * is unreachable, are included only if there are no others.
 */
void
mesh_addresses(const struct mesh *mesh, const char *place, GPtrArray *out)
{
	if (place != NULL)
		add_addresses(mesh, place, false, out);
	if (out->len >= PLACE_ADDRESSES_MIN)
		return;
	g_ptr_array_set_size(out, 0);
	add_addresses(mesh, NULL, false, out);
	if (out->len == 0)
		add_addresses(mesh, NULL, true, out);
	if (out->len == 0)
		g_ptr_array_add(out, (char *)mesh->config.front);
}
