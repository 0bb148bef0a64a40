#include "harness.h"

#include <string.h>

#include <glib.h>

#include "lstr.h"
#include "route.h"

#define SEED 7005
#define NOW ((int64_t)1000000000000)
#define SEC ((int64_t)1000000)
#define INSTANCES_MAX 10
#define ROUNDS 3000
/* Same value as NEAR_EQUAL_MARGIN in route.c. */
#define NEAR_EQUAL_MARGIN 0.05

/* An instance of a test inventory. */
struct item {
	const char *name;
	const char *place;
	const char *accelerator;
	uint32_t first;
	uint32_t last;
};

/*
 * Parses an inventory of one pipeline service "m" with replica "r" and two
 * places that are 2 ms apart.
 */
static struct inv *
make_inv(const struct item *items, size_t count, uint32_t layers)
{
	struct lstr_buf text = {0};
	struct inv *inv = NULL;
	json_t *inventory = NULL;
	json_t *rules = NULL;

	lstr_buf_printf(&text,
	    "{\"places\":[{\"name\":\"p\",\"region\":\"g\"},"
	    "{\"name\":\"q\",\"region\":\"g\"}],"
	    "\"links\":[{\"from\":\"p\",\"to\":\"q\",\"latency_us\":2000,"
	    "\"mbps\":1000},{\"from\":\"p\",\"to\":\"p\",\"latency_us\":100,"
	    "\"mbps\":1000},{\"from\":\"q\",\"to\":\"q\",\"latency_us\":100,"
	    "\"mbps\":1000}],"
	    "\"services\":[{\"name\":\"m\",\"kind\":\"pipeline\","
	    "\"layers\":%u}],"
	    "\"accelerators\":[{\"kind\":\"fast\",\"layer_us\":500},"
	    "{\"kind\":\"slow\",\"layer_us\":1500}],\"instances\":[",
	    layers);
	for (size_t i = 0; i < count; i++)
		lstr_buf_printf(&text,
		    "%s{\"name\":\"%s\",\"place\":\"%s\",\"service\":\"m\","
		    "\"replica\":\"r\",\"address\":\"127.0.0.1:%u\","
		    "\"accelerator\":\"%s\",\"count\":1,\"first\":%u,"
		    "\"last\":%u}",
		    i > 0 ? "," : "", items[i].name, items[i].place,
		    1000 + g_str_hash(items[i].name) % 60000,
		    items[i].accelerator, items[i].first, items[i].last);
	lstr_buf_printf(&text, "]}");
	ck_assert_int_eq(
	    inv_load_json(lstr_buf_view(&text), "inventory", &inventory),
	    STATUS_OK);
	ck_assert_int_eq(
	    inv_load_json(
		lstr_from("{\"organisations\":[],\"requests\":[],"
			  "\"defaults\":{\"priority\":3,\"weight\":10,"
			  "\"max_concurrent\":10,\"deadline_ms\":1000}}"),
		"rules", &rules),
	    STATUS_OK);
	ck_assert_msg(inv_parse(inventory, rules, &inv) == STATUS_OK, "%s",
	    status_message());
	json_decref(inventory);
	json_decref(rules);
	lstr_buf_free(&text);
	return inv;
}

/*
 * Creates a table with the configuration of an inventory.
 */
static struct route_table *
make_table(const struct inv *inv)
{
	struct route_table *table = NULL;

	ck_assert_int_eq(route_table_create(&table), STATUS_OK);
	ck_assert_int_eq(route_configure(table, inv, NOW), STATUS_OK);
	return table;
}

/*
 * Checks that a route runs every layer once, in order, and uses no instance
 * twice or outside its layers.
 */
static void
check_route(const struct route *route, const struct inv *inv,
    const struct route_table *table, uint32_t layers)
{
	uint32_t next = 0;

	for (uint32_t i = 0; i < route->count; i++) {
		const struct route_stage *stage = &route->stages[i];
		struct route_slot_info info;
		const struct inv_instance *instance;

		route_slot_info(table, stage->slot, NOW, &info);
		instance = &inv->instances[inv_find_instance(
		    inv, lstr_from(info.name))];
		ck_assert_uint_eq(stage->first, next);
		ck_assert_uint_ge(stage->first, instance->first);
		ck_assert_uint_le(stage->last, instance->last);
		next = stage->last + 1;
		for (uint32_t k = 0; k < i; k++)
			ck_assert_uint_ne(route->stages[k].slot, stage->slot);
	}
	ck_assert_uint_eq(next, layers);
}

