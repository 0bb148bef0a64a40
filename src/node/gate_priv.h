#ifndef CH_GATE_PRIV_H
#define CH_GATE_PRIV_H

#include "admit.h"
#include "ask.h"
#include "gate.h"
#include "metric.h"
#include "retry.h"
#include "sched.h"
#include "slog.h"
#include "sse.h"

/* A connection to a server must be established within this time: a live one
 * answers in milliseconds. */
#define GATE_CONNECT_USEC (400 * LOOP_USEC_PER_MSEC)
/* A stream is not taken as stalled before this time: a pass may hold a long
 * prompt. */
#define GATE_STALL_MIN_USEC (350 * LOOP_USEC_PER_MSEC)
/* Requests that wait for a path; more could not be served in time. */
#define GATE_QUEUE_MAX 256
/* Sends of one request, whatever the route allows; ends loops of failures. */
#define GATE_SENDS_MAX 5
/* Used for requests that state no patience. */
#define GATE_PATIENCE_USEC (20 * LOOP_USEC_PER_SEC)
/* Answers are given this long before the route's time limit ends. */
#define GATE_ANSWER_MARGIN_USEC (10 * LOOP_USEC_PER_MSEC)
/* A connection is reused until this long before its server closes it. */
#define GATE_IDLE_MARGIN_USEC (500 * LOOP_USEC_PER_MSEC)
/* For servers that state no idle time. */
#define GATE_IDLE_UNKNOWN_USEC (300 * LOOP_USEC_PER_MSEC)
/* Part of the link between data centres that paths of all nodes may use; a
 * link that is used up delays every token that crosses it. */
#define GATE_LINK_SHARE 0.5
/* Bytes that a node may save up, as time at its rate. */
#define GATE_LINK_BURST_USEC (1000 * LOOP_USEC_PER_MSEC)
/* A whole answer of a plain service is kept up to this size. */
#define GATE_ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* Longest "ip:port" that is kept for the log. */
#define GATE_ADDRESS_MAX_BYTES 21

enum gate_state {
	/* The body is arriving. */
	GATE_READING,
	/* It waits for a path. */
	GATE_WAITING,
	/* It is at a server. */
	GATE_SENT,
	GATE_OVER
};

struct gate_stage {
	struct pool_server *server;
	uint32_t layer_from;
	uint32_t layer_to;
};

/* An order to a first server that is under way; see gate_reroute.c. */
struct gate_reroute;

/* One attempt at a server or along a path. */
struct gate_attempt {
	struct h1_conn *conn;
	/* The server that the request is sent to; NULL: none. */
	struct pool_server *server;
	struct gate_stage stages[FLEET_STAGES_MAX];
	uint32_t stage_count;
	/* Memory that the request is expected to need, in tokens. */
	int64_t tokens;
	int64_t event_usec;
	int64_t first_usec;
	int64_t sent_at;
	/* When something last arrived; sent_at before. */
	int64_t progress_at;
	/* The connection is new and not established yet. */
	bool connecting;
	bool reused;
	/* The head of its answer has arrived and is its own. */
	bool answered;
	/* An answer that belongs to another request is being skipped. */
	bool skipping;
	bool stalled;
	/* NULL: none is under way. */
	struct gate_reroute *reroute;
	/* No reroute is tried before; reroutes that failed. */
	int64_t reroute_after;
	uint32_t reroute_failures;
	struct adapter_answer answer;
	struct sse sse;
};

