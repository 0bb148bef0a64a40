#include "node_fixture.h"

#define EVENTS 12

/*
 * Checks that a stream contains each event once and in order.
 */
static void
check_events(const struct node_call *call)
{
	const char *at = call->body.data;

	for (unsigned int i = 1; i <= EVENTS; i++) {
		char event[64];

		snprintf(event, sizeof(event), "id: %u\ndata: %u\n\n", i, i);
		ck_assert_msg(strncmp(at, event, strlen(event)) == 0,
		    "event %u is not next in '%s'", i, call->body.data);
		at += strlen(event);
	}
	ck_assert_str_eq(at, "");
}

struct stream_count {
	const struct fake_platform *platform;
	unsigned int wanted;
};

/*
 * Returns whether the platform is writing the wanted number of streams.
 */
static bool
streams_match_wanted(void *arg)
{
	const struct stream_count *count = arg;

	return fake_platform_stream_count(count->platform) == count->wanted;
}

/*
 * Waits until the platform is writing the given number of streams.
 */
static void
wait_for_streams(struct node_fixture *w, unsigned int wanted)
{
	struct stream_count count = {w->platform, wanted};

	ck_assert(harness_wait(w->loop, streams_match_wanted, &count));
}

/* Without faults, a stream, a non-idempotent and an idempotent request are
 * served; an unmatched route and an unknown key are refused. */
START_TEST(serves_streams_and_plain_requests)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	node_start_stream(&w, &call, "s1");
	node_call_wait(&w, &call);
	ck_assert_uint_eq(call.status, 200);
	ck_assert(call.complete);
	check_events(&call);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "s1"), 1);
	ck_assert_uint_eq(fake_platform_incomplete_path_count(w.platform), 0);
	ck_assert_uint_eq(fake_platform_outdated_path_count(w.platform), 0);
	node_call_plain(&w, &call, "POST", "/order/1", "o1", NODE_KEY);
	ck_assert_uint_eq(call.status, 200);
	ck_assert_str_eq(call.body.data, "a whole answer");
	node_call_plain(&w, &call, "GET", "/look/1", "l1", NODE_KEY);
	ck_assert_uint_eq(call.status, 200);
	node_call_plain(&w, &call, "GET", "/none/1", "n1", NODE_KEY);
	ck_assert_uint_eq(call.status, 404);
	node_call_plain(&w, &call, "GET", "/look/1", "n2", "k-unknown");
	ck_assert_uint_eq(call.status, 401);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "n2"), 0);
	ck_assert_uint_eq(fake_platform_authorization_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

/* Checks the address lookup, readiness and metrics endpoints. */
/*
 * Returns the peak resident memory of the node in kilobytes.
 */
static long
node_peak_kbytes(const struct node_fixture *w)
{
	char path[64];
	char *text = NULL;
	const char *line;
	long kbytes;

	snprintf(path, sizeof(path), "/proc/%ld/status", (long)w->pid);
	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, "VmHWM:");
	ck_assert_ptr_nonnull(line);
	kbytes = strtol(line + strlen("VmHWM:"), NULL, 10);
	g_free(text);
	return kbytes;
}

/* Bytes that the node may read of a response without end before it closes the
 * connection: the limit of a response that is passed on, and socket buffers. */
#define ENDLESS_READ_MAX_BYTES ((size_t)32 * 1024 * 1024)
#define ENDLESS_MEMORY_MAX_KBYTES (64L * 1024)
/* Most attempts of a request. */
#define ENDLESS_ATTEMPTS_MAX 5

/*
 * Sends one request to servers that send bytes without end, and checks that the
 * node closes their connections and answers the caller with a failure.
 */
static void
check_endless(struct node_fixture *w, enum fake_fault fault, bool stream)
{
	size_t before = fake_platform_endless_bytes(w->platform);
	struct node_call call;
	char id[32];

	snprintf(id, sizeof(id), "endless-%d-%d", (int)fault, stream);
	if (stream) {
		fake_platform_set_engine_fault(w->platform, fault, 1);
		node_start_stream(w, &call, id);
		node_call_wait(w, &call);
	} else {
		fake_platform_set_plain_fault(w->platform, fault);
		node_call_plain(w, &call, "POST", "/order/1", id, NODE_KEY);
	}
	ck_assert(!call.complete || call.status >= 502);
	ck_assert_uint_le(fake_platform_endless_bytes(w->platform) - before,
	    (stream ? ENDLESS_ATTEMPTS_MAX : 1) * ENDLESS_READ_MAX_BYTES);
	lstr_buf_free(&call.body);
	fake_platform_set_engine_fault(w->platform, FAKE_NONE, 0);
	fake_platform_set_plain_fault(w->platform, FAKE_NONE);
	node_wait_until_serving(w);
}

