#include "harness.h"

#include <string.h>

#include "view.h"

/*
 * Adds a live member in a data centre; returns whether the view changed.
 */
static bool
put_member(struct view *view, char *node, char *place)
{
	struct view_member member = {
	    .node = node, .place = place, .state = VIEW_LIVE, .boot = 7};
	bool changed = false;

	ck_assert_int_eq(view_put(view, &member, &changed), STATUS_OK);
	return changed;
}

/* Guards against failed lookups because the members are not sorted. */
START_TEST(members_are_sorted_and_found)
{
	struct view *view = NULL;

	view_create(&view);
	ck_assert(put_member(view, "n2", "p"));
	ck_assert(put_member(view, "n10", "p"));
	ck_assert(put_member(view, "n1", "p"));
	ck_assert_str_eq(view_at(view, 0)->node, "n1");
	ck_assert_str_eq(view_at(view, 1)->node, "n10");
	ck_assert_str_eq(view_find(view, lstr_from("n2"))->node, "n2");
	ck_assert_ptr_null(view_find(view, lstr_from("n")));
	ck_assert(view_remove(view, lstr_from("n1")));
	ck_assert(!view_remove(view, lstr_from("n1")));
	ck_assert_uint_eq(view_count(view), 2);
	view_destroy(view);
}
END_TEST

/* Guards against reporting a change when a member is unchanged. */
START_TEST(only_differences_are_changes)
{
	struct view *view = NULL;

	view_create(&view);
	ck_assert(put_member(view, "n1", "p"));
	ck_assert(!put_member(view, "n1", "p"));
	ck_assert(put_member(view, "n1", "q"));
	view_destroy(view);
}
END_TEST

/* Guards against keeping a member that a whole view does not contain. */
START_TEST(whole_view_replaces_partial_view_adds)
{
	struct view *a = NULL;
	struct view *b = NULL;
	Ch__View *message = NULL;
	bool changed = false;

	view_create(&a);
	view_create(&b);
	put_member(a, "n1", "p");
	put_member(b, "n2", "p");
	ck_assert_int_eq(view_to_message(a, 3, &message), STATUS_OK);
	message->whole = false;
	ck_assert_int_eq(view_apply(b, message, &changed), STATUS_OK);
	ck_assert(changed);
	ck_assert_uint_eq(view_count(b), 2);
	message->whole = true;
	ck_assert_int_eq(view_apply(b, message, &changed), STATUS_OK);
	ck_assert(changed);
	ck_assert_uint_eq(view_count(b), 1);
	ck_assert_uint_eq(view_find(b, lstr_from("n1"))->boot, 7);
	ck_assert_int_eq(view_apply(b, message, &changed), STATUS_OK);
	ck_assert(!changed);
	ch__view__free_unpacked(message, NULL);
	view_destroy(a);
	view_destroy(b);
}
END_TEST

/* Guards against applying a part of a malformed message. */
START_TEST(malformed_member_changes_nothing)
{
	struct view *a = NULL;
	struct view *b = NULL;
	Ch__View *message = NULL;
	bool changed = true;

	view_create(&a);
	view_create(&b);
	put_member(a, "n1", "p");
	put_member(a, "n2", "p");
	view_to_message(a, 3, &message);
	message->members[1]->state = CH__NODE_STATE__NODE_STATE_UNSPECIFIED;
	ck_assert_int_eq(view_apply(b, message, &changed), STATUS_INVALID);
	ck_assert(!changed);
	ck_assert_uint_eq(view_count(b), 0);
	ch__view__free_unpacked(message, NULL);
	view_destroy(a);
	view_destroy(b);
}
END_TEST

HARNESS_MAIN("view", members_are_sorted_and_found, only_differences_are_changes,
    whole_view_replaces_partial_view_adds, malformed_member_changes_nothing)
