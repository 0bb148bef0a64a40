#include "../node_fixture.h"
#include "proxy.h"

/*
 * A randomized run of the real program as several processes, with faults from
 * outside: soak SEED SECONDS. The promises are checked while it runs from what
 * callers and back ends see. It ends only processes that it started.
 */

#define NODES 4
#define EVENTS 12
#define CALLS_MAX 4000
#define CALL_EVERY_USEC (12 * LOOP_USEC_PER_MSEC)
#define FAULT_LEAST_MSEC 150
#define FAULT_MOST_MSEC 1200
#define RESTART_USEC (300 * LOOP_USEC_PER_MSEC)
#define LEAVE_SHARE 0.1
/* Faults end this long before the run does; a quarter of the requests of the
 * last part must be served. */
#define CALM_USEC (14 * LOOP_USEC_PER_SEC)
#define RECOVER_USEC (12 * LOOP_USEC_PER_SEC)
#define PLAIN_PATIENCE_MSEC 2000

enum call_kind {
	CALL_STREAM,
	CALL_ORDER,
	CALL_LOOKUP
};

struct member {
	struct node_fixture fixture;
	struct proxy *store;
	struct proxy *front;
	int64_t restart_at;
	int64_t wake_at;
	int64_t calm_at;
	unsigned int ends;
	bool told_to_stop;
};

struct caller {
	struct node_call call;
	char id[32];
	enum call_kind kind;
	int64_t sent_at;
	/* The key had been taken away for longer than the bound. */
	bool dead_key;
	bool judged;
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
	unsigned int late;
	unsigned int late_served;
	unsigned int faults;
	unsigned int broken;
	int version;
	int64_t key_changed_at;
	char keys[2][16];
	int64_t started_at;
	int64_t calm_from;
	int64_t recover_by;
	int64_t ends_at;
};

static uint32_t seed = 1;
static int seconds = 26;

/*
 * Reports a broken promise.
 */
static void
broken(struct soak *s, const struct caller *caller, const char *rule)
{
	s->broken++;
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
	member->told_to_stop = false;
	node_spawn(&member->fixture);
}

/*
 * Prepares and starts a member behind its proxies.
 */
static void
member_init(struct soak *s, int index)
{
	struct member *member = &s->members[index];
	struct node_fixture *w = &member->fixture;
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";
	FILE *file;

	w->loop = s->loop;
	w->h1 = s->h1;
	w->platform = s->platform;
	w->front = node_free_port(SOCK_STREAM);
	w->metrics = node_free_port(SOCK_STREAM);
	member->store = proxy_new(s->loop, fake_platform_port(s->platform));
	member->front = proxy_new(s->loop, w->front);
	snprintf(w->settings_path, sizeof(w->settings_path),
	    "%s/tests/soak-%ld-%d.json", build, (long)getpid(), index);
	snprintf(w->log_path, sizeof(w->log_path), "%s/tests/soak-%ld-%d.log",
	    build, (long)getpid(), index);
	file = fopen(w->settings_path, "w");
	ck_assert_ptr_nonnull(file);
	fprintf(file,
	    "{\"node\":\"n%d\",\"place\":\"here\",\"region\":\"r\","
	    "\"ip\":\"127.0.0.1\",\"front\":\"127.0.0.1:%u\","
	    "\"ready\":\"127.0.0.1:%u\",\"lookup\":\"127.0.0.1:%u\","
	    "\"store\":\"127.0.0.1:%u\",\"mesh_port\":%u,\"revoke_ms\":%d,"
	    "\"grace_s\":6,\"retry_slack\":200,\"retry_ratio\":0.2}",
	    index, w->front, node_free_port(SOCK_STREAM),
	    node_free_port(SOCK_STREAM), proxy_port(member->store),
	    node_free_port(SOCK_DGRAM), NODE_REVOKE_MS);
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

	caller->kind = draw < 2 ? CALL_STREAM
	    : draw == 2		? CALL_ORDER
				: CALL_LOOKUP;
	caller->sent_at = now;
	caller->dead_key = old_key && s->key_changed_at != 0 &&
	    now - s->key_changed_at > NODE_REVOKE_MS * LOOP_USEC_PER_MSEC;
	snprintf(caller->id, sizeof(caller->id), "c%u", s->count);
	s->count++;
	node_call_send(&member->fixture, &caller->call,
	    proxy_port(member->front),
	    caller->kind == CALL_STREAM
		? node_request("POST", "/write/draft", caller->id, key, 20000,
		      "Model: m\r\nToken-Usage: 40,80\r\n"
		      "Content-Length: 2\r\n\r\nhi")
		: node_request(caller->kind == CALL_ORDER ? "POST" : "GET",
		      caller->kind == CALL_ORDER ? "/order/1" : "/look/1",
		      caller->id, key, PLAIN_PATIENCE_MSEC, ""));
}

