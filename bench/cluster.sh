# Functions that start and stop a cluster with its stand-ins on loopback.
# Set BUILD (default: build) and WORK (a directory that the caller removes)
# before sourcing this file. Processes are signalled only by process id.

BUILD=${BUILD:-build}
CLUSTER_PLACES=(heredia cartago alajuela)
CLUSTER_REGION=valle-central
CLUSTER_WAIT_SECONDS=20
POLL_SECONDS=0.02

declare -A CLUSTER_PID=()
# Program and arguments of each process, one per line, used to restart it.
declare -A CLUSTER_COMMAND=()
# Extra arguments of the syncds, the routers, the entries and the list stand-in.
SYNCD_ARGS=()
ROUTER_ARGS=()
ENTRY_ARGS=()
LIST_ARGS=()
CLUSTER_NODES=()

# Prints an error message and returns 1.
cluster_fail() {
	echo "cluster: $*" >&2
	return 1
}

# Runs a command until it succeeds; fails after SECONDS.
# wait_for SECONDS COMMAND...
wait_for() {
	local limit=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -le "$limit" ] || return 1
		sleep "$POLL_SECONDS"
	done
}

# Prints the address after NAME= in the port file of a process.
# port_of PROCESS NAME
port_of() {
	[ -s "$WORK/$1.port" ] || return 1
	tr ' ' '\n' <"$WORK/$1.port" | sed -n "s/^$2=//p"
}

# Starts a program from BUILD in the background under the name PROCESS.
# spawn PROCESS PROGRAM ARGUMENT...
spawn() {
	local name=$1 program=$2
	shift 2
	rm -f "$WORK/$name.port"
	CLUSTER_COMMAND[$name]=$(printf '%s\n' "$program" "$@")
	"$BUILD/$program" "$@" --port-file "$WORK/$name.port" \
	    >>"$WORK/$name.out" 2>>"$WORK/$name.log" &
	CLUSTER_PID[$name]=$!
}

# Starts a program like spawn, and waits for its port file.
launch() {
	spawn "$@"
	wait_for "$CLUSTER_WAIT_SECONDS" test -s "$WORK/$1.port" ||
	    cluster_fail "$1 did not start: $(tail -1 "$WORK/$1.log")"
}

# Returns whether a process is running.
# is_running PROCESS
is_running() {
	[ -n "${CLUSTER_PID[$1]:-}" ] && kill -0 "${CLUSTER_PID[$1]}" 2>/dev/null
}

# Returns whether a process has ended.
has_ended() {
	! is_running "$1"
}

# Sends an HTTP request with curl, without a proxy.
# http CURL_ARGUMENT...
http() {
	curl -s --noproxy '*' --max-time 30 "$@"
}

# Sends a signal to a process.
# signal_process PROCESS SIGNAL
signal_process() {
	kill "-$2" "${CLUSTER_PID[$1]}"
}

# Waits until a process ends and returns its exit code.
# await_exit PROCESS SECONDS
await_exit() {
	local pid=${CLUSTER_PID[$1]}
	wait_for "$2" has_ended "$1" || return 124
	unset "CLUSTER_PID[$1]"
	wait "$pid"
}

# Starts the stand-ins. Writes the inventory with their addresses to
# $WORK/inventory.json, and the rules to $WORK/rules.json.
cluster_start_backends() {
	local inventory=examples/murillo/inventory.json instances plain i=0
	instances=$(jq -r '(.accelerators | map({(.kind): .layer_us}) | add)
	    as $t | [.instances[] | select(.service == "redactor") |
	    "\(.name):\(.first):\(.last):\((.last - .first + 1)
	    * $t[.accelerator])"] | join(",")' "$inventory")
	launch kv fakes/fake_kv || return 1
	launch list fakes/fake_list "${LIST_ARGS[@]}" || return 1
	launch engine fakes/fake_engine --instances "$instances" \
	    --batch "${ENGINE_BATCH:-8}" || return 1
	jq --arg a "$(port_of engine http)" '.instances |= map(
	    if .service == "redactor" then .address = $a else . end)' \
	    "$inventory" >"$WORK/inventory.json"
	for plain in $(jq -r '.instances[] |
	    select(.service == "libro-cambios") | .name' "$inventory"); do
		i=$((i + 1))
		launch "plain$i" fakes/fake_plain --check-fencing true ||
		    return 1
		jq --arg n "$plain" --arg a "$(port_of "plain$i" http)" \
		    '.instances |= map(if .name == $n then .address = $a
		    else . end)' "$WORK/inventory.json" >"$WORK/inventory.new"
		mv "$WORK/inventory.new" "$WORK/inventory.json"
	done
	CLUSTER_PLAINS=$i
	cp examples/murillo/rules.json "$WORK/rules.json"
}

