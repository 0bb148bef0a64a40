#ifndef CH_INVENTORY_PRIV_H
#define CH_INVENTORY_PRIV_H

#include <glib.h>

#include "inventory.h"

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
	/* One of two words; the number is 0 for the first, 1 for the second. */
	FIELD_WORD
};

struct inv_field {
	const char *name;
	enum inv_field_kind kind;
	bool required;
	int64_t min;
	int64_t max;
	const char *words[2];
};

/* One decoded field. */
struct inv_value {
	bool set;
	struct lstr text;
	int64_t number;
};

/* Where in a document an entity stands. */
struct inv_where {
	const char *list;
	size_t position;
};

/* A name within a scope; the scope is an index or 0. */
struct inv_key {
	uint32_t scope;
	struct lstr name;
};

struct inv_table {
	GHashTable *hash;
	struct inv_key *keys;
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
	/* Memory of the instance lists of all replicas. */
	uint32_t *members;
};

const char *inv_type_name(const json_t *);
enum status inv_refuse(const struct inv_where *, const char *field,
    const char *, ...) __attribute__((format(printf, 3, 4)));
enum status inv_decode(const struct inv_where *, const struct inv_field *,
    size_t, const json_t *, struct inv_value *);

void inv_table_init(struct inv_table *, size_t);
void inv_table_free(struct inv_table *);
uint32_t inv_table_find(const struct inv_table *, uint32_t, struct lstr);
void inv_table_add(struct inv_table *, uint32_t, struct lstr, uint32_t);
uint32_t inv_link_scope(uint32_t, uint32_t);

#endif
