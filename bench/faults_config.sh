# Scenario of bench/faults: configuration changes (G7).

CONFIG_RACES=6
CONFIG_LEASE_MS=3000
CONFIG_FREEZE_MS=4500
# Maximum duration of a call by an operator.
CONFIG_CALL_SECONDS=40

# Prints the revision that a process itself has in force; 0 if none.
# own_revision PROCESS
own_revision() {
	dump_of "$1" | jq '.configuration.revision //
	    .local.config.revision // .revision // 0'
}

# Prints the process names of all daemons except those of the given nodes.
# daemons_without NODE...
daemons_without() {
	local node role
	for node in "${CLUSTER_NODES[@]}"; do
		[[ " $* " = *" $node "* ]] && continue
		for role in syncd router entry; do
			echo "$role-$node"
		done
	done
}

# Returns whether all processes have at least a revision in force.
# have_revision REVISION PROCESS...
have_revision() {
	local revision=$1 name own
	shift
	for name in "$@"; do
		own=$(own_revision "$name")
		[ "${own:-0}" -ge "$revision" ] || return 1
	done
}

# Samples the revision of every daemon in a loop, until it is killed.
config_sample() {
	local name
	while :; do
		for name in $(daemons_without); do
			echo "$name@$(port_of "$name" admin)" \
			    "$(own_revision "$name")"
		done
	done >"$WORK/samples" 2>/dev/null
}

# Prints the number of samples in a file, and how often the revision of a
# running process decreased.
judge_samples() {
	awk 'NF == 2 { n++; if ($2 + 0 < max[$1] + 0) falls++;
	    if ($2 + 0 > max[$1] + 0) max[$1] = $2 }
	    END { print n + 0, falls + 0 }' "$1"
}

# Sends a change, which adds an operation, to the syncd of a node. The response
# and its HTTP status are written to CHANGE.answer.
# send_change NODE BASE CHANGE
send_change() {
	jq -cn --slurpfile i "$WORK/inventory.json" \
	    --slurpfile r "$WORK/rules.json" --argjson b "$2" --arg c "$3" \
	    '{base: $b, change: $c, inventory: $i[0], rules: ($r[0] |
	    .requests += [{service: "redactor", operation: $c,
	    idempotent: true}])}' >"$WORK/$3.body"
	curl -s --noproxy '*' --max-time "$CONFIG_CALL_SECONDS" \
	    -w '\n%{http_code}\n' --data-binary "@$WORK/$3.body" \
	    "http://$(port_of "syncd-$1" operator)/v1/config" >"$WORK/$3.answer"
}

# Prints the HTTP status of the response to a change.
# status_of CHANGE
status_of() {
	tail -1 "$WORK/$1.answer"
}

# Checks that the processes have a revision in force within CONFIG_BOUND_MS.
# check_spread TEXT REVISION PROCESS...
check_spread() {
	local text=$1 revision=$2 began took
	shift 2
	began=$(now_ms)
	wait_for $((CONFIG_BOUND_MS / 1000 + 2)) have_revision "$revision" "$@"
	took=$(($(now_ms) - began))
	check "$text: revision $revision on $# daemons after $took ms \
(bound $CONFIG_BOUND_MS)" test "$took" -le "$CONFIG_BOUND_MS"
	have_revision "$revision" "$@" || note 1 "$text: all have it"
}

# Two operators send changes with the same base: one of them gets a conflict.
config_race() {
	local i base a b good=0
	for i in $(seq "$CONFIG_RACES"); do
		base=$(own_revision syncd-n1)
		send_change n1 "$base" "race-$i-a" &
		a=$!
		send_change n$((i % 4 + 2)) "$base" "race-$i-b" &
		b=$!
		wait "$a" "$b"
		case "$(status_of "race-$i-a") $(status_of "race-$i-b")" in
		"200 409" | "409 200") good=$((good + 1)) ;;
		*) echo "race $i: $(cat "$WORK/race-$i-a.answer" \
		    "$WORK/race-$i-b.answer")" ;;
		esac
		wait_for 10 have_revision $((base + 1)) syncd-n1
	done
	check "of two operators with one base one gets the conflict: $good \
of $CONFIG_RACES" test "$good" = "$CONFIG_RACES"
	check_spread "after the races" $((base + 1)) $(daemons_without)
}

