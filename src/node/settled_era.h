#ifndef CH_SETTLED_ERA_H
#define CH_SETTLED_ERA_H

#include "kv.h"
#include "store_position.h"

/*
 * Keeps the settled era of the store in one of its keys: the highest era in
 * which a node has proved its configuration after the operator had time to
 * write again what a restore had lost. The key comes back from an older copy
 * with the rest of the store, so it is below the era of the store until the
 * restore is settled. A process that starts meanwhile could not tell the copy
 * from the current state otherwise. The planner writes the key once per era,
 * and every node reads it with its first list.
 */

#define SETTLED_ERA_KEY "chestnuthoist/era"
/* Time limit of a write, and the shortest time between two. */
#define SETTLED_ERA_CALL_USEC (800 * LOOP_USEC_PER_MSEC)
#define SETTLED_ERA_PAUSE_USEC (1000 * LOOP_USEC_PER_MSEC)

struct settled_era;

struct settled_era *settled_era_new(struct loop *, struct kv *);
void settled_era_free(struct settled_era *);
/* Reads the value of the key and returns the era in it; 0: it cannot be read.
 * Revision 0: the key was removed. */
uint64_t settled_era_read(
    struct settled_era *, struct lstr value, struct store_position);
/* The era in the key; 0: there is none. */
uint64_t settled_era_stored(const struct settled_era *);
/* Writes the key if this node is the planner and the era that it has settled is
 * higher than the one in the key; era 0: it has settled none. */
void settled_era_tick(struct settled_era *, bool is_planner, uint64_t era);

#endif
