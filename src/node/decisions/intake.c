#include <string.h>

#include <glib.h>

#include "intake.h"

/* At most this share of the connections gives way at once. */
#define BATCH_SHARE 32
/* Weight of the age of an unfinished body, so that one that grows a few bytes
 * at a time does not stay for good. */
#define BODY_AGE_WEIGHT 0.25
/* Weight of a connection that has been answered and needs nothing more. */
#define LINGERING_WEIGHT 4.0
/* Added to each time, so that bytes count also for those that just came. */
#define FLOOR_USEC 1000.0

/*
 * Starts a search among a number of connections.
 */
void
intake_init(struct intake *intake, enum intake_need need, int64_t now,
    size_t connections)
{
	memset(intake, 0, sizeof(*intake));
	intake->need = need;
	intake->now = now;
	intake->max = CLAMP(
	    connections / BATCH_SHARE, (size_t)1, (size_t)INTAKE_BATCH_MAX);
}

/*
 * Returns how long a connection has waited, weighted by its kind; negative: it
 * does not give way.
 */
static double
weighted_wait(const struct intake_candidate *candidate, int64_t now)
{
	double age = (double)MAX(now - candidate->since, 0);
	double stalled = (double)MAX(now - candidate->progress_at, 0);

	switch (candidate->kind) {
	case INTAKE_BODY:
		return stalled + BODY_AGE_WEIGHT * age;
	case INTAKE_LINGERING:
		return LINGERING_WEIGHT * age;
	case INTAKE_UNREAD:
		return stalled < INTAKE_UNREAD_USEC ? -1 : stalled;
	case INTAKE_IDLE:
	case INTAKE_HEAD:
	default:
		return age;
	}
}

/*
 * Offers a connection. It is added to the choices if it is to give way before
 * one of them, or if there are fewer than allowed.
 */
void
intake_offer(struct intake *intake, const struct intake_candidate *candidate)
{
	double wait = weighted_wait(candidate, intake->now);
	double score = wait + FLOOR_USEC;
	size_t i;

	if (wait < 0)
		return;
	if (intake->need == INTAKE_MEMORY && wait < INTAKE_YOUNG_USEC &&
	    candidate->bytes <= INTAKE_SMALL_BYTES)
		return;
	if (intake->need == INTAKE_MEMORY)
		score *= (double)candidate->bytes;
	if (intake->count == intake->max &&
	    score <= intake->choices[intake->count - 1].score)
		return;
	if (intake->count < intake->max)
		intake->count++;
	for (i = intake->count - 1;
	     i > 0 && intake->choices[i - 1].score < score; i--)
		intake->choices[i] = intake->choices[i - 1];
	intake->choices[i] = (struct intake_choice){score, candidate->ref};
}
