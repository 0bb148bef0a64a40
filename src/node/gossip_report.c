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
 * Selects the peers that get this node's reports.
 */
static void
select_recipients(struct gossip *gossip)
{
	guint count = g_hash_table_size(gossip->peers);
	struct neighbours_node *nodes =
	    g_new(struct neighbours_node, count + 1);
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	gossip->recipients_stale = false;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		nodes[n++] =
		    (struct neighbours_node){peer->name, peer->place, peer};
	}
	g_ptr_array_set_size(gossip->recipients, (gint)count);
	n = neighbours_select(nodes, n, gossip->config.name,
	    gossip->config.place, gossip->recipients->pdata);
	g_ptr_array_set_size(gossip->recipients, (gint)n);
	g_free(nodes);
}

/*
 * Sends a packed report to a peer.
 */
static void
send_to(const struct gossip *gossip, const struct peer *peer,
    const uint8_t *bytes, size_t len)
{
	if (sendto(gossip->fd, bytes, len, MSG_DONTWAIT,
		(const struct sockaddr *)&peer->address,
		sizeof(peer->address)) < 0) {
		/* The next report supersedes a lost one. */
	}
}

/*
 * Sends a packed report to all nodes of the data centre, which give the address
 * of this one to callers.
 */
static void
send_to_place(const struct gossip *gossip, const uint8_t *bytes, size_t len)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (strcmp(peer->place, gossip->config.place) == 0)
			send_to(gossip, peer, bytes, len);
	}
}

/*
 * Sends a packed report to the selected peers; see neighbours_select(). Those
 * of other data centres get some of the reports only.
 */
static void
send_to_peers(struct gossip *gossip, const uint8_t *bytes, size_t len)
{
	bool to_all =
	    gossip->leaving || gossip->sequence % GOSSIP_REMOTE_EVERY == 0;

	if (gossip->recipients_stale)
		select_recipients(gossip);
	for (guint i = 0; i < gossip->recipients->len; i++) {
		const struct peer *peer =
		    g_ptr_array_index(gossip->recipients, i);
		bool local = strcmp(peer->place, gossip->config.place) == 0;

		if (local ? !gossip->leaving : to_all)
			send_to(gossip, peer, bytes, len);
	}
	if (gossip->leaving)
		send_to_place(gossip, bytes, len);
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
	gossip->urgent = false;
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
