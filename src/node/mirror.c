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
	/* Version by key. */
	GHashTable *versions;
	/* Keys seen by the list that runs; NULL: none runs. */
	GHashTable *seen;
	struct loop_timer *timer;
	/* The copy has all changes up to this revision of the store. */
	uint64_t revision;
	/* The newest of them. */
	uint64_t newest;
	uint64_t list_revision;
	int64_t call_sent_at;
	int64_t list_sent_at;
	int64_t proved_at;
	int64_t answered_at;
	int64_t returned_at;
	int64_t pause;
	/* The next watch does not wait: the proof is getting old. */
	bool hurry;
	/* No call before: the last answer took long to apply. */
	int64_t quiet_until;
	char *page_after;
	/* The newest change that a peer knows. */
	uint64_t peer_revision;
	enum mirror_watch watch;
	int64_t wait_max;
	bool synced;
	bool away;
	bool calling;
};

static void next_call(struct mirror *mirror);

/*
 * Runs the call that was put off.
 */
static void
on_timer(void *arg)
{
	next_call(arg);
}

/*
 * Creates a copy that starts to fill at once. The client of the store must
 * outlive the copy.
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
	mirror->pause = MIRROR_PAUSE_USEC;
	mirror->wait_max = MIRROR_WATCH_USEC;
	mirror->answered_at = loop_now(loop);
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
 * Frees the copy. Its client of the store must have been destroyed, so that
 * no call is under way.
 */
void
mirror_destroy(struct mirror *mirror)
{
	if (mirror == NULL)
		return;
	loop_timer_destroy(mirror->timer);
	g_hash_table_destroy(mirror->versions);
	if (mirror->seen != NULL)
		g_hash_table_destroy(mirror->seen);
	g_free(mirror->prefix);
	g_free(mirror->page_after);
	g_free(mirror);
}

/*
 * Notes an answer of the store.
 */
static void
note_answer(struct mirror *mirror)
{
	int64_t now = loop_now(mirror->loop);

	if (mirror->away || now - mirror->answered_at > MIRROR_AWAY_USEC) {
		slog_event(EV_STORE_REGAINED, "{s:I, s:I}", "away_ms",
		    (json_int_t)((now - mirror->answered_at) /
			LOOP_USEC_PER_MSEC),
		    "revision", (json_int_t)mirror->revision);
		mirror->returned_at = now;
	}
	mirror->away = false;
	mirror->answered_at = now;
	mirror->pause = MIRROR_PAUSE_USEC;
}

/*
 * Notes a failed call and puts the next one off.
 */
static void
note_failure(struct mirror *mirror, const char *call, enum status status)
{
	int64_t now = loop_now(mirror->loop);

	if (!mirror->away && now - mirror->answered_at > MIRROR_AWAY_USEC) {
		mirror->away = true;
		slog_event(EV_STORE_LOST, "{s:s, s:s, s:I}", "call", call,
		    "status", status_name(status), "proved_age_ms",
		    (json_int_t)((now - mirror->proved_at) /
			LOOP_USEC_PER_MSEC));
	}
	mirror->hurry = true;
	loop_timer_set(mirror->timer, now + mirror->pause);
	mirror->pause = MIN(mirror->pause * 2, MIRROR_PAUSE_MAX_USEC);
}

/*
 * Takes one key as it is in the store, unless a newer one is known.
 */
static void
apply(struct mirror *mirror, const struct kv_item *item)
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
 * Tells whether a later change of the same answer is of the same key.
 */
static bool
is_outdated(const struct kv_result *result, size_t index)
{
	for (size_t i = index + 1; i < result->count; i++) {
		if (lstr_equal(result->items[i].key, result->items[index].key))
			return true;
	}
	return false;
}

/*
 * Puts the next call off in proportion to the time that an answer took to
 * apply, so that requests have the rest: on a slow instance a configuration
 * takes a tenth of a second, and several may come in one.
 */
static void
rest_after(struct mirror *mirror, int64_t began_at)
{
	int64_t now = loop_now(mirror->loop);
	int64_t rest = MIRROR_REST_FACTOR * (now - began_at);

	mirror->quiet_until = now + MIN(rest, MIRROR_REST_MAX_USEC);
}

/*
 * Removes the keys that a whole list no longer has.
 */
static void
remove_unseen(struct mirror *mirror)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer version;

	g_hash_table_iter_init(&iter, mirror->versions);
	while (g_hash_table_iter_next(&iter, &key, &version)) {
		if (!g_hash_table_contains(mirror->seen, key) &&
		    *(uint64_t *)version <= mirror->list_revision)
			g_ptr_array_add(gone, g_strdup(key));
	}
	for (guint i = 0; i < gone->len; i++) {
		const char *name = g_ptr_array_index(gone, i);

		g_hash_table_remove(mirror->versions, name);
		mirror->ops->removed(lstr_from(name), mirror->arg);
	}
	g_ptr_array_free(gone, TRUE);
}

/*
 * Ends a list: the watch goes on behind its first page, because pages are
 * not read at one moment.
 */
