#include "../node_fixture.h"
#include "crowd.h"
#include "kept.h"
#include "log_reader.h"
#include "proxy.h"

/*
 * Runs several node processes under a random series of faults that are injected
 * from outside: soak SEED SECONDS. Seeds from RESTORE_SEED_MIN also restore the
 * store from older copies and let sound engines fall silent; those from
 * KEPT_SEED_MIN also use connections again, change the limits of callers and
 * have clients that stop short. Checks the
 * guarantees of the service from what callers and backend servers observe. It
 * signals only processes that it started.
 */

#define NODES 4
#define EVENTS 12
#define CALLS_MAX 4000
#define CALL_INTERVAL_USEC (12 * LOOP_USEC_PER_MSEC)
#define FAULT_INTERVAL_MIN_MSEC 150
#define FAULT_INTERVAL_MAX_MSEC 1200
#define RESTART_USEC (300 * LOOP_USEC_PER_MSEC)
#define DISCONNECT_SHARE 0.1
/* Fault injection exits this long before the run does. */
#define FAULT_FREE_USEC (14 * LOOP_USEC_PER_SEC)
/* Time to recover after the last fault; of the requests sent later, at least a
 * quarter must be served. */
#define RECOVERY_USEC (12 * LOOP_USEC_PER_SEC)
#define PLAIN_TIMEOUT_MSEC 2000
/* Runs with these seeds and above also restore the store from copies, add
 * routes and let sound engines fall silent. */
#define RESTORE_SEED_MIN 1000
/* Runs with these seeds and above also have callers that keep their
 * connections. */
#define KEPT_SEED_MIN 2000
/* Calls on connections that are kept, of 10 calls. */
#define KEPT_CALLS 7
/* A member that was disturbed less than this before may close connections, and
 * a server that had a fault may still owe answers. */
#define KEPT_CALM_USEC (3 * LOOP_USEC_PER_SEC)
#define HEAD_LIMIT_MIN_BYTES 2048
#define BODY_LIMIT_MIN_BYTES 2000
#define LOG_LINE_BYTES 2048
#define LOG_INTERVAL_USEC (50 * LOOP_USEC_PER_MSEC)

/* Ages of the copies, and how long the store is away before it is restored. */
#define COPY_AGE_MIN_MSEC 500
#define COPY_AGE_MAX_MSEC 6000
#define STORE_AWAY_MAX_MSEC 2000
/* Rounds of reports by servers that the store loses, so that it gives out their
 * revisions again. */
#define LOST_ROUNDS 4
/* Interval between events in these runs, so that streams run when the engines
 * fall silent. */
#define STREAM_INTERVAL_USEC (30 * LOOP_USEC_PER_MSEC)
/* No other fault is injected while the engines are silent and until the streams
 * of that time have ended. */
#define SILENCE_USEC (FAKE_PAUSE_USEC + 2 * LOOP_USEC_PER_SEC)
/* Streams sent this long before a silence still run when it begins. */
#define STREAM_USEC (EVENTS * STREAM_INTERVAL_USEC)
/* A node that was started or disturbed less than this before a silence may end
 * streams for that reason. */
#define UNDISTURBED_USEC (3 * LOOP_USEC_PER_SEC)
/* maxAttempts of the streaming and the idempotent routes. */
#define ATTEMPTS_MAX 2

enum call_kind {
	CALL_STREAM,
	CALL_NON_IDEMPOTENT,
	CALL_IDEMPOTENT,
	/* Idempotent, to the route that was added last. */
	CALL_ADDED_ROUTE
};

struct member {
	struct node_fixture fixture;
	struct proxy *store;
	struct proxy *front;
	/* NULL: callers keep no connections. */
	struct kept_pool *kept;
	struct log_reader log;
	int64_t restart_at;
	int64_t resume_at;
	int64_t proxy_fault_ends_at;
	/* When it was last started, signalled, or its connections had a fault.
	 */
	int64_t disturbed_at;
	unsigned int exits;
	bool sigterm_sent;
};

struct caller {
	struct node_call call;
	const struct member *member;
	char id[32];
	enum call_kind kind;
	int64_t sent_at;
	/* The key had been revoked for longer than NODE_REVOKE_MS. */
	bool key_revoked;
	/* The route had been confirmed for longer than NODE_CONFIG_APPLY_MS. */
	bool route_due;
	/* The same for the key, and when that was written: it may be revoked
	 * before the node reads the request. */
	bool key_due;
	int64_t key_written_at;
	bool disconnected;
	bool checked;
	/* It uses a connection of the member's pool. */
	bool on_kept;
	struct kept_use use;
};

