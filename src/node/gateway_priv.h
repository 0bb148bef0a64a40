#ifndef CH_GATEWAY_PRIV_H
#define CH_GATEWAY_PRIV_H

#include "admit.h"
#include "attempts.h"
#include "backend_call.h"
#include "gateway.h"
#include "headroom.h"
#include "metric.h"
#include "retry_share.h"
#include "sched.h"
#include "slog.h"
#include "sse.h"
#include "stall.h"
#include "urgency.h"
#include "waiting.h"

/* A body up to this size is copied behind its head when it is sent, which saves
 * a call. */
#define GATEWAY_BODY_COPY_MAX_BYTES ((size_t)16 * 1024)
/* Timeout for connecting to a server; a live server accepts within
 * milliseconds. */
#define GATEWAY_CONNECT_USEC (400 * LOOP_USEC_PER_MSEC)
/* Shortest pause after which a stream may count as stalled: an engine pass
 * may include a long prompt. */
#define GATEWAY_STALL_MIN_USEC (350 * LOOP_USEC_PER_MSEC)
/* Limit of queued requests per service; more could not be served in time. */
#define GATEWAY_QUEUE_MAX 256
/* An attempt without progress that could not be given up is considered again
 * after this time. */
#define GATEWAY_GIVE_UP_USEC (100 * LOOP_USEC_PER_MSEC)
/* Caller timeout for requests that state none. */
#define GATEWAY_CALLER_TIMEOUT_DEFAULT_USEC (20 * LOOP_USEC_PER_SEC)
/* A request is answered with a timeout error this long before its time
 * limit. */
#define GATEWAY_TIMEOUT_MARGIN_USEC (10 * LOOP_USEC_PER_MSEC)
/* An idle connection is no longer reused this long before its server would
 * close it. */
#define GATEWAY_IDLE_MARGIN_USEC (500 * LOOP_USEC_PER_MSEC)
/* Idle timeout assumed for servers that state none. */
#define GATEWAY_IDLE_DEFAULT_USEC (300 * LOOP_USEC_PER_MSEC)
/* Fraction of the bandwidth between data centres that the paths of all
 * nodes may use; a saturated link delays every token that crosses it. */
#define GATEWAY_LINK_SHARE 0.5
/* Largest unused link budget that a node may accumulate, as time at its
 * rate. */
#define GATEWAY_LINK_BURST_USEC (1000 * LOOP_USEC_PER_MSEC)
/* Size limit of a response that is passed on. */
#define GATEWAY_RESPONSE_MAX_BYTES ((size_t)16 * 1024 * 1024)
/* Size limit of a response that is not: one to another request, or a refusal by
 * an engine. Faulty servers send bytes until the connection is closed. */
#define GATEWAY_DISCARDED_MAX_BYTES ((size_t)256 * 1024)
/* A partial event that is not completed within this time shows a stalled
 * server, even if further bytes arrive now and then. */
#define GATEWAY_PARTIAL_EVENT_USEC (1000 * LOOP_USEC_PER_MSEC)

/* A server through which another stream has progressed within the last part of
 * that time does not stall the event. */
#define GATEWAY_PARTIAL_PROGRESS_USEC (500 * LOOP_USEC_PER_MSEC)
/* Servers of stalled paths that are remembered for a request. */
#define GATEWAY_SUSPECTS_MAX (2 * FLEET_STAGES_MAX)

/* Memory of a connection to a server, with its APR pool of 8 KB. */
#define GATEWAY_CONNECTION_BYTES ((size_t)10240)
/* Longest "ip:port" that is kept for the log, without the terminating NUL. */
#define GATEWAY_ADDRESS_MAX_BYTES 21

enum gateway_state {
	/* The request body is being received. */
	GATEWAY_READING,
	/* The request is complete and not yet sent, for example because it
	 * is queued for a path. */
	GATEWAY_WAITING,
	/* The request has been sent to a server. */
	GATEWAY_SENT,
	GATEWAY_ENDED
};

