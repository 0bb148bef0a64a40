#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "syncd_priv.h"

#define MANIFEST_KEY "config/manifest"
/* Maximum number of changes being published concurrently. */
#define PUBLISHES_MAX 4
#define PUBLISH_TIMEOUT_USEC (20 * LOOP_USEC_PER_SEC)
#define PART_CALLS_MAX 16
#define USEC_PER_MSEC 1000

/*
 * A configuration change of an operator. The manifest is read, the missing
 * parts are written, then the manifest is replaced with compare-and-swap. After
 * an ambiguous result the manifest is read again, and the change is recognised
 * by its ID.
 */
struct publish {
	struct syncd *syncd;
	/* NULL if the operator has disconnected. */
	struct httpd_request *request;
	uint64_t base;
	char *change_id;
	int64_t deadline;
	struct part_set *parts;
	struct inv *inv;
	struct part_manifest *manifest;
	uint64_t version;
	/* Names of the parts that are already stored. */
	GHashTable *stored;
	size_t next;
	size_t open_calls;
	bool failed;
	/* A swap of the manifest may have taken effect. */
	bool ambiguous;
};

struct part_put {
	struct publish *publish;
	struct part *part;
};

static void read_manifest(struct publish *);
static void write_parts(struct publish *);

/*
 * Frees a change.
 */
static void
publish_free(struct publish *p)
{
	if (p->parts != NULL)
		part_set_destroy(p->parts);
	if (p->manifest != NULL)
		part_manifest_destroy(p->manifest);
	if (p->stored != NULL)
		g_hash_table_destroy(p->stored);
	inv_destroy(p->inv);
	g_free(p->change_id);
	g_free(p);
}

/*
 * Removes a change from the pending ones and frees it.
 */
static void
publish_end(struct publish *p)
{
	g_ptr_array_remove(p->syncd->publishes, p);
	publish_free(p);
}

/*
 * Responds to the operator and ends the change; takes over the reference to
 * response.
 */
static void
finish(struct publish *p, unsigned int http, json_t *response)
{
	if (p->request != NULL)
		syncd_http_respond(p->request, http, response);
	else
		json_decref(response);
	publish_end(p);
}

/*
 * Refuses the change with an error code and ends it.
 */
static void
finish_refused(
    struct publish *p, unsigned int http, const char *code, const char *message)
{
	if (p->request != NULL)
		syncd_http_refuse(p->request, http, code, message);
	publish_end(p);
}

/*
 * Ends a change that was accepted with the given revision: activates it here
 * and responds to the operator.
 */
static void
finish_accepted(struct publish *p, uint64_t revision)
{
	struct syncd *s = p->syncd;

	log_event(EV_CONFIG_ACCEPTED, "revision=%llu change=%s",
	    (unsigned long long)revision, p->change_id);
	if (conf_install(s->conf, revision, p->change_id, p->parts) ==
	    CONF_APPLIED)
		syncd_config_changed(s);
	p->parts = NULL;
	finish(p, 200,
	    json_pack("{s:I, s:s}", "revision", (json_int_t)revision, "change",
		p->change_id));
}

/*
 * Ends a change that was accepted earlier and has been superseded by others.
 * The active configuration is theirs.
 */
static void
finish_superseded(struct publish *p, uint64_t revision)
{
	finish(p, 200,
	    json_pack("{s:I, s:s}", "revision", (json_int_t)revision, "change",
		p->change_id));
}

/*
 * Ends a change whose result is unknown: its swap may have succeeded, but the
 * manifest's history no longer reaches back to it.
 */
static void
finish_unknown(struct publish *p)
{
	finish_refused(p, 504, "unknown",
	    "the change may have been accepted and superseded; compare the "
	    "configuration in force before you apply it again");
}

/*
 * Refuses a change that is not based on the active revision.
 */
static void
finish_conflict(struct publish *p, uint64_t revision)
{
	finish(p, 409,
	    json_pack("{s:s, s:s, s:I}", "code", "conflict", "message",
		"the configuration has changed; edit the current revision "
		"and apply it again",
		"revision", (json_int_t)revision));
}

