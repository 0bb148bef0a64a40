#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "chestnuthoist.pb-c.h"
#include "gossip_priv.h"
#include "settings.h"
#include "slog.h"

#define DATAGRAM_MAX_BYTES 60000
/* Most datagrams read in one iteration of the event loop. */
#define READ_BATCH 64

/*
 * Returns the hash that identifies one process of a node. It differs after a
 * restart, since the sequence then starts again.
 */
uint32_t
gossip_peer_hash(const char *name, uint64_t boot)
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
 * Returns the time that is a reported age ago; see struct quarantine_row.
 */
static int64_t
time_of_age(uint32_t age_msec, int64_t now)
{
	return age_msec == 0
	    ? 0
	    : MAX(now - (int64_t)(age_msec - 1) * LOOP_USEC_PER_MSEC, 1);
}

/*
 * Records what a peer reports about one server.
 */
static void
apply_use(struct gossip *gossip, struct peer *peer, const Ch__ServerUse *from,
    int64_t now)
{
	struct peer_use use = {from->server,
	    {(int64_t)from->memory, from->active, from->first_active}};
	struct pool_server *server = pool_find_hash(gossip->pool, from->server);
	bool definite = server != NULL && from->found_msec > 0 &&
	    from->born == (uint64_t)server->info.born;
	struct finding finding = {definite, time_of_age(from->found_msec, now)};

	g_array_append_val(peer->uses, use);
	if (server != NULL && from->layer_to > from->layer_from &&
	    from->layer_to <= FLEET_LAYERS_MAX &&
	    from->born == (uint64_t)server->info.born)
		pool_confirm_layers(
		    gossip->pool, server, from->layer_from, from->layer_to);
	if (server != NULL && from->leaving &&
	    from->born == (uint64_t)server->info.born &&
	    pool_note_leaving(gossip->pool, server, now))
		slog_event(EV_SERVER_LEAVING, "{s:s, s:s}", "server",
		    server->info.id, "evidence", "report of another node");
	if (server != NULL && from->full_msec > 0)
		server->peer_full_until = now +
		    MIN((int64_t)from->full_msec * LOOP_USEC_PER_MSEC,
			POOL_FULL_USEC);
	if (server != NULL && from->avoid_msec > 0)
		pool_note_peer_finding(server,
		    gossip_peer_hash(peer->name, peer->boot), &finding,
		    now +
			MIN((int64_t)from->avoid_msec * LOOP_USEC_PER_MSEC,
			    POOL_AVOID_USEC),
		    now);
}

/*
 * Records the demand at a peer.
 */
static void
apply_demand(struct peer *peer, const Ch__NodeReport *report)
{
	peer->demand_count = 0;
	for (size_t i = 0; i < report->n_demand && i < GOSSIP_DEMANDS_MAX;
	     i++) {
		const Ch__ServiceDemand *from = report->demand[i];
		struct gossip_demand *to = &peer->demands[peer->demand_count++];

		memset(to, 0, sizeof(*to));
		to->service = from->service;
		for (size_t k = 0; k < DEMAND_CLASSES &&
		     k < from->n_tokens_per_sec && k < from->n_tokens_in_use;
		     k++)
			to->total.classes[k] = (struct demand_class){
			    from->tokens_per_sec[k], from->tokens_in_use[k],
			    k < from->n_tokens_waiting ? from->tokens_waiting[k]
						       : 0};
	}
}

/*
 * Decodes a peer's evidence against a part of prompts.
 */
static struct quarantine_row
decode_evidence(const Ch__PartEvidence *from, int64_t now)
{
	struct quarantine_row row = {.part = from->part,
	    .depth = from->depth,
	    .trials = from->trials,
	    .sound_at = time_of_age(from->sound_age_msec, now),
	    .refused_at = time_of_age(from->refused_age_msec, now)};

	for (size_t i = 0; i < from->n_server && i < from->n_request &&
	     i < from->n_age_msec && i < QUARANTINE_CRASHES_MAX;
	     i++)
		row.crashes[row.crash_count++] =
		    (struct quarantine_crash){from->server[i], from->request[i],
			time_of_age(MAX(from->age_msec[i], 1u), now),
			(from->alive >> i & 1) != 0};
	return row;
}

/*
 * Adds a peer's evidence against parts of prompts.
 */
