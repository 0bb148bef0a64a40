#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "rig.h"

/*
 * Another program registers itself beside each replica, under servers/ with an
 * identifier of its own, the address of the replica that it belongs to, and a
 * service that no configuration has. Later all processes of the system are
 * killed and come back.
 */

#define MACHINES 3
#define DESKS 3
#define MODELS 5
#define FOREIGN_AT_MS 8000
#define FAULT_AT_MS 10000
#define DOWN_MS 1200
#define RECOVERY_MS 12000
#define RUN_MS 40000
#define REQUESTS_MAX 20000

struct request {
	int64_t sent_at;
	bool served;
};

static struct rig_node machines[MACHINES];
static struct rig_replica desk[DESKS];
static struct rig_replica models[MODELS];
static struct request requests[REQUESTS_MAX];
static int request_count;
static volatile bool done;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A sound client of one machine. */
static void *
run_client(void *arg)
{
	const struct rig_node *machine = arg;
	struct rig_message *answer = calloc(1, sizeof(*answer));
	static const char *const targets[] = {
	    "/status/7", "/place/7", "/draft/7"};

	for (unsigned int i = 0; !done; i++) {
		bool stream = i % 3 == 2;
		int64_t sent_at = rig_now_ms();
		struct rig_conn *conn =
		    rig_connect(machine->ip, machine->front);
		enum rig_read result = RIG_CLOSED;
		char id[17];

		rig_new_id(id);
		if (conn != NULL) {
			rig_send_request(conn, i % 3 == 0 ? "GET" : "POST",
			    targets[i % 3], id, RIG_KEY, stream ? 20000 : 1500,
			    stream ? "Model: m0\r\nToken-Usage: 700,160\r\n"
				   : NULL);
			result = rig_read_response(
			    conn, answer, false, stream ? 20000 : 1500);
		}
		rig_record("client: %s %s at %s: %s, status %d", id,
		    targets[i % 3], machine->name, rig_read_name(result),
		    result == RIG_OK ? answer->status : 0);
		pthread_mutex_lock(&lock);
		if (request_count < REQUESTS_MAX)
			requests[request_count++] = (struct request){sent_at,
			    result == RIG_OK && answer->status == 200};
		pthread_mutex_unlock(&lock);
		rig_message_clear(answer);
		rig_close(conn);
		rig_sleep_ms(100);
	}
	free(answer);
	return NULL;
}

/* Writes the entry of the program beside a replica, which started later. */
static void
put_foreign(const struct rig_replica *replica)
{
	char key[64];
	char entry[256];

	snprintf(key, sizeof(key), "servers/agent-%s", replica->id);
	snprintf(entry, sizeof(entry),
	    "{\"service\":\"host-agent\",\"address\":\"%s\",\"zone\":\"pnw-a\","
	    "\"version\":\"1\",\"slots\":1,\"state\":\"ready\","
	    "\"coldRemainingMs\":0,\"sequence\":1,\"born\":%lld}",
	    replica->address, (long long)replica->born + 5000);
	rig_store_put(key, entry);
	rig_record("another writer: %s %s", key, entry);
}

/* Returns the share of the requests sent in a span that were served. */
static double
served_share(int64_t from, int64_t until, const char *name)
{
	int sent = 0;
	int served = 0;

	for (int i = 0; i < request_count; i++) {
		if (requests[i].sent_at < from || requests[i].sent_at >= until)
			continue;
		sent++;
		served += requests[i].served;
	}
	rig_record("%s: %d sent, %d served", name, sent, served);
	if (sent == 0)
		rig_fail("no request was sent");
	return (double)served / sent;
}

int
main(int argc, char **argv)
{
	pthread_t clients[MACHINES];
	int64_t begin;
	double before;
	double after;
	bool broken;

	if (argc != 2)
		return 2;
	rig_init(argv[1]);
	rig_store_start("127.0.0.1");
	rig_configure(1);
	for (int i = 0; i < DESKS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-desk-%d", i);
		rig_replica_start(&desk[i], "127.0.0.1", id, "desk", false);
	}
	for (int i = 0; i < MODELS; i++) {
		char id[16];

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
	begin = rig_now_ms();
	for (int i = 0; i < MACHINES; i++)
		pthread_create(&clients[i], NULL, run_client, &machines[i]);
	rig_sleep_ms(FOREIGN_AT_MS);
	for (int i = 0; i < DESKS && rig_trouble(); i++)
		put_foreign(&desk[i]);
	for (int i = 0; i < MODELS && rig_trouble(); i++)
		put_foreign(&models[i]);
	rig_sleep_ms(FAULT_AT_MS - FOREIGN_AT_MS);
	rig_record("final fault: all processes are killed");
	for (int i = 0; i < MACHINES; i++) {
		if (!rig_node_check(&machines[i]))
			rig_fail("a process has ended");
		kill(machines[i].pid, SIGKILL);
		waitpid(machines[i].pid, NULL, 0);
		machines[i].pid = 0;
	}
	rig_sleep_ms(DOWN_MS);
	for (int i = 0; i < MACHINES; i++)
		rig_node_start(&machines[i]);
	rig_record("the machines are back");
	rig_sleep_ms(RUN_MS - FAULT_AT_MS - DOWN_MS);
	done = true;
	for (int i = 0; i < MACHINES; i++)
		pthread_join(clients[i], NULL);
	before = served_share(begin, begin + FOREIGN_AT_MS, "before");
	after = served_share(begin + FAULT_AT_MS + DOWN_MS + RECOVERY_MS,
	    begin + RUN_MS, "later than recoveryS after the machines are back");
	broken = before >= 0.25 && after < 0.25;
	rig_record("%s", broken ? "broken" : "held");
	if (before < 0.25)
		rig_fail("too little was served before the fault");
	rig_nodes_end();
	return broken ? 1 : 0;
}
