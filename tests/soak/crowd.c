#include "crowd.h"

#define CLIENTS_MAX 64
#define PRESS_CLIENTS 16
#define STAY_MIN_MSEC 50
#define STAY_MAX_MSEC 6000

enum crowd_kind {
	CROWD_SHORT_BODY,
	CROWD_SILENT,
	CROWD_EARLY_LEAVER
};

struct client {
	struct h1_conn *conn;
	int64_t leaves_at;
};

struct crowd {
	struct loop *loop;
	struct h1 *h1;
	GRand *rand;
	struct client clients[CLIENTS_MAX];
	unsigned int count;
};

/*
 * Ignores the head or the end of a response.
 */
static void
on_message(struct h1_conn *conn, void *arg)
{
	(void)conn;
	(void)arg;
}

/*
 * Ignores the body of a response.
 */
static void
on_body(struct h1_conn *conn, struct lstr bytes, void *arg)
{
	(void)conn;
	(void)bytes;
	(void)arg;
}

/*
 * Forgets a connection that the node has closed.
 */
static void
on_ended(struct h1_conn *conn, enum status status, void *arg)
{
	(void)conn;
	(void)status;
	((struct client *)arg)->conn = NULL;
}

static const struct h1_ops client_ops = {
    NULL, NULL, on_message, on_body, on_message, on_ended};

/*
 * Creates a crowd without clients.
 */
struct crowd *
crowd_new(struct loop *loop, struct h1 *h1, GRand *rand)
{
	struct crowd *crowd = g_new0(struct crowd, 1);

	crowd->loop = loop;
	crowd->h1 = h1;
	crowd->rand = rand;
	return crowd;
}

/*
 * Closes all connections of a crowd and frees it.
 */
void
crowd_free(struct crowd *crowd)
{
	if (crowd == NULL)
		return;
	for (int i = 0; i < CLIENTS_MAX; i++)
		h1_close(crowd->clients[i].conn);
	g_free(crowd);
}

/*
 * Returns the number of clients so far.
 */
unsigned int
crowd_count(const struct crowd *crowd)
{
	return crowd->count;
}

/*
 * Connects a client, which sends what its kind sends.
 */
static void
connect_client(struct crowd *crowd, struct client *client,
    const struct sockaddr_in *address, const char *key)
{
	int64_t now = loop_now(crowd->loop);
	char id[32];

	client->leaves_at = now +
	    g_rand_int_range(crowd->rand, STAY_MIN_MSEC, STAY_MAX_MSEC) *
		LOOP_USEC_PER_MSEC;
	if (h1_connect(crowd->h1, address, now + HARNESS_DEADLINE_USEC,
		&client_ops, client, &client->conn) != STATUS_OK)
		return;
	snprintf(id, sizeof(id), "x%u", crowd->count++);
	h1_expect_response(client->conn, false);
	switch (g_rand_int_range(crowd->rand, 0, 3)) {
	case CROWD_SHORT_BODY:
		h1_write(client->conn,
		    lstr_from(node_request("POST", "/order/1", id, key, 5000,
			"Content-Length: 900\r\n\r\nx")));
		break;
	case CROWD_SILENT:
		break;
	default:
		h1_write(client->conn,
		    lstr_from(
			node_request("POST", "/write/draft", id, key, 20000,
			    "Model: m\r\nToken-Usage: 40,80\r\n"
			    "Content-Length: 2\r\n\r\nhi")));
	}
}

/*
 * Connects clients while there is room for them.
 */
void
crowd_press(
    struct crowd *crowd, const struct sockaddr_in *address, const char *key)
{
	int left = PRESS_CLIENTS;

	for (int i = 0; i < CLIENTS_MAX && left > 0; i++) {
		if (crowd->clients[i].conn != NULL)
			continue;
		connect_client(crowd, &crowd->clients[i], address, key);
		left--;
	}
}

/*
 * Closes the connections of clients that leave.
 */
void
crowd_maintain(struct crowd *crowd)
{
	int64_t now = loop_now(crowd->loop);

	for (int i = 0; i < CLIENTS_MAX; i++) {
		struct client *client = &crowd->clients[i];

		if (client->conn == NULL || now < client->leaves_at)
			continue;
		h1_close(client->conn);
		client->conn = NULL;
	}
}
