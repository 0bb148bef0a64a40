# The cluster of the benchmark: nine replicas of unequal speed in places that
# are connected by links with a latency of 100, 1,000 and 10,000 us. Source this
# file after bench/cluster.sh.

BENCH_SERVICE=redactor
# Number of tokens that an instance processes in one batch.
BENCH_BATCH=8
BENCH_REPLICAS=9
BENCH_TOKENS=16
BENCH_ORGS=(grande segunda tercera cuarta quinta sexta septima octava novena
    ultima)
# Share of the requests that each organisation sends, and its weight.
BENCH_SHARES=40,20,12,8,6,5,4,3,1,1
BENCH_WEIGHTS='[30,30,10,10,5,5,5,3,1,1]'

# Writes the inventory with placeholder addresses. The first and the last stage
# of a replica are in its home place; the second stage has one instance there
# and one in the next place. The last stage is the slowest.
bench_inventory() {
	jq -n --argjson n "$BENCH_REPLICAS" --arg s "$BENCH_SERVICE" '
	    ["heredia", "cartago", "alajuela"] as $p |
	    ["small", "old", "oldest"] as $k |
	    def part($r; $suffix; $place; $kind; $first):
		{name: "r\($r)-\($suffix)", place: $place, service: $s,
		replica: "r\($r)", address: "127.0.0.1:1",
		accelerator: $kind, count: 1, first: $first,
		last: ($first + 7)};
	    {places: ($p | map({name: ., region: "valle-central"})),
	    links: [
		{from: $p[0], to: $p[1], latency_us: 100, mbps: 10000},
		{from: $p[1], to: $p[2], latency_us: 1000, mbps: 1000},
		{from: $p[2], to: $p[0], latency_us: 10000, mbps: 100}],
	    services: [{name: $s, kind: "pipeline", layers: 24},
		{name: "libro-cambios", kind: "plain", layers: 1,
		window_ms: 120000}],
	    accelerators: [{kind: "large", layer_us: 750},
		{kind: "medium", layer_us: 1500},
		{kind: "small", layer_us: 2500}, {kind: "old", layer_us: 3750},
		{kind: "oldest", layer_us: 7500}],
	    instances: ([range($n) as $r | $p[$r % 3] as $home |
		part($r; "1"; $home; "large"; 0),
		part($r; "2a"; $home; "medium"; 8),
		part($r; "2b"; $p[($r + 1) % 3]; "medium"; 8),
		part($r; "3"; $home; $k[$r / 3 | floor]; 16)] +
		[range(3) as $i | {name: "libro-\($i + 1)", place: $p[$i],
		service: "libro-cambios", replica: "libro-\($i + 1)",
		address: "127.0.0.1:1"}])}' >"$WORK/inventory.json"
}

# Writes the rules. All organisations have the same priority, so that only the
# weights decide.
bench_rules() {
	jq -n --argjson w "$BENCH_WEIGHTS" '{organisations: [$ARGS.positional |
	    to_entries[] | {name: .value, priority: 3, weight: $w[.key],
	    max_concurrent: 1000}],
	    requests: [{service: "libro-cambios", operation: "swap",
	    idempotent: false}], defaults: {priority: 5, weight: 1,
	    max_concurrent: 4, deadline_ms: 30000, allow_unknown: false}}' \
	    --args "${BENCH_ORGS[@]}" >"$WORK/rules.json"
}

# Prints the instances of a place as argument of the engine stand-in. A second
# stage outside the home place gets the round-trip time of the link added.
bench_instances() {
	jq -r --arg p "$1" --arg s "$BENCH_SERVICE" '. as $inv |
	    (.accelerators | map({(.kind): .layer_us}) | add) as $t |
	    (.instances | map({(.name): .place}) | add) as $at |
	    [.instances[] | select(.service == $s and .place == $p) |
	    $at[.replica + "-1"] as $home |
	    ([$inv.links[] | select((.from == $home and .to == $p) or
		(.to == $home and .from == $p)) | .latency_us * 2] |
		first // 0) as $link |
	    "\(.name):\(.first):\(.last):\((.last - .first + 1) *
	    $t[.accelerator]):\($link)"] | join(",")' "$WORK/inventory.json"
}

# Sets the address of the instances selected by a jq filter.
# bench_set_address FILTER ADDRESS
bench_set_address() {
	jq --arg a "$2" ".instances |= map(if $1 then .address = \$a else .
	    end)" "$WORK/inventory.json" >"$WORK/inventory.new"
	mv "$WORK/inventory.new" "$WORK/inventory.json"
}

