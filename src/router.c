#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "log.h"
#include "router_priv.h"

#define TICK_INTERVAL_USEC (250 * LOOP_USEC_PER_MSEC)
/* Time that a draining router waits for its record to be stored. */
#define DRAIN_STORE_TIMEOUT_USEC (10 * LOOP_USEC_PER_SEC)

static void on_tick(void *);

/*
 * Returns the current time in microseconds.
 */
int64_t
router_now(const struct router *router)
{
	return loop_now(router->config.loop);
}

/*
 * Sends a message to the syncd of this node. Returns STATUS_CLOSED when it is
 * not connected.
 */
enum status
router_send_syncd(struct router *router, Ch__Frame *frame)
{
	struct router_syncd *syncd = router->config.syncd;

	if (!syncd->vtable->is_up(syncd))
		return status_set(STATUS_CLOSED, "no link to the syncd");
	return syncd->vtable->send(syncd, frame);
}

/*
 * Compares two order identities. The hash table uses their first 8 bytes as the
 * hash value.
 */
static gboolean
identity_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, ROUTER_IDENTITY_BYTES) == 0;
}

/*
 * Creates the tables and timers of a router.
 */
static enum status
create_tables(struct router *router)
{
	struct loop *loop = router->config.loop;
	enum status status = route_table_create(&router->routes);

	router->rand = g_rand_new_with_seed(router->config.seed);
	router->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	router->replicas =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, replica_free);
	router->budgets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	router->orders = g_hash_table_new_full(
	    g_int64_hash, identity_equal, NULL, order_free);
	router->ended_orders = g_queue_new();
	router->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
	router->pending_outcomes = g_queue_new();
	router->held = g_queue_new();
	router->load_queries = g_hash_table_new(NULL, NULL);
	randombytes_buf(
	    router->claim_token_prefix, sizeof(router->claim_token_prefix));
	if (status == STATUS_OK)
		status = limit_table_create(&router->limits);
	if (status == STATUS_OK)
		status = rec_create(
		    router->config.node, router->config.boot, &router->rec);
	if (status == STATUS_OK)
		status = loop_timer_create(
		    loop, record_on_hold_timer, router, &router->hold_timer);
	if (status == STATUS_OK)
		status = loop_timer_create(
		    loop, record_on_copy_timer, router, &router->copy_timer);
	if (status == STATUS_OK)
		status = loop_timer_create(
		    loop, on_tick, router, &router->tick_timer);
	return status;
}

/*
 * Creates a router. It refuses requests until router_on_config() is called.
 * Everything that the config points to must outlive the router.
 */
enum status
router_create(const struct router_config *config, struct router **out)
{
	struct router *router = g_new0(struct router, 1);
	enum status status;

	router->config = *config;
	status = create_tables(router);
	if (status != STATUS_OK) {
		router_destroy(router);
		return status;
	}
	router_metrics_register();
	rec_register_metrics();
	loop_timer_set(
	    router->tick_timer, router_now(router) + TICK_INTERVAL_USEC);
	*out = router;
	return STATUS_OK;
}

/*
 * Frees a router immediately: its calls are cancelled and entries receive no
 * further messages.
 */
void
router_destroy(struct router *router)
{
	GList *jobs;

	if (router == NULL)
		return;
	router->drained = true;
	jobs = g_hash_table_get_values(router->jobs);
	for (GList *j = jobs; j != NULL; j = j->next)
		job_detach_entry(j->data);
	for (GList *j = jobs; j != NULL; j = j->next) {
		job_stop_work(j->data);
		job_free(j->data);
	}
	g_list_free(jobs);
	load_queries_free(router);
	claims_free(router);
	g_queue_free_full(router->held, g_free);
	g_free(router->record_peer);
	g_hash_table_destroy(router->budgets);
	g_hash_table_destroy(router->replicas);
	g_hash_table_destroy(router->jobs);
	loop_timer_destroy(router->hold_timer);
	loop_timer_destroy(router->copy_timer);
	loop_timer_destroy(router->tick_timer);
	rec_destroy(router->rec);
	limit_table_destroy(router->limits);
	route_table_destroy(router->routes);
	g_rand_free(router->rand);
	g_free(router);
}

