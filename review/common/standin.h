#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/*
 * Small stand-ins of the platform for the review's cases: the metadata store,
 * replicas, clients, and the control of node processes. They listen on
 * loopback addresses only, use one thread per connection and the real clock,
 * and follow the users' pages.
 */

#define HEAD_MAX 16384

/* Milliseconds of the steady clock since standin_init(). */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
/* Chooses the loopback network 127.A.B.0/24 of this run, opens the record. */
void standin_init(const char *record_path);
/* Writes one line with its time to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* An address of this run's loopback network: 127.A.B.host:port. */
struct sockaddr_in loopback(int host, int port);
const char *address_text(const struct sockaddr_in *, char out[32]);

/* An HTTP connection with a read buffer. */
struct http {
	int fd;
	char buffer[65536];
	size_t start;
	size_t end;
};

/* A message: its first line and headers, and its body (freed by the caller). */
struct message {
	char head[HEAD_MAX];
	char *body;
	size_t body_len;
};

bool http_read_head(struct http *, struct message *);
/* Reads a body with Content-Length; true also if there is none. */
bool http_read_body(struct http *, struct message *);
/* Reads up to max bytes; 0: end, -1: error. */
ssize_t http_read(struct http *, char *, size_t max);
bool http_read_line(struct http *, char *, size_t max);
bool header(const struct message *, const char *name, char *out, size_t max);
bool send_all(int fd, const void *, size_t);
bool send_text(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
int connect_to(const struct sockaddr_in *);

/* Listens and runs fn in a thread for each connection. */
void serve(const struct sockaddr_in *, void (*fn)(struct http *, void *),
    void *arg);

/* The metadata store. */
void store_start(const struct sockaddr_in *);
/* Writes a key as the operator or a replica would; value is plain text. */
void store_put(const char *key, const char *value);
void store_remove(const char *key);
/* Keeps a copy of the store; takes it away, so that all channels to it are
 * closed; and brings it back from the copy, in the next era. */
void store_copy(void);
void store_take_away(void);
void store_restore(void);

/* A node process, started with the command of the deploy file. */
struct node {
	char name[32];
	char settings[128];
	char log[128];
	pid_t pid;
	struct sockaddr_in front;
	struct sockaddr_in ready;
	struct sockaddr_in lookup;
};

void node_prepare(struct node *, const char *name, int host,
    const struct sockaddr_in *store);
void node_start(struct node *);
void node_signal(struct node *, int number);
/* Returns true if the process has ended, and reaps it. */
bool node_has_ended(struct node *);
bool node_is_ready(const struct node *);
/* Asks a node where to connect; returns the number of addresses. */
int lookup(const struct node *, struct sockaddr_in *out, int max);
/* Ends all processes and removes the temporary folder. */
void standin_end(void);

#endif
