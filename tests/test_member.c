#include "harness.h"

#include <string.h>

#include "member.h"

#define SEC ((int64_t)1000000)
#define NOW (1000 * SEC)
#define LEASE (30 * SEC)

/*
 * Returns a live entry of a node.
 */
static struct view_member
entry(const char *node, uint64_t boot)
{
	struct view_member m = {.node = (char *)node,
	    .place = "p",
	    .region = "r",
	    .boot = boot,
	    .state = VIEW_LIVE,
	    .entry_address = "",
	    .router_address = "",
	    .syncd_address = "127.0.0.1:1"};

	return m;
}

static struct member *
make(void)
{
	struct view_member self = entry("a", 1);

	return member_create(&self, LEASE);
}

static void
enter(struct member *m, const char *node, uint64_t boot, int64_t now)
{
	struct view_member e = entry(node, boot);

	member_entered(m, &e, now);
}

static enum view_state
state_of(const struct member *m, const char *node)
{
	const struct view_member *e =
	    view_find(member_view(m), lstr_from(node));

	return e == NULL ? 0 : e->state;
}

/*
 * Guards against an entry that is stored without a lease or not written again
 * after its lease expired.
 */
START_TEST(entry_is_kept_on_a_lease)
{
	struct member *m = make();
	int64_t now = NOW;

	ck_assert_int_eq(member_next_call(m, now), MEMBER_GRANT);
	ck_assert_int_eq(member_next_call(m, now), MEMBER_NONE);
	member_granted(m, STATUS_OK, lstr_from("l1"), now);
	ck_assert_int_eq(member_next_call(m, now), MEMBER_PUT);
	ck_assert_str_eq(member_lease(m), "l1");
	/*
	 * The entry of an earlier boot causes a conflict and is then replaced.
	 */
	member_written(m, STATUS_CONFLICT, 7, now);
	ck_assert_int_eq(member_next_call(m, now), MEMBER_PUT);
	ck_assert_uint_eq(member_version(m), 7);
	member_written(m, STATUS_OK, 8, now);
	ck_assert_int_eq(state_of(m, "a"), VIEW_LIVE);
	ck_assert_int_eq(member_next_call(m, now), MEMBER_NONE);
	now += LEASE / 3;
	ck_assert_int_eq(member_next_call(m, now), MEMBER_RENEW);
	member_renewed(m, STATUS_NOT_FOUND, now);
	ck_assert_int_eq(member_next_call(m, now), MEMBER_GRANT);
	member_granted(m, STATUS_OK, lstr_from("l2"), now);
	ck_assert_int_eq(member_next_call(m, now), MEMBER_PUT);
	ck_assert_uint_eq(member_version(m), 0);
	member_destroy(m);
}
END_TEST

/* Guards against retries without a delay while the service is unreachable. */
START_TEST(failed_calls_wait)
{
	struct member *m = make();

	ck_assert_int_eq(member_next_call(m, NOW), MEMBER_GRANT);
	member_granted(m, STATUS_UNAVAILABLE, lstr_from(""), NOW);
	ck_assert_int_eq(member_next_call(m, NOW), MEMBER_NONE);
	ck_assert_int_eq(
	    member_next_call(m, NOW + MEMBER_RETRY_USEC), MEMBER_GRANT);
	member_destroy(m);
}
END_TEST

/*
 * Guards against losing a change of this node's entry that is made during a
 * write.
 */
START_TEST(change_during_a_write_is_written)
{
	struct member *m = make();
	struct view_member self = entry("a", 1);

	member_next_call(m, NOW);
	member_granted(m, STATUS_OK, lstr_from("l1"), NOW);
	ck_assert_int_eq(member_next_call(m, NOW), MEMBER_PUT);
	self.state = VIEW_LEAVING;
	member_set_self(m, &self, NOW);
	member_written(m, STATUS_OK, 3, NOW);
	ck_assert_int_eq(member_next_call(m, NOW), MEMBER_PUT);
	ck_assert_int_eq(state_of(m, "a"), VIEW_LEAVING);
	member_destroy(m);
}
END_TEST

/*
 * Guards against suspicions that never expire or that syncds keep forwarding to
 * each other.
 */
