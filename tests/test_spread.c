#include <math.h>
#include <string.h>

#include <glib.h>

#include "harness.h"
#include "neighbours.h"
#include "node_engine.h"
#include "path_priv.h"
#include "pool.h"
#include "spread.h"

/*
 * Nodes that choose servers from late, lost and sampled reports of each other.
 * The pools, the searches, the selection of recipients and the sums of use are
 * those of the product; only servers, clock and delivery are replaced.
 */

#define TICK_USEC ((int64_t)5000)
#define REPORT_USEC ((int64_t)200000)
#define WARM_USEC (8 * LOOP_USEC_PER_SEC)
#define RUN_USEC (20 * LOOP_USEC_PER_SEC)
#define SAMPLE_USEC ((int64_t)400000)
#define PLAIN_SLOTS 6
#define KINDS 3
#define NODES_MAX 300
#define SERVERS_MAX 340
#define LOST 0.02
/* How long a request waits for a server, and how often it is tried. */
#define WAIT_USEC ((int64_t)500000)
#define RETRY_USEC ((int64_t)20000)
#define SENDS_MAX 3
/* Runs of each load, and the differences between such runs that are noise:
 * share of requests without a server, and factor of their time. */
#define SEEDS 2
#define UNSERVED_MORE 0.005
#define TIME_LONGER 1.02
#define DEVIATION_MORE 1.05

struct setup {
	int nodes;
	int places;
	/* Servers of each kind that hold the same layers in a place, or plain
	 * servers of a place. */
	int copies;
	/* Requests per second and server. */
	double rate;
	bool plain;
};

/* What the nodes know: reports, used as before or with the effect of spread.h,
 * or the present truth. */
enum knowledge {
	REPORTS,
	SPREAD,
	FRESH
};

struct outcome {
	/* Requests, sends refused for lack of capacity, and requests that found
	 * no server in time. */
	double requests;
	double refused;
	double unserved;
	/* Means: share of memory in use, its deviation among servers of one
	 * kind, its change within 0.4 s, and the expected time of requests. */
	double use;
	double deviation;
	double swing;
	double time_usec;
};

struct job {
	int64_t end;
	int node;
	int64_t tokens;
	struct path path;
};

/* A request that no server has taken. */
struct waiting {
	int64_t arrived_at;
	int node;
	struct path_demand demand;
};

/* What one node reports of its use. */
struct report {
	int references;
	guint count;
	struct pool_use uses[SERVERS_MAX];
	/* Remaining time of servers without capacity. */
	int64_t full[SERVERS_MAX];
};

struct delivery {
	int64_t at;
	int from;
	struct report *report;
};

struct sim_node {
	struct pool *pool;
	GPtrArray *servers;
	struct pool_server *by_index[SERVERS_MAX];
	const char *place;
	char name[16];
	int recipients[NODES_MAX];
	size_t recipient_count;
	uint64_t sequence;
	int64_t next_report;
	GArray *inbox;
	/* Last report of each peer and when it came. */
	struct report *heard[NODES_MAX];
	int64_t heard_at[NODES_MAX];
	bool stale;
};

struct sim {
	const struct setup *setup;
	enum knowledge knowledge;
	struct engine_fixture engine;
	GRand *rand;
	struct sim_node *nodes;
	struct path_server truth[SERVERS_MAX];
	int kind[SERVERS_MAX];
	int server_count;
	struct path_server rows[SERVERS_MAX];
	GArray *jobs;
	/* struct waiting. */
	GArray *queue;
	double earlier[SERVERS_MAX];
	struct outcome sum;
	double samples;
};

static const char *const kinds[KINDS] = {"a100", "v100", "l4"};

/*
 * Frees a report once no one refers to it.
 */
static void
unref_report(struct report *report)
{
	if (report != NULL && --report->references == 0)
		g_free(report);
}

/*
 * Adds a server; of an engine, it holds a range of layers.
 */
