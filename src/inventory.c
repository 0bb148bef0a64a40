#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "inventory_priv.h"

#define FIELDS_MAX 12
#define STRING_CHUNK_BYTES 65536
#define USEC_PER_MSEC ((int64_t)1000)
#define LATENCY_MAX_USEC 10000000
#define MBPS_MAX 10000000
#define LAYER_TIME_MAX_USEC 10000000
#define CLAIM_WINDOW_MIN_MSEC 1000
#define CLAIM_WINDOW_MAX_MSEC 3600000
#define DEADLINE_MAX_MSEC 3600000
#define ACCELERATORS_PER_INSTANCE_MAX 1024

enum place_field {
	PLACE_NAME,
	PLACE_REGION,
	PLACE_FIELD_COUNT
};

static const struct inv_field place_fields[PLACE_FIELD_COUNT] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"region", FIELD_NAME, true, 0, 0, {NULL}}};

enum link_field {
	LINK_FROM,
	LINK_TO,
	LINK_LATENCY,
	LINK_MBPS,
	LINK_FIELD_COUNT
};

static const struct inv_field link_fields[LINK_FIELD_COUNT] = {
    {"from", FIELD_NAME, true, 0, 0, {NULL}},
    {"to", FIELD_NAME, true, 0, 0, {NULL}},
    {"latency_us", FIELD_INT, true, 0, LATENCY_MAX_USEC, {NULL}},
    {"mbps", FIELD_INT, true, 1, MBPS_MAX, {NULL}}};

enum service_field {
	SERVICE_NAME,
	SERVICE_KIND,
	SERVICE_LAYERS,
	SERVICE_WINDOW,
	SERVICE_FIELD_COUNT
};

static const struct inv_field service_fields[SERVICE_FIELD_COUNT] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"kind", FIELD_ENUM, true, 0, 0, {"pipeline", "plain"}},
    {"layers", FIELD_INT, false, 1, INV_LAYERS_MAX, {NULL}},
    {"window_ms", FIELD_INT, false, CLAIM_WINDOW_MIN_MSEC,
	CLAIM_WINDOW_MAX_MSEC, {NULL}}};

enum accelerator_field {
	ACCELERATOR_KIND,
	ACCELERATOR_LAYER,
	ACCELERATOR_FIELD_COUNT
};

static const struct inv_field accelerator_fields[ACCELERATOR_FIELD_COUNT] = {
    {"kind", FIELD_NAME, true, 0, 0, {NULL}},
    {"layer_us", FIELD_INT, true, 1, LAYER_TIME_MAX_USEC, {NULL}}};

enum instance_field {
	INSTANCE_NAME,
	INSTANCE_PLACE,
	INSTANCE_SERVICE,
	INSTANCE_REPLICA,
	INSTANCE_ADDRESS,
	INSTANCE_ACCELERATOR,
	INSTANCE_COUNT,
	INSTANCE_FIRST,
	INSTANCE_LAST,
	INSTANCE_STATE,
	INSTANCE_FENCING,
	INSTANCE_FIELD_COUNT
};

static const struct inv_field instance_fields[INSTANCE_FIELD_COUNT] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"place", FIELD_NAME, true, 0, 0, {NULL}},
    {"service", FIELD_NAME, true, 0, 0, {NULL}},
    {"replica", FIELD_NAME, true, 0, 0, {NULL}},
    {"address", FIELD_ADDRESS, true, 0, 0, {NULL}},
    {"accelerator", FIELD_NAME, false, 0, 0, {NULL}},
    {"count", FIELD_INT, false, 1, ACCELERATORS_PER_INSTANCE_MAX, {NULL}},
    {"first", FIELD_INT, false, 0, INV_LAYERS_MAX - 1, {NULL}},
    {"last", FIELD_INT, false, 0, INV_LAYERS_MAX - 1, {NULL}},
    {"state", FIELD_ENUM, false, 0, 0, {"live", "leaving"}},
    {"checks_fencing", FIELD_BOOL, false, 0, 0, {NULL}}};

enum organisation_field {
	ORGANISATION_NAME,
	ORGANISATION_PRIORITY,
	ORGANISATION_WEIGHT,
	ORGANISATION_CONCURRENT,
	ORGANISATION_FIELD_COUNT
};

