#ifndef CH_INST_H
#define CH_INST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"
#include "loop.h"
#include "lstr.h"

/* Maximum instances in a response: as many as an inventory may have. */
#define INST_ITEMS_MAX 40000

/* One entry of the list. The name is borrowed. */
struct inst_item {
	struct lstr name;
	bool leaving;
};

/*
 * The platform's list of instances, which may be out of date.
 * STATUS_UNAVAILABLE: no usable response.
 */
struct inst_result {
	enum status status;
	const struct inst_item *items;
	size_t count;
};

typedef void (*inst_done_fn)(const struct inst_result *, void *);

/* A client of the platform's list of instances. */
struct inst;

/*
 * poll reads the whole list once. Its callback is invoked once, from the loop
 * and never before poll returns, unless the client is destroyed first. A poll
 * is ignored while another is in progress.
 */
struct inst_vtable {
	void (*poll)(struct inst *, int64_t deadline, inst_done_fn, void *);
	void (*destroy)(struct inst *);
};

struct inst {
	const struct inst_vtable *vtable;
};

enum status inst_http_create(
    struct loop *, struct fetch *, const char *, struct inst **);

#endif