static void
add_server(struct sim *sim, int place, int kind, uint32_t from, uint32_t to)
{
	const struct fleet_engine *engine = sim->engine.engine;
	const struct fleet_kind_info *info =
	    fleet_engine_kind(engine, kinds[kind]);

	sim->kind[sim->server_count] = place * KINDS + kind;
	sim->truth[sim->server_count++] =
	    (struct path_server){.zone = engine_places[place],
		.layer_from = from,
		.layer_to = to,
		.step_factor = info->step_factor,
		.prefill_factor = info->prefill_factor,
		.slowness = 1,
		.memory = sim->setup->plain
		    ? PLAIN_SLOTS
		    : path_server_memory(engine, info, to - from),
		.first_active_max = engine->batch_max,
		.usable = true};
}

/*
 * Places plain servers, or engine servers so that in every data centre those of
 * each kind hold all layers.
 */
static void
place_servers(struct sim *sim)
{
	static const uint32_t held[KINDS] = {20, 5, 10};

	for (int i = 0; i < sim->setup->places * sim->setup->copies; i++) {
		int place = i % sim->setup->places;

		if (sim->setup->plain) {
			add_server(sim, place, 0, 0, 1);
			continue;
		}
		for (int kind = 0; kind < KINDS; kind++)
			for (uint32_t from = 0; from < ENGINE_LAYERS;
			     from += held[kind])
				add_server(
				    sim, place, kind, from, from + held[kind]);
	}
}

/*
 * Creates a node that knows all servers.
 */
static void
create_node(struct sim *sim, int n)
{
	struct sim_node *node = &sim->nodes[n];

	node->pool = pool_new();
	node->pool->spread_seed = g_rand_int(sim->rand);
	if (sim->knowledge == REPORTS)
		node->pool->spread_strength = 0;
	node->place = engine_places[n % sim->setup->places];
	snprintf(node->name, sizeof(node->name), "n-%03d", n);
	node->inbox = g_array_new(FALSE, FALSE, sizeof(struct delivery));
	node->next_report =
	    (int64_t)(g_rand_double(sim->rand) * (double)REPORT_USEC);
	node->servers = g_ptr_array_new();
	for (int i = 0; i < sim->server_count; i++) {
		struct fleet_server info = {.id = g_strdup_printf("s-%03d", i),
		    .service = g_strdup("s"),
		    .address_text = g_strdup_printf("10.0.0.1:%d", i + 1),
		    .zone = g_strdup(sim->truth[i].zone),
		    .kind = sim->setup->plain
			? NULL
			: g_strdup(kinds[sim->kind[i] % KINDS]),
		    .layer_from = sim->truth[i].layer_from,
		    .layer_to = sim->truth[i].layer_to,
		    .slots = PLAIN_SLOTS,
		    .born = 1};
		bool is_new;

		node->by_index[i] = pool_put(node->pool, &info, 0, &is_new);
		g_ptr_array_add(node->servers, node->by_index[i]);
	}
}

/*
 * Selects the nodes that get the reports of a node.
 */
static void
select_recipients(struct sim *sim, int n)
{
	struct neighbours_node peers[NODES_MAX];
	void *out[NODES_MAX];
	size_t count = 0;

	for (int i = 0; i < sim->setup->nodes; i++)
		if (i != n)
			peers[count++] =
			    (struct neighbours_node){sim->nodes[i].name,
				sim->nodes[i].place, &sim->nodes[i]};
	sim->nodes[n].recipient_count = neighbours_select(
	    peers, count, sim->nodes[n].name, sim->nodes[n].place, out);
	for (size_t i = 0; i < sim->nodes[n].recipient_count; i++)
		sim->nodes[n].recipients[i] =
		    (int)((struct sim_node *)out[i] - sim->nodes);
}

/*
 * Sends a node's report: late by up to 10 ms, and up to 60 ms to another data
 * centre, which gets one in three.
 */
