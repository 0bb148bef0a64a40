#include "harness.h"

#include <string.h>

#include "child.h"
#include "instance_list.h"

#define CALL_USEC (10 * LOOP_USEC_PER_SEC)
#define DELAY_OPTION "--lag-ms=300"
#define DELAY_USEC (300 * LOOP_USEC_PER_MSEC)

struct fixture {
	struct loop *loop;
	struct fetch *fetch;
	struct instance_list *instance_list;
	struct child child;
	char address[64];
	bool done;
	bool posted;
	enum status status;
	size_t count;
	bool leaving;
};

static void
on_poll(const struct instance_list_result *result, void *arg)
{
	struct fixture *f = arg;

	f->done = true;
	f->status = result->status;
	f->count = result->count;
	if (result->count > 0) {
		ck_assert(lstr_equal_c(result->items[0].name, "gpu-1"));
		f->leaving = result->items[0].leaving;
	}
}

static void
on_posted(struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	(void)call;
	ck_assert_int_eq(result->http_status, 200);
	((struct fixture *)arg)->posted = true;
}

static bool
is_done(void *arg)
{
	return ((struct fixture *)arg)->done;
}

static bool
is_posted(void *arg)
{
	return ((struct fixture *)arg)->posted;
}

static void
fixture_start(struct fixture *f)
{
	static const char *const args[] = {DELAY_OPTION, NULL};

	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
	child_start(&f->child, f->loop, "fakes/fake_list", args);
	child_address(&f->child, "http=", f->address, sizeof(f->address));
	ck_assert_int_eq(instance_list_http_create(
			     f->loop, f->fetch, f->address, &f->instance_list),
	    STATUS_OK);
}

static void
fixture_stop(struct fixture *f)
{
	f->instance_list->vtable->destroy(f->instance_list);
	child_kill(&f->child);
	fetch_destroy(f->fetch);
	loop_destroy(f->loop);
}

static void
poll_once(struct fixture *f)
{
	f->done = false;
	f->instance_list->vtable->poll(
	    f->instance_list, loop_now(f->loop) + CALL_USEC, on_poll, f);
	ck_assert(harness_wait(f->loop, is_done, f));
}

static void
set_state(struct fixture *f, const char *json)
{
	static const struct fetch_ops ops = {NULL, on_posted};
	char url[128];
	struct fetch_request request = {
	    .method = "POST", .url = url, .body = lstr_from(json)};

	snprintf(url, sizeof(url), "http://%s/v1/set", f->address);
	f->posted = false;
	ck_assert_int_eq(
	    fetch_start(f->fetch, &request, &ops, f, NULL), STATUS_OK);
	ck_assert(harness_wait(f->loop, is_posted, f));
}

/*
 * Guards against a fake list that shows changes without delay, and against lost
 * states.
 */
START_TEST(list_shows_changes_after_delay)
{
	struct fixture f;
	int64_t begin;

	fixture_start(&f);
	begin = loop_now(f.loop);
	set_state(&f, "{\"name\":\"gpu-1\",\"state\":\"leaving\"}");
	do {
		poll_once(&f);
		ck_assert_int_eq(f.status, STATUS_OK);
		ck_assert_int_lt(loop_now(f.loop) - begin, CALL_USEC);
	} while (f.count == 0);
	ck_assert_int_ge(loop_now(f.loop) - begin, DELAY_USEC);
	ck_assert(f.leaving);
	set_state(&f, "{\"name\":\"gpu-1\",\"state\":\"live\"}");
	do {
		poll_once(&f);
		ck_assert_int_lt(loop_now(f.loop) - begin, CALL_USEC);
	} while (f.leaving);
	fixture_stop(&f);
}
END_TEST

/* Guards against treating an unreachable list as an empty one. */
START_TEST(unreachable_list_is_unavailable)
{
	struct fixture f;

	fixture_start(&f);
	child_kill(&f.child);
	poll_once(&f);
	ck_assert_int_eq(f.status, STATUS_UNAVAILABLE);
	fixture_stop(&f);
}
END_TEST

HARNESS_MAIN("instance_list", list_shows_changes_after_delay,
    unreachable_list_is_unavailable)
