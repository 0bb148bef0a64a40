#include <string.h>

#include <glib.h>

#include "harness.h"
#include "headroom.h"
#include "returns.h"

#define STEP_USEC ((int64_t)20000)
#define STEPS_PER_SEC 50
#define HOLD_STEPS 100
#define HOLD_USEC (HOLD_STEPS * STEP_USEC)
#define TOKENS 1000.0
#define CAPACITY 300000.0
#define CLASSES 3
/* How long a request may wait for room before its answer is late. */
#define AIM_STEPS 15

/* Arrivals in one second by class. */
struct load {
	double calm[CLASSES];
	double burst[CLASSES];
	int burst_from[CLASSES];
	int burst_to;
};

struct outcome {
	double asked[CLASSES];
	double in_time[CLASSES];
};

/* The requests of one class that wait for room, by the step of arrival. */
struct queue {
	int arrived[20000];
	int head;
	int tail;
};

/*
 * Plays a load against the pure decisions: one memory, requests in order of
 * class, a request that found no room in time is given up. Each node knows the
 * demand of 0.2 s ago. reserve: room is kept for the more urgent classes.
 */
static void
play(const struct load *load, int steps, bool reserve, uint64_t seed,
    struct outcome *outcome)
{
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	struct queue *queues = g_new0(struct queue, CLASSES);
	int *ends = g_new0(int, (size_t)(steps + HOLD_STEPS + 1) * CLASSES);
	struct demand demand = {0};
	struct headroom headroom = {0};
	double used = 0;

	memset(outcome, 0, sizeof(*outcome));
	for (int step = 0; step < steps; step++) {
		int64_t now = (step + 1) * STEP_USEC;

		if (step % 10 == 0) {
			demand_decay(&demand, now);
			for (uint32_t c = 0; c < CLASSES; c++)
				demand_set_waiting(&demand, c,
				    (queues[c].tail - queues[c].head) *
					(int64_t)TOKENS);
			headroom_update(&headroom, &demand.own,
			    (double)HOLD_USEC, CAPACITY);
		}
		for (uint32_t c = 0; c < CLASSES; c++) {
			struct queue *queue = &queues[c];
			bool burst = step >= load->burst_from[c] &&
			    step < load->burst_to;
			double rate = burst ? load->burst[c] : load->calm[c];
			int ended = ends[(size_t)step * CLASSES + c];

			used -= ended * TOKENS;
			demand_add_use(&demand, c, -ended * (int64_t)TOKENS);
			for (int i = 0; i < 20; i++) {
				if (g_rand_double(rand) >=
				    rate / STEPS_PER_SEC / 20)
					continue;
				queue->arrived[queue->tail++] = step;
				outcome->asked[c]++;
				demand_add_arrival(
				    &demand, c, (int64_t)TOKENS, now);
			}
		}
		/* A node with nothing urgent in its queue starts the less
		 * urgent at once, so the classes are served in turn. */
		for (uint32_t turn = 0; turn < CLASSES; turn++) {
			uint32_t c = (turn + (uint32_t)step) % CLASSES;
			struct queue *queue = &queues[c];
			double limit = CAPACITY;

			if (reserve)
				limit *=
				    1 - headroom_reserved_share(&headroom, c);
			while (queue->head < queue->tail) {
				if (step - queue->arrived[queue->head] >
				    AIM_STEPS) {
					queue->head++;
					continue;
				}
				if (used + TOKENS > limit)
					break;
				queue->head++;
				used += TOKENS;
				demand_add_use(&demand, c, (int64_t)TOKENS);
				outcome->in_time[c]++;
				ends[(size_t)(step + HOLD_STEPS) * CLASSES +
				    c]++;
			}
		}
		ck_assert_double_le(used, CAPACITY);
	}
	g_free(ends);
	g_free(queues);
	g_rand_free(rand);
}

/*
 * Guards against an urgent class that is served worse than a less urgent one
 * because that one has filled the memory before it came.
 */
START_TEST(urgent_burst_finds_room_behind_a_less_urgent_one)
{
	const struct load load = {
	    {60, 30, 20}, {140, 80, 150}, {250, 225, 200}, 450};

	for (uint64_t seed = 1; seed <= 10; seed++) {
		struct outcome before;
		struct outcome after;
		double share[CLASSES];

		play(&load, 700, false, seed, &before);
		play(&load, 700, true, seed, &after);
		for (int c = 0; c < CLASSES; c++)
			share[c] = after.in_time[c] / after.asked[c];
		ck_assert_double_lt(before.in_time[0] / before.asked[0], 0.75);
		ck_assert_double_gt(share[0], 0.85);
		ck_assert_double_ge(share[0], share[1] - 0.02);
		ck_assert_double_ge(share[1], share[2] - 0.05);
		/* The least urgent class keeps part of its proportion. */
		ck_assert_double_gt(share[2], 0.25);
	}
}
END_TEST

