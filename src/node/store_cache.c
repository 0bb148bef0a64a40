#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "store_cache.h"
#include "slog.h"

/* A known key. */
struct known_key {
	struct store_position position;
	uint64_t value_hash;
	/* The store may have lost it: it has not been listed since. */
	bool unconfirmed;
};

struct store_cache {
	struct loop *loop;
	struct kv *kv;
	char *prefix;
	const struct store_cache_ops *ops;
	void *arg;
	/* struct known_key by key. */
	GHashTable *keys;
	/* Keys returned so far by the current list; NULL: no list runs. */
	GHashTable *listed_keys;
	struct loop_timer *timer;
	/* The copy includes all changes up to this position of the store; all
	 * keys must be listed if its revision is 0. */
	struct store_position complete;
	/* Position of the newest of these changes. */
	struct store_position newest;
	struct store_position list_position;
	/* Latest position of the store in a response, or in the proof of a peer
	 * that was accepted. */
	struct store_position seen;
	int64_t seen_at;
	uint64_t restores;
	/* The keys are listed again because the store has lost changes or may
	 * have, and only what was proved since then counts; 0: not yet. */
	bool restoring;
	int64_t proofs_from;
	/* Settled era that the listed keys state, if they state one. */
	uint64_t settled_era;
	bool states_settled_era;
	/* It is known to have lost some. */
	bool lists_old_copy;
	/* Highest era that a peer has told since the last response. */
	uint64_t peer_era;
	/* When the last list was complete. */
	int64_t relisted_at;
	int64_t call_sent_at;
	/* When the store answers the current watch at the latest. */
	int64_t watch_until;
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
	/* Position of the newest change known to a peer, and since when such a
	 * change is missing here; 0: none is. */
	struct store_position peer_newest;
	int64_t behind_since;
	enum store_cache_watch watch;
	/* Longest wait of a watch. */
	int64_t watch_wait_max;
	bool synced;
	bool store_lost;
	bool call_pending;
};

static void next_call(struct store_cache *store_cache);

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
	struct store_cache *store_cache = g_new0(struct store_cache, 1);
	enum status status;

	store_cache->loop = loop;
	store_cache->kv = kv;
	store_cache->prefix = g_strdup(prefix);
	store_cache->ops = ops;
	store_cache->arg = arg;
	store_cache->backoff = STORE_CACHE_BACKOFF_USEC;
	store_cache->watch_wait_max = STORE_CACHE_WATCH_USEC;
	store_cache->responded_at = loop_now(loop);
	store_cache->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	status =
	    loop_timer_create(loop, on_timer, store_cache, &store_cache->timer);
	if (status != STATUS_OK) {
		store_cache_destroy(store_cache);
		return status;
	}
	loop_timer_set(store_cache->timer, 0);
	*out = store_cache;
	return STATUS_OK;
}

/*
 * Frees the cache. No call may be in progress, so its store client must have
 * been destroyed before.
 */
void
store_cache_destroy(struct store_cache *store_cache)
{
	if (store_cache == NULL)
		return;
	loop_timer_destroy(store_cache->timer);
	g_hash_table_destroy(store_cache->keys);
	if (store_cache->listed_keys != NULL)
		g_hash_table_destroy(store_cache->listed_keys);
	g_free(store_cache->prefix);
	g_free(store_cache->page_after);
	g_free(store_cache);
}

/*
 * Ends the current list, if any.
 */
static void
abandon_list(struct store_cache *store_cache)
{
	if (store_cache->listed_keys != NULL)
		g_hash_table_destroy(store_cache->listed_keys);
	store_cache->listed_keys = NULL;
	g_clear_pointer(&store_cache->page_after, g_free);
}

/*
 * Schedules that all keys are listed again, as the store has lost changes or
 * may have. What is known of them counts until then, but the list takes
 * precedence, whatever the positions in it.
 */
static void
list_anew(struct store_cache *store_cache)
{
	GHashTableIter iter;
	gpointer value;

	abandon_list(store_cache);
	g_hash_table_iter_init(&iter, store_cache->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct known_key *)value)->unconfirmed = true;
	store_cache->complete =
	    (struct store_position){store_cache->seen.era, 0};
	store_cache->newest = store_cache->complete;
	store_cache->peer_newest = store_cache->complete;
	store_cache->behind_since = 0;
	store_cache->restoring = true;
	store_cache->proofs_from =
	    loop_now(store_cache->loop) + STORE_CACHE_REWRITE_USEC;
}

