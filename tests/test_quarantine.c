#include "harness.h"

#include "quarantine_sim.h"

/* Seeds of each load; the environment variable SEEDS asks for more. */
#define SEEDS 6
#define RUN_USEC (30 * SIM_SECOND_USEC)
/* For a large fleet, which takes longer to simulate. */
#define LARGE_RUN_USEC (9 * SIM_SECOND_USEC)
/* Requests with a deadly part that may be sent after the fifth crash; see
 * BUDGET in the users' rules. */
#define SENT_AFTER_FIFTH_MAX 3
/* Most sound requests that may be refused; see DENIED in the users' rules. */
#define SOUND_REFUSED_BASE 5
#define SOUND_REFUSED_SHARE 500

static const struct sim_load base_load = {.nodes = 8,
    .requests_per_sec = 100,
    .deadly_share = 0.03,
    .deadly_from = SIM_START_USEC + 4 * SIM_SECOND_USEC,
    .deadly_depth = 1};

/* What all seeds of a load showed. */
struct result {
	int64_t fastest;
	int64_t slowest;
	uint32_t crashes;
	uint32_t sent_after_fifth;
	uint32_t sound_refused;
	uint32_t sound_requests;
	uint32_t rows;
	uint32_t reports;
};

/*
 * Adds one run to the result of its load.
 */
static void
add_run(struct result *result, const struct sim *sim)
{
	int64_t known = sim->known_to_all_at == 0
	    ? 0
	    : sim->known_to_all_at - sim->load.deadly_from;

	if (result->fastest == 0 || known < result->fastest)
		result->fastest = known;
	result->slowest = MAX(result->slowest, known);
	result->crashes = MAX(result->crashes, sim->deadly_crashes);
	result->sent_after_fifth =
	    MAX(result->sent_after_fifth, sim->sent_after_fifth);
	result->sound_refused += sim->sound_refused;
	result->sound_requests += sim->sound_requests;
	result->rows += sim->rows_sent;
	result->reports += sim->reports_sent;
}

/*
 * Prints the result of a load.
 */
static void
print_result(
    const struct sim_load *load, uint32_t seeds, const struct result *result)
{
	printf(
	    "%u nodes, %.0f requests/s, %.2f deadly at depth %u%s, %.0f "
	    "other crashes/s, %.1f resets, %.0f restarts/s, %u seeds: known "
	    "to all after %.2f to %.2f s; at most %u servers ended, %u "
	    "requests sent after the fifth; %u of %u sound requests refused; "
	    "%.2f rows a report\n",
	    load->nodes, load->requests_per_sec, load->deadly_share,
	    load->deadly_depth, load->was_sound ? ", sound before" : "",
	    load->crashes_per_sec, load->resets, load->restarts_per_sec, seeds,
	    (double)result->fastest / (double)SIM_SECOND_USEC,
	    (double)result->slowest / (double)SIM_SECOND_USEC, result->crashes,
	    result->sent_after_fifth, result->sound_refused,
	    result->sound_requests,
	    (double)result->rows / (double)MAX(result->reports, 1u));
}

/*
 * Checks that few requests with a deadly part are sent and few sound ones are
 * refused, for all seeds of a load. Prints the results if SEEDS is set.
 */
static void
check_load(const struct sim_load *load, uint32_t seeds, int64_t usec)
{
	static struct sim sim;
	const char *wanted = getenv("SEEDS");
	struct result result = {0};

	if (wanted != NULL)
		seeds = (uint32_t)atoi(wanted);
	for (uint32_t seed = 1; seed <= seeds; seed++) {
		sim_init(&sim, load, seed);
		sim_run(&sim, usec);
		ck_assert_msg(sim.sent_after_fifth <= SENT_AFTER_FIFTH_MAX,
		    "seed %u: %u deadly requests were sent late", seed,
		    sim.sent_after_fifth);
		ck_assert_msg(sim.sound_refused <= SOUND_REFUSED_BASE +
			    sim.sound_requests / SOUND_REFUSED_SHARE,
		    "seed %u: %u of %u sound requests were refused", seed,
		    sim.sound_refused, sim.sound_requests);
		if (load->deadly_share > 0 && load->restarts_per_sec == 0)
			ck_assert_msg(sim.known_to_all_at != 0,
			    "seed %u: not all nodes refuse the part", seed);
		add_run(&result, &sim);
		sim_destroy(&sim);
	}
	if (wanted != NULL)
		print_result(load, seeds, &result);
}

