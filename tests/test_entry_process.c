#include "child.h"
#include "entry_fixture.h"

#define PIPELINE_REQUEST                                                       \
	"{'organisation':'o','service':'m','operation':'draft',"               \
	"'prompt':'hello','max_tokens':4}"
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
submit_count(const struct fixture *f)
{
	return f->routers[0].submit_count + f->routers[1].submit_count;
}

static bool
has_received_submit(void *arg)
{
	return submit_count(arg) > 0;
}

static bool
has_received_cancel(void *arg)
{
	const struct fixture *f = arg;

	return f->routers[0].cancel_count + f->routers[1].cancel_count > 0;
}

/* Guards against a response that is altered or truncated. */
START_TEST(response_is_delivered_unchanged)
{
	struct fixture f;

	fixture_start(&f);
	fixture_post(&f, PIPELINE_REQUEST);
	ck_assert_int_eq(f.http_status, 200);
	ck_assert_str_eq(f.body.data, COMPLETE_RESPONSE);
	fixture_post(&f, PLAIN_REQUEST);
	ck_assert_str_eq(f.body.data,
	    "{\"outcome\":\"run\",\"status\":200,\"body\":\"answer\"}");
	fixture_stop(&f);
}
END_TEST

/* Guards against lost, repeated or reordered tokens when a router crashes. */
START_TEST(stream_is_resumed_after_router_crash)
{
	struct fixture f;

	fixture_start(&f);
	f.behaviours[0] = BEHAVIOUR_CRASH;
	fixture_post(&f, PIPELINE_REQUEST);
	ck_assert_int_eq(f.http_status, 200);
	ck_assert_str_eq(f.body.data, COMPLETE_RESPONSE);
	ck_assert_int_eq(f.routers[0].submit_count, 1);
	ck_assert_int_eq(f.routers[1].submit_count, 1);
	ck_assert_uint_eq(f.routers[0].delivered + f.routers[1].delivered, 2);
	ck_assert_uint_ne(f.routers[0].attempt, f.routers[1].attempt);
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against a non-idempotent request that runs twice when its router
 * crashes (G4).
 */
START_TEST(non_idempotent_request_is_not_repeated_after_router_crash)
{
	struct fixture f;
	char header[64];

	fixture_start(&f);
	f.behaviours[0] = BEHAVIOUR_CRASH;
	snprintf(header, sizeof(header), "Idempotency-Key: %lld-a",
	    (long long)(loop_now(f.loop) / LOOP_USEC_PER_SEC));
	f.header = header;
	fixture_post(&f, NON_IDEMPOTENT_REQUEST);
	ck_assert_int_eq(f.http_status, 502);
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"outcome\":\"unknown\""));
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"code\":\"router-lost\""));
	ck_assert_ptr_nonnull(strstr(f.body.data, "same Idempotency-Key"));
	ck_assert_int_eq(submit_count(&f), 1);
	f.header = NULL;
	fixture_post(&f, NON_IDEMPOTENT_REQUEST);
	ck_assert_int_eq(f.http_status, 400);
	ck_assert_ptr_nonnull(strstr(f.body.data, "key-missing"));
	ck_assert_int_eq(submit_count(&f), 1);
	fixture_stop(&f);
}
END_TEST

/* Guards against an idempotent request that is lost with its router. */
START_TEST(idempotent_plain_request_is_repeated_after_router_crash)
{
	struct fixture f;

	fixture_start(&f);
	f.behaviours[0] = BEHAVIOUR_CRASH;
	fixture_post(&f, PLAIN_REQUEST);
	ck_assert_int_eq(f.http_status, 200);
	ck_assert_int_eq(submit_count(&f), 2);
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against outcome "unknown" for a non-idempotent request that reached no
 * router.
 */
START_TEST(non_idempotent_request_without_router_is_not_run)
{
	struct fixture f;
	char header[64];

	fixture_start(&f);
	for (int i = 0; i < FIXTURE_ROUTERS; i++)
		router_crash(&f.routers[i]);
	snprintf(header, sizeof(header), "Idempotency-Key: %lld-a",
	    (long long)(loop_now(f.loop) / LOOP_USEC_PER_SEC));
	f.header = header;
	fixture_post(&f, NON_IDEMPOTENT_REQUEST);
	ck_assert_int_eq(f.http_status, 503);
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"outcome\":\"not-run\""));
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"code\":\"no-router\""));
	fixture_stop(&f);
}
END_TEST

/* Guards against a refusal that loses its code or is submitted again. */
START_TEST(refusal_is_forwarded_with_its_code)
{
	struct fixture f;

	fixture_start(&f);
	f.behaviours[0] = BEHAVIOUR_REFUSE;
	fixture_post(&f, PIPELINE_REQUEST);
	ck_assert_int_eq(f.http_status, 503);
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"not-run\""));
	ck_assert_ptr_nonnull(strstr(f.body.data, "queue-full"));
	ck_assert_int_eq(submit_count(&f), 1);
	fixture_stop(&f);
}
END_TEST

/* Guards against requests that are dropped when a router drains. */
START_TEST(moved_request_is_submitted_again)
{
	struct fixture f;

	fixture_start(&f);
	f.behaviours[0] = BEHAVIOUR_MOVE;
	fixture_post(&f, PIPELINE_REQUEST);
	ck_assert_str_eq(f.body.data, COMPLETE_RESPONSE);
	ck_assert_int_eq(submit_count(&f), 2);
	fixture_stop(&f);
}
END_TEST