/*
 * Handles that the store has come back from an older copy of its data. The
 * proof that the copy had stays as it is and grows older.
 */
static void
handle_restore(struct store_cache *store_cache, struct store_position position)
{
	struct store_position before = store_cache->seen;
	int64_t now = loop_now(store_cache->loop);

	store_cache->seen = position;
	store_cache->seen_at = now;
	store_cache->restores++;
	slog_event(EV_STORE_RESTORED, "{s:I, s:I, s:I, s:I, s:i}", "era_before",
	    (json_int_t)before.era, "revision_before",
	    (json_int_t)before.revision, "era", (json_int_t)position.era,
	    "revision", (json_int_t)position.revision, "keys",
	    (int)g_hash_table_size(store_cache->keys));
	list_anew(store_cache);
	store_cache->lists_old_copy = true;
	store_cache->regained_at = now;
}

/*
 * Records the position of the store in a response. Reads are linearizable and
 * one call runs at a time, so the store has come back from an older copy if its
 * era is higher or its revision is lower than in an earlier response. A watch
 * may tell any revision from which the next one can continue, so
 * lowest_revision is the one after which it started. Returns false if the
 * response is of an earlier era and must be ignored.
 */
static bool
note_position(struct store_cache *store_cache, const struct kv_result *result,
    uint64_t lowest_revision)
{
	struct store_position position = {result->era, result->revision};
	struct store_position seen = store_cache->seen;

	store_cache->peer_era = 0;
	if (position.era < seen.era)
		return false;
	if (position.era == seen.era && result->status != STATUS_OK)
		return true;
	if ((position.era > seen.era &&
		(seen.revision != 0 || store_cache->synced)) ||
	    (position.era == seen.era && position.revision < lowest_revision))
		handle_restore(store_cache, position);
	if (store_position_compare(position, store_cache->seen) > 0) {
		store_cache->seen = position;
		store_cache->seen_at = loop_now(store_cache->loop);
	}
	return true;
}

/*
 * Records a response of the store. If it tells no era, an outage may have
 * hidden that it came back from an older copy.
 */
static void
note_response(struct store_cache *store_cache)
{
	int64_t now = loop_now(store_cache->loop);

	if (store_cache->store_lost ||
	    now - store_cache->responded_at > STORE_CACHE_STORE_LOST_USEC) {
		slog_event(EV_STORE_REGAINED, "{s:I, s:I}", "away_ms",
		    (json_int_t)((now - store_cache->responded_at) /
			LOOP_USEC_PER_MSEC),
		    "revision", (json_int_t)store_cache->seen.revision);
		store_cache->regained_at = now;
		if (store_cache->seen.era == 0 && store_cache->synced)
			list_anew(store_cache);
	}
	store_cache->store_lost = false;
	store_cache->responded_at = now;
	store_cache->backoff = STORE_CACHE_BACKOFF_USEC;
}

/*
 * Records a failed call and schedules the next one after a pause.
 */
static void
note_failure(struct store_cache *store_cache, const char *call,
    const struct kv_result *result)
{
	int64_t now = loop_now(store_cache->loop);

	slog_event(EV_STORE_CALL_FAILED, "{s:s, s:s, s:I, s:I, s:I}", "call",
	    call, "status", status_name(result->status), "after_ms",
	    (json_int_t)((now - store_cache->call_sent_at) /
		LOOP_USEC_PER_MSEC),
	    "received_bytes", (json_int_t)result->received_bytes,
	    "proof_age_ms",
	    (json_int_t)((now - store_cache->proved_at) / LOOP_USEC_PER_MSEC));

	if (!store_cache->store_lost &&
	    now - store_cache->responded_at > STORE_CACHE_STORE_LOST_USEC) {
		store_cache->store_lost = true;
		slog_event(EV_STORE_LOST, "{s:s, s:s, s:I}", "call", call,
		    "status", status_name(result->status), "proved_age_ms",
		    (json_int_t)((now - store_cache->proved_at) /
			LOOP_USEC_PER_MSEC));
	}
	store_cache->no_wait = true;
	loop_timer_set(store_cache->timer, now + store_cache->backoff);
	store_cache->backoff =
	    MIN(store_cache->backoff * 2, STORE_CACHE_BACKOFF_MAX_USEC);
}

