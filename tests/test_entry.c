#include "entry_inv.h"

#include "caller_request.h"
#include "stream.h"

#define SEED 11
#define NOW ((int64_t)1796362391 * LOOP_USEC_PER_SEC)
#define IN_FUTURE_MS "1796362400000"

/*
 * Parses a request; returns the code of the refusal, or NULL.
 */
static const char *
parse(const char *text, const char *key, struct caller_request *caller_request,
    struct refusal *refusal)
{
	struct inv *inv = make_inv();
	char *body = replace_quotes(text);
	enum status status = caller_request_parse(
	    lstr_from(body), key, inv, NOW, caller_request, refusal);

	free(body);
	inv_destroy(inv);
	return status == STATUS_OK ? NULL : refusal->code;
}

/* Guards against a valid request that is refused or parsed incorrectly. */
START_TEST(valid_request_is_parsed)
{
	struct caller_request caller_request;
	struct refusal refusal;

	ck_assert_ptr_null(parse("{'organisation':'o','service':'m',"
				 "'operation':'draft','prompt':'hello',"
				 "'max_tokens':7,'deadline':" IN_FUTURE_MS "}",
	    NULL, &caller_request, &refusal));
	ck_assert(lstr_equal_c(caller_request.organisation, "o"));
	ck_assert(lstr_equal_c(caller_request.prompt, "hello"));
	ck_assert_uint_eq(caller_request.max_tokens, 7);
	ck_assert(caller_request.pipeline && caller_request.idempotent);
	ck_assert_int_eq(
	    caller_request.deadline, 1796362400 * LOOP_USEC_PER_SEC);
	caller_request_clear(&caller_request);
	ck_assert_ptr_null(parse("{'organisation':'o','service':'s',"
				 "'operation':'swap','prompt':''}",
	    "1796362391-a_B-9", &caller_request, &refusal));
	ck_assert(!caller_request.pipeline && !caller_request.idempotent);
	ck_assert_int_eq(caller_request.deadline, NOW + 9 * LOOP_USEC_PER_SEC);
	caller_request_clear(&caller_request);
}
END_TEST

