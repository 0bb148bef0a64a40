#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "view.h"

struct view {
	/* struct view_member, sorted by node name. */
	GPtrArray *members;
};

/*
 * Frees a member.
 */
static void
member_free(void *data)
{
	struct view_member *member = data;

	g_free(member->node);
	g_free(member->place);
	g_free(member->region);
	g_free(member->entry_address);
	g_free(member->router_address);
	g_free(member->syncd_address);
	g_free(member);
}

/*
 * Copies a string; NULL becomes the empty string.
 */
static char *
copy_string(const char *text)
{
	return g_strdup(text ? text : "");
}

/*
 * Returns a deep copy of a member, to be freed with member_free().
 */
static struct view_member *
member_copy(const struct view_member *from)
{
	struct view_member *copy = g_new(struct view_member, 1);

	*copy = *from;
	copy->node = copy_string(from->node);
	copy->place = copy_string(from->place);
	copy->region = copy_string(from->region);
	copy->entry_address = copy_string(from->entry_address);
	copy->router_address = copy_string(from->router_address);
	copy->syncd_address = copy_string(from->syncd_address);
	return copy;
}

/*
 * Returns whether two members are equal in all fields.
 */
static bool
member_equal(const struct view_member *a, const struct view_member *b)
{
	return strcmp(a->node, b->node) == 0 &&
	    strcmp(a->place, b->place) == 0 &&
	    strcmp(a->region, b->region) == 0 &&
	    strcmp(a->entry_address, b->entry_address) == 0 &&
	    strcmp(a->router_address, b->router_address) == 0 &&
	    strcmp(a->syncd_address, b->syncd_address) == 0 &&
	    a->boot == b->boot && a->state == b->state &&
	    a->entry_ready == b->entry_ready &&
	    a->router_ready == b->router_ready &&
	    memcmp(a->record_key, b->record_key, VIEW_RECORD_KEY_BYTES) == 0;
}

/*
 * Creates an empty view.
 */
enum status
view_create(struct view **out)
{
	struct view *view = g_new0(struct view, 1);

	view->members = g_ptr_array_new_with_free_func(member_free);
	*out = view;
	return STATUS_OK;
}

/*
 * Frees a view and its members.
 */
void
view_destroy(struct view *view)
{
	if (view == NULL)
		return;
	g_ptr_array_free(view->members, TRUE);
	g_free(view);
}

/*
 * Returns the number of members.
 */
size_t
view_count(const struct view *view)
{
	return view->members->len;
}

/*
 * Returns the member at an index in the order of node names. It belongs to the
 * view and is valid until the next change.
 */
const struct view_member *
view_at(const struct view *view, size_t i)
{
	assert(i < view->members->len);
	return g_ptr_array_index(view->members, i);
}

/*
 * Finds the index of a node by binary search. If *found is false, the result is
 * the index at which it would be inserted.
 */
static guint
find_position(const struct view *view, struct lstr node, bool *found)
{
	guint low = 0;
	guint high = view->members->len;

	*found = false;
	while (low < high && !*found) {
		guint middle = (low + high) / 2;
		struct lstr name = lstr_from(view_at(view, middle)->node);
		int order =
		    memcmp(name.data, node.data, MIN(name.len, node.len));

		if (order == 0 && name.len != node.len)
			order = name.len < node.len ? -1 : 1;
		*found = order == 0;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return *found ? high : low;
}

/*
 * Returns the member with a node name, or NULL. It belongs to the view and is
 * valid until the next change.
 */
const struct view_member *
view_find(const struct view *view, struct lstr node)
{
	bool found;
	guint i = find_position(view, node, &found);

	return found ? view_at(view, i) : NULL;
}

/*
 * Adds a copy of a member, replacing the member of the same node. *changed is
 * set to true if this changes the view and is left unchanged otherwise.
 * STATUS_FULL: the view already has VIEW_MEMBERS_MAX members and was not
 * changed.
 */
enum status
view_put(struct view *view, const struct view_member *member, bool *changed)
{
	struct view_member *copy = member_copy(member);
	bool found;
	guint i = find_position(view, lstr_from(copy->node), &found);

	if (found && member_equal(view_at(view, i), copy)) {
		member_free(copy);
		return STATUS_OK;
	}
	if (found) {
		member_free(g_ptr_array_index(view->members, i));
		g_ptr_array_index(view->members, i) = copy;
	} else if (view->members->len == VIEW_MEMBERS_MAX) {
		member_free(copy);
		return status_set(STATUS_FULL,
		    "view already has %d members, which is the limit",
		    VIEW_MEMBERS_MAX);
	} else {
		g_ptr_array_insert(view->members, (gint)i, copy);
	}
	*changed = true;
	return STATUS_OK;
}

/*
 * Removes a node; returns false if it is not a member.
 */
bool
view_remove(struct view *view, struct lstr node)
{
	bool found;
	guint i = find_position(view, node, &found);

	if (found)
		g_ptr_array_remove_index(view->members, i);
	return found;
}

/*
 * Validates one member of a message.
 */
static enum status
validate_member(const Ch__Member *message)
{
	size_t len = strlen(message->node);

	if (len == 0 || len > VIEW_NAME_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "member name has an invalid length of %zu characters", len);
	if (message->state < CH__NODE_STATE__NODE_STATE_LIVE ||
	    message->state > CH__NODE_STATE__NODE_STATE_SUSPECTED)
		return status_set(STATUS_INVALID,
		    "member %s has invalid state %d", message->node,
		    (int)message->state);
	return STATUS_OK;
}

/*
 * Adds or replaces one member of a message.
 */
static enum status
put_member_message(struct view *view, const Ch__Member *message, bool *changed)
{
	struct view_member member = {
	    .node = message->node,
	    .place = message->place,
	    .region = message->region,
	    .boot = message->boot,
	    .state = (enum view_state)message->state,
	    .entry_address = message->entry_address,
	    .router_address = message->router_address,
	    .syncd_address = message->syncd_address,
	    .entry_ready = message->entry_ready,
	    .router_ready = message->router_ready,
	};

	if (message->record_key.len == VIEW_RECORD_KEY_BYTES)
		memcpy(member.record_key, message->record_key.data,
		    VIEW_RECORD_KEY_BYTES);
	return view_put(view, &member, changed);
}

/*
 * Removes the members that a whole-view message does not contain.
 */
static void
remove_missing(struct view *view, const Ch__View *message, bool *changed)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < message->n_members; i++)
		g_hash_table_add(names, message->members[i]->node);
	for (guint i = view->members->len; i > 0; i--) {
		if (g_hash_table_contains(names, view_at(view, i - 1)->node))
			continue;
		g_ptr_array_remove_index(view->members, i - 1);
		*changed = true;
	}
	g_hash_table_destroy(names);
}

