#include "node_fixture.h"

/*
 * A node whose store comes back from an older copy: what the operator confirms
 * afterwards must be in force in time, what was in force must not come back
 * older, and what the node wrote to the store must be there again.
 */

#define SECOND_KEY "k-second"
#define ENTRY_KEY "chestnuthoist/node/n1"
#define PLANNER_KEY "chestnuthoist/planner"
/* Rounds of reports by servers whose revisions the store gives out again. */
#define LOST_ROUNDS 3
/* Time in which the node's keys must be in the store again. */
#define KEYS_BACK_USEC (5 * LOOP_USEC_PER_SEC)
/* More leases than a node has. */
#define LEASES_TAKEN 8
/* Time that the store is away. */
#define STORE_AWAY_USEC (1 * LOOP_USEC_PER_SEC)
/* Time in which a route must be served after the store is back. Until then it
 * may be refused, since the node could not reach the store. */
#define SERVED_AGAIN_USEC (5 * LOOP_USEC_PER_SEC)
/* Time in which the planner must give an empty server its layers again. */
#define LAYERS_BACK_USEC (8 * LOOP_USEC_PER_SEC)

/*
 * Runs the loop for a time.
 */
static void
run_for(struct node_fixture *w, int64_t usec)
{
	int64_t until = loop_now(w->loop) + usec;

	while (loop_now(w->loop) < until)
		loop_run_once(w->loop, loop_now(w->loop) + LOOP_USEC_PER_MSEC);
}

/*
 * Sends an idempotent request and returns the status of the response.
 */
static unsigned int
status_of(struct node_fixture *w, const char *path, const char *key)
{
	static unsigned int count;
	struct node_call call;
	char id[32];

	snprintf(id, sizeof(id), "status-%u", count++);
	node_call_plain(w, &call, "GET", path, id, key);
	lstr_buf_free(&call.body);
	return call.status;
}

/*
 * Waits until requests get a status.
 */
static void
wait_for_status(struct node_fixture *w, const char *path, const char *key,
    unsigned int wanted)
{
	int64_t deadline = loop_now(w->loop) + HARNESS_DEADLINE_USEC;

	while (status_of(w, path, key) != wanted) {
		ck_assert_int_lt(loop_now(w->loop), deadline);
		run_for(w, 10 * LOOP_USEC_PER_MSEC);
	}
}

struct key_wait {
	const struct fake_platform *platform;
	const char *key;
	int64_t deadline;
};

/*
 * Returns whether the store has a key, or the deadline has passed.
 */
static bool
has_key_or_late(void *arg)
{
	const struct key_wait *wait = arg;

	return fake_platform_has_key(wait->platform, wait->key) ||
	    g_get_monotonic_time() > wait->deadline;
}

/*
 * Returns whether the store has a key within a time.
 */
static bool
has_key_within(struct node_fixture *w, const char *key, int64_t usec)
{
	struct key_wait wait = {
	    w->platform, key, g_get_monotonic_time() + usec};

	ck_assert(harness_wait(w->loop, has_key_or_late, &wait));
	return fake_platform_has_key(w->platform, key);
}

/*
 * Starts a node and waits until it is the planner.
 */
static void
start(struct node_fixture *w, bool states_era)
{
	node_fixture_prepare(w);
	if (!states_era)
		fake_platform_hide_era(w->platform);
	node_spawn(w);
	node_wait_until_serving(w);
	ck_assert(has_key_within(w, ENTRY_KEY, HARNESS_DEADLINE_USEC));
	ck_assert(has_key_within(w, PLANNER_KEY, HARNESS_DEADLINE_USEC));
	run_for(w, LOOP_USEC_PER_SEC);
}

/*
 * Raises the revision of the store by writes that a restore loses.
 */
static void
write_lost_reports(struct node_fixture *w)
{
	for (int i = 0; i < LOST_ROUNDS; i++) {
		fake_platform_touch_servers(w->platform);
		run_for(w, 100 * LOOP_USEC_PER_MSEC);
	}
}

