#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "inventory.h"
#include "settings.h"

#define FIELDS_MAX 12
#define NO_POSITION SIZE_MAX
#define ERROR_MAX 384
#define STRING_CHUNK_BYTES 65536
#define USEC_PER_MSEC ((int64_t)1000)
#define LATENCY_MAX_USEC 10000000
#define MBPS_MAX 10000000
#define LAYER_MAX_USEC 10000000
#define WINDOW_MIN_MSEC 1000
#define WINDOW_MAX_MSEC 3600000
#define DEADLINE_MAX_MSEC 3600000
#define ACCELERATORS_PER_INSTANCE_MAX 1024
/* The rule for all operations of a service. */
#define OPERATION_ANY "*"

enum field_kind {
	FIELD_NAME,
	/* A name or "*". */
	FIELD_OPERATION,
	FIELD_ADDRESS,
	FIELD_INT,
	FIELD_BOOL,
	/* One of two words; the number is 0 for the first, 1 for the second. */
	FIELD_WORD
};

struct field {
	const char *name;
	enum field_kind kind;
	bool required;
	int64_t min;
	int64_t max;
	const char *words[2];
};

/* One decoded field. */
struct value {
	bool set;
	struct lstr text;
	int64_t number;
};

/* Where in a document an entity stands. */
struct where {
	const char *list;
	size_t position;
};

/* A name within a scope; the scope is an index or 0. */
struct key {
	uint32_t scope;
	struct lstr name;
};

struct table {
	GHashTable *hash;
	struct key *keys;
	size_t used;
	size_t size;
};

struct inv_index {
	struct table places;
	struct table links;
	struct table services;
	struct table accelerators;
	struct table instances;
	struct table replicas;
	struct table organisations;
	struct table requests;
	GStringChunk *strings;
	/* Memory of the instance lists of all replicas. */
	uint32_t *members;
};

enum place_field {
	PLACE_NAME,
	PLACE_REGION,
	PLACE_FIELDS
};

static const struct field place_fields[PLACE_FIELDS] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"region", FIELD_NAME, true, 0, 0, {NULL}}};

enum link_field {
	LINK_FROM,
	LINK_TO,
	LINK_LATENCY,
	LINK_MBPS,
	LINK_FIELDS
};

static const struct field link_fields[LINK_FIELDS] = {
    {"from", FIELD_NAME, true, 0, 0, {NULL}},
    {"to", FIELD_NAME, true, 0, 0, {NULL}},
    {"latency_us", FIELD_INT, true, 0, LATENCY_MAX_USEC, {NULL}},
    {"mbps", FIELD_INT, true, 1, MBPS_MAX, {NULL}}};

enum service_field {
	SERVICE_NAME,
	SERVICE_KIND,
	SERVICE_LAYERS,
	SERVICE_WINDOW,
	SERVICE_FIELDS
};

static const struct field service_fields[SERVICE_FIELDS] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"kind", FIELD_WORD, true, 0, 0, {"pipeline", "plain"}},
    {"layers", FIELD_INT, false, 1, INV_LAYERS_MAX, {NULL}},
    {"window_ms", FIELD_INT, false, WINDOW_MIN_MSEC, WINDOW_MAX_MSEC, {NULL}}};

enum accelerator_field {
	ACCELERATOR_KIND,
	ACCELERATOR_LAYER,
	ACCELERATOR_FIELDS
};

static const struct field accelerator_fields[ACCELERATOR_FIELDS] = {
    {"kind", FIELD_NAME, true, 0, 0, {NULL}},
    {"layer_us", FIELD_INT, true, 1, LAYER_MAX_USEC, {NULL}}};

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
	INSTANCE_FIELDS
};

static const struct field instance_fields[INSTANCE_FIELDS] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"place", FIELD_NAME, true, 0, 0, {NULL}},
    {"service", FIELD_NAME, true, 0, 0, {NULL}},
    {"replica", FIELD_NAME, true, 0, 0, {NULL}},
    {"address", FIELD_ADDRESS, true, 0, 0, {NULL}},
    {"accelerator", FIELD_NAME, false, 0, 0, {NULL}},
    {"count", FIELD_INT, false, 1, ACCELERATORS_PER_INSTANCE_MAX, {NULL}},
    {"first", FIELD_INT, false, 0, INV_LAYERS_MAX - 1, {NULL}},
    {"last", FIELD_INT, false, 0, INV_LAYERS_MAX - 1, {NULL}},
    {"state", FIELD_WORD, false, 0, 0, {"live", "leaving"}},
    {"checks_fencing", FIELD_BOOL, false, 0, 0, {NULL}}};

