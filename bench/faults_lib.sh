# Functions shared by the scenarios of bench/faults. Source this file after
# bench/cluster.sh.

NODES=8
SEED=20261204
ORGANISATIONS=palma-dorada,cooperativa-norte,molinos-del-sur
# Maximum time until a configuration change is in force on all daemons.
CONFIG_BOUND_MS=6000
passed=0
failed=0

# Counts and prints the result of a check.
# note RESULT TEXT
note() {
	if [ "$1" = 0 ]; then
		passed=$((passed + 1))
		echo "ok: $2"
	else
		failed=$((failed + 1))
		echo "FAILED: $2"
	fi
}

# Runs a command as a check; it passes if the command succeeds.
# check TEXT COMMAND...
check() {
	local text=$1
	shift
	"$@" >/dev/null
	note $? "$text"
}

# Prints the Unix time in milliseconds.
now_ms() {
	echo $(($(date +%s%N) / 1000000))
}

# Waits for a time in milliseconds, for instance while a fault is active.
hold_ms() {
	sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"
}

# Kills a process with SIGKILL and waits until it has ended.
# kill_hard PROCESS
kill_hard() {
	local pid=${CLUSTER_PID[$1]}
	kill -KILL "$pid"
	{ wait "$pid"; } 2>/dev/null
	unset "CLUSTER_PID[$1]"
}

# Prints the program and arguments that restart a process: the original ones
# with its previous ports (OLD_PORT) and, for a syncd, all other syncds as seed
# peers.
# restart_arguments PROCESS
restart_arguments() {
	local name=$1 argument flag='' node seeds=()
	while IFS= read -r argument; do
		case "$flag $argument" in
		"--listen 127.0.0.1:0") argument=${OLD_PORT[frames]} ;;
		"--http-address 127.0.0.1:0") argument=${OLD_PORT[http]} ;;
		"--operator-address 127.0.0.1:0")
			argument=${OLD_PORT[operator]} ;;
		esac
		case "$flag $argument" in
		"--port-file "* | "--seed-peers "*) ;;
		*" --port-file" | *" --seed-peers") ;;
		*) printf '%s\n' "$argument" ;;
		esac
		flag=$argument
	done <<<"${CLUSTER_COMMAND[$name]}"
	case $name in syncd-*) ;; *) return ;; esac
	for node in "${CLUSTER_NODES[@]}"; do
		[ "syncd-$node" = "$name" ] ||
		    seeds+=("$(port_of "syncd-$node" frames)")
	done
	printf '%s\n' --seed-peers "$(IFS=,; echo "${seeds[*]}")"
}

# Restarts a process that has ended, on its previous ports.
# restart PROCESS
restart() {
	local name=$1 key arguments
	local -A OLD_PORT=()
	for key in frames http operator; do
		OLD_PORT[$key]=$(port_of "$name" "$key")
	done
	mapfile -t arguments < <(restart_arguments "$name")
	spawn "$name" "${arguments[@]}"
}

# Returns whether a process has written its port file.
has_port_file() {
	[ -s "$WORK/$1.port" ]
}

# Sets the fault of the key-value stand-in.
# kv_fault MODE [DELAY_MS] [RATE_PERCENT]
kv_fault() {
	http -o /dev/null --data "$(jq -cn --arg m "$1" --argjson d "${2:-0}" \
	    --argjson r "${3:-30}" --argjson s "$SEED" \
	    '{mode: $m, delay_ms: $d, seed: $s} + if $m | endswith("slow")
	    then {} else {rate_percent: $r} end')" \
	    "http://$(port_of kv http)/v1/fault"
}

# Sets the fault of a plain stand-in.
# plain_fault NUMBER MODE [DELAY_MS]
plain_fault() {
	http -o /dev/null --data "{\"mode\":\"$2\",\"delay_ms\":${3:-0}}" \
	    "http://$(port_of "plain$1" http)/v1/fault"
}

# Sets the fault of an instance of the engine stand-in.
# engine_fault INSTANCE MODE [AFTER] [DELAY_MS]
engine_fault() {
	http -o /dev/null --data "$(jq -cn --arg i "$1" --arg m "$2" \
	    --argjson a "${3:-0}" --argjson d "${4:-0}" \
	    '{instance: $i, mode: $m, after: $a, delay_ms: $d}')" \
	    "http://$(port_of engine http)/v1/fault"
}

# Prints the addresses of all entries, separated by commas.
all_entries() {
	local node list=()
	for node in "${CLUSTER_NODES[@]}"; do
		list+=("$(port_of "entry-$node" http)")
	done
	(IFS=,; echo "${list[*]}")
}

# Starts the load tool in the background and sets LOAD_PID to its process id.
# The report goes to NAME.json and the results to NAME.results in WORK.
# start_load NAME ARGUMENT...
start_load() {
	local name=$1
	shift
	"$BUILD/bench/load" --entry "$(all_entries)" \
	    --organisations "$ORGANISATIONS" --json true \
	    --results "$WORK/$name.results" "$@" \
	    >"$WORK/$name.json" 2>"$WORK/$name.log" &
	LOAD_PID=$!
}

# Stops the load tool that was started last. Its results are already written.
end_load() {
	kill -TERM "$LOAD_PID" 2>/dev/null
	{ wait "$LOAD_PID"; } 2>/dev/null
}

# Prints a value of a load report.
# report NAME FILTER
report() {
	jq -c "$2" "$WORK/$1.json"
}

# Publishes the inventory and the rules through the first syncd, and prints the
# revision.
publish() {
	ctl apply --inventory "$WORK/inventory.json" \
	    --rules "$WORK/rules.json" --base current
}

# Prints the sum, over all running routers, of the metrics whose names start
# with a pattern.
# router_metric PATTERN
router_metric() {
	local node
	for node in "${CLUSTER_NODES[@]}"; do
		is_running "router-$node" &&
		    http "http://$(port_of "router-$node" admin)/metrics"
	done | awk -v p="$1" '$0 ~ "^" p { n += $NF } END { print n + 0 }'
}

# Starts the cluster of a scenario in its own directory.
# scenario_start NAME
scenario_start() {
	local revision
	WORK=$WORK_ALL/$1
	mkdir -p "$WORK"
	CLUSTER_NODES=()
	RANDOM=$SEED
	echo "$1: seed $SEED"
	SCENARIO_BEGAN=$(now_ms)
	cluster_start "$NODES" && revision=$(publish) &&
	    wait_for 20 all_have_revision "$revision" &&
	    wait_for 20 all_entries_see "$NODES"
	note $? "$1: eight nodes serve revision ${revision:-none}"
}

# Stops the cluster of a scenario and clears the extra arguments. Frozen
# processes are continued first.
# scenario_stop NAME
scenario_stop() {
	local name
	for name in "${!CLUSTER_PID[@]}"; do
		kill -CONT "${CLUSTER_PID[$name]}" 2>/dev/null
	done
	cluster_stop
	SYNCD_ARGS=()
	ROUTER_ARGS=()
	ENTRY_ARGS=()
	LIST_ARGS=()
	echo "$1: took $(($(now_ms) - SCENARIO_BEGAN)) ms"
}