static const struct inv_field organisation_fields[ORGANISATION_FIELD_COUNT] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"priority", FIELD_INT, true, 0, INV_PRIORITY_MAX, {NULL}},
    {"weight", FIELD_INT, true, 1, INV_WEIGHT_MAX, {NULL}},
    {"max_concurrent", FIELD_INT, true, 1, INV_CONCURRENT_MAX, {NULL}}};

enum request_field {
	REQUEST_SERVICE,
	REQUEST_OPERATION,
	REQUEST_IDEMPOTENT,
	REQUEST_FIELD_COUNT
};

static const struct inv_field request_fields[REQUEST_FIELD_COUNT] = {
    {"service", FIELD_NAME, true, 0, 0, {NULL}},
    {"operation", FIELD_OPERATION, true, 0, 0, {NULL}},
    {"idempotent", FIELD_BOOL, true, 0, 0, {NULL}}};

enum defaults_field {
	DEFAULTS_PRIORITY,
	DEFAULTS_WEIGHT,
	DEFAULTS_CONCURRENT,
	DEFAULTS_DEADLINE,
	DEFAULTS_UNKNOWN,
	DEFAULTS_FIELD_COUNT
};

static const struct inv_field defaults_fields[DEFAULTS_FIELD_COUNT] = {
    {"priority", FIELD_INT, true, 0, INV_PRIORITY_MAX, {NULL}},
    {"weight", FIELD_INT, true, 1, INV_WEIGHT_MAX, {NULL}},
    {"max_concurrent", FIELD_INT, true, 1, INV_CONCURRENT_MAX, {NULL}},
    {"deadline_ms", FIELD_INT, true, 1, DEADLINE_MAX_MSEC, {NULL}},
    {"allow_unknown", FIELD_BOOL, false, 0, 0, {NULL}}};

/*
 * Copies a string into the memory of the configuration.
 */
static char *
copy_string(struct inv *inv, struct lstr s)
{
	return g_string_chunk_insert_len(
	    inv->index->strings, s.data, (gssize)s.len);
}

/*
 * Copies a name into the configuration and adds it to a lookup table. A
 * duplicate name is an error.
 */
static enum status
add_name(struct inv *inv, struct inv_table *table,
    const struct inv_location *location, const char *field, struct lstr name,
    char **out)
{
	uint32_t other = inv_table_find(table, 0, name);

	if (other != INV_NONE)
		return inv_invalid(location, field,
		    "'%.64s' is a duplicate of %s[%u].%s", name.data,
		    location->list, other, field);
	*out = copy_string(inv, name);
	inv_table_add(
	    table, 0, lstr_make(*out, name.len), (uint32_t)location->position);
	return STATUS_OK;
}

/*
 * Looks up the entity that a field refers to.
 */
static enum status
resolve_name(const struct inv_table *table, const struct inv_location *location,
    const char *field, const char *what, struct lstr name, uint32_t *out)
{
	*out = inv_table_find(table, 0, name);
	if (*out != INV_NONE)
		return STATUS_OK;
	return inv_invalid(
	    location, field, "no %s is named '%.64s'", what, name.data);
}

/*
 * Parses one place.
 */
static enum status
parse_place(
    struct inv *inv, const struct inv_location *location, const json_t *json)
{
	struct inv_place *place = &inv->places[location->position];
	struct inv_value v[PLACE_FIELD_COUNT];
	enum status status =
	    inv_decode(location, place_fields, PLACE_FIELD_COUNT, json, v);

	if (status != STATUS_OK)
		return status;
	place->region = copy_string(inv, v[PLACE_REGION].text);
	return add_name(inv, &inv->index->places, location, "name",
	    v[PLACE_NAME].text, &place->name);
}

/*
 * Parses one link.
 */
static enum status
parse_link(
    struct inv *inv, const struct inv_location *location, const json_t *json)
{
	struct inv_link *link = &inv->links[location->position];
	struct inv_index *index = inv->index;
	struct inv_value v[LINK_FIELD_COUNT];
	enum status status =
	    inv_decode(location, link_fields, LINK_FIELD_COUNT, json, v);
	uint32_t scope;
	uint32_t other;

