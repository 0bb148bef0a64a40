/*
 * Fake of the platform's list of instances, which shows changes after a delay.
 */
#include <glib.h>

#include "fake_common.h"

/* A change of an instance that the list does not show yet. */
struct change {
	char *name;
	bool leaving;
	/* The instance is to be removed from the list. */
	bool removed;
	int64_t visible_at;
};

struct list {
	struct loop *loop;
	int64_t delay_usec;
	/* Maps an instance name to "live" or "leaving". */
	GHashTable *visible;
	GQueue changes;
	int64_t polls;
};

static struct setting settings[] = {FAKE_SETTINGS,
    {"lag-ms", SETTING_INT, "0", 0, 600000,
	"Time until a change is shown, in milliseconds", false, NULL, 0},
    {0}};

/*
 * Applies the changes that are due to the visible list.
 */
static void
apply_due_changes(struct list *list)
{
	int64_t now = loop_now(list->loop);
	struct change *change;

	while ((change = g_queue_peek_head(&list->changes)) != NULL &&
	    change->visible_at <= now) {
		g_queue_pop_head(&list->changes);
		if (change->removed)
			g_hash_table_remove(list->visible, change->name);
		else
			g_hash_table_insert(list->visible,
			    g_strdup(change->name),
			    change->leaving ? "leaving" : "live");
		g_free(change->name);
		g_free(change);
	}
}

/*
 * Responds with the currently visible list.
 */
static void
respond_list(struct list *list, struct httpd_request *request)
{
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer state;

	apply_due_changes(list);
	list->polls++;
	g_hash_table_iter_init(&iter, list->visible);
	while (g_hash_table_iter_next(&iter, &name, &state))
		json_array_append_new(items,
		    json_pack("{s:s, s:s}", "name", name, "state", state));
	fake_respond(request, 200, json_pack("{s:o}", "instances", items));
}

/*
 * Schedules a change of an instance to "live", "leaving" or "gone".
 */
static void
set_state(struct list *list, struct httpd_request *request)
{
	json_t *body = fake_body(request);
	const char *name = json_string_value(json_object_get(body, "name"));
	const char *state = json_string_value(json_object_get(body, "state"));
	struct change *change;

	if (name == NULL || state == NULL ||
	    (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0 &&
		strcmp(state, "gone") != 0)) {
		fake_respond_error(request, 400, "name and state are needed");
		json_decref(body);
		return;
	}
	change = g_new0(struct change, 1);
	change->name = g_strdup(name);
	change->leaving = strcmp(state, "leaving") == 0;
	change->removed = strcmp(state, "gone") == 0;
	change->visible_at = loop_now(list->loop) + list->delay_usec;
	g_queue_push_tail(&list->changes, change);
	json_decref(body);
	fake_respond(request, 200, json_object());
}

/*
 * Dispatches a request by its path.
 */
static void
on_request(struct httpd_request *request, void *arg)
{
	struct list *list = arg;
	struct lstr path = httpd_path(request);

	if (lstr_equal_c(path, "/v1/instances"))
		respond_list(list, request);
	else if (lstr_equal_c(path, "/v1/set"))
		set_state(list, request);
	else if (lstr_equal_c(path, "/v1/stats"))
		fake_respond(request, 200,
		    json_pack("{s:I}", "polls", (json_int_t)list->polls));
	else
		fake_respond_error(request, 404, "no such call");
}

int
main(int argc, char **argv)
{
	static const struct httpd_ops ops = {on_request, NULL};
	static struct list list;

	if (!fake_settings(settings, "Fake instance list", &argc, &argv))
		return EXIT_FAILURE;
	list.delay_usec =
	    settings_get(settings, "lag-ms")->number * LOOP_USEC_PER_MSEC;
	list.visible =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&list.changes);
	if (loop_create(&list.loop) != STATUS_OK)
		return EXIT_FAILURE;
	return fake_serve(list.loop, settings, &ops, &list);
}
