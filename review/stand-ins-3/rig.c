#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "rig.h"

#define NODES_MAX 8
/* Six tenths of the link of a machine of the site, which has 1,000 Mbit/s. */
#define LINK_BYTES_PER_MS 75000.0
/* An endless event comes as fast as the link allows up to here, and then slowly.
 */
#define ENDLESS_FAST_BYTES 900000
#define ITEMS_MAX 256
#define HISTORY_MAX 65536
#define LEASES_MAX 65536
#define STACK_BYTES ((size_t)512 * 1024)

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static int64_t started_at;
static char temp_dir[128];
static struct rig_node *nodes[NODES_MAX];
static size_t node_count;

int64_t
rig_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
rig_sleep_ms(int64_t ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

static void
vrecord(const char *format, va_list args)
{
	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)(rig_now_ms() - started_at) / 1000);
	vfprintf(record, format, args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void
rig_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vrecord(format, args);
	va_end(args);
}

void
rig_fail(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vrecord(format, args);
	va_end(args);
	rig_nodes_end();
	_exit(2);
}

static void
on_term(int number)
{
	(void)number;
	for (size_t i = 0; i < node_count; i++) {
		if (nodes[i]->pid > 0)
			kill(nodes[i]->pid, SIGKILL);
	}
	_exit(2);
}

void
rig_init(const char *record_path)
{
	const char *base = getenv("TMPDIR");

	started_at = rig_now_ms();
	record = fopen(record_path, "w");
	if (record == NULL) {
		perror(record_path);
		_exit(2);
	}
	snprintf(temp_dir, sizeof(temp_dir), "%s/review-3.XXXXXX",
	    base != NULL ? base : "/tmp");
	if (mkdtemp(temp_dir) == NULL)
		rig_fail("no temporary folder");
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_term);
	signal(SIGINT, on_term);
	srandom((unsigned int)(getpid() ^ time(NULL)));
	rig_record("%s the disruption", rig_trouble() ? "with" : "without");
}

bool
rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

const char *
rig_temp(void)
{
	return temp_dir;
}

/* Connections. */

int
rig_listen(const char *ip, uint16_t *port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(*port)};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 1024) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0) {
		if (fd >= 0)
			close(fd);
		return -1;
	}
	*port = ntohs(address.sin_port);
	return fd;
}

struct server {
	int fd;
	void (*serve)(struct rig_conn *, void *);
	void *arg;
};

struct session {
	struct rig_conn conn;
	const struct server *server;
};

static void
start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run, arg) != 0)
		rig_fail("no thread");
	pthread_attr_destroy(&attr);
}

static void *
run_session(void *arg)
{
	struct session *session = arg;

	session->server->serve(&session->conn, session->server->arg);
	close(session->conn.fd);
	free(session);
	return NULL;
}

static void *
run_server(void *arg)
{
	struct server *server = arg;

	for (;;) {
		int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
		struct session *session;

		if (fd < 0) {
			rig_sleep_ms(10);
			continue;
		}
		session = calloc(1, sizeof(*session));
		session->conn.fd = fd;
		session->server = server;
		start_thread(run_session, session);
	}
	return NULL;
}

bool
rig_serve(const char *ip, uint16_t *port,
    void (*serve)(struct rig_conn *, void *), void *arg)
{
	struct server *server = calloc(1, sizeof(*server));

	server->fd = rig_listen(ip, port);
	server->serve = serve;
	server->arg = arg;
	if (server->fd < 0)
		return false;
	start_thread(run_server, server);
	return true;
}

struct rig_conn *
rig_connect(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	struct rig_conn *conn = calloc(1, sizeof(*conn));

	inet_pton(AF_INET, ip, &address.sin_addr);
	conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (conn->fd < 0 ||
	    connect(conn->fd, (struct sockaddr *)&address, sizeof(address)) !=
		0) {
		rig_close(conn);
		return NULL;
	}
	return conn;
}

void
rig_close(struct rig_conn *conn)
{
	if (conn == NULL)
		return;
	if (conn->fd >= 0)
		close(conn->fd);
	free(conn);
}

