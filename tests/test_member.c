#include "harness.h"

#include <string.h>

#include "member.h"

#define SECOND LOOP_USEC_PER_SEC
#define START (1000 * SECOND)
#define LEASE_USEC (30 * SECOND)

/*
 * Describes a live node.
 */
static struct view_member
node(const char *name, uint64_t incarnation)
{
	struct view_member member = {.node = (char *)name,
	    .place = "heredia",
	    .region = "valle-central",
	    .boot = 1,
	    .incarnation = incarnation,
	    .state = VIEW_LIVE,
	    .entry_address = "",
	    .router_address = "",
	    .syncd_address = "127.0.0.1:1"};

	return member;
}

/*
 * Creates the membership of node a that also knows node b.
 */
static struct member *
two_nodes(void)
{
	struct view_member a = node("a", 10);
	struct view_member b = node("b", 20);
	struct member *m = NULL;

	ck_assert_int_eq(member_create(&a, LEASE_USEC, &m), STATUS_OK);
	member_stored(m, &b, START);
	return m;
}

/*
 * Returns the state of a node, or 0 when it is no member.
 */
static int
state_of(struct member *m, const char *name)
{
	const struct view_member *found =
	    view_find(member_view(m), lstr_from(name));

	return found ? (int)found->state : 0;
}

/*
 * Hands the changes of one membership to another.
 */
static void
pass_changes(struct member *from, struct member *to)
{
	Ch__View *view = NULL;

	ck_assert_int_eq(member_take_changes(from, &view), STATUS_OK);
	ck_assert_ptr_nonnull(view);
	member_apply(to, view, START);
	ch__view__free_unpacked(view, NULL);
}

/* Guards against a node that never publishes itself, or loses its lease. */
START_TEST(lease_is_granted_written_and_renewed)
{
	struct view_member a = node("a", 10);
	struct member *m = NULL;

	ck_assert_int_eq(member_create(&a, LEASE_USEC, &m), STATUS_OK);
	ck_assert_int_eq(member_next_work(m, START), MEMBER_WORK_GRANT);
	ck_assert_int_eq(member_next_work(m, START), MEMBER_WORK_NONE);
	member_work_done(m, STATUS_OK, lstr_from("L1"), 0, START);
	ck_assert_int_eq(member_next_work(m, START), MEMBER_WORK_WRITE);
	member_work_done(m, STATUS_OK, lstr_from(""), 4, START);
	ck_assert(member_is_published(m));
	ck_assert_int_eq(
	    member_next_work(m, START + 9 * SECOND), MEMBER_WORK_NONE);
	ck_assert_int_eq(
	    member_next_work(m, START + 10 * SECOND), MEMBER_WORK_RENEW);
	member_work_done(
	    m, STATUS_NOT_FOUND, lstr_from(""), 0, START + 10 * SECOND);
	ck_assert(!member_is_published(m));
	ck_assert_int_eq(
	    member_next_work(m, START + 10 * SECOND), MEMBER_WORK_GRANT);
	member_destroy(m);
}
END_TEST

/* Guards against a restarted node that cannot replace its old entry. */
START_TEST(conflict_takes_the_stored_version)
{
	struct member *m = two_nodes();

	member_next_work(m, START);
	member_work_done(m, STATUS_OK, lstr_from("L1"), 0, START);
	member_next_work(m, START);
	member_work_done(m, STATUS_CONFLICT, lstr_from(""), 7, START);
	ck_assert_int_eq(member_next_work(m, START), MEMBER_WORK_WRITE);
	ck_assert_uint_eq(member_own_version(m), 7);
	member_destroy(m);
}
END_TEST

/* Guards against a busy loop while the key-value service is down. */
START_TEST(failure_backs_off)
{
	struct member *m = two_nodes();

	member_next_work(m, START);
	member_work_done(m, STATUS_UNAVAILABLE, lstr_from(""), 0, START);
	ck_assert_int_eq(member_next_work(m, START + 1), MEMBER_WORK_NONE);
	ck_assert_int_eq(
	    member_next_work(m, START + 5 * SECOND), MEMBER_WORK_GRANT);
	member_destroy(m);
}
END_TEST

