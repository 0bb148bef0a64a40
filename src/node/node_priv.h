#ifndef CH_NODE_PRIV_H
#define CH_NODE_PRIV_H

#include "gate.h"
#include "node.h"
#include "planner.h"

struct node {
	struct node_options options;
	struct node_settings settings;
	const struct adapter *adapter;
	struct loop *loop;
	struct h1 *h1;
	struct fetch *fetch;
	struct kv *kv;
	struct mirror *mirror;
	struct pool *pool;
	struct mesh *mesh;
	struct enroll *entry;
	struct planner *planner;
	struct gate *gate;
	struct h1_listener *front;
	struct h1_listener *ready;
	struct h1_listener *lookup;
	struct h1_listener *metrics;
	struct h1_limits service_limits;
	struct loop_timer *tick;
	struct fleet_config *fleet;
	char *identity;
	/* Revision of the configuration in force. */
	uint64_t config_revision;
	/* A configuration that is still to be decoded; none: no revision. */
	struct lstr_buf pending_config;
	uint64_t pending_revision;
	struct loop_timer *config_timer;
	/* Other events have had their turn since it came. */
	bool config_due;
	int64_t swept_at;
	/* When SIGTERM came; 0: it has not. */
	int64_t draining_since;
	/* The node takes no more connections of callers. */
	bool front_stopped;
	uint64_t boot;
};

/* The node's own services: addresses, readiness, metrics. The argument of
 * their callbacks is the node. */
extern const struct h1_ops node_lookup_ops;
extern const struct h1_ops node_ready_ops;
extern const struct h1_ops node_metrics_ops;

#endif
