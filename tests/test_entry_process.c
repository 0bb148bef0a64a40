#include "child.h"
#include "entry_world.h"

#define LOOKUP                                                                 \
	"{'organisation':'o','service':'m','operation':'draft',"               \
	"'prompt':'hello','max_tokens':4}"
#define PLAIN                                                                  \
	"{'organisation':'o','service':'s','operation':'lookup','prompt':'x'}"
#define ORDER                                                                  \
	"{'organisation':'o','service':'s','operation':'swap','prompt':'x'}"
#define WHOLE                                                                  \
	"{\"position\":0,\"token\":\"t0\"}\n"                                  \
	"{\"position\":1,\"token\":\"t1\"}\n"                                  \
	"{\"position\":2,\"token\":\"t2\"}\n"                                  \
	"{\"position\":3,\"token\":\"t3\"}\n"                                  \
	"{\"outcome\":\"run\",\"tokens\":4}\n"

/*
 * Counts submissions at all routers.
 */
static int
submits(const struct world *w)
{
	return w->routers[0].submits + w->routers[1].submits;
}

static bool
has_submit(void *arg)
{
	return submits(arg) > 0;
}

static bool
has_cancel(void *arg)
{
	const struct world *w = arg;

	return w->routers[0].cancels + w->routers[1].cancels > 0;
}

/* Guards against a response that is changed or cut on its way. */
START_TEST(stream_arrives_whole)
{
	struct world w;

	world_start(&w);
	world_post(&w, LOOKUP);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_str_eq(w.body.data, WHOLE);
	world_post(&w, PLAIN);
	ck_assert_str_eq(w.body.data,
	    "{\"outcome\":\"run\",\"status\":200,\"body\":\"answer\"}");
	world_stop(&w);
}
END_TEST

/* Guards against lost, repeated or reordered tokens when a router dies. */
START_TEST(stream_is_resumed_when_its_router_dies)
{
	struct world w;

	world_start(&w);
	w.script[0] = SCRIPT_DIE;
	world_post(&w, LOOKUP);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_str_eq(w.body.data, WHOLE);
	ck_assert_int_eq(w.routers[0].submits, 1);
	ck_assert_int_eq(w.routers[1].submits, 1);
	ck_assert_uint_eq(w.routers[0].delivered + w.routers[1].delivered, 2);
	ck_assert_uint_ne(w.routers[0].attempt, w.routers[1].attempt);
	world_stop(&w);
}
END_TEST

/* Guards against an order that runs twice when its router dies (G4). */
START_TEST(order_is_not_repeated_when_its_router_dies)
{
	struct world w;
	char header[64];

	world_start(&w);
	w.script[0] = SCRIPT_DIE;
	snprintf(header, sizeof(header), "Idempotency-Key: %lld-a",
	    (long long)(loop_now(w.loop) / LOOP_USEC_PER_SEC));
	w.header = header;
	world_post(&w, ORDER);
	ck_assert_int_eq(w.http_status, 502);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"outcome\":\"unknown\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"code\":\"router-lost\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "same Idempotency-Key"));
	ck_assert_int_eq(submits(&w), 1);
	w.header = NULL;
	world_post(&w, ORDER);
	ck_assert_int_eq(w.http_status, 400);
	ck_assert_ptr_nonnull(strstr(w.body.data, "key-missing"));
	ck_assert_int_eq(submits(&w), 1);
	world_stop(&w);
}
END_TEST

/* Guards against a lookup lost with its router. */
START_TEST(plain_lookup_is_repeated_when_its_router_dies)
{
	struct world w;

	world_start(&w);
	w.script[0] = SCRIPT_DIE;
	world_post(&w, PLAIN);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_int_eq(submits(&w), 2);
	world_stop(&w);
}
END_TEST

/* Guards against "unknown" for an order that reached no router. */
START_TEST(order_without_a_router_is_not_run)
{
	struct world w;
	char header[64];

	world_start(&w);
	for (int i = 0; i < WORLD_ROUTERS; i++)
		router_die(&w.routers[i]);
	snprintf(header, sizeof(header), "Idempotency-Key: %lld-a",
	    (long long)(loop_now(w.loop) / LOOP_USEC_PER_SEC));
	w.header = header;
	world_post(&w, ORDER);
	ck_assert_int_eq(w.http_status, 503);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"outcome\":\"not-run\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"code\":\"no-router\""));
	world_stop(&w);
}
END_TEST

/* Guards against a refusal that loses its code, or is repeated elsewhere. */
START_TEST(refusal_is_passed_on)
{
	struct world w;

	world_start(&w);
	w.script[0] = SCRIPT_REFUSE;
	world_post(&w, LOOKUP);
	ck_assert_int_eq(w.http_status, 503);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"not-run\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "queue-full"));
	ck_assert_int_eq(submits(&w), 1);
	world_stop(&w);
}
END_TEST

/* Guards against requests dropped by a router that drains. */
START_TEST(moved_request_is_submitted_again)
{
	struct world w;

	world_start(&w);
	w.script[0] = SCRIPT_MOVE;
	world_post(&w, LOOKUP);
	ck_assert_str_eq(w.body.data, WHOLE);
	ck_assert_int_eq(submits(&w), 2);
	world_stop(&w);
}
END_TEST

/* Guards against a caller without an answer after its deadline. */
START_TEST(silent_router_is_answered_for_at_the_deadline)
{
	struct world w;
	char body[256];
	int64_t deadline;

	world_start(&w);
	w.script[0] = SCRIPT_HOLD;
	deadline = loop_now(w.loop) + 300 * LOOP_USEC_PER_MSEC;
	snprintf(body, sizeof(body),
	    "{'organisation':'o','service':'m','operation':'draft',"
	    "'prompt':'hello','max_tokens':4,'deadline':%lld}",
	    (long long)(deadline / LOOP_USEC_PER_MSEC));
	world_post(&w, body);
	ck_assert_int_lt(loop_now(w.loop), deadline + LOOP_USEC_PER_SEC);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"outcome\":\"unknown\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"code\":\"deadline\""));
	ck_assert(harness_wait(w.loop, has_cancel, &w));
	world_stop(&w);
}
END_TEST

