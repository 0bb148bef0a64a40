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

/* Time for which a failed instance is excluded from routes. */
#define ROUTER_AVOID_USEC (10 * LOOP_USEC_PER_SEC)
/* Maximum number of requests in all states; further ones are refused. */
#define ROUTER_JOBS_MAX 16384
#define ROUTER_IDENTITY_BYTES 16
#define ROUTER_TOKEN_BYTES 16

enum job_state {
	/* Waiting for the claim of an order to be granted. */
	JOB_CLAIMING,
	/* Waiting for another request with the same idempotency key to end. */
	JOB_WAITING,
	/* In the queue of its replica. */
	JOB_QUEUED,
	JOB_RUNNING,
	/*
	 * The attempt failed; its stages are being probed to find the dead
	 * one.
	 */
	JOB_PROBING,
	/* Waiting for the backoff before the next attempt. */
	JOB_BACKOFF,
	/* Ended; the answer is held until its record entry is replicated. */
	JOB_HELD
};

/*
 * The result of a request. Strings are borrowed for the duration of the call.
 */
struct job_result {
	Ch__Outcome outcome;
	const char *code;
	const char *message;
	int64_t retry_at;
	uint32_t status;
	struct lstr body;
};

/* The request queue of a replica and the measurements of that replica. */
struct replica {
	struct router *router;
	char *key;
	char *name;
	char *service;
	/* Index in the current configuration; INV_NONE if removed from it. */
	uint32_t index;
	bool pipeline;
	struct sched *sched;
	struct limit_adaptive limit;
	struct loop_timer *expiry_timer;
	uint32_t jobs;
	uint32_t running;
	/* Exponentially smoothed run time of a request per unit of cost. */
	double usec_per_cost;
	int64_t last_used_at;
	bool dispatching;
};

/*
 * The state of an order, kept until its idempotency key expires. An order is a
 * request that must not run more than once.
 */
struct order {
	uint8_t identity[ROUTER_IDENTITY_BYTES];
	/* Digest of operation and body, to detect reuse of a key. */
	uint8_t digest[ROUTER_IDENTITY_BYTES];
	/* The request that executes the order; NULL after it has ended. */
	struct job *job;
	GPtrArray *waiters;
	/*
	 * The claim is held by another token and its outcome is not known. The
	 * answer is not kept because a later claim may be granted.
	 */
	bool in_doubt;
	int64_t expires_at;
	Ch__Outcome outcome;
	char *code;
	char *message;
	uint32_t status;
	struct lstr_buf body;
};

/* A request at this router, from its submission until its end. */
struct job {
	struct router *router;
	uint64_t id;
	/* Memory of the submission, its copies and the delivered tokens. */
	size_t bytes;
	/* NULL after the entry disconnected or cancelled the request. */
	struct router_entry *entry;
	Ch__Submit *submit;
	struct replica *replica;
	enum job_state state;
	bool pipeline;
	/* The request is an order and must not run more than once. */
	bool once;
	/* Counted against the concurrency limit of its organisation. */
	bool limit_acquired;
	uint32_t priority;
	uint32_t weight;
	int64_t cost;
	int64_t started_at;
	struct loop_timer *timer;
	struct sched_entry *queue_entry;
	Ch__RecordReason reason;

	/* Tokens of the response, including those of earlier submissions. */
	GArray *delivered;
	/* Number of these tokens that the entry has received. */
	uint32_t tokens_sent;
	uint32_t attempt;
	uint32_t failures;
	/* An earlier attempt may have run in part. */
	bool maybe_ran;
	/* The last token or the complete answer has arrived. */
	bool answer_complete;
	struct route route;
	bool route_in_use;
	struct engine_call *call;
	struct plain_call *plain_call;
	/* Time at which the attempt fails unless a token arrives. */
	int64_t token_deadline;
	int64_t last_token_at;
	/* Time at which the stages of a silent attempt are probed. */
	int64_t probe_at;
	bool silence_probed;
	uint32_t probes_pending;
	bool dead_stage_found;
	/* Consecutive tokens that arrived much later than expected. */
	uint32_t slow_tokens;

	/* Only for orders. */
	struct order *order;
	/* The order of another request with the same key, or NULL. */
	struct order *duplicate_of;
	uint8_t claim_token[ROUTER_TOKEN_BYTES];
	uint64_t claim_sequence;
	bool claim_requested;
	bool claim_granted;
	/* An attempt was sent to a backend server. */
	bool dispatched;
	/* Fencing token of the granted claim. */
	uint64_t fence;

	/* Replication of the record entry. */
	uint64_t record_sequence;
	int64_t hold_deadline;
	/* Tokens and the answer wait for the replication. */
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
	/* Job id to struct job. */
	GHashTable *jobs;
	uint64_t next_job_id;
	/* Memory of all jobs. */
	size_t jobs_bytes;
	/* Key to struct replica. */
	GHashTable *replicas;
	/* Service name to struct retry_budget. */
	GHashTable *budgets;

