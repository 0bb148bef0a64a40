#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

/*
 * Sound clients ask for the status of orders with GET and HEAD over channels
 * that they keep. The store falls silent for a time, so that keys cannot be
 * proved current and requests are refused with 503.
 */

#define MACHINES 3
#define REPLICAS 3
#define CLIENTS 4
#define RUN_MS 20000
#define SILENT_FROM_MS 3000
#define SILENT_MS 6500
#define PAUSE_MS 100

static struct rig_node machines[MACHINES];
static struct rig_replica desk[REPLICAS];
static volatile bool done;
static int answered[2];
static int refused[2];
static int garbage;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A sound client of one machine. */
static void *
run_client(void *arg)
{
	const struct rig_node *machine = arg;
	struct rig_message *answer = calloc(1, sizeof(*answer));
	struct rig_conn *conn = NULL;

	for (unsigned int i = 0; !done; i++) {
		bool head = i % 2 == 0;
		char id[17];
		enum rig_read result;

		if (conn == NULL)
			conn = rig_connect(machine->ip, machine->front);
		if (conn == NULL) {
			rig_sleep_ms(PAUSE_MS);
			continue;
		}
		rig_new_id(id);
		rig_send_request(conn, head ? "HEAD" : "GET", "/status/7", id,
		    RIG_KEY, 1500, NULL);
		result = rig_read_response(conn, answer, head, 1500);
		if (result == RIG_GARBAGE)
			rig_record("client: %s %s at %s: %s: %.40s",
			    head ? "HEAD" : "GET", id, machine->name,
			    rig_read_name(result), conn->data);
		else
			rig_record("client: %s %s at %s: %s, status %d",
			    head ? "HEAD" : "GET", id, machine->name,
			    rig_read_name(result),
			    result == RIG_OK ? answer->status : 0);
		pthread_mutex_lock(&lock);
		answered[head] += result == RIG_OK && answer->status == 200;
		refused[head] += result == RIG_OK && answer->status == 503;
		garbage += result == RIG_GARBAGE;
		pthread_mutex_unlock(&lock);
		if (result != RIG_OK ||
		    (rig_header(answer, "Connection") != NULL &&
			strcmp(rig_header(answer, "Connection"), "close") ==
			    0)) {
			rig_close(conn);
			conn = NULL;
		}
		rig_message_clear(answer);
		rig_sleep_ms(PAUSE_MS);
	}
	rig_close(conn);
	free(answer);
	return NULL;
}

int
main(int argc, char **argv)
{
	pthread_t clients[MACHINES * CLIENTS];

	if (argc != 2)
		return 2;
	rig_init(argv[1]);
	rig_store_start("127.0.0.1");
	rig_configure(1);
	for (int i = 0; i < REPLICAS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-desk-%d", i);
		rig_replica_start(&desk[i], "127.0.0.1", id, "desk", false);
	}
	for (int i = 0; i < MACHINES; i++) {
		rig_node_init(&machines[i], i + 1, 260);
		rig_node_start(&machines[i]);
	}
	for (int i = 0; i < MACHINES; i++) {
		if (!rig_node_wait_ready(&machines[i], 10000))
			rig_fail("%s is not ready", machines[i].name);
	}
	for (int i = 0; i < MACHINES * CLIENTS; i++)
		pthread_create(
		    &clients[i], NULL, run_client, &machines[i % MACHINES]);
	rig_sleep_ms(SILENT_FROM_MS);
	if (rig_trouble()) {
		rig_record("the store falls silent");
		rig_store_set_trouble(RIG_STORE_SILENT);
	}
	rig_sleep_ms(SILENT_MS);
	rig_store_set_trouble(RIG_STORE_SOUND);
	if (rig_trouble())
		rig_record("the store answers again");
	rig_sleep_ms(RUN_MS - SILENT_FROM_MS - SILENT_MS);
	done = true;
	for (int i = 0; i < MACHINES * CLIENTS; i++)
		pthread_join(clients[i], NULL);
	for (int i = 0; i < MACHINES; i++) {
		if (!rig_node_check(&machines[i]))
			rig_fail("a process has ended");
	}
	rig_record("GET: %d answered with 200, %d refused with 503", answered[0],
	    refused[0]);
	rig_record("HEAD: %d answered with 200, %d refused with 503",
	    answered[1], refused[1]);
	rig_record("bytes that are no answer in the protocol: %d times, none is "
		   "allowed: %s",
	    garbage, garbage > 0 ? "broken" : "held");
	if (answered[0] == 0 || answered[1] == 0)
		rig_fail("nothing was served");
	rig_nodes_end();
	return garbage > 0 ? 1 : 0;
}
