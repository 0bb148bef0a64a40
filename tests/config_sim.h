#ifndef CH_TEST_CONFIG_SIM_H
#define CH_TEST_CONFIG_SIM_H

#include <string.h>

#include <glib.h>

#include "config_proof.h"
#include "store_cache.h"

/*
 * Simulates several nodes with their copies of one store, on a clock of its
 * own: calls that are late or lost, watches that end early, pages that are read
 * while keys change, a history that is discarded, proofs and changes that
 * watchers hand over to other nodes, nodes that stall, are cut off or start
 * again, and configurations that are decoded some time after they arrived.
 * The store may also come back from a copy that is some seconds old; lost
 * configurations and servers' entries are then written again. One key has the
 * settled era, which nodes write once they have proved their copy in it.
 * Checks that the configuration in force at a node is never older than its
 * proof.
 */
#define SIM_NODES 6
#define SIM_WATCHERS 2
#define SIM_KEYS 8
/* Keys that the operator and the servers write. */
#define SIM_WRITTEN_KEYS 7
#define SIM_PAGE 3
#define SIM_STEP_USEC ((int64_t)2000)
#define SIM_HISTORY_MAX 8192
#define SIM_MESSAGES_MAX 512
#define SIM_STEPS_MAX 40000
#define SIM_VERSIONS_MAX 1024
#define SIM_PROOF_EVERY_USEC ((int64_t)200000)
#define SIM_CONFIG_KEY 2
#define SIM_SETTLED_KEY 7
/* A server reports to the store, which raises the revision. */
#define SIM_REPORT_EVERY_STEPS 5
/* Age of the copies and time out of touch without an era. */
#define SIM_NO_ERA_AGE_MIN_USEC ((int64_t)3000000)
#define SIM_NO_ERA_TROUBLE_MAX_USEC ((int64_t)300000)
/* Lost configurations are written again within this time. */
#define SIM_REWRITE_USEC ((int64_t)900000)

static const char *const sim_keys[SIM_KEYS] = {"chestnuthoist/node/a",
    "chestnuthoist/node/b", "op/config", "servers/a", "servers/b", "servers/c",
    "servers/d", "settled"};

/* Whether the store comes back from an older copy now and then. */
enum sim_restores {
	SIM_NO_RESTORES,
	/* Its era rises each time. */
	SIM_RESTORES_WITH_ERA,
	/* It tells no era. A restore then shows only until the revision has
	 * passed the known one, so the copies are old enough that each node
	 * calls the store before, and no node is out of touch for long. */
	SIM_RESTORES_WITHOUT_ERA
};

struct loop_timer {
	struct loop_timer *next;
	loop_fn fn;
	void *arg;
	int64_t at;
	bool set;
	bool destroyed;
};

struct loop {
	int64_t now;
	struct loop_timer *timers;
};

/* One change of the store. */
struct sim_change {
	uint64_t revision;
	int64_t at;
	int key;
	bool deleted;
	/* Of the configuration. */
	unsigned int version;
};

/* A version of the configuration and when the store first confirmed it. */
struct sim_confirmation {
	unsigned int version;
	int64_t at;
};

/* A key that is written again after a restore. */
struct sim_rewrite {
	int64_t at;
	int key;
	unsigned int version;
};

struct sim_node;

struct sim_kv {
	struct kv base;
	struct sim_node *node;
	enum kv_kind kind;
	/* The call that is pending; NULL: none. */
	kv_done_fn fn;
	void *arg;
	int64_t deadline;
	int64_t wait_until;
	int64_t arrives_at;
	uint64_t after;
	char after_key[64];
	/* The response is on its way until then; 0: not answered yet. */
	int64_t delivered_at;
	bool lost;
	struct kv_item items[SIM_KEYS + SIM_HISTORY_MAX];
	struct kv_result result;
};

struct sim_message {
	int64_t at;
	int to;
	bool is_proof;
	struct store_position position;
	struct store_position complete;
	struct store_position config;
	int64_t proved_at;
	struct store_position after;
	size_t count;
	struct kv_item items[16];
};

