#include <string.h>

#include "harness.h"
#include "settled_era.h"

/* A store that keeps the value of one write until it is answered. */
struct memory_kv {
	struct kv base;
	struct lstr_buf value;
	uint64_t version;
	unsigned int writes;
	kv_done_fn fn;
	void *arg;
};

static void
memory_put(struct kv *kv, struct lstr key, struct lstr value, uint64_t version,
    struct lstr lease, int64_t deadline, kv_done_fn fn, void *arg)
{
	struct memory_kv *memory = (struct memory_kv *)kv;

	(void)deadline;
	ck_assert(lstr_equal_c(key, SETTLED_ERA_KEY));
	ck_assert_uint_eq(lease.len, 0);
	memory->version = version;
	lstr_buf_clear(&memory->value);
	lstr_buf_append(&memory->value, value);
	memory->writes++;
	memory->fn = fn;
	memory->arg = arg;
}

static const struct kv_vtable memory_vtable = {.put = memory_put};

struct fixture {
	struct loop *loop;
	struct memory_kv memory;
	struct settled_era *settled;
};

static void
start(struct fixture *w)
{
	memset(w, 0, sizeof(*w));
	w->memory.base.vtable = &memory_vtable;
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	w->settled = settled_era_new(w->loop, &w->memory.base);
}

static void
stop(struct fixture *w)
{
	settled_era_free(w->settled);
	lstr_buf_free(&w->memory.value);
	loop_destroy(w->loop);
}

/*
 * Answers the pending write.
 */
static void
answer(struct fixture *w, enum status status, uint64_t era, uint64_t version)
{
	struct kv_result result = {
	    .status = status, .era = era, .version = version};

	w->memory.fn(&result, w->memory.arg);
}

/*
 * Returns the era that a reader finds in the value that was written last.
 */
static uint64_t
written_era(struct fixture *w)
{
	struct settled_era *reader = settled_era_new(w->loop, NULL);
	uint64_t era = settled_era_read(reader, lstr_buf_view(&w->memory.value),
	    (struct store_position){1, 1});

	settled_era_free(reader);
	return era;
}

/*
 * Runs the planner's tick until it has made a number of writes.
 */
static void
tick_until_written(struct fixture *w, uint64_t era, unsigned int writes)
{
	int64_t deadline = loop_now(w->loop) + HARNESS_DEADLINE_USEC;

	while (w->memory.writes < writes) {
		ck_assert_int_lt(loop_now(w->loop), deadline);
		settled_era_tick(w->settled, true, era);
		loop_run_once(
		    w->loop, loop_now(w->loop) + 10 * LOOP_USEC_PER_MSEC);
	}
}

/* Guards against writes by every node, before the era is settled, or more than
 * once per era. */
START_TEST(planner_writes_each_era_once)
{
	struct fixture w;

	start(&w);
	settled_era_tick(w.settled, false, 3);
	settled_era_tick(w.settled, true, 0);
	ck_assert_uint_eq(w.memory.writes, 0);
	settled_era_tick(w.settled, true, 3);
	ck_assert_uint_eq(w.memory.writes, 1);
	ck_assert_uint_eq(w.memory.version, 0);
	ck_assert_uint_eq(written_era(&w), 3);
	ck_assert_uint_eq(settled_era_stored(w.settled), 0);
	answer(&w, STATUS_OK, 3, 41);
	ck_assert_uint_eq(settled_era_stored(w.settled), 3);
	loop_run_once(w.loop, loop_now(w.loop) + SETTLED_ERA_PAUSE_USEC);
	settled_era_tick(w.settled, true, 3);
	ck_assert_uint_eq(w.memory.writes, 1);
	tick_until_written(&w, 4, 2);
	ck_assert_uint_eq(w.memory.version, 41);
	ck_assert_uint_eq(written_era(&w), 4);
	stop(&w);
}
END_TEST

/* Guards against an era that stays unsettled after a failed write, and against
 * a conflict that repeats for ever. */
START_TEST(failed_write_is_repeated_with_the_stored_version)
{
	struct fixture w;

	start(&w);
	settled_era_tick(w.settled, true, 2);
	answer(&w, STATUS_UNAVAILABLE, 0, 0);
	settled_era_tick(w.settled, true, 2);
	ck_assert_uint_eq(w.memory.writes, 1);
	tick_until_written(&w, 2, 2);
	answer(&w, STATUS_CONFLICT, 2, 17);
	tick_until_written(&w, 2, 3);
	ck_assert_uint_eq(w.memory.version, 17);
	/* Another planner has written the era meanwhile. */
	answer(&w, STATUS_CONFLICT, 2, 18);
	ck_assert_uint_eq(settled_era_read(w.settled, lstr_from("{\"era\":2}"),
			      (struct store_position){2, 18}),
	    2);
	loop_run_once(w.loop, loop_now(w.loop) + SETTLED_ERA_PAUSE_USEC);
	settled_era_tick(w.settled, true, 2);
	ck_assert_uint_eq(w.memory.writes, 3);
	stop(&w);
}
END_TEST

/* Guards against a key that stays behind after a restore, also if the response
 * to a write arrives from the restored store. */
START_TEST(restored_key_is_written_again)
{
	struct fixture w;

	start(&w);
	settled_era_tick(w.settled, true, 2);
	answer(&w, STATUS_OK, 3, 9);
	tick_until_written(&w, 3, 2);
	answer(&w, STATUS_OK, 3, 10);
	ck_assert_uint_eq(settled_era_read(w.settled, lstr_from("{\"era\":2}"),
			      (struct store_position){4, 7}),
	    2);
	tick_until_written(&w, 4, 3);
	ck_assert_uint_eq(w.memory.version, 7);
	answer(&w, STATUS_OK, 4, 11);
	settled_era_read(
	    w.settled, lstr_make("", 0), (struct store_position){0, 0});
	tick_until_written(&w, 4, 4);
	ck_assert_uint_eq(w.memory.version, 0);
	stop(&w);
}
END_TEST

/* Guards against a malformed value that counts as a settled era. */
START_TEST(malformed_value_settles_no_era)
{
	static const char *const values[] = {
	    "", "x", "[]", "{}", "{\"era\":\"2\"}", "{\"era\":-1}"};
	struct fixture w;

	start(&w);
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		ck_assert_uint_eq(
		    settled_era_read(w.settled, lstr_from(values[i]),
			(struct store_position){1, 5}),
		    0);
	settled_era_tick(w.settled, true, 1);
	ck_assert_uint_eq(w.memory.writes, 1);
	ck_assert_uint_eq(w.memory.version, 5);
	stop(&w);
}
END_TEST

HARNESS_MAIN("settled_era", planner_writes_each_era_once,
    failed_write_is_repeated_with_the_stored_version,
    restored_key_is_written_again, malformed_value_settles_no_era)
