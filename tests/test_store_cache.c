#include "harness.h"

#include <string.h>

#include <glib.h>

#include "store_cache.h"

/* A fake store: the test supplies each response. */
struct store {
	struct kv base;
	struct loop *loop;
	enum kv_kind kind;
	int64_t sent_at;
	int64_t wait_until;
	uint64_t after;
	kv_done_fn fn;
	void *arg;
	unsigned int calls;
	/* Era of the responses; 0: the store does not tell. */
	uint64_t era;
	/* The next page of a list is not the last one. */
	bool more;
};

struct recorded {
	/* Simulated time to apply each change. */
	int64_t apply_usec;
	struct loop *loop;
	unsigned int changed;
	unsigned int removed;
	/* Changes passed on for the peers. */
	unsigned int fetched;
	struct store_position fetched_after;
	struct store_position fetched_position;
	char last[64];
};

static void
store_list(struct kv *kv, struct lstr prefix, struct lstr after,
    int64_t deadline, kv_done_fn fn, void *arg)
{
	struct store *store = (struct store *)kv;

	(void)prefix;
	(void)after;
	(void)deadline;
	store->kind = KV_LIST;
	store->sent_at = loop_now(store->loop);
	store->fn = fn;
	store->arg = arg;
	store->calls++;
}

static void
store_watch(struct kv *kv, struct lstr prefix, uint64_t after,
    int64_t wait_until, int64_t deadline, kv_done_fn fn, void *arg)
{
	struct store *store = (struct store *)kv;

	(void)prefix;
	(void)deadline;
	store->kind = KV_WATCH;
	store->sent_at = loop_now(store->loop);
	store->wait_until = wait_until;
	store->after = after;
	store->fn = fn;
	store->arg = arg;
	store->calls++;
}

static const struct kv_vtable store_vtable = {
    .list = store_list, .watch = store_watch};

static void
on_changed(struct lstr key, struct lstr value, struct store_position position,
    void *arg)
{
	struct recorded *recorded = arg;

	(void)value;
	(void)position;
	if (recorded->apply_usec > 0) {
		int64_t end = loop_now(recorded->loop) + recorded->apply_usec;

		while (loop_now(recorded->loop) < end)
			;
	}
	recorded->changed++;
	snprintf(recorded->last, sizeof(recorded->last), "%.*s", LSTR_ARG(key));
}

static void
on_removed(struct lstr key, void *arg)
{
	struct recorded *recorded = arg;

	recorded->removed++;
	snprintf(recorded->last, sizeof(recorded->last), "%.*s", LSTR_ARG(key));
}

static void
on_synced(void *arg)
{
	(void)arg;
}

/*
 * Records changes that a watch for the peers returned.
 */
static void
on_fetched(struct store_position after, struct store_position position,
    const struct kv_item *items, size_t count, void *arg)
{
	struct recorded *recorded = arg;

	(void)items;
	recorded->fetched_after = after;
	recorded->fetched_position = position;
	recorded->fetched += (unsigned int)count;
}

static const struct store_cache_ops ops = {
    on_changed, on_removed, on_synced, on_fetched};

struct fixture {
	struct loop *loop;
	struct store store;
	struct recorded recorded;
	struct store_cache *store_cache;
	/* When the first list was sent. */
	int64_t listed_at;
};

static bool
has_pending_call(void *arg)
{
	return ((struct fixture *)arg)->store.fn != NULL;
}

/*
 * Waits for the next call of the cache and checks its kind.
 */
static void
wait_for_call(struct fixture *w, enum kv_kind kind)
{
	ck_assert(harness_wait(w->loop, has_pending_call, w));
	ck_assert_int_eq(w->store.kind, kind);
}

/*
 * Responds to the pending call.
 */
static void
respond(struct fixture *w, enum status status, uint64_t revision,
    const struct kv_item *items, size_t count)
{
	struct kv_result result = {.status = status,
	    .era = w->store.era,
	    .more = w->store.more,
	    .revision = revision,
	    .items = items,
	    .count = count};
	kv_done_fn fn = w->store.fn;

	w->store.fn = NULL;
	fn(&result, w->store.arg);
}

/*
 * Returns an item of the store.
 */
static struct kv_item
item(const char *key, uint64_t version, bool deleted)
{
	return (struct kv_item){.key = lstr_from(key),
	    .value = lstr_from("v"),
	    .version = version,
	    .deleted = deleted};
}

/*
 * Returns a position of the store.
 */
