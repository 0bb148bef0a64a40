#include "harness.h"

#include <string.h>

#include "settings.h"

#define TABLE                                                                  \
	{                                                                      \
		{"port-count", SETTING_INT, "5", 1, 10, "A number", false,     \
		    NULL, 0},                                                  \
		    {"listen", SETTING_ADDRESS, NULL, 0, 0, "An address",      \
			true, NULL, 0},                                        \
		{                                                              \
			NULL, SETTING_TEXT, NULL, 0, 0, NULL, false, NULL, 0   \
		}                                                              \
	}

/*
 * Parses a command line of at most three arguments.
 */
static enum status
parse(struct setting *table, char *a, char *b, char *c)
{
	char *args[] = {"test", a, b, c, NULL};
	char **argv = args;
	int argc = 1;

	while (args[argc] != NULL)
		argc++;
	return settings_parse(table, "test", NULL, &argc, &argv);
}

/* Guards against the environment taking precedence over a flag. */
START_TEST(flag_overrides_environment)
{
	struct setting table[] = TABLE;

	setenv("CHESTNUTHOIST_PORT_COUNT", "7", 1);
	setenv("CHESTNUTHOIST_LISTEN", "127.0.0.1:80", 1);
	ck_assert_int_eq(parse(table, "--port-count=9", NULL, NULL), STATUS_OK);
	ck_assert_int_eq(settings_get(table, "port-count")->number, 9);
	ck_assert_str_eq(settings_get(table, "listen")->text, "127.0.0.1:80");
}
END_TEST

/* Guards against accepting a number out of range, or an unhelpful message. */
START_TEST(invalid_number_error_names_setting_value_and_range)
{
	struct setting table[] = TABLE;

	ck_assert_int_eq(
	    parse(table, "--port-count=11", "--listen=127.0.0.1:1", NULL),
	    STATUS_INVALID);
	ck_assert_ptr_nonnull(strstr(status_message(), "--port-count"));
	ck_assert_ptr_nonnull(strstr(status_message(), "'11'"));
	ck_assert_ptr_nonnull(strstr(status_message(), "1 to 10"));
}
END_TEST

/* Guards against accepting a host name or an invalid port in an address. */
START_TEST(invalid_address_is_rejected)
{
	struct setting table[] = TABLE;

	ck_assert_int_eq(
	    parse(table, "--listen=example:80", NULL, NULL), STATUS_INVALID);
	ck_assert_int_eq(parse(table, "--listen=127.0.0.1:70000", NULL, NULL),
	    STATUS_INVALID);
}
END_TEST

/* Guards against starting without a required setting. */
START_TEST(missing_setting_is_named)
{
	struct setting table[] = TABLE;

	unsetenv("CHESTNUTHOIST_LISTEN");
	ck_assert_int_eq(parse(table, NULL, NULL, NULL), STATUS_INVALID);
	ck_assert_ptr_nonnull(strstr(status_message(), "--listen"));
}
END_TEST

HARNESS_MAIN("settings", flag_overrides_environment,
    invalid_number_error_names_setting_value_and_range,
    invalid_address_is_rejected, missing_setting_is_named)
