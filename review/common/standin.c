#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "standin.h"

#define NODES_MAX 16
#define KEYS_MAX 256
#define HISTORY_MAX 4096
#define METRICS_PORT "9464"

static struct timespec started;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int net_a, net_b;
static char folder[64];
static struct node *nodes[NODES_MAX];
static int node_count;

int64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - started.tv_sec) * 1000 +
	    (t.tv_nsec - started.tv_nsec) / 1000000;
}

void
sleep_ms(int64_t ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	while (ms > 0 && nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void
record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f  ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

struct sockaddr_in
loopback(int host, int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};

	a.sin_addr.s_addr =
	    htonl(127u << 24 | (unsigned)net_a << 16 | (unsigned)net_b << 8 |
		(unsigned)host);
	return a;
}

const char *
address_text(const struct sockaddr_in *a, char out[32])
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &a->sin_addr, ip, sizeof(ip));
	snprintf(out, 32, "%s:%d", ip, ntohs(a->sin_port));
	return out;
}

void
standin_init(const char *record_path)
{
	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_MONOTONIC, &started);
	record_file = fopen(record_path, "w");
	snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
	if (record_file == NULL || mkdtemp(folder) == NULL)
		exit(2);
	/* A network of its own for each run keeps the fixed ports free. */
	net_a = 16 + getpid() / 200 % 200;
	net_b = 16 + getpid() % 200;
}

bool
send_all(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

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
send_text(int fd, const char *format, ...)
{
	char *text;
	va_list args;
	int len;
	bool ok;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	ok = len >= 0 && send_all(fd, text, (size_t)len);
	free(text);
	return ok;
}

int
connect_to(const struct sockaddr_in *a)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (connect(fd, (const struct sockaddr *)a, sizeof(*a)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static bool
fill(struct http *h)
{
	ssize_t n;

	if (h->start == h->end)
		h->start = h->end = 0;
	if (h->end == sizeof(h->buffer))
		return false;
	do
		n = recv(h->fd, h->buffer + h->end, sizeof(h->buffer) - h->end,
		    0);
	while (n < 0 && errno == EINTR);
	if (n > 0)
		h->end += (size_t)n;
	return n > 0;
}

ssize_t
http_read(struct http *h, char *out, size_t max)
{
	ssize_t n;

	if (h->end > h->start) {
		n = (ssize_t)(h->end - h->start);
		if ((size_t)n > max)
			n = (ssize_t)max;
		memcpy(out, h->buffer + h->start, (size_t)n);
		h->start += (size_t)n;
		return n;
	}
	do
		n = recv(h->fd, out, max, 0);
	while (n < 0 && errno == EINTR);
	return n;
}

bool
http_read_line(struct http *h, char *out, size_t max)
{
	size_t len = 0;
	char c;

	while (http_read(h, &c, 1) == 1) {
		if (c == '\n') {
			if (len > 0 && out[len - 1] == '\r')
				len--;
			out[len] = '\0';
			return true;
		}
		if (len + 1 < max)
			out[len++] = c;
	}
	return false;
}

bool
http_read_head(struct http *h, struct message *m)
{
	m->body = NULL;
	m->body_len = 0;
	for (;;) {
		char *from = h->buffer + h->start;
		size_t len = h->end - h->start;
		char *end = memmem(from, len, "\r\n\r\n", 4);

		if (end != NULL) {
			size_t n = (size_t)(end - from) + 4;

			if (n >= HEAD_MAX)
				return false;
			memcpy(m->head, from, n);
			m->head[n] = '\0';
			h->start += n;
			return true;
		}
		if (h->start > 0) {
			memmove(h->buffer, from, len);
			h->start = 0;
			h->end = len;
		}
		if (!fill(h))
			return false;
	}
}

bool
header(const struct message *m, const char *name, char *out, size_t max)
{
	size_t len = strlen(name);
	const char *line = strstr(m->head, "\r\n");

	while (line != NULL && line[2] != '\r' && line[2] != '\0') {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			const char *value = line + len + 1;
			const char *end = strstr(value, "\r\n");
			size_t n;

			while (*value == ' ')
				value++;
			n = (size_t)(end - value);
			if (n >= max)
				n = max - 1;
			memcpy(out, value, n);
			out[n] = '\0';
			return true;
		}
		line = strstr(line, "\r\n");
	}
	out[0] = '\0';
	return false;
}

bool
http_read_body(struct http *h, struct message *m)
{
	char text[32];
	size_t want;

	if (!header(m, "Content-Length", text, sizeof(text)))
		return true;
	want = (size_t)strtoull(text, NULL, 10);
	m->body = malloc(want + 1);
	while (m->body_len < want) {
		ssize_t n = http_read(
		    h, m->body + m->body_len, want - m->body_len);

		if (n <= 0)
			return false;
		m->body_len += (size_t)n;
	}
	m->body[want] = '\0';
	return true;
}

struct listener {
	int fd;
	void (*fn)(struct http *, void *);
	void *arg;
};

struct session {
	struct http http;
	struct listener *listener;
};

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t thread;
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, fn, arg) != 0)
		exit(2);
	pthread_detach(thread);
}