const char *gateway_state_name(enum gateway_state);

struct gateway_stage {
	struct pool_server *server;
	uint32_t layer_from;
	uint32_t layer_to;
};

/* A pending reroute order to the first server of a path; see
 * gateway_reroute.c. */
struct gateway_reroute;

/* An attempt that was given up and may go on; see gateway_keep.c. */
struct gateway_kept;

/* One attempt to run a request at a server or along a path. */
struct gateway_attempt {
	struct h1_conn *conn;
	/* The server to which the request is sent; NULL: no attempt is
	 * active. */
	struct pool_server *server;
	struct gateway_stage stages[FLEET_STAGES_MAX];
	uint32_t stage_count;
	/* Memory that the request is expected to use, in tokens. */
	int64_t tokens;
	int64_t event_usec;
	int64_t first_usec;
	int64_t sent_at;
	/* When bytes were last received, or an event if it is a stream, or the
	 * path last changed; initially sent_at. */
	int64_t last_progress_at;
	/* The connection is being established. */
	bool connecting;
	bool reused;
	/* The response head has been received and belongs to this request. */
	bool response_received;
	/* A response that belongs to another request is being discarded. */
	bool skipping;
	/* Bytes of the response body, and since when the last event has been
	 * incomplete; 0: it is complete. */
	size_t received_bytes;
	int64_t partial_since;
	/* An attempt without progress is not given up before this time. */
	int64_t give_up_not_before;
	/* NULL: no reroute is pending. */
	struct gateway_reroute *reroute;
	/* Earliest time of the next reroute; number of reroutes that
	 * failed. */
	int64_t reroute_not_before;
	uint32_t reroute_failures;
	/* Events that the server has sent. */
	uint32_t events;
	struct adapter_response response;
	struct sse sse;
};

struct gateway_request {
	struct gateway *gateway;
	/* NULL once the caller has disconnected or the request has ended. */
	struct h1_conn *caller;
	struct fleet_config *config;
	const struct fleet_route *route;
	const struct fleet_organisation *organisation;
	const struct fleet_service *service;
	struct adapter_request info;
	char id[ADAPTER_ID_MAX_BYTES + 1];
	struct lstr_buf body;
	enum gateway_state state;
	/* When its head and its last byte were received. */
	int64_t arrived_at;
	int64_t completed_at;
	/* When the caller stops waiting; timeout_at also includes the
	 * route's time limit. */
	int64_t deadline;
	int64_t timeout_at;
	uint32_t priority;
	/* The request waits until this time for the node to read the store
	 * after its start; 0: it does not. */
	int64_t held_until;
	struct sched_entry *queue_entry;
	int64_t queued_at;
	/* When its maximum wait passes, and whether smaller requests started
	 * before it when it was first in its class. */
	int64_t queue_deadline;
	bool overtaken;
	/* When the request was first sent to a server. */
	int64_t started_at;
	/* Expected time from the start to the first event on the last path. */
	int64_t first_usec;
	/* Expected duration when it was last to be sent; 0: not known. */
	int64_t expected_usec;
	struct gateway_attempt attempt;
	/* The newest first; NULL: none. */
	struct gateway_kept *kept;
	struct attempts attempts;
	/* The servers of the paths on which it stalled without a sign of which
	 * of them is at fault, and those whose answers were not valid. Another
	 * path avoids them if it can. */
	struct pool_server *suspects[GATEWAY_SUSPECTS_MAX];
	uint32_t suspect_count;
	bool may_have_run;
	/* Attempts whose server seems to have ended before they came through,
	 * or sent an answer that is not valid. */
	uint32_t cuts;
	/* It is sent although a part of its prompt is confirmed to end servers,
	 * to find out whether it still does. */
	bool trial;
	/* HTTP status of the last failed attempt and the address that it
	 * named as the faulty server, for the log; 0: no response. */
	unsigned int failure_status;
	char faulty_address[GATEWAY_ADDRESS_MAX_BYTES + 1];
	/* The response head has been sent to the caller. */
	bool response_started;
	bool chunked;
	uint64_t last_event;
	uint32_t events;
	int64_t first_event_at;
	int64_t last_event_at;
	int64_t longest_gap;
	struct lstr_buf response;
	/* Memory in the account. */
	size_t held;
	/* Sequence number of the start among all requests of this process. */
	uint64_t start_sequence;
};

