# Measures recovery times for the benchmark. Source this file after
# bench/bench_cluster.sh.

RECOVERY_FACTOR=0.8
RECOVERY_SECONDS=10
# Time from the start of the load to the failure.
RECOVERY_FAIL_SECONDS=3
RECOVERY_PLACE=cartago
# Time allowed for requests to finish after the last one was sent.
RECOVERY_DRAIN_SECONDS=6
# Pause before the next failure, for retries to finish and suspicions to clear.
RECOVERY_PAUSE_SECONDS=3

# Sets the fault mode of an engine instance.
# set_fault INSTANCE MODE
set_fault() {
	local place
	place=$(jq -r --arg n "$1" '.instances[] | select(.name == $n) |
	    .place' "$WORK/inventory.json")
	http --data "{\"instance\":\"$1\",\"mode\":\"$2\"}" \
	    "http://$(port_of "engine-$place" http)/v1/fault" >/dev/null
}

# Kills processes with SIGKILL, by process id, and waits for them.
# kill_now PROCESS...
kill_now() {
	local name
	for name in "$@"; do
		is_running "$name" && signal_process "$name" KILL
	done
	for name in "$@"; do
		[ -n "${CLUSTER_PID[$name]:-}" ] || continue
		wait "${CLUSTER_PID[$name]}" 2>/dev/null
		unset "CLUSTER_PID[$name]"
	done
}

# Prints the router that has the most requests.
busiest_router() {
	local node
	for node in "${CLUSTER_NODES[@]}"; do
		is_running "router-$node" && echo "$(dump_of "router-$node" |
		    jq '[.replicas[]?.requests] | add // 0') router-$node"
	done | sort -n | tail -1 | cut -d' ' -f2
}

# Makes one stage instance die; its replica has another one for these layers.
fail_stage() {
	set_fault r0-2a die
}

# Ends the failure of fail_stage.
heal_stage() {
	set_fault r0-2a none
}

# Makes all instances of a replica die.
fail_replica() {
	local stage
	for stage in 1 2a 2b 3; do
		set_fault "r1-$stage" "${1:-die}"
	done
}

# Ends the failure of fail_replica.
heal_replica() {
	fail_replica none
}

# Makes the key-value stand-in stop responding.
fail_kv() {
	http --data "{\"mode\":\"${1:-outage}\"}" \
	    "http://$(port_of kv http)/v1/fault" >/dev/null
}

# Ends the failure of fail_kv.
heal_kv() {
	fail_kv none
}

# Kills an entry.
fail_entry() {
	kill_now entry-n5
}

# Kills the router that has the most requests.
fail_router() {
	RECOVERY_WHAT=$(busiest_router)
	kill_now "$RECOVERY_WHAT"
}

# Kills all processes of a place, including its engine.
fail_place() {
	local n names=("engine-$RECOVERY_PLACE")
	for n in "${!CLUSTER_NODES[@]}"; do
		[ "${CLUSTER_PLACES[$((n % 3))]}" = "$RECOVERY_PLACE" ] &&
		    names+=("entry-n$((n + 1))" "router-n$((n + 1))" \
			"syncd-n$((n + 1))")
	done
	kill_now "${names[@]}"
}

# Adds the table row of a failure. The target is the goodput before the failure,
# limited to REMAINING, the bound of the remaining instances in tokens/s. The
# goodput in windows of 1 s is compared with the target. The system has
# recovered at the first window of at least 95% that follows the lowest window.
# print_recovery NAME FILE FAILED_MS REMAINING
print_recovery() {
	jq -r --arg n "$1" --argjson f "$3" --argjson left "$4" \
	    --argjson stop "$RECOVERY_SECONDS" '
	    .timeline_100ms as $t | ($f / 100 | floor) as $at |
	    ($t[15:$at] | add / length * 10) as $before |
	    ([$before, $left] | min) as $target |
	    [range($at; $stop * 10 - 10) as $i | {at: $i, v: ($t[$i:$i + 10] |
		(add // 0) / $target)}] as $w | ($w | min_by(.v)) as $low |
	    ([$w[] | select(.at >= $low.at and .v >= 0.95) | .at]) as $ok |
	    (if $low.v >= 0.95 then 0 elif $ok | length > 0 then
		(($ok | min) * 100 - $f) / 1000
		else "not in \($stop - $f / 1000 | floor)" end) as $back |
	    "| \($n) | \($back) | \($low.v * 100 | round / 100) | " +
	    "\(.lookups | .not_run + .unknown + .incomplete + .unfinished) + " +
	    "\(.orders | .not_run + .unknown + .incomplete + .unfinished) of " +
	    "\(.lookups.sent) + \(.orders.sent) | \(.lookups.retries +
	    .orders.retries) | \(.delayed) | \(.codes | del(."run/") |
	    tojson) |"' "$2" >>"$WORK/recovery"
}

# Injects one failure under load and adds its table row. A separate load process
# sends the orders, so that the rate of lookups is constant and a drop of
# goodput cannot result from a random mix of lookups and orders.
# run_recovery NAME REMAINING
run_recovery() {
	local file=$WORK/recovery-$1 started loads=() rate
	local limit=$((RECOVERY_SECONDS + RECOVERY_DRAIN_SECONDS))
	rate=$(rate_for "$RECOVERY_FACTOR")
	local lookups=$((rate * 9 / 10)) orders=$((rate / 10))
	started=$(date +%s%N)
	bench_load "$file.lookups" "$lookups" "$RECOVERY_SECONDS" 0 \
	    --deadline-ms "$DEADLINE_MS" --retries 3 --max-seconds "$limit" \
	    --orders 0 --lookups $((lookups * RECOVERY_SECONDS)) &
	loads+=($!)
	bench_load "$file.orders" "$orders" "$RECOVERY_SECONDS" 0 \
	    --deadline-ms "$DEADLINE_MS" --retries 3 --max-seconds "$limit" \
	    --lookups 0 --orders $((orders * RECOVERY_SECONDS)) &
	loads+=($!)
	sleep "$RECOVERY_FAIL_SECONDS"
	RECOVERY_WHAT=
	"fail_$1"
	started=$((($(date +%s%N) - started) / 1000000))
	wait "${loads[@]}"
	jq -s '.[0] * {orders: .[1].orders, codes: (.[0].codes as $a |
	    .[1].codes as $b | reduce ($b | keys[]) as $k ($a; .[$k] += $b[$k])
	    )}' "$file.lookups" "$file.orders" >"$file"
	print_recovery "$1 $RECOVERY_WHAT" "$file" "$started" "$2"
	if declare -F "heal_$1" >/dev/null; then
		"heal_$1"
	fi
	sleep "$RECOVERY_PAUSE_SECONDS"
}

# Measures every failure. Failures that are not undone come last.
part_recovery() {
	local name round
	for round in $(seq "$ROUNDS"); do
		[ "$round" = 1 ] || restart_cluster "$BUILD" || finish 1
		for name in stage replica kv entry router; do
			run_recovery "$name" "$BOUND"
		done
		run_recovery place "$(bench_bound "$RECOVERY_PLACE")"
	done
}