/*
 * Checks the events that a caller got: each once and in order.
 */
static bool
events_are_right(const struct caller *caller)
{
	struct lstr_buf wanted = {0};
	const struct lstr_buf *got = &caller->call.body;
	bool right;

	for (unsigned int i = 1; i <= EVENTS; i++)
		lstr_buf_printf(&wanted, "id: %u\ndata: %u\n\n", i, i);
	right = caller->call.complete
	    ? lstr_equal(lstr_buf_view(got), lstr_buf_view(&wanted))
	    : got->len <= wanted.len &&
		memcmp(got->data ? got->data : "", wanted.data, got->len) == 0;
	lstr_buf_free(&wanted);
	return right;
}

/*
 * Checks one answer against the promises.
 */
static void
judge(struct soak *s, struct caller *caller)
{
	const struct node_call *call = &caller->call;
	unsigned int runs = fake_platform_run_count(s->platform, caller->id);
	bool promise = call->status == 503 || call->status == 429 ||
	    call->status == 408 || call->status == 421;

	caller->judged = true;
	if (caller->dead_key && runs > 0)
		broken(s, caller, "a revoked key worked");
	if (caller->kind == CALL_ORDER && runs > 1)
		broken(s, caller, "an order ran twice");
	if (caller->kind == CALL_ORDER && promise && runs > 0)
		broken(s, caller, "a refusal was not true");
	if (call->status == 404 || call->status == 400)
		broken(s, caller, "a proper request was denied");
	if (call->status != 200)
		return;
	if (caller->kind == CALL_STREAM && !events_are_right(caller))
		broken(s, caller, "events are wrong");
	if (caller->kind != CALL_STREAM && call->complete &&
	    !lstr_equal_c(lstr_buf_view(&call->body), "a whole answer"))
		broken(s, caller, "an answer is not whole");
	s->served += call->complete;
	if (caller->sent_at > s->recover_by)
		s->late_served += call->complete;
}

/*
 * Looks at answers that have ended, and lets some callers leave.
 */
static void
judge_ended(struct soak *s)
{
	for (unsigned int i = 0; i < s->count; i++) {
		struct caller *caller = &s->callers[i];

		if (caller->judged)
			continue;
		if (!caller->call.ended &&
		    g_rand_double(s->rand) < LEAVE_SHARE / 100) {
			h1_close(caller->call.conn);
			caller->call.ended = true;
		}
		if (caller->call.ended)
			judge(s, caller);
	}
}

/*
 * Takes a key away, or gives one.
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
 * Sends a signal to a member and plans what follows.
 */
static void
signal_member(struct soak *s, struct member *member)
{
	int64_t now = loop_now(s->loop);

	if (member->fixture.pid == 0 || member->wake_at != 0)
		return;
	switch (g_rand_int_range(s->rand, 0, 4)) {
	case 0:
		kill(member->fixture.pid, SIGKILL);
		break;
	case 1:
		kill(member->fixture.pid, SIGTERM);
		member->told_to_stop = true;
		break;
	case 2:
		kill(member->fixture.pid, SIGSTOP);
		member->wake_at = now +
		    g_rand_int_range(s->rand, 100, 4000) * LOOP_USEC_PER_MSEC;
		break;
	default:
		kill(member->fixture.pid, SIGHUP);
	}
}

/*
 * Injects one fault.
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
		member->calm_at = loop_now(s->loop) + for_usec;
		break;
	case 5:
		proxy_set_mode(member->front, PROXY_DELAY);
		member->calm_at = loop_now(s->loop) + for_usec;
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
 * Restarts members that have ended, wakes stopped ones and ends the trouble
 * of proxies.
 */
