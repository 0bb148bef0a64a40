#ifndef CH_PROC_H
#define CH_PROC_H

#include <stdbool.h>

#include <jansson.h>

#include "frame.h"
#include "httpd.h"
#include "link.h"
#include "loop.h"
#include "settings.h"

/* Exit codes of every program. */
#define PROC_EXIT_OK 0
#define PROC_EXIT_FAILED 1
#define PROC_EXIT_SETTINGS 2

#define PROC_PATH_MAX_BYTES 4000

/*
 * State that every daemon has: its loop, its identity, the cluster key and the
 * admin HTTP server with /metrics, /dump, /ready and /live. SIGTERM calls
 * drain; SIGINT stops the loop immediately; SIGUSR1 logs the dump.
 */
struct proc {
	struct loop *loop;
	struct link_context links;
	Ch__Hello hello;
	/* Memory that clients of the HTTP ports hold. */
	struct account account;
	/* Limits of connections at the admin port and at the other HTTP port.
	 */
	unsigned int admin_connections_max;
	unsigned int connections_max;
	struct httpd *admin;
	/* "ip:port" of the admin server. */
	char *admin_address;
	const char *port_file;
	struct proc_ops *ops;
	void *arg;
	bool draining;
};

struct proc_ops {
	/* Returns the state of the process as a new JSON reference. */
	json_t *(*dump)(void *);
	bool (*ready)(void *);
	/* Called once on SIGTERM; must lead to loop_stop() when drained. */
	void (*drain)(void *);
};

/* Settings common to all daemons, for the start of their tables. */
#define PROC_SETTINGS                                                          \
	{"node", SETTING_TEXT, NULL, 1, 63, "Name of this node", true, NULL,   \
	    0},                                                                \
	    {"place", SETTING_TEXT, NULL, 1, 63, "Data centre of this node",   \
		true, NULL, 0},                                                \
	    {"region", SETTING_TEXT, NULL, 1, 63, "Region of this node", true, \
		NULL, 0},                                                      \
	    {"cluster-key", SETTING_KEY, NULL, 0, 0,                           \
		"Key shared by all nodes, 64 hexadecimal digits", true, NULL,  \
		0},                                                            \
	    {"admin-address", SETTING_ADDRESS, "127.0.0.1:0", 0, 0,            \
		"Address for metrics, dump and health", false, NULL, 0},       \
	    {"log-level", SETTING_INT, "6", 3, 7,                              \
		"Least severe severity logged (RFC 5424 number)", false, NULL, \
		0},                                                            \
	    {"memory-mb", SETTING_INT, "256", 32, 1048576,                     \
		"Memory of the machine for this process, in MB; clients may "  \
		"hold half of it",                                             \
		false, NULL, 0},                                               \
	{                                                                      \
		"port-file", SETTING_TEXT, NULL, 1, PROC_PATH_MAX_BYTES,       \
		    "File that receives the addresses once the ports are "     \
		    "open",                                                    \
		    false, NULL, 0                                             \
	}

enum status proc_create(struct setting *, const char *, Ch__Role,
    struct proc_ops *, struct proc **);
void proc_set_arg(struct proc *, void *);
void proc_destroy(struct proc *);
void proc_limit_clients(struct proc *, struct httpd *);
char *proc_address(const struct setting *, const char *, uint16_t);
enum status proc_report_started(const struct proc *, const char *);
int proc_parse_settings(
    struct setting *, const char *, const char *, int *, char ***);

#endif
