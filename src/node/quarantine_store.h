#ifndef CH_QUARANTINE_STORE_H
#define CH_QUARANTINE_STORE_H

#include "kv.h"
#include "quarantine.h"
#include "store_position.h"

/*
 * Keeps the evidence against confirmed parts in one key of the store, for a
 * fleet whose nodes all start again: none of them then remembers what it
 * refused. The planner writes the key when the evidence changes or the store
 * has lost it, and all nodes read it.
 */

#define QUARANTINE_STORE_KEY "chestnuthoist/quarantine"
/* Time limit of a write, and the shortest time between two. */
#define QUARANTINE_STORE_CALL_USEC (800 * LOOP_USEC_PER_MSEC)
#define QUARANTINE_STORE_PAUSE_USEC (1000 * LOOP_USEC_PER_MSEC)

struct quarantine_store;

struct quarantine_store *quarantine_store_new(
    struct loop *, struct kv *, struct quarantine *);
void quarantine_store_free(struct quarantine_store *);
/* Reads the value of the key; revision 0: it was removed. */
void quarantine_store_read(
    struct quarantine_store *, struct lstr value, struct store_position);
/* Reports an era that the store stated. */
void quarantine_store_note_era(struct quarantine_store *, uint64_t era);
/* Writes the key if this node is the planner and the evidence has changed or
 * the store may have lost it. */
void quarantine_store_tick(struct quarantine_store *, bool is_planner);

#endif
