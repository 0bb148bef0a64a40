#include "harness.h"

#include <string.h>

#include "answers.h"
#include "http_check.h"

#define COUNT(list) (sizeof(list) / sizeof(*(list)))

/*
 * Reads a message in pieces of a length and collects its body. Returns the last
 * event; rest is what was not read of the piece.
 */
static enum http_check_event
read_message(struct http_check *check, struct lstr message, size_t piece,
    struct lstr_buf *body, size_t *rest)
{
	enum http_check_event event = HTTP_CHECK_MORE;

	while (message.len > 0) {
		size_t len = piece < message.len ? piece : message.len;
		struct lstr input = lstr_make(message.data, len);
		struct lstr part;

		message = lstr_make(message.data + len, message.len - len);
		do {
			event = http_check_next(check, &input, &part);
			if (event == HTTP_CHECK_BODY)
				lstr_buf_append(body, part);
		} while (event == HTTP_CHECK_HEAD || event == HTTP_CHECK_BODY);
		*rest = input.len;
		if (event != HTTP_CHECK_MORE)
			break;
	}
	return event;
}

/*
 * Returns why a message is not valid.
 */
static enum http_check_fault
find_fault(enum http_check_kind kind, struct lstr message)
{
	struct http_check check;
	struct lstr_buf body = {0};
	size_t rest;

	http_check_begin(&check, kind, false);
	read_message(&check, message, message.len, &body, &rest);
	lstr_buf_free(&body);
	return check.fault;
}

/*
 * Checks that each message of a list is refused, also in single bytes.
 */
static void
check_all_are_refused(
    enum http_check_kind kind, const struct lstr *messages, size_t count)
{
	for (size_t i = 0; i < 2 * count; i++) {
		struct lstr message = messages[i / 2];
		size_t piece = i % 2 == 0 ? message.len : 1;
		struct http_check check;
		struct lstr_buf body = {0};
		size_t rest = 0;

		http_check_begin(&check, kind, false);
		ck_assert_msg(read_message(&check, message, piece, &body,
				  &rest) == HTTP_CHECK_INVALID,
		    "'%.*s' is accepted", LSTR_ARG(message));
		/* The byte that shows it is not read. */
		ck_assert_uint_ge(rest, 1);
		ck_assert(!http_check_is_complete(&check));
		ck_assert(!http_check_ends_with_connection(&check));
		ck_assert_str_ne(http_check_fault_text(check.fault), "valid");
		lstr_buf_free(&body);
	}
}

/* Guards against accepting what is no answer. */
START_TEST(broken_answers_are_refused)
{
	check_all_are_refused(
	    HTTP_CHECK_RESPONSE, answers_start, COUNT(answers_start));
	check_all_are_refused(
	    HTTP_CHECK_RESPONSE, answers_fields, COUNT(answers_fields));
	check_all_are_refused(
	    HTTP_CHECK_RESPONSE, answers_framing, COUNT(answers_framing));
	check_all_are_refused(
	    HTTP_CHECK_RESPONSE, answers_chunks, COUNT(answers_chunks));
}
END_TEST

/* Guards against refusing an answer, or reading another body, depending on how
 * it arrives. */
START_TEST(sound_answers_are_read_in_any_pieces)
{
	for (size_t i = 0; i < COUNT(answers_sound); i++) {
		struct lstr message = answers_sound[i].bytes;

		for (size_t piece = 1; piece <= message.len; piece++) {
			struct http_check check;
			struct lstr_buf body = {0};
			size_t rest = 0;

			http_check_begin(&check, HTTP_CHECK_RESPONSE, false);
			ck_assert_msg(read_message(&check, message, piece,
					  &body, &rest) != HTTP_CHECK_INVALID,
			    "'%.*s': %s", LSTR_ARG(message),
			    http_check_fault_text(check.fault));
			ck_assert(http_check_is_complete(&check) ||
			    http_check_ends_with_connection(&check));
			ck_assert_uint_eq(
			    check.status, answers_sound[i].status);
			ck_assert(lstr_equal_c(
			    lstr_buf_view(&body), answers_sound[i].body));
			lstr_buf_free(&body);
		}
	}
}
END_TEST