static struct store_position
at(uint64_t era, uint64_t revision)
{
	return (struct store_position){era, revision};
}

/*
 * Creates a cache that has sent its first list.
 */
static void
create(struct fixture *w)
{
	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	w->store.base.vtable = &store_vtable;
	w->store.loop = w->loop;
	ck_assert_int_eq(store_cache_create(w->loop, &w->store.base, "", &ops,
			     &w->recorded, &w->store_cache),
	    STATUS_OK);
	wait_for_call(w, KV_LIST);
	w->listed_at = w->store.sent_at;
}

/*
 * Creates a cache that has listed two keys.
 */
static void
start(struct fixture *w)
{
	struct kv_item items[] = {item("a", 5, false), item("b", 7, false)};

	create(w);
	respond(w, STATUS_OK, 10, items, 2);
	ck_assert_uint_eq(w->recorded.changed, 2);
}

static void
stop(struct fixture *w)
{
	store_cache_destroy(w->store_cache);
	loop_destroy(w->loop);
}

/* Guards against proofs that have the time of the response instead of the time
 * at which the call was sent. */
START_TEST(proof_has_the_time_of_sending)
{
	struct fixture w;
	int64_t sent_at;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	ck_assert_uint_eq(w.store.after, 10);
	/* The time at which the cache sent the call, derived from the time
	 * until which it asked the store to wait. */
	sent_at = w.store.wait_until - STORE_CACHE_WATCH_USEC;
	ck_assert_int_le(sent_at, w.store.sent_at);
	ck_assert_int_ge(sent_at, w.listed_at);
	loop_run_once(w.loop, loop_now(w.loop) + 30 * LOOP_USEC_PER_MSEC);
	ck_assert_int_lt(store_cache_proved_at(w.store_cache), sent_at);
	respond(&w, STATUS_OK, 12, NULL, 0);
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), sent_at);
	stop(&w);
}
END_TEST

/* Guards against counting a failed call as a proof, and against a long watch
 * after it, during which the proof would become too old. */
START_TEST(failed_call_proves_nothing)
{
	struct fixture w;
	int64_t proved_at;

	start(&w);
	proved_at = store_cache_proved_at(w.store_cache);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_UNAVAILABLE, 0, NULL, 0);
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), proved_at);
	wait_for_call(&w, KV_WATCH);
	ck_assert_int_le(w.store.wait_until, w.store.sent_at);
	stop(&w);
}
END_TEST

/* Guards against applying outdated changes and reporting a removal twice. */
START_TEST(outdated_changes_are_ignored)
{
	struct fixture w;
	struct kv_item items[] = {item("a", 4, false), item("b", 11, true),
	    item("b", 11, true), item("c", 12, false)};

	start(&w);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_OK, 12, items, 4);
	ck_assert_uint_eq(w.recorded.changed, 3);
	ck_assert_uint_eq(w.recorded.removed, 1);
	ck_assert_uint_eq(
	    store_cache_newest_position(w.store_cache).revision, 12);
	stop(&w);
}
END_TEST

/* Checks that after the store has discarded its history, all keys are listed
 * again and missing keys are reported as removed. */
START_TEST(discarded_history_is_listed_again)
{
	struct fixture w;
	struct kv_item items[] = {item("a", 5, false), item("d", 20, false)};

	start(&w);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_EXPIRED, 0, NULL, 0);
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 25, items, 2);
	ck_assert_uint_eq(w.recorded.changed, 3);
	ck_assert_uint_eq(w.recorded.removed, 1);
	ck_assert_str_eq(w.recorded.last, "b");
	wait_for_call(&w, KV_WATCH);
	ck_assert_uint_eq(w.store.after, 25);
	stop(&w);
}
END_TEST

/* Guards against accepting the proof of a peer that knows of changes which are
 * missing here. */
START_TEST(peer_proof_counts_only_without_missing_changes)
{
	struct fixture w;
	int64_t proved_at;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_OK, 12, NULL, 0);
	store_cache_set_watch(w.store_cache, STORE_CACHE_WATCH_PEERS);
	proved_at = store_cache_proved_at(w.store_cache);
	store_cache_note_peer_proof(
	    w.store_cache, at(0, 13), at(0, 13), proved_at + 1000, true);
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), proved_at);
	store_cache_note_peer_proof(
	    w.store_cache, at(0, 12), at(0, 12), proved_at + 1000, true);
	ck_assert_int_eq(
	    store_cache_proved_at(w.store_cache), proved_at + 1000);
	store_cache_note_peer_proof(
	    w.store_cache, at(0, 12), at(0, 12), proved_at, true);
	ck_assert_int_eq(
	    store_cache_proved_at(w.store_cache), proved_at + 1000);
	stop(&w);
}
END_TEST