/*
 * Returns the name of the instance of stage i.
 */
static const char *
stage_name(const struct route_table *table, const struct route *r, uint32_t i)
{
	struct route_slot_info info;

	route_slot_info(table, r->stages[i].slot, NOW, &info);
	return info.name;
}

/*
 * Returns the lowest cost of all chains from a layer to the end in which every
 * instance runs all of its layers. The cost is computed from the inventory and
 * the load alone.
 */
static int64_t
brute_force(const struct inv *inv, uint32_t layer, uint32_t from,
    uint32_t layers, const uint32_t *load)
{
	int64_t best = INT64_MAX;

	if (layer == layers)
		return 0;
	for (uint32_t i = 0; i < inv->instance_count; i++) {
		const struct inv_instance *x = &inv->instances[i];
		int64_t service;
		int64_t rest;

		if (x->first != layer)
			continue;
		rest = brute_force(inv, x->last + 1, i, layers, load);
		if (rest == INT64_MAX)
			continue;
		service = (int64_t)(x->last - x->first + 1) *
		    inv->accelerators[x->accelerator].layer_usec;
		rest += service + service * load[i] / 8;
		if (from != INV_NONE)
			rest += inv_link_latency(
			    inv, inv->instances[from].place, x->place);
		if (rest < best)
			best = rest;
	}
	return best;
}

/*
 * Creates a replica from chains that are cut at random layers, so that there
 * is at least one complete chain. Returns the number of instances.
 */
static size_t
random_items(struct item *items, GRand *rand, uint32_t layers)
{
	static char names[INSTANCES_MAX][8];
	size_t count = 0;

	while (count < INSTANCES_MAX - 3) {
		uint32_t layer = 0;

		for (int parts = 0; layer < layers; parts++) {
			uint32_t last = parts == 2 ? layers - 1
						   : layer +
				(uint32_t)g_rand_int_range(
				    rand, 0, (gint32)(layers - layer));

			snprintf(
			    names[count], sizeof(names[count]), "i%zu", count);
			items[count].name = names[count];
			items[count].place = g_rand_boolean(rand) ? "p" : "q";
			items[count].accelerator =
			    g_rand_boolean(rand) ? "fast" : "slow";
			items[count].first = layer;
			items[count].last = last;
			count++;
			layer = last + 1;
		}
	}
	return count;
}

/*
 * Guards against choosing a chain that is not the cheapest, and against a
 * random choice that exceeds the cheapest cost by more than the margin, with
 * random replicas.
 */
