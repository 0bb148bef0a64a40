#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "route_priv.h"

/* Time in which the share of a new instance grows to 1. */
#define SLOW_START_USEC ((int64_t)10000000)
/* Share of an instance at the beginning of slow start. */
#define SLOW_START_SHARE 0.1
/* Factor of the share of an instance that is suspected to have failed. */
#define PENALTY_FACTOR 0.25
/* Time for which a load report is valid. */
#define REPORT_VALID_USEC ((int64_t)30000000)

/* Weight of a new sample in the excess latency of a link. */
#define EXCESS_SMOOTHING 0.2
/* Time in which the excess latency of an unused link halves. */
#define EXCESS_HALF_LIFE_USEC ((int64_t)10000000)
/*
 * A gap between tokens above this multiple of the expected time is attributed
 * to slow links; a shorter one is explained by batching in the engine.
 */
#define EXCESS_RATIO 2
/*
 * Maximum number of links with an excess latency; for further links only the
 * configured latency is used.
 */
#define LINKS_MAX 65536

/*
 * Creates an empty table. Returns STATUS_NO_MEMORY when the allocation fails.
 */
enum status
route_table_create(struct route_table **out)
{
	struct route_table *table = calloc(1, sizeof(*table));

	if (table == NULL)
		return status_set(STATUS_NO_MEMORY, "route table");
	table->slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
	table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	table->links =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	*out = table;
	return STATUS_OK;
}

/*
 * Frees the parts of a table that belong to the current configuration.
 */
static void
clear_configuration(struct route_table *table)
{
	g_free(table->slot_of);
	g_free(table->replica_start);
	g_free(table->members);
	g_free(table->layers);
	g_free(table->latency);
	table->slot_of = NULL;
	table->replica_start = NULL;
	table->members = NULL;
	table->layers = NULL;
	table->latency = NULL;
}

/*
 * Frees a table; NULL is allowed.
 */
void
route_table_destroy(struct route_table *table)
{
	if (table == NULL)
		return;
	clear_configuration(table);
	for (uint32_t i = 0; i < table->slots->len; i++) {
		g_free(route_slot(table, i)->name);
		g_free(route_slot(table, i)->address);
	}
	g_array_free(table->slots, TRUE);
	g_hash_table_destroy(table->by_name);
	g_hash_table_destroy(table->links);
	free(table);
}

/*
 * Returns the slot with the given index.
 */
struct slot *
route_slot(const struct route_table *table, uint32_t i)
{
	assert(i < table->slots->len);
	return &g_array_index(table->slots, struct slot, i);
}

/*
 * Returns the number of slots, including unused ones.
 */
uint32_t
route_slot_count(const struct route_table *table)
{
	return table->slots->len;
}

/*
 * Returns the slot index of an instance name, or ROUTE_NONE.
 */
uint32_t
route_find_slot(const struct route_table *table, struct lstr name)
{
	char *text = lstr_dup_c(name);
	gpointer value;
	bool found = text != NULL &&
	    g_hash_table_lookup_extended(table->by_name, text, NULL, &value);

	free(text);
	return found ? GPOINTER_TO_UINT(value) : ROUTE_NONE;
}

/*
 * Returns the slot index of an instance of the current configuration.
 */
uint32_t
route_slot_of_instance(const struct route_table *table, uint32_t instance)
{
	assert(instance < table->instance_count);
	return table->slot_of[instance];
}

/*
 * Assigns a free slot to an instance name, adding a slot when all are in use.
 * Returns its index.
 */
static uint32_t
allocate_slot(struct route_table *table, const char *name)
{
	struct slot empty_slot = {0};
	uint32_t i = table->free_hint;

	while (i < table->slots->len && route_slot(table, i)->name != NULL)
		i++;
	table->free_hint = i + 1;
	if (i == table->slots->len)
		g_array_append_val(table->slots, empty_slot);
	route_slot(table, i)->name = g_strdup(name);
	g_hash_table_insert(
	    table->by_name, route_slot(table, i)->name, GUINT_TO_POINTER(i));
	return i;
}

