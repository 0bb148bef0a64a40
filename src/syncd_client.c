#include <string.h>

#include <glib.h>

#include "conf.h"
#include "syncd_client.h"
#include "log.h"

/* Minimum interval between two subscriptions on one link. */
#define SUBSCRIBE_INTERVAL_USEC (1 * LOOP_USEC_PER_SEC)

struct syncd_client {
	const struct link_context *context;
	const struct syncd_client_ops *ops;
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
 * the active revision.
 */
static void
subscribe(struct syncd_client *syncd_client)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Subscribe message = CH__SUBSCRIBE__INIT;

	loop_timer_clear(syncd_client->timer);
	syncd_client->subscribed_at = loop_now(syncd_client->context->loop);
	message.role = syncd_client->context->hello->role;
	message.revision = conf_pull_base_revision(syncd_client->conf);
	frame.kind_case = CH__FRAME__KIND_SUBSCRIBE;
	frame.subscribe = &message;
	peer_send(syncd_client->peer, &frame);
}

/*
 * Subscribes again after an update that could not be applied to the active
 * revision.
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
	struct syncd_client *syncd_client = arg;

	(void)peer;
	subscribe(syncd_client);
	if (syncd_client->ops->up != NULL)
		syncd_client->ops->up(syncd_client->arg);
}

/*
 * Handles the loss of the link to the syncd.
 */
static void
on_down(struct peer *peer, enum status status, void *arg)
{
	struct syncd_client *syncd_client = arg;

	(void)peer;
	(void)status;
	loop_timer_clear(syncd_client->timer);
	if (syncd_client->ops->down != NULL)
		syncd_client->ops->down(syncd_client->arg);
}

/*
 * Applies one frame of a configuration update.
 */
