#include <assert.h>

#include <xxhash.h>

#include "inventory_priv.h"

/*
 * Hashes a key for GHashTable.
 */
static guint
key_hash(gconstpointer data)
{
	const struct inv_table_key *key = data;

	return (guint)XXH3_64bits_withSeed(
	    key->name.data, key->name.len, key->scope);
}

/*
 * Compares two keys for GHashTable.
 */
static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	const struct inv_table_key *x = a;
	const struct inv_table_key *y = b;

	return x->scope == y->scope && lstr_equal(x->name, y->name);
}

/*
 * Initializes a table for at most size keys.
 */
void
inv_table_init(struct inv_table *table, size_t size)
{
	table->hash = g_hash_table_new(key_hash, key_equal);
	table->keys = g_new(struct inv_table_key, size);
	table->size = size;
}

/*
 * Frees the memory of a table.
 */
void
inv_table_free(struct inv_table *table)
{
	if (table->hash != NULL)
		g_hash_table_destroy(table->hash);
	g_free(table->keys);
}

/*
 * Returns the index stored for a name, or INV_NONE.
 */
uint32_t
inv_table_find(const struct inv_table *table, uint32_t scope, struct lstr name)
{
	struct inv_table_key key = {scope, name};
	gpointer value = g_hash_table_lookup(table->hash, &key);

	return value == NULL ? INV_NONE : GPOINTER_TO_UINT(value) - 1;
}

/*
 * Adds a name that is not in the table yet. The name must outlive the table.
 */
void
inv_table_add(
    struct inv_table *table, uint32_t scope, struct lstr name, uint32_t index)
{
	struct inv_table_key *key = &table->keys[table->used];

	assert(table->used < table->size);
	table->used++;
	key->scope = scope;
	key->name = name;
	g_hash_table_insert(table->hash, key, GUINT_TO_POINTER(index + 1));
}

/*
 * Returns the scope under which a link is stored. It is the same for both
 * directions.
 */
uint32_t
inv_link_scope(uint32_t a, uint32_t b)
{
	return a < b ? a * INV_PLACES_MAX + b : b * INV_PLACES_MAX + a;
}

/*
 * Returns the index of a place, or INV_NONE.
 */
uint32_t
inv_find_place(const struct inv *inv, struct lstr name)
{
	return inv_table_find(&inv->index->places, 0, name);
}

/*
 * Returns the index of a service, or INV_NONE.
 */
uint32_t
inv_find_service(const struct inv *inv, struct lstr name)
{
	return inv_table_find(&inv->index->services, 0, name);
}

/*
 * Returns the index of an instance, or INV_NONE.
 */
uint32_t
inv_find_instance(const struct inv *inv, struct lstr name)
{
	return inv_table_find(&inv->index->instances, 0, name);
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
	return inv_table_find(&inv->index->replicas, scope, replica);
}

/*
 * Returns the priority, weight and limit of an organisation. An organisation
 * without a rule gets the defaults and a NULL name if the defaults allow
 * unknown organisations, else STATUS_DENIED. The name is owned by the
 * configuration.
 */
enum status
inv_lookup_organisation(
    const struct inv *inv, struct lstr name, struct inv_organisation *out)
{
	uint32_t i = inv_table_find(&inv->index->organisations, 0, name);

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
	return service->claim_window_usec > 0 ? service->claim_window_usec
					      : INV_CLAIM_WINDOW_DEFAULT_USEC;
}

/*
 * Returns whether an operation of a service may be repeated. The rule for the
 * operation takes precedence over the rule for "*"; without either, it may be
 * repeated.
 */
bool
inv_is_idempotent(
    const struct inv *inv, uint32_t service, struct lstr operation)
{
	const struct inv_table *table = &inv->index->requests;
	uint32_t i = inv_table_find(table, service, operation);

	if (i == INV_NONE)
		i = inv_table_find(table, service, lstr_from(OPERATION_ANY));
	return i == INV_NONE || inv->requests[i].idempotent;
}

/*
 * Returns the one-way latency between two places in microseconds. Without a
 * link, a default applies that depends on whether the places or their regions
 * are the same.
 */
int64_t
inv_link_latency(const struct inv *inv, uint32_t a, uint32_t b)
{
	uint32_t i = inv_table_find(
	    &inv->index->links, inv_link_scope(a, b), lstr_from(""));

	if (i != INV_NONE)
		return inv->links[i].latency_usec;
	if (a == b)
		return INV_LATENCY_SAME_PLACE_USEC;
	if (strcmp(inv->places[a].region, inv->places[b].region) == 0)
		return INV_LATENCY_SAME_REGION_USEC;
	return INV_LATENCY_OTHER_REGION_USEC;
}
