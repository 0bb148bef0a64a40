/*
 * Measures the bytes per entry of the record of service order, and the
 * processor time to append and verify entries.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <zstd.h>

#include "record_chain.h"

#define DEFAULT_SEED 1
#define ORGANISATIONS 24000
#define REPLICAS_PER_ROUTER 8
#define REQUESTS_PER_SEC 81
#define ENTRIES 200000
#define SEGMENTS_MAX 1000
#define REQUEST_ID_BYTES 16
#define REVISION_CHANGE_USEC ((int64_t)23 * 1000 * 1000)
#define MEAN_WAIT_USEC 20000.0
#define USEC_PER_SEC 1e6
#define NSEC_PER_USEC 1000.0
#define START_USEC ((int64_t)1800000000 * 1000000)

struct measurements {
	uint64_t entries;
	uint64_t copy_bytes;
	uint64_t packed_bytes;
	uint64_t stored_bytes;
	uint64_t level_bytes[3];
	size_t segments;
	struct lstr *views;
	struct lstr_buf *contents;
	double append_usec;
	double verify_usec;
};

static const int levels[3] = {1, 9, 19};

/*
 * Returns the processor time of this process in microseconds.
 */
static double
cpu_usec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * USEC_PER_SEC +
	    (double)ts.tv_nsec / NSEC_PER_USEC;
}

/*
 * Returns a random duration in microseconds, exponentially distributed with the
 * given mean.
 */
static int64_t
exponential(GRand *rand, double mean_usec)
{
	return (int64_t)(-mean_usec * log(1.0 - g_rand_double(rand)));
}

/*
 * Returns the number of a random organisation. The distribution is skewed: few
 * organisations are large, most are small.
 */
static uint32_t
draw_organisation(GRand *rand)
{
	double u = g_rand_double(rand);

	return (uint32_t)(pow((double)ORGANISATIONS, u)) % ORGANISATIONS;
}

/*
 * Appends one entry with the given arrival time (microseconds).
 */
static void
append_entry(struct rec *rec, GRand *rand, int64_t arrival)
{
	char organisation[32];
	char replica[32];
	uint32_t id[REQUEST_ID_BYTES / sizeof(uint32_t)];
	uint32_t organisation_number = draw_organisation(rand);
	struct rec_event event = {.arrival = arrival,
	    .start = arrival + exponential(rand, MEAN_WAIT_USEC),
	    .priority = organisation_number % 8,
	    .revision = 100000 +
		(uint64_t)((arrival - START_USEC) / REVISION_CHANGE_USEC),
	    .reason = (Ch__RecordReason)g_rand_int_range(rand, 1, 5),
	    .attempt = 1};
	uint64_t sequence;

	for (size_t i = 0; i < sizeof(id) / sizeof(id[0]); i++)
		id[i] = g_rand_int(rand);
	snprintf(organisation, sizeof(organisation), "org-%05u",
	    organisation_number);
	snprintf(replica, sizeof(replica), "redactor-%04d",
	    g_rand_int_range(rand, 0, REPLICAS_PER_ROUTER));
	event.organisation = lstr_from(organisation);
	event.replica = lstr_from(replica);
	event.request = lstr_make(id, sizeof(id));
	if (rec_append(rec, &event, &sequence) != STATUS_OK)
		abort();
}

/*
 * Counts the bytes of the entry copies that would be sent to the peer.
 */
static void
count_copy_bytes(struct rec *rec, struct measurements *f)
{
	Ch__RecordAppend *message;

	while (rec_next_copy(rec, &message) == STATUS_OK) {
		f->copy_bytes += ch__record_append__get_packed_size(message);
		ch__record_append__free_unpacked(message, NULL);
	}
}

/*
 * Adds up the size of a segment body, packed and at each compression level.
 */
static void
compress_at_levels(struct lstr content, struct measurements *f)
{
	Ch__RecordBody *body;
	uint8_t key[REC_PUBLIC_KEY_BYTES];
	static uint8_t packed[REC_BODY_MAX_BYTES];
	static uint8_t compressed[2 * REC_BODY_MAX_BYTES];
	size_t len;

	if (rec_segment_decode(content, &body, key) != STATUS_OK)
		abort();
	len = ch__record_body__pack(body, packed);
	f->packed_bytes += len;
	for (size_t i = 0; i < 3; i++)
		f->level_bytes[i] += ZSTD_compress(
		    compressed, sizeof(compressed), packed, len, levels[i]);
	ch__record_body__free_unpacked(body, NULL);
}

