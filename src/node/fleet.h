#ifndef CH_FLEET_H
#define CH_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "lstr.h"

/*
 * Data model of the deployment: the active configuration and the backend
 * servers. An adapter decodes both from the platform's formats.
 */

/* Most layers of a model; bounded so that per-layer tables fit on the stack. */
#define FLEET_LAYERS_MAX 512
/* Most stages of one path that engines accept. */
#define FLEET_STAGES_MAX 32
/* Priority of a request whose organisation and route do not specify one. */
#define FLEET_PRIORITY_DEFAULT 5

/* Delivery semantics of the requests of a route. */
enum fleet_kind {
	/* May run more than once. */
	FLEET_IDEMPOTENT,
	/* Runs at most once. */
	FLEET_NON_IDEMPOTENT,
	/* Responds with a stream of events; runs at most once unless the stream
	 * can be resumed. */
	FLEET_STREAM
};

/* A share of a route's requests that goes to one service. */
struct fleet_split {
	char *service;
	int64_t weight;
};

struct fleet_route {
	char *name;
	char *host;
	char *prefix;
	enum fleet_kind kind;
	/* Time limit for the response, in microseconds; 0 for none. */
	int64_t timeout_usec;
	/* Latency objective; for streams, until the first event. */
	int64_t objective_usec;
	/* Declared longest gap between events of a stream; 0 if none. */
	int64_t gap_usec;
	/* 0 is the highest priority. */
	uint32_t priority;
	/* Most backend servers that one client attempt may be sent to. */
	uint32_t attempts_max;
	/* Requests need no API key. */
	bool anonymous;
	bool resumable;
	/* struct fleet_split, at least one. */
	GArray *splits;
};

/* A kind of accelerator. */
struct fleet_kind_info {
	char *name;
	int64_t memory_bytes;
	/* Multiplies the times of token steps and context. */
	double step_factor;
	/* Multiplies the times of prompt processing (prefill). */
	double prefill_factor;
};

/* One-way network delay between two data centres. */
struct fleet_delay {
	char *from;
	char *to;
	int64_t usec;
};

/* The cost model of the engines of one service. Times are those of a kind whose
 * factors are 1. */
struct fleet_engine {
	uint32_t layers;
	int64_t layer_bytes;
	/* Memory of one token in all layers. */
	int64_t token_bytes;
	/* Bytes sent from stage to stage for one token, and the rate of the
	 * link between two data centres, which all requests share. */
	int64_t activation_bytes;
	double link_bytes_per_usec;
	/* Most requests for which one server may be the first stage. */
	uint32_t batch_max;
	/* Token steps in one pass, which yields one event. */
	uint32_t stride;
	double step_usec;
	double step_per_request_usec;
	double step_per_context_token_usec;
	/* Prompt processing (prefill), per token and per pair of a token and an
	 * earlier one. */
	double prefill_per_token_usec;
	double prefill_per_pair_usec;
	uint32_t prefill_chunk_tokens;
	/* Time to load all layers. */
	int64_t load_usec;
	uint32_t loads_at_once;
	/* Mean token counts of a request. */
	uint32_t usual_prompt_tokens;
	uint32_t usual_output_tokens;
	GArray *kinds;
	GArray *delays;
};

struct fleet_service {
	char *name;
	char *health_path;
	uint32_t connections_max;
	/* NULL for a plain service. */
	struct fleet_engine *engine;
};

struct fleet_organisation {
	char *name;
	uint32_t priority;
	bool has_priority;
};

struct fleet_limits {
	size_t head_max_bytes;
	size_t body_max_bytes;
	int64_t head_timeout_usec;
	int64_t idle_timeout_usec;
};

struct fleet_config {
	/* Requests hold a reference to the configuration under which they were
	 * accepted. */
	int references;
	int64_t version;
	struct fleet_limits limits;
	/* GPtrArray of struct fleet_route by host, longest prefix first. */
	GHashTable *routes;
	/* struct fleet_service by name. */
	GHashTable *services;
	/* struct fleet_organisation by API key; owned by organisations. */
	GHashTable *keys;
	GPtrArray *organisations;
	/* Requests carry API keys. */
	bool keys_required;
};

enum fleet_state {
	FLEET_READY,
	FLEET_DRAINING
};

/* A backend server as described by its entry in the store. */
struct fleet_server {
	char *id;
	char *service;
	struct sockaddr_in address;
	/* "ip:port" as written in the entry. */
	char *address_text;
	char *zone;
	/* Name of the accelerator kind; NULL for plain services. */
	char *kind;
	enum fleet_state state;
	uint32_t slots;
	/* The layers that it holds, layer_to exclusive; equal if empty. */
	uint32_t layer_from;
	uint32_t layer_to;
	/* Wall-clock start time of the process in milliseconds; 0: unknown. */
	int64_t born;
};

struct fleet_config *fleet_config_new(void);
struct fleet_config *fleet_config_ref(struct fleet_config *);
void fleet_config_unref(struct fleet_config *);
struct fleet_route *fleet_route_new(void);
void fleet_route_free(struct fleet_route *);
struct fleet_service *fleet_service_new(void);
void fleet_service_free(struct fleet_service *);
struct fleet_organisation *fleet_organisation_new(const char *);
struct fleet_engine *fleet_engine_new(void);
void fleet_engine_free(struct fleet_engine *);
void fleet_config_add_route(struct fleet_config *, struct fleet_route *);
void fleet_config_sort_routes(struct fleet_config *);
const struct fleet_route *fleet_config_find_route(
    const struct fleet_config *, struct lstr host, struct lstr path);
const struct fleet_organisation *fleet_config_find_organisation(
    const struct fleet_config *, struct lstr key);
const struct fleet_service *fleet_config_find_service(
    const struct fleet_config *, const char *);
const struct fleet_kind_info *fleet_engine_kind(
    const struct fleet_engine *, const char *);
int64_t fleet_engine_delay(
    const struct fleet_engine *, const char *, const char *);
const char *fleet_route_pick_service(
    const struct fleet_route *, uint32_t random);
void fleet_server_clear(struct fleet_server *);

#endif