# Starts the processes of node N. The nodes started before are its seed peers.
# cluster_start_node N
cluster_start_node() {
	local node=n$1 common seeds=() peer
	local place=${CLUSTER_PLACES[$((($1 - 1) % ${#CLUSTER_PLACES[@]}))]}
	common=(--node "$node" --place "$place" --region "$CLUSTER_REGION"
	    --cluster-key "$CLUSTER_KEY")
	for peer in "${CLUSTER_NODES[@]}"; do
		[ "$peer" = "$node" ] || seeds+=("$(port_of "syncd-$peer" frames)")
	done
	launch "syncd-$node" chestnuthoist-syncd "${common[@]}" \
	    "${SYNCD_ARGS[@]}" \
	    --listen 127.0.0.1:0 --operator-address 127.0.0.1:0 \
	    --kv-address "$(port_of kv http)" \
	    --list-address "$(port_of list http)" \
	    ${seeds:+--seed-peers "$(IFS=,; echo "${seeds[*]}")"} || return 1
	# The router is not waited for: it writes its port file only when it
	# has a configuration.
	spawn "router-$node" chestnuthoist-router "${common[@]}" \
	    "${ROUTER_ARGS[@]}" \
	    --listen 127.0.0.1:0 \
	    --syncd-address "$(port_of "syncd-$node" frames)"
	launch "entry-$node" chestnuthoist-entry "${common[@]}" \
	    "${ENTRY_ARGS[@]}" \
	    --http-address 127.0.0.1:0 \
	    --address-validity-ms "${ADDRESS_VALIDITY_MS:-1000}" \
	    --drain-extra-ms "${DRAIN_EXTRA_MS:-1000}" \
	    --syncd-address "$(port_of "syncd-$node" frames)" || return 1
	CLUSTER_NODES+=("$node")
}

# Starts the stand-ins and COUNT nodes. CLUSTER_BACKENDS, if set, names the
# function that starts the stand-ins.
# cluster_start COUNT
cluster_start() {
	local n
	CLUSTER_KEY=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
	"${CLUSTER_BACKENDS:-cluster_start_backends}" || return 1
	for n in $(seq "$1"); do
		cluster_start_node "$n" || return 1
	done
}

# Runs chestnuthoistctl against the syncd of the first node.
ctl() {
	"$BUILD/chestnuthoistctl" \
	    --syncd "$(port_of "syncd-${CLUSTER_NODES[0]}" operator)" "$@"
}

# Prints the state dump of a process.
dump_of() {
	http "http://$(port_of "$1" admin)/dump"
}

# Returns whether a process reports that it is ready.
is_ready() {
	[ "$(http -o /dev/null -w '%{http_code}' \
	    "http://$(port_of "$1" admin)/ready")" = 200 ]
}

# Prints the revision that a process has in force.
revision_of() {
	dump_of "$1" | jq '[.. | objects | .revision? // empty | numbers] | max'
}

# Returns whether every daemon has at least REVISION in force.
# all_have_revision REVISION
all_have_revision() {
	local node role revision
	for node in "${CLUSTER_NODES[@]}"; do
		for role in syncd router entry; do
			revision=$(revision_of "$role-$node")
			[ "${revision:-null}" != null ] &&
			    [ "$revision" -ge "$1" ] || return 1
		done
	done
}

# Returns whether the entry and router of every node are ready and every entry
# sees at least COUNT usable routers.
# all_entries_see COUNT
all_entries_see() {
	local node
	for node in "${CLUSTER_NODES[@]}"; do
		is_ready "entry-$node" || return 1
		is_ready "router-$node" || return 1
		[ "$(dump_of "entry-$node" | jq .usable_routers)" -ge "$1" ] ||
		    return 1
	done
}

# Prints the total number of executions in the ledgers of the plain services.
ledger_executions() {
	local i
	for i in $(seq "$CLUSTER_PLAINS"); do
		http "http://$(port_of "plain$i" http)/v1/ledger"
	done | jq -s 'map(.executions) | add'
}

# Prints the number of executions of a key in the ledgers.
# ledger_key KEY
ledger_key() {
	local i
	for i in $(seq "$CLUSTER_PLAINS"); do
		http "http://$(port_of "plain$i" http)/v1/ledger"
	done | jq -s --arg k "$1" 'map(.keys[$k] // 0) | add'
}

# Stops the processes that still run: daemons at once with SIGINT, stand-ins
# cleanly with SIGTERM. Kills those that have not ended after 5 s.
cluster_stop() {
	local name
	for name in "${!CLUSTER_PID[@]}"; do
		case $name in
		entry-* | router-* | syncd-*)
			kill -INT "${CLUSTER_PID[$name]}" 2>/dev/null ;;
		*)
			kill -TERM "${CLUSTER_PID[$name]}" 2>/dev/null ;;
		esac
	done
	for name in "${!CLUSTER_PID[@]}"; do
		wait_for 5 has_ended "$name" ||
		    kill -KILL "${CLUSTER_PID[$name]}" 2>/dev/null
		wait "${CLUSTER_PID[$name]}" 2>/dev/null
	done
	CLUSTER_PID=()
}
