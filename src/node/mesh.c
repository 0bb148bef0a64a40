#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "chestnuthoist.pb-c.h"
#include "mesh_priv.h"
#include "settings.h"
#include "slog.h"

#define DATAGRAM_MAX_BYTES 60000
/* Most datagrams read in one iteration of the event loop. */
#define READ_BATCH 64
#define ROUND_HALF 0.5

/*
 * Returns the hash that identifies one process of a node. It differs after a
 * restart, since the sequence then starts again.
 */
uint32_t
mesh_peer_hash(const char *name, uint64_t boot)
{
	return pool_hash(lstr_from(name)) ^ (uint32_t)boot;
}

/*
 * Frees a peer; value destructor of the peer table.
 */
static void
peer_free(void *data)
{
	struct peer *peer = data;

	g_free(peer->name);
	g_free(peer->front);
	g_free(peer->place);
	g_array_free(peer->uses, TRUE);
	g_free(peer);
}

/*
 * Records what a peer reports about one server.
 */
static void
apply_use(struct mesh *mesh, struct peer *peer, const Ch__ServerUse *from,
    int64_t now)
{
	struct peer_use use = {from->server,
	    {(int64_t)from->memory, from->active, from->first_active}};
	struct pool_server *server = pool_find_hash(mesh->pool, from->server);

	g_array_append_val(peer->uses, use);
	if (server != NULL && from->layer_to > from->layer_from &&
	    from->born == (uint64_t)server->info.born)
		pool_confirm_layers(
		    mesh->pool, server, from->layer_from, from->layer_to);
	if (server != NULL && from->full_msec > 0)
		server->peer_full_until = now +
		    MIN((int64_t)from->full_msec * LOOP_USEC_PER_MSEC,
			POOL_FULL_USEC);
	if (server != NULL && from->avoid_msec > 0)
		pool_note_peer_avoids(server,
		    now +
			MIN((int64_t)from->avoid_msec * LOOP_USEC_PER_MSEC,
			    POOL_AVOID_USEC),
		    now);
}

/*
 * Passes on the proof in a report. Its age is subtracted from the time at which
 * this node sent the last report that the peer had received, since the peer
 * measured the age at some time after that.
 */
static void
apply_proof(struct mesh *mesh, const Ch__NodeReport *report)
{
	struct mesh_proof proof = {
	    report->store_revision, report->config_revision, 0};

	if (report->proof_age_msec == 0)
		return;
	for (size_t i = 0;
	     i < report->n_heard_peer && i < report->n_heard_sequence; i++) {
		uint64_t sequence = report->heard_sequence[i];

		if (report->heard_peer[i] != mesh->hash ||
		    sequence + MESH_SENT_TIMES_MAX <= mesh->sequence ||
		    sequence > mesh->sequence)
			continue;
		proof.proved_at =
		    mesh->sent_times[sequence % MESH_SENT_TIMES_MAX] -
		    (int64_t)report->proof_age_msec * LOOP_USEC_PER_MSEC;
	}
	mesh->config.ops->proof_received(&proof, mesh->config.arg);
}

/*
 * Handles a report of a peer. Duplicate and outdated reports are ignored.
 */
static void
handle_report(struct mesh *mesh, const Ch__NodeReport *report)
{
	struct peer *peer = g_hash_table_lookup(mesh->peers, report->node);
	int64_t now = loop_now(mesh->loop);

	if (peer == NULL)
		return;
	if (report->boot == peer->boot && report->sequence <= peer->sequence)
		return;
	if (report->boot < peer->boot)
		return;
	if (peer->heard_at == 0 || peer->silent)
		slog_event(EV_PEER_SEEN, "{s:s, s:I}", "peer", peer->name,
		    "silent_ms",
		    peer->heard_at == 0 ? (json_int_t)-1
					: (json_int_t)((now - peer->heard_at) /
					      LOOP_USEC_PER_MSEC));
	peer->boot = report->boot;
	peer->sequence = report->sequence;
	peer->heard_at = now;
	peer->silent = false;
	peer->leaving = report->leaving;
	peer->suspended = report->suspended;
	g_array_set_size(peer->uses, 0);
	for (size_t i = 0; i < report->n_servers; i++)
		apply_use(mesh, peer, report->servers[i], now);
	mesh->sums_stale = true;
	apply_proof(mesh, report);
}

