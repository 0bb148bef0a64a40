#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "harness.h"
#include "node_settings.h"
#include "status.h"

/* The fields that every file must have. */
#define REQUIRED                                                               \
	"\"node\":\"n1\",\"place\":\"p\",\"region\":\"r\","                    \
	"\"ip\":\"127.0.0.1\",\"front\":\"127.0.0.1:1\","                      \
	"\"ready\":\"127.0.0.1:2\",\"lookup\":\"127.0.0.1:3\","                \
	"\"store\":\"127.0.0.1:4\",\"mesh_port\":5"

/*
 * Reads settings that consist of the required fields and further ones.
 */
static enum status
read_with(const char *more, struct node_settings *out)
{
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";
	char *path =
	    g_strdup_printf("%s/tests/settings-%ld", build, (long)getpid());
	char *text = g_strdup_printf("{%s%s}", REQUIRED, more);
	enum status status;

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	status = node_settings_read(path, out);
	unlink(path);
	g_free(text);
	g_free(path);
	return status;
}

/*
 * Guards against a node that does not start because a bound of the platform
 * has a fraction: bounds are divided by the size of a deployment.
 */
START_TEST(bounds_with_fractions_are_rounded_down)
{
	struct node_settings settings;

	ck_assert_int_eq(
	    read_with(",\"revoke_ms\":263.9,\"leave_ms\":4000.5,"
		      "\"grace_s\":7.5,\"retry_slack\":40.7,"
		      "\"retry_ratio\":0.25,\"address_validity_max_s\":4.5,"
		      "\"memory_mb\":160.9",
		&settings),
	    STATUS_OK);
	ck_assert_int_eq(settings.revoke_ms, 263);
	ck_assert_int_eq(settings.leave_ms, 4000);
	ck_assert_int_eq(settings.memory_mb, 160);
	ck_assert(settings.grace_s > 7.4 && settings.grace_s < 7.6);
	ck_assert(settings.retry_slack > 40.6 && settings.retry_slack < 40.8);
	node_settings_clear(&settings);
}
END_TEST

/* Guards against a bound of 0, which means "none", being refused. */
START_TEST(bounds_may_be_zero)
{
	struct node_settings settings;

	ck_assert_int_eq(
	    read_with(",\"revoke_ms\":0,\"leave_ms\":0.0,\"grace_s\":0,"
		      "\"retry_slack\":0,\"retry_ratio\":0",
		&settings),
	    STATUS_OK);
	ck_assert_int_eq(settings.revoke_ms, 0);
	ck_assert(settings.retry_slack == 0);
	node_settings_clear(&settings);
}
END_TEST

/* Guards against absent bounds that leave a field without a default. */
START_TEST(absent_bounds_have_defaults)
{
	struct node_settings settings;

	ck_assert_int_eq(read_with("", &settings), STATUS_OK);
	ck_assert_int_eq(settings.revoke_ms, 0);
	ck_assert(settings.grace_s > 0);
	ck_assert(settings.address_validity_max_s > 0);
	ck_assert_int_gt(settings.memory_mb, 0);
	ck_assert_int_eq(settings.descriptors, 0);
	ck_assert(settings.load_spread == 0);
	node_settings_clear(&settings);
}
END_TEST

/*
 * Guards against values of other kinds that pass as numbers; the refusal names
 * the field and what is allowed.
 */
START_TEST(other_values_are_refused_with_the_field)
{
	static const char *const names[] = {"revoke_ms", "config_apply_ms",
	    "leave_ms", "grace_s", "retry_slack", "retry_ratio",
	    "address_validity_max_s", "memory_mb", "descriptors",
	    "load_spread"};
	static const char *const values[] = {
	    "true", "false", "null", "\"4\"", "-1", "1e300", "[]"};
	struct node_settings settings;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(values); k++) {
			char *more =
			    g_strdup_printf(",\"%s\":%s", names[i], values[k]);

			ck_assert_int_eq(
			    read_with(more, &settings), STATUS_INVALID);
			ck_assert_ptr_nonnull(
			    strstr(status_message(), names[i]));
			ck_assert_ptr_nonnull(
			    strstr(status_message(), "must be"));
			g_free(more);
		}
	}
	ck_assert_int_eq(
	    read_with(",\"mesh_port\":5.5", &settings), STATUS_INVALID);
}
END_TEST

HARNESS_MAIN("node_settings", bounds_with_fractions_are_rounded_down,
    bounds_may_be_zero, absent_bounds_have_defaults,
    other_values_are_refused_with_the_field)
