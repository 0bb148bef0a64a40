#ifndef CH_PART_H
#define CH_PART_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "lstr.h"

/*
 * 128 bits keep the manifest small, which lists every part and is read by each
 * watcher at each change. An operator gains nothing from creating two contents
 * with the same digest, because operators may write any configuration anyway.
 */
#define PART_DIGEST_BYTES 16
#define PART_DIGEST_HEX_SIZE (2 * PART_DIGEST_BYTES + 1)
#define PART_SET_DIGEST_BYTES 32
#define PART_MAX_BYTES ((size_t)256 * 1024)
#define PART_COUNT_MAX 4096
#define PART_NAME_MAX_BYTES 96
#define PART_CHANGE_ID_MAX_BYTES 64
/* Earlier change ids in a manifest; 25 minutes at 3,700 changes a day. */
#define PART_HISTORY_MAX 64

/*
 * A named piece of a configuration; immutable and reference counted. content
 * is the canonical JSON text and json the same text in parsed form.
 */
struct part {
	unsigned int references;
	char *name;
	uint8_t digest[PART_DIGEST_BYTES];
	char *content;
	size_t len;
	json_t *json;
};

/* A set of parts, sorted by name. */
struct part_set {
	struct part **items;
	size_t count;
	size_t size;
};

/* Entry of a manifest: the name of a part and the digest of its content. */
struct part_manifest_entry {
	char *name;
	uint8_t digest[PART_DIGEST_BYTES];
};

/* The parts of a revision, sorted by name. */
struct part_manifest {
	uint64_t revision;
	char *change_id;
	struct part_manifest_entry *entries;
	size_t count;
	/* Change ids of earlier revisions, the latest first. */
	char *history[PART_HISTORY_MAX];
	size_t history_count;
};

/* The difference between two manifests; borrows entries from both. */
struct part_diff {
	const struct part_manifest_entry **changed;
	size_t changed_count;
	const struct part_manifest_entry **removed;
	size_t removed_count;
};

enum status part_create(struct lstr name, struct lstr content, struct part **);
struct part *part_ref(struct part *);
void part_unref(struct part *);
void part_digest(struct lstr, uint8_t[PART_DIGEST_BYTES]);
void part_digest_to_hex(
    const uint8_t[PART_DIGEST_BYTES], char[PART_DIGEST_HEX_SIZE]);

struct part_set *part_set_create(void);
struct part_set *part_set_copy(const struct part_set *);
void part_set_destroy(struct part_set *);
enum status part_set_put(struct part_set *, struct part *);
void part_set_remove(struct part_set *, struct lstr name);
struct part *part_set_find(const struct part_set *, struct lstr name);
size_t part_set_bytes(const struct part_set *);
void part_set_digest(const struct part_set *, uint8_t[PART_SET_DIGEST_BYTES]);

enum status part_split(
    const json_t *inventory, const json_t *rules, struct part_set **);
enum status part_join(
    const struct part_set *, json_t **inventory, json_t **rules);
void part_sort_documents(json_t *inventory, json_t *rules);

struct part_manifest *part_manifest_create(
    const struct part_set *, uint64_t revision, const char *change_id);
void part_manifest_destroy(struct part_manifest *);
void part_manifest_inherit_history(
    struct part_manifest *, const struct part_manifest *previous);
uint64_t part_manifest_find_change(const struct part_manifest *, const char *);
bool part_manifest_covers_revision(const struct part_manifest *, uint64_t);
json_t *part_manifest_to_json(const struct part_manifest *);
enum status part_manifest_from_json(const json_t *, struct part_manifest **);
void part_diff_init(struct part_diff *, const struct part_manifest *from,
    const struct part_manifest *to);
void part_diff_free(struct part_diff *);

#endif
