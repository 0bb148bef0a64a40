#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "metric.h"
#include "pool.h"

/* Load added to a server in another data centre, relative to its slots, because
 * traffic between data centres is expensive. */
#define REMOTE_LOAD 0.3
/* Load added to a server at an error rate of 1. */
#define ERROR_LOAD 12.0
/* Half-life of a measured slowness without new measurements. */
#define SLOWNESS_HALF_LIFE_USEC (2 * LOOP_USEC_PER_SEC)
#define SLOWNESS_MAX 20.0
#define ROUND_HALF 0.5

static struct metric_histogram information_ages = {
    .name = "chestnuthoist_choice_information_age_seconds",
    .help = "Age of the reports of other nodes when servers are chosen."};
static struct metric full_refusals = {
    .name = "chestnuthoist_sends_without_capacity_total",
    .labels = "",
    .help = "Sends of generations that a server refused for lack of capacity.",
    .kind = METRIC_COUNTER};

/*
 * Registers the metrics of this module.
 */
void
pool_register_metrics(void)
{
	metric_register_histogram(&information_ages);
	metric_register(&full_refusals);
}

/*
 * Frees a server; element destructor of the list of removed servers.
 */
static void
server_free(void *data)
{
	struct pool_server *server = data;

	g_queue_clear(&server->idle);
	fleet_server_clear(&server->info);
	g_free(server);
}

/*
 * Creates an empty pool.
 */
struct pool *
pool_new(void)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	pool->by_hash = g_hash_table_new(NULL, NULL);
	pool->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	pool->removed = g_ptr_array_new_with_free_func(server_free);
	pool->removed_failures =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->spread_strength = SPREAD_STRENGTH;
	return pool;
}

/*
 * Frees the pool and its servers, whose connections must have been closed.
 */
