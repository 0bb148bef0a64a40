#include <malloc.h>
#include <sys/resource.h>

#include <glib.h>

#include "node_priv.h"
#include "slog.h"

#define BYTES_PER_MB ((size_t)1000 * 1000)
/* Share of the memory for callers. The rest is for the program, its tables of
 * servers, peers and the configuration, and the allocator's overhead. */
#define CALLERS_MEMORY_SHARE 0.5
/* Descriptors that the platform reserves for files, and those for the store,
 * datagrams, listeners, orders and reports. */
#define FILE_DESCRIPTORS 200
#define OWN_DESCRIPTORS 16
/* Share of the remaining descriptors for each of the node's own services, with
 * bounds: a lookup or a check takes milliseconds. */
#define SERVICE_SHARE 16
#define SERVICE_MIN 4
#define SERVICE_MAX 256
#define SERVICE_COUNT 3
/* Each caller may need a connection to a server. In addition, one idle
 * connection to a server, or that of an attempt that was given up, is kept for
 * this many callers, as long as these use no
 * more than a part of the memory; each takes about 10 KB. */
#define CALLERS_PER_IDLE 4
#define IDLE_MEMORY_SHARE 16
#define IDLE_CONNECTION_BYTES ((size_t)10 * 1000)
#define CALLERS_MIN 8
/* Ended requests are freed at the next tick, up to this many for each
 * connection. */
#define REQUESTS_PER_CALLER 4
/* Larger allocations are returned to the system when they are freed. The
 * allocator would raise this threshold when it frees a large one. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)
#define REPORT_INTERVAL_USEC (1 * LOOP_USEC_PER_SEC)

/*
 * Returns the process's limit of descriptors: the setting, but not more than
 * the kernel's soft limit.
 */
static int64_t
descriptor_limit(const struct node *node)
{
	struct rlimit limit;
	int64_t soft = INT64_MAX;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < (rlim_t)INT64_MAX)
		soft = (int64_t)limit.rlim_cur;
	return node->settings.descriptors > 0
	    ? MIN(node->settings.descriptors, soft)
	    : soft;
}

/*
 * Derives the limits of callers from the settings.
 */
void
node_init_caller_limits(struct node *node)
{
	struct caller_limits *limits = &node->caller_limits;
	int64_t left;

	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	account_init(&node->account,
	    (size_t)((double)node->settings.memory_mb * CALLERS_MEMORY_SHARE *
		(double)BYTES_PER_MB));
	h1_set_account(node->h1, &node->account);
	limits->descriptors = descriptor_limit(node);
	left = MIN(limits->descriptors, (int64_t)LOOP_WATCH_MAX) -
	    FILE_DESCRIPTORS - OWN_DESCRIPTORS;
	left = MAX(left, 0);
	limits->service = (size_t)CLAMP(
	    left / SERVICE_SHARE, (int64_t)SERVICE_MIN, (int64_t)SERVICE_MAX);
	left -= (int64_t)limits->service * SERVICE_COUNT;
	limits->front =
	    (size_t)MAX(left * CALLERS_PER_IDLE / (2 * CALLERS_PER_IDLE + 1),
		(int64_t)CALLERS_MIN);
	limits->idle = MIN(limits->front / CALLERS_PER_IDLE,
	    node->account.limit / IDLE_MEMORY_SHARE / IDLE_CONNECTION_BYTES);
	limits->requests = limits->front * REQUESTS_PER_CALLER;
}

/*
 * Limits and observes the connections of the listeners.
 */
void
node_set_listener_limits(struct node *node)
{
	const struct caller_limits *limits = &node->caller_limits;

	h1_listener_set_max(
	    node->front, limits->front, gateway_refuse_unfinished);
	h1_listener_set_observer(node->front, gateway_note_closed);
	h1_listener_set_max(node->ready, limits->service, NULL);
	h1_listener_set_max(node->lookup, limits->service, NULL);
	if (node->metrics != NULL)
		h1_listener_set_max(node->metrics, limits->service, NULL);
}

/*
 * Logs how many connections and requests have given way since the last event,
 * at most once a second.
 */
void
node_report_callers(struct node *node)
{
	struct caller_report *last = &node->caller_report;
	const struct h1_counts *counts = h1_counts(node->h1);
	uint64_t requests = gateway_counts(node->gateway)->no_memory;
	int64_t now = loop_now(node->loop);

	if (now - last->at < REPORT_INTERVAL_USEC ||
	    (counts->connections_dropped == last->connections &&
		counts->connections_refused == last->refused &&
		requests == last->requests))
		return;
	slog_event(EV_CALLERS_DROPPED,
	    "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "connections",
	    (json_int_t)(counts->connections_dropped - last->connections),
	    "requests", (json_int_t)(requests - last->requests), "refused",
	    (json_int_t)(counts->connections_refused - last->refused), "open",
	    (json_int_t)h1_listener_count(node->front), "open_max",
	    (json_int_t)node->caller_limits.front, "memory",
	    (json_int_t)node->account.held, "memory_max",
	    (json_int_t)node->account.limit, "active",
	    (json_int_t)gateway_count_active(node->gateway));
	*last = (struct caller_report){counts->connections_dropped, requests,
	    counts->connections_refused, now};
}
