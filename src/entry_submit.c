#include <stdlib.h>
#include <string.h>

#include "choose.h"
#include "entry_priv.h"
#include "log.h"
#include "rendezvous.h"

#define NO_REPLICA_RETRY_USEC (100 * LOOP_USEC_PER_MSEC)
#define DISCONNECT_CHECK_INTERVAL_USEC (250 * LOOP_USEC_PER_MSEC)
#define REPLICA_KEY_MAX 160

static struct metric submissions = {"chestnuthoist_entry_submissions_total", "",
    "Requests submitted to routers, repeated ones included.", METRIC_COUNTER, 0,
    NULL};
static struct metric resubmissions = {"chestnuthoist_entry_resubmissions_total",
    "", "Requests submitted to a router again.", METRIC_COUNTER, 0, NULL};
static struct metric stale_frames = {"chestnuthoist_entry_stale_frames_total",
    "", "Messages of routers about submissions that are over.", METRIC_COUNTER,
    0, NULL};
static struct metric duplicate_tokens = {
    "chestnuthoist_entry_duplicate_tokens_total", "",
    "Tokens at positions that were delivered before.", METRIC_COUNTER, 0, NULL};
static struct metric cancels = {"chestnuthoist_entry_cancels_total", "",
    "Submissions cancelled at their router.", METRIC_COUNTER, 0, NULL};

/*
 * Registers the metrics of submissions.
 */
void
entry_submit_register_metrics(void)
{
	metric_register(&submissions);
	metric_register(&resubmissions);
	metric_register(&stale_frames);
	metric_register(&duplicate_tokens);
	metric_register(&cancels);
}

/*
 * Formats the key of a replica in the table of open submissions.
 */
static void
replica_key(char out[REPLICA_KEY_MAX], const char *service, const char *replica)
{
	snprintf(out, REPLICA_KEY_MAX, "%s/%s", service, replica);
}

/*
 * Adds change to the number of open submissions on the replica of a request.
 */
static void
adjust_outstanding(struct entry_request *r, int change)
{
	GHashTable *table = r->entry->outstanding;
	char key[REPLICA_KEY_MAX];
	gintptr n;

	replica_key(key, r->stream->service, r->replica);
	n = (gintptr)g_hash_table_lookup(table, key) + change;
	if (n > 0)
		g_hash_table_insert(table, g_strdup(key), (gpointer)n);
	else
		g_hash_table_remove(table, key);
}

/*
 * Ends the current submission of a request locally and releases its router.
 */
static void
detach_from_router(struct entry_request *r)
{
	if (r->router == NULL)
		return;
	if (r->submission_id != 0)
		g_hash_table_remove(r->entry->submissions, &r->submission_id);
	r->submission_id = 0;
	adjust_outstanding(r, -1);
	entry_routers_release(r->router);
	r->router = NULL;
}

/*
 * Tells the router of a request to cancel the submission, and detaches the
 * request from the router.
 */
void
entry_submit_cancel(struct entry_request *r)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Cancel cancel = CH__CANCEL__INIT;

	if (r->submission_id != 0) {
		cancel.stream = r->submission_id;
		frame.kind_case = CH__FRAME__KIND_CANCEL;
		frame.cancel = &cancel;
		entry_router_send(r->router, &frame);
		cancels.value++;
	}
	detach_from_router(r);
}

/*
 * Returns the address of the router that owns a replica, or NULL.
 */
static const char *
find_router_of_replica(uint32_t index, void *arg)
{
	const struct entry *entry = arg;
	const struct inv *inv = syncd_client_inventory(entry->syncd_client);
	const struct inv_replica *replica = &inv->replicas[index];
	const struct view_member *owner = rendezvous_replica_owner(entry->view,
	    lstr_from(inv->places[replica->place].region),
	    lstr_from(replica->name));

	if (owner == NULL || owner->router_address == NULL ||
	    owner->router_address[0] == '\0')
		return NULL;
	return owner->router_address;
}

/*
 * Returns true if an instance is known to be leaving.
 */
static bool
is_leaving(struct lstr instance, void *arg)
{
	const struct entry *entry = arg;

	return syncd_client_instance_leaving(entry->syncd_client, instance);
}

/*
 * Returns the number of open submissions of this entry on a replica.
 */
static uint32_t
count_outstanding_on(uint32_t index, void *arg)
{
	const struct entry *entry = arg;
	const struct inv *inv = syncd_client_inventory(entry->syncd_client);
	const struct inv_replica *replica = &inv->replicas[index];
	char key[REPLICA_KEY_MAX];

	replica_key(key, inv->services[replica->service].name, replica->name);
	return (uint32_t)(gintptr)g_hash_table_lookup(entry->outstanding, key);
}

