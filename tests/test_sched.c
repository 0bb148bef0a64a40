#include "harness.h"

#include <string.h>

#include <glib.h>

#include "sched.h"

#define SEED 7002
#define QUEUE_MAX 4096
#define ORGANISATIONS 6
#define DISPATCHES 20000
/* Required accuracy: shares within 5% of the entitlement. */
#define SHARE_TOLERANCE 0.05

/* One queued request of a test. */
struct test_request {
	uint32_t organisation;
	int64_t cost;
};

static char names[ORGANISATIONS][8];

/*
 * Queues one request and returns its entry.
 */
static struct sched_entry *
push(struct sched *sched, const char *organisation, uint32_t priority,
    uint32_t weight, int64_t cost, int64_t deadline, void *data)
{
	struct sched_request request = {
	    lstr_from(organisation), priority, weight, cost, 0, deadline, data};
	struct sched_entry *entry = NULL;

	ck_assert_int_eq(sched_push(sched, &request, &entry), STATUS_OK);
	return entry;
}

/*
 * Creates a queue.
 */
static struct sched *
make_queue(size_t max)
{
	struct sched *sched = NULL;

	ck_assert_int_eq(sched_create(max, &sched), STATUS_OK);
	return sched;
}

/*
 * Removes the next request and returns its data, or "" when the queue is
 * empty.
 */
static const char *
pop(struct sched *sched, Ch__RecordReason *reason)
{
	void *data = NULL;

	return sched_pop(sched, &data, reason) ? data : "";
}

/* Guards against serving a lower class while a higher one waits. */
START_TEST(higher_class_is_first)
{
	struct sched *sched = make_queue(QUEUE_MAX);
	Ch__RecordReason reason;

	push(sched, "a", 3, 1000, 1, 10, "low");
	push(sched, "b", 0, 1, 100, 90, "high");
	ck_assert_str_eq(pop(sched, &reason), "high");
	ck_assert_int_eq(reason, CH__RECORD_REASON__RECORD_REASON_PRIORITY);
	ck_assert_str_eq(pop(sched, &reason), "low");
	ck_assert_int_eq(reason, CH__RECORD_REASON__RECORD_REASON_ARRIVAL);
	ck_assert_str_eq(pop(sched, &reason), "");
	sched_destroy(sched);
}
END_TEST

/* Guards against serving a later deadline before an earlier one. */
START_TEST(earliest_deadline_is_first)
{
	struct sched *sched = make_queue(QUEUE_MAX);
	Ch__RecordReason reason;

	push(sched, "a", 1, 10, 1, 30, "third");
	push(sched, "a", 1, 10, 1, 10, "first");
	push(sched, "a", 1, 10, 1, 20, "second");
	push(sched, "a", 1, 10, 1, 30, "fourth");
	ck_assert_str_eq(pop(sched, &reason), "first");
	ck_assert_int_eq(reason, CH__RECORD_REASON__RECORD_REASON_DEADLINE);
	ck_assert_str_eq(pop(sched, &reason), "second");
	ck_assert_str_eq(pop(sched, &reason), "third");
	ck_assert_int_eq(reason, CH__RECORD_REASON__RECORD_REASON_ARRIVAL);
	ck_assert_str_eq(pop(sched, &reason), "fourth");
	sched_destroy(sched);
}
END_TEST

/* Guards against a queue that grows without bound. */
START_TEST(full_queue_refuses)
{
	struct sched *sched = make_queue(2);
	struct sched_request request = {lstr_from("a"), 0, 1, 1, 0, 9, NULL};
	struct sched_entry *entry;

	push(sched, "a", 0, 1, 1, 9, "x");
	entry = push(sched, "a", 0, 1, 1, 9, "y");
	ck_assert_int_eq(sched_push(sched, &request, &entry), STATUS_FULL);
	sched_cancel(sched, entry);
	ck_assert_uint_eq(sched_count(sched), 1);
	ck_assert_int_eq(sched_push(sched, &request, &entry), STATUS_OK);
	sched_destroy(sched);
}
END_TEST