static void *
run_session(void *arg)
{
	struct session *s = arg;

	s->listener->fn(&s->http, s->listener->arg);
	close(s->http.fd);
	free(s);
	return NULL;
}

static void *
run_listener(void *arg)
{
	struct listener *l = arg;

	for (;;) {
		int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		int on = 1;
		struct session *s;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		s = calloc(1, sizeof(*s));
		s->http.fd = fd;
		s->listener = l;
		start_thread(run_session, s);
	}
	return NULL;
}

void
serve(const struct sockaddr_in *a, void (*fn)(struct http *, void *), void *arg)
{
	struct listener *l = calloc(1, sizeof(*l));
	int on = 1;

	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	l->fn = fn;
	l->arg = arg;
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->fd, (const struct sockaddr *)a, sizeof(*a)) != 0 ||
	    listen(l->fd, 128) != 0) {
		perror("listen");
		exit(2);
	}
	start_thread(run_listener, l);
}

/* The store. */

struct entry {
	char key[208];
	char *value; /* base64; NULL: deleted */
	uint64_t revision;
	uint64_t created;
	int64_t lease;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static struct entry keys[KEYS_MAX];
static int key_count;
static struct entry history[HISTORY_MAX];
static int history_count;
static uint64_t revision = 100;
static int64_t next_lease = 7000;
static struct lease {
	int64_t id;
	int64_t ttl;
	int64_t ends_at;
} leases[1024];
static int lease_count;
/* Rises with each restore; stated in all answers. */
static int era = 1;
static bool away;
static struct entry copy_keys[KEYS_MAX];
static int copy_key_count;
static uint64_t copy_revision;
static struct lease copy_leases[1024];
static int copy_lease_count;

static struct entry *
find_key(const char *key)
{
	for (int i = 0; i < key_count; i++) {
		if (strcmp(keys[i].key, key) == 0)
			return &keys[i];
	}
	return NULL;
}

/* Applies one change at the current revision; value NULL removes the key. */
static void
apply(const char *key, const char *value, int64_t lease)
{
	struct entry *e = find_key(key);

	if (e == NULL) {
		if (value == NULL)
			return;
		if (key_count == KEYS_MAX)
			exit(2);
		e = &keys[key_count++];
		memset(e, 0, sizeof(*e));
		snprintf(e->key, sizeof(e->key), "%s", key);
	}
	if (e->value == NULL)
		e->created = revision;
	e->value = value ? strdup(value) : NULL;
	e->revision = revision;
	e->lease = lease;
	if (history_count == HISTORY_MAX)
		exit(2);
	history[history_count++] = *e;
	pthread_cond_broadcast(&store_changed);
}

static struct lease *
find_lease(int64_t id)
{
	for (int i = 0; i < lease_count; i++) {
		if (leases[i].id == id && leases[i].ends_at != 0)
			return &leases[i];
	}
	return NULL;
}

static void *
run_leases(void *arg)
{
	(void)arg;
	for (;;) {
		sleep_ms(10);
		pthread_mutex_lock(&store_lock);
		for (int i = 0; i < lease_count; i++) {
			if (leases[i].ends_at == 0 ||
			    leases[i].ends_at > now_ms())
				continue;
			leases[i].ends_at = 0;
			for (int k = 0; k < key_count; k++) {
				if (keys[k].value == NULL ||
				    keys[k].lease != leases[i].id)
					continue;
				revision++;
				apply(keys[k].key, NULL, 0);
			}
		}
		pthread_mutex_unlock(&store_lock);
	}
	return NULL;
}

static char *
base64(const char *text)
{
	static const char digits[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len / 3 * 4 + 8);
	char *to = out;

	for (size_t i = 0; i < len; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (unsigned)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)text[i + 2];
		*to++ = digits[v >> 18];
		*to++ = digits[v >> 12 & 63];
		*to++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
		*to++ = i + 2 < len ? digits[v & 63] : '=';
	}
	*to = '\0';
	return out;
}

