#include "harness.h"

#include <string.h>

#include "inventory.h"
#include "part.h"
#include "sample.h"

static const struct sample_size medium = {3, 120, 3, 300};

/*
 * Splits documents that are known to be valid.
 */
static struct part_set *
split(const json_t *inventory, const json_t *rules)
{
	struct part_set *set = NULL;

	ck_assert_int_eq(part_split(inventory, rules, &set), STATUS_OK);
	return set;
}

/*
 * Counts the parts that differ between two sets or exist in only one of them.
 */
static size_t
count_changed(const struct part_set *a, const struct part_set *b)
{
	struct part_manifest *from = part_manifest_create(a, 1, "x");
	struct part_manifest *to = part_manifest_create(b, 2, "y");
	struct part_diff diff;
	size_t count;

	part_diff_init(&diff, from, to);
	count = diff.changed_count + diff.removed_count;
	part_diff_free(&diff);
	part_manifest_destroy(from);
	part_manifest_destroy(to);
	return count;
}

/* Guards against entities that are lost or altered by splitting and joining. */
START_TEST(join_restores_split_documents)
{
	json_t *inventory = sample_inventory(&medium);
	json_t *rules = sample_rules(&medium);
	struct part_set *set = split(inventory, rules);
	json_t *a = NULL;
	json_t *b = NULL;

	ck_assert_int_eq(part_join(set, &a, &b), STATUS_OK);
	part_sort_documents(a, b);
	json_object_set_new(inventory, "links", json_array());
	ck_assert(json_equal(a, inventory));
	ck_assert(json_equal(b, rules));
	part_set_destroy(set);
}
END_TEST

/* Guards against sending many parts for a small change. */
START_TEST(changed_instance_changes_one_part)
{
	json_t *inventory = sample_inventory(&medium);
	json_t *rules = sample_rules(&medium);
	struct part_set *before = split(inventory, rules);
	struct part_set *after;

	sample_set_instance_address(inventory, 100, "10.9.9.9:1");
	after = split(inventory, rules);
	ck_assert_uint_gt(before->count, 10);
	ck_assert_uint_eq(count_changed(before, after), 1);
	part_set_destroy(before);
	part_set_destroy(after);
}
END_TEST

/*
 * Guards against a removed instance that changes the shards of other instances.
 */
START_TEST(removed_instance_changes_one_part)
{
	json_t *inventory = sample_inventory(&medium);
	json_t *rules = sample_rules(&medium);
	struct part_set *before = split(inventory, rules);
	struct part_set *after;

	json_array_remove(json_object_get(inventory, "instances"), 0);
	after = split(inventory, rules);
	ck_assert_uint_eq(count_changed(before, after), 1);
	part_set_destroy(before);
	part_set_destroy(after);
}
END_TEST

/* Guards against treating reordered entities as a change. */
START_TEST(order_of_entities_does_not_matter)
{
	json_t *inventory = sample_inventory(&medium);
	json_t *rules = sample_rules(&medium);
	struct part_set *before = split(inventory, rules);
	struct part_set *after;
	json_t *list = json_object_get(inventory, "instances");
	json_t *first = json_incref(json_array_get(list, 0));

	json_array_remove(list, 0);
	json_array_append_new(list, first);
	after = split(inventory, rules);
	ck_assert_uint_eq(count_changed(before, after), 0);
	part_set_destroy(before);
	part_set_destroy(after);
}
END_TEST

/* Guards against a manifest that is altered by conversion to and from JSON. */
START_TEST(manifest_survives_json)
{
	json_t *inventory = sample_inventory(&medium);
	json_t *rules = sample_rules(&medium);
	struct part_set *set = split(inventory, rules);
	struct part_manifest *a = part_manifest_create(set, 7, "change-1");
	struct part_manifest *b = NULL;
	json_t *json = part_manifest_to_json(a);

	ck_assert_int_eq(part_manifest_from_json(json, &b), STATUS_OK);
	ck_assert_uint_eq(b->revision, 7);
	ck_assert_str_eq(b->change_id, "change-1");
	ck_assert_uint_eq(b->count, set->count);
	for (size_t i = 0; i < b->count; i++) {
		ck_assert_str_eq(a->entries[i].name, b->entries[i].name);
		ck_assert_mem_eq(a->entries[i].digest, b->entries[i].digest,
		    PART_DIGEST_BYTES);
	}
	json_object_set_new(
	    json_object_get(json, "parts"), "rules", json_string("00"));
	part_manifest_destroy(b);
	ck_assert_int_eq(part_manifest_from_json(json, &b), STATUS_INVALID);
	json_decref(json);
	part_manifest_destroy(a);
	part_set_destroy(set);
}
END_TEST

HARNESS_MAIN("part", join_restores_split_documents,
    changed_instance_changes_one_part, removed_instance_changes_one_part,
    order_of_entities_does_not_matter, manifest_survives_json)
