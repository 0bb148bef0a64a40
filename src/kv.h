#ifndef CH_KV_H
#define CH_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"
#include "loop.h"
#include "lstr.h"

/* Largest value that the service holds. */
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

/* One key of a list or one change of a watch. Strings are borrowed. */
struct kv_item {
	struct lstr key;
	uint64_t version;
	struct lstr value;
	/* Watch only: the key no longer exists. */
	bool deleted;
};

struct kv_result {
	/*
	 * STATUS_OK: done. STATUS_CONFLICT: the stored version differs; it is
	 * in version. An earlier transmission of the same write may be the
	 * cause, so the caller reads the key before it concludes that somebody
	 * else wrote. STATUS_NOT_FOUND: no such key or lease.
	 * STATUS_UNAVAILABLE: certainly not done. STATUS_AMBIGUOUS: a write
	 * that may have taken effect, or may still do so. STATUS_EXPIRED: the
	 * revision of a watch is too old and the caller lists again.
	 */
	enum status status;
	/* get: of the value; put: the new one; conflict: the stored one. */
	uint64_t version;
	struct lstr value;
	struct lstr lease;
	/*
	 * list and watch. A client that lists and then watches uses the
	 * revision of its first page.
	 */
	const struct kv_item *items;
	size_t count;
	uint64_t revision;
	bool more;
};

typedef void (*kv_done_fn)(const struct kv_result *, void *);

struct kv;

/*
 * Each call ends with one call of the function, from the loop and never
 * before the call returns, unless the client is destroyed first. Strings are
 * borrowed for the call that takes them; results for the callback. Deadlines
 * are microseconds since the epoch and must be set. A watch waits at the
 * service until wait_until and ends with no items when nothing changed; its
 * deadline is later.
 */
struct kv_vtable {
	void (*get)(
	    struct kv *, struct lstr key, int64_t deadline, kv_done_fn, void *);
	/* Writes only over the given version; lease may be empty. */
	void (*put)(struct kv *, struct lstr key, struct lstr value,
	    uint64_t version, struct lstr lease, int64_t deadline, kv_done_fn,
	    void *);
	void (*remove)(struct kv *, struct lstr key, uint64_t version,
	    int64_t deadline, kv_done_fn, void *);
	/* Keys after the given one; empty for the first page. */
	void (*list)(struct kv *, struct lstr prefix, struct lstr after,
	    int64_t deadline, kv_done_fn, void *);
	void (*lease_grant)(struct kv *, int64_t ttl_usec, int64_t deadline,
	    kv_done_fn, void *);
	void (*lease_renew)(struct kv *, struct lstr lease, int64_t deadline,
	    kv_done_fn, void *);
	void (*watch)(struct kv *, struct lstr prefix, uint64_t after,
	    int64_t wait_until, int64_t deadline, kv_done_fn, void *);
	/* Ends all calls without their functions and frees the client. */
	void (*destroy)(struct kv *);
};

struct kv {
	const struct kv_vtable *vtable;
};

/* The arguments of one call; which are used depends on its kind. */
struct kv_args {
	/* The key, or the prefix of a list or a watch. */
	struct lstr key;
	/* List: keys after this one. */
	struct lstr after_key;
	/* Put: the value in base64, terminated. */
	const char *value_base64;
	uint64_t version;
	/* Watch: changes after this revision. */
	uint64_t after;
	struct lstr lease;
	int64_t ttl_msec;
	int64_t wait_msec;
};

/* One HTTP call as a protocol words it. path is freed with g_free(). */
struct kv_call_text {
	const char *method;
	char *path;
	/* A new reference, or NULL. */
	struct json_t *body;
};

/*
 * What differs between the HTTP protocols of key-value services: how calls are
 * worded, and the names of the fields of answers.
 */
struct kv_dialect {
	void (*word)(
	    enum kv_kind, const struct kv_args *, struct kv_call_text *);
	/* Maps an HTTP status other than 200 for calls that arrived. */
	enum status (*status)(enum kv_kind, long http_status);
	/* The stored version in the answer to a conditional write that failed.
	 */
	uint64_t (*conflict_version)(const struct json_t *answer);
	/* Version of an item, and of what a write made. */
	const char *version;
	/* Revision of the whole service in lists and watches. */
	const char *revision;
	const char *more;
	/* Event field that is true for a deleted key; NULL: its value is null.
	 */
	const char *deleted;
};

bool kv_is_write(enum kv_kind);
char *kv_escape(struct lstr, const char *keep);

/*
 * A client of the service at "ip:port" over HTTP; see docs/design.md. The
 * fetch client must outlive it.
 */
enum status kv_http_create(
    struct loop *, struct fetch *, const char *, struct kv **);
enum status kv_http_create_dialect(struct loop *, struct fetch *, const char *,
    const struct kv_dialect *, struct kv **);
int64_t kv_http_calls(enum kv_kind);

#endif
