#include "harness.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "ctl.h"

/* Lines of two nodes, not sorted by time; a collector put text before some. */
static const char logs[] =
    "c1 {\"time\":\"2026-01-01T00:00:02.500Z\",\"node\":\"n1\",\"event\":642,"
    "\"name\":\"request-failed\",\"id\":\"r1\",\"status\":502}\n"
    "c1 {\"time\":\"2026-01-01T00:00:01.000Z\",\"node\":\"n1\",\"event\":646,"
    "\"name\":\"request-started\",\"id\":\"r1\",\"order\":7}\n"
    "not a line of ours\n"
    "{\"time\":\"2026-01-01T00:00:01.900Z\",\"node\":\"n1\",\"event\":612,"
    "\"name\":\"server-avoided\",\"server\":\"i-1\"}\n"
    "{\"time\":\"2026-01-01T00:00:01.901Z\",\"node\":\"n2\",\"event\":612,"
    "\"name\":\"server-avoided\",\"server\":\"i-other\"}\n"
    "{\"time\":\"2026-01-01T00:00:09.000Z\",\"node\":\"n1\",\"event\":604,"
    "\"name\":\"store-lost\"}\n";

/*
 * Runs a command with a file that holds the log as its last argument, and
 * stores its standard output in out.
 */
static enum ctl_exit
run_on_log(const char *text, const char *command, const char *first,
    const char *second, char *out, size_t size)
{
	static const struct ctl_command *const commands[] = {
	    &ctl_explain_command, &ctl_order_verify_command,
	    &ctl_order_compare_command, NULL};
	const struct ctl_options options = {.timeout_usec = LOOP_USEC_PER_SEC};
	char path[] = "/tmp/explain-XXXXXX";
	char **parts = g_strsplit(command, " ", -1);
	char *words[6];
	int count = 0;
	int fd = mkstemp(path);
	int saved_stdout = dup(STDOUT_FILENO);
	FILE *captured = tmpfile();
	enum ctl_exit result;
	struct loop *loop;
	struct ctl *ctl;
	size_t len;

	for (char **part = parts; *part != NULL; part++)
		words[count++] = *part;
	if (first != NULL)
		words[count++] = (char *)first;
	if (second != NULL)
		words[count++] = (char *)second;
	words[count++] = path;
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	ck_assert_int_eq(loop_create(&loop), STATUS_OK);
	ck_assert_int_eq(ctl_create(loop, &options, &ctl), STATUS_OK);
	fflush(stdout);
	dup2(fileno(captured), STDOUT_FILENO);
	result = ctl_run(ctl, commands, count, words);
	fflush(stdout);
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	rewind(captured);
	len = fread(out, 1, size - 1, captured);
	out[len] = '\0';
	fclose(captured);
	unlink(path);
	ctl_destroy(ctl);
	loop_destroy(loop);
	g_strfreev(parts);
	return result;
}

/*
 * Explains a request.
 */
static enum ctl_exit
explain(const char *id, char *out, size_t size)
{
	return run_on_log(logs, "explain", id, NULL, out, size);
}

/*
 * Guards against a history that is not sorted by time, or that has events of
 * other nodes or later times.
 */
START_TEST(history_is_sorted_and_limited_to_its_node)
{
	char out[4096];
	const char *start;
	const char *avoided;
	const char *failed;

	ck_assert_int_eq(explain("r1", out, sizeof(out)), CTL_EXIT_OK);
	start = strstr(out, "request-started order=7");
	avoided = strstr(out, "server-avoided server=\"i-1\"");
	failed = strstr(out, "+1500 ms");
	ck_assert_ptr_nonnull(start);
	ck_assert_ptr_nonnull(avoided);
	ck_assert_ptr_nonnull(failed);
	ck_assert(start < avoided && avoided < failed);
	ck_assert_ptr_null(strstr(out, "i-other"));
	ck_assert_ptr_null(strstr(out, "store-lost"));
}
END_TEST

/* Guards against success for a request that the log does not contain. */
START_TEST(unknown_request_is_reported)
{
	char out[4096];

	ck_assert_int_eq(explain("r9", out, sizeof(out)), CTL_EXIT_UNKNOWN);
}
END_TEST

