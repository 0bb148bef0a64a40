#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "conf_priv.h"

/*
 * Frees what a change holds.
 */
static void
change_clear(void *data)
{
	g_ptr_array_free(((struct change *)data)->names, TRUE);
}

/*
 * Creates the state of a process without a configuration, at revision 0.
 */
struct conf *
conf_create(void)
{
	struct conf *conf = g_new0(struct conf, 1);

	conf->change_id = g_strdup("");
	conf->parts = part_set_create();
	conf->history = g_array_new(FALSE, FALSE, sizeof(struct change));
	g_array_set_clear_func(conf->history, change_clear);
	return conf;
}

/*
 * Frees a transfer.
 */
static void
staging_free(struct staging *staging)
{
	if (staging == NULL)
		return;
	part_set_destroy(staging->changed);
	g_ptr_array_free(staging->removed, TRUE);
	g_free(staging->change_id);
	g_free(staging->arrived);
	g_free(staging);
}

/*
 * Frees the configuration of a process.
 */
void
conf_destroy(struct conf *conf)
{
	if (conf == NULL)
		return;
	staging_free(conf->staging);
	part_set_destroy(conf->parts);
	inv_destroy(conf->inv);
	inv_destroy(conf->previous);
	g_array_free(conf->history, TRUE);
	g_free(conf->change_id);
	g_free(conf);
}

/*
 * Returns the revision in force; 0 when there is none.
 */
uint64_t
conf_revision(const struct conf *conf)
{
	return conf->revision;
}

/*
 * Returns the id of the change that made the revision in force, or "".
 */
const char *
conf_change_id(const struct conf *conf)
{
	return conf->change_id;
}

/*
 * Returns the tables in force, or NULL. They are valid until the second
 * change after this or, once conf_drop_previous() is called, the next.
 */
const struct inv *
conf_inventory(const struct conf *conf)
{
	return conf->inv;
}

/*
 * Returns the parts in force, valid until the next change.
 */
const struct part_set *
conf_parts(const struct conf *conf)
{
	return conf->parts;
}

/*
 * Frees the tables that were in force before the last change.
 */
void
conf_drop_previous(struct conf *conf)
{
	inv_destroy(conf->previous);
	conf->previous = NULL;
}

/*
 * Returns the revision to name in a ConfigPull; 0 asks for everything.
 */
uint64_t
conf_pull_from(const struct conf *conf)
{
	return conf->whole_needed ? 0 : conf->revision;
}

/*
 * Collects the names of the parts that differ between two sets.
 */
static GPtrArray *
differing_names(const struct part_set *a, const struct part_set *b)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
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
			g_ptr_array_add(names, g_strdup(part->name));
		i += order <= 0;
		j += order >= 0;
	}
	return names;
}

/*
 * Adds the step to a new revision to the history; the oldest step falls out
 * when it is full.
 */
static void
remember(struct conf *conf, uint64_t revision, const struct part_set *parts)
{
	struct change change = {conf->revision, revision, NULL};

	if (conf->revision == 0)
		return;
	change.names = differing_names(conf->parts, parts);
	if (conf->history->len == CONF_HISTORY_MAX)
		g_array_remove_index(conf->history, 0);
	g_array_append_val(conf->history, change);
}

/*
 * Parses a set of parts.
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
 * Drops a transfer that can no longer come into force.
 */
static void
drop_outdated(struct conf *conf)
{
	if (conf->staging == NULL || conf->staging->revision > conf->revision)
		return;
	staging_free(conf->staging);
	conf->staging = NULL;
}

/*
 * Brings a whole set of parts into force if its revision is higher and its
 * documents are valid. Takes over the set in any case.
 */
enum conf_result
conf_adopt(struct conf *conf, uint64_t revision, const char *change_id,
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
	remember(conf, revision, parts);
	conf_drop_previous(conf);
	conf->previous = conf->inv;
	conf->inv = inv;
	part_set_destroy(conf->parts);
	conf->parts = parts;
	/* The id may be the present one. */
	copy = g_strdup(change_id);
	g_free(conf->change_id);
	conf->change_id = copy;
	conf->revision = revision;
	conf->whole_needed = false;
	conf->counters.applied++;
	drop_outdated(conf);
	return CONF_APPLIED;
}

/*
 * Returns the number of frames of an update's transfer.
 */
static uint32_t
frames_of(const Ch__ConfigUpdate *update)
{
	return update->frames == 0 ? 1 : update->frames;
}

/*
 * Creates the staging of an update's transfer.
 */
