#include "harness.h"
#include "node_engine.h"

#define SEED 4711
#define ROUNDS 300

static const struct path_demand usual = {
    ENGINE_PROMPT, ENGINE_OUTPUT, "a", false};

/* Guards against paths that skip, repeat or misplace layers. */
START_TEST(paths_run_every_layer_once)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (int round = 0; round < ROUNDS; round++) {
		struct engine_world w;
		struct path_demand demand = usual;
		struct path path;

		engine_world_init(&w);
		engine_world_place(&w);
		for (size_t i = 0; i < w.count; i++) {
			struct path_server *row = &w.rows[i];

			row->usable = g_rand_int_range(rand, 0, 10) > 0;
			row->slowness = g_rand_double_range(rand, 1, 6);
			row->active = (uint32_t)g_rand_int_range(rand, 0, 100);
			row->used = (int64_t)(g_rand_double(rand) *
			    (double)row->memory);
			row->first_active = row->active / 2;
		}
		demand.may_cross = round % 2 == 0;
		demand.zone = engine_places[round % ENGINE_PLACES];
		if (path_find(w.engine, w.rows, w.count, &demand, &path) ==
		    STATUS_OK) {
			ck_assert(
			    path_is_complete(w.engine, &path, w.rows, w.count));
			for (uint32_t i = 0; i < path.count; i++)
				ck_assert(w.rows[path.stages[i].server].usable);
		}
		engine_world_free(&w);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Replays a load that fills one data centre: requests go to whole paths of the
 * others, and none crosses the shared link on its way.
 */
START_TEST(load_that_fills_a_place_moves_as_a_whole)
{
	struct engine_world w;
	struct path path;
	uint32_t started = 0;
	uint32_t by_place[ENGINE_PLACES] = {0};

	engine_world_init(&w);
	engine_world_place(&w);
	while (
	    path_find(w.engine, w.rows, w.count, &usual, &path) == STATUS_OK) {
		const char *place = w.rows[path.stages[0].server].zone;

		ck_assert_uint_eq(path.crossings, 0);
		for (uint32_t i = 1; i < path.count; i++)
			ck_assert_str_eq(
			    w.rows[path.stages[i].server].zone, place);
		by_place[place[0] - 'a']++;
		engine_charge(&w, &path, &usual, 1);
		started++;
	}
	for (int i = 0; i < ENGINE_PLACES; i++)
		ck_assert_uint_gt(by_place[i], 0);
	/* The layout plans memory for so many in each place. */
	ck_assert_uint_ge(started, 2 * LAYOUT_REQUESTS);
	for (size_t i = 0; i < w.count; i++)
		ck_assert_int_le(w.rows[i].used, w.rows[i].memory);
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &usual, &path), STATUS_FULL);
	engine_world_free(&w);
}
END_TEST

/* Guards against prompts that queue at one first server. */
START_TEST(load_is_spread_over_first_servers)
{
	struct engine_world w;
	struct path path;
	uint32_t most = 0;

	engine_world_init(&w);
	engine_world_place(&w);
	for (int i = 0; i < 90; i++) {
		ck_assert_int_eq(
		    path_find(w.engine, w.rows, w.count, &usual, &path),
		    STATUS_OK);
		engine_charge(&w, &path, &usual, 1);
	}
	for (size_t i = 0; i < w.count; i++)
		most = MAX(most, w.rows[i].first_active);
	ck_assert_uint_le(most, 45);
	engine_world_free(&w);
}
END_TEST

/* Guards the loss of any one card: other paths take the requests at once. */
START_TEST(any_card_may_fail)
{
	struct engine_world w;

	engine_world_init(&w);
	engine_world_place(&w);
	for (size_t lost = 0; lost < w.count; lost++) {
		struct path path;

		w.rows[lost].usable = false;
		ck_assert_int_eq(
		    path_find(w.engine, w.rows, w.count, &usual, &path),
		    STATUS_OK);
		for (uint32_t i = 0; i < path.count; i++)
			ck_assert_uint_ne(path.stages[i].server, lost);
		w.rows[lost].usable = true;
	}
	engine_world_free(&w);
}
END_TEST

/* Guards paths over data centres where none holds all layers any more. */
START_TEST(crossing_is_possible_but_only_where_allowed)
{
	struct engine_world w;
	struct path_demand demand = usual;
	struct path path;

	engine_world_init(&w);
	engine_world_place(&w);
	for (size_t i = 0; i < w.count; i++) {
		uint32_t middle = w.rows[i].zone[0] == 'a' ? 10
		    : w.rows[i].zone[0] == 'b'		   ? 40
							   : 70;

		if (w.rows[i].layer_from <= middle &&
		    w.rows[i].layer_to > middle)
			w.rows[i].usable = false;
	}
	ck_assert_int_eq(path_find(w.engine, w.rows, w.count, &demand, &path),
	    STATUS_NOT_FOUND);
	demand.may_cross = true;
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &demand, &path), STATUS_OK);
	ck_assert_uint_ge(path.crossings, 1);
	engine_world_free(&w);
}
END_TEST

/* Guards against a slow server that keeps its share of the requests. */
START_TEST(slow_server_gets_less)
{
	struct engine_world w;
	struct path path;
	uint32_t slow;
	uint32_t uses = 0;

	engine_world_init(&w);
	engine_world_place(&w);
	path_find(w.engine, w.rows, w.count, &usual, &path);
	slow = path.stages[1].server;
	w.rows[slow].slowness = 12;
	for (int i = 0; i < 30; i++) {
		path_find(w.engine, w.rows, w.count, &usual, &path);
		for (uint32_t k = 0; k < path.count; k++)
			uses += path.stages[k].server == slow;
		engine_charge(&w, &path, &usual, 1);
	}
	ck_assert_uint_le(uses, 10);
	engine_world_free(&w);
}
END_TEST

HARNESS_MAIN("path", paths_run_every_layer_once,
    load_that_fills_a_place_moves_as_a_whole, load_is_spread_over_first_servers,
    any_card_may_fail, crossing_is_possible_but_only_where_allowed,
    slow_server_gets_less)
