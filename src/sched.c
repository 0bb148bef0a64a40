#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "sched.h"

/*
 * Virtual time per unit of cost at weight 1. With costs up to SCHED_COST_MAX,
 * 64 bits are enough for more than 10^8 dispatches in one busy period.
 */
#define VIRTUAL_SCALE 65536
#define WEIGHT_MAX 1000

/* The requests of one organisation in one class. */
struct flow {
	char *name;
	uint32_t class;
	uint32_t weight;
	/* Start tag of the next entry; valid while there are entries. */
	int64_t start;
	/* Finish tag of the last dispatched entry. */
	int64_t finish;
	/* Breaks ties between equal tags. */
	uint64_t sequence;
	/* By deadline. */
	GTree *entries;
	/* Total cost of the entries. */
	int64_t cost;
};

struct sched_entry {
	struct flow *flow;
	int64_t cost;
	int64_t arrival;
	int64_t deadline;
	uint64_t sequence;
	void *data;
};

/* One priority class. */
struct class {
	/* Flows with entries, by start tag. */
	GTree *active;
	/* Flows without entries, by finish tag. */
	GTree *idle;
	GHashTable *by_name;
	int64_t virtual_now;
	/* Total cost of the entries. */
	int64_t cost;
	/* Sum of the weights of the active flows. */
	int64_t active_weight;
	size_t count;
};

struct sched {
	struct class classes[SCHED_CLASSES];
	GTree *by_deadline;
	size_t count;
	size_t max;
	uint64_t sequence;
};

/*
 * Compares two numbers; the result is negative, zero or positive.
 */
static gint
compare_numbers(int64_t a, int64_t b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

/*
 * Compares by key, then by sequence number.
 */
static gint
compare_key_and_sequence(
    int64_t a, uint64_t a_sequence, int64_t b, uint64_t b_sequence)
{
	gint order = compare_numbers(a, b);

	return order != 0
	    ? order
	    : compare_numbers((int64_t)a_sequence, (int64_t)b_sequence);
}

/*
 * Compares entries by deadline, then by the order in which they were queued.
 */
static gint
compare_entries(gconstpointer a, gconstpointer b)
{
	const struct sched_entry *x = a;
	const struct sched_entry *y = b;

	return compare_key_and_sequence(
	    x->deadline, x->sequence, y->deadline, y->sequence);
}

/*
 * Compares flows by start tag, then by the order in which they became active.
 */
static gint
compare_starts(gconstpointer a, gconstpointer b)
{
	const struct flow *x = a;
	const struct flow *y = b;

	return compare_key_and_sequence(
	    x->start, x->sequence, y->start, y->sequence);
}

/*
 * Compares flows by finish tag, then by sequence number.
 */
static gint
compare_finishes(gconstpointer a, gconstpointer b)
{
	const struct flow *x = a;
	const struct flow *y = b;

	return compare_key_and_sequence(
	    x->finish, x->sequence, y->finish, y->sequence);
}

/*
 * Frees a flow and its remaining entries.
 */
static void
flow_free(gpointer data)
{
	struct flow *flow = data;
	GTreeNode *node;

	for (node = g_tree_node_first(flow->entries); node != NULL;
	     node = g_tree_node_next(node))
		free(g_tree_node_key(node));
	g_tree_destroy(flow->entries);
	free(flow->name);
	free(flow);
}

/*
 * Creates a queue for at most max entries. Returns STATUS_NO_MEMORY when the
 * allocation fails.
 */
enum status
sched_create(size_t max, struct sched **out)
{
	struct sched *sched = calloc(1, sizeof(*sched));

	if (sched == NULL)
		return status_set(STATUS_NO_MEMORY, "queue");
	sched->max = max;
	sched->by_deadline = g_tree_new(compare_entries);
	for (int i = 0; i < SCHED_CLASSES; i++) {
		struct class *class = &sched->classes[i];

		class->active = g_tree_new(compare_starts);
		class->idle = g_tree_new(compare_finishes);
		class->by_name = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, flow_free);
	}
	*out = sched;
	return STATUS_OK;
}

/*
 * Frees a queue and its entries, but not their data. NULL is allowed.
 */