static struct staging *
staging_create(const Ch__ConfigUpdate *update)
{
	struct staging *staging = g_new0(struct staging, 1);

	staging->revision = update->revision;
	staging->since = update->since;
	staging->frames = frames_of(update);
	staging->arrived = g_new0(bool, staging->frames);
	staging->change_id = g_strdup(update->change_id);
	memcpy(staging->set_digest, update->set_digest.data,
	    PART_SET_DIGEST_BYTES);
	staging->changed = part_set_create();
	staging->removed = g_ptr_array_new_with_free_func(g_free);
	return staging;
}

/*
 * Tells whether a frame belongs to a transfer. Frames of several senders mix
 * freely, because equal parts are divided into equal frames.
 */
static bool
staging_matches(const struct staging *staging, const Ch__ConfigUpdate *update)
{
	return staging->revision == update->revision &&
	    staging->since == update->since &&
	    staging->frames == frames_of(update) &&
	    memcmp(staging->set_digest, update->set_digest.data,
		PART_SET_DIGEST_BYTES) == 0;
}

/*
 * Checks one part of an update and stages it. A part that is in force already
 * is used again.
 */
static enum status
stage_part(const struct conf *conf, struct staging *staging,
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
	staging->bytes += content.len;
	if (staging->bytes > CONF_STAGED_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "transfer of more than %zu bytes", CONF_STAGED_MAX_BYTES);
	if (part != NULL && memcmp(part->digest, digest, sizeof(digest)) == 0)
		part_ref(part);
	else
		status = part_create(name, content, &part);
	if (status != STATUS_OK)
		return status;
	return part_set_put(staging->changed, part);
}

/*
 * Stages the content of one frame, unless it has arrived before.
 */
static enum status
stage(const struct conf *conf, struct staging *staging,
    const Ch__ConfigUpdate *update)
{
	if (staging->arrived[update->sequence])
		return STATUS_OK;
	if (staging->removed->len + update->n_removed > PART_COUNT_MAX)
		return status_set(STATUS_INVALID,
		    "more than %d parts are removed", PART_COUNT_MAX);
	for (size_t i = 0; i < update->n_changed; i++) {
		enum status status =
		    stage_part(conf, staging, update->changed[i]);

		if (status != STATUS_OK)
			return status;
	}
	for (size_t i = 0; i < update->n_removed; i++)
		g_ptr_array_add(staging->removed, g_strdup(update->removed[i]));
	staging->arrived[update->sequence] = true;
	staging->arrived_count++;
	return STATUS_OK;
}

/*
 * Builds the set of parts that a complete transfer leads to.
 */
static enum status
build_parts(const struct conf *conf, const struct staging *staging,
    struct part_set **out)
{
	struct part_set *parts = staging->since == 0
	    ? part_set_create()
	    : part_set_copy(conf->parts);
	enum status status = STATUS_OK;

	for (guint i = 0; i < staging->removed->len; i++)
		part_set_remove(
		    parts, lstr_from(g_ptr_array_index(staging->removed, i)));
	for (size_t i = 0; i < staging->changed->count && status == STATUS_OK;
	     i++)
		status =
		    part_set_put(parts, part_ref(staging->changed->items[i]));
	if (status != STATUS_OK) {
		part_set_destroy(parts);
		return status;
	}
	*out = parts;
	return STATUS_OK;
}

/*
 * Counts an update that is refused.
 */
static enum conf_result
count_invalid(struct conf *conf)
{
	conf->counters.invalid++;
	return CONF_INVALID;
}

/*
 * Counts an update that does not fit.
 */
static enum conf_result
count_pull(struct conf *conf)
{
	conf->counters.pulls++;
	return CONF_PULL_NEEDED;
}

/*
 * Brings a complete transfer into force, if it still fits and leads to the
 * announced parts.
 */
static enum conf_result
finish(struct conf *conf, const struct staging *staging)
{
	uint8_t digest[PART_SET_DIGEST_BYTES];
	struct part_set *parts = NULL;

	if (staging->since != 0 && staging->since != conf->revision)
		return count_pull(conf);
	if (build_parts(conf, staging, &parts) != STATUS_OK)
		return count_invalid(conf);
	part_set_digest(parts, digest);
	if (memcmp(digest, staging->set_digest, sizeof(digest)) == 0)
		return conf_adopt(
		    conf, staging->revision, staging->change_id, parts);
	part_set_destroy(parts);
	if (staging->since != 0) {
		conf->whole_needed = true;
		return count_pull(conf);
	}
	status_set(STATUS_INVALID,
	    "the parts of revision %llu do not match their digest",
	    (unsigned long long)staging->revision);
	return count_invalid(conf);
}

/*
 * Checks the shape of an update before anything of it is used.
 */
