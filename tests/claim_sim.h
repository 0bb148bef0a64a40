#ifndef CH_TEST_CLAIM_SIM_H
#define CH_TEST_CLAIM_SIM_H

#include <string.h>

#include <glib.h>

#include "claim.h"

/*
 * Simulates several owners of one bucket that share an in-memory key-value
 * table, with lost and late results, pauses, restarts, skewed clocks and a
 * ring that wraps around. Checks that at most one token holds an identity.
 */
#define SIM_OWNERS 3
#define SIM_SLOTS_MAX 8
#define SIM_IDENTITIES 6
#define SIM_TOKENS_MAX 8192
#define SIM_STEP_USEC 1000
#define SIM_WINDOW_USEC ((int64_t)400000)
#define SIM_SKEW_USEC ((int64_t)190000)
#define SIM_START_USEC ((int64_t)1000000000)
#define SIM_REQUEST_USEC ((int64_t)60000)
#define SIM_PERCENT 100

/* A pending call to the table. */
struct sim_call {
	uint32_t owner;
	uint32_t incarnation;
	struct claim_action action;
	int64_t perform_at;
	int64_t complete_at;
	bool performed;
	bool completed;
	/* The call or its result is lost; a swap may be performed late. */
	bool lost;
	/* Fails with STATUS_UNAVAILABLE and is certainly not performed. */
	bool refused;
	enum status status;
	uint64_t version;
	char *value;
	size_t value_len;
};

struct sim_slot {
	uint64_t version;
	char *value;
	size_t len;
};

/* A claim token that a router uses for one request. */
struct sim_token {
	uint8_t token[CLAIM_ID_BYTES];
	uint32_t identity;
	int64_t deadline;
	bool granted;
	/* Reported as NOT_RUN. */
	bool abandoned;
	/* Reported as RAN. */
	bool ran;
};

struct sim_identity {
	uint8_t identity[CLAIM_ID_BYTES];
	int64_t expiry;
	/* Index of the token that holds it, or -1. */
	int holder;
};

/* A process that owns the bucket. */
struct sim_owner {
	struct claim *claim;
	/* Incremented by each restart; results of older calls are ignored. */
	uint32_t incarnation;
	/* Error of the clock in microseconds. */
	int64_t skew;
	int64_t paused_until;
};

struct sim {
	GRand *rand;
	int64_t now;
	struct sim_owner owners[SIM_OWNERS];
	uint32_t slot_count;
	struct sim_slot slots[SIM_SLOTS_MAX];
	uint64_t version;
	GPtrArray *calls;
	struct sim_identity identities[SIM_IDENTITIES];
	struct sim_token tokens[SIM_TOKENS_MAX];
	int token_count;
	/* Source of unique owner, identity and token ids. */
	uint64_t last_id;
	/* Percentage of calls that are lost or refused. */
	int loss_percent;
	int refusal_percent;
	/* Results. double_grants must be 0. */
	int double_grants;
	int grants;
	int reclaims;
	int duplicates;
	int expired;
	struct claim_counts counts;
};

/*
 * Returns true with a probability of the given percentage.
 */
static inline bool
sim_chance(struct sim *sim, int percent)
{
	return g_rand_int_range(sim->rand, 0, SIM_PERCENT) < percent;
}

/*
 * Starts an owner, or restarts it with an empty state and a new id.
 */
static inline void
sim_owner_start(struct sim *sim, struct sim_owner *owner)
{
	struct claim_settings settings = {.buckets = 1,
	    .slots = sim->slot_count,
	    .interval_usec = 5 * SIM_STEP_USEC,
	    .owner_id = ++sim->last_id};

	owner->claim = claim_create(&settings);
	owner->incarnation++;
}

/*
 * Adds the counters of an owner to the totals.
 */
static inline void
sim_add_counts(struct sim *sim, const struct sim_owner *owner)
{
	const struct claim_counts *counts = claim_counts(owner->claim);

	sim->counts.commits += counts->commits;
	sim->counts.conflicts += counts->conflicts;
	sim->counts.readbacks += counts->readbacks;
	sim->counts.reloads += counts->reloads;
}

/*
 * Replaces an identity by a new one that is valid from now on.
 */
static inline void
sim_new_identity(struct sim *sim, struct sim_identity *identity)
{
	uint64_t id = ++sim->last_id;

	memset(identity->identity, 0, CLAIM_ID_BYTES);
	memcpy(identity->identity, &id, sizeof(id));
	identity->expiry = sim->now + SIM_WINDOW_USEC;
	identity->holder = -1;
}

