#include "harness.h"

#include <string.h>

#include "inventory.h"

#define INVENTORY                                                              \
	"{'places':[{'name':'p1','region':'r'},{'name':'p2','region':'r'}],"   \
	"'links':[{'from':'p1','to':'p2','latency_us':300,'mbps':1000}],"      \
	"'services':[{'name':'m','kind':'pipeline','layers':6},"               \
	"{'name':'s','kind':'plain'}],"                                        \
	"'accelerators':[{'kind':'k','layer_us':100}],"                        \
	"'instances':["                                                        \
	"{'name':'b','place':'p2','service':'m','replica':'m1',"               \
	"'address':'127.0.0.1:2','accelerator':'k','first':3,'last':5},"       \
	"{'name':'a','place':'p1','service':'m','replica':'m1',"               \
	"'address':'127.0.0.1:1','first':0,'last':2},"                         \
	"{'name':'c','place':'p1','service':'s','replica':'s1',"               \
	"'address':'127.0.0.1:3','state':'leaving'}]}"
#define RULES                                                                  \
	"{'organisations':[{'name':'o','priority':1,'weight':10,"              \
	"'max_concurrent':5}],"                                                \
	"'requests':[{'service':'s','operation':'swap','idempotent':false}],"  \
	"'defaults':{'priority':3,'weight':1,'max_concurrent':2,"              \
	"'deadline_ms':9000}}"

/*
 * Parses a JSON text written with single quotes.
 */
static enum status
load(const char *text, json_t **out)
{
	char *copy = strdup(text);
	enum status status;

	for (char *c = copy; *c != '\0'; c++) {
		if (*c == '\'')
			*c = '"';
	}
	status = inv_load_json(lstr_from(copy), "inventory", out);
	free(copy);
	return status;
}

/*
 * Parses an inventory and rules given as texts.
 */
static enum status
parse(const char *inventory, const char *rules, struct inv **out)
{
	json_t *a = NULL;
	json_t *b = NULL;
	enum status status = load(inventory, &a);

	if (status == STATUS_OK)
		status = load(rules, &b);
	if (status == STATUS_OK)
		status = inv_parse(a, b, out);
	json_decref(a);
	json_decref(b);
	return status;
}

/*
 * Returns a copy of a text with the first occurrence of a substring replaced.
 * The caller frees it.
 */
static char *
replace_first(const char *text, const char *old_text, const char *new_text)
{
	const char *at = strstr(text, old_text);
	struct lstr_buf buf = {0};

	ck_assert_msg(at != NULL, "'%s' is not in the text", old_text);
	lstr_buf_printf(&buf, "%.*s%s%s", (int)(at - text), text, new_text,
	    at + strlen(old_text));
	return buf.data;
}

/* A replacement that makes a document invalid, and the expected error. */
struct invalid_case {
	bool in_rules;
	const char *old_text;
	const char *new_text;
	const char *location;
	const char *reason;
};