bool
rig_send(struct rig_conn *conn, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t n = send(conn->fd, at, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

bool
rig_send_text(struct rig_conn *conn, const char *format, ...)
{
	va_list args;
	char *text = NULL;
	int len;
	bool sent;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	sent = len >= 0 && rig_send(conn, text, (size_t)len);
	free(text);
	return sent;
}

/* Receives more bytes into the buffer. until 0: there is no time limit. */
static enum rig_read
receive(struct rig_conn *conn, int64_t until)
{
	struct pollfd fd = {conn->fd, POLLIN, 0};
	int64_t left = until == 0 ? -1 : until - rig_now_ms();
	ssize_t n;

	if (conn->len == sizeof(conn->data))
		return RIG_GARBAGE;
	if (until != 0 && left < 0)
		left = 0;
	n = poll(&fd, 1, (int)left);
	if (n == 0)
		return RIG_TIMEOUT;
	n = recv(
	    conn->fd, conn->data + conn->len, sizeof(conn->data) - conn->len, 0);
	if (n <= 0)
		return RIG_CUT;
	conn->len += (size_t)n;
	return RIG_OK;
}

static void
consume(struct rig_conn *conn, size_t len)
{
	conn->len -= len;
	memmove(conn->data, conn->data + len, conn->len);
}

void
rig_message_clear(struct rig_message *message)
{
	free(message->body);
	message->body = NULL;
	message->body_len = 0;
}

const char *
rig_header(const struct rig_message *message, const char *name)
{
	for (size_t i = 0; i < message->header_count; i++) {
		if (strcasecmp(message->names[i], name) == 0)
			return message->values[i];
	}
	return NULL;
}

/* Reads a head into message->head, with its fields. */
static enum rig_read
read_head(struct rig_conn *conn, struct rig_message *message, int64_t until)
{
	char *end;
	char *line;
	char *next;
	enum rig_read result;

	message->header_count = 0;
	while ((end = memmem(conn->data, conn->len, "\r\n\r\n", 4)) == NULL) {
		bool first = conn->len == 0;

		result = receive(conn, until);
		if (result == RIG_CUT && first)
			return RIG_CLOSED;
		if (result != RIG_OK)
			return result;
	}
	memcpy(message->head, conn->data, (size_t)(end - conn->data) + 2);
	message->head[end - conn->data + 2] = '\0';
	consume(conn, (size_t)(end - conn->data) + 4);
	line = strstr(message->head, "\r\n");
	*line = '\0';
	for (line += 2; *line != '\0'; line = next) {
		char *colon;

		next = strstr(line, "\r\n");
		if (next == NULL)
			return RIG_GARBAGE;
		*next = '\0';
		next += 2;
		colon = strchr(line, ':');
		if (colon == NULL || message->header_count == RIG_HEADERS_MAX)
			return RIG_GARBAGE;
		*colon++ = '\0';
		while (*colon == ' ')
			colon++;
		message->names[message->header_count] = line;
		message->values[message->header_count++] = colon;
	}
	return RIG_OK;
}

/* Appends len bytes of the connection to the body. */
static enum rig_read
read_bytes(struct rig_conn *conn, struct rig_message *message, size_t len,
    int64_t until)
{
	message->body = realloc(message->body, message->body_len + len + 1);
	while (len > 0) {
		size_t part = conn->len < len ? conn->len : len;

		memcpy(message->body + message->body_len, conn->data, part);
		message->body_len += part;
		consume(conn, part);
		len -= part;
		if (len > 0) {
			enum rig_read result = receive(conn, until);

			if (result != RIG_OK)
				return result;
		}
	}
	message->body[message->body_len] = '\0';
	return RIG_OK;
}

static enum rig_read
read_chunks(struct rig_conn *conn, struct rig_message *message, int64_t until)
{
	for (;;) {
		char *end;
		char *digits_end;
		size_t len;
		enum rig_read result;

		while ((end = memmem(conn->data, conn->len, "\r\n", 2)) ==
		    NULL) {
			result = receive(conn, until);
			if (result != RIG_OK)
				return result;
		}
		*end = '\0';
		len = strtoul(conn->data, &digits_end, 16);
		if (digits_end == conn->data)
			return RIG_GARBAGE;
		consume(conn, (size_t)(end - conn->data) + 2);
		result = read_bytes(conn, message, len + 2, until);
		if (result != RIG_OK)
			return result;
		message->body_len -= 2;
		message->body[message->body_len] = '\0';
		if (len == 0)
			return RIG_OK;
	}
}

static enum rig_read
read_body(struct rig_conn *conn, struct rig_message *message, int64_t until)
{
	const char *length = rig_header(message, "Content-Length");
	const char *coding = rig_header(message, "Transfer-Encoding");

	if (coding != NULL)
		return read_chunks(conn, message, until);
	return read_bytes(
	    conn, message, length ? strtoul(length, NULL, 10) : 0, until);
}

enum rig_read
rig_read_request(struct rig_conn *conn, struct rig_message *message)
{
	enum rig_read result = read_head(conn, message, 0);
	char *space;

	if (result != RIG_OK)
		return result;
	message->method = message->head;
	space = strchr(message->head, ' ');
	if (space == NULL)
		return RIG_GARBAGE;
	*space = '\0';
	message->target = space + 1;
	space = strchr(message->target, ' ');
	if (space == NULL || strcmp(space + 1, "HTTP/1.1") != 0)
		return RIG_GARBAGE;
	*space = '\0';
	return read_body(conn, message, 0);
}

enum rig_read
rig_read_response(struct rig_conn *conn, struct rig_message *message,
    bool head_only, int64_t timeout_ms)
{
	int64_t until = rig_now_ms() + timeout_ms;
	enum rig_read result;

	do {
		/* A response begins with its version, whatever follows. */
		while (conn->len < 5) {
			bool first = conn->len == 0;

			result = receive(conn, until);
			if (result == RIG_CUT && first)
				return RIG_CLOSED;
			if (result != RIG_OK)
				return result;
		}
		if (memcmp(conn->data, "HTTP/", 5) != 0)
			return RIG_GARBAGE;
		result = read_head(conn, message, until);
		if (result != RIG_OK)
			return result;
		if (sscanf(message->head, "HTTP/1.1 %3d", &message->status) !=
		    1)
			return RIG_GARBAGE;
	} while (message->status / 100 == 1);
	if (head_only || message->status == 204 || message->status == 304)
		return RIG_OK;
	return read_body(conn, message, until);
}

const char *
rig_read_name(enum rig_read result)
{
	static const char *const names[] = {"whole", "closed without an answer",
	    "no answer in time", "cut", "bytes that are no answer"};

	return names[result];
}

/* The store. */

struct item {
	char key[201];
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t ends_at;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	char address[32];
	struct item items[ITEMS_MAX];
	size_t item_count;
	/* Events in the order of their revisions. */
	json_t *history;
	struct lease leases[LEASES_MAX];
	size_t lease_count;
	int64_t revision;
	int64_t last_lease;
	enum rig_store_trouble trouble;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER, .revision = 10, .last_lease = 7};

static char *
encode_base64(const char *text)
{
	static const char digits[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = calloc(1, len * 4 / 3 + 8);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (unsigned char)text[i + 2];
		*at++ = digits[bits >> 18 & 63];
		*at++ = digits[bits >> 12 & 63];
		*at++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[bits & 63] : '=';
	}
	return out;
}

static struct item *
find_item(const char *key)
{
	for (size_t i = 0; i < store.item_count; i++) {
		if (strcmp(store.items[i].key, key) == 0)
			return &store.items[i];
	}
	return NULL;
}

static json_t *
item_json(const struct item *item)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
	    item->value, "revision", (json_int_t)item->revision, "created",
	    (json_int_t)item->created, "lease", (json_int_t)item->lease);
}

