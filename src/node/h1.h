#ifndef CH_H1_H
#define CH_H1_H

#include <stdbool.h>
#include <stdint.h>
#include <netinet/in.h>

#include "account.h"
#include "loop.h"
#include "lstr.h"

/*
 * HTTP/1.1 server and client connections on the event loop of the process.
 * Messages are checked by http_check and parsed by http-parser; the bytes of
 * heads and bodies are passed on unchanged. docs/decisions.md explains why
 * neither libmicrohttpd nor libcurl is used for forwarded requests.
 */
struct h1;
struct h1_conn;
struct h1_listener;

/* A connection that is being closed stays open for this long after its peer
 * last accepted output, and for this long in all. */
#define H1_LINGER_USEC (1 * LOOP_USEC_PER_SEC)
#define H1_LINGER_MAX_USEC (30 * LOOP_USEC_PER_SEC)
/* Unsent output of several writes per connection; h1_write() fails beyond
 * it. */
#define H1_OUTPUT_MAX_BYTES ((size_t)8 * 1024 * 1024)

/*
 * Callbacks to the owner of a connection. A callback may call h1_close() on
 * any connection. ended is called once when the peer closes, the connection
 * fails or the peer violates the protocol; the connection must not be used
 * afterwards. It is not called after h1_close() or h1_close_gracefully().
 */
struct h1_ops {
	/* Server only, may be NULL: a connection was accepted. */
	void (*accepted)(struct h1_conn *, void *arg);
	/* Client only, may be NULL: the connection is established. */
	void (*connected)(struct h1_conn *, void *arg);
	/* The head of a message has arrived. */
	void (*head)(struct h1_conn *, void *arg);
	void (*body)(struct h1_conn *, struct lstr, void *arg);
	/* The whole message has arrived. */
	void (*complete)(struct h1_conn *, void *arg);
	void (*ended)(struct h1_conn *, enum status, void *arg);
};

/* Why a request could not be read. The owner responds with an error and closes
 * the connection. */
enum h1_fault {
	H1_FAULT_NONE = 0,
	H1_FAULT_MALFORMED,
	H1_FAULT_HEAD_TOO_LARGE,
	H1_FAULT_HEAD_TIMEOUT,
	/* The body made no progress within the idle timeout. */
	H1_FAULT_BODY_TIMEOUT,
	/* The head does not fit into the memory for callers. */
	H1_FAULT_NO_MEMORY
};

/* Why a connection was closed. */
enum h1_close_reason {
	/* Its owner closed it. */
	H1_CLOSE_OWNER = 0,
	/* The peer closed or reset it. */
	H1_CLOSE_PEER,
	/* It exceeded the idle limit. */
	H1_CLOSE_IDLE,
	/* The listener was stopped while it was idle, or destroyed. */
	H1_CLOSE_STOPPED,
	/* It gave way to others; see intake.h. */
	H1_CLOSE_DROPPED,
	/* Output could not be sent, or there was no memory for it. */
	H1_CLOSE_NOT_WRITTEN,
	/* The peer violated the protocol, or there was no memory for its
	 * input. */
	H1_CLOSE_NOT_READ,
	/* The peer did not read the last response in time. */
	H1_CLOSE_LINGERED,
	H1_CLOSE_REASONS
};

/* What is discarded with a connection of a listener that is closed. */
struct h1_closing {
	enum h1_close_reason reason;
	/* A request is in progress. */
	bool busy;
	/* Input waits in the socket. */
	bool unread;
	/* Bytes that were received after the request in progress, and bytes of
	 * responses that were not sent. */
	size_t pending;
	size_t unsent;
	int64_t idle_since;
};

/* Limits of a listener. They are read at each use, so changes take effect
 * immediately; changed timeouts once a connection makes progress or begins a
 * request: its peer may rely on those before until then. */
struct h1_limits {
	size_t head_max_bytes;
	int64_t head_timeout_usec;
	int64_t idle_timeout_usec;
};

