#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "conf_priv.h"

/*
 * Frees the contents of a delta.
 */
static void
delta_clear(void *data)
{
	g_ptr_array_free(((struct delta *)data)->part_names, TRUE);
}

/*
 * Creates the configuration state of a process; it has no configuration and
 * revision 0.
 */
struct conf *
conf_create(void)
{
	struct conf *conf = g_new0(struct conf, 1);

	conf->change_id = g_strdup("");
	conf->parts = part_set_create();
	conf->history = g_array_new(FALSE, FALSE, sizeof(struct delta));
	g_array_set_clear_func(conf->history, delta_clear);
	return conf;
}

/*
 * Frees a transfer.
 */
static void
transfer_free(struct transfer *transfer)
{
	if (transfer == NULL)
		return;
	part_set_destroy(transfer->changed);
	g_ptr_array_free(transfer->removed, TRUE);
	g_free(transfer->change_id);
	g_free(transfer->received);
	g_free(transfer);
}

/*
 * Frees the configuration of a process.
 */
void
conf_destroy(struct conf *conf)
{
	if (conf == NULL)
		return;
	transfer_free(conf->transfer);
	part_set_destroy(conf->parts);
	inv_destroy(conf->inv);
	inv_destroy(conf->previous);
	g_array_free(conf->history, TRUE);
	g_free(conf->change_id);
	g_free(conf);
}

/*
 * Returns the active revision, or 0 when there is none.
 */
uint64_t
conf_revision(const struct conf *conf)
{
	return conf->revision;
}

/*
 * Returns the id of the change that produced the active revision, or "".
 */
const char *
conf_change_id(const struct conf *conf)
{
	return conf->change_id;
}

/*
 * Returns the active inventory tables, or NULL. They stay valid until the
 * second change from now or, once conf_drop_previous() is called, until the
 * next one.
 */
const struct inv *
conf_inventory(const struct conf *conf)
{
	return conf->inv;
}

/*
 * Returns the active parts, which stay valid until the next change.
 */
const struct part_set *
conf_parts(const struct conf *conf)
{
	return conf->parts;
}

/*
 * Frees the tables that were active before the last change.
 */
void
conf_drop_previous(struct conf *conf)
{
	inv_destroy(conf->previous);
	conf->previous = NULL;
}

/*
 * Returns the revision to send in a ConfigPull; 0 requests the full
 * configuration.
 */
uint64_t
conf_pull_base_revision(const struct conf *conf)
{
	return conf->full_needed ? 0 : conf->revision;
}

/*
 * Collects the names of the parts that differ between two sets.
 */
static GPtrArray *
differing_names(const struct part_set *a, const struct part_set *b)
{
	GPtrArray *part_names = g_ptr_array_new_with_free_func(g_free);
	size_t i = 0;
	size_t j = 0;

	while (i < a->count || j < b->count) {
		int order = i == a->count ? 1
		    : j == b->count
		    ? -1
		    : strcmp(a->items[i]->name, b->items[j]->name);
		const struct part *part = order < 0 ? a->items[i] : b->items[j];

		if (order != 0 ||
		    memcmp(a->items[i]->digest, b->items[j]->digest,
			PART_DIGEST_BYTES) != 0)
			g_ptr_array_add(part_names, g_strdup(part->name));
		i += order <= 0;
		j += order >= 0;
	}
	return part_names;
}

/*
 * Appends the step to a new revision to the history and drops the oldest step
 * when the history is full.
 */
static void
append_to_history(
    struct conf *conf, uint64_t revision, const struct part_set *parts)
{
	struct delta delta = {conf->revision, revision, NULL};

	if (conf->revision == 0)
		return;
	delta.part_names = differing_names(conf->parts, parts);
	if (conf->history->len == CONF_HISTORY_MAX)
		g_array_remove_index(conf->history, 0);
	g_array_append_val(conf->history, delta);
}

/*
 * Joins a set of parts and parses the resulting documents.
 */
static enum status
parse_parts(const struct part_set *parts, struct inv **out)
{
	json_t *inventory = NULL;
	json_t *rules = NULL;
	enum status status = part_join(parts, &inventory, &rules);

	if (status == STATUS_OK)
		status = inv_parse(inventory, rules, out);
	json_decref(inventory);
	json_decref(rules);
	return status;
}

