#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "gate_priv.h"

#define HEAD_MAX_DEFAULT_BYTES ((size_t)16 * 1024)
#define BODY_MAX_DEFAULT_BYTES ((size_t)1024 * 1024)
#define HEAD_TIMEOUT_DEFAULT_USEC (3 * LOOP_USEC_PER_SEC)
#define IDLE_TIMEOUT_DEFAULT_USEC (15 * LOOP_USEC_PER_SEC)
/* Retry-After for callers while this node cannot confirm that its keys are
 * current: about the time after which a lookup returns nodes that can. */
#define UNCONFIRMED_CONFIG_RETRY_USEC (1 * LOOP_USEC_PER_SEC)
/* Fraction of the common retry budget that the nodes use. Their windows
 * start at different moments; the margin keeps their sum within the budget
 * in every window. */
#define RETRY_BUDGET_SHARE 0.85

/*
 * Returns the event loop's current time in microseconds.
 */
int64_t
gate_now(const struct gate *gate)
{
	return loop_now(gate->config.loop);
}

/*
 * Frees a service and its queue; value destructor of the services table.
 */
static void
service_free(void *data)
{
	struct gate_service *service = data;

	sched_destroy(service->queue);
	g_free(service->name);
	g_free(service);
}

/*
 * Frees a request that has ended, and releases its share of the body memory.
 */
static void
request_free(void *data)
{
	struct gate_request *request = data;

	request->gate->body_bytes -= request->body.len;
	lstr_buf_free(&request->body);
	lstr_buf_free(&request->response);
	sse_free(&request->attempt.sse);
	fleet_config_unref(request->config);
	g_free(request);
}

/*
 * Creates a gate without a configuration; it refuses all requests until
 * gate_set_config() is called.
 */
enum status
gate_create(const struct gate_config *config, struct gate **out)
{
	struct gate *gate = g_new0(struct gate, 1);

	gate->config = *config;
	gate->limits = (struct h1_limits){HEAD_MAX_DEFAULT_BYTES,
	    HEAD_TIMEOUT_DEFAULT_USEC, IDLE_TIMEOUT_DEFAULT_USEC};
	gate->requests = g_ptr_array_new();
	gate->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	gate->rand = g_rand_new_with_seed(config->seed);
	gate_register_metrics();
	*out = gate;
	return STATUS_OK;
}

/*
 * Frees the gate and its requests. The listener must have been destroyed
 * before.
 */
void
gate_destroy(struct gate *gate)
{
	if (gate == NULL)
		return;
	for (guint i = 0; i < gate->requests->len; i++) {
		struct gate_request *request =
		    g_ptr_array_index(gate->requests, i);

		h1_close(request->attempt.conn);
		request_free(request);
	}
	g_ptr_array_free(gate->requests, TRUE);
	g_hash_table_destroy(gate->services);
	g_rand_free(gate->rand);
	fleet_config_unref(gate->fleet);
	g_free(gate);
}

/*
 * Returns the header and timeout limits of callers' connections.
 */
const struct h1_limits *
gate_limits(const struct gate *gate)
{
	return &gate->limits;
}

/*
 * Returns the counters.
 */
const struct gate_counts *
gate_counts(const struct gate *gate)
{
	return &gate->counts;
}

/*
 * Replaces the configuration; the gate takes over the caller's reference.
 */
void
gate_set_config(struct gate *gate, struct fleet_config *config)
{
	fleet_config_unref(gate->fleet);
	gate->fleet = config;
	gate->limits.head_max_bytes = config->limits.head_max_bytes;
	gate->limits.head_timeout_usec = config->limits.head_timeout_usec;
	gate->limits.idle_timeout_usec = config->limits.idle_timeout_usec;
}

/*
 * Starts draining: responses ask callers to close their connections, and new
 * requests that would not finish before end_at are refused.
 */
void
gate_drain(struct gate *gate, int64_t end_at)
{
	gate->draining = true;
	gate->drain_started_at = gate_now(gate);
	gate->drain_ends_at = end_at;
}

/*
 * Returns whether a request with the given expected duration may still be
 * started; false only while draining, for requests not yet sent to a server.
 */
bool
gate_can_start(const struct gate_request *request, int64_t work_usec)
{
	const struct gate *gate = request->gate;
	int64_t now = gate_now(gate);

	return !gate->draining || request->sends > 0 ||
	    admit_while_stopping(now - gate->drain_started_at,
		gate->drain_ends_at - now, work_usec);
}

/*
 * Refuses a request that cannot finish before the process exits.
 */
void
gate_refuse_draining(struct gate_request *request)
{
	gate_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    admit_retry_after(ADMIT_RETRY_MIN_USEC,
		request->deadline - request->arrived_at,
		g_rand_double(request->gate->rand)),
	    "node is stopping");
}

/*
 * Returns the number of requests that have not ended.
 */
