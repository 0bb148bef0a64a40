#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "conf.h"

#include "../tests/sample.h"

#define BYTES_PER_KB 1024.0
#define USEC_PER_MSEC 1000.0
#define ROUNDS 5

/* The two-year target of docs/design.md. */
static const struct sample_size full_size = {18, 4200, 4, 24000};

/*
 * Returns the processor time of this process in microseconds.
 */
static int64_t
cpu_usec(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

/*
 * Prints the processor time used since start, in milliseconds.
 */
static void
print_time(const char *what, int64_t start)
{
	printf("%-46s %9.1f ms\n", what,
	    (double)(cpu_usec() - start) / USEC_PER_MSEC);
}

/*
 * Prints a number of bytes in KB.
 */
static void
print_bytes(const char *what, size_t bytes)
{
	printf("%-46s %9.1f KB\n", what, (double)bytes / BYTES_PER_KB);
}

/*
 * Returns the bytes that malloc() has handed out.
 */
static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/*
 * Prints an error and exits if a step failed.
 */
static void
require(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "%s: %s\n", what, status_message());
	exit(EXIT_FAILURE);
}

/*
 * Measures parsing of the inventory text and validation of both documents.
 */
static void
measure_parse(const json_t *inventory, const json_t *rules)
{
	char *text = json_dumps(inventory, JSON_COMPACT);
	size_t before;
	json_t *parsed = NULL;
	struct inv *inv = NULL;
	int64_t start = cpu_usec();

	require(
	    inv_load_json(lstr_from(text), "inventory", &parsed) == STATUS_OK,
	    "load");
	print_time("read the inventory text (jansson)", start);
	print_bytes("inventory text", strlen(text));
	json_decref(parsed);
	free(text);
	before = heap_bytes();
	for (int i = 0; i < ROUNDS; i++) {
		inv_destroy(inv);
		start = cpu_usec();
		require(
		    inv_parse(inventory, rules, &inv) == STATUS_OK, "parse");
		print_time("check both documents (inv_parse)", start);
	}
	print_bytes("memory of the tables", heap_bytes() - before);
	inv_destroy(inv);
}

/*
 * Prints the number and sizes of the parts and the size of their manifest.
 */
static void
print_parts(const struct part_set *set)
{
	struct part_manifest *manifest = part_manifest_create(set, 1, "c");
	json_t *json = part_manifest_to_json(manifest);
	char *text = json_dumps(json, JSON_COMPACT);
	size_t largest = 0;

	for (size_t i = 0; i < set->count; i++) {
		if (set->items[i]->len > largest)
			largest = set->items[i]->len;
	}
	printf("%-46s %9zu\n", "parts", set->count);
	print_bytes("all parts", part_set_bytes(set));
	print_bytes(
	    "average part", set->count ? part_set_bytes(set) / set->count : 0);
	print_bytes("largest part", largest);
	print_bytes("manifest", strlen(text));
	free(text);
	json_decref(json);
	part_manifest_destroy(manifest);
}

/*
 * Splits the documents into parts and installs them as a revision.
 */
static void
install_config(struct conf *conf, uint64_t revision, const json_t *inventory,
    const json_t *rules)
{
	struct part_set *set = NULL;
	int64_t start = cpu_usec();

	require(part_split(inventory, rules, &set) == STATUS_OK, "split");
	print_time("split into parts (part_split)", start);
	if (revision == 1)
		print_parts(set);
	require(
	    conf_install(conf, revision, "c", set) == CONF_APPLIED, "adopt");
}

/*
 * Transfers the updates that the receiver lacks, and prints the processor time,
 * bytes and frames that this takes.
 */
static void
measure_config_transfer(
    const struct conf *from, struct conf *to, const char *what)
{
	struct conf_feed *feed =
	    conf_feed_create(from, conf_pull_base_revision(to));
	Ch__ConfigUpdate *update;
	size_t bytes = 0;
	size_t frames = 0;
	int64_t start = cpu_usec();

	while ((update = conf_feed_next(feed)) != NULL) {
		bytes += ch__config_update__get_packed_size(update);
		frames++;
		conf_apply(to, update);
		ch__config_update__free_unpacked(update, NULL);
	}
	require(conf_revision(to) == conf_revision(from), what);
	printf("-- %s\n", what);
	print_time("make, check and apply the frames", start);
	print_bytes("frames, packed", bytes);
	printf("%-46s %9zu\n", "frames", frames);
	conf_feed_destroy(feed);
	conf_drop_previous(to);
}

/*
 * Measures the time and memory that a full-size configuration costs one
 * process.
 */
int
main(void)
{
	json_t *inventory = sample_inventory(&full_size);
	json_t *rules = sample_rules(&full_size);
	struct conf *from = conf_create();
	struct conf *to = conf_create();
	size_t before;

	measure_parse(inventory, rules);
	install_config(from, 1, inventory, rules);
	before = heap_bytes();
	measure_config_transfer(from, to, "whole configuration");
	print_bytes("memory of the receiver", heap_bytes() - before);
	for (int i = 0; i < ROUNDS; i++) {
		char address[32];

		snprintf(address, sizeof(address), "10.9.9.9:%d", i + 1);
		sample_set_instance_address(inventory, 1000, address);
		install_config(from, (uint64_t)i + 2, inventory, rules);
		measure_config_transfer(from, to, "one changed instance");
	}
	conf_destroy(from);
	conf_destroy(to);
	json_decref(inventory);
	json_decref(rules);
	return EXIT_SUCCESS;
}
