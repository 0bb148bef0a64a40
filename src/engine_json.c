#include "engine_json.h"

/*
 * Makes a JSON string of a borrowed string; NULL when it is not UTF-8.
 */
static json_t *
text_json(struct lstr s)
{
	return json_stringn(s.data, s.len);
}

/*
 * Makes the route of an attempt in JSON.
 */
static json_t *
route_json(const struct engine_attempt *attempt)
{
	json_t *route = json_array();

	for (size_t i = 0; i < attempt->stage_count; i++) {
		const struct engine_stage *stage = &attempt->stages[i];

		json_array_append_new(route,
		    json_pack("{s:o,s:o,s:I,s:I}", "instance",
			text_json(stage->instance), "address",
			text_json(stage->address), "first",
			(json_int_t)stage->first, "last",
			(json_int_t)stage->last));
	}
	return route;
}

/*
 * Makes the body of a generate call. Returns NULL when a text is not UTF-8 or
 * memory runs out. The caller frees the result with free().
 */
char *
engine_json_attempt(const struct engine_attempt *attempt)
{
	json_t *delivered = json_array();
	json_t *body;
	char *text;

	for (size_t i = 0; i < attempt->delivered_count; i++)
		json_array_append_new(
		    delivered, text_json(attempt->delivered[i]));
	body = json_pack("{s:o,s:I,s:o,s:o,s:o,s:I,s:I,s:I,s:I,s:I}", "request",
	    text_json(attempt->request), "attempt",
	    (json_int_t)attempt->attempt, "route", route_json(attempt),
	    "prompt", text_json(attempt->prompt), "delivered", delivered,
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
 * Reads a field that must be a number from 0 to UINT32_MAX.
 */
bool
engine_json_u32(const json_t *object, const char *name, uint32_t *out)
{
	const json_t *value = json_object_get(object, name);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > UINT32_MAX)
		return false;
	*out = (uint32_t)number;
	return true;
}

/*
 * Reads a field that must be a string; borrowed from the object.
 */
bool
engine_json_text(const json_t *object, const char *name, struct lstr *out)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_string(value))
		return false;
	*out = lstr_make(json_string_value(value), json_string_length(value));
	return true;
}

/*
 * Reads the trail of a token into steps; returns the number, or -1 when it
 * breaks the protocol.
 */
int
engine_json_trail(
    const json_t *object, struct engine_step steps[ENGINE_JSON_STAGES_MAX])
{
	const json_t *trail = json_object_get(object, "trail");
	size_t count = json_array_size(trail);

	if (!json_is_array(trail) || count > ENGINE_JSON_STAGES_MAX)
		return -1;
	for (size_t i = 0; i < count; i++) {
		const json_t *item = json_array_get(trail, i);

		if (!engine_json_text(item, "instance", &steps[i].instance) ||
		    !engine_json_u32(item, "first", &steps[i].first) ||
		    !engine_json_u32(item, "last", &steps[i].last) ||
		    !engine_json_u32(item, "attempt", &steps[i].attempt) ||
		    !engine_json_u32(item, "position", &steps[i].position))
			return -1;
	}
	return (int)count;
}