struct soak {
	struct loop *loop;
	struct h1 *h1;
	struct fake_platform *platform;
	GRand *rand;
	struct member members[NODES];
	struct caller *callers;
	unsigned int count;
	unsigned int served;
	unsigned int sent_after_recovery;
	unsigned int served_after_recovery;
	unsigned int faults;
	unsigned int violations;
	int version;
	int64_t key_changed_at;
	char keys[2][16];
	/* The run restores the store; see RESTORE_SEED_MIN. */
	bool restores;
	unsigned int restore_count;
	unsigned int silence_count;
	unsigned int undisturbed_streams;
	/* When the store was last copied, and when it comes back; 0: it is
	 * not away. */
	int64_t copied_at;
	int64_t next_copy_at;
	int64_t store_back_at;
	/* Routes added so far, and when the last one was. */
	unsigned int routes;
	int64_t route_added_at;
	/* The last time in which the engines were silent and nothing else was
	 * wrong. */
	int64_t silent_from;
	int64_t silent_until;
	/* Since when the engines have had no fault; INT64_MAX: they have one.
	 */
	int64_t engines_sound_since;
	/* The same for the plain servers. */
	int64_t plain_sound_since;
	/* Callers keep connections; see KEPT_SEED_MIN. */
	bool keeps;
	struct crowd *crowd;
	unsigned int kept_count;
	unsigned int reused_count;
	/* Those that no fault excuses, of them those that were reused, and
	 * those that crossed the close of their connection. */
	unsigned int strict_count;
	unsigned int strict_reused_count;
	unsigned int crossed_count;
	unsigned int limit_changes;
	/* Numbers of lines request-unanswered, by their reason. */
	GHashTable *unanswered;
	int64_t next_log_at;
	int64_t started_at;
	int64_t faults_end_at;
	int64_t recovered_at;
	int64_t ends_at;
};

static uint32_t seed = 1;
static int seconds = 26;

/*
 * Counts and prints a violated guarantee.
 */
static void
report_violation(struct soak *s, const struct caller *caller, const char *rule)
{
	s->violations++;
	printf("BROKEN %s: request %s, status %u, complete %d, sent %.3f s\n",
	    rule, caller->id, caller->call.status, caller->call.complete,
	    (double)(caller->sent_at - s->started_at) / 1e6);
}

/*
 * Starts the process of a member.
 */
static void
member_start(struct member *member)
{
	member->sigterm_sent = false;
	member->disturbed_at = loop_now(member->fixture.loop);
	node_spawn(&member->fixture);
}

/*
 * Creates the proxies and settings of a member and starts it.
 */
static void
member_init(struct soak *s, int index)
{
	struct member *member = &s->members[index];
	struct node_fixture *w = &member->fixture;
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";
	struct sockaddr_in store = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct sockaddr_in front;
	FILE *file;

	w->loop = s->loop;
	w->h1 = s->h1;
	w->platform = s->platform;
	node_assign_addresses(w);
	store.sin_port = htons(fake_platform_port(s->platform));
	front = loopback_own(w->front);
	member->store = proxy_new(s->loop, &store);
	member->front = proxy_new(s->loop, &front);
	snprintf(w->settings_path, sizeof(w->settings_path),
	    "%s/tests/soak-%ld-%d.json", build, (long)getpid(), index);
	snprintf(w->log_path, sizeof(w->log_path), "%s/tests/soak-%ld-%d.log",
	    build, (long)getpid(), index);
	file = fopen(w->settings_path, "w");
	ck_assert_ptr_nonnull(file);
	fprintf(file,
	    "{\"node\":\"n%d\",\"place\":\"here\",\"region\":\"r\","
	    "\"ip\":\"%s\",\"front\":\"%s:%u\","
	    "\"ready\":\"%s:%u\",\"lookup\":\"%s:%u\","
	    "\"store\":\"127.0.0.1:%u\",\"mesh_port\":%u,\"revoke_ms\":%d,"
	    "\"grace_s\":6,\"retry_slack\":200,\"retry_ratio\":0.2",
	    index, w->ip, w->ip, w->front, w->ip, w->ready, w->ip, w->lookup,
	    proxy_port(member->store), w->gossip, NODE_REVOKE_MS);
	if (s->restores)
		fprintf(file, ",\"config_apply_ms\":%d", NODE_CONFIG_APPLY_MS);
	fprintf(file, "}");
	fclose(file);
	member->log.path = w->log_path;
	if (s->keeps)
		member->kept = kept_pool_new(s->loop, s->h1, s->rand);
	member_start(member);
}

/*
 * Starts the request of a caller.
 */
