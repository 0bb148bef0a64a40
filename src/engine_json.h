#ifndef CH_ENGINE_JSON_H
#define CH_ENGINE_JSON_H

#include <jansson.h>

#include "engine.h"

#define ENGINE_JSON_STAGES_MAX 64

/* The JSON of the engine protocol. Texts read are borrowed from the object. */
char *engine_json_attempt(const struct engine_attempt *);
bool engine_json_u32(const json_t *, const char *, uint32_t *);
bool engine_json_text(const json_t *, const char *, struct lstr *);
int engine_json_trail(
    const json_t *, struct engine_step[ENGINE_JSON_STAGES_MAX]);

#endif