static void
send_report(struct sim *sim, int n, int64_t now)
{
	struct sim_node *node = &sim->nodes[n];
	struct report *report = g_new0(struct report, 1);

	report->references = 1;
	for (int i = 0; i < sim->server_count; i++) {
		report->uses[i] = node->by_index[i]->own;
		report->full[i] = node->by_index[i]->full_until - now;
	}
	node->sequence++;
	for (size_t i = 0; i < node->recipient_count; i++) {
		struct sim_node *to = &sim->nodes[node->recipients[i]];
		bool local = strcmp(to->place, node->place) == 0;
		struct delivery delivery = {now, n, report};

		if ((!local && node->sequence % 3 != 0) ||
		    g_rand_double(sim->rand) < LOST)
			continue;
		delivery.at += (int64_t)(g_rand_double(sim->rand) *
		    (local ? 10000 : 60000));
		report->references++;
		g_array_append_val(to->inbox, delivery);
	}
	unref_report(report);
}

/*
 * The sums of sum_uses() in gossip.c.
 */
static void
sum_reports(struct sim *sim, struct sim_node *node, int64_t now)
{
	uint32_t heard[ENGINE_PLACES] = {0};
	uint32_t live[ENGINE_PLACES] = {0};

	pool_clear_peers_use(node->pool);
	for (int i = 0; i < sim->setup->nodes; i++) {
		int p = i % sim->setup->places;

		live[p] += &sim->nodes[i] != node;
		heard[p] += node->heard[i] != NULL &&
		    now - node->heard_at[i] <= POOL_PEER_USE_USEC;
	}
	for (int i = 0; i < sim->setup->nodes; i++) {
		int p = i % sim->setup->places;
		double scale;

		if (node->heard[i] == NULL ||
		    now - node->heard_at[i] > POOL_PEER_USE_USEC)
			continue;
		scale = spread_scale(heard[p], live[p]);
		for (int k = 0; k < sim->server_count; k++) {
			const struct pool_use *use = &node->heard[i]->uses[k];

			if (use->active == 0)
				continue;
			pool_add_peers_use(node->by_index[k], use, scale);
			pool_date_peers_use(
			    node->by_index[k], use, node->heard_at[i]);
		}
	}
	pool_finish_peers_use(node->pool);
	node->stale = false;
}

/*
 * Receives the reports that have arrived.
 */
static void
receive(struct sim *sim, struct sim_node *node, int64_t now)
{
	for (guint i = 0; i < node->inbox->len;) {
		struct delivery *delivery =
		    &g_array_index(node->inbox, struct delivery, i);

		if (delivery->at > now) {
			i++;
			continue;
		}
		unref_report(node->heard[delivery->from]);
		node->heard[delivery->from] = delivery->report;
		node->heard_at[delivery->from] = now;
		for (int k = 0; k < sim->server_count; k++)
			if (delivery->report->full[k] > 0)
				node->by_index[k]->peer_full_until =
				    now + delivery->report->full[k];
		node->stale = true;
		g_array_remove_index_fast(node->inbox, i);
	}
}

/*
 * What fresh information would be: the true use, without that of the node.
 */
static void
learn_truth(struct sim *sim, struct sim_node *node, int64_t now)
{
	pool_clear_peers_use(node->pool);
	for (int i = 0; i < sim->server_count; i++) {
		struct pool_server *server = node->by_index[i];

		server->peers.memory = sim->truth[i].used - server->own.memory;
		server->peers.active =
		    sim->truth[i].active - server->own.active;
		server->peers.first_active =
		    sim->truth[i].first_active - server->own.first_active;
		pool_date_peers_use(server, &server->peers, now);
	}
	pool_finish_peers_use(node->pool);
}

/*
 * Adds (sign 1) or removes (sign -1) the load of a request.
 */
static void
add_load(struct sim *sim, const struct job *job, int sign)
{
	struct sim_node *node = &sim->nodes[job->node];

	for (uint32_t i = 0; i < job->path.count; i++) {
		const struct path_stage *stage = &job->path.stages[i];
		struct path_server *row = &sim->truth[stage->server];
		struct pool_use *own = &node->by_index[stage->server]->own;
		int64_t memory =
		    sign * job->tokens * (stage->layer_to - stage->layer_from);

		row->used += memory;
		row->active += (uint32_t)sign;
		own->memory += memory;
		own->active += (uint32_t)sign;
		if (i == 0) {
			row->first_active += (uint32_t)sign;
			own->first_active += (uint32_t)sign;
		}
	}
}

