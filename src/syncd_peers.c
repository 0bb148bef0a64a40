#include <string.h>

#include "log.h"
#include "syncd_priv.h"

/* How long an on-demand connection stays open after its last use. */
#define IDLE_CONNECTION_USEC (60 * LOOP_USEC_PER_SEC)

static struct metric heartbeats = {"chestnuthoist_heartbeats_total", "",
    "Heartbeats received.", METRIC_COUNTER, 0, NULL};

/*
 * Sends a message to the origin of another one.
 */
enum status
syncd_send(const struct syncd_origin *to, const Ch__Frame *frame)
{
	return to->session != NULL ? link_send(to->session->link, frame)
				   : peer_send(to->outgoing->peer, frame);
}

/*
 * Sends a message to the processes of this node with the given role.
 */
void
syncd_send_local(struct syncd *s, Ch__Role role, const Ch__Frame *frame)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_session *session = value;

		if (session->local && session->role == role)
			link_send(session->link, frame);
	}
}

/*
 * Sends a message to all connected syncds except one, which may be NULL.
 */
void
syncd_send_syncds(
    struct syncd *s, const Ch__Frame *frame, const struct syncd_origin *except)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_session *session = value;

		if (session->role == CH__ROLE__ROLE_SYNCD &&
		    (except == NULL || except->session != session))
			link_send(session->link, frame);
	}
	g_hash_table_iter_init(&iter, s->outgoing);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_outgoing *out = value;

		if (except == NULL || except->outgoing != out)
			peer_send(out->peer, frame);
	}
}

/*
 * Sends a message to the syncds of this data centre that have a session with
 * this process.
 */
void
syncd_send_place(struct syncd *s, const Ch__Frame *frame)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_session *session = value;

		if (session->role == CH__ROLE__ROLE_SYNCD &&
		    strcmp(link_peer(session->link)->place,
			s->proc->hello.place) == 0)
			link_send(session->link, frame);
	}
}

/*
 * Returns whether an entry or a router of this node is connected.
 */
bool
syncd_has_local_session(const struct syncd *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct syncd_session *)value)->local)
			return true;
	}
	return false;
}

/*
 * Sends a heartbeat.
 */
static void
send_heartbeat(struct syncd *s, const struct syncd_origin *to)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Heartbeat message = CH__HEARTBEAT__INIT;

	message.node = s->proc->hello.node;
	message.boot = s->proc->hello.boot;
	message.revision = conf_revision(s->conf);
	message.view_version = membership_view_version(s->membership);
	message.state = s->draining ? CH__NODE_STATE__NODE_STATE_LEAVING
				    : CH__NODE_STATE__NODE_STATE_LIVE;
	frame.kind_case = CH__FRAME__KIND_HEARTBEAT;
	frame.heartbeat = &message;
	syncd_send(to, &frame);
}

/*
 * Handles a heartbeat. A heartbeat on an accepted link is answered with one.
 */
static void
handle_heartbeat(struct syncd *s, const struct syncd_origin *from,
    const Ch__Heartbeat *message)
{
	struct syncd_last_heartbeat *last_heartbeat =
	    g_hash_table_lookup(s->last_heartbeats, message->node);

	heartbeats.value++;
	if (last_heartbeat == NULL) {
		if (g_hash_table_size(s->last_heartbeats) >= VIEW_MEMBERS_MAX)
			return;
		last_heartbeat = g_new0(struct syncd_last_heartbeat, 1);
		g_hash_table_insert(s->last_heartbeats, g_strdup(message->node),
		    last_heartbeat);
	}
	last_heartbeat->revision = message->revision;
	last_heartbeat->at = syncd_now(s);
	membership_node_alive(
	    s->membership, lstr_from(message->node), last_heartbeat->at);
	if (from->session != NULL) {
		from->session->revision = message->revision;
		send_heartbeat(s, from);
	}
	syncd_config_peer_revision(s, from, message->revision);
}

/*
 * Handles a subscription: sends the configuration, the view and the leaving
 * instances.
 */
static void
handle_subscribe(struct syncd *s, const struct syncd_origin *from,
    const Ch__Subscribe *message)
{
	bool syncd;

	if (from->session == NULL)
		return;
	syncd = from->session->role == CH__ROLE__ROLE_SYNCD;
	from->session->subscribed = !syncd;
	syncd_config_send(s, from, message->revision);
	syncd_member_send(from, !syncd);
	syncd_instances_send(s, from);
}

