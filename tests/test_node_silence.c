#include "node_fixture.h"

/*
 * Servers that fall silent for a second or so and go on. No fault is involved,
 * so every request must be answered whole, whatever else is refused meanwhile.
 */

#define EVENTS 12
#define STREAMS 6
#define SILENCE_USEC (1300 * LOOP_USEC_PER_MSEC)
/* The servers go on for this long between two silences. */
#define SPEECH_USEC (250 * LOOP_USEC_PER_MSEC)
#define EVENT_INTERVAL_USEC (100 * LOOP_USEC_PER_MSEC)
#define SILENCES 3
/* Limit of the route. */
#define ATTEMPTS_MAX 2

/* Which servers fall silent. */
enum silent_servers {
	SILENT_ALL,
	/* One engine after another. */
	SILENT_IN_TURN
};

struct silence_case {
	enum silent_servers servers;
	bool within_events;
	bool refuse_streams;
	bool refuse_reroutes;
	/* The retry budget has this slack and nothing else. */
	int retry_slack;
};

/*
 * Checks that a stream contains each event once and in order.
 */
static void
check_events(const struct node_call *call)
{
	const char *at = call->body.data;

	ck_assert_uint_eq(call->status, 200);
	ck_assert_msg(call->complete, "cut after '%s'", call->body.data);
	for (unsigned int i = 1; i <= EVENTS; i++) {
		char event[64];

		snprintf(event, sizeof(event), "id: %u\ndata: %u\n\n", i, i);
		ck_assert_msg(strncmp(at, event, strlen(event)) == 0,
		    "event %u is not next in '%s'", i, call->body.data);
		at += strlen(event);
	}
	ck_assert_str_eq(at, "");
}

/*
 * Checks that no request of the node has ended without an answer.
 */
static void
check_none_unanswered(struct node_fixture *w)
{
	struct node_call call;

	node_call_send(
	    w, &call, w->metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
	node_call_wait(w, &call);
	ck_assert_ptr_nonnull(strstr(
	    call.body.data, "chestnuthoist_requests_unanswered_total 0\n"));
	lstr_buf_free(&call.body);
}

struct moment {
	struct loop *loop;
	int64_t at;
};

static bool
is_past(void *arg)
{
	const struct moment *moment = arg;

	return loop_now(moment->loop) >= moment->at;
}

/*
 * Lets the platform run until a time.
 */
static void
run_until(struct node_fixture *w, int64_t at)
{
	struct moment moment = {w->loop, at};

	ck_assert(harness_wait(w->loop, is_past, &moment));
}

struct event_count {
	const struct node_call *calls;
	const char *event;
};

/*
 * Returns whether each stream has received an event.
 */
static bool
all_have_event(void *arg)
{
	const struct event_count *count = arg;

	for (int i = 0; i < STREAMS; i++) {
		const struct lstr_buf *body = &count->calls[i].body;

		if (body->len == 0 ||
		    memmem(body->data, body->len, count->event,
			strlen(count->event)) == NULL)
			return false;
	}
	return true;
}

struct sent_count {
	const struct fake_platform *platform;
	const struct node_call *calls;
};

/*
 * Returns whether each request is at a server or has been answered.
 */
static bool
all_are_sent(void *arg)
{
	const struct sent_count *count = arg;
	unsigned int sent = fake_platform_request_count(count->platform);

	for (int i = 0; i < STREAMS; i++)
		sent += count->calls[i].ended;
	return sent >= STREAMS;
}

/*
 * Returns whether no engine writes a stream.
 */
static bool
no_streams_run(void *arg)
{
	return fake_platform_stream_count(arg) == 0;
}

/*
 * Makes all engines but one refuse new streams; FAKE_ENGINE_COUNT: all.
 */
static void
refuse_streams(struct node_fixture *w, unsigned int except)
{
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		fake_platform_refuse_requests(w->platform, i, i != except);
}

/*
 * Starts the platform and a node with a small retry budget.
 */
static void
start_node(struct node_fixture *w, int retry_slack)
{
	char *text = NULL;
	char **parts;
	char *budget = g_strdup_printf(
	    "\"retry_slack\":%d,\"retry_ratio\":0.001", retry_slack);

	node_fixture_prepare(w);
	ck_assert(g_file_get_contents(w->settings_path, &text, NULL, NULL));
	parts = g_strsplit(text, "\"retry_slack\":100,\"retry_ratio\":0.2", -1);
	ck_assert_uint_eq(g_strv_length(parts), 2);
	g_free(text);
	text = g_strjoinv(budget, parts);
	ck_assert(g_file_set_contents(w->settings_path, text, -1, NULL));
	g_free(text);
	g_strfreev(parts);
	g_free(budget);
	node_spawn(w);
	node_wait_until_serving(w);
}

/*
 * Runs streams through servers that fall silent several times, each time as the
 * configuration changes, and checks that they are whole.
 */
static void
check_streams_outlast(const struct silence_case *silence)
{
	struct node_fixture w;
	struct node_call calls[STREAMS];
	struct event_count started = {calls, "id: 1\n"};
	int version = 2;

	start_node(&w, silence->retry_slack);
	fake_platform_set_event_interval(w.platform, EVENT_INTERVAL_USEC);
	for (int i = 0; i < STREAMS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "s%d", i);
		node_start_stream(&w, &calls[i], id);
	}
	ck_assert(harness_wait(w.loop, all_have_event, &started));
	if (silence->refuse_streams)
		refuse_streams(&w, FAKE_ENGINE_COUNT);
	if (silence->refuse_reroutes)
		fake_platform_refuse_reroutes(w.platform);
	if (silence->within_events)
		fake_platform_pause_within_events(w.platform);
	for (unsigned int i = 0; i < SILENCES; i++) {
		int64_t until = loop_now(w.loop) + SILENCE_USEC;

		if (silence->servers == SILENT_ALL)
			fake_platform_pause_engines(w.platform, until);
		else
			fake_platform_pause_server(w.platform, i, until);
		fake_platform_configure(w.platform, version++, NODE_KEY);
		run_until(&w, until + SPEECH_USEC);
	}
	for (int i = 0; i < STREAMS; i++) {
		char id[16];

		node_call_wait(&w, &calls[i]);
		check_events(&calls[i]);
		lstr_buf_free(&calls[i].body);
		snprintf(id, sizeof(id), "s%d", i);
		ck_assert_uint_le(
		    fake_platform_run_count(w.platform, id), ATTEMPTS_MAX);
	}
	/* No server works on for a caller that has its answer. */
	ck_assert(harness_wait(w.loop, no_streams_run, w.platform));
	check_none_unanswered(&w);
	node_fixture_stop(&w);
}

