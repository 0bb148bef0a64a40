#include <string.h>

#include "syncd_priv.h"

#define LIST_POLL_USEC (1 * LOOP_USEC_PER_SEC)
/*
 * Validity of a router's report unless it is repeated. The list may be out of
 * date, so an instance listed as "live" does not cancel a report.
 */
#define REPORT_VALIDITY_USEC (120 * LOOP_USEC_PER_SEC)
#define SOURCE_LIST "list"

static struct metric leaving_known = {"chestnuthoist_instances_leaving", "",
    "Instances known to be leaving.", METRIC_GAUGE, 0, NULL};

/*
 * Adds one leaving instance to a message; the item points to the name.
 */
static void
add_item(GPtrArray *items, const char *name)
{
	Ch__Instance *item = g_new(Ch__Instance, 1);

	ch__instance__init(item);
	item->name = (char *)name;
	item->leaving = true;
	g_ptr_array_add(items, item);
}

/*
 * Collects the leaving instances: those in the list and, unless list_only,
 * those reported by routers.
 */
static GPtrArray *
collect(struct syncd *s, bool list_only)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, s->list_leaving);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		add_item(items, name);
	g_hash_table_iter_init(&iter, s->router_leaving);
	while (!list_only && g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(s->list_leaving, name))
			add_item(items, name);
	}
	return items;
}

/*
 * Fills a frame with a message of the leaving instances.
 */
static void
init_message(
    Ch__Frame *frame, Ch__Instances *message, GPtrArray *items, bool whole)
{
	message->source = (char *)SOURCE_LIST;
	message->whole = whole;
	message->n_items = items->len;
	message->items = (Ch__Instance **)items->pdata;
	frame->kind_case = CH__FRAME__KIND_INSTANCES;
	frame->instances = message;
}

/*
 * Sends the leaving instances to a subscriber, or those in the list to a syncd.
 */
void
syncd_instances_send(struct syncd *s, const struct syncd_origin *to)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Instances message = CH__INSTANCES__INIT;
	GPtrArray *items = collect(
	    s, to->session && to->session->role == CH__ROLE__ROLE_SYNCD);

	init_message(&frame, &message, items, true);
	syncd_send(to, &frame);
	g_ptr_array_free(items, TRUE);
}

/*
 * Sends the leaving instances to the subscribers of this node.
 */
static void
notify_subscribers(struct syncd *s)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Instances message = CH__INSTANCES__INIT;
	GPtrArray *items = collect(s, false);
	GHashTableIter iter;
	gpointer value;

	leaving_known.value = items->len;
	init_message(&frame, &message, items, true);
	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_session *session = value;

		if (session->subscribed)
			link_send(session->link, &frame);
	}
	g_ptr_array_free(items, TRUE);
}

/*
 * Replaces the leaving instances of the list; returns whether they changed.
 */
static bool
replace_list(struct syncd *s, GHashTable *names)
{
	bool same =
	    g_hash_table_size(names) == g_hash_table_size(s->list_leaving);
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, names);
	while (same && g_hash_table_iter_next(&iter, &name, NULL))
		same = g_hash_table_contains(s->list_leaving, name);
	g_hash_table_destroy(s->list_leaving);
	s->list_leaving = names;
	return !same;
}

/*
 * Handles the result of polling the list: forwards a change to the syncds of
 * this data centre and to subscribers.
 */
static void
on_list(const struct instance_list_result *result, void *arg)
{
	struct syncd *s = arg;
	GHashTable *names;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Instances message = CH__INSTANCES__INIT;
	GPtrArray *items;

	if (result->status != STATUS_OK)
		return;
	names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i < result->count; i++) {
		if (result->items[i].leaving)
			g_hash_table_add(names,
			    g_strndup(result->items[i].name.data,
				result->items[i].name.len));
	}
	if (!replace_list(s, names))
		return;
	items = collect(s, true);
	init_message(&frame, &message, items, true);
	syncd_send_place(s, &frame);
	g_ptr_array_free(items, TRUE);
	notify_subscribers(s);
}

/*
 * Applies the list as forwarded by a watcher of the data centre. A watcher
 * ignores it.
 */
static void
apply_forwarded_list(struct syncd *s, const Ch__Instances *message)
{
	GHashTable *names;

	if (s->is_watcher || !message->whole)
		return;
	names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i < message->n_items && i < INSTANCE_LIST_ITEMS_MAX;
	     i++) {
		if (message->items[i]->leaving)
			g_hash_table_add(
			    names, g_strdup(message->items[i]->name));
	}
	if (replace_list(s, names))
		notify_subscribers(s);
}

/*
 * Adds or renews a router's report. Returns whether it should be forwarded,
 * which is so if it extends the validity by at least half.
 */
static bool
add_report(struct syncd *s, const char *name)
{
	int64_t now = syncd_now(s);
	int64_t *until = g_hash_table_lookup(s->router_leaving, name);

	if (until != NULL && *until - now > REPORT_VALIDITY_USEC / 2)
		return false;
	if (until == NULL) {
		if (g_hash_table_size(s->router_leaving) >=
		    INSTANCE_LIST_ITEMS_MAX)
			return false;
		until = g_new(int64_t, 1);
		g_hash_table_insert(s->router_leaving, g_strdup(name), until);
	}
	*until = now + REPORT_VALIDITY_USEC;
	return true;
}

/*
 * Handles instance states, either the list from a watcher or a report from a
 * router. New reports of routers are forwarded to all connected syncds.
 */
void
syncd_instances_receive(struct syncd *s, const struct syncd_origin *from,
    const Ch__Instances *message)
{
	Ch__Frame frame = CH__FRAME__INIT;
	bool changed = false;
	bool forward = false;

	if (strcmp(message->source, SOURCE_LIST) == 0) {
		if (from->session == NULL || !from->session->local)
			apply_forwarded_list(s, message);
		return;
	}
	for (size_t i = 0; i < message->n_items; i++) {
		const Ch__Instance *item = message->items[i];
		bool known =
		    g_hash_table_contains(s->router_leaving, item->name);

		if (item->leaving) {
			forward |= add_report(s, item->name);
			changed |= !known;
		} else if (from->session != NULL && from->session->local) {
			changed |=
			    g_hash_table_remove(s->router_leaving, item->name);
		}
	}
	if (forward) {
		frame.kind_case = CH__FRAME__KIND_INSTANCES;
		frame.instances = (Ch__Instances *)message;
		syncd_send_syncds(s, &frame, from);
	}
	if (changed)
		notify_subscribers(s);
}

/*
 * Polls the list while this node is a watcher, and expires reports of routers.
 */
void
syncd_instances_tick(struct syncd *s)
{
	int64_t now = syncd_now(s);
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	if (now < s->list_poll_at)
		return;
	s->list_poll_at = now + LIST_POLL_USEC;
	metric_register(&leaving_known);
	if (s->instance_list != NULL && s->is_watcher)
		s->instance_list->vtable->poll(
		    s->instance_list, now + SYNCD_KV_TIMEOUT_USEC, on_list, s);
	g_hash_table_iter_init(&iter, s->router_leaving);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (*(int64_t *)value > now)
			continue;
		g_hash_table_iter_remove(&iter);
		changed = true;
	}
	if (changed)
		notify_subscribers(s);
}
