#ifndef CH_INSTANCE_LIST_H
#define CH_INSTANCE_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"
#include "loop.h"
#include "lstr.h"

/* Maximum instances in a response: as many as an inventory may have. */
#define INSTANCE_LIST_ITEMS_MAX 40000

/* One entry of the list. The name is borrowed. */
struct instance_list_item {
	struct lstr name;
	bool leaving;
};

/*
 * The platform's list of instances, which may be out of date.
 * STATUS_UNAVAILABLE: no usable response.
 */
struct instance_list_result {
	enum status status;
	const struct instance_list_item *items;
	size_t count;
};

typedef void (*instance_list_done_fn)(
    const struct instance_list_result *, void *);

/* A client of the platform's list of instances. */
struct instance_list;

/*
 * poll reads the whole list once. Its callback is invoked once, from the loop
 * and never before poll returns, unless the client is destroyed first. A poll
 * is ignored while another is in progress.
 */
struct instance_list_vtable {
	void (*poll)(struct instance_list *, int64_t deadline,
	    instance_list_done_fn, void *);
	void (*destroy)(struct instance_list *);
};

struct instance_list {
	const struct instance_list_vtable *vtable;
};

enum status instance_list_http_create(
    struct loop *, struct fetch *, const char *, struct instance_list **);

#endif
