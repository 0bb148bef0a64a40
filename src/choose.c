#include <stdlib.h>

#include <xxhash.h>

#include "choose.h"

/* Replicas that are drawn at random; the cheapest of them is used. */
#define CANDIDATES 2
/* Extra cost of a replica by location, in open requests. */
#define COST_OTHER_PLACE 1
#define COST_OTHER_REGION 16
#define USEC_PER_SEC 1e6

/*
 * Returns whether the instances of a replica that are not leaving form a chain
 * over all layers of its service. Marks the layer boundaries that a chain from
 * layer 0 can reach until nothing changes.
 */
bool
choose_is_eligible(const struct choose_context *context, uint32_t index)
{
	const struct inv *inv = context->inv;
	const struct inv_replica *replica = &inv->replicas[index];
	uint32_t layers = inv->services[replica->service].layers;
	bool *reached = calloc((size_t)layers + 1, sizeof(*reached));
	bool changed = reached != NULL;
	bool eligible;

	if (reached == NULL)
		return false;
	reached[0] = true;
	while (changed && !reached[layers]) {
		changed = false;
		for (uint32_t i = 0; i < replica->instance_count; i++) {
			const struct inv_instance *instance =
			    &inv->instances[replica->instances[i]];

			if (instance->last >= layers ||
			    !reached[instance->first] ||
			    reached[instance->last + 1] || instance->leaving ||
			    context->leaving(
				lstr_from(instance->name), context->arg))
				continue;
			reached[instance->last + 1] = true;
			changed = true;
		}
	}
	eligible = reached[layers];
	free(reached);
	return eligible;
}

/*
 * Returns the total rate, in tokens per second, of the instances of a replica
 * that run a layer and are not leaving, with one stream on each accelerator.
 */
static double
layer_rate(const struct choose_context *context, uint32_t index, uint32_t layer)
{
	const struct inv *inv = context->inv;
	const struct inv_replica *replica = &inv->replicas[index];
	double rate = 0;

	for (uint32_t i = 0; i < replica->instance_count; i++) {
		const struct inv_instance *instance =
		    &inv->instances[replica->instances[i]];
		int64_t usec;

		if (layer < instance->first || layer > instance->last ||
		    instance->accelerator == INV_NONE || instance->leaving ||
		    context->leaving(lstr_from(instance->name), context->arg))
			continue;
		usec = inv->accelerators[instance->accelerator].layer_usec *
		    (instance->last - instance->first + 1);
		if (usec > 0)
			rate += USEC_PER_SEC * instance->count / (double)usec;
	}
	return rate;
}

/*
 * Returns the time in microseconds that the slowest stage of a replica needs
 * for one token. Instances that run the same layer count as one stage with the
 * sum of their rates. The result is 1 for plain services and when no service
 * times are known.
 */
static double
slowest_stage_usec(const struct choose_context *context, uint32_t index)
{
	const struct inv *inv = context->inv;
	const struct inv_replica *replica = &inv->replicas[index];
	double slowest = 0;

	/*
	 * The set of instances that run a layer only changes at their first
	 * and last layers.
	 */
	for (uint32_t i = 0; i < replica->instance_count; i++) {
		const struct inv_instance *instance =
		    &inv->instances[replica->instances[i]];
		double rates[] = {layer_rate(context, index, instance->first),
		    layer_rate(context, index, instance->last)};

		for (int k = 0; k < 2; k++) {
			if (rates[k] > 0 &&
			    (slowest == 0 || rates[k] < slowest))
				slowest = rates[k];
		}
	}
	return slowest > 0 ? USEC_PER_SEC / slowest : 1;
}

/*
 * Returns the cost of sending one more request to a replica: the time of its
 * slowest stage, multiplied by the number of requests that would then be open,
 * plus the extra cost of its location. Request counts alone would give slow
 * and fast replicas queues of the same length.
 */
static double
request_cost(const struct choose_context *context, uint32_t index)
{
	const struct inv *inv = context->inv;
	uint32_t place = inv->replicas[index].place;
	uint32_t cost = 1 + context->outstanding(index, context->arg);

	if (context->place != INV_NONE && context->place != place)
		cost += g_strcmp0(inv->places[context->place].region,
			    inv->places[place].region) != 0
		    ? COST_OTHER_REGION
		    : COST_OTHER_PLACE;
	return cost * slowest_stage_usec(context, index);
}

