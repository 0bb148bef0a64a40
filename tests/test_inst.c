#include "harness.h"

#include <string.h>

#include "child.h"
#include "inst.h"

#define CALL_USEC (10 * LOOP_USEC_PER_SEC)
#define LAG "--lag-ms=300"
#define LAG_USEC (300 * LOOP_USEC_PER_MSEC)

struct world {
	struct loop *loop;
	struct fetch *fetch;
	struct inst *inst;
	struct child child;
	char address[64];
	bool done;
	bool posted;
	enum status status;
	size_t count;
	bool leaving;
};

static void
on_poll(const struct inst_result *result, void *arg)
{
	struct world *w = arg;

	w->done = true;
	w->status = result->status;
	w->count = result->count;
	if (result->count > 0) {
		ck_assert(lstr_equal_c(result->items[0].name, "gpu-1"));
		w->leaving = result->items[0].leaving;
	}
}

static void
on_posted(struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	(void)call;
	ck_assert_int_eq(result->http_status, 200);
	((struct world *)arg)->posted = true;
}

static bool
is_done(void *arg)
{
	return ((struct world *)arg)->done;
}

static bool
is_posted(void *arg)
{
	return ((struct world *)arg)->posted;
}

static void
world_start(struct world *w)
{
	static const char *const args[] = {LAG, NULL};

	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(w->loop, &w->fetch), STATUS_OK);
	child_start(&w->child, w->loop, "fakes/fake_list", args);
	child_address(&w->child, "http=", w->address, sizeof(w->address));
	ck_assert_int_eq(
	    inst_http_create(w->loop, w->fetch, w->address, &w->inst),
	    STATUS_OK);
}

static void
world_stop(struct world *w)
{
	w->inst->vtable->destroy(w->inst);
	child_kill(&w->child);
	fetch_destroy(w->fetch);
	loop_destroy(w->loop);
}

static void
poll_once(struct world *w)
{
	w->done = false;
	w->inst->vtable->poll(
	    w->inst, loop_now(w->loop) + CALL_USEC, on_poll, w);
	ck_assert(harness_wait(w->loop, is_done, w));
}

static void
set_state(struct world *w, const char *json)
{
	static const struct fetch_ops ops = {NULL, on_posted};
	char url[128];
	struct fetch_request request = {
	    .method = "POST", .url = url, .body = lstr_from(json)};

	snprintf(url, sizeof(url), "http://%s/v1/set", w->address);
	w->posted = false;
	ck_assert_int_eq(
	    fetch_start(w->fetch, &request, &ops, w, NULL), STATUS_OK);
	ck_assert(harness_wait(w->loop, is_posted, w));
}

/* Guards against a stand-in that does not lag, and against lost states. */
START_TEST(list_shows_changes_after_its_lag)
{
	struct world w;
	int64_t begin;

	world_start(&w);
	begin = loop_now(w.loop);
	set_state(&w, "{\"name\":\"gpu-1\",\"state\":\"leaving\"}");
	do {
		poll_once(&w);
		ck_assert_int_eq(w.status, STATUS_OK);
		ck_assert_int_lt(loop_now(w.loop) - begin, CALL_USEC);
	} while (w.count == 0);
	ck_assert_int_ge(loop_now(w.loop) - begin, LAG_USEC);
	ck_assert(w.leaving);
	set_state(&w, "{\"name\":\"gpu-1\",\"state\":\"live\"}");
	do {
		poll_once(&w);
		ck_assert_int_lt(loop_now(w.loop) - begin, CALL_USEC);
	} while (w.leaving);
	world_stop(&w);
}
END_TEST

/* Guards against taking a dead list for an empty one. */
START_TEST(dead_list_is_unavailable)
{
	struct world w;

	world_start(&w);
	child_kill(&w.child);
	poll_once(&w);
	ck_assert_int_eq(w.status, STATUS_UNAVAILABLE);
	world_stop(&w);
}
END_TEST

HARNESS_MAIN("inst", list_shows_changes_after_its_lag, dead_list_is_unavailable)
