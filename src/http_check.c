#include <limits.h>
#include <string.h>
#include <strings.h>

#include "http_check.h"

/* RFC 9112, section 7.1.1: the length of chunk extensions ought to be limited.
 */
#define CHUNK_LINE_MAX_BYTES ((size_t)4 * 1024)
#define TRAILER_MAX_BYTES ((size_t)64 * 1024)
/* "HTTP/1.x ddd" without its variable parts. */
#define VERSION_PREFIX "HTTP/1."
#define VERSION_PREFIX_LEN (sizeof(VERSION_PREFIX) - 1)
#define STATUS_INDEX (VERSION_PREFIX_LEN + 2)
#define STATUS_DIGITS 3
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_FINAL_MIN 200

enum state {
	START,
	REQUEST_LINE,
	STATUS_LINE,
	REASON,
	START_CR,
	FIELD_START,
	NAME,
	VALUE,
	VALUE_CR,
	HEAD_CR,
	BODY_LENGTH,
	BODY_CLOSE,
	CHUNK_START,
	CHUNK_SIZE,
	CHUNK_BLANK,
	CHUNK_EXTENSION,
	CHUNK_CR,
	CHUNK_DATA,
	CHUNK_DATA_END,
	CHUNK_DATA_CR,
	COMPLETE
};

/*
 * Returns whether a byte may occur in a token (RFC 9110, section 5.6.2).
 */
static bool
is_token_char(unsigned char c)
{
	static const bool chars[UCHAR_MAX + 1] = {['!'] = true,
	    ['#'] = true,
	    ['$'] = true,
	    ['%'] = true,
	    ['&'] = true,
	    ['\''] = true,
	    ['*'] = true,
	    ['+'] = true,
	    ['-'] = true,
	    ['.'] = true,
	    ['0' ... '9'] = true,
	    ['A' ... 'Z'] = true,
	    ['^'] = true,
	    ['_'] = true,
	    ['`'] = true,
	    ['a' ... 'z'] = true,
	    ['|'] = true,
	    ['~'] = true};

	return chars[c];
}

/*
 * Returns whether a byte may occur in a field value or a reason phrase: a tab,
 * or no control byte (RFC 9110, section 5.5). The RFC lets recipients keep some
 * of the others; a caller's reader may not, so none is passed on.
 */
static bool
is_text_char(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}

/*
 * Returns whether a character is a blank within a line.
 */
static bool
is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/*
 * Returns the value of a hexadecimal digit; -1: it is none.
 */
