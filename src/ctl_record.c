#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "ctl.h"
#include "inventory.h"
#include "record.h"

#define PATH_MAX_BYTES 256
#define BOOT_TEXT_MAX 32
#define USEC_PER_MSEC ((int64_t)1000)

/* The entry of one request. */
struct found {
	const char *request;
	bool is_found;
	/* Number of the boot in the answer, from 0. */
	size_t boot;
	uint64_t sequence;
	char *organisation;
	char *replica;
	int64_t arrival;
	int64_t start;
	uint32_t priority;
	uint64_t revision;
	Ch__RecordReason reason;
};

/* A walk over all entries of a node. */
struct walk {
	size_t boot;
	/* Keys of the peers that recovered segments, as in the answer. */
	const json_t *signers;
	/* Boots whose record has no end marker. */
	size_t open;
	struct found *wanted;
	size_t wanted_count;
};

/*
 * Keeps the first entry of each wanted request.
 */
static void
on_entry(const Ch__RecordEntry *entry, void *arg)
{
	struct walk *walk = arg;
	struct lstr request =
	    lstr_make(entry->request_id.data, entry->request_id.len);

	for (size_t i = 0; i < walk->wanted_count; i++) {
		struct found *found = &walk->wanted[i];

		if (found->is_found || !lstr_equal_c(request, found->request))
			continue;
		found->is_found = true;
		found->boot = walk->boot;
		found->sequence = entry->sequence;
		found->organisation = g_strdup(entry->organisation);
		found->replica = g_strdup(entry->replica);
		found->arrival = entry->arrival;
		found->start = entry->start;
		found->priority = entry->priority;
		found->revision = entry->revision;
		found->reason = entry->reason;
	}
}

/*
 * Decodes one segment; memory takes over the bytes.
 */
static bool
decode_segment(const json_t *json, GPtrArray *memory, struct lstr *out)
{
	const char *text = json_string_value(json);
	size_t size = json_string_length(json) + 1;
	unsigned char *bytes;
	size_t len = 0;

	if (text == NULL)
		return false;
	bytes = g_malloc(size);
	g_ptr_array_add(memory, bytes);
	if (sodium_base642bin(bytes, size, text, strlen(text), NULL, &len, NULL,
		sodium_base64_VARIANT_ORIGINAL) != 0)
		return false;
	*out = lstr_make(bytes, len);
	return true;
}

/*
 * Decodes a public key.
 */
static bool
decode_key(const json_t *json, uint8_t key[REC_PUBLIC_KEY_BYTES])
{
	const char *hex = json_string_value(json);
	size_t len = 0;

	return hex != NULL &&
	    sodium_hex2bin(key, REC_PUBLIC_KEY_BYTES, hex, strlen(hex), NULL,
		&len, NULL) == 0 &&
	    len == REC_PUBLIC_KEY_BYTES;
}

/*
 * Tells whether a key is listed for the node that signed with it.
 */
static bool
is_signer(struct lstr node, const uint8_t *public_key, void *arg)
{
	const struct walk *walk = arg;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	size_t index;
	const json_t *signer;

	json_array_foreach(walk->signers, index, signer)
	{
		const char *name =
		    json_string_value(json_object_get(signer, "node"));

		if (name != NULL && lstr_equal_c(node, name) &&
		    decode_key(json_object_get(signer, "public_key"), key) &&
		    memcmp(key, public_key, sizeof(key)) == 0)
			return true;
	}
	return false;
}

/*
 * Verifies the segments of one boot.
 */
