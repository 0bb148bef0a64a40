#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "entry_routers.h"
#include "metric.h"

#define ROUTERS_MAX 2048
/* A connection that no request uses is closed after this time. */
#define IDLE_TIMEOUT_USEC (60 * LOOP_USEC_PER_SEC)
/*
 * A router whose link was lost is avoided for this time. Other processes stop
 * choosing it when it is suspected, about 4 s after it died.
 */
#define AVOID_USEC (5 * LOOP_USEC_PER_SEC)

struct entry_router {
	struct entry_routers *routers;
	struct peer *peer;
	char *address;
	unsigned int request_count;
	int64_t idle_expires_at;
	int64_t avoid_until;
};

struct entry_routers {
	const struct link_context *context;
	const struct entry_routers_ops *ops;
	void *arg;
	/* struct entry_router by address. */
	GHashTable *table;
};

static struct metric routers_open = {"chestnuthoist_entry_routers", "",
    "Routers that this entry keeps a connection to.", METRIC_GAUGE, 0, NULL};
static struct metric routers_lost = {"chestnuthoist_entry_routers_lost_total",
    "", "Connections to routers that were lost or refused.", METRIC_COUNTER, 0,
    NULL};

/*
 * Reports that a link is established; the router is no longer avoided.
 */
static void
on_up(struct peer *peer, void *arg)
{
	struct entry_router *router = arg;

	(void)peer;
	router->avoid_until = 0;
	router->routers->ops->up(router, router->routers->arg);
}

/*
 * Passes a message from a router to the callback.
 */
static void
on_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	struct entry_router *router = arg;

	(void)peer;
	router->routers->ops->frame(router, frame, router->routers->arg);
}

/*
 * Reports that a router cannot be reached, and avoids it for AVOID_USEC.
 */
static void
handle_lost(struct entry_router *router)
{
	routers_lost.value++;
	router->avoid_until =
	    loop_now(router->routers->context->loop) + AVOID_USEC;
	router->routers->ops->lost(router, router->routers->arg);
}

/*
 * Handles the loss of an established link.
 */
static void
on_down(struct peer *peer, enum status status, void *arg)
{
	(void)peer;
	(void)status;
	handle_lost(arg);
}

/*
 * Handles a failed attempt to connect.
 */
static void
on_failed(struct peer *peer, unsigned int count, void *arg)
{
	(void)peer;
	(void)count;
	handle_lost(arg);
}

static const struct peer_ops peer_callbacks = {
    on_up, on_frame, on_down, on_failed};

/*
 * Closes the connection to a router and frees it.
 */
static void
router_free(void *arg)
{
	struct entry_router *router = arg;

	peer_destroy(router->peer);
	free(router->address);
	free(router);
	routers_open.value--;
}

/*
 * Creates an empty table of routers. The context and ops must outlive it.
 */
enum status
entry_routers_create(const struct link_context *context,
    const struct entry_routers_ops *ops, void *arg, struct entry_routers **out)
{
	struct entry_routers *routers = calloc(1, sizeof(*routers));

	if (routers == NULL)
		return status_set(STATUS_NO_MEMORY, "table of routers");
	routers->context = context;
	routers->ops = ops;
	routers->arg = arg;
	routers->table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, router_free);
	metric_register(&routers_open);
	metric_register(&routers_lost);
	*out = routers;
	return STATUS_OK;
}

/*
 * Closes all connections without invoking callbacks.
 */
void
entry_routers_destroy(struct entry_routers *routers)
{
	if (routers == NULL)
		return;
	g_hash_table_destroy(routers->table);
	free(routers);
}

/*
 * Adds a router and starts connecting to it.
 */
static enum status
add_router(struct entry_routers *routers, const char *address,
    struct entry_router **out)
{
	struct entry_router *router;
	enum status status;

	if (g_hash_table_size(routers->table) >= ROUTERS_MAX)
		return status_set(
		    STATUS_FULL, "%d routers are connected", ROUTERS_MAX);
	router = calloc(1, sizeof(*router));
	if (router == NULL)
		return status_set(STATUS_NO_MEMORY, "router");
	router->routers = routers;
	router->address = strdup(address);
	status = peer_create(
	    routers->context, address, &peer_callbacks, router, &router->peer);
	if (router->address == NULL || status != STATUS_OK) {
		peer_destroy(router->peer);
		free(router->address);
		free(router);
		return status != STATUS_OK
		    ? status
		    : status_set(STATUS_NO_MEMORY, "router");
	}
	routers_open.value++;
	g_hash_table_insert(routers->table, router->address, router);
	*out = router;
	return STATUS_OK;
}

/*
 * Returns the router at an address for one request, and connects to it if
 * needed. The caller must call entry_routers_release() afterwards.
 */
enum status
entry_routers_acquire(struct entry_routers *routers, const char *address,
    struct entry_router **out)
{
	struct entry_router *router =
	    g_hash_table_lookup(routers->table, address);
	enum status status = STATUS_OK;

	if (router == NULL)
		status = add_router(routers, address, &router);
	if (status != STATUS_OK)
		return status;
	assert(router != NULL);
	router->request_count++;
	*out = router;
	return STATUS_OK;
}

/*
 * Releases a router after a request; its connection stays open for
 * IDLE_TIMEOUT_USEC.
 */
void
entry_routers_release(struct entry_router *router)
{
	router->request_count--;
	router->idle_expires_at =
	    loop_now(router->routers->context->loop) + IDLE_TIMEOUT_USEC;
}

/*
 * Returns true if a link to the router is established.
 */
bool
entry_router_is_up(const struct entry_router *router)
{
	return peer_is_up(router->peer);
}

/*
 * Sends a message to a router. Returns STATUS_CLOSED if no link is established.
 */
enum status
entry_router_send(struct entry_router *router, const Ch__Frame *frame)
{
	return peer_send(router->peer, frame);
}

/*
 * Returns true if the router at an address is to be avoided at time now.
 */
bool
entry_routers_is_avoided(
    const struct entry_routers *routers, const char *address, int64_t now)
{
	const struct entry_router *router =
	    g_hash_table_lookup(routers->table, address);

	return router != NULL && now < router->avoid_until;
}

/*
 * Returns true if a router can be removed from the table.
 */
static gboolean
is_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct entry_router *router = value;
	int64_t now = *(const int64_t *)arg;

	(void)key;
	return router->request_count == 0 && now >= router->idle_expires_at &&
	    now >= router->avoid_until;
}

/*
 * Closes connections that no request has used for IDLE_TIMEOUT_USEC, and ends
 * the avoidance of routers after AVOID_USEC. Returns true if a router may be
 * used again. Must not be called from a callback of this module.
 */
bool
entry_routers_expire(struct entry_routers *routers, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool any_usable_again = false;

	g_hash_table_foreach_remove(routers->table, is_expired, &now);
	g_hash_table_iter_init(&iter, routers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_router *router = value;

		if (router->avoid_until != 0 && now >= router->avoid_until) {
			router->avoid_until = 0;
			any_usable_again = true;
		}
	}
	return any_usable_again;
}

/*
 * Returns the state of each connection as a new JSON reference.
 */
json_t *
entry_routers_dump(const struct entry_routers *routers)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, routers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_router *router = value;

		json_array_append_new(list,
		    json_pack("{s:s,s:b,s:i,s:I}", "address", router->address,
			"up", (int)entry_router_is_up(router), "requests",
			(int)router->request_count, "down_until",
			(json_int_t)router->avoid_until));
	}
	return list;
}