void
pool_free(struct pool *pool)
{
	GHashTableIter iter;
	gpointer server;

	if (pool == NULL)
		return;
	g_hash_table_iter_init(&iter, pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		g_ptr_array_add(pool->removed, server);
	g_ptr_array_free(pool->removed, TRUE);
	g_hash_table_destroy(pool->by_id);
	g_hash_table_destroy(pool->by_hash);
	g_hash_table_destroy(pool->by_address);
	g_hash_table_destroy(pool->removed_failures);
	g_hash_table_destroy(pool->groups);
	g_free(pool);
}

/*
 * Returns the hash that identifies a server in messages between nodes.
 */
uint32_t
pool_hash(struct lstr id)
{
	return (uint32_t)XXH3_64bits(id.data, id.len);
}

/*
 * Assigns the address of a server to the one that started last among the
 * servers listed with it, since an address belongs to one process at a time.
 */
static void
assign_address(struct pool *pool, struct pool_server *server)
{
	struct pool_server *holder =
	    pool_find_address(pool, lstr_from(server->info.address_text));

	server->superseded = holder != NULL && holder != server &&
	    holder->info.born > server->info.born;
	if (server->superseded) {
		pool_note_replaced(server, holder->info.born);
		return;
	}
	if (holder != NULL && holder != server) {
		holder->superseded = true;
		pool_note_replaced(holder, server->info.born);
	}
	g_hash_table_replace(
	    pool->by_address, server->info.address_text, server);
}

/*
 * Records that a server is draining or was removed, unless that is already
 * known.
 */
static void
note_draining(const struct pool *pool, struct pool_server *server, int64_t now)
{
	if (server->stops_at == 0)
		server->stops_at = now + pool->drain_usec;
}

/*
 * Records that the process of a server stated that it is leaving. Returns false
 * if that is already known.
 */
bool
pool_note_leaving(struct pool *pool, struct pool_server *server, int64_t now)
{
	if (server->leaving)
		return false;
	server->leaving = true;
	note_draining(pool, server, now);
	return true;
}

/*
 * Records that the process of a server refused a call and wants no other one
 * for a time. An earlier statement that lasts longer stays in force. Returns
 * false if the server already refused calls.
 */
bool
pool_note_refuses(
    struct pool_server *server, int64_t retry_after_usec, int64_t now)
{
	bool refused = pool_refuses(server, now);

	server->refuses_until = MAX(server->refuses_until,
	    now + MIN(retry_after_usec, POOL_REFUSES_MAX_USEC));
	return !refused;
}

/*
 * Returns whether a server wants no calls now.
 */
bool
pool_refuses(const struct pool_server *server, int64_t now)
{
	return server->refuses_until > now;
}

/*
 * Restores what the process of a server stated before its entry was removed; an
 * entry may lapse and come back while the process runs.
 */
static void
restore_statements(const struct pool *pool, struct pool_server *server)
{
	for (guint i = pool->removed->len; i > 0; i--) {
		const struct pool_server *removed =
		    g_ptr_array_index(pool->removed, i - 1);

		if (removed->info.born != server->info.born ||
		    strcmp(removed->info.id, server->info.id) != 0)
			continue;
		server->leaving = removed->leaving;
		server->refuses_until = removed->refuses_until;
		server->stops_at = removed->leaving ? removed->stops_at : 0;
		return;
	}
}

/*
 * Returns the listed server of the same process; the given one if none is
 * listed. They differ once an entry has lapsed and come back.
 */
struct pool_server *
pool_find_process(const struct pool *pool, struct pool_server *server)
{
	struct pool_server *listed = pool_find(pool, server->info.id);

	return listed != NULL && listed->info.born == server->info.born
	    ? listed
	    : server;
}

/*
 * Returns the group of a server.
 */
static struct spread_group *
find_group(struct pool *pool, const struct fleet_server *info)
{
	char *key = g_strjoin("\n", info->service, info->zone,
	    info->kind != NULL ? info->kind : "", NULL);
	struct spread_group *group = g_hash_table_lookup(pool->groups, key);

	if (group != NULL) {
		g_free(key);
		return group;
	}
	group = g_new0(struct spread_group, 1);
	group->hold_usec =
	    info->kind != NULL ? PATH_DURATION_USEC : SPREAD_PLAIN_USEC;
	g_hash_table_insert(pool->groups, key, group);
	return group;
}

/*
 * Adds or updates a server and takes ownership of the contents of info. A
 * server that was restarted is a new one, since it retains no earlier state.
 */
struct pool_server *
pool_put(
    struct pool *pool, struct fleet_server *info, int64_t now, bool *is_new)
{
	struct pool_server *server = pool_find(pool, info->id);

	if (server != NULL && server->info.born != info->born) {
		pool_note_replaced(server, info->born);
		pool_remove(pool, info->id, now);
		server = NULL;
	}
	*is_new = server == NULL;
	pool->version++;
	if (server == NULL) {
		server = g_new0(struct pool_server, 1);
		server->slowness = 1;
		g_queue_init(&server->idle);
		pool->last_added_at = now;
	} else {
		g_hash_table_remove(pool->by_id, server->info.id);
		if (pool_find_address(
			pool, lstr_from(server->info.address_text)) == server)
			g_hash_table_remove(
			    pool->by_address, server->info.address_text);
		fleet_server_clear(&server->info);
	}
	server->info = *info;
	server->entry_expires_at = 0;
	server->hash = pool_hash(lstr_from(info->id));
	server->group = find_group(pool, info);
	if (*is_new)
		server->draws = MAX(server->hash ^ pool->spread_seed, 1u);
	g_hash_table_replace(pool->by_id, server->info.id, server);
	g_hash_table_replace(
	    pool->by_hash, GUINT_TO_POINTER(server->hash), server);
	assign_address(pool, server);
	if (*is_new)
		restore_statements(pool, server);
	if (server->info.state != FLEET_READY)
		note_draining(pool, server, now);
	else if (!server->leaving)
		server->stops_at = 0;
	return server;
}

/*
 * Remembers that a server is removed which failed, since the capacity that it
 * had is missing until its layers are held again.
 */
static void
note_removed_failure(struct pool *pool, const struct pool_server *server)
{
	int64_t *at;

	if (server->failing_since == 0 || server->info.zone == NULL)
		return;
	at = g_hash_table_lookup(pool->removed_failures, server->info.zone);
	if (at == NULL) {
		at = g_new0(int64_t, 1);
		g_hash_table_insert(
		    pool->removed_failures, g_strdup(server->info.zone), at);
	}
	*at = MAX(*at, server->failing_since);
}

/*
 * Removes a server from the tables. It stays allocated until the pool is freed,
 * since requests may still use it.
 */
void
pool_remove(struct pool *pool, const char *id, int64_t now)
{
	struct pool_server *server = pool_find(pool, id);

	if (server == NULL)
		return;
	pool->version++;
	g_hash_table_remove(pool->by_id, server->info.id);
	g_hash_table_remove(pool->by_hash, GUINT_TO_POINTER(server->hash));
	if (pool_find_address(pool, lstr_from(server->info.address_text)) ==
	    server)
		g_hash_table_remove(
		    pool->by_address, server->info.address_text);
	note_removed_failure(pool, server);
	server->avoid_until = INT64_MAX;
	note_draining(pool, server, now);
	g_ptr_array_add(pool->removed, server);
}

/*
 * Keeps a server whose entry expired during an outage of the store until a
 * given time.
 */
void
pool_expire_at(struct pool *pool, const char *id, int64_t until)
{
	struct pool_server *server = pool_find(pool, id);

	if (server != NULL)
		server->entry_expires_at = until;
}

/*
 * Returns the server with an identifier, or NULL if it is not listed.
 */
struct pool_server *
pool_find(const struct pool *pool, const char *id)
{
	return g_hash_table_lookup(pool->by_id, id);
}

/*
 * Returns the server with a hash, see pool_hash(), or NULL if it is not listed.
 */
struct pool_server *
pool_find_hash(const struct pool *pool, uint32_t hash)
{
	return g_hash_table_lookup(pool->by_hash, GUINT_TO_POINTER(hash));
}

/*
 * Returns the server with an address "ip:port", or NULL if none is listed.
 */
struct pool_server *
pool_find_address(const struct pool *pool, struct lstr address)
{
	char *text = g_strndup(address.data, address.len);
	struct pool_server *server =
	    g_hash_table_lookup(pool->by_address, text);

	g_free(text);
	return server;
}

/*
 * Returns true if the exclusion of a failed server has expired and the server
 * has yet to show that it works again.
 */
bool
pool_is_on_probation(const struct pool_server *server, int64_t now)
{
	return server->failing_since != 0 && server->avoid_until <= now &&
	    !server->superseded;
}

/*
 * Returns true if a server neither leaves nor fails. It may have no capacity or
 * want no requests.
 */
static bool
is_sound(const struct pool_server *server, int64_t now)
{
	return server->info.state == FLEET_READY && !server->leaving &&
	    !server->superseded && server->failing_since == 0 &&
	    server->avoid_until <= now && server->peer_avoid_until <= now;
}

/*
 * Returns true if a server may get new requests.
 */
bool
pool_usable(const struct pool_server *server, int64_t now)
{
	return is_sound(server, now) && !pool_refuses(server, now) &&
	    server->full_until <= now && server->peer_full_until <= now;
}

/*
 * Returns the time from which on a sound server that holds a layer wants
 * requests; INT64_MAX: there is none. engine NULL: there are no layers.
 */
static int64_t
layer_wanted_at(GPtrArray *servers, const struct fleet_engine *engine,
    uint32_t layer, int64_t now)
{
	int64_t wanted_at = INT64_MAX;

	for (guint i = 0; i < servers->len; i++) {
		const struct pool_server *server =
		    g_ptr_array_index(servers, i);

		if (is_sound(server, now) &&
		    (engine == NULL ||
			(server->info.layer_from <= layer &&
			    layer < server->info.layer_to)))
			wanted_at = MIN(wanted_at, server->refuses_until);
	}
	return wanted_at;
}

/*
 * Returns the time from which on the sound servers of a service want requests
 * again, as far as all layers are concerned; engine NULL: it has none. 0: they
 * want them now, or would serve none even if they did.
 */
int64_t
pool_wanted_at(
    GPtrArray *servers, const struct fleet_engine *engine, int64_t now)
{
	uint32_t layers = engine == NULL ? 1 : engine->layers;
	int64_t wanted_at = 0;
	bool refused = false;

	for (guint i = 0; i < servers->len && !refused; i++)
		refused = pool_refuses(g_ptr_array_index(servers, i), now);
	for (uint32_t layer = 0; refused && layer < layers; layer++)
		wanted_at = MAX(
		    wanted_at, layer_wanted_at(servers, engine, layer, now));
	return wanted_at > now && wanted_at != INT64_MAX ? wanted_at : 0;
}

/*
 * Records a failure of a server and excludes it from requests for a time that
 * doubles with each consecutive failure. Returns false if the server is already
 * excluded; then only graver evidence is recorded.
 */
bool
pool_avoid(struct pool_server *server, enum pool_evidence evidence, int64_t now)
{
	int64_t span = POOL_AVOID_USEC;

	if (server->failing_since == 0)
		server->found_at = 0;
	if (evidence == POOL_FAULTY && server->found_at == 0)
		server->found_at = now;
	if (server->avoid_until > now) {
		server->evidence = MAX(server->evidence, evidence);
		return false;
	}
	server->evidence = evidence;
	for (uint32_t i = 0; i < server->failures && span < POOL_AVOID_MAX_USEC;
	     i++)
		span *= 2;
	server->failures++;
	if (server->failing_since == 0)
		server->failing_since = now;
	server->avoid_until = now + MIN(span, POOL_AVOID_MAX_USEC);
	return true;
}

/*
 * Records that a process with the identifier or the address of a server started
 * at a given time. If it started later, the process of the server has ended.
 */
void
pool_note_replaced(struct pool_server *server, int64_t born)
{
	if (server->info.born != 0 && born > server->info.born)
		server->replaced = true;
}

/*
 * Records that a connection to a server ended with a request in hand, or was
 * refused. The server may have ended, and another process may come in its
 * place.
 */
void
pool_note_connection_lost(struct pool_server *server)
{
	server->connection_lost = true;
}

/*
 * Records that a server sent an answer that is not valid. Returns whether it
 * keeps sending them.
 */
bool
pool_note_broken_answer(struct pool_server *server)
{
	return ++server->broken_answers >= POOL_BROKEN_ANSWERS;
}

/*
 * Returns true if at least POOL_FULL_SHARE of a server's memory for requests
 * is reserved.
 */
bool
pool_is_nearly_full(
    const struct pool_server *server, const struct fleet_engine *engine)
{
	const struct fleet_kind_info *kind =
	    fleet_engine_kind(engine, server->info.kind);
	double used = (double)(server->own.memory + server->peers.memory +
	    server->peers_margin);

	return kind != NULL &&
	    used >= POOL_FULL_SHARE *
		(double)path_server_memory(engine, kind,
		    server->info.layer_to - server->info.layer_from);
}

/*
 * Records that a server refused a request and may be full; it then gets no new
 * requests for POOL_FULL_USEC. Returns false, and records nothing, if the
 * server has shown no sign of life since the last such refusal, so that a fault
 * is the more likely cause.
 */
bool
pool_note_full(struct pool_server *server, int64_t now)
{
	if (server->full_at != 0 && server->full_until <= now &&
	    server->worked_at < server->full_at)
		return false;
	full_refusals.value++;
	server->full_at = now;
	server->full_until = now + POOL_FULL_USEC;
	return true;
}

/*
 * Returns the margin to add to memory use of all peers that is extrapolated
 * from a sample of them. variance is that of the number of requests.
 */
int64_t
pool_sampling_margin(const struct pool_use *peers, double variance)
{
	if (variance <= 0 || peers->active == 0)
		return 0;
	return (int64_t)(POOL_MARGIN_DEVIATIONS * sqrt(variance) *
	    (double)peers->memory / peers->active);
}

/*
 * Clears the sums of the peers' use of all servers.
 */
void
pool_clear_peers_use(struct pool *pool)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;

		memset(&server->peers, 0, sizeof(server->peers));
		server->peers_variance = 0;
		server->peers_margin = 0;
		memset(&server->reported, 0, sizeof(server->reported));
		server->reported_aged = 0;
	}
}

