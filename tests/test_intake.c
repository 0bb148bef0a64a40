#include "harness.h"

#include <glib.h>

#include "account.h"
#include "intake.h"

#define TABLE_SIZE 320
#define STEP_USEC 1000
#define STEPS 6000
#define SEEDS 20
/* An ordinary caller sends its request within this time. */
#define ORDINARY_MAX_USEC 100000
#define ORDINARY_BYTES 20000
#define CLIENT_BYTES_MAX 1000000
#define MEMORY_BYTES ((size_t)40 * 1000 * 1000)
/* Share of the ordinary requests that must be served, in percent. */
#define SERVED_MIN_PERCENT 95

struct connection {
	bool used;
	bool ordinary;
	struct intake_candidate candidate;
	/* When an ordinary request is complete, and how often another client
	 * sends a byte; 0: never. */
	int64_t complete_at;
	int64_t progress_usec;
};

struct crowd {
	struct connection table[TABLE_SIZE];
	GRand *rand;
	int64_t now;
	size_t bytes;
	unsigned int served;
	unsigned int dropped;
	/* New clients that never complete a request, per step. */
	double clients;
};

/*
 * Removes a connection.
 */
static void
crowd_remove(struct crowd *crowd, struct connection *connection)
{
	crowd->bytes -= connection->candidate.bytes;
	connection->used = false;
}

/*
 * Lets connections give way.
 */
static void
crowd_make_room(struct crowd *crowd, enum intake_need need)
{
	struct intake intake;

	intake_init(&intake, need, crowd->now, TABLE_SIZE);
	for (size_t i = 0; i < TABLE_SIZE; i++) {
		if (crowd->table[i].used)
			intake_offer(&intake, &crowd->table[i].candidate);
	}
	for (size_t i = 0; i < intake.count; i++) {
		struct connection *connection = intake.choices[i].ref;

		if (need == INTAKE_MEMORY && crowd->bytes <= MEMORY_BYTES)
			break;
		crowd->dropped += connection->ordinary;
		crowd_remove(crowd, connection);
	}
}

/*
 * Adds a connection, for which others give way if the table is full.
 */
static void
crowd_add(struct crowd *crowd, bool ordinary)
{
	struct connection *free_slot = NULL;

	for (int attempt = 0; attempt < 2 && free_slot == NULL; attempt++) {
		for (size_t i = 0; i < TABLE_SIZE && free_slot == NULL; i++) {
			if (!crowd->table[i].used)
				free_slot = &crowd->table[i];
		}
		if (free_slot == NULL)
			crowd_make_room(crowd, INTAKE_CONNECTIONS);
	}
	if (free_slot == NULL) {
		crowd->dropped += ordinary;
		return;
	}
	*free_slot = (struct connection){.used = true,
	    .ordinary = ordinary,
	    .candidate = {.kind = ordinary
		    ? INTAKE_BODY
		    : (enum intake_kind)g_rand_int_range(
			  crowd->rand, INTAKE_IDLE, INTAKE_BODY + 1),
		.bytes = ordinary ? ORDINARY_BYTES
				  : (size_t)g_rand_int_range(
					crowd->rand, 1000, CLIENT_BYTES_MAX),
		.since = crowd->now,
		.progress_at = crowd->now,
		.ref = free_slot},
	    .complete_at = crowd->now +
		g_rand_int_range(crowd->rand, 1000, ORDINARY_MAX_USEC),
	    .progress_usec = g_rand_boolean(crowd->rand)
		? g_rand_int_range(crowd->rand, 10000, 2000000)
		: 0};
	crowd->bytes += free_slot->candidate.bytes;
	if (crowd->bytes > MEMORY_BYTES)
		crowd_make_room(crowd, INTAKE_MEMORY);
}

/*
 * Runs one step: clients arrive and make progress, ordinary requests complete.
 */
static void
crowd_step(struct crowd *crowd)
{
	double arrivals = crowd->clients;

	crowd->now += STEP_USEC;
	for (size_t i = 0; i < TABLE_SIZE; i++) {
		struct connection *connection = &crowd->table[i];

		if (!connection->used)
			continue;
		if (connection->ordinary) {
			connection->candidate.progress_at = crowd->now;
			if (crowd->now >= connection->complete_at) {
				crowd->served++;
				crowd_remove(crowd, connection);
			}
		} else if (connection->progress_usec > 0 &&
		    crowd->now - connection->candidate.progress_at >=
			connection->progress_usec) {
			connection->candidate.progress_at = crowd->now;
		}
	}
	for (; arrivals >= 1 || g_rand_double(crowd->rand) < arrivals;
	     arrivals -= 1) {
		crowd_add(crowd, false);
		if (arrivals < 1)
			break;
	}
	if (g_rand_int_range(crowd->rand, 0, 10) == 0)
		crowd_add(crowd, true);
}

/* Guards against crowds of clients that never complete a request and shut out
 * ordinary callers, whichever connections and bytes they hold. */
START_TEST(ordinary_callers_are_served_in_drawn_crowds)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct crowd crowd = {.rand = g_rand_new_with_seed(seed)};
		unsigned int total;

		crowd.clients = g_rand_double_range(crowd.rand, 0.05, 1.0);
		for (int i = 0; i < STEPS; i++)
			crowd_step(&crowd);
		total = crowd.served + crowd.dropped;
		ck_assert_uint_gt(total, 0);
		ck_assert_msg(crowd.served * 100 >= total * SERVED_MIN_PERCENT,
		    "seed %u, %.2f clients a step: %u served, %u dropped", seed,
		    crowd.clients, crowd.served, crowd.dropped);
		ck_assert_uint_le(crowd.bytes, MEMORY_BYTES);
		g_rand_free(crowd.rand);
	}
}
END_TEST

