#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "gateway_priv.h"

#define HEAD_MAX_DEFAULT_BYTES ((size_t)16 * 1024)
#define BODY_MAX_DEFAULT_BYTES ((size_t)1024 * 1024)
#define HEAD_TIMEOUT_DEFAULT_USEC (3 * LOOP_USEC_PER_SEC)
#define IDLE_TIMEOUT_DEFAULT_USEC (15 * LOOP_USEC_PER_SEC)
/* Retry-After for callers while this node cannot confirm that its keys are
 * current: about the time after which a lookup returns nodes that can. */
#define UNCONFIRMED_CONFIG_RETRY_USEC (1 * LOOP_USEC_PER_SEC)
/* Memory of a request besides its buffers: the record, and the connection to
 * its server. */
#define REQUEST_BYTES                                                          \
	(sizeof(struct gateway_request) + GATEWAY_CONNECTION_BYTES)
/* Ended requests are freed once there are this many and at least as many as
 * others. */
#define ENDED_MAX 64
/* First allocation for a body. */
#define BODY_GROW_BYTES ((size_t)1024)

/*
 * Returns the event loop's current time in microseconds.
 */
int64_t
gateway_now(const struct gateway *gateway)
{
	return loop_now(gateway->config.loop);
}

/*
 * Returns the latest time at which the configuration in force is proved to have
 * been the newest; 0: never.
 */
int64_t
gateway_config_proved_at(const struct gateway *gateway)
{
	return config_proof_at(gateway->config.config_proof,
	    store_cache_proved_at(gateway->config.store_cache));
}

/*
 * Frees a service and its queue; value destructor of the services table.
 */
static void
service_free(void *data)
{
	struct gateway_service *service = data;

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
	struct gateway_request *request = data;

	gateway_drop_kept(request);
	lstr_buf_free(&request->body);
	lstr_buf_free(&request->response);
	sse_free(&request->attempt.sse);
	account_set(request->gateway->config.account, &request->held, 0);
	fleet_config_unref(request->config);
	free(request);
}

/*
 * Frees the requests that have ended. None of them may be in use by a caller of
 * this function, nor may the requests be iterated over.
 */
static void
free_ended(struct gateway *gateway)
{
	for (guint i = 0; i < gateway->requests->len;) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);

		if (request->state == GATEWAY_ENDED) {
			g_ptr_array_remove_index_fast(gateway->requests, i);
			request_free(request);
		} else {
			i++;
		}
	}
	gateway->ended = 0;
}

/*
 * Updates the account after a change of the buffers of a request. A small body
 * is counted twice, since it is copied when it is sent. A request that has
 * ended has no connection.
 */
void
gateway_account(struct gateway_request *request)
{
	if (request->state == GATEWAY_ENDED) {
		account_set(request->gateway->config.account, &request->held,
		    sizeof(*request) + request->attempt.sse.pending.size);
		return;
	}
	account_set(request->gateway->config.account, &request->held,
	    REQUEST_BYTES + request->body.size +
		MIN(request->body.size, GATEWAY_BODY_COPY_MAX_BYTES) +
		request->response.size + request->attempt.sse.pending.size +
		gateway_kept_bytes(request));
	if (request->caller != NULL)
		h1_set_owner_bytes(request->caller, request->held);
}

/*
 * Creates a gateway without a configuration; it refuses all requests until
 * gateway_set_config() is called.
 */
enum status
gateway_create(const struct gateway_config *config, struct gateway **out)
{
	struct gateway *gateway = g_new0(struct gateway, 1);

	gateway->config = *config;
	gateway->created_at = loop_now(config->loop);
	gateway->limits = (struct h1_limits){HEAD_MAX_DEFAULT_BYTES,
	    HEAD_TIMEOUT_DEFAULT_USEC, IDLE_TIMEOUT_DEFAULT_USEC};
	/* Not enlarged later, since that ends the process without memory. */
	gateway->requests = g_ptr_array_sized_new((guint)config->requests_max);
	gateway->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	gateway->rand = g_rand_new_with_seed(config->seed);
	gateway_register_metrics();
	*out = gateway;
	return STATUS_OK;
}

/*
 * Frees the gateway and its requests. The listener must have been destroyed
 * before.
 */
