#include <string.h>

#include "fleet.h"

/*
 * Frees the members of a split; element destructor of its array.
 */
static void
split_clear(void *data)
{
	struct fleet_split *split = data;

	g_free(split->service);
}

/*
 * Frees the members of an accelerator kind; element destructor of its array.
 */
static void
kind_clear(void *data)
{
	struct fleet_kind_info *kind = data;

	g_free(kind->name);
}

/*
 * Frees the members of a delay; element destructor of its array.
 */
static void
delay_clear(void *data)
{
	struct fleet_delay *delay = data;

	g_free(delay->from);
	g_free(delay->to);
}

/*
 * Creates a route with defaults.
 */
struct fleet_route *
fleet_route_new(void)
{
	struct fleet_route *route = g_new0(struct fleet_route, 1);

	route->attempts_max = 1;
	route->priority = FLEET_PRIORITY_DEFAULT;
	route->splits = g_array_new(FALSE, TRUE, sizeof(struct fleet_split));
	g_array_set_clear_func(route->splits, split_clear);
	return route;
}

/*
 * Frees a route; NULL is allowed.
 */
void
fleet_route_free(struct fleet_route *route)
{
	if (route == NULL)
		return;
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_free(route->splits, TRUE);
	g_free(route);
}

/*
 * Creates a service without an engine.
 */
struct fleet_service *
fleet_service_new(void)
{
	return g_new0(struct fleet_service, 1);
}

/*
 * Creates the cost model of an engine with all values zero.
 */
struct fleet_engine *
fleet_engine_new(void)
{
	struct fleet_engine *engine = g_new0(struct fleet_engine, 1);

	engine->kinds =
	    g_array_new(FALSE, TRUE, sizeof(struct fleet_kind_info));
	g_array_set_clear_func(engine->kinds, kind_clear);
	engine->delays = g_array_new(FALSE, TRUE, sizeof(struct fleet_delay));
	g_array_set_clear_func(engine->delays, delay_clear);
	return engine;
}

/*
 * Frees the cost model of an engine; NULL is allowed.
 */
void
fleet_engine_free(struct fleet_engine *engine)
{
	if (engine == NULL)
		return;
	g_array_free(engine->kinds, TRUE);
	g_array_free(engine->delays, TRUE);
	g_free(engine);
}

/*
 * Frees a service; NULL is allowed.
 */
void
fleet_service_free(struct fleet_service *service)
{
	if (service == NULL)
		return;
	g_free(service->name);
	g_free(service->health_path);
	fleet_engine_free(service->engine);
	g_free(service);
}

/*
 * Creates an organisation.
 */
struct fleet_organisation *
fleet_organisation_new(const char *name)
{
	struct fleet_organisation *org = g_new0(struct fleet_organisation, 1);

	org->name = g_strdup(name);
	return org;
}

/*
 * Frees an organisation; element destructor of its array.
 */
static void
organisation_free(void *data)
{
	struct fleet_organisation *org = data;

	g_free(org->name);
	g_free(org);
}

/*
 * Frees the routes of a host; value destructor of the route table.
 */
static void
host_free(void *data)
{
	g_ptr_array_free(data, TRUE);
}

/*
 * Creates an empty configuration with one reference.
 */
struct fleet_config *
fleet_config_new(void)
{
	struct fleet_config *config = g_new0(struct fleet_config, 1);

	config->references = 1;
	config->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, host_free);
	config->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)fleet_service_free);
	config->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config->organisations =
	    g_ptr_array_new_with_free_func(organisation_free);
	return config;
}

/*
 * Adds a reference and returns the configuration.
 */
struct fleet_config *
fleet_config_ref(struct fleet_config *config)
{
	config->references++;
	return config;
}

/*
 * Drops a reference; the last one frees the configuration. NULL is allowed.
 */
void
fleet_config_unref(struct fleet_config *config)
{
	if (config == NULL || --config->references > 0)
		return;
	g_hash_table_destroy(config->routes);
	g_hash_table_destroy(config->services);
	g_hash_table_destroy(config->keys);
	g_ptr_array_free(config->organisations, TRUE);
	g_free(config);
}

/*
 * Adds a route and takes ownership of it.
 */
void
fleet_config_add_route(struct fleet_config *config, struct fleet_route *route)
{
	char *host = g_ascii_strdown(route->host, -1);
	GPtrArray *list = g_hash_table_lookup(config->routes, host);

	if (list == NULL) {
		list = g_ptr_array_new_with_free_func(
		    (GDestroyNotify)fleet_route_free);
		g_hash_table_insert(config->routes, host, list);
	} else {
		g_free(host);
	}
	g_ptr_array_add(list, route);
}

