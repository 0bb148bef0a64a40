#ifndef CH_FETCH_H
#define CH_FETCH_H

#include <stdbool.h>
#include <stdint.h>

#include "loop.h"
#include "lstr.h"

/* An HTTP client on the loop of the process. */
struct fetch;
struct fetch_call;

struct fetch_result {
	/*
	 * STATUS_OK when a whole answer of any HTTP status arrived, else why
	 * not.
	 */
	enum status status;
	long http_status;
	/* Empty when the data callback took the body. */
	struct lstr body;
	/* False: it is certain that no byte of the request left. */
	bool maybe_sent;
};

/*
 * data may be NULL; then the body is collected. done is called once, from the
 * loop, unless the call was cancelled; the call is freed afterwards.
 */
struct fetch_ops {
	void (*data)(struct fetch_call *, struct lstr, void *);
	void (*done)(struct fetch_call *, const struct fetch_result *, void *);
};

struct fetch_request {
	const char *method;
	const char *url;
	/* Copied. JSON when not empty. */
	struct lstr body;
	/* NULL, or lines "Name: value" that end with NULL; copied. */
	const char *const *headers;
	/* 0 for none, else microseconds since the epoch. */
	int64_t deadline;
	/* Never reuses a connection, so the library never sends it twice. */
	bool once;
	size_t answer_max_bytes;
};

enum status fetch_create(struct loop *, struct fetch **);
void fetch_destroy(struct fetch *);
enum status fetch_start(struct fetch *, const struct fetch_request *,
    const struct fetch_ops *, void *, struct fetch_call **);
void fetch_cancel(struct fetch_call *);
long fetch_http_status(const struct fetch_call *);

#endif
