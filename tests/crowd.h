#ifndef CH_TEST_CROWD_H
#define CH_TEST_CROWD_H

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <glib.h>

#include "child.h"

/* Memory of the machine on which a program is told to run, and its limit of
 * descriptors. Each load holds several times as much. */
#define CROWD_MEMORY_MB 64
#define CROWD_MEMORY_TEXT "64"
#define CROWD_DESCRIPTORS 400
#define CROWD_CLIENTS_MAX 1000
/* A client that cannot write for this many rounds of the loop sends no more. */
#define CROWD_BLOCKED_ROUNDS_MAX 200

/* Clients of a program that do not complete their requests or do not read the
 * answers. */
struct crowd {
	struct loop *loop;
	char address[64];
	int sockets[CROWD_CLIENTS_MAX];
	unsigned int count;
};

/*
 * Runs the loop of the test for some rounds.
 */
static inline void
crowd_run(struct crowd *crowd, int rounds)
{
	for (int i = 0; i < rounds; i++)
		loop_run_once(
		    crowd->loop, loop_now(crowd->loop) + LOOP_USEC_PER_MSEC);
}

/*
 * Limits the memory and descriptors of the programs that are started from now
 * on. The setting is passed by the environment, which programs without it
 * ignore.
 */
static inline void
crowd_limit(struct rlimit *saved)
{
	struct rlimit limited;

	setenv("CHESTNUTHOIST_MEMORY_MB", CROWD_MEMORY_TEXT, 1);
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, saved), 0);
	limited = *saved;
	limited.rlim_cur = CROWD_DESCRIPTORS;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limited), 0);
}

/*
 * Ends the limits.
 */
static inline void
crowd_restore(const struct rlimit *saved)
{
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, saved), 0);
	unsetenv("CHESTNUTHOIST_MEMORY_MB");
}

/*
 * Starts a program with limited memory and descriptors.
 */
static inline void
crowd_start_child(struct child *child, struct loop *loop, const char *path,
    const char *const *args)
{
	struct rlimit saved;

	crowd_limit(&saved);
	child_start(child, loop, path, args);
	crowd_restore(&saved);
}

/*
 * Connects a client. Its receive buffer is small, so that answers that it does
 * not read stay with the program.
 */
static inline int
crowd_connect(struct crowd *crowd)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(crowd->address, ':');
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int size = 4096;

	ck_assert_int_ge(fd, 0);
	ck_assert_uint_lt(crowd->count, CROWD_CLIENTS_MAX);
	snprintf(host, sizeof(host), "%.*s", (int)(colon - crowd->address),
	    crowd->address);
	ck_assert_int_eq(inet_pton(AF_INET, host, &address.sin_addr), 1);
	address.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		ck_assert_int_eq(errno, EINPROGRESS);
	crowd->sockets[crowd->count++] = fd;
	return fd;
}

/*
 * Sends bytes while the loop runs. Returns false if the program has closed the
 * connection or does not read.
 */
static inline bool
crowd_send(struct crowd *crowd, int fd, const char *bytes, size_t len)
{
	int blocked = 0;

	while (len > 0 && blocked < CROWD_BLOCKED_ROUNDS_MAX) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n > 0) {
			bytes += n;
			len -= (size_t)n;
			blocked = 0;
		} else if (n < 0 && errno == EAGAIN) {
			blocked++;
			crowd_run(crowd, 1);
		} else {
			return false;
		}
	}
	return len == 0;
}

/*
 * Sends a text.
 */
static inline void
crowd_send_text(struct crowd *crowd, int fd, const char *text)
{
	crowd_send(crowd, fd, text, strlen(text));
}

/*
 * Connects silent clients and some that send half a head. Of each six one
 * closes and one resets its connection.
 */
static inline void
crowd_connect_silent(struct crowd *crowd, unsigned int clients)
{
	const struct linger reset = {.l_onoff = 1};

	for (unsigned int i = 0; i < clients; i++) {
		int fd = crowd_connect(crowd);

		if (i % 3 == 0)
			crowd_send_text(crowd, fd, "GET /ready HTTP/1.1\r\nX-");
		crowd_run(crowd, 1);
		if (i % 6 > 1)
			continue;
		if (i % 6 == 1)
			setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		close(fd);
		crowd->count--;
	}
	crowd_run(crowd, 50);
}

/*
 * Closes the connections of all clients.
 */
static inline void
crowd_close(struct crowd *crowd)
{
	while (crowd->count > 0)
		close(crowd->sockets[--crowd->count]);
}

/*
 * Returns the most memory that a program has used, in bytes.
 */
static inline size_t
crowd_peak_bytes(const struct child *child)
{
	static const char name[] = "VmHWM:";
	char path[64];
	char line[256];
	size_t kilobytes = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%ld/status", (long)child->pid);
	file = fopen(path, "r");
	ck_assert_ptr_nonnull(file);
	while (fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, name, strlen(name)) == 0)
			kilobytes = strtoul(line + strlen(name), NULL, 10);
	}
	fclose(file);
	return kilobytes * 1024;
}

/*
 * Returns the number of open descriptors of a program.
 */
static inline unsigned int
crowd_descriptor_count(const struct child *child)
{
	char path[64];
	unsigned int count = 0;
	const struct dirent *entry;
	DIR *dir;

	snprintf(path, sizeof(path), "/proc/%ld/fd", (long)child->pid);
	dir = opendir(path);
	ck_assert_ptr_nonnull(dir);
	while ((entry = readdir(dir)) != NULL)
		count += entry->d_name[0] != '.';
	closedir(dir);
	return count;
}

/*
 * Checks that a program is alive and within its memory and descriptors. The
 * bound on memory is not checked under AddressSanitizer, whose allocator
 * retains freed memory.
 */
static inline void
crowd_check_bounds(const struct child *child)
{
	size_t peak;
	int status;

	ck_assert_msg(waitpid(child->pid, &status, WNOHANG) == 0,
	    "the program has ended with status %d", status);
	peak = crowd_peak_bytes(child);
	ck_assert_uint_gt(peak, 0);
	fprintf(stderr, "memory: %zu bytes, descriptors: %u\n", peak,
	    crowd_descriptor_count(child));
#ifndef __SANITIZE_ADDRESS__
	ck_assert_msg(peak < (size_t)CROWD_MEMORY_MB * 1000 * 1000,
	    "the program has used %zu bytes of memory", peak);
#endif
	ck_assert_uint_lt(crowd_descriptor_count(child), CROWD_DESCRIPTORS);
}

#endif
