#include "harness.h"

#include <string.h>

#include <glib.h>

#include "trail.h"

#define STAGES_MAX 6
#define ROUNDS 20000
#define SEED 7001

/* A route and a token with a matching trail. */
struct sample {
	char names[STAGES_MAX + 1][16];
	struct engine_stage stages[STAGES_MAX];
	struct engine_trail_step steps[STAGES_MAX + 1];
	struct engine_token token;
	struct trail_expected expected;
};

/*
 * Initializes a sample with a random number of stages of random length.
 */
static void
sample_fill(struct sample *s, GRand *rand)
{
	uint32_t count = (uint32_t)g_rand_int_range(rand, 1, STAGES_MAX + 1);
	uint32_t layer = 0;

	memset(s, 0, sizeof(*s));
	s->expected.request = lstr_from("r-1");
	s->expected.attempt = (uint32_t)g_rand_int_range(rand, 1, 5);
	s->expected.position = (uint32_t)g_rand_int_range(rand, 0, 50);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t last = layer + (uint32_t)g_rand_int_range(rand, 1, 9);

		snprintf(s->names[i], sizeof(s->names[i]), "i%u", i);
		s->stages[i].instance = lstr_from(s->names[i]);
		s->stages[i].first = layer;
		s->stages[i].last = last;
		s->steps[i].instance = lstr_from(s->names[i]);
		s->steps[i].first = layer;
		s->steps[i].last = last;
		s->steps[i].attempt = s->expected.attempt;
		s->steps[i].position = s->expected.position;
		layer = last + 1;
	}
	s->expected.stages = s->stages;
	s->expected.stage_count = count;
	s->token.request = s->expected.request;
	s->token.attempt = s->expected.attempt;
	s->token.position = s->expected.position;
	s->token.steps = s->steps;
	s->token.step_count = count;
}

/*
 * Checks the token of a sample.
 */
static enum trail_verdict
check_sample(const struct sample *s)
{
	size_t at;

	return trail_check(&s->expected, &s->token, &at);
}

/*
 * Removes the step at an index.
 */
static void
drop_step(struct sample *s, size_t at)
{
	memmove(&s->steps[at], &s->steps[at + 1],
	    (s->token.step_count - at - 1) * sizeof(s->steps[0]));
	s->token.step_count--;
}

/*
 * Inserts a copy of the step at an index directly after it.
 */
static void
duplicate_step(struct sample *s, size_t at)
{
	memmove(&s->steps[at + 1], &s->steps[at],
	    (s->token.step_count - at) * sizeof(s->steps[0]));
	s->token.step_count++;
}

/*
 * Applies one kind of change to the token and returns the expected verdict, or
 * TRAIL_OK when this kind of change is not possible for the sample.
 */
static enum trail_verdict
mutate(struct sample *s, int kind, size_t at)
{
	struct engine_trail_step swapped = s->steps[at];

	switch (kind) {
	case 0:
		s->token.request = lstr_from("r-2");
		return TRAIL_OTHER_REQUEST;
	case 1:
		s->token.attempt--;
		return TRAIL_OLD_ATTEMPT;
	case 2:
		s->token.position++;
		return TRAIL_WRONG_POSITION;
	case 3:
		s->token.position--;
		return TRAIL_WRONG_POSITION;
	case 4:
		drop_step(s, at);
		return TRAIL_GAP;
	case 5:
		duplicate_step(s, at);
		return TRAIL_REPEAT;
	case 6:
		s->steps[at].first++;
		return TRAIL_GAP;
	case 7:
		s->steps[at].last++;
		return TRAIL_OVERLAP;
	case 8:
		s->steps[at].instance = lstr_from("other");
		return TRAIL_WRONG_INSTANCE;
	case 9:
		s->steps[at].attempt--;
		return TRAIL_WRONG_STEP;
	case 10:
		s->steps[at].position++;
		return TRAIL_WRONG_STEP;
	case 11:
		if (at == 0)
			return TRAIL_OK;
		s->steps[at].first--;
		return TRAIL_OVERLAP;
	default:
		if (at == 0)
			return TRAIL_OK;
		s->steps[at] = s->steps[at - 1];
		s->steps[at - 1] = swapped;
		return TRAIL_GAP;
	}
}

/* Guards against rejecting correct tokens. */
START_TEST(exact_trail_is_accepted)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sample s;

	for (int i = 0; i < ROUNDS; i++) {
		sample_fill(&s, rand);
		ck_assert_int_eq(check_sample(&s), TRAIL_OK);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against delivering a token that the current attempt did not produce
 * along its route. Each kind of change must be rejected with its own verdict.
 */
START_TEST(each_mutation_is_refused)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sample s;
	int refused = 0;

	for (int i = 0; i < ROUNDS; i++) {
		int kind = g_rand_int_range(rand, 0, 13);
		enum trail_verdict wanted;
		size_t at;

		sample_fill(&s, rand);
		at = (size_t)g_rand_int_range(
		    rand, 0, (gint32)s.expected.stage_count);
		wanted = mutate(&s, kind, at);
		if (wanted == TRAIL_OK)
			continue;
		refused++;
		ck_assert_msg(check_sample(&s) == wanted, "kind %d: %s, not %s",
		    kind, trail_verdict_name(check_sample(&s)),
		    trail_verdict_name(wanted));
	}
	ck_assert_int_gt(refused, ROUNDS / 2);
	g_rand_free(rand);
}
END_TEST

/* Guards against accepting extra layers after the last layer of the model. */
START_TEST(extra_stage_is_refused)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sample s;
	struct engine_trail_step *extra;

	sample_fill(&s, rand);
	extra = &s.steps[s.token.step_count++];
	*extra = s.steps[s.token.step_count - 2];
	extra->first = extra->last + 1;
	extra->last = extra->first;
	ck_assert_int_eq(check_sample(&s), TRAIL_OVERLAP);
	g_rand_free(rand);
}
END_TEST

/* Guards against reporting the wrong stage for a failure. */
START_TEST(wrong_stage_is_named)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sample s;
	size_t at;

	do
		sample_fill(&s, rand);
	while (s.expected.stage_count < 3);
	s.steps[1].instance = lstr_from("other");
	ck_assert_int_eq(
	    trail_check(&s.expected, &s.token, &at), TRAIL_WRONG_INSTANCE);
	ck_assert_uint_eq(at, 1);
	g_rand_free(rand);
}
END_TEST

HARNESS_MAIN("trail", exact_trail_is_accepted, each_mutation_is_refused,
    extra_stage_is_refused, wrong_stage_is_named)
