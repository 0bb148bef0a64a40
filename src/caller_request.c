#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "caller_request.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define KEY_SECONDS_DIGITS_MAX 12
#define KEY_SUFFIX_MAX 64
#define USEC_PER_MSEC ((int64_t)1000)
#define USEC_PER_SEC ((int64_t)1000000)

#define KEY_FORMAT                                                             \
	"<unix seconds>-<1 to 64 characters of A-Z, a-z, 0-9, '_' and '-'>"

/*
 * Fills in a refusal and returns STATUS_INVALID.
 */
__attribute__((format(printf, 4, 5))) static enum status
fill_refusal(struct refusal *refusal, unsigned int http_status,
    const char *code, const char *format, ...)
{
	va_list args;

	refusal->http_status = http_status;
	refusal->code = code;
	va_start(args, format);
	vsnprintf(refusal->message, sizeof(refusal->message), format, args);
	va_end(args);
	return STATUS_INVALID;
}

/*
 * Parses a string field of min to max bytes into out.
 */
static enum status
parse_text_field(const char *name, const json_t *value, size_t min, size_t max,
    struct lstr *out, struct refusal *refusal)
{
	size_t len = json_string_length(value);

	if (!json_is_string(value))
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "wrong-type",
		    "field '%s' must be a text", name);
	if (len > max)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "too-long",
		    "field '%s' has %zu bytes; at most %zu are allowed", name,
		    len, max);
	if (len < min)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "empty",
		    "field '%s' must not be empty", name);
	*out = lstr_make(json_string_value(value), len);
	return STATUS_OK;
}

/*
 * Parses an integer field from min to max into out.
 */
static enum status
parse_int_field(const char *name, const json_t *value, int64_t min, int64_t max,
    int64_t *out, struct refusal *refusal)
{
	if (!json_is_integer(value))
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "wrong-type",
		    "field '%s' must be a whole number", name);
	*out = json_integer_value(value);
	if (*out < min || *out > max)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "out-of-range",
		    "field '%s' is %lld; %lld to %lld are allowed", name,
		    (long long)*out, (long long)min, (long long)max);
	return STATUS_OK;
}

/*
 * Parses one field of a request.
 */
static enum status
parse_field(const char *name, const json_t *value,
    struct caller_request *caller_request, struct refusal *refusal)
{
	int64_t number = 0;
	enum status status;

	if (strcmp(name, "organisation") == 0)
		return parse_text_field(name, value, 1,
		    CALLER_REQUEST_NAME_MAX_BYTES,
		    &caller_request->organisation, refusal);
	if (strcmp(name, "service") == 0)
		return parse_text_field(name, value, 1,
		    CALLER_REQUEST_NAME_MAX_BYTES, &caller_request->service,
		    refusal);
	if (strcmp(name, "operation") == 0)
		return parse_text_field(name, value, 1,
		    CALLER_REQUEST_NAME_MAX_BYTES, &caller_request->operation,
		    refusal);
	if (strcmp(name, "prompt") == 0)
		return parse_text_field(name, value, 0,
		    CALLER_REQUEST_PROMPT_MAX_BYTES, &caller_request->prompt,
		    refusal);
	if (strcmp(name, "max_tokens") == 0) {
		status = parse_int_field(name, value, 1,
		    CALLER_REQUEST_TOKENS_MAX, &number, refusal);
		caller_request->max_tokens = (uint32_t)number;
		caller_request->has_max_tokens = true;
		return status;
	}
	if (strcmp(name, "deadline") == 0) {
		status = parse_int_field(name, value, 1,
		    INT64_MAX / USEC_PER_MSEC, &number, refusal);
		if (status == STATUS_OK)
			caller_request->deadline = number * USEC_PER_MSEC;
		return status;
	}
	return fill_refusal(refusal, HTTP_BAD_REQUEST, "unknown-field",
	    "field '%.*s' is not known", CALLER_REQUEST_NAME_MAX_BYTES, name);
}

/*
 * Parses all fields and checks that the required ones are present.
 */
static enum status
parse_fields(struct caller_request *caller_request, struct refusal *refusal)
{
	const char *name;
	json_t *value;
	const char *missing = NULL;

	json_object_foreach(caller_request->json, name, value)
	{
		if (parse_field(name, value, caller_request, refusal) !=
		    STATUS_OK)
			return STATUS_INVALID;
	}
	if (caller_request->organisation.data == NULL)
		missing = "organisation";
	else if (caller_request->service.data == NULL)
		missing = "service";
	else if (caller_request->operation.data == NULL)
		missing = "operation";
	else if (caller_request->prompt.data == NULL)
		missing = "prompt";
	if (missing != NULL)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "missing-field",
		    "field '%s' is missing", missing);
	return STATUS_OK;
}

/*
 * Parses the body, which must be one JSON object without duplicate keys.
 */
static enum status
parse_body(struct lstr body, struct caller_request *caller_request,
    struct refusal *refusal)
{
	json_error_t error;

	caller_request->json =
	    json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES, &error);
	if (caller_request->json == NULL)
		return fill_refusal(refusal, HTTP_BAD_REQUEST,
		    json_error_code(&error) == json_error_duplicate_key
			? "duplicate-key"
			: "malformed",
		    "line %d, column %d: %s", error.line, error.column,
		    error.text);
	if (!json_is_object(caller_request->json))
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "malformed",
		    "the body must be a JSON object");
	return STATUS_OK;
}

