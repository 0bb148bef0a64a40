#include "harness.h"

#include <string.h>

#include "choose.h"
#include "intake.h"
#include "stream.h"

#define SEED 11
#define NOW ((int64_t)1796362391 * LOOP_USEC_PER_SEC)
#define IN_FUTURE_MS "1796362400000"
#define REPLICAS 3
#define KEYS 300

#define INVENTORY                                                              \
	"{'places':[{'name':'p1','region':'r'},{'name':'p2','region':'r'}],"   \
	"'links':[],"                                                          \
	"'services':[{'name':'m','kind':'pipeline','layers':6},"               \
	"{'name':'s','kind':'plain'}],"                                        \
	"'accelerators':[{'kind':'k','layer_us':100}],"                        \
	"'instances':["                                                        \
	"{'name':'m1a','place':'p1','service':'m','replica':'m1',"             \
	"'address':'127.0.0.1:1','accelerator':'k','first':0,'last':2},"       \
	"{'name':'m1b','place':'p1','service':'m','replica':'m1',"             \
	"'address':'127.0.0.1:2','accelerator':'k','first':3,'last':5},"       \
	"{'name':'m1c','place':'p1','service':'m','replica':'m1',"             \
	"'address':'127.0.0.1:2','accelerator':'k','first':2,'last':5},"       \
	"{'name':'s1','place':'p1','service':'s','replica':'s1',"              \
	"'address':'127.0.0.1:3'},"                                            \
	"{'name':'s2','place':'p1','service':'s','replica':'s2',"              \
	"'address':'127.0.0.1:4'},"                                            \
	"{'name':'s3','place':'p2','service':'s','replica':'s3',"              \
	"'address':'127.0.0.1:5'}]}"
#define RULES                                                                  \
	"{'organisations':[{'name':'o','priority':1,'weight':10,"              \
	"'max_concurrent':5}],"                                                \
	"'requests':[{'service':'s','operation':'swap','idempotent':false}],"  \
	"'defaults':{'priority':3,'weight':1,'max_concurrent':2,"              \
	"'deadline_ms':9000,'allow_unknown':false}}"

/*
 * Replaces single quotes, so that JSON is readable in this file.
 */
static char *
quoted(const char *text)
{
	char *copy = strdup(text);

	ck_assert_ptr_nonnull(copy);
	for (char *c = copy; *c != '\0'; c++) {
		if (*c == '\'')
			*c = '"';
	}
	return copy;
}

/*
 * Parses JSON written with single quotes.
 */
static json_t *
load(const char *text)
{
	char *copy = quoted(text);
	json_t *json = json_loads(copy, 0, NULL);

	ck_assert_ptr_nonnull(json);
	free(copy);
	return json;
}

/*
 * Makes the configuration of the tests.
 */
static struct inv *
make_inv(void)
{
	json_t *inventory = load(INVENTORY);
	json_t *rules = load(RULES);
	struct inv *inv = NULL;

	ck_assert_msg(inv_parse(inventory, rules, &inv) == STATUS_OK, "%s",
	    status_message());
	json_decref(inventory);
	json_decref(rules);
	return inv;
}

/*
 * Parses a request; returns the code of the refusal, or NULL.
 */
static const char *
parse(const char *text, const char *key, struct intake *intake,
    struct refusal *refusal)
{
	struct inv *inv = make_inv();
	char *body = quoted(text);
	enum status status =
	    intake_parse(lstr_from(body), key, inv, NOW, intake, refusal);

	free(body);
	inv_destroy(inv);
	return status == STATUS_OK ? NULL : refusal->code;
}