/*
 * Handles messages that only processes of this node may send.
 */
static void
handle_local_frame(struct syncd *s, const Ch__Frame *frame)
{
	switch (frame->kind_case) {
	case CH__FRAME__KIND_ROLE_STATE:
		syncd_member_role_state(s, frame->role_state);
		syncd_records_public_key(s, frame->role_state);
		break;
	case CH__FRAME__KIND_RECORD_STORE:
		syncd_records_store(s, frame->record_store);
		break;
	default:
		break;
	}
}

/*
 * Handles a message from any process.
 */
static void
handle_frame(
    struct syncd *s, const struct syncd_origin *from, const Ch__Frame *frame)
{
	switch (frame->kind_case) {
	case CH__FRAME__KIND_SUBSCRIBE:
		handle_subscribe(s, from, frame->subscribe);
		break;
	case CH__FRAME__KIND_CONFIG_UPDATE:
		syncd_config_apply(s, from, frame->config_update);
		break;
	case CH__FRAME__KIND_CONFIG_PULL:
		syncd_config_send(s, from, frame->config_pull->have);
		break;
	case CH__FRAME__KIND_VIEW:
		/* A watcher that can reach the service ignores whole views. */
		if (!(s->is_watcher &&
			membership_service_is_up(s->membership)) ||
		    !frame->view->whole)
			membership_apply_message(
			    s->membership, frame->view, syncd_now(s));
		break;
	case CH__FRAME__KIND_HEARTBEAT:
		handle_heartbeat(s, from, frame->heartbeat);
		break;
	case CH__FRAME__KIND_INSTANCES:
		syncd_instances_receive(s, from, frame->instances);
		break;
	case CH__FRAME__KIND_CLAIM_REQUEST:
		syncd_claims_request(s, from, frame->claim_request);
		break;
	case CH__FRAME__KIND_CLAIM_REPLY:
		syncd_claims_reply(s, frame->claim_reply);
		break;
	case CH__FRAME__KIND_CLAIM_OUTCOME:
		syncd_claims_outcome(s, from, frame->claim_outcome);
		break;
	case CH__FRAME__KIND_RECORD_APPEND:
		syncd_records_append(s, from, frame->record_append);
		break;
	case CH__FRAME__KIND_RECORD_ACK:
		syncd_records_ack(s, frame->record_ack);
		break;
	case CH__FRAME__KIND_RECORD_STORED:
		syncd_records_stored(s, frame->record_stored);
		break;
	default:
		if (from->session != NULL && from->session->local)
			handle_local_frame(s, frame);
		break;
	}
	syncd_member_flush(s);
}

/*
 * Registers an accepted link. A watcher sends its view and the leaving
 * instances to a syncd of its data centre.
 */
static void
on_session_up(struct link *link, void *arg)
{
	struct syncd *s = arg;
	struct syncd_session *session = g_new0(struct syncd_session, 1);
	const Ch__Hello *hello = link_peer(link);
	struct syncd_origin origin = {.session = session};

	session->syncd = s;
	session->id = ++s->last_session;
	session->link = link;
	session->role = hello->role;
	session->local = strcmp(hello->node, s->proc->hello.node) == 0 &&
	    hello->role != CH__ROLE__ROLE_SYNCD;
	link_set_data(link, session);
	g_hash_table_insert(s->sessions, &session->id, session);
	if (session->role != CH__ROLE__ROLE_SYNCD || !s->is_watcher ||
	    strcmp(hello->place, s->proc->hello.place) != 0)
		return;
	syncd_member_send(&origin, false);
	syncd_instances_send(s, &origin);
	send_heartbeat(s, &origin);
}

/*
 * Handles a message on an accepted link.
 */
static void
on_session_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct syncd_origin origin = {.session = link_get_data(link)};

	handle_frame(arg, &origin, frame);
}

/*
 * Handles a closed session. If it was the last one of its role on this node,
 * the role is no longer announced.
 */
static void
on_session_down(struct link *link, enum status status, void *arg)
{
	struct syncd *s = arg;
	struct syncd_session *session = link_get_data(link);
	bool another = false;
	GHashTableIter iter;
	gpointer value;

	(void)status;
	if (session == NULL)
		return;
	g_hash_table_steal(s->sessions, &session->id);
	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct syncd_session *other = value;

		another |= other->local && other->role == session->role;
	}
	if (session->local && !another)
		syncd_member_role_closed(s, session->role);
	g_free(session);
	syncd_member_flush(s);
}

