#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/*
 * Stand-ins for the cases of review 3: the platform's store, plain and model
 * replicas, clients, and the start and end of the nodes. A case is one process
 * that runs all of them in threads; the nodes are its children. All addresses
 * are in 127.0.0.0/8.
 */

#define RIG_HEADERS_MAX 64
#define RIG_HEAD_MAX ((size_t)32768)

/* A connection with the bytes that were received and not yet used. */
struct rig_conn {
	int fd;
	char data[RIG_HEAD_MAX];
	size_t len;
};

/* A message. The strings are in head. */
struct rig_message {
	/* Request: method and target. Response: status. */
	char *method;
	char *target;
	int status;
	char *names[RIG_HEADERS_MAX];
	char *values[RIG_HEADERS_MAX];
	size_t header_count;
	char head[RIG_HEAD_MAX];
	char *body;
	size_t body_len;
};

/* How the reading of a message ended. */
enum rig_read {
	RIG_OK,
	/* The connection was closed before its first byte. */
	RIG_CLOSED,
	/* Nothing more came within the time limit. */
	RIG_TIMEOUT,
	/* The connection ended within the message. */
	RIG_CUT,
	/* The bytes are no message of the protocol. */
	RIG_GARBAGE
};

/* Time and log. */
int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t);
void rig_init(const char *record_path);
void rig_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
/* Ends the run with the exit code 2, after ending the nodes. */
void rig_fail(const char *format, ...) __attribute__((format(printf, 1, 2)))
    __attribute__((noreturn));
bool rig_trouble(void);
const char *rig_temp(void);

/* Connections and messages. */
int rig_listen(const char *ip, uint16_t *port);
bool rig_serve(const char *ip, uint16_t *port,
    void (*serve)(struct rig_conn *, void *), void *arg);
struct rig_conn *rig_connect(const char *ip, uint16_t port);
void rig_close(struct rig_conn *);
bool rig_send(struct rig_conn *, const void *, size_t);
bool rig_send_text(struct rig_conn *, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
enum rig_read rig_read_request(struct rig_conn *, struct rig_message *);
/* head_only: the response is one to HEAD. */
enum rig_read rig_read_response(struct rig_conn *, struct rig_message *,
    bool head_only, int64_t timeout_ms);
const char *rig_header(const struct rig_message *, const char *name);
void rig_message_clear(struct rig_message *);
const char *rig_read_name(enum rig_read);

/* The store. */
enum rig_store_trouble {
	RIG_STORE_SOUND,
	/* Calls are not answered; leases run on. */
	RIG_STORE_SILENT
};
void rig_store_start(const char *ip);
const char *rig_store_address(void);
void rig_store_put(const char *key, const char *value);
void rig_store_set_trouble(enum rig_store_trouble);

/* Replicas. */
/* Layers of the model; each model replica holds all. */
#define RIG_LAYERS 8
struct rig_replica {
	char id[32];
	const char *service;
	char address[32];
	char ip[16];
	uint16_t port;
	int64_t born;
	bool is_engine;
	/* Model replica: its streams get stuck within an event. */
	bool endless;
	int64_t work_ms;
};
void rig_replica_start(struct rig_replica *, const char *ip, const char *id,
    const char *service, bool is_engine);

/* The configuration: routes /status/ (idempotent) and /place/ (not idempotent)
 * of the service desk, and /draft/ (streaming, resumable) of the service model;
 * one tenant with the key RIG_KEY. */
#define RIG_HOST "mats.example"
#define RIG_KEY "n2ctnfzs989anu6wsjnb"
void rig_configure(int version);

/* Nodes. */
struct rig_node {
	char name[32];
	char ip[20];
	uint16_t front;
	uint16_t ready;
	pid_t pid;
	/* How often its process ended without a signal of this program. */
	int own_ends;
};
void rig_node_init(struct rig_node *, int number, int memory_mb);
void rig_node_start(struct rig_node *);
bool rig_node_wait_ready(struct rig_node *, int64_t timeout_ms);
/* Notes if the process has ended by itself. Returns whether it runs. */
bool rig_node_check(struct rig_node *);
long rig_node_rss_kb(const struct rig_node *);
void rig_nodes_end(void);

/* A request of a sound client, with the key unless key is NULL. */
void rig_new_id(char id[17]);
bool rig_send_request(struct rig_conn *, const char *method, const char *target,
    const char *id, const char *key, int deadline_ms, const char *extra);

#endif
