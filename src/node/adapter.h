#ifndef CH_ADAPTER_H
#define CH_ADAPTER_H

#include <jansson.h>

#include "fleet.h"
#include "h1.h"
#include "kv.h"

/*
 * What a node needs of the platform on which it runs: names, formats and the
 * wording of calls. An adapter decides nothing.
 */

/* Largest request identifier that is taken. */
#define ADAPTER_ID_MAX_BYTES 64

/* A caller's request. Strings are borrowed from the connection. */
struct adapter_request {
	/* Of this attempt; each retry of a client has its own. */
	struct lstr id;
	struct lstr host;
	/* Empty: the request carries no key. */
	struct lstr key;
	/* How long the caller waits; 0: unknown. */
	int64_t patience_usec;
	/* Sizes of a generation; 0: none are stated. */
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	/* The caller's estimate, often far off; 0: none. */
	uint32_t output_tokens_hint;
	/* A stream goes on behind this event; 0: from its start. */
	uint64_t last_event;
	bool expects_continue;
};

/* A stage of a path: a server and the layers that it runs, to exclusive. */
struct adapter_stage {
	const char *address;
	uint32_t layer_from;
	uint32_t layer_to;
};

/* What a node adds to a request that it forwards. */
struct adapter_forward {
	/* Host of the server, "ip:port". */
	const char *server_id;
	const char *organisation;
	int64_t patience_usec;
	/* 0 is first; negative: none. */
	int priority;
	const struct adapter_stage *stages;
	size_t stage_count;
	/* Replaces that of the caller when it is not 0. */
	uint64_t last_event;
	struct lstr body;
};

/* The head of a backend server's answer. */
struct adapter_answer {
	unsigned int status;
	struct lstr id;
	/* The server states that the request did not run and never will. */
	bool not_run;
	/* The server at fault, "ip:port"; empty: none is named. */
	struct lstr fault_address;
	/* How long the server keeps the idle connection; 0: not stated. */
	int64_t keep_usec;
	/* The server vouches for the answer. */
	bool stamped;
	bool encoded;
};

/* What an engine reports of itself, some 100 ms old. */
struct adapter_report {
	int64_t order_sequence;
	bool busy;
	int64_t born;
	uint32_t layer_from;
	uint32_t layer_to;
	/* Its own times over those of its kind: more than 1 is slow. */
	double slowness;
	/* "ip:port" of servers whose work stalls here; freed by the caller. */
	GPtrArray *stalled;
};

/* An order to hold a range of layers, to exclusive. */
struct adapter_order {
	uint32_t layer_from;
	uint32_t layer_to;
	uint64_t fencing_token;
	int64_t order_sequence;
};

/* An order to the first server of a path that runs: go on along another one,
 * which begins with the same stage. */
struct adapter_reroute {
	const char *request_id;
	const struct adapter_stage *stages;
	size_t stage_count;
};

enum adapter_order_outcome {
	/* Begun, or the state holds already. */
	ADAPTER_ORDER_TAKEN,
	/* The server's state is another one than the order expects. */
	ADAPTER_ORDER_STALE,
	/* A higher fencing token was seen. */
	ADAPTER_ORDER_FENCED,
	ADAPTER_ORDER_REFUSED
};

struct adapter_lookup {
	char *place;
	char *region;
};

/* One address answer for callers. */
struct adapter_addresses {
	GPtrArray *addresses;
	int64_t validity_usec;
};

struct adapter {
	const struct kv_dialect *store;
	/* Key of the configuration and prefix of the servers in the store. */
	const char *config_key;
	const char *servers_prefix;

	enum status (*decode_config)(struct lstr, struct fleet_config **);
	enum status (*decode_server)(
	    struct lstr id, struct lstr value, struct fleet_server *);
	enum status (*decode_report)(struct lstr, struct adapter_report *);

	void (*read_request)(const struct h1_conn *, struct adapter_request *);
	void (*read_answer)(const struct h1_conn *, struct adapter_answer *);
	/* Words the request of a caller for a backend server. */
	enum status (*word_forward)(const struct h1_conn *caller,
	    const struct adapter_forward *, struct lstr_buf *);
	/* Words the head of an answer that is passed on to a caller. */
	enum status (*word_answer)(const struct h1_conn *server, bool chunked,
	    bool close, struct lstr_buf *);
	/*
	 * Words an answer of the node's own. retry_usec 0: none is stated.
	 */
	enum status (*word_refusal)(unsigned int http_status, struct lstr id,
	    int64_t retry_usec, bool close, const char *reason,
	    struct lstr_buf *);
	enum status (*word_report)(const char *host, struct lstr_buf *);
	enum status (*word_order)(const char *host, const char *server_id,
	    const struct adapter_order *, struct lstr_buf *);
	enum status (*word_reroute)(const char *host, const char *server_id,
	    const struct adapter_reroute *, struct lstr_buf *);
	/* Returns the address, "ip:port", of the server for which a reroute
	 * was refused; NULL: none is named. The caller frees it. */
	char *(*decode_refusing)(struct lstr);
	enum adapter_order_outcome (*order_outcome)(unsigned int http_status);

	bool (*is_ready_check)(struct lstr target);
	bool (*is_lookup)(struct lstr target, struct adapter_lookup *);
	char *(*word_addresses)(const struct adapter_addresses *);
};

const struct adapter *platform_adapter(void);

#endif