static enum status
check_shape(const Ch__ConfigUpdate *update)
{
	if (update->revision == 0 || update->since >= update->revision)
		return status_set(
		    STATUS_INVALID, "update without a revision of its own");
	if (update->set_digest.len != PART_SET_DIGEST_BYTES)
		return status_set(STATUS_INVALID, "update without set digest");
	if (frames_of(update) > CONF_FRAMES_MAX ||
	    update->sequence >= frames_of(update))
		return status_set(STATUS_INVALID, "frame %u of %u",
		    update->sequence, update->frames);
	if (strlen(update->change_id) > PART_CHANGE_ID_MAX_BYTES)
		return status_set(STATUS_INVALID, "change id is too long");
	return STATUS_OK;
}

/*
 * Chooses the transfer that a frame goes to. The first frame of another
 * transfer replaces an incomplete one of no higher revision, so that a sender
 * that died does not block its successor. Returns NULL to ignore the frame.
 */
static struct staging *
choose_staging(struct conf *conf, const Ch__ConfigUpdate *update)
{
	if (conf->staging != NULL && staging_matches(conf->staging, update))
		return conf->staging;
	if (conf->staging != NULL &&
	    (update->sequence != 0 ||
		update->revision < conf->staging->revision)) {
		conf->counters.ignored++;
		return NULL;
	}
	staging_free(conf->staging);
	conf->staging = staging_create(update);
	return conf->staging;
}

/*
 * Takes one frame of a transfer of several.
 */
static enum conf_result
apply_frame(struct conf *conf, const Ch__ConfigUpdate *update)
{
	struct staging *staging = choose_staging(conf, update);
	enum conf_result result;

	if (staging == NULL)
		return CONF_MORE;
	if (stage(conf, staging, update) != STATUS_OK)
		result = count_invalid(conf);
	else if (staging->arrived_count < staging->frames)
		return CONF_MORE;
	else
		result = finish(conf, staging);
	staging_free(conf->staging);
	conf->staging = NULL;
	return result;
}

/*
 * Takes an update that is complete in one frame. A transfer that is arriving
 * goes on.
 */
static enum conf_result
apply_single(struct conf *conf, const Ch__ConfigUpdate *update)
{
	struct staging *staging = staging_create(update);
	enum conf_result result;

	if (stage(conf, staging, update) != STATUS_OK)
		result = count_invalid(conf);
	else
		result = finish(conf, staging);
	staging_free(staging);
	return result;
}

/*
 * Takes an update from another process. Only a higher revision comes into
 * force, and only when all its frames have arrived, their digests hold and
 * the documents are valid.
 */
enum conf_result
conf_apply(struct conf *conf, const Ch__ConfigUpdate *update)
{
	if (check_shape(update) != STATUS_OK)
		return count_invalid(conf);
	if (update->revision <= conf->revision) {
		conf->counters.stale++;
		return CONF_STALE;
	}
	if (update->since != 0 && update->since != conf->revision)
		return count_pull(conf);
	if (frames_of(update) == 1)
		return apply_single(conf, update);
	return apply_frame(conf, update);
}

/*
 * Puts the parts of a manifest that are in force already into a set, and
 * lists the others in missing, which has room for all parts of the manifest.
 * Returns the number of missing parts.
 */
size_t
conf_reuse(const struct conf *conf, const struct part_manifest *manifest,
    struct part_set *parts, const struct part_ref **missing)
{
	size_t count = 0;

	for (size_t i = 0; i < manifest->count; i++) {
		const struct part_ref *ref = &manifest->refs[i];
		struct part *part =
		    part_set_find(conf->parts, lstr_from(ref->name));

		if (part != NULL &&
		    memcmp(part->digest, ref->digest, PART_DIGEST_BYTES) == 0)
			part_set_put(parts, part_ref(part));
		else
			missing[count++] = ref;
	}
	return count;
}

/*
 * Gives the documents in force, with entities in the order of their names.
 * The caller releases them with json_decref() and must not change them.
 * STATUS_NOT_FOUND: no configuration is in force.
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
 * Returns the state for the dump as a new reference.
 */
json_t *
conf_dump(const struct conf *conf)
{
	const struct conf_counters *c = &conf->counters;
	const struct staging *staging = conf->staging;

	return json_pack(
	    "{s:I,s:s,s:I,s:I,s:i,s:I,s:i,s:i,s:I,s:I,s:I,s:I,s:I}", "revision",
	    (json_int_t)conf->revision, "change", conf->change_id, "parts",
	    (json_int_t)conf->parts->count, "bytes",
	    (json_int_t)part_set_bytes(conf->parts), "history",
	    (int)conf->history->len, "arriving_revision",
	    (json_int_t)(staging ? staging->revision : 0), "arriving_frames",
	    (int)(staging ? staging->frames : 0), "arrived_frames",
	    (int)(staging ? staging->arrived_count : 0), "applied",
	    (json_int_t)c->applied, "stale", (json_int_t)c->stale, "pulls",
	    (json_int_t)c->pulls, "invalid", (json_int_t)c->invalid, "ignored",
	    (json_int_t)c->ignored);
}
