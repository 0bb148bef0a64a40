#ifndef CH_ATTEMPTS_H
#define CH_ATTEMPTS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The attempts of one request. A route limits on how many servers a request may
 * run. An attempt counts towards that limit from the moment it is sent until
 * its server states that the request has not run, or the process that it was
 * sent to is known to have ended since. That a server is silent, slow, avoided
 * or no longer listed proves neither: a sound server may be silent for a
 * second, and one that has left the list may still serve.
 */

/* Limit of attempts per request, whatever became of them; ends loops of
 * refusals. */
#define ATTEMPTS_MAX 5

struct pool_server;

struct attempt {
	struct pool_server *server;
	/* The server states that the request has not run there. */
	bool not_run;
	/* The server had shown no sign of having ended when the attempt was
	 * sent. Otherwise a process that is not listed yet may run it. */
	bool process_known;
};

struct attempts {
	/* In the order in which they were sent. */
	struct attempt list[ATTEMPTS_MAX];
	uint32_t count;
};

void attempts_add(struct attempts *, struct pool_server *);
void attempts_note_not_run(struct attempts *);
struct pool_server *attempts_last(const struct attempts *);
uint32_t attempts_count_runs(const struct attempts *);
bool attempts_may_add(const struct attempts *, uint32_t runs_max);

#endif