/*
 * Reads datagrams from peers.
 */
static void
on_ready(void *arg, unsigned int events)
{
	static uint8_t bytes[DATAGRAM_MAX_BYTES];
	struct mesh *mesh = arg;

	(void)events;
	for (int i = 0; i < READ_BATCH; i++) {
		ssize_t n = recv(mesh->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		Ch__NodeReport *report;

		if (n <= 0)
			return;
		report = ch__node_report__unpack(NULL, (size_t)n, bytes);
		if (report == NULL)
			continue;
		handle_report(mesh, report);
		ch__node_report__free_unpacked(report, NULL);
	}
}

/*
 * Builds the node's own entry for the store.
 */
static void
build_entry(struct mesh *mesh)
{
	json_t *root = json_pack("{s:s, s:s, s:I, s:s, s:i}", "front",
	    mesh->config.front, "place", mesh->config.place, "boot",
	    (json_int_t)mesh->config.boot, "ip", mesh->config.ip, "port",
	    (int)mesh->config.port);
	char *text = json_dumps(root, JSON_COMPACT);

	lstr_buf_append(&mesh->entry, lstr_from(text));
	free(text);
	json_decref(root);
}

/*
 * Opens the datagram socket of the node. The strings of the configuration are
 * borrowed.
 */
enum status
mesh_create(struct loop *loop, const struct mesh_config *config,
    struct pool *pool, struct mesh **out)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(config->port)};
	struct mesh *mesh = g_new0(struct mesh, 1);
	enum status status;

	mesh->loop = loop;
	mesh->pool = pool;
	mesh->config = *config;
	mesh->hash = mesh_peer_hash(config->name, config->boot);
	mesh->started_at = loop_now(loop);
	mesh->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	inet_pton(AF_INET, config->ip, &address.sin_addr);
	mesh->fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (mesh->fd < 0 ||
	    bind(mesh->fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		status = status_set(STATUS_IO,
		    "cannot open datagram socket on %s:%u: %s", config->ip,
		    (unsigned int)config->port, strerror(errno));
		mesh_destroy(mesh);
		return status;
	}
	status = loop_watch_create(
	    loop, mesh->fd, LOOP_READ, on_ready, mesh, &mesh->watch);
	if (status != STATUS_OK) {
		mesh_destroy(mesh);
		return status;
	}
	build_entry(mesh);
	*out = mesh;
	return STATUS_OK;
}

/*
 * Closes the socket and frees the state.
 */
void
mesh_destroy(struct mesh *mesh)
{
	if (mesh == NULL)
		return;
	loop_watch_destroy(mesh->watch);
	if (mesh->fd >= 0)
		close(mesh->fd);
	g_hash_table_destroy(mesh->peers);
	lstr_buf_free(&mesh->entry);
	g_free(mesh);
}

/*
 * Returns the value of the node's own entry in the store.
 */
struct lstr
mesh_entry(const struct mesh *mesh)
{
	return lstr_buf_view(&mesh->entry);
}

/*
 * Adds or replaces a peer from its entry in the store. Invalid entries and that
 * of this node are ignored.
 */
void
mesh_put(struct mesh *mesh, struct lstr name, struct lstr value)
{
	json_t *root =
	    json_loadb(value.data, value.len, JSON_REJECT_DUPLICATES, NULL);
	const char *front;
	const char *place;
	const char *ip;
	json_int_t boot;
	int port;
	struct peer *peer;

	if (json_unpack(root, "{s:s, s:s, s:I, s:s, s:i}", "front", &front,
		"place", &place, "boot", &boot, "ip", &ip, "port",
		&port) != 0 ||
	    lstr_equal_c(name, mesh->config.name)) {
		json_decref(root);
		return;
	}
	peer = g_new0(struct peer, 1);
	peer->name = g_strndup(name.data, name.len);
	peer->front = g_strdup(front);
	peer->place = g_strdup(place);
	peer->boot = (uint64_t)boot;
	peer->address.sin_family = AF_INET;
	peer->address.sin_port = htons((uint16_t)port);
	peer->listed_at = loop_now(mesh->loop);
	inet_pton(AF_INET, ip, &peer->address.sin_addr);
	peer->uses = g_array_new(FALSE, TRUE, sizeof(struct peer_use));
	g_hash_table_replace(mesh->peers, peer->name, peer);
	mesh->sums_stale = true;
	json_decref(root);
}