/*
 * Applies a whole view or a set of changes. *changed is set to whether the view
 * has changed. STATUS_INVALID: the message was rejected as a whole.
 * STATUS_FULL: the members that exceed VIEW_MEMBERS_MAX were left out.
 */
enum status
view_apply(struct view *view, const Ch__View *message, bool *changed)
{
	enum status result = STATUS_OK;

	*changed = false;
	for (size_t i = 0; i < message->n_members; i++) {
		enum status status = validate_member(message->members[i]);

		if (status != STATUS_OK)
			return status;
	}
	if (message->whole)
		remove_missing(view, message, changed);
	for (size_t i = 0; i < message->n_removed; i++) {
		if (view_remove(view, lstr_from(message->removed[i])))
			*changed = true;
	}
	for (size_t i = 0; i < message->n_members; i++) {
		enum status status =
		    put_member_message(view, message->members[i], changed);

		if (status != STATUS_OK)
			result = status;
	}
	return result;
}

/*
 * Copies a string for a message; aborts if memory runs out. protobuf-c frees it
 * with free().
 */
static char *
dup_message_string(const char *text)
{
	char *copy = strdup(text);

	if (copy == NULL)
		g_error("out of memory");
	return copy;
}

/*
 * Allocates zeroed memory for a message, with space for one extra element;
 * aborts if memory runs out.
 */
static void *
allocate_zeroed(size_t count, size_t size)
{
	void *memory = calloc(count + 1, size);

	if (memory == NULL)
		g_error("out of memory");
	return memory;
}

/*
 * Converts a member to a message.
 */
static Ch__Member *
member_to_message(const struct view_member *member)
{
	Ch__Member *message = allocate_zeroed(1, sizeof(*message));

	ch__member__init(message);
	message->node = dup_message_string(member->node);
	message->place = dup_message_string(member->place);
	message->region = dup_message_string(member->region);
	message->boot = member->boot;
	message->state = (Ch__NodeState)member->state;
	message->entry_address = dup_message_string(member->entry_address);
	message->router_address = dup_message_string(member->router_address);
	message->syncd_address = dup_message_string(member->syncd_address);
	message->entry_ready = member->entry_ready;
	message->router_ready = member->router_ready;
	message->record_key.data = allocate_zeroed(VIEW_RECORD_KEY_BYTES, 1);
	message->record_key.len = VIEW_RECORD_KEY_BYTES;
	memcpy(message->record_key.data, member->record_key,
	    VIEW_RECORD_KEY_BYTES);
	return message;
}

/*
 * Converts the whole view to a message, which the caller frees with
 * ch__view__free_unpacked().
 */
enum status
view_to_message(const struct view *view, uint64_t version, Ch__View **out)
{
	Ch__View *message = allocate_zeroed(1, sizeof(*message));

	ch__view__init(message);
	message->version = version;
	message->whole = true;
	message->members =
	    allocate_zeroed(view->members->len, sizeof(Ch__Member *));
	for (guint i = 0; i < view->members->len; i++)
		message->members[message->n_members++] =
		    member_to_message(view_at(view, i));
	*out = message;
	return STATUS_OK;
}