static void
tend(struct soak *s, bool calm)
{
	int64_t now = loop_now(s->loop);

	for (int i = 0; i < NODES; i++) {
		struct member *member = &s->members[i];
		int status;

		if (member->wake_at != 0 && (calm || now >= member->wake_at)) {
			kill(member->fixture.pid, SIGCONT);
			member->wake_at = 0;
		}
		if (calm || (member->calm_at != 0 && now >= member->calm_at)) {
			proxy_set_mode(member->store, PROXY_PASS);
			proxy_set_mode(member->front, PROXY_PASS);
			member->calm_at = 0;
		}
		if (member->fixture.pid > 0 &&
		    waitpid(member->fixture.pid, &status, WNOHANG) ==
			member->fixture.pid) {
			if (WIFSIGNALED(status) &&
			    WTERMSIG(status) != SIGKILL) {
				s->broken++;
				printf("BROKEN a node ended by signal %d\n",
				    WTERMSIG(status));
			} else if (WIFEXITED(status) &&
			    WEXITSTATUS(status) != 0) {
				s->broken++;
				printf("BROKEN a node ended with code %d\n",
				    WEXITSTATUS(status));
			}
			member->fixture.pid = 0;
			member->restart_at = now + RESTART_USEC;
			member->ends++;
		}
		if (member->fixture.pid == 0 && now >= member->restart_at)
			member_start(member);
	}
}

/*
 * Runs the calls and the faults until the end.
 */
static void
run(struct soak *s)
{
	int64_t next_call = loop_now(s->loop);
	int64_t next_fault = next_call + LOOP_USEC_PER_SEC;

	while (loop_now(s->loop) < s->ends_at) {
		int64_t now = loop_now(s->loop);
		bool calm = now >= s->calm_from;

		if (now >= next_call && s->count < CALLS_MAX) {
			s->late += now > s->recover_by;
			send_call(s);
			next_call = now + CALL_EVERY_USEC;
		}
		if (!calm && now >= next_fault) {
			inject(s);
			next_fault = now +
			    g_rand_int_range(
				s->rand, FAULT_LEAST_MSEC, FAULT_MOST_MSEC) *
				LOOP_USEC_PER_MSEC;
		}
		if (calm) {
			fake_platform_set_engine_fault(
			    s->platform, FAKE_NONE, 0);
			fake_platform_set_plain_fault(s->platform, FAKE_NONE);
		}
		tend(s, calm);
		judge_ended(s);
		loop_run_once(s->loop, now + 2 * LOOP_USEC_PER_MSEC);
	}
}

/*
 * Judges what is left and prints the outcome.
 */
static void
finish(struct soak *s)
{
	for (unsigned int i = 0; i < s->count; i++) {
		struct caller *caller = &s->callers[i];

		/* A refusal must stay true, and an order run once, to the end.
		 */
		if (caller->judged && caller->kind == CALL_ORDER &&
		    fake_platform_run_count(s->platform, caller->id) > 1)
			broken(s, caller, "an order ran twice, later");
		if (!caller->call.ended)
			h1_close(caller->call.conn);
		lstr_buf_free(&caller->call.body);
	}
	if (fake_platform_incomplete_path_count(s->platform) > 0) {
		s->broken++;
		printf("BROKEN %u paths were not whole\n",
		    fake_platform_incomplete_path_count(s->platform));
	}
	if (fake_platform_authorization_count(s->platform) > 0) {
		s->broken++;
		printf("BROKEN a back end saw a key\n");
	}
	if (s->late_served * 4 < s->late) {
		s->broken++;
		printf("BROKEN %u of %u requests served after the faults\n",
		    s->late_served, s->late);
	}
	printf("seed %u: %u requests, %u served, %u faults, %u broken\n", seed,
	    s->count, s->served, s->faults, s->broken);
}

/* Guards the promises under a random series of faults. */
START_TEST(promises_hold_under_random_faults)
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
	s.calm_from = s.ends_at - CALM_USEC;
	s.recover_by = s.calm_from + RECOVER_USEC;
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
		if (s.broken == 0)
			unlink(w->log_path);
		else
			printf("log kept: %s\n", w->log_path);
	}
	fake_platform_free(s.platform);
	h1_destroy(s.h1);
	loop_destroy(s.loop);
	g_rand_free(s.rand);
	g_free(s.callers);
	ck_assert_uint_eq(s.broken, 0);
}
END_TEST

/*
 * Takes the seed and the seconds. The check library must not fork: the
 * processes of the run are children of this one.
 */
int
main(int argc, char **argv)
{
	const TTest *const tests[] = {promises_hold_under_random_faults};

	if (argc > 1)
		seed = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seconds = (int)strtol(argv[2], NULL, 10);
	setenv("CK_FORK", "no", 1);
	return harness_run("soak", tests, 1);
}
