/*
 * Stand-in for the platform's list of live and leaving instances. POST
 * /v1/set changes the truth; GET /v1/instances shows it after the lag.
 */
#include <glib.h>

#include "fake_common.h"

/* A change that is shown once its time has come. */
struct change {
	char *name;
	char *state;
	int64_t shown_at;
};

struct server {
	struct loop *loop;
	int64_t lag_usec;
	/* Name to state, as shown. */
	GHashTable *shown;
	GQueue *pending;
};

/*
 * Shows the changes whose lag is over.
 */
static void
show_due(struct server *server)
{
	struct change *change;

	while ((change = g_queue_peek_head(server->pending)) != NULL &&
	    change->shown_at <= loop_now(server->loop)) {
		g_queue_pop_head(server->pending);
		g_hash_table_replace(
		    server->shown, change->name, change->state);
		g_free(change);
	}
}

/*
 * Answers with the list as it is shown.
 */
static void
on_list(struct server *server, struct httpd_request *request)
{
	json_t *rows = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer state;

	show_due(server);
	g_hash_table_iter_init(&iter, server->shown);
	while (g_hash_table_iter_next(&iter, &name, &state))
		json_array_append_new(
		    rows, json_pack("{s:s,s:s}", "name", name, "state", state));
	fake_respond(request, 200, json_pack("{s:o}", "instances", rows));
}

/*
 * Takes a change of the truth.
 */
static void
on_set(struct server *server, struct httpd_request *request)
{
	json_t *body = fake_body(request);
	const char *name = json_string_value(json_object_get(body, "name"));
	const char *state = json_string_value(json_object_get(body, "state"));
	struct change *change;

	if (name == NULL || state == NULL) {
		json_decref(body);
		fake_refuse(request, 400, "name and state are needed");
		return;
	}
	change = g_new0(struct change, 1);
	change->name = g_strdup(name);
	change->state = g_strdup(state);
	change->shown_at = loop_now(server->loop) + server->lag_usec;
	g_queue_push_tail(server->pending, change);
	json_decref(body);
	fake_respond(request, 200, json_object());
}

/*
 * Serves the requests of the stand-in.
 */
static void
on_request(struct httpd_request *request, void *arg)
{
	struct server *server = arg;

	if (lstr_equal_c(httpd_path(request), "/v1/instances"))
		on_list(server, request);
	else if (lstr_equal_c(httpd_path(request), "/v1/set"))
		on_set(server, request);
	else
		fake_refuse(request, 404, "no such page");
}

/*
 * Runs the stand-in for the instance list.
 */
int
main(int argc, char **argv)
{
	static const struct httpd_ops ops = {on_request, NULL};
	struct setting *settings = (struct setting[]){FAKE_SETTINGS,
	    {"lag-ms", SETTING_INT, "1000", 0, 600000,
		"Time until a change is shown", false, NULL, 0},
	    {0}};
	struct server server = {.pending = g_queue_new()};

	if (!fake_settings(
		settings, "Stand-in for the instance list.", &argc, &argv))
		return EXIT_FAILURE;
	server.lag_usec =
	    settings_get(settings, "lag-ms")->number * LOOP_USEC_PER_MSEC;
	server.shown =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (loop_create(&server.loop) != STATUS_OK)
		return EXIT_FAILURE;
	return fake_serve(server.loop, settings, &ops, &server);
}
