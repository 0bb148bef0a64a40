#include "quarantine_priv.h"

/* What the crashes in a row amount to. */
struct summary {
	uint32_t moments;
	uint32_t requests;
	/* Moments at which a server ended that no confirmed part explains. */
	uint32_t unexplained;
};

/*
 * Returns whether a request was in hand at one of the first crashes of a row.
 */
static bool
has_request(const struct quarantine_row *row, uint32_t count, uint32_t request)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!row->crashes[i].alive &&
		    row->crashes[i].request == request)
			return true;
	}
	return false;
}

/*
 * Returns whether a time lies in one of the spans (struct quarantine_span),
 * which may be NULL.
 */
static bool
is_explained(int64_t at, const GArray *explained)
{
	for (guint i = 0; explained != NULL && i < explained->len; i++) {
		const struct quarantine_span *span =
		    &g_array_index(explained, struct quarantine_span, i);

		if (at >= span->from && at <= span->until)
			return true;
	}
	return false;
}

/*
 * Summarizes the crashes of a row; servers that have answered since do not
 * count. explained may be NULL.
 */
static struct summary
summarize(const struct quarantine_row *row, const GArray *explained)
{
	struct summary sum = {0};
	int64_t last = 0;
	int64_t last_unexplained = 0;

	for (uint32_t i = 0; i < row->crash_count; i++) {
		const struct quarantine_crash *crash = &row->crashes[i];

		if (crash->alive)
			continue;
		sum.requests += !has_request(row, i, crash->request);
		if (sum.moments == 0 ||
		    crash->at - last >= QUARANTINE_SAME_MOMENT_USEC) {
			sum.moments++;
			last = crash->at;
		}
		if (is_explained(crash->at, explained))
			continue;
		if (sum.unexplained == 0 ||
		    crash->at - last_unexplained >=
			QUARANTINE_SAME_MOMENT_USEC) {
			sum.unexplained++;
			last_unexplained = crash->at;
		}
	}
	return sum;
}

/*
 * Returns the number of moments at which servers ended.
 */
uint32_t
quarantine_row_moments(const struct quarantine_row *row)
{
	return summarize(row, NULL).moments;
}

/*
 * Returns the number of moments at which servers ended that no confirmed part
 * explains.
 */
uint32_t
quarantine_row_unexplained(
    const struct quarantine_row *row, const GArray *explained)
{
	return summarize(row, explained).unexplained;
}

/*
 * Returns the number of servers that must have ended.
 */
static uint32_t
needed_crashes(const struct quarantine_row *row)
{
	return row->sound_at == 0 ? QUARANTINE_CONFIRM_CRASHES
				  : QUARANTINE_CONFIRM_KNOWN_CRASHES;
}

/*
 * Returns the time from which the evidence in a row may have been sufficient:
 * that of the last moment that was needed, or the last one known; 0: no server
 * has ended.
 */
int64_t
quarantine_row_proved_at(const struct quarantine_row *row)
{
	uint32_t moments = 0;
	int64_t last = 0;

	for (uint32_t i = 0;
	     i < row->crash_count && moments < needed_crashes(row); i++) {
		if (row->crashes[i].alive ||
		    (moments > 0 &&
			row->crashes[i].at - last <
			    QUARANTINE_SAME_MOMENT_USEC))
			continue;
		last = row->crashes[i].at;
		moments++;
	}
	return last;
}

/*
 * Returns whether the evidence in a row is sufficient.
 */
bool
quarantine_row_is_proved(
    const struct quarantine_row *row, const GArray *explained)
{
	struct summary sum = summarize(row, explained);

	return sum.moments >= needed_crashes(row) &&
	    sum.requests >= QUARANTINE_CONFIRM_REQUESTS &&
	    sum.unexplained >= QUARANTINE_CONFIRM_UNEXPLAINED;
}

/*
 * Returns the latest time at which a server ended with the part in hand; 0:
 * none did.
 */
int64_t
quarantine_row_last_at(const struct quarantine_row *row)
{
	return row->crash_count == 0 ? 0
				     : row->crashes[row->crash_count - 1].at;
}

/*
 * Returns whether a server is among those that ended.
 */
static bool
has_server(const struct quarantine_row *row, uint32_t server)
{
	for (uint32_t i = 0; i < row->crash_count; i++) {
		if (row->crashes[i].server == server)
			return true;
	}
	return false;
}

/*
 * Returns whether a part was in hand wherever another one was.
 */
bool
quarantine_row_includes(
    const struct quarantine_row *row, const struct quarantine_row *other)
{
	for (uint32_t i = 0; i < other->crash_count; i++) {
		if (!has_server(row, other->crashes[i].server))
			return false;
	}
	return true;
}

/*
 * Returns whether a server ended within one moment of a time.
 */
static bool
has_moment(const struct quarantine_row *row, int64_t at)
{
	for (uint32_t i = 0; i < row->crash_count; i++) {
		if (!row->crashes[i].alive &&
		    ABS(row->crashes[i].at - at) < QUARANTINE_SAME_MOMENT_USEC)
			return true;
	}
	return false;
}

/*
 * Returns the index of a crash that adds no moment to a full row: its server
 * has answered since, or another one ended just before. If there is none,
 * returns that of the last one.
 */
static uint32_t
find_dispensable(const struct quarantine_row *row)
{
	for (uint32_t i = 0; i < row->crash_count; i++) {
		if (row->crashes[i].alive ||
		    (i > 0 &&
			row->crashes[i].at - row->crashes[i - 1].at <
			    QUARANTINE_SAME_MOMENT_USEC))
			return i;
	}
	return row->crash_count - 1;
}

/*
 * Adds a crash in the order of its time unless it is known or from before the
 * part last came through. A full row keeps the crashes of the most moments, and
 * the time of the newest. Returns true if the row changed.
 */
bool
quarantine_row_add(
    struct quarantine_row *row, const struct quarantine_crash *crash)
{
	uint32_t at;

	if (row->sound_at != 0 && crash->at <= row->sound_at)
		return false;
	for (uint32_t i = 0; i < row->crash_count; i++) {
		struct quarantine_crash *known = &row->crashes[i];

		if (known->server != crash->server)
			continue;
		if (known->alive || !crash->alive)
			return false;
		known->alive = true;
		return true;
	}
	at = row->crash_count;
	if (at == QUARANTINE_CRASHES_MAX) {
		if (crash->alive || has_moment(row, crash->at) ||
		    crash->at <= quarantine_row_last_at(row))
			return false;
		for (uint32_t i = find_dispensable(row); i < at - 1; i++)
			row->crashes[i] = row->crashes[i + 1];
		at--;
	} else {
		row->crash_count++;
	}
	for (; at > 0 && row->crashes[at - 1].at > crash->at; at--)
		row->crashes[at] = row->crashes[at - 1];
	row->crashes[at] = *crash;
	return true;
}

/*
 * Drops the crashes up to a time.
 */
void
quarantine_row_drop(struct quarantine_row *row, int64_t until)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < row->crash_count; i++) {
		if (row->crashes[i].at > until)
			row->crashes[kept++] = row->crashes[i];
	}
	row->crash_count = kept;
}
