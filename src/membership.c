#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "membership_priv.h"

struct suspicion {
	int64_t until;
};

/*
 * Creates a set of strings that owns its elements.
 */
static GHashTable *
name_set_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Returns a NUL-terminated copy of a name, which the caller frees with
 * g_free().
 */
static char *
dup_name(struct lstr node)
{
	return g_strndup(node.data, node.len);
}

/*
 * Creates the membership state of a node from its own entry and the duration of
 * its lease in microseconds.
 */
struct membership *
membership_create(const struct view_member *self, int64_t lease_usec)
{
	struct membership *m = g_new0(struct membership, 1);
	bool changed;

	m->node = g_strdup(self->node);
	m->lease_usec = lease_usec;
	if (view_create(&m->base) != STATUS_OK ||
	    view_create(&m->effective) != STATUS_OK ||
	    view_create(&m->self) != STATUS_OK)
		g_error("out of memory");
	view_put(m->self, self, &changed);
	m->suspicions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->deferred_removals = name_set_create();
	m->changed = name_set_create();
	m->base_changed = name_set_create();
	m->unsent_suspicions = name_set_create();
	m->put_needed = true;
	return m;
}

/*
 * Frees the membership state; NULL is ignored.
 */
void
membership_destroy(struct membership *m)
{
	if (m == NULL)
		return;
	view_destroy(m->base);
	view_destroy(m->effective);
	view_destroy(m->self);
	g_hash_table_destroy(m->suspicions);
	g_hash_table_destroy(m->deferred_removals);
	g_hash_table_destroy(m->changed);
	g_hash_table_destroy(m->base_changed);
	g_hash_table_destroy(m->unsent_suspicions);
	if (m->listed != NULL)
		g_hash_table_destroy(m->listed);
	g_free(m->node);
	g_free(m);
}

/*
 * Recomputes the effective state of a node after its entry or its suspicion has
 * changed.
 */
static void
update_effective(struct membership *m, const char *node)
{
	const struct view_member *base = view_find(m->base, lstr_from(node));
	struct view_member copy;
	bool changed = false;

	if (base == NULL) {
		changed = view_remove(m->effective, lstr_from(node));
	} else {
		copy = *base;
		if (g_hash_table_contains(m->suspicions, node))
			copy.state = VIEW_SUSPECTED;
		view_put(m->effective, &copy, &changed);
	}
	if (!changed)
		return;
	m->version++;
	g_hash_table_add(m->changed, g_strdup(node));
}

/*
 * Adds or replaces an entry of the key-value service. A new boot clears the
 * suspicion of the previous one.
 */
void
membership_put_entry(struct membership *m, const struct view_member *entry)
{
	const struct view_member *old =
	    view_find(m->base, lstr_from(entry->node));
	bool new_boot = old == NULL || old->boot != entry->boot;
	bool changed = false;

	view_put(m->base, entry, &changed);
	if (!changed)
		return;
	if (new_boot)
		g_hash_table_remove(m->suspicions, entry->node);
	g_hash_table_add(m->base_changed, g_strdup(entry->node));
	update_effective(m, entry->node);
}

/*
 * Removes a node's entry and its suspicion.
 */
static void
remove_entry(struct membership *m, const char *node)
{
	if (!view_remove(m->base, lstr_from(node)))
		return;
	g_hash_table_remove(m->suspicions, node);
	g_hash_table_add(m->base_changed, g_strdup(node));
	update_effective(m, node);
}

/*
 * Updates this node's membership entry; a changed entry is written to the key-
 * value service.
 */
void
membership_set_self(
    struct membership *m, const struct view_member *self, int64_t now)
{
	bool changed = false;

	assert(strcmp(self->node, m->node) == 0);
	view_put(m->self, self, &changed);
	if (!changed)
		return;
	m->put_needed = true;
	m->put_changed = true;
	m->retry_at = now;
	if (view_find(m->base, lstr_from(m->node)) != NULL)
		membership_put_entry(m, view_at(m->self, 0));
}

/*
 * Starts a full listing of the members in the key-value service.
 */
void
membership_list_begin(struct membership *m)
{
	if (m->listed != NULL)
		g_hash_table_destroy(m->listed);
	m->listed = name_set_create();
}

/*
 * Handles a member read from the key-value service. This node's own entry is
 * ignored, because it may be from an earlier boot.
 */
void
membership_entry_read(
    struct membership *m, const struct view_member *entry, int64_t now)
{
	(void)now;
	if (m->listed != NULL)
		g_hash_table_add(m->listed, g_strdup(entry->node));
	g_hash_table_remove(m->deferred_removals, entry->node);
	if (strcmp(entry->node, m->node) != 0)
		membership_put_entry(m, entry);
}

/*
 * Handles the deletion of a member's key. After an outage all leases may have
 * expired at once, so members that are not suspected are kept until the grace
 * period ends.
 */