/*
 * Returns the first server of the path without memory for the request, or -1.
 */
static int
full_server(const struct sim *sim, const struct job *job)
{
	for (uint32_t i = 0; i < job->path.count; i++) {
		const struct path_stage *stage = &job->path.stages[i];
		const struct path_server *row = &sim->truth[stage->server];

		if (row->used +
			job->tokens * (stage->layer_to - stage->layer_from) >
		    row->memory)
			return (int)stage->server;
	}
	return -1;
}

/*
 * Chooses the servers of a request as gateway_stream.c and gateway_plain.c do.
 * Returns false if there are none.
 */
static bool
choose(struct sim *sim, struct sim_node *node, const struct path_demand *demand,
    const struct pool_server *except, int64_t now, struct path *path)
{
	const struct pool_server *server;
	uint32_t index = 0;

	if (!sim->setup->plain) {
		pool_path_table(node->servers, sim->engine.engine, now,
		    sim->rows, SERVERS_MAX);
		return path_find(sim->engine.engine, sim->rows,
			   (size_t)sim->server_count, demand,
			   path) == STATUS_OK;
	}
	server = pool_pick_plain(node->servers, node->place, except, now,
	    g_rand_int(sim->rand) & 0xffff);
	if (server == NULL)
		return false;
	while (node->by_index[index] != server)
		index++;
	path->count = 1;
	path->stages[0] = (struct path_stage){index, 0, 1};
	return true;
}

/*
 * Returns how long a request that was just sent takes, from the true load.
 */
static int64_t
duration(
    struct sim *sim, const struct path_demand *demand, const struct job *job)
{
	const struct fleet_engine *engine = sim->engine.engine;
	struct path path = job->path;
	struct path_search search;

	if (sim->setup->plain)
		return g_rand_int_range(sim->rand, 100000, 300000);
	path_search_begin(
	    &search, engine, sim->truth, (size_t)sim->server_count, demand);
	path_estimate(&search, &path);
	path_search_end(&search);
	return path.first_usec +
	    path.event_usec * demand->output_tokens / engine->stride;
}

/*
 * Sends a request, up to SENDS_MAX times while servers refuse it for lack of
 * capacity. Returns false if none took it.
 */
static bool
send_request(
    struct sim *sim, const struct waiting *request, int64_t now, bool counted)
{
	struct sim_node *node = &sim->nodes[request->node];
	const struct path_demand *demand = &request->demand;
	const struct pool_server *refused = NULL;
	struct job job = {.node = request->node,
	    .tokens = sim->setup->plain
		? 1
		: (int64_t)demand->prompt_tokens + demand->output_tokens};

	if (sim->knowledge == FRESH)
		learn_truth(sim, node, now);
	else if (node->stale)
		sum_reports(sim, node, now);
	for (int send = 0; send < SENDS_MAX; send++) {
		int full;

		if (!choose(sim, node, demand, refused, now, &job.path))
			return false;
		full = full_server(sim, &job);
		if (full < 0) {
			add_load(sim, &job, 1);
			job.end = now + duration(sim, demand, &job);
			if (counted)
				sim->sum.time_usec +=
				    (double)(job.end - request->arrived_at);
			g_array_append_val(sim->jobs, job);
			return true;
		}
		sim->sum.refused += counted;
		refused = node->by_index[full];
		if (sim->setup->plain)
			continue;
		pool_note_working(node->by_index[full], POOL_ANSWER, now);
		pool_note_full(node->by_index[full], now);
	}
	return false;
}

/*
 * Lets a request arrive at a random node. One of a generation waits if no
 * server takes it.
 */
