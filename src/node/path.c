#include <assert.h>
#include <string.h>

#include "path.h"

/* Beyond this share of its memory a server becomes ever dearer. */
#define CROWDED_SHARE 0.5
/* A server that is full costs this many times more than an empty one. */
#define CROWDED_FACTOR 4.0
/* Data centres that are told apart; further ones are searched together only
 * where paths may cross. */
#define ZONES_MAX 64
/* Cost of what cannot be reached. */
#define COST_NONE 1e300
/* Reading counts as no more than this share of a server's time, so that the
 * cost of a busy one stays finite. */
#define READING_SHARE_MAX 0.9
/* A first server may run as few layers as this; the rest of its layers can
 * run on faster servers. */
#define HEAD_LAYERS_MIN 1

/* The cheapest way to run the layers below a boundary. */
struct reach {
	double cost;
	uint32_t server;
	/* Index of the boundary at which the last stage begins. */
	uint32_t previous;
};

struct search {
	const struct fleet_engine *engine;
	const struct path_server *servers;
	size_t count;
	const struct path_demand *demand;
	/* The data centres, and that of each server. */
	const char *zones[ZONES_MAX];
	uint32_t zone_count;
	uint32_t *zone_of;
	/* First servers of each data centre that run passes now. */
	uint32_t heads[ZONES_MAX];
	/* Only servers of this data centre are used; ZONES_MAX: of all. */
	uint32_t within;
	uint32_t boundaries[FLEET_LAYERS_MAX + 1];
	uint32_t boundary_count;
	/* What each request of a first server adds to a token of the others. */
	double head_usec;
	struct reach reach[FLEET_LAYERS_MAX + 1];
};

/*
 * Returns the memory for requests of a server that holds a number of layers,
 * in tokens times layers; 0 when the layers themselves do not fit.
 */
int64_t
path_server_memory(const struct fleet_engine *engine,
    const struct fleet_kind_info *kind, uint32_t layers)
{
	int64_t left =
	    kind->memory_bytes - engine->layer_bytes * (int64_t)layers;
	double token_layer =
	    (double)engine->token_bytes / (double)engine->layers;

	if (left <= 0 || token_layer <= 0)
		return 0;
	return (int64_t)((double)left / token_layer);
}

/*
 * Returns the share of a server's time that reading prompts takes.
 */
static double
reading_share(
    const struct fleet_engine *engine, const struct path_server *server)
{
	double held = server->layer_to - server->layer_from;
	double read = server->read_factor * engine->read_per_token_usec *
	    engine->usual_prompt_tokens * held / engine->layers;
	double share = server->active * read / PATH_LIFE_USEC;

	return share < READING_SHARE_MAX ? share : READING_SHARE_MAX;
}

/*
 * Numbers the data centres of the servers and counts the first servers that
 * run passes in each. Servers of further data centres share the last number.
 */
static void
number_zones(struct search *search)
{
	for (size_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];
		uint32_t zone = 0;

		if (server->zone == NULL)
			continue;
		while (zone < search->zone_count &&
		    strcmp(search->zones[zone], server->zone) != 0)
			zone++;
		if (zone == search->zone_count && zone < ZONES_MAX - 1)
			search->zones[search->zone_count++] = server->zone;
		search->zone_of[i] = MIN(zone, ZONES_MAX - 1);
		search->heads[search->zone_of[i]] +=
		    server->first_active > 0 && server->usable;
	}
}

/*
 * Returns the time of one token step on a server for all layers, in
 * microseconds, with one more request of the given context. Requests of one
 * first server share a pass; passes of several follow one another.
 */
static double
step_usec(const struct search *search, uint32_t index, double context)
{
	const struct path_server *server = &search->servers[index];
	const struct fleet_engine *engine = search->engine;
	double held = server->layer_to - server->layer_from;
	double tokens = (double)server->used / held + context;
	double passes =
	    1 + PATH_PASS_SHARE * search->heads[search->zone_of[index]];

	return server->slowness * server->step_factor *
	    (engine->step_usec * passes +
		engine->step_per_request_usec * (server->active + 1) +
		engine->step_per_context_token_usec * tokens) /
	    (1 - reading_share(engine, server));
}

