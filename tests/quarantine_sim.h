#ifndef CH_TEST_QUARANTINE_SIM_H
#define CH_TEST_QUARANTINE_SIM_H

#include <math.h>
#include <string.h>

#include <glib.h>

#include "quarantine.h"

/*
 * Simulates a fleet of nodes in front of servers, on a clock of its own.
 * Requests share the first part of their prompt, some also a second one. A
 * request with a deadly part ends its server when it begins to write. Besides,
 * servers end for other reasons, connections are reset, reports between nodes
 * are late or lost, and nodes start again without what they knew.
 */
#define SIM_NODES_MAX 295
#define SIM_SERVERS 40
#define SIM_REQUESTS_MAX 8192
#define SIM_REPORTS_MAX 65536
#define SIM_PEERS_MAX 26
#define SIM_FIRST_PARTS 40
#define SIM_SECOND_PARTS 200
#define SIM_STEP_USEC ((int64_t)10000)
#define SIM_SECOND_USEC ((int64_t)1000000)
#define SIM_REPORT_USEC ((int64_t)200000)
#define SIM_URGENT_USEC ((int64_t)50000)
#define SIM_DOWN_USEC (3 * SIM_SECOND_USEC)
/* Age of a process from which the users' rules hold for a node. */
#define SIM_CONTACT_USEC (3 * SIM_SECOND_USEC)
/* The node begins 1,000 s after the start of its clock. */
#define SIM_START_USEC (1000 * SIM_SECOND_USEC)

struct sim_load {
	uint32_t nodes;
	double requests_per_sec;
	/* Share of the requests with a deadly part, from the given time on. */
	double deadly_share;
	int64_t deadly_from;
	/* Index of the deadly part in its prompts, 0 or 1; whether sound
	 * requests had it before it became deadly. */
	uint32_t deadly_depth;
	bool was_sound;
	/* Servers that end for other reasons, connections that are reset before
	 * the answer begins, and nodes that start again. */
	double crashes_per_sec;
	double resets;
	double restarts_per_sec;
};

struct sim_request {
	bool used;
	bool deadly;
	uint32_t id;
	uint32_t node;
	uint32_t server;
	uint32_t process;
	uint64_t parts[2];
	size_t count;
	int64_t sent_at;
	int64_t writes_at;
	int64_t ends_at;
	bool sound;
	uint32_t sends;
};

struct sim_report {
	int64_t at;
	uint32_t to;
	size_t count;
	struct quarantine_row *rows;
};

struct sim_node {
	struct quarantine *quarantine;
	uint32_t peers[SIM_PEERS_MAX];
	uint32_t peer_count;
	int64_t started_at;
	int64_t report_at;
	uint64_t sequence;
};

struct sim {
	struct sim_load load;
	GRand *rand;
	int64_t now;
	struct sim_node nodes[SIM_NODES_MAX];
	/* When each server is up again, and the number of its processes. */
	int64_t up_at[SIM_SERVERS];
	uint32_t process[SIM_SERVERS];
	/* Those from top on are not used. */
	struct sim_request requests[SIM_REQUESTS_MAX];
	size_t top;
	GPtrArray *reports;
	uint32_t next_id;
	/* Servers that deadly requests ended, the time of the fifth, and the
	 * requests that nodes in touch sent later than the allowed time after
	 * it. */
	uint32_t deadly_crashes;
	int64_t fifth_at;
	uint32_t sent_after_fifth;
	/* Sound requests, and those that were refused. */
	uint32_t sound_requests;
	uint32_t sound_refused;
	/* When all nodes refused the deadly part for the first time. */
	int64_t known_to_all_at;
	uint32_t reports_sent;
	uint32_t rows_sent;
};

static inline bool
sim_chance(struct sim *sim, double probability)
{
	return g_rand_double(sim->rand) < probability;
}

static inline int64_t
sim_between(struct sim *sim, int64_t from, int64_t to)
{
	return from + (int64_t)(g_rand_double(sim->rand) * (double)(to - from));
}

/*
 * Returns the deadly part.
 */
static inline uint64_t
sim_deadly_part(const struct sim *sim)
{
	return sim->load.deadly_depth == 0 ? 7 : 1007;
}

static inline void
sim_init(struct sim *sim, const struct sim_load *load, uint32_t seed)
{
	memset(sim, 0, sizeof(*sim));
	sim->load = *load;
	sim->rand = g_rand_new_with_seed(seed);
	sim->now = SIM_START_USEC;
	sim->reports = g_ptr_array_new();
	for (uint32_t n = 0; n < load->nodes; n++) {
		struct sim_node *node = &sim->nodes[n];

		node->quarantine = quarantine_new(NULL, NULL);
		node->report_at =
		    sim_between(sim, sim->now, sim->now + SIM_REPORT_USEC);
		for (uint32_t i = 1;
		     i < load->nodes && node->peer_count < SIM_PEERS_MAX; i++)
			node->peers[node->peer_count++] =
			    load->nodes <= SIM_PEERS_MAX
			    ? (n + i) % load->nodes
			    : (uint32_t)g_rand_int_range(
				  sim->rand, 0, (gint)load->nodes);
	}
}

