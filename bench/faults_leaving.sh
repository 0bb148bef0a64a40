# Scenario of bench/faults: leaving instances and restarted nodes (G5, G6).

LEAVING_LAG_MS=1500
# An instance gets no new work later than this after the first source has
# reported that it is leaving.
LEAVING_BOUND_MS=5000
# The counts are monitored for this long after the bound.
LEAVING_WATCH_MS=4000
ROLLING_RATE=60
ROLLING_MAX_SECONDS=120
# An entry drains for the validity of its addresses plus the extra drain time,
# and until the requests in flight are finished.
ROLLING_EXIT_SECONDS=30

# Prints how many generations an engine instance has started.
# generations_of INSTANCE
generations_of() {
	http "http://$(port_of engine http)/v1/stats" | jq --arg i "$1" \
	    '.instances[] | select(.instance == $i) | .generations'
}

# Prints how many calls the Nth plain stand-in has executed.
executions_of() {
	http "http://$(port_of "plain$1" http)/v1/ledger" | jq .executions
}

# Sets the state of an instance in the list stand-in.
# list_set INSTANCE STATE
list_set() {
	http -o /dev/null --data "{\"name\":\"$1\",\"state\":\"$2\"}" \
	    "http://$(port_of list http)/v1/set"
}

# Marks an instance as leaving, and checks when its count increases for the last
# time, measured from when the list shows the new state.
# check_leaving INSTANCE COUNT_COMMAND...
check_leaving() {
	local name=$1 count shown last=0 now other
	shift
	count=$("$@")
	wait_for 20 count_rises "$count" "$@"
	note $? "$name gets work before"
	list_set "$name" leaving
	shown=$(($(now_ms) + LEAVING_LAG_MS))
	while now=$(now_ms); [ "$now" -lt \
	    $((shown + LEAVING_BOUND_MS + LEAVING_WATCH_MS)) ]; do
		other=$("$@")
		if [ "$other" != "$count" ]; then
			count=$other
			last=$((now - shown))
		fi
		hold_ms 20
	done
	check "$name gets its last new work $last ms after the list shows it \
(lag $LEAVING_LAG_MS ms, bound $LEAVING_BOUND_MS ms)" \
	    test "$last" -le "$LEAVING_BOUND_MS"
	list_set "$name" live
	wait_for 20 count_rises "$count" "$@"
	note $? "$name gets work again when it is live"
}

# Returns whether a count has increased.
# count_rises OLD COUNT_COMMAND...
count_rises() {
	local old=$1
	shift
	[ "$("$@")" -gt "$old" ]
}

# Stops the processes of a node with SIGTERM and restarts them.
# roll_node NODE
roll_node() {
	local role
	signal_process "entry-$1" TERM
	signal_process "router-$1" TERM
	for role in entry router; do
		await_exit "$role-$1" "$ROLLING_EXIT_SECONDS" ||
		    ROLL_BAD=$((ROLL_BAD + 1))
	done
	signal_process "syncd-$1" TERM
	await_exit "syncd-$1" "$ROLLING_EXIT_SECONDS" ||
	    ROLL_BAD=$((ROLL_BAD + 1))
	for role in syncd router entry; do
		restart "$role-$1"
		wait_for "$CLUSTER_WAIT_SECONDS" has_port_file "$role-$1" ||
		    ROLL_BAD=$((ROLL_BAD + 1))
	done
	wait_for "$CLUSTER_WAIT_SECONDS" node_is_ready "$1" ||
	    ROLL_BAD=$((ROLL_BAD + 1))
}

# Returns whether the entry and the router of a node are ready.
node_is_ready() {
	is_ready "entry-$1" && is_ready "router-$1"
}

# Restarts all nodes, one after the other, under load.
rolling_restart() {
	local node
	ROLL_BAD=0
	start_load rolling --orders 1000000 --lookups 1000000 \
	    --seed "$SEED" --rate "$ROLLING_RATE" --concurrency 128 \
	    --retries 0 --max-tokens 24 --max-seconds "$ROLLING_MAX_SECONDS"
	for node in "${CLUSTER_NODES[@]}"; do
		roll_node "$node"
	done
	end_load
	check "all processes of eight nodes exit with 0 and start again" \
	    test "$ROLL_BAD" = 0
}

# Prints how many requests ended and how many of them were run correctly, and
# the others by kind and outcome.
judge_rolling() {
	jq -cn --slurpfile r "$1" '[$r[] | select(.tries[-1].outcome !=
	    "unfinished")] | {ended: length, run: [.[] | select(.wrong | not) |
	    select(.tries[-1].outcome == "run")] | length,
	    bad: map(select(.wrong or .tries[-1].outcome != "run") |
	    .kind + " " + .tries[-1].outcome + "/" + .tries[-1].code) |
	    group_by(.) | map({(.[0]): length}) | add}'
}

# Runs the scenario.
scenario_leaving() {
	local counts
	LIST_ARGS=(--lag-ms "$LEAVING_LAG_MS")
	scenario_start leaving
	start_load leaving --orders 2000 --lookups 2000 --seed "$SEED" \
	    --rate 60 --concurrency 128 --max-tokens 8 --max-seconds 40
	check_leaving redactor-1-1 generations_of redactor-1-1
	check_leaving libro-cambios-2 executions_of 2
	end_load
	rolling_restart
	counts=$(judge_rolling "$WORK/rolling.results")
	check "no request fails during a rolling restart: $counts" \
	    test "$(jq '.ended > 100 and .run == .ended' <<<"$counts")" = true
	scenario_stop leaving
}