# Starts the stand-ins: the key-value service, the instance list, and one engine
# and one plain service per place.
bench_backends() {
	local place i=0
	bench_inventory
	bench_rules
	launch kv fakes/fake_kv || return 1
	launch list fakes/fake_list || return 1
	for place in "${CLUSTER_PLACES[@]}"; do
		launch "engine-$place" fakes/fake_engine --batch \
		    "$BENCH_BATCH" --instances "$(bench_instances "$place")" ||
		    return 1
		bench_set_address ".service == \"$BENCH_SERVICE\" and
		    .place == \"$place\"" "$(port_of "engine-$place" http)"
		i=$((i + 1))
		launch "plain$i" fakes/fake_plain --check-fencing true ||
		    return 1
		bench_set_address ".name == \"libro-$i\"" \
		    "$(port_of "plain$i" http)"
	done
	CLUSTER_PLAINS=$i
}

# Prints the upper bound of the throughput in tokens/s: the sum over all
# replicas of the throughput of the slowest stage. The throughput of a stage is
# the sum of batch size / service time of its instances. Instances in the given
# places are left out.
# bench_bound [PLACE...]
bench_bound() {
	jq --argjson b "$BENCH_BATCH" --arg s "$BENCH_SERVICE" '
	    (.accelerators | map({(.kind): .layer_us}) | add) as $t |
	    [.instances[] | select(.service == $s)] | group_by(.replica) |
	    map([group_by(.first)[] | [.[] |
		select(.place as $p | $ARGS.positional | index($p) | not) |
		$b * 1e6 / ((.last - .first + 1) * $t[.accelerator])] |
		add // 0] | min) | add | floor' "$WORK/inventory.json" \
	    --args "$@"
}

# Starts the cluster and waits until the inventory is in force on all nodes.
# bench_start NODES
bench_start() {
	local revision
	CLUSTER_BACKENDS=bench_backends cluster_start "$1" || return 1
	revision=$(ctl apply --inventory "$WORK/inventory.json" \
	    --rules "$WORK/rules.json" --base current)
	[ -n "$revision" ] || return 1
	wait_for 10 all_have_revision "$revision" &&
	    wait_for 20 all_entries_see "$1"
}

# Sends load of RATE requests/s for SECONDS; the report goes to FILE.
# bench_load FILE RATE SECONDS MEASURE_FROM_MS [ARGUMENT...]
bench_load() {
	local file=$1 rate=$2 seconds=$3 from=$4 orders entries=() node
	shift 4
	orders=$((rate * seconds / 10))
	for node in "${CLUSTER_NODES[@]}"; do
		is_running "entry-$node" &&
		    entries+=("$(port_of "entry-$node" http)")
	done
	"$BUILD/bench/load" --entry "$(IFS=,; echo "${entries[*]}")" \
	    --organisations "$(IFS=,; echo "${BENCH_ORGS[*]}")" \
	    --shares "$BENCH_SHARES" --rate "$rate" --orders "$orders" \
	    --lookups $((rate * seconds - orders)) --concurrency 4096 \
	    --max-tokens "$BENCH_TOKENS" --max-seconds $((seconds + 1)) \
	    --measure-from-ms "$from" --measure-until-ms $((seconds * 1000)) \
	    --json true "$@" >"$file"
}

# Prints for each daemon: name, processor time in ticks, resident memory in KB,
# and bytes sent and received on links.
bench_usage() {
	local name pid
	for name in "${!CLUSTER_PID[@]}"; do
		pid=${CLUSTER_PID[$name]}
		case $name in entry-* | router-* | syncd-*) ;; *) continue ;; esac
		[ -r "/proc/$pid/stat" ] || continue
		echo "$name $(sed 's/.*) //' "/proc/$pid/stat" |
		    awk '{ print $12 + $13, $22 * 4 }') $(
		    http "http://$(port_of "$name" admin)/metrics" |
		    awk '/^chestnuthoist_link_bytes_total.*out/ { o = $2 }
		    /^chestnuthoist_link_bytes_total.*in/ { i = $2 }
		    END { print o + 0, i + 0 }')"
	done | sort
}

# Prints the usage of a role between two outputs of bench_usage: processor time
# in ms, largest resident memory in KB, bytes sent, bytes received, and number
# of processes.
# bench_usage_of ROLE BEFORE AFTER
bench_usage_of() {
	join "$2" "$3" | awk -v r="^$1-" '$1 ~ r { c += $6 - $2
	    if ($7 > m) m = $7; o += $8 - $4; i += $9 - $5; n++ }
	    END { print c * 10, m, o, i, n + 0 }'
}

# Prints the number of calls to the key-value stand-in by kind, as JSON.
bench_kv_calls() {
	http "http://$(port_of kv http)/v1/stats" | jq -c .calls
}