START_TEST(route_is_optimal)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (int round = 0; round < ROUNDS; round++) {
		uint32_t layers = (uint32_t)g_rand_int_range(rand, 1, 9);
		struct item items[INSTANCES_MAX];
		size_t count = random_items(items, rand, layers);
		struct inv *inv = make_inv(items, count, layers);
		struct route_table *table = make_table(inv);
		uint32_t load[INSTANCES_MAX];
		struct route route;
		int64_t best;

		for (uint32_t i = 0; i < count; i++) {
			load[i] = (uint32_t)g_rand_int_range(rand, 0, 20);
			route_report_load(table,
			    route_slot_of_instance(table, i), load[i], 0, NOW);
		}
		best = brute_force(inv, 0, INV_NONE, layers, load);
		ck_assert_int_eq(
		    route_choose(table, 0, NOW, NULL, &route), STATUS_OK);
		check_route(&route, inv, table, layers);
		ck_assert_int_eq(route.cost_usec, best);
		ck_assert_int_eq(
		    route_choose(table, 0, NOW, rand, &route), STATUS_OK);
		check_route(&route, inv, table, layers);
		ck_assert_int_le(route.cost_usec,
		    (int64_t)((double)best * (1 + NEAR_EQUAL_MARGIN)) + 1);
		route_table_destroy(table);
		inv_destroy(inv);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against failing to use a replica with overlapping layer ranges
 * although its instances cover all layers.
 */
START_TEST(overlapping_ranges_form_a_chain)
{
	const struct item items[] = {{"a", "p", "fast", 0, 5},
	    {"b", "p", "fast", 3, 7}, {"c", "p", "fast", 6, 9}};
	struct inv *inv = make_inv(items, 3, 10);
	struct route_table *table = make_table(inv);
	struct route route;

	ck_assert_int_eq(route_choose(table, 0, NOW, NULL, &route), STATUS_OK);
	check_route(&route, inv, table, 10);
	route_avoid(table, route_find_slot(table, lstr_from("c")), NOW + SEC);
	ck_assert_int_eq(
	    route_choose(table, 0, NOW, NULL, &route), STATUS_UNAVAILABLE);
	route_table_destroy(table);
	inv_destroy(inv);
}
END_TEST

static const struct item alternative_chains[] = {{"a1", "p", "fast", 0, 3},
    {"a2", "p", "fast", 0, 3}, {"b1", "p", "fast", 4, 7}};

/* Guards against using an instance that is leaving or avoided. */
START_TEST(unusable_instances_are_not_used)
{
	struct inv *inv = make_inv(alternative_chains, 3, 8);
	struct route_table *table = make_table(inv);
	uint32_t a1 = route_find_slot(table, lstr_from("a1"));
	uint32_t a2 = route_find_slot(table, lstr_from("a2"));
	struct route route;

	route_avoid(table, a1, NOW + SEC);
	route_avoid(table, a1, NOW + SEC / 2);
	route_choose(table, 0, NOW, NULL, &route);
	ck_assert_str_eq(stage_name(table, &route, 0), "a2");
	route_set_leaving(table, a2, ROUTE_SOURCE_ENGINE, true, NOW);
	ck_assert_int_eq(
	    route_choose(table, 0, NOW, NULL, &route), STATUS_UNAVAILABLE);
	ck_assert_int_eq(
	    route_choose(table, 0, NOW + SEC, NULL, &route), STATUS_OK);
	ck_assert_str_eq(stage_name(table, &route, 0), "a1");
	route_set_leaving(table, a1, ROUTE_SOURCE_LIST, true, NOW);
	ck_assert_int_eq(route_choose(table, 0, NOW + SEC, NULL, &route),
	    STATUS_UNAVAILABLE);
	route_set_leaving(table, a1, ROUTE_SOURCE_LIST, false, NOW);
	ck_assert_int_eq(
	    route_choose(table, 0, NOW + SEC, NULL, &route), STATUS_OK);
	route_table_destroy(table);
	inv_destroy(inv);
}
END_TEST

/*
 * Guards against an outdated load report that hides attempts which this router
 * has started since.
 */
START_TEST(running_attempts_correct_stale_reports)
{
	struct inv *inv = make_inv(alternative_chains, 3, 8);
	struct route_table *table = make_table(inv);
	int used[2] = {0};
	struct route route;

	for (int i = 0; i < 20; i++) {
		route_choose(table, 0, NOW, NULL, &route);
		route_attempt_started(table, &route);
		used[stage_name(table, &route, 0)[1] == '2']++;
	}
	ck_assert_int_eq(used[0], 10);
	ck_assert_int_eq(used[1], 10);
	/* A report from before the last attempts must not lower the load. */
	route_report_load(
	    table, route_find_slot(table, lstr_from("a1")), 3, 0, NOW);
	route_report_load(
	    table, route_find_slot(table, lstr_from("a2")), 14, 0, NOW);
	for (int i = 0; i < 4; i++) {
		route_choose(table, 0, NOW, NULL, &route);
		route_attempt_started(table, &route);
		ck_assert_str_eq(stage_name(table, &route, 0), "a1");
	}
	route_table_destroy(table);
	inv_destroy(inv);
}
END_TEST

/* Guards against overloading an instance that has just joined. */
START_TEST(joined_instance_starts_slowly)
{
	struct inv *before = make_inv(alternative_chains + 1, 2, 8);
	struct inv *after = make_inv(alternative_chains, 3, 8);
	struct route_table *table = make_table(before);
	struct route_slot_info info;
	struct route route;

	ck_assert_int_eq(route_configure(table, after, NOW), STATUS_OK);
	for (int i = 0; i < 20; i++) {
		route_choose(table, 0, NOW + SEC, NULL, &route);
		route_attempt_started(table, &route);
		ck_assert_str_eq(stage_name(table, &route, 0), "a2");
	}
	route_choose(table, 0, NOW + 11 * SEC, NULL, &route);
	ck_assert_str_eq(stage_name(table, &route, 0), "a1");
	route_slot_info(
	    table, route_find_slot(table, lstr_from("a2")), NOW, &info);
	ck_assert_uint_eq(info.running, 20);
	route_table_destroy(table);
	inv_destroy(before);
	inv_destroy(after);
}
END_TEST

/* Guards against reusing a slot while attempts run on its instance. */
START_TEST(slot_is_kept_while_attempts_run)
{
	struct inv *before = make_inv(alternative_chains, 3, 8);
	struct inv *after = make_inv(alternative_chains + 1, 2, 8);
	struct route_table *table = make_table(before);
	struct route first;
	struct route route;

	route_avoid(table, route_find_slot(table, lstr_from("a2")), NOW + SEC);
	route_choose(table, 0, NOW, NULL, &first);
	route_attempt_started(table, &first);
	route_configure(table, after, NOW);
	ck_assert_str_eq(stage_name(table, &first, 0), "a1");
	ck_assert_int_eq(
	    route_choose(table, 0, NOW, NULL, &route), STATUS_UNAVAILABLE);
	route_attempt_ended(table, &first);
	route_configure(table, after, NOW);
	ck_assert_uint_eq(route_find_slot(table, lstr_from("a1")), ROUTE_NONE);
	route_table_destroy(table);
	inv_destroy(before);
	inv_destroy(after);
}
END_TEST

/*
 * Guards against continuing to use a slow link, and against never using it
 * again.
 */
START_TEST(slow_link_is_avoided_then_retried)
{
	const struct item items[] = {{"a", "p", "fast", 0, 3},
	    {"b1", "p", "fast", 4, 7}, {"b2", "q", "fast", 4, 7}};
	struct inv *inv = make_inv(items, 3, 8);
	struct route_table *table = make_table(inv);
	struct route route;

	route_choose(table, 0, NOW, NULL, &route);
	ck_assert_str_eq(stage_name(table, &route, 1), "b1");
	for (int i = 0; i < 10; i++)
		route_observe_gap(table, &route, 60000, NOW);
	route_choose(table, 0, NOW, NULL, &route);
	ck_assert_str_eq(stage_name(table, &route, 1), "b2");
	route_choose(table, 0, NOW + 300 * SEC, NULL, &route);
	ck_assert_str_eq(stage_name(table, &route, 1), "b1");
	route_table_destroy(table);
	inv_destroy(inv);
}
END_TEST

/* Guards against excluding or preferring a suspected instance. */
START_TEST(suspected_instance_is_used_last)
{
	struct inv *inv = make_inv(alternative_chains, 3, 8);
	struct route_table *table = make_table(inv);
	uint32_t a1 = route_find_slot(table, lstr_from("a1"));
	struct route route;

	route_penalise(table, a1, NOW + SEC);
	route_choose(table, 0, NOW, NULL, &route);
	ck_assert_str_eq(stage_name(table, &route, 0), "a2");
	route_avoid(table, route_find_slot(table, lstr_from("a2")), NOW + SEC);
	ck_assert_int_eq(route_choose(table, 0, NOW, NULL, &route), STATUS_OK);
	ck_assert_str_eq(stage_name(table, &route, 0), "a1");
	route_table_destroy(table);
	inv_destroy(inv);
}
END_TEST

/*
 * Guards against always choosing the same one of several equal chains, and
 * against expected times that do not match the inventory.
 */
START_TEST(equal_chains_share_the_load)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct inv *inv = make_inv(alternative_chains, 3, 8);
	struct route_table *table = make_table(inv);
	struct route route;
	int first = 0;

	for (int i = 0; i < 1000; i++) {
		route_choose(table, 0, NOW, rand, &route);
		first += strcmp(stage_name(table, &route, 0), "a1") == 0;
	}
	ck_assert_int_gt(first, 400);
	ck_assert_int_lt(first, 600);
	ck_assert_int_eq(route.token_usec, 8 * 500 + 100);
	ck_assert_int_eq(
	    route_expected_finish(&route, NOW, 10), NOW + 10 * 4100);
	route_table_destroy(table);
	inv_destroy(inv);
	g_rand_free(rand);
}
END_TEST

HARNESS_MAIN("route", route_is_optimal, overlapping_ranges_form_a_chain,
    unusable_instances_are_not_used, running_attempts_correct_stale_reports,
    joined_instance_starts_slowly, slot_is_kept_while_attempts_run,
    slow_link_is_avoided_then_retried, suspected_instance_is_used_last,
    equal_chains_share_the_load)
