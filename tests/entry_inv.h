#ifndef CH_TEST_ENTRY_INV_H
#define CH_TEST_ENTRY_INV_H

#include "harness.h"

#include <string.h>

#include "inventory.h"

#define INVENTORY                                                              \
	"{'places':[{'name':'p1','region':'r'},{'name':'p2','region':'r'}],"   \
	"'links':[],"                                                          \
	"'services':[{'name':'m','kind':'pipeline','layers':6},"               \
	"{'name':'s','kind':'plain'}],"                                        \
	"'accelerators':[{'kind':'k','layer_us':100}],"                        \
	"'instances':["                                                        \
	"{'name':'m1a','place':'p1','service':'m','replica':'m1',"             \
	"'address':'127.0.0.1:1','accelerator':'k','first':0,'last':2},"       \
	"{'name':'m1b','place':'p1','service':'m','replica':'m1',"             \
	"'address':'127.0.0.1:2','accelerator':'k','first':3,'last':5},"       \
	"{'name':'m1c','place':'p1','service':'m','replica':'m1',"             \
	"'address':'127.0.0.1:2','accelerator':'k','first':2,'last':5},"       \
	"{'name':'s1','place':'p1','service':'s','replica':'s1',"              \
	"'address':'127.0.0.1:3'},"                                            \
	"{'name':'s2','place':'p1','service':'s','replica':'s2',"              \
	"'address':'127.0.0.1:4'},"                                            \
	"{'name':'s3','place':'p2','service':'s','replica':'s3',"              \
	"'address':'127.0.0.1:5'}]}"
#define RULES                                                                  \
	"{'organisations':[{'name':'o','priority':1,'weight':10,"              \
	"'max_concurrent':5}],"                                                \
	"'requests':[{'service':'s','operation':'swap','idempotent':false}],"  \
	"'defaults':{'priority':3,'weight':1,'max_concurrent':2,"              \
	"'deadline_ms':9000,'allow_unknown':false}}"

/*
 * Returns a copy with double quotes in place of single quotes, so that JSON
 * can be written without escapes. The caller frees it.
 */
static inline char *
replace_quotes(const char *text)
{
	char *copy = strdup(text);

	ck_assert_ptr_nonnull(copy);
	for (char *c = copy; *c != '\0'; c++) {
		if (*c == '\'')
			*c = '"';
	}
	return copy;
}

/*
 * Parses JSON that is written with single quotes.
 */
static inline json_t *
parse_json(const char *text)
{
	char *copy = replace_quotes(text);
	json_t *json = json_loads(copy, 0, NULL);

	ck_assert_ptr_nonnull(json);
	free(copy);
	return json;
}

/*
 * Creates the inventory that the tests use.
 */
static inline struct inv *
make_inv(void)
{
	json_t *inventory = parse_json(INVENTORY);
	json_t *rules = parse_json(RULES);
	struct inv *inv = NULL;

	ck_assert_msg(inv_parse(inventory, rules, &inv) == STATUS_OK, "%s",
	    status_message());
	json_decref(inventory);
	json_decref(rules);
	return inv;
}

#endif
