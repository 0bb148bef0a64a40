#include "harness.h"
#include "urgency.h"

/*
 * Computes the classes for lists of priorities, each ended by -1.
 */
static struct urgency
classes_of(const int *organisations, const int *routes)
{
	struct urgency_priorities priorities = {0, 0};
	struct urgency urgency;

	for (; *organisations >= 0; organisations++)
		urgency_add(
		    &priorities.organisations, (uint32_t)*organisations);
	for (; *routes >= 0; routes++)
		urgency_add(&priorities.routes, (uint32_t)*routes);
	urgency_init(&urgency, &priorities);
	return urgency;
}

/*
 * Guards against routes of unlike urgency that are all served alike because
 * their organisations have the same priority.
 */
START_TEST(routes_decide_among_equal_organisations)
{
	const int organisations[] = {1, -1};
	const int routes[] = {0, 1, 2, -1};
	struct urgency urgency = classes_of(organisations, routes);

	ck_assert_uint_lt(
	    urgency_class(&urgency, 1, 0), urgency_class(&urgency, 1, 1));
	ck_assert_uint_lt(
	    urgency_class(&urgency, 1, 1), urgency_class(&urgency, 1, 2));
}
END_TEST

/*
 * Guards against a route's priority that outweighs that of the organisation.
 */
START_TEST(organisations_come_first)
{
	const int organisations[] = {0, 1, -1};
	const int routes[] = {0, 1, 2, -1};
	struct urgency urgency = classes_of(organisations, routes);

	for (uint32_t a = 0; a <= 2; a++) {
		for (uint32_t b = 0; b <= 2; b++)
			ck_assert_uint_lt(urgency_class(&urgency, 0, a),
			    urgency_class(&urgency, 1, b));
	}
}
END_TEST

/*
 * Guards against other classes than before in a configuration whose
 * organisations have no priority.
 */
START_TEST(routes_alone_keep_their_priority)
{
	const int organisations[] = {-1};
	const int routes[] = {0, 2, 5, 9, -1};
	struct urgency urgency = classes_of(organisations, routes);

	ck_assert_uint_eq(urgency_class(&urgency, URGENCY_NONE, 0), 0);
	ck_assert_uint_eq(urgency_class(&urgency, URGENCY_NONE, 2), 2);
	ck_assert_uint_eq(urgency_class(&urgency, URGENCY_NONE, 5), 5);
	ck_assert_uint_eq(
	    urgency_class(&urgency, URGENCY_NONE, 9), URGENCY_CLASSES - 1);
}
END_TEST

/*
 * Guards against classes out of range or out of order with any mix of
 * priorities, also more than there are classes.
 */
START_TEST(classes_are_ordered_for_any_priorities)
{
	for (uint32_t mask = 1; mask < 1024; mask += 7) {
		struct urgency_priorities priorities = {mask, 1023 - mask / 2};
		struct urgency urgency;
		uint32_t last = 0;

		urgency_init(&urgency, &priorities);
		for (uint32_t i = 0; i < 100; i++) {
			uint32_t class =
			    urgency_class(&urgency, (int)(i / 10), i % 10);

			ck_assert_uint_lt(class, URGENCY_CLASSES);
			ck_assert_uint_ge(class, last);
			last = class;
		}
		ck_assert_uint_lt(
		    urgency_class(&urgency, 4000, 4000), URGENCY_CLASSES);
	}
}
END_TEST

HARNESS_MAIN("urgency", routes_decide_among_equal_organisations,
    organisations_come_first, routes_alone_keep_their_priority,
    classes_are_ordered_for_any_priorities)
