#include <string.h>

#include <glib.h>

#include "gossip.h"
#include "harness.h"
#include "loopback.h"

#define NODES 40
#define PLACES 2

/* The nodes of a fleet that is large enough to share watches, in one process.
 */
struct member {
	struct gossip *gossip;
	struct pool *pool;
	struct quarantine *quarantine;
	struct gossip_proof proof;
	char name[16];
	char place[8];
	char front[32];
	/* What the node received. */
	int64_t proved_at;
	struct store_position complete;
	unsigned int changes;
	char last_key[32];
	struct store_position changes_position;
};

struct fleet {
	struct loop *loop;
	char ip[INET_ADDRSTRLEN];
	struct member members[NODES];
};

static void
get_proof(struct gossip_proof *proof, void *arg)
{
	const struct member *member = arg;

	*proof = member->proof;
}

static void
on_proof(const struct gossip_proof *proof, void *arg)
{
	struct member *member = arg;

	member->proved_at = MAX(member->proved_at, proof->proved_at);
	member->complete = proof->complete;
}

static void
on_changes(struct store_position after, struct store_position position,
    const struct kv_item *items, size_t count, void *arg)
{
	struct member *member = arg;

	ck_assert_int_lt(store_position_compare(after, position), 0);
	member->changes_position = position;
	member->changes += (unsigned int)count;
	snprintf(member->last_key, sizeof(member->last_key), "%.*s",
	    LSTR_ARG(items[count - 1].key));
}

static const struct gossip_ops ops = {get_proof, on_proof, on_changes, NULL};

/*
 * Creates the nodes and makes them known to each other.
 */
static void
fleet_start(struct fleet *fleet)
{
	memset(fleet, 0, sizeof(*fleet));
	ck_assert_int_eq(loop_create(&fleet->loop), STATUS_OK);
	loopback_format_own_address(fleet->ip);
	for (int i = 0; i < NODES; i++) {
		struct member *member = &fleet->members[i];
		struct gossip_config config = {.name = member->name,
		    .ip = fleet->ip,
		    .port = loopback_next_port(),
		    .front = member->front,
		    .place = member->place,
		    .boot = 1,
		    .quarantine = quarantine_new(NULL, NULL),
		    .ops = &ops,
		    .arg = member};

		snprintf(member->name, sizeof(member->name), "n%02d", i);
		snprintf(member->place, sizeof(member->place), "p%d",
		    i * PLACES / NODES);
		snprintf(member->front, sizeof(member->front), "%s:%u",
		    fleet->ip, (unsigned int)config.port);
		member->quarantine = config.quarantine;
		member->pool = pool_new();
		ck_assert_int_eq(gossip_create(fleet->loop, &config,
				     member->pool, &member->gossip),
		    STATUS_OK);
	}
	for (int i = 0; i < NODES; i++) {
		for (int k = 0; k < NODES; k++)
			gossip_put(fleet->members[i].gossip,
			    lstr_from(fleet->members[k].name),
			    gossip_entry(fleet->members[k].gossip));
	}
}

static void
fleet_stop(struct fleet *fleet)
{
	for (int i = 0; i < NODES; i++) {
		gossip_destroy(fleet->members[i].gossip);
		quarantine_free(fleet->members[i].quarantine);
		pool_free(fleet->members[i].pool);
	}
	loop_destroy(fleet->loop);
}

/*
 * Runs the loop and the periodic work of the live nodes until a condition
 * holds.
 */
static void
run_until(struct fleet *fleet, bool (*condition)(struct fleet *))
{
	int64_t deadline = loop_now(fleet->loop) + HARNESS_DEADLINE_USEC;

	while (!condition(fleet)) {
		ck_assert_int_lt(loop_now(fleet->loop), deadline);
		for (int i = 0; i < NODES; i++) {
			if (fleet->members[i].gossip != NULL)
				gossip_tick(fleet->members[i].gossip);
		}
		loop_run_once(fleet->loop,
		    loop_now(fleet->loop) + 10 * LOOP_USEC_PER_MSEC);
	}
}

/*
 * Counts the watchers of a data centre.
 */
static int
count_watchers(const struct fleet *fleet, const char *place)
{
	int count = 0;

	for (int i = 0; i < NODES; i++) {
		const struct member *member = &fleet->members[i];

		count += member->gossip != NULL &&
		    strcmp(member->place, place) == 0 &&
		    gossip_is_watcher(member->gossip);
	}
	return count;
}

