#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "log.h"
#include "syncd_priv.h"

/*
 * Limits of the store queue: number of values, and their total size, which is
 * 64 MiB as in the router.
 */
#define STORES_MAX 4096
#define STORES_MAX_BYTES ((size_t)64 * 1024 * 1024)
/*
 * Maximum number of unacknowledged copies. Beyond it the oldest is dropped and
 * its entries count as unreplicated.
 */
#define UNACKED_COPIES_MAX 4096
/* Maximum number of concurrent writes. */
#define STORE_CALLS_MAX 4

/* A queued value to be written under record/. */
struct store {
	struct syncd *syncd;
	char *key;
	uint8_t *value;
	size_t len;
	bool call_pending;
	bool done;
	int64_t retry_at;
	/* Reported when the value is stored; node is NULL for public keys. */
	char *node;
	uint64_t boot;
	uint32_t segment;
	uint64_t last_sequence;
	/* Stored by this node in place of a failed router. */
	bool recovered;
};

/* A copy that the record peer has not acknowledged yet. */
struct unacked_copy {
	uint64_t boot;
	uint32_t segment;
	uint64_t last_sequence;
	uint8_t *packed;
	size_t len;
};

/* A boot of another node's router whose copies are held here. */
struct copy_source {
	char *node;
	uint64_t boot;
	bool recovering;
	/* The public key for the recovered segments has been queued. */
	bool signer_queued;
};

static struct metric segments_stored = {
    "chestnuthoist_record_segments_stored_total", "", "Record segments stored.",
    METRIC_COUNTER, 0, NULL};
static struct metric segments_recovered = {
    "chestnuthoist_record_segments_recovered_total", "",
    "Record segments stored in place of a dead router.", METRIC_COUNTER, 0,
    NULL};
static struct metric stores_refused = {
    "chestnuthoist_record_stores_refused_total", "",
    "Record segments refused because too many wait.", METRIC_COUNTER, 0, NULL};

/*
 * Frees a queued value.
 */
static void
store_free(gpointer data)
{
	struct store *store = data;

	g_free(store->key);
	g_free(store->value);
	g_free(store->node);
	g_free(store);
}

/*
 * Returns the total size of the queued values in bytes.
 */
static size_t
queued_bytes(const struct syncd *s)
{
	size_t bytes = 0;

	for (const GList *l = s->stores.head; l != NULL; l = l->next)
		bytes += ((const struct store *)l->data)->len;
	return bytes;
}

/*
 * Queues a value to be stored; takes ownership of the key. Returns NULL and
 * frees the key if the queue is full.
 */
static struct store *
queue_store(struct syncd *s, char *key, const void *value, size_t len)
{
	struct store *store;

	if (s->stores.length >= STORES_MAX ||
	    queued_bytes(s) + len > STORES_MAX_BYTES) {
		stores_refused.value++;
		g_free(key);
		return NULL;
	}
	store = g_new0(struct store, 1);
	store->syncd = s;
	store->key = key;
	store->value = g_memdup2(value, len);
	store->len = len;
	g_queue_push_tail(&s->stores, store);
	return store;
}

/*
 * Frees an unacknowledged copy.
 */
static void
unacked_copy_free(gpointer data)
{
	struct unacked_copy *copy = data;

	g_free(copy->packed);
	g_free(copy);
}

/*
 * Drops the copies of a boot that are acknowledged up to a sequence number or
 * stored up to a segment.
 */
static void
drop_copies(struct syncd *s, uint64_t boot, uint64_t sequence, uint32_t segment)
{
	struct unacked_copy *copy;

	while ((copy = g_queue_peek_head(&s->unacked_copies)) != NULL &&
	    copy->boot == boot &&
	    (copy->last_sequence <= sequence || copy->segment <= segment))
		unacked_copy_free(g_queue_pop_head(&s->unacked_copies));
}

/*
 * Reports a stored segment to the router and the record peer. For a recovered
 * segment, the copies held here are released instead.
 */
static void
report_stored(const struct store *store)
{
	struct syncd *s = store->syncd;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RecordStored message = CH__RECORD_STORED__INIT;
	const struct view_member *record_peer;
	struct syncd_outgoing *out;

	segments_stored.value++;
	message.node = store->node;
	message.boot = store->boot;
	message.segment = store->segment;
	message.last_sequence = store->last_sequence;
	frame.kind_case = CH__FRAME__KIND_RECORD_STORED;
	frame.record_stored = &message;
	if (store->recovered) {
		segments_recovered.value++;
		rec_copies_handle_recovered(s->copies, lstr_from(store->node),
		    store->boot, store->segment, store->last_sequence);
		return;
	}
	syncd_send_local(s, CH__ROLE__ROLE_ROUTER, &frame);
	drop_copies(s, store->boot, 0, store->segment);
	record_peer = rendezvous_record_peer(membership_view(s->membership),
	    lstr_from(s->proc->hello.node), lstr_from(s->proc->hello.place));
	out = record_peer ? g_hash_table_lookup(s->outgoing, record_peer->node)
			  : NULL;
	if (out != NULL)
		peer_send(out->peer, &frame);
}

