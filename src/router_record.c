#include <string.h>

#include "log.h"
#include "owner.h"
#include "router_priv.h"

/* Entries are collected for this long before they are copied. */
#define COPY_DELAY_USEC (5 * LOOP_USEC_PER_MSEC)
/* An answer waits at most this long for the copy of its entry. */
#define HOLD_LIMIT_USEC (250 * LOOP_USEC_PER_MSEC)

/*
 * Appends the dispatch of a request to the record. The first token or the
 * answer is held until the entry was copied to another data centre.
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
		router->gap_missing++;
		return;
	}
	if (!loop_timer_is_set(router->copy_timer))
		loop_timer_set(router->copy_timer, now + COPY_DELAY_USEC);
	if (job->sent > job->submit->n_delivered || job->held)
		return;
	job->held = true;
	job->held_until = now + HOLD_LIMIT_USEC;
	g_queue_push_tail(router->held, g_memdup2(&job->id, sizeof(job->id)));
	if (!loop_timer_is_set(router->hold_timer))
		loop_timer_set(router->hold_timer, job->held_until);
}

/*
 * Sends the entries that were not copied yet.
 */
void
record_on_copy_timer(void *arg)
{
	struct router *router = arg;
	struct router_syncd *syncd = router->config.syncd;
	Ch__RecordAppend *append = NULL;

	while (syncd->vtable->is_up(syncd) && rec_unsent(router->rec) > 0 &&
	    rec_next_copy(router->rec, &append) == STATUS_OK) {
		Ch__Frame frame = CH__FRAME__INIT;

		frame.kind_case = CH__FRAME__KIND_RECORD_APPEND;
		frame.record_append = append;
		router_send_syncd(router, &frame);
		ch__record_append__free_unpacked(append, NULL);
	}
}

/*
 * Returns the request at the head of the held ones; numbers of requests that
 * have ended are dropped.
 */
static struct job *
first_held(struct router *router)
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
 * Releases the answer of a request.
 */
static void
release(struct job *job, int64_t now)
{
	struct router *router = job->router;

	router_observe_hold(now - (job->held_until - HOLD_LIMIT_USEC));
	g_free(g_queue_pop_head(router->held));
	job_release(job);
}

/*
 * Releases the answers that have waited for their copy long enough. Their
 * entries are counted and a gap marker says so in the record.
 */
void
record_on_hold_timer(void *arg)
{
	struct router *router = arg;
	int64_t now = router_now(router);
	struct job *job;

	while ((job = first_held(router)) != NULL && job->held_until <= now) {
		router->gap_missing++;
		router_count(ROUTER_UNREPLICATED);
		release(job, now);
	}
	if (router->gap_missing > 0) {
		log_event(EV_RECORD_GAP, "entries=%u", router->gap_missing);
		if (rec_append_gap(router->rec, router->gap_missing, now) ==
		    STATUS_OK)
			router->gap_missing = 0;
	}
	if (job != NULL)
		loop_timer_set(router->hold_timer, job->held_until);
}

/*
 * Takes the acknowledgement of copied entries and releases their answers.
 */
void
record_on_ack(struct router *router, const Ch__RecordAck *ack)
{
	int64_t now = router_now(router);
	struct job *job;

	if (ack->boot != router->config.boot ||
	    strcmp(ack->node, router->config.node) != 0)
		return;
	rec_acknowledged(router->rec, ack->sequence);
	while ((job = first_held(router)) != NULL &&
	    rec_is_copied(router->rec, job->record_sequence))
		release(job, now);
	if (job == NULL)
		loop_timer_clear(router->hold_timer);
}

/*
 * Hands closed segments to the syncd.
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
 * Takes the news that a segment is stored.
 */
void
record_on_stored(struct router *router, const Ch__RecordStored *stored)
{
	if (stored->boot != router->config.boot ||
	    strcmp(stored->node, router->config.node) != 0)
		return;
	rec_stored(router->rec, stored->segment);
	router_check_drained(router);
}

/*
 * Sends again what the syncd may not have, after it was reached (again).
 */
void
record_on_up(struct router *router)
{
	rec_restart_copy(router->rec);
	rec_restart_store(router->rec);
	record_on_copy_timer(router);
	send_segments(router);
}

/*
 * Closes the present segment when it is due.
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
 * Starts copying again when another syncd keeps the copies.
 */
void
record_on_view(struct router *router, const struct view *view)
{
	const struct view_member *peer = owner_record_peer(view,
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
 * Appends the closing entry and closes the present segment for the end of the
 * process.
 */
void
record_flush(struct router *router)
{
	rec_append_end(router->rec, router_now(router));
	record_on_copy_timer(router);
	rec_close_segment(router->rec, router_now(router));
	send_segments(router);
}

/*
 * Tells whether every segment is stored.
 */
bool
record_is_flushed(const struct router *router)
{
	return rec_waiting_bytes(router->rec) == 0;
}
