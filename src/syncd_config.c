#include <string.h>

#include "log.h"
#include "syncd_priv.h"

#define MANIFEST_KEY "config/manifest"
/* Maximum number of parts read concurrently. */
#define LOAD_CALLS_MAX 16

/* A configuration revision being read from the key-value service. */
struct config_load {
	struct syncd *syncd;
	struct part_manifest *manifest;
	struct part_set *parts;
	const struct part_manifest_entry **missing;
	size_t missing_count;
	size_t next;
	size_t open_calls;
	bool failed;
};

/* A read of one part in progress. */
struct part_call {
	struct config_load *load;
	const struct part_manifest_entry *entry;
};

static void load_next_parts(struct config_load *);

/*
 * Writes the key of a part into a buffer.
 */
void
syncd_config_part_key(
    const uint8_t digest[PART_DIGEST_BYTES], char key[SYNCD_KEY_MAX_BYTES])
{
	char hex[PART_DIGEST_HEX_SIZE];

	part_digest_to_hex(digest, hex);
	g_snprintf(key, SYNCD_KEY_MAX_BYTES, "config/part/%s", hex);
}

/*
 * Sends the frames that update a receiver from its revision to the active
 * one.
 */
void
syncd_config_send(struct syncd *s, const struct syncd_origin *to, uint64_t have)
{
	struct conf_feed *feed = conf_feed_create(s->conf, have);
	Ch__Frame frame = CH__FRAME__INIT;

	if (feed == NULL)
		return;
	frame.kind_case = CH__FRAME__KIND_CONFIG_UPDATE;
	while ((frame.config_update = conf_feed_next(feed)) != NULL) {
		syncd_send(to, &frame);
		ch__config_update__free_unpacked(frame.config_update, NULL);
	}
	conf_feed_destroy(feed);
	if (to->session != NULL)
		to->session->revision = conf_revision(s->conf);
}

/*
 * Sends a new revision to the subscribers of this node and, from a watcher, to
 * the syncds of its data centre. Other syncds learn of it from heartbeats.
 */
void
syncd_config_changed(struct syncd *s)
{
	GHashTableIter iter;
	gpointer value;

	log_event(EV_CONFIG_IN_FORCE, "revision=%llu change=%s",
	    (unsigned long long)conf_revision(s->conf),
	    conf_change_id(s->conf));
	conf_drop_previous(s->conf);
	g_hash_table_iter_init(&iter, s->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct syncd_session *session = value;
		struct syncd_origin to = {.session = session};
		bool place = session->role == CH__ROLE__ROLE_SYNCD &&
		    strcmp(link_peer(session->link)->place,
			s->proc->hello.place) == 0;

		if ((session->subscribed || (place && s->is_watcher)) &&
		    session->revision < conf_revision(s->conf))
			syncd_config_send(s, &to, session->revision);
	}
}

/*
 * Requests the changes after the active revision, at most once per second, so
 * that several peers do not send the same changes.
 */
static void
request_update(struct syncd *s, const struct syncd_origin *from)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ConfigPull message = CH__CONFIG_PULL__INIT;

	if (syncd_now(s) < s->config_pull_at)
		return;
	s->config_pull_at = syncd_now(s) + SYNCD_RETRY_USEC;
	message.have = conf_pull_base_revision(s->conf);
	frame.kind_case = CH__FRAME__KIND_CONFIG_PULL;
	frame.config_pull = &message;
	syncd_send(from, &frame);
}

/*
 * Requests an update if the revision in a heartbeat is higher than the active
 * one.
 */
void
syncd_config_peer_revision(
    struct syncd *s, const struct syncd_origin *from, uint64_t revision)
{
	if (revision > conf_revision(s->conf))
		request_update(s, from);
}

/*
 * Applies a configuration frame received from another syncd.
 */
void
syncd_config_apply(struct syncd *s, const struct syncd_origin *from,
    const Ch__ConfigUpdate *update)
{
	switch (conf_apply(s->conf, update)) {
	case CONF_APPLIED:
		syncd_config_changed(s);
		break;
	case CONF_PULL_NEEDED:
		request_update(s, from);
		break;
	case CONF_INVALID:
		log_event(EV_CONFIG_INVALID, "revision=%llu reason=\"%s\"",
		    (unsigned long long)update->revision, status_message());
		break;
	case CONF_INCOMPLETE:
	case CONF_STALE:
		break;
	}
}

/*
 * Frees a load that has no open calls.
 */
static void
load_free(struct config_load *load)
{
	if (load->parts != NULL)
		part_set_destroy(load->parts);
	part_manifest_destroy(load->manifest);
	g_free(load->missing);
	g_free(load);
}

/*
 * Finishes a load: activates the revision, or schedules another read of the
 * manifest after a failure.
 */
static void
load_finish(struct config_load *load)
{
	struct syncd *s = load->syncd;
	struct part_set *parts = load->parts;

	s->load = NULL;
	if (load->failed) {
		s->config_watch.watching = false;
		s->config_watch.retry_at = syncd_now(s) + SYNCD_RETRY_USEC;
	} else {
		load->parts = NULL;
		switch (conf_install(s->conf, load->manifest->revision,
		    load->manifest->change_id, parts)) {
		case CONF_APPLIED:
			syncd_config_changed(s);
			break;
		case CONF_INVALID:
			log_event(EV_CONFIG_INVALID,
			    "revision=%llu reason=\"%s\"",
			    (unsigned long long)load->manifest->revision,
			    status_message());
			break;
		default:
			break;
		}
	}
	load_free(load);
}