/*
 * Guards against room that stays empty: whatever the mix, nearly as many
 * requests are served as without the reserve.
 */
START_TEST(reserve_does_not_leave_room_unused)
{
	GRand *rand = g_rand_new_with_seed(11);

	for (uint64_t seed = 1; seed <= 30; seed++) {
		struct load load = {.burst_to = 450};
		struct outcome before;
		struct outcome after;
		double served_before = 0;
		double served_after = 0;

		for (int c = 0; c < CLASSES; c++) {
			load.calm[c] = g_rand_double_range(rand, 5, 45);
			load.burst[c] = g_rand_double_range(rand, 20, 200);
			load.burst_from[c] = g_rand_int_range(rand, 150, 300);
		}
		play(&load, 700, false, seed, &before);
		play(&load, 700, true, seed, &after);
		for (int c = 0; c < CLASSES; c++) {
			served_before += before.in_time[c];
			served_after += after.in_time[c];
		}
		ck_assert_double_gt(served_after, 0.95 * served_before);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against an effect in calm and for the most urgent class: nothing is
 * kept free while the expected use is present.
 */
START_TEST(nothing_is_reserved_without_missing_urgent_work)
{
	struct demand_total total = {0};
	struct headroom headroom;

	total.classes[0] = (struct demand_class){50000, 100000, 0};
	total.classes[1] = (struct demand_class){20000, 40000, 0};
	headroom_update(&headroom, &total, 2000000, CAPACITY);
	ck_assert_double_eq(headroom_reserved_share(&headroom, 0), 0);
	ck_assert_double_eq(headroom_reserved_share(&headroom, 1), 0);
	ck_assert_double_eq(headroom_reserved_share(&headroom, 9), 0);
	headroom_update(&headroom, &total, 2000000, 0);
	ck_assert_double_eq(headroom_reserved_share(&headroom, 1), 0);
	ck_assert_double_eq(headroom_load(&headroom, 1), 0);
}
END_TEST

/*
 * Guards against a capacity that one well-provided layer hides: it is that of
 * the layer with the least memory, and 0 if a layer is held by no server.
 */
START_TEST(capacity_is_that_of_the_scarcest_layer)
{
	struct fleet_engine engine = {.layers = 10};
	struct path_server rows[3] = {
	    {.layer_from = 0, .layer_to = 6, .memory = 600, .usable = true},
	    {.layer_from = 4, .layer_to = 10, .memory = 1200, .usable = true},
	    {.layer_from = 0, .layer_to = 10, .memory = 500, .usable = true}};

	ck_assert_double_eq_tol(headroom_capacity(&engine, rows, 3), 150, 1e-9);
	rows[2].usable = false;
	ck_assert_double_eq_tol(headroom_capacity(&engine, rows, 3), 100, 1e-9);
	rows[1].usable = false;
	ck_assert_double_eq_tol(headroom_capacity(&engine, rows, 3), 0, 1e-9);
}
END_TEST

/*
 * Guards against callers that return within the burst that refused them: those
 * of an overloaded class return as late as they are willing to, the more urgent
 * before the others, and none later than that.
 */
START_TEST(callers_return_after_the_overload_in_order_of_class)
{
	const int64_t latest = 6000000;

	ck_assert_int_eq(returns_after_overload(0.9, latest, 0.5), 0);
	for (int i = 0; i <= 10; i++) {
		double jitter = i / 10.0;
		int64_t urgent = returns_after_overload(1.2, latest, jitter);
		int64_t other = returns_after_overload(1.8, latest, jitter);

		ck_assert_int_ge(urgent, latest / 2);
		ck_assert_int_lt(urgent, other);
		ck_assert_int_le(
		    returns_after_overload(50, latest, jitter), latest);
	}
}
END_TEST

HARNESS_MAIN("headroom", urgent_burst_finds_room_behind_a_less_urgent_one,
    reserve_does_not_leave_room_unused,
    nothing_is_reserved_without_missing_urgent_work,
    capacity_is_that_of_the_scarcest_layer,
    callers_return_after_the_overload_in_order_of_class)
