#include "harness.h"

#include <string.h>

#include "rendezvous.h"

#define NODES 24
#define REPLICAS 1000

/*
 * Adds node i in data centre p<i % 6>; data centres p0 to p2 are in region r0,
 * p3 to p5 in r1.
 */
static void
put_node(struct view *view, int i, enum view_state state, bool ready)
{
	char node[16];
	char place[16];
	char region[16];
	bool changed = false;
	struct view_member member = {.node = node,
	    .place = place,
	    .region = region,
	    .state = state,
	    .router_address = "127.0.0.1:1",
	    .syncd_address = "127.0.0.1:2",
	    .router_ready = ready};

	snprintf(node, sizeof(node), "n%02d", i);
	snprintf(place, sizeof(place), "p%d", i % 6);
	snprintf(region, sizeof(region), "r%d", i % 6 / 3);
	ck_assert_int_eq(view_put(view, &member, &changed), STATUS_OK);
}

/*
 * Creates a view of NODES live, ready nodes.
 */
static struct view *
make_view(void)
{
	struct view *view = NULL;

	view_create(&view);
	for (int i = 0; i < NODES; i++)
		put_node(view, i, VIEW_LIVE, true);
	return view;
}

/*
 * Returns the owner of replica i of region r0.
 */
static const struct view_member *
owner_in_r0(const struct view *view, int i)
{
	char replica[16];

	snprintf(replica, sizeof(replica), "m%d", i);
	return rendezvous_replica_owner(
	    view, lstr_from("r0"), lstr_from(replica));
}

/*
 * Guards against moving replicas whose owner is unaffected when other nodes
 * fail or leave.
 */
START_TEST(only_the_replicas_of_a_lost_node_move)
{
	struct view *before = make_view();
	struct view *after = make_view();
	int moved = 0;

	put_node(after, 0, VIEW_SUSPECTED, true);
	put_node(after, 1, VIEW_LEAVING, true);
	put_node(after, 2, VIEW_LIVE, false);
	for (int i = 0; i < REPLICAS; i++) {
		const char *a = owner_in_r0(before, i)->node;
		const char *b = owner_in_r0(after, i)->node;

		if (strcmp(a, "n00") == 0 || strcmp(a, "n01") == 0 ||
		    strcmp(a, "n02") == 0) {
			moved++;
			ck_assert_str_ne(a, b);
		} else {
			ck_assert_str_eq(a, b);
		}
	}
	/*
	 * 3 of the 12 nodes of the region are lost, so a quarter is expected.
	 */
	ck_assert_int_gt(moved, REPLICAS / 8);
	ck_assert_int_lt(moved, REPLICAS / 2);
}
END_TEST

/*
 * Guards against a replica without an owner when its region has no eligible
 * router.
 */
START_TEST(owner_is_in_the_region_if_possible)
{
	struct view *view = make_view();

	for (int i = 0; i < REPLICAS; i++)
		ck_assert_str_eq(owner_in_r0(view, i)->region, "r0");
	for (int i = 0; i < NODES; i++) {
		if (i % 6 < 3)
			put_node(view, i, VIEW_SUSPECTED, true);
	}
	ck_assert_str_eq(owner_in_r0(view, 1)->region, "r1");
	for (int i = 0; i < NODES; i++)
		put_node(view, i, VIEW_LEAVING, true);
	ck_assert_ptr_null(owner_in_r0(view, 1));
	ck_assert_ptr_null(rendezvous_bucket_owner(view, 1));
}
END_TEST

/* Guards against too few or too many watchers of a data centre. */
START_TEST(each_place_has_two_watchers)
{
	struct view *view = make_view();
	int watchers[6] = {0};

	put_node(view, 0, VIEW_SUSPECTED, true);
	for (int i = 0; i < NODES; i++) {
		char node[16];

		snprintf(node, sizeof(node), "n%02d", i);
		watchers[i % 6] += rendezvous_is_watcher(view, lstr_from(node));
	}
	for (int i = 0; i < 6; i++)
		ck_assert_int_eq(watchers[i], RENDEZVOUS_WATCHERS_PER_PLACE);
	ck_assert(!rendezvous_is_watcher(view, lstr_from("n00")));
}
END_TEST

/*
 * Guards against heartbeat peers that are all in one data centre and fail
 * together.
 */
START_TEST(two_peers_share_the_place_one_does_not)
{
	const struct view_member *peers[RENDEZVOUS_HEARTBEAT_PEERS];
	struct view *view = make_view();

	ck_assert_uint_eq(
	    rendezvous_heartbeat_peers(view, lstr_from("n07"), peers), 3);
	ck_assert_str_eq(peers[0]->place, "p1");
	ck_assert_str_eq(peers[1]->place, "p1");
	ck_assert_str_ne(peers[2]->place, "p1");
	ck_assert_str_ne(peers[0]->node, peers[1]->node);
	ck_assert_str_ne(peers[0]->node, "n07");
	ck_assert_str_ne(peers[1]->node, "n07");
	put_node(view, 1, VIEW_SUSPECTED, true);
	put_node(view, 13, VIEW_SUSPECTED, true);
	put_node(view, 19, VIEW_SUSPECTED, true);
	ck_assert_uint_eq(
	    rendezvous_heartbeat_peers(view, lstr_from("n07"), peers), 3);
	ck_assert_str_ne(peers[0]->place, "p1");
}
END_TEST

/*
 * Guards against losing the copy of a record together with the node's data
 * centre.
 */
START_TEST(record_peer_is_in_another_place)
{
	struct view *view = make_view();
	const struct view_member *peer =
	    rendezvous_record_peer(view, lstr_from("n07"), lstr_from("p1"));

	ck_assert_str_ne(peer->place, "p1");
	ck_assert_str_eq(peer->region, "r0");
	for (int i = 0; i < NODES; i++) {
		if (i % 6 < 3 && i != 7)
			put_node(view, i, VIEW_SUSPECTED, true);
	}
	peer = rendezvous_record_peer(view, lstr_from("n07"), lstr_from("p1"));
	ck_assert_str_eq(peer->region, "r1");
}
END_TEST

HARNESS_MAIN("owner", only_the_replicas_of_a_lost_node_move,
    owner_is_in_the_region_if_possible, each_place_has_two_watchers,
    two_peers_share_the_place_one_does_not, record_peer_is_in_another_place)
