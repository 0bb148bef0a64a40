#include "harness.h"

#include "answers.h"
#include "node_fixture.h"

#define HEAD(id)                                                               \
	"Host: models.example\r\nAttempt-Id: " id "\r\n"                       \
	"Deadline-Ms: 2000\r\nAuthorization: Token " NODE_KEY "\r\n"           \
	"Connection: close\r\n"
/* What a caller hides in the body of a request. */
#define HIDDEN "POST /order/1 HTTP/1.1\r\n" HEAD("hidden") "\r\n"

static const struct lstr broken[] = {
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X-More : y\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X-More\t: y\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X More: y\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n X-More: y\r\n" HEAD("r") "\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") " X-More: y\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X-\001: y\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X-\0: y\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X: \001\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X: y\rz\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD("r") "X-More\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Content-Length : 300\r\n\r\n" HIDDEN),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" HIDDEN),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n"
	     "0\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
	     "0\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.0\r\n" HEAD(
	"r") "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"),
    BYTES(
	"POST /order/1 HTTP/1.1\r\n" HEAD("r") "Content-Length: +2\r\n\r\nok"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding: chunked\r\n\r\n2 x\r\nok\r\n0\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding: chunked\r\n\r\n2;\001\r\nok\r\n0\r\n\r\n"),
    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
	"r") "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	     "X More: y\r\n\r\n")};

/* Guards against requests whose end the node and another reader see in
 * different places, so that a part of the body runs as another request. */
START_TEST(broken_requests_are_refused)
{
	struct node_fixture w;

	node_fixture_start(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
		struct lstr_buf received = node_exchange(&w, broken[i]);

		ck_assert_msg(
		    g_str_has_prefix(received.data, "HTTP/1.1 400 ") &&
			strstr(received.data + 1, "HTTP/1.1 ") == NULL,
		    "'%.*s': '%s'", LSTR_ARG(broken[i]), received.data);
		ck_assert_uint_eq(fake_platform_run_count(w.platform, "r"), 0);
		ck_assert_uint_eq(
		    fake_platform_run_count(w.platform, "hidden"), 0);
		lstr_buf_free(&received);
	}
	node_fixture_stop(&w);
}
END_TEST

/* Guards against refusing what callers may send. */
START_TEST(sound_requests_are_passed_on)
{
	static const struct lstr sound[] = {
	    BYTES("\r\nPOST /order/1 HTTP/1.1\r\n" HEAD("s") "\r\n"),
	    BYTES("POST /order/1 HTTP/1.1\n" HEAD("s") "\n"),
	    BYTES("POST /order/1 HTTP/1.0\r\n" HEAD("s") "\r\n"),
	    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
		"s") "!#$%&'*+-.^_`|~09azAZ: a\tb \303\244\r\nX:\r\n\r\n"),
	    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
		"s") "Content-Length: 2\r\n\r\nok"),
	    BYTES("POST /order/1 HTTP/1.1\r\n" HEAD(
		"s") "Transfer-Encoding: chunked\r\n\r\n"
		     "2;a=\"b\"\r\nok\r\n0\r\nX-More: y\r\n\r\n")};
	struct node_fixture w;

	node_fixture_start(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(sound); i++) {
		struct lstr_buf received = node_exchange(&w, sound[i]);

		ck_assert_msg(g_str_has_prefix(received.data, "HTTP/1.1 200 "),
		    "'%.*s': '%s'", LSTR_ARG(sound[i]), received.data);
		ck_assert_uint_eq(
		    fake_platform_run_count(w.platform, "s"), i + 1);
		lstr_buf_free(&received);
	}
	node_fixture_stop(&w);
}
END_TEST

HARNESS_MAIN("broken_requests", broken_requests_are_refused,
    sound_requests_are_passed_on)
