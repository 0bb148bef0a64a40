#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "syncd_priv.h"

#define MEMBER_PREFIX "member/"

/*
 * Updates the reachability of the key-value service from the result of a call.
 * A change is logged.
 */
void
syncd_kv_result(struct syncd *s, enum status status)
{
	bool up = status != STATUS_UNAVAILABLE && status != STATUS_AMBIGUOUS;

	if (up == membership_service_is_up(s->membership))
		return;
	log_event(
	    up ? EV_KV_UP : EV_KV_DOWN, "address=%s", s->settings.kv_address);
	if (up)
		membership_service_up(s->membership, syncd_now(s));
	else
		membership_service_down(s->membership);
}

/*
 * Writes the key of this node's membership entry into a buffer and returns it.
 */
static struct lstr
membership_key(const struct syncd *s, char key[SYNCD_KEY_MAX_BYTES])
{
	g_snprintf(
	    key, SYNCD_KEY_MAX_BYTES, MEMBER_PREFIX "%s", s->proc->hello.node);
	return lstr_from(key);
}

/*
 * Handles the result of a lease grant.
 */
static void
on_granted(const struct kv_result *result, void *arg)
{
	struct syncd *s = arg;

	syncd_kv_result(s, result->status);
	membership_grant_done(
	    s->membership, result->status, result->lease, syncd_now(s));
}

/*
 * Handles the result of a lease renewal.
 */
static void
on_renewed(const struct kv_result *result, void *arg)
{
	struct syncd *s = arg;

	syncd_kv_result(s, result->status);
	membership_renew_done(s->membership, result->status, syncd_now(s));
}

/*
 * Handles the result of writing this node's membership entry.
 */
static void
on_written(const struct kv_result *result, void *arg)
{
	struct syncd *s = arg;

	syncd_kv_result(s, result->status);
	membership_put_done(
	    s->membership, result->status, result->version, syncd_now(s));
	syncd_member_flush(s);
}

/*
 * Starts the call that is due for this node's membership entry.
 */
static void
start_membership_call(struct syncd *s)
{
	int64_t deadline = syncd_now(s) + SYNCD_KV_TIMEOUT_USEC;
	const struct view_member *self;
	char key[SYNCD_KEY_MAX_BYTES];
	char *text;

	switch (membership_next_call(s->membership, syncd_now(s))) {
	case MEMBERSHIP_GRANT:
		s->kv->vtable->lease_grant(
		    s->kv, s->settings.lease_usec, deadline, on_granted, s);
		break;
	case MEMBERSHIP_RENEW:
		s->kv->vtable->lease_renew(s->kv,
		    lstr_from(membership_lease(s->membership)), deadline,
		    on_renewed, s);
		break;
	case MEMBERSHIP_PUT:
		self = membership_self(s->membership);
		text = membership_entry_encode(self);
		s->kv->vtable->put(s->kv, membership_key(s, key),
		    lstr_from(text), membership_entry_version(s->membership),
		    lstr_from(membership_lease(s->membership)), deadline,
		    on_written, s);
		free(text);
		break;
	case MEMBERSHIP_NONE:
		break;
	}
}

/*
 * Applies the items returned by a list or watch call. Malformed entries are
 * ignored.
 */
static void
apply_items(struct syncd *s, const struct kv_result *result)
{
	int64_t now = syncd_now(s);

	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];
		struct lstr node = item->key;
		struct view_member entry;
		json_t *json = NULL;

		if (!lstr_starts_with(node, MEMBER_PREFIX))
			continue;
		node.data += strlen(MEMBER_PREFIX);
		node.len -= strlen(MEMBER_PREFIX);
		if (item->deleted) {
			membership_entry_deleted(s->membership, node, now);
		} else if (membership_entry_decode(
			       item->value, &json, &entry) == STATUS_OK &&
		    lstr_equal_c(node, entry.node)) {
			membership_entry_read(s->membership, &entry, now);
		}
		json_decref(json);
	}
}

/*
 * Delays the next call of a watch after a failed one.
 */
static void
delay_watch(struct syncd_watch *watch)
{
	watch->retry_at = syncd_now(watch->syncd) + SYNCD_RETRY_USEC;
}

/*
 * Handles one page of the list of members.
 */
static void
on_list(const struct kv_result *result, void *arg)
{
	struct syncd_watch *watch = arg;
	struct syncd *s = watch->syncd;

	watch->call_pending = false;
	syncd_kv_result(s, result->status);
	if (result->status != STATUS_OK) {
		watch->after_revision = 0;
		delay_watch(watch);
		return;
	}
	if (watch->after_revision == 0) {
		watch->after_revision = result->revision;
		membership_list_begin(s->membership);
	}
	apply_items(s, result);
	if (result->more && result->count > 0) {
		watch->call_pending = true;
		s->kv->vtable->list(s->kv, lstr_from(MEMBER_PREFIX),
		    result->items[result->count - 1].key,
		    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_list, watch);
		return;
	}
	membership_list_end(s->membership, syncd_now(s));
	watch->watching = true;
	syncd_member_flush(s);
}

/*
 * Handles the result of a watch on the members. If it has expired, the list is
 * read again.
 */
static void
on_watch(const struct kv_result *result, void *arg)
{
	struct syncd_watch *watch = arg;
	struct syncd *s = watch->syncd;

	watch->call_pending = false;
	if (result->status == STATUS_EXPIRED) {
		watch->watching = false;
		watch->after_revision = 0;
		return;
	}
	syncd_kv_result(s, result->status);
	if (result->status != STATUS_OK) {
		delay_watch(watch);
		return;
	}
	apply_items(s, result);
	watch->after_revision = result->revision;
	syncd_member_flush(s);
}