/*
 * Compares routes by the length of their prefix, longest first.
 */
static gint
compare_prefix(gconstpointer a, gconstpointer b)
{
	const struct fleet_route *x = *(const struct fleet_route *const *)a;
	const struct fleet_route *y = *(const struct fleet_route *const *)b;
	size_t x_len = strlen(x->prefix);
	size_t y_len = strlen(y->prefix);

	return x_len > y_len ? -1 : x_len < y_len;
}

/*
 * Sorts the routes for matching; must be called after all have been added.
 */
void
fleet_config_sort_routes(struct fleet_config *config)
{
	GHashTableIter iter;
	gpointer list;

	g_hash_table_iter_init(&iter, config->routes);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, compare_prefix);
}

/*
 * Returns the route of a request: the one of its host with the longest prefix
 * of the path. The host may include a port. NULL: no route matches.
 */
const struct fleet_route *
fleet_config_find_route(
    const struct fleet_config *config, struct lstr host, struct lstr path)
{
	const char *colon = memchr(host.data, ':', host.len);
	size_t len = colon ? (size_t)(colon - host.data) : host.len;
	char *name = g_ascii_strdown(host.data, (gssize)len);
	const GPtrArray *list = g_hash_table_lookup(config->routes, name);
	const char *query = memchr(path.data, '?', path.len);

	g_free(name);
	if (list == NULL)
		return NULL;
	if (query != NULL)
		path.len = (size_t)(query - path.data);
	for (guint i = 0; i < list->len; i++) {
		const struct fleet_route *route = g_ptr_array_index(list, i);

		if (lstr_starts_with(path, route->prefix))
			return route;
	}
	return NULL;
}

/*
 * Returns the organisation that owns an API key, or NULL if the key is unknown.
 */
const struct fleet_organisation *
fleet_config_find_organisation(
    const struct fleet_config *config, struct lstr key)
{
	char *text = g_strndup(key.data, key.len);
	const struct fleet_organisation *org =
	    g_hash_table_lookup(config->keys, text);

	g_free(text);
	return org;
}

/*
 * Returns the service with a name, or NULL if there is none.
 */
const struct fleet_service *
fleet_config_find_service(const struct fleet_config *config, const char *name)
{
	return g_hash_table_lookup(config->services, name);
}

/*
 * Returns the accelerator kind with a name, or NULL if it is unknown.
 */
const struct fleet_kind_info *
fleet_engine_kind(const struct fleet_engine *engine, const char *name)
{
	if (name == NULL)
		return NULL;
	for (guint i = 0; i < engine->kinds->len; i++) {
		const struct fleet_kind_info *kind =
		    &g_array_index(engine->kinds, struct fleet_kind_info, i);

		if (strcmp(kind->name, name) == 0)
			return kind;
	}
	return NULL;
}

/*
 * Returns the one-way delay between two data centres in microseconds; 0 if none
 * is configured, as within one data centre.
 */
int64_t
fleet_engine_delay(
    const struct fleet_engine *engine, const char *a, const char *b)
{
	for (guint i = 0; i < engine->delays->len; i++) {
		const struct fleet_delay *delay =
		    &g_array_index(engine->delays, struct fleet_delay, i);

		if ((strcmp(delay->from, a) == 0 &&
			strcmp(delay->to, b) == 0) ||
		    (strcmp(delay->from, b) == 0 && strcmp(delay->to, a) == 0))
			return delay->usec;
	}
	return 0;
}

/*
 * Picks the service of a request at random by the weights of the route's
 * splits.
 */
const char *
fleet_route_pick_service(const struct fleet_route *route, uint32_t random)
{
	int64_t total = 0;
	int64_t at;

	for (guint i = 0; i < route->splits->len; i++)
		total +=
		    g_array_index(route->splits, struct fleet_split, i).weight;
	if (total <= 0)
		return g_array_index(route->splits, struct fleet_split, 0)
		    .service;
	at = random % total;
	for (guint i = 0; i < route->splits->len; i++) {
		const struct fleet_split *split =
		    &g_array_index(route->splits, struct fleet_split, i);

		at -= split->weight;
		if (at < 0)
			return split->service;
	}
	return NULL;
}

/*
 * Frees the members of a server's description and clears it.
 */
void
fleet_server_clear(struct fleet_server *server)
{
	g_free(server->id);
	g_free(server->service);
	g_free(server->address_text);
	g_free(server->zone);
	g_free(server->kind);
	memset(server, 0, sizeof(*server));
}
