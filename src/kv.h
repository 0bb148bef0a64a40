#ifndef CH_KV_H
#define CH_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"
#include "loop.h"
#include "lstr.h"

/* Maximum size of a value in the key-value service. */
#define KV_VALUE_MAX_BYTES ((size_t)1024 * 1024)
/* Version of a key that does not exist. */
#define KV_VERSION_NONE 0

enum kv_kind {
	KV_GET,
	KV_PUT,
	KV_DELETE,
	KV_LIST,
	KV_LEASE_GRANT,
	KV_LEASE_RENEW,
	KV_WATCH,
	KV_KIND_COUNT
};

/* One key of a list or one event of a watch. Strings are borrowed. */
struct kv_item {
	struct lstr key;
	uint64_t version;
	struct lstr value;
	/* Watch only: the key was deleted. */
	bool deleted;
};

struct kv_result {
	/*
	 * STATUS_OK: done. STATUS_CONFLICT: the stored version differs from
	 * the expected one and is returned in version. An earlier transmission
	 * of the same write may be the cause, so the caller must read the key
	 * before it concludes that another client wrote it. STATUS_NOT_FOUND:
	 * no such key or lease. STATUS_UNAVAILABLE: definitely not done.
	 * STATUS_AMBIGUOUS: a write that may have taken effect, or may still
	 * do so. STATUS_EXPIRED: the start revision of a watch is too old, or
	 * the changes since then are too large for one response, and the caller
	 * must list again.
	 */
	enum status status;
	/*
	 * Counts how often the service has lost its newest changes; 0: it does
	 * not tell, or did not respond. Versions and revisions of two eras
	 * cannot be compared. Set for every status with a response.
	 */
	uint64_t era;
	/* get: version of the value; put: new version; conflict: stored one. */
	uint64_t version;
	struct lstr value;
	struct lstr lease;
	/*
	 * Only for list and watch. A client that lists and then watches starts
	 * the watch at the revision of the first page.
	 */
	const struct kv_item *items;
	size_t count;
	uint64_t revision;
	bool more;
	/* Bytes of the response that had been received. */
	size_t received_bytes;
};

typedef void (*kv_done_fn)(const struct kv_result *, void *);

struct kv;

/*
 * Each call invokes its callback exactly once, from the loop and never before
 * the call returns, unless the client is destroyed first. Strings passed in
 * need to be valid only until the call returns, results only until the
 * callback returns. Deadlines are in microseconds since the epoch and must be
 * set. A watch waits at the service until wait_until and returns no items if
 * nothing changed; its deadline must be later.
 */
struct kv_vtable {
	void (*get)(
	    struct kv *, struct lstr key, int64_t deadline, kv_done_fn, void *);
	/* Writes only if the stored version matches; lease may be empty. */
	void (*put)(struct kv *, struct lstr key, struct lstr value,
	    uint64_t version, struct lstr lease, int64_t deadline, kv_done_fn,
	    void *);
	void (*remove)(struct kv *, struct lstr key, uint64_t version,
	    int64_t deadline, kv_done_fn, void *);
	/* Returns the keys after the given one; empty for the first page. */
	void (*list)(struct kv *, struct lstr prefix, struct lstr after,
	    int64_t deadline, kv_done_fn, void *);
	void (*lease_grant)(struct kv *, int64_t ttl_usec, int64_t deadline,
	    kv_done_fn, void *);
	void (*lease_renew)(struct kv *, struct lstr lease, int64_t deadline,
	    kv_done_fn, void *);
	void (*watch)(struct kv *, struct lstr prefix, uint64_t after,
	    int64_t wait_until, int64_t deadline, kv_done_fn, void *);
	/* Cancels all calls without invoking callbacks; frees the client. */
	void (*destroy)(struct kv *);
};

struct kv {
	const struct kv_vtable *vtable;
};

/* The arguments of one call; its kind determines which are used. */
struct kv_args {
	/* The key, or the prefix of a list or a watch. */
	struct lstr key;
	/* List: start after this key. */
	struct lstr after_key;
	/* Put: the value in base64, null-terminated. */
	const char *value_base64;
	uint64_t version;
	/* Watch: return changes after this revision. */
	uint64_t after;
	struct lstr lease;
	int64_t ttl_msec;
	int64_t wait_msec;
};

/* HTTP request for one call, built by a protocol. */
struct kv_http_request {
	const char *method;
	/* Freed with g_free(). */
	char *path;
	/* A new reference, or NULL. */
	struct json_t *body;
};

/*
 * The parts of the client that depend on the HTTP protocol of a key-value
 * service: how requests are built, and the names of the fields in responses.
 */
struct kv_protocol {
	/* Builds the HTTP request of a call. */
	void (*build_request)(
	    enum kv_kind, const struct kv_args *, struct kv_http_request *);
	/* Maps the HTTP status of a response, other than 200, to a status. */
	enum status (*status)(enum kv_kind, long http_status);
	/* Reads the stored version from the response to a failed write. */
	uint64_t (*conflict_version)(const struct json_t *response);
	/* Field with the version of an item or of a completed write. */
	const char *version;
	/* Field with the revision of the service, in lists and watches. */
	const char *revision;
	/* Field that is true when a list has more pages. */
	const char *more;
	/*
	 * Event field that is true for a deleted key. NULL: a deleted key has
	 * a null value.
	 */
	const char *deleted;
	/* Header with the era of the service in each response; NULL: none. */
	const char *era_header;
};

bool kv_is_write(enum kv_kind);
char *kv_uri_escape(struct lstr, const char *allowed);

/*
 * Creates an HTTP client of the service at "ip:port"; the default protocol is
 * described in docs/design.md. The fetch client must outlive it.
 */
enum status kv_http_create(
    struct loop *, struct fetch *, const char *, struct kv **);
enum status kv_http_create_with_protocol(struct loop *, struct fetch *,
    const char *, const struct kv_protocol *, struct kv **);
int64_t kv_http_call_count(enum kv_kind);

#endif