static bool
all_places_are_watched(struct fleet *fleet)
{
	return count_watchers(fleet, "p0") == GOSSIP_WATCHERS &&
	    count_watchers(fleet, "p1") == GOSSIP_WATCHERS;
}

static bool
all_have_proofs(struct fleet *fleet)
{
	for (int i = 0; i < NODES; i++) {
		const struct member *member = &fleet->members[i];

		if (member->gossip != NULL &&
		    !gossip_is_watcher(member->gossip) &&
		    member->proved_at == 0)
			return false;
	}
	return true;
}

static bool
all_have_changes(struct fleet *fleet)
{
	for (int i = 0; i < NODES; i++) {
		const struct member *member = &fleet->members[i];

		if (!gossip_is_watcher(member->gossip) && member->changes == 0)
			return false;
	}
	return true;
}

/*
 * Guards against proofs and changes that do not reach a node without a watch of
 * its own, and against proofs dated later than they were made.
 */
START_TEST(watchers_serve_all_nodes_of_their_data_centre)
{
	struct kv_item items[] = {{.key = lstr_from("servers/a"),
				      .value = lstr_from("x"),
				      .version = 11},
	    {.key = lstr_from("servers/b"), .version = 12, .deleted = true}};
	static struct fleet fleet;
	int64_t proved_at;

	fleet_start(&fleet);
	run_until(&fleet, all_places_are_watched);
	proved_at = loop_now(fleet.loop);
	for (int i = 0; i < NODES; i++)
		fleet.members[i].proof =
		    (struct gossip_proof){{3, 12}, {3, 15}, {3, 1}, proved_at};
	run_until(&fleet, all_have_proofs);
	for (int i = 0; i < NODES; i++) {
		ck_assert_int_le(fleet.members[i].proved_at, proved_at);
		if (!gossip_is_watcher(fleet.members[i].gossip))
			ck_assert(
			    store_position_equal(fleet.members[i].complete,
				(struct store_position){3, 15}));
	}
	for (int i = 0; i < NODES; i++)
		gossip_send_changes(fleet.members[i].gossip,
		    (struct store_position){3, 10},
		    (struct store_position){3, 12}, items, 2);
	run_until(&fleet, all_have_changes);
	for (int i = 0; i < NODES; i++) {
		const struct member *member = &fleet.members[i];

		if (gossip_is_watcher(member->gossip))
			continue;
		/* Each from one watcher only. */
		ck_assert_uint_eq(member->changes, 2);
		ck_assert_str_eq(member->last_key, "servers/b");
		ck_assert(store_position_equal(
		    member->changes_position, (struct store_position){3, 12}));
	}
	fleet_stop(&fleet);
}
END_TEST

/* Guards against reports of an older version of the programs, which have no era
 * of the store, that are not understood or taken for those of a known era. */
START_TEST(report_without_an_era_is_understood)
{
	static struct fleet fleet;

	fleet_start(&fleet);
	run_until(&fleet, all_places_are_watched);
	for (int i = 0; i < NODES; i++)
		fleet.members[i].proof = (struct gossip_proof){
		    {0, 12}, {0, 15}, {0, 1}, loop_now(fleet.loop)};
	run_until(&fleet, all_have_proofs);
	for (int i = 0; i < NODES; i++) {
		if (!gossip_is_watcher(fleet.members[i].gossip))
			ck_assert(
			    store_position_equal(fleet.members[i].complete,
				(struct store_position){0, 15}));
	}
	fleet_stop(&fleet);
}
END_TEST

/* Guards against a data centre without watchers after theirs have ended. */
START_TEST(watchers_that_end_are_replaced)
{
	static struct fleet fleet;

	fleet_start(&fleet);
	run_until(&fleet, all_places_are_watched);
	for (int i = 0; i < NODES; i++) {
		struct member *member = &fleet.members[i];

		if (!gossip_is_watcher(member->gossip))
			continue;
		gossip_destroy(member->gossip);
		member->gossip = NULL;
	}
	run_until(&fleet, all_places_are_watched);
	fleet_stop(&fleet);
}
END_TEST

/* Guards against configurations that are sent in datagrams, and against changes
 * that do not fit one. */
