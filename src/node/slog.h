#ifndef CH_SLOG_H
#define CH_SLOG_H

#include <stdint.h>

#include <jansson.h>

#include "log.h"

/*
 * Structured log lines on standard output: one JSON object each, with the
 * event's number and name. A reader that does not read never blocks the
 * process: lines beyond the buffer are dropped and counted.
 */

/* Lines of severity info that are written a second; the rest is counted and
 * reported by LINES_DROPPED. Warnings and notices have their own allowance,
 * so that refusals and failures stay when successes are left out. */
#define SLOG_INFO_PER_S 150
#define SLOG_NOTICE_PER_S 300
/* Unwritten bytes that are kept for a slow reader. */
#define SLOG_BUFFER_MAX_BYTES ((size_t)256 * 1024)

void slog_init(const char *node);
/* The format and its arguments are those of json_pack() for an object. */
void slog_event(enum log_event, const char *format, ...);
void slog_flush(void);
int64_t slog_dropped(void);

#endif