/*
 * Stores the closed segments in memory and acknowledges them, as the syncd
 * does.
 */
static void
store_segments(struct rec *rec, struct measurements *f)
{
	Ch__RecordStore *store;
	struct lstr_buf *content;

	while (rec_next_store(rec, &store) == STATUS_OK) {
		content = &f->contents[f->segments];
		lstr_buf_append(content,
		    lstr_make(store->content.data, store->content.len));
		f->views[f->segments++] = lstr_buf_view(content);
		f->stored_bytes += store->content.len;
		compress_at_levels(lstr_buf_view(content), f);
		rec_handle_stored(rec, store->segment);
		ch__record_store__free_unpacked(store, NULL);
	}
}

/*
 * Writes the record of one router at its share of the full load
 * (REQUESTS_PER_SEC).
 */
static void
write_record(struct rec *rec, GRand *rand, struct measurements *f)
{
	int64_t now = START_USEC;
	double start_usec;

	for (f->entries = 0; f->entries < ENTRIES; f->entries++) {
		now += exponential(rand, USEC_PER_SEC / REQUESTS_PER_SEC);
		start_usec = cpu_usec();
		append_entry(rec, rand, now);
		f->append_usec += cpu_usec() - start_usec;
		count_copy_bytes(rec, f);
		if (rec_segment_due(rec, now) &&
		    rec_close_segment(rec, now) != STATUS_OK)
			abort();
		store_segments(rec, f);
	}
}

/*
 * Prints the bytes and times per entry, and the data rates of one node.
 */
static void
print_measurements(
    const struct measurements *f, const struct rec_verify_report *report)
{
	double n = (double)report->entries;

	printf("entries %llu, segments %zu\n",
	    (unsigned long long)report->entries, f->segments);
	printf("bytes per entry, packed body: %.1f\n",
	    (double)f->packed_bytes / n);
	printf("bytes per entry, stored segment: %.1f (%.2f KB/s at %d/s)\n",
	    (double)f->stored_bytes / n,
	    (double)f->stored_bytes / n * REQUESTS_PER_SEC / 1000,
	    REQUESTS_PER_SEC);
	for (size_t i = 0; i < 3; i++)
		printf("bytes per entry, zstd level %d: %.1f\n", levels[i],
		    (double)f->level_bytes[i] / n);
	printf("bytes per entry, copy one by one: %.1f (%.2f KB/s)\n",
	    (double)f->copy_bytes / (double)f->entries,
	    (double)f->copy_bytes / (double)f->entries * REQUESTS_PER_SEC /
		1000);
	printf(
	    "append and close, with drawing of the entry: %.2f us an entry\n",
	    f->append_usec / (double)f->entries);
	printf("a segment is closed every %.1f s\n",
	    n / REQUESTS_PER_SEC / (double)f->segments);
	printf("verify: %.2f us an entry\n", f->verify_usec / n);
}

/*
 * Verifies the record and prints the measurements. Returns the exit code.
 */
static int
verify_record(const struct rec *rec, struct measurements *f)
{
	struct rec_verify_report report;
	double start_usec = cpu_usec();

	if (rec_verify(f->views, f->segments, rec_public_key(rec), NULL, NULL,
		&report) != STATUS_OK) {
		fprintf(stderr, "%s\n", report.problem);
		return EXIT_FAILURE;
	}
	f->verify_usec = cpu_usec() - start_usec;
	print_measurements(f, &report);
	return EXIT_SUCCESS;
}

/*
 * Runs the measurement; the optional argument is the seed.
 */
int
main(int argc, char **argv)
{
	uint32_t seed =
	    argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : DEFAULT_SEED;
	GRand *rand = g_rand_new_with_seed(seed);
	static struct lstr views[SEGMENTS_MAX];
	static struct lstr_buf contents[SEGMENTS_MAX];
	struct measurements f = {.views = views, .contents = contents};
	struct rec *rec;
	int result;

	if (rec_create("node-001", 1, &rec) != STATUS_OK)
		return EXIT_FAILURE;
	printf("seed %u\n", seed);
	write_record(rec, rand, &f);
	result = verify_record(rec, &f);
	for (size_t i = 0; i < f.segments; i++)
		lstr_buf_free(&f.contents[i]);
	rec_destroy(rec);
	g_rand_free(rand);
	return result;
}
