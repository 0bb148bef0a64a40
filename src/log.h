#ifndef CH_LOG_H
#define CH_LOG_H

/* Severities of RFC 5424. */
enum log_severity {
	LOG_SEV_ERROR = 3,
	LOG_SEV_WARNING = 4,
	LOG_SEV_NOTICE = 5,
	LOG_SEV_INFO = 6,
	LOG_SEV_DEBUG = 7
};

/* One constant for each EVENT(number, symbol, ...) in events.def. */
enum log_event {
#define EVENT(number, symbol, severity, name, description) EV_##symbol,
#include "events.def"
#undef EVENT
	LOG_EVENT_COUNT
};

struct log_event_info {
	unsigned int number;
	enum log_severity severity;
	const char *name;
	const char *description;
};

/* Receives the messages of log_event() instead of standard error. */
typedef void (*log_sink_fn)(enum log_event, const char *message);

void log_set_sink(log_sink_fn);
void log_init(const char *, const char *, enum log_severity);
void log_event(enum log_event, const char *, ...)
    __attribute__((format(printf, 2, 3)));
const struct log_event_info *log_event_info(enum log_event);

#endif