struct gateway_service {
	char *name;
	struct sched *queue;
	struct retry_share retries;
	struct waiting_history waiting;
	/* Moving rate of tokens of started requests, used to estimate queue
	 * waits. */
	double started_tokens_per_sec;
	int64_t started_at;
	/* Bytes that paths of this node may still send between data
	 * centres, and when that budget was last updated. */
	double link_budget_bytes;
	int64_t link_updated_at;
	/* Demand at this node, and the state of the service at all nodes with
	 * the time at which it was computed; 0: never. */
	struct demand demand;
	struct headroom headroom;
	int64_t headroom_at;
};

struct gateway {
	struct gateway_config config;
	struct h1_limits limits;
	struct fleet_config *fleet;
	/* Priority classes of the configuration in force. */
	struct urgency urgency;
	/* struct gateway_request; those that have ended are freed by
	 * gateway_tick(), and when a request arrives if there are many. */
	GPtrArray *requests;
	size_t ended;
	/* By name: struct gateway_service. */
	GHashTable *services;
	GRand *rand;
	/* Idle connections to servers, and those of attempts that are kept,
	 * which share the limit of the former. */
	size_t idle_count;
	size_t kept_count;
	uint64_t start_sequence;
	/* quarantine_confirmations() when the requests were last checked. */
	uint64_t confirmations;
	int64_t created_at;
	/* When the configuration in force was applied. */
	int64_t config_at;
	bool dispatching;
	struct gateway_counts counts;
};

int64_t gateway_now(const struct gateway *);
int64_t gateway_config_proved_at(const struct gateway *);
struct gateway_service *gateway_service(struct gateway *, const char *);
/* Updates the account after a change of the buffers of a request. */
void gateway_account(struct gateway_request *);
/* Responses. Each function ends the request, which stays allocated at
 * least until the next round of the loop. */
void gateway_refuse_request(struct gateway_request *, unsigned int status,
    int64_t retry_usec, const char *reason);
void gateway_refuse_for_memory(struct gateway_request *);
void gateway_fail_request(
    struct gateway_request *, unsigned int status, const char *reason);
void gateway_abort_response(struct gateway_request *, const char *reason);
void gateway_end_request(struct gateway_request *, const char *outcome);
void gateway_cancel_request(struct gateway_request *, const char *reason);
void gateway_note_unanswered(struct gateway_request *, const char *reason);
void gateway_note_refusal_lost(struct gateway *, struct lstr id);
void gateway_register_metrics(void);

/* Sends a buffered response to the caller. */
bool gateway_send_response(struct gateway_request *, const char *outcome);

/* Appends to the buffered response; fails the request and returns false if
 * there is no memory for it. */
bool gateway_buffer_response(struct gateway_request *, struct lstr);
void gateway_clear_response(struct gateway_request *);

/* Whether a status states that the request did not run and never will. */
bool gateway_promises_not_run(unsigned int status);

/* Attempts. */
bool gateway_send(struct gateway_request *, struct pool_server *);
void gateway_attempt_end(struct gateway_request *, bool reusable);
void gateway_attempt_failed(
    struct gateway_request *, bool not_run, const char *reason);
bool gateway_attempt_give_up(struct gateway_request *, const char *reason);
const struct h1_ops *gateway_server_ops(void);
bool gateway_make_room_for_kept(struct gateway *);