static int
hex_value(unsigned char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/*
 * Prepares to read a message. head_only: it is the response to a HEAD request.
 */
void
http_check_begin(
    struct http_check *check, enum http_check_kind kind, bool head_only)
{
	memset(check, 0, sizeof(*check));
	check->kind = kind;
	check->head_only = head_only;
	check->state = START;
}

/*
 * Reads a byte of a status line up to the status (RFC 9112, section 4). A
 * status that is not from 100 to 599 has no meaning (RFC 9110, section 15), and
 * 101 answers a request for an upgrade, which is never sent.
 */
static enum http_check_fault
read_status_line(struct http_check *check, unsigned char c)
{
	unsigned int index = check->index++;

	if (index < VERSION_PREFIX_LEN) {
		if (c == (unsigned char)VERSION_PREFIX[index])
			return HTTP_CHECK_VALID;
		return index < sizeof("HTTP/") - 1 ? HTTP_CHECK_STATUS_LINE
						   : HTTP_CHECK_VERSION;
	}
	if (index == VERSION_PREFIX_LEN) {
		check->minor = (unsigned int)c - '0';
		return c >= '0' && c <= '9' ? HTTP_CHECK_VALID
					    : HTTP_CHECK_VERSION;
	}
	if (index < STATUS_INDEX)
		return c == ' ' ? HTTP_CHECK_VALID : HTTP_CHECK_STATUS_LINE;
	if (c < '0' || c > '9')
		return HTTP_CHECK_STATUS;
	check->status = check->status * 10 + (unsigned int)(c - '0');
	if (check->index < STATUS_INDEX + STATUS_DIGITS)
		return HTTP_CHECK_VALID;
	check->state = REASON;
	if (check->status == STATUS_SWITCHING_PROTOCOLS)
		return HTTP_CHECK_UPGRADE;
	return check->status >= STATUS_MIN && check->status <= STATUS_MAX
	    ? HTTP_CHECK_VALID
	    : HTTP_CHECK_STATUS;
}

/*
 * Reads a byte after the status. Servers are to send a space even without a
 * reason (RFC 9112, section 4); one that does not is understood.
 */
static enum http_check_fault
read_reason(struct http_check *check, unsigned char c)
{
	bool first = check->index == STATUS_INDEX + STATUS_DIGITS;

	if (c == '\n')
		check->state = FIELD_START;
	else if (c == '\r')
		check->state = START_CR;
	else if (first && c >= '0' && c <= '9')
		return HTTP_CHECK_STATUS;
	else if ((first && c != ' ') || !is_text_char(c))
		return HTTP_CHECK_STATUS_LINE;
	check->index++;
	return HTTP_CHECK_VALID;
}

/*
 * Reads a byte of a request line, which the library checks. Its last character
 * is the minor version.
 */
static enum http_check_fault
read_request_line(struct http_check *check, unsigned char c)
{
	if (c == '\n')
		check->state = FIELD_START;
	else if (c != '\r')
		check->minor = (unsigned int)c - '0';
	return HTTP_CHECK_VALID;
}

/*
 * Reads the first byte of a line of the head or the trailer, other than its
 * end. A line that begins with a blank continues the one before (RFC 9112,
 * section 5.2), or follows the start line (section 2.2). Readers differ on
 * both, and the RFC allows a gateway to answer 502.
 */
static enum http_check_fault
read_field_start(struct http_check *check, unsigned char c)
{
	if (is_blank((char)c))
		return HTTP_CHECK_FOLDED;
	if (!is_token_char(c))
		return HTTP_CHECK_NAME;
	check->name[0] = (char)c;
	check->name_len = 1;
	check->value_len = 0;
	check->state = NAME;
	return HTTP_CHECK_VALID;
}

/*
 * Reads a byte of a field name. A blank before the colon is refused in
 * responses, too (RFC 9112, section 5.1): another reader may take the field for
 * one that determines the framing.
 */
static enum http_check_fault
read_name(struct http_check *check, unsigned char c)
{
	if (c == ':')
		check->state = VALUE;
	else if (!is_token_char(c))
		return HTTP_CHECK_NAME;
	else if (check->name_len < HTTP_CHECK_TEXT_MAX)
		check->name[check->name_len++] = (char)c;
	return HTTP_CHECK_VALID;
}

/*
 * Returns whether the field line being read has a name; compares
 * case-insensitively.
 */
static bool
is_field(const struct http_check *check, const char *name)
{
	return check->name_len == strlen(name) &&
	    strncasecmp(check->name, name, check->name_len) == 0;
}

/*
 * Reads the length in a Content-Length field. Several, even of the same value,
 * are refused (RFC 9112, section 6.3).
 */
static enum http_check_fault
read_length(struct http_check *check)
{
	int64_t length;

	if (check->value_len == 0 || check->value[0] == '-')
		return HTTP_CHECK_LENGTH;
	if (check->has_length || check->value_len > HTTP_CHECK_TEXT_MAX ||
	    lstr_to_int64(lstr_make(check->value, check->value_len), &length) !=
		STATUS_OK)
		return HTTP_CHECK_LENGTH;
	check->has_length = true;
	check->length = (uint64_t)length;
	return HTTP_CHECK_VALID;
}

/*
 * Reads the coding in a Transfer-Encoding field. Only chunked is understood:
 * a body in any other coding can neither be decoded nor passed on (RFC 9112,
 * section 6.1).
 */
static enum http_check_fault
read_coding(struct http_check *check)
{
	static const char chunked[] = "chunked";

	if (check->is_chunked || check->value_len != sizeof(chunked) - 1 ||
	    strncasecmp(check->value, chunked, check->value_len) != 0)
		return HTTP_CHECK_CODING;
	check->is_chunked = true;
	return HTTP_CHECK_VALID;
}

/*
 * Handles the end of a field line. Fields of a trailer do not determine the
 * framing.
 */
static enum http_check_fault
end_field(struct http_check *check)
{
	check->state = FIELD_START;
	if (check->in_trailer)
		return HTTP_CHECK_VALID;
	while (check->value_len > 0 &&
	    check->value_len <= HTTP_CHECK_TEXT_MAX &&
	    is_blank(check->value[check->value_len - 1]))
		check->value_len--;
	if (is_field(check, "Content-Length"))
		return read_length(check);
	if (is_field(check, "Transfer-Encoding"))
		return read_coding(check);
	return HTTP_CHECK_VALID;
}

/*
 * Reads a byte of a field value. A carriage return without a line feed is
 * refused (RFC 9112, section 2.2).
 */
static enum http_check_fault
read_value(struct http_check *check, unsigned char c)
{
	if (c == '\n')
		return end_field(check);
	if (c == '\r')
		check->state = VALUE_CR;
	else if (!is_text_char(c))
		return HTTP_CHECK_VALUE;
	else if (is_blank((char)c) &&
	    (check->value_len == 0 || check->value_len >= HTTP_CHECK_TEXT_MAX))
		return HTTP_CHECK_VALID;
	else if (check->value_len < HTTP_CHECK_TEXT_MAX)
		check->value[check->value_len++] = (char)c;
	else
		check->value_len = HTTP_CHECK_TEXT_MAX + 1;
	return HTTP_CHECK_VALID;
}

/*
 * Determines the framing at the end of a head (RFC 9112, section 6.3). Both a
 * length and chunks may be an attempt to have two readers find different
 * bodies, and HTTP/1.0 has no chunks (section 6.1). Interim responses and 204
 * have neither; a length of 0 leaves no doubt.
 */
static enum http_check_fault
end_head(struct http_check *check)
{
	bool response = check->kind == HTTP_CHECK_RESPONSE;
	bool interim = response && check->status < STATUS_FINAL_MIN;

	if (check->is_chunked && check->has_length)
		return HTTP_CHECK_LENGTH;
	if (check->is_chunked && check->minor == 0)
		return HTTP_CHECK_CODING;
	if ((interim || (response && check->status == STATUS_NO_CONTENT)) &&
	    (check->is_chunked || check->length > 0))
		return HTTP_CHECK_CONTENT;
	check->left = check->length;
	if (interim)
		http_check_begin(check, check->kind, check->head_only);
	else if (!http_check_has_content(check))
		check->state = COMPLETE;
	else if (check->is_chunked)
		check->state = CHUNK_START;
	else if (check->has_length)
		check->state = check->length > 0 ? BODY_LENGTH : COMPLETE;
	else
		check->state = response ? BODY_CLOSE : COMPLETE;
	return HTTP_CHECK_VALID;
}

/*
 * Handles the empty line at the end of a head or a trailer.
 */
static enum http_check_fault
end_fields(struct http_check *check)
{
	if (!check->in_trailer)
		return end_head(check);
	check->state = COMPLETE;
	return HTTP_CHECK_VALID;
}

/*
 * Reads the line feed after a carriage return.
 */
static enum http_check_fault
read_line_feed(
    struct http_check *check, unsigned char c, enum http_check_fault fault)
{
	if (c != '\n')
		return fault;
	switch (check->state) {
	case START_CR:
		check->state = FIELD_START;
		return HTTP_CHECK_VALID;
	case VALUE_CR:
		return end_field(check);
	case HEAD_CR:
		return end_fields(check);
	case CHUNK_CR:
		if (check->left > 0) {
			check->state = CHUNK_DATA;
			return HTTP_CHECK_VALID;
		}
		check->in_trailer = true;
		check->extra_bytes = 0;
		check->state = FIELD_START;
		return HTTP_CHECK_VALID;
	default:
		check->extra_bytes = 0;
		check->state = CHUNK_START;
		return HTTP_CHECK_VALID;
	}
}

/*
 * Reads a byte of a line with the size of a chunk (RFC 9112, section 7.1).
 * Blanks after the size are understood, since some servers pad it.
 */
static enum http_check_fault
read_chunk_line(struct http_check *check, unsigned char c)
{
	int digit = hex_value(c);

	if (check->state == CHUNK_EXTENSION) {
		if (c == '\r')
			check->state = CHUNK_CR;
		else if (!is_text_char(c))
			return HTTP_CHECK_CHUNK;
		return HTTP_CHECK_VALID;
	}
	if (check->state == CHUNK_START) {
		check->left = 0;
		if (digit < 0)
			return HTTP_CHECK_CHUNK;
	}
	if (digit >= 0 && check->state != CHUNK_BLANK) {
		if (check->left > (uint64_t)INT64_MAX >> 4)
			return HTTP_CHECK_CHUNK;
		check->left = check->left << 4 | (uint64_t)digit;
		check->state = CHUNK_SIZE;
	} else if (c == ' ') {
		check->state = CHUNK_BLANK;
	} else if (c == ';') {
		check->state = CHUNK_EXTENSION;
	} else if (c == '\r') {
		check->state = CHUNK_CR;
	} else {
		return HTTP_CHECK_CHUNK;
	}
	return HTTP_CHECK_VALID;
}

/*
 * Reads a byte that does not belong to the body.
 */
static enum http_check_fault
read_byte(struct http_check *check, unsigned char c)
{
	switch (check->state) {
	case START:
		/* Empty lines before a request (RFC 9112, section 2.2). */
		if (check->kind == HTTP_CHECK_REQUEST &&
		    (c == '\r' || c == '\n'))
			return HTTP_CHECK_VALID;
		check->state = check->kind == HTTP_CHECK_REQUEST ? REQUEST_LINE
								 : STATUS_LINE;
		return read_byte(check, c);
	case REQUEST_LINE:
		return read_request_line(check, c);
	case STATUS_LINE:
		return read_status_line(check, c);
	case REASON:
		return read_reason(check, c);
	case FIELD_START:
		if (c == '\n')
			return end_fields(check);
		if (c != '\r')
			return read_field_start(check, c);
		check->state = HEAD_CR;
		return HTTP_CHECK_VALID;
	case NAME:
		return read_name(check, c);
	case VALUE:
		return read_value(check, c);
	case START_CR:
		return read_line_feed(check, c, HTTP_CHECK_STATUS_LINE);
	case VALUE_CR:
		return read_line_feed(check, c, HTTP_CHECK_VALUE);
	case HEAD_CR:
		return read_line_feed(check, c, HTTP_CHECK_NAME);
	case CHUNK_CR:
	case CHUNK_DATA_CR:
		return read_line_feed(check, c, HTTP_CHECK_CHUNK);
	case CHUNK_DATA_END:
		check->state = CHUNK_DATA_CR;
		return c == '\r' ? HTTP_CHECK_VALID : HTTP_CHECK_CHUNK;
	default:
		return read_chunk_line(check, c);
	}
}

/*
 * Takes a part of the body from the input.
 */
static enum http_check_event
take_body(struct http_check *check, struct lstr *input, struct lstr *body)
{
	size_t len = input->len;

	if (check->state != BODY_CLOSE) {
		if (len > check->left)
			len = (size_t)check->left;
		check->left -= len;
		if (check->left == 0)
			check->state = check->state == BODY_LENGTH
			    ? COMPLETE
			    : CHUNK_DATA_END;
	}
	*body = lstr_make(input->data, len);
	*input = lstr_make(input->data + len, input->len - len);
	return HTTP_CHECK_BODY;
}

/*
 * Limits what is read between the parts of a chunked body and after it.
 */
static enum http_check_fault
count_extra(struct http_check *check)
{
	if (!check->in_trailer && check->state < CHUNK_START)
		return HTTP_CHECK_VALID;
	return ++check->extra_bytes >
		(check->in_trailer ? TRAILER_MAX_BYTES : CHUNK_LINE_MAX_BYTES)
	    ? HTTP_CHECK_TOO_LONG
	    : HTTP_CHECK_VALID;
}

/*
 * Reads the input up to the next event and removes what was read from it. body
 * is set for HTTP_CHECK_BODY and refers to the input. After HTTP_CHECK_END and
 * HTTP_CHECK_INVALID nothing more is read.
 */
enum http_check_event
http_check_next(struct http_check *check, struct lstr *input, struct lstr *body)
{
	if (check->fault != HTTP_CHECK_VALID)
		return HTTP_CHECK_INVALID;
	if (check->state == COMPLETE)
		return HTTP_CHECK_END;
	while (input->len > 0) {
		unsigned int before = check->state;

		if (before == BODY_LENGTH || before == BODY_CLOSE ||
		    before == CHUNK_DATA)
			return take_body(check, input, body);
		check->fault = count_extra(check);
		if (check->fault == HTTP_CHECK_VALID)
			check->fault =
			    read_byte(check, (unsigned char)*input->data);
		if (check->fault != HTTP_CHECK_VALID)
			return HTTP_CHECK_INVALID;
		*input = lstr_make(input->data + 1, input->len - 1);
		if ((before == HEAD_CR || before == FIELD_START) &&
		    check->state >= BODY_LENGTH)
			return check->in_trailer ? HTTP_CHECK_END
						 : HTTP_CHECK_HEAD;
	}
	return HTTP_CHECK_MORE;
}

/*
 * Returns whether the whole message has been read.
 */
bool
http_check_is_complete(const struct http_check *check)
{
	return check->fault == HTTP_CHECK_VALID && check->state == COMPLETE;
}

/*
 * Returns whether the end of the connection completes the message.
 */
bool
http_check_ends_with_connection(const struct http_check *check)
{
	return check->fault == HTTP_CHECK_VALID && check->state == BODY_CLOSE;
}

/*
 * Returns whether a response may have a body, even an empty one (RFC 9112,
 * section 6.3).
 */
bool
http_check_has_content(const struct http_check *check)
{
	return check->kind == HTTP_CHECK_REQUEST ||
	    (!check->head_only && check->status != STATUS_NO_CONTENT &&
		check->status != STATUS_NOT_MODIFIED);
}

/*
 * Returns whether a server that states the length of a body that its response
 * does not have may send that body nevertheless, before the next response.
 */
bool
http_check_may_be_followed(const struct http_check *check)
{
	return !check->head_only && !http_check_has_content(check) &&
	    (check->is_chunked || check->length > 0);
}

/*
 * Returns the text for a fault, for logs.
 */
const char *
http_check_fault_text(enum http_check_fault fault)
{
	static const char *const texts[HTTP_CHECK_FAULTS] = {
	    [HTTP_CHECK_VALID] = "valid",
	    [HTTP_CHECK_STATUS_LINE] = "malformed status line",
	    [HTTP_CHECK_VERSION] = "version other than HTTP/1",
	    [HTTP_CHECK_STATUS] = "status not from 100 to 599",
	    [HTTP_CHECK_UPGRADE] = "switch of protocols without a request",
	    [HTTP_CHECK_NAME] = "field name that is no token",
	    [HTTP_CHECK_FOLDED] = "line that begins with a blank",
	    [HTTP_CHECK_VALUE] = "control byte in a field value",
	    [HTTP_CHECK_LENGTH] = "unreadable or contradictory length",
	    [HTTP_CHECK_CODING] = "unknown transfer coding",
	    [HTTP_CHECK_CONTENT] = "body where none is allowed",
	    [HTTP_CHECK_CHUNK] = "malformed chunk",
	    [HTTP_CHECK_TOO_LONG] = "chunk line or trailer too long"};

	return texts[fault];
}