static void
finish_list(struct mirror *mirror)
{
	bool first = !mirror->synced;

	remove_unseen(mirror);
	g_hash_table_destroy(mirror->seen);
	mirror->seen = NULL;
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
 * Takes a page of the list.
 */
static void
on_list(const struct kv_result *result, void *arg)
{
	struct mirror *mirror = arg;

	mirror->calling = false;
	if (result->status != STATUS_OK) {
		g_hash_table_destroy(mirror->seen);
		mirror->seen = NULL;
		note_failure(mirror, "list", result->status);
		return;
	}
	note_answer(mirror);
	if (g_hash_table_size(mirror->seen) == 0)
		mirror->list_revision = result->revision;
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		g_hash_table_add(
		    mirror->seen, g_strndup(item->key.data, item->key.len));
		apply(mirror, item);
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
 * Takes the changes that a watch saw.
 */
static void
on_watch(const struct kv_result *result, void *arg)
{
	struct mirror *mirror = arg;
	int64_t began_at = loop_now(mirror->loop);

	mirror->calling = false;
	if (result->status == STATUS_EXPIRED) {
		/* The history is gone: read everything again. */
		note_answer(mirror);
		mirror->revision = 0;
		next_call(mirror);
		return;
	}
	if (result->status != STATUS_OK) {
		note_failure(mirror, "watch", result->status);
		return;
	}
	note_answer(mirror);
	for (size_t i = 0; i < result->count; i++) {
		if (!is_outdated(result, i))
			apply(mirror, &result->items[i]);
	}
	rest_after(mirror, began_at);
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
 * Tells whether the peers' proofs make a watch of our own needless now.
 */
static bool
can_rely(const struct mirror *mirror, int64_t now)
{
	return mirror->watch == MIRROR_WATCH_PEERS && mirror->synced &&
	    !mirror->away && mirror->seen == NULL && mirror->revision != 0 &&
	    mirror->peer_revision <= mirror->revision &&
	    now - mirror->proved_at < MIRROR_RELY_USEC;
}

/*
 * Starts the next page or the next watch.
 */
static void
next_call(struct mirror *mirror)
{
	int64_t now = loop_now(mirror->loop);
	struct lstr prefix = lstr_from(mirror->prefix);

	if (mirror->calling || can_rely(mirror, now))
		return;
	if (now < mirror->quiet_until) {
		loop_timer_set(mirror->timer, mirror->quiet_until);
		return;
	}
	/* What a peer knows, or a new proof, is wanted now. */
	if (mirror->watch == MIRROR_WATCH_PEERS)
		mirror->hurry = true;
	mirror->calling = true;
	mirror->call_sent_at = now;
	if (mirror->revision != 0 && mirror->seen == NULL) {
		int64_t wait = mirror->watch == MIRROR_WATCH_SHARED
		    ? MIN(MIRROR_WATCH_SHARED_USEC, mirror->wait_max)
		    : mirror->wait_max;

		if (mirror->hurry)
			wait = 0;
		mirror->hurry = false;
		mirror->kv->vtable->watch(mirror->kv, prefix, mirror->revision,
		    now + wait, now + wait + MIRROR_ANSWER_USEC, on_watch,
		    mirror);
		return;
	}
	if (mirror->seen == NULL) {
		mirror->seen = g_hash_table_new_full(
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
 * Chooses who keeps a watch at the store.
 */
void
mirror_set_watch(struct mirror *mirror, enum mirror_watch watch)
{
	mirror->watch = watch;
}

/*
 * Shortens watches so that a proof is never older than this while the store
 * answers: the proof of one watch lasts until the next is answered.
 */
void
mirror_set_proof_max(struct mirror *mirror, int64_t usec)
{
	int64_t wait = (usec - MIRROR_PROOF_SLACK_USEC) / 2;

	if (usec > 0)
		mirror->wait_max =
		    CLAMP(wait, MIRROR_WATCH_MIN_USEC, MIRROR_WATCH_USEC);
}

/*
 * Takes a peer's proof. If the peer knows of changes that are missing here,
 * they are fetched; else its proof is as good as one of our own.
 */
void
mirror_vouch(struct mirror *mirror, uint64_t revision, int64_t proved_at)
{
	mirror->peer_revision = MAX(mirror->peer_revision, revision);
	if (revision == 0 || revision > mirror->revision ||
	    proved_at <= mirror->proved_at)
		return;
	mirror->proved_at = proved_at;
	mirror->answered_at = loop_now(mirror->loop);
}

/*
 * Fetches at once what a peer knows and this copy does not.
 */
void
mirror_hurry(struct mirror *mirror)
{
	if (mirror->synced && !mirror->away)
		next_call(mirror);
}

/*
 * Starts a call that has become due: a peer knows more, or the peers' proofs
 * are old.
 */
void
mirror_tick(struct mirror *mirror)
{
	if (loop_timer_is_set(mirror->timer))
		return;
	if (mirror->watch == MIRROR_WATCH_PEERS && mirror->synced &&
	    !mirror->away &&
	    loop_now(mirror->loop) - mirror->call_sent_at < MIRROR_FETCH_USEC)
		return;
	next_call(mirror);
}

/*
 * Returns when the copy was certainly current, 0: never.
 */
int64_t
mirror_proved_at(const struct mirror *mirror)
{
	return mirror->proved_at;
}

/*
 * Returns when the last time without the store ended, 0: there was none.
 */
int64_t
mirror_returned_at(const struct mirror *mirror)
{
	return mirror->returned_at;
}

/*
 * Returns the revision of the newest change that is known.
 */
uint64_t
mirror_newest(const struct mirror *mirror)
{
	return mirror->newest;
}

/*
 * Tells whether all keys have been read once.
 */
bool
mirror_is_synced(const struct mirror *mirror)
{
	return mirror->synced;
}

/*
 * Tells whether the store has not answered for a while.
 */
bool
mirror_is_away(const struct mirror *mirror)
{
	return mirror->away ||
	    loop_now(mirror->loop) - mirror->answered_at > MIRROR_AWAY_USEC;
}
