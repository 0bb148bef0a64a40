#ifndef CH_TEST_NODE_ENGINE_H
#define CH_TEST_NODE_ENGINE_H

#include <string.h>

#include "layout.h"
#include "path.h"

/* A test deployment with three data centres and 38 cards (accelerators). */
#define ENGINE_LAYERS 80
#define ENGINE_CARDS 38
#define ENGINE_PLACES 3
#define ENGINE_PROMPT 760
#define ENGINE_OUTPUT 220

static const char *const engine_places[ENGINE_PLACES] = {"a", "b", "c"};

struct engine_fixture {
	struct fleet_engine *engine;
	struct layout_server cards[ENGINE_CARDS];
	struct path_server rows[ENGINE_CARDS];
	char ids[ENGINE_CARDS][16];
	size_t count;
};

/*
 * Adds a kind of accelerator.
 */
static inline void
engine_add_kind(struct fleet_engine *engine, const char *name, int64_t mb,
    double step, double prefill)
{
	struct fleet_kind_info kind = {
	    g_strdup(name), mb * 1000000, step, prefill};

	g_array_append_val(engine->kinds, kind);
}

/*
 * Adds empty cards of a kind in one data centre.
 */
static inline void
engine_add_cards(
    struct engine_fixture *w, const char *kind, const char *place, int count)
{
	while (count-- > 0) {
		struct layout_server *card = &w->cards[w->count];

		snprintf(
		    w->ids[w->count], sizeof(w->ids[0]), "i-%02zu", w->count);
		card->id = w->ids[w->count];
		card->place = place;
		card->kind = fleet_engine_kind(w->engine, kind);
		card->orderable = true;
		w->count++;
	}
}

/*
 * Creates the deployment with empty cards.
 */
static inline void
engine_fixture_init(struct engine_fixture *w)
{
	struct fleet_engine *engine = fleet_engine_new();

	memset(w, 0, sizeof(*w));
	w->engine = engine;
	engine->layers = ENGINE_LAYERS;
	engine->layer_bytes = 1750000000;
	engine->token_bytes = 590000;
	engine->activation_bytes = 29500;
	engine->link_bytes_per_usec = 2000;
	engine->batch_max = 192;
	engine->stride = 4;
	engine->step_usec = 1020;
	engine->step_per_request_usec = 4.59;
	engine->step_per_context_token_usec = 0.00615;
	engine->prefill_per_token_usec = 1000.0 / 164;
	engine->prefill_per_pair_usec = 0.000199;
	engine->usual_prompt_tokens = ENGINE_PROMPT;
	engine->usual_output_tokens = ENGINE_OUTPUT;
	engine->load_usec = 14000000;
	engine_add_kind(engine, "a100", 72000, 2.4, 3.2);
	engine_add_kind(engine, "v100", 14400, 5.3, 7.9);
	engine_add_kind(engine, "l4", 21600, 16, 8.2);
	engine_add_cards(w, "a100", "a", 2);
	engine_add_cards(w, "a100", "b", 1);
	engine_add_cards(w, "a100", "c", 1);
	engine_add_cards(w, "v100", "a", 4);
	engine_add_cards(w, "v100", "b", 6);
	engine_add_cards(w, "v100", "c", 10);
	engine_add_cards(w, "l4", "a", 4);
	engine_add_cards(w, "l4", "b", 6);
	engine_add_cards(w, "l4", "c", 4);
}

/*
 * Plans the layout, applies its orders, and fills the table for path_find().
 * Returns the number of orders.
 */
static inline size_t
engine_fixture_place(struct engine_fixture *w)
{
	size_t orders = layout_plan(w->engine, w->cards, w->count);

	for (size_t i = 0; i < w->count; i++) {
		struct path_server *row = &w->rows[i];
		uint32_t layers = w->cards[i].layer_to - w->cards[i].layer_from;

		*row = (struct path_server){.address = w->cards[i].id,
		    .zone = w->cards[i].place,
		    .layer_from = w->cards[i].layer_from,
		    .layer_to = w->cards[i].layer_to,
		    .step_factor = w->cards[i].kind->step_factor,
		    .prefill_factor = w->cards[i].kind->prefill_factor,
		    .slowness = 1,
		    .memory =
			path_server_memory(w->engine, w->cards[i].kind, layers),
		    .first_active_max = w->engine->batch_max,
		    .usable = w->cards[i].orderable};
	}
	return orders;
}

/*
 * Returns the smallest number of holders of any layer in a data centre.
 */
static inline uint32_t
engine_least_holders(const struct engine_fixture *w, const char *place)
{
	uint32_t least = UINT32_MAX;

	for (uint32_t layer = 0; layer < ENGINE_LAYERS; layer++) {
		uint32_t holders = 0;

		for (size_t i = 0; i < w->count; i++)
			holders += strcmp(w->cards[i].place, place) == 0 &&
			    w->cards[i].layer_from <= layer &&
			    w->cards[i].layer_to > layer;
		least = MIN(least, holders);
	}
	return least;
}

/*
 * Charges a request to the servers of its path (sign 1) or releases it (sign
 * -1).
 */
static inline void
engine_charge(struct engine_fixture *w, const struct path *path,
    const struct path_demand *demand, int sign)
{
	int64_t tokens = (int64_t)demand->prompt_tokens + demand->output_tokens;

	w->rows[path->stages[0].server].first_active += (uint32_t)sign;
	for (uint32_t i = 0; i < path->count; i++) {
		const struct path_stage *stage = &path->stages[i];
		struct path_server *row = &w->rows[stage->server];

		row->active += (uint32_t)sign;
		row->used += sign * tokens *
		    (int64_t)(stage->layer_to - stage->layer_from);
	}
}

static inline void
engine_fixture_free(struct engine_fixture *w)
{
	fleet_engine_free(w->engine);
}

#endif
