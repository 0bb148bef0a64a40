#ifndef CH_STATUS_H
#define CH_STATUS_H

/* Result of an operation. STATUS_OK is zero. */
enum status {
	STATUS_OK = 0,
	STATUS_INVALID,
	STATUS_NO_MEMORY,
	STATUS_NOT_FOUND,
	STATUS_CONFLICT,
	STATUS_UNAVAILABLE,
	STATUS_TIMEOUT,
	STATUS_FULL,
	STATUS_CLOSED,
	STATUS_IO,
	STATUS_DENIED,
	STATUS_EXPIRED,
	STATUS_AMBIGUOUS
};

const char *status_name(enum status);
const char *status_message(void);
enum status status_set(enum status, const char *, ...)
    __attribute__((format(printf, 2, 3)));

#endif