struct sim_node {
	struct sim *sim;
	int index;
	struct loop loop;
	struct sim_kv kv;
	struct store_cache *copy;
	struct config_proof proof;
	/* Versions of the configuration; 0: none. */
	unsigned int in_force;
	unsigned int pending;
	struct store_position pending_position;
	int64_t apply_at;
	/* Without an era, a process that starts while lost configurations are
	 * not written again cannot know of those up to this version. */
	unsigned int unknown;
	/* The settled era in the copy. */
	uint64_t settled;
	/* The keys that the node knows; revision 0: not there. */
	struct store_position known[SIM_KEYS];
	int64_t stalled_until;
	int64_t cut_until;
	int64_t next_proof_at;
};

struct sim {
	GRand *rand;
	int64_t now;
	uint64_t revision;
	uint64_t compacted;
	uint64_t versions[SIM_KEYS];
	int64_t changed_at[SIM_KEYS];
	struct sim_change history[SIM_HISTORY_MAX];
	size_t changes;
	struct sim_message messages[SIM_MESSAGES_MAX];
	size_t message_count;
	struct sim_node nodes[SIM_NODES];
	enum sim_restores restores;
	uint64_t era;
	/* Revision of the store at each step. */
	uint64_t revisions[SIM_STEPS_MAX];
	unsigned int config_version;
	struct sim_confirmation confirmed[SIM_VERSIONS_MAX];
	size_t confirmed_count;
	struct sim_rewrite rewrites[SIM_VERSIONS_MAX + SIM_KEYS];
	size_t rewrite_count;
	/* Start of the last restore, its end, and when the configurations that
	 * it lost have been written again. */
	int64_t restored_at;
	int64_t away_until;
	int64_t rewritten_at;
	unsigned int restore_count;
	/* Trouble is injected. */
	bool calm;
	int64_t store_down_until;
	int64_t store_slow_until;
	/* Number of states in which the configuration in force was older than
	 * its proof. */
	unsigned int violations;
	/* Number of proofs that were accepted by nodes that do not watch. */
	unsigned int handed_over;
};

int64_t
loop_now(const struct loop *loop)
{
	return loop->now;
}

enum status
loop_timer_create(
    struct loop *loop, loop_fn fn, void *arg, struct loop_timer **out)
{
	struct loop_timer *timer = g_new0(struct loop_timer, 1);

	timer->fn = fn;
	timer->arg = arg;
	timer->next = loop->timers;
	loop->timers = timer;
	*out = timer;
	return STATUS_OK;
}

void
loop_timer_set(struct loop_timer *timer, int64_t at)
{
	timer->at = at;
	timer->set = true;
}

void
loop_timer_clear(struct loop_timer *timer)
{
	timer->set = false;
}

bool
loop_timer_is_set(const struct loop_timer *timer)
{
	return timer->set;
}

void
loop_timer_destroy(struct loop_timer *timer)
{
	if (timer != NULL)
		timer->destroyed = true;
}

static int64_t
sim_between(struct sim *sim, int64_t from, int64_t to)
{
	return from + (int64_t)(g_rand_double(sim->rand) * (double)(to - from));
}

static bool
sim_chance(struct sim *sim, double probability)
{
	return g_rand_double(sim->rand) < probability;
}

/*
 * Returns the newest version of the configuration that was confirmed until a
 * time, even if the store has lost it since.
 */
static unsigned int
sim_config_at(const struct sim *sim, int64_t at)
{
	unsigned int version = 0;

	for (size_t i = 0;
	     i < sim->confirmed_count && sim->confirmed[i].at <= at; i++)
		version = sim->confirmed[i].version;
	return version;
}

/*
 * Returns the value of a key, which is its version for the configuration.
 */
static struct lstr
sim_value(unsigned int version)
{
	static char values[SIM_VERSIONS_MAX][8];

	ck_assert_uint_lt(version, SIM_VERSIONS_MAX);
	snprintf(values[version], sizeof(values[version]), "%u", version);
	return lstr_from(values[version]);
}

static void
sim_write_version(struct sim *sim, int key, bool deleted, unsigned int version)
{
	if (sim->changes == SIM_HISTORY_MAX)
		return;
	sim->revision += 1 + g_rand_int_range(sim->rand, 0, 3);
	sim->versions[key] = deleted ? 0 : sim->revision;
	sim->changed_at[key] = sim->now;
	sim->history[sim->changes++] =
	    (struct sim_change){sim->revision, sim->now, key, deleted, version};
}

/*
 * Writes a key unless the store is away for a restore. The operator writes a
 * new version only when those that the store has lost are there again.
 */