void
gateway_destroy(struct gateway *gateway)
{
	if (gateway == NULL)
		return;
	for (guint i = 0; i < gateway->requests->len; i++) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);

		gateway_note_unanswered(request, "process exits");
		h1_close(request->attempt.conn);
		request_free(request);
	}
	g_ptr_array_free(gateway->requests, TRUE);
	g_hash_table_destroy(gateway->services);
	g_rand_free(gateway->rand);
	fleet_config_unref(gateway->fleet);
	g_free(gateway);
}

/*
 * Returns the header and timeout limits of callers' connections.
 */
const struct h1_limits *
gateway_limits(const struct gateway *gateway)
{
	return &gateway->limits;
}

/*
 * Returns the counters.
 */
const struct gateway_counts *
gateway_counts(const struct gateway *gateway)
{
	return &gateway->counts;
}

/*
 * Computes the priority classes of a configuration.
 */
static void
set_urgency(struct urgency *urgency, const struct fleet_config *config)
{
	struct urgency_priorities priorities = {0, 0};
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < config->organisations->len; i++) {
		const struct fleet_organisation *organisation =
		    g_ptr_array_index(config->organisations, i);

		if (organisation->has_priority)
			urgency_add(
			    &priorities.organisations, organisation->priority);
	}
	g_hash_table_iter_init(&iter, config->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *routes = value;

		for (guint i = 0; i < routes->len; i++) {
			const struct fleet_route *route =
			    g_ptr_array_index(routes, i);

			urgency_add(&priorities.routes, route->priority);
		}
	}
	urgency_init(urgency, &priorities);
}

/*
 * Replaces the configuration; the gateway takes over the caller's reference.
 */
void
gateway_set_config(struct gateway *gateway, struct fleet_config *config)
{
	fleet_config_unref(gateway->fleet);
	gateway->fleet = config;
	gateway->config_at = gateway_now(gateway);
	set_urgency(&gateway->urgency, config);
	gateway->limits.head_max_bytes = config->limits.head_max_bytes;
	gateway->limits.head_timeout_usec = config->limits.head_timeout_usec;
	gateway->limits.idle_timeout_usec = config->limits.idle_timeout_usec;
}

/*
 * Returns the number of requests that have not ended.
 */
size_t
gateway_count_active(const struct gateway *gateway)
{
	size_t count = 0;

	for (guint i = 0; i < gateway->requests->len; i++) {
		const struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);

		count += request->state != GATEWAY_ENDED;
	}
	return count;
}

/*
 * Returns the number of requests that are queued for a path.
 */
size_t
gateway_count_waiting(const struct gateway *gateway)
{
	size_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gateway_service *service = value;

		count += sched_count(service->queue);
	}
	return count;
}

/*
 * Returns the state of a service, creating it if needed; NULL if its queue
 * cannot be created.
 */
struct gateway_service *
gateway_service(struct gateway *gateway, const char *name)
{
	struct gateway_service *service =
	    g_hash_table_lookup(gateway->services, name);

	if (service == NULL) {
		service = g_new0(struct gateway_service, 1);
		service->name = g_strdup(name);
		if (sched_create(GATEWAY_QUEUE_MAX, &service->queue) !=
		    STATUS_OK) {
			g_free(service->name);
			g_free(service);
			return NULL;
		}
		retry_share_init(&service->retries, gateway->config.retry_slack,
		    gateway->config.retry_ratio,
		    gateway->config.retry_window_usec);
		retry_share_set_nodes(&service->retries,
		    gossip_live_count(gateway->config.gossip),
		    gateway_now(gateway));
		g_hash_table_insert(gateway->services, service->name, service);
	}
	return service;
}

/*
 * Sets the caller's deadline and the time limit of a request.
 */
static void
set_deadlines(struct gateway_request *request)
{
	int64_t caller_timeout = request->info.caller_timeout_usec;
	struct admit_times times;

	if (caller_timeout <= 0)
		caller_timeout = GATEWAY_CALLER_TIMEOUT_DEFAULT_USEC;
	request->deadline = request->arrived_at + caller_timeout;
	times = (struct admit_times){request->completed_at, request->deadline,
	    request->route != NULL ? request->route->timeout_usec : 0};
	request->timeout_at = admit_timeout_at(&times);
}

/*
 * Refuses a request for which no record can be created, and closes its
 * connection.
 */
