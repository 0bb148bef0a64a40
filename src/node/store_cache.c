#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "store_cache.h"
#include "slog.h"

struct store_cache {
	struct loop *loop;
	struct kv *kv;
	char *prefix;
	const struct store_cache_ops *ops;
	void *arg;
	/* Version (uint64_t) by key. */
	GHashTable *versions;
	/* Keys returned so far by the current list; NULL: no list runs. */
	GHashTable *listed_keys;
	struct loop_timer *timer;
	/* The copy includes all changes up to this revision of the store. */
	uint64_t revision;
	/* Revision of the newest of these changes. */
	uint64_t newest;
	uint64_t list_revision;
	int64_t call_sent_at;
	int64_t list_sent_at;
	int64_t proved_at;
	int64_t responded_at;
	int64_t regained_at;
	/* Pause after the next failed call. */
	int64_t backoff;
	/* The next watch returns at once, because a new proof is needed. */
	bool no_wait;
	/* No call is made before this time. */
	int64_t throttled_until;
	/* Last key of the previous page of the list; NULL: first page. */
	char *page_after;
	/* Revision of the newest change known to a peer. */
	uint64_t peer_revision;
	enum store_cache_watch watch;
	/* Longest wait of a watch. */
	int64_t watch_wait_max;
	bool synced;
	bool store_lost;
	bool call_pending;
};

static void next_call(struct store_cache *cache);

/*
 * Makes the postponed call.
 */
static void
on_timer(void *arg)
{
	next_call(arg);
}

/*
 * Creates a cache and starts to list the keys at once. The store client is
 * borrowed; see store_cache_destroy().
 */
enum status
store_cache_create(struct loop *loop, struct kv *kv, const char *prefix,
    const struct store_cache_ops *ops, void *arg, struct store_cache **out)
{
	struct store_cache *cache = g_new0(struct store_cache, 1);
	enum status status;

	cache->loop = loop;
	cache->kv = kv;
	cache->prefix = g_strdup(prefix);
	cache->ops = ops;
	cache->arg = arg;
	cache->backoff = STORE_CACHE_BACKOFF_USEC;
	cache->watch_wait_max = STORE_CACHE_WATCH_USEC;
	cache->responded_at = loop_now(loop);
	cache->versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	status = loop_timer_create(loop, on_timer, cache, &cache->timer);
	if (status != STATUS_OK) {
		store_cache_destroy(cache);
		return status;
	}
	loop_timer_set(cache->timer, 0);
	*out = cache;
	return STATUS_OK;
}

/*
 * Frees the cache. No call may be in progress, so its store client must have
 * been destroyed before.
 */
void
store_cache_destroy(struct store_cache *cache)
{
	if (cache == NULL)
		return;
	loop_timer_destroy(cache->timer);
	g_hash_table_destroy(cache->versions);
	if (cache->listed_keys != NULL)
		g_hash_table_destroy(cache->listed_keys);
	g_free(cache->prefix);
	g_free(cache->page_after);
	g_free(cache);
}

/*
 * Records a response of the store.
 */
static void
note_response(struct store_cache *cache)
{
	int64_t now = loop_now(cache->loop);

	if (cache->store_lost ||
	    now - cache->responded_at > STORE_CACHE_STORE_LOST_USEC) {
		slog_event(EV_STORE_REGAINED, "{s:I, s:I}", "away_ms",
		    (json_int_t)((now - cache->responded_at) /
			LOOP_USEC_PER_MSEC),
		    "revision", (json_int_t)cache->revision);
		cache->regained_at = now;
	}
	cache->store_lost = false;
	cache->responded_at = now;
	cache->backoff = STORE_CACHE_BACKOFF_USEC;
}

/*
 * Records a failed call and schedules the next one after a pause.
 */
static void
note_failure(struct store_cache *cache, const char *call, enum status status)
{
	int64_t now = loop_now(cache->loop);

	if (!cache->store_lost &&
	    now - cache->responded_at > STORE_CACHE_STORE_LOST_USEC) {
		cache->store_lost = true;
		slog_event(EV_STORE_LOST, "{s:s, s:s, s:I}", "call", call,
		    "status", status_name(status), "proved_age_ms",
		    (json_int_t)((now - cache->proved_at) /
			LOOP_USEC_PER_MSEC));
	}
	cache->no_wait = true;
	loop_timer_set(cache->timer, now + cache->backoff);
	cache->backoff = MIN(cache->backoff * 2, STORE_CACHE_BACKOFF_MAX_USEC);
}

/*
 * Applies one item of the store unless the same or a newer version of its key
 * is known.
 */
static void
apply_item(struct store_cache *cache, const struct kv_item *item)
{
	char *key = g_strndup(item->key.data, item->key.len);
	uint64_t *known = g_hash_table_lookup(cache->versions, key);
	uint64_t *version;

	cache->newest = MAX(cache->newest, item->version);
	if (known != NULL && *known >= item->version) {
		g_free(key);
		return;
	}
	if (item->deleted) {
		if (known != NULL) {
			g_hash_table_remove(cache->versions, key);
			cache->ops->removed(item->key, cache->arg);
		}
		g_free(key);
		return;
	}
	version = g_new(uint64_t, 1);
	*version = item->version;
	g_hash_table_replace(cache->versions, key, version);
	cache->ops->changed(item->key, item->value, item->version, cache->arg);
}

