#include <string.h>

#include <glib.h>

#include "conf.h"
#include "local.h"
#include "log.h"

/* Minimum interval between two subscriptions on one link. */
#define SUBSCRIBE_INTERVAL_USEC (1 * LOOP_USEC_PER_SEC)

struct local {
	const struct link_context *context;
	const struct local_ops *ops;
	void *arg;
	struct peer *peer;
	struct conf *conf;
	struct view *view;
	GHashTable *leaving;
	struct loop_timer *timer;
	int64_t subscribed_at;
	uint64_t leaving_refused;
};

/*
 * Subscribes to the syncd and requests the configuration changes that follow
 * the revision in force.
 */
static void
subscribe(struct local *local)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Subscribe message = CH__SUBSCRIBE__INIT;

	loop_timer_clear(local->timer);
	local->subscribed_at = loop_now(local->context->loop);
	message.role = local->context->hello->role;
	message.revision = conf_pull_from(local->conf);
	frame.kind_case = CH__FRAME__KIND_SUBSCRIBE;
	frame.subscribe = &message;
	peer_send(local->peer, &frame);
}

/*
 * Subscribes again after an update that could not be applied to the revision in
 * force.
 */
static void
on_subscribe_timer(void *arg)
{
	subscribe(arg);
}

/*
 * Subscribes on a new link and calls the up callback.
 */
static void
on_up(struct peer *peer, void *arg)
{
	struct local *local = arg;

	(void)peer;
	subscribe(local);
	if (local->ops->up != NULL)
		local->ops->up(local->arg);
}

/*
 * Handles the loss of the link to the syncd.
 */
static void
on_down(struct peer *peer, enum status status, void *arg)
{
	struct local *local = arg;

	(void)peer;
	(void)status;
	loop_timer_clear(local->timer);
	if (local->ops->down != NULL)
		local->ops->down(local->arg);
}

/*
 * Applies one frame of a configuration update.
 */
static void
apply_config(struct local *local, const Ch__ConfigUpdate *update)
{
	switch (conf_apply(local->conf, update)) {
	case CONF_APPLIED:
		log_event(EV_CONFIG_IN_FORCE, "revision=%llu change=%s",
		    (unsigned long long)conf_revision(local->conf),
		    conf_change_id(local->conf));
		if (local->ops->config != NULL)
			local->ops->config(
			    conf_inventory(local->conf), local->arg);
		conf_drop_previous(local->conf);
		break;
	case CONF_PULL_NEEDED:
		log_event(EV_CONFIG_PULL, "have=%llu offered=%llu since=%llu",
		    (unsigned long long)conf_revision(local->conf),
		    (unsigned long long)update->revision,
		    (unsigned long long)update->since);
		if (!loop_timer_is_set(local->timer))
			loop_timer_set(local->timer,
			    local->subscribed_at + SUBSCRIBE_INTERVAL_USEC);
		break;
	case CONF_INVALID:
		log_event(EV_CONFIG_INVALID, "revision=%llu reason=\"%s\"",
		    (unsigned long long)update->revision, status_message());
		break;
	case CONF_MORE:
	case CONF_STALE:
		break;
	}
}

/*
 * Applies a change of the membership view.
 */
static void
apply_view(struct local *local, const Ch__View *message)
{
	bool changed = false;

	if (view_apply(local->view, message, &changed) != STATUS_OK)
		log_event(EV_VIEW_INVALID, "reason=\"%s\"", status_message());
	if (changed && local->ops->view != NULL)
		local->ops->view(local->view, local->arg);
}

/*
 * Adds or removes one leaving instance; returns whether the set changed.
 * Instances beyond INV_INSTANCES_MAX are not added, which is logged once.
 */
static bool
apply_instance(struct local *local, const Ch__Instance *instance)
{
	if (!instance->leaving)
		return g_hash_table_remove(local->leaving, instance->name);
	if (g_hash_table_contains(local->leaving, instance->name))
		return false;
	if (g_hash_table_size(local->leaving) >= INV_INSTANCES_MAX) {
		if (local->leaving_refused++ == 0)
			log_event(
			    EV_INSTANCES_FULL, "kept=%d", INV_INSTANCES_MAX);
		return false;
	}
	return g_hash_table_add(local->leaving, g_strdup(instance->name));
}

/*
 * Removes the leaving instances that a whole message does not contain; returns
 * whether there were any.
 */
