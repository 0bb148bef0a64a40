#include "harness.h"

#include <string.h>

#include "child.h"
#include "fetch.h"
#include "kv.h"

#define CALL_USEC (10 * LOOP_USEC_PER_SEC)
#define SHORT_USEC (300 * LOOP_USEC_PER_MSEC)
#define LARGE_BYTES ((size_t)300 * 1024)
#define LARGE_KEYS 5
#define LARGE_VERSIONS 4

/*
 * Test fixture: a client, the fake service in a child process, and the result
 * of the last call.
 */
struct fixture {
	struct loop *loop;
	struct fetch *fetch;
	struct kv *kv;
	struct child child;
	char address[1024];
	int done;
	int faults_set;
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
	struct fixture *f = arg;
	struct lstr text = result->lease.len ? result->lease : result->value;

	f->done++;
	f->status = result->status;
	f->version = result->version;
	f->revision = result->revision;
	f->count = result->count;
	f->more = result->more;
	snprintf(f->text, sizeof(f->text), "%.*s", LSTR_ARG(text));
	if (result->count > 0) {
		const struct kv_item *last = &result->items[result->count - 1];

		f->deleted = last->deleted;
		snprintf(f->last_key, sizeof(f->last_key), "%.*s",
		    LSTR_ARG(last->key));
	}
}

static void
on_fault_set(
    struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	(void)call;
	ck_assert_int_eq(result->http_status, 200);
	((struct fixture *)arg)->faults_set++;
}

static bool
is_done(void *arg)
{
	return ((struct fixture *)arg)->done > 0;
}

static bool
is_fault_set(void *arg)
{
	return ((struct fixture *)arg)->faults_set > 0;
}

static void
fixture_start(struct fixture *f)
{
	static const char *const args[] = {NULL};

	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
	child_start(&f->child, f->loop, "fakes/fake_kv", args);
	child_address(&f->child, "http=", f->address, sizeof(f->address));
	ck_assert_int_eq(
	    kv_http_create(f->loop, f->fetch, f->address, &f->kv), STATUS_OK);
}

static void
fixture_stop(struct fixture *f)
{
	f->kv->vtable->destroy(f->kv);
	child_kill(&f->child);
	fetch_destroy(f->fetch);
	loop_destroy(f->loop);
}

/*
 * Waits for the result of the call in progress.
 */
static void
wait_result(struct fixture *f)
{
	ck_assert(harness_wait(f->loop, is_done, f));
	f->done = 0;
}

static int64_t
deadline_in(const struct fixture *f, int64_t usec)
{
	return loop_now(f->loop) + usec;
}

static enum status
put(struct fixture *f, const char *key, struct lstr value, uint64_t version,
    const char *lease, int64_t wait)
{
	f->kv->vtable->put(f->kv, lstr_from(key), value, version,
	    lstr_from(lease), deadline_in(f, wait), on_result, f);
	wait_result(f);
	return f->status;
}

static enum status
get(struct fixture *f, const char *key)
{
	f->kv->vtable->get(
	    f->kv, lstr_from(key), deadline_in(f, CALL_USEC), on_result, f);
	wait_result(f);
	return f->status;
}

/*
 * Sets the fault mode of the fake service.
 */
static void
set_fault(struct fixture *f, const char *json)
{
	static const struct fetch_ops ops = {NULL, on_fault_set};
	char url[2048];
	struct fetch_request request = {.method = "POST",
	    .url = url,
	    .body = lstr_from(json),
	    .deadline = deadline_in(f, CALL_USEC)};

	snprintf(url, sizeof(url), "http://%s/v1/fault", f->address);
	f->faults_set = 0;
	ck_assert_int_eq(
	    fetch_start(f->fetch, &request, &ops, f, NULL), STATUS_OK);
	ck_assert(harness_wait(f->loop, is_fault_set, f));
}

