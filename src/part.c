#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>
#include <xxhash.h>

#include "inventory.h"
#include "part.h"

/*
 * Maximum average number of entities per shard. An instance takes about 155
 * bytes and an organisation about 72, so full shards hold 9 KB and 7 KB. The
 * number of shards is a power of two: shards are between half full and full,
 * and when a place outgrows its shards, each of them is split into two. With
 * half as many entities per shard, the manifest of a full-size configuration
 * has 62 KB, which costs each watcher 3.5 KB/s at 3,700 changes a day.
 */
#define INSTANCES_PER_SHARD 60
#define ORGANISATIONS_PER_SHARD 100
#define SET_SIZE_MIN 64

#define PREFIX_INSTANCES "instances/"
#define PREFIX_ORGANISATIONS "organisations/"
#define PART_RULES "rules"

/* A list of a document and the fields by which its entries are sorted. */
struct list_sort {
	const char *name;
	const char *primary;
	const char *secondary;
};

/* Lists that are stored as one part each. */
static const struct list_sort unsharded_lists[] = {{"places", "name", NULL},
    {"links", "from", "to"}, {"services", "name", NULL},
    {"accelerators", "kind", NULL}};

static const struct list_sort instances_by_place = {
    "instances", "place", "name"};
static const struct list_sort instances_by_name = {"instances", "name", NULL};
static const struct list_sort organisations_by_name = {
    "organisations", "name", NULL};
static const struct list_sort requests_by_service = {
    "requests", "service", "operation"};

#define UNSHARDED_COUNT (sizeof(unsharded_lists) / sizeof(unsharded_lists[0]))

/* An entry of a list with its sort keys. */
struct entry {
	const char *primary;
	const char *secondary;
	json_t *json;
};

/*
 * Computes the digest of a content: BLAKE2b with PART_DIGEST_BYTES bytes.
 */
void
part_digest(struct lstr content, uint8_t digest[PART_DIGEST_BYTES])
{
	crypto_generichash(digest, PART_DIGEST_BYTES,
	    (const unsigned char *)content.data, content.len, NULL, 0);
}

/*
 * Writes a digest in hexadecimal, as used in the key of a part.
 */
void
part_digest_to_hex(
    const uint8_t digest[PART_DIGEST_BYTES], char hex[PART_DIGEST_HEX_SIZE])
{
	sodium_bin2hex(hex, PART_DIGEST_HEX_SIZE, digest, PART_DIGEST_BYTES);
}

/*
 * Creates a part with one reference. content is copied; it must be JSON of at
 * most PART_MAX_BYTES without duplicate keys.
 */
enum status
part_create(struct lstr name, struct lstr content, struct part **out)
{
	struct part *part;
	json_error_t error;
	json_t *json;

	if (name.len == 0 || name.len > PART_NAME_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "name of a part with %zu characters", name.len);
	if (content.len > PART_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "part %.*s has %zu bytes; at most %zu are allowed",
		    LSTR_ARG(name), content.len, PART_MAX_BYTES);
	json = json_loadb(
	    content.data, content.len, JSON_REJECT_DUPLICATES, &error);
	if (json == NULL)
		return status_set(STATUS_INVALID,
		    "part %.*s: line %d, column %d: %s", LSTR_ARG(name),
		    error.line, error.column, error.text);
	part = g_new0(struct part, 1);
	part->references = 1;
	part->name = g_strndup(name.data, name.len);
	part->content = g_strndup(content.data, content.len);
	part->len = content.len;
	part->json = json;
	part_digest(content, part->digest);
	*out = part;
	return STATUS_OK;
}

/*
 * Adds a reference.
 */
struct part *
part_ref(struct part *part)
{
	part->references++;
	return part;
}

/*
 * Releases a reference and frees the part with the last one.
 */
void
part_unref(struct part *part)
{
	if (part == NULL || --part->references > 0)
		return;
	json_decref(part->json);
	g_free(part->name);
	g_free(part->content);
	g_free(part);
}

/*
 * Creates an empty set.
 */
struct part_set *
part_set_create(void)
{
	return g_new0(struct part_set, 1);
}

/*
 * Creates a set that references the same parts.
 */
