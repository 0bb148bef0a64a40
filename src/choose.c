#include <stdlib.h>

#include <xxhash.h>

#include "choose.h"

#define CANDIDATES 2
/* Cost of a replica in units of one open request. */
#define COST_OTHER_PLACE 1
#define COST_OTHER_REGION 16
#define USEC_PER_SEC 1e6

/*
 * Tells whether the instances of a replica that are not leaving form a chain
 * over every layer of its service, by marking the layer boundaries that a
 * chain can reach.
 */
bool
choose_is_eligible(const struct choose_world *world, uint32_t index)
{
	const struct inv *inv = world->inv;
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
			    world->leaving(
				lstr_from(instance->name), world->arg))
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
 * Returns how many tokens per second the instances of a replica that hold a
 * layer and are not leaving make at one slot each.
 */
static double
layer_rate(const struct choose_world *world, uint32_t index, uint32_t layer)
{
	const struct inv *inv = world->inv;
	const struct inv_replica *replica = &inv->replicas[index];
	double rate = 0;

	for (uint32_t i = 0; i < replica->instance_count; i++) {
		const struct inv_instance *instance =
		    &inv->instances[replica->instances[i]];
		int64_t usec;

		if (layer < instance->first || layer > instance->last ||
		    instance->accelerator == INV_NONE || instance->leaving ||
		    world->leaving(lstr_from(instance->name), world->arg))
			continue;
		usec = inv->accelerators[instance->accelerator].layer_usec *
		    (instance->last - instance->first + 1);
		if (usec > 0)
			rate += USEC_PER_SEC * instance->count / (double)usec;
	}
	return rate;
}

/*
 * Returns the time in microseconds that the slowest stage of a replica takes
 * for one token, with alternatives of a stage counted together. It is 1 for
 * plain services and where no service times are known.
 */
static double
pace_of(const struct choose_world *world, uint32_t index)
{
	const struct inv *inv = world->inv;
	const struct inv_replica *replica = &inv->replicas[index];
	double slowest = 0;

	/* The instances that hold a layer change only at first and last ones.
	 */
	for (uint32_t i = 0; i < replica->instance_count; i++) {
		const struct inv_instance *instance =
		    &inv->instances[replica->instances[i]];
		double rates[] = {layer_rate(world, index, instance->first),
		    layer_rate(world, index, instance->last)};

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
 * slowest stage for each request that would then be open. Counts alone would
 * give slow replicas as long a queue as fast ones.
 */
static double
cost_of(const struct choose_world *world, uint32_t index)
{
	const struct inv *inv = world->inv;
	uint32_t place = inv->replicas[index].place;
	uint32_t cost = 1 + world->outstanding(index, world->arg);

	if (world->place != INV_NONE && world->place != place)
		cost += g_strcmp0(inv->places[world->place].region,
			    inv->places[place].region) != 0
		    ? COST_OTHER_REGION
		    : COST_OTHER_PLACE;
	return cost * pace_of(world, index);
}

/*
 * Takes a random candidate that has a router out of the list; INV_NONE when
 * there is none. Candidates without a router are dropped.
 */
static uint32_t
draw(const struct choose_world *world, GArray *list, GRand *random,
    const char **router)
{
	while (list->len > 0) {
		guint at = (guint)g_rand_int_range(random, 0, (gint)list->len);
		uint32_t index = g_array_index(list, uint32_t, at);

		g_array_remove_index_fast(list, at);
		*router = world->router(index, world->arg);
		if (*router != NULL)
			return index;
	}
	return INV_NONE;
}

/*
 * Chooses the cheaper one of two random candidates.
 */
static uint32_t
choose_by_load(const struct choose_world *world, GArray *list, GRand *random,
    const char **router)
{
	const char *routers[CANDIDATES] = {NULL, NULL};
	uint32_t first = draw(world, list, random, &routers[0]);
	uint32_t second = draw(world, list, random, &routers[1]);

	if (second != INV_NONE &&
	    cost_of(world, second) < cost_of(world, first)) {
		*router = routers[1];
		return second;
	}
	*router = routers[0];
	return first;
}

/*
 * Chooses the candidate with the highest score for a key, so that every entry
 * sends one key to one replica.
 */
static uint32_t
choose_by_key(const struct choose_world *world, const GArray *list,
    struct lstr key, const char **router)
{
	uint64_t seed = XXH3_64bits(key.data, key.len);
	uint64_t best_score = 0;
	uint32_t best = INV_NONE;

	for (guint i = 0; i < list->len; i++) {
		uint32_t index = g_array_index(list, uint32_t, i);
		struct lstr name = lstr_from(world->inv->replicas[index].name);
		uint64_t score =
		    XXH3_64bits_withSeed(name.data, name.len, seed);
		const char *owner;

		if (best != INV_NONE && score <= best_score)
			continue;
		owner = world->router(index, world->arg);
		if (owner == NULL)
			continue;
		best = index;
		best_score = score;
		*router = owner;
	}
	return best;
}

/*
 * Lists the eligible replicas of a service without the one to avoid.
 */
static GArray *
list_eligible(
    const struct choose_world *world, uint32_t service, struct lstr avoid)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (uint32_t i = 0; i < world->inv->replica_count; i++) {
		const struct inv_replica *replica = &world->inv->replicas[i];

		if (replica->service == service &&
		    !lstr_equal_c(avoid, replica->name) &&
		    choose_is_eligible(world, i))
			g_array_append_val(list, i);
	}
	return list;
}

/*
 * Chooses a replica of a service and its router: by the key when there is
 * one, else by load. The replica named by avoid is used only when there is no
 * other. Returns STATUS_NOT_FOUND when no replica is eligible.
 */
enum status
choose_replica(const struct choose_world *world, uint32_t service,
    struct lstr key, struct lstr avoid, GRand *random,
    struct choose_result *out)
{
	GArray *list = list_eligible(world, service, avoid);

	out->router = NULL;
	if (key.len > 0)
		out->replica = choose_by_key(world, list, key, &out->router);
	else
		out->replica =
		    choose_by_load(world, list, random, &out->router);
	g_array_free(list, TRUE);
	if (out->replica != INV_NONE)
		return STATUS_OK;
	if (avoid.len > 0)
		return choose_replica(
		    world, service, key, lstr_from(""), random, out);
	return status_set(STATUS_NOT_FOUND, "no replica can be used");
}
