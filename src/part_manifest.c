#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "part.h"

/*
 * Creates the manifest of a set. The caller frees it with
 * part_manifest_destroy().
 */
struct part_manifest *
part_manifest_create(
    const struct part_set *set, uint64_t revision, const char *change_id)
{
	struct part_manifest *manifest = g_new0(struct part_manifest, 1);

	manifest->revision = revision;
	manifest->change_id = g_strdup(change_id);
	manifest->entries = g_new0(struct part_manifest_entry, set->count + 1);
	manifest->count = set->count;
	for (size_t i = 0; i < set->count; i++) {
		manifest->entries[i].name = g_strdup(set->items[i]->name);
		memcpy(manifest->entries[i].digest, set->items[i]->digest,
		    PART_DIGEST_BYTES);
	}
	return manifest;
}

/*
 * Frees a manifest.
 */
void
part_manifest_destroy(struct part_manifest *manifest)
{
	if (manifest == NULL)
		return;
	for (size_t i = 0; i < manifest->count; i++)
		g_free(manifest->entries[i].name);
	g_free(manifest->entries);
	for (size_t i = 0; i < manifest->history_count; i++)
		g_free(manifest->history[i]);
	g_free(manifest->change_id);
	g_free(manifest);
}

/*
 * Fills the history of a new manifest from its predecessor: it keeps the change
 * ids of the last PART_HISTORY_MAX revisions, so that an operator whose
 * response was lost can find out that a change was accepted even after further
 * changes.
 */
void
part_manifest_inherit_history(
    struct part_manifest *manifest, const struct part_manifest *previous)
{
	g_assert(manifest->history_count == 0);
	manifest->history[manifest->history_count++] =
	    g_strdup(previous->change_id);
	for (size_t i = 0; i < previous->history_count &&
	     manifest->history_count < PART_HISTORY_MAX;
	     i++)
		manifest->history[manifest->history_count++] =
		    g_strdup(previous->history[i]);
}

/*
 * Returns the revision as which a change was accepted, or 0 when neither the
 * manifest nor its history contains it.
 */
uint64_t
part_manifest_find_change(
    const struct part_manifest *manifest, const char *change_id)
{
	if (strcmp(manifest->change_id, change_id) == 0)
		return manifest->revision;
	for (size_t i = 0; i < manifest->history_count; i++) {
		if (strcmp(manifest->history[i], change_id) == 0)
			return manifest->revision - 1 - i;
	}
	return 0;
}

/*
 * Returns whether the manifest still lists the change that was accepted as the
 * given revision.
 */
bool
part_manifest_covers_revision(
    const struct part_manifest *manifest, uint64_t revision)
{
	return revision <= manifest->revision &&
	    manifest->revision - revision <= manifest->history_count;
}

/*
 * Returns a manifest as JSON:
 * {"revision":N,"change":ID,"history":[ID],"parts":{NAME:DIGEST}}. Digests are
 * in hexadecimal; the history starts with the revision before this one.
 */
json_t *
part_manifest_to_json(const struct part_manifest *manifest)
{
	json_t *parts = json_object();
	json_t *history = json_array();

	for (size_t i = 0; i < manifest->history_count; i++)
		json_array_append_new(
		    history, json_string(manifest->history[i]));
	for (size_t i = 0; i < manifest->count; i++) {
		char hex[PART_DIGEST_HEX_SIZE];

		part_digest_to_hex(manifest->entries[i].digest, hex);
		json_object_set_new(
		    parts, manifest->entries[i].name, json_string(hex));
	}
	return json_pack("{s:I,s:s,s:o,s:o}", "revision",
	    (json_int_t)manifest->revision, "change", manifest->change_id,
	    "history", history, "parts", parts);
}

/*
 * Compares two manifest entries by name for qsort().
 */
static int
compare_manifest_entries(const void *a, const void *b)
{
	return strcmp(((const struct part_manifest_entry *)a)->name,
	    ((const struct part_manifest_entry *)b)->name);
}

/*
 * Parses one entry of a manifest.
 */
static enum status
parse_manifest_entry(
    struct part_manifest *manifest, const char *name, const json_t *json)
{
	struct part_manifest_entry *entry = &manifest->entries[manifest->count];
	const char *hex = json_string_value(json);
	size_t len = 0;