/* Guards against lenient parsing, which hides callers' mistakes. */
START_TEST(invalid_requests_are_refused)
{
	static const struct {
		const char *body;
		const char *key;
		unsigned int status;
		const char *code;
	} cases[] = {
	    {"", NULL, 400, "malformed"},
	    {"[]", NULL, 400, "malformed"},
	    {"{'organisation':'o'", NULL, 400, "malformed"},
	    {"{'organisation':'o','organisation':'o'}", NULL, 400,
		"duplicate-key"},
	    {"{'organisation':'o','extra':1}", NULL, 400, "unknown-field"},
	    {"{'organisation':1}", NULL, 400, "wrong-type"},
	    {"{'organisation':''}", NULL, 400, "empty"},
	    {"{'max_tokens':0}", NULL, 400, "out-of-range"},
	    {"{'max_tokens':1.5}", NULL, 400, "wrong-type"},
	    {"{'max_tokens':8193}", NULL, 400, "out-of-range"},
	    {"{'organisation':'o','service':'s','operation':'x'}", NULL, 400,
		"missing-field"},
	    {"{'organisation':'o','service':'m','operation':'x',"
	     "'prompt':''}",
		NULL, 400, "missing-field"},
	    {"{'organisation':'o','service':'z','operation':'x',"
	     "'prompt':''}",
		NULL, 404, "unknown-service"},
	    {"{'organisation':'z','service':'s','operation':'x',"
	     "'prompt':''}",
		NULL, 403, "unknown-organisation"},
	    {"{'organisation':'o','service':'s','operation':'x',"
	     "'prompt':'','deadline':1}",
		NULL, 400, "deadline-passed"},
	    {"{'organisation':'o','service':'s','operation':'x',"
	     "'prompt':'','deadline':9223372036854775}",
		NULL, 400, "out-of-range"},
	    {"{'organisation':'o','service':'s','operation':'swap',"
	     "'prompt':''}",
		NULL, 400, "key-missing"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct caller_request caller_request;
		struct refusal refusal;
		const char *code = parse(
		    cases[i].body, cases[i].key, &caller_request, &refusal);

		ck_assert_msg(code != NULL && strcmp(code, cases[i].code) == 0,
		    "%s: %s", cases[i].body, code ? code : "accepted");
		ck_assert_uint_eq(refusal.http_status, cases[i].status);
		ck_assert_uint_gt(strlen(refusal.message), 0);
	}
}
END_TEST

/* Guards against names that other processes would have to truncate. */
START_TEST(overlong_name_is_refused)
{
	char name[CALLER_REQUEST_NAME_MAX_BYTES + 2];
	char body[256];
	struct caller_request caller_request;
	struct refusal refusal;

	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	snprintf(body, sizeof(body), "{'service':'%s'}", name);
	ck_assert_str_eq(
	    parse(body, NULL, &caller_request, &refusal), "too-long");
	ck_assert_ptr_nonnull(strstr(refusal.message, "service"));
}
END_TEST

/*
 * Guards against keys whose claim would not expire, and against lenient parsing
 * of keys.
 */
START_TEST(malformed_keys_are_refused)
{
	/* 65 characters after the issue time. */
	static const char long_key[] =
	    "1796362391-0123456789012345678901234567890123456789"
	    "0123456789012345678901234";
	static const char *const keys[] = {"", "1796362391", "1796362391-",
	    "-a", "x-a", "1796362391-a b", "1796362391-a.b",
	    "1796362391-\xc3\xa4", "1796362999-a", "9999999999999-a", long_key};

	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		struct caller_request caller_request;
		struct refusal refusal;
		const char *code = parse("{'organisation':'o','service':'s',"
					 "'operation':'swap','prompt':''}",
		    keys[i], &caller_request, &refusal);

		ck_assert_msg(
		    code != NULL && strcmp(code, "key-malformed") == 0,
		    "key '%s': %s", keys[i], code ? code : "accepted");
	}
}
END_TEST

/* A stream and the outcome that its last event returned. */
struct fixture {
	struct stream *stream;
	GRand *random;
	struct stream_outcome outcome;
};

/*
 * Creates a stream and moves it to STREAM_SENT.
 */
static void
fixture_start(struct fixture *f, bool pipeline, bool idempotent)
{
	struct caller_request caller_request = {.organisation = lstr_from("o"),
	    .service = lstr_from("m"),
	    .operation = lstr_from("x"),
	    .prompt = lstr_from("hi"),
	    .key = lstr_from("1-k"),
	    .max_tokens = 4,
	    .pipeline = pipeline,
	    .idempotent = idempotent,
	    .deadline = NOW + 10 * LOOP_USEC_PER_SEC};

	memset(f, 0, sizeof(*f));
	f->random = g_rand_new_with_seed(SEED);
	ck_assert_int_eq(
	    stream_create(&caller_request, "00112233445566778899aabbccddeeff",
		NOW, &f->stream),
	    STATUS_OK);
	stream_router_chosen(f->stream);
	stream_submitted(f->stream);
}

static void
fixture_stop(struct fixture *f)
{
	stream_destroy(f->stream);
	g_rand_free(f->random);
}

static enum stream_action
receive_token(struct fixture *f, uint32_t position)
{
	Ch__Token message = CH__TOKEN__INIT;
	char text[16];

	snprintf(text, sizeof(text), "t%u", position);
	message.position = position;
	message.text.data = (uint8_t *)text;
	message.text.len = strlen(text);
	return stream_on_token(
	    f->stream, &message, NOW, f->random, &f->outcome);
}

static enum stream_action
receive_done(struct fixture *f, Ch__Outcome outcome, uint32_t tokens)
{
	Ch__Done message = CH__DONE__INIT;

	message.outcome = outcome;
	message.code = "code";
	message.tokens = tokens;
	message.attempt = 2;
	message.retry_at = NOW + 1;
	return stream_on_done(f->stream, &message, NOW, f->random, &f->outcome);
}