/*
 * Guards against a watcher that calls the store dozens of times a second while
 * many servers start: the store answers its watches early without changes.
 */
START_TEST(early_empty_response_is_not_followed_at_once)
{
	static const enum store_cache_watch modes[] = {
	    STORE_CACHE_WATCH_OWN, STORE_CACHE_WATCH_SHARED};

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		struct fixture w;
		int64_t started_at;
		unsigned int calls;

		start(&w);
		store_cache_set_watch(w.store_cache, modes[i]);
		wait_for_call(&w, KV_WATCH);
		started_at = w.store.sent_at;
		calls = w.store.calls;
		for (uint64_t at = 11; at < 16; at++) {
			respond(&w, STATUS_OK, at, NULL, 0);
			wait_for_call(&w, KV_WATCH);
		}
		ck_assert_uint_eq(w.store.calls, calls + 5);
		ck_assert_int_ge(w.store.sent_at - started_at,
		    5 * STORE_CACHE_COALESCE_USEC);
		stop(&w);
	}
}
END_TEST

/*
 * Guards against a store call by each of hundreds of nodes for each change:
 * changes that a peer read are applied without one, in order and completely.
 */
START_TEST(changes_of_a_peer_need_no_call)
{
	struct fixture w;
	struct kv_item first[] = {item("c", 14, false), item("b", 15, true)};
	struct kv_item later[] = {item("d", 20, false)};
	unsigned int calls;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_OK, 12, NULL, 0);
	store_cache_set_watch(w.store_cache, STORE_CACHE_WATCH_PEERS);
	calls = w.store.calls;
	/* Changes from 16 to 17 are missing. */
	store_cache_apply_peer_changes(
	    w.store_cache, at(0, 17), at(0, 20), later, 1);
	ck_assert_uint_eq(w.recorded.changed, 2);
	store_cache_apply_peer_changes(
	    w.store_cache, at(0, 10), at(0, 15), first, 2);
	ck_assert_uint_eq(w.recorded.changed, 3);
	ck_assert_uint_eq(w.recorded.removed, 1);
	/* The same from another peer. */
	store_cache_apply_peer_changes(
	    w.store_cache, at(0, 10), at(0, 15), first, 2);
	ck_assert_uint_eq(w.recorded.changed, 3);
	/* There was no change from 16 to 17. */
	store_cache_note_peer_proof(
	    w.store_cache, at(0, 15), at(0, 17), 1, true);
	store_cache_apply_peer_changes(
	    w.store_cache, at(0, 17), at(0, 20), later, 1);
	ck_assert_str_eq(w.recorded.last, "d");
	store_cache_note_peer_proof(
	    w.store_cache, at(0, 20), at(0, 20), loop_now(w.loop) - 1000, true);
	store_cache_tick(w.store_cache);
	ck_assert_uint_eq(w.store.calls, calls);
	stop(&w);
}
END_TEST

/* Guards against waiting for changes that no peer sends. */
START_TEST(missing_changes_are_fetched_after_a_while)
{
	struct fixture w;
	int64_t learned_at;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_OK, 12, NULL, 0);
	store_cache_set_watch(w.store_cache, STORE_CACHE_WATCH_PEERS);
	/* The timer of the last watch ends first. */
	loop_run_once(w.loop, loop_now(w.loop) + 2 * STORE_CACHE_COALESCE_USEC);
	learned_at = loop_now(w.loop);
	store_cache_note_peer_proof(
	    w.store_cache, at(0, 13), at(0, 13), learned_at, true);
	while (w.store.fn == NULL) {
		ck_assert_int_lt(
		    loop_now(w.loop), learned_at + HARNESS_DEADLINE_USEC);
		loop_run_once(w.loop, loop_now(w.loop) + 1000);
		store_cache_tick(w.store_cache);
	}
	ck_assert_int_ge(w.store.sent_at - learned_at, STORE_CACHE_RELAY_USEC);
	ck_assert_int_le(w.store.wait_until, w.store.sent_at);
	stop(&w);
}
END_TEST

/* Checks that the changes of a watch for the peers are passed on with the range
 * of revisions that they cover, which starts at the newest known change. */