/*
 * Drops the transfer in progress if its revision is no longer above the active
 * one.
 */
static void
drop_outdated_transfer(struct conf *conf)
{
	if (conf->transfer == NULL || conf->transfer->revision > conf->revision)
		return;
	transfer_free(conf->transfer);
	conf->transfer = NULL;
}

/*
 * Activates a complete set of parts if its revision is higher than the active
 * one and its documents are valid. Takes ownership of the set in any case.
 */
enum conf_result
conf_install(struct conf *conf, uint64_t revision, const char *change_id,
    struct part_set *parts)
{
	struct inv *inv = NULL;
	char *copy;

	if (revision <= conf->revision) {
		conf->counters.stale++;
		part_set_destroy(parts);
		return CONF_STALE;
	}
	if (parse_parts(parts, &inv) != STATUS_OK) {
		conf->counters.invalid++;
		part_set_destroy(parts);
		return CONF_INVALID;
	}
	inv->revision = revision;
	append_to_history(conf, revision, parts);
	conf_drop_previous(conf);
	conf->previous = conf->inv;
	conf->inv = inv;
	part_set_destroy(conf->parts);
	conf->parts = parts;
	/* change_id may point to the current id, so copy it before freeing. */
	copy = g_strdup(change_id);
	g_free(conf->change_id);
	conf->change_id = copy;
	conf->revision = revision;
	conf->full_needed = false;
	conf->counters.applied++;
	drop_outdated_transfer(conf);
	return CONF_APPLIED;
}

/*
 * Returns the number of frames of an update's transfer.
 */
static uint32_t
frame_count(const Ch__ConfigUpdate *update)
{
	return update->frames == 0 ? 1 : update->frames;
}

/*
 * Creates the transfer that an update belongs to.
 */
static struct transfer *
transfer_create(const Ch__ConfigUpdate *update)
{
	struct transfer *transfer = g_new0(struct transfer, 1);

	transfer->revision = update->revision;
	transfer->since = update->since;
	transfer->frames = frame_count(update);
	transfer->received = g_new0(bool, transfer->frames);
	transfer->change_id = g_strdup(update->change_id);
	memcpy(transfer->set_digest, update->set_digest.data,
	    PART_SET_DIGEST_BYTES);
	transfer->changed = part_set_create();
	transfer->removed = g_ptr_array_new_with_free_func(g_free);
	return transfer;
}

/*
 * Returns whether a frame belongs to a transfer. Frames of several senders can
 * be combined, because equal parts are divided into equal frames.
 */
static bool
transfer_matches(
    const struct transfer *transfer, const Ch__ConfigUpdate *update)
{
	return transfer->revision == update->revision &&
	    transfer->since == update->since &&
	    transfer->frames == frame_count(update) &&
	    memcmp(transfer->set_digest, update->set_digest.data,
		PART_SET_DIGEST_BYTES) == 0;
}

/*
 * Checks one part of an update and adds it to a transfer. A part that is
 * already active is reused.
 */
static enum status
transfer_add_part(const struct conf *conf, struct transfer *transfer,
    const Ch__ConfigPart *message)
{
	struct lstr name = lstr_from(message->name);
	struct lstr content =
	    lstr_make(message->content.data, message->content.len);
	struct part *part = part_set_find(conf->parts, name);
	uint8_t digest[PART_DIGEST_BYTES];
	enum status status = STATUS_OK;

	part_digest(content, digest);
	if (message->digest.len != PART_DIGEST_BYTES ||
	    memcmp(message->digest.data, digest, PART_DIGEST_BYTES) != 0)
		return status_set(STATUS_INVALID,
		    "part %.96s does not match its digest", message->name);
	transfer->bytes += content.len;
	if (transfer->bytes > CONF_TRANSFER_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "transfer of more than %zu bytes", CONF_TRANSFER_MAX_BYTES);
	if (part != NULL && memcmp(part->digest, digest, sizeof(digest)) == 0)
		part_ref(part);
	else
		status = part_create(name, content, &part);
	if (status != STATUS_OK)
		return status;
	return part_set_put(transfer->changed, part);
}

/*
 * Adds the content of one frame to a transfer, unless the frame has been
 * received before.
 */
