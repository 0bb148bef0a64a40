#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "syncd_priv.h"

/*
 * How long a stop waits for the key-value service; a router waits as long for
 * the syncd. Without a limit, an outage would keep a node from stopping until
 * it ends.
 */
#define DRAIN_STORE_USEC (10 * LOOP_USEC_PER_SEC)

/*
 * Returns the current time in microseconds since the epoch.
 */
int64_t
syncd_now(const struct syncd *s)
{
	return loop_now(s->loop);
}

/*
 * Handles the result of deleting this node's key and stops the event loop. If
 * the deletion failed, the entry is removed when its lease expires.
 */
static void
on_removed(const struct kv_result *result, void *arg)
{
	struct syncd *s = arg;

	(void)result;
	loop_stop(s->loop);
}

/*
 * Returns whether a draining process may stop: no values are waiting to be
 * stored, or the time limit has passed. Values still waiting are lost here; the
 * copies of this node's record are held by its record peer.
 */
static bool
drain_is_done(struct syncd *s)
{
	size_t waiting = s->stores.length + s->outcomes.length;

	if (waiting == 0)
		return true;
	if (s->drain_deadline == 0)
		s->drain_deadline = syncd_now(s) + DRAIN_STORE_USEC;
	if (syncd_now(s) < s->drain_deadline)
		return false;
	log_event(EV_STOPPED_UNSTORED, "values=%zu", waiting);
	return true;
}

/*
 * Stops a draining process once the other processes of this node have
 * disconnected and its values are stored. This node's key is deleted first.
 */
static void
drain_tick(struct syncd *s)
{
	char key[SYNCD_KEY_MAX_BYTES];

	if (!s->draining || s->removed_self || syncd_has_local_session(s) ||
	    !drain_is_done(s))
		return;
	s->removed_self = true;
	g_snprintf(key, sizeof(key), "member/%s", s->proc->hello.node);
	s->kv->vtable->remove(s->kv, lstr_from(key),
	    membership_entry_version(s->membership),
	    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_removed, s);
}

/*
 * Runs the periodic work of all modules.
 */
static void
on_tick(void *arg)
{
	struct syncd *s = arg;

	if (!s->removed_self)
		syncd_member_tick(s);
	syncd_config_tick(s);
	syncd_peers_tick(s);
	syncd_claims_tick(s);
	syncd_records_tick(s);
	syncd_instances_tick(s);
	syncd_http_tick(s);
	drain_tick(s);
	if (!s->ready_logged && syncd_ready(s)) {
		s->ready_logged = true;
		log_event(EV_SYNCD_READY, "revision=%llu members=%zu",
		    (unsigned long long)conf_revision(s->conf),
		    view_count(membership_view(s->membership)));
	}
	loop_timer_set(s->timer, syncd_now(s) + SYNCD_TICK_USEC);
}

/*
 * Builds the address that other nodes connect to: the listening address with
 * the port chosen by the kernel.
 */
static enum status
format_frames_address(struct syncd *s)
{
	char *host = NULL;
	uint16_t port;
	enum status status =
	    settings_split_address(s->settings.listen, &host, &port);

	if (status != STATUS_OK)
		return status;
	g_snprintf(s->frames_address, sizeof(s->frames_address),
	    strchr(host, ':') ? "[%s]:%u" : "%s:%u", host,
	    link_listener_port(s->listener));
	free(host);
	return STATUS_OK;
}

/*
 * Creates the clients of the platform services.
 */
static enum status
open_clients(struct syncd *s)
{
	enum status status = fetch_create(s->loop, &s->fetch);

	if (status == STATUS_OK)
		status = kv_http_create(
		    s->loop, s->fetch, s->settings.kv_address, &s->kv);
	if (status == STATUS_OK && s->settings.list_address != NULL)
		status = instance_list_http_create(s->loop, s->fetch,
		    s->settings.list_address, &s->instance_list);
	return status;
}

/*
 * Creates all modules in the order of their dependencies.
 */
