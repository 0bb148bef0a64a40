/*
 * Compares the processor time of choosing the servers of a generation at 600
 * servers in one run: the table and the search without and with the effect of
 * spread.h, or, if bench/choose_cost.sh has linked them, of an earlier
 * revision and of this one. The two alternate. Prints microseconds of processor
 * time per choice and the ratio, also for the sum of the peers' use.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "pool.h"

#define SERVERS 600
#define PLACES 3
#define LAYERS 80
#define PEERS 28
#define ROUNDS 40
#define CHOICES 10
#define NOW ((int64_t)1000000000)
#define REPORT_AGE ((int64_t)100000)
#define USEC_PER_SEC 1e6
#define NSEC_PER_USEC 1e3

struct way {
	const char *name;
	size_t (*table)(GPtrArray *, const struct fleet_engine *, int64_t,
	    struct path_server *, size_t);
	enum status (*find)(const struct fleet_engine *,
	    const struct path_server *, size_t, const struct path_demand *,
	    struct path *);
	void (*add)(
	    struct pool_server *, const struct pool_use *, double scale);
	double strength;
	/* False: pool_finish_peers_use() did not exist. */
	bool finish;
	double choice_usec;
	double sum_usec;
};

/* The functions of an earlier revision; see bench/choose_cost.sh. */
size_t old_pool_path_table(GPtrArray *, const struct fleet_engine *, int64_t,
    struct path_server *, size_t) __attribute__((weak));
enum status old_path_find(const struct fleet_engine *,
    const struct path_server *, size_t, const struct path_demand *,
    struct path *) __attribute__((weak));

void old_pool_add_peers_use(struct pool_server *, const struct pool_use *,
    double) __attribute__((weak));

static const char *const places[PLACES] = {"a", "b", "c"};
static const char *const kinds[PLACES] = {"a100", "v100", "l4"};

/*
 * Returns the processor time of this process in microseconds.
 */
static double
cpu_usec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * USEC_PER_SEC +
	    (double)ts.tv_nsec / NSEC_PER_USEC;
}

/*
 * Creates the engine of the work page's deployment.
 */
static struct fleet_engine *
create_engine(void)
{
	static const double factors[PLACES][3] = {
	    {72e9, 2.4, 3.2}, {14.4e9, 5.3, 7.9}, {21.6e9, 16, 8.2}};
	struct fleet_engine *engine = fleet_engine_new();

	for (int i = 0; i < PLACES; i++) {
		struct fleet_kind_info kind = {g_strdup(kinds[i]),
		    (int64_t)factors[i][0], factors[i][1], factors[i][2]};

		g_array_append_val(engine->kinds, kind);
	}
	engine->layers = LAYERS;
	engine->layer_bytes = 1750000000;
	engine->token_bytes = 590000;
	engine->batch_max = 192;
	engine->stride = 4;
	engine->step_usec = 1020;
	engine->step_per_request_usec = 4.59;
	engine->step_per_context_token_usec = 0.00615;
	engine->prefill_per_token_usec = 6.1;
	engine->usual_prompt_tokens = 760;
	engine->usual_output_tokens = 220;
	return engine;
}

/*
 * Fills the pool.
 */
static void
add_servers(struct pool *pool)
{
	static const uint32_t held[PLACES] = {20, 5, 10};

	for (int i = 0; i < SERVERS; i++) {
		int kind = i / PLACES % PLACES;
		uint32_t ranges = LAYERS / held[kind];
		uint32_t from =
		    (uint32_t)(i / (PLACES * PLACES)) % ranges * held[kind];
		struct fleet_server info = {.id = g_strdup_printf("s-%03d", i),
		    .service = g_strdup("s"),
		    .address_text = g_strdup_printf("10.0.0.1:%d", i + 1),
		    .zone = g_strdup(places[i % PLACES]),
		    .kind = g_strdup(kinds[kind]),
		    .layer_from = from,
		    .layer_to = from + held[kind],
		    .born = 1};
		bool is_new;

		pool_put(pool, &info, NOW, &is_new);
	}
}

/*
 * Sums the use by the peers, each of which uses a tenth of the servers.
 */
static void
sum_use(struct pool *pool, GPtrArray *servers, const struct way *way)
{
	const struct pool_use use = {60000, 3, 1};

	pool->spread_strength = way->strength;
	pool_clear_peers_use(pool);
	for (guint peer = 0; peer < PEERS; peer++) {
		for (guint i = peer; i < servers->len; i += 10) {
			const struct pool_server *listed =
			    g_ptr_array_index(servers, i);
			struct pool_server *server =
			    pool_find_hash(pool, listed->hash);

			way->add(server, &use, 2);
			if (way->finish)
				pool_date_peers_use(
				    server, &use, NOW - REPORT_AGE);
		}
	}
	if (way->finish)
		pool_finish_peers_use(pool);
}

/*
 * Measures one round of a way.
 */
static void
measure(struct pool *pool, const struct fleet_engine *engine, struct way *way)
{
	static struct path_server rows[SERVERS];
	struct path_demand demand = {
	    .prompt_tokens = 760, .output_tokens = 220, .zone = places[0]};
	GPtrArray *servers = pool_service_servers(pool, "s");
	struct path path;
	double start = cpu_usec();

	sum_use(pool, servers, way);
	way->sum_usec += cpu_usec() - start;
	g_ptr_array_free(servers, TRUE);
	start = cpu_usec();
	for (int i = 0; i < CHOICES; i++) {
		servers = pool_service_servers(pool, "s");
		way->table(servers, engine, NOW, rows, SERVERS);
		if (way->find(engine, rows, SERVERS, &demand, &path) !=
		    STATUS_OK)
			abort();
		g_ptr_array_free(servers, TRUE);
	}
	way->choice_usec += cpu_usec() - start;
}

int
main(void)
{
	bool has_old = old_pool_path_table != NULL && old_path_find != NULL;
	struct way ways[2] = {{"off", pool_path_table, path_find,
				  pool_add_peers_use, 0, true, 0, 0},
	    {"new", pool_path_table, path_find, pool_add_peers_use, 1, true, 0,
		0}};
	struct fleet_engine *engine = create_engine();
	struct pool *pool = pool_new();

	if (has_old)
		ways[0] = (struct way){"old", old_pool_path_table,
		    old_path_find, old_pool_add_peers_use, 0, false, 0, 0};
	add_servers(pool);
	for (int i = 0; i < ROUNDS; i++)
		for (int k = 0; k < 2; k++)
			measure(pool, engine, &ways[(i + k) % 2]);
	for (int k = 0; k < 2; k++)
		printf("%s: choice %.1f us, sum of use %.1f us\n", ways[k].name,
		    ways[k].choice_usec / (ROUNDS * CHOICES),
		    ways[k].sum_usec / ROUNDS);
	printf("ratio: choice %.3f, sum of use %.3f\n",
	    ways[1].choice_usec / ways[0].choice_usec,
	    ways[1].sum_usec / ways[0].sum_usec);
	fleet_engine_free(engine);
	pool_free(pool);
	return 0;
}
