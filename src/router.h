#ifndef CH_ROUTER_H
#define CH_ROUTER_H

#include <jansson.h>

#include "engine.h"
#include "inventory.h"
#include "loop.h"
#include "plain.h"
#include "view.h"

#include "chestnuthoist.pb-c.h"

/*
 * A router schedules requests and keeps their state. Entries, engines, plain
 * services and the syncd are accessed through function tables.
 */
struct router;

/*
 * The connection to one entry. The router lists the requests of the entry in
 * jobs.
 */
struct router_entry;

struct router_entry_vtable {
	enum status (*send)(struct router_entry *, const Ch__Frame *);
};

struct router_entry {
	const struct router_entry_vtable *vtable;
	/* Stream number to struct job; created by router_entry_open(). */
	void *jobs;
};

/* The connection to the syncd of this node. */
struct router_syncd;

struct router_syncd_vtable {
	enum status (*send)(struct router_syncd *, const Ch__Frame *);
	bool (*is_up)(struct router_syncd *);
	bool (*instance_leaving)(struct router_syncd *, struct lstr);
};

struct router_syncd {
	const struct router_syncd_vtable *vtable;
};

/* All pointers are borrowed and must outlive the router. */
struct router_config {
	struct loop *loop;
	struct engine *engine;
	struct plain *plain;
	struct router_syncd *syncd;
	const char *node;
	const char *place;
	uint64_t boot;
	/* "ip:port" at which the router accepts connections from entries. */
	const char *address;
	uint32_t seed;
	uint32_t replica_concurrency;
	size_t queue_max;
	/* Limit of the memory of all open requests; 0: none. */
	size_t jobs_max_bytes;
	int64_t token_timeout_usec;
	int64_t load_interval_usec;
	/* Called once, when the drain is complete. */
	void (*on_drained)(void *);
	void *arg;
};

enum status router_create(const struct router_config *, struct router **);
void router_destroy(struct router *);

void router_entry_open(struct router *, struct router_entry *);
void router_on_entry_frame(
    struct router *, struct router_entry *, const Ch__Frame *);
void router_entry_close(struct router *, struct router_entry *);

void router_on_config(struct router *, const struct inv *);
void router_on_view(struct router *, const struct view *);
void router_on_instances(struct router *);
void router_on_syncd_frame(struct router *, const Ch__Frame *);
void router_on_syncd_up(struct router *);

bool router_is_ready(const struct router *);
void router_drain(struct router *);
json_t *router_dump(const struct router *);
size_t router_job_count(const struct router *);

#endif