/* Guards against a valid request refused or read wrongly. */
START_TEST(valid_request_is_read)
{
	struct intake intake;
	struct refusal refusal;

	ck_assert_ptr_null(parse("{'organisation':'o','service':'m',"
				 "'operation':'draft','prompt':'hello',"
				 "'max_tokens':7,'deadline':" IN_FUTURE_MS "}",
	    NULL, &intake, &refusal));
	ck_assert(lstr_equal_c(intake.organisation, "o"));
	ck_assert(lstr_equal_c(intake.prompt, "hello"));
	ck_assert_uint_eq(intake.max_tokens, 7);
	ck_assert(intake.pipeline && intake.idempotent);
	ck_assert_int_eq(intake.deadline, 1796362400 * LOOP_USEC_PER_SEC);
	intake_clear(&intake);
	ck_assert_ptr_null(parse("{'organisation':'o','service':'s',"
				 "'operation':'swap','prompt':''}",
	    "1796362391-a_B-9", &intake, &refusal));
	ck_assert(!intake.pipeline && !intake.idempotent);
	ck_assert_int_eq(intake.deadline, NOW + 9 * LOOP_USEC_PER_SEC);
	intake_clear(&intake);
}
END_TEST

/* Guards against loose parsing, which hides callers' mistakes. */
START_TEST(faulty_requests_are_refused)
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
		struct intake intake;
		struct refusal refusal;
		const char *code =
		    parse(cases[i].body, cases[i].key, &intake, &refusal);

		ck_assert_msg(code != NULL && strcmp(code, cases[i].code) == 0,
		    "%s: %s", cases[i].body, code ? code : "accepted");
		ck_assert_uint_eq(refusal.http_status, cases[i].status);
		ck_assert_uint_gt(strlen(refusal.message), 0);
	}
}
END_TEST

/* Guards against names that other processes would have to cut. */
START_TEST(long_name_is_refused)
{
	char name[INTAKE_NAME_MAX_BYTES + 2];
	char body[256];
	struct intake intake;
	struct refusal refusal;

	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	snprintf(body, sizeof(body), "{'service':'%s'}", name);
	ck_assert_str_eq(parse(body, NULL, &intake, &refusal), "too-long");
	ck_assert_ptr_nonnull(strstr(refusal.message, "service"));
}
END_TEST

/* Guards against keys whose claim would not end, and against loose forms. */
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
		struct intake intake;
		struct refusal refusal;
		const char *code = parse("{'organisation':'o','service':'s',"
					 "'operation':'swap','prompt':''}",
		    keys[i], &intake, &refusal);

		ck_assert_msg(
		    code != NULL && strcmp(code, "key-malformed") == 0,
		    "key '%s': %s", keys[i], code ? code : "accepted");
	}
}
END_TEST

/* One stream and what its last event gave. */
struct world {
	struct stream *stream;
	GRand *random;
	struct stream_outcome outcome;
};

/*
 * Makes a stream and brings it to STREAM_SENT.
 */
static void
world_start(struct world *w, bool pipeline, bool idempotent)
{
	struct intake intake = {.organisation = lstr_from("o"),
	    .service = lstr_from("m"),
	    .operation = lstr_from("x"),
	    .prompt = lstr_from("hi"),
	    .key = lstr_from("1-k"),
	    .max_tokens = 4,
	    .pipeline = pipeline,
	    .idempotent = idempotent,
	    .deadline = NOW + 10 * LOOP_USEC_PER_SEC};

	memset(w, 0, sizeof(*w));
	w->random = g_rand_new_with_seed(SEED);
	ck_assert_int_eq(
	    stream_create(
		&intake, "00112233445566778899aabbccddeeff", NOW, &w->stream),
	    STATUS_OK);
	stream_chosen(w->stream);
	stream_sent(w->stream);
}

static void
world_stop(struct world *w)
{
	stream_destroy(w->stream);
	g_rand_free(w->random);
}

static enum stream_action
token(struct world *w, uint32_t position)
{
	Ch__Token message = CH__TOKEN__INIT;
	char text[16];

	snprintf(text, sizeof(text), "t%u", position);
	message.position = position;
	message.text.data = (uint8_t *)text;
	message.text.len = strlen(text);
	return stream_on_token(
	    w->stream, &message, NOW, w->random, &w->outcome);
}

