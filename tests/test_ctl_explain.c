#include "harness.h"

#include <string.h>
#include <unistd.h>

#include "ctl.h"

/* Two nodes, out of order, with text of a collector before the lines. */
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
 * Runs the command on the lines and returns what it prints.
 */
static enum ctl_exit
explain(const char *id, char *out, size_t size)
{
	static const struct ctl_command *const commands[] = {
	    &ctl_explain_command, NULL};
	const struct ctl_options options = {.timeout_usec = LOOP_USEC_PER_SEC};
	char path[] = "/tmp/explain-XXXXXX";
	char word[] = "explain";
	char name[16];
	char *words[] = {word, name, path, NULL};
	int fd = mkstemp(path);
	int saved = dup(STDOUT_FILENO);
	FILE *print = tmpfile();
	enum ctl_exit result;
	struct loop *loop;
	struct ctl *ctl;
	size_t len;

	snprintf(name, sizeof(name), "%s", id);
	ck_assert_int_eq(
	    write(fd, logs, sizeof(logs) - 1), (ssize_t)sizeof(logs) - 1);
	close(fd);
	ck_assert_int_eq(loop_create(&loop), STATUS_OK);
	ck_assert_int_eq(ctl_create(loop, &options, &ctl), STATUS_OK);
	fflush(stdout);
	dup2(fileno(print), STDOUT_FILENO);
	result = ctl_run(ctl, commands, 3, words);
	fflush(stdout);
	dup2(saved, STDOUT_FILENO);
	close(saved);
	rewind(print);
	len = fread(out, 1, size - 1, print);
	out[len] = '\0';
	fclose(print);
	unlink(path);
	ctl_destroy(ctl);
	loop_destroy(loop);
	return result;
}

/* Guards the order of the story and what belongs to it. */
START_TEST(story_is_in_order_and_of_its_node)
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

/* Guards against silence about a request that is in no line. */
START_TEST(unknown_request_is_said)
{
	char out[4096];

	ck_assert_int_eq(explain("r9", out, sizeof(out)), CTL_EXIT_UNKNOWN);
}
END_TEST

HARNESS_MAIN(
    "ctl_explain", story_is_in_order_and_of_its_node, unknown_request_is_said)