/*
 * Adds the use of a server by one peer, which stands for scale peers;
 * pool_finish_peers_use() ends the sum.
 */
void
pool_add_peers_use(
    struct pool_server *server, const struct pool_use *use, double scale)
{
	server->peers.memory += (int64_t)(scale * (double)use->memory);
	server->peers.active += (uint32_t)(scale * use->active + ROUND_HALF);
	server->peers.first_active +=
	    (uint32_t)(scale * use->first_active + ROUND_HALF);
	server->peers_variance += scale * use->active * (scale - 1);
}

/*
 * Records when a use that was added had been reported.
 */
void
pool_date_peers_use(
    struct pool_server *server, const struct pool_use *use, int64_t reported_at)
{
	server->reported.memory += use->memory;
	server->reported.active += use->active;
	server->reported.first_active += use->first_active;
	server->reported_aged += (double)use->active * (double)reported_at;
}

/*
 * Returns the part of the peers' use of a server that is extrapolated.
 */
static struct spread_use
extrapolated_use(const struct pool_server *server)
{
	const struct pool_use *all = &server->peers;
	const struct pool_use *reported = &server->reported;

	return (struct spread_use){(double)(all->memory - reported->memory),
	    (double)all->active - reported->active,
	    (double)all->first_active - reported->first_active};
}