static void
sim_write(struct sim *sim, int key, bool deleted)
{
	unsigned int version = 0;

	if (sim->now < sim->away_until)
		return;
	if (key == SIM_CONFIG_KEY) {
		if (sim->now < sim->rewritten_at)
			return;
		version = ++sim->config_version;
		sim->confirmed[sim->confirmed_count++] =
		    (struct sim_confirmation){version, sim->now};
	}
	sim_write_version(sim, key, deleted, version);
}

/*
 * Writes what the store has lost again once it is time.
 */
static void
sim_rewrite_lost(struct sim *sim)
{
	for (size_t i = 0; i < sim->rewrite_count; i++) {
		struct sim_rewrite *rewrite = &sim->rewrites[i];

		if (rewrite->at == 0 || sim->now < rewrite->at)
			continue;
		rewrite->at = 0;
		sim_write_version(sim, rewrite->key, false, rewrite->version);
	}
}

/*
 * Brings the store back from a copy that is up to some seconds old, after a
 * moment in which it is away. Waiting calls are cut, and answers that are under
 * way still arrive.
 */
static void
sim_restore(struct sim *sim)
{
	int64_t steps = (sim->now - LOOP_USEC_PER_SEC) / SIM_STEP_USEC;
	int64_t age_min = sim->restores == SIM_RESTORES_WITHOUT_ERA
	    ? SIM_NO_ERA_AGE_MIN_USEC
	    : 0;
	int64_t age = sim_between(sim, age_min, 6 * LOOP_USEC_PER_SEC);
	/* The copy is of the time since the last restore. */
	int64_t step = MAX(MAX(steps - age / SIM_STEP_USEC, 0),
	    (sim->away_until - LOOP_USEC_PER_SEC) / SIM_STEP_USEC + 1);
	uint64_t before[SIM_KEYS];
	int64_t at;
	size_t kept = 0;

	memcpy(before, sim->versions, sizeof(before));
	sim->restore_count++;
	sim->restored_at = sim->now;
	sim->away_until = sim->now + sim_between(sim, 0, 2 * LOOP_USEC_PER_SEC);
	sim->rewrite_count = 0;
	at = sim->away_until + sim_between(sim, 0, SIM_REWRITE_USEC / 2);
	sim->revision = sim->revisions[step];
	memset(sim->versions, 0, sizeof(sim->versions));
	for (size_t i = 0; i < sim->changes; i++) {
		const struct sim_change *change = &sim->history[i];

		if (change->revision > sim->revision) {
			if (change->key != SIM_CONFIG_KEY)
				continue;
			at += sim_between(sim, 0, SIM_REWRITE_USEC / 64);
			at = MIN(at, sim->away_until + SIM_REWRITE_USEC);
			sim->rewrites[sim->rewrite_count++] =
			    (struct sim_rewrite){
				at, SIM_CONFIG_KEY, change->version};
			continue;
		}
		sim->versions[change->key] =
		    change->deleted ? 0 : change->revision;
		kept = i + 1;
	}
	sim->changes = kept;
	sim->rewritten_at = at + SIM_STEP_USEC;
	for (int i = 0; i < SIM_KEYS; i++) {
		sim->changed_at[i] = sim->away_until;
		if (i != SIM_CONFIG_KEY && i != SIM_SETTLED_KEY &&
		    before[i] > sim->revision)
			sim->rewrites[sim->rewrite_count++] =
			    (struct sim_rewrite){sim->away_until +
				    sim_between(sim, 0, 2 * LOOP_USEC_PER_SEC),
				i, 0};
	}
	sim->compacted = MIN(sim->compacted, sim->revision);
	if (sim->restores == SIM_RESTORES_WITH_ERA)
		sim->era++;
	for (int i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].kv.delivered_at == 0)
			sim->nodes[i].kv.lost = true;
}

/*
 * Starts a call of a node; it is lost while the node or the store is away.
 */
static void
sim_call(struct sim_kv *kv, enum kv_kind kind, int64_t deadline, kv_done_fn fn,
    void *arg)
{
	struct sim *sim = kv->node->sim;
	bool slow = sim->store_slow_until > sim->now;

	ck_assert(kv->fn == NULL);
	kv->kind = kind;
	kv->fn = fn;
	kv->arg = arg;
	kv->deadline = deadline;
	kv->arrives_at =
	    sim->now + sim_between(sim, 1000, slow ? 400000 : 6000);
	kv->delivered_at = 0;
	kv->lost = sim->store_down_until > sim->now ||
	    sim->away_until > sim->now || kv->node->cut_until > sim->now ||
	    (!sim->calm && sim_chance(sim, 0.02));
}