/* Guards against a suspicion that a live node cannot answer. */
START_TEST(suspected_node_refutes)
{
	struct view_member b = node("b", 20);
	struct view_member a = node("a", 10);
	struct member *ma = two_nodes();
	struct member *mb = NULL;

	member_create(&b, LEASE_USEC, &mb);
	member_stored(mb, &a, START);
	member_unreachable(ma, lstr_from("b"), START);
	ck_assert_int_eq(state_of(ma, "b"), VIEW_SUSPECTED);
	pass_changes(ma, mb);
	ck_assert_int_eq(state_of(mb, "b"), VIEW_LIVE);
	pass_changes(mb, ma);
	ck_assert_int_eq(state_of(ma, "b"), VIEW_LIVE);
	member_destroy(ma);
	member_destroy(mb);
}
END_TEST

/* Guards against an old statement that undoes a newer one. */
START_TEST(older_incarnation_is_ignored)
{
	struct member *m = two_nodes();
	struct view_member b = node("b", 21);

	b.state = VIEW_LEAVING;
	member_stored(m, &b, START);
	b = node("b", 20);
	member_stored(m, &b, START);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LEAVING);
	member_destroy(m);
}
END_TEST

/* Guards against all nodes being removed after an outage of the service. */
START_TEST(expiry_after_outage_waits)
{
	struct member *m = two_nodes();

	member_outage_ended(m, START);
	member_unstored(m, lstr_from("b"), START + SECOND);
	member_tick(m, START + 20 * SECOND);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	member_tick(m, START + 40 * SECOND);
	ck_assert_int_eq(state_of(m, "b"), 0);
	member_destroy(m);
}
END_TEST

/* Guards against a dead node that stays in the view. */
START_TEST(expired_node_is_removed)
{
	struct member *m = two_nodes();

	member_unstored(m, lstr_from("b"), START);
	ck_assert_int_eq(state_of(m, "b"), 0);
	member_destroy(m);
}
END_TEST

/* Guards against a late statement that brings a removed node back. */
START_TEST(removed_node_stays_removed)
{
	struct member *m = two_nodes();
	struct view_member b = node("b", 20);

	member_unstored(m, lstr_from("b"), START);
	member_stored(m, &b, START + SECOND);
	ck_assert_int_eq(state_of(m, "b"), 0);
	b.incarnation = 21;
	member_stored(m, &b, START + SECOND);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	member_destroy(m);
}
END_TEST

/* Guards against a peer that removes this node from its own view. */
START_TEST(own_removal_is_refuted)
{
	struct view_member a = node("a", 10);
	struct view_member b = node("b", 20);
	struct member *ma = two_nodes();
	struct member *mb = NULL;
	Ch__View *view = NULL;

	member_create(&b, LEASE_USEC, &mb);
	member_stored(mb, &a, START);
	member_take_changes(mb, &view);
	ch__view__free_unpacked(view, NULL);
	member_unstored(mb, lstr_from("a"), START);
	pass_changes(mb, ma);
	ck_assert_int_eq(state_of(ma, "a"), VIEW_LIVE);
	pass_changes(ma, mb);
	ck_assert_int_eq(state_of(mb, "a"), VIEW_LIVE);
	member_destroy(ma);
	member_destroy(mb);
}
END_TEST

/* Guards against entries that change in the key-value service. */
START_TEST(entry_survives_encoding)
{
	struct view_member a = node("a", UINT64_MAX);
	struct view_member back;
	struct lstr_buf text = {0};

	a.boot = UINT64_MAX - 1;
	a.record_key[31] = 0xab;
	a.router_ready = true;
	ck_assert_int_eq(member_encode(&a, &text), STATUS_OK);
	ck_assert_int_eq(member_decode(lstr_buf_view(&text), &back), STATUS_OK);
	ck_assert_str_eq(back.node, "a");
	ck_assert_uint_eq(back.incarnation, UINT64_MAX);
	ck_assert_uint_eq(back.boot, UINT64_MAX - 1);
	ck_assert_uint_eq(back.record_key[31], 0xab);
	ck_assert(back.router_ready && !back.entry_ready);
	member_decoded_free(&back);
	ck_assert_int_eq(member_decode(lstr_from("{\"node\":\"a\"}"), &back),
	    STATUS_INVALID);
	lstr_buf_free(&text);
}
END_TEST

HARNESS_MAIN("member", lease_is_granted_written_and_renewed,
    conflict_takes_the_stored_version, failure_backs_off,
    suspected_node_refutes, older_incarnation_is_ignored,
    expiry_after_outage_waits, expired_node_is_removed,
    removed_node_stays_removed, own_removal_is_refuted, entry_survives_encoding)
