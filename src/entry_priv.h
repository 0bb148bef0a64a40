#ifndef CH_ENTRY_PRIV_H
#define CH_ENTRY_PRIV_H

/* Declarations shared by the source files of the entry. */

#include <glib.h>

#include "entry.h"
#include "entry_routers.h"
#include "httpd.h"
#include "syncd_client.h"
#include "metric.h"
#include "stream.h"
#include "view.h"

#define ENTRY_REQUESTS_MAX 4096
#define ENTRY_BODY_MAX_BYTES ((size_t)512 * 1024)
#define ENTRY_TICK_USEC (20 * LOOP_USEC_PER_MSEC)

/* One caller's request: its HTTP exchange and its submission to a router. */
struct entry_request {
	struct entry *entry;
	struct stream *stream;
	struct httpd_request *http;
	/* Id of the current submission; 0 when there is none. */
	uint64_t submission_id;
	struct entry_router *router;
	/* Replica of the current or the most recent submission, or NULL. */
	char *replica;
	bool response_started;
	/* Memory of the delivered tokens, which a new submission contains. */
	size_t delivered_bytes;
	int64_t last_token_at;
};

struct entry {
	struct proc *proc;
	struct entry_config config;
	struct syncd_client *syncd_client;
	struct entry_routers *routers;
	struct httpd *httpd;
	struct loop_timer *tick;
	GRand *random;
	char *address;
	/* The syncd's view, with unreachable routers marked as suspected. */
	struct view *view;
	bool view_changed;
	/* struct entry_request, unordered. */
	GPtrArray *requests;
	/* struct entry_request by submission id. */
	GHashTable *submissions;
	uint64_t last_submission_id;
	/* Number of open submissions by "service/replica". */
	GHashTable *outstanding;
	int64_t next_disconnect_check_at;
	/* Set by entry_drain(). */
	int64_t stop_listening_at;
	bool listening;
	/* A first configuration has been received. */
	bool has_configuration;
	int64_t idle_since;
};

/* entry_http.c */
extern const struct httpd_ops entry_http_ops;
void entry_write_token(struct entry_request *, const Ch__Token *);
void entry_finish_response(
    struct entry_request *, const struct stream_outcome *);
void entry_http_register_metrics(void);

/* entry_submit.c */
extern const struct entry_routers_ops entry_router_ops;
void entry_submit(struct entry_request *, int64_t now);
void entry_submit_cancel(struct entry_request *);
void entry_check_requests(struct entry *, int64_t now);
void entry_submit_register_metrics(void);

#endif
