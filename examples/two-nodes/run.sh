#!/usr/bin/env bash
# Starts stand-ins and two entry nodes as separate processes on loopback, configures
# the nodes, replays a trace through both and checks every response. Stops all processes
# that it started. Exits non-zero if a response is incorrect or missing.
set -euo pipefail

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
bin=$root/bin
work=$(mktemp -d)
pids=()

finish() {
	status=$?
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ "$status" -ne 0 ]; then tail -n 20 "$work"/*.log >&2 || true; fi
	rm -rf "$work"
	exit "$status"
}
trap finish EXIT

# start NAME COMMAND...: starts a process that writes its output to NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
}

# await NAME PATTERN: waits for a matching line in NAME.log and prints its last word.
await() {
	for _ in $(seq 200); do
		if line=$(grep -m1 -- "$2" "$work/$1.log"); then
			echo "${line##*[ =]}"
			return 0
		fi
		sleep 0.05
	done
	echo "$1 did not start" >&2
	return 1
}

echo "starting six engines in three data centres, and one plain service"
vms=()
for copy in 1 2; do
	first=0
	for pool in low middle high; do
		name=$pool-$copy
		final=()
		[ "$pool" = high ] && final=(--final)
		start "$name" "$bin/standin-upstream" engine --first-layer "$first" --last-layer "$((first + 3))" "${final[@]}"
		vms+=("{\"name\":\"$name\",\"incarnation\":\"1\",\"group\":\"$pool\",\"data_centre\":\"sala-$pool\",\"kind\":\"kind-$copy\",\"address\":\"$(await "$name" '^listening')\"}")
		first=$((first + 4))
	done
done
start order-desk "$bin/standin-upstream" service --name order-desk
vms+=("{\"name\":\"order-desk-1\",\"incarnation\":\"1\",\"group\":\"order-desk\",\"data_centre\":\"sala-low\",\"address\":\"$(await order-desk '^listening')\"}")
(IFS=,; echo "[${vms[*]}]" >"$work/vms.json")

start platform "$bin/standin-platform" --vms "$work/vms.json"
platform=$(await platform '^listening')

echo "starting two entry nodes"
echo demo-operator >"$work/token"
for node in 1 2; do
	cat >"$work/node-$node.ini" <<INI
[node]
name = entry-$node
data_centre = sala-$node
grace_ms = 200
[peer]
secret = demo-peers
[platform]
address = $platform
[operators]
ana = $(printf demo-operator | sha256sum | cut -d' ' -f1)
INI
	start "entry-$node" "$bin/hoistjunction" --settings "$work/node-$node.ini"
done
nodes=()
for node in 1 2; do nodes+=("$(await "entry-$node" 'port=caller')"); done
admin=$(await entry-1 'port=admin')
ctl=("$bin/hoistctl" --node "$admin" --token-file "$work/token")

echo "configuring"
for _ in $(seq 20); do
	status=0
	"${ctl[@]}" apply "$here/changes.json" || status=$?
	[ "$status" -eq 0 ] && break
	[ "$status" -eq 3 ] || exit "$status"
done
"${ctl[@]}" status

echo "replaying traces/monday-dawn.jsonl through both nodes"
accounts=()
for a in clinica-norte radio-comunitaria sms-prepago puesto-alto coop-suwon grocer-yongin; do
	accounts+=(--account "$a=$a-key")
done
"$bin/hoistload" --nodes "${nodes[@]}" --trace "$root/traces/monday-dawn.jsonl" "${accounts[@]}"

echo "service-level burn"
"$bin/hoistburn" --nodes "$admin" "$(await entry-2 'port=admin')" --token-file "$work/token"
