#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "conf_priv.h"

/* Encoded size of a part in addition to its name and content. */
#define PART_OVERHEAD_BYTES 48

struct conf_feed {
	uint64_t revision;
	uint64_t since;
	char *change_id;
	uint8_t set_digest[PART_SET_DIGEST_BYTES];
	GPtrArray *changed;
	GPtrArray *removed;
	/* Index of the next item; items of removed come before changed. */
	size_t next;
	uint32_t sequence;
	uint32_t frames;
};

/*
 * Adds a part to a feed, or its removal if the active configuration no longer
 * has it.
 */
static void
feed_add_part(struct conf_feed *feed, const struct conf *conf, const char *name)
{
	struct part *part = part_set_find(conf->parts, lstr_from(name));

	if (part != NULL)
		g_ptr_array_add(feed->changed, part_ref(part));
	else
		g_ptr_array_add(feed->removed, g_strdup(name));
}

/*
 * Compares two pointers to names for sorting.
 */
static gint
compare_name_pointers(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Adds all parts that changed since the history entry at an index.
 */
static void
feed_add_delta(struct conf_feed *feed, const struct conf *conf, guint start)
{
	GPtrArray *part_names = g_ptr_array_new();

	for (guint i = start; i < conf->history->len; i++) {
		const struct delta *delta =
		    &g_array_index(conf->history, struct delta, i);

		for (guint j = 0; j < delta->part_names->len; j++)
			g_ptr_array_add(part_names,
			    g_ptr_array_index(delta->part_names, j));
	}
	g_ptr_array_sort(part_names, compare_name_pointers);
	for (guint i = 0; i < part_names->len; i++) {
		const char *name = g_ptr_array_index(part_names, i);

		if (i == 0 ||
		    strcmp(name, g_ptr_array_index(part_names, i - 1)) != 0)
			feed_add_part(feed, conf, name);
	}
	g_ptr_array_free(part_names, TRUE);
}

/*
 * Fills a feed with a delta if the history reaches back to the receiver's
 * revision, else with the full configuration.
 */
static void
feed_fill(
    struct conf_feed *feed, const struct conf *conf, uint64_t receiver_revision)
{
	for (guint i = 0; receiver_revision != 0 && i < conf->history->len;
	     i++) {
		if (g_array_index(conf->history, struct delta, i).from !=
		    receiver_revision)
			continue;
		feed->since = receiver_revision;
		feed_add_delta(feed, conf, i);
		return;
	}
	for (size_t i = 0; i < conf->parts->count; i++)
		g_ptr_array_add(feed->changed, part_ref(conf->parts->items[i]));
}

/*
 * Returns the approximate encoded size of an item of a feed.
 */
static size_t
item_bytes(const struct conf_feed *feed, size_t i)
{
	const struct part *part;

	if (i < feed->removed->len)
		return strlen(g_ptr_array_index(feed->removed, i)) +
		    PART_OVERHEAD_BYTES;
	part = g_ptr_array_index(feed->changed, i - feed->removed->len);
	return strlen(part->name) + part->len + PART_OVERHEAD_BYTES;
}

/*
 * Returns the index after the last item of the frame that starts at an item.
 * Items are added until CONF_FRAME_BYTES are reached, so a frame exceeds this
 * size by less than one part and stays below FRAME_MAX_BYTES.
 */
static size_t
frame_end(const struct conf_feed *feed, size_t start)
{
	size_t count = feed->removed->len + feed->changed->len;
	size_t bytes = 0;
	size_t i = start;

	while (i < count && bytes < CONF_FRAME_BYTES)
		bytes += item_bytes(feed, i++);
	return i;
}

/*
 * Releases a reference to a part; used as GDestroyNotify.
 */
static void
unref_item(void *data)
{
	part_unref(data);
}

/*
 * Creates the frames for a receiver that has a revision, 0 for none. The feed
 * holds its own references, so the configuration may change in the meantime.
 * Returns NULL when the receiver is up to date. Every sender produces the same
 * frames in the same order.
 */
struct conf_feed *
conf_feed_create(const struct conf *conf, uint64_t receiver_revision)
{
	struct conf_feed *feed;
	size_t count;

	if (receiver_revision >= conf->revision)
		return NULL;
	feed = g_new0(struct conf_feed, 1);
	feed->revision = conf->revision;
	feed->change_id = g_strdup(conf->change_id);
	feed->changed = g_ptr_array_new_with_free_func(unref_item);
	feed->removed = g_ptr_array_new_with_free_func(g_free);
	part_set_digest(conf->parts, feed->set_digest);
	feed_fill(feed, conf, receiver_revision);
	count = feed->removed->len + feed->changed->len;
	for (size_t i = 0; i < count; i = frame_end(feed, i))
		feed->frames++;
	if (feed->frames == 0)
		feed->frames = 1;
	return feed;
}

/*
 * Frees a feed.
 */
void
conf_feed_destroy(struct conf_feed *feed)
{
	if (feed == NULL)
		return;
	g_ptr_array_free(feed->changed, TRUE);
	g_ptr_array_free(feed->removed, TRUE);
	g_free(feed->change_id);
	g_free(feed);
}

/*
 * Returns whether a feed holds the full configuration rather than a delta.
 */
bool
conf_feed_is_full(const struct conf_feed *feed)
{
	return feed->since == 0;
}

/*
 * Copies bytes into a binary field of a message.
 */
static void
copy_bytes(ProtobufCBinaryData *out, const void *data, size_t len)
{
	out->data = malloc(len + 1);
	if (out->data == NULL)
		g_error("out of memory");
	memcpy(out->data, data, len);
	out->len = len;
}

/*
 * Copies a string for a field of a message.
 */
static char *
copy_string(const char *text)
{
	char *copy = strdup(text);

	if (copy == NULL)
		g_error("out of memory");
	return copy;
}

/*
 * Allocates zeroed memory for a message or a list in one. The protobuf library
 * frees messages, so they are allocated with calloc() rather than GLib.
 */
static void *
allocate_zeroed(size_t count, size_t size)
{
	void *memory = calloc(count + 1, size);

	if (memory == NULL)
		g_error("out of memory");
	return memory;
}

/*
 * Adds one item of a feed to a message.
 */
static void
add_item(const struct conf_feed *feed, Ch__ConfigUpdate *update, size_t i)
{
	const struct part *part;
	Ch__ConfigPart *message;

	if (i < feed->removed->len) {
		update->removed[update->n_removed++] =
		    copy_string(g_ptr_array_index(feed->removed, i));
		return;
	}
	part = g_ptr_array_index(feed->changed, i - feed->removed->len);
	message = allocate_zeroed(1, sizeof(*message));
	ch__config_part__init(message);
	message->name = copy_string(part->name);
	copy_bytes(&message->digest, part->digest, PART_DIGEST_BYTES);
	copy_bytes(&message->content, part->content, part->len);
	update->changed[update->n_changed++] = message;
}

/*
 * Returns the next frame, or NULL after the last one. The caller frees it with
 * ch__config_update__free_unpacked().
 */
Ch__ConfigUpdate *
conf_feed_next(struct conf_feed *feed)
{
	size_t end = frame_end(feed, feed->next);
	Ch__ConfigUpdate *update;

	if (feed->sequence == feed->frames)
		return NULL;
	update = allocate_zeroed(1, sizeof(*update));
	ch__config_update__init(update);
	update->revision = feed->revision;
	update->since = feed->since;
	update->sequence = feed->sequence++;
	update->frames = feed->frames;
	update->change_id = copy_string(feed->change_id);
	copy_bytes(
	    &update->set_digest, feed->set_digest, PART_SET_DIGEST_BYTES);
	update->changed =
	    allocate_zeroed(end - feed->next, sizeof(Ch__ConfigPart *));
	update->removed = allocate_zeroed(end - feed->next, sizeof(char *));
	while (feed->next < end)
		add_item(feed, update, feed->next++);
	return update;
}
