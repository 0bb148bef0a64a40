#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "member_state.h"

struct suspicion {
	int64_t until;
};

/*
 * Creates a set of strings that owns its elements.
 */
static GHashTable *
name_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Returns a NUL-terminated copy of a name, which the caller frees with
 * g_free().
 */
static char *
name_of(struct lstr node)
{
	return g_strndup(node.data, node.len);
}

/*
 * Creates the membership state of a node from its own entry and the duration of
 * its lease in microseconds.
 */
struct member *
member_create(const struct view_member *self, int64_t lease_usec)
{
	struct member *m = g_new0(struct member, 1);
	bool changed;

	m->node = g_strdup(self->node);
	m->lease_usec = lease_usec;
	if (view_create(&m->base) != STATUS_OK ||
	    view_create(&m->shown) != STATUS_OK ||
	    view_create(&m->self) != STATUS_OK)
		g_error("out of memory");
	view_put(m->self, self, &changed);
	m->suspicions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->deferred = name_set();
	m->changed = name_set();
	m->base_changed = name_set();
	m->to_spread = name_set();
	m->put_needed = true;
	return m;
}

/*
 * Frees the membership state; NULL is ignored.
 */
void
member_destroy(struct member *m)
{
	if (m == NULL)
		return;
	view_destroy(m->base);
	view_destroy(m->shown);
	view_destroy(m->self);
	g_hash_table_destroy(m->suspicions);
	g_hash_table_destroy(m->deferred);
	g_hash_table_destroy(m->changed);
	g_hash_table_destroy(m->base_changed);
	g_hash_table_destroy(m->to_spread);
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
show(struct member *m, const char *node)
{
	const struct view_member *base = view_find(m->base, lstr_from(node));
	struct view_member copy;
	bool changed = false;

	if (base == NULL) {
		changed = view_remove(m->shown, lstr_from(node));
	} else {
		copy = *base;
		if (g_hash_table_contains(m->suspicions, node))
			copy.state = VIEW_SUSPECTED;
		view_put(m->shown, &copy, &changed);
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
member_base_put(struct member *m, const struct view_member *entry)
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
	show(m, entry->node);
}

/*
 * Removes a node's entry and its suspicion.
 */
static void
base_remove(struct member *m, const char *node)
{
	if (!view_remove(m->base, lstr_from(node)))
		return;
	g_hash_table_remove(m->suspicions, node);
	g_hash_table_add(m->base_changed, g_strdup(node));
	show(m, node);
}

/*
 * Updates this node's entry; a changed entry is written to the key-value
 * service.
 */
void
member_set_self(struct member *m, const struct view_member *self, int64_t now)
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
		member_base_put(m, view_at(m->self, 0));
}

/*
 * Starts a full listing of the members in the key-value service.
 */
void
member_list_begin(struct member *m)
{
	if (m->listed != NULL)
		g_hash_table_destroy(m->listed);
	m->listed = name_set();
}

/*
 * Handles a member read from the key-value service. This node's own entry is
 * ignored, because it may be from an earlier boot.
 */
void
member_entered(struct member *m, const struct view_member *entry, int64_t now)
{
	(void)now;
	if (m->listed != NULL)
		g_hash_table_add(m->listed, g_strdup(entry->node));
	g_hash_table_remove(m->deferred, entry->node);
	if (strcmp(entry->node, m->node) != 0)
		member_base_put(m, entry);
}

/*
 * Handles the deletion of a member's key. After an outage all leases may have
 * expired at once, so members that are not suspected are kept until the grace
 * period ends.
 */
void
member_removed(struct member *m, struct lstr node, int64_t now)
{
	char *name = name_of(node);

	if (strcmp(name, m->node) == 0) {
		/* Written again as a new entry. */
		m->stored_version = 0;
		m->put_needed = true;
	} else if (now < m->grace_until &&
	    !g_hash_table_contains(m->suspicions, name)) {
		g_hash_table_add(m->deferred, g_strdup(name));
	} else {
		base_remove(m, name);
	}
	g_free(name);
}

/*
 * Ends a full listing: members that it did not contain are removed.
 */
void
member_list_end(struct member *m, int64_t now)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);

	if (m->listed == NULL)
		return;
	for (size_t i = 0; i < view_count(m->base); i++) {
		const char *node = view_at(m->base, i)->node;

		if (!g_hash_table_contains(m->listed, node))
			g_ptr_array_add(gone, g_strdup(node));
	}
	for (guint i = 0; i < gone->len; i++)
		member_removed(m, lstr_from(gone->pdata[i]), now);
	g_ptr_array_free(gone, TRUE);
	g_hash_table_destroy(m->listed);
	m->listed = NULL;
}