static void
sim_list(struct kv *base, struct lstr prefix, struct lstr after,
    int64_t deadline, kv_done_fn fn, void *arg)
{
	struct sim_kv *kv = (struct sim_kv *)base;

	(void)prefix;
	snprintf(kv->after_key, sizeof(kv->after_key), "%.*s", LSTR_ARG(after));
	sim_call(kv, KV_LIST, deadline, fn, arg);
}

static void
sim_watch(struct kv *base, struct lstr prefix, uint64_t after,
    int64_t wait_until, int64_t deadline, kv_done_fn fn, void *arg)
{
	struct sim_kv *kv = (struct sim_kv *)base;

	(void)prefix;
	kv->after = after;
	kv->wait_until = wait_until;
	sim_call(kv, KV_WATCH, deadline, fn, arg);
}

static const struct kv_vtable sim_vtable = {
    .list = sim_list, .watch = sim_watch};

/*
 * Returns a change as an item.
 */
static struct kv_item
sim_item(const struct sim_change *change)
{
	return (struct kv_item){.key = lstr_from(sim_keys[change->key]),
	    .version = change->revision,
	    .value = sim_value(change->version),
	    .deleted = change->deleted};
}

/*
 * Returns the change of the store with a revision.
 */
static const struct sim_change *
sim_change_at(const struct sim *sim, uint64_t revision)
{
	size_t i = 0;

	while (sim->history[i].revision != revision)
		i++;
	return &sim->history[i];
}

static void
sim_answer_list(struct sim *sim, struct sim_kv *kv)
{
	size_t n = 0;

	for (int i = 0; i < SIM_KEYS; i++) {
		if (sim->versions[i] == 0 ||
		    strcmp(sim_keys[i], kv->after_key) <= 0)
			continue;
		if (n == SIM_PAGE) {
			kv->result.more = true;
			break;
		}
		kv->items[n++] = sim_item(sim_change_at(sim, sim->versions[i]));
	}
	kv->result.count = n;
}

/*
 * Answers a watch if there are changes, its wait has ended, or, now and then,
 * early. Returns false while it waits.
 */
static bool
sim_answer_watch(struct sim *sim, struct sim_kv *kv)
{
	size_t n = 0;

	if (kv->after < sim->compacted || kv->after > sim->revision) {
		kv->result.status = STATUS_EXPIRED;
		return true;
	}
	for (size_t i = 0; i < sim->changes; i++) {
		const struct sim_change *change = &sim->history[i];

		if (change->revision > kv->after)
			kv->items[n++] = sim_item(change);
	}
	kv->result.count = n;
	return n > 0 || sim->now >= kv->wait_until || sim_chance(sim, 0.005);
}

/*
 * Performs the pending call of a node at the store and delivers its response.
 */
static void
sim_step_call(struct sim *sim, struct sim_kv *kv)
{
	kv_done_fn fn = kv->fn;

	if (fn == NULL)
		return;
	if (kv->delivered_at == 0 && !kv->lost && sim->now >= kv->arrives_at) {
		memset(&kv->result, 0, sizeof(kv->result));
		kv->result.items = kv->items;
		/* Servers also report without a change of their entries. */
		if (sim->restores != SIM_RESTORES_WITHOUT_ERA &&
		    sim_chance(sim, 0.5))
			sim->revision++;
		kv->result.revision = sim->revision;
		kv->result.era = sim->era;
		if (sim->restores == SIM_RESTORES_WITHOUT_ERA &&
		    kv->node->in_force == 0 && sim->now < sim->rewritten_at)
			kv->node->unknown = sim->config_version;
		if (kv->kind == KV_LIST)
			sim_answer_list(sim, kv);
		else if (!sim_answer_watch(sim, kv))
			return;
		kv->delivered_at = sim->now +
		    sim_between(sim, 1000,
			!sim->calm && sim_chance(sim, 0.1) ? 900000 : 6000);
	}
	if (kv->delivered_at != 0 && sim->now >= kv->delivered_at &&
	    kv->delivered_at <= kv->deadline) {
		kv->fn = NULL;
		fn(&kv->result, kv->arg);
	} else if (sim->now >= kv->deadline) {
		struct kv_result failed = {.status = STATUS_UNAVAILABLE};

		kv->fn = NULL;
		fn(&failed, kv->arg);
	}
}