void
sched_destroy(struct sched *sched)
{
	if (sched == NULL)
		return;
	for (int i = 0; i < SCHED_CLASSES; i++) {
		g_tree_destroy(sched->classes[i].active);
		g_tree_destroy(sched->classes[i].idle);
		g_hash_table_destroy(sched->classes[i].by_name);
	}
	g_tree_destroy(sched->by_deadline);
	free(sched);
}

/*
 * Returns the number of entries.
 */
size_t
sched_count(const struct sched *sched)
{
	return sched->count;
}

/*
 * Returns the number of entries in one class.
 */
size_t
sched_class_count(const struct sched *sched, uint32_t priority)
{
	assert(priority < SCHED_CLASSES);
	return sched->classes[priority].count;
}

/*
 * Returns the total cost of the entries in one class.
 */
int64_t
sched_class_cost(const struct sched *sched, uint32_t priority)
{
	assert(priority < SCHED_CLASSES);
	return sched->classes[priority].cost;
}

/*
 * Returns the first key of a tree, or NULL when it is empty.
 */
static void *
tree_first(GTree *tree)
{
	GTreeNode *node = g_tree_node_first(tree);

	return node != NULL ? g_tree_node_key(node) : NULL;
}

/*
 * Finds the flow of an organisation in a class or creates an idle one. Returns
 * NULL when memory is exhausted.
 */
static struct flow *
find_or_create_flow(struct sched *sched, const struct sched_request *request)
{
	struct class *class = &sched->classes[request->priority];
	char *name = lstr_dup_c(request->organisation);
	struct flow *flow =
	    name != NULL ? g_hash_table_lookup(class->by_name, name) : NULL;

	if (flow != NULL || name == NULL) {
		free(name);
		return flow;
	}
	flow = calloc(1, sizeof(*flow));
	if (flow == NULL) {
		free(name);
		return NULL;
	}
	flow->name = name;
	flow->class = request->priority;
	flow->weight = 1;
	flow->finish = class->virtual_now;
	flow->sequence = sched->sequence++;
	flow->entries = g_tree_new(compare_entries);
	g_hash_table_insert(class->by_name, flow->name, flow);
	g_tree_insert(class->idle, flow, flow);
	return flow;
}

/*
 * Makes an idle flow active. Its start tag is at least the virtual time, so
 * that an organisation gains no credit while it is idle.
 */
static void
activate(struct sched *sched, struct flow *flow)
{
	struct class *class = &sched->classes[flow->class];

	g_tree_remove(class->idle, flow);
	flow->start = flow->finish > class->virtual_now ? flow->finish
							: class->virtual_now;
	flow->sequence = sched->sequence++;
	class->active_weight += flow->weight;
	g_tree_insert(class->active, flow, flow);
}

/*
 * Makes an active flow idle and frees the idle flows whose finish tag is not
 * after the virtual time: a new flow would get the same tags.
 */
static void
deactivate(struct sched *sched, struct flow *flow)
{
	struct class *class = &sched->classes[flow->class];
	struct flow *first;

	g_tree_remove(class->active, flow);
	class->active_weight -= flow->weight;
	flow->sequence = sched->sequence++;
	g_tree_insert(class->idle, flow, flow);
	if (class->count == 0) {
		/*
		 * The busy period has ended: free all flows, reset the clock.
		 */
		class->virtual_now = INT64_MAX;
	}
	while ((first = tree_first(class->idle)) != NULL &&
	    first->finish <= class->virtual_now) {
		g_tree_remove(class->idle, first);
		g_hash_table_remove(class->by_name, first->name);
	}
	if (class->count == 0)
		class->virtual_now = 0;
}

/*
 * Queues a request. Its weight, limited to the range from 1 to WEIGHT_MAX,
 * replaces the weight of the organisation in this class. Returns STATUS_FULL
 * when the queue is full and STATUS_NO_MEMORY when an allocation fails.
 */
enum status
sched_push(struct sched *sched, const struct sched_request *request,
    struct sched_entry **out)
{
	struct flow *flow;
	struct sched_entry *entry;
	struct class *class;