/*
 * Returns how many times dearer a server is because its memory fills up, or a
 * negative number when the request does not fit.
 */
static double
crowding(const struct path_server *server, int64_t tokens, uint32_t layers)
{
	double limit = (double)server->memory * PATH_MEMORY_SHARE;
	double share = ((double)server->used + (double)tokens * layers) / limit;

	if (limit <= 0 || share > 1)
		return -1;
	if (share <= CROWDED_SHARE)
		return 1;
	share = (share - CROWDED_SHARE) / (1 - CROWDED_SHARE);
	return 1 + (CROWDED_FACTOR - 1) * share * share;
}

/*
 * Tells whether the search may use a server.
 */
static bool
is_usable(const struct search *search, uint32_t index)
{
	const struct path_server *server = &search->servers[index];

	return server->usable && server->zone != NULL &&
	    server->layer_to > server->layer_from &&
	    server->layer_to <= search->engine->layers &&
	    (search->within == ZONES_MAX ||
		search->zone_of[index] == search->within);
}

/*
 * Adds a boundary unless it is there; boundaries stay in order.
 */
static void
add_boundary(struct search *search, uint32_t layer)
{
	uint32_t i = search->boundary_count;

	while (i > 0 && search->boundaries[i - 1] > layer)
		i--;
	if (i > 0 && search->boundaries[i - 1] == layer)
		return;
	memmove(&search->boundaries[i + 1], &search->boundaries[i],
	    (search->boundary_count - i) * sizeof(search->boundaries[0]));
	search->boundaries[i] = layer;
	search->boundary_count++;
}

/*
 * Collects the layers at which a path may change servers.
 */
static void
collect_boundaries(struct search *search)
{
	add_boundary(search, 0);
	if (search->engine->layers > HEAD_LAYERS_MIN)
		add_boundary(search, HEAD_LAYERS_MIN);
	add_boundary(search, search->engine->layers);
	for (uint32_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];

		if (!is_usable(search, i))
			continue;
		add_boundary(search, server->layer_from);
		add_boundary(search, server->layer_to);
	}
}

/*
 * Works out what each request of a first server adds to a token step of the
 * others there: the first server runs one pass at a time along whole paths, so
 * the reading of each prompt holds up the steps of all its requests.
 */
static double
head_usec(const struct search *search)
{
	const struct fleet_engine *engine = search->engine;
	double factor = 0;
	double layers = 0;

	if (engine->usual_output_tokens == 0)
		return 0;
	for (size_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];
		double held = server->layer_to - server->layer_from;

		if (!server->usable)
			continue;
		factor += server->read_factor * held;
		layers += held;
	}
	if (layers <= 0)
		return 0;
	return engine->read_per_token_usec * engine->usual_prompt_tokens *
	    (factor / layers) / engine->usual_output_tokens;
}

/*
 * Returns what crossing from one data centre to another costs each token: the
 * delay, and the request's share of the common link for its prompt and output.
 */
static double
crossing_usec(const struct search *search, const char *from, const char *to)
{
	const struct fleet_engine *engine = search->engine;
	double tokens = search->demand->prompt_tokens;
	double output = search->demand->output_tokens;
	double transfer;

	if (strcmp(from, to) == 0)
		return 0;
	transfer = engine->link_bytes_per_usec > 0
	    ? (double)engine->activation_bytes / engine->link_bytes_per_usec
	    : 0;
	if (output < 1)
		output = 1;
	return (double)fleet_engine_delay(engine, from, to) +
	    PATH_LINK_WEIGHT * transfer * (tokens + output) / output;
}

/*
 * Extends the path that ends at a boundary by one server.
 */