/* Guards against a caller without a response after its deadline. */
START_TEST(unresponsive_router_ends_in_deadline_response)
{
	struct fixture f;
	char body[256];
	int64_t deadline;

	fixture_start(&f);
	f.behaviours[0] = BEHAVIOUR_HOLD;
	deadline = loop_now(f.loop) + 300 * LOOP_USEC_PER_MSEC;
	snprintf(body, sizeof(body),
	    "{'organisation':'o','service':'m','operation':'draft',"
	    "'prompt':'hello','max_tokens':4,'deadline':%lld}",
	    (long long)(deadline / LOOP_USEC_PER_MSEC));
	fixture_post(&f, body);
	ck_assert_int_lt(loop_now(f.loop), deadline + LOOP_USEC_PER_SEC);
	ck_assert_int_eq(f.http_status, 200);
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"outcome\":\"unknown\""));
	ck_assert_ptr_nonnull(strstr(f.body.data, "\"code\":\"deadline\""));
	ck_assert(harness_wait(f.loop, has_received_cancel, &f));
	fixture_stop(&f);
}
END_TEST

/* Guards against work that continues after its caller has disconnected. */
START_TEST(disconnected_caller_is_cancelled)
{
	struct fixture f;
	struct fetch_call *call;

	fixture_start(&f);
	f.behaviours[0] = BEHAVIOUR_HOLD;
	call = fixture_call(&f, "POST", "/v1/requests",
	    "{\"organisation\":\"o\",\"service\":\"m\",\"operation\":\"d\","
	    "\"prompt\":\"\",\"max_tokens\":4}",
	    0);
	ck_assert(harness_wait(f.loop, has_received_submit, &f));
	fetch_cancel(call);
	ck_assert(harness_wait(f.loop, has_received_cancel, &f));
	fixture_stop(&f);
}
END_TEST

/* Guards against an address response that is not in the documented format. */
START_TEST(addresses_are_returned)
{
	struct fixture f;
	json_t *answer;

	fixture_start(&f);
	fixture_call(&f, "GET", "/v1/addresses?place=p1", "", 0);
	ck_assert(harness_wait(f.loop, fixture_is_done, &f));
	ck_assert_int_eq(f.http_status, 200);
	answer = json_loads(f.body.data, 0, NULL);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(answer, "addresses")), 2);
	ck_assert_int_gt(
	    json_integer_value(json_object_get(answer, "valid_until")),
	    loop_now(f.loop) / LOOP_USEC_PER_MSEC);
	json_decref(answer);
	fixture_stop(&f);
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
	const struct fixture *f = arg;
	json_t *dump = entry_dump(f->entry);
	bool stopped = json_is_false(json_object_get(dump, "listening"));

	json_decref(dump);
	return stopped;
}

/* Guards against a shutdown that refuses callers or aborts requests (G6). */
START_TEST(drain_serves_until_addresses_expire)
{
	struct fixture f;
	int64_t drain_started_at;

	fixture_start(&f);
	drain_started_at = loop_now(f.loop);
	f.proc.draining = true;
	entry_drain(f.entry);
	ck_assert(harness_wait(f.loop, is_leaving, &f));
	fixture_post(&f, PIPELINE_REQUEST);
	ck_assert_str_eq(f.body.data, COMPLETE_RESPONSE);
	f.behaviours[f.next_behaviour] = BEHAVIOUR_HOLD;
	fixture_call(&f, "POST", "/v1/requests",
	    "{\"organisation\":\"o\",\"service\":\"m\",\"operation\":\"d\","
	    "\"prompt\":\"\",\"max_tokens\":4}",
	    0);
	ck_assert(harness_wait(f.loop, has_stopped_listening, &f));
	ck_assert_int_ge(loop_now(f.loop),
	    drain_started_at + FIXTURE_VALIDITY_USEC +
		FIXTURE_DRAIN_EXTRA_USEC);
	/* The request in progress is still open and is completed. */
	ck_assert(!f.done);
	for (int i = 0; i < FIXTURE_ROUTERS; i++) {
		Ch__Submit submit = CH__SUBMIT__INIT;

		if (f.routers[i].link == NULL)
			continue;
		submit.stream = 2;
		submit.max_tokens = FIXTURE_TOKENS;
		router_send_tokens(&f.routers[i], 2, 0, FIXTURE_TOKENS);
		router_send_done(
		    &f.routers[i], &submit, CH__OUTCOME__OUTCOME_RUN, "");
	}
	ck_assert(harness_wait(f.loop, fixture_is_done, &f));
	ck_assert_str_eq(f.body.data, COMPLETE_RESPONSE);
	fixture_stop(&f);
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
	struct fixture f = {0};
	struct child child;
	char address[64];
	char url[128];

	ck_assert_int_eq(loop_create(&f.loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(f.loop, &f.fetch), STATUS_OK);
	child_start(&child, f.loop, "chestnuthoist-entry", args);
	child_address(&child, "admin=", address, sizeof(address));
	snprintf(url, sizeof(url), "http://%s/live", address);
	request.url = url;
	ck_assert_int_eq(
	    fetch_start(f.fetch, &request, &ops, &f, NULL), STATUS_OK);
	ck_assert(harness_wait(f.loop, fixture_is_done, &f));
	ck_assert_int_eq(f.status, STATUS_OK);
	ck_assert_int_eq(f.http_status, 200);
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
