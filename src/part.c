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
 * Entities of one shard at most on average. An instance takes about 155
 * bytes and an organisation about 72, so that full shards hold 9 and 7 KB.
 * The number of shards is a power of two, so shards are between half full
 * and full, and a growing place splits each of its shards into two. With
 * half as many entities, the manifest of a full-size configuration has 62 KB,
 * which costs each watcher 3.5 KB/s at 3,700 changes a day.
 */
#define INSTANCES_PER_SHARD 60
#define ORGANISATIONS_PER_SHARD 100
#define SET_SIZE_MIN 64

#define PREFIX_INSTANCES "instances/"
#define PREFIX_ORGANISATIONS "organisations/"
#define PART_RULES "rules"

/* A list of a document and the fields that order its entries. */
struct list_order {
	const char *name;
	const char *major;
	const char *minor;
};

/* The lists that are one part each. */
static const struct list_order single_lists[] = {{"places", "name", NULL},
    {"links", "from", "to"}, {"services", "name", NULL},
    {"accelerators", "kind", NULL}};

static const struct list_order instances_order = {"instances", "place", "name"};
static const struct list_order instances_by_name = {"instances", "name", NULL};
static const struct list_order organisations_order = {
    "organisations", "name", NULL};
static const struct list_order requests_order = {
    "requests", "service", "operation"};

#define SINGLE_COUNT (sizeof(single_lists) / sizeof(single_lists[0]))

/* An entry of a list with the texts that order it. */
struct entry {
	const char *major;
	const char *minor;
	json_t *json;
};

/*
 * Computes the digest of a content: BLAKE2b of PART_DIGEST_BYTES.
 */
void
part_digest(struct lstr content, uint8_t digest[PART_DIGEST_BYTES])
{
	crypto_generichash(digest, PART_DIGEST_BYTES,
	    (const unsigned char *)content.data, content.len, NULL, 0);
}

/*
 * Writes a digest in hexadecimal digits, for the key of the part.
 */
void
part_digest_to_hex(
    const uint8_t digest[PART_DIGEST_BYTES], char hex[PART_DIGEST_HEX_SIZE])
{
	sodium_bin2hex(hex, PART_DIGEST_HEX_SIZE, digest, PART_DIGEST_BYTES);
}

/*
 * Creates a part with one reference from a copy of its content, which must be
 * JSON of at most PART_MAX_BYTES without duplicate keys.
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
 * Drops a reference and frees the part with the last one.
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
 * Creates a set with references to the same parts.
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
 * Frees a set and drops its references.
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
 * Orders a name and a length-counted name as strcmp() does.
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
 * Returns the position of a name in a set, or where it belongs.
 */
static size_t
set_position(const struct part_set *set, struct lstr name)
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
 * Returns the part of a name, borrowed, or NULL.
 */
struct part *
part_set_find(const struct part_set *set, struct lstr name)
{
	size_t i = set_position(set, name);

	if (i < set->count && compare_names(set->items[i]->name, name) == 0)
		return set->items[i];
	return NULL;
}

/*
 * Puts a part into a set in place of the one with its name. The set takes
 * over the caller's reference in any case. STATUS_FULL: the set holds
 * PART_COUNT_MAX parts.
 */