static int
sim_key_index(struct lstr key)
{
	int i = 0;

	while (!lstr_equal_c(key, sim_keys[i]))
		i++;
	return i;
}

/*
 * Puts the pending configuration in force unless it is older.
 */
static void
sim_apply_config(struct sim_node *node)
{
	bool is_older = node->pending < node->in_force;

	if (!is_older)
		node->in_force = node->pending;
	config_proof_decide(&node->proof,
	    is_older ? CONFIG_DECISION_OLDER : CONFIG_DECISION_CURRENT);
	node->pending = 0;
}

static void
sim_on_changed(struct lstr key, struct lstr value,
    struct store_position position, void *arg)
{
	struct sim_node *node = arg;
	struct sim *sim = node->sim;
	int64_t version = 0;

	node->known[sim_key_index(key)] = position;
	if (lstr_equal_c(key, sim_keys[SIM_SETTLED_KEY])) {
		ck_assert_int_eq(lstr_to_int64(value, &version), STATUS_OK);
		node->settled = (uint64_t)version;
		store_cache_note_settled_era(node->copy, node->settled);
	}
	if (!lstr_equal_c(key, sim_keys[SIM_CONFIG_KEY]))
		return;
	ck_assert_int_eq(lstr_to_int64(value, &version), STATUS_OK);
	if (node->pending != 0 && store_cache_is_restoring(node->copy))
		sim_apply_config(node);
	config_proof_receive(
	    &node->proof, position, store_cache_proved_at(node->copy));
	node->pending = (unsigned int)version;
	node->pending_position = position;
	if (node->in_force == 0) {
		sim_apply_config(node);
		return;
	}
	node->apply_at = sim->now +
	    sim_between(
		sim, 0, !sim->calm && sim_chance(sim, 0.2) ? 400000 : 20000);
}

static void
sim_on_removed(struct lstr key, void *arg)
{
	struct sim_node *node = arg;

	memset(&node->known[sim_key_index(key)], 0, sizeof(node->known[0]));
}

static void
sim_on_synced(void *arg)
{
	(void)arg;
}

static bool
sim_is_watcher(const struct sim_node *node)
{
	return node->index < SIM_WATCHERS;
}

static void
sim_post(struct sim *sim, const struct sim_message *message)
{
	if (sim->message_count == SIM_MESSAGES_MAX ||
	    (!sim->calm && sim_chance(sim, 0.15)))
		return;
	sim->messages[sim->message_count] = *message;
	sim->messages[sim->message_count++].at = sim->now +
	    sim_between(
		sim, 500, !sim->calm && sim_chance(sim, 0.1) ? 1500000 : 4000);
}

/*
 * Hands changes over to the nodes that do not watch, unless a configuration,
 * which is too large, is among them.
 */
static void
sim_on_fetched(struct store_position after, struct store_position position,
    const struct kv_item *items, size_t count, void *arg)
{
	struct sim_node *node = arg;
	struct sim_message message = {
	    .after = after, .position = position, .count = count};

	if (count > G_N_ELEMENTS(message.items))
		return;
	for (size_t i = 0; i < count; i++) {
		if (lstr_equal_c(items[i].key, sim_keys[SIM_CONFIG_KEY]))
			return;
		message.items[i] = items[i];
	}
	for (int i = 0; i < SIM_NODES; i++) {
		message.to = i;
		if (i != node->index)
			sim_post(node->sim, &message);
	}
}

static const struct store_cache_ops sim_ops = {
    sim_on_changed, sim_on_removed, sim_on_synced, sim_on_fetched};

/*
 * Sends the proof of a watcher to all other nodes.
 */
static void
sim_send_proofs(struct sim *sim, struct sim_node *node)
{
	struct sim_message message = {.is_proof = true,
	    .position = store_cache_newest_position(node->copy),
	    .complete = store_cache_complete_position(node->copy),
	    .config = node->proof.received,
	    .proved_at = store_cache_proved_at(node->copy)};

	node->next_proof_at = sim->now + SIM_PROOF_EVERY_USEC;
	if (message.proved_at == 0 || message.complete.revision == 0)
		return;
	for (int i = 0; i < SIM_NODES; i++) {
		message.to = i;
		if (i != node->index)
			sim_post(sim, &message);
	}
}

