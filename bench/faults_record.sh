# Scenario of bench/faults: the record of service order after a crash (G8).

RECORD_ORDERS=400
RECORD_RATE=60

# Verifies the records of all nodes. Sets RECORD_BAD to the failures and
# RECORD_ENTRIES to the total number of entries.
record_entries() {
	local node
	RECORD_BAD=()
	for node in "${CLUSTER_NODES[@]}"; do
		ctl record verify --node "$node" >"$WORK/verify-$node" 2>&1 ||
		    RECORD_BAD+=("$node: $(tail -1 "$WORK/verify-$node")")
	done
	RECORD_ENTRIES=$(cat "$WORK"/verify-n* |
	    sed -n 's/.* \([0-9]*\) entries.*/\1/p' |
	    awk '{ n += $1 } END { print n + 0 }')
}

# Returns whether all records are valid and have at least a number of entries
# together.
records_hold() {
	record_entries
	[ "${#RECORD_BAD[@]}" = 0 ] && [ "$RECORD_ENTRIES" -ge "$1" ]
}

# Runs the scenario.
scenario_record() {
	local node answered bad=0
	KILLS=0
	scenario_start record
	start_load record --orders "$RECORD_ORDERS" --lookups 0 \
	    --seed "$SEED" --rate "$RECORD_RATE" --concurrency 64 \
	    --retries 0 --max-seconds 60
	hold_ms 3000
	kill_and_restart 500 "$(busiest_router)"
	wait "$LOAD_PID"
	answered=$(report record .orders.run)
	for node in "${CLUSTER_NODES[@]}"; do
		signal_process "router-$node" TERM
	done
	for node in "${CLUSTER_NODES[@]}"; do
		await_exit "router-$node" 30 || bad=$((bad + 1))
	done
	check "all routers exit with 0" test "$bad" = 0
	wait_for 20 records_hold "$answered"
	record_entries
	check "the records of all nodes are verified after SIGKILL of a \
router: ${RECORD_BAD[*]:-all hold}" test "${#RECORD_BAD[@]}" = 0
	check "they hold $RECORD_ENTRIES entries for $answered answered \
orders of $RECORD_ORDERS" test "$RECORD_ENTRIES" -ge "$answered"
	scenario_stop record
}
