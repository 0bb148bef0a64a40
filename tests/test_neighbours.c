#include <string.h>

#include <glib.h>

#include "harness.h"
#include "neighbours.h"
#include "pool.h"

#define NODES 295
#define PLACES 5
#define SEED 3

struct world {
	char names[NODES][16];
	char places[NODES][8];
	/* Load of the first server of each data centre by each node. */
	uint32_t use[NODES];
};

/*
 * Creates nodes that are spread over the data centres; the names either follow
 * the data centres or are mixed.
 */
static void
world_init(struct world *w, bool mixed, GRand *rand)
{
	for (int i = 0; i < NODES; i++) {
		snprintf(w->places[i], sizeof(w->places[i]), "p%d",
		    mixed ? i % PLACES : i * PLACES / NODES);
		snprintf(w->names[i], sizeof(w->names[i]), "n%03d", i);
		w->use[i] = (uint32_t)g_rand_int_range(rand, 0, 4);
	}
}

/*
 * Selects the recipients of node "own"; returns their number.
 */
static size_t
select_for(const struct world *w, int own, void **out)
{
	struct neighbours_node nodes[NODES];
	size_t count = 0;

	for (int i = 0; i < NODES; i++) {
		if (i != own)
			nodes[count++] = (struct neighbours_node){
			    w->names[i], w->places[i], (void *)&w->names[i]};
	}
	return neighbours_select(
	    nodes, count, w->names[own], w->places[own], out);
}

/*
 * Guards against load estimates that are several times too high: in a fleet of
 * 295 nodes a node hears neighbours that use the servers of its own data
 * centre, and the estimate for these servers must not count the nodes of other
 * data centres as if they used them too.
 */
static void
check_estimates(bool mixed)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct world w;
	double error = 0;
	int heard_least = NODES;
	static bool hears[NODES][NODES];

	memset(hears, 0, sizeof(hears));
	world_init(&w, mixed, rand);
	for (int i = 0; i < NODES; i++) {
		void *out[NODES];
		size_t n = select_for(&w, i, out);

		ck_assert_uint_le(
		    n, NEIGHBOURS_MAX + NEIGHBOURS_REMOTE * (PLACES - 1));
		for (size_t k = 0; k < n; k++)
			hears[((char(*)[16])out[k]) - w.names][i] = true;
	}
	for (int i = 0; i < NODES; i++) {
		struct pool_server server = {.info = {.id = NULL}};
		uint32_t truth = 0;
		int heard = 0;
		int live = 0;

		for (int k = 0; k < NODES; k++) {
			if (k == i || strcmp(w.places[k], w.places[i]) != 0)
				continue;
			live++;
			heard += hears[i][k];
			truth += w.use[k];
		}
		for (int k = 0; k < NODES; k++) {
			struct pool_use use = {1000 * w.use[k], w.use[k], 0};

			if (k != i && hears[i][k] &&
			    strcmp(w.places[k], w.places[i]) == 0)
				pool_add_peers_use(
				    &server, &use, (double)live / heard);
		}
		heard_least = MIN(heard_least, heard);
		error += ABS((double)server.peers.active - truth) / truth;
	}
	ck_assert_int_ge(heard_least, NEIGHBOURS_MAX - 2);
	ck_assert(error / NODES < 0.2);
	g_rand_free(rand);
}

START_TEST(load_of_own_servers_is_estimated)
{
	check_estimates(false);
	check_estimates(true);
}
END_TEST

/* Guards against nodes of other data centres that nobody hears. */
START_TEST(every_node_is_heard_elsewhere)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct world w;
	int remote[NODES] = {0};

	world_init(&w, false, rand);
	for (int i = 0; i < NODES; i++) {
		void *out[NODES];
		size_t n = select_for(&w, i, out);

		for (size_t k = 0; k < n; k++) {
			int to = (int)(((char(*)[16])out[k]) - w.names);

			remote[to] += strcmp(w.places[to], w.places[i]) != 0;
		}
	}
	for (int i = 0; i < NODES; i++)
		ck_assert_int_gt(remote[i], 0);
	g_rand_free(rand);
}
END_TEST

/* Guards against a small fleet in which some nodes do not hear each other, and
 * against selections that do not fit the table. */
START_TEST(small_fleet_reports_to_all)
{
	for (size_t count = 0; count <= NEIGHBOURS_MAX; count++) {
		struct neighbours_node nodes[NEIGHBOURS_MAX];
		char names[NEIGHBOURS_MAX][8];
		void *out[NEIGHBOURS_MAX];

		for (size_t i = 0; i < count; i++) {
			snprintf(names[i], sizeof(names[i]), "n%zu", i);
			nodes[i] = (struct neighbours_node){
			    names[i], i % 3 ? "a" : "b", names[i]};
		}
		ck_assert_uint_eq(
		    neighbours_select(nodes, count, "n", "a", out), count);
	}
}
END_TEST

HARNESS_MAIN("neighbours", load_of_own_servers_is_estimated,
    every_node_is_heard_elsewhere, small_fleet_reports_to_all)