static enum stream_action
done(struct world *w, Ch__Outcome outcome, uint32_t tokens)
{
	Ch__Done message = CH__DONE__INIT;

	message.outcome = outcome;
	message.code = "code";
	message.tokens = tokens;
	message.attempt = 2;
	message.retry_at = NOW + 1;
	return stream_on_done(w->stream, &message, NOW, w->random, &w->outcome);
}

static enum stream_action
lost(struct world *w)
{
	return stream_on_lost(w->stream, NOW, w->random, &w->outcome);
}

/*
 * Submits a waiting stream again.
 */
static void
resubmit(struct world *w)
{
	stream_chosen(w->stream);
	stream_sent(w->stream);
}

/* Guards against a position delivered twice or out of order. */
START_TEST(resumed_stream_delivers_each_position_once)
{
	struct world w;
	Ch__Submit submit;
	ProtobufCBinaryData delivered[4];

	world_start(&w, true, true);
	ck_assert_int_eq(token(&w, 0), STREAM_DELIVER);
	ck_assert_int_eq(token(&w, 1), STREAM_DELIVER);
	ck_assert_int_eq(lost(&w), STREAM_RETRY);
	resubmit(&w);
	stream_submit(w.stream, 9, "m1", &submit, delivered);
	ck_assert_uint_eq(submit.n_delivered, 2);
	ck_assert(memcmp(delivered[1].data, "t1", 2) == 0);
	ck_assert_uint_gt(submit.attempt, STREAM_ATTEMPTS_RESERVED);
	ck_assert_int_eq(token(&w, 0), STREAM_NONE);
	ck_assert_int_eq(token(&w, 1), STREAM_NONE);
	ck_assert_int_eq(token(&w, 2), STREAM_DELIVER);
	ck_assert_int_eq(token(&w, 3), STREAM_DELIVER);
	ck_assert_int_eq(done(&w, CH__OUTCOME__OUTCOME_RUN, 2), STREAM_END);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_RUN);
	world_stop(&w);
}
END_TEST

/* Guards against a response with a gap. */
START_TEST(gap_gives_up_the_submission)
{
	struct world w;

	world_start(&w, true, true);
	ck_assert_int_eq(token(&w, 0), STREAM_DELIVER);
	ck_assert_int_eq(token(&w, 2), STREAM_CANCEL_AND_RETRY);
	resubmit(&w);
	ck_assert_int_eq(token(&w, 1), STREAM_DELIVER);
	/* The end says four tokens, two arrived. */
	ck_assert_int_eq(done(&w, CH__OUTCOME__OUTCOME_RUN, 4), STREAM_RETRY);
	world_stop(&w);
}
END_TEST

/* Guards against an order that runs twice after a router is lost (G4). */
START_TEST(lost_order_is_unknown)
{
	struct world w;

	world_start(&w, false, false);
	ck_assert_int_eq(lost(&w), STREAM_END);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	ck_assert_str_eq(w.outcome.code, "router-lost");
	world_stop(&w);
}
END_TEST

/* Guards against "unknown" for an order that was never submitted. */
START_TEST(unsent_order_is_not_run)
{
	struct world w;

	world_start(&w, false, false);
	w.stream->state = STREAM_CONNECTING;
	ck_assert_int_eq(lost(&w), STREAM_RETRY);
	ck_assert_int_eq(
	    stream_on_time(w.stream, NOW, &w.outcome), STREAM_NONE);
	ck_assert_int_eq(
	    stream_on_time(w.stream, NOW + STREAM_ROUTER_WAIT_USEC, &w.outcome),
	    STREAM_END);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(w.outcome.code, "no-router");
	world_stop(&w);
}
END_TEST

/* Guards against an order that is dropped when its router drains. */
START_TEST(moved_order_is_submitted_again)
{
	struct world w;

	world_start(&w, false, false);
	ck_assert_int_eq(done(&w, CH__OUTCOME__OUTCOME_MOVED, 0), STREAM_RETRY);
	resubmit(&w);
	ck_assert_int_eq(done(&w, CH__OUTCOME__OUTCOME_NOT_RUN, 0), STREAM_END);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_int_eq(w.outcome.retry_at, NOW + 1);
	world_stop(&w);
}
END_TEST