/* Writes an item at the present revision. value64 is encoded. */
static void
write_item(const char *key, const char *value64, int64_t lease)
{
	struct item *item = find_item(key);

	if (item == NULL) {
		if (store.item_count == ITEMS_MAX)
			rig_fail("the store is full");
		item = &store.items[store.item_count++];
		memset(item, 0, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created = store.revision;
	}
	free(item->value);
	item->value = strdup(value64);
	item->revision = store.revision;
	item->lease = lease;
	json_array_append_new(store.history, item_json(item));
}

static void
remove_item(const char *key)
{
	struct item *item = find_item(key);

	if (item == NULL)
		return;
	json_array_append_new(store.history,
	    json_pack("{s:s, s:I, s:b}", "key", key, "revision",
		(json_int_t)store.revision, "deleted", 1));
	free(item->value);
	*item = store.items[--store.item_count];
}

static struct lease *
find_lease(int64_t id)
{
	for (size_t i = 0; i < store.lease_count; i++) {
		if (store.leases[i].id == id)
			return &store.leases[i];
	}
	return NULL;
}

static void
end_lease(struct lease *lease)
{
	int64_t id = lease->id;

	*lease = store.leases[--store.lease_count];
	for (size_t i = 0; i < store.item_count;) {
		char key[201];

		if (store.items[i].lease != id) {
			i++;
			continue;
		}
		memcpy(key, store.items[i].key, sizeof(key));
		store.revision++;
		remove_item(key);
	}
	pthread_cond_broadcast(&store.changed);
}

static void *
run_leases(void *arg)
{
	(void)arg;
	for (;;) {
		rig_sleep_ms(20);
		pthread_mutex_lock(&store.lock);
		for (size_t i = 0; i < store.lease_count;) {
			if (store.leases[i].ends_at <= rig_now_ms())
				end_lease(&store.leases[i]);
			else
				i++;
		}
		pthread_mutex_unlock(&store.lock);
	}
	return NULL;
}

/* Copies a decoded parameter of the query; the empty string if it is missing.
 */
static void
query_value(const char *target, const char *name, char *out, size_t size)
{
	const char *at = strchr(target, '?');
	size_t name_len = strlen(name);
	size_t len = 0;

	out[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, name_len) == 0 && at[name_len] == '=')
			break;
		at = strchr(at, '&');
	}
	if (at == NULL)
		return;
	for (at += name_len + 1; *at != '\0' && *at != '&' && len + 1 < size;
	     at++) {
		unsigned int byte;

		if (*at == '%' && sscanf(at + 1, "%2x", &byte) == 1) {
			out[len++] = (char)byte;
			at += 2;
		} else {
			out[len++] = *at;
		}
	}
	out[len] = '\0';
}