static void
apply_evidence(
    const struct gossip *gossip, const Ch__NodeReport *report, int64_t now)
{
	struct quarantine_row rows[QUARANTINE_ROWS_MAX];
	size_t count = MIN(report->n_parts, (size_t)QUARANTINE_ROWS_MAX);

	for (size_t i = 0; i < count; i++)
		rows[i] = decode_evidence(report->parts[i], now);
	quarantine_merge(gossip->config.quarantine, rows, count, now);
}

/*
 * Passes on the proof in a report. Its age is subtracted from the time at which
 * this node sent the last report that the peer had received, since the peer
 * measured the age at some time after that.
 */
static void
apply_proof(struct gossip *gossip, const Ch__NodeReport *report)
{
	uint64_t era = report->store_era;
	struct gossip_proof proof = {{era, report->store_revision},
	    {era, report->complete_revision}, {era, report->config_revision},
	    0};

	if (report->proof_age_msec == 0)
		return;
	for (size_t i = 0;
	     i < report->n_heard_peer && i < report->n_heard_sequence; i++) {
		uint64_t sequence = report->heard_sequence[i];

		if (report->heard_peer[i] != gossip->hash ||
		    sequence + GOSSIP_SENT_TIMES_MAX <= gossip->sequence ||
		    sequence > gossip->sequence)
			continue;
		proof.proved_at =
		    gossip->sent_times[sequence % GOSSIP_SENT_TIMES_MAX] -
		    (int64_t)report->proof_age_msec * LOOP_USEC_PER_MSEC;
	}
	gossip->config.ops->proof_received(&proof, gossip->config.arg);
}

/*
 * Passes on changes of the store that a peer read.
 */
static void
handle_changes(const struct gossip *gossip, const Ch__StoreChanges *changes)
{
	struct kv_item *items = g_new(struct kv_item, changes->n_items + 1);

	for (size_t i = 0; i < changes->n_items; i++) {
		const Ch__StoreItem *from = changes->items[i];

		items[i] = (struct kv_item){.key = lstr_from(from->key),
		    .version = from->version,
		    .value =
			lstr_make((char *)from->value.data, from->value.len),
		    .deleted = from->deleted};
	}
	gossip->config.ops->changes_received(
	    (struct store_position){changes->era, changes->after},
	    (struct store_position){changes->era, changes->revision}, items,
	    changes->n_items, gossip->config.arg);
	g_free(items);
}

/*
 * Handles a report of a peer. Duplicate and outdated reports are ignored.
 */
static void
handle_report(struct gossip *gossip, const Ch__NodeReport *report)
{
	struct peer *peer = g_hash_table_lookup(gossip->peers, report->node);
	int64_t now = loop_now(gossip->loop);

	if (peer == NULL)
		return;
	if (report->changes != NULL) {
		if (report->boot >= peer->boot)
			handle_changes(gossip, report->changes);
		return;
	}
	/* A watcher's proof has the sequence of its report. */
	if (report->boot == peer->boot &&
	    (report->sequence < peer->sequence ||
		(report->sequence == peer->sequence && !report->brief)))
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
	if (report->leaving && !peer->leaving)
		peer->leaving_since = now;
	peer->leaving = report->leaving;
	peer->suspended = report->suspended;
	apply_proof(gossip, report);
	if (report->brief)
		return;
	peer->uses_at = now;
	g_array_set_size(peer->uses, 0);
	for (size_t i = 0; i < report->n_servers; i++)
		apply_use(gossip, peer, report->servers[i], now);
	apply_demand(peer, report);
	apply_evidence(gossip, report, now);
	gossip->sums_stale = true;
}

/*
 * Reads datagrams from peers.
 */
