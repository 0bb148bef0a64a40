#include <assert.h>
#include <string.h>
#include <strings.h>

#include "h1_priv.h"

/*
 * Returns the method of a request.
 */
struct lstr
h1_method(const struct h1_conn *conn)
{
	return lstr_from(
	    http_method_str((enum http_method)conn->parser.method));
}

/*
 * Returns a view of the bytes of a span; they belong to the connection.
 */
static struct lstr
span_view(const struct h1_conn *conn, struct span span)
{
	return lstr_make(conn->head_text.data + span.offset, span.len);
}

/*
 * Returns the request target exactly as the client sent it.
 */
struct lstr
h1_target(const struct h1_conn *conn)
{
	return span_view(conn, conn->target);
}

/*
 * Returns the status code of a response.
 */
unsigned int
h1_status(const struct h1_conn *conn)
{
	return conn->parser.status_code;
}

/*
 * Returns whether the connection stays open after this message.
 */
bool
h1_keep_alive(const struct h1_conn *conn)
{
	return http_should_keep_alive(&conn->parser) != 0;
}

/*
 * Returns whether the message uses HTTP/1.0, which has no chunked encoding.
 */
bool
h1_is_http10(const struct h1_conn *conn)
{
	return conn->parser.http_major < 1 ||
	    (conn->parser.http_major == 1 && conn->parser.http_minor == 0);
}

/*
 * Returns the value of Content-Length, or -1 if the header is missing or
 * invalid.
 */
int64_t
h1_content_length(const struct h1_conn *conn)
{
	struct lstr value;
	int64_t length;

	if (!h1_find_header(conn, "Content-Length", &value) ||
	    lstr_to_int64(value, &length) != STATUS_OK)
		return -1;
	return length;
}

/*
 * Client: returns whether the connection can be reused for another request:
 * the response is complete and no bytes followed it.
 */
bool
h1_is_reusable(const struct h1_conn *conn)
{
	return !conn->is_closed && !conn->write_failed && conn->complete &&
	    !conn->not_reusable && !conn->connecting && !h1_has_output(conn) &&
	    h1_keep_alive(conn);
}

/*
 * Client: returns whether the response had neither a length nor chunks, so that
 * its end may also be that of the server.
 */
bool
h1_ended_by_close(const struct h1_conn *conn)
{
	return conn->ended_by_close;
}

/*
 * Client: returns whether the response may have a body, so that its length is
 * stated when it is passed on. One to HEAD, 204 and 304 have none.
 */
bool
h1_has_content(const struct h1_conn *conn)
{
	return http_check_has_content(&conn->check);
}

/*
 * Returns why the request could not be read.
 */
enum h1_fault
h1_fault(const struct h1_conn *conn)
{
	return conn->fault;
}

/*
 * Returns when the first byte of the request arrived, in microseconds since
 * the epoch.
 */
int64_t
h1_head_started_at(const struct h1_conn *conn)
{
	return conn->head_started_at;
}

/*
 * Returns the number of headers of the message.
 */
size_t
h1_header_count(const struct h1_conn *conn)
{
	return conn->header_count;
}

/*
 * Returns views of the name and value of a header by its index.
 */
void
h1_header_at(const struct h1_conn *conn, size_t index, struct lstr *name,
    struct lstr *value)
{
	assert(index < conn->header_count);
	*name = span_view(conn, conn->headers[index].name);
	*value = span_view(conn, conn->headers[index].value);
}

/*
 * Finds the first header with a name, ignoring case. Returns false and an
 * empty value if there is none.
 */
bool
h1_find_header(const struct h1_conn *conn, const char *name, struct lstr *value)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < conn->header_count; i++) {
		struct lstr n;

		h1_header_at(conn, i, &n, value);
		if (n.len == len && strncasecmp(n.data, name, len) == 0)
			return true;
	}
	*value = lstr_make(NULL, 0);
	return false;
}

/*
 * Takes the next entry from a comma-separated list, without the spaces and tabs
 * around it. Returns false at the end; after the last entry, rest->data is
 * NULL.
 */
bool
h1_list_next(struct lstr *rest, struct lstr *entry)
{
	const char *comma;

	if (rest->data == NULL)
		return false;
	comma = rest->len == 0 ? NULL : memchr(rest->data, ',', rest->len);
	*entry = *rest;
	if (comma != NULL)
		entry->len = (size_t)(comma - rest->data);
	*rest = comma == NULL
	    ? (struct lstr){NULL, 0}
	    : lstr_make(comma + 1, rest->len - entry->len - 1);
	while (
	    entry->len > 0 && (entry->data[0] == ' ' || entry->data[0] == '\t'))
		*entry = lstr_make(entry->data + 1, entry->len - 1);
	while (entry->len > 0 &&
	    (entry->data[entry->len - 1] == ' ' ||
		entry->data[entry->len - 1] == '\t'))
		entry->len--;
	return true;
}

/*
 * Returns whether a comma-separated list, such as the value of Connection,
 * contains a token, ignoring case.
 */
bool
h1_list_contains_token(struct lstr list, struct lstr token)
{
	struct lstr entry;

	while (h1_list_next(&list, &entry)) {
		if (entry.len == token.len &&
		    strncasecmp(entry.data, token.data, token.len) == 0)
			return true;
	}
	return false;
}