static int
compare_items(const void *a, const void *b)
{
	const struct item *x = *(const struct item *const *)a;
	const struct item *y = *(const struct item *const *)b;

	return strcmp(x->key, y->key);
}

static json_t *
list_items(const char *prefix, const char *after)
{
	const struct item *sorted[ITEMS_MAX];
	size_t count = 0;
	json_t *items = json_array();

	for (size_t i = 0; i < store.item_count; i++) {
		const struct item *item = &store.items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(item->key, after) > 0)
			sorted[count++] = item;
	}
	qsort(sorted, count, sizeof(sorted[0]), compare_items);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(items, item_json(sorted[i]));
	return json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0, "at",
	    (json_int_t)store.revision);
}

/* Waits for events after a revision, with the lock held. */
static json_t *
watch(const char *prefix, int64_t after, int64_t wait_ms)
{
	int64_t until = rig_now_ms() + wait_ms;
	json_t *events = json_array();

	for (;;) {
		struct timespec t;
		int64_t left = until - rig_now_ms();
		size_t i = json_array_size(store.history);

		while (i > 0 &&
		    json_integer_value(json_object_get(
			json_array_get(store.history, i - 1), "revision")) >
			after)
			i--;
		for (; i < json_array_size(store.history); i++) {
			json_t *event = json_array_get(store.history, i);

			if (strncmp(json_string_value(
					json_object_get(event, "key")),
				prefix, strlen(prefix)) == 0)
				json_array_append(events, event);
		}
		if (json_array_size(events) > 0 || left <= 0)
			break;
		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_sec += left / 1000;
		t.tv_nsec += left % 1000 * 1000000;
		if (t.tv_nsec >= 1000000000) {
			t.tv_sec++;
			t.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&store.changed, &store.lock, &t);
	}
	return json_pack("{s:o, s:I}", "events", events, "at",
	    (json_int_t)store.revision);
}

static json_t *
transact(const json_t *body, int *status)
{
	json_t *conflicts = json_array();
	const json_t *row;
	size_t i;
	bool holds = true;

	json_array_foreach(json_object_get(body, "precondition"), i, row)
	{
		const struct item *item = find_item(
		    json_string_value(json_object_get(row, "key")));
		int64_t expected =
		    json_integer_value(json_object_get(row, "revision"));

		if (item != NULL)
			json_array_append_new(conflicts, item_json(item));
		if ((item != NULL ? item->revision : 0) != expected)
			holds = false;
	}
	if (!holds) {
		*status = 412;
		return json_pack("{s:o, s:I}", "items", conflicts, "at",
		    (json_int_t)store.revision);
	}
	json_decref(conflicts);
	json_array_foreach(json_object_get(body, "write"), i, row)
	{
		int64_t lease =
		    json_integer_value(json_object_get(row, "lease"));

		if (lease != 0 && find_lease(lease) == NULL) {
			*status = 404;
			return json_object();
		}
	}
	store.revision++;
	json_array_foreach(json_object_get(body, "write"), i, row) write_item(
	    json_string_value(json_object_get(row, "key")),
	    json_string_value(json_object_get(row, "value")),
	    json_integer_value(json_object_get(row, "lease")));
	json_array_foreach(json_object_get(body, "remove"), i, row)
	    remove_item(json_string_value(row));
	pthread_cond_broadcast(&store.changed);
	return json_pack("{s:I}", "revision", (json_int_t)store.revision);
}