/*
 * Returns a hash of a value.
 */
static uint64_t
hash_value(struct lstr value)
{
	return XXH3_64bits(value.data, value.len);
}

/*
 * Returns true if an item is not newer than what is known of its key. If the
 * store may have lost the key, only the same value at the same position is not.
 */
static bool
is_known(const struct known_key *known, const struct kv_item *item,
    struct store_position position)
{
	if (known == NULL)
		return false;
	if (known->unconfirmed)
		return !item->deleted &&
		    store_position_equal(known->position, position) &&
		    known->value_hash == hash_value(item->value);
	return store_position_compare(known->position, position) >= 0;
}

/*
 * Applies one item of the store unless the same or a newer version of its key
 * is known.
 */
static void
apply_item(
    struct store_cache *store_cache, const struct kv_item *item, uint64_t era)
{
	struct store_position position = {era, item->version};
	char *key = g_strndup(item->key.data, item->key.len);
	struct known_key *known = g_hash_table_lookup(store_cache->keys, key);

	store_cache->newest = store_position_max(store_cache->newest, position);
	if (is_known(known, item, position)) {
		known->unconfirmed = false;
		g_free(key);
		return;
	}
	if (item->deleted) {
		if (known != NULL) {
			g_hash_table_remove(store_cache->keys, key);
			store_cache->ops->removed(item->key, store_cache->arg);
		}
		g_free(key);
		return;
	}
	known = g_new(struct known_key, 1);
	*known = (struct known_key){position, hash_value(item->value), false};
	g_hash_table_replace(store_cache->keys, key, known);
	store_cache->ops->changed(
	    item->key, item->value, position, store_cache->arg);
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
throttle(struct store_cache *store_cache, int64_t started_at)
{
	int64_t now = loop_now(store_cache->loop);
	int64_t delay = STORE_CACHE_THROTTLE_FACTOR * (now - started_at);

	store_cache->throttled_until =
	    now + MIN(delay, STORE_CACHE_THROTTLE_MAX_USEC);
}

/*
 * Removes the keys that a complete list no longer contains, and returns their
 * number.
 */
static guint
remove_unlisted(struct store_cache *store_cache)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint count;

	g_hash_table_iter_init(&iter, store_cache->keys);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct known_key *known = value;

		if (!g_hash_table_contains(store_cache->listed_keys, key) &&
		    (known->unconfirmed ||
			store_position_compare(
			    known->position, store_cache->list_position) <= 0))
			g_ptr_array_add(missing, g_strdup(key));
	}
	count = missing->len;
	for (guint i = 0; i < count; i++) {
		const char *name = g_ptr_array_index(missing, i);

		g_hash_table_remove(store_cache->keys, name);
		store_cache->ops->removed(lstr_from(name), store_cache->arg);
	}
	g_ptr_array_free(missing, TRUE);
	return count;
}

/*
 * Notes that the copy has become complete up to a position.
 */
static void
advance(struct store_cache *store_cache, struct store_position position)
{
	store_cache->complete =
	    store_position_max(store_cache->complete, position);
	if (store_position_compare(position, store_cache->seen) > 0) {
		store_cache->seen = position;
		store_cache->seen_at = loop_now(store_cache->loop);
	}
	if (store_position_compare(
		store_cache->peer_newest, store_cache->complete) <= 0)
		store_cache->behind_since = 0;
}

/*
 * Records a proof of the copy. After a restore none counts until the operator
 * has had time to write lost configurations again.
 */
static void
note_proof(struct store_cache *store_cache, int64_t proved_at)
{
	if (proved_at >= store_cache->proofs_from)
		store_cache->proved_at = proved_at;
}

/*
 * Handles the first list of a process. If the store has come back from an older
 * copy and no node has settled its era yet, the list may lack the operator's
 * latest configuration, although this process has seen no other era.
 */