/*
 * Returns the reference of the only choice of a search among candidates.
 */
static const void *
choose(enum intake_need need, int64_t now,
    const struct intake_candidate *candidates, size_t count)
{
	struct intake intake;

	intake_init(&intake, need, now, 1);
	for (size_t i = 0; i < count; i++)
		intake_offer(&intake, &candidates[i]);
	return intake.count == 0 ? NULL : intake.choices[0].ref;
}

/* Guards against an answer that is dropped while its caller still reads it. */
START_TEST(unread_output_gives_way_only_after_a_pause)
{
	const struct intake_candidate unread = {
	    INTAKE_UNREAD, 1000, 0, 500000, "unread"};

	ck_assert_ptr_null(choose(INTAKE_MEMORY, 500001, &unread, 1));
	ck_assert_ptr_nonnull(
	    choose(INTAKE_MEMORY, 500000 + INTAKE_UNREAD_USEC, &unread, 1));
}
END_TEST

/* Guards against a body that grows by a byte at a time and never gives way, and
 * against new connections that give way to older silent ones. */
START_TEST(longest_waiting_connection_gives_way)
{
	const struct intake_candidate bodies[] = {
	    {INTAKE_BODY, 1000, 0, 9999000, "dribbling"},
	    {INTAKE_BODY, 1000, 9000000, 9900000, "steady"}};
	const struct intake_candidate silent[] = {
	    {INTAKE_IDLE, 10000, 9999000, 9999000, "new"},
	    {INTAKE_IDLE, 10000, 5000000, 5000000, "old"},
	    {INTAKE_LINGERING, 10000, 8000000, 8000000, "answered"}};

	ck_assert_str_eq(
	    choose(INTAKE_CONNECTIONS, 10000000, bodies, 2), "dribbling");
	ck_assert_str_eq(
	    choose(INTAKE_CONNECTIONS, 10000000, silent, 2), "old");
	ck_assert_str_eq(
	    choose(INTAKE_CONNECTIONS, 10000000, silent, 3), "answered");
}
END_TEST

/* Guards against requests that are cut off while they arrive, because others
 * that cannot give way need memory. */
START_TEST(small_requests_that_just_began_keep_their_memory)
{
	const struct intake_candidate began = {
	    INTAKE_HEAD, 10000, 0, 0, "began"};

	ck_assert_ptr_null(
	    choose(INTAKE_MEMORY, INTAKE_YOUNG_USEC - 1, &began, 1));
	ck_assert_ptr_nonnull(
	    choose(INTAKE_MEMORY, INTAKE_YOUNG_USEC, &began, 1));
	ck_assert_ptr_nonnull(
	    choose(INTAKE_CONNECTIONS, INTAKE_YOUNG_USEC - 1, &began, 1));
}
END_TEST

/* Guards against small requests that give way although a large one holds the
 * memory. */
START_TEST(bytes_held_count_when_memory_is_short)
{
	const struct intake_candidate candidates[] = {
	    {INTAKE_BODY, 10000, 0, 0, "small"},
	    {INTAKE_BODY, 1000000, 900000, 900000, "large"}};

	ck_assert_str_eq(
	    choose(INTAKE_MEMORY, 1000000, candidates, 2), "large");
	ck_assert_str_eq(
	    choose(INTAKE_CONNECTIONS, 1000000, candidates, 2), "small");
}
END_TEST

/* Guards against choices out of order, or more of them than a search may
 * have. */
START_TEST(choices_are_sorted_and_limited)
{
	struct intake_candidate candidate = {INTAKE_HEAD, 1, 0, 0, NULL};
	struct intake intake;
	GRand *rand = g_rand_new_with_seed(1);

	intake_init(&intake, INTAKE_CONNECTIONS, 2000000, 100000);
	for (int i = 0; i < 1000; i++) {
		candidate.since = g_rand_int_range(rand, 0, 2000000);
		intake_offer(&intake, &candidate);
	}
	ck_assert_uint_eq(intake.count, INTAKE_BATCH_MAX);
	for (size_t i = 1; i < intake.count; i++)
		ck_assert(
		    intake.choices[i - 1].score >= intake.choices[i].score);
	g_rand_free(rand);
}
END_TEST

/* Guards against large requests that leave nothing for ordinary ones. */
START_TEST(account_keeps_a_part_for_small_holders)
{
	struct account account;
	size_t large = 0;
	size_t small = 0;

	account_init(&account, 1000000);
	account_set(&account, &large, account.large_limit);
	ck_assert_uint_eq(account_missing(&account, INTAKE_SMALL_BYTES, 1), 1);
	ck_assert_uint_eq(account_missing(&account, 1000, 1000), 0);
	account_set(&account, &small, 1000);
	account_set(&account, &large, 0);
	ck_assert_uint_eq(account.held, 1000);
	ck_assert_uint_eq(account.peak, account.large_limit + 1000);
	ck_assert_uint_eq(account_missing(&account, INTAKE_SMALL_BYTES, 1), 0);
}
END_TEST

HARNESS_MAIN("intake", ordinary_callers_are_served_in_drawn_crowds,
    unread_output_gives_way_only_after_a_pause,
    longest_waiting_connection_gives_way,
    small_requests_that_just_began_keep_their_memory,
    bytes_held_count_when_memory_is_short, choices_are_sorted_and_limited,
    account_keeps_a_part_for_small_holders)
