#ifndef CH_RETRY_SHARE_H
#define CH_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * One node's share of a retry budget that all nodes have in common. Load: a
 * crash of several servers breaks a few streams at every node within one
 * second, after minutes without a retry. The common bound holds for any span
 * of the window's length, so each node may use at once all that it may use
 * within such a span: its part of the slack and what its requests of the last
 * window earned.
 */

/* Parts into which a window is divided; a retry counts for up to one part
 * longer than the window. */
#define RETRY_SHARE_PARTS 20
/* Fraction of the common budget that the nodes use. The margin covers requests
 * that came right before a window in which they earn, nodes that count
 * different numbers of live nodes, and restarted ones, which have forgotten
 * their retries. */
#define RETRY_SHARE_USED 0.85
/* Fraction of a node's part of the slack that is reserved for requests under
 * way. A request that has not started can be refused, and its caller can try
 * again without using the budget. */
#define RETRY_SHARE_RESERVE 0.5

/* Requests and retries of one part of a window. */
struct retry_share_part {
	/* Number of the part since the clock's origin. */
	int64_t number;
	uint32_t requests;
	uint32_t retries;
};

struct retry_share {
	/* The part of the common budget that is used: slack plus ratio times
	 * the requests. */
	double slack;
	double ratio;
	int64_t window_usec;
	/* Most live nodes within the last window. A node that vanished may
	 * have used its share of the same window. */
	uint32_t nodes;
	int64_t nodes_at;
	/* The running part and those of the window before it. */
	struct retry_share_part parts[RETRY_SHARE_PARTS + 1];
	uint64_t granted;
	uint64_t refused;
};

void retry_share_init(
    struct retry_share *, double slack, double ratio, int64_t window_usec);
void retry_share_set_nodes(struct retry_share *, uint32_t nodes, int64_t now);
void retry_share_add_request(struct retry_share *, int64_t now);
bool retry_share_take(struct retry_share *, bool under_way, int64_t now);
bool retry_share_is_available(
    const struct retry_share *, bool under_way, int64_t now);

#endif