# Responses of the key-value service are lost during a change. The operator
# retries the change with the same change id until the outcome is known.
config_lost_answers() {
	local base i status
	base=$(own_revision syncd-n1)
	kv_fault partial-lose 0 50
	for i in 1 2 3 4 5; do
		send_change n2 "$base" lost
		status=$(status_of lost)
		[ "$status" = 503 ] || [ "$status" = 504 ] || break
	done
	kv_fault none
	check "a change whose answers are lost is accepted once: status \
$status at call $i" test "$status $(head -1 "$WORK/lost.answer" |
	    jq .revision)" = "200 $((base + 1))"
	check_spread "after lost answers" $((base + 1)) $(daemons_without)
}

# The key-value service fails in the middle of a change.
config_outage() {
	local base status call
	base=$(own_revision syncd-n1)
	kv_fault slow 300
	send_change n3 "$base" outage &
	call=$!
	hold_ms 450
	kv_fault outage
	kill_hard syncd-n6
	restart syncd-n6
	wait_for "$CLUSTER_WAIT_SECONDS" has_port_file syncd-n6
	check_spread "a syncd restarted empty during the outage" "$base" \
	    syncd-n6
	wait "$call"
	status=$(status_of outage)
	kv_fault none
	check "a change in an outage is refused or unclear, not accepted: \
$status" test "$status" = 503 -o "$status" = 504
	wait_for 20 config_is_accepted n3 "$base" outage
	check "the same change is accepted after the outage: \
$(status_of outage)" test "$(status_of outage)" = 200
	check_spread "after the outage" $((base + 1)) $(daemons_without)
}

# Sends a change and returns whether it was accepted.
# config_is_accepted NODE BASE CHANGE
config_is_accepted() {
	send_change "$@"
	[ "$(status_of "$3")" = 200 ]
}

# A syncd is frozen in the middle of a change for longer than its lease, while
# another operator publishes a change.
config_frozen() {
	local base call status
	base=$(own_revision syncd-n1)
	kv_fault slow 300
	send_change n5 "$base" frozen &
	call=$!
	hold_ms 400
	signal_process syncd-n5 STOP
	kv_fault none
	send_change n1 "$base" awake
	status=$(status_of awake)
	check_spread "while one is frozen" $((base + 1)) $(daemons_without n5)
	hold_ms "$CONFIG_FREEZE_MS"
	signal_process syncd-n5 CONT
	wait "$call"
	check "of both changes one is in force: awake $status, frozen \
$(status_of frozen)" test \
	    "$(printf '%s\n' "$status" "$(status_of frozen)" | grep -c 200)" = 1
	check_spread "after the freeze" $((base + 1)) $(daemons_without)
}

# The check must detect a revision that decreases.
config_self_test() {
	(cat "$WORK/samples"; echo a@b 2; echo a@b 1) >"$WORK/tampered"
	check "self-test: a revision that falls is found" \
	    test "$(judge_samples "$WORK/tampered" | cut -d' ' -f2)" -ge 1
}

# Runs the scenario.
scenario_config() {
	local sampler counts
	SYNCD_ARGS=(--lease-ms "$CONFIG_LEASE_MS")
	scenario_start config
	config_sample &
	sampler=$!
	config_race
	config_lost_answers
	config_outage
	config_frozen
	kill "$sampler"
	{ wait "$sampler"; } 2>/dev/null
	counts=$(judge_samples "$WORK/samples")
	check "no revision fell: ${counts% *} samples, ${counts#* } falls" \
	    test "${counts#* }" = 0 -a "${counts% *}" -gt 0
	config_self_test
	scenario_stop config
}