/*
 * Chooses the replica and the router for a request.
 */
static enum status
choose_replica_and_router(struct entry_request *r, struct choose_result *out)
{
	struct entry *entry = r->entry;
	const struct inv *inv = syncd_client_inventory(entry->syncd_client);
	struct choose_context context = {.inv = inv,
	    .place = inv_find_place(inv, lstr_from(entry->proc->hello.place)),
	    .router = find_router_of_replica,
	    .leaving = is_leaving,
	    .outstanding = count_outstanding_on,
	    .arg = entry};
	uint32_t service = inv_find_service(inv, lstr_from(r->stream->service));

	if (service == INV_NONE)
		return status_set(STATUS_NOT_FOUND, "the service is gone");
	return choose_replica(&context, service,
	    lstr_from(r->stream->idempotent ? "" : r->stream->key),
	    lstr_from(r->replica), entry->random, out);
}

/*
 * Carries out the action that the stream returned for an event. outcome is used
 * only with STREAM_END.
 */
static void
apply_action(struct entry_request *r, enum stream_action action,
    const struct stream_outcome *outcome, int64_t now)
{
	switch (action) {
	case STREAM_NO_ACTION:
	case STREAM_DELIVER:
		return;
	case STREAM_CANCEL_AND_RETRY:
		entry_submit_cancel(r);
		resubmissions.value++;
		break;
	case STREAM_RETRY:
		detach_from_router(r);
		resubmissions.value++;
		if (r->stream->retry_at <= now)
			entry_submit(r, now);
		break;
	case STREAM_END:
		if (outcome->outcome == CH__OUTCOME__OUTCOME_UNKNOWN)
			entry_submit_cancel(r);
		else
			detach_from_router(r);
		entry_finish_response(r, outcome);
		break;
	}
}

/*
 * Sends a Submit message on the established link of the chosen router. If it
 * cannot be sent, the router has received nothing, and the request waits until
 * another replica is chosen.
 */
static void
send_submit(struct entry_request *r, int64_t now)
{
	struct entry *entry = r->entry;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Submit submit;
	ProtobufCBinaryData *delivered =
	    g_new(ProtobufCBinaryData, r->stream->delivered->len + 1);
	struct stream_outcome outcome;
	enum status status;

	stream_fill_submit(r->stream, entry->last_submission_id + 1, r->replica,
	    &submit, delivered);
	frame.kind_case = CH__FRAME__KIND_SUBMIT;
	frame.submit = &submit;
	status = entry_router_send(r->router, &frame);
	g_free(delivered);
	if (status != STATUS_OK) {
		stream_on_link_lost(r->stream, now, entry->random, &outcome);
		r->stream->retry_at = now + NO_REPLICA_RETRY_USEC;
		detach_from_router(r);
		return;
	}
	submissions.value++;
	r->submission_id = ++entry->last_submission_id;
	g_hash_table_insert(entry->submissions, &r->submission_id, r);
	stream_submitted(r->stream);
}

/*
 * Chooses a replica for a waiting request and submits the request to the router
 * that owns the replica, either now or once the link is established. Without an
 * eligible replica the request waits for NO_REPLICA_RETRY_USEC.
 */
void
entry_submit(struct entry_request *r, int64_t now)
{
	struct choose_result chosen = {INV_NONE, NULL};

	if (choose_replica_and_router(r, &chosen) != STATUS_OK ||
	    entry_routers_acquire(
		r->entry->routers, chosen.router, &r->router) != STATUS_OK) {
		r->stream->retry_at = now + NO_REPLICA_RETRY_USEC;
		return;
	}
	g_free(r->replica);
	r->replica = g_strdup(syncd_client_inventory(r->entry->syncd_client)
				  ->replicas[chosen.replica]
				  .name);
	adjust_outstanding(r, 1);
	stream_router_chosen(r->stream);
	if (entry_router_is_up(r->router))
		send_submit(r, now);
}

/*
 * Submits the requests that were waiting for the link to a router.
 */
static void
on_router_up(struct entry_router *router, void *arg)
{
	struct entry *entry = arg;
	int64_t now = loop_now(entry->proc->loop);

	entry->view_changed = true;
	for (guint i = 0; i < entry->requests->len; i++) {
		struct entry_request *r = entry->requests->pdata[i];

		if (r->router == router &&
		    r->stream->state == STREAM_CONNECTING)
			send_submit(r, now);
	}
}