/* Guards against work that goes on for a caller that left. */
START_TEST(gone_caller_is_cancelled)
{
	struct world w;
	struct fetch_call *call;

	world_start(&w);
	w.script[0] = SCRIPT_HOLD;
	call = world_call(&w, "POST", "/v1/requests",
	    "{\"organisation\":\"o\",\"service\":\"m\",\"operation\":\"d\","
	    "\"prompt\":\"\",\"max_tokens\":4}",
	    0);
	ck_assert(harness_wait(w.loop, has_submit, &w));
	fetch_cancel(call);
	ck_assert(harness_wait(w.loop, has_cancel, &w));
	world_stop(&w);
}
END_TEST

/* Guards against address answers in another form than documented. */
START_TEST(addresses_are_told)
{
	struct world w;
	json_t *answer;

	world_start(&w);
	world_call(&w, "GET", "/v1/addresses?place=p1", "", 0);
	ck_assert(harness_wait(w.loop, world_is_done, &w));
	ck_assert_int_eq(w.http_status, 200);
	answer = json_loads(w.body.data, 0, NULL);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(answer, "addresses")), 2);
	ck_assert_int_gt(
	    json_integer_value(json_object_get(answer, "valid_until")),
	    loop_now(w.loop) / LOOP_USEC_PER_MSEC);
	json_decref(answer);
	world_stop(&w);
}
END_TEST

static bool
is_leaving(void *arg)
{
	return ((struct world *)arg)->role_leaving;
}

static bool
has_stopped_listening(void *arg)
{
	const struct world *w = arg;
	json_t *dump = entry_dump(w->entry);
	bool stopped = json_is_false(json_object_get(dump, "listening"));

	json_decref(dump);
	return stopped;
}

/* Guards against a shutdown that refuses callers or cuts requests (G6). */
START_TEST(drain_serves_until_addresses_have_run_out)
{
	struct world w;
	int64_t begun_at;

	world_start(&w);
	begun_at = loop_now(w.loop);
	w.proc.draining = true;
	entry_drain(w.entry);
	ck_assert(harness_wait(w.loop, is_leaving, &w));
	world_post(&w, LOOKUP);
	ck_assert_str_eq(w.body.data, WHOLE);
	w.script[w.script_at] = SCRIPT_HOLD;
	world_call(&w, "POST", "/v1/requests",
	    "{\"organisation\":\"o\",\"service\":\"m\",\"operation\":\"d\","
	    "\"prompt\":\"\",\"max_tokens\":4}",
	    0);
	ck_assert(harness_wait(w.loop, has_stopped_listening, &w));
	ck_assert_int_ge(loop_now(w.loop),
	    begun_at + WORLD_VALIDITY_USEC + WORLD_DRAIN_EXTRA_USEC);
	/* The request in flight is still open and ends whole. */
	ck_assert(!w.done);
	for (int i = 0; i < WORLD_ROUTERS; i++) {
		Ch__Submit submit = CH__SUBMIT__INIT;

		if (w.routers[i].link == NULL)
			continue;
		submit.stream = 2;
		submit.max_tokens = WORLD_TOKENS;
		router_send_tokens(&w.routers[i], 2, 0, WORLD_TOKENS);
		router_send_done(
		    &w.routers[i], &submit, CH__OUTCOME__OUTCOME_RUN, "");
	}
	ck_assert(harness_wait(w.loop, world_is_done, &w));
	ck_assert_str_eq(w.body.data, WHOLE);
	world_stop(&w);
}
END_TEST

/* Guards against a port file that does not lead to the admin server. */
START_TEST(port_file_names_the_admin_server)
{
	static const char key[] =
	    "--cluster-key=00112233445566778899aabbccddeeff"
	    "00112233445566778899aabbccddeeff";
	static const char *const args[] = {"--node=n1", "--place=p1",
	    "--region=r", "--syncd-address=127.0.0.1:1", key, NULL};
	static const struct fetch_ops ops = {NULL, world_on_done};
	struct fetch_request request = {.method = "GET"};
	struct world w = {0};
	struct child child;
	char address[64];
	char url[128];

	ck_assert_int_eq(loop_create(&w.loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(w.loop, &w.fetch), STATUS_OK);
	child_start(&child, w.loop, "chestnuthoist-entry", args);
	child_address(&child, "admin=", address, sizeof(address));
	snprintf(url, sizeof(url), "http://%s/live", address);
	request.url = url;
	ck_assert_int_eq(
	    fetch_start(w.fetch, &request, &ops, &w, NULL), STATUS_OK);
	ck_assert(harness_wait(w.loop, world_is_done, &w));
	ck_assert_int_eq(w.status, STATUS_OK);
	ck_assert_int_eq(w.http_status, 200);
	child_kill(&child);
}
END_TEST

HARNESS_MAIN("entry_process", port_file_names_the_admin_server,
    stream_arrives_whole, stream_is_resumed_when_its_router_dies,
    order_is_not_repeated_when_its_router_dies,
    plain_lookup_is_repeated_when_its_router_dies,
    order_without_a_router_is_not_run, refusal_is_passed_on,
    moved_request_is_submitted_again,
    silent_router_is_answered_for_at_the_deadline, gone_caller_is_cancelled,
    addresses_are_told, drain_serves_until_addresses_have_run_out)
