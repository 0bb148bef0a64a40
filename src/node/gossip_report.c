#include <string.h>
#include <sys/socket.h>

#include "chestnuthoist.pb-c.h"
#include "gossip_priv.h"

/* Peers avoid a failing server for the time of two report intervals. */
#define AVOID_REPORTED_MSEC (2 * GOSSIP_SEND_USEC / LOOP_USEC_PER_MSEC)

/*
 * Returns the age of a time in milliseconds plus 1, limited to what a report
 * can hold; 0: the time is not known.
 */
static uint32_t
age_msec(int64_t at, int64_t now)
{
	int64_t age = (now - at) / LOOP_USEC_PER_MSEC;

	return at == 0 ? 0 : (uint32_t)MIN(age, (int64_t)UINT32_MAX - 1) + 1;
}

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
		    server->confirm_until <= now && server->full_until <= now &&
		    !server->leaving)
			continue;
		ch__server_use__init(row);
		row->server = server->hash;
		row->memory = (uint64_t)MAX(server->own.memory, 0);
		row->active = server->own.active;
		row->first_active = server->own.first_active;
		if (server->failing_since != 0)
			row->avoid_msec = AVOID_REPORTED_MSEC;
		row->found_msec = age_msec(pool_found_at(server), now);
		if (server->full_until > now)
			row->full_msec = (uint32_t)((server->full_until - now) /
			    LOOP_USEC_PER_MSEC);
		if (server->confirm_until > now) {
			row->layer_from = server->info.layer_from;
			row->layer_to = server->info.layer_to;
		}
		row->leaving = server->leaving;
		if (server->confirm_until > now || server->leaving ||
		    row->found_msec != 0)
			row->born = (uint64_t)server->info.born;
		pointers[n++] = row;
	}
	report->n_servers = n;
	report->servers = pointers;
}

/*
 * Fills one row of evidence against a part of prompts. The arrays have room for
 * all its crashes.
 */
static void
fill_evidence(const struct quarantine_row *from, Ch__PartEvidence *to,
    uint32_t *arrays, int64_t now)
{
	ch__part_evidence__init(to);
	to->part = from->part;
	to->server = arrays;
	to->request = to->server + QUARANTINE_CRASHES_MAX;
	to->age_msec = to->request + QUARANTINE_CRASHES_MAX;
	to->n_server = MIN(from->crash_count, (uint32_t)QUARANTINE_CRASHES_MAX);
	to->n_request = to->n_server;
	to->n_age_msec = to->n_server;
	for (uint32_t i = 0; i < to->n_server; i++) {
		to->server[i] = from->crashes[i].server;
		to->request[i] = from->crashes[i].request;
		to->age_msec[i] = age_msec(from->crashes[i].at, now);
		to->alive |= (uint32_t)from->crashes[i].alive << i;
	}
	to->sound_age_msec = age_msec(from->sound_at, now);
	to->refused_age_msec = age_msec(from->refused_at, now);
	to->trials = from->trials;
	to->depth = from->depth;
}

/* Storage of the demand in one report. */
struct demand_rows {
	Ch__ServiceDemand rows[GOSSIP_DEMANDS_MAX];
	Ch__ServiceDemand *pointers[GOSSIP_DEMANDS_MAX];
	uint32_t tokens_per_sec[GOSSIP_DEMANDS_MAX][DEMAND_CLASSES];
	uint32_t tokens_in_use[GOSSIP_DEMANDS_MAX][DEMAND_CLASSES];
	uint32_t tokens_waiting[GOSSIP_DEMANDS_MAX][DEMAND_CLASSES];
};

/*
 * Fills the demand at this node. Classes after the last one with any demand are
 * left out.
 */
static void
fill_demand(const struct gossip *gossip, Ch__NodeReport *report,
    struct demand_rows *out)
{
	struct gossip_demand demands[GOSSIP_DEMANDS_MAX];
	size_t count = 0;

	if (gossip->config.ops->get_demand != NULL)
		count = gossip->config.ops->get_demand(
		    demands, GOSSIP_DEMANDS_MAX, gossip->config.arg);
	for (size_t i = 0; i < count; i++) {
		Ch__ServiceDemand *row = &out->rows[i];
		size_t classes = 0;
		size_t waiting = 0;

		ch__service_demand__init(row);
		row->service = demands[i].service;
		row->tokens_per_sec = out->tokens_per_sec[i];
		row->tokens_in_use = out->tokens_in_use[i];
		row->tokens_waiting = out->tokens_waiting[i];
		for (size_t k = 0; k < DEMAND_CLASSES; k++) {
			const struct demand_class *class =
			    &demands[i].total.classes[k];

			row->tokens_per_sec[k] =
			    (uint32_t)MAX(class->tokens_per_sec, 0);
			row->tokens_in_use[k] =
			    (uint32_t)MAX(class->tokens_in_use, 0);
			row->tokens_waiting[k] =
			    (uint32_t)MAX(class->tokens_waiting, 0);
			if (row->tokens_per_sec[k] + row->tokens_in_use[k] > 0)
				classes = k + 1;
			if (row->tokens_waiting[k] > 0)
				waiting = k + 1;
		}
		row->n_tokens_per_sec = classes;
		row->n_tokens_in_use = classes;
		row->n_tokens_waiting = waiting;
		out->pointers[i] = row;
	}
	report->n_demand = count;
	report->demand = out->pointers;
}