/*
 * Removes candidates from the list in random order until one has a router, and
 * returns that one and stores its router. Returns INV_NONE when there is none.
 */
static uint32_t
pop_random_candidate(const struct choose_context *context, GArray *candidates,
    GRand *random, const char **router)
{
	while (candidates->len > 0) {
		guint at =
		    (guint)g_rand_int_range(random, 0, (gint)candidates->len);
		uint32_t index = g_array_index(candidates, uint32_t, at);

		g_array_remove_index_fast(candidates, at);
		*router = context->router(index, context->arg);
		if (*router != NULL)
			return index;
	}
	return INV_NONE;
}

/*
 * Chooses the cheaper of two random candidates and stores its router. Returns
 * INV_NONE when no candidate has a router.
 */
static uint32_t
choose_by_load(const struct choose_context *context, GArray *candidates,
    GRand *random, const char **router)
{
	const char *routers[CANDIDATES] = {NULL, NULL};
	uint32_t first =
	    pop_random_candidate(context, candidates, random, &routers[0]);
	uint32_t second =
	    pop_random_candidate(context, candidates, random, &routers[1]);

	if (second != INV_NONE &&
	    request_cost(context, second) < request_cost(context, first)) {
		*router = routers[1];
		return second;
	}
	*router = routers[0];
	return first;
}

/*
 * Chooses the candidate with the highest hash of key and name (rendezvous
 * hashing), so that all entries send a key to the same replica. Candidates
 * without a router are skipped. Returns INV_NONE when none is left.
 */
static uint32_t
choose_by_key(const struct choose_context *context, const GArray *candidates,
    struct lstr key, const char **router)
{
	uint64_t seed = XXH3_64bits(key.data, key.len);
	uint64_t best_score = 0;
	uint32_t best = INV_NONE;

	for (guint i = 0; i < candidates->len; i++) {
		uint32_t index = g_array_index(candidates, uint32_t, i);
		struct lstr name =
		    lstr_from(context->inv->replicas[index].name);
		uint64_t score =
		    XXH3_64bits_withSeed(name.data, name.len, seed);
		const char *owner;

		if (best != INV_NONE && score <= best_score)
			continue;
		owner = context->router(index, context->arg);
		if (owner == NULL)
			continue;
		best = index;
		best_score = score;
		*router = owner;
	}
	return best;
}

/*
 * Returns the indexes of the eligible replicas of a service, except the one to
 * avoid. The caller frees the array.
 */
static GArray *
list_eligible_replicas(
    const struct choose_context *context, uint32_t service, struct lstr avoid)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (uint32_t i = 0; i < context->inv->replica_count; i++) {
		const struct inv_replica *replica = &context->inv->replicas[i];

		if (replica->service == service &&
		    !lstr_equal_c(avoid, replica->name) &&
		    choose_is_eligible(context, i))
			g_array_append_val(candidates, i);
	}
	return candidates;
}

/*
 * Chooses a replica of a service and its router: by key when the key is not
 * empty, otherwise by load. The replica named by avoid is used only when there
 * is no other. Returns STATUS_NOT_FOUND when no replica is eligible or none of
 * them has a router.
 */
enum status
choose_replica(const struct choose_context *context, uint32_t service,
    struct lstr key, struct lstr avoid, GRand *random,
    struct choose_result *out)
{
	GArray *candidates = list_eligible_replicas(context, service, avoid);

	out->router = NULL;
	if (key.len > 0)
		out->replica =
		    choose_by_key(context, candidates, key, &out->router);
	else
		out->replica =
		    choose_by_load(context, candidates, random, &out->router);
	g_array_free(candidates, TRUE);
	if (out->replica != INV_NONE)
		return STATUS_OK;
	if (avoid.len > 0)
		return choose_replica(
		    context, service, key, lstr_from(""), random, out);
	return status_set(STATUS_NOT_FOUND, "no replica can be used");
}
