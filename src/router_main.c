#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "syncd_client.h"
#include "log.h"
#include "proc.h"
#include "router.h"

#define PROGRAM "chestnuthoist-router"
#define ADDRESS_TEXT_MAX 80
#define FLUSH_POLL_USEC (20 * LOOP_USEC_PER_MSEC)
/* Time that a drained router waits for entries to read its queued output. */
#define FLUSH_TIMEOUT_USEC (5 * LOOP_USEC_PER_SEC)

/* The link of one entry. */
struct entry_link {
	struct router_entry base;
	struct link *link;
	struct entry_link *next;
};

/* The connection to the syncd of this node. */
struct syncd_link {
	struct router_syncd base;
	struct syncd_client *syncd_client;
};

struct process {
	struct proc *proc;
	struct fetch *fetch;
	struct engine *engine;
	struct plain *plain;
	struct link_listener *listener;
	struct syncd_link syncd;
	struct router *router;
	struct entry_link *entries;
	struct loop_timer *flush_timer;
	int64_t flush_deadline;
	char address[ADDRESS_TEXT_MAX];
};

static struct setting settings[] = {PROC_SETTINGS,
    {"listen", SETTING_ADDRESS, "127.0.0.1:0", 0, 0,
	"Address to listen on for connections from entries", false, NULL, 0},
    {"syncd-address", SETTING_ADDRESS, NULL, 0, 0,
	"Address of the syncd of this node", true, NULL, 0},
    {"replica-concurrency", SETTING_INT, "16", 1, 4096,
	"Initial limit of concurrent requests per replica; adapted later",
	false, NULL, 0},
    {"token-timeout-ms", SETTING_INT, "1000", 10, 600000,
	"Time without a token after which a pipeline attempt fails", false,
	NULL, 0},
    {"queue-max", SETTING_INT, "1024", 1, 16384,
	"Maximum number of queued requests per replica", false, NULL, 0},
    {"engine-load-interval-ms", SETTING_INT, "5000", 50, 600000,
	"Interval of the load queries to an engine", false, NULL, 0},
    {NULL, SETTING_TEXT, NULL, 0, 0, NULL, false, NULL, 0}};

/*
 * Sends a message to an entry.
 */
static enum status
entry_send(struct router_entry *base, const Ch__Frame *frame)
{
	return link_send(((struct entry_link *)base)->link, frame);
}

static const struct router_entry_vtable entry_vtable = {entry_send};

/*
 * Handles an established link. Every peer is treated as an entry, because only
 * entries submit requests; the router ignores the frames of other roles.
 */
static void
on_link_up(struct link *link, void *arg)
{
	struct process *p = arg;
	struct entry_link *entry = calloc(1, sizeof(*entry));

	if (entry == NULL) {
		link_close(link, STATUS_NO_MEMORY);
		return;
	}
	entry->base.vtable = &entry_vtable;
	entry->link = link;
	entry->next = p->entries;
	p->entries = entry;
	router_entry_open(p->router, &entry->base);
	link_set_data(link, entry);
}

/*
 * Passes a message from an entry to the router.
 */
static void
on_link_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct process *p = arg;
	struct entry_link *entry = link_get_data(link);

	if (entry != NULL)
		router_on_entry_frame(p->router, &entry->base, frame);
}

/*
 * Handles the loss of a link.
 */
static void
on_link_down(struct link *link, enum status status, void *arg)
{
	struct process *p = arg;
	struct entry_link *entry = link_get_data(link);
	struct entry_link **at = &p->entries;

	(void)status;
	if (entry == NULL)
		return;
	while (*at != entry)
		at = &(*at)->next;
	*at = entry->next;
	router_entry_close(p->router, &entry->base);
	free(entry);
}

static const struct link_ops link_callbacks = {
    on_link_up, on_link_frame, on_link_down};

/*
 * Sends a message to the syncd.
 */
static enum status
syncd_send(struct router_syncd *base, const Ch__Frame *frame)
{
	return syncd_client_send(
	    ((struct syncd_link *)base)->syncd_client, frame);
}

/*
 * Returns whether the syncd is connected.
 */