	/*
	 * Identity to struct order. Ended orders are also queued, oldest first.
	 */
	GHashTable *orders;
	GQueue *ended_orders;
	size_t ended_order_bytes;
	/* Claim sequence number to struct job. */
	GHashTable *claims;
	uint64_t last_claim_sequence;
	/* Random number of this process, the first half of its claim tokens. */
	uint8_t claim_token_prefix[8];
	/* Packed ClaimOutcome frames to be sent to the syncd. */
	GQueue *pending_outcomes;

	/* Ids of held jobs, in the order of their record entries. */
	GQueue *held;
	struct loop_timer *hold_timer;
	struct loop_timer *copy_timer;
	/* Unreplicated record entries to be counted in the next gap marker. */
	uint32_t gap_entries;
	/* Node whose syncd stores the replicated record entries. */
	char *record_peer;

	/* Set of struct load_query. */
	GHashTable *load_queries;
	struct loop_timer *tick_timer;
	int64_t next_load_query_at;
	/* The graceful shutdown has begun; peers see the router as leaving. */
	bool draining;
	bool drained;
	int64_t drain_store_deadline;
};

/* Counters, in the order of the table in router_metrics.c. */
enum router_counter {
	ROUTER_SUBMITS,
	ROUTER_OUTCOME_RUN,
	ROUTER_OUTCOME_NOT_RUN,
	ROUTER_OUTCOME_UNKNOWN,
	ROUTER_OUTCOME_MOVED,
	ROUTER_CANCELLED,
	ROUTER_ATTEMPTS,
	ROUTER_RETRIES,
	ROUTER_RETRIES_REFUSED,
	ROUTER_CLAIMS,
	ROUTER_CLAIMS_UNAVAILABLE,
	ROUTER_DUPLICATES,
	ROUTER_ANSWERS_EVICTED,
	ROUTER_CLAIM_OUTCOMES_DROPPED,
	ROUTER_RECORD_UNREPLICATED,
	ROUTER_RECORD_LOST,
	ROUTER_COUNTER_COUNT
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
size_t job_submit_bytes(const Ch__Submit *);
struct job *job_create(
    struct router *, struct router_entry *, const Ch__Submit *);
struct job *job_find(const struct router *, uint64_t);
void job_finish(struct job *, const struct job_result *);
void job_finish_with(struct job *, Ch__Outcome, const char *, const char *);
void job_cancel(struct job *);
void job_release_answer(struct job *);
void job_stop_work(struct job *);
void job_free(struct job *);
void job_on_timer(void *);
void job_send_tokens(struct job *);
void job_add_token(struct job *, struct lstr);
void job_retry(struct job *, bool nothing_ran);
bool job_try_reroute(struct job *, int64_t *at);
void job_detach_entry(struct job *);
bool job_choose_route(struct job *, const char *code, const char *message);

/* replica.c */
struct replica *replica_get_or_create(struct router *, uint32_t index);
void replica_rebind_all(struct router *);
enum status replica_enqueue(struct job *);
void replica_dispatch(struct replica *);
void replica_remove_job(struct job *);
int64_t replica_expected_run_usec(const struct replica *, int64_t cost);
int64_t replica_usec_per_cost_at_limit(const struct replica *);
uint32_t replica_concurrency_limit(const struct replica *);
void replica_free(void *);
void replica_drain(struct replica *);

/* router_pipeline.c and router_plain.c */
void pipeline_start(struct job *);
void pipeline_on_timer(struct job *);
void pipeline_on_dead_stage(struct job *);
void plain_start(struct job *);

/* router_load.c */
void load_query_all(struct router *);
void load_probe_stages(struct job *);
void load_queries_free(struct router *);

/* router_claims.c */
bool claims_begin(struct job *, int64_t now);
void claims_on_timeout(struct job *);
void claims_on_reply(struct router *, const Ch__ClaimReply *);
void claims_on_syncd_up(struct router *);
void claims_resolve(struct job *, const struct job_result *);
void claims_answer_duplicates(struct job *, const struct job_result *);
void claims_remove_job(struct job *);
void claims_free(struct router *);
void order_free(void *);

/* router_record.c */
void record_dispatch(struct job *, Ch__RecordReason);
void record_on_ack(struct router *, const Ch__RecordAck *);
void record_on_stored(struct router *, const Ch__RecordStored *);
void record_on_syncd_up(struct router *);
void record_tick(struct router *);
void record_on_copy_timer(void *);
void record_on_hold_timer(void *);
bool record_is_flushed(const struct router *);
void record_flush(struct router *);
void record_on_view(struct router *, const struct view *);

/* router_metrics.c */
void router_metrics_register(void);
void router_count_event(enum router_counter);
void router_count_rejected_token(enum trail_verdict);
void router_observe_queue_wait(int64_t);
void router_observe_record_hold(int64_t);

#endif