	assert(request->priority < SCHED_CLASSES);
	if (sched->count >= sched->max)
		return status_set(
		    STATUS_FULL, "the queue holds %zu requests", sched->max);
	flow = find_or_create_flow(sched, request);
	entry = calloc(1, sizeof(*entry));
	if (flow == NULL || entry == NULL) {
		free(entry);
		return status_set(STATUS_NO_MEMORY, "queue entry");
	}
	class = &sched->classes[request->priority];
	if (g_tree_nnodes(flow->entries) > 0)
		class->active_weight -= flow->weight;
	flow->weight = request->weight;
	if (flow->weight < 1)
		flow->weight = 1;
	if (flow->weight > WEIGHT_MAX)
		flow->weight = WEIGHT_MAX;
	if (g_tree_nnodes(flow->entries) > 0)
		class->active_weight += flow->weight;
	else
		activate(sched, flow);
	entry->flow = flow;
	entry->cost = CLAMP(request->cost, 1, SCHED_COST_MAX);
	entry->arrival = request->arrival;
	entry->deadline = request->deadline;
	entry->sequence = sched->sequence++;
	entry->data = request->data;
	g_tree_insert(flow->entries, entry, entry);
	g_tree_insert(sched->by_deadline, entry, entry);
	flow->cost += entry->cost;
	class->cost += entry->cost;
	class->count++;
	sched->count++;
	*out = entry;
	return STATUS_OK;
}

/*
 * Removes an entry from the trees and totals. The tags and the state of its
 * flow do not change.
 */
static void
unlink_entry(struct sched *sched, struct sched_entry *entry)
{
	struct flow *flow = entry->flow;
	struct class *class = &sched->classes[flow->class];

	g_tree_remove(flow->entries, entry);
	g_tree_remove(sched->by_deadline, entry);
	flow->cost -= entry->cost;
	class->cost -= entry->cost;
	class->count--;
	sched->count--;
}

/*
 * Returns which rule selected an entry: the first one of class, share and
 * deadline that had more than one candidate, or arrival when no rule had, or
 * the deadlines were equal.
 */
static Ch__RecordReason
selection_reason(const struct sched *sched, const struct sched_entry *entry)
{
	struct flow *flow = entry->flow;
	const struct class *class = &sched->classes[flow->class];
	const struct sched_entry *next;
	GTreeNode *node;

	if (sched->count > class->count)
		return CH__RECORD_REASON__RECORD_REASON_PRIORITY;
	if (g_tree_nnodes(class->active) > 1)
		return CH__RECORD_REASON__RECORD_REASON_SHARE;
	node = g_tree_node_next(g_tree_node_first(flow->entries));
	next = node != NULL ? g_tree_node_key(node) : NULL;
	if (next != NULL && next->deadline > entry->deadline)
		return CH__RECORD_REASON__RECORD_REASON_DEADLINE;
	return CH__RECORD_REASON__RECORD_REASON_ARRIVAL;
}

/*
 * Advances the virtual time and the tags of a flow after one of its entries
 * was dispatched. An entry that was dispatched before its turn does not advance
 * the virtual time: the flows that precede it have not been served yet.
 */
static void
advance_tags(struct sched *sched, struct flow *flow, int64_t cost)
{
	struct class *class = &sched->classes[flow->class];

	if (tree_first(class->active) == flow)
		class->virtual_now = flow->start;
	flow->finish = flow->start + cost * VIRTUAL_SCALE / flow->weight;
	if (g_tree_nnodes(flow->entries) == 0) {
		deactivate(sched, flow);
		return;
	}
	g_tree_remove(class->active, flow);
	flow->start = flow->finish;
	g_tree_insert(class->active, flow, flow);
}

/*
 * Returns the entry to serve next and stores its flow, without removing it.
 * Returns NULL when the queue is empty.
 */
static struct sched_entry *
find_next_entry(const struct sched *sched, struct flow **flow)
{
	*flow = NULL;
	for (int i = 0; i < SCHED_CLASSES && *flow == NULL; i++)
		*flow = tree_first(sched->classes[i].active);
	return *flow != NULL ? tree_first((*flow)->entries) : NULL;
}

/*
 * Stores the data of the entry that sched_pop() would remove next. Returns
 * false when the queue is empty.
 */
bool
sched_peek(const struct sched *sched, void **data)
{
	struct flow *flow;
	const struct sched_entry *entry = find_next_entry(sched, &flow);

	if (entry == NULL)
		return false;
	*data = entry->data;
	return true;
}

