#include "harness.h"

#include <string.h>

#include "membership.h"

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

static struct membership *
make_membership(void)
{
	struct view_member self = entry("a", 1);

	return membership_create(&self, LEASE);
}

static void
read_entry(struct membership *m, const char *node, uint64_t boot, int64_t now)
{
	struct view_member e = entry(node, boot);

	membership_entry_read(m, &e, now);
}

static enum view_state
state_of(const struct membership *m, const char *node)
{
	const struct view_member *e =
	    view_find(membership_view(m), lstr_from(node));

	return e == NULL ? 0 : e->state;
}

/*
 * Guards against an entry that is stored without a lease or not written again
 * after its lease expired.
 */
START_TEST(entry_is_written_under_a_lease)
{
	struct membership *m = make_membership();
	int64_t now = NOW;

	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_GRANT);
	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_NONE);
	membership_grant_done(m, STATUS_OK, lstr_from("l1"), now);
	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_PUT);
	ck_assert_str_eq(membership_lease(m), "l1");
	/*
	 * The entry of an earlier boot causes a conflict and is then replaced.
	 */
	membership_put_done(m, STATUS_CONFLICT, 7, now);
	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_PUT);
	ck_assert_uint_eq(membership_entry_version(m), 7);
	membership_put_done(m, STATUS_OK, 8, now);
	ck_assert_int_eq(state_of(m, "a"), VIEW_LIVE);
	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_NONE);
	now += LEASE / 3;
	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_RENEW);
	membership_renew_done(m, STATUS_NOT_FOUND, now);
	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_GRANT);
	membership_grant_done(m, STATUS_OK, lstr_from("l2"), now);
	ck_assert_int_eq(membership_next_call(m, now), MEMBERSHIP_PUT);
	ck_assert_uint_eq(membership_entry_version(m), 0);
	membership_destroy(m);
}
END_TEST

/* Guards against retries without a delay while the service is unreachable. */
START_TEST(failed_calls_are_delayed)
{
	struct membership *m = make_membership();

	ck_assert_int_eq(membership_next_call(m, NOW), MEMBERSHIP_GRANT);
	membership_grant_done(m, STATUS_UNAVAILABLE, lstr_from(""), NOW);
	ck_assert_int_eq(membership_next_call(m, NOW), MEMBERSHIP_NONE);
	ck_assert_int_eq(membership_next_call(m, NOW + MEMBERSHIP_RETRY_USEC),
	    MEMBERSHIP_GRANT);
	membership_destroy(m);
}
END_TEST

/*
 * Guards against losing a change of the node's own entry that is made during a
 * write.
 */
START_TEST(change_during_a_write_is_written)
{
	struct membership *m = make_membership();
	struct view_member self = entry("a", 1);

	membership_next_call(m, NOW);
	membership_grant_done(m, STATUS_OK, lstr_from("l1"), NOW);
	ck_assert_int_eq(membership_next_call(m, NOW), MEMBERSHIP_PUT);
	self.state = VIEW_LEAVING;
	membership_set_self(m, &self, NOW);
	membership_put_done(m, STATUS_OK, 3, NOW);
	ck_assert_int_eq(membership_next_call(m, NOW), MEMBERSHIP_PUT);
	ck_assert_int_eq(state_of(m, "a"), VIEW_LEAVING);
	membership_destroy(m);
}
END_TEST

/*
 * Guards against suspicions that never expire or that syncds keep forwarding to
 * each other.
 */
START_TEST(suspicion_is_forwarded_once_and_expires)
{
	struct membership *m = make_membership();
	struct membership *other = make_membership();
	Ch__View *message;

	read_entry(m, "b", 1, NOW);
	read_entry(other, "b", 1, NOW);
	membership_probe_failed(m, lstr_from("b"), NOW);
	ck_assert_int_eq(state_of(m, "b"), VIEW_SUSPECTED);
	message = membership_take_suspicions(m);
	ck_assert_ptr_nonnull(message);
	ck_assert_uint_eq(message->n_members, 1);
	membership_probe_failed(m, lstr_from("b"), NOW + SEC);
	ck_assert_ptr_null(membership_take_suspicions(m));
	membership_apply_message(other, message, NOW);
	ck_assert_int_eq(state_of(other, "b"), VIEW_SUSPECTED);
	ch__view__free_unpacked(message, NULL);
	message = membership_take_suspicions(other);
	ck_assert_ptr_nonnull(message);
	membership_apply_message(m, message, NOW + SEC);
	ck_assert_ptr_null(membership_take_suspicions(m));
	ch__view__free_unpacked(message, NULL);
	membership_node_alive(m, lstr_from("b"), NOW + SEC);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	membership_tick(other, NOW + MEMBERSHIP_SUSPICION_USEC);
	ck_assert_int_eq(state_of(other, "b"), VIEW_LIVE);
	membership_destroy(m);
	membership_destroy(other);
}
END_TEST