void
membership_entry_deleted(struct membership *m, struct lstr node, int64_t now)
{
	char *name = dup_name(node);

	if (strcmp(name, m->node) == 0) {
		/* Written again as a new entry. */
		m->stored_version = 0;
		m->put_needed = true;
	} else if (now < m->grace_until &&
	    !g_hash_table_contains(m->suspicions, name)) {
		g_hash_table_add(m->deferred_removals, g_strdup(name));
	} else {
		remove_entry(m, name);
	}
	g_free(name);
}

/*
 * Ends a full listing: members that it did not contain are removed.
 */
void
membership_list_end(struct membership *m, int64_t now)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);

	if (m->listed == NULL)
		return;
	for (size_t i = 0; i < view_count(m->base); i++) {
		const char *node = view_at(m->base, i)->node;

		if (!g_hash_table_contains(m->listed, node))
			g_ptr_array_add(missing, g_strdup(node));
	}
	for (guint i = 0; i < missing->len; i++)
		membership_entry_deleted(m, lstr_from(missing->pdata[i]), now);
	g_ptr_array_free(missing, TRUE);
	g_hash_table_destroy(m->listed);
	m->listed = NULL;
}

/*
 * Records that the key-value service is unreachable.
 */
void
membership_service_down(struct membership *m)
{
	m->outage_seen = true;
	m->service_up = false;
}

/*
 * Records that the key-value service is reachable. After an outage, this starts
 * the grace period.
 */
void
membership_service_up(struct membership *m, int64_t now)
{
	if (m->outage_seen)
		m->grace_until = now + MEMBERSHIP_GRACE_USEC;
	m->outage_seen = false;
	m->service_up = true;
}

/*
 * Raises or renews a suspicion. It is forwarded only if that extends it by at
 * least half of its duration, so that syncds do not keep forwarding it to each
 * other.
 */
static void
suspect(struct membership *m, const char *node, int64_t now)
{
	struct suspicion *s = g_hash_table_lookup(m->suspicions, node);

	if (strcmp(node, m->node) == 0 ||
	    view_find(m->base, lstr_from(node)) == NULL ||
	    (s != NULL && s->until - now > MEMBERSHIP_SUSPICION_USEC / 2))
		return;
	if (s == NULL) {
		s = g_new0(struct suspicion, 1);
		g_hash_table_insert(m->suspicions, g_strdup(node), s);
	}
	s->until = now + MEMBERSHIP_SUSPICION_USEC;
	g_hash_table_add(m->unsent_suspicions, g_strdup(node));
	update_effective(m, node);
	if (g_hash_table_remove(m->deferred_removals, node))
		remove_entry(m, node);
}

/*
 * Handles a sign of life of a node: clears its suspicion on this syncd. On
 * other syncds the suspicion expires if it is not renewed.
 */
void
membership_node_alive(struct membership *m, struct lstr node, int64_t now)
{
	char *name = dup_name(node);

	(void)now;
	if (g_hash_table_remove(m->suspicions, name))
		update_effective(m, name);
	g_free(name);
}

/*
 * Handles a failed probe of a node over a new connection: the node becomes
 * suspected.
 */
void
membership_probe_failed(struct membership *m, struct lstr node, int64_t now)
{
	char *name = dup_name(node);

	suspect(m, name, now);
	g_free(name);
}

/*
 * Adds or replaces a member received from another syncd.
 */
static void
apply_member(struct membership *m, const Ch__Member *from, int64_t now)
{
	struct view_member entry = {.node = from->node,
	    .place = from->place,
	    .region = from->region,
	    .boot = from->boot,
	    .state = from->state == CH__NODE_STATE__NODE_STATE_LEAVING
		? VIEW_LEAVING
		: VIEW_LIVE,
	    .entry_address = from->entry_address,
	    .router_address = from->router_address,
	    .syncd_address = from->syncd_address,
	    .entry_ready = from->entry_ready,
	    .router_ready = from->router_ready};

	if (from->record_key.len == VIEW_RECORD_KEY_BYTES)
		memcpy(entry.record_key, from->record_key.data,
		    VIEW_RECORD_KEY_BYTES);
	membership_entry_read(m, &entry, now);
}

/*
 * Applies a message from another syncd: suspicions, and entries that a watcher
 * of the data centre read from the key-value service. A whole view also removes
 * the members that it does not contain.
 */
void
membership_apply_message(
    struct membership *m, const Ch__View *message, int64_t now)
{
	if (message->whole)
		membership_list_begin(m);
	for (size_t i = 0; i < message->n_members; i++) {
		const Ch__Member *from = message->members[i];

		if (from->node[0] == '\0')
			continue;
		if (from->state == CH__NODE_STATE__NODE_STATE_SUSPECTED)
			suspect(m, from->node, now);
		else
			apply_member(m, from, now);
	}
	for (size_t i = 0; i < message->n_removed; i++)
		membership_entry_deleted(
		    m, lstr_from(message->removed[i]), now);
	if (message->whole)
		membership_list_end(m, now);
}

/*
 * Expires suspicions, and removes the deferred nodes when the grace period has
 * ended.
 */
