#ifndef CH_DEMAND_H
#define CH_DEMAND_H

#include <stddef.h>
#include <stdint.h>

/*
 * Demand for the engines of one service by priority class, as memory for
 * requests. Load: a burst of several classes reaches dozens of nodes at once,
 * each of which sees only a few requests of each class in a second. A node
 * measures its own arrivals and use; the nodes exchange them in their reports,
 * and the sum shows how much memory each class will use and uses now.
 */

/* Number of priority classes; class 0 is the most urgent. */
#define DEMAND_CLASSES 8
/* Averaging time of the arrival rates. Reports are up to 0.2 s old, and a
 * burst lasts seconds. */
#define DEMAND_WINDOW_USEC ((int64_t)1000000)
/* Time for which a request holds its memory until the first one has ended. */
#define DEMAND_HOLD_DEFAULT_USEC ((int64_t)2500000)
/* Weight of the newest sample in the average of those times. */
#define DEMAND_HOLD_WEIGHT 0.05

/* One class: tokens of the requests that arrive in a second, of those that are
 * at servers, and of those that wait for room. */
struct demand_class {
	double tokens_per_sec;
	double tokens_in_use;
	double tokens_waiting;
};

struct demand_total {
	struct demand_class classes[DEMAND_CLASSES];
};

struct demand {
	struct demand_total own;
	/* When the rates were last updated. */
	int64_t updated_at;
	/* Average time for which a request holds its memory; 0: not known. */
	double hold_usec;
};

void demand_add_arrival(
    struct demand *, uint32_t priority, int64_t tokens, int64_t now);
void demand_add_use(struct demand *, uint32_t priority, int64_t tokens);
void demand_set_waiting(struct demand *, uint32_t priority, int64_t tokens);
void demand_add_hold(struct demand *, int64_t held_usec);
void demand_decay(struct demand *, int64_t now);
double demand_hold_usec(const struct demand *);
void demand_sum(
    struct demand_total *, const struct demand_total *, double scale);

#endif
