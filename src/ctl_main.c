#include <signal.h>

#include <sodium.h>

#include "ctl.h"

#define TIMEOUT_MIN_MSEC 100
#define TIMEOUT_MAX_MSEC 3600000

static struct setting settings[] = {
    {"syncd", SETTING_ADDRESS, NULL, 0, 0, "Operator HTTP address of any syncd",
	false, NULL, 0},
    {"inventory", SETTING_TEXT, NULL, 1, 0, "JSON file with the inventory",
	false, NULL, 0},
    {"rules", SETTING_TEXT, NULL, 1, 0, "JSON file with the rules", false, NULL,
	0},
    {"base", SETTING_TEXT, NULL, 1, 20,
	"Revision that the change is based on, or 'current'", false, NULL, 0},
    {"node", SETTING_TEXT, NULL, 1, 63, "Node whose record is read", false,
	NULL, 0},
    {"timeout-ms", SETTING_INT, "30000", TIMEOUT_MIN_MSEC, TIMEOUT_MAX_MSEC,
	"Timeout of the whole command", false, NULL, 0},
    {NULL, SETTING_TEXT, NULL, 0, 0, NULL, false, NULL, 0}};

static const struct ctl_command *const commands[] = {&ctl_apply_command,
    &ctl_show_command, &ctl_status_command, &ctl_record_verify_command,
    &ctl_record_explain_command, &ctl_explain_command,
    &ctl_order_verify_command, &ctl_order_compare_command, NULL};

static const char usage[] = "COMMAND [ARGUMENT...]";
static const char summary[] =
    "Operates a chestnuthoist cluster. Commands:\n"
    "  apply --inventory FILE --rules FILE --base REVISION|current\n"
    "  show\n"
    "  status\n"
    "  record verify --node NODE\n"
    "  record explain --node NODE REQUEST REQUEST\n"
    "  explain REQUEST FILE   (FILE holds node logs; - reads standard input)\n"
    "  order verify FILE\n"
    "  order compare REQUEST REQUEST FILE";

/*
 * Runs the command given by the command line.
 */
static enum ctl_exit
run(int argc, char **argv)
{
	const struct ctl_options options = {
	    .syncd = settings_get(settings, "syncd")->text,
	    .inventory = settings_get(settings, "inventory")->text,
	    .rules = settings_get(settings, "rules")->text,
	    .base = settings_get(settings, "base")->text,
	    .node = settings_get(settings, "node")->text,
	    .timeout_usec = settings_get(settings, "timeout-ms")->number *
		LOOP_USEC_PER_MSEC};
	enum ctl_exit result = CTL_EXIT_FAILED;
	struct loop *loop = NULL;
	struct ctl *ctl = NULL;

	if (loop_create(&loop) == STATUS_OK &&
	    ctl_create(loop, &options, &ctl) == STATUS_OK)
		result = ctl_run(ctl, commands, argc - 1, argv + 1);
	else
		ctl_error("%s", status_message());
	ctl_destroy(ctl);
	loop_destroy(loop);
	return result;
}

/*
 * Reads the flags and runs the command.
 */
int
main(int argc, char **argv)
{
	enum ctl_exit result;

	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0) {
		ctl_error("libsodium failed to initialise");
		return CTL_EXIT_FAILED;
	}
	if (settings_parse(settings, summary, usage, &argc, &argv) !=
	    STATUS_OK) {
		ctl_error("%s", status_message());
		return CTL_EXIT_USAGE;
	}
	result = run(argc, argv);
	settings_free(settings);
	return (int)result;
}
