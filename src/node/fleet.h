#ifndef CH_FLEET_H
#define CH_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "lstr.h"

/*
 * What a node believes of the deployment: the configuration in force and the
 * backend servers. An adapter decodes both from the platform's formats.
 */

/* Most layers of a model; keeps tables by layer on the stack. */
#define FLEET_LAYERS_MAX 512
/* Most stages of one path, as engines accept it. */
#define FLEET_STAGES_MAX 32
/* Priority of a request whose organisation and route name none. */
#define FLEET_PRIORITY_DEFAULT 5

enum fleet_kind {
	/* May run more than once. */
	FLEET_IDEMPOTENT,
	/* Runs at most once. */
	FLEET_ORDER,
	/* A sequence of events; at most once unless it may be resumed. */
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
	/* Longest time until the answer, in microseconds; 0 for none. */
	int64_t timeout_usec;
	/* Latency objective, to the first event for streams. */
	int64_t objective_usec;
	/* Longest pause between events of a stream; 0 if none is declared. */
	int64_t gap_usec;
	/* 0 is first. */
	uint32_t priority;
	/* Backend servers that one attempt of a client may be sent to. */
	uint32_t attempts_max;
	/* Requests need no key. */
	bool anonymous;
	bool resumable;
	/* At least one. */
	GArray *splits;
};

/* A kind of accelerator. */
struct fleet_kind_info {
	char *name;
	int64_t memory_bytes;
	/* Multiplies the times of token steps and context. */
	double step_factor;
	/* Multiplies the times of reading prompts. */
	double read_factor;
};

struct fleet_delay {
	char *from;
	char *to;
	int64_t usec;
};

/* The cost model of the engines of one service; times at factor 1. */
struct fleet_engine {
	uint32_t layers;
	int64_t layer_bytes;
	/* Memory of one token over all layers. */
	int64_t token_bytes;
	/* What one token sends from stage to stage, and how fast the link
	 * between two data centres carries it; all requests share that link. */
	int64_t activation_bytes;
	double link_bytes_per_usec;
	/* Requests that one server takes as the first of a path. */
	uint32_t batch_max;
	/* Token steps in one pass, which is one event. */
	uint32_t stride;
	double step_usec;
	double step_per_request_usec;
	double step_per_context_token_usec;
	double read_per_token_usec;
	/* For each pair of a token and an earlier one. */
	double read_per_pair_usec;
	uint32_t read_chunk_tokens;
	/* Loading of all layers. */
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
	/* Requests keep the configuration under which they were taken. */
	int references;
	int64_t version;
	struct fleet_limits limits;
	/* By host: GPtrArray of struct fleet_route, longest prefix first. */
	GHashTable *routes;
	/* By name: struct fleet_service. */
	GHashTable *services;
	/* By key: struct fleet_organisation, which organisations owns. */
	GHashTable *keys;
	GPtrArray *organisations;
	/* False: requests carry no keys. */
	bool keyed;
};

enum fleet_state {
	FLEET_READY,
	FLEET_DRAINING
};

/* What a backend server says of itself. */
struct fleet_server {
	char *id;
	char *service;
	struct sockaddr_in address;
	/* "ip:port" as it was written. */
	char *address_text;
	char *zone;
	/* Name of the accelerator kind; NULL for plain services. */
	char *kind;
	enum fleet_state state;
	uint32_t slots;
	/* The layers that it holds, to exclusive; equal when it is empty. */
	uint32_t layer_from;
	uint32_t layer_to;
	/* Start of the process, milliseconds of the wall clock; 0: unknown. */
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
void fleet_config_sort(struct fleet_config *);
const struct fleet_route *fleet_config_route(
    const struct fleet_config *, struct lstr host, struct lstr path);
const struct fleet_organisation *fleet_config_organisation(
    const struct fleet_config *, struct lstr key);
const struct fleet_service *fleet_config_service(
    const struct fleet_config *, const char *);
const struct fleet_kind_info *fleet_engine_kind(
    const struct fleet_engine *, const char *);
int64_t fleet_engine_delay(
    const struct fleet_engine *, const char *, const char *);
const char *fleet_route_pick(const struct fleet_route *, uint32_t random);
void fleet_server_clear(struct fleet_server *);

#endif