static enum status
transfer_add_frame(const struct conf *conf, struct transfer *transfer,
    const Ch__ConfigUpdate *update)
{
	if (transfer->received[update->sequence])
		return STATUS_OK;
	if (transfer->removed->len + update->n_removed > PART_COUNT_MAX)
		return status_set(STATUS_INVALID,
		    "more than %d parts are removed", PART_COUNT_MAX);
	for (size_t i = 0; i < update->n_changed; i++) {
		enum status status =
		    transfer_add_part(conf, transfer, update->changed[i]);

		if (status != STATUS_OK)
			return status;
	}
	for (size_t i = 0; i < update->n_removed; i++)
		g_ptr_array_add(
		    transfer->removed, g_strdup(update->removed[i]));
	transfer->received[update->sequence] = true;
	transfer->received_count++;
	return STATUS_OK;
}

/*
 * Builds the set of parts that a complete transfer produces.
 */
static enum status
build_parts(const struct conf *conf, const struct transfer *transfer,
    struct part_set **out)
{
	struct part_set *parts = transfer->since == 0
	    ? part_set_create()
	    : part_set_copy(conf->parts);
	enum status status = STATUS_OK;

	for (guint i = 0; i < transfer->removed->len; i++)
		part_set_remove(
		    parts, lstr_from(g_ptr_array_index(transfer->removed, i)));
	for (size_t i = 0; i < transfer->changed->count && status == STATUS_OK;
	     i++)
		status =
		    part_set_put(parts, part_ref(transfer->changed->items[i]));
	if (status != STATUS_OK) {
		part_set_destroy(parts);
		return status;
	}
	*out = parts;
	return STATUS_OK;
}

/*
 * Counts a rejected update.
 */
static enum conf_result
count_invalid(struct conf *conf)
{
	conf->counters.invalid++;
	return CONF_INVALID;
}

/*
 * Counts an update that is not based on the active configuration.
 */
static enum conf_result
count_pull_needed(struct conf *conf)
{
	conf->counters.pulls++;
	return CONF_PULL_NEEDED;
}

/*
 * Activates a complete transfer if it is still based on the active revision and
 * produces the announced parts.
 */
static enum conf_result
activate_transfer(struct conf *conf, const struct transfer *transfer)
{
	uint8_t digest[PART_SET_DIGEST_BYTES];
	struct part_set *parts = NULL;

	if (transfer->since != 0 && transfer->since != conf->revision)
		return count_pull_needed(conf);
	if (build_parts(conf, transfer, &parts) != STATUS_OK)
		return count_invalid(conf);
	part_set_digest(parts, digest);
	if (memcmp(digest, transfer->set_digest, sizeof(digest)) == 0)
		return conf_install(
		    conf, transfer->revision, transfer->change_id, parts);
	part_set_destroy(parts);
	if (transfer->since != 0) {
		conf->full_needed = true;
		return count_pull_needed(conf);
	}
	status_set(STATUS_INVALID,
	    "the parts of revision %llu do not match their digest",
	    (unsigned long long)transfer->revision);
	return count_invalid(conf);
}

/*
 * Validates the header fields of an update before its content is used.
 */
static enum status
check_header(const Ch__ConfigUpdate *update)
{
	if (update->revision == 0 || update->since >= update->revision)
		return status_set(
		    STATUS_INVALID, "update without a revision of its own");
	if (update->set_digest.len != PART_SET_DIGEST_BYTES)
		return status_set(STATUS_INVALID, "update without set digest");
	if (frame_count(update) > CONF_FRAMES_MAX ||
	    update->sequence >= frame_count(update))
		return status_set(STATUS_INVALID, "frame %u of %u",
		    update->sequence, update->frames);
	if (strlen(update->change_id) > PART_CHANGE_ID_MAX_BYTES)
		return status_set(STATUS_INVALID, "change id is too long");
	return STATUS_OK;
}

/*
 * Selects the transfer that a frame belongs to. The first frame of another
 * transfer replaces an incomplete one of the same or a lower revision, so that
 * a sender that died does not block its successor. Returns NULL if the frame is
 * to be ignored.
 */
static struct transfer *
select_transfer(struct conf *conf, const Ch__ConfigUpdate *update)
{
	if (conf->transfer != NULL && transfer_matches(conf->transfer, update))
		return conf->transfer;
	if (conf->transfer != NULL &&
	    (update->sequence != 0 ||
		update->revision < conf->transfer->revision)) {
		conf->counters.ignored++;
		return NULL;
	}
	transfer_free(conf->transfer);
	conf->transfer = transfer_create(update);
	return conf->transfer;
}