/* Performs a call with the lock held. */
static json_t *
perform(const struct rig_message *call, int *status)
{
	const char *target = call->target;
	char key[256];
	char after[256];
	json_t *body = json_loadb(
	    call->body ? call->body : "", call->body_len, 0, NULL);
	json_t *answer = NULL;
	struct lease *lease;

	*status = 200;
	if (strncmp(target, "/kv-key?", 8) == 0) {
		const struct item *item;

		query_value(target, "key", key, sizeof(key));
		item = find_item(key);
		answer = item != NULL ? item_json(item) : json_object();
		if (item == NULL)
			*status = 404;
		json_object_set_new(
		    answer, "at", json_integer(store.revision));
	} else if (strncmp(target, "/kv-range?", 10) == 0) {
		query_value(target, "prefix", key, sizeof(key));
		query_value(target, "after", after, sizeof(after));
		answer = list_items(key, after);
	} else if (strncmp(target, "/kv-watch?", 10) == 0) {
		char wait[32];

		query_value(target, "prefix", key, sizeof(key));
		query_value(target, "after", after, sizeof(after));
		query_value(target, "waitMs", wait, sizeof(wait));
		answer = watch(key, atoll(after), atoll(wait));
	} else if (strcmp(target, "/kv-txn") == 0) {
		answer = transact(body, status);
	} else if (strcmp(target, "/kv-lease") == 0 &&
	    store.lease_count < LEASES_MAX) {
		lease = &store.leases[store.lease_count++];
		lease->id = ++store.last_lease;
		lease->ttl_ms =
		    json_integer_value(json_object_get(body, "ttlMs"));
		lease->ends_at = rig_now_ms() + lease->ttl_ms;
		answer = json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id,
		    "ttlMs", (json_int_t)lease->ttl_ms);
	} else if (strncmp(target, "/kv-keep/", 9) == 0) {
		lease = find_lease(atoll(target + 9));
		answer = json_object();
		if (lease != NULL)
			lease->ends_at = rig_now_ms() + lease->ttl_ms;
		else
			*status = 404;
	} else if (strncmp(target, "/kv-lease-end/", 14) == 0) {
		lease = find_lease(atoll(target + 14));
		answer = json_object();
		if (lease != NULL)
			end_lease(lease);
	} else {
		answer = json_object();
		*status = 404;
	}
	json_decref(body);
	return answer;
}

static bool
store_is_silent(void)
{
	bool silent;

	pthread_mutex_lock(&store.lock);
	silent = store.trouble == RIG_STORE_SILENT;
	pthread_mutex_unlock(&store.lock);
	return silent;
}

static void
serve_store(struct rig_conn *conn, void *arg)
{
	struct rig_message *call = calloc(1, sizeof(*call));

	(void)arg;
	while (rig_read_request(conn, call) == RIG_OK) {
		json_t *answer;
		char *text;
		int status;
		bool sent;

		/* A channel on which an answer is lost returns nothing more. */
		if (store_is_silent()) {
			struct pollfd fd = {conn->fd, POLLRDHUP, 0};

			poll(&fd, 1, 60000);
			break;
		}
		pthread_mutex_lock(&store.lock);
		answer = perform(call, &status);
		pthread_mutex_unlock(&store.lock);
		if (store_is_silent()) {
			struct pollfd fd = {conn->fd, POLLRDHUP, 0};

			json_decref(answer);
			poll(&fd, 1, 60000);
			break;
		}
		text = json_dumps(answer, JSON_COMPACT);
		json_decref(answer);
		sent = rig_send_text(conn,
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n%s",
		    status, strlen(text), text);
		free(text);
		rig_message_clear(call);
		if (!sent)
			break;
	}
	rig_message_clear(call);
	free(call);
}

void
rig_store_start(const char *ip)
{
	uint16_t port = 0;

	pthread_cond_init(&store.changed, NULL);
	store.history = json_array();
	if (!rig_serve(ip, &port, serve_store, NULL))
		rig_fail("the store cannot listen");
	snprintf(store.address, sizeof(store.address), "%s:%u", ip, port);
	start_thread(run_leases, NULL);
}

const char *
rig_store_address(void)
{
	return store.address;
}

void
rig_store_put(const char *key, const char *value)
{
	char *value64 = encode_base64(value);

	pthread_mutex_lock(&store.lock);
	store.revision++;
	write_item(key, value64, 0);
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	free(value64);
}

void
rig_store_set_trouble(enum rig_store_trouble trouble)
{
	pthread_mutex_lock(&store.lock);
	store.trouble = trouble;
	pthread_mutex_unlock(&store.lock);
}

/* Replicas. */

static void
note_run(const char *id, const struct rig_replica *replica)
{
	rig_record("replica %s runs %s", replica->id, id);
}

static int64_t
wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Registers a replica in the store. */
static void
put_entry(const struct rig_replica *replica)
{
	char key[64];
	char entry[512];
	int len = snprintf(entry, sizeof(entry),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"pnw-a\","
	    "\"version\":\"1\",\"slots\":%d,\"state\":\"ready\","
	    "\"coldRemainingMs\":0,\"sequence\":1,\"born\":%lld",
	    replica->service, replica->address, replica->is_engine ? 192 : 6,
	    (long long)replica->born);

	if (replica->is_engine)
		len += snprintf(entry + len, sizeof(entry) - (size_t)len,
		    ",\"kind\":\"h\",\"stage\":\"combined\",\"models\":"
		    "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
		    "\"layers\":{\"source\":0,\"target\":%d,\"version\":1}",
		    RIG_LAYERS);
	snprintf(entry + len, sizeof(entry) - (size_t)len, "}");
	snprintf(key, sizeof(key), "servers/%s", replica->id);
	rig_store_put(key, entry);
}

