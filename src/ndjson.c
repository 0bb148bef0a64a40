#include <string.h>

#include "ndjson.h"

/*
 * Appends received bytes to a buffer of lines. Returns STATUS_INVALID if the
 * unfinished line at the end is longer than NDJSON_LINE_MAX_BYTES.
 */
enum status
ndjson_append(struct lstr_buf *buf, struct lstr bytes)
{
	enum status status = lstr_buf_append(buf, bytes);
	const char *newline;
	size_t rest;

	if (status != STATUS_OK || buf->len == 0)
		return status;
	newline = memrchr(buf->data, '\n', buf->len);
	rest = newline == NULL ? buf->len
			       : buf->len - (size_t)(newline + 1 - buf->data);
	if (rest > NDJSON_LINE_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "a line has more than %zu bytes", NDJSON_LINE_MAX_BYTES);
	return STATUS_OK;
}

/*
 * Reads the line that begins at *offset, without its newline, and advances
 * *offset to the next line. The line is valid until the buffer changes. Returns
 * false if no complete line is left.
 */
bool
ndjson_next(const struct lstr_buf *buf, size_t *offset, struct lstr *line)
{
	size_t len = buf->len - *offset;
	const char *start;
	const char *newline;

	if (len == 0)
		return false;
	start = buf->data + *offset;
	newline = memchr(start, '\n', len);
	if (newline == NULL)
		return false;
	*line = lstr_make(start, (size_t)(newline - start));
	*offset += line->len + 1;
	return true;
}