static bool
syncd_is_up(struct router_syncd *base)
{
	const struct syncd_client *syncd_client =
	    ((struct syncd_link *)base)->syncd_client;

	return syncd_client != NULL && syncd_client_is_up(syncd_client);
}

/*
 * Returns whether the syncd reports that an instance is leaving.
 */
static bool
syncd_instance_leaving(struct router_syncd *base, struct lstr name)
{
	const struct syncd_client *syncd_client =
	    ((struct syncd_link *)base)->syncd_client;

	return syncd_client != NULL &&
	    syncd_client_instance_leaving(syncd_client, name);
}

static const struct router_syncd_vtable syncd_vtable = {
    syncd_send, syncd_is_up, syncd_instance_leaving};

/*
 * Passes a configuration to the router.
 */
static void
on_config(const struct inv *inv, void *arg)
{
	router_on_config(((struct process *)arg)->router, inv);
}

/*
 * Passes a change of the membership view to the router.
 */
static void
on_view(const struct view *view, void *arg)
{
	router_on_view(((struct process *)arg)->router, view);
}

/*
 * Passes a change of the instance states to the router.
 */
static void
on_instances(void *arg)
{
	router_on_instances(((struct process *)arg)->router);
}

/*
 * Passes a message from the syncd to the router.
 */
static void
on_syncd_frame(const Ch__Frame *frame, void *arg)
{
	router_on_syncd_frame(((struct process *)arg)->router, frame);
}

/*
 * Tells the router that the syncd has connected.
 */
static void
on_syncd_up(void *arg)
{
	router_on_syncd_up(((struct process *)arg)->router);
}

/*
 * Ignores the loss of the syncd: its last known state stays in use.
 */
static void
on_syncd_down(void *arg)
{
	(void)arg;
}

static const struct syncd_client_ops syncd_client_callbacks = {on_config,
    on_view, on_instances, on_syncd_frame, on_syncd_up, on_syncd_down};

/*
 * Stops the event loop when the entries have read all queued output, or at the
 * flush deadline.
 */
static void
on_flush_timer(void *arg)
{
	struct process *p = arg;
	int64_t now = loop_now(p->proc->loop);
	size_t queued = 0;

	for (struct entry_link *e = p->entries; e != NULL; e = e->next)
		queued += link_queued_bytes(e->link);
	if (queued == 0 || now >= p->flush_deadline) {
		log_event(EV_STOPPED, "unread_bytes=%zu", queued);
		loop_stop(p->proc->loop);
		return;
	}
	loop_timer_set(p->flush_timer, now + FLUSH_POLL_USEC);
}

/*
 * Starts flushing the output to the entries after the router has drained.
 */
static void
on_drained(void *arg)
{
	struct process *p = arg;

	p->flush_deadline = loop_now(p->proc->loop) + FLUSH_TIMEOUT_USEC;
	loop_timer_set(p->flush_timer, 0);
}

/*
 * Returns the state of the process as a JSON object.
 */
static json_t *
dump(void *arg)
{
	struct process *p = arg;
	json_t *state = router_dump(p->router);

	json_object_set_new(
	    state, "syncd", syncd_client_dump(p->syncd.syncd_client));
	return state;
}

/*
 * Returns whether the router accepts requests.
 */
static bool
ready(void *arg)
{
	return router_is_ready(((struct process *)arg)->router);
}

/*
 * Starts the graceful shutdown.
 */
static void
drain(void *arg)
{
	router_drain(((struct process *)arg)->router);
}

/*
 * Listens for entries and stores the address that they connect to.
 */
static enum status
listen_for_entries(struct process *p)
{
	const char *listen = settings_get(settings, "listen")->text;
	enum status status = link_listen(
	    &p->proc->links, listen, &link_callbacks, p, &p->listener);

	if (status != STATUS_OK)
		return status;
	snprintf(p->address, sizeof(p->address), "%.*s:%u",
	    (int)(strrchr(listen, ':') - listen), listen,
	    link_listener_port(p->listener));
	return STATUS_OK;
}

/*
 * Creates the router from the settings.
 */
