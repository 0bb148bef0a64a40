#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "node/node.h"
#include "proc.h"

#define SETTINGS_VARIABLE "CHESTNUTHOIST_NODE_FILE"
#define SETTINGS_DEFAULT "/etc/chestnuthoist/node.json"

/*
 * Runs a node, or only checks its settings file. Returns the exit code of the
 * process.
 */
static int
run(const char *path, gint metrics_port, gboolean check)
{
	struct node_options options = {path, (uint16_t)metrics_port};
	struct node_settings settings;
	struct node *node = NULL;
	enum status status = node_settings_read(path, &settings);

	if (status != STATUS_OK) {
		fprintf(stderr, "chestnuthoist-node: %s\n", status_message());
		return PROC_EXIT_SETTINGS;
	}
	if (check) {
		node_settings_clear(&settings);
		return PROC_EXIT_OK;
	}
	status = node_create(&options, platform_adapter(), &settings, &node);
	if (status != STATUS_OK) {
		fprintf(stderr, "chestnuthoist-node: %s\n", status_message());
		return PROC_EXIT_FAILED;
	}
	node_run(node);
	node_destroy(node);
	return PROC_EXIT_OK;
}

/*
 * Parses the command line.
 */
int
main(int argc, char **argv)
{
	const char *variable = g_getenv(SETTINGS_VARIABLE);
	gchar *path = NULL;
	gint metrics_port = 0;
	gboolean check = FALSE;
	gboolean version = FALSE;
	const GOptionEntry entries[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		"Settings file; default: the path in $" SETTINGS_VARIABLE
		", else " SETTINGS_DEFAULT,
		"PATH"},
	    {"metrics-port", 'm', 0, G_OPTION_ARG_INT, &metrics_port,
		"TCP port for metrics; default: metrics are not served",
		"PORT"},
	    {"check", 'c', 0, G_OPTION_ARG_NONE, &check,
		"Check the settings and exit", NULL},
	    {"version", 'v', 0, G_OPTION_ARG_NONE, &version,
		"Print the version and exit", NULL},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
	GOptionContext *context =
	    g_option_context_new("- runs a node on the platform");
	GError *error = NULL;
	gboolean parsed;
	int code;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!parsed || argc > 1 || metrics_port < 0 ||
	    metrics_port > UINT16_MAX) {
		fprintf(stderr, "chestnuthoist-node: %s\n",
		    error ? error->message : "see --help for the arguments");
		g_clear_error(&error);
		g_free(path);
		return PROC_EXIT_SETTINGS;
	}
	if (version) {
		printf("chestnuthoist-node %s\n", CH_VERSION);
		g_free(path);
		return PROC_EXIT_OK;
	}
	if (path == NULL)
		path = g_strdup(variable ? variable : SETTINGS_DEFAULT);
	code = run(path, metrics_port, check);
	g_free(path);
	return code;
}