/*
 * Adds the peers' use of a server to the sums of its group.
 */
static void
add_to_group(const struct pool_server *server)
{
	struct spread_group *group = server->group;
	struct spread_use unheard = extrapolated_use(server);

	group->servers++;
	group->active += server->peers.active;
	group->reported += server->reported.active;
	group->aged += server->reported_aged;
	group->unheard.memory += unheard.memory;
	group->unheard.active += unheard.active;
	group->unheard.first_active += unheard.first_active;
	group->variance += server->peers_variance;
}

/*
 * Replaces the extrapolated part of the peers' use of a server.
 */
static void
spread_extrapolated_use(struct pool_server *server, double strength)
{
	struct spread_use sampled = extrapolated_use(server);
	struct spread_use use =
	    spread_unheard(server->group, &sampled, strength);
	double deviation = spread_deviation(server->group, use.active);

	server->peers.memory = server->reported.memory + (int64_t)use.memory;
	server->peers.active =
	    server->reported.active + (uint32_t)(use.active + ROUND_HALF);
	server->peers.first_active = server->reported.first_active +
	    (uint32_t)(use.first_active + ROUND_HALF);
	server->peers_variance = deviation * deviation;
}

/*
 * Computes from the added uses what is to be expected of the nodes that are not
 * heard, and of all peers since their reports; see spread.h.
 */
