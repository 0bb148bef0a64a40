#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <glib.h>

#include "lstr.h"
#include "settings.h"

#define ENVIRONMENT_PREFIX "CHESTNUTHOIST_"
#define ENVIRONMENT_NAME_MAX 128
#define KEY_HEX_DIGITS 64
#define PORT_MAX 65535

/*
 * Writes the name of a setting's environment variable to out: the prefix and
 * the name in upper case, with '-' replaced by '_'.
 */
static void
environment_name(const char *name, char *out, size_t size)
{
	size_t len = 0;

	snprintf(out, size, "%s", ENVIRONMENT_PREFIX);
	len = strlen(out);
	for (; *name != '\0' && len + 1 < size; name++)
		out[len++] = *name == '-' ? '_' : g_ascii_toupper(*name);
	out[len] = '\0';
}

/*
 * Splits "ip:port" or "[ip]:port" into a host that the caller frees with
 * free() and a port in host order. Returns STATUS_INVALID for anything else.
 */
enum status
settings_split_address(const char *address, char **host, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	struct in6_addr binary;
	struct lstr ip;
	int64_t number;
	char *copy;

	if (colon == NULL ||
	    lstr_to_int64(lstr_from(colon + 1), &number) != STATUS_OK ||
	    number < 0 || number > PORT_MAX)
		return status_set(
		    STATUS_INVALID, "'%s' is not ip:port", address);
	ip = lstr_make(address, (size_t)(colon - address));
	if (ip.len > 2 && ip.data[0] == '[' && ip.data[ip.len - 1] == ']')
		ip = lstr_make(ip.data + 1, ip.len - 2);
	copy = lstr_dup_c(ip);
	if (copy == NULL)
		return status_set(STATUS_NO_MEMORY, "address");
	if (inet_pton(AF_INET, copy, &binary) != 1 &&
	    inet_pton(AF_INET6, copy, &binary) != 1) {
		free(copy);
		return status_set(
		    STATUS_INVALID, "'%s' is not ip:port", address);
	}
	*host = copy;
	*port = (uint16_t)number;
	return STATUS_OK;
}

/*
 * Validates an integer setting and stores its value.
 */
static enum status
check_int(struct setting *s)
{
	if (lstr_to_int64(lstr_from(s->text), &s->number) == STATUS_OK &&
	    s->number >= s->min && s->number <= s->max)
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "setting --%s: '%s' is not allowed; a whole number from %lld to "
	    "%lld is",
	    s->name, s->text, (long long)s->min, (long long)s->max);
}

/*
 * Validates a Boolean setting and stores 0 or 1.
 */
static enum status
check_bool(struct setting *s)
{
	if (strcmp(s->text, "true") == 0 || strcmp(s->text, "false") == 0) {
		s->number = strcmp(s->text, "true") == 0;
		return STATUS_OK;
	}
	return status_set(STATUS_INVALID,
	    "setting --%s: '%s' is not allowed; 'true' or 'false' is", s->name,
	    s->text);
}

/*
 * Validates an address setting.
 */
static enum status
check_address(const struct setting *s)
{
	char *host = NULL;
	uint16_t port;

	if (settings_split_address(s->text, &host, &port) == STATUS_OK) {
		free(host);
		return STATUS_OK;
	}
	return status_set(STATUS_INVALID,
	    "setting --%s: '%s' is not allowed; ip:port with a port from 0 to "
	    "65535 is",
	    s->name, s->text);
}

/*
 * Validates a key setting. The error message does not quote the value.
 */
static enum status
check_key(const struct setting *s)
{
	size_t len = strlen(s->text);

	if (len == KEY_HEX_DIGITS &&
	    strspn(s->text, "0123456789abcdefABCDEF") == len)
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "setting --%s: a value of %zu characters is not allowed; 64 "
	    "hexadecimal digits are",
	    s->name, len);
}

/*
 * Validates one setting after flags, environment and defaults were applied.
 */
static enum status
check_setting(struct setting *s)
{
	size_t len;

	if (s->text == NULL) {
		if (!s->required)
			return STATUS_OK;
		return status_set(STATUS_INVALID,
		    "setting --%s is required: %s", s->name, s->help);
	}
	switch (s->kind) {
	case SETTING_INT:
		return check_int(s);
	case SETTING_BOOL:
		return check_bool(s);
	case SETTING_ADDRESS:
		return check_address(s);
	case SETTING_KEY:
		return check_key(s);
	case SETTING_TEXT:
		break;
	}
	len = strlen(s->text);
	if ((int64_t)len >= s->min && (s->max == 0 || (int64_t)len <= s->max))
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "setting --%s: '%s' is not allowed; %lld to %lld characters are",
	    s->name, s->text, (long long)s->min, (long long)s->max);
}

/*
 * Sets a value that no flag gave from the environment, or else to the default.
 */
static void
apply_environment_or_default(struct setting *s)
{
	char name[ENVIRONMENT_NAME_MAX];
	const char *value;

	if (s->text != NULL)
		return;
	environment_name(s->name, name, sizeof(name));
	value = getenv(name);
	if (value == NULL)
		value = s->default_value;
	if (value != NULL)
		s->text = g_strdup(value);
}

/*
 * Parses the arguments with GOption, which stores the values in the table.
 */
static enum status
parse_flags(struct setting *table, const char *summary, const char *usage,
    int *argc, char ***argv, gboolean *version)
{
	GOptionContext *context = g_option_context_new(usage);
	GError *error = NULL;
	enum status status = STATUS_OK;
	GOptionEntry version_entry[] = {{"version", 0, 0, G_OPTION_ARG_NONE,
					    version, "Print the version", NULL},
	    {0}};

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, version_entry, NULL);
	for (struct setting *s = table; s->name != NULL; s++) {
		GOptionEntry entry[] = {{s->name, 0, 0, G_OPTION_ARG_STRING,
					    &s->text, s->help, "VALUE"},
		    {0}};

		s->text = NULL;
		g_option_context_add_main_entries(context, entry, NULL);
	}
	if (!g_option_context_parse(context, argc, argv, &error)) {
		status = status_set(STATUS_INVALID, "%s", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return status;
}

/*
 * Reads and validates all settings. Flags take precedence over
 * CHESTNUTHOIST_<NAME> variables, which take precedence over defaults. --help
 * and --version print and exit with 0. Arguments that are not flags stay in
 * argv. Returns STATUS_INVALID with a message that names the setting, its value
 * and the allowed values.
 */
enum status
settings_parse(struct setting *table, const char *summary, const char *usage,
    int *argc, char ***argv)
{
	gboolean version = FALSE;
	enum status status =
	    parse_flags(table, summary, usage, argc, argv, &version);

	if (status != STATUS_OK)
		return status;
	if (version) {
		printf("chestnuthoist %s\n", CH_VERSION);
		exit(0);
	}
	for (struct setting *s = table; s->name != NULL; s++) {
		apply_environment_or_default(s);
		status = check_setting(s);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

/*
 * Finds a setting by name; the table must contain it.
 */
const struct setting *
settings_get(const struct setting *table, const char *name)
{
	for (const struct setting *s = table; s->name != NULL; s++) {
		if (strcmp(s->name, name) == 0)
			return s;
	}
	assert(!"unknown setting");
	abort();
}

/*
 * Frees the values of a table.
 */
void
settings_free(struct setting *table)
{
	for (struct setting *s = table; s->name != NULL; s++) {
		g_free(s->text);
		s->text = NULL;
	}
}