/*
 * Guards against servers that send bytes until the connection is closed: the
 * node must close it, keep its memory bounded, answer the caller with a failure
 * and serve the next request.
 */
START_TEST(responses_without_end_are_cut)
{
	static const enum fake_fault faults[] = {FAKE_ENDLESS_HEAD,
	    FAKE_ENDLESS_INTERIM, FAKE_ENDLESS_SUCCESS, FAKE_ENDLESS_REFUSAL,
	    FAKE_ENDLESS_STRAY};
	struct node_fixture w;

	/* Freed memory that the address sanitizer retains is not the node's. */
	setenv("ASAN_OPTIONS", "detect_leaks=0:quarantine_size_mb=8", 1);
	node_fixture_start(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		check_endless(&w, faults[i], false);
		check_endless(&w, faults[i], true);
	}
	ck_assert_int_le(node_peak_kbytes(&w), ENDLESS_MEMORY_MAX_KBYTES);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Guards against a stream that never ends because a stalled server sends a byte
 * now and then: it must be resumed along another path.
 */
START_TEST(stream_with_an_event_that_is_never_completed_is_resumed)
{
	struct node_fixture w;
	struct node_call calls[6];

	node_fixture_start(&w);
	fake_platform_set_engine_fault(w.platform, FAKE_TRICKLE, 5);
	for (int i = 0; i < 6; i++) {
		char id[16];

		snprintf(id, sizeof(id), "t%d", i);
		node_start_stream(&w, &calls[i], id);
	}
	for (int i = 0; i < 6; i++) {
		node_call_wait(&w, &calls[i]);
		ck_assert_uint_eq(calls[i].status, 200);
		ck_assert(calls[i].complete);
		check_events(&calls[i]);
		lstr_buf_free(&calls[i].body);
	}
	node_fixture_stop(&w);
}
END_TEST

/*
 * Listens on a port of 127.0.0.1, as a process of another test run may.
 */
static int
listen_on_shared_address(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(fd, 1), 0);
	return fd;
}

/*
 * Guards against a node that cannot start because another process took one of
 * its ports after the fixture had chosen them.
 */
START_TEST(starts_although_other_processes_use_its_ports)
{
	struct node_fixture w;
	int taken[3];

	node_fixture_prepare(&w);
	taken[0] = listen_on_shared_address(w.front);
	taken[1] = listen_on_shared_address(w.ready);
	taken[2] = listen_on_shared_address(w.metrics);
	node_spawn(&w);
	node_wait_until_serving(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(taken); i++)
		close(taken[i]);
	node_fixture_stop(&w);
}
END_TEST

