#include "child.h"
#include "entry_fixture.h"

#define PIPELINE_REQUEST                                                       \
	"{'organisation':'o','service':'m','operation':'draft',"               \
	"'prompt':'hello','max_tokens':4}"
#define PLAIN_REQUEST                                                          \
	"{'organisation':'o','service':'s','operation':'lookup','prompt':'x'}"
#define NON_IDEMPOTENT_REQUEST                                                 \
	"{'organisation':'o','service':'s','operation':'swap','prompt':'x'}"
#define COMPLETE_RESPONSE                                                      \
	"{\"position\":0,\"token\":\"t0\"}\n"                                  \
	"{\"position\":1,\"token\":\"t1\"}\n"                                  \
	"{\"position\":2,\"token\":\"t2\"}\n"                                  \
	"{\"position\":3,\"token\":\"t3\"}\n"                                  \
	"{\"outcome\":\"run\",\"tokens\":4}\n"

/*
 * Returns the number of submissions received by all routers.
 */
static int
submit_count(const struct fixture *w)
{
	return w->routers[0].submit_count + w->routers[1].submit_count;
}

static bool
has_received_submit(void *arg)
{
	return submit_count(arg) > 0;
}

static bool
has_received_cancel(void *arg)
{
	const struct fixture *w = arg;

	return w->routers[0].cancel_count + w->routers[1].cancel_count > 0;
}

/* Guards against a response that is altered or truncated. */
START_TEST(response_is_delivered_unchanged)
{
	struct fixture w;

	fixture_start(&w);
	fixture_post(&w, PIPELINE_REQUEST);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_str_eq(w.body.data, COMPLETE_RESPONSE);
	fixture_post(&w, PLAIN_REQUEST);
	ck_assert_str_eq(w.body.data,
	    "{\"outcome\":\"run\",\"status\":200,\"body\":\"answer\"}");
	fixture_stop(&w);
}
END_TEST

/* Guards against lost, repeated or reordered tokens when a router crashes. */
START_TEST(stream_is_resumed_after_router_crash)
{
	struct fixture w;

	fixture_start(&w);
	w.router_behaviour[0] = BEHAVIOUR_CRASH;
	fixture_post(&w, PIPELINE_REQUEST);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_str_eq(w.body.data, COMPLETE_RESPONSE);
	ck_assert_int_eq(w.routers[0].submit_count, 1);
	ck_assert_int_eq(w.routers[1].submit_count, 1);
	ck_assert_uint_eq(w.routers[0].delivered + w.routers[1].delivered, 2);
	ck_assert_uint_ne(w.routers[0].attempt, w.routers[1].attempt);
	fixture_stop(&w);
}
END_TEST

/* Guards against a non-idempotent request that runs twice when its router
 * crashes (G4). */
START_TEST(non_idempotent_request_is_not_repeated_after_router_crash)
{
	struct fixture w;
	char header[64];

	fixture_start(&w);
	w.router_behaviour[0] = BEHAVIOUR_CRASH;
	snprintf(header, sizeof(header), "Idempotency-Key: %lld-a",
	    (long long)(loop_now(w.loop) / LOOP_USEC_PER_SEC));
	w.header = header;
	fixture_post(&w, NON_IDEMPOTENT_REQUEST);
	ck_assert_int_eq(w.http_status, 502);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"outcome\":\"unknown\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"code\":\"router-lost\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "same Idempotency-Key"));
	ck_assert_int_eq(submit_count(&w), 1);
	w.header = NULL;
	fixture_post(&w, NON_IDEMPOTENT_REQUEST);
	ck_assert_int_eq(w.http_status, 400);
	ck_assert_ptr_nonnull(strstr(w.body.data, "key-missing"));
	ck_assert_int_eq(submit_count(&w), 1);
	fixture_stop(&w);
}
END_TEST

/* Guards against an idempotent request that is lost with its router. */
START_TEST(idempotent_plain_request_is_repeated_after_router_crash)
{
	struct fixture w;

	fixture_start(&w);
	w.router_behaviour[0] = BEHAVIOUR_CRASH;
	fixture_post(&w, PLAIN_REQUEST);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_int_eq(submit_count(&w), 2);
	fixture_stop(&w);
}
END_TEST

