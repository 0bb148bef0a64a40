#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "route_priv.h"

/*
 * Chains whose costs differ by less than this fraction are treated as equal.
 * The choice between them is random, so that routers with the same view do not
 * all choose the same instances.
 */
#define NEAR_EQUAL_MARGIN 0.05
/* Streams that one accelerator can run in a batch without slowing down. */
#define BATCH_STREAMS 8
/* Cost of a chain that does not exist. */
#define COST_NONE INT64_MAX

/*
 * An instance that can be a stage, and the cheapest chain that ends with it.
 */
struct candidate {
	uint32_t slot;
	uint32_t first;
	uint32_t last;
	/* Random factor of the cost, at least 1. */
	double factor;
	/* Cost of the chain, or COST_NONE. */
	int64_t best_cost;
	/* Index of the previous candidate in the chain, or -1. */
	int32_t previous_index;
};

/*
 * The state of one search for a route. Candidates are sorted by first layer.
 */
struct search {
	const struct route_table *table;
	int64_t now;
	uint32_t layers;
	struct candidate *candidates;
	uint32_t count;
};

/*
 * Compares candidates by first layer, then last layer, then slot.
 */
static int
compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->first != y->first)
		return x->first < y->first ? -1 : 1;
	if (x->last != y->last)
		return x->last < y->last ? -1 : 1;
	return x->slot < y->slot ? -1 : x->slot > y->slot;
}

/*
 * Returns whether an instance may be used now.
 */
static bool
is_usable(const struct slot *slot, uint32_t layers, int64_t now)
{
	return slot->present && !slot->configured_leaving &&
	    !slot->list_leaving && !slot->engine_leaving &&
	    slot->avoid_until <= now && slot->last < layers;
}

/*
 * Returns the time in microseconds that an instance needs to run some layers
 * for one token.
 */
static int64_t
service_usec(const struct slot *slot, uint32_t first, uint32_t last)
{
	return (int64_t)(last - first + 1) * slot->layer_usec;
}

/*
 * Returns the expected wait on an instance in microseconds. It is proportional
 * to the load divided by the number of streams that its accelerators can run
 * in one batch.
 */
static int64_t
queue_usec(const struct slot *slot, uint32_t first, uint32_t last, int64_t now)
{
	return service_usec(slot, first, last) *
	    (int64_t)route_slot_load(slot, now) /
	    ((int64_t)slot->count * BATCH_STREAMS);
}

/*
 * Returns the cost of a stage: its service time divided by the usable share of
 * the instance, plus the expected wait. When the service time is unknown, one
 * plus the load is used instead, so that the load is still considered.
 */
static int64_t
stage_cost(const struct slot *slot, uint32_t first, uint32_t last, int64_t now)
{
	int64_t service = service_usec(slot, first, last);

	if (service == 0)
		service = 1 + route_slot_load(slot, now);
	return (int64_t)((double)service / route_share(slot, now)) +
	    queue_usec(slot, first, last, now);
}

/*
 * Collects the usable instances of a replica. With a random generator, each
 * cost is increased by a random fraction of up to NEAR_EQUAL_MARGIN.
 */
static void
collect_candidates(struct search *search, uint32_t replica, GRand *rand)
{
	const struct route_table *table = search->table;
	uint32_t start = table->replica_start[replica];
	uint32_t end = table->replica_start[replica + 1];

	search->candidates = g_new0(struct candidate, end - start + 1);
	for (uint32_t i = start; i < end; i++) {
		const struct slot *slot = route_slot(table, table->members[i]);
		struct candidate *c = &search->candidates[search->count];
		double random = rand != NULL ? g_rand_double(rand) : 0;

		if (!is_usable(slot, search->layers, search->now))
			continue;
		c->slot = table->members[i];
		c->first = slot->first;
		c->last = slot->last;
		c->factor = 1 + NEAR_EQUAL_MARGIN * random;
		search->count++;
	}
	qsort(search->candidates, search->count, sizeof(*search->candidates),
	    compare_candidates);
}

/*
 * Finds the cheapest chain that ends with candidate i. The chains that it can
 * extend are already known, because the candidates are sorted.
 */
static void
find_best_predecessor(struct search *search, uint32_t i)
{
	struct candidate *c = &search->candidates[i];
	int64_t own_cost =
	    (int64_t)((double)stage_cost(route_slot(search->table, c->slot),
			  c->first, c->last, search->now) *
		c->factor);

	c->best_cost = c->first == 0 ? own_cost : COST_NONE;
	c->previous_index = -1;
	for (uint32_t k = 0; k < i; k++) {
		const struct candidate *predecessor = &search->candidates[k];
		int64_t cost;

		if (predecessor->best_cost == COST_NONE ||
		    predecessor->last + 1 != c->first)
			continue;
		cost = predecessor->best_cost + own_cost +
		    route_link_usec(
			search->table, predecessor->slot, c->slot, search->now);
		if (cost < c->best_cost) {
			c->best_cost = cost;
			c->previous_index = (int32_t)k;
		}
	}
}

