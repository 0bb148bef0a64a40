#include <string.h>

#include <glib.h>

#include "headroom.h"

/*
 * Returns the number of tokens for which the usable servers have memory in all
 * layers together: that of the layer with the least.
 */
double
headroom_capacity(const struct fleet_engine *engine,
    const struct path_server *servers, size_t count)
{
	double tokens[FLEET_LAYERS_MAX + 1] = {0};
	uint32_t layers = MIN(engine->layers, (uint32_t)FLEET_LAYERS_MAX);
	double capacity = 0;
	double sum = 0;

	/* Differences between neighbouring layers, summed afterwards. */
	for (size_t i = 0; i < count; i++) {
		const struct path_server *server = &servers[i];
		double held;

		if (!server->usable || server->layer_to > layers ||
		    server->layer_to <= server->layer_from)
			continue;
		held = (double)server->memory /
		    (server->layer_to - server->layer_from);
		tokens[server->layer_from] += held;
		tokens[server->layer_to] -= held;
	}
	for (uint32_t i = 0; i < layers; i++) {
		sum += tokens[i];
		if (i == 0 || sum < capacity)
			capacity = sum;
	}
	return MAX(capacity, 0);
}

/*
 * Computes the state of a service from the demand at all nodes. By Little's law
 * a class is expected to use its arrival rate times hold_usec, the time for
 * which a request holds its memory. Of a class that waits, what arrives until
 * the next reports will wait as well.
 */
void
headroom_update(struct headroom *headroom, const struct demand_total *total,
    double hold_usec, double capacity)
{
	memset(headroom, 0, sizeof(*headroom));
	headroom->capacity = capacity;
	for (size_t i = 0; i < DEMAND_CLASSES; i++) {
		headroom->expected[i] = total->classes[i].tokens_per_sec *
		    hold_usec / (double)G_USEC_PER_SEC;
		headroom->used[i] = MAX(total->classes[i].tokens_in_use, 0);
		if (total->classes[i].tokens_waiting > 0)
			headroom->waiting[i] =
			    total->classes[i].tokens_waiting +
			    total->classes[i].tokens_per_sec * HEADROOM_AGE_SEC;
	}
}

/*
 * Returns the share of each server's memory that a request of a class must
 * leave free for more urgent ones.
 */
double
headroom_reserved_share(const struct headroom *headroom, uint32_t priority)
{
	double reserved = 0;
	double expected_total = 0;
	double expected_rest = 0;
	double used_rest = 0;

	if (headroom->capacity <= 0)
		return 0;
	for (uint32_t i = 0; i < DEMAND_CLASSES; i++) {
		expected_total += headroom->expected[i];
		if (i < priority) {
			reserved += headroom->waiting[i];
		} else {
			expected_rest += headroom->expected[i];
			used_rest += headroom->used[i];
		}
	}
	if (expected_total <= 0 ||
	    used_rest < HEADROOM_OWN_SHARE * headroom->capacity *
		    MIN(expected_rest / MAX(expected_total, headroom->capacity),
			1))
		return 0;
	return MIN(reserved / headroom->capacity, HEADROOM_MAX);
}

/*
 * Returns the expected use of a class and the more urgent ones as a multiple of
 * the memory; 0 if there is none.
 */
double
headroom_load(const struct headroom *headroom, uint32_t priority)
{
	double expected = 0;

	for (uint32_t i = 0; i <= priority && i < DEMAND_CLASSES; i++)
		expected += headroom->expected[i];
	return headroom->capacity > 0 ? expected / headroom->capacity : 0;
}