/*
 * Processes one frame of a transfer that has several frames.
 */
static enum conf_result
apply_frame(struct conf *conf, const Ch__ConfigUpdate *update)
{
	struct transfer *transfer = select_transfer(conf, update);
	enum conf_result result;

	if (transfer == NULL)
		return CONF_INCOMPLETE;
	if (transfer_add_frame(conf, transfer, update) != STATUS_OK)
		result = count_invalid(conf);
	else if (transfer->received_count < transfer->frames)
		return CONF_INCOMPLETE;
	else
		result = activate_transfer(conf, transfer);
	transfer_free(conf->transfer);
	conf->transfer = NULL;
	return result;
}

/*
 * Processes an update that consists of one frame. A transfer in progress is not
 * affected.
 */
static enum conf_result
apply_single(struct conf *conf, const Ch__ConfigUpdate *update)
{
	struct transfer *transfer = transfer_create(update);
	enum conf_result result;

	if (transfer_add_frame(conf, transfer, update) != STATUS_OK)
		result = count_invalid(conf);
	else
		result = activate_transfer(conf, transfer);
	transfer_free(transfer);
	return result;
}

/*
 * Processes an update from another process. It becomes active only if its
 * revision is higher, all its frames have been received, the digests match and
 * the documents are valid.
 */
enum conf_result
conf_apply(struct conf *conf, const Ch__ConfigUpdate *update)
{
	if (check_header(update) != STATUS_OK)
		return count_invalid(conf);
	if (update->revision <= conf->revision) {
		conf->counters.stale++;
		return CONF_STALE;
	}
	if (update->since != 0 && update->since != conf->revision)
		return count_pull_needed(conf);
	if (frame_count(update) == 1)
		return apply_single(conf, update);
	return apply_frame(conf, update);
}

/*
 * Adds the parts of a manifest that are already active to a set and lists the
 * others in missing, which must have room for all parts of the manifest.
 * Returns the number of missing parts.
 */
size_t
conf_reuse_parts(const struct conf *conf, const struct part_manifest *manifest,
    struct part_set *parts, const struct part_manifest_entry **missing)
{
	size_t count = 0;

	for (size_t i = 0; i < manifest->count; i++) {
		const struct part_manifest_entry *entry = &manifest->entries[i];
		struct part *part =
		    part_set_find(conf->parts, lstr_from(entry->name));

		if (part != NULL &&
		    memcmp(part->digest, entry->digest, PART_DIGEST_BYTES) == 0)
			part_set_put(parts, part_ref(part));
		else
			missing[count++] = entry;
	}
	return count;
}

/*
 * Returns the active documents, with entities sorted by name. The caller
 * releases them with json_decref() and must not change them. STATUS_NOT_FOUND:
 * no configuration is active.
 */
enum status
conf_documents(const struct conf *conf, json_t **inventory, json_t **rules)
{
	enum status status;

	if (conf->revision == 0)
		return status_set(
		    STATUS_NOT_FOUND, "no configuration is in force");
	status = part_join(conf->parts, inventory, rules);
	if (status == STATUS_OK)
		part_sort_documents(*inventory, *rules);
	return status;
}

/*
 * Returns the state for the state dump as a new reference.
 */
json_t *
conf_dump(const struct conf *conf)
{
	const struct conf_counters *c = &conf->counters;
	const struct transfer *transfer = conf->transfer;

	return json_pack(
	    "{s:I,s:s,s:I,s:I,s:i,s:I,s:i,s:i,s:I,s:I,s:I,s:I,s:I}", "revision",
	    (json_int_t)conf->revision, "change", conf->change_id, "parts",
	    (json_int_t)conf->parts->count, "bytes",
	    (json_int_t)part_set_bytes(conf->parts), "history",
	    (int)conf->history->len, "arriving_revision",
	    (json_int_t)(transfer ? transfer->revision : 0), "arriving_frames",
	    (int)(transfer ? transfer->frames : 0), "arrived_frames",
	    (int)(transfer ? transfer->received_count : 0), "applied",
	    (json_int_t)c->applied, "stale", (json_int_t)c->stale, "pulls",
	    (json_int_t)c->pulls, "invalid", (json_int_t)c->invalid, "ignored",
	    (json_int_t)c->ignored);
}
