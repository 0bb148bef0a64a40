#include "harness.h"
#include "node_engine.h"

/* Guards the first placement: a whole copy and three first servers a place. */
START_TEST(each_place_holds_the_whole_model)
{
	struct engine_world w;

	engine_world_init(&w);
	ck_assert_uint_eq(engine_world_place(&w), ENGINE_CARDS);
	for (int i = 0; i < ENGINE_PLACES; i++)
		ck_assert_uint_ge(
		    engine_least_holders(&w, engine_places[i]), 1);
	for (int p = 0; p < ENGINE_PLACES; p++) {
		uint32_t heads = 0;

		for (size_t i = 0; i < w.count; i++)
			heads +=
			    strcmp(w.cards[i].place, engine_places[p]) == 0 &&
			    w.cards[i].layer_from == 0 &&
			    w.cards[i].layer_to > 0;
		ck_assert_uint_ge(heads, 2);
	}
	engine_world_free(&w);
}
END_TEST

/* Guards against an order for more layers than a card's memory holds. */
START_TEST(no_card_holds_more_than_its_memory)
{
	struct engine_world w;

	engine_world_init(&w);
	engine_world_place(&w);
	for (size_t i = 0; i < w.count; i++) {
		int64_t layers = w.cards[i].layer_to - w.cards[i].layer_from;

		ck_assert_int_le(layers * w.engine->layer_bytes,
		    w.cards[i].kind->memory_bytes);
		ck_assert_int_gt(w.rows[i].memory, 0);
	}
	engine_world_free(&w);
}
END_TEST

/* Guards against loads without need: a placement that stands stays. */
START_TEST(placement_that_stands_is_left_alone)
{
	struct engine_world w;

	engine_world_init(&w);
	engine_world_place(&w);
	ck_assert_uint_eq(layout_plan(w.engine, w.cards, w.count), 0);
	engine_world_free(&w);
}
END_TEST

/*
 * Replays the loss of each card in turn: the place is whole again with the
 * servers that are left, and without a load on any that is not redundant.
 */
START_TEST(lost_card_is_replaced_in_its_place)
{
	for (size_t lost = 0; lost < ENGINE_CARDS; lost++) {
		struct engine_world w;
		struct layout_server before[ENGINE_CARDS];
		const char *place;
		size_t orders;

		engine_world_init(&w);
		engine_world_place(&w);
		place = w.cards[lost].place;
		memmove(&w.cards[lost], &w.cards[lost + 1],
		    (w.count - lost - 1) * sizeof(w.cards[0]));
		w.count--;
		memcpy(before, w.cards, sizeof(before));
		orders = layout_plan(w.engine, w.cards, w.count);
		ck_assert_uint_le(orders, 4);
		for (size_t i = 0; i < w.count; i++)
			ck_assert(w.cards[i].order ||
			    (w.cards[i].layer_from == before[i].layer_from &&
				w.cards[i].layer_to == before[i].layer_to));
		ck_assert_msg(engine_least_holders(&w, place) >= 1,
		    "place %s is not whole without card %zu", place, lost);
		engine_world_free(&w);
	}
}
END_TEST

/* Guards the use of an empty server that joins. */
START_TEST(new_server_takes_what_the_fewest_hold)
{
	struct engine_world w;

	engine_world_init(&w);
	w.count--;
	engine_world_place(&w);
	w.count++;
	ck_assert_uint_eq(layout_plan(w.engine, w.cards, w.count), 1);
	ck_assert(w.cards[w.count - 1].order);
	ck_assert_uint_gt(
	    w.cards[w.count - 1].layer_to, w.cards[w.count - 1].layer_from);
	engine_world_free(&w);
}
END_TEST

/*
 * Replays a place that loses one of its two large cards, closes the gap with
 * small ones, and gets a large card again: the new card takes the layers of the
 * small ones, so that paths have their room and pace again.
 */
START_TEST(new_large_card_relieves_small_ones)
{
	const struct path_demand demand = {
	    ENGINE_PROMPT, ENGINE_OUTPUT, "a", false};
	struct engine_world w;
	struct path before;
	struct path after;
	struct layout_server *lost;

	engine_world_init(&w);
	engine_world_place(&w);
	/* Only the first place is looked at. */
	for (size_t i = 0; i < w.count; i++)
		w.rows[i].usable = strcmp(w.rows[i].zone, "a") == 0;
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &demand, &before), STATUS_OK);
	lost = &w.cards[1];
	ck_assert_str_eq(lost->kind->name, "a100");
	ck_assert_str_eq(lost->place, "a");
	/* It is away while the plan is mended, and comes back empty. */
	lost->place = "elsewhere";
	lost->orderable = false;
	engine_world_place(&w);
	lost->place = "a";
	lost->layer_from = 0;
	lost->layer_to = 0;
	lost->orderable = true;
	engine_world_place(&w);
	ck_assert_uint_ge(lost->layer_to - lost->layer_from, 20);
	for (size_t i = 0; i < w.count; i++)
		w.rows[i].usable = strcmp(w.rows[i].zone, "a") == 0;
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &demand, &after), STATUS_OK);
	ck_assert_int_le(after.event_usec * 4, before.event_usec * 5);
	engine_world_free(&w);
}
END_TEST

/* Guards places that cannot hold the model alone: they hold it together. */
START_TEST(small_places_hold_the_model_together)
{
	struct engine_world w;
	uint32_t holders[ENGINE_LAYERS] = {0};

	engine_world_init(&w);
	w.count = 0;
	engine_add_cards(&w, "v100", "a", 6);
	engine_add_cards(&w, "v100", "b", 6);
	engine_add_cards(&w, "v100", "c", 6);
	engine_world_place(&w);
	for (size_t i = 0; i < w.count; i++) {
		for (uint32_t k = w.cards[i].layer_from;
		     k < w.cards[i].layer_to; k++)
			holders[k]++;
	}
	for (uint32_t k = 0; k < ENGINE_LAYERS; k++)
		ck_assert_uint_ge(holders[k], 1);
	engine_world_free(&w);
}
END_TEST

HARNESS_MAIN("layout", each_place_holds_the_whole_model,
    no_card_holds_more_than_its_memory, placement_that_stands_is_left_alone,
    lost_card_is_replaced_in_its_place, new_server_takes_what_the_fewest_hold,
    new_large_card_relieves_small_ones, small_places_hold_the_model_together)
