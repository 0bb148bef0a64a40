#include "../node_fixture.h"

/*
 * Stops several nodes in turn, again and again, under the load of callers that
 * keep their connections: stops SEED SECONDS. Checks that each request that a
 * node has read is answered completely, and that refusals are true. It signals
 * only processes that it started.
 */

#define NODES 3
#define CALLERS 40
#define EVENTS 12
#define GRACE_USEC (8 * LOOP_USEC_PER_SEC)
/* A request sent this long after SIGTERM may be cut off in the last sixth of
 * the grace period, if its server is still at work. */
#define EXCUSED_USEC (3 * LOOP_USEC_PER_SEC)
#define EXCUSED_SHARE 6
#define RESTART_USEC (300 * LOOP_USEC_PER_MSEC)
/* All nodes have run for this long before they are stopped again. */
#define CALM_USEC (1500 * LOOP_USEC_PER_MSEC)
#define GAP_MAX_MSEC 2500
#define PAUSE_MAX_MSEC 300
#define INTERVAL_MIN_MSEC 5
#define INTERVAL_MAX_MSEC 250

struct member {
	struct node_fixture fixture;
	/* When it is to get SIGTERM; 0: it is not to. */
	int64_t stop_at;
	/* When its process got SIGTERM; 0: it has not. */
	int64_t stopped_at;
	int64_t restart_at;
};

/* A caller that sends one request after the other, on one connection for as
 * long as the node keeps it. */
struct caller {
	struct soak *soak;
	struct member *member;
	struct h1_conn *conn;
	char id[24];
	int64_t next_at;
	int64_t sent_at;
	bool waiting;
	unsigned int status;
};

struct soak {
	struct loop *loop;
	struct h1 *h1;
	struct fake_platform *platform;
	GRand *rand;
	struct member members[NODES];
	struct caller callers[CALLERS];
	unsigned int sent;
	unsigned int served;
	unsigned int refused;
	unsigned int failed;
	unsigned int excused;
	/* Requests that crossed the close of their connection. */
	unsigned int crossed;
	/* Requests to a node that had exited. */
	unsigned int unreachable;
	unsigned int stops;
	unsigned int violations;
};

static uint32_t seed = 1;
static int seconds = 60;

/*
 * Counts and prints a violated guarantee.
 */
static void
report_violation(const struct caller *caller, const char *rule)
{
	int64_t now = loop_now(caller->soak->loop);

	caller->soak->violations++;
	printf("BROKEN %s: %s, status %u, %lld ms after SIGTERM, %lld ms\n",
	    rule, caller->id, caller->status,
	    caller->member->stopped_at == 0
		? -1LL
		: (long long)(caller->sent_at - caller->member->stopped_at) /
		    LOOP_USEC_PER_MSEC,
	    (long long)(now - caller->sent_at) / LOOP_USEC_PER_MSEC);
}

/*
 * Schedules the next request of a caller.
 */
static void
schedule(struct caller *caller)
{
	struct soak *s = caller->soak;

	caller->waiting = false;
	caller->next_at = loop_now(s->loop) +
	    g_rand_int_range(s->rand, 0, PAUSE_MAX_MSEC) * LOOP_USEC_PER_MSEC;
}

static void
on_head(struct h1_conn *conn, void *arg)
{
	((struct caller *)arg)->status = h1_status(conn);
}

static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	(void)conn;
	(void)bytes;
	(void)arg;
}

/*
 * Checks a complete response, and keeps the connection if the node does.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct caller *caller = arg;
	struct soak *s = caller->soak;
	unsigned int runs = fake_platform_run_count(s->platform, caller->id);

	s->served += caller->status == 200;
	s->refused += caller->status == 503;
	s->failed += caller->status != 200 && caller->status != 503;
	if (caller->status == 503 && runs > 0)
		report_violation(caller, "a refusal was not true");
	if (!h1_is_reusable(conn)) {
		h1_close(conn);
		caller->conn = NULL;
	}
	schedule(caller);
}

/*
 * Returns whether a request may be cut off now.
 */
static bool
is_excused(const struct caller *caller, int64_t now)
{
	int64_t stopped_at = caller->member->stopped_at;

	return stopped_at != 0 &&
	    caller->sent_at <= stopped_at + EXCUSED_USEC &&
	    now >= stopped_at + GRACE_USEC - GRACE_USEC / EXCUSED_SHARE;
}

