#include "router_priv.h"

#define OUTCOMES "chestnuthoist_router_outcomes_total"
#define OUTCOMES_HELP "Requests that ended, by outcome."
#define RETRIES "chestnuthoist_router_retries_total"
#define RETRIES_HELP "Repeated attempts, granted and refused."
#define TRAIL "chestnuthoist_router_trail_rejected_total"
#define TRAIL_HELP "Tokens that were not delivered, by reason."
#define COUNTER(name, labels, help)                                            \
	{                                                                      \
		name, labels, help, METRIC_COUNTER, 0, NULL                    \
	}

static struct metric counters[ROUTER_COUNTER_COUNT] = {
    COUNTER("chestnuthoist_router_submits_total", "",
	"Requests that entries submitted."),
    COUNTER(OUTCOMES, "outcome=\"run\"", OUTCOMES_HELP),
    COUNTER(OUTCOMES, "outcome=\"not-run\"", OUTCOMES_HELP),
    COUNTER(OUTCOMES, "outcome=\"unknown\"", OUTCOMES_HELP),
    COUNTER(OUTCOMES, "outcome=\"moved\"", OUTCOMES_HELP),
    COUNTER(OUTCOMES, "outcome=\"cancelled\"", OUTCOMES_HELP),
    COUNTER("chestnuthoist_router_attempts_total", "",
	"Attempts that were sent to backend servers."),
    COUNTER(RETRIES, "verdict=\"granted\"", RETRIES_HELP),
    COUNTER(RETRIES, "verdict=\"refused\"", RETRIES_HELP),
    COUNTER("chestnuthoist_router_claims_total", "", "Claims requested."),
    COUNTER("chestnuthoist_router_claims_unavailable_total", "",
	"Orders refused because no claim was granted in time."),
    COUNTER("chestnuthoist_router_duplicates_total", "",
	"Orders whose key was used before."),
    COUNTER("chestnuthoist_router_answers_evicted_total", "",
	"Answers of orders dropped before their key expired."),
    COUNTER("chestnuthoist_router_claim_outcomes_dropped_total", "",
	"Claim outcomes not reported because too many waited."),
    COUNTER("chestnuthoist_router_record_unreplicated_total", "",
	"Record entries released before their copy was acknowledged."),
    COUNTER("chestnuthoist_router_record_lost_total", "",
	"Segments that could not be stored before the process ended."),
};

static struct metric trail_rejected[TRAIL_VERDICT_COUNT] = {
    COUNTER(TRAIL, "reason=\"none\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"other-request\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"old-attempt\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"wrong-position\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"gap\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"overlap\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"repeat\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"wrong-instance\"", TRAIL_HELP),
    COUNTER(TRAIL, "reason=\"wrong-step\"", TRAIL_HELP),
};

static struct metric_histogram queue_wait = {
    .name = "chestnuthoist_router_queue_wait_seconds",
    .help = "Time that requests wait in the queue."};
static struct metric_histogram hold_time = {
    .name = "chestnuthoist_router_record_hold_seconds",
    .help = "Time from a dispatch until its record entry is released."};

/*
 * Registers the metrics of the router.
 */
void
router_metrics_register(void)
{
	for (int i = 0; i < ROUTER_COUNTER_COUNT; i++)
		metric_register(&counters[i]);
	for (int i = 1; i < TRAIL_VERDICT_COUNT; i++)
		metric_register(&trail_rejected[i]);
	metric_register_histogram(&queue_wait);
	metric_register_histogram(&hold_time);
}

/*
 * Increments a counter.
 */
void
router_count_event(enum router_counter counter)
{
	counters[counter].value++;
}

/*
 * Counts a rejected token, by the reason for its rejection.
 */
void
router_count_rejected_token(enum trail_verdict verdict)
{
	trail_rejected[verdict].value++;
}

/*
 * Records the time that a request waited in the queue, in microseconds.
 */
void
router_observe_queue_wait(int64_t usec)
{
	metric_observe(&queue_wait, usec);
}

/*
 * Records the time for which an answer was held for its record entry, in
 * microseconds.
 */
void
router_observe_record_hold(int64_t usec)
{
	metric_observe(&hold_time, usec);
}