	if (status == STATUS_OK)
		status = resolve_name(&index->places, location, "from", "place",
		    v[LINK_FROM].text, &link->from);
	if (status == STATUS_OK)
		status = resolve_name(&index->places, location, "to", "place",
		    v[LINK_TO].text, &link->to);
	if (status != STATUS_OK)
		return status;
	link->latency_usec = v[LINK_LATENCY].number;
	link->mbps = v[LINK_MBPS].number;
	scope = inv_link_scope(link->from, link->to);
	other = inv_table_find(&index->links, scope, lstr_from(""));
	if (other != INV_NONE)
		return inv_invalid(location, NULL,
		    "joins the same places as links[%u]", other);
	inv_table_add(
	    &index->links, scope, lstr_from(""), (uint32_t)location->position);
	return STATUS_OK;
}

/*
 * Parses one service.
 */
static enum status
parse_service(
    struct inv *inv, const struct inv_location *location, const json_t *json)
{
	struct inv_service *service = &inv->services[location->position];
	struct inv_value v[SERVICE_FIELD_COUNT];
	enum status status =
	    inv_decode(location, service_fields, SERVICE_FIELD_COUNT, json, v);

	if (status != STATUS_OK)
		return status;
	service->kind = v[SERVICE_KIND].number == 0 ? INV_PIPELINE : INV_PLAIN;
	service->layers =
	    v[SERVICE_LAYERS].is_set ? (uint32_t)v[SERVICE_LAYERS].number : 1;
	service->claim_window_usec = v[SERVICE_WINDOW].number * USEC_PER_MSEC;
	if (service->kind == INV_PIPELINE && !v[SERVICE_LAYERS].is_set)
		return inv_invalid(
		    location, "layers", "is missing for a pipeline");
	if (service->kind == INV_PLAIN && service->layers != 1)
		return inv_invalid(location, "layers",
		    "%u is not allowed; a plain service has 1 layer",
		    service->layers);
	return add_name(inv, &inv->index->services, location, "name",
	    v[SERVICE_NAME].text, &service->name);
}

/*
 * Parses one kind of accelerator.
 */
static enum status
parse_accelerator(
    struct inv *inv, const struct inv_location *location, const json_t *json)
{
	struct inv_accelerator *accelerator =
	    &inv->accelerators[location->position];
	struct inv_value v[ACCELERATOR_FIELD_COUNT];
	enum status status = inv_decode(
	    location, accelerator_fields, ACCELERATOR_FIELD_COUNT, json, v);

	if (status != STATUS_OK)
		return status;
	accelerator->layer_usec = v[ACCELERATOR_LAYER].number;
	return add_name(inv, &inv->index->accelerators, location, "kind",
	    v[ACCELERATOR_KIND].text, &accelerator->kind);
}

/*
 * Validates the layers of an instance against its service.
 */
static enum status
check_layers(const struct inv *inv, const struct inv_location *location,
    const struct inv_value *v, struct inv_instance *instance)
{
	const struct inv_service *service = &inv->services[instance->service];

	instance->first = (uint32_t)v[INSTANCE_FIRST].number;
	instance->last = (uint32_t)v[INSTANCE_LAST].number;
	if (service->kind == INV_PIPELINE && !v[INSTANCE_FIRST].is_set)
		return inv_invalid(location, "first",
		    "is missing; service '%s' is a pipeline", service->name);
	if (service->kind == INV_PIPELINE && !v[INSTANCE_LAST].is_set)
		return inv_invalid(location, "last",
		    "is missing; service '%s' is a pipeline", service->name);
	if (instance->last >= service->layers)
		return inv_invalid(location, "last",
		    "%u is out of range; the last layer of service '%s' is %u",
		    instance->last, service->name, service->layers - 1);
	if (instance->first > instance->last)
		return inv_invalid(location, "first",
		    "%u is above last, which is %u", instance->first,
		    instance->last);
	return STATUS_OK;
}

/*
 * Adds an instance to its replica, which is created if it does not exist.
 */
