#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "chestnuthoist.pb-c.h"
#include "mesh.h"
#include "settings.h"
#include "slog.h"

#define DATAGRAM_MAX_BYTES 60000
/* Peers avoid a failing server until the report after next. */
#define AVOID_TOLD_MSEC (2 * MESH_SEND_USEC / LOOP_USEC_PER_MSEC)
/* Own reports whose sending times are kept, to date peers' proofs: those of
 * more than the time for which a proof is of use. */
#define SENT_KEPT 32
/* Datagrams read in one round of the loop. */
#define READ_BATCH 64
/* A data centre with fewer live nodes than this gets addresses of others. */
#define PLACE_NODES_MIN 2
#define ROUND_UP 0.5

struct peer_use {
	uint32_t hash;
	struct pool_use use;
};

struct peer {
	char *name;
	char *front;
	char *place;
	uint64_t boot;
	struct sockaddr_in address;
	uint64_t sequence;
	/* 0: never. */
	int64_t heard_at;
	int64_t listed_at;
	/* Its entry in the store is gone. */
	bool unlisted;
	bool leaving;
	bool suspended;
	bool silent;
	GArray *uses;
};

struct mesh {
	struct loop *loop;
	struct pool *pool;
	struct mesh_config config;
	int fd;
	struct loop_watch *watch;
	/* By name: struct peer. */
	GHashTable *peers;
	struct lstr_buf entry;
	uint64_t sequence;
	int64_t sent_at;
	/* When the report of a sequence was sent, by its remainder. */
	int64_t sent_times[SENT_KEPT];
	uint32_t hash;
	int64_t started_at;
	bool leaving;
	/* For the time being callers are not served here. */
	bool suspended;
	bool stale;
};

/*
 * Returns the short name of a process of a node: a restarted one has another,
 * since its sequence starts anew.
 */
static uint32_t
peer_hash(const char *name, uint64_t boot)
{
	return pool_hash(lstr_from(name)) ^ (uint32_t)boot;
}

/*
 * Frees a peer; used by the table that holds it.
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
 * Notes what a peer says of one server.
 */
static void
take_use(struct mesh *mesh, struct peer *peer, const Ch__ServerUse *from,
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
		pool_peer_avoids(server,
		    now +
			MIN((int64_t)from->avoid_msec * LOOP_USEC_PER_MSEC,
			    POOL_AVOID_USEC),
		    now);
}

/*
 * Takes the proof in a report. It is dated by our own report that the peer had
 * when it sent this one: the peer's proof was that old at some time after.
 */
static void
take_proof(struct mesh *mesh, const Ch__NodeReport *report)
{
	struct mesh_proof proof = {
	    report->store_revision, report->config_revision, 0};

	if (report->proof_age_msec == 0)
		return;
	for (size_t i = 0;
	     i < report->n_heard_peer && i < report->n_heard_sequence; i++) {
		uint64_t sequence = report->heard_sequence[i];

		if (report->heard_peer[i] != mesh->hash ||
		    sequence + SENT_KEPT <= mesh->sequence ||
		    sequence > mesh->sequence)
			continue;
		proof.proved_at = mesh->sent_times[sequence % SENT_KEPT] -
		    (int64_t)report->proof_age_msec * LOOP_USEC_PER_MSEC;
	}
	mesh->config.ops->vouched(&proof, mesh->config.arg);
}

/*
 * Takes a report of a peer.
 */
static void
take_report(struct mesh *mesh, const Ch__NodeReport *report)
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
		take_use(mesh, peer, report->servers[i], now);
	mesh->stale = true;
	take_proof(mesh, report);
}

/*
 * Reads datagrams of peers.
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
		take_report(mesh, report);
		ch__node_report__free_unpacked(report, NULL);
	}
}

/*
 * Writes the node's own entry for the store.
 */
static void
write_entry(struct mesh *mesh)
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
 * Opens the socket of the node. The texts of the configuration are borrowed.
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
	mesh->hash = peer_hash(config->name, config->boot);
	mesh->started_at = loop_now(loop);
	mesh->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	inet_pton(AF_INET, config->ip, &address.sin_addr);
	mesh->fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (mesh->fd < 0 ||
	    bind(mesh->fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		status = status_set(STATUS_IO, "datagrams on %s:%u: %s",
		    config->ip, (unsigned int)config->port, strerror(errno));
		mesh_destroy(mesh);
		return status;
	}
	status = loop_watch_create(
	    loop, mesh->fd, LOOP_READ, on_ready, mesh, &mesh->watch);
	if (status != STATUS_OK) {
		mesh_destroy(mesh);
		return status;
	}
	write_entry(mesh);
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
 * Takes another node's entry in the store. One that cannot be read names no
 * node.
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
	mesh->stale = true;
	json_decref(root);
}