/* Guards against requests of one kind that end one server after the other
 * (BUDGET), and against the refusal of sound ones beside them. */
START_TEST(deadly_part_is_refused_after_few_crashes)
{
	struct sim_load load = base_load;

	check_load(&load, SEEDS, RUN_USEC);
	load.deadly_share = 0.3;
	check_load(&load, SEEDS, RUN_USEC);
	load.deadly_share = 0.01;
	check_load(&load, SEEDS, RUN_USEC);
}
END_TEST

/* Guards against a first part that ends servers whatever follows it, which must
 * not be taken for the parts that follow. */
START_TEST(deadly_first_part_is_refused)
{
	struct sim_load load = base_load;

	load.deadly_depth = 0;
	check_load(&load, SEEDS, RUN_USEC);
}
END_TEST

/* Guards against a part that begins to end servers after it had come
 * through. */
START_TEST(part_that_becomes_deadly_is_refused)
{
	struct sim_load load = base_load;

	load.was_sound = true;
	check_load(&load, SEEDS, RUN_USEC);
	load.deadly_share = 0.3;
	check_load(&load, SEEDS, RUN_USEC);
}
END_TEST

/* Guards against sound parts that are suspected because servers end for other
 * reasons, and against connections that are reset taken for servers that end.
 */
START_TEST(sound_parts_are_not_refused_beside_other_trouble)
{
	struct sim_load load = base_load;

	load.deadly_share = 0;
	load.crashes_per_sec = 4;
	check_load(&load, SEEDS, RUN_USEC);
	load.resets = 0.2;
	check_load(&load, SEEDS, RUN_USEC);
	load.deadly_share = 0.03;
	check_load(&load, SEEDS, RUN_USEC);
}
END_TEST

/* Guards against nodes that have started and do not know what the others
 * refuse. */
START_TEST(nodes_that_start_learn_the_evidence)
{
	struct sim_load load = base_load;

	load.restarts_per_sec = 1;
	load.crashes_per_sec = 1;
	check_load(&load, SEEDS, RUN_USEC);
}
END_TEST

/* Guards against evidence that does not reach all nodes of a large fleet, in
 * which each hears a few others. */
START_TEST(evidence_reaches_all_nodes_of_a_large_fleet)
{
	struct sim_load load = base_load;

	load.nodes = 80;
	load.requests_per_sec = 300;
	check_load(&load, 2, LARGE_RUN_USEC);
	load.nodes = 295;
	load.requests_per_sec = 1000;
	check_load(&load, 1, LARGE_RUN_USEC);
}
END_TEST

/*
 * Records crashes of different servers, 200 ms apart, in which the given parts
 * were in hand. Returns the time after them.
 */
static int64_t
crash_servers(struct quarantine *quarantine, const uint64_t *parts,
    size_t count, uint32_t first_server, uint32_t crashes, int64_t now)
{
	for (uint32_t i = 0; i < crashes; i++) {
		quarantine_note_crash(quarantine, parts, count,
		    first_server + i, first_server + i, now);
		now += 200000;
	}
	return now;
}

/* Guards against the refusal of the part that sound requests share with those
 * that end servers, when both are in hand at the same crashes. */
