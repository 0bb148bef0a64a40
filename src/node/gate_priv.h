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

/* Timeout for connecting to a server; a live server accepts within
 * milliseconds. */
#define GATE_CONNECT_USEC (400 * LOOP_USEC_PER_MSEC)
/* Shortest pause after which a stream may count as stalled: an engine pass
 * may include a long prompt. */
#define GATE_STALL_MIN_USEC (350 * LOOP_USEC_PER_MSEC)
/* Limit of queued requests per service; more could not be served in time. */
#define GATE_QUEUE_MAX 256
/* Limit of attempts per request, regardless of the route's limit; ends
 * failure loops. */
#define GATE_ATTEMPTS_MAX 5
/* Caller timeout for requests that state none. */
#define GATE_CALLER_TIMEOUT_DEFAULT_USEC (20 * LOOP_USEC_PER_SEC)
/* A request is answered with a timeout error this long before its time
 * limit. */
#define GATE_TIMEOUT_MARGIN_USEC (10 * LOOP_USEC_PER_MSEC)
/* An idle connection is no longer reused this long before its server would
 * close it. */
#define GATE_IDLE_MARGIN_USEC (500 * LOOP_USEC_PER_MSEC)
/* Idle timeout assumed for servers that state none. */
#define GATE_IDLE_DEFAULT_USEC (300 * LOOP_USEC_PER_MSEC)
/* Fraction of the bandwidth between data centres that the paths of all
 * nodes may use; a saturated link delays every token that crosses it. */
#define GATE_LINK_SHARE 0.5
/* Largest unused link budget that a node may accumulate, as time at its
 * rate. */
#define GATE_LINK_BURST_USEC (1000 * LOOP_USEC_PER_MSEC)
/* Size limit of a buffered response. */
#define GATE_RESPONSE_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* Longest "ip:port" that is kept for the log, without the terminating NUL. */
#define GATE_ADDRESS_MAX_BYTES 21

enum gate_state {
	/* The request body is being received. */
	GATE_READING,
	/* The request is complete and not yet sent, for example because it
	 * is queued for a path. */
	GATE_WAITING,
	/* The request has been sent to a server. */
	GATE_SENT,
	GATE_ENDED
};

struct gate_stage {
	struct pool_server *server;
	uint32_t layer_from;
	uint32_t layer_to;
};

/* A pending reroute order to the first server of a path; see
 * gate_reroute.c. */
struct gate_reroute;

/* One attempt to run a request at a server or along a path. */
struct gate_attempt {
	struct h1_conn *conn;
	/* The server to which the request is sent; NULL: no attempt is
	 * active. */
	struct pool_server *server;
	struct gate_stage stages[FLEET_STAGES_MAX];
	uint32_t stage_count;
	/* Memory that the request is expected to use, in tokens. */
	int64_t tokens;
	int64_t event_usec;
	int64_t first_usec;
	int64_t sent_at;
	/* When bytes were last received or the path last changed; initially
	 * sent_at. */
	int64_t last_progress_at;
	/* The connection is being established. */
	bool connecting;
	bool reused;
	/* The response head has been received and belongs to this request. */
	bool response_received;
	/* A response that belongs to another request is being discarded. */
	bool skipping;
	bool stalled;
	/* NULL: no reroute is pending. */
	struct gate_reroute *reroute;
	/* Earliest time of the next reroute; number of reroutes that
	 * failed. */
	int64_t reroute_not_before;
	uint32_t reroute_failures;
	struct adapter_response response;
	struct sse sse;
};

struct gate_request {
	struct gate *gate;
	/* NULL once the caller has disconnected or the request has ended. */
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
	/* When the caller stops waiting; timeout_at also includes the
	 * route's time limit. */
	int64_t deadline;
	int64_t timeout_at;
	uint32_t priority;
	struct sched_entry *queue_entry;
	int64_t queued_at;
	/* When the request was first sent to a server. */
	int64_t started_at;
	/* Expected time from the start to the first event on the last path. */
	int64_t first_usec;
	struct gate_attempt attempt;
	/* The server of each attempt, in order; sends is the number of
	 * attempts. */
	struct pool_server *tried[GATE_ATTEMPTS_MAX];
	uint32_t sends;
	bool may_have_run;
	/* HTTP status of the last failed attempt and the address that it
	 * named as the faulty server, for the log; 0: no response. */
	unsigned int failure_status;
	char faulty_address[GATE_ADDRESS_MAX_BYTES + 1];
	/* The response head has been sent to the caller. */
	bool response_started;
	bool chunked;
	uint64_t last_event;
	uint32_t events;
	int64_t first_event_at;
	int64_t last_event_at;
	int64_t longest_gap;
	struct lstr_buf response;
	/* Sequence number of the start among all requests of this process. */
	uint64_t start_sequence;
};

