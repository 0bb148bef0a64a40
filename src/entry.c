#include <stdlib.h>
#include <string.h>

#include "entry_priv.h"
#include "log.h"

#define ADDRESS_MAX 64
/*
 * A caller may send one more request on its connection right after a response;
 * a draining process waits this long for it before it exits.
 */
#define IDLE_BEFORE_EXIT_USEC (500 * LOOP_USEC_PER_MSEC)

/*
 * Sends the syncd the address of this entry, and whether the entry is ready or
 * leaving.
 */
static void
send_entry_state(struct entry *entry)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RoleState state = CH__ROLE_STATE__INIT;

	state.role = CH__ROLE__ROLE_ENTRY;
	state.address = entry->address;
	state.ready = entry_is_ready(entry);
	state.leaving = entry->proc->draining;
	state.boot = entry->proc->hello.boot;
	frame.kind_case = CH__FRAME__KIND_ROLE_STATE;
	frame.role_state = &state;
	syncd_client_send(entry->syncd_client, &frame);
}

/*
 * Handles a configuration from the syncd. The first one makes the entry ready.
 */
static void
on_config(const struct inv *inv, void *arg)
{
	struct entry *entry = arg;

	if (entry->has_configuration)
		return;
	entry->has_configuration = true;
	log_event(
	    EV_ENTRY_READY, "revision=%llu", (unsigned long long)inv->revision);
	send_entry_state(entry);
}

/*
 * Handles a changed view; the next tick rebuilds the entry's own view.
 */
static void
on_view(const struct view *view, void *arg)
{
	struct entry *entry = arg;

	(void)view;
	entry->view_changed = true;
}

/*
 * Does nothing: instance states are read whenever a replica is chosen.
 */
static void
on_instances(void *arg)
{
	(void)arg;
}

/*
 * Ignores all other messages of the syncd; none of them concerns an entry.
 */
static void
on_frame(const Ch__Frame *frame, void *arg)
{
	(void)frame;
	(void)arg;
}

/*
 * Sends the entry's state when the link to the syncd is established.
 */
static void
on_syncd_up(void *arg)
{
	send_entry_state(arg);
}

/*
 * Does nothing when the link to the syncd is lost: the last known configuration
 * and view remain in use.
 */
static void
on_syncd_down(void *arg)
{
	(void)arg;
}

static const struct syncd_client_ops syncd_client_callbacks = {
    on_config, on_view, on_instances, on_frame, on_syncd_up, on_syncd_down};

/*
 * Continues a drain: stops listening once no caller can hold a valid address
 * response that contains this entry, and stops the event loop when no request
 * has been open for IDLE_BEFORE_EXIT_USEC.
 */
static void
tick_drain(struct entry *entry, int64_t now)
{
	if (!entry->proc->draining || now < entry->stop_listening_at)
		return;
	if (entry->listening) {
		entry->listening = false;
		httpd_stop_listening(entry->httpd);
		log_event(EV_ENTRY_CLOSED, "open=%u",
		    httpd_open_requests(entry->httpd));
	}
	if (httpd_open_requests(entry->httpd) > 0)
		entry->idle_since = now;
	else if (now >= entry->idle_since + IDLE_BEFORE_EXIT_USEC)
		loop_stop(entry->proc->loop);
}

/*
 * Checks all requests and the drain periodically.
 */
static void
on_tick(void *arg)
{
	struct entry *entry = arg;
	int64_t now = loop_now(entry->proc->loop);

	entry_check_requests(entry, now);
	tick_drain(entry, now);
	loop_timer_set(entry->tick, now + ENTRY_TICK_USEC);
}

/*
 * Opens the port for callers and determines the address to publish.
 */
static enum status
open_http(struct entry *entry)
{
	const char *wanted = entry->config.http_address;
	const char *colon = strrchr(wanted, ':');
	enum status status = httpd_create(entry->proc->loop, wanted,
	    ENTRY_BODY_MAX_BYTES, &entry_http_ops, entry, &entry->httpd);

	if (status != STATUS_OK)
		return status;
	proc_limit_clients(entry->proc, entry->httpd);
	entry->listening = true;
	entry->address = g_strdup_printf(
	    "%.*s:%u", (int)(colon - wanted), wanted, httpd_port(entry->httpd));
	return STATUS_OK;
}

/*
 * Creates the components of an entry whose creation can fail.
 */
static enum status
create_components(struct entry *entry)
{
	struct proc *proc = entry->proc;
	enum status status = view_create(&entry->view);

	if (status == STATUS_OK)
		status = entry_routers_create(
		    &proc->links, &entry_router_ops, entry, &entry->routers);
	if (status == STATUS_OK)
		status = open_http(entry);
	if (status == STATUS_OK)
		status =
		    loop_timer_create(proc->loop, on_tick, entry, &entry->tick);
	if (status == STATUS_OK)
		status = syncd_client_create(&proc->links,
		    entry->config.syncd_address, &syncd_client_callbacks, entry,
		    &entry->syncd_client);
	return status;
}

