#include <jansson.h>

#include "quarantine_store.h"
#include "slog.h"

/* Parts in the key. */
#define STORED_PARTS_MAX 64

struct quarantine_store {
	struct loop *loop;
	struct kv *kv;
	struct quarantine *quarantine;
	/* Newest era that the store has stated; 0: none. */
	uint64_t era;
	/* Position of the key; revision 0: it does not exist. */
	struct store_position position;
	/* quarantine_changes() when the key was last written or read. */
	uint64_t stored_changes;
	uint64_t pending_changes;
	int64_t not_before;
	bool call_pending;
	/* The store may have lost the key, or has an older one. */
	bool lost;
};

/*
 * Creates the state. Nothing is written before quarantine_store_tick().
 */
struct quarantine_store *
quarantine_store_new(
    struct loop *loop, struct kv *kv, struct quarantine *quarantine)
{
	struct quarantine_store *store = g_new0(struct quarantine_store, 1);

	store->loop = loop;
	store->kv = kv;
	store->quarantine = quarantine;
	return store;
}

/*
 * Frees the state; NULL is allowed. The store client must have been destroyed,
 * or no call may be in progress.
 */
void
quarantine_store_free(struct quarantine_store *store)
{
	g_free(store);
}

/*
 * Returns the time of day in milliseconds.
 */
static int64_t
time_of_day_msec(void)
{
	return g_get_real_time() / LOOP_USEC_PER_MSEC;
}

/*
 * Encodes the evidence against one part; ages are relative to the time of the
 * write.
 */
static json_t *
encode_row(const struct quarantine_row *row, int64_t now)
{
	json_t *crashes = json_array();
	char part[QUARANTINE_PART_TEXT_SIZE];

	quarantine_format_part(row->part, part);
	for (uint32_t i = 0; i < row->crash_count; i++) {
		const struct quarantine_crash *crash = &row->crashes[i];

		if (!crash->alive)
			json_array_append_new(crashes,
			    json_pack("[I, I, I]", (json_int_t)crash->server,
				(json_int_t)crash->request,
				(json_int_t)((now - crash->at) /
				    LOOP_USEC_PER_MSEC)));
	}
	return json_pack("{s:s, s:i, s:i, s:o}", "part", part, "depth",
	    (int)row->depth, "trials", (int)row->trials, "crashes", crashes);
}

/*
 * Decodes the evidence against one part. Returns false if it is malformed.
 */
static bool
decode_row(const json_t *json, int64_t written_at, struct quarantine_row *out)
{
	const char *part = json_string_value(json_object_get(json, "part"));
	const json_t *crashes = json_object_get(json, "crashes");
	char *end = NULL;
	size_t i;
	const json_t *crash;

	if (part == NULL || !json_is_array(crashes))
		return false;
	*out = (struct quarantine_row){.part = g_ascii_strtoull(part, &end, 16),
	    .depth =
		(uint32_t)json_integer_value(json_object_get(json, "depth")),
	    .trials =
		(uint32_t)json_integer_value(json_object_get(json, "trials"))};
	if (end == part || *end != '\0')
		return false;
	json_array_foreach(crashes, i, crash)
	{
		int64_t age = json_integer_value(json_array_get(crash, 2));

		if (i == QUARANTINE_CRASHES_MAX || age < 0 ||
		    age > QUARANTINE_EVIDENCE_USEC / LOOP_USEC_PER_MSEC)
			return false;
		out->crashes[out->crash_count++] = (struct quarantine_crash){
		    .server =
			(uint32_t)json_integer_value(json_array_get(crash, 0)),
		    .request =
			(uint32_t)json_integer_value(json_array_get(crash, 1)),
		    .at = written_at - age * LOOP_USEC_PER_MSEC};
	}
	return true;
}

/*
 * Handles an era that the store stated: with a later one than before, it may
 * have lost the evidence.
 */
void
quarantine_store_note_era(struct quarantine_store *store, uint64_t era)
{
	if (era <= store->era)
		return;
	store->lost = store->lost || store->era != 0;
	store->era = era;
}

