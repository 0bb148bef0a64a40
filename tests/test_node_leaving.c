#include "node_fixture.h"

#define PLAIN_A FAKE_ENGINE_COUNT
#define PLAIN_B (FAKE_ENGINE_COUNT + 1)
#define REQUESTS 20
/* A server must get nothing from this time after its refusal on. */
#define REACTION_USEC (500 * LOOP_USEC_PER_MSEC)

/*
 * Runs the loop for a time.
 */
static void
run_for(struct node_fixture *w, int64_t usec)
{
	int64_t until = loop_now(w->loop) + usec;

	while (loop_now(w->loop) < until)
		loop_run_once(w->loop, until);
}

/*
 * Sends a request to the plain service and returns the status of the answer.
 */
static unsigned int
look(struct node_fixture *w)
{
	static unsigned int count;
	struct node_call call;
	char id[32];

	snprintf(id, sizeof(id), "look-%u", ++count);
	node_call_plain(w, &call, "GET", "/look/1", id, NODE_KEY);
	lstr_buf_free(&call.body);
	return call.status;
}

/*
 * Runs a stream and returns the status of its answer.
 */
static unsigned int
write_stream(struct node_fixture *w, struct node_call *call)
{
	static unsigned int count;
	char id[32];

	snprintf(id, sizeof(id), "write-%u", ++count);
	node_start_stream(w, call, id);
	node_call_wait(w, call);
	lstr_buf_free(&call->body);
	ck_assert(call->complete);
	return call->status;
}

/*
 * Returns how many calls all engines that hold a layer have received.
 */
static unsigned int
received_by_holders(const struct node_fixture *w, unsigned int layer)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++) {
		if (fake_platform_holds_layer(w->platform, i, layer))
			count += fake_platform_received_count(w->platform, i);
	}
	return count;
}

/*
 * Sends requests until a plain server has received one more.
 */
static void
look_until_received(struct node_fixture *w, unsigned int server)
{
	unsigned int before = fake_platform_received_count(w->platform, server);
	int64_t deadline = loop_now(w->loop) + HARNESS_DEADLINE_USEC;

	while (fake_platform_received_count(w->platform, server) == before) {
		ck_assert_int_lt(loop_now(w->loop), deadline);
		ck_assert_uint_eq(look(w), 200);
	}
}

/*
 * Sends a number of requests and checks that they are served, none of them by
 * the given plain server.
 */
static void
check_unused(struct node_fixture *w, unsigned int server)
{
	unsigned int before = fake_platform_received_count(w->platform, server);

	for (int i = 0; i < REQUESTS; i++)
		ck_assert_uint_eq(look(w), 200);
	ck_assert_uint_eq(
	    fake_platform_received_count(w->platform, server), before);
}

/* Guards against requests to a server that says in its answers that it leaves
 * while its entry still says ready, also after that entry was written again. A
 * new process under the same identifier must be used. */
