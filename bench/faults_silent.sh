# Scenario of bench/faults: processes that stop responding while their
# connections stay open.

SILENT_RATE=40
# Silence is detected after 3 s, then a new connection is tried, and the peer is
# suspected after about 4 s. One more second is allowed for polling.
SILENT_BOUND_MS=5000
SILENT_DEADLINE_MS=3000
# A request sent just before the peer is suspected may wait until its deadline.
SILENT_BACK_BOUND_MS=$((SILENT_BOUND_MS + SILENT_DEADLINE_MS))
SILENT_HOLD_MS=$((SILENT_BACK_BOUND_MS + 4000))

# Prints the number of usable routers that an entry sees.
usable_routers() {
	dump_of "entry-$1" | jq .usable_routers
}

# Returns whether an entry sees at most COUNT usable routers.
# sees_at_most NODE COUNT
sees_at_most() {
	[ "$(usable_routers "$1")" -le "$2" ]
}

# Prints statistics of the requests that ended between BEGIN and END (Unix time
# in ms): their number, the number that failed, when the last failed one ended,
# in milliseconds after BEGIN, and the failures by outcome and code.
# judge_silence RESULTS BEGIN END
judge_silence() {
	jq -cn --slurpfile r "$1" --argjson b "$2" --argjson e "$3" '
	    [$r[] | select(.ended_ms >= $b and .ended_ms < $e)] |
	    map(select(.tries[-1].outcome != "run" or .wrong)) as $bad |
	    {ended: length, failed: $bad | length,
	    last_failed_ms: (($bad | map(.ended_ms - $b) | max) // 0),
	    codes: ($bad | map(.tries[-1].outcome + "/" + .tries[-1].code) |
		group_by(.) | map({(.[0]): length}) | add)}'
}

# Prints the router that received the most requests.
busiest_router() {
	local node
	for node in "${CLUSTER_NODES[@]}"; do
		echo "$(http "http://$(port_of "router-$node" admin)/metrics" |
		    awk '/^chestnuthoist_router_submits_total/ { print $NF }')" \
		    "router-$node"
	done | sort -rn | head -1 | cut -d' ' -f2
}

# Freezes a process under load. Checks how soon it is no longer used, if it is a
# router, and how long requests fail.
# silence PROCESS LOAD
silence() {
	local name=$1 load=$2 began took counts observer=n1
	[ "$name" != router-n1 ] || observer=n2
	began=$(now_ms)
	signal_process "$name" STOP
	if [[ $name = router-* ]]; then
		wait_for 15 sees_at_most "$observer" $((NODES - 1))
		took=$(($(now_ms) - began))
		check "a silent router is not used any more after $took ms \
(bound $SILENT_BOUND_MS)" test "$took" -le "$SILENT_BOUND_MS"
	fi
	while [ $(($(now_ms) - began)) -lt "$SILENT_HOLD_MS" ]; do
		hold_ms 100
	done
	counts=$(judge_silence "$WORK/$load.results" "$began" "$(now_ms)")
	signal_process "$name" CONT
	check "$name silent, requests in $SILENT_HOLD_MS ms: $counts (bound \
$SILENT_BACK_BOUND_MS ms)" test "$(jq ".ended > 100 and
	    .last_failed_ms <= $SILENT_BACK_BOUND_MS" <<<"$counts")" = true
	wait_for 15 all_entries_see "$NODES"
	note $? "$name is used again when it goes on"
}

# Runs the scenario.
scenario_silent() {
	scenario_start silent
	start_load silent --orders 100000 --lookups 100000 --seed "$SEED" \
	    --rate "$SILENT_RATE" --concurrency 400 --retries 0 \
	    --max-tokens 8 --deadline-ms "$SILENT_DEADLINE_MS" \
	    --max-seconds 90
	hold_ms 3000
	silence "$(busiest_router)" silent
	silence syncd-n4 silent
	end_load
	scenario_stop silent
}