static void
check_first_list(struct store_cache *store_cache)
{
	int64_t now = loop_now(store_cache->loop);

	if (!store_cache->states_settled_era ||
	    store_cache->settled_era >= store_cache->complete.era)
		return;
	store_cache->proofs_from =
	    MAX(store_cache->proofs_from, now + STORE_CACHE_REWRITE_USEC);
	slog_event(EV_ERA_UNSETTLED, "{s:I, s:I, s:I}", "settled",
	    (json_int_t)store_cache->settled_era, "era",
	    (json_int_t)store_cache->complete.era, "proofs_in_ms",
	    (json_int_t)((store_cache->proofs_from - now) /
		LOOP_USEC_PER_MSEC));
}

/*
 * Completes a list. The watch continues from the position of the first page,
 * because the pages are not read atomically.
 */
static void
finish_list(struct store_cache *store_cache)
{
	bool first = !store_cache->synced;
	guint removed = remove_unlisted(store_cache);

	abandon_list(store_cache);
	store_cache->restoring = false;
	store_cache->lists_old_copy = false;
	store_cache->relisted_at = loop_now(store_cache->loop);
	/* The list does not show deletions, so it counts as a change itself. */
	store_cache->newest =
	    store_position_max(store_cache->newest, store_cache->list_position);
	advance(store_cache, store_cache->list_position);
	if (first)
		check_first_list(store_cache);
	note_proof(store_cache, store_cache->list_sent_at);
	store_cache->synced = true;
	slog_event(EV_STORE_SYNCED, "{s:I, s:I, s:i, s:i}", "era",
	    (json_int_t)store_cache->complete.era, "revision",
	    (json_int_t)store_cache->complete.revision, "keys",
	    (int)g_hash_table_size(store_cache->keys), "removed", (int)removed);
	if (first)
		store_cache->ops->synced(store_cache->arg);
}

/*
 * Handles a page of a list.
 */
static void
on_list(const struct kv_result *result, void *arg)
{
	struct store_cache *store_cache = arg;
	bool is_first_page = g_hash_table_size(store_cache->listed_keys) == 0;
	bool accepted =
	    note_position(store_cache, result, store_cache->seen.revision);

	store_cache->call_pending = false;
	if (!accepted || result->status != STATUS_OK) {
		abandon_list(store_cache);
		note_failure(store_cache, "list", result);
		return;
	}
	note_response(store_cache);
	if (store_cache->listed_keys == NULL) {
		/* The store came back between two pages, or before the first
		 * one. */
		next_call(store_cache);
		return;
	}
	if (is_first_page)
		store_cache->list_position =
		    (struct store_position){result->era, result->revision};
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		g_hash_table_add(store_cache->listed_keys,
		    g_strndup(item->key.data, item->key.len));
		apply_item(store_cache, item, result->era);
	}
	g_clear_pointer(&store_cache->page_after, g_free);
	if (result->more && result->count > 0) {
		struct lstr last = result->items[result->count - 1].key;

		store_cache->page_after = g_strndup(last.data, last.len);
	} else {
		finish_list(store_cache);
	}
	next_call(store_cache);
}

/*
 * Applies the changes of a watch, the last one of each key only.
 */
static void
apply_changes(struct store_cache *store_cache, const struct kv_result *result)
{
	for (size_t i = 0; i < result->count; i++) {
		if (!is_superseded(result, i))
			apply_item(store_cache, &result->items[i], result->era);
	}
	advance(store_cache,
	    (struct store_position){result->era, result->revision});
}

/*
 * Returns when to send the next watch. The store answers a watch early, also
 * without changes, whenever a server reports to it; watches that followed at
 * once would be dozens a second while many servers start.
 */
static int64_t
next_watch_at(const struct store_cache *store_cache)
{
	int64_t now = loop_now(store_cache->loop);

	if (now >= store_cache->watch_until)
		return now;
	if (store_cache->watch == STORE_CACHE_WATCH_SHARED)
		return MAX(now,
		    store_cache->call_sent_at +
			STORE_CACHE_SHARED_INTERVAL_USEC);
	return now + STORE_CACHE_COALESCE_USEC;
}

/*
 * Handles the response to a watch and applies its changes.
 */