START_TEST(serves_address_lookup_readiness_and_metrics)
{
	struct node_fixture w;
	struct node_call call;
	char address[64];

	node_fixture_start(&w);
	node_call_send(&w, &call, w.lookup,
	    "GET /lookup?name=x&region=r&zone=here HTTP/1.1\r\nHost: "
	    "x\r\n\r\n");
	node_call_wait(&w, &call);
	ck_assert_uint_eq(call.status, 200);
	snprintf(address, sizeof(address), "\"%s:%u\"", w.ip, w.front);
	ck_assert_ptr_nonnull(strstr(call.body.data, address));
	node_call_send(
	    &w, &call, w.ready, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
	node_call_wait(&w, &call);
	ck_assert_uint_eq(call.status, 200);
	node_call_send(
	    &w, &call, w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
	node_call_wait(&w, &call);
	ck_assert_ptr_nonnull(strstr(call.body.data, "requests_done_total"));
	node_fixture_stop(&w);
}
END_TEST

/*
 * Removes the suffix of a histogram's series from a metric name.
 */
static void
remove_series_suffix(char *name)
{
	static const char *const suffixes[] = {"_bucket", "_sum", "_count"};

	for (size_t i = 0; i < G_N_ELEMENTS(suffixes); i++) {
		if (g_str_has_suffix(name, suffixes[i]))
			name[strlen(name) - strlen(suffixes[i])] = '\0';
	}
}

/*
 * Checks that each metric in the node's table of the page is served, and that
 * each metric served is in the page.
 */
static void
check_metrics_match(const char *served, const char *page)
{
	gchar **rows = g_strsplit(page, "\n| `", -1);
	gchar **lines = g_strsplit(served, "\n", -1);

	for (gchar **row = rows + 1; *row != NULL; row++) {
		char *name = g_strdup_printf(
		    "\nchestnuthoist_%.*s", (int)strcspn(*row, "`"), *row);

		ck_assert_msg(
		    strstr(served, name) != NULL, "%s is not served", name);
		g_free(name);
	}
	for (gchar **line = lines; *line != NULL; line++) {
		char *name;

		if (!g_str_has_prefix(*line, "chestnuthoist_"))
			continue;
		name = g_strndup(*line + strlen("chestnuthoist_"),
		    strcspn(*line, " {") - strlen("chestnuthoist_"));
		remove_series_suffix(name);
		ck_assert_msg(strstr(page, name) != NULL,
		    "%s is not in docs/metrics.md", name);
		g_free(name);
	}
	g_strfreev(rows);
	g_strfreev(lines);
}

/* Detects differences between docs/metrics.md and the metrics served. */
START_TEST(metrics_match_the_documentation)
{
	struct node_fixture w;
	struct node_call call;
	char *page = NULL;
	char *served;
	char *part;

	ck_assert(g_file_get_contents("docs/metrics.md", &page, NULL, NULL));
	part = strstr(page, "\n## node\n");
	ck_assert_ptr_nonnull(part);
	node_fixture_start(&w);
	node_call_send(
	    &w, &call, w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
	node_call_wait(&w, &call);
	served = g_strdup_printf("\n%s", call.body.data);
	check_metrics_match(served, part);
	g_free(served);
	g_free(page);
	node_fixture_stop(&w);
}
END_TEST

/* An engine that stops responding must not end the streams that run through
 * it. */
START_TEST(stream_survives_an_unresponsive_engine)
{
	struct node_fixture w;
	struct node_call calls[6];

	node_fixture_start(&w);
	fake_platform_set_engine_fault(w.platform, FAKE_UNRESPONSIVE, 5);
	for (int i = 0; i < 6; i++) {
		char id[16];

		snprintf(id, sizeof(id), "d%d", i);
		node_start_stream(&w, &calls[i], id);
	}
	for (int i = 0; i < 6; i++) {
		node_call_wait(&w, &calls[i]);
		ck_assert(calls[i].complete);
		check_events(&calls[i]);
	}
	ck_assert_uint_eq(fake_platform_incomplete_path_count(w.platform), 0);
	ck_assert_uint_eq(fake_platform_outdated_path_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Starts max streams and waits for each to begin, so that some run through the
 * faulty engine. Returns max.
 */
static int
start_streams(struct node_fixture *w, struct node_call *calls, int max)
{
	for (int i = 0; i < max; i++) {
		char id[16];

		snprintf(id, sizeof(id), "r%d", i);
		node_start_stream(w, &calls[i], id);
		wait_for_streams(w, (unsigned int)i + 1);
	}
	return max;
}

/* Guards against requests that run on more servers than their route allows
 * because the first ones are held to have failed while they are silent. */
START_TEST(request_runs_on_no_more_servers_than_its_route_allows)
{
	struct node_fixture w;
	struct node_call calls[6];

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 20 * LOOP_USEC_PER_MSEC);
	fake_platform_set_engine_fault(w.platform, FAKE_PAUSING, 2);
	for (int i = 0; i < 6; i++) {
		char id[16];

		snprintf(id, sizeof(id), "p%d", i);
		node_start_stream(&w, &calls[i], id);
	}
	for (int i = 0; i < 6; i++) {
		char id[16];

		node_call_wait(&w, &calls[i]);
		snprintf(id, sizeof(id), "p%d", i);
		ck_assert_uint_le(fake_platform_run_count(w.platform, id), 2);
	}
	node_fixture_stop(&w);
}
END_TEST

/* Guards against an entry of another writer, which lacks a field, that takes
 * the place of the server whose address it has: the server would not be used,
 * and requests could run on more servers than their route allows. */
START_TEST(entry_of_another_writer_replaces_no_server)
{
	struct node_fixture w;
	int64_t until;

	node_fixture_start(&w);
	fake_platform_put_odd_entries(w.platform);
	until = loop_now(w.loop) + 2 * LOOP_USEC_PER_SEC;
	for (int i = 0; loop_now(w.loop) < until; i++) {
		struct node_call call;
		char id[16];

		snprintf(id, sizeof(id), "s%d", i);
		node_start_stream(&w, &call, id);
		node_call_wait(&w, &call);
		ck_assert_uint_eq(call.status, 200);
		ck_assert(call.complete);
		lstr_buf_free(&call.body);
		snprintf(id, sizeof(id), "o%d", i);
		node_call_plain(&w, &call, "POST", "/order/1", id, NODE_KEY);
		ck_assert_uint_eq(call.status, 200);
		lstr_buf_free(&call.body);
	}
	node_fixture_stop(&w);
}
END_TEST

/* Guards against streams that are broken off while all servers are silent for a
 * second. */
START_TEST(streams_outlast_a_silence_of_all_engines)
{
	struct node_fixture w;
	struct node_call calls[6];

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 60 * LOOP_USEC_PER_MSEC);
	start_streams(&w, calls, 6);
	fake_platform_pause_engines(
	    w.platform, loop_now(w.loop) + FAKE_PAUSE_USEC);
	for (int i = 0; i < 6; i++) {
		node_call_wait(&w, &calls[i]);
		ck_assert_uint_eq(calls[i].status, 200);
		ck_assert(calls[i].complete);
		check_events(&calls[i]);
	}
	node_fixture_stop(&w);
}
END_TEST

/* When an engine in the middle of a path stops responding, the first server
 * must continue the stream along another path. */
START_TEST(stream_is_rerouted_around_an_unresponsive_engine)
{
	struct node_fixture w;
	struct node_call calls[6];
	int count;

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 60 * LOOP_USEC_PER_MSEC);
	count = start_streams(&w, calls, 6);
	fake_platform_set_engine_fault(w.platform, FAKE_UNRESPONSIVE, 3);
	for (int i = 0; i < count; i++) {
		node_call_wait(&w, &calls[i]);
		ck_assert(calls[i].complete);
		check_events(&calls[i]);
	}
	ck_assert_uint_gt(fake_platform_reroute_count(w.platform), 0);
	ck_assert_uint_eq(fake_platform_incomplete_path_count(w.platform), 0);
	ck_assert_uint_eq(fake_platform_outdated_path_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

/* A stream must be resumed with a new attempt if its first server refuses
 * the reroute. */
START_TEST(stream_is_resumed_when_a_reroute_is_refused)
{
	struct node_fixture w;
	struct node_call calls[4];
	int count;

	node_fixture_start(&w);
	fake_platform_refuse_reroutes(w.platform);
	fake_platform_set_event_interval(w.platform, 60 * LOOP_USEC_PER_MSEC);
	count = start_streams(&w, calls, 4);
	fake_platform_set_engine_fault(w.platform, FAKE_UNRESPONSIVE, 3);
	for (int i = 0; i < count; i++) {
		node_call_wait(&w, &calls[i]);
		ck_assert(calls[i].complete);
		check_events(&calls[i]);
	}
	ck_assert_uint_eq(fake_platform_reroute_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Returns whether no stream runs through the faulty engine.
 */
static bool
has_no_faulty_streams(void *arg)
{
	return fake_platform_faulty_stream_count(arg) == 0;
}

/* Streams through a draining engine must be moved before it exits, and each
 * must run only once. */
START_TEST(streams_are_moved_off_a_draining_engine)
{
	struct node_fixture w;
	struct node_call calls[6];
	int count;

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 200 * LOOP_USEC_PER_MSEC);
	count = start_streams(&w, calls, 6);
	ck_assert_uint_gt(fake_platform_faulty_stream_count(w.platform), 0);
	fake_platform_drain_engine(w.platform);
	ck_assert(harness_wait(w.loop, has_no_faulty_streams, w.platform));
	fake_platform_set_event_interval(w.platform, 5 * LOOP_USEC_PER_MSEC);
	for (int i = 0; i < count; i++) {
		char id[16];

		node_call_wait(&w, &calls[i]);
		ck_assert(calls[i].complete);
		check_events(&calls[i]);
		snprintf(id, sizeof(id), "r%d", i);
		ck_assert_uint_eq(fake_platform_run_count(w.platform, id), 1);
	}
	ck_assert_uint_gt(fake_platform_reroute_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Returns whether at least three queries were left unanswered.
 */
static bool
has_three_unanswered_queries(void *arg)
{
	return fake_platform_dropped_query_count(arg) >= 3;
}

/* An engine that does not respond to an order to hold layers must not be sent
 * further ones, which are expensive, until it has answered a report query. */
START_TEST(layer_order_without_response_is_not_repeated_at_once)
{
	struct node_fixture w;

	node_fixture_start(&w);
	fake_platform_restart_engine_dropping_calls(w.platform);
	ck_assert(
	    harness_wait(w.loop, has_three_unanswered_queries, w.platform));
	ck_assert_uint_eq(fake_platform_dropped_order_count(w.platform), 1);
	node_fixture_stop(&w);
}
END_TEST

/* If a connection ends within an event, the partial event must not be
 * forwarded and no event may be repeated. */
START_TEST(stream_continues_after_a_partial_event)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	fake_platform_set_engine_fault(w.platform, FAKE_TRUNCATED, 4);
	node_start_stream(&w, &call, "t1");
	node_call_wait(&w, &call);
	ck_assert(call.complete);
	check_events(&call);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "t1"), 2);
	node_fixture_stop(&w);
}
END_TEST

/* Requests with a deadly part that may be sent; see BUDGET in the users' rules:
 * five crashes and three requests after them. */
#define DEADLY_SENT_MAX 8
#define DEADLY_REQUESTS 50
#define DEADLY_PAUSE_USEC (200 * LOOP_USEC_PER_MSEC)

/*
 * Lets time pass in the loop of the test.
 */
static void
pause_for(struct node_fixture *w, int64_t usec)
{
	int64_t end = loop_now(w->loop) + usec;

	while (loop_now(w->loop) < end)
		loop_run_once(w->loop, end);
}

/*
 * Sends one generation and returns the status of its response; 0: it was cut
 * before the head.
 */
static unsigned int
send_prompt(struct node_fixture *w, const char *id, const char *prompt)
{
	struct node_call call;
	unsigned int status;

	node_start_prompt(w, &call, id, prompt);
	node_call_wait(w, &call);
	status = call.status;
	lstr_buf_free(&call.body);
	return status;
}

/*
 * Sends requests with a deadly part until they are refused with 400, and checks
 * how many reach the engines.
 */
static void
send_until_refused(struct node_fixture *w, enum fake_fault fault)
{
	unsigned int sent = 0;
	unsigned int status = 0;

	fake_platform_set_engine_fault(w->platform, fault, 1);
	for (int i = 0; i < DEADLY_REQUESTS && status != 400; i++) {
		char id[32];
		char prompt[64];

		snprintf(id, sizeof(id), "deadly-%d", i);
		snprintf(prompt, sizeof(prompt),
		    "ab:10," FAKE_DEADLY_PART ":10,%x:20", 0x1000 + i);
		status = send_prompt(w, id, prompt);
		sent += fake_platform_run_count(w->platform, id);
		pause_for(w, DEADLY_PAUSE_USEC);
	}
	ck_assert_uint_eq(status, 400);
	ck_assert_uint_ge(sent, 1);
	ck_assert_uint_le(sent, DEADLY_SENT_MAX);
}

/*
 * Guards against requests of one kind that end one engine after the other:
 * after a few crashes they are refused at once with a status after which
 * callers do not come back, and requests that share their other parts are
 * served.
 */
START_TEST(requests_with_a_part_that_ends_engines_are_refused)
{
	struct node_fixture w;
	char *log;

	node_fixture_start(&w);
	send_until_refused(&w, FAKE_DEADLY);
	node_wait_until_serving(&w);
	for (int i = 0; i < EVENTS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "sound-%d", i);
		ck_assert_uint_eq(send_prompt(&w, id, "ab:10,77:30"), 200);
		ck_assert_uint_eq(fake_platform_run_count(w.platform, id), 1);
	}
	ck_assert_uint_eq(
	    send_prompt(&w, "spaces", "ab:10, " FAKE_DEADLY_PART ":10\t, 9:1"),
	    400);
	ck_assert_uint_eq(
	    send_prompt(&w, "malformed", "zz,:," FAKE_DEADLY_PART ":10,9:1"),
	    400);
	log = node_read_log(&w);
	ck_assert_ptr_nonnull(
	    strstr(log, "\"name\":\"part-confirmed\",\"part\":\"dead\""));
	ck_assert_ptr_null(
	    strstr(log, "\"name\":\"part-confirmed\",\"part\":\"ab\""));
	g_free(log);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Guards against an engine whose end looks like the end of an answer without
 * length, which would clear the part that ended it.
 */
START_TEST(unframed_answer_without_events_is_evidence)
{
	struct node_fixture w;

	node_fixture_start(&w);
	send_until_refused(&w, FAKE_DEADLY_UNFRAMED);
	node_wait_until_serving(&w);
	ck_assert_uint_eq(send_prompt(&w, "sound", "ab:10,77:30"), 200);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "sound"), 1);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Returns whether the node has logged that it wrote what it refuses to the
 * store.
 */
static bool
parts_are_stored(void *arg)
{
	char *log = node_read_log(arg);
	bool stored = strstr(log,
			  "\"name\":\"quarantine-stored\",\"status\":\"ok\","
			  "\"parts\":1") != NULL;

	g_free(log);
	return stored;
}

/*
 * Guards against nodes that all start again and end as many engines as before
 * until they refuse a part again.
 */
START_TEST(refused_part_is_known_after_all_nodes_were_killed)
{
	struct node_fixture w;

	node_fixture_start(&w);
	send_until_refused(&w, FAKE_DEADLY);
	ck_assert(harness_wait(w.loop, parts_are_stored, &w));
	kill(w.pid, SIGKILL);
	waitpid(w.pid, NULL, 0);
	node_spawn(&w);
	node_wait_until_serving(&w);
	pause_for(&w, DEADLY_PAUSE_USEC * 2);
	for (int i = 0; i < EVENTS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "again-%d", i);
		ck_assert_uint_eq(
		    send_prompt(&w, id, "ab:10," FAKE_DEADLY_PART ":10,9:1"),
		    400);
		ck_assert_uint_eq(fake_platform_run_count(w.platform, id), 0);
	}
	node_fixture_stop(&w);
}
END_TEST

/* Guards against a request with a prompt header of the wrong form, or with very
 * many parts, ending the node or being refused. */
START_TEST(malformed_prompts_are_passed_on)
{
	static const char *const prompts[] = {"", ",", ":", "zz:1,ab:2", "ab",
	    "ab:-1,cd:2", "ab:1,,cd:2",
	    "0123456789abcdef0123456789abcdef:1,ab:2"};
	struct node_fixture w;
	struct lstr_buf many = {0};

	node_fixture_start(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(prompts); i++)
		ck_assert_uint_eq(send_prompt(&w, "form", prompts[i]), 200);
	for (int i = 0; i < 80; i++)
		lstr_buf_printf(&many, "%x:1,", i);
	lstr_buf_printf(&many, "ab:1");
	lstr_buf_append(&many, lstr_make("", 1));
	ck_assert_uint_eq(send_prompt(&w, "many", many.data), 200);
	lstr_buf_free(&many);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Guards against a stream without length and chunks that is passed on as
 * complete although it was broken off, or is cut although it ended in order.
 */
START_TEST(unframed_streams_are_complete_or_resumed)
{
	static const enum fake_fault faults[] = {
	    FAKE_UNFRAMED, FAKE_UNFRAMED_CUT, FAKE_UNFRAMED_RESET};
	static const unsigned int events[] = {1, 4, EVENTS};
	struct node_fixture w;

	node_fixture_start(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(events); k++) {
			struct node_call call;
			char id[32];

			snprintf(id, sizeof(id), "unframed-%zu-%zu", i, k);
			fake_platform_set_engine_fault(
			    w.platform, faults[i], events[k]);
			node_start_stream(&w, &call, id);
			node_call_wait(&w, &call);
			ck_assert_uint_eq(call.status, 200);
			ck_assert(call.complete);
			check_events(&call);
			ck_assert_uint_eq(
			    fake_platform_run_count(w.platform, id),
			    faults[i] == FAKE_UNFRAMED ? 1 : 2);
			lstr_buf_free(&call.body);
		}
	}
	node_fixture_stop(&w);
}
END_TEST

/*
 * Guards against a plain answer without length that was reset and is passed on
 * as complete, and against an order that is repeated because of it.
 */
START_TEST(unframed_plain_answers_are_complete_or_failed)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	fake_platform_set_plain_fault(w.platform, FAKE_UNFRAMED);
	node_call_plain(&w, &call, "POST", "/order/1", "o1", NODE_KEY);
	ck_assert_uint_eq(call.status, 200);
	ck_assert_str_eq(call.body.data, "a whole answer");
	node_call_plain(&w, &call, "GET", "/look/1", "l1", NODE_KEY);
	ck_assert_uint_eq(call.status, 200);
	ck_assert_str_eq(call.body.data, "a whole answer");
	fake_platform_set_plain_fault(w.platform, FAKE_UNFRAMED_RESET);
	node_call_plain(&w, &call, "POST", "/order/1", "o2", NODE_KEY);
	ck_assert_uint_eq(call.status, 502);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "o2"), 1);
	node_call_plain(&w, &call, "GET", "/look/1", "l2", NODE_KEY);
	ck_assert_uint_eq(call.status, 502);
	node_fixture_stop(&w);
}
END_TEST

