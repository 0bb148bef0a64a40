#include "harness.h"

#include <string.h>

#include "child.h"
#include "fetch.h"
#include "kv.h"

#define CALL_USEC (10 * LOOP_USEC_PER_SEC)
#define SHORT_USEC (300 * LOOP_USEC_PER_MSEC)
#define LARGE_BYTES ((size_t)300 * 1024)
#define LARGE_KEYS 5

/*
 * A client, the stand-in in a process of its own, and the last result.
 */
struct world {
	struct loop *loop;
	struct fetch *fetch;
	struct kv *kv;
	struct child child;
	char address[1024];
	int done;
	int faults;
	enum status status;
	uint64_t version;
	uint64_t revision;
	size_t count;
	bool more;
	bool deleted;
	char text[128];
	char last_key[128];
};

static void
on_result(const struct kv_result *result, void *arg)
{
	struct world *w = arg;
	struct lstr text = result->lease.len ? result->lease : result->value;

	w->done++;
	w->status = result->status;
	w->version = result->version;
	w->revision = result->revision;
	w->count = result->count;
	w->more = result->more;
	snprintf(w->text, sizeof(w->text), "%.*s", LSTR_ARG(text));
	if (result->count > 0) {
		const struct kv_item *last = &result->items[result->count - 1];

		w->deleted = last->deleted;
		snprintf(w->last_key, sizeof(w->last_key), "%.*s",
		    LSTR_ARG(last->key));
	}
}

static void
on_fault_set(
    struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	(void)call;
	ck_assert_int_eq(result->http_status, 200);
	((struct world *)arg)->faults++;
}

static bool
is_done(void *arg)
{
	return ((struct world *)arg)->done > 0;
}

static bool
is_fault_set(void *arg)
{
	return ((struct world *)arg)->faults > 0;
}

static void
world_start(struct world *w)
{
	static const char *const args[] = {NULL};

	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(w->loop, &w->fetch), STATUS_OK);
	child_start(&w->child, w->loop, "fakes/fake_kv", args);
	child_address(&w->child, "http=", w->address, sizeof(w->address));
	ck_assert_int_eq(
	    kv_http_create(w->loop, w->fetch, w->address, &w->kv), STATUS_OK);
}

static void
world_stop(struct world *w)
{
	w->kv->vtable->destroy(w->kv);
	child_kill(&w->child);
	fetch_destroy(w->fetch);
	loop_destroy(w->loop);
}

/*
 * Waits for the result of the call just issued.
 */
static void
wait_result(struct world *w)
{
	ck_assert(harness_wait(w->loop, is_done, w));
	w->done = 0;
}

static int64_t
in(const struct world *w, int64_t usec)
{
	return loop_now(w->loop) + usec;
}

static enum status
put(struct world *w, const char *key, struct lstr value, uint64_t version,
    const char *lease, int64_t wait)
{
	w->kv->vtable->put(w->kv, lstr_from(key), value, version,
	    lstr_from(lease), in(w, wait), on_result, w);
	wait_result(w);
	return w->status;
}

static enum status
get(struct world *w, const char *key)
{
	w->kv->vtable->get(
	    w->kv, lstr_from(key), in(w, CALL_USEC), on_result, w);
	wait_result(w);
	return w->status;
}

/*
 * Sets the fault mode of the stand-in.
 */
static void
set_fault(struct world *w, const char *json)
{
	static const struct fetch_ops ops = {NULL, on_fault_set};
	char url[2048];
	struct fetch_request request = {.method = "POST",
	    .url = url,
	    .body = lstr_from(json),
	    .deadline = in(w, CALL_USEC)};

	snprintf(url, sizeof(url), "http://%s/v1/fault", w->address);
	w->faults = 0;
	ck_assert_int_eq(
	    fetch_start(w->fetch, &request, &ops, w, NULL), STATUS_OK);
	ck_assert(harness_wait(w->loop, is_fault_set, w));
}

/* Guards against writes over a version that somebody else has replaced. */
START_TEST(put_is_conditional)
{
	struct world w;
	uint64_t version;

	world_start(&w);
	ck_assert_int_eq(get(&w, "a/b c"), STATUS_NOT_FOUND);
	ck_assert_int_eq(
	    put(&w, "a/b c", lstr_from("one"), 0, NULL, CALL_USEC), STATUS_OK);
	version = w.version;
	ck_assert_int_eq(put(&w, "a/b c", lstr_from("two"), 0, NULL, CALL_USEC),
	    STATUS_CONFLICT);
	ck_assert_uint_eq(w.version, version);
	ck_assert_int_eq(get(&w, "a/b c"), STATUS_OK);
	ck_assert_str_eq(w.text, "one");
	ck_assert_uint_eq(w.version, version);
	w.kv->vtable->remove(w.kv, lstr_from("a/b c"), version,
	    in(&w, CALL_USEC), on_result, &w);
	wait_result(&w);
	ck_assert_int_eq(w.status, STATUS_OK);
	ck_assert_int_eq(get(&w, "a/b c"), STATUS_NOT_FOUND);
	world_stop(&w);
}
END_TEST