void
store_put(const char *key, const char *value)
{
	char *text = base64(value);

	pthread_mutex_lock(&store_lock);
	if (!away) {
		revision++;
		apply(key, text, 0);
	}
	pthread_mutex_unlock(&store_lock);
	free(text);
}

void
store_remove(const char *key)
{
	pthread_mutex_lock(&store_lock);
	revision++;
	apply(key, NULL, 0);
	pthread_mutex_unlock(&store_lock);
}

void
store_copy(void)
{
	pthread_mutex_lock(&store_lock);
	memcpy(copy_keys, keys, sizeof(keys));
	copy_key_count = key_count;
	copy_revision = revision;
	memcpy(copy_leases, leases, sizeof(leases));
	copy_lease_count = lease_count;
	pthread_mutex_unlock(&store_lock);
}

void
store_take_away(void)
{
	pthread_mutex_lock(&store_lock);
	away = true;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

void
store_restore(void)
{
	int kept = 0;

	pthread_mutex_lock(&store_lock);
	memcpy(keys, copy_keys, sizeof(keys));
	key_count = copy_key_count;
	revision = copy_revision;
	memcpy(leases, copy_leases, sizeof(leases));
	lease_count = copy_lease_count;
	for (int i = 0; i < lease_count; i++) {
		if (leases[i].ends_at != 0)
			leases[i].ends_at = now_ms() + leases[i].ttl;
	}
	while (kept < history_count && history[kept].revision <= revision)
		kept++;
	history_count = kept;
	era++;
	away = false;
	pthread_mutex_unlock(&store_lock);
}

static void
respond(struct http *h, int status, const char *body, size_t len)
{
	send_text(h->fd,
	    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
	    "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
	    status, era, len);
	send_all(h->fd, body, len);
}

static void
print_item(FILE *f, const struct entry *e, bool first)
{
	fprintf(f, "%s{\"key\":\"%s\",", first ? "" : ",", e->key);
	if (e->value == NULL)
		fprintf(f, "\"revision\":%llu,\"deleted\":true}",
		    (unsigned long long)e->revision);
	else
		fprintf(f,
		    "\"value\":\"%s\",\"revision\":%llu,\"created\":%llu,"
		    "\"lease\":%lld}",
		    e->value, (unsigned long long)e->revision,
		    (unsigned long long)e->created, (long long)e->lease);
}

static void
query(const char *head, const char *name, char *out, size_t max)
{
	char mark[32];
	const char *line_end = strstr(head, " HTTP/");
	const char *at;
	size_t n = 0;

	snprintf(mark, sizeof(mark), "%s=", name);
	out[0] = '\0';
	for (at = strchr(head, '?'); at != NULL && at < line_end;
	     at = strchr(at + 1, '&')) {
		if (strncmp(at + 1, mark, strlen(mark)) != 0)
			continue;
		at += 1 + strlen(mark);
		while (*at != '&' && *at != ' ' && n + 1 < max) {
			unsigned v;

			if (*at == '%' && sscanf(at + 1, "%2x", &v) == 1) {
				out[n++] = (char)v;
				at += 3;
			} else {
				out[n++] = *at++;
			}
		}
		out[n] = '\0';
		return;
	}
}

/* Reads the string after "name":" in a compact JSON text. */
static bool
json_text(const char *from, const char *end, const char *name, char *out,
    size_t max)
{
	char mark[48];
	const char *at;
	size_t n = 0;

	snprintf(mark, sizeof(mark), "\"%s\":\"", name);
	at = strstr(from, mark);
	if (at == NULL || at >= end)
		return false;
	for (at += strlen(mark); *at != '"' && n + 1 < max; at++) {
		if (*at == '\\')
			at++;
		out[n++] = *at;
	}
	out[n] = '\0';
	return true;
}

static int64_t
json_number(const char *from, const char *end, const char *name)
{
	char mark[48];
	const char *at;

	snprintf(mark, sizeof(mark), "\"%s\":", name);
	at = strstr(from, mark);
	return at == NULL || at >= end ? 0 : strtoll(at + strlen(mark), NULL, 10);
}

static void
handle_txn(struct http *h, const char *body)
{
	const char *pre = strstr(body, "\"precondition\":[");
	const char *write = strstr(body, "\"write\":[");
	const char *remove = strstr(body, "\"remove\":[");
	const char *end = body + strlen(body);
	char key[208];
	static __thread char value[65536];
	char text[512];

	pthread_mutex_lock(&store_lock);
	if (pre != NULL && json_text(pre, write, "key", key, sizeof(key))) {
		const struct entry *e = find_key(key);
		uint64_t now = e == NULL || e->value == NULL ? 0 : e->revision;
		uint64_t want = (uint64_t)json_number(pre, write, "revision");

		if (now != want) {
			char *out;
			size_t len;
			FILE *f = open_memstream(&out, &len);

			fprintf(f, "{\"items\":[");
			if (now != 0)
				print_item(f, e, true);
			fprintf(f, "]}");
			fclose(f);
			pthread_mutex_unlock(&store_lock);
			respond(h, 412, out, len);
			free(out);
			return;
		}
	}
	if (write != NULL && json_text(write, remove, "key", key, sizeof(key)) &&
	    json_text(write, remove, "value", value, sizeof(value))) {
		int64_t lease = json_number(write, remove, "lease");

		if (lease != 0 && find_lease(lease) == NULL) {
			pthread_mutex_unlock(&store_lock);
			respond(h, 404, "{}", 2);
			return;
		}
		revision++;
		apply(key, value, lease);
	}
	if (remove != NULL && remove[10] == '"') {
		const char *stop = strchr(remove + 11, '"');

		if (stop != NULL && stop < end) {
			snprintf(key, sizeof(key), "%.*s",
			    (int)(stop - remove - 11), remove + 11);
			revision++;
			apply(key, NULL, 0);
		}
	}
	snprintf(text, sizeof(text), "{\"revision\":%llu}",
	    (unsigned long long)revision);
	pthread_mutex_unlock(&store_lock);
	respond(h, 200, text, strlen(text));
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp((*(struct entry *const *)a)->key,
	    (*(struct entry *const *)b)->key);
}

static void
handle_range(struct http *h, const char *head)
{
	char prefix[208];
	struct entry *sorted[KEYS_MAX];
	int count = 0;
	char *out;
	size_t len;
	FILE *f = open_memstream(&out, &len);

	query(head, "prefix", prefix, sizeof(prefix));
	pthread_mutex_lock(&store_lock);
	for (int i = 0; i < key_count; i++) {
		if (keys[i].value != NULL &&
		    strncmp(keys[i].key, prefix, strlen(prefix)) == 0)
			sorted[count++] = &keys[i];
	}
	qsort(sorted, (size_t)count, sizeof(sorted[0]), compare_keys);
	fprintf(f, "{\"items\":[");
	for (int i = 0; i < count; i++)
		print_item(f, sorted[i], i == 0);
	fprintf(f, "],\"hasMore\":false,\"at\":%llu}",
	    (unsigned long long)revision);
	pthread_mutex_unlock(&store_lock);
	fclose(f);
	respond(h, 200, out, len);
	free(out);
}

static void
handle_watch(struct http *h, const char *head)
{
	char prefix[208], text[32];
	uint64_t after;
	struct timespec until;
	int64_t wait;
	char *out;
	size_t len;
	FILE *f = open_memstream(&out, &len);
	bool any = false;

	query(head, "prefix", prefix, sizeof(prefix));
	query(head, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	query(head, "waitMs", text, sizeof(text));
	wait = strtoll(text, NULL, 10);
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait / 1000;
	until.tv_nsec += wait % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&store_lock);
	if (after > revision) {
		pthread_mutex_unlock(&store_lock);
		fclose(f);
		free(out);
		respond(h, 410, "{}", 2);
		return;
	}
	while (revision <= after && !away) {
		if (pthread_cond_timedwait(
			&store_changed, &store_lock, &until) != 0)
			break;
	}
	if (away) {
		pthread_mutex_unlock(&store_lock);
		fclose(f);
		free(out);
		shutdown(h->fd, SHUT_RDWR);
		return;
	}
	fprintf(f, "{\"events\":[");
	for (int i = 0; i < history_count; i++) {
		if (history[i].revision <= after ||
		    strncmp(history[i].key, prefix, strlen(prefix)) != 0)
			continue;
		print_item(f, &history[i], !any);
		any = true;
	}
	fprintf(f, "],\"at\":%llu}", (unsigned long long)revision);
	pthread_mutex_unlock(&store_lock);
	fclose(f);
	respond(h, 200, out, len);
	free(out);
}

static void
handle_lease(struct http *h, const struct message *m)
{
	char text[128];

	pthread_mutex_lock(&store_lock);
	if (strncmp(m->head, "POST /kv-lease", 14) == 0) {
		int64_t ttl = json_number(
		    m->body, m->body + m->body_len, "ttlMs");

		if (lease_count == 1024)
			exit(2);
		leases[lease_count++] =
		    (struct lease){++next_lease, ttl, now_ms() + ttl};
		snprintf(text, sizeof(text), "{\"lease\":%lld,\"ttlMs\":%lld}",
		    (long long)next_lease, (long long)ttl);
	} else {
		struct lease *l =
		    find_lease(strtoll(strrchr(m->head + 5, '/') ?
			    strstr(m->head, "/kv-keep/") + 9 : "0",
			NULL, 10));

		if (l == NULL) {
			pthread_mutex_unlock(&store_lock);
			respond(h, 404, "{}", 2);
			return;
		}
		l->ends_at = now_ms() + l->ttl;
		snprintf(text, sizeof(text), "{\"ttlMs\":%lld}",
		    (long long)l->ttl);
	}
	pthread_mutex_unlock(&store_lock);
	respond(h, 200, text, strlen(text));
}

static void
handle_get(struct http *h, const char *head)
{
	char key[208];
	char *out;
	size_t len;
	FILE *f = open_memstream(&out, &len);
	const struct entry *e;

	query(head, "key", key, sizeof(key));
	pthread_mutex_lock(&store_lock);
	e = find_key(key);
	if (e != NULL && e->value != NULL)
		print_item(f, e, true);
	pthread_mutex_unlock(&store_lock);
	fclose(f);
	if (len > 0)
		respond(h, 200, out, len);
	else
		respond(h, 404, "{}", 2);
	free(out);
}

static void
run_store_session(struct http *h, void *arg)
{
	struct message m;

	(void)arg;
	while (!away && http_read_head(h, &m) && http_read_body(h, &m)) {
		if (away) {
			free(m.body);
			return;
		}
		if (strncmp(m.head, "GET /kv-range", 13) == 0)
			handle_range(h, m.head);
		else if (strncmp(m.head, "GET /kv-watch", 13) == 0)
			handle_watch(h, m.head);
		else if (strncmp(m.head, "GET /kv-key", 11) == 0)
			handle_get(h, m.head);
		else if (strncmp(m.head, "POST /kv-txn", 12) == 0)
			handle_txn(h, m.body);
		else if (strncmp(m.head, "POST /kv-lease", 14) == 0 ||
		    strncmp(m.head, "POST /kv-keep/", 14) == 0)
			handle_lease(h, &m);
		else
			respond(h, 404, "{}", 2);
		free(m.body);
	}
}

void
store_start(const struct sockaddr_in *a)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&store_changed, &attr);
	start_thread(run_leases, NULL);
	serve(a, run_store_session, NULL);
}