static const struct invalid_case invalid_cases[] = {
    {false, "'layers':6", "'layers':7",
	"instances[1].replica: ", "none continues at layer 6"},
    {false, "'first':3", "'first':4",
	"instances[1].replica: ", "none continues at layer 3"},
    {false, "'first':3", "'first':2", "instances[1].replica: ", "overlap"},
    {false, "'last':5", "'last':6", "instances[0].last: ", "out of range"},
    {false, "'last':5", "'last':'5'", "instances[0].last: ", "not a string"},
    {false, "'last':5", "'last':5.0", "instances[0].last: ", "fraction"},
    {false, ",'last':5", "", "instances[0].last: ", "missing"},
    {false, "'first':3", "'first':-1", "instances[0].first: ", "out of range"},
    {false, "'name':'a'", "'name':'b'",
	"instances[1].name: ", "duplicate of instances[0]"},
    {false, "'name':'p2','region'", "'name':'p1','region'",
	"places[1].name: ", "duplicate"},
    {false, "'to':'p2'", "'to':'p9'", "links[0].to: ", "no place"},
    {false, "'place':'p2'", "'place':'p9'",
	"instances[0].place: ", "no place is named 'p9'"},
    {false, "'service':'m'", "'service':'x'",
	"instances[0].service: ", "no service"},
    {false, "'accelerator':'k'", "'accelerator':'x'",
	"instances[0].accelerator: ", "no accelerator"},
    {false, "'state':'leaving'", "'state':'gone'",
	"instances[2].state: ", "'live' or 'leaving'"},
    {false, "'state'", "'stat'", "instances[2].stat: ", "unknown field"},
    {false, "127.0.0.1:3", "localhost:3", "instances[2].address: ", "ip:port"},
    {false, "127.0.0.1:3", "127.0.0.1:0", "instances[2].address: ", "ip:port"},
    {false, "'name':'c'", "'name':'c/d'", "instances[2].name: ", "name of"},
    {false, "'links':", "'lines':", "inventory.lines: ", "unknown field"},
    {false, "'kind':'plain'", "'kind':'plain','layers':2",
	"services[1].layers: ", "1 layer"},
    {false, "'name':'c'", "'name':'c','name':'d'", "inventory: line 1",
	"duplicate"},
    {true, "'service':'s'", "'service':'z'",
	"requests[0].service: ", "no service"},
    {true, "'priority':1", "'priority':8",
	"organisations[0].priority: ", "0 to 7"},
    {true, "'weight':10", "'weight':0",
	"organisations[0].weight: ", "1 to 1000"},
    {true, "'idempotent':false", "'idempotent':0",
	"requests[0].idempotent: ", "true or false"},
    {true, "'deadline_ms':9000", "'deadline_ms':true",
	"defaults.deadline_ms: ", "truth value"},
    {true, "'defaults'", "'default'", "rules.default: ", "unknown field"}};

/*
 * Guards against accepting an invalid document, and against error messages
 * without the location.
 */
START_TEST(invalid_documents_are_rejected_with_location)
{
	for (size_t i = 0; i < sizeof(invalid_cases) / sizeof(invalid_cases[0]);
	     i++) {
		const struct invalid_case *tc = &invalid_cases[i];
		struct inv *inv = NULL;
		char *text = replace_first(tc->in_rules ? RULES : INVENTORY,
		    tc->old_text, tc->new_text);

		ck_assert_msg(
		    parse(tc->in_rules ? INVENTORY : text,
			tc->in_rules ? text : RULES, &inv) == STATUS_INVALID,
		    "taken: %s", tc->new_text);
		ck_assert_msg(strstr(status_message(), tc->location) != NULL &&
			strstr(status_message(), tc->reason) != NULL,
		    "%s -> %s", tc->new_text, status_message());
		free(text);
	}
}
END_TEST

/* Guards against tables that refer to the wrong entity. */
START_TEST(tables_match_the_documents)
{
	struct inv *inv = NULL;
	const struct inv_replica *replica;
	uint32_t i;

	ck_assert_int_eq(parse(INVENTORY, RULES, &inv), STATUS_OK);
	i = inv_find_replica(inv, lstr_from("m"), lstr_from("m1"));
	ck_assert_uint_ne(i, INV_NONE);
	replica = &inv->replicas[i];
	ck_assert_uint_eq(replica->instance_count, 2);
	ck_assert_str_eq(inv->instances[replica->instances[0]].name, "a");
	ck_assert_str_eq(inv->places[replica->place].name, "p1");
	i = inv_find_instance(inv, lstr_from("c"));
	ck_assert(inv->instances[i].leaving);
	ck_assert_uint_eq(inv->instances[i].accelerator, INV_NONE);
	ck_assert_uint_eq(
	    inv_find_replica(inv, lstr_from("s"), lstr_from("m1")), INV_NONE);
	ck_assert_int_eq(inv_link_latency(inv, 1, 0), 300);
	ck_assert_int_eq(
	    inv_link_latency(inv, 0, 0), INV_LATENCY_SAME_PLACE_USEC);
	inv_destroy(inv);
}
END_TEST