/*
 * Copies the store, lets the operator write two configurations that the node
 * applies, and restores the store. The node hears of the older revision before
 * anything is written again.
 */
static void
restore_after_changes(struct node_fixture *w)
{
	fake_platform_copy_store(w->platform);
	write_lost_reports(w);
	fake_platform_configure(w->platform, 2, NODE_KEY);
	fake_platform_add_route(w->platform, "second");
	fake_platform_configure(w->platform, 3, NODE_KEY);
	wait_for_status(w, "/second/1", NODE_KEY, 200);
	fake_platform_set_store_silent(w->platform, true);
	run_for(w, STORE_AWAY_USEC);
	fake_platform_restore_store(w->platform);
	fake_platform_set_store_silent(w->platform, false);
	run_for(w, 2 * LOOP_USEC_PER_SEC);
}

/*
 * Checks that a route is served when it is due after it was confirmed.
 */
static void
check_served_in_time(
    struct node_fixture *w, const char *path, int64_t confirmed_at)
{
	run_for(w,
	    confirmed_at + NODE_CONFIG_APPLY_MS * LOOP_USEC_PER_MSEC -
		loop_now(w->loop));
	for (int i = 0; i < 20; i++) {
		ck_assert_uint_eq(status_of(w, path, NODE_KEY), 200);
		run_for(w, 50 * LOOP_USEC_PER_MSEC);
	}
}

/*
 * Adds a route after a restore and checks that it is served in time.
 */
static void
check_added_route(bool states_era)
{
	struct node_fixture w;

	start(&w, states_era);
	restore_after_changes(&w);
	ck_assert_uint_eq(status_of(&w, "/second/1", NODE_KEY), 200);
	fake_platform_add_route(w.platform, "third");
	fake_platform_configure(w.platform, 4, NODE_KEY);
	check_served_in_time(&w, "/third/1", loop_now(w.loop));
	node_fixture_stop(&w);
}

/* Guards against 404 for a route that was added after a restore, because its
 * configuration has a revision that the store had given out before. */
START_TEST(route_added_after_a_restore_is_served_in_time)
{
	check_added_route(true);
}
END_TEST

/* The same with a store that does not state its era. */
START_TEST(route_added_after_a_restore_is_served_without_an_era)
{
	check_added_route(false);
}
END_TEST

/*
 * Removes a key after a restore and checks that it is refused in time.
 */
static void
check_removed_key(bool states_era)
{
	struct node_fixture w;

	start(&w, states_era);
	restore_after_changes(&w);
	fake_platform_configure(w.platform, 4, SECOND_KEY);
	run_for(&w, NODE_REVOKE_MS * LOOP_USEC_PER_MSEC);
	for (int i = 0; i < 20; i++) {
		ck_assert_uint_eq(status_of(&w, "/look/1", NODE_KEY), 401);
		run_for(&w, 50 * LOOP_USEC_PER_MSEC);
	}
	ck_assert_uint_eq(status_of(&w, "/look/1", SECOND_KEY), 200);
	node_fixture_stop(&w);
}

/* Guards against a key that still works although it was removed after a
 * restore. */
START_TEST(key_removed_after_a_restore_is_refused_in_time)
{
	check_removed_key(true);
}
END_TEST

/* The same with a store that does not state its era. */
START_TEST(key_removed_after_a_restore_is_refused_without_an_era)
{
	check_removed_key(false);
}
END_TEST

/*
 * Removes a key, restores a copy that contains it, and checks that it is never
 * accepted while the operator's configurations are written again.
 */