static void
sim_deliver(struct sim *sim, const struct sim_message *message)
{
	struct sim_node *node = &sim->nodes[message->to];
	int64_t before = store_cache_proved_at(node->copy);
	bool same = store_position_equal(message->config, node->proof.received);

	if (!message->is_proof) {
		store_cache_apply_peer_changes(node->copy, message->after,
		    message->position, message->items, message->count);
		return;
	}
	store_cache_note_peer_proof(node->copy, message->position,
	    message->complete, message->proved_at, same);
	if (message->config.era ==
		store_cache_complete_position(node->copy).era &&
	    store_position_compare(message->config, node->proof.received) > 0)
		store_cache_fetch_now(node->copy);
	sim->handed_over +=
	    !sim_is_watcher(node) && store_cache_proved_at(node->copy) > before;
}

static void
sim_node_start(struct sim *sim, struct sim_node *node)
{
	memset(&node->proof, 0, sizeof(node->proof));
	node->in_force = 0;
	node->unknown = 0;
	node->settled = 0;
	node->pending = 0;
	memset(node->known, 0, sizeof(node->known));
	memset(&node->kv, 0, sizeof(node->kv));
	node->kv.base.vtable = &sim_vtable;
	node->kv.node = node;
	node->loop.now = sim->now;
	ck_assert_int_eq(store_cache_create(&node->loop, &node->kv.base, "",
			     &sim_ops, node, &node->copy),
	    STATUS_OK);
	store_cache_set_watch(node->copy,
	    sim_is_watcher(node) ? STORE_CACHE_WATCH_SHARED
				 : STORE_CACHE_WATCH_PEERS);
}

/*
 * Calls the timers that are due and frees those that were destroyed.
 */
static void
sim_run_timers(struct loop *loop)
{
	struct loop_timer **link = &loop->timers;

	for (struct loop_timer *t = loop->timers; t != NULL; t = t->next) {
		if (!t->set || t->destroyed || t->at > loop->now)
			continue;
		t->set = false;
		t->fn(t->arg);
	}
	while (*link != NULL) {
		struct loop_timer *timer = *link;

		if (!timer->destroyed) {
			link = &timer->next;
			continue;
		}
		*link = timer->next;
		g_free(timer);
	}
}

/*
 * Writes the settled era if a node has proved its configuration in a later one
 * than the key has.
 */
static void
sim_settle_era(struct sim *sim, const struct sim_node *node)
{
	int64_t proved_at = store_cache_proved_at(node->copy);
	uint64_t era = store_cache_proved_era(node->copy);

	if (era != sim->era || era <= node->settled ||
	    config_proof_at(&node->proof, proved_at) != proved_at ||
	    sim->now < MAX(sim->away_until, sim->store_down_until) ||
	    sim->now < node->cut_until ||
	    node->known[SIM_SETTLED_KEY].revision !=
		sim->versions[SIM_SETTLED_KEY])
		return;
	sim_write_version(sim, SIM_SETTLED_KEY, false, (unsigned int)era);
}

static void
sim_node_step(struct sim *sim, struct sim_node *node)
{
	int64_t proved_at;
	unsigned int newest;

	if (node->stalled_until > sim->now)
		return;
	node->loop.now = sim->now;
	sim_step_call(sim, &node->kv);
	for (size_t i = 0; i < sim->message_count;) {
		struct sim_message message = sim->messages[i];

		if (message.to != node->index || message.at > sim->now) {
			i++;
			continue;
		}
		sim->messages[i] = sim->messages[--sim->message_count];
		sim_deliver(sim, &message);
	}
	sim_run_timers(&node->loop);
	store_cache_tick(node->copy);
	if (node->pending != 0 && sim->now >= node->apply_at) {
		sim_apply_config(node);
	}
	sim_settle_era(sim, node);
	if (sim_is_watcher(node) && sim->now >= node->next_proof_at)
		sim_send_proofs(sim, node);
	proved_at =
	    config_proof_at(&node->proof, store_cache_proved_at(node->copy));
	newest = sim_config_at(sim, proved_at);
	sim->violations += node->in_force != 0 && proved_at != 0 &&
	    node->in_force < newest && newest > node->unknown;
}

