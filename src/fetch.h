#ifndef CH_FETCH_H
#define CH_FETCH_H

#include <stdbool.h>
#include <stdint.h>

#include "loop.h"
#include "lstr.h"

/* An HTTP client that runs on an event loop. */
struct fetch;
struct fetch_call;

/* Bytes of a response that count as progress. Fewer of them, sent now and then,
 * do not keep a call alive. */
#define FETCH_PROGRESS_BYTES ((size_t)16 * 1024)

struct fetch_result {
	/*
	 * STATUS_OK if a complete response with any HTTP status arrived,
	 * otherwise the reason for the failure.
	 */
	enum status status;
	long http_status;
	/* Empty if the data callback received the body. */
	struct lstr body;
	/* False only if certainly no byte of the request was sent. */
	bool maybe_sent;
};

/*
 * data receives parts of the response body; if it is NULL, the body is
 * collected for done. done is called once, from the loop, unless the call was
 * cancelled; the call is freed afterwards.
 */
struct fetch_ops {
	void (*data)(struct fetch_call *, struct lstr, void *);
	void (*done)(struct fetch_call *, const struct fetch_result *, void *);
};

struct fetch_request {
	const char *method;
	const char *url;
	/* Copied. Sent as JSON unless empty. */
	struct lstr body;
	/* NULL, or a NULL-terminated list of "Name: value"; copied. */
	const char *const *headers;
	/* In microseconds since the epoch; 0 for none. */
	int64_t deadline;
	/* While the response arrives, the deadline moves to this long after the
	 * last FETCH_PROGRESS_BYTES of it, up to the progress deadline; 0: it
	 * does not move. */
	int64_t progress_usec;
	int64_t progress_deadline;
	/* Uses a new connection, so that libcurl never resends the request. */
	bool once;
	/* Limit on a collected response body; 0 for the default. */
	size_t response_max_bytes;
};

enum status fetch_create(struct loop *, struct fetch **);
void fetch_destroy(struct fetch *);
enum status fetch_start(struct fetch *, const struct fetch_request *,
    const struct fetch_ops *, void *, struct fetch_call **);
void fetch_cancel(struct fetch_call *);
long fetch_http_status(const struct fetch_call *);
/* Value of a header of the response, valid until the call ends; empty if there
 * is none. Of several with that name, the last one. */
struct lstr fetch_header(const struct fetch_call *, const char *name);

#endif