/*
 * Updates the slot of one instance from the configuration. An instance that is
 * new or has a new address begins with slow start, except in the first
 * configuration. One that is no longer configured as leaving begins with slow
 * start as well.
 */
static void
apply_instance(
    struct route_table *table, const struct inv *inv, uint32_t i, int64_t now)
{
	const struct inv_instance *instance = &inv->instances[i];
	uint32_t index = route_find_slot(table, lstr_from(instance->name));
	bool joined = index == ROUTE_NONE;
	struct slot *slot;

	if (joined)
		index = allocate_slot(table, instance->name);
	slot = route_slot(table, index);
	joined = joined || strcmp(slot->address, instance->address) != 0;
	if (joined) {
		slot->joined_at =
		    table->configured ? now : now - SLOW_START_USEC;
		slot->avoid_until = 0;
		slot->penalty_until = 0;
		slot->engine_leaving = false;
		slot->other_load_until = 0;
		g_free(slot->address);
		slot->address = g_strdup(instance->address);
	}
	slot->present = true;
	slot->place = instance->place;
	slot->first = instance->first;
	slot->last = instance->last;
	slot->count = instance->count > 0 ? instance->count : 1;
	slot->layer_usec = instance->accelerator != INV_NONE
	    ? inv->accelerators[instance->accelerator].layer_usec
	    : 0;
	if (slot->configured_leaving && !instance->leaving)
		slot->joined_at = now;
	slot->configured_leaving = instance->leaving;
	slot->checks_fencing = instance->checks_fencing;
	table->slot_of[i] = index;
}

/*
 * Frees the slots of instances that are no longer configured and run no
 * attempts.
 */
static void
free_unused_slots(struct route_table *table)
{
	table->free_hint = 0;
	for (uint32_t i = 0; i < table->slots->len; i++) {
		struct slot *slot = route_slot(table, i);

		if (slot->present || slot->running > 0 || slot->name == NULL)
			continue;
		g_hash_table_remove(table->by_name, slot->name);
		g_free(slot->name);
		g_free(slot->address);
		memset(slot, 0, sizeof(*slot));
	}
}

/*
 * Copies the instances of each replica and the latencies between places.
 */
static void
apply_replicas(struct route_table *table, const struct inv *inv)
{
	uint32_t next = 0;

	for (uint32_t r = 0; r < inv->replica_count; r++) {
		const struct inv_replica *replica = &inv->replicas[r];

		table->replica_start[r] = next;
		table->layers[r] = inv->services[replica->service].layers;
		for (uint32_t k = 0; k < replica->instance_count; k++)
			table->members[next++] =
			    table->slot_of[replica->instances[k]];
	}
	table->replica_start[inv->replica_count] = next;
	for (uint32_t a = 0; a < inv->place_count; a++) {
		for (uint32_t b = 0; b < inv->place_count; b++)
			table->latency[a * inv->place_count + b] =
			    inv_link_latency(inv, a, b);
	}
}

/*
 * Applies a configuration. Loads, avoided instances and running attempts are
 * kept by instance name. No reference to the configuration is kept.
 */
enum status
route_configure(struct route_table *table, const struct inv *inv, int64_t now)
{
	clear_configuration(table);
	table->instance_count = inv->instance_count;
	table->replica_count = inv->replica_count;
	table->place_count = inv->place_count;
	table->slot_of = g_new0(uint32_t, inv->instance_count + 1);
	table->members = g_new0(uint32_t, inv->instance_count + 1);
	table->replica_start = g_new0(uint32_t, inv->replica_count + 1);
	table->layers = g_new0(uint32_t, inv->replica_count + 1);
	table->latency =
	    g_new0(int64_t, (size_t)inv->place_count * inv->place_count + 1);
	for (uint32_t i = 0; i < table->slots->len; i++)
		route_slot(table, i)->present = false;
	for (uint32_t i = 0; i < inv->instance_count; i++)
		apply_instance(table, inv, i, now);
	free_unused_slots(table);
	apply_replicas(table, inv);
	table->configured = true;
	return STATUS_OK;
}

