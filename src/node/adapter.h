#ifndef CH_ADAPTER_H
#define CH_ADAPTER_H

#include <jansson.h>

#include "fleet.h"
#include "h1.h"
#include "kv.h"

/*
 * Interface to the platform on which a node runs. An adapter defines key names,
 * decodes the platform's formats and encodes its messages; it makes no
 * decisions.
 */

/* Longest request identifier that is accepted. */
#define ADAPTER_ID_MAX_BYTES 64

/* Most parts of a prompt that are read; further ones are ignored. */
#define ADAPTER_PARTS_MAX 64

/* Fields of a caller's request. Strings are borrowed from the connection. */
struct adapter_request {
	/* Identifier of this attempt; each retry by a client has its own. */
	struct lstr id;
	struct lstr host;
	/* API key; empty: none. */
	struct lstr key;
	/* Time that the caller waits for the response; 0: unknown. */
	int64_t caller_timeout_usec;
	/* Token counts of a generation; 0: not specified. */
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	/* The caller's estimate of the output, often inaccurate; 0: none. */
	uint32_t output_tokens_hint;
	/* Identifiers of the parts of the prompt that other requests may share,
	 * without the last part, which is the request's or its session's own.
	 */
	uint64_t parts[ADAPTER_PARTS_MAX];
	size_t part_count;
	/* A stream is to resume after this event; 0: from its start. */
	uint64_t last_event;
	/* The caller expects "100 Continue" before it sends the body. */
	bool expects_continue;
};

/* A stage of a path: a server and its range of layers, layer_to exclusive. */
struct adapter_stage {
	const char *address;
	uint32_t layer_from;
	uint32_t layer_to;
};

/* The fields that a node sets in a request that it forwards. */
struct adapter_forward {
	/* Identifier of the server, which it verifies. */
	const char *server_id;
	/* NULL: none. */
	const char *organisation;
	/* Remaining time that the caller waits. */
	int64_t caller_timeout_usec;
	/* 0 is the highest; negative: none. */
	int priority;
	const struct adapter_stage *stages;
	size_t stage_count;
	/* Replaces the value sent by the caller unless it is 0. */
	uint64_t last_event;
	/* Length of the body, which the caller sends. */
	size_t body_len;
};

/* What a backend server states about itself in the header of any response. */
struct adapter_notice {
	/* It is leaving and takes nothing new. */
	bool leaving;
	/* It refused the call and wants no other one for this time; 0: not
	 * specified. The value is not limited to a sensible one. */
	int64_t retry_after_usec;
};

/* The fields of the header of a backend server's response. */
struct adapter_response {
	unsigned int status;
	struct lstr id;
	/* The server guarantees that the request did not run and never will. */
	bool not_run;
	/* Server that caused the failure, "ip:port"; empty: not specified. */
	struct lstr fault_address;
	/* Time for which the server keeps an idle connection open; 0: not
	 * specified. */
	int64_t keep_alive_usec;
	/* The response has the stamp by which the server confirms that it
	 * produced it. */
	bool stamped;
	/* The body has a content encoding. */
	bool encoded;
	struct adapter_notice notice;
	/* The body is a series of events. */
	bool event_stream;
};

/* State that an engine reports of itself; about 100 ms old. */
struct adapter_report {
	/* Number of orders that the engine has accepted. */
	int64_t order_sequence;
	/* It is loading layers. */
	bool busy;
	/* See struct fleet_server. */
	int64_t born;
	uint32_t layer_from;
	uint32_t layer_to;
	/* Ratio of its times to those of its kind; more than 1 is slow. */
	double slowness;
	/* Addresses "ip:port" of servers that stall work of this engine; freed
	 * by the caller. */
	GPtrArray *stalled;
};

/* An order to hold a range of layers, layer_to exclusive. */
struct adapter_order {
	uint32_t layer_from;
	uint32_t layer_to;
	uint64_t fencing_token;
	/* Precondition: the order_sequence that the engine must report. */
	int64_t order_sequence;
};

/* An order to the first server of a running request to continue it along
 * another path, which must start with the same stage. */
struct adapter_reroute {
	const char *request_id;
	const struct adapter_stage *stages;
	size_t stage_count;
};

/* Response of a server to an order. */
enum adapter_order_outcome {
	/* Accepted, or already in effect. */
	ADAPTER_ORDER_ACCEPTED,
	/* The precondition on order_sequence failed. */
	ADAPTER_ORDER_STALE,
	/* The server has seen a higher fencing token. */
	ADAPTER_ORDER_FENCED,
	ADAPTER_ORDER_REFUSED
};

/* Parameters of a lookup request of a caller; NULL: not specified. */
struct adapter_lookup {
	/* Data centre. */
	char *place;
	char *region;
};

/* The response to a lookup request: node addresses "ip:port" and for how long
 * they are valid. */
struct adapter_addresses {
	GPtrArray *addresses;
	int64_t validity_usec;
};

struct adapter {
	const struct kv_protocol *store;
	/* Store key of the configuration, and key prefix of server entries. */
	const char *config_key;
	const char *servers_prefix;

	enum status (*decode_config)(struct lstr, struct fleet_config **);
	enum status (*decode_server)(
	    struct lstr id, struct lstr value, struct fleet_server *);
	enum status (*decode_report)(struct lstr, struct adapter_report *);

	void (*parse_caller_request)(
	    const struct h1_conn *, struct adapter_request *);
	void (*parse_response)(
	    const struct h1_conn *, struct adapter_response *);
	/* Encodes the request of a caller, without its body, as it is sent to a
	 * backend server. */
	enum status (*encode_forward)(const struct h1_conn *caller,
	    const struct adapter_forward *, struct lstr_buf *);
	/*
	 * Encodes the header of a response that is forwarded to a caller, whose
	 * connection is kept for keep_usec; see h1_encode_keep_alive().
	 */
	enum status (*encode_response)(const struct h1_conn *server,
	    bool chunked, int64_t keep_usec, struct lstr_buf *);
	/*
	 * Encodes a response that the node itself generates. retry_usec 0: no
	 * retry time is included.
	 */
	enum status (*encode_refusal)(unsigned int http_status, struct lstr id,
	    int64_t retry_usec, int64_t keep_usec, const char *reason,
	    struct lstr_buf *);
	enum status (*encode_report_request)(
	    const char *host, struct lstr_buf *);
	enum status (*encode_order)(const char *host, const char *server_id,
	    const struct adapter_order *, struct lstr_buf *);
	enum status (*encode_reroute)(const char *host, const char *server_id,
	    const struct adapter_reroute *, struct lstr_buf *);
	/* Returns the address, "ip:port", of the server because of which a
	 * reroute was refused; NULL: not specified. The caller frees it. */
	char *(*decode_refusing_server)(struct lstr);
	enum adapter_order_outcome (*order_outcome)(unsigned int http_status);

	bool (*is_ready_check)(struct lstr target);
	bool (*is_lookup)(struct lstr target, struct adapter_lookup *);
	char *(*encode_addresses)(const struct adapter_addresses *);
};

const struct adapter *platform_adapter(void);

#endif
