#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "slog.h"
#include "lstr.h"

#define TIME_MAX_BYTES 40

/* Limit of the lines per second for a group of severities. */
struct rate_limit {
	time_t second;
	int count;
	int max;
};

static struct lstr_buf buffer;
static const char *node_name = "-";
static struct rate_limit info_lines = {0, 0, SLOG_INFO_PER_S};
static struct rate_limit notice_lines = {0, 0, SLOG_NOTICE_PER_S};
/* Lines dropped since the start. */
static int64_t dropped;
/* Value of dropped at the last LINES_DROPPED event. */
static int64_t dropped_reported;
static time_t reported_at;

/*
 * Formats a time as ISO 8601 in UTC with milliseconds.
 */
static void
format_time(const struct timespec *now, char out[TIME_MAX_BYTES])
{
	struct tm t;
	size_t len;

	gmtime_r(&now->tv_sec, &t);
	len = strftime(out, TIME_MAX_BYTES, "%Y-%m-%dT%H:%M:%S", &t);
	g_snprintf(
	    out + len, TIME_MAX_BYTES - len, ".%03ldZ", now->tv_nsec / 1000000);
}

/*
 * Writes buffered lines to standard output without blocking; the rest stays in
 * the buffer.
 */
void
slog_flush(void)
{
	while (buffer.len > 0) {
		ssize_t n = write(STDOUT_FILENO, buffer.data, buffer.len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		lstr_buf_consume(&buffer, (size_t)n);
	}
}

/*
 * Appends one line to the buffer, or drops it if the buffer is full. Consumes
 * the reference to the fields.
 */
static void
append_line(enum log_event event, json_t *fields, const struct timespec *now)
{
	const struct log_event_info *info = log_event_info(event);
	char time_text[TIME_MAX_BYTES];
	char *text = json_dumps(fields, JSON_COMPACT);

	json_decref(fields);
	format_time(now, time_text);
	if (text == NULL || buffer.len > SLOG_BUFFER_MAX_BYTES) {
		free(text);
		dropped++;
		return;
	}
	lstr_buf_printf(&buffer,
	    "{\"time\":\"%s\",\"node\":\"%s\",\"severity\":%d,\"event\":%u,"
	    "\"name\":\"%s\"%s%s\n",
	    time_text, node_name, (int)info->severity, info->number, info->name,
	    text[1] == '}' ? "" : ",", text + 1);
	free(text);
}

/*
 * Counts a line and returns whether it is within the limit of its second.
 */
static bool
rate_limit_allows(struct rate_limit *rate_limit, time_t second)
{
	if (rate_limit->second != second) {
		rate_limit->second = second;
		rate_limit->count = 0;
	}
	return rate_limit->count++ < rate_limit->max;
}

/*
 * Logs the number of newly dropped lines, at most once a second.
 */
static void
report_dropped(const struct timespec *now)
{
	int64_t count = dropped - dropped_reported;

	if (count == 0 || now->tv_sec == reported_at)
		return;
	dropped_reported = dropped;
	reported_at = now->tv_sec;
	append_line(EV_LINES_DROPPED,
	    json_pack("{s:I, s:I}", "lines", (json_int_t)count, "total",
		(json_int_t)dropped),
	    now);
}

/*
 * Logs one event with fields as for json_pack(). Events more severe than info
 * are flushed immediately.
 */
void
slog_event(enum log_event event, const char *format, ...)
{
	const struct log_event_info *info = log_event_info(event);
	struct timespec now;
	json_t *fields;
	va_list args;

	clock_gettime(CLOCK_REALTIME, &now);
	report_dropped(&now);
	if (!rate_limit_allows(
		info->severity >= LOG_SEV_INFO ? &info_lines : &notice_lines,
		now.tv_sec)) {
		dropped++;
		return;
	}
	va_start(args, format);
	fields = json_vpack_ex(NULL, 0, format, args);
	va_end(args);
	if (fields == NULL) {
		dropped++;
		return;
	}
	append_line(event, fields, &now);
	if (info->severity < LOG_SEV_INFO)
		slog_flush();
}

/*
 * Logs the text of modules that use log.h.
 */
static void
on_log_text(enum log_event event, const char *message)
{
	slog_event(event, "{s:s}", "detail", message);
}

/*
 * Sends all log lines of the process to standard output, which becomes
 * non-blocking. The node name must stay valid.
 */
void
slog_init(const char *node)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	node_name = node;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	log_set_sink(on_log_text);
}

/*
 * Returns the number of lines dropped since the start.
 */
int64_t
slog_dropped_count(void)
{
	return dropped;
}
