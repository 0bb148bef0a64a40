#ifndef CH_INVENTORY_H
#define CH_INVENTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "lstr.h"

/* Invalid index: no such entity. */
#define INV_NONE UINT32_MAX

#define INV_PRIORITY_MAX 7
/* Default claim window of a service in microseconds. */
#define INV_CLAIM_WINDOW_DEFAULT_USEC ((int64_t)120 * 1000000)
#define INV_WEIGHT_MAX 1000
#define INV_CONCURRENT_MAX 1000000
#define INV_NAME_MAX_BYTES 63
#define INV_LAYERS_MAX 1024

/*
 * Maximum numbers of entities in a configuration. The two-year target is 18
 * places, 21 models, 7 kinds of accelerators, 34,000 accelerators (at most one
 * instance each) and 24,000 organisations.
 */
#define INV_PLACES_MAX 64
#define INV_LINKS_MAX (INV_PLACES_MAX * (INV_PLACES_MAX + 1) / 2)
#define INV_SERVICES_MAX 256
#define INV_ACCELERATORS_MAX 64
#define INV_INSTANCES_MAX 40000
#define INV_ORGANISATIONS_MAX 30000
#define INV_REQUESTS_MAX 1024

/*
 * Default one-way latency without a link, in microseconds: within a place,
 * within a region and between regions.
 */
#define INV_LATENCY_SAME_PLACE_USEC 50
#define INV_LATENCY_SAME_REGION_USEC 1000
#define INV_LATENCY_OTHER_REGION_USEC 50000

/* Maximum size of the JSON text of an inventory or of rules. */
#define INV_TEXT_MAX_BYTES ((size_t)32 * 1024 * 1024)
/* Limit of the commas and opening brackets of a text. The largest documents
 * that the other limits allow have less than 700,000. */
#define INV_TEXT_VALUES_MAX ((size_t)1000 * 1000)

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
	int64_t claim_window_usec;
};

struct inv_accelerator {
	char *kind;
	/* Time for one layer of one token, in microseconds. */
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
	/*
	 * First and last layer held, both inclusive, counted from 0. Both are 0
	 * for plain services.
	 */
	uint32_t first;
	uint32_t last;
	bool leaving;
	bool checks_fencing;
};

/*
 * The instances that share a replica name within a service, sorted by first
 * layer, last layer and name.
 */
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
	/* "*" matches every operation of the service. */
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

/* A validated configuration: tables whose entries refer to others by index. */
struct inv {
	uint64_t revision;
	struct inv_place *places;
	struct inv_link *links;
	struct inv_service *services;
	struct inv_accelerator *accelerators;
	struct inv_instance *instances;
	struct inv_replica *replicas;
	struct inv_organisation *organisations;
	struct inv_request_rule *requests;
	/* Lookup tables and the storage of all strings. */
	struct inv_index *index;
	struct inv_defaults defaults;
	uint32_t place_count;
	uint32_t link_count;
	uint32_t service_count;
	uint32_t accelerator_count;
	uint32_t instance_count;
	uint32_t replica_count;
	uint32_t organisation_count;
	uint32_t request_count;
};

enum status inv_load_json(struct lstr, const char *, json_t **);
enum status inv_parse(const json_t *, const json_t *, struct inv **);
void inv_destroy(struct inv *);
uint32_t inv_find_place(const struct inv *, struct lstr);
uint32_t inv_find_service(const struct inv *, struct lstr);
uint32_t inv_find_instance(const struct inv *, struct lstr);
uint32_t inv_find_replica(const struct inv *, struct lstr service, struct lstr);
enum status inv_lookup_organisation(
    const struct inv *, struct lstr, struct inv_organisation *);
int64_t inv_claim_window(const struct inv_service *);
bool inv_is_idempotent(const struct inv *, uint32_t service, struct lstr);
int64_t inv_link_latency(const struct inv *, uint32_t, uint32_t);

#endif