/*
 * Creates an entry, opens its port for callers and connects to its syncd. The
 * process and the strings of the configuration must outlive the entry.
 */
enum status
entry_create(
    struct proc *proc, const struct entry_config *config, struct entry **out)
{
	struct entry *entry = calloc(1, sizeof(*entry));
	enum status status;

	if (entry == NULL)
		return status_set(STATUS_NO_MEMORY, "entry");
	entry->proc = proc;
	entry->config = *config;
	entry->random = g_rand_new_with_seed((guint32)proc->hello.boot);
	entry->requests = g_ptr_array_new();
	entry->submissions = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->outstanding =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	entry_http_register_metrics();
	entry_submit_register_metrics();
	status = create_components(entry);
	if (status != STATUS_OK) {
		entry_destroy(entry);
		return status;
	}
	loop_timer_set(entry->tick, 0);
	*out = entry;
	return STATUS_OK;
}

/*
 * Destroys an entry immediately; requests in progress are aborted.
 */
void
entry_destroy(struct entry *entry)
{
	if (entry == NULL)
		return;
	httpd_destroy(entry->httpd);
	entry_routers_destroy(entry->routers);
	syncd_client_destroy(entry->syncd_client);
	loop_timer_destroy(entry->tick);
	view_destroy(entry->view);
	g_hash_table_destroy(entry->submissions);
	g_hash_table_destroy(entry->outstanding);
	g_ptr_array_free(entry->requests, TRUE);
	g_rand_free(entry->random);
	g_free(entry->address);
	free(entry);
}

/*
 * Returns the "ip:port" that callers use.
 */
const char *
entry_address(const struct entry *entry)
{
	return entry->address;
}

/*
 * Returns true if the entry has a configuration and so accepts requests.
 */
bool
entry_is_ready(const struct entry *entry)
{
	return syncd_client_inventory(entry->syncd_client) != NULL;
}

/*
 * Starts a graceful shutdown. Callers may hold an address response that
 * contains this entry, so the entry keeps serving until all such responses have
 * expired. From now on each connection is closed after its response, so that
 * callers switch to another entry.
 */
void
entry_drain(struct entry *entry)
{
	int64_t now = loop_now(entry->proc->loop);

	entry->stop_listening_at =
	    now + entry->config.validity_usec + entry->config.drain_extra_usec;
	entry->idle_since = now;
	httpd_close_after_responses(entry->httpd);
	send_entry_state(entry);
}

/*
 * Returns the name of a stream state.
 */
static const char *
state_name(enum stream_state state)
{
	switch (state) {
	case STREAM_WAITING:
		return "waiting";
	case STREAM_CONNECTING:
		return "connecting";
	case STREAM_SENT:
		return "sent";
	case STREAM_ENDED:
		return "ended";
	}
	return "";
}

/*
 * Returns the table of open requests.
 */
static json_t *
dump_requests(const struct entry *entry)
{
	json_t *list = json_array();

	for (guint i = 0; i < entry->requests->len; i++) {
		const struct entry_request *r = entry->requests->pdata[i];
		const struct stream *s = r->stream;

		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s?,s:s,s:i,s:i,s:I}", "request",
			s->request_id, "organisation", s->organisation,
			"service", s->service, "replica", r->replica, "state",
			state_name(s->state), "submissions",
			(int)s->submissions, "delivered",
			(int)s->delivered->len, "deadline",
			(json_int_t)s->deadline));
	}
	return list;
}

/*
 * Returns the number of routers that are live and ready in this entry's view.
 */
static int
count_usable_routers(const struct entry *entry)
{
	int count = 0;

	for (size_t i = 0; i < view_count(entry->view); i++) {
		const struct view_member *member = view_at(entry->view, i);

		if (member->state == VIEW_LIVE && member->router_ready)
			count++;
	}
	return count;
}

/*
 * Returns the state of the entry as a new JSON reference.
 */
json_t *
entry_dump(struct entry *entry)
{
	return json_pack("{s:s,s:s,s:b,s:b,s:b,s:i,s:o,s:o,s:o}", "node",
	    entry->proc->hello.node, "address", entry->address, "ready",
	    (int)entry_is_ready(entry), "draining", (int)entry->proc->draining,
	    "listening", (int)entry->listening, "usable_routers",
	    count_usable_routers(entry), "local",
	    syncd_client_dump(entry->syncd_client), "routers",
	    entry_routers_dump(entry->routers), "requests",
	    dump_requests(entry));
}