/* Guards against a status that is accepted although it has no meaning, and
 * against refusing one that has. */
START_TEST(statuses_from_200_to_599_are_final)
{
	for (unsigned int status = 0; status < 1000; status++) {
		char text[64];
		struct http_check check;
		struct lstr input = lstr_make(text, 0);
		struct lstr body;
		enum http_check_event event;
		bool interim = status >= 100 && status < 200 && status != 101;
		bool final = status >= 200 && status < 600;

		snprintf(text, sizeof(text), "HTTP/1.1 %03u X\r\n\r\n", status);
		input.len = strlen(text);
		http_check_begin(&check, HTTP_CHECK_RESPONSE, false);
		event = http_check_next(&check, &input, &body);
		ck_assert_msg(event ==
			(final		  ? HTTP_CHECK_HEAD
				: interim ? HTTP_CHECK_MORE
					  : HTTP_CHECK_INVALID),
		    "status %03u: event %d", status, (int)event);
	}
}
END_TEST

/* Guards against bytes in names and values that other readers take for
 * something else. */
START_TEST(each_byte_of_a_field_is_checked)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	for (unsigned int c = 0; c < 256; c++) {
		char name[] = "HTTP/1.1 200 X\r\nX?Y: z\r\n\r\n";
		char value[] = "HTTP/1.1 200 X\r\nX: a?b\r\n\r\n";
		bool token = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
		    (c >= 'A' && c <= 'Z') ||
		    (c != 0 && strchr(others, (int)c) != NULL);
		bool text = c == '\t' || (c >= ' ' && c != 0x7f);

		*strchr(name, '?') = (char)c;
		*strchr(value, '?') = (char)c;
		/* This ends the name and the line. */
		if (c != ':')
			ck_assert_msg(token ==
				(find_fault(HTTP_CHECK_RESPONSE,
				     lstr_make(name, sizeof(name) - 1)) ==
				    HTTP_CHECK_VALID),
			    "byte %u in a name", c);
		ck_assert_msg(text ==
			(find_fault(HTTP_CHECK_RESPONSE,
			     lstr_make(value, sizeof(value) - 1)) ==
			    HTTP_CHECK_VALID),
		    "byte %u in a value", c);
	}
}
END_TEST

/* Guards against reading a body that a response to HEAD does not have, and
 * against reading one response for another. */
START_TEST(response_to_head_has_no_content)
{
	static const char text[] = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n"
				   "HTTP/1.1 204 X\r\n\r\n";
	struct http_check check;
	struct lstr_buf body = {0};
	size_t rest = 0;

	http_check_begin(&check, HTTP_CHECK_RESPONSE, true);
	ck_assert_int_eq(
	    read_message(&check, lstr_from(text), sizeof(text), &body, &rest),
	    HTTP_CHECK_END);
	ck_assert_uint_eq(body.len, 0);
	ck_assert_uint_eq(rest, strlen("HTTP/1.1 204 X\r\n\r\n"));
	ck_assert(!http_check_has_content(&check));
	lstr_buf_free(&body);
}
END_TEST

/* Guards against the reuse of a connection on which a body may follow a
 * response that has none. */
