#ifndef CH_FAKE_KV_STORE_H
#define CH_FAKE_KV_STORE_H

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

/*
 * Number of changes kept. A watcher that asks for changes before the oldest
 * one has to list the keys again.
 */
#define STORE_CHANGES_MAX 65536
#define STORE_PAGE_MAX_BYTES ((size_t)1024 * 1024)

struct store_entry {
	/* Base64, as received. */
	char *value;
	uint64_t version;
	char *lease;
};

struct store_lease {
	int64_t expires_at;
	int64_t ttl_usec;
};

struct store_change {
	char *key;
	char *value;
	uint64_t revision;
};

/* The keys, leases and recent changes of the fake service. */
struct store {
	GTree *entries;
	GHashTable *leases;
	GQueue changes;
	uint64_t revision;
	/* Revision of the last change dropped from changes. */
	uint64_t discarded_revision;
	uint64_t lease_count;
};

static inline gint
store_compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static inline void
store_entry_free(gpointer data)
{
	struct store_entry *entry = data;

	g_free(entry->value);
	g_free(entry->lease);
	g_free(entry);
}

static inline void
store_init(struct store *store)
{
	store->entries =
	    g_tree_new_full(store_compare_keys, NULL, g_free, store_entry_free);
	store->leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&store->changes);
}

/*
 * Adds a change to the log; value is NULL for a deletion.
 */
static inline void
store_add_change(struct store *store, const char *key, const char *value)
{
	struct store_change *change = g_new0(struct store_change, 1);

	change->key = g_strdup(key);
	change->value = g_strdup(value);
	change->revision = store->revision;
	g_queue_push_tail(&store->changes, change);
	if (g_queue_get_length(&store->changes) <= STORE_CHANGES_MAX)
		return;
	change = g_queue_pop_head(&store->changes);
	store->discarded_revision = change->revision;
	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

/*
 * Writes a key and returns its version.
 */
static inline uint64_t
store_put(
    struct store *store, const char *key, const char *value, const char *lease)
{
	struct store_entry *entry = g_new0(struct store_entry, 1);

	entry->value = g_strdup(value);
	entry->lease = g_strdup(lease);
	entry->version = ++store->revision;
	g_tree_replace(store->entries, g_strdup(key), entry);
	store_add_change(store, key, value);
	return entry->version;
}

static inline void
store_delete(struct store *store, const char *key)
{
	store->revision++;
	store_add_change(store, key, NULL);
	g_tree_remove(store->entries, key);
}

/*
 * Grants a lease. The returned id is owned by the store.
 */
static inline const char *
store_grant(struct store *store, int64_t ttl_usec, int64_t now)
{
	struct store_lease *lease = g_new0(struct store_lease, 1);
	char *id =
	    g_strdup_printf("lease-%" G_GUINT64_FORMAT, ++store->lease_count);

	lease->ttl_usec = ttl_usec;
	lease->expires_at = now + ttl_usec;
	g_hash_table_insert(store->leases, id, lease);
	return id;
}

static inline gboolean
store_collect_leased(gpointer key, gpointer value, gpointer data)
{
	const struct store_entry *entry = value;
	GPtrArray *found = data;

	if (entry->lease != NULL && strcmp(entry->lease, found->pdata[0]) == 0)
		g_ptr_array_add(found, key);
	return FALSE;
}

/*
 * Deletes the leases that have expired and their keys.
 */
static inline void
store_expire(struct store *store, int64_t now)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		GPtrArray *found;

		if (((struct store_lease *)value)->expires_at > now)
			continue;
		found = g_ptr_array_new();
		g_ptr_array_add(found, id);
		g_tree_foreach(store->entries, store_collect_leased, found);
		for (guint i = 1; i < found->len; i++)
			store_delete(store, found->pdata[i]);
		g_ptr_array_free(found, TRUE);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns one page of the keys with a prefix, starting after a key. Prefix and
 * key may be NULL.
 */
static inline json_t *
store_list(const struct store *store, const char *prefix, const char *after,
    bool *more)
{
	json_t *items = json_array();
	size_t bytes = 0;
	GTreeNode *node;

	prefix = prefix ? prefix : "";
	after = after && strcmp(after, prefix) > 0 ? after : NULL;
	node = after ? g_tree_upper_bound(store->entries, after)
		     : g_tree_lower_bound(store->entries, prefix);
	for (; node != NULL; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);
		const struct store_entry *entry = g_tree_node_value(node);

		if (!g_str_has_prefix(key, prefix))
			break;
		bytes += strlen(key) + strlen(entry->value);
		*more =
		    bytes > STORE_PAGE_MAX_BYTES && json_array_size(items) > 0;
		if (*more)
			break;
		json_array_append_new(items,
		    json_pack("{s:s, s:I, s:s}", "key", key, "version",
			(json_int_t)entry->version, "value", entry->value));
	}
	return items;
}

/*
 * Returns the changes after a revision to keys with a prefix.
 */
static inline json_t *
store_changes_after(
    const struct store *store, const char *prefix, uint64_t after)
{
	json_t *events = json_array();
	const GList *link = store->changes.tail;

	while (link != NULL &&
	    ((const struct store_change *)link->data)->revision > after)
		link = link->prev;
	link = link ? link->next : store->changes.head;
	for (; link != NULL; link = link->next) {
		const struct store_change *change = link->data;

		if (g_str_has_prefix(change->key, prefix ? prefix : ""))
			json_array_append_new(events,
			    json_pack("{s:s, s:I, s:s?}", "key", change->key,
				"version", (json_int_t)change->revision,
				"value", change->value));
	}
	return events;
}

#endif
