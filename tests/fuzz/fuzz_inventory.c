#include <string.h>

#include "fuzz.h"
#include "inventory.h"

/*
 * Parses the text up to the first zero byte as inventory and the rest as rules.
 * Guards against operator documents that crash a process.
 */
int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *zero = size > 0 ? memchr(data, 0, size) : NULL;
	size_t len = zero != NULL ? (size_t)(zero - data) : size;
	size_t rest = zero != NULL ? len + 1 : len;
	json_t *inventory = NULL;
	json_t *rules = NULL;
	struct inv *inv = NULL;

	if (inv_load_json(lstr_make(data, len), "inventory", &inventory) ==
		STATUS_OK &&
	    inv_load_json(lstr_make(data + rest, size - rest), "rules",
		&rules) == STATUS_OK &&
	    inv_parse(inventory, rules, &inv) == STATUS_OK)
		inv_destroy(inv);
	json_decref(inventory);
	json_decref(rules);
	return 0;
}