static void
refuse_without_record(struct gateway *gateway, struct h1_conn *conn)
{
	struct adapter_request info;
	struct lstr_buf text = {0};

	gateway->config.adapter->parse_caller_request(conn, &info);
	gateway->counts.refused++;
	gateway->counts.no_memory++;
	gateway->config.adapter->encode_refusal(HTTP_STATUS_SERVICE_UNAVAILABLE,
	    lstr_make(
		info.id.data, MIN(info.id.len, (size_t)ADAPTER_ID_MAX_BYTES)),
	    ADMIT_RETRY_MIN_USEC, 0, "no memory for the request", &text);
	if (h1_write(conn, lstr_buf_view(&text)) != STATUS_OK)
		gateway_note_refusal_lost(gateway, info.id);
	lstr_buf_free(&text);
	h1_close_gracefully(conn);
}

/*
 * Creates a request when its head has been received.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	struct gateway *gateway = arg;
	struct gateway_request *request = NULL;
	size_t len;

	h1_set_data(conn, NULL);
	h1_set_owner_bytes(conn, 0);
	/* Requests sent ahead may end faster than gateway_tick() frees them. */
	if (gateway->ended >= ENDED_MAX &&
	    gateway->ended >= gateway->requests->len / 2)
		free_ended(gateway);
	if (gateway->requests->len < gateway->config.requests_max &&
	    h1_admit(conn, REQUEST_BYTES))
		request = calloc(1, sizeof(*request));
	if (request == NULL) {
		refuse_without_record(gateway, conn);
		return;
	}

	request->gateway = gateway;
	request->caller = conn;
	request->state = GATEWAY_READING;
	request->arrived_at = gateway_now(gateway);
	gateway->config.adapter->parse_caller_request(conn, &request->info);
	len = MIN(request->info.id.len, (size_t)ADAPTER_ID_MAX_BYTES);
	memcpy(request->id, request->info.id.data, len);
	request->last_event = request->info.last_event;
	set_deadlines(request);
	g_ptr_array_add(gateway->requests, request);
	h1_set_data(conn, request);
	gateway_account(request);
	gateway->counts.taken++;
	if (h1_content_length(conn) >
	    (gateway->fleet ? (int64_t)gateway->fleet->limits.body_max_bytes
			    : (int64_t)BODY_MAX_DEFAULT_BYTES))
		gateway_refuse_request(request, HTTP_STATUS_PAYLOAD_TOO_LARGE,
		    0, "body exceeds the limit");
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
	struct gateway *gateway = arg;
	struct gateway_request *request = h1_data(conn);
	size_t max = gateway->fleet ? gateway->fleet->limits.body_max_bytes
				    : BODY_MAX_DEFAULT_BYTES;

	if (request == NULL)
		return;
	if (request->body.len + bytes.len > max) {
		gateway_refuse_request(request, HTTP_STATUS_PAYLOAD_TOO_LARGE,
		    0, "body exceeds the limit");
		return;
	}
	if (h1_content_length(conn) > 0)
		max = MIN(max, (size_t)h1_content_length(conn));
	if (h1_grow(conn, &request->body,
		request->body.size == 0
		    ? MAX(bytes.len, MIN(max, BODY_GROW_BYTES))
		    : bytes.len,
		max) != STATUS_OK ||
	    lstr_buf_append(&request->body, bytes) != STATUS_OK) {
		gateway_refuse_for_memory(request);
		return;
	}
	gateway_account(request);
}

/*
 * Refuses a request whose body is incomplete, so that its connection and its
 * memory serve others.
 */
void
gateway_refuse_unfinished(struct h1_conn *conn, void *arg)
{
	struct gateway_request *request = h1_data(conn);

	(void)arg;
	if (request == NULL || request->state != GATEWAY_READING)
		h1_close(conn);
	else
		gateway_refuse_for_memory(request);
}

/*
 * Answers a malformed or oversized request with an error, and closes the
 * connection.
 */