static void
extend(struct search *search, uint32_t at, uint32_t index)
{
	const struct path_server *server = &search->servers[index];
	const struct fleet_engine *engine = search->engine;
	uint32_t start = search->boundaries[at];
	int64_t tokens = (int64_t)search->demand->prompt_tokens +
	    search->demand->output_tokens;
	double step = step_usec(search, index, (double)tokens);
	double fixed = PATH_STAGE_USEC;

	if (at == 0) {
		if (server->first_active >= server->first_max)
			return;
		fixed +=
		    search->head_usec * server->slowness * server->first_active;
		if (strcmp(server->zone, search->demand->zone) != 0)
			fixed += PATH_AWAY_USEC;
	} else {
		const struct path_server *previous =
		    &search->servers[search->reach[at].server];

		fixed += crossing_usec(search, previous->zone, server->zone);
	}
	for (uint32_t to = at + 1; to < search->boundary_count &&
	     search->boundaries[to] <= server->layer_to;
	     to++) {
		uint32_t layers = search->boundaries[to] - start;
		double crowded = crowding(server, tokens, layers);
		double cost;

		if (crowded < 0)
			break;
		cost = search->reach[at].cost + fixed +
		    step * crowded * layers / engine->layers;
		if (cost < search->reach[to].cost)
			search->reach[to] = (struct reach){cost, index, at};
	}
}

/*
 * Joins the uses of a server that appears twice: it holds what lies between
 * as well, and a path may name a server only once.
 */
static void
join_repeated(struct path *path)
{
	for (uint32_t i = 0; i < path->count; i++) {
		for (uint32_t k = path->count - 1; k > i; k--) {
			if (path->stages[k].server != path->stages[i].server)
				continue;
			path->stages[i].layer_to = path->stages[k].layer_to;
			memmove(&path->stages[i + 1], &path->stages[k + 1],
			    (path->count - k - 1) * sizeof(path->stages[0]));
			path->count -= k - i;
			break;
		}
	}
}

/*
 * Works out the expected times of a path.
 */
static void
estimate(const struct search *search, struct path *path)
{
	const struct fleet_engine *engine = search->engine;
	double prompt = search->demand->prompt_tokens;
	double read = engine->read_per_token_usec * prompt +
	    engine->read_per_pair_usec * prompt * prompt / 2;
	double step = 0;
	double first = 0;

	path->crossings = 0;
	for (uint32_t i = 0; i < path->count; i++) {
		const struct path_stage *stage = &path->stages[i];
		const struct path_server *server =
		    &search->servers[stage->server];
		double share = (double)(stage->layer_to - stage->layer_from) /
		    engine->layers;
		double own = step_usec(search, stage->server, prompt) * share;

		step += own;
		/* It waits for the pass that runs, and reads between others. */
		first += own * engine->stride +
		    server->slowness * server->read_factor * read * share;
		if (i > 0) {
			const char *from =
			    search->servers[path->stages[i - 1].server].zone;
			double delay = (double)fleet_engine_delay(
			    engine, from, server->zone);

			path->crossings += strcmp(from, server->zone) != 0;

			step += delay;
			first += delay;
		}
	}
	path->event_usec = (int64_t)(step * engine->stride);
	path->first_usec = (int64_t)(first + step * engine->stride);
}

/*
 * Reads the path off the search.
 */
static enum status
collect_path(const struct search *search, struct path *path)
{
	uint32_t at = search->boundary_count - 1;
	uint32_t count = 0;

	for (uint32_t i = at; i > 0; i = search->reach[i].previous)
		count++;
	if (count > FLEET_STAGES_MAX)
		return status_set(STATUS_FULL, "no path of %d stages or fewer",
		    FLEET_STAGES_MAX);
	path->count = count;
	while (at > 0) {
		const struct reach *reach = &search->reach[at];

		path->stages[--count] = (struct path_stage){reach->server,
		    search->boundaries[reach->previous],
		    search->boundaries[at]};
		at = reach->previous;
	}
	join_repeated(path);
	return STATUS_OK;
}

/*
 * Extends the paths that end at a boundary by every server that may follow.
 * Returns false when no server holds the next layer.
 */