static enum status
create_router(struct process *p)
{
	struct router_config config = {.loop = p->proc->loop,
	    .engine = p->engine,
	    .plain = p->plain,
	    .syncd = &p->syncd.base,
	    .node = p->proc->hello.node,
	    .place = p->proc->hello.place,
	    .boot = p->proc->hello.boot,
	    .address = p->address,
	    .on_drained = on_drained,
	    .arg = p};

	randombytes_buf(&config.seed, sizeof(config.seed));
	config.replica_concurrency =
	    (uint32_t)settings_get(settings, "replica-concurrency")->number;
	config.queue_max = (size_t)settings_get(settings, "queue-max")->number;
	config.jobs_max_bytes = p->proc->account.limit;
	config.token_timeout_usec =
	    settings_get(settings, "token-timeout-ms")->number *
	    LOOP_USEC_PER_MSEC;
	config.load_interval_usec =
	    settings_get(settings, "engine-load-interval-ms")->number *
	    LOOP_USEC_PER_MSEC;
	return router_create(&config, &p->router);
}

/*
 * Creates all components of the process in the order of their dependencies.
 */
static enum status
start(struct process *p)
{
	struct loop *loop = p->proc->loop;
	enum status status = fetch_create(loop, &p->fetch);

	p->syncd.base.vtable = &syncd_vtable;
	if (status == STATUS_OK)
		status = engine_http_create(loop, p->fetch, &p->engine);
	if (status == STATUS_OK)
		status = plain_http_create(loop, p->fetch, &p->plain);
	if (status == STATUS_OK)
		status =
		    loop_timer_create(loop, on_flush_timer, p, &p->flush_timer);
	if (status == STATUS_OK)
		status = listen_for_entries(p);
	if (status == STATUS_OK)
		status = create_router(p);
	if (status == STATUS_OK)
		status = syncd_client_create(&p->proc->links,
		    settings_get(settings, "syncd-address")->text,
		    &syncd_client_callbacks, p, &p->syncd.syncd_client);
	return status;
}

/*
 * Frees all components of the process; open calls end without an outcome.
 */
static void
stop(struct process *p)
{
	syncd_client_destroy(p->syncd.syncd_client);
	p->syncd.syncd_client = NULL;
	router_destroy(p->router);
	while (p->entries != NULL) {
		struct entry_link *entry = p->entries;

		p->entries = entry->next;
		link_detach(entry->link);
		link_close(entry->link, STATUS_CLOSED);
		free(entry);
	}
	link_listener_destroy(p->listener);
	loop_timer_destroy(p->flush_timer);
	if (p->plain != NULL)
		p->plain->vtable->destroy(p->plain);
	if (p->engine != NULL)
		p->engine->vtable->destroy(p->engine);
	fetch_destroy(p->fetch);
	/*
	 * Closed links free themselves in the next iteration of the event loop.
	 */
	loop_run_once(p->proc->loop, 0);
}

/*
 * Announces the address of the process after its ports are open.
 */
static enum status
announce_address(const struct process *p)
{
	char addresses[ADDRESS_TEXT_MAX + sizeof("frames=")];

	snprintf(addresses, sizeof(addresses), "frames=%s", p->address);
	return proc_report_started(p->proc, addresses);
}

/*
 * Runs the router of a node until it is told to stop.
 */
int
main(int argc, char **argv)
{
	static struct proc_ops ops = {dump, ready, drain};
	struct process process = {0};
	enum status status;
	int code = proc_parse_settings(settings, PROGRAM,
	    "Routes requests to replicas: admission, queues, scheduling, "
	    "pipelines.",
	    &argc, &argv);

	if (code >= 0)
		return code;
	status = proc_create(
	    settings, PROGRAM, CH__ROLE__ROLE_ROUTER, &ops, &process.proc);
	if (status == STATUS_OK) {
		proc_set_arg(process.proc, &process);
		status = start(&process);
	}
	if (status == STATUS_OK)
		status = announce_address(&process);
	if (status == STATUS_OK)
		loop_run(process.proc->loop);
	else
		log_event(EV_START_FAILED, "%s", status_message());
	if (process.proc != NULL)
		stop(&process);
	proc_destroy(process.proc);
	settings_free(settings);
	return status == STATUS_OK ? PROC_EXIT_OK : PROC_EXIT_FAILED;
}
