#include <string.h>

#include <glib.h>

#include "retry_share.h"

/*
 * Initializes a share of a budget that allows, in each window of the given
 * length, slack retries plus ratio times the requests, summed over all nodes.
 */
void
retry_share_init(
    struct retry_share *share, double slack, double ratio, int64_t window_usec)
{
	memset(share, 0, sizeof(*share));
	share->slack = slack * RETRY_SHARE_USED;
	share->ratio = ratio * RETRY_SHARE_USED;
	share->window_usec = MAX(window_usec, RETRY_SHARE_PARTS);
	share->nodes = 1;
}

/*
 * Sets the number of live nodes that share the budget. A lower number takes
 * effect after one window.
 */
void
retry_share_set_nodes(struct retry_share *share, uint32_t nodes, int64_t now)
{
	if (nodes < share->nodes && now - share->nodes_at <= share->window_usec)
		return;
	share->nodes = MAX(nodes, 1u);
	share->nodes_at = now;
}

/*
 * Returns the number of the part of a window that is running at a time.
 */
static int64_t
part_number(const struct retry_share *share, int64_t now)
{
	return now / (share->window_usec / RETRY_SHARE_PARTS);
}

/*
 * Returns the running part, which starts empty.
 */
static struct retry_share_part *
running_part(struct retry_share *share, int64_t now)
{
	int64_t number = part_number(share, now);
	struct retry_share_part *part =
	    &share->parts[number % (RETRY_SHARE_PARTS + 1)];

	if (part->number != number)
		*part = (struct retry_share_part){.number = number};
	return part;
}

/*
 * Counts a request of a caller. Must not be called for retries.
 */
void
retry_share_add_request(struct retry_share *share, int64_t now)
{
	running_part(share, now)->requests++;
}

/*
 * Returns how many more retries the window allows. Retries count for at least
 * a window, requests for at most one, so that the bound holds in any span.
 */
static double
retries_left(const struct retry_share *share, int64_t now)
{
	int64_t number = part_number(share, now);
	uint32_t requests = 0;
	uint32_t retries = 0;

	for (int i = 0; i <= RETRY_SHARE_PARTS; i++) {
		const struct retry_share_part *part = &share->parts[i];

		if (part->number + RETRY_SHARE_PARTS < number)
			continue;
		retries += part->retries;
		if (part->number + RETRY_SHARE_PARTS > number)
			requests += part->requests;
	}
	return share->slack / share->nodes + share->ratio * requests - retries;
}

/*
 * Returns whether the budget allows a retry. Only requests under way may use
 * the reserve.
 */
bool
retry_share_is_available(
    const struct retry_share *share, bool under_way, int64_t now)
{
	double reserved =
	    under_way ? 0 : RETRY_SHARE_RESERVE * share->slack / share->nodes;

	return retries_left(share, now) - reserved >= 1;
}

/*
 * Takes one retry from the budget. Returns false when it is used up; see
 * retry_share_is_available().
 */
bool
retry_share_take(struct retry_share *share, bool under_way, int64_t now)
{
	if (!retry_share_is_available(share, under_way, now)) {
		share->refused++;
		return false;
	}
	running_part(share, now)->retries++;
	share->granted++;
	return true;
}
