# Scenario of bench/faults: lookups while engines fail (G1, G2).

ENGINES_TOKENS=24
ENGINES_RATE=40
ENGINES_DEATHS_SECONDS=10
ENGINES_FAULTS_SECONDS=14
ENGINES_DEADLINE_MS=8000
# Duration of each fault.
ENGINES_FAULT_MS=1500
# A caller that gets no token by its deadline gets an error.
ENGINES_GAP_BOUND_MS=$ENGINES_DEADLINE_MS

# Sets a fault on each instance for the duration of a fault, then clears it.
# engines_fault_for MODE DELAY_MS AFTER INSTANCE...
engines_fault_for() {
	local mode=$1 delay=$2 after=$3 name
	shift 3
	for name in "$@"; do
		engine_fault "$name" "$mode" "$after" "$delay"
	done
	hold_ms "$ENGINES_FAULT_MS"
	for name in "$@"; do
		engine_fault "$name" none
	done
}

# Engines die at each position of the chain, two at once, and during recovery.
engines_deaths() {
	engines_fault_for die 0 5 redactor-1-1
	engines_fault_for die 0 40 redactor-2-2
	engines_fault_for die 0 80 redactor-3-3
	engines_fault_for die 0 20 redactor-1-2 redactor-2-3
	# The replica that takes over dies shortly afterwards.
	engine_fault redactor-1-3 die 10
	hold_ms 200
	engine_fault redactor-2-1 die 10
	hold_ms 200
	engines_fault_for die 0 10 redactor-3-2
	engine_fault redactor-1-3 none
	engine_fault redactor-2-1 none
}

# Every kind of wrong or late response. The first instance of a chain writes the
# lines of the response, so the double, crossed and truncate faults are set on
# first instances.
engines_wrong_answers() {
	engines_fault_for silent 0 20 redactor-1-2
	engines_fault_for late 1400 20 redactor-2-2
	engines_fault_for double 0 20 redactor-3-1
	engines_fault_for crossed 0 20 redactor-1-1 redactor-2-1
	engines_fault_for truncate 0 20 redactor-2-1
	engines_fault_for wrong-trail 0 20 redactor-3-1 redactor-1-2
	engines_fault_for silent 0 5 redactor-1-1 redactor-2-1 redactor-3-1
}

# Prints the number of lookups by outcome. A try that ended without a last line
# is counted as incomplete (without_end).
# judge_lookups RESULTS
judge_lookups() {
	jq -cn --slurpfile r "$1" '[$r[] | select(.kind == "lookup")] as $l |
	    {sent: $l | length,
	    whole: [$l[] | select(.tries[-1].outcome == "run")] | length,
	    not_run: [$l[] | select(.tries[-1].outcome == "not-run")] | length,
	    unknown: [$l[] | select(.tries[-1].outcome == "unknown")] | length,
	    without_end: [$l[] | select(.tries[-1].outcome == "incomplete")]
		| length,
	    unfinished: [$l[] | select(.tries[-1].outcome == "unfinished")]
		| length,
	    wrong: [$l[] | select(.wrong)] | length}'
}

# Returns whether every lookup ended with a complete response or an explicit
# error.
# lookups_hold COUNTS
lookups_hold() {
	[ "$(jq '.sent > 0 and .wrong == 0 and .without_end == 0 and
	    .unfinished == 0 and .whole + .not_run + .unknown == .sent' \
	    <<<"$1")" = true ]
}

# The check must detect missing tokens in a response.
engines_self_test() {
	local code
	start_load spoiled --lookups 20 --seed 7 --spoil 50 --retries 0 \
	    --max-tokens "$ENGINES_TOKENS" --max-seconds 20
	wait "$LOAD_PID"
	code=$?
	check "self-test: the load tool fails when tokens are missing: \
$(judge_lookups "$WORK/spoiled.results")" test "$code" = 1
	check "self-test: answers with a missing token are found" \
	    test "$(judge_lookups "$WORK/spoiled.results" | jq .wrong)" -ge 1
}

# Sends lookups while FUNCTION injects engine faults, and checks the responses.
# engines_part NAME SECONDS FUNCTION
engines_part() {
	local name=$1 counts before resumed
	before=$(router_metric 'chestnuthoist_router_retries_total.*granted')
	start_load "$name" --lookups $((ENGINES_RATE * $2)) --seed "$SEED" \
	    --rate "$ENGINES_RATE" --concurrency 400 --retries 0 \
	    --max-tokens "$ENGINES_TOKENS" --max-seconds 60 \
	    --deadline-ms "$ENGINES_DEADLINE_MS"
	"$3"
	wait "$LOAD_PID"
	counts=$(judge_lookups "$WORK/$name.results")
	resumed=$(router_metric 'chestnuthoist_router_retries_total.*granted')
	echo "$name: $counts; $((resumed - before)) attempts resumed, \
$(router_metric 'chestnuthoist_router_outcomes_total.*moved') moved, \
$(router_metric chestnuthoist_router_trail_rejected_total) tokens rejected \
by the trail check so far; codes $(report "$name" .codes)"
	check "$name: every lookup ends whole or with a clear error" \
	    lookups_hold "$counts"
	check "$name: most are whole" \
	    test "$(jq '.whole * 2 > .sent' <<<"$counts")" = true
	check "$name: the longest gap to the next token is \
$(report "$name" .token_gap.max_ms) ms (bound $ENGINES_GAP_BOUND_MS), \
95% within $(report "$name" .token_gap.p95_ms) ms" \
	    test "$(report "$name" ".token_gap.max_ms <=
	    $ENGINES_GAP_BOUND_MS")" = true
}

# Runs the scenario.
scenario_engines() {
	scenario_start engines
	engines_part deaths "$ENGINES_DEATHS_SECONDS" engines_deaths
	engines_part wrong-answers "$ENGINES_FAULTS_SECONDS" \
	    engines_wrong_answers
	check "no layer ran twice in an attempt" engines_ran_once
	engines_self_test
	scenario_stop engines
}

# Returns whether no layer ran twice for the same token of an attempt.
engines_ran_once() {
	[ "$(http "http://$(port_of engine http)/v1/stats" |
	    jq '[.instances[].repeated] | add == 0')" = true ]
}
