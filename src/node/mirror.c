#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "mirror.h"
#include "slog.h"

struct mirror {
	struct loop *loop;
	struct kv *kv;
	char *prefix;
	const struct mirror_ops *ops;
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
	enum mirror_watch watch;
	/* Longest wait of a watch. */
	int64_t watch_wait_max;
	bool synced;
	bool store_lost;
	bool call_pending;
};

static void next_call(struct mirror *mirror);

/*
 * Makes the postponed call.
 */
static void
on_timer(void *arg)
{
	next_call(arg);
}

/*
 * Creates a copy and starts to list the keys at once. The store client must
 * outlive the copy, which borrows it.
 */
enum status
mirror_create(struct loop *loop, struct kv *kv, const char *prefix,
    const struct mirror_ops *ops, void *arg, struct mirror **out)
{
	struct mirror *mirror = g_new0(struct mirror, 1);
	enum status status;

	mirror->loop = loop;
	mirror->kv = kv;
	mirror->prefix = g_strdup(prefix);
	mirror->ops = ops;
	mirror->arg = arg;
	mirror->backoff = MIRROR_BACKOFF_USEC;
	mirror->watch_wait_max = MIRROR_WATCH_USEC;
	mirror->responded_at = loop_now(loop);
	mirror->versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	status = loop_timer_create(loop, on_timer, mirror, &mirror->timer);
	if (status != STATUS_OK) {
		mirror_destroy(mirror);
		return status;
	}
	loop_timer_set(mirror->timer, 0);
	*out = mirror;
	return STATUS_OK;
}

/*
 * Frees the copy. No call may be in progress, so its store client must have
 * been destroyed before.
 */
void
mirror_destroy(struct mirror *mirror)
{
	if (mirror == NULL)
		return;
	loop_timer_destroy(mirror->timer);
	g_hash_table_destroy(mirror->versions);
	if (mirror->listed_keys != NULL)
		g_hash_table_destroy(mirror->listed_keys);
	g_free(mirror->prefix);
	g_free(mirror->page_after);
	g_free(mirror);
}

/*
 * Records a response of the store.
 */
static void
note_response(struct mirror *mirror)
{
	int64_t now = loop_now(mirror->loop);

	if (mirror->store_lost ||
	    now - mirror->responded_at > MIRROR_STORE_LOST_USEC) {
		slog_event(EV_STORE_REGAINED, "{s:I, s:I}", "away_ms",
		    (json_int_t)((now - mirror->responded_at) /
			LOOP_USEC_PER_MSEC),
		    "revision", (json_int_t)mirror->revision);
		mirror->regained_at = now;
	}
	mirror->store_lost = false;
	mirror->responded_at = now;
	mirror->backoff = MIRROR_BACKOFF_USEC;
}

/*
 * Records a failed call and schedules the next one after a pause.
 */
static void
note_failure(struct mirror *mirror, const char *call, enum status status)
{
	int64_t now = loop_now(mirror->loop);

	if (!mirror->store_lost &&
	    now - mirror->responded_at > MIRROR_STORE_LOST_USEC) {
		mirror->store_lost = true;
		slog_event(EV_STORE_LOST, "{s:s, s:s, s:I}", "call", call,
		    "status", status_name(status), "proved_age_ms",
		    (json_int_t)((now - mirror->proved_at) /
			LOOP_USEC_PER_MSEC));
	}
	mirror->no_wait = true;
	loop_timer_set(mirror->timer, now + mirror->backoff);
	mirror->backoff = MIN(mirror->backoff * 2, MIRROR_BACKOFF_MAX_USEC);
}

/*
 * Applies one item of the store unless the same or a newer version of its key
 * is known.
 */
