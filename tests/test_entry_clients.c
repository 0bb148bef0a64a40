#include "crowd.h"
#include "entry_fixture.h"

/* Limit of a prompt, of which a body consists for the most part. */
#define PROMPT_BYTES ((size_t)256 * 1024)
/* Size of a legal body whose characters are escaped. */
#define BODY_BYTES ((size_t)500 * 1024)
#define BODY_CLIENTS 300
#define CHUNK_BYTES 500
#define SUBMIT_ROUNDS 10
#define SILENT_CLIENTS 900
#define UNREAD_CLIENTS 40
/* Tokens of 4,096 bytes: an answer of 3 MB. */
#define UNREAD_TOKENS 750
#define UNREAD_TOKEN_BYTES 4096
/* The routers send no more while this much waits to be sent. */
#define ROUTER_QUEUE_BYTES ((size_t)1024 * 1024)

/* The entry as a process of its own, with a syncd, routers and a caller. */
struct clients_fixture {
	struct fixture f;
	struct child entry;
	struct crowd crowd;
	char admin[64];
};

/*
 * Returns whether the entry has received its configuration.
 */
static bool
is_entry_ready(void *arg)
{
	struct clients_fixture *w = arg;
	static const struct fetch_ops ops = {NULL, fixture_on_done};
	char url[128];
	struct fetch_request request = {.method = "GET", .url = url};

	snprintf(url, sizeof(url), "http://%s/ready", w->admin);
	w->f.done = false;
	ck_assert_int_eq(
	    fetch_start(w->f.fetch, &request, &ops, &w->f, NULL), STATUS_OK);
	ck_assert(harness_wait(w->f.loop, fixture_is_done, &w->f));
	return w->f.http_status == 200;
}

/*
 * Starts an entry with limited memory and descriptors.
 */
static void
start(struct clients_fixture *w)
{
	static const char key[] =
	    "--cluster-key=00000000000000000000000000000000"
	    "00000000000000000000000000000000";
	char syncd[32];
	char syncd_option[64];
	const char *const args[] = {"--node=n0", "--place=p1", "--region=r",
	    "--log-level=4", key, syncd_option, NULL};

	memset(w, 0, sizeof(*w));
	fixture_start_services(&w->f, syncd);
	snprintf(
	    syncd_option, sizeof(syncd_option), "--syncd-address=%s", syncd);
	crowd_start_child(&w->entry, w->f.loop, "chestnuthoist-entry", args);
	child_address(&w->entry, "http=", w->f.address, sizeof(w->f.address));
	child_address(&w->entry, "admin=", w->admin, sizeof(w->admin));
	snprintf(
	    w->crowd.address, sizeof(w->crowd.address), "%s", w->f.address);
	w->crowd.loop = w->f.loop;
	ck_assert(harness_wait(w->f.loop, is_entry_ready, w));
}

static void
stop(struct clients_fixture *w)
{
	crowd_close(&w->crowd);
	child_kill(&w->entry);
	fetch_destroy(w->f.fetch);
	lstr_buf_free(&w->f.body);
}

/*
 * Checks that an ordinary request is answered at its first try.
 */
static void
check_ordinary_request(struct clients_fixture *w)
{
	fixture_post(&w->f, PLAIN_REQUEST);
	ck_assert_msg(w->f.status == STATUS_OK && w->f.http_status == 200,
	    "the ordinary request ended with status %d and %ld: %s",
	    (int)w->f.status, w->f.http_status, w->f.body.data);
}

/*
 * Checks the bounds before and after an ordinary request.
 */
static void
check(struct clients_fixture *w)
{
	crowd_run(&w->crowd, 50);
	crowd_check_bounds(&w->entry);
	check_ordinary_request(w);
	crowd_check_bounds(&w->entry);
}

/*
 * Creates a request whose prompt consists of a number of escaped characters of
 * two bytes each. The caller frees it.
 */
static char *
make_body(size_t characters)
{
	GString *body =
	    g_string_new("{\"organisation\":\"o\",\"service\":\"s\","
			 "\"operation\":\"lookup\",\"prompt\":\"");

	for (size_t i = 0; i < characters; i++)
		g_string_append(body, "\\n");
	g_string_append(body, "\"}");
	return g_string_free(body, FALSE);
}

/*
 * Each client sends a request, except for the last bytes of its body.
 */
