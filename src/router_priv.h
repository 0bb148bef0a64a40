#ifndef CH_ROUTER_PRIV_H
#define CH_ROUTER_PRIV_H

#include <glib.h>

#include "limit.h"
#include "metric.h"
#include "record.h"
#include "retry.h"
#include "route.h"
#include "router.h"
#include "sched.h"
#include "trail.h"

/* Time for which an instance is avoided after a failure. */
#define ROUTER_AVOID_USEC (10 * LOOP_USEC_PER_SEC)
/* Requests that a router holds, in every state; more are refused. */
#define ROUTER_JOBS_MAX 16384
#define ROUTER_IDENTITY_BYTES 16
#define ROUTER_TOKEN_BYTES 16

enum job_state {
	/* Waits for the claim of an order. */
	JOB_CLAIMING,
	/* Waits for a running request with the same key. */
	JOB_WAITING,
	/* In the queue of its replica. */
	JOB_QUEUED,
	JOB_RUNNING,
	/* A failed attempt; its stages are asked whether they live. */
	JOB_PROBING,
	/* Waits for the time of the next attempt. */
	JOB_BACKOFF,
	/* Has ended; the answer waits for the copy of the record. */
	JOB_HELD
};

/* How a request ends. Strings are borrowed for the call that takes them. */
struct job_end {
	Ch__Outcome outcome;
	const char *code;
	const char *message;
	int64_t retry_at;
	uint32_t status;
	struct lstr body;
};

/* One queue and what is known of the replica behind it. */
struct replica {
	struct router *router;
	char *key;
	char *name;
	char *service;
	/* Index in the present configuration, INV_NONE when it is gone. */
	uint32_t index;
	bool pipeline;
	struct sched *sched;
	struct limit_adaptive limit;
	struct loop_timer *expiry_timer;
	uint32_t jobs;
	uint32_t running;
	/* Smoothed time from start to finish for one unit of cost. */
	double usec_per_cost;
	int64_t used_at;
	bool dispatching;
};

/* What is kept of one order while its key is valid. */
struct order {
	uint8_t identity[ROUTER_IDENTITY_BYTES];
	/* Digest of operation and body. */
	uint8_t digest[ROUTER_IDENTITY_BYTES];
	/* The request that runs it; NULL when it has ended. */
	struct job *job;
	GPtrArray *waiters;
	/*
	 * The claim belongs to another token without a known outcome. The
	 * answer is not kept, because a later claim may be granted.
	 */
	bool in_doubt;
	int64_t expires_at;
	Ch__Outcome outcome;
	char *code;
	char *message;
	uint32_t status;
	struct lstr_buf body;
};

/* The state of one request. */
struct job {
	struct router *router;
	uint64_t id;
	/* NULL when the entry is gone or has cancelled. */
	struct router_entry *entry;
	Ch__Submit *submit;
	struct replica *replica;
	enum job_state state;
	bool pipeline;
	bool once;
	/* Counted in the limits of its organisation. */
	bool counted;
	uint32_t priority;
	uint32_t weight;
	int64_t cost;
	int64_t started_at;
	struct loop_timer *timer;
	struct sched_entry *queued;
	Ch__RecordReason reason;

	/* Tokens, those of earlier submissions included. */
	GArray *delivered;
	/* How many of them the entry has. */
	uint32_t sent;
	uint32_t attempt;
	uint32_t failures;
	bool maybe_ran;
	/* The last token or the whole answer has arrived. */
	bool last_seen;
	struct route route;
	bool on_route;
	struct engine_call *call;
	struct plain_call *plain_call;
	int64_t silence_at;
	int64_t last_token_at;
	/* Time at which the stages of a silent attempt are asked. */
	int64_t suspect_at;
	bool suspected;
	uint32_t probes;
	bool faulty_stage_found;
	/* Tokens in a row that came much later than expected. */
	uint32_t slow_tokens;

	/* Orders. */
	struct order *order;
	/* The order of another request that this one is a duplicate of. */
	struct order *waits_for;
	uint8_t claim_token[ROUTER_TOKEN_BYTES];
	uint64_t claim_sequence;
	bool claim_requested;
	bool claim_granted;
	bool sent_once;
	uint64_t fence;

	/* Record. */
	uint64_t record_sequence;
	int64_t held_until;
	bool held;
	Ch__Outcome held_outcome;
	uint32_t held_status;
	struct lstr_buf held_body;
};

struct router {
	struct router_config config;
	const struct inv *inv;
	GRand *rand;
	struct route_table *routes;
	struct limit_table *limits;
	struct rec *rec;
	/* Job number to job. */
	GHashTable *jobs;
	uint64_t next_job;
	/* Key to struct replica. */
	GHashTable *replicas;
	/* Service name to struct retry_budget. */
	GHashTable *budgets;

