#ifndef CH_TEST_CLUSTER_H
#define CH_TEST_CLUSTER_H

#include <jansson.h>

#include "child.h"
#include "fetch.h"
#include "peer.h"

#define CLUSTER_NODES_MAX 4
#define CLUSTER_KEY                                                            \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define CLUSTER_CALL_USEC (30 * LOOP_USEC_PER_SEC)

/*
 * A fake key-value service and instance list, the syncds of some nodes and
 * an HTTP client.
 */
struct cluster {
	struct loop *loop;
	struct fetch *fetch;
	struct child kv;
	char kv_address[64];
	struct child list;
	char list_address[64];
	struct child syncds[CLUSTER_NODES_MAX];
	char frames[CLUSTER_NODES_MAX][64];
	char operators[CLUSTER_NODES_MAX][64];
	int count;
	/* Last HTTP response. */
	bool done;
	long http_status;
	json_t *response;
};

static inline void
cluster_on_done(
    struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct cluster *c = arg;

	(void)call;
	c->done = true;
	c->http_status = result->status == STATUS_OK ? result->http_status : 0;
	json_decref(c->response);
	c->response = json_loadb(result->body.data, result->body.len, 0, NULL);
}

static inline bool
cluster_is_done(void *arg)
{
	return ((struct cluster *)arg)->done;
}

/*
 * Makes an HTTP call and returns its status; 0 if there was no response. Takes
 * over the reference to the body, which may be NULL.
 */
static inline long
cluster_call(struct cluster *c, const char *method, const char *address,
    const char *path, json_t *body)
{
	static const struct fetch_ops ops = {NULL, cluster_on_done};
	char url[256];
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct fetch_request request = {.method = method,
	    .url = url,
	    .body = lstr_from(text),
	    .deadline = loop_now(c->loop) + CLUSTER_CALL_USEC};

	snprintf(url, sizeof(url), "http://%s%s", address, path);
	c->done = false;
	ck_assert_int_eq(
	    fetch_start(c->fetch, &request, &ops, c, NULL), STATUS_OK);
	ck_assert(harness_wait(c->loop, cluster_is_done, c));
	free(text);
	json_decref(body);
	return c->http_status;
}

/* Starts the syncd of node "n<i>" in a data centre. Its seed is node 0. */
static inline void
cluster_start_syncd(struct cluster *c, int i, const char *place)
{
	char node[32];
	char place_option[64];
	char kv[96];
	char seeds[96];
	char list[96];
	char key[96];
	const char *const args[] = {node, place_option, "--region=r", key, kv,
	    seeds, "--lease-ms=3000", "--heartbeat-ms=200", "--claim-buckets=4",
	    "--claim-interval-ms=20", "--claim-slots=64", "--log-level=4",
	    c->list_address[0] != '\0' ? list : NULL, NULL};

	snprintf(node, sizeof(node), "--node=n%d", i);
	snprintf(place_option, sizeof(place_option), "--place=%s", place);
	snprintf(kv, sizeof(kv), "--kv-address=%s", c->kv_address);
	snprintf(key, sizeof(key), "--cluster-key=%s", CLUSTER_KEY);
	snprintf(list, sizeof(list), "--list-address=%s", c->list_address);
	snprintf(
	    seeds, sizeof(seeds), "--seed-peers=%s", i > 0 ? c->frames[0] : "");
	child_start(&c->syncds[i], c->loop, "chestnuthoist-syncd", args);
	child_address(
	    &c->syncds[i], "frames=", c->frames[i], sizeof(c->frames[i]));
	child_address(&c->syncds[i], "operator=", c->operators[i],
	    sizeof(c->operators[i]));
}

/*
 * Starts the services and a number of nodes: the last node in data centre b,
 * the others in data centre a.
 */
static inline void
cluster_start(struct cluster *c, int count)
{
	static const char *const args[] = {NULL};

	memset(c, 0, sizeof(*c));
	ck_assert_int_eq(loop_create(&c->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(c->loop, &c->fetch), STATUS_OK);
	child_start(&c->kv, c->loop, "fakes/fake_kv", args);
	child_address(&c->kv, "http=", c->kv_address, sizeof(c->kv_address));
	child_start(&c->list, c->loop, "fakes/fake_list", args);
	child_address(
	    &c->list, "http=", c->list_address, sizeof(c->list_address));
	c->count = count;
	for (int i = 0; i < count; i++)
		cluster_start_syncd(c, i, i + 1 < count ? "a" : "b");
}

static inline void
cluster_stop(struct cluster *c)
{
	for (int i = 0; i < c->count; i++)
		child_kill(&c->syncds[i]);
	child_kill(&c->kv);
	child_kill(&c->list);
	json_decref(c->response);
	/* Closed links are freed in the next loop iteration. */
	loop_run_once(c->loop, loop_now(c->loop));
	fetch_destroy(c->fetch);
	loop_destroy(c->loop);
}

/*
 * Sets the fault mode of the key-value service.
 */
static inline void
cluster_fault(struct cluster *c, const char *mode)
{
	ck_assert_int_eq(cluster_call(c, "POST", c->kv_address, "/v1/fault",
			     json_pack("{s:s}", "mode", mode)),
	    200);
}

/*
 * Returns how many members a node reports in a state, or -1 if the request
 * fails.
 */
static inline int
cluster_members(struct cluster *c, int node, const char *state)
{
	size_t index;
	json_t *row;
	int count = 0;

	if (cluster_call(c, "GET", c->operators[node], "/v1/status", NULL) !=
	    200)
		return -1;
	json_array_foreach(json_object_get(c->response, "members"), index, row)
	{
		const char *shown =
		    json_string_value(json_object_get(row, "state"));

		count += strcmp(shown, state) == 0;
	}
	return count;
}

/* Waits until each running node reports the given number of live members. */
static inline void
cluster_wait_members(struct cluster *c, int live)
{
	int64_t deadline = loop_now(c->loop) + HARNESS_DEADLINE_USEC;

	for (int i = 0; i < c->count; i++) {
		while (c->syncds[i].pid > 0 &&
		    cluster_members(c, i, "live") != live)
			ck_assert_int_lt(loop_now(c->loop), deadline);
	}
}

#endif