/* A non-idempotent request must not run twice, and must be reported as not run
 * (503) only if it did not run. */
START_TEST(non_idempotent_request_without_response_runs_once)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	fake_platform_set_plain_fault(w.platform, FAKE_NO_RESPONSE);
	node_call_plain(&w, &call, "POST", "/order/1", "o1", NODE_KEY);
	ck_assert_uint_eq(call.status, 502);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "o1"), 1);
	fake_platform_set_plain_fault(w.platform, FAKE_TRUNCATED);
	node_call_plain(&w, &call, "POST", "/order/1", "o2", NODE_KEY);
	ck_assert_uint_eq(call.status, 502);
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "o2"), 1);
	fake_platform_set_plain_fault(w.platform, FAKE_REFUSED);
	node_call_plain(&w, &call, "POST", "/order/1", "o3", NODE_KEY);
	ck_assert_uint_eq(call.status, 503);
	ck_assert_str_ne(call.retry_after, "");
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "o3"), 0);
	node_fixture_stop(&w);
}
END_TEST

/* A response to another request on the same connection must not be
 * forwarded. */
START_TEST(response_to_another_request_is_skipped)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	fake_platform_set_plain_fault(w.platform, FAKE_STRAY_RESPONSE);
	for (int i = 0; i < 4; i++) {
		char id[16];

		snprintf(id, sizeof(id), "x%d", i);
		node_call_plain(&w, &call, "POST", "/order/1", id, NODE_KEY);
		ck_assert_uint_eq(call.status, 200);
		ck_assert_str_eq(call.body.data, "a whole answer");
		ck_assert_uint_eq(fake_platform_run_count(w.platform, id), 1);
	}
	node_fixture_stop(&w);
}
END_TEST

