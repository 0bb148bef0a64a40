#include <stdarg.h>
#include <stdio.h>

#include "status.h"

#define MESSAGE_MAX 512

static char last_message[MESSAGE_MAX];

/*
 * Returns the name of a status as a static string, for logs and responses.
 */
const char *
status_name(enum status status)
{
	switch (status) {
	case STATUS_OK:
		return "ok";
	case STATUS_INVALID:
		return "invalid";
	case STATUS_NO_MEMORY:
		return "no-memory";
	case STATUS_NOT_FOUND:
		return "not-found";
	case STATUS_CONFLICT:
		return "conflict";
	case STATUS_UNAVAILABLE:
		return "unavailable";
	case STATUS_TIMEOUT:
		return "timeout";
	case STATUS_FULL:
		return "full";
	case STATUS_CLOSED:
		return "closed";
	case STATUS_IO:
		return "io";
	case STATUS_DENIED:
		return "denied";
	case STATUS_EXPIRED:
		return "expired";
	case STATUS_AMBIGUOUS:
		return "ambiguous";
	}
	return "unknown-status";
}

/*
 * Returns the message stored by the last call of status_set(), valid until the
 * next call.
 */
const char *
status_message(void)
{
	return last_message;
}

/*
 * Stores a message for the caller and returns the given status, so that a
 * failing function can end with "return status_set(...)". Messages are
 * truncated to MESSAGE_MAX - 1 bytes. The arguments may include
 * status_message().
 */
enum status
status_set(enum status status, const char *format, ...)
{
	char message[MESSAGE_MAX];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	snprintf(last_message, sizeof(last_message), "%s", message);
	return status;
}