/*
 * Handles the result of a write. An existing key already holds the same value,
 * because it contains the boot and the segment and only this process writes it.
 * All other failures are retried.
 */
static void
on_stored(const struct kv_result *result, void *arg)
{
	struct store *store = arg;
	struct syncd *s = store->syncd;

	store->call_pending = false;
	syncd_kv_result(s, result->status);
	if (result->status != STATUS_OK && result->status != STATUS_CONFLICT) {
		store->retry_at = syncd_now(s) + SYNCD_RETRY_USEC;
		return;
	}
	if (store->node != NULL)
		report_stored(store);
	g_queue_remove(&s->stores, store);
	store_free(store);
}

/*
 * Starts the writes that are due, in the order of the queue.
 */
static void
start_stores(struct syncd *s)
{
	int64_t now = syncd_now(s);
	int calls = 0;

	for (GList *l = s->stores.head; l != NULL && calls < STORE_CALLS_MAX;
	     l = l->next) {
		struct store *store = l->data;

		calls++;
		if (store->call_pending || now < store->retry_at)
			continue;
		store->call_pending = true;
		s->kv->vtable->put(s->kv, lstr_from(store->key),
		    lstr_make(store->value, store->len), KV_VERSION_NONE,
		    lstr_from(""), now + SYNCD_KV_TIMEOUT_USEC, on_stored,
		    store);
	}
}

/*
 * Returns whether a value with a key is queued.
 */
static bool
is_queued(const struct syncd *s, const char *key)
{
	for (const GList *l = s->stores.head; l != NULL; l = l->next)
		if (strcmp(((const struct store *)l->data)->key, key) == 0)
			return true;
	return false;
}

/*
 * Returns the key of a segment, which the caller frees with g_free(). The key
 * of a recovered segment contains its last sequence number and the node that
 * signed it, because the same segment may be recovered again with more entries,
 * or by another node.
 */
static char *
segment_key(
    const struct syncd *s, const Ch__RecordStore *message, bool recovered)
{
	char *key = g_strdup_printf("record/%s/%016" PRIx64 "/%08u",
	    message->node, message->boot, message->segment);
	char *recovered_key;

	if (!recovered)
		return key;
	recovered_key = g_strdup_printf("%s.recovered.%016" PRIx64 ".%s", key,
	    message->last_sequence, s->proc->hello.node);
	g_free(key);
	return recovered_key;
}

/*
 * Queues a segment to be stored, unless it is queued already.
 */
static void
queue_segment(struct syncd *s, const Ch__RecordStore *message, bool recovered)
{
	char *key = segment_key(s, message, recovered);
	struct store *store;

	/* The router resends segments until they are stored. */
	if (is_queued(s, key)) {
		g_free(key);
		return;
	}
	store =
	    queue_store(s, key, message->content.data, message->content.len);
	if (store == NULL)
		return;
	store->node = g_strdup(message->node);
	store->boot = message->boot;
	store->segment = message->segment;
	store->last_sequence = message->last_sequence;
	store->recovered = recovered;
	start_stores(s);
}

/*
 * Handles a segment from the local router.
 */
void
syncd_records_store(struct syncd *s, const Ch__RecordStore *message)
{
	if (strcmp(message->node, s->proc->hello.node) == 0)
		queue_segment(s, message, false);
}

/*
 * Stores the public key announced by the local router, so that its segments can
 * be verified after it has stopped.
 */
void
syncd_records_public_key(struct syncd *s, const Ch__RoleState *state)
{
	char *key;

	if (state->role != CH__ROLE__ROLE_ROUTER ||
	    state->record_key.len != REC_PUBLIC_KEY_BYTES)
		return;
	key = g_strdup_printf(
	    "record/%s/%016" PRIx64 "/key", s->proc->hello.node, state->boot);
	if (g_hash_table_contains(s->copy_sources, key)) {
		g_free(key);
		return;
	}
	if (g_hash_table_size(s->copy_sources) < REC_COPIES_MAX_SOURCES)
		g_hash_table_insert(s->copy_sources, g_strdup(key), NULL);
	queue_store(s, key, state->record_key.data, state->record_key.len);
	start_stores(s);
}