static void
arrive(struct sim *sim, int64_t now, bool counted)
{
	int n = g_rand_int_range(sim->rand, 0, sim->setup->nodes);
	struct waiting request = {now, n,
	    {.prompt_tokens = (uint32_t)g_rand_int_range(sim->rand, 200, 1320),
		.output_tokens = (uint32_t)g_rand_int_range(sim->rand, 40, 400),
		.zone = sim->nodes[n].place}};

	sim->sum.requests += counted;
	if (send_request(sim, &request, now, counted))
		return;
	if (sim->setup->plain)
		sim->sum.unserved += counted;
	else
		g_array_append_val(sim->queue, request);
}

/*
 * Sends the requests that wait, in order, and gives up those that are late.
 */
static void
send_waiting(struct sim *sim, int64_t now, bool counted)
{
	for (guint i = 0; i < sim->queue->len;) {
		const struct waiting *request =
		    &g_array_index(sim->queue, struct waiting, i);
		bool late = now - request->arrived_at > WAIT_USEC;

		if (!late && !send_request(sim, request, now, counted)) {
			i++;
			continue;
		}
		sim->sum.unserved += late && counted;
		g_array_remove_index(sim->queue, i);
	}
}

/*
 * Adds the present use of the servers to the sums.
 */
static void
sample(struct sim *sim)
{
	double n[KINDS * ENGINE_PLACES] = {0};
	double sum[KINDS * ENGINE_PLACES] = {0};
	double squares[KINDS * ENGINE_PLACES] = {0};
	double deviation = 0;
	int groups = 0;

	for (int i = 0; i < sim->server_count; i++) {
		double use =
		    (double)sim->truth[i].used / (double)sim->truth[i].memory;
		int k = sim->kind[i];

		n[k]++;
		sum[k] += use;
		squares[k] += use * use;
		sim->sum.use += use / sim->server_count;
		sim->sum.swing +=
		    fabs(use - sim->earlier[i]) / sim->server_count;
		sim->earlier[i] = use;
	}
	for (int k = 0; k < KINDS * sim->setup->places; k++) {
		double mean = n[k] > 0 ? sum[k] / n[k] : 0;

		if (n[k] == 0)
			continue;
		groups++;
		deviation += sqrt(MAX(squares[k] / n[k] - mean * mean, 0));
	}
	sim->sum.deviation += deviation / groups;
	sim->samples++;
}

/*
 * Frees everything.
 */
static void
destroy(struct sim *sim)
{
	for (int n = 0; n < sim->setup->nodes; n++) {
		struct sim_node *node = &sim->nodes[n];

		for (guint i = 0; i < node->inbox->len; i++)
			unref_report(
			    g_array_index(node->inbox, struct delivery, i)
				.report);
		for (int i = 0; i < sim->setup->nodes; i++)
			unref_report(node->heard[i]);
		g_array_free(node->inbox, TRUE);
		g_ptr_array_free(node->servers, TRUE);
		pool_free(node->pool);
	}
	g_free(sim->nodes);
	g_array_free(sim->jobs, TRUE);
	g_array_free(sim->queue, TRUE);
	g_rand_free(sim->rand);
	fleet_engine_free(sim->engine.engine);
}

/*
 * Ends the requests whose time has come.
 */
static void
end_jobs(struct sim *sim, int64_t now)
{
	for (guint i = 0; i < sim->jobs->len;) {
		struct job *job = &g_array_index(sim->jobs, struct job, i);

		if (job->end > now) {
			i++;
			continue;
		}
		add_load(sim, job, -1);
		g_array_remove_index_fast(sim->jobs, i);
	}
}

/*
 * Receives and sends the reports that are due.
 */
static void
exchange_reports(struct sim *sim, int64_t now)
{
	for (int n = 0; n < sim->setup->nodes; n++) {
		struct sim_node *node = &sim->nodes[n];

		receive(sim, node, now);
		if (now < node->next_report)
			continue;
		send_report(sim, n, now);
		node->next_report = now + REPORT_USEC;
	}
}

/*
 * Plays a load and prints the measurements.
 */
