#include "engine_json.h"

/*
 * Returns a JSON string, or NULL when the text is not UTF-8.
 */
static json_t *
json_from_lstr(struct lstr s)
{
	return json_stringn(s.data, s.len);
}

/*
 * Returns the route of an attempt as a JSON array.
 */
static json_t *
encode_route(const struct engine_attempt *attempt)
{
	json_t *route = json_array();

	for (size_t i = 0; i < attempt->stage_count; i++) {
		const struct engine_stage *stage = &attempt->stages[i];

		json_array_append_new(route,
		    json_pack("{s:o,s:o,s:I,s:I}", "instance",
			json_from_lstr(stage->instance), "address",
			json_from_lstr(stage->address), "first",
			(json_int_t)stage->first, "last",
			(json_int_t)stage->last));
	}
	return route;
}

/*
 * Returns the JSON body of a generate request, which the caller frees with
 * free(). Returns NULL when a string is not UTF-8 or memory runs out.
 */
char *
engine_json_encode_attempt(const struct engine_attempt *attempt)
{
	json_t *delivered = json_array();
	json_t *body;
	char *text;

	for (size_t i = 0; i < attempt->delivered_count; i++)
		json_array_append_new(
		    delivered, json_from_lstr(attempt->delivered[i]));
	body = json_pack("{s:o,s:I,s:o,s:o,s:o,s:I,s:I,s:I,s:I,s:I}", "request",
	    json_from_lstr(attempt->request), "attempt",
	    (json_int_t)attempt->attempt, "route", encode_route(attempt),
	    "prompt", json_from_lstr(attempt->prompt), "delivered", delivered,
	    "start", (json_int_t)attempt->start, "max_tokens",
	    (json_int_t)attempt->max_tokens, "priority",
	    (json_int_t)attempt->priority, "deadline_ms",
	    (json_int_t)(attempt->deadline / LOOP_USEC_PER_MSEC), "fence",
	    (json_int_t)attempt->fence);
	if (body == NULL)
		return NULL;
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/*
 * Reads a field that must be an integer from 0 to UINT32_MAX. Returns false
 * when it is not.
 */
bool
engine_json_get_u32(const json_t *object, const char *name, uint32_t *out)
{
	const json_t *value = json_object_get(object, name);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > UINT32_MAX)
		return false;
	*out = (uint32_t)number;
	return true;
}

/*
 * Reads a field that must be a string, borrowed from the object. Returns false
 * when it is not.
 */
bool
engine_json_get_string(const json_t *object, const char *name, struct lstr *out)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_string(value))
		return false;
	*out = lstr_make(json_string_value(value), json_string_length(value));
	return true;
}

/*
 * Reads the trail of a token into steps. Returns the number of steps, or -1
 * when the trail violates the protocol.
 */
int
engine_json_parse_trail(const json_t *object,
    struct engine_trail_step steps[ENGINE_JSON_STAGES_MAX])
{
	const json_t *trail = json_object_get(object, "trail");
	size_t count = json_array_size(trail);

	if (!json_is_array(trail) || count > ENGINE_JSON_STAGES_MAX)
		return -1;
	for (size_t i = 0; i < count; i++) {
		const json_t *item = json_array_get(trail, i);

		if (!engine_json_get_string(
			item, "instance", &steps[i].instance) ||
		    !engine_json_get_u32(item, "first", &steps[i].first) ||
		    !engine_json_get_u32(item, "last", &steps[i].last) ||
		    !engine_json_get_u32(item, "attempt", &steps[i].attempt) ||
		    !engine_json_get_u32(item, "position", &steps[i].position))
			return -1;
	}
	return (int)count;
}