/*
 * Ends a change whose calls failed. The response tells whether the change may
 * have been accepted.
 */
static void
finish_unavailable(struct publish *p)
{
	if (p->ambiguous)
		finish_refused(p, 504, "unknown",
		    "the change may have been accepted; apply it again with "
		    "the same change id");
	else
		finish_refused(p, 503, "unavailable",
		    "the key-value service does not answer; nothing was "
		    "changed");
}

/*
 * Handles the result of the compare-and-swap of the manifest.
 */
static void
on_swapped(const struct kv_result *result, void *arg)
{
	struct publish *p = arg;

	if (result->status == STATUS_OK) {
		finish_accepted(p, p->manifest->revision);
		return;
	}
	if (result->status == STATUS_AMBIGUOUS)
		p->ambiguous = true;
	if (result->status == STATUS_UNAVAILABLE && !p->ambiguous)
		finish_unavailable(p);
	else
		read_manifest(p);
}

/*
 * Replaces the manifest if it still has the version that was read.
 */
static void
swap_manifest(struct publish *p)
{
	struct syncd *s = p->syncd;
	json_t *json = part_manifest_to_json(p->manifest);
	char *text = json_dumps(json, JSON_COMPACT);

	s->kv->vtable->put(s->kv, lstr_from(MANIFEST_KEY), lstr_from(text),
	    p->version, lstr_from(""), syncd_now(s) + SYNCD_KV_TIMEOUT_USEC,
	    on_swapped, p);
	free(text);
	json_decref(json);
}

/*
 * Finishes the write of a part.
 */
static void
part_put_done(struct part_put *put, bool stored)
{
	struct publish *p = put->publish;

	p->open_calls--;
	if (stored)
		g_hash_table_add(p->stored, put->part->name);
	else
		p->failed = true;
	g_free(put);
	write_parts(p);
}

/*
 * Handles the result of reading a part back.
 */
static void
on_part_read(const struct kv_result *result, void *arg)
{
	part_put_done(arg, result->status == STATUS_OK);
}

/*
 * Handles the result of writing a part. A part that already exists has the same
 * content, since its key is its digest. After an ambiguous result the part is
 * read back.
 */
static void
on_part_written(const struct kv_result *result, void *arg)
{
	struct part_put *put = arg;
	struct syncd *s = put->publish->syncd;
	char key[SYNCD_KEY_MAX_BYTES];

	if (result->status == STATUS_AMBIGUOUS) {
		syncd_config_part_key(put->part->digest, key);
		s->kv->vtable->get(s->kv, lstr_from(key),
		    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_part_read, put);
		return;
	}
	part_put_done(put,
	    result->status == STATUS_OK || result->status == STATUS_CONFLICT);
}

/*
 * Writes the parts that are not stored, then swaps the manifest. Failed writes
 * are retried until the deadline.
 */
static void
write_parts(struct publish *p)
{
	struct syncd *s = p->syncd;

	while (!p->failed && p->next < p->parts->count &&
	    p->open_calls < PART_CALLS_MAX) {
		struct part *part = p->parts->items[p->next++];
		char key[SYNCD_KEY_MAX_BYTES];
		struct part_put *put;

		if (g_hash_table_contains(p->stored, part->name))
			continue;
		put = g_new0(struct part_put, 1);
		put->publish = p;
		put->part = part;
		p->open_calls++;
		syncd_config_part_key(part->digest, key);
		s->kv->vtable->put(s->kv, lstr_from(key),
		    lstr_make(part->content, part->len), KV_VERSION_NONE,
		    lstr_from(""), syncd_now(s) + SYNCD_KV_TIMEOUT_USEC,
		    on_part_written, put);
	}
	if (p->open_calls > 0)
		return;
	if (!p->failed) {
		swap_manifest(p);
	} else if (syncd_now(s) > p->deadline) {
		finish_unavailable(p);
	} else {
		/* Read the manifest, then write the missing parts. */
		p->failed = false;
		read_manifest(p);
	}
}

/*
 * Marks the parts that the current manifest already refers to as stored.
 */