/*
 * Handles the result of reading a part, whose content must match its digest.
 */
static void
on_part(const struct kv_result *result, void *arg)
{
	struct part_call *call = arg;
	struct config_load *load = call->load;
	struct part *part = NULL;
	bool ok;

	load->open_calls--;
	syncd_kv_result(load->syncd, result->status);
	ok = result->status == STATUS_OK &&
	    part_create(lstr_from(call->entry->name), result->value, &part) ==
		STATUS_OK;
	if (ok &&
	    memcmp(part->digest, call->entry->digest, PART_DIGEST_BYTES) != 0) {
		part_unref(part);
		ok = false;
	} else if (ok) {
		ok = part_set_put(load->parts, part) == STATUS_OK;
	}
	load->failed |= !ok;
	g_free(call);
	load_next_parts(load);
}

/*
 * Starts reading the next parts, or finishes the load when no call is pending.
 */
static void
load_next_parts(struct config_load *load)
{
	struct syncd *s = load->syncd;

	while (!load->failed && load->next < load->missing_count &&
	    load->open_calls < LOAD_CALLS_MAX) {
		struct part_call *call = g_new0(struct part_call, 1);
		char key[SYNCD_KEY_MAX_BYTES];

		call->load = load;
		call->entry = load->missing[load->next++];
		load->open_calls++;
		syncd_config_part_key(call->entry->digest, key);
		s->kv->vtable->get(s->kv, lstr_from(key),
		    syncd_now(s) + SYNCD_KV_TIMEOUT_USEC, on_part, call);
	}
	if (load->open_calls == 0)
		load_finish(load);
}

/*
 * Handles a manifest: if its revision is higher than the active one, the
 * missing parts are read.
 */
static void
load_manifest(struct syncd *s, struct lstr value)
{
	json_t *json = json_loadb(value.data, value.len, 0, NULL);
	struct part_manifest *manifest = NULL;
	struct config_load *load;

	if (json == NULL ||
	    part_manifest_from_json(json, &manifest) != STATUS_OK) {
		log_event(EV_CONFIG_INVALID, "reason=\"%s\"",
		    json ? status_message() : "manifest is not JSON");
		json_decref(json);
		return;
	}
	json_decref(json);
	if (s->load != NULL || manifest->revision <= conf_revision(s->conf)) {
		/*
		 * Fail the load in progress, so that the manifest is read again
		 * after it.
		 */
		if (s->load != NULL)
			s->load->failed = true;
		part_manifest_destroy(manifest);
		return;
	}
	load = g_new0(struct config_load, 1);
	load->syncd = s;
	load->manifest = manifest;
	load->parts = part_set_create();
	load->missing =
	    g_new0(const struct part_manifest_entry *, manifest->count + 1);
	load->missing_count =
	    conf_reuse_parts(s->conf, manifest, load->parts, load->missing);
	s->load = load;
	load_next_parts(load);
}

/*
 * Handles the result of reading the manifest, at the start or after a gap in
 * the watch.
 */
static void
on_manifest(const struct kv_result *result, void *arg)
{
	struct syncd_watch *watch = arg;
	struct syncd *s = watch->syncd;

	watch->call_pending = false;
	syncd_kv_result(s, result->status);
	if (result->status != STATUS_OK && result->status != STATUS_NOT_FOUND) {
		watch->retry_at = syncd_now(s) + SYNCD_RETRY_USEC;
		return;
	}
	watch->watching = true;
	watch->after_revision = result->version;
	if (result->status == STATUS_OK)
		load_manifest(s, result->value);
}

/*
 * Handles the result of a watch on the manifest.
 */
static void
on_change(const struct kv_result *result, void *arg)
{
	struct syncd_watch *watch = arg;
	struct syncd *s = watch->syncd;

	watch->call_pending = false;
	if (result->status == STATUS_EXPIRED) {
		watch->watching = false;
		return;
	}
	syncd_kv_result(s, result->status);
	if (result->status != STATUS_OK) {
		watch->retry_at = syncd_now(s) + SYNCD_RETRY_USEC;
		return;
	}
	watch->after_revision = result->revision;
	for (size_t i = 0; i < result->count; i++) {
		if (lstr_equal_c(result->items[i].key, MANIFEST_KEY) &&
		    !result->items[i].deleted && i + 1 == result->count)
			load_manifest(s, result->items[i].value);
	}
}

/*
 * Reads the manifest once, and watches it while this node is a watcher.
 */
void
syncd_config_tick(struct syncd *s)
{
	struct syncd_watch *watch = &s->config_watch;
	int64_t now = syncd_now(s);

	watch->syncd = s;
	if (watch->call_pending || now < watch->retry_at)
		return;
	if (!watch->watching) {
		watch->call_pending = true;
		s->kv->vtable->get(s->kv, lstr_from(MANIFEST_KEY),
		    now + SYNCD_KV_TIMEOUT_USEC, on_manifest, watch);
	} else if (s->is_watcher) {
		watch->call_pending = true;
		s->kv->vtable->watch(s->kv, lstr_from(MANIFEST_KEY),
		    watch->after_revision, now + SYNCD_WATCH_USEC,
		    now + SYNCD_WATCH_TIMEOUT_USEC, on_change, watch);
	}
}

/*
 * Frees the load in progress. Its calls were cancelled when the client was
 * destroyed.
 */
void
syncd_config_close(struct syncd *s)
{
	if (s->load != NULL)
		load_free(s->load);
}
