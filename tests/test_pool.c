#include "harness.h"

#include <string.h>

#include "pool.h"

#define NOW ((int64_t)1000000000)

/*
 * Puts a server into the pool.
 */
static struct pool_server *
put(struct pool *pool, const char *id, const char *zone, int64_t born)
{
	struct fleet_server info = {.id = g_strdup(id),
	    .service = g_strdup("s"),
	    .address_text = g_strdup_printf("10.0.0.%s:80", id),
	    .zone = g_strdup(zone),
	    .slots = 4,
	    .layer_to = 8,
	    .born = born};
	bool is_new;

	return pool_put(pool, &info, NOW, &is_new);
}

/* Guards against a restarted server that is taken for its former self. */
START_TEST(restarted_server_is_new)
{
	struct pool *pool = pool_new();
	struct pool_server *first = put(pool, "1", "a", 100);
	struct pool_server *second;

	pool_avoid(first, NOW);
	second = put(pool, "1", "a", 200);
	ck_assert_ptr_ne(first, second);
	ck_assert(pool_usable(second, NOW));
	ck_assert(!pool_usable(first, NOW + POOL_AVOID_MAX_USEC));
	ck_assert_ptr_eq(
	    pool_find_address(pool, lstr_from("10.0.0.1:80")), second);
	pool_free(pool);
}
END_TEST

/*
 * Puts a server at a given address into the pool.
 */
static struct pool_server *
put_at(struct pool *pool, const char *id, const char *address, int64_t born)
{
	struct fleet_server info = {.id = g_strdup(id),
	    .service = g_strdup("s"),
	    .address_text = g_strdup(address),
	    .zone = g_strdup("a"),
	    .slots = 4,
	    .layer_to = 8,
	    .born = born};
	bool is_new;

	return pool_put(pool, &info, NOW, &is_new);
}

/* Guards against an entry that reappears after another process has taken the
 * address: a path with both names one engine twice, which refuses it. */
START_TEST(stale_entry_at_a_taken_address_is_not_used)
{
	const char *address = "10.0.0.1:80";
	struct pool *pool = pool_new();
	struct pool_server *former = put_at(pool, "old", address, 100);
	struct pool_server *present = put_at(pool, "new", address, 200);

	ck_assert(!pool_usable(former, NOW));
	ck_assert(pool_usable(present, NOW));
	/* A late report of the former process is written once more. */
	former = put_at(pool, "old", address, 100);
	ck_assert(!pool_usable(former, NOW));
	ck_assert(pool_usable(present, NOW));
	ck_assert_ptr_eq(pool_find_address(pool, lstr_from(address)), present);
	/* It lapses, comes back alone and is told apart once more. */
	pool_remove(pool, "old", NOW);
	former = put_at(pool, "old", address, 100);
	ck_assert(!pool_usable(former, NOW));
	ck_assert_ptr_eq(pool_find_address(pool, lstr_from(address)), present);
	pool_free(pool);
}
END_TEST

/* Guards against a live server that stays out of use because a stale entry had
 * a later start, stamped by a clock that ran ahead. */
START_TEST(live_entry_returns_when_the_later_one_is_gone)
{
	const char *address = "10.0.0.1:80";
	struct pool *pool = pool_new();
	struct pool_server *live;

	put_at(pool, "ahead", address, 5000);
	live = put_at(pool, "live", address, 3000);
	ck_assert(!pool_usable(live, NOW));
	pool_remove(pool, "ahead", NOW);
	live = put_at(pool, "live", address, 3000);
	ck_assert(pool_usable(live, NOW));
	ck_assert_ptr_eq(pool_find_address(pool, lstr_from(address)), live);
	pool_free(pool);
}
END_TEST

/* Guards streams on a server that leaves: they know until when it serves. */
START_TEST(leaving_server_serves_for_a_while)
{
	struct pool *pool = pool_new();
	struct pool_server *server = put(pool, "1", "a", 100);
	struct fleet_server draining = {.id = g_strdup("1"),
	    .service = g_strdup("s"),
	    .address_text = g_strdup("10.0.0.1:80"),
	    .zone = g_strdup("a"),
	    .state = FLEET_DRAINING,
	    .born = 100};
	bool is_new;

	pool->leave_usec = 2000000;
	ck_assert_int_eq(server->leaves_at, 0);
	pool_put(pool, &draining, NOW, &is_new);
	ck_assert_int_eq(server->leaves_at, NOW + 2000000);
	/* The removal of its entry does not begin the time anew. */
	pool_remove(pool, "1", NOW + 500000);
	ck_assert_int_eq(server->leaves_at, NOW + 2000000);
	pool_free(pool);
}
END_TEST

/* Guards a crowded engine that refuses one request: it is not taken for dead,
 * needs no question to come back, and keeps what it has. */
