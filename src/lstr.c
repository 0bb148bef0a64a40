#include <assert.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lstr.h"

#define BUF_MIN 256
#define INT64_DIGITS_MAX 20

/*
 * Returns a view of a terminated string; NULL gives the empty string.
 */
struct lstr
lstr_from(const char *text)
{
	struct lstr s = {text ? text : "", text ? strlen(text) : 0};

	return s;
}

/*
 * Returns a view of len bytes at data.
 */
struct lstr
lstr_make(const void *data, size_t len)
{
	struct lstr s = {data ? data : "", len};

	return s;
}

/*
 * Returns whether two strings hold the same bytes.
 */
bool
lstr_equal(struct lstr a, struct lstr b)
{
	return a.len == b.len && memcmp(a.data, b.data, a.len) == 0;
}

/*
 * Returns whether a string equals a terminated string.
 */
bool
lstr_equal_c(struct lstr a, const char *b)
{
	return lstr_equal(a, lstr_from(b));
}

/*
 * Returns whether a string starts with a terminated prefix.
 */
bool
lstr_starts_with(struct lstr s, const char *prefix)
{
	size_t len = strlen(prefix);

	return s.len >= len && memcmp(s.data, prefix, len) == 0;
}

/*
 * Copies a string into a new terminated string that the caller frees with
 * free(). Returns NULL if memory runs out.
 */
char *
lstr_dup_c(struct lstr s)
{
	char *copy = malloc(s.len + 1);

	if (copy == NULL)
		return NULL;
	memcpy(copy, s.data, s.len);
	copy[s.len] = '\0';
	return copy;
}

/*
 * Parses a string that consists of one decimal integer. Returns STATUS_INVALID
 * for anything else.
 */
enum status
lstr_to_int64(struct lstr s, int64_t *out)
{
	char text[INT64_DIGITS_MAX + 1];
	char *end;
	long long value;

	if (s.len == 0 || s.len > INT64_DIGITS_MAX)
		return status_set(STATUS_INVALID, "not a whole number");
	memcpy(text, s.data, s.len);
	text[s.len] = '\0';
	if (text[0] != '-' && (text[0] < '0' || text[0] > '9'))
		return status_set(STATUS_INVALID, "not a whole number");
	errno = 0;
	value = strtoll(text, &end, 10);
	if (errno != 0 || *end != '\0' || end == text)
		return status_set(STATUS_INVALID, "not a whole number");
	*out = value;
	return STATUS_OK;
}

/*
 * Reserves space for extra bytes after the contents: uses the free space there,
 * or moves the contents over the consumed bytes, or enlarges the allocation.
 * Contents larger than the consumed part are not moved, so that moving copies
 * at most one byte for each byte consumed.
 */
static enum status
buf_reserve(struct lstr_buf *buf, size_t extra)
{
	size_t offset = (size_t)(buf->data - buf->base);
	size_t size = buf->size ? buf->size : BUF_MIN;
	char *base;

	if (offset + buf->len + extra <= buf->size)
		return STATUS_OK;
	if (offset >= buf->len && buf->len + extra <= buf->size) {
		memmove(buf->base, buf->data, buf->len);
		buf->data = buf->base;
		return STATUS_OK;
	}
	while (size < offset + buf->len + extra)
		size *= 2;
	base = realloc(buf->base, size);
	if (base == NULL)
		return status_set(
		    STATUS_NO_MEMORY, "buffer of %zu bytes", size);
	buf->base = base;
	buf->data = base + offset;
	buf->size = size;
	return STATUS_OK;
}

/*
 * Enlarges the allocation so that the contents may grow to a size without
 * another one. On STATUS_NO_MEMORY the buffer is unchanged.
 */
enum status
lstr_buf_reserve(struct lstr_buf *buf, size_t size)
{
	size_t offset = (size_t)(buf->data - buf->base);
	char *base;

	if (offset + size <= buf->size)
		return STATUS_OK;
	if (offset > 0) {
		memmove(buf->base, buf->data, buf->len);
		buf->data = buf->base;
	}
	if (size <= buf->size)
		return STATUS_OK;
	base = realloc(buf->base, size);
	if (base == NULL)
		return status_set(
		    STATUS_NO_MEMORY, "buffer of %zu bytes", size);
	buf->base = base;
	buf->data = base;
	buf->size = size;
	return STATUS_OK;
}

/*
 * Appends a copy of a string. On STATUS_NO_MEMORY the buffer is unchanged.
 */
enum status
lstr_buf_append(struct lstr_buf *buf, struct lstr s)
{
	enum status status = buf_reserve(buf, s.len);

	if (status != STATUS_OK)
		return status;
	if (s.len > 0)
		memcpy(buf->data + buf->len, s.data, s.len);
	buf->len += s.len;
	return STATUS_OK;
}

/*
 * Inserts a copy of a string before the contents, without a second buffer. On
 * STATUS_NO_MEMORY the buffer is unchanged.
 */
enum status
lstr_buf_prepend(struct lstr_buf *buf, struct lstr s)
{
	enum status status = lstr_buf_reserve(buf, buf->len + s.len);

	if (status != STATUS_OK || s.len == 0)
		return status;
	memmove(buf->data + s.len, buf->data, buf->len);
	memcpy(buf->data, s.data, s.len);
	buf->len += s.len;
	return STATUS_OK;
}

/*
 * Appends formatted text. On STATUS_NO_MEMORY the buffer is unchanged.
 */
enum status
lstr_buf_printf(struct lstr_buf *buf, const char *format, ...)
{
	va_list args;
	enum status status;
	int len;

	va_start(args, format);
	len = vsnprintf(NULL, 0, format, args);
	va_end(args);
	assert(len >= 0);
	status = buf_reserve(buf, (size_t)len + 1);
	if (status != STATUS_OK)
		return status;
	va_start(args, format);
	vsnprintf(buf->data + buf->len, (size_t)len + 1, format, args);
	va_end(args);
	buf->len += (size_t)len;
	return STATUS_OK;
}

/*
 * Removes len bytes from the front in constant time, because links consume
 * small messages one at a time from a large buffer.
 */
void
lstr_buf_consume(struct lstr_buf *buf, size_t len)
{
	assert(len <= buf->len);
	buf->len -= len;
	buf->data = buf->len > 0 ? buf->data + len : buf->base;
}

/*
 * Empties the buffer and keeps its memory.
 */
void
lstr_buf_clear(struct lstr_buf *buf)
{
	buf->data = buf->base;
	buf->len = 0;
}

/*
 * Frees the buffer's memory and empties the buffer, which may be reused.
 */
void
lstr_buf_free(struct lstr_buf *buf)
{
	free(buf->base);
	memset(buf, 0, sizeof(*buf));
}

/*
 * Returns a view of the contents, valid until the buffer changes.
 */
struct lstr
lstr_buf_view(const struct lstr_buf *buf)
{
	return lstr_make(buf->data, buf->len);
}