/*
 * Checks the format of an idempotency key, and that its issue time is not more
 * than CALLER_REQUEST_KEY_AHEAD_MAX_SEC after now: such a key would be held
 * longer than its window.
 */
static enum status
check_key_format(struct lstr key, int64_t now, struct refusal *refusal)
{
	const char *hyphen = memchr(key.data, '-', key.len);
	size_t seconds_len = hyphen ? (size_t)(hyphen - key.data) : 0;
	size_t suffix_len = hyphen ? key.len - seconds_len - 1 : 0;
	int64_t seconds = 0;
	bool valid = seconds_len > 0 && seconds_len <= KEY_SECONDS_DIGITS_MAX &&
	    suffix_len > 0 && suffix_len <= KEY_SUFFIX_MAX &&
	    lstr_to_int64(lstr_make(key.data, seconds_len), &seconds) ==
		STATUS_OK;

	for (size_t i = 0; valid && i < suffix_len; i++)
		valid = g_ascii_isalnum(hyphen[1 + i]) ||
		    hyphen[1 + i] == '_' || hyphen[1 + i] == '-';
	if (!valid)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "key-malformed",
		    "Idempotency-Key must have the form " KEY_FORMAT);
	if (seconds > now / USEC_PER_SEC + CALLER_REQUEST_KEY_AHEAD_MAX_SEC)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "key-malformed",
		    "the issue time of Idempotency-Key is more than %d s ahead",
		    CALLER_REQUEST_KEY_AHEAD_MAX_SEC);
	return STATUS_OK;
}

/*
 * Checks the key; only idempotent operations may omit it.
 */
static enum status
check_required_key(const char *key, int64_t now,
    struct caller_request *caller_request, struct refusal *refusal)
{
	caller_request->key = lstr_from(key);
	if (key != NULL)
		return check_key_format(caller_request->key, now, refusal);
	if (caller_request->idempotent)
		return STATUS_OK;
	return fill_refusal(refusal, HTTP_BAD_REQUEST, "key-missing",
	    "operation '%.*s' must not run twice; it needs the header "
	    "Idempotency-Key: " KEY_FORMAT,
	    LSTR_ARG(caller_request->operation));
}

/*
 * Checks the deadline, or sets the configured default.
 */
static enum status
check_deadline(const struct inv *inv, int64_t now,
    struct caller_request *caller_request, struct refusal *refusal)
{
	if (caller_request->deadline == 0)
		caller_request->deadline = now + inv->defaults.deadline_usec;
	if (caller_request->deadline <= now)
		return fill_refusal(refusal, HTTP_BAD_REQUEST,
		    "deadline-passed", "the deadline passed %lld ms ago",
		    (long long)((now - caller_request->deadline) /
			USEC_PER_MSEC));
	if (caller_request->deadline > now + CALLER_REQUEST_DEADLINE_MAX_USEC)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "out-of-range",
		    "field 'deadline' is more than %lld s ahead",
		    (long long)(CALLER_REQUEST_DEADLINE_MAX_USEC /
			USEC_PER_SEC));
	return STATUS_OK;
}

/*
 * Checks the service and organisation of a request against the configuration.
 */
static enum status
check_configuration(const struct inv *inv,
    struct caller_request *caller_request, struct refusal *refusal)
{
	struct inv_organisation organisation;
	uint32_t service = inv_find_service(inv, caller_request->service);

	if (service == INV_NONE)
		return fill_refusal(refusal, HTTP_NOT_FOUND, "unknown-service",
		    "no service is named '%.*s'",
		    LSTR_ARG(caller_request->service));
	if (inv_lookup_organisation(
		inv, caller_request->organisation, &organisation) != STATUS_OK)
		return fill_refusal(refusal, HTTP_FORBIDDEN,
		    "unknown-organisation", "no organisation is named '%.*s'",
		    LSTR_ARG(caller_request->organisation));
	caller_request->pipeline = inv->services[service].kind == INV_PIPELINE;
	caller_request->idempotent =
	    inv_is_idempotent(inv, service, caller_request->operation);
	if (caller_request->pipeline && !caller_request->has_max_tokens)
		return fill_refusal(refusal, HTTP_BAD_REQUEST, "missing-field",
		    "field 'max_tokens' is missing; service '%.*s' needs it",
		    LSTR_ARG(caller_request->service));
	return STATUS_OK;
}

/*
 * Parses and validates the body and the Idempotency-Key (NULL if absent) of a
 * request; now is in microseconds. On STATUS_OK the caller must call
 * caller_request_clear() later; the body need not outlive this call, but the
 * key must stay valid until then. On STATUS_INVALID the refusal describes the
 * error.
 */
enum status
caller_request_parse(struct lstr body, const char *key, const struct inv *inv,
    int64_t now, struct caller_request *caller_request, struct refusal *refusal)
{
	enum status status;

	memset(caller_request, 0, sizeof(*caller_request));
	status = parse_body(body, caller_request, refusal);
	if (status == STATUS_OK)
		status = parse_fields(caller_request, refusal);
	if (status == STATUS_OK)
		status = check_configuration(inv, caller_request, refusal);
	if (status == STATUS_OK)
		status = check_deadline(inv, now, caller_request, refusal);
	if (status == STATUS_OK)
		status = check_required_key(key, now, caller_request, refusal);
	if (status != STATUS_OK)
		caller_request_clear(caller_request);
	return status;
}

/*
 * Frees the JSON that the strings of a validated request point into.
 */
void
caller_request_clear(struct caller_request *caller_request)
{
	json_decref(caller_request->json);
	memset(caller_request, 0, sizeof(*caller_request));
}