size_t
gate_active(const struct gate *gate)
{
	size_t count = 0;

	for (guint i = 0; i < gate->requests->len; i++) {
		const struct gate_request *request =
		    g_ptr_array_index(gate->requests, i);

		count += request->state != GATE_ENDED;
	}
	return count;
}

/*
 * Returns the number of requests that are queued for a path.
 */
size_t
gate_waiting(const struct gate *gate)
{
	size_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_service *service = value;

		count += sched_count(service->queue);
	}
	return count;
}

/*
 * Returns the state of a service, creating it if needed; NULL if its queue
 * cannot be created.
 */
struct gate_service *
gate_service(struct gate *gate, const char *name)
{
	struct gate_service *service =
	    g_hash_table_lookup(gate->services, name);
	uint32_t nodes = mesh_live_count(gate->config.mesh);

	if (service == NULL) {
		service = g_new0(struct gate_service, 1);
		service->name = g_strdup(name);
		if (sched_create(GATE_QUEUE_MAX, &service->queue) !=
		    STATUS_OK) {
			g_free(service->name);
			g_free(service);
			return NULL;
		}
		g_hash_table_insert(gate->services, service->name, service);
	}
	if (service->budget_nodes == 0) {
		service->budget_nodes = nodes;
		retry_budget_init_share(&service->budget,
		    (int64_t)((double)gate->config.retry_slack *
			RETRY_BUDGET_SHARE / nodes),
		    gate->config.retry_ratio * RETRY_BUDGET_SHARE);
	}
	return service;
}

/*
 * Creates a request when its head has been received.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	struct gate *gate = arg;
	struct gate_request *request = g_new0(struct gate_request, 1);
	size_t len;

	request->gate = gate;
	request->caller = conn;
	request->state = GATE_READING;
	request->arrived_at = gate_now(gate);
	gate->config.adapter->parse_caller_request(conn, &request->info);
	len = MIN(request->info.id.len, (size_t)ADAPTER_ID_MAX_BYTES);
	memcpy(request->id, request->info.id.data, len);
	request->last_event = request->info.last_event;
	g_ptr_array_add(gate->requests, request);
	h1_set_data(conn, request);
	gate->counts.taken++;
	if (h1_content_length(conn) >
	    (gate->fleet ? (int64_t)gate->fleet->limits.body_max_bytes
			 : (int64_t)BODY_MAX_DEFAULT_BYTES))
		gate_refuse_request(request, HTTP_STATUS_PAYLOAD_TOO_LARGE, 0,
		    "body exceeds the limit");
	else if (request->info.expects_continue)
		h1_write(conn, lstr_from("HTTP/1.1 100 Continue\r\n\r\n"));
}

/*
 * Appends to the request body; refuses the request if a size or memory limit
 * is exceeded.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct gate *gate = arg;
	struct gate_request *request = h1_data(conn);
	size_t max = gate->fleet ? gate->fleet->limits.body_max_bytes
				 : BODY_MAX_DEFAULT_BYTES;

	if (request == NULL)
		return;
	if (request->body.len + bytes.len > max) {
		gate_refuse_request(request, HTTP_STATUS_PAYLOAD_TOO_LARGE, 0,
		    "body exceeds the limit");
		return;
	}
	if (gate->body_bytes + bytes.len > gate->config.bodies_max_bytes ||
	    lstr_buf_append(&request->body, bytes) != STATUS_OK) {
		gate_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    ADMIT_RETRY_MIN_USEC, "no memory for the body");
		return;
	}
	gate->body_bytes += bytes.len;
}

/*
 * Answers a malformed or oversized request with an error, and closes the
 * connection.
 */
static void
reject_malformed(struct gate *gate, struct h1_conn *conn)
{
	struct lstr_buf text = {0};
	struct gate_request *request = h1_data(conn);
	unsigned int status = HTTP_STATUS_BAD_REQUEST;
	const char *reason = "not valid HTTP/1.1";

	if (h1_fault(conn) == H1_FAULT_HEAD_TOO_LARGE) {
		status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
		reason = "header exceeds the limit";
	} else if (h1_fault(conn) == H1_FAULT_HEAD_TIMEOUT) {
		status = HTTP_STATUS_REQUEST_TIMEOUT;
		reason = "header took too long";
	}
	gate->counts.refused++;
	slog_event(EV_REQUEST_REFUSED, "{s:s, s:i, s:s}", "id", "", "status",
	    (int)status, "reason", reason);
	if (request != NULL) {
		request->caller = NULL;
		gate_end_request(request, NULL);
		h1_set_data(conn, NULL);
	}
	gate->config.adapter->encode_refusal(
	    status, lstr_make("", 0), 0, true, reason, &text);
	h1_write(conn, lstr_buf_view(&text));
	lstr_buf_free(&text);
	h1_finish(conn);
}

/*
 * Finds the organisation of a request by its API key. Returns false if the
 * request was refused.
 */
