#ifndef CH_INST_H
#define CH_INST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"
#include "loop.h"
#include "lstr.h"

/* Largest number of instances that one answer of the list may hold. */
#define INST_MAX 65536

/* One row of the platform's list. The name is borrowed for the callback. */
struct inst_item {
	struct lstr name;
	bool leaving;
};

/* STATUS_OK with all rows, or why the list could not be read. */
struct inst_result {
	enum status status;
	const struct inst_item *items;
	size_t count;
};

typedef void (*inst_done_fn)(const struct inst_result *, void *);

struct inst_list;

/*
 * query reads the list once; fn is called once, from the loop, unless the
 * list is destroyed first. One query may be open at a time.
 */
struct inst_list_vtable {
	enum status (*query)(
	    struct inst_list *, int64_t deadline, inst_done_fn, void *);
	void (*destroy)(struct inst_list *);
};

struct inst_list {
	const struct inst_list_vtable *vtable;
};

enum status inst_http_create(
    struct fetch *, const char *address, struct inst_list **);

#endif