static struct outcome
run(const struct setup *setup, enum knowledge knowledge, uint32_t seed)
{
	static const char *const names[] = {"reports", "spread", "fresh"};
	struct sim *sim = g_new0(struct sim, 1);
	struct outcome outcome;
	double due = 0;

	sim->setup = setup;
	sim->knowledge = knowledge;
	engine_fixture_init(&sim->engine);
	sim->rand = g_rand_new_with_seed(seed);
	sim->jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
	sim->queue = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	sim->nodes = g_new0(struct sim_node, (gsize)setup->nodes);
	place_servers(sim);
	for (int n = 0; n < setup->nodes; n++)
		create_node(sim, n);
	for (int n = 0; n < setup->nodes; n++)
		select_recipients(sim, n);
	for (int64_t now = LOOP_USEC_PER_SEC; now <= RUN_USEC;
	     now += TICK_USEC) {
		bool counted = now > WARM_USEC;

		end_jobs(sim, now);
		if (knowledge != FRESH)
			exchange_reports(sim, now);
		if (now % RETRY_USEC == 0)
			send_waiting(sim, now, counted);
		due += setup->rate * sim->server_count * (double)TICK_USEC /
		    (double)LOOP_USEC_PER_SEC;
		while (due > 0) {
			due += log(1 - g_rand_double(sim->rand));
			arrive(sim, now, counted);
		}
		if (counted && now % SAMPLE_USEC == 0)
			sample(sim);
	}
	outcome = sim->sum;
	outcome.time_usec /= outcome.requests - outcome.unserved;
	outcome.use /= sim->samples;
	outcome.deviation /= sim->samples;
	outcome.swing /= sim->samples;
	destroy(sim);
	g_free(sim);
	printf("%3d nodes %-6s %5.2f/s seed %u %-7s refused %.4f unserved %.4f "
	       "use %.3f deviation %.4f swing %.4f time %.0f ms\n",
	    setup->nodes, setup->plain ? "plain" : "engine", setup->rate, seed,
	    names[knowledge], outcome.refused / outcome.requests,
	    outcome.unserved / outcome.requests, outcome.use, outcome.deviation,
	    outcome.swing, outcome.time_usec / 1000);
	return outcome;
}

/*
 * Requires at the same load that spread.h at least halves the sends without
 * capacity, and the deviation of use beyond that which remains with fresh
 * information, and that requests are served as before.
 */
static void
check_load(const struct setup *setup)
{
	struct outcome sum[3];

	memset(sum, 0, sizeof(sum));
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		for (int k = REPORTS; k <= FRESH; k++) {
			struct outcome outcome = run(setup, k, seed);

			sum[k].requests += outcome.requests;
			sum[k].refused += outcome.refused;
			sum[k].unserved += outcome.unserved;
			sum[k].deviation += outcome.deviation;
			sum[k].time_usec += outcome.time_usec;
		}
	ck_assert_double_gt(sum[REPORTS].refused, 0);
	ck_assert_double_le(sum[SPREAD].refused, sum[REPORTS].refused / 2);
	ck_assert_double_le(sum[SPREAD].deviation - sum[FRESH].deviation,
	    (sum[REPORTS].deviation - sum[FRESH].deviation) / 2);
	ck_assert_double_le(sum[SPREAD].unserved / sum[SPREAD].requests,
	    sum[REPORTS].unserved / sum[REPORTS].requests + UNSERVED_MORE);
	ck_assert_double_le(
	    sum[SPREAD].time_usec, TIME_LONGER * sum[REPORTS].time_usec);
}

/*
 * Requires at low load that nothing is refused and that requests take no
 * longer.
 */
static void
check_low_load(const struct setup *setup)
{
	struct outcome before = run(setup, REPORTS, 1);
	struct outcome after = run(setup, SPREAD, 1);

	ck_assert_double_eq(after.refused, 0);
	ck_assert_double_eq(after.unserved, 0);
	ck_assert_double_le(after.deviation, DEVIATION_MORE * before.deviation);
	ck_assert_double_le(after.time_usec, TIME_LONGER * before.time_usec);
}