/* Guards against "not run" after a part ran (G3). */
START_TEST(refusal_after_a_part_ran_is_never_not_run)
{
	struct world w;
	enum stream_action action = STREAM_NONE;

	world_start(&w, true, true);
	token(&w, 0);
	ck_assert_int_eq(lost(&w), STREAM_RETRY);
	for (int i = 0; i < STREAM_SUBMISSIONS_MAX; i++) {
		resubmit(&w);
		action = done(&w, CH__OUTCOME__OUTCOME_NOT_RUN, 0);
		if (action == STREAM_END)
			break;
	}
	ck_assert_int_eq(action, STREAM_END);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	ck_assert_uint_eq(w.stream->submissions, STREAM_SUBMISSIONS_MAX);
	world_stop(&w);
}
END_TEST

/* Guards against resubmission without end. */
START_TEST(resubmission_is_bounded)
{
	struct world w;
	int count = 1;

	world_start(&w, true, true);
	while (lost(&w) == STREAM_RETRY) {
		resubmit(&w);
		count++;
		ck_assert_int_le(count, STREAM_SUBMISSIONS_MAX);
	}
	ck_assert_int_eq(count, STREAM_SUBMISSIONS_MAX);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	world_stop(&w);
}
END_TEST

/* Guards against a resubmission past the deadline. */
START_TEST(no_resubmission_past_the_deadline)
{
	struct world w;

	world_start(&w, true, true);
	ck_assert_int_eq(
	    stream_on_lost(w.stream, w.stream->deadline, w.random, &w.outcome),
	    STREAM_END);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
	world_stop(&w);
}
END_TEST

/* Guards against a whole response answered as unknown. */
START_TEST(lost_router_after_the_last_token_is_run)
{
	struct world w;

	world_start(&w, true, true);
	for (uint32_t i = 0; i < 4; i++)
		ck_assert_int_eq(token(&w, i), STREAM_DELIVER);
	ck_assert_int_eq(lost(&w), STREAM_END);
	ck_assert_int_eq(w.outcome.outcome, CH__OUTCOME__OUTCOME_RUN);
	world_stop(&w);
}
END_TEST

/* Guards against a request without an answer after its deadline. */
START_TEST(deadline_ends_every_state)
{
	static const bool idempotent[] = {true, false};

	for (int i = 0; i < 2; i++) {
		struct world w;
		int64_t last;

		world_start(&w, true, idempotent[i]);
		last = w.stream->deadline + LOOP_USEC_PER_SEC;
		ck_assert_int_eq(
		    stream_on_time(w.stream, w.stream->deadline, &w.outcome),
		    STREAM_NONE);
		ck_assert_int_eq(
		    stream_on_time(w.stream, last, &w.outcome), STREAM_END);
		ck_assert_int_eq(
		    w.outcome.outcome, CH__OUTCOME__OUTCOME_UNKNOWN);
		ck_assert_str_eq(w.outcome.code, "deadline");
		world_stop(&w);
		world_start(&w, true, idempotent[i]);
		w.stream->state = STREAM_WAITING;
		ck_assert_int_eq(
		    stream_on_time(w.stream, last, &w.outcome), STREAM_END);
		ck_assert_int_eq(
		    w.outcome.outcome, CH__OUTCOME__OUTCOME_NOT_RUN);
		world_stop(&w);
	}
}
END_TEST

/* What the choice of a replica is told in the tests. */
struct choice {
	const char *leaving;
	uint32_t without_router;
	uint32_t busy;
};

static const char *
router_of(uint32_t replica, void *arg)
{
	struct choice *c = arg;

	return replica == c->without_router ? NULL : "127.0.0.1:9";
}

static bool
is_leaving(struct lstr instance, void *arg)
{
	struct choice *c = arg;

	return c->leaving != NULL && lstr_equal_c(instance, c->leaving);
}

static uint32_t
open_on(uint32_t replica, void *arg)
{
	struct choice *c = arg;

	return replica == c->busy ? 5 : 0;
}