/*
 * Initializes a simulation with a ring of the given number of slots.
 */
static inline void
sim_init(struct sim *sim, uint32_t seed, uint32_t slots)
{
	memset(sim, 0, sizeof(*sim));
	sim->rand = g_rand_new_with_seed(seed);
	sim->now = SIM_START_USEC;
	sim->calls = g_ptr_array_new();
	sim->slot_count = slots;
	sim->loss_percent = 10;
	sim->refusal_percent = 3;
	for (int i = 0; i < SIM_OWNERS; i++)
		sim_owner_start(sim, &sim->owners[i]);
	/* One clock is correct, one is fast and one is slow. */
	sim->owners[1].skew = SIM_SKEW_USEC;
	sim->owners[2].skew = -SIM_SKEW_USEC;
	for (int i = 0; i < SIM_IDENTITIES; i++)
		sim_new_identity(sim, &sim->identities[i]);
}

/*
 * Returns the time on the clock of an owner.
 */
static inline int64_t
sim_owner_now(const struct sim *sim, const struct sim_owner *owner)
{
	return sim->now + owner->skew;
}

/*
 * Checks one reply. A grant to a token that was reported as NOT_RUN is
 * ignored, because its router no longer uses it.
 */
static inline void
sim_check_reply(struct sim *sim, const struct claim_reply *reply)
{
	struct sim_token *token = &sim->tokens[reply->sequence];
	struct sim_identity *identity = &sim->identities[token->identity];

	if (reply->result == CH__CLAIM_RESULT__CLAIM_RESULT_DUPLICATE)
		sim->duplicates++;
	if (reply->result == CH__CLAIM_RESULT__CLAIM_RESULT_EXPIRED)
		sim->expired++;
	if (reply->result != CH__CLAIM_RESULT__CLAIM_RESULT_GRANTED ||
	    token->abandoned || token->granted ||
	    memcmp(identity->identity, reply->identity, CLAIM_ID_BYTES) != 0)
		return;
	token->granted = true;
	sim->grants++;
	if (identity->holder >= 0) {
		if (sim->tokens[identity->holder].abandoned)
			sim->reclaims++;
		else
			sim->double_grants++;
	}
	identity->holder = (int)reply->sequence;
}

/*
 * Processes the actions of an owner: checks replies and schedules calls.
 */
static inline void
sim_process_actions(struct sim *sim, uint32_t index)
{
	struct sim_owner *owner = &sim->owners[index];
	struct claim_action action;

	while (claim_next_action(owner->claim, &action)) {
		struct sim_call *call;

		if (action.kind == CLAIM_REPLY) {
			sim_check_reply(sim, &action.reply);
			continue;
		}
		call = g_new0(struct sim_call, 1);
		call->owner = index;
		call->incarnation = owner->incarnation;
		call->action = action;
		call->lost = sim_chance(sim, sim->loss_percent);
		call->refused =
		    !call->lost && sim_chance(sim, sim->refusal_percent);
		call->perform_at = sim->now +
		    g_rand_int_range(sim->rand, 0, 4 * SIM_STEP_USEC);
		call->complete_at = call->perform_at +
		    g_rand_int_range(sim->rand, 0, 4 * SIM_STEP_USEC);
		if (call->lost) {
			/*
			 * The call times out before or after it is performed.
			 */
			call->complete_at = sim->now + 10 * SIM_STEP_USEC;
			call->perform_at = sim->now +
			    g_rand_int_range(sim->rand, 0, 40 * SIM_STEP_USEC);
		}
		g_ptr_array_add(sim->calls, call);
	}
}

/*
 * Performs a call on the table and stores its result.
 */
static inline void
sim_perform(struct sim *sim, struct sim_call *call)
{
	struct sim_slot *slot = &sim->slots[call->action.slot];

	call->performed = true;
	if (call->refused || (call->lost && sim_chance(sim, 30)))
		return;
	if (call->action.kind == CLAIM_READ_SLOT) {
		call->status = slot->version ? STATUS_OK : STATUS_NOT_FOUND;
		call->version = slot->version;
		call->value = g_memdup2(slot->value, slot->len);
		call->value_len = slot->len;
	} else if (call->action.kind == CLAIM_SWAP_SLOT) {
		call->status = STATUS_CONFLICT;
		call->version = slot->version;
		if (slot->version != call->action.version)
			return;
		g_free(slot->value);
		slot->value =
		    g_memdup2(call->action.value, call->action.value_len);
		slot->len = call->action.value_len;
		slot->version = ++sim->version;
		call->version = slot->version;
		call->status = STATUS_OK;
	}
}

