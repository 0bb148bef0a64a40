#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

/*
 * A client that is not under control sends requests without a key, one machine
 * after the other. Without the disruption it sends the same requests with a key
 * that no configuration holds. Sound clients send orders, lookups and streams
 * all the while. A process that ends is started again after a second.
 */

#define MACHINES 8
#define REPLICAS 3
#define RUN_MS 40000
#define PAUSE_MS 500
#define RESTART_MS 1000
/* Rule Fault: on a tenth of the machines in use, two at least, processes end by
 * themselves three times. */
#define ENDS_MAX 3
#define MACHINES_MAX 2

static struct rig_node machines[MACHINES];
static struct rig_replica desk[REPLICAS];
static struct rig_replica models[REPLICAS];
static volatile bool done;
static int served;
static int lost;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A sound client of one machine, which keeps its channel. */
static void *
run_client(void *arg)
{
	const struct rig_node *machine = arg;
	struct rig_message *answer = calloc(1, sizeof(*answer));
	struct rig_conn *conn = NULL;
	static const char *const targets[] = {
	    "/status/7", "/place/7", "/draft/7"};

	for (unsigned int i = 0; !done; i++) {
		const char *target = targets[i % 3];
		bool stream = i % 3 == 2;
		char id[17];
		enum rig_read result;

		if (conn == NULL)
			conn = rig_connect(machine->ip, machine->front);
		if (conn == NULL) {
			rig_sleep_ms(100);
			continue;
		}
		rig_new_id(id);
		rig_send_request(conn, i % 3 == 0 ? "GET" : "POST", target, id,
		    RIG_KEY, stream ? 20000 : 1500,
		    stream ? "Model: m0\r\nToken-Usage: 700,160\r\n" : NULL);
		result = rig_read_response(
		    conn, answer, false, stream ? 20000 : 1500);
		rig_record("sound client: %s %s at %s: %s, status %d", id,
		    target, machine->name, rig_read_name(result),
		    result == RIG_OK ? answer->status : 0);
		pthread_mutex_lock(&lock);
		served += result == RIG_OK && answer->status == 200;
		lost += result == RIG_CLOSED || result == RIG_CUT;
		pthread_mutex_unlock(&lock);
		if (result != RIG_OK) {
			rig_close(conn);
			conn = NULL;
		}
		rig_message_clear(answer);
		rig_sleep_ms(100);
	}
	rig_close(conn);
	free(answer);
	return NULL;
}

/* Sends one request of the client that is not under control. */
static void
send_stray(const struct rig_node *machine)
{
	struct rig_message *answer = calloc(1, sizeof(*answer));
	struct rig_conn *conn = rig_connect(machine->ip, machine->front);
	const char *key = rig_trouble() ? NULL : "k9zzzzzzzzzzzzzzzzzz";
	char id[17];
	enum rig_read result;

	if (conn == NULL) {
		free(answer);
		return;
	}
	rig_new_id(id);
	rig_send_request(conn, "GET", "/status/7", id, key, 1500, NULL);
	result = rig_read_response(conn, answer, false, 1500);
	rig_record("client %s: %s at %s: %s, status %d",
	    key != NULL ? "with an unknown key" : "without a key", id,
	    machine->name, rig_read_name(result),
	    result == RIG_OK ? answer->status : 0);
	rig_message_clear(answer);
	rig_close(conn);
	free(answer);
}

int
main(int argc, char **argv)
{
	pthread_t clients[MACHINES];
	int64_t restart_at[MACHINES] = {0};
	int64_t begin;
	int64_t next;
	int broken = 0;
	unsigned int turn = 0;

	if (argc != 2)
		return 2;
	rig_init(argv[1]);
	rig_store_start("127.0.0.1");
	rig_configure(1);
	for (int i = 0; i < REPLICAS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-desk-%d", i);
		rig_replica_start(&desk[i], "127.0.0.1", id, "desk", false);
		snprintf(id, sizeof(id), "i-model-%d", i);
		rig_replica_start(&models[i], "127.0.0.1", id, "model", true);
	}
	for (int i = 0; i < MACHINES; i++) {
		rig_node_init(&machines[i], i + 1, 260);
		rig_node_start(&machines[i]);
	}
	for (int i = 0; i < MACHINES; i++) {
		if (!rig_node_wait_ready(&machines[i], 10000))
			rig_fail("%s is not ready", machines[i].name);
	}
	for (int i = 0; i < MACHINES; i++)
		pthread_create(&clients[i], NULL, run_client, &machines[i]);
	rig_sleep_ms(2000);
	begin = next = rig_now_ms();
	while (rig_now_ms() < begin + RUN_MS) {
		for (int i = 0; i < MACHINES; i++) {
			if (machines[i].pid > 0 &&
			    !rig_node_check(&machines[i]))
				restart_at[i] = rig_now_ms() + RESTART_MS;
			if (machines[i].pid == 0 &&
			    rig_now_ms() >= restart_at[i])
				rig_node_start(&machines[i]);
		}
		if (rig_now_ms() >= next) {
			next += PAUSE_MS;
			send_stray(&machines[turn++ % MACHINES]);
		}
		rig_sleep_ms(20);
	}
	done = true;
	for (int i = 0; i < MACHINES; i++)
		pthread_join(clients[i], NULL);
	for (int i = 0; i < MACHINES; i++) {
		rig_node_check(&machines[i]);
		rig_record("%s: its process ended %d times by itself",
		    machines[i].name, machines[i].own_ends);
		broken += machines[i].own_ends >= ENDS_MAX;
	}
	rig_record("sound requests: %d answered with success, %d whose channel "
		   "ended without a complete answer",
	    served, lost);
	if (!rig_trouble() && served == 0)
		rig_fail("nothing was served");
	rig_record("machines whose processes ended %d times or more: %d; the "
		   "rule allows fewer than %d: %s",
	    ENDS_MAX, broken, MACHINES_MAX,
	    broken >= MACHINES_MAX ? "broken" : "held");
	rig_nodes_end();
	return broken >= MACHINES_MAX ? 1 : 0;
}
