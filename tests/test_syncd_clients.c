#include "cluster.h"
#include "crowd.h"

/* Size of an unfinished body; a configuration may have 32 MB. */
#define BODY_BYTES ((size_t)4 * 1024 * 1024)
#define BODY_CLIENTS 60
/* A body of single digits. */
#define VALUES_BODY_BYTES ((size_t)6 * 1000 * 1000)
#define SILENT_CLIENTS 900
/* Preface and header of a link, as frame.c reads them. */
#define FRAME_CLIENTS 300
#define FRAME_BYTES ((size_t)1000 * 1000)

/* A syncd with limited memory and descriptors, and its services. */
struct clients_fixture {
	struct cluster c;
	struct crowd crowd;
};

/*
 * Starts a syncd whose clients connect to the address that the test chooses.
 */
static void
start(struct clients_fixture *w)
{
	struct rlimit saved;

	memset(w, 0, sizeof(*w));
	crowd_limit(&saved);
	cluster_start(&w->c, 1);
	crowd_restore(&saved);
	w->crowd.loop = w->c.loop;
	cluster_wait_members(&w->c, 1);
}

static void
stop(struct clients_fixture *w)
{
	crowd_close(&w->crowd);
	cluster_stop(&w->c);
}

static void
aim(struct clients_fixture *w, const char *address)
{
	snprintf(w->crowd.address, sizeof(w->crowd.address), "%s", address);
}

/*
 * Checks the bounds before and after an ordinary request, which must be
 * answered at its first try.
 */
static void
check(struct clients_fixture *w)
{
	crowd_run(&w->crowd, 50);
	crowd_check_bounds(&w->c.syncds[0]);
	ck_assert_int_eq(
	    cluster_call(&w->c, "GET", w->c.operators[0], "/v1/status", NULL),
	    200);
	crowd_check_bounds(&w->c.syncds[0]);
}

/* Guards against operators' bodies that are not counted: those that stop short
 * exceed the memory of the machine together. */
START_TEST(bodies_that_stop_short)
{
	struct clients_fixture w;
	char *body = g_strnfill(BODY_BYTES, 'x');

	start(&w);
	aim(&w, w.c.operators[0]);
	for (unsigned int i = 0; i < BODY_CLIENTS; i++) {
		int fd = crowd_connect(&w.crowd);
		char head[256];

		snprintf(head, sizeof(head),
		    "POST /v1/config HTTP/1.1\r\nHost: s\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    BODY_BYTES);
		crowd_send_text(&w.crowd, fd, head);
		crowd_send(&w.crowd, fd, body, BODY_BYTES - 1);
	}
	check(&w);
	g_free(body);
	stop(&w);
}
END_TEST

/* Guards against a body whose parsed form takes many times its size. */
START_TEST(body_of_many_short_values)
{
	struct clients_fixture w;
	GString *body = g_string_new("{\"base\":[");
	char head[256];
	int fd;

	while (body->len < VALUES_BODY_BYTES)
		g_string_append(body, "0,");
	g_string_append(body, "0]}");
	start(&w);
	aim(&w, w.c.operators[0]);
	fd = crowd_connect(&w.crowd);
	snprintf(head, sizeof(head),
	    "POST /v1/config HTTP/1.1\r\nHost: s\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    body->len);
	crowd_send_text(&w.crowd, fd, head);
	ck_assert(crowd_send(&w.crowd, fd, body->str, body->len));
	check(&w);
	g_string_free(body, TRUE);
	stop(&w);
}
END_TEST

/* Guards against silent connections that use up the descriptors. */
START_TEST(silent_connections_at_the_operators_port)
{
	struct clients_fixture w;

	start(&w);
	aim(&w, w.c.operators[0]);
	crowd_connect_silent(&w.crowd, SILENT_CLIENTS);
	check(&w);
	stop(&w);
}
END_TEST

/* The same at the port of links, where strangers do not send what a link begins
 * with. */
START_TEST(silent_connections_at_the_port_of_links)
{
	struct clients_fixture w;

	start(&w);
	aim(&w, w.c.frames[0]);
	crowd_connect_silent(&w.crowd, SILENT_CLIENTS);
	check(&w);
	stop(&w);
}
END_TEST

/* Guards against first messages of strangers, which are read completely before
 * they are authenticated: those that stop short exceed the memory together. */
START_TEST(first_messages_that_stop_short)
{
	struct clients_fixture w;
	uint8_t key[FRAME_KEY_BYTES] = {0};
	char *bytes = g_malloc0(FRAME_BYTES);
	uint32_t length = htonl((uint32_t)FRAME_BYTES);

	start(&w);
	aim(&w, w.c.frames[0]);
	for (unsigned int i = 0; i < FRAME_CLIENTS; i++) {
		int fd = crowd_connect(&w.crowd);
		struct frame_codec *codec = NULL;
		struct lstr_buf preface = {0};

		ck_assert_int_eq(
		    frame_codec_create(key, true, &codec), STATUS_OK);
		ck_assert_int_eq(
		    frame_write_preface(codec, &preface), STATUS_OK);
		crowd_send(&w.crowd, fd, preface.data, preface.len);
		/* Any header is accepted before the first message. */
		crowd_send(&w.crowd, fd, bytes, 24);
		crowd_send(&w.crowd, fd, (const char *)&length, sizeof(length));
		crowd_send(&w.crowd, fd, bytes, FRAME_BYTES - 1);
		lstr_buf_free(&preface);
		frame_codec_destroy(codec);
	}
	check(&w);
	g_free(bytes);
	stop(&w);
}
END_TEST

HARNESS_MAIN("syncd_clients", bodies_that_stop_short, body_of_many_short_values,
    silent_connections_at_the_operators_port,
    silent_connections_at_the_port_of_links, first_messages_that_stop_short)