static void
on_ready(void *arg, unsigned int events)
{
	static uint8_t bytes[DATAGRAM_MAX_BYTES];
	struct gossip *gossip = arg;

	(void)events;
	for (int i = 0; i < READ_BATCH; i++) {
		ssize_t n =
		    recv(gossip->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		Ch__NodeReport *report;

		if (n <= 0)
			return;
		report = ch__node_report__unpack(NULL, (size_t)n, bytes);
		if (report == NULL)
			continue;
		handle_report(gossip, report);
		ch__node_report__free_unpacked(report, NULL);
	}
}

/*
 * Builds the node's own entry for the store.
 */
static void
build_entry(struct gossip *gossip)
{
	json_t *root = json_pack("{s:s, s:s, s:I, s:s, s:i}", "front",
	    gossip->config.front, "place", gossip->config.place, "boot",
	    (json_int_t)gossip->config.boot, "ip", gossip->config.ip, "port",
	    (int)gossip->config.port);
	char *text = json_dumps(root, JSON_COMPACT);

	lstr_buf_append(&gossip->entry, lstr_from(text));
	free(text);
	json_decref(root);
}

/*
 * Opens the datagram socket of the node. The strings of the configuration are
 * borrowed.
 */
enum status
gossip_create(struct loop *loop, const struct gossip_config *config,
    struct pool *pool, struct gossip **out)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(config->port)};
	struct gossip *gossip = g_new0(struct gossip, 1);
	enum status status;

	gossip->loop = loop;
	gossip->pool = pool;
	gossip->config = *config;
	gossip->hash = gossip_peer_hash(config->name, config->boot);
	pool->spread_seed = gossip->hash;
	gossip->started_at = loop_now(loop);
	gossip->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	gossip->recipients = g_ptr_array_new();
	gossip->recipients_stale = true;
	gossip->watchers = g_ptr_array_new();
	gossip->watch_order = pool_hash(lstr_from(config->name));
	gossip->watcher_rank = GOSSIP_WATCHERS;
	inet_pton(AF_INET, config->ip, &address.sin_addr);
	gossip->fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (gossip->fd < 0 ||
	    bind(gossip->fd, (struct sockaddr *)&address, sizeof(address)) !=
		0) {
		status = status_set(STATUS_IO,
		    "cannot open datagram socket on %s:%u: %s", config->ip,
		    (unsigned int)config->port, strerror(errno));
		gossip_destroy(gossip);
		return status;
	}
	status = loop_watch_create(
	    loop, gossip->fd, LOOP_READ, on_ready, gossip, &gossip->watch);
	if (status != STATUS_OK) {
		gossip_destroy(gossip);
		return status;
	}
	build_entry(gossip);
	*out = gossip;
	return STATUS_OK;
}

/*
 * Closes the socket and frees the state.
 */
void
gossip_destroy(struct gossip *gossip)
{
	if (gossip == NULL)
		return;
	loop_watch_destroy(gossip->watch);
	if (gossip->fd >= 0)
		close(gossip->fd);
	g_ptr_array_free(gossip->recipients, TRUE);
	g_ptr_array_free(gossip->watchers, TRUE);
	g_hash_table_destroy(gossip->peers);
	lstr_buf_free(&gossip->entry);
	g_free(gossip);
}

/*
 * Returns the value of the node's own entry in the store.
 */
struct lstr
gossip_entry(const struct gossip *gossip)
{
	return lstr_buf_view(&gossip->entry);
}

/*
 * Lists a peer again whose entry is that of the known process, or of an earlier
 * one: after a restore of the store all entries are written or read again. What
 * its reports told is kept. Returns false if the entry is that of a new process
 * or of an unknown peer.
 */
static bool
confirm_peer(struct gossip *gossip, struct lstr name, uint64_t boot)
{
	char *text = g_strndup(name.data, name.len);
	struct peer *peer = g_hash_table_lookup(gossip->peers, text);

	g_free(text);
	if (peer == NULL || boot > peer->boot)
		return false;
	peer->unlisted = false;
	return true;
}

/*
 * Adds or replaces a peer from its entry in the store. Invalid entries and that
 * of this node are ignored.
 */
void
gossip_put(struct gossip *gossip, struct lstr name, struct lstr value)
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
	    lstr_equal_c(name, gossip->config.name)) {
		json_decref(root);
		return;
	}
	if (confirm_peer(gossip, name, (uint64_t)boot)) {
		json_decref(root);
		return;
	}
	peer = g_new0(struct peer, 1);
	peer->name = g_strndup(name.data, name.len);
	peer->front = g_strdup(front);
	peer->place = g_strdup(place);
	peer->watch_order = pool_hash(name);
	peer->boot = (uint64_t)boot;
	peer->address.sin_family = AF_INET;
	peer->address.sin_port = htons((uint16_t)port);
	peer->listed_at = loop_now(gossip->loop);
	inet_pton(AF_INET, ip, &peer->address.sin_addr);
	peer->uses = g_array_new(FALSE, TRUE, sizeof(struct peer_use));
	g_hash_table_replace(gossip->peers, peer->name, peer);
	gossip->sums_stale = true;
	gossip->recipients_stale = true;
	json_decref(root);
}

/*
 * Records that a node's entry was removed. The peer is kept while it sends
 * reports: its lease may have expired only because the store was unreachable.
 */
