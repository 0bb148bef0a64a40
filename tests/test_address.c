#include "harness.h"

#include <string.h>

#include "address.h"

#define MEMBERS 20
#define ROUNDS 2000
#define SEED 7

/*
 * Members in data centre p0 (0 to 1), p1 (2 to 9), both in region r0, and p2
 * (10 to 19) in region r1.
 */
struct fixture {
	struct view_member members[MEMBERS];
	const struct view_member *list[MEMBERS];
	char names[MEMBERS][16];
	GRand *random;
	const struct view_member *out[ADDR_MAX];
};

static void
fixture_init(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->random = g_rand_new_with_seed(SEED);
	for (int i = 0; i < MEMBERS; i++) {
		struct view_member *m = &f->members[i];

		snprintf(f->names[i], sizeof(f->names[i]), "10.0.0.%d:1", i);
		m->node = f->names[i];
		m->entry_address = f->names[i];
		m->place = i < 2 ? "p0" : i < 10 ? "p1" : "p2";
		m->region = i < 10 ? "r0" : "r1";
		m->state = VIEW_LIVE;
		m->entry_ready = true;
		f->list[i] = m;
	}
}

static size_t
choose_entries(struct fixture *f, const char *place, const char *region)
{
	return addr_choose(f->list, MEMBERS, lstr_from(place),
	    lstr_from(region), f->random, f->out);
}

/*
 * Guards against sending callers to another data centre while their own has an
 * entry.
 */
START_TEST(same_place_first_then_region)
{
	struct fixture f;

	fixture_init(&f);
	for (int round = 0; round < ROUNDS; round++) {
		ck_assert_uint_eq(choose_entries(&f, "p0", "r0"), ADDR_MAX);
		ck_assert_str_eq(f.out[0]->place, "p0");
		ck_assert_str_eq(f.out[1]->place, "p0");
		ck_assert_str_eq(f.out[2]->place, "p1");
		ck_assert_str_eq(f.out[3]->place, "p1");
		ck_assert_ptr_ne(f.out[0], f.out[1]);
		ck_assert_ptr_ne(f.out[2], f.out[3]);
	}
	g_rand_free(f.random);
}
END_TEST

/* Guards against returning entries that are leaving, suspected or not ready. */
START_TEST(unusable_entries_are_left_out)
{
	struct fixture f;

	fixture_init(&f);
	for (int i = 4; i < MEMBERS; i++)
		f.members[i].state = i % 2 ? VIEW_LEAVING : VIEW_SUSPECTED;
	f.members[0].entry_ready = false;
	f.members[1].entry_address = "";
	for (int round = 0; round < ROUNDS; round++) {
		ck_assert_uint_eq(choose_entries(&f, "p0", "r0"), 2);
		ck_assert(
		    f.out[0] == &f.members[2] || f.out[0] == &f.members[3]);
		ck_assert(
		    f.out[1] == &f.members[2] || f.out[1] == &f.members[3]);
	}
	for (int i = 0; i < MEMBERS; i++)
		f.members[i].state = VIEW_LEAVING;
	ck_assert_uint_eq(choose_entries(&f, "p0", "r0"), 0);
	g_rand_free(f.random);
}
END_TEST

/* Guards against sending all callers to the same entries. */
START_TEST(callers_are_spread)
{
	int counts[MEMBERS] = {0};
	struct fixture f;

	fixture_init(&f);
	for (int round = 0; round < ROUNDS; round++) {
		ck_assert_uint_eq(choose_entries(&f, "p2", "r1"), ADDR_MAX);
		for (int i = 0; i < ADDR_MAX; i++)
			counts[f.out[i] - f.members]++;
	}
	/* Each of the 10 is expected 800 times. */
	for (int i = 10; i < MEMBERS; i++) {
		ck_assert_int_gt(counts[i], 600);
		ck_assert_int_lt(counts[i], 1000);
	}
	g_rand_free(f.random);
}
END_TEST

/* Guards against an empty answer for a caller in an unknown data centre. */
START_TEST(unknown_place_gets_any)
{
	struct fixture f;

	fixture_init(&f);
	ck_assert_uint_eq(choose_entries(&f, "", ""), ADDR_MAX);
	ck_assert_uint_eq(choose_entries(&f, "elsewhere", ""), ADDR_MAX);
	g_rand_free(f.random);
}
END_TEST

HARNESS_MAIN("address", same_place_first_then_region,
    unusable_entries_are_left_out, callers_are_spread, unknown_place_gets_any)