static void
reject_malformed(struct gateway *gateway, struct h1_conn *conn)
{
	struct lstr_buf text = {0};
	struct gateway_request *request = h1_data(conn);
	unsigned int status = HTTP_STATUS_BAD_REQUEST;
	const char *reason = "not valid HTTP/1.1";
	int64_t retry_usec = 0;

	if (h1_fault(conn) == H1_FAULT_HEAD_TOO_LARGE) {
		status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
		reason = "header exceeds the limit";
	} else if (h1_fault(conn) == H1_FAULT_HEAD_TIMEOUT) {
		status = HTTP_STATUS_REQUEST_TIMEOUT;
		reason = "header took too long";
	} else if (h1_fault(conn) == H1_FAULT_NO_MEMORY) {
		status = HTTP_STATUS_SERVICE_UNAVAILABLE;
		reason = "no memory for the header";
		retry_usec = ADMIT_RETRY_MIN_USEC;
		gateway->counts.no_memory++;
	}
	gateway->counts.refused++;
	if (h1_fault(conn) != H1_FAULT_NO_MEMORY)
		slog_event(EV_REQUEST_REFUSED, "{s:s, s:i, s:s}", "id", "",
		    "status", (int)status, "reason", reason);
	if (request != NULL) {
		request->caller = NULL;
		gateway_end_request(request, NULL);
		h1_set_data(conn, NULL);
	}
	gateway->config.adapter->encode_refusal(
	    status, lstr_make("", 0), retry_usec, 0, reason, &text);
	/* No whole request is lost if this fails; the connection is closed. */
	(void)h1_write(conn, lstr_buf_view(&text));
	lstr_buf_free(&text);
	h1_close_gracefully(conn);
}

/*
 * Returns whether the configuration in force is proved recently enough for a
 * decision; age_max_usec 0: no limit. Otherwise refuses the request so that the
 * caller tries again.
 */
static bool
check_proof(
    struct gateway_request *request, int64_t age_max_usec, const char *reason)
{
	struct gateway *gateway = request->gateway;
	int64_t now = gateway_now(gateway);
	const struct admit_proof proof = {
	    now - gateway_config_proved_at(gateway), age_max_usec};

	if (admit_proof_decides(&proof))
		return true;
	gateway->counts.no_proof++;
	gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    admit_retry_after(UNCONFIRMED_CONFIG_RETRY_USEC,
		request->deadline - now, g_rand_double(gateway->rand)),
	    reason);
	return false;
}

/*
 * Refuses a request for a route or with a key that the configuration does not
 * contain.
 */
static void
refuse_unknown(
    struct gateway_request *request, unsigned int status, const char *reason)
{
	if (check_proof(request,
		request->gateway->config.unknown_proof_max_usec,
		"configuration cannot be proved current"))
		gateway_refuse_request(request, status, 0, reason);
}

/*
 * Finds the organisation of a request by its API key. Returns false if the
 * request was refused.
 */
static bool
authenticate(struct gateway_request *request)
{
	if (!request->config->keys_required || request->route->anonymous)
		return true;
	if (!check_proof(request, request->gateway->config.proof_max_usec,
		"keys cannot be proved current"))
		return false;
	request->organisation =
	    fleet_config_find_organisation(request->config, request->info.key);
	if (request->organisation != NULL)
		return true;
	refuse_unknown(request, HTTP_STATUS_UNAUTHORIZED, "key is not known");
	return false;
}

/*
 * Returns the priority class of a request; see urgency.h. A generation whose
 * caller has returned is late already, and leaves the room to those that can
 * still be answered in time.
 */
static uint32_t
priority_class(const struct gateway_request *request)
{
	const struct fleet_organisation *organisation = request->organisation;
	bool has_priority = organisation != NULL && organisation->has_priority;
	uint32_t class = urgency_class(&request->gateway->urgency,
	    has_priority
		? (int)MIN(organisation->priority, URGENCY_PRIORITY_MAX)
		: URGENCY_NONE,
	    request->route->priority);

	if (request->route->kind == FLEET_STREAM &&
	    gateway_has_returned(request))
		return SCHED_CLASSES - 1;
	return MIN(class, SCHED_CLASSES - 1u);
}

/*
 * Refuses a request because the node has not read a configuration yet.
 */
static void
refuse_unconfigured(struct gateway_request *request)
{
	gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    admit_retry_after(UNCONFIRMED_CONFIG_RETRY_USEC,
		request->deadline - gateway_now(request->gateway),
		g_rand_double(request->gateway->rand)),
	    "no configuration yet");
}

/*
 * Selects the route, organisation and service of a request, and starts it.
 */
