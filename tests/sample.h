#ifndef CH_TEST_SAMPLE_H
#define CH_TEST_SAMPLE_H

#include <stdio.h>

#include <jansson.h>

/* Size of a generated configuration. */
struct sample_size {
	int places;
	int replicas;
	int stages;
	int organisations;
};

#define SAMPLE_LAYERS_PER_STAGE 8

/*
 * Adds the instances of one replica, all of them in one place.
 */
static inline void
sample_add_replica(
    json_t *instances, const struct sample_size *size, int replica_index)
{
	for (int stage = 0; stage < size->stages; stage++) {
		char name[32];
		char replica[32];
		char place[32];
		char address[32];

		snprintf(name, sizeof(name), "i%05d-%d", replica_index, stage);
		snprintf(replica, sizeof(replica), "r%05d", replica_index);
		snprintf(place, sizeof(place), "place-%02d",
		    replica_index % size->places);
		snprintf(address, sizeof(address), "10.%d.%d.%d:7100",
		    replica_index % size->places, replica_index / 250 % 250,
		    replica_index % 250);
		json_array_append_new(instances,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "name",
			name, "place", place, "service", "writer", "replica",
			replica, "address", address, "accelerator", "kind-a",
			"count", 2, "first", stage * SAMPLE_LAYERS_PER_STAGE,
			"last", (stage + 1) * SAMPLE_LAYERS_PER_STAGE - 1));
	}
}

/*
 * Returns a valid inventory; the caller releases it with json_decref().
 */
static inline json_t *
sample_inventory(const struct sample_size *size)
{
	json_t *places = json_array();
	json_t *instances = json_array();

	for (int i = 0; i < size->places; i++) {
		char name[32];

		snprintf(name, sizeof(name), "place-%02d", i);
		json_array_append_new(places,
		    json_pack("{s:s,s:s}", "name", name, "region", "here"));
	}
	for (int replica_index = 0; replica_index < size->replicas;
	     replica_index++)
		sample_add_replica(instances, size, replica_index);
	return json_pack("{s:o,s:[{s:s,s:s,s:i}],s:[{s:s,s:i}],s:o}", "places",
	    places, "services", "name", "writer", "kind", "pipeline", "layers",
	    size->stages * SAMPLE_LAYERS_PER_STAGE, "accelerators", "kind",
	    "kind-a", "layer_us", 120, "instances", instances);
}

/*
 * Returns valid rules; the caller releases them with json_decref().
 */
static inline json_t *
sample_rules(const struct sample_size *size)
{
	json_t *organisations = json_array();

	for (int i = 0; i < size->organisations; i++) {
		char name[32];

		snprintf(name, sizeof(name), "organisation-%05d", i);
		json_array_append_new(organisations,
		    json_pack("{s:s,s:i,s:i,s:i}", "name", name, "priority",
			i % 8, "weight", 1 + i % 100, "max_concurrent", 64));
	}
	return json_pack("{s:o,s:[],s:{s:i,s:i,s:i,s:i}}", "organisations",
	    organisations, "requests", "defaults", "priority", 4, "weight", 1,
	    "max_concurrent", 8, "deadline_ms", 30000);
}

/*
 * Changes the address of the instance at a position.
 */
static inline void
sample_set_instance_address(
    json_t *inventory, size_t position, const char *address)
{
	json_t *instances = json_object_get(inventory, "instances");

	json_object_set_new(json_array_get(instances, position), "address",
	    json_string(address));
}

#endif
