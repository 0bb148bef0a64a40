#ifndef CH_PLAIN_H
#define CH_PLAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "fetch.h"
#include "loop.h"
#include "lstr.h"

/* A call to a plain service. Strings are borrowed for the duration of start. */
struct plain_request {
	struct lstr address;
	struct lstr request;
	struct lstr operation;
	struct lstr body;
	struct lstr key;
	uint64_t fence;
	int64_t deadline;
	/* The call must not be repeated; a new connection is used. */
	bool once;
};

struct plain_result {
	/*
	 * STATUS_OK: the answer is complete. STATUS_UNAVAILABLE with maybe_run
	 * false: the call did not run. Any other value: the call may have run.
	 */
	enum status status;
	bool maybe_run;
	bool leaving;
	uint32_t http_status;
	struct lstr body;
};

struct plain_call;

typedef void (*plain_done_fn)(const struct plain_result *, void *);

struct plain;

/*
 * start sends a call. fn is called exactly once, from the event loop, unless
 * the call is cancelled. cancel closes the connection; the call may still have
 * run.
 */
struct plain_vtable {
	enum status (*start)(struct plain *, const struct plain_request *,
	    plain_done_fn, void *, struct plain_call **);
	void (*cancel)(struct plain *, struct plain_call *);
	void (*destroy)(struct plain *);
};

struct plain {
	const struct plain_vtable *vtable;
};

enum status plain_http_create(struct loop *, struct fetch *, struct plain **);

#endif