/* Node processes. */

void
node_prepare(struct node *node, const char *name, int host,
    const struct sockaddr_in *store)
{
	char front[32], ready[32], look[32], where[32], ip[INET_ADDRSTRLEN];
	FILE *f;

	memset(node, 0, sizeof(*node));
	snprintf(node->name, sizeof(node->name), "%s", name);
	snprintf(node->settings, sizeof(node->settings), "%s/%s.json", folder,
	    name);
	snprintf(node->log, sizeof(node->log), "%s/%s.log", folder, name);
	node->front = loopback(host, 8227);
	node->ready = loopback(host, 8220);
	node->lookup = loopback(host, 8224);
	inet_ntop(AF_INET, &node->front.sin_addr, ip, sizeof(ip));
	f = fopen(node->settings, "w");
	/* As the platform renders platform/node.json.in. */
	fprintf(f,
	    "{\n\"revoke_ms\": 5000,\n\"config_apply_ms\": 2000,\n"
	    "\"leave_ms\": 2000,\n\"grace_s\": 8,\n\"retry_slack\": 200,\n"
	    "\"retry_ratio\": 0.2,\n\"retry_window_s\": 10,\n"
	    "\"address_validity_max_s\": 5,\n\"memory_mb\": 260,\n"
	    "\"front\": \"%s\",\n\"ready\": \"%s\",\n\"lookup\": \"%s\",\n"
	    "\"node\": \"%s\",\n\"place\": \"heredia\",\n"
	    "\"region\": \"valle-central\",\n\"ip\": \"%s\",\n"
	    "\"mesh_port\": 7340,\n\"store\": \"%s\"\n}\n",
	    address_text(&node->front, front),
	    address_text(&node->ready, ready), address_text(&node->lookup, look),
	    name, ip, address_text(store, where));
	fclose(f);
	nodes[node_count++] = node;
}