/*
 * Reads the list of members once, and watches it for changes while this node is
 * a watcher. A node that becomes a watcher reads the list again first.
 */
static void
run_watch(struct syncd *s)
{
	struct syncd_watch *watch = &s->membership_watch;
	int64_t now = syncd_now(s);

	if (watch->call_pending || now < watch->retry_at)
		return;
	if (!watch->watching) {
		watch->call_pending = true;
		watch->after_revision = 0;
		s->kv->vtable->list(s->kv, lstr_from(MEMBER_PREFIX),
		    lstr_from(""), now + SYNCD_KV_TIMEOUT_USEC, on_list, watch);
	} else if (s->is_watcher) {
		watch->call_pending = true;
		s->kv->vtable->watch(s->kv, lstr_from(MEMBER_PREFIX),
		    watch->after_revision, now + SYNCD_WATCH_USEC,
		    now + SYNCD_WATCH_TIMEOUT_USEC, on_watch, watch);
	}
}

/*
 * Runs the periodic work of the membership.
 */
void
syncd_member_tick(struct syncd *s)
{
	bool was_watcher = s->is_watcher;

	membership_tick(s->membership, syncd_now(s));
	syncd_member_flush(s);
	if (s->is_watcher && !was_watcher && !s->membership_watch.call_pending)
		s->membership_watch.watching = false;
	start_membership_call(s);
	run_watch(s);
}

/*
 * Sends a view message to the subscribers of this node.
 */
static void
send_to_subscribers(struct syncd *s, Ch__View *message)
{
	Ch__Frame frame = CH__FRAME__INIT;
	GHashTableIter iter;
	gpointer value;

	frame.kind_case = CH__FRAME__KIND_VIEW;
	frame.view = message;
	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_session *session = value;

		if (session->subscribed)
			link_send(session->link, &frame);
	}
}

/*
 * Sends pending changes to subscribers and other syncds, and updates the duties
 * of this node.
 */
void
syncd_member_flush(struct syncd *s)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__View *message = membership_take_changes(s->membership);

	frame.kind_case = CH__FRAME__KIND_VIEW;
	if (message != NULL) {
		bool was_watcher = s->is_watcher;

		send_to_subscribers(s, message);
		ch__view__free_unpacked(message, NULL);
		syncd_peers_update(s);
		if (s->is_watcher && !was_watcher &&
		    !s->membership_watch.call_pending)
			s->membership_watch.watching = false;
	}
	frame.view = membership_take_base_changes(s->membership);
	if (frame.view != NULL) {
		if (s->is_watcher)
			syncd_send_place(s, &frame);
		ch__view__free_unpacked(frame.view, NULL);
	}
	frame.view = membership_take_suspicions(s->membership);
	if (frame.view != NULL) {
		syncd_send_syncds(s, &frame, NULL);
		ch__view__free_unpacked(frame.view, NULL);
	}
}

/*
 * Sends the whole view: with suspicions to a subscriber, without them to a
 * syncd. The origin must be a session.
 */
void
syncd_member_send(const struct syncd_origin *to, bool subscriber)
{
	struct syncd *s = to->session->syncd;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__View *message = NULL;

	if (subscriber)
		view_to_message(membership_view(s->membership),
		    membership_view_version(s->membership), &message);
	else
		message = membership_base_message(s->membership);
	frame.kind_case = CH__FRAME__KIND_VIEW;
	frame.view = message;
	syncd_send(to, &frame);
	ch__view__free_unpacked(message, NULL);
}

/*
 * Updates this node's membership entry from the role state that an entry or a
 * router of this node announces.
 */
void
syncd_member_role_state(struct syncd *s, const Ch__RoleState *state)
{
	struct view_member self = *membership_self(s->membership);

	if (state->role == CH__ROLE__ROLE_ENTRY) {
		self.entry_address = state->address;
		self.entry_ready = state->ready && !state->leaving;
	} else if (state->role == CH__ROLE__ROLE_ROUTER) {
		self.router_address = state->address;
		self.router_ready = state->ready && !state->leaving;
		if (state->record_key.len == VIEW_RECORD_KEY_BYTES)
			memcpy(self.record_key, state->record_key.data,
			    VIEW_RECORD_KEY_BYTES);
	} else {
		return;
	}
	if (state->leaving)
		self.state = VIEW_LEAVING;
	else if (!s->draining)
		self.state = VIEW_LIVE;
	membership_set_self(s->membership, &self, syncd_now(s));
}

/*
 * Updates this node's membership entry after its entry or router process has
 * disconnected.
 */
void
syncd_member_role_closed(struct syncd *s, Ch__Role role)
{
	struct view_member self = *membership_self(s->membership);
	static char no_address[] = "";

	if (role == CH__ROLE__ROLE_ENTRY) {
		self.entry_address = no_address;
		self.entry_ready = false;
	} else {
		self.router_address = no_address;
		self.router_ready = false;
	}
	membership_set_self(s->membership, &self, syncd_now(s));
}

/*
 * Creates the membership state of this node.
 */
void
syncd_member_open(struct syncd *s)
{
	static char no_address[] = "";
	struct view_member self = {.node = s->proc->hello.node,
	    .place = s->proc->hello.place,
	    .region = s->proc->hello.region,
	    .boot = s->proc->hello.boot,
	    .state = VIEW_LIVE,
	    .entry_address = no_address,
	    .router_address = no_address,
	    .syncd_address = s->frames_address};

	s->membership = membership_create(&self, s->settings.lease_usec);
	s->membership_watch.syncd = s;
}
