#ifndef CH_NODE_SETTINGS_H
#define CH_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/*
 * The settings file of a node: one JSON object; docs/operators.md lists the
 * fields. Unknown fields are rejected.
 */
struct node_settings {
	char *node;
	/* Data centre. */
	char *place;
	char *region;
	char *ip;
	/* Addresses, "ip:port" each. */
	char *front;
	char *ready;
	char *lookup;
	char *store;
	int64_t mesh_port;
	/* Time within which a revoked key must stop working; 0: no limit. */
	int64_t revoke_ms;
	/* Time within which a confirmed configuration must be in force; 0: no
	 * limit. */
	int64_t config_apply_ms;
	/* Shortest time for which a draining backend server still serves. */
	int64_t leave_ms;
	/* Time between SIGTERM and SIGKILL. */
	double grace_s;
	/* Retry budget of all nodes in one window: retry_slack retries plus
	 * retry_ratio times the requests. */
	double retry_slack;
	double retry_ratio;
	double retry_window_s;
	/* Longest time for which callers may cache an address response. */
	double address_validity_max_s;
	int64_t memory_mb;
	/* Limit of the process's descriptors; 0: the kernel's soft limit. */
	int64_t descriptors;
	/* Strength with which requests are spread over servers whose load is
	 * known late, from 0 (not at all) to 1; see spread.h. */
	double load_spread;
};

enum status node_settings_read(const char *path, struct node_settings *);
void node_settings_clear(struct node_settings *);
const char *node_settings_find_restart_field(
    const struct node_settings *, const struct node_settings *);

#endif