void
pool_finish_peers_use(struct pool *pool)
{
	double strength = pool->spread_strength;
	bool sampled = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		spread_group_clear(value);
	g_hash_table_iter_init(&iter, pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_to_group(value);
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct spread_group *group = value;

		if (group->servers == 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		spread_group_finish(group, strength);
		sampled = sampled || group->variance > 0;
	}
	/* With every node heard, nothing is extrapolated. */
	if (!sampled)
		return;
	g_hash_table_iter_init(&iter, pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;

		if (strength > 0 && server->group->unheard.active > 0)
			spread_extrapolated_use(server, strength);
		server->peers_margin = pool_sampling_margin(
		    &server->peers, server->peers_variance);
	}
}

/*
 * Records that a peer avoids a server until a given time, unless this node does
 * not believe its finding.
 */
void
pool_note_peer_finding(struct pool_server *server, uint32_t peer,
    const struct finding *finding, int64_t until, int64_t now)
{
	if (!findings_believe(finding, server->worked_at, now))
		return;
	if (server->peer_avoid_until <= now) {
		server->peer_failing_since = now;
		server->peer_failing_hash = peer;
		server->peers_agree = false;
		server->peer_definite = false;
	}
	server->peer_definite = server->peer_definite || finding->definite;
	server->peers_agree =
	    server->peers_agree || server->peer_failing_hash != peer;
	server->peer_avoid_until = until;
}

/*
 * Records that a peer avoids a server without definite evidence.
 */
void
pool_note_peer_avoids(
    struct pool_server *server, uint32_t peer, int64_t until, int64_t now)
{
	const struct finding finding = {false, now};

	pool_note_peer_finding(server, peer, &finding, until, now);
}

/*
 * Returns when this node found definite evidence that a server has failed; 0:
 * it has none, or the server has worked since: one that only lacked memory is
 * named by other servers as well.
 */
int64_t
pool_found_at(const struct pool_server *server)
{
	return server->failing_since != 0 &&
		server->worked_at <= server->found_at + FINDINGS_DELAY_USEC
	    ? server->found_at
	    : 0;
}

/*
 * Returns whether there is definite evidence, of this node or a peer, that a
 * server has failed.
 */
bool
pool_has_ended(const struct pool_server *server, int64_t now)
{
	return pool_found_at(server) != 0 ||
	    (server->peer_definite && server->peer_avoid_until > now);
}

/*
 * Returns since when a server fails for this node or, as two peers report
 * independently, for others; 0: it does not. A single peer may be the one that
 * is disconnected.
 */
int64_t
pool_failing_since(const struct pool_server *server, int64_t now)
{
	if (server->failing_since != 0)
		return server->failing_since;
	if (server->peer_avoid_until > now && server->peers_agree)
		return server->peer_failing_since;
	return 0;
}

/*
 * Returns when the last server of a service in a data centre failed or vanished
 * that has not worked since; 0: none did lately.
 */
int64_t
pool_last_failure_at(const struct pool *pool, const char *service,
    const char *place, int64_t now)
{
	const int64_t *removed =
	    g_hash_table_lookup(pool->removed_failures, place);
	int64_t last = removed ? *removed : 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_server *server = value;

		if (strcmp(server->info.zone, place) == 0 &&
		    strcmp(server->info.service, service) == 0)
			last = MAX(last, pool_failing_since(server, now));
	}
	return last != 0 && now - last <= POOL_FAILURE_MEMORY_USEC ? last : 0;
}