/*
 * Returns false if a statement of the store belongs to an earlier era than the
 * newest one. An era of 0 was not stated.
 */
static bool
is_current(const struct quarantine_store *store, uint64_t era)
{
	return era == 0 || era == store->era;
}

/*
 * Reads the value of the key. Malformed rows are ignored; the others are
 * evidence like that of a peer.
 */
void
quarantine_store_read(struct quarantine_store *store, struct lstr value,
    struct store_position position)
{
	int64_t now = loop_now(store->loop);
	json_t *json = json_loadb(value.data, value.len, 0, NULL);
	int64_t today = time_of_day_msec();
	int64_t written =
	    json_integer_value(json_object_get(json, "written_at_ms"));
	int64_t elapsed = MIN(today - CLAMP(written, 0, today),
	    QUARANTINE_EVIDENCE_USEC / LOOP_USEC_PER_MSEC);
	struct quarantine_row rows[STORED_PARTS_MAX];
	size_t count = 0;
	size_t i;
	const json_t *row;

	quarantine_store_note_era(store, position.era);
	if (is_current(store, position.era)) {
		store->position = position;
		store->lost = store->lost || position.revision == 0;
	}
	json_array_foreach(json_object_get(json, "parts"), i, row)
	{
		if (count < STORED_PARTS_MAX &&
		    decode_row(
			row, now - elapsed * LOOP_USEC_PER_MSEC, &rows[count]))
			count++;
	}
	quarantine_merge(store->quarantine, rows, count, now);
	json_decref(json);
}

/*
 * Handles the response to a write. If the key has another version, it is
 * written again with that; the evidence in it has been or will be read.
 */
static void
on_written(const struct kv_result *result, void *arg)
{
	struct quarantine_store *store = arg;

	store->call_pending = false;
	quarantine_store_note_era(store, result->era);
	if (is_current(store, result->era)) {
		if (result->status == STATUS_OK) {
			store->stored_changes = store->pending_changes;
			store->lost = false;
		}
		if (result->status == STATUS_OK ||
		    result->status == STATUS_CONFLICT)
			store->position = (struct store_position){
			    result->era, result->version};
	}
	slog_event(EV_QUARANTINE_STORED, "{s:s, s:i, s:I}", "status",
	    status_name(result->status), "parts",
	    (int)quarantine_count(store->quarantine, QUARANTINE_CONFIRMED),
	    "era", (json_int_t)result->era);
}

/*
 * Writes the evidence against the confirmed parts to the store.
 */
static void
write_parts(struct quarantine_store *store, int64_t now)
{
	struct quarantine_row rows[STORED_PARTS_MAX];
	size_t count = quarantine_fill_confirmed(
	    store->quarantine, rows, STORED_PARTS_MAX);
	json_t *parts = json_array();
	json_t *json;
	char *text;

	for (size_t i = 0; i < count; i++)
		json_array_append_new(parts, encode_row(&rows[i], now));
	json = json_pack("{s:I, s:o}", "written_at_ms",
	    (json_int_t)time_of_day_msec(), "parts", parts);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	store->call_pending = true;
	store->kv->vtable->put(store->kv, lstr_from(QUARANTINE_STORE_KEY),
	    lstr_from(text), store->position.revision, lstr_make("", 0),
	    now + QUARANTINE_STORE_CALL_USEC, on_written, store);
	free(text);
}

/*
 * Writes the key if this node is the planner and the evidence has changed or
 * the store may have lost it.
 */
void
quarantine_store_tick(struct quarantine_store *store, bool is_planner)
{
	int64_t now = loop_now(store->loop);

	if (quarantine_count(store->quarantine, QUARANTINE_CONFIRMED) == 0)
		store->lost = false;
	if (!is_planner || store->call_pending || now < store->not_before ||
	    (!store->lost &&
		store->stored_changes == quarantine_changes(store->quarantine)))
		return;
	store->not_before = now + QUARANTINE_STORE_PAUSE_USEC;
	store->pending_changes = quarantine_changes(store->quarantine);
	write_parts(store, now);
}