enum organisation_field {
	ORGANISATION_NAME,
	ORGANISATION_PRIORITY,
	ORGANISATION_WEIGHT,
	ORGANISATION_CONCURRENT,
	ORGANISATION_FIELDS
};

static const struct field organisation_fields[ORGANISATION_FIELDS] = {
    {"name", FIELD_NAME, true, 0, 0, {NULL}},
    {"priority", FIELD_INT, true, 0, INV_PRIORITY_MAX, {NULL}},
    {"weight", FIELD_INT, true, 1, INV_WEIGHT_MAX, {NULL}},
    {"max_concurrent", FIELD_INT, true, 1, INV_CONCURRENT_MAX, {NULL}}};

enum request_field {
	REQUEST_SERVICE,
	REQUEST_OPERATION,
	REQUEST_IDEMPOTENT,
	REQUEST_FIELDS
};

static const struct field request_fields[REQUEST_FIELDS] = {
    {"service", FIELD_NAME, true, 0, 0, {NULL}},
    {"operation", FIELD_OPERATION, true, 0, 0, {NULL}},
    {"idempotent", FIELD_BOOL, true, 0, 0, {NULL}}};

enum defaults_field {
	DEFAULTS_PRIORITY,
	DEFAULTS_WEIGHT,
	DEFAULTS_CONCURRENT,
	DEFAULTS_DEADLINE,
	DEFAULTS_UNKNOWN,
	DEFAULTS_FIELDS
};

static const struct field defaults_fields[DEFAULTS_FIELDS] = {
    {"priority", FIELD_INT, true, 0, INV_PRIORITY_MAX, {NULL}},
    {"weight", FIELD_INT, true, 1, INV_WEIGHT_MAX, {NULL}},
    {"max_concurrent", FIELD_INT, true, 1, INV_CONCURRENT_MAX, {NULL}},
    {"deadline_ms", FIELD_INT, true, 1, DEADLINE_MAX_MSEC, {NULL}},
    {"allow_unknown", FIELD_BOOL, false, 0, 0, {NULL}}};

/*
 * Hashes a key for GHashTable.
 */
static guint
key_hash(gconstpointer data)
{
	const struct key *key = data;

	return (guint)XXH3_64bits_withSeed(
	    key->name.data, key->name.len, key->scope);
}

/*
 * Compares two keys for GHashTable.
 */
static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	const struct key *x = a;
	const struct key *y = b;

	return x->scope == y->scope && lstr_equal(x->name, y->name);
}

/*
 * Prepares a table for at most size keys.
 */
static void
table_init(struct table *table, size_t size)
{
	table->hash = g_hash_table_new(key_hash, key_equal);
	table->keys = g_new(struct key, size);
	table->size = size;
}

/*
 * Frees what a table holds.
 */
static void
table_free(struct table *table)
{
	if (table->hash != NULL)
		g_hash_table_destroy(table->hash);
	g_free(table->keys);
}

/*
 * Returns the index stored for a name, or INV_NONE.
 */
static uint32_t
table_find(const struct table *table, uint32_t scope, struct lstr name)
{
	struct key key = {scope, name};
	gpointer value = g_hash_table_lookup(table->hash, &key);

	return value == NULL ? INV_NONE : GPOINTER_TO_UINT(value) - 1;
}

/*
 * Stores the index of a name that the table lacks. The name must outlive the
 * table.
 */
static void
table_add(struct table *table, uint32_t scope, struct lstr name, uint32_t index)
{
	struct key *key = &table->keys[table->used];

	assert(table->used < table->size);
	table->used++;
	key->scope = scope;
	key->name = name;
	g_hash_table_insert(table->hash, key, GUINT_TO_POINTER(index + 1));
}

/*
 * Sets the message "list[position].field: text" and returns STATUS_INVALID.
 * field may be NULL.
 */