START_TEST(large_changes_are_divided_or_left_to_the_nodes)
{
	enum {
		COUNT = 40
	};
	static char value[GOSSIP_CHANGE_MAX_BYTES + 1];
	static struct fleet fleet;
	struct kv_item items[COUNT];
	char keys[COUNT][16];

	memset(value, 'x', sizeof(value));
	for (int i = 0; i < COUNT; i++) {
		snprintf(keys[i], sizeof(keys[i]), "servers/%d", i);
		items[i] = (struct kv_item){.key = lstr_from(keys[i]),
		    .value = lstr_make(value, GOSSIP_CHANGE_MAX_BYTES),
		    .version = (uint64_t)(11 + i)};
	}
	fleet_start(&fleet);
	run_until(&fleet, all_places_are_watched);
	items[0].value.len++;
	for (int i = 0; i < NODES; i++)
		gossip_send_changes(fleet.members[i].gossip,
		    (struct store_position){0, 10},
		    (struct store_position){0, 60}, items, COUNT);
	items[0].value.len--;
	for (int i = 0; i < NODES; i++)
		gossip_send_changes(fleet.members[i].gossip,
		    (struct store_position){0, 10},
		    (struct store_position){0, 60}, items, COUNT);
	run_until(&fleet, all_have_changes);
	for (int i = 0; i < NODES; i++) {
		if (!gossip_is_watcher(fleet.members[i].gossip))
			ck_assert_uint_le(fleet.members[i].changes, COUNT);
	}
	fleet_stop(&fleet);
}
END_TEST

/*
 * Adds a server to the pool of a node.
 */
static struct pool_server *
add_server(struct fleet *fleet, struct member *member, int64_t born)
{
	struct fleet_server info = {.id = g_strdup("1"),
	    .service = g_strdup("s"),
	    .address_text = g_strdup("10.0.0.1:80"),
	    .zone = g_strdup("p0"),
	    .born = born};
	bool is_new;

	return pool_put(member->pool, &info, loop_now(fleet->loop), &is_new);
}

/*
 * Returns whether all nodes but the last one know that the server leaves.
 */
static bool
all_know_leaving(struct fleet *fleet)
{
	for (int i = 0; i < NODES - 1; i++) {
		if (!pool_find(fleet->members[i].pool, "1")->leaving)
			return false;
	}
	return true;
}

/* Guards against nodes that go on using a server of which another node knows
 * that it leaves, and against taking a later process for it. */
START_TEST(peers_learn_that_a_server_leaves)
{
	static struct fleet fleet;
	struct pool_server *server;

	fleet_start(&fleet);
	for (int i = 0; i < NODES; i++)
		add_server(
		    &fleet, &fleet.members[i], i < NODES - 1 ? 100 : 200);
	server = pool_find(fleet.members[0].pool, "1");
	pool_note_leaving(fleet.members[0].pool, server, loop_now(fleet.loop));
	run_until(&fleet, all_know_leaving);
	ck_assert(!pool_find(fleet.members[NODES - 1].pool, "1")->leaving);
	fleet_stop(&fleet);
}
END_TEST

/*
 * Returns whether the first node no longer gives the address of the last one to
 * callers.
 */
static bool
last_node_is_withheld(struct fleet *fleet)
{
	GPtrArray *addresses = g_ptr_array_new();
	bool listed;

	gossip_addresses(
	    fleet->members[0].gossip, fleet->members[0].place, addresses);
	listed = g_ptr_array_find_with_equal_func(
	    addresses, fleet->members[NODES - 1].front, g_str_equal, NULL);
	g_ptr_array_free(addresses, TRUE);
	return !listed;
}

/* Guards against a node that has left and is given to callers again because its
 * entry comes back from an older copy of the store. */
START_TEST(node_that_left_stays_away_when_its_entry_is_read_again)
{
	static struct fleet fleet;
	struct member *last = &fleet.members[NODES - 1];

	fleet_start(&fleet);
	gossip_leave(last->gossip);
	run_until(&fleet, last_node_is_withheld);
	gossip_put(fleet.members[0].gossip, lstr_from(last->name),
	    gossip_entry(last->gossip));
	ck_assert(last_node_is_withheld(&fleet));
	fleet_stop(&fleet);
}
END_TEST

HARNESS_MAIN("gossip", node_that_left_stays_away_when_its_entry_is_read_again,
    report_without_an_era_is_understood,
    watchers_serve_all_nodes_of_their_data_centre,
    watchers_that_end_are_replaced,
    large_changes_are_divided_or_left_to_the_nodes,
    peers_learn_that_a_server_leaves)