static void
apply_config(struct syncd_client *syncd_client, const Ch__ConfigUpdate *update)
{
	switch (conf_apply(syncd_client->conf, update)) {
	case CONF_APPLIED:
		log_event(EV_CONFIG_IN_FORCE, "revision=%llu change=%s",
		    (unsigned long long)conf_revision(syncd_client->conf),
		    conf_change_id(syncd_client->conf));
		if (syncd_client->ops->config != NULL)
			syncd_client->ops->config(
			    conf_inventory(syncd_client->conf),
			    syncd_client->arg);
		conf_drop_previous(syncd_client->conf);
		break;
	case CONF_PULL_NEEDED:
		log_event(EV_CONFIG_PULL, "have=%llu offered=%llu since=%llu",
		    (unsigned long long)conf_revision(syncd_client->conf),
		    (unsigned long long)update->revision,
		    (unsigned long long)update->since);
		if (!loop_timer_is_set(syncd_client->timer))
			loop_timer_set(syncd_client->timer,
			    syncd_client->subscribed_at +
				SUBSCRIBE_INTERVAL_USEC);
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
 * Applies a change of the membership view.
 */
static void
apply_view(struct syncd_client *syncd_client, const Ch__View *message)
{
	bool changed = false;

	if (view_apply(syncd_client->view, message, &changed) != STATUS_OK)
		log_event(EV_VIEW_INVALID, "reason=\"%s\"", status_message());
	if (changed && syncd_client->ops->view != NULL)
		syncd_client->ops->view(syncd_client->view, syncd_client->arg);
}

/*
 * Adds or removes one leaving instance; returns whether the set changed.
 * Instances beyond INV_INSTANCES_MAX are not added, which is logged once.
 */
static bool
apply_instance(struct syncd_client *syncd_client, const Ch__Instance *instance)
{
	if (!instance->leaving)
		return g_hash_table_remove(
		    syncd_client->leaving, instance->name);
	if (g_hash_table_contains(syncd_client->leaving, instance->name))
		return false;
	if (g_hash_table_size(syncd_client->leaving) >= INV_INSTANCES_MAX) {
		if (syncd_client->leaving_refused++ == 0)
			log_event(
			    EV_INSTANCES_FULL, "kept=%d", INV_INSTANCES_MAX);
		return false;
	}
	return g_hash_table_add(
	    syncd_client->leaving, g_strdup(instance->name));
}

/*
 * Removes the leaving instances that a whole message does not contain; returns
 * whether there were any.
 */
static bool
remove_missing(struct syncd_client *syncd_client, const Ch__Instances *message)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer name;
	bool changed = false;

	for (size_t i = 0; i < message->n_items; i++)
		g_hash_table_add(names, message->items[i]->name);
	g_hash_table_iter_init(&iter, syncd_client->leaving);
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
apply_instances(struct syncd_client *syncd_client, const Ch__Instances *message)
{
	bool changed = message->whole && remove_missing(syncd_client, message);

	for (size_t i = 0; i < message->n_items; i++) {
		if (apply_instance(syncd_client, message->items[i]))
			changed = true;
	}
	if (changed && syncd_client->ops->instances != NULL)
		syncd_client->ops->instances(syncd_client->arg);
}

/*
 * Handles a message from the syncd; messages that this module does not handle
 * go to the frame callback.
 */
static void
on_frame(struct peer *peer, const Ch__Frame *frame, void *arg)
{
	struct syncd_client *syncd_client = arg;

	(void)peer;
	switch (frame->kind_case) {
	case CH__FRAME__KIND_CONFIG_UPDATE:
		apply_config(syncd_client, frame->config_update);
		break;
	case CH__FRAME__KIND_VIEW:
		apply_view(syncd_client, frame->view);
		break;
	case CH__FRAME__KIND_INSTANCES:
		apply_instances(syncd_client, frame->instances);
		break;
	default:
		if (syncd_client->ops->frame != NULL)
			syncd_client->ops->frame(frame, syncd_client->arg);
		break;
	}
}

/*
 * Creates the connection to the syncd at "ip:port". The context and ops must
 * outlive it. Callbacks in ops may be NULL; they must not destroy the
 * connection.
 */
enum status
syncd_client_create(const struct link_context *context, const char *address,
    const struct syncd_client_ops *ops, void *arg, struct syncd_client **out)
{
	static const struct peer_ops callbacks = {
	    on_up, on_frame, on_down, NULL};
	struct syncd_client *syncd_client = g_new0(struct syncd_client, 1);
	enum status status;

	syncd_client->context = context;
	syncd_client->ops = ops;
	syncd_client->arg = arg;
	syncd_client->conf = conf_create();
	syncd_client->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	status = view_create(&syncd_client->view);
	if (status == STATUS_OK)
		status = loop_timer_create(context->loop, on_subscribe_timer,
		    syncd_client, &syncd_client->timer);
	if (status == STATUS_OK)
		status = peer_create(context, address, &callbacks, syncd_client,
		    &syncd_client->peer);
	if (status != STATUS_OK) {
		syncd_client_destroy(syncd_client);
		return status;
	}
	*out = syncd_client;
	return STATUS_OK;
}

/*
 * Closes the connection and frees the state that it holds; NULL is ignored.
 */
void
syncd_client_destroy(struct syncd_client *syncd_client)
{
	if (syncd_client == NULL)
		return;
	peer_destroy(syncd_client->peer);
	loop_timer_destroy(syncd_client->timer);
	conf_destroy(syncd_client->conf);
	view_destroy(syncd_client->view);
	g_hash_table_destroy(syncd_client->leaving);
	g_free(syncd_client);
}

/*
 * Returns whether the syncd is connected.
 */
bool
syncd_client_is_up(const struct syncd_client *syncd_client)
{
	return peer_is_up(syncd_client->peer);
}

/*
 * Sends a message to the syncd. STATUS_CLOSED: the syncd is not connected.
 */
enum status
syncd_client_send(struct syncd_client *syncd_client, const Ch__Frame *frame)
{
	return peer_send(syncd_client->peer, frame);
}

/*
 * Returns the active configuration, or NULL. It is valid until the next
 * config callback has returned.
 */
const struct inv *
syncd_client_inventory(const struct syncd_client *syncd_client)
{
	return conf_inventory(syncd_client->conf);
}

/*
 * Returns the membership view, which is empty until the first one arrives. It
 * is valid as long as the connection object; its members are valid until the
 * next change.
 */
const struct view *
syncd_client_view(const struct syncd_client *syncd_client)
{
	return syncd_client->view;
}

/*
 * Returns whether an instance is reported as leaving.
 */
bool
syncd_client_instance_leaving(
    const struct syncd_client *syncd_client, struct lstr name)
{
	char text[INV_NAME_MAX_BYTES + 1];

	if (name.len > INV_NAME_MAX_BYTES)
		return false;
	memcpy(text, name.data, name.len);
	text[name.len] = '\0';
	return g_hash_table_contains(syncd_client->leaving, text);
}

/*
 * Returns the state of the connection for the state dump, as a new reference.
 */
json_t *
syncd_client_dump(const struct syncd_client *syncd_client)
{
	return json_pack("{s:s,s:b,s:o,s:I,s:I,s:I}", "syncd",
	    peer_address(syncd_client->peer), "up",
	    peer_is_up(syncd_client->peer), "config",
	    conf_dump(syncd_client->conf), "members",
	    (json_int_t)view_count(syncd_client->view), "leaving_instances",
	    (json_int_t)g_hash_table_size(syncd_client->leaving),
	    "leaving_refused", (json_int_t)syncd_client->leaving_refused);
}