static bool
extend_all(struct search *search, uint32_t at)
{
	uint32_t start = search->boundaries[at];
	bool held = false;

	for (uint32_t i = 0; i < search->count; i++) {
		const struct path_server *server = &search->servers[i];

		if (!is_usable(search, i) || server->layer_from > start ||
		    server->layer_to <= start)
			continue;
		held = true;
		if (search->reach[at].cost < COST_NONE)
			extend(search, at, i);
	}
	return held;
}

/*
 * Searches within one data centre, or with ZONES_MAX in all of them. Returns
 * what path_find() does; the cost is only set for STATUS_OK.
 */
static enum status
search_within(
    struct search *search, uint32_t zone, struct path *path, double *cost)
{
	uint32_t last;
	bool covered = true;

	search->within = zone;
	search->boundary_count = 0;
	collect_boundaries(search);
	last = search->boundary_count - 1;
	for (uint32_t i = 0; i <= last; i++)
		search->reach[i].cost = i == 0 ? 0 : COST_NONE;
	for (uint32_t at = 0; at < last; at++)
		covered = extend_all(search, at) && covered;
	if (!covered)
		return STATUS_NOT_FOUND;
	if (search->reach[last].cost >= COST_NONE)
		return STATUS_FULL;
	*cost = search->reach[last].cost;
	return collect_path(search, path);
}

/*
 * Searches each data centre by itself and keeps the cheapest path.
 */
static enum status
search_each_zone(struct search *search, struct path *path)
{
	enum status status = STATUS_NOT_FOUND;
	double best = COST_NONE;

	for (uint32_t zone = 0; zone < search->zone_count; zone++) {
		struct path found = {.count = 0};
		double cost = COST_NONE;
		enum status outcome =
		    search_within(search, zone, &found, &cost);

		if (outcome == STATUS_FULL && status == STATUS_NOT_FOUND)
			status = STATUS_FULL;
		if (outcome == STATUS_OK && cost < best) {
			*path = found;
			best = cost;
			status = STATUS_OK;
		}
	}
	return status;
}

/*
 * Finds the cheapest path with memory for the request. STATUS_NOT_FOUND: some
 * layer is held by no usable server, or by none in a data centre that holds
 * the others. STATUS_FULL: all layers are held, but no path has room.
 */
enum status
path_find(const struct fleet_engine *engine, const struct path_server *servers,
    size_t count, const struct path_demand *demand, struct path *path)
{
	struct search search = {.engine = engine,
	    .servers = servers,
	    .count = count,
	    .demand = demand,
	    .zone_of = g_new0(uint32_t, count + 1)};
	enum status status;
	double cost;

	number_zones(&search);
	search.head_usec = head_usec(&search);
	status = demand->may_cross
	    ? search_within(&search, ZONES_MAX, path, &cost)
	    : search_each_zone(&search, path);
	if (status == STATUS_OK) {
		assert(path_is_complete(engine, path, servers, count));
		estimate(&search, path);
	} else {
		status_set(status, "%s",
		    status == STATUS_FULL ? "no path has room"
					  : "some layers are held nowhere");
	}
	g_free(search.zone_of);
	return status;
}

/*
 * Tells whether a path runs every layer once and in order, on servers that
 * hold them, none of which it names twice.
 */
bool
path_is_complete(const struct fleet_engine *engine, const struct path *path,
    const struct path_server *servers, size_t count)
{
	uint32_t at = 0;

	for (uint32_t i = 0; i < path->count; i++) {
		const struct path_stage *stage = &path->stages[i];

		if (stage->server >= count || stage->layer_from != at ||
		    stage->layer_to <= at ||
		    servers[stage->server].layer_from > at ||
		    servers[stage->server].layer_to < stage->layer_to)
			return false;
		for (uint32_t k = 0; k < i; k++) {
			if (path->stages[k].server == stage->server)
				return false;
		}
		at = stage->layer_to;
	}
	return at == engine->layers;
}