/*
 * Handles an established connection to another syncd: sends a heartbeat,
 * subscribes to a seed, and resends pending claims and record copies to a
 * member.
 */
static void
on_outgoing_up(struct peer *peer, void *arg)
{
	struct syncd_outgoing *out = arg;
	struct syncd *s = out->syncd;
	struct syncd_origin origin = {.outgoing = out};
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Subscribe message = CH__SUBSCRIBE__INIT;

	(void)peer;
	send_heartbeat(s, &origin);
	if (out->node != NULL) {
		syncd_claims_tick(s);
		syncd_records_peer_up(s, out);
		return;
	}
	message.role = CH__ROLE__ROLE_SYNCD;
	message.revision = conf_pull_base_revision(s->conf);
	frame.kind_case = CH__FRAME__KIND_SUBSCRIBE;
	frame.subscribe = &message;
	peer_send(out->peer, &frame);
}

/*
 * Handles a message on an outgoing connection.
 */
static void
on_outgoing_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	struct syncd_outgoing *out = arg;
	struct syncd_origin origin = {.outgoing = out};

	(void)peer;
	handle_frame(out->syncd, &origin, frame);
}

/*
 * Handles the loss of an outgoing connection. The peer module probes the node
 * with a new connection.
 */
static void
on_outgoing_down(struct peer *peer, enum status status, void *arg)
{
	struct syncd_outgoing *out = arg;

	(void)peer;
	(void)status;
	if (out->node != NULL)
		syncd_claims_peer_down(out->syncd, out->node);
}

/*
 * Handles a failed connection attempt: the node becomes suspected.
 */
static void
on_outgoing_failed(struct peer *peer, unsigned int count, void *arg)
{
	struct syncd_outgoing *out = arg;

	(void)peer;
	if (out->node == NULL)
		return;
	if (count == 1)
		log_event(EV_PEER_SUSPECTED, "node=%s", out->node);
	membership_probe_failed(out->syncd->membership, lstr_from(out->node),
	    syncd_now(out->syncd));
}

static const struct peer_ops outgoing_callbacks = {
    on_outgoing_up, on_outgoing_frame, on_outgoing_down, on_outgoing_failed};

/*
 * Closes an outgoing connection and frees it.
 */
static void
outgoing_free(gpointer data)
{
	struct syncd_outgoing *out = data;

	peer_destroy(out->peer);
	g_free(out->node);
	g_free(out);
}

/*
 * Opens a connection to a syncd; node is NULL for a seed. Returns NULL on
 * failure.
 */
static struct syncd_outgoing *
open_outgoing(struct syncd *s, const char *node, const char *address)
{
	struct syncd_outgoing *out = g_new0(struct syncd_outgoing, 1);

	out->syncd = s;
	out->node = g_strdup(node);
	if (peer_create(&s->proc->links, address, &outgoing_callbacks, out,
		&out->peer) != STATUS_OK) {
		g_free(out->node);
		g_free(out);
		return NULL;
	}
	return out;
}

/*
 * Finds or opens the connection to a member, and keeps it open at least until
 * the given time. Returns NULL for this node, for an unknown node and for one
 * without an address.
 */
struct syncd_outgoing *
syncd_connect(struct syncd *s, const char *node, int64_t keep_until)
{
	const struct view_member *m =
	    view_find(membership_view(s->membership), lstr_from(node));
	struct syncd_outgoing *out = g_hash_table_lookup(s->outgoing, node);

	if (m == NULL || m->syncd_address[0] == '\0' ||
	    strcmp(node, s->proc->hello.node) == 0)
		return NULL;
	if (out != NULL &&
	    strcmp(peer_address(out->peer), m->syncd_address) != 0) {
		g_hash_table_remove(s->outgoing, node);
		out = NULL;
	}
	if (out == NULL) {
		out = open_outgoing(s, node, m->syncd_address);
		if (out == NULL)
			return NULL;
		g_hash_table_insert(s->outgoing, out->node, out);
	}
	out->keep_until = MAX(out->keep_until, keep_until);
	return out;
}

/*
 * Marks the connection to a member as required, opening it if necessary.
 */
static void
require_connection(struct syncd *s, const struct view_member *m, bool heartbeat)
{
	struct syncd_outgoing *out = syncd_connect(s, m->node, 0);

	if (out == NULL)
		return;
	out->required = true;
	out->heartbeat |= heartbeat;
}

