#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "member.h"

#define STATE_LIVE "live"
#define STATE_LEAVING "leaving"
#define NUMBER_TEXT_MAX 24

/*
 * Writes the value of a member's key in the key-value service. Numbers of 64
 * bits are texts, because JSON numbers do not hold them.
 */
enum status
member_encode(const struct view_member *member, struct lstr_buf *out)
{
	char key[2 * VIEW_RECORD_KEY_BYTES + 1];
	char boot[NUMBER_TEXT_MAX];
	char incarnation[NUMBER_TEXT_MAX];
	enum status status;
	json_t *root;
	char *text;

	sodium_bin2hex(
	    key, sizeof(key), member->record_key, VIEW_RECORD_KEY_BYTES);
	snprintf(boot, sizeof(boot), "%" PRIu64, member->boot);
	snprintf(
	    incarnation, sizeof(incarnation), "%" PRIu64, member->incarnation);
	root = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:b}",
	    "node", member->node, "place", member->place, "region",
	    member->region, "boot", boot, "incarnation", incarnation, "state",
	    member->state == VIEW_LEAVING ? STATE_LEAVING : STATE_LIVE, "entry",
	    member->entry_address, "router", member->router_address, "syncd",
	    member->syncd_address, "record_key", key, "entry_ready",
	    member->entry_ready, "router_ready", member->router_ready);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (text == NULL)
		return status_set(STATUS_NO_MEMORY, "member entry");
	status = lstr_buf_append(out, lstr_from(text));
	free(text);
	return status;
}

/*
 * Reads a decimal number of 64 bits.
 */
static bool
read_number(const char *text, uint64_t *out)
{
	char *end;

	*out = strtoull(text, &end, 10);
	return *text >= '0' && *text <= '9' && *end == '\0';
}

/*
 * Fills a member from the texts of its entry.
 */
static enum status
fill(struct view_member *member, const char *boot, const char *incarnation,
    const char *state, const char *key)
{
	size_t len = 0;

	if (!read_number(boot, &member->boot) ||
	    !read_number(incarnation, &member->incarnation))
		return status_set(STATUS_INVALID, "member entry: bad number");
	if (strcmp(state, STATE_LIVE) == 0)
		member->state = VIEW_LIVE;
	else if (strcmp(state, STATE_LEAVING) == 0)
		member->state = VIEW_LEAVING;
	else
		return status_set(
		    STATUS_INVALID, "member entry: state '%s'", state);
	if (sodium_hex2bin(member->record_key, VIEW_RECORD_KEY_BYTES, key,
		strlen(key), NULL, &len, NULL) != 0 ||
	    len != VIEW_RECORD_KEY_BYTES)
		return status_set(STATUS_INVALID, "member entry: record key");
	return STATUS_OK;
}

/*
 * Reads the value of a member's key. The caller frees the texts with
 * member_decoded_free(). Returns STATUS_INVALID with nothing to free.
 */
enum status
member_decode(struct lstr value, struct view_member *member)
{
	json_t *root =
	    json_loadb(value.data, value.len, JSON_REJECT_DUPLICATES, NULL);
	const char *node, *place, *region, *boot, *incarnation, *state, *entry,
	    *router, *syncd, *key;
	int entry_ready, router_ready;
	enum status status;

	memset(member, 0, sizeof(*member));
	if (json_unpack(root,
		"{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:b !}", "node",
		&node, "place", &place, "region", &region, "boot", &boot,
		"incarnation", &incarnation, "state", &state, "entry", &entry,
		"router", &router, "syncd", &syncd, "record_key", &key,
		"entry_ready", &entry_ready, "router_ready",
		&router_ready) != 0) {
		json_decref(root);
		return status_set(STATUS_INVALID, "member entry: malformed");
	}
	status = fill(member, boot, incarnation, state, key);
	if (status == STATUS_OK) {
		member->node = strdup(node);
		member->place = strdup(place);
		member->region = strdup(region);
		member->entry_address = strdup(entry);
		member->router_address = strdup(router);
		member->syncd_address = strdup(syncd);
		member->entry_ready = entry_ready;
		member->router_ready = router_ready;
	}
	json_decref(root);
	return status;
}

/*
 * Frees the texts of a decoded member.
 */
void
member_decoded_free(struct view_member *member)
{
	free(member->node);
	free(member->place);
	free(member->region);
	free(member->entry_address);
	free(member->router_address);
	free(member->syncd_address);
	memset(member, 0, sizeof(*member));
}