/*
 * Records layers that a server is known to hold before the platform's list
 * shows them.
 */
void
pool_confirm_layers(
    struct pool *pool, struct pool_server *server, uint32_t from, uint32_t to)
{
	if (server->info.layer_from == from && server->info.layer_to == to)
		return;
	server->info.layer_from = from;
	server->info.layer_to = to;
	pool->version++;
}

/*
 * Returns whether a sign that a server works refutes the reason why it is
 * avoided.
 */
static bool
refutes(enum pool_sign sign, enum pool_evidence evidence)
{
	return evidence == POOL_SILENT ||
	    (evidence == POOL_STALLED && sign == POOL_PROGRESS);
}

/*
 * Records that a server works. The exclusion of one that was only silent or
 * stalled ends; the next one is longer, until a request succeeds.
 */
void
pool_note_working(struct pool_server *server, enum pool_sign sign, int64_t now)
{
	server->worked_at = now;
	if (sign == POOL_PROGRESS)
		server->progressed_at = now;
	server->peer_avoid_until = 0;
	server->peer_definite = false;
	server->connection_lost = false;
	if (server->avoid_until != INT64_MAX && refutes(sign, server->evidence))
		server->avoid_until = MIN(server->avoid_until, now);
	if (server->avoid_until <= now)
		server->failing_since = 0;
}

/*
 * Records the success or failure of a request at a server.
 */
void
pool_note_result(struct pool_server *server, bool success)
{
	server->error_rate +=
	    POOL_SAMPLE_WEIGHT * ((success ? 0 : 1) - server->error_rate);
	if (!success)
		return;
	server->failures = 0;
	server->broken_answers = 0;
}

/*
 * Returns how many times slower than its kind a server is. Without new
 * measurements the value decays to 1, so that the server is tried again.
 */
double
pool_slowness(const struct pool_server *server, int64_t now)
{
	int64_t age = now - server->slowness_at;
	double excess = server->slowness - 1;

	while (age > SLOWNESS_HALF_LIFE_USEC && excess > 0.01) {
		excess /= 2;
		age -= SLOWNESS_HALF_LIFE_USEC;
	}
	return 1 + MAX(excess, 0);
}

/*
 * Records the ratio of a measured to an expected time. Ignored while a slowness
 * that the server itself reported is still valid.
 */
void
pool_note_slowness(struct pool_server *server, double ratio, int64_t now)
{
	double slowness = pool_slowness(server, now);

	if (server->reported_at != 0 &&
	    now - server->reported_at < POOL_REPORT_VALID_USEC)
		return;
	ratio = CLAMP(ratio, 1, SLOWNESS_MAX);
	server->slowness = slowness + POOL_SAMPLE_WEIGHT * (ratio - slowness);
	server->slowness_at = now;
}

/*
 * Records the slowness that a server itself reported. It takes precedence over
 * the slowness that is inferred from gaps of complete paths.
 */
void
pool_note_reported_slowness(
    struct pool_server *server, double slowness, int64_t now)
{
	server->slowness = CLAMP(slowness, 1, SLOWNESS_MAX);
	server->slowness_at = now;
	server->reported_at = now;
}

/*
 * Returns true if a server appears slow and has not reported its slowness
 * recently.
 */
bool
pool_needs_slowness_report(const struct pool_server *server, int64_t now)
{
	return pool_slowness(server, now) >= POOL_SUSPECT_SLOWNESS &&
	    (server->reported_at == 0 ||
		now - server->reported_at >= POOL_REPORT_VALID_USEC);
}