static enum status __attribute__((format(printf, 3, 4)))
refuse(const struct where *where, const char *field, const char *format, ...)
{
	char text[ERROR_MAX];
	char position[32] = "";
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (where->position != NO_POSITION)
		snprintf(position, sizeof(position), "[%zu]", where->position);
	return status_set(STATUS_INVALID, "%s%s%s%s: %s", where->list, position,
	    field ? "." : "", field ? field : "", text);
}

/*
 * Returns the JSON type of a value in words.
 */
static const char *
type_name(const json_t *json)
{
	switch (json_typeof(json)) {
	case JSON_OBJECT:
		return "an object";
	case JSON_ARRAY:
		return "a list";
	case JSON_STRING:
		return "a string";
	case JSON_INTEGER:
		return "a whole number";
	case JSON_REAL:
		return "a number with a fraction";
	case JSON_TRUE:
	case JSON_FALSE:
		return "a truth value";
	case JSON_NULL:
		break;
	}
	return "null";
}

/*
 * Tells whether a text may be a name. Names stand in keys of the key-value
 * service, in URLs and in log lines, so they need no quoting anywhere.
 */
static bool
is_name(struct lstr s)
{
	if (s.len == 0 || s.len > INV_NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (!g_ascii_isalnum(s.data[i]) && s.data[i] != '.' &&
		    s.data[i] != '_' && s.data[i] != '-')
			return false;
	}
	return true;
}

/*
 * Checks an "ip:port" with a port above 0.
 */
static bool
is_address(const char *text)
{
	char *host = NULL;
	uint16_t port = 0;

	if (settings_split_address(text, &host, &port) != STATUS_OK)
		return false;
	free(host);
	return port != 0;
}

/*
 * Checks a text field.
 */
static enum status
decode_text(
    const struct where *where, const struct field *field, struct value *value)
{
	struct lstr s = value->text;

	if (field->kind == FIELD_ADDRESS) {
		if (is_address(s.data))
			return STATUS_OK;
		return refuse(where, field->name,
		    "'%.64s' is not ip:port with a port from 1 to 65535",
		    s.data);
	}
	if (field->kind == FIELD_WORD) {
		for (int i = 0; i < 2; i++) {
			value->number = i;
			if (lstr_equal_c(s, field->words[i]))
				return STATUS_OK;
		}
		return refuse(where, field->name, "'%.64s' is not '%s' or '%s'",
		    s.data, field->words[0], field->words[1]);
	}
	if (field->kind == FIELD_OPERATION && lstr_equal_c(s, OPERATION_ANY))
		return STATUS_OK;
	if (is_name(s))
		return STATUS_OK;
	return refuse(where, field->name,
	    "'%.64s' is not a name of 1 to %d characters of A-Z a-z 0-9 . _ -",
	    s.data, INV_NAME_MAX_BYTES);
}

/*
 * Decodes one field of an entity.
 */
static enum status
decode_field(const struct where *where, const struct field *field,
    const json_t *json, struct value *value)
{
	value->set = true;
	if (field->kind == FIELD_INT) {
		if (!json_is_integer(json))
			return refuse(where, field->name,
			    "must be a whole number, not %s", type_name(json));
		value->number = json_integer_value(json);
		if (value->number >= field->min && value->number <= field->max)
			return STATUS_OK;
		return refuse(where, field->name,
		    "%lld is out of range; %lld to %lld is allowed",
		    (long long)value->number, (long long)field->min,
		    (long long)field->max);
	}
	if (field->kind == FIELD_BOOL) {
		value->number = json_is_true(json);
		if (json_is_boolean(json))
			return STATUS_OK;
		return refuse(where, field->name,
		    "must be true or false, not %s", type_name(json));
	}
	if (!json_is_string(json))
		return refuse(where, field->name, "must be a string, not %s",
		    type_name(json));
	value->text =
	    lstr_make(json_string_value(json), json_string_length(json));
	return decode_text(where, field, value);
}

/*
 * Decodes an entity in one pass over its fields. values has count elements
 * and borrows texts from the document.
 */