/*
 * Stores the chain that ends with a candidate. Returns false when it has more
 * than ROUTE_STAGES_MAX stages.
 */
static bool
store_chain(const struct search *search, int32_t end, struct route *out)
{
	uint32_t count = 0;

	for (int32_t i = end; i >= 0; i = search->candidates[i].previous_index)
		count++;
	if (count > ROUTE_STAGES_MAX)
		return false;
	out->count = count;
	for (int32_t i = end; i >= 0;
	     i = search->candidates[i].previous_index) {
		const struct candidate *c = &search->candidates[i];
		struct route_stage stage = {c->slot, c->first, c->last};

		out->stages[--count] = stage;
	}
	return true;
}

/*
 * Finds the cheapest chain in which every instance runs all of its layers.
 * Returns false when there is none.
 */
static bool
find_whole_chain(struct search *search, struct route *out)
{
	int32_t end = -1;

	for (uint32_t i = 0; i < search->count; i++) {
		const struct candidate *c = &search->candidates[i];

		find_best_predecessor(search, i);
		if (c->last + 1 == search->layers &&
		    c->best_cost != COST_NONE &&
		    (end < 0 ||
			c->best_cost < search->candidates[end].best_cost))
			end = (int32_t)i;
	}
	return end >= 0 && store_chain(search, end, out);
}

/*
 * Finds a chain in which instances run only some of their layers, for replicas
 * with overlapping layer ranges. Each stage is the instance that has the next
 * layer and the highest last layer. The chain need not be the cheapest one,
 * but it is found whenever the instances cover all layers in at most
 * ROUTE_STAGES_MAX stages, and it uses no instance twice.
 */
static bool
find_partial_chain(struct search *search, struct route *out)
{
	uint32_t layer = 0;

	out->count = 0;
	while (layer < search->layers) {
		const struct candidate *furthest = NULL;
		struct route_stage stage;

		for (uint32_t i = 0; i < search->count; i++) {
			const struct candidate *c = &search->candidates[i];

			if (c->first <= layer && c->last >= layer &&
			    (furthest == NULL || c->last > furthest->last))
				furthest = c;
		}
		if (furthest == NULL || out->count == ROUTE_STAGES_MAX)
			return false;
		stage.slot = furthest->slot;
		stage.first = layer;
		stage.last = furthest->last;
		out->stages[out->count++] = stage;
		layer = furthest->last + 1;
	}
	return true;
}

/*
 * Computes the total cost and the expected times of a route.
 */
static void
compute_totals(
    const struct route_table *table, int64_t now, struct route *route)
{
	route->cost_usec = 0;
	route->token_usec = 0;
	route->queue_usec = 0;
	for (uint32_t i = 0; i < route->count; i++) {
		const struct route_stage *stage = &route->stages[i];
		const struct slot *slot = route_slot(table, stage->slot);
		int64_t link = i > 0
		    ? route_link_usec(
			  table, route->stages[i - 1].slot, stage->slot, now)
		    : 0;

		route->cost_usec +=
		    link + stage_cost(slot, stage->first, stage->last, now);
		route->token_usec +=
		    link + service_usec(slot, stage->first, stage->last);
		route->queue_usec +=
		    queue_usec(slot, stage->first, stage->last, now);
	}
}

/*
 * Chooses a chain of instances of a replica that runs every layer once, in
 * order. Leaving and avoided instances are not used. With a random generator,
 * the choice between chains of nearly equal cost is random; with NULL, the
 * cheapest chain is chosen. Returns STATUS_UNAVAILABLE when there is no chain.
 */
enum status
route_choose(const struct route_table *table, uint32_t replica, int64_t now,
    GRand *rand, struct route *out)
{
	struct search search = {table, now, 0, NULL, 0};
	bool found;

	assert(replica < table->replica_count);
	search.layers = table->layers[replica];
	collect_candidates(&search, replica, rand);
	found =
	    find_whole_chain(&search, out) || find_partial_chain(&search, out);
	g_free(search.candidates);
	if (!found)
		return status_set(
		    STATUS_UNAVAILABLE, "no chain covers all layers");
	compute_totals(table, now, out);
	return STATUS_OK;
}

/*
 * Returns the time at which an attempt that starts now is expected to have
 * produced a number of tokens.
 */
int64_t
route_expected_finish(const struct route *route, int64_t now, uint32_t tokens)
{
	return now + route->queue_usec + route->token_usec * (int64_t)tokens;
}
