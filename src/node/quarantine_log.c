#include "loop.h"
#include "quarantine_priv.h"
#include "slog.h"

/*
 * Returns how long ago something was, in milliseconds; -1: it was not.
 */
static json_int_t
msec_since(int64_t at, int64_t now)
{
	return at == 0 ? -1 : (json_int_t)((now - at) / LOOP_USEC_PER_MSEC);
}

/*
 * Logs that a part of prompts has come under suspicion, is confirmed to end
 * servers, or is released, with the evidence.
 */
static void
log_change(const struct quarantine_row *row, enum quarantine_state state,
    const char *reason, void *arg)
{
	static const enum log_event events[] = {
	    [QUARANTINE_CLEAR] = EV_PART_RELEASED,
	    [QUARANTINE_SUSPECTED] = EV_PART_SUSPECTED,
	    [QUARANTINE_CONFIRMED] = EV_PART_CONFIRMED};
	int64_t now = loop_now(arg);
	char part[QUARANTINE_PART_TEXT_SIZE];

	quarantine_format_part(row->part, part);
	slog_event(events[state], "{s:s, s:s, s:i, s:I, s:I, s:i}", "part",
	    part, "reason", reason, "servers", (int)row->crash_count,
	    "first_ms",
	    msec_since(row->crash_count > 0 ? row->crashes[0].at : 0, now),
	    "last_ms", msec_since(quarantine_row_last_at(row), now), "trials",
	    (int)row->trials);
}

const struct quarantine_ops quarantine_log_ops = {log_change};