	if (hex == NULL || strlen(hex) != PART_DIGEST_HEX_SIZE - 1 ||
	    strlen(name) > PART_NAME_MAX_BYTES ||
	    sodium_hex2bin(entry->digest, PART_DIGEST_BYTES, hex, strlen(hex),
		NULL, &len, NULL) != 0 ||
	    len != PART_DIGEST_BYTES)
		return status_set(STATUS_INVALID,
		    "manifest: parts.%.96s is not a digest", name);
	entry->name = g_strdup(name);
	manifest->count++;
	return STATUS_OK;
}

/*
 * Parses the change ids of earlier revisions.
 */
static enum status
parse_history(struct part_manifest *manifest, const json_t *history)
{
	size_t i;
	json_t *item;

	if (!json_is_array(history) ||
	    json_array_size(history) > PART_HISTORY_MAX ||
	    json_array_size(history) >= manifest->revision)
		return status_set(STATUS_INVALID,
		    "manifest: history is not a list of at most %d change ids",
		    PART_HISTORY_MAX);
	json_array_foreach(history, i, item)
	{
		if (!json_is_string(item) ||
		    json_string_length(item) > PART_CHANGE_ID_MAX_BYTES)
			return status_set(STATUS_INVALID,
			    "manifest: history[%zu] is not a change id", i);
		manifest->history[manifest->history_count++] =
		    g_strdup(json_string_value(item));
	}
	return STATUS_OK;
}

/*
 * Parses a manifest. The caller frees it with part_manifest_destroy().
 * STATUS_INVALID: the JSON is not a valid manifest.
 */
enum status
part_manifest_from_json(const json_t *json, struct part_manifest **out)
{
	struct part_manifest *manifest;
	enum status status = STATUS_OK;
	json_int_t revision = 0;
	const char *change = NULL;
	json_t *parts = NULL;
	json_t *history = NULL;
	const char *name;
	json_t *member;

	if (json_unpack((json_t *)json, "{s:I,s:s,s:o,s:o!}", "revision",
		&revision, "change", &change, "history", &history, "parts",
		&parts) != 0 ||
	    revision <= 0 || !json_is_object(parts) ||
	    strlen(change) > PART_CHANGE_ID_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "manifest: revision, change, history and parts are needed");
	if (json_object_size(parts) > PART_COUNT_MAX)
		return status_set(STATUS_INVALID,
		    "manifest: %zu parts are too many; at most %d are allowed",
		    json_object_size(parts), PART_COUNT_MAX);
	manifest = g_new0(struct part_manifest, 1);
	manifest->revision = (uint64_t)revision;
	manifest->change_id = g_strdup(change);
	manifest->entries =
	    g_new0(struct part_manifest_entry, json_object_size(parts) + 1);
	status = parse_history(manifest, history);
	json_object_foreach(parts, name, member)
	{
		if (status == STATUS_OK)
			status = parse_manifest_entry(manifest, name, member);
	}
	if (status != STATUS_OK) {
		part_manifest_destroy(manifest);
		return status;
	}
	qsort(manifest->entries, manifest->count,
	    sizeof(struct part_manifest_entry), compare_manifest_entries);
	*out = manifest;
	return STATUS_OK;
}

/*
 * Computes the changes from one manifest to another: parts that are new or have
 * a different digest, and parts that were removed. Both manifests must outlive
 * the result, which is freed with part_diff_free().
 */
void
part_diff_init(struct part_diff *diff, const struct part_manifest *from,
    const struct part_manifest *to)
{
	size_t i = 0;
	size_t j = 0;

	memset(diff, 0, sizeof(*diff));
	diff->changed =
	    g_new0(const struct part_manifest_entry *, to->count + 1);
	diff->removed =
	    g_new0(const struct part_manifest_entry *, from->count + 1);
	while (i < from->count || j < to->count) {
		int order = i == from->count ? 1
		    : j == to->count
		    ? -1
		    : strcmp(from->entries[i].name, to->entries[j].name);

		if (order < 0) {
			diff->removed[diff->removed_count++] =
			    &from->entries[i++];
			continue;
		}
		if (order > 0 ||
		    memcmp(from->entries[i].digest, to->entries[j].digest,
			PART_DIGEST_BYTES) != 0)
			diff->changed[diff->changed_count++] = &to->entries[j];
		if (order == 0)
			i++;
		j++;
	}
}

/*
 * Frees the lists of a difference.
 */
void
part_diff_free(struct part_diff *diff)
{
	g_free(diff->changed);
	g_free(diff->removed);
	memset(diff, 0, sizeof(*diff));
}
