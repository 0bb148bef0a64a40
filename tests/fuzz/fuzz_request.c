#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "caller_request.h"

#define NOW_USEC ((int64_t)1800000000 * 1000000)

static const char inventory_text[] =
    "{\"places\":[{\"name\":\"heredia\",\"region\":\"valle-central\"}],"
    "\"links\":[],\"accelerators\":[],"
    "\"services\":[{\"name\":\"libro-cambios\",\"kind\":\"plain\","
    "\"layers\":1}],"
    "\"instances\":[{\"name\":\"l1\",\"place\":\"heredia\","
    "\"service\":\"libro-cambios\",\"replica\":\"r1\","
    "\"address\":\"127.0.0.1:9\"}]}";
static const char rules_text[] =
    "{\"organisations\":[{\"name\":\"murillo\",\"priority\":0,\"weight\":1,"
    "\"max_concurrent\":4}],"
    "\"requests\":[{\"service\":\"libro-cambios\",\"operation\":\"swap\","
    "\"idempotent\":false}],"
    "\"defaults\":{\"priority\":3,\"weight\":1,\"max_concurrent\":4,"
    "\"deadline_ms\":1000,\"allow_unknown\":true}}";

/*
 * Returns the inventory used to validate requests; built on the first call.
 */
static const struct inv *
fixed_inventory(void)
{
	static struct inv *inv;
	json_t *inventory;
	json_t *rules;

	if (inv != NULL)
		return inv;
	if (inv_load_json(lstr_from(inventory_text), "inventory", &inventory) !=
		STATUS_OK ||
	    inv_load_json(lstr_from(rules_text), "rules", &rules) !=
		STATUS_OK ||
	    inv_parse(inventory, rules, &inv) != STATUS_OK)
		abort();
	json_decref(inventory);
	json_decref(rules);
	return inv;
}

/*
 * Parses the text up to the first zero byte as idempotency key and the rest as
 * request body. Guards against requests that crash the entry.
 */
int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *zero = size > 0 ? memchr(data, 0, size) : NULL;
	const char *key = zero != NULL ? (const char *)data : NULL;
	size_t from = zero != NULL ? (size_t)(zero - data) + 1 : 0;
	struct caller_request caller_request = {0};
	struct refusal refusal;

	if (caller_request_parse(lstr_make(data + from, size - from), key,
		fixed_inventory(), NOW_USEC, &caller_request,
		&refusal) == STATUS_OK)
		caller_request_clear(&caller_request);
	return 0;
}