/*
 * Initializes an entry that has connected.
 */
void
router_entry_open(struct router *router, struct router_entry *entry)
{
	(void)router;
	entry->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
}

/*
 * Handles a message from an entry; other kinds than Submit and Cancel are
 * ignored.
 */
void
router_on_entry_frame(
    struct router *router, struct router_entry *entry, const Ch__Frame *frame)
{
	struct job *job;

	if (frame->kind_case == CH__FRAME__KIND_SUBMIT) {
		router_submit(router, entry, frame->submit);
	} else if (frame->kind_case == CH__FRAME__KIND_CANCEL) {
		job = g_hash_table_lookup(entry->jobs, &frame->cancel->stream);
		if (job != NULL)
			job_cancel(job);
	}
}

/*
 * Handles the disconnection of an entry by cancelling its requests. The entry
 * must not be used afterwards.
 */
void
router_entry_close(struct router *router, struct router_entry *entry)
{
	GList *jobs = g_hash_table_get_values(entry->jobs);

	(void)router;
	for (GList *j = jobs; j != NULL; j = j->next)
		((struct job *)j->data)->entry = NULL;
	g_hash_table_destroy(entry->jobs);
	entry->jobs = NULL;
	for (GList *j = jobs; j != NULL; j = j->next)
		job_cancel(j->data);
	g_list_free(jobs);
}

/*
 * Sends the syncd of this node the address, the record key and the readiness of
 * this router.
 */
void
router_send_role_state(struct router *router)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RoleState state = CH__ROLE_STATE__INIT;

	state.role = CH__ROLE__ROLE_ROUTER;
	state.address = (char *)router->config.address;
	state.ready = router_is_ready(router);
	state.leaving = router->draining;
	state.record_key.data = (uint8_t *)rec_public_key(router->rec);
	state.record_key.len = REC_PUBLIC_KEY_BYTES;
	state.boot = router->config.boot;
	frame.kind_case = CH__FRAME__KIND_ROLE_STATE;
	frame.role_state = &state;
	router_send_syncd(router, &frame);
}

/*
 * Reports to the syncd that an engine started or stopped leaving.
 */
void
router_report_leaving(struct router *router, uint32_t slot, bool leaving)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Instances instances = CH__INSTANCES__INIT;
	Ch__Instance item = CH__INSTANCE__INIT;
	Ch__Instance *items[] = {&item};
	struct route_slot_info info;

	route_slot_info(router->routes, slot, router_now(router), &info);
	log_event(
	    EV_INSTANCE_LEAVING, "instance=%s leaving=%d", info.name, leaving);
	item.name = (char *)info.name;
	item.leaving = leaving;
	instances.n_items = 1;
	instances.items = items;
	instances.source = (char *)router->config.node;
	frame.kind_case = CH__FRAME__KIND_INSTANCES;
	frame.instances = &instances;
	router_send_syncd(router, &frame);
}

/*
 * Applies a configuration. The caller keeps ownership and must keep it valid
 * until the next call returns.
 */
void
router_on_config(struct router *router, const struct inv *inv)
{
	bool first = router->inv == NULL;

	router->inv = inv;
	route_configure(router->routes, inv, router_now(router));
	router_on_instances(router);
	replica_rebind_all(router);
	if (!first)
		return;
	log_event(EV_ROUTER_READY, "revision=%llu address=%s",
	    (unsigned long long)inv->revision, router->config.address);
	router_send_role_state(router);
}

/*
 * Handles a change of the membership view. A router does not enforce replica
 * ownership; it only looks up the peer that replicates its record.
 */
void
router_on_view(struct router *router, const struct view *view)
{
	record_on_view(router, view);
}

/*
 * Applies the instance states known to the syncd.
 */
void
router_on_instances(struct router *router)
{
	struct router_syncd *syncd = router->config.syncd;
	int64_t now = router_now(router);

	for (uint32_t i = 0;
	     router->inv != NULL && i < router->inv->instance_count; i++) {
		struct lstr name = lstr_from(router->inv->instances[i].name);

		route_set_leaving(router->routes,
		    route_slot_of_instance(router->routes, i),
		    ROUTE_SOURCE_LIST,
		    syncd->vtable->instance_leaving(syncd, name), now);
	}
}