static void
add_to_replica(struct inv *inv, struct inv_instance *instance, struct lstr name)
{
	struct inv_table *table = &inv->index->replicas;
	struct inv_replica *replica;

	instance->replica = inv_table_find(table, instance->service, name);
	if (instance->replica == INV_NONE) {
		instance->replica = inv->replica_count++;
		replica = &inv->replicas[instance->replica];
		replica->name = copy_string(inv, name);
		replica->service = instance->service;
		inv_table_add(table, instance->service,
		    lstr_make(replica->name, name.len), instance->replica);
	}
	inv->replicas[instance->replica].instance_count++;
}

/*
 * Looks up the entities that an instance refers to.
 */
static enum status
resolve_instance(const struct inv *inv, const struct inv_location *location,
    const struct inv_value *v, struct inv_instance *instance)
{
	const struct inv_index *index = inv->index;
	enum status status;

	instance->accelerator = INV_NONE;
	status = resolve_name(&index->places, location, "place", "place",
	    v[INSTANCE_PLACE].text, &instance->place);
	if (status == STATUS_OK)
		status = resolve_name(&index->services, location, "service",
		    "service", v[INSTANCE_SERVICE].text, &instance->service);
	if (status == STATUS_OK && v[INSTANCE_ACCELERATOR].is_set)
		status = resolve_name(&index->accelerators, location,
		    "accelerator", "accelerator", v[INSTANCE_ACCELERATOR].text,
		    &instance->accelerator);
	return status;
}

/*
 * Parses one instance.
 */
static enum status
parse_instance(
    struct inv *inv, const struct inv_location *location, const json_t *json)
{
	struct inv_instance *instance = &inv->instances[location->position];
	struct inv_value v[INSTANCE_FIELD_COUNT];
	enum status status = inv_decode(
	    location, instance_fields, INSTANCE_FIELD_COUNT, json, v);

	if (status == STATUS_OK)
		status = resolve_instance(inv, location, v, instance);
	if (status == STATUS_OK)
		status = check_layers(inv, location, v, instance);
	if (status == STATUS_OK)
		status = add_name(inv, &inv->index->instances, location, "name",
		    v[INSTANCE_NAME].text, &instance->name);
	if (status != STATUS_OK)
		return status;
	instance->address = copy_string(inv, v[INSTANCE_ADDRESS].text);
	instance->count =
	    v[INSTANCE_COUNT].is_set ? (uint32_t)v[INSTANCE_COUNT].number : 1;
	instance->leaving = v[INSTANCE_STATE].number == 1;
	instance->checks_fencing = v[INSTANCE_FENCING].number == 1;
	add_to_replica(inv, instance, v[INSTANCE_REPLICA].text);
	return STATUS_OK;
}

/*
 * Parses one organisation.
 */
static enum status
parse_organisation(
    struct inv *inv, const struct inv_location *location, const json_t *json)
{
	struct inv_organisation *organisation =
	    &inv->organisations[location->position];
	struct inv_value v[ORGANISATION_FIELD_COUNT];
	enum status status = inv_decode(
	    location, organisation_fields, ORGANISATION_FIELD_COUNT, json, v);

	if (status != STATUS_OK)
		return status;
	organisation->priority = (uint32_t)v[ORGANISATION_PRIORITY].number;
	organisation->weight = (uint32_t)v[ORGANISATION_WEIGHT].number;
	organisation->max_concurrent =
	    (uint32_t)v[ORGANISATION_CONCURRENT].number;
	return add_name(inv, &inv->index->organisations, location, "name",
	    v[ORGANISATION_NAME].text, &organisation->name);
}

/*
 * Parses one request rule.
 */
static enum status
parse_request_rule(
    struct inv *inv, const struct inv_location *location, const json_t *json)
{
	struct inv_request_rule *rule = &inv->requests[location->position];
	struct inv_table *table = &inv->index->requests;
	struct inv_value v[REQUEST_FIELD_COUNT];
	struct lstr operation;
	enum status status =
	    inv_decode(location, request_fields, REQUEST_FIELD_COUNT, json, v);