static inline void
sim_destroy(struct sim *sim)
{
	for (uint32_t n = 0; n < sim->load.nodes; n++)
		quarantine_free(sim->nodes[n].quarantine);
	for (guint i = 0; i < sim->reports->len; i++) {
		struct sim_report *report = g_ptr_array_index(sim->reports, i);

		g_free(report->rows);
		g_free(report);
	}
	g_ptr_array_free(sim->reports, TRUE);
	g_rand_free(sim->rand);
}

/*
 * Sends a request to a server that is up; without one it is over.
 */
static inline void
sim_send(struct sim *sim, struct sim_request *request)
{
	const struct sim_node *node = &sim->nodes[request->node];
	uint32_t server = (uint32_t)g_rand_int_range(sim->rand, 0, SIM_SERVERS);

	for (uint32_t i = 0; i < SIM_SERVERS && sim->up_at[server] > sim->now;
	     i++)
		server = (server + 1) % SIM_SERVERS;
	request->used = sim->up_at[server] <= sim->now;
	if (!request->used)
		return;
	request->server = server;
	request->process = sim->process[server];
	request->sent_at = sim->now;
	request->writes_at = sim->now + sim_between(sim, 50000, 400000);
	request->ends_at =
	    request->writes_at + sim_between(sim, 500000, 2000000);
	request->sends++;
	if (request->deadly && sim->fifth_at != 0 &&
	    sim->now - sim->fifth_at > SIM_CONTACT_USEC &&
	    sim->now - node->started_at > SIM_CONTACT_USEC)
		sim->sent_after_fifth++;
}

/*
 * Lets one request arrive at a node.
 */
static inline void
sim_arrive(struct sim *sim)
{
	struct sim_request *request = NULL;
	bool deadly_time = sim->now >= sim->load.deadly_from;
	struct sim_node *node;
	enum quarantine_verdict verdict;

	while (sim->top > 0 && !sim->requests[sim->top - 1].used)
		sim->top--;
	for (size_t i = 0; request == NULL && i < SIM_REQUESTS_MAX; i++) {
		if (!sim->requests[i].used)
			request = &sim->requests[i];
	}
	if (request == NULL)
		return;
	sim->top = MAX(sim->top, (size_t)(request - sim->requests) + 1);
	memset(request, 0, sizeof(*request));
	request->id = ++sim->next_id;
	request->node =
	    (uint32_t)g_rand_int_range(sim->rand, 0, (gint)sim->load.nodes);
	node = &sim->nodes[request->node];
	/* Few first parts are common, most are rare. */
	request->parts[0] =
	    (uint64_t)(SIM_FIRST_PARTS * pow(g_rand_double(sim->rand), 3));
	request->parts[1] =
	    1000 + (uint64_t)g_rand_int_range(sim->rand, 0, SIM_SECOND_PARTS);
	request->count = sim_chance(sim, 0.5) ? 2 : 1;
	if (sim_chance(sim, sim->load.deadly_share) &&
	    (deadly_time || sim->load.was_sound)) {
		request->parts[sim->load.deadly_depth] = sim_deadly_part(sim);
		request->count =
		    MAX(request->count, (size_t)sim->load.deadly_depth + 1);
	} else if (request->parts[sim->load.deadly_depth] ==
		sim_deadly_part(sim) &&
	    request->count > sim->load.deadly_depth) {
		request->parts[sim->load.deadly_depth]++;
	}
	request->deadly = deadly_time &&
	    (request->parts[0] == sim_deadly_part(sim) ||
		(request->count > 1 &&
		    request->parts[1] == sim_deadly_part(sim)));
	verdict = quarantine_check(
	    node->quarantine, request->parts, request->count, sim->now);
	sim->sound_requests += !request->deadly;
	if (verdict == QUARANTINE_REFUSE) {
		sim->sound_refused += !request->deadly;
		return;
	}
	sim_send(sim, request);
}

/*
 * Cuts a request. It is sent again once unless one of its parts is suspected.
 */
static inline void
sim_cut(struct sim *sim, struct sim_request *request)
{
	struct sim_node *node = &sim->nodes[request->node];

	request->used = false;
	if (!request->sound) {
		quarantine_note_crash(node->quarantine, request->parts,
		    request->count, request->server << 16 | request->process,
		    request->id, sim->now);
		node->report_at =
		    MIN(node->report_at, sim->now + SIM_URGENT_USEC);
	}
	if (request->sends < 2 &&
	    (request->sound ||
		quarantine_check(node->quarantine, request->parts,
		    request->count, sim->now) == QUARANTINE_PASS))
		sim_send(sim, request);
}

/*
 * Ends a server, which cuts its requests.
 */
static inline void
sim_crash(struct sim *sim, uint32_t server)
{
	uint32_t process = sim->process[server];

	sim->up_at[server] = sim->now + SIM_DOWN_USEC;
	sim->process[server]++;
	for (size_t i = 0; i < sim->top; i++) {
		struct sim_request *request = &sim->requests[i];

		if (request->used && request->server == server &&
		    request->process == process)
			sim_cut(sim, request);
	}
}

