#include "harness.h"

#include <string.h>

#include <glib.h>

#include "mirror.h"

/* A store whose answers the test gives by hand. */
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
};

struct seen {
	/* Each change takes so long to apply. */
	int64_t work_usec;
	struct loop *loop;
	unsigned int changed;
	unsigned int removed;
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
on_changed(struct lstr key, struct lstr value, uint64_t version, void *arg)
{
	struct seen *seen = arg;

	(void)value;
	(void)version;
	if (seen->work_usec > 0) {
		int64_t end = loop_now(seen->loop) + seen->work_usec;

		while (loop_now(seen->loop) < end)
			;
	}
	seen->changed++;
	snprintf(seen->last, sizeof(seen->last), "%.*s", LSTR_ARG(key));
}

static void
on_removed(struct lstr key, void *arg)
{
	struct seen *seen = arg;

	seen->removed++;
	snprintf(seen->last, sizeof(seen->last), "%.*s", LSTR_ARG(key));
}

static void
on_synced(void *arg)
{
	(void)arg;
}

static const struct mirror_ops ops = {on_changed, on_removed, on_synced};

struct world {
	struct loop *loop;
	struct store store;
	struct seen seen;
	struct mirror *mirror;
	/* When the first list was sent. */
	int64_t listed_at;
};

static bool
has_call(void *arg)
{
	return ((struct world *)arg)->store.fn != NULL;
}

/*
 * Waits for the next call of the copy.
 */
static void
wait_call(struct world *w, enum kv_kind kind)
{
	ck_assert(harness_wait(w->loop, has_call, w));
	ck_assert_int_eq(w->store.kind, kind);
}

/*
 * Answers the call that waits.
 */
static void
reply(struct world *w, enum status status, uint64_t revision,
    const struct kv_item *items, size_t count)
{
	struct kv_result result = {.status = status,
	    .revision = revision,
	    .items = items,
	    .count = count};
	kv_done_fn fn = w->store.fn;

	w->store.fn = NULL;
	fn(&result, w->store.arg);
}

/*
 * Builds an item.
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
 * Starts a copy with two keys.
 */
static void
start(struct world *w)
{
	struct kv_item items[] = {item("a", 5, false), item("b", 7, false)};

	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	w->store.base.vtable = &store_vtable;
	w->store.loop = w->loop;
	ck_assert_int_eq(mirror_create(w->loop, &w->store.base, "", &ops,
			     &w->seen, &w->mirror),
	    STATUS_OK);
	wait_call(w, KV_LIST);
	w->listed_at = w->store.sent_at;
	reply(w, STATUS_OK, 10, items, 2);
	ck_assert_uint_eq(w->seen.changed, 2);
}

static void
stop(struct world *w)
{
	mirror_destroy(w->mirror);
	loop_destroy(w->loop);
}

/* Guards the proof: it is dated by the sending, never by the answer. */
START_TEST(proof_is_dated_by_the_sending)
{
	struct world w;
	int64_t sent_at;

	start(&w);
	wait_call(&w, KV_WATCH);
	ck_assert_uint_eq(w.store.after, 10);
	/* The time that the copy read as it sent the call: it asked the store
	 * to wait until so much later. */
	sent_at = w.store.wait_until - MIRROR_WATCH_USEC;
	ck_assert_int_le(sent_at, w.store.sent_at);
	ck_assert_int_ge(sent_at, w.listed_at);
	loop_run_once(w.loop, loop_now(w.loop) + 30 * LOOP_USEC_PER_MSEC);
	ck_assert_int_lt(mirror_proved_at(w.mirror), sent_at);
	reply(&w, STATUS_OK, 12, NULL, 0);
	ck_assert_int_eq(mirror_proved_at(w.mirror), sent_at);
	stop(&w);
}
END_TEST

/* Guards against a failed call that proves anything, and against a long wait
 * afterwards, while the proof gets old. */
START_TEST(failed_call_proves_nothing)
{
	struct world w;
	int64_t proved_at;

	start(&w);
	proved_at = mirror_proved_at(w.mirror);
	wait_call(&w, KV_WATCH);
	reply(&w, STATUS_UNAVAILABLE, 0, NULL, 0);
	ck_assert_int_eq(mirror_proved_at(w.mirror), proved_at);
	wait_call(&w, KV_WATCH);
	ck_assert_int_le(w.store.wait_until, w.store.sent_at);
	stop(&w);
}
END_TEST

/* Guards changes: older ones are not applied, removed keys are told once. */
START_TEST(changes_are_applied_in_order)
{
	struct world w;
	struct kv_item items[] = {item("a", 4, false), item("b", 11, true),
	    item("b", 11, true), item("c", 12, false)};

	start(&w);
	wait_call(&w, KV_WATCH);
	reply(&w, STATUS_OK, 12, items, 4);
	ck_assert_uint_eq(w.seen.changed, 3);
	ck_assert_uint_eq(w.seen.removed, 1);
	ck_assert_uint_eq(mirror_newest(w.mirror), 12);
	stop(&w);
}
END_TEST

/* Guards a store that lost its history: all is read again, and keys that are
 * gone are told. */
START_TEST(lost_history_is_read_again)
{
	struct world w;
	struct kv_item items[] = {item("a", 5, false), item("d", 20, false)};

	start(&w);
	wait_call(&w, KV_WATCH);
	reply(&w, STATUS_EXPIRED, 0, NULL, 0);
	wait_call(&w, KV_LIST);
	reply(&w, STATUS_OK, 25, items, 2);
	ck_assert_uint_eq(w.seen.changed, 3);
	ck_assert_uint_eq(w.seen.removed, 1);
	ck_assert_str_eq(w.seen.last, "b");
	wait_call(&w, KV_WATCH);
	ck_assert_uint_eq(w.store.after, 25);
	stop(&w);
}
END_TEST

/* Guards against a peer's proof for changes that are missing here. */
START_TEST(peers_proof_counts_only_for_what_is_known)
{
	struct world w;
	int64_t proved_at;

	start(&w);
	wait_call(&w, KV_WATCH);
	reply(&w, STATUS_OK, 12, NULL, 0);
	mirror_set_watch(w.mirror, MIRROR_WATCH_PEERS);
	proved_at = mirror_proved_at(w.mirror);
	mirror_vouch(w.mirror, 13, proved_at + 1000);
	ck_assert_int_eq(mirror_proved_at(w.mirror), proved_at);
	mirror_vouch(w.mirror, 12, proved_at + 1000);
	ck_assert_int_eq(mirror_proved_at(w.mirror), proved_at + 1000);
	mirror_vouch(w.mirror, 12, proved_at);
	ck_assert_int_eq(mirror_proved_at(w.mirror), proved_at + 1000);
	stop(&w);
}
END_TEST

/* Guards against watches so long that no proof stays within its limit. */
START_TEST(watches_are_as_short_as_the_limit_asks)
{
	const int64_t limit = 1800 * LOOP_USEC_PER_MSEC;
	struct world w;

	start(&w);
	wait_call(&w, KV_WATCH);
	mirror_set_proof_max(w.mirror, limit);
	reply(&w, STATUS_OK, 12, NULL, 0);
	wait_call(&w, KV_WATCH);
	ck_assert_int_lt(2 * (w.store.wait_until - w.store.sent_at), limit);
	ck_assert_int_gt(w.store.wait_until, w.store.sent_at);
	stop(&w);
}
END_TEST

/* Replays configurations in quick succession on a slow instance: of those in
 * one answer only the last is applied, and then requests have their turn. */
START_TEST(slow_changes_leave_time_for_requests)
{
	const int64_t work = 50 * LOOP_USEC_PER_MSEC;
	struct kv_item items[] = {item("a", 11, false), item("a", 12, false),
	    item("b", 13, false), item("a", 14, false)};
	struct world w;
	int64_t answered_at;

	start(&w);
	wait_call(&w, KV_WATCH);
	w.seen.loop = w.loop;
	w.seen.work_usec = work;
	answered_at = loop_now(w.loop);
	reply(&w, STATUS_OK, 14, items, 4);
	ck_assert_uint_eq(w.seen.changed, 4);
	ck_assert_str_eq(w.seen.last, "a");
	ck_assert_uint_eq(mirror_newest(w.mirror), 14);
	wait_call(&w, KV_WATCH);
	/* Two changes were applied. */
	ck_assert_int_ge(w.store.sent_at - answered_at,
	    MIN(2 * work * (1 + MIRROR_REST_FACTOR),
		2 * work + MIRROR_REST_MAX_USEC));
	stop(&w);
}
END_TEST

HARNESS_MAIN("mirror", slow_changes_leave_time_for_requests,
    watches_are_as_short_as_the_limit_asks, proof_is_dated_by_the_sending,
    failed_call_proves_nothing, changes_are_applied_in_order,
    lost_history_is_read_again, peers_proof_counts_only_for_what_is_known)