START_TEST(suspicion_spreads_once_and_ends)
{
	struct member *m = make();
	struct member *other = make();
	Ch__View *message;

	enter(m, "b", 1, NOW);
	enter(other, "b", 1, NOW);
	member_failed(m, lstr_from("b"), NOW);
	ck_assert_int_eq(state_of(m, "b"), VIEW_SUSPECTED);
	message = member_take_suspicions(m);
	ck_assert_ptr_nonnull(message);
	ck_assert_uint_eq(message->n_members, 1);
	member_failed(m, lstr_from("b"), NOW + SEC);
	ck_assert_ptr_null(member_take_suspicions(m));
	member_pushed(other, message, NOW);
	ck_assert_int_eq(state_of(other, "b"), VIEW_SUSPECTED);
	ch__view__free_unpacked(message, NULL);
	message = member_take_suspicions(other);
	ck_assert_ptr_nonnull(message);
	member_pushed(m, message, NOW + SEC);
	ck_assert_ptr_null(member_take_suspicions(m));
	ch__view__free_unpacked(message, NULL);
	member_heard(m, lstr_from("b"), NOW + SEC);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	member_tick(other, NOW + MEMBER_SUSPICION_USEC);
	ck_assert_int_eq(state_of(other, "b"), VIEW_LIVE);
	member_destroy(m);
	member_destroy(other);
}
END_TEST

/* Guards against a suspicion of an earlier boot that applies to a new one. */
START_TEST(new_boot_is_not_suspected)
{
	struct member *m = make();

	enter(m, "b", 1, NOW);
	member_failed(m, lstr_from("b"), NOW);
	enter(m, "b", 2, NOW);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	member_destroy(m);
}
END_TEST

/*
 * Guards against removing all members after an outage of the service, when
 * their leases have expired.
 */
START_TEST(outage_does_not_remove_live_members)
{
	struct member *m = make();

	member_service_up(m, NOW);
	enter(m, "b", 1, NOW);
	enter(m, "c", 1, NOW);
	enter(m, "d", 1, NOW);
	member_service_down(m);
	member_failed(m, lstr_from("c"), NOW + 59 * SEC);
	member_service_up(m, NOW + 60 * SEC);
	member_list_begin(m);
	member_list_end(m, NOW + 60 * SEC);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	ck_assert_int_eq(state_of(m, "c"), 0);
	enter(m, "b", 1, NOW + 70 * SEC);
	member_tick(m, NOW + 60 * SEC + MEMBER_GRACE_USEC);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	ck_assert_int_eq(state_of(m, "d"), 0);
	member_destroy(m);
}
END_TEST

/*
 * Guards against members that are kept after their lease expired without an
 * outage.
 */
START_TEST(expired_member_is_removed)
{
	struct member *m = make();
	Ch__View *message;

	member_service_up(m, NOW);
	enter(m, "b", 1, NOW);
	message = member_take_base_changes(m);
	ck_assert_uint_eq(message->n_members, 1);
	ch__view__free_unpacked(message, NULL);
	member_removed(m, lstr_from("b"), NOW);
	ck_assert_int_eq(state_of(m, "b"), 0);
	message = member_take_base_changes(m);
	ck_assert_uint_eq(message->n_removed, 1);
	ck_assert_str_eq(message->removed[0], "b");
	ch__view__free_unpacked(message, NULL);
	member_destroy(m);
}
END_TEST

/* Guards against fields that are lost when an entry is encoded and decoded. */
START_TEST(entry_survives_its_text)
{
	struct view_member from = entry("a", 0xfedcba9876543210u);
	struct view_member to;
	json_t *json = NULL;
	char *text;

	memset(from.record_key, 7, sizeof(from.record_key));
	from.state = VIEW_LEAVING;
	from.router_ready = true;
	text = member_to_text(&from);
	ck_assert_int_eq(
	    member_from_text(lstr_from(text), &json, &to), STATUS_OK);
	ck_assert_str_eq(to.node, "a");
	ck_assert_uint_eq(to.boot, from.boot);
	ck_assert_int_eq(to.state, VIEW_LEAVING);
	ck_assert(to.router_ready && !to.entry_ready);
	ck_assert_mem_eq(to.record_key, from.record_key, VIEW_RECORD_KEY_BYTES);
	json_decref(json);
	free(text);
	ck_assert_int_eq(
	    member_from_text(lstr_from("{}"), &json, &to), STATUS_INVALID);
}
END_TEST

HARNESS_MAIN("member", entry_is_kept_on_a_lease, failed_calls_wait,
    change_during_a_write_is_written, suspicion_spreads_once_and_ends,
    new_boot_is_not_suspected, outage_does_not_remove_live_members,
    expired_member_is_removed, entry_survives_its_text)