static void
apply_item(struct mirror *mirror, const struct kv_item *item)
{
	char *key = g_strndup(item->key.data, item->key.len);
	uint64_t *known = g_hash_table_lookup(mirror->versions, key);
	uint64_t *version;

	mirror->newest = MAX(mirror->newest, item->version);
	if (known != NULL && *known >= item->version) {
		g_free(key);
		return;
	}
	if (item->deleted) {
		if (known != NULL) {
			g_hash_table_remove(mirror->versions, key);
			mirror->ops->removed(item->key, mirror->arg);
		}
		g_free(key);
		return;
	}
	version = g_new(uint64_t, 1);
	*version = item->version;
	g_hash_table_replace(mirror->versions, key, version);
	mirror->ops->changed(
	    item->key, item->value, item->version, mirror->arg);
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
throttle(struct mirror *mirror, int64_t started_at)
{
	int64_t now = loop_now(mirror->loop);
	int64_t delay = MIRROR_THROTTLE_FACTOR * (now - started_at);

	mirror->throttled_until = now + MIN(delay, MIRROR_THROTTLE_MAX_USEC);
}

/*
 * Removes the keys that a complete list no longer contains.
 */
static void
remove_unlisted(struct mirror *mirror)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer version;

	g_hash_table_iter_init(&iter, mirror->versions);
	while (g_hash_table_iter_next(&iter, &key, &version)) {
		if (!g_hash_table_contains(mirror->listed_keys, key) &&
		    *(uint64_t *)version <= mirror->list_revision)
			g_ptr_array_add(missing, g_strdup(key));
	}
	for (guint i = 0; i < missing->len; i++) {
		const char *name = g_ptr_array_index(missing, i);

		g_hash_table_remove(mirror->versions, name);
		mirror->ops->removed(lstr_from(name), mirror->arg);
	}
	g_ptr_array_free(missing, TRUE);
}

/*
 * Completes a list. The watch continues from the revision of the first page,
 * because the pages are not read atomically.
 */
static void
finish_list(struct mirror *mirror)
{
	bool first = !mirror->synced;

	remove_unlisted(mirror);
	g_hash_table_destroy(mirror->listed_keys);
	mirror->listed_keys = NULL;
	mirror->revision = mirror->list_revision;
	mirror->proved_at = mirror->list_sent_at;
	mirror->synced = true;
	slog_event(EV_STORE_SYNCED, "{s:I, s:i}", "revision",
	    (json_int_t)mirror->revision, "keys",
	    (int)g_hash_table_size(mirror->versions));
	if (first)
		mirror->ops->synced(mirror->arg);
}

/*
 * Handles a page of a list.
 */
static void
on_list(const struct kv_result *result, void *arg)
{
	struct mirror *mirror = arg;

	mirror->call_pending = false;
	if (result->status != STATUS_OK) {
		g_hash_table_destroy(mirror->listed_keys);
		mirror->listed_keys = NULL;
		note_failure(mirror, "list", result->status);
		return;
	}
	note_response(mirror);
	if (g_hash_table_size(mirror->listed_keys) == 0)
		mirror->list_revision = result->revision;
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		g_hash_table_add(mirror->listed_keys,
		    g_strndup(item->key.data, item->key.len));
		apply_item(mirror, item);
	}
	g_clear_pointer(&mirror->page_after, g_free);
	if (result->more && result->count > 0) {
		struct lstr last = result->items[result->count - 1].key;

		mirror->page_after = g_strndup(last.data, last.len);
	} else {
		finish_list(mirror);
	}
	next_call(mirror);
}

/*
 * Handles the response to a watch and applies its changes.
 */
static void
on_watch(const struct kv_result *result, void *arg)
{
	struct mirror *mirror = arg;
	int64_t started_at = loop_now(mirror->loop);

	mirror->call_pending = false;
	if (result->status == STATUS_EXPIRED) {
		/* The store has discarded these changes: list all keys. */
		note_response(mirror);
		mirror->revision = 0;
		next_call(mirror);
		return;
	}
	if (result->status != STATUS_OK) {
		note_failure(mirror, "watch", result->status);
		return;
	}
	note_response(mirror);
	for (size_t i = 0; i < result->count; i++) {
		if (!is_superseded(result, i))
			apply_item(mirror, &result->items[i]);
	}
	throttle(mirror, started_at);
	if (result->revision > mirror->revision)
		mirror->revision = result->revision;
	mirror->proved_at = mirror->call_sent_at;
	if (result->count > 0 && mirror->watch != MIRROR_WATCH_PEERS)
		loop_timer_set(mirror->timer,
		    loop_now(mirror->loop) + MIRROR_COALESCE_USEC);
	else if (mirror->watch != MIRROR_WATCH_PEERS)
		next_call(mirror);
}

/*
 * Returns true if this copy can rely on its peers' proofs now and needs no call
 * of its own.
 */
static bool
can_rely_on_peers(const struct mirror *mirror, int64_t now)
{
	return mirror->watch == MIRROR_WATCH_PEERS && mirror->synced &&
	    !mirror->store_lost && mirror->listed_keys == NULL &&
	    mirror->revision != 0 &&
	    mirror->peer_revision <= mirror->revision &&
	    now - mirror->proved_at < MIRROR_PEER_PROOF_USEC;
}

/*
 * Requests the next page of a list or the next watch, unless a call is in
 * progress, not needed, or postponed.
 */