	/* Identity to struct order; ended ones also in order of their end. */
	GHashTable *orders;
	GQueue *ended_orders;
	size_t order_bytes;
	/* Claim sequence to job. */
	GHashTable *claims;
	uint64_t claim_counter;
	uint8_t claim_boot[8];
	/* Packed frames that wait for the syncd. */
	GQueue *outcomes;

	/* Numbers of held jobs, in the order of their record entries. */
	GQueue *held;
	struct loop_timer *hold_timer;
	struct loop_timer *copy_timer;
	uint32_t gap_missing;
	/* Node whose syncd keeps the copies of the record. */
	char *record_peer;

	/* Set of struct load_query. */
	GHashTable *queries;
	struct loop_timer *tick_timer;
	int64_t next_load_at;
	bool draining;
	bool drained;
	int64_t drain_until;
};

/* Counters, in the order of the table in router_metrics.c. */
enum router_counter {
	ROUTER_SUBMITS,
	ROUTER_RUN,
	ROUTER_NOT_RUN,
	ROUTER_UNKNOWN,
	ROUTER_MOVED,
	ROUTER_CANCELLED,
	ROUTER_ATTEMPTS,
	ROUTER_RETRIES,
	ROUTER_RETRIES_REFUSED,
	ROUTER_CLAIMS,
	ROUTER_CLAIMS_UNAVAILABLE,
	ROUTER_DUPLICATES,
	ROUTER_ANSWERS_EVICTED,
	ROUTER_OUTCOMES_DROPPED,
	ROUTER_UNREPLICATED,
	ROUTER_LOST_SEGMENTS,
	ROUTER_COUNTERS
};

/* router.c */
int64_t router_now(const struct router *);
enum status router_send_syncd(struct router *, Ch__Frame *);
void router_send_role_state(struct router *);
void router_report_leaving(struct router *, uint32_t slot, bool leaving);
void router_check_drained(struct router *);

/* router_submit.c */
void router_submit(struct router *, struct router_entry *, const Ch__Submit *);

/* job.c */
struct job *job_create(
    struct router *, struct router_entry *, const Ch__Submit *);
struct job *job_find(const struct router *, uint64_t);
void job_finish(struct job *, const struct job_end *);
void job_end_simple(struct job *, Ch__Outcome, const char *, const char *);
void job_cancel(struct job *);
void job_release(struct job *);
void job_stop(struct job *);
void job_free(struct job *);
void job_on_timer(void *);
void job_send_tokens(struct job *);
void job_add_token(struct job *, struct lstr);
void job_retry(struct job *, bool nothing_ran);
bool job_may_move(struct job *, int64_t *at);
void job_leave(struct job *);
bool job_choose_route(struct job *, const char *code, const char *message);

/* replica.c */
struct replica *replica_for(struct router *, uint32_t index);
void replica_bind_all(struct router *);
enum status replica_queue(struct job *);
void replica_dispatch(struct replica *);
void replica_job_ended(struct job *);
int64_t replica_run_usec(const struct replica *, int64_t cost);
int64_t replica_usec_per_cost(const struct replica *);
uint32_t replica_limit(const struct replica *);
void replica_free(void *);
void replica_drain(struct replica *);

/* router_pipeline.c and router_plain.c */
void pipeline_start(struct job *);
void pipeline_on_timer(struct job *);
void pipeline_on_dead_stage(struct job *);
void plain_begin(struct job *);

/* router_load.c */
void load_query_all(struct router *);
void load_probe(struct job *);
void load_queries_free(struct router *);

/* router_claims.c */
bool claims_begin(struct job *, int64_t now);
void claims_on_timeout(struct job *);
void claims_on_reply(struct router *, const Ch__ClaimReply *);
void claims_on_up(struct router *);
void claims_settle(struct job *, const struct job_end *);
void claims_answer(struct job *, const struct job_end *);
void claims_forget(struct job *);
void claims_free(struct router *);
void order_free(void *);

/* router_record.c */
void record_dispatch(struct job *, Ch__RecordReason);
void record_on_ack(struct router *, const Ch__RecordAck *);
void record_on_stored(struct router *, const Ch__RecordStored *);
void record_on_up(struct router *);
void record_tick(struct router *);
void record_on_copy_timer(void *);
void record_on_hold_timer(void *);
bool record_is_flushed(const struct router *);
void record_flush(struct router *);
void record_on_view(struct router *, const struct view *);

/* router_metrics.c */
void router_metrics_register(void);
void router_count(enum router_counter);
void router_count_trail(enum trail_verdict);
void router_observe_wait(int64_t);
void router_observe_hold(int64_t);

#endif