static enum status
verify_boot(const json_t *record, struct walk *walk, struct rec_report *report)
{
	const json_t *list = json_object_get(record, "segments");
	size_t count = json_array_size(list);
	struct lstr *segments = g_new0(struct lstr, count + 1);
	GPtrArray *memory = g_ptr_array_new_with_free_func(g_free);
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	enum status status = STATUS_OK;
	size_t decoded = 0;

	if (!decode_key(json_object_get(record, "public_key"), key))
		status = status_set(STATUS_INVALID, "public key is malformed");
	while (status == STATUS_OK && decoded < count) {
		if (decode_segment(json_array_get(list, decoded), memory,
			&segments[decoded]))
			decoded++;
		else
			status = status_set(STATUS_INVALID,
			    "segment %zu is not base64", decoded);
	}
	if (status == STATUS_OK)
		status = rec_verify_recovered(
		    segments, count, key, is_signer, on_entry, walk, report);
	g_ptr_array_free(memory, TRUE);
	g_free(segments);
	return status;
}

/*
 * Writes the boot id of a record, which is a number or a text.
 */
static void
boot_text(const json_t *record, char *out, size_t size)
{
	const json_t *boot = json_object_get(record, "boot");

	if (json_is_integer(boot))
		snprintf(
		    out, size, "%lld", (long long)json_integer_value(boot));
	else
		snprintf(out, size, "%s",
		    json_is_string(boot) ? json_string_value(boot) : "?");
}

/*
 * Prints what the record of a boot holds and how it ends.
 */
static void
print_report(const char *boot, const struct rec_report *report)
{
	printf("boot %s: %u segments, %" PRIu64 " entries, %" PRIu64
	       " missing, %u segments recovered, %" PRIu64 " unreplicated, ",
	    boot, report->segments, report->entries, report->missing,
	    report->recovered, report->unreplicated);
	if (report->closed)
		printf("ended by the router\n");
	else
		printf("no end marker after entry %" PRIu64 "\n",
		    report->last_sequence);
}

/*
 * Verifies one boot and prints the result; true when its record holds.
 */
static bool
check_boot(const json_t *record, struct walk *walk, bool print)
{
	struct rec_report report = {0};
	char boot[BOOT_TEXT_MAX];
	enum status status = verify_boot(record, walk, &report);
	const char *problem =
	    status == STATUS_OK ? report.problem : status_message();

	boot_text(record, boot, sizeof(boot));
	walk->open += report.closed ? 0 : 1;
	if (print)
		print_report(boot, &report);
	if (problem[0] != '\0') {
		ctl_error("boot %s: %s", boot, problem);
		return false;
	}
	if (status == STATUS_OK && report.missing == 0)
		return true;
	ctl_error(
	    "boot %s: %" PRIu64 " entries are missing", boot, report.missing);
	return false;
}

/*
 * Reads and verifies all records of the node of the options.
 */
static enum ctl_exit
check_node(struct ctl *ctl, struct walk *walk, bool print)
{
	const char *node = ctl_options(ctl)->node;
	char path[PATH_MAX_BYTES];
	json_t *json = NULL;
	const json_t *records;
	enum ctl_exit result;
	gchar *escaped;

	if (node == NULL) {
		ctl_error("record needs --node NODE");
		return CTL_EXIT_USAGE;
	}
	escaped = g_uri_escape_string(node, NULL, FALSE);
	snprintf(path, sizeof(path), "/v1/records?node=%s", escaped);
	g_free(escaped);
	result = ctl_get(ctl, path, &json);
	if (result != CTL_EXIT_OK)
		return result;
	records = json_object_get(json, "records");
	walk->signers = json_object_get(json, "signers");
	if (json_array_size(records) == 0) {
		ctl_error("node %s has no record", node);
		result = CTL_EXIT_FAILED;
	}
	for (size_t i = 0; i < json_array_size(records); i++) {
		walk->boot = i;
		if (!check_boot(json_array_get(records, i), walk, print))
			result = CTL_EXIT_RECORD;
	}
	walk->signers = NULL;
	json_decref(json);
	return result;
}

/*
 * Verifies the records of a node.
 */
static enum ctl_exit
run_verify(struct ctl *ctl, char **arguments)
{
	struct walk walk = {0};
	enum ctl_exit result = check_node(ctl, &walk, true);

	(void)arguments;
	if (result == CTL_EXIT_OK && walk.open == 0)
		printf("the record holds\n");
	else if (result == CTL_EXIT_OK)
		printf("the entries shown hold; %zu boots have no end marker: "
		       "their router runs, or ended without closing its "
		       "record\n",
		    walk.open);
	return result;
}

