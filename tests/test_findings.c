#include <glib.h>

#include "findings.h"
#include "harness.h"
#include "pool.h"

#define MSEC ((int64_t)1000)
#define START (1000 * MSEC)

/*
 * Returns a pool with one server.
 */
static struct pool *
pool_with_server(struct pool_server **server)
{
	struct pool *pool = pool_new();
	struct fleet_server info = {.id = g_strdup("s1"),
	    .service = g_strdup("model"),
	    .address_text = g_strdup("10.0.0.1:80"),
	    .zone = g_strdup("a"),
	    .state = FLEET_READY,
	    .born = 7};
	bool is_new;

	*server = pool_put(pool, &info, START, &is_new);
	return pool;
}

/*
 * Guards against nodes that each lose a request at a server that has ended:
 * whoever had an event of it until the end believes the first finding.
 */
START_TEST(busy_nodes_believe_that_a_server_has_ended)
{
	struct pool_server *server;
	struct pool *pool = pool_with_server(&server);
	struct finding finding = {true, START + 50 * MSEC};

	pool_note_working(server, POOL_PROGRESS, START + 60 * MSEC);
	ck_assert(pool_usable(server, START + 80 * MSEC));
	pool_note_peer_finding(
	    server, 1, &finding, START + 480 * MSEC, START + 80 * MSEC);
	ck_assert(!pool_usable(server, START + 80 * MSEC));
	ck_assert(pool_has_ended(server, START + 80 * MSEC));
	pool_free(pool);
}
END_TEST

/*
 * Guards against a node whose finding takes a sound server from all others: its
 * next event ends the exclusion, and the finding is not believed again.
 */
START_TEST(a_server_that_works_on_is_used)
{
	struct pool_server *server;
	struct pool *pool = pool_with_server(&server);
	struct finding finding = {true, START};

	pool_note_peer_finding(
	    server, 1, &finding, START + 400 * MSEC, START + 10 * MSEC);
	ck_assert(!pool_usable(server, START + 20 * MSEC));
	pool_note_working(server, POOL_PROGRESS, START + 150 * MSEC);
	ck_assert(pool_usable(server, START + 150 * MSEC));
	pool_note_peer_finding(
	    server, 1, &finding, START + 600 * MSEC, START + 200 * MSEC);
	ck_assert(pool_usable(server, START + 200 * MSEC));
	ck_assert(!pool_has_ended(server, START + 200 * MSEC));
	pool_free(pool);
}
END_TEST

/*
 * Guards against a node that is cut off and reports silence: a node with recent
 * evidence of its own does not believe it, nor does any move its streams.
 */
START_TEST(silence_is_no_definite_finding)
{
	struct pool_server *server;
	struct pool *pool = pool_with_server(&server);
	struct finding finding = {false, START};

	pool_note_working(server, POOL_PROGRESS, START - 300 * MSEC);
	pool_note_peer_finding(server, 1, &finding, START + 400 * MSEC, START);
	ck_assert(pool_usable(server, START));
	pool_note_peer_finding(
	    server, 1, &finding, START + 900 * MSEC, START + 500 * MSEC);
	ck_assert(!pool_usable(server, START + 500 * MSEC));
	ck_assert(!pool_has_ended(server, START + 500 * MSEC));
	pool_free(pool);
}
END_TEST

/*
 * Guards against own findings that peers are told as definite although the
 * server was only silent, or that remain after it works again.
 */
START_TEST(own_findings_are_definite_only_with_evidence)
{
	struct pool_server *server;
	struct pool *pool = pool_with_server(&server);

	pool_avoid(server, POOL_SILENT, START);
	ck_assert_int_eq(pool_found_at(server), 0);
	pool_avoid(server, POOL_FAULTY, START + 5 * MSEC);
	ck_assert_int_eq(pool_found_at(server), START + 5 * MSEC);
	ck_assert(pool_has_ended(server, START + 6 * MSEC));
	pool_note_working(server, POOL_PROGRESS, START + 50 * MSEC);
	ck_assert_int_eq(pool_found_at(server), START + 5 * MSEC);
	pool_note_working(server, POOL_PROGRESS, START + 150 * MSEC);
	ck_assert_int_eq(pool_found_at(server), 0);
	ck_assert(!pool_has_ended(server, START + 150 * MSEC));
	pool_free(pool);
}
END_TEST

/*
 * Guards against streams that are moved although their next event is not yet
 * overdue.
 */
START_TEST(streams_move_only_when_events_are_overdue)
{
	ck_assert_int_eq(
	    findings_pause_usec(20 * MSEC), FINDINGS_PAUSE_MIN_USEC);
	ck_assert_int_eq(findings_pause_usec(100 * MSEC), 200 * MSEC);
}
END_TEST

HARNESS_MAIN("findings", busy_nodes_believe_that_a_server_has_ended,
    a_server_that_works_on_is_used, silence_is_no_definite_finding,
    own_findings_are_definite_only_with_evidence,
    streams_move_only_when_events_are_overdue)