static bool
authenticate(struct gate_request *request)
{
	struct gate *gate = request->gate;
	int64_t proof_age =
	    gate_now(gate) - mirror_proved_at(gate->config.mirror);

	if (!request->config->keys_required || request->route->anonymous)
		return true;
	if (gate->config.proof_max_usec > 0 &&
	    proof_age > gate->config.proof_max_usec) {
		gate->counts.no_proof++;
		gate_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    admit_retry_after(UNCONFIRMED_CONFIG_RETRY_USEC,
			request->deadline - request->arrived_at,
			g_rand_double(gate->rand)),
		    "keys cannot be proved current");
		return false;
	}
	request->organisation =
	    fleet_config_find_organisation(request->config, request->info.key);
	if (request->organisation != NULL)
		return true;
	gate_refuse_request(
	    request, HTTP_STATUS_UNAUTHORIZED, 0, "key is not known");
	return false;
}

/*
 * Returns the priority class of a request: that of its organisation if set,
 * else that of its route.
 */
static uint32_t
priority_class(const struct gate_request *request)
{
	uint32_t priority = request->route->priority;

	if (request->organisation != NULL &&
	    request->organisation->has_priority)
		priority = request->organisation->priority;
	return MIN(priority, SCHED_CLASSES - 1);
}

/*
 * Sets the caller's deadline and the time limit of a request.
 */
static void
set_deadlines(struct gate_request *request)
{
	int64_t caller_timeout = request->info.caller_timeout_usec;

	if (caller_timeout <= 0)
		caller_timeout = GATE_CALLER_TIMEOUT_DEFAULT_USEC;
	request->deadline = request->arrived_at + caller_timeout;
	request->timeout_at = request->deadline;
	if (request->route != NULL && request->route->timeout_usec > 0)
		request->timeout_at = MIN(request->deadline,
		    request->arrived_at + request->route->timeout_usec);
}

/*
 * Processes a complete request: selects its route, organisation and service,
 * and starts it.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct gate *gate = arg;
	struct gate_request *request = h1_data(conn);
	const char *service;

	if (h1_fault(conn) != H1_FAULT_NONE) {
		reject_malformed(gate, conn);
		return;
	}
	if (request == NULL)
		return;
	request->state = GATE_WAITING;
	set_deadlines(request);
	if (gate->fleet == NULL) {
		gate_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    admit_retry_after(UNCONFIRMED_CONFIG_RETRY_USEC,
			request->deadline - request->arrived_at,
			g_rand_double(gate->rand)),
		    "no configuration yet");
		return;
	}
	request->config = fleet_config_ref(gate->fleet);
	request->route = fleet_config_find_route(
	    request->config, request->info.host, h1_target(conn));
	if (request->route == NULL) {
		gate_refuse_request(
		    request, HTTP_STATUS_NOT_FOUND, 0, "no route matches");
		return;
	}
	set_deadlines(request);
	if (!authenticate(request))
		return;
	request->priority = priority_class(request);
	service =
	    fleet_route_pick_service(request->route, g_rand_int(gate->rand));
	request->service = fleet_config_find_service(request->config, service);
	if (request->service == NULL) {
		gate_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    ADMIT_RETRY_MIN_USEC, "service is not known");
		return;
	}
	retry_budget_add_request(
	    &gate_service(gate, request->service->name)->budget);
	if (request->service->engine != NULL)
		gate_stream_start(request);
	else
		gate_plain_start(request);
}

/*
 * Cancels the request of a caller whose connection has closed.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct gate_request *request = h1_data(conn);

	(void)status;
	(void)arg;
	if (request != NULL)
		gate_cancel_request(request);
}

/*
 * Returns the callbacks of the callers' listener; their argument is the gate.
 */
const struct h1_ops *
gate_ops(void)
{
	static const struct h1_ops ops = {
	    NULL, NULL, on_head, on_body, on_complete, on_ended};

	return &ops;
}

/*
 * Performs periodic work: enforces time limits, detects stalls, starts queued
 * requests and frees those that have ended.
 */
void
gate_tick(struct gate *gate)
{
	int64_t now = gate_now(gate);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		gate_stream_expire(gate, value, now);
	gate_check_probation(gate, now);
	gate_stream_dispatch(gate);
	for (guint i = 0; i < gate->requests->len; i++) {
		struct gate_request *request =
		    g_ptr_array_index(gate->requests, i);

		if (request->state != GATE_SENT)
			continue;
		if (now >= request->timeout_at - GATE_TIMEOUT_MARGIN_USEC)
			gate_fail_request(request, HTTP_STATUS_GATEWAY_TIMEOUT,
			    "time limit reached");
		else if (request->service->engine != NULL)
			gate_stream_tick(request, now);
		else
			gate_plain_tick(request, now);
	}
	for (guint i = 0; i < gate->requests->len;) {
		struct gate_request *request =
		    g_ptr_array_index(gate->requests, i);

		if (request->state == GATE_ENDED) {
			g_ptr_array_remove_index_fast(gate->requests, i);
			request_free(request);
		} else {
			i++;
		}
	}
}