/* Attempts that were given up and may go on. */
bool gateway_keep_attempt(struct gateway_request *);
bool gateway_put_back(struct gateway_request *, const char *reason);
void gateway_drop_kept(struct gateway_request *);
size_t gateway_kept_bytes(const struct gateway_request *);

/* Requests of a node that is stopping. */
bool gateway_can_start(struct gateway_request *, int64_t expected_usec);
void gateway_refuse_draining(struct gateway_request *);
int64_t gateway_retry_while_draining(
    const struct gateway_request *, int64_t retry_usec);

bool gateway_consume_retry(struct gateway_request *);

/* Parts of prompts that end servers; see quarantine.h. */
bool gateway_quarantine_admit(struct gateway_request *);
bool gateway_quarantine_may_repeat(struct gateway_request *, bool not_run);
void gateway_quarantine_note_sound(const struct gateway_request *);
void gateway_quarantine_note_end(struct gateway_request *);
void gateway_quarantine_tick(struct gateway *);

/* Plain services: each response is buffered completely before it is sent. */
void gateway_plain_start(struct gateway_request *);
bool gateway_plain_has_server(struct gateway_request *);
int64_t gateway_plain_retry_usec(struct gateway_request *);
void gateway_plain_head(struct gateway_request *);
void gateway_plain_body(struct gateway_request *, struct lstr);
void gateway_plain_complete(struct gateway_request *);
void gateway_plain_tick(struct gateway_request *, int64_t now);

/* Generations: responses are streamed event by event. */
void gateway_stream_start(struct gateway_request *);
bool gateway_stream_has_path(struct gateway_request *);
void gateway_stream_suspect(struct gateway_request *, struct pool_server *);
void gateway_stream_head(struct gateway_request *);
void gateway_stream_body(struct gateway_request *, struct lstr);
bool gateway_stream_is_broken_off(const struct gateway_request *);
void gateway_stream_complete(struct gateway_request *);
void gateway_stream_tick(struct gateway_request *, int64_t now);
void gateway_stream_expire(struct gateway_service *, int64_t now);
int64_t gateway_stream_retry_usec(struct gateway_request *);
void gateway_stream_dispatch(struct gateway *);

/* Demand for the engines; see demand.h and headroom.h. */
void gateway_note_arrival(const struct gateway_request *);
void gateway_note_use(const struct gateway_request *, int sign);
bool gateway_has_returned(const struct gateway_request *);
const struct headroom *gateway_headroom(struct gateway *,
    const struct fleet_service *, const struct path_server *, size_t);

/* Reroutes: servers after the first one of a path are replaced while the
 * first server keeps the request. */
bool gateway_reroute(struct gateway_request *, const char *reason);
void gateway_reroute_detach(struct gateway_attempt *);
bool gateway_reroute_ended(struct gateway_request *, int64_t now);
void gateway_reroute_draining(struct gateway_request *, int64_t now);
void gateway_add_load(const struct gateway_attempt *, int sign);
void gateway_format_path(
    const struct gateway_stage *, uint32_t, struct lstr_buf *);
double *gateway_link_budget(const struct gateway_request *);
uint32_t gateway_estimate_output(const struct gateway_request *);

/* Applies what a server states about itself in a response. */
void gateway_note_response(
    struct gateway *, struct pool_server *, const struct adapter_notice *);

/* Returns the time until refusing servers want requests; 0: none is needed. */
int64_t gateway_wanted_usec(const struct gateway_request *);

/* Failed and slow servers. */
void gateway_note_broken_answer(
    struct gateway_request *, struct pool_server *, const char *reason);
void gateway_avoid_server(struct gateway *, struct pool_server *,
    enum pool_evidence, const char *reason);
void gateway_probe(struct gateway *, struct pool_server *, int64_t now);
void gateway_check_probation(struct gateway *, int64_t now);

#endif