START_TEST(plain_server_that_says_it_leaves_is_not_used)
{
	struct node_fixture w;

	node_fixture_start(&w);
	fake_platform_set_leaving(w.platform, PLAIN_A);
	look_until_received(&w, PLAIN_A);
	check_unused(&w, PLAIN_A);
	fake_platform_touch_entry(w.platform, PLAIN_A, false);
	run_for(&w, REACTION_USEC);
	check_unused(&w, PLAIN_A);
	fake_platform_touch_entry(w.platform, PLAIN_A, true);
	look_until_received(&w, PLAIN_A);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against paths whose first server said so in the head of a stream or in
 * the answer to an order or report. */
START_TEST(engine_that_says_it_leaves_is_in_no_path)
{
	unsigned int before[FAKE_ENGINE_COUNT];
	struct node_fixture w;
	struct node_call call;
	unsigned int leaving = FAKE_ENGINE_COUNT;

	node_fixture_start(&w);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		before[i] = fake_platform_received_count(w.platform, i);
	ck_assert_uint_eq(write_stream(&w, &call), 200);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++) {
		if (fake_platform_holds_layer(w.platform, i, 0) &&
		    fake_platform_received_count(w.platform, i) > before[i])
			leaving = i;
	}
	ck_assert_uint_lt(leaving, FAKE_ENGINE_COUNT);
	fake_platform_set_leaving(w.platform, leaving);
	for (before[0] = fake_platform_received_count(w.platform, leaving);
	     fake_platform_received_count(w.platform, leaving) == before[0];)
		ck_assert_uint_eq(write_stream(&w, &call), 200);
	before[0] = fake_platform_received_count(w.platform, leaving);
	for (int i = 0; i < REQUESTS; i++)
		ck_assert_uint_eq(write_stream(&w, &call), 200);
	ck_assert_uint_eq(
	    fake_platform_received_count(w.platform, leaving), before[0]);
	ck_assert_uint_eq(fake_platform_incomplete_path_count(w.platform), 0);
	ck_assert_uint_eq(fake_platform_outdated_path_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against paths through an engine that said so in the answer to an order
 * of the planner. */
START_TEST(engine_that_leaves_when_ordered_is_in_no_path)
{
	struct node_fixture w;
	struct node_call call;
	unsigned int before;

	node_fixture_prepare(&w);
	fake_platform_set_leaving(w.platform, 1);
	node_spawn(&w);
	node_wait_until_serving(&w);
	before = fake_platform_received_count(w.platform, 1);
	ck_assert_uint_ge(before, 1);
	for (int i = 0; i < REQUESTS; i++)
		ck_assert_uint_eq(write_stream(&w, &call), 200);
	ck_assert_uint_eq(fake_platform_received_count(w.platform, 1), before);
	ck_assert_uint_eq(fake_platform_incomplete_path_count(w.platform), 0);
	ck_assert_uint_eq(fake_platform_outdated_path_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

#define STREAMS 6

/*
 * Returns whether no stream runs through the faulty engine.
 */
static bool
has_no_faulty_streams(void *arg)
{
	return fake_platform_faulty_stream_count(arg) == 0;
}

/* Guards against streams that end with an engine behind the first one, which
 * said in its report that it leaves; each must be moved and run only once. */
START_TEST(streams_are_moved_off_an_engine_that_says_it_leaves)
{
	struct node_fixture w;
	struct node_call calls[STREAMS];
	char id[32];

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 200 * LOOP_USEC_PER_MSEC);
	for (int i = 0; i < STREAMS; i++) {
		snprintf(id, sizeof(id), "moved-%d", i);
		node_start_stream(&w, &calls[i], id);
	}
	while (fake_platform_stream_count(w.platform) < STREAMS)
		run_for(&w, LOOP_USEC_PER_MSEC);
	ck_assert_uint_gt(fake_platform_faulty_stream_count(w.platform), 0);
	fake_platform_set_leaving(w.platform, 1);
	ck_assert(harness_wait(w.loop, has_no_faulty_streams, w.platform));
	ck_assert_uint_gt(fake_platform_reroute_count(w.platform), 0);
	fake_platform_set_event_interval(w.platform, 5 * LOOP_USEC_PER_MSEC);
	for (int i = 0; i < STREAMS; i++) {
		node_call_wait(&w, &calls[i]);
		ck_assert(calls[i].complete);
		lstr_buf_free(&calls[i].body);
		snprintf(id, sizeof(id), "moved-%d", i);
		ck_assert_uint_eq(fake_platform_run_count(w.platform, id), 1);
	}
	node_fixture_stop(&w);
}
END_TEST

/* Guards against requests to a server that refused one with Retry-After, before
 * that time has passed; the refused request is sent to another server. */
START_TEST(refusing_plain_server_is_left_alone)
{
	struct node_fixture w;

	node_fixture_start(&w);
	fake_platform_set_retry_after(w.platform, PLAIN_A, "1.5");
	look_until_received(&w, PLAIN_A);
	check_unused(&w, PLAIN_A);
	run_for(&w, 2 * REACTION_USEC);
	check_unused(&w, PLAIN_A);
	fake_platform_set_retry_after(w.platform, PLAIN_A, NULL);
	run_for(&w, REACTION_USEC);
	look_until_received(&w, PLAIN_A);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against a refusal that comes late, that hides the servers' time or
 * that passes on the value of a server that is not the first to want requests.
 */
START_TEST(callers_return_when_the_first_server_wants_requests)
{
	struct node_fixture w;
	struct node_call call;
	unsigned int before;
	int64_t asked_at;
	double retry_after;

	node_fixture_start(&w);
	fake_platform_set_retry_after(w.platform, PLAIN_A, "3");
	fake_platform_set_retry_after(w.platform, PLAIN_B, "1.5");
	ck_assert_uint_eq(look(&w), 503);
	asked_at = loop_now(w.loop);
	before = fake_platform_received_count(w.platform, PLAIN_A) +
	    fake_platform_received_count(w.platform, PLAIN_B);
	for (int i = 0; i < REQUESTS; i++) {
		node_call_plain(&w, &call, "POST", "/order/1", "o-1", NODE_KEY);
		lstr_buf_free(&call.body);
		ck_assert_uint_eq(call.status, 503);
		retry_after = strtod(call.retry_after, NULL) +
		    (double)(loop_now(w.loop) - asked_at) / LOOP_USEC_PER_SEC;
		ck_assert_double_ge(retry_after, 1.4);
		ck_assert_double_le(retry_after, 2);
	}
	ck_assert_int_lt(loop_now(w.loop) - asked_at, REACTION_USEC);
	ck_assert_uint_eq(fake_platform_received_count(w.platform, PLAIN_A) +
		fake_platform_received_count(w.platform, PLAIN_B),
	    before);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against streams that wait in the queue, and against paths, probes and
 * orders, while all engines that hold a layer want no requests. */
START_TEST(streams_are_refused_while_no_engine_of_a_layer_wants_them)
{
	struct node_fixture w;
	struct node_call call;
	unsigned int before;
	int64_t refused_at;

	node_fixture_start(&w);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		fake_platform_set_retry_after(w.platform, i,
		    fake_platform_holds_layer(w.platform, i, 0) ? "2" : NULL);
	while (write_stream(&w, &call) == 200)
		;
	ck_assert_uint_eq(call.status, 503);
	refused_at = loop_now(w.loop);
	before = received_by_holders(&w, 0);
	for (int i = 0; i < REQUESTS; i++) {
		ck_assert_uint_eq(write_stream(&w, &call), 503);
		ck_assert_double_ge(strtod(call.retry_after, NULL), 1);
	}
	ck_assert_int_lt(loop_now(w.loop) - refused_at, REACTION_USEC);
	run_for(&w, 2 * REACTION_USEC);
	ck_assert_uint_eq(received_by_holders(&w, 0), before);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		fake_platform_set_retry_after(w.platform, i, NULL);
	run_for(&w, 2 * REACTION_USEC);
	ck_assert_uint_eq(write_stream(&w, &call), 200);
	node_fixture_stop(&w);
}
END_TEST

/* Guards against taking the time in a refusal for that of the server which the
 * refusal names as the one at fault. */
START_TEST(time_of_a_refusal_is_that_of_the_refusing_engine)
{
	struct node_fixture w;
	struct node_call call;
	unsigned int named = 0;
	char *log;

	node_fixture_start(&w);
	while (fake_platform_holds_layer(w.platform, named, 0))
		named++;
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++) {
		if (!fake_platform_holds_layer(w.platform, i, 0))
			continue;
		fake_platform_set_named(w.platform, i, named);
		fake_platform_set_retry_after(w.platform, i, "2");
	}
	ck_assert_uint_eq(write_stream(&w, &call), 503);
	run_for(&w, REACTION_USEC / 2);
	log = node_read_log(&w);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++) {
		char line[64];

		snprintf(line, sizeof(line),
		    "\"server-refuses\",\"server\":\"i-%u\"", i);
		ck_assert(i != named || strstr(log, line) == NULL);
	}
	ck_assert_ptr_nonnull(strstr(log, "\"server-refuses\""));
	g_free(log);
	node_fixture_stop(&w);
}
END_TEST

/* Streams that an engine accepts as the first one of their paths. */
#define SLOTS 8
#define QUEUED 6

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

/* Guards against streams that stay in the queue until their time is over once
 * the engines that they wait for want no requests. Running streams go on. */
START_TEST(queued_streams_are_refused_when_no_engine_wants_them)
{
	struct node_fixture w;
	struct node_call calls[FAKE_ENGINE_COUNT * SLOTS + QUEUED];
	struct stream_count count;
	unsigned int running = 0;
	char *log;

	node_fixture_start(&w);
	fake_platform_set_event_interval(w.platform, 25 * LOOP_USEC_PER_MSEC);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++) {
		if (fake_platform_holds_layer(w.platform, i, 0))
			running += SLOTS;
	}
	count = (struct stream_count){w.platform, running};
	for (unsigned int i = 0; i < running + QUEUED; i++) {
		char id[32];

		snprintf(id, sizeof(id), "full-%u", i);
		node_start_stream(&w, &calls[i], id);
		if (i == running - 1)
			ck_assert(
			    harness_wait(w.loop, streams_match_wanted, &count));
	}
	run_for(&w, 50 * LOOP_USEC_PER_MSEC);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		fake_platform_set_retry_after(w.platform, i, "3");
	for (unsigned int i = 0; i < running + QUEUED; i++) {
		node_call_wait(&w, &calls[i]);
		ck_assert(calls[i].complete);
		ck_assert_uint_eq(calls[i].status, i < running ? 200 : 503);
		ck_assert(
		    i < running || strtod(calls[i].retry_after, NULL) >= 2);
		lstr_buf_free(&calls[i].body);
	}
	log = node_read_log(&w);
	for (unsigned int i = running; i < running + QUEUED; i++) {
		char line[128];

		snprintf(line, sizeof(line),
		    "\"id\":\"full-%u\",\"status\":503,"
		    "\"reason\":\"servers want no requests\"",
		    i);
		ck_assert_ptr_nonnull(strstr(log, line));
	}
	g_free(log);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Returns whether other engines hold all layers of an engine that holds some.
 */
static bool
is_redundant(const struct fake_platform *platform, unsigned int engine)
{
	unsigned int held = 0;

	for (unsigned int layer = 0; layer < FAKE_LAYER_COUNT; layer++) {
		unsigned int others = 0;

		if (!fake_platform_holds_layer(platform, engine, layer))
			continue;
		held++;
		for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
			others += i != engine &&
			    fake_platform_holds_layer(platform, i, layer);
		if (others == 0)
			return false;
	}
	return held > 0;
}

/* An engine that refuses a path because it no longer holds its layers must not
 * cost callers their streams, nor make one run twice. */
START_TEST(stream_is_served_if_an_engine_has_given_up_its_layers)
{
	struct node_fixture w;
	struct node_call call;
	unsigned int engine = 0;
	int64_t deadline;
	char id[32];

	node_fixture_start(&w);
	while (engine < FAKE_ENGINE_COUNT && !is_redundant(w.platform, engine))
		engine++;
	ck_assert_uint_lt(engine, FAKE_ENGINE_COUNT);
	fake_platform_give_up_layers(w.platform, engine);
	deadline = loop_now(w.loop) + HARNESS_DEADLINE_USEC;
	for (unsigned int i = 0;
	     fake_platform_outdated_path_count(w.platform) == 0; i++) {
		ck_assert_int_lt(loop_now(w.loop), deadline);
		snprintf(id, sizeof(id), "moved-%u", i);
		node_start_stream(&w, &call, id);
		node_call_wait(&w, &call);
		lstr_buf_free(&call.body);
		ck_assert_uint_eq(call.status, 200);
		ck_assert(call.complete);
		ck_assert_uint_eq(fake_platform_run_count(w.platform, id), 1);
	}
	ck_assert_uint_eq(fake_platform_incomplete_path_count(w.platform), 0);
	node_fixture_stop(&w);
}
END_TEST

struct engine_count {
	const struct fake_platform *platform;
	unsigned int engines;
};

/*
 * Returns whether all engines have received a call.
 */
static bool
engines_have_received(void *arg)
{
	const struct engine_count *count = arg;

	for (unsigned int i = 0; i < count->engines; i++) {
		if (fake_platform_received_count(count->platform, i) == 0)
			return false;
	}
	return true;
}

/* Guards against orders and queries of the planner to engines that refused an
 * order with Retry-After. */
START_TEST(planner_leaves_refusing_engines_alone)
{
	unsigned int before = 0;
	unsigned int after = 0;
	struct node_fixture w;
	struct engine_count count;

	node_fixture_prepare(&w);
	count = (struct engine_count){w.platform, FAKE_ENGINE_COUNT};
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		fake_platform_set_retry_after(w.platform, i, "2.5");
	node_spawn(&w);
	ck_assert(harness_wait(w.loop, engines_have_received, &count));
	run_for(&w, REACTION_USEC);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++)
		before += fake_platform_received_count(w.platform, i);
	run_for(&w, 3 * REACTION_USEC);
	for (unsigned int i = 0; i < FAKE_ENGINE_COUNT; i++) {
		after += fake_platform_received_count(w.platform, i);
		fake_platform_set_retry_after(w.platform, i, NULL);
	}
	ck_assert_uint_eq(after, before);
	node_wait_until_serving(&w);
	node_fixture_stop(&w);
}
END_TEST

HARNESS_MAIN("node-leaving", plain_server_that_says_it_leaves_is_not_used,
    engine_that_says_it_leaves_is_in_no_path,
    engine_that_leaves_when_ordered_is_in_no_path,
    streams_are_moved_off_an_engine_that_says_it_leaves,
    refusing_plain_server_is_left_alone,
    callers_return_when_the_first_server_wants_requests,
    streams_are_refused_while_no_engine_of_a_layer_wants_them,
    time_of_a_refusal_is_that_of_the_refusing_engine,
    queued_streams_are_refused_when_no_engine_wants_them,
    stream_is_served_if_an_engine_has_given_up_its_layers,
    planner_leaves_refusing_engines_alone)
