#ifndef CH_INVENTORY_PRIV_H
#define CH_INVENTORY_PRIV_H

#include <glib.h>

#include "inventory.h"

/* The error concerns the list or document itself, not one entry. */
#define NO_POSITION SIZE_MAX
/* The rule for all operations of a service. */
#define OPERATION_ANY "*"

enum inv_field_kind {
	FIELD_NAME,
	/* A name or "*". */
	FIELD_OPERATION,
	FIELD_ADDRESS,
	FIELD_INT,
	FIELD_BOOL,
	/* One of two strings; number is the index of the one given. */
	FIELD_ENUM
};

struct inv_field {
	const char *name;
	enum inv_field_kind kind;
	bool required;
	int64_t min;
	int64_t max;
	const char *enum_values[2];
};

/* The decoded value of a field. */
struct inv_value {
	bool is_set;
	struct lstr text;
	int64_t number;
};

/* The location of an entity in a document, for error messages. */
struct inv_location {
	const char *list;
	size_t position;
};

/*
 * A name within a scope: the index of a service, a pair of places as given by
 * inv_link_scope(), or 0 where names are globally unique.
 */
struct inv_table_key {
	uint32_t scope;
	struct lstr name;
};

/* Hash table from scope and name to the index of an entity. */
struct inv_table {
	GHashTable *hash;
	struct inv_table_key *keys;
	size_t used;
	size_t size;
};

struct inv_index {
	struct inv_table places;
	struct inv_table links;
	struct inv_table services;
	struct inv_table accelerators;
	struct inv_table instances;
	struct inv_table replicas;
	struct inv_table organisations;
	struct inv_table requests;
	GStringChunk *strings;
	/* Storage for the instance lists of all replicas. */
	uint32_t *replica_instances;
};

const char *inv_type_name(const json_t *);
enum status inv_invalid(const struct inv_location *, const char *field,
    const char *, ...) __attribute__((format(printf, 3, 4)));
enum status inv_decode(const struct inv_location *, const struct inv_field *,
    size_t, const json_t *, struct inv_value *);

void inv_table_init(struct inv_table *, size_t);
void inv_table_free(struct inv_table *);
uint32_t inv_table_find(const struct inv_table *, uint32_t, struct lstr);
void inv_table_add(struct inv_table *, uint32_t, struct lstr, uint32_t);
uint32_t inv_link_scope(uint32_t, uint32_t);

#endif