/* Guards against outcome "unknown" for a non-idempotent request that reached no
 * router. */
START_TEST(non_idempotent_request_without_router_is_not_run)
{
	struct fixture w;
	char header[64];

	fixture_start(&w);
	for (int i = 0; i < FIXTURE_ROUTERS; i++)
		router_crash(&w.routers[i]);
	snprintf(header, sizeof(header), "Idempotency-Key: %lld-a",
	    (long long)(loop_now(w.loop) / LOOP_USEC_PER_SEC));
	w.header = header;
	fixture_post(&w, NON_IDEMPOTENT_REQUEST);
	ck_assert_int_eq(w.http_status, 503);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"outcome\":\"not-run\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"code\":\"no-router\""));
	fixture_stop(&w);
}
END_TEST

/* Guards against a refusal that loses its code or is submitted again. */
START_TEST(refusal_is_forwarded_with_its_code)
{
	struct fixture w;

	fixture_start(&w);
	w.router_behaviour[0] = BEHAVIOUR_REFUSE;
	fixture_post(&w, PIPELINE_REQUEST);
	ck_assert_int_eq(w.http_status, 503);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"not-run\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "queue-full"));
	ck_assert_int_eq(submit_count(&w), 1);
	fixture_stop(&w);
}
END_TEST

/* Guards against requests that are dropped when a router drains. */
START_TEST(moved_request_is_submitted_again)
{
	struct fixture w;

	fixture_start(&w);
	w.router_behaviour[0] = BEHAVIOUR_MOVE;
	fixture_post(&w, PIPELINE_REQUEST);
	ck_assert_str_eq(w.body.data, COMPLETE_RESPONSE);
	ck_assert_int_eq(submit_count(&w), 2);
	fixture_stop(&w);
}
END_TEST

/* Guards against a caller without a response after its deadline. */
START_TEST(unresponsive_router_ends_in_deadline_response)
{
	struct fixture w;
	char body[256];
	int64_t deadline;

	fixture_start(&w);
	w.router_behaviour[0] = BEHAVIOUR_HOLD;
	deadline = loop_now(w.loop) + 300 * LOOP_USEC_PER_MSEC;
	snprintf(body, sizeof(body),
	    "{'organisation':'o','service':'m','operation':'draft',"
	    "'prompt':'hello','max_tokens':4,'deadline':%lld}",
	    (long long)(deadline / LOOP_USEC_PER_MSEC));
	fixture_post(&w, body);
	ck_assert_int_lt(loop_now(w.loop), deadline + LOOP_USEC_PER_SEC);
	ck_assert_int_eq(w.http_status, 200);
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"outcome\":\"unknown\""));
	ck_assert_ptr_nonnull(strstr(w.body.data, "\"code\":\"deadline\""));
	ck_assert(harness_wait(w.loop, has_received_cancel, &w));
	fixture_stop(&w);
}
END_TEST

/* Guards against work that continues after its caller has disconnected. */
START_TEST(disconnected_caller_is_cancelled)
{
	struct fixture w;
	struct fetch_call *call;

	fixture_start(&w);
	w.router_behaviour[0] = BEHAVIOUR_HOLD;
	call = fixture_call(&w, "POST", "/v1/requests",
	    "{\"organisation\":\"o\",\"service\":\"m\",\"operation\":\"d\","
	    "\"prompt\":\"\",\"max_tokens\":4}",
	    0);
	ck_assert(harness_wait(w.loop, has_received_submit, &w));
	fetch_cancel(call);
	ck_assert(harness_wait(w.loop, has_received_cancel, &w));
	fixture_stop(&w);
}
END_TEST