/* Guards against dispatching a request after its deadline. */
START_TEST(request_past_deadline_expires)
{
	struct sched *sched = make_queue(QUEUE_MAX);
	Ch__RecordReason reason;
	void *data = NULL;

	push(sched, "a", 0, 1, 1, 50, "late");
	push(sched, "b", 5, 1, 1, 20, "early");
	ck_assert_int_eq(sched_next_expiry(sched), 20);
	ck_assert(!sched_expire(sched, 19, &data));
	ck_assert(sched_expire(sched, 20, &data));
	ck_assert_str_eq(data, "early");
	ck_assert(!sched_expire(sched, 20, &data));
	ck_assert_str_eq(pop(sched, &reason), "late");
	sched_destroy(sched);
}
END_TEST

/*
 * Dispatches requests from a saturated queue in which each of the first count
 * organisations always has four entries. Adds the cost of the dispatched
 * requests to served.
 */
static void
dispatch_saturated(struct sched *sched, GRand *rand, const uint32_t *weights,
    uint32_t count, int dispatches, double *served)
{
	Ch__RecordReason reason;
	void *data;

	for (int i = 0; i < dispatches; i++) {
		struct test_request *dispatched;

		ck_assert(sched_pop(sched, &data, &reason));
		dispatched = data;
		served[dispatched->organisation] += (double)dispatched->cost;
		if (dispatched->organisation < count) {
			dispatched->cost = g_rand_int_range(rand, 1, 200);
			push(sched, names[dispatched->organisation], 2,
			    weights[dispatched->organisation], dispatched->cost,
			    i + 1000, dispatched);
		}
	}
}

/*
 * Queues four entries for each of the organisations from first to count - 1.
 */
static void
fill(struct sched *sched, GRand *rand, const uint32_t *weights, uint32_t first,
    uint32_t count, struct test_request *test_requests)
{
	for (uint32_t k = 0; k < 4 * (count - first); k++) {
		struct test_request *request = &test_requests[first * 4 + k];

		request->organisation = first + k / 4;
		request->cost = g_rand_int_range(rand, 1, 200);
		push(sched, names[request->organisation], 2,
		    weights[request->organisation], request->cost, 1000,
		    request);
	}
}

/*
 * Checks that the served cost is proportional to the weights.
 */
static void
check_shares(const double *served, const uint32_t *weights, uint32_t count)
{
	double total = 0;
	double weight = 0;

	for (uint32_t i = 0; i < count; i++) {
		total += served[i];
		weight += weights[i];
	}
	for (uint32_t i = 0; i < count; i++) {
		double wanted = total * weights[i] / weight;

		ck_assert_msg(served[i] > wanted * (1 - SHARE_TOLERANCE) &&
			served[i] < wanted * (1 + SHARE_TOLERANCE),
		    "organisation %u: served %.0f, entitled to %.0f", i,
		    served[i], wanted);
	}
}

/*
 * Guards against organisations that receive less or more than their share of a
 * saturated replica, with random weights and costs.
 */
