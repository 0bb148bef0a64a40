#ifndef CH_H1_PRIV_H
#define CH_H1_PRIV_H

#include <http_parser.h>

#include "h1.h"
#include "http_check.h"

struct h1 {
	struct loop *loop;
	struct h1_counts counts;
	/* Closed connections; the reaper frees them outside of callbacks. */
	struct h1_conn *closed;
	struct loop_timer *reaper;
	struct h1_listener *listeners;
	/* Memory of the connections; NULL: it has no limit. */
	struct account *account;
	/* Connections are giving way; nothing else is refused meanwhile. */
	bool making_room;
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
	/* Most connections; 0: no limit. */
	size_t max;
	void (*refuse)(struct h1_conn *, void *arg);
	/* Called when a connection is closed; may be NULL. */
	void (*closed)(struct h1_conn *, const struct h1_closing *, void *arg);
	/* Accepting failed; it is tried again at the next check of timeouts. */
	bool paused;
	struct h1_listener *next;
};

/* A range of bytes in h1_conn.head_text. */
struct span {
	uint32_t offset;
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
	/* Decides whether the message is valid before the parser reads it. */
	struct http_check check;
	/* Target, header names and values, which spans refer to. */
	struct lstr_buf head_text;
	struct header *headers;
	uint32_t header_count;
	uint32_t header_capacity;
	struct span target;
	bool in_value;
	bool connecting;
	/* Server: a response has yet to be sent. Client: a response has yet
	 * to be received. */
	bool busy;
	/* Interim responses received before the current one. */
	unsigned int interim_count;
	bool head_done;
	bool complete;
	/* Client: the peer sent bytes after the response or closed. */
	bool not_reusable;
	/* Client: the response had no length and ended with the connection. */
	bool ended_by_close;
	/* h1_close_gracefully() was called: the remaining output is sent and
	 * input is discarded. */
	bool lingering;
	int64_t linger_until;
	bool is_closed;
	enum h1_close_reason close_reason;
	/* Writing failed; the owner is notified in the next round of the
	 * loop. */
	bool write_failed;
	enum h1_close_reason write_failure;
	enum h1_fault fault;
	/* When the request being received began, and until when its head must
	 * have arrived. */
	int64_t head_started_at;
	int64_t head_until;
	/* When the connection last made progress, and until when it may make
	 * none, by the idle limit that was in force then. */
	int64_t idle_since;
	int64_t idle_until;
	/* Time that the last response stated; 0: none yet. */
	int64_t stated_usec;
	/* Input received after the current message. */
	struct lstr_buf pending_input;
	/* Pending input is parsed when the timer expires, which is set. Until
	 * then nothing is read from the socket. */
	bool pending_due;
	struct lstr_buf out;
	/* Bytes in the socket that the peer had not acknowledged when it was
	 * last looked up. */
	int unacknowledged;
	/* Client: sent after out; the bytes belong to the owner. */
	struct lstr lent;
	/* Memory in the account, and that which the owner holds for it. */
	size_t held;
	size_t owner_bytes;
};

struct h1_conn *h1_conn_create(
    struct h1 *, int, unsigned int, enum http_parser_type);
void h1_protocol_error(struct h1_conn *);
void h1_close_for(struct h1_conn *, enum h1_close_reason);
void h1_note_progress(struct h1_conn *);
void h1_check_progress(struct h1_conn *);
void h1_note_closing(struct h1_conn *);
bool h1_has_unread_bytes(const struct h1_conn *);
void h1_account(struct h1_conn *);
bool h1_has_output(const struct h1_conn *);
bool h1_may_answer(const struct h1_conn *);
enum status h1_grow_output(struct h1_conn *, size_t len);
bool h1_is_short(const struct h1_conn *);
void h1_free_buffers(struct h1_conn *);
bool h1_listener_make_room(struct h1_listener *);

#endif
