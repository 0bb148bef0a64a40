#ifndef CH_GATEWAY_H
#define CH_GATEWAY_H

#include "adapter.h"
#include "config_proof.h"
#include "drain.h"
#include "gossip.h"
#include "store_cache.h"
#include "pool.h"

/*
 * Accepts requests from callers, forwards each to a backend server or along a
 * path of engines, and returns the response.
 */
struct gateway;

struct gateway_config {
	struct loop *loop;
	struct h1 *h1;
	const struct adapter *adapter;
	struct pool *pool;
	struct gossip *gossip;
	const struct store_cache *store_cache;
	const struct config_proof *config_proof;
	struct quarantine *quarantine;
	/* The shutdown of the node. */
	const struct drain *drain;
	const char *place;
	uint32_t seed;
	/* API keys are accepted only while the configuration was confirmed
	 * as current at most this long ago; 0: no limit. */
	int64_t proof_max_usec;
	/* The same for the refusal of a route or key that the configuration
	 * does not contain: a newer one may contain it. */
	int64_t unknown_proof_max_usec;
	/* Retry budget of all nodes together in one window: a fixed number
	 * plus a fraction of the requests. */
	double retry_slack;
	int64_t retry_window_usec;
	double retry_ratio;
	/* Memory that callers make the process hold. */
	struct account *account;
	/* Most requests at a time, including those that have just ended. */
	size_t requests_max;
	/* Most idle connections to servers. */
	size_t idle_max;
};

/* Counters since the start, served as metrics. */
struct gateway_counts {
	uint64_t taken;
	uint64_t done;
	uint64_t refused;
	uint64_t failed;
	uint64_t cancelled;
	uint64_t queued;
	uint64_t overtaking;
	uint64_t displaced;
	uint64_t queue_full;
	uint64_t retried;
	/* Requests that went on in an attempt that had been given up. */
	uint64_t put_back;
	uint64_t resumed;
	uint64_t rerouted;
	uint64_t events;
	uint64_t no_proof;
	uint64_t stray_answers;
	uint64_t quarantined;
	/* Requests whose callers were refused before, searches that had to
	 * leave room for more urgent requests, and streams moved because a
	 * server of their path had ended. */
	uint64_t returned;
	uint64_t searches_with_headroom;
	uint64_t moved_from_ended;
	/* Refused for lack of memory for callers. */
	uint64_t no_memory;
	/* Whole requests that this node ended without a complete answer. */
	uint64_t unanswered;
};

enum status gateway_create(const struct gateway_config *, struct gateway **);
void gateway_destroy(struct gateway *);
const struct h1_ops *gateway_ops(void);
/* Refuses a request whose body is incomplete; see h1_listener_set_max(). */
void gateway_refuse_unfinished(struct h1_conn *, void *gateway);
/* Logs what a closed connection discards; see h1_listener_set_observer(). */
void gateway_note_closed(
    struct h1_conn *, const struct h1_closing *, void *gateway);
const struct h1_limits *gateway_limits(const struct gateway *);
/* Starts the requests that were held until the store has been read. */
void gateway_release_held(struct gateway *);
void gateway_set_config(struct gateway *, struct fleet_config *);
/* Answers the requests of a stopping node that have no response yet. */
void gateway_answer_rest(struct gateway *);
size_t gateway_count_active(const struct gateway *);
size_t gateway_count_waiting(const struct gateway *);
void gateway_tick(struct gateway *);
/* Demand at this node for its report. */
size_t gateway_get_demand(struct gateway *, struct gossip_demand *, size_t max);
void gateway_close_idle_connections(struct gateway *, struct pool_server *);
const struct gateway_counts *gateway_counts(const struct gateway *);

#endif
