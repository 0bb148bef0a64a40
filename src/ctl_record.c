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

/* The first record entry of one request. */
struct match {
	const char *request;
	bool is_found;
	/* Index of the boot in the response. */
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

/* A scan of all record entries of a node. */
struct record_scan {
	size_t boot;
	/* Keys of the peers that recovered segments, from the response. */
	const json_t *signers;
	/* Number of boots whose record has no closing entry. */
	size_t boots_without_end;
	struct match *matches;
	size_t match_count;
};

/*
 * Saves the first entry of each requested id.
 */
static void
on_entry(const Ch__RecordEntry *entry, void *arg)
{
	struct record_scan *record_scan = arg;
	struct lstr request =
	    lstr_make(entry->request_id.data, entry->request_id.len);

	for (size_t i = 0; i < record_scan->match_count; i++) {
		struct match *match = &record_scan->matches[i];

		if (match->is_found || !lstr_equal_c(request, match->request))
			continue;
		match->is_found = true;
		match->boot = record_scan->boot;
		match->sequence = entry->sequence;
		match->organisation = g_strdup(entry->organisation);
		match->replica = g_strdup(entry->replica);
		match->arrival = entry->arrival;
		match->start = entry->start;
		match->priority = entry->priority;
		match->revision = entry->revision;
		match->reason = entry->reason;
	}
}

/*
 * Decodes one base64 segment. buffers owns the decoded bytes.
 */
static bool
decode_segment(const json_t *json, GPtrArray *buffers, struct lstr *out)
{
	const char *text = json_string_value(json);
	size_t size = json_string_length(json) + 1;
	unsigned char *bytes;
	size_t len = 0;

	if (text == NULL)
		return false;
	bytes = g_malloc(size);
	g_ptr_array_add(buffers, bytes);
	if (sodium_base642bin(bytes, size, text, strlen(text), NULL, &len, NULL,
		sodium_base64_VARIANT_ORIGINAL) != 0)
		return false;
	*out = lstr_make(bytes, len);
	return true;
}

/*
 * Decodes a public key from hexadecimal. Returns false if it is malformed.
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
 * Returns true if a public key is listed for the node that signed with it.
 */
static bool
is_signer(struct lstr node, const uint8_t *public_key, void *arg)
{
	const struct record_scan *record_scan = arg;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	size_t index;
	const json_t *signer;

	json_array_foreach(record_scan->signers, index, signer)
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
verify_boot(const json_t *record, struct record_scan *record_scan,
    struct rec_verify_report *report)
{
	const json_t *list = json_object_get(record, "segments");
	size_t count = json_array_size(list);
	struct lstr *segments = g_new0(struct lstr, count + 1);
	GPtrArray *buffers = g_ptr_array_new_with_free_func(g_free);
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	enum status status = STATUS_OK;
	size_t decoded = 0;

	if (!decode_key(json_object_get(record, "public_key"), key))
		status = status_set(STATUS_INVALID, "public key is malformed");
	while (status == STATUS_OK && decoded < count) {
		if (decode_segment(json_array_get(list, decoded), buffers,
			&segments[decoded]))
			decoded++;
		else
			status = status_set(STATUS_INVALID,
			    "segment %zu is not base64", decoded);
	}
	if (status == STATUS_OK)
		status = rec_verify_recovered(segments, count, key, is_signer,
		    on_entry, record_scan, report);
	g_ptr_array_free(buffers, TRUE);
	g_free(segments);
	return status;
}

/*
 * Formats the boot id of a record, which is a number or a string.
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
 * Prints the counts of a boot's record and whether it has a closing entry.
 */
static void
print_report(const char *boot, const struct rec_verify_report *report)
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
 * Verifies the record of one boot and prints any problem, and the report if
 * print is set. Returns true if the record is valid and complete.
 */
static bool
check_boot(const json_t *record, struct record_scan *record_scan, bool print)
{
	struct rec_verify_report report = {0};
	char boot[BOOT_TEXT_MAX];
	enum status status = verify_boot(record, record_scan, &report);
	const char *problem =
	    status == STATUS_OK ? report.problem : status_message();

	boot_text(record, boot, sizeof(boot));
	record_scan->boots_without_end += report.closed ? 0 : 1;
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
 * Fetches and verifies all records of the node given by --node.
 */
static enum ctl_exit
check_node(struct ctl *ctl, struct record_scan *record_scan, bool print)
{
	const char *node = ctl_options(ctl)->node;
	char path[PATH_MAX_BYTES];
	json_t *json = NULL;
	const json_t *records;
	enum ctl_exit result;
	gchar *escaped;

	if (node == NULL) {
		ctl_error("record requires --node NODE");
		return CTL_EXIT_USAGE;
	}
	escaped = g_uri_escape_string(node, NULL, FALSE);
	snprintf(path, sizeof(path), "/v1/records?node=%s", escaped);
	g_free(escaped);
	result = ctl_get(ctl, path, &json);
	if (result != CTL_EXIT_OK)
		return result;
	records = json_object_get(json, "records");
	record_scan->signers = json_object_get(json, "signers");
	if (json_array_size(records) == 0) {
		ctl_error("node %s has no record", node);
		result = CTL_EXIT_FAILED;
	}
	for (size_t i = 0; i < json_array_size(records); i++) {
		record_scan->boot = i;
		if (!check_boot(json_array_get(records, i), record_scan, print))
			result = CTL_EXIT_RECORD;
	}
	record_scan->signers = NULL;
	json_decref(json);
	return result;
}

/*
 * Verifies the records of a node and prints a summary.
 */
static enum ctl_exit
run_verify(struct ctl *ctl, char **arguments)
{
	struct record_scan record_scan = {0};
	enum ctl_exit result = check_node(ctl, &record_scan, true);

	(void)arguments;
	if (result == CTL_EXIT_OK && record_scan.boots_without_end == 0)
		printf("the record is valid\n");
	else if (result == CTL_EXIT_OK)
		printf("the entries shown are valid; %zu boots have no end "
		       "marker: their router is running, or stopped without "
		       "closing its record\n",
		    record_scan.boots_without_end);
	return result;
}

/*
 * Prints one record entry.
 */
static void
print_match(const struct match *match)
{
	printf("%s: entry %" PRIu64 ", organisation %s, priority %u, replica "
	       "%s, arrived at %" PRId64 " us, started at %" PRId64
	       " us, revision %" PRIu64 "\n",
	    match->request, match->sequence, match->organisation,
	    match->priority, match->replica, match->arrival, match->start,
	    match->revision);
}

/*
 * Returns true if one entry was served before another: by sequence number
 * within a boot, by start time otherwise.
 */
static bool
was_served_before(const struct match *a, const struct match *b)
{
	if (a->boot != b->boot)
		return a->start < b->start;
	return a->sequence < b->sequence;
}

/*
 * Prints the meaning of the reason code of the request that was served first.
 */
static void
print_reason(const struct match *first, const struct match *second)
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
print_explanation(const struct match *first, const struct match *second)
{
	print_match(first);
	print_match(second);
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
 * Explains why a was served before b. Fails if an entry is missing or if the
 * order was the opposite.
 */
static enum ctl_exit
explain_matches(const struct match *a, const struct match *b)
{
	const struct match *missing_match = !a->is_found ? a : b;

	if (!a->is_found || !b->is_found) {
		ctl_error(
		    "request %s is not in the record", missing_match->request);
		return CTL_EXIT_FAILED;
	}
	if (was_served_before(a, b)) {
		print_explanation(a, b);
		return CTL_EXIT_OK;
	}
	print_explanation(b, a);
	ctl_error("%s was not served before %s", a->request, b->request);
	return CTL_EXIT_FAILED;
}

/*
 * Prints why a request was served before another, provided that the record is
 * valid.
 */
static enum ctl_exit
run_explain(struct ctl *ctl, char **arguments)
{
	struct match matches[2] = {
	    {.request = arguments[0]}, {.request = arguments[1]}};
	struct record_scan record_scan = {.matches = matches, .match_count = 2};
	enum ctl_exit result = check_node(ctl, &record_scan, false);

	if (result == CTL_EXIT_OK)
		result = explain_matches(&matches[0], &matches[1]);
	for (size_t i = 0; i < 2; i++) {
		g_free(matches[i].organisation);
		g_free(matches[i].replica);
	}
	return result;
}

const struct ctl_command ctl_record_verify_command = {
    "record verify", 0, false, run_verify};
const struct ctl_command ctl_record_explain_command = {
    "record explain", 2, false, run_explain};
