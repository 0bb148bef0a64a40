#ifndef CH_ENGINE_JSON_H
#define CH_ENGINE_JSON_H

#include <jansson.h>

#include "engine.h"

#define ENGINE_JSON_STAGES_MAX 64

/*
 * JSON encoding of the engine protocol. Strings returned by the readers are
 * borrowed from the JSON object.
 */
char *engine_json_encode_attempt(const struct engine_attempt *);
bool engine_json_get_u32(const json_t *, const char *, uint32_t *);
bool engine_json_get_string(const json_t *, const char *, struct lstr *);
int engine_json_parse_trail(
    const json_t *, struct engine_trail_step[ENGINE_JSON_STAGES_MAX]);

#endif
