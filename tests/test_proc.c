#include "harness.h"

#include <string.h>
#include <unistd.h>

#include "proc.h"

#define PATH_BYTES 128
#define LINE_BYTES 256

static json_t *
dump(void *arg)
{
	(void)arg;
	return json_object();
}

static bool
ready(void *arg)
{
	(void)arg;
	return true;
}

static void
drain(void *arg)
{
	(void)arg;
}

/* Guards against a port file that lacks the addresses in use. */
START_TEST(port_file_holds_all_addresses)
{
	static struct proc_ops ops = {dump, ready, drain};
	struct setting settings[] = {PROC_SETTINGS, {0}};
	char option[PATH_BYTES];
	char key[] =
	    "--cluster-key="
	    "0123456789012345678901234567890123456789012345678901234567890123";
	char *args[] = {"test", "--node=n1", "--place=heredia",
	    "--region=valle-central", option, key, NULL};
	char **argv = args;
	int argc = 6;
	char line[LINE_BYTES] = "";
	char wanted[LINE_BYTES];
	struct proc *proc = NULL;
	FILE *file;

	snprintf(option, sizeof(option), "--port-file=build/test_proc-%ld",
	    (long)getpid());
	ck_assert_int_eq(
	    settings_parse(settings, "", NULL, &argc, &argv), STATUS_OK);
	ck_assert_int_eq(
	    proc_create(settings, "test", CH__ROLE__ROLE_ENTRY, &ops, &proc),
	    STATUS_OK);
	ck_assert_int_eq(
	    proc_report_started(proc, "http=127.0.0.1:1"), STATUS_OK);
	file = fopen(strchr(option, '=') + 1, "r");
	ck_assert_ptr_nonnull(file);
	ck_assert_ptr_nonnull(fgets(line, sizeof(line), file));
	fclose(file);
	unlink(strchr(option, '=') + 1);
	snprintf(wanted, sizeof(wanted),
	    "http=127.0.0.1:1 admin=127.0.0.1:%u\n", httpd_port(proc->admin));
	ck_assert_str_eq(line, wanted);
	proc_destroy(proc);
	settings_free(settings);
}
END_TEST

HARNESS_MAIN("proc", port_file_holds_all_addresses)