/* A failed idempotent request is retried once, and the last error response is
 * forwarded. */
START_TEST(failed_idempotent_request_is_retried_once)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	fake_platform_set_plain_fault(w.platform, FAKE_ERROR);
	node_call_plain(&w, &call, "GET", "/look/1", "e1", NODE_KEY);
	ck_assert_uint_eq(call.status, 500);
	ck_assert_str_eq(call.body.data, "a whole answer");
	ck_assert_uint_eq(fake_platform_run_count(w.platform, "e1"), 2);
	node_fixture_stop(&w);
}
END_TEST

/* A key must be refused after its revocation. */
START_TEST(revoked_key_is_refused)
{
	struct node_fixture w;
	struct node_call call;
	int64_t deadline;

	node_fixture_start(&w);
	fake_platform_configure(w.platform, 2, "k-second");
	node_call_plain(&w, &call, "GET", "/look/1", "r1", "k-second");
	deadline = loop_now(w.loop) + HARNESS_DEADLINE_USEC;
	while (call.status != 200) {
		ck_assert_int_lt(loop_now(w.loop), deadline);
		node_call_plain(&w, &call, "GET", "/look/1", "r1", "k-second");
	}
	node_call_plain(&w, &call, "GET", "/look/1", "r2", NODE_KEY);
	ck_assert_uint_eq(call.status, 401);
	node_fixture_stop(&w);
}
END_TEST

