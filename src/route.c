#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "route_priv.h"

/*
 * Chains whose costs differ by less than this part are near equals; the
 * choice between them is random, so that routers with the same view do not
 * all pick the same instances.
 */
#define NEAR_EQUAL 0.05
/* Streams that one accelerator runs in a batch without becoming slower. */
#define BATCH_STREAMS 8
#define COST_NONE INT64_MAX

/* One instance that may be a stage, and the best chain that ends with it. */
struct candidate {
	uint32_t slot;
	uint32_t first;
	uint32_t last;
	double factor;
	int64_t best;
	int32_t previous;
};

/* The instances that a choice is made from, sorted by first layer. */
struct choice {
	const struct route_table *table;
	int64_t now;
	uint32_t layers;
	struct candidate *candidates;
	uint32_t count;
};

/*
 * Orders candidates by first layer, then by last layer, then by slot.
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
 * Tells whether an instance may take work now.
 */
static bool
is_usable(const struct slot *slot, uint32_t layers, int64_t now)
{
	return slot->present && !slot->configured_leaving &&
	    !slot->list_leaving && !slot->engine_leaving &&
	    slot->avoid_until <= now && slot->last < layers;
}

/*
 * Returns the time that an instance needs for some layers of one token.
 */
static int64_t
service_usec(const struct slot *slot, uint32_t first, uint32_t last)
{
	return (int64_t)(last - first + 1) * slot->layer_usec;
}

/*
 * Returns the expected wait on an instance: the streams beyond its batch.
 */
static int64_t
queue_usec(const struct slot *slot, uint32_t first, uint32_t last, int64_t now)
{
	return service_usec(slot, first, last) *
	    (int64_t)route_slot_load(slot, now) /
	    ((int64_t)slot->count * BATCH_STREAMS);
}

/*
 * Returns the cost of a stage: service time over the usable share, plus the
 * queue. A stage without service time costs 1, so that load still counts.
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
 * Collects the usable instances of a replica. With a generator, each cost is
 * raised by a random part up to NEAR_EQUAL.
 */
static void
collect(struct choice *choice, uint32_t replica, GRand *rand)
{
	const struct route_table *table = choice->table;
	uint32_t start = table->replica_start[replica];
	uint32_t end = table->replica_start[replica + 1];

	choice->candidates = g_new0(struct candidate, end - start + 1);
	for (uint32_t i = start; i < end; i++) {
		const struct slot *slot = route_slot(table, table->members[i]);
		struct candidate *c = &choice->candidates[choice->count];
		double random = rand != NULL ? g_rand_double(rand) : 0;

		if (!is_usable(slot, choice->layers, choice->now))
			continue;
		c->slot = table->members[i];
		c->first = slot->first;
		c->last = slot->last;
		c->factor = 1 + NEAR_EQUAL * random;
		choice->count++;
	}
	qsort(choice->candidates, choice->count, sizeof(*choice->candidates),
	    compare_candidates);
}

/*
 * Finds the best chain that ends with candidate i. The chains that end before
 * its first layer are known, because candidates are sorted.
 */
static void
extend(struct choice *choice, uint32_t i)
{
	struct candidate *c = &choice->candidates[i];
	int64_t own =
	    (int64_t)((double)stage_cost(route_slot(choice->table, c->slot),
			  c->first, c->last, choice->now) *
		c->factor);

	c->best = c->first == 0 ? own : COST_NONE;
	c->previous = -1;
	for (uint32_t k = 0; k < i; k++) {
		const struct candidate *before = &choice->candidates[k];
		int64_t cost;

		if (before->best == COST_NONE || before->last + 1 != c->first)
			continue;
		cost = before->best + own +
		    route_link_usec(
			choice->table, before->slot, c->slot, choice->now);
		if (cost < c->best) {
			c->best = cost;
			c->previous = (int32_t)k;
		}
	}
}

/*
 * Writes the chain that ends with a candidate. Returns false when it is too
 * long.
 */
static bool
write_chain(const struct choice *choice, int32_t end, struct route *out)
{
	uint32_t count = 0;

	for (int32_t i = end; i >= 0; i = choice->candidates[i].previous)
		count++;
	if (count > ROUTE_STAGES_MAX)
		return false;
	out->count = count;
	for (int32_t i = end; i >= 0; i = choice->candidates[i].previous) {
		const struct candidate *c = &choice->candidates[i];
		struct route_stage stage = {c->slot, c->first, c->last};

		out->stages[--count] = stage;
	}
	return true;
}

/*
 * Finds the cheapest chain of instances that each run all their layers.
 */
static bool
choose_whole(struct choice *choice, struct route *out)
{
	int32_t end = -1;

	for (uint32_t i = 0; i < choice->count; i++) {
		const struct candidate *c = &choice->candidates[i];

		extend(choice, i);
		if (c->last + 1 == choice->layers && c->best != COST_NONE &&
		    (end < 0 || c->best < choice->candidates[end].best))
			end = (int32_t)i;
	}
	return end >= 0 && write_chain(choice, end, out);
}

/*
 * Finds a chain in which instances run a part of their layers, for replicas
 * whose ranges overlap: at each layer, the instance that reaches furthest.
 * It is not the cheapest one, but there is one whenever the instances cover
 * all layers, and none is used twice.
 */
static bool
choose_partial(struct choice *choice, struct route *out)
{
	uint32_t layer = 0;

	out->count = 0;
	while (layer < choice->layers) {
		const struct candidate *best = NULL;
		struct route_stage stage;

		for (uint32_t i = 0; i < choice->count; i++) {
			const struct candidate *c = &choice->candidates[i];

			if (c->first <= layer && c->last >= layer &&
			    (best == NULL || c->last > best->last))
				best = c;
		}
		if (best == NULL || out->count == ROUTE_STAGES_MAX)
			return false;
		stage.slot = best->slot;
		stage.first = layer;
		stage.last = best->last;
		out->stages[out->count++] = stage;
		layer = best->last + 1;
	}
	return true;
}

/*
 * Sums up cost and expected times of a chain.
 */
static void
sum_up(const struct route_table *table, int64_t now, struct route *route)
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
 * Chooses a chain over the instances of a replica that covers every layer
 * once, in order. Leaving and avoided instances are left out. With a
 * generator, the choice between chains of nearly the same cost is random;
 * without one, the cheapest chain is chosen. Returns STATUS_UNAVAILABLE when
 * there is no chain.
 */
enum status
route_choose(const struct route_table *table, uint32_t replica, int64_t now,
    GRand *rand, struct route *out)
{
	struct choice choice = {table, now, 0, NULL, 0};
	bool found;

	assert(replica < table->replica_count);
	choice.layers = table->layers[replica];
	collect(&choice, replica, rand);
	found = choose_whole(&choice, out) || choose_partial(&choice, out);
	g_free(choice.candidates);
	if (!found)
		return status_set(
		    STATUS_UNAVAILABLE, "no chain covers all layers");
	sum_up(table, now, out);
	return STATUS_OK;
}

/*
 * Returns when an attempt that starts now is expected to have made a number
 * of tokens.
 */
int64_t
route_expected_finish(const struct route *route, int64_t now, uint32_t tokens)
{
	return now + route->queue_usec + route->token_usec * (int64_t)tokens;
}