/* Two requests of one node and one of another; one line is missing. */
static const char starts[] =
    "{\"time\":\"2026-01-01T00:00:00.000Z\",\"node\":\"n1\","
    "\"name\":\"node-started\"}\n"
    "{\"time\":\"2026-01-01T00:00:01.000Z\",\"node\":\"n1\","
    "\"name\":\"request-started\",\"id\":\"b\",\"order\":4,"
    "\"organisation\":\"late\",\"priority\":5,\"waited_ms\":70,"
    "\"reason\":\"first in its class and share\"}\n"
    "{\"time\":\"2026-01-01T00:00:01.000Z\",\"node\":\"n1\","
    "\"name\":\"request-started\",\"id\":\"a\",\"order\":2,"
    "\"organisation\":\"early\",\"priority\":1,\"waited_ms\":0,"
    "\"reason\":\"room at arrival\"}\n"
    "{\"time\":\"2026-01-01T00:00:03.000Z\",\"node\":\"n2\","
    "\"name\":\"request-started\",\"id\":\"c\",\"order\":1,"
    "\"organisation\":\"early\",\"priority\":1,\"waited_ms\":0,"
    "\"reason\":\"room at arrival\"}\n";

/* Guards against a wrong order of two requests, or a missing reason. */
START_TEST(two_requests_are_compared)
{
	char out[4096];

	ck_assert_int_eq(
	    run_on_log(starts, "order compare", "b", "a", out, sizeof(out)),
	    CTL_EXIT_OK);
	ck_assert_int_eq(strncmp(out, "a: place 2 of n1", 16), 0);
	ck_assert_ptr_nonnull(strstr(out, "\nb: place 4 of n1"));
	ck_assert_ptr_nonnull(strstr(out, "first in its class and share"));
	ck_assert_ptr_null(strstr(out, "Two nodes"));
	ck_assert_int_eq(
	    run_on_log(starts, "order compare", "c", "a", out, sizeof(out)),
	    CTL_EXIT_OK);
	ck_assert_int_eq(strncmp(out, "a: place 2 of n1", 16), 0);
	ck_assert_ptr_nonnull(strstr(out, "Two nodes"));
	ck_assert_int_eq(run_on_log(starts, "order compare", "a", "nobody", out,
			     sizeof(out)),
	    CTL_EXIT_UNKNOWN);
}
END_TEST

/*
 * Guards against a wrong verification of the service order: missing lines are
 * counted, a repeated position is an error, and a new process starts at 1.
 */
START_TEST(positions_are_verified)
{
	char out[4096];
	char *repeated_position = g_strconcat(starts,
	    "{\"time\":\"2026-01-01T00:00:04.000Z\",\"node\":\"n1\","
	    "\"name\":\"request-started\",\"id\":\"d\",\"order\":4}\n",
	    NULL);
	char *restarted = g_strconcat(starts,
	    "{\"time\":\"2026-01-01T00:00:04.000Z\",\"node\":\"n1\","
	    "\"name\":\"node-started\"}\n"
	    "{\"time\":\"2026-01-01T00:00:05.000Z\",\"node\":\"n1\","
	    "\"name\":\"request-started\",\"id\":\"d\",\"order\":1}\n",
	    NULL);

	ck_assert_int_eq(
	    run_on_log(starts, "order verify", NULL, NULL, out, sizeof(out)),
	    CTL_EXIT_OK);
	ck_assert_ptr_nonnull(
	    strstr(out, "n1: places 2 to 4, 1 without a line, 0 not in order"));
	ck_assert_int_eq(run_on_log(repeated_position, "order verify", NULL,
			     NULL, out, sizeof(out)),
	    CTL_EXIT_RECORD);
	ck_assert_int_eq(
	    run_on_log(restarted, "order verify", NULL, NULL, out, sizeof(out)),
	    CTL_EXIT_OK);
	ck_assert_ptr_nonnull(strstr(out, "n1: places 1 to 1, 0 without"));
	ck_assert_int_eq(run_on_log("no line\n", "order verify", NULL, NULL,
			     out, sizeof(out)),
	    CTL_EXIT_UNKNOWN);
	g_free(repeated_position);
	g_free(restarted);
}
END_TEST

HARNESS_MAIN("ctl_explain", history_is_sorted_and_limited_to_its_node,
    unknown_request_is_reported, two_requests_are_compared,
    positions_are_verified)