/*
 * Passes the result of CLAIM_READ_RING to an owner, with random slots missing.
 */
static inline void
sim_complete_ring_read(
    struct sim *sim, struct claim *claim, struct sim_call *call, int64_t now)
{
	/* A missing slot looks as if it was read before it was written. */
	for (uint32_t i = 0; i < sim->slot_count; i++) {
		struct sim_slot *slot = &sim->slots[i];

		if (slot->version != 0 && !sim_chance(sim, 10))
			claim_ring_item(claim, call->action.ticket, i,
			    slot->version, lstr_make(slot->value, slot->len));
	}
	claim_ring_done(claim, call->action.ticket,
	    call->refused || call->lost ? STATUS_UNAVAILABLE : STATUS_OK, now);
}

/*
 * Passes the result of a call to its owner, unless the owner was restarted.
 */
static inline void
sim_complete_call(struct sim *sim, struct sim_call *call)
{
	struct sim_owner *owner = &sim->owners[call->owner];
	int64_t now = sim_owner_now(sim, owner);
	enum status status = call->status;

	call->completed = true;
	if (call->incarnation != owner->incarnation)
		return;
	if (call->refused ||
	    (call->lost && call->action.kind != CLAIM_SWAP_SLOT))
		status = STATUS_UNAVAILABLE;
	else if (call->lost)
		status = STATUS_AMBIGUOUS;
	if (call->action.kind == CLAIM_READ_RING)
		sim_complete_ring_read(sim, owner->claim, call, now);
	else if (call->action.kind == CLAIM_READ_SLOT)
		claim_slot_read(owner->claim, call->action.ticket, status,
		    call->version, lstr_make(call->value, call->value_len),
		    now);
	else
		claim_slot_swapped(owner->claim, call->action.ticket, status,
		    call->version, now);
	sim_process_actions(sim, call->owner);
}

/*
 * Performs the calls that are due and passes on their results.
 */
static inline void
sim_run_calls(struct sim *sim)
{
	for (guint i = 0; i < sim->calls->len; i++) {
		struct sim_call *call = sim->calls->pdata[i];
		const struct sim_owner *owner = &sim->owners[call->owner];

		if (!call->performed && call->perform_at <= sim->now)
			sim_perform(sim, call);
		if (!call->completed && call->complete_at <= sim->now &&
		    (call->performed || call->lost) &&
		    owner->paused_until <= sim->now)
			sim_complete_call(sim, call);
	}
	for (guint i = sim->calls->len; i > 0; i--) {
		struct sim_call *call = sim->calls->pdata[i - 1];

		if (!call->performed || !call->completed)
			continue;
		claim_action_clear(&call->action);
		g_free(call->value);
		g_free(call);
		g_ptr_array_remove_index(sim->calls, i - 1);
	}
}

/*
 * Sends the request of a token to an owner.
 */
static inline void
sim_send_request(struct sim *sim, int index, uint32_t to)
{
	const struct sim_token *token = &sim->tokens[index];
	struct claim_request request = {.sequence = (uint64_t)index};
	struct sim_owner *owner = &sim->owners[to];

	request.expiry = sim->identities[token->identity].expiry;
	request.deadline = token->deadline + owner->skew;
	memcpy(request.identity, sim->identities[token->identity].identity,
	    CLAIM_ID_BYTES);
	memcpy(request.token, token->token, CLAIM_ID_BYTES);
	claim_submit(owner->claim, 0, &request, sim_owner_now(sim, owner));
	sim_process_actions(sim, to);
}

/*
 * Reports the outcome of a token to an owner.
 */
static inline void
sim_report(struct sim *sim, int index, Ch__ClaimState state, uint32_t to)
{
	const struct sim_token *token = &sim->tokens[index];
	struct claim_report report = {.state = state};
	struct sim_owner *owner = &sim->owners[to];

	report.expiry = sim->identities[token->identity].expiry;
	memcpy(report.identity, sim->identities[token->identity].identity,
	    CLAIM_ID_BYTES);
	memcpy(report.token, token->token, CLAIM_ID_BYTES);
	claim_report(owner->claim, 0, &report, sim_owner_now(sim, owner));
	sim_process_actions(sim, to);
}

