#include "harness.h"

#include <string.h>

#include "address.h"

#define MEMBERS 20
#define ROUNDS 2000
#define SEED 7

/*
 * Members in place p0 (0 to 1), p1 (2 to 9), both in region r0, and p2 (10 to
 * 19) in region r1.
 */
struct world {
	struct view_member members[MEMBERS];
	const struct view_member *list[MEMBERS];
	char names[MEMBERS][16];
	GRand *random;
	const struct view_member *out[ADDR_MAX];
};

static void
world_start(struct world *w)
{
	memset(w, 0, sizeof(*w));
	w->random = g_rand_new_with_seed(SEED);
	for (int i = 0; i < MEMBERS; i++) {
		struct view_member *m = &w->members[i];

		snprintf(w->names[i], sizeof(w->names[i]), "10.0.0.%d:1", i);
		m->node = w->names[i];
		m->entry_address = w->names[i];
		m->place = i < 2 ? "p0" : i < 10 ? "p1" : "p2";
		m->region = i < 10 ? "r0" : "r1";
		m->state = VIEW_LIVE;
		m->entry_ready = true;
		w->list[i] = m;
	}
}

static size_t
choose(struct world *w, const char *place, const char *region)
{
	return addr_choose(w->list, MEMBERS, lstr_from(place),
	    lstr_from(region), w->random, w->out);
}

/*
 * Guards against sending callers to another place while their own has an entry.
 */
START_TEST(same_place_first_then_region)
{
	struct world w;

	world_start(&w);
	for (int round = 0; round < ROUNDS; round++) {
		ck_assert_uint_eq(choose(&w, "p0", "r0"), ADDR_MAX);
		ck_assert_str_eq(w.out[0]->place, "p0");
		ck_assert_str_eq(w.out[1]->place, "p0");
		ck_assert_str_eq(w.out[2]->place, "p1");
		ck_assert_str_eq(w.out[3]->place, "p1");
		ck_assert_ptr_ne(w.out[0], w.out[1]);
		ck_assert_ptr_ne(w.out[2], w.out[3]);
	}
	g_rand_free(w.random);
}
END_TEST

/* Guards against returning entries that are leaving, suspected or not ready. */
START_TEST(unusable_entries_are_left_out)
{
	struct world w;

	world_start(&w);
	for (int i = 4; i < MEMBERS; i++)
		w.members[i].state = i % 2 ? VIEW_LEAVING : VIEW_SUSPECTED;
	w.members[0].entry_ready = false;
	w.members[1].entry_address = "";
	for (int round = 0; round < ROUNDS; round++) {
		ck_assert_uint_eq(choose(&w, "p0", "r0"), 2);
		ck_assert(
		    w.out[0] == &w.members[2] || w.out[0] == &w.members[3]);
		ck_assert(
		    w.out[1] == &w.members[2] || w.out[1] == &w.members[3]);
	}
	for (int i = 0; i < MEMBERS; i++)
		w.members[i].state = VIEW_LEAVING;
	ck_assert_uint_eq(choose(&w, "p0", "r0"), 0);
	g_rand_free(w.random);
}
END_TEST

/* Guards against sending all callers to the same entries. */
START_TEST(callers_are_spread)
{
	int counts[MEMBERS] = {0};
	struct world w;

	world_start(&w);
	for (int round = 0; round < ROUNDS; round++) {
		ck_assert_uint_eq(choose(&w, "p2", "r1"), ADDR_MAX);
		for (int i = 0; i < ADDR_MAX; i++)
			counts[w.out[i] - w.members]++;
	}
	/* Each of the 10 is expected 800 times. */
	for (int i = 10; i < MEMBERS; i++) {
		ck_assert_int_gt(counts[i], 600);
		ck_assert_int_lt(counts[i], 1000);
	}
	g_rand_free(w.random);
}
END_TEST

/* Guards against an empty answer for a caller in an unknown place. */
START_TEST(unknown_place_gets_any)
{
	struct world w;

	world_start(&w);
	ck_assert_uint_eq(choose(&w, "", ""), ADDR_MAX);
	ck_assert_uint_eq(choose(&w, "elsewhere", ""), ADDR_MAX);
	g_rand_free(w.random);
}
END_TEST

HARNESS_MAIN("address", same_place_first_then_region,
    unusable_entries_are_left_out, callers_are_spread, unknown_place_gets_any)