/*
 * Lets a request begin to write, come through or end.
 */
static inline void
sim_progress(struct sim *sim, struct sim_request *request)
{
	struct sim_node *node = &sim->nodes[request->node];

	if (request->sound) {
		request->used = sim->now < request->ends_at;
		return;
	}
	if (sim->now < request->writes_at)
		return;
	if (request->deadly) {
		if (++sim->deadly_crashes == 5)
			sim->fifth_at = sim->now;
		sim_crash(sim, request->server);
		return;
	}
	if (sim_chance(sim, sim->load.resets)) {
		sim_cut(sim, request);
		return;
	}
	request->sound = true;
	quarantine_note_alive(node->quarantine,
	    request->server << 16 | request->process, request->sent_at,
	    sim->now);
	if (quarantine_note_sound(
		node->quarantine, request->parts, request->count, sim->now))
		node->report_at =
		    MIN(node->report_at, sim->now + SIM_URGENT_USEC);
}

/*
 * Sends a node's report to its peers; one in twenty is lost.
 */
static inline void
sim_report(struct sim *sim, struct sim_node *node)
{
	struct quarantine_row rows[QUARANTINE_ROWS_MAX];
	size_t count = quarantine_fill(node->quarantine, ++node->sequence,
	    sim->now, rows, QUARANTINE_ROWS_MAX);

	node->report_at = sim->now + SIM_REPORT_USEC;
	sim->reports_sent++;
	sim->rows_sent += (uint32_t)count;
	for (uint32_t i = 0; count > 0 && i < node->peer_count; i++) {
		struct sim_report *report;

		if (sim_chance(sim, 0.05))
			continue;
		report = g_new0(struct sim_report, 1);
		report->at = sim->now + sim_between(sim, 1000, 30000);
		report->to = node->peers[i];
		report->count = count;
		report->rows = g_memdup2(rows, count * sizeof(rows[0]));
		g_ptr_array_add(sim->reports, report);
	}
}

/*
 * Delivers the reports that have arrived.
 */
static inline void
sim_deliver(struct sim *sim)
{
	for (guint i = 0; i < sim->reports->len;) {
		struct sim_report *report = g_ptr_array_index(sim->reports, i);

		if (report->at > sim->now) {
			i++;
			continue;
		}
		quarantine_merge(sim->nodes[report->to].quarantine,
		    report->rows, report->count, sim->now);
		g_free(report->rows);
		g_free(report);
		g_ptr_array_remove_index_fast(sim->reports, i);
	}
}

/*
 * Starts a node again: it forgets its evidence and its requests are over.
 */
static inline void
sim_restart(struct sim *sim, uint32_t n)
{
	struct sim_node *node = &sim->nodes[n];

	quarantine_free(node->quarantine);
	node->quarantine = quarantine_new(NULL, NULL);
	node->started_at = sim->now;
	for (size_t i = 0; i < sim->top; i++) {
		if (sim->requests[i].node == n)
			sim->requests[i].used = false;
	}
}

/*
 * Returns whether all nodes refuse the deadly part.
 */
static inline bool
sim_all_know(const struct sim *sim)
{
	const uint64_t part = sim_deadly_part(sim);

	for (uint32_t n = 0; n < sim->load.nodes; n++) {
		if (quarantine_check(sim->nodes[n].quarantine, &part, 1,
			sim->now) != QUARANTINE_REFUSE)
			return false;
	}
	return true;
}

static inline void
sim_step(struct sim *sim)
{
	double step = (double)SIM_STEP_USEC / (double)SIM_SECOND_USEC;
	double expected = sim->load.requests_per_sec * step;

	sim->now += SIM_STEP_USEC;
	for (; sim_chance(sim, expected); expected -= 1)
		sim_arrive(sim);
	if (sim_chance(sim, sim->load.crashes_per_sec * step))
		sim_crash(
		    sim, (uint32_t)g_rand_int_range(sim->rand, 0, SIM_SERVERS));
	if (sim_chance(sim, sim->load.restarts_per_sec * step))
		sim_restart(sim,
		    (uint32_t)g_rand_int_range(
			sim->rand, 0, (gint)sim->load.nodes));
	for (size_t i = 0; i < sim->top; i++) {
		if (sim->requests[i].used)
			sim_progress(sim, &sim->requests[i]);
	}
	for (uint32_t n = 0; n < sim->load.nodes; n++) {
		quarantine_tick(sim->nodes[n].quarantine, sim->now);
		if (sim->nodes[n].report_at <= sim->now)
			sim_report(sim, &sim->nodes[n]);
	}
	sim_deliver(sim);
	if (sim->known_to_all_at == 0 && sim->deadly_crashes > 0 &&
	    sim_all_know(sim))
		sim->known_to_all_at = sim->now;
}

static inline void
sim_run(struct sim *sim, int64_t usec)
{
	int64_t end = sim->now + usec;

	while (sim->now < end)
		sim_step(sim);
}

#endif