	if (status == STATUS_OK)
		status =
		    resolve_name(&inv->index->services, location, "service",
			"service", v[REQUEST_SERVICE].text, &rule->service);
	if (status != STATUS_OK)
		return status;
	operation = v[REQUEST_OPERATION].text;
	if (inv_table_find(table, rule->service, operation) != INV_NONE)
		return inv_invalid(location, "operation",
		    "'%.64s' is a duplicate of requests[%u].operation",
		    operation.data,
		    inv_table_find(table, rule->service, operation));
	rule->operation = copy_string(inv, operation);
	rule->idempotent = v[REQUEST_IDEMPOTENT].number == 1;
	inv_table_add(table, rule->service,
	    lstr_make(rule->operation, operation.len),
	    (uint32_t)location->position);
	return STATUS_OK;
}

/*
 * Parses the defaults.
 */
static enum status
parse_defaults(struct inv *inv, const json_t *rules)
{
	const struct inv_location location = {"defaults", NO_POSITION};
	const json_t *json = json_object_get(rules, "defaults");
	struct inv_value v[DEFAULTS_FIELD_COUNT];
	enum status status;

	if (json == NULL)
		return inv_invalid(&location, NULL, "is missing");
	status = inv_decode(
	    &location, defaults_fields, DEFAULTS_FIELD_COUNT, json, v);
	if (status != STATUS_OK)
		return status;
	inv->defaults.priority = (uint32_t)v[DEFAULTS_PRIORITY].number;
	inv->defaults.weight = (uint32_t)v[DEFAULTS_WEIGHT].number;
	inv->defaults.max_concurrent = (uint32_t)v[DEFAULTS_CONCURRENT].number;
	inv->defaults.deadline_usec =
	    v[DEFAULTS_DEADLINE].number * USEC_PER_MSEC;
	inv->defaults.allow_unknown = v[DEFAULTS_UNKNOWN].number == 1;
	return STATUS_OK;
}

typedef enum status (*parse_fn)(
    struct inv *, const struct inv_location *, const json_t *);

/* One list of a document and how to parse it. */
struct list {
	const char *name;
	bool required;
	size_t max;
	parse_fn parse;
	size_t entity_bytes;
	size_t array_offset;
	size_t count_offset;
	size_t table_offset;
};

