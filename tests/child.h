#ifndef CH_TEST_CHILD_H
#define CH_TEST_CHILD_H

#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

#define CHILD_ARGS_MAX 32

extern char **environ;

/* A program started by a test: a binary of the project or a fake. */
struct child {
	pid_t pid;
	char port_file[128];
	/* First line of the port file. */
	char line[512];
};

/*
 * Reads the port file of a child. Returns false while there is none.
 */
static inline bool
child_is_ready(void *arg)
{
	struct child *child = arg;
	FILE *file = fopen(child->port_file, "r");
	bool read;

	if (file == NULL)
		return false;
	read = fgets(child->line, sizeof(child->line), file) != NULL;
	fclose(file);
	return read;
}

/*
 * Starts BUILD/<path> with --port-file and the given arguments, which end with
 * NULL, and waits until the program has written its port file.
 */
static inline void
child_start(struct child *child, struct loop *loop, const char *path,
    const char *const *args)
{
	const char *build = getenv("BUILD") ? getenv("BUILD") : "build";
	static unsigned int count;
	char program[256];
	char option[160];
	char *argv[CHILD_ARGS_MAX];
	int n = 0;

	memset(child, 0, sizeof(*child));
	snprintf(child->port_file, sizeof(child->port_file),
	    "%s/tests/port-%ld-%u", build, (long)getpid(), ++count);
	unlink(child->port_file);
	snprintf(program, sizeof(program), "%s/%s", build, path);
	snprintf(option, sizeof(option), "--port-file=%s", child->port_file);
	argv[n++] = program;
	while (*args != NULL && n < CHILD_ARGS_MAX - 2)
		argv[n++] = (char *)*args++;
	argv[n++] = option;
	argv[n] = NULL;
	ck_assert_int_eq(
	    posix_spawn(&child->pid, program, NULL, NULL, argv, environ), 0);
	ck_assert(harness_wait(loop, child_is_ready, child));
	child->line[strcspn(child->line, "\n")] = '\0';
	unlink(child->port_file);
}

/*
 * Copies the address after a name such as "http=" from the port file.
 */
static inline void
child_address(
    const struct child *child, const char *name, char *out, size_t size)
{
	const char *at = strstr(child->line, name);

	ck_assert_ptr_nonnull(at);
	at += strlen(name);
	snprintf(out, size, "%.*s", (int)strcspn(at, " "), at);
}

/*
 * Kills a child and waits until it has exited.
 */
static inline void
child_kill(struct child *child)
{
	if (child->pid <= 0)
		return;
	kill(child->pid, SIGKILL);
	waitpid(child->pid, NULL, 0);
	child->pid = 0;
}

#endif
