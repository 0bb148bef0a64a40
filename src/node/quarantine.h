#ifndef CH_QUARANTINE_H
#define CH_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Finds the parts of prompts that end the servers which answer them, so that
 * further requests with such a part are refused instead of ending one server
 * after the other.
 *
 * A server that ends cuts all requests that it has in hand. Those it was
 * answering came through; it may have ended because of any part of the others.
 * A sound part, also one that many requests share, comes through again soon,
 * which clears it; a part that ends servers never does. A part is therefore
 * judged by the servers that ended since it last came through, and one that has
 * come through before needs more of them. Servers that ended while a confirmed
 * part was the cause are not sufficient evidence against others.
 *
 * All nodes exchange their evidence in rows of bounded size. Rows may be merged
 * in any order and any number of times. Times in them are as exact as the
 * delivery of datagrams.
 */

/* Parts of which evidence is kept, and servers for each. */
#define QUARANTINE_PARTS_MAX 256
#define QUARANTINE_CRASHES_MAX 8
/* Parts whose last success is remembered; at least half as many are, however
 * many others come through. */
#define QUARANTINE_SOUND_MAX 4096
/* Rows in one report. */
#define QUARANTINE_ROWS_MAX 32
/* Events after which a request has come through: a server that ends while it
 * begins to write may have sent the first one. */
#define QUARANTINE_SOUND_EVENTS 2
/* A request is not sent again if it or one of its parts was in hand at this
 * many servers that ended: it may be the cause. */
#define QUARANTINE_SUSPECT_CRASHES 2
/* A part is confirmed by this many servers that ended at different moments,
 * with at least this many different requests. Requests that are cut by one
 * event that ends many servers, or one request that is cut wherever it is sent,
 * are not sufficient. */
#define QUARANTINE_CONFIRM_CRASHES 3
#define QUARANTINE_CONFIRM_REQUESTS 2
/* The same for a part that is known to have come through before. */
#define QUARANTINE_CONFIRM_KNOWN_CRASHES 6
/* So many of them must not be explained by another confirmed part: its first
 * evidence was later, or it was confirmed so long before. */
#define QUARANTINE_CONFIRM_UNEXPLAINED 2
#define QUARANTINE_EXPLAINED_USEC ((int64_t)1000000)
#define QUARANTINE_SAME_MOMENT_USEC ((int64_t)100000)
/* Time from the first evidence, and from sufficient evidence, to a
 * confirmation, in which peers report that the part has come through. */
#define QUARANTINE_SETTLE_USEC ((int64_t)600000)
#define QUARANTINE_CONFIRM_DELAY_USEC ((int64_t)250000)
#define QUARANTINE_TICK_USEC ((int64_t)50000)
/* A server has not ended at which a request comes through that was sent to it
 * after it seemed to. Later, its successor may answer under its identifier. */
#define QUARANTINE_ALIVE_USEC ((int64_t)1500000)
/* Evidence is dropped when no server has ended for this long, and no request
 * has been refused because of it. */
#define QUARANTINE_EVIDENCE_USEC ((int64_t)600000000)
/* A confirmed part is tried again by one request of one node when no server has
 * ended for this long, four times as long after each trial that failed, and no
 * more after the last one. */
#define QUARANTINE_TRIAL_USEC ((int64_t)30000000)
#define QUARANTINE_TRIALS_MAX 2
/* The outcome of a trial is known within this time. */
#define QUARANTINE_TRIAL_TIMEOUT_USEC ((int64_t)20000000)
/* New evidence is repeated in all reports for this long, and then in one of
 * QUARANTINE_REPEAT_EVERY, for nodes that have started meanwhile. */
#define QUARANTINE_FRESH_USEC ((int64_t)2000000)
#define QUARANTINE_REPEAT_EVERY 8
/* A part without evidence is remembered for this long, so that evidence of
 * peers from before it came through does not return. */
#define QUARANTINE_CLEARED_USEC ((int64_t)10000000)
/* Inaccuracy of times that have passed through several nodes. */
#define QUARANTINE_CLOCK_USEC ((int64_t)500000)

/* A server that ended while a request with the part was in hand. */
struct quarantine_crash {
	/* Hash of the server's process, and of the request. */
	uint32_t server;
	uint32_t request;
	int64_t at;
	/* The process has answered since, so only the connection ended. */
	bool alive;
};

/* Evidence against one part, as it is exchanged. Times are on this node's
 * clock. */
struct quarantine_row {
	uint64_t part;
	/* Index of the part in its prompts. */
	uint32_t depth;
	/* In the order of their times. */
	struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];
	uint32_t crash_count;
	uint32_t trials;
	/* When it last came through, and when a request was last refused
	 * because of it; 0: not known. */
	int64_t sound_at;
	int64_t refused_at;
};

enum quarantine_state {
	QUARANTINE_CLEAR,
	QUARANTINE_SUSPECTED,
	QUARANTINE_CONFIRMED
};

enum quarantine_verdict {
	/* Nothing is known against the request. */
	QUARANTINE_PASS,
	/* Its server may end; it is sent once only. */
	QUARANTINE_ONCE,
	QUARANTINE_REFUSE
};

/* Size of the text of a part, with the terminating NUL. */
#define QUARANTINE_PART_TEXT_SIZE (2 * sizeof(uint64_t) + 1)

struct quarantine_ops {
	/* The state of a part has changed; reason says why. */
	void (*changed)(const struct quarantine_row *, enum quarantine_state,
	    const char *reason, void *arg);
};

struct quarantine;

/* Logs the changes; arg is the struct loop whose time is used. */
extern const struct quarantine_ops quarantine_log_ops;

struct quarantine *quarantine_new(const struct quarantine_ops *, void *arg);
void quarantine_free(struct quarantine *);
bool quarantine_note_sound(
    struct quarantine *, const uint64_t *parts, size_t count, int64_t now);
void quarantine_note_crash(struct quarantine *, const uint64_t *parts,
    size_t count, uint32_t server, uint32_t request, int64_t now);
void quarantine_note_alive(
    struct quarantine *, uint32_t server, int64_t sent_at, int64_t now);
enum quarantine_verdict quarantine_check(
    struct quarantine *, const uint64_t *parts, size_t count, int64_t now);
const uint64_t *quarantine_find_cause(
    const struct quarantine *, const uint64_t *parts, size_t count);
bool quarantine_try(struct quarantine *, const uint64_t *parts, size_t count,
    uint32_t rank, uint32_t nodes, int64_t now);
void quarantine_tick(struct quarantine *, int64_t now);
size_t quarantine_fill(struct quarantine *, uint64_t sequence, int64_t now,
    struct quarantine_row *rows, size_t max);
void quarantine_merge(struct quarantine *, const struct quarantine_row *rows,
    size_t count, int64_t now);
uint32_t quarantine_count(const struct quarantine *, enum quarantine_state);
uint64_t quarantine_confirmations(const struct quarantine *);
uint64_t quarantine_changes(const struct quarantine *);
size_t quarantine_fill_confirmed(
    const struct quarantine *, struct quarantine_row *rows, size_t max);
void quarantine_format_part(
    uint64_t part, char text[QUARANTINE_PART_TEXT_SIZE]);

#endif