/* Guards against overwriting a version that another client has replaced. */
START_TEST(put_is_conditional)
{
	struct fixture f;
	uint64_t version;

	fixture_start(&f);
	ck_assert_int_eq(get(&f, "a/b c"), STATUS_NOT_FOUND);
	ck_assert_int_eq(
	    put(&f, "a/b c", lstr_from("one"), 0, NULL, CALL_USEC), STATUS_OK);
	version = f.version;
	ck_assert_int_eq(put(&f, "a/b c", lstr_from("two"), 0, NULL, CALL_USEC),
	    STATUS_CONFLICT);
	ck_assert_uint_eq(f.version, version);
	ck_assert_int_eq(get(&f, "a/b c"), STATUS_OK);
	ck_assert_str_eq(f.text, "one");
	ck_assert_uint_eq(f.version, version);
	f.kv->vtable->remove(f.kv, lstr_from("a/b c"), version,
	    deadline_in(&f, CALL_USEC), on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_int_eq(get(&f, "a/b c"), STATUS_NOT_FOUND);
	fixture_stop(&f);
}
END_TEST

/* Guards against losing keys at a page boundary. */
START_TEST(list_returns_all_pages)
{
	static char large[LARGE_BYTES];
	struct fixture f;
	size_t total = 0;
	char after[128] = "";

	fixture_start(&f);
	put(&f, "q/0", lstr_from("x"), 0, NULL, CALL_USEC);
	for (int i = 0; i < LARGE_KEYS; i++) {
		char key[16];

		snprintf(key, sizeof(key), "p/%d", i);
		ck_assert_int_eq(put(&f, key, lstr_make(large, LARGE_BYTES), 0,
				     NULL, CALL_USEC),
		    STATUS_OK);
	}
	do {
		f.kv->vtable->list(f.kv, lstr_from("p/"), lstr_from(after),
		    deadline_in(&f, CALL_USEC), on_result, &f);
		wait_result(&f);
		ck_assert_int_eq(f.status, STATUS_OK);
		ck_assert_uint_gt(f.count, 0);
		total += f.count;
		snprintf(after, sizeof(after), "%s", f.last_key);
	} while (f.more);
	ck_assert_uint_eq(total, LARGE_KEYS);
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against leases that never expire and watches that miss their expiry.
 */
START_TEST(expired_lease_removes_its_keys)
{
	struct fixture f;
	char lease[128];
	uint64_t revision;

	fixture_start(&f);
	f.kv->vtable->lease_grant(
	    f.kv, SHORT_USEC, deadline_in(&f, CALL_USEC), on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_OK);
	snprintf(lease, sizeof(lease), "%s", f.text);
	ck_assert_int_eq(
	    put(&f, "member/x", lstr_from("x"), 0, lease, CALL_USEC),
	    STATUS_OK);
	revision = f.version;
	f.kv->vtable->lease_renew(
	    f.kv, lstr_from(lease), deadline_in(&f, CALL_USEC), on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_OK);
	f.kv->vtable->watch(f.kv, lstr_from("member/"), revision,
	    deadline_in(&f, CALL_USEC), deadline_in(&f, 2 * CALL_USEC),
	    on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_uint_eq(f.count, 1);
	ck_assert(f.deleted);
	ck_assert_str_eq(f.last_key, "member/x");
	f.kv->vtable->lease_renew(
	    f.kv, lstr_from(lease), deadline_in(&f, CALL_USEC), on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_NOT_FOUND);
	fixture_stop(&f);
}
END_TEST

/* Guards against reporting a write with a lost response as not done. */
START_TEST(lost_response_is_ambiguous)
{
	struct fixture f;

	fixture_start(&f);
	set_fault(&f, "{\"mode\":\"lose-answers\"}");
	ck_assert_int_eq(put(&f, "k", lstr_from("one"), 0, NULL, SHORT_USEC),
	    STATUS_AMBIGUOUS);
	ck_assert_int_eq(get(&f, "k"), STATUS_OK);
	ck_assert_str_eq(f.text, "one");
	fixture_stop(&f);
}
END_TEST

/* Guards against reporting a definite refusal as ambiguous. */
START_TEST(outage_is_unavailable)
{
	struct fixture f;

	fixture_start(&f);
	set_fault(&f, "{\"mode\":\"outage\"}");
	ck_assert_int_eq(put(&f, "k", lstr_from("one"), 0, NULL, CALL_USEC),
	    STATUS_UNAVAILABLE);
	ck_assert_int_eq(get(&f, "k"), STATUS_UNAVAILABLE);
	set_fault(&f, "{\"mode\":\"none\"}");
	ck_assert_int_eq(get(&f, "k"), STATUS_NOT_FOUND);
	child_kill(&f.child);
	ck_assert_int_eq(put(&f, "k", lstr_from("one"), 0, NULL, CALL_USEC),
	    STATUS_UNAVAILABLE);
	fixture_stop(&f);
}
END_TEST

/* Guards against the assumption that a timed-out write will not happen. */
START_TEST(slow_write_takes_effect_later)
{
	struct fixture f;
	int64_t deadline;

	fixture_start(&f);
	set_fault(&f, "{\"mode\":\"slow\",\"delay_ms\":600}");
	ck_assert_int_eq(put(&f, "k", lstr_from("one"), 0, NULL, SHORT_USEC),
	    STATUS_AMBIGUOUS);
	set_fault(&f, "{\"mode\":\"none\"}");
	deadline = deadline_in(&f, CALL_USEC);
	while (get(&f, "k") != STATUS_OK)
		ck_assert_int_lt(loop_now(f.loop), deadline);
	ck_assert_str_eq(f.text, "one");
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against a copy that never catches up: a watch returns each version of
 * a large value, and together they exceed any limit on a response.
 */
START_TEST(watch_with_too_many_large_changes_has_to_list)
{
	static char large[KV_VALUE_MAX_BYTES / 2];
	struct fixture f;

	memset(large, 'x', sizeof(large));
	fixture_start(&f);
	for (int i = 0; i < LARGE_VERSIONS; i++)
		ck_assert_int_eq(put(&f, "k", lstr_make(large, sizeof(large)),
				     f.version, NULL, CALL_USEC),
		    STATUS_OK);
	f.kv->vtable->watch(f.kv, lstr_from("k"), 0, deadline_in(&f, 0),
	    deadline_in(&f, CALL_USEC), on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_EXPIRED);
	f.kv->vtable->list(f.kv, lstr_from("k"), lstr_make("", 0),
	    deadline_in(&f, CALL_USEC), on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_uint_eq(f.count, 1);
	fixture_stop(&f);
}
END_TEST

/* Guards against calls that are missing from the count of service calls. */
START_TEST(calls_are_counted_by_kind)
{
	struct fixture f;
	int64_t gets = kv_http_call_count(KV_GET);
	int64_t watches = kv_http_call_count(KV_WATCH);

	fixture_start(&f);
	get(&f, "k");
	f.kv->vtable->watch(f.kv, lstr_from("k"), 0, deadline_in(&f, 0),
	    deadline_in(&f, CALL_USEC), on_result, &f);
	wait_result(&f);
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_uint_eq(f.count, 0);
	ck_assert_int_eq(kv_http_call_count(KV_GET), gets + 1);
	ck_assert_int_eq(kv_http_call_count(KV_WATCH), watches + 1);
	fixture_stop(&f);
}
END_TEST

HARNESS_MAIN("kv", put_is_conditional, list_returns_all_pages,
    expired_lease_removes_its_keys, lost_response_is_ambiguous,
    outage_is_unavailable, slow_write_takes_effect_later,
    watch_with_too_many_large_changes_has_to_list, calls_are_counted_by_kind)