/* Answers a call to a model replica other than a request. */
static bool
serve_engine_call(const struct rig_replica *replica, struct rig_conn *conn,
    const struct rig_message *call)
{
	char text[512];

	/* It holds what an order could ask for. */
	if (strcmp(call->target, "/order") == 0)
		return rig_send_text(
		    conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	snprintf(text, sizeof(text),
	    "{\"stage\":\"combined\",\"models\":[{\"name\":\"m0\","
	    "\"version\":1,\"adapters\":[]}],\"layers\":{\"source\":0,"
	    "\"target\":%d,\"version\":1},\"kind\":\"h\","
	    "\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,"
	    "\"kvUsed\":0,\"kvTotal\":1000000,\"kvHandles\":0,\"pace\":1,"
	    "\"born\":%lld,\"stalledServers\":[]}",
	    RIG_LAYERS, (long long)replica->born);
	return rig_send_text(conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(text), text);
}

/* Waits until len bytes more may be sent at the rate that all endless answers
 * share. */
static void
use_link(size_t len)
{
	static pthread_mutex_t link_lock = PTHREAD_MUTEX_INITIALIZER;
	static double free_at_ms;
	double now = (double)rig_now_ms();
	double until;

	pthread_mutex_lock(&link_lock);
	if (free_at_ms < now)
		free_at_ms = now;
	free_at_ms += (double)len / LINK_BYTES_PER_MS;
	until = free_at_ms;
	pthread_mutex_unlock(&link_lock);
	if (until > now + 1)
		rig_sleep_ms((int64_t)(until - now));
}

/* Sends events until the caller closes, all of them but the first two in one
 * event that never ends. */
static bool
send_endless(struct rig_conn *conn)
{
	char block[16384];
	size_t sent = 0;
	size_t len;

	memset(block, 'x', sizeof(block));
	if (!rig_send_text(conn,
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: "))
		return false;
	do {
		len = sent < ENDLESS_FAST_BYTES ? sizeof(block) : 16;
		if (len < sizeof(block))
			rig_sleep_ms(100);
		use_link(len);
		sent += len;
	} while (rig_send(conn, block, len));
	return false;
}

static bool
serve_stream(const struct rig_replica *replica, struct rig_conn *conn,
    const struct rig_message *request, const char *id)
{
	const char *last = rig_header(request, "Last-Event-Id");
	bool sent;

	rig_sleep_ms(replica->work_ms);
	note_run(id, replica);
	sent = rig_send_text(conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "Attempt-Id: %s\r\nServer-Stamp: %s.%s\r\n%s\r\n",
	    id, replica->id, id,
	    replica->endless ? "" : "Transfer-Encoding: chunked\r\n");
	if (replica->endless)
		return sent && send_endless(conn);
	for (int i = last != NULL ? atoi(last) + 1 : 1;
	     sent && i <= 40; i++) {
		char event[64];
		int len = snprintf(
		    event, sizeof(event), "id: %d\ndata: token %d\n\n", i, i);

		sent = rig_send_text(conn, "%x\r\n%s\r\n", len, event);
		rig_sleep_ms(20);
	}
	return sent && rig_send_text(conn, "0\r\n\r\n");
}

static bool
serve_plain(const struct rig_replica *replica, struct rig_conn *conn,
    const struct rig_message *request, const char *id)
{
	char body[64];

	note_run(id, replica);
	rig_sleep_ms(replica->work_ms);
	snprintf(body, sizeof(body), "answer to %s", id);
	return rig_send_text(conn,
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    id, replica->id, id, strlen(body),
	    strcmp(request->method, "HEAD") == 0 ? "" : body);
}

static void
serve_replica(struct rig_conn *conn, void *arg)
{
	const struct rig_replica *replica = arg;
	struct rig_message *request = calloc(1, sizeof(*request));
	bool more = true;

	while (more && rig_read_request(conn, request) == RIG_OK) {
		const char *id = rig_header(request, "Attempt-Id");
		const char *expected = rig_header(request, "Expect-Instance");

		if (expected != NULL && strcmp(expected, replica->id) != 0)
			more = rig_send_text(conn,
			    "HTTP/1.1 421 X\r\nNot-Executed: 1\r\n"
			    "Content-Length: 0\r\n\r\n");
		else if (id == NULL && replica->is_engine)
			more = serve_engine_call(replica, conn, request);
		else if (id == NULL)
			more = rig_send_text(conn,
			    "HTTP/1.1 400 X\r\nNot-Executed: 1\r\n"
			    "Content-Length: 0\r\n\r\n");
		else if (replica->is_engine)
			more = serve_stream(replica, conn, request, id);
		else
			more = serve_plain(replica, conn, request, id);
		rig_message_clear(request);
	}
	rig_message_clear(request);
	free(request);
}

void
rig_replica_start(struct rig_replica *replica, const char *ip, const char *id,
    const char *service, bool is_engine)
{
	snprintf(replica->id, sizeof(replica->id), "%s", id);
	snprintf(replica->ip, sizeof(replica->ip), "%s", ip);
	replica->service = service;
	replica->is_engine = is_engine;
	replica->born = wall_ms();
	if (replica->work_ms == 0)
		replica->work_ms = 15;
	if (!rig_serve(ip, &replica->port, serve_replica, replica))
		rig_fail("replica %s cannot listen", id);
	snprintf(replica->address, sizeof(replica->address), "%s:%u", ip,
	    replica->port);
	put_entry(replica);
}

void
rig_configure(int version)
{
	char text[4096];

	snprintf(text, sizeof(text),
	    "{\"version\":%d,\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	    "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"brewers\","
	    "\"apiKeys\":[\"" RIG_KEY "\"]}],\"routes\":["
	    "{\"name\":\"status\",\"host\":\"" RIG_HOST "\",\"prefix\":"
	    "\"/status/\",\"kind\":\"idempotent\",\"service\":\"desk\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":100,\"priority\":2,"
	    "\"maxAttempts\":2},"
	    "{\"name\":\"place\",\"host\":\"" RIG_HOST "\",\"prefix\":"
	    "\"/place/\",\"kind\":\"non_idempotent\",\"service\":\"desk\","
	    "\"timeoutMs\":800,\"targetLatencyMs\":100,\"priority\":2,"
	    "\"maxAttempts\":1},"
	    "{\"name\":\"draft\",\"host\":\"" RIG_HOST "\",\"prefix\":"
	    "\"/draft/\",\"kind\":\"streaming\",\"service\":\"model\","
	    "\"timeoutMs\":20000,\"targetLatencyMs\":500,\"targetGapMs\":250,"
	    "\"priority\":1,\"maxAttempts\":2,\"resumable\":true,"
	    "\"sticky\":true}],\"services\":["
	    "{\"name\":\"desk\",\"healthPath\":\"/healthz\","
	    "\"maxConnections\":110},"
	    "{\"name\":\"model\",\"healthPath\":\"/healthz\","
	    "\"maxConnections\":978,\"engine\":{\"layers\":8,\"layerMb\":1000,"
	    "\"kvTokenBytes\":100000,\"activationBytes\":29500,"
	    "\"linkMbps\":400000,\"interZoneMbps\":16000,\"slots\":192,"
	    "\"stride\":4,\"step_ms\":1.02,\"per_seq_ms\":0.00459,"
	    "\"context_per_k\":0.00615,\"read_per_s\":164000,"
	    "\"pairs_per_m\":0.199,\"chunk\":512,\"models\":[{\"name\":\"m0\","
	    "\"version\":1,\"loadS\":2}],\"loads_at_once\":6,"
	    "\"usual\":{\"prompt\":760,\"answer\":172},\"kinds\":["
	    "{\"name\":\"h\",\"sizeMb\":72000,\"pace\":1,\"readFactor\":1}],"
	    "\"delays\":[]}}]}",
	    version);
	rig_store_put("op/config", text);
}

/* Nodes. */

static uint16_t
free_port(const char *ip)
{
	uint16_t port = 0;
	int fd = rig_listen(ip, &port);

	if (fd < 0)
		rig_fail("no free port at %s", ip);
	close(fd);
	return port;
}

/*
 * Chooses an address at which the port for metrics is free.
 */
static void
choose_ip(struct rig_node *node, int number)
{
	for (int try = 0; try < 100; try++) {
		uint16_t port = 9464;
		int fd;

		snprintf(node->ip, sizeof(node->ip), "127.%u.%u.%u",
		    (unsigned int)(random() % 200) + 20,
		    (unsigned int)(random() % 250) + 1,
		    ((unsigned int)number + 10) % 256);
		fd = rig_listen(node->ip, &port);
		if (fd < 0)
			continue;
		close(fd);
		return;
	}
	rig_fail("port 9464 is free nowhere");
}

void
rig_node_init(struct rig_node *node, int number, int memory_mb)
{
	char path[256];
	FILE *file;

	memset(node, 0, sizeof(*node));
	snprintf(node->name, sizeof(node->name), "edge-pnw-a-%d", number);
	choose_ip(node, number);
	node->front = free_port(node->ip);
	node->ready = free_port(node->ip);
	snprintf(path, sizeof(path), "%s/%s.json", temp_dir, node->name);
	file = fopen(path, "w");
	if (file == NULL)
		rig_fail("no settings file");
	/* platform/node.json.in with the settings of a small deployment. */
	fprintf(file,
	    "{\"revoke_ms\": 5000, \"config_apply_ms\": 2000, "
	    "\"leave_ms\": 2000, \"grace_s\": 8, \"retry_slack\": 200, "
	    "\"retry_ratio\": 0.2, \"retry_window_s\": 10, "
	    "\"address_validity_max_s\": 5, \"memory_mb\": %d, "
	    "\"descriptors\": 4100, \"front\": \"%s:%u\", "
	    "\"ready\": \"%s:%u\", \"lookup\": \"%s:%u\", \"node\": \"%s\", "
	    "\"place\": \"pnw-a\", \"region\": \"pnw\", \"ip\": \"%s\", "
	    "\"mesh_port\": %u, \"store\": \"%s\"}\n",
	    memory_mb, node->ip, node->front, node->ip, node->ready, node->ip,
	    free_port(node->ip), node->name, node->ip, free_port(node->ip),
	    store.address);
	fclose(file);
	nodes[node_count++] = node;
}

void
rig_node_start(struct rig_node *node)
{
	char settings[256];
	char log[256];
	pid_t parent = getpid();

	snprintf(settings, sizeof(settings), "%s/%s.json", temp_dir, node->name);
	snprintf(log, sizeof(log), "%s/%s.log", temp_dir, node->name);
	node->pid = fork();
	if (node->pid < 0)
		rig_fail("no process");
	if (node->pid > 0)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(2);
	setenv("CHESTNUTHOIST_NODE_FILE", settings, 1);
	if (freopen(log, "a", stdout) == NULL ||
	    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
		_exit(2);
	signal(SIGPIPE, SIG_DFL);
	execl("target/chestnuthoist-node", "target/chestnuthoist-node",
	    "--metrics-port", "9464", (char *)NULL);
	_exit(2);
}

bool
rig_node_wait_ready(struct rig_node *node, int64_t timeout_ms)
{
	int64_t until = rig_now_ms() + timeout_ms;
	struct rig_message *answer = calloc(1, sizeof(*answer));
	bool ready = false;

	while (!ready && rig_now_ms() < until) {
		struct rig_conn *conn = rig_connect(node->ip, node->ready);

		ready = conn != NULL &&
		    rig_send_text(conn,
			"GET /readiness HTTP/1.1\r\nHost: %s\r\n\r\n",
			node->ip) &&
		    rig_read_response(conn, answer, false, 1000) == RIG_OK &&
		    answer->status == 200;
		rig_close(conn);
		rig_message_clear(answer);
		if (!ready)
			rig_sleep_ms(50);
	}
	free(answer);
	return ready;
}

bool
rig_node_check(struct rig_node *node)
{
	int status;

	if (node->pid <= 0)
		return false;
	if (waitpid(node->pid, &status, WNOHANG) != node->pid)
		return true;
	node->pid = 0;
	node->own_ends++;
	if (WIFSIGNALED(status))
		rig_record("the process of %s ends by itself: signal %d (%s)",
		    node->name, WTERMSIG(status), strsignal(WTERMSIG(status)));
	else
		rig_record("the process of %s ends by itself: exit code %d",
		    node->name, WEXITSTATUS(status));
	return false;
}

long
rig_node_rss_kb(const struct rig_node *node)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)node->pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	while (fgets(line, sizeof(line), file) != NULL) {
		if (sscanf(line, "VmRSS: %ld kB", &kb) == 1)
			break;
	}
	fclose(file);
	return kb;
}

void
rig_nodes_end(void)
{
	char path[256];

	for (size_t i = 0; i < node_count; i++) {
		if (nodes[i]->pid > 0) {
			kill(nodes[i]->pid, SIGKILL);
			waitpid(nodes[i]->pid, NULL, 0);
			nodes[i]->pid = 0;
		}
		snprintf(path, sizeof(path), "%s/%s.json", temp_dir,
		    nodes[i]->name);
		unlink(path);
		snprintf(path, sizeof(path), "%s/%s.log", temp_dir,
		    nodes[i]->name);
		if (getenv("KEEP_LOGS") == NULL)
			unlink(path);
	}
	rmdir(temp_dir);
}

void
rig_new_id(char id[17])
{
	snprintf(id, 17, "%08lx%08lx", random() & 0xffffffffL,
	    random() & 0xffffffffL);
}

bool
rig_send_request(struct rig_conn *conn, const char *method, const char *target,
    const char *id, const char *key, int deadline_ms, const char *extra)
{
	bool has_body = strcmp(method, "POST") == 0;

	return rig_send_text(conn,
	    "%s %s HTTP/1.1\r\nHost: " RIG_HOST "\r\nAttempt-Id: %s\r\n"
	    "Deadline-Ms: %d\r\n%s%s%s%s%s\r\n%s",
	    method, target, id, deadline_ms,
	    key != NULL ? "Authorization: Token " : "", key != NULL ? key : "",
	    key != NULL ? "\r\n" : "", extra != NULL ? extra : "",
	    has_body ? "Content-Length: 5\r\n" : "", has_body ? "order" : "");
}
