#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <apr_time.h>

#include "log.h"

#define LINE_MAX_BYTES 65536
#define NAME_MAX_BYTES 64
/* Facility "daemon" of RFC 5424, shifted to its position in the priority. */
#define FACILITY_DAEMON (3 << 3)

static const struct log_event_info events[LOG_EVENT_COUNT] = {
#define EVENT(number, symbol, severity, name, description)                     \
	{number, LOG_SEV_##severity, name, description},
#include "events.def"
#undef EVENT
};

static char program_name[NAME_MAX_BYTES] = "chestnuthoist";
static char node_name[NAME_MAX_BYTES] = "-";
static enum log_severity severity_threshold = LOG_SEV_INFO;
static log_sink_fn sink;

/*
 * Passes the log messages to fn instead of standard error; NULL restores
 * standard error.
 */
void
log_set_sink(log_sink_fn fn)
{
	sink = fn;
}

/*
 * Sets the program and node names printed on each line and the severity
 * threshold: less severe events are not printed.
 */
void
log_init(const char *program, const char *node, enum log_severity max_severity)
{
	snprintf(program_name, sizeof(program_name), "%s", program);
	snprintf(node_name, sizeof(node_name), "%s", node);
	severity_threshold = max_severity;
}

/*
 * Returns the entry of an event in the event catalogue.
 */
const struct log_event_info *
log_event_info(enum log_event event)
{
	assert(event < LOG_EVENT_COUNT);
	return &events[event];
}

/*
 * Replaces line breaks and other control characters with spaces, so that
 * external text cannot forge a log line.
 */
static void
replace_control_characters(char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = ' ';
	}
}

/*
 * Writes one line to standard error: priority, time, node, program, process
 * id, event number, event name and message. Messages are truncated
 * to LINE_MAX_BYTES - 1 bytes.
 */
void
log_event(enum log_event event, const char *format, ...)
{
	static char message[LINE_MAX_BYTES];
	const struct log_event_info *info = log_event_info(event);
	apr_time_exp_t t;
	va_list args;

	if (info->severity > severity_threshold)
		return;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	replace_control_characters(message);
	if (sink != NULL) {
		sink(event, message);
		return;
	}
	apr_time_exp_gmt(&t, apr_time_now());
	fprintf(stderr,
	    "<%d>%04d-%02d-%02dT%02d:%02d:%02d.%03dZ %s %s[%ld]: E%u %s: "
	    "%s\n",
	    FACILITY_DAEMON | (int)info->severity, t.tm_year + 1900,
	    t.tm_mon + 1, t.tm_mday, t.tm_hour, t.tm_min, t.tm_sec,
	    t.tm_usec / 1000, node_name, program_name, (long)getpid(),
	    info->number, info->name, message);
}