static void
on_watch(const struct kv_result *result, void *arg)
{
	struct store_cache *store_cache = arg;
	int64_t started_at = loop_now(store_cache->loop);
	uint64_t restores = store_cache->restores;
	bool accepted =
	    note_position(store_cache, result, store_cache->complete.revision);
	struct store_position after;

	store_cache->call_pending = false;
	if (accepted && result->status == STATUS_EXPIRED) {
		/* The store has discarded these changes: list all keys. Without
		 * an era it may also have lost them. */
		note_response(store_cache);
		if (result->era == 0)
			list_anew(store_cache);
		store_cache->complete.revision = 0;
		next_call(store_cache);
		return;
	}
	if (store_cache->restores != restores) {
		note_response(store_cache);
		next_call(store_cache);
		return;
	}
	if (!accepted || result->status != STATUS_OK) {
		note_failure(store_cache, "watch", result);
		return;
	}
	note_response(store_cache);
	if (store_cache->complete.revision == 0) {
		next_call(store_cache);
		return;
	}
	/* There was no change between the newest known one and the position at
	 * which this watch started. */
	after = store_cache->newest;
	if (store_cache->watch == STORE_CACHE_WATCH_SHARED && result->count > 0)
		store_cache->ops->fetched(after,
		    (struct store_position){result->era, result->revision},
		    result->items, result->count, store_cache->arg);
	apply_changes(store_cache, result);
	throttle(store_cache, started_at);
	note_proof(store_cache, store_cache->call_sent_at);
	if (store_cache->watch != STORE_CACHE_WATCH_PEERS)
		loop_timer_set(store_cache->timer, next_watch_at(store_cache));
}

/*
 * Returns true if the cache can rely on its peers' proofs now and needs no call
 * of its own.
 */
static bool
can_rely_on_peers(const struct store_cache *store_cache, int64_t now)
{
	return store_cache->watch == STORE_CACHE_WATCH_PEERS &&
	    store_cache->synced && !store_cache->store_lost &&
	    store_cache->listed_keys == NULL &&
	    store_cache->complete.revision != 0 &&
	    store_cache->peer_era <= store_cache->complete.era &&
	    store_position_compare(
		store_cache->peer_newest, store_cache->complete) <= 0 &&
	    now - store_cache->proved_at < STORE_CACHE_PEER_PROOF_USEC;
}

/*
 * Requests the next page of a list or the next watch, unless a call is in
 * progress, not needed, or postponed.
 */
static void
next_call(struct store_cache *store_cache)
{
	int64_t now = loop_now(store_cache->loop);
	struct lstr prefix = lstr_from(store_cache->prefix);

	if (store_cache->call_pending || can_rely_on_peers(store_cache, now))
		return;
	if (now < store_cache->throttled_until) {
		loop_timer_set(
		    store_cache->timer, store_cache->throttled_until);
		return;
	}
	/* Changes known to a peer, or a new proof, are needed at once. */
	if (store_cache->watch == STORE_CACHE_WATCH_PEERS)
		store_cache->no_wait = true;
	store_cache->call_pending = true;
	store_cache->call_sent_at = now;
	if (store_cache->complete.revision != 0 &&
	    store_cache->listed_keys == NULL) {
		int64_t wait = store_cache->watch == STORE_CACHE_WATCH_SHARED
		    ? MIN(STORE_CACHE_WATCH_SHARED_USEC,
			  store_cache->watch_wait_max)
		    : store_cache->watch_wait_max;

		if (now < store_cache->proofs_from)
			wait = MIN(wait, store_cache->proofs_from - now);
		else if (store_cache->proved_at < store_cache->proofs_from)
			wait = 0;
		if (store_cache->no_wait)
			wait = 0;
		store_cache->no_wait = false;
		store_cache->watch_until = now + wait;
		store_cache->kv->vtable->watch(store_cache->kv, prefix,
		    store_cache->complete.revision, now + wait,
		    now + wait + STORE_CACHE_RESPONSE_USEC, on_watch,
		    store_cache);
		return;
	}
	if (store_cache->listed_keys == NULL) {
		store_cache->listed_keys = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		store_cache->list_sent_at = now;
		g_clear_pointer(&store_cache->page_after, g_free);
	}
	store_cache->kv->vtable->list(store_cache->kv, prefix,
	    store_cache->page_after ? lstr_from(store_cache->page_after)
				    : lstr_make("", 0),
	    now + STORE_CACHE_LIST_USEC, on_list, store_cache);
}

/*
 * Sets which nodes watch the store.
 */
void
store_cache_set_watch(
    struct store_cache *store_cache, enum store_cache_watch watch)
{
	store_cache->watch = watch;
}