/*
 * Fills the fields that all reports have in common.
 */
static void
fill_head(const struct gossip *gossip, Ch__NodeReport *report)
{
	report->node = (char *)gossip->config.name;
	report->boot = gossip->config.boot;
	report->sequence = gossip->sequence;
	report->leaving = gossip->leaving;
	report->suspended = gossip->suspended;
}

/*
 * Selects the peers that get this node's reports.
 */
void
gossip_select_recipients(struct gossip *gossip, int64_t now)
{
	guint count = g_hash_table_size(gossip->peers);
	struct neighbours_node *nodes =
	    g_new(struct neighbours_node, count + 1);
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	gossip->recipients_stale = false;
	gossip->selected_at = now;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		peer->is_recipient = false;
		nodes[n++] =
		    (struct neighbours_node){peer->name, peer->place, peer};
	}
	g_ptr_array_set_size(gossip->recipients, (gint)count);
	n = neighbours_select(nodes, n, gossip->config.name,
	    gossip->config.place, gossip->recipients->pdata);
	g_ptr_array_set_size(gossip->recipients, (gint)n);
	g_free(nodes);
	for (guint i = 0; i < gossip->recipients->len; i++) {
		struct peer *peer = g_ptr_array_index(gossip->recipients, i);

		peer->is_recipient = true;
	}
	gossip_select_watchers(gossip, now);
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
 * Packs a report and sends it to one peer.
 */
static void
pack_and_send(const struct gossip *gossip, const struct peer *peer,
    const Ch__NodeReport *report)
{
	size_t len = ch__node_report__get_packed_size(report);
	uint8_t *bytes = g_malloc(len);

	ch__node_report__pack(report, bytes);
	send_to(gossip, peer, bytes, len);
	g_free(bytes);
}

/*
 * Sends this node's proof to each node of its data centre, with the last
 * sequence received from it, by which that node can date the proof.
 */
static void
send_proofs(struct gossip *gossip, int64_t now)
{
	struct gossip_proof proof = {{0, 0}, {0, 0}, {0, 0}, 0};
	Ch__NodeReport report = CH__NODE_REPORT__INIT;
	GHashTableIter iter;
	gpointer value;

	gossip->config.ops->get_proof(&proof, gossip->config.arg);
	if (proof.proved_at == 0)
		return;
	fill_head(gossip, &report);
	report.brief = true;
	report.store_era = proof.complete.era;
	report.store_revision = proof.newest.revision;
	report.complete_revision = proof.complete.revision;
	report.config_revision = proof.config.revision;
	/* Round up, so that a proof never appears newer than it is. */
	report.proof_age_msec =
	    (uint32_t)((now - proof.proved_at) / LOOP_USEC_PER_MSEC + 1);
	report.n_heard_peer = 1;
	report.n_heard_sequence = 1;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		uint32_t hash = gossip_peer_hash(peer->name, peer->boot);
		uint64_t sequence = peer->sequence;

		if (peer->silent || peer->heard_at == 0 ||
		    strcmp(peer->place, gossip->config.place) != 0)
			continue;
		report.heard_peer = &hash;
		report.heard_sequence = &sequence;
		pack_and_send(gossip, peer, &report);
	}
}

/*
 * Sends a brief report to the watchers that get no other, so that they know
 * that this node relies on them.
 */
static void
send_to_watchers(const struct gossip *gossip)
{
	Ch__NodeReport report = CH__NODE_REPORT__INIT;

	fill_head(gossip, &report);
	report.brief = true;
	for (guint i = 0; i < gossip->watchers->len; i++) {
		const struct peer *peer =
		    g_ptr_array_index(gossip->watchers, i);

		if (!peer->is_recipient)
			pack_and_send(gossip, peer, &report);
	}
}

/*
 * Sends this node's report to the peers.
 */