/* Guards against streams that are cut while all engines are silent. */
START_TEST(streams_outlast_silences_of_all_engines)
{
	const struct silence_case silence = {.servers = SILENT_ALL,
	    .refuse_streams = true,
	    .refuse_reroutes = true,
	    .retry_slack = 4};

	check_streams_outlast(&silence);
}
END_TEST

/* Guards against streams that are cut because their server fell silent within
 * an event. */
START_TEST(streams_outlast_silences_within_events)
{
	const struct silence_case silence = {.servers = SILENT_ALL,
	    .within_events = true,
	    .refuse_streams = true,
	    .refuse_reroutes = true,
	    .retry_slack = 4};

	check_streams_outlast(&silence);
}
END_TEST

/* Guards against streams that are given up at a silent engine although the
 * other ones refuse to take them over. */
START_TEST(streams_at_a_silent_engine_outlast_refusals_by_others)
{
	const struct silence_case silence = {.servers = SILENT_IN_TURN,
	    .refuse_streams = true,
	    .refuse_reroutes = true,
	    .retry_slack = 100};

	check_streams_outlast(&silence);
}
END_TEST

/* The same with a budget that is used up by the first of them. */
START_TEST(streams_at_a_silent_engine_outlast_a_small_budget)
{
	const struct silence_case silence = {.servers = SILENT_IN_TURN,
	    .refuse_streams = true,
	    .refuse_reroutes = true,
	    .retry_slack = 3};

	check_streams_outlast(&silence);
}
END_TEST

/* The same with silences within an event. */
START_TEST(streams_cut_within_an_event_outlast_refusals_by_others)
{
	const struct silence_case silence = {.servers = SILENT_IN_TURN,
	    .within_events = true,
	    .refuse_streams = true,
	    .refuse_reroutes = true,
	    .retry_slack = 100};

	check_streams_outlast(&silence);
}
END_TEST

/* Guards against streams that are cut because the servers that take them over
 * fall silent as well. */
START_TEST(streams_outlast_silences_of_one_engine_after_another)
{
	const struct silence_case silence = {.servers = SILENT_IN_TURN,
	    .refuse_reroutes = true,
	    .retry_slack = 4};

	check_streams_outlast(&silence);
}
END_TEST

/* Guards against silent servers that work on after the caller has left while
 * its request waits for another server. */