START_TEST(stated_length_of_an_empty_response_is_noticed)
{
	static const struct {
		const char *text;
		bool followed;
	} cases[] = {{"HTTP/1.1 304 X\r\n\r\n", false},
	    {"HTTP/1.1 304 X\r\nContent-Length: 0\r\n\r\n", false},
	    {"HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n", true},
	    {"HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	    {"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok", false}};

	for (size_t i = 0; i < COUNT(cases); i++) {
		struct http_check check;
		struct lstr_buf body = {0};
		size_t rest;

		http_check_begin(&check, HTTP_CHECK_RESPONSE, false);
		read_message(
		    &check, lstr_from(cases[i].text), 100, &body, &rest);
		ck_assert(http_check_is_complete(&check));
		ck_assert(
		    http_check_may_be_followed(&check) == cases[i].followed);
		lstr_buf_free(&body);
	}
}
END_TEST

/* Guards against reading for as long as a peer sends what is no body. */
START_TEST(chunk_lines_and_trailers_are_limited)
{
	static const char *const starts[] = {"2;", "0\r\nX: "};
	static char many[128 * 1024];

	memset(many, 'x', sizeof(many));
	for (size_t i = 0; i < COUNT(starts); i++) {
		struct http_check check;
		struct lstr_buf text = {0};
		struct lstr_buf body = {0};
		size_t rest;

		lstr_buf_printf(&text,
		    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		    starts[i]);
		lstr_buf_append(&text, lstr_make(many, sizeof(many)));
		http_check_begin(&check, HTTP_CHECK_RESPONSE, false);
		ck_assert_int_eq(read_message(&check, lstr_buf_view(&text),
				     1024, &body, &rest),
		    HTTP_CHECK_INVALID);
		ck_assert_int_eq(check.fault, HTTP_CHECK_TOO_LONG);
		lstr_buf_free(&text);
		lstr_buf_free(&body);
	}
}
END_TEST

/* Guards against requests that two readers take for different ones. */
START_TEST(broken_requests_are_refused)
{
	static const struct lstr requests[] = {
	    BYTES("POST / HTTP/1.1\r\nHost : h\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nok"),
	    BYTES("POST / HTTP/1.1\r\n Content-Length: 2\r\n\r\nok"),
	    BYTES("POST / HTTP/1.1\r\nHost: h\r\n X: y\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nX Y: z\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nX\0Y: z\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nX\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nX: \001\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nX: y\rz: a\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nContent-Length: 2\r\n"
		  "Content-Length: 3\r\n\r\nokk"),
	    BYTES("POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nok"),
	    BYTES("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		  "Content-Length: 3\r\n\r\n0\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n"
		  "\r\n0\r\n\r\n"),
	    BYTES("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
		  "\r\n0\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		  "\r\n2 x\r\nok\r\n0\r\n\r\n"),
	    BYTES("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		  "\r\n2\r\nokXX0\r\n\r\n")};

	check_all_are_refused(HTTP_CHECK_REQUEST, requests, COUNT(requests));
}
END_TEST

/* Guards against refusing requests, and against reading bytes of the next. */
START_TEST(sound_requests_are_read)
{
	static const struct {
		const char *text;
		const char *body;
		size_t rest;
	} cases[] = {{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "", 0},
	    {"\r\n\nGET / HTTP/1.0\r\n\r\nGET", "", 3},
	    {"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET", "ok", 3},
	    {"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "", 0},
	    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "2;x\r\nok\r\n0\r\nX: y\r\n\r\nG",
		"ok", 1}};

	for (size_t i = 0; i < COUNT(cases); i++) {
		struct http_check check;
		struct lstr_buf body = {0};
		size_t rest = 0;

		http_check_begin(&check, HTTP_CHECK_REQUEST, false);
		read_message(
		    &check, lstr_from(cases[i].text), 1000, &body, &rest);
		ck_assert_msg(http_check_is_complete(&check), "'%s': %s",
		    cases[i].text, http_check_fault_text(check.fault));
		ck_assert_uint_eq(rest, cases[i].rest);
		ck_assert(lstr_equal_c(lstr_buf_view(&body), cases[i].body));
		lstr_buf_free(&body);
	}
}
END_TEST

HARNESS_MAIN("http_check", broken_answers_are_refused,
    sound_answers_are_read_in_any_pieces, statuses_from_200_to_599_are_final,
    each_byte_of_a_field_is_checked, response_to_head_has_no_content,
    stated_length_of_an_empty_response_is_noticed,
    chunk_lines_and_trailers_are_limited, broken_requests_are_refused,
    sound_requests_are_read)