struct gate_service {
	char *name;
	struct sched *queue;
	struct retry_budget budget;
	uint32_t budget_nodes;
	/* Moving rate of tokens of started requests, used to estimate queue
	 * waits. */
	double started_tokens_per_sec;
	int64_t started_at;
	/* Bytes that paths of this node may still send between data
	 * centres, and when that budget was last updated. */
	double link_budget_bytes;
	int64_t link_updated_at;
};

struct gate {
	struct gate_config config;
	struct h1_limits limits;
	struct fleet_config *fleet;
	/* struct gate_request; gate_tick() frees those that have ended. */
	GPtrArray *requests;
	/* By name: struct gate_service. */
	GHashTable *services;
	GRand *rand;
	size_t body_bytes;
	uint64_t start_sequence;
	bool draining;
	/* When draining started and when the process exits. */
	int64_t drain_started_at;
	int64_t drain_ends_at;
	bool dispatching;
	struct gate_counts counts;
};

int64_t gate_now(const struct gate *);
struct gate_service *gate_service(struct gate *, const char *);
/* Responses. Each function ends the request, which stays allocated until
 * the next gate_tick(). */
void gate_refuse_request(struct gate_request *, unsigned int status,
    int64_t retry_usec, const char *reason);
void gate_fail_request(
    struct gate_request *, unsigned int status, const char *reason);
void gate_abort_response(struct gate_request *, const char *reason);
void gate_end_request(struct gate_request *, const char *outcome);
void gate_cancel_request(struct gate_request *);
void gate_register_metrics(void);

/* Sends a buffered response to the caller. */
void gate_send_response(struct gate_request *, const char *outcome);

/* Attempts. */
bool gate_send(struct gate_request *, struct pool_server *);
void gate_attempt_end(struct gate_request *, bool reusable);
void gate_attempt_failed(
    struct gate_request *, bool not_run, const char *reason);
bool gate_can_start(const struct gate_request *, int64_t work_usec);
void gate_refuse_draining(struct gate_request *);
bool gate_consume_retry(struct gate_request *);

/* Plain services: each response is buffered completely before it is sent. */
void gate_plain_start(struct gate_request *);
void gate_plain_head(struct gate_request *);
void gate_plain_body(struct gate_request *, struct lstr);
void gate_plain_complete(struct gate_request *);
void gate_plain_tick(struct gate_request *, int64_t now);

/* Generations: responses are streamed event by event. */
void gate_stream_start(struct gate_request *);
bool gate_stream_try(struct gate_request *);
void gate_stream_head(struct gate_request *);
void gate_stream_body(struct gate_request *, struct lstr);
void gate_stream_complete(struct gate_request *);
void gate_stream_tick(struct gate_request *, int64_t now);
void gate_stream_expire(struct gate *, struct gate_service *, int64_t now);
void gate_stream_dispatch(struct gate *);

/* Reroutes: servers after the first one of a path are replaced while the
 * first server keeps the request. */
bool gate_reroute(struct gate_request *, const char *reason);
void gate_reroute_detach(struct gate_attempt *);
void gate_reroute_leaving(struct gate_request *, int64_t now);
void gate_add_load(const struct gate_attempt *, int sign);
void gate_format_path(const struct gate_stage *, uint32_t, struct lstr_buf *);
double *gate_link_budget(const struct gate_request *);
uint32_t gate_estimate_output(const struct gate_request *);

/* Failed and slow servers. */
void gate_avoid(struct gate *, struct pool_server *, const char *evidence);
void gate_probe(struct gate *, struct pool_server *, int64_t now);
void gate_check_probation(struct gate *, int64_t now);

#endif