/*
 * Returns true if a later item of the same response has the same key.
 */
static bool
is_superseded(const struct kv_result *result, size_t index)
{
	for (size_t i = index + 1; i < result->count; i++) {
		if (lstr_equal(result->items[i].key, result->items[index].key))
			return true;
	}
	return false;
}

/*
 * Postpones the next call in proportion to the time that it took to apply a
 * response, so that requests get the remaining time. On a slow instance a
 * configuration takes a tenth of a second to apply, and several may arrive
 * within one second.
 */
static void
throttle(struct store_cache *cache, int64_t started_at)
{
	int64_t now = loop_now(cache->loop);
	int64_t delay = STORE_CACHE_THROTTLE_FACTOR * (now - started_at);

	cache->throttled_until =
	    now + MIN(delay, STORE_CACHE_THROTTLE_MAX_USEC);
}

/*
 * Removes the keys that a complete list no longer contains.
 */
static void
remove_unlisted(struct store_cache *cache)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer version;

	g_hash_table_iter_init(&iter, cache->versions);
	while (g_hash_table_iter_next(&iter, &key, &version)) {
		if (!g_hash_table_contains(cache->listed_keys, key) &&
		    *(uint64_t *)version <= cache->list_revision)
			g_ptr_array_add(missing, g_strdup(key));
	}
	for (guint i = 0; i < missing->len; i++) {
		const char *name = g_ptr_array_index(missing, i);

		g_hash_table_remove(cache->versions, name);
		cache->ops->removed(lstr_from(name), cache->arg);
	}
	g_ptr_array_free(missing, TRUE);
}

/*
 * Completes a list. The watch continues from the revision of the first page,
 * because the pages are not read atomically.
 */
static void
finish_list(struct store_cache *cache)
{
	bool first = !cache->synced;

	remove_unlisted(cache);
	g_hash_table_destroy(cache->listed_keys);
	cache->listed_keys = NULL;
	cache->revision = cache->list_revision;
	cache->proved_at = cache->list_sent_at;
	cache->synced = true;
	slog_event(EV_STORE_SYNCED, "{s:I, s:i}", "revision",
	    (json_int_t)cache->revision, "keys",
	    (int)g_hash_table_size(cache->versions));
	if (first)
		cache->ops->synced(cache->arg);
}

/*
 * Handles a page of a list.
 */
static void
on_list(const struct kv_result *result, void *arg)
{
	struct store_cache *cache = arg;

	cache->call_pending = false;
	if (result->status != STATUS_OK) {
		g_hash_table_destroy(cache->listed_keys);
		cache->listed_keys = NULL;
		note_failure(cache, "list", result->status);
		return;
	}
	note_response(cache);
	if (g_hash_table_size(cache->listed_keys) == 0)
		cache->list_revision = result->revision;
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		g_hash_table_add(cache->listed_keys,
		    g_strndup(item->key.data, item->key.len));
		apply_item(cache, item);
	}
	g_clear_pointer(&cache->page_after, g_free);
	if (result->more && result->count > 0) {
		struct lstr last = result->items[result->count - 1].key;

		cache->page_after = g_strndup(last.data, last.len);
	} else {
		finish_list(cache);
	}
	next_call(cache);
}

/*
 * Handles the response to a watch and applies its changes.
 */
static void
on_watch(const struct kv_result *result, void *arg)
{
	struct store_cache *cache = arg;
	int64_t started_at = loop_now(cache->loop);

	cache->call_pending = false;
	if (result->status == STATUS_EXPIRED) {
		/* The store has discarded these changes: list all keys. */
		note_response(cache);
		cache->revision = 0;
		next_call(cache);
		return;
	}
	if (result->status != STATUS_OK) {
		note_failure(cache, "watch", result->status);
		return;
	}
	note_response(cache);
	for (size_t i = 0; i < result->count; i++) {
		if (!is_superseded(result, i))
			apply_item(cache, &result->items[i]);
	}
	throttle(cache, started_at);
	if (result->revision > cache->revision)
		cache->revision = result->revision;
	cache->proved_at = cache->call_sent_at;
	if (result->count > 0 && cache->watch != STORE_CACHE_WATCH_PEERS)
		loop_timer_set(cache->timer,
		    loop_now(cache->loop) + STORE_CACHE_COALESCE_USEC);
	else if (cache->watch != STORE_CACHE_WATCH_PEERS)
		next_call(cache);
}

/*
 * Returns true if the cache can rely on its peers' proofs now and needs no call
 * of its own.
 */