static enum status
decode(const struct where *where, const struct field *fields, size_t count,
    const json_t *json, struct value *values)
{
	const char *name;
	json_t *member;

	memset(values, 0, count * sizeof(*values));
	if (!json_is_object(json))
		return refuse(
		    where, NULL, "must be an object, not %s", type_name(json));
	json_object_foreach((json_t *)json, name, member)
	{
		enum status status;
		size_t i = 0;

		while (i < count && strcmp(fields[i].name, name) != 0)
			i++;
		if (i == count)
			return refuse(where, name, "unknown field");
		status = decode_field(where, &fields[i], member, &values[i]);
		if (status != STATUS_OK)
			return status;
	}
	for (size_t i = 0; i < count; i++) {
		if (fields[i].required && !values[i].set)
			return refuse(where, fields[i].name, "is missing");
	}
	return STATUS_OK;
}

/*
 * Copies a text into the memory of the configuration.
 */
static char *
keep(struct inv *inv, struct lstr s)
{
	return g_string_chunk_insert_len(
	    inv->index->strings, s.data, (gssize)s.len);
}

/*
 * Copies a name into the configuration and enters it into a table. A name
 * that is there already is an error.
 */
static enum status
add_name(struct inv *inv, struct table *table, const struct where *where,
    const char *field, struct lstr name, char **out)
{
	uint32_t other = table_find(table, 0, name);

	if (other != INV_NONE)
		return refuse(where, field,
		    "'%.64s' is a duplicate of %s[%u].%s", name.data,
		    where->list, other, field);
	*out = keep(inv, name);
	table_add(
	    table, 0, lstr_make(*out, name.len), (uint32_t)where->position);
	return STATUS_OK;
}

/*
 * Finds what a field refers to.
 */
static enum status
resolve(const struct table *table, const struct where *where, const char *field,
    const char *what, struct lstr name, uint32_t *out)
{
	*out = table_find(table, 0, name);
	if (*out != INV_NONE)
		return STATUS_OK;
	return refuse(where, field, "no %s is named '%.64s'", what, name.data);
}

/*
 * Reads one place.
 */
static enum status
parse_place(struct inv *inv, const struct where *where, const json_t *json)
{
	struct inv_place *place = &inv->places[where->position];
	struct value v[PLACE_FIELDS];
	enum status status = decode(where, place_fields, PLACE_FIELDS, json, v);

	if (status != STATUS_OK)
		return status;
	place->region = keep(inv, v[PLACE_REGION].text);
	return add_name(inv, &inv->index->places, where, "name",
	    v[PLACE_NAME].text, &place->name);
}

/*
 * Returns the scope under which a link is stored; it is the same for both
 * directions.
 */
static uint32_t
link_scope(uint32_t a, uint32_t b)
{
	return a < b ? a * INV_PLACES_MAX + b : b * INV_PLACES_MAX + a;
}

/*
 * Reads one link.
 */
static enum status
parse_link(struct inv *inv, const struct where *where, const json_t *json)
{
	struct inv_link *link = &inv->links[where->position];
	struct inv_index *index = inv->index;
	struct value v[LINK_FIELDS];
	enum status status = decode(where, link_fields, LINK_FIELDS, json, v);
	uint32_t scope;
	uint32_t other;

	if (status == STATUS_OK)
		status = resolve(&index->places, where, "from", "place",
		    v[LINK_FROM].text, &link->from);
	if (status == STATUS_OK)
		status = resolve(&index->places, where, "to", "place",
		    v[LINK_TO].text, &link->to);
	if (status != STATUS_OK)
		return status;
	link->latency_usec = v[LINK_LATENCY].number;
	link->mbps = v[LINK_MBPS].number;
	scope = link_scope(link->from, link->to);
	other = table_find(&index->links, scope, lstr_from(""));
	if (other != INV_NONE)
		return refuse(
		    where, NULL, "joins the same places as links[%u]", other);
	table_add(
	    &index->links, scope, lstr_from(""), (uint32_t)where->position);
	return STATUS_OK;
}

/*
 * Reads one service.
 */