/*
 * Records that the key-value service is unreachable.
 */
void
member_service_down(struct member *m)
{
	m->outage_seen = true;
	m->service_up = false;
}

/*
 * Records that the key-value service is reachable. After an outage, this starts
 * the grace period.
 */
void
member_service_up(struct member *m, int64_t now)
{
	if (m->outage_seen)
		m->grace_until = now + MEMBER_GRACE_USEC;
	m->outage_seen = false;
	m->service_up = true;
}

/*
 * Raises or renews a suspicion. It is forwarded only if that extends it by at
 * least half of its duration, so that syncds do not keep forwarding it to each
 * other.
 */
static void
suspect(struct member *m, const char *node, int64_t now)
{
	struct suspicion *s = g_hash_table_lookup(m->suspicions, node);

	if (strcmp(node, m->node) == 0 ||
	    view_find(m->base, lstr_from(node)) == NULL ||
	    (s != NULL && s->until - now > MEMBER_SUSPICION_USEC / 2))
		return;
	if (s == NULL) {
		s = g_new0(struct suspicion, 1);
		g_hash_table_insert(m->suspicions, g_strdup(node), s);
	}
	s->until = now + MEMBER_SUSPICION_USEC;
	g_hash_table_add(m->to_spread, g_strdup(node));
	show(m, node);
	if (g_hash_table_remove(m->deferred, node))
		base_remove(m, node);
}

/*
 * Handles a sign of life of a node: clears its suspicion on this syncd. On
 * other syncds the suspicion expires if it is not renewed.
 */
void
member_heard(struct member *m, struct lstr node, int64_t now)
{
	char *name = name_of(node);

	(void)now;
	if (g_hash_table_remove(m->suspicions, name))
		show(m, name);
	g_free(name);
}

/*
 * Handles a failed probe of a node over a new connection: the node becomes
 * suspected.
 */
void
member_failed(struct member *m, struct lstr node, int64_t now)
{
	char *name = name_of(node);

	suspect(m, name, now);
	g_free(name);
}

/*
 * Adds or replaces a member received from another syncd.
 */
static void
take_pushed(struct member *m, const Ch__Member *from, int64_t now)
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
	member_entered(m, &entry, now);
}

/*
 * Applies a message from another syncd: suspicions, and entries that a watcher
 * of the place read from the key-value service. A whole view also removes the
 * members that it does not contain.
 */
void
member_pushed(struct member *m, const Ch__View *message, int64_t now)
{
	if (message->whole)
		member_list_begin(m);
	for (size_t i = 0; i < message->n_members; i++) {
		const Ch__Member *from = message->members[i];

		if (from->node[0] == '\0')
			continue;
		if (from->state == CH__NODE_STATE__NODE_STATE_SUSPECTED)
			suspect(m, from->node, now);
		else
			take_pushed(m, from, now);
	}
	for (size_t i = 0; i < message->n_removed; i++)
		member_removed(m, lstr_from(message->removed[i]), now);
	if (message->whole)
		member_list_end(m, now);
}

/*
 * Expires suspicions, and removes the deferred nodes when the grace period has
 * ended.
 */
void
member_tick(struct member *m, int64_t now)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, m->suspicions);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (((struct suspicion *)value)->until > now)
			continue;
		g_ptr_array_add(names, g_strdup(name));
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < names->len; i++)
		show(m, names->pdata[i]);
	g_ptr_array_set_size(names, 0);
	if (now >= m->grace_until) {
		g_hash_table_iter_init(&iter, m->deferred);
		while (g_hash_table_iter_next(&iter, &name, NULL))
			g_ptr_array_add(names, g_strdup(name));
		g_hash_table_remove_all(m->deferred);
	}
	for (guint i = 0; i < names->len; i++)
		base_remove(m, names->pdata[i]);
	g_ptr_array_free(names, TRUE);
}

