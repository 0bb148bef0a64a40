#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "member.h"

/* The lease is renewed three times in its life, so two renewals may fail. */
#define RENEWALS_PER_LEASE 3
#define RETRY_MIN_USEC ((int64_t)200 * 1000)
#define RETRY_MAX_USEC ((int64_t)5 * 1000000)
/* A member heard of within this time is not removed when its lease expires. */
#define HEARD_RECENTLY_USEC ((int64_t)5 * 1000000)

/* What is known of one node besides its entry in the view. */
struct note {
	/* Incarnation that was removed; 0 while the node is a member. */
	uint64_t removed_incarnation;
	int64_t forget_at;
	int64_t heard_at;
	/* 0, or the time at which a member without a lease is removed. */
	int64_t remove_at;
	bool changed;
};

struct member {
	char *node;
	struct view *view;
	GHashTable *notes;
	uint64_t version;
	int64_t grace_until;

	struct lstr_buf lease;
	int64_t lease_usec;
	int64_t renew_at;
	int64_t try_at;
	unsigned int failures;
	enum member_work work;
	uint64_t own_version;
	bool self_dirty;
	bool published;
};

/*
 * Returns the note of a node, making it when there is none.
 */
static struct note *
note_of(struct member *m, const char *node)
{
	struct note *note = g_hash_table_lookup(m->notes, node);

	if (note == NULL) {
		note = g_new0(struct note, 1);
		g_hash_table_insert(m->notes, g_strdup(node), note);
	}
	return note;
}

/*
 * Marks that the next changes must include a node.
 */
static void
mark_changed(struct member *m, const char *node)
{
	note_of(m, node)->changed = true;
	m->version++;
}

/*
 * Creates the membership of a node that so far knows only itself. self gives
 * its first incarnation, which must exceed those of its earlier boots; the
 * start time in microseconds does.
 */
enum status
member_create(
    const struct view_member *self, int64_t lease_usec, struct member **out)
{
	struct member *m = calloc(1, sizeof(*m));
	bool changed;
	enum status status;

	if (m == NULL)
		return status_set(STATUS_NO_MEMORY, "membership");
	m->node = g_strdup(self->node);
	m->lease_usec = lease_usec;
	m->notes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->self_dirty = true;
	status = view_create(&m->view);
	if (status == STATUS_OK)
		status = view_put(m->view, self, &changed);
	if (status != STATUS_OK) {
		member_destroy(m);
		return status;
	}
	mark_changed(m, self->node);
	*out = m;
	return STATUS_OK;
}

/*
 * Frees a membership.
 */
void
member_destroy(struct member *m)
{
	if (m == NULL)
		return;
	view_destroy(m->view);
	g_hash_table_destroy(m->notes);
	lstr_buf_free(&m->lease);
	g_free(m->node);
	free(m);
}

/*
 * Returns the view; it changes with the membership.
 */
const struct view *
member_view(const struct member *m)
{
	return m->view;
}

/*
 * Returns a number that rises with each change of the view.
 */
uint64_t
member_version(const struct member *m)
{
	return m->version;
}

/*
 * Returns the next work on the own entry that is due, or MEMBER_WORK_NONE
 * while earlier work is not done. The caller reports by member_work_done().
 */
enum member_work
member_next_work(struct member *m, int64_t now)
{
	if (m->work != MEMBER_WORK_NONE || now < m->try_at)
		return MEMBER_WORK_NONE;
	if (m->lease.len == 0)
		m->work = MEMBER_WORK_GRANT;
	else if (now >= m->renew_at)
		m->work = MEMBER_WORK_RENEW;
	else if (m->self_dirty)
		m->work = MEMBER_WORK_WRITE;
	if (m->work == MEMBER_WORK_WRITE)
		m->self_dirty = false;
	return m->work;
}

/*
 * Sets when to try again after a failure; the wait doubles up to a limit.
 */
