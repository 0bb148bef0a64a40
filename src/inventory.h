#ifndef CH_INVENTORY_H
#define CH_INVENTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "lstr.h"

/* No entity: an index that is never valid. */
#define INV_NONE UINT32_MAX

#define INV_PRIORITY_MAX 7
#define INV_WEIGHT_MAX 1000

enum inv_service_kind {
	INV_PIPELINE,
	INV_PLAIN
};

struct inv_place {
	char *name;
	char *region;
};

/* A link between two places, or inside one; the same in both directions. */
struct inv_link {
	uint32_t from;
	uint32_t to;
	int64_t latency_usec;
	int64_t mbps;
};

struct inv_service {
	char *name;
	enum inv_service_kind kind;
	/* Layers of the model; 1 for plain services. */
	uint32_t layers;
	/* Claim window in microseconds; 0 for the default. */
	int64_t window_usec;
};

struct inv_accelerator {
	char *kind;
	/* Time for one layer of one token, microseconds. */
	int64_t layer_usec;
};

struct inv_instance {
	char *name;
	uint32_t place;
	uint32_t service;
	uint32_t replica;
	char *address;
	uint32_t accelerator;
	uint32_t count;
	/* Layers held, both included, from 0; 0 to 0 for plain services. */
	uint32_t first;
	uint32_t last;
	bool leaving;
	bool checks_fencing;
};

/* The instances that share a replica name within a service. */
struct inv_replica {
	char *name;
	uint32_t service;
	/* Place of its first instance. */
	uint32_t place;
	uint32_t *instances;
	uint32_t instance_count;
};

struct inv_organisation {
	char *name;
	uint32_t priority;
	uint32_t weight;
	uint32_t max_concurrent;
};

struct inv_request_rule {
	uint32_t service;
	/* "*" stands for every operation of the service. */
	char *operation;
	bool idempotent;
};

struct inv_defaults {
	uint32_t priority;
	uint32_t weight;
	uint32_t max_concurrent;
	int64_t deadline_usec;
	bool allow_unknown;
};

/* One configuration in checked form: tables that refer by index. */
struct inv {
	uint64_t revision;
	struct inv_place *places;
	uint32_t place_count;
	struct inv_link *links;
	uint32_t link_count;
	struct inv_service *services;
	uint32_t service_count;
	struct inv_accelerator *accelerators;
	uint32_t accelerator_count;
	struct inv_instance *instances;
	uint32_t instance_count;
	struct inv_replica *replicas;
	uint32_t replica_count;
	struct inv_organisation *organisations;
	uint32_t organisation_count;
	struct inv_request_rule *requests;
	uint32_t request_count;
	struct inv_defaults defaults;
};

enum status inv_parse(const json_t *, const json_t *, struct inv **);
void inv_destroy(struct inv *);
uint32_t inv_find_place(const struct inv *, struct lstr);
uint32_t inv_find_service(const struct inv *, struct lstr);
uint32_t inv_find_instance(const struct inv *, struct lstr);
uint32_t inv_find_replica(const struct inv *, struct lstr service, struct lstr);
enum status inv_organisation_for(
    const struct inv *, struct lstr, struct inv_organisation *);
bool inv_is_idempotent(const struct inv *, uint32_t service, struct lstr);
int64_t inv_link_latency(const struct inv *, uint32_t, uint32_t);

#endif