/* Guards against treating a non-idempotent operation as repeatable. */
START_TEST(rules_define_idempotency)
{
	struct inv *inv = NULL;
	char *any = replace_first(RULES, "'requests':[",
	    "'requests':[{'service':'m','operation':'*','idempotent':false},"
	    "{'service':'m','operation':'look','idempotent':true},");
	uint32_t s;
	uint32_t m;

	ck_assert_int_eq(parse(INVENTORY, any, &inv), STATUS_OK);
	s = inv_find_service(inv, lstr_from("s"));
	m = inv_find_service(inv, lstr_from("m"));
	ck_assert(!inv_is_idempotent(inv, s, lstr_from("swap")));
	ck_assert(inv_is_idempotent(inv, s, lstr_from("lookup")));
	ck_assert(!inv_is_idempotent(inv, m, lstr_from("draw")));
	ck_assert(inv_is_idempotent(inv, m, lstr_from("look")));
	inv_destroy(inv);
	free(any);
}
END_TEST

/* Guards against serving an unknown organisation without permission. */
START_TEST(unknown_organisation_needs_permission)
{
	struct inv *inv = NULL;
	struct inv_organisation o;
	char *open = replace_first(RULES, "'deadline_ms':9000",
	    "'deadline_ms':9000,'allow_unknown':true");

	ck_assert_int_eq(parse(INVENTORY, RULES, &inv), STATUS_OK);
	ck_assert_int_eq(
	    inv_lookup_organisation(inv, lstr_from("o"), &o), STATUS_OK);
	ck_assert_uint_eq(o.weight, 10);
	ck_assert_int_eq(
	    inv_lookup_organisation(inv, lstr_from("x"), &o), STATUS_DENIED);
	inv_destroy(inv);
	ck_assert_int_eq(parse(INVENTORY, open, &inv), STATUS_OK);
	ck_assert_int_eq(
	    inv_lookup_organisation(inv, lstr_from("x"), &o), STATUS_OK);
	ck_assert_uint_eq(o.priority, 3);
	inv_destroy(inv);
	free(open);
}
END_TEST

/* Guards against tables that grow without limit. */
START_TEST(too_many_entities_are_rejected)
{
	struct lstr_buf text = {0};
	struct inv *inv = NULL;

	lstr_buf_printf(&text, "{'services':[],'instances':[],'places':[");
	for (int i = 0; i <= INV_PLACES_MAX; i++)
		lstr_buf_printf(
		    &text, "%s{'name':'p%d','region':'r'}", i ? "," : "", i);
	lstr_buf_printf(&text, "]}");
	lstr_buf_append(&text, lstr_make("", 1));
	ck_assert_int_eq(parse(text.data, RULES, &inv), STATUS_INVALID);
	ck_assert_ptr_nonnull(strstr(status_message(), "places: 65 entries"));
	lstr_buf_free(&text);
}
END_TEST

/* Guards against a published example that is invalid. */
START_TEST(example_is_valid)
{
	json_t *inventory =
	    json_load_file("examples/murillo/inventory.json", 0, NULL);
	json_t *rules = json_load_file("examples/murillo/rules.json", 0, NULL);
	struct inv *inv = NULL;

	ck_assert_msg(inv_parse(inventory, rules, &inv) == STATUS_OK, "%s",
	    status_message());
	ck_assert_uint_eq(inv->replica_count, 7);
	ck_assert_uint_eq(inv->organisation_count, 10);
	ck_assert(!inv_is_idempotent(inv,
	    inv_find_service(inv, lstr_from("libro-cambios")),
	    lstr_from("swap")));
	inv_destroy(inv);
	json_decref(inventory);
	json_decref(rules);
}
END_TEST

HARNESS_MAIN("inventory", invalid_documents_are_rejected_with_location,
    tables_match_the_documents, rules_define_idempotency,
    unknown_organisation_needs_permission, too_many_entities_are_rejected,
    example_is_valid)
