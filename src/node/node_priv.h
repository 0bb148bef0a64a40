#ifndef CH_NODE_PRIV_H
#define CH_NODE_PRIV_H

#include "departures.h"
#include "drain.h"
#include "gateway.h"
#include "node.h"
#include "planner.h"
#include "quarantine_store.h"
#include "settled_era.h"

/* Limits of callers' connections, derived from the limit of descriptors. */
struct caller_limits {
	int64_t descriptors;
	size_t front;
	/* For each of the node's own services. */
	size_t service;
	/* Records of requests, and idle connections to servers. */
	size_t requests;
	size_t idle;
};

/* Values of the counters at the last EV_CALLERS_DROPPED event. */
struct caller_report {
	uint64_t connections;
	uint64_t requests;
	uint64_t refused;
	int64_t at;
};

struct node {
	struct node_options options;
	struct node_settings settings;
	const struct adapter *adapter;
	struct loop *loop;
	struct h1 *h1;
	struct fetch *fetch;
	struct kv *kv;
	struct store_cache *store_cache;
	struct pool *pool;
	struct departures *departures;
	struct quarantine *quarantine;
	struct quarantine_store *quarantine_store;
	struct settled_era *settled_era;
	struct gossip *gossip;
	struct lease_key *entry;
	struct planner *planner;
	struct gateway *gateway;
	/* Memory that callers make the process hold, and limits of their
	 * connections. */
	struct account account;
	struct caller_limits caller_limits;
	struct caller_report caller_report;
	struct h1_listener *front;
	struct h1_listener *ready;
	struct h1_listener *lookup;
	struct h1_listener *metrics;
	struct h1_limits service_limits;
	struct loop_timer *tick;
	struct fleet_config *fleet;
	char *identity;
	struct config_proof config_proof;
	/* A configuration that has yet to be decoded, its store revision, and
	 * when it was received. */
	struct lstr_buf pending_config;
	struct store_position pending_position;
	int64_t pending_received_at;
	struct loop_timer *config_timer;
	/* The loop has handled other events since pending_config arrived. */
	bool config_deferred;
	int64_t last_sweep_at;
	/* When the periodic work is due; 0: it has not run yet. */
	int64_t tick_at;
	/* store_cache_restore_count() when it was last checked. */
	uint64_t restores;
	struct drain drain;
	/* The node no longer accepts connections from callers. */
	bool front_stopped;
	/* Start time of the process; identifies it, and is larger after each
	 * restart. */
	uint64_t boot;
};

int64_t node_config_proved_at(const struct node *);
uint64_t node_proved_era(const struct node *);

/* Handling of the store's keys; see node_store.c. The argument of the callbacks
 * is the node. */
extern const struct store_cache_ops node_store_ops;
void node_on_config_timer(void *arg);
void node_check_restores(struct node *);
void node_drop_expired_servers(struct node *);

/* Services of the node itself: address lookup, readiness and metrics. The
 * argument of the callbacks is the node. */
extern const struct h1_ops node_lookup_ops;
extern const struct h1_ops node_ready_ops;
extern const struct h1_ops node_metrics_ops;

/* Limits of callers; see node_callers.c. */
void node_init_caller_limits(struct node *);
void node_set_listener_limits(struct node *);
void node_report_callers(struct node *);

#endif
