#include <arpa/inet.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "node_settings.h"
#include "settings.h"

#define NAME_MAX_BYTES 100
#define PORT_MAX 65535
#define LEAVE_MAX_MS 600000
#define REVOKE_MAX_MS 600000
#define CONFIG_APPLY_MAX_MS 600000
#define SECONDS_MAX 3600
#define RETRY_SLACK_MAX 1000000
#define MEMORY_MAX_MB 1048576
/* Fewer leave too few for callers beside the reserved ones. */
#define DESCRIPTORS_MIN 256
#define DESCRIPTORS_MAX 1048576

enum field_kind {
	FIELD_STRING,
	FIELD_IP,
	FIELD_ADDRESS,
	FIELD_INTEGER,
	/* A bound of the platform, which may have a fraction. It is rounded
	 * down, so that the node keeps the bound. */
	FIELD_BOUND,
	FIELD_NUMBER
};

struct field {
	const char *name;
	enum field_kind kind;
	size_t offset;
	double min;
	double max;
	bool required;
	/* A change takes effect only after a restart of the node. */
	bool needs_restart;
};

#define OFFSET(member) offsetof(struct node_settings, member)

static const struct field fields[] = {
    {"node", FIELD_STRING, OFFSET(node), 1, NAME_MAX_BYTES, true, true},
    {"place", FIELD_STRING, OFFSET(place), 1, NAME_MAX_BYTES, true, true},
    {"region", FIELD_STRING, OFFSET(region), 1, NAME_MAX_BYTES, true, true},
    {"ip", FIELD_IP, OFFSET(ip), 0, 0, true, true},
    {"front", FIELD_ADDRESS, OFFSET(front), 0, 0, true, true},
    {"ready", FIELD_ADDRESS, OFFSET(ready), 0, 0, true, true},
    {"lookup", FIELD_ADDRESS, OFFSET(lookup), 0, 0, true, true},
    {"store", FIELD_ADDRESS, OFFSET(store), 0, 0, true, true},
    {"mesh_port", FIELD_INTEGER, OFFSET(mesh_port), 0, PORT_MAX, true, true},
    {"revoke_ms", FIELD_BOUND, OFFSET(revoke_ms), 0, REVOKE_MAX_MS, false,
	true},
    {"config_apply_ms", FIELD_BOUND, OFFSET(config_apply_ms), 0,
	CONFIG_APPLY_MAX_MS, false, true},
    {"leave_ms", FIELD_BOUND, OFFSET(leave_ms), 0, LEAVE_MAX_MS, false, true},
    {"grace_s", FIELD_NUMBER, OFFSET(grace_s), 0, SECONDS_MAX, false, false},
    {"retry_slack", FIELD_NUMBER, OFFSET(retry_slack), 0, RETRY_SLACK_MAX,
	false, true},
    {"retry_ratio", FIELD_NUMBER, OFFSET(retry_ratio), 0, 1, false, true},
    {"retry_window_s", FIELD_NUMBER, OFFSET(retry_window_s), 0.1, SECONDS_MAX,
	false, true},
    {"address_validity_max_s", FIELD_NUMBER, OFFSET(address_validity_max_s),
	0.1, SECONDS_MAX, false, false},
    {"memory_mb", FIELD_BOUND, OFFSET(memory_mb), 16, MEMORY_MAX_MB, false,
	true},
    {"descriptors", FIELD_INTEGER, OFFSET(descriptors), DESCRIPTORS_MIN,
	DESCRIPTORS_MAX, false, true},
    {"load_spread", FIELD_NUMBER, OFFSET(load_spread), 0, 1, false, true},
};

/*
 * Frees the strings of the settings.
 */
void
node_settings_clear(struct node_settings *settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		char **text = (char **)((char *)settings + fields[i].offset);

		if (fields[i].kind <= FIELD_ADDRESS)
			g_clear_pointer(text, g_free);
	}
}

/*
 * Checks and copies a string. Returns STATUS_INVALID if it is not allowed.
 */
