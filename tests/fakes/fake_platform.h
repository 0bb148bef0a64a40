#ifndef CH_FAKE_PLATFORM_H
#define CH_FAKE_PLATFORM_H

#include "h1.h"

/*
 * A stand-in of the users' platform on the loop of a test: the store, layered
 * engines and plain servers, with faults that a test switches on.
 */
struct fake_platform;

/* What an engine or a plain server does with its next requests. */
enum fake_fault {
	FAKE_NONE,
	/* Engine: silent from the given event on, also to questions. */
	FAKE_DARK,
	/* Engine: breaks off in the middle of the given event. Plain: in the
	 * middle of the body. */
	FAKE_TORN,
	/* Plain: runs the request and closes without an answer. */
	FAKE_LOST,
	/* Plain: an answer to another request comes first. */
	FAKE_STRAY,
	/* Plain: answers 500. */
	FAKE_ERROR,
	/* Both: refuses, and states that it did not run. */
	FAKE_SHED
};

struct fake_platform *fake_platform_new(struct loop *, struct h1 *);
void fake_platform_free(struct fake_platform *);
uint16_t fake_platform_port(const struct fake_platform *);
/* Writes a configuration with one organisation that holds the key. */
void fake_platform_configure(
    struct fake_platform *, int version, const char *key);
/* The store answers nothing while it is silent. */
void fake_platform_set_silent(struct fake_platform *, bool silent);
/* All servers that run the last layers, or all plain ones, misbehave. */
void fake_platform_set_engine_fault(
    struct fake_platform *, enum fake_fault, unsigned int event);
void fake_platform_set_plain_fault(struct fake_platform *, enum fake_fault);
/* Events are this far apart. */
void fake_platform_set_pace(struct fake_platform *, int64_t usec);
/* How often a request ran at all servers together. */
unsigned int fake_platform_runs(const struct fake_platform *, const char *id);
/* Streams that are being written. */
unsigned int fake_platform_streams(const struct fake_platform *);
/* Whether some path was not complete; see LAYERS of the users' rules. */
unsigned int fake_platform_bad_paths(const struct fake_platform *);
/* Orders to go on along another path that were carried out. */
unsigned int fake_platform_reroutes(const struct fake_platform *);
/* Refuses such orders. */
void fake_platform_refuse_reroutes(struct fake_platform *);
/* The engine that misbehaves reports that it is about to leave. */
void fake_platform_drain_engine(struct fake_platform *);
/* The engine that misbehaves starts again empty and closes the connection of
 * each call to it. */
void fake_platform_restart_engine_deaf(struct fake_platform *);
/* Orders and questions that it got since. */
unsigned int fake_platform_deaf_orders(const struct fake_platform *);
unsigned int fake_platform_deaf_questions(const struct fake_platform *);
/* Running streams whose path uses the engine that misbehaves. */
unsigned int fake_platform_faulty_streams(const struct fake_platform *);
unsigned int fake_platform_keys_seen(const struct fake_platform *);
void fake_platform_forget(struct fake_platform *);

#endif