/*
 * Handles a message from the syncd; kinds that routers do not use are ignored.
 */
void
router_on_syncd_frame(struct router *router, const Ch__Frame *frame)
{
	switch (frame->kind_case) {
	case CH__FRAME__KIND_CLAIM_REPLY:
		claims_on_reply(router, frame->claim_reply);
		break;
	case CH__FRAME__KIND_RECORD_ACK:
		record_on_ack(router, frame->record_ack);
		break;
	case CH__FRAME__KIND_RECORD_STORED:
		record_on_stored(router, frame->record_stored);
		break;
	default:
		break;
	}
}

/*
 * Sends a newly connected syncd the state, claims and records of this router.
 */
void
router_on_syncd_up(struct router *router)
{
	router_send_role_state(router);
	claims_on_syncd_up(router);
	record_on_syncd_up(router);
}

/*
 * Runs the periodic tasks: closing record segments, load queries and the check
 * for a completed drain.
 */
static void
on_tick(void *arg)
{
	struct router *router = arg;
	int64_t now = router_now(router);

	record_tick(router);
	if (now >= router->next_load_query_at && router->inv != NULL) {
		router->next_load_query_at =
		    now + router->config.load_interval_usec;
		load_query_all(router);
	}
	loop_timer_set(router->tick_timer, now + TICK_INTERVAL_USEC);
	router_check_drained(router);
}

/*
 * Returns whether the router accepts requests.
 */
bool
router_is_ready(const struct router *router)
{
	return router->inv != NULL && !router->draining;
}

/*
 * Returns the number of requests in all states.
 */
size_t
router_job_count(const struct router *router)
{
	return g_hash_table_size(router->jobs);
}

/*
 * Ends one request that waits for a claim or a backoff. An order whose claim
 * may exist ends as not run; any other request may move to another router.
 */
static void
drain_job(struct job *job)
{
	switch (job->state) {
	case JOB_CLAIMING:
		job_finish_with(job,
		    job->claim_requested ? CH__OUTCOME__OUTCOME_NOT_RUN
					 : CH__OUTCOME__OUTCOME_MOVED,
		    "leaving", "the router is leaving");
		break;
	case JOB_BACKOFF:
		job_finish_with(job, CH__OUTCOME__OUTCOME_MOVED, "leaving",
		    "the router is leaving");
		break;
	default:
		break;
	}
}

/*
 * Starts the graceful shutdown; further calls have no effect. Queued requests
 * move to other routers, queued orders end as not run, running requests finish
 * and the record is stored; then on_drained is called.
 */
void
router_drain(struct router *router)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	GArray *ids;

	if (router->draining)
		return;
	router->draining = true;
	router_send_role_state(router);
	g_hash_table_iter_init(&iter, router->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		replica_drain(value);
	ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_iter_init(&iter, router->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_vals(ids, key, 1);
	for (guint i = 0; i < ids->len; i++) {
		struct job *job =
		    job_find(router, g_array_index(ids, uint64_t, i));

		if (job != NULL)
			drain_job(job);
	}
	g_array_free(ids, TRUE);
	router_check_drained(router);
}

/*
 * Completes the drain when no request is left and the record is stored, or when
 * storing it has timed out. After a timeout only the copy at the record peer
 * remains.
 */
void
router_check_drained(struct router *router)
{
	int64_t now = router_now(router);

	if (!router->draining || router->drained ||
	    g_hash_table_size(router->jobs) > 0)
		return;
	if (router->drain_store_deadline == 0) {
		router->drain_store_deadline = now + DRAIN_STORE_TIMEOUT_USEC;
		record_flush(router);
	}
	if (!record_is_flushed(router) && now < router->drain_store_deadline)
		return;
	if (!record_is_flushed(router)) {
		router_count_event(ROUTER_RECORD_LOST);
		log_event(EV_RECORD_NOT_STORED, "bytes=%zu",
		    rec_waiting_bytes(router->rec));
	}
	router->drained = true;
	log_event(EV_ROUTER_DRAINED, "node=%s", router->config.node);
	if (router->config.on_drained != NULL)
		router->config.on_drained(router->config.arg);
}