static void
start_call(struct soak *s, struct caller *caller, const char *key)
{
	struct sockaddr_in front = {.sin_family = AF_INET,
	    .sin_port = htons(proxy_port(caller->member->front)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	bool stream = caller->kind == CALL_STREAM;
	bool post = stream || caller->kind == CALL_NON_IDEMPOTENT;
	char path[32] = "/look/1";
	const char *text;

	if (stream)
		snprintf(path, sizeof(path), "/write/draft");
	else if (caller->kind == CALL_NON_IDEMPOTENT)
		snprintf(path, sizeof(path), "/order/1");
	else if (caller->kind == CALL_ADDED_ROUTE)
		snprintf(path, sizeof(path), "/added-%u/1", s->routes);
	text = node_request(post ? "POST" : "GET", path, caller->id, key,
	    stream ? 20000 : PLAIN_TIMEOUT_MSEC,
	    stream ? "Model: m\r\nToken-Usage: 40,80\r\n"
		     "Content-Length: 2\r\n\r\nhi"
		   : "");
	if (s->keeps && g_rand_int_range(s->rand, 0, 10) < KEPT_CALLS &&
	    kept_pool_send(caller->member->kept, &caller->call, &front, text,
		&caller->use)) {
		caller->on_kept = true;
		s->kept_count++;
		s->reused_count += caller->use.reused;
		return;
	}
	node_call_send_to(&s->members[0].fixture, &caller->call, &front, text);
}

/*
 * Sends one request of a caller to a node.
 */
static void
send_call(struct soak *s)
{
	struct caller *caller = &s->callers[s->count];
	struct member *member =
	    &s->members[g_rand_int_range(s->rand, 0, NODES)];
	int64_t now = loop_now(s->loop);
	bool old_key = g_rand_int_range(s->rand, 0, 10) == 0;
	const char *key = s->keys[old_key ? 0 : 1];
	int draw = g_rand_int_range(s->rand, 0, 4);

	caller->member = member;
	caller->kind = draw < 2 ? CALL_STREAM
	    : draw == 2		? CALL_NON_IDEMPOTENT
				: CALL_IDEMPOTENT;
	caller->sent_at = now;
	caller->key_revoked = old_key && s->key_changed_at != 0 &&
	    now - s->key_changed_at > NODE_REVOKE_MS * LOOP_USEC_PER_MSEC;
	caller->key_due = s->restores && !old_key && s->key_changed_at != 0 &&
	    now - s->key_changed_at > NODE_CONFIG_APPLY_MS * LOOP_USEC_PER_MSEC;
	caller->key_written_at = s->key_changed_at;
	snprintf(caller->id, sizeof(caller->id), "c%u", s->count);
	if (s->routes > 0 && draw == 3 && g_rand_boolean(s->rand)) {
		caller->kind = CALL_ADDED_ROUTE;
		caller->route_due = now - s->route_added_at >
		    NODE_CONFIG_APPLY_MS * LOOP_USEC_PER_MSEC;
	}
	s->count++;
	start_call(s, caller, key);
}

/*
 * Returns true if a caller received each event once and in order; a response
 * that is incomplete may have the first events only.
 */
static bool
events_are_correct(const struct caller *caller)
{
	struct lstr_buf wanted = {0};
	const struct lstr_buf *got = &caller->call.body;
	bool correct;

	for (unsigned int i = 1; i <= EVENTS; i++)
		lstr_buf_printf(&wanted, "id: %u\ndata: %u\n\n", i, i);
	correct = caller->call.complete
	    ? lstr_equal(lstr_buf_view(got), lstr_buf_view(&wanted))
	    : got->len <= wanted.len &&
		memcmp(got->data ? got->data : "", wanted.data, got->len) == 0;
	lstr_buf_free(&wanted);
	return correct;
}

/*
 * Returns whether a stream met a silence of the engines and nothing else was
 * wrong, with them or with its node.
 */
static bool
met_only_silence(const struct soak *s, const struct caller *caller)
{
	const struct member *member = caller->member;

	return caller->kind == CALL_STREAM && !caller->disconnected &&
	    s->silent_from != 0 &&
	    caller->sent_at >= s->silent_from - STREAM_USEC &&
	    caller->sent_at >= s->engines_sound_since &&
	    loop_now(s->loop) <= s->silent_until && member->resume_at == 0 &&
	    member->proxy_fault_ends_at == 0 &&
	    member->disturbed_at + UNDISTURBED_USEC <= s->silent_from;
}

/*
 * Checks that a stream was not ended because the engines were silent for a
 * second.
 */
static void
check_silence(struct soak *s, const struct caller *caller)
{
	const struct node_call *call = &caller->call;

	if (!met_only_silence(s, caller))
		return;
	s->undisturbed_streams++;
	if (call->status == 502 || call->status == 504 ||
	    (call->status == 200 && !call->complete))
		report_violation(s, caller, "a silence ended a stream");
}

/*
 * Returns whether neither a member nor its connections were disturbed lately.
 */
static bool
is_calm(const struct member *member, int64_t since)
{
	return member->fixture.pid != 0 && !member->sigterm_sent &&
	    member->resume_at == 0 && member->proxy_fault_ends_at == 0 &&
	    member->disturbed_at + KEPT_CALM_USEC <= since;
}

/*
 * Returns whether all servers have been sound since a time.
 */
static bool
servers_are_sound(const struct soak *s, int64_t since)
{
	return s->engines_sound_since <= since - KEPT_CALM_USEC &&
	    s->plain_sound_since <= since - KEPT_CALM_USEC;
}

/*
 * Returns whether the log of a member has a line about a request.
 */
static bool
log_has_request(const struct member *member, const char *id)
{
	struct log_reader reader = {.path = member->fixture.log_path};
	char line[LOG_LINE_BYTES];
	char value[64];

	while (log_reader_next(&reader, line, sizeof(line))) {
		if (log_find_string(line, "id", value, sizeof(value)) &&
		    strcmp(value, id) == 0)
			return true;
	}
	return false;
}

/*
 * Checks that a whole request on a connection that is kept got an answer or a
 * refusal, if its node was not disturbed and its servers were sound. One that
 * the node has not read may cross the close of its connection, but not within
 * the time that the node has stated.
 */
static void
check_kept(struct soak *s, const struct caller *caller)
{
	const struct node_call *call = &caller->call;

	if (!caller->on_kept || caller->disconnected ||
	    !is_calm(caller->member, caller->sent_at) ||
	    !servers_are_sound(s, caller->sent_at))
		return;
	s->strict_count++;
	s->strict_reused_count += caller->use.reused;
	if (call->complete)
		return;
	if (call->status != 0 ||
	    fake_platform_run_count(s->platform, caller->id) > 0 ||
	    log_has_request(caller->member, caller->id)) {
		report_violation(s, caller, "a request that was read was cut");
		return;
	}
	s->crossed_count++;
	if (caller->use.within_stated)
		report_violation(
		    s, caller, "a connection was not kept as stated");
}

/*
 * Counts a request without an answer by the reason in the log.
 */
static void
count_reason(struct soak *s, const char *reason)
{
	gpointer count = g_hash_table_lookup(s->unanswered, reason);

	g_hash_table_insert(s->unanswered, g_strdup(reason),
	    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

/*
 * Counts the lines request-unanswered of the members. An undisturbed member
 * must have none while all servers are sound, and must keep connections for the
 * time that it has stated.
 */
static void
check_logs(struct soak *s)
{
	int64_t now = loop_now(s->loop);
	char line[LOG_LINE_BYTES];
	char reason[128];

	for (int i = 0; i < NODES; i++) {
		struct member *member = &s->members[i];

		while (log_reader_next(&member->log, line, sizeof(line))) {
			if (strstr(line, "\"request-unanswered\"") == NULL ||
			    !log_find_string(
				line, "reason", reason, sizeof(reason)))
				continue;
			count_reason(s, reason);
			if (!is_calm(member, now) || !servers_are_sound(s, now))
				continue;
			s->violations++;
			printf("BROKEN an undisturbed node did not answer: "
			       "%s\n",
			    line);
		}
	}
	for (int i = 0; i < NODES; i++) {
		struct member *member = &s->members[i];
		unsigned int early = kept_pool_take_closed_early(member->kept);

		if (early == 0 || !is_calm(member, now))
			continue;
		s->violations++;
		printf("BROKEN node %d closed %u connections before the time "
		       "that it had stated, at %.3f s\n",
		    i, early, (double)(now - s->started_at) / 1e6);
	}
	s->next_log_at = now + LOG_INTERVAL_USEC;
}

/*
 * Checks a response against the guarantees.
 */
static void
check_response(struct soak *s, struct caller *caller)
{
	const struct node_call *call = &caller->call;
	unsigned int runs = fake_platform_run_count(s->platform, caller->id);
	bool is_refusal = call->status == 503 || call->status == 429 ||
	    call->status == 408 || call->status == 421;

	caller->checked = true;
	if (caller->key_revoked && runs > 0)
		report_violation(s, caller, "a revoked key worked");
	if (caller->kind == CALL_NON_IDEMPOTENT && runs > 1)
		report_violation(s, caller, "an order ran twice");
	if (caller->kind == CALL_NON_IDEMPOTENT && is_refusal && runs > 0)
		report_violation(s, caller, "a refusal was not true");
	if (caller->kind != CALL_NON_IDEMPOTENT && runs > ATTEMPTS_MAX)
		report_violation(s, caller, "too many attempts");
	check_silence(s, caller);
	check_kept(s, caller);
	if (call->status == 401 && caller->key_due &&
	    caller->key_written_at == s->key_changed_at)
		report_violation(s, caller, "a valid key was refused");
	if (call->status == 404 && caller->kind == CALL_ADDED_ROUTE) {
		if (caller->route_due)
			report_violation(
			    s, caller, "a route was not served in time");
		return;
	}
	if (call->status == 404 || call->status == 400)
		report_violation(s, caller, "a proper request was denied");
	if (call->status != 200)
		return;
	if (caller->kind == CALL_STREAM && !events_are_correct(caller))
		report_violation(s, caller, "events are wrong");
	if (caller->kind != CALL_STREAM && call->complete &&
	    !lstr_equal_c(lstr_buf_view(&call->body), "a whole answer"))
		report_violation(s, caller, "an answer is not whole");
	s->served += call->complete;
	if (caller->sent_at > s->recovered_at)
		s->served_after_recovery += call->complete;
}

/*
 * Checks the calls that have ended, and disconnects some callers at random.
 */
static void
check_ended_calls(struct soak *s)
{
	for (unsigned int i = 0; i < s->count; i++) {
		struct caller *caller = &s->callers[i];

		if (caller->checked)
			continue;
		if (!caller->call.ended &&
		    g_rand_double(s->rand) < DISCONNECT_SHARE / 100) {
			if (caller->on_kept)
				kept_pool_cancel(
				    caller->member->kept, &caller->call);
			else
				h1_close(caller->call.conn);
			caller->call.ended = true;
			caller->disconnected = true;
		}
		if (caller->call.ended)
			check_response(s, caller);
	}
}

/*
 * Adds an API key and revokes the one before the last.
 */
static void
change_keys(struct soak *s)
{
	snprintf(s->keys[0], sizeof(s->keys[0]), "%s", s->keys[1]);
	snprintf(s->keys[1], sizeof(s->keys[1]), "k-%d", ++s->version);
	fake_platform_configure(s->platform, s->version, s->keys[1]);
	s->key_changed_at = loop_now(s->loop);
}

/*
 * Changes the keys if the former change was long enough ago for its check, and
 * the store is not away.
 */
static void
change_keys_if_due(struct soak *s)
{
	if (s->store_back_at == 0 &&
	    loop_now(s->loop) - s->key_changed_at >
		2 * NODE_REVOKE_MS * LOOP_USEC_PER_MSEC)
		change_keys(s);
}

/*
 * Injects a fault into the engines, or none.
 */
static void
set_engine_fault(struct soak *s, enum fake_fault fault, unsigned int event)
{
	if (fault != FAKE_NONE)
		s->engines_sound_since = INT64_MAX;
	else if (s->engines_sound_since == INT64_MAX)
		s->engines_sound_since = loop_now(s->loop);
	fake_platform_set_engine_fault(s->platform, fault, event);
}

/*
 * The same for the plain servers.
 */
static void
set_plain_fault(struct soak *s, enum fake_fault fault)
{
	if (fault != FAKE_NONE)
		s->plain_sound_since = INT64_MAX;
	else if (s->plain_sound_since == INT64_MAX)
		s->plain_sound_since = loop_now(s->loop);
	fake_platform_set_plain_fault(s->platform, fault);
}

/*
 * Adds a route to the configuration unless the store is away.
 */
static void
add_route(struct soak *s)
{
	char name[32];

	if (s->store_back_at != 0)
		return;
	snprintf(name, sizeof(name), "added-%u", ++s->routes);
	fake_platform_add_route(s->platform, name);
	fake_platform_configure(s->platform, ++s->version, s->keys[1]);
	s->route_added_at = loop_now(s->loop);
}

/*
 * Takes the store away and restores it later, unless it is away already. The
 * operator may change the configuration shortly before.
 */
static void
take_store_away(struct soak *s)
{
	int64_t now = loop_now(s->loop);

	if (s->copied_at == 0 || s->store_back_at != 0)
		return;
	switch (g_rand_int_range(s->rand, 0, 3)) {
	case 0:
		add_route(s);
		break;
	case 1:
		change_keys_if_due(s);
		break;
	default:
		break;
	}
	for (int i = 0; i < LOST_ROUNDS; i++)
		fake_platform_touch_servers(s->platform);
	fake_platform_set_store_silent(s->platform, true);
	s->store_back_at = now +
	    g_rand_int_range(s->rand, 0, STORE_AWAY_MAX_MSEC) *
		LOOP_USEC_PER_MSEC;
}

/*
 * Restores the store when it is due, and copies it at random intervals. All
 * configurations are in the store again before it responds, since the bounds
 * count from their confirmation. The operator may add a route at once, at a
 * revision that the store had given out before.
 */
static void
maintain_store(struct soak *s, bool faults_ended)
{
	int64_t now = loop_now(s->loop);

	if (s->store_back_at != 0 &&
	    (faults_ended || now >= s->store_back_at)) {
		fake_platform_restore_store(s->platform);
		fake_platform_rewrite(s->platform);
		fake_platform_set_store_silent(s->platform, false);
		s->store_back_at = 0;
		s->restore_count++;
		if (g_rand_boolean(s->rand))
			add_route(s);
	}
	if (s->store_back_at == 0 && now >= s->next_copy_at) {
		fake_platform_copy_store(s->platform);
		s->copied_at = now;
		s->next_copy_at = now +
		    g_rand_int_range(
			s->rand, COPY_AGE_MIN_MSEC, COPY_AGE_MAX_MSEC) *
			LOOP_USEC_PER_MSEC;
	}
}

/*
 * Lets all engines fall silent for a second while nothing else is wrong with
 * them. Returns how long no other fault may be injected.
 */
static int64_t
silence_engines(struct soak *s)
{
	int64_t now = loop_now(s->loop);

	set_engine_fault(s, FAKE_NONE, 0);
	fake_platform_pause_engines(s->platform, now + FAKE_PAUSE_USEC);
	s->silent_from = now;
	s->silent_until = now + SILENCE_USEC;
	s->silence_count++;
	return SILENCE_USEC;
}

/*
 * Injects a fault that only runs with restores have. Returns how long no other
 * fault may be injected.
 */
static int64_t
inject_restore_fault(struct soak *s)
{
	s->faults++;
	switch (g_rand_int_range(s->rand, 0, 8)) {
	case 0:
	case 1:
	case 2:
		take_store_away(s);
		break;
	case 3:
	case 4:
		add_route(s);
		break;
	case 5:
		return silence_engines(s);
	case 6:
		set_engine_fault(s, FAKE_PAUSING,
		    (unsigned int)g_rand_int_range(s->rand, 1, EVENTS));
		break;
	default:
		set_engine_fault(s, FAKE_NONE, 0);
		change_keys_if_due(s);
	}
	return 0;
}

/*
 * Changes the limits of callers unless the store is away.
 */
static void
change_limits(struct soak *s)
{
	static const int idle_msec[] = {1000, 2000, 3000, 5000};

	if (s->store_back_at != 0)
		return;
	fake_platform_set_idle_timeout(s->platform,
	    idle_msec[g_rand_int_range(s->rand, 0, G_N_ELEMENTS(idle_msec))]);
	fake_platform_set_request_limits(s->platform,
	    (size_t)HEAD_LIMIT_MIN_BYTES *
		(size_t)g_rand_int_range(s->rand, 1, 5),
	    (size_t)BODY_LIMIT_MIN_BYTES *
		(size_t)g_rand_int_range(s->rand, 1, 8));
	fake_platform_configure(s->platform, ++s->version, s->keys[1]);
	s->limit_changes++;
}

/*
 * Injects a disturbance that only runs with kept connections have, also after
 * the last fault, since no rule excuses it. Returns how long no other fault may
 * be injected.
 */
static int64_t
inject_kept_fault(struct soak *s)
{
	struct sockaddr_in front = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	s->faults++;
	switch (g_rand_int_range(s->rand, 0, 4)) {
	case 0:
	case 1:
		change_limits(s);
		break;
	case 2:
		front.sin_port = htons(proxy_port(
		    s->members[g_rand_int_range(s->rand, 0, NODES)].front));
		crowd_press(s->crowd, &front, s->keys[1]);
		break;
	default:
		set_plain_fault(s, FAKE_NONE);
		return silence_engines(s);
	}
	return 0;
}

/*
 * Kills, terminates, suspends or reloads a member; a suspended one is resumed
 * later.
 */
static void
signal_member(struct soak *s, struct member *member)
{
	int64_t now = loop_now(s->loop);

	if (member->fixture.pid == 0 || member->resume_at != 0)
		return;
	member->disturbed_at = now;
	switch (g_rand_int_range(s->rand, 0, 4)) {
	case 0:
		kill(member->fixture.pid, SIGKILL);
		break;
	case 1:
		kill(member->fixture.pid, SIGTERM);
		member->sigterm_sent = true;
		break;
	case 2:
		kill(member->fixture.pid, SIGSTOP);
		member->resume_at = now +
		    g_rand_int_range(s->rand, 100, 4000) * LOOP_USEC_PER_MSEC;
		break;
	default:
		kill(member->fixture.pid, SIGHUP);
	}
}

/*
 * Injects a random fault.
 */
static void
inject(struct soak *s)
{
	struct member *member =
	    &s->members[g_rand_int_range(s->rand, 0, NODES)];
	int64_t for_usec =
	    g_rand_int_range(s->rand, 200, 5000) * LOOP_USEC_PER_MSEC;

	s->faults++;
	member->disturbed_at = loop_now(s->loop);
	switch (g_rand_int_range(s->rand, 0, 10)) {
	case 0:
	case 1:
	case 2:
		signal_member(s, member);
		break;
	case 3:
	case 4:
		proxy_set_mode(member->store,
		    (enum proxy_mode)g_rand_int_range(s->rand, 0, 4));
		member->proxy_fault_ends_at = loop_now(s->loop) + for_usec;
		break;
	case 5:
		proxy_set_mode(member->front, PROXY_DELAY);
		member->proxy_fault_ends_at = loop_now(s->loop) + for_usec;
		break;
	case 6:
		proxy_reset(
		    g_rand_boolean(s->rand) ? member->store : member->front);
		break;
	case 7:
		set_engine_fault(s,
		    (enum fake_fault)g_rand_int_range(s->rand, 0, 3),
		    (unsigned int)g_rand_int_range(s->rand, 1, EVENTS));
		break;
	case 8:
		set_plain_fault(s,
		    (enum fake_fault)g_rand_int_range(
			s->rand, 0, FAKE_REFUSED + 1));
		break;
	default:
		change_keys_if_due(s);
	}
}

/*
 * Restarts members that have exited, resumes suspended ones and exits the
 * faults of proxies.
 */
static void
maintain_members(struct soak *s, bool faults_ended)
{
	int64_t now = loop_now(s->loop);

	for (int i = 0; i < NODES; i++) {
		struct member *member = &s->members[i];
		int status;

		if (member->resume_at != 0 &&
		    (faults_ended || now >= member->resume_at)) {
			kill(member->fixture.pid, SIGCONT);
			member->resume_at = 0;
			member->disturbed_at = now;
		}
		if (faults_ended ||
		    (member->proxy_fault_ends_at != 0 &&
			now >= member->proxy_fault_ends_at)) {
			proxy_set_mode(member->store, PROXY_PASS);
			proxy_set_mode(member->front, PROXY_PASS);
			if (member->proxy_fault_ends_at != 0)
				member->disturbed_at = now;
			member->proxy_fault_ends_at = 0;
		}
		if (member->fixture.pid > 0 &&
		    waitpid(member->fixture.pid, &status, WNOHANG) ==
			member->fixture.pid) {
			if (WIFSIGNALED(status) &&
			    WTERMSIG(status) != SIGKILL) {
				s->violations++;
				printf("BROKEN a node ended by signal %d\n",
				    WTERMSIG(status));
			} else if (WIFEXITED(status) &&
			    WEXITSTATUS(status) != 0) {
				s->violations++;
				printf("BROKEN a node ended with code %d\n",
				    WEXITSTATUS(status));
			}
			member->fixture.pid = 0;
			member->restart_at = now + RESTART_USEC;
			member->exits++;
		}
		if (member->fixture.pid == 0 && now >= member->restart_at)
			member_start(member);
	}
}

/*
 * Sends requests and injects faults until the end of the run.
 */
static void
run(struct soak *s)
{
	int64_t next_call = loop_now(s->loop);
	int64_t next_fault = next_call + LOOP_USEC_PER_SEC;

	while (loop_now(s->loop) < s->ends_at) {
		int64_t now = loop_now(s->loop);
		bool faults_ended = now >= s->faults_end_at;

		if (now >= next_call && s->count < CALLS_MAX) {
			s->sent_after_recovery += now > s->recovered_at;
			send_call(s);
			next_call = now + CALL_INTERVAL_USEC;
		}
		if ((!faults_ended || s->keeps) && now >= next_fault) {
			int64_t pause = 0;

			if (s->keeps &&
			    (faults_ended || g_rand_boolean(s->rand)))
				pause = inject_kept_fault(s);
			else if (s->restores && g_rand_boolean(s->rand))
				pause = inject_restore_fault(s);
			else
				inject(s);
			next_fault = now + pause +
			    g_rand_int_range(s->rand, FAULT_INTERVAL_MIN_MSEC,
				FAULT_INTERVAL_MAX_MSEC) *
				LOOP_USEC_PER_MSEC;
		}
		if (faults_ended) {
			set_engine_fault(s, FAKE_NONE, 0);
			set_plain_fault(s, FAKE_NONE);
		}
		maintain_members(s, faults_ended);
		if (s->restores)
			maintain_store(s, faults_ended);
		check_ended_calls(s);
		if (s->keeps) {
			crowd_maintain(s->crowd);
			if (now >= s->next_log_at)
				check_logs(s);
		}
		loop_run_once(s->loop, now + 2 * LOOP_USEC_PER_MSEC);
	}
}

/*
 * Prints what happened on connections that are kept.
 */
static void
print_kept(struct soak *s)
{
	GHashTableIter iter;
	gpointer reason;
	gpointer count;

	check_logs(s);
	printf("seed %u: %u requests on kept connections, %u of them reused; "
	       "without an excuse %u, %u of them reused, %u crossed a close\n",
	    seed, s->kept_count, s->reused_count, s->strict_count,
	    s->strict_reused_count, s->crossed_count);
	printf("seed %u: %u changes of limits, %u clients stopped short\n",
	    seed, s->limit_changes, crowd_count(s->crowd));
	g_hash_table_iter_init(&iter, s->unanswered);
	while (g_hash_table_iter_next(&iter, &reason, &count))
		printf("seed %u: %u unanswered: %s\n", seed,
		    GPOINTER_TO_UINT(count), (const char *)reason);
}

/*
 * Checks all calls once more and prints the result.
 */
static void
finish(struct soak *s)
{
	for (unsigned int i = 0; i < s->count; i++) {
		struct caller *caller = &s->callers[i];

		/* A non-idempotent request must not run again after its
		 * response. */
		if (caller->checked && caller->kind == CALL_NON_IDEMPOTENT &&
		    fake_platform_run_count(s->platform, caller->id) > 1)
			report_violation(
			    s, caller, "an order ran twice, later");
		if (!caller->call.ended && caller->on_kept)
			kept_pool_cancel(caller->member->kept, &caller->call);
		else if (!caller->call.ended)
			h1_close(caller->call.conn);
		lstr_buf_free(&caller->call.body);
	}
	if (fake_platform_incomplete_path_count(s->platform) > 0) {
		s->violations++;
		printf("BROKEN %u paths were not whole\n",
		    fake_platform_incomplete_path_count(s->platform));
	}
	/* The copy by which a node serves keys is never older than this. */
	if (fake_platform_outdated_path_usec(s->platform) >
	    NODE_REVOKE_MS * LOOP_USEC_PER_MSEC) {
		s->violations++;
		printf("BROKEN a path had layers that were given up %.3f s "
		       "before\n",
		    (double)fake_platform_outdated_path_usec(s->platform) /
			1e6);
	}
	if (fake_platform_authorization_count(s->platform) > 0) {
		s->violations++;
		printf("BROKEN a back end saw a key\n");
	}
	if (s->served_after_recovery * 4 < s->sent_after_recovery) {
		s->violations++;
		printf("BROKEN %u of %u requests served after the faults\n",
		    s->served_after_recovery, s->sent_after_recovery);
	}
	if (fake_platform_outdated_path_count(s->platform) > 0)
		printf("seed %u: %u paths refused, whose layers had been given "
		       "up up to %.3f s before\n",
		    seed, fake_platform_outdated_path_count(s->platform),
		    (double)fake_platform_outdated_path_usec(s->platform) /
			1e6);
	if (s->restores)
		printf("seed %u: %u restores, %u routes added, %u silences, "
		       "%u streams in them\n",
		    seed, s->restore_count, s->routes, s->silence_count,
		    s->undisturbed_streams);
	if (s->keeps)
		print_kept(s);
	printf("seed %u: %u requests, %u served, %u faults, %u broken\n", seed,
	    s->count, s->served, s->faults, s->violations);
}

/* Checks the guarantees of the service under a random series of faults. */
START_TEST(guarantees_hold_under_random_faults)
{
	struct soak s = {.version = 1,
	    .restores = seed >= RESTORE_SEED_MIN,
	    .keeps = seed >= KEPT_SEED_MIN};

	ck_assert_int_eq(loop_create(&s.loop), STATUS_OK);
	ck_assert_int_eq(h1_create(s.loop, &s.h1), STATUS_OK);
	signal(SIGPIPE, SIG_IGN);
	s.rand = g_rand_new_with_seed(seed);
	s.platform = fake_platform_new(s.loop, s.h1);
	s.callers = g_new0(struct caller, CALLS_MAX);
	s.crowd = crowd_new(s.loop, s.h1, s.rand);
	s.unanswered =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (s.restores)
		fake_platform_set_event_interval(
		    s.platform, STREAM_INTERVAL_USEC);
	snprintf(s.keys[0], sizeof(s.keys[0]), "k-1");
	snprintf(s.keys[1], sizeof(s.keys[1]), "k-1");
	fake_platform_configure(s.platform, s.version, s.keys[1]);
	for (int i = 0; i < NODES; i++)
		member_init(&s, i);
	s.started_at = loop_now(s.loop);
	s.ends_at = s.started_at + seconds * LOOP_USEC_PER_SEC;
	s.faults_end_at = s.ends_at - FAULT_FREE_USEC;
	s.recovered_at = s.faults_end_at + RECOVERY_USEC;
	run(&s);
	finish(&s);
	crowd_free(s.crowd);
	g_hash_table_destroy(s.unanswered);
	for (int i = 0; i < NODES; i++) {
		struct node_fixture *w = &s.members[i].fixture;

		if (w->pid > 0) {
			kill(w->pid, SIGKILL);
			waitpid(w->pid, NULL, 0);
		}
		kept_pool_free(s.members[i].kept);
		proxy_free(s.members[i].store);
		proxy_free(s.members[i].front);
		unlink(w->settings_path);
		if (s.violations == 0)
			unlink(w->log_path);
		else
			printf("log kept: %s\n", w->log_path);
	}
	fake_platform_free(s.platform);
	h1_destroy(s.h1);
	loop_destroy(s.loop);
	g_rand_free(s.rand);
	g_free(s.callers);
	ck_assert_uint_eq(s.violations, 0);
}
END_TEST

/*
 * Runs the soak test; the arguments are the seed and the duration in seconds.
 * The check library must not fork, since this process waits for the nodes as
 * its own children.
 */
int
main(int argc, char **argv)
{
	const TTest *const tests[] = {guarantees_hold_under_random_faults};

	if (argc > 1)
		seed = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seconds = (int)strtol(argv[2], NULL, 10);
	setenv("CK_FORK", "no", 1);
	return harness_run("soak", tests, 1);
}