static void
start_request(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	const char *service;

	if (gateway->fleet == NULL) {
		refuse_unconfigured(request);
		return;
	}
	request->config = fleet_config_ref(gateway->fleet);
	request->route = fleet_config_find_route(
	    request->config, request->info.host, h1_target(request->caller));
	if (request->route == NULL) {
		refuse_unknown(
		    request, HTTP_STATUS_NOT_FOUND, "no route matches");
		return;
	}
	set_deadlines(request);
	if (gateway_now(gateway) >=
	    request->timeout_at - GATEWAY_TIMEOUT_MARGIN_USEC) {
		gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    0, "time limit passed before the request was complete");
		return;
	}
	if (!authenticate(request))
		return;
	request->priority = priority_class(request);
	service =
	    fleet_route_pick_service(request->route, g_rand_int(gateway->rand));
	request->service = fleet_config_find_service(request->config, service);
	if (request->service == NULL) {
		gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    ADMIT_RETRY_MIN_USEC, "service is not known");
		return;
	}
	retry_share_add_request(
	    &gateway_service(gateway, request->service->name)->retries,
	    gateway_now(gateway));
	if (request->service->engine != NULL)
		gateway_stream_start(request);
	else
		gateway_plain_start(request);
}

/*
 * Processes a complete request. One that arrives while the node reads the store
 * after its start is held.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct gateway *gateway = arg;
	struct gateway_request *request = h1_data(conn);

	if (h1_fault(conn) == H1_FAULT_BODY_TIMEOUT && request != NULL) {
		gateway_refuse_request(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    ADMIT_RETRY_MIN_USEC, "body took too long");
		return;
	}
	if (h1_fault(conn) != H1_FAULT_NONE) {
		reject_malformed(gateway, conn);
		return;
	}
	if (request == NULL)
		return;
	request->state = GATEWAY_WAITING;
	request->completed_at = gateway_now(gateway);
	if (!store_cache_is_synced(gateway->config.store_cache))
		request->held_until =
		    admit_hold_until(request->arrived_at, gateway->created_at,
			request->deadline - request->arrived_at);
	if (request->held_until <= gateway_now(gateway)) {
		request->held_until = 0;
		start_request(request);
	}
}

/*
 * Starts the requests that were held until the store has been read.
 */
void
gateway_release_held(struct gateway *gateway)
{
	for (guint i = 0; i < gateway->requests->len; i++) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);

		if (request->held_until == 0 ||
		    request->state != GATEWAY_WAITING)
			continue;
		request->held_until = 0;
		start_request(request);
	}
}

/*
 * Cancels the request of a caller whose connection has closed or failed.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct gateway_request *request = h1_data(conn);

	(void)status;
	(void)arg;
	if (request == NULL)
		return;
	if (h1_close_reason(conn) != H1_CLOSE_PEER)
		gateway_note_unanswered(
		    request, h1_close_reason_name(h1_close_reason(conn)));
	gateway_cancel_request(
	    request, h1_close_reason_name(h1_close_reason(conn)));
}

/*
 * Returns the callbacks of the callers' listener; their argument is the
 * gateway.
 */
const struct h1_ops *
gateway_ops(void)
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
gateway_tick(struct gateway *gateway)
{
	int64_t now = gateway_now(gateway);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gateway_service *service = value;

		retry_share_set_nodes(&service->retries,
		    gossip_live_count(gateway->config.gossip), now);
		gateway_stream_expire(service, now);
	}
	gateway_quarantine_tick(gateway);
	gateway_check_probation(gateway, now);
	gateway_stream_dispatch(gateway);
	for (guint i = 0; i < gateway->requests->len; i++) {
		struct gateway_request *request =
		    g_ptr_array_index(gateway->requests, i);

		if (request->state == GATEWAY_WAITING &&
		    request->held_until != 0 && now >= request->held_until) {
			request->held_until = 0;
			start_request(request);
		}
		if (request->state != GATEWAY_SENT)
			continue;
		if (now >= request->timeout_at - GATEWAY_TIMEOUT_MARGIN_USEC)
			gateway_fail_request(request,
			    HTTP_STATUS_GATEWAY_TIMEOUT, "time limit reached");
		else if (request->service->engine != NULL)
			gateway_stream_tick(request, now);
		else
			gateway_plain_tick(request, now);
	}
	free_ended(gateway);
}