/*
 * Returns whether a connection may be closed.
 */
static gboolean
is_unused(gpointer key, gpointer value, gpointer data)
{
	struct syncd_outgoing *out = value;
	struct syncd *s = data;

	(void)key;
	return !out->required && out->keep_until < syncd_now(s);
}

/*
 * Updates the required connections after a change of the view: heartbeat peers,
 * the watchers of this data centre and the record peer.
 */
void
syncd_peers_update(struct syncd *s)
{
	const struct view *view = membership_view(s->membership);
	const struct view_member *peers[RENDEZVOUS_HEARTBEAT_PEERS];
	struct lstr self = lstr_from(s->proc->hello.node);
	size_t count = rendezvous_heartbeat_peers(view, self, peers);
	const struct view_member *record_peer =
	    rendezvous_record_peer(view, self, lstr_from(s->proc->hello.place));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->outgoing);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_outgoing *out = value;

		out->required = out->heartbeat = false;
		/* Keep probing a suspected peer to detect its recovery. */
		out->keep_until =
		    MAX(out->keep_until, syncd_now(s) + IDLE_CONNECTION_USEC);
	}
	for (size_t i = 0; i < count; i++)
		require_connection(s, peers[i], true);
	for (size_t i = 0; i < view_count(view); i++) {
		const struct view_member *m = view_at(view, i);

		if (strcmp(m->place, s->proc->hello.place) == 0 &&
		    rendezvous_is_watcher(view, lstr_from(m->node)))
			require_connection(s, m, false);
	}
	if (record_peer != NULL)
		require_connection(s, record_peer, false);
	s->is_watcher = rendezvous_is_watcher(view, self);
}

/*
 * Sends due heartbeats, and closes connections that are unused or lead to
 * former members. Connections to seeds are closed once a configuration and
 * another member are known.
 */
void
syncd_peers_tick(struct syncd *s)
{
	int64_t now = syncd_now(s);
	GHashTableIter iter;
	gpointer value;

	if (now < s->next_heartbeat_at)
		return;
	s->next_heartbeat_at = now + s->settings.heartbeat_usec;
	g_hash_table_foreach_remove(s->outgoing, is_unused, s);
	g_hash_table_iter_init(&iter, s->outgoing);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_outgoing *out = value;
		struct syncd_origin origin = {.outgoing = out};

		if (view_find(membership_view(s->membership),
			lstr_from(out->node)) == NULL)
			g_hash_table_iter_remove(&iter);
		else if (out->heartbeat)
			send_heartbeat(s, &origin);
	}
	if (conf_revision(s->conf) > 0 &&
	    view_count(membership_view(s->membership)) > 1)
		g_ptr_array_set_size(s->seeds, 0);
}

/*
 * Opens connections to the seeds in the comma-separated setting.
 */
static void
open_seeds(struct syncd *s)
{
	char **addresses = g_strsplit(
	    s->settings.seed_peers ? s->settings.seed_peers : "", ",", 0);

	for (char **a = addresses; *a != NULL; a++) {
		struct syncd_outgoing *out =
		    **a != '\0' ? open_outgoing(s, NULL, *a) : NULL;

		if (out != NULL)
			g_ptr_array_add(s->seeds, out);
	}
	g_strfreev(addresses);
}

/*
 * Listens for frames and connects to the seeds.
 */
enum status
syncd_peers_open(struct syncd *s)
{
	static const struct link_ops callbacks = {
	    on_session_up, on_session_frame, on_session_down};

	s->sessions =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	s->outgoing =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, outgoing_free);
	s->seeds = g_ptr_array_new_with_free_func(outgoing_free);
	s->last_heartbeats =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	metric_register(&heartbeats);
	open_seeds(s);
	return link_listen(
	    &s->proc->links, s->settings.listen, &callbacks, s, &s->listener);
}

/*
 * Closes all connections without further callbacks.
 */
void
syncd_peers_close(struct syncd *s)
{
	GHashTableIter iter;
	gpointer value;

	link_listener_destroy(s->listener);
	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_session *session = value;

		link_detach(session->link);
		link_close(session->link, STATUS_CLOSED);
	}
	g_hash_table_destroy(s->sessions);
	g_hash_table_destroy(s->outgoing);
	g_ptr_array_free(s->seeds, TRUE);
	g_hash_table_destroy(s->last_heartbeats);
}