START_TEST(watch_for_peers_passes_changes_on)
{
	struct fixture w;
	struct kv_item items[] = {item("c", 14, false)};

	start(&w);
	store_cache_set_watch(w.store_cache, STORE_CACHE_WATCH_SHARED);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_OK, 13, NULL, 0);
	ck_assert_uint_eq(w.recorded.fetched, 0);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_OK, 16, items, 1);
	ck_assert_uint_eq(w.recorded.fetched, 1);
	/* The list, at 10, does not show deletions before it. */
	ck_assert_uint_eq(w.recorded.fetched_after.revision, 10);
	ck_assert_uint_eq(w.recorded.fetched_position.revision, 16);
	stop(&w);
}
END_TEST

/* Guards against watches too long for the limit on the age of proofs. */
START_TEST(watches_respect_the_proof_age_limit)
{
	const int64_t limit = 1800 * LOOP_USEC_PER_MSEC;
	struct fixture w;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	store_cache_set_proof_max(w.store_cache, limit);
	respond(&w, STATUS_OK, 12, NULL, 0);
	wait_for_call(&w, KV_WATCH);
	ck_assert_int_lt(2 * (w.store.wait_until - w.store.sent_at), limit);
	ck_assert_int_gt(w.store.wait_until, w.store.sent_at);
	stop(&w);
}
END_TEST

/* Simulates configuration changes in quick succession on a slow instance: of
 * several changes of a key in one response only the last is applied, and then
 * the cache pauses so that requests get processing time. */
START_TEST(slow_changes_throttle_the_cache)
{
	const int64_t work = 50 * LOOP_USEC_PER_MSEC;
	struct kv_item items[] = {item("a", 11, false), item("a", 12, false),
	    item("b", 13, false), item("a", 14, false)};
	struct fixture w;
	int64_t answered_at;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	w.recorded.loop = w.loop;
	w.recorded.apply_usec = work;
	answered_at = loop_now(w.loop);
	respond(&w, STATUS_OK, 14, items, 4);
	ck_assert_uint_eq(w.recorded.changed, 4);
	ck_assert_str_eq(w.recorded.last, "a");
	ck_assert_uint_eq(
	    store_cache_newest_position(w.store_cache).revision, 14);
	wait_for_call(&w, KV_WATCH);
	/* Two changes were applied. */
	ck_assert_int_ge(w.store.sent_at - answered_at,
	    MIN(2 * work * (1 + STORE_CACHE_THROTTLE_FACTOR),
		2 * work + STORE_CACHE_THROTTLE_MAX_USEC));
	stop(&w);
}
END_TEST

/* Guards against restores of the store from an older copy that are not counted
 * and logged, and against counting a discarded history as one. */
START_TEST(restores_are_counted)
{
	struct fixture w;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_EXPIRED, 0, NULL, 0);
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 12, NULL, 0);
	ck_assert_uint_eq(store_cache_restore_count(w.store_cache), 0);
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_EXPIRED, 0, NULL, 0);
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 11, NULL, 0);
	ck_assert_uint_eq(store_cache_restore_count(w.store_cache), 1);
	/* The keys are listed again. */
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 11, NULL, 0);
	wait_for_call(&w, KV_WATCH);
	w.store.era = 1;
	respond(&w, STATUS_EXPIRED, 0, NULL, 0);
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 15, NULL, 0);
	ck_assert_uint_eq(store_cache_restore_count(w.store_cache), 2);
	stop(&w);
}
END_TEST

/*
 * Waits until the cache has called the store at a later time than given, and
 * answers all its calls without changes until then.
 */
static void
answer_until(struct fixture *w, int64_t until, uint64_t revision)
{
	do {
		wait_for_call(w, KV_WATCH);
		if (w->store.sent_at <= until)
			respond(w, STATUS_OK, revision, NULL, 0);
	} while (w->store.fn == NULL);
}

/* Guards against keys that keep a value of the lost history after the store has
 * come back from an older copy, against keys of it that stay, and against a
 * proof of the copy before what it lacks has been written again. */
