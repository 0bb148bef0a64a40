#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "membership.h"

#define BOOT_HEX_SIZE 17
#define KEY_HEX_SIZE (2 * VIEW_RECORD_KEY_BYTES + 1)

/*
 * Encodes a member as the JSON text stored under its key; the caller frees it
 * with free().
 */
char *
membership_entry_encode(const struct view_member *m)
{
	char boot[BOOT_HEX_SIZE];
	char key[KEY_HEX_SIZE];
	json_t *json;
	char *text;

	snprintf(boot, sizeof(boot), "%016" PRIx64, m->boot);
	sodium_bin2hex(key, sizeof(key), m->record_key, VIEW_RECORD_KEY_BYTES);
	json =
	    json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:b}",
		"node", m->node, "place", m->place, "region", m->region, "boot",
		boot, "state", m->state == VIEW_LEAVING ? "leaving" : "live",
		"entry", m->entry_address, "router", m->router_address, "syncd",
		m->syncd_address, "record_key", key, "entry_ready",
		m->entry_ready, "router_ready", m->router_ready);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/*
 * Returns a string field; NULL if it is missing or longer than
 * VIEW_NAME_MAX_BYTES.
 */
static char *
text_field(const json_t *json, const char *name)
{
	const json_t *field = json_object_get(json, name);

	if (!json_is_string(field) ||
	    json_string_length(field) > VIEW_NAME_MAX_BYTES)
		return NULL;
	return (char *)json_string_value(field);
}

/*
 * Decodes the JSON text stored under a member's key. The strings of the member
 * point into *json, which the caller releases. STATUS_INVALID: a field is
 * missing or malformed.
 */
enum status
membership_entry_decode(struct lstr text, json_t **json, struct view_member *m)
{
	json_t *object =
	    json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, NULL);
	const char *state = text_field(object, "state");
	const char *boot = text_field(object, "boot");
	const char *key =
	    json_string_value(json_object_get(object, "record_key"));
	size_t len = 0;

	memset(m, 0, sizeof(*m));
	m->node = text_field(object, "node");
	m->place = text_field(object, "place");
	m->region = text_field(object, "region");
	m->entry_address = text_field(object, "entry");
	m->router_address = text_field(object, "router");
	m->syncd_address = text_field(object, "syncd");
	if (!m->node || !m->place || !m->region || !m->entry_address ||
	    !m->router_address || !m->syncd_address || !state || !boot ||
	    !key ||
	    sodium_hex2bin(m->record_key, VIEW_RECORD_KEY_BYTES, key,
		strlen(key), NULL, &len, NULL) != 0) {
		json_decref(object);
		return status_set(STATUS_INVALID, "member entry is malformed");
	}
	m->boot = strtoull(boot, NULL, 16);
	m->state = strcmp(state, "leaving") == 0 ? VIEW_LEAVING : VIEW_LIVE;
	m->entry_ready = json_is_true(json_object_get(object, "entry_ready"));
	m->router_ready = json_is_true(json_object_get(object, "router_ready"));
	*json = object;
	return STATUS_OK;
}