/*
 * When the store does not respond, the node cannot confirm that keys have not
 * been revoked. It must refuse them after the revocation time, but not at
 * once.
 */
START_TEST(unconfirmed_keys_are_refused)
{
	struct node_fixture w;
	struct node_call call;
	int64_t silent_at;

	node_fixture_start(&w);
	fake_platform_set_store_silent(w.platform, true);
	silent_at = loop_now(w.loop);
	node_call_plain(&w, &call, "GET", "/look/1", "p0", NODE_KEY);
	ck_assert_uint_eq(call.status, 200);
	do {
		node_call_plain(&w, &call, "GET", "/look/1", "p1", NODE_KEY);
		ck_assert_int_lt(
		    loop_now(w.loop), silent_at + HARNESS_DEADLINE_USEC);
	} while (call.status == 200);
	ck_assert_uint_eq(call.status, 503);
	ck_assert_int_le(loop_now(w.loop),
	    silent_at + (NODE_REVOKE_MS + 100) * LOOP_USEC_PER_MSEC);
	fake_platform_set_store_silent(w.platform, false);
	do {
		node_call_plain(&w, &call, "GET", "/look/1", "p2", NODE_KEY);
		ck_assert_int_lt(
		    loop_now(w.loop), silent_at + HARNESS_DEADLINE_USEC);
	} while (call.status != 200);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Guards against 404 and 401 for a route or a key that has been added: a node
 * that cannot prove its configuration current sends callers elsewhere instead.
 */
START_TEST(unknown_route_is_not_refused_by_an_old_configuration)
{
	struct node_fixture w;
	struct node_call call;
	int64_t silent_at;

	node_fixture_start(&w);
	node_call_plain(&w, &call, "GET", "/none/1", "u0", NODE_KEY);
	ck_assert_uint_eq(call.status, 404);
	fake_platform_set_store_silent(w.platform, true);
	silent_at = loop_now(w.loop);
	do {
		node_call_plain(&w, &call, "GET", "/none/1", "u1", NODE_KEY);
		ck_assert_int_lt(
		    loop_now(w.loop), silent_at + HARNESS_DEADLINE_USEC);
	} while (call.status == 404);
	ck_assert_uint_eq(call.status, 503);
	ck_assert_int_le(loop_now(w.loop),
	    silent_at + (NODE_CONFIG_APPLY_MS + 100) * LOOP_USEC_PER_MSEC);
	fake_platform_set_store_silent(w.platform, false);
	do {
		node_call_plain(&w, &call, "GET", "/none/1", "u2", NODE_KEY);
		ck_assert_int_lt(
		    loop_now(w.loop), silent_at + HARNESS_DEADLINE_USEC);
	} while (call.status != 404);
	node_call_plain(&w, &call, "GET", "/look/1", "u3", "no-such-key");
	ck_assert_uint_eq(call.status, 401);
	node_fixture_stop(&w);
}
END_TEST

/* Work at the servers must stop when the caller disconnects. */
START_TEST(work_stops_when_the_caller_disconnects)
{
	struct node_fixture w;
	struct node_call call;

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 200 * LOOP_USEC_PER_MSEC);
	node_start_stream(&w, &call, "g1");
	wait_for_streams(&w, 1);
	h1_close(call.conn);
	wait_for_streams(&w, 0);
	node_fixture_stop(&w);
}
END_TEST