/*
 * Rebuilds the entry's view from the syncd's view and marks routers that are
 * being avoided as suspected, so that their replicas get other owners
 * immediately.
 */
static void
rebuild_view(struct entry *entry, int64_t now)
{
	const struct view *syncd_view = syncd_client_view(entry->syncd_client);
	struct view *view = NULL;

	entry->view_changed = false;
	if (syncd_view == NULL || view_create(&view) != STATUS_OK)
		return;
	for (size_t i = 0; i < view_count(syncd_view); i++) {
		struct view_member member = *view_at(syncd_view, i);
		bool changed;

		if (entry_routers_is_avoided(
			entry->routers, member.router_address, now))
			member.state = VIEW_SUSPECTED;
		view_put(view, &member, &changed);
	}
	view_destroy(entry->view);
	entry->view = view;
}

/*
 * Handles the loss of a router for each request that was submitted to it.
 */
static void
on_router_lost(struct entry_router *router, void *arg)
{
	struct entry *entry = arg;
	int64_t now = loop_now(entry->proc->loop);

	rebuild_view(entry, now);
	for (guint i = 0; i < entry->requests->len; i++) {
		struct entry_request *r = entry->requests->pdata[i];
		struct stream_outcome outcome;
		enum stream_action action;

		if (r->router != router)
			continue;
		action = stream_on_link_lost(
		    r->stream, now, entry->random, &outcome);
		apply_action(r, action, &outcome, now);
	}
}

/*
 * Returns the request with a submission id at a router, or NULL if that
 * submission has ended.
 */
static struct entry_request *
find_submission(
    struct entry *entry, struct entry_router *router, uint64_t submission_id)
{
	struct entry_request *r =
	    g_hash_table_lookup(entry->submissions, &submission_id);

	if (r != NULL && r->router == router)
		return r;
	stale_frames.value++;
	return NULL;
}

/*
 * Handles a token or the end of a submission from a router.
 */
static void
on_router_frame(struct entry_router *router, const Ch__Frame *frame, void *arg)
{
	struct entry *entry = arg;
	int64_t now = loop_now(entry->proc->loop);
	struct entry_request *r = NULL;
	struct stream_outcome outcome;
	enum stream_action action;

	if (frame->kind_case == CH__FRAME__KIND_TOKEN) {
		r = find_submission(entry, router, frame->token->stream);
		if (r == NULL)
			return;
		action = stream_on_token(
		    r->stream, frame->token, now, entry->random, &outcome);
		if (action == STREAM_DELIVER)
			entry_write_token(r, frame->token);
		else if (action == STREAM_NO_ACTION)
			duplicate_tokens.value++;
		apply_action(r, action, &outcome, now);
	} else if (frame->kind_case == CH__FRAME__KIND_DONE) {
		r = find_submission(entry, router, frame->done->stream);
		if (r == NULL)
			return;
		action = stream_on_done(
		    r->stream, frame->done, now, entry->random, &outcome);
		/* The router has ended the submission: no need to cancel. */
		detach_from_router(r);
		apply_action(r, action, &outcome, now);
	}
}

const struct entry_routers_ops entry_router_ops = {
    on_router_up, on_router_frame, on_router_lost};

/*
 * Handles the timeouts of one request, and a disconnected caller if
 * check_disconnect is set.
 */
static void
check_request(struct entry_request *r, bool check_disconnect, int64_t now)
{
	struct stream_outcome outcome;
	enum stream_action action;

	if (r->stream->state == STREAM_ENDED)
		return;
	if (check_disconnect && httpd_client_disconnected(r->http)) {
		httpd_abort(r->http);
		return;
	}
	action = stream_check_timeouts(r->stream, now, &outcome);
	if (action == STREAM_END)
		apply_action(r, action, &outcome, now);
	else if (r->stream->state == STREAM_WAITING &&
	    now >= r->stream->retry_at)
		entry_submit(r, now);
}

/*
 * Checks all requests for expired deadlines, due resubmissions and disconnected
 * callers.
 */
void
entry_check_requests(struct entry *entry, int64_t now)
{
	bool check_disconnect = now >= entry->next_disconnect_check_at;

	if (check_disconnect) {
		entry->next_disconnect_check_at =
		    now + DISCONNECT_CHECK_INTERVAL_USEC;
		if (entry_routers_expire(entry->routers, now))
			entry->view_changed = true;
	}
	if (entry->view_changed)
		rebuild_view(entry, now);
	for (guint i = 0; i < entry->requests->len; i++)
		check_request(entry->requests->pdata[i], check_disconnect, now);
}