struct h1_counts {
	uint64_t accepted;
	uint64_t connected;
	uint64_t connect_failures;
	uint64_t protocol_errors;
	/* Responses that are not valid. */
	uint64_t answers_refused;
	/* Connections closed to make room for others, and those closed when
	 * accepted because there was none. */
	uint64_t connections_dropped;
	uint64_t connections_refused;
	/* Callers' connections closed by this process with unread input. */
	uint64_t closed_unread;
};

enum status h1_create(struct loop *, struct h1 **);
void h1_destroy(struct h1 *);
void h1_set_account(struct h1 *, struct account *);
const struct h1_counts *h1_counts(const struct h1 *);

enum status h1_listen(struct h1 *, const char *, uint16_t,
    const struct h1_limits *, const struct h1_ops *, void *,
    struct h1_listener **);
void h1_listener_destroy(struct h1_listener *);
void h1_listener_set_max(struct h1_listener *, size_t max,
    void (*refuse)(struct h1_conn *, void *arg));
void h1_listener_set_observer(struct h1_listener *,
    void (*closed)(struct h1_conn *, const struct h1_closing *, void *arg));
uint16_t h1_listener_port(const struct h1_listener *);
size_t h1_listener_count(const struct h1_listener *);
void h1_listener_check_timeouts(struct h1_listener *);
void h1_listener_stop(struct h1_listener *);
bool h1_listener_has_output(const struct h1_listener *);
bool h1_listener_has_input(const struct h1_listener *);

enum status h1_connect(struct h1 *, const struct sockaddr_in *,
    int64_t deadline, const struct h1_ops *, void *, struct h1_conn **);

void h1_set_owner(struct h1_conn *, const struct h1_ops *, void *);
void h1_set_data(struct h1_conn *, void *);
void *h1_data(const struct h1_conn *);
enum status h1_write(struct h1_conn *, struct lstr);
enum status h1_lend(struct h1_conn *, struct lstr);
enum status h1_write_buf(struct h1_conn *, struct lstr_buf *);
bool h1_admit(struct h1_conn *, size_t more);
enum status h1_grow(
    struct h1_conn *, struct lstr_buf *, size_t len, size_t max);
void h1_set_owner_bytes(struct h1_conn *, size_t bytes);
void h1_read_next_request(struct h1_conn *);
void h1_expect_response(struct h1_conn *, bool head_only);
void h1_skip_response(struct h1_conn *);
void h1_close_gracefully(struct h1_conn *);
void h1_reset(struct h1_conn *);
void h1_close(struct h1_conn *);
size_t h1_unsent_bytes(const struct h1_conn *);
int64_t h1_keep_usec(struct h1_conn *);
enum status h1_encode_keep_alive(int64_t keep_usec, struct lstr_buf *);
enum h1_close_reason h1_close_reason(const struct h1_conn *);
const char *h1_close_reason_name(enum h1_close_reason);

/* The message being received, or the last one received. */
struct lstr h1_method(const struct h1_conn *);
struct lstr h1_target(const struct h1_conn *);
unsigned int h1_status(const struct h1_conn *);
bool h1_keep_alive(const struct h1_conn *);
bool h1_is_http10(const struct h1_conn *);
int64_t h1_content_length(const struct h1_conn *);
bool h1_ended_by_close(const struct h1_conn *);
bool h1_has_content(const struct h1_conn *);
bool h1_is_reusable(const struct h1_conn *);
bool h1_has_input(const struct h1_conn *);
enum h1_fault h1_fault(const struct h1_conn *);
int64_t h1_head_started_at(const struct h1_conn *);
size_t h1_header_count(const struct h1_conn *);
void h1_header_at(
    const struct h1_conn *, size_t, struct lstr *name, struct lstr *value);
bool h1_find_header(const struct h1_conn *, const char *, struct lstr *value);
bool h1_list_next(struct lstr *rest, struct lstr *entry);
bool h1_list_contains_token(struct lstr list, struct lstr token);

#endif