static enum status
parse_service(struct inv *inv, const struct where *where, const json_t *json)
{
	struct inv_service *service = &inv->services[where->position];
	struct value v[SERVICE_FIELDS];
	enum status status =
	    decode(where, service_fields, SERVICE_FIELDS, json, v);

	if (status != STATUS_OK)
		return status;
	service->kind = v[SERVICE_KIND].number == 0 ? INV_PIPELINE : INV_PLAIN;
	service->layers =
	    v[SERVICE_LAYERS].set ? (uint32_t)v[SERVICE_LAYERS].number : 1;
	service->window_usec = v[SERVICE_WINDOW].number * USEC_PER_MSEC;
	if (service->kind == INV_PIPELINE && !v[SERVICE_LAYERS].set)
		return refuse(where, "layers", "is missing for a pipeline");
	if (service->kind == INV_PLAIN && service->layers != 1)
		return refuse(where, "layers",
		    "%u is not allowed; a plain service has 1 layer",
		    service->layers);
	return add_name(inv, &inv->index->services, where, "name",
	    v[SERVICE_NAME].text, &service->name);
}

/*
 * Reads one kind of accelerator.
 */
static enum status
parse_accelerator(
    struct inv *inv, const struct where *where, const json_t *json)
{
	struct inv_accelerator *accelerator =
	    &inv->accelerators[where->position];
	struct value v[ACCELERATOR_FIELDS];
	enum status status =
	    decode(where, accelerator_fields, ACCELERATOR_FIELDS, json, v);

	if (status != STATUS_OK)
		return status;
	accelerator->layer_usec = v[ACCELERATOR_LAYER].number;
	return add_name(inv, &inv->index->accelerators, where, "kind",
	    v[ACCELERATOR_KIND].text, &accelerator->kind);
}

/*
 * Checks the layers of an instance against its service.
 */
static enum status
check_layers(const struct inv *inv, const struct where *where,
    const struct value *v, struct inv_instance *instance)
{
	const struct inv_service *service = &inv->services[instance->service];

	instance->first = (uint32_t)v[INSTANCE_FIRST].number;
	instance->last = (uint32_t)v[INSTANCE_LAST].number;
	if (service->kind == INV_PIPELINE && !v[INSTANCE_FIRST].set)
		return refuse(where, "first",
		    "is missing; service '%s' is a pipeline", service->name);
	if (service->kind == INV_PIPELINE && !v[INSTANCE_LAST].set)
		return refuse(where, "last",
		    "is missing; service '%s' is a pipeline", service->name);
	if (instance->last >= service->layers)
		return refuse(where, "last",
		    "%u is out of range; the last layer of service '%s' is %u",
		    instance->last, service->name, service->layers - 1);
	if (instance->first > instance->last)
		return refuse(where, "first", "%u is above last, which is %u",
		    instance->first, instance->last);
	return STATUS_OK;
}

/*
 * Finds the replica of an instance, or creates it.
 */
static void
join_replica(struct inv *inv, struct inv_instance *instance, struct lstr name)
{
	struct table *table = &inv->index->replicas;
	struct inv_replica *replica;

	instance->replica = table_find(table, instance->service, name);
	if (instance->replica == INV_NONE) {
		instance->replica = inv->replica_count++;
		replica = &inv->replicas[instance->replica];
		replica->name = keep(inv, name);
		replica->service = instance->service;
		table_add(table, instance->service,
		    lstr_make(replica->name, name.len), instance->replica);
	}
	inv->replicas[instance->replica].instance_count++;
}

/*
 * Finds the entities that an instance refers to.
 */
static enum status
resolve_instance(const struct inv *inv, const struct where *where,
    const struct value *v, struct inv_instance *instance)
{
	const struct inv_index *index = inv->index;
	enum status status;

	instance->accelerator = INV_NONE;
	status = resolve(&index->places, where, "place", "place",
	    v[INSTANCE_PLACE].text, &instance->place);
	if (status == STATUS_OK)
		status = resolve(&index->services, where, "service", "service",
		    v[INSTANCE_SERVICE].text, &instance->service);
	if (status == STATUS_OK && v[INSTANCE_ACCELERATOR].set)
		status = resolve(&index->accelerators, where, "accelerator",
		    "accelerator", v[INSTANCE_ACCELERATOR].text,
		    &instance->accelerator);
	return status;
}

/*
 * Reads one instance.
 */