struct exit_wait {
	pid_t pid;
	int status;
};

/*
 * Returns whether the process has exited, and reaps it.
 */
static bool
has_ended(void *arg)
{
	struct exit_wait *wait = arg;

	return waitpid(wait->pid, &wait->status, WNOHANG) == wait->pid;
}

/* SIGTERM must let running requests finish before the process exits. */
START_TEST(sigterm_lets_running_requests_finish)
{
	struct node_fixture w;
	struct node_call call;
	struct node_call ready;
	struct exit_wait wait;

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 50 * LOOP_USEC_PER_MSEC);
	node_start_stream(&w, &call, "z1");
	wait_for_streams(&w, 1);
	kill(w.pid, SIGTERM);
	node_call_wait(&w, &call);
	ck_assert(call.complete);
	check_events(&call);
	node_call_send(
	    &w, &ready, w.ready, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
	node_call_wait(&w, &ready);
	ck_assert_uint_eq(ready.status, 503);
	wait.pid = w.pid;
	ck_assert(harness_wait(w.loop, has_ended, &wait));
	ck_assert(WIFEXITED(wait.status) && WEXITSTATUS(wait.status) == 0);
	w.pid = 0;
	node_fixture_stop(&w);
}
END_TEST

/* Oversized requests and input that is not HTTP must be refused. */
START_TEST(oversized_and_malformed_requests_are_refused)
{
	struct node_fixture w;
	struct node_call call;
	char *large = g_strnfill(5000, 'h');
	char *header = g_strdup_printf("X-Large: %s\r\n", large);

	node_fixture_start(&w);
	node_call_send(&w, &call, w.front, "NOT HTTP AT ALL\r\n\r\n");
	node_call_wait(&w, &call);
	ck_assert_uint_eq(call.status, 400);
	node_call_send(&w, &call, w.front,
	    g_strdup_printf("GET /look/1 HTTP/1.1\r\nHost: models.example\r\n"
			    "%s\r\n",
		header));
	node_call_wait(&w, &call);
	ck_assert_uint_eq(call.status, 431);
	node_call_send(&w, &call, w.front,
	    "POST /order/1 HTTP/1.1\r\nHost: models.example\r\n"
	    "Content-Length: 20000\r\n\r\n");
	node_call_wait(&w, &call);
	ck_assert_uint_eq(call.status, 413);
	g_free(header);
	g_free(large);
	node_fixture_stop(&w);
}
END_TEST

