#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fuzz.h"
#include "layout.h"
#include "platform.h"
#include "pool.h"

#define NOW_USEC ((int64_t)1800000000 * 1000000)
#define SOUND_SERVERS 3
#define SERVERS_MAX 8

static const char config_text[] =
    "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"writer\","
    "\"engine\":{\"slots\":8,\"kvTokenBytes\":80000,\"layers\":8,"
    "\"layerMb\":100,\"kinds\":[{\"name\":\"card\",\"sizeMb\":900}]}}]}";

/*
 * Returns the engine that all servers belong to; built on the first call.
 */
static const struct fleet_engine *
fixed_engine(void)
{
	static struct fleet_config *config;

	if (config == NULL &&
	    platform_decode_config(lstr_from(config_text), &config) !=
		STATUS_OK)
		abort();
	return fleet_config_find_service(config, "writer")->engine;
}

/*
 * Decodes an entry and adds its server to the pool, as a node does. Returns
 * false if the entry names no usable server.
 */
static bool
put_entry(struct pool *pool, const char *id, struct lstr value)
{
	struct fleet_server info;
	bool is_new;

	if (platform_decode_server(lstr_from(id), value, &info) != STATUS_OK)
		return false;
	pool_put(pool, &info, NOW_USEC, &is_new);
	return true;
}

/*
 * Adds servers that hold the whole model each.
 */
static void
put_sound_servers(struct pool *pool)
{
	for (int i = 0; i < SOUND_SERVERS; i++) {
		char id[8];
		char text[256];

		snprintf(id, sizeof(id), "s%d", i);
		snprintf(text, sizeof(text),
		    "{\"service\":\"writer\",\"address\":\"10.0.0.%d:80\","
		    "\"zone\":\"here\",\"kind\":\"card\",\"slots\":8,"
		    "\"version\":\"v1\",\"coldRemainingMs\":0,\"sequence\":1,"
		    "\"state\":\"ready\",\"born\":1700000000000,"
		    "\"layers\":[{\"source\":0,\"target\":8,\"version\":1}]}",
		    i + 1);
		if (!put_entry(pool, id, lstr_from(text)))
			abort();
	}
}

/*
 * Plans the layers of all servers.
 */
static void
plan(GPtrArray *servers, const struct fleet_engine *engine)
{
	struct layout_server rows[SERVERS_MAX] = {0};
	size_t count = 0;

	for (guint i = 0; i < servers->len; i++) {
		const struct pool_server *server =
		    g_ptr_array_index(servers, i);
		const struct fleet_kind_info *kind =
		    fleet_engine_kind(engine, server->info.kind);

		if (kind != NULL && !server->superseded)
			rows[count++] = (struct layout_server){server->info.id,
			    server->info.zone, kind, server->info.layer_from,
			    server->info.layer_to, true, false};
	}
	layout_plan(engine, rows, count);
}

/*
 * Finds a path through the servers. Returns whether there is one.
 */
static bool
find_path(GPtrArray *servers, const struct fleet_engine *engine)
{
	struct path_server rows[SERVERS_MAX];
	struct path_demand demand = {40, 80, "here", true};
	struct path path = {.count = 0};
	size_t count =
	    pool_path_table(servers, engine, NOW_USEC, rows, SERVERS_MAX);

	return path_find(engine, rows, count, &demand, &path) == STATUS_OK;
}

/*
 * Takes the input as the value of one entry among those of sound servers, as a
 * report and as a configuration. Guards against an entry of another writer that
 * ends the node or hides the other servers.
 */
int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct fleet_engine *engine = fixed_engine();
	struct lstr value = lstr_make((const char *)data, size);
	struct pool *pool = pool_new();
	struct fleet_config *config = NULL;
	struct adapter_report report;
	GPtrArray *servers;

	put_sound_servers(pool);
	put_entry(pool, "odd", value);
	servers = pool_service_servers(pool, "writer");
	if (servers->len < SOUND_SERVERS)
		abort();
	if (!find_path(servers, engine))
		abort();
	pool_pick_plain(servers, "here", NULL, NOW_USEC, 0);
	plan(servers, engine);
	g_ptr_array_free(servers, TRUE);
	pool_free(pool);
	if (platform_decode_report(value, &report) == STATUS_OK)
		g_ptr_array_free(report.stalled, TRUE);
	if (platform_decode_config(value, &config) == STATUS_OK)
		fleet_config_unref(config);
	return 0;
}