enum status
part_set_put(struct part_set *set, struct part *part)
{
	struct lstr name = lstr_from(part->name);
	size_t i = set_position(set, name);

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
 * Removes the part of a name, if there is one.
 */
void
part_set_remove(struct part_set *set, struct lstr name)
{
	size_t i = set_position(set, name);

	if (i == set->count || compare_names(set->items[i]->name, name) != 0)
		return;
	part_unref(set->items[i]);
	set->count--;
	memmove(&set->items[i], &set->items[i + 1],
	    (set->count - i) * sizeof(struct part *));
}

/*
 * Returns the bytes of all contents.
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
 * Computes a digest over the names and digests of a whole set, by which two
 * processes know that they hold the same configuration.
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
 * Returns the text of a field, or "" when there is none.
 */
static const char *
text_of(const json_t *json, const char *field)
{
	const char *text =
	    field ? json_string_value(json_object_get(json, field)) : NULL;

	return text ? text : "";
}

/*
 * Orders two entries.
 */
static int
compare_entries(const void *a, const void *b)
{
	const struct entry *x = a;
	const struct entry *y = b;
	int order = strcmp(x->major, y->major);

	return order ? order : strcmp(x->minor, y->minor);
}

/*
 * Returns the entries of a list in order, borrowed from the list; the caller
 * frees the array with g_free().
 */
static struct entry *
sort_entries(const json_t *list, const struct list_order *order, size_t *count)
{
	struct entry *entries;

	*count = json_array_size(list);
	entries = g_new(struct entry, *count + 1);
	for (size_t i = 0; i < *count; i++) {
		entries[i].json = json_array_get(list, i);
		entries[i].major = text_of(entries[i].json, order->major);
		entries[i].minor = text_of(entries[i].json, order->minor);
	}
	qsort(entries, *count, sizeof(*entries), compare_entries);
	return entries;
}

/*
 * Returns a new list with the entries of a document's list in order.
 */
static json_t *
sorted_list(const json_t *document, const struct list_order *order)
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
 * Adds a part with the canonical JSON of a value: without spaces, keys
 * sorted.
 */
static enum status
put_json(struct part_set *set, const char *name, const json_t *json)
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
 * Returns the number of shards for a number of entities: the smallest power
 * of two with which a shard holds no more than per_shard on average.
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
 * Adds the shards of entries that are sorted by name. The shard of an entry
 * depends on its name only, so a changed entry changes one part.
 */
static enum status
put_shards(struct part_set *set, const char *prefix,
    const struct entry *entries, size_t count, size_t per_shard)
{
	size_t shards = shard_count(count, per_shard);
	json_t **lists = g_new0(json_t *, shards);
	enum status status = STATUS_OK;

	for (size_t i = 0; i < count; i++) {
		const char *name = text_of(entries[i].json, "name");
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
			status = put_json(set, name, lists[i]);
		json_decref(lists[i]);
	}
	g_free(lists);
	return status;
}

/*
 * Adds the shards of the instances, place by place.
 */
static enum status
put_instances(struct part_set *set, const json_t *inventory)
{
	size_t count = 0;
	struct entry *entries =
	    sort_entries(json_object_get(inventory, instances_order.name),
		&instances_order, &count);
	enum status status = STATUS_OK;
	size_t start = 0;

	while (start < count && status == STATUS_OK) {
		char prefix[PART_NAME_MAX_BYTES];
		size_t end = start;

		while (end < count &&
		    strcmp(entries[end].major, entries[start].major) == 0)
			end++;
		snprintf(prefix, sizeof(prefix), "%s%s/", PREFIX_INSTANCES,
		    entries[start].major);
		status = put_shards(set, prefix, &entries[start], end - start,
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
put_organisations(struct part_set *set, const json_t *rules)
{
	size_t count = 0;
	struct entry *entries =
	    sort_entries(json_object_get(rules, organisations_order.name),
		&organisations_order, &count);
	enum status status = put_shards(
	    set, PREFIX_ORGANISATIONS, entries, count, ORGANISATIONS_PER_SHARD);

	g_free(entries);
	return status;
}

/*
 * Adds the part with the rules about requests and the defaults.
 */
static enum status
put_rules(struct part_set *set, const json_t *rules)
{
	json_t *json = json_object();
	enum status status;

	json_object_set_new(
	    json, "requests", sorted_list(rules, &requests_order));
	json_object_set(json, "defaults", json_object_get(rules, "defaults"));
	status = put_json(set, PART_RULES, json);
	json_decref(json);
	return status;
}

/*
 * Splits documents that inv_parse() has accepted into parts. The parts do not
 * depend on the order of entities or keys in the documents. The caller frees
 * the set with part_set_destroy(). STATUS_INVALID: a part would be larger
 * than PART_MAX_BYTES.
 */
enum status
part_split(const json_t *inventory, const json_t *rules, struct part_set **out)
{
	struct part_set *set = part_set_create();
	enum status status = STATUS_OK;

	for (size_t i = 0; i < SINGLE_COUNT && status == STATUS_OK; i++) {
		json_t *list = sorted_list(inventory, &single_lists[i]);

		status = put_json(set, single_lists[i].name, list);
		json_decref(list);
	}
	if (status == STATUS_OK)
		status = put_instances(set, inventory);
	if (status == STATUS_OK)
		status = put_organisations(set, rules);
	if (status == STATUS_OK)
		status = put_rules(set, rules);
	if (status != STATUS_OK) {
		part_set_destroy(set);
		return status;
	}
	*out = set;
	return STATUS_OK;
}

/*
 * Tells whether a part is one of the lists that are one part each.
 */
static bool
is_single(const char *name)
{
	for (size_t i = 0; i < SINGLE_COUNT; i++) {
		if (strcmp(single_lists[i].name, name) == 0)
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
	else if (is_single(part->name))
		rc = json_object_set(inventory, part->name, part->json);
	if (rc == 0)
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "part %s is unknown or has the wrong content", part->name);
}

/*
 * Joins parts to the two documents, which the caller releases with
 * json_decref() and must not change, because they share entities with the
 * parts. The entities stand in the order of the parts. The documents need a
 * check by inv_parse(). STATUS_INVALID: a part is unknown.
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
 * Puts the entities of joined documents in the order of their names, for
 * people who read them.
 */
void
part_sort_documents(json_t *inventory, json_t *rules)
{
	json_object_set_new(inventory, instances_by_name.name,
	    sorted_list(inventory, &instances_by_name));
	json_object_set_new(rules, organisations_order.name,
	    sorted_list(rules, &organisations_order));
}