static bool
remove_missing(struct local *local, const Ch__Instances *message)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer name;
	bool changed = false;

	for (size_t i = 0; i < message->n_items; i++)
		g_hash_table_add(names, message->items[i]->name);
	g_hash_table_iter_init(&iter, local->leaving);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (g_hash_table_contains(names, name))
			continue;
		g_hash_table_iter_remove(&iter);
		changed = true;
	}
	g_hash_table_destroy(names);
	return changed;
}

/*
 * Applies instance states received from the syncd.
 */
static void
apply_instances(struct local *local, const Ch__Instances *message)
{
	bool changed = message->whole && remove_missing(local, message);

	for (size_t i = 0; i < message->n_items; i++) {
		if (apply_instance(local, message->items[i]))
			changed = true;
	}
	if (changed && local->ops->instances != NULL)
		local->ops->instances(local->arg);
}

/*
 * Handles a message from the syncd; messages that this module does not handle
 * go to the frame callback.
 */
static void
on_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	struct local *local = arg;

	(void)peer;
	switch (frame->kind_case) {
	case CH__FRAME__KIND_CONFIG_UPDATE:
		apply_config(local, frame->config_update);
		break;
	case CH__FRAME__KIND_VIEW:
		apply_view(local, frame->view);
		break;
	case CH__FRAME__KIND_INSTANCES:
		apply_instances(local, frame->instances);
		break;
	default:
		if (local->ops->frame != NULL)
			local->ops->frame(frame, local->arg);
		break;
	}
}

/*
 * Creates the connection to the syncd at "ip:port". The context and ops must
 * outlive it. Callbacks in ops may be NULL; they must not destroy the
 * connection.
 */
enum status
local_create(const struct link_context *context, const char *address,
    const struct local_ops *ops, void *arg, struct local **out)
{
	static const struct peer_ops callbacks = {
	    on_up, on_frame, on_down, NULL};
	struct local *local = g_new0(struct local, 1);
	enum status status;

	local->context = context;
	local->ops = ops;
	local->arg = arg;
	local->conf = conf_create();
	local->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	status = view_create(&local->view);
	if (status == STATUS_OK)
		status = loop_timer_create(
		    context->loop, on_subscribe_timer, local, &local->timer);
	if (status == STATUS_OK)
		status = peer_create(
		    context, address, &callbacks, local, &local->peer);
	if (status != STATUS_OK) {
		local_destroy(local);
		return status;
	}
	*out = local;
	return STATUS_OK;
}

/*
 * Closes the connection and frees the state that it holds; NULL is ignored.
 */
void
local_destroy(struct local *local)
{
	if (local == NULL)
		return;
	peer_destroy(local->peer);
	loop_timer_destroy(local->timer);
	conf_destroy(local->conf);
	view_destroy(local->view);
	g_hash_table_destroy(local->leaving);
	g_free(local);
}

/*
 * Returns whether the syncd is connected.
 */
bool
local_is_up(const struct local *local)
{
	return peer_is_up(local->peer);
}

/*
 * Sends a message to the syncd. STATUS_CLOSED: the syncd is not connected.
 */
enum status
local_send(struct local *local, const Ch__Frame *frame)
{
	return peer_send(local->peer, frame);
}

/*
 * Returns the configuration in force, or NULL. It is valid until the next
 * config callback has returned.
 */
const struct inv *
local_inventory(const struct local *local)
{
	return conf_inventory(local->conf);
}

/*
 * Returns the membership view, which is empty until the first one arrives. It
 * is valid as long as the connection object; its members are valid until the
 * next change.
 */
const struct view *
local_view(const struct local *local)
{
	return local->view;
}

/*
 * Returns whether an instance is reported as leaving.
 */
bool
local_instance_leaving(const struct local *local, struct lstr name)
{
	char text[INV_NAME_MAX_BYTES + 1];

	if (name.len > INV_NAME_MAX_BYTES)
		return false;
	memcpy(text, name.data, name.len);
	text[name.len] = '\0';
	return g_hash_table_contains(local->leaving, text);
}

/*
 * Returns the state of the connection for the state dump, as a new reference.
 */
json_t *
local_dump(const struct local *local)
{
	return json_pack("{s:s,s:b,s:o,s:I,s:I,s:I}", "syncd",
	    peer_address(local->peer), "up", peer_is_up(local->peer), "config",
	    conf_dump(local->conf), "members",
	    (json_int_t)view_count(local->view), "leaving_instances",
	    (json_int_t)g_hash_table_size(local->leaving), "leaving_refused",
	    (json_int_t)local->leaving_refused);
}