static enum stream_action
lose_link(struct fixture *f)
{
	return stream_on_link_lost(f->stream, NOW, f->random, &f->outcome);
}

/*
 * Submits a waiting stream again.
 */
static void
resubmit(struct fixture *f)
{
	stream_router_chosen(f->stream);
	stream_submitted(f->stream);
}

/* Guards against a position that is delivered twice or out of order. */
START_TEST(resumed_stream_delivers_each_position_once)
{
	struct fixture f;
	Ch__Submit submit;
	ProtobufCBinaryData delivered[4];

	fixture_start(&f, true, true);
	ck_assert_int_eq(receive_token(&f, 0), STREAM_DELIVER);
	ck_assert_int_eq(receive_token(&f, 1), STREAM_DELIVER);
	ck_assert_int_eq(lose_link(&f), STREAM_RETRY);
	resubmit(&f);
	stream_fill_submit(f.stream, 9, "m1", &submit, delivered);
	ck_assert_uint_eq(submit.n_delivered, 2);
	ck_assert(memcmp(delivered[1].data, "t1", 2) == 0);
	ck_assert_uint_gt(submit.attempt, STREAM_ATTEMPTS_RESERVED);
	ck_assert_int_eq(receive_token(&f, 0), STREAM_NO_ACTION);
	ck_assert_int_eq(receive_token(&f, 1), STREAM_NO_ACTION);
	ck_assert_int_eq(receive_token(&f, 2), STREAM_DELIVER);
	ck_assert_int_eq(receive_token(&f, 3), STREAM_DELIVER);
	ck_assert_int_eq(
	    receive_done(&f, CH__OUTCOME__OUTCOME_RUN, 2), STREAM_END);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_RUN);
	fixture_stop(&f);
}
END_TEST