struct gate_request {
	struct gate *gate;
	/* NULL once the caller is gone. */
	struct h1_conn *caller;
	struct fleet_config *config;
	const struct fleet_route *route;
	const struct fleet_organisation *organisation;
	const struct fleet_service *service;
	struct adapter_request info;
	char id[ADAPTER_ID_MAX_BYTES + 1];
	struct lstr_buf body;
	enum gate_state state;
	int64_t arrived_at;
	/* End of the caller's patience and of the route's time limit. */
	int64_t deadline;
	int64_t timeout_at;
	uint32_t priority;
	struct sched_entry *queued;
	int64_t queued_at;
	/* When it was first sent. */
	int64_t started_at;
	/* Expected time from a start to the first event, of the last path. */
	int64_t first_usec;
	struct gate_attempt attempt;
	/* Servers that the request was sent to and that live. */
	struct pool_server *tried[GATE_SENDS_MAX];
	uint32_t sends;
	bool may_have_run;
	/* Status of the server that last refused it, and the server that it
	 * named as the one at fault, for the log; 0: none refused it. */
	unsigned int refusal_status;
	char refusal_fault[GATE_ADDRESS_MAX_BYTES + 1];
	/* The head of the answer has been passed on. */
	bool answer_begun;
	bool chunked;
	uint64_t last_event;
	uint32_t events;
	int64_t first_event_at;
	int64_t last_event_at;
	int64_t longest_gap;
	struct lstr_buf answer;
	/* Position in the order of service of this process. */
	uint64_t order;
};

struct gate_service {
	char *name;
	struct sched *queue;
	struct retry_budget budget;
	uint32_t budget_nodes;
	/* Tokens of requests that were started lately, for expected waits. */
	double started_tokens_per_sec;
	int64_t started_at;
	/* Bytes that paths of this node may still send between data centres. */
	double link_bytes;
	int64_t link_at;
};

struct gate {
	struct gate_config config;
	struct h1_limits limits;
	struct fleet_config *fleet;
	/* struct gate_request; those that are over are freed by the tick. */
	GPtrArray *requests;
	/* By name: struct gate_service. */
	GHashTable *services;
	GRand *rand;
	size_t body_bytes;
	uint64_t order;
	bool draining;
	/* When the order to stop came, and when the process ends. */
	int64_t drain_since;
	int64_t drain_end;
	bool pumping;
	struct gate_counts counts;
};

int64_t gate_now(const struct gate *);
struct gate_service *gate_service(struct gate *, const char *);
/* Answers. Each ends the request; the request stays valid until the tick. */
void gate_refuse(struct gate_request *, unsigned int status, int64_t retry_usec,
    const char *reason);
void gate_fail(struct gate_request *, unsigned int status, const char *reason);
void gate_break_off(struct gate_request *, const char *reason);
void gate_end(struct gate_request *, const char *outcome);
void gate_cancel(struct gate_request *);
void gate_register_metrics(void);

/* Passes on an answer that was kept whole. */
void gate_pass_on(struct gate_request *, const char *outcome);

/* Attempts. */
bool gate_send(struct gate_request *, struct pool_server *);
void gate_attempt_end(struct gate_request *, bool reusable);
void gate_failed(struct gate_request *, bool not_run, const char *reason);
bool gate_takes_new(const struct gate_request *, int64_t work_usec);
void gate_refuse_stopping(struct gate_request *);
bool gate_spend_retry(struct gate_request *);

/* Plain services. */
void gate_plain_start(struct gate_request *);
void gate_plain_head(struct gate_request *);
void gate_plain_body(struct gate_request *, struct lstr);
void gate_plain_complete(struct gate_request *);
void gate_plain_tick(struct gate_request *, int64_t now);

/* Generations. */
void gate_stream_start(struct gate_request *);
bool gate_stream_try(struct gate_request *);
void gate_stream_head(struct gate_request *);
void gate_stream_body(struct gate_request *, struct lstr);
void gate_stream_complete(struct gate_request *);
void gate_stream_tick(struct gate_request *, int64_t now);
void gate_stream_expire(struct gate *, struct gate_service *, int64_t now);
void gate_stream_pump(struct gate *);

/* Reroutes: the rest of a path is replaced while the first server keeps the
 * request. */
bool gate_reroute(struct gate_request *, const char *reason);
void gate_reroute_forget(struct gate_attempt *);
void gate_reroute_leaving(struct gate_request *, int64_t now);
void gate_charge(const struct gate_attempt *, int sign);
void gate_path_text(const struct gate_stage *, uint32_t, struct lstr_buf *);
double *gate_link_account(const struct gate_request *);
uint32_t gate_output_estimate(const struct gate_request *);

/* Failed and slow servers. */
void gate_avoid(struct gate *, struct pool_server *, const char *evidence);
void gate_probe(struct gate *, struct pool_server *, int64_t now);
void gate_check_probation(struct gate *, int64_t now);

#endif