/*
 * Simulates the routers: sends new requests, repeats requests and reports
 * outcomes.
 */
static inline void
sim_run_routers(struct sim *sim)
{
	uint32_t to = (uint32_t)g_rand_int_range(sim->rand, 0, SIM_OWNERS);
	struct sim_token *token;
	int index;

	if (sim_chance(sim, 30) && sim->token_count < SIM_TOKENS_MAX) {
		uint64_t id = ++sim->last_id;

		index = sim->token_count++;
		token = &sim->tokens[index];
		memcpy(token->token, &id, sizeof(id));
		token->identity =
		    (uint32_t)g_rand_int_range(sim->rand, 0, SIM_IDENTITIES);
		token->deadline = sim->now + SIM_REQUEST_USEC;
		sim_send_request(sim, index, to);
	}
	if (sim->token_count == 0)
		return;
	index = g_rand_int_range(
	    sim->rand, MAX(0, sim->token_count - 20), sim->token_count);
	token = &sim->tokens[index];
	if (memcmp(token->token, (uint8_t[CLAIM_ID_BYTES]){0},
		CLAIM_ID_BYTES) == 0 ||
	    sim->identities[token->identity].expiry - SIM_WINDOW_USEC >
		token->deadline - SIM_REQUEST_USEC)
		return;
	if (!token->abandoned && !token->ran && sim_chance(sim, 20)) {
		sim_send_request(sim, index, to);
	} else if (token->granted && !token->abandoned && !token->ran &&
	    sim_chance(sim, 10)) {
		token->ran = true;
		sim_report(sim, index, CH__CLAIM_STATE__CLAIM_STATE_RAN, to);
	} else if (!token->ran && !token->abandoned && sim_chance(sim, 10)) {
		token->abandoned = true;
		sim_report(
		    sim, index, CH__CLAIM_STATE__CLAIM_STATE_NOT_RUN, to);
	}
}

/*
 * Pauses and restarts owners at random and replaces old identities. An
 * identity stays in use for some time after its expiry, when requests must be
 * refused.
 */
static inline void
sim_inject_faults(struct sim *sim)
{
	uint32_t index = (uint32_t)g_rand_int_range(sim->rand, 0, SIM_OWNERS);
	struct sim_owner *owner = &sim->owners[index];
	struct sim_identity *identity =
	    &sim->identities[g_rand_int_range(sim->rand, 0, SIM_IDENTITIES)];

	if (g_rand_int_range(sim->rand, 0, 200) == 0)
		owner->paused_until = sim->now +
		    g_rand_int_range(sim->rand, 0, 200 * SIM_STEP_USEC);
	if (g_rand_int_range(sim->rand, 0, 300) == 0) {
		sim_add_counts(sim, owner);
		claim_destroy(owner->claim);
		sim_owner_start(sim, owner);
	}
	if (sim->now > identity->expiry + SIM_WINDOW_USEC / 2)
		sim_new_identity(sim, identity);
}

/*
 * Runs the simulation for a number of steps.
 */
static inline void
sim_run(struct sim *sim, int steps)
{
	for (int i = 0; i < steps; i++) {
		sim->now += SIM_STEP_USEC;
		sim_run_calls(sim);
		sim_run_routers(sim);
		sim_inject_faults(sim);
		for (uint32_t o = 0; o < SIM_OWNERS; o++) {
			struct sim_owner *owner = &sim->owners[o];

			if (owner->paused_until > sim->now)
				continue;
			claim_tick(owner->claim, sim_owner_now(sim, owner));
			sim_process_actions(sim, o);
		}
	}
}

/*
 * Adds up the counters and frees the simulation; the results stay readable.
 */
static inline void
sim_destroy(struct sim *sim)
{
	for (int i = 0; i < SIM_OWNERS; i++) {
		sim_add_counts(sim, &sim->owners[i]);
		claim_destroy(sim->owners[i].claim);
	}
	for (guint i = 0; i < sim->calls->len; i++) {
		struct sim_call *call = sim->calls->pdata[i];

		claim_action_clear(&call->action);
		g_free(call->value);
		g_free(call);
	}
	for (uint32_t i = 0; i < sim->slot_count; i++)
		g_free(sim->slots[i].value);
	g_ptr_array_free(sim->calls, TRUE);
	g_rand_free(sim->rand);
}

#endif