/* Guards against lists that lose keys at a page boundary. */
START_TEST(list_has_pages)
{
	static char large[LARGE_BYTES];
	struct world w;
	size_t total = 0;
	char after[128] = "";

	world_start(&w);
	put(&w, "q/0", lstr_from("x"), 0, NULL, CALL_USEC);
	for (int i = 0; i < LARGE_KEYS; i++) {
		char key[16];

		snprintf(key, sizeof(key), "p/%d", i);
		ck_assert_int_eq(put(&w, key, lstr_make(large, LARGE_BYTES), 0,
				     NULL, CALL_USEC),
		    STATUS_OK);
	}
	do {
		w.kv->vtable->list(w.kv, lstr_from("p/"), lstr_from(after),
		    in(&w, CALL_USEC), on_result, &w);
		wait_result(&w);
		ck_assert_int_eq(w.status, STATUS_OK);
		ck_assert_uint_gt(w.count, 0);
		total += w.count;
		snprintf(after, sizeof(after), "%s", w.last_key);
	} while (w.more);
	ck_assert_uint_eq(total, LARGE_KEYS);
	world_stop(&w);
}
END_TEST

/* Guards against leases that never end and watches that miss their end. */
START_TEST(expired_lease_removes_its_keys)
{
	struct world w;
	char lease[128];
	uint64_t revision;

	world_start(&w);
	w.kv->vtable->lease_grant(
	    w.kv, SHORT_USEC, in(&w, CALL_USEC), on_result, &w);
	wait_result(&w);
	ck_assert_int_eq(w.status, STATUS_OK);
	snprintf(lease, sizeof(lease), "%s", w.text);
	ck_assert_int_eq(
	    put(&w, "member/x", lstr_from("x"), 0, lease, CALL_USEC),
	    STATUS_OK);
	revision = w.version;
	w.kv->vtable->lease_renew(
	    w.kv, lstr_from(lease), in(&w, CALL_USEC), on_result, &w);
	wait_result(&w);
	ck_assert_int_eq(w.status, STATUS_OK);
	w.kv->vtable->watch(w.kv, lstr_from("member/"), revision,
	    in(&w, CALL_USEC), in(&w, 2 * CALL_USEC), on_result, &w);
	wait_result(&w);
	ck_assert_int_eq(w.status, STATUS_OK);
	ck_assert_uint_eq(w.count, 1);
	ck_assert(w.deleted);
	ck_assert_str_eq(w.last_key, "member/x");
	w.kv->vtable->lease_renew(
	    w.kv, lstr_from(lease), in(&w, CALL_USEC), on_result, &w);
	wait_result(&w);
	ck_assert_int_eq(w.status, STATUS_NOT_FOUND);
	world_stop(&w);
}
END_TEST

/* Guards against taking a lost answer for a write that was not done. */
START_TEST(lost_answer_is_ambiguous)
{
	struct world w;

	world_start(&w);
	set_fault(&w, "{\"mode\":\"lose-answers\"}");
	ck_assert_int_eq(put(&w, "k", lstr_from("one"), 0, NULL, SHORT_USEC),
	    STATUS_AMBIGUOUS);
	ck_assert_int_eq(get(&w, "k"), STATUS_OK);
	ck_assert_str_eq(w.text, "one");
	world_stop(&w);
}
END_TEST

/* Guards against taking a certain refusal for an ambiguous one. */
START_TEST(outage_is_unavailable)
{
	struct world w;

	world_start(&w);
	set_fault(&w, "{\"mode\":\"outage\"}");
	ck_assert_int_eq(put(&w, "k", lstr_from("one"), 0, NULL, CALL_USEC),
	    STATUS_UNAVAILABLE);
	ck_assert_int_eq(get(&w, "k"), STATUS_UNAVAILABLE);
	set_fault(&w, "{\"mode\":\"none\"}");
	ck_assert_int_eq(get(&w, "k"), STATUS_NOT_FOUND);
	child_kill(&w.child);
	ck_assert_int_eq(put(&w, "k", lstr_from("one"), 0, NULL, CALL_USEC),
	    STATUS_UNAVAILABLE);
	world_stop(&w);
}
END_TEST

/* Guards against a slow write that is assumed not to happen any more. */
START_TEST(slow_write_takes_effect_later)
{
	struct world w;
	int64_t deadline;

	world_start(&w);
	set_fault(&w, "{\"mode\":\"slow\",\"delay_ms\":600}");
	ck_assert_int_eq(put(&w, "k", lstr_from("one"), 0, NULL, SHORT_USEC),
	    STATUS_AMBIGUOUS);
	set_fault(&w, "{\"mode\":\"none\"}");
	deadline = in(&w, CALL_USEC);
	while (get(&w, "k") != STATUS_OK)
		ck_assert_int_lt(loop_now(w.loop), deadline);
	ck_assert_str_eq(w.text, "one");
	world_stop(&w);
}
END_TEST

/* Guards against calls that escape the budget of the service. */
START_TEST(calls_are_counted_by_kind)
{
	struct world w;
	int64_t gets = kv_http_calls(KV_GET);
	int64_t watches = kv_http_calls(KV_WATCH);

	world_start(&w);
	get(&w, "k");
	w.kv->vtable->watch(w.kv, lstr_from("k"), 0, in(&w, 0),
	    in(&w, CALL_USEC), on_result, &w);
	wait_result(&w);
	ck_assert_int_eq(w.status, STATUS_OK);
	ck_assert_uint_eq(w.count, 0);
	ck_assert_int_eq(kv_http_calls(KV_GET), gets + 1);
	ck_assert_int_eq(kv_http_calls(KV_WATCH), watches + 1);
	world_stop(&w);
}
END_TEST

HARNESS_MAIN("kv", put_is_conditional, list_has_pages,
    expired_lease_removes_its_keys, lost_answer_is_ambiguous,
    outage_is_unavailable, slow_write_takes_effect_later,
    calls_are_counted_by_kind)