void
gossip_remove(struct gossip *gossip, struct lstr name)
{
	char *text = g_strndup(name.data, name.len);
	struct peer *peer = g_hash_table_lookup(gossip->peers, text);

	g_free(text);
	if (peer != NULL)
		peer->unlisted = true;
}

/*
 * Reports to the peers at once that this node accepts no new connections.
 */
void
gossip_leave(struct gossip *gossip)
{
	gossip->leaving = true;
	gossip->leaving_since = loop_now(gossip->loop);
	gossip->sent_at = 0;
	gossip_tick(gossip);
}

/*
 * Sets whether callers are directed to this node.
 */
void
gossip_set_serving(struct gossip *gossip, bool serving)
{
	gossip->suspended = !serving;
}

/* The peers of one data centre: those with recent reports, and all that are
 * live. */
struct place_count {
	uint32_t heard;
	uint32_t live;
};

/*
 * Counts the peers by data centre. In a large fleet a node hears many of its
 * own and few of the others. The caller frees the table.
 */
static GHashTable *
count_places(const struct gossip *gossip, int64_t now)
{
	GHashTable *places =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		struct place_count *count =
		    g_hash_table_lookup(places, peer->place);

		if (count == NULL) {
			count = g_new0(struct place_count, 1);
			g_hash_table_insert(places, peer->place, count);
		}
		count->heard += peer->uses_at != 0 &&
		    now - peer->uses_at <= POOL_PEER_USE_USEC;
		count->live += gossip_peer_is_live(gossip, peer, now);
	}
	return places;
}

/*
 * Sums the use of each server by all peers. The reports of a data centre stand
 * for all its live nodes, since the nodes of one use other servers than those
 * of another.
 */
static void
sum_uses(struct gossip *gossip, int64_t now)
{
	GHashTable *places = count_places(gossip, now);
	GHashTableIter iter;
	gpointer value;

	gossip->sums_stale = false;
	pool_clear_peers_use(gossip->pool);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;
		const struct place_count *count;
		double scale;

		peer->scale = 0;
		if (peer->uses_at == 0 ||
		    now - peer->uses_at > POOL_PEER_USE_USEC)
			continue;
		count = g_hash_table_lookup(places, peer->place);
		scale = spread_scale(count->heard, count->live);
		peer->scale = scale;
		for (guint i = 0; i < peer->uses->len; i++) {
			const struct peer_use *use =
			    &g_array_index(peer->uses, struct peer_use, i);
			struct pool_server *server =
			    pool_find_hash(gossip->pool, use->hash);

			if (server == NULL)
				continue;
			pool_add_peers_use(server, &use->use, scale);
			pool_date_peers_use(server, &use->use, peer->uses_at);
		}
	}
	pool_finish_peers_use(gossip->pool);
	g_hash_table_destroy(places);
}

/*
 * Adds the demand for a service at the other nodes, scaled like their use of
 * the servers, to a total.
 */
void
gossip_add_demand(
    const struct gossip *gossip, uint32_t service, struct demand_total *total)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		for (uint32_t i = 0; peer->scale > 0 && i < peer->demand_count;
		     i++) {
			const struct gossip_demand *demand = &peer->demands[i];

			if (demand->service == service)
				demand_sum(total, &demand->total, peer->scale);
		}
	}
}

/*
 * Logs peers that are no longer live and drops those without an entry.
 */
static void
check_peers(struct gossip *gossip, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (gossip_peer_is_live(gossip, peer, now))
			continue;
		if (!peer->silent) {
			peer->silent = true;
			gossip->sums_stale = true;
			slog_event(EV_PEER_SILENT, "{s:s, s:b}", "peer",
			    peer->name, "unlisted", peer->unlisted);
		}
		if (peer->unlisted) {
			g_hash_table_iter_remove(&iter);
			gossip->recipients_stale = true;
		}
	}
}

/*
 * Makes the next tick send a report, although the last one was sent less than
 * an interval ago: a server fails, and requests of the peers would fail there
 * too.
 */
void
gossip_report_soon(struct gossip *gossip)
{
	gossip->urgent = true;
}

/*
 * Periodic work: checks the peers, updates the sums of their use, and sends a
 * report if one is due.
 */
void
gossip_tick(struct gossip *gossip)
{
	int64_t now = loop_now(gossip->loop);

	check_peers(gossip, now);
	if (gossip->sums_stale)
		sum_uses(gossip, now);
	if (now - gossip->sent_at >=
	    (gossip->urgent ? GOSSIP_URGENT_USEC : GOSSIP_SEND_USEC))
		gossip_send_report(gossip, now);
}
