#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>
#include <sys/resource.h>

#include "log.h"
#include "metric.h"
#include "proc.h"

#define ADMIN_BODY_MAX_BYTES 1024
#define BYTES_PER_MB ((size_t)1000 * 1000)
/* Part of the memory that clients of the HTTP ports may hold. The rest is for
 * the program, its tables and the parsing of one body. */
#define CLIENTS_MEMORY_DIVISOR 2
/* Larger allocations are returned to the system when they are freed. The
 * allocator would raise this threshold when it frees a large one. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)
/* Descriptors for listeners, files, and links to syncds. */
#define OWN_DESCRIPTORS 64
/* Share of the remaining descriptors for the admin port, with bounds: its
 * requests take milliseconds. */
#define ADMIN_SHARE 16
#define ADMIN_CONNECTIONS_MIN 4
#define ADMIN_CONNECTIONS_MAX 256
/* Share for links to routers and calls to servers; the rest is for clients. */
#define LINKS_SHARE 4
#define CLIENTS_MIN 8
/* Least number of accepted links that are not up yet; the limit is half of the
 * share for links. */
#define PENDING_LINKS_MIN 8

static const char type_json[] = "application/json";
static const char type_text[] = "text/plain; version=0.0.4";

/*
 * Responds with the metrics in the Prometheus text exposition format.
 */
static void
respond_metrics(struct httpd_request *request)
{
	struct lstr_buf text = {0};

	metric_write(&text);
	httpd_respond(request, 200, type_text, lstr_buf_view(&text));
	lstr_buf_free(&text);
}

/*
 * Responds with the state dump.
 */
static void
respond_dump(struct proc *proc, struct httpd_request *request)
{
	json_t *dump = proc->ops->dump(proc->arg);
	char *text = json_dumps(dump, JSON_INDENT(2) | JSON_SORT_KEYS);

	httpd_respond(request, text ? 200 : 500, type_json, lstr_from(text));
	free(text);
	json_decref(dump);
}

/*
 * Handles a request to the admin server.
 */
static void
on_admin_request(struct httpd_request *request, void *arg)
{
	struct proc *proc = arg;
	struct lstr path = httpd_path(request);
	bool ready;

	if (!lstr_equal_c(httpd_method(request), "GET")) {
		httpd_respond(request, 405, type_text,
		    lstr_from("only GET is allowed\n"));
	} else if (lstr_equal_c(path, "/metrics")) {
		respond_metrics(request);
	} else if (lstr_equal_c(path, "/dump")) {
		respond_dump(proc, request);
	} else if (lstr_equal_c(path, "/ready")) {
		ready = !proc->draining && proc->ops->ready(proc->arg);
		httpd_respond(request, ready ? 200 : 503, type_text,
		    lstr_from(ready ? "ready\n" : "not ready\n"));
	} else if (lstr_equal_c(path, "/live")) {
		httpd_respond(request, 200, type_text, lstr_from("live\n"));
	} else {
		httpd_respond(request, 404, type_text,
		    lstr_from("no such page; /metrics, /dump, /ready and "
			      "/live are\n"));
	}
}

/*
 * Writes the state dump to the log.
 */
static void
on_dump_signal(void *arg)
{
	struct proc *proc = arg;
	json_t *dump = proc->ops->dump(proc->arg);
	char *text = json_dumps(dump, JSON_COMPACT | JSON_SORT_KEYS);

	log_event(EV_STATE_DUMP, "%s", text ? text : "(out of memory)");
	free(text);
	json_decref(dump);
}

/*
 * Starts the graceful shutdown; repeated signals have no effect.
 */
static void
on_term_signal(void *arg)
{
	struct proc *proc = arg;

	if (proc->draining)
		return;
	proc->draining = true;
	log_event(EV_STOP_REQUESTED, "signal=TERM");
	proc->ops->drain(proc->arg);
}

/*
 * Stops the loop without a graceful shutdown.
 */
static void
on_int_signal(void *arg)
{
	struct proc *proc = arg;

	log_event(EV_STOP_REQUESTED, "signal=INT");
	loop_stop(proc->loop);
}

/*
 * Fills in the Hello that identifies this process to its peers and the context
 * of its links.
 */
static enum status
init_identity(struct proc *proc, struct setting *settings, Ch__Role role)
{
	if (sodium_init() < 0)
		return status_set(STATUS_IO, "libsodium cannot start");
	ch__hello__init(&proc->hello);
	proc->hello.node = settings_get(settings, "node")->text;
	proc->hello.place = settings_get(settings, "place")->text;
	proc->hello.region = settings_get(settings, "region")->text;
	proc->hello.role = role;
	proc->hello.protocol = LINK_PROTOCOL;
	/*
	 * Control traffic between syncds is compressed. Tokens between entries
	 * and routers are not: they are short and CPU time matters there.
	 */
	proc->hello.compress = role == CH__ROLE__ROLE_SYNCD;
	randombytes_buf(&proc->hello.boot, sizeof(proc->hello.boot));
	proc->links.loop = proc->loop;
	proc->links.hello = &proc->hello;
	proc->links.silence_limit_usec = LINK_SILENCE_LIMIT_USEC;
	proc->links.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	return frame_key_from_hex(
	    settings_get(settings, "cluster-key")->text, proc->links.key);
}

/*
 * Returns the "ip:port" of an address setting with its port replaced by the one
 * in use. The caller frees the result with g_free().
 */
char *
proc_address(const struct setting *settings, const char *name, uint16_t port)
{
	const char *text = settings_get(settings, name)->text;
	const char *colon = strrchr(text, ':');

	return g_strdup_printf("%.*s:%u", (int)(colon - text), text, port);
}

/*
 * Derives the limits of clients from the settings.
 */
