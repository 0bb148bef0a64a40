#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "inventory_priv.h"
#include "settings.h"

#define ERROR_MAX 384

/*
 * Sets the error message "list[position].field: text" and returns
 * STATUS_INVALID. field may be NULL.
 */
enum status
inv_invalid(const struct inv_location *location, const char *field,
    const char *format, ...)
{
	char text[ERROR_MAX];
	char position[32] = "";
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (location->position != NO_POSITION)
		snprintf(
		    position, sizeof(position), "[%zu]", location->position);
	return status_set(STATUS_INVALID, "%s%s%s%s: %s", location->list,
	    position, field ? "." : "", field ? field : "", text);
}

/*
 * Returns a description of the JSON type of a value for error messages.
 */
const char *
inv_type_name(const json_t *json)
{
	switch (json_typeof(json)) {
	case JSON_OBJECT:
		return "an object";
	case JSON_ARRAY:
		return "a list";
	case JSON_STRING:
		return "a string";
	case JSON_INTEGER:
		return "a whole number";
	case JSON_REAL:
		return "a number with a fraction";
	case JSON_TRUE:
	case JSON_FALSE:
		return "a truth value";
	case JSON_NULL:
		break;
	}
	return "null";
}

/*
 * Returns whether a string is a valid name. Names are used in keys of the
 * key-value service, in URLs and in log lines; the allowed characters need no
 * quoting in any of them.
 */
static bool
is_name(struct lstr s)
{
	if (s.len == 0 || s.len > INV_NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (!g_ascii_isalnum(s.data[i]) && s.data[i] != '.' &&
		    s.data[i] != '_' && s.data[i] != '-')
			return false;
	}
	return true;
}

/*
 * Returns whether a string is "ip:port" with a port above 0.
 */
static bool
is_address(const char *text)
{
	char *host = NULL;
	uint16_t port = 0;

	if (settings_split_address(text, &host, &port) != STATUS_OK)
		return false;
	free(host);
	return port != 0;
}

/*
 * Validates a string field and decodes an enumerated one.
 */
static enum status
decode_text(const struct inv_location *location, const struct inv_field *field,
    struct inv_value *value)
{
	struct lstr s = value->text;

	if (field->kind == FIELD_ADDRESS) {
		if (is_address(s.data))
			return STATUS_OK;
		return inv_invalid(location, field->name,
		    "'%.64s' is not ip:port with a port from 1 to 65535",
		    s.data);
	}
	if (field->kind == FIELD_ENUM) {
		for (int i = 0; i < 2; i++) {
			value->number = i;
			if (lstr_equal_c(s, field->enum_values[i]))
				return STATUS_OK;
		}
		return inv_invalid(location, field->name,
		    "'%.64s' is not '%s' or '%s'", s.data,
		    field->enum_values[0], field->enum_values[1]);
	}
	if (field->kind == FIELD_OPERATION && lstr_equal_c(s, OPERATION_ANY))
		return STATUS_OK;
	if (is_name(s))
		return STATUS_OK;
	return inv_invalid(location, field->name,
	    "'%.64s' is not a name of 1 to %d characters of A-Z a-z 0-9 . _ -",
	    s.data, INV_NAME_MAX_BYTES);
}

/*
 * Decodes and validates one field of an entity.
 */
static enum status
decode_field(const struct inv_location *location, const struct inv_field *field,
    const json_t *json, struct inv_value *value)
{
	value->is_set = true;
	if (field->kind == FIELD_INT) {
		if (!json_is_integer(json))
			return inv_invalid(location, field->name,
			    "must be a whole number, not %s",
			    inv_type_name(json));
		value->number = json_integer_value(json);
		if (value->number >= field->min && value->number <= field->max)
			return STATUS_OK;
		return inv_invalid(location, field->name,
		    "%lld is out of range; %lld to %lld is allowed",
		    (long long)value->number, (long long)field->min,
		    (long long)field->max);
	}
	if (field->kind == FIELD_BOOL) {
		value->number = json_is_true(json);
		if (json_is_boolean(json))
			return STATUS_OK;
		return inv_invalid(location, field->name,
		    "must be true or false, not %s", inv_type_name(json));
	}
	if (!json_is_string(json))
		return inv_invalid(location, field->name,
		    "must be a string, not %s", inv_type_name(json));
	value->text =
	    lstr_make(json_string_value(json), json_string_length(json));
	return decode_text(location, field, value);
}

/*
 * Decodes an entity in one pass over its fields. values has count elements; its
 * strings are borrowed from the document.
 */
enum status
inv_decode(const struct inv_location *location, const struct inv_field *fields,
    size_t count, const json_t *json, struct inv_value *values)
{
	const char *name;
	json_t *member;

	memset(values, 0, count * sizeof(*values));
	if (!json_is_object(json))
		return inv_invalid(location, NULL, "must be an object, not %s",
		    inv_type_name(json));
	json_object_foreach((json_t *)json, name, member)
	{
		enum status status;
		size_t i = 0;

		while (i < count && strcmp(fields[i].name, name) != 0)
			i++;
		if (i == count)
			return inv_invalid(location, name, "unknown field");
		status = decode_field(location, &fields[i], member, &values[i]);
		if (status != STATUS_OK)
			return status;
	}
	for (size_t i = 0; i < count; i++) {
		if (fields[i].required && !values[i].is_set)
			return inv_invalid(
			    location, fields[i].name, "is missing");
	}
	return STATUS_OK;
}