/*
 * Returns the view with suspicions applied. It is valid as long as the
 * membership state.
 */
const struct view *
member_view(const struct member *m)
{
	return m->shown;
}

/*
 * Returns the version of the effective view, which grows with each change.
 */
uint64_t
member_view_version(const struct member *m)
{
	return m->version;
}

/*
 * Returns whether the key-value service was reachable at the last call.
 */
bool
member_service_is_up(const struct member *m)
{
	return m->service_up;
}

/*
 * Builds a message from the members of a view that are in a set, and empties
 * the set. Names that are not in the view are listed as removed, unless only
 * suspected members are requested. Returns NULL if there is nothing to send.
 */
static Ch__View *
take_set(struct member *m, const struct view *view, GHashTable *names,
    bool suspected_only)
{
	Ch__View *message = NULL;
	size_t kept = 0;
	GHashTableIter iter;
	gpointer name;

	if (g_hash_table_size(names) == 0)
		return NULL;
	view_to_message(view, m->version, &message);
	message->whole = false;
	for (size_t i = 0; i < message->n_members; i++) {
		Ch__Member *member = message->members[i];

		if (g_hash_table_remove(names, member->node) &&
		    (!suspected_only ||
			member->state == CH__NODE_STATE__NODE_STATE_SUSPECTED))
			message->members[kept++] = member;
		else
			ch__member__free_unpacked(member, NULL);
	}
	message->n_members = kept;
	if (!suspected_only) {
		message->removed =
		    calloc(g_hash_table_size(names) + 1, sizeof(char *));
		if (message->removed == NULL)
			g_error("out of memory");
		g_hash_table_iter_init(&iter, names);
		while (g_hash_table_iter_next(&iter, &name, NULL))
			message->removed[message->n_removed++] = strdup(name);
	}
	g_hash_table_remove_all(names);
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
member_take_changes(struct member *m)
{
	return take_set(m, m->shown, m->changed, false);
}

/*
 * Returns the pending changes that a watcher pushes to the syncds of its place
 * and clears them, or NULL if there are none. The caller frees the message with
 * ch__view__free_unpacked().
 */
Ch__View *
member_take_base_changes(struct member *m)
{
	return take_set(m, m->base, m->base_changed, false);
}

/*
 * Returns the pending suspicions to forward to other syncds and clears them, or
 * NULL if there are none. The caller frees the message with
 * ch__view__free_unpacked().
 */
Ch__View *
member_take_suspicions(struct member *m)
{
	return take_set(m, m->shown, m->to_spread, true);
}

/*
 * Returns the whole view without suspicions, as a message for another syncd.
 * The caller frees it with ch__view__free_unpacked().
 */
Ch__View *
member_base(const struct member *m)
{
	Ch__View *message = NULL;

	view_to_message(m->base, m->version, &message);
	return message;
}

/*
 * Returns the membership state for the state dump, as a new reference.
 */
json_t *
member_dump(const struct member *m)
{
	static const char *const states[] = {
	    "", "live", "leaving", "suspected"};
	json_t *members = json_array();

	for (size_t i = 0; i < view_count(m->shown); i++) {
		const struct view_member *e = view_at(m->shown, i);

		json_array_append_new(members,
		    json_pack("{s:s, s:s, s:s, s:s, s:b, s:b}", "node", e->node,
			"place", e->place, "state", states[e->state], "syncd",
			e->syncd_address, "entry_ready", e->entry_ready,
			"router_ready", e->router_ready));
	}
	return json_pack("{s:I, s:b, s:s, s:i, s:i, s:o}", "version",
	    (json_int_t)m->version, "service_up", m->service_up, "lease",
	    m->lease, "suspicions", (int)g_hash_table_size(m->suspicions),
	    "deferred_removals", (int)g_hash_table_size(m->deferred), "members",
	    members);
}