static enum status
open_all(struct syncd *s)
{
	enum status status = open_clients(s);

	s->conf = conf_create();
	s->list_leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->router_leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (status == STATUS_OK)
		status = syncd_peers_open(s);
	if (status == STATUS_OK)
		status = format_frames_address(s);
	if (status == STATUS_OK)
		syncd_member_open(s);
	if (status == STATUS_OK)
		status = syncd_claims_open(s);
	if (status == STATUS_OK)
		status = syncd_records_open(s);
	if (status == STATUS_OK)
		status = syncd_http_open(s);
	if (status == STATUS_OK)
		status = loop_timer_create(s->loop, on_tick, s, &s->timer);
	return status;
}

/*
 * Creates the syncd on an event loop that is not running yet. The strings in
 * the settings must outlive it.
 */
enum status
syncd_create(struct proc *proc, const struct syncd_settings *settings,
    struct syncd **out)
{
	struct syncd *s = g_new0(struct syncd, 1);
	enum status status;

	s->proc = proc;
	s->loop = proc->loop;
	s->settings = *settings;
	status = open_all(s);
	if (status != STATUS_OK) {
		/* The process exits immediately, which frees the rest. */
		g_free(s);
		return status;
	}
	loop_timer_set(s->timer, 0);
	*out = s;
	return STATUS_OK;
}

/*
 * Stops and frees the syncd; NULL is ignored.
 */
void
syncd_destroy(struct syncd *s)
{
	if (s == NULL)
		return;
	loop_timer_destroy(s->timer);
	s->kv->vtable->destroy(s->kv);
	if (s->instance_list != NULL)
		s->instance_list->vtable->destroy(s->instance_list);
	syncd_config_close(s);
	syncd_http_close(s);
	syncd_peers_close(s);
	syncd_claims_close(s);
	syncd_records_close(s);
	fetch_destroy(s->fetch);
	membership_destroy(s->membership);
	conf_destroy(s->conf);
	g_hash_table_destroy(s->list_leaving);
	g_hash_table_destroy(s->router_leaving);
	/* Closed links are freed in the next loop iteration. */
	loop_run_once(s->loop, syncd_now(s));
	g_free(s);
}

/*
 * Returns the port on which frames are accepted.
 */
uint16_t
syncd_frames_port(const struct syncd *s)
{
	return link_listener_port(s->listener);
}

/*
 * Returns the port of the operators' HTTP API.
 */
uint16_t
syncd_operator_port(const struct syncd *s)
{
	return httpd_port(s->httpd);
}

/*
 * Returns the state of the syncd for the state dump, as a new reference.
 */
json_t *
syncd_dump(void *arg)
{
	const struct syncd *s = arg;
	json_t *peers = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->outgoing);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct syncd_outgoing *out = value;

		json_array_append_new(peers,
		    json_pack("{s:s, s:s, s:b, s:b, s:b}", "node", out->node,
			"address", peer_address(out->peer), "up",
			peer_is_up(out->peer), "wanted", out->required,
			"heartbeat", out->heartbeat));
	}
	return json_pack(
	    "{s:s, s:b, s:b, s:o, s:o, s:o, s:o, s:i, s:i, s:i, s:i, s:i, "
	    "s:I}",
	    "node", s->proc->hello.node, "watcher", s->is_watcher, "draining",
	    s->draining, "membership", membership_dump(s->membership),
	    "configuration", conf_dump(s->conf), "buckets",
	    claim_dump(s->claim), "peers", peers, "sessions",
	    (int)g_hash_table_size(s->sessions), "claim_forwards",
	    (int)g_hash_table_size(s->forwards), "claim_outcomes",
	    (int)s->outcomes.length, "record_stores", (int)s->stores.length,
	    "leaving_instances",
	    (int)(g_hash_table_size(s->list_leaving) +
		g_hash_table_size(s->router_leaving)),
	    "record_copies_bytes", (json_int_t)rec_copies_bytes(s->copies));
}

/*
 * Returns whether a configuration is active and the view has members.
 */
bool
syncd_ready(void *arg)
{
	const struct syncd *s = arg;

	return conf_revision(s->conf) > 0 &&
	    view_count(membership_view(s->membership)) > 0;
}

/*
 * Starts draining: the node is announced as leaving, and the process stops when
 * the other processes of the node have disconnected and all values are stored.
 */
void
syncd_drain(void *arg)
{
	struct syncd *s = arg;
	struct view_member self = *membership_self(s->membership);

	s->draining = true;
	self.state = VIEW_LEAVING;
	membership_set_self(s->membership, &self, syncd_now(s));
	syncd_member_flush(s);
}
