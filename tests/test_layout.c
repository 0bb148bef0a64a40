#include "harness.h"
#include "node_engine.h"

/* Checks the initial placement: each data centre holds the whole model and has
 * at least two servers with the first layers. */
START_TEST(each_data_centre_holds_the_whole_model)
{
	struct engine_fixture w;

	engine_fixture_init(&w);
	ck_assert_uint_eq(engine_fixture_place(&w), ENGINE_CARDS);
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
	engine_fixture_free(&w);
}
END_TEST

/* Guards against orders for more layers than fit into the memory of a card. */
START_TEST(no_card_holds_more_than_its_memory)
{
	struct engine_fixture w;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
	for (size_t i = 0; i < w.count; i++) {
		int64_t layers = w.cards[i].layer_to - w.cards[i].layer_from;

		ck_assert_int_le(layers * w.engine->layer_bytes,
		    w.cards[i].kind->memory_bytes);
		ck_assert_int_gt(w.rows[i].memory, 0);
	}
	engine_fixture_free(&w);
}
END_TEST

/* Guards against needless loads: a complete placement produces no orders. */
START_TEST(complete_placement_is_unchanged)
{
	struct engine_fixture w;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
	ck_assert_uint_eq(layout_plan(w.engine, w.cards, w.count), 0);
	engine_fixture_free(&w);
}
END_TEST

/*
 * Removes each card in turn: the remaining servers of its data centre hold the
 * whole model again, with few orders, and servers without an order keep their
 * layers.
 */
START_TEST(lost_card_is_replaced_in_its_data_centre)
{
	for (size_t lost = 0; lost < ENGINE_CARDS; lost++) {
		struct engine_fixture w;
		struct layout_server before[ENGINE_CARDS];
		const char *place;
		size_t orders;

		engine_fixture_init(&w);
		engine_fixture_place(&w);
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
		engine_fixture_free(&w);
	}
}
END_TEST

/* Checks that an empty server that joins is ordered to hold layers. */
START_TEST(new_server_is_assigned_layers)
{
	struct engine_fixture w;

	engine_fixture_init(&w);
	w.count--;
	engine_fixture_place(&w);
	w.count++;
	ck_assert_uint_eq(layout_plan(w.engine, w.cards, w.count), 1);
	ck_assert(w.cards[w.count - 1].order);
	ck_assert_uint_gt(
	    w.cards[w.count - 1].layer_to, w.cards[w.count - 1].layer_from);
	engine_fixture_free(&w);
}
END_TEST

/*
 * A data centre loses one of its two large cards, closes the gap with small
 * ones, and then gets a large card again. The new card must take over layers of
 * the small ones, so that paths regain their capacity and speed.
 */
START_TEST(new_large_card_takes_over_from_small_ones)
{
	const struct path_demand demand = {
	    ENGINE_PROMPT, ENGINE_OUTPUT, "a", false, 0};
	struct engine_fixture w;
	struct path before;
	struct path after;
	struct layout_server *lost;

	engine_fixture_init(&w);
	engine_fixture_place(&w);
	/* Only servers of the first data centre are usable. */
	for (size_t i = 0; i < w.count; i++)
		w.rows[i].usable = strcmp(w.rows[i].zone, "a") == 0;
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &demand, &before), STATUS_OK);
	lost = &w.cards[1];
	ck_assert_str_eq(lost->kind->name, "a100");
	ck_assert_str_eq(lost->place, "a");
	/* It is absent while its layers are replaced, and returns empty. */
	lost->place = "elsewhere";
	lost->orderable = false;
	engine_fixture_place(&w);
	lost->place = "a";
	lost->layer_from = 0;
	lost->layer_to = 0;
	lost->orderable = true;
	engine_fixture_place(&w);
	ck_assert_uint_ge(lost->layer_to - lost->layer_from, 20);
	for (size_t i = 0; i < w.count; i++)
		w.rows[i].usable = strcmp(w.rows[i].zone, "a") == 0;
	ck_assert_int_eq(
	    path_find(w.engine, w.rows, w.count, &demand, &after), STATUS_OK);
	ck_assert_int_le(after.event_usec * 4, before.event_usec * 5);
	engine_fixture_free(&w);
}
END_TEST

/* Checks that data centres too small for the whole model hold it together. */
START_TEST(small_data_centres_share_the_model)
{
	struct engine_fixture w;
	uint32_t holders[ENGINE_LAYERS] = {0};

	engine_fixture_init(&w);
	w.count = 0;
	engine_add_cards(&w, "v100", "a", 6);
	engine_add_cards(&w, "v100", "b", 6);
	engine_add_cards(&w, "v100", "c", 6);
	engine_fixture_place(&w);
	for (size_t i = 0; i < w.count; i++) {
		for (uint32_t k = w.cards[i].layer_from;
		     k < w.cards[i].layer_to; k++)
			holders[k]++;
	}
	for (uint32_t k = 0; k < ENGINE_LAYERS; k++)
		ck_assert_uint_ge(holders[k], 1);
	engine_fixture_free(&w);
}
END_TEST

HARNESS_MAIN("layout", each_data_centre_holds_the_whole_model,
    no_card_holds_more_than_its_memory, complete_placement_is_unchanged,
    lost_card_is_replaced_in_its_data_centre, new_server_is_assigned_layers,
    new_large_card_takes_over_from_small_ones,
    small_data_centres_share_the_model)