/*
 * Prints one entry.
 */
static void
print_found(const struct found *found)
{
	printf("%s: entry %" PRIu64 ", organisation %s, priority %u, replica "
	       "%s, arrived at %" PRId64 " us, started at %" PRId64
	       " us, revision %" PRIu64 "\n",
	    found->request, found->sequence, found->organisation,
	    found->priority, found->replica, found->arrival, found->start,
	    found->revision);
}

/*
 * Tells whether one entry stands before another.
 */
static bool
is_before(const struct found *a, const struct found *b)
{
	if (a->boot != b->boot)
		return a->start < b->start;
	return a->sequence < b->sequence;
}

/*
 * Prints why the reason code put a request first.
 */
static void
print_reason(const struct found *first, const struct found *second)
{
	switch (first->reason) {
	case CH__RECORD_REASON__RECORD_REASON_PRIORITY:
		printf("its priority class %u was the highest that waited\n",
		    first->priority);
		break;
	case CH__RECORD_REASON__RECORD_REASON_SHARE:
		printf("organisation %s had used the least of its weighted "
		       "share\n",
		    first->organisation);
		break;
	case CH__RECORD_REASON__RECORD_REASON_DEADLINE:
		printf("its deadline was the earliest of organisation %s\n",
		    first->organisation);
		break;
	case CH__RECORD_REASON__RECORD_REASON_ARRIVAL:
		printf("it had arrived first; %s arrived %" PRId64
		       " ms after it\n",
		    second->request,
		    (second->arrival - first->arrival) / USEC_PER_MSEC);
		break;
	case CH__RECORD_REASON__RECORD_REASON_RESUMED:
		printf("it continued a response that had begun\n");
		break;
	default:
		printf("the record gives no reason\n");
		break;
	}
}

/*
 * Prints why one request was served before another.
 */
static void
explain(const struct found *first, const struct found *second)
{
	print_found(first);
	print_found(second);
	printf("%s was served before %s: ", first->request, second->request);
	if (first->start <= second->arrival)
		printf("it had started when %s arrived\n", second->request);
	else if (strcmp(first->replica, second->replica) != 0)
		printf("they waited for different replicas, whose queues are "
		       "independent\n");
	else if (first->priority < second->priority)
		printf("its priority %u comes before priority %u\n",
		    first->priority, second->priority);
	else
		print_reason(first, second);
}

/*
 * Explains the order of two requests from entries that were found.
 */
static enum ctl_exit
explain_found(const struct found *a, const struct found *b)
{
	const struct found *lacking = !a->is_found ? a : b;

	if (!a->is_found || !b->is_found) {
		ctl_error("request %s is not in the record", lacking->request);
		return CTL_EXIT_FAILED;
	}
	if (is_before(a, b)) {
		explain(a, b);
		return CTL_EXIT_OK;
	}
	explain(b, a);
	ctl_error("%s was not served before %s", a->request, b->request);
	return CTL_EXIT_FAILED;
}

/*
 * Prints why a request was served before another, once the record has been
 * verified.
 */
static enum ctl_exit
run_explain(struct ctl *ctl, char **arguments)
{
	struct found wanted[2] = {
	    {.request = arguments[0]}, {.request = arguments[1]}};
	struct walk walk = {.wanted = wanted, .wanted_count = 2};
	enum ctl_exit result = check_node(ctl, &walk, false);

	if (result == CTL_EXIT_OK)
		result = explain_found(&wanted[0], &wanted[1]);
	for (size_t i = 0; i < 2; i++) {
		g_free(wanted[i].organisation);
		g_free(wanted[i].replica);
	}
	return result;
}

const struct ctl_command ctl_record_verify_command = {
    "record verify", 0, false, run_verify};
const struct ctl_command ctl_record_explain_command = {
    "record explain", 2, false, run_explain};
