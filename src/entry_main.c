#include <stdio.h>
#include <stdlib.h>

#include "entry.h"
#include "log.h"

#define PROGRAM "chestnuthoist-entry"
#define ADDRESSES_TEXT_MAX 80
#define VALIDITY_MAX_MS 600000

/*
 * Returns the state of the entry for the admin server.
 */
static json_t *
on_dump(void *arg)
{
	return entry_dump(arg);
}

/*
 * Returns whether the entry is ready, for the admin server.
 */
static bool
on_ready(void *arg)
{
	return entry_is_ready(arg);
}

/*
 * Starts the graceful shutdown.
 */
static void
on_drain(void *arg)
{
	entry_drain(arg);
}

/*
 * Reports the addresses of the process once its ports are open.
 */
static enum status
report_addresses(const struct proc *proc, const struct entry *entry)
{
	char addresses[ADDRESSES_TEXT_MAX];

	snprintf(addresses, sizeof(addresses), "http=%s", entry_address(entry));
	return proc_report_started(proc, addresses);
}

/*
 * Creates the entry and runs the event loop until it is stopped.
 */
static enum status
serve(struct proc *proc, const struct setting *settings)
{
	struct entry_config config = {
	    .http_address = settings_get(settings, "http-address")->text,
	    .syncd_address = settings_get(settings, "syncd-address")->text,
	    .validity_usec =
		settings_get(settings, "address-validity-ms")->number *
		LOOP_USEC_PER_MSEC,
	    .drain_extra_usec =
		settings_get(settings, "drain-extra-ms")->number *
		LOOP_USEC_PER_MSEC};
	struct entry *entry = NULL;
	enum status status = entry_create(proc, &config, &entry);

	if (status == STATUS_OK)
		status = report_addresses(proc, entry);
	if (status == STATUS_OK) {
		proc_set_arg(proc, entry);
		loop_run(proc->loop);
		log_event(EV_STOPPED, "draining=%d", (int)proc->draining);
	}
	entry_destroy(entry);
	return status;
}

/*
 * Reads the settings and runs the entry.
 */
int
main(int argc, char **argv)
{
	static struct proc_ops ops = {on_dump, on_ready, on_drain};
	struct setting *settings = (struct setting[]){PROC_SETTINGS,
	    {"http-address", SETTING_ADDRESS, "127.0.0.1:0", 0, 0,
		"Address for callers", false, NULL, 0},
	    {"syncd-address", SETTING_ADDRESS, NULL, 0, 0,
		"Address of the syncd of this node", true, NULL, 0},
	    {"address-validity-ms", SETTING_INT, "10000", 100, VALIDITY_MAX_MS,
		"How long callers may use an address response", false, NULL, 0},
	    {"drain-extra-ms", SETTING_INT, "6000", 0, VALIDITY_MAX_MS,
		"Extra wait after address-validity-ms before a drain "
		"closes the port",
		false, NULL, 0},
	    {0}};
	struct proc *proc = NULL;
	enum status status;
	int code = proc_parse_settings(settings, PROGRAM,
	    "Accepts callers' requests and streams the responses.", &argc,
	    &argv);

	if (code >= 0)
		return code;
	status =
	    proc_create(settings, PROGRAM, CH__ROLE__ROLE_ENTRY, &ops, &proc);
	if (status == STATUS_OK)
		status = serve(proc, settings);
	if (status != STATUS_OK)
		log_event(EV_START_FAILED, "%s", status_message());
	proc_destroy(proc);
	settings_free(settings);
	return status == STATUS_OK ? PROC_EXIT_OK : PROC_EXIT_FAILED;
}