static void
send_bodies(struct clients_fixture *w, const char *body, size_t missing)
{
	for (unsigned int i = 0; i < BODY_CLIENTS; i++) {
		int fd = crowd_connect(&w->crowd);
		char head[256];

		snprintf(head, sizeof(head),
		    "POST /v1/requests HTTP/1.1\r\nHost: e\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    strlen(body));
		crowd_send_text(&w->crowd, fd, head);
		crowd_send(&w->crowd, fd, body, strlen(body) - missing);
		crowd_run(&w->crowd, 1);
		/* Whole requests arrive at a router unless they are refused. */
		for (int k = 0; k < SUBMIT_ROUNDS && missing == 0 &&
		     w->f.routers[0].submit_count +
			     w->f.routers[1].submit_count <=
			 (int)i;
		     k++)
			crowd_run(&w->crowd, 1);
	}
}

/* Guards against bodies that are not counted: those that stop short exceed the
 * memory of the machine together. */
START_TEST(bodies_that_stop_short)
{
	struct clients_fixture w;
	char *body = make_body(BODY_BYTES / 2);

	start(&w);
	send_bodies(&w, body, 1);
	check(&w);
	g_free(body);
	stop(&w);
}
END_TEST

/* The same with bodies in small chunks, whose length is not known before. */
START_TEST(chunked_bodies_that_stop_short)
{
	struct clients_fixture w;
	struct lstr_buf chunks = {0};
	char *bytes = g_strnfill(CHUNK_BYTES, 'x');

	lstr_buf_printf(&chunks,
	    "POST /v1/requests HTTP/1.1\r\nHost: e\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t len = 0; len + CHUNK_BYTES <= BODY_BYTES;
	     len += CHUNK_BYTES)
		lstr_buf_printf(
		    &chunks, "%x\r\n%s\r\n", (unsigned int)CHUNK_BYTES, bytes);
	start(&w);
	for (unsigned int i = 0; i < BODY_CLIENTS; i++) {
		int fd = crowd_connect(&w.crowd);

		crowd_send(&w.crowd, fd, chunks.data, chunks.len);
		crowd_run(&w.crowd, 1);
	}
	check(&w);
	lstr_buf_free(&chunks);
	g_free(bytes);
	stop(&w);
}
END_TEST

/* Guards against whole bodies that are not counted while their requests are at
 * routers that do not answer. */
START_TEST(whole_bodies_that_wait_for_silent_routers)
{
	struct clients_fixture w;
	char *body = make_body(BODY_BYTES / 2);

	start(&w);
	for (int i = 0; i < 4; i++)
		w.f.behaviours[i] = BEHAVIOUR_HOLD;
	send_bodies(&w, body, 0);
	crowd_run(&w.crowd, 50);
	for (int i = 0; i < 4; i++)
		w.f.behaviours[i] = BEHAVIOUR_RUN;
	check(&w);
	g_free(body);
	stop(&w);
}
END_TEST

/* Guards against connections without limit, which use up the descriptors. */
START_TEST(silent_connections_and_early_leavers)
{
	struct clients_fixture w;

	start(&w);
	crowd_connect_silent(&w.crowd, SILENT_CLIENTS);
	check(&w);
	stop(&w);
}
END_TEST

/* The same at the port for metrics and health, whose connections must not take
 * the descriptors of the callers. */
START_TEST(silent_connections_at_the_admin_port)
{
	struct clients_fixture w;

	start(&w);
	snprintf(w.crowd.address, sizeof(w.crowd.address), "%s", w.admin);
	crowd_connect_silent(&w.crowd, SILENT_CLIENTS);
	check(&w);
	ck_assert(is_entry_ready(&w));
	stop(&w);
}
END_TEST

/*
 * Sends a long answer to the last submission of a pipeline in pieces.
 */
static void
send_long_answer(struct clients_fixture *w, struct router *router)
{
	char *text = g_strnfill(UNREAD_TOKEN_BYTES, 't');

	for (uint32_t i = 0; i < UNREAD_TOKENS && router->link != NULL; i++) {
		Ch__Frame frame = CH__FRAME__INIT;
		Ch__Token token = CH__TOKEN__INIT;

		token.stream = router->stream;
		token.position = i;
		token.text.data = (uint8_t *)text;
		token.text.len = UNREAD_TOKEN_BYTES;
		frame.kind_case = CH__FRAME__KIND_TOKEN;
		frame.token = &token;
		link_send(router->link, &frame);
		while (router->link != NULL &&
		    link_queued_bytes(router->link) > ROUTER_QUEUE_BYTES)
			crowd_run(&w->crowd, 1);
	}
	g_free(text);
}

/* Guards against answers that are not counted: those that nobody reads exceed
 * the memory of the machine together. */
START_TEST(answers_that_nobody_reads)
{
	static const char body[] =
	    "{\"organisation\":\"o\",\"service\":\"m\",\"operation\":\"d\","
	    "\"prompt\":\"\",\"max_tokens\":8192}";
	struct clients_fixture w;

	start(&w);
	for (int i = 0; i < 4; i++)
		w.f.behaviours[i] = BEHAVIOUR_HOLD;
	for (unsigned int i = 0; i < UNREAD_CLIENTS; i++) {
		int counts[FIXTURE_ROUTERS];
		int fd = crowd_connect(&w.crowd);
		char head[256];

		for (int k = 0; k < FIXTURE_ROUTERS; k++)
			counts[k] = w.f.routers[k].submit_count;
		snprintf(head, sizeof(head),
		    "POST /v1/requests HTTP/1.1\r\nHost: e\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    strlen(body), body);
		crowd_send_text(&w.crowd, fd, head);
		crowd_run(&w.crowd, 20);
		for (int k = 0; k < FIXTURE_ROUTERS; k++) {
			if (w.f.routers[k].submit_count > counts[k])
				send_long_answer(&w, &w.f.routers[k]);
		}
	}
	for (int i = 0; i < 4; i++)
		w.f.behaviours[i] = BEHAVIOUR_RUN;
	check(&w);
	stop(&w);
}
END_TEST

/* Guards against limits that a single caller within the documented limits
 * reaches: the largest prompt is served. */
START_TEST(largest_request_is_served)
{
	struct clients_fixture w;
	char *body = make_body(PROMPT_BYTES - 1024);

	start(&w);
	fixture_call(&w.f, "POST", "/v1/requests", body, 0);
	ck_assert(harness_wait(w.f.loop, fixture_is_done, &w.f));
	ck_assert_int_eq(w.f.status, STATUS_OK);
	ck_assert_int_eq(w.f.http_status, 200);
	crowd_check_bounds(&w.entry);
	g_free(body);
	stop(&w);
}
END_TEST

HARNESS_MAIN("entry_clients", bodies_that_stop_short,
    chunked_bodies_that_stop_short, whole_bodies_that_wait_for_silent_routers,
    silent_connections_and_early_leavers, silent_connections_at_the_admin_port,
    answers_that_nobody_reads, largest_request_is_served)
