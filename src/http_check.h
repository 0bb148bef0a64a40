#ifndef CH_HTTP_CHECK_H
#define CH_HTTP_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/*
 * A strict reader of the heads and the framing of HTTP/1 messages (RFC 9110,
 * RFC 9112). HTTP libraries accept more than the RFCs allow, and two of them
 * may read such a message differently. So each message is checked before a
 * library reads it. The check does no I/O and keeps no copy of the message.
 */

enum http_check_kind {
	HTTP_CHECK_REQUEST,
	HTTP_CHECK_RESPONSE
};

/* Why a message is not valid. */
enum http_check_fault {
	HTTP_CHECK_VALID = 0,
	HTTP_CHECK_STATUS_LINE,
	HTTP_CHECK_VERSION,
	HTTP_CHECK_STATUS,
	HTTP_CHECK_UPGRADE,
	HTTP_CHECK_NAME,
	HTTP_CHECK_FOLDED,
	HTTP_CHECK_VALUE,
	HTTP_CHECK_LENGTH,
	HTTP_CHECK_CODING,
	HTTP_CHECK_CONTENT,
	HTTP_CHECK_CHUNK,
	HTTP_CHECK_TOO_LONG,
	HTTP_CHECK_FAULTS
};

enum http_check_event {
	/* All input was used. */
	HTTP_CHECK_MORE,
	/* The head is complete; interim responses are not reported. */
	HTTP_CHECK_HEAD,
	/* A part of the body. */
	HTTP_CHECK_BODY,
	/* The message is complete; what follows was not used. */
	HTTP_CHECK_END,
	/* The message is not valid; the input begins at the first byte that
	 * shows it. */
	HTTP_CHECK_INVALID
};

/* Longest name or value of a field that determines the framing. */
#define HTTP_CHECK_TEXT_MAX 32

struct http_check {
	enum http_check_kind kind;
	/* The response is one to a HEAD request. */
	bool head_only;
	enum http_check_fault fault;
	unsigned int state;
	/* Index in the start line, as far as it is looked at. */
	unsigned int index;
	unsigned int minor;
	unsigned int status;
	/* The field line being read, if its field determines the framing. */
	char name[HTTP_CHECK_TEXT_MAX];
	char value[HTTP_CHECK_TEXT_MAX];
	size_t name_len;
	/* Greater than the maximum if the value is longer. */
	size_t value_len;
	bool has_length;
	bool is_chunked;
	bool in_trailer;
	/* Content-Length. */
	uint64_t length;
	/* Bytes left of the body or the chunk. */
	uint64_t left;
	/* Bytes of the chunk line or the trailer that were read. */
	size_t extra_bytes;
};

void http_check_begin(
    struct http_check *, enum http_check_kind, bool head_only);
enum http_check_event http_check_next(
    struct http_check *, struct lstr *input, struct lstr *body);
bool http_check_is_complete(const struct http_check *);
bool http_check_ends_with_connection(const struct http_check *);
bool http_check_has_content(const struct http_check *);
bool http_check_may_be_followed(const struct http_check *);
const char *http_check_fault_text(enum http_check_fault);

#endif