void
gossip_send_report(struct gossip *gossip, int64_t now)
{
	guint count = g_hash_table_size(gossip->pool->by_id);
	Ch__NodeReport report = CH__NODE_REPORT__INIT;
	struct quarantine_row evidence[QUARANTINE_ROWS_MAX];
	Ch__PartEvidence parts[QUARANTINE_ROWS_MAX];
	Ch__PartEvidence *part_pointers[QUARANTINE_ROWS_MAX];
	uint32_t arrays[QUARANTINE_ROWS_MAX][3 * QUARANTINE_CRASHES_MAX];
	struct demand_rows demands;
	Ch__ServerUse *rows;
	Ch__ServerUse **pointers;
	uint8_t *bytes;

	gossip->sent_at = now;
	gossip->urgent = false;
	if (gossip->recipients_stale ||
	    now - gossip->selected_at >= GOSSIP_SELECT_USEC)
		gossip_select_recipients(gossip, now);
	rows = g_new(Ch__ServerUse, count + 1);
	pointers = g_new(Ch__ServerUse *, count + 1);
	gossip->sequence++;
	gossip->sent_times[gossip->sequence % GOSSIP_SENT_TIMES_MAX] = now;
	fill_head(gossip, &report);
	fill_report(gossip, &report, rows, pointers, now);
	fill_demand(gossip, &report, &demands);
	report.n_parts = quarantine_fill(gossip->config.quarantine,
	    gossip->sequence, now, evidence, QUARANTINE_ROWS_MAX);
	report.parts = part_pointers;
	for (size_t i = 0; i < report.n_parts; i++) {
		fill_evidence(&evidence[i], &parts[i], arrays[i], now);
		part_pointers[i] = &parts[i];
	}
	bytes = g_malloc(ch__node_report__get_packed_size(&report));
	send_to_peers(gossip, bytes, ch__node_report__pack(&report, bytes));
	g_free(bytes);
	g_free(rows);
	g_free(pointers);
	if (gossip_is_watcher(gossip))
		send_proofs(gossip, now);
	else if (gossip_shares_watches(gossip))
		send_to_watchers(gossip);
}

/*
 * Sends one datagram of changes to the peers that are assigned to this watcher.
 */
static void
send_changes_part(struct gossip *gossip, const Ch__StoreChanges *changes)
{
	Ch__NodeReport report = CH__NODE_REPORT__INIT;
	uint8_t *bytes;
	size_t len;
	guint watchers = gossip->watchers->len + 1;
	GHashTableIter iter;
	gpointer value;

	report.node = (char *)gossip->config.name;
	report.boot = gossip->config.boot;
	report.changes = (Ch__StoreChanges *)changes;
	len = ch__node_report__get_packed_size(&report);
	bytes = g_malloc(len);
	ch__node_report__pack(&report, bytes);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (!peer->silent &&
		    peer->watch_order % watchers == gossip->watcher_rank &&
		    strcmp(peer->place, gossip->config.place) == 0)
			send_to(gossip, peer, bytes, len);
	}
	g_free(bytes);
}

/*
 * Returns true if changes may be sent to peers: they are in the order of their
 * revisions, so that they can be divided, and none is too large.
 */
static bool
can_send_changes(const struct kv_item *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (items[i].value.len > GOSSIP_CHANGE_MAX_BYTES ||
		    (i > 0 && items[i].version < items[i - 1].version))
			return false;
	}
	return true;
}

/*
 * Sends all changes of the store after one position up to another to the nodes
 * that rely on this one, in as many datagrams as needed. Each watcher serves a
 * part of the nodes; one that gets nothing fetches the changes itself.
 */
void
gossip_send_changes(struct gossip *gossip, struct store_position after,
    struct store_position position, const struct kv_item *items, size_t count)
{
	Ch__StoreItem *rows = g_new(Ch__StoreItem, count + 1);
	Ch__StoreItem **pointers = g_new(Ch__StoreItem *, count + 1);
	Ch__StoreChanges changes = CH__STORE_CHANGES__INIT;
	size_t bytes = 0;

	if (!gossip_is_watcher(gossip) || !can_send_changes(items, count))
		goto out;
	changes.items = pointers;
	changes.era = position.era;
	changes.after = after.revision;
	for (size_t i = 0; i < count; i++) {
		Ch__StoreItem *row = &rows[i];
		bool last = i + 1 == count;

		ch__store_item__init(row);
		row->key = g_strndup(items[i].key.data, items[i].key.len);
		row->version = items[i].version;
		row->value.data = (uint8_t *)items[i].value.data;
		row->value.len = items[i].value.len;
		row->deleted = items[i].deleted;
		pointers[changes.n_items++] = row;
		bytes += items[i].key.len + items[i].value.len;
		if (!last &&
		    (bytes < GOSSIP_CHANGES_MAX_BYTES ||
			items[i + 1].version == items[i].version))
			continue;
		changes.revision = last ? position.revision : items[i].version;
		send_changes_part(gossip, &changes);
		for (size_t k = 0; k < changes.n_items; k++)
			g_free(pointers[k]->key);
		changes.after = changes.revision;
		changes.n_items = 0;
		bytes = 0;
	}
out:
	g_free(rows);
	g_free(pointers);
}
