#ifndef CH_H1_PRIV_H
#define CH_H1_PRIV_H

#include <http_parser.h>

#include "h1.h"

struct h1 {
	struct loop *loop;
	struct h1_counts counts;
	/* Closed connections that wait to be freed outside of callbacks. */
	struct h1_conn *closed;
	struct loop_timer *reaper;
};

struct h1_listener {
	struct h1 *h1;
	int fd;
	struct loop_watch *watch;
	const struct h1_limits *limits;
	const struct h1_ops *ops;
	void *arg;
	struct h1_conn *conns;
	size_t count;
};

/* Offsets into the text of the head. */
struct span {
	uint32_t at;
	uint32_t len;
};

struct header {
	struct span name;
	struct span value;
};

struct h1_conn {
	struct h1 *h1;
	/* NULL for a client connection. */
	struct h1_listener *listener;
	struct h1_conn *next;
	struct h1_conn *prev;
	int fd;
	struct loop_watch *watch;
	struct loop_timer *timer;
	const struct h1_ops *ops;
	void *arg;
	void *data;
	http_parser parser;
	struct lstr_buf text;
	struct header *headers;
	uint32_t header_count;
	uint32_t header_room;
	struct span target;
	bool in_value;
	bool connecting;
	/* Server: an answer is due. Client: an answer is awaited. */
	bool busy;
	bool head_only;
	bool head_done;
	bool complete;
	bool stray;
	/* Only the output is still to be written; input is discarded. */
	bool finishing;
	bool is_closed;
	/* Writing failed; the owner is told in the next round. */
	bool broken;
	enum h1_fault fault;
	int64_t head_begun_at;
	int64_t idle_since;
	struct lstr_buf held;
	struct lstr_buf out;
};

struct h1_conn *h1_conn_create(
    struct h1 *, int, unsigned int, enum http_parser_type);
void h1_protocol_error(struct h1_conn *);

#endif
