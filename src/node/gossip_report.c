#include <string.h>
#include <sys/socket.h>

#include "chestnuthoist.pb-c.h"
#include "gossip_priv.h"

/* Peers avoid a failing server for the time of two report intervals. */
#define AVOID_REPORTED_MSEC (2 * GOSSIP_SEND_USEC / LOOP_USEC_PER_MSEC)

/*
 * Fills the report with this node's use of each server.
 */
static void
fill_report(struct gossip *gossip, Ch__NodeReport *report, Ch__ServerUse *rows,
    Ch__ServerUse **pointers, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, gossip->pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_server *server = value;
		Ch__ServerUse *row = &rows[n];

		if (server->own.active == 0 && server->failing_since == 0 &&
		    server->confirm_until <= now && server->full_until <= now)
			continue;
		ch__server_use__init(row);
		row->server = server->hash;
		row->memory = (uint64_t)MAX(server->own.memory, 0);
		row->active = server->own.active;
		row->first_active = server->own.first_active;
		if (server->failing_since != 0)
			row->avoid_msec = AVOID_REPORTED_MSEC;
		if (server->full_until > now)
			row->full_msec = (uint32_t)((server->full_until - now) /
			    LOOP_USEC_PER_MSEC);
		if (server->confirm_until > now) {
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
 * Adds this node's proof to the report, with the last sequence received from
 * each peer, by which the peers can date the proof.
 */
static void
fill_proof(struct gossip *gossip, Ch__NodeReport *report, int64_t now)
{
	struct gossip_proof proof = {0, 0, 0};
	guint count = g_hash_table_size(gossip->peers);
	GHashTableIter iter;
	gpointer value;

	gossip->config.ops->get_proof(&proof, gossip->config.arg);
	report->store_revision = proof.store_revision;
	report->config_revision = proof.config_revision;
	if (proof.proved_at == 0 || !gossip_is_watcher(gossip))
		return;
	/* Round up, so that a proof never appears newer than it is. */
	report->proof_age_msec =
	    (uint32_t)((now - proof.proved_at) / LOOP_USEC_PER_MSEC + 1);
	report->heard_peer = g_new(uint32_t, count + 1);
	report->heard_sequence = g_new(uint64_t, count + 1);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->silent || peer->heard_at == 0)
			continue;
		report->heard_peer[report->n_heard_peer++] =
		    gossip_peer_hash(peer->name, peer->boot);
		report->heard_sequence[report->n_heard_sequence++] =
		    peer->sequence;
	}
}

/*
 * Returns true if the current report is to be sent to a peer.
 */
static bool
is_recipient(const struct gossip *gossip, const struct peer *peer)
{
	return strcmp(peer->place, gossip->config.place) == 0 ||
	    gossip->leaving || gossip->sequence % GOSSIP_REMOTE_EVERY == 0;
}

/*
 * Sends a packed report to one peer, unless it is not due for that peer.
 */
static void
send_to(
    struct gossip *gossip, const char *name, const uint8_t *bytes, size_t len)
{
	const struct peer *peer = g_hash_table_lookup(gossip->peers, name);

	if (is_recipient(gossip, peer) &&
	    sendto(gossip->fd, bytes, len, MSG_DONTWAIT,
		(const struct sockaddr *)&peer->address,
		sizeof(peer->address)) < 0) {
		/* The next report supersedes a lost one. */
	}
}

/*
 * Sends a packed report to the peers: to all in a small fleet, otherwise to the
 * nearest ones on both sides in the ring of sorted names, so that the peers
 * that receive reports of a node are those that send it theirs.
 */
static void
send_to_peers(struct gossip *gossip, const uint8_t *bytes, size_t len)
{
	GList *list = g_hash_table_get_keys(gossip->peers);
	guint count = g_list_length(list);
	const char **names = g_new0(const char *, count + 1);
	guint after = 0;
	guint sent = 0;

	list = g_list_sort(list, (GCompareFunc)strcmp);
	for (const GList *at = list; at != NULL; at = at->next) {
		after += strcmp(at->data, gossip->config.name) < 0;
		names[sent++] = at->data;
	}
	sent = 0;
	for (guint i = 0; sent < MIN(count, GOSSIP_FANOUT); i++) {
		send_to(gossip, names[(after + i) % count], bytes, len);
		if (++sent < MIN(count, GOSSIP_FANOUT)) {
			send_to(gossip, names[(after + count - 1 - i) % count],
			    bytes, len);
			sent++;
		}
	}
	g_free(names);
	g_list_free(list);
}

/*
 * Sends this node's report to the peers.
 */
void
gossip_send_report(struct gossip *gossip, int64_t now)
{
	guint count = g_hash_table_size(gossip->pool->by_id);
	Ch__NodeReport report = CH__NODE_REPORT__INIT;
	Ch__ServerUse *rows;
	Ch__ServerUse **pointers;
	uint8_t *bytes;

	gossip->sent_at = now;
	rows = g_new(Ch__ServerUse, count + 1);
	pointers = g_new(Ch__ServerUse *, count + 1);
	report.node = (char *)gossip->config.name;
	report.boot = gossip->config.boot;
	report.sequence = ++gossip->sequence;
	report.leaving = gossip->leaving;
	report.suspended = gossip->suspended;
	gossip->sent_times[gossip->sequence % GOSSIP_SENT_TIMES_MAX] = now;
	fill_report(gossip, &report, rows, pointers, now);
	fill_proof(gossip, &report, now);
	bytes = g_malloc(ch__node_report__get_packed_size(&report));
	send_to_peers(gossip, bytes, ch__node_report__pack(&report, bytes));
	g_free(bytes);
	g_free(report.heard_peer);
	g_free(report.heard_sequence);
	g_free(rows);
	g_free(pointers);
}