static void
back_off(struct member *m, int64_t now)
{
	int64_t wait = RETRY_MIN_USEC;

	for (unsigned int i = 0; i < m->failures && wait < RETRY_MAX_USEC; i++)
		wait *= 2;
	m->failures++;
	m->try_at = now + (wait < RETRY_MAX_USEC ? wait : RETRY_MAX_USEC);
}

/*
 * Forgets the lease, so that a new one is granted and the entry is written
 * again.
 */
static void
drop_lease(struct member *m)
{
	lstr_buf_clear(&m->lease);
	m->self_dirty = true;
	m->published = false;
}

/*
 * Takes the end of a write of the own entry. On conflict the stored version is
 * taken over: only a predecessor of this node writes under the same name. A
 * write with an expired lease is STATUS_NOT_FOUND.
 */
static void
write_done(struct member *m, enum status status, uint64_t version, int64_t now)
{
	switch (status) {
	case STATUS_OK:
		m->own_version = version;
		m->published = true;
		m->failures = 0;
		break;
	case STATUS_CONFLICT:
		m->own_version = version;
		m->self_dirty = true;
		break;
	case STATUS_NOT_FOUND:
		drop_lease(m);
		break;
	default:
		m->self_dirty = true;
		back_off(m, now);
		break;
	}
}

/*
 * Reports the end of the work that member_next_work() returned: the status,
 * the granted lease, and the version of the own entry after a write.
 */
void
member_work_done(struct member *m, enum status status, struct lstr lease,
    uint64_t version, int64_t now)
{
	enum member_work work = m->work;

	assert(work != MEMBER_WORK_NONE);
	m->work = MEMBER_WORK_NONE;
	if (work == MEMBER_WORK_WRITE) {
		write_done(m, status, version, now);
		return;
	}
	if (work == MEMBER_WORK_RENEW && status == STATUS_NOT_FOUND) {
		drop_lease(m);
		return;
	}
	if (status != STATUS_OK) {
		back_off(m, now);
		return;
	}
	if (work == MEMBER_WORK_GRANT)
		lstr_buf_append(&m->lease, lease);
	m->failures = 0;
	m->renew_at = now + m->lease_usec / RENEWALS_PER_LEASE;
}

/*
 * Returns the lease of the own entry, empty when there is none.
 */
struct lstr
member_lease(const struct member *m)
{
	return lstr_buf_view(&m->lease);
}

/*
 * Returns the version over which the own entry is written next.
 */
uint64_t
member_own_version(const struct member *m)
{
	return m->own_version;
}

/*
 * Tells whether the own entry is stored with a lease that is not known to
 * have expired.
 */
bool
member_is_published(const struct member *m)
{
	return m->published;
}

/*
 * Tells whether a statement about a member beats what is known. An expired
 * tombstone and an unknown node are beaten by anything.
 */
static bool
is_newer(const struct view_member *known, const struct note *note,
    const struct view_member *told)
{
	if (note != NULL && note->removed_incarnation >= told->incarnation &&
	    note->removed_incarnation != 0)
		return false;
	if (known == NULL)
		return true;
	if (told->incarnation != known->incarnation)
		return told->incarnation > known->incarnation;
	return told->state == VIEW_SUSPECTED && known->state != VIEW_SUSPECTED;
}

/*
 * Puts a member into the view.
 */
static void
put(struct member *m, const struct view_member *told)
{
	struct note *note = note_of(m, told->node);
	bool changed = false;

	if (view_count(m->view) >= MEMBER_MAX &&
	    view_find(m->view, lstr_from(told->node)) == NULL)
		return;
	note->removed_incarnation = 0;
	note->remove_at = 0;
	if (view_put(m->view, told, &changed) == STATUS_OK && changed)
		mark_changed(m, told->node);
}

/*
 * Answers a statement that this node is suspected, removed or older than it
 * is: takes an incarnation above the stated one.
 */