/* Guards against an address response that is not in the documented format. */
START_TEST(addresses_are_returned)
{
	struct fixture w;
	json_t *answer;

	fixture_start(&w);
	fixture_call(&w, "GET", "/v1/addresses?place=p1", "", 0);
	ck_assert(harness_wait(w.loop, fixture_is_done, &w));
	ck_assert_int_eq(w.http_status, 200);
	answer = json_loads(w.body.data, 0, NULL);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(answer, "addresses")), 2);
	ck_assert_int_gt(
	    json_integer_value(json_object_get(answer, "valid_until")),
	    loop_now(w.loop) / LOOP_USEC_PER_MSEC);
	json_decref(answer);
	fixture_stop(&w);
}
END_TEST

static bool
is_leaving(void *arg)
{
	return ((struct fixture *)arg)->role_leaving;
}

static bool
has_stopped_listening(void *arg)
{
	const struct fixture *w = arg;
	json_t *dump = entry_dump(w->entry);
	bool stopped = json_is_false(json_object_get(dump, "listening"));

	json_decref(dump);
	return stopped;
}

/* Guards against a shutdown that refuses callers or aborts requests (G6). */
START_TEST(drain_serves_until_addresses_expire)
{
	struct fixture w;
	int64_t drain_started_at;

	fixture_start(&w);
	drain_started_at = loop_now(w.loop);
	w.proc.draining = true;
	entry_drain(w.entry);
	ck_assert(harness_wait(w.loop, is_leaving, &w));
	fixture_post(&w, PIPELINE_REQUEST);
	ck_assert_str_eq(w.body.data, COMPLETE_RESPONSE);
	w.router_behaviour[w.next_behaviour] = BEHAVIOUR_HOLD;
	fixture_call(&w, "POST", "/v1/requests",
	    "{\"organisation\":\"o\",\"service\":\"m\",\"operation\":\"d\","
	    "\"prompt\":\"\",\"max_tokens\":4}",
	    0);
	ck_assert(harness_wait(w.loop, has_stopped_listening, &w));
	ck_assert_int_ge(loop_now(w.loop),
	    drain_started_at + FIXTURE_VALIDITY_USEC +
		FIXTURE_DRAIN_EXTRA_USEC);
	/* The request in progress is still open and is completed. */
	ck_assert(!w.done);
	for (int i = 0; i < FIXTURE_ROUTERS; i++) {
		Ch__Submit submit = CH__SUBMIT__INIT;

		if (w.routers[i].link == NULL)
			continue;
		submit.stream = 2;
		submit.max_tokens = FIXTURE_TOKENS;
		router_send_tokens(&w.routers[i], 2, 0, FIXTURE_TOKENS);
		router_send_done(
		    &w.routers[i], &submit, CH__OUTCOME__OUTCOME_RUN, "");
	}
	ck_assert(harness_wait(w.loop, fixture_is_done, &w));
	ck_assert_str_eq(w.body.data, COMPLETE_RESPONSE);
	fixture_stop(&w);
}
END_TEST

/* Guards against a port file with a wrong address of the admin server. */
START_TEST(port_file_names_the_admin_server)
{
	static const char key[] =
	    "--cluster-key=00112233445566778899aabbccddeeff"
	    "00112233445566778899aabbccddeeff";
	static const char *const args[] = {"--node=n1", "--place=p1",
	    "--region=r", "--syncd-address=127.0.0.1:1", key, NULL};
	static const struct fetch_ops ops = {NULL, fixture_on_done};
	struct fetch_request request = {.method = "GET"};
	struct fixture w = {0};
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
	ck_assert(harness_wait(w.loop, fixture_is_done, &w));
	ck_assert_int_eq(w.status, STATUS_OK);
	ck_assert_int_eq(w.http_status, 200);
	child_kill(&child);
}
END_TEST

HARNESS_MAIN("entry_process", port_file_names_the_admin_server,
    response_is_delivered_unchanged, stream_is_resumed_after_router_crash,
    non_idempotent_request_is_not_repeated_after_router_crash,
    idempotent_plain_request_is_repeated_after_router_crash,
    non_idempotent_request_without_router_is_not_run,
    refusal_is_forwarded_with_its_code, moved_request_is_submitted_again,
    unresponsive_router_ends_in_deadline_response,
    disconnected_caller_is_cancelled, addresses_are_returned,
    drain_serves_until_addresses_expire)