static bool
can_rely_on_peers(const struct store_cache *cache, int64_t now)
{
	return cache->watch == STORE_CACHE_WATCH_PEERS && cache->synced &&
	    !cache->store_lost && cache->listed_keys == NULL &&
	    cache->revision != 0 && cache->peer_revision <= cache->revision &&
	    now - cache->proved_at < STORE_CACHE_PEER_PROOF_USEC;
}

/*
 * Requests the next page of a list or the next watch, unless a call is in
 * progress, not needed, or postponed.
 */
static void
next_call(struct store_cache *cache)
{
	int64_t now = loop_now(cache->loop);
	struct lstr prefix = lstr_from(cache->prefix);

	if (cache->call_pending || can_rely_on_peers(cache, now))
		return;
	if (now < cache->throttled_until) {
		loop_timer_set(cache->timer, cache->throttled_until);
		return;
	}
	/* Changes known to a peer, or a new proof, are needed at once. */
	if (cache->watch == STORE_CACHE_WATCH_PEERS)
		cache->no_wait = true;
	cache->call_pending = true;
	cache->call_sent_at = now;
	if (cache->revision != 0 && cache->listed_keys == NULL) {
		int64_t wait = cache->watch == STORE_CACHE_WATCH_SHARED
		    ? MIN(STORE_CACHE_WATCH_SHARED_USEC, cache->watch_wait_max)
		    : cache->watch_wait_max;

		if (cache->no_wait)
			wait = 0;
		cache->no_wait = false;
		cache->kv->vtable->watch(cache->kv, prefix, cache->revision,
		    now + wait, now + wait + STORE_CACHE_RESPONSE_USEC,
		    on_watch, cache);
		return;
	}
	if (cache->listed_keys == NULL) {
		cache->listed_keys = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		cache->list_sent_at = now;
		g_clear_pointer(&cache->page_after, g_free);
	}
	cache->kv->vtable->list(cache->kv, prefix,
	    cache->page_after ? lstr_from(cache->page_after) : lstr_make("", 0),
	    now + STORE_CACHE_LIST_USEC, on_list, cache);
}

/*
 * Sets which nodes watch the store.
 */
void
store_cache_set_watch(struct store_cache *cache, enum store_cache_watch watch)
{
	cache->watch = watch;
}

/*
 * Shortens watches so that a proof is never older than this while the store
 * responds, since the proof of one watch is used until the next is answered.
 * 0: the limit is left unchanged.
 */
void
store_cache_set_proof_max(struct store_cache *cache, int64_t usec)
{
	int64_t wait = (usec - STORE_CACHE_PROOF_SLACK_USEC) / 2;

	if (usec > 0)
		cache->watch_wait_max = CLAMP(
		    wait, STORE_CACHE_WATCH_MIN_USEC, STORE_CACHE_WATCH_USEC);
}

/*
 * Records a peer's proof. It counts like a proof of this node unless the peer
 * knows of changes that are missing here; those are fetched later.
 */
void
store_cache_note_peer_proof(
    struct store_cache *cache, uint64_t revision, int64_t proved_at)
{
	cache->peer_revision = MAX(cache->peer_revision, revision);
	if (revision == 0 || revision > cache->revision ||
	    proved_at <= cache->proved_at)
		return;
	cache->proved_at = proved_at;
	cache->responded_at = loop_now(cache->loop);
}

/*
 * Fetches changes at once that a peer knows and this copy does not.
 */
void
store_cache_fetch_now(struct store_cache *cache)
{
	if (cache->synced && !cache->store_lost)
		next_call(cache);
}

/*
 * Starts a call if one is due, because a peer knows newer changes or the peers'
 * proofs are too old.
 */
void
store_cache_tick(struct store_cache *cache)
{
	if (loop_timer_is_set(cache->timer))
		return;
	if (cache->watch == STORE_CACHE_WATCH_PEERS && cache->synced &&
	    !cache->store_lost &&
	    loop_now(cache->loop) - cache->call_sent_at <
		STORE_CACHE_FETCH_USEC)
		return;
	next_call(cache);
}

/*
 * Returns the latest time at which the copy is proved to have been current;
 * 0: never.
 */
int64_t
store_cache_proved_at(const struct store_cache *cache)
{
	return cache->proved_at;
}

/*
 * Returns when the last outage of the store ended; 0: there was none.
 */
int64_t
store_cache_store_regained_at(const struct store_cache *cache)
{
	return cache->regained_at;
}

/*
 * Returns the revision of the newest known change.
 */
uint64_t
store_cache_newest_revision(const struct store_cache *cache)
{
	return cache->newest;
}

/*
 * Returns true if all keys have been read at least once.
 */
bool
store_cache_is_synced(const struct store_cache *cache)
{
	return cache->synced;
}

/*
 * Returns true if the store has not responded for STORE_CACHE_STORE_LOST_USEC.
 */
bool
store_cache_is_store_lost(const struct store_cache *cache)
{
	return cache->store_lost ||
	    loop_now(cache->loop) - cache->responded_at >
	    STORE_CACHE_STORE_LOST_USEC;
}
