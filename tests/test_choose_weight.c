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

/* The inventory and the number of open requests of each replica. */
struct inputs {
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
 * Returns false, since no instance is leaving.
 */
static bool
is_leaving(struct lstr instance, void *arg)
{
	(void)instance;
	(void)arg;
	return false;
}

/*
 * Returns the number of open requests that the test has set.
 */
static uint32_t
open_requests(uint32_t replica, void *arg)
{
	const struct inputs *inputs = arg;

	return inputs->open[replica];
}

/*
 * Parses the inventory.
 */
static void
inputs_init(struct inputs *inputs)
{
	json_t *inventory = json_loads(inventory_text, 0, NULL);
	json_t *rules = json_loads(rules_text, 0, NULL);

	ck_assert_msg(inv_parse(inventory, rules, &inputs->inv) == STATUS_OK,
	    "%s", status_message());
	json_decref(inventory);
	json_decref(rules);
}

/*
 * Chooses one of the two replicas and returns its index.
 */
static uint32_t
choose(struct inputs *inputs, GRand *random)
{
	struct choose_context context = {.inv = inputs->inv,
	    .place = INV_NONE,
	    .router = router_of,
	    .leaving = is_leaving,
	    .outstanding = open_requests,
	    .arg = inputs};
	struct choose_result result;

	ck_assert_int_eq(choose_replica(&context, 0, lstr_from(""),
			     lstr_from(""), random, &result),
	    STATUS_OK);
	return result.replica;
}

/*
 * Guards against giving a slow replica as many open requests as a fast one,
 * which would make its queue slower by the ratio of their speeds.
 */
START_TEST(load_follows_the_slowest_stage)
{
	struct inputs inputs = {0};
	GRand *random = g_rand_new_with_seed(SEED);
	uint32_t fast;
	uint32_t slow;

	inputs_init(&inputs);
	fast = inv_find_replica(inputs.inv, lstr_from("m"), lstr_from("fast"));
	slow = inv_find_replica(inputs.inv, lstr_from("m"), lstr_from("slow"));
	for (uint32_t open = 0; open < OPEN_MAX - 1; open++) {
		inputs.open[fast] = open;
		for (int i = 0; i < TRIES; i++)
			ck_assert_uint_eq(choose(&inputs, random), fast);
	}
	inputs.open[fast] = OPEN_MAX;
	for (int i = 0; i < TRIES; i++)
		ck_assert_uint_eq(choose(&inputs, random), slow);
	g_rand_free(random);
	inv_destroy(inputs.inv);
}
END_TEST

HARNESS_MAIN("choose_weight", load_follows_the_slowest_stage)
