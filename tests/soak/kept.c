#include "kept.h"

#define CONNECTIONS_MAX 16
/* Share of the stated time after which some connections are used again. */
#define AGED_SHARE 0.85
/* Of the connections that become idle, one in so many is used again only near
 * the end of its time. */
#define AGED_ONE_IN 3

struct kept_conn {
	struct kept_pool *pool;
	struct h1_conn *conn;
	struct node_call *call;
	/* What the node stated in the last response; 0: nothing. */
	int64_t stated_usec;
	/* Since when it is idle, and from when it is used again; 0: it has not
	 * carried a response. */
	int64_t idle_since;
	int64_t use_at;
};

struct kept_pool {
	struct loop *loop;
	struct h1 *h1;
	GRand *rand;
	unsigned int closed_early;
	struct kept_conn conns[CONNECTIONS_MAX];
};

/*
 * Records the head of a response and the time for which the node keeps the
 * connection.
 */
static void
on_head(struct h1_conn *conn, void *arg)
{
	struct kept_conn *kept = arg;
	struct lstr value;
	int timeout_s = 0;

	if (kept->call != NULL)
		node_call_head(conn, kept->call);
	kept->stated_usec = 0;
	if (h1_find_header(conn, "Keep-Alive", &value)) {
		char text[32];

		snprintf(text, sizeof(text), "%.*s", LSTR_ARG(value));
		if (sscanf(text, "timeout=%d", &timeout_s) == 1)
			kept->stated_usec = timeout_s * LOOP_USEC_PER_SEC;
	}
}

/*
 * Appends a part of a response body.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	struct kept_conn *kept = arg;

	if (kept->call != NULL)
		node_call_body(conn, bytes, kept->call);
}

/*
 * Ends a call and keeps its connection if the node does.
 */
static void
on_complete(struct h1_conn *conn, void *arg)
{
	struct kept_conn *kept = arg;

	if (kept->call != NULL) {
		kept->call->complete = true;
		kept->call->ended = true;
		kept->call = NULL;
	}
	if (!h1_is_reusable(conn)) {
		h1_close(conn);
		kept->conn = NULL;
		return;
	}
	kept->idle_since = loop_now(kept->pool->loop);
	kept->use_at = kept->idle_since;
	if (g_rand_int_range(kept->pool->rand, 0, AGED_ONE_IN) == 0)
		kept->use_at += (int64_t)(AGED_SHARE * kept->stated_usec);
}

/*
 * Ends a call whose connection has closed.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	struct kept_conn *kept = arg;

	(void)conn;
	(void)status;
	if (kept->call != NULL)
		kept->call->ended = true;
	else if (loop_now(kept->pool->loop) <
	    kept->idle_since + kept->stated_usec)
		kept->pool->closed_early++;
	kept->call = NULL;
	kept->conn = NULL;
}

static const struct h1_ops kept_ops = {
    NULL, NULL, on_head, on_body, on_complete, on_ended};

/*
 * Creates a pool without connections.
 */
struct kept_pool *
kept_pool_new(struct loop *loop, struct h1 *h1, GRand *rand)
{
	struct kept_pool *pool = g_new0(struct kept_pool, 1);

	pool->loop = loop;
	pool->h1 = h1;
	pool->rand = rand;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		pool->conns[i].pool = pool;
	return pool;
}

/*
 * Closes all connections of a pool and frees it.
 */
void
kept_pool_free(struct kept_pool *pool)
{
	if (pool == NULL)
		return;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		h1_close(pool->conns[i].conn);
	g_free(pool);
}

/*
 * Returns the connection for the next call: the one that has been due for the
 * longest time, or else a free one without a connection.
 */
static struct kept_conn *
choose(struct kept_pool *pool)
{
	int64_t now = loop_now(pool->loop);
	struct kept_conn *best = NULL;
	struct kept_conn *unused = NULL;

	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct kept_conn *kept = &pool->conns[i];

		if (kept->conn == NULL)
			unused = kept;
		else if (kept->call == NULL && kept->use_at <= now &&
		    (best == NULL || kept->use_at < best->use_at))
			best = kept;
	}
	return best != NULL ? best : unused;
}

/*
 * Sends a serialized request on a connection that is kept, or on a new one.
 */
bool
kept_pool_send(struct kept_pool *pool, struct node_call *call,
    const struct sockaddr_in *address, const char *text, struct kept_use *use)
{
	struct kept_conn *kept = choose(pool);
	int64_t now = loop_now(pool->loop);

	if (kept == NULL)
		return false;
	memset(call, 0, sizeof(*call));
	memset(use, 0, sizeof(*use));
	if (kept->conn == NULL) {
		kept->stated_usec = 0;
		ck_assert_int_eq(
		    h1_connect(pool->h1, address, now + HARNESS_DEADLINE_USEC,
			&kept_ops, kept, &kept->conn),
		    STATUS_OK);
	} else {
		use->reused = true;
		use->idle_usec = now - kept->idle_since;
		use->within_stated = use->idle_usec < kept->stated_usec;
	}
	kept->call = call;
	call->conn = kept->conn;
	h1_expect_response(kept->conn, false);
	h1_write(kept->conn, lstr_from(text));
	return true;
}

/*
 * Closes the connection of a call that has not ended.
 */
void
kept_pool_cancel(struct kept_pool *pool, struct node_call *call)
{
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct kept_conn *kept = &pool->conns[i];

		if (kept->call != call)
			continue;
		h1_close(kept->conn);
		kept->conn = NULL;
		kept->call = NULL;
	}
}

/*
 * Returns how many idle connections were closed before the time that the node
 * had stated, since the last call.
 */
unsigned int
kept_pool_take_closed_early(struct kept_pool *pool)
{
	unsigned int count = pool->closed_early;

	pool->closed_early = 0;
	return count;
}