START_TEST(restored_store_replaces_the_copy)
{
	for (uint64_t era = 0; era < 2; era++) {
		struct kv_item items[] = {item("a", 5, false),
		    item("c", 6, false), item("d", 8, false)};
		struct kv_item later[] = {item("c", 15, false)};
		struct fixture w;
		int64_t proved_at;
		int64_t called_at;
		int64_t restored_at;

		start(&w);
		wait_for_call(&w, KV_WATCH);
		respond(&w, STATUS_OK, 15, later, 1);
		proved_at = store_cache_proved_at(w.store_cache);
		wait_for_call(&w, KV_WATCH);
		memset(&w.recorded, 0, sizeof(w.recorded));
		w.store.era = era;
		called_at = w.store.sent_at;
		respond(&w, STATUS_EXPIRED, 0, NULL, 0);
		wait_for_call(&w, KV_LIST);
		respond(&w, STATUS_OK, 8, items, 3);
		if (era == 0) {
			wait_for_call(&w, KV_LIST);
			respond(&w, STATUS_OK, 8, items, 3);
		}
		ck_assert_uint_eq(w.recorded.removed, 1);
		ck_assert_str_eq(w.recorded.last, "b");
		ck_assert_uint_eq(w.recorded.changed, era == 0 ? 2 : 3);
		ck_assert_int_eq(
		    store_cache_proved_at(w.store_cache), proved_at);
		restored_at = store_cache_store_regained_at(w.store_cache);
		ck_assert_int_ge(restored_at, called_at);
		answer_until(&w, restored_at + STORE_CACHE_REWRITE_USEC, 9);
		ck_assert_int_eq(
		    store_cache_proved_at(w.store_cache), proved_at);
		/* The proof is due, so this watch does not wait. */
		ck_assert_int_le(w.store.wait_until, w.store.sent_at);
		respond(&w, STATUS_OK, 9, NULL, 0);
		ck_assert_int_ge(store_cache_proved_at(w.store_cache),
		    restored_at + STORE_CACHE_REWRITE_USEC);
		stop(&w);
	}
}
END_TEST

/* Guards against a proof by the first list of a process, or by one of a peer,
 * while the listed keys state that the era of the store is not settled. */
START_TEST(first_list_of_an_unsettled_era_proves_nothing)
{
	struct kv_item items[] = {item("a", 5, false)};
	struct fixture w;
	int64_t synced_at;

	create(&w);
	w.store.era = 4;
	store_cache_note_settled_era(w.store_cache, 3);
	synced_at = loop_now(w.loop);
	respond(&w, STATUS_OK, 8, items, 1);
	ck_assert(store_cache_is_synced(w.store_cache));
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), 0);
	ck_assert_uint_eq(store_cache_proved_era(w.store_cache), 0);
	store_cache_note_peer_proof(
	    w.store_cache, at(4, 8), at(4, 8), synced_at, true);
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), 0);
	answer_until(&w, synced_at + STORE_CACHE_REWRITE_USEC, 9);
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), 0);
	respond(&w, STATUS_OK, 9, NULL, 0);
	if (store_cache_proved_at(w.store_cache) == 0) {
		wait_for_call(&w, KV_WATCH);
		respond(&w, STATUS_OK, 9, NULL, 0);
	}
	ck_assert_int_ge(store_cache_proved_at(w.store_cache),
	    synced_at + STORE_CACHE_REWRITE_USEC);
	ck_assert_uint_eq(store_cache_proved_era(w.store_cache), 4);
	stop(&w);
}
END_TEST

/* Guards against a start that is delayed although the era is settled, or the
 * store has no key that states one, or does not state its era. */
START_TEST(first_list_of_a_settled_era_is_a_proof)
{
	static const struct {
		uint64_t era;
		uint64_t settled;
		bool stated;
	} cases[] = {{4, 4, true}, {4, 5, true}, {4, 0, false}, {0, 3, true}};
	struct kv_item items[] = {item("a", 5, false)};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture w;

		create(&w);
		w.store.era = cases[i].era;
		if (cases[i].stated)
			store_cache_note_settled_era(
			    w.store_cache, cases[i].settled);
		respond(&w, STATUS_OK, 8, items, 1);
		ck_assert_int_gt(store_cache_proved_at(w.store_cache), 0);
		ck_assert_int_le(
		    store_cache_proved_at(w.store_cache), w.listed_at);
		ck_assert_uint_eq(
		    store_cache_proved_era(w.store_cache), cases[i].era);
		stop(&w);
	}
}
END_TEST

/* Guards against a late response of the lost history that takes effect. */
START_TEST(response_of_a_lower_era_changes_nothing)
{
	struct kv_item items[] = {item("a", 30, false), item("b", 31, true)};
	struct fixture w;
	int64_t proved_at;

	start(&w);
	w.store.era = 2;
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_EXPIRED, 0, NULL, 0);
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 8, items, 1);
	wait_for_call(&w, KV_WATCH);
	memset(&w.recorded, 0, sizeof(w.recorded));
	proved_at = store_cache_proved_at(w.store_cache);
	w.store.era = 1;
	respond(&w, STATUS_OK, 40, items, 2);
	ck_assert_uint_eq(w.recorded.changed + w.recorded.removed, 0);
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), proved_at);
	wait_for_call(&w, KV_WATCH);
	ck_assert_uint_eq(w.store.after, 8);
	stop(&w);
}
END_TEST