/*
 * Notes that a node's entry is gone. The node stays while it is heard: its
 * lease may have ended only because the store was away.
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
 * Tells the peers that this node takes no new connections.
 */
void
mesh_leave(struct mesh *mesh)
{
	mesh->leaving = true;
	mesh->sent_at = 0;
	mesh_tick(mesh);
}

/*
 * Chooses whether callers are sent to this node.
 */
void
mesh_set_serving(struct mesh *mesh, bool serving)
{
	mesh->suspended = !serving;
}

/*
 * Tells whether a peer is heard, or too new to have been heard. In a fleet in
 * which not all nodes hear each other, the store's entry vouches for a node
 * that was never heard.
 */
static bool
peer_lives(const struct mesh *mesh, const struct peer *peer, int64_t now)
{
	int64_t since = MAX(peer->heard_at, peer->listed_at);

	if (peer->heard_at == 0 && g_hash_table_size(mesh->peers) > MESH_FANOUT)
		return !peer->unlisted;
	return now - since < MESH_SILENT_USEC;
}

/*
 * Returns by how much the sum of the peers that are heard stands for all that
 * live: in a large fleet a node hears only some.
 */
static double
use_scale(const struct mesh *mesh, int64_t now)
{
	uint32_t heard = 0;
	uint32_t live = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		heard += now - peer->heard_at <= POOL_PEER_USE_USEC;
		live += peer_lives(mesh, peer, now);
	}
	return heard > 0 && live > heard ? (double)live / heard : 1;
}

/*
 * Sums up what the peers use of each server.
 */
static void
sum_uses(struct mesh *mesh, int64_t now)
{
	double scale;
	GHashTableIter iter;
	gpointer value;

	mesh->stale = false;
	g_hash_table_iter_init(&iter, mesh->pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;

		memset(&server->peers, 0, sizeof(server->peers));
		server->peers_margin = 0;
	}
	scale = use_scale(mesh, now);
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
			    (uint32_t)(scale * use->use.active + ROUND_UP);
			server->peers.first_active +=
			    (uint32_t)(scale * use->use.first_active +
				ROUND_UP);
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
 * Notes peers that have fallen silent and drops those that are gone.
 */
static void
check_peers(struct mesh *mesh, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer_lives(mesh, peer, now))
			continue;
		if (!peer->silent) {
			peer->silent = true;
			mesh->stale = true;
			slog_event(EV_PEER_SILENT, "{s:s, s:b}", "peer",
			    peer->name, "unlisted", peer->unlisted);
		}
		if (peer->unlisted)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Fills the report with what this node uses of each server.
 */
static void
fill_report(struct mesh *mesh, Ch__NodeReport *report, Ch__ServerUse *rows,
    Ch__ServerUse **pointers, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, mesh->pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_server *server = value;
		Ch__ServerUse *row = &rows[n];

		if (server->own.active == 0 && server->failing_since == 0 &&
		    server->vouch_until <= now && server->full_until <= now)
			continue;
		ch__server_use__init(row);
		row->server = server->hash;
		row->memory = (uint64_t)MAX(server->own.memory, 0);
		row->active = server->own.active;
		row->first_active = server->own.first_active;
		if (server->failing_since != 0)
			row->avoid_msec = AVOID_TOLD_MSEC;
		if (server->full_until > now)
			row->full_msec = (uint32_t)((server->full_until - now) /
			    LOOP_USEC_PER_MSEC);
		if (server->vouch_until > now) {
			row->layer_from = server->info.layer_from;
			row->layer_to = server->info.layer_to;
			row->born = (uint64_t)server->info.born;
		}
		pointers[n++] = row;
	}
	report->n_servers = n;
	report->servers = pointers;
}

/*
 * Tells the peers what this node had heard of each of them, so that they can
 * date its proof.
 */
