#ifndef CH_DEPARTURES_H
#define CH_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>

#include "loop.h"
#include "lstr.h"

/*
 * The backend servers that were seen to drain or to leave the list lately. If
 * the store comes back from an older copy, their entries may say again that
 * they are ready; they must not get new requests because of that.
 */

/* The copies from which the store comes back are some seconds old. */
#define DEPARTURES_KEEP_USEC (60 * LOOP_USEC_PER_SEC)

struct departures;

struct departures *departures_new(void);
void departures_free(struct departures *);
/* The process of a server that started at a time is draining or was removed. */
void departures_note(
    struct departures *, const char *id, int64_t born, int64_t now);
/* A server has written since that it is ready. */
void departures_forget(struct departures *, const char *id);
/* Whether that process, or a later one of the server, has left. */
bool departures_contain(
    const struct departures *, const char *id, int64_t born);

#endif
