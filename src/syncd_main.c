#include <string.h>

#include <glib.h>

#include "log.h"
#include "syncd.h"

#define PROGRAM "chestnuthoist-syncd"

static struct setting settings[] = {PROC_SETTINGS,
    {"listen", SETTING_ADDRESS, "127.0.0.1:0", 0, 0,
	"Address on which frames from other processes are accepted", false,
	NULL, 0},
    {"operator-address", SETTING_ADDRESS, "127.0.0.1:0", 0, 0,
	"Address of the HTTP API for operators", false, NULL, 0},
    {"kv-address", SETTING_ADDRESS, NULL, 0, 0,
	"Address of the key-value service", true, NULL, 0},
    {"list-address", SETTING_ADDRESS, NULL, 0, 0,
	"Address of the platform's list of instances", false, NULL, 0},
    {"claim-buckets", SETTING_INT, "32", 1, 4096,
	"Number of claim buckets; must be the same on all nodes", false, NULL,
	0},
    {"claim-interval-ms", SETTING_INT, "100", 1, 60000,
	"Minimum interval between commits of a claim bucket, in milliseconds",
	false, NULL, 0},
    {"claim-slots", SETTING_INT, "512", 8, 65536,
	"Number of slots in the ring of a claim bucket; must be the same on "
	"all nodes",
	false, NULL, 0},
    {"lease-ms", SETTING_INT, "30000", 1000, 600000,
	"Duration of the membership lease, in milliseconds", false, NULL, 0},
    {"heartbeat-ms", SETTING_INT, "1000", 50, 60000,
	"Interval between heartbeats, in milliseconds", false, NULL, 0},
    {"seed-peers", SETTING_TEXT, NULL, 0, 4096,
	"Comma-separated addresses of other syncds", false, NULL, 0},
    {0}};

/*
 * Converts the parsed settings to the settings of the syncd.
 */
static void
convert_settings(struct syncd_settings *out)
{
	out->listen = settings_get(settings, "listen")->text;
	out->operator_address =
	    settings_get(settings, "operator-address")->text;
	out->kv_address = settings_get(settings, "kv-address")->text;
	out->list_address = settings_get(settings, "list-address")->text;
	out->seed_peers = settings_get(settings, "seed-peers")->text;
	out->claim_buckets =
	    (uint32_t)settings_get(settings, "claim-buckets")->number;
	out->claim_slots =
	    (uint32_t)settings_get(settings, "claim-slots")->number;
	out->claim_interval_usec =
	    settings_get(settings, "claim-interval-ms")->number *
	    LOOP_USEC_PER_MSEC;
	out->lease_usec =
	    settings_get(settings, "lease-ms")->number * LOOP_USEC_PER_MSEC;
	out->heartbeat_usec =
	    settings_get(settings, "heartbeat-ms")->number * LOOP_USEC_PER_MSEC;
}

/*
 * Reports the addresses of the process after its ports are open.
 */
static enum status
report_started(const struct proc *proc, const struct syncd *syncd)
{
	char *frames =
	    proc_address(settings, "listen", syncd_frames_port(syncd));
	char *operators = proc_address(
	    settings, "operator-address", syncd_operator_port(syncd));
	char *addresses =
	    g_strdup_printf("frames=%s operator=%s", frames, operators);
	enum status status = proc_report_started(proc, addresses);

	g_free(frames);
	g_free(operators);
	g_free(addresses);
	return status;
}

/*
 * Runs the syncd until it is stopped.
 */
int
main(int argc, char **argv)
{
	static struct proc_ops ops = {syncd_dump, syncd_ready, syncd_drain};
	struct syncd_settings values;
	struct syncd *syncd = NULL;
	struct proc *proc = NULL;
	int code = proc_parse_settings(settings, PROGRAM,
	    "Manages configuration, membership, claims and records", &argc,
	    &argv);

	if (code >= 0)
		return code;
	convert_settings(&values);
	if (proc_create(settings, PROGRAM, CH__ROLE__ROLE_SYNCD, &ops, &proc) !=
		STATUS_OK ||
	    syncd_create(proc, &values, &syncd) != STATUS_OK) {
		log_event(EV_START_FAILED, "%s", status_message());
		return PROC_EXIT_FAILED;
	}
	proc_set_arg(proc, syncd);
	if (report_started(proc, syncd) != STATUS_OK) {
		log_event(EV_START_FAILED, "%s", status_message());
		return PROC_EXIT_FAILED;
	}
	loop_run(proc->loop);
	log_event(EV_STOPPED, "node=%s", proc->hello.node);
	syncd_destroy(syncd);
	proc_destroy(proc);
	settings_free(settings);
	return PROC_EXIT_OK;
}