/*
 * Shortens watches so that a proof is never older than this while the store
 * responds, since the proof of one watch is used until the next is answered.
 * 0: the limit is left unchanged.
 */
void
store_cache_set_proof_max(struct store_cache *store_cache, int64_t usec)
{
	int64_t wait = (usec - STORE_CACHE_PROOF_SLACK_USEC) / 2;

	if (usec > 0)
		store_cache->watch_wait_max = CLAMP(
		    wait, STORE_CACHE_WATCH_MIN_USEC, STORE_CACHE_WATCH_USEC);
}

/*
 * Queries the store soon, unless a call is in progress or the last one failed
 * and will be repeated.
 */
static void
query_soon(struct store_cache *store_cache)
{
	if (store_cache->call_pending ||
	    store_cache->backoff != STORE_CACHE_BACKOFF_USEC)
		return;
	store_cache->no_wait = true;
	loop_timer_set(store_cache->timer,
	    MAX(loop_now(store_cache->loop),
		store_cache->call_sent_at + STORE_CACHE_BACKOFF_USEC));
}

/*
 * Returns whether what a peer tells of a position can be compared with this
 * copy. A higher era makes this node query the store. A store without an era
 * does not show whether a peer speaks of a lost history; after a restore only
 * what was proved later counts.
 */
static bool
is_comparable(struct store_cache *store_cache, struct store_position position,
    int64_t proved_at)
{
	if (position.era > store_cache->complete.era) {
		store_cache->peer_era =
		    MAX(store_cache->peer_era, position.era);
		query_soon(store_cache);
		return false;
	}
	if (position.era < store_cache->complete.era)
		return false;
	return position.era != 0 || store_cache->proofs_from == 0 ||
	    (!store_cache->restoring && proved_at > store_cache->relisted_at);
}

/*
 * Returns true if a peer's proof shows that a store without an era has come
 * back from an older copy: the peer's call was sent after this node had
 * received a higher revision than the peer then received.
 */
static bool
shows_restore(const struct store_cache *store_cache,
    struct store_position complete, int64_t proved_at)
{
	return complete.era == 0 && store_cache->seen.era == 0 &&
	    complete.revision < store_cache->seen.revision &&
	    proved_at > store_cache->seen_at;
}

/*
 * Records a peer's proof. It counts like a proof of this node unless the peer
 * knows of changes that are missing here; those arrive or are fetched later.
 */
void
store_cache_note_peer_proof(struct store_cache *store_cache,
    struct store_position newest, struct store_position complete,
    int64_t proved_at, bool same_config)
{
	int64_t now = loop_now(store_cache->loop);

	if (!is_comparable(store_cache, newest, proved_at))
		return;
	if (shows_restore(store_cache, complete, proved_at)) {
		/* A pending call is answered by the restored store, or was by
		 * the former one. */
		if (!store_cache->call_pending)
			handle_restore(store_cache, complete);
		query_soon(store_cache);
		return;
	}
	store_cache->peer_newest =
	    store_position_max(store_cache->peer_newest, newest);
	if (store_position_compare(
		store_cache->peer_newest, store_cache->complete) > 0 &&
	    store_cache->behind_since == 0)
		store_cache->behind_since = now;
	if (!same_config || newest.revision == 0 ||
	    store_position_compare(newest, store_cache->complete) > 0)
		return;
	/* A watch may continue from here although the store has discarded the
	 * history before. */
	if (store_cache->listed_keys == NULL && !store_cache->call_pending &&
	    store_cache->complete.revision != 0)
		advance(store_cache, complete);
	if (proved_at <= store_cache->proved_at ||
	    proved_at < store_cache->proofs_from)
		return;
	store_cache->proved_at = proved_at;
	store_cache->responded_at = now;
}

/*
 * Applies all changes after one position up to another that a peer read from
 * the store. They are ignored if earlier ones are missing here, or while a list
 * or watch of this node's own is in progress.
 */
void
store_cache_apply_peer_changes(struct store_cache *store_cache,
    struct store_position after, struct store_position position,
    const struct kv_item *items, size_t count)
{
	const struct kv_result result = {.status = STATUS_OK,
	    .era = position.era,
	    .items = items,
	    .count = count,
	    .revision = position.revision};

	if (!is_comparable(store_cache, position,
		loop_now(store_cache->loop) - STORE_CACHE_DATAGRAM_USEC) ||
	    after.era != position.era || store_cache->call_pending ||
	    store_cache->listed_keys != NULL ||
	    store_cache->complete.revision == 0 ||
	    store_position_compare(after, store_cache->complete) > 0 ||
	    store_position_compare(position, store_cache->complete) <= 0)
		return;
	apply_changes(store_cache, &result);
}