static void
mark_stored(struct publish *p, const struct part_manifest *current)
{
	for (size_t i = 0; i < current->count; i++) {
		const struct part *part = part_set_find(
		    p->parts, lstr_from(current->entries[i].name));

		if (part != NULL &&
		    memcmp(part->digest, current->entries[i].digest,
			PART_DIGEST_BYTES) == 0)
			g_hash_table_add(p->stored, part->name);
	}
}

/*
 * Checks that no service gets a longer claim window. A claim whose slot was
 * overwritten is recognised as expired by its original expiry. With a longer
 * window its key would become valid again, and the request could run twice.
 * STATUS_INVALID: a window would grow.
 */
static enum status
check_claim_windows(const struct inv *from, const struct inv *to)
{
	for (uint32_t i = 0; from != NULL && i < from->service_count; i++) {
		const struct inv_service *old = &from->services[i];
		uint32_t found = inv_find_service(to, lstr_from(old->name));
		int64_t before = inv_claim_window(old);
		int64_t after;

		if (found == INV_NONE)
			continue;
		after = inv_claim_window(&to->services[found]);
		if (after > before)
			return status_set(STATUS_INVALID,
			    "services: window_ms of '%s' cannot grow from "
			    "%lld to %lld; use a new service name",
			    old->name, (long long)(before / USEC_PER_MSEC),
			    (long long)(after / USEC_PER_MSEC));
	}
	return STATUS_OK;
}

/*
 * Checks a change against the configuration that it is based on. Returns false
 * if the change was refused and ended.
 */
static bool
check_against_base(struct publish *p)
{
	const struct conf *conf = p->syncd->conf;

	if (conf_revision(conf) != p->base) {
		finish_refused(p, 503, "behind",
		    "this syncd has not taken the base revision yet; nothing "
		    "was changed");
		return false;
	}
	if (check_claim_windows(conf_inventory(conf), p->inv) != STATUS_OK) {
		finish_refused(p, 400, "invalid", status_message());
		return false;
	}
	return true;
}

/*
 * Continues a change with the current manifest, which is NULL if there is none.
 */
static void
continue_with_manifest(
    struct publish *p, const struct part_manifest *current, uint64_t version)
{
	uint64_t revision = current ? current->revision : 0;
	uint64_t accepted =
	    current ? part_manifest_find_change(current, p->change_id) : 0;

	if (accepted != 0 && accepted == revision) {
		finish_accepted(p, revision);
		return;
	}
	if (accepted != 0) {
		finish_superseded(p, accepted);
		return;
	}
	if (revision != p->base) {
		if (p->ambiguous && current != NULL &&
		    !part_manifest_covers_revision(current, p->base + 1))
			finish_unknown(p);
		else
			finish_conflict(p, revision);
		return;
	}
	/*
	 * Checked only once: after a swap that may have succeeded the change
	 * must not be refused.
	 */
	if (p->manifest == NULL && !check_against_base(p))
		return;
	if (current != NULL)
		mark_stored(p, current);
	p->version = version;
	p->next = 0;
	if (p->manifest == NULL) {
		p->manifest =
		    part_manifest_create(p->parts, p->base + 1, p->change_id);
		if (current != NULL)
			part_manifest_inherit_history(p->manifest, current);
	}
	write_parts(p);
}

/*
 * Handles the result of reading the current manifest.
 */
static void
on_current(const struct kv_result *result, void *arg)
{
	struct publish *p = arg;
	struct part_manifest *current = NULL;
	json_t *json = NULL;

	syncd_kv_result(p->syncd, result->status);
	if (result->status == STATUS_NOT_FOUND) {
		continue_with_manifest(p, NULL, KV_VERSION_NONE);
		return;
	}
	if (result->status != STATUS_OK) {
		if (p->ambiguous && syncd_now(p->syncd) <= p->deadline)
			read_manifest(p);
		else
			finish_unavailable(p);
		return;
	}
	json = json_loadb(result->value.data, result->value.len, 0, NULL);
	if (json == NULL ||
	    part_manifest_from_json(json, &current) != STATUS_OK) {
		json_decref(json);
		finish_refused(p, 500, "invalid-manifest",
		    "the manifest in the key-value service cannot be read");
		return;
	}
	json_decref(json);
	continue_with_manifest(p, current, result->version);
	part_manifest_destroy(current);
}