static void
next_call(struct mirror *mirror)
{
	int64_t now = loop_now(mirror->loop);
	struct lstr prefix = lstr_from(mirror->prefix);

	if (mirror->call_pending || can_rely_on_peers(mirror, now))
		return;
	if (now < mirror->throttled_until) {
		loop_timer_set(mirror->timer, mirror->throttled_until);
		return;
	}
	/* Changes known to a peer, or a new proof, are needed at once. */
	if (mirror->watch == MIRROR_WATCH_PEERS)
		mirror->no_wait = true;
	mirror->call_pending = true;
	mirror->call_sent_at = now;
	if (mirror->revision != 0 && mirror->listed_keys == NULL) {
		int64_t wait = mirror->watch == MIRROR_WATCH_SHARED
		    ? MIN(MIRROR_WATCH_SHARED_USEC, mirror->watch_wait_max)
		    : mirror->watch_wait_max;

		if (mirror->no_wait)
			wait = 0;
		mirror->no_wait = false;
		mirror->kv->vtable->watch(mirror->kv, prefix, mirror->revision,
		    now + wait, now + wait + MIRROR_RESPONSE_USEC, on_watch,
		    mirror);
		return;
	}
	if (mirror->listed_keys == NULL) {
		mirror->listed_keys = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		mirror->list_sent_at = now;
		g_clear_pointer(&mirror->page_after, g_free);
	}
	mirror->kv->vtable->list(mirror->kv, prefix,
	    mirror->page_after ? lstr_from(mirror->page_after)
			       : lstr_make("", 0),
	    now + MIRROR_LIST_USEC, on_list, mirror);
}

/*
 * Sets which nodes watch the store.
 */
void
mirror_set_watch(struct mirror *mirror, enum mirror_watch watch)
{
	mirror->watch = watch;
}

/*
 * Shortens watches so that a proof is never older than this while the store
 * responds, since the proof of one watch is used until the next is answered.
 * 0: the limit is left unchanged.
 */
void
mirror_set_proof_max(struct mirror *mirror, int64_t usec)
{
	int64_t wait = (usec - MIRROR_PROOF_SLACK_USEC) / 2;

	if (usec > 0)
		mirror->watch_wait_max =
		    CLAMP(wait, MIRROR_WATCH_MIN_USEC, MIRROR_WATCH_USEC);
}

/*
 * Records a peer's proof. It counts like an own proof unless the peer knows of
 * changes that are missing here; those are fetched later.
 */
void
mirror_note_peer_proof(
    struct mirror *mirror, uint64_t revision, int64_t proved_at)
{
	mirror->peer_revision = MAX(mirror->peer_revision, revision);
	if (revision == 0 || revision > mirror->revision ||
	    proved_at <= mirror->proved_at)
		return;
	mirror->proved_at = proved_at;
	mirror->responded_at = loop_now(mirror->loop);
}

/*
 * Fetches changes at once that a peer knows and this copy does not.
 */
void
mirror_fetch_now(struct mirror *mirror)
{
	if (mirror->synced && !mirror->store_lost)
		next_call(mirror);
}

/*
 * Starts a call if one is due, because a peer knows newer changes or the peers'
 * proofs are too old.
 */
void
mirror_tick(struct mirror *mirror)
{
	if (loop_timer_is_set(mirror->timer))
		return;
	if (mirror->watch == MIRROR_WATCH_PEERS && mirror->synced &&
	    !mirror->store_lost &&
	    loop_now(mirror->loop) - mirror->call_sent_at < MIRROR_FETCH_USEC)
		return;
	next_call(mirror);
}

/*
 * Returns the latest time at which the copy is proved to have been current;
 * 0: never.
 */
int64_t
mirror_proved_at(const struct mirror *mirror)
{
	return mirror->proved_at;
}

/*
 * Returns when the last outage of the store ended; 0: there was none.
 */
int64_t
mirror_store_regained_at(const struct mirror *mirror)
{
	return mirror->regained_at;
}

/*
 * Returns the revision of the newest known change.
 */
uint64_t
mirror_newest_revision(const struct mirror *mirror)
{
	return mirror->newest;
}

/*
 * Returns true if all keys have been read at least once.
 */
bool
mirror_is_synced(const struct mirror *mirror)
{
	return mirror->synced;
}

/*
 * Returns true if the store has not responded for MIRROR_STORE_LOST_USEC.
 */
bool
mirror_is_store_lost(const struct mirror *mirror)
{
	return mirror->store_lost ||
	    loop_now(mirror->loop) - mirror->responded_at >
	    MIRROR_STORE_LOST_USEC;
}
