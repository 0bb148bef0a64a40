#ifndef CH_ENGINE_H
#define CH_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"
#include "loop.h"
#include "lstr.h"

/* One stage of a route. Strings are borrowed for the duration of the call. */
struct engine_stage {
	struct lstr instance;
	struct lstr address;
	uint32_t first;
	uint32_t last;
};

struct engine_attempt {
	struct lstr request;
	uint32_t attempt;
	const struct engine_stage *stages;
	size_t stage_count;
	struct lstr prompt;
	const struct lstr *delivered;
	size_t delivered_count;
	uint32_t start;
	uint32_t max_tokens;
	uint32_t priority;
	int64_t deadline;
	uint64_t fence;
};

/* The part of a token's computation that one stage reports. */
struct engine_trail_step {
	struct lstr instance;
	uint32_t first;
	uint32_t last;
	uint32_t attempt;
	uint32_t position;
};

struct engine_token {
	struct lstr request;
	uint32_t attempt;
	uint32_t position;
	struct lstr text;
	const struct engine_trail_step *steps;
	size_t step_count;
	bool last;
};

/* How an attempt ended. */
struct engine_end {
	/*
	 * STATUS_OK: the stream ended normally. STATUS_UNAVAILABLE with
	 * maybe_run false: no part of the attempt ran.
	 */
	enum status status;
	bool maybe_run;
	/* The engine reported that it is leaving. */
	bool leaving;
};

struct engine_call;

/*
 * token is called for each token and may cancel the call. end is called exactly
 * once, unless the call was cancelled.
 */
struct engine_listener {
	void (*token)(
	    struct engine_call *, const struct engine_token *, void *);
	void (*end)(struct engine_call *, const struct engine_end *, void *);
};

struct engine_load {
	enum status status;
	uint32_t running;
	uint32_t queued;
	bool leaving;
};

typedef void (*engine_load_fn)(const struct engine_load *, void *);

struct engine;

/*
 * start sends the attempt to its first stage. cancel ends a call: it closes the
 * stream and notifies every stage without waiting for the answers. query_load
 * asks one instance for its load; fn is called exactly once, from the event
 * loop.
 */
struct engine_vtable {
	enum status (*start)(struct engine *, const struct engine_attempt *,
	    const struct engine_listener *, void *, struct engine_call **);
	void (*cancel)(struct engine *, struct engine_call *);
	enum status (*query_load)(struct engine *, struct lstr instance,
	    struct lstr address, int64_t deadline, engine_load_fn, void *);
	void (*destroy)(struct engine *);
};

struct engine {
	const struct engine_vtable *vtable;
};

enum status engine_http_create(struct loop *, struct fetch *, struct engine **);

#endif
