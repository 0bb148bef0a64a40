#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "member_state.h"

struct suspicion {
	int64_t until;
};

/*
 * Creates a set of names that owns them.
 */
static GHashTable *
name_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Returns the terminated copy of a name; the caller frees it with g_free().
 */
static char *
name_of(struct lstr node)
{
	return g_strndup(node.data, node.len);
}

/*
 * Creates the view of a node from its own entry and the time of its lease.
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
 * Frees the view.
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
 * Recomputes what is shown of a node.
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
 * Enters a member into the base.
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
 * Removes a node from the base.
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
 * Changes the own entry; it is written when it differs from the last one.
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
 * Begins to take a whole list of the service.
 */
void
member_list_begin(struct member *m)
{
	if (m->listed != NULL)
		g_hash_table_destroy(m->listed);
	m->listed = name_set();
}

/*
 * Takes a member as the service holds it. The own entry of an earlier boot is
 * of no interest.
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
 * Takes the end of a member's key. After an outage all leases may have run
 * out at once, so members that nobody suspects stay until the grace time is
 * over.
 */
void
member_removed(struct member *m, struct lstr node, int64_t now)
{
	char *name = name_of(node);

	if (strcmp(name, m->node) == 0) {
		/* Written again with the next lease. */
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
 * Ends a list: what it did not hold is removed.
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
 * Notes that the service does not answer.
 */
void
member_service_down(struct member *m)
{
	m->outage_seen = true;
	m->service_up = false;
}

/*
 * Notes that the service answers. After an outage, the grace time begins.
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
 * Raises or renews a suspicion; it is passed on when that adds at least half
 * of its time, so that it does not travel in circles.
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
 * Takes a sign of life of a node; its suspicion ends here, and elsewhere when
 * it is not renewed.
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
 * Takes a failed probe of a node over a new connection.
 */
void
member_failed(struct member *m, struct lstr node, int64_t now)
{
	char *name = name_of(node);

	suspect(m, name, now);
	g_free(name);
}

/*
 * Reads one member of a message and enters it.
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
 * Takes a message of another syncd: suspicions, and what a watcher of the
 * place read from the service. A whole view removes what it does not hold.
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
 * Ends suspicions and the grace time when they have run out.
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
 * Returns the view with suspicions; it lives as long as the module.
 */
const struct view *
member_view(const struct member *m)
{
	return m->shown;
}

/*
 * Returns the number of changes so far.
 */
uint64_t
member_view_version(const struct member *m)
{
	return m->version;
}

/*
 * Tells whether the service answered last.
 */
bool
member_service_is_up(const struct member *m)
{
	return m->service_up;
}

/*
 * Makes a message of the members of a view that are in a set, and empties the
 * set. Those that the view lacks are listed as removed, unless only suspected
 * members are wanted. Returns NULL when there is nothing to tell.
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
 * Takes the changes for the subscribers of this node, or NULL. The caller
 * frees the message with ch__view__free_unpacked().
 */
Ch__View *
member_take_changes(struct member *m)
{
	return take_set(m, m->shown, m->changed, false);
}

/*
 * Takes the changes that a watcher pushes to the syncds of its place, or NULL.
 */
Ch__View *
member_take_base_changes(struct member *m)
{
	return take_set(m, m->base, m->base_changed, false);
}

/*
 * Takes the suspicions to pass on to other syncds, or NULL.
 */
Ch__View *
member_take_suspicions(struct member *m)
{
	return take_set(m, m->shown, m->to_spread, true);
}

/*
 * Returns the whole view without suspicions, for another syncd.
 */
Ch__View *
member_base(const struct member *m)
{
	Ch__View *message = NULL;

	view_to_message(m->base, m->version, &message);
	return message;
}

/*
 * Returns the state for the dump as a new reference.
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
