#include <string.h>

#include "path_priv.h"

/* Beyond this share of its memory a server becomes ever dearer. */
#define CROWDED_SHARE 0.5
/* A server that is full costs this many times more than an empty one. */
#define CROWDED_FACTOR 4.0
/* Reading counts as no more than this share of a server's time, so that the
 * cost of a busy one stays finite. */
#define READING_SHARE_MAX 0.9
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
 * Returns the time of one token step on a server for all layers, in
 * microseconds, with one more request of the given context. Requests of one
 * first server share a pass; passes of several follow one another.
 */
double
path_step_usec(const struct path_search *search, uint32_t index, double context)
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
double
path_crowding(const struct path_server *server, int64_t tokens, uint32_t layers)
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
 * Works out what each request of a first server adds to a token step of the
 * others there: the first server runs one pass at a time along whole paths, so
 * the reading of each prompt holds up the steps of all its requests.
 */
double
path_head_usec(const struct path_search *search)
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
double
path_crossing_usec(
    const struct path_search *search, const char *from, const char *to)
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
 * Works out the expected times of a path.
 */
void
path_estimate(const struct path_search *search, struct path *path)
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
		double own =
		    path_step_usec(search, stage->server, prompt) * share;

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
