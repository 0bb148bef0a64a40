#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "fuzz.h"
#include "http_check.h"

/* What a reader has found in a response. */
struct reading {
	bool complete;
	unsigned int status;
	struct lstr_buf body;
};

static int
on_headers(http_parser *parser)
{
	return parser->status_code == HTTP_STATUS_NO_CONTENT ||
	    parser->status_code == HTTP_STATUS_NOT_MODIFIED;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct reading *reading = parser->data;

	lstr_buf_append(&reading->body, lstr_make(at, len));
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct reading *reading = parser->data;

	if (parser->status_code < HTTP_STATUS_OK)
		return 0;
	reading->complete = true;
	reading->status = parser->status_code;
	http_parser_pause(parser, 1);
	return 0;
}

/*
 * Reads a response with http_check, in pieces of a length. Returns the number
 * of bytes that were read of it.
 */
static size_t
check(struct http_check *check, struct lstr bytes, size_t piece,
    struct reading *out)
{
	size_t used = 0;
	enum http_check_event event = HTTP_CHECK_MORE;

	http_check_begin(check, HTTP_CHECK_RESPONSE, false);
	while (event == HTTP_CHECK_MORE && used < bytes.len) {
		size_t len =
		    piece < bytes.len - used ? piece : bytes.len - used;
		struct lstr input = lstr_make(bytes.data + used, len);
		struct lstr body;

		do {
			event = http_check_next(check, &input, &body);
			if (event == HTTP_CHECK_BODY)
				lstr_buf_append(&out->body, body);
		} while (event == HTTP_CHECK_HEAD || event == HTTP_CHECK_BODY);
		used += len - input.len;
	}
	out->complete = http_check_is_complete(check) ||
	    http_check_ends_with_connection(check);
	out->status = check->status;
	return used;
}

/*
 * Reads the valid bytes of a response with http-parser, as the node does.
 */
static void
parse(const struct http_check *check, struct lstr bytes, struct reading *out)
{
	static const http_parser_settings settings = {
	    .on_headers_complete = on_headers,
	    .on_body = on_body,
	    .on_message_complete = on_complete};
	http_parser parser;

	http_parser_init(&parser, HTTP_RESPONSE);
	parser.data = out;
	if (bytes.len > 0)
		http_parser_execute(&parser, &settings, bytes.data, bytes.len);
	if (http_check_ends_with_connection(check) && !out->complete)
		http_parser_execute(&parser, &settings, NULL, 0);
}

static bool
is_equal(const struct reading *a, const struct reading *b)
{
	return a->complete == b->complete && a->status == b->status &&
	    lstr_equal(lstr_buf_view(&a->body), lstr_buf_view(&b->body));
}

/*
 * Reads a response as a whole, in single bytes, and with the parser of the
 * node. Guards against a body that depends on how it arrives, and against one
 * that the node passes on and a strict reader does not find.
 */
int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct lstr bytes = lstr_make(data, size);
	struct reading whole = {0};
	struct reading pieces = {0};
	struct reading parsed = {0};
	struct http_check state;
	size_t used = check(&state, bytes, 1, &pieces);

	if (check(&state, bytes, size, &whole) != used ||
	    !is_equal(&whole, &pieces))
		abort();
	parse(&state, lstr_make(data, used), &parsed);
	/* The parser may refuse more. */
	if (parsed.complete && !is_equal(&whole, &parsed))
		abort();
	lstr_buf_free(&whole.body);
	lstr_buf_free(&pieces.body);
	lstr_buf_free(&parsed.body);
	return 0;
}