/*
 * Returns the servers of a service. The caller frees the array.
 */
GPtrArray *
pool_service_servers(const struct pool *pool, const char *service)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_server *server = value;

		if (strcmp(server->info.service, service) == 0)
			g_ptr_array_add(list, server);
	}
	return list;
}

/*
 * Returns a random part of the requests that peers are expected to have started
 * at a server since their reports.
 */
static double
draw_started(struct pool_server *server, int64_t now)
{
	int64_t age = now - server->group->reported_at;

	if (server->group->reported_at == 0 || age <= 0)
		return 0;
	return spread_draw(&server->draws, server->group->rate * (double)age);
}

/*
 * Adds requests of the usual size to a row of the table.
 */
static void
add_started(
    const struct fleet_engine *engine, double requests, struct path_server *row)
{
	double tokens =
	    (double)engine->usual_prompt_tokens + engine->usual_output_tokens;
	double rounded = requests + ROUND_HALF;

	row->used +=
	    (int64_t)(requests * tokens * (row->layer_to - row->layer_from));
	if (row->first_active > 0)
		row->first_active +=
		    (uint32_t)(rounded * row->first_active / row->active);
	row->active += (uint32_t)rounded;
}

/*
 * Fills the table for path_find(); row i is server i of the list. Returns the
 * number of rows.
 */
size_t
pool_path_table(GPtrArray *servers, const struct fleet_engine *engine,
    int64_t now, struct path_server *out, size_t max)
{
	size_t count = MIN(servers->len, max);
	int64_t ages = 0;
	int64_t reported = 0;

	for (size_t i = 0; i < count; i++) {
		struct pool_server *server = g_ptr_array_index(servers, i);
		const struct fleet_kind_info *kind =
		    fleet_engine_kind(engine, server->info.kind);
		struct path_server *row = &out[i];

		memset(row, 0, sizeof(*row));
		if (kind == NULL)
			continue;
		row->address = server->info.address_text;
		row->zone = server->info.zone;
		row->layer_from = server->info.layer_from;
		row->layer_to = server->info.layer_to;
		row->step_factor = kind->step_factor;
		row->prefill_factor = kind->prefill_factor;
		row->slowness = pool_slowness(server, now);
		row->memory = path_server_memory(
		    engine, kind, row->layer_to - row->layer_from);
		row->used = server->own.memory + server->peers.memory +
		    server->peers_margin;
		row->active = server->own.active + server->peers.active;
		row->first_active =
		    server->own.first_active + server->peers.first_active;
		row->first_active_max = engine->batch_max;
		row->usable = pool_usable(server, now);
		if (!row->usable || server->group->reported_at == 0)
			continue;
		ages += now - server->group->reported_at;
		reported++;
		add_started(engine, draw_started(server, now), row);
	}
	if (reported > 0)
		metric_observe(&information_ages, ages / reported);
	return count;
}

/*
 * Returns the number of requests of peers that are expected at a server of a
 * plain service.
 */
static double
expected_plain(struct pool_server *server, int64_t now)
{
	double started = draw_started(server, now);

	if (started <= 0)
		return server->peers.active;
	return spread_still_running(
		   server->peers.active, now - server->group->reported_at) +
	    started;
}

/*
 * Returns the server for a request to a plain service: the least loaded one,
 * where failures and distance count as load. Ties go to the first server from
 * a random position. NULL: no server is usable.
 */
struct pool_server *
pool_pick_plain(GPtrArray *servers, const char *zone,
    const struct pool_server *except, int64_t now, uint32_t random)
{
	struct pool_server *best = NULL;
	double best_load = 0;

	for (guint i = 0; i < servers->len; i++) {
		struct pool_server *server =
		    g_ptr_array_index(servers, (i + random) % servers->len);
		double load = server->own.active;

		if (server == except || !pool_usable(server, now))
			continue;
		load += expected_plain(server, now);
		load = (load + 1) / MAX(server->info.slots, 1u) +
		    ERROR_LOAD * server->error_rate;
		if (strcmp(server->info.zone, zone) != 0)
			load += REMOTE_LOAD;
		if (best == NULL || load < best_load) {
			best = server;
			best_load = load;
		}
	}
	return best;
}