/*
 * Fetches changes that a peer knows and this copy does not, without waiting for
 * the peer to send them: a configuration is too large for that.
 */
void
store_cache_fetch_now(struct store_cache *store_cache)
{
	if (store_cache->synced && !store_cache->store_lost &&
	    loop_now(store_cache->loop) - store_cache->call_sent_at >=
		STORE_CACHE_FETCH_USEC)
		next_call(store_cache);
}

/*
 * Starts a call if one is due, because a peer knows newer changes or the peers'
 * proofs are too old.
 */
void
store_cache_tick(struct store_cache *store_cache)
{
	int64_t now = loop_now(store_cache->loop);

	if (loop_timer_is_set(store_cache->timer))
		return;
	if (store_cache->watch == STORE_CACHE_WATCH_PEERS &&
	    store_cache->synced && !store_cache->store_lost &&
	    now - store_cache->call_sent_at < STORE_CACHE_FETCH_USEC)
		return;
	/* A peer is about to send the change. */
	if (store_cache->watch == STORE_CACHE_WATCH_PEERS &&
	    store_cache->behind_since != 0 &&
	    now - store_cache->behind_since < STORE_CACHE_RELAY_USEC &&
	    now - store_cache->proved_at < STORE_CACHE_PEER_PROOF_USEC)
		return;
	next_call(store_cache);
}

/*
 * Notes the settled era that a key of the store states.
 */
void
store_cache_note_settled_era(struct store_cache *store_cache, uint64_t era)
{
	store_cache->settled_era = era;
	store_cache->states_settled_era = true;
}

/*
 * Returns the era of the store if the copy has been proved in it since the
 * operator had time to write lost configurations again; otherwise 0.
 */
uint64_t
store_cache_proved_era(const struct store_cache *store_cache)
{
	return store_cache->synced && !store_cache->restoring &&
		store_cache->proved_at != 0 &&
		store_cache->proved_at >= store_cache->proofs_from
	    ? store_cache->complete.era
	    : 0;
}

/*
 * Returns the latest time at which the copy is proved to have been current;
 * 0: never.
 */
int64_t
store_cache_proved_at(const struct store_cache *store_cache)
{
	return store_cache->proved_at;
}

/*
 * Returns when the last outage of the store ended, or when it was seen to have
 * come back from an older copy; 0: never.
 */
int64_t
store_cache_store_regained_at(const struct store_cache *store_cache)
{
	return store_cache->regained_at;
}

/*
 * Returns the position of the newest known change.
 */
struct store_position
store_cache_newest_position(const struct store_cache *store_cache)
{
	return store_cache->newest;
}

/*
 * Returns the position of the store up to which all changes are known.
 */
struct store_position
store_cache_complete_position(const struct store_cache *store_cache)
{
	return store_cache->complete;
}

/*
 * Returns true while the keys are listed again because the store has lost
 * changes or may have.
 */
bool
store_cache_is_restoring(const struct store_cache *store_cache)
{
	return store_cache->restoring;
}

/*
 * Returns true while the keys are listed again because the store is known to
 * have come back from an older copy of its data.
 */
bool
store_cache_lists_old_copy(const struct store_cache *store_cache)
{
	return store_cache->lists_old_copy;
}

/*
 * Returns how often the store has come back from an older copy of its data.
 */
uint64_t
store_cache_restore_count(const struct store_cache *store_cache)
{
	return store_cache->restores;
}

/*
 * Returns true if all keys have been read at least once.
 */
bool
store_cache_is_synced(const struct store_cache *store_cache)
{
	return store_cache->synced;
}

/*
 * Returns true if the store has not responded for STORE_CACHE_STORE_LOST_USEC.
 */
bool
store_cache_is_store_lost(const struct store_cache *store_cache)
{
	return store_cache->store_lost ||
	    loop_now(store_cache->loop) - store_cache->responded_at >
	    STORE_CACHE_STORE_LOST_USEC;
}