/*
 * Returns the share of an instance that may be used, at most 1. It grows
 * during slow start and is reduced while the instance is suspected to have
 * failed.
 */
double
route_share(const struct slot *slot, int64_t now)
{
	int64_t age = now - slot->joined_at;
	double share = 1;

	if (age < SLOW_START_USEC)
		share = SLOW_START_SHARE +
		    (1 - SLOW_START_SHARE) * (double)(age > 0 ? age : 0) /
			(double)SLOW_START_USEC;
	return slot->penalty_until > now ? share * PENALTY_FACTOR : share;
}

/*
 * Returns the load of an instance: the running attempts of this router plus
 * the load from other routers according to the last report that is still
 * valid.
 */
uint32_t
route_slot_load(const struct slot *slot, int64_t now)
{
	return slot->running +
	    (slot->other_load_until > now ? slot->other_load : 0);
}

/*
 * Fills in the state of a slot; the strings belong to the table.
 */
void
route_slot_info(const struct route_table *table, uint32_t index, int64_t now,
    struct route_slot_info *out)
{
	const struct slot *slot = route_slot(table, index);

	out->name = slot->name;
	out->address = slot->address;
	out->present = slot->present;
	out->engine_leaving = slot->engine_leaving;
	out->leaving = slot->configured_leaving || slot->list_leaving ||
	    slot->engine_leaving;
	out->checks_fencing = slot->checks_fencing;
	out->avoided = slot->avoid_until > now;
	out->penalised = slot->penalty_until > now;
	out->running = slot->running;
	out->load = route_slot_load(slot, now);
	out->share = route_share(slot, now);
}

/*
 * Adds a started attempt to the load of the instance of each stage.
 */
void
route_attempt_started(struct route_table *table, const struct route *route)
{
	for (uint32_t i = 0; i < route->count; i++)
		route_slot(table, route->stages[i].slot)->running++;
}

/*
 * Removes a finished attempt from the load of the instance of each stage.
 */
void
route_attempt_ended(struct route_table *table, const struct route *route)
{
	for (uint32_t i = 0; i < route->count; i++) {
		struct slot *slot = route_slot(table, route->stages[i].slot);

		assert(slot->running > 0);
		slot->running--;
	}
}

/*
 * Excludes an instance until the given time. An exclusion that already lasts
 * longer is kept.
 */
void
route_avoid(struct route_table *table, uint32_t index, int64_t until)
{
	struct slot *slot = route_slot(table, index);

	if (until > slot->avoid_until)
		slot->avoid_until = until;
}

/*
 * Ends the exclusion of an instance immediately.
 */
void
route_clear_avoid(struct route_table *table, uint32_t index)
{
	route_slot(table, index)->avoid_until = 0;
}

/*
 * Reduces the share of an instance until the given time without excluding it.
 * A reduction that already lasts longer is kept.
 */
void
route_penalise(struct route_table *table, uint32_t index, int64_t until)
{
	struct slot *slot = route_slot(table, index);

	if (until > slot->penalty_until)
		slot->penalty_until = until;
}

/*
 * Records whether a source reports that an instance is leaving. When the
 * source withdraws that, the instance begins with slow start.
 */
void
route_set_leaving(struct route_table *table, uint32_t index,
    enum route_source source, bool leaving, int64_t now)
{
	struct slot *slot = route_slot(table, index);
	bool *flag = source == ROUTE_SOURCE_LIST ? &slot->list_leaving
						 : &slot->engine_leaving;

	if (*flag && !leaving)
		slot->joined_at = now;
	*flag = leaving;
}