static enum status
parse_instance(struct inv *inv, const struct where *where, const json_t *json)
{
	struct inv_instance *instance = &inv->instances[where->position];
	struct value v[INSTANCE_FIELDS];
	enum status status =
	    decode(where, instance_fields, INSTANCE_FIELDS, json, v);

	if (status == STATUS_OK)
		status = resolve_instance(inv, where, v, instance);
	if (status == STATUS_OK)
		status = check_layers(inv, where, v, instance);
	if (status == STATUS_OK)
		status = add_name(inv, &inv->index->instances, where, "name",
		    v[INSTANCE_NAME].text, &instance->name);
	if (status != STATUS_OK)
		return status;
	instance->address = keep(inv, v[INSTANCE_ADDRESS].text);
	instance->count =
	    v[INSTANCE_COUNT].set ? (uint32_t)v[INSTANCE_COUNT].number : 1;
	instance->leaving = v[INSTANCE_STATE].number == 1;
	instance->checks_fencing = v[INSTANCE_FENCING].number == 1;
	join_replica(inv, instance, v[INSTANCE_REPLICA].text);
	return STATUS_OK;
}

/*
 * Reads one organisation.
 */
static enum status
parse_organisation(
    struct inv *inv, const struct where *where, const json_t *json)
{
	struct inv_organisation *organisation =
	    &inv->organisations[where->position];
	struct value v[ORGANISATION_FIELDS];
	enum status status =
	    decode(where, organisation_fields, ORGANISATION_FIELDS, json, v);

	if (status != STATUS_OK)
		return status;
	organisation->priority = (uint32_t)v[ORGANISATION_PRIORITY].number;
	organisation->weight = (uint32_t)v[ORGANISATION_WEIGHT].number;
	organisation->max_concurrent =
	    (uint32_t)v[ORGANISATION_CONCURRENT].number;
	return add_name(inv, &inv->index->organisations, where, "name",
	    v[ORGANISATION_NAME].text, &organisation->name);
}

/*
 * Reads one rule about a request.
 */
static enum status
parse_request(struct inv *inv, const struct where *where, const json_t *json)
{
	struct inv_request_rule *rule = &inv->requests[where->position];
	struct table *table = &inv->index->requests;
	struct value v[REQUEST_FIELDS];
	struct lstr operation;
	enum status status =
	    decode(where, request_fields, REQUEST_FIELDS, json, v);

	if (status == STATUS_OK)
		status = resolve(&inv->index->services, where, "service",
		    "service", v[REQUEST_SERVICE].text, &rule->service);
	if (status != STATUS_OK)
		return status;
	operation = v[REQUEST_OPERATION].text;
	if (table_find(table, rule->service, operation) != INV_NONE)
		return refuse(where, "operation",
		    "'%.64s' is a duplicate of requests[%u].operation",
		    operation.data,
		    table_find(table, rule->service, operation));
	rule->operation = keep(inv, operation);
	rule->idempotent = v[REQUEST_IDEMPOTENT].number == 1;
	table_add(table, rule->service,
	    lstr_make(rule->operation, operation.len),
	    (uint32_t)where->position);
	return STATUS_OK;
}

/*
 * Reads the defaults.
 */
static enum status
parse_defaults(struct inv *inv, const json_t *rules)
{
	const struct where where = {"defaults", NO_POSITION};
	const json_t *json = json_object_get(rules, "defaults");
	struct value v[DEFAULTS_FIELDS];
	enum status status;

	if (json == NULL)
		return refuse(&where, NULL, "is missing");
	status = decode(&where, defaults_fields, DEFAULTS_FIELDS, json, v);
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
    struct inv *, const struct where *, const json_t *);

/* One list of a document and how to read it. */
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

/* In the order in which the entities refer to each other. */
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
    LIST("requests", request, false, INV_REQUESTS_MAX, parse_request)};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/*
 * Reads one list of a document into its array and its lookup table.
 */
