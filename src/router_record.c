#include <string.h>

#include "log.h"
#include "rendezvous.h"
#include "router_priv.h"

/* Entries are batched for this long before they are replicated. */
#define COPY_DELAY_USEC (5 * LOOP_USEC_PER_MSEC)
/* Maximum time for which an answer is held for the replication of its entry. */
#define HOLD_MAX_USEC (250 * LOOP_USEC_PER_MSEC)

/*
 * Appends the dispatch of a request to the record. The first token or the
 * answer is held until the entry was replicated to another data centre.
 */
void
record_dispatch(struct job *job, Ch__RecordReason reason)
{
	struct router *router = job->router;
	int64_t now = router_now(router);
	struct rec_event event = {
	    .organisation = lstr_from(job->submit->organisation),
	    .request = lstr_make(
		job->submit->request_id.data, job->submit->request_id.len),
	    .arrival = job->submit->arrival,
	    .start = now,
	    .priority = job->priority,
	    .revision = router->inv->revision,
	    .reason = reason,
	    .replica = lstr_from(job->submit->replica),
	    .attempt = job->attempt};

	if (rec_append(router->rec, &event, &job->record_sequence) !=
	    STATUS_OK) {
		router->gap_entries++;
		return;
	}
	if (!loop_timer_is_set(router->copy_timer))
		loop_timer_set(router->copy_timer, now + COPY_DELAY_USEC);
	if (job->tokens_sent > job->submit->n_delivered || job->held)
		return;
	job->held = true;
	job->hold_deadline = now + HOLD_MAX_USEC;
	g_queue_push_tail(router->held, g_memdup2(&job->id, sizeof(job->id)));
	if (!loop_timer_is_set(router->hold_timer))
		loop_timer_set(router->hold_timer, job->hold_deadline);
}

/*
 * Sends the entries that were not replicated yet to the syncd.
 */
void
record_on_copy_timer(void *arg)
{
	struct router *router = arg;
	struct router_syncd *syncd = router->config.syncd;
	Ch__RecordAppend *append = NULL;

	while (syncd->vtable->is_up(syncd) &&
	    rec_unsent_count(router->rec) > 0 &&
	    rec_next_copy(router->rec, &append) == STATUS_OK) {
		Ch__Frame frame = CH__FRAME__INIT;

		frame.kind_case = CH__FRAME__KIND_RECORD_APPEND;
		frame.record_append = append;
		router_send_syncd(router, &frame);
		ch__record_append__free_unpacked(append, NULL);
	}
}

/*
 * Returns the first held request, or NULL. Ids of requests that have ended are
 * removed from the queue.
 */
static struct job *
first_held_job(struct router *router)
{
	uint64_t *id;

	while ((id = g_queue_peek_head(router->held)) != NULL) {
		struct job *job = job_find(router, *id);

		if (job != NULL && job->held)
			return job;
		g_free(g_queue_pop_head(router->held));
	}
	return NULL;
}

/*
 * Releases the answer of the first held request.
 */
static void
release_first_held(struct job *job, int64_t now)
{
	struct router *router = job->router;

	router_observe_record_hold(now - (job->hold_deadline - HOLD_MAX_USEC));
	g_free(g_queue_pop_head(router->held));
	job_release_answer(job);
}

/*
 * Releases the answers whose entries were not replicated in time. The number of
 * these entries is written to the record as a gap marker.
 */
void
record_on_hold_timer(void *arg)
{
	struct router *router = arg;
	int64_t now = router_now(router);
	struct job *job;

	while ((job = first_held_job(router)) != NULL &&
	    job->hold_deadline <= now) {
		router->gap_entries++;
		router_count_event(ROUTER_RECORD_UNREPLICATED);
		release_first_held(job, now);
	}
	if (router->gap_entries > 0) {
		log_event(EV_RECORD_GAP, "entries=%u", router->gap_entries);
		if (rec_append_gap_marker(
			router->rec, router->gap_entries, now) == STATUS_OK)
			router->gap_entries = 0;
	}
	if (job != NULL)
		loop_timer_set(router->hold_timer, job->hold_deadline);
}

/*
 * Handles the acknowledgement of replicated entries and releases their answers.
 */
void
record_on_ack(struct router *router, const Ch__RecordAck *ack)
{
	int64_t now = router_now(router);
	struct job *job;

	if (ack->boot != router->config.boot ||
	    strcmp(ack->node, router->config.node) != 0)
		return;
	rec_handle_ack(router->rec, ack->sequence);
	while ((job = first_held_job(router)) != NULL &&
	    rec_is_replicated(router->rec, job->record_sequence))
		release_first_held(job, now);
	if (job == NULL)
		loop_timer_clear(router->hold_timer);
}

/*
 * Sends closed segments to the syncd.
 */
static void
send_segments(struct router *router)
{
	struct router_syncd *syncd = router->config.syncd;
	Ch__RecordStore *store = NULL;

	while (syncd->vtable->is_up(syncd) &&
	    rec_next_store(router->rec, &store) == STATUS_OK) {
		Ch__Frame frame = CH__FRAME__INIT;

		frame.kind_case = CH__FRAME__KIND_RECORD_STORE;
		frame.record_store = store;
		router_send_syncd(router, &frame);
		ch__record_store__free_unpacked(store, NULL);
	}
}

/*
 * Handles the notice that a segment is stored.
 */
void
record_on_stored(struct router *router, const Ch__RecordStored *stored)
{
	if (stored->boot != router->config.boot ||
	    strcmp(stored->node, router->config.node) != 0)
		return;
	rec_handle_stored(router->rec, stored->segment);
	router_check_drained(router);
}

/*
 * Sends a newly connected syncd all entries and segments that it may not have
 * received.
 */
void
record_on_syncd_up(struct router *router)
{
	rec_restart_copy(router->rec);
	rec_restart_store(router->rec);
	record_on_copy_timer(router);
	send_segments(router);
}

/*
 * Closes the current segment when it is due, and sends closed segments.
 */
void
record_tick(struct router *router)
{
	int64_t now = router_now(router);

	if (rec_segment_due(router->rec, now))
		rec_close_segment(router->rec, now);
	send_segments(router);
}

/*
 * Restarts the replication when the syncd of another node becomes the record
 * peer.
 */
void
record_on_view(struct router *router, const struct view *view)
{
	const struct view_member *peer = rendezvous_record_peer(view,
	    lstr_from(router->config.node), lstr_from(router->config.place));
	const char *name = peer != NULL ? peer->node : "";

	if (router->record_peer != NULL &&
	    strcmp(router->record_peer, name) == 0)
		return;
	g_free(router->record_peer);
	router->record_peer = g_strdup(name);
	rec_restart_copy(router->rec);
	record_on_copy_timer(router);
}

/*
 * Appends the final entry and closes the current segment before the process
 * exits.
 */
void
record_flush(struct router *router)
{
	rec_append_closing_entry(router->rec, router_now(router));
	record_on_copy_timer(router);
	rec_close_segment(router->rec, router_now(router));
	send_segments(router);
}

/*
 * Returns whether every segment is stored.
 */
bool
record_is_flushed(const struct router *router)
{
	return rec_waiting_bytes(router->rec) == 0;
}