START_TEST(deepest_of_the_parts_with_the_same_crashes_is_confirmed)
{
	const uint64_t parts[] = {1, 2};
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	int64_t now =
	    crash_servers(quarantine, parts, 2, 10, 4, SIM_START_USEC);

	now += SIM_SECOND_USEC;
	quarantine_tick(quarantine, now);
	ck_assert_int_eq(
	    quarantine_check(quarantine, &parts[0], 1, now), QUARANTINE_PASS);
	ck_assert_int_eq(
	    quarantine_check(quarantine, parts, 2, now), QUARANTINE_REFUSE);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against one event that ends many servers, and one request that is cut
 * wherever it is sent, being taken for a deadly part. */
START_TEST(one_event_or_one_request_is_not_sufficient)
{
	const uint64_t part = 1;
	const uint64_t other = 2;
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	int64_t now = SIM_START_USEC;

	for (uint32_t i = 0; i < QUARANTINE_CRASHES_MAX; i++)
		quarantine_note_crash(
		    quarantine, &part, 1, 10 + i, 10 + i, now + i * 1000);
	for (uint32_t i = 0; i < QUARANTINE_CRASHES_MAX; i++)
		quarantine_note_crash(
		    quarantine, &other, 1, 30 + i, 30, now + i * 200000);
	quarantine_tick(quarantine, now + 5 * SIM_SECOND_USEC);
	ck_assert_uint_eq(
	    quarantine_count(quarantine, QUARANTINE_CONFIRMED), 0);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against suspicion that stays after the part has come through, and
 * against a server being held dead that answers. */
START_TEST(part_is_released_when_it_comes_through_or_servers_answer)
{
	const uint64_t part = 1;
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	int64_t now =
	    crash_servers(quarantine, &part, 1, 10, 3, SIM_START_USEC);

	ck_assert_int_eq(
	    quarantine_check(quarantine, &part, 1, now), QUARANTINE_ONCE);
	ck_assert(quarantine_note_sound(quarantine, &part, 1, now));
	ck_assert_int_eq(
	    quarantine_check(quarantine, &part, 1, now), QUARANTINE_PASS);
	now = crash_servers(quarantine, &part, 1, 20, 3, now + 1);
	for (uint32_t i = 0; i < 3; i++)
		quarantine_note_alive(quarantine, 20 + i, now, now + 100000);
	ck_assert_int_eq(
	    quarantine_check(quarantine, &part, 1, now), QUARANTINE_PASS);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against trials of more than one node, too early, or without end. */
START_TEST(confirmed_part_is_tried_again_rarely)
{
	const uint64_t part = 8;
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	int64_t now =
	    crash_servers(quarantine, &part, 1, 10, 4, SIM_START_USEC) +
	    SIM_SECOND_USEC;
	uint32_t trials = 0;

	quarantine_tick(quarantine, now);
	ck_assert(!quarantine_try(quarantine, &part, 1, 0, 8, now));
	for (int i = 0; i < 3600; i++) {
		now += SIM_SECOND_USEC;
		quarantine_tick(quarantine, now);
		ck_assert_int_eq(quarantine_check(quarantine, &part, 1, now),
		    QUARANTINE_REFUSE);
		ck_assert(!quarantine_try(quarantine, &part, 1, 1, 8, now));
		if (!quarantine_try(quarantine, &part, 1, 0, 8, now))
			continue;
		trials++;
		quarantine_note_crash(
		    quarantine, &part, 1, 100 + trials, 100 + trials, now);
	}
	ck_assert_uint_ge(trials, 1);
	ck_assert_uint_le(trials, SENT_AFTER_FIFTH_MAX);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against evidence that nobody confirms any more and that is kept
 * forever. */
START_TEST(evidence_lapses)
{
	const uint64_t part = 1;
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	int64_t now =
	    crash_servers(quarantine, &part, 1, 10, 4, SIM_START_USEC);

	now += SIM_SECOND_USEC;
	quarantine_tick(quarantine, now);
	ck_assert_uint_eq(
	    quarantine_count(quarantine, QUARANTINE_CONFIRMED), 1);
	now += QUARANTINE_EVIDENCE_USEC;
	quarantine_tick(quarantine, now);
	ck_assert_int_eq(
	    quarantine_check(quarantine, &part, 1, now), QUARANTINE_PASS);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against a caller that makes up parts without end: the table is
 * bounded, strong evidence stays, and all of it is reported in turns. */
START_TEST(made_up_parts_do_not_displace_evidence)
{
	const uint64_t deadly = 1;
	struct quarantine_row rows[QUARANTINE_ROWS_MAX];
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	struct quarantine *peer = quarantine_new(NULL, NULL);
	int64_t now =
	    crash_servers(quarantine, &deadly, 1, 10, 4, SIM_START_USEC);

	for (uint64_t i = 0; i < 100000; i++) {
		uint64_t part = 1000 + i;

		quarantine_note_sound(quarantine, &part, 1, now);
		quarantine_note_crash(quarantine, &part, 1,
		    (uint32_t)(1000 + i), (uint32_t)i, now + 1);
	}
	now += SIM_SECOND_USEC;
	quarantine_tick(quarantine, now);
	ck_assert_int_eq(
	    quarantine_check(quarantine, &deadly, 1, now), QUARANTINE_REFUSE);
	ck_assert_uint_le(quarantine_count(quarantine, QUARANTINE_CLEAR),
	    QUARANTINE_PARTS_MAX);
	for (uint64_t i = 0; i < QUARANTINE_PARTS_MAX / QUARANTINE_ROWS_MAX;
	     i++) {
		size_t count = quarantine_fill(
		    quarantine, i, now, rows, QUARANTINE_ROWS_MAX);

		ck_assert_uint_le(count, QUARANTINE_ROWS_MAX);
		quarantine_merge(peer, rows, count, now);
	}
	ck_assert_uint_ge(
	    quarantine_count(peer, QUARANTINE_CLEAR), QUARANTINE_PARTS_MAX / 2);
	quarantine_free(peer);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against a node that starts and takes the evidence against one part for
 * an explanation of all that happened until it heard of it. */
START_TEST(node_that_starts_learns_all_confirmed_parts)
{
	const uint64_t parts[] = {1, 2};
	struct quarantine_row rows[QUARANTINE_ROWS_MAX];
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	struct quarantine *started = quarantine_new(NULL, NULL);
	int64_t now = SIM_START_USEC;
	size_t count;

	for (uint32_t i = 0; i < 2; i++) {
		now = crash_servers(
		    quarantine, &parts[i], 1, 10 * (i + 1), 4, now);
		now += 5 * SIM_SECOND_USEC;
		quarantine_tick(quarantine, now);
	}
	ck_assert_uint_eq(
	    quarantine_count(quarantine, QUARANTINE_CONFIRMED), 2);
	count = quarantine_fill(quarantine, 0, now, rows, QUARANTINE_ROWS_MAX);
	quarantine_merge(started, rows, count, now);
	quarantine_tick(started, now + SIM_SECOND_USEC);
	quarantine_tick(started, now + 2 * SIM_SECOND_USEC);
	ck_assert_uint_eq(quarantine_count(started, QUARANTINE_CONFIRMED), 2);
	quarantine_free(started);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against a refused sound part when two servers end at one moment, so
 * that the part that ends them is confirmed later than its crashes are counted.
 */
START_TEST(servers_that_end_at_one_moment_count_once)
{
	static const int64_t at_msec[] = {0, 6, 212, 2051, 2257, 2464};
	const uint64_t parts[] = {1, 2};
	struct quarantine *quarantine = quarantine_new(NULL, NULL);

	for (uint32_t i = 0; i < G_N_ELEMENTS(at_msec); i++)
		quarantine_note_crash(quarantine, parts, 2, i + 1, i,
		    SIM_START_USEC + at_msec[i] * SIM_SECOND_USEC / 1000);
	for (int64_t i = 50; i <= 80; i++)
		quarantine_tick(
		    quarantine, SIM_START_USEC + i * SIM_SECOND_USEC / 20);
	ck_assert_uint_eq(
	    quarantine_count(quarantine, QUARANTINE_CONFIRMED), 1);
	ck_assert_uint_eq(
	    *quarantine_find_cause(quarantine, parts, 2), parts[1]);
	quarantine_free(quarantine);
}
END_TEST

/* Guards against malformed reports of a peer. */
START_TEST(malformed_rows_are_accepted_without_harm)
{
	struct quarantine_row row = {.part = 1,
	    .depth = UINT32_MAX,
	    .crash_count = UINT32_MAX,
	    .trials = UINT32_MAX,
	    .sound_at = INT64_MAX,
	    .refused_at = INT64_MAX};
	struct quarantine *quarantine = quarantine_new(NULL, NULL);
	const uint64_t part = 1;

	for (uint32_t i = 0; i < QUARANTINE_CRASHES_MAX; i++)
		row.crashes[i] =
		    (struct quarantine_crash){i, i, INT64_MAX, false};
	quarantine_merge(quarantine, &row, 1, SIM_START_USEC);
	quarantine_tick(quarantine, SIM_START_USEC + SIM_SECOND_USEC);
	ck_assert_int_eq(quarantine_check(quarantine, &part, 1, SIM_START_USEC),
	    QUARANTINE_PASS);
	quarantine_free(quarantine);
}
END_TEST

HARNESS_MAIN("quarantine", deadly_part_is_refused_after_few_crashes,
    deadly_first_part_is_refused, part_that_becomes_deadly_is_refused,
    sound_parts_are_not_refused_beside_other_trouble,
    nodes_that_start_learn_the_evidence,
    evidence_reaches_all_nodes_of_a_large_fleet,
    deepest_of_the_parts_with_the_same_crashes_is_confirmed,
    one_event_or_one_request_is_not_sufficient,
    part_is_released_when_it_comes_through_or_servers_answer,
    confirmed_part_is_tried_again_rarely, evidence_lapses,
    made_up_parts_do_not_displace_evidence,
    node_that_starts_learns_all_confirmed_parts,
    servers_that_end_at_one_moment_count_once,
    malformed_rows_are_accepted_without_harm)