/*
 * Records that a node's entry was removed. The peer is kept while it sends
 * reports: its lease may have expired only because the store was unreachable.
 */
void
mesh_remove(struct mesh *mesh, struct lstr name)
{
	char *text = g_strndup(name.data, name.len);
	struct peer *peer = g_hash_table_lookup(mesh->peers, text);

	g_free(text);
	if (peer != NULL)
		peer->unlisted = true;
}

/*
 * Reports to the peers at once that this node accepts no new connections.
 */
void
mesh_leave(struct mesh *mesh)
{
	mesh->leaving = true;
	mesh->sent_at = 0;
	mesh_tick(mesh);
}

/*
 * Sets whether callers are directed to this node.
 */
void
mesh_set_serving(struct mesh *mesh, bool serving)
{
	mesh->suspended = !serving;
}

/*
 * Returns the factor that extrapolates from the peers with recent reports to
 * all live peers; in a large fleet a node hears from only some of them.
 */
static double
extrapolation_factor(const struct mesh *mesh, int64_t now)
{
	uint32_t heard = 0;
	uint32_t live = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		heard += now - peer->heard_at <= POOL_PEER_USE_USEC;
		live += mesh_peer_is_live(mesh, peer, now);
	}
	return heard > 0 && live > heard ? (double)live / heard : 1;
}

/*
 * Sums the use of each server by all peers.
 */
static void
sum_uses(struct mesh *mesh, int64_t now)
{
	double scale;
	GHashTableIter iter;
	gpointer value;

	mesh->sums_stale = false;
	g_hash_table_iter_init(&iter, mesh->pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;

		memset(&server->peers, 0, sizeof(server->peers));
		server->peers_margin = 0;
	}
	scale = extrapolation_factor(mesh, now);
	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (now - peer->heard_at > POOL_PEER_USE_USEC)
			continue;
		for (guint i = 0; i < peer->uses->len; i++) {
			const struct peer_use *use =
			    &g_array_index(peer->uses, struct peer_use, i);
			struct pool_server *server =
			    pool_find_hash(mesh->pool, use->hash);

			if (server == NULL)
				continue;
			server->peers.memory +=
			    (int64_t)(scale * (double)use->use.memory);
			server->peers.active +=
			    (uint32_t)(scale * use->use.active + ROUND_HALF);
			server->peers.first_active +=
			    (uint32_t)(scale * use->use.first_active +
				ROUND_HALF);
		}
	}
	if (scale <= 1)
		return;
	g_hash_table_iter_init(&iter, mesh->pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;

		server->peers_margin =
		    pool_sampling_margin(&server->peers, scale);
	}
}

/*
 * Logs peers that are no longer live and drops those without an entry.
 */
static void
check_peers(struct mesh *mesh, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (mesh_peer_is_live(mesh, peer, now))
			continue;
		if (!peer->silent) {
			peer->silent = true;
			mesh->sums_stale = true;
			slog_event(EV_PEER_SILENT, "{s:s, s:b}", "peer",
			    peer->name, "unlisted", peer->unlisted);
		}
		if (peer->unlisted)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Periodic work: checks the peers, updates the sums of their use, and sends a
 * report if one is due.
 */
void
mesh_tick(struct mesh *mesh)
{
	int64_t now = loop_now(mesh->loop);

	check_peers(mesh, now);
	if (mesh->sums_stale)
		sum_uses(mesh, now);
	if (now - mesh->sent_at >= MESH_SEND_USEC)
		mesh_send_report(mesh, now);
}