static void
init_limits(struct proc *proc, const struct setting *settings)
{
	size_t memory =
	    (size_t)settings_get(settings, "memory-mb")->number * BYTES_PER_MB;
	int64_t descriptors = LOOP_WATCH_MAX;
	struct rlimit limit;

	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	account_init(&proc->account, memory / CLIENTS_MEMORY_DIVISOR);
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < LOOP_WATCH_MAX)
		descriptors = (int64_t)limit.rlim_cur;
	descriptors = MAX(descriptors - OWN_DESCRIPTORS, (int64_t)0);
	proc->admin_connections_max =
	    (unsigned int)CLAMP(descriptors / ADMIN_SHARE,
		(int64_t)ADMIN_CONNECTIONS_MIN, (int64_t)ADMIN_CONNECTIONS_MAX);
	descriptors -= proc->admin_connections_max;
	proc->links.pending_max =
	    (unsigned int)CLAMP(descriptors / LINKS_SHARE / 2,
		(int64_t)PENDING_LINKS_MIN, (int64_t)LINK_PENDING_MAX);
	proc->connections_max = (unsigned int)MAX(
	    descriptors - descriptors / LINKS_SHARE, (int64_t)CLIENTS_MIN);
}

/*
 * Limits what the clients of a server hold. Has no effect if the process was
 * not made by proc_create().
 */
void
proc_limit_clients(struct proc *proc, struct httpd *httpd)
{
	if (proc->account.limit > 0)
		httpd_set_limits(httpd, &proc->account, proc->connections_max);
}

/*
 * Starts the admin server and installs the signal handlers.
 */
static enum status
open_admin(struct proc *proc, struct setting *settings)
{
	static const struct httpd_ops admin_ops = {on_admin_request, NULL};
	enum status status = httpd_create(proc->loop,
	    settings_get(settings, "admin-address")->text, ADMIN_BODY_MAX_BYTES,
	    &admin_ops, proc, &proc->admin);

	if (status == STATUS_OK) {
		httpd_set_limits(
		    proc->admin, &proc->account, proc->admin_connections_max);
		proc->admin_address = proc_address(
		    settings, "admin-address", httpd_port(proc->admin));
	}
	if (status == STATUS_OK)
		status =
		    loop_on_signal(proc->loop, SIGTERM, on_term_signal, proc);
	if (status == STATUS_OK)
		status =
		    loop_on_signal(proc->loop, SIGINT, on_int_signal, proc);
	if (status == STATUS_OK)
		status =
		    loop_on_signal(proc->loop, SIGUSR1, on_dump_signal, proc);
	return status;
}

/*
 * Creates the common state of a daemon from parsed settings, which must outlive
 * it. The callbacks receive the pointer set with proc_set_arg(), which must be
 * called before the loop runs.
 */
enum status
proc_create(struct setting *settings, const char *program, Ch__Role role,
    struct proc_ops *ops, struct proc **out)
{
	struct proc *proc = calloc(1, sizeof(*proc));
	enum status status;

	if (proc == NULL)
		return status_set(STATUS_NO_MEMORY, "process");
	log_init(program, settings_get(settings, "node")->text,
	    (enum log_severity)settings_get(settings, "log-level")->number);
	signal(SIGPIPE, SIG_IGN);
	proc->ops = ops;
	proc->port_file = settings_get(settings, "port-file")->text;
	status = loop_create(&proc->loop);
	if (status == STATUS_OK)
		status = init_identity(proc, settings, role);
	init_limits(proc, settings);
	if (status == STATUS_OK)
		status = open_admin(proc, settings);
	if (status != STATUS_OK) {
		proc_destroy(proc);
		return status;
	}
	link_register_metrics();
	httpd_register_metrics();
	*out = proc;
	return STATUS_OK;
}

/*
 * Logs that the process has opened its ports and, if configured, writes the
 * port file: "<name>=<address> admin=<address>". The file is replaced
 * atomically. addresses is a space-separated list of "name=ip:port".
 */
enum status
proc_report_started(const struct proc *proc, const char *addresses)
{
	char *line =
	    g_strdup_printf("%s admin=%s\n", addresses, proc->admin_address);
	enum status status = STATUS_OK;

	if (proc->port_file != NULL &&
	    !g_file_set_contents(proc->port_file, line, -1, NULL))
		status = status_set(STATUS_IO,
		    "setting --port-file: '%s' cannot be written",
		    proc->port_file);
	else
		log_event(EV_STARTED, "%s", g_strchomp(line));
	g_free(line);
	return status;
}

/*
 * Sets the pointer that is passed to the callbacks.
 */
void
proc_set_arg(struct proc *proc, void *arg)
{
	proc->arg = arg;
}

/*
 * Closes the admin server and frees the loop. NULL is allowed.
 */
void
proc_destroy(struct proc *proc)
{
	if (proc == NULL)
		return;
	httpd_destroy(proc->admin);
	loop_destroy(proc->loop);
	g_free(proc->admin_address);
	sodium_memzero(proc->links.key, sizeof(proc->links.key));
	free(proc);
}

/*
 * Parses the settings of a program. Returns -1 on success; otherwise logs the
 * error and returns the exit code.
 */
int
proc_parse_settings(struct setting *settings, const char *program,
    const char *summary, int *argc, char ***argv)
{
	if (settings_parse(settings, summary, NULL, argc, argv) == STATUS_OK) {
		if (*argc <= 1)
			return -1;
		status_set(
		    STATUS_INVALID, "unexpected argument '%s'", (*argv)[1]);
	}
	log_init(program, "-", LOG_SEV_INFO);
	log_event(EV_SETTINGS_INVALID, "%s", status_message());
	return PROC_EXIT_SETTINGS;
}