/* The log must contain the events needed to trace a failed request. */
START_TEST(log_traces_a_failed_request)
{
	struct node_fixture w;
	struct node_call call;
	char *log;

	node_fixture_start(&w);
	fake_platform_set_plain_fault(w.platform, FAKE_NO_RESPONSE);
	node_call_plain(&w, &call, "POST", "/order/1", "story-1", NODE_KEY);
	log = node_read_log(&w);
	ck_assert_ptr_nonnull(strstr(log, "\"name\":\"node-started\""));
	ck_assert_ptr_nonnull(strstr(log, "\"name\":\"config-applied\""));
	ck_assert_ptr_nonnull(strstr(log,
	    "\"name\":\"request-failed\",\"id\":\"story-1\",\"status\":502"));
	g_free(log);
	node_fixture_stop(&w);
}
END_TEST

HARNESS_MAIN("node", serves_streams_and_plain_requests,
    starts_although_other_processes_use_its_ports,
    responses_without_end_are_cut,
    stream_with_an_event_that_is_never_completed_is_resumed,
    serves_address_lookup_readiness_and_metrics,
    metrics_match_the_documentation, stream_survives_an_unresponsive_engine,
    stream_continues_after_a_partial_event,
    requests_with_a_part_that_ends_engines_are_refused,
    unframed_answer_without_events_is_evidence,
    refused_part_is_known_after_all_nodes_were_killed,
    malformed_prompts_are_passed_on, unframed_streams_are_complete_or_resumed,
    unframed_plain_answers_are_complete_or_failed,
    entry_of_another_writer_replaces_no_server,
    request_runs_on_no_more_servers_than_its_route_allows,
    streams_outlast_a_silence_of_all_engines,
    stream_is_rerouted_around_an_unresponsive_engine,
    stream_is_resumed_when_a_reroute_is_refused,
    streams_are_moved_off_a_draining_engine,
    layer_order_without_response_is_not_repeated_at_once,
    non_idempotent_request_without_response_runs_once,
    response_to_another_request_is_skipped,
    failed_idempotent_request_is_retried_once, revoked_key_is_refused,
    unconfirmed_keys_are_refused,
    unknown_route_is_not_refused_by_an_old_configuration,
    work_stops_when_the_caller_disconnects,
    sigterm_lets_running_requests_finish,
    oversized_and_malformed_requests_are_refused, log_traces_a_failed_request)