START_TEST(work_at_silent_engines_stops_when_callers_leave)
{
	struct node_fixture w;
	struct node_call calls[STREAMS];
	struct event_count started = {calls, "id: 1\n"};
	int64_t until;

	start_node(&w, 100);
	fake_platform_set_event_interval(w.platform, EVENT_INTERVAL_USEC);
	for (int i = 0; i < STREAMS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "s%d", i);
		node_start_stream(&w, &calls[i], id);
	}
	ck_assert(harness_wait(w.loop, all_have_event, &started));
	fake_platform_refuse_reroutes(w.platform);
	until = loop_now(w.loop) + HARNESS_DEADLINE_USEC;
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		fake_platform_pause_server(w.platform, i, until);
	/* Long enough that all are given up where that is possible. */
	run_until(&w, loop_now(w.loop) + SILENCE_USEC);
	for (int i = 0; i < STREAMS; i++) {
		ck_assert(!calls[i].ended);
		h1_close(calls[i].conn);
		lstr_buf_free(&calls[i].body);
	}
	ck_assert(harness_wait(w.loop, no_streams_run, w.platform));
	ck_assert_int_lt(loop_now(w.loop), until);
	check_none_unanswered(&w);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against streams that fail because their engine is silent before their
 * first event and the other ones refuse them. */
START_TEST(streams_outlast_silences_before_their_first_event)
{
	struct node_fixture w;
	struct node_call calls[STREAMS];
	struct sent_count sent = {NULL, calls};

	start_node(&w, 4);
	sent.platform = w.platform;
	fake_platform_refuse_reroutes(w.platform);
	for (unsigned int silent = 0; silent < FAKE_ENGINE_COUNT; silent++) {
		fake_platform_pause_server(
		    w.platform, silent, loop_now(w.loop) + SILENCE_USEC);
		for (int i = 0; i < STREAMS; i++) {
			char id[16];

			snprintf(id, sizeof(id), "f%u-%d", silent, i);
			node_start_stream(&w, &calls[i], id);
		}
		ck_assert(harness_wait(w.loop, all_are_sent, &sent));
		refuse_streams(&w, silent);
		for (int i = 0; i < STREAMS; i++) {
			node_call_wait(&w, &calls[i]);
			check_events(&calls[i]);
			lstr_buf_free(&calls[i].body);
		}
		for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
			fake_platform_refuse_requests(w.platform, i, false);
		node_wait_until_serving(&w);
	}
	check_none_unanswered(&w);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against requests to a plain service that fail because they are given
 * up at a silent server and the other ones refuse them. */
START_TEST(plain_requests_outlast_silences_and_refusals)
{
	struct node_fixture w;
	struct node_call calls[STREAMS];
	struct sent_count sent = {NULL, calls};
	const char *path = "/slow/1";

	node_fixture_prepare(&w);
	sent.platform = w.platform;
	fake_platform_add_repeatable_route(w.platform, "slow");
	fake_platform_configure(w.platform, 2, NODE_KEY);
	node_spawn(&w);
	node_wait_until_serving(&w);
	for (unsigned int silent = 0; silent < FAKE_PLAIN_COUNT; silent++) {
		int64_t until = loop_now(w.loop) + SILENCE_USEC;

		fake_platform_pause_server(
		    w.platform, FAKE_ENGINE_COUNT + silent, until);
		for (int i = 0; i < STREAMS; i++) {
			char id[16];

			snprintf(id, sizeof(id), "p%u-%d", silent, i);
			node_call_send(&w, &calls[i], w.front,
			    node_request("GET", path, id, NODE_KEY, 20000, ""));
		}
		ck_assert(harness_wait(w.loop, all_are_sent, &sent));
		fake_platform_refuse_requests(
		    w.platform, FAKE_ENGINE_COUNT + !silent, true);
		fake_platform_configure(w.platform, 3 + (int)silent, NODE_KEY);
		for (int i = 0; i < STREAMS; i++) {
			node_call_wait(&w, &calls[i]);
			ck_assert_uint_eq(calls[i].status, 200);
			ck_assert_str_eq(calls[i].body.data, "a whole answer");
			lstr_buf_free(&calls[i].body);
		}
		fake_platform_refuse_requests(
		    w.platform, FAKE_ENGINE_COUNT + !silent, false);
	}
	check_none_unanswered(&w);
	node_fixture_stop(&w);
}
END_TEST

HARNESS_MAIN("node_silence", streams_outlast_silences_of_all_engines,
    streams_outlast_silences_within_events,
    streams_at_a_silent_engine_outlast_refusals_by_others,
    streams_at_a_silent_engine_outlast_a_small_budget,
    streams_cut_within_an_event_outlast_refusals_by_others,
    streams_outlast_silences_of_one_engine_after_another,
    work_at_silent_engines_stops_when_callers_leave,
    streams_outlast_silences_before_their_first_event,
    plain_requests_outlast_silences_and_refusals)
