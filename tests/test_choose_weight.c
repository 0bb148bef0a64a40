#include <glib.h>
#include <jansson.h>

#include "choose.h"
#include "harness.h"

#define SEED 7
#define TRIES 200
#define OPEN_MAX 4

/* Two replicas; the second stage of "slow" takes four times as long. */
static const char inventory_text[] =
    "{\"places\":[{\"name\":\"p\",\"region\":\"r\"}],\"links\":[],"
    "\"services\":[{\"name\":\"m\",\"kind\":\"pipeline\",\"layers\":4}],"
    "\"accelerators\":[{\"kind\":\"f\",\"layer_us\":100},"
    "{\"kind\":\"s\",\"layer_us\":400}],\"instances\":["
    "{\"name\":\"fa\",\"place\":\"p\",\"service\":\"m\",\"replica\":\"fast\","
    "\"address\":\"127.0.0.1:1\",\"accelerator\":\"f\",\"first\":0,\"last\":1},"
    "{\"name\":\"fb\",\"place\":\"p\",\"service\":\"m\",\"replica\":\"fast\","
    "\"address\":\"127.0.0.1:1\",\"accelerator\":\"f\",\"first\":2,\"last\":3},"
    "{\"name\":\"sa\",\"place\":\"p\",\"service\":\"m\",\"replica\":\"slow\","
    "\"address\":\"127.0.0.1:1\",\"accelerator\":\"f\",\"first\":0,\"last\":1},"
    "{\"name\":\"sb\",\"place\":\"p\",\"service\":\"m\",\"replica\":\"slow\","
    "\"address\":\"127.0.0.1:1\",\"accelerator\":\"s\",\"first\":2,"
    "\"last\":3}]}";
static const char rules_text[] =
    "{\"organisations\":[],\"requests\":[],\"defaults\":{\"priority\":3,"
    "\"weight\":1,\"max_concurrent\":2,\"deadline_ms\":9000,"
    "\"allow_unknown\":true}}";

struct world {
	struct inv *inv;
	uint32_t open[2];
};

/*
 * Returns the same router for every replica.
 */
static const char *
router_of(uint32_t replica, void *arg)
{
	(void)replica;
	(void)arg;
	return "127.0.0.1:9";
}

/*
 * Tells that no instance is leaving.
 */
static bool
is_leaving(struct lstr instance, void *arg)
{
	(void)instance;
	(void)arg;
	return false;
}

/*
 * Returns the open requests that the test has set.
 */
static uint32_t
open_on(uint32_t replica, void *arg)
{
	const struct world *w = arg;

	return w->open[replica];
}

/*
 * Reads the configuration.
 */
static void
world_start(struct world *w)
{
	json_t *inventory = json_loads(inventory_text, 0, NULL);
	json_t *rules = json_loads(rules_text, 0, NULL);

	ck_assert_msg(inv_parse(inventory, rules, &w->inv) == STATUS_OK, "%s",
	    status_message());
	json_decref(inventory);
	json_decref(rules);
}

/*
 * Chooses among both replicas; returns the index.
 */
static uint32_t
choose(struct world *w, GRand *random)
{
	struct choose_world world = {.inv = w->inv,
	    .place = INV_NONE,
	    .router = router_of,
	    .leaving = is_leaving,
	    .outstanding = open_on,
	    .arg = w};
	struct choose_result result;

	ck_assert_int_eq(choose_replica(&world, 0, lstr_from(""), lstr_from(""),
			     random, &result),
	    STATUS_OK);
	return result.replica;
}

/*
 * Guards against a slow replica that gets as many open requests as a fast one
 * and so a queue that takes longer by the ratio of their speeds.
 */
START_TEST(open_requests_follow_the_slowest_stage)
{
	struct world w = {0};
	GRand *random = g_rand_new_with_seed(SEED);
	uint32_t fast;
	uint32_t slow;

	world_start(&w);
	fast = inv_find_replica(w.inv, lstr_from("m"), lstr_from("fast"));
	slow = inv_find_replica(w.inv, lstr_from("m"), lstr_from("slow"));
	for (uint32_t open = 0; open < OPEN_MAX - 1; open++) {
		w.open[fast] = open;
		for (int i = 0; i < TRIES; i++)
			ck_assert_uint_eq(choose(&w, random), fast);
	}
	w.open[fast] = OPEN_MAX;
	for (int i = 0; i < TRIES; i++)
		ck_assert_uint_eq(choose(&w, random), slow);
	g_rand_free(random);
	inv_destroy(w.inv);
}
END_TEST

HARNESS_MAIN("choose_weight", open_requests_follow_the_slowest_stage)