static enum status
parse_string(const struct field *field, const char *value, char **out)
{
	struct in_addr binary;
	char *host = NULL;
	uint16_t port;

	if (value == NULL)
		return status_set(STATUS_INVALID,
		    "settings field %s: must be a string", field->name);
	if (field->kind == FIELD_STRING &&
	    (strlen(value) < field->min || strlen(value) > field->max))
		return status_set(STATUS_INVALID,
		    "settings field %s: '%s' must have a length of %g to %g "
		    "bytes",
		    field->name, value, field->min, field->max);
	if (field->kind == FIELD_IP && inet_pton(AF_INET, value, &binary) != 1)
		return status_set(STATUS_INVALID,
		    "settings field %s: '%s' is not an IPv4 address",
		    field->name, value);
	if (field->kind == FIELD_ADDRESS) {
		if (settings_split_address(value, &host, &port) != STATUS_OK)
			return status_set(STATUS_INVALID,
			    "settings field %s: '%s' is not ip:port",
			    field->name, value);
		free(host);
	}
	*out = g_strdup(value);
	return STATUS_OK;
}

/*
 * Checks and copies a number. Returns STATUS_INVALID if it has the wrong type
 * or is out of range.
 */
static enum status
parse_number(const struct field *field, const json_t *value, void *out)
{
	double number = json_number_value(value);
	bool is_integer = field->kind == FIELD_INTEGER;

	if (!json_is_number(value) || (is_integer && !json_is_integer(value)) ||
	    number < field->min || number > field->max)
		return status_set(STATUS_INVALID,
		    "settings field %s: must be %s from %g to %g", field->name,
		    is_integer ? "an integer" : "a number", field->min,
		    field->max);
	if (field->kind != FIELD_NUMBER)
		*(int64_t *)out = (int64_t)number;
	else
		*(double *)out = number;
	return STATUS_OK;
}

/*
 * Parses one field of the file. Returns STATUS_INVALID if it is unknown or its
 * value is not allowed.
 */
static enum status
parse_field(const char *name, const json_t *value, struct node_settings *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		char *target = (char *)out + fields[i].offset;

		if (strcmp(fields[i].name, name) != 0)
			continue;
		if (fields[i].kind <= FIELD_ADDRESS)
			return parse_string(&fields[i],
			    json_string_value(value), (char **)target);
		return parse_number(&fields[i], value, target);
	}
	return status_set(STATUS_INVALID, "settings field %s is unknown", name);
}

/*
 * Reads and checks the settings file. Returns STATUS_INVALID on failure;
 * status_message() names the field, its value and what is allowed.
 */
enum status
node_settings_read(const char *path, struct node_settings *out)
{
	json_error_t error;
	json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
	enum status status = STATUS_OK;
	const char *name;
	json_t *value;

	memset(out, 0, sizeof(*out));
	out->grace_s = 8;
	out->retry_window_s = 10;
	out->address_validity_max_s = 5;
	out->memory_mb = 256;
	if (!json_is_object(root)) {
		json_decref(root);
		return status_set(STATUS_INVALID,
		    "settings file %s, line %d: %s", path, error.line,
		    root ? "not an object" : error.text);
	}
	json_object_foreach(root, name, value)
	{
		status = parse_field(name, value, out);
		if (status != STATUS_OK)
			break;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fields) && status == STATUS_OK;
	     i++) {
		if (fields[i].required &&
		    json_object_get(root, fields[i].name) == NULL)
			status = status_set(STATUS_INVALID,
			    "settings field %s is missing", fields[i].name);
	}
	json_decref(root);
	if (status != STATUS_OK)
		node_settings_clear(out);
	return status;
}

/*
 * Returns the name of the first field that differs and takes effect only after
 * a restart, or NULL if there is none.
 */
const char *
node_settings_find_restart_field(
    const struct node_settings *a, const struct node_settings *b)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		const char *x = (const char *)a + fields[i].offset;
		const char *y = (const char *)b + fields[i].offset;
		bool differs;

		if (!fields[i].needs_restart)
			continue;
		if (fields[i].kind <= FIELD_ADDRESS)
			differs = g_strcmp0(*(char *const *)x,
				      *(char *const *)y) != 0;
		else
			differs = memcmp(x, y, sizeof(int64_t)) != 0;
		if (differs)
			return fields[i].name;
	}
	return NULL;
}