/*
 * Checks a request whose connection has ended.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct caller *caller = arg;
	struct soak *s = caller->soak;

	(void)conn;
	caller->conn = NULL;
	if (!caller->waiting)
		return;
	if (status == STATUS_DENIED)
		s->unreachable++;
	else if (caller->status == 0 &&
	    fake_platform_run_count(s->platform, caller->id) == 0)
		s->crossed++;
	else if (is_excused(caller, loop_now(s->loop)))
		s->excused++;
	else
		report_violation(caller, "a request was cut off");
	schedule(caller);
}

static const struct h1_ops caller_ops = {
    NULL, NULL, on_head, on_body, on_complete, on_ended};

/*
 * Connects a caller to a node, preferably one that is not stopping.
 */
static bool
connect_caller(struct caller *caller)
{
	struct soak *s = caller->soak;
	struct sockaddr_in address;
	int first = g_rand_int_range(s->rand, 0, NODES);

	caller->member = &s->members[first];
	for (int i = 0; i < NODES; i++) {
		struct member *member = &s->members[(first + i) % NODES];

		if (member->fixture.pid != 0 && member->stopped_at == 0) {
			caller->member = member;
			break;
		}
	}
	address = (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(caller->member->fixture.front)};
	inet_pton(AF_INET, caller->member->fixture.ip, &address.sin_addr);
	return h1_connect(s->h1, &address,
		   loop_now(s->loop) + HARNESS_DEADLINE_USEC, &caller_ops,
		   caller, &caller->conn) == STATUS_OK;
}

/*
 * Sends the next request of a caller.
 */
static void
send_request(struct caller *caller)
{
	static const char stream[] = "Model: m\r\nToken-Usage: 40,80\r\n"
				     "Prefix-Hash: ab:40\r\n"
				     "Content-Length: 2\r\n\r\nhi";
	static const struct {
		const char *method;
		const char *path;
		const char *more;
		int timeout_ms;
	} kinds[] = {{"POST", "/write/draft", stream, 20000},
	    {"POST", "/once/draft", stream, 20000},
	    {"GET", "/look/1", "", 2000},
	    {"POST", "/order/1", "Content-Length: 0\r\n", 2000}};
	struct soak *s = caller->soak;
	int kind = g_rand_int_range(s->rand, 0, G_N_ELEMENTS(kinds));

	if (caller->conn == NULL && !connect_caller(caller)) {
		schedule(caller);
		return;
	}
	snprintf(caller->id, sizeof(caller->id), "r%u", s->sent++);
	caller->sent_at = loop_now(s->loop);
	caller->status = 0;
	caller->waiting = true;
	h1_expect_response(caller->conn, false);
	h1_write(caller->conn,
	    lstr_from(
		node_request(kinds[kind].method, kinds[kind].path, caller->id,
		    NODE_KEY, kinds[kind].timeout_ms, kinds[kind].more)));
}

/*
 * Writes the settings of a member and starts it.
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
	node_assign_addresses(w);
	snprintf(w->settings_path, sizeof(w->settings_path),
	    "%s/tests/stops-%ld-%d.json", build, (long)getpid(), index);
	snprintf(w->log_path, sizeof(w->log_path), "%s/tests/stops-%ld-%d.log",
	    build, (long)getpid(), index);
	file = fopen(w->settings_path, "w");
	ck_assert_ptr_nonnull(file);
	fprintf(file,
	    "{\"node\":\"n%d\",\"place\":\"here\",\"region\":\"r\","
	    "\"ip\":\"%s\",\"front\":\"%s:%u\",\"ready\":\"%s:%u\","
	    "\"lookup\":\"%s:%u\",\"store\":\"127.0.0.1:%u\","
	    "\"mesh_port\":%u,\"revoke_ms\":%d,\"grace_s\":8,"
	    "\"retry_slack\":200,\"retry_ratio\":0.2}",
	    index, w->ip, w->ip, w->front, w->ip, w->ready, w->ip, w->lookup,
	    fake_platform_port(s->platform), w->gossip, NODE_REVOKE_MS);
	fclose(file);
	node_spawn(w);
}

/*
 * Draws the times at which the nodes are stopped next: two or all of them, at
 * the same moment or one after the other.
 */
static void
plan_stops(struct soak *s)
{
	int64_t at = loop_now(s->loop) + CALM_USEC;
	int first = g_rand_int_range(s->rand, 0, NODES);
	int count = g_rand_int_range(s->rand, NODES - 1, NODES + 1);
	int gap_max = g_rand_boolean(s->rand) ? GAP_MAX_MSEC : 100;

	fake_platform_set_event_interval(s->platform,
	    g_rand_int_range(s->rand, INTERVAL_MIN_MSEC, INTERVAL_MAX_MSEC) *
		LOOP_USEC_PER_MSEC);
	for (int i = 0; i < count; i++) {
		s->members[(first + i) % NODES].stop_at = at;
		at +=
		    g_rand_int_range(s->rand, 0, gap_max) * LOOP_USEC_PER_MSEC;
	}
}

