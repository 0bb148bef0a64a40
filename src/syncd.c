#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "syncd_priv.h"

/*
 * Wait for the key-value service at a stop, as long as a router waits for the
 * syncd. Without a bound, an outage would keep a stopped node for its length.
 */
#define DRAIN_STORE_USEC (10 * LOOP_USEC_PER_SEC)

/*
 * Returns the present time in microseconds since the epoch.
 */
int64_t
syncd_now(const struct syncd *s)
{
	return loop_now(s->loop);
}

/*
 * Takes the answer to the deletion of the own key; whatever it is, the lease
 * ends the entry.
 */
static void
on_removed(const struct kv_result *result, void *arg)
{
	struct syncd *s = arg;

	(void)result;
	loop_stop(s->loop);
}

/*
 * Tells whether a draining process may end: nothing waits to be stored, or
 * the time for it is over. What then waits is lost here; the copies of this
 * node's record are held by its peer.
 */
static bool
drain_is_over(struct syncd *s)
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
 * Ends a draining process once the processes of this node are gone and its
 * values are stored. The own key is deleted first.
 */
static void
drain_tick(struct syncd *s)
{
	char key[SYNCD_KEY_MAX_BYTES];

	if (!s->draining || s->removed_self || syncd_has_local(s) ||
	    !drain_is_over(s))
		return;
	s->removed_self = true;
	g_snprintf(key, sizeof(key), "member/%s", s->proc->hello.node);
	s->kv->vtable->remove(s->kv, lstr_from(key), member_version(s->member),
	    syncd_now(s) + SYNCD_KV_CALL_USEC, on_removed, s);
}

/*
 * Does what is due in all parts.
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
		    view_count(member_view(s->member)));
	}
	loop_timer_set(s->timer, syncd_now(s) + SYNCD_TICK_USEC);
}

/*
 * Composes the address that other nodes use: the listening address with the
 * port that the kernel chose.
 */
static enum status
compose_address(struct syncd *s)
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
 * Creates the clients of the platform.
 */
static enum status
open_clients(struct syncd *s)
{
	enum status status = fetch_create(s->loop, &s->fetch);

	if (status == STATUS_OK)
		status = kv_http_create(
		    s->loop, s->fetch, s->settings.kv_address, &s->kv);
	if (status == STATUS_OK && s->settings.list_address != NULL)
		status = inst_http_create(
		    s->loop, s->fetch, s->settings.list_address, &s->inst);
	return status;
}

/*
 * Opens everything, in the order of dependence.
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
		status = compose_address(s);
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
 * Creates the process's work on an event loop that is not running yet. The
 * settings' texts must outlive it.
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
		/* The process ends at once; the system takes the rest. */
		g_free(s);
		return status;
	}
	loop_timer_set(s->timer, 0);
	*out = s;
	return STATUS_OK;
}

/*
 * Closes everything.
 */
void
syncd_destroy(struct syncd *s)
{
	if (s == NULL)
		return;
	loop_timer_destroy(s->timer);
	s->kv->vtable->destroy(s->kv);
	if (s->inst != NULL)
		s->inst->vtable->destroy(s->inst);
	syncd_config_close(s);
	syncd_http_close(s);
	syncd_peers_close(s);
	syncd_claims_close(s);
	syncd_records_close(s);
	fetch_destroy(s->fetch);
	member_destroy(s->member);
	conf_destroy(s->conf);
	g_hash_table_destroy(s->list_leaving);
	g_hash_table_destroy(s->router_leaving);
	/* Closed links are freed in the next round. */
	loop_run_once(s->loop, syncd_now(s));
	g_free(s);
}

/*
 * Returns the port for frames.
 */
uint16_t
syncd_frames_port(const struct syncd *s)
{
	return link_listener_port(s->listener);
}

/*
 * Returns the port for operators.
 */
uint16_t
syncd_operator_port(const struct syncd *s)
{
	return httpd_port(s->httpd);
}

/*
 * Returns the state for the dump as a new reference.
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
			peer_is_up(out->peer), "wanted", out->wanted,
			"heartbeat", out->heartbeat));
	}
	return json_pack(
	    "{s:s, s:b, s:b, s:o, s:o, s:o, s:o, s:i, s:i, s:i, s:i, s:i, "
	    "s:I}",
	    "node", s->proc->hello.node, "watcher", s->is_watcher, "draining",
	    s->draining, "membership", member_dump(s->member), "configuration",
	    conf_dump(s->conf), "buckets", claim_dump(s->claim), "peers", peers,
	    "sessions", (int)g_hash_table_size(s->sessions), "claim_forwards",
	    (int)g_hash_table_size(s->forwards), "claim_outcomes",
	    (int)s->outcomes.length, "record_stores", (int)s->stores.length,
	    "leaving_instances",
	    (int)(g_hash_table_size(s->list_leaving) +
		g_hash_table_size(s->router_leaving)),
	    "record_copies_bytes", (json_int_t)rec_copies_bytes(s->copies));
}

/*
 * Tells whether a configuration and a view are known.
 */
bool
syncd_ready(void *arg)
{
	const struct syncd *s = arg;

	return conf_revision(s->conf) > 0 &&
	    view_count(member_view(s->member)) > 0;
}

/*
 * Begins to leave: the node is announced as leaving, and the process stops
 * when the node's other processes are gone and all is stored.
 */
void
syncd_drain(void *arg)
{
	struct syncd *s = arg;
	struct view_member self = *member_self(s->member);

	s->draining = true;
	self.state = VIEW_LEAVING;
	member_set_self(s->member, &self, syncd_now(s));
	syncd_member_flush(s);
}
