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

/* Lines of one group of severities in the present second. */
struct allowance {
	time_t second;
	int count;
	int max;
};

static struct lstr_buf buffer;
static const char *node_name = "-";
static struct allowance info_lines = {0, 0, SLOG_INFO_PER_S};
static struct allowance notice_lines = {0, 0, SLOG_NOTICE_PER_S};
static int64_t dropped;
static int64_t reported;
static time_t reported_at;

/*
 * Formats the time of day, UTC, with milliseconds.
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
 * Writes what the reader takes; the rest stays in the buffer.
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
 * Appends one line; takes the reference to the fields.
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
 * Tells whether one more line is within the allowance of its second.
 */
static bool
allow(struct allowance *allowance, time_t second)
{
	if (allowance->second != second) {
		allowance->second = second;
		allowance->count = 0;
	}
	return allowance->count++ < allowance->max;
}

/*
 * Reports lines that were left out, once a second.
 */
static void
report_dropped(const struct timespec *now)
{
	int64_t count = dropped - reported;

	if (count == 0 || now->tv_sec == reported_at)
		return;
	reported = dropped;
	reported_at = now->tv_sec;
	append_line(EV_LINES_DROPPED,
	    json_pack("{s:I, s:I}", "lines", (json_int_t)count, "total",
		(json_int_t)dropped),
	    now);
}

/*
 * Writes one event with fields as in json_pack().
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
	if (!allow(info->severity >= LOG_SEV_INFO ? &info_lines : &notice_lines,
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
 * Takes the lines of modules that log text.
 */
static void
on_text(enum log_event event, const char *message)
{
	slog_event(event, "{s:s}", "detail", message);
}

/*
 * Sends all log lines of the process to standard output. The name is
 * borrowed.
 */
void
slog_init(const char *node)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	node_name = node;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	log_set_sink(on_text);
}

/*
 * Returns how many lines were left out since the start.
 */
int64_t
slog_dropped(void)
{
	return dropped;
}