static void
check_key_removed_before(bool states_era)
{
	struct node_fixture w;
	int64_t until;

	start(&w, states_era);
	fake_platform_copy_store(w.platform);
	fake_platform_configure(w.platform, 2, NODE_KEY);
	fake_platform_configure(w.platform, 3, NODE_KEY);
	fake_platform_configure(w.platform, 4, SECOND_KEY);
	wait_for_status(&w, "/look/1", NODE_KEY, 401);
	fake_platform_restore_store(w.platform);
	until = loop_now(w.loop) + NODE_REVOKE_MS * LOOP_USEC_PER_MSEC;
	while (loop_now(w.loop) < until) {
		unsigned int status = status_of(&w, "/look/1", NODE_KEY);

		ck_assert(status == 401 || status == 503);
		run_for(&w, 10 * LOOP_USEC_PER_MSEC);
	}
	ck_assert_uint_eq(status_of(&w, "/look/1", NODE_KEY), 401);
	ck_assert_uint_eq(status_of(&w, "/look/1", SECOND_KEY), 200);
	node_fixture_stop(&w);
}

/* Guards against a removed key that works again because the restored copy
 * contains it. */
START_TEST(key_removed_before_a_restore_stays_refused)
{
	check_key_removed_before(true);
}
END_TEST

/* The same with a store that does not state its era. */
START_TEST(key_removed_before_a_restore_stays_refused_without_an_era)
{
	check_key_removed_before(false);
}
END_TEST

/*
 * Guards against 404 for a route whose configuration the store has at a
 * revision that the node takes to be known: the store has passed the node's
 * revision again before the node reaches it. Only the era tells.
 */