/*
 * Keeps a copy until the record peer acknowledges it, so that it can be resent.
 */
static void
retain_copy(struct syncd *s, const Ch__RecordAppend *message)
{
	struct unacked_copy *copy;

	if (message->n_entries == 0)
		return;
	copy = g_queue_peek_head(&s->unacked_copies);
	/* The copies of an earlier boot of the router are no longer needed. */
	if (copy != NULL && copy->boot != message->boot)
		g_queue_clear_full(&s->unacked_copies, unacked_copy_free);
	if (s->unacked_copies.length >= UNACKED_COPIES_MAX)
		unacked_copy_free(g_queue_pop_head(&s->unacked_copies));
	copy = g_new0(struct unacked_copy, 1);
	copy->boot = message->boot;
	copy->segment = message->segment;
	copy->last_sequence =
	    message->entries[message->n_entries - 1]->sequence;
	copy->len = ch__record_append__get_packed_size(message);
	copy->packed = g_malloc(copy->len);
	ch__record_append__pack(message, copy->packed);
	g_queue_push_tail(&s->unacked_copies, copy);
}

/*
 * Resends the copies that may have been lost with a connection. The record peer
 * recognises copies that it already has.
 */
void
syncd_records_peer_up(struct syncd *s, struct syncd_outgoing *out)
{
	const struct view_member *record_peer = rendezvous_record_peer(
	    membership_view(s->membership), lstr_from(s->proc->hello.node),
	    lstr_from(s->proc->hello.place));

	if (record_peer == NULL || strcmp(record_peer->node, out->node) != 0)
		return;
	for (GList *l = s->unacked_copies.head; l != NULL; l = l->next) {
		const struct unacked_copy *copy = l->data;
		Ch__Frame frame = CH__FRAME__INIT;

		frame.record_append =
		    ch__record_append__unpack(NULL, copy->len, copy->packed);
		frame.kind_case = CH__FRAME__KIND_RECORD_APPEND;
		if (frame.record_append == NULL)
			return;
		peer_send(out->peer, &frame);
		ch__record_append__free_unpacked(frame.record_append, NULL);
	}
}

/*
 * Handles record entries. Those of the local router are sent to the record
 * peer; those of another node are stored here as copies and acknowledged.
 */
void
syncd_records_append(struct syncd *s, const struct syncd_origin *from,
    const Ch__RecordAppend *message)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RecordAck ack = CH__RECORD_ACK__INIT;
	const struct view_member *record_peer;
	struct syncd_outgoing *out;
	struct copy_source *copy_source;
	char *name;

	if (from->session == NULL)
		return;
	if (from->session->local) {
		record_peer =
		    rendezvous_record_peer(membership_view(s->membership),
			lstr_from(s->proc->hello.node),
			lstr_from(s->proc->hello.place));
		out = record_peer
		    ? g_hash_table_lookup(s->outgoing, record_peer->node)
		    : NULL;
		frame.kind_case = CH__FRAME__KIND_RECORD_APPEND;
		frame.record_append = (Ch__RecordAppend *)message;
		retain_copy(s, message);
		if (out != NULL)
			peer_send(out->peer, &frame);
		return;
	}
	if (from->session->role != CH__ROLE__ROLE_SYNCD ||
	    strcmp(link_peer(from->session->link)->node, message->node) != 0 ||
	    rec_copies_append(s->copies, message, &ack) != STATUS_OK)
		return;
	name = g_strdup_printf("%s %016" PRIx64, message->node, message->boot);
	if (!g_hash_table_contains(s->copy_sources, name)) {
		copy_source = g_new0(struct copy_source, 1);
		copy_source->node = g_strdup(message->node);
		copy_source->boot = message->boot;
		g_hash_table_insert(
		    s->copy_sources, g_strdup(name), copy_source);
	}
	g_free(name);
	frame.kind_case = CH__FRAME__KIND_RECORD_ACK;
	frame.record_ack = &ack;
	syncd_send(from, &frame);
}

/*
 * Forwards an acknowledgement to the local router.
 */
void
syncd_records_ack(struct syncd *s, const Ch__RecordAck *message)
{
	Ch__Frame frame = CH__FRAME__INIT;

	if (strcmp(message->node, s->proc->hello.node) != 0)
		return;
	drop_copies(s, message->boot, message->sequence, 0);
	frame.kind_case = CH__FRAME__KIND_RECORD_ACK;
	frame.record_ack = (Ch__RecordAck *)message;
	syncd_send_local(s, CH__ROLE__ROLE_ROUTER, &frame);
}

