#include "../node_fixture.h"
#include "proxy.h"

/*
 * Runs several node processes under a random series of faults that are injected
 * from outside: soak SEED SECONDS. Checks the guarantees of the service from
 * what callers and backend servers observe. It signals only processes that it
 * started.
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

enum call_kind {
	CALL_STREAM,
	CALL_NON_IDEMPOTENT,
	CALL_IDEMPOTENT
};

struct member {
	struct node_fixture fixture;
	struct proxy *store;
	struct proxy *front;
	int64_t restart_at;
	int64_t resume_at;
	int64_t proxy_fault_ends_at;
	unsigned int exits;
	bool sigterm_sent;
};

struct caller {
	struct node_call call;
	char id[32];
	enum call_kind kind;
	int64_t sent_at;
	/* The key had been revoked for longer than NODE_REVOKE_MS. */
	bool key_revoked;
	bool checked;
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
	    "\"grace_s\":6,\"retry_slack\":200,\"retry_ratio\":0.2}",
	    index, w->ip, w->ip, w->front, w->ip, w->ready, w->ip, w->lookup,
	    proxy_port(member->store), w->gossip, NODE_REVOKE_MS);
	fclose(file);
	member_start(member);
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
	struct sockaddr_in front = {.sin_family = AF_INET,
	    .sin_port = htons(proxy_port(member->front)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	caller->kind = draw < 2 ? CALL_STREAM
	    : draw == 2		? CALL_NON_IDEMPOTENT
				: CALL_IDEMPOTENT;
	caller->sent_at = now;
	caller->key_revoked = old_key && s->key_changed_at != 0 &&
	    now - s->key_changed_at > NODE_REVOKE_MS * LOOP_USEC_PER_MSEC;
	snprintf(caller->id, sizeof(caller->id), "c%u", s->count);
	s->count++;
	node_call_send_to(&member->fixture, &caller->call, &front,
	    caller->kind == CALL_STREAM
		? node_request("POST", "/write/draft", caller->id, key, 20000,
		      "Model: m\r\nToken-Usage: 40,80\r\n"
		      "Content-Length: 2\r\n\r\nhi")
		: node_request(
		      caller->kind == CALL_NON_IDEMPOTENT ? "POST" : "GET",
		      caller->kind == CALL_NON_IDEMPOTENT ? "/order/1"
							  : "/look/1",
		      caller->id, key, PLAIN_TIMEOUT_MSEC, ""));
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
			h1_close(caller->call.conn);
			caller->call.ended = true;
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
 * Kills, terminates, suspends or reloads a member; a suspended one is resumed
 * later.
 */
static void
signal_member(struct soak *s, struct member *member)
{
	int64_t now = loop_now(s->loop);

	if (member->fixture.pid == 0 || member->resume_at != 0)
		return;
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
		fake_platform_set_engine_fault(s->platform,
		    (enum fake_fault)g_rand_int_range(s->rand, 0, 3),
		    (unsigned int)g_rand_int_range(s->rand, 1, EVENTS));
		break;
	case 8:
		fake_platform_set_plain_fault(s->platform,
		    (enum fake_fault)g_rand_int_range(
			s->rand, 0, FAKE_REFUSED + 1));
		break;
	default:
		if (loop_now(s->loop) - s->key_changed_at >
		    2 * NODE_REVOKE_MS * LOOP_USEC_PER_MSEC)
			change_keys(s);
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
		}
		if (faults_ended ||
		    (member->proxy_fault_ends_at != 0 &&
			now >= member->proxy_fault_ends_at)) {
			proxy_set_mode(member->store, PROXY_PASS);
			proxy_set_mode(member->front, PROXY_PASS);
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
		if (!faults_ended && now >= next_fault) {
			inject(s);
			next_fault = now +
			    g_rand_int_range(s->rand, FAULT_INTERVAL_MIN_MSEC,
				FAULT_INTERVAL_MAX_MSEC) *
				LOOP_USEC_PER_MSEC;
		}
		if (faults_ended) {
			fake_platform_set_engine_fault(
			    s->platform, FAKE_NONE, 0);
			fake_platform_set_plain_fault(s->platform, FAKE_NONE);
		}
		maintain_members(s, faults_ended);
		check_ended_calls(s);
		loop_run_once(s->loop, now + 2 * LOOP_USEC_PER_MSEC);
	}
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
		if (!caller->call.ended)
			h1_close(caller->call.conn);
		lstr_buf_free(&caller->call.body);
	}
	if (fake_platform_incomplete_path_count(s->platform) > 0) {
		s->violations++;
		printf("BROKEN %u paths were not whole\n",
		    fake_platform_incomplete_path_count(s->platform));
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
	printf("seed %u: %u requests, %u served, %u faults, %u broken\n", seed,
	    s->count, s->served, s->faults, s->violations);
}

/* Checks the guarantees of the service under a random series of faults. */
START_TEST(guarantees_hold_under_random_faults)
{
	struct soak s = {.version = 1};

	ck_assert_int_eq(loop_create(&s.loop), STATUS_OK);
	ck_assert_int_eq(h1_create(s.loop, &s.h1), STATUS_OK);
	signal(SIGPIPE, SIG_IGN);
	s.rand = g_rand_new_with_seed(seed);
	s.platform = fake_platform_new(s.loop, s.h1);
	s.callers = g_new0(struct caller, CALLS_MAX);
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
	for (int i = 0; i < NODES; i++) {
		struct node_fixture *w = &s.members[i].fixture;

		if (w->pid > 0) {
			kill(w->pid, SIGKILL);
			waitpid(w->pid, NULL, 0);
		}
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