static void
refute(struct member *m, uint64_t incarnation)
{
	const struct view_member *self = view_find(m->view, lstr_from(m->node));
	struct view_member next = *self;

	if (incarnation < self->incarnation)
		return;
	next.incarnation = incarnation + 1;
	put(m, &next);
	m->self_dirty = true;
}

/*
 * Sets what this node says of itself: addresses, readiness and state. The
 * incarnation rises by itself.
 */
enum status
member_set_self(struct member *m, const struct view_member *self, int64_t now)
{
	const struct view_member *known =
	    view_find(m->view, lstr_from(m->node));
	struct view_member next = *self;

	(void)now;
	assert(strcmp(self->node, m->node) == 0);
	next.incarnation = known->incarnation + 1;
	put(m, &next);
	m->self_dirty = true;
	return STATUS_OK;
}

/*
 * Takes one statement about a node from the key-value service or a peer.
 */
static void
take(struct member *m, const struct view_member *told)
{
	const struct view_member *known =
	    view_find(m->view, lstr_from(told->node));
	const struct note *note = g_hash_table_lookup(m->notes, told->node);

	if (strcmp(told->node, m->node) == 0) {
		if (told->state == VIEW_SUSPECTED ||
		    told->incarnation > known->incarnation)
			refute(m, told->incarnation);
		return;
	}
	if (is_newer(known, note, told))
		put(m, told);
}

/*
 * Takes an entry that the key-value service holds. A pending removal of the
 * member is called off.
 */
void
member_stored(struct member *m, const struct view_member *stored, int64_t now)
{
	(void)now;
	note_of(m, stored->node)->remove_at = 0;
	take(m, stored);
}

/*
 * Removes a member and remembers its incarnation for a while, so that late
 * statements of peers do not bring it back.
 */
static void
remove_member(struct member *m, const char *node, int64_t now)
{
	const struct view_member *known = view_find(m->view, lstr_from(node));
	struct note *note;

	if (known == NULL)
		return;
	note = note_of(m, known->node);
	note->removed_incarnation = known->incarnation;
	note->forget_at = now + MEMBER_TOMBSTONE_USEC;
	note->remove_at = 0;
	mark_changed(m, known->node);
	view_remove(m->view, lstr_from(known->node));
}

/*
 * Takes that the key-value service no longer holds an entry: its lease
 * expired or the node deleted it. A leaving or suspected member is removed
 * at once; one that was heard of, or any after an outage of the service,
 * gets time to write its entry again.
 */
void
member_unstored(struct member *m, struct lstr node, int64_t now)
{
	const struct view_member *known = view_find(m->view, node);
	struct note *note;

	if (known == NULL)
		return;
	if (strcmp(known->node, m->node) == 0) {
		drop_lease(m);
		return;
	}
	note = note_of(m, known->node);
	if (known->state == VIEW_LIVE &&
	    (now < m->grace_until ||
		now - note->heard_at < HEARD_RECENTLY_USEC)) {
		note->remove_at = now + MEMBER_EXPIRY_GRACE_USEC;
		return;
	}
	remove_member(m, known->node, now);
}

/*
 * Takes that the key-value service answers again after it did not.
 */
void
member_outage_ended(struct member *m, int64_t now)
{
	m->grace_until = now + MEMBER_EXPIRY_GRACE_USEC;
}

/*
 * Takes that a node was heard from on an established connection.
 */
void
member_heard(struct member *m, struct lstr node, int64_t now)
{
	const struct view_member *known = view_find(m->view, node);

	if (known != NULL)
		note_of(m, known->node)->heard_at = now;
}

/*
 * Takes that a node could not be reached over a new connection. It is
 * suspected until it raises its incarnation.
 */
void
member_unreachable(struct member *m, struct lstr node, int64_t now)
{
	const struct view_member *known = view_find(m->view, node);
	struct view_member next;

	(void)now;
	if (known == NULL || known->state == VIEW_SUSPECTED ||
	    strcmp(known->node, m->node) == 0)
		return;
	next = *known;
	next.state = VIEW_SUSPECTED;
	put(m, &next);
}