void
membership_tick(struct membership *m, int64_t now)
{
	GPtrArray *pending = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, m->suspicions);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (((struct suspicion *)value)->until > now)
			continue;
		g_ptr_array_add(pending, g_strdup(name));
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < pending->len; i++)
		update_effective(m, pending->pdata[i]);
	g_ptr_array_set_size(pending, 0);
	if (now >= m->grace_until) {
		g_hash_table_iter_init(&iter, m->deferred_removals);
		while (g_hash_table_iter_next(&iter, &name, NULL))
			g_ptr_array_add(pending, g_strdup(name));
		g_hash_table_remove_all(m->deferred_removals);
	}
	for (guint i = 0; i < pending->len; i++)
		remove_entry(m, pending->pdata[i]);
	g_ptr_array_free(pending, TRUE);
}

/*
 * Returns the view with suspicions applied. It is valid as long as the
 * membership state.
 */
const struct view *
membership_view(const struct membership *m)
{
	return m->effective;
}

/*
 * Returns the version of the effective view, which grows with each change.
 */
uint64_t
membership_view_version(const struct membership *m)
{
	return m->version;
}

/*
 * Returns whether the key-value service was reachable at the last call.
 */
bool
membership_service_is_up(const struct membership *m)
{
	return m->service_up;
}

/*
 * Builds a message from the members of a view that are in a set, and empties
 * the set. Names that are not in the view are listed as removed, unless only
 * suspected members are requested. Returns NULL if there is nothing to send.
 */
static Ch__View *
take_message(struct membership *m, const struct view *view, GHashTable *pending,
    bool suspected_only)
{
	Ch__View *message = NULL;
	size_t kept = 0;
	GHashTableIter iter;
	gpointer name;

	if (g_hash_table_size(pending) == 0)
		return NULL;
	view_to_message(view, m->version, &message);
	message->whole = false;
	for (size_t i = 0; i < message->n_members; i++) {
		Ch__Member *item = message->members[i];

		if (g_hash_table_remove(pending, item->node) &&
		    (!suspected_only ||
			item->state == CH__NODE_STATE__NODE_STATE_SUSPECTED))
			message->members[kept++] = item;
		else
			ch__member__free_unpacked(item, NULL);
	}
	message->n_members = kept;
	if (!suspected_only) {
		message->removed =
		    calloc(g_hash_table_size(pending) + 1, sizeof(char *));
		if (message->removed == NULL)
			g_error("out of memory");
		g_hash_table_iter_init(&iter, pending);
		while (g_hash_table_iter_next(&iter, &name, NULL))
			message->removed[message->n_removed++] = strdup(name);
	}
	g_hash_table_remove_all(pending);
	if (message->n_members > 0 || message->n_removed > 0)
		return message;
	ch__view__free_unpacked(message, NULL);
	return NULL;
}

/*
 * Returns the pending changes for the subscribers of this node and clears them,
 * or NULL if there are none. The caller frees the message with
 * ch__view__free_unpacked().
 */
Ch__View *
membership_take_changes(struct membership *m)
{
	return take_message(m, m->effective, m->changed, false);
}

/*
 * Returns the pending changes that a watcher pushes to the syncds of its data
 * centre and clears them, or NULL if there are none. The caller frees the
 * message with ch__view__free_unpacked().
 */
Ch__View *
membership_take_base_changes(struct membership *m)
{
	return take_message(m, m->base, m->base_changed, false);
}

/*
 * Returns the pending suspicions to forward to other syncds and clears them, or
 * NULL if there are none. The caller frees the message with
 * ch__view__free_unpacked().
 */
Ch__View *
membership_take_suspicions(struct membership *m)
{
	return take_message(m, m->effective, m->unsent_suspicions, true);
}

/*
 * Returns the whole view without suspicions, as a message for another syncd.
 * The caller frees it with ch__view__free_unpacked().
 */
Ch__View *
membership_base_message(const struct membership *m)
{
	Ch__View *message = NULL;

	view_to_message(m->base, m->version, &message);
	return message;
}

/*
 * Returns the membership state for the state dump, as a new reference.
 */
json_t *
membership_dump(const struct membership *m)
{
	static const char *const states[] = {
	    "", "live", "leaving", "suspected"};
	json_t *members = json_array();

	for (size_t i = 0; i < view_count(m->effective); i++) {
		const struct view_member *e = view_at(m->effective, i);

		json_array_append_new(members,
		    json_pack("{s:s, s:s, s:s, s:s, s:b, s:b}", "node", e->node,
			"place", e->place, "state", states[e->state], "syncd",
			e->syncd_address, "entry_ready", e->entry_ready,
			"router_ready", e->router_ready));
	}
	return json_pack("{s:I, s:b, s:s, s:i, s:i, s:o}", "version",
	    (json_int_t)m->version, "service_up", m->service_up, "lease",
	    m->lease, "suspicions", (int)g_hash_table_size(m->suspicions),
	    "deferred_removals", (int)g_hash_table_size(m->deferred_removals),
	    "members", members);
}
