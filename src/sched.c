#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "sched.h"

/*
 * Virtual time units of one unit of cost at weight 1. With costs up to
 * SCHED_COST_MAX, 64 bits hold more than 10^8 dispatches of one busy period.
 */
#define VIRTUAL_SCALE 65536
#define WEIGHT_MAX 1000

/* One organisation in one class. */
struct account {
	char *name;
	uint32_t class;
	uint32_t weight;
	/* Start tag of its next entry, while it has entries. */
	int64_t start;
	/* Finish tag of its last dispatched entry. */
	int64_t finish;
	uint64_t sequence;
	GTree *entries;
	int64_t cost;
};

struct sched_entry {
	struct account *account;
	int64_t cost;
	int64_t arrival;
	int64_t deadline;
	uint64_t sequence;
	void *data;
};

/* One priority class. */
struct class {
	/* Accounts with entries, by start tag. */
	GTree *active;
	/* Accounts without entries, by finish tag. */
	GTree *idle;
	GHashTable *by_name;
	int64_t virtual_now;
	int64_t cost;
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
 * Compares two numbers for a tree.
 */
static gint
compare_numbers(int64_t a, int64_t b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

/*
 * Orders by a key, then by a sequence number.
 */
static gint
compare_keyed(int64_t a, uint64_t a_sequence, int64_t b, uint64_t b_sequence)
{
	gint order = compare_numbers(a, b);

	return order != 0
	    ? order
	    : compare_numbers((int64_t)a_sequence, (int64_t)b_sequence);
}

/*
 * Orders entries by deadline, then by the order in which they were queued.
 */
static gint
compare_entries(gconstpointer a, gconstpointer b)
{
	const struct sched_entry *x = a;
	const struct sched_entry *y = b;

	return compare_keyed(
	    x->deadline, x->sequence, y->deadline, y->sequence);
}

/*
 * Orders accounts by start tag, then by the order in which they became active.
 */
static gint
compare_starts(gconstpointer a, gconstpointer b)
{
	const struct account *x = a;
	const struct account *y = b;

	return compare_keyed(x->start, x->sequence, y->start, y->sequence);
}

/*
 * Orders accounts by finish tag, then like compare_starts().
 */
static gint
compare_finishes(gconstpointer a, gconstpointer b)
{
	const struct account *x = a;
	const struct account *y = b;

	return compare_keyed(x->finish, x->sequence, y->finish, y->sequence);
}

/*
 * Frees an account and the entries that it still has.
 */
static void
account_free(gpointer data)
{
	struct account *account = data;
	GTreeNode *node;

	for (node = g_tree_node_first(account->entries); node != NULL;
	     node = g_tree_node_next(node))
		free(g_tree_node_key(node));
	g_tree_destroy(account->entries);
	free(account->name);
	free(account);
}

/*
 * Creates a queue that holds at most max entries.
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
		    g_str_hash, g_str_equal, NULL, account_free);
	}
	*out = sched;
	return STATUS_OK;
}

/*
 * Frees a queue. The data of its entries stay the caller's.
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
 * Returns the number of entries of one class.
 */
size_t
sched_class_count(const struct sched *sched, uint32_t priority)
{
	assert(priority < SCHED_CLASSES);
	return sched->classes[priority].count;
}

/*
 * Returns the first key of a tree or NULL.
 */
static void *
tree_first(GTree *tree)
{
	GTreeNode *node = g_tree_node_first(tree);

	return node != NULL ? g_tree_node_key(node) : NULL;
}

/*
 * Finds the account of an organisation in a class, or creates an idle one.
 */
static struct account *
account_for(struct sched *sched, const struct sched_request *request)
{
	struct class *class = &sched->classes[request->priority];
	char *name = lstr_dup_c(request->organisation);
	struct account *account =
	    name != NULL ? g_hash_table_lookup(class->by_name, name) : NULL;

	if (account != NULL || name == NULL) {
		free(name);
		return account;
	}
	account = calloc(1, sizeof(*account));
	if (account == NULL) {
		free(name);
		return NULL;
	}
	account->name = name;
	account->class = request->priority;
	account->weight = 1;
	account->finish = class->virtual_now;
	account->sequence = sched->sequence++;
	account->entries = g_tree_new(compare_entries);
	g_hash_table_insert(class->by_name, account->name, account);
	g_tree_insert(class->idle, account, account);
	return account;
}

/*
 * Makes an idle account active. Its start tag is not before the virtual time,
 * so that an idle organisation gains no credit.
 */
static void
activate(struct sched *sched, struct account *account)
{
	struct class *class = &sched->classes[account->class];

	g_tree_remove(class->idle, account);
	account->start = account->finish > class->virtual_now
	    ? account->finish
	    : class->virtual_now;
	account->sequence = sched->sequence++;
	class->active_weight += account->weight;
	g_tree_insert(class->active, account, account);
}

/*
 * Makes an active account idle and forgets the idle accounts that the virtual
 * time has passed: a new account would get the same tags.
 */
static void
deactivate(struct sched *sched, struct account *account)
{
	struct class *class = &sched->classes[account->class];
	struct account *first;

	g_tree_remove(class->active, account);
	class->active_weight -= account->weight;
	account->sequence = sched->sequence++;
	g_tree_insert(class->idle, account, account);
	if (class->count == 0) {
		/* The end of a busy period: every tag starts anew. */
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
 * Queues a request. The weight replaces the one that the organisation had in
 * this class. Returns STATUS_FULL when the queue is full.
 */
enum status
sched_push(struct sched *sched, const struct sched_request *request,
    struct sched_entry **out)
{
	struct account *account;
	struct sched_entry *entry;
	struct class *class;

	assert(request->priority < SCHED_CLASSES);
	if (sched->count >= sched->max)
		return status_set(
		    STATUS_FULL, "the queue holds %zu requests", sched->max);
	account = account_for(sched, request);
	entry = calloc(1, sizeof(*entry));
	if (account == NULL || entry == NULL) {
		free(entry);
		return status_set(STATUS_NO_MEMORY, "queue entry");
	}
	class = &sched->classes[request->priority];
	if (g_tree_nnodes(account->entries) > 0)
		class->active_weight -= account->weight;
	account->weight = request->weight;
	if (account->weight < 1)
		account->weight = 1;
	if (account->weight > WEIGHT_MAX)
		account->weight = WEIGHT_MAX;
	if (g_tree_nnodes(account->entries) > 0)
		class->active_weight += account->weight;
	else
		activate(sched, account);
	entry->account = account;
	entry->cost = CLAMP(request->cost, 1, SCHED_COST_MAX);
	entry->arrival = request->arrival;
	entry->deadline = request->deadline;
	entry->sequence = sched->sequence++;
	entry->data = request->data;
	g_tree_insert(account->entries, entry, entry);
	g_tree_insert(sched->by_deadline, entry, entry);
	account->cost += entry->cost;
	class->cost += entry->cost;
	class->count++;
	sched->count++;
	*out = entry;
	return STATUS_OK;
}

/*
 * Takes an entry out of the trees and sums; the account stays as it is.
 */
static void
unlink_entry(struct sched *sched, struct sched_entry *entry)
{
	struct account *account = entry->account;
	struct class *class = &sched->classes[account->class];

	g_tree_remove(account->entries, entry);
	g_tree_remove(sched->by_deadline, entry);
	account->cost -= entry->cost;
	class->cost -= entry->cost;
	class->count--;
	sched->count--;
}

/*
 * Names the first rule, in the order of their use, that chose between several
 * candidates: class, share, deadline; arrival when there was no other
 * candidate or the deadlines were equal.
 */
static Ch__RecordReason
reason_of(const struct sched *sched, const struct sched_entry *entry)
{
	struct account *account = entry->account;
	const struct class *class = &sched->classes[account->class];
	const struct sched_entry *next;
	GTreeNode *node;

	if (sched->count > class->count)
		return CH__RECORD_REASON__RECORD_REASON_PRIORITY;
	if (g_tree_nnodes(class->active) > 1)
		return CH__RECORD_REASON__RECORD_REASON_SHARE;
	node = g_tree_node_next(g_tree_node_first(account->entries));
	next = node != NULL ? g_tree_node_key(node) : NULL;
	if (next != NULL && next->deadline > entry->deadline)
		return CH__RECORD_REASON__RECORD_REASON_DEADLINE;
	return CH__RECORD_REASON__RECORD_REASON_ARRIVAL;
}

/*
 * Moves the virtual time and the tags of an organisation on by one entry.
 */
static void
charge(struct sched *sched, struct account *account, int64_t cost)
{
	struct class *class = &sched->classes[account->class];

	class->virtual_now = account->start;
	account->finish =
	    account->start + cost * VIRTUAL_SCALE / account->weight;
	if (g_tree_nnodes(account->entries) == 0) {
		deactivate(sched, account);
		return;
	}
	g_tree_remove(class->active, account);
	account->start = account->finish;
	g_tree_insert(class->active, account, account);
}

/*
 * Returns the entry of the class that is served next, without taking it.
 */
static struct sched_entry *
next_entry(const struct sched *sched, struct account **account)
{
	*account = NULL;
	for (int i = 0; i < SCHED_CLASSES && *account == NULL; i++)
		*account = tree_first(sched->classes[i].active);
	return *account != NULL ? tree_first((*account)->entries) : NULL;
}

/*
 * Shows the request that sched_take() would take. Returns false when the
 * queue is empty.
 */
bool
sched_peek(const struct sched *sched, void **data)
{
	struct account *account;
	const struct sched_entry *entry = next_entry(sched, &account);

	if (entry == NULL)
		return false;
	*data = entry->data;
	return true;
}

/*
 * Takes the entry to serve next: the highest class, in it the organisation
 * with the smallest start tag, of that the earliest deadline. Stores its data
 * and the reason for the choice. Returns false when the queue is empty.
 * Entries past their deadline are taken out with sched_expire() before.
 */
bool
sched_take(struct sched *sched, void **data, Ch__RecordReason *reason)
{
	struct account *account;
	struct sched_entry *entry = next_entry(sched, &account);

	if (entry == NULL)
		return false;
	*reason = reason_of(sched, entry);
	*data = entry->data;
	unlink_entry(sched, entry);
	charge(sched, account, entry->cost);
	free(entry);
	return true;
}

/*
 * Removes an entry that was not served; its organisation is not charged.
 */
void
sched_cancel(struct sched *sched, struct sched_entry *entry)
{
	struct account *account = entry->account;

	unlink_entry(sched, entry);
	if (g_tree_nnodes(account->entries) == 0)
		deactivate(sched, account);
	free(entry);
}

/*
 * Removes one entry whose deadline has passed and stores its data. Returns
 * false when there is none.
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
 * Returns the earliest deadline of all entries, INT64_MAX when there are none.
 */
int64_t
sched_next_expiry(const struct sched *sched)
{
	const struct sched_entry *entry = tree_first(sched->by_deadline);

	return entry != NULL ? entry->deadline : INT64_MAX;
}

/*
 * Estimates how long a new request of an organisation waits, when the replica
 * serves one unit of cost each usec_per_cost microseconds: the work of the
 * higher classes, plus the part of its own class that is served before it.
 * That part is what its own queue stretches to at its share of the class, at
 * most the whole class.
 */
int64_t
sched_expected_wait(const struct sched *sched, struct lstr organisation,
    uint32_t priority, uint32_t weight, int64_t usec_per_cost)
{
	const struct class *class = &sched->classes[priority];
	char *name = lstr_dup_c(organisation);
	const struct account *account =
	    name != NULL ? g_hash_table_lookup(class->by_name, name) : NULL;
	int64_t total_weight = class->active_weight;
	int64_t own = account != NULL ? account->cost : 0;
	int64_t ahead = 0;

	free(name);
	if (weight < 1)
		weight = 1;
	if (own == 0)
		total_weight += weight;
	for (uint32_t i = 0; i < priority; i++)
		ahead += sched->classes[i].cost;
	own = own * total_weight / weight;
	ahead += own < class->cost ? own : class->cost;
	return ahead * usec_per_cost;
}