START_TEST(shares_follow_weights)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (int round = 0; round < 10; round++) {
		struct sched *sched = make_queue(QUEUE_MAX);
		struct test_request test_requests[ORGANISATIONS * 4];
		uint32_t weights[ORGANISATIONS];
		double served[ORGANISATIONS] = {0};

		for (int i = 0; i < ORGANISATIONS; i++) {
			snprintf(names[i], sizeof(names[i]), "o%d", i);
			weights[i] = (uint32_t)g_rand_int_range(rand, 10, 100);
		}
		fill(sched, rand, weights, 0, ORGANISATIONS, test_requests);
		dispatch_saturated(
		    sched, rand, weights, ORGANISATIONS, DISPATCHES, served);
		check_shares(served, weights, ORGANISATIONS);
		sched_destroy(sched);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against an organisation that accumulates credit while it is idle and
 * starves the others when it becomes active again.
 */
START_TEST(idle_organisation_gains_no_credit)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sched *sched = make_queue(QUEUE_MAX);
	struct test_request test_requests[3 * 4];
	const uint32_t weights[3] = {10, 10, 10};
	double served[3] = {0};

	for (int i = 0; i < 3; i++)
		snprintf(names[i], sizeof(names[i]), "o%d", i);
	fill(sched, rand, weights, 0, 2, test_requests);
	dispatch_saturated(sched, rand, weights, 2, DISPATCHES, served);
	memset(served, 0, sizeof(served));
	fill(sched, rand, weights, 2, 3, test_requests);
	dispatch_saturated(sched, rand, weights, 3, DISPATCHES / 10, served);
	check_shares(served, weights, 3);
	sched_destroy(sched);
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against an organisation that gets more than its share because its
 * queue runs empty between requests. It must keep its finish tag.
 */
START_TEST(intermittent_organisation_gains_no_credit)
{
	struct sched *sched = make_queue(QUEUE_MAX);
	Ch__RecordReason reason;
	int steady = 0;
	int intermittent = 0;

	for (int i = 0; i < 4; i++)
		push(sched, "steady", 0, 1, 10, 1000, "s");
	push(sched, "blinking", 0, 1, 10, 1000, "b");
	for (int i = 0; i < 1000; i++) {
		if (strcmp(pop(sched, &reason), "s") == 0) {
			steady++;
			push(sched, "steady", 0, 1, 10, 1000, "s");
		} else {
			intermittent++;
			push(sched, "blinking", 0, 1, 10, 1000, "b");
		}
	}
	ck_assert_int_ge(steady, 499);
	ck_assert_int_ge(intermittent, 499);
	sched_destroy(sched);
}
END_TEST

/*
 * Guards against lost or duplicated entries with random sequences of push,
 * pop, cancel and expire.
 */
START_TEST(random_operations_keep_entries)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sched *sched = make_queue(64);
	struct sched_entry *entries[64] = {0};
	size_t expected_count = 0;
	Ch__RecordReason reason;
	void *data;

	for (int64_t now = 0; now < 50000; now++) {
		int slot = g_rand_int_range(rand, 0, 64);
		char name[8];

		snprintf(name, sizeof(name), "o%d", slot % 7);
		if (entries[slot] == NULL) {
			entries[slot] = push(sched, name, (uint32_t)slot % 8,
			    (uint32_t)slot + 1, slot + 1,
			    now + g_rand_int_range(rand, 1, 200),
			    &entries[slot]);
			expected_count++;
		} else if (g_rand_boolean(rand)) {
			sched_cancel(sched, entries[slot]);
			entries[slot] = NULL;
			expected_count--;
		} else if (sched_pop(sched, &data, &reason)) {
			*(struct sched_entry **)data = NULL;
			expected_count--;
		}
		while (sched_expire(sched, now, &data)) {
			*(struct sched_entry **)data = NULL;
			expected_count--;
		}
		ck_assert_uint_eq(sched_count(sched), expected_count);
	}
	while (sched_pop(sched, &data, &reason))
		expected_count--;
	ck_assert_uint_eq(expected_count, 0);
	sched_destroy(sched);
	g_rand_free(rand);
}
END_TEST

/* Guards against an expected wait that omits work ahead or counts too much. */
START_TEST(expected_wait_counts_work_ahead)
{
	struct sched *sched = make_queue(QUEUE_MAX);

	ck_assert_int_eq(
	    sched_expected_wait(sched, lstr_from("a"), 1, 10, 5), 0);
	push(sched, "a", 0, 10, 100, 1000, "x");
	push(sched, "b", 1, 10, 40, 1000, "y");
	push(sched, "c", 2, 10, 1000, 1000, "z");
	ck_assert_int_eq(
	    sched_expected_wait(sched, lstr_from("n"), 1, 10, 5), 500);
	ck_assert_int_eq(
	    sched_expected_wait(sched, lstr_from("b"), 1, 10, 5), 700);
	ck_assert_int_eq(
	    sched_expected_wait(sched, lstr_from("n"), 0, 10, 5), 0);
	sched_destroy(sched);
}
END_TEST

/*
 * Guards against a listing in another order than that of service, and against
 * one that exceeds the table.
 */