/*
 * Handles a load report. The part above the running attempts of this router is
 * counted as the load from other routers. The report may be older than the
 * latest attempts of this router.
 */
void
route_report_load(struct route_table *table, uint32_t index, uint32_t running,
    uint32_t queued, int64_t now)
{
	struct slot *slot = route_slot(table, index);
	uint32_t total = running + queued;

	slot->other_load = total > slot->running ? total - slot->running : 0;
	slot->other_load_until = now + REPORT_VALID_USEC;
}

/*
 * Returns the key of the link between two slots, which is the same for both
 * directions.
 */
static gint64
link_key(uint32_t a, uint32_t b)
{
	uint32_t low = a < b ? a : b;
	uint32_t high = a < b ? b : a;

	return (gint64)((uint64_t)low << 32 | high);
}

/*
 * Returns the excess latency of a link after its decay since the last sample.
 */
static int64_t
decayed_excess(const struct link_excess *excess, int64_t now)
{
	int64_t halvings = (now - excess->at) / EXCESS_HALF_LIFE_USEC;

	if (halvings <= 0)
		return excess->usec;
	return halvings > 40 ? 0 : excess->usec >> halvings;
}

/*
 * Returns the configured one-way latency between two slots in microseconds, or
 * 0 when a place is unknown.
 */
static int64_t
base_latency(const struct route_table *table, uint32_t from, uint32_t to)
{
	const struct slot *a = route_slot(table, from);
	const struct slot *b = route_slot(table, to);

	if (a->place >= table->place_count || b->place >= table->place_count)
		return 0;
	return table->latency[a->place * table->place_count + b->place];
}

/*
 * Returns the expected one-way latency between two slots in microseconds: the
 * configured latency plus the measured excess.
 */
int64_t
route_link_usec(
    const struct route_table *table, uint32_t from, uint32_t to, int64_t now)
{
	gint64 key = link_key(from, to);
	const struct link_excess *excess =
	    g_hash_table_lookup(table->links, &key);

	return base_latency(table, from, to) +
	    (excess != NULL ? decayed_excess(excess, now) : 0);
}

/*
 * Adds a sample to the smoothed excess latency of a link.
 */
static void
add_sample(struct route_table *table, uint32_t from, uint32_t to,
    int64_t sample, int64_t now)
{
	gint64 key = link_key(from, to);
	struct link_excess *excess = g_hash_table_lookup(table->links, &key);
	int64_t previous;

	if (excess == NULL) {
		if (sample == 0 || g_hash_table_size(table->links) >= LINKS_MAX)
			return;
		excess = g_new0(struct link_excess, 1);
		g_hash_table_insert(
		    table->links, g_memdup2(&key, sizeof(key)), excess);
	}
	previous = decayed_excess(excess, now);
	excess->usec = previous +
	    (int64_t)(EXCESS_SMOOTHING * (double)(sample - previous));
	excess->at = now;
	if (excess->usec == 0)
		g_hash_table_remove(table->links, &key);
}

/*
 * Updates the latency estimates from the time between two tokens of an
 * attempt. A token that is much later than expected raises the estimates of
 * the links of the route in proportion to their configured latency; any other
 * token lowers them.
 */
void
route_observe_gap(struct route_table *table, const struct route *route,
    int64_t gap_usec, int64_t now)
{
	int64_t excess = gap_usec > EXCESS_RATIO * route->token_usec
	    ? gap_usec - route->token_usec
	    : 0;
	int64_t total = 0;

	for (uint32_t i = 1; i < route->count; i++)
		total += 1 +
		    base_latency(table, route->stages[i - 1].slot,
			route->stages[i].slot);
	for (uint32_t i = 1; i < route->count; i++) {
		uint32_t from = route->stages[i - 1].slot;
		uint32_t to = route->stages[i].slot;
		double part =
		    (double)(1 + base_latency(table, from, to)) / (double)total;

		add_sample(
		    table, from, to, (int64_t)((double)excess * part), now);
	}
}
