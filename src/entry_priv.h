#ifndef CH_ENTRY_PRIV_H
#define CH_ENTRY_PRIV_H

/* Shared by the source files of the entry. */

#include <glib.h>

#include "entry.h"
#include "entry_routers.h"
#include "httpd.h"
#include "local.h"
#include "metric.h"
#include "stream.h"
#include "view.h"

#define ENTRY_REQUESTS_MAX 4096
#define ENTRY_BODY_MAX_BYTES ((size_t)512 * 1024)
#define ENTRY_TICK_USEC (20 * LOOP_USEC_PER_MSEC)

/* One caller's request: its HTTP side and where it is submitted. */
struct entry_request {
	struct entry *entry;
	struct stream *stream;
	struct httpd_request *http;
	/* Of the present submission; 0 when there is none. */
	uint64_t number;
	struct entry_router *router;
	/* Replica of the present or the last submission, or NULL. */
	char *replica;
	bool begun;
	int64_t last_token_at;
};

struct entry {
	struct proc *proc;
	struct entry_config config;
	struct local *local;
	struct entry_routers *routers;
	struct httpd *httpd;
	struct loop_timer *tick;
	GRand *random;
	char *address;
	/* The view without the routers that this entry found to be down. */
	struct view *view;
	bool view_changed;
	/* struct entry_request, in no order. */
	GPtrArray *requests;
	/* struct entry_request by submission number. */
	GHashTable *submissions;
	uint64_t last_number;
	/* Open submissions by "service/replica". */
	GHashTable *outstanding;
	int64_t next_gone_check_at;
	/* Set by the drain. */
	int64_t stop_listening_at;
	bool listening;
	/* A configuration has come into force. */
	bool was_ready;
	int64_t quiet_since;
};

/* entry_http.c */
extern const struct httpd_ops entry_http_ops;
void entry_answer_token(struct entry_request *, const Ch__Token *);
void entry_answer_end(struct entry_request *, const struct stream_outcome *);
void entry_http_register_metrics(void);

/* entry_submit.c */
extern const struct entry_routers_ops entry_router_ops;
void entry_submit(struct entry_request *, int64_t now);
void entry_submit_cancel(struct entry_request *);
void entry_submit_tick(struct entry *, int64_t now);
void entry_submit_register_metrics(void);

#endif
