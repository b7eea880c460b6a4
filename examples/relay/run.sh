#!/usr/bin/env bash
# Starts stand-ins (a store, four engines, a plain service) and two relay nodes as
# separate processes on loopback. Checks streams and plain requests, kills an engine
# during a stream, and restarts a node. Stops all processes that it started. Exits
# non-zero if a response is incorrect.
set -euo pipefail

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
bin=$root/bin
work=$(mktemp -d)
declare -A pids

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
	pids[$name]=$!
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

# node NAME: starts a relay node on free ports.
node() {
	cat >"$work/$1.ini" <<-INI
		[node]
		name = $1
		data_centre = dc-1
		[caller]
		listen = 127.0.0.1:0
		[readiness]
		listen = 127.0.0.1:0
		[peer]
		listen = 127.0.0.1:0
		[metrics]
		listen = 127.0.0.1:0
		[platform]
		address = $store
	INI
	start "$1" "$bin/hoistrelay" --settings "$work/$1.ini"
}

# ask ADDRESS PATH ID: sends a request and prints the response to standard output.
ask() {
	curl -sS --max-time 20 -X POST "http://$1$2" -H "Host: site.example" -H "Authorization: Bearer demo-key" \
		-H "Attempt-Id: $3" -H "Deadline-Remaining-Ms: 20000" -H "Token-Count: 40,40" -d x
}

# whole PATH: prints the events expected in a complete stream for the path.
whole() {
	local n
	for n in $(seq $((10 + ${#1} % 30))); do printf 'id: %d\ndata: %s %d\n\n' "$n" "$1" "$n"; done
}

# check WHAT GOT WANT: fails unless GOT equals WANT.
check() {
	if [ "$2" != "$3" ]; then
		printf '%s: got\n%s\nwant\n%s\n' "$1" "$2" "$3" >&2
		return 1
	fi
	echo "  ok: $1"
}

echo "starting the store, four engines and a desk"
start store "$bin/standin-site" store --key demo-key
store=$(await store '^listening')
for i in 1 2 3 4; do start "engine-$i" "$bin/standin-site" engine --id "engine-$i" --store "$store"; done
start desk "$bin/standin-site" desk --id desk-1 --store "$store"

echo "starting two nodes"
node node-1
node node-2
first=$(await node-1 'event=start' >/dev/null && grep -m1 -o 'caller=[^ ]*' "$work/node-1.log" | cut -d= -f2)
second=$(await node-2 'event=start' >/dev/null && grep -m1 -o 'caller=[^ ]*' "$work/node-2.log" | cut -d= -f2)

echo "waiting until the layers are placed"
for i in $(seq 100); do
	if [ "$(ask "$first" /write/warm "warm-$i")" = "$(whole /write/warm)" ]; then break; fi
	sleep 0.1
done

long=/write/a-path-whose-length-makes-a-long-stream
check "a stream through the first node" "$(ask "$first" $long s1)" "$(whole $long)"
check "a stream through the second node" "$(ask "$second" $long s2)" "$(whole $long)"
check "a request that runs once" "$(ask "$first" /once/notice o1)" "done /once/notice"

echo "killing an engine in the middle of a stream"
ask "$first" $long s3 >"$work/s3" &
asked=$!
sleep 0.15
kill -9 "${pids[engine-2]}"
wait "$asked"
check "every event, once" "$(cat "$work/s3")" "$(whole $long)"

echo "stopping the first node in the middle of a stream, and starting it again"
ask "$first" $long s4 >"$work/s4" &
asked=$!
sleep 0.15
kill "${pids[node-1]}"
wait "$asked"
check "the stream ends whole" "$(cat "$work/s4")" "$(whole $long)"
wait "${pids[node-1]}"
rm "$work/node-1.log"
node node-1
await node-1 'event=start' >/dev/null
first=$(grep -m1 -o 'caller=[^ ]*' "$work/node-1.log" | cut -d= -f2)
for i in $(seq 100); do
	if [ "$(ask "$first" /write/again "again-$i")" = "$(whole /write/again)" ]; then break; fi
	sleep 0.1
done
check "a stream through the node that came back" "$(ask "$first" $long s5)" "$(whole $long)"
echo "done: every answer was right"