/*
 * Stops, kills and starts a member when it is due. A stopping one gets further
 * signals now and then.
 */
static void
maintain_member(struct soak *s, struct member *member, int64_t now)
{
	struct node_fixture *w = &member->fixture;
	int status;

	if (w->pid == 0) {
		if (now >= member->restart_at) {
			member->stopped_at = 0;
			node_spawn(w);
		}
		return;
	}
	if (waitpid(w->pid, &status, WNOHANG) == w->pid) {
		if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
			s->violations++;
			printf("BROKEN a node ended with status %d\n", status);
		}
		w->pid = 0;
		member->restart_at = now + RESTART_USEC;
		return;
	}
	if (member->stop_at != 0 && now >= member->stop_at) {
		kill(w->pid, SIGTERM);
		member->stop_at = 0;
		member->stopped_at = now;
		s->stops++;
	} else if (member->stopped_at != 0 &&
	    now >= member->stopped_at + GRACE_USEC) {
		kill(w->pid, SIGKILL);
	} else if (member->stopped_at != 0 &&
	    g_rand_int_range(s->rand, 0, 500) == 0) {
		kill(w->pid, g_rand_boolean(s->rand) ? SIGTERM : SIGHUP);
	}
}

/*
 * Returns whether no member is stopping, stopped or about to be.
 */
static bool
is_calm(const struct soak *s)
{
	for (int i = 0; i < NODES; i++) {
		if (s->members[i].fixture.pid == 0 ||
		    s->members[i].stopped_at != 0 || s->members[i].stop_at != 0)
			return false;
	}
	return true;
}

/*
 * Sends requests and stops nodes until the end of the run.
 */
static void
run(struct soak *s)
{
	int64_t ends_at = loop_now(s->loop) + seconds * LOOP_USEC_PER_SEC;

	while (loop_now(s->loop) < ends_at) {
		int64_t now = loop_now(s->loop);

		for (int i = 0; i < NODES; i++)
			maintain_member(s, &s->members[i], now);
		if (is_calm(s))
			plan_stops(s);
		for (int i = 0; i < CALLERS; i++) {
			if (!s->callers[i].waiting &&
			    now >= s->callers[i].next_at)
				send_request(&s->callers[i]);
		}
		loop_run_once(s->loop, now + 2 * LOOP_USEC_PER_MSEC);
	}
}

/*
 * Ends the processes and frees everything.
 */
static void
finish(struct soak *s)
{
	for (int i = 0; i < CALLERS; i++)
		h1_close(s->callers[i].conn);
	for (int i = 0; i < NODES; i++) {
		struct node_fixture *w = &s->members[i].fixture;

		if (w->pid > 0) {
			kill(w->pid, SIGKILL);
			waitpid(w->pid, NULL, 0);
		}
		unlink(w->settings_path);
		if (s->violations == 0)
			unlink(w->log_path);
		else
			printf("log kept: %s\n", w->log_path);
	}
	fake_platform_free(s->platform);
	h1_destroy(s->h1);
	loop_destroy(s->loop);
	g_rand_free(s->rand);
}

/* Guards against requests that are cut off in planned stops of the last
 * nodes. */
START_TEST(requests_are_answered_while_nodes_stop)
{
	static struct soak s;

	ck_assert_int_eq(loop_create(&s.loop), STATUS_OK);
	ck_assert_int_eq(h1_create(s.loop, &s.h1), STATUS_OK);
	signal(SIGPIPE, SIG_IGN);
	s.rand = g_rand_new_with_seed(seed);
	s.platform = fake_platform_new(s.loop, s.h1);
	fake_platform_configure(s.platform, 1, NODE_KEY);
	for (int i = 0; i < NODES; i++)
		member_init(&s, i);
	for (int i = 0; i < CALLERS; i++) {
		s.callers[i].soak = &s;
		schedule(&s.callers[i]);
	}
	run(&s);
	finish(&s);
	printf("seed %u: %u stops, %u requests, %u served, %u refused, "
	       "%u failed, %u crossed a close, %u to no process, %u excused, "
	       "%u broken\n",
	    seed, s.stops, s.sent, s.served, s.refused, s.failed, s.crossed,
	    s.unreachable, s.excused, s.violations);
	ck_assert_uint_eq(s.violations, 0);
	ck_assert_uint_gt(s.served, s.sent / 4);
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
	const TTest *const tests[] = {requests_are_answered_while_nodes_stop};

	if (argc > 1)
		seed = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seconds = (int)strtol(argv[2], NULL, 10);
	setenv("CK_FORK", "no", 1);
	return harness_run("stops", tests, 1);
}
