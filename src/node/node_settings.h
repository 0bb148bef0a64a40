#ifndef CH_NODE_SETTINGS_H
#define CH_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/*
 * The settings file of a node: one JSON object; docs/operators.md lists the
 * fields. Unknown fields are refused.
 */
struct node_settings {
	char *node;
	char *place;
	char *region;
	char *ip;
	/* "ip:port" each. */
	char *front;
	char *ready;
	char *lookup;
	char *store;
	int64_t mesh_port;
	/* A revoked key must be dead this long after it; 0: no such bound. */
	int64_t revoke_ms;
	/* A server that leaves serves at least this much longer. */
	int64_t leave_ms;
	/* Time between SIGTERM and SIGKILL. */
	double grace_s;
	/* Retries of all nodes in one window: this many, and a share of the
	 * requests. */
	int64_t retry_slack;
	double retry_ratio;
	/* Longest time that callers keep an address answer. */
	double address_validity_max_s;
	int64_t memory_mb;
};

enum status node_settings_read(const char *path, struct node_settings *);
void node_settings_clear(struct node_settings *);
const char *node_settings_restart_field(
    const struct node_settings *, const struct node_settings *);

#endif
