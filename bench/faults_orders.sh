# Scenario of bench/faults: orders under failure (G3, G4).

ORDERS_SECONDS=45
ORDERS_RATE=60
# A try ends within its deadline; processes are frozen for longer than that.
ORDERS_DEADLINE_MS=3000
ORDERS_LEASE_MS=3000
FREEZE_MS=4500
# The ledgers have settled if they have not changed for this time, which is
# longer than any deadline.
SETTLE_MS=4500
SETTLE_WAIT_SECONDS=30

# Prints the ledgers of the plain stand-ins, one per line.
print_ledgers() {
	local i
	for i in $(seq "$CLUSTER_PLAINS"); do
		http "http://$(port_of "plain$i" http)/v1/ledger"
		echo
	done
}

# Prints the counts of a run from the results and the ledgers. An order must not
# have run if every try was answered with "not-run". It may have run once if an
# earlier try was lost or had an unknown outcome.
# judge_orders RESULTS LEDGERS
judge_orders() {
	jq -cn --slurpfile r "$1" --slurpfile l "$2" '
	    (reduce ($l[].keys | to_entries[]) as $e ({};
		.[$e.key] += $e.value)) as $ran |
	    [$r[] | select(.kind == "order") | . + {n: ($ran[.key] // 0),
		last: .tries[-1].outcome,
		refused: all(.tries[]; .outcome == "not-run")}] as $o |
	    {sent: $o | length,
	    distinct: [$o[].key] | unique | length,
	    executed_once: [$o[] | select(.n == 1)] | length,
	    executed_twice: [$ran[] | select(. > 1)] | length,
	    not_run: [$o[] | select(.refused)] | length,
	    not_run_but_executed: [$o[] | select(.refused and .n > 0)] | length,
	    refused_after_doubt: [$o[] | select(.last == "not-run" and
		(.refused | not))] | length,
	    run: [$o[] | select(.last == "run")] | length,
	    run_but_not_executed: [$o[] | select(.last == "run" and .n == 0)]
		| length,
	    unknown: [$o[] | select(.last == "unknown")] | length,
	    incomplete: [$o[] | select(.last == "incomplete")] | length,
	    unfinished: [$o[] | select(.last == "unfinished")] | length,
	    wrong: [$o[] | select(.wrong)] | length,
	    tries: [$o[].tries | length] | add,
	    violations: (([$o[] | select(.refused and .n > 0)] | length) +
		([$ran[] | select(. > 1)] | length) +
		([$o[] | select(.last == "run" and .n == 0)] | length))}'
}

# Returns whether the counts show no violation.
# counts_hold COUNTS
counts_hold() {
	[ "$(jq '.violations == 0 and .sent == .distinct and .sent > 0' \
	    <<<"$1")" = true ]
}

# Returns whether the ledgers have not changed for SETTLE_MS.
ledgers_are_settled() {
	local sum
	sum=$(ledger_executions)
	if [ "$sum" != "$SETTLED_SUM" ]; then
		SETTLED_SUM=$sum
		SETTLED_SINCE=$(now_ms)
	fi
	[ $(($(now_ms) - SETTLED_SINCE)) -ge "$SETTLE_MS" ]
}

# Kills processes with SIGKILL, waits for a time, and restarts them.
# kill_and_restart MS PROCESS...
kill_and_restart() {
	local ms=$1 name
	shift
	for name in "$@"; do
		kill_hard "$name"
	done
	hold_ms "$ms"
	for name in "$@"; do
		restart "$name"
	done
	for name in "$@"; do
		wait_for "$CLUSTER_WAIT_SECONDS" has_port_file "$name" ||
		    note 1 "$name starts again"
	done
	KILLS=$((KILLS + $#))
}

# Freezes processes for longer than the lease and the deadlines.
# freeze PROCESS...
freeze() {
	local name
	for name in "$@"; do
		signal_process "$name" STOP
	done
	hold_ms "$FREEZE_MS"
	for name in "$@"; do
		signal_process "$name" CONT
	done
	FREEZES=$((FREEZES + $#))
}

# Injects the faults of the scenario, in order.
orders_faults() {
	local a b
	KILLS=0
	FREEZES=0
	a=n$((RANDOM % NODES + 1))
	b=n$((RANDOM % NODES + 1))
	kill_and_restart 500 "router-$a"
	kill_and_restart 500 "entry-$b"
	a=n$((RANDOM % NODES + 1))
	kill_and_restart 500 "syncd-$a"
	kv_fault partial-lose 0 50
	a=n$((RANDOM % 4 + 1))
	b=n$((RANDOM % 4 + 5))
	kill_and_restart 700 "syncd-$a" "syncd-$b"
	a=n$((RANDOM % NODES + 1))
	kill_and_restart 500 "router-$a"
	kv_fault none
	a=n$((RANDOM % 4 + 1))
	b=n$((RANDOM % 4 + 5))
	freeze "syncd-$a" "syncd-$b"
	kv_fault lose-answers 0 100
	hold_ms 1500
	kv_fault none
	a=n$((RANDOM % 4 + 1))
	b=n$((RANDOM % 4 + 5))
	freeze "router-$a" "router-$b"
	kv_fault slow 400
	a=n$((RANDOM % NODES + 1))
	kill_and_restart 1000 "syncd-$a" "router-$a"
	kv_fault none
	plain_fault 1 lose
	plain_fault 2 delay 1500
	hold_ms 1500
	kv_fault outage
	a=n$((RANDOM % NODES + 1))
	kill_and_restart 1500 "entry-$a"
	kv_fault none
	plain_fault 1 none
	plain_fault 2 none
	a=n$((RANDOM % NODES + 1))
	kill_and_restart 500 "syncd-$a" "router-$a" "entry-$a"
}

# The check must detect an order that ran twice, a refused order that ran, and
# an order reported as run that is not in the ledgers.
orders_self_test() {
	local key
	key=$(jq -r 'select(.kind == "order" and .tries[-1].outcome == "run")
	    | .key' "$WORK/all.results" | head -1)
	http -o /dev/null --data "$(jq -cn --arg k "$key" '{request: "again",
	    operation: "swap", body: "x", key: $k, fence: 9000000000000}')" \
	    "http://$(port_of plain1 http)/v1/call"
	http -o /dev/null --data "$(jq -cn --arg k "$key" '{request: "again",
	    operation: "swap", body: "x", key: $k, fence: 9000000000001}')" \
	    "http://$(port_of plain1 http)/v1/call"
	print_ledgers >"$WORK/tampered.ledgers"
	check "self-test: an order sent again to the backend is found" \
	    test "$(judge_orders "$WORK/all.results" \
	    "$WORK/tampered.ledgers" | jq .executed_twice)" -ge 1
	sed "s/\"outcome\":\"run\"/\"outcome\":\"not-run\"/" \
	    "$WORK/all.results" >"$WORK/tampered.results"
	check "self-test: false refusals are found" \
	    test "$(judge_orders "$WORK/tampered.results" \
	    "$WORK/orders.ledgers" | jq .not_run_but_executed)" -ge 1
	jq -c '.keys = {}' "$WORK/orders.ledgers" >"$WORK/tampered.ledgers"
	check "self-test: answers without an execution are found" \
	    test "$(judge_orders "$WORK/all.results" \
	    "$WORK/tampered.ledgers" | jq .run_but_not_executed)" -ge 1
}

# Runs the scenario.
scenario_orders() {
	local counts first second orders
	SYNCD_ARGS=(--lease-ms "$ORDERS_LEASE_MS")
	scenario_start orders
	orders=$((ORDERS_SECONDS * ORDERS_RATE / 2))
	start_load retried --orders "$orders" --lookups 0 --seed "$SEED" \
	    --rate $((ORDERS_RATE / 2)) --concurrency 512 --retries 30 --lost-retries 100 \
	    --deadline-ms "$ORDERS_DEADLINE_MS" --max-seconds 120
	first=$LOAD_PID
	start_load single --orders "$orders" --lookups 0 \
	    --seed $((SEED + 1)) --rate $((ORDERS_RATE / 2)) \
	    --concurrency 512 --retries 0 \
	    --deadline-ms "$ORDERS_DEADLINE_MS" --max-seconds 120
	second=$LOAD_PID
	orders_faults
	wait "$first"
	wait "$second"
	cat "$WORK/retried.results" "$WORK/single.results" >"$WORK/all.results"
	print_ledgers >"$WORK/orders.first"
	counts=$(judge_orders "$WORK/all.results" "$WORK/orders.first")
	check "no order ran twice, no refused one ran: at once" \
	    counts_hold "$counts"
	SETTLED_SUM=
	wait_for "$SETTLE_WAIT_SECONDS" ledgers_are_settled
	note $? "the ledgers settle"
	print_ledgers >"$WORK/orders.ledgers"
	counts=$(judge_orders "$WORK/all.results" "$WORK/orders.ledgers")
	echo "orders: $KILLS kills, $FREEZES freezes; $counts"
	check "no order ran twice, no refused one ran: after settling" \
	    counts_hold "$counts"
	check "the caller that tries again has an answer to all $orders: \
$(report retried .orders)" jq -e --argjson n "$orders" '.orders |
	    .sent == $n and .unfinished == 0 and .incomplete == 0 and
	    .run + .not_run + .unknown == $n' "$WORK/retried.json"
	check "the other one lost only connections to killed entries: \
$(report single .orders)" jq -e --argjson n "$orders" '.orders.sent == $n and
	    .orders.unfinished == 0 and .codes["incomplete/timeout"] == null' \
	    "$WORK/single.json"
	check "no answer was wrong" test "$(jq .wrong <<<"$counts")" = 0
	echo "orders: codes $(report retried .codes) $(report single .codes)"
	orders_self_test
	scenario_stop orders
}