/*
 * Chooses a replica of a service by name.
 */
static uint32_t
choose(const struct inv *inv, struct choice *c, const char *service,
    const char *key, const char *avoid, GRand *random)
{
	struct choose_world world = {.inv = inv,
	    .place = inv_find_place(inv, lstr_from("p1")),
	    .router = router_of,
	    .leaving = is_leaving,
	    .outstanding = open_on,
	    .arg = c};
	struct choose_result result;

	if (choose_replica(&world, inv_find_service(inv, lstr_from(service)),
		lstr_from(key), lstr_from(avoid), random, &result) != STATUS_OK)
		return INV_NONE;
	return result.replica;
}

/* Guards against a pipeline sent where a layer has no instance. */
START_TEST(replica_without_a_chain_is_not_chosen)
{
	struct inv *inv = make_inv();
	GRand *random = g_rand_new_with_seed(SEED);
	struct choice c = {.without_router = INV_NONE, .busy = INV_NONE};

	ck_assert_uint_ne(choose(inv, &c, "m", "", "", random), INV_NONE);
	c.leaving = "m1c";
	ck_assert_uint_ne(choose(inv, &c, "m", "", "", random), INV_NONE);
	/* m1c overlaps m1a, so it does not stand in for m1b. */
	c.leaving = "m1b";
	ck_assert_uint_eq(choose(inv, &c, "m", "", "", random), INV_NONE);
	g_rand_free(random);
	inv_destroy(inv);
}
END_TEST

/* Guards against one key sent to two replicas, and keys all sent to one. */
START_TEST(key_decides_the_replica)
{
	struct inv *inv = make_inv();
	GRand *random = g_rand_new_with_seed(SEED);
	struct choice c = {.without_router = INV_NONE, .busy = INV_NONE};
	uint32_t first = inv_find_replica(inv, lstr_from("s"), lstr_from("s1"));
	int counts[REPLICAS] = {0};

	for (int i = 0; i < KEYS; i++) {
		char key[32];
		uint32_t chosen;

		snprintf(key, sizeof(key), "1-%d", i);
		chosen = choose(inv, &c, "s", key, "", random);
		ck_assert_uint_eq(
		    chosen, choose(inv, &c, "s", key, "", random));
		counts[chosen - first]++;
	}
	for (int i = 0; i < REPLICAS; i++)
		ck_assert_int_gt(counts[i], KEYS / REPLICAS / 2);
	g_rand_free(random);
	inv_destroy(inv);
}
END_TEST

/* Guards against lookups sent to busy replicas or without a router. */
START_TEST(lookups_go_to_idle_replicas_with_a_router)
{
	struct inv *inv = make_inv();
	GRand *random = g_rand_new_with_seed(SEED);
	uint32_t first = inv_find_replica(inv, lstr_from("s"), lstr_from("s1"));
	struct choice c = {.without_router = first, .busy = first + 1};

	/* Of the two that have a router, one is busy. */
	for (int i = 0; i < KEYS; i++)
		ck_assert_uint_eq(
		    choose(inv, &c, "s", "", "", random), first + 2);
	for (int i = 0; i < KEYS; i++)
		ck_assert_uint_eq(
		    choose(inv, &c, "s", "", "s3", random), first + 1);
	g_rand_free(random);
	inv_destroy(inv);
}
END_TEST

HARNESS_MAIN("entry", valid_request_is_read, faulty_requests_are_refused,
    long_name_is_refused, malformed_keys_are_refused,
    resumed_stream_delivers_each_position_once, gap_gives_up_the_submission,
    lost_order_is_unknown, unsent_order_is_not_run,
    moved_order_is_submitted_again, refusal_after_a_part_ran_is_never_not_run,
    resubmission_is_bounded, no_resubmission_past_the_deadline,
    lost_router_after_the_last_token_is_run, deadline_ends_every_state,
    replica_without_a_chain_is_not_chosen, key_decides_the_replica,
    lookups_go_to_idle_replicas_with_a_router)