/*
 * Takes a peer's statement that a member is gone.
 */
static void
take_gone(struct member *m, const struct view_member *told, int64_t now)
{
	const struct view_member *known =
	    view_find(m->view, lstr_from(told->node));

	if (strcmp(told->node, m->node) == 0) {
		refute(m, told->incarnation);
		return;
	}
	if (known != NULL && known->incarnation <= told->incarnation)
		remove_member(m, told->node, now);
}

/*
 * Takes the view or the changes of a peer. Members without a valid state or
 * name are ignored.
 */
void
member_apply(struct member *m, const Ch__View *message, int64_t now)
{
	for (size_t i = 0; i < message->n_members; i++) {
		struct view_member told =
		    view_member_from_message(message->members[i]);

		if (told.node[0] == '\0' || told.state < VIEW_LIVE ||
		    told.state > VIEW_SUSPECTED)
			continue;
		if (message->members[i]->gone)
			take_gone(m, &told, now);
		else
			take(m, &told);
	}
}

/*
 * Removes members whose time to write their entry again has passed, and
 * forgets old removals.
 */
void
member_tick(struct member *m, int64_t now)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	GPtrArray *due = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_iter_init(&iter, m->notes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct note *note = value;

		if (note->remove_at != 0 && now >= note->remove_at)
			g_ptr_array_add(due, g_strdup(key));
		else if (note->removed_incarnation != 0 &&
		    now >= note->forget_at && !note->changed)
			g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < due->len; i++)
		remove_member(m, g_ptr_array_index(due, i), now);
	g_ptr_array_free(due, TRUE);
}

/*
 * Makes the message of a removed node: its name and last incarnation.
 */
static Ch__Member *
gone_message(struct member *m, const char *node)
{
	struct view_member gone = {.node = (char *)node,
	    .place = "",
	    .region = "",
	    .state = VIEW_LEAVING,
	    .entry_address = "",
	    .router_address = "",
	    .syncd_address = "",
	    .incarnation = note_of(m, node)->removed_incarnation};
	Ch__Member *message = view_member_to_message(&gone);

	message->gone = true;
	return message;
}

/*
 * Makes the message about the given nodes.
 */
static enum status
changes_message(struct member *m, const GPtrArray *nodes, Ch__View **out)
{
	Ch__View *view = calloc(1, sizeof(*view));
	Ch__Member **members = calloc(nodes->len, sizeof(*members));

	if (view == NULL || members == NULL) {
		free(view);
		free(members);
		return status_set(
		    STATUS_NO_MEMORY, "view of %u members", nodes->len);
	}
	ch__view__init(view);
	view->version = m->version;
	view->members = members;
	for (guint i = 0; i < nodes->len; i++) {
		const char *node = g_ptr_array_index(nodes, i);
		const struct view_member *known =
		    view_find(m->view, lstr_from(node));

		members[view->n_members++] = known
		    ? view_member_to_message(known)
		    : gone_message(m, node);
	}
	*out = view;
	return STATUS_OK;
}

/*
 * Takes the changes since the last call as a message that the caller frees
 * with ch__view__free_unpacked(); NULL when there are none. Members that are
 * gone are listed with gone set.
 */
enum status
member_take_changes(struct member *m, Ch__View **out)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	GPtrArray *nodes = g_ptr_array_new();
	enum status status = STATUS_OK;

	*out = NULL;
	g_hash_table_iter_init(&iter, m->notes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct note *note = value;

		if (note->changed)
			g_ptr_array_add(nodes, key);
		note->changed = false;
	}
	if (nodes->len > 0)
		status = changes_message(m, nodes, out);
	g_ptr_array_free(nodes, TRUE);
	return status;
}

/*
 * Makes a message of the whole view, freed with ch__view__free_unpacked().
 */
enum status
member_whole(const struct member *m, Ch__View **out)
{
	return view_to_message(m->view, m->version, out);
}