/*
 * Frees the copies of a segment that its own node has stored.
 */
void
syncd_records_stored(struct syncd *s, const Ch__RecordStored *message)
{
	rec_copies_handle_stored(s->copies, lstr_from(message->node),
	    message->boot, message->segment);
}

/*
 * Returns whether the router that sent copies has stopped: its node is no
 * longer a member, or no router address is announced for it. A suspected node
 * or an empty view does not count.
 */
static bool
router_has_stopped(const struct syncd *s, const struct copy_source *copy_source)
{
	const struct view_member *m = view_find(
	    membership_view(s->membership), lstr_from(copy_source->node));

	if (m == NULL)
		return view_count(membership_view(s->membership)) > 0;
	return m->state != VIEW_SUSPECTED && m->router_address[0] == '\0';
}

/*
 * Queues the public key for the recovered segments of a boot, and returns
 * whether it is stored. A segment is stored only after its key; otherwise
 * nobody could verify the segment if this process ended between the two writes.
 * The key name contains the public key, so an existing key has the same value.
 */
static bool
signer_is_stored(struct syncd *s, struct copy_source *copy_source)
{
	const uint8_t *public_key = rec_copies_public_key(s->copies);
	char hex[2 * REC_PUBLIC_KEY_BYTES + 1];
	char *key;
	bool queued;

	sodium_bin2hex(hex, sizeof(hex), public_key, REC_PUBLIC_KEY_BYTES);
	key = g_strdup_printf("record/%s/%016" PRIx64 "/signer/%s/%s",
	    copy_source->node, copy_source->boot, s->proc->hello.node, hex);
	queued = is_queued(s, key);
	if (queued || copy_source->signer_queued) {
		g_free(key);
		return !queued;
	}
	copy_source->signer_queued =
	    queue_store(s, key, public_key, REC_PUBLIC_KEY_BYTES) != NULL;
	start_stores(s);
	return false;
}

/*
 * Queues the remaining segments of a router that has stopped. Their copies are
 * released when they are stored. Returns whether everything is stored.
 */
static bool
recover_segments(struct syncd *s, struct copy_source *copy_source)
{
	struct lstr node = lstr_from(copy_source->node);
	Ch__RecordStore *message = NULL;

	if (!router_has_stopped(s, copy_source)) {
		copy_source->recovering = false;
		return false;
	}
	if (!copy_source->recovering) {
		log_event(EV_RECORD_RECOVERED, "node=%s boot=%016" PRIx64,
		    copy_source->node, copy_source->boot);
		rec_copies_restart_recovery(s->copies, node, copy_source->boot);
	}
	copy_source->recovering = true;
	if (!signer_is_stored(s, copy_source))
		return false;
	while (s->stores.length < STORES_MAX / 2 &&
	    rec_copies_next_recovery(
		s->copies, node, copy_source->boot, &message) == STATUS_OK) {
		queue_segment(s, message, true);
		ch__record_store__free_unpacked(message, NULL);
	}
	return s->stores.length == 0;
}

/*
 * Recovers the records of stopped routers and starts the writes that are due.
 */
void
syncd_records_tick(struct syncd *s)
{
	GHashTableIter iter;
	gpointer value;

	if (membership_service_is_up(s->membership)) {
		g_hash_table_iter_init(&iter, s->copy_sources);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			if (value != NULL && recover_segments(s, value))
				g_hash_table_iter_remove(&iter);
		}
	}
	start_stores(s);
}

/*
 * Frees a copy source; NULL is ignored.
 */
static void
copy_source_free(gpointer data)
{
	struct copy_source *copy_source = data;

	if (copy_source == NULL)
		return;
	g_free(copy_source->node);
	g_free(copy_source);
}

/*
 * Creates the queues and tables of the records.
 */
enum status
syncd_records_open(struct syncd *s)
{
	s->copy_sources = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, copy_source_free);
	g_queue_init(&s->stores);
	g_queue_init(&s->unacked_copies);
	metric_register(&segments_stored);
	metric_register(&segments_recovered);
	metric_register(&stores_refused);
	return rec_copies_create(s->proc->hello.node, &s->copies);
}

/*
 * Frees the queues and tables of the records. The calls were cancelled when the
 * client was destroyed.
 */
void
syncd_records_close(struct syncd *s)
{
	g_queue_clear_full(&s->stores, store_free);
	g_queue_clear_full(&s->unacked_copies, unacked_copy_free);
	if (s->copy_sources != NULL)
		g_hash_table_destroy(s->copy_sources);
	rec_copies_destroy(s->copies);
}