/* Guards against proofs and changes of a peer that is in another era of the
 * store, and against waiting after a peer has seen a higher one. */
START_TEST(peers_of_another_era_prove_and_change_nothing)
{
	struct kv_item items[] = {item("c", 14, false)};
	struct fixture w;
	int64_t proved_at;

	start(&w);
	wait_for_call(&w, KV_WATCH);
	w.store.era = 3;
	respond(&w, STATUS_EXPIRED, 0, NULL, 0);
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 10, NULL, 0);
	answer_until(&w, loop_now(w.loop) + STORE_CACHE_REWRITE_USEC, 10);
	store_cache_set_watch(w.store_cache, STORE_CACHE_WATCH_PEERS);
	respond(&w, STATUS_OK, 12, NULL, 0);
	memset(&w.recorded, 0, sizeof(w.recorded));
	proved_at = store_cache_proved_at(w.store_cache);
	for (uint64_t era = 0; era < 5; era++) {
		if (era == 3)
			continue;
		store_cache_note_peer_proof(w.store_cache, at(era, 12),
		    at(era, 12), proved_at + 1000, true);
		store_cache_apply_peer_changes(
		    w.store_cache, at(era, 10), at(era, 15), items, 1);
	}
	ck_assert_uint_eq(w.recorded.changed, 0);
	ck_assert_int_eq(store_cache_proved_at(w.store_cache), proved_at);
	/* The proof of this copy is recent, so only the era causes the call. */
	wait_for_call(&w, KV_WATCH);
	ck_assert_int_lt(
	    w.store.sent_at - proved_at, STORE_CACHE_PEER_PROOF_USEC);
	ck_assert_int_le(w.store.wait_until, w.store.sent_at);
	respond(&w, STATUS_OK, 12, NULL, 0);
	store_cache_apply_peer_changes(
	    w.store_cache, at(3, 10), at(3, 15), items, 1);
	ck_assert_uint_eq(w.recorded.changed, 1);
	stop(&w);
}
END_TEST

/* Guards against taking a watch that continues from the first page of a list
 * for one of a store that has come back from an older copy. */
START_TEST(watch_after_a_list_of_several_pages_is_no_restore)
{
	struct kv_item items[] = {item("a", 5, false), item("b", 7, false)};
	struct fixture w;

	start(&w);
	w.store.era = 1;
	wait_for_call(&w, KV_WATCH);
	respond(&w, STATUS_EXPIRED, 0, NULL, 0);
	ck_assert_uint_eq(store_cache_restore_count(w.store_cache), 1);
	wait_for_call(&w, KV_LIST);
	w.store.more = true;
	respond(&w, STATUS_OK, 20, items, 1);
	w.store.more = false;
	wait_for_call(&w, KV_LIST);
	respond(&w, STATUS_OK, 25, items + 1, 1);
	wait_for_call(&w, KV_WATCH);
	ck_assert_uint_eq(w.store.after, 20);
	respond(&w, STATUS_OK, 21, NULL, 0);
	ck_assert_uint_eq(store_cache_restore_count(w.store_cache), 1);
	wait_for_call(&w, KV_WATCH);
	ck_assert_uint_eq(w.store.after, 21);
	stop(&w);
}
END_TEST

HARNESS_MAIN("store_cache", watch_after_a_list_of_several_pages_is_no_restore,
    restored_store_replaces_the_copy,
    first_list_of_an_unsettled_era_proves_nothing,
    first_list_of_a_settled_era_is_a_proof,
    response_of_a_lower_era_changes_nothing,
    peers_of_another_era_prove_and_change_nothing, restores_are_counted,
    early_empty_response_is_not_followed_at_once,
    changes_of_a_peer_need_no_call, missing_changes_are_fetched_after_a_while,
    watch_for_peers_passes_changes_on, slow_changes_throttle_the_cache,
    watches_respect_the_proof_age_limit, proof_has_the_time_of_sending,
    failed_call_proves_nothing, outdated_changes_are_ignored,
    discarded_history_is_listed_again,
    peer_proof_counts_only_without_missing_changes)