static enum status
parse_list(struct inv *inv, const struct list *list, const json_t *document)
{
	const json_t *json = json_object_get(document, list->name);
	void **array = (void **)((char *)inv + list->array_offset);
	uint32_t *count = (uint32_t *)((char *)inv + list->count_offset);
	struct where where = {list->name, NO_POSITION};
	size_t size = json_array_size(json);
	enum status status = STATUS_OK;

	if (json == NULL && list->required)
		return refuse(&where, NULL, "is missing");
	if (json != NULL && !json_is_array(json))
		return refuse(
		    &where, NULL, "must be a list, not %s", type_name(json));
	if (size > list->max)
		return refuse(&where, NULL,
		    "%zu entries are too many; at most %zu are allowed", size,
		    list->max);
	table_init(
	    (struct table *)((char *)inv->index + list->table_offset), size);
	*array = g_malloc0_n(size, list->entity_bytes);
	if (list->parse == parse_instance) {
		inv->replicas = g_new0(struct inv_replica, size);
		table_init(&inv->index->replicas, size);
	}
	for (where.position = 0; where.position < size && status == STATUS_OK;
	     where.position++)
		status = list->parse(
		    inv, &where, json_array_get(json, where.position));
	*count = (uint32_t)size;
	return status;
}

/*
 * Refuses fields of a document that are neither one of its lists nor the
 * extra field, which may be NULL.
 */
static enum status
check_document(const char *what, const json_t *document,
    const struct list *lists, size_t count, const char *extra)
{
	const struct where where = {what, NO_POSITION};
	const char *name;
	json_t *member;

	if (!json_is_object(document))
		return refuse(&where, NULL, "must be an object, not %s",
		    document ? type_name(document) : "absent");
	json_object_foreach((json_t *)document, name, member)
	{
		size_t i = 0;

		while (i < count && strcmp(lists[i].name, name) != 0)
			i++;
		if (i == count && (extra == NULL || strcmp(extra, name) != 0))
			return refuse(&where, name, "unknown field");
	}
	return STATUS_OK;
}

/*
 * Orders instances by first layer, last layer and name.
 */
static gint
compare_members(gconstpointer a, gconstpointer b, gpointer data)
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
 * Fills the instance lists of the replicas. The order inside a replica does
 * not depend on the order in the document, so that every process sees the
 * same first instance whatever the way the configuration was joined.
 */
static void
fill_replicas(struct inv *inv)
{
	uint32_t *next = g_new(uint32_t, inv->instance_count);

	inv->index->members = next;
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
		    compare_members, inv);
		replica->place = inv->instances[replica->instances[0]].place;
	}
}

/*
 * Checks that a chain of instances of a replica leads from layer 0 to the
 * last layer without gap or overlap. The instances are sorted by first layer,
 * so one pass finds every boundary that a chain can reach.
 */
static enum status
check_chain(const struct inv *inv, const struct inv_replica *replica)
{
	const struct inv_service *service = &inv->services[replica->service];
	struct where where = {"instances", replica->instances[0]};
	bool reached[INV_LAYERS_MAX + 1] = {true};
	uint32_t farthest = 0;

	for (uint32_t i = 0; i < replica->instance_count; i++) {
		const struct inv_instance *instance =
		    &inv->instances[replica->instances[i]];

		if (!reached[instance->first])
			continue;
		reached[instance->last + 1] = true;
		if (instance->last + 1 > farthest)
			farthest = instance->last + 1;
	}
	if (reached[service->layers])
		return STATUS_OK;
	return refuse(&where, "replica",
	    "no chain of the instances of replica '%s' covers layers 0 to %u "
	    "of service '%s' without gap or overlap; none continues at layer "
	    "%u",
	    replica->name, service->layers - 1, service->name, farthest);
}

/*
 * Reads both documents into an empty configuration.
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
		status = check_chain(inv, &inv->replicas[i]);
	for (size_t i = 0; i < COUNT_OF(rules_lists) && status == STATUS_OK;
	     i++)
		status = parse_list(inv, &rules_lists[i], rules);
	return status == STATUS_OK ? parse_defaults(inv, rules) : status;
}

/*
 * Reads a JSON text; what names it in errors ("inventory", "rules").
 * Duplicate keys are refused with their line. The caller releases the value
 * with json_decref().
 */
enum status
inv_load(struct lstr text, const char *what, json_t **out)
{
	json_error_t error;

	if (text.len > INV_TEXT_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "%s: %zu bytes are too many; at most %zu are allowed", what,
		    text.len, INV_TEXT_MAX_BYTES);
	*out = json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, &error);
	if (*out != NULL)
		return STATUS_OK;
	return status_set(STATUS_INVALID, "%s: line %d, column %d: %s", what,
	    error.line, error.column, error.text);
}

