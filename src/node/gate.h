#ifndef CH_GATE_H
#define CH_GATE_H

#include "adapter.h"
#include "mesh.h"
#include "mirror.h"
#include "pool.h"

/*
 * Accepts requests from callers, forwards each to a backend server or along a
 * path of engines, and returns the response.
 */
struct gate;

struct gate_config {
	struct loop *loop;
	struct h1 *h1;
	const struct adapter *adapter;
	struct pool *pool;
	struct mesh *mesh;
	const struct mirror *mirror;
	const char *place;
	uint32_t seed;
	/* API keys are accepted only while the configuration was confirmed
	 * as current at most this long ago; 0: no limit. */
	int64_t proof_max_usec;
	/* Retry budget of all nodes together in one window: a fixed number
	 * plus a fraction of the requests. */
	int64_t retry_slack;
	double retry_ratio;
	/* Limit of the memory for all buffered request bodies. */
	size_t bodies_max_bytes;
};

struct gate_counts {
	uint64_t taken;
	uint64_t done;
	uint64_t refused;
	uint64_t failed;
	uint64_t cancelled;
	uint64_t queued;
	uint64_t retried;
	uint64_t resumed;
	uint64_t rerouted;
	uint64_t events;
	uint64_t no_proof;
	uint64_t stray_answers;
};

enum status gate_create(const struct gate_config *, struct gate **);
void gate_destroy(struct gate *);
const struct h1_ops *gate_ops(void);
const struct h1_limits *gate_limits(const struct gate *);
void gate_set_config(struct gate *, struct fleet_config *);
void gate_drain(struct gate *, int64_t end_at);
size_t gate_active(const struct gate *);
size_t gate_waiting(const struct gate *);
void gate_tick(struct gate *);
void gate_forget_server(struct gate *, struct pool_server *);
const struct gate_counts *gate_counts(const struct gate *);

#endif