/* Guards against a suspicion of an earlier boot that applies to a new one. */
START_TEST(new_boot_is_not_suspected)
{
	struct membership *m = make_membership();

	read_entry(m, "b", 1, NOW);
	membership_probe_failed(m, lstr_from("b"), NOW);
	read_entry(m, "b", 2, NOW);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	membership_destroy(m);
}
END_TEST

/*
 * Guards against removing all members after an outage of the service, when
 * their leases have expired.
 */
START_TEST(outage_does_not_remove_live_members)
{
	struct membership *m = make_membership();

	membership_service_up(m, NOW);
	read_entry(m, "b", 1, NOW);
	read_entry(m, "c", 1, NOW);
	read_entry(m, "d", 1, NOW);
	membership_service_down(m);
	membership_probe_failed(m, lstr_from("c"), NOW + 59 * SEC);
	membership_service_up(m, NOW + 60 * SEC);
	membership_list_begin(m);
	membership_list_end(m, NOW + 60 * SEC);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	ck_assert_int_eq(state_of(m, "c"), 0);
	read_entry(m, "b", 1, NOW + 70 * SEC);
	membership_tick(m, NOW + 60 * SEC + MEMBERSHIP_GRACE_USEC);
	ck_assert_int_eq(state_of(m, "b"), VIEW_LIVE);
	ck_assert_int_eq(state_of(m, "d"), 0);
	membership_destroy(m);
}
END_TEST

/*
 * Guards against members that are kept after their lease expired without an
 * outage.
 */
START_TEST(expired_member_is_removed)
{
	struct membership *m = make_membership();
	Ch__View *message;

	membership_service_up(m, NOW);
	read_entry(m, "b", 1, NOW);
	message = membership_take_base_changes(m);
	ck_assert_uint_eq(message->n_members, 1);
	ch__view__free_unpacked(message, NULL);
	membership_entry_deleted(m, lstr_from("b"), NOW);
	ck_assert_int_eq(state_of(m, "b"), 0);
	message = membership_take_base_changes(m);
	ck_assert_uint_eq(message->n_removed, 1);
	ck_assert_str_eq(message->removed[0], "b");
	ch__view__free_unpacked(message, NULL);
	membership_destroy(m);
}
END_TEST

/* Guards against fields that are lost when an entry is encoded and decoded. */
START_TEST(entry_is_encoded_and_decoded)
{
	struct view_member from = entry("a", 0xfedcba9876543210u);
	struct view_member to;
	json_t *json = NULL;
	char *text;

	memset(from.record_key, 7, sizeof(from.record_key));
	from.state = VIEW_LEAVING;
	from.router_ready = true;
	text = membership_entry_encode(&from);
	ck_assert_int_eq(
	    membership_entry_decode(lstr_from(text), &json, &to), STATUS_OK);
	ck_assert_str_eq(to.node, "a");
	ck_assert_uint_eq(to.boot, from.boot);
	ck_assert_int_eq(to.state, VIEW_LEAVING);
	ck_assert(to.router_ready && !to.entry_ready);
	ck_assert_mem_eq(to.record_key, from.record_key, VIEW_RECORD_KEY_BYTES);
	json_decref(json);
	free(text);
	ck_assert_int_eq(membership_entry_decode(lstr_from("{}"), &json, &to),
	    STATUS_INVALID);
}
END_TEST

HARNESS_MAIN("member", entry_is_written_under_a_lease, failed_calls_are_delayed,
    change_during_a_write_is_written, suspicion_is_forwarded_once_and_expires,
    new_boot_is_not_suspected, outage_does_not_remove_live_members,
    expired_member_is_removed, entry_is_encoded_and_decoded)
