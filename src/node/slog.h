#ifndef CH_SLOG_H
#define CH_SLOG_H

#include <stdint.h>

#include <jansson.h>

#include "log.h"

/*
 * Structured log on standard output: one JSON object per line, with the number
 * and name of the event. A stalled reader never blocks the process: lines that
 * do not fit into the buffer are dropped and counted.
 */

/* Lines per second of severity info; lines beyond the limit are counted and
 * reported by LINES_DROPPED. Notices and more severe lines have a limit of
 * their own, so that refusals and failures are still logged when successes are
 * dropped. */
#define SLOG_INFO_PER_S 150
#define SLOG_NOTICE_PER_S 300
/* Bytes buffered for a slow reader; lines beyond are dropped. */
#define SLOG_BUFFER_MAX_BYTES ((size_t)256 * 1024)

void slog_init(const char *node);
/* The format and its arguments are as for json_pack() and build an object. */
void slog_event(enum log_event, const char *format, ...);
void slog_flush(void);
int64_t slog_dropped_count(void);

#endif
