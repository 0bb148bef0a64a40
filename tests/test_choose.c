#include "entry_inv.h"

#include "choose.h"

#define SEED 11
#define REPLICAS 3
#define KEYS 300

/* The state that the callbacks of struct choose_context return. */
struct callback_state {
	/* Name of the leaving instance, or NULL. */
	const char *leaving;
	/* Replica without a router, or INV_NONE. */
	uint32_t without_router;
	/* Replica with open requests, or INV_NONE. */
	uint32_t busy;
};

static const char *
router_of(uint32_t replica, void *arg)
{
	struct callback_state *c = arg;

	return replica == c->without_router ? NULL : "127.0.0.1:9";
}

static bool
is_leaving(struct lstr instance, void *arg)
{
	struct callback_state *c = arg;

	return c->leaving != NULL && lstr_equal_c(instance, c->leaving);
}

static uint32_t
open_requests(uint32_t replica, void *arg)
{
	struct callback_state *c = arg;

	return replica == c->busy ? 5 : 0;
}

/*
 * Chooses a replica of the named service. Returns INV_NONE when there is none.
 */
static uint32_t
choose(const struct inv *inv, struct callback_state *c, const char *service,
    const char *key, const char *avoid, GRand *random)
{
	struct choose_context context = {.inv = inv,
	    .place = inv_find_place(inv, lstr_from("p1")),
	    .router = router_of,
	    .leaving = is_leaving,
	    .outstanding = open_requests,
	    .arg = c};
	struct choose_result result;

	if (choose_replica(&context, inv_find_service(inv, lstr_from(service)),
		lstr_from(key), lstr_from(avoid), random, &result) != STATUS_OK)
		return INV_NONE;
	return result.replica;
}

/* Guards against choosing a replica without instances for some layers. */
START_TEST(replica_without_complete_chain_is_not_chosen)
{
	struct inv *inv = make_inv();
	GRand *random = g_rand_new_with_seed(SEED);
	struct callback_state c = {
	    .without_router = INV_NONE, .busy = INV_NONE};

	ck_assert_uint_ne(choose(inv, &c, "m", "", "", random), INV_NONE);
	c.leaving = "m1c";
	ck_assert_uint_ne(choose(inv, &c, "m", "", "", random), INV_NONE);
	/* m1c overlaps m1a, so it cannot replace m1b. */
	c.leaving = "m1b";
	ck_assert_uint_eq(choose(inv, &c, "m", "", "", random), INV_NONE);
	g_rand_free(random);
	inv_destroy(inv);
}
END_TEST

/*
 * Guards against sending a key to different replicas, and against sending all
 * keys to the same replica.
 */
START_TEST(key_selects_the_replica)
{
	struct inv *inv = make_inv();
	GRand *random = g_rand_new_with_seed(SEED);
	struct callback_state c = {
	    .without_router = INV_NONE, .busy = INV_NONE};
	uint32_t first = inv_find_replica(inv, lstr_from("s"), lstr_from("s1"));
	int counts[REPLICAS] = {0};

	for (int i = 0; i < KEYS; i++) {
		char key[32];
		uint32_t chosen;

		snprintf(key, sizeof(key), "1-%d", i);
		chosen = choose(inv, &c, "s", key, "", random);
		ck_assert_uint_eq(
		    chosen, choose(inv, &c, "s", key, "", random));
		counts[chosen - first]++;
	}
	for (int i = 0; i < REPLICAS; i++)
		ck_assert_int_gt(counts[i], KEYS / REPLICAS / 2);
	g_rand_free(random);
	inv_destroy(inv);
}
END_TEST

/*
 * Guards against sending requests without a key to busy replicas or to
 * replicas without a router.
 */
START_TEST(requests_without_key_avoid_busy_replicas)
{
	struct inv *inv = make_inv();
	GRand *random = g_rand_new_with_seed(SEED);
	uint32_t first = inv_find_replica(inv, lstr_from("s"), lstr_from("s1"));
	struct callback_state c = {.without_router = first, .busy = first + 1};

	/* Of the two replicas with a router, one is busy. */
	for (int i = 0; i < KEYS; i++)
		ck_assert_uint_eq(
		    choose(inv, &c, "s", "", "", random), first + 2);
	for (int i = 0; i < KEYS; i++)
		ck_assert_uint_eq(
		    choose(inv, &c, "s", "", "s3", random), first + 1);
	g_rand_free(random);
	inv_destroy(inv);
}
END_TEST

HARNESS_MAIN("choose", replica_without_complete_chain_is_not_chosen,
    key_selects_the_replica, requests_without_key_avoid_busy_replicas)