/* Guards against nodes of a small fleet that choose the same server between
 * two reports. */
START_TEST(eight_nodes_at_load)
{
	check_load(&(struct setup){8, 2, 2, 2.9, false});
}
END_TEST

/* Guards against a node that takes the use by the few nodes of another data
 * centre that it hears for that of all. */
START_TEST(eighty_nodes_at_load)
{
	check_load(&(struct setup){80, 3, 2, 2, false});
	check_load(&(struct setup){80, 3, 2, 2.5, false});
}
END_TEST

/* The same in a fleet in which a node hears a quarter of its data centre. */
START_TEST(three_hundred_nodes_at_load)
{
	check_load(&(struct setup){300, 3, 4, 2, false});
}
END_TEST

/* Guards against reports that count requests to plain servers which have long
 * been answered. */
START_TEST(plain_services_at_load)
{
	check_load(&(struct setup){8, 1, 7, 15, true});
	check_load(&(struct setup){80, 3, 7, 20, true});
}
END_TEST

/* Guards against worse paths while all servers have room. */
START_TEST(low_load_is_served_as_before)
{
	check_low_load(&(struct setup){8, 2, 2, 0.5, false});
	check_low_load(&(struct setup){80, 3, 2, 1, false});
	check_low_load(&(struct setup){300, 3, 4, 1, false});
	check_low_load(&(struct setup){8, 1, 7, 5, true});
}
END_TEST

/*
 * Fills the pool of a node with some use of its own and by peers.
 */
static void
use_servers(struct sim_node *node, int count, bool peers, int64_t reported_at)
{
	pool_clear_peers_use(node->pool);
	for (int i = 0; i < count; i++) {
		struct pool_use use = {1000 * (i % 7), (uint32_t)(i % 7), 0};

		node->by_index[i]->own =
		    (struct pool_use){500 * (i % 3), (uint32_t)(i % 3), 0};
		if (!peers)
			continue;
		pool_add_peers_use(node->by_index[i], &use, 1);
		pool_date_peers_use(node->by_index[i], &use, reported_at);
	}
	pool_finish_peers_use(node->pool);
}

/* Guards against a different choice where nothing is uncertain: a single node,
 * or reports of this moment. Old ones make a difference. */
START_TEST(certain_information_is_used_as_it_is)
{
	const struct setup setup = {8, 2, 2, 1, false};
	struct sim *sim = g_new0(struct sim, 1);
	struct path_server plain[SERVERS_MAX];
	int64_t now = LOOP_USEC_PER_SEC;
	size_t bytes;

	sim->setup = &setup;
	engine_fixture_init(&sim->engine);
	sim->rand = g_rand_new_with_seed(1);
	sim->jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
	sim->queue = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	sim->nodes = g_new0(struct sim_node, (gsize)setup.nodes);
	place_servers(sim);
	for (int n = 0; n < setup.nodes; n++)
		create_node(sim, n);
	bytes = (size_t)sim->server_count * sizeof(plain[0]);
	for (int c = 0; c < 3; c++) {
		bool peers = c > 0;
		int64_t at = c == 2 ? now - REPORT_USEC : now;
		struct sim_node *node = &sim->nodes[0];

		node->pool->spread_strength = 0;
		use_servers(node, sim->server_count, peers, at);
		pool_path_table(
		    node->servers, sim->engine.engine, now, plain, SERVERS_MAX);
		node->pool->spread_strength = 1;
		use_servers(node, sim->server_count, peers, at);
		pool_path_table(node->servers, sim->engine.engine, now,
		    sim->rows, SERVERS_MAX);
		ck_assert_int_eq(memcmp(plain, sim->rows, bytes) == 0, c < 2);
	}
	destroy(sim);
	g_free(sim);
}
END_TEST

HARNESS_MAIN("spread", eight_nodes_at_load, eighty_nodes_at_load,
    three_hundred_nodes_at_load, plain_services_at_load,
    low_load_is_served_as_before, certain_information_is_used_as_it_is)
