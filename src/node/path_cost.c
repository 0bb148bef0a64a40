#include <string.h>

#include "path_priv.h"

/* The cost of a server increases above this fraction of its memory in use. */
#define PRESSURE_SHARE_MIN 0.5
/* Cost of a full server relative to an empty one. */
#define PRESSURE_FACTOR_MAX 4.0
/* Upper limit of the fraction of a server's time that prompt processing is
 * assumed to take, so that the cost of a busy server stays finite. */
#define PREFILL_SHARE_MAX 0.9

/*
 * Returns the memory for requests of a server that holds a number of layers, in
 * token-layers (tokens times layers); 0 if the layers themselves do not fit.
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
 * Returns the fraction of a server's time that prompt processing takes.
 */
static double
prefill_share(
    const struct fleet_engine *engine, const struct path_server *server)
{
	double held = server->layer_to - server->layer_from;
	double prefill = server->prefill_factor *
	    engine->prefill_per_token_usec * engine->usual_prompt_tokens *
	    held / engine->layers;
	double share = server->active * prefill / PATH_DURATION_USEC;

	return share < PREFILL_SHARE_MAX ? share : PREFILL_SHARE_MAX;
}

/*
 * Returns the time of one token step for all layers on a server, in
 * microseconds, with one more request whose context has that many tokens.
 * Requests that start at the same first-stage server are batched into one pass;
 * passes of different first-stage servers run one after another.
 */
double
path_step_usec(const struct path_search *search, uint32_t index, double context)
{
	const struct path_server *server = &search->servers[index];
	const struct fleet_engine *engine = search->engine;
	double held = server->layer_to - server->layer_from;
	double tokens = (double)server->used / held + context;
	double passes = 1 +
	    PATH_PASS_DELAY_SHARE *
		search->busy_first_servers[search->zone_of[index]];

	return server->slowness * server->step_factor *
	    (engine->step_usec * passes +
		engine->step_per_request_usec * (server->active + 1) +
		engine->step_per_context_token_usec * tokens) /
	    (1 - prefill_share(engine, server));
}

/*
 * Returns the factor by which memory use increases the cost of a server with
 * the request added, or a negative number if the request does not fit beside
 * the share that is reserved for others.
 */
double
path_memory_pressure(const struct path_server *server, int64_t tokens,
    uint32_t layers, double reserved_share)
{
	double limit = (double)server->memory * PATH_MEMORY_SHARE;
	double share = ((double)server->used + (double)tokens * layers) / limit;

	if (limit <= 0 || share > 1 - reserved_share)
		return -1;
	if (share <= PRESSURE_SHARE_MIN)
		return 1;
	share = (share - PRESSURE_SHARE_MIN) / (1 - PRESSURE_SHARE_MIN);
	return 1 + (PRESSURE_FACTOR_MAX - 1) * share * share;
}

/*
 * Computes the delay, in microseconds, that each request of a first-stage
 * server adds to a token step of the other requests there. The first-stage
 * server runs one pass at a time along complete paths, so the processing of
 * each prompt delays the steps of all its requests.
 */
double
path_prefill_delay_usec(const struct path_search *search)
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
		factor += server->prefill_factor * held;
		layers += held;
	}
	if (layers <= 0)
		return 0;
	return engine->prefill_per_token_usec * engine->usual_prompt_tokens *
	    (factor / layers) / engine->usual_output_tokens;
}

/*
 * Returns the cost per token, in microseconds, of crossing from one data centre
 * to another: the network delay, and the use of the shared link by the prompt
 * and output of the request.
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
 * Computes the expected times and the crossings of a path.
 */
void
path_estimate(const struct path_search *search, struct path *path)
{
	const struct fleet_engine *engine = search->engine;
	double prompt = search->demand->prompt_tokens;
	double prefill = engine->prefill_per_token_usec * prompt +
	    engine->prefill_per_pair_usec * prompt * prompt / 2;
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
		/* The request first waits for the running pass; its prompt
		 * is processed between the passes of others. */
		first += own * engine->stride +
		    server->slowness * server->prefill_factor * prefill * share;
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