START_TEST(full_server_returns_by_itself)
{
	struct pool *pool = pool_new();
	struct pool_server *server = put(pool, "1", "a", 100);
	int64_t later = NOW + POOL_FULL_USEC;

	pool_note_good(server, NOW - 1);
	ck_assert(pool_note_full(server, NOW));
	ck_assert(!pool_usable(server, NOW + 1));
	ck_assert(!pool_is_on_probation(server, later));
	ck_assert(pool_usable(server, later));
	/* It made progress in between: full again, not dead. */
	pool_note_good(server, later - 1);
	ck_assert(pool_note_full(server, later));
	/* Nothing was seen of it since: a fault is likelier. */
	ck_assert(!pool_note_full(server, later + POOL_FULL_USEC));
	pool_free(pool);
}
END_TEST

/* Guards large fleets, whose nodes hear only some of the others, against an
 * estimate of memory that is too low half of the time. */
START_TEST(sampled_use_has_a_margin)
{
	const struct pool_use peers = {.memory = 110 * 1000, .active = 110};
	int64_t margin = pool_sampling_margin(&peers, 3.3);

	ck_assert_int_eq(pool_sampling_margin(&peers, 1), 0);
	/* About 16 requests of 1000 units. */
	ck_assert_int_gt(margin, 14000);
	ck_assert_int_lt(margin, 18000);
	ck_assert_int_eq(pool_sampling_margin(&(struct pool_use){0}, 3.3), 0);
}
END_TEST

/* Guards against a failed server that gets requests before it shows life. */
START_TEST(failed_server_returns_on_evidence)
{
	struct pool *pool = pool_new();
	struct pool_server *server = put(pool, "1", "a", 100);
	int64_t later = NOW + POOL_AVOID_USEC;

	ck_assert(pool_avoid(server, NOW));
	ck_assert(!pool_avoid(server, NOW + 1));
	ck_assert(!pool_usable(server, later));
	ck_assert(pool_is_on_probation(server, later));
	/* Word from before its failure is no evidence. */
	pool_note_good(server, NOW + 1);
	ck_assert(!pool_usable(server, later));
	pool_note_good(server, later);
	ck_assert(pool_usable(server, later));
	pool_free(pool);
}
END_TEST

/* Guards against one cut-off peer that takes a working server from all. */
START_TEST(own_evidence_goes_before_a_peers_word)
{
	struct pool *pool = pool_new();
	struct pool_server *server = put(pool, "1", "a", 100);

	pool_note_good(server, NOW);
	pool_peer_avoids(server, NOW + 400000, NOW + 1);
	ck_assert(pool_usable(server, NOW + 2));
	pool_peer_avoids(server, NOW + 2 * POOL_TRUST_OWN_USEC,
	    NOW + POOL_TRUST_OWN_USEC + 1);
	ck_assert(!pool_usable(server, NOW + POOL_TRUST_OWN_USEC + 2));
	pool_free(pool);
}
END_TEST

/* Guards the choice of a plain server against load, errors and distance. */
START_TEST(plain_requests_go_where_they_succeed)
{
	struct pool *pool = pool_new();
	struct pool_server *near = put(pool, "1", "a", 100);
	struct pool_server *far = put(pool, "2", "b", 100);
	GPtrArray *list = pool_service(pool, "s");

	for (uint32_t random = 0; random < 4; random++)
		ck_assert_ptr_eq(
		    pool_pick_plain(list, "a", NULL, NOW, random), near);
	near->peers.active = 8;
	ck_assert_ptr_eq(pool_pick_plain(list, "a", NULL, NOW, 0), far);
	near->peers.active = 0;
	for (int i = 0; i < 10; i++)
		pool_note_answer(near, i % 2 == 0);
	ck_assert_ptr_eq(pool_pick_plain(list, "a", NULL, NOW, 0), far);
	ck_assert_ptr_eq(pool_pick_plain(list, "a", far, NOW, 0), near);
	pool_avoid(near, NOW);
	ck_assert_ptr_null(pool_pick_plain(list, "a", far, NOW, 0));
	g_ptr_array_free(list, TRUE);
	pool_free(pool);
}
END_TEST

/* Guards against a pace that is held against a server for good. */
START_TEST(slowness_fades_without_evidence)
{
	struct pool *pool = pool_new();
	struct pool_server *server = put(pool, "1", "a", 100);

	for (int i = 0; i < 30; i++)
		pool_note_pace(server, 8, NOW);
	ck_assert_double_gt(pool_slowness(server, NOW), 5);
	ck_assert_double_lt(
	    pool_slowness(server, NOW + 30 * LOOP_USEC_PER_SEC), 1.1);
	pool_free(pool);
}
END_TEST

HARNESS_MAIN("pool", restarted_server_is_new,
    stale_entry_at_a_taken_address_is_not_used,
    live_entry_returns_when_the_later_one_is_gone,
    leaving_server_serves_for_a_while, full_server_returns_by_itself,
    sampled_use_has_a_margin, failed_server_returns_on_evidence,
    own_evidence_goes_before_a_peers_word, plain_requests_go_where_they_succeed,
    slowness_fades_without_evidence)