#define LIST(list_name, array, is_required, list_max, fn)                      \
	{                                                                      \
		list_name, is_required, list_max, fn,                          \
		    sizeof(*((struct inv *)0)->array##s),                      \
		    offsetof(struct inv, array##s),                            \
		    offsetof(struct inv, array##_count),                       \
		    offsetof(struct inv_index, array##s)                       \
	}

/* Ordered so that entities refer only to lists parsed before theirs. */
static const struct list inventory_lists[] = {
    LIST("places", place, true, INV_PLACES_MAX, parse_place),
    LIST("links", link, false, INV_LINKS_MAX, parse_link),
    LIST("services", service, true, INV_SERVICES_MAX, parse_service),
    LIST("accelerators", accelerator, false, INV_ACCELERATORS_MAX,
	parse_accelerator),
    LIST("instances", instance, true, INV_INSTANCES_MAX, parse_instance)};

static const struct list rules_lists[] = {
    LIST("organisations", organisation, false, INV_ORGANISATIONS_MAX,
	parse_organisation),
    LIST("requests", request, false, INV_REQUESTS_MAX, parse_request_rule)};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/*
 * Parses one list of a document into its array and its lookup table.
 */
static enum status
parse_list(struct inv *inv, const struct list *list, const json_t *document)
{
	const json_t *json = json_object_get(document, list->name);
	void **array = (void **)((char *)inv + list->array_offset);
	uint32_t *count = (uint32_t *)((char *)inv + list->count_offset);
	struct inv_location location = {list->name, NO_POSITION};
	size_t size = json_array_size(json);
	enum status status = STATUS_OK;

	if (json == NULL && list->required)
		return inv_invalid(&location, NULL, "is missing");
	if (json != NULL && !json_is_array(json))
		return inv_invalid(&location, NULL, "must be a list, not %s",
		    inv_type_name(json));
	if (size > list->max)
		return inv_invalid(&location, NULL,
		    "%zu entries are too many; at most %zu are allowed", size,
		    list->max);
	inv_table_init(
	    (struct inv_table *)((char *)inv->index + list->table_offset),
	    size);
	*array = g_malloc0_n(size, list->entity_bytes);
	if (list->parse == parse_instance) {
		inv->replicas = g_new0(struct inv_replica, size);
		inv_table_init(&inv->index->replicas, size);
	}
	for (location.position = 0;
	     location.position < size && status == STATUS_OK;
	     location.position++)
		status = list->parse(
		    inv, &location, json_array_get(json, location.position));
	*count = (uint32_t)size;
	return status;
}

/*
 * Rejects fields of a document that are neither one of its lists nor the extra
 * field, which may be NULL.
 */
static enum status
check_document(const char *what, const json_t *document,
    const struct list *lists, size_t count, const char *extra)
{
	const struct inv_location location = {what, NO_POSITION};
	const char *name;
	json_t *member;

	if (!json_is_object(document))
		return inv_invalid(&location, NULL, "must be an object, not %s",
		    document ? inv_type_name(document) : "absent");
	json_object_foreach((json_t *)document, name, member)
	{
		size_t i = 0;

		while (i < count && strcmp(lists[i].name, name) != 0)
			i++;
		if (i == count && (extra == NULL || strcmp(extra, name) != 0))
			return inv_invalid(&location, name, "unknown field");
	}
	return STATUS_OK;
}

/*
 * Compares two instances by first layer, last layer and name for sorting.
 */
static gint
compare_instances(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct inv *inv = data;
	const struct inv_instance *x = &inv->instances[*(const uint32_t *)a];
	const struct inv_instance *y = &inv->instances[*(const uint32_t *)b];

	if (x->first != y->first)
		return x->first < y->first ? -1 : 1;
	if (x->last != y->last)
		return x->last < y->last ? -1 : 1;
	return strcmp(x->name, y->name);
}

/*
 * Fills the instance lists of the replicas. The order within a replica does not
 * depend on the order in the document, so every process finds the same first
 * instance, however its configuration was joined.
 */
static void
fill_replicas(struct inv *inv)
{
	uint32_t *next = g_new(uint32_t, inv->instance_count);

	inv->index->replica_instances = next;
	for (uint32_t i = 0; i < inv->replica_count; i++) {
		inv->replicas[i].instances = next;
		next += inv->replicas[i].instance_count;
		inv->replicas[i].instance_count = 0;
	}
	for (uint32_t i = 0; i < inv->instance_count; i++) {
		struct inv_replica *replica =
		    &inv->replicas[inv->instances[i].replica];

		replica->instances[replica->instance_count++] = i;
	}
	for (uint32_t i = 0; i < inv->replica_count; i++) {
		struct inv_replica *replica = &inv->replicas[i];

		g_qsort_with_data(replica->instances,
		    (gint)replica->instance_count, sizeof(uint32_t),
		    compare_instances, inv);
		replica->place = inv->instances[replica->instances[0]].place;
	}
}

/*
 * Checks that some chain of instances of a replica covers layer 0 to the last
 * layer without gap or overlap. The instances are sorted by first layer, so one
 * pass finds every layer boundary that a chain can reach.
 */
static enum status
check_layer_chain(const struct inv *inv, const struct inv_replica *replica)
{
	const struct inv_service *service = &inv->services[replica->service];
	struct inv_location location = {"instances", replica->instances[0]};
	bool reached[INV_LAYERS_MAX + 1] = {true};
	uint32_t highest_boundary = 0;

	for (uint32_t i = 0; i < replica->instance_count; i++) {
		const struct inv_instance *instance =
		    &inv->instances[replica->instances[i]];

		if (!reached[instance->first])
			continue;
		reached[instance->last + 1] = true;
		if (instance->last + 1 > highest_boundary)
			highest_boundary = instance->last + 1;
	}
	if (reached[service->layers])
		return STATUS_OK;
	return inv_invalid(&location, "replica",
	    "no chain of the instances of replica '%s' covers layers 0 to %u "
	    "of service '%s' without gap or overlap; none continues at layer "
	    "%u",
	    replica->name, service->layers - 1, service->name,
	    highest_boundary);
}

/*
 * Parses both documents into an empty configuration.
 */
static enum status
parse_documents(struct inv *inv, const json_t *inventory, const json_t *rules)
{
	enum status status = check_document("inventory", inventory,
	    inventory_lists, COUNT_OF(inventory_lists), NULL);

	if (status == STATUS_OK)
		status = check_document("rules", rules, rules_lists,
		    COUNT_OF(rules_lists), "defaults");
	for (size_t i = 0; i < COUNT_OF(inventory_lists) && status == STATUS_OK;
	     i++)
		status = parse_list(inv, &inventory_lists[i], inventory);
	if (status != STATUS_OK)
		return status;
	fill_replicas(inv);
	for (uint32_t i = 0; i < inv->replica_count && status == STATUS_OK; i++)
		status = check_layer_chain(inv, &inv->replicas[i]);
	for (size_t i = 0; i < COUNT_OF(rules_lists) && status == STATUS_OK;
	     i++)
		status = parse_list(inv, &rules_lists[i], rules);
	return status == STATUS_OK ? parse_defaults(inv, rules) : status;
}

/*
 * Returns the number of commas and opening brackets outside the strings of a
 * JSON text, which bounds the number of its values except for one.
 */
static size_t
count_values(struct lstr text)
{
	size_t count = 0;
	bool in_string = false;

	for (size_t i = 0; i < text.len; i++) {
		char c = text.data[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string && (c == ',' || c == '[' || c == '{'))
			count++;
	}
	return count;
}

/*
 * Parses a JSON text. what names the document in error messages ("inventory",
 * "rules"). Duplicate keys are rejected with their line. The caller releases
 * the value with json_decref().
 */
enum status
inv_load_json(struct lstr text, const char *what, json_t **out)
{
	json_error_t error;

	if (text.len > INV_TEXT_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "%s: %zu bytes are too many; at most %zu are allowed", what,
		    text.len, INV_TEXT_MAX_BYTES);
	/* The parsed form of a text of short values takes many times its size.
	 */
	if (count_values(text) > INV_TEXT_VALUES_MAX)
		return status_set(STATUS_INVALID,
		    "%s: there are too many values; at most %zu are allowed",
		    what, INV_TEXT_VALUES_MAX);
	*out = json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, &error);
	if (*out != NULL)
		return STATUS_OK;
	return status_set(STATUS_INVALID, "%s: line %d, column %d: %s", what,
	    error.line, error.column, error.text);
}

/*
 * Validates an inventory and rules and builds the tables. On STATUS_INVALID the
 * message gives the location and the reason, and *out is not set. The caller
 * frees the result with inv_destroy(); it holds no references to the documents.
 * Its revision is 0 until the caller sets it.
 */
enum status
inv_parse(const json_t *inventory, const json_t *rules, struct inv **out)
{
	struct inv *inv = g_new0(struct inv, 1);
	enum status status;

	inv->index = g_new0(struct inv_index, 1);
	inv->index->strings = g_string_chunk_new(STRING_CHUNK_BYTES);
	status = parse_documents(inv, inventory, rules);
	if (status != STATUS_OK) {
		inv_destroy(inv);
		return status;
	}
	*out = inv;
	return STATUS_OK;
}

/*
 * Frees a configuration.
 */
void
inv_destroy(struct inv *inv)
{
	if (inv == NULL)
		return;
	for (size_t i = 0; i < COUNT_OF(inventory_lists); i++)
		inv_table_free((struct inv_table *)((char *)inv->index +
		    inventory_lists[i].table_offset));
	for (size_t i = 0; i < COUNT_OF(rules_lists); i++)
		inv_table_free((struct inv_table *)((char *)inv->index +
		    rules_lists[i].table_offset));
	inv_table_free(&inv->index->replicas);
	g_string_chunk_free(inv->index->strings);
	g_free(inv->index->replica_instances);
	g_free(inv->index);
	g_free(inv->places);
	g_free(inv->links);
	g_free(inv->services);
	g_free(inv->accelerators);
	g_free(inv->instances);
	g_free(inv->replicas);
	g_free(inv->organisations);
	g_free(inv->requests);
	g_free(inv);
}
