#include <string.h>

#include "mesh_priv.h"

/* A data centre with fewer live nodes than this gets addresses of others. */
#define PLACE_NODES_MIN 2

/*
 * Tells whether a peer is heard, or too new to have been heard. In a fleet in
 * which not all nodes hear each other, the store's entry vouches for a node
 * that was never heard.
 */
bool
mesh_peer_lives(const struct mesh *mesh, const struct peer *peer, int64_t now)
{
	int64_t since = MAX(peer->heard_at, peer->listed_at);

	if (peer->heard_at == 0 && g_hash_table_size(mesh->peers) > MESH_FANOUT)
		return !peer->unlisted;
	return now - since < MESH_SILENT_USEC;
}

/*
 * Returns how many nodes live, this one included.
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
		count += mesh_peer_lives(mesh, peer, now);
	return count;
}

/*
 * Returns how many other nodes live and take connections.
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

		count += !peer->leaving && mesh_peer_lives(mesh, peer, now);
	}
	return count;
}

/*
 * Returns the position of this node among the live ones by name.
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

		rank += mesh_peer_lives(mesh, peer, now) &&
		    strcmp(peer->name, mesh->config.name) < 0;
	}
	return rank;
}

/*
 * Tells whether the fleet is so large that nodes rely on each other's watches.
 */
bool
mesh_shares_watches(const struct mesh *mesh)
{
	return g_hash_table_size(mesh->peers) > MESH_FANOUT;
}

/*
 * Tells whether others rely on the watch of this node.
 */
bool
mesh_is_watcher(const struct mesh *mesh)
{
	return mesh_shares_watches(mesh) &&
	    mesh_rank(mesh) % MESH_WATCH_EVERY == 0;
}

/*
 * Adds the addresses of nodes that take connections, in one data centre or,
 * with NULL, in all; those that are suspended only if wanted.
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
		    mesh_peer_lives(mesh, peer, now) &&
		    (place == NULL || strcmp(place, peer->place) == 0))
			g_ptr_array_add(out, peer->front);
	}
}

/*
 * Collects addresses for a caller: in its own data centre if enough nodes
 * live there, since traffic between data centres is dear; else all. Nodes
 * that cannot use keys are named only if no other can: the store is away.
 */
void
mesh_addresses(const struct mesh *mesh, const char *place, GPtrArray *out)
{
	if (place != NULL)
		add_addresses(mesh, place, false, out);
	if (out->len >= PLACE_NODES_MIN)
		return;
	g_ptr_array_set_size(out, 0);
	add_addresses(mesh, NULL, false, out);
	if (out->len == 0)
		add_addresses(mesh, NULL, true, out);
	if (out->len == 0)
		g_ptr_array_add(out, (char *)mesh->config.front);
}