/*
 * Returns a random duration of trouble.
 */
static int64_t
sim_trouble(struct sim *sim, int64_t max)
{
	return sim_between(sim, 0,
	    sim->restores == SIM_RESTORES_WITHOUT_ERA
		? SIM_NO_ERA_TROUBLE_MAX_USEC
		: max);
}

/*
 * Changes keys and injects trouble.
 */
static void
sim_disturb(struct sim *sim)
{
	if (sim_chance(sim, 0.004))
		sim_write(sim, g_rand_int_range(sim->rand, 0, SIM_WRITTEN_KEYS),
		    false);
	if (sim_chance(sim, 0.0015))
		sim_write(sim, SIM_CONFIG_KEY, false);
	if (sim_chance(sim, 0.001))
		sim_write(sim, SIM_WRITTEN_KEYS - 1, true);
	if (sim->calm)
		return;
	if (sim->restores != SIM_NO_RESTORES &&
	    sim->now >= MAX(sim->away_until, 3 * LOOP_USEC_PER_SEC) +
		    SIM_NO_ERA_AGE_MIN_USEC + SIM_REWRITE_USEC &&
	    sim_chance(sim, 0.0005))
		sim_restore(sim);
	if (sim_chance(sim, 0.0005))
		sim->store_down_until =
		    sim->now + sim_trouble(sim, 4 * LOOP_USEC_PER_SEC);
	if (sim_chance(sim, 0.0005))
		sim->store_slow_until =
		    sim->now + sim_trouble(sim, 4 * LOOP_USEC_PER_SEC);
	if (sim_chance(sim, 0.001))
		sim->compacted = sim->revision;
	if (sim_chance(sim, 0.003)) {
		struct sim_node *node =
		    &sim->nodes[g_rand_int_range(sim->rand, 0, SIM_NODES)];

		switch (g_rand_int_range(sim->rand, 0, 3)) {
		case 0:
			node->stalled_until =
			    sim->now + sim_trouble(sim, 3 * LOOP_USEC_PER_SEC);
			break;
		case 1:
			node->cut_until =
			    sim->now + sim_trouble(sim, 5 * LOOP_USEC_PER_SEC);
			break;
		default:
			node->kv.fn = NULL;
			store_cache_destroy(node->copy);
			sim_run_timers(&node->loop);
			sim_node_start(sim, node);
		}
	}
}

static void
sim_init(struct sim *sim, uint32_t seed, enum sim_restores restores)
{
	memset(sim, 0, sizeof(*sim));
	sim->restores = restores;
	sim->era = restores == SIM_RESTORES_WITH_ERA ? 1 : 0;
	sim->rand = g_rand_new_with_seed(seed);
	sim->now = LOOP_USEC_PER_SEC;
	for (int i = 0; i < SIM_WRITTEN_KEYS; i++)
		sim_write(sim, i, false);
	if (sim->era != 0)
		sim_write_version(
		    sim, SIM_SETTLED_KEY, false, (unsigned int)sim->era);
	for (int i = 0; i < SIM_NODES; i++) {
		sim->nodes[i].sim = sim;
		sim->nodes[i].index = i;
		sim_node_start(sim, &sim->nodes[i]);
	}
}

static void
sim_run(struct sim *sim, int64_t usec)
{
	int64_t end = sim->now + usec;

	for (; sim->now < end; sim->now += SIM_STEP_USEC) {
		sim->revisions[(sim->now - LOOP_USEC_PER_SEC) / SIM_STEP_USEC] =
		    sim->revision;
		sim_disturb(sim);
		sim_rewrite_lost(sim);
		if (sim->restores != SIM_NO_RESTORES &&
		    sim->now >= sim->away_until &&
		    sim->now / SIM_STEP_USEC % SIM_REPORT_EVERY_STEPS == 0)
			sim->revision++;
		for (int i = 0; i < SIM_NODES; i++)
			sim_node_step(sim, &sim->nodes[i]);
	}
}

static void
sim_destroy(struct sim *sim)
{
	for (int i = 0; i < SIM_NODES; i++) {
		store_cache_destroy(sim->nodes[i].copy);
		sim_run_timers(&sim->nodes[i].loop);
	}
	g_rand_free(sim->rand);
}

#endif