void
node_start(struct node *node)
{
	node->pid = fork();
	if (node->pid == 0) {
		int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* The node ends with this process, also if that is killed. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("CHESTNUTHOIST_NODE_FILE", node->settings, 1);
		execl("target/chestnuthoist-node", "target/chestnuthoist-node",
		    "--metrics-port", METRICS_PORT, (char *)NULL);
		_exit(127);
	}
	record("node %s started", node->name);
}

void
node_signal(struct node *node, int number)
{
	if (node->pid <= 0)
		return;
	record("node %s gets signal %d (%s)", node->name, number,
	    strsignal(number));
	kill(node->pid, number);
}

bool
node_has_ended(struct node *node)
{
	int status;

	if (node->pid <= 0)
		return true;
	if (waitpid(node->pid, &status, WNOHANG) != node->pid)
		return false;
	if (WIFSIGNALED(status))
		record("node %s was ended by signal %d", node->name,
		    WTERMSIG(status));
	else
		record("node %s has ended with code %d", node->name,
		    WEXITSTATUS(status));
	node->pid = 0;
	return true;
}

static int
get(const struct sockaddr_in *a, const char *path, struct message *m)
{
	struct http h = {.fd = connect_to(a)};
	int status = 0;

	if (h.fd < 0)
		return 0;
	send_text(h.fd, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	if (http_read_head(&h, m) && http_read_body(&h, m))
		sscanf(m->head, "HTTP/1.1 %d", &status);
	close(h.fd);
	return status;
}

bool
node_is_ready(const struct node *node)
{
	struct message m = {.body = NULL};
	int status = get(&node->ready, "/readiness", &m);

	free(m.body);
	return status == 200;
}

int
lookup(const struct node *node, struct sockaddr_in *out, int max)
{
	struct message m = {.body = NULL};
	int count = 0;

	if (get(&node->lookup,
		"/lookup?name=ficu95.example&region=valle-central&zone=heredia",
		&m) == 200) {
		const char *at = strstr(m.body, "[");

		while (at != NULL && count < max) {
			char ip[32];
			int port;

			at = strchr(at, '"');
			if (at == NULL ||
			    sscanf(at, "\"%31[0-9.]:%d\"", ip, &port) != 2)
				break;
			memset(&out[count], 0, sizeof(out[count]));
			out[count].sin_family = AF_INET;
			out[count].sin_port = htons((uint16_t)port);
			inet_pton(AF_INET, ip, &out[count].sin_addr);
			count++;
			at = strchr(at + 1, '"');
			at = at ? strchr(at, ',') : NULL;
		}
	}
	free(m.body);
	return count;
}

void
standin_end(void)
{
	char command[128];

	for (int i = 0; i < node_count; i++) {
		if (nodes[i]->pid <= 0)
			continue;
		kill(nodes[i]->pid, SIGCONT);
		kill(nodes[i]->pid, SIGKILL);
		waitpid(nodes[i]->pid, NULL, 0);
	}
	if (getenv("REVIEW_KEEP") != NULL)
		return;
	for (int i = 0; i < node_count; i++) {
		unlink(nodes[i]->settings);
		unlink(nodes[i]->log);
	}
	snprintf(command, sizeof(command), "%s", folder);
	rmdir(command);
}
