#include "harness.h"
#include "node_engine.h"

#define SEED 4711
#define ROUNDS 300

static const struct path_demand usual = {
    ENGINE_PROMPT, ENGINE_OUTPUT, "a", false, 0};

/* Guards against paths that skip, repeat or misplace layers, or use unusable
 * servers, under random server states. */
START_TEST(paths_run_every_layer_once)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (int round = 0; round < ROUNDS; round++) {
		struct engine_fixture w;
		struct path_demand demand = usual;
		struct path path;

		engine_fixture_init(&w);
		engine_fixture_place(&w);
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
		engine_fixture_free(&w);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Adds requests until all data centres are full. When one is full, further
 * requests must use complete paths within another one; no path may cross the
 * shared link.
 */
START_TEST(overflow_uses_paths_within_another_data_centre)
{
	struct engine_fixture w;
	struct path path;
	uint32_t started = 0;
	uint32_t by_place[ENGINE_PLACES] = {0};

	engine_fixture_init(&w);
	engine_fixture_place(&w);
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
	/* The layout reserves memory for LAYOUT_REQUESTS per data centre. */
	ck_assert_uint_ge(started, 2 * LAYOUT_REQUESTS);
	for (size_t i = 0; i < w.count; i++)
		ck_assert_int_le(w.rows[i].used, w.rows[i].memory);
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &usual, &path), STATUS_FULL);
	engine_fixture_free(&w);
}
END_TEST

/* Guards against prompts that queue at a single first-stage server. */
START_TEST(load_is_spread_over_first_servers)
{
	struct engine_fixture w;
	struct path path;
	uint32_t most = 0;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
	for (int i = 0; i < 90; i++) {
		ck_assert_int_eq(
		    path_find(w.engine, w.rows, w.count, &usual, &path),
		    STATUS_OK);
		engine_charge(&w, &path, &usual, 1);
	}
	for (size_t i = 0; i < w.count; i++)
		most = MAX(most, w.rows[i].first_active);
	ck_assert_uint_le(most, 45);
	engine_fixture_free(&w);
}
END_TEST

/* Checks that a path still exists after the loss of any one card. */
START_TEST(any_card_may_fail)
{
	struct engine_fixture w;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
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
	engine_fixture_free(&w);
}
END_TEST

/* Checks that paths cross between data centres only if allowed, when none of
 * the data centres holds all layers. */
START_TEST(paths_cross_only_if_allowed)
{
	struct engine_fixture w;
	struct path_demand demand = usual;
	struct path path;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
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
	engine_fixture_free(&w);
}
END_TEST

/* Guards against a slow server that still gets its full share of requests. */
START_TEST(slow_server_gets_less)
{
	struct engine_fixture w;
	struct path path;
	uint32_t slow;
	uint32_t uses = 0;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
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
	engine_fixture_free(&w);
}
END_TEST

/* Checks the repair of a path that loses one card: the first stage is kept,
 * other servers replace the lost one, and the loss of the first server cannot
 * be repaired. */
START_TEST(lost_stage_is_replaced)
{
	struct engine_fixture w;
	struct path_demand demand = usual;
	uint32_t repaired_count = 0;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
	demand.may_cross = true;
	for (int z = 0; z < ENGINE_PLACES; z++) {
		struct path path;

		demand.zone = engine_places[z];
		ck_assert_int_eq(
		    path_find(w.engine, w.rows, w.count, &demand, &path),
		    STATUS_OK);
		for (uint32_t lost = 0; lost < path.count; lost++) {
			uint32_t lost_server = path.stages[lost].server;
			struct path repaired;
			enum status status;

			w.rows[lost_server].usable = false;
			status = path_repair(w.engine, w.rows, w.count, &demand,
			    &path, &repaired);
			w.rows[lost_server].usable = true;
			if (lost == 0)
				ck_assert_int_eq(status, STATUS_NOT_FOUND);
			if (status != STATUS_OK)
				continue;
			repaired_count++;
			ck_assert(path_is_complete(
			    w.engine, &repaired, w.rows, w.count));
			ck_assert_mem_eq(&repaired.stages[0], &path.stages[0],
			    sizeof(path.stages[0]));
			for (uint32_t i = 0; i < repaired.count; i++)
				ck_assert_uint_ne(
				    repaired.stages[i].server, lost_server);
		}
	}
	ck_assert_uint_gt(repaired_count, 3);
	engine_fixture_free(&w);
}
END_TEST

/* Guards against a repaired path that keeps a server which was ordered to hold
 * other layers while the stream was running. */
START_TEST(server_that_released_its_layers_is_replaced)
{
	struct engine_fixture w;
	struct path_demand demand = usual;
	uint32_t replaced = 0;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
	demand.may_cross = true;
	for (int z = 0; z < ENGINE_PLACES; z++) {
		struct path path;

		demand.zone = engine_places[z];
		ck_assert_int_eq(
		    path_find(w.engine, w.rows, w.count, &demand, &path),
		    STATUS_OK);
		for (uint32_t i = 1; i < path.count; i++) {
			struct path_server *row =
			    &w.rows[path.stages[i].server];
			struct path_server before = *row;
			struct path repaired;

			row->layer_from = 0;
			row->layer_to = 1;
			if (path_repair(w.engine, w.rows, w.count, &demand,
				&path, &repaired) == STATUS_OK) {
				replaced++;
				ck_assert(path_is_complete(
				    w.engine, &repaired, w.rows, w.count));
			}
			*row = before;
		}
	}
	ck_assert_uint_gt(replaced, 0);
	engine_fixture_free(&w);
}
END_TEST

/* Guards against a repaired path that uses servers without free memory. */
START_TEST(full_servers_do_not_replace_a_lost_stage)
{
	struct engine_fixture w;
	struct path path;
	struct path repaired;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &usual, &path), STATUS_OK);
	ck_assert_uint_gt(path.count, 1);
	for (size_t i = 0; i < w.count; i++)
		w.rows[i].used = w.rows[i].memory;
	w.rows[path.stages[1].server].usable = false;
	ck_assert_int_ne(
	    path_repair(w.engine, w.rows, w.count, &usual, &path, &repaired),
	    STATUS_OK);
	engine_fixture_free(&w);
}
END_TEST

HARNESS_MAIN("path", paths_run_every_layer_once,
    overflow_uses_paths_within_another_data_centre,
    load_is_spread_over_first_servers, any_card_may_fail,
    paths_cross_only_if_allowed, slow_server_gets_less, lost_stage_is_replaced,
    server_that_released_its_layers_is_replaced,
    full_servers_do_not_replace_a_lost_stage)