START_TEST(list_is_in_order_of_service)
{
	struct sched *sched = make_queue(QUEUE_MAX);
	Ch__RecordReason reason;
	void *data[5] = {NULL};
	static char guard;

	ck_assert_uint_eq(sched_list(sched, data, 5), 0);
	push(sched, "b", 1, 10, 1, 30, "4");
	push(sched, "a", 1, 10, 1, 40, "5");
	push(sched, "b", 1, 10, 1, 20, "3");
	push(sched, "a", 0, 10, 1, 90, "2");
	push(sched, "a", 0, 10, 1, 10, "1");
	ck_assert_uint_eq(sched_list(sched, data, 5), 5);
	for (int i = 0; i < 5; i++) {
		const char digit[] = {(char)('1' + i), '\0'};

		ck_assert_str_eq(data[i], digit);
	}
	data[2] = &guard;
	ck_assert_uint_eq(sched_list(sched, data, 2), 2);
	ck_assert_ptr_eq(data[2], &guard);
	ck_assert_str_eq(pop(sched, &reason), "1");
	ck_assert_uint_eq(sched_list(sched, data, 5), 4);
	ck_assert_str_eq(data[0], "2");
	sched_destroy(sched);
}
END_TEST

/*
 * Guards against an organisation that is served for nothing when its entries
 * are taken before their turn, and against a virtual time that runs backwards
 * afterwards: of two organisations that come later, the second would be served
 * first.
 */
START_TEST(entry_taken_before_its_turn_is_charged)
{
	struct sched *sched = make_queue(QUEUE_MAX);
	struct sched_entry *entries[5];
	Ch__RecordReason reason;

	push(sched, "a", 0, 1, 100, 1000, "a1");
	push(sched, "a", 0, 1, 100, 1000, "a2");
	for (int i = 0; i < 5; i++)
		entries[i] = push(sched, "b", 0, 1, 30, 1000 + i, "b");
	for (int i = 0; i < 4; i++)
		sched_take(sched, entries[3 - i]);
	ck_assert_uint_eq(sched_count(sched), 3);
	push(sched, "c", 0, 1, 10, 1000, "c");
	ck_assert_str_eq(pop(sched, &reason), "a1");
	push(sched, "d", 0, 1, 10, 1000, "d");
	ck_assert_str_eq(pop(sched, &reason), "c");
	ck_assert_str_eq(pop(sched, &reason), "d");
	/* b has been served 120, a 100. */
	ck_assert_str_eq(pop(sched, &reason), "a2");
	ck_assert_str_eq(pop(sched, &reason), "b");
	ck_assert_str_eq(pop(sched, &reason), "");
	sched_destroy(sched);
}
END_TEST

/*
 * Guards against lost or duplicated entries, and wrong totals, when random
 * entries are taken.
 */
START_TEST(entries_taken_at_random_are_gone)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct sched *sched = make_queue(64);
	struct sched_entry *entries[64] = {0};
	size_t expected_count = 0;
	int64_t expected_cost = 0;

	for (int turn = 0; turn < 20000; turn++) {
		int slot = g_rand_int_range(rand, 0, 64);
		int64_t cost = 0;
		void *data[64];
		size_t count;
		char name[8];

		snprintf(name, sizeof(name), "o%d", slot % 5);
		if (entries[slot] == NULL) {
			entries[slot] =
			    push(sched, name, (uint32_t)slot % 8, 1, slot + 1,
				g_rand_int_range(rand, 1, 200), &entries[slot]);
			expected_count++;
			expected_cost += slot + 1;
		} else {
			sched_take(sched, entries[slot]);
			entries[slot] = NULL;
			expected_count--;
			expected_cost -= slot + 1;
		}
		count = sched_list(sched, data, 64);
		ck_assert_uint_eq(count, expected_count);
		ck_assert_uint_eq(sched_count(sched), expected_count);
		for (size_t i = 0; i < count; i++)
			ck_assert_ptr_nonnull(*(struct sched_entry **)data[i]);
		for (uint32_t i = 0; i < SCHED_CLASSES; i++)
			cost += sched_class_cost(sched, i);
		ck_assert_int_eq(cost, expected_cost);
	}
	sched_destroy(sched);
	g_rand_free(rand);
}
END_TEST

HARNESS_MAIN("sched", higher_class_is_first, earliest_deadline_is_first,
    full_queue_refuses, request_past_deadline_expires, shares_follow_weights,
    idle_organisation_gains_no_credit,
    intermittent_organisation_gains_no_credit, random_operations_keep_entries,
    expected_wait_counts_work_ahead, list_is_in_order_of_service,
    entry_taken_before_its_turn_is_charged, entries_taken_at_random_are_gone)
