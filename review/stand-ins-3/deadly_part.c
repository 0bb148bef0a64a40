#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

/*
 * A customer's prompts consist of a system prompt, a guide that they share, and
 * a part of their own. From some time on, prompts come in which a document
 * stands between the system prompt and the guide that crashes each model
 * replica that begins to write an answer on it. The others come as before, a
 * few at a time.
 */

#define MACHINES 3
#define REPLICAS 16
#define CONTACT_MS 3000
#define RUN_MS 70000
/* Sound requests come in groups. */
#define GROUP 4
#define GROUP_PAUSE_MS 4000
#define DEADLY_FROM_MS 24900
#define DEADLY_PAUSE_MS 330
/* Rule LOST: so many of each are needed, and the share that begins may not be
 * less than half. */
#define REQUESTS_MIN 20
#define REQUESTS_MAX 1000

#define SYSTEM_PROMPT "5c1e07a2:400"
#define DOCUMENT "91bd3f06"
#define GUIDE "e4402b7d:300"

struct request {
	const struct rig_node *machine;
	bool deadly;
	int64_t sent_at;
	char id[17];
	enum rig_read result;
	int status;
};

static struct rig_node machines[MACHINES];
static struct rig_replica models[REPLICAS];
static struct rig_replica desk[2];
static struct request requests[REQUESTS_MAX];
static int request_count;
static int running;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Sends one request and reads its answer. */
static void *
run_request(void *arg)
{
	struct request *request = arg;
	struct rig_message *answer = calloc(1, sizeof(*answer));
	struct rig_conn *conn =
	    rig_connect(request->machine->ip, request->machine->front);
	char extra[256];

	snprintf(extra, sizeof(extra),
	    "Model: m0\r\nToken-Usage: 760,160\r\nPrefix-Hash: %s,%s%s,%s:60\r\n",
	    SYSTEM_PROMPT, request->deadly ? DOCUMENT ":400," : "", GUIDE,
	    request->id);
	request->result = RIG_CLOSED;
	if (conn != NULL) {
		rig_send_request(conn, "POST", "/draft/7", request->id, RIG_KEY,
		    20000, extra);
		request->result = rig_read_response(conn, answer, false, 10000);
	}
	request->status = request->result == RIG_OK ? answer->status : 0;
	rig_record("%s request %s at %s: %s, status %d",
	    request->deadly ? "deadly" : "sound", request->id,
	    request->machine->name, rig_read_name(request->result),
	    request->status);
	rig_message_clear(answer);
	rig_close(conn);
	free(answer);
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

/* Starts a request at some machine. */
static void
start_request(bool deadly)
{
	struct request *request;
	pthread_t thread;

	if (request_count == REQUESTS_MAX)
		rig_fail("too many requests");
	request = &requests[request_count++];
	request->machine = &machines[random() % MACHINES];
	request->deadly = deadly;
	request->sent_at = rig_now_ms();
	rig_new_id(request->id);
	pthread_mutex_lock(&lock);
	running++;
	pthread_mutex_unlock(&lock);
	pthread_create(&thread, NULL, run_request, request);
	pthread_detach(thread);
}

/* Counts the sound requests that were sent in a span, and those that began. */
static void
count_sound(int64_t from, int64_t until, int *sent, int *begun)
{
	*sent = 0;
	*begun = 0;
	for (int i = 0; i < request_count; i++) {
		if (requests[i].deadly || requests[i].sent_at < from ||
		    requests[i].sent_at >= until)
			continue;
		(*sent)++;
		*begun += rig_count_runs(requests[i].id) > 0;
	}
}

int
main(int argc, char **argv)
{
	int64_t crashes[64];
	int64_t begin;
	int64_t end;
	int64_t next_group;
	int64_t next_deadly;
	int64_t from;
	int crash_count;
	int sent[2];
	int begun[2];
	bool broken;
	bool idle = false;

	if (argc != 2)
		return 2;
	rig_init(argv[1]);
	rig_store_start("127.0.0.1");
	rig_configure(1);
	for (int i = 0; i < REPLICAS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-model-%d", i);
		models[i].deadly_part = DOCUMENT;
		models[i].back_ms = 2500;
		models[i].load_ms = 500;
		models[i].work_ms = 50;
		rig_replica_start(&models[i], "127.0.0.1", id, "model", true);
	}
	for (int i = 0; i < 2; i++) {
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
	rig_sleep_ms(CONTACT_MS);
	begin = next_group = rig_now_ms();
	next_deadly = begin + DEADLY_FROM_MS;
	end = begin + RUN_MS;
	while (rig_now_ms() < end) {
		if (rig_now_ms() >= next_group) {
			next_group += GROUP_PAUSE_MS;
			for (int i = 0; i < GROUP; i++)
				start_request(false);
		}
		if (rig_trouble() && rig_now_ms() >= next_deadly) {
			next_deadly += DEADLY_PAUSE_MS;
			start_request(true);
		}
		rig_sleep_ms(5);
	}
	for (int i = 0; i < 1100 && !idle; i++) {
		rig_sleep_ms(10);
		pthread_mutex_lock(&lock);
		idle = running == 0;
		pthread_mutex_unlock(&lock);
	}
	for (int i = 0; i < MACHINES; i++) {
		if (!rig_node_check(&machines[i]))
			rig_fail("a process has ended");
	}
	crash_count = rig_crashes(crashes, 64);
	from = begin + DEADLY_FROM_MS + 2 * CONTACT_MS;
	if (crash_count > 0)
		from = crashes[crash_count < 5 ? crash_count - 1 : 4] +
		    2 * CONTACT_MS;
	count_sound(begin, begin + DEADLY_FROM_MS, &sent[0], &begun[0]);
	count_sound(from, end, &sent[1], &begun[1]);
	rig_record("%d crashes of replicas", crash_count);
	rig_record("sound requests before: %d sent, %d began", sent[0],
	    begun[0]);
	rig_record("sound requests from 2 x contactMs after the fifth crash: %d "
		   "sent, %d began",
	    sent[1], begun[1]);
	if (sent[0] < REQUESTS_MIN || sent[1] < REQUESTS_MIN || begun[0] == 0)
		rig_fail("too few requests");
	broken = 2 * begun[1] * sent[0] < begun[0] * sent[1];
	rig_record("less than half as often as before: %s",
	    broken ? "broken" : "held");
	rig_nodes_end();
	return broken ? 1 : 0;
}