struct part_set *
part_set_copy(const struct part_set *set)
{
	struct part_set *copy = part_set_create();

	copy->items = g_new(struct part *, set->count + 1);
	copy->size = set->count + 1;
	copy->count = set->count;
	for (size_t i = 0; i < set->count; i++)
		copy->items[i] = part_ref(set->items[i]);
	return copy;
}

/*
 * Frees a set and releases its references.
 */
void
part_set_destroy(struct part_set *set)
{
	if (set == NULL)
		return;
	for (size_t i = 0; i < set->count; i++)
		part_unref(set->items[i]);
	g_free(set->items);
	g_free(set);
}

/*
 * Compares a C string with a length-counted string in the order of strcmp().
 */
static int
compare_names(const char *a, struct lstr b)
{
	size_t len = strlen(a);
	int order = memcmp(a, b.data, MIN(len, b.len));

	if (order != 0 || len == b.len)
		return order;
	return len < b.len ? -1 : 1;
}

/*
 * Returns the index of a name in a set, or the index at which to insert it.
 */
static size_t
find_position(const struct part_set *set, struct lstr name)
{
	size_t low = 0;
	size_t high = set->count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (compare_names(set->items[middle]->name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns the part with a name as a borrowed reference, or NULL.
 */
struct part *
part_set_find(const struct part_set *set, struct lstr name)
{
	size_t i = find_position(set, name);

	if (i < set->count && compare_names(set->items[i]->name, name) == 0)
		return set->items[i];
	return NULL;
}

/*
 * Adds a part to a set; it replaces a part with the same name. Takes over the
 * caller's reference in any case. STATUS_FULL: the set holds PART_COUNT_MAX
 * parts.
 */
enum status
part_set_put(struct part_set *set, struct part *part)
{
	struct lstr name = lstr_from(part->name);
	size_t i = find_position(set, name);

	if (i < set->count && compare_names(set->items[i]->name, name) == 0) {
		part_unref(set->items[i]);
		set->items[i] = part;
		return STATUS_OK;
	}
	if (set->count == PART_COUNT_MAX) {
		part_unref(part);
		return status_set(STATUS_FULL,
		    "more than %d parts are not allowed", PART_COUNT_MAX);
	}
	if (set->count == set->size) {
		set->size = set->size ? 2 * set->size : SET_SIZE_MIN;
		set->items = g_renew(struct part *, set->items, set->size);
	}
	memmove(&set->items[i + 1], &set->items[i],
	    (set->count - i) * sizeof(struct part *));
	set->items[i] = part;
	set->count++;
	return STATUS_OK;
}

/*
 * Removes the part with a name, if there is one.
 */
void
part_set_remove(struct part_set *set, struct lstr name)
{
	size_t i = find_position(set, name);

	if (i == set->count || compare_names(set->items[i]->name, name) != 0)
		return;
	part_unref(set->items[i]);
	set->count--;
	memmove(&set->items[i], &set->items[i + 1],
	    (set->count - i) * sizeof(struct part *));
}

/*
 * Returns the total content size of a set in bytes.
 */
size_t
part_set_bytes(const struct part_set *set)
{
	size_t bytes = 0;

	for (size_t i = 0; i < set->count; i++)
		bytes += set->items[i]->len;
	return bytes;
}

/*
 * Computes a digest over the names and digests of all parts of a set. Two
 * processes compare it to find out whether they hold the same configuration.
 */
void
part_set_digest(
    const struct part_set *set, uint8_t digest[PART_SET_DIGEST_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, PART_SET_DIGEST_BYTES);
	for (size_t i = 0; i < set->count; i++) {
		const struct part *part = set->items[i];

		crypto_generichash_update(&state,
		    (const unsigned char *)part->name, strlen(part->name) + 1);
		crypto_generichash_update(
		    &state, part->digest, PART_DIGEST_BYTES);
	}
	crypto_generichash_final(&state, digest, PART_SET_DIGEST_BYTES);
}

/*
 * Returns the string value of a field, or "" when there is none.
 */
static const char *
string_field(const json_t *json, const char *field)
{
	const char *text =
	    field ? json_string_value(json_object_get(json, field)) : NULL;

	return text ? text : "";
}

/*
 * Compares two entries by their sort keys for qsort().
 */
static int
compare_entries(const void *a, const void *b)
{
	const struct entry *x = a;
	const struct entry *y = b;
	int order = strcmp(x->primary, y->primary);

	return order ? order : strcmp(x->secondary, y->secondary);
}

/*
 * Returns the sorted entries of a list, borrowed from the list. The caller
 * frees the array with g_free().
 */
static struct entry *
sort_entries(const json_t *list, const struct list_sort *order, size_t *count)
{
	struct entry *entries;

	*count = json_array_size(list);
	entries = g_new(struct entry, *count + 1);
	for (size_t i = 0; i < *count; i++) {
		entries[i].json = json_array_get(list, i);
		entries[i].primary =
		    string_field(entries[i].json, order->primary);
		entries[i].secondary =
		    string_field(entries[i].json, order->secondary);
	}
	qsort(entries, *count, sizeof(*entries), compare_entries);
	return entries;
}

/*
 * Returns a new list with the entries of one of a document's lists in sorted
 * order.
 */
static json_t *
sorted_list(const json_t *document, const struct list_sort *order)
{
	size_t count = 0;
	struct entry *entries =
	    sort_entries(json_object_get(document, order->name), order, &count);
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append(list, entries[i].json);
	g_free(entries);
	return list;
}

/*
 * Adds a part whose content is the canonical JSON of a value: without spaces,
 * keys sorted.
 */
static enum status
add_json_part(struct part_set *set, const char *name, const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	struct part *part = NULL;
	enum status status;

	if (text == NULL)
		return status_set(STATUS_NO_MEMORY, "part %s", name);
	status = part_create(lstr_from(name), lstr_from(text), &part);
	free(text);
	return part != NULL ? part_set_put(set, part) : status;
}

/*
 * Returns the number of shards for a number of entities: the smallest power of
 * two for which a shard holds at most per_shard entities on average.
 */
static size_t
shard_count(size_t entities, size_t per_shard)
{
	size_t count = 1;

	while (entities > count * per_shard)
		count *= 2;
	return count;
}

/*
 * Adds the shards of a list of entries sorted by name. The shard of an entry
 * depends on its name only, so changing one entry changes one part.
 */
static enum status
add_shards(struct part_set *set, const char *prefix,
    const struct entry *entries, size_t count, size_t per_shard)
{
	size_t shards = shard_count(count, per_shard);
	json_t **lists = g_new0(json_t *, shards);
	enum status status = STATUS_OK;

	for (size_t i = 0; i < count; i++) {
		const char *name = string_field(entries[i].json, "name");
		size_t shard = XXH3_64bits(name, strlen(name)) & (shards - 1);

		if (lists[shard] == NULL)
			lists[shard] = json_array();
		json_array_append(lists[shard], entries[i].json);
	}
	for (size_t i = 0; i < shards; i++) {
		char name[PART_NAME_MAX_BYTES + 1];

		if (lists[i] == NULL)
			continue;
		snprintf(name, sizeof(name), "%s%03zx", prefix, i);
		if (status == STATUS_OK)
			status = add_json_part(set, name, lists[i]);
		json_decref(lists[i]);
	}
	g_free(lists);
	return status;
}

/*
 * Adds the shards of the instances, one place at a time.
 */
static enum status
add_instances(struct part_set *set, const json_t *inventory)
{
	size_t count = 0;
	struct entry *entries =
	    sort_entries(json_object_get(inventory, instances_by_place.name),
		&instances_by_place, &count);
	enum status status = STATUS_OK;
	size_t start = 0;

	while (start < count && status == STATUS_OK) {
		char prefix[PART_NAME_MAX_BYTES];
		size_t end = start;

		while (end < count &&
		    strcmp(entries[end].primary, entries[start].primary) == 0)
			end++;
		snprintf(prefix, sizeof(prefix), "%s%s/", PREFIX_INSTANCES,
		    entries[start].primary);
		status = add_shards(set, prefix, &entries[start], end - start,
		    INSTANCES_PER_SHARD);
		start = end;
	}
	g_free(entries);
	return status;
}

/*
 * Adds the shards of the organisations.
 */
static enum status
add_organisations(struct part_set *set, const json_t *rules)
{
	size_t count = 0;
	struct entry *entries =
	    sort_entries(json_object_get(rules, organisations_by_name.name),
		&organisations_by_name, &count);
	enum status status = add_shards(
	    set, PREFIX_ORGANISATIONS, entries, count, ORGANISATIONS_PER_SHARD);

	g_free(entries);
	return status;
}

/*
 * Adds the part with the request rules and the defaults.
 */
static enum status
add_rules(struct part_set *set, const json_t *rules)
{
	json_t *json = json_object();
	enum status status;

	json_object_set_new(
	    json, "requests", sorted_list(rules, &requests_by_service));
	json_object_set(json, "defaults", json_object_get(rules, "defaults"));
	status = add_json_part(set, PART_RULES, json);
	json_decref(json);
	return status;
}

/*
 * Splits documents that inv_parse() has accepted into parts. The result does
 * not depend on the order of entities or keys in the documents. The caller
 * frees the set with part_set_destroy(). STATUS_INVALID: a part would exceed
 * PART_MAX_BYTES.
 */
enum status
part_split(const json_t *inventory, const json_t *rules, struct part_set **out)
{
	struct part_set *set = part_set_create();
	enum status status = STATUS_OK;

	for (size_t i = 0; i < UNSHARDED_COUNT && status == STATUS_OK; i++) {
		json_t *list = sorted_list(inventory, &unsharded_lists[i]);

		status = add_json_part(set, unsharded_lists[i].name, list);
		json_decref(list);
	}
	if (status == STATUS_OK)
		status = add_instances(set, inventory);
	if (status == STATUS_OK)
		status = add_organisations(set, rules);
	if (status == STATUS_OK)
		status = add_rules(set, rules);
	if (status != STATUS_OK) {
		part_set_destroy(set);
		return status;
	}
	*out = set;
	return STATUS_OK;
}

/*
 * Returns whether a name is that of a list stored as one part.
 */
static bool
is_unsharded(const char *name)
{
	for (size_t i = 0; i < UNSHARDED_COUNT; i++) {
		if (strcmp(unsharded_lists[i].name, name) == 0)
			return true;
	}
	return false;
}

/*
 * Adds the content of one part to the documents. The entities are shared with
 * the part, not copied.
 */
static enum status
join_part(const struct part *part, json_t *inventory, json_t *rules)
{
	int rc = -1;

	if (g_str_has_prefix(part->name, PREFIX_INSTANCES))
		rc = json_array_extend(
		    json_object_get(inventory, "instances"), part->json);
	else if (g_str_has_prefix(part->name, PREFIX_ORGANISATIONS))
		rc = json_array_extend(
		    json_object_get(rules, "organisations"), part->json);
	else if (strcmp(part->name, PART_RULES) == 0)
		rc = json_object_update(rules, part->json);
	else if (is_unsharded(part->name))
		rc = json_object_set(inventory, part->name, part->json);
	if (rc == 0)
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "part %s is unknown or has the wrong content", part->name);
}

/*
 * Joins parts into the two documents. The caller releases them with
 * json_decref() and must not change them, because they share entities with the
 * parts. The entities are in the order of the parts. The documents still have
 * to be validated by inv_parse(). STATUS_INVALID: a part is unknown.
 */
enum status
part_join(const struct part_set *set, json_t **inventory, json_t **rules)
{
	json_t *a = json_pack("{s:[]}", "instances");
	json_t *b = json_pack("{s:[]}", "organisations");
	enum status status = STATUS_OK;

	for (size_t i = 0; i < set->count && status == STATUS_OK; i++)
		status = join_part(set->items[i], a, b);
	if (status != STATUS_OK) {
		json_decref(a);
		json_decref(b);
		return status;
	}
	*inventory = a;
	*rules = b;
	return STATUS_OK;
}

/*
 * Sorts the entities of joined documents by name, to make them easier to read.
 */
void
part_sort_documents(json_t *inventory, json_t *rules)
{
	json_object_set_new(inventory, instances_by_name.name,
	    sorted_list(inventory, &instances_by_name));
	json_object_set_new(rules, organisations_by_name.name,
	    sorted_list(rules, &organisations_by_name));
}