/*
 * Reads the current manifest, unless the deadline of the change has passed.
 */
static void
read_manifest(struct publish *p)
{
	struct syncd *s = p->syncd;

	if (syncd_now(s) > p->deadline) {
		finish_unavailable(p);
		return;
	}
	s->kv->vtable->get(s->kv, lstr_from(MANIFEST_KEY),
	    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_current, p);
}

/*
 * Validates an operator's document and splits it into parts. The caller frees
 * *inv with inv_destroy() and the result with part_set_destroy(). Returns NULL
 * if the document is invalid; status_message() gives the reason.
 */
static struct part_set *
check_document(const json_t *body, struct inv **inv)
{
	const json_t *inventory = json_object_get(body, "inventory");
	const json_t *rules = json_object_get(body, "rules");
	const json_t *change = json_object_get(body, "change");
	struct part_set *parts = NULL;

	if (!json_is_integer(json_object_get(body, "base")) ||
	    json_integer_value(json_object_get(body, "base")) < 0 ||
	    !json_is_string(change) || json_string_length(change) == 0 ||
	    json_string_length(change) > PART_CHANGE_ID_MAX_BYTES ||
	    !json_is_object(inventory) || !json_is_object(rules)) {
		status_set(STATUS_INVALID,
		    "base (revision), change (1 to %d characters), inventory "
		    "and rules are needed",
		    PART_CHANGE_ID_MAX_BYTES);
		return NULL;
	}
	if (inv_parse(inventory, rules, inv) != STATUS_OK)
		return NULL;
	if (part_split(inventory, rules, &parts) != STATUS_OK) {
		inv_destroy(*inv);
		return NULL;
	}
	return parts;
}

/*
 * Handles POST /v1/config.
 */
void
syncd_publish(struct syncd *s, struct httpd_request *request)
{
	json_t *body = NULL;
	struct part_set *parts;
	struct inv *inv = NULL;
	struct publish *p;

	if (s->publishes->len >= PUBLISHES_MAX) {
		syncd_http_refuse(
		    request, 503, "busy", "other changes are being published");
		return;
	}
	if (inv_load_json(httpd_body(request), "body", &body) != STATUS_OK ||
	    (parts = check_document(body, &inv)) == NULL) {
		syncd_http_refuse(request, 400, "invalid", status_message());
		json_decref(body);
		return;
	}
	p = g_new0(struct publish, 1);
	p->syncd = s;
	p->request = request;
	p->base = (uint64_t)json_integer_value(json_object_get(body, "base"));
	p->change_id =
	    g_strdup(json_string_value(json_object_get(body, "change")));
	p->deadline = syncd_now(s) + PUBLISH_TIMEOUT_USEC;
	p->parts = parts;
	p->inv = inv;
	p->stored = g_hash_table_new(g_str_hash, g_str_equal);
	json_decref(body);
	g_ptr_array_add(s->publishes, p);
	read_manifest(p);
}

/*
 * Detaches a closed request from its change, which continues without it.
 */
void
syncd_publish_request_closed(struct syncd *s, struct httpd_request *request)
{
	for (guint i = 0; i < s->publishes->len; i++) {
		struct publish *p = s->publishes->pdata[i];

		if (p->request == request)
			p->request = NULL;
	}
}

/*
 * Ends all changes when the process stops. Their calls were cancelled when the
 * client was destroyed. Because a change may have been accepted, it is not
 * answered as refused.
 */
void
syncd_publish_close(struct syncd *s)
{
	while (s->publishes->len > 0) {
		struct publish *p = g_ptr_array_remove_index(s->publishes, 0);

		if (p->request != NULL)
			syncd_http_refuse(p->request, 504, "unknown",
			    "the process is stopping; the change may have "
			    "been accepted, apply it again with the same "
			    "change id");
		publish_free(p);
	}
}
