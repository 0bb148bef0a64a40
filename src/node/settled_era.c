#include <glib.h>
#include <jansson.h>

#include "settled_era.h"
#include "slog.h"

struct settled_era {
	struct loop *loop;
	struct kv *kv;
	/* The era in the key; 0: there is none. */
	uint64_t stored;
	/* Position of the key; revision 0: it does not exist. */
	struct store_position position;
	/* The era of the pending write. */
	uint64_t pending;
	int64_t not_before;
	bool call_pending;
};

/*
 * Creates the state. Nothing is written before settled_era_tick().
 */
struct settled_era *
settled_era_new(struct loop *loop, struct kv *kv)
{
	struct settled_era *settled = g_new0(struct settled_era, 1);

	settled->loop = loop;
	settled->kv = kv;
	return settled;
}

/*
 * Frees the state; NULL is allowed. The store client must have been destroyed,
 * or no call may be in progress.
 */
void
settled_era_free(struct settled_era *settled)
{
	g_free(settled);
}

/*
 * Reads the value of the key and returns the era in it; 0: it cannot be read. A
 * restored copy has a lower era than was read before.
 */
uint64_t
settled_era_read(struct settled_era *settled, struct lstr value,
    struct store_position position)
{
	json_t *json = json_loadb(value.data, value.len, 0, NULL);
	json_int_t era = json_integer_value(json_object_get(json, "era"));

	json_decref(json);
	settled->stored = era > 0 ? (uint64_t)era : 0;
	settled->position = position;
	return settled->stored;
}

/*
 * Returns the era in the key; 0: there is none.
 */
uint64_t
settled_era_stored(const struct settled_era *settled)
{
	return settled->stored;
}

/*
 * Handles the response to a write. After a conflict the key is read by the
 * watch of the store, and written with its version if its era is still lower.
 */
static void
on_written(const struct kv_result *result, void *arg)
{
	struct settled_era *settled = arg;

	settled->call_pending = false;
	slog_event(EV_ERA_SETTLED, "{s:s, s:I, s:I}", "status",
	    status_name(result->status), "settled",
	    (json_int_t)settled->pending, "era", (json_int_t)result->era);
	/* Of a store that was restored meanwhile, a list tells what it has. */
	if (result->era != settled->pending)
		return;
	if (result->status == STATUS_OK)
		settled->stored = settled->pending;
	if (result->status == STATUS_OK || result->status == STATUS_CONFLICT)
		settled->position =
		    (struct store_position){result->era, result->version};
}

/*
 * Writes the key if this node is the planner and the era that it has settled is
 * higher than the one in the key; era 0: it has settled none.
 */
void
settled_era_tick(struct settled_era *settled, bool is_planner, uint64_t era)
{
	int64_t now = loop_now(settled->loop);
	char text[64];

	if (!is_planner || settled->call_pending || now < settled->not_before ||
	    era <= settled->stored)
		return;
	settled->not_before = now + SETTLED_ERA_PAUSE_USEC;
	settled->pending = era;
	settled->call_pending = true;
	snprintf(text, sizeof(text), "{\"era\":%" G_GUINT64_FORMAT "}", era);
	settled->kv->vtable->put(settled->kv, lstr_from(SETTLED_ERA_KEY),
	    lstr_from(text), settled->position.revision, lstr_make("", 0),
	    now + SETTLED_ERA_CALL_USEC, on_written, settled);
}
