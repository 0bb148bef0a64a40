#ifndef CH_SOAK_CROWD_H
#define CH_SOAK_CROWD_H

#include "../node_fixture.h"

/* Clients that stop short: bodies without their end, silent connections, and
 * callers that leave before their answer. */
struct crowd;

struct crowd *crowd_new(struct loop *, struct h1 *, GRand *);
void crowd_free(struct crowd *);
/* Connects further clients to an address; key is that of their requests. */
void crowd_press(struct crowd *, const struct sockaddr_in *, const char *key);
/* Closes the connections of those that leave. */
void crowd_maintain(struct crowd *);
unsigned int crowd_count(const struct crowd *);

#endif