static void
fill_proof(struct mesh *mesh, Ch__NodeReport *report, int64_t now)
{
	struct mesh_proof proof = {0, 0, 0};
	guint count = g_hash_table_size(mesh->peers);
	GHashTableIter iter;
	gpointer value;

	mesh->config.ops->get_proof(&proof, mesh->config.arg);
	report->store_revision = proof.store_revision;
	report->config_revision = proof.config_revision;
	if (proof.proved_at == 0 || !mesh_is_watcher(mesh))
		return;
	/* Rounded up: a proof is never made younger. */
	report->proof_age_msec =
	    (uint32_t)((now - proof.proved_at) / LOOP_USEC_PER_MSEC + 1);
	report->heard_peer = g_new(uint32_t, count + 1);
	report->heard_sequence = g_new(uint64_t, count + 1);
	g_hash_table_iter_init(&iter, mesh->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->silent || peer->heard_at == 0)
			continue;
		report->heard_peer[report->n_heard_peer++] =
		    peer_hash(peer->name, peer->boot);
		report->heard_sequence[report->n_heard_sequence++] =
		    peer->sequence;
	}
}

/*
 * Tells whether the next report goes to a peer.
 */
static bool
is_addressed(const struct mesh *mesh, const struct peer *peer)
{
	return strcmp(peer->place, mesh->config.place) == 0 || mesh->leaving ||
	    mesh->sequence % MESH_AWAY_EVERY == 0;
}

/*
 * Sends bytes to one peer, unless the report is not for it.
 */
static void
send_to(struct mesh *mesh, const char *name, const uint8_t *bytes, size_t len)
{
	const struct peer *peer = g_hash_table_lookup(mesh->peers, name);

	if (is_addressed(mesh, peer) &&
	    sendto(mesh->fd, bytes, len, MSG_DONTWAIT,
		(const struct sockaddr *)&peer->address,
		sizeof(peer->address)) < 0) {
		/* The next report makes good for a lost one. */
	}
}

/*
 * Sends bytes to the peers: to all in a small fleet, else to the nearest ones
 * on both sides in the circle of names, so that those that hear a node are
 * also heard by it.
 */
static void
send_to_peers(struct mesh *mesh, const uint8_t *bytes, size_t len)
{
	GList *list = g_hash_table_get_keys(mesh->peers);
	guint count = g_list_length(list);
	const char **names = g_new0(const char *, count + 1);
	guint after = 0;
	guint sent = 0;

	list = g_list_sort(list, (GCompareFunc)strcmp);
	for (const GList *at = list; at != NULL; at = at->next) {
		after += strcmp(at->data, mesh->config.name) < 0;
		names[sent++] = at->data;
	}
	sent = 0;
	for (guint i = 0; sent < MIN(count, MESH_FANOUT); i++) {
		send_to(mesh, names[(after + i) % count], bytes, len);
		if (++sent < MIN(count, MESH_FANOUT)) {
			send_to(mesh, names[(after + count - 1 - i) % count],
			    bytes, len);
			sent++;
		}
	}
	g_free(names);
	g_list_free(list);
}

/*
 * Sends a report when one is due and keeps the sums of the peers' use.
 */
void
mesh_tick(struct mesh *mesh)
{
	int64_t now = loop_now(mesh->loop);
	guint count = g_hash_table_size(mesh->pool->by_id);
	Ch__NodeReport report = CH__NODE_REPORT__INIT;
	Ch__ServerUse *rows;
	Ch__ServerUse **pointers;
	uint8_t *bytes;

	check_peers(mesh, now);
	if (mesh->stale)
		sum_uses(mesh, now);
	if (now - mesh->sent_at < MESH_SEND_USEC)
		return;
	mesh->sent_at = now;
	rows = g_new(Ch__ServerUse, count + 1);
	pointers = g_new(Ch__ServerUse *, count + 1);
	report.node = (char *)mesh->config.name;
	report.boot = mesh->config.boot;
	report.sequence = ++mesh->sequence;
	report.leaving = mesh->leaving;
	report.suspended = mesh->suspended;
	mesh->sent_times[mesh->sequence % SENT_KEPT] = now;
	fill_report(mesh, &report, rows, pointers, now);
	fill_proof(mesh, &report, now);
	bytes = g_malloc(ch__node_report__get_packed_size(&report));
	send_to_peers(mesh, bytes, ch__node_report__pack(&report, bytes));
	g_free(bytes);
	g_free(report.heard_peer);
	g_free(report.heard_sequence);
	g_free(rows);
	g_free(pointers);
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
		count += peer_lives(mesh, peer, now);
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

		count += !peer->leaving && peer_lives(mesh, peer, now);
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

		rank += peer_lives(mesh, peer, now) &&
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
		    peer_lives(mesh, peer, now) &&
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
