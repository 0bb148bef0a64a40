# Scenario of bench/faults: operators send competing changes while responses are
# lost (G7).

RACES_ROUNDS=5
RACES_CALLS_MAX=6

# Sends a change repeatedly with the same change id until its outcome is known,
# at most RACES_CALLS_MAX times.
# send_until_clear NODE BASE CHANGE
send_until_clear() {
	local i
	for i in $(seq "$RACES_CALLS_MAX"); do
		send_change "$@"
		case $(status_of "$3") in
		200 | 409) return ;;
		esac
	done
}

# Two operators send changes with the same base, and then a third operator sends
# one with the next base. Meanwhile half of the responses of the key-value
# service are lost, and half of those writes are not done. One of the first two
# operators must be told that its change is in force, and the other that there
# is a conflict; this must still be correct after later changes.
races_round() {
	local i=$1 base a b
	base=$(own_revision syncd-n1)
	kv_fault partial-lose 0 50
	send_until_clear n$((i % 8 + 1)) "$base" "lost-$i-a" &
	a=$!
	send_until_clear n$(((i + 3) % 8 + 1)) "$base" "lost-$i-b" &
	b=$!
	wait_for 20 have_revision $((base + 1)) syncd-n2
	send_until_clear n2 $((base + 1)) "lost-$i-c"
	wait "$a" "$b"
	kv_fault none
	echo "races: round $i: $(status_of "lost-$i-a") $(status_of \
	    "lost-$i-b") $(status_of "lost-$i-c")"
	[ "$(printf '%s\n' "$(status_of "lost-$i-a")" \
	    "$(status_of "lost-$i-b")" "$(status_of "lost-$i-c")" |
	    sort | tr '\n' ' ')" = "200 200 409 " ] &&
	    [ "$(status_of "lost-$i-c")" = 200 ] ||
		RACES_BAD=$((RACES_BAD + 1))
	check_spread "after race $i" $((base + 2)) $(daemons_without)
	[ "$(own_revision syncd-n1)" = $((base + 2)) ] ||
	    RACES_BAD=$((RACES_BAD + 1))
}

# Runs the scenario.
scenario_races() {
	local i
	RACES_BAD=0
	scenario_start races
	for i in $(seq "$RACES_ROUNDS"); do
		races_round "$i"
	done
	check "in $RACES_ROUNDS races with lost answers every operator is told \
the truth" test "$RACES_BAD" = 0
	scenario_stop races
}