/* Guards against a response with a gap. */
START_TEST(gap_cancels_and_retries_the_submission)
{
	struct fixture f;

	fixture_start(&f, true, true);
	ck_assert_int_eq(receive_token(&f, 0), STREAM_DELIVER);
	ck_assert_int_eq(receive_token(&f, 2), STREAM_CANCEL_AND_RETRY);
	resubmit(&f);
	ck_assert_int_eq(receive_token(&f, 1), STREAM_DELIVER);
	/* Done announces four tokens, but only two have arrived. */
	ck_assert_int_eq(
	    receive_done(&f, CH__OUTCOME__OUTCOME_RUN, 4), STREAM_RETRY);
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against a non-idempotent request that runs twice after its router is
 * lost (G4).
 */
START_TEST(lost_non_idempotent_request_is_unknown)
{
	struct fixture f;

	fixture_start(&f, false, false);
	ck_assert_int_eq(lose_link(&f), STREAM_END);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	ck_assert_str_eq(f.outcome.code, "router-lost");
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against outcome "unknown" for a non-idempotent request that was never
 * submitted.
 */
START_TEST(unsent_non_idempotent_request_is_not_run)
{
	struct fixture f;

	fixture_start(&f, false, false);
	f.stream->state = STREAM_CONNECTING;
	ck_assert_int_eq(lose_link(&f), STREAM_RETRY);
	ck_assert_int_eq(
	    stream_check_timeouts(f.stream, NOW, &f.outcome), STREAM_NO_ACTION);
	ck_assert_int_eq(stream_check_timeouts(f.stream,
			     NOW + STREAM_ROUTER_WAIT_USEC, &f.outcome),
	    STREAM_END);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(f.outcome.code, "no-router");
	fixture_stop(&f);
}
END_TEST

/*
 * Guards against a non-idempotent request that is dropped when its router
 * drains.
 */
START_TEST(moved_non_idempotent_request_is_submitted_again)
{
	struct fixture f;

	fixture_start(&f, false, false);
	ck_assert_int_eq(
	    receive_done(&f, CH__OUTCOME__OUTCOME_MOVED, 0), STREAM_RETRY);
	resubmit(&f);
	ck_assert_int_eq(
	    receive_done(&f, CH__OUTCOME__OUTCOME_NOT_RUN, 0), STREAM_END);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_int_eq(f.outcome.retry_at, NOW + 1);
	fixture_stop(&f);
}
END_TEST

/* Guards against outcome "not run" after a part of the request has run (G3). */
START_TEST(refusal_after_partial_run_is_unknown)
{
	struct fixture f;
	enum stream_action action = STREAM_NO_ACTION;

	fixture_start(&f, true, true);
	receive_token(&f, 0);
	ck_assert_int_eq(lose_link(&f), STREAM_RETRY);
	for (int i = 0; i < STREAM_SUBMISSIONS_MAX; i++) {
		resubmit(&f);
		action = receive_done(&f, CH__OUTCOME__OUTCOME_NOT_RUN, 0);
		if (action == STREAM_END)
			break;
	}
	ck_assert_int_eq(action, STREAM_END);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	ck_assert_uint_eq(f.stream->submissions, STREAM_SUBMISSIONS_MAX);
	fixture_stop(&f);
}
END_TEST

/* Guards against unlimited resubmission. */
START_TEST(resubmission_is_bounded)
{
	struct fixture f;
	int count = 1;

	fixture_start(&f, true, true);
	while (lose_link(&f) == STREAM_RETRY) {
		resubmit(&f);
		count++;
		ck_assert_int_le(count, STREAM_SUBMISSIONS_MAX);
	}
	ck_assert_int_eq(count, STREAM_SUBMISSIONS_MAX);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	fixture_stop(&f);
}
END_TEST

/* Guards against a resubmission after the deadline. */
START_TEST(no_resubmission_past_the_deadline)
{
	struct fixture f;

	fixture_start(&f, true, true);
	ck_assert_int_eq(stream_on_link_lost(f.stream, f.stream->deadline,
			     f.random, &f.outcome),
	    STREAM_END);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	fixture_stop(&f);
}
END_TEST

/* Guards against outcome "unknown" for a complete response. */
START_TEST(router_loss_after_last_token_is_run)
{
	struct fixture f;

	fixture_start(&f, true, true);
	for (uint32_t i = 0; i < 4; i++)
		ck_assert_int_eq(receive_token(&f, i), STREAM_DELIVER);
	ck_assert_int_eq(lose_link(&f), STREAM_END);
	ck_assert_int_eq(f.outcome.outcome, CH__OUTCOME__OUTCOME_RUN);
	fixture_stop(&f);
}
END_TEST

/* Guards against a request that is still open after its deadline. */
START_TEST(deadline_ends_every_state)
{
	static const bool idempotent[] = {true, false};

	for (int i = 0; i < 2; i++) {
		struct fixture f;
		int64_t last;

		fixture_start(&f, true, idempotent[i]);
		last = f.stream->deadline + LOOP_USEC_PER_SEC;
		ck_assert_int_eq(stream_check_timeouts(
				     f.stream, f.stream->deadline, &f.outcome),
		    STREAM_NO_ACTION);
		ck_assert_int_eq(
		    stream_check_timeouts(f.stream, last, &f.outcome),
		    STREAM_END);
		ck_assert_int_eq(
		    f.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
		ck_assert_str_eq(f.outcome.code, "deadline");
		fixture_stop(&f);
		fixture_start(&f, true, idempotent[i]);
		f.stream->state = STREAM_WAITING;
		ck_assert_int_eq(
		    stream_check_timeouts(f.stream, last, &f.outcome),
		    STREAM_END);
		ck_assert_int_eq(
		    f.outcome.outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
		fixture_stop(&f);
	}
}
END_TEST

HARNESS_MAIN("entry", valid_request_is_parsed, invalid_requests_are_refused,
    overlong_name_is_refused, malformed_keys_are_refused,
    resumed_stream_delivers_each_position_once,
    gap_cancels_and_retries_the_submission,
    lost_non_idempotent_request_is_unknown,
    unsent_non_idempotent_request_is_not_run,
    moved_non_idempotent_request_is_submitted_again,
    refusal_after_partial_run_is_unknown, resubmission_is_bounded,
    no_resubmission_past_the_deadline, router_loss_after_last_token_is_run,
    deadline_ends_every_state)