/*
 * Removes the entry to serve next: from the class with the lowest number, in
 * it the organisation with the smallest start tag, and of that the entry with
 * the earliest deadline. Stores its data and the rule that selected it.
 * Returns false when the queue is empty. Call sched_expire() first to remove
 * entries whose deadline has passed.
 */
bool
sched_pop(struct sched *sched, void **data, Ch__RecordReason *reason)
{
	struct flow *flow;
	struct sched_entry *entry = find_next_entry(sched, &flow);

	if (entry == NULL)
		return false;
	*reason = selection_reason(sched, entry);
	*data = entry->data;
	unlink_entry(sched, entry);
	advance_tags(sched, flow, entry->cost);
	free(entry);
	return true;
}

/*
 * Stores the data of up to max entries in the order of service: by class, in it
 * by the start tag of the organisation, and of each organisation by deadline.
 * Returns their number.
 */
size_t
sched_list(const struct sched *sched, void **data, size_t max)
{
	size_t count = 0;

	for (int i = 0; i < SCHED_CLASSES; i++) {
		GTreeNode *at = g_tree_node_first(sched->classes[i].active);

		for (; at != NULL; at = g_tree_node_next(at)) {
			const struct flow *flow = g_tree_node_key(at);
			GTreeNode *node = g_tree_node_first(flow->entries);

			for (; node != NULL; node = g_tree_node_next(node)) {
				const struct sched_entry *entry =
				    g_tree_node_key(node);

				if (count == max)
					return count;
				data[count++] = entry->data;
			}
		}
	}
	return count;
}

/*
 * Removes an entry to serve it, whether or not it is the next one. The cost is
 * charged to its organisation as by sched_pop().
 */
void
sched_take(struct sched *sched, struct sched_entry *entry)
{
	struct flow *flow = entry->flow;

	unlink_entry(sched, entry);
	advance_tags(sched, flow, entry->cost);
	free(entry);
}

/*
 * Removes an entry without serving it. The tags of its organisation do not
 * advance.
 */
void
sched_cancel(struct sched *sched, struct sched_entry *entry)
{
	struct flow *flow = entry->flow;

	unlink_entry(sched, entry);
	if (g_tree_nnodes(flow->entries) == 0)
		deactivate(sched, flow);
	free(entry);
}

/*
 * Removes one entry whose deadline has passed and stores its data. Returns
 * false when there is no such entry.
 */
bool
sched_expire(struct sched *sched, int64_t now, void **data)
{
	struct sched_entry *entry = tree_first(sched->by_deadline);

	if (entry == NULL || entry->deadline > now)
		return false;
	*data = entry->data;
	sched_cancel(sched, entry);
	return true;
}

/*
 * Returns the earliest deadline of all entries, or INT64_MAX when the queue is
 * empty.
 */
int64_t
sched_next_expiry(const struct sched *sched)
{
	const struct sched_entry *entry = tree_first(sched->by_deadline);

	return entry != NULL ? entry->deadline : INT64_MAX;
}

/*
 * Estimates how long a new request of an organisation will wait, in
 * microseconds, when the replica takes usec_per_cost microseconds for each
 * unit of cost. The work ahead of it is that of all classes with a lower
 * number, plus the part of its own class that is served first. That part is
 * the cost that the organisation has queued divided by its share of the
 * weights, but no more than the total of the class.
 */
int64_t
sched_expected_wait(const struct sched *sched, struct lstr organisation,
    uint32_t priority, uint32_t weight, int64_t usec_per_cost)
{
	const struct class *class = &sched->classes[priority];
	char *name = lstr_dup_c(organisation);
	const struct flow *flow =
	    name != NULL ? g_hash_table_lookup(class->by_name, name) : NULL;
	int64_t total_weight = class->active_weight;
	int64_t own_cost = flow != NULL ? flow->cost : 0;
	int64_t ahead = 0;

	free(name);
	if (weight < 1)
		weight = 1;
	if (own_cost == 0)
		total_weight += weight;
	for (uint32_t i = 0; i < priority; i++)
		ahead += sched->classes[i].cost;
	own_cost = own_cost * total_weight / weight;
	ahead += own_cost < class->cost ? own_cost : class->cost;
	return ahead * usec_per_cost;
}