START_TEST(change_below_the_known_revision_is_found)
{
	struct node_fixture w;
	int64_t confirmed_at;
	int64_t back_at;
	unsigned int status;

	start(&w, true);
	fake_platform_copy_store(w.platform);
	write_lost_reports(&w);
	run_for(&w, LOOP_USEC_PER_SEC);
	fake_platform_set_store_silent(w.platform, true);
	run_for(&w, STORE_AWAY_USEC);
	fake_platform_restore_store(w.platform);
	fake_platform_add_route(w.platform, "second");
	fake_platform_configure(w.platform, 2, NODE_KEY);
	confirmed_at = loop_now(w.loop);
	for (int i = 0; i <= LOST_ROUNDS; i++)
		fake_platform_touch_servers(w.platform);
	fake_platform_set_store_silent(w.platform, false);
	back_at = loop_now(w.loop);
	do {
		ck_assert_int_lt(loop_now(w.loop), back_at + SERVED_AGAIN_USEC);
		run_for(&w, 10 * LOOP_USEC_PER_MSEC);
		status = status_of(&w, "/second/1", NODE_KEY);
		ck_assert(status != 404 ||
		    loop_now(w.loop) <= confirmed_at +
			    NODE_CONFIG_APPLY_MS * LOOP_USEC_PER_MSEC);
	} while (status != 200);
	check_served_in_time(&w, "/second/1", confirmed_at);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Restores a copy of the time before the node wrote its keys. The revisions
 * that the keys had are not reached again. If taken, the leases of the same
 * identifiers go to other processes, so renewals succeed.
 */
static void
restore_before_node(struct node_fixture *w, bool states_era, bool taken)
{
	node_fixture_prepare(w);
	if (!states_era)
		fake_platform_hide_era(w->platform);
	fake_platform_copy_store(w->platform);
	write_lost_reports(w);
	node_spawn(w);
	node_wait_until_serving(w);
	ck_assert(has_key_within(w, ENTRY_KEY, HARNESS_DEADLINE_USEC));
	ck_assert(has_key_within(w, PLANNER_KEY, HARNESS_DEADLINE_USEC));
	run_for(w, LOOP_USEC_PER_SEC);
	fake_platform_restore_store(w->platform);
	for (int i = 0; taken && i < LEASES_TAKEN; i++)
		fake_platform_grant_lease_to_other(w->platform);
}

/*
 * Checks that the keys of a node are in the store again after a restore.
 */
static void
check_keys_are_back(struct node_fixture *w)
{
	int64_t deadline = loop_now(w->loop) + KEYS_BACK_USEC;

	ck_assert(!fake_platform_has_key(w->platform, ENTRY_KEY));
	ck_assert(!fake_platform_has_key(w->platform, PLANNER_KEY));
	ck_assert(has_key_within(w, ENTRY_KEY, KEYS_BACK_USEC));
	ck_assert(has_key_within(
	    w, PLANNER_KEY, MAX(0, deadline - loop_now(w->loop))));
}

/*
 * Checks that the node orders an empty server to hold layers again.
 */
static void
check_empty_server_gets_layers(struct node_fixture *w)
{
	int64_t deadline = loop_now(w->loop) + LAYERS_BACK_USEC;

	fake_platform_restart_engine(w->platform);
	while (!fake_platform_engine_has_layers(w->platform)) {
		ck_assert_int_lt(loop_now(w->loop), deadline);
		run_for(w, 10 * LOOP_USEC_PER_MSEC);
	}
}

/*
 * Checks the keys of a node after a restore, and that its orders go on.
 */
static void
check_keys(bool states_era, bool taken)
{
	struct node_fixture w;

	restore_before_node(&w, states_era, taken);
	check_keys_are_back(&w);
	check_empty_server_gets_layers(&w);
	node_fixture_stop(&w);
}

/* Guards against a node whose entry and planner key stay away after a restore
 * that has ended its leases. */
START_TEST(keys_of_the_node_are_written_again_after_a_restore)
{
	check_keys(true, false);
}
END_TEST

/* The same with a store that does not state its era. */
START_TEST(keys_of_the_node_are_written_again_without_an_era)
{
	check_keys(false, false);
}
END_TEST

/* Guards against a node whose entry and planner key stay away after a restore,
 * because it renews leases that are now those of other processes. */
START_TEST(keys_are_written_again_although_others_have_the_leases)
{
	check_keys(true, true);
}
END_TEST

/* The same with a store that does not state its era. */
START_TEST(
    keys_are_written_again_without_an_era_although_others_have_the_leases)
{
	check_keys(false, true);
}
END_TEST

/* Guards against orders that servers refuse after a restore, because they have
 * seen a higher fencing token before it. */
START_TEST(servers_with_higher_fences_take_orders_after_a_restore)
{
	struct node_fixture w;
	int64_t deadline;

	restore_before_node(&w, true, false);
	check_keys_are_back(&w);
	fake_platform_drain_last_layers(w.platform);
	deadline = loop_now(w.loop) + LAYERS_BACK_USEC;
	while (!fake_platform_staying_engines_hold_all_layers(w.platform)) {
		ck_assert_int_lt(loop_now(w.loop), deadline);
		run_for(&w, 10 * LOOP_USEC_PER_MSEC);
	}
	node_fixture_stop(&w);
}
END_TEST

/* Guards against a node that ignores the store for good because it no longer
 * states its era. */
START_TEST(store_that_states_its_era_no_more_is_followed)
{
	struct node_fixture w;

	start(&w, true);
	fake_platform_hide_era(w.platform);
	fake_platform_add_route(w.platform, "second");
	fake_platform_configure(w.platform, 2, NODE_KEY);
	check_served_in_time(&w, "/second/1", loop_now(w.loop));
	node_fixture_stop(&w);
}
END_TEST

/*
 * Kills the node, so that it starts again without what it knew.
 */
static void
kill_node(struct node_fixture *w)
{
	kill(w->pid, SIGKILL);
	waitpid(w->pid, NULL, 0);
	w->pid = 0;
}

/* Guards against a key that works again at a node which starts after the store
 * has come back from a copy that contains the key, before the operator has
 * written the later configurations again. */
START_TEST(key_removed_before_a_restore_stays_refused_by_a_node_that_starts)
{
	struct node_fixture w;
	struct node_call call;
	unsigned int refused = 0;
	int64_t until;

	start(&w, true);
	fake_platform_copy_store(w.platform);
	fake_platform_configure(w.platform, 2, NODE_KEY);
	fake_platform_configure(w.platform, 3, SECOND_KEY);
	wait_for_status(&w, "/look/1", NODE_KEY, 401);
	kill_node(&w);
	fake_platform_restore_store(w.platform);
	node_spawn(&w);
	until = loop_now(w.loop) + NODE_REVOKE_MS * LOOP_USEC_PER_MSEC;
	while (loop_now(w.loop) < until) {
		char id[32];

		snprintf(id, sizeof(id), "starting-%u", refused);
		node_call_plain(&w, &call, "GET", "/look/1", id, NODE_KEY);
		lstr_buf_free(&call.body);
		/* 0: the node does not listen yet. */
		ck_assert_msg(call.status == 0 || call.status == 401 ||
			call.status == 503,
		    "status %u", call.status);
		if (call.status == 503)
			ck_assert_str_ne(call.retry_after, "");
		refused += call.status != 0;
		run_for(&w, 10 * LOOP_USEC_PER_MSEC);
	}
	ck_assert_uint_gt(refused, 0);
	ck_assert_uint_eq(status_of(&w, "/look/1", NODE_KEY), 401);
	ck_assert_uint_eq(status_of(&w, "/look/1", SECOND_KEY), 200);
	node_fixture_stop(&w);
}
END_TEST

/*
 * Waits until the node has written that an era is settled.
 */
static void
wait_for_settled_era(struct node_fixture *w, int era)
{
	int64_t deadline = loop_now(w->loop) + HARNESS_DEADLINE_USEC;
	char *wanted = g_strdup_printf("\"settled\":%d", era);
	bool found = false;

	while (!found) {
		char *log = node_read_log(w);
		char **lines = g_strsplit(log, "\n", -1);

		for (char **line = lines; *line != NULL; line++)
			found = found ||
			    (strstr(*line, "era-settled") != NULL &&
				strstr(*line, wanted) != NULL);
		g_strfreev(lines);
		g_free(log);
		ck_assert_int_lt(loop_now(w->loop), deadline);
		run_for(w, 10 * LOOP_USEC_PER_MSEC);
	}
	g_free(wanted);
}

/*
 * Starts a node again and checks that it accepts a key in its first answer.
 */
static void
check_first_answer(struct node_fixture *w)
{
	unsigned int status;

	kill_node(w);
	node_spawn(w);
	do {
		run_for(w, 10 * LOOP_USEC_PER_MSEC);
		status = status_of(w, "/look/1", NODE_KEY);
	} while (status == 0);
	ck_assert_uint_eq(status, 200);
}

/* Guards against a normal start that is delayed like one after a restore: while
 * the era stays the same, and once a later one has been settled. */
START_TEST(node_that_starts_without_a_restore_accepts_keys_at_once)
{
	struct node_fixture w;

	start(&w, true);
	check_first_answer(&w);
	ck_assert(has_key_within(&w, ENTRY_KEY, HARNESS_DEADLINE_USEC));
	fake_platform_copy_store(w.platform);
	fake_platform_restore_store(w.platform);
	wait_for_settled_era(&w, 2);
	check_first_answer(&w);
	node_fixture_stop(&w);
}
END_TEST

HARNESS_MAIN("node_restored", store_that_states_its_era_no_more_is_followed,
    key_removed_before_a_restore_stays_refused_by_a_node_that_starts,
    node_that_starts_without_a_restore_accepts_keys_at_once,
    route_added_after_a_restore_is_served_in_time,
    route_added_after_a_restore_is_served_without_an_era,
    key_removed_after_a_restore_is_refused_in_time,
    key_removed_after_a_restore_is_refused_without_an_era,
    key_removed_before_a_restore_stays_refused,
    key_removed_before_a_restore_stays_refused_without_an_era,
    change_below_the_known_revision_is_found,
    keys_of_the_node_are_written_again_after_a_restore,
    keys_of_the_node_are_written_again_without_an_era,
    keys_are_written_again_although_others_have_the_leases,
    keys_are_written_again_without_an_era_although_others_have_the_leases,
    servers_with_higher_fences_take_orders_after_a_restore)