/*
 * Checks an inventory and rules and builds the tables. On STATUS_INVALID the
 * message says where and what, and nothing is returned. The caller frees the
 * result with inv_destroy(); it keeps nothing of the documents. Its revision
 * is 0 until the caller sets it.
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
		table_free((struct table *)((char *)inv->index +
		    inventory_lists[i].table_offset));
	for (size_t i = 0; i < COUNT_OF(rules_lists); i++)
		table_free((struct table *)((char *)inv->index +
		    rules_lists[i].table_offset));
	table_free(&inv->index->replicas);
	g_string_chunk_free(inv->index->strings);
	g_free(inv->index->members);
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

/*
 * Returns the index of a place, or INV_NONE.
 */
uint32_t
inv_find_place(const struct inv *inv, struct lstr name)
{
	return table_find(&inv->index->places, 0, name);
}

/*
 * Returns the index of a service, or INV_NONE.
 */
uint32_t
inv_find_service(const struct inv *inv, struct lstr name)
{
	return table_find(&inv->index->services, 0, name);
}

/*
 * Returns the index of an instance, or INV_NONE.
 */
uint32_t
inv_find_instance(const struct inv *inv, struct lstr name)
{
	return table_find(&inv->index->instances, 0, name);
}

/*
 * Returns the index of a replica of a service, or INV_NONE.
 */
uint32_t
inv_find_replica(
    const struct inv *inv, struct lstr service, struct lstr replica)
{
	uint32_t scope = inv_find_service(inv, service);

	if (scope == INV_NONE)
		return INV_NONE;
	return table_find(&inv->index->replicas, scope, replica);
}

/*
 * Gives the priority, weight and limit of an organisation. One that the rules
 * do not name gets the defaults and a NULL name, or STATUS_DENIED unless the
 * defaults allow unknown ones. The name belongs to the configuration.
 */
enum status
inv_organisation_for(
    const struct inv *inv, struct lstr name, struct inv_organisation *out)
{
	uint32_t i = table_find(&inv->index->organisations, 0, name);

	if (i != INV_NONE) {
		*out = inv->organisations[i];
		return STATUS_OK;
	}
	if (!inv->defaults.allow_unknown)
		return status_set(STATUS_DENIED,
		    "no organisation is named '%.*s'",
		    (int)MIN(name.len, INV_NAME_MAX_BYTES), name.data);
	out->name = NULL;
	out->priority = inv->defaults.priority;
	out->weight = inv->defaults.weight;
	out->max_concurrent = inv->defaults.max_concurrent;
	return STATUS_OK;
}

/*
 * Returns the claim window of a service in microseconds.
 */
int64_t
inv_claim_window(const struct inv_service *service)
{
	return service->window_usec > 0 ? service->window_usec
					: INV_WINDOW_DEFAULT_USEC;
}

/*
 * Tells whether an operation of a service may be repeated: by the rule that
 * names it, else by the rule for "*", else it may.
 */
bool
inv_is_idempotent(
    const struct inv *inv, uint32_t service, struct lstr operation)
{
	const struct table *table = &inv->index->requests;
	uint32_t i = table_find(table, service, operation);

	if (i == INV_NONE)
		i = table_find(table, service, lstr_from(OPERATION_ANY));
	return i == INV_NONE || inv->requests[i].idempotent;
}

/*
 * Returns the one-way latency between two places in microseconds. Without a
 * link it is assumed from whether they are the same place or region.
 */
int64_t
inv_link_latency(const struct inv *inv, uint32_t a, uint32_t b)
{
	uint32_t i =
	    table_find(&inv->index->links, link_scope(a, b), lstr_from(""));

	if (i != INV_NONE)
		return inv->links[i].latency_usec;
	if (a == b)
		return INV_LATENCY_PLACE_USEC;
	if (strcmp(inv->places[a].region, inv->places[b].region) == 0)
		return INV_LATENCY_REGION_USEC;
	return INV_LATENCY_FAR_USEC;
}
